"""The scale run's parts without I/O: layout, schedule, spread, figures, targets, messages, the chain."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from millgw.scale import chain, latency
from millgw.scale.figures import Part, ProcessFigures, SidecarFigures, Traffic, spent
from millgw.scale.layout import Layout, LayoutError, Sizes, draw
from millgw.scale.messages import (
    Changed,
    Measured,
    Partition,
    Seen,
    Sighting,
    Start,
    Stop,
    decode_order,
    decode_word,
    encode,
)
from millgw.scale.report import added_row
from millgw.scale.schedule import (
    AllRestart,
    ConfigurationChanged,
    ControlMachineLost,
    Fault,
    ListChanged,
    RegionsParted,
    RegionsRejoined,
    Replaced,
    ScheduleError,
    ZoneLost,
    plan,
)
from millgw.scale.spread import Sightings, Topic
from millgw.scale.targets import LATE_MOST, Row, Verdict, exit_code, judge, judge_time
from tests.kinds import pure_run_only

pytestmark = pure_run_only
STEADY = hypothesis_settings(derandomize=True, deadline=None, max_examples=40)
OPERATORS = Sizes(670, 19, 7, 2, real=4)


@st.composite
def possible(one: st.DrawFn) -> Sizes:
    """Sizes that a fleet can have."""
    sidecars = one(st.integers(1, 700))
    services = one(st.integers(1, min(25, sidecars)))
    zones = one(st.integers(1, min(9, sidecars)))
    return Sizes(
        sidecars,
        services,
        zones,
        one(st.integers(1, zones)),
        one(st.integers(0, min(5, sidecars))),
        one(st.integers(1, 7)),
    )


# Layout


@STEADY
@given(possible(), st.integers(0, 1000))
def test_layout_places_everything_once(sizes: Sizes, seed: int) -> None:
    layout = draw(sizes, seed)
    assert layout == draw(sizes, seed)
    assert len({sidecar.name for sidecar in layout.sidecars}) == sizes.sidecars
    assert {sidecar.service for sidecar in layout.sidecars} == set(layout.services)
    assert len(layout.services) == sizes.services
    assert len({zone.region for zone in layout.zones}) == sizes.regions
    assert sum(sidecar.real for sidecar in layout.sidecars) == sizes.real
    assert all(sidecar.calls == layout.calls(sidecar.service) for sidecar in layout.sidecars)
    assert sum(len(layout.callers(service)) for service in layout.services) == sizes.sidecars


@STEADY
@given(possible(), st.integers(0, 1000))
def test_layout_spreads_each_service_evenly_over_zones(sizes: Sizes, seed: int) -> None:
    layout = draw(sizes, seed)
    for service in layout.services:
        counts = Counter(sidecar.zone for sidecar in layout.sidecars if sidecar.service == service)
        assert max(counts.values()) - min(counts[zone] for zone in layout.zones) <= 1


@STEADY
@given(possible(), st.integers(0, 1000))
def test_layout_keeps_a_quorum_in_the_first_region(sizes: Sizes, seed: int) -> None:
    layout = draw(sizes, seed)
    assert len(layout.control) == sizes.control
    here = sum(machine.zone.region == layout.zones[0].region for machine in layout.control)
    assert here > sizes.control / 2


def test_layout_of_the_operators_size() -> None:
    layout = draw(OPERATORS, 1)
    sizes = Counter(sidecar.service for sidecar in layout.sidecars)
    assert len(sizes) == 19
    assert sum(sizes.values()) == 670
    assert min(sizes.values()) >= 7, "every service is in all zones"
    assert Counter(zone.region for zone in layout.zones) == {"region-1": 4, "region-2": 3}


def test_another_seed_is_another_layout() -> None:
    assert draw(OPERATORS, 1) != draw(OPERATORS, 2)


@pytest.mark.parametrize(
    ("sizes", "option"),
    [
        (Sizes(3, 4, 1, 1), "--services"),
        (Sizes(3, 1, 4, 1), "--zones"),
        (Sizes(30, 1, 2, 3), "--regions"),
        (Sizes(3, 1, 1, 1, real=4), "--real"),
        (Sizes(100_000, 1, 1, 1), "--sidecars"),
    ],
)
def test_impossible_sizes_are_named(sizes: Sizes, option: str) -> None:
    with pytest.raises(LayoutError, match=option):
        draw(sizes, 1)


# Schedule


@STEADY
@given(st.sampled_from(list(Fault)), st.floats(2, 300), st.integers(0, 1000))
def test_schedule_is_in_order_and_within_the_run(fault: Fault, seconds: float, seed: int) -> None:
    layout = draw(OPERATORS, seed)
    steps = plan(layout, seconds, fault, seed)
    assert steps == plan(layout, seconds, fault, seed)
    assert list(steps) == sorted(steps, key=lambda step: step.at)
    assert all(0 <= step.at < seconds for step in steps)
    assert any(isinstance(step, ConfigurationChanged) for step in steps)


def kinds(layout: Layout, fault: Fault, seed: int) -> Counter[type]:
    return Counter(type(step) for step in plan(layout, 30.0, fault, seed))


@STEADY
@given(st.integers(0, 1000))
def test_each_fault_strikes_as_it_is_named(seed: int) -> None:
    layout = draw(OPERATORS, seed)
    changes = {ListChanged, ConfigurationChanged}
    assert set(kinds(layout, Fault.NONE, seed)) == changes
    assert set(kinds(layout, Fault.SLOW_TIER, seed)) == changes
    assert kinds(layout, Fault.CONTROL_MACHINE_LOST, seed)[ControlMachineLost] == 1
    assert kinds(layout, Fault.ALL_RESTART, seed)[AllRestart] == 1
    assert kinds(layout, Fault.REPLACE_WAVE, seed)[Replaced] == 94
    parted = [s for s in plan(layout, 30.0, Fault.REGIONS_PARTED, seed) if not isinstance(s, tuple(changes))]
    assert [type(step) for step in parted] == [RegionsParted, RegionsRejoined]


@STEADY
@given(st.integers(0, 1000))
def test_a_lost_zone_takes_all_that_is_in_it_and_nothing_measured(seed: int) -> None:
    layout = draw(OPERATORS, seed)
    (lost,) = [step for step in plan(layout, 30.0, Fault.ZONE_LOST, seed) if isinstance(step, ZoneLost)]
    there = {sidecar.name for sidecar in layout.sidecars if sidecar.zone.name == lost.zone}
    assert set(lost.sidecars) == there
    assert not any(sidecar.real for sidecar in layout.sidecars if sidecar.name in there)
    assert set(lost.control) == {m.name for m in layout.control if m.zone.name == lost.zone}


@STEADY
@given(st.integers(0, 1000))
def test_replaced_sidecars_are_hollow_and_each_goes_once(seed: int) -> None:
    layout = draw(OPERATORS, seed)
    names = [s.sidecar for s in plan(layout, 30.0, Fault.REPLACE_WAVE, seed) if isinstance(s, Replaced)]
    assert len(set(names)) == len(names)
    assert not {sidecar.name for sidecar in layout.sidecars if sidecar.real} & set(names)


def test_faults_that_can_not_strike_are_named() -> None:
    with pytest.raises(ScheduleError, match="--fault: regions-parted"):
        plan(draw(Sizes(10, 2, 2, 1), 1), 10.0, Fault.REGIONS_PARTED, 1)
    with pytest.raises(ScheduleError, match="--fault: zone-lost"):
        plan(draw(Sizes(10, 2, 1, 1), 1), 10.0, Fault.ZONE_LOST, 1)


# Spread


def test_a_spread_counts_from_the_change_to_the_last_sidecar() -> None:
    seen = Sightings()
    for sidecar, index, at in (("a", 4, 1.0), ("b", 5, 10.2), ("a", 6, 11.5)):
        seen.add(Topic.LIST, sidecar, index, at)
    spread = seen.spread(Topic.LIST, "list", ["a", "b", "c"], 5, 10.0)
    assert (spread.expected, spread.reached, spread.whole) == (3, 2, False)
    assert spread.last == pytest.approx(1.5)
    assert spread.median == pytest.approx(0.85)


def test_who_has_a_later_index_before_the_change_had_it_at_once() -> None:
    seen = Sightings()
    seen.add(Topic.LIST, "a", 7, 1.0)
    assert seen.spread(Topic.LIST, "list", ["a"], 5, 10.0).last == 0.0


def test_counts_of_peers_settle_only_at_the_number_itself() -> None:
    seen = Sightings()
    for index, at in ((9, 1.0), (7, 12.0), (8, 13.0)):
        seen.add(Topic.PEERS, "a", index, at)
    assert seen.spread(Topic.PEERS, "peers", ["a"], 8, 10.0, exactly=True).last == 3.0
    assert not seen.spread(Topic.PEERS, "peers", ["a"], 7, 10.0, exactly=True).whole


def test_versions_that_go_back_are_told_and_restarts_begin_anew() -> None:
    seen = Sightings()
    seen.add(Topic.CONFIGURATION, "a", 3, 1.0)
    seen.restarted("a", 1.5)
    assert seen.newest(Topic.CONFIGURATION, "a") is None
    seen.add(Topic.CONFIGURATION, "a", 1, 2.0)
    assert seen.reversals == []
    seen.add(Topic.CONFIGURATION, "a", 0, 3.0)
    assert seen.reversals == ["a: 1 to 0"]


def test_a_restart_takes_what_was_known_and_nothing_of_what_was_seen_before() -> None:
    seen = Sightings()
    seen.add(Topic.LIST, "a", 5, 1.0)
    seen.restarted("a", 2.0)
    seen.add(Topic.LIST, "a", 6, 1.9)  # of the process that has ended, told late
    assert seen.newest(Topic.LIST, "a") is None
    seen.add(Topic.LIST, "a", 5, 4.0)
    assert seen.spread(Topic.LIST, "list", ["a"], 5, 0.5).last == 0.5
    assert seen.spread(Topic.LIST, "list", ["a"], 5, 1.5).last == 0.0
    assert seen.spread(Topic.LIST, "list, after", ["a"], 5, 2.5).last == 1.5


@STEADY
@given(st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 9), st.floats(0, 100)), max_size=30))
def test_a_spread_never_reaches_more_than_are_expected(said: list[tuple[str, int, float]]) -> None:
    seen = Sightings()
    for sidecar, index, at in sorted(said, key=lambda one: one[2]):
        seen.add(Topic.LIST, sidecar, index, at)
    spread = seen.spread(Topic.LIST, "list", "abc", 5, 50.0)
    assert 0 <= spread.reached <= spread.expected == 3
    assert 0 <= spread.median <= spread.last <= 50.0


# Figures


def process(cpu: float, at: float, memory: int, **peers: int) -> ProcessFigures:
    sidecars = [SidecarFigures(name, {Part.PEERS: Traffic(n, n, n, n)}) for name, n in peers.items()]
    return ProcessFigures(cpu, at, memory, 1000, 0.01, 0.02, sidecars)


def test_what_is_spent_is_shared_out_to_the_sidecars_of_a_process() -> None:
    before = [process(1.0, 0.0, 3000, a=0, b=100)]
    after = [process(2.0, 10.0, 3000, a=100, b=400)]
    figures = spent(before, after)
    assert figures.sidecars == 2
    assert figures.cpu_share.worst == pytest.approx(0.05)
    assert figures.memory.worst == 2000  # the program itself, and half of the rest
    assert figures.bytes_total.worst == pytest.approx(90.0)  # both ways, and headers
    assert figures.bytes_by_part["peers"].median == pytest.approx(60.0)
    assert figures.sent.worst == pytest.approx(30.0)


def test_sidecars_that_were_not_there_at_first_have_no_rate() -> None:
    figures = spent([process(1.0, 0.0, 3000, a=10)], [process(1.0, 10.0, 3000, a=10, b=1000)])
    assert figures.bytes_total.worst == 0.0


# Targets


@STEADY
@given(st.floats(0, 1e6), st.floats(1e-3, 1e6))
def test_a_verdict_follows_figure_and_bound(figure: float, bound: float) -> None:
    verdict = judge("row", bound, "s", figure).verdict
    assert (verdict is Verdict.FAILS) == (figure > bound)
    assert (verdict is Verdict.HOLDS) == (figure <= 0.8 * bound)


def test_a_figure_that_was_not_taken_is_not_measured() -> None:
    assert judge("row", 1.0, "s", None).verdict is Verdict.NOT_MEASURED


def test_a_time_that_fails_on_a_late_machine_tells_nothing() -> None:
    assert judge_time("row", 5.0, 6.0, True, 0.0).verdict is Verdict.FAILS
    assert judge_time("row", 5.0, 6.0, True, 2 * LATE_MOST).verdict is Verdict.INCONCLUSIVE
    assert judge_time("row", 5.0, 1.0, False, 0.0).verdict is Verdict.FAILS
    assert judge_time("row", 5.0, 1.0, True, 2 * LATE_MOST).verdict is Verdict.HOLDS


@pytest.mark.parametrize(
    ("verdicts", "code"),
    [
        ([Verdict.HOLDS, Verdict.NARROW, Verdict.NOT_MEASURED], 0),
        ([Verdict.HOLDS, Verdict.INCONCLUSIVE], 3),
        ([Verdict.INCONCLUSIVE, Verdict.FAILS], 1),
    ],
)
def test_exit_codes(verdicts: list[Verdict], code: int) -> None:
    assert exit_code([Row("row", 1.0, "s", 1.0, verdict) for verdict in verdicts]) == code


# Calls


def load_report(p50: float, p99: float, *reasons: str) -> dict[str, object]:
    figures = {"served": 90, "latency": {"p50_ms": p50, "p99_ms": p99}}
    return {"sent": 100, "reasons": list(reasons), "figures": {"all": figures}}


def test_added_latency_is_the_difference_of_two_loads() -> None:
    added = latency.read(load_report(0.5, 1.0), load_report(0.75, 1.5))
    assert (added.p50, added.p99, added.valid) == (0.25, 0.5, True)
    assert (added.calls, added.served) == (100, 90)


def test_a_load_that_was_late_itself_is_not_valid() -> None:
    added = latency.read(load_report(0.5, 1.0), load_report(0.75, 1.5, "late"))
    assert not added.valid
    assert added.cause == "late"


def test_a_verdict_on_added_latency_takes_a_quiet_machine() -> None:
    def verdict(direct: float, through: float, *reasons: str) -> Verdict:
        added = latency.read(load_report(0.5, direct), load_report(0.7, through, *reasons))
        return added_row(added).verdict

    assert verdict(1.0, 1.3) is Verdict.HOLDS
    assert verdict(1.0, 1.7) is Verdict.NARROW
    assert verdict(1.0, 2.0) is Verdict.FAILS
    assert verdict(15.0, 20.0) is Verdict.INCONCLUSIVE
    assert verdict(1.0, 1.3, "late") is Verdict.INCONCLUSIVE
    assert added_row(None).verdict is Verdict.NOT_MEASURED


# Messages


@pytest.mark.parametrize("order", [Start(["a"], 1.5), Stop(["a"], True), Partition(True)])
def test_orders_are_what_was_written(order: Start | Stop | Partition) -> None:
    assert decode_order(encode(order)) == order


@pytest.mark.parametrize(
    "word",
    [
        Seen([Sighting(Topic.LIST, "a", 3, 1.5)]),
        Changed(4, {"service-01": 9}, 2.5),
        Measured(5, process(1.0, 2.0, 3, a=4)),
    ],
)
def test_words_are_what_was_written(word: Seen | Changed | Measured) -> None:
    assert decode_word(encode(word)) == word


# The chain

SMALL = chain.Shape(tiers=4, slow=2, seconds=4.0, rate=50.0)


def test_a_chain_is_the_same_for_a_seed() -> None:
    assert chain.play(SMALL, 1) == chain.play(SMALL, 1)


def test_every_call_of_a_chain_is_answered() -> None:
    figures = chain.play(SMALL, 2)
    assert figures.calls == figures.tiers[0].calls
    assert figures.served <= figures.calls
    assert figures.served_well > 0.95


def test_retries_multiply_from_tier_to_tier_and_budgets_hold_each() -> None:
    figures = chain.play(chain.Shape(tiers=4, slow=3, seconds=6.0), 1)
    assert figures.served_ill < figures.served_well
    assert figures.amplification > figures.attempts_a_call > 1.0
    assert figures.attempts_a_call < 1.25


def test_a_chain_that_is_well_makes_one_attempt_a_call() -> None:
    figures = chain.play(chain.Shape(tiers=3, slow=1, seconds=2.0, failing=0.0, slowness=1.0), 1)
    assert figures.served == figures.calls
    assert all(tier.attempts == tier.calls for tier in figures.tiers)
