"""The protocol core of the endpoints' side: bytes in, an answer and its truth out. No I/O, no clock.

What comes is not believed: the first whole answer counts and nothing behind it, 1xx answers are passed over
with their headers, and what can't be read or is too large is spoilt: an attempt that failed and may have run.

A body is held until it is whole, or goes to `sink` as it comes once there is one. One that ends with its
connection is whole at the connection's end, if its head said that the connection would end.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import httptools

from millgw.http.message import FRAMING_PART, MAX_HEAD, OWN_HEADERS, Content
from millgw.interface import Outcome
from millgw.streams.room import LONG

MORE: Final = 0  # the answer is not whole yet
WHOLE: Final = 1
SPOILT: Final = 2

MOST: Final = 64 * 1024 * 1024  # bytes of an answer: a length beyond it is a fault and not a long answer
BUSY: Final = frozenset({408, 425, 429})  # the 4xx that speak of the endpoint, not of the request


class AnswerCore:
    """One connection's answers, one after another; `begin` before each."""

    __slots__ = (
        "body", "closes", "framing", "headers", "in_head", "length", "most_body", "never_ran", "parser",
        "reading", "reusable", "sink", "sized", "status", "taken", "whole", "why",
    )  # fmt: skip

    def __init__(self, most_body: int) -> None:
        self.most_body = most_body
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.begin()

    def begin(self) -> None:
        """Nothing of this answer has come yet."""
        self._begin_message()
        self.body.clear()
        self.sink: Callable[[bytes], None] | None = None
        self.taken = 0  # bytes of its body so far
        self.framing = 0  # bytes of this answer so far, without its body
        self.whole = False
        self.reusable = True
        self.why = ""

    def _begin_message(self) -> None:
        self.headers = b""
        self.status = 0
        self.length = -1  # of its body, as its head tells; -1 where it does not
        self.sized = False  # whether its end shows: by a length or by chunks
        self.closes = False  # whether its end is that of its connection
        self.never_ran = False
        self.in_head = True
        self.reading = False

    def close(self) -> None:
        """Break the cycle with the parser, which would keep both until the collector comes."""
        self.parser = None

    def feed(self, data: bytes) -> int:
        """Read on: MORE, WHOLE, or SPOILT with `why`. `reusable` tells whether another may follow."""
        before = self.taken
        wrong = self._parse(data)
        self.framing += len(data) - (self.taken - before)
        if self.whole:
            self.reusable = self.reusable and not wrong
            return WHOLE  # what is wrong behind it does not make it wrong
        if not wrong and self.framing > MAX_HEAD + (0 if self.in_head else FRAMING_PART * self.taken):
            wrong = "its head or framing is too large"
        if wrong:
            self.why = wrong
            return SPOILT
        return MORE

    def _parse(self, data: bytes) -> str:
        """What is wrong, if anything."""
        assert self.parser is not None
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            return "it changes the protocol"
        except httptools.HttpParserCallbackError as error:
            return str(error.__context__)
        except httptools.HttpParserError as error:
            return str(error)
        return ""

    def finish(self) -> bool:
        """The connection has ended; tells whether that makes the answer whole."""
        if self.closes and not self.in_head and not self.whole:
            self.whole, self.reading, self.reusable = True, False, False
        return self.whole

    @property
    def long(self) -> bool:
        """Whether it is one to be passed on as it comes: larger than what is held, and its body has begun."""
        return self.status == 200 and self.taken > 0 and max(self.length, self.taken) > LONG

    @property
    def open_ended(self) -> bool:
        """Whether it is one of which nobody knows how long it will be."""
        return self.status == 200 and self.taken > 0 and self.length < 0

    def content(self) -> Content:
        """What is passed on of the answer."""
        return Content(self.headers, bytes(self.body))

    def outcome(self) -> Outcome:
        """What a whole answer says of the attempt (protocol page, Sidecars to endpoints)."""
        if self.status == 200:
            return Outcome.OK
        if 400 <= self.status < 500 and self.status not in BUSY:
            return Outcome.CANCELLED  # the request is at fault: no other endpoint could use it
        # Guards against a plain 503 or 504, which does not prove that nothing ran.
        return Outcome.REJECTED if self.status in (503, 504) and self.never_ran else Outcome.ERROR

    # httptools

    def on_message_begin(self) -> None:
        if self.whole:
            self.reusable = False  # guards against a second answer that would be taken for the next request's
        else:
            self._begin_message()  # guards against headers of a 1xx answer in the final one
            self.reading = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.whole:
            return
        lower = name.lower()
        value = value.rstrip(b" \t")  # left by the parser, no part of the value (RFC 9110 section 5.5)
        if lower == b"x-never-ran":
            self.never_ran = value == b"1"
        elif lower == b"content-length":
            self.length = int(value)
            self.sized = True
        elif lower == b"transfer-encoding":
            self.sized = True
        elif lower not in OWN_HEADERS:
            self.headers += b"%b: %b\r\n" % (name, value)

    def on_headers_complete(self) -> None:
        assert self.parser is not None
        if self.whole:
            return
        self.status = self.parser.get_status_code()
        self.in_head = self.status < 200  # 1xx count with the head behind
        if self.length > (MOST if self.status == 200 else self.most_body):
            raise ValueError(f"its length is {self.length}")  # guards against reading what is no use
        self.closes = not self.sized and not self.parser.should_keep_alive()

    def on_body(self, body: bytes) -> None:
        if self.whole:
            return
        self.taken += len(body)
        if self.sink is not None:
            self.sink(body)
        else:
            self.body += body
            if len(self.body) > self.most_body:
                raise ValueError(f"its body is over {self.most_body} bytes")

    def on_message_complete(self) -> None:
        assert self.parser is not None
        if self.whole:
            return
        self.status = self.parser.get_status_code()
        self.reading = False
        if self.status >= 200:
            self.whole = True
            self.reusable = self.parser.should_keep_alive()
