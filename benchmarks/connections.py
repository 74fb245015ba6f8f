"""What a call costs on one core: calls a second and latency through the daemon, a pass-through, and directly.

    python -m benchmarks.connections [--seconds 4] [--runs 3] [--at 1,16,64,256] [--only daemon] [--json FILE]

An endpoint that does nothing stands in a process of its own, the callers in two more; the daemon and the
pass-through (the same loop and parser, one connection to the endpoint for each of a caller's, no decision and
no rule) are each bound to one core. Each row is the median of the runs, with the least and the most; `cpu` is
the process's own time for each call. It wants four idle cores.
"""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import os
import re
import resource
import statistics
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import asdict, dataclass
from multiprocessing.connection import Connection as Pipe
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import click
import httptools
import uvloop

from benchmarks.flags import words
from millgw.cli.tree import run
from millgw.platform.config import Address
from millgw.rehearsal.audit.lateness import quantile
from millgw.standins.address import free_address

SENDERS = 2  # processes of callers
WARM = 1.0  # s before counting
PAUSE = 0.01  # s that a caller waits after an answer that is not 200
LENGTH = re.compile(rb"(?i)content-length: *([0-9]+)")
SETTINGS = {
    "classes": [
        {"name": name, "deadline": 5000.0, "slo": 500.0, "repeat": "retryable"} for name in ("read", "login")
    ],
    "limits": {"tryLimit": 3, "connectTimeout": 1000.0, "connIdle": 60_000.0},
    "rules": {"cold": 5000.0, "coldShare": 0.3, "fall": 1000.0, "fallMultiple": 3.0, "askWithin": 1000.0},
}
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n" + b"." * 20
SIDES = ("direct", "pass-through", "daemon")


class Bare(asyncio.Protocol):
    """An endpoint that answers at the end of each head, and looks at nothing else."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.rest = b""

    def data_received(self, data: bytes) -> None:
        data = self.rest + data
        count = data.count(b"\r\n\r\n")
        self.rest = data[data.rfind(b"\r\n\r\n") + 4 :] if count else data
        if count:
            self.transport.write(ANSWER * count)


class Through(asyncio.Protocol):
    """One caller's connection of the pass-through: requests are parsed, worded anew and sent on."""

    def __init__(self, endpoint: Address) -> None:
        self.endpoint = endpoint
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.parser = httptools.HttpRequestParser(self)
        self.back: Back | None = None
        self.waiting = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.connecting = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        _, self.back = await asyncio.get_running_loop().create_connection(
            lambda: Back(self), self.endpoint.host, self.endpoint.port
        )
        if self.waiting:
            self.back.transport.write(self.waiting)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.back is not None:
            self.back.transport.abort()

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        self.target = b""
        self.headers.clear()

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name, value))

    def on_message_complete(self) -> None:
        lines = b"".join(b"%b: %b\r\n" % pair for pair in self.headers)
        data = b"%b %b HTTP/1.1\r\n%b\r\n" % (self.parser.get_method(), self.target, lines)
        if self.back is None:
            self.waiting += data
        else:
            self.back.transport.write(data)


class Back(asyncio.Protocol):
    """The pass-through's connection to the endpoint."""

    def __init__(self, front: Through) -> None:
        self.front = front
        self.parser = httptools.HttpResponseParser(self)
        self.body = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        self.body = b""

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.front.transport.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(self.body), self.body)
        )


