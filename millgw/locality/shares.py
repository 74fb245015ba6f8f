"""Which part of a zone's calls goes to which zone, by demand and supply: near first, then the region. Pure.

Distances make a tree (zone, region, all), so filling the nearest level first and passing on only what is
left keeps as much near as any plan could: `benchmarks.locality` holds it against a linear program. Shares
follow from minima and sums of the figures, so they change no faster than these do, and there is no threshold
at which a whole zone's calls go elsewhere. Sidecars that know the same list make plans that fit together.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

Amounts = Mapping[int, float]
"""Demand or supply by zone, in units of one endpoint of size 1."""

NOTHING = 1e-9  # units that are taken for none


def zone_shares(
    zone: int, demand: Amounts, supply: Amounts, region: Callable[[int], int]
) -> dict[int, float]:
    """The share of the calls of `zone` for each zone that has supply; they sum to 1, or there are none.

    `demand` and `supply` are by zone and not negative. What is asked for beyond all supply is shared out by
    supply over all zones.
    """
    zones = sorted({zone, *demand, *supply})
    asked = {z: max(0.0, demand.get(z, 0.0)) for z in zones}
    spare = {z: max(0.0, supply.get(z, 0.0)) for z in zones}
    if sum(spare.values()) <= NOTHING:
        return {}
    own = asked[zone] = max(asked[zone], NOTHING)
    shares = dict.fromkeys(zones, 0.0)
    near = _take(zones, asked, spare)
    shares[zone] += near[zone]
    for of_region in _regions(zones, region):
        _move(of_region, asked, spare, shares, zone)
    _move(zones, asked, spare, shares, zone)
    _crowd(zones, supply, asked[zone], shares)
    return {z: amount / own for z, amount in shares.items() if amount > 0.0}


def _take(zones: Iterable[int], asked: dict[int, float], spare: dict[int, float]) -> dict[int, float]:
    """Serve each zone's demand by its own supply, and say how much."""
    taken = {z: min(asked[z], spare[z]) for z in zones}
    for z, amount in taken.items():
        asked[z] -= amount
        spare[z] -= amount
    return taken


def _regions(zones: Iterable[int], region: Callable[[int], int]) -> list[list[int]]:
    grouped: dict[int, list[int]] = {}
    for z in zones:
        grouped.setdefault(region(z), []).append(z)
    return list(grouped.values())


def _move(
    zones: list[int], asked: dict[int, float], spare: dict[int, float], shares: dict[int, float], zone: int
) -> None:
    """Serve what these zones still ask for by what they have to spare, all alike; note what `zone` got."""
    wanted, there = sum(asked[z] for z in zones), sum(spare[z] for z in zones)
    moved = min(wanted, there)
    if moved <= 0.0:
        return
    served, used = moved / wanted, moved / there
    got = asked[zone] * served if zone in zones else 0.0
    for z in zones:
        shares[z] += got * spare[z] / there
        asked[z] *= 1.0 - served
        spare[z] *= 1.0 - used


def _crowd(zones: list[int], supply: Amounts, left: float, shares: dict[int, float]) -> None:
    """Share out what exceeds all supply, so that no zone is crowded more than another."""
    there = sum(supply.get(z, 0.0) for z in zones)
    for z in zones:
        shares[z] += left * supply.get(z, 0.0) / there
