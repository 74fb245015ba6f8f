"""When requests come and what they are: an open-loop schedule drawn ahead from a seed. Pure.

Arrivals don't wait for answers: the times are those of a Poisson process whose rate follows a shape, drawn by
thinning (Lewis and Shedler, 1979). The same traffic, length and seed give the same arrivals.
"""

from __future__ import annotations

import bisect
import itertools
import math
import random
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

WAVE_MS = 6000.0
BURST_MS = 2500.0
CROWD_RISE_MS = 1000.0


@dataclass(slots=True, frozen=True)
class Kind:
    """One class among the arrivals: its share, its deadline (ms) and whether its requests carry a key."""

    name: str
    share: float
    deadline: float
    keyed: bool


@dataclass(slots=True, frozen=True)
class Habits:
    """What clients do. `try_share` and `wait` (ms) are ranges that each request draws from."""

    retries: int = 3
    try_share: tuple[float, float] = (0.5, 0.6)
    wait: tuple[float, float] = (0.0, 600.0)
    at_once: float = 0.5  # of the clients retry without a wait
    honour: float = 0.3  # of the clients keep Retry-After
    impatient: float = 0.0  # of the requests are left before their time


@dataclass(slots=True, frozen=True)
class Arrival:
    """One request of a client, with what the client will do about it. Times are ms."""

    at: float
    number: int
    cls: str
    tenant: str
    key: str
    patience: float
    retries: int
    wait: float
    honours: bool
    leaves: float | None  # ms after its sending at which the client goes away
    about: str = ""  # what it is about, the query's `k`
    size: int = 0  # bytes of its body
    host: str = ""  # of its Host header; empty for the target's own
    path: str = ""  # of its request; empty for the usual one


@dataclass(slots=True, frozen=True)
class Crowd:
    """A flash crowd: the rate rises to `factor` times itself within a second and falls back as fast."""

    start: float
    until: float
    factor: float

    def at(self, t: float) -> float:
        if not self.start <= t < self.until:
            return 1.0
        edge = min(t - self.start, self.until - t) / CROWD_RISE_MS
        return 1.0 + (self.factor - 1.0) * min(1.0, edge)


def shape(name: str, swing: float, length: float, seed: int) -> Callable[[float], float]:
    """The course of the rate over a day of `length` ms: 1 on average, from 1 - swing to 1 + swing."""
    if name == "steady":
        return lambda t: 1.0
    if name == "wave":
        return lambda t: 1.0 + swing * math.sin(2 * math.pi * t / WAVE_MS)
    if name == "ramp":
        return lambda t: 1.0 + swing * (2 * t / length - 1)
    if name == "bursty":
        rng = random.Random(f"bursts {seed}")
        levels = [1.0 + swing * rng.uniform(-1, 1) for _ in range(int(length / BURST_MS) + 1)]
        return lambda t: levels[min(int(t / BURST_MS), len(levels) - 1)]
    raise ValueError(f"shape {name!r} is none of steady, wave, ramp, bursty")


def times(
    rate: float,
    course: Callable[[float], float],
    crowds: Sequence[Crowd],
    swing: float,
    length: float,
    seed: int,
) -> Iterator[float]:
    """The times (ms) of arrivals at `rate` a second, within `length` ms."""
    top = rate * (1 + swing) * math.prod(max(1.0, c.factor) for c in crowds) / 1000

    def now(t: float) -> float:
        return rate * course(t) * math.prod(c.at(t) for c in crowds) / 1000

    return thinned(now, top, length, random.Random(f"times {seed}"))


def thinned(rate: Callable[[float], float], top: float, length: float, rng: random.Random) -> Iterator[float]:
    """The times (ms) of a Poisson process whose rate (per ms) follows a course that never passes `top`."""
    t = 0.0
    while top > 0:
        t += rng.expovariate(top)
        if t >= length:
            return
        if rng.random() * top < rate(t):
            yield t


def arrivals(
    moments: Iterator[float],
    kinds: Sequence[Kind],
    tenants: Sequence[tuple[str, float]],
    habits: Habits,
    seed: int,
    first: int = 0,
) -> Iterator[Arrival]:
    """What comes at each of the moments, numbered from `first`."""
    rng = random.Random(f"requests {seed} {first}" if first else f"requests {seed}")
    of_kinds = list(itertools.accumulate(k.share for k in kinds))
    of_tenants = list(itertools.accumulate(share for _, share in tenants))
    for number, at in enumerate(moments, first):
        # A fixed count of draws for each arrival, whatever it is: a change of one habit moves no other.
        a, b, c, d, e, f, g, h = (rng.random() for _ in range(8))
        kind = kinds[bisect.bisect(of_kinds, a * of_kinds[-1])]
        low, high = habits.try_share
        patience = kind.deadline * (low + (high - low) * c)
        wait = 0.0 if d < habits.at_once else habits.wait[0] + (habits.wait[1] - habits.wait[0]) * e
        yield Arrival(
            at=at,
            number=number,
            cls=kind.name,
            tenant=tenants[bisect.bisect(of_tenants, b * of_tenants[-1])][0],
            key=f"{seed:x}-{number:x}" if kind.keyed else "",
            patience=patience,
            retries=habits.retries,
            wait=wait,
            honours=f < habits.honour,
            leaves=patience * h if g < habits.impatient else None,
        )
