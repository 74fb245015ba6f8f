"""The command `load`: sends a planned or recorded load, reports it, and compares runs."""

from __future__ import annotations

import ipaddress
import json
import math
import os
import sys
from collections.abc import Callable, Iterable, Sequence
from contextlib import ExitStack
from pathlib import Path
from types import SimpleNamespace
from typing import Any, TypeVar

import click
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

from millgw.cli.exits import HELD, INCONCLUSIVE, INTERRUPTED, NOT_HELD, BadInput
from millgw.cli.kept import Kept
from millgw.cli.kinds import SEED, Duration
from millgw.cli.report import FileReporting, Out, Serving
from millgw.load import traces
from millgw.load.arrivals import Arrival, Habits
from millgw.load.behind import BOUND, SHARE
from millgw.load.compare import compare
from millgw.load.conditions import Condition, ConditionError
from millgw.load.conditions import parse as read_condition
from millgw.load.page import page
from millgw.load.plan import Class, Content, Plan, PlanError, read_class, read_share
from millgw.load.report import (
    Report,
    ReportError,
    changes_json,
    hlog,
    of_json,
    prometheus,
    show,
    show_changes,
    to_json,
)
from millgw.load.run import Bounds, Fleet, NoTarget, play, tag
from millgw.load.sender import Orders
from millgw.load.shapes import ShapeError
from millgw.load.shapes import parse as read_shape
from millgw.platform.config import Address, read_address

F = TypeVar("F", bound=Callable[..., Any])
INPUT_ERRORS = (
    ShapeError, PlanError, traces.TraceError, ConditionError, ReportError, NoTarget, OSError, ValueError,
)  # fmt: skip
SENDERS_MOST = 64
CONNECTIONS = 256


def _shapes() -> str:
    from millgw.load import shapes

    text = "Shapes:\n" + (shapes.__doc__ or "").partition("\n\n")[2]
    return "\n\n".join(f"\b\n{part}" for part in text.split("\n\n"))


def _together(*options: Callable[[F], F]) -> Callable[[F], F]:
    """Several options as one decorator, shown in this order."""

    def add(command: F) -> F:
        for option in reversed(options):
            command = option(command)
        return command

    return add


TARGET = click.argument("target", metavar="TARGET")
PLANNED = _together(
    click.option("--shape", multiple=True, metavar="SHAPE", help="Several add up."),
    click.option("--rate", type=float, metavar="R", help="Short for --shape constant:rate=R."),
    click.option("--seconds", type=Duration(0.001, 86_400), default=10.0, show_default=True, help="Length."),
    click.option("--even", is_flag=True, help="Even distances, not by chance (Poisson)."),
    click.option("--keys", type=int, default=0, metavar="N", help="Requests are about one of so many."),
    click.option("--zipf", type=float, default=1.0, show_default=True, help="How uneven these are."),
    click.option("--size", default="0", metavar="B[-B]", help="Bytes of bodies."),
    click.option("--host", multiple=True, metavar="NAME[=SHARE]", help="Repeated."),
)
CLIENTS = _together(
    click.option("--seed", type=SEED, default=1, show_default=True),
    click.option(
        "--class", "classes", multiple=True, metavar="NAME:KEY=VALUE,…",
        help="Repeated; share=1, deadline=2000 (ms), repeat=retryable (GET), dedup (a key) or fragile.",
    ),
    click.option("--tenant", multiple=True, metavar="NAME[=SHARE]", help="Repeated."),
    click.option("--retries", type=int, default=0, show_default=True, help="Further tries of a client."),
    click.option("--impatient", type=float, default=0.0, show_default=True, help="Share that leaves early."),
    click.option("--honour", type=float, default=1.0, show_default=True, help="Share keeping Retry-After."),
)  # fmt: skip
SENDING = _together(
    click.option("--path", default="/api", show_default=True, help="Of requests that name none."),
    click.option("--plain", is_flag=True, help="No headers of the sidecar's protocol."),
    click.option("--senders", type=int, default=0, help="Processes (half of the cores)."),
    click.option("--cores", metavar="N,N", help="Bind senders to these cores."),
    click.option("--connections", type=int, default=CONNECTIONS, show_default=True, help="At the most."),
    click.option("--ahead", type=int, default=0, help="Connections opened before the start."),
    click.option("--late-ms", type=float, default=BOUND, show_default=True, help="A send over this is late."),
    click.option("--late-share", type=float, default=SHARE, show_default=True, help="Of sends that may be."),
    click.option("--fail-if", multiple=True, metavar="COND", help="Such as 'login.p99>250ms'."),
    click.option("--html", metavar="FILE", help="One self-contained page."),
    click.option("--hlog", metavar="FILE", help="A HdrHistogram log."),
    click.option("--prom", metavar="FILE", help="Prometheus text."),
    click.option("--export", metavar="FILE", help="What was planned, as a trace that plays again."),
)


