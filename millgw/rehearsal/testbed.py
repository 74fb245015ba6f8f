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
from millgw.rehearsal.cleanup_process import CleanupProcess
from millgw.rehearsal.configuration_changes import Proposer
from millgw.rehearsal.configuration_poller import ConfigurationPoller
from millgw.rehearsal.control_instances import ControlInstances
from millgw.rehearsal.coordination import Coordination
from millgw.rehearsal.fault_plan import plan_faults
from millgw.rehearsal.faults.injector import FaultInjector
from millgw.rehearsal.fleet import builds_of_tier, is_last_tier, tasks_of_tier, tier_sizes
from millgw.rehearsal.front import Clients, Front, send_call
from millgw.rehearsal.operator_files import SERVICE_DOMAIN, OperatorFiles
from millgw.rehearsal.sampler import Sampler, own_peak_memory_kb
from millgw.rehearsal.scenario import CONTROL_ADDRESS_FAULTS, Scenario, refusing_sidecars
from millgw.rehearsal.sidecars import DEFAULT_RUN, NotReady, Sidecar, settings, with_extra_class
from millgw.rehearsal.traffic import draw_arrivals
from millgw.standins.deduplication import DeduplicationGroup
from millgw.standins.discovery_server import Capacity, Delays, DiscoveryServer
from millgw.standins.endpoint import Endpoint, NextTier
from millgw.standins.endpoint_options import ClassCost, ColdRule, EndpointOptions
from millgw.standins.endpoint_registry import Entry
from millgw.standins.http import Clock, Message
from millgw.standins.ledger import Attempt, Call, End, Ledger, shift_times

