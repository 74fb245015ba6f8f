"""The command `rehearse`: lists and plays scenarios, searches for harmful ones, and reports."""

from __future__ import annotations

import asyncio
import sys
import traceback
from collections.abc import Callable, Sequence
from dataclasses import asdict
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import click
import uvloop
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

from millgw.cli.exits import FAULT, HELD, INCONCLUSIVE, INTERRUPTED, NOT_HELD, BadInput
from millgw.cli.interrupts import cancel_on_signals
from millgw.cli.kept import Kept
from millgw.cli.kinds import COUNT, DIRECTORY, RATE, SCENARIO, SEED, Duration
from millgw.cli.report import FileReporting, Out, Reporting
from millgw.rehearsal import demo
from millgw.rehearsal.audit.lateness import quantile
from millgw.rehearsal.fault_schedules import BASE_DAY
from millgw.rehearsal.fault_search import FaultSearch, SearchOutcome
from millgw.rehearsal.page import render_page
from millgw.rehearsal.report import PlayedDay, exit_code, judge, print_report, to_json
from millgw.rehearsal.scenario import Scenario, ScenarioError
from millgw.rehearsal.scenario_files import load, parse, shipped
from millgw.rehearsal.scenario_overrides import OPTIONAL, SCALES, with_overrides
from millgw.rehearsal.sidecars import DEFAULT_RUN, NotReady
from millgw.rehearsal.soak import VERDICTS, Soak, SoakOutcome
from millgw.rehearsal.soak_schedules import OUTAGE_LENGTH_S
from millgw.rehearsal.testbed import Testbed


class RehearseGroup(click.Group):
    """Reports bad input in one line, and gives a failure of the rig another exit code than a broken rule."""

    def invoke(self, ctx: click.Context) -> Any:
        try:
            return super().invoke(ctx)
        except (click.ClickException, click.exceptions.Exit, click.Abort):
            raise
        except (ScenarioError, NotReady, OSError) as error:
            raise BadInput(str(error)) from None
        except ExceptionGroup as group:
            first = _first_leaf(group)
            if not isinstance(first, ScenarioError | NotReady | OSError):
                traceback.print_exception(first)
                return FAULT
            raise BadInput(str(first)) from None
        except asyncio.CancelledError:
            print("millgw: interrupted; all that was started has ended", file=sys.stderr)
            return INTERRUPTED
        except Exception:  # otherwise a failure of the rig would exit with the code of a broken rule
            traceback.print_exc()
            return FAULT


@click.group(cls=RehearseGroup)
def rehearse() -> None:
    """Play failures on stand-ins and audit the four rules.

    Plays a day of stand-in servers, discovery and clients round real sidecars, injects faults, and reports
    for each of the four rules whether it held.

    Exit: 0 held, 1 a rule broke, 2 bad input, 3 inconclusive, 4 the rig itself failed.
    """


DAY_OPTIONS = (
    click.option("--seed", type=SEED, help="Seed of arrivals, fleet and targets (the scenario's)."),
    click.option("--seconds", type=Duration(1e-3), help="The day's length; faults keep their places in it."),
    click.option("--sidecars", type=COUNT, help="All sidecars, with those of endpoints."),
    click.option("--endpoints", type=COUNT, help="Of the first tier; the other tiers scale along."),
    click.option("--rate", type=RATE, help="First tries a second."),
    click.option("--scale", type=click.Choice(sorted(SCALES)), help="The deployment's size."),
    click.option("--without", multiple=True, type=click.Choice(OPTIONAL), help="Leave a table out."),
    click.option("--html", metavar="FILE", help="One self-contained page."),
    click.option("--logs", metavar="DIR", type=DIRECTORY, help="Keep the sidecars' logs."),
)
RUN_OPTION = click.option("--run", metavar="CMD", help="How a sidecar is started (this project's daemon).")
OUT_OPTION = click.option(
    "--out", "into", default="found", show_default=True, metavar="DIR", type=DIRECTORY, help="For files."
)


