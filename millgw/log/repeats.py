"""Rate limiting of repeated log events, with a count of the suppressed ones. Pure."""

from __future__ import annotations

EVERY = 1.0  # s; the window of the line limit, so that an event of every request does not fill the log
MOST = 1024  # kinds tracked at once; above that, the kind with the oldest window is dropped


class Repeats:
    """Limits the lines of each kind in a time window.

    Times come from a monotonic clock, so that a step of the wall clock suppresses no events.
    """

    __slots__ = ("every", "last", "lines", "most", "untold")

    def __init__(self, every: float = EVERY, most: int = MOST) -> None:
        self.every = every
        self.most = most
        self.last: dict[str, float] = {}  # when each kind's window began (s), oldest first
        self.lines: dict[str, int] = {}  # lines of each kind in its window
        self.untold: dict[str, int] = {}  # events of each kind suppressed since its last line

    def take(self, now: float, kind: str, lines: int = 1) -> int | None:
        """Decide whether an event of `kind` is logged at `now` (s).

        Returns how many were suppressed since the kind's last line, or None if this one is suppressed too.
        `lines` is how many lines a kind may have in each `every` seconds.
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
            # Its suppressed events stay counted, for `left` at the end.
            oldest = next(iter(self.last))
            del self.last[oldest]
            del self.lines[oldest]
        return self.untold.pop(kind, 0)

    def left(self) -> dict[str, int]:
        """Suppressed events by kind that no line has reported yet; called once, at exit."""
        left, self.untold = self.untold, {}
        return left
