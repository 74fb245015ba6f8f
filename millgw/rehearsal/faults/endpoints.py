"""Injects faults into endpoints: lost machines, ended processes, cut networks, failed answers."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from millgw.rehearsal.fault_plan import PlannedFault
from millgw.rehearsal.faults.targets import FaultTargets, Injection, wait_for_end
from millgw.standins.endpoint import Endpoint

SEED_PREFIX = "blows"  # kept from an earlier version: a scenario's seed must give the same names
RESTART_AFTER_DRAIN_S = 1.0  # from the end of a drained process to its next start
FLAP_INTERVAL_S = 1.0  # between two status changes of a flapping endpoint


@dataclass(slots=True)
class Degradation:
    """The sizes of all faults of each kind that currently degrade an endpoint."""

    failing: list[float]
    resetting: list[float]
    spoiling: list[float]
    slowness: list[float]


DEGRADATION_FIELDS = {
    "fast-failure": "failing",
    "resets": "resetting",
    "spoilt": "spoiling",
    "slowdown": "slowness",
}


class EndpointFaults:
    """The faults of endpoints."""

    def __init__(self, targets: FaultTargets) -> None:
        self.targets = targets
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(f"{SEED_PREFIX} {targets.scenario.seed}")
        self.degraded: dict[str, Degradation] = {}

    def injections(self) -> dict[str, Injection]:
        """The injection of each kind of fault."""
        return {
            "silence": self._silence,
            "restart": self._restart,
            "drain": self._drain,
            "replaced": self._replaced,
            "flapping": self._flapping,
            "middlebox": self._middlebox,
            "parted": self._cut_network,
            **dict.fromkeys(DEGRADATION_FIELDS, self._degrade),
        }

    async def _take_down(
        self, fault: PlannedFault, action: Callable[[Endpoint], None], status: str, delay: tuple[float, float]
    ) -> Endpoint | None:
        """Take an endpoint down with `action`, and wait until the fault is over.

        Returns None if the endpoint was not up, or another fault restarted it meanwhile.
        """
        endpoint = self.targets.endpoints[fault.target]
        if not endpoint.up:
            return None
        life = endpoint.lives
        action(endpoint)
        self.targets.publish_status(endpoint, status, delay)
        await wait_for_end(fault)
        return endpoint if endpoint.lives == life else None

    async def _silence(self, fault: PlannedFault) -> None:
        """A machine stops answering, and comes back cold."""
        endpoint = await self._take_down(
            fault, self.targets.silence_endpoint, "terminated", self.targets.delays.silent
        )
        if endpoint is not None and endpoint.unreachable:
            await self.targets.restart_endpoint_cold(endpoint)

    async def _restart(self, fault: PlannedFault) -> None:
        """A process ends, and a cold one replaces it."""
        endpoint = await self._take_down(
            fault, self.targets.stop_endpoint, "terminated", self.targets.delays.notice
        )
        if endpoint is not None:
            await self.targets.restart_endpoint_cold(endpoint)

    async def _drain(self, fault: PlannedFault) -> None:
        """An endpoint drains, ends, and comes back as a cold process."""
        endpoint = await self._take_down(fault, Endpoint.drain, "terminating", self.targets.delays.notice)
        if endpoint is None or not endpoint.up:
            return
        life = endpoint.lives
        self.targets.stop_endpoint(endpoint)
        self.targets.publish_status(endpoint, "terminated", self.targets.delays.notice)
        await asyncio.sleep(RESTART_AFTER_DRAIN_S)
        if endpoint.lives == life:
            await self.targets.restart_endpoint_cold(endpoint)

    async def _replaced(self, fault: PlannedFault) -> None:
        """A machine stops answering; another one starts cold at the same address, with a name of its own."""
        endpoint = await self._take_down(
            fault, self.targets.silence_endpoint, "terminated", self.targets.delays.silent
        )
        if endpoint is not None and endpoint.unreachable:
            endpoint.stop()
            build = replace(endpoint.options, name=f"s-{self.rng.getrandbits(32):08x}")
            await self.targets.restart_endpoint_cold(self.targets.replace(endpoint, build))

    async def _flapping(self, fault: PlannedFault) -> None:
        """Discovery repeatedly removes an endpoint that keeps serving from its list, and adds it again."""
        endpoint = self.targets.endpoints[fault.target]
        life, listed = endpoint.lives, True
        end = self.loop.time() + (fault.until - fault.at) / 1000
        while self.loop.time() < end or not listed:
            if endpoint.lives != life or not endpoint.up or endpoint.draining:
                return
            listed = not listed
            entry = self.targets.registry_entry(endpoint, "in_service" if listed else "terminated")
            self.targets.discovery_server.apply_change(entry)
            await asyncio.sleep(FLAP_INTERVAL_S)

    async def _cut_network(self, fault: PlannedFault) -> None:
        """The network to an endpoint is cut for a while; it keeps running, and discovery reports nothing."""
        endpoint = self.targets.endpoints[fault.target]
        if not endpoint.up:
            return
        life = endpoint.lives
        endpoint.partition()
        await wait_for_end(fault)
        if endpoint.lives == life:
            endpoint.end_partition()

    async def _middlebox(self, fault: PlannedFault) -> None:
        """A middlebox drops the state of connections idle for `size` s: what is written to them is lost."""
        endpoint = self.targets.endpoints[fault.target]
        endpoint.middlebox_timeout = fault.size * 1000
        await wait_for_end(fault)
        endpoint.middlebox_timeout = math.inf

    async def _degrade(self, fault: PlannedFault) -> None:
        """Fail, reset or spoil a share of the requests, or slow them; the worst fault of a kind counts."""
        endpoint = self.targets.endpoints[fault.target]
        degradation = self.degraded.setdefault(fault.target, Degradation([], [], [], []))
        sizes: list[float] = getattr(degradation, DEGRADATION_FIELDS[fault.kind])
        sizes.append(fault.size)
        self._apply_degradation(endpoint, degradation)
        await wait_for_end(fault)
        sizes.remove(fault.size)
        self._apply_degradation(endpoint, degradation)

    @staticmethod
    def _apply_degradation(endpoint: Endpoint, degradation: Degradation) -> None:
        endpoint.faults.failing = max(degradation.failing, default=0.0)
        endpoint.faults.resetting = max(degradation.resetting, default=0.0)
        endpoint.faults.spoiling = max(degradation.spoiling, default=0.0)
        endpoint.slow(max(degradation.slowness, default=1.0))
