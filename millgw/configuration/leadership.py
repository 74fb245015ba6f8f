"""A leader's replication progress and last contact for each follower. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from copy import copy
from dataclasses import dataclass, replace


@dataclass(slots=True)
class Progress:
    """One follower: `next_position` is the next to send, `matched_position` the last known on its disk."""

    next_position: int
    contact_at: float  # leader's clock (ms) when it sent the newest request that was answered
    matched_position: int = 0
    snapshot_sent_at: float | None = None  # leader's clock (ms); None if no snapshot is in flight

    def acknowledge(self, position: int) -> None:
        """The follower's log agrees with the leader's up to a position."""
        self.matched_position = max(self.matched_position, position)
        self.next_position = max(self.next_position, self.matched_position + 1)
        self.snapshot_sent_at = None

    def reset(self) -> None:
        """Discard the follower's acknowledgements and contact time."""
        self.matched_position = 0
        self.contact_at = float("-inf")

    def reject(self, position: int) -> bool:
        """The follower requests the entries after a position; False if the request is outdated."""
        if position < self.matched_position:
            return False
        self.next_position = min(self.next_position, position + 1)
        return True


class Leadership:
    """The volatile state of a leader during one epoch."""

    def __init__(self, followers: Iterable[str], majority: int, next_position: int, now: float) -> None:
        self.majority = majority
        self.started_at = now
        self.followers = {name: Progress(next_position, float("-inf")) for name in followers}
        self.proposals: dict[int, int] = {}  # numbers of uncommitted proposals, by log position
        self.heartbeat_at = now

    def copy(self) -> Leadership:
        """An independent copy."""
        duplicate = copy(self)
        duplicate.followers = {name: replace(progress) for name, progress in self.followers.items()}
        duplicate.proposals = self.proposals.copy()
        return duplicate

    def majority_contact_at(self, now: float) -> float:
        """The latest time at which a majority, including the leader, is known to have been in contact."""
        times = sorted([now, *(progress.contact_at for progress in self.followers.values())], reverse=True)
        return times[self.majority - 1]

    def majority_position(self, leader_position: int) -> int:
        """The last position on the disks of a majority, given that the leader has all entries up to `own`."""
        matches = sorted(
            [leader_position, *(progress.matched_position for progress in self.followers.values())],
            reverse=True,
        )
        return matches[self.majority - 1]
