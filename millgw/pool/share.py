"""A pool's share of the limited resources of the process.

Kinds of resource: open `calls`, `connections` to endpoints, `bodies` (bytes of request bodies) and `answers`
(bytes of incoming answers).
"""

from __future__ import annotations

from typing import Protocol

CALLS, CONNECTIONS, BODIES, ANSWERS = "calls", "connections", "bodies", "answers"
BODIES_MEMORY_SHARE = 1 / 8  # of the memory limit, for request bodies of open or arriving requests


class Share(Protocol):
    """The share of one pool."""

    def limit(self, kind: str) -> int:
        """How much of a resource the pool may hold now."""

    def end(self) -> None:
        """The pool is removed: it takes nothing new, but keeps what it holds until that is released."""

    def grant_timeout(self, timeout: float) -> float:
        """The timeout (ms) granted to a call that asks for `timeout` ms: borrowed capacity must return."""


class WholeShare:
    """The share of the only pool of a process: everything."""

    def __init__(self, totals: dict[str, int]) -> None:
        self.totals = totals

    def limit(self, kind: str) -> int:
        return self.totals[kind]

    def end(self) -> None:
        """Nothing to do, as there is no other pool."""

    def grant_timeout(self, timeout: float) -> float:
        return timeout
