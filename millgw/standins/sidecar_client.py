"""HTTP client for sidecars: one request at a time per kept connection, a new one when all are busy."""

from __future__ import annotations

import asyncio
from typing import cast

from millgw.http.message import has_unread, peer_closed
from millgw.platform.config import Address
from millgw.standins import http
from millgw.standins.http import AnswerReader, Clock
from millgw.standins.kernel import receive_age, send_fin
from millgw.standins.ledger import Call, End
from millgw.standins.request_check import answer_digest, make_body

LATE_ANSWER_TIME = 0.4  # s that a caller listens beyond its time-out, to tell a late answer from none
CONNECT_TIMEOUT = 2.0  # s, time-out for opening a connection to a sidecar
WRITE_SIZE = 1 << 14  # bytes of a paced body per write
READ_ITERATIONS = 20  # event loop iterations, 1 ms apart, given to read bytes that the kernel has
# Consecutive checks without progress, `LATE_ANSWER_TIME` s apart, that make a transfer stalled.
STALL_CHECKS = 5
REQUEST_PORT_READY = "/-/ready"  # path of the readiness check on the port where a sidecar takes requests
STATUS_OK = 200  # the status of an answer that was produced by an endpoint
LONG_ANSWER = 1 << 16  # body bytes above which an answer is timed by its first bytes instead of its last


def encode_call(call: Call, patience: int) -> bytes:
    """Encode a request as the protocol documentation describes it."""
    return http.encode_request(
        call.method, call.target, call.host, call.trace, call.cls, call.tenant, call.key, patience,
        make_body(call.trace, call.body),
    )  # fmt: skip


