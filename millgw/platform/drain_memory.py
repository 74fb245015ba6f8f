"""Drains that were read ahead of their version: an older list must not bring their endpoints back. Pure.

A drain may be read out of a line that broke off, or on a watch that was left for another discovery. The
version known stays as it was then, and the next list may come from a discovery that is behind.
"""

from __future__ import annotations

DRAIN_MEMORY_TIME = 60.0  # s: no list is late by more, and versions may have been counted anew since


class DrainMemory:
    """Which endpoints drained, at which version at the least, and until when that is remembered (s)."""

    def __init__(self) -> None:
        self.drains: dict[int, tuple[int, float]] = {}

    def record(self, endpoint: int, version: int, now: float) -> None:
        """A drain was read; `version` is that of its line, or one more than the version known."""
        before, _ = self.drains.get(endpoint, (version, 0.0))
        self.drains[endpoint] = (max(before, version), now + DRAIN_MEMORY_TIME)

    def contradicts(self, endpoint: int, version: int, now: float) -> bool:
        """Whether a list of this version names an endpoint as ready that is known to have drained later."""
        known = self.drains.get(endpoint)
        if known is None:
            return False
        drain_version, until = known
        if version < drain_version and now < until:
            return True
        del self.drains[endpoint]
        return False
