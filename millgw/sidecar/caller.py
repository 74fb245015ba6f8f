"""One caller's connection: requests in, answers out, one at a time.

A request that can't be understood is answered 4xx and never reaches the driver; all others are its calls.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from typing import TYPE_CHECKING, cast

import httptools

from millgw.sidecar.driver import Answer, Call
from millgw.sidecar.request import BadRequest, Head
from millgw.sidecar.upstream import MAX_HEAD, Content, unread

if TYPE_CHECKING:
    from millgw.sidecar.server import Server

SLICE = 1024  # bytes that are parsed before a request in them is served: what is behind it stays unparsed
LINGER = 0.5  # s that a connection stays open after a last 4xx, so that a client still sending can read it
STUCK_TIME = 3.0  # s that a closing connection waits for its client to read the last answer
MAX_DISCARD = 256 * 1024  # bytes read and thrown away in that time
BAD_PAUSE = 0.1  # s that a connection rests after a bad request, twice as long after each further one
MAX_BAD = 4  # bad requests in a row, after which it ends

REASONS = {
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


log = logging.getLogger("millgw")


class CallerConnection(asyncio.BufferedProtocol):
    """One request at a time; what comes early waits its turn, unparsed."""

    heads = Head

    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.since = self.arrived = time.monotonic()
        self.rest = b""
        self.head: Head | None = None
        self.in_body = False
        self.queue: deque[Head | BadRequest] = deque()
        self.current: Call | None = None
        self.bodies = 0
        self.bad = 0
        self.discarded = 0
        self.resting: asyncio.TimerHandle | None = None
        self.lingering: asyncio.TimerHandle | None = None
        self.serving = False
        self.unread_answers = False
        self.asked = False
        self.keep = True
        self.ended = False

    @property
    def busy(self) -> bool:
        return self.current is not None or self.resting is not None or bool(self.queue)

    @property
    def reading(self) -> bool:
        """In the middle of a request that has not come to its end."""
        return self.head is not None and not self.busy and not self.ended

    def quiet(self, least: float) -> bool:
        """Whether it has been between requests for so long, and has none waiting to be read.

        Guards against losing a request: a client whose request crosses the close sends it again, but once
        only, and under many connections the next one may be closed as well.
        """
        if self.transport is None or time.monotonic() < self.since + least:
            return False
        return not unread(self.transport)

    def close(self) -> None:
        self.ended = True
        self.rest = b""
        self._hold(-self.bodies)
        if self.resting is not None:
            self.resting.cancel()
            self.resting = None
        self.server.left(self)
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        transport.close()
        if transport.get_write_buffer_size():
            # Guards against a client that does not read its last answer, and would hold it for ever.
            self.lingering = self.server.loop.call_later(STUCK_TIME, transport.abort)

    # asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.server.connections.add(self)
        self.server.fresh[self] = None

    def get_buffer(self, sizehint: int) -> bytearray:
        return self.server.buffer

    def buffer_updated(self, nbytes: int) -> None:
        if self.ended:
            self.discarded += nbytes
            if self.discarded > MAX_DISCARD and self.transport is not None:
                self.transport.pause_reading()  # guards against reading on what nobody needs
            return
        self.arrived = time.monotonic()
        self.rest += self.server.buffer[:nbytes]
        self.take_in()

    def _read(self) -> None:
        """Read on until a request is there to be served.

        Guards against floods: what is behind it costs no work and no memory but its bytes, one read at most.
        """
        while self.rest and not self.busy and not self.ended:
            part, self.rest = self.rest[:SLICE], self.rest[SLICE:]
            self._parse(part)
            self._serve()
        if self.transport is None or self.transport.is_closing() or self.ended:
            return
        if self.rest or self.queue or self.unread_answers:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()
            if self.asked and self.head is None and not self.busy:
                self.server.kept[self] = None

    take_in = _read

    def _parse(self, data: bytes) -> None:
        assert self.parser is not None
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The offer of another protocol is passed over; the parser reads nothing after it.
            for item in self.queue:
                if isinstance(item, Head):
                    item.keep = False
        except httptools.HttpParserError as error:
            cause = error.__context__ if isinstance(error, httptools.HttpParserCallbackError) else None
            self.refuse(cause if isinstance(cause, BadRequest) else BadRequest(400, "malformed HTTP"))
            return
        if self.head is not None and not self.in_body:
            self.head.size += len(data)
            if self.head.size > MAX_HEAD:
                self.refuse(BadRequest(431, "the headers are too large"))

    def pause_writing(self) -> None:
        """Guards against a client that asks and never reads its answers."""
        self.unread_answers = True
        self._read()

    def resume_writing(self) -> None:
        self.unread_answers = False
        self._go_on()

    def eof_received(self) -> None:
        self._leave()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.lingering is not None:
            self.lingering.cancel()
            self.lingering = None
        self._leave()
        self.parser = None  # guards against a cycle that would keep both until the collector comes

    def _leave(self) -> None:
        self.close()
        self.queue.clear()
        self.head = None
        call, self.current = self.current, None
        if call is not None:
            self.server.give_up(call)

    # httptools

    def on_message_begin(self) -> None:
        self.head = self.heads()
        self.server.busy(self)
        self.in_body = False
        if self.asked:  # the first one's time counts from connecting
            self.since = time.monotonic()
        self.asked = True

    def on_url(self, url: bytes) -> None:
        assert self.head is not None
        self.head.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        assert self.head is not None
        if not self.in_body:  # else it is a trailer
            self.head.add(name, value)

    def on_headers_complete(self) -> None:
        assert self.head is not None and self.parser is not None
        self.in_body = True
        parser = self.parser
        self.head.complete(parser.get_method(), parser.get_http_version(), parser.should_keep_alive())
        if self.head.values.get(b"expect", b"").lower() == b"100-continue" and not self.busy:
            assert self.transport is not None
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        assert self.head is not None
        self._hold(len(body))
        self.head.extend(body)

    def _hold(self, more: int) -> None:
        self.bodies += more
        self.server.hold(more)

    def on_message_complete(self) -> None:
        assert self.head is not None
        self.head.ended = self.arrived
        self.queue.append(self.head)
        self.head = None

    # Answers

    def refuse(self, bad: BadRequest) -> None:
        """Answer what can't be read once all before it is answered; nothing is read after it."""
        self.ended = True
        self.rest = b""
        self.head = None
        if not self.busy:
            self._hold(-self.bodies)
        self.queue.append(bad)
        self._serve()

    def _serve(self) -> None:
        """Answer what waits, one by one; a call that is answered at once must not start this over."""
        if self.serving:
            return
        self.serving = True
        while self.queue and self.current is None and self.resting is None and not self.unread_answers:
            item = self.queue.popleft()
            if isinstance(item, BadRequest):
                self._end_badly(item)
                break
            self.keep = item.keep
            try:
                made = self.server.read(item, self._answer)
            except BadRequest as bad:
                self._turn_away(bad)
                continue
            self.bad = 0
            if isinstance(made, Call):
                self.current = made
                self.server.take(made)
            else:
                self._answer(made)
        self.serving = False

    def _answer(self, answer: Answer) -> None:
        self.current = None
        self._write(answer)
        self._after()
        if not self.serving:
            self._go_on()

    def _rested(self) -> None:
        self.resting = None
        self._go_on()

    def _go_on(self) -> None:
        self._serve()
        self._read()

    def _after(self) -> None:
        self.since = time.monotonic()
        if self.head is None and not self.queue:
            self._hold(-self.bodies)
        if not self.keep or self.server.stopping:
            self.queue.clear()
            self.close()

    def _turn_away(self, bad: BadRequest) -> None:
        """Answer a request that is read but can't be taken.

        Guards against a client that asks the same again as soon as it is answered: it is made to rest.
        """
        self.bad += 1
        if self.bad >= MAX_BAD:
            self.queue.clear()
            self._end_badly(bad)
            return
        self._say(bad)
        self._after()
        if not self.ended:
            rest = BAD_PAUSE * 2 ** (self.bad - 1)
            self.resting = self.server.loop.call_later(rest, self._rested)

    def _end_badly(self, bad: BadRequest) -> None:
        """The last answer: the client may still be sending, and would lose it to a reset."""
        self.ended = True
        self.keep = False
        self.rest = b""
        self._say(bad)
        if self.transport is not None and not self.transport.is_closing():
            self.server.busy(self)
            self.transport.write_eof()
            self.resting = self.server.loop.call_later(LINGER, self.close)

    def _say(self, bad: BadRequest) -> None:
        log.info("turned a request away: %d %s", bad.status, bad)
        self._write(Answer(bad.status, Content(b"Content-Type: text/plain\r\n", f"{bad}\n".encode())))

    def _write(self, answer: Answer) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        content, headers = answer.content, answer.content.headers
        if answer.retry_after > 0:
            headers += b"Retry-After: %.3f\r\n" % (answer.retry_after / 1000)
        if not self.keep or self.server.stopping:
            headers += b"Connection: close\r\n"
        self.transport.write(
            b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n%b\r\n%b"
            % (answer.status, REASONS[answer.status], len(content.body), headers, content.body)
        )
