"""Plays a day: starts stand-ins and sidecars, runs traffic and faults, stops all; returns a ledger."""

from __future__ import annotations

import asyncio
import gc
import os
import random
import shutil
import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from millgw.platform.config import Address
from millgw.rehearsal.byzantine_peers import ByzantinePeers
from millgw.rehearsal.configuration_changes import Proposer
from millgw.rehearsal.configuration_looks import ConfigurationPoller
from millgw.rehearsal.control_instances import ControlInstances
from millgw.rehearsal.coordination import Coordination
from millgw.rehearsal.fault_plan import plan
from millgw.rehearsal.faults.injector import FaultInjector
from millgw.rehearsal.fleet import builds_of_tier, is_last_tier, tasks_of_tier, tier_sizes
from millgw.rehearsal.front import Clients, Front, send_call
from millgw.rehearsal.keeper import Keeper
from millgw.rehearsal.operator_files import DOMAIN, OperatorFiles
from millgw.rehearsal.sampler import Sampler, own_memory
from millgw.rehearsal.scenario import AT_THE_DOOR, Scenario, refusing_sidecars
from millgw.rehearsal.sidecars import DEFAULT_RUN, NotReady, Sidecar, settings, with_class_of_its_own
from millgw.rehearsal.traffic import schedule
from millgw.standins.deduplication import Group
from millgw.standins.discovery_server import Capacity, Delays, DiscoveryServer
from millgw.standins.endpoint import Endpoint, NextTier
from millgw.standins.endpoint_options import Build, ColdRule, Task
from millgw.standins.endpoint_registry import Entry
from millgw.standins.http import Clock, Message
from millgw.standins.ledger import Attempt, Call, End, Ledger, shift

STARTS_AT_ONCE = 2  # sidecars started concurrently per core: more only compete for the cores
SETTLE = 1.0  # s between the last sidecar's start and the day's first request
TAIL = 1.0  # s beyond the longest deadline to wait for calls in flight


@dataclass(slots=True, frozen=True)
class Facts:
    """Size and cost of a day. Memory is the peak in kB: of the rig, the largest sidecar, all sidecars."""

    endpoints: int
    sidecars: int
    front: int
    start_s: float
    rig_memory: int
    sidecar_memory: int
    sidecars_memory: int
    cores: int


def _ms(seconds: tuple[float, float]) -> tuple[float, float]:
    return seconds[0] * 1000, seconds[1] * 1000


