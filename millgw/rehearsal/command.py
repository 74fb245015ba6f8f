"""The command `rehearse`: lists, plays and searches scenarios, and reports."""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import sys
import traceback
from collections.abc import Awaitable, Sequence
from dataclasses import asdict
from pathlib import Path
from typing import Any, TypeVar

import uvloop
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

from millgw.rehearsal import demo
from millgw.rehearsal.hunt import Hunt, Outcome
from millgw.rehearsal.lateness import quantile
from millgw.rehearsal.page import page
from millgw.rehearsal.report import Day, exit_code, judge, show, to_json
from millgw.rehearsal.scenario import OPTIONAL, SCALES, Scenario, ScenarioError, changed, load, parse, shipped
from millgw.rehearsal.search import SMALL
from millgw.rehearsal.sidecars import DEFAULT_RUN, NotReady
from millgw.rehearsal.stage import Stage

HELD, BROKE, BAD_INPUT, RIG_FAILED, INTERRUPTED = 0, 1, 2, 4, 130
T = TypeVar("T")


def positive(text: str) -> float:
    value = float(text)
    if not 0 < value <= 1e6:
        raise argparse.ArgumentTypeError(f"{text} is not a number over 0 and up to a million")
    return value


def count(text: str) -> int:
    value = int(text)
    if not 1 <= value <= 100_000:
        raise argparse.ArgumentTypeError(f"{text} is not a whole number from 1 to 100000")
    return value


