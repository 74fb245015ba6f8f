"""Rule 4: all sidecars together stay within the capacity of a cold endpoint.

A delayed rig reports no false breach as long as requests are recorded at their arrival in the kernel. If it
is so late that a connection's next bytes arrive before it has read the previous ones, it records both at the
later time. A day with so much lag is inconclusive, but an overload that was observed is still reported.
"""

from __future__ import annotations

from collections import defaultdict, deque

from millgw.rehearsal.audit.day_records import DayRecords
from millgw.rehearsal.audit.findings import Evidence, Finding
from millgw.standins.capacity import cold_bound
from millgw.standins.ledger import Attempt


def audit_cold_endpoints(records: DayRecords) -> Finding:
    """Audit that all sidecars together stay within a cold endpoint's capacity in every window.

    This includes sidecars that were not notified of its start, which the operators' rule exempts.
    """
    finding = Finding(4, "a cold endpoint is not pushed over")
    sent: dict[tuple[str, int], list[Attempt]] = defaultdict(list)
    for attempt in records.ledger.attempts:
        if attempt.last is not None:
            sent[attempt.endpoint, attempt.life].append(attempt)
    for life in records.ledger.lives:
        window: deque[tuple[float, float]] = deque()
        total, attempts_while_cold = 0.0, 0
        until = (
            life.start + life.cold_ms if life.until is None else min(life.start + life.cold_ms, life.until)
        )
        for attempt in sorted(sent[life.endpoint, life.number], key=lambda a: a.last or 0.0):
            at = attempt.last or 0.0
            if at >= until and life.fell is None:
                break
            attempts_while_cold += 1
            window.append((at, attempt.work))
            total += attempt.work
            while window[0][0] <= at - records.rules.fall_window:
                total -= window.popleft()[1]
            bound = cold_bound(
                life, at, records.rules.fall_multiple, records.rules.fall_window,
                records.rules.mean_work.get(life.tier, 0.0),
            )  # fmt: skip
            finding.nearest = max(finding.nearest, total / bound)
            if total > bound:
                what = "work sent to a cold endpoint within a window (core-ms)"
                finding.add(Evidence(what, at, attempt.trace, life.endpoint, "", total, bound))
                break
        finding.checked += attempts_while_cold > 0
    return finding
