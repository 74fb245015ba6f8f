"""Kinds of parameters that several commands take. Each refuses with what it would have taken."""

from __future__ import annotations

import math
from typing import Any

import click

from millgw.platform.config import Address, read_address

UNITS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}
MOST = 1e6


class AddressKind(click.ParamType[Address]):
    """`IP:PORT`, to an `Address`."""

    name = "IP:PORT"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Address:
        if isinstance(value, Address):
            return value
        try:
            return read_address(value)
        except ValueError as error:
            self.fail(str(error), param, ctx)


class Duration(click.ParamType[float]):
    """Seconds, or a number with one of `UNITS`; to seconds, from `least` to `most`."""

    name = "TIME"

    def __init__(self, least: float = 0.0, most: float = MOST) -> None:
        self.least = least
        self.most = most

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> float:
        number, unit = value, 1.0
        if isinstance(value, str):
            word = next((u for u in ("ms", "s", "m", "h") if value.endswith(u)), "")
            number, unit = value.removesuffix(word) if word else value, UNITS.get(word, 1.0)
        try:
            seconds = float(number) * unit
        except ValueError:
            self.fail(f"{value!r} is not a time such as 10, 500ms or 2m", param, ctx)
        if not self.least <= seconds <= self.most:
            self.fail(f"{seconds:g} s is not from {self.least:g} to {self.most:g} s", param, ctx)
        return seconds


class Number(click.ParamType[float]):
    """A number over `low`, or from it where `closed`, and up to `high`."""

    name = "N"

    def __init__(self, low: float = 0.0, high: float = MOST, closed: bool = False) -> None:
        self.low = low
        self.high = high
        self.closed = closed

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> float:
        try:
            number = float(value)
        except ValueError:
            number = math.nan
        if not (self.low < number <= self.high or (self.closed and number == self.low)):
            start = "from" if self.closed else "over"
            self.fail(f"{value} is not a number {start} {self.low:g} and up to {self.high:g}", param, ctx)
        return number


class ScenarioKind(click.ParamType[str]):
    """A shipped scenario's name, or a file; shells complete the names."""

    name = "NAME-OR-FILE"

    def shell_complete(
        self, ctx: click.Context, param: click.Parameter, incomplete: str
    ) -> list[click.shell_completion.CompletionItem]:
        from millgw.rehearsal.scenario_files import shipped

        names = [click.shell_completion.CompletionItem(n) for n in shipped() if n.startswith(incomplete)]
        return names or [click.shell_completion.CompletionItem(incomplete, type="file")]


ADDRESS = AddressKind()
RATE = Number()
COUNT = click.IntRange(1, 100_000)
SEED = click.IntRange(0, 2**63 - 1)
FILE = click.Path(dir_okay=False)
DIRECTORY = click.Path(file_okay=False)
SCENARIO = ScenarioKind()
