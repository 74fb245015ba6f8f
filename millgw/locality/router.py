"""Zone router: orders the zones for each call by shares, zone states and distances. Seeded, no I/O.

The balancer reports its endpoints and the outcomes of its attempts, and asks for an order of zones for each
call; the choice of an endpoint within a zone is its own. Each sidecar computes everything by itself.
"""

from __future__ import annotations

import math
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

from millgw.interface import Outcome, Zone
from millgw.locality.domains import AttemptKey, FailureDomains, ZoneState
from millgw.locality.health import ZoneRooms
from millgw.locality.places import Distance, Places
from millgw.locality.shares import zone_shares, zone_sort_key

DEFAULT_FILL = 0.8  # of all endpoints' capacity, the total demand that is assumed
# At full capacity calls would queue in the zone while others have room.
HEADROOM = 0.9  # of a zone's capacity that is used before calls spill over
EXPLORING_SHARE = (
    0.02  # minimum share of calls to the region's other zones: else nothing is known about those
)
MIN_POOL_ENDPOINTS = 6  # endpoints; a smaller pool is not divided by zone
LOAD_HANDICAPS = {Distance.NEAR: 1.0, Distance.REGION: 3.0, Distance.REMOTE: 8.0}  # factors on the load
CHECK_INTERVAL = 50.0  # ms between two checks for lost zones
# Added to both sides of a latency ratio: a send that is delayed by a few ms does not make a zone slow.
LATENCY_TOLERANCE = 10.0  # ms
FAST_LATENCY_RISE = 0.1  # the part of a rise that is applied: the estimate follows the fastest tenth
FAST_LATENCY_WEIGHT = 0.1  # of one answer in the estimate

UNINFORMATIVE_OUTCOMES = frozenset({Outcome.CANCELLED, Outcome.NOT_SENT})
"""The outcomes that say nothing about the health of a zone."""


class AwayReason(Enum):
    """Why an attempt went to another zone than the sidecar's own."""

    CAPACITY = "capacity"  # chosen by the zones' shares
    EXPLORING = "exploring"  # to measure the other zones
    PROBE = "probe"  # to find out whether a lost zone is back
    LOADED = "loaded"  # the drawn zone had no ready endpoint, or was much more loaded


@dataclass(slots=True, frozen=True)
class LocalityOptions:
    """The operator's settings for zones.

    `fill` is the total demand as a share of the total capacity. `caller_shares` is each zone's part of the
    demand, in any unit; without it, demand is assumed to be distributed like the endpoints. Calls of the
    classes in `classes_kept_in_region` never leave the region.
    """

    fill: float = DEFAULT_FILL
    caller_shares: Mapping[Zone, float] = field(default_factory=dict)
    classes_kept_in_region: frozenset[int] = frozenset()


