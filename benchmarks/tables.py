"""Rows of the measurements' tables."""

from __future__ import annotations

import statistics
from collections.abc import Iterable, Sequence


def spans(runs: Iterable[Sequence[float]], digits: int = 4) -> list[str]:
    """For each figure of some runs the median, the least and the most."""
    return [
        f"{statistics.median(figures):.{digits}g} ({min(figures):.{digits}g} to {max(figures):.{digits}g})"
        for figures in zip(*runs, strict=True)
    ]


def row(*cells: object) -> str:
    """One row."""
    return f"| {' | '.join(map(str, cells))} |"


def head(*columns: str) -> str:
    """The first two rows."""
    return f"{row(*columns)}\n{row(*('---' for _ in columns))}"
