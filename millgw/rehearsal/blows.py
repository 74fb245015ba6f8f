"""Carries out the planned blows on the stand-ins, and mends what their time is over for."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, replace
from typing import Any, Protocol

from millgw.rehearsal.coordination import Coordination
from millgw.rehearsal.faults import Blow
from millgw.rehearsal.front import Front
from millgw.rehearsal.scenario import Scenario
from millgw.rehearsal.sidecars import NotReady, Sidecar
from millgw.standins.caller import says_yes
from millgw.standins.discovery_server import Delays, DiscoveryServer
from millgw.standins.endpoint import Build, Endpoint
from millgw.standins.http import Clock
from millgw.standins.ledger import Ledger, SentAway, Strike, Upgrade
from millgw.standins.register import Entry

RETURN_AFTER_DRAIN = 1.0  # s from the end of a drained process to its next start
FLAP = 1.0  # s between two words on a flapping endpoint
LONGEST = 3.0  # s of a deadline that SIGKILL waits for at the most after SIGTERM
KILL_AFTER = 0.7  # s more
SENT_AWAY = 4.0  # s after which a sidecar that was told to must have sent its clients away
LATELY = 2000.0  # ms within which a request was begun that it should not have taken any more


@dataclass(slots=True)
class Ailing:
    """The sizes of all blows of one kind that an endpoint has to bear now."""

    failing: list[float]
    resetting: list[float]
    spoiling: list[float]
    slowness: list[float]


Carry = Callable[[Blow], Coroutine[Any, Any, None]]
FIELDS = {"fast-failure": "failing", "resets": "resetting", "spoilt": "spoiling", "slowdown": "slowness"}


class Scene(Protocol):
    """What blows fall on: the parts of a day, and what can be done to them."""

    scenario: Scenario
    clock: Clock
    ledger: Ledger
    discovery_server: DiscoveryServer
    delays: Delays
    front: Front
    endpoints: dict[str, Endpoint]
    sidecars: dict[str, Sidecar]
    coordination: Coordination | None
    say: Callable[[str], None]

    def failed(self, error: BaseException) -> None: ...

    def operator(self, sidecar: str, without: str = "") -> str: ...

    def entry(self, endpoint: Endpoint, status: str) -> Entry: ...

    def notice(self, endpoint: Endpoint, status: str, late: tuple[float, float]) -> None: ...

    def vanish(self, endpoint: Endpoint) -> None: ...

    def end(self, endpoint: Endpoint) -> None: ...

    async def revive(self, endpoint: Endpoint) -> None: ...

    def replace(self, old: Endpoint, build: Build) -> Endpoint: ...


class Blows:
    """The faults of one day as they happen."""

    def __init__(self, stage: Scene) -> None:
        self.stage = stage
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(f"blows {stage.scenario.seed}")
        self.tasks: set[asyncio.Task[None]] = set()
        self.handles: list[asyncio.TimerHandle] = []
        self.ailing: dict[str, Ailing] = {}
        self.outages = 0
        self.kinds: dict[str, Carry] = {
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
        }
        for kind in FIELDS:
            self.kinds[kind] = self._ill

    def schedule(self, blows: tuple[Blow, ...]) -> None:
        """Let each blow fall at its time, counted from now; their faults are booked as a whole."""
        by_fault: dict[int, list[Blow]] = {}
        zero = self.stage.clock()
        for blow in blows:
            by_fault.setdefault(blow.fault, []).append(blow)
            if blow.kind in self.kinds:
                self.handles.append(self.loop.call_later(blow.at / 1000, self._fall, blow))
        for some in by_fault.values():
            self.stage.ledger.strikes.append(
                Strike(
                    some[0].kind,
                    zero + min(b.at for b in some),
                    zero + max(b.until for b in some),
                    tuple(b.target for b in some if b.target),
                    some[0].size,
                )
            )

    def _fall(self, blow: Blow) -> None:
        self.stage.say(f"{blow.kind} {blow.target}".strip())
        task = self.loop.create_task(self.kinds[blow.kind](blow))
        self.tasks.add(task)
        task.add_done_callback(self._fallen)

    def _fallen(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.stage.failed(error)

    def close(self) -> None:
        for handle in self.handles:
            handle.cancel()
        for task in list(self.tasks):
            task.cancel()

    @staticmethod
    async def _rest(blow: Blow) -> None:
        await asyncio.sleep((blow.until - blow.at) / 1000)

    # Endpoints

    async def _away(
        self, blow: Blow, go: Callable[[Endpoint], None], status: str, late: tuple[float, float]
    ) -> Endpoint | None:
        """Let an endpoint go, and rest; None if it was not up, or was struck by another meanwhile."""
        endpoint = self.stage.endpoints[blow.target]
        if not endpoint.up:
            return None
        life = endpoint.lives
        go(endpoint)
        self.stage.notice(endpoint, status, late)
        await self._rest(blow)
        return endpoint if endpoint.lives == life else None

    async def _silence(self, blow: Blow) -> None:
        """A machine vanishes and comes back cold."""
        endpoint = await self._away(blow, self.stage.vanish, "terminated", self.stage.delays.silent)
        if endpoint is not None and endpoint.quiet:
            await self.stage.revive(endpoint)

    async def _restart(self, blow: Blow) -> None:
        """A process ends, and a cold one takes its place."""
        endpoint = await self._away(blow, self.stage.end, "terminated", self.stage.delays.notice)
        if endpoint is not None:
            await self.stage.revive(endpoint)

    async def _drain(self, blow: Blow) -> None:
        """An endpoint drains, ends, and comes back as a cold process."""
        endpoint = await self._away(blow, Endpoint.drain, "terminating", self.stage.delays.notice)
        if endpoint is None or not endpoint.up:
            return
        life = endpoint.lives
        self.stage.end(endpoint)
        self.stage.notice(endpoint, "terminated", self.stage.delays.notice)
        await asyncio.sleep(RETURN_AFTER_DRAIN)
        if endpoint.lives == life:
            await self.stage.revive(endpoint)

    async def _replaced(self, blow: Blow) -> None:
        """A machine vanishes; another one starts cold, under a name of its own, at the same address."""
        endpoint = await self._away(blow, self.stage.vanish, "terminated", self.stage.delays.silent)
        if endpoint is not None and endpoint.quiet:
            endpoint.stop()
            build = replace(endpoint.build, name=f"s-{self.rng.getrandbits(32):08x}")
            await self.stage.revive(self.stage.replace(endpoint, build))

    async def _flapping(self, blow: Blow) -> None:
        """Discovery takes an endpoint off the list and on again, over and over, while it serves on."""
        endpoint = self.stage.endpoints[blow.target]
        life, listed = endpoint.lives, True
        end = self.loop.time() + (blow.until - blow.at) / 1000
        while self.loop.time() < end or not listed:
            if endpoint.lives != life or not endpoint.up or endpoint.draining:
                return
            listed = not listed
            entry = self.stage.entry(endpoint, "in_service" if listed else "terminated")
            self.stage.discovery_server.list(entry)
            await asyncio.sleep(FLAP)

    async def _middlebox(self, blow: Blow) -> None:
        """A box on the way forgets connections idle for `size` s: what is written to them vanishes."""
        endpoint = self.stage.endpoints[blow.target]
        endpoint.forgets_after = blow.size * 1000
        await self._rest(blow)
        endpoint.forgets_after = math.inf

    async def _ill(self, blow: Blow) -> None:
        """Failures, resets and spoilt answers for a share of the requests; slowness. The worst counts."""
        endpoint = self.stage.endpoints[blow.target]
        ailing = self.ailing.setdefault(blow.target, Ailing([], [], [], []))
        sizes: list[float] = getattr(ailing, FIELDS[blow.kind])
        sizes.append(blow.size)
        self._suffer(endpoint, ailing)
        await self._rest(blow)
        sizes.remove(blow.size)
        self._suffer(endpoint, ailing)

    @staticmethod
    def _suffer(endpoint: Endpoint, ailing: Ailing) -> None:
        endpoint.ills.failing = max(ailing.failing, default=0.0)
        endpoint.ills.resetting = max(ailing.resetting, default=0.0)
        endpoint.ills.spoiling = max(ailing.spoiling, default=0.0)
        endpoint.slow(max(ailing.slowness, default=1.0))

    # The discovery server

    async def _outage(self, blow: Blow) -> None:
        """It is down for a while; after a restart it has lost its history of changes."""
        self.outages += 1
        self.stage.discovery_server.go_down()
        await self._rest(blow)
        self.outages -= 1
        if not self.outages:
            self.stage.discovery_server.come_back(history=blow.kind == "discovery-outage")

    async def _mute(self, blow: Blow) -> None:
        self.stage.discovery_server.mute()

    # The coordinator

    @property
    def _coordination(self) -> Coordination:
        assert self.stage.coordination is not None  # the scenario's check
        return self.stage.coordination

    async def _expire(self, blow: Blow) -> None:
        """Its session expires while it serves; it registers again when the fault is over."""
        endpoint = self.stage.endpoints[blow.target]
        self._coordination.expire(endpoint)
        await self._rest(blow)
        self._again_registered(blow.target)

    def _again_registered(self, name: str) -> None:
        """Whoever serves under a name by now, and has no session, registers."""
        endpoint = self.stage.endpoints[name]
        if endpoint.up and not endpoint.draining and name not in self._coordination.sessions:
            self._coordination.serve(endpoint, self.stage.entry(endpoint, "in_service"))

    async def _lag(self, blow: Blow) -> None:
        """The first face follows no more: its clients hear nothing, and read what was."""
        face = self._coordination.ensemble.faces[0]
        face.lag(True)
        await self._rest(blow)
        face.lag(False)
        face.drop()

    async def _drop(self, blow: Blow) -> None:
        """All connections end at once and new ones are refused for a while."""
        faces = self._coordination.ensemble.faces
        for face in faces:
            face.ills.refusing = True
            face.drop()
        await self._rest(blow)
        for face in faces:
            face.ills.refusing = False

    async def _freeze(self, blow: Blow) -> None:
        """Connections stay open and nothing is answered."""
        faces = self._coordination.ensemble.faces
        for face in faces:
            face.freeze(True)
        await self._rest(blow)
        for face in faces:
            face.freeze(False)

    async def _restart_empty(self, blow: Blow) -> None:
        """Nodes, sessions and the order of changes are lost; who serves registers again, one by one."""
        self._coordination.forget_all()
        serving = [n for n, e in self.stage.endpoints.items() if e.up and not e.draining]
        for name in serving:
            await asyncio.sleep((blow.until - blow.at) / 1000 / len(serving))
            self._again_registered(name)

    # Sidecars

    async def _sidecar_killed(self, blow: Blow) -> None:
        """Killed outright with what it holds, and started again."""
        sidecar = self.stage.sidecars[blow.target]
        if sidecar.pid is None:
            return
        starts = sidecar.starts
        sidecar.kill()
        self.stage.front.died(sidecar)
        await self._rest(blow)
        if sidecar.starts == starts:
            await self._again(blow.target)

    async def _sidecar_restart(self, blow: Blow) -> None:
        """A planned restart: SIGTERM, SIGKILL if it is not gone in time, a new start."""
        sidecar = self.stage.sidecars[blow.target]
        if sidecar.pid is None:
            return
        starts = sidecar.starts
        sidecar.term()
        self.stage.front.leaves(sidecar)
        try:
            async with asyncio.timeout(self._grace()):
                await sidecar.ended.wait()
        except TimeoutError:
            sidecar.kill()
        if sidecar.starts == starts:
            await self._again(blow.target)

    def _grace(self) -> float:
        """The s that a sidecar has after SIGTERM."""
        longest = max(c.deadline_ms for c in self.stage.scenario.classes) / 1000
        return min(longest, LONGEST) + KILL_AFTER

    async def _sidecar_upgrade(self, blow: Blow) -> None:
        """A second process is started beside it, and takes over."""
        sidecar = self.stage.sidecars[blow.target]
        if sidecar.pid is None or sidecar.before is not None:
            return
        upgrade = Upgrade(sidecar.name, self.stage.clock())
        self.stage.ledger.upgrades.append(upgrade)
        await sidecar.upgrade(upgrade, self._grace())

    async def _sidecar_drain(self, blow: Blow) -> None:
        """It is told to send its clients away, and later to take them again."""
        sidecar = self.stage.sidecars[blow.target]
        if sidecar.pid is None or sidecar.current is None or sidecar.current.door is None:
            return
        seen = SentAway(sidecar.name, self.stage.clock())
        if not await says_yes(sidecar.current.door, "PUT", "/-/drain"):
            self.stage.failed(NotReady(f"{sidecar.name} does not take a drain"))
            return
        self.stage.ledger.sent_away.append(seen)
        watching = self.loop.create_task(self.stage.front.watch(sidecar, seen, self.stage.clock))
        try:
            await asyncio.sleep(SENT_AWAY)
            seen.judged = self.stage.clock()
            seen.idle, seen.lately = sidecar.desk.lately(LATELY)
            await asyncio.sleep(max(0.0, (blow.until - blow.at) / 1000 - SENT_AWAY))
            if sidecar.current.door is not None:
                await says_yes(sidecar.current.door, "PUT", "/-/resume")
            seen.until = self.stage.clock()
            await watching
        finally:
            watching.cancel()

    async def _again(self, name: str) -> None:
        sidecar = self.stage.sidecars[name]
        await sidecar.start()
        if sidecar.pid is not None:
            self.stage.front.back(sidecar)

    async def _reload(self, blow: Blow) -> None:
        """All front sidecars lose a service by SIGHUP, and get it back."""
        for without in (blow.target, ""):
            for sidecar in self.stage.sidecars.values():
                if sidecar.stage == 0:
                    sidecar.reload(self.stage.operator(sidecar.name, without))
            if without:
                await self._rest(blow)

    async def _connections(self, blow: Blow) -> None:
        """A storm: many connections at once that ask nothing, and go on being used."""
        await self.stage.sidecars[blow.target].desk.hold(int(blow.size))
