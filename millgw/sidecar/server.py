"""The callers' side: accepts connections, reads requests, writes answers.

A request that can't be understood is answered 4xx and never reaches the driver; all others are its calls.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import cast

import httptools

from millgw.interface import Repeat
from millgw.sidecar.config import Config
from millgw.sidecar.driver import REFUSED, Answer, Call, Driver
from millgw.sidecar.upstream import MAX_BODY, MAX_HEAD, OWN_HEADERS, Content, unread

MAX_PATIENCE_DIGITS = 9  # of X-Expires-In-Ms: eleven days, far over any class's deadline
READ_TIME = 10.0  # s to send a request that was begun, before its connection is closed
LINGER = 1.0  # s that a connection stays open after a 4xx, so that a client still sending can read it
BACKLOG = 2048
ACCEPT_PAUSE = 0.05  # s before accepting is tried again after it failed, if no connection ends before
MIN_IDLE = 0.5  # s between requests before a connection gives way to others: a client may be about to use it
JUST_CONNECTED = 0.1  # s in which a client that has connected will send its request
SHED_PART = 0.8  # of the most connections: on those beyond it requests are refused, before accepting fails
SWEEP = 1.0  # s between two looks for requests that were begun long ago

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
}
log = logging.getLogger("millgw")


def accept(listener: socket.socket) -> socket.socket:
    connection, _ = listener.accept()
    connection.setblocking(False)
    return connection


class BadRequest(Exception):
    """A request that is answered at once, and never attempted."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class Head:
    """The line and headers of one request, as they come in."""

    __slots__ = ("body", "ended", "forward", "keep", "method", "size", "target", "values")

    def __init__(self) -> None:
        self.method = b""
        self.target = b""
        self.values: dict[bytes, bytes] = {}
        self.forward = bytearray()
        self.body = bytearray()
        self.size = 0
        self.keep = False
        self.ended = 0.0


def word(head: Head, left: int) -> bytes:
    """The request as an attempt sends it, with the time left in place of the connection's own headers."""
    return b"%b %b HTTP/1.1\r\n%bX-Expires-In-Ms: %d\r\nContent-Length: %d\r\n\r\n%b" % (
        head.method,
        head.target,
        bytes(head.forward),
        left,
        len(head.body),
        bytes(head.body),
    )


