"""Timing of calls to discovery: when to ask again, and how long the endpoint list stays valid. Pure.

An endpoint may begin to drain while no watch is active. After some time the drain counts as told, whether or
not the message arrived, and then nothing may be sent there (rule 3). The following show that nothing can
count as told yet:

- a message from discovery, heartbeats included: a change after it counts 6 s after the change at the
  earliest, and 2 s after the end of the watch if no call has failed until then;
- a connection that was refused before that time: the discovery process was not running, so every change that
  does not count yet counts 6 s after the call at the earliest; the next refused connection in this time
  extends it again. For pushed lists: a call that the agent did not answer at once.

For pushed lists that proof is only of what the agent learns in the outage. What it had before counts from the
first moment of a process, so the list that a process starts with is not valid until the agent has spoken
once, unless a predecessor that had heard the agent has handed its list over. After a move to another agent
the list is valid for as long as what that one has does not count.

Nothing else is proof: a draining endpoint may still serve calls and pass health probes, and a call that was
rejected or ended may have reached a discovery that is down, or one that is up and overloaded. If discovery is
never overloaded by its own terms (`Settings.calls_fail_only_in_outages`, set for the simulator), such a call
proves as much as a refused connection. docs/design/what-is-promised.md has the sentences that this relies on.

In addition there is one assumption, limited in time and only for endpoints that pass health probes: a
discovery whose watch ended by itself, and that has rejected every call since, is down. It is dropped at the
first contrary sign (`Freshness.assumed_down_until`); that page discusses the risk.

Times are ms on the clock of the events. The operators define after which time a change counts as told.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from millgw.interface import ListKind, Settings
from millgw.policy.backoff import Backoff

# Waits before discovery is asked again, in ms, like the time after which a change counts as told. As shares
# of `ask_within` alone, they would leave a silent watch unnoticed for too long if that is long, and flood
# discovery if it is short. Most grow with the number of siblings: discovery handles the calls of all of them
# one after another.

# Spread of the first calls of instances that start together; the share is of `ask_within`
START_SPREAD_MS, START_SPREAD_PER_SIBLING_MS = 600.0, 100.0
MAX_START_SPREAD_MS, START_SPREAD_SHARE = 2500.0, 0.25
# Longest wait after the end of a watch and shortest after a silence; the share is of `ask_within`
RETRY_WAIT_MS, RETRY_WAIT_SHARE = 300.0, 0.25
MIN_RETRY_WAIT_FACTOR = 0.07  # shortest wait after the end of a watch, as a share of the longest
# Longest wait after a silence, which is usually a dead connection
SILENT_WAIT_MS, SILENT_WAIT_PER_SIBLING_MS, MAX_SILENT_WAIT_MS = 1300.0, 30.0, 2300.0
# Longest wait while discovery seems to be down
DOWN_WAIT_MS, DOWN_WAIT_PER_SIBLING_MS, MAX_DOWN_WAIT_MS = 600.0, 150.0, 2700.0
MIN_DOWN_WAIT_FACTOR = 0.4  # shortest such wait, as a share of the longest
MAX_ASSUMED_DOWN_MS = 30_000.0  # discovery is assumed down for this long: later it is more likely overloaded
OVERLOAD_SUSPECTED_MS = 10_000.0  # after failed calls, for which it is more likely overloaded, too
SMALL_FLEET_SIZE = 10  # siblings up to which failing calls at a start are not caused by their own number
START_RETRIES = 2  # first calls of a larger fleet that are retried sooner if probing is allowed
MIN_START_RETRY_MS, MAX_START_RETRY_MS = 2000.0, 3900.0  # wait after these
MIN_REFUSED_WAIT_MS, MAX_REFUSED_WAIT_MS = 1000.0, 5000.0  # after a refused connection: costs no work
MAX_OVERLOAD_WAIT_MS = 6500.0  # longest wait after a call rejected by a discovery that seems overloaded
# Shortest such wait as a share of the longest, and the growth factor with each further rejected call
MIN_OVERLOAD_WAIT_FACTOR, OVERLOAD_WAIT_GROWTH = 0.5, 1.5
MAX_WAIT_MS, MAX_WAIT_PER_SIBLING_MS = 10_000.0, 300.0  # limit of all waits
MAX_WAIT_SHARE = 3.0  # the same as a share of `ask_within`: after a failed call the list holds for four
CALL_TIMEOUT_MS = 5000.0  # longest silence after a call: more than the time discovery needs to answer
MIN_AGENT_RETRY_MS, MAX_AGENT_RETRY_MS = 20.0, 250.0  # for pushed lists: a call to the local agent is cheap

# When a change counts as told although it was not received
KNOWN_AFTER_MS = 6000.0  # ms after the change
KNOWN_AFTER_WATCH_END_MS = 2000.0  # after the end of a watch, or after it was replaced by another discovery
KNOWN_AFTER_FAILURE_SHARE = 4.0  # share of `ask_within`, after a failed call
AGENT_KNOWN_AFTER_MS = 400.0  # for pushed lists: what the agent knows counts at once, with a grace period
AGENT_MOVE_KNOWN_AFTER_MS = 4000.0  # for pushed lists: after a move, what the other agent knows counts then
AGENT_SILENT_MS = 800.0  # an agent that did not answer counts as silent for this long; asked again sooner


@dataclass(slots=True, frozen=True)
class ListAge:
    """What is known of the age of a list that is handed over, in ms.

    All are spans: the clocks of two instances may differ by any amount, as each starts with the wall clock.
    """

    heard_ago: float  # since discovery was last heard, or else since the list was obtained
    valid_for: float | None  # how much longer the list may be used; None: nothing shows that it is valid
    moved_ago: float | None  # since another discovery was replaced; None: not, or the new one was heard

    def after(self, passed: float) -> ListAge:
        """The same when so much time has passed."""
        return ListAge(
            self.heard_ago + passed,
            None if self.valid_for is None else self.valid_for - passed,
            None if self.moved_ago is None else self.moved_ago + passed,
        )


class Freshness:
    """When to ask discovery again, and until when its last message is valid."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.backoff = Backoff(rng)
        self.rng = rng
        self.reconfigure(settings)
        self.wait = 0.0
        self.next_call_at = math.inf  # when to ask again; never while a watch is active
        self.list_obtained_at = -math.inf  # when the initial list was obtained
        self.inherited_until = -math.inf  # until when a predecessor's list is valid
        self.called_at = -math.inf  # when the last call was made
        self.call_answered = False  # whether it has returned anything
        self.heard_at = -math.inf  # when the last message arrived
        self.message_count = 0  # how many messages arrived
        self.watch_lost_at = -math.inf  # when the last watch that had sent a message was lost
        self.moved = False  # whether it was replaced by another discovery server, and when
        self.moved_at = -math.inf
        self.failures = 0  # consecutive failed calls since the watch was lost
        self.failed_in_time = False  # whether one failed before missed changes could count as told
        self.overload_failures = 0  # of these, calls rejected by a discovery that seems overloaded
        self.outage_shown_at = -math.inf  # when the last call was made that proves an outage
        self.refused = False  # whether a connection was refused since the watch was lost
        self.watch_ended = True  # whether the watch ended by itself, as all do when discovery goes down
        self.seems_down_at = -math.inf  # when the last call was made that suggests an outage
        self.recovered_at = -math.inf  # when the last message after failed calls arrived

    def reconfigure(self, settings: Settings) -> None:
        """Compute the waits from the settings; what was received, and the current wait, are kept."""
        self.settings = settings
        ask_within = settings.ask_within
        siblings = settings.siblings
        spread = min(MAX_START_SPREAD_MS, START_SPREAD_MS + START_SPREAD_PER_SIBLING_MS * siblings)
        self.start_spread = min(spread, START_SPREAD_SHARE * ask_within)
        self.retry_wait = min(RETRY_WAIT_MS, RETRY_WAIT_SHARE * ask_within)
        self.silent_wait = min(MAX_SILENT_WAIT_MS, max(SILENT_WAIT_MS, SILENT_WAIT_PER_SIBLING_MS * siblings))
        self.down_wait = min(MAX_DOWN_WAIT_MS, DOWN_WAIT_MS + DOWN_WAIT_PER_SIBLING_MS * siblings)
        self.max_wait = min(MAX_WAIT_SHARE * ask_within, max(MAX_WAIT_MS, MAX_WAIT_PER_SIBLING_MS * siblings))
        self.known_after = min(KNOWN_AFTER_MS, ask_within) if settings.ask_discovery else KNOWN_AFTER_MS
        after_watch_end = KNOWN_AFTER_WATCH_END_MS if settings.ask_discovery else AGENT_KNOWN_AFTER_MS
        self.known_after_watch_end = min(after_watch_end, self.known_after)
        self.known_after_failure = min(KNOWN_AFTER_MS, KNOWN_AFTER_FAILURE_SHARE * ask_within)

    # Events

    def start(self, now: float) -> float | None:
        """The first event has arrived; returns when to ask, or None if lists arrive unasked."""
        self.list_obtained_at = now
        if self.settings.ask_discovery:
            self.next_call_at = now + self.rng.random() * self.start_spread
        elif self.settings.local_agent:
            self.next_call_at = now
        else:
            return None
        return self.next_call_at

    def asked(self, now: float) -> float:
        """A call is made; returns when to ask again if nothing is received."""
        if self.call_answered:
            self._watch_lost(now)
        self.called_at, self.call_answered = now, False
        self.next_call_at = now + CALL_TIMEOUT_MS
        return self.next_call_at

    def move(self, now: float) -> float:
        """Another discovery server is asked instead; returns when to ask again if it does not answer."""
        due = self.asked(now)
        self._forget_failures()
        self.moved, self.moved_at = True, now
        return due

    def failed(self, now: float, kind: ListKind) -> float:
        """The watch or call has ended or timed out; returns when to ask again."""
        answered, self.call_answered = self.call_answered, False
        if answered:
            self._watch_lost(now)
            self.watch_ended = kind is not ListKind.SILENT
        else:
            self._call_failed(now, kind)
        self.next_call_at = now + self._next_wait(answered, kind)
        return self.next_call_at

    def heard(self, now: float) -> None:
        """Discovery has sent a message or a heartbeat."""
        self.heard_at, self.call_answered = now, True
        self.message_count += 1
        self.moved = False
        if self.failures:
            self.recovered_at = now
        self._forget_failures()
        self.wait = 0.0
        self.next_call_at = math.inf

    def adopt(self, heard_at: float) -> None:
        """Take over the list of another process of this sidecar, last confirmed at `heard_at`."""
        self.list_obtained_at = min(self.list_obtained_at, heard_at)

    def hand_over(self, now: float) -> ListAge:
        """What a successor needs to know of the list, as of `now`."""
        until = self.fresh_until()
        if until == math.inf:
            until = now + self.known_after_watch_end
        return ListAge(
            heard_ago=now - max(self.heard_at, self.list_obtained_at),
            valid_for=until - now if until > -math.inf else None,
            moved_ago=now - self.moved_at if self.moved else None,
        )

    def take_over(self, age: ListAge, now: float) -> None:
        """Use a predecessor's list, which is of this age `now`."""
        self.adopt(now - age.heard_ago)
        if age.valid_for is not None:
            self.inherited_until = now + age.valid_for
        if age.moved_ago is not None:
            self.moved, self.moved_at = True, now - age.moved_ago

    def _watch_lost(self, now: float) -> None:
        self.watch_lost_at = now
        self._forget_failures()

    def _forget_failures(self) -> None:
        self.failures = self.overload_failures = 0
        self.failed_in_time = False
        self.outage_shown_at = self.seems_down_at = -math.inf
        self.refused = self.watch_ended = False

    def _call_failed(self, now: float, kind: ListKind) -> None:
        """A call has returned nothing; it may show that discovery was down when it was made."""
        self.failures += 1
        if kind is ListKind.NOT_MADE:
            return
        self.failed_in_time = self.failed_in_time or self.called_at <= self._last_message_valid_until()
        self.refused = self.refused or kind is ListKind.UNREACHABLE
        # A call made after missed changes could count as told proves nothing about them.
        in_time = self.called_at <= max(self.fresh_until(), self.assumed_down_until())
        if self._shows_outage(kind) and self.called_at <= self.fresh_until():
            self.outage_shown_at = self.called_at
        seems_down = kind is ListKind.FAILED and in_time and self._seems_down()
        self.seems_down_at = self.called_at if seems_down else -math.inf

    def _shows_outage(self, kind: ListKind) -> bool:
        if not self.settings.ask_discovery:
            return kind is ListKind.SILENT
        if kind is ListKind.UNREACHABLE:
            return True
        only_in_outages = self.settings.calls_fail_only_in_outages
        return only_in_outages and kind is ListKind.FAILED and not self.refused

    def _seems_down(self) -> bool:
        """Whether calls since the loss of the watch failed as if discovery is down, not overloaded.

        Not after a refused connection: discovery is then back, and overloaded. Not after a move either.
        """
        if self.refused or not self.watch_ended or not self.settings.ask_discovery:
            return False
        if self.settings.calls_fail_only_in_outages:
            return True
        lost_at = max(self.list_obtained_at, self.watch_lost_at)
        return (
            self.called_at <= lost_at + MAX_ASSUMED_DOWN_MS
            and lost_at >= self.recovered_at + OVERLOAD_SUSPECTED_MS
        )

    # Next call

    def _next_wait(self, answered: bool, kind: ListKind) -> float:
        """How long to wait before the next call: it must bring news within `KNOWN_AFTER_MS` of a return.

        All instances may ask at once, so waits are spread. Too many calls can keep discovery overloaded: it
        also works on calls that have already timed out, and answers none as long as they arrive at the rate
        at which it could answer them. So the waits are no shorter than this requires, and grow while calls
        keep failing.
        """
        if not self.settings.ask_discovery:
            # What the agent knows counts as told while no watch is active, and so does what it receives when
            # discovery is back.
            self.wait = (
                0.0 if answered else self.backoff.next(self.wait, MIN_AGENT_RETRY_MS, MAX_AGENT_RETRY_MS)
            )
            return self.wait
        if kind is ListKind.SILENT:
            min_wait, max_wait = self.retry_wait, self.silent_wait
        elif answered:
            min_wait, max_wait = MIN_RETRY_WAIT_FACTOR * self.retry_wait, self.retry_wait
        elif kind is ListKind.BROKEN_OFF and self.failures == 1:
            # Possibly a problem of that connection only.
            min_wait, max_wait = self.retry_wait, self.silent_wait
        elif kind is ListKind.UNREACHABLE:
            min_wait, max_wait = MIN_REFUSED_WAIT_MS, MAX_REFUSED_WAIT_MS
        elif self._seems_down() and (
            self.watch_lost_at > -math.inf or self.settings.siblings <= SMALL_FLEET_SIZE
        ):
            min_wait, max_wait = MIN_DOWN_WAIT_FACTOR * self.down_wait, self.down_wait
        elif self.watch_lost_at == -math.inf and self.failures <= START_RETRIES and self.settings.probing:
            min_wait, max_wait = MIN_START_RETRY_MS, MAX_START_RETRY_MS
        else:
            self.overload_failures += 1
            max_wait = min(
                self.max_wait, MAX_OVERLOAD_WAIT_MS * OVERLOAD_WAIT_GROWTH ** (self.overload_failures - 1)
            )
            min_wait = MIN_OVERLOAD_WAIT_FACTOR * max_wait
        self.wait = min(self.max_wait, min_wait + (max_wait - min_wait) * self.rng.random())
        return self.wait

    # Validity of the list

    def disconnected(self) -> bool:
        """Whether no watch is known to be active: the list may be outdated."""
        return self.next_call_at < math.inf

    def fresh_until(self) -> float:
        """Until when listed endpoints may be used: no drain can count as told before."""
        if not self.disconnected():
            return math.inf
        return max(self._last_message_valid_until(), self._outage_valid_until())

    def assumed_down_until(self) -> float:
        """Until when discovery may be assumed down, as it rejected all calls; -inf: no such assumption.

        It is only an assumption: discovery may be up and overloaded. If it is down, a change counts as told
        `KNOWN_AFTER_MS` after the last of these calls at the earliest.
        """
        return self.seems_down_at + self.known_after_failure

    def _last_message_valid_until(self) -> float:
        """The earliest time at which a change right after discovery's last message may count as told."""
        if self.watch_lost_at == -math.inf:  # no watch yet: the initial list
            if self.settings.local_agent:
                return self.inherited_until
            return max(self.inherited_until, self.list_obtained_at + self.known_after)
        if self.moved or not self.failed_in_time or not self.settings.ask_discovery:
            return min(self.heard_at + KNOWN_AFTER_MS, self.watch_lost_at + self.known_after_watch_end)
        return min(self.heard_at + KNOWN_AFTER_MS, self.called_at + self.known_after_failure)

    def _outage_valid_until(self) -> float:
        """The same for a change that discovery learns of only after its outage."""
        if not self.settings.ask_discovery:
            until = self.outage_shown_at + AGENT_SILENT_MS
            return min(until, self.moved_at + AGENT_MOVE_KNOWN_AFTER_MS) if self.moved else until
        return self.outage_shown_at + self.known_after_failure
