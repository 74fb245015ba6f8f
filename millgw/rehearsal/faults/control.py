"""Faults of the control instances."""

from __future__ import annotations

import asyncio

from millgw.rehearsal.control_instances import ControlInstances
from millgw.rehearsal.fault_plan import PlannedFault
from millgw.rehearsal.faults.targets import FaultTargets, Injection, rest


class ControlFaults:
    """The faults of the control instances."""

    def __init__(self, targets: FaultTargets) -> None:
        self.targets = targets

    def injections(self) -> dict[str, Injection]:
        """What injects each kind."""
        return {
            "control-instance-lost": self._control_instance_lost,
            "control-all-lost": self._control_all_lost,
        }

    @property
    def _control(self) -> ControlInstances:
        assert self.targets.control is not None  # the scenario's check
        return self.targets.control

    async def _control_instance_lost(self, fault: PlannedFault) -> None:
        """The leader is killed, and started again later on the store that it had."""
        leader = await self._control.leader()
        if leader is None:  # there is none to lose: another fault took it, or an election is on
            return
        await self._control.kill(leader)
        await rest(fault)
        await self._control.start(leader)

    async def _control_all_lost(self, fault: PlannedFault) -> None:
        """All instances are killed, and start again later on the stores that they had."""
        killed = await self._control.kill_all()
        await rest(fault)
        await asyncio.gather(*(self._control.start(name) for name in killed))
