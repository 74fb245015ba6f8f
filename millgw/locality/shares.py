"""Splits each zone's calls among zones by demand and supply: nearest first, then the region. Does no I/O.

Distances form a tree (zone, region, all), so a greedy fill from the nearest level outwards keeps as many
calls near as any plan could; `benchmarks.locality` compares it with a linear program. Shares are built from
minima and sums of demand and supply, so they change continuously with them: there is no threshold at which
all calls of a zone go elsewhere. Sidecars with the same list arrive at compatible plans.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from millgw.interface import Zone

Amounts = Mapping[Zone, float]
"""Demand or supply by zone, in units of one endpoint of size 1."""

NEGLIGIBLE = 1e-9  # units, treated as zero


def zone_sort_key(zone: Zone) -> tuple[bool, int]:
    """Sorts zones by number; endpoints whose zone is not told come last."""
    return zone is None, 0 if zone is None else zone


def zone_shares(
    zone: int, demand: Amounts, supply: Amounts, region: Callable[[Zone], int]
) -> dict[Zone, float]:
    """The share of the calls of `zone` that goes to each zone; they sum to 1, or are empty without supply.

    Negative demand or supply counts as 0. Demand beyond the total supply is split among all zones in
    proportion to their supply.
    """
    zones = sorted({zone, *demand, *supply}, key=zone_sort_key)
    asked = {z: max(0.0, demand.get(z, 0.0)) for z in zones}
    spare = {z: max(0.0, supply.get(z, 0.0)) for z in zones}
    if sum(spare.values()) <= NEGLIGIBLE:
        return {}
    own = asked[zone] = max(asked[zone], NEGLIGIBLE)
    shares = dict.fromkeys(zones, 0.0)
    served = _serve_in_zone(zones, asked, spare)
    shares[zone] += served[zone]
    for members in _regions(zones, region):
        _serve_among(members, asked, spare, shares, zone)
    _serve_among(zones, asked, spare, shares, zone)
    _spread_excess(zones, supply, asked[zone], shares)
    return {z: amount / own for z, amount in shares.items() if amount > 0.0}


def _serve_in_zone(
    zones: Iterable[Zone], asked: dict[Zone, float], spare: dict[Zone, float]
) -> dict[Zone, float]:
    """Serve each zone's demand from its own supply; returns the amounts served."""
    served = {z: min(asked[z], spare[z]) for z in zones}
    for z, amount in served.items():
        asked[z] -= amount
        spare[z] -= amount
    return served


def _regions(zones: Iterable[Zone], region: Callable[[Zone], int]) -> list[list[Zone]]:
    grouped: dict[int, list[Zone]] = {}
    for z in zones:
        grouped.setdefault(region(z), []).append(z)
    return list(grouped.values())


def _serve_among(
    zones: list[Zone],
    asked: dict[Zone, float],
    spare: dict[Zone, float],
    shares: dict[Zone, float],
    zone: int,
) -> None:
    """Serve the remaining demand of `zones` from their spare supply, in proportion; credit that of `zone`."""
    total_asked, total_spare = sum(asked[z] for z in zones), sum(spare[z] for z in zones)
    amount = min(total_asked, total_spare)
    if amount <= 0.0:
        return
    served_part, used_part = amount / total_asked, amount / total_spare
    own_amount = asked[zone] * served_part if zone in zones else 0.0
    for z in zones:
        shares[z] += own_amount * spare[z] / total_spare
        asked[z] *= 1.0 - served_part
        spare[z] *= 1.0 - used_part


def _spread_excess(zones: list[Zone], supply: Amounts, excess: float, shares: dict[Zone, float]) -> None:
    """Split demand beyond the total supply, so that all zones are overloaded to the same degree."""
    total = sum(supply.get(z, 0.0) for z in zones)
    for z in zones:
        shares[z] += excess * supply.get(z, 0.0) / total
