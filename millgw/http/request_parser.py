"""Incremental parser of HTTP/1.1 requests that ignores offers to switch protocols. No I/O, no clock.

A request with `Upgrade` is handled as if it had none (RFC 9110 section 7.8). httptools can't do that: it ends
such a request with its head, without its body, and would parse the body as the next request.
"""

from __future__ import annotations

from collections.abc import Mapping
from types import SimpleNamespace
from typing import Protocol

import httptools

TUNNEL_METHOD = b"CONNECT"


class RequestCallbacks(Protocol):
    """Called by a `RequestParser` in this order for each request; `on_header` also for trailers."""

    def on_message_begin(self) -> None: ...

    def on_url(self, url: bytes) -> None: ...

    def on_header(self, name: bytes, value: bytes) -> None: ...

    def on_headers_complete(self) -> None: ...

    def framing_header(self) -> bytes:
        """The header line that delimits the body of the present request, without its end; may be empty.

        Called after `on_headers_complete`, and only for a request with `Upgrade`.
        """

    def on_body(self, body: bytes) -> None: ...

    def on_message_complete(self) -> None: ...


def framing_header_of(headers: Mapping[str, str]) -> bytes:
    """`RequestCallbacks.framing_header` of a request, by its headers under their lower-case names."""
    for name in ("transfer-encoding", "content-length"):
        if name in headers:
            return f"{name}: {headers[name]}".encode("latin-1")
    return b""


class RequestParser:
    """Parses the requests of one connection; close it at the end, as it is part of a reference cycle.

    What follows a CONNECT request is not HTTP (RFC 9110 section 9.3.6) and is discarded.
    """

    __slots__ = ("_callbacks", "_parser", "_replaced_head", "_replaying", "_tunnel")

    def __init__(self, callbacks: RequestCallbacks) -> None:
        self._callbacks = callbacks
        self._replaced_head = b""  # stands for the head of the present request, without `Upgrade`
        self._replaying = False  # whether `_replaced_head` is being parsed
        self._tunnel = False  # whether CONNECT was requested
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(
            # Bound directly, as most connections never see an offer and headers are many.
            SimpleNamespace(
                on_message_begin=callbacks.on_message_begin,
                on_url=callbacks.on_url,
                on_header=callbacks.on_header,
                on_headers_complete=callbacks.on_headers_complete,
                on_body=callbacks.on_body,
                on_message_complete=self._on_message_complete,
            )
        )

    def close(self) -> None:
        """Break the reference cycle, which would last until a garbage collection; feed nothing afterwards."""
        self._parser = None

    def feed(self, data: bytes) -> None:
        """Parse `data`; raises httptools.HttpParserError if it is malformed.

        If a callback raised, that is an httptools.HttpParserCallbackError, with the cause as its context.
        """
        rest: bytes | memoryview = data
        while not self._tunnel:
            head_end = self._feed_to_upgrade(rest)
            if head_end < 0:
                return
            if self._replaced_head:
                self._replay_head()
            else:
                self._tunnel = True
            rest = memoryview(rest)[head_end:]

    def get_method(self) -> bytes:
        """The method of the present request."""
        assert self._parser is not None
        method: bytes = self._parser.get_method()
        return method

    def get_http_version(self) -> str:
        """The version of HTTP of the present request, such as "1.1"."""
        assert self._parser is not None
        version: str = self._parser.get_http_version()
        return version

    def should_keep_alive(self) -> bool:
        """Whether another request may follow the present one on its connection."""
        assert self._parser is not None
        return bool(self._parser.should_keep_alive()) and self.get_method() != TUNNEL_METHOD

    def _feed_to_upgrade(self, data: bytes | memoryview) -> int:
        """Parse up to the end of a head with `Upgrade`, and return its offset; -1 if all was parsed."""
        assert self._parser is not None
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            offset: int = upgrade.args[0]
            return offset
        return -1

    def _replay_head(self) -> None:
        """Continue with a new parser, which is told of the present request only how its body is framed."""
        head, self._replaced_head = self._replaced_head, b""
        callbacks = self._callbacks
        self._parser = httptools.HttpRequestParser(
            SimpleNamespace(
                on_message_begin=self._on_message_begin,
                on_url=self._on_url,
                on_header=self._on_header,
                on_headers_complete=self._on_headers_complete,
                on_body=callbacks.on_body,
                on_message_complete=self._on_message_complete,
            )
        )
        self._replaying = True
        self._parser.feed_data(head)

    def _encode_replaced_head(self) -> bytes:
        connection = b"keep-alive" if self.should_keep_alive() else b"close"
        lines = [
            b"%b / HTTP/%b" % (self.get_method(), self.get_http_version().encode()),
            b"Connection: " + connection,
        ]
        framing = self._callbacks.framing_header()
        if framing:
            lines.append(framing)
        return b"\r\n".join(lines) + b"\r\n\r\n"

    # httptools: the end of a message, and after an offer all that a replayed head must not report again

    def _on_message_begin(self) -> None:
        if not self._replaying:
            self._callbacks.on_message_begin()

    def _on_url(self, url: bytes) -> None:
        if not self._replaying:
            self._callbacks.on_url(url)

    def _on_header(self, name: bytes, value: bytes) -> None:
        if not self._replaying:
            self._callbacks.on_header(name, value)

    def _on_headers_complete(self) -> None:
        if not self._replaying:
            self._callbacks.on_headers_complete()
        self._replaying = False

    def _on_message_complete(self) -> None:
        assert self._parser is not None
        if self._parser.should_upgrade() and self.get_method() != TUNNEL_METHOD:
            self._replaced_head = self._encode_replaced_head()
            return
        self._callbacks.on_message_complete()
