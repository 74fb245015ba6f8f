"""HTTP/1.1 for the stand-ins: server connections, an answer reader, listeners that can stop responding."""

from __future__ import annotations

import asyncio
import ctypes
import select
import socket
import struct
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol, cast

import httptools

from millgw.http.request_parser import RequestParser, framing_header_of
from millgw.platform.config import Address
from millgw.standins.kernel import receive_age

BACKLOG = 512
MIN_FINAL_STATUS = 200  # the lowest status of a final answer; 1xx answers are interim
NO_LINGER = struct.pack("ii", 1, 0)
DROP_ALL = ctypes.create_string_buffer(struct.pack("HBBI", 0x06, 0, 0, 0))  # classic BPF: return 0 bytes
DROP_FILTER = struct.pack("HP", 1, ctypes.addressof(DROP_ALL))  # struct sock_fprog (socket(7))
SO_ATTACH_FILTER = 26
ACCEPTS_PER_ITERATION = 64  # connections accepted per event loop iteration
MAX_FILLERS = 4  # most connections that fill a silent listener's accept queue; the kernel takes one or two


class Clock:
    """Milliseconds since the test rig started; `unix` converts to Unix ms, as discovery sends them."""

    def __init__(self) -> None:
        self.zero = time.monotonic()
        self.unix_start = time.time()

    def __call__(self) -> float:
        return (time.monotonic() - self.zero) * 1000

    def unix(self, at: float) -> int:
        return int(self.unix_start * 1000 + at)


@dataclass(slots=True)
class Message:
    """A message as read from a socket: first line, headers by lower-case name, body, arrival times (ms).

    `last_byte` is the kernel's estimate of its arrival, `last_byte_read` when the stand-in read it.
    """

    first_line: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    first_byte: float = 0.0
    last_byte: float = 0.0
    last_byte_read: float = 0.0
    reused: bool = False  # not the first on its connection

    @property
    def status(self) -> int:
        return int(self.first_line.split()[1])


def ok(body: bytes = b"done", extra_headers: str = "") -> bytes:
    return b"HTTP/1.1 200 OK\r\n%bContent-Length: %d\r\n\r\n%b" % (extra_headers.encode(), len(body), body)


def status(code: int, extra_headers: str = "") -> bytes:
    return f"HTTP/1.1 {code} X\r\n{extra_headers}Content-Length: 0\r\n\r\n".encode()


def encode_request(
    method: str,
    target: str,
    host: str,
    trace: str,
    cls: str,
    tenant: str,
    key: str,
    patience: int,
    body: bytes,
) -> bytes:
    """Encode a caller's request as the protocol documentation describes it."""
    keyed = f"Idempotency-Key: {key}\r\n" if key else ""
    head = (
        f"{method} {target} HTTP/1.1\r\nHost: {host}\r\nX-Trace-Id: {trace}\r\nX-Qos: {cls}\r\n"
        f"X-Customer: {tenant}\r\nX-Expires-In-Ms: {patience}\r\n{keyed}Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


NEVER_RAN = "X-Never-Ran: 1\r\n"


class Site(Protocol):
    """The application that handles a listener's connections."""

    clock: Clock

    def opened(self, connection: ServerConnection) -> None: ...

    def asked(self, connection: ServerConnection, message: Message) -> None:
        """Handle a complete request; the next one follows after `connection.request_done()`."""

    def lost(self, connection: ServerConnection) -> None: ...

    def bytes_came(self, connection: ServerConnection) -> bool:
        """Called before received bytes are parsed; False discards them, when the connection was reset."""


class ServerConnection(asyncio.Protocol):
    """One connection to a stand-in: passes requests to the site one at a time, and writes its answers."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.transport: asyncio.Transport | None = None
        self.parser: RequestParser | None = RequestParser(self)
        self.message: Message | None = None
        self.waiting: deque[Message] = deque()
        self.busy = False
        self.requests = 0
        self.idle_since = site.clock()
        self.closed = False
        self.blackholed = False
        self.received_at = self.idle_since  # ms, when the kernel received the bytes being parsed
        self.read_at = self.idle_since  # ms, when they were read

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        # Without this, a late event loop may hold written bytes back until the end of its iteration.
        self.transport.set_write_buffer_limits(high=0)
        self.site.opened(self)

    def data_received(self, data: bytes) -> None:
        if self.parser is None or not self.site.bytes_came(self):
            return
        # Read before the clock, so that a pause in between makes the recorded time late, never early.
        age = receive_age(self.transport)
        self.read_at = self.site.clock()
        self.received_at = self.read_at - age
        try:
            self.parser.feed(data)
        except httptools.HttpParserError:
            self.reset()

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        if self.parser is not None:
            self.parser.close()
            self.parser = None
        self.site.lost(self)

    # Callbacks of `parser`

    def on_message_begin(self) -> None:
        self.message = Message("", first_byte=self.received_at, reused=self.requests > 0)

    def on_url(self, url: bytes) -> None:
        assert self.message is not None
        self.message.first_line += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        assert self.message is not None
        self.message.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Nothing to check: a stand-in takes any head."""

    def framing_header(self) -> bytes:
        assert self.message is not None
        return framing_header_of(self.message.headers)

    def on_body(self, body: bytes) -> None:
        assert self.message is not None
        self.message.body += body

    def on_message_complete(self) -> None:
        assert self.message is not None and self.parser is not None
        message, self.message = self.message, None
        method = self.parser.get_method().decode()
        message.first_line = f"{method} {message.first_line} HTTP/{self.parser.get_http_version()}"
        message.last_byte = self.received_at
        message.last_byte_read = self.read_at
        self.requests += 1
        self.waiting.append(message)
        if not self.busy:
            self._next()

    # Methods for the site

    def _next(self) -> None:
        if self.waiting and not self.closed:
            self.busy = True
            self.site.asked(self, self.waiting.popleft())

    def request_done(self) -> None:
        """Mark the current request as done, and pass on the next one."""
        self.busy = False
        self.idle_since = self.site.clock()
        self._next()

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.closed:
            self.transport.write(data)

    @property
    def unsent(self) -> int:
        """Bytes written that the kernel has not accepted yet; 0 on a closed connection."""
        return 0 if self.transport is None or self.closed else self.transport.get_write_buffer_size()

    def reset(self) -> None:
        """Reset the connection: without SO_LINGER the kernel would send FIN instead of RST."""
        if self.transport is not None and not self.closed:
            self.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            self.transport.abort()

    def blackhole(self) -> None:
        """Drop all that arrives from now on, unacknowledged, like a middlebox that lost its state.

        A socket filter drops the segments before TCP sees them.
        """
        if self.transport is not None and not self.closed:
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, DROP_FILTER)
            self.blackholed = True

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()