class Testbed:
    """One day. `say` gets progress messages; the sidecars' logs are copied into `logs`."""

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
        self.listen = listen  # address of the first front sidecar; None: any free one
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
        self.control: ControlInstances | None = None
        self.endpoints: dict[str, Endpoint] = {}
        self.sidecars: dict[str, Sidecar] = {}
        self.own: dict[str, Sidecar] = {}  # sidecars that belong to endpoints, by the endpoint's name
        self.byzantine_peers: ByzantinePeers | None = None
        self.front: Front
        self.clients: Clients
        self.error: BaseException | None = None
        self.over = asyncio.Event()
        self.zero = 0.0

    async def play(self) -> tuple[Ledger, Facts]:
        """Play the whole day; raises NotReady or OSError if it could not be played."""
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
        """End the day now, without what is still scheduled."""
        self.over.set()

    def failed(self, error: BaseException) -> None:
        """Report that the scenario could not be carried out: the day ends and is not judged."""
        self.error = self.error or error
        self.over.set()

    # Building

    def _build(self, folder: Path, keeper: Keeper) -> None:
        scenario, fleet = self.scenario, self.scenario.fleet
        if scenario.configuration is not None:
            count = scenario.configuration.instances
            self.control = ControlInstances(count, folder, keeper, self.ledger, self.clock)
        addresses = () if self.control is None else self.control.all_addresses
        self.operator_files = OperatorFiles(scenario, self.discovery_server, folder, addresses)
        self.byzantine_peers = ByzantinePeers(scenario, self.operator_files, self.endpoints, self.clock)
        sizes = tier_sizes(scenario)
        self.tiers = [self._tier(i + 1, size) for i, size in enumerate(sizes)]
        front = fleet.sidecars - fleet.owned()
        refusing = refusing_sidecars(scenario)
        for stage, siblings in enumerate([front] if scenario.services else [front, *sizes[:-1]]):
            for index in range(siblings):
                name = f"n{stage}-{index}"
                sidecar = Sidecar(
                    name, stage, self.discovery_server.window(name, stage + 1),
                    settings(scenario, stage, index, siblings), scenario, self._known(stage + 1), self.run,
                    folder, keeper, self.ledger, self.clock,
                )  # fmt: skip
                sidecar.door = self.control is not None or (
                    stage == 0 and any(f.kind in AT_THE_DOOR for f in scenario.faults)
                )
                if name in refusing:
                    sidecar.settings = with_class_of_its_own(sidecar.settings)
                if self.listen is not None and not self.sidecars:
                    sidecar.listen_at(self.listen)
                self.sidecars[name] = sidecar
                self.operator_files.add_peer(sidecar)
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
        scenario = self.scenario
        tasks = tasks_of_tier(scenario, tier)
        rule = ColdRule(scenario.rules.fall_multiple, scenario.rules.fall_ms)
        groups: dict[int, Group] = {}
        made = []
        for build in builds_of_tier(scenario, tier, size):
            group = groups.setdefault(build.cell, Group())
            caller = None if is_last_tier(scenario, tier) else self._caller(build.name, tier)
            endpoint = Endpoint(
                build, tasks, group, self.ledger, self.clock, rule, scenario.seed, caller, self._fell
            )
            self.endpoints[build.name] = endpoint
            made.append(endpoint)
        return made

    def _caller(self, endpoint: str, tier: int) -> NextTier:
        """How an endpoint calls the next tier: through its own sidecar."""
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
            made = await send_call(self.own[endpoint].desk, made, self.ledger)
            return made.status == 200 and made.end is End.ANSWERED

        return call

    def _known(self, tier: int) -> Callable[[], tuple[int, tuple[Entry, ...]]]:
        def known() -> tuple[int, tuple[Entry, ...]]:
            registry = self.discovery_server.registry(tier)
            return registry.index, tuple(registry.entries.values())

        return known

    # Actions on parts of the testbed, used by faults

    @property
    def listed(self) -> bool:
        """Whether discovery lists endpoints; it does not where sidecars use a coordinator alone."""
        return self.scenario.coordinator is None or self.scenario.coordinator.membership != "alone"

    def operator(self, sidecar: str, without: str = "") -> str:
        """The operator's file of a sidecar, with all services except `without`."""
        return self.operator_files.text(self.sidecars[sidecar], without)

    def entry(self, endpoint: Endpoint, status: str) -> Entry:
        build, since = endpoint.build, endpoint.since_unix_ms()
        return Entry(
            build.name, build.tier, endpoint.lives, str(build.address), build.cell, status, since_ms=since,
            zone=build.zone,
        )  # fmt: skip

    def notice(self, endpoint: Endpoint, status: str, late: tuple[float, float]) -> None:
        """Update discovery after the delay `late`, and the coordinator as the endpoint itself would."""
        entry = self.entry(endpoint, status)
        if self.listed:
            self.discovery_server.notice(entry, late)
        if self.coordination is not None:
            if status == "in_service":
                self.coordination.serve(endpoint, entry)
            elif status == "terminating":
                self.coordination.drain(endpoint, entry)
            elif endpoint.draining:
                self.coordination.close_session(endpoint)
            else:
                self.coordination.expire_after_timeout(endpoint)

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
        self.say(f"{endpoint.build.name} failed from overload")
        self._kill_own(endpoint)
        self.notice(endpoint, "terminated", self.delays.notice)

    async def revive(self, endpoint: Endpoint) -> None:
        """Start an endpoint cold, after its own sidecar if it has one."""
        sidecar = self.own.get(endpoint.build.name)
        if sidecar is not None:
            await sidecar.ended.wait()
            await sidecar.start()
            if sidecar.pid is None:
                return  # another fault hit it meanwhile
        endpoint.start(cold=True)
        self.say(f"{endpoint.build.name} is back, cold")
        self.notice(endpoint, "in_service", self.delays.add)

    def replace(self, old: Endpoint, build: Build) -> Endpoint:
        """A new endpoint at an old one's address, with the old one's group and sidecar."""
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

    # Playing the day

    async def _start(self) -> None:
        if self.control is not None:
            await self.control.start_all()
            self.say(f"{len(self.control.all_addresses)} control instances serve")
        if self.coordination is not None:
            await self.coordination.start(list(self.sidecars), len(self.tiers))
            for sidecar in self.sidecars.values():
                own = self.coordination.operator_text(sidecar.name, sidecar.stage + 1)
                sidecar.operator = f"{self.operator(sidecar.name)}\n{own}"
        if self.byzantine_peers is not None:
            await self.byzantine_peers.start()
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
        # Otherwise garbage collection pauses the rig: traversing a whole ledger takes tenths of a second.
        gc.collect()
        gc.disable()
        self.zero = self.clock()
        zones = {e.build.name: e.build.zone for tier in self.tiers for e in tier}
        injector.schedule(plan(scenario, endpoints, front, scenario.seed, zones))
        sampler = asyncio.create_task(Sampler(self.ledger, self.clock, list(self.sidecars.values())).run())
        playing = asyncio.create_task(self.clients.play(planned, self.zero))
        stopped = asyncio.create_task(self.over.wait())
        distributing = self._distribute()
        longest = max(c.deadline_ms for c in scenario.classes) / 1000 + TAIL
        try:
            await asyncio.wait([playing, stopped], return_when=asyncio.FIRST_COMPLETED)
            rest = scenario.seconds - (self.clock() - self.zero) / 1000
            if rest > 0 and not self.over.is_set():
                await asyncio.wait([stopped], timeout=rest)
            if self.clients.request_tasks and not self.over.is_set():
                await asyncio.wait(list(self.clients.request_tasks), timeout=longest)
        finally:
            for task in (sampler, playing, stopped, *distributing, *self.clients.request_tasks):
                task.cancel()
            injector.close()
            gc.enable()

    def _distribute(self) -> list[asyncio.Task[None]]:
        """On a day with control instances, start to propose versions and to poll where they are in force."""
        if self.control is None:
            return []
        proposer = Proposer(self.scenario, self.control, self.ledger, self.clock)
        looks = ConfigurationPoller(self.control, self.sidecars, self.ledger, self.clock)
        tasks = [asyncio.create_task(proposer.run()), asyncio.create_task(looks.run())]
        for task in tasks:
            task.add_done_callback(self._distribution_ended)
        return tasks

    def _distribution_ended(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and (error := task.exception()) is not None:
            self.failed(error)

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
        if self.byzantine_peers is not None:
            self.byzantine_peers.stop()
        for sidecar in self.sidecars.values():
            sidecar.kill()
            sidecar.desk.close()
        await asyncio.gather(*(w for s in self.sidecars.values() for w in s.waiters))
        if self.control is not None:
            await self.control.kill_all()
        for endpoint in self.endpoints.values():
            endpoint.stop()
        self.discovery_server.close()
        if self.coordination is not None:
            await self.coordination.stop()

    def _keep_logs(self, folder: Path, logs: Path) -> None:
        logs.mkdir(parents=True, exist_ok=True)
        control = () if self.control is None else self.control.addresses
        for name in (*self.sidecars, *control):
            source = folder / name / "log"
            if source.exists():
                shutil.copyfile(source, logs / f"{name}.log")


__all__ = ["Facts", "NotReady", "Testbed"]
