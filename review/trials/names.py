"""Trial: a server that coordinator and discovery know by different names, and that discovery says drains.

TROUBLE=0: both know it by one name.
"""

from __future__ import annotations

import asyncio
import json
import secrets
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "support"))

import rig  # noqa: E402

GRACE, SLACK = 0.5, 0.05  # s
PATH = "/services/login"


async def case(record: rig.Record, processes: rig.Processes, folder: Path) -> list[str]:
    late: list[str] = []
    told = [float("inf")]

    def server(number: int) -> rig.Endpoint:
        async def answering(message: rig.Message, _: asyncio.StreamWriter) -> bytes:
            if message.first.startswith("GET /health"):
                return rig.ok(b"")
            after = time.monotonic() - told[0]
            if number == 0 and after > GRACE + SLACK:
                late.append(
                    f"{message.headers['x-trace-id']} was sent {after:.2f} s after the drain was told"
                )
                record.write(late[-1])
            await asyncio.sleep(0.02)
            return rig.ok(b"done")

        return rig.Endpoint(f"s-{number}", answering)

    servers = [server(n) for n in range(4)]
    for one in servers:
        await one.start()
    since = int(time.time() * 1000) - 3_600_000

    def entry(one: rig.Endpoint, status: str) -> dict[str, object]:
        """As discovery lists it: a serverset's nodes go by the address, discovery's entries by a name."""
        name = f"s-{one.port:08x}" if rig.TROUBLE else f"127.0.0.1:{one.port}"
        return one.entry(status, name=name, since_ms=since)

    discovery = rig.Discovery(record)
    await discovery.start([entry(one, "in_service") for one in servers])
    port, python = rig.free_port(), str(rig.ROOT / ".venv" / "bin" / "python")
    listen = f"127.0.0.1:{port}"
    coordinator = await processes.start(
        "coordinator", [python, "-B", "-m", "millgw", "coordinator", "--listen", listen],
        {}, folder / "coordinator.log", stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
    )  # fmt: skip
    assert coordinator.stdin is not None and coordinator.stdout is not None
    await coordinator.stdout.readline()
    lines = ["put /services", f"put {PATH}"]
    for number, one in enumerate(servers):
        node = {
            "serviceEndpoint": {"host": "127.0.0.1", "port": one.port}, "additionalEndpoints": {},
            "status": "ALIVE", "shard": 0,
        }  # fmt: skip
        lines.append(f"own {PATH}/member_{number:010d} {json.dumps(node)}")
    for line in lines:
        coordinator.stdin.write(line.encode() + b"\n")
        record.write(f"coordinator: {line} -> {(await coordinator.stdout.readline()).decode().strip()}")
    operator = f'[services.login]\nmembership = "union"\n[services.login.coordinator]\nconnect = "{listen}"\n'
    operator += f'path = "{PATH}"\n[[routes]]\nto = "login"\n'
    table = rig.settings(
        [{"name": "codigo-acesso", "repeat": "fragile", "slo": 1500, "deadline": 4000, "worth": 8}]
    )
    calls = rig.free_port()
    config = rig.sidecar_config("n1", calls, discovery, table)
    sidecar = rig.Sidecar("n1", folder, calls, config, operator, processes)
    await sidecar.start()
    await asyncio.sleep(2.0)  # both lists have come
    end = time.monotonic() + 34  # by the nodes' creation the servers count as cold for 21 s
    answers: list[int] = []

    async def client() -> None:
        while time.monotonic() < end:
            data = rig.request("POST", "codigo-acesso", secrets.token_hex(8), 4000, {}, b"{}")
            answers.append((await rig.ask(calls, data))[0])
            await asyncio.sleep(0.1)

    async def events() -> None:
        await asyncio.sleep(24.0)
        discovery.change(entry(servers[0], "terminating"))
        told[0] = time.monotonic()

    await asyncio.gather(events(), *(client() for _ in range(6)))
    record.say(f"{len(answers)} answers, {answers.count(200)} of them 200, {len(late)} sent too late")
    return late


if __name__ == "__main__":
    sys.exit(rig.main(case, HERE))
