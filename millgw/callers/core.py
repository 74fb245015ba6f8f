"""HTTP/1.1 request parser for callers' connections, and answer encoding. No I/O, no clock.

A request that can't be parsed makes `RequestCore.feed` return a BadRequest, and nothing behind it is parsed.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Final

import httptools

from millgw.http.message import MAX_FRAMING_RATIO, MAX_HEAD, Answer
from millgw.http.request import HEAD_TOO_LARGE, BadRequest, Head, ReceiveStage
from millgw.http.request_parser import RequestParser

REASONS: Final = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
}


def encode_answer(answer: Answer, close: bool) -> bytes:
    """Encode a whole answer; `close` marks the last one on its connection."""
    content = answer.content
    headers = content.headers
    if answer.retry_after > 0:
        headers += b"Retry-After: %.3f\r\n" % (answer.retry_after / 1000)
    if close:
        headers += b"Connection: close\r\n"
    return b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n%b\r\n%b" % (
        answer.status,
        REASONS[answer.status],
        len(content.body),
        headers,
        content.body,
    )


def encode_answer_head(answer: Answer, length: int | None, chunked: bool, close: bool) -> bytes:
    """Encode the head of a streamed answer: with a length, chunked, or delimited by the connection's end."""
    headers = answer.content.headers
    if length is not None:
        headers += b"Content-Length: %d\r\n" % length
    elif chunked:
        headers += b"Transfer-Encoding: chunked\r\n"
    if close:
        headers += b"Connection: close\r\n"
    return b"HTTP/1.1 %d %b\r\n%b\r\n" % (answer.status, REASONS[answer.status], headers)


class RequestCore:
    """Parser for one connection. `assign_pool` is called for each request once its headers are read.

    `queue` holds requests received whole, `head` the one still being received. `requests_begun`
    counts all, `expects_continue` is set while the caller waits for a 100 Continue before it sends the body
    of `head`.
    """

    __slots__ = (
        "arrived", "assign_pool", "body_bytes", "expects_continue", "framing_bytes", "head", "in_body",
        "mostly_framing", "parser", "queue", "requests_begun",
    )  # fmt: skip

    def __init__(self, assign_pool: Callable[[Head], None]) -> None:
        self.assign_pool = assign_pool
        self.parser: RequestParser | None = RequestParser(self)
        self.queue: deque[Head | BadRequest] = deque()
        self.head: Head | None = None
        self.in_body = False
        self.requests_begun = 0
        self.expects_continue = False
        self.framing_bytes = 0  # bytes of the current request so far, without its body
        self.body_bytes = 0  # bytes of bodies so far, summed over all requests
        self.mostly_framing = (
            False  # whether less than half of what was fed last was body: it is dear to parse
        )
        self.arrived = 0.0

    def close(self) -> None:
        """Break the reference cycle with the parser, which would last until a garbage collection."""
        if self.parser is not None:
            self.parser.close()
            self.parser = None

    def receive_stage(self) -> ReceiveStage:
        """How much of the current request has been received."""
        if self.head is None:
            return ReceiveStage.WHOLE
        if self.in_body:
            return ReceiveStage.BODY
        return ReceiveStage.HEAD if self.head.headers or self.head.header_lines else ReceiveStage.LINE

    def feed(self, data: bytes, now: float) -> BadRequest | None:
        """Parse `data`, which arrived at `now` (s). After an error is returned, nothing more may be fed."""
        if self.parser is None:
            return None
        self.arrived = now
        before = self.body_bytes
        try:
            self.parser.feed(data)
        except httptools.HttpParserError as error:
            cause = error.__context__ if isinstance(error, httptools.HttpParserCallbackError) else None
            return cause if isinstance(cause, BadRequest) else BadRequest(400, "malformed HTTP")
        framing = len(data) - (self.body_bytes - before)
        self.framing_bytes += framing
        self.mostly_framing = 2 * framing > len(data)
        if self.head is not None:
            if not self.in_body:
                if self.framing_bytes > MAX_HEAD:
                    return BadRequest(431, HEAD_TOO_LARGE)
            elif self.framing_bytes > MAX_HEAD + MAX_FRAMING_RATIO * self.head.body_received:
                # Otherwise chunk extensions, which have no use here, could be sent without end.
                return BadRequest(400, "the body's framing is too large")
        return None

    # Callbacks of `parser`

    def on_message_begin(self) -> None:
        self.head = Head()
        self.requests_begun += 1
        self.framing_bytes = 0
        self.in_body = False
        self.expects_continue = False

    def on_url(self, url: bytes) -> None:
        assert self.head is not None
        self.head.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        assert self.head is not None
        if not self.in_body:  # trailers are ignored
            self.head.add(name, value)

    def on_headers_complete(self) -> None:
        head, parser = self.head, self.parser
        assert head is not None and parser is not None
        self.in_body = True
        head.complete(parser.get_method(), parser.get_http_version(), parser.should_keep_alive())
        self.assign_pool(head)
        expect = head.headers.get(b"expect")
        if expect is not None and expect.lower() == b"100-continue":
            if head.refusal is not None:
                # A final answer instead of 100 Continue (RFC 9110 section 10.1.1): the body is never sent.
                raise BadRequest(head.refusal.status, "there is no room now")
            self.expects_continue = True

    def framing_header(self) -> bytes:
        assert self.head is not None
        return self.head.framing_header()

    def on_body(self, body: bytes) -> None:
        assert self.head is not None
        self.body_bytes += len(body)
        self.head.extend(body)

    def on_message_complete(self) -> None:
        assert self.head is not None
        self.head.received_at = self.arrived
        if self.head.upload is not None:
            self.head.upload.end()  # its call began with the first bytes of the body
        else:
            self.head.streams_body = False  # received whole before streaming began
            self.queue.append(self.head)
        self.head = None
        self.expects_continue = False
