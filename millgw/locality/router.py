"""Which zones a call may go to, in what order: shares, standings and distances put together. Seeded, no I/O.

The balancer hands in what it knows of its endpoints and what became of its attempts, and asks for an order
of zones for each call; which endpoint of a zone is its own choice. Each sidecar works everything out alone.
"""

from __future__ import annotations

import math
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

from millgw.interface import Outcome
from millgw.locality.domains import AttemptKey, Domains, Standing
from millgw.locality.health import Leaning
from millgw.locality.places import Distance, Places
from millgw.locality.shares import zone_shares

FILL = 0.8  # of all endpoints' capacity, that callers are taken to ask for together
# Calls queue up in a zone that is full while others have room.
HEADROOM = 0.9  # of a zone's capacity that is filled before others are
EXPLORE = 0.02  # of the calls that go to the region's other zones at least: else nothing is known of them
POOL_LEAST = 6  # endpoints, under which a pool is not divided
HANDICAPS = {Distance.NEAR: 1.0, Distance.REGION: 3.0, Distance.REMOTE: 8.0}  # times as loaded
CHECK_EVERY = 50.0  # ms between two looks whether a zone is lost
# Added to both sides of a ratio of times: a delayed send of some ms is no slower zone.
ALIKE = 10.0  # ms
QUICK_RISE = 0.1  # of a rise taken into a zone's quick time, which so follows its quickest tenth
QUICK_WEIGHT = 0.1  # of one answer in it

UNJUDGED = frozenset({Outcome.CANCELLED, Outcome.NOT_SENT})
"""The outcomes that tell nothing of how well a zone answers."""


class Why(Enum):
    """Why a call was sent to another zone than the sidecar's own."""

    CAPACITY = "capacity"  # by the zones' shares
    EXPLORING = "exploring"  # to know how others do
    PROBE = "probe"  # whether a lost zone is back
    LOADED = "loaded"  # nothing was ready in the zone that was drawn, or it was far more loaded


@dataclass(slots=True, frozen=True)
class LocalityOptions:
    """What the operator says of zones.

    `fill` is the share of all capacity that callers ask for together. `callers` is each zone's part of them,
    in any unit; without it callers are taken to be where endpoints are. Calls of the classes in `kept` never
    leave the region.
    """

    fill: float = FILL
    callers: Mapping[int, float] = field(default_factory=dict)
    kept: frozenset[int] = frozenset()


