"""Rehearsal logic without sockets: arrivals, scenarios, faults, capacity, the registry, search and soak."""

from __future__ import annotations

import asyncio
import itertools
import math
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from millgw.load import arrivals
from millgw.rehearsal import fault_schedules
from millgw.rehearsal.fault_plan import crowds, plan_faults
from millgw.rehearsal.page import render_page
from millgw.rehearsal.scenario import Fault, Scenario, ScenarioError
from millgw.rehearsal.scenario_checks import validate
from millgw.rehearsal.scenario_files import load, parse, shipped, to_toml
from millgw.rehearsal.scenario_overrides import OPTIONAL, SCALES, with_overrides
from millgw.rehearsal.soak_schedules import DAY_AFTER_OUTAGE_S, draw_soak
from millgw.rehearsal.summary import AnswerWorth, count_hit_by_upgrades, summarize
from millgw.rehearsal.traffic import draw_arrivals
from millgw.standins.capacity import AdmissionQueue, Processor
from millgw.standins.discovery_server import OutageKind
from millgw.standins.endpoint_registry import EndpointRegistry, Entry
from millgw.standins.ledger import (
    Attempt,
    AttemptOutcome,
    Call,
    End,
    InjectedFault,
    Ledger,
    Life,
    Upgrade,
    shift_times,
)
from tests.kinds import skip_if_pure

pytestmark = skip_if_pure

SEEDS = st.integers(0, 10**9)


# Arrivals


@given(SEEDS, st.sampled_from(["steady", "wave", "ramp", "bursty"]), st.floats(5.0, 400.0))
@settings(max_examples=40, deadline=None)
def test_the_same_seed_gives_the_same_arrivals_at_about_the_rate(seed: int, shape: str, rate: float) -> None:
    day = replace(Scenario(), seed=seed, traffic=replace(Scenario().traffic, rate=rate, shape=shape))
    one, two = draw_arrivals(day), draw_arrivals(day)
    assert one == two
    assert all(a.at <= b.at for a, b in itertools.pairwise(one))
    expected = rate * day.seconds
    swing = day.traffic.swing * expected if shape == "bursty" else 0.25 * expected / 4
    assert abs(len(one) - expected) <= swing + 6 * math.sqrt(expected) + 3


def test_another_seed_gives_others_and_a_change_of_habits_moves_no_arrival() -> None:
    day = Scenario()
    assert draw_arrivals(day) != draw_arrivals(replace(day, seed=2))
    honest = replace(day, traffic=replace(day.traffic, honour=1.0, impatient=0.5))
    pairs = list(zip(draw_arrivals(day), draw_arrivals(honest), strict=True))
    assert all((a.at, a.cls, a.tenant, a.key) == (b.at, b.cls, b.tenant, b.key) for a, b in pairs)
    assert any(b.leaves is not None for _, b in pairs)


def test_a_crowd_arrives_within_a_second_and_ends() -> None:
    crowd = arrivals.Crowd(2000.0, 8000.0, 4.0)
    moments = list(arrivals.times(100.0, lambda t: 1.0, [crowd], 0.0, 10_000.0, 1))
    per_second = [sum(s * 1000 <= t < (s + 1) * 1000 for t in moments) for s in range(10)]
    assert 300 < per_second[4] < 500 and per_second[0] < 150 and per_second[9] < 150
    with pytest.raises(ValueError, match="zigzag"):
        arrivals.shape("zigzag", 0.1, 1000.0, 1)


# Scenarios


def test_all_that_is_shipped_can_be_read_at_every_scale() -> None:
    assert set(shipped()) == {
        "calm", "silence", "cold-return", "fast-failure", "shared-slowdown", "silence-and-slowdown",
        "overlap-three", "drain-wave", "discovery-outage", "outage-hides-drains", "replaced-at-address",
        "sidecar-killed",
        "rolling-restart", "flash-crowd", "connection-storm", "flood-one-pool", "pool-without-servers",
        "reload-under-flood", "cold-unheard", "zk-mass-expiry", "zk-lingering", "zk-lagging-face",
        "zk-restart-empty", "zk-reconnect-storm", "zk-both-sources", "stale-pools",
        "cold-handshake-storm", "silent-middlebox", "upgrade", "drain-and-resume", "long-bodies",
        "join-during-cold-start", "peer-lies", "peer-vanishes", "all-restart",
        "login-codes-survive", "callers-leave", "watches-silent", "configuration-changes",
        "configuration-control-lost", "zone-lost", "regions-parted", "zone-slow", "drains-that-serve",
        "sidecars-stopped",
    }  # fmt: skip
    for name in shipped():
        scenario = load(name)[1]
        assert scenario.about
        for scale in SCALES:
            assert with_overrides(scenario, scale=scale).fleet.sidecars == SCALES[scale][1]
        assert parse(to_toml(scenario), name) == scenario
        plain = with_overrides(scenario, without=OPTIONAL)
        assert plain.peers is None and plain.connections is None and plain.faults == scenario.faults
        assert plain.zones is None or not plain.zones.places


