"""Counters of connection events of one pool, for the log and /ready."""

from __future__ import annotations

from collections import Counter

from millgw.connections.endpoint_policy import GiveUp
from millgw.interface import Repeat


class ConnectionCounts:
    """Counts since the pool started."""

    __slots__ = ("by_event",)

    def __init__(self) -> None:
        self.by_event: Counter[str] = Counter()

    def opened(self, ahead: bool) -> None:
        self.by_event["opened-ahead" if ahead else "opened"] += 1

    def reused(self) -> None:
        self.by_event["reused"] += 1

    def given_up(self, reason: GiveUp) -> None:
        self.by_event[f"given-up-{reason.value}"] += 1

    def closed_while_idle(self) -> None:
        """The endpoint closed an idle connection."""
        self.by_event["ended-idle"] += 1

    def handshake_failed(self) -> None:
        """A connection could not be established."""
        self.by_event["not-up"] += 1

    def moved(self, repeat: Repeat) -> None:
        """A request that had not run was moved to another connection, as its own was dead."""
        self.by_event[f"moved-{repeat.value}"] += 1

    def failed_on_reuse(self, repeat: Repeat) -> None:
        """A request that may have run failed on a reused connection."""
        self.by_event[f"failed-on-reuse-{repeat.value}"] += 1

    def waited(self) -> None:
        self.by_event["waited"] += 1

    def wait_timed_out(self) -> None:
        self.by_event["waited-in-vain"] += 1

    def unreachable(self) -> None:
        """A call failed at once because its endpoint is known to be unreachable."""
        self.by_event["unreachable"] += 1

    def figures(self) -> dict[str, object]:
        return dict(sorted(self.by_event.items()))
