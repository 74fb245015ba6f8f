"""Plays a day: stand-ins and sidecars up, traffic and faults in time, all down again; a ledger out."""

from __future__ import annotations

import asyncio
import gc
import json
import os
import random
import shutil
import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path

from millgw.interface import Endpoint as Listing
from millgw.load import arrivals
from millgw.peers.node import Peers as LyingPeer
from millgw.peers.node import Terms as PeerTerms
from millgw.platform.config import Address
from millgw.platform.discovery import endpoint_id
from millgw.rehearsal.coordination import Coordination
from millgw.rehearsal.fault_injection import FaultInjector
from millgw.rehearsal.fault_plan import crowds, floods, plan
from millgw.rehearsal.front import Clients, Front, ask
from millgw.rehearsal.keeper import Keeper
from millgw.rehearsal.sampler import Sampler, own_memory
from millgw.rehearsal.scenario import AT_THE_DOOR, Scenario
from millgw.rehearsal.scenario_files import connections_toml
from millgw.rehearsal.sidecars import DEFAULT_RUN, NotReady, Sidecar, settings
from millgw.settings import to_settings
from millgw.standins.address import free_address
from millgw.standins.discovery_server import Capacity, Delays, DiscoveryServer
from millgw.standins.endpoint import Build, ColdRule, Endpoint, Group, NextTier, Task
from millgw.standins.http import Clock, Message
from millgw.standins.ledger import Attempt, Call, End, Ledger, shift
from millgw.standins.liar import liar
from millgw.standins.register import Entry

DOMAIN = "rehearsal.example"  # of the services' hosts
STARTS_AT_ONCE = 2  # sidecars started at the same time for each core: more only wait for each other
SETTLE = 1.0  # s between the last sidecar's start and the day's first request
FLOOD_NUMBERS = 1 << 24  # requests of one schedule at the most: the next one's numbers begin there
JOIN = 3  # sidecars of its stage that each is told to learn from
TAIL = 1.0  # s more than the longest deadline for which calls that are out are waited for


@dataclass(slots=True, frozen=True)
class Facts:
    """What a day took on this machine. Memory in kB: the rig's, and the most and the sum of the sidecars'."""

    endpoints: int
    sidecars: int
    front: int
    start_s: float
    rig_memory: int
    sidecar_memory: int
    sidecars_memory: int
    cores: int


def schedule(scenario: Scenario) -> list[arrivals.Arrival]:
    """The day's arrivals."""
    traffic, length = scenario.traffic, scenario.seconds * 1000
    course = arrivals.shape(traffic.shape, traffic.swing, length, scenario.seed)
    moments = arrivals.times(traffic.rate, course, crowds(scenario), traffic.swing, length, scenario.seed)
    kinds = [arrivals.Kind(c.name, c.share, c.deadline_ms, c.repeat == "dedup") for c in scenario.classes]
    habits = arrivals.Habits(
        traffic.retries,
        traffic.try_share,
        traffic.wait_ms,
        traffic.at_once,
        traffic.honour,
        traffic.impatient,
    )
    shares = [(t.name, t.share) for t in scenario.tenants]
    planned = list(arrivals.arrivals(moments, kinds, shares, habits, scenario.seed))
    for i, (name, crowd) in enumerate(floods(scenario), 1):
        (kind,) = (k for k in kinds if k.name == name)
        rate = traffic.rate * kind.share / sum(k.share for k in kinds)
        more = arrivals.times(
            rate, partial(_above, crowd), (), max(0.0, crowd.factor - 2), length, scenario.seed + i
        )
        planned += arrivals.arrivals(more, [kind], shares, habits, scenario.seed, i * FLOOD_NUMBERS)
    return sorted(planned, key=lambda a: (a.at, a.number))


def _above(crowd: arrivals.Crowd, t: float) -> float:
    return crowd.at(t) - 1.0


def _ms(seconds: tuple[float, float]) -> tuple[float, float]:
    return seconds[0] * 1000, seconds[1] * 1000


