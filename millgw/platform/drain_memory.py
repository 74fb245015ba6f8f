"""Drains read ahead of their list version, so that an older list does not bring the endpoint back. No I/O.

A drain may be read from a line that was cut off, or on a watch that was abandoned for another discovery
server. The known version does not advance then, and the next list may come from a server that lags behind.
"""

from __future__ import annotations

DRAIN_MEMORY_TIME = 60.0  # s: lists are never later than this, and versions may have restarted since


class DrainMemory:
    """Drained endpoints: lower bound of the drain's version, and when the entry expires (monotonic s)."""

    def __init__(self) -> None:
        self.drains: dict[int, tuple[int, float]] = {}

    def record(self, endpoint: int, version: int, now: float) -> None:
        """Record a drain. `version` is that of its line, or the known version plus one."""
        before, _ = self.drains.get(endpoint, (version, 0.0))
        self.drains[endpoint] = (max(before, version), now + DRAIN_MEMORY_TIME)

    def contradicts(self, endpoint: int, version: int, now: float) -> bool:
        """Whether a list of this version that has the endpoint as ready is older than its recorded drain."""
        known = self.drains.get(endpoint)
        if known is None:
            return False
        drain_version, until = known
        if version < drain_version and now < until:
            return True
        del self.drains[endpoint]
        return False