class ClientConnection(asyncio.Protocol):
    """One connection to a sidecar."""

    def __init__(self, client: SidecarClient) -> None:
        self.client = client
        self.transport: asyncio.Transport | None = None
        self.reader: AnswerReader | None = AnswerReader(self._on_answer)
        self.call: Call | None = None
        self.last_call: Call | None = None
        self.done: asyncio.Future[None] | None = None
        self.requests = 0
        self.answer_started = False
        self.peer_had_closed = False  # the peer had closed by the time that the request was written
        self.closed = False
        self.first_bytes_at = 0.0  # when the first bytes of the answer arrived (ms)
        self.last_bytes_at = 0.0  # when the kernel received the last bytes (ms)
        self.progress_at = 0.0  # when bytes were last sent or received (ms)
        self.checked_progress_at = 0.0  # `progress_at` as it was at the previous stall check
        self.checks_without_progress = 0  # consecutive stall checks without progress
        self.read_pause: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        # Without this, a late event loop may hold written bytes back until the end of its iteration.
        self.transport.set_write_buffer_limits(high=0)

    @property
    def usable(self) -> bool:
        """Whether it is open with no unread bytes, including those that are still in the kernel."""
        transport = self.transport
        return not self.closed and transport is not None and not has_unread(transport)

    def send(self, call: Call, data: bytes) -> asyncio.Future[None]:
        """Write a request; the returned future is done when the call has ended."""
        assert self.transport is not None
        self.call = self.last_call = call
        self.answer_started = self.peer_had_closed = False
        self.requests += 1
        self.done = asyncio.get_running_loop().create_future()
        if call.body and call.pace:
            call.began = self.client.clock()
            asyncio.get_running_loop().create_task(self._write(call, data))
            return self.done
        self.transport.write(data)
        call.sent = self.client.clock()
        self.peer_had_closed = peer_closed(self.transport)
        return self.done

    async def _write(self, call: Call, data: bytes) -> None:
        """Write in pieces at the caller's rate; stops when the answer arrives before the end."""
        assert self.transport is not None
        for at in range(0, len(data), WRITE_SIZE):
            while self.transport.get_write_buffer_size() > WRITE_SIZE and self.call is call:
                await asyncio.sleep(WRITE_SIZE / call.pace)
            if self.call is not call:
                return
            self.transport.write(data[at : at + WRITE_SIZE])
            self.progress_at = self.client.clock()
            await asyncio.sleep(WRITE_SIZE / call.pace)
        call.sent = self.client.clock()

    @property
    def answer_is_long(self) -> bool:
        """Whether the bytes received so far show a long answer, which is timed by its first bytes."""
        if self.reader is None or not self.answer_started:
            return False
        length = self.reader.headers.get(b"content-length", b"0")
        return max(len(self.reader.body), int(length)) > LONG_ANSWER

    def check_stalled(self) -> bool:
        """Whether no byte was sent or received for `STALL_CHECKS` consecutive checks.

        Checks are counted instead of time: a pause of the test process itself counts as one check only.
        """
        if self.progress_at != self.checked_progress_at or self.read_pause is not None:
            self.checked_progress_at, self.checks_without_progress = self.progress_at, 0
        else:
            self.checks_without_progress += 1
        return self.checks_without_progress >= STALL_CHECKS

    def _pause_reading(self, count: int, pace: float) -> None:
        """Pause reading for as long as `count` bytes take at the rate `pace` (bytes per s)."""
        assert self.transport is not None
        if self.read_pause is None:
            self.transport.pause_reading()
            self.read_pause = asyncio.get_running_loop().call_later(count / pace, self._resume_reading)

    def _resume_reading(self) -> None:
        self.read_pause = None
        self.progress_at = self.client.clock()
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        if self.call is None:
            # Unsolicited bytes are taken for a second answer to the last request.
            if self.last_call is not None:
                self.last_call.extra += 1
            self.abort()
            return
        # Read before the clock, so that a pause in between makes the recorded time late, never early.
        age = receive_age(self.transport)
        self.progress_at = self.client.clock()
        self.last_bytes_at = self.progress_at - age
        if not self.answer_started:
            self.answer_started = True
            self.first_bytes_at = self.last_bytes_at
        call = self.call
        if self.reader is None or not self.reader.feed(data):
            self._end(End.BROKEN)
            self.abort()
        elif self.call is call:
            if self.reader.status == STATUS_OK:
                call.begun = self.first_bytes_at
            if call.pace and len(self.reader.body) > LONG_ANSWER:
                self._pause_reading(len(data), call.pace)

    def _on_answer(self, code: int, headers: dict[bytes, bytes], body: bytes) -> None:
        call = self.call
        if call is None:
            if self.last_call is not None:
                self.last_call.extra += 1
            return
        call.answered = self.first_bytes_at if len(body) > LONG_ANSWER else self.last_bytes_at
        call.answer_read = self.progress_at
        call.status, call.token = code, answer_digest(body)
        if call.sent is None:
            call.sent = call.answered  # answered before the whole body was written
            self._end(End.ANSWERED)
            self.abort()
            return
        if b"retry-after" in headers:
            call.retry_after = float(headers[b"retry-after"]) * 1000
        keep = self.reader is not None and self.reader.keep_alive
        self._end(End.ANSWERED)
        if keep:
            self.client.idle.append(self)
        else:
            self.abort()

    def _end(self, end: End) -> None:
        call, self.call = self.call, None
        if call is not None:
            call.end = end
            call.closed = None if end is End.ANSWERED else self.client.clock()
        if self.done is not None and not self.done.done():
            self.done.set_result(None)

    def disconnect(self, end: End) -> None:
        if self.transport is not None:
            send_fin(self.transport)
        self._end(end)
        self.abort()

    def abort(self) -> None:
        if self in self.client.idle:
            self.client.idle.remove(self)
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self.reader = None  # breaks a reference cycle, which would keep both alive until a garbage collection
        self.client.connections.discard(self)
        if self in self.client.idle:
            self.client.idle.remove(self)
        # A server may close an idle kept connection just as a request is sent; such a request is sent again.
        # So is the first one on a connection that the peer had closed before its last byte was written.
        crossed = (self.requests > 1 or self.peer_had_closed) and not self.answer_started
        self._end(End.CROSSED if crossed else End.BROKEN)