class Server:
    """All callers' connections of one sidecar."""

    def __init__(self, config: Config, driver: Driver, most: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.driver = driver
        self.settings = config.settings
        self.classes = {c.name.encode(): i for i, c in enumerate(config.settings.classes)}
        self.tenants = {t.name.encode(): i for i, t in enumerate(config.settings.tenants)}
        self.most = most
        self.connections: set[CallerConnection] = set()
        self.idle: dict[CallerConnection, None] = {}  # between requests, the one idle for longest first
        self.accepting: set[asyncio.Task[object]] = set()
        self.leaving = False  # told to end, and serving on
        self.stopping = False  # every answer is the last one on its connection
        self.paused: asyncio.TimerHandle | None = None
        self.closed = False
        family = socket.AF_INET6 if ":" in config.listen.host else socket.AF_INET
        self.socket = socket.socket(family, socket.SOCK_STREAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.setblocking(False)
        self.socket.bind((config.listen.host, config.listen.port))

    def start(self) -> None:
        self.socket.listen(BACKLOG)
        self.loop.add_reader(self.socket, self._accept)
        self.loop.call_later(SWEEP, self._sweep)

    # Accepting

    def _accept(self) -> None:
        while not self.closed:
            if len(self.connections) + len(self.accepting) >= self.most and not self._evict():
                # Guards against running out of descriptors: what can't be held waits in the backlog.
                self._pause()
                return
            try:
                connection = accept(self.socket)
            except BlockingIOError:
                return
            except OSError as error:
                # Guards against an accept that fails (no descriptors, a client gone): it ends nothing.
                log.warning("accept failed: %s", error)
                self._pause()
                return
            many = len(self.connections) + len(self.accepting) >= SHED_PART * self.most
            shed = many and not self._evict()
            task = self.loop.create_task(self._adopt(connection, shed))
            self.accepting.add(task)
            task.add_done_callback(self.accepting.discard)

    async def _adopt(self, connection: socket.socket, shed: bool) -> None:
        try:
            await self.loop.connect_accepted_socket(partial(CallerConnection, self, shed), connection)
        except OSError as error:
            log.warning("a connection was lost as it was accepted: %s", error)

    def _pause(self) -> None:
        self.loop.remove_reader(self.socket)
        self.paused = self.loop.call_later(ACCEPT_PAUSE, self._resume)

    def _resume(self) -> None:
        if self.paused is not None and not self.closed:
            self.paused.cancel()
            self.paused = None
            self.loop.add_reader(self.socket, self._accept)

    def _evict(self) -> bool:
        """Close the connection that has been between requests for longest, if there is one."""
        for connection in self.idle:
            if connection.quiet(MIN_IDLE):
                connection.close()
                return True
        return False

    def left(self, connection: CallerConnection) -> None:
        self.connections.discard(connection)
        self.idle.pop(connection, None)
        self._resume()

    def _sweep(self) -> None:
        """Guards against clients that begin a request and never end it, and hold a descriptor."""
        oldest = time.monotonic() - READ_TIME
        for connection in list(self.connections):
            if connection.reading and connection.since < oldest:
                connection.refuse(BadRequest(408, "the request did not come to its end"))
        self.loop.call_later(SWEEP, self._sweep)

    # Stopping

    def stop(self) -> None:
        """Accept what has connected, then no more: a connection left in the backlog would be lost."""
        self.stopping = True
        self._accept()
        self.closed = True
        self.loop.remove_reader(self.socket)
        self.socket.close()

    def close_idle(self) -> None:
        for connection in list(self.idle):
            if connection.quiet(JUST_CONNECTED):
                connection.close()

    # Requests

    def read(self, head: Head, answer: Callable[[Answer], None]) -> Call | Answer:
        """The call that a request makes, or the answer to one that needs no endpoint."""
        path = head.target.partition(b"?")[0]
        if path == b"/ready":
            if head.method != b"GET":
                raise BadRequest(405, "only GET asks whether the sidecar is ready")
            return Answer(200 if self.driver.ready and not self.leaving else REFUSED)
        if path != b"/api":
            raise BadRequest(404, "no such path")
        values = head.values
        if not values.get(b"x-trace-id"):
            raise BadRequest(400, "X-Trace-Id is missing")
        cls = self.classes.get(values.get(b"x-qos", b""))
        if cls is None:
            raise BadRequest(400, "X-Qos is missing or names no class")
        repeat = self.settings.classes[cls].repeat
        if head.method != (b"GET" if repeat is Repeat.SAFE else b"POST"):
            raise BadRequest(405, "the method does not fit the class")
        if repeat is Repeat.KEYED and not values.get(b"idempotency-key"):
            # Guards against a repeat that no endpoint could recognise.
            raise BadRequest(400, "Idempotency-Key is missing")
        patience = values.get(b"x-expires-in-ms", b"")
        if not patience.isdigit() or len(patience) > MAX_PATIENCE_DIGITS or int(patience) == 0:
            raise BadRequest(400, "X-Expires-In-Ms is missing or not whole milliseconds")
        tenant = self.tenants.get(values.get(b"x-customer", b""), len(self.tenants))
        waited = (time.monotonic() - head.ended) * 1000
        return Call(cls, tenant, int(patience) - waited, partial(word, head), answer)


class CallerConnection(asyncio.Protocol):
    """One caller's connection: one request at a time, what comes early waits its turn."""

    def __init__(self, server: Server, shed: bool) -> None:
        self.server = server
        self.shed = shed
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.since = time.monotonic()
        self.head: Head | None = None
        self.in_body = False
        self.queue: deque[Head | BadRequest] = deque()
        self.current: Call | None = None
        self.serving = False
        self.keep = True
        self.ended = False

    @property
    def busy(self) -> bool:
        return self.current is not None or bool(self.queue)

    @property
    def reading(self) -> bool:
        """In the middle of a request that has not come to its end."""
        return self.head is not None and not self.busy and not self.ended

    def quiet(self, least: float) -> bool:
        """Whether it has been between requests for so long, and has none waiting to be read.

        Guards against losing a request: a client whose request crosses the close sends it again, but once
        only, and under many connections the next one may be closed as well.
        """
        if self.transport is None or time.monotonic() < self.since + least:
            return False
        return not unread(self.transport)

    def close(self) -> None:
        self.ended = True
        self.server.left(self)
        if self.transport is not None:
            self.transport.close()

    # asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.server.connections.add(self)
        self.server.idle[self] = None

    def data_received(self, data: bytes) -> None:
        if self.ended:
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The offer of another protocol is passed over; the parser reads nothing after it.
            self._last()
        except httptools.HttpParserError as error:
            cause = error.__context__ if isinstance(error, httptools.HttpParserCallbackError) else None
            self.refuse(cause if isinstance(cause, BadRequest) else BadRequest(400, "malformed HTTP"))
            return
        if self.head is not None and not self.in_body:
            self.head.size += len(data)
            if self.head.size > MAX_HEAD:
                self.refuse(BadRequest(431, "the headers are too large"))
                return
        self._serve()
        if self.queue and self.transport is not None:
            self.transport.pause_reading()  # guards against a client that sends and sends

    def _last(self) -> None:
        for item in self.queue:
            if isinstance(item, Head):
                item.keep = False

    def pause_writing(self) -> None:
        """Guards against a client that asks and never reads its answers."""
        if self.transport is not None:
            self.transport.pause_reading()

    def resume_writing(self) -> None:
        if self.transport is not None and not self.queue:
            self.transport.resume_reading()

    def eof_received(self) -> None:
        self._leave()

    def connection_lost(self, exc: Exception | None) -> None:
        self._leave()

    def _leave(self) -> None:
        self.close()
        self.queue.clear()
        call, self.current = self.current, None
        if call is not None:
            self.server.driver.left(call)

    # httptools

    def on_message_begin(self) -> None:
        self.head = Head()
        self.server.idle.pop(self, None)
        self.in_body = False
        self.since = time.monotonic()

    def on_url(self, url: bytes) -> None:
        assert self.head is not None
        self.head.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        assert self.head is not None
        if self.in_body:
            return  # a trailer
        lower = name.lower()
        self.head.values[lower] = value
        if lower not in OWN_HEADERS:
            self.head.forward += b"%b: %b\r\n" % (name, value)

    def on_headers_complete(self) -> None:
        assert self.head is not None
        self.in_body = True
        if len(self.head.target) + len(self.head.forward) > MAX_HEAD:
            raise BadRequest(431, "the headers are too large")
        self.head.method = self.parser.get_method()
        self.head.keep = self.parser.should_keep_alive()
        if self.head.values.get(b"expect", b"").lower() == b"100-continue" and not self.busy:
            assert self.transport is not None
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        assert self.head is not None
        self.head.body += body
        if len(self.head.body) > MAX_BODY:
            raise BadRequest(413, "the body is too large")

    def on_message_complete(self) -> None:
        assert self.head is not None
        self.head.ended = time.monotonic()
        self.queue.append(self.head)
        self.head = None

    # Answers

    def refuse(self, bad: BadRequest) -> None:
        """Answer what can't be read once all before it is answered; nothing is read after it."""
        self.ended = True
        self.head = None
        self.queue.append(bad)
        self._serve()

    def _serve(self) -> None:
        """Answer what waits, one by one; a call that is answered at once must not start this over."""
        if self.serving:
            return
        self.serving = True
        while self.queue and self.current is None:
            item = self.queue.popleft()
            if isinstance(item, BadRequest):
                self._end_badly(item)
                break
            self.keep = item.keep and not self.shed
            if self.shed:
                self._answer(Answer(REFUSED))
                continue
            try:
                made = self.server.read(item, self._answer)
            except BadRequest as bad:
                self._say(bad)
                self._after()
                continue
            if isinstance(made, Call):
                self.current = made
                self.server.driver.take(made)
            else:
                self._answer(made)
        self.serving = False

    def _answer(self, answer: Answer) -> None:
        self.current = None
        self._write(answer)
        self._after()
        self._serve()

    def _after(self) -> None:
        self.since = time.monotonic()
        if not self.keep or self.server.stopping:
            self.queue.clear()
            self.close()
        elif self.transport is not None and not self.queue:
            self.transport.resume_reading()
            if self.head is None:
                self.server.idle[self] = None

    def _end_badly(self, bad: BadRequest) -> None:
        self.keep = False
        self._say(bad)
        self.server.loop.call_later(LINGER, self.close)

    def _say(self, bad: BadRequest) -> None:
        self._write(Answer(bad.status, Content(b"Content-Type: text/plain\r\n", f"{bad}\n".encode())))

    def _write(self, answer: Answer) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        content, headers = answer.content, answer.content.headers
        if answer.retry_after > 0:
            headers += b"Retry-After: %.3f\r\n" % (answer.retry_after / 1000)
        if not self.keep or self.server.stopping:
            headers += b"Connection: close\r\n"
        self.transport.write(
            b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n%b\r\n%b"
            % (answer.status, REASONS[answer.status], len(content.body), headers, content.body)
        )
