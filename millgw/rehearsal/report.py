"""Reports days as a table on a terminal and as JSON."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import asdict, dataclass
from typing import Any

from rich.console import Console
from rich.table import Table

from millgw.rehearsal.audit.auditor import audit
from millgw.rehearsal.audit.configuration_versions import RULE_NUMBER, Distribution, distribution
from millgw.rehearsal.audit.day_records import DayRecords
from millgw.rehearsal.audit.findings import Audit, Verdict
from millgw.rehearsal.audit.lateness import quantile
from millgw.rehearsal.audit.rules import audit_rules
from millgw.rehearsal.scenario import Scenario
from millgw.rehearsal.scenario_files import to_toml
from millgw.rehearsal.summary import AnswerWorth, Summary, summarize
from millgw.rehearsal.testbed import Facts
from millgw.standins.ledger import InjectedFault, Ledger, SentAway, Upgrade

COLOURS = {Verdict.HELD: "green", Verdict.BROKEN: "bold red", Verdict.NOT_EXERCISED: "dim"}
MIN_TABLE_WIDTH = 118  # columns of a table that is written to a file
EVIDENCE_SHOWN = 5  # breaches printed for each rule on a terminal


@dataclass(slots=True, frozen=True)
class PlayedDay:
    """One day that was played and audited."""

    name: str
    about: str
    scenario: Scenario
    facts: Facts
    summary: Summary
    audit: Audit
    injected: tuple[InjectedFault, ...]
    upgrades: tuple[Upgrade, ...] = ()
    sent_away: tuple[SentAway, ...] = ()
    distribution: Distribution | None = None

    @property
    def conclusion(self) -> str:
        if self.audit.broken:
            return "a rule broke"
        if self.audit.inconclusive:
            return "INCONCLUSIVE"
        return "no rule broke"


def judge(name: str, scenario: Scenario, ledger: Ledger, facts: Facts) -> PlayedDay:
    """Audit and summarize the day that a ledger records."""
    worths = {c.name: AnswerWorth(c.aim_ms, c.deadline_ms, c.worth, c.late_worth) for c in scenario.classes}
    rules = audit_rules(scenario)
    verdict = audit(ledger, rules)
    distributed = distribution(DayRecords(ledger, rules)) if rules.distributed else None
    return PlayedDay(
        name, scenario.about, scenario, facts, summarize(ledger, worths), verdict, tuple(ledger.injected),
        tuple(ledger.upgrades), tuple(ledger.sent_away), distributed,
    )  # fmt: skip


def print_report(days: Sequence[PlayedDay]) -> None:
    """Print a row for each day, then details of broken rules and of the rig itself."""
    console = Console()
    if not console.is_terminal:
        console = Console(width=MIN_TABLE_WIDTH)
    table = Table()
    table.add_column("day", no_wrap=True)
    titles = ["1 answers", "2 effects", "3 drains", "4 cold"]
    if any(day.distribution is not None for day in days):
        titles.append(f"{RULE_NUMBER} versions")
    for title in titles:
        table.add_column(title)
    for title in ("service", "worst 5 s", "tries", "attempts", "p99 ms"):
        table.add_column(title, justify="right")
    for day in days:
        s = day.summary
        cells = [
            f"[{COLOURS[f.verdict]}]{f.verdict.value}[/]" + (f" ({f.broken})" if f.broken else "")
            for f in day.audit.findings
        ]
        cells += [""] * (len(titles) - len(cells))
        latencies = [ms for c in s.classes.values() for ms in c.latencies]
        table.add_row(
            day.name, *cells, f"{s.service:.3f}", f"{s.worst_service:.3f}", str(s.tries),
            str(sum(n for of in s.attempts.values() for n in of.values())),
            f"{quantile(latencies, 0.99):.0f}",
        )  # fmt: skip
    console.print(table)
    for day in days:
        _print_details(day, console)


def _print_details(day: PlayedDay, console: Console) -> None:
    for finding in day.audit.findings:
        if finding.broken:
            console.print(
                f"[bold red]{day.name}: rule {finding.rule}, {finding.title}, broken {finding.broken} times"
            )
            for what, count in finding.kinds.most_common():
                console.print(f"  {count} x {what}", markup=False)
            for evidence in finding.evidence[:EVIDENCE_SHOWN]:
                console.print(f"    {evidence}", markup=False, highlight=False)
        elif finding.excused:
            console.print(
                f"{day.name}: rule {finding.rule}: {finding.excused} breaches of a time limit that the rig's"
                " own lateness may explain",
                markup=False,
            )
    for why, count in day.summary.unusable.items():
        console.print(f"{day.name}: endpoints answered 400 to {count} attempts: {why}", markup=False)
    if day.scenario.connections is not None:
        console.print(
            f"{day.name}: {day.summary.handshakes} handshakes; at a cold endpoint"
            f" at most {day.summary.cold_handshakes} in a second",
            markup=False,
        )
    if day.upgrades:
        console.print(
            f"{day.name}: {day.summary.hit_by_upgrades} requests hit by {len(day.upgrades)} upgrades",
            markup=False,
        )
    if day.distribution is not None:
        console.print(f"{day.name}: {_distribution_text(day.distribution)}", markup=False)
    for away in day.sent_away:
        console.print(f"{day.name}: {_client_drain_text(away)}", markup=False)
    if day.facts.sidecar_memory > day.scenario.limits.memory_mb * 1024:
        console.print(
            f"[bold red]{day.name}: a sidecar held {day.facts.sidecar_memory / 1024:.0f} MB"
            f" of {day.scenario.limits.memory_mb:.0f}"
        )
    for reason in day.audit.reasons:
        console.print(f"{day.name}: this day can't be judged: {reason}", markup=False)


def _distribution_text(found: Distribution) -> str:
    """How many of the proposed versions were committed, and how fast they spread."""
    committed = f"{found.committed} of {found.proposed} versions were committed"
    if not found.delays:
        return committed
    return (
        f"{committed}; in force at the last sidecar after {quantile(found.delays, 0.5):.0f} ms (median),"
        f" {max(found.delays):.0f} ms (worst)"
    )


def _client_drain_text(away: SentAway) -> str:
    """How long a sidecar took to report that it is not ready, and that it is ready again."""
    no = "never" if away.no_at is None else f"after {away.no_at - away.at:.0f} ms"
    yes = "never" if away.yes_at is None or away.until is None else f"after {away.yes_at - away.until:.0f} ms"
    return f"{away.sidecar} was told to send clients away: no {no}, yes again {yes}"


def to_json(days: Sequence[PlayedDay]) -> dict[str, Any]:
    """The whole report for other programs. `exit` is the exit code of the command."""
    return {"exit": exit_code(days), "days": [_day_json(day) for day in days]}


def _day_json(day: PlayedDay) -> dict[str, Any]:
    s = day.summary
    return {
        "name": day.name,
        "about": day.about,
        "conclusion": day.conclusion,
        "scenario": to_toml(day.scenario),
        "facts": asdict(day.facts),
        "rig": asdict(day.audit.rig),
        "reasons": list(day.audit.reasons),
        "unusable": s.unusable,
        "service": s.service,
        "worst_5s": s.worst_service,
        "asked": s.asked,
        "tries": s.tries,
        "served": s.served,
        "refused": s.refused,
        "failed": s.failed,
        "handshakes": s.handshakes,
        "cold_handshakes_per_s": s.cold_handshakes,
        "attempts": {str(tier): of for tier, of in s.attempts.items()},
        "classes": {
            name: {
                "asked": c.asked, "in_time": c.in_time, "late": c.late, "service": c.service,
                "p50_ms": quantile(c.latencies, 0.5), "p99_ms": quantile(c.latencies, 0.99),
                "p999_ms": quantile(c.latencies, 0.999),
            }
            for name, c in s.classes.items()
        },
        "seconds": [
            {
                "asked": t.asked, "in_time": t.in_time, "late": t.late, "refused": t.refused,
                "failed": t.failed, "attempts": t.attempts, "p50_ms": t.p50, "p99_ms": t.p99,
            }
            for t in s.seconds
        ],
        "hit_by_upgrades": s.hit_by_upgrades,
        "upgrades": [asdict(upgrade) for upgrade in day.upgrades],
        "sent_away": [asdict(away) for away in day.sent_away],
        "configuration": None if day.distribution is None else asdict(day.distribution),
        "faults": [asdict(fault) for fault in day.injected],
        "rules": [
            {
                "rule": f.rule, "title": f.title, "verdict": f.verdict.value, "checked": f.checked,
                "broken": f.broken, "excused": f.excused, "kinds": dict(f.kinds),
                "nearest": round(f.nearest, 3),
                "evidence": [asdict(e) for e in f.evidence],
            }
            for f in day.audit.findings
        ],
    }  # fmt: skip


def exit_code(days: Sequence[PlayedDay]) -> int:
    """1 if a rule broke on any day, else 3 if any day can't be judged, else 0."""
    codes = {day.audit.exit_code for day in days}
    return 1 if 1 in codes else 3 if 3 in codes else 0
