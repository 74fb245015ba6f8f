"""An answer that is passed on as it comes: couples an endpoint's connection with its caller's.

Once it has begun the request is its caller's: it is never tried again. It ends once: whole, broken off by the
endpoint's side, or cancelled by the caller's.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from millgw.streams.room import LONG


class Source(Protocol):
    """The endpoint's connection."""

    def hold(self) -> None:
        """Read no further: what has come is not taken."""

    def go_on(self) -> None: ...

    def abandon(self) -> None:
        """Nobody waits for the rest."""


class Sink(Protocol):
    """The caller's connection."""

    def pass_on(self, data: bytes) -> None: ...

    def finished(self) -> None:
        """The answer is whole."""

    def broken_off(self) -> None:
        """The rest will not come: the caller must be able to tell."""


class Flow:
    """`headers` and `length` (None: not known ahead) are the answer's, `window` the bytes to be held."""

    __slots__ = ("headers", "length", "over", "over_calls", "passed", "sink", "source", "window")

    def __init__(self, source: Source, headers: bytes, length: int | None, window: int) -> None:
        self.source = source
        self.headers = headers
        self.length = length
        self.window = window
        self.sink: Sink | None = None
        self.over = False
        self.passed = 0  # bytes of the body so far
        self.over_calls: list[Callable[[Flow], None]] = []

    # The endpoint's side

    def data(self, data: bytes) -> None:
        self.passed += len(data)
        if not self.over and self.sink is not None:
            self.sink.pass_on(data)

    def end(self) -> None:
        if not self.over:
            self._over()
            if self.sink is not None:
                self.sink.finished()

    def break_off(self) -> None:
        if not self.over:
            self._over()
            if self.sink is not None:
                self.sink.broken_off()

    def expire(self) -> None:
        """The caller's time is up: only a long answer may go on, as its first bytes are what is timed.

        Guards against an answer of unknown length that never ends: its caller would wait for it for ever.
        """
        if not self.over and max(self.passed, self.length or 0) <= LONG:
            self.source.abandon()
            self.break_off()

    # The caller's side

    def cancel(self) -> None:
        """The caller has left, or takes nothing."""
        if not self.over:
            self._over()
            self.source.abandon()

    def hold(self) -> None:
        if not self.over:
            self.source.hold()

    def go_on(self) -> None:
        if not self.over:
            self.source.go_on()

    def _over(self) -> None:
        self.over = True
        for call in self.over_calls:
            call(self)
        self.over_calls.clear()
