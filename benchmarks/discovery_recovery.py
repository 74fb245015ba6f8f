"""How long a fleet is without its list after an outage of discovery, in virtual time.

    python -m benchmarks.discovery_recovery [--sidecars 60,200,670] [--answers 4,9,50,200] [--seeds 3]
                                            [--overbooked 2] [--outage S] [--refuses] [--vouched]

Discovery is one service that works through calls in turn, `answers` of them a second, and turns away those
that wait longer than 2 s. It takes `overbooked` times the calls that it can answer by then: with 1 it works
for none in vain, with more also for those that have been turned away. All sidecars ask by their own modules'
waits: at once, after a start, or from the loss of their watches on, where it is down for `outage` s first;
then it turns calls away after 2 s, or refuses connections. Printed are the seconds until half, nine in ten
and all of them have been answered (inf: not within ten minutes), from its return, the calls that each made,
and the share of the time from the loss to the last answer in which a sidecar may send by its list (with
`--vouched` where operators vouch for discovery): medians over the seeds, with the least and the most.
"""

from __future__ import annotations

import heapq
import math
import sys
from collections import deque
from dataclasses import astuple, dataclass, replace
from types import SimpleNamespace
from typing import Any

import click

from benchmarks.flags import words
from benchmarks.tables import row, spans
from millgw.cli.tree import run as carry_out
from millgw.decide import Balancer
from millgw.interface import (
    Endpoint,
    EndpointList,
    ListKind,
    Repeat,
    RequestClass,
    SetTimer,
    Settings,
    Subscribe,
    TimerFired,
)

STEP = 10.0  # ms between two looks at what discovery has answered
LOOK = 100.0  # ms between two at the sidecars' lists
PATIENCE = 2000.0  # ms that a call may wait
MOST_SECONDS = 600.0  # after which a run ends, whoever is left without a list
CLASSES = (RequestClass("read", deadline=3000.0, repeat=Repeat.SAFE, aim=1000.0),)
KNOWN = EndpointList(ListKind.CACHED, (Endpoint(1), Endpoint(2)))


class BusyDiscovery:
    """One service for all: calls in turn, each of one cost.

    It takes more than it can answer in time, and works for those that have waited too long as well.
    """

    def __init__(self, a_second: float, patience: float, overbooked: float) -> None:
        self.cost = 1000.0 / a_second
        self.patience = patience
        self.most = int(overbooked * patience / self.cost)
        self.queue: deque[tuple[float, int]] = deque()
        self.free_at = 0.0

    def ask(self, now: float, sidecar: int) -> bool:
        """Tells whether the call is taken."""
        if len(self.queue) >= self.most:
            return False
        self.queue.append((now, sidecar))
        return True

    def answered(self, now: float) -> list[int]:
        """The sidecars answered in time since the last look."""
        done = []
        while self.queue and max(self.free_at, self.queue[0][0]) + self.cost <= now:
            asked, sidecar = self.queue.popleft()
            self.free_at = max(self.free_at, asked) + self.cost
            if self.free_at - asked <= self.patience:
                done.append(sidecar)
        return done


