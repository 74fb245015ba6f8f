"""HTTP request parser of the control server, one request to a connection. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

import httptools

from millgw.http.request import BadRequest
from millgw.http.request_parser import RequestParser, framing_header_of

MAX_REQUEST_SIZE = 8 * 1024  # bytes of a whole request; no control call needs a body


@dataclass(frozen=True)
class ControlRequest:
    """A parsed request to the control server."""

    method: str
    path: str
    headers: dict[str, str]


class ControlRequestParser:
    """Parses the request of one connection. Call `feed` until it returns a result, then no more."""

    def __init__(self) -> None:
        self.parser = RequestParser(self)
        self.method = ""
        self.target = b""
        self.headers: dict[str, str] = {}
        self.received = 0
        self.complete = False

    def feed(self, data: bytes) -> ControlRequest | BadRequest | None:
        """Parse more bytes: the request once complete, an error, or None while it is incomplete."""
        self.received += len(data)
        try:
            self.parser.feed(data)
        except httptools.HttpParserError:
            if not self.complete:
                self.parser.close()
                return BadRequest(400, "malformed HTTP")
        if self.complete:
            self.parser.close()
            path = self.target.partition(b"?")[0].decode("latin-1")
            return ControlRequest(self.method, path, self.headers)
        if self.received > MAX_REQUEST_SIZE:
            self.parser.close()
            return BadRequest(431, "the call is too large")
        return None

    # Callbacks of `parser`; what follows the first request is not its own

    def on_message_begin(self) -> None:
        """Nothing to prepare: a connection carries one request."""

    def on_url(self, url: bytes) -> None:
        if not self.complete:
            self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.complete:
            self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        if not self.complete:
            self.method = self.parser.get_method().decode("latin-1")

    def framing_header(self) -> bytes:
        return framing_header_of(self.headers)

    def on_body(self, body: bytes) -> None:
        """No control call needs its body; `received` bounds it."""

    def on_message_complete(self) -> None:
        self.complete = True
