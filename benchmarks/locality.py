"""Choosing by zone: what is kept near against the optimum, zones' faults with places and without, its cost.

    pip install -r requirements-bench.txt       # the linear program that the plans are held against
    python -m benchmarks.locality [--seeds 3] [--only plans|near|faults|cold|cost]

Virtual time, but for the cost of a call. 35 endpoints in 7 zones of 2 regions (4 and 3), 35 sidecars, unless
said:

- plans: the share of calls kept near and in the region by the plan, at loads from 0.3 to 1.2 of the capacity,
  for demand and supply that are even, skewed by chance, or all of one zone's callers; and by a linear program
  that minimises the ms spent on the way. `dearer` is what the plan costs beyond that.
- near: the share that sidecars without any word on callers keep near, once they have settled, and what is
  served; and what is served without places.
- faults: calls lost from 3 s before a fault on until it ends, p99 (ms) in its first 3 s and in the rest of
  it, how long after its start the share of calls into the zone is under 2 %, calls lost after its end;
  without places and with them.
- cold: the most that a cold endpoint was sent against what it stands, after a zone's loss.
- cost: us of an arrival and its end in the module, by endpoints; pure or compiled as installed.

Figures are medians over the seeds, with the least and the most.
"""

from __future__ import annotations

import random
import sys
import time
from collections.abc import Iterator, Sequence
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import click

from benchmarks.flags import words
from benchmarks.tables import head, row, spans
from millgw.cli.tree import run as carry_out
from millgw.decide import Balancer
from millgw.interface import (
    AttemptEnded,
    Endpoint,
    EndpointList,
    ListKind,
    Outcome,
    RequestArrived,
    Send,
    Settings,
    Zone,
)
from millgw.locality.places import Distance, Places
from millgw.locality.router import LocalityOptions, ZoneRouter
from millgw.locality.shares import zone_shares
from millgw.simulation.zone_fleet import (
    CLASSES,
    WAYS,
    FleetShape,
    ZoneFault,
    ZoneFaultKind,
    ZoneFleet,
)

REGIONS = (0, 0, 0, 0, 1, 1, 1)
ZONES = range(len(REGIONS))
EVEN = (5,) * len(REGIONS)
LOADS = (0.3, 0.5, 0.8, 0.95, 1.2)
SKEWS = ("even", "by chance", "one zone asks")
SETTLED, END = 15.0, 30.0  # s
FAULT, OVER, AFTER = 15.0, 25.0, 40.0  # s: a fault's start and end, the day's end
LOST, SLOW, GRAY, PARTED = ZoneFaultKind.LOST, ZoneFaultKind.SLOW, ZoneFaultKind.GRAY, ZoneFaultKind.PARTED
FAULTS: dict[str, tuple[ZoneFault, ...]] = {
    "a zone lost": (ZoneFault(LOST, 1, FAULT, OVER),),
    "a region lost": tuple(ZoneFault(LOST, zone, FAULT, OVER) for zone in (4, 5, 6)),
    "a zone cut off": (ZoneFault(PARTED, 1, FAULT, OVER),),
    "one call in five into a zone lost": (ZoneFault(GRAY, 1, FAULT, OVER, 0.2),),
    "a zone 3 times as slow": (ZoneFault(SLOW, 1, FAULT, OVER, 3.0),),
    "two zones twice as slow": (ZoneFault(SLOW, 1, FAULT, OVER, 2.0), ZoneFault(SLOW, 2, FAULT, OVER, 2.0)),
}
LEFT = 0.02  # of the calls, under which a zone counts as left
STEP = 0.25  # s of one look
CALLS = 20_000  # of one measurement of the cost

Amounts = dict[Zone, float]


# Plans


def demand_and_supply(skew: str, load: float, rng: random.Random) -> tuple[Amounts, Amounts]:
    """Units by zone; all that is asked for is `load` of all that there is."""
    chance = skew == "by chance"
    supply: Amounts = {z: rng.uniform(1.0, 10.0) if chance else 5.0 for z in ZONES}
    parts = {z: rng.uniform(0.2, 5.0) if chance else 1.0 for z in ZONES}
    if skew == "one zone asks":
        parts = {z: float(z == 0) for z in ZONES}
    whole = load * sum(supply.values()) / sum(parts.values())
    return {z: part * whole for z, part in parts.items()}, supply


