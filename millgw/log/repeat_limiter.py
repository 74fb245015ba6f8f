"""Rate limiting of repeated log events, with a count of the suppressed ones. Pure."""

from __future__ import annotations

WINDOW = 1.0  # s; the window of the line limit, so that an event of every request does not fill the log
MAX_KINDS = 1024  # kinds tracked at once; above that, the kind with the oldest window is dropped


class RepeatLimiter:
    """Limits the lines of each kind in a time window.

    Times come from a monotonic clock, so that a step of the wall clock suppresses no events.
    """

    __slots__ = ("lines", "max_kinds", "suppressed", "window", "window_starts")

    def __init__(self, window: float = WINDOW, max_kinds: int = MAX_KINDS) -> None:
        self.window = window
        self.max_kinds = max_kinds
        self.window_starts: dict[str, float] = {}  # when each kind's window began (s), oldest first
        self.lines: dict[str, int] = {}  # lines of each kind in its window
        self.suppressed: dict[str, int] = {}  # events of each kind suppressed since its last line

    def admit(self, now: float, kind: str, lines: int = 1) -> int | None:
        """Decide whether an event of `kind` is logged at `now` (s).

        Returns how many were suppressed since the kind's last line, or None if this one is suppressed too.
        `lines` is how many lines a kind may have in each `window` seconds.
        """
        window_start = self.window_starts.get(kind)
        if window_start is not None and now < window_start + self.window:
            if self.lines[kind] >= lines:
                self.suppressed[kind] = self.suppressed.get(kind, 0) + 1
                return None
            self.lines[kind] += 1
            return self.suppressed.pop(kind, 0)
        self.window_starts.pop(kind, None)
        self.window_starts[kind] = now
        self.lines[kind] = 1
        if len(self.window_starts) > self.max_kinds:
            # Its suppressed events stay counted, for `take_suppressed` at exit.
            oldest = next(iter(self.window_starts))
            del self.window_starts[oldest]
            del self.lines[oldest]
        return self.suppressed.pop(kind, 0)

    def take_suppressed(self) -> dict[str, int]:
        """Suppressed events by kind that no line has reported yet; called once, at exit."""
        suppressed, self.suppressed = self.suppressed, {}
        return suppressed
