"""Learns from observation how long an endpoint keeps connections, whatever it promises. Pure.

Connections end without notice for two reasons: idle time (the endpoint's own timeout, or a middlebox that
drops its state) and a limit on the requests per connection. Both are estimated here from what was seen. The
idle limit is searched like a TCP congestion window: reduced when a connection ended before it, and raised a
little for each one that survived about that much idle time. If the endpoint closes connections after a fixed
time, the limit oscillates between 0.7 of it and all of it; if the time varies, the limit settles where few
connections end before it.
"""

from __future__ import annotations

import math

CUT_FACTOR = 0.7  # applied to the geometric mean of the idle time that ended a connection and the old limit
RAISE_FACTOR = 1.03  # applied to the limit for each connection that survived about that much idle time
SURVIVED_SHARE = 0.5  # of the limit: the least idle time of a surviving connection that raises it
AFTER_ANSWER_MS = 50.0  # a connection that ends this soon after an answer hit a limit on uses, not idle time
USE_LIMIT_MEMORY_MS = 60_000.0  # a limit on uses is trusted this long for each time it was seen
MIN_IDLE_LIMIT_MS = 10.0  # below this idle limit no connection would ever be reused
CONFIRMATIONS = 2  # consecutive connections that must end after the same number of uses to set a limit


class IdleLimit:
    """The idle time (ms) after which a connection is closed. `promised` is the endpoint's stated timeout."""

    __slots__ = ("limit", "maximum")

    def __init__(self, promised: float, share: float) -> None:
        self.maximum = share * promised
        self.limit = self.maximum

    def set_maximum(self, maximum: float) -> None:
        """Set the upper bound of the limit."""
        self.maximum = maximum
        self.limit = min(self.limit, maximum)

    def ended(self, idle: float) -> None:
        """A connection was closed by the other side, or found dead, after so long an idle time."""
        if idle < self.limit:
            self.limit = max(MIN_IDLE_LIMIT_MS, CUT_FACTOR * math.sqrt(idle * self.limit))

    def survived(self, idle: float) -> None:
        """A connection still worked after so long an idle time."""
        if idle >= SURVIVED_SHARE * self.limit:
            self.limit = min(self.maximum, RAISE_FACTOR * self.limit)


class UseLimit:
    """The number of requests after which an endpoint closes a connection, if it does so."""

    __slots__ = ("confirmations", "count", "seen_at")

    def __init__(self) -> None:
        self.count = 0
        self.confirmations = 0  # consecutive connections that ended after `count` uses
        self.seen_at = 0.0

    def ended(self, now: float, uses: int) -> None:
        """The other side closed a connection just after the answer to its request number `uses`."""
        if uses != self.count:
            self.count, self.confirmations = uses, 0
        self.confirmations += 1
        self.seen_at = now

    def outlived(self, now: float, uses: int) -> None:
        """A connection got the answer to its request number `uses`; more than the limit disproves it."""
        if uses > self.count:
            self.count = self.confirmations = 0

    def limit(self, now: float) -> int:
        """How many requests a connection may carry; 0 if no limit is known."""
        known = (
            self.confirmations >= CONFIRMATIONS
            and now - self.seen_at < USE_LIMIT_MEMORY_MS * self.confirmations
        )
        return self.count if known else 0
