"""A caller's request: validation of head and body as they arrive, and its encoding for attempts.

No I/O, no clock. No input is trusted. A message that can be parsed in two ways is refused, as an endpoint
could parse it in the other way: that is how a second request is smuggled behind the first.
"""

from __future__ import annotations

from enum import Enum
from typing import Final, Protocol

from millgw.http.message import (
    HOP_BY_HOP_HEADERS,
    MAX_BODY,
    MAX_HEAD,
    Answer,
    text_answer,
    without_connection_options,
)
from millgw.streams.limiter import STREAM_THRESHOLD
from millgw.streams.upload import Upload

SINGLE_HEADERS: Final = frozenset(
    {
        b"content-length",
        b"host",
        b"idempotency-key",
        b"transfer-encoding",
        b"x-customer",
        b"x-expires-in-ms",
        b"x-qos",
        b"x-trace-id",
    }
)
"""Headers that the sidecar interprets. If one came twice, it would check one value and forward both."""


INTERPRETED_HEADERS: Final = SINGLE_HEADERS | HOP_BY_HOP_HEADERS
"""Headers that are kept by name. The others are kept as they were received: a dict entry with its two objects
takes some twenty times the bytes of a short header line, so that many clients could fill the memory.
"""


class ReceiveStage(Enum):
    """How much of a request had been received when it was refused."""

    LINE = "line"
    HEAD = "head"
    BODY = "body"
    WHOLE = "whole"


