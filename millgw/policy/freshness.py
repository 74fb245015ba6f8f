"""The endpoint list while discovery is not heard: when to ask again, and whom to trust. Pure.

An endpoint may begin to drain while no watch is on. From some time on that counts as told, whether or not it
arrived, and then nothing may be sent there (rule 3). Only two things prove that an endpoint did not drain at
some moment: a word of discovery, heartbeats included, and a health probe that was answered well. That it
served a call proves nothing: endpoints that drain may go on serving.

Times are ms of the events' clock. The times after which a change counts as told are the operators' own.
"""

from __future__ import annotations

import math
import random

from millgw.interface import Settings
from millgw.policy.backoff import Backoff

# How soon discovery is asked again stands in ms, as the time after which all counts as told does: parts of
# `ask_within` alone would leave a silent watch too long where that is long, and storm where it is short.
ASK_SPREAD, ASK_SPREAD_PART = 1000.0, 0.1  # instances that start together ask at different times
ASK_RETRY, ASK_RETRY_PART = 300.0, 0.25  # least wait after a watch that was on has ended
ASK_SILENT = 3.0  # times that, the wait before which the first wait after a silent call is drawn from
ASK_CROWDED, ASK_CROWDED_PART = 2500.0, 1.0  # least wait after a call that was turned away
ASK_MOST, ASK_MOST_PART = 10_000.0, 3.0  # longest wait; a failed call keeps the list for four `ask_within`
AGENT_RETRY, AGENT_MOST = 20.0, 250.0  # where lists are pushed: the own machine's agent answers at no cost
ASK_AGAIN = 5000.0  # longest silence after a call: over the longest that discovery works before it answers
TOLD_WITHIN = 6000.0  # ms after which what a silent watch or call misses counts as told, all at once
TOLD_AFTER_END = 2000.0  # the same after a watch that has ended, or was given up for another discovery
OUTAGE_CALLS = (
    2  # unanswered calls in a row from which discovery counts as down: one may be a lost connection
)
LOST_FOR = 30_000.0  # without a word, after which the list is used as it is where nothing can prove it


class Freshness:
    """When discovery is asked again, and how long the last proof of an endpoint's state holds."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.backoff = Backoff(rng)
        self.rng = rng
        self.reconfigure(settings)
        self.wait = 0.0
        self.due = math.inf
        self.soonest = math.inf  # from when on a request that finds no fresh endpoint may have it asked
        self.called = -math.inf  # when the last call was made
        self.first_called = math.inf
        self.spoken = False  # whether that has said anything
        self.heard_at = -math.inf  # when discovery last said something
        self.lost_at = -math.inf  # when the last watch that had spoken was lost
        self.unanswered = 0  # calls in a row that nothing came of
        self.down_at = -math.inf  # when discovery was last seen to be down

    def reconfigure(self, settings: Settings) -> None:
        """Take the waits from the settings; what was heard, and the wait that is on, stay."""
        self.settings = settings
        within = settings.ask_within
        self.crowd = min(ASK_SPREAD, ASK_SPREAD_PART * within)
        self.retry = min(ASK_RETRY, ASK_RETRY_PART * within)
        self.crowded = min(ASK_CROWDED, ASK_CROWDED_PART * within)
        self.most = min(ASK_MOST, ASK_MOST_PART * within)
        self.later = min(TOLD_WITHIN, within) if settings.ask_discovery else TOLD_WITHIN
        self.after_end = min(TOLD_AFTER_END, self.later)

    # What happens

    def start(self, now: float) -> float:
        """The first event has come; when to ask."""
        self.due = now + self.rng.random() * self.crowd
        return self.due

    def asked(self, now: float) -> float:
        """A call is made; when to ask again if nothing at all is heard."""
        if self.spoken:
            self._lose(now)
        self.called, self.spoken = now, False
        self.first_called = min(self.first_called, now)
        self.soonest = math.inf
        self.due = now + ASK_AGAIN
        return self.due

    def failed(self, now: float, silent: bool = False) -> float:
        """The watch or call has ended, or has fallen silent; when to ask again."""
        # A crowd can keep discovery full: it works for calls that wait too long and fail, and answers none
        # for as long as they come back at the rate at which it could answer them. A silent call may be on a
        # dead connection, and what it misses counts as told `TOLD_WITHIN` after that, of which half has
        # passed: it is made again in the rest of it, but spread over that.
        spoken, self.spoken = self.spoken, False
        if spoken:
            self._lose(now)
        else:
            self._count_unanswered(silent)
        crowded = self.deaf() and not silent
        if not self.settings.ask_discovery:
            # What the agent has counts as told while no watch is on, and what it gets when discovery is back.
            self.wait = 0.0 if spoken else self.backoff.next(self.wait, AGENT_RETRY, AGENT_MOST)
        else:
            if self.deaf() and silent:
                self.wait = max(self.wait, ASK_SILENT * self.retry)
            self.wait = self.backoff.next(self.wait, self.crowded if crowded else self.retry, self.most)
        self.due = now + self.wait
        self.soonest = now + self.retry if silent else math.inf
        return self.due

    def heard(self, now: float) -> None:
        """Discovery has said something, a heartbeat included."""
        self.heard_at, self.spoken = now, True
        self.unanswered = 0
        self.wait = 0.0
        self.due = math.inf
        self.soonest = math.inf

    def _lose(self, now: float) -> None:
        self.lost_at = now
        self.unanswered = 0

    def _count_unanswered(self, silent: bool) -> None:
        """Note what a call that brought nothing tells of discovery: one that turns calls away is up."""
        self.unanswered = self.unanswered + 1 if silent else 0
        if self.unanswered >= OUTAGE_CALLS:
            self.down_at = self.called

    # What is known

    def wanted(self, now: float) -> bool:
        """Whether to ask before it is due, as no endpoint is fresh: after a silence, not in a crowd."""
        return self.soonest <= now < self.due

    def deaf(self) -> bool:
        """Whether no watch is known to be on: what the list says may be over."""
        return self.due < math.inf

    def fresh_until(self, known_at: float) -> float:
        """Until when an endpoint may be sent to that was known not to drain at `known_at`.

        The earliest time at which a drain that began right after that may count as told. Where nothing but
        discovery can prove an endpoint's state, the list also holds while discovery is seen to be down, and
        once it was lost for so long that this is an outage, however it answers.
        """
        if not self.deaf():
            return math.inf
        until = self._told_at(known_at)
        if self.settings.probing or known_at == -math.inf:
            return until
        if self.called > max(self.first_called, self.heard_at, self.lost_at) + LOST_FOR:
            return math.inf
        return max(until, self.down_at + self.later)

    def _told_at(self, known_at: float) -> float:
        if self.lost_at == -math.inf:
            return known_at + self.later  # no watch yet: the list is that of the process's start
        if known_at > self.lost_at:
            return known_at + self.after_end
        return min(known_at + TOLD_WITHIN, self.lost_at + self.after_end)
