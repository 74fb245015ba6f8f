"""Hollow sidecars beside real ones: the same fleet played twice, and their figures side by side."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from typing import Any

import msgspec
from msgspec import Struct

from millgw.scale.figures import Spent
from millgw.scale.layout import Sizes
from millgw.scale.report import SpreadFigures, report, together
from millgw.scale.run import Options, Progress, Result, play
from millgw.scale.targets import exit_code

APART = 0.25  # of the real figure, within which a hollow one is held to be true
APART_LEAST = {"B/s": 100.0, "cores": 0.002, "MB": 8.0, "s": 0.5}  # or within this


class Figure(Struct, frozen=True):
    """One figure of both runs."""

    what: str
    unit: str
    hollow: float
    real: float

    @property
    def alike(self) -> bool:
        """Whether the hollow one may stand for the real one."""
        apart = abs(self.hollow - self.real)
        return apart <= max(APART * self.real, APART_LEAST[self.unit])


class Comparison(Struct, frozen=True):
    """Both runs."""

    sidecars: int
    seconds: float
    seed: int
    figures: list[Figure]
    hollow_exit: int
    real_exit: int

    @property
    def exit_code(self) -> int:
        """0 all figures are alike, 1 one is not."""
        return 0 if all(figure.alike for figure in self.figures) else 1


async def compare(sizes: Sizes, seconds: float, seed: int, progress: Progress) -> Comparison:
    """Play a fleet of hollow sidecars, then one of real ones without calls."""
    options = Options(replace(sizes, real=0), seconds, seed=seed, load=False)
    hollow = await play(options, progress)
    real = await play(replace(options, sizes=replace(sizes, real=sizes.sidecars)), progress)
    return Comparison(
        sizes.sidecars,
        seconds,
        seed,
        beside(hollow, real),
        exit_code(report(hollow).rows),
        exit_code(report(real).rows),
    )


def beside(hollow: Result, real: Result) -> list[Figure]:
    """All figures of both that can be held against each other."""
    assert hollow.hollow is not None and real.real is not None
    return [
        *_spent(hollow.hollow, real.real),
        *_spreads(together(hollow.spreads), together(real.spreads)),
    ]


def _spent(hollow: Spent, real: Spent) -> list[Figure]:
    figures = [
        Figure(f"{part}, median", "B/s", rate.median, real.bytes_by_part[part].median)
        for part, rate in hollow.bytes_by_part.items()
    ]
    return [
        *figures,
        Figure("all control, median", "B/s", hollow.bytes_total.median, real.bytes_total.median),
        Figure("all control, worst", "B/s", hollow.bytes_total.worst, real.bytes_total.worst),
        Figure("processor time, median", "cores", hollow.cpu_share.median, real.cpu_share.median),
        Figure("memory, median", "MB", hollow.memory.median / 2**20, real.memory.median / 2**20),
    ]


def _spreads(hollow: Sequence[SpreadFigures], real: Sequence[SpreadFigures]) -> list[Figure]:
    others = {spread.what: spread for spread in real}
    return [
        Figure(f"{spread.what}, to the last", "s", spread.last, others[spread.what].last)
        for spread in hollow
        if spread.what in others
    ]


def lines(comparison: Comparison) -> list[str]:
    """The comparison for people."""
    out = [
        f"{comparison.sidecars} sidecars, hollow and real, {comparison.seconds:g} s each",
        f"{'':8} {'hollow':>12} {'real':>12}",
    ]
    for figure in comparison.figures:
        word = "alike" if figure.alike else "differs"
        out.append(f"{word:8} {figure.hollow:12.4g} {figure.real:12.4g}  {figure.what} ({figure.unit})")
    return out


def to_json(comparison: Comparison) -> dict[str, Any]:
    """The comparison as one JSON object's fields."""
    fields: dict[str, Any] = msgspec.to_builtins(comparison)
    for told, figure in zip(fields["figures"], comparison.figures, strict=True):
        told["alike"] = figure.alike
    return fields
