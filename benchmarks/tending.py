"""What tending connections to endpoints does: calls lost as connections die, handshakes at a returning
server.

    python -m benchmarks.tending regimes [--seconds 8] [--runs 3] [--rate 500]
    python -m benchmarks.tending storm [16 67 365]      # sidecars; real ones, in days of the rehearsal kit
    python -m benchmarks.tending siblings               # the turns of 20 to 400 siblings, in virtual time
    python -m benchmarks.tending cost                   # calls a second on one core, plain and tended

`regimes` sends calls by an open loop (latency from the intended time), half of them of a class that may not
run twice, through one daemon to 40 stand-in endpoints whose connections die in one way a row. Plain is the
daemon without `[connections]`. All want idle cores.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import statistics
import subprocess
import sys
import tempfile
import time
from bisect import bisect_right
from collections import Counter
from dataclasses import dataclass, field, replace
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import click
import uvloop
from msgspec.structs import replace as changed

from benchmarks import connections as connection_bench
from benchmarks.flags import words
from benchmarks.rehearsal import play
from millgw.cli.tree import run
from millgw.connections.handshake_turns import HandshakeTurns, InstancePosition
from millgw.platform.config import Address
from millgw.rehearsal.audit.lateness import quantile
from millgw.rehearsal.scenario_files import load, to_toml
from millgw.standins.address import free_address
from millgw.standins.deduplication import DeduplicationGroup
from millgw.standins.endpoint import Endpoint
from millgw.standins.endpoint_options import ClassCost, ColdRule, EndpointOptions
from millgw.standins.http import Clock
from millgw.standins.ledger import Call, End, Ledger
from millgw.standins.sidecar_client import SidecarClient, ready

ENDPOINTS = 40
TOLD_IDLE = 4000.0  # ms that endpoints promise to keep idle connections
CLASSES = {"read": "retryable", "login": "fragile"}
SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": name, "deadline": 2000.0, "slo": 500.0, "repeat": repeat} for name, repeat in CLASSES.items()
    ],
    "limits": {"tryLimit": 3, "connectTimeout": 250.0, "connIdle": TOLD_IDLE},
    "rules": {"cold": 5000.0, "coldShare": 0.3, "fall": 1000.0, "fallMultiple": 3.0, "askWithin": 1000.0},
}


@dataclass(frozen=True)
class Regime:
    """How connections die: changes of the endpoints' build, and ms idle after which one is forgotten."""

    name: str
    build: dict[str, Any] = field(default_factory=dict)
    forgets: float | None = None


REGIMES = (
    Regime("as promised"),
    Regime("idle, at a tenth", {"idle": TOLD_IDLE / 10}),
    Regime("idle, at random", {"idle": TOLD_IDLE / 10, "idle_random": True}),
    Regime("after 10 answers", {"uses": 10}),
    Regime("forgotten on the way", forgets=200.0),
)
WAYS = {"plain": "", "hold": "[connections]\n", "ack": '[connections]\nprove = "ack"\nsilent_after_s = 0.1\n'}


@dataclass
class Run:
    """One run: asked and not served by class, ms from when due, what endpoints and the daemon saw."""

    asked: Counter[str] = field(default_factory=Counter)
    unserved: Counter[str] = field(default_factory=Counter)
    took: list[float] = field(default_factory=list)
    attempts: int = 0
    handshakes: int = 0
    late: list[float] = field(default_factory=list)
    status: str = ""


async def one_run(regime: Regime, way: str, seconds: float, rate: float, seed: int) -> Run:
    clock, ledger, run = Clock(), Ledger(), Run()
    tasks = {name: ClassCost(work=0.05, wait=2.0, cv=0.5, deadline=2000.0) for name in CLASSES}
    rule = ColdRule()
    endpoints = []
    for i in range(ENDPOINTS):
        build = replace(
            EndpointOptions(f"e{i}", 1, 0, free_address(), handshake_work=0.2, slots=200, idle=TOLD_IDLE),
            **regime.build,
        )
        endpoint = Endpoint(build, tasks, DeduplicationGroup(), ledger, clock, rule, seed)
        endpoint.start(cold=False)
        if regime.forgets is not None:
            endpoint.middlebox_timeout = regime.forgets
        endpoints.append(endpoint)
    listen = free_address()
    with tempfile.TemporaryDirectory() as folder:
        daemon = start(Path(folder), listen, endpoints, WAYS[way])
        try:
            while not await ready(listen):
                await asyncio.sleep(0.05)
            await drive(run, ledger, clock, listen, seconds, rate, random.Random(seed))
            if way != "plain":
                run.status = await status(listen)
        finally:
            daemon.kill()
            daemon.wait()
            for endpoint in endpoints:
                endpoint.stop()
    run.attempts, run.handshakes = len(ledger.attempts), len(ledger.handshakes)
    return run


