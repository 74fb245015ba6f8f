"""Connections to one target: kept, bounded, opened ahead; one request at a time on each.

A request is a `Job`: it is told `go` when a connection is there for it, then what became of it. Jobs wait in
the order in which they came. How a connection is made is handed in (`Dial`): directly, or through a proxy.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol, cast

from millgw.platform.config import Address
from millgw.standins.http import AnswerReader

CONNECT_TIME = 2.0  # s for a connection to come up
Dial = Callable[[Callable[[], asyncio.Protocol], Address], Awaitable[object]]


async def direct(make: Callable[[], asyncio.Protocol], target: Address) -> object:
    """A connection straight to the target."""
    return await asyncio.get_running_loop().create_connection(make, target.host, target.port)


class Job(Protocol):
    """A request that wants a connection."""

    def go(self, line: Line) -> None:
        """Write to this connection now, by `line.ask`."""

    def answered(self, status: int, headers: dict[bytes, bytes]) -> None: ...

    def broken(self, crossed: bool) -> None:
        """The connection ended; `crossed`: it was a kept one, and nothing came back."""

    def not_taken(self) -> None:
        """No connection came up for it."""


class Line(asyncio.Protocol):
    """One connection."""

    def __init__(self, lines: Lines) -> None:
        self.lines = lines
        self.transport: asyncio.Transport | None = None
        self.reader: AnswerReader | None = AnswerReader(self._whole)
        self.job: Job | None = None
        self.asked = 0
        self.any_bytes = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def ask(self, job: Job, data: bytes) -> None:
        """Write a request."""
        assert self.transport is not None
        self.job = job
        self.asked += 1
        self.any_bytes = False
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        self.any_bytes = True
        if self.job is None or self.reader is None or not self.reader.feed(data):
            self.abort()  # bytes that nobody asked for, or that are no answer

    def _whole(self, status: int, headers: dict[bytes, bytes], _: bytes) -> None:
        job, self.job = self.job, None
        if job is None:
            self.abort()
            return
        if self.reader is not None and self.reader.keep_alive:
            self.lines.free(self)
        else:
            self.abort()
        job.answered(status, headers)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def leave(self) -> None:
        """Its request is given up."""
        self.job = None
        self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.reader = None  # guards against a cycle that would keep both until the collector comes
        self.lines.lost(self)
        job, self.job = self.job, None
        if job is not None:
            job.broken(self.asked > 1 and not self.any_bytes)


class Lines:
    """All connections to one target, `most` at the most."""

    def __init__(self, target: Address, most: int, dial: Dial = direct) -> None:
        self.target = target
        self.most = most
        self.dial = dial
        self.idle: list[Line] = []
        self.lines: set[Line] = set()
        self.opening: set[asyncio.Task[None]] = set()
        self.waiting: dict[Job, None] = {}  # in the order in which they came
        self.handshakes = 0
        self.full = 0  # jobs that found all connections busy, and no more allowed
        self.closed = False

    def take(self, job: Job) -> bool:
        """Give a job a connection, now or when there is one; tells whether only the bound makes it wait."""
        while self.idle:
            line = self.idle.pop()
            if line.transport is not None and not line.transport.is_closing():
                job.go(line)
                return False
        self.waiting[job] = None
        if len(self.lines) + len(self.opening) < self.most:
            self.open()
            return False
        # Guards against a wait for a handshake that is taken for one of this side's making.
        bound = len(self.waiting) > len(self.opening)
        self.full += bound
        return bound

    def open(self) -> None:
        """Open one more."""
        task = asyncio.get_running_loop().create_task(self._open())
        self.opening.add(task)
        task.add_done_callback(self.opening.discard)

    async def _open(self) -> None:
        line = Line(self)
        self.handshakes += 1
        try:
            async with asyncio.timeout(CONNECT_TIME):
                await self.dial(lambda: line, self.target)
        except OSError:
            self._not_up()
            return
        if self.closed:
            line.abort()
        elif line.transport is not None and not line.transport.is_closing():
            self.lines.add(line)
            self.free(line)

    def drop(self, job: Job) -> None:
        """It wants no connection any more."""
        self.waiting.pop(job, None)

    def _first(self) -> Job | None:
        job = next(iter(self.waiting), None)
        if job is not None:
            del self.waiting[job]
        return job

    def _not_up(self) -> None:
        job = self._first()
        if job is not None:
            job.not_taken()

    def free(self, line: Line) -> None:
        """A connection has nothing to do: the job that waits for longest has it."""
        job = self._first()
        if job is None:
            self.idle.append(line)
        else:
            job.go(line)

    def lost(self, line: Line) -> None:
        self.lines.discard(line)
        if line in self.idle:
            self.idle.remove(line)
        room = not self.closed and len(self.lines) + len(self.opening) < self.most
        if room and len(self.waiting) > len(self.opening):
            self.open()

    def close(self) -> None:
        self.closed = True
        for line in list(self.lines):
            line.abort()
        for task in list(self.opening):
            task.cancel()
