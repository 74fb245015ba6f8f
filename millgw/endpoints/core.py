"""Sans-I/O parser of endpoints' answers: bytes in, an answer and the attempt's outcome out. No clock.

Endpoints are not trusted to be correct: only the first complete answer counts and nothing behind it, 1xx
answers are skipped with their headers, and an answer that can't be parsed or is too large is `INVALID`: the
attempt failed and may have run.

A body is buffered until it is complete, or passed to `sink` as it arrives once that is set. A body that is
delimited by the end of the connection is complete at that end only if the head announced it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import httptools

from millgw.http.message import (
    HOP_BY_HOP_HEADERS,
    MAX_FRAMING_RATIO,
    MAX_HEAD,
    Content,
    without_connection_options,
)
from millgw.interface import Outcome
from millgw.streams.limiter import STREAM_THRESHOLD

# Results of `AnswerCore.feed`
INCOMPLETE: Final = 0  # the answer is incomplete
COMPLETE: Final = 1
INVALID: Final = 2

# Bytes; an answer that states a greater length is an error, not a long answer.
MAX_ANSWER_LENGTH: Final = 64 * 1024 * 1024
# The 4xx statuses that concern the endpoint, not the request.
ENDPOINT_STATUSES: Final = frozenset({408, 425, 429})


class AnswerCore:
    """Parses the answers of one connection, one after another; call `begin` before each."""

    __slots__ = (
        "body", "body_bytes", "complete", "connection_options", "delimited", "ends_with_connection", "error",
        "framing_bytes", "header_lines", "headers", "in_head", "in_message", "length", "max_body",
        "never_ran", "parser", "reusable", "sink", "status",
    )  # fmt: skip

    def __init__(self, max_body: int) -> None:
        self.max_body = max_body
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.begin()

    def begin(self) -> None:
        """Reset the state for the next answer."""
        self._begin_message()
        self.body.clear()
        self.sink: Callable[[bytes], None] | None = None
        self.body_bytes = 0  # bytes of its body received so far
        self.framing_bytes = 0  # bytes of this answer received so far, without its body
        self.complete = False
        self.reusable = True
        self.error = ""

    def _begin_message(self) -> None:
        self.header_lines = bytearray()  # the header lines received so far, without hop-by-hop headers
        self.headers = b""  # those to forward, once the head is complete
        self.connection_options = b""  # the values of all its Connection headers
        self.status = 0
        self.length = -1  # bytes of its body as stated by its head; -1 if unknown
        self.delimited = False  # whether its end is marked by a length or by chunks
        self.ends_with_connection = False  # whether its end is the end of its connection
        self.never_ran = False
        self.in_head = True
        self.in_message = False

    def close(self) -> None:
        """Break the reference cycle with the parser, which would keep both until a garbage collection."""
        self.parser = None

    def feed(self, data: bytes) -> int:
        """Parse more data; sets `error` if the result is `INVALID`.

        `reusable` then states whether the connection can be used for another answer.
        """
        body_before = self.body_bytes
        error = self._parse(data)
        self.framing_bytes += len(data) - (self.body_bytes - body_before)
        if self.complete:
            self.reusable = self.reusable and not error
            return COMPLETE  # an error behind the answer does not invalidate it
        if not error and self.framing_bytes > MAX_HEAD + (
            0 if self.in_head else MAX_FRAMING_RATIO * self.body_bytes
        ):
            error = "answer head or framing is too large"
        if error:
            self.error = error
            return INVALID
        return INCOMPLETE

    def _parse(self, data: bytes) -> str:
        """Feed the parser; returns the error, empty if there is none."""
        assert self.parser is not None
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            return "answer switches to another protocol"
        except httptools.HttpParserCallbackError as error:
            return str(error.__context__)
        except httptools.HttpParserError as error:
            return str(error)
        return ""

    def connection_ended(self) -> bool:
        """Note the end of the connection; returns whether the answer is complete."""
        if self.ends_with_connection and not self.in_head and not self.complete:
            self.complete, self.in_message, self.reusable = True, False, False
        return self.complete

    @property
    def too_long_to_buffer(self) -> bool:
        """Whether the answer is to be streamed: larger than what is buffered, and its body has begun."""
        return (
            self.status == 200
            and self.body_bytes > 0
            and max(self.length, self.body_bytes) > STREAM_THRESHOLD
        )

    @property
    def open_ended(self) -> bool:
        """Whether the answer's body has begun and its length is unknown."""
        return self.status == 200 and self.body_bytes > 0 and self.length < 0

    def content(self) -> Content:
        """The part of the answer that is passed on to the caller."""
        return Content(self.headers, bytes(self.body))

    def outcome(self) -> Outcome:
        """The attempt's outcome by a complete answer (protocol specification, Sidecars to endpoints)."""
        if self.status == 200:
            return Outcome.OK
        if 400 <= self.status < 500 and self.status not in ENDPOINT_STATUSES:
            return Outcome.CANCELLED  # the request is at fault: another endpoint would refuse it as well
        # A 503 or 504 alone does not prove that nothing ran.
        return Outcome.REJECTED if self.status in (503, 504) and self.never_ran else Outcome.ERROR

    # httptools

    def on_message_begin(self) -> None:
        if self.complete:
            self.reusable = False  # a second answer would be taken for the answer to the next request
        else:
            self._begin_message()  # otherwise headers of a 1xx answer would end up in the final one
            self.in_message = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.complete or not self.in_head:  # trailers are ignored
            return
        lower = name.lower()
        value = value.rstrip(b" \t")  # the parser leaves it; not part of the value (RFC 9110 section 5.5)
        if lower == b"x-never-ran":
            self.never_ran = value == b"1"
        elif lower == b"content-length":
            self.length = int(value)
            self.delimited = True
        elif lower == b"transfer-encoding":
            self.delimited = True
        elif lower not in HOP_BY_HOP_HEADERS:
            self.header_lines += b"%b: %b\r\n" % (name, value)
        elif lower == b"connection":
            self.connection_options += b"," + value

    def on_headers_complete(self) -> None:
        assert self.parser is not None
        if self.complete:
            return
        self.headers = bytes(self.header_lines)
        if self.connection_options:
            self.headers = without_connection_options(self.headers, self.connection_options)
        self.status = self.parser.get_status_code()
        self.in_head = self.status < 200  # 1xx answers count as part of the head that follows
        if self.length > (MAX_ANSWER_LENGTH if self.status == 200 else self.max_body):
            # Reading on would be wasted, as the answer is refused anyway.
            raise ValueError(f"answer length {self.length} is over the limit")
        self.ends_with_connection = not self.delimited and not self.parser.should_keep_alive()

    def on_body(self, body: bytes) -> None:
        if self.complete:
            return
        self.body_bytes += len(body)
        if self.sink is not None:
            self.sink(body)
        else:
            self.body += body
            if len(self.body) > self.max_body:
                raise ValueError(f"answer body is over {self.max_body} bytes")

    def on_message_complete(self) -> None:
        assert self.parser is not None
        if self.complete:
            return
        self.status = self.parser.get_status_code()
        self.in_message = False
        if self.status >= 200:
            self.complete = True
            self.reusable = self.parser.should_keep_alive()