STARTS_PER_CORE = 2  # sidecars started concurrently per core: more only compete for the cores
SETTLE_TIME_S = 1.0  # s between the last sidecar's start and the day's first request
FINAL_CALLS_MARGIN_S = 1.0  # s beyond the longest deadline to wait for calls in flight


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
        discovery = scenario.discovery
        self.delays = Delays(_ms(discovery.notice_s), _ms(discovery.silent_s), _ms(discovery.add_s))
        capacity = Capacity(discovery.lines_per_s, discovery.call_lines, discovery.timeout_s * 1000)
        self.discovery_server = DiscoveryServer(self.ledger, self.clock, scenario.seed, self.delays, capacity)
        self.coordination: Coordination | None = None
        if scenario.coordinator is not None:
            self.coordination = Coordination(
                scenario.coordinator, self.ledger, self.clock, scenario.seed
            )  # fmt: skip
        self.control: ControlInstances | None = None
        self.endpoints: dict[str, Endpoint] = {}
        self.sidecars: dict[str, Sidecar] = {}
        self.endpoint_sidecars: dict[str, Sidecar] = {}  # by the name of the endpoint they belong to
        self.byzantine_peers: ByzantinePeers | None = None
        self.front: Front
        self.clients: Clients
        self.error: BaseException | None = None
        self.stopped = asyncio.Event()
        self.start_time = 0.0

    async def play(self) -> tuple[Ledger, Facts]:
        """Play the whole day; raises NotReady or OSError if it could not be played."""
        directory = Path(tempfile.mkdtemp(prefix="millgw-rehearsal-"))
        cleanup = CleanupProcess(str(directory))
        start = self.clock()
        try:
            self._build(directory, cleanup)
            await self._start()
            start_s = (self.clock() - start) / 1000
            await self._run_day()
            facts = self._facts(start_s)
        finally:
            await self._stop_all()
            if self.logs is not None:
                self._copy_logs(directory, self.logs)
            cleanup.close()
        if self.error is not None:
            raise self.error
        shift_times(self.ledger, -self.start_time)
        return self.ledger, facts

    def stop(self) -> None:
        """End the day now, without what is still scheduled."""
        self.stopped.set()

    def abort(self, error: BaseException) -> None:
        """Report that the scenario could not be carried out: the day ends and is not judged."""
        self.error = self.error or error
        self.stopped.set()

    # Building

    def _build(self, directory: Path, cleanup: CleanupProcess) -> None:
        scenario, fleet = self.scenario, self.scenario.fleet
        if scenario.configuration is not None:
            count = scenario.configuration.instances
            self.control = ControlInstances(count, directory, cleanup, self.ledger, self.clock)
        addresses = () if self.control is None else self.control.all_addresses
        self.operator_files = OperatorFiles(scenario, self.discovery_server, directory, addresses)
        self.byzantine_peers = ByzantinePeers(scenario, self.operator_files, self.endpoints, self.clock)
        sizes = tier_sizes(scenario)
        self.tiers = [self._build_tier(i + 1, size) for i, size in enumerate(sizes)]
        front = fleet.sidecars - fleet.endpoint_sidecars()
        refusing = refusing_sidecars(scenario)
        for stage, siblings in enumerate([front] if scenario.services else [front, *sizes[:-1]]):
            for index in range(siblings):
                name = f"n{stage}-{index}"
                sidecar = Sidecar(
                    name, stage, self.discovery_server.address_for(name, stage + 1),
                    settings(scenario, stage, index, siblings), scenario, self._known_endpoints(stage + 1),
                    self.run, directory, cleanup, self.ledger, self.clock,
                )  # fmt: skip
                sidecar.has_control_address = self.control is not None or (
                    stage == 0 and any(f.kind in CONTROL_ADDRESS_FAULTS for f in scenario.faults)
                )
                if name in refusing:
                    sidecar.settings = with_extra_class(sidecar.settings)
                if self.listen is not None and not self.sidecars:
                    sidecar.set_listen_address(self.listen)
                self.sidecars[name] = sidecar
                self.operator_files.add_peer(sidecar)
                if stage:
                    self.endpoint_sidecars[self.tiers[stage - 1][index].options.name] = sidecar
        if self.coordination is None:
            for name, sidecar in self.sidecars.items():
                sidecar.operator_file = self.operator(name)
        self.front = Front([self.sidecars[f"n0-{i}"] for i in range(front)], scenario.seed)
        hosts = {cls: f"{s.name}.{SERVICE_DOMAIN}" for s in scenario.services for cls in s.classes}
        self.clients = Clients(
            self.front, scenario.classes, self.ledger, self.clock, scenario.seed, hosts,
            scenario.traffic.insist,
        )  # fmt: skip

    def _build_tier(self, tier: int, size: int) -> list[Endpoint]:
        scenario = self.scenario
        tasks = tasks_of_tier(scenario, tier)
        rule = ColdRule(scenario.rules.fall_multiple, scenario.rules.fall_ms)
        groups: dict[int, DeduplicationGroup] = {}
        endpoints = []
        for build in builds_of_tier(scenario, tier, size):
            group = groups.setdefault(build.cell, DeduplicationGroup())
            caller = None if is_last_tier(scenario, tier) else self._caller(build.name, tier)
            endpoint = Endpoint(
                build,
                tasks,
                group,
                self.ledger,
                self.clock,
                rule,
                scenario.seed,
                caller,
                self._endpoint_overloaded,
            )
            self.endpoints[build.name] = endpoint
            endpoints.append(endpoint)
        return endpoints

    def _caller(self, endpoint: str, tier: int) -> NextTier:
        """How an endpoint calls the next tier: through its own sidecar."""
        numbers = iter(range(1 << 60))
        tag = random.Random(f"caller {self.scenario.seed} {endpoint}").getrandbits(24)

        async def call(message: Message, attempt: Attempt, task: ClassCost, left: float) -> bool:
            asked = self.ledger.calls_by_trace.get(attempt.trace)
            trace = f"{tier:02x}{tag:06x}{next(numbers):08x}"
            outgoing = Call(
                trace=trace,
                root=message.first_line.split()[1].partition("k=")[2],
                stage=tier,
                cls=attempt.cls,
                tenant=asked.tenant if asked is not None else message.headers.get("x-customer", ""),
                key=f"k{trace}" if task.keyed else "",
                sidecar="",
                due=self.clock(),
                patience=float(int(left)),
                method=message.first_line.split()[0],
            )
            outgoing = await send_call(self.endpoint_sidecars[endpoint].desk, outgoing, self.ledger)
            return outgoing.status == 200 and outgoing.end is End.ANSWERED

        return call

    def _known_endpoints(self, tier: int) -> Callable[[], tuple[int, tuple[Entry, ...]]]:
        def known() -> tuple[int, tuple[Entry, ...]]:
            registry = self.discovery_server.registry(tier)
            return registry.index, tuple(registry.entries.values())

        return known

    # Actions on parts of the testbed, used by faults

    @property
    def discovery_lists_endpoints(self) -> bool:
        """Whether discovery lists endpoints; it does not where sidecars use a coordinator alone."""
        return self.scenario.coordinator is None or self.scenario.coordinator.membership != "alone"

    def operator(self, sidecar: str, without: str = "") -> str:
        """The operator's file of a sidecar, with all services except `without`."""
        return self.operator_files.text(self.sidecars[sidecar], without)

    def registry_entry(self, endpoint: Endpoint, status: str) -> Entry:
        build, since = endpoint.options, endpoint.since_unix_ms()
        return Entry(
            build.name, build.tier, endpoint.lives, str(build.address), build.cell, status, since_ms=since,
            zone=build.zone,
        )  # fmt: skip

    def publish_status(self, endpoint: Endpoint, status: str, late: tuple[float, float]) -> None:
        """Update discovery after the delay `late`, and the coordinator as the endpoint itself would."""
        entry = self.registry_entry(endpoint, status)
        if self.discovery_lists_endpoints:
            self.discovery_server.apply_late(entry, late)
        if self.coordination is not None:
            if status == "in_service":
                self.coordination.register(endpoint, entry)
            elif status == "terminating":
                self.coordination.drain(endpoint, entry)
            elif endpoint.draining:
                self.coordination.close_session(endpoint)
            else:
                self.coordination.expire_after_timeout(endpoint)

    def silence_endpoint(self, endpoint: Endpoint) -> None:
        endpoint.silence()
        self._kill_endpoint_sidecar(endpoint)

    def stop_endpoint(self, endpoint: Endpoint) -> None:
        endpoint.stop()
        self._kill_endpoint_sidecar(endpoint)

    def _kill_endpoint_sidecar(self, endpoint: Endpoint) -> None:
        sidecar = self.endpoint_sidecars.get(endpoint.options.name)
        if sidecar is not None:
            sidecar.kill()
            sidecar.desk.close()

    def _endpoint_overloaded(self, endpoint: Endpoint) -> None:
        self.say(f"{endpoint.options.name} failed from overload")
        self._kill_endpoint_sidecar(endpoint)
        self.publish_status(endpoint, "terminated", self.delays.notice)

    async def restart_endpoint_cold(self, endpoint: Endpoint) -> None:
        """Start an endpoint cold, after its own sidecar if it has one."""
        sidecar = self.endpoint_sidecars.get(endpoint.options.name)
        if sidecar is not None:
            await sidecar.ended.wait()
            await sidecar.start()
            if sidecar.pid is None:
                return  # another fault hit it meanwhile
        endpoint.start(cold=True)
        self.say(f"{endpoint.options.name} is back, cold")
        self.publish_status(endpoint, "in_service", self.delays.add)

    def replace(self, old: Endpoint, build: EndpointOptions) -> Endpoint:
        """A new endpoint at an old one's address, with the old one's group and sidecar."""
        caller = self._caller(build.name, build.tier) if old.next_tier is not None else None
        endpoint = Endpoint(
            build,
            old.class_costs,
            old.group,
            self.ledger,
            self.clock,
            old.cold_rule,
            self.scenario.seed,
            caller,
            self._endpoint_overloaded,
        )
        self.endpoints[build.name] = endpoint
        if old.options.name in self.endpoint_sidecars:
            self.endpoint_sidecars[build.name] = self.endpoint_sidecars.pop(old.options.name)
        return endpoint

    # Playing the day

    async def _start(self) -> None:
        if self.control is not None:
            await self.control.start_all()
            self.say(f"{len(self.control.all_addresses)} control instances serve")
        if self.coordination is not None:
            await self.coordination.start(list(self.sidecars), len(self.tiers))
            for sidecar in self.sidecars.values():
                services = self.coordination.operator_text(sidecar.name, sidecar.stage + 1)
                sidecar.operator_file = f"{self.operator(sidecar.name)}\n{services}"
        if self.byzantine_peers is not None:
            await self.byzantine_peers.start()
        for tier in self.tiers:
            for endpoint in tier:
                endpoint.start(cold=False)
                entry = self.registry_entry(endpoint, "in_service")
                if self.discovery_lists_endpoints:
                    self.discovery_server.apply_change(entry)
                if self.coordination is not None:
                    self.coordination.register(endpoint, entry)
        semaphore = asyncio.Semaphore(STARTS_PER_CORE * (os.cpu_count() or 1))
        serving = 0

        async def start(sidecar: Sidecar) -> None:
            nonlocal serving
            async with semaphore:
                await sidecar.start()
            serving += 1
            self.say(f"{serving} of {len(self.sidecars)} sidecars serve")

        async with asyncio.TaskGroup() as group:
            for sidecar in self.sidecars.values():
                group.create_task(start(sidecar))
        await asyncio.sleep(SETTLE_TIME_S)

    async def _run_day(self) -> None:
        scenario = self.scenario
        arrivals = draw_arrivals(scenario)
        endpoints = [(e.options.name, e.options.tier) for tier in self.tiers for e in tier]
        front = [name for name, s in self.sidecars.items() if s.stage == 0]
        injector = FaultInjector(self)
        # Otherwise garbage collection pauses the rig: traversing a whole ledger takes tenths of a second.
        gc.collect()
        gc.disable()
        self.start_time = self.clock()
        zones = {e.options.name: e.options.zone for tier in self.tiers for e in tier}
        injector.schedule(plan_faults(scenario, endpoints, front, scenario.seed, zones))
        sampler = asyncio.create_task(Sampler(self.ledger, self.clock, list(self.sidecars.values())).run())
        traffic_task = asyncio.create_task(self.clients.play(arrivals, self.start_time))
        stop_waiter = asyncio.create_task(self.stopped.wait())
        configuration_tasks = self._start_configuration_changes()
        final_wait_s = max(c.deadline_ms for c in scenario.classes) / 1000 + FINAL_CALLS_MARGIN_S
        try:
            await asyncio.wait([traffic_task, stop_waiter], return_when=asyncio.FIRST_COMPLETED)
            remaining = scenario.seconds - (self.clock() - self.start_time) / 1000
            if remaining > 0 and not self.stopped.is_set():
                await asyncio.wait([stop_waiter], timeout=remaining)
            if self.clients.request_tasks and not self.stopped.is_set():
                await asyncio.wait(list(self.clients.request_tasks), timeout=final_wait_s)
        finally:
            for task in (
                sampler,
                traffic_task,
                stop_waiter,
                *configuration_tasks,
                *self.clients.request_tasks,
            ):
                task.cancel()
            injector.close()
            gc.enable()

    def _start_configuration_changes(self) -> list[asyncio.Task[None]]:
        """On a day with control instances, start to propose versions and to poll where they are in force."""
        if self.control is None:
            return []
        proposer = Proposer(self.scenario, self.control, self.ledger, self.clock)
        poller = ConfigurationPoller(self.control, self.sidecars, self.ledger, self.clock)
        tasks = [asyncio.create_task(proposer.run()), asyncio.create_task(poller.run())]
        for task in tasks:
            task.add_done_callback(self._configuration_task_ended)
        return tasks

    def _configuration_task_ended(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and (error := task.exception()) is not None:
            self.abort(error)

    def _facts(self, start_s: float) -> Facts:
        for sidecar in self.sidecars.values():
            sidecar.record_peak_memory()
        memory = [s.peak_memory_kb for s in self.sidecars.values()]
        return Facts(
            endpoints=sum(len(t) for t in self.tiers),
            sidecars=len(self.sidecars),
            front=sum(s.stage == 0 for s in self.sidecars.values()),
            start_s=start_s,
            rig_memory=own_peak_memory_kb(),
            sidecar_memory=max(memory),
            sidecars_memory=sum(memory),
            cores=os.cpu_count() or 1,
        )

    async def _stop_all(self) -> None:
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

    def _copy_logs(self, directory: Path, logs: Path) -> None:
        logs.mkdir(parents=True, exist_ok=True)
        control = () if self.control is None else self.control.addresses
        for name in (*self.sidecars, *control):
            source = directory / name / "log"
            if source.exists():
                shutil.copyfile(source, logs / f"{name}.log")


__all__ = ["Facts", "NotReady", "Testbed"]
