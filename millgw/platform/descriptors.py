"""The one budget of descriptors, for callers' and endpoints' connections together."""

from __future__ import annotations

from collections.abc import Callable

RESERVED = 32  # descriptors for the process itself: log, loop, listener, discovery, and those just closing
CALLERS_PART = 2 / 3  # of the others, that callers' connections may take: the rest is for endpoints' at least
CALLS_FRACTION = 1 / 2  # of them, for open calls: each may need a second one, to its endpoint


class Descriptors:
    """Counts what both sides hold; a call that was taken goes before callers that ask nothing."""

    def __init__(self, sockets: int) -> None:
        self.total = max(8, sockets - RESERVED)
        self.set_limit(self.total)
        self.endpoints: Callable[[], int] = int
        self.callers: Callable[[], int] = int
        self.close_caller: Callable[[], bool] = bool

    def reserve(self, count: int) -> None:
        """Keep so many more for the process itself."""
        self.total = max(8, self.total - count)
        self.set_limit(self.total)

    def set_limit(self, limit: int) -> None:
        """Hold no more than so many from now on: two processes of one sidecar share what there is."""
        self.most = limit
        self.most_callers = int(CALLERS_PART * limit)
        self.most_calls = int(CALLS_FRACTION * limit)

    def in_use(self) -> int:
        return self.callers() + self.endpoints()

    def full(self) -> bool:
        return self.in_use() >= self.most

    def make(self) -> bool:
        """Have a caller that asks nothing give its descriptor back; tells whether there was one."""
        return self.close_caller()

    def full_of_callers(self) -> bool:
        return self.callers() >= self.most_callers or self.full()
