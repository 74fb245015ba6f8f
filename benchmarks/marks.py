"""What a durable mark adds to an unsafe call: calls/s and latency without a store and with each kind of sync.

    python -m benchmarks.marks [--seconds 3] [--clients 1,32] [--directory DIR] [--mirrors 1] [--json]

One daemon, one endpoint that answers at once, clients that ask one call after another over kept connections.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import click

from benchmarks.flags import words
from millgw.cli.tree import run
from millgw.platform.config import Address
from millgw.standins.address import free_address

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
KINDS = ("none", "interval", "group", "each")
SETTINGS = {
    "classes": [{"name": "login", "deadline": 5000.0, "slo": 1500.0, "repeat": "fragile"}],
    "rules": {"cold": 0.0, "coldShare": 1.0, "fall": 1000.0, "fallMultiple": 3.0, "askWithin": 6000.0},
    "limits": {"tryLimit": 3, "connectTimeout": 250.0},
}
numbers = itertools.count(1)


class Endpoint(asyncio.Protocol):
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if data.endswith(b"\n"):  # the last byte of a request without a body
            assert isinstance(self.transport, asyncio.Transport)
            self.transport.write(ANSWER)


async def client(listen: Address, until: float, took: list[float]) -> None:
    reader, writer = await asyncio.open_connection(listen.host, listen.port)
    while time.monotonic() < until:
        began = time.monotonic()
        writer.write(
            f"POST /api HTTP/1.1\r\nHost: a\r\nX-Trace-Id: {next(numbers):016x}\r\nX-Qos: login\r\n"
            "X-Expires-In-Ms: 4000\r\nContent-Length: 0\r\n\r\n".encode()
        )
        head = await reader.readuntil(b"\r\n\r\n")
        if not head.startswith(b"HTTP/1.1 200"):
            raise SystemExit(f"answered {head!r}")
        await reader.readexactly(2)
        took.append((time.monotonic() - began) * 1000)
    writer.close()


@contextmanager
def daemon(folder: Path, kind: str, mirrors: int, where: str | None) -> Iterator[tuple[Address, Address]]:
    listen, endpoint = free_address(), free_address()
    store = ""
    if kind != "none":
        places = [tempfile.mkdtemp(dir=where, prefix="marks-") for _ in range(mirrors)]
        store = f'[store]\ndirectories = {json.dumps(places)}\nsync = "{kind}"\n'
    (folder / "o.toml").write_text(
        f'{store}[services.a]\n[[services.a.endpoints]]\nname = "e"\naddress = "{endpoint}"\n'
        '[[routes]]\nto = "a"\n'
    )
    told = {
        "name": "n", "listen": str(listen), "discovery": "127.0.0.1:9", "seed": "1",
        "limits": {"sockets": 1024, "memory_mb": 64}, "settings": SETTINGS,
    }  # fmt: skip
    (folder / "c.json").write_text(json.dumps(told))
    process = subprocess.Popen(
        [sys.executable, "-m", "millgw", "serve", "--operator", str(folder / "o.toml")],
        env=os.environ | {"BALANCER_CONFIG": str(folder / "c.json")}, stderr=subprocess.DEVNULL,
    )  # fmt: skip
    try:
        yield listen, endpoint
    finally:
        process.send_signal(signal.SIGKILL)
        process.wait()


async def measure(args: SimpleNamespace, kind: str, clients: int) -> dict[str, object]:
    took: list[float] = []
    with (
        tempfile.TemporaryDirectory() as name,
        daemon(Path(name), kind, args.mirrors, args.directory) as (listen, endpoint),
    ):
        server = await asyncio.get_running_loop().create_server(Endpoint, endpoint.host, endpoint.port)
        while True:
            try:
                await client(listen, time.monotonic() + 0.5, [])
                break
            except OSError:
                await asyncio.sleep(0.05)
        until = time.monotonic() + args.seconds
        await asyncio.gather(*(client(listen, until, took) for _ in range(clients)))
        server.close()
    took.sort()
    return {
        "sync": kind, "clients": clients, "calls_per_s": round(len(took) / args.seconds),
        "p50_ms": round(took[len(took) // 2], 2), "p99_ms": round(took[int(0.99 * len(took))], 2),
        "worst_ms": round(took[-1], 1),
    }  # fmt: skip


@click.command(help=words(__doc__))
@click.option("--seconds", type=float, default=3.0, show_default=True)
@click.option("--clients", default="1,32", show_default=True)
@click.option("--mirrors", type=int, default=1, show_default=True)
@click.option("--directory", help="where the store's directories are made (the temporary place)")
@click.option("--json", is_flag=True)
def main(**given: Any) -> int:
    args = SimpleNamespace(**given)
    rows = []
    for clients in map(int, args.clients.split(",")):
        for kind in KINDS:
            rows.append(asyncio.run(measure(args, kind, clients)))
            if not args.json:
                print("  ".join(f"{k} {v}" for k, v in rows[-1].items()), flush=True)
    if args.json:
        print(json.dumps(rows, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(run(sys.argv[1:], main, "benchmarks.marks"))
