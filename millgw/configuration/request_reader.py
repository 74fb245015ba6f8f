"""Incremental HTTP request parser with size limits: bytes in, complete requests out. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import parse_qsl, unquote

import httptools

from millgw.http.request_parser import RequestParser

MAX_HEAD = 8 * 1024  # bytes; request line and headers
HEADER_OVERHEAD = 4  # bytes of a header line besides name and value: ": " and CRLF
MAX_PIPELINED = 16  # requests in one read of a connection
FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})


class BadRequestError(Exception):
    """An invalid request; it is answered with `status` and its connection is closed."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True, frozen=True)
class Request:
    """One complete request."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes
    keep_alive: bool


class RequestReader:
    """Parses the requests of one connection; `max_body` returns the largest body for a path, in bytes."""

    def __init__(self, max_body: Callable[[str], int]) -> None:
        self._max_body = max_body
        self._parser = RequestParser(self)
        self._complete: list[Request] = []
        self._error: BadRequestError | None = None
        self._begin()

    @property
    def idle(self) -> bool:
        """Whether no request is partially read."""
        return not self._received

    def close(self) -> None:
        """Break the reference cycle with the parser, which would last until a garbage collection."""
        self._parser.close()

    def feed(self, data: bytes) -> list[Request]:
        """The requests completed by these bytes; after a BadRequestError nothing more may be read."""
        self._received += len(data)
        try:
            self._parser.feed(data)
        except httptools.HttpParserError:
            raise self._error or BadRequestError(400, "not HTTP/1.1") from None
        if not self._head_done and self._received > MAX_HEAD:
            raise BadRequestError(431, "the head is too long")
        complete, self._complete = self._complete, []
        if len(complete) > MAX_PIPELINED:
            raise BadRequestError(400, "too many requests at once")
        return complete

    def _begin(self) -> None:
        self._received = 0  # bytes since the last whole request
        self._head_size = 0
        self._head_done = False
        self._framing = b""
        self._target = b""
        self._body = bytearray()
        self._limit = 0

    def _count_head(self, size: int) -> None:
        self._head_size += size
        if self._head_size > MAX_HEAD:
            self._refuse(431, "the head is too long")

    def _refuse(self, status: int, text: str) -> None:
        # The parser replaces this exception by one of its own, so `feed` raises the stored one.
        self._error = BadRequestError(status, text)
        raise self._error

    # Callbacks of `_parser`

    def on_message_begin(self) -> None:
        """Nothing to prepare: the end of the request before it did."""

    def on_url(self, url: bytes) -> None:
        self._target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count_head(len(name) + len(value) + HEADER_OVERHEAD)
        lower = name.lower()
        if lower in FRAMING_HEADERS and not self._head_done:
            self._framing = lower + b": " + value
        if lower == b"content-length" and value.strip().isdigit() and len(value) < 20:
            path = self._target.partition(b"?")[0].decode("latin-1")
            if int(value) > self._max_body(path):
                self._refuse(413, "the body is too long")

    def on_headers_complete(self) -> None:
        self._head_done = True
        self._limit = self._max_body(self._target.partition(b"?")[0].decode("latin-1"))

    def framing_header(self) -> bytes:
        return self._framing

    def on_body(self, body: bytes) -> None:
        if len(self._body) + len(body) > self._limit:
            self._refuse(413, "the body is too long")
        self._body += body

    def on_message_complete(self) -> None:
        target = self._target.decode("latin-1")
        path, _, query = target.partition("?")
        method = self._parser.get_method().decode("latin-1")
        pairs = dict(parse_qsl(query, keep_blank_values=True))
        keep_alive = bool(self._parser.should_keep_alive())
        self._complete.append(Request(method, unquote(path), pairs, bytes(self._body), keep_alive))
        self._begin()
