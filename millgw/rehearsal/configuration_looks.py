"""Polls the version in force at each sidecar, and the control instances' reports about sidecars."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Mapping
from typing import Any

from millgw.configuration.reports import merge
from millgw.rehearsal.control_instances import ControlInstances
from millgw.rehearsal.sidecars import Sidecar
from millgw.standins.configuration_ledger import VersionLook, VersionReport
from millgw.standins.http import Clock
from millgw.standins.ledger import Ledger
from millgw.top.door import Trouble, ask

EVERY = 0.2  # s between two polls
FIGURES_PATH = "/-/metrics"


class ConfigurationLooks:
    """Records the version at each sidecar's control address, and each change in the control's reports."""

    def __init__(
        self, control: ControlInstances, sidecars: Mapping[str, Sidecar], ledger: Ledger, clock: Clock
    ) -> None:
        self.control = control
        self.sidecars = sidecars
        self.ledger = ledger
        self.clock = clock
        self.reported: dict[str, tuple[int, int]] = {}  # applied and refused, by sidecar

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            begun = self.clock()
            await asyncio.gather(self._control(), *(self._look(each) for each in self.sidecars.values()))
            await asyncio.sleep(max(0.0, EVERY - (self.clock() - begun) / 1000))

    async def _look(self, sidecar: Sidecar) -> None:
        current = sidecar.current
        if sidecar.pid is None or current is None or current.door is None:
            return
        asked = self.clock()
        try:
            status, answer = await ask(current.door, FIGURES_PATH)
        except Trouble:  # ending or not up yet: the next poll tries again
            return
        figures = _configuration(answer) if status == 200 else None
        if figures is None:
            return
        refused = figures["refused"]
        self.ledger.version_looks.append(
            VersionLook(
                sidecar.name, current.number, asked, self.clock(), figures["index"], figures["digest"],
                refused.get("index", 0), refused.get("cause", ""),
            )
        )  # fmt: skip

    async def _control(self) -> None:
        status = await self.control.status()
        for sidecar in merge(instance.sidecars for instance in status.instances):
            seen = (sidecar.applied, sidecar.refused)
            if self.reported.get(sidecar.name) != seen:
                self.reported[sidecar.name] = seen
                report = VersionReport(sidecar.name, self.clock(), sidecar.applied, sidecar.refused)
                self.ledger.version_reports.append(report)


def _configuration(answer: bytes) -> dict[str, Any] | None:
    """The configuration section of a metrics answer, or None where it has none."""
    figures: dict[str, Any] | None = json.loads(answer).get("configuration")
    return figures
