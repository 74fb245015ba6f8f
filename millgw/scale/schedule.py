"""What happens in a run and when: changes of lists and configuration, and one fault. Pure, seeded.

Times are seconds from the moment at which all sidecars were ready.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from millgw.scale.layout import Layout

CHANGE_PARTS = 6  # changes of each kind in a run, as far as CHANGE_LEAST allows
CHANGE_LEAST = 1.0  # s between two changes of one kind
FAULT_BEGINS = 0.3  # of the run, at which its fault strikes
FAULT_ENDS = 0.65  # of the run, at which a parting is over and a wave has passed
LAST_CHANGE = 0.9  # of the run, after which nothing is changed any more
REPLACED = (
    94 / 670
)  # of the endpoints, restarted or replaced on an ordinary day: the wave has them all at once


class Fault(Enum):
    """The faults that a run can have."""

    NONE = "none"
    ZONE_LOST = "zone-lost"
    REGIONS_PARTED = "regions-parted"
    CONTROL_MACHINE_LOST = "control-machine-lost"
    ALL_RESTART = "all-restart"
    REPLACE_WAVE = "replace-wave"
    SLOW_TIER = "slow-tier"


class ScheduleError(ValueError):
    """This fault can't strike this fleet; the text names the option."""


@dataclass(slots=True, frozen=True)
class ListChanged:
    """An endpoint of a service changes its weight: its callers' lists change."""

    at: float
    sidecar: str


@dataclass(slots=True, frozen=True)
class ConfigurationChanged:
    """A version is proposed."""

    at: float
    number: int


@dataclass(slots=True, frozen=True)
class ZoneLost:
    """Everything in a zone is gone without a word."""

    at: float
    zone: str
    sidecars: tuple[str, ...]
    control: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class RegionsParted:
    """Nothing goes between regions until RegionsRejoined."""

    at: float


@dataclass(slots=True, frozen=True)
class RegionsRejoined:
    """The regions hear each other again."""

    at: float


@dataclass(slots=True, frozen=True)
class ControlMachineLost:
    """The control instance that leads dies."""

    at: float


@dataclass(slots=True, frozen=True)
class AllRestart:
    """All hollow sidecars end without a word and start again."""

    at: float


@dataclass(slots=True, frozen=True)
class Replaced:
    """An endpoint and its sidecar leave; another one starts in its place."""

    at: float
    sidecar: str


Step = (
    ListChanged
    | ConfigurationChanged
    | ZoneLost
    | RegionsParted
    | RegionsRejoined
    | ControlMachineLost
    | AllRestart
    | Replaced
)


def plan(layout: Layout, seconds: float, fault: Fault, seed: int) -> tuple[Step, ...]:
    """All steps in their order; a ScheduleError names a fault that can't strike here."""
    _check(layout, fault)
    rng = random.Random(f"schedule {seed}")
    steps = [*_fault_steps(layout, seconds, fault, rng), *_changes(layout, seconds, fault, rng)]
    return tuple(sorted(steps, key=lambda step: step.at))


def _check(layout: Layout, fault: Fault) -> None:
    if fault is Fault.REGIONS_PARTED and layout.sizes.regions < 2:
        raise ScheduleError("--fault: regions-parted takes --regions 2 or more")
    if fault is Fault.ZONE_LOST and not _zones_to_lose(layout):
        raise ScheduleError("--fault: zone-lost takes a zone without real sidecars")


def _zones_to_lose(layout: Layout) -> list[str]:
    """Zones that may be lost: real sidecars, whose latency is measured, stay."""
    kept = {sidecar.zone.name for sidecar in layout.sidecars if sidecar.real}
    kept.add(layout.control[0].zone.name)  # where the first leader is: its loss is a fault of its own
    return [zone.name for zone in layout.zones if zone.name not in kept]


def _fault_steps(layout: Layout, seconds: float, fault: Fault, rng: random.Random) -> list[Step]:
    begins, ends = FAULT_BEGINS * seconds, FAULT_ENDS * seconds
    if fault is Fault.ZONE_LOST:
        zone = rng.choice(_zones_to_lose(layout))
        sidecars = tuple(sidecar.name for sidecar in layout.sidecars if sidecar.zone.name == zone)
        control = tuple(machine.name for machine in layout.control if machine.zone.name == zone)
        return [ZoneLost(begins, zone, sidecars, control)]
    if fault is Fault.REGIONS_PARTED:
        return [RegionsParted(begins), RegionsRejoined(ends)]
    if fault is Fault.CONTROL_MACHINE_LOST:
        return [ControlMachineLost(begins)]
    if fault is Fault.ALL_RESTART:
        return [AllRestart(begins)]
    if fault is Fault.REPLACE_WAVE:
        hollow = [sidecar.name for sidecar in layout.sidecars if not sidecar.real]
        replaced = rng.sample(hollow, min(len(hollow), max(1, round(REPLACED * len(layout.sidecars)))))
        pause = (ends - begins) / len(replaced)
        return [Replaced(begins + i * pause, name) for i, name in enumerate(replaced)]
    return []


def _changes(layout: Layout, seconds: float, fault: Fault, rng: random.Random) -> list[Step]:
    """Changes at even distances, of lists and of configuration in turn."""
    pause = max(CHANGE_LEAST, seconds / CHANGE_PARTS)
    stays = [sidecar.name for sidecar in layout.sidecars if _stays(layout, sidecar.zone.name, fault)]
    steps: list[Step] = []
    number = 0
    while (at := pause / 4 + number * pause) < LAST_CHANGE * seconds:
        number += 1
        steps.append(ConfigurationChanged(at, number))
        steps.append(ListChanged(at + pause / 2, rng.choice(stays)))
    return [step for step in steps if step.at < LAST_CHANGE * seconds]


def _stays(layout: Layout, zone: str, fault: Fault) -> bool:
    return fault is not Fault.ZONE_LOST or zone not in _zones_to_lose(layout)
