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
START_SPREAD, START_SPREAD_EACH = 600.0, 100.0  # instances that start together ask at different times
START_SPREAD_MOST, START_SPREAD_PART = 2500.0, 0.25  # the latter of `ask_within`
RETRY, RETRY_PART = 300.0, 0.25  # longest wait after the end of a watch, and least after a silence
RETRY_LEAST_PART = 0.07  # of that, the least after the end of a watch
SILENT, SILENT_EACH, SILENT_MOST = 1300.0, 30.0, 2300.0  # longest wait after a silence: a dead connection's
DOWN, DOWN_EACH, DOWN_MOST = 600.0, 150.0, 2700.0  # longest wait while discovery seems to be down
DOWN_LEAST_PART = 0.4  # of that, the least
DOWN_FOR = 30_000.0  # for which it may seem so: later it may rather be full
CROWD_LASTS = 10_000.0  # after calls that failed, in which it may rather be full, too
SMALL_FLEET = 10  # siblings up to which calls that fail at a start are no crowd of theirs
START_RETRIES = 2  # first calls of a larger fleet that are made again sooner, where probes are allowed
START_RETRY_LEAST, START_RETRY_MOST = 2000.0, 3900.0  # wait after these
REFUSED_LEAST, REFUSED_MOST = 1000.0, 5000.0  # wait after a refused connection: nobody is at work on it
CROWD_MOST = 6500.0  # longest wait after a call that was turned away by a discovery that seems to be full
CROWD_LEAST_PART, CROWD_GROWTH = 0.5, 1.5  # the least of that, and what it grows by with each further one
LONGEST, LONGEST_EACH = 10_000.0, 300.0  # of all waits
LONGEST_PART = 3.0  # of `ask_within`, the same: a failed call keeps the list for four
CALL_TIME = 5000.0  # longest silence after a call: over the longest that discovery works before it answers
AGENT_RETRY, AGENT_MOST = 20.0, 250.0  # where lists are pushed: the own machine's agent answers at no cost

TOLD_WITHIN = 6000.0  # after which what was not heard counts as told, all at once
TOLD_AFTER_END = 2000.0  # the same after a watch that has ended, or was given up for another discovery
TOLD_AFTER_FAILURE_PART = 4.0  # of `ask_within`, the same after a call that failed
AGENT_TOLD = 400.0  # the same where lists are pushed: what the agent has counts at once, and has a grace
AGENT_AWAY = 800.0  # for which an agent that did not answer is taken for silent: it is asked sooner again


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
        spread = min(START_SPREAD_MOST, START_SPREAD + START_SPREAD_EACH * siblings)
        self.crowd = min(spread, START_SPREAD_PART * within)
        self.retry = min(RETRY, RETRY_PART * within)
        self.silent = min(SILENT_MOST, max(SILENT, SILENT_EACH * siblings))
        self.down = min(DOWN_MOST, DOWN + DOWN_EACH * siblings)
        self.longest = min(LONGEST_PART * within, max(LONGEST, LONGEST_EACH * siblings))
        self.told_within = min(TOLD_WITHIN, within) if settings.ask_discovery else TOLD_WITHIN
        after_end = TOLD_AFTER_END if settings.ask_discovery else AGENT_TOLD
        self.told_after_end = min(after_end, self.told_within)
        self.told_after_failure = min(TOLD_WITHIN, TOLD_AFTER_FAILURE_PART * within)

    # What happens

    def start(self, now: float) -> float | None:
        """The first event has come; when to ask, or None where lists are pushed."""
        self.began = now
        if not self.settings.ask_discovery:
            return None
        self.due = now + self.rng.random() * self.crowd
        return self.due

    def asked(self, now: float) -> float:
        """A call is made; when to ask again if nothing at all is heard."""
        if self.spoken:
            self._lose(now)
        self.called, self.spoken = now, False
        self.due = now + CALL_TIME
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
            self._lose(now)
            self.watch_ended = kind is not ListKind.SILENT
        else:
            self._fail(now, kind)
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

    def _lose(self, now: float) -> None:
        self.lost_at = now
        self._forget_failures()

    def _forget_failures(self) -> None:
        self.failures = self.crowded = 0
        self.failed_in_time = False
        self.unreachable_at = self.seems_down_at = -math.inf
        self.refused = self.watch_ended = False

    def _fail(self, now: float, kind: ListKind) -> None:
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
        return self.called <= lost_at + DOWN_FOR and lost_at >= self.troubled_at + CROWD_LASTS

    # When to ask

    def _next_wait(self, spoken: bool, kind: ListKind) -> float:
        """How long to wait before the next call: it has to bring word within `TOLD_WITHIN` of a return.

        All instances may ask at once, so waits are spread. A crowd can keep discovery full: it works also for
        calls that have waited too long, and answers none for as long as they come at the rate at which it
        could answer them. So waits are no shorter than that needs, and grow where calls go on failing.
        """
        if not self.settings.ask_discovery:
            # What the agent has counts as told while no watch is on, and what it gets when discovery is back.
            self.wait = 0.0 if spoken else self.backoff.next(self.wait, AGENT_RETRY, AGENT_MOST)
            return self.wait
        if kind is ListKind.SILENT:
            least, most = self.retry, self.silent
        elif spoken:
            least, most = RETRY_LEAST_PART * self.retry, self.retry
        elif kind is ListKind.BROKEN_OFF and self.failures == 1:
            least, most = self.retry, self.silent  # that connection's own trouble, for all that is known
        elif kind is ListKind.UNREACHABLE:
            least, most = REFUSED_LEAST, REFUSED_MOST
        elif self._seems_down() and (self.lost_at > -math.inf or self.settings.siblings <= SMALL_FLEET):
            least, most = DOWN_LEAST_PART * self.down, self.down
        elif self.lost_at == -math.inf and self.failures <= START_RETRIES and self.settings.probing:
            least, most = START_RETRY_LEAST, START_RETRY_MOST
        else:
            self.crowded += 1
            most = min(self.longest, CROWD_MOST * CROWD_GROWTH ** (self.crowded - 1))
            least = CROWD_LEAST_PART * most
        self.wait = min(self.longest, least + (most - least) * self.rng.random())
        return self.wait

    # What is known

    def disconnected(self) -> bool:
        """Whether no watch is known to be on: what the list says may be over."""
        return self.due < math.inf

    def fresh_until(self) -> float:
        """Until when the endpoints of the list may be sent to: nothing can count as told of them by then."""
        if not self.disconnected():
            return math.inf
        return max(self._word_holds_until(), self._away_until())

    def assumed_down_until(self) -> float:
        """Until when discovery may be taken to be down, by calls that were all turned away; -inf: it may not.

        No more than an assumption: it may be up and full. Where it is down a change counts as told
        `TOLD_WITHIN` after the last of these calls at the earliest.
        """
        return self.seems_down_at + self.told_after_failure

    def _word_holds_until(self) -> float:
        """The earliest time at which a change right after discovery's last word may count as told."""
        if self.lost_at == -math.inf:
            return self.began + self.told_within  # no watch yet: the list is that of the process's start
        if self.moved or not self.failed_in_time or not self.settings.ask_discovery:
            return min(self.heard_at + TOLD_WITHIN, self.lost_at + self.told_after_end)
        return min(self.heard_at + TOLD_WITHIN, self.called + self.told_after_failure)

    def _away_until(self) -> float:
        """The same of a change that discovery knows of once it can be reached again."""
        if not self.settings.ask_discovery:
            return self.unreachable_at + AGENT_AWAY
        return self.unreachable_at + self.told_after_failure