class ZoneRouter:
    """One pool's zones, as the balancer's `Locality`."""

    def __init__(
        self, places: Places, options: LocalityOptions, seed: int, names: Sequence[str] = ()
    ) -> None:
        self.places = places
        self.names = names  # of the zones, for people
        self.options = options
        self.rng = random.Random(seed)
        self.domains = Domains(places, seed + 1)
        self.leaning = Leaning(places.zone)
        self.quick: dict[tuple[int, int], float] = {}  # ms by zone and class
        self.sizes: dict[int, float] = {}
        self.ready: dict[int, float] = {}
        self.small = True
        self.supply: dict[int, float] = {}  # by zone, of those that serve, as far as it is counted on
        self.shares: dict[int, float] = {}
        self.exploring: dict[int, float] = {}
        self.ranked: list[int] = []
        self.checked = 0.0
        self.drawn: tuple[int, Why] | None = None
        self.by_distance = dict.fromkeys(Distance, 0)
        self.by_reason = dict.fromkeys(Why, 0)

    # What the balancer knows

    def update_endpoints(self, sizes: dict[int, float], counts: dict[int, int]) -> None:
        """The list by zone: sizes together and how many endpoints."""
        self.sizes = sizes
        self.small = sum(counts.values()) < POOL_LEAST
        self.domains.listed(counts)
        for zone in [z for z in self.leaning.zones if z not in counts]:
            self.leaning.forget(zone)
        self.quick = {key: value for key, value in self.quick.items() if key[0] in counts}
        self.ready = {zone: there for zone, there in self.ready.items() if zone in counts}
        self._share_out()

    def update_capacity(self, now: float, ready: dict[int, float]) -> None:
        """The capacity that is there now by zone, warm or as far as it is; works the shares out anew."""
        self.ready = ready
        self.leaning.adjust(now, self.places.region)
        self._share_out()

    def attempt_sent(self, now: float, key: AttemptKey, zone: int, endpoint: int, usual: float) -> None:
        """An attempt goes out; `usual` is the ms that one of its class takes."""
        self.domains.sent(now, key, zone, endpoint, usual)
        distance = self.places.distance(zone)
        self.by_distance[distance] += 1
        if distance is not Distance.NEAR:
            drawn, self.drawn = self.drawn, None
            why = drawn[1] if drawn is not None and drawn[0] == zone else Why.LOADED
            self.by_reason[why] += 1

    def attempt_ended(
        self, now: float, key: AttemptKey, zone: int, cls: int, outcome: Outcome, elapsed: float, usual: float
    ) -> bool:
        """An attempt has ended after `elapsed` ms; tells whether its zone was lost and is back with it."""
        if outcome not in UNJUDGED and zone in self.sizes:
            self.leaning.note(now, zone, outcome is not Outcome.OK, (elapsed + ALIKE) / (usual + ALIKE))
        if outcome is Outcome.OK:
            self._learn_quick(zone, cls, elapsed)
        before = self.domains.standing(zone)
        back = self.domains.ended(now, key, zone, outcome)
        if self.domains.standing(zone) is not before:
            self.leaning.forget(zone)
            self._share_out()
        return back

    def _learn_quick(self, zone: int, cls: int, elapsed: float) -> None:
        known = self.quick.get((zone, cls), elapsed)
        step = QUICK_WEIGHT * (QUICK_RISE if elapsed > known else 1.0)
        self.quick[(zone, cls)] = known + step * (elapsed - known)

    # What it decides

    def zone_order(
        self, now: float, cls: int, tried: Sequence[int], left: float, repeatable: bool
    ) -> list[int]:
        """The zones for one call, the first drawn by its share; none where the pool is not to be divided.

        `tried` are the zones of its earlier attempts, `left` the ms until its answer must be there. A further
        attempt goes to another zone of the region if it can, and not where there is no time for the way.
        Zones in which the last attempt was not answered come last.
        """
        if self.small:
            return []
        if now >= self.checked + CHECK_EVERY:
            self.checked = now
            if self.domains.check(now):
                self._share_out()
        zones = self._drawn_first(now, cls, repeatable and not tried)
        if tried:
            zones = [z for z in zones if self.quick.get((z, cls), 0.0) <= left]
            zones.sort(key=lambda z: (self.places.distance(z) is Distance.REMOTE, z in tried))
        probed = self.probed_zone()
        zones.sort(key=lambda z: z != probed and self.domains.suspect(now, z))
        return zones

    def newly_lost(self) -> Sequence[int]:
        """The zones that were lost since this was last asked."""
        return self.domains.newly_lost()

    def probed_zone(self) -> int | None:
        """The zone that the last order of zones is to try again, if any."""
        return self.drawn[0] if self.drawn is not None and self.drawn[1] is Why.PROBE else None

    def handicap(self, zone: int, other: int) -> float:
        """How many times as loaded an endpoint of a zone must be for one of another to be sent to instead.

        What was drawn elsewhere stays there: it is known already that the near zone has no room for it.
        """
        near = self.places.distance(zone) is Distance.NEAR
        return HANDICAPS[self.places.distance(other)] if near else math.inf

    def allows(self, cls: int, zone: int) -> bool:
        """Whether a call of a class may go to a zone at all."""
        return cls not in self.options.kept or self.places.distance(zone) is not Distance.REMOTE

    def _drawn_first(self, now: float, cls: int, repeatable: bool) -> list[int]:
        self.drawn = None
        allowed = [z for z in self.ranked if self.allows(cls, z)]
        probe = self.domains.probes(now, repeatable)
        if probe is not None and self.allows(cls, probe):
            self.drawn = (probe, Why.PROBE)
            return [probe, *(z for z in allowed if z != probe)]
        if not allowed:
            return []
        first = self._draw(allowed, self.shares)
        exploring = self.exploring.get(first, 0.0) >= self.shares.get(first, 0.0)
        self.drawn = (first, Why.EXPLORING if exploring else Why.CAPACITY)
        others = [z for z in allowed if z != first]
        region = [z for z in others if self.places.distance(z) is Distance.REGION]
        if region:
            # Otherwise all that the first can't take would go to the same one of the others.
            second = self._draw(region, self.supply)
            others.sort(key=lambda z: (self.places.distance(z), z != second))
        return [first, *others]

    def _draw(self, zones: list[int], weights: Mapping[int, float]) -> int:
        at = self.rng.random() * sum(weights.get(z, 0.0) for z in zones)
        for zone in zones:
            at -= weights.get(zone, 0.0)
            if at < 0.0:
                return zone
        return zones[0]

    # Shares

    def _share_out(self) -> None:
        serving = {z: self.domains.standing(z) is Standing.SERVING for z in self.sizes}
        supply = {
            z: HEADROOM * r * self.leaning.room(z) for z, r in self.ready.items() if serving.get(z, True)
        }
        if sum(supply.values()) <= 0.0:
            supply = self.ready  # nowhere is better than anywhere else
        shares = zone_shares(self.places.zone, self._demand(serving), supply, self.places.region)
        self.supply = supply
        self.shares, self.exploring = self._with_exploring(shares, supply)
        there = [z for z, amount in supply.items() if amount > 0.0]
        self.ranked = sorted(there, key=lambda z: (self.places.distance(z), -self.shares.get(z, 0.0), z))

    def _demand(self, serving: Mapping[int, bool]) -> dict[int, float]:
        """What each zone's callers ask for: those of a lost zone are gone, and others ask in their place."""
        parts = self.options.callers or self.sizes
        present = {z: part for z, part in parts.items() if serving.get(z, True)}
        whole = sum(present.values())
        asked = self.options.fill * sum(self.sizes.values())
        return {z: asked * part / whole for z, part in present.items()} if whole > 0.0 else {}

    def _with_exploring(
        self, shares: dict[int, float], supply: Mapping[int, float]
    ) -> tuple[dict[int, float], dict[int, float]]:
        """The shares with a little for the other zones of the region; what each has for that alone."""
        near = self.places.zone
        others = {z: s for z, s in supply.items() if s > 0.0 and self.places.distance(z) is Distance.REGION}
        if shares.get(near, 0.0) <= 1.0 - EXPLORE or not others:
            return shares, {}
        whole = sum(others.values())
        exploring = {z: EXPLORE * s / whole for z, s in others.items()}
        return {near: 1.0 - EXPLORE, **exploring}, exploring

    # What operators see

    def figures(self) -> dict[str, object]:
        """Attempts by distance, why they went to other zones than the near one, and each zone's standing."""
        return {
            "attempts": {distance.name.lower(): count for distance, count in self.by_distance.items()},
            "away": {why.value: count for why, count in self.by_reason.items()},
            "zones": {
                self._name(zone): {
                    "distance": self.places.distance(zone).name.lower(),
                    "standing": self.domains.standing(zone).value,
                    "share": round(self.shares.get(zone, 0.0), 4),
                    "room": round(self.leaning.room(zone), 4),
                }
                for zone in sorted(self.sizes)
            },
        }

    def _name(self, zone: int) -> str:
        """A zone's name; all that nobody knows have one."""
        return self.names[zone] if zone < len(self.names) else "unknown"