def _with_day_options(command: Callable[..., int]) -> Callable[..., int]:
    for option in reversed((*DAY_OPTIONS, RUN_OPTION)):
        command = option(command)
    return command


@rehearse.command("list", cls=Reporting, examples=["rehearse list"])
def list_(out: Out) -> int:
    """The shipped scenarios."""
    about = {name: parse(text, f"{name}.toml").about for name, text in shipped().items()}
    return out.end(HELD, {"scenarios": about}, [f"{name:22} {what}" for name, what in about.items()])


@rehearse.command("run", cls=FileReporting, examples=["rehearse run calm --seconds 5"])
@click.argument("scenarios", nargs=-1, required=True, type=SCENARIO, metavar="NAME-OR-FILE...")
@_with_day_options
def run_(out: Out, scenarios: Sequence[str], **given: Any) -> int:
    """Play scenarios by name or file."""
    return _play(out, scenarios, SimpleNamespace(**given))


@rehearse.command("all", cls=FileReporting, examples=["rehearse all --seconds 5 --json report.json"])
@_with_day_options
def all_(out: Out, **given: Any) -> int:
    """Play all shipped scenarios."""
    return _play(out, list(shipped()), SimpleNamespace(**given))


@rehearse.command("search", cls=FileReporting, examples=["rehearse search --count 20 --out found"])
@click.option("--seed", type=SEED, default=1, show_default=True, help="Seed of the first schedule.")
@click.option("--count", type=COUNT, default=20, show_default=True, help="Schedules.")
@click.option("--jobs", type=COUNT, default=3, show_default=True, help="Days at once.")
@click.option(
    "--steps", type=COUNT, default=40, show_default=True, help="Most steps tried to shrink a schedule."
)
@OUT_OPTION
@click.option("--base", type=SCENARIO, help="The day that faults are drawn into (a small fleet).")
@RUN_OPTION
def search(out: Out, **given: Any) -> int:
    """Draw overlapping faults, play them, shrink those that do harm."""
    return _search(out, SimpleNamespace(**given))


@rehearse.command("soak", cls=FileReporting, examples=["rehearse soak --seeds 50 --json soak.json"])
@click.option("--from", "first", type=SEED, default=1, show_default=True, help="The first seed.")
@click.option("--seeds", type=COUNT, default=10, show_default=True, help="Days, one a seed.")
@click.option("--jobs", type=COUNT, default=3, show_default=True, help="Days at once.")
@click.option(
    "--longest",
    type=Duration(1e-3),
    default=OUTAGE_LENGTH_S[1],
    show_default=True,
    help="Longest outage of discovery.",
)
@OUT_OPTION
@RUN_OPTION
def soak(out: Out, **given: Any) -> int:
    """Play long days of outages and drains, one per seed; keep broken ones."""
    return _soak(out, SimpleNamespace(**given))


@rehearse.command("demo", cls=FileReporting, examples=["rehearse demo --once"])
@click.option("--once", is_flag=True, help="End after some seconds with the verdict.")
@click.option(
    "--port", type=click.IntRange(1, 65535), default=7070, show_default=True, help="Of the sidecar."
)
def demo_(out: Out, once: bool, port: int) -> int:
    """A small fleet to try out: a curl line, one fault, a verdict."""
    days = [demo.play(once, port)]
    return out.end(exit_code(days), to_json(days), show=lambda: print_report(days))


def _first_leaf(error: BaseException) -> BaseException:
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def _load(name: str, args: SimpleNamespace) -> tuple[str, Scenario]:
    shown, scenario = load(name)
    return shown, with_overrides(
        scenario, seed=args.seed, seconds=args.seconds, sidecars=args.sidecars, endpoints=args.endpoints,
        rate=args.rate, scale=args.scale, without=args.without,
    )  # fmt: skip


