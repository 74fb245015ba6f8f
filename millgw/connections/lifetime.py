"""How long an endpoint lets a connection live, as it is seen to do, whatever it promises. Pure.

Two things end connections without a word: time, when they stand idle (the endpoint's own bound, or a box on
the way that forgets them), and use, when an endpoint serves so many requests on each. Both are told here by
what was seen. The idle bound is searched as TCP searches for its window: cut when a connection ended before
it, raised a little for each that was idle for about so long and lived. Where endpoints end connections at
one time, the bound saws between seven tenths of it and all of it; where they end them at any time, it
settles where few end before it.
"""

from __future__ import annotations

import math

CUT_FACTOR = (
    0.7  # of the idle time that ended one, or rather of the mean (geometric) of it and the bound before
)
RAISE_FACTOR = 1.03  # times the bound, for each connection that lived about so long
SURVIVED_SHARE = 0.5  # of the bound, from which a connection's idle time speaks for it
AFTER_ANSWER_MS = 50.0  # ms after an answer in which an end is the answer's doing, not time's
USE_LIMIT_MEMORY_MS = 60_000.0  # ms for which a bound on uses is believed, for each time that it was seen
MIN_IDLE_LIMIT_MS = 10.0  # ms that the idle bound is at the least: under it, nothing would be used again
CONFIRMATIONS = 2  # connections in a row that must end after as many uses before that counts as a rule


class IdleLimit:
    """After how long idle (ms) a connection is given up. `told` is what the endpoint promises to wait."""

    __slots__ = ("limit", "maximum")

    def __init__(self, promised: float, share: float) -> None:
        self.maximum = share * promised
        self.limit = self.maximum

    def set_maximum(self, maximum: float) -> None:
        """The most that the bound may be, from now on."""
        self.maximum = maximum
        self.limit = min(self.limit, maximum)

    def ended(self, idle: float) -> None:
        """The other side ended one that had been idle for so long, or had forgotten it by then."""
        if idle < self.limit:
            self.limit = max(MIN_IDLE_LIMIT_MS, CUT_FACTOR * math.sqrt(idle * self.limit))

    def survived(self, idle: float) -> None:
        """One was still there after it had been idle for so long."""
        if idle >= SURVIVED_SHARE * self.limit:
            self.limit = min(self.maximum, RAISE_FACTOR * self.limit)


class UseLimit:
    """After how many requests an endpoint ends a connection, if it does."""

    __slots__ = ("confirmations", "count", "seen_at")

    def __init__(self) -> None:
        self.count = 0
        self.confirmations = 0  # ends in a row after `count` uses
        self.seen_at = 0.0

    def ended(self, now: float, uses: int) -> None:
        """The other side ended one just after the answer to its request of this number."""
        if uses != self.count:
            self.count, self.confirmations = uses, 0
        self.confirmations += 1
        self.seen_at = now

    def outlived(self, now: float, uses: int) -> None:
        """One was answered for the time of this number: it lives on past what was held for a bound."""
        if uses > self.count:
            self.count = self.confirmations = 0

    def limit(self, now: float) -> int:
        """How many requests one may carry; 0 where no bound is known."""
        known = (
            self.confirmations >= CONFIRMATIONS
            and now - self.seen_at < USE_LIMIT_MEMORY_MS * self.confirmations
        )
        return self.count if known else 0