class Caller(asyncio.Protocol):
    """Asks one request after another, and notes how long each took."""

    def __init__(self, tag: int, host: bytes, took: list[float]) -> None:
        self.tag = tag
        self.host = host
        self.took = took
        self.number = 0
        self.bad: Counter[str] = Counter()
        self.got = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self._ask()

    def _ask(self) -> None:
        self.number += 1
        self.since = time.perf_counter()
        self.transport.write(
            b"GET /api?k=7 HTTP/1.1\r\nHost: %b\r\nX-Trace-Id: %x-%x\r\nX-Qos: read\r\n"
            b"X-Customer: acme\r\nX-Expires-In-Ms: 4000\r\n\r\n" % (self.host, self.tag, self.number)
        )

    def data_received(self, data: bytes) -> None:
        self.got += data
        head, end, body = self.got.partition(b"\r\n\r\n")
        if not end or len(body) < int(LENGTH.search(head)[1]):  # type: ignore[index]
            return
        self.got = b""
        if head.startswith(b"HTTP/1.1 200"):
            self.took.append(time.perf_counter() - self.since)
            self._ask()
        else:
            self.bad[head[9:12].decode()] += 1
            asyncio.get_running_loop().call_later(PAUSE, self._ask)


def _serve(address: Address, make: Callable[[], asyncio.Protocol], cores: set[int]) -> None:
    async def serve() -> None:
        server = await asyncio.get_running_loop().create_server(make, address.host, address.port)
        await server.serve_forever()

    os.sched_setaffinity(0, cores)
    uvloop.run(serve())


def bare(address: Address, cores: set[int]) -> None:
    _serve(address, Bare, cores)


def pass_through(address: Address, endpoint: Address, cores: set[int]) -> None:
    _serve(address, lambda: Through(endpoint), cores)


def _send(
    address: Address, connections: int, tag: int, seconds: float, cores: set[int], pipe: Pipe, host: bytes
) -> None:
    """One process of callers; tells the counted calls' times, and how many were not served."""

    async def send() -> tuple[list[float], Counter[str]]:
        took: list[float] = []
        loop = asyncio.get_running_loop()
        callers = []
        for i in range(connections):
            _, caller = await loop.create_connection(
                lambda i=i: Caller(tag + i, host, took),  # type: ignore[misc]
                address.host, address.port,
            )  # fmt: skip
            callers.append(caller)
        await asyncio.sleep(WARM)
        took.clear()
        pipe.send("begin")
        await asyncio.sleep(seconds)
        return list(took), sum((c.bad for c in callers), Counter())

    os.sched_setaffinity(0, cores)
    pipe.send(uvloop.run(send()))


@dataclass(slots=True)
class Row:
    """One side at one number of connections; ms and µs are medians over the runs."""

    side: str
    connections: int
    calls: float
    least: float
    most: float
    p50_ms: float
    p99_ms: float
    cpu_us: float
    memory_kb: int


def _cpu(pid: int) -> float:
    """s of processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _memory(pid: int) -> int:
    """kB that a process has held at the most."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmHWM"))


def drive(
    address: Address, pid: int, connections: int, seconds: float, host: bytes = b"app.svc"
) -> tuple[list[float], float]:
    """All calls' times in s, and the processor time of `pid` for one call, over one run."""
    spawn = multiprocessing.get_context("spawn")
    senders = min(SENDERS, connections)
    pipes, processes = [], []
    for i in range(senders):
        mine, theirs = spawn.Pipe()
        part = connections // senders
        tag = time.time_ns() << 16 | i << 12  # no id comes twice, in no run
        job = spawn.Process(target=_send, args=(address, part, tag, seconds, {2 + i}, theirs, host))
        job.start()
        pipes.append(mine)
        processes.append(job)
    for pipe in pipes:
        assert pipe.recv() == "begin"
    before = _cpu(pid)
    told = [pipe.recv() for pipe in pipes]
    used = _cpu(pid) - before
    for job in processes:
        job.join()
    unserved = sum((bad for _, bad in told), Counter[str]())
    if unserved:
        print(f"{connections} connections: not served: {dict(unserved)}", file=sys.stderr, flush=True)
    took = [t for times, _ in told for t in times]
    return took, used / max(1, len(took))


