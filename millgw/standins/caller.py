"""Callers of sidecars: one request at a time on a kept connection, more connections when all are busy."""

from __future__ import annotations

import asyncio
from typing import cast

from millgw.platform.config import Address
from millgw.standins import http
from millgw.standins.endpoint import token
from millgw.standins.http import AnswerReader, Clock
from millgw.standins.ledger import Call, End

PAST = 0.4  # s past its patience for which a caller listens, to tell a late answer from none
CONNECT_TIME = 2.0  # s for a connection to a sidecar to come up


def word(call: Call, patience: int) -> bytes:
    """A request as the protocol page has it."""
    return http.ask(
        call.method, call.target, call.host, call.trace, call.cls, call.tenant, call.key, patience, b""
    )


class Line(asyncio.Protocol):
    """One connection to a sidecar."""

    def __init__(self, desk: Desk) -> None:
        self.desk = desk
        self.transport: asyncio.Transport | None = None
        self.reader: AnswerReader | None = AnswerReader(self._whole)
        self.call: Call | None = None
        self.last: Call | None = None
        self.done: asyncio.Future[None] | None = None
        self.asked = 0
        self.any_bytes = False
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def ask(self, call: Call, data: bytes) -> asyncio.Future[None]:
        """Write a request; the future ends when the call has."""
        assert self.transport is not None
        self.call = self.last = call
        self.any_bytes = False
        self.asked += 1
        self.done = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        call.sent = self.desk.clock()
        return self.done

    def data_received(self, data: bytes) -> None:
        if self.call is None:
            # Bytes that nobody asked for: a second answer to the last request, as far as can be told.
            if self.last is not None:
                self.last.extra += 1
            self.abort()
            return
        self.any_bytes = True
        if self.reader is None or not self.reader.feed(data):
            self._end(End.BROKEN)
            self.abort()

    def _whole(self, code: int, headers: dict[bytes, bytes], body: bytes) -> None:
        call = self.call
        if call is None:
            if self.last is not None:
                self.last.extra += 1
            return
        call.answered, call.status, call.token = self.desk.clock(), code, token(body)
        if b"retry-after" in headers:
            call.retry_after = float(headers[b"retry-after"]) * 1000
        keep = self.reader is not None and self.reader.keep
        self._end(End.ANSWERED)
        if keep:
            self.desk.idle.append(self)
        else:
            self.abort()

    def _end(self, end: End) -> None:
        call, self.call = self.call, None
        if call is not None:
            call.end = end
            call.closed = None if end is End.ANSWERED else self.desk.clock()
        if self.done is not None and not self.done.done():
            self.done.set_result(None)

    def leave(self, end: End) -> None:
        self._end(end)
        self.abort()

    def abort(self) -> None:
        if self in self.desk.idle:
            self.desk.idle.remove(self)
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self.reader = None  # guards against a cycle that would keep both until the collector comes
        self.desk.lines.discard(self)
        if self in self.desk.idle:
            self.desk.idle.remove(self)
        # A kept connection may be closed as a request comes: one that was not read goes once more.
        self._end(End.CROSSED if self.asked > 1 and not self.any_bytes else End.BROKEN)


class Desk:
    """All connections of callers to one sidecar."""

    def __init__(self, name: str, address: Address, clock: Clock) -> None:
        self.name = name
        self.address = address
        self.clock = clock
        self.idle: list[Line] = []
        self.lines: set[Line] = set()

    async def ask(self, call: Call, fresh: bool = False) -> None:
        """Make a call and wait for its end, which stands in the record.

        `call.patience` (ms) counts from the writing; `fresh` is for one sent again after a crossed close. A
        planned leaving is by cancellation.
        """
        line = None if fresh else self._idle()
        if line is None:
            line = await self._connect()
        if line is None:
            call.end = End.NOT_TAKEN
            return
        done = line.ask(call, word(call, max(1, int(call.patience))))
        try:
            async with asyncio.timeout(call.patience / 1000 + PAST):
                await done
        except TimeoutError:
            line.leave(End.LOST)
        except asyncio.CancelledError:
            line.leave(End.LEFT)
            raise

    def _idle(self) -> Line | None:
        while self.idle:
            line = self.idle.pop()
            if not line.closed and line.transport is not None and not line.transport.is_closing():
                return line
        return None

    async def _connect(self) -> Line | None:
        try:
            async with asyncio.timeout(CONNECT_TIME):
                _, line = await asyncio.get_running_loop().create_connection(
                    lambda: Line(self), self.address.host, self.address.port
                )
        except OSError:
            return None
        self.lines.add(line)
        return line

    async def hold(self, connections: int) -> None:
        """Open connections that ask nothing, as a crowd does that comes at once."""
        made = await asyncio.gather(*(self._connect() for _ in range(connections)))
        self.idle.extend(line for line in made if line is not None and not line.closed)

    def close(self) -> None:
        for line in list(self.lines):
            line.abort()


async def ready(address: Address) -> bool:
    """Whether a sidecar answers GET /ready with 200."""
    try:
        async with asyncio.timeout(CONNECT_TIME):
            reader, writer = await asyncio.open_connection(address.host, address.port)
            try:
                writer.write(b"GET /ready HTTP/1.1\r\nHost: rig\r\nConnection: close\r\n\r\n")
                return (await reader.readline()).split()[1:2] == [b"200"]
            finally:
                writer.close()
    except OSError:
        return False
