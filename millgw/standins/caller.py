"""Callers of sidecars: one request at a time on a kept connection, more connections when all are busy."""

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

PAST = 0.4  # s past its patience for which a caller listens, to tell a late answer from none
CONNECT_TIME = 2.0  # s for a connection to a sidecar to come up
PIECE = 1 << 14  # bytes of a long body that are written at once
READ_TURNS = 20  # turns of the loop, a ms apart, in which bytes that have come are read
STILL_LOOKS = 5  # looks in a row, `PAST` apart, at which nothing has moved: then a body or answer has stalled
DOOR_READY = "/-/ready"  # where a sidecar's door says that it can serve
SERVED = 200  # the status of an answer that an endpoint made
LONG = 1 << 16  # bytes beyond which an answer's first bytes are timed, and not its last


def word(call: Call, patience: int) -> bytes:
    """A request as the protocol page has it."""
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
        self.met_end = False  # the other side's end had come by the time its request was written
        self.closed = False
        self.came = 0.0  # when the first bytes of the answer came
        self.arrived = 0.0  # when the last bytes came to this machine
        self.moved = 0.0  # when bytes went or came last
        self.moved_before = 0.0  # that, as it was at the last look
        self.still = 0  # looks in a row since then
        self.slowing: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        # What is written leaves at once, and not when a late loop comes to the end of its turn.
        self.transport.set_write_buffer_limits(high=0)

    @property
    def usable(self) -> bool:
        """Whether it is open and nothing has come on it, also as far as only the kernel knows."""
        transport = self.transport
        return not self.closed and transport is not None and not has_unread(transport)

    def ask(self, call: Call, data: bytes) -> asyncio.Future[None]:
        """Write a request; the future ends when the call has."""
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
        """Write piece by piece at the caller's pace; an answer that comes meanwhile ends it."""
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
        """Whether what has come of an answer tells that it is a long one, whose first bytes are timed."""
        if self.reader is None or not self.any_bytes:
            return False
        told = self.reader.headers.get(b"content-length", b"0")
        return max(len(self.reader.body), int(told)) > LONG

    def stalled(self) -> bool:
        """Whether at one look after the other no byte has gone or come.

        Looks are counted, not time: however long the rig itself did not run, that is one look.
        """
        if self.moved != self.moved_before or self.slowing is not None:
            self.moved_before, self.still = self.moved, 0
        else:
            self.still += 1
        return self.still >= STILL_LOOKS

    def _slow(self, count: int, pace: float) -> None:
        """Read no more for as long as so many bytes take."""
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
            # Bytes that nobody asked for: a second answer to the last request, as far as can be told.
            if self.last is not None:
                self.last.extra += 1
            self.abort()
            return
        age = receive_age(self.transport)  # before the clock: a rig held up between books late, not early
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
            call.sent = call.answered  # answered before all of its body had gone
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
        self.reader = None  # guards against a cycle that would keep both until the collector comes
        self.desk.lines.discard(self)
        if self in self.desk.idle:
            self.desk.idle.remove(self)
        # A kept connection may be closed as a request comes: one that was not read goes once more. So does
        # the first on a connection whose end had come before its last byte was out.
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
            await self._answer(line, call, done)
        except asyncio.CancelledError:
            line.leave(End.LEFT)
            raise

    async def _answer(self, line: Line, call: Call, done: asyncio.Future[None]) -> None:
        """Wait for the answer in the caller's time, and for the rest of a long one that has begun by then."""
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
        """Read what has come and this loop, which may be late, has not; tells whether it ends the call."""
        for _ in range(READ_TURNS):
            if done.done() or line.transport is None or not has_unread(line.transport):
                break
            await asyncio.sleep(0.001)
        return done.done()

    async def _stream(self, line: Line, call: Call, done: asyncio.Future[None]) -> None:
        """Wait for a call whose body goes out by and by; its patience counts from the last byte."""
        while call.sent is None and not done.done():
            await asyncio.wait([done], timeout=PAST)
            if line.stalled():
                call.sent = self.clock()  # all that will ever go: it is the sidecar that takes no more
                raise TimeoutError
        await self._patiently(call, done)

    @staticmethod
    async def _patiently(call: Call, done: asyncio.Future[None]) -> None:
        # Shielded: a time-out that ended the future itself would let no rest of an answer be waited for.
        async with asyncio.timeout(call.patience / 1000 + PAST):
            await asyncio.shield(done)

    async def _rest(self, line: Line, done: asyncio.Future[None]) -> None:
        """Wait for the rest of an answer that has begun, as long as more of it comes."""
        while not done.done():
            await asyncio.wait([done], timeout=PAST)
            if not done.done() and line.stalled():
                line.leave(End.BROKEN)

    def lately(self, within: float) -> tuple[int, int]:
        """How many connections have nothing open, and a request of the last so many ms."""
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
        """Open connections that ask nothing, as a crowd does that comes at once."""
        made = await asyncio.gather(*(self._connect() for _ in range(connections)))
        self.idle.extend(line for line in made if line is not None and not line.closed)

    def close(self) -> None:
        for line in list(self.lines):
            line.abort()


async def ready(address: Address, path: str = "/ready") -> bool:
    """Whether a sidecar answers GET /ready, or that of its door, with 200."""
    return await says_yes(address, "GET", path)


async def says_yes(address: Address, method: str, path: str) -> bool:
    """Whether a call without a body is answered 200."""
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
