"""What a leader knows of its followers: how far each one is, and when it was last in touch. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from copy import copy
from dataclasses import dataclass, replace


@dataclass(slots=True)
class Progress:
    """One follower. `next` is the position to send next, `match` the last one known to be on its disk."""

    next: int
    contact: float  # the leader's clock when it sent the newest request that was answered
    match: int = 0
    snapshot_sent: float | None = None  # while a snapshot is on its way

    def acknowledge(self, position: int) -> None:
        """The follower's log agrees with the leader's up to a position."""
        self.match = max(self.match, position)
        self.next = max(self.next, self.match + 1)
        self.snapshot_sent = None

    def forget(self) -> None:
        """Count on nothing that the follower has said."""
        self.match = 0
        self.contact = float("-inf")

    def reject(self, position: int) -> bool:
        """The follower asks for what follows a position; False if the request is out of date."""
        if position < self.match:
            return False
        self.next = min(self.next, position + 1)
        return True


class Leadership:
    """One epoch of leading."""

    def __init__(self, followers: Iterable[str], majority: int, next_position: int, now: float) -> None:
        self.majority = majority
        self.since = now
        self.followers = {name: Progress(next_position, float("-inf")) for name in followers}
        self.proposals: dict[int, int] = {}  # proposals under way, by position
        self.heartbeat_at = now

    def copy(self) -> Leadership:
        """An independent one in the same state."""
        made = copy(self)
        made.followers = {name: replace(progress) for name, progress in self.followers.items()}
        made.proposals = self.proposals.copy()
        return made

    def contact(self, now: float) -> float:
        """The latest time at which a majority, the leader among it, is known to have been in touch."""
        times = sorted([now, *(progress.contact for progress in self.followers.values())], reverse=True)
        return times[self.majority - 1]

    def replicated(self, own: int) -> int:
        """The last position that a majority has on disk, where the leader has all up to `own`."""
        matches = sorted([own, *(progress.match for progress in self.followers.values())], reverse=True)
        return matches[self.majority - 1]
