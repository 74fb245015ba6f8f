"""Plans which targets each fault of a scenario hits and when, drawn from a seed. No I/O."""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from millgw.load.arrivals import Crowd
from millgw.rehearsal.scenario import ENDPOINT_FAULTS, FAULT_SIZES, SIDECAR_FAULTS, Fault, Scenario
from millgw.standins.discovery_server import OutageKind


@dataclass(slots=True, frozen=True)
class PlannedFault:
    """One fault on one target, in ms of the day. `target` is empty for a fault of the whole deployment."""

    kind: str
    at: float
    until: float
    target: str
    size: float
    number: int  # of the fault in the scenario
    outage: OutageKind = OutageKind.REFUSED


def size_of(fault: Fault) -> float:
    return fault.size if fault.size is not None else FAULT_SIZES.get(fault.kind, (0.0, 0.0))[0]


NO_ZONES: Mapping[str, str] = {}


def plan_faults(
    scenario: Scenario,
    endpoints: Sequence[tuple[str, int]],
    front: Sequence[str],
    seed: int,
    zones: Mapping[str, str] = NO_ZONES,
) -> tuple[PlannedFault, ...]:
    """All faults of a day in order of time. `endpoints` are names with their tiers (1, 2, ...).

    `front` are the front sidecars, `zones` the zones of the endpoints, on a day that has some.

    A fault hits at least one target and spares at least one, unless its share is 1.
    """
    planned: list[PlannedFault] = []
    for number, fault in enumerate(scenario.faults):
        rng = random.Random(f"fault {seed} {number}")
        if fault.kind in ENDPOINT_FAULTS:
            targets = []
            tiers = sorted({tier for _, tier in endpoints if fault.tier in (0, tier)})
            hit = [(name, t) for name, t in endpoints if fault.zone in (None, zones.get(name))]
            for tier in tiers:
                targets += _sample_targets(rng, [name for name, t in hit if t == tier], fault.share)
        elif fault.kind in SIDECAR_FAULTS:
            targets = _sample_targets(rng, list(front), fault.share)
        else:
            targets = [fault.service or ""]
        for i, target in enumerate(targets):
            at = (fault.start_s + i * fault.spacing_s) * 1000
            until = at + fault.length_s * 1000
            outage = fault.outage or OutageKind.REFUSED
            planned.append(PlannedFault(fault.kind, at, until, target, size_of(fault), number, outage))
    return tuple(sorted(planned, key=lambda fault: (fault.at, fault.number, fault.target)))


def _sample_targets(rng: random.Random, names: list[str], share: float) -> list[str]:
    count = round(share * len(names))
    if share < 1:
        count = min(count, len(names) - 1)
    return sorted(rng.sample(names, min(len(names), max(1, count))))


def crowds(scenario: Scenario) -> tuple[Crowd, ...]:
    """The flash crowds of all classes together, which change the traffic itself."""
    return tuple(_crowd(f) for f in scenario.faults if f.kind == "crowd" and f.cls is None)


def class_crowds(scenario: Scenario) -> tuple[tuple[str, Crowd], ...]:
    """The flash crowds of a single class, each with the class's name."""
    return tuple((f.cls, _crowd(f)) for f in scenario.faults if f.kind == "crowd" and f.cls is not None)


def _crowd(fault: Fault) -> Crowd:
    return Crowd(fault.start_s * 1000, fault.until_s * 1000, size_of(fault))
