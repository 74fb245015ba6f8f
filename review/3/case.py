"""Orders with a body, and clients that offer an upgrade to HTTP/2 with them, which the sidecar may ignore."""

from __future__ import annotations

import asyncio
import collections
import random
import secrets
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "support"))

import rig  # noqa: E402

CLIENTS, OFFERING = 4, 2  # clients, and those of them that offer an upgrade
LENGTH = 8.0  # s
WORK = 0.02  # s
SIZES = (20, 200, 2000, 20_000)  # bytes of a body
# What common HTTP/1.1 clients with HTTP/2 send with a request in clear text (RFC 7540, section 3.2).
OFFER = {
    "Connection": "Upgrade, HTTP2-Settings", "Upgrade": "h2c",
    "HTTP2-Settings": "AAEAAEAAAAIAAAABAAMAAABkAAQBAAAAAAUAAEAA",
}  # fmt: skip


async def case(record: rig.Record, processes: rig.Processes, folder: Path) -> list[str]:
    rng = random.Random(1)
    ran: dict[str, tuple[str, bytes]] = {}  # by trace id: where it ran, with which body

    def server(name: str) -> rig.Endpoint:
        async def answering(message: rig.Message, _: asyncio.StreamWriter) -> bytes:
            if message.first.startswith("GET /health"):
                return rig.ok(b"")
            trace = message.headers["x-trace-id"]
            ran[trace] = name, message.body
            record.write(f"{name} runs {trace} with a body of {len(message.body)} bytes")
            await asyncio.sleep(WORK)
            return rig.ok(f"done {trace}\n".encode())

        return rig.Endpoint(name, answering)

    servers = [server(f"s-{n}") for n in range(3)]
    for one in servers:
        await one.start()
    discovery = rig.Discovery(record)
    await discovery.start([one.entry(group=n) for n, one in enumerate(servers)])
    table = rig.settings(
        [
            {
                "name": "envio-campanha", "repeat": "dedup", "keyScope": "cell", "repeatWindow": 10_000,
                "slo": 2500, "deadline": 6000, "worth": 5,
            },
            {"name": "codigo-acesso", "repeat": "fragile", "slo": 1500, "deadline": 4000, "worth": 8},
        ]
    )  # fmt: skip
    port = rig.free_port()
    sidecar = rig.Sidecar("n1", folder, port, rig.sidecar_config("n1", port, discovery, table), "", processes)
    await sidecar.start()

    broken: list[str] = []
    answered: collections.Counter[tuple[str, int]] = collections.Counter()
    end = time.monotonic() + LENGTH

    async def client(name: str, offers: bool) -> None:
        connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        while time.monotonic() < end:
            if connection is None:
                connection = await asyncio.open_connection("127.0.0.1", port)
            reader, writer = connection
            trace, body = secrets.token_hex(8), secrets.token_hex(rng.choice(SIZES) // 2).encode()
            headers = OFFER if offers and rig.TROUBLE else {}
            if rng.random() < 0.5:
                data = rig.request("POST", "codigo-acesso", trace, 4000, headers, body)
            else:
                key = {"Idempotency-Key": secrets.token_hex(16)}
                data = rig.request("POST", "envio-campanha", trace, 6000, headers | key, body)
            writer.write(data)
            try:
                answer = await rig.read_message(reader)
            except (OSError, asyncio.IncompleteReadError):
                connection = None
                continue
            status = int(answer.first.split()[1])
            kind = "with an offer" if headers else "plain"
            answered[kind, status] += 1
            record.write(f"{name} sent {trace} {kind}, {len(body)} bytes, and is answered {status}")
            if trace in ran and ran[trace][1] != body:
                where, got = ran[trace]
                broken.append(
                    f"{trace} was sent with {len(body)} bytes, ran at {where} with {len(got)}, "
                    f"and was answered {status}"
                )
            if answer.headers.get("connection", "").lower() == "close":
                writer.close()
                connection = None
            await asyncio.sleep(0.02)

    await asyncio.gather(*(client(f"client {n}", n < OFFERING) for n in range(CLIENTS)))
    record.say(f"answers {dict(answered)}; {len(broken)} ran with another body than was sent")
    return broken


if __name__ == "__main__":
    sys.exit(rig.main(case, HERE))
