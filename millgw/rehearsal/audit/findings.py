"""What an audit comes to: a verdict on each rule, with the evidence of breaches."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from millgw.rehearsal.audit.lateness import Self

MOST_EVIDENCE = 50  # pieces kept for each rule; all are counted


class Verdict(Enum):
    HELD = "held"
    BROKEN = "BROKEN"
    NOT_EXERCISED = "not exercised"


@dataclass(slots=True, frozen=True)
class Evidence:
    """One breach: what, whose, when (ms of the day), the figure and its bound."""

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
    """The verdict on one rule. `checked` counts what it was judged by; `excused` what lateness explains.

    `nearest` is how much of a rule's bound was used up at the most, of 1, where it has one.
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
        if len(self.evidence) < MOST_EVIDENCE:
            self.evidence.append(evidence)


@dataclass(slots=True, frozen=True)
class Audit:
    """All findings, and what the rig says of itself.

    `unserved` tells why next to nothing was served, where that is so: such a day put no rule to the test.
    """

    findings: tuple[Finding, ...]
    rig: Self
    unserved: str = ""

    @property
    def broken(self) -> bool:
        return any(f.verdict is Verdict.BROKEN for f in self.findings)

    @property
    def inconclusive(self) -> bool:
        """No rule is seen broken, but the rig was too late, or too little served, to say that they held."""
        return not self.broken and (bool(self.reasons) or any(f.excused for f in self.findings))

    @property
    def reasons(self) -> tuple[str, ...]:
        """Why the day can't be judged; empty where it can."""
        return (*self.rig.reasons, self.unserved) if self.unserved else self.rig.reasons

    @property
    def exit_code(self) -> int:
        return 1 if self.broken else 3 if self.inconclusive else 0
