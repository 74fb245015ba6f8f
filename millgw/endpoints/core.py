"""The protocol core of the endpoints' side: bytes in, an answer and its truth out. No I/O, no clock.

What comes is not believed: the first whole answer counts and nothing behind it, 1xx answers are passed over
with their headers, and what can't be read or is too large is spoilt: an attempt that failed and may have run.
"""

from __future__ import annotations

from typing import Final

import httptools

from millgw.interface import Outcome
from millgw.message import FRAMING_PART, MAX_HEAD, OWN_HEADERS, Content

MORE: Final = 0  # the answer is not whole yet
WHOLE: Final = 1
SPOILT: Final = 2

BUSY: Final = frozenset({408, 425, 429})  # the 4xx that speak of the endpoint, not of the request


class AnswerCore:
    """One connection's answers, one after another; `begin` before each."""

    __slots__ = (
        "body", "framing", "headers", "in_head", "most_body", "never_ran", "parser", "reading", "reusable",
        "status", "whole", "why",
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
        self.framing = 0  # bytes of this answer so far, without its body
        self.whole = False
        self.reusable = True
        self.why = ""

    def _begin_message(self) -> None:
        self.headers = b""
        self.status = 0
        self.never_ran = False
        self.in_head = True
        self.reading = False

    def close(self) -> None:
        """Break the cycle with the parser, which would keep both until the collector comes."""
        self.parser = None

    def feed(self, data: bytes) -> int:
        """Read on: MORE, WHOLE, or SPOILT with `why`. `reusable` tells whether another may follow."""
        before = len(self.body)
        wrong = self._parse(data)
        self.framing += len(data) - (len(self.body) - before)
        if self.whole:
            self.reusable = self.reusable and not wrong
            return WHOLE  # what is wrong behind it does not make it wrong
        if not wrong and self.framing > MAX_HEAD + (0 if self.in_head else FRAMING_PART * len(self.body)):
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
        if lower == b"x-never-ran":
            self.never_ran = value == b"1"
        elif lower == b"content-length":
            if int(value) > self.most_body:
                raise ValueError(f"its length is {value.decode()}")  # guards against reading what is no use
        elif lower not in OWN_HEADERS:
            self.headers += b"%b: %b\r\n" % (name, value)

    def on_headers_complete(self) -> None:
        assert self.parser is not None
        self.in_head = self.parser.get_status_code() < 200  # 1xx count with the head behind

    def on_body(self, body: bytes) -> None:
        if not self.whole:
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
