"""All processes of one run: what each is told at its start, and which sidecars run now."""

from __future__ import annotations

import asyncio
import math
import random
import time
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path

from millgw.configuration.control_client import ProposalResult, fetch_status, propose
from millgw.configuration.document import Change
from millgw.platform.config import read_address
from millgw.rehearsal.cleanup_process import CleanupProcess
from millgw.scale.figures import Part, ProcessFigures
from millgw.scale.layout import Layout, Sidecar
from millgw.scale.messages import (
    Changed,
    ChangeLists,
    ListedEndpoint,
    Measure,
    Measured,
    OpenControl,
    Opened,
    OpenEndpoints,
    OpenLists,
    Partition,
    Place,
    Seen,
    Setup,
    SidecarSpec,
    Start,
    Stop,
)
from millgw.scale.processes import Process, ProcessLost
from millgw.scale.schedule import Replaced, Step
from millgw.scale.settings import KEY, KEY_FILE
from millgw.scale.spread import Sightings
from millgw.standins.address import free_address

HOSTED_MOST = 100  # hollow sidecars of one process
HOSTS_LEAST = 2  # processes of hollow sidecars, so that a partition goes between processes too
JOINED = 3  # other sidecars that one is told of at its start
START_RATE = 40.0  # sidecars that start in one second
PROPOSAL_TIME = 10.0  # s that an operator tries to have a version committed
STATUS_TIME = 2.0  # s for a control instance to say who leads
REPLACEMENT = "-next"  # behind the name of a sidecar that took another's place
UNCALLED_PORT = 9000  # of endpoints that are only ever listed


@dataclass(slots=True)
class Member:
    """One sidecar of the run: where it stands, and the process that it is in."""

    sidecar: Sidecar
    spec: SidecarSpec
    process: Process
    running: bool = False


