"""Trial of a known entry: discovery is back and full, answers each call 503, and a server drains meanwhile.

The server that drains serves on and answers health probes well.
TROUBLE=0: the watch goes on and tells the drain.
"""

from __future__ import annotations

import asyncio
import secrets
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "support"))

import rig  # noqa: E402

COUNTS_AS_TOLD, GRACE, SLACK = 6.0, 0.5, 0.05  # s: standing test, caxias-principal, protocol page
LENGTH = 30.0  # s


class FullDiscovery(rig.Discovery):
    """Discovery that can end its watches and answer each call 503 from then on."""

    full = False

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self.full:
            await super()._serve(reader, writer)
            return
        try:
            await rig.read_message(reader)
            self.record.write("discovery answers 503")
            writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def fill(self) -> None:
        self.full = True
        for writer in list(self.watches):
            writer.transport.abort()


async def case(record: rig.Record, processes: rig.Processes, folder: Path) -> list[str]:
    late: list[str] = []
    drained_at = [float("inf")]

    def server(name: str) -> rig.Endpoint:
        async def answering(message: rig.Message, _: asyncio.StreamWriter) -> bytes:
            if message.first.startswith("GET /health"):
                return rig.ok(b"")
            after = time.monotonic() - drained_at[0]
            if name == "s-0" and after > COUNTS_AS_TOLD + GRACE + SLACK:
                late.append(f"{message.headers['x-trace-id']} was sent to s-0 {after:.2f} s after its drain")
                record.write(late[-1])
            await asyncio.sleep(0.02)
            return rig.ok(b"done")

        return rig.Endpoint(name, answering)

    servers = [server(f"s-{n}") for n in range(3)]
    for one in servers:
        await one.start()
    discovery = FullDiscovery(record)
    await discovery.start([one.entry() for one in servers])
    table = rig.settings(
        [{"name": "codigo-acesso", "repeat": "fragile", "slo": 1500, "deadline": 4000, "worth": 8}]
    )
    port = rig.free_port()
    config = rig.sidecar_config("n1", port, discovery, table)
    sidecar = rig.Sidecar("n1", folder, port, config, "", processes)
    await sidecar.start()
    end = time.monotonic() + LENGTH
    answers = []

    async def client() -> None:
        while time.monotonic() < end:
            data = rig.request("POST", "codigo-acesso", secrets.token_hex(8), 4000, {}, b"{}")
            answers.append((await rig.ask(port, data))[0])
            await asyncio.sleep(0.1)

    async def events() -> None:
        await asyncio.sleep(3.0)
        if rig.TROUBLE:
            discovery.fill()
        await asyncio.sleep(0.5)
        drained_at[0] = time.monotonic()
        discovery.change(servers[0].entry("terminating"))

    await asyncio.gather(events(), *(client() for _ in range(3)))
    record.say(f"{len(answers)} answers, {answers.count(200)} of them 200; {len(late)} sent too late")
    return late


if __name__ == "__main__":
    sys.exit(rig.main(case, HERE))
