"""Health of zones: reduces the traffic to a zone that is slow, overloaded or partly failing. Does no I/O.

A zone's cost combines its latency, relative to the usual latency of the classes of its calls, and the share
of calls that fail or are rejected. It is compared with the median zone of the same region only, since
distance adds latency too. Where half of a region's zones have slowed down together, so has the median: then
no single zone is at fault, and all keep their shares.

A zone's room is the part of its capacity that is counted on. A zone that costs more than its peers loses part
of its room each second and regains it in small steps, so the room settles where the zone can handle what it
is sent, however far the configured demand is off. The sidecar's own zone starts with little room, so that
sidecars that start together do not overload it.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from statistics import median_low

from millgw.interface import Zone

AVERAGING_TIME = 5000.0  # ms, the time constant of the averages
MIN_OUTCOME_WEIGHT = 0.02  # of one outcome: about the last fifty count where there are many
PRIOR_OUTCOMES = 10.0  # average outcomes added to each zone's, so that a few bad ones have little effect
MAX_SLOWNESS = 10.0  # times the usual latency: one call that waits for its deadline must not dominate
FAILURE_WEIGHT = 5.0  # 5% of calls failing or rejected cost as much as 25% more latency
COST_TOLERANCE = 1.3  # times the median cost: smaller differences are noise
MIN_KEPT_PART = 0.6  # of its room that a zone keeps in a second at least, however high its cost
GROWTH, RELATIVE_GROWTH = 0.04, 0.1  # a second: of full capacity, and of the current room
INITIAL_NEAR_ROOM = 0.1  # of full capacity, that the sidecar's own zone starts with
MIN_ROOM = 0.05  # of full capacity, that a zone always keeps: without calls its recovery would go unnoticed
MAX_STEP = 1000.0  # ms, the longest time that one adjustment accounts for


class ZoneHealth:
    """Averages over the recent outcomes of one zone's calls, and the zone's room (0 to 1)."""

    __slots__ = ("failure_share", "mean_slowness", "outcome_count", "room", "updated_at")

    def __init__(self, room: float) -> None:
        self.outcome_count = 0.0
        self.failure_share = 0.0
        self.mean_slowness = 1.0
        self.updated_at = -math.inf
        self.room = room

    def record_outcome(self, now: float, failed: bool, slowness: float) -> None:
        """Record one outcome; `slowness` is its latency relative to the usual one of its class."""
        self.outcome_count = self.recent_outcomes(now) + 1.0
        self.updated_at = now
        weight = max(MIN_OUTCOME_WEIGHT, 1.0 / self.outcome_count)
        self.failure_share += weight * (failed - self.failure_share)
        self.mean_slowness += weight * (min(MAX_SLOWNESS, slowness) - self.mean_slowness)

    def recent_outcomes(self, now: float) -> float:
        """The number of outcomes, with older ones decayed."""
        return (
            self.outcome_count * math.exp((self.updated_at - now) / AVERAGING_TIME)
            if self.outcome_count
            else 0.0
        )

    def slowness(self, now: float) -> float:
        """Mean latency in multiples of the usual; close to 1 where there are few outcomes."""
        recent = self.recent_outcomes(now)
        return (recent * self.mean_slowness + PRIOR_OUTCOMES) / (recent + PRIOR_OUTCOMES)

    def cost(self, now: float) -> float:
        """The cost of a call, in multiples of the usual."""
        recent = self.recent_outcomes(now)
        failing = recent * self.failure_share / (recent + PRIOR_OUTCOMES)
        return self.slowness(now) * (1.0 + FAILURE_WEIGHT * failing)


class ZoneRooms:
    """The room of all zones, adjusted in steps."""

    def __init__(self, own_zone: int) -> None:
        self.own_zone = own_zone
        self.zones: dict[Zone, ZoneHealth] = {}
        self.adjusted_at = -math.inf

    def record_outcome(self, now: float, zone: Zone, failed: bool, slowness: float) -> None:
        """Record one outcome of a call to a zone."""
        if zone not in self.zones:
            self.zones[zone] = ZoneHealth(self._initial_room(zone))
        self.zones[zone].record_outcome(now, failed, slowness)

    def room(self, zone: Zone) -> float:
        """The part of a zone's capacity that may be counted on."""
        health = self.zones.get(zone)
        return self._initial_room(zone) if health is None else health.room

    def _initial_room(self, zone: Zone) -> float:
        return INITIAL_NEAR_ROOM if zone == self.own_zone else 1.0

    def forget(self, zone: Zone) -> None:
        """Drop what is known of a zone that was away; it starts afresh."""
        self.zones.pop(zone, None)

    def adjust(self, now: float, region: Callable[[Zone], int]) -> None:
        """Reduce the room of zones that cost more than their peers; increase that of the others."""
        seconds = min(MAX_STEP, now - self.adjusted_at) / 1000.0
        self.adjusted_at = now
        peers: dict[int, list[ZoneHealth]] = {}
        for zone, health in self.zones.items():
            peers.setdefault(region(zone), []).append(health)
        reference_costs = {where: _reference_cost(now, healths) for where, healths in peers.items()}
        for zone, health in self.zones.items():
            excess = health.cost(now) / (COST_TOLERANCE * reference_costs[region(zone)])
            if excess > 1.0:
                health.room = max(MIN_ROOM, health.room * max(MIN_KEPT_PART, 1.0 / excess) ** seconds)
            else:
                health.room = min(1.0, health.room + seconds * (GROWTH + RELATIVE_GROWTH * health.room))


def _reference_cost(now: float, healths: Sequence[ZoneHealth]) -> float:
    """The cost that a region's zones are compared with; for a single zone, its own without failures."""
    if len(healths) == 1:
        return healths[0].slowness(now)
    return median_low(health.cost(now) for health in healths)
