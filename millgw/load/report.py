"""A run's report: a table for people, JSON for programs, and others' formats."""

from __future__ import annotations

import io
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram
from hdrh.log import HistogramLogWriter
from rich.console import Console
from rich.table import Table

from millgw.load.behind import spans
from millgw.load.compare import Change
from millgw.load.result import Figures, Outcome, Tally, at_quantile, cell_ms, us

VERSION = 1  # of the JSON's form
QUANTILES = (0.5, 0.9, 0.99, 0.999)
LEAST_WIDTH = 118


class ReportError(ValueError):
    """A file that holds no report of a run; the text names it."""


@dataclass(slots=True)
class Report:
    """One run and how it was asked for. `failed` are the conditions that held, with the figures found."""

    target: str
    shape: str
    seed: int
    seconds: float
    senders: int
    planned: int
    tally: Tally
    reasons: list[str]
    stopped: bool = False
    failed: list[str] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)

    @property
    def sent(self) -> int:
        return sum(s.sent for s in self.tally.seconds.values())

    @property
    def exit_code(self) -> int:
        """3 where the run is invalid: its figures may be its own doing; else 1 where a condition held."""
        return 3 if self.reasons else 1 if self.failed else 0


def to_json(report: Report) -> dict[str, Any]:
    tally = report.tally
    return {
        "version": VERSION,
        "exit": report.exit_code,
        "verdict": "INVALID" if report.reasons else "valid",
        "reasons": report.reasons,
        "failed": report.failed,
        "notes": report.notes,
        "target": report.target,
        "shape": report.shape,
        "seed": report.seed,
        "seconds": report.seconds,
        "senders": report.senders,
        "stopped": report.stopped,
        "planned": report.planned,
        "sent": report.sent,
        "late": {
            "p99_ms": at_quantile(tally.lateness, 0.99),
            "max_ms": tally.lateness.get_max_value() / 1000,
            "spans": [str(span) for span in spans(tally.late())],
        },
        "figures": {cls: _figures(f) for cls, f in (*tally.classes.items(), ("all", tally.total()))},
        "tally": tally.wire(),
    }


def _figures(figures: Figures) -> dict[str, Any]:
    names = {f"p{100 * q:g}_ms": q for q in QUANTILES}
    return {
        **{o.value: figures.outcomes[o.value] for o in Outcome},
        "latency": {name: at_quantile(figures.latency, q) for name, q in names.items()},
        "service": {name: at_quantile(figures.service, q) for name, q in names.items()},
    }


def of_json(value: Any, name: str) -> Report:
    """The report that `to_json` wrote."""
    try:
        if value["version"] != VERSION:
            raise ReportError(f"{name}: its version is {value['version']}, not {VERSION}")
        return Report(
            value["target"], value["shape"], value["seed"], value["seconds"], value["senders"],
            value["planned"], Tally.of(value["tally"]), value["reasons"], value["stopped"], value["failed"],
            value["notes"],
        )  # fmt: skip
    except (KeyError, TypeError, AttributeError) as error:
        raise ReportError(f"{name}: is no report of a run: {error!r}") from None


def show(report: Report) -> None:
    """What a person wants to see first."""
    console = Console()
    if not console.is_terminal:
        console = Console(width=LEAST_WIDTH)
    tally = report.tally
    rate = report.sent / report.seconds
    console.print(
        f"{report.shape} at {report.target}, seed {report.seed}: {report.planned} planned, {report.sent} sent"
        f" in {report.seconds:.1f} s ({rate:.0f}/s), {tally.handshakes} connections,"
        f" {report.senders} senders",
        markup=False,
    )
    table = Table()
    table.add_column("class", no_wrap=True)
    for title in ("first tries", "served", "refused", "failed", "timeout", "not taken", "left"):
        table.add_column(title, justify="right")
    table.add_column("ms from", no_wrap=True)
    for q in QUANTILES:
        table.add_column(f"p{100 * q:g}", justify="right")
    table.add_column("max", justify="right")
    rows = [*sorted(tally.classes.items())]
    if len(rows) > 1:
        rows.append(("all", tally.total()))
    for name, figures in rows:
        counts = [str(figures.outcomes[o.value]) for o in Outcome]
        for number, (side, times) in enumerate((("intended", figures.latency), ("sent", figures.service))):
            cells = [f"{at_quantile(times, q):.1f}" for q in QUANTILES]
            cells.append(f"{times.get_max_value() / 1000:.1f}")
            head = [name, str(sum(figures.outcomes.values())), *counts] if not number else [""] * 8
            table.add_row(*head, side, *cells)
    console.print(table)
    retried = sum(sum(f.outcomes.values()) for f in tally.retries.values())
    if retried:
        saved = sum(f.outcomes["served"] for f in tally.retries.values())
        console.print(f"{retried} further tries of clients, {saved} of them served, counted apart")
    console.print(
        f"sent late: p99 {at_quantile(tally.lateness, 0.99):.1f} ms, most"
        f" {tally.lateness.get_max_value() / 1000:.1f} ms"
    )
    for note in report.notes:
        console.print(note, markup=False)
    if report.stopped:
        console.print("stopped before its end")
    for reason in report.reasons:
        console.print(f"[bold red]INVALID[/]: {reason}")
    for span in spans(tally.late()) if report.reasons else ():
        console.print(f"    late in {span}", markup=False)
    for failed in report.failed:
        console.print(f"[bold red]failed[/]: {failed}")