ONE_SERVICE = "[fleet]\ntiers=[1.0]\nwork=[1.0]\n[[services]]\nclasses = ['codigo-acesso']\nname = 'a'\n"
ONE_FAULT = '[[faults]]\nkind = "silence"\nstart_s = 1\n'


@pytest.mark.parametrize(
    ("text", "line", "says"),
    [
        ("seconds = 20\nseconds = 3\n", None, "line 2"),
        ("about = \n", None, "Invalid value"),
        ("secnds = 3\n", 1, "secnds: no such key"),
        ("seconds = 'x'\n", 1, "seconds: Expected"),
        ("seconds = 0.1\n", 1, "seconds: Expected"),
        ("\n[traffic]\nrate = 3\nshape = 'zigzag'\n", 4, "traffic.shape"),
        ("[traffic]\ntry_share = [0.6, 0.5]\n", 2, "traffic.try_share"),
        (ONE_FAULT + ONE_FAULT.replace("silence", "silent"), 5, "faults[1].kind"),
        (ONE_FAULT + "share = 2\n", 4, "faults[0].share"),
        (ONE_FAULT + "length = 2\n", 4, "faults[0].length: no such key"),
        (ONE_FAULT + "size = 2\n", 4, "faults[0].size: silence has no size"),
        ("[[faults]]\nkind = 'silence'\n", 1, "start_s"),
        ("seconds = 3\n[[faults]]\nkind = 'resets'\nstart_s = 4\n", 4, "past the day's 3"),
        ("[[faults]]\nkind = 'fast-failure'\nsize = 1.5\nstart_s = 4\n", 3, "takes at most 1"),
        ("[[faults]]\nkind = 'slowdown'\nsize = 0.5\nstart_s = 4\n", 3, "takes at least 1"),
        ("[[faults]]\nkind = 'crowd'\ntier = 1\nstart_s = 4\n", 3, "does not hit endpoints"),
        ("[[faults]]\nkind = 'drain'\ntier = 4\nstart_s = 4\n", 3, "faults[0].tier: there are 3"),
        (
            ONE_SERVICE.replace("['codigo-acesso']", "['x']"),
            5,
            "services[0].classes[0]: there is no class 'x'",
        ),
        (
            ONE_SERVICE + "[[services]]\nname='b'\nclasses=['codigo-acesso']\n",
            9,
            "belongs to another service already",
        ),
        (ONE_SERVICE, None, "services: class 'envio-campanha' belongs to no service"),
        ("[[faults]]\nkind = 'reload'\nstart_s = 1\n", 1, "faults[0].service"),
        ("[[faults]]\nkind = 'drain'\nstart_s = 1\nclass = 'x'\n", 4, "faults[0].class"),
        ("[fleet]\nsidecars = 12\n", 2, "none for the front"),
        ("[fleet]\ntiers = [1.0]\n", 1, "fleet.work"),
        ("[discovery]\nnotice_s = [3, 1]\n", 2, "is not a range"),
        ("[cadastro]\nnotice_s = [3, 1]\n", 2, "discovery.notice_s: 3 to 1 is not a range"),
        (ONE_FAULT.replace("silence", "cadastro-reboot"), 2, "faults[0].kind"),
        (
            "[[classes]]\nname='a'\nshare=1\nrepeat='dedup'\nwork_ms=1\naim_ms=2\ndeadline_ms=3\n",
            1,
            "classes[0].window_ms",
        ),
        (
            "[[classes]]\nname='a'\nshare=1\nrepeat='fragile'\nwork_ms=1\naim_ms=5\ndeadline_ms=3\n",
            6,
            "classes[0].aim_ms",
        ),
        (ONE_FAULT + "zone = 'b'\n", 4, "faults[0].zone: the day has no zone 'b'"),
        ("[zones]\nnames = ['a']\nfront = ['b']\n", 3, "zones.front: 'b' is not one of the names"),
        ("[[tenants]]\nname='a'\nshare=1\n[[tenants]]\nname='a'\nshare=1\n", 5, "given twice"),
    ],
)
def test_a_bad_file_is_named_with_line_and_key(text: str, line: int | None, says: str) -> None:
    with pytest.raises(ScenarioError) as caught:
        parse(text, "day.toml")
    said = str(caught.value)
    assert says in said and "\n" not in said
    assert said.startswith(f"day.toml:{line}: " if line else "day.toml: ")


