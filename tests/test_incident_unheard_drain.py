"""A sidecar kept sending to an endpoint that drained while discovery could not report it.

A watch listed the endpoint as in service; 40 ms later it began to drain; the watch ended 2 s after that
without reporting it, and discovery answered the next call only 3.4 s after that end. The endpoint kept
answering calls with 200 all that time, and one reached it after the grace period of its drain; `GET /health`
was answered 503 from the drain on.

The decision module took each successful call as evidence that its endpoint did not drain and trusted it for
6 s more. An endpoint may keep serving while it drains, so only discovery ended that trust. Good health
probes were then taken in place of calls, but nothing guarantees that a drain ends those either.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from millgw.standins.scripted import CHUNKED_HEAD, encode_chunk, encode_line
from tests.rig import heartbeats, run
from tests.sidecar_process import draining_endpoint, sidecar_process

WATCH_TIME = 1.0  # s of heartbeats on the watch before it ends
TOLD_AFTER_END = 2.0  # s after the end of a watch at which a change it did not report counts as told
GRACE = 0.5  # s, tolerance of the test
ANSWER_DELAY = 2.8  # s that discovery takes to answer the next call: less than the sidecar's timeout
BETWEEN_CALLS = 0.02  # s
CALLERS = 6  # concurrent: one alone may be sent to the same endpoint for long, if that is quicker by chance


@pytest.mark.parametrize("probing", [True, False], ids=["probes allowed", "no probes"])
def test_an_endpoint_that_serves_while_it_drains_is_left_before_its_drain_counts_as_told(
    tmp_path: Path, probing: bool
) -> None:
    async def test() -> None:
        leaving, staying = draining_endpoint("e1"), draining_endpoint("e2")
        scripted = [leaving.scripted, staying.scripted]
        async with sidecar_process(tmp_path, scripted, probing=probing) as sidecar:
            _, watch = await sidecar.discovery.calls.get()
            watch.write(
                CHUNKED_HEAD + encode_chunk(encode_line(1, [e.entry() for e in scripted], snapshot=True))
            )
            await heartbeats(watch, WATCH_TIME)
            leaving.draining = True
            watch.transport.abort()
            ended = time.monotonic()

            answers: list[tuple[float, int]] = []  # start of each call (monotonic s), status of its answer

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
            assert leaving.calls and staying.calls, "an endpoint got no calls at all"
            held = {status for at, status in answers if at < ended + TOLD_AFTER_END - GRACE}
            over = {status for at, status in answers if at > ended + TOLD_AFTER_END + GRACE}
            assert held == {200} and over == {503}, "refused only once the drain counts as told"

            watch.write(
                CHUNKED_HEAD + encode_chunk(encode_line(2, [staying.scripted.entry()], snapshot=True))
            )
            while await sidecar.call() != 200:
                await asyncio.sleep(BETWEEN_CALLS)

    run(test)
