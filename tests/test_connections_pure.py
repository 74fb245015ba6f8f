"""Decisions on connections: handshake turns, lifetimes, reachability, demand, hidden endpoints."""

from __future__ import annotations

import math
import random
from bisect import bisect_right
from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from millgw.connections.cold_filter import MAX_HIDDEN_SHARE, ColdEndpointFilter
from millgw.connections.demand import ConnectionDemand
from millgw.connections.endpoint_policy import (
    UNSAFE_IDLE_SHARE,
    ConnectionRecord,
    EndpointPolicy,
    GiveUp,
    Opening,
)
from millgw.connections.handshake_turns import HandshakeTurns, InstancePosition, retry_turns
from millgw.connections.lifetime import (
    AFTER_ANSWER_MS,
    CONFIRMATIONS,
    CUT_FACTOR,
    MIN_IDLE_LIMIT_MS,
    RAISE_FACTOR,
    USE_LIMIT_MEMORY_MS,
    IdleLimit,
    UseLimit,
)
from millgw.connections.reachability import DOWN, UNPROVEN, UP, Reachability, panic_mode
from millgw.connections.settings import ConnectionSettings, Order
from millgw.interface import Condition, Endpoint, ListKind
from tests.kinds import pure_run_only

pytestmark = pure_run_only
SINCE = 1_000_000.0
WALL = 1_700_000_000_000.0  # a Unix time
TICK = 50.0  # ms between two checks of an instance


def handshakes_of_siblings(
    siblings: int, rate: float, share: float, cold: float, common: bool, seed: int
) -> list[float]:
    """When siblings that use all their turns open connections to one cold endpoint."""
    rng = random.Random(seed)
    opened = []
    for index in range(siblings):
        turns = HandshakeTurns(InstancePosition(index, siblings, share, cold), rate, SINCE, common, rng)
        now = SINCE + TICK * rng.random()
        while turns.cold(now):
            if turns.take(now):
                opened.append(now)
            now += TICK
    return sorted(opened)


def most_in_a_second(times: list[float]) -> int:
    return max((bisect_right(times, at + 1000) - i for i, at in enumerate(times)), default=0)


@settings(max_examples=15, deadline=None)
@given(
    st.integers(1, 400), st.floats(10, 200), st.floats(0.05, 1.0), st.floats(2000, 15_000), st.integers(0, 99)
)
def test_siblings_never_open_more_than_the_stated_rate(
    siblings: int, rate: float, share: float, cold: float, seed: int
) -> None:
    assert most_in_a_second(handshakes_of_siblings(siblings, rate, share, cold, True, seed)) <= rate


@pytest.mark.parametrize("siblings", [20, 100, 400])
def test_turns_are_used_in_step_with_warmth_and_by_each_sibling_alike(siblings: int) -> None:
    times = handshakes_of_siblings(siblings, 20.0, 0.2, 14_000.0, True, 1)
    assert most_in_a_second(times) <= 20
    first = sum(at < SINCE + 7000 for at in times)
    # 0.8 of 20/s at 0.2 to 1.0 of the capacity: 134 in all, of which 45 while the capacity is below 0.6.
    assert len(times) >= 120 and 35 <= first <= 47


@pytest.mark.parametrize("seed", range(10))
def test_siblings_without_a_shared_start_stay_within_the_rate_too(seed: int) -> None:
    times = handshakes_of_siblings(400, 20.0, 0.2, 14_000.0, False, seed)
    assert most_in_a_second(times) <= 20 and len(times) > 20


def test_an_unused_turn_expires() -> None:
    turns = HandshakeTurns(InstancePosition(0, 1, 1.0, 10_000.0), 10.0, SINCE, True, random.Random(1))
    assert not turns.take(SINCE + 5)
    taken = [turns.take(SINCE + 3000) for _ in range(5)]  # 24 turns were due by then
    assert sum(taken) <= 1


@given(st.floats(0.05, 1), st.floats(100, 60_000), st.floats(1, 1000), st.floats(0, 1))
def test_the_count_of_handshakes_and_its_time_are_inverse_functions(
    share: float, cold: float, rate: float, part: float
) -> None:
    turns = HandshakeTurns(InstancePosition(0, 7, share, cold), rate, SINCE, True, random.Random(1))
    at = SINCE + part * cold
    assert turns.time_of(turns.handshakes_by(at)) == pytest.approx(at, abs=1.0)
    assert turns.next_due(at) >= at


