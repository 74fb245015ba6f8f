"""The command `load`: sends a planned or recorded load, reports it, and compares runs."""

from __future__ import annotations

import argparse
import ipaddress
import json
import math
import os
import sys
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from typing import Any, TextIO

from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

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

HELD, FAILED, BAD_INPUT, INVALID, INTERRUPTED = 0, 1, 2, 3, 130
INPUT_ERRORS = (
    ShapeError, PlanError, traces.TraceError, ConditionError, ReportError, NoTarget, OSError, ValueError,
)  # fmt: skip
SENDERS_MOST = 64
CONNECTIONS = 256


def add_parser(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add `load` and its verbs to the one command line."""
    parser = commands.add_parser(
        "load",
        help="open-loop load with latency from the intended time; traces; reports that compare",
        description="Sends requests at their planned times, whatever becomes of those before, and measures"
        " from these times. Exit: 0 held, 1 a --fail-if held or a comparison is beyond noise with --strict,"
        " 2 bad input, 3 the generator was late itself (INVALID), 130 interrupted.",
    )
    parser.set_defaults(main=main)
    verbs = parser.add_subparsers(dest="verb", required=True, metavar="VERB")
    run = verbs.add_parser("run", help="send a planned load to TARGET", epilog=_shapes(), formatter_class=Raw)
    run.add_argument("target", metavar="TARGET", help="IP:port on loopback; several with commas")
    plan = verbs.add_parser("plan", help="print a schedule as a trace, without sending")
    trace = verbs.add_parser("trace", help="send a recorded trace")
    trace.add_argument("file", metavar="FILE")
    trace.add_argument("target", metavar="TARGET", help="IP:port on loopback; several with commas")
    for sub in (run, plan):
        sub.add_argument("--shape", action="append", default=[], metavar="SHAPE", help="several add up")
        sub.add_argument("--rate", type=float, metavar="R", help="short for --shape constant:rate=R")
        sub.add_argument("--seconds", type=float, default=10.0, help="length (10)")
        sub.add_argument("--even", action="store_true", help="even distances, not by chance (Poisson)")
        sub.add_argument("--keys", type=int, default=0, metavar="N", help="requests are about one of so many")
        sub.add_argument("--zipf", type=float, default=1.0, metavar="S", help="how uneven these are (1)")
        sub.add_argument("--size", default="0", metavar="B[-B]", help="bytes of bodies")
        sub.add_argument("--host", action="append", default=[], metavar="NAME[=SHARE]", help="repeated")
    for sub in (run, plan, trace):
        sub.add_argument("--seed", type=int, default=1)
        sub.add_argument(
            "--class", dest="classes", action="append", default=[], metavar="NAME:KEY=VALUE,…",
            help="repeated; share=1, deadline=2000 (ms), repeat=retryable (GET), dedup (a key) or fragile",
        )  # fmt: skip
        sub.add_argument("--tenant", action="append", default=[], metavar="NAME[=SHARE]", help="repeated")
        sub.add_argument("--retries", type=int, default=0, help="further tries of a client (0)")
        sub.add_argument("--impatient", type=float, default=0.0, help="share of clients that leave early (0)")
        sub.add_argument("--honour", type=float, default=1.0, help="share that keeps Retry-After (1)")
    for sub in (run, trace):
        sub.add_argument("--path", default="/api", help="of requests that name none (/api)")
        sub.add_argument("--plain", action="store_true", help="no headers of the sidecar's protocol")
        sub.add_argument("--senders", type=int, default=0, help="processes (half of the cores)")
        sub.add_argument("--cores", metavar="N,N", help="bind senders to these cores")
        sub.add_argument("--connections", type=int, default=CONNECTIONS, help=f"at the most ({CONNECTIONS})")
        sub.add_argument("--ahead", type=int, default=0, help="connections opened before the start")
        sub.add_argument("--late-ms", type=float, default=BOUND, help=f"a send over this is late ({BOUND:g})")
        sub.add_argument("--late-share", type=float, default=SHARE, help=f"of sends that may be ({SHARE:g})")
        sub.add_argument(
            "--fail-if", action="append", default=[], metavar="COND", help="such as login.p99>250ms"
        )
        sub.add_argument("--json", metavar="FILE", help="the whole report; - for standard output")
        sub.add_argument("--html", metavar="FILE", help="one self-contained page")
        sub.add_argument("--hlog", metavar="FILE", help="a HdrHistogram log")
        sub.add_argument("--prom", metavar="FILE", help="Prometheus text")
        sub.add_argument("--export", metavar="FILE", help="what was planned, as a trace that plays again")
    trace.add_argument("--format", choices=traces.FORMATS, default="", help="else told from the first line")
    trace.add_argument("--strict", action="store_true", help="end at the first line that can't be read")
    trace.add_argument("--times", type=float, default=1.0, metavar="N", help="so many times the arrivals")
    trace.add_argument("--stretch", type=float, default=1.0, metavar="N", help="so many times as long")
    trace.add_argument("--cut", metavar="FROM-TO", help="seconds of the trace")
    trace.add_argument(
        "--class-of", action="append", default=[], metavar="PATH=CLASS", help="by the path's start; repeated"
    )
    against = verbs.add_parser("compare", help="hold two reports against each other")
    against.add_argument("before", metavar="A.json")
    against.add_argument("after", metavar="B.json")
    against.add_argument("--strict", action="store_true", help="exit 1 where anything changed beyond noise")
    against.add_argument("--json", metavar="FILE", help="for other programs; - for standard output")


class Raw(argparse.RawDescriptionHelpFormatter):
    """Keeps the table of shapes as it is."""


def _shapes() -> str:
    from millgw.load import shapes

    return "shapes:\n" + (shapes.__doc__ or "").partition("\n\n")[2]


def main(args: argparse.Namespace) -> int:
    """Carry out a parsed command line; the exit code."""
    try:
        if args.verb == "compare":
            return _compare(args)
        if args.verb == "plan":
            return _print_plan(_plan(args))
        return _send(args)
    except INPUT_ERRORS as error:
        print(f"millgw: {error}", file=sys.stderr)
        return BAD_INPUT
    except BrokenPipeError:
        return HELD


# What is asked for


def _plan(args: argparse.Namespace) -> Plan:
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


def _classes(args: argparse.Namespace) -> tuple[Class, ...]:
    classes = tuple(read_class(c) for c in args.classes) or (Class("read"),)
    names = [c.name for c in classes]
    for i, name in enumerate(names):
        if name in names[:i]:
            raise PlanError(f"--class: {name!r} is given twice")
    return classes


def _tenants(args: argparse.Namespace) -> tuple[tuple[str, float], ...]:
    return tuple(read_share(t) for t in args.tenant) or (("", 1.0),)


def _habits(args: argparse.Namespace) -> Habits:
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


def _print_plan(plan: Plan) -> int:
    for arrival in plan.arrivals():
        print(traces.word(arrival))
    return HELD


# Sending


def _send(args: argparse.Namespace) -> int:
    notes: list[str] = []
    conditions = [read_condition(c) for c in args.fail_if]
    at = targets(args.target)
    arrivals: Iterable[Arrival]
    if args.verb == "trace":
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
    files = [open_(args, name) for name in ("json", "html", "hlog", "prom", "export")]
    _check_target(at)
    fleet = Fleet(orders, senders, cores)
    try:
        fleet.ready(ahead)
        with Far(seconds) as far:
            longest = max(c.deadline for c in classes)
            run = play(arrivals, seconds, fleet, bounds, longest, far, _export(files[4]))
    finally:
        fleet.close()
    report = Report(
        args.target, shape, args.seed, run.seconds, senders, run.planned, run.tally, run.reasons, run.stopped,
        notes=notes,
    )  # fmt: skip
    report.failed = _failed(conditions, report)
    writers: tuple[Callable[[Report], str], ...] = (
        lambda r: json.dumps(to_json(r)) + "\n", page, hlog, prometheus,
    )  # fmt: skip
    for file, write in zip(files, writers, strict=False):
        if file is not None:
            file.write(write(report))
            file.flush()
    if args.json != "-":
        show(report)
    return INTERRUPTED if run.stopped else report.exit_code


def _check_target(at: Sequence[Address]) -> None:
    import socket

    for address in at:
        try:
            with socket.create_connection((address.host, address.port), timeout=2.0):
                pass
        except OSError as error:
            raise NoTarget(f"TARGET: {address}: {error.strerror or error}") from None


def _trace(args: argparse.Namespace, notes: list[str]) -> list[traces.Entry]:
    try:
        text = Path(args.file).read_text(encoding="utf-8", errors="replace")
    except OSError as error:
        raise traces.TraceError(f"{args.file}: {error.strerror}") from None
    trace = traces.read(text, args.file, args.format, args.strict)
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


def open_(args: argparse.Namespace, name: str) -> TextIO | None:
    """A file to write to, opened before the run: an error then costs nothing."""
    path = getattr(args, name)
    if path is None:
        return None
    return sys.stdout if path == "-" else Path(path).open("w", encoding="utf-8")


def _export(file: TextIO | None) -> Callable[[Arrival], None]:
    if file is None:
        return lambda _: None
    return lambda arrival: print(traces.word(arrival), file=file)


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


def _compare(args: argparse.Namespace) -> int:
    before, after = _report(args.before), _report(args.after)
    changes = compare(before.tally, after.tally)
    if args.json:
        text = json.dumps({"changes": changes_json(changes)}, indent=1) + "\n"
        if args.json == "-":
            print(text, end="")
        else:
            Path(args.json).write_text(text)
    if args.json != "-":
        show_changes(changes, args.before, args.after)
    for report, name in ((before, args.before), (after, args.after)):
        if report.reasons:
            print(f"millgw: {name}: the run is INVALID: {report.reasons[0]}", file=sys.stderr)
            return INVALID
    changed = any(c.beyond for c in changes if not math.isnan(c.after))
    return FAILED if args.strict and changed else HELD


def _report(path: str) -> Report:
    try:
        return of_json(json.loads(Path(path).read_text()), path)
    except OSError as error:
        raise ReportError(f"{path}: {error.strerror}") from None
    except json.JSONDecodeError as error:
        raise ReportError(f"{path}:{error.lineno}: {error.msg}") from None
