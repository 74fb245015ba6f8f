"""Injects faults into the sources of endpoint lists: the discovery server and the coordinator."""

from __future__ import annotations

import asyncio

from millgw.rehearsal.coordination import Coordination
from millgw.rehearsal.fault_plan import PlannedFault
from millgw.rehearsal.faults.targets import FaultTargets, Injection, wait_for_end


class DiscoveryFaults:
    """The faults of the discovery server."""

    def __init__(self, targets: FaultTargets) -> None:
        self.targets = targets
        self.outages = 0

    def injections(self) -> dict[str, Injection]:
        """The injection of each kind of fault."""
        return {
            "discovery-outage": self._outage,
            "discovery-restart": self._outage,
            "watches-silent": self._silence_watches,
        }

    async def _outage(self, fault: PlannedFault) -> None:
        """The server is down for a while; after a restart it has lost its history of changes."""
        self.outages += 1
        self.targets.discovery_server.start_outage(fault.outage)
        await wait_for_end(fault)
        self.outages -= 1
        if not self.outages:
            self.targets.discovery_server.end_outage(history=fault.kind == "discovery-outage")

    async def _silence_watches(self, fault: PlannedFault) -> None:
        self.targets.discovery_server.silence_watches()


class CoordinatorFaults:
    """The faults of the coordinator and of sessions at it."""

    def __init__(self, targets: FaultTargets) -> None:
        self.targets = targets

    def injections(self) -> dict[str, Injection]:
        """The injection of each kind of fault."""
        return {
            "zk-expire": self._expire,
            "zk-lag": self._lag,
            "zk-drop": self._drop,
            "zk-freeze": self._freeze,
            "zk-restart-empty": self._restart_empty,
        }

    @property
    def _coordination(self) -> Coordination:
        assert self.targets.coordination is not None  # checked when the scenario was loaded
        return self.targets.coordination

    async def _expire(self, fault: PlannedFault) -> None:
        """An endpoint's session expires while it serves; it registers again when the fault is over."""
        endpoint = self.targets.endpoints[fault.target]
        self._coordination.expire(endpoint)
        await wait_for_end(fault)
        self._register_again(fault.target)

    def _register_again(self, name: str) -> None:
        """Register the endpoint that now serves under a name, unless it has a session."""
        endpoint = self.targets.endpoints[name]
        if endpoint.up and not endpoint.draining and name not in self._coordination.sessions:
            self._coordination.register(endpoint, self.targets.registry_entry(endpoint, "in_service"))

    async def _lag(self, fault: PlannedFault) -> None:
        """The first server stops following the others: its clients get no updates and read stale data."""
        face = self._coordination.ensemble.servers[0]
        face.lag(True)
        await wait_for_end(fault)
        face.lag(False)
        face.drop_connections()

    async def _drop(self, fault: PlannedFault) -> None:
        """All connections are closed at once, and new ones are refused for a while."""
        faces = self._coordination.ensemble.servers
        for face in faces:
            face.faults.refusing = True
            face.drop_connections()
        await wait_for_end(fault)
        for face in faces:
            face.faults.refusing = False

    async def _freeze(self, fault: PlannedFault) -> None:
        """Connections stay open, but nothing is answered."""
        faces = self._coordination.ensemble.servers
        for face in faces:
            face.freeze(True)
        await wait_for_end(fault)
        for face in faces:
            face.freeze(False)

    async def _restart_empty(self, fault: PlannedFault) -> None:
        """Nodes, sessions and the order of changes are lost; serving endpoints register one after another."""
        self._coordination.restart_empty()
        serving = [n for n, e in self.targets.endpoints.items() if e.up and not e.draining]
        for name in serving:
            await asyncio.sleep((fault.until - fault.at) / 1000 / len(serving))
            self._register_again(name)
