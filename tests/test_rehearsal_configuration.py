"""Days with a distributed configuration: the finding on versions, on made-up ledgers and on real days."""

from __future__ import annotations

import math
import os
import signal
import subprocess
import sys
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path

import pytest
import uvloop

from millgw.cli.exits import INTERRUPTED
from millgw.rehearsal.audit.auditor import audit
from millgw.rehearsal.audit.configuration_versions import (
    IN_FORCE_WITHIN_MS,
    PERSISTED_WITHIN_MS,
    READY_WITHIN_MS,
    Distribution,
    distribution,
)
from millgw.rehearsal.audit.control_history import ControlHistory
from millgw.rehearsal.audit.day_records import DayRecords
from millgw.rehearsal.audit.findings import Finding, Verdict
from millgw.rehearsal.audit.rules import AuditRules
from millgw.rehearsal.configuration_changes import CLASSES_INTERVAL, change_to_propose
from millgw.rehearsal.report import PlayedDay, judge, print_report, to_json
from millgw.rehearsal.scenario import ScenarioError
from millgw.rehearsal.scenario_files import parse
from millgw.rehearsal.testbed import Testbed
from millgw.standins.configuration_ledger import ControlLife, ProposedVersion, VersionLook, VersionReport
from millgw.standins.ledger import Ledger, Sample, SidecarLife
from tests.alone import alone
from tests.kinds import pure_run_only
from tests.rig import TEST_TIMEOUT
from tests.test_rehearsal_command import ROOT, processes, wait_until

pytestmark = pure_run_only

POLL_INTERVAL_MS = 200.0  # ms between two polls in the ledger
SECONDS = 30
RULES = AuditRules(classes={}, distributed=True, refusing_sidecars=frozenset({"b"}))
SMALL_DAY = """
seconds = 6.0
[fleet]
endpoints = 2
tiers = [1.0]
work = [0.3]
calls = []
sidecars = 3
[traffic]
rate = 10.0
[configuration]
changes_per_minute = 120
refusing = 1
"""
LEADER_LOST = '[[faults]]\nkind = "control-instance-lost"\nstart_s = 1\nlength_s = 1\nshare = 1.0\n'
ALL_LOST = (
    '[[faults]]\nkind = "control-all-lost"\nstart_s = 1\nlength_s = 3\nshare = 1.0\n'
    '[[faults]]\nkind = "sidecar-killed"\nstart_s = 1.5\nlength_s = 0.2\nshare = 0.4\n'
)


@pytest.fixture(autouse=True)
def no_other_days() -> Iterator[None]:
    """Run alone: if other runs take the cores, lateness proves nothing."""
    with alone():
        yield


