"""Detects clients that stop reading what is written to them. Pure: no clock, no I/O."""

from __future__ import annotations

ANSWER_STALL = 15.0  # s in which a client must read some of what was written; slow ones need several seconds


class Stall:
    """Tracks the unread bytes in one client's write buffer, and when their number last changed."""

    __slots__ = ("left", "moved")

    def __init__(self, now: float) -> None:
        self.left = 0  # bytes in the write buffer at the last check
        self.moved = now  # s, when that number last changed

    def stuck(self, now: float, left: int) -> bool:
        """Whether the client has read nothing for too long; `left` bytes are unread now."""
        if left != self.left or not left:
            self.left, self.moved = left, now
        return now > self.moved + ANSWER_STALL
