"""A process with one control instance: the program's own, with a filter that parts it from other regions."""

from __future__ import annotations

import asyncio
from pathlib import Path

import uvloop

from millgw.configuration.durable import DurableState
from millgw.configuration.instance import Instance
from millgw.configuration.replica import Options
from millgw.log import events
from millgw.platform.config import read_address
from millgw.scale.messages import End, Failed, Measure, Measured, OpenControl, Opened, Partition
from millgw.scale.worker import OwnFigures, allow_descriptors, ignore_event, orders, say


class PartedVoter:
    """One voter, and whether its region is parted from the others now."""

    def __init__(self, opening: OpenControl) -> None:
        self.regions = opening.regions
        self.parted = False
        voters = {name: read_address(address) for name, address in opening.voters.items()}
        options = Options(opening.name, tuple(sorted(voters)))
        folder = Path(opening.store)
        folder.mkdir(parents=True, exist_ok=True)
        durable = DurableState.open((folder,), opening.name, True)
        self.instance = Instance(options, voters, durable, opening.seed, self.allowed)

    def allowed(self, sender: str, receiver: str) -> bool:
        """Whether a message may go from one instance to another now."""
        return not self.parted or self.regions[sender] == self.regions[receiver]


async def serve() -> None:
    """Be a control instance until the run ends."""
    figures = OwnFigures.watched()
    voter: PartedVoter | None = None
    async for order in orders():
        if isinstance(order, OpenControl):
            voter = PartedVoter(order)
            await voter.instance.start()
            voter.instance.failed.add_done_callback(_failed)
            say(Opened({order.name: order.voters[order.name]}))
        elif isinstance(order, Partition) and voter is not None:
            voter.parted = order.parted
        elif isinstance(order, Measure):
            say(Measured(order.number, figures.take((), 0)))
        elif isinstance(order, End):
            break
    if voter is not None:
        voter.instance.stop()


def _failed(failed: asyncio.Future[Exception]) -> None:
    if not failed.cancelled():
        say(Failed(str(failed.result())))


def main() -> None:
    """Be the process."""
    allow_descriptors()
    events.set_handler(ignore_event)
    try:
        uvloop.run(serve())
    except OSError as error:
        say(Failed(str(error)))


if __name__ == "__main__":
    main()
