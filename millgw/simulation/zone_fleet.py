"""Sidecars before endpoints in several zones, in virtual time: faults of zones, what becomes of calls. Pure.

All sidecars call one service. An endpoint serves `SLOTS` calls at once and turns away what would wait too
long; a call to another zone or region takes the way there and back. A zone that is lost says nothing: what is
sent on a connection that was there waits for its deadline, new connections don't come up. Its endpoints
return cold and its sidecars as new processes, which read a list that says so; those of other zones are told
nothing by theirs, which is the hardest case. Times are ms.
"""

from __future__ import annotations

import random
from collections import defaultdict, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from enum import Enum
from functools import partial

from millgw.decide import Balancer
from millgw.interface import (
    Endpoint,
    EndpointList,
    ListKind,
    Outcome,
    Repeat,
    RequestClass,
    Scope,
    Settings,
    Zone,
)
from millgw.locality.places import Distance, Places
from millgw.locality.router import LocalityOptions, ZoneRouter
from millgw.simulation.virtual import BEGIN, Ended, VirtualClock, VirtualSidecar

SLOTS = 4  # calls that an endpoint serves at once
SERVICE = 80.0  # of a call on average
CAPACITY = SLOTS / SERVICE  # calls a ms that a warm endpoint can do
QUEUE_WAIT = 400.0  # beyond which an endpoint turns a call away
CONNECT = 250.0  # after which a connection that does not come up is given up
WAYS = {Distance.NEAR: 0.3, Distance.REGION: 1.0, Distance.REMOTE: 20.0}  # there and back
DEADLINE = 3000.0
AIM = 1000.0
COLD_SHARE, COLD_TIME = 0.2, 10_000.0
FALL_MULTIPLE, FALL_WINDOW = 2.5, 1000.0

SAFE, KEYED, UNSAFE = 0, 1, 2
DEFAULT_OPTIONS = LocalityOptions()
CLASSES = (
    RequestClass("safe", DEADLINE, Repeat.SAFE, AIM),
    RequestClass("keyed", DEADLINE, Repeat.KEYED, AIM, scope=Scope.ZONE, window=2000.0),
    RequestClass("unsafe", DEADLINE, Repeat.UNSAFE, AIM),
)


class ZoneFaultKind(Enum):
    """What happens to a zone."""

    LOST = "lost"  # its endpoints vanish without a word, and return cold
    SLOW = "slow"  # its endpoints take `size` times as long
    GRAY = "gray"  # a share `size` of the calls into it vanishes
    PARTED = "parted"  # nothing goes between it and sidecars of other zones; its endpoints stay as they are


@dataclass(slots=True, frozen=True)
class ZoneFault:
    """One fault of one zone, or of the first `part` of its endpoints (a rack); in s from the first call."""

    kind: ZoneFaultKind
    zone: int
    start: float
    end: float
    size: float = 0.0
    part: float = 1.0

    @property
    def whole(self) -> bool:
        """Whether it hits all of the zone."""
        return self.part >= 1.0


@dataclass(slots=True, frozen=True)
class FleetShape:
    """Endpoints and sidecars by zone, the region of each zone, and the load.

    `load` is the share of all endpoints' capacity that is asked for; all sidecars ask alike. Without `places`
    the sidecars choose as they do where no places are set.
    """

    endpoints: tuple[int, ...]
    sidecars: tuple[int, ...]
    regions: tuple[int, ...]
    load: float = 0.5
    seconds: float = 10.0
    places: bool = True
    faults: tuple[ZoneFault, ...] = ()
    mix: tuple[float, ...] = (1.0, 0.0, 0.0)  # of classes
    options: LocalityOptions = DEFAULT_OPTIONS
    start_cold: tuple[int, ...] = ()  # zones whose endpoints start with the first call

    @property
    def rate(self) -> float:
        """Calls a ms of one sidecar."""
        return self.load * CAPACITY * sum(self.endpoints) / sum(self.sidecars)


@dataclass(slots=True, frozen=True)
class CallRecord:
    """What became of one call: when it was made, by a sidecar of which zone, and how long it took."""

    at: float
    zone: int
    cls: int
    served: bool
    took: float


@dataclass(slots=True, frozen=True)
class SendRecord:
    """One attempt: when, and from which zone to which."""

    at: float
    source: int
    target: Zone


