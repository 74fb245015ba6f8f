"""Samples event-loop lag, CPU starvation of sidecars and CPU use while a day runs."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Sequence
from pathlib import Path

from millgw.rehearsal.sidecars import Sidecar
from millgw.standins.http import Clock
from millgw.standins.ledger import Ledger, Sample

LAG_INTERVAL_S = 0.05  # s between two samples of the event loop's lag
SAMPLES_PER_CORE_SAMPLE = 10  # samples of the lag for each sample of cores and processes


class Sampler:
    """Records a `Sample` at each interval. `lag` is how much later than requested the event loop woke it."""

    def __init__(self, ledger: Ledger, clock: Clock, sidecars: Sequence[Sidecar]) -> None:
        self.ledger = ledger
        self.clock = clock
        self.sidecars = sidecars
        self.last_core_wait_ms: dict[tuple[str, int | None], float] = {}
        self.ticks = _cpu_ticks()

    async def run(self) -> None:
        count = 0
        self._core_waits()
        while True:
            due = self.clock() + LAG_INTERVAL_S * 1000
            await asyncio.sleep(LAG_INTERVAL_S)
            sample = Sample(self.clock(), max(0.0, self.clock() - due))
            count += 1
            if count % SAMPLES_PER_CORE_SAMPLE == 0:
                sample.starved = self._core_waits()
            sample.busy = self._cpu_use() if count % SAMPLES_PER_CORE_SAMPLE == 0 else self._last_cpu_use()
            self.ledger.samples.append(sample)

    def _last_cpu_use(self) -> float:
        return self.ledger.samples[-1].busy if self.ledger.samples else 0.0

    def _core_waits(self) -> dict[str, float]:
        """How long each sidecar waited for a core since the last sample (ms)."""
        core_waits: dict[str, float] = {}
        for sidecar in self.sidecars:
            if sidecar.pid is None:
                continue
            waited, key = sidecar.core_wait_ms(), (sidecar.name, sidecar.pid)
            core_waits[sidecar.name] = max(0.0, waited - self.last_core_wait_ms.get(key, waited))
            self.last_core_wait_ms[key] = waited
            sidecar.record_peak_memory()
        return core_waits

    def _cpu_use(self) -> float:
        before, self.ticks = self.ticks, _cpu_ticks()
        total = self.ticks[1] - before[1]
        return (self.ticks[0] - before[0]) / total if total else 0.0


def _cpu_ticks() -> tuple[int, int]:
    """Busy and total CPU ticks of all cores since boot."""
    try:
        figures = [int(x) for x in Path("/proc/stat").read_text().split("\n", 1)[0].split()[1:9]]
    except (OSError, ValueError):
        return 0, 0
    return sum(figures) - figures[3] - figures[4], sum(figures)


def own_peak_memory_kb() -> int:
    """Peak resident memory of this process (kB)."""
    try:
        for line in Path(f"/proc/{os.getpid()}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1])
    except (OSError, ValueError):
        pass
    return 0
