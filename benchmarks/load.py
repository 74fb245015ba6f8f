"""Measures the load generator itself.

    python -m benchmarks.load honest   # the highest rate it sends in time, by senders, against a bare server
    python -m benchmarks.load late     # its own lateness at 620/s and 5,000/s
    python -m benchmarks.load memory   # its memory by connections
    python -m benchmarks.load jump     # 170 to 620/s within a second against the daemon

All want idle cores.
"""

from __future__ import annotations

import json
import multiprocessing
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from benchmarks import connections as bench
from millgw.load.plan import Class, Plan
from millgw.load.report import Report, to_json
from millgw.load.result import at_quantile
from millgw.load.run import Bounds, Fleet, Run, play, tag
from millgw.load.sender import Orders
from millgw.load.shapes import parse
from millgw.platform.config import Address
from millgw.standins.address import free_address

SERVERS = 2  # bare servers, each on a core of its own
BOUNDS = Bounds(20.0, 0.01)
RATES = (1000, 2000, 3000, 4000, 6000, 8000, 11_000, 15_000, 20_000, 26_000, 34_000)


def bare() -> tuple[tuple[Address, ...], list[Any]]:
    spawn = multiprocessing.get_context("spawn")
    at = tuple(free_address() for _ in range(SERVERS))
    made = [spawn.Process(target=bench.bare, args=(a, {i}), daemon=True) for i, a in enumerate(at)]
    for process in made:
        process.start()
    time.sleep(1.0)
    return at, made


def send(
    at: tuple[Address, ...], rate: float, seconds: float, senders: int, ahead: int, shape: str = ""
) -> Run:
    plan = Plan((parse(shape or f"constant:rate={rate}", seconds),), seconds)
    orders = Orders(at, (Class("read"),), 4096, ahead, BOUNDS.late, tag(), False, "/api")
    fleet = Fleet(orders, senders, list(range(SERVERS, SERVERS + senders)))
    try:
        fleet.ready(ahead)
        return play(plan.arrivals(), seconds, fleet, BOUNDS, 2000.0)
    finally:
        fleet.close()


def honest() -> None:
    at, servers = bare()
    print(
        "| senders | highest rate in time | its lateness p99 ms | latency p99 ms | first rate that was late |"
    )
    print("| --- | --- | --- | --- | --- |")
    for senders in (1, 2, 4, 6):
        last: tuple[float, Run] | None = None
        late = None
        for rate in RATES:
            run = send(at, rate, 3.0, senders, 64)
            if run.reasons:
                late = rate
                break
            last = (rate, run)
        if last is not None:
            tally = last[1].tally
            print(
                f"| {senders} | {last[0]} | {at_quantile(tally.lateness, 0.99):.1f}"
                f" | {at_quantile(tally.total().latency, 0.99):.1f} | {late or 'none tried'} |",
                flush=True,
            )
    for process in servers:
        process.kill()


def late() -> None:
    at, servers = bare()
    print("| rate | senders | run | sent | lateness p50, p99, most ms | latency p99 ms |")
    print("| --- | --- | --- | --- | --- | --- |")
    for rate, senders in ((620, 2), (5000, 4)):
        for number in range(3):
            run = send(at, rate, 6.0, senders, 64)
            t = run.tally
            print(
                f"| {rate} | {senders} | {number + 1} | {run.planned} | {at_quantile(t.lateness, 0.5):.2f},"
                f" {at_quantile(t.lateness, 0.99):.2f}, {t.lateness.get_max_value() / 1000:.1f}"
                f" | {at_quantile(t.total().latency, 0.99):.2f} |",
                flush=True,
            )
    for process in servers:
        process.kill()


def memory() -> None:
    at, servers = bare()
    print("| connections | MB of one sender |")
    print("| --- | --- |")
    for count in (10, 1000, 4000, 10_000):
        orders = Orders(at, (Class("read"),), count, count, 20.0, tag(), False, "/api")
        fleet = Fleet(orders, 1, None)
        try:
            fleet.ready(count)
            pages = int(Path(f"/proc/{fleet.pids[0]}/statm").read_text().split()[1])
            print(f"| {count} | {pages * 4 / 1024:.1f} |", flush=True)
        finally:
            fleet.close()
    for process in servers:
        process.kill()


def jump() -> None:
    """The daemon on one core with one bare endpoint; second by second."""
    at, servers = bare()
    for number in range(3):
        listen = free_address()
        with tempfile.TemporaryDirectory() as folder:
            daemon: subprocess.Popen[bytes] = bench.start_daemon(Path(folder), at[0], listen, "")
            time.sleep(1.0)
            run = send((listen,), 0, 12.0, 2, 0, "jump:from=170,to=620,at=5")
            daemon.kill()
            daemon.wait()
        report = Report(str(listen), "jump", 1, 12.0, 2, run.planned, run.tally, run.reasons)
        told = to_json(report)
        figures = told["figures"]["all"]
        print(json.dumps({"run": number + 1, "verdict": told["verdict"], **figures}), flush=True)
        for second in (4, 5, 6, 7):
            of = run.tally.seconds[second]
            print(
                f"    second {second}: {of.planned} asked, {of.served} served, worst late {of.worst:.1f} ms"
            )
    for process in servers:
        process.kill()


if __name__ == "__main__":
    jobs = {"honest": honest, "late": late, "memory": memory, "jump": jump}
    if len(sys.argv) != 2 or sys.argv[1] not in jobs:
        raise SystemExit(__doc__)
    jobs[sys.argv[1]]()
