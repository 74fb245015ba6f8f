"""Tests of the follower's decisions: versions, retry delays, choice of instances, reports."""

from __future__ import annotations

import json
from collections import Counter
from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from millgw.configuration.document import Change, Document, WatchLine, encode_line
from millgw.configuration.follower import (
    FIRST_LINE_TIMEOUT_MS,
    MAX_RETRY_DELAY_MS,
    MIN_RETRY_DELAY_MS,
    PREFERRED_RETRY_JITTER,
    PREFERRED_RETRY_MS,
    RECONNECT_SPREAD_MS,
    REPORT_INTERVAL_MS,
    REPORT_JITTER_MS,
    STABLE_WATCH_MS,
    WATCH_SILENCE_MS,
    Connect,
    Disconnect,
    Follower,
    FollowerAction,
    LineOutcome,
    Phase,
    Report,
    SendReport,
    Status,
    preferred_order,
)
from millgw.configuration.reports import Report as Reported
from millgw.configuration.reports import decode_report

DETERMINISTIC = hypothesis_settings(derandomize=True, deadline=None, max_examples=150)
INSTANCES = ("a:1", "b:1", "c:1")


def make_history(count: int, epoch: int = 1) -> list[Document]:
    """The documents of all versions, starting with the empty one."""
    documents = [Document()]
    for index in range(1, count + 1):
        after = documents[-1].copy()
        after.apply(
            index, epoch, [Change("settings", {"tick": index}), Change(f"other.{index % 3}", {"n": index})]
        )
        documents.append(after)
    return documents


VERSIONS = make_history(12)


def encode_delta(before: Document, after: Document) -> bytes:
    changes = [Change(n, v) for n, v in after.entries.items() if before.entries.get(n) != v]
    return encode_line(WatchLine(after.index, after.epoch, False, after.digest(), tuple(changes)))


def encode_snapshot(document: Document) -> bytes:
    return encode_line(document.snapshot())


def run_actions(follower: Follower, now: float) -> list[FollowerAction]:
    """All actions that are due."""
    out: list[FollowerAction] = []
    while (step := follower.next_action(now)) is not None:
        out.append(step)
        assert len(out) < 10, "actions do not end"
    return out


def make_watching_follower(now: float = 0.0, document: Document | None = None, choice: int = 0) -> Follower:
    """A follower whose watch has received its first heartbeat."""
    follower = Follower(INSTANCES, 1, document)
    if document is not None:
        follower.accepted(now)
    assert isinstance(run_actions(follower, now)[0], Connect)
    follower.handle_line(now, b"\n")
    return follower


# Versions


def test_the_first_connect_is_immediate_and_a_first_version_is_accepted() -> None:
    follower = Follower(INSTANCES, 1)
    assert run_actions(follower, 0.0) == [Connect("a:1", None)]
    assert follower.handle_line(3.0, encode_snapshot(VERSIONS[5])) is LineOutcome.NEWER
    assert follower.latest == VERSIONS[5]
    follower.accepted(3.0)
    assert (follower.applied, follower.applied_digest) == (5, VERSIONS[5].digest())


def test_a_restart_watches_from_its_last_good_version() -> None:
    follower = Follower(INSTANCES, 1, VERSIONS[4])
    follower.accepted(0.0)
    assert run_actions(follower, 0.0) == [Connect("a:1", 4)]
    assert follower.handle_line(1.0, encode_delta(VERSIONS[4], VERSIONS[6])) is LineOutcome.NEWER


def test_what_is_older_or_the_same_is_ignored() -> None:
    follower = make_watching_follower(document=VERSIONS[6])
    for line in (
        encode_snapshot(VERSIONS[3]),
        encode_snapshot(VERSIONS[6]),
        encode_delta(VERSIONS[5], VERSIONS[6]),
    ):
        assert follower.handle_line(1.0, line) is LineOutcome.KNOWN
    assert follower.latest == VERSIONS[6] and follower.contradictions == 0
    assert follower.handle_line(2.0, encode_delta(VERSIONS[6], VERSIONS[7])) is LineOutcome.NEWER


