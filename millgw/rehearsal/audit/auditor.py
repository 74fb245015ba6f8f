"""Audits a day's ledger: a verdict with evidence for each of the four rules. No I/O.

Days with a distributed configuration have a fifth finding.

Only what stand-ins observed counts. A rule that a day never tested is `not exercised`, not held. A breach of
a time limit that the rig's own delays could explain counts as excused, not as broken.
"""

from __future__ import annotations

from collections import Counter

from millgw.rehearsal.audit.answers import audit_answers
from millgw.rehearsal.audit.cold_endpoints import audit_cold_endpoints
from millgw.rehearsal.audit.configuration_versions import audit_configuration
from millgw.rehearsal.audit.day_records import DayRecords
from millgw.rehearsal.audit.drains import audit_drains
from millgw.rehearsal.audit.effects import audit_effects
from millgw.rehearsal.audit.findings import Audit, Finding
from millgw.rehearsal.audit.rules import AuditRules
from millgw.standins.ledger import AttemptOutcome, End, Ledger

MIN_SERVED_SHARE = 0.02  # of the requests; a day that serves less tests no rule


def audit(ledger: Ledger, rules: AuditRules) -> Audit:
    """Audit one day."""
    records = DayRecords(ledger, rules)
    findings: tuple[Finding, ...] = (
        audit_answers(records),
        audit_effects(records),
        audit_drains(records),
        audit_cold_endpoints(records),
    )
    if rules.distributed:
        findings += (audit_configuration(records),)
    return Audit(findings, records.lateness.measure(), _unserved_reason(records))


def _unserved_reason(records: DayRecords) -> str:
    """Why almost nothing was served; empty if enough was served or there were no requests.

    Without it a day on which no request reaches an endpoint would be reported as held.
    """
    firsts = {c.root for c in records.ledger.calls if c.stage == 0}
    served = {c.root for c in records.ledger.calls if c.stage == 0 and c.status == 200}
    if not firsts or len(served) >= MIN_SERVED_SHARE * len(firsts):
        return ""
    served_text = f"{len(served)} of {len(firsts)} requests were served"
    causes = Counter(a.why for a in records.ledger.attempts if a.told is AttemptOutcome.UNUSABLE)
    if causes:
        cause, count = causes.most_common(1)[0]
        return f"{served_text}: endpoints answered {causes.total()} attempts with 400, {count} as {cause}"
    ends = Counter(
        f"{c.status}" if c.end is End.ANSWERED else c.end.value if c.end is not None else "no end"
        for c in records.ledger.calls
        if c.stage == 0 and c.status != 200
    )
    attempts = len(records.ledger.attempts)
    most = ", ".join(f"{n} x {what}" for what, n in ends.most_common(3))
    return f"{served_text}: callers got {most}; {attempts} attempts came to endpoints"
