"""Injects the planned faults into the stand-ins, and ends each when its time is over."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, replace
from typing import Any, Protocol

from millgw.rehearsal.control_instances import ControlInstances
from millgw.rehearsal.coordination import Coordination
from millgw.rehearsal.fault_plan import PlannedFault
from millgw.rehearsal.front import Front
from millgw.rehearsal.scenario import Scenario
from millgw.rehearsal.sidecars import NotReady, Sidecar
from millgw.standins.caller import says_yes
from millgw.standins.discovery_server import Delays, DiscoveryServer
from millgw.standins.endpoint import Endpoint
from millgw.standins.endpoint_options import Build
from millgw.standins.endpoint_registry import Entry
from millgw.standins.http import Clock
from millgw.standins.ledger import InjectedFault, Ledger, SentAway, Upgrade

SEED_PREFIX = "blows"  # the former name: a scenario's seed gives the same replacements as before
RETURN_AFTER_DRAIN = 1.0  # s from the end of a drained process to its next start
FLAP = 1.0  # s between two words on a flapping endpoint
LONGEST = 3.0  # s of a deadline that SIGKILL waits for at the most after SIGTERM
KILL_AFTER = 0.7  # s more
SENT_AWAY = 4.0  # s after which a sidecar that was told to must have sent its clients away
LATELY = 2000.0  # ms within which a request was begun that it should not have taken any more


@dataclass(slots=True)
class Degradation:
    """The sizes of all faults of each kind that degrade an endpoint now."""

    failing: list[float]
    resetting: list[float]
    spoiling: list[float]
    slowness: list[float]


Injection = Callable[[PlannedFault], Coroutine[Any, Any, None]]
DEGRADATION_FIELDS = {
    "fast-failure": "failing",
    "resets": "resetting",
    "spoilt": "spoiling",
    "slowdown": "slowness",
}


class FaultTargets(Protocol):
    """What faults are injected into: the parts of a day, and what can be done to them."""

    scenario: Scenario
    clock: Clock
    ledger: Ledger
    discovery_server: DiscoveryServer
    delays: Delays
    front: Front
    endpoints: dict[str, Endpoint]
    sidecars: dict[str, Sidecar]
    coordination: Coordination | None
    control: ControlInstances | None
    say: Callable[[str], None]

    def failed(self, error: BaseException) -> None: ...

    def operator(self, sidecar: str, without: str = "") -> str: ...

    def entry(self, endpoint: Endpoint, status: str) -> Entry: ...

    def notice(self, endpoint: Endpoint, status: str, late: tuple[float, float]) -> None: ...

    def vanish(self, endpoint: Endpoint) -> None: ...

    def end(self, endpoint: Endpoint) -> None: ...

    async def revive(self, endpoint: Endpoint) -> None: ...

    def replace(self, old: Endpoint, build: Build) -> Endpoint: ...


class FaultInjector:
    """The faults of one day as they happen."""

    def __init__(self, targets: FaultTargets) -> None:
        self.targets = targets
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(f"{SEED_PREFIX} {targets.scenario.seed}")
        self.tasks: set[asyncio.Task[None]] = set()
        self.handles: list[asyncio.TimerHandle] = []
        self.degraded: dict[str, Degradation] = {}
        self.outages = 0
        self.injections: dict[str, Injection] = {
            "silence": self._silence,
            "restart": self._restart,
            "drain": self._drain,
            "replaced": self._replaced,
            "flapping": self._flapping,
            "discovery-outage": self._outage,
            "discovery-restart": self._outage,
            "watches-silent": self._mute,
            "sidecar-killed": self._sidecar_killed,
            "sidecar-restart": self._sidecar_restart,
            "sidecar-upgrade": self._sidecar_upgrade,
            "sidecar-drain": self._sidecar_drain,
            "connections": self._connections,
            "reload": self._reload,
            "zk-expire": self._expire,
            "zk-lag": self._lag,
            "zk-drop": self._drop,
            "zk-freeze": self._freeze,
            "zk-restart-empty": self._restart_empty,
            "middlebox": self._middlebox,
            "parted": self._parted,
            "control-instance-lost": self._control_instance_lost,
            "control-all-lost": self._control_all_lost,
        }
        for kind in DEGRADATION_FIELDS:
            self.injections[kind] = self._degrade

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

    @staticmethod
    async def _rest(fault: PlannedFault) -> None:
        await asyncio.sleep((fault.until - fault.at) / 1000)

    # Endpoints

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
        await self._rest(fault)
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
        await self._rest(fault)
        if endpoint.lives == life:
            endpoint.rejoin()

    async def _middlebox(self, fault: PlannedFault) -> None:
        """A box on the way forgets connections idle for `size` s: what is written to them vanishes."""
        endpoint = self.targets.endpoints[fault.target]
        endpoint.forgets_after = fault.size * 1000
        await self._rest(fault)
        endpoint.forgets_after = math.inf

    async def _degrade(self, fault: PlannedFault) -> None:
        """Failures, resets and spoilt answers for a share of the requests; slowness. The worst counts."""
        endpoint = self.targets.endpoints[fault.target]
        degradation = self.degraded.setdefault(fault.target, Degradation([], [], [], []))
        sizes: list[float] = getattr(degradation, DEGRADATION_FIELDS[fault.kind])
        sizes.append(fault.size)
        self._apply(endpoint, degradation)
        await self._rest(fault)
        sizes.remove(fault.size)
        self._apply(endpoint, degradation)

    @staticmethod
    def _apply(endpoint: Endpoint, degradation: Degradation) -> None:
        endpoint.ills.failing = max(degradation.failing, default=0.0)
        endpoint.ills.resetting = max(degradation.resetting, default=0.0)
        endpoint.ills.spoiling = max(degradation.spoiling, default=0.0)
        endpoint.slow(max(degradation.slowness, default=1.0))

    # The discovery server

    async def _outage(self, fault: PlannedFault) -> None:
        """It is down for a while; after a restart it has lost its history of changes."""
        self.outages += 1
        self.targets.discovery_server.go_down()
        await self._rest(fault)
        self.outages -= 1
        if not self.outages:
            self.targets.discovery_server.come_back(history=fault.kind == "discovery-outage")

    async def _mute(self, fault: PlannedFault) -> None:
        self.targets.discovery_server.mute()

    # The coordinator

    @property
    def _coordination(self) -> Coordination:
        assert self.targets.coordination is not None  # the scenario's check
        return self.targets.coordination

    async def _expire(self, fault: PlannedFault) -> None:
        """Its session expires while it serves; it registers again when the fault is over."""
        endpoint = self.targets.endpoints[fault.target]
        self._coordination.expire(endpoint)
        await self._rest(fault)
        self._again_registered(fault.target)

    def _again_registered(self, name: str) -> None:
        """Whoever serves under a name by now, and has no session, registers."""
        endpoint = self.targets.endpoints[name]
        if endpoint.up and not endpoint.draining and name not in self._coordination.sessions:
            self._coordination.serve(endpoint, self.targets.entry(endpoint, "in_service"))

    async def _lag(self, fault: PlannedFault) -> None:
        """The first face follows no more: its clients hear nothing, and read what was."""
        face = self._coordination.ensemble.faces[0]
        face.lag(True)
        await self._rest(fault)
        face.lag(False)
        face.drop()

    async def _drop(self, fault: PlannedFault) -> None:
        """All connections end at once and new ones are refused for a while."""
        faces = self._coordination.ensemble.faces
        for face in faces:
            face.ills.refusing = True
            face.drop()
        await self._rest(fault)
        for face in faces:
            face.ills.refusing = False

    async def _freeze(self, fault: PlannedFault) -> None:
        """Connections stay open and nothing is answered."""
        faces = self._coordination.ensemble.faces
        for face in faces:
            face.freeze(True)
        await self._rest(fault)
        for face in faces:
            face.freeze(False)

    async def _restart_empty(self, fault: PlannedFault) -> None:
        """Nodes, sessions and the order of changes are lost; who serves registers again, one by one."""
        self._coordination.forget_all()
        serving = [n for n, e in self.targets.endpoints.items() if e.up and not e.draining]
        for name in serving:
            await asyncio.sleep((fault.until - fault.at) / 1000 / len(serving))
            self._again_registered(name)

    # Control instances

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
        await self._rest(fault)
        await self._control.start(leader)

    async def _control_all_lost(self, fault: PlannedFault) -> None:
        """All instances are killed, and start again later on the stores that they had."""
        killed = await self._control.kill_all()
        await self._rest(fault)
        await asyncio.gather(*(self._control.start(name) for name in killed))

    # Sidecars

    async def _sidecar_killed(self, fault: PlannedFault) -> None:
        """Killed outright with what it holds, and started again."""
        sidecar = self.targets.sidecars[fault.target]
        if sidecar.pid is None:
            return
        starts = sidecar.starts
        sidecar.kill()
        self.targets.front.died(sidecar)
        await self._rest(fault)
        if sidecar.starts == starts:
            await self._again(fault.target)

    async def _sidecar_restart(self, fault: PlannedFault) -> None:
        """A planned restart: SIGTERM, SIGKILL if it is not gone in time, a new start."""
        sidecar = self.targets.sidecars[fault.target]
        if sidecar.pid is None:
            return
        starts = sidecar.starts
        sidecar.term()
        self.targets.front.leaves(sidecar)
        try:
            async with asyncio.timeout(self._grace()):
                await sidecar.ended.wait()
        except TimeoutError:
            sidecar.kill()
        if sidecar.starts == starts:
            await self._again(fault.target)

    def _grace(self) -> float:
        """The s that a sidecar has after SIGTERM."""
        longest = max(c.deadline_ms for c in self.targets.scenario.classes) / 1000
        return min(longest, LONGEST) + KILL_AFTER

    async def _sidecar_upgrade(self, fault: PlannedFault) -> None:
        """A second process is started beside it, and takes over."""
        sidecar = self.targets.sidecars[fault.target]
        if sidecar.pid is None or sidecar.before is not None:
            return
        upgrade = Upgrade(sidecar.name, self.targets.clock())
        self.targets.ledger.upgrades.append(upgrade)
        await sidecar.upgrade(upgrade, self._grace())

    async def _sidecar_drain(self, fault: PlannedFault) -> None:
        """It is told to send its clients away, and later to take them again."""
        sidecar = self.targets.sidecars[fault.target]
        if sidecar.pid is None or sidecar.current is None or sidecar.current.door is None:
            return
        seen = SentAway(sidecar.name, self.targets.clock())
        if not await says_yes(sidecar.current.door, "PUT", "/-/drain"):
            self.targets.failed(NotReady(f"{sidecar.name} does not take a drain"))
            return
        self.targets.ledger.sent_away.append(seen)
        watching = self.loop.create_task(self.targets.front.watch(sidecar, seen, self.targets.clock))
        try:
            await asyncio.sleep(SENT_AWAY)
            seen.judged = self.targets.clock()
            seen.idle, seen.lately = sidecar.desk.lately(LATELY)
            await asyncio.sleep(max(0.0, (fault.until - fault.at) / 1000 - SENT_AWAY))
            if sidecar.current.door is not None:
                await says_yes(sidecar.current.door, "PUT", "/-/resume")
            seen.until = self.targets.clock()
            await watching
        finally:
            watching.cancel()

    async def _again(self, name: str) -> None:
        sidecar = self.targets.sidecars[name]
        await sidecar.start()
        if sidecar.pid is not None:
            self.targets.front.back(sidecar)

    async def _reload(self, fault: PlannedFault) -> None:
        """All front sidecars lose a service by SIGHUP, and get it back."""
        for without in (fault.target, ""):
            for sidecar in self.targets.sidecars.values():
                if sidecar.stage == 0:
                    sidecar.reload(self.targets.operator(sidecar.name, without))
            if without:
                await self._rest(fault)

    async def _connections(self, fault: PlannedFault) -> None:
        """A storm: many connections at once that ask nothing, and go on being used."""
        await self.targets.sidecars[fault.target].desk.hold(int(fault.size))
