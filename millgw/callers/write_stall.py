"""Detects clients that stop reading what is written to them. Pure: no clock, no I/O."""

from __future__ import annotations

ANSWER_STALL = 15.0  # s in which a client must read some of what was written; slow ones need several seconds


class WriteStall:
    """Tracks the unread bytes in one client's write buffer, and when their number last changed."""

    __slots__ = ("last_change", "unread_bytes")

    def __init__(self, now: float) -> None:
        self.unread_bytes = 0  # bytes in the write buffer at the last check
        self.last_change = now  # s, when that number last changed

    def stalled(self, now: float, unread_bytes: int) -> bool:
        """Whether the client has read nothing for too long; `unread_bytes` are unread now."""
        if unread_bytes != self.unread_bytes or not unread_bytes:
            self.unread_bytes, self.last_change = unread_bytes, now
        return now > self.last_change + ANSWER_STALL
