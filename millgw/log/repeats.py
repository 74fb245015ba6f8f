"""How often one event is told: once in a while, and then with how many went untold. Pure."""

from __future__ import annotations

EVERY = 1.0  # s between two lines of one event: what repeats for every request must not fill the log
MOST = 1024  # kinds that are kept apart; beyond them the one told longest ago is forgotten


class Repeats:
    """Decides by a clock that never goes back, so that a step of the wall clock silences nothing."""

    __slots__ = ("every", "last", "most", "untold")

    def __init__(self, every: float = EVERY, most: int = MOST) -> None:
        self.every = every
        self.most = most
        self.last: dict[str, float] = {}  # when each was told, the one told longest ago first
        self.untold: dict[str, int] = {}

    def take(self, now: float, kind: str) -> int | None:
        """Whether one of `kind` is told at `now` (s): how many went untold before it, or None for no."""
        last = self.last.get(kind)
        if last is not None and now < last + self.every:
            self.untold[kind] = self.untold.get(kind, 0) + 1
            return None
        self.last.pop(kind, None)
        self.last[kind] = now
        if len(self.last) > self.most:
            # What it left out is still told at the end.
            del self.last[next(iter(self.last))]
        return self.untold.pop(kind, 0)

    def left(self) -> dict[str, int]:
        """What went untold and has not been counted in a line since; asked once, at the end."""
        left, self.untold = self.untold, {}
        return left
