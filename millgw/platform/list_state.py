"""What an endpoint source tells the source of the next process of the same sidecar. Plain data, no I/O."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from millgw.policy.freshness import ListAge

if TYPE_CHECKING:
    from millgw.platform.discovery import ListedEndpoint

EndedEndpoints = tuple[tuple[int, float], ...]
"""Endpoints that a source has removed: each id, with the latest start time known then (Unix ms)."""


@dataclass(frozen=True)
class MergedLists:
    """The lists of a source that follows a coordinator and discovery.

    The coordinator's own list is not part of it, as it is read anew within milliseconds.
    """

    directory: str  # which directory of which coordinator
    ready: tuple[ListedEndpoint, ...]  # on discovery's list, like those that drain
    draining: tuple[int, ...]  # ids
    heard: bool  # whether discovery has sent a list or changes since the start
    age: ListAge  # of discovery's list
    ended_at_coordinator: EndedEndpoints
    ended_at_discovery: EndedEndpoints

    def after(self, passed: float) -> MergedLists:
        """The same when `passed` ms have passed."""
        return replace(self, age=self.age.after(passed))


@dataclass(frozen=True)
class ListState:
    """A source's state, beside the endpoints of its pool."""

    platform: bool  # whether it follows the platform's discovery, and not one of its own
    index: int | None  # discovery's version of the list
    merged: MergedLists | None = None
