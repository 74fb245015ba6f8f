"""Audits distributed configuration: committed versions are in force everywhere, and none is rolled back.

The version in force is the one that a sidecar's control endpoint reports at each look (a poll by the rig). It
is compared with the other sidecars' digests of the same version, with the proposals that were answered, and
with what was reported to the control instances.

A delayed rig can make a version or a refusal appear later than it was, since its loop does the polling; the
lag is subtracted. A state that ends between two looks is not seen at all. The order and content of versions
and which sidecars refuse them don't depend on time.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from millgw.rehearsal.audit.control_history import ControlHistory
from millgw.rehearsal.audit.day_records import SOCKET_MARGIN_MS, DayRecords
from millgw.rehearsal.audit.findings import Evidence, Finding
from millgw.standins.configuration_ledger import VersionLook
from millgw.standins.ledger import SidecarLife

RULE_NUMBER = 5
TITLE = "committed versions are in force"
IN_FORCE_WITHIN_MS = 5000.0  # ms from a commit, while a majority of the control instances runs
LOOK_MARGIN_MS = 300.0  # the interval between two looks at a sidecar, plus a margin
READY_WITHIN_MS = 10_000.0  # ms until a sidecar is ready that starts while no control instance runs
PERSISTED_WITHIN_MS = 1000.0  # ms within which a version in force is stored on a sidecar's disk


@dataclass(slots=True)
class ProcessLooks:
    """One process of a sidecar (1, 2, ...) and the looks at it, until it was ended or replaced."""

    life: SidecarLife
    number: int
    until: float
    looks: list[VersionLook]

    def first_look_at(self, index: int) -> VersionLook | None:
        """The first look at which a version, or a newer one, was in force or refused."""
        return next((look for look in self.looks if max(look.index, look.refused) >= index), None)


def processes(records: DayRecords) -> Iterator[ProcessLooks]:
    """All processes of all sidecars, those of each sidecar in order of their start."""
    looks: dict[tuple[str, int], list[VersionLook]] = {}
    for look in sorted(records.ledger.version_looks, key=lambda look: look.answered):
        looks.setdefault((look.sidecar, look.process), []).append(look)
    over = max((look.answered for look in records.ledger.version_looks), default=0.0)
    for name, lives in records.sidecars.items():
        for position, life in enumerate(lives):
            following = lives[position + 1].start if position + 1 < len(lives) else math.inf
            ends = [at for at in (life.term, life.kill, life.ended) if at is not None]
            until = min([over, following, *ends])
            yield ProcessLooks(life, position + 1, until, looks.get((name, position + 1), []))


def audit_configuration(records: DayRecords) -> Finding:
    """Audit that versions spread in time, are never rolled back, and are refused only where expected."""
    finding = Finding(RULE_NUMBER, TITLE)
    history = ControlHistory(records.ledger.control)
    found = list(processes(records))
    for process in found:
        _audit_propagation(records, finding, history, process)
        _audit_refusals(records, finding, history, process)
        _audit_start_without_control(records, finding, history, process)
    _audit_order(finding, found)
    _audit_digests(finding, found)
    return finding


def _audit_propagation(
    records: DayRecords, finding: Finding, history: ControlHistory, process: ProcessLooks
) -> None:
    """Audit that each committed version is in force, or refused, in time."""
    if process.life.ready is None:
        return
    for version in records.ledger.proposed:
        if version.index is None:
            continue
        since = max(version.answered, process.life.ready)
        deadline = history.deadline(since, IN_FORCE_WITHIN_MS)
        look = process.first_look_at(version.index)
        if deadline is None or (
            look is None and deadline + LOOK_MARGIN_MS + SOCKET_MARGIN_MS > process.until
        ):
            continue
        finding.checked += 1
        at = process.until if look is None else look.answered
        excess = at - deadline - LOOK_MARGIN_MS - SOCKET_MARGIN_MS
        if excess > 0:
            what = "a committed version never came" if look is None else "a committed version came late"
            begun = deadline - IN_FORCE_WITHIN_MS
            evidence = Evidence(
                what, at, f"version {version.index}", "", process.life.name, at - begun, IN_FORCE_WITHIN_MS
            )
            records.add_timed(finding, evidence, excess, begun, process.life.name)


def _audit_refusals(
    records: DayRecords, finding: Finding, history: ControlHistory, process: ProcessLooks
) -> None:
    """Audit that only sidecars that must refuse do, keep the former version, and report the refusal."""
    name = process.life.name
    seen: set[int] = set()
    for look in process.looks:
        if not look.refused or look.refused in seen:
            continue
        seen.add(look.refused)
        finding.checked += 1
        version = f"version {look.refused}"
        if name not in records.rules.refusing_sidecars:
            what = f"a version was refused that others apply: {look.cause}"
            finding.add(Evidence(what, look.answered, version, "", name))
        if look.index >= look.refused:
            finding.add(Evidence("a refused version is in force", look.answered, version, "", name))
        _audit_refusal_report(records, finding, history, process, look)


def _audit_refusal_report(
    records: DayRecords,
    finding: Finding,
    history: ControlHistory,
    process: ProcessLooks,
    look: VersionLook,
) -> None:
    """Audit that the control instances learn of a refusal, or of a later version, in time."""
    deadline = history.deadline(look.answered, IN_FORCE_WITHIN_MS)
    if deadline is None or deadline + LOOK_MARGIN_MS + SOCKET_MARGIN_MS > process.until:
        return
    reports = (
        report.at
        for report in records.ledger.version_reports
        if report.sidecar == look.sidecar and max(report.applied, report.refused) >= look.refused
    )
    at = min(reports, default=process.until)
    excess = at - deadline - LOOK_MARGIN_MS - SOCKET_MARGIN_MS
    if excess > 0:
        begun = deadline - IN_FORCE_WITHIN_MS
        what = "control was not told of a refusal in time"
        evidence = Evidence(
            what, at, f"version {look.refused}", "", look.sidecar, at - begun, IN_FORCE_WITHIN_MS
        )
        records.add_timed(finding, evidence, excess, begun, look.sidecar)


def _audit_start_without_control(
    records: DayRecords, finding: Finding, history: ControlHistory, process: ProcessLooks
) -> None:
    """Audit that a sidecar that starts while no control instance runs still becomes ready."""
    life = process.life
    if not history.none_running(life.start):
        return
    at = process.until if life.ready is None else life.ready
    if life.ready is None and process.until < life.start + READY_WITHIN_MS:
        return
    finding.checked += 1
    excess = at - life.start - READY_WITHIN_MS
    if excess > 0:
        what = "a start without control was not ready in time"
        evidence = Evidence(what, at, "", "", life.name, at - life.start, READY_WITHIN_MS)
        records.add_timed(finding, evidence, excess, life.start, life.name)


def _audit_order(finding: Finding, found: Sequence[ProcessLooks]) -> None:
    """Audit that no process rolls a version back, nor starts with one older than must be on disk."""
    kept: dict[str, int] = {}
    for process in found:
        name, newest = process.life.name, kept.get(process.life.name, 0)
        for look in process.looks:
            before_ready = process.life.ready is None or look.answered < process.life.ready
            if look.index < newest and not (before_ready and look.index == 0):
                what = "a version went back"
                finding.add(Evidence(what, look.answered, f"version {look.index} after {newest}", "", name))
                break
            newest = max(newest, look.index)
        on_disk = (
            look.index for look in process.looks if look.answered <= process.until - PERSISTED_WITHIN_MS
        )
        kept[name] = max([kept.get(name, 0), *on_disk])


def _audit_digests(finding: Finding, found: Sequence[ProcessLooks]) -> None:
    """Audit that a version has the same content at all sidecars."""
    digests: dict[int, str] = {}
    reported: set[tuple[str, int]] = set()
    for process in found:
        for look in process.looks:
            differs = digests.setdefault(look.index, look.digest) != look.digest
            if differs and (look.sidecar, look.index) not in reported:
                reported.add((look.sidecar, look.index))
                what = "a version has another content than elsewhere"
                version = f"version {look.index}"
                finding.add(Evidence(what, look.answered, version, "", look.sidecar))


@dataclass(slots=True, frozen=True)
class Distribution:
    """How versions spread. `delays` (ms): from each commit until it was seen at the last sidecar."""

    proposed: int
    committed: int
    delays: tuple[float, ...]


def distribution(records: DayRecords) -> Distribution:
    """Compute a day's figures. A delay covers the sidecars that were ready at the commit and got it."""
    committed = [version for version in records.ledger.proposed if version.index is not None]
    found = list(processes(records))
    delays: list[float] = []
    for version in committed:
        assert version.index is not None
        reached = (
            process.first_look_at(version.index)
            for process in found
            if process.life.ready is not None and process.life.ready <= version.answered <= process.until
        )
        times = [look.answered - version.answered for look in reached if look is not None]
        if times:
            delays.append(max(0.0, *times))
    return Distribution(len(records.ledger.proposed), len(committed), tuple(delays))
