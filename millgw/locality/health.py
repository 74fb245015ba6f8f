"""How well zones answer, and how far to lean away from one that is slow, full or fails in part. Pure.

A zone's cost is how slowly its calls are answered, against the usual of their classes, and how many fail or
are turned away. It is held against the median zone of the same region, as distance costs time, too. Where
half of a region's zones have slowed down together, the median has as well: then no zone is at fault, and all
keep their shares.

A zone that costs more than its peers loses part of its room each second, and gets it back in small steps: the
room settles where the zone can do what it is sent, whatever callers were taken to ask for. The sidecar's own
zone begins with little room, so that callers who start together do not meet there.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from statistics import median_low

MEMORY = 5000.0  # ms over which outcomes are averaged
LEAST_WEIGHT = 0.02  # of one outcome: the last fifty decide where there are many
DOUBT = 10.0  # outcomes of the usual kind that a zone is credited with, so that a few bad ones are chance
SLOW_MOST = 10.0  # times the usual: what waits for its deadline must not decide alone
FAILING_WEIGHT = 5.0  # a twentieth failing or turned away is as bad as a quarter slower
LEAN_FROM = 1.3  # times the median cost, within which all are alike: less is chance
CUT_MOST = 0.6  # of its room that a zone keeps for each second, however bad it is
GROWTH, GROWTH_PART = 0.04, 0.1  # a second: of the whole, and of the room that there is
ROOM_START = 0.1  # of the whole, that the near zone begins with
ROOM_LEAST = 0.05  # of the whole, that a zone keeps: else it is not seen when it is well again
STEP_MOST = 1000.0  # ms that one step counts for at the most


class ZoneHealth:
    """What the recent outcomes of one zone's calls tell, and the room that it is left with."""

    __slots__ = ("at", "calls", "failing", "room", "slow")

    def __init__(self, room: float) -> None:
        self.calls = 0.0
        self.failing = 0.0
        self.slow = 1.0
        self.at = -math.inf
        self.room = room

    def note(self, now: float, failed: bool, slowness: float) -> None:
        """Take one outcome; `slowness` is its time against the usual of its class."""
        self.calls = self.recent(now) + 1.0
        self.at = now
        weight = max(LEAST_WEIGHT, 1.0 / self.calls)
        self.failing += weight * (failed - self.failing)
        self.slow += weight * (min(SLOW_MOST, slowness) - self.slow)

    def recent(self, now: float) -> float:
        """How many outcomes it rests on."""
        return self.calls * math.exp((self.at - now) / MEMORY) if self.calls else 0.0

    def slowness(self, now: float) -> float:
        """How slowly calls are answered here, in times the usual; what rests on little is near 1."""
        recent = self.recent(now)
        return (recent * self.slow + DOUBT) / (recent + DOUBT)

    def cost(self, now: float) -> float:
        """What a call costs here, in times the usual."""
        recent = self.recent(now)
        failing = recent * self.failing / (recent + DOUBT)
        return self.slowness(now) * (1.0 + FAILING_WEIGHT * failing)


class Leaning:
    """The room of all zones, adjusted in steps; `near` is the sidecar's own."""

    def __init__(self, near: int) -> None:
        self.near = near
        self.zones: dict[int, ZoneHealth] = {}
        self.at = -math.inf

    def note(self, now: float, zone: int, failed: bool, slowness: float) -> None:
        """Take one outcome of a zone's."""
        if zone not in self.zones:
            self.zones[zone] = ZoneHealth(self._first_room(zone))
        self.zones[zone].note(now, failed, slowness)

    def room(self, zone: int) -> float:
        """The part of its capacity that a zone may be counted on for."""
        health = self.zones.get(zone)
        return self._first_room(zone) if health is None else health.room

    def _first_room(self, zone: int) -> float:
        return ROOM_START if zone == self.near else 1.0

    def forget(self, zone: int) -> None:
        """Begin anew with a zone, which was away."""
        self.zones.pop(zone, None)

    def adjust(self, now: float, region: Callable[[int], int]) -> None:
        """Cut the room of zones that cost more than their peers, and let that of the others grow."""
        passed = min(STEP_MOST, now - self.at) / 1000.0
        self.at = now
        peers: dict[int, list[ZoneHealth]] = {}
        for zone, health in self.zones.items():
            peers.setdefault(region(zone), []).append(health)
        usual = {where: _usual(now, healths) for where, healths in peers.items()}
        for zone, health in self.zones.items():
            excess = health.cost(now) / (LEAN_FROM * usual[region(zone)])
            if excess > 1.0:
                health.room = max(ROOM_LEAST, health.room * max(CUT_MOST, 1.0 / excess) ** passed)
            else:
                health.room = min(1.0, health.room + passed * (GROWTH + GROWTH_PART * health.room))


def _usual(now: float, healths: Sequence[ZoneHealth]) -> float:
    """The cost that a region's zones are held against; of one alone, as if all its calls were answered."""
    if len(healths) == 1:
        return healths[0].slowness(now)
    return median_low(health.cost(now) for health in healths)
