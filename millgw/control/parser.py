"""HTTP request parser of the control server, one request to a connection. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

import httptools

from millgw.http.request import BadRequest

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
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.method = ""
        self.target = b""
        self.headers: dict[str, str] = {}
        self.received = 0
        self.complete = False

    def feed(self, data: bytes) -> ControlRequest | BadRequest | None:
        """Parse more bytes: the request once complete, an error, or None while it is incomplete."""
        assert self.parser is not None
        self.received += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass  # the offered upgrade is ignored; the request is complete
        except httptools.HttpParserError:
            if not self.complete:
                self.parser = None
                return BadRequest(400, "malformed HTTP")
        if self.complete:
            self.parser = None
            path = self.target.partition(b"?")[0].decode("latin-1")
            return ControlRequest(self.method, path, self.headers)
        if self.received > MAX_REQUEST_SIZE:
            self.parser = None
            return BadRequest(431, "the call is too large")
        return None

    # Callbacks of httptools

    def on_url(self, url: bytes) -> None:
        if not self.complete:
            self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.complete:
            self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        if not self.complete and self.parser is not None:
            self.method = self.parser.get_method().decode("latin-1")

    def on_message_complete(self) -> None:
        self.complete = True
