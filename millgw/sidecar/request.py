"""A caller's request: its head as it comes in, what it must be like, and how an attempt words it.

Nothing that a caller sends is believed. What can be read in two ways is refused, so that no endpoint reads it
in the other: behind such a head another request may hide.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from functools import partial

from millgw.interface import Repeat, Settings
from millgw.sidecar.driver import Answer, Call
from millgw.sidecar.upstream import MAX_BODY, MAX_HEAD, OWN_HEADERS

MAX_PATIENCE_DIGITS = 9  # of X-Expires-In-Ms: enough for any wait, and a number that is cheap to read
ONCE = frozenset(
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


class BadRequest(Exception):
    """A request that is answered at once, and never attempted."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class Head:
    """The line and headers of one request, then its body, as they come in."""

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

    def add(self, name: bytes, value: bytes) -> None:
        lower = name.lower()
        if lower in ONCE and lower in self.values:
            raise BadRequest(400, f"{lower.decode()} is given twice")
        self.values[lower] = value
        if lower not in OWN_HEADERS:
            self.forward += b"%b: %b\r\n" % (name, value)

    def complete(self, method: bytes, version: str, keep: bool) -> None:
        """The headers have ended: refuse what its length and framing already tell of."""
        self.method, self.keep = method, keep
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

    def extend(self, body: bytes) -> None:
        self.body += body
        if len(self.body) > MAX_BODY:
            raise BadRequest(413, "the body is too large")


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


class Terms:
    """What a call must be like to be taken, by the settings."""

    calls = Call

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.classes = {c.name.encode(): i for i, c in enumerate(settings.classes)}
        self.tenants = {t.name.encode(): i for i, t in enumerate(settings.tenants)}

    def call(self, head: Head, answer: Callable[[Answer], None]) -> Call:
        """The call that a request to /api makes."""
        values = head.values
        if not values.get(b"x-trace-id"):
            raise BadRequest(400, "X-Trace-Id is missing")
        index = self.classes.get(values.get(b"x-qos", b""))
        if index is None:
            raise BadRequest(400, "X-Qos is missing or names no class")
        cls = self.settings.classes[index]
        if head.method != (b"GET" if cls.repeat is Repeat.SAFE else b"POST"):
            raise BadRequest(405, "the method does not fit the class")
        if cls.repeat is Repeat.KEYED and not values.get(b"idempotency-key"):
            # Guards against a repeat that no endpoint could recognise.
            raise BadRequest(400, "Idempotency-Key is missing")
        given = values.get(b"x-expires-in-ms", b"")
        if not given.isdigit() or len(given) > MAX_PATIENCE_DIGITS or int(given) == 0:
            raise BadRequest(400, "X-Expires-In-Ms is missing or not whole milliseconds")
        # Guards against a wait far over the class's deadline: timers and books would live that long.
        patience = min(float(given), cls.deadline) - (time.monotonic() - head.ended) * 1000
        tenant = self.tenants.get(values.get(b"x-customer", b""), len(self.tenants))
        return self.calls(index, tenant, patience, partial(word, head), answer, values[b"x-trace-id"])
