"""Whether a client takes nothing of what is written to it. Pure: no clock, no I/O."""

from __future__ import annotations

ANSWER_STALL = 15.0  # s in which a client must read more of what is written to it: slow ones take seconds


class Stall:
    """How much of what was written to one client waits to be read, and since when that is no less."""

    __slots__ = ("left", "moved")

    def __init__(self, now: float) -> None:
        self.left = 0  # bytes that were not taken when last looked
        self.moved = now  # s, when the client last took some

    def stuck(self, now: float, left: int) -> bool:
        """Whether its client took nothing for too long; `left` bytes wait now."""
        if left != self.left or not left:
            self.left, self.moved = left, now
        return now > self.moved + ANSWER_STALL
