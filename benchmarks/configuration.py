"""Measures control instances on loopback: each in a process of its own, all watchers in this one.

    python -m benchmarks.configuration spread   # from a proposal to the last of 60, 200 and 670 watchers
    python -m benchmarks.configuration cost     # an instance's CPU, bytes and memory for its watchers
    python -m benchmarks.configuration storm    # 670 watchers that come back at once

Prints rows of Markdown tables; three runs each, the middle one and the span. Wants idle cores.
"""

from __future__ import annotations

import asyncio
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from typing import cast

import uvloop

from millgw.configuration.control_client import Outcome, fetch_status, propose
from millgw.configuration.document import Change
from millgw.platform.config import Address
from millgw.standins.address import free_address

RUNS = 3
FLEET = 670
ENTRIES = 100  # of the document, one for each service
VALUE = {"retry": {"maxAttempts": 3}, "limits": {"tryLimit": 3, "connectTimeout": 500.0}, "note": "x" * 60}
CHANGES = 30  # of one run
REST = 10.0  # s in which nothing changes
WITHIN = 20.0  # s that anything may take
TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")


class Watcher(asyncio.Protocol):
    """Takes a watch's bytes and notes whether a version has come; decoding is the sidecars' cost."""

    def __init__(self, fleet: Fleet, name: str, position: int) -> None:
        self.fleet = fleet
        self.name = name
        self.position = position
        self.received = 0
        self.waits = b""  # what tells that the version waited for has come
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        query = f"watch=1&from={self.position}&name={self.name}"
        self.transport.write(f"GET /v1/configuration?{query} HTTP/1.1\r\nHost: c\r\n\r\n".encode())

    def data_received(self, data: bytes) -> None:
        self.received += len(data)
        if self.waits and self.waits in data:
            self.waits = b""
            self.fleet.arrived()

    def expect(self, index: int) -> None:
        self.waits = b'"index":%d,' % index


class Fleet:
    """All watchers, spread over the instances."""

    def __init__(self) -> None:
        self.watchers: list[Watcher] = []
        self.missing = 0
        self.all_there = asyncio.Event()

    async def open(self, addresses: Sequence[Address], count: int, position: int, index: int = 0) -> None:
        """Open so many at once; with `index` wait until all have got that version."""
        loop = asyncio.get_running_loop()
        self.watchers = [Watcher(self, f"n{number}", position) for number in range(count)]
        if index:
            self.expect(index)

        async def connect(number: int, watcher: Watcher) -> None:
            address = addresses[number % len(addresses)]
            await loop.create_connection(lambda: watcher, address.host, address.port)

        await asyncio.gather(*(connect(number, watcher) for number, watcher in enumerate(self.watchers)))
        if index:
            await self.settled()

    def expect(self, index: int) -> None:
        self.missing = len(self.watchers)
        self.all_there.clear()
        for watcher in self.watchers:
            watcher.expect(index)

    def arrived(self) -> None:
        self.missing -= 1
        if not self.missing:
            self.all_there.set()

    async def settled(self) -> None:
        async with asyncio.timeout(WITHIN):
            await self.all_there.wait()

    def close(self) -> None:
        for watcher in self.watchers:
            if watcher.transport is not None:
                watcher.transport.abort()
        self.watchers = []


class Instances:
    """Control instances in processes of their own."""

    def __init__(self, processes: list[subprocess.Popen[bytes]], addresses: list[Address]) -> None:
        self.processes = processes
        self.addresses = addresses
        self.index = 0

    async def change(self, number: int) -> int:
        """Commit one version; its index."""
        change = Change(f"services.s{number % ENTRIES}", VALUE | {"n": number})
        result = await propose(self.addresses, [change], "benchmark", "", None, WITHIN)
        assert result.outcome is Outcome.COMMITTED and result.index is not None, result
        self.index = result.index
        return result.index

    async def lead_first(self) -> None:
        """Put the leader first, so that proposals go to it at once."""
        while True:
            status = await fetch_status(self.addresses, 2.0)
            leaders = [i.address for i in status.instances if i.role == "leader" and i.quorum]
            if len(leaders) == 1:
                self.addresses.sort(key=lambda address: str(address) != leaders[0])
                return
            await asyncio.sleep(0.1)

    def cpu(self) -> float:
        """Seconds of CPU that all have used."""
        return sum(cpu_of(process.pid) for process in self.processes)


@asynccontextmanager
async def instances(count: int) -> AsyncIterator[Instances]:
    addresses = {f"c{number}": free_address() for number in range(count)}
    voters = ",".join(f"{name}={address}" for name, address in addresses.items())
    with tempfile.TemporaryDirectory() as folder:
        processes = [
            subprocess.Popen(
                [
                    sys.executable, "-m", "millgw", "configuration", "serve", "--name", name,
                    "--voters", voters, "--store", str(Path(folder) / name), "--create",
                ],
                stderr=subprocess.DEVNULL,
            )
            for name in addresses
        ]  # fmt: skip
        try:
            made = Instances(processes, list(addresses.values()))
            await made.lead_first()
            changes = [Change(f"services.s{number}", VALUE) for number in range(ENTRIES)]
            result = await propose(made.addresses, changes, "benchmark", "", None, WITHIN)
            assert result.index is not None, result
            made.index = result.index
            yield made
        finally:
            for process in processes:
                process.kill()
                process.wait()