@pytest.mark.parametrize("siblings", [7, 67, 400])
def test_an_unreachable_endpoint_is_retried_within_the_rate(siblings: int) -> None:
    """So that all siblings together do not exceed the rate when the endpoint comes back."""
    rng, opened = random.Random(1), []
    for index in range(siblings):
        turns = retry_turns(InstancePosition(index, siblings, 0.2, 14_000.0), 20.0, rng)
        now = WALL + TICK * rng.random()
        while now < WALL + 30_000.0:
            if turns.take(now):
                opened.append(now)
            now += TICK
    assert most_in_a_second(sorted(opened)) <= 20 and len(opened) > 0.9 * 30 * 0.8 * 20


def test_an_endpoint_that_is_warm_may_be_opened_to_at_any_time() -> None:
    turns = HandshakeTurns(InstancePosition(3, 400, 0.2, 1000.0), 20.0, SINCE, True, random.Random(1))
    assert all(turns.take(SINCE + 1000) for _ in range(9)) and not turns.cold(SINCE + 1000)


# Lifetimes


@given(st.lists(st.tuples(st.booleans(), st.floats(0, 60_000)), max_size=60))
def test_the_idle_bound_falls_under_what_ended_a_connection_and_never_leaves_its_range(
    seen: list[tuple[bool, float]],
) -> None:
    known = IdleLimit(30_000.0, 0.5)
    for ended, idle in seen:
        before = known.limit
        if ended:
            known.ended(idle)
            assert known.limit <= before
            assert idle >= before or known.limit <= max(MIN_IDLE_LIMIT_MS, CUT_FACTOR * before)
        else:
            known.survived(idle)
            assert before <= known.limit <= RAISE_FACTOR * before
        assert MIN_IDLE_LIMIT_MS <= known.limit <= 15_000.0


@pytest.mark.parametrize("sharp", [True, False])
def test_few_connections_end_before_the_idle_bound_that_is_learned(sharp: bool) -> None:
    """With an endpoint that promises 30 s and closes after 2 s, or after a random part of 2 s."""
    rng, known, ended = random.Random(1), IdleLimit(30_000.0, 0.5), 0
    for i in range(2000):
        end = 2000.0 * (1.0 if sharp else rng.random())
        if end < known.limit:
            known.ended(end)
            ended += i >= 20
        else:
            known.survived(known.limit)
    assert ended < 200 and known.limit > 20.0
    assert not sharp or 1300.0 <= known.limit <= 2100.0


def test_a_limit_on_uses_is_trusted_once_seen_twice() -> None:
    known = UseLimit()
    known.ended(0.0, 100)
    assert known.limit(0.0) == 0
    known.ended(1.0, 100)
    assert known.limit(1.0) == 100
    known.outlived(2.0, 101)
    assert known.limit(2.0) == 0
    for _ in range(CONFIRMATIONS):
        known.ended(3.0, 40)
    assert known.limit(3.0) == 40 and known.limit(3.0 + USE_LIMIT_MEMORY_MS * CONFIRMATIONS) == 0


PLACE = InstancePosition(0, 1, 0.2, 5000.0)


def make_policy(**terms: object) -> EndpointPolicy:
    return EndpointPolicy(ConnectionSettings(jitter=0.0, **terms), PLACE, 10_000.0, random.Random(1))  # type: ignore[arg-type]


def test_each_cause_ends_a_connection() -> None:
    policy = make_policy(age=8000.0, uses=3)
    record = policy.connected(0.0)
    assert (
        policy.give_up_reason(4999.0, record) is None and policy.give_up_reason(5000.0, record) is GiveUp.IDLE
    )
    record.proven_at = 7999.0
    assert (
        policy.give_up_reason(7999.0, record) is None and policy.give_up_reason(8000.0, record) is GiveUp.AGE
    )
    record = policy.connected(8000.0)
    for i in range(3):
        assert policy.give_up_reason(8000.0 + i, record) is None
        policy.answered(8000.0 + i, record)
    assert policy.give_up_reason(8003.0, record) is GiveUp.USES


def test_bounds_differ_from_one_connection_to_the_next() -> None:
    policy = EndpointPolicy(
        ConnectionSettings(age=10_000.0, uses=1000, jitter=0.2), PLACE, 10_000.0, random.Random(1)
    )
    records = [policy.connected(0.0) for _ in range(50)]
    assert len({x.max_age for x in records}) == 50 and len({x.idle_share for x in records}) == 50
    assert all(8000 <= x.max_age <= 10_000 and 800 <= x.max_uses <= 1000 for x in records)


idles = st.lists(st.floats(0, 12_000), max_size=8).map(sorted)


@given(idles, st.booleans(), st.sampled_from(Order), st.floats(0, 20_000))
def test_an_unsafe_call_never_takes_a_connection_that_is_about_to_expire(
    proven: list[float], unsafe: bool, order: Order, ended: float
) -> None:
    policy, now = make_policy(order=order), 12_000.0
    policy.idle_limit.ended(ended)
    records = [ConnectionRecord(0.0, at) for at in proven]
    chosen = policy.choose_idle(now, unsafe, records)
    usable = [i for i, record in enumerate(records) if policy.give_up_reason(now, record) is None]
    if chosen is None:
        assert unsafe or not usable
        return
    assert chosen in usable
    if unsafe:
        assert now - records[chosen].proven_at < UNSAFE_IDLE_SHARE * policy.idle_limit.limit
    assert chosen == (usable[-1] if unsafe or order is Order.LIFO else usable[0])


