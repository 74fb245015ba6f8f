"""What a run says: its rows against the operators' table, its figures, as typed JSON and as text."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec
from msgspec import Struct

from millgw.scale import targets
from millgw.scale.chain import ChainFigures
from millgw.scale.figures import Rate, Spent
from millgw.scale.latency import Added
from millgw.scale.run import Result
from millgw.scale.spread import Spread, Topic
from millgw.scale.targets import Row, Verdict, judge, judge_time

BOUNDS = {
    Topic.LIST: targets.LIST_S,
    Topic.CONFIGURATION: targets.IN_FORCE_S,
    Topic.PEERS: targets.PEERS_S,
}
RESTART = "after all restart"
OWN = " (own bound)"


class SpreadFigures(Struct, frozen=True):
    """Changes of one kind together: how many, and the slowest way to a sidecar (s)."""

    what: str
    changes: int
    sidecars: int
    missed: int
    median: float
    last: float


class Report(Struct, frozen=True):
    """One run."""

    sidecars: int
    real: int
    services: int
    zones: int
    regions: int
    seconds: float
    seed: int
    fault: str
    control_plane: str
    ready_after: float
    settled: float  # s from the first start to what is measured
    rows: list[Row]
    spreads: list[SpreadFigures]
    hollow: Spent | None
    real_figures: Spent | None
    added: Added | None
    chain: ChainFigures | None
    reversals: list[str]
    late_p99: float
    unmetered: int

    @property
    def exit_code(self) -> int:
        """0 held, 1 not, 3 inconclusive."""
        return targets.exit_code(self.rows)


def report(result: Result) -> Report:
    """Judge a run."""
    sizes = result.options.sizes
    spreads = together(result.spreads)
    late = lateness(result)
    return Report(
        sidecars=sizes.sidecars,
        real=sizes.real,
        services=sizes.services,
        zones=sizes.zones,
        regions=sizes.regions,
        seconds=result.options.seconds,
        seed=result.options.seed,
        fault=result.options.fault.value,
        control_plane=result.control_plane,
        ready_after=result.ready_after,
        settled=result.settled,
        rows=rows(result, spreads, late),
        spreads=spreads,
        hollow=result.hollow,
        real_figures=result.real,
        added=result.added,
        chain=result.chain,
        reversals=result.reversals,
        late_p99=late,
        unmetered=result.unmetered,
    )


def lateness(result: Result) -> float:
    """How late the latest loop of the run was woken at p99 (s)."""
    spent = (result.hollow, result.real, result.servers)
    return max(figures.late_p99 for figures in spent if figures is not None)


def together(spreads: Iterable[Spread]) -> list[SpreadFigures]:
    """Changes of one kind as one line each, in the order of their first."""
    kinds: dict[str, list[Spread]] = {}
    for spread in spreads:
        kinds.setdefault(spread.what, []).append(spread)
    return [
        SpreadFigures(
            what=what,
            changes=len(some),
            sidecars=max(spread.expected for spread in some),
            missed=sum(spread.expected - spread.reached for spread in some),
            median=sorted(spread.median for spread in some)[len(some) // 2],
            last=max(spread.last for spread in some),
        )
        for what, some in kinds.items()
    ]


# Rows


def rows(result: Result, spreads: list[SpreadFigures], late: float) -> list[Row]:
    """All rows of the table, then what else is held to a bound."""
    topics = {spread.what: spread.topic for spread in result.spreads}
    return [
        Row("calls a second, up to 25 deep", 74_000.0, "calls/s", None, Verdict.NOT_MEASURED, "one machine"),
        added_row(result.added),
        *(_spread_row(spread, topics[spread.what], late) for spread in spreads),
        *_spent_rows(result),
        _versions_row(result),
        *_chain_rows(result.chain),
    ]


def added_row(added: Added | None) -> Row:
    """What sidecars add; inconclusive where the machine itself is to blame for it."""
    target = "added to a call at p99"
    if added is None:
        return judge(target, targets.ADDED_P99_MS, "ms", None, "no real sidecars under load")
    if not added.valid:
        return Row(target, targets.ADDED_P99_MS, "ms", added.p99, Verdict.INCONCLUSIVE, added.cause)
    row = judge(target, targets.ADDED_P99_MS, "ms", added.p99, f"{added.served} of {added.calls} served")
    if row.verdict is Verdict.FAILS and added.direct_p99 > targets.DIRECT_P99_MS:
        note = f"{row.note}; calls without a sidecar took {added.direct_p99:.1f} ms at p99"
        return Row(target, row.bound, row.unit, row.figure, Verdict.INCONCLUSIVE, note)
    return row


def _spread_row(spread: SpreadFigures, topic: Topic, late: float) -> Row:
    bound = BOUNDS[topic]
    if RESTART in spread.what:
        bound = targets.READY_S
    own = "" if topic is Topic.CONFIGURATION and RESTART not in spread.what else OWN
    return judge_time(f"{spread.what}, to the last{own}", bound, spread.last, spread.missed == 0, late)


def _spent_rows(result: Result) -> list[Row]:
    """What control costs; of whole daemons only where they have no calls, whose cost it would hold too."""
    made = []
    for name, spent in (("hollow", result.hollow), ("real", result.real)):
        if spent is None:
            continue
        loaded = name == "real" and result.added is not None
        note = "calls are in it" if loaded else ""
        shared = "a lower bound: processes are shared" if name == "hollow" else ""
        cpu = Row(f"processor time, {name}", targets.CPU_SHARE, "cores", None, Verdict.NOT_MEASURED, note)
        if not loaded:
            cpu = judge(f"processor time, {name}", targets.CPU_SHARE, "cores", spent.cpu_share.worst, shared)
        made += [
            judge(f"bytes for control, {name}", targets.BYTES_A_SECOND, "B/s", spent.bytes_total.worst),
            cpu,
            judge(f"memory, {name}", targets.MEMORY_BYTES, "B", spent.memory.worst, note),
        ]
    return made


def _versions_row(result: Result) -> Row:
    note = "; ".join(result.reversals[:3])
    return judge("versions that went back", 0.0, "", float(len(result.reversals)), note)


def _chain_rows(chain: ChainFigures | None) -> list[Row]:
    if chain is None:
        return []
    note = f"{chain.amplification:.2f} for each call of the first tier, {chain.served_ill:.0%} served"
    target = "attempts at a slow tier, a call" + OWN
    return [judge(target, targets.ATTEMPTS_A_CALL, "", chain.attempts_a_call, note)]


# In both forms


def to_json(made: Report) -> dict[str, Any]:
    """The report as one JSON object's fields."""
    fields: dict[str, Any] = msgspec.to_builtins(made)
    return fields