def start(folder: Path, listen: Address, endpoints: list[Endpoint], text: str) -> subprocess.Popen[bytes]:
    entries = [
        {
            "name": e.options.name, "address": str(e.options.address), "zone": "", "group": 1,
            "status": "in_service", "weight": 1.0, "since_ms": 0,
        }
        for e in endpoints
    ]  # fmt: skip
    config = {
        "name": "n", "listen": str(listen), "discovery": str(free_address()), "seed": "1",
        "limits": {"sockets": 2048, "memory_mb": 64}, "settings": SETTINGS,
        "known": {"index": 1, "snapshot": True, "endpoints": entries},
    }  # fmt: skip
    (folder / "c.json").write_text(json.dumps(config))
    environ = os.environ | {"BALANCER_CONFIG": str(folder / "c.json")}
    if text:
        # A service, so that /ready tells the counts.
        (folder / "o.toml").write_text(text + '[services.all]\n[[routes]]\nto = "all"\n')
        environ["BALANCER_OPERATOR"] = str(folder / "o.toml")
    return subprocess.Popen(
        [sys.executable, "-B", "-m", "millgw.sidecar"], env=environ, stderr=subprocess.DEVNULL
    )


async def drive(
    run: Run, ledger: Ledger, clock: Clock, listen: Address, seconds: float, rate: float, rng: random.Random
) -> None:
    """Poisson arrivals; each call counts from when it was due."""
    desk, calls = SidecarClient("n", listen, clock), set[asyncio.Task[None]]()

    async def one(number: int, cls: str, due: float) -> None:
        call = Call(
            f"{rng.getrandbits(48):012x}{number:06x}", f"{number:x}", 0, cls, "", "", "n", due,
            patience=2000.0, method="GET" if CLASSES[cls] == "retryable" else "POST",
        )  # fmt: skip
        ledger.add_call(call)
        await desk.send_call(call)
        if call.end is End.CROSSED:
            await desk.send_call(call, fresh=True)
        if call.end is End.ANSWERED and call.status == 200:
            run.took.append(clock() - due)
        else:
            run.unserved[cls] += 1

    due = clock()
    end = due + seconds * 1000
    number = 0
    while (due := due + rng.expovariate(rate / 1000)) < end:
        if (wait := due - clock()) > 0:
            await asyncio.sleep(wait / 1000)
        run.late.append(clock() - due)
        cls = rng.choice(list(CLASSES))
        run.asked[cls] += 1
        task = asyncio.get_running_loop().create_task(one(number, cls, due))
        calls.add(task)
        task.add_done_callback(calls.discard)
        number += 1
    if calls:
        await asyncio.wait(calls)
    desk.close()


async def status(listen: Address) -> str:
    reader, writer = await asyncio.open_connection(listen.host, listen.port)
    writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    text = (await reader.read()).decode()
    writer.close()
    return text


def told(runs: list[Run], name: str) -> int:
    """What the daemon counted under names that begin so."""
    return sum(int(n) for run in runs for n in re.findall(rf", {name}[a-z-]* (\d+)", run.status))


def regimes(seconds: float, runs: int, rate: float) -> None:
    print(
        "| connections die | way | calls | unserved of 10,000: login | read | attempts a call"
        " | handshakes of 1,000 calls | p50 ms | p99 ms (least to most) | moved | failed on reuse"
        " | arrivals late p99 |"
    )
    print("|" + " --- |" * 12)
    for regime in REGIMES:
        for way in WAYS:
            if way == "ack" and regime.forgets is None and regime.name != "as promised":
                continue
            done = [uvloop.run(one_run(regime, way, seconds, rate, seed)) for seed in range(1, runs + 1)]
            asked: Counter[str] = sum((r.asked for r in done), Counter())
            unserved: Counter[str] = sum((r.unserved for r in done), Counter())
            calls = asked.total()
            p99 = [quantile(r.took, 0.99) for r in done]
            per = {cls: 10_000 * unserved[cls] / asked[cls] for cls in CLASSES}
            seen = [str(told(done, name)) if way != "plain" else "-" for name in ("moved", "failed-on-reuse")]
            print(
                f"| {regime.name} | {way} | {calls} | {per['login']:.1f} | {per['read']:.1f}"
                f" | {sum(r.attempts for r in done) / calls:.3f}"
                f" | {1000 * sum(r.handshakes for r in done) / calls:.0f}"
                f" | {statistics.median(quantile(r.took, 0.5) for r in done):.1f}"
                f" | {statistics.median(p99):.1f} ({min(p99):.1f} to {max(p99):.1f}) | {seen[0]} | {seen[1]}"
                f" | {statistics.median(quantile(r.late, 0.99) for r in done):.1f} |",
                flush=True,
            )