def test_what_ends_a_connection_is_learned_from_how_it_ended() -> None:
    policy = make_policy()
    for _ in range(CONFIRMATIONS):
        record = policy.connected(0.0)
        for i in range(5):
            policy.answered(float(i), record)
        policy.closed_while_idle(4.0 + AFTER_ANSWER_MS / 2, record)
    assert policy.use_limit.limit(5.0) == 5 and policy.idle_limit.limit == 5000.0
    record = policy.connected(10.0)
    policy.answered(20.0, record)
    policy.found_dead(20.0 + 4000.0, record)
    assert policy.idle_limit.limit == pytest.approx(CUT_FACTOR * math.sqrt(4000.0 * 5000.0))
    blind = make_policy(learn=False)
    blind.found_dead(4020.0, record)
    assert blind.idle_limit.limit == 5000.0


# Reachability


def test_an_unproven_endpoint_is_probed_by_one_connection_and_calls_wait_for_it() -> None:
    policy = make_policy()
    assert policy.may_open(0.0, 0.0, 0, False, False) is Opening.NOW
    policy.opening = 1
    assert policy.may_open(0.0, 0.0, 1, False, False) is Opening.WAIT
    policy.opening = 0
    policy.handshake_failed(0.0)
    assert policy.may_open(0.0, 0.0, 0, False, False) is Opening.UNREACHABLE
    assert policy.may_open(0.0, 0.0, 0, True, False) is Opening.NOW  # panic mode: all seem unreachable
    assert not policy.should_open_ahead(1.0, WALL, 0, 0, 9)
    # This instance's turn among the siblings must be due too.
    due = policy.reachability.probe_at
    moments = [m for m in range(1000) if policy.should_open_ahead(due + m, WALL + m, 0, 0, 9)]
    assert moments and min(b - a for a, b in pairwise(moments)) > 40
    policy.handshake_succeeded(WALL)
    assert policy.turns is not None and policy.turns.cold(WALL)  # it may have restarted
    policy.turns = None
    assert [policy.may_open(0.0, 0.0, i, False, False) for i in (0, 1)] == [Opening.NOW] * 2


@given(st.integers(0, 99))
def test_tries_of_an_endpoint_that_is_down_are_apart_and_never_end(seed: int) -> None:
    standing, now, waits = Reachability(random.Random(seed), 100.0, 2000.0), 0.0, []
    assert standing.state == UNPROVEN
    for _ in range(30):
        standing.mark_down(now)
        assert standing.state == DOWN and not standing.probe_due(now)
        waits.append(standing.wait)
        now = standing.probe_at
        assert standing.probe_due(now)
    assert all(100.0 <= w <= 2000.0 for w in waits) and len(set(waits)) > 5
    standing.mark_up()
    standing.mark_unproven()
    assert standing.state == UNPROVEN and standing.wait == 0.0


def test_panic_mode_begins_when_more_than_a_share_seems_unreachable() -> None:
    assert not panic_mode(5, 10, 0.5) and panic_mode(6, 10, 0.5) and not panic_mode(0, 0, 0.5)


def test_an_endpoint_that_takes_no_more_connections_is_not_down() -> None:
    policy = make_policy()
    record = policy.connected(0.0)
    policy.handshake_succeeded(WALL)
    policy.answered(10.0, record)
    policy.handshake_failed(20.0)
    assert policy.reachability.state == UP and policy.observed_limit == 1.0
    assert policy.may_open(30.0, 0.0, 0, False, False) is Opening.WAIT
    # The observed limit is raised after a time.
    assert policy.may_open(30_000.0, 0.0, 0, False, False) is Opening.NOW


def test_connections_opened_ahead_but_never_used_are_reopened_with_backoff() -> None:
    policy, now, opened = make_policy(keep_least=1), 0.0, 0
    policy.handshake_succeeded(WALL)
    policy.turns = None
    for _ in range(6000):  # 60 s, in which each connection is closed after 0.5 s
        now += 10.0
        if policy.should_open_ahead(now, WALL, 0, 0, 9):
            opened += 1
            record = policy.connected(now)
            policy.open -= 1
            policy.closed_while_idle(now + 500.0, record)
    assert 4 <= opened <= 8


