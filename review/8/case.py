"""A sidecar is killed and starts again while discovery is down; lists are pushed to an agent beside it."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig_2 import (
    TROUBLE,
    Client,
    CouldNotRun,
    Discovery,
    Endpoint,
    Record,
    Request,
    Sidecar,
    answer,
    play,
    settings,
)

GRACE = 0.5 + 0.05  # s, `drainGrace` of the settings and the slack on sockets
STARTS = 1.0  # s that the first moment of the new process may be later than its start here
DOWN = 8.0  # s for which discovery is down, and its agent silent
CLIENTS = 24
WORK = 0.3  # s that a call takes
ENDS = 5.0  # s after the start: the endpoint that drains has finished what it had, and ends


class Agent(Discovery):
    """The agent on the machine: answers at once what it has, and is silent while discovery is down."""

    silent = False

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.silent:
            self.record.note("agent-silent")
            while self.silent:
                await asyncio.sleep(0.05)
            writer.close()
            return
        await super()._connection(reader, writer)


async def serve(endpoint: Endpoint, request: Request, writer: asyncio.StreamWriter) -> bool:
    await asyncio.sleep(WORK)
    if writer in endpoint.open:
        writer.write(answer(200, endpoint.body(request)))
    return True


async def case(record: Record) -> tuple[bool, str]:
    endpoints = [Endpoint(record, f"s{i}", serve) for i in range(5)]
    for endpoint in endpoints:
        await endpoint.start()
    agent = Agent(record, "agent", [e.entry for e in endpoints])
    await agent.start()
    known = agent.whole()
    sidecar = Sidecar(record, agent.address, known, settings=settings(registryMode="pushed"))
    statuses: Counter[int] = Counter()
    failed: set[str] = set()  # requests that were taken, and neither served nor refused
    ending = False

    async def client(number: int) -> None:
        caller = Client(record, sidecar.port, f"client-{number}")
        while not ending:
            trace, status, _ = await caller.call("codigo-acesso")
            statuses[status] += 1
            if status not in (0, 200, 429, 503):
                failed.add(trace)
            await asyncio.sleep(0.02 if status else 0.2)
        caller.close()

    try:
        await sidecar.start()
        clients = [asyncio.create_task(client(i)) for i in range(CLIENTS)]
        await asyncio.sleep(3.0)
        if not agent.watches:
            raise CouldNotRun("the sidecar has no watch")
        sidecar.kill()
        await asyncio.sleep(0.5)
        agent.change("s0", status="terminating")  # while the sidecar is away: its list is that of before
        await asyncio.sleep(0.5)
        agent.silent = TROUBLE
        began = record.note("starts-again")
        await sidecar.start()
        await asyncio.sleep(ENDS)
        endpoints[0].die()
        await asyncio.sleep(DOWN - ENDS)
        agent.silent = False
        await asyncio.sleep(2.0)
        ending = True
        await asyncio.gather(*clients)
    finally:
        sidecar.stop()
    if statuses[200] < 200:
        raise CouldNotRun(f"answers {dict(statuses)}")
    late = [at for at, _ in endpoints[0].got if at > began + STARTS + GRACE]
    lost = [trace for at, trace in endpoints[0].got if at > began + STARTS + GRACE and trace in failed]
    last = f", the last {max(late) - began:.2f} s after the start" if late else ""
    return (
        not late,
        f"answers {dict(statuses)}; {len(late)} sent to the endpoint that drains{last}; "
        f"{len(lost)} lost at its end",
    )


play(Path(__file__).resolve().parent, case)
