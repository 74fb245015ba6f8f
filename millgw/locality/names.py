"""A router from the operator's names of zones, regions and classes. Pure."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Protocol

from millgw.locality.places import Places
from millgw.locality.router import LocalityOptions, ZoneRouter


class PlaceError(ValueError):
    """A name that the configuration does not have; the text begins with its field."""


class NamedPlaces(Protocol):
    """What the operator's file says of places (`millgw.operator.file.Places`)."""

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


def make_router(told: NamedPlaces, zones: Sequence[str], classes: Sequence[str], seed: int) -> ZoneRouter:
    """The router of one pool; a PlaceError names a zone that `zones` does not have, or a class.

    A service may lack classes that others have: those are kept in the region where they are.
    """
    places = Places(_number("zone", told.zone, zones), _regions(told.regions, zones))
    callers = {_number("callers", name, zones): part for name, part in told.callers.items()}
    kept = frozenset(i for i, name in enumerate(classes) if name in told.keep_in_region)
    return ZoneRouter(places, LocalityOptions(told.fill, callers, kept), seed, zones)


def _number(field: str, name: str, zones: Sequence[str]) -> int:
    if name not in zones:
        known = ", ".join(zones) or "none"
        raise PlaceError(f"{field}: the settings' localities have no {name!r} (they have {known})")
    return zones.index(name)


def _regions(regions: Mapping[str, Sequence[str]], zones: Sequence[str]) -> tuple[int, ...]:
    """The region of each zone: one for all where none are named, else its own for a zone in none."""
    if not regions:
        return (0,) * len(zones)
    numbers = [len(regions) + i for i in range(len(zones))]
    for region, (name, members) in enumerate(regions.items()):
        for member in members:
            numbers[_number(f"regions.{name}", member, zones)] = region
    return tuple(numbers)
