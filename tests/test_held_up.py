"""A sidecar that does not run for a while, as its machine is busy, when a caller's deadline passes.

The answer must follow right after the sidecar runs again. The test stops the process with SIGSTOP.
"""

from __future__ import annotations

import asyncio
import os
import signal
import time
from pathlib import Path

from millgw.standins.http import Message
from millgw.standins.scripted import CHUNKED_HEAD, ScriptedEndpoint, encode_chunk, encode_line, read_message
from tests.rig import request, run
from tests.sidecar_process import sidecar_process

DEADLINE = 0.6  # s from the request's arrival
STOP_TIME = 0.14  # s for which the process is stopped: operators accept answers up to 0.15 s late
STOP_BEFORE_DEADLINE = 0.06  # s: earlier than the sidecar itself would give the call up
MAX_DELAY = 0.05  # s from when the process runs again to its answer
LIMIT = 5.0  # s for the answer to be read at all


async def never_answer(_: Message, __: ScriptedEndpoint) -> None:
    await asyncio.Event().wait()


def test_a_call_whose_deadline_passes_while_its_sidecar_is_stopped_is_answered_right_after(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        endpoint = ScriptedEndpoint("e1", never_answer)
        async with sidecar_process(tmp_path, [endpoint]) as sidecar:
            _, watch = await sidecar.discovery.calls.get()
            watch.write(CHUNKED_HEAD + encode_chunk(encode_line(1, [endpoint.entry()], snapshot=True)))
            reader, writer = await asyncio.open_connection(sidecar.listen.host, sidecar.listen.port)
            writer.write(request("read", expires_in=int(DEADLINE * 1000)))
            sent = time.monotonic()
            await asyncio.sleep(DEADLINE - STOP_BEFORE_DEADLINE)
            os.kill(sidecar.pid, signal.SIGSTOP)
            try:
                time.sleep(STOP_TIME)
            finally:
                os.kill(sidecar.pid, signal.SIGCONT)
            resumed = time.monotonic()
            answer = await asyncio.wait_for(read_message(reader), LIMIT)
            answered = time.monotonic()
            writer.close()
            assert resumed > sent + DEADLINE, "the process ran again before the deadline"
            assert answer.status == 503 and answered - resumed <= MAX_DELAY

    run(test)
