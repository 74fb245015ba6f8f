"""The result of an audit: a verdict on each rule, with evidence of breaches."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from millgw.rehearsal.audit.lateness import RigMeasurements

MAX_EVIDENCE_PER_RULE = 50  # further breaches are only counted


class Verdict(Enum):
    HELD = "held"
    BROKEN = "BROKEN"
    NOT_EXERCISED = "not exercised"


@dataclass(slots=True, frozen=True)
class Evidence:
    """One breach: what, when (ms of the day), of which request, endpoint and sidecar, figure and bound."""

    what: str
    at: float
    request: str = ""
    endpoint: str = ""
    sidecar: str = ""
    figure: float | None = None
    bound: float | None = None

    def __str__(self) -> str:
        parts = [f"{self.at / 1000:.3f} s: {self.what}"]
        parts += [f"{k} {v}" for k in ("request", "endpoint", "sidecar") if (v := getattr(self, k))]
        if self.figure is not None and self.bound is not None:
            parts.append(f"{self.figure:.1f} against {self.bound:.1f}")
        return ", ".join(parts)


@dataclass(slots=True)
class Finding:
    """The verdict on one rule. `checked` counts the cases that were checked, `excused` the breaches that the
    rig's delays can explain.

    `nearest` is the largest share of the rule's bound that was used, for a rule that has one.
    """

    rule: int
    title: str
    checked: int = 0
    broken: int = 0
    excused: int = 0
    evidence: list[Evidence] = field(default_factory=list)
    kinds: Counter[str] = field(default_factory=Counter)
    note: str = ""
    nearest: float = 0.0

    @property
    def verdict(self) -> Verdict:
        if self.broken:
            return Verdict.BROKEN
        return Verdict.HELD if self.checked else Verdict.NOT_EXERCISED

    def add(self, evidence: Evidence) -> None:
        self.broken += 1
        self.kinds[evidence.what] += 1
        if len(self.evidence) < MAX_EVIDENCE_PER_RULE:
            self.evidence.append(evidence)


@dataclass(slots=True, frozen=True)
class Audit:
    """All findings, and the rig's measurements of itself.

    `unserved_reason` says why almost nothing was served, if that is so: such a day tested no rule.
    """

    findings: tuple[Finding, ...]
    rig: RigMeasurements
    unserved_reason: str = ""

    @property
    def broken(self) -> bool:
        return any(f.verdict is Verdict.BROKEN for f in self.findings)

    @property
    def inconclusive(self) -> bool:
        """No breach was seen, but the rig was too late, or too little was served, to call the rules held."""
        return not self.broken and (bool(self.reasons) or any(f.excused for f in self.findings))

    @property
    def reasons(self) -> tuple[str, ...]:
        """Why the day can't be judged; empty if it can."""
        return (*self.rig.reasons, self.unserved_reason) if self.unserved_reason else self.rig.reasons

    @property
    def exit_code(self) -> int:
        return 1 if self.broken else 3 if self.inconclusive else 0
