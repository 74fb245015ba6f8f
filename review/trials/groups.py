"""Trial: keyed calls, servers of two groups that a coordinator and discovery list, connections that break.

The coordinator's nodes are of Curator's layout, which has no group; discovery tells the groups.
SOURCES=discovery plays the same with discovery alone, TROUBLE=0 without the breaks.
"""

from __future__ import annotations

import asyncio
import collections
import json
import os
import random
import secrets
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "support"))

import rig  # noqa: E402

GROUPS, EACH = 2, 2  # groups, and servers of each
RATE = 20.0  # calls a second
LENGTH = 10.0  # s
WORK = 0.05  # s
SHARE = 0.1  # of the calls whose connection is reset after the server has run them
WINDOW = 10_000  # ms for which a group remembers a key
DEADLINE = 6000
SOURCES = os.environ.get("SOURCES", "union")  # "discovery": discovery alone, for comparison


async def case(record: rig.Record, processes: rig.Processes, folder: Path) -> list[str]:
    rng = random.Random(1)
    remembered: dict[tuple[int, str], float] = {}  # by group and key: when it ran
    effects: dict[str, list[str]] = collections.defaultdict(list)  # by key: where it ran

    def server(name: str, group: int) -> rig.Endpoint:
        async def answering(message: rig.Message, _: asyncio.StreamWriter) -> bytes | None:
            if message.first.startswith("GET /health"):
                return rig.ok(b"")
            key, now = message.headers["idempotency-key"], time.monotonic()
            ran = remembered.get((group, key))
            if ran is not None and now < ran + WINDOW / 1000:
                record.write(f"{name} of group {group} drops the repeat of {key}")
                return rig.ok(b"done\n")
            remembered[group, key] = now
            effects[key].append(f"{name} of group {group}")
            record.write(f"{name} of group {group} runs {key}")
            await asyncio.sleep(WORK)
            if rig.TROUBLE and rng.random() < SHARE:
                record.write(f"{name} resets the connection of {key}")
                return None
            return rig.ok(b"done\n")

        return rig.Endpoint(name, answering)

    servers = [(server(f"s-{g}{n}", g), g) for g in range(1, GROUPS + 1) for n in range(EACH)]
    for one, _ in servers:
        await one.start()
    discovery = rig.Discovery(record)
    since = int(time.time() * 1000) - 3_600_000
    await discovery.start([one.entry(group=group, since_ms=since) for one, group in servers])

    coordinator_port = rig.free_port()
    python = str(rig.ROOT / ".venv" / "bin" / "python")
    coordinator = await processes.start(
        "coordinator",
        [python, "-B", "-m", "millgw", "coordinator", "--listen", f"127.0.0.1:{coordinator_port}"],
        {}, folder / "coordinator.log", stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
    )  # fmt: skip
    assert coordinator.stdin is not None and coordinator.stdout is not None
    record.write(f"coordinator: {(await coordinator.stdout.readline()).decode().strip()}")

    async def tell(line: str) -> None:
        assert coordinator.stdin is not None and coordinator.stdout is not None
        coordinator.stdin.write(line.encode() + b"\n")
        record.write(f"coordinator: {line} -> {(await coordinator.stdout.readline()).decode().strip()}")

    await tell("put /services")
    await tell("put /services/campanha")
    for one, _ in servers:  # as Curator's service discovery writes them: these nodes have no group
        node = {
            "name": one.name, "id": one.name, "address": "127.0.0.1", "port": one.port, "sslPort": None,
            "payload": None, "registrationTimeUTC": since,
            "serviceType": "DYNAMIC", "uriSpec": None, "enabled": True,
        }  # fmt: skip
        await tell(f"own /services/campanha/{one.name} {json.dumps(node)}")

    table = rig.settings(
        [
            {
                "name": "envio-campanha", "repeat": "dedup", "keyScope": "cell", "repeatWindow": WINDOW,
                "slo": 2500, "deadline": DEADLINE, "worth": 5,
            }
        ]
    )  # fmt: skip
    operator = "[services.campanha]\n"
    if SOURCES != "discovery":
        operator += (
            f'membership = "{SOURCES}"\n[services.campanha.coordinator]\n'
            f'connect = "127.0.0.1:{coordinator_port}"\npath = "/services/campanha"\n'
        )
    operator += '[[routes]]\nto = "campanha"\n'
    port = rig.free_port()
    sidecar = rig.Sidecar(
        "n1", folder, port, rig.sidecar_config("n1", port, discovery, table), operator, processes
    )
    await sidecar.start()
    await asyncio.sleep(2.0)  # both lists have come

    async def send(key: str) -> None:
        record.write(f"client asks for {key}")
        data = rig.request(
            "POST", "envio-campanha", secrets.token_hex(8), DEADLINE, {"Idempotency-Key": key}, b"{}"
        )
        try:
            async with asyncio.timeout(DEADLINE / 1000 + 1):
                status, _ = await rig.ask(port, data)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            record.write(f"client has no answer for {key}: {type(error).__name__}")
            return
        record.write(f"client is answered {status} for {key}")

    calls, end = [], time.monotonic() + LENGTH
    while time.monotonic() < end:
        calls.append(asyncio.create_task(send(secrets.token_hex(16))))
        await asyncio.sleep(1 / RATE)
    await asyncio.gather(*calls)
    twice = {key: places for key, places in effects.items() if len(places) > 1}
    record.say(f"{len(calls)} calls, {len(effects)} ran, {len(twice)} ran more than once")
    return [f"{key} ran {len(places)} times: {', '.join(places)}" for key, places in twice.items()]


if __name__ == "__main__":
    sys.exit(rig.main(case, HERE))