def storm(sizes: list[int]) -> None:
    base = load("cold-handshake-storm")[1]
    print("| sidecars | way | handshakes in a second at a cold server, most | in all | verdicts | service |")
    print("|" + " --- |" * 6)
    for size in sizes:
        for way in ("plain", "tended"):
            scenario = changed(base, connections=None if way == "plain" else base.connections)
            with tempfile.TemporaryDirectory() as folder:
                path = Path(folder) / f"storm-{way}.toml"
                path.write_text(to_toml(scenario))
                endpoints = {16: 6, 67: 17, 365: 60}.get(size, max(6, size // 5))
                rate = {16: 50, 67: 170, 365: 620}.get(size, size * 2)
                words = ("--sidecars", str(size), "--endpoints", str(endpoints), "--rate", str(rate))
                code, day = play(str(path), *words)
            verdicts = ", ".join(r["verdict"] for r in day["rules"]) + (" INCONCLUSIVE" if code == 3 else "")
            print(
                f"| {size} | {way} | {day['cold_handshakes_per_s']} | {day['handshakes']} | {verdicts}"
                f" | {day['service']:.3f} |",
                flush=True,
            )


def siblings() -> None:
    print("| siblings | stated a second | opened while cold | most in a second | first second | has one by |")
    print("|" + " --- |" * 6)
    for count in (20, 100, 400):
        for common in (True, False):
            rng, times = random.Random(1), []
            for index in range(count):
                turns = HandshakeTurns(InstancePosition(index, count, 0.2, 14_000.0), 20.0, 1e6, common, rng)
                now = 1e6 + 50 * rng.random()
                while turns.cold(now):
                    if turns.take(now):
                        times.append(now)
                    now += 50.0
            times.sort()
            most = max(bisect_right(times, at + 1000) - i for i, at in enumerate(times))
            half = times[count // 2] - 1e6 if len(times) > count // 2 else None
            print(
                f"| {count}{'' if common else ', start unheard'} | 20 | {len(times)} | {most}"
                f" | {bisect_right(times, 1e6 + 1000)}"
                f" | {'half in ' + format(half / 1000, '.1f') + ' s' if half else 'under half while cold'} |"
            )


def cost() -> None:
    one = '[services.all]\n[[routes]]\nto = "all"\n'
    print("| way | calls/s at 64 connections, median | least | most | p50 ms | cpu µs a call |")
    print("|" + " --- |" * 6)
    for name, text in (("plain", one), ("tended", "[connections]\n" + one)):
        row = connection_bench.measure("daemon", 64, 4.0, 3, text)
        print(
            f"| {name} | {row.calls:.0f} | {row.least:.0f} | {row.most:.0f} | {row.p50_ms:.2f}"
            f" | {row.cpu_us:.1f} |",
            flush=True,
        )


@click.command(help=words(__doc__))
@click.argument("what", type=click.Choice(("regimes", "storm", "siblings", "cost")))
@click.argument("sizes", nargs=-1, type=int)
@click.option("--seconds", type=float, default=8.0, show_default=True)
@click.option("--runs", type=int, default=3, show_default=True)
@click.option("--rate", type=float, default=500.0, show_default=True)
def main(**given: Any) -> int:
    args = SimpleNamespace(**given)
    if args.what == "regimes":
        regimes(args.seconds, args.runs, args.rate)
    elif args.what == "storm":
        storm(list(args.sizes) or [16, 67, 365])
    elif args.what == "siblings":
        siblings()
    else:
        cost()
    return 0


if __name__ == "__main__":
    started = time.monotonic()
    code = run(sys.argv[1:], main, "benchmarks.tending")
    print(f"took {time.monotonic() - started:.0f} s", file=sys.stderr)
    sys.exit(code)