class Telling(click.Group):
    """Names bad input of any part in one line."""

    def invoke(self, ctx: click.Context) -> Any:
        try:
            return super().invoke(ctx)
        except INPUT_ERRORS as error:
            raise BadInput(str(error)) from None


@click.group(cls=Telling)
def load() -> None:
    """Open-loop load with latency from the intended time; traces; reports that compare.

    Sends requests at their planned times, whatever becomes of those before, and measures from these times.
    Nothing but loopback is sent to.

    Exit: 0 held, 1 a --fail-if held or a comparison is beyond noise with --strict, 2 bad input, 3 the
    generator was late itself (INVALID), 130 interrupted.
    """


@load.command("run", cls=FileReporting, examples=["load run 127.0.0.1:7070 --rate 100"], epilog=_shapes())
@TARGET
@PLANNED
@CLIENTS
@SENDING
def run_(out: Out, **given: Any) -> int:
    """Send a planned load to TARGET, IP:port on loopback; several with commas."""
    return _send(out, SimpleNamespace(file=None, **given))


@load.command("plan", cls=Serving, examples=["load plan --rate 100 --seconds 1"])
@PLANNED
@CLIENTS
def plan_(**given: Any) -> int:
    """Print a schedule as a trace, without sending."""
    plan = _plan(SimpleNamespace(**given))
    for arrival in plan.arrivals():
        print(traces.word(arrival))
        if getattr(getattr(sys.stdout.buffer, "raw", None), "gone", False):
            break
    return HELD


@load.command("trace", cls=FileReporting, examples=["load trace day.jsonl 127.0.0.1:7070 --times 2"])
@click.argument("file", metavar="FILE")
@TARGET
@CLIENTS
@SENDING
@click.option("--format", type=click.Choice(traces.FORMATS), help="Else told from the first line.")
@click.option("--strict", is_flag=True, help="End at the first line that can't be read.")
@click.option("--times", type=float, default=1.0, metavar="N", help="So many times the arrivals.")
@click.option("--stretch", type=float, default=1.0, metavar="N", help="So many times as long.")
@click.option("--cut", metavar="FROM-TO", help="Seconds of the trace.")
@click.option("--class-of", multiple=True, metavar="PATH=CLASS", help="By the path's start; repeated.")
def trace_(out: Out, **given: Any) -> int:
    """Send a recorded trace to TARGET, IP:port on loopback; several with commas."""
    return _send(out, SimpleNamespace(**given))


@load.command("compare", cls=FileReporting, examples=["load compare before.json after.json --strict"])
@click.argument("before", metavar="A.json")
@click.argument("after", metavar="B.json")
@click.option("--strict", is_flag=True, help="Exit 1 where anything changed beyond noise.")
def compare_(out: Out, before: str, after: str, strict: bool) -> int:
    """Hold two reports against each other."""
    first, second = _report(before), _report(after)
    changes = compare(first.tally, second.tally)
    changed = any(c.beyond for c in changes if not math.isnan(c.after))
    code = NOT_HELD if strict and changed else HELD
    for report, name in ((second, after), (first, before)):
        if report.reasons:
            print(f"millgw: {name}: the run is INVALID: {report.reasons[0]}", file=sys.stderr)
            code = INCONCLUSIVE
    return out.end(
        code, {"changes": changes_json(changes)}, show=lambda: show_changes(changes, before, after)
    )


# What is asked for


