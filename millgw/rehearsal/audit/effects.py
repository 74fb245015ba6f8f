"""Rule 2: no effect happens twice.

False breaches that a delayed rig could report, by kind:

- "a keyed request sent again past its window": the lag is subtracted from how long after its window it came.
- "a fragile request sent again", "a keyed request sent again outside its group", "refused though an attempt
  may have run": what a sidecar does because of an endpoint's answer is read after that answer is written,
  while the kernel's time of its arrival may be some ms early (`millgw.standins.ledger`). Where just that
  reading order says that the sidecar knew, the order is in doubt: the breach is counted as excused.
"""

from __future__ import annotations

from collections.abc import Sequence

from millgw.rehearsal.audit.day_records import SOCKET_MARGIN_MS, DayRecords, known_not_to_have_run
from millgw.rehearsal.audit.findings import Evidence, Finding
from millgw.rehearsal.audit.rules import ClassRules, RepeatPolicy
from millgw.standins.ledger import Attempt, AttemptOutcome, Call

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
    if cls.repeat is RepeatPolicy.RETRYABLE:
        return
    sidecar = records.calls[trace][-1].sidecar if trace in records.calls else ""
    for i, attempt in enumerate(received):
        last = attempt.last or 0.0
        may_have_run = [a for a in received[:i] if not known_not_to_have_run(a, last)]
        certain = [a for a in may_have_run if not _order_in_doubt(a, attempt)]
        breach = _effect_breach(cls, attempt, may_have_run, sidecar)
        if breach is None:
            _audit_window(records, finding, cls, attempt, may_have_run, sidecar)
        elif _effect_breach(cls, attempt, certain, sidecar) is not None:
            finding.add(breach)
        else:
            finding.excused += 1
            _audit_window(records, finding, cls, attempt, certain, sidecar)


def _effect_breach(
    cls: ClassRules, attempt: Attempt, may_have_run: Sequence[Attempt], sidecar: str
) -> Evidence | None:
    """The breach, if an attempt may repeat the effect of one before, whenever it came."""
    if not may_have_run:
        return None
    last = attempt.last or 0.0
    if cls.repeat is RepeatPolicy.FRAGILE:
        what = "a fragile request sent again that may have run"
        return Evidence(what, last, attempt.trace, attempt.endpoint, sidecar)
    if not cls.tier_is_one_group and any(a.cell != attempt.cell for a in may_have_run):
        what = "a keyed request sent again outside its group"
        figure, bound = attempt.cell, may_have_run[0].cell
        return Evidence(what, last, attempt.trace, attempt.endpoint, sidecar, figure, bound)
    return None


def _audit_window(
    records: DayRecords,
    finding: Finding,
    cls: ClassRules,
    attempt: Attempt,
    may_have_run: Sequence[Attempt],
    sidecar: str,
) -> None:
    """Audit that a keyed request is sent again within its window."""
    if not may_have_run:
        return
    last, since = attempt.last or 0.0, may_have_run[0].first
    excess = last - since - cls.window - SOCKET_MARGIN_MS
    if excess > 0:
        late = Evidence(
            "a keyed request sent again past its window (ms)", last, attempt.trace, attempt.endpoint,
            sidecar, last - since, cls.window,
        )  # fmt: skip
        records.add_timed(finding, late, excess, since, sidecar)


def _audit_refusals(
    records: DayRecords, finding: Finding, cls: ClassRules, trace: str, received: list[Attempt]
) -> None:
    if cls.repeat is RepeatPolicy.RETRYABLE or (cls.repeat is RepeatPolicy.DEDUP and cls.tier_is_one_group):
        return
    for call in records.calls.get(trace, ()):
        if call.status in REFUSAL_STATUSES and call.answered is not None:
            _audit_refusal(finding, call, call.answered, received)


def _audit_refusal(finding: Finding, call: Call, answered: float, received: list[Attempt]) -> None:
    """Audit that a refusal came when all attempts before it were known not to have run."""
    before = [attempt for attempt in received if attempt.first <= answered]
    may_have_run = [attempt for attempt in before if not known_not_to_have_run(attempt, answered)]
    read = answered if call.answer_read is None else call.answer_read
    certain = [attempt for attempt in may_have_run if not known_not_to_have_run(attempt, read)]
    if certain:
        what = "refused though an attempt may have run"
        finding.add(Evidence(what, answered, call.trace, certain[0].endpoint, call.sidecar))
    elif may_have_run:
        finding.excused += 1


def _order_in_doubt(first: Attempt, second: Attempt) -> bool:
    """Whether, by the times of reading, one was sent when the other was known not to have run."""
    return _known_when_read(first, second) or _known_when_read(second, first)


def _known_when_read(earlier: Attempt, later: Attempt) -> bool:
    read = later.last if later.last_read is None else later.last_read
    return known_not_to_have_run(earlier, read or 0.0)