def measure(side: str, connections: int, seconds: float, runs: int, services: str = "") -> Row:
    """One row; `services` is an operator's file for the daemon."""
    spawn = multiprocessing.get_context("spawn")
    endpoint, listen = free_address(), free_address()
    server = spawn.Process(target=bare, args=(endpoint, {1}), daemon=True)
    server.start()
    with tempfile.TemporaryDirectory() as folder:
        daemon: subprocess.Popen[bytes] | None = None
        if side == "daemon":
            daemon = start_daemon(Path(folder), endpoint, listen, services)
            pid = daemon.pid
        elif side == "pass-through":
            through = spawn.Process(target=pass_through, args=(listen, endpoint, {0}), daemon=True)
            through.start()
            pid = through.pid or 0
        else:
            listen, pid = endpoint, server.pid or 0
        try:
            time.sleep(1.0)
            results = [drive(listen, pid, connections, seconds) for _ in range(runs)]
            rates = [len(took) / seconds for took, _ in results]
            p50, p99 = (
                statistics.median(quantile(took, q) * 1000 for took, _ in results) for q in (0.5, 0.99)
            )
            cpu = statistics.median(cpu * 1e6 for _, cpu in results)
            return Row(
                side, connections, statistics.median(rates), min(rates), max(rates), p50, p99, cpu,
                _memory(pid),
            )  # fmt: skip
        finally:
            if daemon is not None:
                daemon.kill()
                daemon.wait()
            if side == "pass-through":
                through.kill()
                through.join()
            server.kill()
            server.join()


def start_daemon(
    folder: Path,
    endpoint: Address,
    listen: Address,
    services: str,
    settings: Mapping[str, Any] = SETTINGS,
) -> subprocess.Popen[bytes]:
    """The daemon on core 0, with one endpoint that it knows from its configuration."""
    entry = {
        "name": "e", "address": str(endpoint), "zone": "", "group": 1, "status": "in_service",
        "weight": 64.0, "since_ms": 0,
    }  # fmt: skip
    config = {
        "name": "n", "listen": str(listen), "discovery": str(free_address()), "seed": "1",
        "limits": {"sockets": 2048, "memory_mb": 64}, "settings": settings,
        "known": {"index": 1, "snapshot": True, "endpoints": [entry]},
    }  # fmt: skip
    (folder / "c.json").write_text(json.dumps(config))
    environ = os.environ | {"BALANCER_CONFIG": str(folder / "c.json")}
    if services:
        (folder / "o.toml").write_text(services)
        environ["BALANCER_OPERATOR"] = str(folder / "o.toml")
    return subprocess.Popen(
        [sys.executable, "-B", "-m", "millgw.sidecar"],
        env=environ,
        stderr=subprocess.DEVNULL,
        preexec_fn=lambda: os.sched_setaffinity(0, {0}),
    )


@click.command(help=words(__doc__))
@click.option("--seconds", type=float, default=4.0, show_default=True)
@click.option("--runs", type=int, default=3, show_default=True)
@click.option("--at", default="1,16,64,256", help="connections", show_default=True)
@click.option("--only", type=click.Choice(SIDES), help="one side")
@click.option("--json", metavar="FILE")
def main(**given: Any) -> int:
    args = SimpleNamespace(**given)
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 8192), hard))
    print("| side | connections | calls/s | least | most | p50 ms | p99 ms | cpu µs | memory MB |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    rows = []
    for side in (args.only,) if args.only else SIDES:
        for connections in map(int, args.at.split(",")):
            row = measure(side, connections, args.seconds, args.runs)
            rows.append(asdict(row))
            print(
                f"| {row.side} | {row.connections} | {row.calls:.0f} | {row.least:.0f} | {row.most:.0f}"
                f" | {row.p50_ms:.2f} | {row.p99_ms:.2f} | {row.cpu_us:.1f} | {row.memory_kb / 1024:.1f} |",
                flush=True,
            )
    if args.json:
        Path(args.json).write_text(json.dumps(rows, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(run(sys.argv[1:], main, "benchmarks.connections"))