def test_former_names_are_read_as_the_current_ones() -> None:
    current = "[discovery]\nsilent_s = [1, 2]\n[[faults]]\nkind = 'discovery-outage'\nstart_s = 1\n"
    current += '[[faults]]\nkind = "discovery-restart"\nstart_s = 2\n'
    former = current.replace("discovery", "cadastro")
    assert parse(former, "day.toml") == parse(current, "day.toml")
    assert "cadastro" not in to_toml(parse(former, "day.toml"))
    assert load("cadastro-outage") == load("discovery-outage")
    assert parse("[peers]\nliars = 1\n", "day.toml") == parse("[peers]\nbyzantine = 1\n", "day.toml")


def test_files_that_are_not_there_or_not_text(tmp_path: Path) -> None:
    (tmp_path / "x.toml").write_bytes(b"\xff\xfe")
    for name in (str(tmp_path / "x.toml"), str(tmp_path / "none.toml"), "no-such-scenario"):
        with pytest.raises(ScenarioError, match=name.split("/")[-1]):
            load(name)


@given(SEEDS)
@settings(max_examples=60, deadline=None)
def test_what_is_written_is_read_back_the_same(seed: int) -> None:
    day = fault_schedules.draw_schedule(fault_schedules.BASE_DAY, seed)
    assert parse(to_toml(day, "found\nby chance"), "x") == day
    for simpler in fault_schedules.simplifications(day):
        assert parse(to_toml(simpler), "x") == validate(simpler)


def test_the_command_line_changes_what_it_says_and_keeps_the_faults_in_place() -> None:
    day = load("silence")[1]
    half = with_overrides(day, seconds=day.seconds / 2, seed=9)
    assert half.faults[0].start_s == day.faults[0].start_s / 2 and half.seed == 9
    more = with_overrides(day, endpoints=10)
    assert (
        more.fleet.sidecars - more.fleet.endpoint_sidecars()
        == day.fleet.sidecars - day.fleet.endpoint_sidecars()
    )
    with pytest.raises(ScenarioError, match=r"command line: fleet\.sidecars"):
        with_overrides(day, sidecars=3)


# Faults


@given(SEEDS, st.integers(2, 30), st.floats(0.01, 1.0))
@settings(max_examples=80, deadline=None)
def test_faults_are_the_same_for_a_seed_and_spare_one_endpoint(seed: int, size: int, share: float) -> None:
    endpoints = [(f"s{i}", 1 + i % 2) for i in range(size * 2)]
    day = replace(
        Scenario(),
        faults=(Fault(kind="silence", start_s=1, share=share, tier=1), Fault(kind="crowd", start_s=2)),
    )
    planned = plan_faults(day, endpoints, ["n0"], seed)
    assert planned == plan_faults(day, endpoints, ["n0"], seed)
    hit = {fault.target for fault in planned if fault.kind == "silence"}
    first = {name for name, tier in endpoints if tier == 1}
    assert hit and hit <= first and (share == 1 or hit < first)
    assert [c.factor for c in crowds(day)] == [3.0]


# Capacity


@given(
    st.lists(st.tuples(st.floats(0.0, 300.0), st.floats(0.1, 200.0)), min_size=1, max_size=30),
    st.integers(1, 4),
    st.floats(0.2, 3.0),
)
@settings(max_examples=150, deadline=None)
def test_a_processor_does_all_work_and_no_faster_than_it_can(
    jobs: list[tuple[float, float]], cores: int, speed: float
) -> None:
    processor = Processor(Life("e", 1, 1, 0, 0.0, speed), cores)
    started: dict[object, tuple[float, float]] = {}
    ended: dict[object, float] = {}
    now = 0.0
    for number, (gap, work) in enumerate(jobs):
        to = now + gap
        while (due := processor.due()) is not None and due <= to:
            ended.update((job, due) for job in processor.advance(due))
        now = to
        ended.update((job, now) for job in processor.add(now, work, number))
        started[number] = (now, work)
    while (due := processor.due()) is not None:
        now = max(now, due)
        ended.update((job, now) for job in processor.advance(now))
    assert set(ended) == set(started)
    for job, (at, work) in started.items():
        assert ended[job] - at >= work / speed - 1e-3
    first = min(at for at, _ in started.values())
    assert now - first >= sum(w for _, w in started.values()) / (speed * cores) - 1e-3


