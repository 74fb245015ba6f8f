"""A bounded buffer of log lines waiting to be written to standard error. Pure.

When it is full, new lines are dropped and the oldest are kept.
"""

from __future__ import annotations

from collections import deque

MAX_BYTES = 65_536  # bytes that may be buffered: about 500 lines


class Backlog:
    """Keeps the earliest lines and counts those dropped: the first events tend to show the cause."""

    __slots__ = ("buffered_bytes", "dropped", "lines", "max_bytes")

    def __init__(self, max_bytes: int = MAX_BYTES) -> None:
        self.max_bytes = max_bytes
        self.lines: deque[bytes] = deque()
        self.buffered_bytes = 0
        self.dropped = 0  # lines dropped since the last `take`

    def add(self, line: bytes) -> bool:
        """Buffer a line; returns False, and counts the line as dropped, when there is no room."""
        # After one line was dropped, all later ones are dropped too until the whole buffer is taken: the gap
        # stays in one place, and one `lines-lost` line can state its length.
        if self.buffered_bytes + len(line) > self.max_bytes or (self.dropped and self.lines):
            self.dropped += 1
            return False
        self.lines.append(line)
        self.buffered_bytes += len(line)
        return True

    def take(self) -> tuple[bytes, int]:
        """Empty the buffer: all lines as one byte string, and how many were dropped after them."""
        data, dropped = b"".join(self.lines), self.dropped
        self.lines.clear()
        self.buffered_bytes = self.dropped = 0
        return data, dropped
