"""Injects the planned faults into the stand-ins, and ends each when its time is over."""

from __future__ import annotations

import asyncio

from millgw.rehearsal.fault_plan import PlannedFault
from millgw.rehearsal.faults.control import ControlFaults
from millgw.rehearsal.faults.endpoints import EndpointFaults
from millgw.rehearsal.faults.membership import CoordinatorFaults, DiscoveryFaults
from millgw.rehearsal.faults.sidecars import SidecarFaults
from millgw.rehearsal.faults.targets import FaultTargets, Injection
from millgw.standins.ledger import InjectedFault

KINDS = (EndpointFaults, DiscoveryFaults, CoordinatorFaults, ControlFaults, SidecarFaults)


class FaultInjector:
    """The faults of one day as they happen."""

    def __init__(self, targets: FaultTargets) -> None:
        self.targets = targets
        self.loop = asyncio.get_running_loop()
        self.tasks: set[asyncio.Task[None]] = set()
        self.handles: list[asyncio.TimerHandle] = []
        self.injections: dict[str, Injection] = {}
        for kind in KINDS:
            self.injections |= kind(targets).injections()

    def schedule(self, faults: tuple[PlannedFault, ...]) -> None:
        """Inject each fault at its time, counted from now; the ledger gets one record for each number."""
        by_number: dict[int, list[PlannedFault]] = {}
        zero = self.targets.clock()
        for fault in faults:
            by_number.setdefault(fault.number, []).append(fault)
            if fault.kind in self.injections:
                self.handles.append(self.loop.call_later(fault.at / 1000, self._inject, fault))
        for some in by_number.values():
            self.targets.ledger.injected.append(
                InjectedFault(
                    some[0].kind,
                    zero + min(fault.at for fault in some),
                    zero + max(fault.until for fault in some),
                    tuple(fault.target for fault in some if fault.target),
                    some[0].size,
                )
            )

    def _inject(self, fault: PlannedFault) -> None:
        self.targets.say(f"{fault.kind} {fault.target}".strip())
        task = self.loop.create_task(self.injections[fault.kind](fault))
        self.tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.targets.failed(error)

    def close(self) -> None:
        for handle in self.handles:
            handle.cancel()
        for task in list(self.tasks):
            task.cancel()
