"""Lines that wait for a reader of standard error: bounded, the first ones kept. Pure."""

from __future__ import annotations

from collections import deque

ROOM = 65_536  # bytes that may wait: some 500 lines


class Backlog:
    """The first lines are kept and the later ones counted: what happened first tends to be the cause."""

    __slots__ = ("held", "lines", "lost", "room")

    def __init__(self, room: int = ROOM) -> None:
        self.room = room
        self.lines: deque[bytes] = deque()
        self.held = 0  # bytes
        self.lost = 0  # lines since the last that was taken

    def add(self, line: bytes) -> bool:
        """Whether it waits now; else it is counted as lost."""
        # Once one was lost, the ones after it are too, until its reader has made room for all that waits:
        # a gap stands in one place, and its line says how long it is.
        if self.held + len(line) > self.room or (self.lost and self.lines):
            self.lost += 1
            return False
        self.lines.append(line)
        self.held += len(line)
        return True

    def take(self) -> tuple[bytes, int]:
        """All that waits, as one piece, and how many lines were lost behind it."""
        piece, lost = b"".join(self.lines), self.lost
        self.lines.clear()
        self.held = self.lost = 0
        return piece, lost
