"""What following the distributed configuration costs a sidecar, and how soon a version is in force.

    python -m benchmarks.configuration_sidecar [--runs 3] [--windows 3] [--seconds 10] [--rate 200]

A real sidecar with four services follows a control instance of this process, whose document has so many
entries of other installations (`--entries`) beside its own. First an open loop of calls through windows
without versions, with 60 a minute and without again, in turn, on the same sidecar: the ratios are of p99 to
that of the first kind, and the one of the third kind tells the machine's own noise. Then processor time and
bytes of sidecars that nobody calls: without the table, at rest with a watch, and with 60 versions a minute.
What a day of 1,500 versions costs is worked out from the last two. Each run has its row. It wants two idle
cores.
"""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import os
import subprocess
import sys
import tempfile
import time
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import click
import uvloop

from benchmarks.connections import bare
from benchmarks.flags import words
from millgw.cli.tree import run as carry_out
from millgw.platform.config import Address
from millgw.rehearsal.audit.lateness import quantile
from millgw.standins.address import free_address
from tests.control_instance import ControlInstance

SERVICES = 4
VERSION_EVERY = 1.0  # s: 60 a minute
SETTLE = 0.3  # s after a version until its figures are read
IN_FORCE_MOST = 5.0  # s after which a version that is not in force ends the measurement
A_DAY = 1500 / 86_400  # versions a second
PATIENCE = 4000  # ms of a call
SETTINGS: dict[str, Any] = {
    "classes": [{"name": "read", "deadline": 5000.0, "slo": 500.0, "repeat": "retryable"}],
    "projects": [{"name": "acme", "quotaRps": 10_000.0}],
    "limits": {"tryLimit": 3, "connectTimeout": 1000.0, "connIdle": 60_000.0},
    "rules": {"cold": 5000.0, "coldShare": 0.3, "fall": 1000.0, "fallMultiple": 3.0, "askWithin": 1000.0},
}


@dataclass(slots=True)
class Sidecar:
    """A sidecar's process."""

    process: subprocess.Popen[bytes]
    listen: Address
    door: Address

    def cpu(self) -> float:
        """s of processor time that all its threads have used."""
        tasks = Path(f"/proc/{self.process.pid}/task").iterdir()
        return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks) / 1e9

    async def figures(self) -> dict[str, Any]:
        """What its door tells of the configuration."""
        reader, writer = await asyncio.open_connection(self.door.host, self.door.port)
        writer.write(b"GET /-/metrics HTTP/1.1\r\nHost: door\r\n\r\n")
        answer = await reader.read()
        writer.close()
        found = json.loads(answer.partition(b"\r\n\r\n")[2]).get("configuration", {})
        assert isinstance(found, dict)
        return found

    def end(self) -> None:
        self.process.terminate()
        self.process.wait()


async def begin(folder: Path, endpoint: Address, control: ControlInstance | None) -> Sidecar:
    """A sidecar in service, with a control instance to follow or without the table."""
    listen, door = free_address(), free_address()
    config = {
        "name": "n1", "listen": str(listen), "control": str(door), "discovery": "127.0.0.1:9", "seed": "1",
        "limits": {"sockets": 512, "memory_mb": 64}, "settings": SETTINGS,
    }  # fmt: skip
    lines = []
    for i in range(SERVICES):
        lines.append(
            f'[services.s{i}]\nendpoints = [{{ name = "e{i}", address = "{endpoint}", weight = 64.0 }}]'
        )
        lines.append(f'[[routes]]\nto = "s{i}"\nhost = "s{i}.example.org"')
    if control is not None:
        lines.append(f'[configuration]\ninstances = ["{control.address}"]\ndirectory = "{folder}/state"')
    (folder / "config.json").write_text(json.dumps(config))
    (folder / "operator.toml").write_text("\n".join(lines))
    environ = os.environ | {
        "BALANCER_CONFIG": str(folder / "config.json"),
        "BALANCER_OPERATOR": str(folder / "operator.toml"),
    }
    process = subprocess.Popen(
        [sys.executable, "-m", "millgw.sidecar"], env=environ, stderr=subprocess.DEVNULL
    )
    made = Sidecar(process, listen, door)
    while True:
        with suppress(OSError):
            _, writer = await asyncio.open_connection(listen.host, listen.port)
            writer.close()
            return made
        await asyncio.sleep(0.05)


