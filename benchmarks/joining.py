"""Sidecars that join during a cold start, with a peer to learn from and without, in virtual time.

    python -m benchmarks.joining [--sizes 20x60,70x60,20x400,70x400] [--seeds 3] [--json]

One endpoint was out of reach and is back, cold, half a second ago. A tenth of the sidecars run, and those
that use it have seen it; the others start within the next second with the list that they had before, on which
nothing of it stands (`unheard`), or discovery has told them of its start (`heard`). Each takes calls from its
first ms on. Modules are the real ones, endpoints answer after a random time, and with peers each new module
is told what one running sidecar's snapshot comes to. `peak` is the most calls that the cold endpoint was sent
within a window, as a share of those at which it falls over (1 and more: it fell); `refused` is the share of
calls that new sidecars refused in their first 10 s. Rows are medians, peak the highest, over the seeds.
"""

from __future__ import annotations

import heapq
import itertools
import json
import random
import statistics
import sys
from collections import deque
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import click

from benchmarks.flags import words
from millgw.cli.tree import run
from millgw.decide import Balancer
from millgw.interface import (
    Action,
    AttemptEnded,
    Endpoint,
    EndpointList,
    Event,
    Fail,
    ListKind,
    Outcome,
    Refuse,
    Repeat,
    RequestArrived,
    RequestClass,
    Send,
    SetTimer,
    Settings,
    TimerFired,
)
from millgw.peers import endpoint_evidence
from millgw.peers.gossip import EndpointState, Gossip, classify

START = 1_000_000.0  # ms; a clock that is far from 0, as Unix time is
DOWN, BACK = -4000.0, -500.0  # ms before the first joins at which the endpoint goes and comes back
RUNNING = 0.1  # of the sidecars, before the others join
WARM_UP = 12_000.0  # ms for which they have run by then
FIRST = 10_000.0  # ms of new sidecars that are looked at
ANSWER = 40.0  # ms of an answer on average
EACH = 125.0  # calls a second that a warm endpoint can do
USE = 0.9  # of that is asked for
COLD_SHARE, COLD_MS, MULTIPLE, WINDOW = 0.2, 14_000.0, 2.5, 1000.0
READ = RequestClass("read", 4000.0, Repeat.SAFE, 1500.0)
COLD_ONE = 0


