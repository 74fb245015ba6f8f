"""Polls the version in force at each sidecar, and the control instances' reports about sidecars."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Mapping
from typing import Any

from millgw.configuration.reports import merge_sidecars
from millgw.rehearsal.control_instances import ControlInstances
from millgw.rehearsal.sidecars import Sidecar
from millgw.standins.configuration_ledger import VersionLook, VersionReport
from millgw.standins.http import Clock
from millgw.standins.ledger import Ledger
from millgw.top.door import Trouble, ask

POLL_INTERVAL_S = 0.2  # s between two polls
METRICS_PATH = "/-/metrics"


class ConfigurationPoller:
    """Records the version at each sidecar's control address, and each change in the control's reports."""

    def __init__(
        self, control: ControlInstances, sidecars: Mapping[str, Sidecar], ledger: Ledger, clock: Clock
    ) -> None:
        self.control = control
        self.sidecars = sidecars
        self.ledger = ledger
        self.clock = clock
        self.last_reported: dict[str, tuple[int, int]] = {}  # applied and refused, by sidecar

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            start = self.clock()
            await asyncio.gather(
                self._poll_control(), *(self._poll_sidecar(each) for each in self.sidecars.values())
            )
            await asyncio.sleep(max(0.0, POLL_INTERVAL_S - (self.clock() - start) / 1000))

    async def _poll_sidecar(self, sidecar: Sidecar) -> None:
        current = sidecar.current
        if sidecar.pid is None or current is None or current.control_address is None:
            return
        asked_at = self.clock()
        try:
            status, answer = await ask(current.control_address, METRICS_PATH)
        except Trouble:  # ending or not up yet: the next poll tries again
            return
        metrics = _configuration_metrics(answer) if status == 200 else None
        if metrics is None:
            return
        refused = metrics["refused"]
        self.ledger.version_looks.append(
            VersionLook(
                sidecar.name, current.number, asked_at, self.clock(), metrics["index"], metrics["digest"],
                refused.get("index", 0), refused.get("cause", ""),
            )
        )  # fmt: skip

    async def _poll_control(self) -> None:
        status = await self.control.status()
        for sidecar in merge_sidecars(instance.sidecars for instance in status.instances):
            versions = (sidecar.applied, sidecar.refused)
            if self.last_reported.get(sidecar.name) != versions:
                self.last_reported[sidecar.name] = versions
                report = VersionReport(sidecar.name, self.clock(), sidecar.applied, sidecar.refused)
                self.ledger.version_reports.append(report)


def _configuration_metrics(answer: bytes) -> dict[str, Any] | None:
    """The configuration section of a metrics answer, or None where it has none."""
    metrics: dict[str, Any] | None = json.loads(answer).get("configuration")
    return metrics
