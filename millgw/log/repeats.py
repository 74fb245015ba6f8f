"""How often one event is logged: a few times a second, and then with how many were left out. Pure."""

from __future__ import annotations

EVERY = (
    1.0  # s in which one event has its number of lines: what repeats for every request must not fill the log
)
MOST = 1024  # kinds that are kept apart; beyond them the one told longest ago is forgotten


class Repeats:
    """Decides by a clock that never goes back, so that a step of the wall clock silences nothing."""

    __slots__ = ("every", "last", "lines", "most", "untold")

    def __init__(self, every: float = EVERY, most: int = MOST) -> None:
        self.every = every
        self.most = most
        self.last: dict[str, float] = {}  # when the lines of each began to count, the oldest first
        self.lines: dict[str, int] = {}  # how many each has had since
        self.untold: dict[str, int] = {}

    def take(self, now: float, kind: str, lines: int = 1) -> int | None:
        """Whether one of `kind` is logged at `now` (s): how many were left out before it, or None for no.

        `lines` is how many a kind may have in each `every` seconds.
        """
        last = self.last.get(kind)
        if last is not None and now < last + self.every:
            if self.lines[kind] >= lines:
                self.untold[kind] = self.untold.get(kind, 0) + 1
                return None
            self.lines[kind] += 1
            return self.untold.pop(kind, 0)
        self.last.pop(kind, None)
        self.last[kind] = now
        self.lines[kind] = 1
        if len(self.last) > self.most:
            # What it left out is still counted at the end.
            oldest = next(iter(self.last))
            del self.last[oldest]
            del self.lines[oldest]
        return self.untold.pop(kind, 0)

    def left(self) -> dict[str, int]:
        """What went untold and has not been counted in a line since; asked once, at the end."""
        left, self.untold = self.untold, {}
        return left
