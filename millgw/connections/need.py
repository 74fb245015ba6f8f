"""How many connections to an endpoint will be needed at once. Pure.

What was lately in use at once will be again: a peak that fades. And when calls come faster than they did,
more will be: the rise is the rate over the last fifth of a second against that over some seconds, so that a
flash crowd finds connections that were opened while it came.
"""

from __future__ import annotations

import math

PEAK_MEMORY = 20_000.0  # ms after which a peak is mostly forgotten
QUICK, SLOW = 200.0, 3000.0  # ms over which rates are averaged
RISE_MOST = 4.0  # times: a guess beyond that is no better
CHANCE = 3.0  # standard deviations of a count, and calls, up to which more of them than usual is chance


class Rate:
    """Events per ms, with a memory that fades."""

    __slots__ = ("at", "memory", "sum")

    def __init__(self, memory: float) -> None:
        self.memory = memory
        self.sum = 0.0
        self.at = 0.0

    def count(self, now: float) -> None:
        self.sum = self.fresh(now) + 1.0
        self.at = now

    def fresh(self, now: float) -> float:
        """Events that still count."""
        return self.sum * math.exp((self.at - now) / self.memory)

    def rate(self, now: float) -> float:
        return self.fresh(now) / self.memory


class Need:
    """One endpoint's. `busy` is how many of its connections carry a request or are being opened for one."""

    __slots__ = ("at", "peak", "quick", "slow")

    def __init__(self) -> None:
        self.peak = 0.0
        self.at = 0.0
        self.quick = Rate(QUICK)
        self.slow = Rate(SLOW)

    def sent(self, now: float, busy: int) -> None:
        """A request is sent there, with which so many are in use."""
        self.peak = max(float(busy), self.level(now))
        self.at = now
        self.quick.count(now)
        self.slow.count(now)

    def level(self, now: float) -> float:
        return self.peak * math.exp((self.at - now) / PEAK_MEMORY)

    def rise(self, now: float) -> float:
        """How many times as fast calls come as they did; 1 where they don't come faster."""
        usual = self.slow.rate(now) * QUICK
        if self.quick.fresh(now) <= usual + CHANCE * math.sqrt(usual) + CHANCE:
            return 1.0
        # The slow rate needs its time to fill: until then it looks lower than it is, and a start like a rise.
        return min(RISE_MOST, self.quick.fresh(now) / max(usual, 1e-9))

    def wanted(self, now: float, busy: int, headroom: float) -> int:
        """How many should be open by now, busy ones among them."""
        rise = self.rise(now)
        if rise > 1.0:
            return math.floor(max(self.level(now), busy * rise) * (1.0 + headroom) + 0.5)
        # Where nothing rises, the connections that a peak opened are there until they age; one is kept ready.
        return max(busy, min(math.floor(self.level(now) + 0.5), busy + 1))

    def spared(self, now: float, left: int) -> None:
        """One was given up as nobody used it, and so many are left: more than these are not needed.

        Guards against connections that are opened ahead, stand idle, and are opened again.
        """
        if left < self.level(now):
            self.peak, self.at = float(left), now