def test_a_cold_endpoint_is_slower_until_it_is_warm() -> None:
    def time_of(at: float) -> float:
        processor = Processor(Life("e", 1, 1, 0, 0.0, 1.0, 0.2, 1000.0), 1)
        processor.add(at, 10.0, "job")
        now = at
        while not processor.advance(now):
            now = processor.due() or now
        return now - at

    assert time_of(0.0) > 40.0 and abs(time_of(2000.0) - 10.0) < 1e-6


@given(
    st.lists(st.sampled_from(["enter", "leave", "drop"]), max_size=80), st.integers(1, 4), st.integers(0, 4)
)
@settings(max_examples=150, deadline=None)
def test_a_room_respects_its_limits_and_loses_nobody(steps: list[str], slots: int, waiting: int) -> None:
    room, inside = AdmissionQueue(slots, waiting), 0
    outside: list[int] = []
    for number, step in enumerate(steps):
        if step == "enter":
            expected = True if inside < slots else False if len(outside) < waiting else None
            assert room.enter(number) is expected
            inside += expected is True
            if expected is False:
                outside.append(number)
        elif step == "leave" and inside:
            following = room.leave()
            if following is None:
                inside -= 1
                assert not outside
            else:
                assert following == outside.pop(0)
        elif step == "drop" and outside:
            assert room.remove(outside.pop()) and not room.remove("nobody")
        assert room.working == inside <= slots and list(room.waiting) == outside


# The endpoint registry


@given(
    st.lists(st.tuples(st.sampled_from("abc"), st.sampled_from(["in_service", "terminating", "terminated"])))
)
@settings(max_examples=100, deadline=None)
def test_changes_since_any_version_lead_to_the_whole_list(steps: list[tuple[str, str]]) -> None:
    registry = EndpointRegistry()
    views: dict[int, dict[str, Entry]] = {registry.index: {}}
    for name, status in steps:
        registry.apply(Entry(name, 1, 1, "127.0.0.1:1", 0, status))
        views[registry.index] = dict(registry.entries)
    for index, view in views.items():
        whole, entries = registry.changes_since(index)
        assert not whole
        for entry in entries:
            if entry.status == "terminated":
                view.pop(entry.name, None)
            else:
                view[entry.name] = entry
        assert view == registry.entries
    for unknown in (None, registry.index + 1):
        assert registry.changes_since(unknown) == (True, tuple(registry.entries.values()))
    if steps:
        registry.forget_history()
        assert registry.changes_since(registry.index - 1)[0] and not registry.changes_since(registry.index)[0]


# Summary


def test_service_counts_a_retry_with_its_first_try() -> None:
    ledger = Ledger()

    def call(root: str, number: int, due: float, status: int, after: float) -> None:
        made = Call(f"{root}{number}", root, 0, "c", "t", "", "n0", due, due, 900.0, number=number)
        made.answered, made.status, made.end = due + after, status, End.ANSWERED
        ledger.calls.append(made)

    call("a", 0, 100.0, 200, 50.0)
    call("b", 0, 200.0, 503, 1.0)
    call("b", 1, 800.0, 200, 100.0)
    call("c", 0, 1500.0, 502, 10.0)
    life = Life("e", 1, 2, 0, 0.0, 1.0)
    ledger.lives.append(life)
    ledger.attempts.append(Attempt("a0", "e", 1, 0, "c", "", 110.0, 111.0, 1.0, told=AttemptOutcome.OK))
    summary = summarize(ledger, {"c": AnswerWorth(500.0, 1000.0, 4.0, 0.25)})
    assert summary.service == pytest.approx((4 + 1 + 0) / 12)
    assert (summary.asked, summary.tries, summary.served, summary.refused, summary.failed) == (3, 4, 2, 1, 1)
    assert [s.asked for s in summary.seconds] == [2, 1] and summary.attempts[2]["ok"] == 1


