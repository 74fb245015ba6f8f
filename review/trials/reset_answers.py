"""Trial: answers without a length that are reset half-way. TROUBLE=0: they all come whole."""

from __future__ import annotations

import asyncio
import collections
import random
import secrets
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "support"))

import rig  # noqa: E402

CALLS, AT_ONCE, SHARE, CUT = 300, 4, 0.2, 1500  # CUT: bytes before the reset


def body_for(trace: str) -> bytes:
    return f"{trace} ".encode() * 200


async def case(record: rig.Record, processes: rig.Processes, folder: Path) -> list[str]:
    rng = random.Random(1)
    cut: set[str] = set()

    async def answering(message: rig.Message, writer: asyncio.StreamWriter) -> bytes | None:
        if message.first.startswith("GET /health"):
            return rig.ok(b"")
        trace = message.headers["x-trace-id"]
        await asyncio.sleep(0.02)
        head, body = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", body_for(trace)
        if rig.TROUBLE and rng.random() < SHARE:
            cut.add(trace)
            writer.write(head + body[:CUT])
            return None  # a reset
        writer.write(head + body)
        await writer.drain()
        writer.write_eof()
        return b""

    servers = [rig.Endpoint(f"s-{n}", answering) for n in range(3)]
    for one in servers:
        await one.start()
    discovery = rig.Discovery(record)
    await discovery.start([one.entry() for one in servers])
    table = rig.settings(
        [{"name": "codigo-acesso", "repeat": "fragile", "slo": 1500, "deadline": 4000, "worth": 8}]
    )
    port = rig.free_port()
    config = rig.sidecar_config("n1", port, discovery, table)
    sidecar = rig.Sidecar("n1", folder, port, config, "", processes)
    await sidecar.start()
    answered: collections.Counter[int] = collections.Counter()
    broken: list[str] = []

    async def call() -> None:
        trace = secrets.token_hex(8)
        data = rig.request("POST", "codigo-acesso", trace, 4000, {}, b"{}")
        status, body = await rig.ask(port, data)
        answered[status] += 1
        record.write(f"{trace} is answered {status} with {len(body)} bytes, cut: {trace in cut}")
        if status == 200 and body != body_for(trace):
            broken.append(f"{trace} is answered 200 with {len(body)} of {len(body_for(trace))} bytes")

    for _ in range(CALLS // AT_ONCE):
        await asyncio.gather(*(call() for _ in range(AT_ONCE)))
    record.say(f"answers {dict(answered)}, {len(cut)} cut by a reset, {len(broken)} of them answered 200")
    return broken


if __name__ == "__main__":
    sys.exit(rig.main(case, HERE))