class BadRequest(Exception):
    """A request that is refused at once, without any attempt.

    `stage` (how much of it was received) and `trace_id` (its X-Trace-Id, if that was read) are for the log.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.stage = ReceiveStage.WHOLE
        self.trace_id = ""

    def answer(self) -> Answer:
        """The answer to the client, in plain text."""
        return text_answer(self.status, str(self))


HEAD_TOO_LARGE = f"its line and headers are over {MAX_HEAD} bytes"


class RequestPool(Protocol):
    """The pool that a request is for, as far as its body and its final status concern it."""

    name: str

    def answered(self, head: Head, status: int) -> None:
        """Record the final answer of a request."""

    def enter(self) -> int: ...

    def leave(self) -> None: ...

    def hold(self, more: int) -> None:
        """Reserve memory (bytes) for bodies, or release it if negative; BadRequest if there is no room."""


class Head:
    """First line, headers and body of one request, as they are received.

    Once the headers are complete, `pool` is the pool it is for, `bad_request` why it is for none, and
    `refusal` the answer to a request that is refused by its head alone; its body is read and discarded.
    """

    __slots__ = (
        "bad_request",
        "body",
        "body_received",
        "connection_options",
        "declared_length",
        "forwarded_headers",
        "header_lines",
        "headers",
        "keep_alive",
        "method",
        "pool",
        "received_at",
        "received_headers",
        "refusal",
        "streams_body",
        "target",
        "upload",
        "version",
    )  # fmt: skip

    def __init__(self) -> None:
        self.method = b""
        self.target = b""
        self.headers: dict[bytes, bytes] = {}  # of INTERPRETED_HEADERS, by their lower-case names
        self.header_lines = bytearray()  # the header lines received so far, without hop-by-hop headers
        self.received_headers = b""  # the same, once the headers are complete
        self.forwarded_headers = b""  # the same without those that a Connection header names
        self.connection_options = b""  # the values of all its Connection headers
        self.body = bytearray()
        self.body_received = 0  # bytes of the body so far
        self.declared_length = -1  # Content-Length, 0 where there is none; -1 if chunked
        self.streams_body = False  # too long to be held whole: the body is to be streamed
        self.upload: Upload | None = None  # receives the body once it is streamed
        self.keep_alive = False
        self.version = ""
        self.received_at = 0.0  # s, when it was complete, on the clock of the caller of `RequestCore.feed`
        self.pool: RequestPool | None = None
        self.bad_request: BadRequest | None = None
        self.refusal: Answer | None = None

    def add(self, name: bytes, value: bytes) -> None:
        lower = name.lower()
        value = value.rstrip(b" \t")  # left by the parser, but not part of the value (RFC 9110 section 5.5)
        if lower in SINGLE_HEADERS and lower in self.headers:
            raise BadRequest(400, f"{lower.decode()} is given twice")
        if lower in INTERPRETED_HEADERS:
            self.headers[lower] = value
        if lower not in HOP_BY_HOP_HEADERS:
            self.header_lines += b"%b: %b\r\n" % (name, value)
        elif lower == b"connection":
            self.connection_options += b"," + value

    def header(self, name: bytes) -> bytes:
        """The last value of a header by its lower-case name; empty if there is none.

        Only usable once the headers are complete. Looks through all lines unless it is interpreted.
        """
        if name in INTERPRETED_HEADERS:
            return self.headers.get(name, b"")
        for line in reversed(self.received_headers.split(b"\r\n")):
            found, _, value = line.partition(b": ")
            if found.lower() == name:
                return value
        return b""

    def complete(self, method: bytes, version: str, keep: bool) -> None:
        """Check length and framing once the headers are complete; BadRequest if they are unacceptable."""
        self.method, self.version, self.keep_alive = method, version, keep
        if len(self.target) + len(self.header_lines) > MAX_HEAD:
            raise BadRequest(431, HEAD_TOO_LARGE)
        self.received_headers = self.forwarded_headers = bytes(self.header_lines)
        self.header_lines = bytearray()
        if self.connection_options:
            self.forwarded_headers = without_connection_options(
                self.forwarded_headers, self.connection_options, SINGLE_HEADERS
            )
        coding, length = self.headers.get(b"transfer-encoding"), self.headers.get(b"content-length", b"0")
        if coding is not None and (
            coding.lower() != b"chunked" or b"content-length" in self.headers or version != "1.1"
        ):
            raise BadRequest(400, "Transfer-Encoding is ambiguous or not known")
        if not length.isdigit():
            raise BadRequest(400, "Content-Length is not a number")
        if len(length) > len(str(MAX_BODY)) or int(length) > MAX_BODY:
            raise BadRequest(413, "the body is too large")
        if coding is None:
            self.declared_length = int(length)
            self.streams_body = self.declared_length > STREAM_THRESHOLD

    def framing_header(self) -> bytes:
        """The header line that delimits the body, without its end; known once the headers are complete."""
        if self.declared_length < 0:
            return b"Transfer-Encoding: chunked"
        return b"Content-Length: %d" % self.declared_length

    @property
    def trace_id(self) -> str:
        """The X-Trace-Id for the log; empty if none was read."""
        return self.headers.get(b"x-trace-id", b"").decode("ascii", "backslashreplace")

    def extend(self, body: bytes) -> None:
        self.body_received += len(body)
        if self.body_received > MAX_BODY:
            raise BadRequest(413, "the body is too large")
        if self.upload is not None:
            self.upload.append(body)
            return
        self.streams_body = self.streams_body or self.body_received > STREAM_THRESHOLD
        if self.pool is not None and self.refusal is None:
            self.pool.hold(len(body))
            self.body += body

    def release(self) -> None:
        """Release the memory of the body: the request is answered, or its client is gone."""
        if self.pool is not None and self.body:
            self.pool.hold(-len(self.body))
            self.body = bytearray()


def encode_request_head(head: Head, time_left: int) -> bytes:
    """The head of a request whose body is streamed, with its Content-Length or chunked."""
    return b"%b %b HTTP/1.1\r\n%bX-Expires-In-Ms: %d\r\n%b\r\n\r\n" % (
        head.method,
        head.target,
        head.forwarded_headers,
        time_left,
        head.framing_header(),
    )


def encode_request(head: Head, time_left: int) -> bytes:
    """Encode the request for an attempt, with the time left (ms) and without hop-by-hop headers."""
    if head.upload is not None:
        return encode_request_head(head, time_left)
    return b"%b %b HTTP/1.1\r\n%bX-Expires-In-Ms: %d\r\nContent-Length: %d\r\n\r\n%b" % (
        head.method,
        head.target,
        head.forwarded_headers,
        time_left,
        len(head.body),
        bytes(head.body),
    )
