"""The HTTP side of a control instance: connections on asyncio, bounded in number, time and bytes.

What a request means is a `Service`'s to say; here it is read, answered, or made a stream.
"""

from __future__ import annotations

import asyncio
import json
import resource
import socket
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol, cast

from millgw.configuration.request_reader import BadRequestError, Request, RequestReader
from millgw.platform.config import Address

BACKLOG = 1024  # connections that wait to be accepted: a fleet that comes back at once
MAX_CONNECTIONS = 4096
MAX_TURNED_AWAY = 64  # connections over the bound that are told so; more are just ended
RESERVED_DESCRIPTORS = 64  # for the store, the peers and the process itself
REQUEST_TIME = 10.0  # s for a request to come in whole
IDLE_TIME = 90.0  # s that a connection is kept between two requests
LINGER_TIME = 2.0  # s that a connection waits for the peer's end after its last answer
SWEEP_INTERVAL = 1.0  # s between two looks for connections whose time has come
UNACKED_TIME = 15_000  # ms for a peer's kernel to confirm bytes: a machine that vanished is noticed by then
REASONS = {
    200: "OK",
    204: "No Content",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    413: "Content Too Large",
    421: "Misdirected Request",
    431: "Request Header Fields Too Large",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nCache-Control: no-store\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)


@dataclass(slots=True, frozen=True)
class Response:
    """An answer with a JSON body, or with none."""

    status: int
    body: bytes = b""
    allow: str = ""

    def encode(self, keep_alive: bool) -> bytes:
        """The bytes of the whole answer."""
        lines = [f"HTTP/1.1 {self.status} {REASONS.get(self.status, 'Status')}"]
        if self.allow:
            lines.append(f"Allow: {self.allow}")
        if self.status != 204:
            lines += ["Content-Type: application/json", f"Content-Length: {len(self.body)}"]
        if not keep_alive:
            lines.append("Connection: close")
        return "\r\n".join([*lines, "", ""]).encode() + self.body


def json_response(status: int, fields: Mapping[str, Any]) -> Response:
    """An answer whose body is one JSON object in a line."""
    return Response(status, json.dumps(fields, separators=(",", ":")).encode() + b"\n")


def error_response(status: int, cause: str) -> Response:
    """A refusal with its cause."""
    return json_response(status, {"cause": cause})


class Service(Protocol):
    """What a server serves."""

    def handle(self, request: Request, connection: Connection) -> None:
        """Answer by `connection.reply`, now or later, or begin a stream; once for each request."""

    def max_body(self, path: str) -> int:
        """Bytes that the body of a request for this path may have."""


class Stream(Protocol):
    """What is told of a connection that streams."""

    def drained(self) -> None:
        """All that was written has been taken by the kernel."""

    def ended(self) -> None:
        """The connection is gone."""


class Connection(asyncio.Protocol):
    """One connection: requests in, one at a time, and their answers or one stream out."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.reader = RequestReader(server.service.max_body)
        self.waiting: list[Request] = []
        self.current: Request | None = None
        self.stream: Stream | None = None
        self.finishing = False
        self.expires = server.now() + REQUEST_TIME

    # The service's side

    def reply(self, response: Response) -> None:
        """Answer the request that was handed on; a connection that has ended meanwhile takes no harm."""
        request, self.current = self.current, None
        if request is None:
            return
        self.write(response.encode(request.keep_alive))
        if not request.keep_alive:
            self._finish()
            return
        self.expires = self.server.now() + IDLE_TIME
        if self.waiting:
            # Not at once: who answers may be in the midst of something that a next request would disturb.
            asyncio.get_running_loop().call_soon(self._next)
        elif self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def begin_stream(self, stream: Stream) -> None:
        """Answer the request that was handed on by a stream, which `write` adds to."""
        self.stream = stream
        self.current = None
        self.waiting.clear()
        if self.transport is not None:
            # Every byte that the kernel does not take at once is told of.
            self.transport.set_write_buffer_limits(high=0)
            self.transport.resume_reading()
        self.write(STREAM_HEAD)

    def write(self, data: bytes) -> None:
        """Send bytes; lost where the connection has ended."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def unsent(self) -> int:
        """Bytes that the kernel has not taken yet."""
        if self.transport is None or self.transport.is_closing():
            return 0
        return self.transport.get_write_buffer_size()

    def close(self) -> None:
        """End it at once, whatever waits to be sent."""
        if self.transport is not None:
            self.transport.abort()

    # asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIME)
        self.server.connections[self] = None
        over = len(self.server.connections) - self.server.max_connections
        if over > MAX_TURNED_AWAY:
            self.transport.abort()
        elif over > 0:
            self.write(error_response(503, "too many connections").encode(False))
            self._finish()

    def data_received(self, data: bytes) -> None:
        if self.stream is not None or self.finishing or self.transport is None:
            return  # nothing more is expected
        if self.reader.idle:
            self.expires = self.server.now() + REQUEST_TIME
        try:
            self.waiting += self.reader.feed(data)
        except BadRequestError as error:
            self.write(error_response(error.status, str(error)).encode(False))
            self._finish()
            return
        if self.waiting:
            self.transport.pause_reading()
            self._next()

    def resume_writing(self) -> None:
        if self.stream is not None:
            self.stream.drained()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.current = None
        self.waiting.clear()
        self.server.connections.pop(self, None)
        stream, self.stream = self.stream, None
        if stream is not None:
            stream.ended()

    def _next(self) -> None:
        if not self.waiting or self.current is not None:
            return
        self.current = self.waiting.pop(0)
        self.server.service.handle(self.current, self)

    def _finish(self) -> None:
        """End it in order: what still comes is read and dropped, as a reset could take the answer with it."""
        self.finishing = True
        self.waiting.clear()
        self.expires = self.server.now() + LINGER_TIME
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write_eof()
            self.transport.resume_reading()


def connections_allowed() -> int:
    """How many connections the process's descriptors allow, less those that the instance itself needs."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return MAX_CONNECTIONS
    return max(1, min(MAX_CONNECTIONS, descriptors - RESERVED_DESCRIPTORS - MAX_TURNED_AWAY))


class Server:
    """Listens for one service."""

    def __init__(self, service: Service, now: Callable[[], float]) -> None:
        self.service = service
        self.now = now
        self.max_connections = connections_allowed()
        self.connections: dict[Connection, None] = {}
        self._listening: asyncio.Server | None = None
        self._sweeping: asyncio.TimerHandle | None = None

    async def start(self, address: Address) -> None:
        """Listen; an OSError tells why that can't be."""
        loop = asyncio.get_running_loop()
        self._listening = await loop.create_server(
            lambda: Connection(self), address.host, address.port, backlog=BACKLOG
        )
        self._sweep()

    def stop(self) -> None:
        """Listen no more and end all connections."""
        if self._listening is not None:
            self._listening.close()
        if self._sweeping is not None:
            self._sweeping.cancel()
        for connection in list(self.connections):
            connection.close()

    def _sweep(self) -> None:
        now = self.now()
        for connection in list(self.connections):
            # A request that was handed on has a bound of its own; a stream has the service's.
            if connection.current is None and connection.stream is None and connection.expires <= now:
                connection.close()
        self._sweeping = asyncio.get_running_loop().call_later(SWEEP_INTERVAL, self._sweep)
