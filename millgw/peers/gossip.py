"""Gossip about endpoint health: rumour mongering with few repeats, and anti-entropy by digests. Pure.

A sidecar announces unusual states that it observes itself (an endpoint that fails, is slow, cold or draining)
when they change, and repeats them at intervals while they last. It contradicts reports that its own calls
don't confirm, and stays silent if enough others announce the same. Each rumour is relayed a number of times
that grows with the logarithm of the fleet size; a node that missed it catches up by comparing digests. The
traffic of a node is always bounded: `max_rumours` rumours to `fanout` peers every `interval` ms (see
`GossipSettings`). Times are ms on the caller's monotonic clock.
"""

from __future__ import annotations

import heapq
import math
import random
import zlib
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from enum import Enum

from millgw.peers.observations import (
    FAILURE_RATE_THRESHOLD,
    MIN_ORIGINS_FOR_MEDIAN,
    Observation,
    ObservationStore,
    Prior,
)

LATENCY_RATIO_THRESHOLD = 2.0  # multiple of the normal latency from which an endpoint is slow
MIN_CALLS_FOR_HEALTHY = 3  # own calls needed to contradict a report that an endpoint is unhealthy
# An origin's sequence numbers begin at its start time, so a restarted process has higher numbers than before.
SEQUENCES_PER_MS = 1024


class EndpointState(Enum):
    """The state of an endpoint according to an observation."""

    HEALTHY = "well"
    UNHEALTHY = "ill"
    COLD = "cold"
    DRAINING = "drains"


def classify(o: Observation, cold_time: float) -> EndpointState:
    """The state that an observation reports; `cold_time` is the ms for which a started endpoint is cold."""
    if o.draining:
        return EndpointState.DRAINING
    if o.failure_rate >= FAILURE_RATE_THRESHOLD or o.latency_ratio >= LATENCY_RATIO_THRESHOLD:
        return EndpointState.UNHEALTHY
    return EndpointState.COLD if o.uptime is not None and o.uptime < cold_time else EndpointState.HEALTHY


@dataclass(slots=True, frozen=True)
class GossipSettings:
    """Times in ms. A rumour is relayed `retransmit_factor` times log2 of the fleet size."""

    interval: float = 250.0
    fanout: int = 3
    max_rumours: int = 8  # in a datagram
    retransmit_factor: float = 1.5
    repeat_interval: float = 2000.0  # a lasting state is repeated after one to two intervals
    digest_interval: float = 5000.0
    max_sync_datagrams: int = 3  # sent by each side after digests differed


@dataclass(slots=True, frozen=True)
class Digest:
    """A checksum of all stored observations; `differs` marks the answer to a different digest."""

    checksum: int
    differs: bool


Rumour = tuple[str, Observation]  # pool name and observation
GossipMessage = tuple[Rumour, ...] | Digest
Outgoing = tuple[str, GossipMessage]