def version_ledger() -> Ledger:
    """Two sidecars, three instances and a version each 5 s: `a` applies all, `b` refuses the second."""
    ledger = Ledger()
    ledger.control += [ControlLife(f"c{number}", -2000.0, -1000.0) for number in range(3)]
    ledger.sidecars += [SidecarLife(name, 0, -900.0, -500.0) for name in "ab"]
    ledger.proposed += [ProposedVersion(n * 5000 - 10.0, n * 5000.0, "committed", n) for n in range(1, 5)]
    for at in range(0, SECONDS * 1000, int(POLL_INTERVAL_MS)):
        index = min(4, at // 5000)
        ledger.version_looks.append(VersionLook("a", 1, at, at + 2.0, index, f"d{index}"))
        refused = 2 if index == 2 else 0
        index -= bool(refused)
        ledger.version_looks.append(VersionLook("b", 1, at, at + 2.0, index, f"d{index}", refused, "no"))
    ledger.version_reports.append(VersionReport("b", 10_300.0, 1, 2))
    ledger.samples += [Sample(float(at), 1.0) for at in range(0, SECONDS * 1000, 50)]
    return ledger


def version_finding(ledger: Ledger, rules: AuditRules = RULES) -> Finding:
    return audit(ledger, rules).findings[-1]


def change_reported_version(ledger: Ledger, sidecar: str, since: float, index: int, digest: str = "") -> None:
    """Change the version that a sidecar reports from a time on."""
    ledger.version_looks = [
        replace(look, index=index, digest=digest or f"d{index}", refused=0)
        if look.sidecar == sidecar and look.asked >= since
        else look
        for look in ledger.version_looks
    ]


def test_versions_that_spread_in_order_hold_and_are_told_in_figures() -> None:
    ledger = version_ledger()
    finding = version_finding(ledger)
    assert finding.verdict is Verdict.HELD and finding.checked == 9, "four versions at two, and a refusal"
    told = distribution(DayRecords(ledger, RULES))
    assert told == Distribution(4, 4, (2.0, 2.0, 2.0, 2.0))


def test_a_day_without_distribution_has_the_four_rules_alone() -> None:
    assert [f.rule for f in audit(version_ledger(), AuditRules(classes={})).findings] == [1, 2, 3, 4]


def test_a_sidecar_that_is_cut_off_is_named_with_each_version_that_never_came() -> None:
    ledger = version_ledger()
    change_reported_version(ledger, "a", 5000.0, 0)
    finding = version_finding(ledger)
    assert finding.kinds == {"a committed version never came": 4}
    assert all(evidence.sidecar == "a" for evidence in finding.evidence)
    first = finding.evidence[0]
    assert first.request == "version 1" and first.bound == IN_FORCE_WITHIN_MS and (first.figure or 0) > 20_000


def test_a_late_version_is_told_with_how_late_it_was() -> None:
    ledger = version_ledger()
    change_reported_version(ledger, "a", 5000.0, 0)
    change_reported_version(ledger, "a", 11_200.0, 2)
    change_reported_version(ledger, "a", 15_000.0, 4)
    (evidence,) = version_finding(ledger).evidence
    assert (evidence.what, evidence.sidecar, evidence.figure) == (
        "a committed version came late",
        "a",
        6202.0,
    )


def test_a_version_that_comes_late_while_the_rig_lagged_as_much_is_excused() -> None:
    ledger = version_ledger()
    change_reported_version(ledger, "a", 5000.0, 0)
    change_reported_version(ledger, "a", 11_200.0, 2)
    change_reported_version(ledger, "a", 15_000.0, 4)
    ledger.samples.append(Sample(9000.0, 2000.0))
    finding = version_finding(ledger)
    assert finding.broken == 0 and finding.excused == 1


@pytest.mark.parametrize("instances", [1, 2])
def test_time_without_a_majority_does_not_count(instances: int) -> None:
    """With one of three instances down a version is due after 5 s; with two down, 5 s after one is back."""
    ledger = version_ledger()
    change_reported_version(ledger, "a", 5000.0, 0)
    change_reported_version(ledger, "a", 16_000.0, 4)
    for life in list(ledger.control)[:instances]:
        life.kill = 6000.0
        ledger.control.append(ControlLife(life.instance, 11_000.0, 11_500.0))
    assert version_finding(ledger).broken == (2 if instances == 1 else 0)


def test_a_version_that_goes_back_is_found() -> None:
    ledger = version_ledger()
    change_reported_version(ledger, "a", 26_000.0, 3)
    finding = version_finding(ledger)
    assert finding.kinds == {"a version went back": 1}
    assert finding.evidence[0].request == "version 3 after 4" and finding.evidence[0].sidecar == "a"


@pytest.mark.parametrize(
    ("before_kill", "broken"), [(PERSISTED_WITHIN_MS / 2, 0), (2 * PERSISTED_WITHIN_MS, 1)]
)
def test_a_restarted_sidecar_begins_with_what_must_have_been_on_its_disk(
    before_kill: float, broken: int
) -> None:
    ledger = version_ledger()
    first = ledger.sidecars[0]
    first.kill = first.ended = 20_000.0 + before_kill
    ledger.sidecars.append(SidecarLife("a", 0, first.kill + 10, first.kill + 20))
    for look in ledger.version_looks:
        if look.sidecar == "a" and look.asked > first.kill:
            look.process = 2
            if look.asked < first.kill + 2 * POLL_INTERVAL_MS:
                look.index, look.digest = 3, "d3"
    finding = version_finding(ledger)
    assert finding.broken == broken and set(finding.kinds) <= {"a version went back"}


def test_another_content_of_a_version_is_found() -> None:
    ledger = version_ledger()
    change_reported_version(ledger, "a", 20_000.0, 4, "other")
    assert version_finding(ledger).kinds == {"a version has another content than elsewhere": 1}


def test_a_sidecar_that_refuses_what_it_should_apply_is_found() -> None:
    finding = version_finding(version_ledger(), replace(RULES, refusing_sidecars=frozenset()))
    assert finding.kinds == {"a version was refused that others apply: no": 1}


def test_a_refused_version_in_force_is_found() -> None:
    ledger = version_ledger()
    for look in ledger.version_looks:
        if look.refused:
            look.index, look.digest = 2, "d2"
    assert version_finding(ledger).kinds == {"a refused version is in force": 1}


def test_a_refusal_that_control_never_hears_of_is_found() -> None:
    ledger = version_ledger()
    ledger.version_reports.clear()
    finding = version_finding(ledger)
    assert finding.kinds == {"control was not told of a refusal in time": 1}
    assert finding.evidence[0].sidecar == "b"


@pytest.mark.parametrize("away", [True, False])
def test_a_start_without_control_must_be_ready_all_the_same(away: bool) -> None:
    ledger = version_ledger()
    if away:
        for life in ledger.control:
            life.kill = 20_000.0 - 900.0
    ledger.sidecars.append(SidecarLife("c", 0, 20_000.0 - 800.0))
    finding = version_finding(ledger)
    if away:
        assert finding.kinds == {"a start without control was not ready in time": 1}
        assert finding.evidence[0].sidecar == "c" and (finding.evidence[0].figure or 0) > READY_WITHIN_MS
    else:
        assert finding.verdict is Verdict.HELD


def test_the_deadline_of_a_version_stands_after_a_whole_span_with_a_majority() -> None:
    lives = [ControlLife("a", 0.0, 10.0), ControlLife("b", 0.0, 20.0, 100.0), ControlLife("c", 0.0)]
    lives.append(ControlLife("b", 150.0, 200.0))
    history = ControlHistory(lives)
    assert [history.deadline(since, 60.0) for since in (0.0, 30.0, 50.0, 300.0)] == [80.0, 90.0, 260.0, 360.0]
    assert history.none_running(5.0) and not history.none_running(150.0)


def test_changes_keep_within_what_the_day_allows() -> None:
    scenario = parse(SMALL_DAY, "tiny")
    classes = {c.name: c.deadline_ms for c in scenario.classes}
    values = [change_to_propose(scenario, number).value for number in range(20)]
    assert len({str(value) for value in values}) > 4
    for number, value in enumerate(values):
        assert value is not None
        assert 1 <= value["limits"]["tryLimit"] <= scenario.limits.attempts
        assert ("classes" in value) == (number % CLASSES_INTERVAL == CLASSES_INTERVAL - 1)
        for fields in value.get("classes", ()):
            assert 1 < fields["deadline"] / classes[fields["name"]] < 1.1


@pytest.mark.parametrize(
    ("text", "says"),
    [
        ('[[faults]]\nkind = "control-all-lost"\nstart_s = 1\n', "the day has none"),
        ("[configuration]\ninstances = 0\n", "configuration.instances"),
        ("[fleet]\nsidecars = 13\n[configuration]\nrefusing = 1\n", "configuration.refusing"),
    ],
)
def test_tables_that_do_not_fit_are_refused(text: str, says: str) -> None:
    with pytest.raises(ScenarioError, match=says):
        parse(text, "day.toml")


# Real processes


def play_day(text: str) -> tuple[PlayedDay, Ledger]:
    scenario = parse(text, "tiny")
    ledger, facts = uvloop.run(Testbed(scenario).play())
    return judge("tiny", scenario, ledger, facts), ledger


def test_versions_spread_while_the_leader_is_killed(capsys: pytest.CaptureFixture[str]) -> None:
    day, ledger = play_day(SMALL_DAY + LEADER_LOST)
    assert not day.audit.broken, day.audit.findings
    assert day.audit.findings[-1].verdict is Verdict.HELD
    assert day.distribution is not None and day.distribution.committed >= 3
    lost = [life.instance for life in ledger.control if life.kill is not None and life.kill < 5000.0]
    assert len(lost) == 1 and [life.instance for life in ledger.control[3:]] == lost
    refused = {look.sidecar for look in ledger.version_looks if look.refused}
    assert refused == {"n0-0"} and any(report.refused for report in ledger.version_reports)
    (told,) = to_json([day])["days"]
    assert [rule["rule"] for rule in told["rules"]] == [1, 2, 3, 4, 5]
    assert told["configuration"]["committed"] == day.distribution.committed
    print_report([day])
    assert "in force at the last sidecar after" in capsys.readouterr().out


def test_sidecars_serve_on_and_start_without_control() -> None:
    day, ledger = play_day(SMALL_DAY + ALL_LOST)
    assert not day.audit.broken, day.audit.findings
    assert day.audit.findings[-1].verdict is Verdict.HELD
    down = next(life.kill for life in ledger.control if life.kill is not None)
    returned = [life.ready for life in ledger.control[3:] if life.ready is not None]
    back = min(returned, default=math.inf)  # on a busy machine none may be back before the day ends
    assert len(ledger.control) == 6 and back - down > 2500
    restarted = [life for life in ledger.sidecars if down < life.start < back]
    assert restarted and all(life.ready is not None for life in restarted)
    assert any(call.status == 200 for call in ledger.calls if down < call.due < back)
    kept = [look.index for look in ledger.version_looks if down < look.asked < back]
    assert kept and min(kept) > 0, "the last good version stays"


def test_a_sidecar_that_asks_at_wrong_addresses_is_found() -> None:
    scenario = parse(SMALL_DAY.replace("seconds = 6.0", "seconds = 7.0"), "tiny")
    testbed = Testbed(scenario)
    written = testbed.operator

    def operator(sidecar: str, without: str = "") -> str:
        text = written(sidecar, without)
        if sidecar != "n0-1":
            return text
        assert testbed.control is not None
        for address in testbed.control.all_addresses:
            text = text.replace(str(address), f"127.0.0.1:{address.port % 7 + 1}")
        return text

    testbed.operator = operator  # type: ignore[method-assign]
    ledger, facts = uvloop.run(testbed.play())
    finding = judge("cut off", scenario, ledger, facts).audit.findings[-1]
    assert finding.broken or finding.excused
    assert {evidence.sidecar for evidence in finding.evidence} <= {"n0-1"}


@pytest.mark.parametrize("end", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
def test_no_control_instance_is_left_however_the_rig_ends(end: signal.Signals, tmp_path: Path) -> None:
    path = tmp_path / "day.toml"
    path.write_text(SMALL_DAY)
    scratch = tmp_path / "scratch"
    scratch.mkdir()
    rig = subprocess.Popen(
        [sys.executable, "-m", "millgw", "rehearse", "run", str(path)],
        env=os.environ | {"TMPDIR": str(scratch)}, cwd=ROOT, stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL, start_new_session=True,
    )  # fmt: skip
    wait_until(lambda: len(processes(scratch)) >= 6, "the control instances never came up")
    rig.send_signal(end)
    assert rig.wait(TEST_TIMEOUT) == (-end if end is signal.SIGKILL else INTERRUPTED)
    wait_until(lambda: not processes(scratch), "processes are left")
    wait_until(lambda: not list(scratch.iterdir()), "files are left")
