"""What a flood on one service does to another, and what routing costs the daemon.

    python -m benchmarks.services flood    # login codes beside floods of 0, 1, 2, 5 times another pool
    python -m benchmarks.services rate      # calls a second on one core, without and with an operator's file

`flood` plays days of the rehearsal kit (two services, 6 endpoints each); `rate` drives one sidecar with 64
connections, its endpoint in a process of its own. Both want idle cores.
"""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import uvloop
from msgspec.structs import replace

from benchmarks.rehearsal import play
from millgw.rehearsal.scenario import Fault, load, to_toml
from millgw.sidecar.config import Address
from millgw.standins.address import free_address
from millgw.standins.caller import Desk
from millgw.standins.http import Clock
from millgw.standins.ledger import Call, End
from millgw.standins.scripted import ScriptedEndpoint

FLOODS = (0, 1, 2, 5)
CONNECTIONS, SECONDS, RUNS = 64, 4.0, 5


def flood() -> None:
    base = load("flood-one-pool")[1]
    share = {c.name: c for c in base.classes}["envio-campanha"]
    speeds = sum(k.share * k.speed for k in base.fleet.kinds)
    capacity = base.services[1].endpoints * speeds * 1000 / (share.work_ms * base.fleet.work[0])
    usual = base.traffic.rate * share.share
    print("| flood | campaign asked/s | login asked | served | p50 | p99 | p99.9 | verdicts | rig lag p99 |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for times in FLOODS:
        factor = max(1.0, times * capacity / usual)
        faults = () if not times else (_crowd(factor, base.seconds),)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / f"flood-{times}.toml"
            path.write_text(to_toml(replace(base, faults=faults)))
            _, day = play(str(path))
        login, campaign = day["classes"]["codigo-acesso"], day["classes"]["envio-campanha"]
        verdicts = ", ".join(r["verdict"] for r in day["rules"])
        print(
            f"| {times}x | {campaign['asked'] / base.seconds:.0f} | {login['asked']}"
            f" | {login['in_time'] + login['late']} | {login['p50_ms']:.0f} ms | {login['p99_ms']:.0f} ms"
            f" | {login['p999_ms']:.0f} ms | {verdicts} | {day['rig']['lag_p99']:.0f} ms |",
            flush=True,
        )


def _crowd(factor: float, seconds: float) -> Fault:
    return Fault(kind="crowd", cls="envio-campanha", start_s=0.0, length_s=seconds, size=round(factor, 2))


def _endpoint(address: Address) -> None:
    async def serve() -> None:
        await ScriptedEndpoint("e", address=address).start()
        await asyncio.Event().wait()

    uvloop.run(serve())


SETTINGS = {
    "classes": [{"name": "read", "deadline": 5000.0, "slo": 500.0, "repeat": "retryable"}],
    "limits": {"tryLimit": 3, "connectTimeout": 1000.0, "connIdle": 60_000.0},
    "rules": {"cold": 5000.0, "coldShare": 0.3, "fall": 1000.0, "fallMultiple": 3.0, "askWithin": 1000.0},
}


async def _drive(address: Address) -> float:
    """Calls a second that were served, over CONNECTIONS callers that ask one after another."""
    desks = [Desk("n", address, Clock()) for _ in range(CONNECTIONS)]
    served = 0

    async def caller(number: int, desk: Desk, end: float) -> None:
        nonlocal served
        asked = 0
        while time.monotonic() < end:
            asked += 1
            call = Call(f"{number}-{asked}", "k", 0, "read", "", "", "n", 0.0, patience=4000.0, method="GET")
            await desk.ask(call)
            served += call.end is End.ANSWERED and call.status == 200

    end = time.monotonic() + SECONDS
    await asyncio.gather(*(caller(i, desk, end) for i, desk in enumerate(desks)))
    return served / SECONDS


def _measure(operator: str) -> float:
    endpoint, listen = free_address(), free_address()
    server = multiprocessing.get_context("spawn").Process(target=_endpoint, args=(endpoint,), daemon=True)
    server.start()
    with tempfile.TemporaryDirectory() as folder:
        entry = {
            "name": "e", "address": str(endpoint), "zone": "", "group": 1, "status": "in_service",
            "weight": 64.0, "since_ms": 0,
        }  # fmt: skip
        config = {
            "name": "n", "listen": str(listen), "discovery": str(free_address()), "seed": "1",
            "limits": {"sockets": 1024, "memory_mb": 64}, "settings": SETTINGS,
            "known": {"index": 1, "snapshot": True, "endpoints": [entry]},
        }  # fmt: skip
        (Path(folder) / "c.json").write_text(json.dumps(config))
        environ = os.environ | {"BALANCER_CONFIG": str(Path(folder) / "c.json")}
        if operator:
            (Path(folder) / "o.toml").write_text(operator)
            environ["BALANCER_OPERATOR"] = str(Path(folder) / "o.toml")
        command = [sys.executable, "-B", "-m", "millgw.sidecar"]
        sidecar = subprocess.Popen(command, env=environ, stderr=subprocess.DEVNULL)
        try:
            time.sleep(1.0)
            return uvloop.run(_drive(listen))
        finally:
            sidecar.kill()
            sidecar.wait()
            server.kill()


def rate() -> None:
    one = '[services.all]\n[[routes]]\nto = "all"\n'
    many = "".join(f'[[routes]]\nto = "all"\nhost = "h{i}.example.org"\n' for i in range(1000))
    print("| operator's file | served/s, median of runs | least | most |")
    print("| --- | --- | --- | --- |")
    for name, text in (("none", ""), ("one service", one), ("one service, 1,001 routes", one + many)):
        runs = [_measure(text) for _ in range(RUNS)]
        print(f"| {name} | {statistics.median(runs):.0f} | {min(runs):.0f} | {max(runs):.0f} |", flush=True)


if __name__ == "__main__":
    if sys.argv[1:] == ["flood"]:
        flood()
    elif sys.argv[1:] == ["rate"]:
        rate()
    else:
        raise SystemExit(__doc__)