def _plan(args: SimpleNamespace) -> Plan:
    seconds = _between("--seconds", args.seconds, 0.001, 86_400)
    words = list(args.shape)
    if args.rate is not None:
        words.append(f"constant:rate={args.rate:g}")
    if not words:
        raise PlanError("--shape or --rate: neither is given")
    low, dash, high = args.size.partition("-")
    if not low.isdigit() or (dash and not high.isdigit()):
        raise PlanError(f"--size: {args.size!r} is neither B nor B-B")
    sizes = (int(low), int(high or low))
    if sizes[0] > sizes[1] or sizes[1] > 65_536:
        raise PlanError(f"--size: {args.size} is no range up to 65536")
    content = Content(
        int(_between("--keys", args.keys, 0, 10_000_000)),
        _between("--zipf", args.zipf, 0.0, 10.0),
        sizes,
        tuple(read_share(h) for h in args.host),
    )
    return Plan(
        tuple(read_shape(w, seconds) for w in words), seconds, args.seed, args.even, _classes(args),
        _tenants(args), _habits(args), content,
    )  # fmt: skip


def _classes(args: SimpleNamespace) -> tuple[Class, ...]:
    classes = tuple(read_class(c) for c in args.classes) or (Class("read"),)
    names = [c.name for c in classes]
    for i, name in enumerate(names):
        if name in names[:i]:
            raise PlanError(f"--class: {name!r} is given twice")
    return classes


def _tenants(args: SimpleNamespace) -> tuple[tuple[str, float], ...]:
    return tuple(read_share(t) for t in args.tenant) or (("", 1.0),)


def _habits(args: SimpleNamespace) -> Habits:
    return Habits(
        retries=int(_between("--retries", args.retries, 0, 100)),
        try_share=(1.0, 1.0) if not args.retries else (0.5, 0.6),
        honour=_between("--honour", args.honour, 0, 1),
        impatient=_between("--impatient", args.impatient, 0, 1),
    )


def _between(name: str, value: float, low: float, high: float) -> float:
    if not low <= value <= high:
        raise PlanError(f"{name}: {value:g} is not from {low:g} to {high:g}")
    return value


def targets(text: str) -> tuple[Address, ...]:
    """The addresses of a target; a ValueError names one that is not on loopback."""
    found = []
    for word in text.split(","):
        word = word.removeprefix("http://").rstrip("/")
        if word.startswith("localhost:"):
            word = "127.0.0.1:" + word.partition(":")[2]
        try:
            address = read_address(word)
        except ValueError:
            raise ValueError(f"TARGET: {word!r} is not IP:port") from None
        if not ipaddress.ip_address(address.host).is_loopback:
            raise ValueError(f"TARGET: {word} is not on loopback; nothing else is sent to")
        found.append(address)
    return tuple(found)


# Sending


