"""What discovery has told beside a coordinator, and until when no change can count as told without it. Pure.

A drain that only discovery knows counts as told some seconds later, whether or not it arrived. While
discovery can't be heard the coordinator says nothing on such drains, however well it is: its nodes stay as
they were. So the list of discovery has a validity of its own (see `millgw.policy.freshness`). Once that is
over the list is in doubt: any endpoint on it may be one that drains.

The assumption that a discovery which rejects all calls is down (`Freshness.assumed_down_until`) is not made
here, as this module can't probe endpoints.

Times are ms on any one clock.
"""

from __future__ import annotations

import random
from dataclasses import replace

from millgw.interface import Condition, ListKind, Settings
from millgw.platform.discovery import ListedEndpoint
from millgw.policy.freshness import Freshness, ListAge


class DiscoveryList:
    """Discovery's latest list: the endpoints that are ready and those that drain, by id."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.freshness = Freshness(settings, rng)
        self.ready: dict[int, ListedEndpoint] = {}
        self.draining: dict[int, ListedEndpoint] = {}
        self.heard = False  # whether discovery has sent a list or changes since the start

    def start(self, now: float) -> None:
        """The source starts: what discovery has to tell arrives from now on."""
        self.freshness.start(now)

    def continue_from(self, other: DiscoveryList, now: float, moved: bool) -> None:
        """Start with the list of a source that ends; `moved`: another discovery is asked from now on."""
        age = other.age(now)
        self.take_over(now, replace(age, moved_ago=0.0) if moved else age)
        self.ready, self.draining = dict(other.ready), dict(other.draining)
        self.heard = other.heard

    def take_over(self, now: float, age: ListAge) -> None:
        """Start with a list of this age, which is then set."""
        self.start(now)
        self.freshness.take_over(age, now)

    def age(self, now: float) -> ListAge:
        """What a successor needs to know of the list's age."""
        return self.freshness.hand_over(now)

    def asked(self, now: float) -> None:
        """Discovery is called."""
        self.freshness.asked(now)

    def take(self, now: float, kind: ListKind, entries: tuple[ListedEndpoint, ...]) -> bool:
        """Apply what discovery has sent, or how its watch ended; returns whether there may be a change."""
        if kind is ListKind.MOVED:
            self.freshness.move(now)
            return False
        if kind.watch_ended:
            self.freshness.failed(now, kind)
            return False
        heard_before = self.heard
        if kind is not ListKind.CACHED and kind is not ListKind.PARTIAL:
            self.freshness.heard(now)
            self.heard = True
        if kind is ListKind.DELTA and not entries and heard_before:
            return False  # a heartbeat, or the list before is current
        self._apply(kind, entries)
        return True

    def _apply(self, kind: ListKind, entries: tuple[ListedEndpoint, ...]) -> None:
        if kind.complete:
            self.ready.clear()
            self.draining.clear()
        for entry in entries:
            id, condition = entry.endpoint.id, entry.endpoint.condition
            self.ready.pop(id, None)
            self.draining.pop(id, None)
            if condition is Condition.READY:
                self.ready[id] = entry
            elif condition is Condition.DRAINING:
                self.draining[id] = entry

    def valid_until(self) -> float:
        """Until when no change that discovery has not sent can count as told; infinity while it is heard."""
        return self.freshness.fresh_until()

    def in_doubt(self, now: float) -> bool:
        """Whether a change that discovery has not sent may count as told by now."""
        return now >= self.valid_until()
