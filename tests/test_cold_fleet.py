"""Rule 4 over a whole fleet in virtual time: what all sidecars together send to a cold endpoint."""

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
START = 1_000_000.0  # ms at which the endpoints start; far from 0, as Unix time is
SIMULATED = 8000.0  # ms after `START` that are simulated
BURST = 3000.0  # ms after `START` with a higher request rate
MEAN_LATENCY = 80.0  # ms
CAPACITY = 12.0  # calls per second of a warm endpoint
READ = RequestClass("read", 4000.0, Repeat.SAFE, 1500.0)
SETTINGS = Settings(
    (READ,), cold_share=0.2, cold_time=12_000.0, fall_multiple=2.5, fall_window=1000.0,
    siblings=SIDECARS, max_attempts=3, concurrent_attempts=True, ask_discovery=False,
)  # fmt: skip


def max_calls_in_window(now: float) -> float:
    """The calls N within a window that overload a cold endpoint, with a margin: N + 2 * sqrt(N) + 2."""
    share = SETTINGS.cold_share + (1 - SETTINGS.cold_share) * (now - START) / SETTINGS.cold_time
    allowed = SETTINGS.fall_multiple * share * CAPACITY * SETTINGS.fall_window / 1000
    return allowed + 2 * math.sqrt(allowed) + 2


class Fleet:
    """Thirty sidecars and endpoints that all start at `START`, as every sidecar learns at that time.

    `before` is how many ms the sidecars have already served with warm endpoints by then; 0: they start
    together with the endpoints. `load` is the requested share of all warm endpoints' capacity; in the first
    seconds it is multiplied by `burst`. `kept` of the endpoints remain, the others are removed.
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
        self.worst_ratio = 0.0  # most calls within a window, relative to the number that overloads
        self.sent = 0
        warm = tuple(Endpoint(id, started_at=1.0) for id in range(endpoints))
        cold = tuple(Endpoint(id, started_at=START) for id in range(kept))
        rate = load * CAPACITY * endpoints / SIDECARS / 1000
        for index in range(SIDECARS):
            if before:
                self.schedule(START - before, index, EndpointList(ListKind.FULL, warm))
            self.schedule(START, index, EndpointList(ListKind.FULL, cold))
            self.schedule_arrivals(index, START - before, START, rate)
            self.schedule_arrivals(index, START, START + BURST, rate * burst)
            self.schedule_arrivals(index, START + BURST, START + SIMULATED, rate)

    def schedule(self, at: float, index: int, event: Event) -> None:
        heapq.heappush(self.queue, (at, next(self.numbers), index, event))

    def schedule_arrivals(self, index: int, start: float, end: float, rate: float) -> None:
        now = start
        while (now := now + self.rng.expovariate(rate)) < end:
            self.schedule(now, index, RequestArrived(next(self.numbers), 0, now + READ.deadline))

    def play(self) -> Fleet:
        while self.queue:
            now, _, index, event = heapq.heappop(self.queue)
            for action in self.balancers[index].handle(now, event):
                self.carry_out(now, index, action)
        return self

    def carry_out(self, now: float, index: int, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.schedule(max(now, action.at), index, TimerFired(action.timer))
        elif isinstance(action, Send):
            if now >= START:
                self.count_send(now, action.endpoint)
            number = self.attempts[action.request]
            self.attempts[action.request] += 1
            latency = min(2000.0, self.rng.expovariate(1 / MEAN_LATENCY))
            ended = AttemptEnded(action.request, action.endpoint, number, Outcome.OK, latency, False)
            self.schedule(now + latency, index, ended)

    def count_send(self, now: float, endpoint: int) -> None:
        window = self.windows[endpoint]
        window.append(now)
        while window[0] <= now - SETTINGS.fall_window:
            window.popleft()
        self.sent += 1
        self.worst_ratio = max(self.worst_ratio, len(window) / max_calls_in_window(now))


def _settings(index: int) -> Settings:
    return Settings(
        (READ,), SETTINGS.cold_share, SETTINGS.cold_time, SETTINGS.fall_multiple, SETTINGS.fall_window,
        index=index, siblings=SIDECARS, max_attempts=SETTINGS.max_attempts,
        concurrent_attempts=SETTINGS.concurrent_attempts, ask_discovery=SETTINGS.ask_discovery,
    )  # fmt: skip


@pytest.mark.parametrize("seed", range(1, 5))
@pytest.mark.parametrize("endpoints", [1, 3, 10])
def test_new_sidecars_do_not_overload_endpoints_that_start_with_them(endpoints: int, seed: int) -> None:
    fleet = Fleet(endpoints, endpoints, load=0.9, burst=4.0, before=0.0, seed=seed).play()
    assert fleet.worst_ratio <= 1.0
    assert fleet.sent >= 4 * endpoints, "started endpoints are used"


@pytest.mark.parametrize("seed", range(1, 5))
def test_running_sidecars_do_not_overload_a_single_remaining_cold_endpoint(seed: int) -> None:
    fleet = Fleet(8, 1, load=0.5, burst=1.0, before=12_000.0, seed=seed).play()
    assert fleet.worst_ratio <= 1.0
    assert fleet.sent >= 40