def test_the_same_version_with_another_digest_is_reported_and_ends_the_watch() -> None:
    follower = make_watching_follower(document=VERSIONS[6])
    other = make_history(6, epoch=2)[6]
    other.apply(6, 2, [Change("settings", {"tick": 99})])
    assert follower.handle_line(1000.0, encode_snapshot(other)) is LineOutcome.CONTRADICTS
    assert follower.latest == VERSIONS[6]
    found = run_actions(follower, 1000.0 + REPORT_INTERVAL_MS)
    assert isinstance(found[0], SendReport) and isinstance(found[1], Disconnect)
    report = found[0].report
    assert report.status is Status.REFUSED and report.index == 6
    assert report.cause == "digest: version 6 has another content than before"


def test_a_newer_version_of_an_older_epoch_is_a_conflict() -> None:
    documents = make_history(6, epoch=4)
    follower = make_watching_follower(document=documents[6])
    old = make_history(8, epoch=3)
    assert follower.handle_line(1.0, encode_snapshot(old[8])) is LineOutcome.CONTRADICTS
    assert follower.latest == documents[6] and follower.contradictions == 1


def test_a_wrong_digest_causes_a_snapshot_request_and_a_wrong_snapshot_another_instance() -> None:
    follower = make_watching_follower(document=VERSIONS[4])
    assert follower.handle_line(100.0, encode_delta(VERSIONS[6], VERSIONS[7])) is LineOutcome.GAP
    assert follower.latest == VERSIONS[4], "none of it was applied"
    assert run_actions(follower, 100.0) == [Connect("a:1", None)], "a snapshot at once from the same instance"
    wrong = WatchLine(7, 1, True, "0" * 32, ())
    assert follower.handle_line(110.0, encode_line(wrong)) is LineOutcome.GAP
    assert run_actions(follower, 110.0) == [] and follower.connect_at > 110.0
    assert run_actions(follower, follower.connect_at) == [Connect("b:1", None)]
    assert follower.handle_line(follower.connect_at, encode_snapshot(VERSIONS[7])) is LineOutcome.NEWER


def test_lines_that_never_follow_do_not_cause_a_tight_loop_of_connects() -> None:
    follower, now, connects = make_watching_follower(document=VERSIONS[4]), 0.0, 0
    while now < 20_000.0:
        for step in run_actions(follower, now):
            if isinstance(step, Connect):
                connects += 1
                follower.handle_line(now, encode_snapshot(VERSIONS[4]) if step.since is None else b"\n")
                follower.handle_line(now, encode_delta(VERSIONS[6], VERSIONS[7]))
        now += 5.0
    assert connects <= 30


def test_a_refused_version_is_not_tried_again() -> None:
    follower = make_watching_follower(document=VERSIONS[4])
    follower.handle_line(1.0, encode_delta(VERSIONS[4], VERSIONS[5]))
    follower.rejected(1.0, "settings.tick: is no number")
    assert (follower.applied, follower.refused, follower.refusal_cause) == (
        4,
        5,
        "settings.tick: is no number",
    )
    assert follower.handle_line(2.0, encode_snapshot(VERSIONS[5])) is LineOutcome.KNOWN, "not tried again"
    assert follower.handle_line(3.0, encode_delta(VERSIONS[5], VERSIONS[6])) is LineOutcome.NEWER
    follower.accepted(3.0)
    assert (follower.applied, follower.refused, follower.refusal_cause) == (6, None, "")


@pytest.mark.parametrize("data", [b"{", b"[]\n", b'{"index":-1}', b"\xff\xfe"])
def test_a_line_that_cannot_be_read_ends_the_watch(data: bytes) -> None:
    follower = make_watching_follower(document=VERSIONS[4])
    assert follower.handle_line(1.0, data) is LineOutcome.UNREADABLE
    assert run_actions(follower, 1.0) == [] and follower.latest == VERSIONS[4]


