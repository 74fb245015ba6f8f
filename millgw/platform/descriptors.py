"""File descriptor budget shared by caller and endpoint connections."""

from __future__ import annotations

from collections.abc import Callable

RESERVED = 32  # for the process itself: log, event loop, listener, discovery, and sockets that are closing
CALLERS_FRACTION = 2 / 3  # share of the rest for caller connections; the remainder is kept for endpoints
CALLS_FRACTION = 1 / 2  # share of the rest for open calls: each may need another one, to its endpoint


class Descriptors:
    """Counts descriptors of both sides; an accepted call has priority over idle caller connections."""

    def __init__(self, sockets: int) -> None:
        self.total = max(8, sockets - RESERVED)
        self.set_limit(self.total)
        self.endpoints: Callable[[], int] = int
        self.callers: Callable[[], int] = int
        self.close_idle_caller: Callable[[], bool] = bool

    def reserve(self, count: int) -> None:
        """Reserve `count` more descriptors for the process itself."""
        self.total = max(8, self.total - count)
        self.set_limit(self.total)

    def set_limit(self, limit: int) -> None:
        """Set the limit from now on: two processes of one sidecar split the total."""
        self.limit = limit
        self.max_callers = int(CALLERS_FRACTION * limit)
        self.max_calls = int(CALLS_FRACTION * limit)

    def in_use(self) -> int:
        return self.callers() + self.endpoints()

    def full(self) -> bool:
        return self.in_use() >= self.limit

    def make(self) -> bool:
        """Close an idle caller connection to free its descriptor; returns whether there was one."""
        return self.close_idle_caller()

    def callers_full(self) -> bool:
        return self.callers() >= self.max_callers or self.full()