class ZoneRouter:
    """The zone router of one pool; implements the balancer's `Locality`."""

    def __init__(
        self, places: Places, options: LocalityOptions, seed: int, names: Sequence[str] = ()
    ) -> None:
        self.places = places
        self.zone_names = names  # shown to operators
        self.options = options
        self.rng = random.Random(seed)
        self.domains = FailureDomains(places, seed + 1)
        self.rooms = ZoneRooms(places.zone)
        self.fast_latencies: dict[
            tuple[Zone, int], float
        ] = {}  # ms, by zone and class: an estimate of the fastest answers
        self.sizes: dict[Zone, float] = {}  # total size of the endpoints, by zone
        self.ready_capacity: dict[Zone, float] = {}
        self.undivided = True
        self.supply: dict[Zone, float] = {}  # by zone: the capacity of serving zones that is counted on
        self.shares: dict[Zone, float] = {}
        self.exploring: dict[Zone, float] = {}
        self.ordered_zones: list[Zone] = []
        self.checked_at = 0.0
        self.last_draw: tuple[Zone, AwayReason] | None = None
        self.attempts_by_distance = dict.fromkeys(Distance, 0)
        self.away_by_reason = dict.fromkeys(AwayReason, 0)

    # Reports from the balancer

    def update_endpoints(self, sizes: dict[Zone, float], counts: dict[Zone, int]) -> None:
        """Set the total size and the number of endpoints of each zone."""
        self.sizes = sizes
        self.undivided = sum(counts.values()) < MIN_POOL_ENDPOINTS
        self.domains.update_zones(counts)
        for zone in [z for z in self.rooms.zones if z not in counts]:
            self.rooms.forget(zone)
        self.fast_latencies = {key: value for key, value in self.fast_latencies.items() if key[0] in counts}
        self.ready_capacity = {zone: ready for zone, ready in self.ready_capacity.items() if zone in counts}
        self._update_shares()

    def update_capacity(self, now: float, ready: dict[Zone, float]) -> None:
        """Set the ready capacity of each zone (warming endpoints count in part), and update the shares."""
        self.ready_capacity = ready
        self.rooms.adjust(now, self.places.region)
        self._update_shares()

    def attempt_sent(self, now: float, key: AttemptKey, zone: Zone, endpoint: int, usual: float) -> None:
        """Record a sent attempt; `usual` (ms) is the usual latency of its class."""
        self.domains.attempt_sent(now, key, zone, endpoint, usual)
        distance = self.places.distance(zone)
        self.attempts_by_distance[distance] += 1
        if distance is not Distance.NEAR:
            drawn, self.last_draw = self.last_draw, None
            why = drawn[1] if drawn is not None and drawn[0] == zone else AwayReason.LOADED
            self.away_by_reason[why] += 1

    def attempt_ended(
        self,
        now: float,
        key: AttemptKey,
        zone: Zone,
        cls: int,
        outcome: Outcome,
        elapsed: float,
        usual: float,
    ) -> bool:
        """Record the end of an attempt after `elapsed` ms; returns whether it brought its lost zone back."""
        if outcome not in UNINFORMATIVE_OUTCOMES and zone in self.sizes:
            self.rooms.record_outcome(
                now,
                zone,
                outcome is not Outcome.OK,
                (elapsed + LATENCY_TOLERANCE) / (usual + LATENCY_TOLERANCE),
            )
        if outcome is Outcome.OK:
            self._update_fast_latency(zone, cls, elapsed)
        before = self.domains.state(zone)
        back = self.domains.attempt_ended(now, key, zone, outcome)
        if self.domains.state(zone) is not before:
            self.rooms.forget(zone)
            self._update_shares()
        return back

    def _update_fast_latency(self, zone: Zone, cls: int, elapsed: float) -> None:
        known = self.fast_latencies.get((zone, cls), elapsed)
        step = FAST_LATENCY_WEIGHT * (FAST_LATENCY_RISE if elapsed > known else 1.0)
        self.fast_latencies[(zone, cls)] = known + step * (elapsed - known)

    # Decisions

    def zone_order(
        self, now: float, cls: int, tried: Sequence[Zone], left: float, repeatable: bool
    ) -> list[Zone]:
        """The zones for one call, the first drawn by share; empty where the pool is not divided by zone.

        `tried` are the zones of earlier attempts, `left` the ms until the call's deadline. A further attempt
        goes to another zone of the region if possible, and never to a zone whose latency exceeds the time
        left. Suspect zones come last, unless the call is a probe of the zone.
        """
        if self.undivided:
            return []
        if now >= self.checked_at + CHECK_INTERVAL:
            self.checked_at = now
            if self.domains.detect_losses(now):
                self._update_shares()
        zones = self._order_by_draw(now, cls, repeatable and not tried)
        if tried:
            zones = [z for z in zones if self.fast_latencies.get((z, cls), 0.0) <= left]
            zones.sort(key=lambda z: (self.places.distance(z) is Distance.REMOTE, z in tried))
        probed = self.probed_zone()
        zones.sort(key=lambda z: z != probed and self.domains.is_suspect(now, z))
        return zones

    def newly_lost(self) -> Sequence[int]:
        """The zones that were lost since the last call."""
        return self.domains.newly_lost()

    def is_probed(self, zone: Zone) -> bool:
        """Whether the last order of zones is to probe this zone."""
        return zone is not None and zone == self.probed_zone()

    def probed_zone(self) -> int | None:
        """The zone that the last order of zones is to probe, if any."""
        return (
            self.last_draw[0]
            if self.last_draw is not None and self.last_draw[1] is AwayReason.PROBE
            else None
        )

    def is_near(self, zone: Zone) -> bool:
        """Whether a zone is the sidecar's own."""
        return self.places.distance(zone) is Distance.NEAR

    def handicap(self, zone: Zone, other: Zone) -> float:
        """The factor by which an endpoint of `zone` must be more loaded for one of `other` to be preferred.

        Infinite where another zone than the sidecar's own was drawn: those calls stay there, as the own zone
        is already known to have no room for them.
        """
        near = self.places.distance(zone) is Distance.NEAR
        return LOAD_HANDICAPS[self.places.distance(other)] if near else math.inf

    def allows(self, cls: int, zone: Zone) -> bool:
        """Whether calls of a class may go to a zone."""
        return (
            cls not in self.options.classes_kept_in_region
            or self.places.distance(zone) is not Distance.REMOTE
        )

    def _order_by_draw(self, now: float, cls: int, repeatable: bool) -> list[Zone]:
        self.last_draw = None
        allowed = [z for z in self.ordered_zones if self.allows(cls, z)]
        probe = self.domains.due_probe(now, repeatable)
        if probe is not None and self.allows(cls, probe):
            self.last_draw = (probe, AwayReason.PROBE)
            return [probe, *(z for z in allowed if z != probe)]
        if not allowed:
            return []
        first = self._draw(allowed, self.shares)
        exploring = self.exploring.get(first, 0.0) >= self.shares.get(first, 0.0)
        self.last_draw = (first, AwayReason.EXPLORING if exploring else AwayReason.CAPACITY)
        others = [z for z in allowed if z != first]
        region = [z for z in others if self.places.distance(z) is Distance.REGION]
        if region:
            # Drawn: in a fixed order, all calls that the first zone can't take would go to the same next one.
            second = self._draw(region, self.supply)
            others.sort(key=lambda z: (self.places.distance(z), z != second))
        return [first, *others]

    def _draw(self, zones: list[Zone], weights: Mapping[Zone, float]) -> Zone:
        at = self.rng.random() * sum(weights.get(z, 0.0) for z in zones)
        for zone in zones:
            at -= weights.get(zone, 0.0)
            if at < 0.0:
                return zone
        return zones[0]

    # Shares

    def _update_shares(self) -> None:
        serving = {z: self.domains.state(z) is ZoneState.SERVING for z in self.sizes}
        supply = {
            z: HEADROOM * r * self.rooms.room(z)
            for z, r in self.ready_capacity.items()
            if serving.get(z, True)
        }
        if sum(supply.values()) <= 0.0:
            supply = self.ready_capacity  # no zone is preferable to another
        shares = zone_shares(self.places.zone, self._demand(serving), supply, self.places.region)
        self.supply = supply
        self.shares, self.exploring = self._with_exploring(shares, supply)
        supplied = [z for z, amount in supply.items() if amount > 0.0]
        self.ordered_zones = sorted(
            supplied, key=lambda z: (self.places.distance(z), -self.shares.get(z, 0.0), zone_sort_key(z))
        )

    def _demand(self, serving: Mapping[Zone, bool]) -> dict[Zone, float]:
        """The demand from each zone; that of zones that are not serving is moved to the others."""
        parts = self.options.caller_shares or self.sizes
        serving_parts = {z: part for z, part in parts.items() if serving.get(z, True)}
        total = sum(serving_parts.values())
        asked = self.options.fill * sum(self.sizes.values())
        return {z: asked * part / total for z, part in serving_parts.items()} if total > 0.0 else {}

    def _with_exploring(
        self, shares: dict[Zone, float], supply: Mapping[Zone, float]
    ) -> tuple[dict[Zone, float], dict[Zone, float]]:
        """The shares with a minimum for the other zones of the region, and the part that is due to it."""
        near = self.places.zone
        others = {z: s for z, s in supply.items() if s > 0.0 and self.places.distance(z) is Distance.REGION}
        if shares.get(near, 0.0) <= 1.0 - EXPLORING_SHARE or not others:
            return shares, {}
        total = sum(others.values())
        exploring = {z: EXPLORING_SHARE * s / total for z, s in others.items()}
        return {near: 1.0 - EXPLORING_SHARE, **exploring}, exploring

    # Figures for operators

    def figures(self) -> dict[str, object]:
        """Attempts by distance, those to other zones by reason, and the state of each zone."""
        return {
            "attempts": {
                distance.name.lower(): count for distance, count in self.attempts_by_distance.items()
            },
            "away": {why.value: count for why, count in self.away_by_reason.items()},
            "zones": {
                self._zone_name(zone): {
                    "distance": self.places.distance(zone).name.lower(),
                    "standing": self.domains.state(zone).value,
                    "share": round(self.shares.get(zone, 0.0), 4),
                    "room": round(self.rooms.room(zone), 4),
                }
                for zone in sorted(self.sizes, key=zone_sort_key)
            },
        }

    def _zone_name(self, zone: Zone) -> str:
        """A zone's name; a number for one that the settings do not list, whose name is not kept."""
        if zone is None:
            return "unknown"
        return self.zone_names[zone] if zone < len(self.zone_names) else f"unlisted {zone}"
