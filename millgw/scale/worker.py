"""What every process of a run shares: orders on standard input, words on standard output, its own figures.

The end of standard input ends the process, so that none outlives a run however the run ended.
"""

from __future__ import annotations

import asyncio
import os
import resource
import sys
import time
from collections.abc import AsyncIterator, Sequence
from pathlib import Path

from millgw.scale.figures import ProcessFigures, SidecarFigures
from millgw.scale.messages import Order, Word, decode_order, encode

LONGEST_ORDER = 16 * 1024 * 1024  # bytes: the setup of a hundred sidecars names all addresses of the fleet
WAKE_EVERY = 0.05  # s between two looks at how late the loop is
PAGE = os.sysconf("SC_PAGE_SIZE")


def memory() -> int:
    """Bytes of this process that are resident now."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE


def allow_descriptors() -> None:
    """Take as many descriptors as this process may have."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def ignore_event(event: str, fields: dict[str, object]) -> None:
    """A log handler: a hundred sidecars' events in one log are of no use to anybody."""


def say(word: Word) -> None:
    """Tell the run something."""
    sys.stdout.buffer.write(encode(word))
    sys.stdout.buffer.flush()


async def orders() -> AsyncIterator[Order]:
    """Orders as they come, until the run has no more."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=LONGEST_ORDER)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin.buffer)
    while line := await reader.readline():
        yield decode_order(line)


class Lateness:
    """How late the loop is woken: what a loaded machine does to all that is timed on it."""

    def __init__(self) -> None:
        self.samples: list[float] = []

    async def watch(self) -> None:
        """Look on until cancelled."""
        while True:
            due = time.monotonic() + WAKE_EVERY
            await asyncio.sleep(WAKE_EVERY)
            self.samples.append(max(0.0, time.monotonic() - due))

    def begin(self) -> None:
        """Forget what was before a window."""
        self.samples.clear()

    def p99(self) -> float:
        """s that one in a hundred wakings was late at the least."""
        ordered = sorted(self.samples)
        return ordered[int(0.99 * (len(ordered) - 1))] if ordered else 0.0

    def worst(self) -> float:
        """s that the latest waking was late."""
        return max(self.samples, default=0.0)


class OwnFigures:
    """The figures of this process, its memory before the first sidecar among them."""

    def __init__(self, lateness: Lateness) -> None:
        self.lateness = lateness
        self.base = memory()
        self.watching: asyncio.Task[None] | None = None

    @classmethod
    def watched(cls) -> OwnFigures:
        """Figures of this process, whose lateness is watched from now on."""
        lateness = Lateness()
        figures = cls(lateness)
        figures.watching = asyncio.get_running_loop().create_task(lateness.watch())
        return figures

    def take(self, sidecars: Sequence[SidecarFigures], unmetered: int) -> ProcessFigures:
        """As of now; lateness counts from here anew."""
        figures = ProcessFigures(
            cpu=time.process_time(),
            at=time.monotonic(),
            memory=memory(),
            base_memory=self.base,
            late_p99=self.lateness.p99(),
            late_worst=self.lateness.worst(),
            sidecars=list(sidecars),
            unmetered=unmetered,
        )
        self.lateness.begin()
        return figures
