"""One run: starts the fleet, plays the schedule, sees how changes spread, and measures what it cost."""

from __future__ import annotations

import asyncio
import shutil
import tempfile
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path

from msgspec import structs

from millgw.rehearsal.cleanup_process import CleanupProcess
from millgw.scale import chain, latency
from millgw.scale.figures import Spent, spent
from millgw.scale.fleet import REPLACEMENT, Fleet
from millgw.scale.layout import Layout, Sizes, draw
from millgw.scale.messages import ListedEndpoint
from millgw.scale.schedule import (
    AllRestart,
    ConfigurationChanged,
    ControlMachineLost,
    Fault,
    ListChanged,
    RegionsParted,
    RegionsRejoined,
    Replaced,
    Step,
    ZoneLost,
    plan,
)
from millgw.scale.spread import Spread, Topic

READY_BASE, READY_EACH = 30.0, 0.12  # s until all are ready at the start: at least, and for each sidecar
PEERS_MOST = 45.0  # s past that for whole lists of peers, which a large fleet has later
TAIL = 60.0  # s past the run that changes are waited for
LOOK_EVERY = 0.1  # s between two looks at who knows what
SETTLE_PART, SETTLE_MOST = 0.5, 15.0  # of the run, and s, after all are ready: joins are still being told
NEVER = 1 << 62  # the index of a version that was not committed
RESTART_WITHIN = 1.0  # s over which all sidecars start again


class NotReady(OSError):
    """The fleet did not come up: nothing was measured."""


@dataclass(slots=True, frozen=True)
class Options:
    """What is to be run. `load`: real sidecars are sent calls."""

    sizes: Sizes
    seconds: float
    fault: Fault = Fault.NONE
    seed: int = 1
    load: bool = True
    settle: float | None = None  # s between the start and what is measured; None for a part of `seconds`


@dataclass(slots=True, frozen=True)
class Expected:
    """A change whose spread is seen to: who is to have which index, from when on."""

    topic: Topic
    what: str
    sidecars: tuple[str, ...]
    index: int
    since: float
    exactly: bool = False


@dataclass(slots=True)
class Result:
    """What a run came to."""

    options: Options
    ready_after: float
    settled: float
    spreads: list[Spread]
    hollow: Spent | None
    real: Spent | None
    servers: Spent
    added: latency.Added | None
    chain: chain.ChainFigures | None
    reversals: list[str]
    unmetered: int
    control_plane: str


Progress = Callable[[str], None]