class Run:
    """One run; `peers` and `heard` as the page says."""

    def __init__(self, servers: int, sidecars: int, peers: bool, heard: bool, seed: int) -> None:
        self.rng = random.Random(f"{servers} {sidecars} {seed}")
        self.servers, self.sidecars, self.peers, self.heard = servers, sidecars, peers, heard
        self.queue: list[tuple[float, int, object, Event | None]] = []
        self.numbers = itertools.count()
        self.modules: dict[int, Balancer] = {}
        self.attempts: dict[int, int] = {}
        self.window: deque[float] = deque()
        self.peak = 0.0
        self.asked = self.refused = 0
        self.joins = {i: self.rng.uniform(0.0, 1000.0) for i in range(int(RUNNING * sidecars), sidecars)}
        self.owners: dict[int, int] = {}  # of new sidecars' calls within their first seconds

    def play(self) -> tuple[float, float]:
        rate = USE * EACH * self.servers / self.sidecars / 1000
        for i in range(self.sidecars):
            joins = self.joins.get(i)
            self._at(START + (-WARM_UP if joins is None else joins), i, None)
            t = -WARM_UP if joins is None else joins
            while (t := t + self.rng.expovariate(rate)) < 1000.0 + FIRST:
                self._at(START + t, i, RequestArrived(next(self.numbers), 0, START + t + READ.deadline))
        while self.queue:
            now, _, who, event = heapq.heappop(self.queue)
            assert isinstance(who, int)
            if event is None:
                self._start(now, who)
            else:
                self._handle(now, who, event)
        return self.peak, self.refused / max(1, self.asked)

    def _at(self, at: float, who: int, event: Event | None) -> None:
        heapq.heappush(self.queue, (at, next(self.numbers), who, event))

    def _start(self, now: float, who: int) -> None:
        settings = Settings(
            (READ,), COLD_SHARE, COLD_MS, MULTIPLE, WINDOW, index=who, siblings=self.sidecars,
            max_attempts=3, concurrent_attempts=True, ask_discovery=False,
        )  # fmt: skip
        made = self.modules[who] = Balancer(settings, who)
        told = START + BACK if self.heard and who in self.joins else 1.0
        listed = tuple(Endpoint(i, started_at=told if i == COLD_ONE else 1.0) for i in range(self.servers))
        made.handle(now, EndpointList(ListKind.FULL, listed))
        if self.peers and who in self.joins:
            known = self._snapshot(now, who)
            priors = known.priors(now, "", endpoint_evidence.start_times_by_key(listed), COLD_MS)
            made.handle(now, endpoint_evidence.peer_reports(now, priors, COLD_MS, self.sidecars))

    def _snapshot(self, now: float, who: int) -> Gossip:
        """What a new sidecar knows of a running one's snapshot, which has heard of what the others saw."""
        running = range(int(RUNNING * self.sidecars))
        teller, fresh = Gossip("teller", 1, who), Gossip(f"n{who}", 1, who)
        teller.add_pool("")
        for other in running:
            balancer = self.modules[other]
            since = endpoint_evidence.start_times_by_key(s.info for s in balancer.ring)
            told = endpoint_evidence.observations(now, balancer.evidence(now), since, ())
            notable = [o for o in told if classify(o, COLD_MS) is not EndpointState.HEALTHY]
            teller.receive_rumours(now, [("", replace(o, origin=f"n{other}")) for o in notable])
        fresh.add_pool("")
        fresh.merge_snapshot(now, teller.snapshot(now))
        return fresh

    def _handle(self, now: float, who: int, event: Event) -> None:
        joined = self.joins.get(who)
        if isinstance(event, RequestArrived) and joined is not None and now < START + joined + FIRST:
            self.asked += 1
            self.owners[event.request] = who
        for action in self.modules[who].handle(now, event):
            self._carry_out(now, who, action)

    def _carry_out(self, now: float, who: int, action: Action) -> None:
        if isinstance(action, Send):
            self._send(now, who, action)
        elif isinstance(action, SetTimer):
            self._at(max(now, action.at), who, TimerFired(action.timer))
        elif isinstance(action, Refuse | Fail) and action.request in self.owners:
            self.refused += 1

    def _send(self, now: float, who: int, action: Send) -> None:
        number = self._number(action.request)
        away = action.endpoint == COLD_ONE and START + DOWN <= now < START + BACK
        if away:
            ended = AttemptEnded(action.request, action.endpoint, number, Outcome.CONNECT_FAILED, 1.0, False)
            self._at(now + 1.0, who, ended)
            return
        if action.endpoint == COLD_ONE and now >= START + BACK:
            self._count(now)
        took = min(2000.0, self.rng.expovariate(1 / ANSWER))
        ended = AttemptEnded(action.request, action.endpoint, number, Outcome.OK, took, False)
        self._at(now + took, who, ended)

    def _number(self, request: int) -> int:
        """The number of this attempt of a request."""
        self.attempts[request] = number = self.attempts.get(request, -1) + 1
        return number

    def _count(self, now: float) -> None:
        self.window.append(now)
        while self.window[0] <= now - WINDOW:
            self.window.popleft()
        up = now - START - BACK
        share = min(1.0, COLD_SHARE + (1 - COLD_SHARE) * up / COLD_MS)
        if share < 1.0:
            self.peak = max(self.peak, len(self.window) / (MULTIPLE * share * EACH * WINDOW / 1000))


@click.command(help=words(__doc__))
@click.option("--sizes", default="20x60,70x60,20x400,70x400", help="servers x sidecars", show_default=True)
@click.option("--seeds", type=int, default=3, show_default=True)
@click.option("--json", is_flag=True)
def main(**given: Any) -> int:
    args = SimpleNamespace(**given)
    rows = []
    for size in args.sizes.split(","):
        servers, sidecars = map(int, size.split("x"))
        for heard in (False, True):
            for peers in (False, True):
                runs = [Run(servers, sidecars, peers, heard, seed).play() for seed in range(args.seeds)]
                row = {
                    "servers": servers, "sidecars": sidecars, "discovery": "heard" if heard else "unheard",
                    "peers": peers, "peak": max(p for p, _ in runs),
                    "refused": statistics.median(r for _, r in runs),
                }  # fmt: skip
                rows.append(row)
                if not args.json:
                    cells = (f"{k} {v:.3f}" if isinstance(v, float) else f"{k} {v}" for k, v in row.items())
                    print("  ".join(cells), flush=True)
    if args.json:
        print(json.dumps(rows, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(run(sys.argv[1:], main, "benchmarks.joining"))
