"""A process with one whole daemon, on the event loop that counts bytes and parts regions.

What runs is `millgw.sidecar.__main__.serve`, callers' listener and all. The parts that it puts together are
looked at from here, as those of hollow sidecars are.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Mapping

from millgw.callers.lifecycle import Lifecycle
from millgw.platform.config import Config, read_config
from millgw.scale.figures import SidecarFigures
from millgw.scale.hollow import LOOK_EVERY, PEERS_EVERY, Observed, destinations, known_to
from millgw.scale.messages import End, Failed, Measure, Measured, Partition, Seen, Setup
from millgw.scale.metering import METER, Meter, MeteredLoop
from millgw.scale.settings import environment
from millgw.scale.worker import OwnFigures, allow_descriptors, orders, say
from millgw.sidecar import __main__ as daemon
from millgw.sidecar.assembly import SidecarParts, assemble_from_operator_file


class RealSidecar:
    """The daemon of this process, and what it has come to know."""

    def __init__(self, setup: Setup) -> None:
        self.spec = setup.sidecars[0]
        self.environ = environment(self.spec, setup, 1)
        self.config = read_config(self.environ)
        self.meter = Meter(self.spec.region)
        self.observed = Observed(self.spec.name)
        self.parts: SidecarParts | None = None

    async def put_together(self, config: Config, environ: Mapping[str, str], life: Lifecycle) -> SidecarParts:
        """The daemon's own parts, kept in view."""
        self.parts = await assemble_from_operator_file(config, environ, life)
        return self.parts

    async def serve(self) -> None:
        """Be the daemon until it is told to end."""
        METER.set(self.meter)
        daemon.assemble_from_operator_file = self.put_together  # type: ignore[attr-defined]
        await daemon.serve(self.config, self.environ)

    async def watch(self) -> None:
        """Tell the run what the sidecar comes to know."""
        looks = 0
        while True:
            await asyncio.sleep(LOOK_EVERY)
            looks += 1
            if self.parts is not None:
                known = known_to(self.parts, looks % PEERS_EVERY == 0)
                seen = self.observed.look(time.monotonic(), known)
                if seen:
                    say(Seen(seen))


async def serve(loop: MeteredLoop) -> None:
    """Run the daemon until the run ends."""
    figures = OwnFigures.watched()
    sidecar: RealSidecar | None = None
    tasks: list[asyncio.Task[None]] = []
    async for order in orders():
        if isinstance(order, Setup):
            loop.network.destinations = destinations(order)
            sidecar = RealSidecar(order)
            tasks = [loop.create_task(sidecar.serve()), loop.create_task(sidecar.watch())]
        elif isinstance(order, Measure) and sidecar is not None:
            spent = SidecarFigures(sidecar.spec.name, dict(sidecar.meter.traffic))
            say(Measured(order.number, figures.take((spent,), loop.network.unmetered)))
        elif isinstance(order, Partition):
            loop.network.part() if order.parted else loop.network.rejoin()
        elif isinstance(order, End):
            break
    for task in tasks:
        task.cancel()


def main() -> None:
    """Be the process."""
    allow_descriptors()
    with asyncio.Runner(loop_factory=MeteredLoop) as runner:
        loop = runner.get_loop()
        assert isinstance(loop, MeteredLoop)
        try:
            runner.run(serve(loop))
        except OSError as error:
            say(Failed(str(error)))


if __name__ == "__main__":
    main()