def other_entries(count: int) -> dict[str, dict[str, Any]]:
    """Entries that are not for this sidecar; its document holds them all the same."""
    rules = {"cold": 5000.0, "coldShare": 0.3, "fall": 1000.0, "fallMultiple": 3.0, "askWithin": 1000.0}
    return {f"services.elsewhere-{i}": {"rules": rules, "limits": {"tryLimit": 3}} for i in range(count)}


def change(number: int) -> dict[str, dict[str, Any]]:
    """A version that touches all services."""
    return {"settings": {"limits": {"tryLimit": 2 + number % 2}, "rules": {"askWithin": 1000.0 + number % 7}}}


async def versions(control: ControlInstance, sidecar: Sidecar, seconds: float) -> list[float]:
    """Commit 60 a minute for a while; ms from the arrival of each until it was in force."""
    took, end = [], time.monotonic() + seconds
    while time.monotonic() + VERSION_EVERY <= end + 0.01:
        begun = time.monotonic()
        index = control.commit(change(control.document.index))
        while (figures := await _figures_after(sidecar, SETTLE))["index"] != index:
            if time.monotonic() > begun + IN_FORCE_MOST:
                raise RuntimeError(f"version {index} is not in force: {figures}")
        took.append(figures["applied_in_ms"])
        await asyncio.sleep(max(0.0, begun + VERSION_EVERY - time.monotonic()))
    return took


async def _figures_after(sidecar: Sidecar, wait: float) -> dict[str, Any]:
    await asyncio.sleep(wait)
    return await sidecar.figures()


async def calls(listen: Address, rate: float, seconds: float) -> tuple[list[float], Counter[str]]:
    """An open loop of calls: ms from when each was due, and the answers to those that were not served."""
    start, took, unserved, idle = time.monotonic(), list[float](), Counter[str](), list[Any]()

    async def one(number: int, due: float) -> None:
        reader, writer = idle.pop() if idle else await asyncio.open_connection(listen.host, listen.port)
        writer.write(
            f"GET /api?k=7 HTTP/1.1\r\nHost: s{number % SERVICES}.example.org\r\nX-Trace-Id: "
            f"{time.time_ns():x}-{number}\r\nX-Qos: read\r\nX-Customer: acme\r\nX-Expires-In-Ms: {PATIENCE}"
            "\r\n\r\n".encode()
        )
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length:")[2].split()[0])
        await reader.readexactly(length)
        idle.append((reader, writer))
        if head.startswith(b"HTTP/1.1 200"):
            took.append((time.monotonic() - due) * 1000)
        else:
            unserved[head[9:12].decode()] += 1

    tasks = []
    for number in range(int(rate * seconds)):
        due = start + number / rate
        if (wait := due - time.monotonic()) > 0:
            await asyncio.sleep(wait)
        tasks.append(asyncio.create_task(one(number, due)))
    await asyncio.gather(*tasks)
    for _, writer in idle:
        writer.close()
    return took, unserved


async def compare(args: SimpleNamespace, endpoint: Address, folder: Path) -> str:
    """Calls without versions and with them, in turn, at one sidecar."""
    control = ControlInstance()
    await control.start()
    control.commit(other_entries(args.entries))
    sidecar = await begin(folder, endpoint, control)
    try:
        await calls(sidecar.listen, args.rate, 2.0)
        plain, changing, again, applied = list[float](), list[float](), list[float](), list[float]()
        lost, lost_changing = Counter[str](), Counter[str]()
        for _ in range(args.windows):
            took, unserved = await calls(sidecar.listen, args.rate, args.seconds)
            plain += took
            (more, also), spans = await asyncio.gather(
                calls(sidecar.listen, args.rate, args.seconds), versions(control, sidecar, args.seconds)
            )
            changing += more
            applied += spans
            took, unserved_again = await calls(sidecar.listen, args.rate, args.seconds)
            again += took
            lost += unserved + unserved_again
            lost_changing += also
    finally:
        sidecar.end()
    ratio = quantile(changing, 0.99) / quantile(plain, 0.99)
    noise = quantile(again, 0.99) / quantile(plain, 0.99)
    return (
        f"| {len(plain) + len(again)} | {dict(lost)} | {len(changing)} | {dict(lost_changing)}"
        f" | {quantile(plain, 0.5):.2f} | {quantile(changing, 0.5):.2f}"
        f" | {quantile(plain, 0.99):.2f} | {quantile(changing, 0.99):.2f} | {ratio:.2f} | {noise:.2f}"
        f" | {len(applied)} | {quantile(applied, 0.5):.2f} | {max(applied):.2f} |"
    )


