"""Predicts how many connections to an endpoint will be in use at the same time. Pure.

The basis is the recent peak of concurrent use, which decays. When the call rate rises, more will be needed:
the rise is the rate over the last 0.2 s divided by the rate over 3 s, so that connections for a flash crowd
are opened while it builds up.
"""

from __future__ import annotations

import math

PEAK_DECAY_MS = 20_000.0  # time constant of the decay of a peak
FAST_WINDOW_MS, SLOW_WINDOW_MS = 200.0, 3000.0  # time constants of the two call rates
MAX_RISE = 4.0  # factor: a larger one predicts no better
NOISE_DEVIATIONS = 3.0  # an excess of so many standard deviations, plus so many calls, is noise and no rise


class DecayingRate:
    """Events per ms, as an exponentially decaying average."""

    __slots__ = ("decay_ms", "updated_at", "weight")

    def __init__(self, decay_ms: float) -> None:
        self.decay_ms = decay_ms
        self.weight = 0.0
        self.updated_at = 0.0

    def count(self, now: float) -> None:
        self.weight = self.decayed(now) + 1.0
        self.updated_at = now

    def decayed(self, now: float) -> float:
        """The decayed count of events."""
        return self.weight * math.exp((self.updated_at - now) / self.decay_ms)

    def rate(self, now: float) -> float:
        return self.decayed(now) / self.decay_ms


class ConnectionDemand:
    """Of one endpoint. `busy` is how many of its connections carry a request or are being opened for one."""

    __slots__ = ("fast_rate", "peak", "peak_at", "slow_rate")

    def __init__(self) -> None:
        self.peak = 0.0
        self.peak_at = 0.0
        self.fast_rate = DecayingRate(FAST_WINDOW_MS)
        self.slow_rate = DecayingRate(SLOW_WINDOW_MS)

    def request_sent(self, now: float, busy: int) -> None:
        """A request is sent to the endpoint; `busy` connections are in use with it."""
        self.peak = max(float(busy), self.decayed_peak(now))
        self.peak_at = now
        self.fast_rate.count(now)
        self.slow_rate.count(now)

    def decayed_peak(self, now: float) -> float:
        return self.peak * math.exp((self.peak_at - now) / PEAK_DECAY_MS)

    def rise(self, now: float) -> float:
        """The factor by which the call rate has risen; 1 if it has not."""
        usual = self.slow_rate.rate(now) * FAST_WINDOW_MS
        if self.fast_rate.decayed(now) <= usual + NOISE_DEVIATIONS * math.sqrt(usual) + NOISE_DEVIATIONS:
            return 1.0
        # The slow rate is too low until it has seen enough time, so the first calls look like a rise.
        return min(MAX_RISE, self.fast_rate.decayed(now) / max(usual, 1e-9))

    def wanted(self, now: float, busy: int, headroom: float) -> int:
        """How many connections should be open now, including busy ones."""
        rise = self.rise(now)
        if rise > 1.0:
            return math.floor(max(self.decayed_peak(now), busy * rise) * (1.0 + headroom) + 0.5)
        # Without a rise, connections opened for a peak remain until they age out; one spare is kept ready.
        return max(busy, min(math.floor(self.decayed_peak(now) + 0.5), busy + 1))

    def unused_given_up(self, now: float, left: int) -> None:
        """An unused connection was closed and `left` remain, so no more than these are needed.

        Otherwise connections would be opened ahead of need, stand idle, be closed, and be opened again.
        """
        if left < self.decayed_peak(now):
            self.peak, self.peak_at = float(left), now
