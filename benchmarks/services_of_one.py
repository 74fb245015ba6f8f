"""What one sidecar spends on control when it calls all of the fleet's services: lists, watches, pools.

    python -m benchmarks.services_of_one [--services 1,19] [--endpoints 35] [--seconds 20] [--runs 3]

A daemon with so many services of an operator's file, each with a watch of its own at the stand-in discovery
server and a list of so many endpoints, which are not there. Nobody calls it. Figures: memory (MB, resident),
processor time (ms a second, of a core) at rest and while each second an endpoint of each service is replaced,
and ms to ready. Medians of the runs, with the least and the most. It wants two idle cores.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import subprocess
import sys
import tempfile
import time
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import click
import uvloop

from benchmarks.configuration import cpu_of, memory_of
from benchmarks.flags import words
from benchmarks.tables import head, row, spans
from millgw.cli.tree import run as carry_out
from millgw.platform.config import Address
from millgw.standins.address import free_address
from millgw.standins.discovery_server import Capacity, Delays, DiscoveryServer
from millgw.standins.endpoint_registry import Entry
from millgw.standins.http import Clock
from millgw.standins.ledger import Ledger
from millgw.standins.sidecar_client import ready

START_S = 30.0  # within which a sidecar is ready
SETTLE_S = 3.0  # after that, before anything is counted
SETTINGS = {"localities": ["sala-caxias"], "registryMode": "on_request", "limits": {}, "rules": {
    "cold": 14_000.0, "coldShare": 0.2, "fall": 1000.0, "fallMultiple": 2.5, "askWithin": 6000.0,
}}  # fmt: skip


class Fleet:
    """The discovery server with a list for each service."""

    def __init__(self, services: int, endpoints: int) -> None:
        self.rng = random.Random(1)
        self.server = DiscoveryServer(Ledger(), Clock(), 1, Delays(), Capacity(lines=100_000.0))
        self.entries = [
            Entry(f"s{tier}-{i}", tier, 1, str(free_address()), i % 5)
            for tier in range(1, services + 1)
            for i in range(endpoints)
        ]
        for entry in self.entries:
            self.server.apply_change(entry)

    async def replace_each_second(self, services: int) -> None:
        """One endpoint of each service has started anew, once a second."""
        while True:
            for tier in range(1, services + 1):
                old = self.rng.choice([e for e in self.entries if e.tier == tier])
                new = replace(old, life=old.life + 1, since_ms=int(time.time() * 1000))
                self.entries[self.entries.index(old)] = new
                self.server.apply_change(new)
            await asyncio.sleep(1.0)


def files(folder: Path, fleet: Fleet, services: int) -> tuple[dict[str, str], Address]:
    """The environment of a sidecar with so many services, and where it listens."""
    names = [f"service{n}" for n in range(1, services + 1)]
    classes = [
        {"name": name, "repeat": "retryable", "deadline": 3000.0, "slo": 1000.0, "worth": 1.0}
        for name in names
    ]
    listen = free_address()
    config = {
        "name": "n", "listen": str(listen), "discovery": str(free_address()), "seed": "1",
        "limits": {"sockets": 1024, "memory_mb": 128}, "settings": SETTINGS | {"classes": classes},
    }  # fmt: skip
    lines = []
    for tier, name in enumerate(names, 1):
        lines += [f"[services.{name}]", f'discovery = "{fleet.server.address_for("n", tier)}"']
        lines += [f'classes = ["{name}"]', "[[routes]]", f'to = "{name}"', f'host = "{name}.example"']
    (folder / "config.json").write_text(json.dumps(config))
    (folder / "operator.toml").write_text("\n".join(lines))
    paths = {"CONFIG": folder / "config.json", "OPERATOR": folder / "operator.toml"}
    return {f"BALANCER_{name}": str(path) for name, path in paths.items()}, listen


async def measure(services: int, endpoints: int, seconds: float) -> tuple[float, ...]:
    """One run, in the order of the columns."""
    fleet = Fleet(services, endpoints)
    with tempfile.TemporaryDirectory() as folder:
        environ, listen = files(Path(folder), fleet, services)
        begun = time.perf_counter()
        daemon = subprocess.Popen([sys.executable, "-B", "-m", "millgw.sidecar"], env=os.environ | environ)
        try:
            async with asyncio.timeout(START_S):
                while not await ready(listen):
                    await asyncio.sleep(0.01)
            ready_ms = (time.perf_counter() - begun) * 1000
            await asyncio.sleep(SETTLE_S)
            rest = await spent(daemon.pid, seconds)
            changing = asyncio.create_task(fleet.replace_each_second(services))
            busy = await spent(daemon.pid, seconds)
            changing.cancel()
            return memory_of(daemon.pid), rest, busy, ready_ms
        finally:
            daemon.kill()
            daemon.wait()
            fleet.server.close()


async def spent(pid: int, seconds: float) -> float:
    """ms of processor time a second."""
    cpu = cpu_of(pid)
    await asyncio.sleep(seconds)
    return (cpu_of(pid) - cpu) / seconds * 1000


@click.command(help=words(__doc__))
@click.option("--services", default="1,19", show_default=True)
@click.option("--endpoints", type=int, default=35, show_default=True)
@click.option("--seconds", type=float, default=20.0, show_default=True)
@click.option("--runs", type=int, default=3, show_default=True)
def main(**given: Any) -> int:
    args = SimpleNamespace(**given)
    print(head("services", "memory MB", "at rest, ms/s", "with changes, ms/s", "ready ms"))
    for services in map(int, args.services.split(",")):
        runs = [uvloop.run(measure(services, args.endpoints, args.seconds)) for _ in range(args.runs)]
        print(row(services, *spans(runs, 3)), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(carry_out(sys.argv[1:], main, "benchmarks.services_of_one"))
