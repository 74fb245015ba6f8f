"""Slopes behind docs/CAPACITY.md: what one sidecar's control costs by the length of its list, in one process.

    python -m benchmarks.capacity [--endpoints 35,200,670,2000] [--siblings 35] [--runs 3] [--json FILE]

Each figure is the median of the runs, with the least and the most. An arrival is one call handed to the
module while `in flight` others are out, and its end; a change is one endpoint of the list replaced; a whole
list is what a sidecar takes at its start, from its bytes. Memory is what Python allocates for both.
"""

from __future__ import annotations

import gc
import json
import random
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import click

from benchmarks.flags import words
from millgw.cli.tree import run as carry_out
from millgw.decide import Balancer
from millgw.interface import (
    AttemptEnded,
    Condition,
    Endpoint,
    EndpointList,
    ListKind,
    Outcome,
    Repeat,
    RequestArrived,
    RequestClass,
    Send,
    Settings,
)
from millgw.platform.discovery import endpoint_id, read_update

CLASSES = (RequestClass("read", deadline=3000.0, repeat=Repeat.SAFE, aim=1000.0),)
IN_FLIGHT = (0, 10, 100)  # other calls that are out while one arrives
CALLS = 2000  # arrivals that one figure is the mean of
CHANGES = 200  # changes of the list, the same
WHOLE_LISTS = 5
GAP = 9.0  # ms between two calls: 110 a second
ANSWERED = 20.0  # ms that an attempt takes


@dataclass(slots=True, frozen=True)
class Figure:
    """One figure over the runs."""

    median: float
    least: float
    most: float

    def __str__(self) -> str:
        return f"{self.median:.4g} ({self.least:.4g} to {self.most:.4g})"


@dataclass(slots=True, frozen=True)
class Row:
    """All figures at one length of the list. Costs are µs, sizes are bytes."""

    endpoints: int
    arrival_us: dict[int, Figure]  # by calls in flight
    change_us: Figure
    whole_list_us: Figure
    whole_list_bytes: int
    change_bytes: int
    memory_bytes: Figure


def entry(number: int) -> dict[str, object]:
    """One endpoint in discovery's form."""
    return {
        "name": f"s-{number:08x}",
        "address": f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:7070",
        "zone": f"zone-{number % 7}",
        "type": "m2",
        "group": number % 12,
        "status": "in_service",
        "weight": 1.0,
        "since_ms": 0,
    }


def whole_list(endpoints: int) -> bytes:
    """The line of a whole list."""
    entries = [entry(number) for number in range(endpoints)]
    return json.dumps({"index": 41, "snapshot": True, "endpoints": entries}).encode() + b"\n"


def change_line() -> bytes:
    """The line of one endpoint that changed."""
    return json.dumps({"index": 42, "snapshot": False, "endpoints": [entry(7)]}).encode() + b"\n"


def make_balancer(endpoints: int, siblings: int) -> Balancer:
    """A module that knows a list and has learned nothing yet."""
    settings = Settings(CLASSES, 0.2, 10_000.0, 2.5, 1000.0, siblings=siblings, ask_discovery=False)
    balancer = Balancer(settings, 1)
    entries = tuple(Endpoint(endpoint_id(f"s-{number:08x}")) for number in range(endpoints))
    balancer.handle(0.0, EndpointList(ListKind.FULL, entries))
    return balancer


def arrival_us(endpoints: int, siblings: int, in_flight: int) -> float:
    """µs for one call, its arrival and its end, while others are out."""
    balancer = make_balancer(endpoints, siblings)
    out: list[tuple[int, int, float]] = []
    now = 0.0
    spent = 0.0
    for request in range(1, CALLS + in_flight + 1):
        now += GAP
        started = time.perf_counter()
        actions = balancer.handle(now, RequestArrived(request, 0, now + 2900.0))
        spent += time.perf_counter() - started
        out += [(request, action.endpoint, now) for action in actions if isinstance(action, Send)]
        if request == in_flight:
            spent = 0.0
        if len(out) > in_flight:
            first, endpoint, _ = out.pop(0)
            started = time.perf_counter()
            balancer.handle(now, AttemptEnded(first, endpoint, 0, Outcome.OK, ANSWERED, False))
            spent += time.perf_counter() - started
    return spent / CALLS * 1e6


