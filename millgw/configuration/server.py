"""HTTP/1.1 server of a control instance, on asyncio, with limits on connections, time and bytes.

It reads requests and writes responses and streams; a `Service` handles the requests.
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

BACKLOG = 1024  # connections waiting to be accepted, for a fleet of sidecars that reconnects all at once
MAX_CONNECTIONS = 4096
MAX_REJECTED_CONNECTIONS = 64  # connections over the limit that get a 503 response; further ones are reset
RESERVED_DESCRIPTORS = 64  # file descriptors for the store, the peers and the process itself
REQUEST_TIMEOUT = 10.0  # s; timeout for receiving a whole request
IDLE_TIMEOUT = 90.0  # s; keep-alive timeout between two requests
LINGER_TIMEOUT = 2.0  # s; wait for the client to close after the last response
SWEEP_INTERVAL = 1.0  # s between checks for expired connections
UNACKED_TIMEOUT_MS = 15_000  # ms (TCP_USER_TIMEOUT); a host that vanished is detected after this
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
    """A response with a JSON body, or with none."""

    status: int
    body: bytes = b""
    allow: str = ""

    def encode(self, keep_alive: bool) -> bytes:
        """The whole response in bytes."""
        lines = [f"HTTP/1.1 {self.status} {REASONS.get(self.status, 'Status')}"]
        if self.allow:
            lines.append(f"Allow: {self.allow}")
        if self.status != 204:
            lines += ["Content-Type: application/json", f"Content-Length: {len(self.body)}"]
        if not keep_alive:
            lines.append("Connection: close")
        return "\r\n".join([*lines, "", ""]).encode() + self.body


def json_response(status: int, fields: Mapping[str, Any]) -> Response:
    """A response whose body is one JSON object on one line."""
    return Response(status, json.dumps(fields, separators=(",", ":")).encode() + b"\n")


def error_response(status: int, cause: str) -> Response:
    """An error response with its cause."""
    return json_response(status, {"cause": cause})


class Service(Protocol):
    """Handles the requests of a server."""

    def handle(self, request: Request, connection: Connection) -> None:
        """Call `connection.reply`, now or later, or begin a stream; exactly once for each request."""

    def max_body(self, path: str) -> int:
        """The largest request body for this path, in bytes."""


class Stream(Protocol):
    """Callbacks for a connection that streams its response."""

    def drained(self) -> None:
        """The kernel has accepted all bytes that were written."""

    def connection_closed(self) -> None:
        """The connection was closed or lost."""


class Connection(asyncio.Protocol):
    """One connection: handles its requests one at a time, each with a response or with a stream."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.reader = RequestReader(server.service.max_body)
        self.pipelined: list[Request] = []
        self.current: Request | None = None
        self.stream: Stream | None = None
        self.closing = False
        self.expires_at = server.clock() + REQUEST_TIMEOUT

    # For the service

    def reply(self, response: Response) -> None:
        """Send the response to the current request; does nothing if the connection was lost meanwhile."""
        request, self.current = self.current, None
        if request is None:
            return
        self.write(response.encode(request.keep_alive))
        if not request.keep_alive:
            self._close_gracefully()
            return
        self.expires_at = self.server.clock() + IDLE_TIMEOUT
        if self.pipelined:
            # Not immediately: the caller of `reply` may be in a state that the next request would disturb.
            asyncio.get_running_loop().call_soon(self._handle_next)
        elif self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def begin_stream(self, stream: Stream) -> None:
        """Answer the current request with a stream; `write` appends to it."""
        self.stream = stream
        self.current = None
        self.pipelined.clear()
        if self.transport is not None:
            # With a limit of 0, `resume_writing` is called after any write that had to be buffered.
            self.transport.set_write_buffer_limits(high=0)
            self.transport.resume_reading()
        self.write(STREAM_HEAD)

    def write(self, data: bytes) -> None:
        """Send bytes; does nothing if the connection was closed."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def unsent(self) -> int:
        """The number of bytes that the kernel has not accepted yet."""
        if self.transport is None or self.transport.is_closing():
            return 0
        return self.transport.get_write_buffer_size()

    def close(self) -> None:
        """Abort the connection and discard unsent bytes."""
        if self.transport is not None:
            self.transport.abort()

    # asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS)
        self.server.connections[self] = None
        over = len(self.server.connections) - self.server.max_connections
        if over > MAX_REJECTED_CONNECTIONS:
            self.transport.abort()
        elif over > 0:
            self.write(error_response(503, "too many connections").encode(False))
            self._close_gracefully()

    def data_received(self, data: bytes) -> None:
        if self.stream is not None or self.closing or self.transport is None:
            return  # no further request is expected
        if self.reader.idle:
            self.expires_at = self.server.clock() + REQUEST_TIMEOUT
        try:
            self.pipelined += self.reader.feed(data)
        except BadRequestError as error:
            self.write(error_response(error.status, str(error)).encode(False))
            self._close_gracefully()
            return
        if self.pipelined:
            self.transport.pause_reading()
            self._handle_next()

    def resume_writing(self) -> None:
        if self.stream is not None:
            self.stream.drained()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.current = None
        self.pipelined.clear()
        self.reader.close()
        self.server.connections.pop(self, None)
        stream, self.stream = self.stream, None
        if stream is not None:
            stream.connection_closed()

    def _handle_next(self) -> None:
        if not self.pipelined or self.current is not None:
            return
        self.current = self.pipelined.pop(0)
        self.server.service.handle(self.current, self)

    def _close_gracefully(self) -> None:
        """Close gracefully: read and discard further input, as a reset could discard the last response."""
        self.closing = True
        self.pipelined.clear()
        self.expires_at = self.server.clock() + LINGER_TIMEOUT
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write_eof()
            self.transport.resume_reading()


def connection_limit() -> int:
    """The number of connections that the limit of file descriptors allows, less the reserved ones."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return MAX_CONNECTIONS
    return max(1, min(MAX_CONNECTIONS, descriptors - RESERVED_DESCRIPTORS - MAX_REJECTED_CONNECTIONS))


class Server:
    """Accepts connections for one service."""

    def __init__(self, service: Service, clock: Callable[[], float]) -> None:
        self.service = service
        self.clock = clock
        self.max_connections = connection_limit()
        self.connections: dict[Connection, None] = {}
        self._listener: asyncio.Server | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None

    async def start(self, address: Address) -> None:
        """Start to listen; raises OSError if the address can't be bound."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: Connection(self), address.host, address.port, backlog=BACKLOG
        )
        self._close_expired()

    def stop(self) -> None:
        """Stop listening and abort all connections."""
        if self._listener is not None:
            self._listener.close()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        for connection in list(self.connections):
            connection.close()

    def _close_expired(self) -> None:
        now = self.clock()
        for connection in list(self.connections):
            # The service limits the time of requests that it handles, and of streams.
            if connection.current is None and connection.stream is None and connection.expires_at <= now:
                connection.close()
        self._sweep_timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL, self._close_expired)
