"""What happened to one pool's connections, by cause: for the log and /ready."""

from __future__ import annotations

from collections import Counter

from millgw.connections.keeper import GiveUp
from millgw.interface import Repeat


class ConnectionCounts:
    """Running counts since the pool began."""

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
        """The other side ended an idle one."""
        self.by_event["ended-idle"] += 1

    def handshake_failed(self) -> None:
        """A handshake did not end well."""
        self.by_event["not-up"] += 1

    def moved(self, repeat: Repeat) -> None:
        """A request went on to another connection, as the one it was on was dead; it had not run."""
        self.by_event[f"moved-{repeat.value}"] += 1

    def failed_on_reuse(self, repeat: Repeat) -> None:
        """A request failed on a connection that was not new, and may have run."""
        self.by_event[f"failed-on-reuse-{repeat.value}"] += 1

    def waited(self) -> None:
        self.by_event["waited"] += 1

    def wait_timed_out(self) -> None:
        self.by_event["waited-in-vain"] += 1

    def unreachable(self) -> None:
        """A call was told at once that its endpoint can't be reached."""
        self.by_event["unreachable"] += 1

    def figures(self) -> dict[str, object]:
        return dict(sorted(self.by_event.items()))
