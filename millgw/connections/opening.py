"""When a connection to an endpoint may be opened. Pure.

A handshake costs an endpoint work, and a cold one has little to give. Nobody tells the siblings of each
other, but all know how many they are, which of them each is, and when the endpoint started: enough to share
out a stated rate of handshakes without a word. The handshakes that it may be asked for since its start are
counted through, as capacity rises; number k is for the sibling k modulo their count, and falls due when the
count comes to k. A turn that is not used within `TURN_VALID_MS` is gone: kept ones would all be used at once.

The same count over all time, at the full rate, shares out the tries of an endpoint that is out of reach:
what comes up then comes up cold, and all its siblings would try at once.

Where only this instance saw the endpoint come back, nobody can count from the same start. Then each counts
from what it saw, from a place drawn by chance, and at half the rate, since chance lets some meet.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

TURN_VALID_MS = 100.0  # ms for which a turn may be used
PLANNED_RATE_SHARE = (
    0.8  # of the stated rate: with SLACK and one that meets the window's edge it stays within
)
UNSHARED_START_FACTOR = 0.5  # of that, where siblings don't count from one start


@dataclass(slots=True, frozen=True)
class Place:
    """An instance among its siblings, and how capacity rises: from `cold_share` to 1 in `cold_time` ms."""

    index: int
    siblings: int
    cold_share: float
    cold_time: float


class Turns:
    """One instance's turns to open a connection to one endpoint that started at `since`.

    `rate` is handshakes a second over all siblings at full capacity. `common` tells whether the siblings know
    the same start. Times are ms on the clock that `since` is of.
    """

    __slots__ = ("first", "last_used", "position", "rate", "since")

    def __init__(
        self, position: Place, rate: float, since: float, start_shared: bool, rng: random.Random
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
        """Handshakes that the endpoint may have been asked for since its start."""
        share, time = self.position.cold_share, self.position.cold_time
        passed = min(max(0.0, now - self.since), time)
        if time <= 0 or math.isinf(time):
            return self.rate * passed
        return self.rate * (share * passed + (1 - share) * passed * passed / (2 * time))

    def time_of(self, count: float) -> float:
        """When the count comes to a number; inf where it does not while the endpoint is cold."""
        if count <= 0:
            return self.since
        share, time = self.position.cold_share, self.position.cold_time
        if math.isinf(time):
            return self.since + count / self.rate
        if self.rate <= 0 or count > self.handshakes_by(self.since + time):
            return math.inf
        rise, wanted = (1 - share) / time, count / self.rate
        # The root of share * t + rise * t * t / 2 = wanted in the form that nothing cancels out in.
        return self.since + 2 * wanted / (share + math.sqrt(share * share + 2 * rise * wanted))

    def take(self, now: float) -> bool:
        """Use the turn that is due now, if there is one."""
        if not self.cold(now):
            return True
        siblings = self.position.siblings
        # Of all turns in the last SLACK only the latest can be open: they are further apart than that.
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
        """When the next turn falls due that is not used; the end of the cold time where none does."""
        number = max(
            self.last_used + 1, math.ceil((self.handshakes_by(now) - self.first) / self.position.siblings), 0
        )
        due = self.time_of(self.first + number * self.position.siblings)
        return min(max(now, due), max(now, self.since + self.position.cold_time))


def retry_turns(position: Place, rate: float, rng: random.Random) -> Turns:
    """An instance's turns to try an endpoint that is out of reach: by the wall clock, which all share."""
    return Turns(Place(position.index, position.siblings, 1.0, math.inf), rate, 0.0, True, rng)
