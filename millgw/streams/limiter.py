"""Memory limits for streamed bodies and answers. No I/O, no clock.

A stream buffers at most its window plus one read, because a sender is paused only after a read. The more
streams are open, the smaller the windows of new ones; beyond a number no more may be opened. Small calls have
limits of their own, so streams never use up their memory.
"""

from __future__ import annotations

from typing import Final

STREAM_THRESHOLD: Final = 64 * 1024  # bytes; a longer body or answer is streamed, not buffered whole
LONG_SO_FAR: Final = 16 * 1024  # bytes from which on an answer of unknown length is taken for a long one
READ_SIZE: Final = 64 * 1024  # bytes of one read
STREAMS_MEMORY_SHARE: Final = 1 / 4  # share of the memory for all streams
MAX_WINDOW: Final = 128 * 1024  # bytes of a window: more does not make a stream faster
MIN_WINDOW: Final = 16 * 1024  # bytes of a window


class StreamLimiter:
    """Counts the open streams of one pool. `memory` is the memory of the process in bytes."""

    __slots__ = ("memory_limit", "open")

    def __init__(self, memory: float) -> None:
        self.memory_limit = int(STREAMS_MEMORY_SHARE * memory)
        self.open = 0

    def max_streams(self) -> int:
        """How many streams may be open: with the smallest windows they all stay within their share."""
        return max(1, self.memory_limit // (MIN_WINDOW + READ_SIZE))

    def full(self) -> bool:
        return self.open >= self.max_streams()

    def open_stream(self) -> int:
        """Open one more stream; returns its window in bytes, which does not change later."""
        self.open += 1
        return max(MIN_WINDOW, min(MAX_WINDOW, self.memory_limit // self.open - READ_SIZE))

    def close_stream(self) -> None:
        """Close a stream."""
        self.open -= 1