class Gossip:
    """The gossip state of one sidecar. `start` is its process start in Unix ms, `name` its peer address."""

    def __init__(self, name: str, start: int, seed: int, settings: GossipSettings | None = None) -> None:
        self.name = name
        self.settings = settings or GossipSettings()
        self.rng = random.Random(seed)
        self.sequence = start * SEQUENCES_PER_MS
        self.pools: dict[str, ObservationStore] = {}
        # By pool and endpoint: when the state may be repeated, and the state.
        self.announced: dict[tuple[str, str], tuple[float, EndpointState]] = {}
        self.own_observations: dict[str, dict[str, Observation]] = {}
        self.transmissions: dict[tuple[str, str, str], int] = {}  # times sent, by pool, endpoint, origin
        self.next_tick = -math.inf
        self.next_digest = -math.inf

    # Own observations

    def update_own(
        self, now: float, pool: str, cold_time: float, observations: Iterable[Observation]
    ) -> None:
        """Replace this sidecar's own observations of a pool's endpoints and announce what is new.

        They must include all endpoints in `known_endpoints` and all in an unusual state.
        """
        self.own_observations[pool] = own = {o.endpoint: o for o in observations}
        store = self.add_pool(pool)
        for endpoint, observation in own.items():
            if self._should_announce(now, pool, cold_time, observation, store):
                # Random, as nodes that observed a change together would otherwise all repeat it together.
                repeat_at = now + self.settings.repeat_interval * (1.0 + self.rng.random())
                self.announced[pool, endpoint] = (repeat_at, classify(observation, cold_time))
                self._announce(now, pool, observation)
        for key in [k for k in self.announced if k[0] == pool and k[1] not in own]:
            del self.announced[key]

    def _should_announce(
        self, now: float, pool: str, cold_time: float, o: Observation, store: ObservationStore
    ) -> bool:
        state = classify(o, cold_time)
        if state is EndpointState.HEALTHY and o.endpoint not in store.by_endpoint:
            return False  # the usual case
        repeat_at, previous = self.announced.get((pool, o.endpoint), (-math.inf, EndpointState.HEALTHY))
        if state is not previous:
            return True
        if now < repeat_at:
            return False
        others = [
            classify(stored, cold_time)
            for stored in store.recent(now, o.endpoint, o.started_at, self.settings.repeat_interval)
            if stored.origin != self.name
        ]  # fmt: skip
        if others.count(state) >= MIN_ORIGINS_FOR_MEDIAN:
            return False  # otherwise every node of the fleet would announce the same
        if state is EndpointState.HEALTHY:
            return o.calls >= MIN_CALLS_FOR_HEALTHY and EndpointState.UNHEALTHY in others
        return True

    def _announce(self, now: float, pool: str, observation: Observation) -> None:
        self.sequence += 1
        announced = replace(observation, origin=self.name, age=0.0, sequence=self.sequence)
        self._queue(pool, self.pools[pool].merge(now, [announced]))

    # Reports of peers

    def receive_rumours(self, now: float, rumours: Iterable[Rumour]) -> None:
        for pool, observation in rumours:
            if observation.origin != self.name and pool in self.pools:
                self._queue(pool, self.pools[pool].merge(now, [observation]))

    def merge_snapshot(self, now: float, pools: Mapping[str, Iterable[Observation]]) -> None:
        """Store a peer's snapshot without relaying it: its observations were relayed when they were new."""
        for pool, observations in pools.items():
            if pool in self.pools:
                self.pools[pool].merge(now, [o for o in observations if o.origin != self.name])

    def add_pool(self, pool: str) -> ObservationStore:
        """Register a pool and return its store; reports about pools that are not registered are ignored."""
        return self.pools.setdefault(pool, ObservationStore())

    def remove_pool(self, pool: str) -> None:
        """Discard everything about a pool that no longer exists."""
        self.pools.pop(pool, None)
        self.own_observations.pop(pool, None)
        for key in [k for k in self.announced if k[0] == pool]:
            del self.announced[key]

    def snapshot(self, now: float) -> dict[str, list[Observation]]:
        """All observations by pool, including own ones of endpoints without anything unusual."""
        by_pool: dict[str, list[Observation]] = {}
        for pool, store in self.pools.items():
            own = self.own_observations.get(pool, {})
            by_pool[pool] = [
                o for o in store.all_current(now) if o.origin != self.name or o.endpoint not in own
            ]
            for observation in own.values():
                self.sequence += 1
                by_pool[pool].append(replace(observation, origin=self.name, age=0.0, sequence=self.sequence))
        return by_pool

    def priors(
        self,
        now: float,
        pool: str,
        start_times: Mapping[str, float],
        cold_time: float,
        endpoint_count: int = 0,
    ) -> dict[str, Prior]:
        """The priors from observations of other origins (see `ObservationStore.priors`)."""
        store = self.pools.get(pool)
        return {} if store is None else store.priors(now, start_times, cold_time, self.name, endpoint_count)

    def known_endpoints(self, pool: str) -> list[str]:
        """The endpoints with at least one stored observation."""
        store = self.pools.get(pool)
        return [] if store is None else list(store.by_endpoint)

    # Sending

    def due(self) -> float:
        return self.next_tick

    def tick(self, now: float, peers: Sequence[str]) -> list[Outgoing]:
        """The messages to send now, each with its recipient out of `peers`."""
        self.next_tick = now + self.settings.interval
        sent: list[Outgoing] = []
        recipients = self.rng.sample(peers, min(self.settings.fanout, len(peers)))
        for peer in recipients:
            rumours = self._least_sent_rumours(now, len(peers))
            if rumours:
                sent.append((peer, rumours))
        if now >= self.next_digest and recipients:
            self.next_digest = now + self.settings.digest_interval * (0.5 + self.rng.random())
            sent.append((recipients[0], Digest(self._digest(now), False)))
        return sent

    def answer_digest(self, now: float, sender: str, digest: Digest) -> list[Outgoing]:
        """Answer a peer's digest: if they differ, each side sends the other its youngest observations."""
        own_checksum = self._digest(now)
        if digest.checksum == own_checksum and not digest.differs:
            return []
        youngest = sorted(
            ((pool, o) for pool, store in self.pools.items() for o in store.all_current(now)),
            key=lambda rumour: rumour[1].age,
        )
        size, count = self.settings.max_rumours, self.settings.max_sync_datagrams
        batches = [tuple(youngest[i * size : (i + 1) * size]) for i in range(count)]
        sent: list[Outgoing] = [(sender, batch) for batch in batches if batch]
        if not digest.differs:
            sent.append((sender, Digest(own_checksum, True)))
        return sent

    def _queue(self, pool: str, observations: Iterable[Observation]) -> None:
        for o in observations:
            self.transmissions[pool, o.endpoint, o.origin] = 0

    def _least_sent_rumours(self, now: float, peer_count: int) -> tuple[Rumour, ...]:
        """The rumours sent least often; one that reached the limit is left to the exchange of digests."""
        max_sends = math.ceil(self.settings.retransmit_factor * math.log2(peer_count + 2))
        rumours: list[Rumour] = []
        for key in heapq.nsmallest(
            self.settings.max_rumours, self.transmissions, key=self.transmissions.__getitem__
        ):
            pool, endpoint, origin = key
            store = self.pools.get(pool)
            stored = None if store is None else store.latest(now, endpoint, origin)
            self.transmissions[key] += 1
            if stored is None or self.transmissions[key] >= max_sends:
                del self.transmissions[key]
            if stored is not None:
                rumours.append((pool, stored))
        return tuple(rumours)

    def _digest(self, now: float) -> int:
        contents = sorted(
            (pool, o.endpoint, o.origin, o.sequence)
            for pool, store in self.pools.items()
            for o in store.all_current(now)
        )
        return zlib.crc32(repr(contents).encode())
