"""HTTP client for sidecars: one request at a time per kept connection, a new one when all are busy."""

from __future__ import annotations

import asyncio
from typing import cast

from millgw.http.message import has_unread, peer_closed
from millgw.platform.config import Address
from millgw.standins import http
from millgw.standins.http import AnswerReader, Clock
from millgw.standins.kernel import end_now, receive_age
from millgw.standins.ledger import Call, End
from millgw.standins.request_check import answer_token, filler

PAST = 0.4  # s that a caller listens beyond its time-out, to tell a late answer from a missing one
CONNECT_TIME = 2.0  # s, time-out for opening a connection to a sidecar
PIECE = 1 << 14  # bytes of a paced body per write
READ_TURNS = 20  # iterations, 1 ms apart, in which the event loop may read bytes that the kernel already has
STILL_LOOKS = 5  # consecutive checks without progress, `PAST` s apart, that make a transfer stalled
DOOR_READY = "/-/ready"  # path of the readiness check on the port where a sidecar takes requests
SERVED = 200  # the status of an answer that was produced by an endpoint
LONG = 1 << 16  # body bytes above which an answer is timed by its first bytes instead of its last


def word(call: Call, patience: int) -> bytes:
    """Encode a request as the protocol documentation describes it."""
    return http.ask(
        call.method, call.target, call.host, call.trace, call.cls, call.tenant, call.key, patience,
        filler(call.trace, call.body),
    )  # fmt: skip


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
        self.met_end = False  # the peer had closed by the time that the request was written
        self.closed = False
        self.came = 0.0  # when the first bytes of the answer arrived (ms)
        self.arrived = 0.0  # when the kernel received the last bytes (ms)
        self.moved = 0.0  # when bytes were last sent or received (ms)
        self.moved_before = 0.0  # `moved` as it was at the previous stall check
        self.still = 0  # consecutive stall checks without progress
        self.slowing: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        # Without this, a late event loop may hold written bytes back until the end of its iteration.
        self.transport.set_write_buffer_limits(high=0)

    @property
    def usable(self) -> bool:
        """Whether it is open with no unread bytes, including those that are still in the kernel."""
        transport = self.transport
        return not self.closed and transport is not None and not has_unread(transport)

    def ask(self, call: Call, data: bytes) -> asyncio.Future[None]:
        """Write a request; the returned future is done when the call has ended."""
        assert self.transport is not None
        self.call = self.last = call
        self.any_bytes = self.met_end = False
        self.asked += 1
        self.done = asyncio.get_running_loop().create_future()
        if call.body and call.pace:
            call.began = self.desk.clock()
            asyncio.get_running_loop().create_task(self._write(call, data))
            return self.done
        self.transport.write(data)
        call.sent = self.desk.clock()
        self.met_end = peer_closed(self.transport)
        return self.done

    async def _write(self, call: Call, data: bytes) -> None:
        """Write in pieces at the caller's rate; stops when the answer arrives before the end."""
        assert self.transport is not None
        for at in range(0, len(data), PIECE):
            while self.transport.get_write_buffer_size() > PIECE and self.call is call:
                await asyncio.sleep(PIECE / call.pace)
            if self.call is not call:
                return
            self.transport.write(data[at : at + PIECE])
            self.moved = self.desk.clock()
            await asyncio.sleep(PIECE / call.pace)
        call.sent = self.desk.clock()

    @property
    def long(self) -> bool:
        """Whether the bytes received so far show a long answer, which is timed by its first bytes."""
        if self.reader is None or not self.any_bytes:
            return False
        told = self.reader.headers.get(b"content-length", b"0")
        return max(len(self.reader.body), int(told)) > LONG

    def stalled(self) -> bool:
        """Whether no byte was sent or received for `STILL_LOOKS` consecutive checks.

        Checks are counted instead of time: a pause of the test process itself counts as one check only.
        """
        if self.moved != self.moved_before or self.slowing is not None:
            self.moved_before, self.still = self.moved, 0
        else:
            self.still += 1
        return self.still >= STILL_LOOKS

    def _slow(self, count: int, pace: float) -> None:
        """Pause reading for as long as `count` bytes take at the rate `pace` (bytes per s)."""
        assert self.transport is not None
        if self.slowing is None:
            self.transport.pause_reading()
            self.slowing = asyncio.get_running_loop().call_later(count / pace, self._read_on)

    def _read_on(self) -> None:
        self.slowing = None
        self.moved = self.desk.clock()
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        if self.call is None:
            # Unsolicited bytes are taken for a second answer to the last request.
            if self.last is not None:
                self.last.extra += 1
            self.abort()
            return
        # Read before the clock, so that a pause in between makes the recorded time late, never early.
        age = receive_age(self.transport)
        self.moved = self.desk.clock()
        self.arrived = self.moved - age
        if not self.any_bytes:
            self.any_bytes = True
            self.came = self.arrived
        call = self.call
        if self.reader is None or not self.reader.feed(data):
            self._end(End.BROKEN)
            self.abort()
        elif self.call is call:
            if self.reader.status == SERVED:
                call.begun = self.came
            if call.pace and len(self.reader.body) > LONG:
                self._slow(len(data), call.pace)

    def _whole(self, code: int, headers: dict[bytes, bytes], body: bytes) -> None:
        call = self.call
        if call is None:
            if self.last is not None:
                self.last.extra += 1
            return
        call.answered = self.came if len(body) > LONG else self.arrived
        call.status, call.token = code, answer_token(body)
        if call.sent is None:
            call.sent = call.answered  # answered before the whole body was written
            self._end(End.ANSWERED)
            self.abort()
            return
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
        if self.transport is not None:
            end_now(self.transport)
        self._end(end)
        self.abort()

    def abort(self) -> None:
        if self in self.desk.idle:
            self.desk.idle.remove(self)
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self.reader = None  # the reference cycle would keep both alive until the garbage collector runs
        self.desk.lines.discard(self)
        if self in self.desk.idle:
            self.desk.idle.remove(self)
        # A server may close an idle kept connection just as a request is sent; such a request is sent again.
        # So is the first one on a connection that the peer had closed before its last byte was written.
        crossed = (self.asked > 1 or self.met_end) and not self.any_bytes
        self._end(End.CROSSED if crossed else End.BROKEN)


