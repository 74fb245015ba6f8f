"""How a change reaches a fleet: from its moment to the last sidecar that has it. Pure.

Times are seconds on one monotonic clock that all processes of the machine share.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from statistics import median

NOTHING = -1  # in place of an index: the sidecar's process has ended


class Topic(Enum):
    """What sidecars come to know: a service's list, the configuration, how many peers are alive."""

    LIST = "list"
    CONFIGURATION = "configuration"
    PEERS = "peers"


@dataclass(slots=True, frozen=True)
class Spread:
    """One change: how many were to have it, how many had it in the end, and how soon (s)."""

    topic: Topic
    what: str
    expected: int
    reached: int
    median: float
    last: float

    @property
    def whole(self) -> bool:
        """Whether all that were to have it have it."""
        return self.reached == self.expected


@dataclass(slots=True)
class Sightings:
    """By topic and sidecar, each index as it was first seen there and when."""

    seen: dict[tuple[Topic, str], list[tuple[int, float]]] = field(default_factory=dict)
    reversals: list[str] = field(default_factory=list)  # of configuration versions that went back

    def add(self, topic: Topic, sidecar: str, index: int, at: float) -> None:
        """A sidecar is seen to have an index; a version of the configuration may not go back."""
        history = self.seen.setdefault((topic, sidecar), [])
        if history and history[-1][0] == NOTHING and at < history[-1][1]:
            return  # of the process before a restart, told behind it
        if topic is Topic.CONFIGURATION and history and index < history[-1][0]:
            self.reversals.append(f"{sidecar}: {history[-1][0]} to {index}")
        history.append((index, at))

    def newest(self, topic: Topic, sidecar: str) -> int | None:
        """The index that a sidecar was seen to have last; None if it has none."""
        history = self.seen.get((topic, sidecar))
        return history[-1][0] if history and history[-1][0] != NOTHING else None

    def restarted(self, sidecar: str, at: float) -> None:
        """A sidecar's process ends, and with it all that it knows."""
        for topic in Topic:
            if (topic, sidecar) in self.seen:
                self.seen[topic, sidecar].append((NOTHING, at))

    def reached(self, topic: Topic, sidecar: str, index: int, since: float) -> float | None:
        """From when on, after `since`, a sidecar had an index or a later one; None if it never had."""
        had = False
        for found, at in self.seen.get((topic, sidecar), ()):
            if had and at > since:
                return since
            had = found >= index
            if had and at > since:
                return at
        return since if had else None

    def settled(self, topic: Topic, sidecar: str, index: int, since: float) -> float | None:
        """From when on a sidecar has had just this index to the end; None if it has not."""
        history = self.seen.get((topic, sidecar), [])
        if not history or history[-1][0] != index:
            return None
        return max(history[-1][1], since)

    def spread(
        self,
        topic: Topic,
        what: str,
        sidecars: Iterable[str],
        index: int,
        since: float,
        exactly: bool = False,
    ) -> Spread:
        """How a change spread over these sidecars; `exactly` where a higher index is no later one."""
        find = self.settled if exactly else self.reached
        times = [find(topic, sidecar, index, since) for sidecar in sidecars]
        took = [at - since for at in times if at is not None]
        return Spread(topic, what, len(times), len(took), median(took or [0.0]), max(took, default=0.0))