def _send(out: Out, args: SimpleNamespace) -> int:
    notes: list[str] = []
    conditions = [read_condition(c) for c in args.fail_if]
    at = targets(args.target)
    arrivals: Iterable[Arrival]
    if args.file is not None:
        classes = _classes(args)
        some = _trace(args, notes)
        tenants = [t for t, _ in _tenants(args) if t]
        arrivals = list(traces.arrivals(some, classes, tenants, _habits(args), args.seed))
        seconds = max(0.001, some[-1].at / 1000 if some else 0.0)
        shape = f"trace {args.file}"
    else:
        plan = _plan(args)
        classes, arrivals, seconds, shape = plan.classes, plan.arrivals(), plan.seconds, plan.describe()
    cores = _cores(args.cores)
    senders = int(_between("--senders", args.senders or max(1, (os.cpu_count() or 2) // 2), 1, SENDERS_MOST))
    most = int(_between("--connections", args.connections, 1, 1_000_000))
    ahead = int(_between("--ahead", args.ahead, 0, most))
    late = _between("--late-ms", args.late_ms, 0.1, 60_000)
    bounds = Bounds(late, _between("--late-share", args.late_share, 0, 1))
    orders = Orders(
        targets=at, classes=classes, most=max(most, senders * len(at)), ahead=ahead, late_bound=bounds.late,
        tag=tag(), plain=args.plain, path=args.path,
    )  # fmt: skip
    with ExitStack() as stack:
        files: dict[str, Kept] = {}
        for name in ("html", "hlog", "prom", "export"):
            if (path := getattr(args, name)) is not None:
                files[name] = Kept(path, f"--{name}")
                stack.callback(files[name].drop)
        _check_target(at)
        fleet = Fleet(orders, senders, cores)
        try:
            fleet.ready(ahead)
            with Far(seconds) as far:
                longest = max(c.deadline for c in classes)
                run = play(arrivals, seconds, fleet, bounds, longest, far, _export(files.get("export")))
        finally:
            fleet.close()
        report = Report(
            args.target, shape, args.seed, run.seconds, senders, run.planned, run.tally, run.reasons,
            run.stopped, notes=notes,
        )  # fmt: skip
        report.failed = _failed(conditions, report)
        for name, word in (("html", page), ("hlog", hlog), ("prom", prometheus)):
            if name in files:
                files[name].write(word(report))
        if "export" in files:
            files["export"].done()
    code = INTERRUPTED if run.stopped else report.exit_code
    return out.end(code, to_json(report), show=lambda: show(report))


def _check_target(at: Sequence[Address]) -> None:
    import socket

    for address in at:
        try:
            with socket.create_connection((address.host, address.port), timeout=2.0):
                pass
        except OSError as error:
            raise NoTarget(f"TARGET: {address}: {error.strerror or error}") from None


def _trace(args: SimpleNamespace, notes: list[str]) -> list[traces.Entry]:
    try:
        text = Path(args.file).read_text(encoding="utf-8", errors="replace")
    except OSError as error:
        raise traces.TraceError(f"{args.file}: {error.strerror}") from None
    trace = traces.read(text, args.file, args.format or "", args.strict)
    if trace.bad:
        notes.append(f"{trace.bad} lines of the trace could not be read:")
        notes += [f"    {named}" for named in trace.named]
    if trace.unordered:
        notes.append(f"{trace.unordered} entries of the trace came before the one above; played in order")
    cut = None
    if args.cut:
        low, _, high = args.cut.partition("-")
        try:
            cut = (float(low), float(high or "inf"))
        except ValueError:
            raise PlanError(f"--cut: {args.cut!r} is not FROM-TO in seconds") from None
    pairs = []
    for word in args.class_of:
        start, equals, name = word.partition("=")
        if not equals or not start.startswith("/"):
            raise PlanError(f"--class-of: {word!r} is not /PATH=CLASS")
        pairs.append((start, name))
    changes = traces.Changes(
        _between("--times", args.times, 0.001, 1000), _between("--stretch", args.stretch, 0.001, 1000), cut,
        tuple(pairs),
    )  # fmt: skip
    some = traces.entries(trace, changes, args.seed)
    if not some:
        raise traces.TraceError(f"{args.file}: nothing of it is left to be played")
    return some


def _cores(text: str | None) -> list[int] | None:
    if text is None:
        return None
    words = text.split(",")
    if not all(w.isdigit() and int(w) in os.sched_getaffinity(0) for w in words):
        raise PlanError(f"--cores: {text!r} names no cores of this machine")
    return [int(w) for w in words]


def _failed(conditions: Sequence[Condition], report: Report) -> list[str]:
    out = []
    for condition in conditions:
        found = condition.figure_of(report.tally, report.seconds)
        if found is None:
            # Guards against a script that asks after a class that was never sent, and is content.
            out.append(f"{condition.text}: there is no such figure in this run")
        elif condition.holds(found):
            out.append(f"{condition.text}: it is {found:.4g}")
    return out


def _export(kept: Kept | None) -> Callable[[Arrival], None]:
    if kept is None:
        return lambda _: None
    return lambda arrival: kept.add(f"{traces.word(arrival)}\n")


class Far:
    """A line on how far the run is, on a terminal's standard error."""

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.shown = Progress(
            TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn(),
            console=Console(stderr=True), transient=True,
        )  # fmt: skip

    def __enter__(self) -> Callable[[float, int], None]:
        if not sys.stderr.isatty():
            return lambda _, __: None
        self.shown.start()
        task = self.shown.add_task("sending", total=self.seconds)

        def far(passed: float, sent: int) -> None:
            self.shown.update(task, completed=min(passed, self.seconds), description=f"{sent} sent")

        return far

    def __exit__(self, *_: Any) -> None:
        self.shown.stop()


def _report(path: str) -> Report:
    try:
        return of_json(json.loads(Path(path).read_text()), path)
    except OSError as error:
        raise ReportError(f"{path}: {error.strerror}") from None
    except json.JSONDecodeError as error:
        raise ReportError(f"{path}:{error.lineno}: {error.msg}") from None