def change_us(endpoints: int, siblings: int) -> float:
    """µs for one line by which an endpoint goes and another comes."""
    balancer = make_balancer(endpoints, siblings)
    rng = random.Random(1)
    ids = [endpoint_id(f"s-{number:08x}") for number in range(endpoints)]
    events = []
    for number in range(CHANGES):
        position = rng.randrange(endpoints)
        fresh = endpoint_id(f"n-{number:08x}")
        change = (Endpoint(ids[position], Condition.GONE), Endpoint(fresh))
        events.append(EndpointList(ListKind.DELTA, change))
        ids[position] = fresh
    started = time.perf_counter()
    for number, event in enumerate(events):
        balancer.handle(float(number), event)
    return (time.perf_counter() - started) / CHANGES * 1e6


def whole_list_us(endpoints: int, siblings: int) -> float:
    """µs from a whole list's bytes to the module that knows it."""
    line = whole_list(endpoints)
    zones = tuple(f"zone-{number}" for number in range(7))
    balancer = make_balancer(1, siblings)
    started = time.perf_counter()
    for _ in range(WHOLE_LISTS):
        listing = read_update(json.loads(line), zones)
        balancer.handle(1.0, EndpointList(ListKind.FULL, tuple(e.endpoint for e in listing.entries)))
    return (time.perf_counter() - started) / WHOLE_LISTS * 1e6


def memory_bytes(endpoints: int, siblings: int) -> float:
    """Bytes that Python holds for the list and the module."""
    gc.collect()
    tracemalloc.start()
    held = make_balancer(endpoints, siblings)
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del held
    return float(size)


def repeated(runs: int, measure: Callable[[], float]) -> Figure:
    """A measurement over several runs."""
    figures = [measure() for _ in range(runs)]
    return Figure(statistics.median(figures), min(figures), max(figures))


def measure(endpoints: int, siblings: int, runs: int) -> Row:
    """All figures at one length of the list."""
    arrivals = {
        in_flight: repeated(runs, lambda in_flight=in_flight: arrival_us(endpoints, siblings, in_flight))  # type: ignore[misc]
        for in_flight in IN_FLIGHT
    }
    return Row(
        endpoints=endpoints,
        arrival_us=arrivals,
        change_us=repeated(runs, lambda: change_us(endpoints, siblings)),
        whole_list_us=repeated(runs, lambda: whole_list_us(endpoints, siblings)),
        whole_list_bytes=len(whole_list(endpoints)),
        change_bytes=len(change_line()),
        memory_bytes=repeated(runs, lambda: memory_bytes(endpoints, siblings)),
    )


@click.command(help=words(__doc__))
@click.option("--endpoints", default="35,200,670,2000", show_default=True)
@click.option("--siblings", type=int, default=35, show_default=True)
@click.option("--runs", type=int, default=3, show_default=True)
@click.option("--json", metavar="FILE")
def main(**given: Any) -> int:
    args = SimpleNamespace(**given)
    columns = [f"arrival µs, {count} in flight" for count in IN_FLIGHT]
    columns += ["change µs", "whole list µs", "whole list bytes", "change bytes", "memory bytes"]
    print(f"| endpoints | {' | '.join(columns)} |")
    print("| --- " * (len(columns) + 1) + "|")
    rows = []
    for endpoints in map(int, args.endpoints.split(",")):
        row = measure(endpoints, args.siblings, args.runs)
        rows.append(asdict(row))
        cells = [*row.arrival_us.values(), row.change_us, row.whole_list_us]
        cells += [row.whole_list_bytes, row.change_bytes, row.memory_bytes]  # type: ignore[list-item]
        print(f"| {row.endpoints} | {' | '.join(map(str, cells))} |", flush=True)
    if args.json:
        Path(args.json).write_text(json.dumps(rows, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(carry_out(sys.argv[1:], main, "benchmarks.capacity"))