def planned(demand: Amounts, supply: Amounts) -> list[list[float]]:
    """What each zone sends where, by the plans that all make alone."""
    shares = {z: zone_shares(z, demand, supply, Places(z, REGIONS).region) for z in ZONES}
    return [[demand[z] * shares[z].get(to, 0.0) for to in ZONES] for z in ZONES]


def optimal(demand: Amounts, supply: Amounts) -> list[list[float]]:
    """The flows with the least time on the way: a linear program."""
    from scipy.optimize import linprog

    over = max(1.0, sum(demand.values()) / sum(supply.values()) + 1e-9)
    count = len(REGIONS)
    costs = [way(a, b) for a in ZONES for b in ZONES]
    sent = [[float(a == z) for a in ZONES for _ in ZONES] for z in ZONES]
    got = [[float(b == z) for _ in ZONES for b in ZONES] for z in ZONES]
    found = linprog(
        costs, A_ub=got, b_ub=[over * supply[z] for z in ZONES], A_eq=sent, b_eq=[demand[z] for z in ZONES]
    )
    assert found.status == 0, found.message
    return [[float(found.x[a * count + b]) for b in ZONES] for a in ZONES]


def way(a: int, b: int) -> float:
    """ms there and back."""
    return WAYS[Places(a, REGIONS).distance(b)]


def kept(flows: Sequence[Sequence[float]]) -> tuple[float, float, float]:
    """Shares near and in the region, and the ms on the way of a call on average."""
    whole = sum(map(sum, flows))
    near = sum(flows[z][z] for z in ZONES)
    region = sum(flows[a][b] for a in ZONES for b in ZONES if REGIONS[a] == REGIONS[b])
    return near / whole, region / whole, sum(flows[a][b] * way(a, b) for a in ZONES for b in ZONES) / whole


def show_plans(seeds: int) -> None:
    print(head("skew", "load", "near", "optimum", "region", "optimum", "ms dearer"))
    for skew in SKEWS:
        for load in LOADS:
            rows = []
            for seed in range(seeds):
                demand, supply = demand_and_supply(skew, load, random.Random(f"{skew} {seed}"))
                ours, best = kept(planned(demand, supply)), kept(optimal(demand, supply))
                rows.append((ours[0], best[0], ours[1], best[1], ours[2] - best[2]))
            print(row(skew, load, *spans(rows, 3)), flush=True)


# Fleets


def fleets(shape: FleetShape, seeds: int) -> Iterator[ZoneFleet]:
    for seed in range(101, 101 + seeds):
        yield ZoneFleet(shape, seed).play()


def show_near(seeds: int) -> None:
    print(
        head(
            "sidecars by zone", "load", "near", "region", "served", "p99 ms", "served without", "p99 without"
        )
    )
    for name, sidecars in (
        ("alike", EVEN),
        ("in one zone", (35, 0, 0, 0, 0, 0, 0)),
        ("2 to 8", (2, 8, 5, 5, 5, 5, 5)),
    ):
        for load in (0.3, 0.5, 0.8, 0.95, 1.2):
            shape = FleetShape(EVEN, sidecars, REGIONS, load=load, seconds=END)
            rows = []
            without = fleets(replace(shape, places=False), seeds)
            for fleet, plain in zip(fleets(shape, seeds), without, strict=True):
                by = fleet.share_by_distance(SETTLED, END)
                near, region = by[Distance.NEAR], 1.0 - by[Distance.REMOTE]
                rows.append((near, region, *told(fleet), *told(plain)))
            print(row(name, load, *spans(rows, 3)), flush=True)


def told(fleet: ZoneFleet) -> tuple[float, float]:
    return fleet.served(SETTLED, END), fleet.quantile(0.99, SETTLED, END)