class Desk:
    """All connections of callers to one sidecar."""

    def __init__(self, name: str, address: Address, clock: Clock) -> None:
        self.name = name
        self.address = address
        self.clock = clock
        self.idle: list[Line] = []
        self.lines: set[Line] = set()

    async def ask(self, call: Call, fresh: bool = False) -> None:
        """Make a call and wait until it ends; the outcome is stored in `call`.

        `call.patience` (ms) counts from the last byte written. `fresh` forces a new connection, for a request
        sent again after `End.CROSSED`. Cancel the task to simulate a caller that disconnects.
        """
        line = None if fresh else self._idle()
        if line is None:
            line = await self._connect()
        if line is None:
            call.end = End.NOT_TAKEN
            return
        done = line.ask(call, word(call, max(1, int(call.patience))))
        try:
            await self._answer(line, call, done)
        except asyncio.CancelledError:
            line.leave(End.LEFT)
            raise

    async def _answer(self, line: Line, call: Call, done: asyncio.Future[None]) -> None:
        """Wait for the answer until the time-out, and for the rest of a long one that has started by then."""
        try:
            if call.sent is None:
                await self._stream(line, call, done)
            else:
                await self._patiently(call, done)
        except TimeoutError:
            if line.long:
                await self._rest(line, done)
            elif not await self._read_waiting(line, done):
                line.leave(End.LOST)

    @staticmethod
    async def _read_waiting(line: Line, done: asyncio.Future[None]) -> bool:
        """Let a late event loop read bytes that the kernel already has; returns whether they end the call."""
        for _ in range(READ_TURNS):
            if done.done() or line.transport is None or not has_unread(line.transport):
                break
            await asyncio.sleep(0.001)
        return done.done()

    async def _stream(self, line: Line, call: Call, done: asyncio.Future[None]) -> None:
        """Wait for a call whose body is written at a limited rate; its time-out starts at the last byte."""
        while call.sent is None and not done.done():
            await asyncio.wait([done], timeout=PAST)
            if line.stalled():
                call.sent = self.clock()  # the sidecar has stopped reading: no more will be sent
                raise TimeoutError
        await self._patiently(call, done)

    @staticmethod
    async def _patiently(call: Call, done: asyncio.Future[None]) -> None:
        # Shielded, as the time-out would cancel the future and `_rest` could not wait for it any more.
        async with asyncio.timeout(call.patience / 1000 + PAST):
            await asyncio.shield(done)

    async def _rest(self, line: Line, done: asyncio.Future[None]) -> None:
        """Wait for the rest of an answer that has started, as long as more bytes arrive."""
        while not done.done():
            await asyncio.wait([done], timeout=PAST)
            if not done.done() and line.stalled():
                line.leave(End.BROKEN)

    def lately(self, within: float) -> tuple[int, int]:
        """Count connections without an open request, and those with one sent in the last `within` ms."""
        since = self.clock() - within
        idle = [line for line in self.lines if line.call is None]
        calls = [line.call for line in self.lines if line.call is not None]
        return len(idle), sum(call.sent is not None and call.sent > since for call in calls)

    def _idle(self) -> Line | None:
        while self.idle:
            line = self.idle.pop()
            if line.usable:
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
        """Open idle connections, as a sudden crowd of clients does."""
        made = await asyncio.gather(*(self._connect() for _ in range(connections)))
        self.idle.extend(line for line in made if line is not None and not line.closed)

    def close(self) -> None:
        for line in list(self.lines):
            line.abort()


async def ready(address: Address, path: str = "/ready") -> bool:
    """Whether a sidecar answers GET with 200 at its readiness path."""
    return await says_yes(address, "GET", path)


async def says_yes(address: Address, method: str, path: str) -> bool:
    """Whether a request without a body is answered with 200."""
    try:
        async with asyncio.timeout(CONNECT_TIME):
            reader, writer = await asyncio.open_connection(address.host, address.port)
            try:
                writer.write(f"{method} {path} HTTP/1.1\r\nHost: rig\r\nConnection: close\r\n\r\n".encode())
                return (await reader.readline()).split()[1:2] == [b"200"]
            finally:
                writer.close()
    except OSError:
        return False