class AskingFleet:
    """Sidecars that all ask one discovery from time 0 on, and again by their modules' own waits.

    It is down for the first `outage` ms, and meanwhile turns calls away like a full one, or `refuses` them.
    """

    def __init__(
        self, balancers: list[Balancer], discovery: BusyDiscovery, outage: float = 0.0, refuses: bool = False
    ) -> None:
        self.balancers = balancers
        self.discovery = discovery
        self.outage = outage
        self.refuses = refuses
        self.timers: list[tuple[float, int, int]] = []  # heap of due time, sidecar, timer
        self.heard = [math.inf] * len(balancers)  # ms at which each had its first answer
        self.asked = [-1.0] * len(balancers)
        self.calls = 0
        self.looks = self.fresh = 0  # at the sidecars' lists, and how many of them may be sent by
        for sidecar in range(len(balancers)):
            if outage:
                self._feed(sidecar, 0.0, replace(KNOWN, kind=ListKind.FULL))
                self._feed(sidecar, 0.0, EndpointList(ListKind.FAILED))
            else:
                self._feed(sidecar, 0.0, KNOWN)

    def run(self, seconds: float) -> None:
        """Let time pass until all have been answered, or for so long."""
        now = 0.0
        while now < seconds * 1000 and math.inf in self.heard:
            now += STEP
            if now % LOOK == 0:
                self.looks += len(self.balancers)
                self.fresh += sum(now <= balancer.discovery.fresh_until() for balancer in self.balancers)
            for sidecar in self.discovery.answered(now):
                if self.asked[sidecar] >= 0:
                    self.asked[sidecar] = -1.0
                    self.heard[sidecar] = min(self.heard[sidecar], now)
                    self._feed(sidecar, now, EndpointList(ListKind.DELTA))
            self._turn_away(now)
            while self.timers and self.timers[0][0] <= now:
                _, sidecar, timer = heapq.heappop(self.timers)
                self._feed(sidecar, now, TimerFired(timer))

    def _turn_away(self, now: float) -> None:
        """Calls that have waited for longer than discovery lets them end."""
        for sidecar, asked in enumerate(self.asked):
            if 0 <= asked <= now - self.discovery.patience:
                self.asked[sidecar] = -1.0
                self._feed(sidecar, now, EndpointList(ListKind.FAILED))

    def _feed(self, sidecar: int, now: float, event: EndpointList | TimerFired) -> None:
        for action in self.balancers[sidecar].handle(now, event):
            if isinstance(action, SetTimer):
                heapq.heappush(self.timers, (action.at, sidecar, action.timer))
            elif isinstance(action, Subscribe):
                self._ask(sidecar, now)

    def _ask(self, sidecar: int, now: float) -> None:
        self.calls += 1
        if now < self.outage:
            self.asked[sidecar] = -1.0 if self.refuses else now
            if self.refuses:
                self._feed(sidecar, now, EndpointList(ListKind.UNREACHABLE))
        elif self.discovery.ask(now, sidecar):
            self.asked[sidecar] = now
        else:
            self.asked[sidecar] = -1.0
            self._feed(sidecar, now, EndpointList(ListKind.FAILED))


@dataclass(slots=True, frozen=True)
class Recovery:
    """One run, in the order of the columns."""

    half_s: float
    nine_in_ten_s: float
    all_s: float
    calls_each: float
    fresh: float


def recovery(
    sidecars: int, a_second: float, overbooked: float, seed: int, outage: float, refuses: bool, vouched: bool
) -> Recovery:
    """One outage's end."""
    common = Settings(
        CLASSES, 0.2, 10_000.0, 2.5, 1000.0, siblings=sidecars, calls_fail_only_in_outages=vouched
    )
    balancers = [Balancer(replace(common, index=i), seed * sidecars + i) for i in range(sidecars)]
    fleet = AskingFleet(balancers, BusyDiscovery(a_second, PATIENCE, overbooked), outage * 1000, refuses)
    fleet.run(MOST_SECONDS)
    heard = sorted(time / 1000 - outage for time in fleet.heard)
    calls, fresh = fleet.calls / sidecars, fleet.fresh / max(1, fleet.looks)
    return Recovery(heard[sidecars // 2], heard[sidecars * 9 // 10], heard[-1], calls, fresh)


@click.command(help=words(__doc__))
@click.option("--sidecars", default="60,200,670", show_default=True)
@click.option("--answers", default="4,9,50,200", show_default=True)
@click.option("--seeds", type=int, default=3, show_default=True)
@click.option("--overbooked", type=float, default=2.0, show_default=True)
@click.option("--outage", type=float, default=0.0, show_default=True)
@click.option("--refuses", is_flag=True)
@click.option("--vouched", is_flag=True)
def main(**given: Any) -> int:
    args = SimpleNamespace(**given)
    print("| sidecars | answers a second | half s | nine in ten s | all s | calls each | fresh |")
    print("| --- " * 7 + "|")
    for sidecars in map(int, args.sidecars.split(",")):
        for a_second in map(float, args.answers.split(",")):
            runs = [
                astuple(
                    recovery(
                        sidecars, a_second, args.overbooked, seed, args.outage, args.refuses, args.vouched
                    )
                )
                for seed in range(1, args.seeds + 1)
            ]
            print(row(sidecars, f"{a_second:g}", *spans(runs)), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(carry_out(sys.argv[1:], main, "benchmarks.discovery_recovery"))
