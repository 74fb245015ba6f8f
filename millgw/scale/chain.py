"""A chain of services one of whose tiers is slow and fails: what retries make of it. Pure, in virtual time.

Each tier's callers decide with `millgw.decide.Balancer`, the daemon's own; endpoints are waits and chances.
An endpoint that is called calls the next tier within what its caller has left, and its own answer is no
better than the next tier's. Work that nobody waits for any more is still done. Times are ms.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from msgspec import Struct

from millgw.decide import Balancer
from millgw.interface import Endpoint, EndpointList, ListKind, Outcome, Repeat, RequestClass, Settings
from millgw.simulation.virtual import BEGIN, Answered, Ended, VirtualClock, VirtualSidecar

DEADLINE = 2000.0  # of a call at the first tier, where a shape says nothing else
HOP = 20.0  # of each tier's deadline that is kept for the way back
WAIT = 8.0  # of an endpoint on average
TRIES = 3


@dataclass(slots=True, frozen=True)
class Shape:
    """The chain and its load. `slow` is the number of the tier that is ill, from 0 on."""

    tiers: int = 6
    width: int = 4
    rate: float = 60.0  # calls a second at the first tier
    seconds: float = 10.0
    slow: int = 4
    deadline: float = DEADLINE  # of a call at the first tier
    slowness: float = 12.0  # times the usual wait
    failing: float = 0.5  # of the calls at the slow tier
    ill_from: float = 0.3  # of the time, before which all is well
    ill_until: float = 0.8


class TierFigures(Struct):
    """What one tier was sent."""

    calls: int = 0  # that callers made of it
    attempts: int = 0
    calls_ill: int = 0  # the same while the slow tier was ill
    attempts_ill: int = 0


class ChainFigures(Struct):
    """What came of the calls at the first tier, and what each tier was sent."""

    calls: int
    served: int
    served_well: float  # of the calls while all tiers were well
    served_ill: float  # of the calls while one was ill
    tiers: list[TierFigures]
    slow: int

    @property
    def attempts_a_call(self) -> float:
        """Attempts at the slow tier for each call that was made of it while it was ill."""
        tier = self.tiers[self.slow]
        return tier.attempts_ill / max(1, tier.calls_ill)

    @property
    def amplification(self) -> float:
        """Attempts at the slow tier for each call of the first while it was ill."""
        return self.tiers[self.slow].attempts_ill / max(1, self.tiers[0].calls_ill)


def sidecar(chain: Chain, tier: int, seed: int) -> VirtualSidecar:
    """One sidecar of a tier's callers, which knows the tier's endpoints."""
    settings = Settings(
        (RequestClass("read", chain.shape.deadline, Repeat.SAFE, chain.shape.deadline / 2),),
        0.2,
        10_000.0,
        2.5,
        1000.0,
        max_attempts=TRIES,
        siblings=chain.shape.width,
        ask_discovery=False,
    )
    made = VirtualSidecar(chain.clock, Balancer(settings, seed), partial(chain.serve, tier))
    endpoints = tuple(Endpoint(i + 1, started_at=1.0) for i in range(chain.shape.width))
    made.feed(EndpointList(ListKind.FULL, endpoints))
    return made


class Chain:
    """All tiers."""

    def __init__(self, shape: Shape, seed: int) -> None:
        self.shape = shape
        self.clock = VirtualClock()
        self.rng = random.Random(f"chain {seed}")
        self.figures = [TierFigures() for _ in range(shape.tiers)]
        self.callers = [
            [sidecar(self, tier, seed * 1000 + tier * 100 + i) for i in range(shape.width)]
            for tier in range(shape.tiers)
        ]

    def ill(self) -> bool:
        """Whether the slow tier is ill now."""
        passed = (self.clock.now - BEGIN) / 1000 / self.shape.seconds
        return self.shape.ill_from <= passed < self.shape.ill_until

    def call(self, tier: int, by: int, deadline: float, answered: Answered) -> None:
        """A caller makes a call of a tier."""
        figures = self.figures[tier]
        figures.calls += 1
        figures.calls_ill += self.ill()
        self.callers[tier][by % self.shape.width].call(deadline, answered)

    def serve(self, tier: int, endpoint: int, deadline: float, ended: Ended) -> None:
        """An endpoint works on an attempt, and calls the next tier."""
        figures = self.figures[tier]
        ill = self.ill()
        figures.attempts += 1
        figures.attempts_ill += ill
        sick = ill and tier == self.shape.slow
        wait = WAIT * (0.5 + self.rng.random()) * (self.shape.slowness if sick else 1.0)
        fails = sick and self.rng.random() < self.shape.failing
        self.clock.at(self.clock.now + wait, lambda: self._worked(tier, endpoint, deadline, fails, ended))

    def _worked(self, tier: int, endpoint: int, deadline: float, fails: bool, ended: Ended) -> None:
        left = deadline - HOP
        if fails or left <= self.clock.now:
            ended(Outcome.ERROR)
        elif tier + 1 == self.shape.tiers:
            ended(Outcome.OK)
        else:
            self.call(tier + 1, endpoint, left, lambda served: ended(Outcome.OK if served else Outcome.ERROR))


def play(shape: Shape, seed: int) -> ChainFigures:
    """Play the whole load through the chain."""
    chain = Chain(shape, seed)
    rng = random.Random(f"calls {seed}")
    answers: list[tuple[bool, bool]] = []  # whether a tier was ill at its start; whether it was served
    at = BEGIN
    while (at := at + rng.expovariate(shape.rate / 1000)) < BEGIN + 1000 * shape.seconds:
        chain.clock.at(at, _first_call(chain, rng.randrange(shape.width), answers))
    chain.clock.run()
    well = [served for ill, served in answers if not ill]
    unwell = [served for ill, served in answers if ill]
    return ChainFigures(
        calls=len(answers),
        served=sum(served for _, served in answers),
        served_well=sum(well) / max(1, len(well)),
        served_ill=sum(unwell) / max(1, len(unwell)),
        tiers=chain.figures,
        slow=shape.slow,
    )


def _first_call(chain: Chain, by: int, answers: list[tuple[bool, bool]]) -> Callable[[], None]:
    def make() -> None:
        ill = chain.ill()
        chain.call(
            0, by, chain.clock.now + chain.shape.deadline, lambda served: answers.append((ill, served))
        )

    return make
