"""Rule 2: no effect happens twice.

A delayed rig can only distort how long after its window a keyed request was sent; the lag is subtracted from
that. Attempts are in the order of their arrival in the kernel. An endpoint records its answer before it
writes it, so an attempt that follows from the answer can't appear to come first.
"""

from __future__ import annotations

from millgw.rehearsal.audit.day_records import SOCKET_MARGIN_MS, DayRecords, known_not_to_have_run
from millgw.rehearsal.audit.findings import Evidence, Finding
from millgw.rehearsal.audit.rules import ClassRules, RepeatPolicy
from millgw.standins.ledger import Attempt, AttemptOutcome

REFUSAL_STATUSES = frozenset({429, 503})


def audit_effects(records: DayRecords) -> Finding:
    """Audit repeats by class, group and window, and that a refused request can't have run."""
    finding = Finding(2, "no effect happens twice")
    for trace, attempts in records.attempts.items():
        cls = records.rules.classes.get(attempts[0].cls)
        received = sorted((a for a in attempts if a.last is not None), key=lambda a: a.last or 0.0)
        if cls is None or not trace:
            continue
        # A request that succeeded at its first attempt gave no occasion for a repeat.
        if any(a.told is not AttemptOutcome.OK for a in attempts) or len(received) > 1:
            finding.checked += 1
        if len(received) > records.rules.max_attempts:
            finding.add(
                Evidence(
                    "more attempts than allowed", received[-1].first, trace, received[-1].endpoint, "",
                    len(received), records.rules.max_attempts,
                )
            )  # fmt: skip
        _audit_repeats(records, finding, cls, trace, received)
        _audit_refusals(records, finding, cls, trace, received)
    return finding


def _audit_repeats(
    records: DayRecords, finding: Finding, cls: ClassRules, trace: str, received: list[Attempt]
) -> None:
    for i, attempt in enumerate(received):
        last = attempt.last or 0.0
        may_have_run = [a for a in received[:i] if not known_not_to_have_run(a, last)]
        if not may_have_run or cls.repeat is RepeatPolicy.RETRYABLE:
            continue
        sidecar = records.calls[trace][-1].sidecar if trace in records.calls else ""
        if cls.repeat is RepeatPolicy.FRAGILE:
            what = "a fragile request sent again that may have run"
            finding.add(Evidence(what, last, trace, attempt.endpoint, sidecar))
            continue
        since = may_have_run[0].first
        if not cls.tier_is_one_group and any(a.cell != attempt.cell for a in may_have_run):
            what = "a keyed request sent again outside its group"
            finding.add(
                Evidence(what, last, trace, attempt.endpoint, sidecar, attempt.cell, may_have_run[0].cell)
            )
        elif last > since + cls.window + SOCKET_MARGIN_MS:
            late = Evidence(
                "a keyed request sent again past its window (ms)", last, trace, attempt.endpoint,
                sidecar, last - since, cls.window,
            )  # fmt: skip
            records.add_timed(finding, late, last - since - cls.window - SOCKET_MARGIN_MS, since, sidecar)


def _audit_refusals(
    records: DayRecords, finding: Finding, cls: ClassRules, trace: str, received: list[Attempt]
) -> None:
    if cls.repeat is RepeatPolicy.RETRYABLE or (cls.repeat is RepeatPolicy.DEDUP and cls.tier_is_one_group):
        return
    for call in records.calls.get(trace, ()):
        if call.status in REFUSAL_STATUSES and call.answered is not None:
            for attempt in received:
                if attempt.first <= call.answered and not known_not_to_have_run(attempt, call.answered):
                    what = "refused though an attempt may have run"
                    finding.add(Evidence(what, call.answered, trace, attempt.endpoint, call.sidecar))
                    break
