"""Injects faults into the control instances."""

from __future__ import annotations

import asyncio

from millgw.rehearsal.control_instances import ControlInstances
from millgw.rehearsal.fault_plan import PlannedFault
from millgw.rehearsal.faults.targets import FaultTargets, Injection, wait_for_end


class ControlFaults:
    """The faults of the control instances."""

    def __init__(self, targets: FaultTargets) -> None:
        self.targets = targets

    def injections(self) -> dict[str, Injection]:
        """The injection of each kind of fault."""
        return {
            "control-instance-lost": self._control_instance_lost,
            "control-all-lost": self._control_all_lost,
        }

    @property
    def _control(self) -> ControlInstances:
        assert self.targets.control is not None  # checked when the scenario was loaded
        return self.targets.control

    async def _control_instance_lost(self, fault: PlannedFault) -> None:
        """Kill the leader, and start it again on its store when the fault is over."""
        leader = await self._control.leader()
        if leader is None:  # another fault killed it, or an election is running
            return
        await self._control.kill(leader)
        await wait_for_end(fault)
        await self._control.start(leader)

    async def _control_all_lost(self, fault: PlannedFault) -> None:
        """Kill all instances, and start them again on their stores when the fault is over."""
        killed = await self._control.kill_all()
        await wait_for_end(fault)
        await asyncio.gather(*(self._control.start(name) for name in killed))
