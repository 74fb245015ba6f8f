"""Builds a zone router from the zone, region and class names of the operator's file. Does no I/O."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Protocol

from millgw.interface import Zone
from millgw.locality.places import Places
from millgw.locality.router import LocalityOptions, ZoneRouter


class PlaceError(ValueError):
    """A name that the configuration does not define; the message begins with the field."""


class NamedPlaces(Protocol):
    """The section `places` of the operator's file (`millgw.operator.file.Places`)."""

    @property
    def zone(self) -> str: ...

    @property
    def regions(self) -> Mapping[str, Sequence[str]]: ...

    @property
    def fill(self) -> float: ...

    @property
    def callers(self) -> Mapping[str, float]: ...

    @property
    def keep_in_region(self) -> Sequence[str]: ...


def make_router(
    named_places: NamedPlaces, zones: Sequence[str], classes: Sequence[str], seed: int
) -> ZoneRouter:
    """The router of one pool; raises PlaceError for a zone that is not in `zones`.

    A name in `keep_in_region` that is not among `classes` is ignored: not every service has every class.
    """
    places = Places(
        _zone_number("zone", named_places.zone, zones), _region_numbers(named_places.regions, zones)
    )
    callers: dict[Zone, float] = {
        _zone_number("callers", name, zones): part for name, part in named_places.callers.items()
    }
    kept = frozenset(i for i, name in enumerate(classes) if name in named_places.keep_in_region)
    return ZoneRouter(places, LocalityOptions(named_places.fill, callers, kept), seed, zones)


def _zone_number(field: str, name: str, zones: Sequence[str]) -> int:
    if name not in zones:
        known = ", ".join(zones) or "none"
        raise PlaceError(f"{field}: the settings' localities have no {name!r} (they have {known})")
    return zones.index(name)


def _region_numbers(regions: Mapping[str, Sequence[str]], zones: Sequence[str]) -> tuple[int, ...]:
    """The region number of each zone: one for all without regions; a zone outside all regions has its own."""
    if not regions:
        return (0,) * len(zones)
    numbers = [len(regions) + i for i in range(len(zones))]
    for region, (name, members) in enumerate(regions.items()):
        for member in members:
            numbers[_zone_number(f"regions.{name}", member, zones)] = region
    return tuple(numbers)
