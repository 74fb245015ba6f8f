"""What a run came to: counts and histograms by class, tenant and second, that add up over senders. Pure.

Latency counts from the time at which a request was to be sent, service time from when it was. Their
difference is what a closed loop would never have seen. Times are ms outside, µs in the histograms.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from hdrh.histogram import HdrHistogram

HIGHEST = 3_600_000_000  # µs
DIGITS = 3  # 190 kB a histogram
COARSE = 2  # 27 kB: of tenants, of which there may be many
PER_DECADE = 24  # cells of the seconds' coarse histograms: a tenth apart
TENANTS = 200  # that have a histogram of their own; others share one
OTHERS = "(others)"


class Outcome(Enum):
    """What became of one try."""

    SERVED = "served"
    REFUSED = "refused"  # 429 or 503
    FAILED = "failed"  # another status, or a connection that ended
    TIMEOUT = "timeout"  # no answer within the client's patience: that long counts as its latency
    NOT_TAKEN = "not-taken"  # no connection came up
    LEFT = "left"  # the client went away, as planned


def histogram(digits: int = DIGITS) -> HdrHistogram:
    return HdrHistogram(1, HIGHEST, digits)


def us(ms: float) -> int:
    return min(HIGHEST, max(1, round(ms * 1000)))


def cell(ms: float) -> int:
    return int(PER_DECADE * math.log10(max(ms, 0.001) * 1000))


def cell_ms(number: float) -> float:
    """The latency at a cell's lower edge."""
    return float(10 ** (number / PER_DECADE) / 1000)


@dataclass
class Figures:
    """Tries of one class or tenant: their outcomes; latency and service time of those that came to an end."""

    outcomes: Counter[str] = field(default_factory=Counter)
    latency: HdrHistogram = field(default_factory=histogram)
    service: HdrHistogram = field(default_factory=histogram)
    served: HdrHistogram = field(default_factory=histogram)  # latency of those that were served

    def note(self, outcome: Outcome, latency: float, service: float | None) -> None:
        self.outcomes[outcome.value] += 1
        if outcome is Outcome.LEFT:
            return
        self.latency.record_value(us(latency))
        if service is not None:
            self.service.record_value(us(service))
        if outcome is Outcome.SERVED:
            self.served.record_value(us(latency))

    def add(self, other: Figures) -> None:
        self.outcomes += other.outcomes
        self.latency.add(other.latency)
        self.service.add(other.service)
        self.served.add(other.served)

    def wire(self) -> dict[str, Any]:
        return {
            "outcomes": dict(self.outcomes),
            **{n: getattr(self, n).encode().decode() for n in ("latency", "service", "served")},
        }

    @staticmethod
    def of(wire: dict[str, Any]) -> Figures:
        made = Figures(Counter(wire["outcomes"]))
        for name in ("latency", "service", "served"):
            setattr(made, name, HdrHistogram.decode(wire[name]))
        return made


@dataclass
class Second:
    """One second of the run, by when requests were to be sent; `cells` are latencies by class."""

    planned: int = 0
    sent: int = 0
    served: int = 0
    answered: int = 0
    retries: int = 0
    late: int = 0
    worst: float = 0.0  # ms that a send was late at the most
    cells: dict[str, Counter[int]] = field(default_factory=dict)

    def add(self, other: Second) -> None:
        for name in ("planned", "sent", "served", "answered", "retries", "late"):
            setattr(self, name, getattr(self, name) + getattr(other, name))
        self.worst = max(self.worst, other.worst)
        for cls, cells in other.cells.items():
            self.cells.setdefault(cls, Counter()).update(cells)


def of(table: dict[str, Figures], key: str, digits: int = DIGITS) -> Figures:
    """The figures of a key, made only where there are none yet: they are large."""
    if key not in table:
        table[key] = Figures(Counter(), *(histogram(digits) for _ in range(3)))
    return table[key]