class EndpointModel:
    """One endpoint: slots, a queue in time, and what it was sent while cold."""

    def __init__(self, info: Endpoint) -> None:
        self.info = info
        self.free = [0.0] * SLOTS  # when each slot is free
        self.since = info.started_at
        self.lives = 0
        self.place = 0.0  # among those of its zone, from 0 to under 1
        self.window: deque[float] = deque()
        self.worst = 0.0  # calls within a window against those at which it falls, while cold

    def start(self, now: float, service: float) -> float | None:
        """When a call that comes now is done; None where it is turned away."""
        slot = min(range(SLOTS), key=self.free.__getitem__)
        begins = max(now, self.free[slot])
        if begins > now + QUEUE_WAIT:
            return None
        self.free[slot] = begins + service / self.share(now)
        return self.free[slot]

    def share(self, now: float) -> float:
        """The part of its capacity that it has by now."""
        if self.since <= 0.0 or now >= self.since + COLD_TIME:
            return 1.0
        return COLD_SHARE + (1.0 - COLD_SHARE) * (now - self.since) / COLD_TIME

    def count(self, now: float) -> None:
        """Take one more call into account, where it is cold."""
        share = self.share(now)
        if share >= 1.0:
            return
        self.window.append(now)
        while self.window[0] <= now - FALL_WINDOW:
            self.window.popleft()
        allowed = FALL_MULTIPLE * share * CAPACITY * FALL_WINDOW
        self.worst = max(self.worst, len(self.window) / (allowed + 2.0 * allowed**0.5 + 2.0))

    def restart(self, now: float) -> None:
        """Begin anew, cold."""
        self.free = [now] * SLOTS
        self.since = now
        self.lives += 1
        self.window.clear()


