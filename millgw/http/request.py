"""A caller's request: its head and body as they come in, and how an attempt words it. No I/O, no clock.

Nothing that a caller sends is believed. What can be read in two ways is refused, so that no endpoint reads it
in the other: behind such a head another request may hide.
"""

from __future__ import annotations

from enum import Enum
from typing import Final, Protocol

from millgw.http.message import MAX_BODY, MAX_HEAD, OWN_HEADERS, Answer, plain
from millgw.streams.room import LONG
from millgw.streams.upload import Upload

ONCE: Final = frozenset(
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
"""Headers that are judged. Given twice, one would be judged and both passed on."""


class Came(Enum):
    """How far a request had come in when it was turned away."""

    LINE = "line"
    HEAD = "head"
    BODY = "body"
    WHOLE = "whole"


class BadRequest(Exception):
    """A request that is answered at once, and never attempted.

    `came` and `trace` tell the log how far it had come in, and its X-Trace-Id where that was read.
    """

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status
        self.came = Came.WHOLE
        self.trace = ""

    def answer(self) -> Answer:
        """How it is told, in plain text."""
        return plain(self.status, str(self))


class Taker(Protocol):
    """The pool that a request is for, as far as its body goes."""

    name: str

    def answered(self, head: Head, status: int) -> None:
        """Its caller is given a final answer."""

    def enter(self) -> int: ...

    def leave(self) -> None: ...

    def hold(self, more: int) -> None:
        """Count bytes of bodies that come in, or are given back; a BadRequest tells that there is no room."""


class Head:
    """The line and headers of one request, then its body, as they come in.

    Once the headers have ended, `pool` is whose it is, `wrong` why it is nobody's, and `refused` the answer
    to one that is turned away from its head alone: the body of such a one is read and dropped.
    """

    __slots__ = (
        "body", "ended", "forward", "keep", "length", "long", "method", "pool", "refused", "target", "told",
        "upload", "values", "version", "wrong",
    )  # fmt: skip

    def __init__(self) -> None:
        self.method = b""
        self.target = b""
        self.values: dict[bytes, bytes] = {}
        self.forward = b""
        self.body = b""
        self.length = 0  # bytes of the body so far
        self.told = -1  # its length as the headers tell; -1 where it comes in chunks
        self.long = False  # more than is held whole: it is to be passed on as it comes
        self.upload: Upload | None = None  # where its body goes, once it is passed on
        self.keep = False
        self.version = ""
        self.ended = 0.0  # s, on the clock of who feeds it
        self.pool: Taker | None = None
        self.wrong: BadRequest | None = None
        self.refused: Answer | None = None

    def add(self, name: bytes, value: bytes) -> None:
        lower = name.lower()
        value = value.rstrip(b" \t")  # left by the parser, no part of the value (RFC 9110 section 5.5)
        if lower in ONCE and lower in self.values:
            raise BadRequest(400, f"{lower.decode()} is given twice")
        self.values[lower] = value
        if lower not in OWN_HEADERS:
            self.forward += b"%b: %b\r\n" % (name, value)

    def complete(self, method: bytes, version: str, keep: bool) -> None:
        """The headers have ended: refuse what its length and framing already tell of."""
        self.method, self.version, self.keep = method, version, keep
        if len(self.target) + len(self.forward) > MAX_HEAD:
            raise BadRequest(431, "the headers are too large")
        coding, length = self.values.get(b"transfer-encoding"), self.values.get(b"content-length", b"0")
        if coding is not None and (
            coding.lower() != b"chunked" or b"content-length" in self.values or version != "1.1"
        ):
            raise BadRequest(400, "Transfer-Encoding is ambiguous or not known")
        if not length.isdigit():
            raise BadRequest(400, "Content-Length is not a number")
        if len(length) > len(str(MAX_BODY)) or int(length) > MAX_BODY:
            raise BadRequest(413, "the body is too large")
        if coding is None:
            self.told = int(length)
            self.long = self.told > LONG

    @property
    def trace(self) -> str:
        """Its X-Trace-Id, empty where none was read; for the log."""
        return self.values.get(b"x-trace-id", b"").decode("ascii", "backslashreplace")

    def extend(self, body: bytes) -> None:
        self.length += len(body)
        if self.length > MAX_BODY:
            raise BadRequest(413, "the body is too large")
        if self.upload is not None:
            self.upload.put(body)
            return
        self.long = self.long or self.length > LONG
        if self.pool is not None and self.refused is None:
            self.pool.hold(len(body))
            self.body += body

    def release(self) -> None:
        """Give back what its body takes: it is answered, or nobody waits for its answer."""
        if self.pool is not None and self.body:
            self.pool.hold(-len(self.body))
            self.body = b""


def word_head(head: Head, left: int) -> bytes:
    """The same without a body, which follows as it comes: of the length told, or in chunks."""
    framing = b"Content-Length: %d" % head.told if head.told >= 0 else b"Transfer-Encoding: chunked"
    return b"%b %b HTTP/1.1\r\n%bX-Expires-In-Ms: %d\r\n%b\r\n\r\n" % (
        head.method,
        head.target,
        head.forward,
        left,
        framing,
    )


def word(head: Head, left: int) -> bytes:
    """The request as an attempt sends it, with the time left in place of the connection's own headers."""
    if head.upload is not None:
        return word_head(head, left)
    return b"%b %b HTTP/1.1\r\n%bX-Expires-In-Ms: %d\r\nContent-Length: %d\r\n\r\n%b" % (
        head.method,
        head.target,
        head.forward,
        left,
        len(head.body),
        head.body,
    )