class SidecarClient:
    """All connections of callers to one sidecar."""

    def __init__(self, name: str, address: Address, clock: Clock) -> None:
        self.name = name
        self.address = address
        self.clock = clock
        self.idle: list[ClientConnection] = []
        self.connections: set[ClientConnection] = set()

    async def send_call(self, call: Call, fresh: bool = False) -> None:
        """Make a call and wait until it ends; the outcome is stored in `call`.

        `call.patience` (ms) counts from the last byte written. `fresh` forces a new connection, for a request
        sent again after `End.CROSSED`. Cancel the task to simulate a caller that disconnects.
        """
        connection = None if fresh else self._take_idle()
        if connection is None:
            connection = await self._connect()
        if connection is None:
            call.end = End.NOT_TAKEN
            return
        done = connection.send(call, encode_call(call, max(1, int(call.patience))))
        try:
            await self._wait_for_answer(connection, call, done)
        except asyncio.CancelledError:
            connection.disconnect(End.LEFT)
            raise

    async def _wait_for_answer(
        self, connection: ClientConnection, call: Call, done: asyncio.Future[None]
    ) -> None:
        """Wait for the answer until the time-out, and for the rest of a long one that has started by then."""
        try:
            if call.sent is None:
                await self._wait_for_paced_body(connection, call, done)
            else:
                await self._wait_until_timeout(call, done)
        except TimeoutError:
            if connection.answer_is_long:
                await self._wait_for_rest(connection, done)
            elif not await self._read_pending(connection, done):
                connection.disconnect(End.LOST)

    @staticmethod
    async def _read_pending(connection: ClientConnection, done: asyncio.Future[None]) -> bool:
        """Let a late event loop read bytes that the kernel already has; returns whether they end the call."""
        for _ in range(READ_ITERATIONS):
            if done.done() or connection.transport is None or not has_unread(connection.transport):
                break
            await asyncio.sleep(0.001)
        return done.done()

    async def _wait_for_paced_body(
        self, connection: ClientConnection, call: Call, done: asyncio.Future[None]
    ) -> None:
        """Wait for a call whose body is written at a limited rate; its time-out starts at the last byte."""
        while call.sent is None and not done.done():
            await asyncio.wait([done], timeout=LATE_ANSWER_TIME)
            if connection.check_stalled():
                call.sent = self.clock()  # the sidecar has stopped reading: no more will be sent
                raise TimeoutError
        await self._wait_until_timeout(call, done)

    @staticmethod
    async def _wait_until_timeout(call: Call, done: asyncio.Future[None]) -> None:
        # Shielded: the time-out would cancel the future, and `_wait_for_rest` could not wait for it any more.
        async with asyncio.timeout(call.patience / 1000 + LATE_ANSWER_TIME):
            await asyncio.shield(done)

    async def _wait_for_rest(self, connection: ClientConnection, done: asyncio.Future[None]) -> None:
        """Wait for the rest of an answer that has started, as long as more bytes arrive."""
        while not done.done():
            await asyncio.wait([done], timeout=LATE_ANSWER_TIME)
            if not done.done() and connection.check_stalled():
                connection.disconnect(End.BROKEN)

    def count_recent(self, within: float) -> tuple[int, int]:
        """Count connections without an open request, and those with one sent in the last `within` ms."""
        since = self.clock() - within
        idle = [connection for connection in self.connections if connection.call is None]
        calls = [connection.call for connection in self.connections if connection.call is not None]
        return len(idle), sum(call.sent is not None and call.sent > since for call in calls)

    def _take_idle(self) -> ClientConnection | None:
        while self.idle:
            connection = self.idle.pop()
            if connection.usable:
                return connection
        return None

    async def _connect(self) -> ClientConnection | None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                _, connection = await asyncio.get_running_loop().create_connection(
                    lambda: ClientConnection(self), self.address.host, self.address.port
                )
        except OSError:
            return None
        self.connections.add(connection)
        return connection

    async def open_idle(self, connections: int) -> None:
        """Open idle connections, as a sudden crowd of clients does."""
        opened = await asyncio.gather(*(self._connect() for _ in range(connections)))
        self.idle.extend(
            connection for connection in opened if connection is not None and not connection.closed
        )

    def close(self) -> None:
        for connection in list(self.connections):
            connection.abort()


async def ready(address: Address, path: str = "/ready") -> bool:
    """Whether a sidecar answers GET with 200 at its readiness path."""
    return await answers_ok(address, "GET", path)


async def answers_ok(address: Address, method: str, path: str) -> bool:
    """Whether a request without a body is answered with 200."""
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT):
            reader, writer = await asyncio.open_connection(address.host, address.port)
            try:
                writer.write(f"{method} {path} HTTP/1.1\r\nHost: rig\r\nConnection: close\r\n\r\n".encode())
                return (await reader.readline()).split()[1:2] == [b"200"]
            finally:
                writer.close()
    except OSError:
        return False