def lines(made: Report) -> list[str]:
    """The report for people."""
    out = [
        f"{made.sidecars} sidecars ({made.real} real) of {made.services} services in {made.zones} zones"
        f" and {made.regions} regions, {made.seconds:g} s, fault {made.fault}, seed {made.seed}",
        f"control plane: {made.control_plane}; all ready after {made.ready_after:.1f} s,"
        f" measured from {made.settled:.1f} s on;"
        f" loops woken {1000 * made.late_p99:.0f} ms late at p99",
        "",
        f"{'verdict':13} {'figure':>12} {'bound':>12}",
    ]
    out += [_row_line(row) for row in made.rows]
    out += _spent_lines("hollow", made.hollow) + _spent_lines("real", made.real_figures)
    if made.added is not None:
        out += ["", _added_line(made.added)]
    return out


def _row_line(row: Row) -> str:
    figure = "-" if row.figure is None else f"{row.figure:.4g} {row.unit}".rstrip()
    bound = f"{row.bound:.4g} {row.unit}".rstrip()
    note = f" ({row.note})" if row.note else ""
    return f"{row.verdict.value:13} {figure:>12} {bound:>12}  {row.target}{note}"


def _spent_lines(name: str, spent: Spent | None) -> list[str]:
    if spent is None:
        return []
    parts = {"": spent.bytes_total, **spent.bytes_by_part, "sent": spent.sent, "received": spent.received}
    told = [f"{part} {_of(rate, 0)}".strip() for part, rate in parts.items()]
    memory = Rate(spent.memory.median / 2**20, spent.memory.worst / 2**20)
    return [
        "",
        f"{name}: median and worst of {spent.sidecars} over {spent.seconds:.1f} s",
        f"  bytes/s with headers: {'; '.join(told)} (the last two without headers)",
        f"  processor {_of(spent.cpu_share, 4)} of a core; memory {_of(memory, 1)} MB",
    ]


def _of(rate: Rate, digits: int) -> str:
    return f"{rate.median:.{digits}f} / {rate.worst:.{digits}f}"


def _added_line(added: Added) -> str:
    return (
        f"calls: {added.served} of {added.calls} served; added {added.p50:.2f} ms at p50, {added.p99:.2f} ms"
        f" at p99 (direct {added.direct_p50:.2f} and {added.direct_p99:.2f})"
    )
