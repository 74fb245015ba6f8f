"""The auditor of the four rules: ledgers in, a verdict for each rule with evidence out. Pure.

Days with a distributed configuration have a fifth finding beside them.

It believes only what stand-ins saw. A rule that a day never put to the test is `not exercised`, not held.
Where the rig's own lateness could explain a breach of a time limit, it is counted as excused, not as broken.
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
from millgw.standins.ledger import End, Ledger, Told

LEAST_SERVED = 0.02  # of the requests, below which a day puts nothing to the test


def audit(ledger: Ledger, rules: AuditRules) -> Audit:
    """The verdict on one day."""
    records = DayRecords(ledger, rules)
    findings: tuple[Finding, ...] = (
        audit_answers(records),
        audit_effects(records),
        audit_drains(records),
        audit_cold_endpoints(records),
    )
    if rules.distributed:
        findings += (audit_configuration(records),)
    return Audit(findings, records.lateness.measure(), _why_unserved(records))


def _why_unserved(records: DayRecords) -> str:
    """Why next to nothing was served; empty where enough was, or nothing was asked.

    Otherwise a day reads as held because nothing ever came to an endpoint.
    """
    firsts = {c.root for c in records.ledger.calls if c.stage == 0}
    served = {c.root for c in records.ledger.calls if c.stage == 0 and c.status == 200}
    if not firsts or len(served) >= LEAST_SERVED * len(firsts):
        return ""
    told = f"{len(served)} of {len(firsts)} requests were served"
    whys = Counter(a.why for a in records.ledger.attempts if a.told is Told.UNUSABLE)
    if whys:
        why, count = whys.most_common(1)[0]
        return f"{told}: endpoints answered {whys.total()} attempts with 400, {count} as {why}"
    ends = Counter(
        f"{c.status}" if c.end is End.ANSWERED else c.end.value if c.end is not None else "no end"
        for c in records.ledger.calls
        if c.stage == 0 and c.status != 200
    )
    came = len(records.ledger.attempts)
    most = ", ".join(f"{n} x {what}" for what, n in ends.most_common(3))
    return f"{told}: callers got {most}; {came} attempts came to endpoints"
