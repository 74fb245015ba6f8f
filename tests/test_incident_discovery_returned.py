"""Calls sent to a drained endpoint after an outage of discovery, which the sidecar called again too late.

Endpoints that drain may keep answering calls and health probes well, so only discovery reveals the drain.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from millgw.standins.http import status
from millgw.standins.scripted import CHUNKED_HEAD, ScriptedDiscoveryServer, encode_chunk, encode_line
from tests.rig import heartbeats, run
from tests.sidecar_process import draining_endpoint, sidecar_process

WATCH_TIME = 1.0  # s of heartbeats on the watch before discovery goes down
OUTAGE = 2.0  # s
DRAIN_TOLD_AFTER = 6.0  # s after discovery's return at which a change made during the outage counts as told
GRACE = 0.5  # s, tolerance of the test
BETWEEN_CALLS = 0.02  # s
CALLERS = 6  # concurrent: a single one may be sent to the same endpoint for long


@asynccontextmanager
async def reject_discovery_calls(discovery: ScriptedDiscoveryServer) -> AsyncIterator[None]:
    """Have discovery reject each call with 503, as an overloaded one does."""

    async def answer() -> None:
        while True:
            _, writer = await discovery.calls.get()
            writer.write(status(503))
            writer.close()

    answering = asyncio.create_task(answer())
    try:
        yield
    finally:
        answering.cancel()


@pytest.mark.parametrize("probing", [True, False], ids=["probes allowed", "no probes"])
def test_a_drain_is_kept_that_counts_as_told_after_an_outage_though_probes_are_answered_well(
    tmp_path: Path, probing: bool
) -> None:
    async def test() -> None:
        leaving, staying = draining_endpoint("e1", healthy=True), draining_endpoint("e2")
        scripted = [leaving.scripted, staying.scripted]
        async with sidecar_process(tmp_path, scripted, probing=probing) as sidecar:
            discovery = sidecar.discovery
            _, watch = await discovery.calls.get()
            watch.write(
                CHUNKED_HEAD + encode_chunk(encode_line(1, [e.entry() for e in scripted], snapshot=True))
            )
            await heartbeats(watch, WATCH_TIME)
            discovery.stop()
            watch.transport.abort()
            leaving.draining = True
            outage_at = time.monotonic()

            async def load() -> None:
                while time.monotonic() < outage_at + OUTAGE + DRAIN_TOLD_AFTER + 3 * GRACE:
                    await sidecar.call()
                    await asyncio.sleep(BETWEEN_CALLS)

            loading = asyncio.gather(*(load() for _ in range(CALLERS)))
            await asyncio.sleep(outage_at + OUTAGE - time.monotonic())
            await discovery.start()
            returned = time.monotonic()
            async with reject_discovery_calls(discovery):
                await loading
            late = [at - returned for at in leaving.calls if at > returned + DRAIN_TOLD_AFTER + GRACE]
            assert not late, (
                f"{len(late)} calls after the grace period, the first {late[0]:.2f} s after the return"
            )
            assert leaving.calls and staying.calls, "an endpoint got no calls at all"

    run(test)
