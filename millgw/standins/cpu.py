"""Simulated CPU of a stand-in endpoint in real time: runs the `Processor` model on the event loop."""

from __future__ import annotations

import asyncio

from millgw.standins.capacity import Processor
from millgw.standins.http import Clock
from millgw.standins.ledger import Life


class Cpu:
    """The CPU of one endpoint life, with a timer for the job that ends next."""

    def __init__(self, life: Life, cores: int, slowness: float, clock: Clock) -> None:
        self.clock = clock
        self.processor = Processor(life, cores)
        self.processor.slowness = slowness
        self.timer: asyncio.TimerHandle | None = None

    async def run(self, work: float) -> None:
        """Do `work` core-ms, and wait until they are done."""
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._settle(self.processor.add(self.clock(), work, done))
        self._schedule()
        await done

    def add(self, work: float) -> None:
        """Start `work` core-ms without waiting for them."""
        self._settle(self.processor.add(self.clock(), work, None))
        self._schedule()

    def slow(self, times: float) -> None:
        """Divide the speed by `times` from now on."""
        self._settle(self.processor.advance(self.clock()))
        self.processor.slowness = times
        self._schedule()

    def stop(self) -> None:
        """Discard all work."""
        self._cancel_timer()
        self.processor.clear()

    @staticmethod
    def _settle(ended: list[object]) -> None:
        for job in ended:
            if isinstance(job, asyncio.Future) and not job.done():
                job.set_result(None)

    def _schedule(self) -> None:
        self._cancel_timer()
        due = self.processor.due()
        if due is not None:
            delay = max(0.0, due - self.clock()) / 1000
            self.timer = asyncio.get_running_loop().call_later(delay, self._tick)

    def _cancel_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _tick(self) -> None:
        self.timer = None
        self._settle(self.processor.advance(self.clock()))
        self._schedule()
