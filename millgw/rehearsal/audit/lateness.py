"""How late the rig itself was, and which breaches that can explain. No I/O.

A late rig sees answers late, and a sidecar that waited for a CPU core is late through no fault of its own.
Both are measured throughout the day, and a breach that they can explain does not count against a sidecar.
"""

from __future__ import annotations

import bisect
from collections.abc import Sequence
from dataclasses import dataclass

from millgw.standins.ledger import Sample

MAX_LOOP_LAG_MS = 100.0  # ms that the rig's loop may lag, in all but LATE_SHARE of the samples
MAX_ARRIVAL_DELAY_MS = 100.0  # how late an arrival may be sent, in all but LATE_SHARE of them
MAX_CORE_WAIT_SHARE = 0.25  # that sidecars may wait for a core, on average over all
LATE_SHARE = 0.01
WINDOW_BEFORE_MS = 1000.0  # delays so long before an observation may have caused it
WINDOW_AFTER_MS = 300.0  # and after it: a sample covers the time since the previous one


@dataclass(slots=True, frozen=True)
class RigMeasurements:
    """The rig's delays: lag of its loop and lateness of arrivals in ms, core use as shares."""

    lag_p99: float
    lag_most: float
    arrival_p99: float
    arrival_most: float
    busy: float  # share of all cores in use, on average
    starved: float  # share of their time that sidecars waited for a core
    reasons: tuple[str, ...]  # why the day can't be judged; empty if it can


def quantile(values: Sequence[float], q: float) -> float:
    """The value that a share `q` of the values don't exceed; 0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(q * len(ordered)))]


class Lateness:
    """The measured delays of the rig, and how much of an observation they can explain."""

    def __init__(self, samples: Sequence[Sample], late: Sequence[tuple[float, float]]) -> None:
        self.samples = sorted(samples, key=lambda s: s.at)
        self.times = [s.at for s in self.samples]
        self.arrival_delays = [ms for _, ms in late]

    def possible_delay(self, start: float, end: float, sidecar: str = "") -> float:
        """By how many ms the rig's lag and a sidecar's wait for a core may have delayed it in this time."""
        lag = max((sample.lag for sample in self._samples_around(start, end)), default=0.0)
        return lag + self.core_wait(start, end, sidecar)

    def total_lag(self, start: float, end: float) -> float:
        """For how many ms of this time the rig's loop lagged; lags within the bound don't count."""
        return sum(sample.lag for sample in self._samples_around(start, end) if sample.lag > MAX_LOOP_LAG_MS)

    def core_wait(self, start: float, end: float, sidecar: str) -> float:
        """How many ms a sidecar waited for a core around this time."""
        return sum(sample.starved.get(sidecar, 0.0) for sample in self._samples_around(start, end))

    def _samples_around(self, start: float, end: float) -> list[Sample]:
        first = bisect.bisect_left(self.times, start - WINDOW_BEFORE_MS)
        last = bisect.bisect_right(self.times, end + WINDOW_AFTER_MS)
        # Core waits are in some samples only: the first such sample after the end covers this time too.
        while 0 < last < len(self.samples) and not self.samples[last - 1].starved:
            last += 1
        return self.samples[first:last]

    def measure(self) -> RigMeasurements:
        lags = [s.lag for s in self.samples]
        span = self.times[-1] - self.times[0] if len(self.times) > 1 else 0.0
        waits: dict[str, float] = {}
        for sample in self.samples:
            for name, ms in sample.starved.items():
                waits[name] = waits.get(name, 0.0) + ms
        starved = sum(waits.values()) / (len(waits) * span) if waits and span > 0 else 0.0
        busy = sum(s.busy for s in self.samples) / len(self.samples) if self.samples else 0.0
        lag, arrival = quantile(lags, 1 - LATE_SHARE), quantile(self.arrival_delays, 1 - LATE_SHARE)
        reasons = []
        if lag > MAX_LOOP_LAG_MS:
            reasons.append(f"the rig's loop lagged {lag:.0f} ms (p99; bound {MAX_LOOP_LAG_MS:.0f})")
        if arrival > MAX_ARRIVAL_DELAY_MS:
            reasons.append(
                f"arrivals were sent {arrival:.0f} ms late (p99; bound {MAX_ARRIVAL_DELAY_MS:.0f})"
            )
        if starved > MAX_CORE_WAIT_SHARE:
            reasons.append(
                f"sidecars waited for a core {starved:.0%} of the time (bound {MAX_CORE_WAIT_SHARE:.0%}):"
                " cores are short"
            )
        return RigMeasurements(
            lag,
            max(lags, default=0.0),
            arrival,
            max(self.arrival_delays, default=0.0),
            busy,
            starved,
            tuple(reasons),
        )
