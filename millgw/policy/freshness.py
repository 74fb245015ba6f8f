"""The endpoint list while discovery is not heard: when to ask again, and for how long the list holds. Pure.

An endpoint may begin to drain while no watch is on. From some time on that counts as told, whether or not it
arrived, and then nothing may be sent there (rule 3). What shows that nothing can count as told yet:

- a word of discovery, heartbeats included: what changes after it counts 6 s after it at the earliest, and
  2 s after the end of the watch where no call has failed until then;
- a connection that was refused before that: discovery's process was not there, so all that has not counted
  by then counts 6 s after that at the earliest, and so on with the next that is refused in this time. Where
  lists are pushed, a call that the agent did not answer at once.

Nothing else proves it: endpoints that drain may go on serving and answer health probes well, and a call that
was turned away or ended met a discovery that was down, or one that is up and full. Where a discovery is never
so full by its own terms (`Settings.calls_fail_only_in_outages`: the simulator's), such a call shows as much
as a refused connection. docs/design/what-is-promised.md has the sentences that this rests on.

Beside that stands one assumption, for a bounded time and only for endpoints that answer health probes well:
a discovery whose watch has ended by itself, and that has turned away each call since, is down. It is given
up at the first sign of another course (`Freshness.assumed_down_until`); that page weighs it.

Times are ms of the events' clock. The times after which a change counts as told are the operators' own.
"""

from __future__ import annotations

import math
import random

from millgw.interface import ListKind, Settings
from millgw.policy.backoff import Backoff

# When discovery is asked stands in ms, as the time after which all counts as told does: parts of `ask_within`
# alone would leave a silent watch too long where that is long, and storm where it is short.
# Waits have a part for each sibling: discovery works through the calls of all of them in turn.
START_SPREAD_MS, START_SPREAD_PER_SIBLING_MS = (
    600.0,
    100.0,
)  # instances that start together ask at different times
MAX_START_SPREAD_MS, START_SPREAD_SHARE = 2500.0, 0.25  # the latter of `ask_within`
RETRY, RETRY_WAIT_SHARE = 300.0, 0.25  # longest wait after the end of a watch, and least after a silence
MIN_RETRY_WAIT_FACTOR = 0.07  # of that, the least after the end of a watch
SILENT_WAIT_MS, SILENT_WAIT_PER_SIBLING_MS, MAX_SILENT_WAIT_MS = (
    1300.0,
    30.0,
    2300.0,
)  # longest wait after a silence: a dead connection's
DOWN_WAIT_MS, DOWN_WAIT_PER_SIBLING_MS, MAX_DOWN_WAIT_MS = (
    600.0,
    150.0,
    2700.0,
)  # longest wait while discovery seems to be down
MIN_DOWN_WAIT_FACTOR = 0.4  # of that, the least
MAX_ASSUMED_DOWN_MS = 30_000.0  # for which it may seem so: later it may rather be full
OVERLOAD_SUSPECTED_MS = 10_000.0  # after calls that failed, in which it may rather be full, too
SMALL_FLEET_SIZE = 10  # siblings up to which calls that fail at a start are no crowd of theirs
START_RETRIES = 2  # first calls of a larger fleet that are made again sooner, where probes are allowed
MIN_START_RETRY_MS, MAX_START_RETRY_MS = 2000.0, 3900.0  # wait after these
MIN_REFUSED_WAIT_MS, MAX_REFUSED_WAIT_MS = (
    1000.0,
    5000.0,
)  # wait after a refused connection: nobody is at work on it
MAX_OVERLOAD_WAIT_MS = (
    6500.0  # longest wait after a call that was turned away by a discovery that seems to be full
)
MIN_OVERLOAD_WAIT_FACTOR, OVERLOAD_WAIT_GROWTH = (
    0.5,
    1.5,
)  # the least of that, and what it grows by with each further one
MAX_WAIT_MS, MAX_WAIT_PER_SIBLING_MS = 10_000.0, 300.0  # of all waits
MAX_WAIT_SHARE = 3.0  # of `ask_within`, the same: a failed call keeps the list for four
CALL_TIMEOUT_MS = (
    5000.0  # longest silence after a call: over the longest that discovery works before it answers
)
MIN_AGENT_RETRY_MS, MAX_AGENT_RETRY_MS = (
    20.0,
    250.0,
)  # where lists are pushed: the own machine's agent answers at no cost

TOLD_WITHIN = 6000.0  # after which what was not heard counts as told, all at once
KNOWN_AFTER_WATCH_END_MS = (
    2000.0  # the same after a watch that has ended, or was given up for another discovery
)
KNOWN_AFTER_FAILURE_SHARE = 4.0  # of `ask_within`, the same after a call that failed
AGENT_KNOWN_AFTER_MS = (
    400.0  # the same where lists are pushed: what the agent has counts at once, and has a grace
)
AGENT_SILENT_MS = (
    800.0  # for which an agent that did not answer is taken for silent: it is asked sooner again
)


