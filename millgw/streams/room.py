"""Memory limits for streamed bodies and answers. No I/O, no clock.

A stream buffers at most its window plus one read, because a sender is paused only after a read. The more
streams are open, the smaller the windows of new ones; beyond a number no more may be opened. Small calls have
limits of their own, so streams never use up their memory.
"""

from __future__ import annotations

from typing import Final

LONG: Final = 64 * 1024  # bytes; a longer body or answer is streamed, not buffered whole
READ: Final = 64 * 1024  # bytes of one read
STREAMS_PART: Final = 1 / 4  # share of the memory for all streams
WIDEST: Final = 128 * 1024  # bytes of a window: more does not make a stream faster
NARROWEST: Final = 16 * 1024  # bytes of a window


class StreamRoom:
    """Counts the open streams of one pool. `memory` is the memory of the process in bytes."""

    __slots__ = ("bytes", "open")

    def __init__(self, memory: float) -> None:
        self.bytes = int(STREAMS_PART * memory)
        self.open = 0

    def most(self) -> int:
        """How many streams may be open: with the smallest windows they all stay within their share."""
        return max(1, self.bytes // (NARROWEST + READ))

    def full(self) -> bool:
        return self.open >= self.most()

    def enter(self) -> int:
        """Open one more stream; returns its window in bytes, which does not change later."""
        self.open += 1
        return max(NARROWEST, min(WIDEST, self.bytes // self.open - READ))

    def leave(self) -> None:
        """Close a stream."""
        self.open -= 1