def test_requests_are_hit_by_an_upgrade_where_their_connection_failed_while_it_ran() -> None:
    ledger = Ledger(upgrades=[Upgrade("n0", 100.0, 300.0, 300.0, 900.0)])

    def call(sidecar: str, due: float, end: End) -> None:
        made = Call("t", "t", 0, "c", "t", "", sidecar, due, None if end is End.NOT_TAKEN else due)
        made.end = end
        ledger.calls.append(made)

    for due in (99.0, 100.0, 900.0, 901.0):
        for end in End:
            call("n0", due, end)
            call("n1", due, end)
    assert (
        count_hit_by_upgrades(ledger) == 2 * 4
    )  # four kinds of failed connections, at n0, due at 100 and at 900


def test_a_shift_moves_every_time_and_leaves_what_never_happened() -> None:
    ledger = Ledger(lives=[Life("e", 1, 1, 0, 5.0, 1.0)], injected=[InjectedFault("x", 1.0, 2.0, (), 0.0)])
    ledger.calls.append(Call("a", "a", 0, "c", "t", "", "n0", 7.0))
    shift_times(ledger, -5.0)
    assert ledger.lives[0].start == 0.0 and ledger.lives[0].until is None
    assert ledger.calls[0].due == 2.0 and ledger.calls[0].sent is None and ledger.injected[0].until == -3.0


def test_a_page_without_days_is_a_page() -> None:
    assert render_page([]).startswith("<!doctype html>")


# The search


@given(SEEDS)
@settings(max_examples=80, deadline=None)
def test_drawn_faults_all_overlap_and_apart_none_do(seed: int) -> None:
    day = fault_schedules.draw_schedule(fault_schedules.BASE_DAY, seed)
    assert (
        day == fault_schedules.draw_schedule(fault_schedules.BASE_DAY, seed)
        and len(day.faults) >= fault_schedules.MIN_FAULTS
    )
    assert max(f.start_s for f in day.faults) < min(f.until_s for f in day.faults)
    alone = fault_schedules.one_at_a_time(day)
    for one, two in zip(alone.faults, alone.faults[1:], strict=False):
        assert one.until_s < two.start_s
    assert alone.seconds == pytest.approx(day.seconds * len(day.faults))


@given(SEEDS, st.data())
@settings(max_examples=40, deadline=None)
def test_shrinking_keeps_the_harm_and_only_the_needed_faults(seed: int, data: st.DataObject) -> None:
    day = fault_schedules.draw_schedule(fault_schedules.BASE_DAY, seed)
    needed = set(data.draw(st.sets(st.integers(0, len(day.faults) - 1), min_size=1)))
    guilty = [day.faults[i].kind for i in needed]

    async def harms(candidate: Scenario) -> bool:
        kinds = [f.kind for f in candidate.faults]
        return all(kinds.count(kind) >= guilty.count(kind) for kind in guilty)

    least, plays = asyncio.run(fault_schedules.shrink(day, harms, most=500))
    assert sorted(f.kind for f in least.faults) == sorted(guilty) and plays <= 500
    validate(least)


def test_shrinking_stops_when_its_plays_are_used() -> None:
    async def harms(_: Scenario) -> bool:
        return False

    day = fault_schedules.draw_schedule(fault_schedules.BASE_DAY, 1)
    assert asyncio.run(fault_schedules.shrink(day, harms, most=2)) == (day, 2)


@given(SEEDS, st.floats(5.0, 40.0))
@settings(max_examples=100, deadline=None)
def test_a_soak_draws_the_same_day_from_a_seed_with_time_for_updates_after_its_outage(
    seed: int, longest: float
) -> None:
    day = draw_soak(seed, longest)
    assert day == draw_soak(seed, longest) == parse(to_toml(day, ""), "day")
    (outage,) = (fault for fault in day.faults if fault.kind == "discovery-outage")
    assert outage.outage in tuple(OutageKind) and 5.0 <= outage.length_s <= longest + 0.01
    assert day.seconds - outage.until_s >= DAY_AFTER_OUTAGE_S - 0.1
    assert any(fault.kind == "drain" for fault in day.faults)


def test_a_soak_draws_every_kind_of_outage_and_endpoints_that_look_well_while_they_drain() -> None:
    days = [draw_soak(seed) for seed in range(1, 51)]
    kinds = {fault.outage for day in days for fault in day.faults if fault.kind == "discovery-outage"}
    assert kinds == set(OutageKind)
    hidden = [day for day in days if day.fleet.drains_serving and day.fleet.drains_healthy]
    assert {day.limits.probing for day in hidden} == {True, False}
    assert max(day.seconds for day in days) > 50.0