class Run:
    """One run under way."""

    def __init__(self, options: Options, folder: Path, keeper: CleanupProcess, progress: Progress) -> None:
        self.options = options
        self.layout: Layout = draw(options.sizes, options.seed)
        self.steps = plan(self.layout, options.seconds, options.fault, options.seed)
        self.fleet = Fleet(self.layout, self.steps, options.seed, folder, keeper)
        self.folder = folder
        self.progress = progress
        self.expected: list[Expected] = []
        self.parted = False
        self.version = 0
        self.proposing: list[asyncio.Task[None]] = []
        self.start: Spread

    async def play(self) -> Result:
        """All of it."""
        self.progress("starting")
        try:
            await self.fleet.open()
            return await self._play()
        finally:
            await self.fleet.close()

    async def _play(self) -> Result:
        await self._first_version()
        begun = time.monotonic()
        self.fleet.start_all()
        await self._until_ready(begun)
        ready_after = time.monotonic() - begun
        known = f"{self.start.reached} of {self.start.expected} know all peers"
        self.progress(f"all ready after {ready_after:.1f} s, {known}")
        await self._settle()
        settled = time.monotonic() - begun
        loading = self._load()
        before = await self.fleet.measure()
        try:
            await self._steps()
            after = await self.fleet.measure()
            await asyncio.gather(*self.proposing)
            added = None if loading is None else await loading
        finally:
            if loading is not None:
                loading.cancel()
        await self._tail()
        hollow, real, servers = (spent(a, b) for a, b in zip(before, after, strict=True))
        return Result(
            options=self.options,
            ready_after=ready_after,
            settled=settled,
            spreads=[self.start, *(self._spread(expected) for expected in self.expected)],
            hollow=hollow if self.fleet.hosts else None,
            real=real if self.fleet.reals else None,
            servers=servers,
            added=added,
            chain=self._chain(),
            reversals=self.fleet.sightings.reversals,
            control_plane=f"{self.layout.sizes.control} control instances, all voters",
            unmetered=sum(figures.unmetered for group in after for figures in group),
        )

    async def _first_version(self) -> None:
        """A version for sidecars to start with; it is committed once a leader is elected."""
        result = await self.fleet.propose(0)
        if result.index is None:
            raise NotReady(f"no first version: {result.outcome.value}: {result.cause}")
        self.version = result.index

    # Readiness

    async def _until_ready(self, begun: float) -> None:
        """Wait for lists and configuration everywhere, and a while for whole lists of peers.

        These are no part of being ready: how long they take is told as any other time.
        """
        limit = begun + READY_BASE + READY_EACH * len(self.layout.sidecars)
        running = self.fleet.running()
        expected = Expected(
            Topic.PEERS, "peers, after the start", tuple(running), len(running) - 1, begun, exactly=True
        )
        ready: float | None = None
        while time.monotonic() < limit:
            self.fleet.check()
            if ready is None and not self._missing():
                ready = time.monotonic()
            if ready is not None and (self._spread(expected).whole or time.monotonic() > ready + PEERS_MOST):
                break
            await asyncio.sleep(LOOK_EVERY)
        if missing := self._missing():
            raise NotReady(f"after {time.monotonic() - begun:.0f} s: {missing}")
        self.start = self._spread(expected)

    async def _settle(self) -> None:
        settle = self.options.settle
        if settle is None:
            settle = min(SETTLE_MOST, SETTLE_PART * self.options.seconds)
        end = time.monotonic() + settle
        while time.monotonic() < end:
            self.fleet.check()
            await asyncio.sleep(min(1.0, max(0.0, end - time.monotonic())))

    def _missing(self) -> str:
        """Who is not ready, and for want of what; empty where all are."""
        running = self.fleet.running()
        newest = self.fleet.sightings.newest
        for topic in (Topic.LIST, Topic.CONFIGURATION):
            without = [name for name in running if newest(topic, name) is None]
            if without:
                return f"{len(without)} of {len(running)} without {topic.value}, {without[0]} among them"
        return ""

    # Calls

    def _load(self) -> asyncio.Task[latency.Added] | None:
        sidecars = [member.spec.listen for member in self.fleet.members.values() if member.sidecar.real]
        if not sidecars or not self.options.load:
            return None
        measuring = latency.measure(
            sidecars, self.fleet.live_endpoints, self.options.seconds, self.folder, self.fleet.keeper
        )
        return asyncio.create_task(measuring)

    def _chain(self) -> chain.ChainFigures | None:
        if self.options.fault is not Fault.SLOW_TIER:
            return None
        return chain.play(chain.Shape(), self.options.seed)

    # The schedule

    async def _steps(self) -> None:
        begin = time.monotonic()
        for step in self.steps:
            await asyncio.sleep(max(0.0, begin + step.at - time.monotonic()))
            self.progress(f"{step.at:.1f} s: {type(step).__name__}")
            await self._take(step)
        await asyncio.sleep(max(0.0, begin + self.options.seconds - time.monotonic()))
        self.fleet.check()

    async def _take(self, step: Step) -> None:
        if isinstance(step, ListChanged):
            await self._list_changed(step)
        elif isinstance(step, ConfigurationChanged):
            self._configuration_changed(step)
        elif isinstance(step, ZoneLost):
            await self._zone_lost(step)
        elif isinstance(step, RegionsParted | RegionsRejoined):
            self._regions(isinstance(step, RegionsParted))
        elif isinstance(step, ControlMachineLost):
            self.fleet.kill_instance(await self.fleet.leader())
        elif isinstance(step, AllRestart):
            self._all_restart()
        else:
            await self._replaced(step)

    async def _list_changed(self, step: ListChanged) -> None:
        name = step.sidecar if step.sidecar in self.fleet.endpoints else step.sidecar + REPLACEMENT
        endpoint = self.fleet.endpoints[name]
        weight = 1.5 if endpoint.weight == 1.0 else 1.0
        await self._change("list", [structs.replace(endpoint, weight=weight)])

    async def _change(self, what: str, endpoints: list[ListedEndpoint]) -> None:
        changed = await self.fleet.change_lists(endpoints)
        for service, index in changed.indexes.items():
            watching = self._that_have(Topic.LIST, self.fleet.watching(service))
            self.expected.append(Expected(Topic.LIST, what, watching, index, changed.at))

    def _configuration_changed(self, step: ConfigurationChanged) -> None:
        """Propose a version beside the schedule: while a leader is elected that takes its time."""
        self.proposing.append(asyncio.create_task(self._propose(step.number, self.parted)))

    async def _propose(self, number: int, parted: bool) -> None:
        since = time.monotonic()
        reached = self.fleet.running()
        what = "configuration"
        if parted:
            reached = self.fleet.in_region(self.layout.zones[0].region)
            what = "configuration, in the majority's region"
        sidecars = self._that_have(Topic.CONFIGURATION, reached)
        result = await self.fleet.propose(number)
        index = NEVER if result.index is None else result.index
        if index < NEVER:
            self.version = max(self.version, index)
        else:
            self.progress(f"change {number}: {result.outcome.value}: {result.cause}")
        self.expected.append(Expected(Topic.CONFIGURATION, what, sidecars, index, since))

    def _that_have(self, topic: Topic, names: Iterable[str]) -> tuple[str, ...]:
        """Those that were up when something changed: how soon the others are up is told apart."""
        newest = self.fleet.sightings.newest
        return tuple(name for name in names if newest(topic, name) is not None)

    async def _zone_lost(self, step: ZoneLost) -> None:
        since = time.monotonic()
        self.fleet.stop(step.sidecars, leaving=False)
        for name in step.control:
            self.fleet.kill_instance(name)
        gone = [structs.replace(self.fleet.endpoints[name], status="terminated") for name in step.sidecars]
        await self._change("list, of a lost zone", gone)
        self._expect_peers("peers, without a lost zone", since)

    def _regions(self, parted: bool) -> None:
        self.parted = parted
        since = time.monotonic()
        self.fleet.partition(parted)
        if not parted:
            what = "configuration, once regions rejoin"
            everyone = tuple(self.fleet.running())
            self.expected.append(Expected(Topic.CONFIGURATION, what, everyone, self.version, since))
            self._expect_peers("peers, once regions rejoin", since)

    def _all_restart(self) -> None:
        hollow = [name for name in self.fleet.running() if not self.fleet.members[name].sidecar.real]
        self.fleet.stop(hollow, leaving=False)
        since = time.monotonic()  # behind the end of all that they knew
        self.fleet.start(hollow, RESTART_WITHIN)
        again = tuple(hollow)
        self.expected += [
            Expected(Topic.LIST, "list, after all restart", again, 1, since),
            Expected(Topic.CONFIGURATION, "configuration, after all restart", again, self.version, since),
        ]
        self._expect_peers("peers, after all restart", since)

    async def _replaced(self, step: Replaced) -> None:
        after = step.sidecar + REPLACEMENT
        since = time.monotonic()
        self.fleet.stop((step.sidecar,), leaving=True)
        self.fleet.start((after,), 0.0)
        before = self.fleet.endpoints.pop(step.sidecar)
        self.fleet.endpoints[after] = structs.replace(before, name=after)
        await self._change(
            "list, of a replaced endpoint",
            [structs.replace(before, status="terminated"), self.fleet.endpoints[after]],
        )
        self.expected.append(
            Expected(Topic.CONFIGURATION, "configuration, at a replaced sidecar", (after,), 1, since)
        )
        self._expect_peers("peers, after replacements", since)

    def _expect_peers(self, what: str, since: float) -> None:
        """All that run now are to agree on who is there; the last word of a run on it counts."""
        self.expected = [expected for expected in self.expected if expected.topic is not Topic.PEERS]
        running = tuple(self.fleet.running())
        self.expected.append(Expected(Topic.PEERS, what, running, len(running) - 1, since, exactly=True))

    # The end

    async def _tail(self) -> None:
        """Wait for what is still on its way."""
        limit = time.monotonic() + TAIL
        while time.monotonic() < limit:
            spreads = [self._spread(expected) for expected in self.expected]
            if all(spread.whole for spread in spreads):
                return
            behind = next(spread for spread in spreads if not spread.whole)
            self.progress(f"waiting: {behind.what}, {behind.reached} of {behind.expected}")
            self.fleet.check()
            await asyncio.sleep(5 * LOOK_EVERY)

    def _spread(self, expected: Expected) -> Spread:
        """How it spread among those that still run."""
        running = set(self.fleet.running())
        names = [name for name in expected.sidecars if name in running]
        return self.fleet.sightings.spread(
            expected.topic, expected.what, names, expected.index, expected.since, expected.exactly
        )


async def play(options: Options, progress: Progress = lambda _: None) -> Result:
    """Play a run in a folder of its own; however it ends, its processes end with it."""
    folder = Path(tempfile.mkdtemp(prefix="millgw-scale-"))
    keeper = CleanupProcess(str(folder))
    try:
        return await Run(options, folder, keeper, progress).play()
    finally:
        keeper.close()
        shutil.rmtree(folder, ignore_errors=True)
