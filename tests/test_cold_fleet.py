"""Rule 4 over a whole fleet: what all sidecars together send a cold endpoint, in virtual time."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import defaultdict, deque

import pytest

from millgw.decide import Balancer
from millgw.interface import (
    Action,
    AttemptEnded,
    Endpoint,
    EndpointList,
    Event,
    ListKind,
    Outcome,
    Repeat,
    RequestArrived,
    RequestClass,
    Send,
    SetTimer,
    Settings,
    TimerFired,
)

SIDECARS = 30
START = 1_000_000.0  # ms at which the endpoints start; a clock that is far from 0, as Unix time is
WATCHED = 8000.0  # ms after it that are played
BURST = 3000.0  # ms after it for which more is asked for
ANSWER = 80.0  # ms of an answer on average
CAPACITY = 12.0  # calls a second that a warm endpoint can do
READ = RequestClass("read", 4000.0, Repeat.SAFE, 1500.0)
SETTINGS = Settings(
    (READ,), cold_share=0.2, cold_time=12_000.0, fall_multiple=2.5, fall_window=1000.0,
    siblings=SIDECARS, max_attempts=3, concurrent_attempts=True, ask_discovery=False,
)  # fmt: skip


def bound(now: float) -> float:
    """The calls within a window that end a cold endpoint's life: N + 2 x root of N + 2."""
    share = SETTINGS.cold_share + (1 - SETTINGS.cold_share) * (now - START) / SETTINGS.cold_time
    allowed = SETTINGS.fall_multiple * share * CAPACITY * SETTINGS.fall_window / 1000
    return allowed + 2 * math.sqrt(allowed) + 2


class Fleet:
    """Thirty sidecars before endpoints that all start at `START`, which every sidecar is told then.

    `before` is how many ms the sidecars have served at that time, by endpoints that were warm; 0: they start
    with the endpoints. `load` is the part of all warm endpoints' capacity that is asked for, `burst` times
    as much in the first seconds. `kept` of the endpoints come back, the others are gone.
    """

    def __init__(
        self, endpoints: int, kept: int, load: float, burst: float, before: float, seed: int
    ) -> None:
        self.rng = random.Random(f"cold fleet {seed}")
        self.queue: list[tuple[float, int, int, Event]] = []
        self.numbers = itertools.count()
        self.balancers = [Balancer(_settings(index), 1000 * seed + index) for index in range(SIDECARS)]
        self.attempts: dict[int, int] = defaultdict(int)
        self.windows: dict[int, deque[float]] = defaultdict(deque)
        self.worst = 0.0  # the most calls within a window, of those at which an endpoint falls
        self.sent = 0
        warm = tuple(Endpoint(id, started_at=1.0) for id in range(endpoints))
        cold = tuple(Endpoint(id, started_at=START) for id in range(kept))
        rate = load * CAPACITY * endpoints / SIDECARS / 1000
        for index in range(SIDECARS):
            if before:
                self.at(START - before, index, EndpointList(ListKind.FULL, warm))
            self.at(START, index, EndpointList(ListKind.FULL, cold))
            self.arrivals(index, START - before, START, rate)
            self.arrivals(index, START, START + BURST, rate * burst)
            self.arrivals(index, START + BURST, START + WATCHED, rate)

    def at(self, at: float, index: int, event: Event) -> None:
        heapq.heappush(self.queue, (at, next(self.numbers), index, event))

    def arrivals(self, index: int, since: float, until: float, rate: float) -> None:
        now = since
        while (now := now + self.rng.expovariate(rate)) < until:
            self.at(now, index, RequestArrived(next(self.numbers), 0, now + READ.deadline))

    def play(self) -> Fleet:
        while self.queue:
            now, _, index, event = heapq.heappop(self.queue)
            for action in self.balancers[index].handle(now, event):
                self.carry_out(now, index, action)
        return self

    def carry_out(self, now: float, index: int, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.at(max(now, action.at), index, TimerFired(action.timer))
        elif isinstance(action, Send):
            if now >= START:
                self.count(now, action.endpoint)
            number = self.attempts[action.request]
            self.attempts[action.request] += 1
            took = min(2000.0, self.rng.expovariate(1 / ANSWER))
            ended = AttemptEnded(action.request, action.endpoint, number, Outcome.OK, took, False)
            self.at(now + took, index, ended)

    def count(self, now: float, endpoint: int) -> None:
        window = self.windows[endpoint]
        window.append(now)
        while window[0] <= now - SETTINGS.fall_window:
            window.popleft()
        self.sent += 1
        self.worst = max(self.worst, len(window) / bound(now))


def _settings(index: int) -> Settings:
    return Settings(
        (READ,), SETTINGS.cold_share, SETTINGS.cold_time, SETTINGS.fall_multiple, SETTINGS.fall_window,
        index=index, siblings=SIDECARS, max_attempts=SETTINGS.max_attempts,
        concurrent_attempts=SETTINGS.concurrent_attempts, ask_discovery=SETTINGS.ask_discovery,
    )  # fmt: skip


@pytest.mark.parametrize("seed", range(1, 5))
@pytest.mark.parametrize("endpoints", [1, 3, 10])
def test_new_sidecars_do_not_push_over_endpoints_that_start_with_them(endpoints: int, seed: int) -> None:
    fleet = Fleet(endpoints, endpoints, load=0.9, burst=4.0, before=0.0, seed=seed).play()
    assert fleet.worst <= 1.0
    assert fleet.sent >= 4 * endpoints, "what starts is used"


@pytest.mark.parametrize("seed", range(1, 5))
def test_sidecars_that_run_do_not_push_over_the_one_endpoint_that_is_left_and_cold(seed: int) -> None:
    fleet = Fleet(8, 1, load=0.5, burst=1.0, before=12_000.0, seed=seed).play()
    assert fleet.worst <= 1.0
    assert fleet.sent >= 40