LINES = st.one_of(
    st.tuples(st.just("whole"), st.integers(0, 12)),
    st.tuples(st.just("delta"), st.integers(0, 11), st.integers(1, 12)),
    st.tuples(st.just("heartbeat")),
    st.tuples(st.just("junk"), st.binary(max_size=20)),
    st.tuples(st.just("wrong digest"), st.integers(1, 12)),
    st.tuples(st.just("other history"), st.integers(1, 12), st.integers(0, 3)),
    st.tuples(st.just("ended")),
    st.tuples(st.just("wait"), st.floats(0.0, 12_000.0)),
    st.tuples(st.just("refuse next")),
    st.tuples(st.just("unreported")),
)


def make_line(kind: str, args: list[object]) -> bytes:
    """A valid or invalid line of the watch."""
    match kind, args:
        case "whole", [int(index)]:
            return encode_snapshot(VERSIONS[index])
        case "delta", [int(before), int(after)]:
            return encode_delta(VERSIONS[min(before, after)], VERSIONS[after])
        case "junk", [bytes(data)]:
            return data.replace(b"\n", b"?") + b"?"
        case "wrong digest", [int(index)]:
            return encode_line(WatchLine(index, 1, True, "0" * 32, ()))
        case "other history", [int(index), int(epoch)]:
            other = make_history(index, epoch)[index]
            other.apply(index, epoch, [Change("settings", {"tick": -index})])
            return encode_snapshot(other)
    return b"\n"


@DETERMINISTIC
@given(st.lists(LINES, max_size=60), st.integers(0, 2**32))
def test_versions_never_go_back_and_a_good_newer_one_is_applied_in_the_end(
    events: list[tuple[object, ...]], seed: int
) -> None:
    follower, now, applied, refuse = Follower(INSTANCES, seed), 0.0, 0, False
    open_connects = 0
    for kind, *args in events:
        for step in run_actions(follower, now):
            if isinstance(step, Connect):
                assert open_connects == 0, "one connection at a time"
                open_connects = 1
            elif isinstance(step, Disconnect):
                open_connects = 0
        before = follower.latest.index
        if kind == "wait":
            assert isinstance(args[0], float)
            now += args[0]
        elif kind == "ended":
            follower.connection_ended(now)
            open_connects = 0
        elif kind == "refuse next":
            refuse = True
        elif kind == "unreported":
            follower.report_failed(now, Report(applied, "", Status.APPLIED))
        elif open_connects:
            line_outcome = follower.handle_line(now, make_line(str(kind), args))
            if line_outcome in (LineOutcome.UNREADABLE, LineOutcome.GAP):
                open_connects = 0
            if line_outcome is LineOutcome.NEWER and refuse:
                follower.rejected(now, "no")
                refuse = False
            elif line_outcome is LineOutcome.NEWER:
                follower.accepted(now)
        assert follower.latest.index >= before
        assert follower.applied >= applied
        assert follower.latest.digest() == follower.latest_digest
        applied = follower.applied
        if follower.phase is Phase.WAITING:
            assert follower.connect_at <= now + max(MAX_RETRY_DELAY_MS, RECONNECT_SPREAD_MS)
        assert follower.due() < float("inf")
    # From now on every instance sends a valid newer version, which must be in force within the bound.
    good = follower.latest.copy()
    good.apply(follower.latest.index + 1, follower.latest.epoch + 1, [Change("settings", {"tick": 7})])
    end = now + 2 * MAX_RETRY_DELAY_MS + WATCH_SILENCE_MS + REPORT_INTERVAL_MS
    while follower.applied != good.index:
        assert now <= end, "a good newer version was never applied"
        run_actions(follower, now)
        if (
            follower.phase is not Phase.WAITING
            and follower.handle_line(now, encode_snapshot(good)) is LineOutcome.NEWER
        ):
            follower.accepted(now)
        now = max(now + 1.0, min(follower.due(), now + 1000.0))


# Choice of instances and retry delays


def test_sidecars_are_spread_evenly_and_those_of_a_lost_instance_over_all_others() -> None:
    instances = [f"10.0.0.{i}:7300" for i in range(6)]
    first = Counter(preferred_order(f"n{i}", (), instances)[0] for i in range(670))
    assert max(first.values()) < 1.3 * 670 / 6 and min(first.values()) > 0.7 * 670 / 6
    second = Counter(
        order[1] for i in range(670) if (order := preferred_order(f"n{i}", (), instances))[0] == instances[0]
    )
    assert len(second) == 5 and max(second.values()) < 0.4 * first[instances[0]]


