"""All log events by name: level, fields and meaning.

`python -m millgw events` prints this table; docs/logging.md contains the output, and a test compares the
two. A field that is not listed here is never written: that keeps keys, tokens and callers' headers out of the
log.
"""

from __future__ import annotations

from logging import ERROR, INFO, WARNING
from typing import NamedTuple


class Kind(NamedTuple):
    """One event. `level` is the standard library's; an `open` event may have metrics beside its fields.

    `lines` is how many lines a second it may have: further ones are only counted, in `more`.
    """

    level: int
    fields: tuple[str, ...]
    means: str
    open: bool = False
    lines: int = 1


SEVERAL = 20  # lines a second of an event that describes a single connection or request


EVENTS = {
    "serving": Kind(
        INFO,
        ("name", "listen", "modules"),
        "callers are accepted; `modules` as `python -m millgw version` prints it",
    ),
    "request-turned-away": Kind(
        INFO,
        ("status", "cause", "client", "call", "came", "requests", "age_ms", "quiet_ms"),
        "a request that can't be parsed or accepted: how much of it `came` in (line, head, body, whole), "
        "how many `requests` had begun on its connection, how long ago it began and its client last sent "
        "anything",
        lines=SEVERAL,
    ),
    "no-time-left": Kind(
        INFO,
        ("told_ms", "waited_ms"),
        "a call arrived with no time left (`told_ms` 0), or waited past its deadline to be read or behind "
        "other requests of its connection: it is refused at once",
    ),
    "deadline-passed": Kind(
        INFO,
        ("where", "attempts"),
        "a call's deadline passed: `where` it was then (waiting for an endpoint, between attempts, or in an "
        "attempt: connecting, held, writing, answer)",
        lines=SEVERAL,
    ),
    "attempt-failed": Kind(
        INFO,
        ("endpoint", "cause", "took_ms"),
        "an attempt ended without a response for its call: the call is tried again or given up",
        lines=SEVERAL,
    ),
    "call-given-up": Kind(
        INFO,
        ("status", "cause", "attempts"),
        "a call is answered with an error and not served (503: it may be tried again; 502: it may have run)",
        lines=SEVERAL,
    ),
    "answer-spoilt": Kind(
        WARNING,
        ("endpoint", "cause"),
        "an invalid response: its attempt failed and may have run",
    ),
    "answer-broken-off": Kind(
        WARNING,
        ("endpoint", "cause"),
        "a response ended early while it was being forwarded; the caller's connection was closed with it",
    ),
    "bytes-after-answer": Kind(
        WARNING,
        ("endpoint", "after_ms"),
        "an endpoint sent bytes after the end of its response; the connection was closed",
    ),
    "no-descriptor": Kind(WARNING, ("endpoint",), "an attempt was not made: `limits.sockets` is exhausted"),
    "connect-not-made": Kind(
        WARNING,
        ("endpoint", "cause"),
        "this machine could not open a connection (no address, descriptor, memory or network): not counted "
        "as a failure of the endpoint",
    ),
    "accept-failed": Kind(WARNING, ("cause",), "accepting a caller's connection failed"),
    "caller-lost": Kind(WARNING, ("cause",), "a caller's connection was closed before it was accepted"),
    "caller-connection-closed": Kind(
        INFO,
        ("client", "cause", "requests", "age_ms", "quiet_ms"),
        "the sidecar closed a caller's connection on which that many `requests` had begun: why, how long "
        "after it was accepted and last used",
        lines=SEVERAL,
    ),
    "requests-unanswered": Kind(
        INFO,
        ("client", "cause", "requests", "age_ms", "quiet_ms"),
        "a caller's connection ended with that many `requests` unanswered: why, how long after it was "
        "accepted and last read from",
        lines=SEVERAL,
    ),
    "door-call-failed": Kind(
        ERROR,
        ("cause",),
        "a request to the admin interface raised an internal error; the interface keeps running",
    ),
    "predecessor": Kind(
        INFO,
        ("pid", "control"),
        "a process of this sidecar is already serving: this one takes over from it",
    ),
    "successor": Kind(
        INFO,
        ("control", "steered"),
        "another process has taken over (`steered`: it receives all new connections)",
    ),
    "alone": Kind(INFO, ("control",), "the process that this one took over from has ended"),
    "successor-gone": Kind(
        WARNING,
        ("control",),
        "the process that had taken over ended before this one was told to: this one has all descriptors "
        "and allowances again, and the next process can take over from it",
    ),
    "handover-unusable": Kind(
        WARNING,
        ("pid", "cause"),
        "the previous process's state can't be read: this one starts without it",
    ),
    "entry-skipped": Kind(WARNING, ("cause",), "an entry of discovery's list can't be parsed and is skipped"),
    "known-unusable": Kind(WARNING, ("cause",), "the configuration's list of endpoints can't be parsed"),
    "drains-in-part": Kind(
        INFO,
        ("discovery", "drains"),
        "a truncated or invalid line of discovery contained drains that could be parsed: these are applied, "
        "and the whole list is requested again",
    ),
    "discovery-asked": Kind(
        INFO, ("discovery", "index"), "a watch is requested, starting at the version known", lines=SEVERAL
    ),
    "list-heard": Kind(
        INFO,
        ("discovery", "index", "whole", "entries"),
        "discovery sent a list or changes; a `whole` list omits draining endpoints",
        lines=SEVERAL,
    ),
    "list-fresh-again": Kind(
        INFO,
        ("unheard_ms", "calls", "found_none", "probes"),
        "discovery is heard again after a time without a watch: how many `calls` were made to it meanwhile, "
        "how many searches of the stale list found no healthy endpoint, how many health `probes` were sent",
    ),
    "endpoint-not-well": Kind(
        INFO,
        ("endpoint",),
        "while discovery was unreachable, an endpoint reported itself unhealthy in a health probe: it is not "
        "used until discovery is heard again",
    ),
    "watch-ended": Kind(
        INFO,
        ("discovery", "cause", "asked_ms", "connected", "quiet_ms"),
        "a call to discovery or its watch ended: how long ago it was made, whether its connection came up, "
        "and how long ago data last arrived; the module decides when discovery is called again",
        lines=SEVERAL,
    ),
    "discovery-wait": Kind(
        INFO,
        ("after", "next_ms", "unheard_ms"),
        "the module schedules the next call to discovery: how the last call or watch ended, the wait, and "
        "how long ago discovery last sent anything (-1: never)",
        lines=SEVERAL,
    ),
    "discovery-moves": Kind(INFO, ("before", "to"), "a reload named another discovery"),
    "coordinator-up": Kind(INFO, ("server", "fresh"), "the sidecar has a session with a coordinator"),
    "coordinator-lost": Kind(INFO, ("server", "cause"), "the connection to a coordinator was lost"),
    "session-expired": Kind(
        WARNING, ("server",), "the coordinator session expired; a new one reads everything again"
    ),
    "coordinator-went-back": Kind(
        WARNING,
        ("seen",),
        "all coordinator servers are at an older state than seen before; removals are doubted for 30 s",
    ),
    "coordinator-well": Kind(
        INFO,
        ("well",),
        "where a discovery is used too: whether the coordinator has had a session within 10 s",
    ),
    "store-open": Kind(
        INFO,
        ("keys", "sync", "waited"),
        "the store of sent marks for unsafe calls is open for reading and writing (docs/store.md)",
    ),
    "store-locked": Kind(
        INFO,
        ("cause",),
        "another process of this sidecar holds the store; retried every 50 ms",
    ),
    "store-unusable": Kind(ERROR, ("cause",), "the store can't be opened: no unsafe call is sent"),
    "store-recovered": Kind(WARNING, ("note",), "what the recovery of the store found"),
    "store-failed": Kind(
        ERROR,
        ("cause",),
        "a mark could not be written: the store is full, or a write or sync failed (then no unsafe call is "
        "sent until `store-writes-again`)",
    ),
    "store-writes-again": Kind(
        INFO,
        ("after_ms", "tries"),
        "after a failed write or sync, all marks were written to new files; unsafe calls are sent again",
    ),
    "not-sent-again": Kind(INFO, ("trace", "cause"), "an unsafe call that was answered without being sent"),
    "peers-learned": Kind(
        INFO,
        ("asked", "snapshots"),
        "at the start peers were asked, and that many `snapshots` arrived in time (docs/peers.md)",
    ),
    "peers": Kind(
        INFO,
        ("alive", "known", "told_of", "snapshots", "refused"),
        "every minute: the state of the list of peers",
    ),
    "peer-refused": Kind(
        INFO,
        ("peer", "cause", "refused"),
        "a message from a peer was rejected: no valid key, a replay, or malformed",
    ),
    "peers-not-listening": Kind(
        WARNING,
        ("listen", "cause"),
        "the address for peers can't be bound; retried every half second",
    ),
    "peer-keys-read": Kind(INFO, ("keys",), "a changed key file was read and is in use"),
    "peer-keys-unusable": Kind(
        WARNING, ("cause",), "a key file can't be read or used; the current keys stay"
    ),
    "membership-held": Kind(
        WARNING,
        ("path", "held", "few"),
        "more than `few` nodes vanished together; their endpoints are kept for now",
    ),
    "coordinator-refused": Kind(
        WARNING,
        ("path", "code"),
        "the coordinator answered a read with an error (-102: no permission); retried within 10 s",
    ),
    "node-skipped": Kind(WARNING, ("node", "cause"), "a member's node can't be parsed and is skipped"),
    "too-many-nodes": Kind(
        WARNING, ("path", "nodes"), "more nodes than any fleet has; the previous list stays"
    ),
    "registered": Kind(INFO, ("node", "times"), "`register`: the node was created"),
    "name-taken": Kind(WARNING, ("node",), "another process already has a node of that name"),
    "register-refused": Kind(
        WARNING, ("node", "code"), "the coordinator refused the registration; retried every second"
    ),
    "instance-serving": Kind(
        INFO,
        ("name", "listen", "index"),
        "`configuration serve`: a control instance is listening and holds this version",
    ),
    "replica-role": Kind(
        INFO, ("role", "epoch", "leader"), "a control instance's role, epoch or leader changed"
    ),
    "replica-refused": Kind(
        ERROR,
        ("peer", "cause"),
        "a control instance returned with older state than it had acknowledged: restart it once it caught up",
    ),
    "instance-failed": Kind(
        ERROR,
        ("cause",),
        "a control instance could not write its state durably or found it corrupt: it exits",
    ),
    "reloaded": Kind(
        INFO,
        ("services", "new", "removed"),
        "a reload on SIGHUP is done (the fields appear with services only)",
    ),
    "reload-refused": Kind(ERROR, ("cause",), "a file can't be used; nothing was changed"),
    "reload-takes-restart": Kind(
        WARNING, ("field",), "this field changed and takes effect after a restart only"
    ),
    "control-up": Kind(
        INFO,
        ("instance", "index"),
        "a control instance sends the distributed configuration (docs/configuration-sidecar.md)",
    ),
    "control-lost": Kind(
        WARNING,
        ("instance", "cause"),
        "the watch on a control instance ended; the active version stays, and another instance is asked",
    ),
    "control-late": Kind(
        INFO, ("within_ms",), "no version arrived in time: this start uses the local files alone"
    ),
    "configuration-applied": Kind(
        INFO,
        ("index", "epoch", "took_ms"),
        "a version is now active, as a whole",
    ),
    "configuration-refused": Kind(
        WARNING,
        ("index", "epoch", "cause"),
        "a version can't be used here; the previous one stays active",
    ),
    "configuration-contradicts": Kind(
        ERROR,
        ("instance", "cause"),
        "an instance sent a history that contradicts the one received: it is ignored, another one is asked",
    ),
    "last-good-read": Kind(
        INFO, ("index", "epoch"), "the last good version was read from disk; this start begins with it"
    ),
    "last-good-unusable": Kind(
        WARNING,
        ("path", "cause"),
        "the file of the last good version is corrupt or another sidecar's: this start begins without it",
    ),
    "last-good-unwritten": Kind(
        WARNING, ("path", "cause"), "the last good version could not be written to disk"
    ),
    "pool": Kind(
        INFO,
        ("pool", "endpoints", "calls", "connections", "bodies", "answers", "sends", "held_back"),
        "every minute, for each service: what its pool holds and its limits",
        open=True,
    ),
    "pool-ended": Kind(INFO, ("pool",), "the last call of a removed service has ended"),
    "ended-unserved": Kind(
        WARNING,
        ("requests",),
        "the process exits with calls that endpoints have not answered; they failed",
    ),
    "left-out": Kind(INFO, ("of", "more"), "at exit: how many repeats of an event were suppressed"),
    "lines-lost": Kind(
        WARNING,
        ("lines",),
        "standard error was not read, and that many lines were dropped; the oldest buffered ones are kept",
    ),
    "message": Kind(
        WARNING, ("text",), "a record that a library logged through the standard library, at its own level"
    ),
}
"""In the order in which docs/logging.md has them."""

COMMON = ("service", "call", "endpoint", "more", "traceback")
"""Fields that any event may have: bound ones, the count of suppressed repeats, an exception's traceback."""
