"""A process of hollow sidecars: the daemon's own parts for control, put together as the daemon does it.

Only its callers' listeners are never opened, so no call comes. Lists, peers, configuration and the decision
module are those of `millgw.sidecar.assembly`; what is handed in is the event loop, which counts bytes and
parts regions.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Sequence
from contextvars import copy_context

from millgw.callers.lifecycle import Lifecycle
from millgw.log import events
from millgw.platform.config import Address, read_address, read_config
from millgw.platform.discovery import Discovery
from millgw.scale.figures import Part, SidecarFigures
from millgw.scale.messages import (
    End,
    Failed,
    Measure,
    Measured,
    Order,
    Partition,
    Seen,
    Setup,
    SidecarSpec,
    Sighting,
    Start,
    Stop,
)
from millgw.scale.metering import METER, Destination, Meter, MeteredLoop
from millgw.scale.settings import environment
from millgw.scale.spread import Topic
from millgw.scale.worker import OwnFigures, allow_descriptors, ignore_event, orders, say
from millgw.sidecar import __main__ as daemon
from millgw.sidecar.assembly import SidecarParts, assemble_from_operator_file

LOOK_EVERY = 0.05  # s between two looks at what each sidecar knows
PEERS_EVERY = 20  # looks between two at the peers' lists, which are long


class Observed:
    """What one sidecar knows, as it was told last: only what has changed is told again."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.told: dict[Topic, int] = {}

    def look(self, now: float, known: dict[Topic, int]) -> list[Sighting]:
        """What has changed since the look before."""
        changed = [topic for topic, index in known.items() if self.told.get(topic) != index]
        self.told |= known
        return [Sighting(topic, self.name, known[topic], now) for topic in changed]


def known_to(parts: SidecarParts, peers_too: bool) -> dict[Topic, int]:
    """The indexes that a sidecar has: its list's, its configuration's, how many peers it holds alive."""
    known: dict[Topic, int] = {}
    source = parts.pools()[0].source
    if isinstance(source, Discovery) and source.index is not None:
        known[Topic.LIST] = source.index
    if parts.configuration is not None and parts.configuration.follower.applied:
        known[Topic.CONFIGURATION] = parts.configuration.follower.applied
    if peers_too and parts.peers is not None:
        known[Topic.PEERS] = len(parts.peers.swim.alive())
    return known


class HollowSidecar:
    """One sidecar, through its restarts."""

    def __init__(self, spec: SidecarSpec, setup: Setup) -> None:
        self.spec = spec
        self.setup = setup
        self.meter = Meter(spec.region)
        self.observed = Observed(spec.name)
        self.parts: SidecarParts | None = None
        self.starting: asyncio.Task[None] | None = None
        self.watching: asyncio.Task[None] | None = None
        self.starts = 0

    def start(self, after: float) -> None:
        """Start after some seconds, as a process of its own would."""
        context = copy_context()
        context.run(METER.set, self.meter)
        loop = asyncio.get_running_loop()
        self.starting = loop.create_task(self._start(after), context=context)

    async def _start(self, after: float) -> None:
        await asyncio.sleep(after)
        self.starts += 1
        self.observed = Observed(self.spec.name)
        environ = environment(self.spec, self.setup, self.starts)
        config = read_config(environ)
        self.parts = parts = await assemble_from_operator_file(config, environ, Lifecycle())
        parts.start_pools(None)
        if parts.peers is not None:
            await parts.peers.start()
        self.watching = asyncio.create_task(daemon.update_readiness(parts))

    def stop(self, leaving: bool) -> None:
        """End; `leaving` says so to the peers, as a process that is told to end does."""
        for task in (self.starting, self.watching):
            if task is not None:
                task.cancel()
        if self.parts is None:
            return
        if self.parts.configuration is not None:
            self.parts.configuration.stop()
        peers = self.parts.peers
        if peers is not None:
            if not leaving and peers.transport is not None:
                silent, peers.transport = peers.transport, None
                silent.close()
            peers.stop()
        for pool in self.parts.pools():
            pool.retire()
        self.parts = None

    def look(self, now: float, peers_too: bool) -> list[Sighting]:
        """What it has come to know."""
        if self.parts is None:
            return []
        return self.observed.look(now, known_to(self.parts, peers_too))

    def figures(self) -> SidecarFigures:
        """Its traffic so far."""
        return SidecarFigures(self.spec.name, dict(self.meter.traffic))


class Host:
    """All hollow sidecars of this process."""

    def __init__(self, setup: Setup, loop: MeteredLoop) -> None:
        self.loop = loop
        self.rng = random.Random(setup.seed)
        self.sidecars = {spec.name: HollowSidecar(spec, setup) for spec in setup.sidecars}
        self.looks = 0
        loop.network.destinations = destinations(setup)

    def start(self, names: Sequence[str], within: float) -> None:
        """Start some, each at a time drawn within some seconds."""
        for name in names:
            self.sidecars[name].start(self.rng.uniform(0.0, within))

    def stop(self, names: Sequence[str], leaving: bool) -> None:
        """End some."""
        for name in names:
            self.sidecars[name].stop(leaving)

    async def watch(self) -> None:
        """Tell the run what sidecars come to know."""
        while True:
            await asyncio.sleep(LOOK_EVERY)
            self.looks += 1
            peers_too = self.looks % PEERS_EVERY == 0
            now = time.monotonic()
            seen = [s for sidecar in self.sidecars.values() for s in sidecar.look(now, peers_too)]
            if seen:
                say(Seen(seen))

    def figures(self) -> list[SidecarFigures]:
        """Of those that run."""
        return [sidecar.figures() for sidecar in self.sidecars.values() if sidecar.parts is not None]


def destinations(setup: Setup) -> dict[Address, Destination]:
    """What control finds at each address of the fleet."""
    return {
        read_address(place.address): Destination(Part(place.part), place.region) for place in setup.places
    }


async def serve(loop: MeteredLoop) -> None:
    """Run sidecars until the run ends."""
    figures = OwnFigures.watched()
    host: Host | None = None
    watching: asyncio.Task[None] | None = None
    async for order in orders():
        if isinstance(order, Setup):
            host = Host(order, loop)
            watching = loop.create_task(host.watch())
        elif isinstance(order, End) or host is None:
            break
        else:
            carry_out(order, host, figures)
    if watching is not None:
        watching.cancel()


def carry_out(order: Order, host: Host, figures: OwnFigures) -> None:
    """Do what the run asks for."""
    if isinstance(order, Start):
        host.start(order.names, order.within)
    elif isinstance(order, Stop):
        host.stop(order.names, order.leaving)
    elif isinstance(order, Measure):
        say(Measured(order.number, figures.take(host.figures(), host.loop.network.unmetered)))
    elif isinstance(order, Partition):
        host.loop.network.part() if order.parted else host.loop.network.rejoin()


def main() -> None:
    """Be the process."""
    allow_descriptors()
    events.set_handler(ignore_event)
    with asyncio.Runner(loop_factory=MeteredLoop) as runner:
        loop = runner.get_loop()
        assert isinstance(loop, MeteredLoop)
        try:
            runner.run(serve(loop))
        except OSError as error:
            say(Failed(str(error)))


if __name__ == "__main__":
    main()
