"""Where everything stands: services, sidecars and control machines over zones and regions. Pure, seeded."""

from __future__ import annotations

import random
from dataclasses import dataclass

CONTROL_MACHINES = 6
MOST_SIDECARS = 2000
SIZE_SPREAD = 0.5  # of a service's even share, by which sizes are drawn apart


class LayoutError(ValueError):
    """A fleet of these sizes can't be placed; the text names the option."""


@dataclass(slots=True, frozen=True)
class Sizes:
    """How much there is of everything. `real` of the sidecars are whole daemons."""

    sidecars: int
    services: int
    zones: int
    regions: int
    real: int = 0
    control: int = CONTROL_MACHINES

    def check(self) -> None:
        """Raise a LayoutError that names the option that can't be."""
        if self.sidecars > MOST_SIDECARS:
            raise LayoutError(f"--sidecars: {self.sidecars} is more than {MOST_SIDECARS}")
        if self.services > self.sidecars:
            raise LayoutError(f"--services: {self.services} services need as many sidecars")
        if self.zones > self.sidecars:
            raise LayoutError(f"--zones: {self.zones} zones need as many sidecars")
        if self.regions > self.zones:
            raise LayoutError(f"--regions: {self.regions} regions need as many zones")
        if self.real > self.sidecars:
            raise LayoutError(f"--real: {self.real} is more than --sidecars {self.sidecars}")


@dataclass(slots=True, frozen=True)
class Zone:
    """A zone and the region that it is in."""

    name: str
    region: str


@dataclass(slots=True, frozen=True)
class Sidecar:
    """One endpoint with its sidecar: it serves `service`, and sends its calls to the service `calls`."""

    name: str
    service: str
    calls: str
    zone: Zone
    real: bool


@dataclass(slots=True, frozen=True)
class ControlMachine:
    """A machine with a control instance."""

    name: str
    zone: Zone


@dataclass(slots=True, frozen=True)
class Layout:
    """The whole fleet."""

    sizes: Sizes
    zones: tuple[Zone, ...]
    services: tuple[str, ...]
    sidecars: tuple[Sidecar, ...]
    control: tuple[ControlMachine, ...]

    def calls(self, service: str) -> str:
        """The service that the sidecars of a service call: each the next one, the last the first."""
        at = self.services.index(service)
        return self.services[(at + 1) % len(self.services)]

    def callers(self, service: str) -> tuple[Sidecar, ...]:
        """The sidecars that watch a service's list."""
        return tuple(sidecar for sidecar in self.sidecars if sidecar.calls == service)


def draw(sizes: Sizes, seed: int) -> Layout:
    """Place a fleet; a LayoutError names what can't be."""
    sizes.check()
    rng = random.Random(f"layout {seed}")
    zones = _zones(sizes)
    services = tuple(f"service-{number:02d}" for number in range(1, sizes.services + 1))
    sidecars = []
    number = 0
    first_zone = 0
    for at, (service, size) in enumerate(zip(services, service_sizes(sizes, rng), strict=True)):
        for _ in range(size):
            number += 1
            zone = zones[(first_zone + number) % len(zones)]
            calls = services[(at + 1) % len(services)]
            sidecars.append(Sidecar(f"sidecar-{number:04d}", service, calls, zone, number <= sizes.real))
        first_zone = rng.randrange(len(zones))
    return Layout(sizes, zones, services, tuple(sidecars), _control(zones, sizes.control))


def service_sizes(sizes: Sizes, rng: random.Random) -> list[int]:
    """Sidecars of each service: drawn round the even share, at least one, together all of them."""
    weights = [1.0 + SIZE_SPREAD * rng.uniform(-1.0, 1.0) for _ in range(sizes.services)]
    rest = sizes.sidecars - sizes.services
    exact = [rest * weight / sum(weights) for weight in weights]
    counts = [int(share) for share in exact]
    by_remainder = sorted(range(len(exact)), key=lambda i: counts[i] - exact[i])
    for i in by_remainder[: rest - sum(counts)]:
        counts[i] += 1
    return [1 + count for count in counts]


def _zones(sizes: Sizes) -> tuple[Zone, ...]:
    return tuple(
        Zone(f"zone-{number + 1}", f"region-{number * sizes.regions // sizes.zones + 1}")
        for number in range(sizes.zones)
    )


def _control(zones: tuple[Zone, ...], count: int) -> tuple[ControlMachine, ...]:
    """The larger half of the machines in the first region: a quorum must survive a parting on one side."""
    first = [zone for zone in zones if zone.region == zones[0].region]
    others = [zone for zone in zones if zone.region != zones[0].region] or first
    half = count // 2 + 1
    places = [first[i % len(first)] for i in range(half)]
    places += [others[i % len(others)] for i in range(count - half)]
    return tuple(ControlMachine(f"control-{i + 1}", zone) for i, zone in enumerate(places))
