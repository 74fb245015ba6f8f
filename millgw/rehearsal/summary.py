"""What a day came to, in figures: service, outcomes, latency, attempts; in all and by second. Pure."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from millgw.rehearsal.audit.lateness import quantile
from millgw.standins.ledger import Call, End, Ledger, Told


@dataclass(slots=True, frozen=True)
class Worth:
    """What an answer of a class earns. Times are ms from the request's due time."""

    aim: float
    deadline: float
    worth: float
    late_worth: float


@dataclass(slots=True)
class Second:
    """One second of the day, by when requests were due (attempts: by their last byte)."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    attempts: int = 0
    latencies: list[float] = field(default_factory=list)

    @property
    def p50(self) -> float:
        return quantile(self.latencies, 0.5)

    @property
    def p99(self) -> float:
        return quantile(self.latencies, 0.99)


@dataclass(slots=True)
class ClassFigures:
    """One class over the day: first tries and what became of them, ms from the time they were due."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    earned: float = 0.0
    offered: float = 0.0
    latencies: list[float] = field(default_factory=list)

    @property
    def service(self) -> float:
        return self.earned / self.offered if self.offered else 1.0


@dataclass(slots=True)
class Summary:
    """The whole day. `service` is the worth answered in time over the worth asked for.

    `refused` and `failed` count tries; `attempts` all that reached endpoints, by tier and what came of them.
    """

    service: float
    asked: int
    tries: int
    served: int
    refused: int
    failed: int
    attempts: dict[int, dict[str, int]]
    classes: dict[str, ClassFigures]
    seconds: list[Second]
    worst: float  # the service of the worst five seconds
    unusable: dict[str, int] = field(default_factory=dict)  # attempts answered 400, by cause
    handshakes: int = 0  # at all endpoints, over the day
    cold_handshakes: int = 0  # at the most at one endpoint, within one second while it was cold
    hit_by_upgrades: int = 0  # requests; see the function of that name


WORST_SPAN = 5


def summarize(ledger: Ledger, worths: Mapping[str, Worth]) -> Summary:
    """The figures of a ledger whose day began at 0."""
    by_root: dict[str, list[Call]] = {}
    for call in ledger.calls:
        if call.stage == 0:
            by_root.setdefault(call.root, []).append(call)
    last = max((calls[0].due for calls in by_root.values()), default=0.0)
    seconds = [Second() for _ in range(int(last / 1000) + 1)]
    earned, offered = [0.0] * len(seconds), [0.0] * len(seconds)
    classes = {name: ClassFigures() for name in worths}
    summary = Summary(1.0, len(by_root), 0, 0, 0, 0, {}, classes, seconds, 1.0)
    for calls in by_root.values():
        due, worth = calls[0].due, worths[calls[0].cls]
        at = max(0, int(due / 1000))
        second, figures = seconds[at], classes[calls[0].cls]
        second.asked += 1
        figures.asked += 1
        figures.offered += worth.worth
        offered[at] += worth.worth
        gained = 0.0
        for call in calls:
            summary.tries += 1
            if call.status == 200 and call.answered is not None:
                took = call.answered - due
                second.latencies.append(took)
                figures.latencies.append(took)
                summary.served += 1
                if took <= worth.aim:
                    second.in_time += 1
                    figures.in_time += 1
                    gained = worth.worth
                elif took <= worth.deadline:
                    second.late += 1
                    figures.late += 1
                    gained = worth.worth * worth.late_worth
            elif call.status in (429, 503):
                second.refused += 1
                summary.refused += 1
            elif call.end is not End.LEFT:
                second.failed += 1
                summary.failed += 1
        figures.earned += gained
        earned[at] += gained
    _attempts(ledger, summary)
    summary.handshakes = sum(h.at >= 0 for h in ledger.handshakes)
    summary.cold_handshakes = most_while_cold(ledger)
    summary.hit_by_upgrades = hit_by_upgrades(ledger)
    if sum(offered) > 0:
        summary.service = sum(earned) / sum(offered)
    spans = range(max(1, len(seconds) - WORST_SPAN + 1))
    parts = [
        sum(earned[i : i + WORST_SPAN]) / sum(offered[i : i + WORST_SPAN])
        for i in spans
        if sum(offered[i : i + WORST_SPAN]) > 0
    ]
    summary.worst = min(parts, default=1.0)
    return summary


def most_while_cold(ledger: Ledger) -> int:
    """The most handshakes that one cold endpoint was asked for within one second."""
    cold = {(x.endpoint, x.number): x.start + x.cold_ms for x in ledger.lives if x.cold_ms > 0}
    by_life: dict[tuple[str, int], list[float]] = {}
    for handshake in ledger.handshakes:
        life = (handshake.endpoint, handshake.life)
        if handshake.at < cold.get(life, -math.inf):
            by_life.setdefault(life, []).append(handshake.at)
    most = 0
    for times in by_life.values():
        times.sort()
        first = 0
        for last, at in enumerate(times):
            while times[first] <= at - 1000:
                first += 1
            most = max(most, last - first + 1)
    return most


def hit_by_upgrades(ledger: Ledger) -> int:
    """Requests that met a refused, reset or unread connection while two processes of a sidecar ran.

    A caller who left by itself is not hit.
    """
    spans: dict[str, list[tuple[float, float]]] = {}
    for upgrade in ledger.upgrades:
        until = math.inf if upgrade.ended is None else upgrade.ended
        spans.setdefault(upgrade.sidecar, []).append((upgrade.at, until))
    hit = 0
    for call in ledger.calls:
        if call.end in (End.NOT_TAKEN, End.CROSSED, End.BROKEN, End.LOST):
            at = call.due if call.sent is None else call.sent
            hit += any(since <= at <= until for since, until in spans.get(call.sidecar, ()))
    return hit


def _attempts(ledger: Ledger, summary: Summary) -> None:
    tiers = {life.endpoint: life.tier for life in ledger.lives}
    for attempt in ledger.attempts:
        of_tier = summary.attempts.setdefault(tiers.get(attempt.endpoint, 0), {t.value: 0 for t in Told})
        of_tier[attempt.told.value] += 1
        if attempt.told is Told.UNUSABLE:
            summary.unusable[attempt.why] = summary.unusable.get(attempt.why, 0) + 1
        if attempt.last is not None and 0 <= int(attempt.last / 1000) < len(summary.seconds):
            summary.seconds[int(attempt.last / 1000)].attempts += 1
