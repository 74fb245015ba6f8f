"""What a pool may hold of each kind of thing that a process has only so much of.

Kinds: `calls` that are open, `connections` to endpoints, `bodies` (bytes of requests' bodies), `answers`
(bytes of answers coming in).
"""

from __future__ import annotations

from typing import Protocol

CALLS, CONNECTIONS, BODIES, ANSWERS = "calls", "connections", "bodies", "answers"
BODIES_PART = 1 / 8  # of the memory, for bodies of requests that are open or coming in


class Share(Protocol):
    """One pool's part."""

    def most(self, kind: str) -> int:
        """How much it may hold now."""

    def end(self) -> None:
        """The pool is removed: it takes nothing new, and what it has taken may come to its end."""

    def patience(self, patience: float) -> float:
        """For how long (ms) a call that wants so much may be taken now: what is on loan must come back."""


class Whole:
    """The part of a pool that is alone: everything."""

    def __init__(self, totals: dict[str, int]) -> None:
        self.totals = totals

    def most(self, kind: str) -> int:
        return self.totals[kind]

    def end(self) -> None:
        """All stays as it is: there is nobody else."""

    def patience(self, patience: float) -> float:
        return patience