def test_a_connection_closed_right_after_its_handshake_marks_the_endpoint_down() -> None:
    policy = make_policy(keep_least=1)
    record = policy.connected(0.0)
    policy.handshake_succeeded(WALL)
    policy.open = 0
    policy.closed_while_idle(5.0, record)
    assert policy.reachability.state == DOWN and not policy.should_open_ahead(6.0, 0.0, 0, 0, 9)


# Demand


def test_connections_are_wanted_ahead_of_a_flash_crowd_and_released_after_it() -> None:
    need, now = ConnectionDemand(), 0.0
    for _ in range(500):
        need.request_sent(now, 1)
        now += 100.0
    assert need.wanted(now, 0, 0.25) == 1 and need.rise(now) == 1.0
    for _ in range(20):
        need.request_sent(now, 3)
        now += 5.0
    assert need.rise(now) > 2.0 and need.wanted(now, 3, 0.25) > 6
    assert need.wanted(now + 120_000.0, 0, 0.25) == 0


@given(st.lists(st.tuples(st.floats(0, 500), st.integers(1, 50)), max_size=60), st.floats(0, 2))
def test_the_wanted_number_covers_recent_use_and_is_bounded(
    sends: list[tuple[float, int]], headroom: float
) -> None:
    need, now, most = ConnectionDemand(), 0.0, 0
    for wait, busy in sends:
        now += wait
        need.request_sent(now, busy)
        most = max(most, busy)
        assert busy <= need.wanted(now, busy, headroom) <= math.ceil(4 * most * (1 + headroom))
    need.unused_given_up(now, 1)
    assert need.wanted(now, 0, 0.0) <= 1


@given(st.data())
def test_a_policy_never_opens_more_connections_than_its_limits(data: st.DataObject) -> None:
    policy = make_policy(keep_most=4, open_most=6, at_once=2, keep_least=1)
    now, records = 0.0, list[ConnectionRecord]()
    for _ in range(data.draw(st.integers(1, 60))):
        now += data.draw(st.floats(0, 2000))
        step = data.draw(st.sampled_from(["call", "up", "missed", "answer", "end", "ahead"]))
        if step == "call":
            policy.request_sent(now)
            if policy.may_open(now, 0.0, policy.opening, False, False) is Opening.NOW:
                policy.opening += 1
        elif step == "ahead" and policy.should_open_ahead(now, 0.0, 0, policy.opening, 4):
            policy.opening += 1
        elif step in ("up", "missed") and policy.opening:
            policy.opening -= 1
            if step == "up":
                policy.handshake_succeeded(WALL)
                records.append(policy.connected(now))
            else:
                policy.handshake_failed(now)
        elif step == "answer" and records:
            policy.answered(now, data.draw(st.sampled_from(records)))
        elif step == "end" and records:
            policy.open -= 1
            policy.closed_while_idle(now, records.pop())
        assert 0 <= policy.opening <= 2 and policy.open + policy.opening <= 6 and policy.open == len(records)


# Endpoints shown to the module

entries = st.builds(
    Endpoint,
    id=st.integers(1, 8),
    condition=st.sampled_from(Condition),
    started_at=st.sampled_from([0.0, SINCE, SINCE + 500.0, SINCE + 9000.0]),
)
lists = st.tuples(
    st.sampled_from(ListKind), st.lists(entries, max_size=8, unique_by=lambda e: e.id), st.integers(0, 8)
)


@given(st.lists(lists, max_size=12))
def test_the_module_gets_all_endpoints_but_a_few_cold_ones_and_every_drain(
    told: list[tuple[ListKind, list[Endpoint], int]],
) -> None:
    cold_filter, module, listed = ColdEndpointFilter(5000.0), dict[int, Endpoint](), dict[int, Endpoint]()
    now = SINCE
    for kind, some, connected in told:
        now += 700.0
        if kind.watch_ended:
            some = []
        elif kind not in (ListKind.DELTA, ListKind.PARTIAL):
            listed.clear()
            module.clear()
        for entry in some:
            listed.pop(entry.id, None)
            if entry.condition is Condition.READY:
                listed[entry.id] = entry
        for entry in cold_filter.filter_list(now, kind, some, lambda id, c=connected: id <= c):  # type: ignore[misc]
            module.pop(entry.id, None)
            if entry.condition is Condition.READY:
                module[entry.id] = entry
        if cold_filter.show_warm(now) or cold_filter.connected(connected):
            module = {e.id: e for e in cold_filter.shown_list()}
        # The module has the list without hidden endpoints: cold, not connected, at most a share of the list.
        assert module == cold_filter.shown
        assert module | cold_filter.hidden == listed and not module.keys() & cold_filter.hidden.keys()
        assert all(now < e.started_at + 5000.0 for e in cold_filter.hidden.values())
        assert len(cold_filter.hidden) <= MAX_HIDDEN_SHARE * len(listed)
