"""The protocol core of the door: one call to a connection, bytes in, a call or a refusal out. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

import httptools

from millgw.http.request import BadRequest

MAX_REQUEST_SIZE = 8 * 1024  # bytes of a call with everything: none has use for a body


@dataclass(frozen=True)
class ControlRequest:
    """What a caller of the door wants."""

    method: str
    path: str
    headers: dict[str, str]


class ControlRequestParser:
    """One connection's call. `feed` until it gives something, then no more."""

    def __init__(self) -> None:
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.target = b""
        self.headers: dict[str, str] = {}
        self.received = 0
        self.complete = False

    def feed(self, data: bytes) -> ControlRequest | BadRequest | None:
        """Read on: the call once it is whole, what is wrong with it, or None while there is more to come."""
        assert self.parser is not None
        self.received += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass  # the offer of another protocol is passed over; the call is whole
        except httptools.HttpParserError:
            if not self.complete:
                self.parser = None
                return BadRequest(400, "malformed HTTP")
        if self.complete:
            method, self.parser = self.parser.get_method().decode("latin-1"), None
            path = self.target.partition(b"?")[0].decode("latin-1")
            return ControlRequest(method, path, self.headers)
        if self.received > MAX_REQUEST_SIZE:
            self.parser = None
            return BadRequest(431, "the call is too large")
        return None

    # httptools

    def on_url(self, url: bytes) -> None:
        if not self.complete:
            self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.complete:
            self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_message_complete(self) -> None:
        self.complete = True
