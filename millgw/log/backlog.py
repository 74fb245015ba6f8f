"""A bounded buffer of log lines waiting to be written to standard error. Pure.

When it is full, new lines are dropped and the oldest are kept.
"""

from __future__ import annotations

from collections import deque

ROOM = 65_536  # bytes that may be buffered: about 500 lines


class Backlog:
    """Keeps the earliest lines and counts those dropped: the first events tend to show the cause."""

    __slots__ = ("held", "lines", "lost", "room")

    def __init__(self, room: int = ROOM) -> None:
        self.room = room
        self.lines: deque[bytes] = deque()
        self.held = 0  # bytes buffered
        self.lost = 0  # lines dropped since the last `take`

    def add(self, line: bytes) -> bool:
        """Buffer a line; returns False, and counts the line as dropped, when there is no room."""
        # After one line was dropped, all later ones are dropped too until the whole buffer is taken: the gap
        # stays in one place, and one `lines-lost` line can state its length.
        if self.held + len(line) > self.room or (self.lost and self.lines):
            self.lost += 1
            return False
        self.lines.append(line)
        self.held += len(line)
        return True

    def take(self) -> tuple[bytes, int]:
        """Empty the buffer: all lines as one byte string, and how many were dropped after them."""
        piece, lost = b"".join(self.lines), self.lost
        self.lines.clear()
        self.held = self.lost = 0
        return piece, lost