class Testbed:
    """One day. `say` is told what happens, for a person who watches; `logs` keeps the sidecars' logs."""

    def __init__(
        self,
        scenario: Scenario,
        run: str = DEFAULT_RUN,
        say: Callable[[str], None] = lambda _: None,
        logs: Path | None = None,
        listen: Address | None = None,
    ) -> None:
        self.scenario = scenario
        self.run = run
        self.say = say
        self.logs = logs
        self.listen = listen  # of the first sidecar at the front; by itself it finds a free one
        self.clock = Clock()
        self.ledger = Ledger()
        known = scenario.discovery
        self.delays = Delays(_ms(known.notice_s), _ms(known.silent_s), _ms(known.add_s))
        capacity = Capacity(known.lines_per_s, known.call_lines, known.timeout_s * 1000)
        self.discovery_server = DiscoveryServer(self.ledger, self.clock, scenario.seed, self.delays, capacity)
        self.coordination: Coordination | None = None
        if scenario.coordinator is not None:
            self.coordination = Coordination(
                scenario.coordinator, self.ledger, self.clock, scenario.seed
            )  # fmt: skip
        self.endpoints: dict[str, Endpoint] = {}
        self.sidecars: dict[str, Sidecar] = {}
        self.peers: dict[int, dict[str, Address]] = {}  # where sidecars find each other, by stage
        self.liars: list[LyingPeer] = []
        self.own: dict[str, Sidecar] = {}  # endpoints' own, by the endpoint's name
        self.front: Front
        self.clients: Clients
        self.error: BaseException | None = None
        self.over = asyncio.Event()
        self.zero = 0.0

    async def play(self) -> tuple[Ledger, Facts]:
        """Play the whole day; a NotReady or OSError tells that it could not be played."""
        folder = Path(tempfile.mkdtemp(prefix="millgw-rehearsal-"))
        keeper = Keeper(str(folder))
        begun = self.clock()
        try:
            self._build(folder, keeper)
            await self._start()
            start_s = (self.clock() - begun) / 1000
            await self._day()
            facts = self._facts(start_s)
        finally:
            await self._down()
            if self.logs is not None:
                self._keep_logs(folder, self.logs)
            keeper.close()
        if self.error is not None:
            raise self.error
        shift(self.ledger, -self.zero)
        return self.ledger, facts

    def stop(self) -> None:
        """End the day now, whatever is still to come."""
        self.over.set()

    def failed(self, error: BaseException) -> None:
        """Something could not be carried out as the scenario wants: the day is not worth judging."""
        self.error = self.error or error
        self.over.set()

    # Building

    def _build(self, folder: Path, keeper: Keeper) -> None:
        scenario, fleet = self.scenario, self.scenario.fleet
        self.key = folder / "peers.key"
        if scenario.peers is not None:
            self.key.write_text(random.Random(f"key {scenario.seed}").randbytes(16).hex())
        # Services are tiers beside each other: no endpoint calls another's.
        sizes = tuple(s.endpoints for s in scenario.services) or fleet.tier_sizes()
        self.tiers = [self._tier(i + 1, size) for i, size in enumerate(sizes)]
        front = fleet.sidecars - fleet.owned()
        for stage, siblings in enumerate([front] if scenario.services else [front, *sizes[:-1]]):
            for index in range(siblings):
                name = f"n{stage}-{index}"
                sidecar = Sidecar(
                    name, stage, self.discovery_server.window(name, stage + 1),
                    settings(scenario, stage, index, siblings), scenario, self._known(stage + 1), self.run,
                    folder, keeper, self.ledger, self.clock,
                )  # fmt: skip
                sidecar.door = stage == 0 and any(f.kind in AT_THE_DOOR for f in scenario.faults)
                if self.listen is not None and not self.sidecars:
                    sidecar.listen_at(self.listen)
                self.sidecars[name] = sidecar
                if scenario.peers is not None:
                    self.peers.setdefault(stage, {})[name] = free_address()
                if stage:
                    self.own[self.tiers[stage - 1][index].build.name] = sidecar
        if self.coordination is None:
            for name, sidecar in self.sidecars.items():
                sidecar.operator = self.operator(name)
        self.front = Front([self.sidecars[f"n0-{i}"] for i in range(front)], scenario.seed)
        hosts = {cls: f"{s.name}.{DOMAIN}" for s in scenario.services for cls in s.classes}
        self.clients = Clients(
            self.front, scenario.classes, self.ledger, self.clock, scenario.seed, hosts,
            scenario.traffic.insist,
        )  # fmt: skip

    def _tier(self, tier: int, size: int) -> list[Endpoint]:
        scenario, fleet = self.scenario, self.scenario.fleet
        rng = random.Random(f"tier {scenario.seed} {tier}")
        weights = [k.share for k in fleet.kinds]
        last = bool(scenario.services) or tier == len(fleet.tiers)
        part = scenario.work_shares()[tier - 1]
        tasks = {
            c.name: Task(
                work=c.work_ms * part,
                wait=c.wait_ms * part,
                cv=c.cv,
                deadline=c.deadline_ms,
                keyed=c.repeat == "dedup",
                window=c.window_ms,
                calls=0.0 if last else fleet.calls[tier - 1],
                answer=int(c.answer_kb * 1024) if tier == 1 else 0,
                pace=c.pace_kb_s * 1024,
            )
            for c in scenario.classes
        }
        rule = ColdRule(scenario.rules.fall_multiple, scenario.rules.fall_ms)
        groups: dict[int, Group] = {}
        made = []
        for i in range(size):
            cell = i // fleet.group
            build = Build(
                name=f"s-{rng.getrandbits(32):08x}",
                tier=tier,
                cell=cell,
                address=free_address(),
                speed=rng.choices([k.speed for k in fleet.kinds], weights)[0] * rng.uniform(0.9, 1.1),
                cores=fleet.cores,
                slots=fleet.slots,
                waiting=fleet.waiting,
                connections=fleet.connections,
                handshake_work=fleet.handshake_work_ms,
                handshake_ms=fleet.handshake_ms,
                idle=fleet.idle_s * fleet.idle_part * 1000,
                idle_random=fleet.idle_random,
                uses=fleet.uses,
                cold_share=fleet.cold_share,
                cold_ms=fleet.cold_s * 1000,
                drops_waiting=fleet.drops_waiting,
            )
            group = groups.setdefault(cell, Group())
            caller = None if last else self._caller(build.name, tier)
            endpoint = Endpoint(
                build, tasks, group, self.ledger, self.clock, rule, scenario.seed, caller, self._fell
            )
            self.endpoints[build.name] = endpoint
            made.append(endpoint)
        return made

    def _caller(self, endpoint: str, tier: int) -> NextTier:
        """How an endpoint calls the next tier: through the sidecar of its own."""
        numbers = iter(range(1 << 60))
        tag = random.Random(f"caller {self.scenario.seed} {endpoint}").getrandbits(24)

        async def call(message: Message, attempt: Attempt, task: Task, left: float) -> bool:
            asked = self.ledger.asked_for.get(attempt.trace)
            trace = f"{tier:02x}{tag:06x}{next(numbers):08x}"
            made = Call(
                trace=trace,
                root=message.first.split()[1].partition("k=")[2],
                stage=tier,
                cls=attempt.cls,
                tenant=asked.tenant if asked is not None else message.headers.get("x-customer", ""),
                key=f"k{trace}" if task.keyed else "",
                sidecar="",
                due=self.clock(),
                patience=float(int(left)),
                method=message.first.split()[0],
            )
            made = await ask(self.own[endpoint].desk, made, self.ledger)
            return made.status == 200 and made.end is End.ANSWERED

        return call

    def _known(self, tier: int) -> Callable[[], tuple[int, tuple[Entry, ...]]]:
        def known() -> tuple[int, tuple[Entry, ...]]:
            register = self.discovery_server.register(tier)
            return register.index, tuple(register.entries.values())

        return known

    def operator(self, sidecar: str, without: str = "") -> str:
        """The operator's file of a sidecar: services at the front, how connections are tended."""
        lines = [connections_toml(self.scenario), self._peers_toml(sidecar), self._store_toml(sidecar)]
        for tier, service in enumerate(self.scenario.services, 1):
            if service.name != without:
                address = self.discovery_server.window(sidecar, tier)
                classes = ", ".join(f'"{name}"' for name in service.classes)
                lines += [f"[services.{service.name}]", f'discovery = "{address}"', f"classes = [{classes}]"]
                lines += ["[[routes]]", f'to = "{service.name}"', f'host = "{service.name}.{DOMAIN}"']
        return "\n".join(lines)

    def _peers_toml(self, sidecar: str) -> str:
        """How a sidecar learns from those of its stage, as a table of the operator's file."""
        told = self.scenario.peers
        if told is None:
            return ""
        stage = self.sidecars[sidecar].stage
        some = [str(address) for address in list(self.peers[stage].values())[:JOIN]]
        return "\n".join(
            [
                "[peers]", f'listen = "{self.peers[stage][sidecar]}"', f"join = {json.dumps(some)}",
                f"keys = {json.dumps([str(self.key)])}", f"within_ms = {told.within_ms:g}",
            ]
        )  # fmt: skip

    def _store_toml(self, sidecar: str) -> str:
        """Where a sidecar marks unsafe calls, through all its processes."""
        told = self.scenario.store
        if told is None:
            return ""
        folder = self.sidecars[sidecar].folder
        directories = [str(folder / f"store-{number}") for number in range(told.mirrors)]
        return f'[store]\ndirectories = {json.dumps(directories)}\nsync = "{told.sync}"'

    async def _lie(self) -> None:
        """Let the day's liars join the sidecars at the front."""
        told = self.scenario.peers
        if told is None:
            return
        front = len(self.peers[0])
        for number in range(told.liars):
            made = to_settings(settings(self.scenario, 0, 0, front))
            join = tuple(list(self.peers[0].values())[:JOIN])
            terms = PeerTerms(free_address(), join, (str(self.key),), 0.0)
            self.liars.append(liar(terms, made, self._as_seen, self.scenario.seed + number))
            await self.liars[-1].begin()

    def _as_seen(self) -> list[tuple[Listing, bool]]:
        """The first tier's endpoints, and which of them are cold."""
        seen = []
        for endpoint in self.endpoints.values():
            if endpoint.build.tier == 1 and endpoint.up:
                life = endpoint.ledger_life()
                since = float(self.entry(endpoint, "in_service").since_ms)
                cold = life.cold_ms > 0 and self.clock() < life.start + life.cold_ms
                seen.append((Listing(endpoint_id(endpoint.build.name), since=since), cold))
        return seen

    # Its parts, as targets of faults

    @property
    def listed(self) -> bool:
        """Whether discovery knows of endpoints: sidecars may take them from a coordinator alone."""
        return self.scenario.coordinator is None or self.scenario.coordinator.membership != "alone"

    def entry(self, endpoint: Endpoint, status: str) -> Entry:
        build, life = endpoint.build, endpoint.ledger_life()
        since = self.clock.unix(life.start) if life.cold_ms > 0 else 0
        return Entry(
            build.name, build.tier, endpoint.lives, str(build.address), build.cell, status, since_ms=since
        )

    def notice(self, endpoint: Endpoint, status: str, late: tuple[float, float]) -> None:
        """Let discovery know after a while, and the coordinator what an endpoint itself would tell it."""
        entry = self.entry(endpoint, status)
        if self.listed:
            self.discovery_server.notice(entry, late)
        if self.coordination is not None:
            if status == "in_service":
                self.coordination.serve(endpoint, entry)
            elif status == "terminating":
                self.coordination.drain(endpoint, entry)
            elif endpoint.draining:
                self.coordination.leave(endpoint)
            else:
                self.coordination.die(endpoint)

    def vanish(self, endpoint: Endpoint) -> None:
        endpoint.silence()
        self._kill_own(endpoint)

    def end(self, endpoint: Endpoint) -> None:
        endpoint.stop()
        self._kill_own(endpoint)

    def _kill_own(self, endpoint: Endpoint) -> None:
        sidecar = self.own.get(endpoint.build.name)
        if sidecar is not None:
            sidecar.kill()
            sidecar.desk.close()

    def _fell(self, endpoint: Endpoint) -> None:
        self.say(f"{endpoint.build.name} fell over")
        self._kill_own(endpoint)
        self.notice(endpoint, "terminated", self.delays.notice)

    async def revive(self, endpoint: Endpoint) -> None:
        """Start an endpoint cold, once its own sidecar serves."""
        sidecar = self.own.get(endpoint.build.name)
        if sidecar is not None:
            await sidecar.ended.wait()
            await sidecar.start()
            if sidecar.pid is None:
                return  # hit again meanwhile
        endpoint.start(cold=True)
        self.say(f"{endpoint.build.name} is back, cold")
        self.notice(endpoint, "in_service", self.delays.add)

    def replace(self, old: Endpoint, build: Build) -> Endpoint:
        """Another machine at an endpoint's address, with the group and the sidecar of the old one's place."""
        caller = self._caller(build.name, build.tier) if old.next_tier is not None else None
        made = Endpoint(
            build,
            old.tasks,
            old.group,
            self.ledger,
            self.clock,
            old.rule,
            self.scenario.seed,
            caller,
            self._fell,
        )
        self.endpoints[build.name] = made
        if old.build.name in self.own:
            self.own[build.name] = self.own.pop(old.build.name)
        return made

    # The day

    async def _start(self) -> None:
        if self.coordination is not None:
            await self.coordination.start(list(self.sidecars), len(self.tiers))
            for sidecar in self.sidecars.values():
                own = self.coordination.operator(sidecar.name, sidecar.stage + 1)
                sidecar.operator = f"{self.operator(sidecar.name)}\n{own}"
        await self._lie()
        for tier in self.tiers:
            for endpoint in tier:
                endpoint.start(cold=False)
                entry = self.entry(endpoint, "in_service")
                if self.listed:
                    self.discovery_server.list(entry)
                if self.coordination is not None:
                    self.coordination.serve(endpoint, entry)
        gate = asyncio.Semaphore(STARTS_AT_ONCE * (os.cpu_count() or 1))
        up = 0

        async def start(sidecar: Sidecar) -> None:
            nonlocal up
            async with gate:
                await sidecar.start()
            up += 1
            self.say(f"{up} of {len(self.sidecars)} sidecars serve")

        async with asyncio.TaskGroup() as group:
            for sidecar in self.sidecars.values():
                group.create_task(start(sidecar))
        await asyncio.sleep(SETTLE)

    async def _day(self) -> None:
        scenario = self.scenario
        planned = schedule(scenario)
        endpoints = [(e.build.name, e.build.tier) for tier in self.tiers for e in tier]
        front = [name for name, s in self.sidecars.items() if s.stage == 0]
        injector = FaultInjector(self)
        # Otherwise the rig itself pauses: a look through a whole ledger takes it some tenths of a second.
        gc.collect()
        gc.disable()
        self.zero = self.clock()
        injector.schedule(plan(scenario, endpoints, front, scenario.seed))
        sampler = asyncio.create_task(Sampler(self.ledger, self.clock, list(self.sidecars.values())).run())
        playing = asyncio.create_task(self.clients.play(planned, self.zero))
        stopped = asyncio.create_task(self.over.wait())
        longest = max(c.deadline_ms for c in scenario.classes) / 1000 + TAIL
        try:
            await asyncio.wait([playing, stopped], return_when=asyncio.FIRST_COMPLETED)
            rest = scenario.seconds - (self.clock() - self.zero) / 1000
            if rest > 0 and not self.over.is_set():
                await asyncio.wait([stopped], timeout=rest)
            if self.clients.journeys and not self.over.is_set():
                await asyncio.wait(list(self.clients.journeys), timeout=longest)
        finally:
            for task in (sampler, playing, stopped, *self.clients.journeys):
                task.cancel()
            injector.close()
            gc.enable()

    def _facts(self, start_s: float) -> Facts:
        for sidecar in self.sidecars.values():
            sidecar.note_memory()
        memory = [s.most_memory for s in self.sidecars.values()]
        return Facts(
            endpoints=sum(len(t) for t in self.tiers),
            sidecars=len(self.sidecars),
            front=sum(s.stage == 0 for s in self.sidecars.values()),
            start_s=start_s,
            rig_memory=own_memory(),
            sidecar_memory=max(memory),
            sidecars_memory=sum(memory),
            cores=os.cpu_count() or 1,
        )

    async def _down(self) -> None:
        for lying in self.liars:
            lying.stop()
        for sidecar in self.sidecars.values():
            sidecar.kill()
            sidecar.desk.close()
        await asyncio.gather(*(w for s in self.sidecars.values() for w in s.waiters))
        for endpoint in self.endpoints.values():
            endpoint.stop()
        self.discovery_server.close()
        if self.coordination is not None:
            await self.coordination.stop()

    def _keep_logs(self, folder: Path, logs: Path) -> None:
        logs.mkdir(parents=True, exist_ok=True)
        for name in self.sidecars:
            source = folder / name / "log"
            if source.exists():
                shutil.copyfile(source, logs / f"{name}.log")


__all__ = ["Facts", "NotReady", "Testbed", "schedule"]
