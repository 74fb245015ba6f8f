"""A streamed answer: connects an endpoint's connection to the caller's.

Once streaming has begun, the request is never tried again. A flow ends exactly once: complete, broken off by
the endpoint's side, or cancelled by the caller's side.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from millgw.streams.limiter import LONG_SO_FAR


class Source(Protocol):
    """The endpoint's connection."""

    def pause(self) -> None:
        """Pause reading, as the caller does not keep up."""

    def resume(self) -> None: ...

    def abandon(self) -> None:
        """Discard the rest: nobody waits for it."""


class Sink(Protocol):
    """The caller's connection."""

    def pass_on(self, data: bytes) -> None: ...

    def finished(self) -> None:
        """The answer is complete."""

    def broken_off(self) -> None:
        """The rest will not arrive. The caller must be able to tell the answer from a complete one."""


class Flow:
    """One streamed answer with its `headers` and `length` (None if unknown); buffers up to `window` bytes."""

    __slots__ = ("bytes_passed", "ended", "headers", "length", "on_end", "sink", "source", "window")

    def __init__(self, source: Source, headers: bytes, length: int | None, window: int) -> None:
        self.source = source
        self.headers = headers
        self.length = length
        self.window = window
        self.sink: Sink | None = None
        self.ended = False
        self.bytes_passed = 0  # bytes of the body passed on so far
        self.on_end: list[Callable[[Flow], None]] = []

    # Called by the endpoint's side

    def data(self, data: bytes) -> None:
        self.bytes_passed += len(data)
        if not self.ended and self.sink is not None:
            self.sink.pass_on(data)

    def end(self) -> None:
        if not self.ended:
            self._end()
            if self.sink is not None:
                self.sink.finished()

    def break_off(self) -> None:
        if not self.ended:
            self._end()
            if self.sink is not None:
                self.sink.broken_off()

    def expire(self) -> None:
        """End the flow at the caller's deadline, unless the answer is long: only its first bytes are timed.

        Otherwise the caller of a small answer of unknown length that never ends would wait forever.
        """
        if not self.ended and max(self.bytes_passed, self.length or 0) < LONG_SO_FAR:
            self.source.abandon()
            self.break_off()

    # Called by the caller's side

    def cancel(self) -> None:
        """End the flow, as the caller has disconnected or does not read."""
        if not self.ended:
            self._end()
            self.source.abandon()

    def pause(self) -> None:
        if not self.ended:
            self.source.pause()

    def resume(self) -> None:
        if not self.ended:
            self.source.resume()

    def _end(self) -> None:
        self.ended = True
        for call in self.on_end:
            call(self)
        self.on_end.clear()
