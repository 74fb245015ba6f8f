"""What is told of endpoints, when and how often: rumours with few repeats, and comparisons. Pure.

A sidecar tells what is out of the ordinary as it sees it (an endpoint that fails, is slow, cold or drains),
when that changes and now and then while it lasts; it contradicts what others say and it does not see. It
keeps quiet where enough others say the same. Each rumour is passed on a number of times that grows with the
logarithm of the fleet; who missed it finds out by comparing digests. All of it is bounded by node and second,
whatever happens: `Terms.most` rumours to `Terms.fanout` peers each `Terms.every` ms. Times are ms on the
caller's monotonic clock.
"""

from __future__ import annotations

import heapq
import math
import random
import zlib
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from enum import Enum

from millgw.peers.beliefs import ILL, MIDDLE_OF, Beliefs, Observation, Prior

SLOW = 2.0  # times the usual, from which an endpoint is slow
STEADY_CALLS = 3  # own calls on which an endpoint can be said to be well
NUMBERS_A_MS = 1024  # an origin's numbers begin with its start: later processes of it go before earlier ones


class Mark(Enum):
    """What an endpoint is like."""

    WELL = "well"
    ILL = "ill"
    COLD = "cold"
    DRAINS = "drains"


def mark(o: Observation, young: float) -> Mark:
    """What an observation says; `young` is the ms for which an endpoint is cold."""
    if o.draining:
        return Mark.DRAINS
    if o.failing >= ILL or o.slow >= SLOW:
        return Mark.ILL
    return Mark.COLD if o.up is not None and o.up < young else Mark.WELL


@dataclass(slots=True, frozen=True)
class Terms:
    """Times in ms. `spread` times log2 of the fleet is how often a rumour is passed on."""

    every: float = 250.0
    fanout: int = 3
    most: int = 8  # rumours in a datagram
    spread: float = 1.5
    again: float = 2000.0  # to twice that: then what is seen is told again, while it lasts
    compare: float = 5000.0
    burst: int = 3  # datagrams that a comparison may cause on each side


@dataclass(slots=True, frozen=True)
class Digest:
    """All that is held, in one number; `differs` where it answers one that is another."""

    number: int
    differs: bool


Rumour = tuple[str, Observation]  # with its pool
Said = tuple[Rumour, ...] | Digest
Sent = tuple[str, Said]