def test_the_relays_of_the_own_zone_come_first() -> None:
    order = preferred_order("n1", ("r1:1", "r2:1"), ("a:1", "b:1", "r1:1"))
    assert set(order[:2]) == {"r1:1", "r2:1"} and set(order[2:]) == {"a:1", "b:1"}


def test_followers_of_a_lost_instance_reconnect_spread_over_a_second() -> None:
    instances = [f"10.0.0.{i}:7300" for i in range(6)]
    when: list[float] = []
    for i in range(670):
        follower = Follower(preferred_order(f"n{i}", (), instances), i)
        run_actions(follower, 0.0)
        follower.handle_line(1.0, b"\n")
        follower.line_deadline = 1e9
        follower.connection_ended(60_000.0)
        when.append(follower.connect_at - 60_000.0)
    assert max(when) <= RECONNECT_SPREAD_MS
    slots = Counter(int(at / 100) for at in when)
    assert max(slots.values()) < 2 * 670 / 10, "no tenth of the second has twice its even share"


def test_the_retry_delay_grows_with_consecutive_failures_within_bounds() -> None:
    follower, now = Follower(INSTANCES, 5), 0.0
    waits, tried = [], []
    for _ in range(40):
        (step,) = run_actions(follower, now)
        assert isinstance(step, Connect)
        tried.append(step.instance)
        follower.connection_ended(now)
        waits.append(follower.connect_at - now)
        now = follower.connect_at
    assert all(MIN_RETRY_DELAY_MS - 0.01 <= wait <= MAX_RETRY_DELAY_MS + 0.01 for wait in waits), (
        "except for rounding"
    )
    assert waits[0] <= 3 * MIN_RETRY_DELAY_MS and sum(waits[20:]) / 20 > MAX_RETRY_DELAY_MS / 2
    assert set(tried) == set(INSTANCES) and tried[:3] == list(INSTANCES)


@pytest.mark.parametrize("outage_s", [1, 9, 60])
def test_after_an_outage_a_majority_is_found_in_time_while_one_instance_is_still_lost(outage_s: int) -> None:
    """A version committed as soon as a majority is back must be in force everywhere within 5 s."""
    for seed in range(300):
        lost = INSTANCES[seed % len(INSTANCES)]
        follower, now, returned = Follower(INSTANCES, seed), 0.0, outage_s * 1000.0
        while True:
            (step,) = run_actions(follower, now)
            assert isinstance(step, Connect)
            if now >= returned and step.instance != lost:
                break
            follower.connection_ended(now)
            now = follower.connect_at
        assert now - returned <= 5000.0


def test_an_instance_that_never_answers_or_falls_silent_is_left() -> None:
    follower = Follower(INSTANCES, 1)
    run_actions(follower, 0.0)
    assert follower.due() == FIRST_LINE_TIMEOUT_MS
    assert isinstance(run_actions(follower, FIRST_LINE_TIMEOUT_MS)[0], Disconnect)
    assert run_actions(follower, follower.connect_at) == [Connect("b:1", None)]
    at = follower.connect_at
    follower.handle_line(at + 5.0, b"\n")
    assert follower.due() == at + 5.0 + WATCH_SILENCE_MS
    follower.handle_line(at + 2000.0, b"\n")
    assert run_actions(follower, at + 2000.0 + WATCH_SILENCE_MS - 1) == []
    assert isinstance(run_actions(follower, at + 2000.0 + WATCH_SILENCE_MS)[0], Disconnect)
    assert follower.connect_at <= at + 2000.0 + WATCH_SILENCE_MS + RECONNECT_SPREAD_MS


