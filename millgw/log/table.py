"""All log events by name: level, fields and meaning.

`python -m millgw events` prints this table; docs/logging.md contains the output, and a test compares the
two. A field that is not listed here is never written: that keeps keys, tokens and callers' headers out of the
log.
"""

from __future__ import annotations

from logging import ERROR, INFO, WARNING
from typing import NamedTuple


class EventKind(NamedTuple):
    """One event. `level` is the standard library's; with `extra_fields`, metrics may stand beside its fields.

    Of more than `lines_per_second`, the further ones are only counted, in the field `more`.
    """

    level: int
    fields: tuple[str, ...]
    means: str
    extra_fields: bool = False
    lines_per_second: int = 1


DETAIL_LINES_PER_SECOND = 20  # lines a second of an event that describes a single connection or request


EVENTS = {
    "serving": EventKind(
        INFO,
        ("name", "listen", "modules"),
        "callers are accepted; `modules` as `python -m millgw version` prints it",
    ),
    "request-turned-away": EventKind(
        INFO,
        ("status", "cause", "client", "call", "came", "requests", "age_ms", "quiet_ms"),
        "a request that can't be parsed or accepted: how much of it `came` in (line, head, body, whole), "
        "how many `requests` had begun on its connection, how long ago it began and its client last sent "
        "anything",
        lines_per_second=DETAIL_LINES_PER_SECOND,
    ),
    "no-time-left": EventKind(
        INFO,
        ("told_ms", "waited_ms"),
        "a call arrived with no time left (`told_ms` 0), or waited past its deadline to be read or behind "
        "other requests of its connection: it is refused at once",
    ),
    "deadline-passed": EventKind(
        INFO,
        ("where", "attempts"),
        "a call's deadline passed: `where` it was then (waiting for an endpoint, between attempts, or in an "
        "attempt: connecting, held, writing, answer)",
        lines_per_second=DETAIL_LINES_PER_SECOND,
    ),
    "attempt-failed": EventKind(
        INFO,
        ("endpoint", "cause", "took_ms"),
        "an attempt ended without a response for its call: the call is tried again or given up",
        lines_per_second=DETAIL_LINES_PER_SECOND,
    ),
    "call-given-up": EventKind(
        INFO,
        ("status", "cause", "attempts"),
        "a call is answered with an error and not served (503: it may be tried again; 502: it may have run)",
        lines_per_second=DETAIL_LINES_PER_SECOND,
    ),
    "answer-spoilt": EventKind(
        WARNING,
        ("endpoint", "cause"),
        "an invalid response: its attempt failed and may have run",
    ),
    "answer-broken-off": EventKind(
        WARNING,
        ("endpoint", "cause"),
        "a response ended early while it was being forwarded; the caller's connection was closed with it",
    ),
    "bytes-after-answer": EventKind(
        WARNING,
        ("endpoint", "after_ms"),
        "an endpoint sent bytes after the end of its response; the connection was closed",
    ),
    "no-descriptor": EventKind(
        WARNING, ("endpoint",), "an attempt was not made: `limits.sockets` is exhausted"
    ),
    "connect-not-made": EventKind(
        WARNING,
        ("endpoint", "cause"),
        "this machine could not open a connection (no address, descriptor, memory or network): not counted "
        "as a failure of the endpoint",
    ),
    "accept-failed": EventKind(WARNING, ("cause",), "accepting a caller's connection failed"),
    "caller-lost": EventKind(WARNING, ("cause",), "a caller's connection was closed before it was accepted"),
    "caller-connection-closed": EventKind(
        INFO,
        ("client", "cause", "requests", "age_ms", "quiet_ms"),
        "the sidecar closed a caller's connection on which that many `requests` had begun: why, how long "
        "after it was accepted and last used",
        lines_per_second=DETAIL_LINES_PER_SECOND,
    ),
    "requests-unanswered": EventKind(
        INFO,
        ("client", "cause", "requests", "age_ms", "quiet_ms"),
        "a caller's connection ended with that many `requests` unanswered: why, how long after it was "
        "accepted and last read from",
        lines_per_second=DETAIL_LINES_PER_SECOND,
    ),
    "door-call-failed": EventKind(
        ERROR,
        ("cause",),
        "a request to the admin interface raised an internal error; the interface keeps running",
    ),
    "predecessor": EventKind(
        INFO,
        ("pid", "control"),
        "a process of this sidecar is already serving: this one takes over from it",
    ),
    "successor": EventKind(
        INFO,
        ("control", "steered"),
        "another process has taken over (`steered`: it receives all new connections)",
    ),
    "alone": EventKind(INFO, ("control",), "the process that this one took over from has ended"),
    "successor-gone": EventKind(
        WARNING,
        ("control",),
        "the process that had taken over ended before this one did: this one has all descriptors and "
        "allowances again, and the next process can take over from it",
    ),
    "handover-unusable": EventKind(
        WARNING,
        ("pid", "cause"),
        "the previous process's state can't be read: this one starts without it",
    ),
    "entry-skipped": EventKind(
        WARNING, ("cause",), "an entry of discovery's list can't be parsed and is skipped"
    ),
    "known-unusable": EventKind(WARNING, ("cause",), "the configuration's list of endpoints can't be parsed"),
    "drains-in-part": EventKind(
        INFO,
        ("discovery", "drains"),
        "a list of discovery that has begun, or is truncated or invalid, contained drains that could be "
        "parsed: these are applied, and the whole list is awaited or requested again",
    ),
    "discovery-asked": EventKind(
        INFO,
        ("discovery", "index"),
        "a watch is requested, starting at the version known",
        lines_per_second=DETAIL_LINES_PER_SECOND,
    ),
    "list-heard": EventKind(
        INFO,
        ("discovery", "index", "whole", "entries"),
        "discovery sent a list or changes; a `whole` list omits draining endpoints",
        lines_per_second=DETAIL_LINES_PER_SECOND,
    ),
    "list-fresh-again": EventKind(
        INFO,
        ("unheard_ms", "calls", "found_none", "probes"),
        "discovery is heard again after a time without a watch: how many `calls` were made to it meanwhile, "
        "how many searches of the stale list found no healthy endpoint, how many health `probes` were sent",
    ),
    "endpoint-not-well": EventKind(
        INFO,
        ("endpoint",),
        "while discovery was unreachable, an endpoint reported itself unhealthy in a health probe: it is not "
        "used until discovery is heard again",
    ),
    "watch-ended": EventKind(
        INFO,
        ("discovery", "cause", "asked_ms", "connected", "quiet_ms"),
        "a call to discovery or its watch ended: how long ago it was made, whether its connection came up, "
        "and how long ago data last arrived; the module decides when discovery is called again",
        lines_per_second=DETAIL_LINES_PER_SECOND,
    ),
    "discovery-wait": EventKind(
        INFO,
        ("after", "next_ms", "unheard_ms"),
        "the module schedules the next call to discovery: how the last call or watch ended, the wait, and "
        "how long ago discovery last sent anything (-1: never)",
        lines_per_second=DETAIL_LINES_PER_SECOND,
    ),
    "discovery-moves": EventKind(INFO, ("before", "to"), "a reload named another discovery"),
    "coordinator-up": EventKind(INFO, ("server", "fresh"), "the sidecar has a session with a coordinator"),
    "coordinator-lost": EventKind(INFO, ("server", "cause"), "the connection to a coordinator was lost"),
    "session-expired": EventKind(
        WARNING, ("server",), "the coordinator session expired; a new one reads everything again"
    ),
    "coordinator-went-back": EventKind(
        WARNING,
        ("seen",),
        "all coordinator servers are at an older state than seen before; removals are doubted for 30 s",
    ),
    "coordinator-well": EventKind(
        INFO,
        ("well",),
        "where a discovery is used too: whether the coordinator has had a session within 10 s",
    ),
    "discovery-in-doubt": EventKind(
        WARNING,
        ("discovery", "doubt", "listed"),
        "beside a coordinator: whether a drain that discovery could not report may count as told; the listed"
        " endpoints of its list are not used meanwhile",
    ),
    "store-open": EventKind(
        INFO,
        ("keys", "sync", "waited"),
        "the store of sent marks for unsafe calls is open for reading and writing (docs/store.md)",
    ),
    "store-locked": EventKind(
        INFO,
        ("cause",),
        "another process of this sidecar holds the store; retried every 50 ms",
    ),
    "store-unusable": EventKind(ERROR, ("cause",), "the store can't be opened: no unsafe call is sent"),
    "store-recovered": EventKind(WARNING, ("note",), "what the recovery of the store found"),
    "store-failed": EventKind(
        ERROR,
        ("cause",),
        "a mark could not be written: the store is full, or a write or sync failed (then no unsafe call is "
        "sent until `store-writes-again`)",
    ),
    "store-writes-again": EventKind(
        INFO,
        ("after_ms", "tries"),
        "after a failed write or sync, all marks were written to new files; unsafe calls are sent again",
    ),
    "not-sent-again": EventKind(
        INFO,
        ("trace", "cause"),
        "a call that was answered without being sent, as one of its id may have run",
    ),
    "peers-learned": EventKind(
        INFO,
        ("asked", "snapshots"),
        "at the start peers were asked, and that many `snapshots` arrived in time (docs/peers.md)",
    ),
    "peers": EventKind(
        INFO,
        ("alive", "known", "told_of", "snapshots", "refused"),
        "every minute: the state of the list of peers",
    ),
    "peer-refused": EventKind(
        INFO,
        ("peer", "cause", "refused"),
        "a message from a peer was rejected: no valid key, a replay, or malformed",
    ),
    "peers-not-listening": EventKind(
        WARNING,
        ("listen", "cause"),
        "the address for peers can't be bound; retried every half second",
    ),
    "peer-keys-read": EventKind(INFO, ("keys",), "a changed key file was read and is in use"),
    "peer-keys-unusable": EventKind(
        WARNING, ("cause",), "a key file can't be read or used; the current keys stay"
    ),
    "membership-held": EventKind(
        WARNING,
        ("path", "held", "few"),
        "more than `few` nodes vanished together; their endpoints are kept for now",
    ),
    "coordinator-refused": EventKind(
        WARNING,
        ("path", "code"),
        "the coordinator answered a read with an error (-102: no permission); retried within 10 s",
    ),
    "node-skipped": EventKind(WARNING, ("node", "cause"), "a member's node can't be parsed and is skipped"),
    "too-many-nodes": EventKind(
        WARNING, ("path", "nodes"), "more nodes than any fleet has; the previous list stays"
    ),
    "registered": EventKind(INFO, ("node", "times"), "`register`: the node was created"),
    "name-taken": EventKind(WARNING, ("node",), "another process already has a node of that name"),
    "register-refused": EventKind(
        WARNING, ("node", "code"), "the coordinator refused the registration; retried every second"
    ),
    "instance-serving": EventKind(
        INFO,
        ("name", "listen", "index"),
        "`configuration serve`: a control instance is listening and holds this version",
    ),
    "replica-role": EventKind(
        INFO, ("role", "epoch", "leader"), "a control instance's role, epoch or leader changed"
    ),
    "replica-refused": EventKind(
        ERROR,
        ("peer", "cause"),
        "a control instance returned with older state than it had acknowledged: restart it once it caught up",
    ),
    "instance-failed": EventKind(
        ERROR,
        ("cause",),
        "a control instance could not write its state durably or found it corrupt: it exits",
    ),
    "reloaded": EventKind(
        INFO,
        ("services", "new", "removed"),
        "a reload on SIGHUP is done (the fields appear with services only)",
    ),
    "reload-refused": EventKind(ERROR, ("cause",), "a file can't be used; nothing was changed"),
    "reload-takes-restart": EventKind(
        WARNING, ("field",), "this field changed and takes effect after a restart only"
    ),
    "control-up": EventKind(
        INFO,
        ("instance", "index"),
        "a control instance sends the distributed configuration (docs/configuration-sidecar.md)",
    ),
    "control-lost": EventKind(
        WARNING,
        ("instance", "cause"),
        "the watch on a control instance ended; the active version stays, and another instance is asked",
    ),
    "control-late": EventKind(
        INFO, ("within_ms",), "no version arrived in time: this start uses the local files alone"
    ),
    "configuration-applied": EventKind(
        INFO,
        ("index", "epoch", "took_ms"),
        "a version is now active, as a whole",
    ),
    "configuration-refused": EventKind(
        WARNING,
        ("index", "epoch", "cause"),
        "a version can't be used here; the previous one stays active",
    ),
    "configuration-contradicts": EventKind(
        ERROR,
        ("instance", "cause"),
        "an instance sent a history that contradicts the one received: it is ignored, another one is asked",
    ),
    "last-good-read": EventKind(
        INFO, ("index", "epoch"), "the last good version was read from disk; this start begins with it"
    ),
    "last-good-unusable": EventKind(
        WARNING,
        ("path", "cause"),
        "the file of the last good version is corrupt or another sidecar's: this start begins without it",
    ),
    "last-good-unwritten": EventKind(
        WARNING, ("path", "cause"), "the last good version could not be written to disk"
    ),
    "pool": EventKind(
        INFO,
        ("pool", "endpoints", "calls", "connections", "bodies", "answers", "sends", "held_back"),
        "every minute, for each service: what its pool holds and its limits",
        extra_fields=True,
    ),
    "pool-ended": EventKind(INFO, ("pool",), "the last call of a removed service has ended"),
    "ended-unserved": EventKind(
        WARNING,
        ("requests",),
        "the process exits with calls that endpoints have not answered; they failed",
    ),
    "left-out": EventKind(INFO, ("of", "more"), "at exit: how many repeats of an event were suppressed"),
    "lines-lost": EventKind(
        WARNING,
        ("lines",),
        "standard error was not read, and that many lines were dropped; the oldest buffered ones are kept",
    ),
    "message": EventKind(
        WARNING, ("text",), "a record that a library logged through the standard library, at its own level"
    ),
}
"""In the order in which docs/logging.md has them."""

COMMON_FIELDS = ("service", "call", "endpoint", "more", "traceback")
"""Fields that any event may have: bound ones, the count of suppressed repeats, an exception's traceback."""
