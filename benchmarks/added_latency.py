"""What the sidecar adds to a call at the rate of one of the fleet's, by how far the call may be repeated.

    python -m benchmarks.added_latency [--rate 110] [--seconds 20] [--runs 3] [--json FILE]

An endpoint that answers at once stands in a process of its own; calls are sent to it directly, through a bare
pass-through (parser and sockets, no decision) and through the daemon: safe, keyed and unsafe ones, and unsafe
ones where connections are proven by the other kernel's acknowledgement (`prove = "ack"`). Calls go out at
random times (Poisson), each timed from when it was meant to be sent. Figures are ms: medians of the runs,
with the least and the most; `added` is the difference to direct of the same percentile. It wants idle cores.
"""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import os
import random
import socket
import statistics
import sys
import tempfile
import time
from collections import deque
from collections.abc import Callable
from dataclasses import asdict, dataclass
from multiprocessing.connection import Connection as Pipe
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import click
import uvloop

from benchmarks.connections import LENGTH, SETTINGS, bare, pass_through, start_daemon
from benchmarks.flags import words
from millgw.cli.tree import run as carry_out
from millgw.platform.config import Address
from millgw.rehearsal.audit.lateness import quantile
from millgw.standins.address import free_address

CLASSES = [
    {"name": "safe", "deadline": 5000.0, "slo": 500.0, "repeat": "retryable"},
    {"name": "keyed", "deadline": 5000.0, "slo": 500.0, "repeat": "dedup", "repeatWindow": 3000.0},
    {"name": "unsafe", "deadline": 5000.0, "slo": 500.0, "repeat": "fragile"},
]
PROVE_BY_ACK = '[connections]\nprove = "ack"\nsilent_after_s = 0.0\n'
START_S = 20.0  # within which a side must listen
WARM_S = 1.0  # before counting
END_S = 1.0  # for the last answers
SENDER_CORES = {2, 3}


@dataclass(slots=True, frozen=True)
class Side:
    """One way that calls go: to the endpoint itself, through the pass-through, or through the daemon."""

    name: str
    kind: str
    cls: str = "safe"
    operator: str = ""


SIDES = (
    Side("direct", "direct"),
    Side("pass-through", "pass-through"),
    Side("safe", "daemon"),
    Side("keyed", "daemon", "keyed"),
    Side("unsafe", "daemon", "unsafe"),
    Side("unsafe, prove = ack", "daemon", "unsafe", PROVE_BY_ACK),
)


@dataclass(slots=True, frozen=True)
class Row:
    """One side's percentiles over the runs: median, least, most; ms."""

    side: str
    calls: int
    p50: tuple[float, float, float]
    p99: tuple[float, float, float]


class PacedCaller(asyncio.Protocol):
    """One kept connection on which one call at a time is made."""

    def __init__(self, sender: Sender) -> None:
        self.sender = sender
        self.intended = 0.0
        self.received = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.sender.ready(self)

    def call(self, intended: float, request: bytes) -> None:
        self.intended = intended
        self.transport.write(request)

    def data_received(self, data: bytes) -> None:
        self.received += data
        head, end, body = self.received.partition(b"\r\n\r\n")
        length = LENGTH.search(head)
        if not end or length is None or len(body) < int(length[1]):
            return
        self.received = b""
        self.sender.answered(time.perf_counter() - self.intended, head.startswith(b"HTTP/1.1 200"))
        self.sender.ready(self)


class Sender:
    """Sends calls at random times, whatever becomes of those before, and notes how long each took (s)."""

    def __init__(self, address: Address, cls: str, seed: int) -> None:
        self.address = address
        self.cls = cls
        self.rng = random.Random(seed)
        self.tag = time.time_ns()
        self.number = 0
        self.idle: deque[PacedCaller] = deque()
        self.took: list[float] = []
        self.failed = 0

    def ready(self, caller: PacedCaller) -> None:
        self.idle.append(caller)

    def answered(self, seconds: float, served: bool) -> None:
        if served:
            self.took.append(seconds)
        else:
            self.failed += 1

    async def send(self, rate: float, seconds: float) -> None:
        """Send for so long, at so many calls a second."""
        loop = asyncio.get_running_loop()
        due = time.perf_counter()
        end = due + seconds
        while due < end:
            due += self.rng.expovariate(rate)
            await asyncio.sleep(max(0.0, due - time.perf_counter()))
            if not self.idle:
                await loop.create_connection(lambda: PacedCaller(self), self.address.host, self.address.port)
            self.idle.pop().call(due, self._request())

    def _request(self) -> bytes:
        self.number += 1
        method = b"GET" if self.cls == "safe" else b"POST"
        key = b"Idempotency-Key: %x-%x\r\n" % (self.tag, self.number) if self.cls == "keyed" else b""
        return (
            b"%b /api?k=7 HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: %x-%x\r\nX-Qos: %b\r\n%b"
            b"X-Customer: acme\r\nX-Expires-In-Ms: 4000\r\nContent-Length: 0\r\n\r\n"
            % (method, self.tag, self.number, self.cls.encode(), key)
        )


