"""Trial: a server that drains, and a reload (SIGHUP) of a changed service six seconds later.

TROUBLE=0: no reload.
"""

from __future__ import annotations

import asyncio
import secrets
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "support"))

import rig  # noqa: E402

GRACE, SLACK = 0.5, 0.05  # s
OPERATOR = '[services.login]\n[services.login.settings.limits]\ntryLimit = 3\n[[routes]]\nto = "login"\n'


async def case(record: rig.Record, processes: rig.Processes, folder: Path) -> list[str]:
    late: list[str] = []
    told = [float("inf")]

    def server(name: str) -> rig.Endpoint:
        async def answering(message: rig.Message, _: asyncio.StreamWriter) -> bytes:
            if message.first.startswith("GET /health"):
                return rig.ok(b"")
            after = time.monotonic() - told[0]
            if name == "s-0" and after > GRACE + SLACK:
                late.append(
                    f"{message.headers['x-trace-id']} was sent {after:.2f} s after the drain was told"
                )
                record.write(late[-1])
            await asyncio.sleep(0.02)
            return rig.ok(b"done")

        return rig.Endpoint(name, answering)

    servers = [server(f"s-{n}") for n in range(4)]
    for one in servers:
        await one.start()
    discovery = rig.Discovery(record)
    await discovery.start([one.entry() for one in servers])
    table = rig.settings(
        [{"name": "codigo-acesso", "repeat": "fragile", "slo": 1500, "deadline": 4000, "worth": 8}]
    )
    port = rig.free_port()
    config = rig.sidecar_config("n1", port, discovery, table)
    sidecar = rig.Sidecar("n1", folder, port, config, OPERATOR, processes)
    await sidecar.start()
    end = time.monotonic() + 12
    answers: list[int] = []

    async def client() -> None:
        while time.monotonic() < end:
            data = rig.request("POST", "codigo-acesso", secrets.token_hex(8), 4000, {}, b"{}")
            answers.append((await rig.ask(port, data))[0])
            await asyncio.sleep(0.02)

    async def events() -> None:
        await asyncio.sleep(2.0)
        discovery.change(servers[0].entry("terminating"))
        told[0] = time.monotonic()
        await asyncio.sleep(6.0)
        record.say(f"before the reload: {len(late)} sent too late")
        if rig.TROUBLE:
            sidecar.write_operator(OPERATOR.replace("tryLimit = 3", "tryLimit = 2"))
            sidecar.signal(signal.SIGHUP)

    await asyncio.gather(events(), *(client() for _ in range(6)))
    record.say(f"{len(answers)} answers, {len(late)} sent too late")
    return late


if __name__ == "__main__":
    sys.exit(rig.main(case, HERE))