class Listener:
    """A listening socket that can be closed, reopened, and made unresponsive like a vanished machine."""

    def __init__(self, address: Address, protocol_factory: Callable[[], asyncio.BaseProtocol]) -> None:
        self.address = address
        self.protocol_factory = protocol_factory
        self.socket: socket.socket | None = None
        self.fillers: list[socket.socket] = []
        self.accepting: set[asyncio.Task[object]] = set()

    def open(self) -> None:
        """Listen; connections that were still pending from a silence are reset."""
        self.close()
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.setblocking(False)
        listening.bind((self.address.host, self.address.port))
        listening.listen(BACKLOG)
        self.socket = listening
        asyncio.get_running_loop().add_reader(listening, self._accept, listening)

    def _accept(self, listening: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(ACCEPTS_PER_ITERATION):
            try:
                connection, _ = listening.accept()
            except OSError:
                return
            connection.setblocking(False)
            task = loop.create_task(self._make_transport(connection))
            self.accepting.add(task)
            task.add_done_callback(self.accepting.discard)

    async def _make_transport(self, connection: socket.socket) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(self.protocol_factory, connection)
        except OSError:  # reset before the transport was made
            connection.close()

    def silence(self) -> None:
        """Let new connections time out from now on: the kernel drops SYNs while the accept queue is full.

        The queue is made as short as possible and filled with connections from this process.
        """
        if self.socket is None:
            return
        asyncio.get_running_loop().remove_reader(self.socket)
        self.socket.listen(0)
        for _ in range(MAX_FILLERS):
            connection = socket.socket()
            connection.setblocking(False)
            connection.connect_ex((self.address.host, self.address.port))
            self.fillers.append(connection)
            # `poll`, as `select` fails with descriptors above 1,023, which a large fleet exceeds.
            poll = select.poll()
            poll.register(connection, select.POLLOUT)
            if not poll.poll(0):
                return

    def close(self) -> None:
        """Refuse new connections from now on."""
        for connection in self.fillers:
            connection.close()
        self.fillers.clear()
        if self.socket is not None:
            asyncio.get_running_loop().remove_reader(self.socket)
            self.socket.close()
            self.socket = None


class AnswerReader:
    """Parses the answers on one connection; `on_answer` is called with the status, headers and body of each.

    The caller decides about surplus bytes after an answer, and about malformed ones, which `feed` reports.
    `status` is that of the answer being read, 0 until its head is complete; 1xx answers are skipped.
    """

    def __init__(self, done: Callable[[int, dict[bytes, bytes], bytes], None]) -> None:
        self.on_answer = done
        self.parser = httptools.HttpResponseParser(self)
        self.status = 0
        self.headers: dict[bytes, bytes] = {}
        self.body = bytearray()

    def feed(self, data: bytes) -> bool:
        """Parse more bytes; returns False if they are malformed."""
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return False
        return True

    def on_message_begin(self) -> None:
        self.status = 0
        self.headers = {}
        self.body = bytearray()

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        code = self.parser.get_status_code()
        self.status = code if code >= MIN_FINAL_STATUS else 0

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        if self.status:
            self.on_answer(self.status, self.headers, bytes(self.body))

    @property
    def keep_alive(self) -> bool:
        return bool(self.parser.should_keep_alive())


def listener(address: Address, site: Site) -> Listener:
    return Listener(address, partial(ServerConnection, site))
