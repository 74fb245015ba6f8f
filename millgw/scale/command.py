"""The command `scale`: a fleet of the operators' size on one machine, and hollow beside real sidecars."""

from __future__ import annotations

import asyncio
import sys
from typing import Any

import click

from millgw.cli.exits import INTERRUPTED, BadInput
from millgw.cli.interrupts import cancel_on_signals
from millgw.cli.kinds import COUNT, SEED, Duration
from millgw.cli.report import FileReporting, Out
from millgw.scale import compare as comparing
from millgw.scale import report as reporting
from millgw.scale.layout import CONTROL_MACHINES, LayoutError, Sizes
from millgw.scale.run import Options, play
from millgw.scale.schedule import Fault, ScheduleError

SECONDS_LEAST, SECONDS_MOST = 2.0, 3600.0
CONTROL_MOST = 15
COMPARED_MOST = 24  # sidecars: each of them is a process


class Telling(click.Group):
    """Names bad input, and a fleet that did not come up, in one line."""

    def invoke(self, ctx: click.Context) -> Any:
        try:
            return super().invoke(ctx)
        except (LayoutError, ScheduleError, OSError) as error:
            raise BadInput(str(error)) from None
        except asyncio.CancelledError:
            print("millgw: interrupted; all that was started has ended", file=sys.stderr)
            return INTERRUPTED


@click.group(cls=Telling)
def scale() -> None:
    """A fleet of the operators' size on one machine, held against their table.

    Sidecars run their part in control only, many to a process; some are whole daemons under load.

    Exit: 0 all rows that were measured hold, 1 one does not, 2 bad input, 3 inconclusive, 130 interrupted.
    """


SIZES = (
    click.option("--services", type=COUNT, default=19, show_default=True, help="Each calls the next."),
    click.option("--zones", type=COUNT, default=7, show_default=True, help="All services are in all."),
    click.option("--regions", type=COUNT, default=2, show_default=True, help="Zones are shared out to them."),
    click.option(
        "--control",
        type=click.IntRange(1, CONTROL_MOST),
        default=CONTROL_MACHINES,
        show_default=True,
        help="Control instances, all voters.",
    ),
    click.option(
        "--seconds",
        type=Duration(SECONDS_LEAST, SECONDS_MOST),
        default=30.0,
        show_default=True,
        help="Length, from when all are ready.",
    ),
    click.option("--seed", type=SEED, default=1, show_default=True, help="Of layout, changes and fault."),
)


def _sized(command: Any) -> Any:
    for option in reversed(SIZES):
        command = option(command)
    return command


@scale.command("run", cls=FileReporting, examples=["scale run --sidecars 60 --real 2 --seconds 10"])
@click.option("--sidecars", type=COUNT, default=60, show_default=True, help="One for each endpoint.")
@click.option(
    "--real", type=click.IntRange(0), default=0, show_default=True, help="Whole daemons among them."
)
@click.option(
    "--fault",
    type=click.Choice([fault.value for fault in Fault]),
    default=Fault.NONE.value,
    show_default=True,
    help="What strikes.",
)
@click.option("--settle", type=Duration(), help="Wait between the start and what is measured.")
@click.option("--no-calls", is_flag=True, help="Send real ones nothing, to measure their control alone.")
@_sized
def run_(
    out: Out, fault: str, seconds: float, seed: int, settle: float | None, no_calls: bool, **sizes: int
) -> int:
    """Run a fleet, change its lists and configuration, have a fault strike."""
    options = Options(Sizes(**sizes), seconds, Fault(fault), seed, load=not no_calls, settle=settle)
    result = asyncio.run(cancel_on_signals(play(options, _progress)))
    made = reporting.report(result)
    return out.end(made.exit_code, reporting.to_json(made), reporting.lines(made))


@scale.command("compare", cls=FileReporting, examples=["scale compare --sidecars 8 --services 4"])
@click.option(
    "--sidecars", type=click.IntRange(2, COMPARED_MOST), default=8, show_default=True, help="Of each kind."
)
@_sized
def compare(out: Out, seconds: float, seed: int, **sizes: int) -> int:
    """Show how true hollow sidecars are: the same fleet hollow and real, side by side."""
    made = asyncio.run(cancel_on_signals(comparing.compare(Sizes(**sizes), seconds, seed, _progress)))
    return out.end(made.exit_code, comparing.to_json(made), comparing.lines(made))


def _progress(what: str) -> None:
    print(what, file=sys.stderr, flush=True)