class Freshness:
    """When discovery is asked again, and until when what it last told may be relied on."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.backoff = Backoff(rng)
        self.rng = rng
        self.reconfigure(settings)
        self.wait = 0.0
        self.due = math.inf  # when to ask again; never while a watch is on
        self.began = -math.inf  # when the list of the process's start was taken
        self.called = -math.inf  # when the last call was made
        self.spoken = False  # whether that has said anything
        self.heard_at = -math.inf  # when discovery last said something
        self.words = 0  # how often it did
        self.lost_at = -math.inf  # when the last watch that had spoken was lost
        self.moved = False  # whether that was given up for another discovery
        self.failures = 0  # calls in a row that failed since the watch was lost
        self.failed_in_time = False  # whether one did before what the watch missed could count as told
        self.crowded = 0  # those of them that were turned away by a discovery that seems to be full
        self.unreachable_at = -math.inf  # when the last call was made that shows that discovery was not there
        self.refused = False  # whether a connection was refused since the watch was lost
        self.watch_ended = True  # whether the watch ended by itself, as all do when discovery goes down
        self.seems_down_at = -math.inf  # when the last call was made by which discovery seems to be down
        self.troubled_at = -math.inf  # when it was last heard after calls that failed

    def reconfigure(self, settings: Settings) -> None:
        """Take the waits from the settings; what was heard, and the wait that is on, stay."""
        self.settings = settings
        within = settings.ask_within
        siblings = settings.siblings
        spread = min(MAX_START_SPREAD_MS, START_SPREAD_MS + START_SPREAD_PER_SIBLING_MS * siblings)
        self.start_spread = min(spread, START_SPREAD_SHARE * within)
        self.retry_wait = min(RETRY, RETRY_WAIT_SHARE * within)
        self.silent_wait = min(MAX_SILENT_WAIT_MS, max(SILENT_WAIT_MS, SILENT_WAIT_PER_SIBLING_MS * siblings))
        self.down_wait = min(MAX_DOWN_WAIT_MS, DOWN_WAIT_MS + DOWN_WAIT_PER_SIBLING_MS * siblings)
        self.max_wait = min(MAX_WAIT_SHARE * within, max(MAX_WAIT_MS, MAX_WAIT_PER_SIBLING_MS * siblings))
        self.known_after = min(TOLD_WITHIN, within) if settings.ask_discovery else TOLD_WITHIN
        after_end = KNOWN_AFTER_WATCH_END_MS if settings.ask_discovery else AGENT_KNOWN_AFTER_MS
        self.known_after_watch_end = min(after_end, self.known_after)
        self.known_after_failure = min(TOLD_WITHIN, KNOWN_AFTER_FAILURE_SHARE * within)

    # What happens

    def start(self, now: float) -> float | None:
        """The first event has come; when to ask, or None where lists are pushed."""
        self.began = now
        if not self.settings.ask_discovery:
            return None
        self.due = now + self.rng.random() * self.start_spread
        return self.due

    def asked(self, now: float) -> float:
        """A call is made; when to ask again if nothing at all is heard."""
        if self.spoken:
            self._watch_lost(now)
        self.called, self.spoken = now, False
        self.due = now + CALL_TIMEOUT_MS
        return self.due

    def move(self, now: float) -> float:
        """Another discovery is asked in place of this one; when to ask again if it says nothing."""
        due = self.asked(now)
        self._forget_failures()
        self.moved = True
        return due

    def failed(self, now: float, kind: ListKind) -> float:
        """The watch or call has ended, or has fallen silent; when to ask again."""
        spoken, self.spoken = self.spoken, False
        if spoken:
            self._watch_lost(now)
            self.watch_ended = kind is not ListKind.SILENT
        else:
            self._call_failed(now, kind)
        self.due = now + self._next_wait(spoken, kind)
        return self.due

    def heard(self, now: float) -> None:
        """Discovery has said something, a heartbeat included."""
        self.heard_at, self.spoken = now, True
        self.words += 1
        self.moved = False
        if self.failures:
            self.troubled_at = now
        self._forget_failures()
        self.wait = 0.0
        self.due = math.inf

    def adopt(self, heard_at: float) -> None:
        """Another process of this sidecar has handed over the list; discovery last spoke to it then."""
        self.began = min(self.began, heard_at)

    def _watch_lost(self, now: float) -> None:
        self.lost_at = now
        self._forget_failures()

    def _forget_failures(self) -> None:
        self.failures = self.crowded = 0
        self.failed_in_time = False
        self.unreachable_at = self.seems_down_at = -math.inf
        self.refused = self.watch_ended = False

    def _call_failed(self, now: float, kind: ListKind) -> None:
        """A call has brought nothing; it may show that discovery was not there when it was made."""
        self.failures += 1
        if kind is ListKind.NOT_MADE:
            return
        self.failed_in_time = self.failed_in_time or self.called <= self._word_holds_until()
        self.refused = self.refused or kind is ListKind.UNREACHABLE
        # One that comes after what was missed could count as told shows nothing of that.
        assumed = self.called <= max(self.fresh_until(), self.assumed_down_until())
        if self._shows_outage(kind) and self.called <= self.fresh_until():
            self.unreachable_at = self.called
        seems_down = kind is ListKind.FAILED and assumed and self._seems_down()
        self.seems_down_at = self.called if seems_down else -math.inf

    def _shows_outage(self, kind: ListKind) -> bool:
        if not self.settings.ask_discovery:
            return kind is ListKind.SILENT
        if kind is ListKind.UNREACHABLE:
            return True
        vouched = self.settings.calls_fail_only_in_outages
        return vouched and kind is ListKind.FAILED and not self.refused

    def _seems_down(self) -> bool:
        """Whether calls since the loss of the watch failed rather as discovery is down than as it is full.

        Not where one was refused a connection: then it is back, and full; nor after a move.
        """
        if self.refused or not self.watch_ended or not self.settings.ask_discovery:
            return False
        if self.settings.calls_fail_only_in_outages:
            return True
        lost_at = max(self.began, self.lost_at)
        return (
            self.called <= lost_at + MAX_ASSUMED_DOWN_MS
            and lost_at >= self.troubled_at + OVERLOAD_SUSPECTED_MS
        )

    # When to ask

    def _next_wait(self, spoken: bool, kind: ListKind) -> float:
        """How long to wait before the next call: it has to bring word within `TOLD_WITHIN` of a return.

        All instances may ask at once, so waits are spread. A crowd can keep discovery full: it works also for
        calls that have waited too long, and answers none for as long as they come at the rate at which it
        could answer them. So waits are no shorter than that needs, and grow where calls go on failing.
        """
        if not self.settings.ask_discovery:
            # What the agent has counts as told while no watch is on, and what it gets when discovery is back.
            self.wait = (
                0.0 if spoken else self.backoff.next(self.wait, MIN_AGENT_RETRY_MS, MAX_AGENT_RETRY_MS)
            )
            return self.wait
        if kind is ListKind.SILENT:
            least, most = self.retry_wait, self.silent_wait
        elif spoken:
            least, most = MIN_RETRY_WAIT_FACTOR * self.retry_wait, self.retry_wait
        elif kind is ListKind.BROKEN_OFF and self.failures == 1:
            least, most = (
                self.retry_wait,
                self.silent_wait,
            )  # that connection's own trouble, for all that is known
        elif kind is ListKind.UNREACHABLE:
            least, most = MIN_REFUSED_WAIT_MS, MAX_REFUSED_WAIT_MS
        elif self._seems_down() and (self.lost_at > -math.inf or self.settings.siblings <= SMALL_FLEET_SIZE):
            least, most = MIN_DOWN_WAIT_FACTOR * self.down_wait, self.down_wait
        elif self.lost_at == -math.inf and self.failures <= START_RETRIES and self.settings.probing:
            least, most = MIN_START_RETRY_MS, MAX_START_RETRY_MS
        else:
            self.crowded += 1
            most = min(self.max_wait, MAX_OVERLOAD_WAIT_MS * OVERLOAD_WAIT_GROWTH ** (self.crowded - 1))
            least = MIN_OVERLOAD_WAIT_FACTOR * most
        self.wait = min(self.max_wait, least + (most - least) * self.rng.random())
        return self.wait

    # What is known

    def disconnected(self) -> bool:
        """Whether no watch is known to be on: what the list says may be over."""
        return self.due < math.inf

    def fresh_until(self) -> float:
        """Until when the endpoints of the list may be sent to: nothing can count as told of them by then."""
        if not self.disconnected():
            return math.inf
        return max(self._word_holds_until(), self._outage_valid_until())

    def assumed_down_until(self) -> float:
        """Until when discovery may be taken to be down, by calls that were all turned away; -inf: it may not.

        No more than an assumption: it may be up and full. Where it is down a change counts as told
        `TOLD_WITHIN` after the last of these calls at the earliest.
        """
        return self.seems_down_at + self.known_after_failure

    def _word_holds_until(self) -> float:
        """The earliest time at which a change right after discovery's last word may count as told."""
        if self.lost_at == -math.inf:
            return self.began + self.known_after  # no watch yet: the list is that of the process's start
        if self.moved or not self.failed_in_time or not self.settings.ask_discovery:
            return min(self.heard_at + TOLD_WITHIN, self.lost_at + self.known_after_watch_end)
        return min(self.heard_at + TOLD_WITHIN, self.called + self.known_after_failure)

    def _outage_valid_until(self) -> float:
        """The same of a change that discovery knows of once it can be reached again."""
        if not self.settings.ask_discovery:
            return self.unreachable_at + AGENT_SILENT_MS
        return self.unreachable_at + self.known_after_failure
