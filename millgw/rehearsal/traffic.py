"""Draws the arrivals of a day from a scenario's traffic, crowds and floods; no I/O."""

from __future__ import annotations

from functools import partial

from millgw.load import arrivals
from millgw.rehearsal.fault_plan import class_crowds, crowds
from millgw.rehearsal.scenario import Scenario

NUMBERS_PER_FLOOD = 1 << 24  # numbers reserved for one flood's requests, so that request numbers stay unique


def draw_arrivals(scenario: Scenario) -> list[arrivals.Arrival]:
    """The day's arrivals, by time."""
    traffic, length = scenario.traffic, scenario.seconds * 1000
    rate_curve = arrivals.shape(traffic.shape, traffic.swing, length, scenario.seed)
    times = arrivals.times(traffic.rate, rate_curve, crowds(scenario), traffic.swing, length, scenario.seed)
    kinds = [arrivals.Kind(c.name, c.share, c.deadline_ms, c.repeat == "dedup") for c in scenario.classes]
    habits = arrivals.Habits(
        traffic.retries,
        traffic.try_share,
        traffic.wait_ms,
        traffic.at_once,
        traffic.honour,
        traffic.impatient,
    )
    shares = [(t.name, t.share) for t in scenario.tenants]
    planned = list(arrivals.arrivals(times, kinds, shares, habits, scenario.seed))
    for i, (name, crowd) in enumerate(class_crowds(scenario), 1):
        (kind,) = (k for k in kinds if k.name == name)
        rate = traffic.rate * kind.share / sum(k.share for k in kinds)
        flood_times = arrivals.times(
            rate, partial(_rate_above_base, crowd), (), max(0.0, crowd.factor - 2), length, scenario.seed + i
        )
        planned += arrivals.arrivals(
            flood_times, [kind], shares, habits, scenario.seed, i * NUMBERS_PER_FLOOD
        )
    return sorted(planned, key=lambda a: (a.at, a.number))


def _rate_above_base(crowd: arrivals.Crowd, t: float) -> float:
    return crowd.at(t) - 1.0
