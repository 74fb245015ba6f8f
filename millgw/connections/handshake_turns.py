"""Limits the rate of handshakes to cold and unreachable endpoints, shared among siblings. Pure.

A handshake costs the endpoint work, and a cold endpoint has little capacity. The siblings don't communicate,
but each knows their number, its own index and when the endpoint started. That is enough to divide a given
rate of handshakes among them: the permitted handshakes since the start are numbered, at a rate that rises
with the endpoint's capacity. Number k belongs to sibling k modulo the number of siblings and is due when the
count reaches k. A turn not used within `TURN_VALID_MS` expires, as saved turns would all be used at once.

The same numbering over all time, at the full rate, divides the retries to an unreachable endpoint. It is cold
when it comes back, and all siblings would try it at once.

If only this instance saw the endpoint come back, there is no common start to count from. Then each sibling
counts from the time it saw, with a random offset and at half the rate, as some turns coincide by chance.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

TURN_VALID_MS = 100.0  # how long a turn may be used
PLANNED_RATE_SHARE = 0.8  # of the given rate: late use of turns and a window's edge then don't exceed it
UNSHARED_START_FACTOR = 0.5  # applied to the rate if siblings don't count from the same start


@dataclass(slots=True, frozen=True)
class InstancePosition:
    """An instance's index among its siblings, and how capacity rises: `cold_share` to 1 in `cold_time` ms."""

    index: int
    siblings: int
    cold_share: float
    cold_time: float


class HandshakeTurns:
    """One instance's turns to open a connection to one endpoint that started at `since`.

    `rate` is the handshakes per second of all siblings at full capacity. `start_shared` tells whether the
    siblings know the same start. Times are in ms on the clock of `since`.
    """

    __slots__ = ("first", "last_used", "position", "rate", "since")

    def __init__(
        self, position: InstancePosition, rate: float, since: float, start_shared: bool, rng: random.Random
    ) -> None:
        self.position = position
        self.rate = PLANNED_RATE_SHARE * rate / 1000 * (1.0 if start_shared else UNSHARED_START_FACTOR)
        self.since = since
        self.first = (
            position.index % position.siblings + 1.0 if start_shared else position.siblings * rng.random()
        )
        self.last_used = -1

    def cold(self, now: float) -> bool:
        return now < self.since + self.position.cold_time

    def handshakes_by(self, now: float) -> float:
        """The number of handshakes permitted from the start until now."""
        share, time = self.position.cold_share, self.position.cold_time
        passed = min(max(0.0, now - self.since), time)
        if time <= 0 or math.isinf(time):
            return self.rate * passed
        return self.rate * (share * passed + (1 - share) * passed * passed / (2 * time))

    def time_of(self, count: float) -> float:
        """When the count reaches a number; inf if not while the endpoint is cold."""
        if count <= 0:
            return self.since
        share, time = self.position.cold_share, self.position.cold_time
        if math.isinf(time):
            return self.since + count / self.rate
        if self.rate <= 0 or count > self.handshakes_by(self.since + time):
            return math.inf
        rise, wanted = (1 - share) / time, count / self.rate
        # The root of share * t + rise * t * t / 2 = wanted, in the form without cancellation.
        return self.since + 2 * wanted / (share + math.sqrt(share * share + 2 * rise * wanted))

    def take(self, now: float) -> bool:
        """Use the turn that is due now; returns whether there was one."""
        if not self.cold(now):
            return True
        siblings = self.position.siblings
        # Of one instance's turns only the latest is used: they are further apart than TURN_VALID_MS.
        number = math.floor((self.handshakes_by(now) - self.first) / siblings)
        if (
            number <= self.last_used
            or number < 0
            or now > self.time_of(self.first + number * siblings) + TURN_VALID_MS
        ):
            return False
        self.last_used = number
        return True

    def next_due(self, now: float) -> float:
        """When the next unused turn is due; the end of the cold time if there is none."""
        number = max(
            self.last_used + 1, math.ceil((self.handshakes_by(now) - self.first) / self.position.siblings), 0
        )
        due = self.time_of(self.first + number * self.position.siblings)
        return min(max(now, due), max(now, self.since + self.position.cold_time))


def retry_turns(position: InstancePosition, rate: float, rng: random.Random) -> HandshakeTurns:
    """An instance's turns to retry an unreachable endpoint, by the wall clock, which all siblings share."""
    return HandshakeTurns(
        InstancePosition(position.index, position.siblings, 1.0, math.inf), rate, 0.0, True, rng
    )