def left_after(fleet: ZoneFleet, zone: int) -> float:
    """s after its start until a fault's zone gets under 2 % of the calls."""
    since = FAULT
    while since < OVER and fleet.share_into(zone, since, since + STEP) >= LEFT:
        since += STEP
    return since - FAULT


def show_faults(seeds: int) -> None:
    print(head("fault", "places", "lost", "p99 first", "p99 then", "left after s", "lost after"))
    for name, faults in FAULTS.items():
        for places in (False, True):
            load = 0.4 if "region" in name or "two" in name else 0.5
            shape = FleetShape(EVEN, EVEN, REGIONS, load, AFTER, places, faults)
            rows = [
                (
                    fleet.lost(FAULT - 3.0, OVER),
                    fleet.quantile(0.99, FAULT, FAULT + 3.0),
                    fleet.quantile(0.99, FAULT + 3.0, OVER),
                    left_after(fleet, faults[0].zone),
                    fleet.lost(OVER, AFTER),
                )
                for fleet in fleets(shape, seeds)
            ]
            print(row(name, "yes" if places else "no", *spans(rows, 3)), flush=True)


def show_cold(seeds: int) -> None:
    print(head("sidecars", "endpoints", "load", "places", "worst against what it stands"))
    each = (96, 96, 96, 96, 96, 95, 95)
    for sidecars, endpoints, load in (
        ((5, 5, 4, 4, 4, 4, 4), EVEN, 0.5),
        (each, EVEN, 0.5),
        (each, each, 0.02),
    ):
        for places in (False, True):
            faults = (ZoneFault(LOST, 1, 8.0, 12.0),)
            shape = FleetShape(endpoints, sidecars, REGIONS, load, 24.0, places, faults)
            rows = [(fleet.cold_worst(),) for fleet in fleets(shape, seeds)]
            print(
                row(sum(sidecars), sum(endpoints), load, "yes" if places else "no", *spans(rows, 3)),
                flush=True,
            )


# Cost


def cost(each: int, places: bool) -> float:
    """us of a call in the module."""
    settings = Settings(CLASSES, 0.2, 10_000.0, 2.5, 1000.0, siblings=35, max_attempts=3, ask_discovery=False)
    router = ZoneRouter(Places(0, REGIONS), LocalityOptions(), 1) if places else None
    balancer, now = Balancer(settings, 1, router), 1e6
    listed = tuple(Endpoint(100 * z + i, zone=z) for z in ZONES for i in range(each))
    balancer.handle(now, EndpointList(ListKind.FULL, listed))
    begun = 0.0
    for call in range(2 * CALLS):
        if call == CALLS:
            begun = time.perf_counter()
        now += 9.0
        sends = [
            a for a in balancer.handle(now, RequestArrived(call, 0, now + 3000.0)) if isinstance(a, Send)
        ]
        ended = AttemptEnded(call, sends[0].endpoint, 0, Outcome.OK, 5.0, False)
        balancer.handle(now + 5.0, ended)
    return (time.perf_counter() - begun) / CALLS * 1e6


def show_cost(seeds: int) -> None:
    print(head("endpoints", "us without places", "us with"))
    for each in (5, 29, 96):
        rows = [(cost(each, False), cost(each, True)) for _ in range(seeds)]
        print(row(each * len(REGIONS), *spans(rows, 3)), flush=True)


PARTS = {"plans": show_plans, "near": show_near, "faults": show_faults, "cold": show_cold, "cost": show_cost}


@click.command(help=words(__doc__))
@click.option("--seeds", type=int, default=3, show_default=True)
@click.option("--only", type=click.Choice([*PARTS]), help="One part alone.")
def main(**given: Any) -> int:
    args = SimpleNamespace(**given)
    for name, show in PARTS.items():
        if args.only in (None, name):
            print(f"\n{name}\n")
            show(args.seeds)
    return 0


if __name__ == "__main__":
    sys.exit(carry_out(sys.argv[1:], main, "benchmarks.locality"))
