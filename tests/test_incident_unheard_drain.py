"""An endpoint drained while discovery could not tell, and the sidecar went on sending to it.

What was seen: a request reached an endpoint after the grace of its drain. The order of events: a watch named
the endpoint as in service; 40 ms later it began to drain; the watch ended 2 s after that and told nothing;
the next call to discovery was answered only 3.4 s after the end. All that time the endpoint served calls.

The cause: the decision module took each served call as proof that its endpoint did not drain, and trusted it
for 6 s more. Endpoints that drain may go on serving, so the trust had no end but discovery's word. A health
probe that was answered well took the call's place next; no page says that a drain ends that, either.

What proved it: the endpoint's answers, all 200 for calls that were sent seconds after its drain, beside the
module's own record, by which it could still be trusted. `GET /health` was answered 503 since its drain.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from millgw.standins.scripted import STREAM, chunk, line
from tests.rig import heartbeats, run
from tests.sidecar_process import draining_endpoint, sidecar_process

WATCH_TIME = 1.0  # s for which the watch says nothing but heartbeats before it ends
TOLD_AFTER_END = 2.0  # s after a watch ended at which what it did not tell counts as told
GRACE = 0.5  # s
ANSWER_DELAY = 2.8  # s that discovery takes for the call that follows: less than it is waited for
BETWEEN_CALLS = 0.02  # s
CALLERS = 6  # at once: one alone may be sent to the same endpoint for long, as it is the quicker by chance


@pytest.mark.parametrize("probing", [True, False], ids=["probes allowed", "no probes"])
def test_an_endpoint_that_serves_while_it_drains_is_left_before_its_drain_counts_as_told(
    tmp_path: Path, probing: bool
) -> None:
    async def test() -> None:
        leaving, staying = draining_endpoint("e1"), draining_endpoint("e2")
        scripted = [leaving.scripted, staying.scripted]
        async with sidecar_process(tmp_path, scripted, probing=probing) as sidecar:
            _, watch = await sidecar.discovery.calls.get()
            watch.write(STREAM + chunk(line(1, [e.entry() for e in scripted], snapshot=True)))
            await heartbeats(watch, WATCH_TIME)
            leaving.draining = True
            watch.transport.abort()
            ended = time.monotonic()

            answers: list[tuple[float, int]] = []  # when each call began, monotonic, and its answer's status

            async def load() -> None:
                while time.monotonic() < ended + TOLD_AFTER_END + 2 * GRACE:
                    began = time.monotonic()
                    answers.append((began, await sidecar.call()))
                    await asyncio.sleep(BETWEEN_CALLS)

            loading = asyncio.gather(*(load() for _ in range(CALLERS)))
            _, watch = await sidecar.discovery.calls.get()
            await asyncio.sleep(ANSWER_DELAY)
            await loading
            late = [at - ended for at in leaving.calls if at > ended + TOLD_AFTER_END + GRACE]
            assert not late, (
                f"{len(late)} calls after its drain counted as told, the first after {late[0]:.2f} s"
            )
            assert leaving.calls and staying.calls, "both were in use before"
            held = {status for at, status in answers if at < ended + TOLD_AFTER_END - GRACE}
            over = {status for at, status in answers if at > ended + TOLD_AFTER_END + GRACE}
            assert held == {200} and over == {503}, "refused only once the drain counts as told"

            watch.write(STREAM + chunk(line(2, [staying.scripted.entry()], snapshot=True)))
            while await sidecar.call() != 200:
                await asyncio.sleep(BETWEEN_CALLS)

    run(test)
