"""The operators' table and what a run says to each of its rows. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum

from msgspec import Struct

NARROW_FROM = 0.8  # of a bound, from which it is held but narrowly
LATE_MOST = 0.25  # s that a loop may be woken late at p99, past which times tell of the machine

ADDED_P99_MS = 0.72
DIRECT_P99_MS = 2.0  # of calls without a sidecar, past which what one adds can't be told
IN_FORCE_S = 5.0
CPU_SHARE = 0.04
MEMORY_BYTES = 128 * 2**20
BYTES_A_SECOND = 2048.0
LIST_S = 5.0  # this project's own: the table has no row for lists
PEERS_S = 60.0  # this project's own: until all sidecars agree on who is there
READY_S = 60.0  # this project's own: until all that restarted at once are ready
ATTEMPTS_A_CALL = 1.25  # this project's own: at the slow tier, for each call that callers made of it


class Verdict(Enum):
    """What a run says to one row."""

    HOLDS = "holds"
    NARROW = "narrow"
    FAILS = "fails"
    NOT_MEASURED = "not measured"
    INCONCLUSIVE = "inconclusive"


class Row(Struct, frozen=True):
    """One row: the bound, the figure as measured (None: it was not), and the verdict."""

    target: str
    bound: float
    unit: str
    figure: float | None
    verdict: Verdict
    note: str = ""


def judge(target: str, bound: float, unit: str, figure: float | None, note: str = "") -> Row:
    """Hold a figure against an upper bound."""
    if figure is None:
        return Row(target, bound, unit, None, Verdict.NOT_MEASURED, note)
    if figure > bound:
        return Row(target, bound, unit, figure, Verdict.FAILS, note)
    narrow = figure > NARROW_FROM * bound
    return Row(target, bound, unit, figure, Verdict.NARROW if narrow else Verdict.HOLDS, note)


def judge_time(target: str, bound: float, figure: float | None, whole: bool, late: float) -> Row:
    """Hold a time against its bound. One that fails on a machine too busy to tell is inconclusive.

    `whole`: everybody was reached; `late` is the loops' lateness at p99 (s).
    """
    row = judge(target, bound, "s", figure)
    if figure is not None and not whole:
        row = Row(target, bound, "s", figure, Verdict.FAILS, "not everybody was reached")
    if row.verdict is Verdict.FAILS and late > LATE_MOST:
        note = f"{row.note}; loops were woken {late:.2f} s late at p99".removeprefix("; ")
        return Row(target, bound, "s", figure, Verdict.INCONCLUSIVE, note)
    return row


def exit_code(rows: Sequence[Row]) -> int:
    """0 all rows that were measured hold, 1 one fails, 3 one is inconclusive and none fails."""
    verdicts = {row.verdict for row in rows}
    if Verdict.FAILS in verdicts:
        return 1
    return 3 if Verdict.INCONCLUSIVE in verdicts else 0