def add_parser(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add `rehearse` and its verbs to the one command line."""
    parser = commands.add_parser(
        "rehearse",
        help="play failures on stand-ins and audit the four rules",
        description="Plays a day of stand-in servers, cadastro and clients round real sidecars, lets faults"
        " strike, and reports for each of the four rules whether it held. Exit: 0 held, 1 a rule broke,"
        " 2 bad input, 3 inconclusive.",
    )
    parser.set_defaults(main=main)
    verbs = parser.add_subparsers(dest="verb", required=True, metavar="VERB")
    verbs.add_parser("list", help="the shipped scenarios")
    run = verbs.add_parser("run", help="play scenarios by name or file")
    run.add_argument("scenarios", nargs="+", metavar="NAME-OR-FILE")
    every = verbs.add_parser("all", help="play all shipped scenarios")
    for sub in (run, every):
        sub.add_argument("--seed", type=int, help="of arrivals, fleet and targets (the scenario's own)")
        sub.add_argument("--seconds", type=positive, help="the day's length; faults keep their places in it")
        sub.add_argument("--sidecars", type=count, help="all of them, with those that belong to endpoints")
        sub.add_argument("--endpoints", type=count, help="in the first tier; the others follow")
        sub.add_argument("--rate", type=positive, help="first tries a second")
        sub.add_argument("--scale", choices=sorted(SCALES), help="the deployment's size")
        sub.add_argument("--without", action="append", default=[], choices=OPTIONAL, help="leave a table out")
        sub.add_argument("--html", metavar="FILE", help="one self-contained page")
        sub.add_argument("--logs", metavar="DIR", help="keep the sidecars' logs")
    search = verbs.add_parser("search", help="draw overlapping faults, play them, shrink what does harm")
    search.add_argument("--seed", type=int, default=1, help="of the first schedule (1)")
    search.add_argument("--count", type=count, default=20, help="schedules (20)")
    search.add_argument("--jobs", type=count, default=3, help="days at once (3)")
    search.add_argument("--steps", type=count, default=40, help="tried to shrink one at the most (40)")
    search.add_argument("--out", default="found", metavar="DIR", help="for scenario files (found)")
    search.add_argument("--base", metavar="NAME-OR-FILE", help="the day to draw into (a small fleet)")
    show_it = verbs.add_parser("demo", help="a small fleet to look at: a curl line, one fault, a verdict")
    show_it.add_argument("--once", action="store_true", help="end after some seconds with the verdict")
    show_it.add_argument("--port", type=int, default=7070, help="of the sidecar, on 127.0.0.1 (7070)")
    for sub in (run, every, search):
        sub.add_argument("--run", metavar="CMD", help="how a sidecar is started (this project's daemon)")
    for sub in (run, every, search, show_it):
        sub.add_argument("--json", metavar="FILE", help="the whole report; - for standard output")


def main(args: argparse.Namespace) -> int:
    """Carry out a parsed command line; the exit code."""
    try:
        if args.verb == "list":
            return _list()
        _writable(args)
        if args.verb == "search":
            return _search(args)
        if args.verb == "demo":
            return demo.main(args.once, args.port, lambda days: _write(days, args.json, None))
        names = list(shipped()) if args.verb == "all" else args.scenarios
        return _play([_load(name, args) for name in names], args)
    except (ScenarioError, NotReady, OSError) as error:
        print(f"millgw: {error}", file=sys.stderr)
        return BAD_INPUT
    except ExceptionGroup as group:
        first = _first(group)
        if not isinstance(first, ScenarioError | NotReady | OSError):
            traceback.print_exception(first)
            return RIG_FAILED
        print(f"millgw: {first}", file=sys.stderr)
        return BAD_INPUT
    except asyncio.CancelledError:
        print("millgw: interrupted; all that was started has ended", file=sys.stderr)
        return INTERRUPTED
    except Exception:  # guards against a rig that fails and ends with the code of a broken rule
        traceback.print_exc()
        return RIG_FAILED


def _first(error: BaseException) -> BaseException:
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def _writable(args: argparse.Namespace) -> None:
    """Guards against a long day whose report then can't be written."""
    for name in ("json", "html"):
        path = getattr(args, name, None)
        if path and path != "-":
            try:
                Path(path).open("a").close()
            except OSError as error:
                raise ScenarioError(f"--{name}: {error}") from None


def _load(name: str, args: argparse.Namespace) -> tuple[str, Scenario]:
    shown, scenario = load(name)
    return shown, changed(
        scenario, seed=args.seed, seconds=args.seconds, sidecars=args.sidecars, endpoints=args.endpoints,
        rate=args.rate, scale=args.scale, without=args.without,
    )  # fmt: skip


def _list() -> int:
    for name, text in shipped().items():
        print(f"{name:22} {parse(text, f'{name}.toml').about}")
    return HELD


def _play(todo: Sequence[tuple[str, Scenario]], args: argparse.Namespace) -> int:
    days: list[Day] = []
    for name, scenario in todo:
        logs = Path(args.logs) / name if args.logs else None
        work = _one(name, scenario, args.run or DEFAULT_RUN, logs)
        days.append(uvloop.run(_interruptible(work)))
    if args.json != "-":
        show(days)
    _write(days, args.json, args.html)
    return exit_code(days)


async def _interruptible(work: Awaitable[T]) -> T:
    """Let SIGINT and SIGTERM cancel the work, whose own ends then end what it started.

    Set here, and not left to Python: a shell that starts the rig in the background has SIGINT ignored.
    """
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await work


async def _one(name: str, scenario: Scenario, run: str, logs: Path | None) -> Day:
    """Play one day with its progress on standard error."""
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
        stage = Stage(scenario, run, lambda what: progress.update(bar, now=what), logs)

        async def advance() -> None:
            while True:
                await asyncio.sleep(0.2)
                if stage.zero:
                    progress.update(bar, completed=(stage.clock() - stage.zero) / 1000)

        advancing = asyncio.create_task(advance())
        try:
            ledger, facts = await stage.play()
        finally:
            advancing.cancel()
    return judge(name, scenario, ledger, facts)


def _write(days: Sequence[Day], json_to: str | None, html_to: str | None) -> None:
    if json_to:
        _put(to_json(days), json_to)
    if html_to:
        Path(html_to).write_text(page(days), encoding="utf-8")


def _put(report: dict[str, Any], path: str) -> None:
    """Write a report as JSON to a file, or to standard output for `-`."""
    text = json.dumps(report, indent=1)
    if path == "-":
        print(text)
    else:
        Path(path).write_text(text + "\n")


def _search(args: argparse.Namespace) -> int:
    base = load(args.base)[1] if args.base else SMALL

    def say(what: str) -> None:
        print(what, file=sys.stderr, flush=True)

    async def search() -> Outcome:
        hunt = Hunt(base, args.run, args.jobs, Path(args.out), args.steps, say)
        return await _interruptible(hunt.search(args.seed, args.count))

    outcome = asyncio.run(search())
    if not outcome.played:
        raise NotReady(f"no schedule could be played: {outcome.unplayed[-1]}")
    if args.json:
        report = {
            name: getattr(outcome, name)
            for name in ("played", "plays", "inconclusive", "unplayed", "services")
        }
        report |= {"kinds": dict(outcome.kinds), "found": [asdict(f) for f in outcome.found]}
        _put(report, args.json)
    if args.json != "-":
        low, mid = quantile(outcome.services, 0.0), quantile(outcome.services, 0.5)
        print(
            f"{outcome.played} schedules in {outcome.plays} plays: {len(outcome.found)} do harm,"
            f" {outcome.inconclusive} inconclusive, {len(outcome.unplayed)} not played;"
            f" service {mid:.3f} in the middle, {low:.3f} at the least"
        )
        for found in outcome.found:
            print(f"  seed {found.seed}: {found.why}\n    {found.faults} faults are enough: {found.path}")
    return BROKE if outcome.found else HELD