def show_changes(changes: Sequence[Change], before: str, after: str) -> None:
    console = Console()
    if not console.is_terminal:
        console = Console(width=LEAST_WIDTH)
    table = Table()
    for title in ("class", "figure", before, after, "change", "noise", ""):
        table.add_column(title, justify="left" if title in ("class", "") else "right")
    for change in changes:
        by = change.after - change.before
        part = f" ({by / change.before:+.0%})" if change.before else ""
        noise = "not known" if change.noise is None else f"{change.noise:.4g}"
        word = "changed" if change.beyond else "" if change.noise is not None else "too few to tell"
        table.add_row(
            change.cls,
            change.figure,
            f"{change.before:.4g}",
            f"{change.after:.4g}",
            f"{by:+.4g}{part}",
            noise,
            word,
        )
    console.print(table)


def changes_json(changes: Sequence[Change]) -> list[dict[str, Any]]:
    return [
        {
            "class": c.cls, "figure": c.figure, "before": c.before, "after": c.after, "noise": c.noise,
            "beyond_noise": c.beyond,
        }
        for c in changes
    ]  # fmt: skip


def hlog(report: Report) -> str:
    """The latencies of each second and class as a HdrHistogram log (version 1.2), tagged by class; µs.

    Seconds are those in which requests were to be sent; values are to a tenth, as seconds are kept.
    """
    out = io.StringIO()
    writer = HistogramLogWriter(out)
    writer.output_comment(f"[otterslip load: {report.shape} at {report.target}, seed {report.seed}]")
    writer.output_log_format_version()
    writer.output_legend()
    for at, second in sorted(report.tally.seconds.items()):
        for cls, cells in sorted(second.cells.items()):
            made = HdrHistogram(1, 3_600_000_000, 2, b64_wrap=True)
            for number, count in cells.items():
                made.record_value(us(cell_ms(number + 0.5)), count)
            made.set_tag(cls)
            made.set_start_time_stamp(at * 1000)
            made.set_end_time_stamp(at * 1000 + 1000)
            # The tag goes before the rest of its line; the library's writer knows none.
            before = out.tell()
            writer.output_interval_histogram(made, at, 1, 1000.0)
            line = out.getvalue()[before:]
            out.seek(before)
            out.truncate()
            out.write(f"Tag={cls},{line}" if cls else line)
    return out.getvalue()


def prometheus(report: Report) -> str:
    """The run in Prometheus' text format (version 0.0.4)."""
    tally = report.tally
    lines = ["# HELP millgw_load_tries First tries by class and outcome.", "# TYPE millgw_load_tries counter"]
    for cls, figures in sorted(tally.classes.items()):
        for outcome in Outcome:
            label = f'class="{_label(cls)}",outcome="{outcome.value}"'
            lines.append(f"millgw_load_tries{{{label}}} {figures.outcomes[outcome.value]}")
    for name, side, help_ in (
        ("millgw_load_latency_seconds", "latency", "From the time at which a request was to be sent."),
        ("millgw_load_service_seconds", "service", "From the time at which it was sent."),
    ):
        lines += [f"# HELP {name} {help_}", f"# TYPE {name} summary"]
        for cls, figures in sorted(tally.classes.items()):
            times: HdrHistogram = getattr(figures, side)
            label = f'class="{_label(cls)}"'
            for q in QUANTILES:
                lines.append(f'{name}{{{label},quantile="{q:g}"}} {at_quantile(times, q) / 1000:.6f}')
            count = times.get_total_count()
            total = times.get_mean_value() * count / 1e6 if count else 0.0
            lines += [f"{name}_sum{{{label}}} {total:.6f}", f"{name}_count{{{label}}} {count}"]
    lines += ["# TYPE millgw_load_valid gauge", f"millgw_load_valid {int(not report.reasons)}"]
    return "\n".join(lines) + "\n"


def _label(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
