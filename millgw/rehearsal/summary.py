"""The figures of a day: service, outcomes, latency and attempts, in total and by second. No I/O."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from millgw.rehearsal.audit.lateness import quantile
from millgw.standins.ledger import AttemptOutcome, Call, End, Ledger


@dataclass(slots=True, frozen=True)
class AnswerWorth:
    """The value of an answer of a class. Times are ms from the request's due time.

    It is `worth` up to `aim`, and `worth * late_worth` from there up to `deadline`.
    """

    aim: float
    deadline: float
    worth: float
    late_worth: float


@dataclass(slots=True)
class SecondFigures:
    """The figures of one second: requests by their due time, attempts by their last byte."""

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
    """The first tries of one class over the day and their results. Latencies are ms from the due time."""

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
    """The figures of the whole day. `service` is the earned part of the worth of all requests.

    `refused` and `failed` count tries; `attempts` counts all attempts that reached endpoints, by tier and
    outcome.
    """

    service: float
    asked: int
    tries: int
    served: int
    refused: int
    failed: int
    attempts: dict[int, dict[str, int]]
    classes: dict[str, ClassFigures]
    seconds: list[SecondFigures]
    worst_service: float  # the service of the worst five consecutive seconds
    unusable: dict[str, int] = field(default_factory=dict)  # attempts answered with 400, by cause
    handshakes: int = 0  # at all endpoints, over the day
    cold_handshakes: int = 0  # most at one cold endpoint within one second
    hit_by_upgrades: int = 0  # requests; see the function `count_hit_by_upgrades`


WORST_SPAN_S = 5


def summarize(ledger: Ledger, worths: Mapping[str, AnswerWorth]) -> Summary:
    """Compute the figures of a ledger whose day begins at 0."""
    by_root: dict[str, list[Call]] = {}
    for call in ledger.calls:
        if call.stage == 0:
            by_root.setdefault(call.root, []).append(call)
    last = max((calls[0].due for calls in by_root.values()), default=0.0)
    seconds = [SecondFigures() for _ in range(int(last / 1000) + 1)]
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
    _count_attempts(ledger, summary)
    summary.handshakes = sum(h.at >= 0 for h in ledger.handshakes)
    summary.cold_handshakes = max_cold_handshakes(ledger)
    summary.hit_by_upgrades = count_hit_by_upgrades(ledger)
    if sum(offered) > 0:
        summary.service = sum(earned) / sum(offered)
    spans = range(max(1, len(seconds) - WORST_SPAN_S + 1))
    parts = [
        sum(earned[i : i + WORST_SPAN_S]) / sum(offered[i : i + WORST_SPAN_S])
        for i in spans
        if sum(offered[i : i + WORST_SPAN_S]) > 0
    ]
    summary.worst_service = min(parts, default=1.0)
    return summary


def max_cold_handshakes(ledger: Ledger) -> int:
    """The most handshakes at one cold endpoint within one second."""
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


def count_hit_by_upgrades(ledger: Ledger) -> int:
    """Count requests that met a refused, reset or unread connection while two processes of a sidecar ran.

    A caller that left by itself does not count.
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


def _count_attempts(ledger: Ledger, summary: Summary) -> None:
    tiers = {life.endpoint: life.tier for life in ledger.lives}
    for attempt in ledger.attempts:
        of_tier = summary.attempts.setdefault(
            tiers.get(attempt.endpoint, 0), {t.value: 0 for t in AttemptOutcome}
        )
        of_tier[attempt.told.value] += 1
        if attempt.told is AttemptOutcome.UNUSABLE:
            summary.unusable[attempt.why] = summary.unusable.get(attempt.why, 0) + 1
        if attempt.last is not None and 0 <= int(attempt.last / 1000) < len(summary.seconds):
            summary.seconds[int(attempt.last / 1000)].attempts += 1
