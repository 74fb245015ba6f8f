"""Faults of endpoints: machines that vanish, processes that end, networks that are cut, answers that fail."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from millgw.rehearsal.fault_plan import PlannedFault
from millgw.rehearsal.faults.targets import FaultTargets, Injection, rest
from millgw.standins.endpoint import Endpoint

SEED_PREFIX = "blows"  # the former name: a scenario's seed gives the same replacements as before
RETURN_AFTER_DRAIN = 1.0  # s from the end of a drained process to its next start
FLAP = 1.0  # s between two words on a flapping endpoint


@dataclass(slots=True)
class Degradation:
    """The sizes of all faults of each kind that degrade an endpoint now."""

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
        """What injects each kind."""
        return {
            "silence": self._silence,
            "restart": self._restart,
            "drain": self._drain,
            "replaced": self._replaced,
            "flapping": self._flapping,
            "middlebox": self._middlebox,
            "parted": self._parted,
            **dict.fromkeys(DEGRADATION_FIELDS, self._degrade),
        }

    async def _away(
        self, fault: PlannedFault, go: Callable[[Endpoint], None], status: str, late: tuple[float, float]
    ) -> Endpoint | None:
        """Let an endpoint go, and rest; None if it was not up, or another fault hit it meanwhile."""
        endpoint = self.targets.endpoints[fault.target]
        if not endpoint.up:
            return None
        life = endpoint.lives
        go(endpoint)
        self.targets.notice(endpoint, status, late)
        await rest(fault)
        return endpoint if endpoint.lives == life else None

    async def _silence(self, fault: PlannedFault) -> None:
        """A machine vanishes and comes back cold."""
        endpoint = await self._away(fault, self.targets.vanish, "terminated", self.targets.delays.silent)
        if endpoint is not None and endpoint.quiet:
            await self.targets.revive(endpoint)

    async def _restart(self, fault: PlannedFault) -> None:
        """A process ends, and a cold one takes its place."""
        endpoint = await self._away(fault, self.targets.end, "terminated", self.targets.delays.notice)
        if endpoint is not None:
            await self.targets.revive(endpoint)

    async def _drain(self, fault: PlannedFault) -> None:
        """An endpoint drains, ends, and comes back as a cold process."""
        endpoint = await self._away(fault, Endpoint.drain, "terminating", self.targets.delays.notice)
        if endpoint is None or not endpoint.up:
            return
        life = endpoint.lives
        self.targets.end(endpoint)
        self.targets.notice(endpoint, "terminated", self.targets.delays.notice)
        await asyncio.sleep(RETURN_AFTER_DRAIN)
        if endpoint.lives == life:
            await self.targets.revive(endpoint)

    async def _replaced(self, fault: PlannedFault) -> None:
        """A machine vanishes; another one starts cold, under a name of its own, at the same address."""
        endpoint = await self._away(fault, self.targets.vanish, "terminated", self.targets.delays.silent)
        if endpoint is not None and endpoint.quiet:
            endpoint.stop()
            build = replace(endpoint.build, name=f"s-{self.rng.getrandbits(32):08x}")
            await self.targets.revive(self.targets.replace(endpoint, build))

    async def _flapping(self, fault: PlannedFault) -> None:
        """Discovery takes an endpoint off the list and on again, over and over, while it serves on."""
        endpoint = self.targets.endpoints[fault.target]
        life, listed = endpoint.lives, True
        end = self.loop.time() + (fault.until - fault.at) / 1000
        while self.loop.time() < end or not listed:
            if endpoint.lives != life or not endpoint.up or endpoint.draining:
                return
            listed = not listed
            entry = self.targets.entry(endpoint, "in_service" if listed else "terminated")
            self.targets.discovery_server.list(entry)
            await asyncio.sleep(FLAP)

    async def _parted(self, fault: PlannedFault) -> None:
        """The network to an endpoint is cut for a while; nobody is told, and it goes on living."""
        endpoint = self.targets.endpoints[fault.target]
        if not endpoint.up:
            return
        life = endpoint.lives
        endpoint.part()
        await rest(fault)
        if endpoint.lives == life:
            endpoint.rejoin()

    async def _middlebox(self, fault: PlannedFault) -> None:
        """A box on the way forgets connections idle for `size` s: what is written to them vanishes."""
        endpoint = self.targets.endpoints[fault.target]
        endpoint.forgets_after = fault.size * 1000
        await rest(fault)
        endpoint.forgets_after = math.inf

    async def _degrade(self, fault: PlannedFault) -> None:
        """Failures, resets and spoilt answers for a share of the requests; slowness. The worst counts."""
        endpoint = self.targets.endpoints[fault.target]
        degradation = self.degraded.setdefault(fault.target, Degradation([], [], [], []))
        sizes: list[float] = getattr(degradation, DEGRADATION_FIELDS[fault.kind])
        sizes.append(fault.size)
        self._apply(endpoint, degradation)
        await rest(fault)
        sizes.remove(fault.size)
        self._apply(endpoint, degradation)

    @staticmethod
    def _apply(endpoint: Endpoint, degradation: Degradation) -> None:
        endpoint.ills.failing = max(degradation.failing, default=0.0)
        endpoint.ills.resetting = max(degradation.resetting, default=0.0)
        endpoint.ills.spoiling = max(degradation.spoiling, default=0.0)
        endpoint.slow(max(degradation.slowness, default=1.0))