class Fleet:
    """Everything that runs."""

    def __init__(
        self, layout: Layout, steps: Sequence[Step], seed: int, folder: Path, keeper: CleanupProcess
    ) -> None:
        self.layout = layout
        self.seed = seed
        self.folder = folder
        self.keeper = keeper
        self.sightings = Sightings()
        self.replaced = [step.sidecar for step in steps if isinstance(step, Replaced)]
        self.members: dict[str, Member] = {}
        self.endpoints: dict[str, ListedEndpoint] = {}  # by sidecar, as listed now
        self.live_endpoints: list[str] = []
        self.control: dict[str, str] = {}
        self.numbers = 0
        self.hosts: list[Process] = []
        self.reals: list[Process] = []
        self.servers: dict[str, Process] = {}
        self.instances: dict[str, Process] = {}  # of control, by machine
        self.killed: set[Process] = set()
        self.figures: dict[Process, ProcessFigures] = {}
        self.parted = False

    # Beginning and end

    async def open(self) -> None:
        """Start all processes, and tell each what it is to do."""
        (self.folder / KEY_FILE).write_bytes(KEY)
        await self._open_servers()
        sidecars = self._all_sidecars()
        discovery = await self._open_lists(sidecars)
        specs = self._specs(sidecars, discovery)
        await self._open_hosts(sidecars, specs)

    async def close(self) -> None:
        """End all processes."""
        await asyncio.gather(*(process.end() for process in self.processes()))

    def processes(self) -> list[Process]:
        """All of them."""
        return [*self.hosts, *self.reals, *self.servers.values(), *self.instances.values()]

    async def _process(self, name: str, module: str, *words: str) -> Process:
        process = Process(name, self.folder, self.keeper, self._seen)
        await process.start(f"millgw.scale.{module}", *words)
        return process

    def _seen(self, seen: Seen) -> None:
        for sighting in seen.sightings:
            self.sightings.add(sighting.topic, sighting.sidecar, sighting.index, sighting.at)

    async def _open_servers(self) -> None:
        self.servers["discovery"] = await self._process("discovery", "servers", "discovery")
        await self._open_control()
        if any(sidecar.real for sidecar in self.layout.sidecars):
            await self._open_endpoints()

    async def _open_control(self) -> None:
        """Start the control instances, all of them voters."""
        self.control = {machine.name: str(free_address()) for machine in self.layout.control}
        regions = {machine.name: machine.zone.region for machine in self.layout.control}
        for number, name in enumerate(self.control):
            process = self.instances[name] = await self._process(name, "control_instance")
            store = str(self.folder / name)
            process.say(OpenControl(name, self.control, regions, store, self.seed + number))
        for process in self.instances.values():
            await process.expect(Opened)

    async def _open_endpoints(self) -> None:
        """Have the endpoints answer that real sidecars call; all others are only ever listed."""
        called = {sidecar.calls for sidecar in self.layout.sidecars if sidecar.real}
        count = sum(sidecar.service in called for sidecar in self.layout.sidecars)
        self.servers["endpoints"] = await self._process("endpoints", "servers", "endpoints")
        self.servers["endpoints"].say(OpenEndpoints(count))
        opened = await self.servers["endpoints"].expect(Opened)
        self.live_endpoints = list(opened.addresses.values())

    def _all_sidecars(self) -> list[Sidecar]:
        """Those of the layout, and those that will take another's place."""
        by_name = {sidecar.name: sidecar for sidecar in self.layout.sidecars}
        later = [by_name[name] for name in self.replaced]
        return [
            *self.layout.sidecars,
            *(Sidecar(s.name + REPLACEMENT, s.service, s.calls, s.zone, False) for s in later),
        ]

    async def _open_lists(self, sidecars: Sequence[Sidecar]) -> dict[str, str]:
        """List all endpoints; by sidecar, where it asks discovery."""
        called = {sidecar.calls for sidecar in self.layout.sidecars if sidecar.real}
        live = iter(self.live_endpoints)
        for number, sidecar in enumerate(self.layout.sidecars):
            address = next(live) if sidecar.service in called else _uncalled(number)
            self.endpoints[sidecar.name] = ListedEndpoint(
                sidecar.name, sidecar.service, address, sidecar.zone.name
            )
        watchers = {sidecar.name: sidecar.calls for sidecar in sidecars}
        self.servers["discovery"].say(OpenLists(list(self.endpoints.values()), watchers, self.seed))
        return (await self.servers["discovery"].expect(Opened)).addresses

    def _specs(self, sidecars: Sequence[Sidecar], discovery: dict[str, str]) -> dict[str, SidecarSpec]:
        rng = random.Random(f"join {self.seed}")
        peers = {sidecar.name: str(free_address()) for sidecar in sidecars}
        first = [sidecar.name for sidecar in self.layout.sidecars]
        specs = {}
        for sidecar in sidecars:
            joined = [name for name in rng.sample(first, min(JOINED + 1, len(first))) if name != sidecar.name]
            specs[sidecar.name] = SidecarSpec(
                name=sidecar.name,
                service=sidecar.service,
                calls=sidecar.calls,
                region=sidecar.zone.region,
                listen=str(free_address()),
                peers=peers[sidecar.name],
                join=[peers[name] for name in joined[:JOINED]],
                discovery=discovery[sidecar.name],
                folder=str(self.folder / sidecar.name),
            )
        return specs

    async def _open_hosts(self, sidecars: Sequence[Sidecar], specs: dict[str, SidecarSpec]) -> None:
        hollow = [sidecar for sidecar in sidecars if not sidecar.real]
        count = 0 if not hollow else max(min(HOSTS_LEAST, len(hollow)), math.ceil(len(hollow) / HOSTED_MOST))
        for number in range(count):
            host = await self._process(f"hollow-{number + 1}", "hollow")
            self.hosts.append(host)
            self._set_up(host, hollow[number::count], specs)
        for sidecar in sidecars:
            if sidecar.real:
                process = await self._process(sidecar.name, "real")
                self.reals.append(process)
                self._set_up(process, [sidecar], specs)

    def _set_up(self, process: Process, sidecars: Sequence[Sidecar], specs: dict[str, SidecarSpec]) -> None:
        for sidecar in sidecars:
            self.members[sidecar.name] = Member(sidecar, specs[sidecar.name], process)
        sizes = {s: sum(x.service == s for x in self.layout.sidecars) for s in self.layout.services}
        process.say(
            Setup(
                sidecars=[specs[sidecar.name] for sidecar in sidecars],
                places=self._places(specs),
                control=self._control_by_region(),
                siblings=sizes,
                zones=[zone.name for zone in self.layout.zones],
                seed=self.seed,
            )
        )

    def _control_by_region(self) -> dict[str, list[str]]:
        by_region: dict[str, list[str]] = {}
        for machine in self.layout.control:
            by_region.setdefault(machine.zone.region, []).append(self.control[machine.name])
        return by_region

    def _places(self, specs: dict[str, SidecarSpec]) -> list[Place]:
        """What control finds where. Each region has a discovery of its own: it is reached from everywhere."""
        regions = {machine.name: machine.zone.region for machine in self.layout.control}
        return [
            *(Place(spec.peers, Part.PEERS.value, spec.region) for spec in specs.values()),
            *(Place(spec.discovery, Part.LIST.value, "") for spec in specs.values()),
            *(
                Place(address, Part.CONFIGURATION.value, regions[name])
                for name, address in self.control.items()
            ),
        ]

    # Sidecars

    def start_all(self) -> float:
        """Start all sidecars of the layout; s over which they do."""
        within = len(self.layout.sidecars) / START_RATE
        self.start([sidecar.name for sidecar in self.layout.sidecars], within)
        return within

    def start(self, names: Iterable[str], within: float) -> None:
        """Start these; whole daemons start by themselves."""
        for process, some in self._by_process(names).items():
            for name in some:
                self.members[name].running = True
            if process in self.hosts:
                process.say(Start(some, within))

    def stop(self, names: Iterable[str], leaving: bool) -> None:
        """End these hollow sidecars."""
        for process, some in self._by_process(names).items():
            for name in some:
                self.members[name].running = False
                self.sightings.restarted(name, time.monotonic())
            process.say(Stop(some, leaving))

    def _by_process(self, names: Iterable[str]) -> dict[Process, list[str]]:
        found: dict[Process, list[str]] = {}
        for name in names:
            found.setdefault(self.members[name].process, []).append(name)
        return found

    def running(self) -> list[str]:
        """Names of all that run now."""
        return [name for name, member in self.members.items() if member.running]

    def watching(self, service: str) -> list[str]:
        """Names of those that run and watch a service's list."""
        return [name for name in self.running() if self.members[name].sidecar.calls == service]

    def in_region(self, region: str) -> list[str]:
        """Names of those that run in a region."""
        return [name for name in self.running() if self.members[name].sidecar.zone.region == region]

    # Changes

    async def change_lists(self, endpoints: list[ListedEndpoint]) -> Changed:
        """Have discovery know of changed endpoints."""
        for endpoint in endpoints:
            self.endpoints[endpoint.name] = endpoint
        self.numbers += 1
        self.servers["discovery"].say(ChangeLists(self.numbers, endpoints))
        return await self.servers["discovery"].expect(Changed)

    async def propose(self, number: int) -> ProposalResult:
        """Have a version committed, by an operator in the first region."""
        change = Change("settings", {"limits": {"tryLimit": 2 + number % 2}})
        reached = [read_address(self.control[name]) for name in self._instances_reached()]
        return await propose(reached, [change], "scale", f"change {number}", None, PROPOSAL_TIME)

    def _instances_reached(self) -> list[str]:
        """Names of the control instances that run and that an operator in the first region reaches."""
        here = self.layout.zones[0].region
        return [
            machine.name
            for machine in self.layout.control
            if self.instances[machine.name] not in self.killed
            and (not self.parted or machine.zone.region == here)
        ]

    async def leader(self) -> str:
        """The name of the control instance that leads; of the first, if nobody says so."""
        names = self._instances_reached()
        status = await fetch_status([read_address(self.control[name]) for name in names], STATUS_TIME)
        leaders = [instance.name for instance in status.instances if instance.role == "leader"]
        return leaders[0] if leaders else names[0]

    def kill_instance(self, name: str) -> None:
        """A control machine is gone without a word."""
        self.killed.add(self.instances[name])
        self.instances[name].kill()

    def partition(self, parted: bool) -> None:
        """Part the regions, or have them rejoin."""
        self.parted = parted
        for process in (*self.hosts, *self.reals, *self.instances.values()):
            if process not in self.killed:
                process.say(Partition(parted))

    # Figures

    async def measure(self) -> tuple[list[ProcessFigures], list[ProcessFigures], list[ProcessFigures]]:
        """Figures of the processes of hollow sidecars, of real ones, and of the servers."""
        self.numbers += 1
        groups = (self.hosts, self.reals, [self.servers["discovery"], *self.instances.values()])
        for process in (p for group in groups for p in group):
            if process not in self.killed:
                process.say(Measure(self.numbers))
        hollow, real, serving = [[await self._figures(process) for process in group] for group in groups]
        return hollow, real, serving

    async def _figures(self, process: Process) -> ProcessFigures:
        """What a process has told of itself last."""
        if process not in self.killed:
            self.figures[process] = (await process.expect(Measured)).figures
        return self.figures[process]

    def check(self) -> None:
        """A ProcessLost names a process that has ended, though it should run."""
        for process in self.processes():
            if process.lost and process not in self.killed:
                raise ProcessLost(f"{process.name} has ended: {process.tail()}")


def _uncalled(number: int) -> str:
    """An address for an endpoint that nobody calls; no two are alike."""
    return f"127.250.{number // 250}.{number % 250 + 1}:{UNCALLED_PORT}"
