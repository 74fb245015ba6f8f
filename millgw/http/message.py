"""HTTP message limits, hop-by-hop headers and answers, shared by the callers' and the endpoints' side.

Also queries of a connection's socket, such as whether it has bytes that the event loop has not delivered yet:
both sides check that before they use or close a connection.
"""

from __future__ import annotations

import asyncio
import os
import select
import socket
import struct
from contextlib import suppress
from dataclasses import dataclass
from typing import Final

from millgw.streams.flow import Flow

MAX_HEAD = 16 * 1024  # bytes of a message's first line and headers
MAX_BODY = 64 * 1024 * 1024  # bytes of a request's body
MAX_FRAMING_RATIO = 8  # maximum framing, as a multiple of the body: chunks may be small, not endless

HOP_BY_HOP_HEADERS: Final = frozenset(
    {
        b"connection",
        b"content-length",
        b"endpoint-load-metrics",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"x-expires-in-ms",
    }
)
"""Headers that concern one connection only, or the sidecar itself; they are not forwarded."""


CLOSE_OPTION: Final = b"close"  # a connection option that names no header


def without_connection_options(
    header_lines: bytes, options: bytes, end_to_end: frozenset[bytes] = frozenset()
) -> bytes:
    """Remove the headers that a `Connection` header names, which are not forwarded (RFC 9110 section 7.6.1).

    `options` is the value of that header. Headers in `end_to_end` (lower case) stay: they are for all
    recipients, so that no option may name them.
    """
    named = {option.strip().lower() for option in options.split(b",")}
    named -= HOP_BY_HOP_HEADERS | end_to_end | {CLOSE_OPTION, b""}
    if not named:
        return header_lines
    lines = header_lines.split(b"\r\n")
    return b"\r\n".join(line for line in lines if line.partition(b":")[0].lower() not in named)


@dataclass(frozen=True)
class Content:
    """Forwarded headers and body of an endpoint's answer."""

    headers: bytes = b""
    body: bytes = b""


EMPTY_CONTENT: Final = Content()

SERVED: Final = 200
UNUSABLE: Final = 400
FAILED: Final = 502
REFUSED: Final = 503


@dataclass(frozen=True)
class Answer:
    """A final answer: an endpoint's, a failure, or a refusal with the time after which to retry (ms)."""

    status: int
    content: Content = EMPTY_CONTENT
    retry_after: float = 0.0
    flow: Flow | None = None  # the body, if it is streamed


def text_answer(status: int, text: str, headers: bytes = b"") -> Answer:
    """An answer with one line of plain text, meant for people."""
    return Answer(status, Content(b"Content-Type: text/plain\r\n" + headers, f"{text}\n".encode()))


def make_poll(transport: asyncio.Transport) -> select.poll:
    """The poll object for `has_unread` and `peer_closed`; made once per connection, as they run for every
    request.
    """
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
    return poll


def has_unread(transport: asyncio.Transport, poll: select.poll | None = None) -> bool:
    """Whether a connection's socket has bytes, or an end, that the event loop has not delivered yet."""
    if transport.is_closing():
        return True  # its descriptor may already belong to another connection
    return bool((poll or make_poll(transport)).poll(0))


END_EVENTS: Final = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def peer_closed(transport: asyncio.Transport, poll: select.poll | None = None) -> bool:
    """Whether the peer has closed or reset a connection, even if bytes before that are unread.

    The event loop reports it later: it delivers those bytes first, and nothing while reading is paused.
    """
    if transport.is_closing():
        return True
    return any(events & END_EVENTS for _, events in (poll or make_poll(transport)).poll(0))


def ended_by_reset(transport: asyncio.Transport, poll: select.poll | None = None) -> bool:
    """Whether a connection has ended by a reset.

    The event loop reports a reset like an orderly end if bytes came with it (libuv takes POLLHUP after a
    partial read for the end of the stream). The socket's error stays unread then, which the kernel reports as
    POLLERR. An end that can't be told any more counts as a reset.
    """
    if transport.is_closing():
        return True
    return any(events & select.POLLERR for _, events in (poll or make_poll(transport)).poll(0))


def send_fin(transport: asyncio.Transport) -> None:
    """Send a connection's FIN now; closing the transport sends it only in the loop's next iteration.

    Does nothing while the transport's write buffer holds bytes, as they would be lost.
    """
    if not transport.get_write_buffer_size():
        shut_down_socket(transport, socket.SHUT_WR)


def shut_down_socket(transport: asyncio.Transport, how: int) -> None:
    """Call shutdown(2) on a connection's socket directly, as the transport has no method for it."""
    if transport.is_closing():
        return
    existing = transport.get_extra_info("socket")
    duplicate = socket.socket(existing.family, existing.type, existing.proto, fileno=existing.fileno())
    try:
        with suppress(OSError):  # the peer has reset it
            duplicate.shutdown(how)
    finally:
        duplicate.detach()


def read_undelivered(transport: asyncio.Transport, max_bytes: int) -> bytes:
    """Up to `max_bytes` bytes that the event loop has not delivered yet; for a connection about to be
    closed.
    """
    if transport.is_closing():
        return b""
    descriptor = transport.get_extra_info("socket").fileno()
    received = bytearray()
    with suppress(OSError):  # no more bytes have arrived, or the connection was reset
        while len(received) < max_bytes and (part := os.read(descriptor, max_bytes - len(received))):
            received += part
    return bytes(received)


TCP_INFO_FIELD: Final = struct.Struct("=I")  # of Linux' struct tcp_info (tcp(7)), after its first 8 bytes
LAST_DATA_RECV_OFFSET: Final = 52  # offset (bytes) of tcpi_last_data_recv there, in ms


def seconds_since_received(transport: asyncio.Transport) -> float:
    """Seconds since the kernel last received data on a connection; 0 if it does not report that."""
    if transport.is_closing():
        return 0.0
    sock = transport.get_extra_info("socket")
    try:
        info: bytes = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECV_OFFSET + TCP_INFO_FIELD.size
        )
    except OSError:
        return 0.0
    if len(info) < LAST_DATA_RECV_OFFSET + TCP_INFO_FIELD.size:
        return 0.0
    (milliseconds,) = TCP_INFO_FIELD.unpack_from(info, LAST_DATA_RECV_OFFSET)
    return int(milliseconds) / 1000


UNACKED_OFFSET: Final = 24  # offset (bytes) of tcpi_unacked there


def has_unacknowledged(transport: asyncio.Transport) -> bool:
    """Whether some of the data sent on a connection has not been acknowledged by TCP yet."""
    if transport.is_closing():
        return True
    sock = transport.get_extra_info("socket")
    info: bytes = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, UNACKED_OFFSET + TCP_INFO_FIELD.size)
    (unacked,) = TCP_INFO_FIELD.unpack_from(info, UNACKED_OFFSET)
    return bool(unacked)
