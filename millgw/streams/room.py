"""How much long bodies and answers may hold at once. Pure.

Each holds its window at the most and one read beyond it, as a side is told to stop only after a read. The
more there are, the narrower the windows; beyond a number there is no room for one more. Small calls have
bounds of their own, so that long ones never take theirs.
"""

from __future__ import annotations

from typing import Final

LONG: Final = 64 * 1024  # bytes of a body or an answer that is longer than what is held whole
READ: Final = 64 * 1024  # bytes of one read
STREAMS_PART: Final = 1 / 4  # of the memory, for all of them
WIDEST: Final = 128 * 1024  # bytes of a window: more does not make a stream faster
NARROWEST: Final = 16 * 1024


class StreamRoom:
    """The streams of one pool, by number. `memory` in bytes is that of the process."""

    __slots__ = ("bytes", "open")

    def __init__(self, memory: float) -> None:
        self.bytes = int(STREAMS_PART * memory)
        self.open = 0

    def most(self) -> int:
        """How many there may be: with the narrowest windows all of them stay within the part."""
        return max(1, self.bytes // (NARROWEST + READ))

    def full(self) -> bool:
        return self.open >= self.most()

    def enter(self) -> int:
        """One more is open; its window in bytes, for as long as it is."""
        self.open += 1
        return max(NARROWEST, min(WIDEST, self.bytes // self.open - READ))

    def leave(self) -> None:
        """One has ended."""
        self.open -= 1
