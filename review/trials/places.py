"""Trial: a version that takes a restart and doesn't fit [places], and the restart.

TROUBLE=0: a version that fits.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "support"))

import rig  # noqa: E402


async def case(record: rig.Record, processes: rig.Processes, folder: Path) -> list[str]:
    async def answering(message: rig.Message, _: asyncio.StreamWriter) -> bytes:
        return rig.ok(b"done")

    one = rig.Endpoint("s-0", answering)
    await one.start()
    discovery = rig.Discovery(record)
    await discovery.start([one.entry()])
    python, at = str(rig.ROOT / ".venv" / "bin" / "python"), f"127.0.0.1:{rig.free_port()}"
    control = [python, "-B", "-m", "millgw", "configuration"]
    serve = ["serve", "--name", "a", "--voters", f"a={at}", "--store", str(folder / "control"), "--create"]
    await processes.start("control", control + serve, {}, folder / "control.log")
    await asyncio.sleep(4.0)
    table = rig.settings(
        [{"name": "codigo-acesso", "repeat": "fragile", "slo": 1500, "deadline": 4000, "worth": 8}],
        localities=["a", "b"],
    )
    operator = f'[configuration]\ninstances = ["{at}"]\ndirectory = "{folder}/good"\n[places]\nzone = "a"\n'
    port = rig.free_port()
    config = rig.sidecar_config("n1", port, discovery, table)
    sidecar = rig.Sidecar("n1", folder, port, config, operator, processes)
    await sidecar.start()

    async def set_version(change: str) -> None:
        process = await asyncio.create_subprocess_exec(
            *control, "set", "--at", at, change, cwd=rig.ROOT, stdout=asyncio.subprocess.PIPE
        )
        output, _ = await process.communicate()
        record.say(f"set {change}: {output.decode().strip()}")

    await set_version('settings={"limits":{"tryLimit":2}}')
    await asyncio.sleep(1.0)
    zones = '["south","north"]' if rig.TROUBLE else '["a","b","c"]'
    await set_version(f'settings={{"localities":{zones}}}')
    await asyncio.sleep(1.5)
    sidecar.signal(signal.SIGTERM)
    assert sidecar.process is not None
    record.say(f"SIGTERM, it ended with {await sidecar.process.wait()}")
    try:
        await sidecar.start(10.0)
    except rig.CaseError as error:
        record.say(sidecar.log.read_text().strip().rpartition("\n")[2])
        return [f"it does not start again: {error}"]
    record.say("it started again")
    return []


if __name__ == "__main__":
    sys.exit(rig.main(case, HERE))
