"""One day's ledger, indexed by request, endpoint and sidecar for the audits of the rules."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TypeVar

from millgw.rehearsal.audit.findings import Evidence, Finding
from millgw.rehearsal.audit.lateness import Lateness
from millgw.rehearsal.audit.rules import AuditRules
from millgw.standins.ledger import Attempt, AttemptOutcome, Ledger

SOCKET_MARGIN_MS = 50.0  # added to every time limit when measured on sockets (protocol page)
MAX_ALLOWED_PAUSE_MS = 150.0  # how long a process may be stopped: deadlines allow for that (standing page)
T = TypeVar("T")


class DayRecords:
    """The indexed records of a day, the rules it is audited by, and the delays of the rig itself."""

    def __init__(self, ledger: Ledger, rules: AuditRules) -> None:
        self.ledger = ledger
        self.rules = rules
        self.lateness = Lateness(ledger.samples, ledger.late)
        self.attempts = _group_by(ledger.attempts, lambda attempt: attempt.trace)
        self.calls = _group_by(ledger.calls, lambda call: call.trace)
        self.lives = _group_by(ledger.lives, lambda life: life.endpoint)
        self.sidecars = _group_by(ledger.sidecars, lambda sidecar: sidecar.name)
        self.pauses = _group_by(ledger.pauses, lambda pause: pause.sidecar)

    def paused_across(self, deadline: float, end: float, sidecar: str) -> float:
        """For how many ms after a deadline a sidecar was held stopped, up to the pause the rules allow."""
        total = 0.0
        for pause in self.pauses.get(sidecar, ()):
            if pause.at <= deadline + SOCKET_MARGIN_MS:
                total += max(0.0, min(end, pause.until) - max(deadline, pause.at))
        return min(total, MAX_ALLOWED_PAUSE_MS)

    def add_timed(
        self,
        finding: Finding,
        evidence: Evidence,
        excess: float,
        start: float,
        sidecar: str,
        kernel_timed: bool = False,
    ) -> None:
        """Add a breach of a time limit by `excess` ms, unless delays since `start` can explain it.

        The rig's own delays can't explain a `kernel_timed` breach, as both its times are kernel timestamps.
        """
        if kernel_timed:
            explained = self.lateness.core_wait(start, evidence.at, sidecar)
        else:
            explained = self.lateness.possible_delay(start, evidence.at, sidecar)
        if excess <= explained:
            finding.excused += 1
        else:
            finding.add(evidence)


def _group_by(records: Iterable[T], key: Callable[[T], str]) -> dict[str, list[T]]:
    """Group records by a key, each group in the order of recording."""
    found: dict[str, list[T]] = {}
    for record in records:
        found.setdefault(key(record), []).append(record)
    return found


def known_not_to_have_run(attempt: Attempt, by: float) -> bool:
    """Whether a sidecar could know at `by` that a completely received attempt did not run."""
    return attempt.told is AttemptOutcome.NEVER_RAN and attempt.told_at is not None and attempt.told_at <= by