class ZoneFleet:
    """The whole of it. `calls` and `sends` hold everything that happened, in order."""

    def __init__(self, shape: FleetShape, seed: int) -> None:
        self.shape = shape
        self.rng = random.Random(f"zone fleet {seed}")
        self.clock = VirtualClock()
        self.calls: list[CallRecord] = []
        self.sends: list[SendRecord] = []
        self.kept: set[tuple[int, int]] = set()  # connections that are there, by sidecar and endpoint
        self.endpoints = self._endpoints()
        self.sidecars: list[VirtualSidecar] = []
        self.zone_of: list[int] = []
        self.seed = seed
        for zone, count in enumerate(shape.sidecars):
            for _ in range(count):
                self._add_sidecar(zone)
        for fault in shape.faults:
            if fault.kind is ZoneFaultKind.LOST:
                self.clock.at(BEGIN + 1000.0 * fault.end, partial(self._return, fault))

    def _endpoints(self) -> dict[int, EndpointModel]:
        made: dict[int, EndpointModel] = {}
        for zone, count in enumerate(self.shape.endpoints):
            since = BEGIN if zone in self.shape.start_cold else 0.0
            for number in range(count):
                id = self.rng.getrandbits(48)
                made[id] = EndpointModel(Endpoint(id, zone=zone, cell=zone, started_at=since))
                made[id].place = number / count
        return made

    def _add_sidecar(self, zone: int) -> None:
        number = len(self.sidecars)
        self.zone_of.append(zone)
        self.sidecars.append(self._sidecar(number, self.seed))
        self.clock.at(BEGIN, partial(self._tell, number))
        self._next_call(number)

    def _tell(self, number: int) -> None:
        """Have a sidecar read the list as it is now."""
        listed = tuple(replace(model.info, started_at=model.since) for model in self.endpoints.values())
        self.sidecars[number].feed(EndpointList(ListKind.FULL, listed))

    def _sidecar(self, number: int, seed: int) -> VirtualSidecar:
        settings = Settings(
            CLASSES, COLD_SHARE, COLD_TIME, FALL_MULTIPLE, FALL_WINDOW, index=number,
            siblings=sum(self.shape.sidecars), max_attempts=3, ask_discovery=False, stage=1,
        )  # fmt: skip
        router = None
        if self.shape.places:
            places = Places(self.zone_of[number], self.shape.regions)
            router = ZoneRouter(places, self.shape.options, seed * 7919 + number)
        balancer = Balancer(settings, seed * 10_007 + number, router)
        return VirtualSidecar(
            self.clock, balancer, partial(self._serve, number), partial(self._distrusted, number)
        )

    # Calls

    def _next_call(self, number: int) -> None:
        at = self.clock.now + self.rng.expovariate(self.shape.rate)
        if at < BEGIN + 1000.0 * self.shape.seconds:
            self.clock.at(at, partial(self._call, number))

    def _call(self, number: int) -> None:
        lost = self._fault(ZoneFaultKind.LOST, self.zone_of[number])
        if lost is not None and lost.whole:
            self._next_call(number)  # it is lost with its zone
            return
        now, cls = self.clock.now, self.rng.choices((SAFE, KEYED, UNSAFE), self.shape.mix)[0]
        answered = partial(self._answered, now, self.zone_of[number], cls)
        self.sidecars[number].call(now + DEADLINE, answered, cls)
        self._next_call(number)

    def _answered(self, at: float, zone: int, cls: int, served: bool) -> None:
        self.calls.append(CallRecord(at - BEGIN, zone, cls, served, self.clock.now - at))

    # Endpoints

    def _serve(self, number: int, id: int, deadline: float, ended: Ended) -> None:
        now, model = self.clock.now, self.endpoints[id]
        source, target = self.zone_of[number], model.info.zone
        self.sends.append(SendRecord(now - BEGIN, source, target))
        way = WAYS[Places(source, self.shape.regions).distance(target)]
        if self._unreachable(source, model):
            if (number, id) in self.kept:
                self.kept.discard((number, id))  # it is given up at the deadline
            else:
                self.clock.at(now + CONNECT, lambda: ended(Outcome.CONNECT_FAILED))
            return
        self.kept.add((number, id))
        gray = self._fault(ZoneFaultKind.GRAY, target)
        if gray is not None and source != target and self.rng.random() < gray.size:
            return
        model.count(now)
        slow = self._fault(ZoneFaultKind.SLOW, target, model.place)
        service = self.rng.expovariate(1.0 / SERVICE) * (1.0 if slow is None else slow.size)
        done = model.start(now, service)
        if done is None:
            self.clock.at(now + way, lambda: ended(Outcome.REJECTED))
            return
        life = model.lives
        self.clock.at(done + way, lambda: self._done(model, life, source, ended))

    def _distrusted(self, number: int, endpoints: tuple[int, ...]) -> None:
        self.kept -= {(number, id) for id in endpoints}

    def _done(self, model: EndpointModel, life: int, source: int, ended: Ended) -> None:
        if model.lives == life and not self._unreachable(source, model):
            ended(Outcome.OK)

    def _return(self, fault: ZoneFault) -> None:
        for model in self.endpoints.values():
            if model.info.zone == fault.zone and model.place < fault.part:
                model.restart(self.clock.now)
        if fault.whole:
            for number, zone in enumerate(self.zone_of):
                if zone == fault.zone:
                    self.sidecars[number] = self._sidecar(number, self.seed + int(fault.end))
                    self._tell(number)

    # Faults

    def _fault(self, kind: ZoneFaultKind, zone: Zone, place: float = 0.0) -> ZoneFault | None:
        passed = (self.clock.now - BEGIN) / 1000.0
        for fault in self.shape.faults:
            here = fault.kind is kind and fault.zone == zone and place < fault.part
            if here and fault.start <= passed < fault.end:
                return fault
        return None

    def _unreachable(self, source: int, model: EndpointModel) -> bool:
        target = model.info.zone
        if self._fault(ZoneFaultKind.LOST, target, model.place) is not None:
            return True
        if source == target:
            return False
        parted = ZoneFaultKind.PARTED
        return self._fault(parted, source) is not None or self._fault(parted, target) is not None

    def play(self) -> ZoneFleet:
        """Play it to the end."""
        self.clock.run()
        return self

    # What came of it

    def served(
        self, since: float, until: float, chosen: Callable[[CallRecord], bool] = lambda _: True
    ) -> float:
        """The share of the calls made in a span (s) that were served."""
        calls = [c for c in self.calls if since <= c.at / 1000.0 < until and chosen(c)]
        return sum(c.served for c in calls) / max(1, len(calls))

    def lost(self, since: float, until: float) -> int:
        """The calls made in a span (s) that were not served."""
        return sum(not c.served for c in self.calls if since <= c.at / 1000.0 < until)

    def quantile(self, share: float, since: float, until: float) -> float:
        """A quantile of the ms that calls made in a span (s) took, served or not."""
        took = sorted(c.took for c in self.calls if since <= c.at / 1000.0 < until)
        return took[min(len(took) - 1, int(share * len(took)))] if took else 0.0

    def share_by_distance(self, since: float, until: float) -> dict[Distance, float]:
        """Attempts in a span (s) by how far they went, as shares."""
        counts: dict[Distance, int] = defaultdict(int)
        for send in self._sends(since, until):
            counts[Places(send.source, self.shape.regions).distance(send.target)] += 1
        whole = max(1, sum(counts.values()))
        return {distance: counts[distance] / whole for distance in Distance}

    def share_into(self, zone: int, since: float, until: float) -> float:
        """The share of a span's attempts that went into a zone."""
        sends = self._sends(since, until)
        return sum(s.target == zone for s in sends) / max(1, len(sends))

    def cold_worst(self) -> float:
        """The most that a cold endpoint was sent against what it stands; over 1 it falls."""
        return max(model.worst for model in self.endpoints.values())

    def _sends(self, since: float, until: float) -> Sequence[SendRecord]:
        return [s for s in self.sends if since <= s.at / 1000.0 < until]