def _send(address: Address, cls: str, rate: float, seconds: float, seed: int, pipe: Pipe) -> None:
    """One process of callers; tells how long each call took, and how many were not served."""

    async def send() -> tuple[list[float], int]:
        sender = Sender(address, cls, seed)
        await sender.send(rate, WARM_S)
        sender.took.clear()
        await sender.send(rate, seconds)
        await asyncio.sleep(END_S)
        return sender.took, sender.failed

    os.sched_setaffinity(0, SENDER_CORES)
    pipe.send(uvloop.run(send()))


def wait_until_open(address: Address) -> None:
    """Return once connections are taken at an address."""
    end = time.monotonic() + START_S
    while True:
        try:
            socket.create_connection((address.host, address.port)).close()
            return
        except ConnectionRefusedError:
            if time.monotonic() > end:
                raise
            time.sleep(0.05)


def one_run(side: Side, rate: float, seconds: float, seed: int) -> list[float]:
    """The times (s) of one run's calls."""
    spawn = multiprocessing.get_context("spawn")
    endpoint, listen = free_address(), free_address()
    server = spawn.Process(target=bare, args=(endpoint, {1}), daemon=True)
    server.start()
    stops: list[Callable[[], object]] = [server.kill]
    with tempfile.TemporaryDirectory() as folder:
        if side.kind == "daemon":
            settings = SETTINGS | {"classes": CLASSES}
            daemon = start_daemon(Path(folder), endpoint, listen, side.operator, settings)
            stops += [daemon.kill, daemon.wait]
        elif side.kind == "pass-through":
            through = spawn.Process(target=pass_through, args=(listen, endpoint, {0}), daemon=True)
            through.start()
            stops.append(through.kill)
        else:
            listen = endpoint
        try:
            wait_until_open(listen)
            mine, theirs = spawn.Pipe()
            sender = spawn.Process(target=_send, args=(listen, side.cls, rate, seconds, seed, theirs))
            sender.start()
            theirs.close()  # otherwise a sender that dies is waited for without end
            took, failed = mine.recv()
            sender.join()
        finally:
            for stop in stops:
                stop()
    if failed:
        print(f"{side.name}: {failed} calls not served", file=sys.stderr, flush=True)
    return cast(list[float], took)


def measure(side: Side, rate: float, seconds: float, runs: int) -> Row:
    """One row of the table."""
    results = [one_run(side, rate, seconds, seed) for seed in range(runs)]
    figures = {}
    for part in (0.5, 0.99):
        each = [quantile(took, part) * 1000 for took in results]
        figures[part] = (statistics.median(each), min(each), max(each))
    return Row(side.name, sum(map(len, results)), figures[0.5], figures[0.99])


def print_row(row: Row, direct: Row) -> None:
    """One line of the table."""
    cells = []
    for own, other in ((row.p50, direct.p50), (row.p99, direct.p99)):
        cells += [f"{own[0]:.2f} ({own[1]:.2f} to {own[2]:.2f})", f"{own[0] - other[0]:.2f}"]
    print(f"| {row.side} | {row.calls} | {' | '.join(cells)} |", flush=True)


@click.command(help=words(__doc__))
@click.option("--rate", type=float, default=110.0, show_default=True)
@click.option("--seconds", type=float, default=20.0, show_default=True)
@click.option("--runs", type=int, default=3, show_default=True)
@click.option("--json", metavar="FILE")
def main(**given: Any) -> int:
    args = SimpleNamespace(**given)
    print("| way | calls | p50 ms | added p50 | p99 ms | added p99 |")
    print("| --- " * 6 + "|")
    rows: list[Row] = []
    for side in SIDES:
        rows.append(measure(side, args.rate, args.seconds, args.runs))
        print_row(rows[-1], rows[0])
    if args.json:
        Path(args.json).write_text(json.dumps([asdict(row) for row in rows], indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(carry_out(sys.argv[1:], main, "benchmarks.added_latency"))
