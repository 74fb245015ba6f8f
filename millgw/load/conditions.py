"""Conditions on a run for scripts, such as `login.p99>250ms`: when one holds, the run fails. Pure.

[CLASS.]FIGURE OP VALUE      CLASS: a class of the run; without it, all together
FIGURE  p50 p90 p99 p99.9 p99.99 max mean (latency from the intended time), service.p99 and its like,
        served refused failed timeout not-taken left unserved (shares of the first tries),
        rate (sent a second)
OP      > >= < <=
VALUE   a number with us, ms or s; with % for shares; without a unit for rate
"""

from __future__ import annotations

import operator
import re
from collections.abc import Callable
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from millgw.load.result import Figures, Outcome, Tally, at_quantile

OPERATORS: dict[str, Callable[[float, float], bool]] = {
    ">": operator.gt, ">=": operator.ge, "<": operator.lt, "<=": operator.le,
}  # fmt: skip
UNITS = {"us": 0.001, "ms": 1.0, "s": 1000.0}
WHOLE = re.compile(r"^(?P<left>[^<>=]+?)\s*(?P<op>[<>]=?)\s*(?P<number>[0-9.]+)\s*(?P<unit>[a-z%]*)$")
FIGURE = re.compile(r"^(?:(?P<cls>.+?)\.)??(?P<side>service\.)?(?P<figure>p\d{1,2}(?:\.\d+)?|[a-z-]+)$")
SHARES = (*(o.value for o in Outcome), "unserved")


class ConditionError(ValueError):
    """A condition that can't be read; the text names it and the place."""


@dataclass(slots=True, frozen=True)
class Condition:
    """`value` in ms for times, in shares of 1, or a second for the rate."""

    text: str
    cls: str
    service: bool
    figure: str
    op: str
    value: float

    def figure_of(self, tally: Tally, seconds: float) -> float | None:
        """The run's figure; None where the run has no such class, or nothing to reckon it of."""
        figures = tally.total() if not self.cls else tally.classes.get(self.cls)
        if figures is None:
            return None
        count = sum(figures.outcomes.values())
        if self.figure == "rate":
            return count / seconds
        if self.figure in SHARES:
            return _share(figures, self.figure) if count else None
        times = figures.service if self.service else figures.latency
        return _time(times, self.figure) if times.get_total_count() else None

    def holds(self, found: float) -> bool:
        return OPERATORS[self.op](found, self.value)


def _share(figures: Figures, name: str) -> float:
    count = sum(figures.outcomes.values())
    part = count - figures.outcomes["served"] if name == "unserved" else figures.outcomes[name]
    return part / count


def _time(times: HdrHistogram, name: str) -> float:
    if name == "max":
        return float(times.get_max_value()) / 1000
    if name == "mean":
        return float(times.get_mean_value()) / 1000
    return at_quantile(times, float(name[1:]) / 100)


def parse(text: str) -> Condition:
    """A condition from its words."""
    whole = WHOLE.match(text.strip())
    if whole is None:
        raise ConditionError(f"{text!r}: is not [CLASS.]FIGURE then > >= < or <= then a number")
    named = FIGURE.match(whole["left"].strip())
    try:
        number = float(whole["number"])
    except ValueError:
        raise ConditionError(f"{text!r}: {whole['number']!r} is no number") from None
    if named is None:
        raise ConditionError(f"{text!r}: {whole['left']!r} names no figure")
    cls, figure, unit = named["cls"] or "", named["figure"], whole["unit"]
    is_time = figure in ("max", "mean") or re.fullmatch(r"p\d{1,2}(\.\d+)?", figure) is not None
    if not is_time and figure not in SHARES and figure != "rate":
        known = ", ".join(("max", "mean", *SHARES, "rate"))
        raise ConditionError(f"{text!r}: {figure!r} is none of p50, p99 and the like, {known}")
    if named["side"] and not is_time:
        raise ConditionError(f"{text!r}: service goes with times")
    wanted = tuple(UNITS) if is_time else ("",) if figure == "rate" else ("%",)
    if unit not in wanted:
        raise ConditionError(f"{text!r}: {figure} takes a number with {' or '.join(wanted) or 'no unit'}")
    value = number * UNITS[unit] if is_time else number / 100 if unit == "%" else number
    return Condition(text, "" if cls == "all" else cls, bool(named["side"]), figure, whole["op"], value)