def _play(out: Out, names: Sequence[str], args: SimpleNamespace) -> int:
    todo = [_load(name, args) for name in names]
    page_to = None if args.html is None else Kept(args.html, "--html")
    try:
        days: list[PlayedDay] = []
        for name, scenario in todo:
            logs = Path(args.logs) / name if args.logs else None
            work = _play_day(name, scenario, args.run or DEFAULT_RUN, logs)
            days.append(uvloop.run(cancel_on_signals(work)))
        if page_to is not None:
            page_to.write(render_page(days))
    finally:
        if page_to is not None:
            page_to.drop()
    return out.end(exit_code(days), to_json(days), show=lambda: print_report(days))


async def _play_day(name: str, scenario: Scenario, run: str, logs: Path | None) -> PlayedDay:
    """Play one day and show its progress on standard error."""
    console = Console(stderr=True)
    columns = (
        TextColumn("{task.description}"),
        BarColumn(),
        TimeElapsedColumn(),
        TextColumn("{task.fields[now]}"),
    )
    with Progress(*columns, console=console, transient=True, disable=not console.is_terminal) as progress:
        bar = progress.add_task(name, total=scenario.seconds, now="starting")
        if not console.is_terminal:
            print(f"{name}: {scenario.seconds:g} s", file=sys.stderr)
        testbed = Testbed(scenario, run, lambda what: progress.update(bar, now=what), logs)

        async def advance() -> None:
            while True:
                await asyncio.sleep(0.2)
                if testbed.start_time:
                    progress.update(bar, completed=(testbed.clock() - testbed.start_time) / 1000)

        advancing = asyncio.create_task(advance())
        try:
            ledger, facts = await testbed.play()
        finally:
            advancing.cancel()
    return judge(name, scenario, ledger, facts)


def _print_progress(what: str) -> None:
    """Print the progress of a long command."""
    print(what, file=sys.stderr, flush=True)


def _search(out: Out, args: SimpleNamespace) -> int:
    base = load(args.base)[1] if args.base else BASE_DAY

    async def search() -> SearchOutcome:
        fault_search = FaultSearch(base, args.run, args.jobs, Path(args.into), args.steps, _print_progress)
        return await cancel_on_signals(fault_search.search(args.seed, args.count))

    outcome = asyncio.run(search())
    if not outcome.played:
        raise NotReady(f"no schedule could be played: {outcome.unplayed[-1]}")
    report = {
        name: getattr(outcome, name) for name in ("played", "plays", "inconclusive", "unplayed", "services")
    }
    report |= {"kinds": dict(outcome.kinds), "found": [asdict(f) for f in outcome.found]}
    minimum, median = quantile(outcome.services, 0.0), quantile(outcome.services, 0.5)
    lines = [
        f"{outcome.played} schedules in {outcome.plays} plays: {len(outcome.found)} do harm,"
        f" {outcome.inconclusive} inconclusive, {len(outcome.unplayed)} not played;"
        f" service {median:.3f} (median), {minimum:.3f} (minimum)"
    ]
    for found in outcome.found:
        lines.append(f"  seed {found.seed}: {found.why}")
        lines.append(f"    {found.faults} faults are enough: {found.path}")
    return out.end(NOT_HELD if outcome.found else HELD, report, lines)


def _soak(out: Out, args: SimpleNamespace) -> int:
    async def run() -> SoakOutcome:
        played = Soak(args.run, args.jobs, args.longest, Path(args.into), _print_progress)
        return await cancel_on_signals(played.run(args.first, args.seeds))

    outcome = asyncio.run(run())
    counts = {verdict: outcome.count(verdict) for verdict in VERDICTS.values()}
    services = [day.service for day in outcome.days if day.verdict == VERDICTS[0]]
    lines = [", ".join(f"{count} {verdict}" for verdict, count in counts.items())]
    if services:
        minimum, median = quantile(services, 0.0), quantile(services, 0.5)
        lines[0] += f"; service {median:.3f} (median), {minimum:.3f} (minimum)"
    lines += [f"  seed {day.seed}: {day.first}: {day.kept}" for day in outcome.days if day.rules]
    report = {"counts": counts, "days": [asdict(day) for day in outcome.days], "unplayed": outcome.unplayed}
    code = NOT_HELD if counts["BROKEN"] else HELD if counts["held"] else INCONCLUSIVE
    return out.end(code, report, lines)