def cpu_of(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def memory_of(pid: int) -> float:
    """MB resident."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE / 1e6


def span(values: Sequence[float], unit: str, digits: int = 0) -> str:
    low, middle, high = min(values), statistics.median(values), max(values)
    return f"{middle:.{digits}f} {unit} ({low:.{digits}f} to {high:.{digits}f})"


async def spread() -> None:
    """From a proposal to the last watcher that has the version."""
    print("| instances | watchers | p50 | most of a run |")
    print("| --- | --- | --- | --- |")
    for count in (3, 5):
        async with instances(count) as control:
            for watchers in (60, 200, FLEET):
                middles, mosts = [], []
                for _ in range(RUNS):
                    took = await _spread(control, watchers)
                    middles.append(statistics.median(took))
                    mosts.append(max(took))
                print(f"| {count} | {watchers} | {span(middles, 'ms')} | {span(mosts, 'ms')} |", flush=True)


async def _spread(control: Instances, count: int) -> list[float]:
    fleet, took = Fleet(), []
    await control.lead_first()
    await fleet.open(control.addresses, count, 0, control.index)
    for number in range(CHANGES):
        fleet.expect(control.index + 1)
        begun = time.monotonic()
        await control.change(number)
        await fleet.settled()
        took.append((time.monotonic() - begun) * 1000)
        await asyncio.sleep(0.05)
    fleet.close()
    return took


async def cost() -> None:
    """CPU of a change at each watcher, at rest, bytes at rest, memory."""
    rows: dict[str, list[float]] = {}
    for _ in range(RUNS):
        async with instances(1) as control:
            process = control.processes[0]
            bare = memory_of(process.pid)
            idle = await _cpu_of_rest(control)
            fleet = Fleet()
            await fleet.open(control.addresses, FLEET, 0, control.index)
            received = sum(watcher.received for watcher in fleet.watchers)
            resting = await _cpu_of_rest(control)
            beats = sum(watcher.received for watcher in fleet.watchers) - received
            rows.setdefault("memory without watchers, MB", []).append(bare)
            rows.setdefault(f"memory with {FLEET}, MB", []).append(memory_of(process.pid))
            rows.setdefault("CPU of an instance alone, % of a core", []).append(idle / REST * 100)
            rows.setdefault(f"CPU with {FLEET} at rest, % of a core", []).append(resting / REST * 100)
            rows.setdefault("bytes of HTTP a second to one watcher at rest", []).append(beats / REST / FLEET)
            used, took = await _cpu_of_changes(control, fleet)
            each = (used - resting / REST * took) / CHANGES / FLEET * 1e6
            rows.setdefault("CPU of a change for each watcher, µs", []).append(each)
            fleet.close()
    print("| one instance | |")
    print("| --- | --- |")
    for name, values in rows.items():
        print(f"| {name} | {span(values, '', 2)} |")


async def _cpu_of_rest(control: Instances) -> float:
    before = control.cpu()
    await asyncio.sleep(REST)
    return control.cpu() - before


async def _cpu_of_changes(control: Instances, fleet: Fleet) -> tuple[float, float]:
    before, begun = control.cpu(), time.monotonic()
    for number in range(CHANGES):
        fleet.expect(control.index + 1)
        await control.change(number)
        await fleet.settled()
    return control.cpu() - before, time.monotonic() - begun


async def storm() -> None:
    """All watchers lose their connections and come back at once, each lacking the newest version."""
    print(f"| instances that take {FLEET} | until all have the newest version | CPU of an instance |")
    print("| --- | --- | --- |")
    for count in (1, 3):
        took, used = [], []
        for _ in range(RUNS):
            async with instances(count) as control:
                fleet = Fleet()
                await fleet.open(control.addresses, FLEET, 0, control.index)
                fleet.close()
                index = await control.change(1)
                await _everywhere(control, index)
                before, begun = control.cpu(), time.monotonic()
                await fleet.open(control.addresses, FLEET, index - 1, index)
                took.append((time.monotonic() - begun) * 1000)
                used.append((control.cpu() - before) / count * 1000)
                fleet.close()
        print(f"| {count} | {span(took, 'ms')} | {span(used, 'ms')} |", flush=True)


async def _everywhere(control: Instances, index: int) -> None:
    while True:
        status = await fetch_status(control.addresses, 2.0)
        if len(status.instances) == len(control.addresses) and all(
            instance.committed >= index for instance in status.instances
        ):
            return
        await asyncio.sleep(0.05)


def main() -> None:
    parts = {"spread": spread, "cost": cost, "storm": storm}
    for name in sys.argv[1:] or list(parts):
        print(json.dumps({"part": name, "load": os.getloadavg()[0], "cores": os.cpu_count()}))
        uvloop.run(parts[name]())


if __name__ == "__main__":
    main()