class Gossip:
    """One sidecar's part in it. `start` is Unix ms of its process, `name` where peers find it."""

    def __init__(self, name: str, start: int, seed: int, terms: Terms | None = None) -> None:
        self.name = name
        self.terms = terms or Terms()
        self.rng = random.Random(seed)
        self.number = start * NUMBERS_A_MS
        self.pools: dict[str, Beliefs] = {}
        self.told: dict[tuple[str, str], tuple[float, Mark]] = {}  # by pool and endpoint: until when, what
        self.own: dict[str, dict[str, Observation]] = {}
        self.left: dict[tuple[str, str, str], int] = {}  # by pool, endpoint and origin
        self.next = -math.inf
        self.compares = -math.inf

    # What is seen here

    def see(self, now: float, pool: str, young: float, seen: Iterable[Observation]) -> None:
        """What this sidecar holds of a pool's endpoints by its own calls.

        All that is known of (`known`) and all that is out of the ordinary must be among them.
        """
        self.own[pool] = own = {o.endpoint: o for o in seen}
        beliefs = self.serve(pool)
        for endpoint, observation in own.items():
            if self._worth_telling(now, pool, young, observation, beliefs):
                # At times of its own each: those who saw it at once would all say it again at once.
                again = now + self.terms.again * (1.0 + self.rng.random())
                self.told[pool, endpoint] = (again, mark(observation, young))
                self._tell(now, pool, observation)
        for key in [k for k in self.told if k[0] == pool and k[1] not in own]:
            del self.told[key]

    def _worth_telling(self, now: float, pool: str, young: float, o: Observation, beliefs: Beliefs) -> bool:
        is_now = mark(o, young)
        if is_now is Mark.WELL and o.endpoint not in beliefs.known:
            return False  # as nearly always
        until, before = self.told.get((pool, o.endpoint), (-math.inf, Mark.WELL))
        if is_now is not before:
            return True
        if now < until:
            return False
        others = [
            mark(known, young) for known in beliefs.told(now, o.endpoint, o.since, self.terms.again)
            if known.origin != self.name
        ]  # fmt: skip
        if others.count(is_now) >= MIDDLE_OF:
            return False  # guards against a fleet in which all tell all the same
        if is_now is Mark.WELL:
            return o.calls >= STEADY_CALLS and Mark.ILL in others
        return True

    def _tell(self, now: float, pool: str, observation: Observation) -> None:
        self.number += 1
        told = replace(observation, origin=self.name, age=0.0, number=self.number)
        self._pass_on(pool, self.pools[pool].take(now, [told]))

    # What others tell

    def hear(self, now: float, told: Iterable[Rumour]) -> None:
        for pool, observation in told:
            if observation.origin != self.name and pool in self.pools:
                self._pass_on(pool, self.pools[pool].take(now, [observation]))

    def learn(self, now: float, pools: Mapping[str, Iterable[Observation]]) -> None:
        """Take a peer's snapshot; what it holds was told to the others when it was new."""
        for pool, told in pools.items():
            if pool in self.pools:
                self.pools[pool].take(now, [o for o in told if o.origin != self.name])

    def serve(self, pool: str) -> Beliefs:
        """There is a pool of this name here, of which these are held: what is told of others is not kept."""
        return self.pools.setdefault(pool, Beliefs())

    def drop(self, pool: str) -> None:
        """A pool has ended."""
        self.pools.pop(pool, None)
        self.own.pop(pool, None)
        for key in [k for k in self.told if k[0] == pool]:
            del self.told[key]

    def snapshot(self, now: float) -> dict[str, list[Observation]]:
        """All that is held, own observations of what is ordinary among it."""
        out: dict[str, list[Observation]] = {}
        for pool, beliefs in self.pools.items():
            own = self.own.get(pool, {})
            out[pool] = [o for o in beliefs.tell(now) if o.origin != self.name or o.endpoint not in own]
            for observation in own.values():
                self.number += 1
                out[pool].append(replace(observation, origin=self.name, age=0.0, number=self.number))
        return out

    def priors(
        self, now: float, pool: str, listed: Mapping[str, float], young: float, of: int = 0
    ) -> dict[str, Prior]:
        """What others' word comes to, for the endpoints of a list (see `Beliefs.priors`)."""
        beliefs = self.pools.get(pool)
        return {} if beliefs is None else beliefs.priors(now, listed, young, self.name, of)

    def known(self, pool: str) -> list[str]:
        """The endpoints of which anything is held."""
        beliefs = self.pools.get(pool)
        return [] if beliefs is None else list(beliefs.known)

    # What goes out

    def due(self) -> float:
        return self.next

    def tick(self, now: float, peers: Sequence[str]) -> list[Sent]:
        """What to say now, to which of these peers."""
        self.next = now + self.terms.every
        sent: list[Sent] = []
        some = self.rng.sample(peers, min(self.terms.fanout, len(peers)))
        for peer in some:
            rumours = self._hottest(now, len(peers))
            if rumours:
                sent.append((peer, rumours))
        if now >= self.compares and some:
            self.compares = now + self.terms.compare * (0.5 + self.rng.random())
            sent.append((some[0], Digest(self._digest(now), False)))
        return sent

    def compare(self, now: float, sender: str, digest: Digest) -> list[Sent]:
        """Answer another's digest: where it is not this one, each tells the other the youngest."""
        mine = self._digest(now)
        if digest.number == mine and not digest.differs:
            return []
        youngest = sorted(
            ((pool, o) for pool, beliefs in self.pools.items() for o in beliefs.tell(now)),
            key=lambda rumour: rumour[1].age,
        )
        most, burst = self.terms.most, self.terms.burst
        parts = [tuple(youngest[i * most : (i + 1) * most]) for i in range(burst)]
        sent: list[Sent] = [(sender, part) for part in parts if part]
        if not digest.differs:
            sent.append((sender, Digest(mine, True)))
        return sent

    def _pass_on(self, pool: str, new: Iterable[Observation]) -> None:
        for o in new:
            self.left[pool, o.endpoint, o.origin] = 0  # how often it went out so far

    def _hottest(self, now: float, peers: int) -> tuple[Rumour, ...]:
        """The rumours that went out least; each goes out so often and is then left to comparisons."""
        most = math.ceil(self.terms.spread * math.log2(peers + 2))
        rumours: list[Rumour] = []
        for key in heapq.nsmallest(self.terms.most, self.left, key=self.left.__getitem__):
            pool, endpoint, origin = key
            beliefs = self.pools.get(pool)
            known = None if beliefs is None else beliefs.of(now, endpoint, origin)
            self.left[key] += 1
            if known is None or self.left[key] >= most:
                del self.left[key]
            if known is not None:
                rumours.append((pool, known))
        return tuple(rumours)

    def _digest(self, now: float) -> int:
        held = sorted(
            (pool, o.endpoint, o.origin, o.number)
            for pool, beliefs in self.pools.items()
            for o in beliefs.tell(now)
        )
        return zlib.crc32(repr(held).encode())
