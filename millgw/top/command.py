"""The command `top`: running sidecars, asked at their operators' doors."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence
from contextlib import suppress

import click
from rich.console import Console
from rich.live import Live

from millgw.cli.exits import HELD, INCONCLUSIVE, NOT_HELD, BadInput
from millgw.cli.interrupts import run_interruptible
from millgw.cli.kinds import ADDRESS, Duration
from millgw.cli.report import Out, Reporting
from millgw.platform.config import Address
from millgw.top.door import WITHIN, Trouble, look
from millgw.top.show import as_json, tables
from millgw.top.standing import Standing

AT_ONCE = 32  # doors asked at the same time: three descriptors each


@click.command(cls=Reporting, examples=["top 127.0.0.1:7071", "top 127.0.0.1:7071 --once --json"])
@click.argument(
    "doors", nargs=-1, required=True, type=ADDRESS, metavar="IP:PORT...", envvar="BALANCER_CONTROL"
)
@click.option("--every", type=Duration(0.1, 3600), default=1.0, show_default=True, help="Between two looks.")
@click.option(
    "--within", type=Duration(0.01, 60), default=WITHIN, show_default=True, help="For a door's answer."
)
@click.option("--once", is_flag=True, help="One look. --json means that too.")
def top(out: Out, doors: Sequence[Address], every: float, within: float, once: bool) -> int:
    """Running sidecars by class and by endpoint out of rotation, by their operators' doors.

    Ends with Ctrl-C. Rates are between two looks, counts since the process began; an endpoint is counted with
    how many sidecars have it out of rotation.

    Exit with --once: 0 all are ready, 1 some say that they are not, 2 bad input, 3 some did not tell.
    """
    standings = [Standing(str(door)) for door in dict.fromkeys(doors)]
    places = list(dict.fromkeys(doors))
    if len(places) > 2000:
        raise BadInput(f"IP:PORT: {len(places)} doors; the most are 2000")
    console = Console()
    if once or (out.to is not None):
        run_interruptible(_look(places, standings, within))
        return out.end(
            verdict(standings),
            as_json(standings),
            show=lambda: console.print(tables(standings, console.width)),
        )
    with suppress(KeyboardInterrupt):  # the way to end it
        run_interruptible(_watch(places, standings, every, within, console))
    return HELD


def verdict(standings: Sequence[Standing]) -> int:
    """The exit code of one look."""
    if any(s.trouble for s in standings):
        return INCONCLUSIVE
    return HELD if all(s.state == "ready" for s in standings) else NOT_HELD


async def _look(places: Sequence[Address], standings: Sequence[Standing], within: float) -> None:
    gate = asyncio.Semaphore(AT_ONCE)

    async def one(door: Address, standing: Standing) -> None:
        async with gate:
            try:
                standing.take(time.monotonic(), await look(door, within))
            except Trouble as trouble:
                standing.miss(str(trouble))

    await asyncio.gather(*(one(d, s) for d, s in zip(places, standings, strict=True)))


async def _watch(
    places: Sequence[Address], standings: Sequence[Standing], every: float, within: float, console: Console
) -> None:
    with Live(console=console, auto_refresh=False, screen=console.is_terminal) as live:
        while True:
            begun = time.monotonic()
            await _look(places, standings, within)
            if console.is_terminal:
                live.update(tables(standings, console.width), refresh=True)
            else:
                console.print(tables(standings, console.width))
            await asyncio.sleep(max(0.0, begun + every - time.monotonic()))
