"""What real sidecars add to a call: the load generator through them and at endpoints directly, side by side.

Both loads have the same rate and run at the same time, so the machine's noise is in both.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections.abc import Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any

from msgspec import Struct

from millgw.rehearsal.cleanup_process import CleanupProcess
from millgw.scale.processes import ROOT

CALLS_A_SIDECAR = 74_000 / 670  # a second: the operators' calls, evenly over their sidecars
AFTER = 30.0  # s past its length that a load may take to start, and to wait for its last answers


class Added(Struct, frozen=True):
    """Quantiles (ms) with and without sidecars; `valid`: the generator itself was on time both times."""

    calls: int
    served: int
    direct_p50: float
    direct_p99: float
    through_p50: float
    through_p99: float
    valid: bool
    cause: str = ""

    @property
    def p50(self) -> float:
        """ms that sidecars add at the median."""
        return self.through_p50 - self.direct_p50

    @property
    def p99(self) -> float:
        """ms that sidecars add at p99."""
        return self.through_p99 - self.direct_p99


async def measure(
    sidecars: Sequence[str], endpoints: Sequence[str], seconds: float, folder: Path, keeper: CleanupProcess
) -> Added:
    """Load both for some seconds."""
    rate = CALLS_A_SIDECAR * len(sidecars)
    direct, through = await asyncio.gather(
        _load(endpoints, rate, seconds, folder / "direct.json", keeper),
        _load(sidecars, rate, seconds, folder / "through.json", keeper),
    )
    if direct is None or through is None:
        return Added(0, 0, 0.0, 0.0, 0.0, 0.0, False, "a load generator told nothing")
    return read(direct, through)


async def _load(
    targets: Sequence[str], rate: float, seconds: float, report: Path, keeper: CleanupProcess
) -> dict[str, object] | None:
    """One load; its report, or None where it made none."""
    words = [
        "load", "run", ",".join(targets), "--rate", f"{rate:.1f}", "--seconds", f"{seconds:g}",
        "--senders", "1", "--connections", str(16 * len(targets)), "--ahead", str(len(targets)),
        "--json", str(report), "--quiet",
    ]  # fmt: skip
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "millgw",
        *words,
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.DEVNULL,
        cwd=ROOT,
        start_new_session=True,
    )
    keeper.process_started(process.pid)
    try:
        async with asyncio.timeout(seconds + AFTER):
            await process.wait()
    except TimeoutError:
        return None
    finally:
        with suppress(ProcessLookupError):
            os.killpg(process.pid, signal.SIGKILL)
        await process.wait()
        keeper.process_ended(process.pid)
    try:
        made: dict[str, object] = json.loads(report.read_bytes())
    except (OSError, ValueError):
        return None
    return made


def read(direct: dict[str, object], through: dict[str, object]) -> Added:
    """What two reports of the load generator say together."""
    whole = [_whole(report) for report in (direct, through)]
    quantiles = [figures["latency"] for figures in whole]
    causes = [str(reason) for report in (direct, through) for reason in _reasons(report)]
    sent = through["sent"]
    assert isinstance(sent, int)
    return Added(
        calls=sent,
        served=whole[1]["served"],
        direct_p50=quantiles[0]["p50_ms"],
        direct_p99=quantiles[0]["p99_ms"],
        through_p50=quantiles[1]["p50_ms"],
        through_p99=quantiles[1]["p99_ms"],
        valid=not causes,
        cause="; ".join(causes),
    )


def _whole(report: dict[str, object]) -> Any:
    figures = report["figures"]
    assert isinstance(figures, dict)
    return figures["all"]


def _reasons(report: dict[str, object]) -> list[object]:
    reasons = report["reasons"]
    assert isinstance(reasons, list)
    return reasons
