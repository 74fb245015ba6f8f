"""What happened to one pool's connections, by cause: for the log and /ready."""

from __future__ import annotations

from collections import Counter

from millgw.connections.keeper import GiveUp
from millgw.interface import Repeat


class Counts:
    """Running counts since the pool began."""

    __slots__ = ("by",)

    def __init__(self) -> None:
        self.by: Counter[str] = Counter()

    def opened(self, ahead: bool) -> None:
        self.by["opened-ahead" if ahead else "opened"] += 1

    def reused(self) -> None:
        self.by["reused"] += 1

    def given_up(self, why: GiveUp) -> None:
        self.by[f"given-up-{why.value}"] += 1

    def ended(self) -> None:
        """The other side ended an idle one."""
        self.by["ended-idle"] += 1

    def missed(self) -> None:
        """A handshake did not end well."""
        self.by["not-up"] += 1

    def moved(self, repeat: Repeat) -> None:
        """A request went on to another connection, as the one it was on was dead; it had not run."""
        self.by[f"moved-{repeat.value}"] += 1

    def failed_on_reuse(self, repeat: Repeat) -> None:
        """A request failed on a connection that was not new, and may have run."""
        self.by[f"failed-on-reuse-{repeat.value}"] += 1

    def waited(self) -> None:
        self.by["waited"] += 1

    def waited_in_vain(self) -> None:
        self.by["waited-in-vain"] += 1

    def unreachable(self) -> None:
        """A call was told at once that its endpoint can't be reached."""
        self.by["unreachable"] += 1

    def figures(self) -> dict[str, object]:
        return dict(sorted(self.by.items()))