@dataclass
class Tally:
    """All that one sender saw, or several together."""

    classes: dict[str, Figures] = field(default_factory=dict)
    tenants: dict[str, Figures] = field(default_factory=dict)
    retries: dict[str, Figures] = field(default_factory=dict)  # by class: tries after the first
    journeys: dict[str, Figures] = field(default_factory=dict)  # by class: from the first try on
    seconds: dict[int, Second] = field(default_factory=dict)
    lateness: HdrHistogram = field(default_factory=histogram)
    handshakes: int = 0
    crossed: int = 0  # sent once more, as a close crossed them
    waited: int = 0  # requests that found all connections busy and no more allowed

    def second(self, at: float) -> Second:
        number = int(at / 1000)
        if number not in self.seconds:
            self.seconds[number] = Second()
        return self.seconds[number]

    def planned(self, at: float) -> None:
        self.second(at).planned += 1

    def sent(self, at: float, late: float, bound: float) -> None:
        """A first try was sent, so late (ms) after its time `at`."""
        second = self.second(at)
        second.sent += 1
        self.lateness.record_value(us(late))
        if late > bound:
            second.late += 1
            second.worst = max(second.worst, late)

    def first(
        self, cls: str, tenant: str, at: float, outcome: Outcome, latency: float, service: float | None
    ) -> None:
        """A first try has come to its end."""
        of(self.classes, cls).note(outcome, latency, service)
        if tenant not in self.tenants and len(self.tenants) >= TENANTS:
            tenant = OTHERS
        of(self.tenants, tenant, COARSE).note(outcome, latency, service)
        second = self.second(at)
        second.served += outcome is Outcome.SERVED
        second.answered += outcome in (Outcome.SERVED, Outcome.REFUSED, Outcome.FAILED)
        if outcome is not Outcome.LEFT:
            if cls not in second.cells:
                second.cells[cls] = Counter()
            second.cells[cls][cell(latency)] += 1

    def retry(self, cls: str, at: float, outcome: Outcome, latency: float, service: float | None) -> None:
        """A client's further try has come to its end."""
        of(self.retries, cls).note(outcome, latency, service)
        self.second(at).retries += 1

    def journey(self, cls: str, outcome: Outcome, latency: float) -> None:
        """A client has what it wanted, or has given up."""
        of(self.journeys, cls).note(outcome, latency, None)

    def add(self, other: Tally) -> None:
        for name in ("classes", "tenants", "retries", "journeys"):
            mine = getattr(self, name)
            for key, figures in getattr(other, name).items():
                of(mine, key, COARSE if name == "tenants" else DIGITS).add(figures)
        for at, second in other.seconds.items():
            self.seconds.setdefault(at, Second()).add(second)
        self.lateness.add(other.lateness)
        self.handshakes += other.handshakes
        self.crossed += other.crossed
        self.waited += other.waited

    def late(self) -> dict[int, tuple[int, float]]:
        return {at: (s.late, s.worst) for at, s in self.seconds.items()}

    def total(self) -> Figures:
        """All classes together."""
        whole = Figures()
        for figures in self.classes.values():
            whole.add(figures)
        return whole

    def wire(self) -> dict[str, Any]:
        """As plain values: what senders tell, and what a report's JSON holds."""
        return {
            **{
                name: {key: f.wire() for key, f in getattr(self, name).items()}
                for name in ("classes", "tenants", "retries", "journeys")
            },
            "seconds": {
                str(at): {
                    "planned": s.planned, "sent": s.sent, "served": s.served, "answered": s.answered,
                    "retries": s.retries, "late": s.late, "worst": s.worst,
                    "cells": {cls: {str(n): c for n, c in cells.items()} for cls, cells in s.cells.items()},
                }
                for at, s in sorted(self.seconds.items())
            },
            "lateness": self.lateness.encode().decode(),
            "handshakes": self.handshakes,
            "crossed": self.crossed,
            "waited": self.waited,
        }  # fmt: skip

    @staticmethod
    def of(wire: dict[str, Any]) -> Tally:
        made = Tally(handshakes=wire["handshakes"], crossed=wire["crossed"], waited=wire["waited"])
        for name in ("classes", "tenants", "retries", "journeys"):
            getattr(made, name).update({key: Figures.of(f) for key, f in wire[name].items()})
        for at, s in wire["seconds"].items():
            cells = {cls: Counter({int(n): c for n, c in some.items()}) for cls, some in s["cells"].items()}
            made.seconds[int(at)] = Second(**(s | {"cells": cells}))
        made.lateness.add(HdrHistogram.decode(wire["lateness"]))
        return made


def at_quantile(figures: HdrHistogram, quantile: float) -> float:
    """ms at a quantile of 0 to 1; 0 where nothing was recorded."""
    if not figures.get_total_count():
        return 0.0
    return float(figures.get_value_at_percentile(quantile * 100)) / 1000