async def idle(args: SimpleNamespace, endpoint: Address, folder: Path) -> str:
    """Processor time and bytes of sidecars that nobody calls."""
    control = ControlInstance()
    await control.start()
    control.commit(other_entries(args.entries))
    plain_folder, following_folder = folder / "plain", folder / "following"
    for each in (plain_folder, following_folder):
        each.mkdir()
    plain = await begin(plain_folder, endpoint, None)
    following = await begin(following_folder, endpoint, control)
    seconds = args.windows * args.seconds
    try:
        await asyncio.sleep(3.0)
        before, before_plain = await following.figures(), plain.cpu()
        cpu = following.cpu()
        await asyncio.sleep(seconds)
        rest, rest_cpu = await following.figures(), following.cpu() - cpu
        plain_cpu = plain.cpu() - before_plain
        cpu = following.cpu()
        count = len(await versions(control, following, seconds))
        after, busy_cpu = await following.figures(), following.cpu() - cpu
    finally:
        plain.end()
        following.end()

    def moved(first: dict[str, Any], last: dict[str, Any]) -> float:
        return float(last["bytes_in"] + last["bytes_out"] - first["bytes_in"] - first["bytes_out"])

    rest_rate = moved(before, rest) / seconds
    each_bytes = (moved(rest, after) - rest_rate * seconds) / count
    rest_share = (rest_cpu - plain_cpu) / seconds
    each_ms = (busy_cpu - rest_cpu) / count * 1000
    return (
        f"| {rest_rate:.1f} | {each_bytes:.0f} | {rest_rate + A_DAY * each_bytes:.1f}"
        f" | {plain_cpu / seconds:.3%} | {rest_cpu / seconds:.3%} | {each_ms:.2f}"
        f" | {rest_share + A_DAY * each_ms / 1000:.3%} |"
    )


def _head(*columns: str) -> None:
    print(f"| {' | '.join(columns)} |")
    print("| --- " * len(columns) + "|")


@click.command(help=words(__doc__))
@click.option("--runs", type=int, default=3, show_default=True)
@click.option("--windows", type=int, default=3, show_default=True)
@click.option("--seconds", type=float, default=10.0, show_default=True, help="of one window")
@click.option("--rate", type=float, default=200.0, show_default=True, help="calls a second")
@click.option("--calls/--no-calls", default=True, help="the first table")
@click.option("--idle/--no-idle", default=True, help="the second")
@click.option("--entries", type=int, default=100, show_default=True, help="of others in the document")
def main(**given: Any) -> int:
    args = SimpleNamespace(**given)
    endpoint = free_address()
    server = multiprocessing.get_context("spawn").Process(
        target=bare, args=(endpoint, os.sched_getaffinity(0)), daemon=True
    )
    server.start()
    _head(
        "calls without", "not served", "with versions", "not served", "p50 ms", "with", "p99 ms", "with",
        "ratio of p99", "without", "versions", "in force p50 ms", "most ms",
    )  # fmt: skip
    try:
        for _ in range(args.runs if args.calls else 0):
            with tempfile.TemporaryDirectory() as folder:
                print(uvloop.run(compare(args, endpoint, Path(folder))), flush=True)
        print()
        _head(
            "bytes/s at rest", "a version", "bytes/s at 1,500 a day", "cpu without the table", "at rest",
            "ms cpu a version", "cpu of it at 1,500 a day",
        )  # fmt: skip
        for _ in range(args.runs if args.idle else 0):
            with tempfile.TemporaryDirectory() as folder:
                print(uvloop.run(idle(args, endpoint, Path(folder))), flush=True)
    finally:
        server.kill()
    return 0


if __name__ == "__main__":
    sys.exit(carry_out(sys.argv[1:], main, "benchmarks.configuration_sidecar"))
