"""Requests to an instance as they come in: bytes in, whole requests out, within bounds. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import parse_qsl, unquote

import httptools

MAX_HEAD = 8 * 1024  # bytes of a request's line and headers
HEADER_FRAMING = 4  # bytes of a header beside its name and value
MAX_PIPELINED = 16  # requests that may come at once on one connection


class BadRequestError(Exception):
    """A request that is answered with `status` and ends its connection."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True, frozen=True)
class Request:
    """One whole request."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes
    keep_alive: bool


class RequestReader:
    """Reads one connection; `max_body` gives the bytes that a path's body may have."""

    def __init__(self, max_body: Callable[[str], int]) -> None:
        self._max_body = max_body
        self._parser = httptools.HttpRequestParser(self)
        self._done: list[Request] = []
        self._error: BadRequestError | None = None
        self._begin()

    @property
    def idle(self) -> bool:
        """Whether no request is half read."""
        return not self._fed

    def feed(self, data: bytes) -> list[Request]:
        """The requests that are whole with these bytes; a BadRequestError tells why nothing more is read."""
        self._fed += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise BadRequestError(400, "no other protocol is spoken here") from None
        except httptools.HttpParserError:
            raise self._error or BadRequestError(400, "not HTTP/1.1") from None
        if not self._head_done and self._fed > MAX_HEAD:
            raise BadRequestError(431, "the head is too long")
        done, self._done = self._done, []
        if len(done) > MAX_PIPELINED:
            raise BadRequestError(400, "too many requests at once")
        return done

    def _begin(self) -> None:
        self._fed = 0  # bytes since the last whole request
        self._head = 0
        self._head_done = False
        self._target = b""
        self._body = bytearray()
        self._limit = 0

    def _count_head(self, more: int) -> None:
        self._head += more
        if self._head > MAX_HEAD:
            self._refuse(431, "the head is too long")

    def _refuse(self, status: int, text: str) -> None:
        # Raised through the parser, which words it as an error of its own.
        self._error = BadRequestError(status, text)
        raise self._error

    # httptools

    def on_url(self, url: bytes) -> None:
        self._target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count_head(len(name) + len(value) + HEADER_FRAMING)
        if name.lower() == b"content-length" and value.strip().isdigit() and len(value) < 20:
            path = self._target.partition(b"?")[0].decode("latin-1")
            if int(value) > self._max_body(path):
                self._refuse(413, "the body is too long")

    def on_headers_complete(self) -> None:
        self._head_done = True
        self._limit = self._max_body(self._target.partition(b"?")[0].decode("latin-1"))

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
        self._done.append(Request(method, unquote(path), pairs, bytes(self._body), keep_alive))
        self._begin()
