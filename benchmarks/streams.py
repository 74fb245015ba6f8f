"""Long answers through the daemon: throughput, and the most memory that its process ever held.

    python -m benchmarks.streams [--mb 32] [--at 1,8,32] [--runs 3] [--slow-ms 0]

An endpoint in this process gives each caller so many MB; the callers read as fast as they can, or rest after
each 256 kB. Each row is the median of the runs, with the least and the most. Memory is the kernel's VmHWM of
a daemon that is started anew for each row.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import click

from benchmarks.flags import words
from millgw.cli.tree import run
from millgw.standins.address import free_address

PIECE = 1 << 18
SETTINGS = {
    "classes": [{"name": "read", "deadline": 30_000.0, "slo": 1000.0, "repeat": "retryable"}],
    "limits": {"tryLimit": 1}, "registryMode": "on_request",
    "rules": {"cold": 5000.0, "coldShare": 0.3, "fall": 1000.0, "fallMultiple": 3.0, "askWithin": 1000.0},
}  # fmt: skip
ASK = (
    b"GET /api HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %d\r\nX-Qos: read\r\nX-Expires-In-Ms: 30000\r\n"
    b"Connection: close\r\n\r\n"
)


async def row(size: int, callers: int, runs: int, rest: float) -> tuple[list[float], float]:
    """MB/s of each run, and the process's peak in MB."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
                for _ in range(0, size, PIECE):
                    writer.write(bytes(PIECE))
                    await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            writer.close()

    async def call(number: int) -> None:
        reader, writer = await asyncio.open_connection(listen.host, listen.port)
        writer.write(ASK % number)
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200"), head
        left = size
        while left:
            data = await reader.read(PIECE)
            assert data, "broken off"
            left -= len(data)
            if rest:
                await asyncio.sleep(rest)
        writer.close()

    listen, spot = free_address(), free_address()
    server = await asyncio.start_server(serve, spot.host, spot.port)
    known = {"name": "e1", "address": str(spot), "status": "in_service", "zone": "a", "weight": 1.0}
    told = {
        "name": "n1", "listen": str(listen), "discovery": "127.0.0.1:9", "seed": "1", "settings": SETTINGS,
        "limits": {"sockets": 1024, "memory_mb": 80},
        "known": {"index": 1, "snapshot": True, "endpoints": [known]},
    }  # fmt: skip
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "config.json"
        file.write_text(json.dumps(told))
        command = [sys.executable, "-m", "millgw.sidecar"]
        environ = os.environ | {"BALANCER_CONFIG": str(file)}
        process = subprocess.Popen(command, env=environ, stderr=subprocess.DEVNULL)
        try:
            while True:
                assert process.poll() is None, "the daemon has ended"
                try:
                    (await asyncio.open_connection(listen.host, listen.port))[1].close()
                    break
                except OSError:
                    await asyncio.sleep(0.05)
            rates = []
            for run in range(runs):
                begun = time.monotonic()
                await asyncio.gather(*(call(run * callers + n + 1) for n in range(callers)))
                rates.append(callers * size / 2**20 / (time.monotonic() - begun))
            found = re.search(r"VmHWM:\s+(\d+) kB", Path(f"/proc/{process.pid}/status").read_text())
            assert found is not None
            return rates, int(found[1]) / 1024
        finally:
            process.kill()
            process.wait()
            server.close()


@click.command(help=words(__doc__))
@click.option("--mb", type=int, default=32, show_default=True)
@click.option("--at", default="1,8,32", help="answers at once", show_default=True)
@click.option("--runs", type=int, default=3, show_default=True)
@click.option("--slow-ms", type=float, default=0.0, help="a caller's rest after each read", show_default=True)
def main(**given: Any) -> int:
    args = SimpleNamespace(**given)
    print("| answers at once | MB/s | least | most | peak memory MB |")
    print("| --- | --- | --- | --- | --- |")
    for callers in map(int, args.at.split(",")):
        rates, peak = asyncio.run(row(args.mb << 20, callers, args.runs, args.slow_ms / 1000))
        middle, least, most = statistics.median(rates), min(rates), max(rates)
        print(f"| {callers} | {middle:.0f} | {least:.0f} | {most:.0f} | {peak:.1f} |", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(run(sys.argv[1:], main, "benchmarks.streams"))
