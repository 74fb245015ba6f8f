"""How many connections to an endpoint will be needed at once. Pure.

What was lately in use at once will be again: a peak that fades. And when calls come faster than they did,
more will be: the rise is the rate over the last fifth of a second against that over some seconds, so that a
flash crowd finds connections that were opened while it came.
"""

from __future__ import annotations

import math

PEAK_DECAY_MS = 20_000.0  # ms after which a peak is mostly forgotten
FAST_WINDOW_MS, SLOW_WINDOW_MS = 200.0, 3000.0  # ms over which rates are averaged
MAX_RISE = 4.0  # times: a guess beyond that is no better
NOISE_DEVIATIONS = (
    3.0  # standard deviations of a count, and calls, up to which more of them than usual is chance
)


class DecayingRate:
    """Events per ms, with a memory that fades."""

    __slots__ = ("at", "decay_ms", "weight")

    def __init__(self, decay_ms: float) -> None:
        self.decay_ms = decay_ms
        self.weight = 0.0
        self.at = 0.0

    def count(self, now: float) -> None:
        self.weight = self.decayed(now) + 1.0
        self.at = now

    def decayed(self, now: float) -> float:
        """Events that still count."""
        return self.weight * math.exp((self.at - now) / self.decay_ms)

    def rate(self, now: float) -> float:
        return self.decayed(now) / self.decay_ms


class ConnectionDemand:
    """One endpoint's. `busy` is how many of its connections carry a request or are being opened for one."""

    __slots__ = ("fast_rate", "peak", "peak_at", "slow_rate")

    def __init__(self) -> None:
        self.peak = 0.0
        self.peak_at = 0.0
        self.fast_rate = DecayingRate(FAST_WINDOW_MS)
        self.slow_rate = DecayingRate(SLOW_WINDOW_MS)

    def request_sent(self, now: float, busy: int) -> None:
        """A request is sent there, with which so many are in use."""
        self.peak = max(float(busy), self.decayed_peak(now))
        self.peak_at = now
        self.fast_rate.count(now)
        self.slow_rate.count(now)

    def decayed_peak(self, now: float) -> float:
        return self.peak * math.exp((self.peak_at - now) / PEAK_DECAY_MS)

    def rise(self, now: float) -> float:
        """How many times as fast calls come as they did; 1 where they don't come faster."""
        usual = self.slow_rate.rate(now) * FAST_WINDOW_MS
        if self.fast_rate.decayed(now) <= usual + NOISE_DEVIATIONS * math.sqrt(usual) + NOISE_DEVIATIONS:
            return 1.0
        # The slow rate needs its time to fill: until then it looks lower than it is, and a start like a rise.
        return min(MAX_RISE, self.fast_rate.decayed(now) / max(usual, 1e-9))

    def wanted(self, now: float, busy: int, headroom: float) -> int:
        """How many should be open by now, busy ones among them."""
        rise = self.rise(now)
        if rise > 1.0:
            return math.floor(max(self.decayed_peak(now), busy * rise) * (1.0 + headroom) + 0.5)
        # Where nothing rises, the connections that a peak opened are there until they age; one is kept ready.
        return max(busy, min(math.floor(self.decayed_peak(now) + 0.5), busy + 1))

    def unused_given_up(self, now: float, left: int) -> None:
        """One was given up as nobody used it, and so many are left: more than these are not needed.

        Guards against connections that are opened ahead, stand idle, and are opened again.
        """
        if left < self.decayed_peak(now):
            self.peak, self.peak_at = float(left), now
