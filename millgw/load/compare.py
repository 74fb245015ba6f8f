"""Two runs held against each other: what changed, and whether that is beyond what chance does to each. Pure.

Noise is reckoned from the runs themselves: each is cut into blocks of seconds, a figure is taken of each
block, and the blocks' scatter gives its standard error (batch means; Law and Kelton). A change of more than
twice the error of the difference is beyond noise. Blocks, not requests, are what is independent: a stall
makes neighbours slow together.
"""

from __future__ import annotations

import math
import statistics
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from millgw.load.result import Tally, at_quantile, cell_ms

BLOCKS = 10
FEWEST = 4  # blocks with something in them, under which nothing is said of noise
BEYOND = 2.0  # standard errors
QUANTILES = (0.5, 0.9, 0.99, 0.999)


@dataclass(slots=True, frozen=True)
class Change:
    """One figure of both runs; `noise` is what chance does to the difference (None: too little is known)."""

    cls: str
    figure: str
    before: float
    after: float
    noise: float | None

    @property
    def beyond(self) -> bool:
        return self.noise is not None and abs(self.after - self.before) > self.noise


def blocks(tally: Tally, cls: str) -> list[Counter[int]]:
    """The latencies of a class, by block of seconds."""
    seconds = sorted(tally.seconds)
    if not seconds:
        return []
    span = seconds[-1] - seconds[0] + 1
    out: list[Counter[int]] = [Counter() for _ in range(min(BLOCKS, span))]
    for at in seconds:
        number = (at - seconds[0]) * len(out) // span
        out[number].update(tally.seconds[at].cells.get(cls, Counter()))
    return out


def quantile(cells: Counter[int], q: float) -> float:
    """ms at a quantile of a coarse histogram, even within its cell."""
    total = sum(cells.values())
    rank = q * total
    for number in sorted(cells):
        if rank <= cells[number]:
            return cell_ms(number + rank / cells[number])
        rank -= cells[number]
    return 0.0


def error(tally: Tally, cls: str, q: float) -> float | None:
    """The standard error of a quantile of a class; None where too little is known."""
    figures = [quantile(cells, q) for cells in blocks(tally, cls) if sum(cells.values()) * (1 - q) >= 1]
    if len(figures) < FEWEST:
        return None
    return statistics.stdev(figures) / math.sqrt(len(figures))


def compare(before: Tally, after: Tally) -> Sequence[Change]:
    """All classes that both have: quantiles of latency, and the share that was served."""
    out = []
    for cls in sorted(before.classes.keys() & after.classes.keys()):
        a, b = before.classes[cls], after.classes[cls]
        for q in QUANTILES:
            errors = [error(run, cls, q) for run in (before, after)]
            noise = None
            if errors[0] is not None and errors[1] is not None:
                noise = BEYOND * math.hypot(errors[0], errors[1])
            figures = (at_quantile(a.latency, q), at_quantile(b.latency, q))
            out.append(Change(cls, f"p{100 * q:g} ms", *figures, noise))
        counts = [sum(x.outcomes.values()) for x in (a, b)]
        if all(counts):
            shares = [x.outcomes["served"] / n for x, n in zip((a, b), counts, strict=True)]
            scatter = sum(p * (1 - p) / n for p, n in zip(shares, counts, strict=True))
            out.append(Change(cls, "served", shares[0], shares[1], BEYOND * math.sqrt(scatter)))
    return out
