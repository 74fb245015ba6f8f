"""Injects the planned faults into the stand-ins, and ends each after its duration."""

from __future__ import annotations

import asyncio

from millgw.rehearsal.fault_plan import PlannedFault
from millgw.rehearsal.faults.control import ControlFaults
from millgw.rehearsal.faults.endpoints import EndpointFaults
from millgw.rehearsal.faults.membership import CoordinatorFaults, DiscoveryFaults
from millgw.rehearsal.faults.sidecars import SidecarFaults
from millgw.rehearsal.faults.targets import FaultTargets, Injection
from millgw.standins.ledger import InjectedFault

FAULT_GROUPS = (EndpointFaults, DiscoveryFaults, CoordinatorFaults, ControlFaults, SidecarFaults)


class FaultInjector:
    """Schedules and runs the faults of one day."""

    def __init__(self, targets: FaultTargets) -> None:
        self.targets = targets
        self.loop = asyncio.get_running_loop()
        self.tasks: set[asyncio.Task[None]] = set()
        self.handles: list[asyncio.TimerHandle] = []
        self.injections: dict[str, Injection] = {}
        for kind in FAULT_GROUPS:
            self.injections |= kind(targets).injections()

    def schedule(self, faults: tuple[PlannedFault, ...]) -> None:
        """Inject each fault at its time, counted from now; record one entry per fault of the scenario."""
        by_number: dict[int, list[PlannedFault]] = {}
        zero = self.targets.clock()
        for fault in faults:
            by_number.setdefault(fault.number, []).append(fault)
            if fault.kind in self.injections:
                self.handles.append(self.loop.call_later(fault.at / 1000, self._inject, fault))
        for group in by_number.values():
            self.targets.ledger.injected.append(
                InjectedFault(
                    group[0].kind,
                    zero + min(fault.at for fault in group),
                    zero + max(fault.until for fault in group),
                    tuple(fault.target for fault in group if fault.target),
                    group[0].size,
                )
            )

    def _inject(self, fault: PlannedFault) -> None:
        self.targets.say(f"{fault.kind} {fault.target}".strip())
        task = self.loop.create_task(self.injections[fault.kind](fault))
        self.tasks.add(task)
        task.add_done_callback(self._task_done)

    def _task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.targets.abort(error)

    def close(self) -> None:
        for handle in self.handles:
            handle.cancel()
        for task in list(self.tasks):
            task.cancel()