def test_the_follower_returns_to_its_preferred_instance() -> None:
    follower = Follower(INSTANCES, 1)
    run_actions(follower, 0.0)
    follower.connection_ended(0.0)
    at = follower.connect_at
    run_actions(follower, at)
    follower.handle_line(at, b"\n")
    now = at
    while follower.instance_index != 0:
        now += 2000.0
        assert now < at + (1 + PREFERRED_RETRY_JITTER) * PREFERRED_RETRY_MS + 2000.0
        follower.handle_line(now, b"\n")
        found = run_actions(follower, now)
    assert now > at + (1 - PREFERRED_RETRY_JITTER) * PREFERRED_RETRY_MS
    assert isinstance(found[0], Disconnect) and found[1] == Connect("a:1", None)


def test_watches_that_end_soon_do_not_cause_a_storm_of_connects() -> None:
    follower, now, connects = Follower(INSTANCES, 3), 0.0, 0
    while now < 60_000.0:
        for step in run_actions(follower, now):
            if isinstance(step, Connect):
                connects += 1
                follower.handle_line(now, b"\n")
                follower.connection_ended(now + 1.0)
        now += 10.0
    assert connects < 60_000.0 / STABLE_WATCH_MS * 4


# Reports


def collect_reports(follower: Follower, since: float, until: float) -> list[tuple[float, Report]]:
    found, now = [], since
    while now <= until:
        follower.handle_line(now, b"\n")
        found += [(now, s.report) for s in run_actions(follower, now) if isinstance(s, SendReport)]
        now += 10.0
    return found


def test_a_report_is_sent_once_a_second_at_most_and_only_the_newest() -> None:
    follower, now = make_watching_follower(), 0.0
    for index in range(1, 9):
        now = 40.0 * index
        follower.handle_line(now, encode_delta(VERSIONS[index - 1], VERSIONS[index]))
        follower.accepted(now)
    sent = collect_reports(follower, now, now + 4000.0)
    assert [report.index for _, report in sent][-1] == 8 and len(sent) <= 2
    assert sent[0][0] <= now + REPORT_JITTER_MS + 10.0
    assert all(b[0] - a[0] >= REPORT_INTERVAL_MS for a, b in pairwise(sent))


def test_a_report_is_repeated_on_a_new_connection_and_after_a_failure() -> None:
    follower = make_watching_follower(document=VERSIONS[3])
    ((_, report),) = collect_reports(follower, 0.0, 3000.0)
    assert report == Report(3, VERSIONS[3].digest(), Status.APPLIED)
    follower.report_failed(3000.0, report)
    assert [r for _, r in collect_reports(follower, 3000.0, 6000.0)] == [report]
    follower.connection_ended(6000.0)
    run_actions(follower, follower.connect_at)
    assert [r for _, r in collect_reports(follower, follower.connect_at, follower.connect_at + 3000.0)] == [
        report
    ]


def test_a_refusal_is_reported_even_if_a_newer_version_arrives_before_its_report_is_sent() -> None:
    """The instance would otherwise miss it, as reports are a second apart and versions need not be."""
    follower = make_watching_follower(document=VERSIONS[4])
    collect_reports(follower, 0.0, 3000.0)
    now = 3000.0
    follower.handle_line(now, encode_delta(VERSIONS[4], VERSIONS[5]))
    follower.rejected(now, "settings.tick: is no number")
    follower.handle_line(now, encode_delta(VERSIONS[5], VERSIONS[6]))
    follower.accepted(now)
    ((_, report),) = collect_reports(follower, now, now + 3000.0)
    assert (report.status, report.index) == (Status.APPLIED, 6)
    assert (report.refused, report.refused_cause) == (5, "settings.tick: is no number")


def test_the_json_of_a_report() -> None:
    fields = json.loads(Report(43, "9f", Status.REFUSED, "x" * 1000).encode("n3"))
    assert fields == {"name": "n3", "index": 43, "digest": "9f", "status": "refused", "cause": "x" * 300}
    assert "cause" not in json.loads(Report(43, "9f", Status.APPLIED).encode("n3"))
    after = Report(44, "9f", Status.APPLIED, refused=43, refused_cause="y" * 1000)
    assert decode_report(after.encode("n3")) == Reported("n3", 44, "9f", Status.APPLIED, "", 43, "y" * 300)
