"""A server's ephemeral node drains right after another change of the same node."""

from __future__ import annotations

import asyncio
import json
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig_2 import ROOT, TROUBLE, Client, CouldNotRun, Endpoint, Record, Sidecar, free_port, play

sys.path.insert(0, str(ROOT))

from millgw.platform.config import Address
from millgw.standins.coordinator.ensemble import Ensemble

GRACE = 0.5 + 0.05  # s, `drainGrace` of the settings and the slack on sockets
BETWEEN = 0.05  # s between the change of the weight and the drain, as the shortest report period
PATH = "/services/login"
ROUNDS = 10
CLIENTS = 6


async def case(record: Record) -> tuple[bool, str]:
    endpoints = [Endpoint(record, f"s{i}", since_ms=1) for i in range(5)]
    for endpoint in endpoints:
        await endpoint.start()
    ensemble = Ensemble([Address("127.0.0.1", free_port())])
    ensemble.on_read = lambda _, path, names, data: void(
        record.note("coordinator-read", path=path, names=names, data=data.decode()[-40:])
    )
    await ensemble.start()
    ensemble.put("/services", b"")
    ensemble.put(PATH, b"")

    def write(endpoint: Endpoint, **fields: object) -> float:
        """Change a node's data; the coordinator writes the event to whoever watches it, at once."""
        endpoint.entry |= fields
        at = record.note("node-written", node=endpoint.name, **fields)
        ensemble.put(f"{PATH}/{endpoint.name}", json.dumps(endpoint.entry).encode())
        return at

    for endpoint in endpoints:
        ensemble.create_ephemeral(f"{PATH}/{endpoint.name}", json.dumps(endpoint.entry).encode())
    sidecar = Sidecar(record, f"127.0.0.1:{free_port()}", None)
    sidecar.operator = (
        f'[services.login]\n[services.login.coordinator]\nconnect = "{ensemble.connect_string}"\n'
        f'path = "{PATH}"\n[[routes]]\nto = "login"\n'
    )
    statuses: Counter[int] = Counter()
    late: list[float] = []
    ending = False

    async def client(number: int) -> None:
        caller = Client(record, sidecar.port, f"client-{number}")
        while not ending:
            _, status, _ = await caller.call("codigo-acesso")
            statuses[status] += 1
            await asyncio.sleep(0.02)
        caller.close()

    try:
        await sidecar.start()
        clients = [asyncio.create_task(client(i)) for i in range(CLIENTS)]
        await asyncio.sleep(2.0)
        for turn in range(ROUNDS):
            endpoint = endpoints[turn % len(endpoints)]
            await asyncio.sleep(0.37 * (turn % 3))
            if TROUBLE:
                write(endpoint, weight=0.9 if endpoint.entry["weight"] == 1.0 else 1.0)
                await asyncio.sleep(BETWEEN)
            told = write(endpoint, status="terminating")
            await asyncio.sleep(2.5)
            late += [at - told for at, _ in endpoint.got if at > told + GRACE]
            write(endpoint, status="in_service")
            await asyncio.sleep(1.5)
        ending = True
        await asyncio.gather(*clients)
        await ensemble.stop()
    finally:
        sidecar.stop()
    if statuses[200] < 500:
        raise CouldNotRun(f"too few were served: {dict(statuses)}")
    last = f", the last {max(late):.2f} s after it" if late else ""
    return not late, f"answers {dict(statuses)}; {len(late)} sent over {GRACE} s after the drain{last}"


def void(_: object) -> None:
    """Nothing is returned to the coordinator."""


play(Path(__file__).resolve().parent, case)
