"""SIGHUP moves discovery, in a sidecar with services, after endpoints have drained."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig_2 import TROUBLE, Client, CouldNotRun, Discovery, Endpoint, Record, Sidecar, play, settings

GRACE = 0.5 + 0.05  # s, `drainGrace` of the settings and the slack on sockets
CLIENTS = 4


async def case(record: Record) -> tuple[bool, str]:
    endpoints = [Endpoint(record, f"s{i}") for i in range(4)]
    for endpoint in endpoints:
        await endpoint.start()
    first = Discovery(record, "first", [e.entry for e in endpoints])
    await first.start()
    sidecar = Sidecar(record, first.address, first.whole(), settings=settings(siblings=8))
    sidecar.operator = '[services.login]\n[[routes]]\nto = "login"\n'
    statuses: Counter[int] = Counter()
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
        await asyncio.sleep(3.0)
        if not first.watches:
            raise CouldNotRun("the sidecar has no watch")
        told = {name: first.change(name, status="terminating") for name in ("s0", "s1")}
        await asyncio.sleep(4.0)
        # A second discovery of the same fleet: it knows the drains too.
        second = Discovery(record, "second", list(first.entries.values()), index=first.index)
        second.changed = dict(first.changed)
        await second.start()
        if TROUBLE:
            sidecar.config["discovery"] = second.address
            sidecar.write_config()
            sidecar.signal(signal.SIGHUP)
        await asyncio.sleep(8.0)
        ending = True
        await asyncio.gather(*clients)
    finally:
        sidecar.stop()
    if statuses[200] < 200 or (TROUBLE and not second.calls):
        raise CouldNotRun(f"answers {dict(statuses)}, calls at the second discovery: {second.calls}")
    late = [at for e in endpoints for at, _ in e.got if at > told.get(e.name, 1e9) + GRACE]
    span = f", the last {max(late) - told['s0']:.2f} s after the drain was told" if late else ""
    return not late, f"answers {dict(statuses)}; {len(late)} sent to endpoints that drained{span}"


play(Path(__file__).resolve().parent, case)
