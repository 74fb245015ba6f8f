"""Trial of a known entry: a `register` that leaves deletes the node of the process that took its name over.

The coordinator is away for longer than the session. The server is told to stop meanwhile, and another process
registers the name once the coordinator is back. TROUBLE=0: the same stop and hand-over without the outage.
"""

from __future__ import annotations

import asyncio
import collections
import json
import secrets
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "support"))

import rig  # noqa: E402

SESSION, DRAIN = 2, 2  # s
PATH = "/services/login"


async def case(record: rig.Record, processes: rig.Processes, folder: Path) -> list[str]:
    def server(name: str) -> rig.Endpoint:
        async def answering(message: rig.Message, _: asyncio.StreamWriter) -> bytes:
            return rig.ok(name.encode())

        return rig.Endpoint(name, answering)

    first, second = server("first"), server("second")
    for one in (first, second):
        await one.start()
    port, python = rig.free_port(), str(rig.ROOT / ".venv" / "bin" / "python")
    listen = f"127.0.0.1:{port}"
    coordinator = await processes.start(
        "coordinator", [python, "-B", "-m", "millgw", "coordinator", "--listen", listen],
        {}, folder / "coordinator.log", stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
    )  # fmt: skip
    assert coordinator.stdin is not None and coordinator.stdout is not None
    await coordinator.stdout.readline()

    async def tell(line: str, quiet: bool = False) -> dict[str, object]:
        assert coordinator.stdin is not None and coordinator.stdout is not None
        coordinator.stdin.write(line.encode() + b"\n")
        answer: dict[str, object] = json.loads(await coordinator.stdout.readline())
        if not quiet:
            record.write(f"coordinator: {line} -> {answer}")
        return answer

    await tell("put /services")
    await tell(f"put {PATH}")
    register = [python, "-B", "-m", "millgw", "register", "--connect", listen, "--path", PATH, "--name", "a1"]
    register += ["--address", f"127.0.0.1:{first.port}", "--session-s", str(SESSION), "--drain-s", str(DRAIN)]
    registrar = await processes.start("register", register, {}, folder / "register.log")
    while not await tell(f"nodes {PATH}", quiet=True):
        await asyncio.sleep(0.05)

    discovery = rig.Discovery(record)  # stands in the configuration; the service asks the coordinator alone
    await discovery.start([])
    operator = f'[services.login]\n[services.login.coordinator]\nconnect = "{listen}"\npath = "{PATH}"\n'
    operator += '[[routes]]\nto = "login"\n'
    table = rig.settings(
        [{"name": "codigo-acesso", "repeat": "fragile", "slo": 1500, "deadline": 4000, "worth": 8}]
    )
    calls = rig.free_port()
    config = rig.sidecar_config("n1", calls, discovery, table)
    sidecar = rig.Sidecar("n1", folder, calls, config, operator, processes)
    await sidecar.start()

    if rig.TROUBLE:
        await tell("refuse 0")
        await tell("drop 0")
        await asyncio.sleep(SESSION + 1.0)
    registrar.send_signal(signal.SIGTERM)
    record.write("SIGTERM to the first server's register")
    if rig.TROUBLE:
        await asyncio.sleep(1.0)
        await tell("accept 0")
        while "coordinator-up" not in (folder / "register.log").read_text().partition("coordinator-lost")[2]:
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.3)
    node = {"name": "a1", "address": f"127.0.0.1:{second.port}", "status": "in_service", "instance": "second"}
    while "session" not in (held := await tell(f"own {PATH}/a1 {json.dumps(node)}", quiet=True)):
        await asyncio.sleep(0.02)
    record.write(f"the second server holds the name, session {held['session']}")
    await asyncio.wait_for(registrar.wait(), 15)
    record.write(f"register ended with {registrar.returncode}")
    await asyncio.sleep(1.0)
    nodes = await tell(f"nodes {PATH}")
    sessions = await tell("sessions")
    answers: collections.Counter[int] = collections.Counter()
    end = time.monotonic() + 3
    while time.monotonic() < end:
        data = rig.request("POST", "codigo-acesso", secrets.token_hex(8), 4000, {}, b"{}")
        answers[(await rig.ask(calls, data))[0]] += 1
        await asyncio.sleep(0.05)
    record.say(f"nodes {nodes}, calls afterwards {dict(answers)}")
    alive = held["session"] in sessions["sessions"]  # type: ignore[operator]
    if alive and nodes.get("a1") != held["session"]:
        return ["the session of the second server is alive, and its node is gone"]
    return []


if __name__ == "__main__":
    sys.exit(rig.main(case, HERE))
