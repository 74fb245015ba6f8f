"""Failures and overload: ejection, limits, shedding, quotas, cold returns and a silent discovery."""

from __future__ import annotations

import math
from dataclasses import replace
from typing import Any

import pytest

from millgw.decide import Balancer, ConcurrencyLimiter
from millgw.interface import (
    Endpoint,
    EndpointList,
    ListKind,
    Outcome,
    Repeat,
    RequestClass,
    Scope,
    Send,
    TimerFired,
)
from tests.kinds import skip_if_compiled
from tests.support import KEYED, SAFE, TENANTS, UNSAFE, Drive, endpoints, make_drive, settings


def serve_calls(
    d: Drive, calls: int, times: dict[int, float] | None = None, failing: frozenset[int] = frozenset()
) -> None:
    """One call after another; each endpoint needs its time (default 20 ms) or fails at once."""
    for _ in range(calls):
        request = d.arrive(patience=1400.0)
        while request in d.unanswered and d.attempts[request]:
            index = len(d.attempts[request]) - 1
            endpoint, _, done = d.attempts[request][index]
            if done is not None:
                d.advance(d.now + 5)
                continue
            if endpoint in failing:
                d.advance(d.now + 1)
                d.end_attempt(request, index, Outcome.ERROR)
            else:
                d.advance(d.now + (times or {}).get(endpoint, 20.0))
                d.end_attempt(request, index, Outcome.OK)


def send_burst(d: Drive, calls: int, cls: int = SAFE, tenant: int = 0) -> list[int]:
    return [d.arrive(cls, patience=2900.0, tenant=tenant) for _ in range(calls)]


def attempts_in_flight(d: Drive) -> int:
    return sum(t[2] is None for tries in d.attempts.values() for t in tries)


def serve_all_pending(d: Drive, after: float) -> None:
    """Let time pass, then serve all pending attempts."""
    d.advance(d.now + after)
    for request, tries in list(d.attempts.items()):
        for index, attempt in enumerate(tries):
            if attempt[2] is None and request in d.unanswered:
                d.end_attempt(request, index, Outcome.OK)


def test_overload_is_limited_and_requests_without_a_chance_are_refused() -> None:
    d = make_drive(4)
    serve_calls(d, 60)
    requests = send_burst(d, 200)
    assert attempts_in_flight(d) < 40
    d.advance(d.now + 1500)
    assert sum(d.answers.get(r) == "refused" for r in requests) > 150


def test_an_inner_tier_has_no_concurrency_limit() -> None:
    d = make_drive(4, stage=1)
    send_burst(d, 200)
    assert attempts_in_flight(d) == 200


def test_late_answers_cut_the_limit_and_quick_ones_restore_it() -> None:
    d = make_drive(4)
    serve_calls(d, 60)
    admission = d.balancer.admission
    assert admission is not None
    for _ in range(12):
        send_burst(d, 40)
        serve_all_pending(d, 50.0)
    high = admission.per_endpoint
    for _ in range(6):
        send_burst(d, 40)
        serve_all_pending(d, 950.0)
    assert admission.per_endpoint < high / 2
    for _ in range(100):
        serve_calls(d, 4)
    low = admission.per_endpoint
    for _ in range(100):
        send_burst(d, 40)
        while attempts_in_flight(d):
            serve_all_pending(d, 30.0)
        d.advance(d.now + 200)
    assert admission.per_endpoint > 1.5 * low


def test_one_slow_endpoint_does_not_cut_the_limit() -> None:
    """A mean would cut it: 900 ms at one endpoint of six and 20 ms elsewhere is far above target."""
    d = make_drive(6)
    admission = d.balancer.admission
    assert admission is not None
    serve_calls(d, 300, times={3: 900.0})
    assert admission.median_latency < admission.latency_target()


def test_the_limit_leaves_room_for_the_usual_calls_in_flight() -> None:
    d = make_drive(2)
    admission = d.balancer.admission
    assert admission is not None
    for _ in range(40):
        send_burst(d, 6)
        serve_all_pending(d, 100.0)
    assert admission.usual_in_flight > 1
    usual = admission.usual_in_flight
    for _ in range(10):
        send_burst(d, 6)
        serve_all_pending(d, 350.0)
    assert admission.latency_target() < admission.median_latency < (1 + admission.base_latency) / 2
    assert admission.per_endpoint >= admission.usual_in_flight > 1
    assert admission.usual_in_flight < usual, "the headroom shrinks while the overload lasts"


def test_a_timer_that_fires_slightly_early_still_answers_a_held_request() -> None:
    """Clocks round: the timer of a held request once fired a fraction of a microsecond early."""
    d = Drive(settings())
    request = d.arrive(patience=500.0)
    due, timer = max(t for t in d.timers if d.balancer.timers[t[1]] == request)
    d.now = due - 0.0004
    d.feed(TimerFired(timer))
    assert d.answers[request] == "refused"


def test_a_refusal_comes_early_enough_for_another_try() -> None:
    """After a late refusal, the client's retry is served too late and takes the place of another request."""
    d = make_drive(2)
    serve_calls(d, 60)
    requests = send_burst(d, 200)
    d.advance(d.now + 0.2 * d.config.classes[SAFE].aim)
    waiting = [r for r in requests if r in d.unanswered and not d.attempts[r]]
    assert not waiting and sum(d.answers.get(r) == "refused" for r in requests) > 100


def test_the_request_of_highest_worth_is_sent_first() -> None:
    d = make_drive(1)
    serve_calls(d, 30)
    d.end_attempt(d.arrive(UNSAFE), 0, Outcome.OK)
    for _ in range(20):
        send_burst(d, 30)
    cheap, valuable = send_burst(d, 5), send_burst(d, 1, UNSAFE)
    assert not d.attempts[valuable[0]] and not any(d.attempts[r] for r in cheap)
    for pending in [r for r in d.attempts if r in d.unanswered and d.attempts[r]]:
        if not d.attempts[valuable[0]]:
            d.end_attempt(pending, 0, Outcome.OK)
    sent = [a.request for _, a in d.log if isinstance(a, Send)]
    assert valuable[0] in sent and all(sent.index(valuable[0]) < sent.index(r) for r in cheap if r in sent)


def test_requests_beyond_a_tenants_quota_are_refused_first() -> None:
    d = make_drive(1, tenants=TENANTS, over_share_worth=0.1)
    serve_calls(d, 5)
    beyond_quota = send_burst(d, 60, tenant=0)
    within_quota = send_burst(d, 3, tenant=1)
    serve_all_pending(d, 10.0)
    assert all(d.attempts[r] for r in within_quota)
    assert sum(bool(d.attempts[r]) for r in beyond_quota) < 60


def test_refused_requests_do_not_use_up_a_share() -> None:
    d = Drive(settings(tenants=TENANTS, over_share_worth=0.1))
    for _ in range(5):
        send_burst(d, 40, tenant=0)
        d.advance(d.now + 400)
    d.send_list(*endpoints(4))
    request = d.arrive(tenant=0)
    assert d.balancer.requests[request].within_share


def test_an_instance_of_many_does_not_refuse_by_chance() -> None:
    """Two calls at once are usual for an instance whose share of the limit is less than one."""
    d = make_drive(8, siblings=60)
    for _ in range(200):
        pair = send_burst(d, 2)
        d.advance(d.now + 150.0)
        for request in pair:
            if d.attempts[request]:
                d.end_attempt(request, 0, Outcome.OK)
        d.advance(d.now + 400.0)
    assert sum(a == "served" for a in d.answers.values()) >= 395


@pytest.mark.parametrize("index", [0, 5, 11])
def test_few_calls_use_only_the_instances_own_subset(index: int) -> None:
    d = make_drive(36, stage=1, siblings=12, index=index)
    serve_calls(d, 60)
    used = {e for r in d.attempts for e in d.sent_to(r)}
    assert len(used) == 3
    send_burst(d, 200)
    assert len({e for r in d.attempts for e in d.sent_to(r)}) == 36, "many calls must use all endpoints"


def test_a_busy_subset_endpoint_does_not_send_calls_outside_the_subset() -> None:
    d = make_drive(36, siblings=12)
    admission = d.balancer.admission
    assert admission is not None
    admission.per_endpoint = 1.0
    serve_calls(d, 3)
    subset = {e for r in d.attempts for e in d.sent_to(r)} | {1, 2, 3}
    first, second = d.arrive(), d.arrive()
    assert set(d.sent_to(first) + d.sent_to(second)) <= subset


def test_instances_that_share_an_endpoint_replace_it_by_different_ones() -> None:
    """With one order for all, the same instances would overload one endpoint of the list after another."""

    def used(index: int, *without: int) -> set[int]:
        d = Drive(settings(stage=1, siblings=96, index=index))
        d.send_list(*[e for e in endpoints(24) if e.id not in without])
        serve_calls(d, 60)
        return {e for r in d.attempts for e in d.sent_to(r)}

    subsets = {index: used(index) for index in range(96)}
    shares = [sum(id in subset for subset in subsets.values()) for id in range(1, 25)]
    assert min(shares) >= 6 and max(shares) <= 18, "all endpoints must be chosen about equally often"
    sharing = [index for index, subset in subsets.items() if 7 in subset]
    others = set().union(*(used(index, 7) for index in sharing))
    assert len(others) > 12


def test_one_quick_answer_does_not_double_the_limit_of_an_instance_of_many() -> None:
    """With a fifth of each endpoint, one more call for this instance means five more per endpoint."""
    d = make_drive(8, siblings=40)
    admission = d.balancer.admission
    assert admission is not None
    before = admission.per_endpoint
    serve_calls(d, 4)
    assert admission.per_endpoint <= before + 2.0


def test_a_median_of_few_responses_gets_more_slack() -> None:
    """Its rises are random: without slack they would cause shedding and refusals at low load."""
    few, many = make_drive(8), make_drive(8)
    for d, pause in ((few, 700.0), (many, 5.0)):
        for _ in range(150):
            serve_calls(d, 1, times={n: 200.0 for n in range(1, 9)})
            d.advance(d.now + pause)
    assert few.balancer.admission is not None and many.balancer.admission is not None
    assert few.balancer.admission.latency_target() > many.balancer.admission.latency_target() + 0.05


def test_an_endpoint_that_fails_at_once_is_ejected_and_tried_again() -> None:
    d = make_drive(6)
    serve_calls(d, 120, failing=frozenset({4}))
    before = d.count(4)
    assert before < 25
    serve_calls(d, 400, failing=frozenset({4}))
    assert d.count(4) < before + 40
    d.advance(d.now + 40_000)
    served = d.count(4)
    serve_calls(d, 60)
    assert d.count(4) > served + 3, "it must be used again once it serves"


def test_a_slow_endpoint_is_ejected() -> None:
    d = make_drive(6)
    serve_calls(d, 200, times={2: 400.0})
    taken = d.count(2)
    assert taken < 20
    share = taken / 200
    assert share < 1 / 6


def test_when_all_fail_none_is_ejected() -> None:
    """The problem is then behind the endpoints, in a tier that they call."""
    d = make_drive(6)
    serve_calls(d, 100, failing=frozenset(range(1, 7)))
    d.advance(d.now + 10_000)  # one that got more calls at first may have looked worse than the rest
    serve_calls(d, 100, failing=frozenset(range(1, 7)))
    assert not any(s.ejected_until > d.now for s in d.balancer.ring)


def test_never_more_than_a_third_is_ejected() -> None:
    d = make_drive(9)
    serve_calls(d, 400, failing=frozenset({1, 2, 3, 4, 5}))
    assert sum(s.ejected_until > d.now for s in d.balancer.ring) <= 3


def test_a_tie_goes_to_the_quicker_endpoint() -> None:
    d = make_drive(3, stage=1)
    serve_calls(d, 150, times={2: 32.0})
    assert d.count(2) < 40


def test_a_cold_endpoint_is_not_ejected_for_being_slow() -> None:
    d = make_drive(5)
    serve_calls(d, 100)
    d.send_list(Endpoint(9, started_at=d.now), kind=ListKind.DELTA)
    for _ in range(60):
        for request in send_burst(d, 12):
            endpoint = d.sent_to(request)[0]
            d.advance(d.now + (8 if endpoint == 9 else 2))
            d.end_attempt(request, 0, Outcome.OK)
        serve_all_pending(d, 100.0)
    cold = d.balancer.servers[9]
    assert cold.ejected_until == -math.inf


def test_a_machine_that_was_unreachable_is_cold_after_its_return_without_word_from_discovery() -> None:
    """If it restarts during an outage of discovery, its old list entry says warm: it would be overloaded."""
    d = make_drive(4)
    serve_calls(d, 200)
    unreachable = d.balancer.servers[1]
    cold = d.balancer.cold
    assert cold.capacity_share(unreachable, d.now) == 1.0
    while unreachable.connect_failures < 2:
        request = d.arrive()
        endpoint = d.attempts[request][0][0]
        d.advance(d.now + 10)
        d.end_attempt(request, 0, Outcome.CONNECT_FAILED if endpoint == 1 else Outcome.OK)
        d.advance(d.now + 500)
    assert cold.capacity_share(unreachable, d.now) == d.config.cold_share, "the minimum until it answers"
    unreachable.record_reachability(d.now, Outcome.OK)
    assert cold.capacity_share(unreachable, d.now) == d.config.cold_share
    assert cold.capacity_share(unreachable, d.now + d.config.cold_time / 2) == pytest.approx(
        (1 + d.config.cold_share) / 2
    )
    assert cold.capacity_share(unreachable, d.now + d.config.cold_time) == 1.0


def test_a_single_connect_failure_does_not_make_an_endpoint_cold() -> None:
    d = make_drive(4)
    server = d.balancer.servers[1]
    for _ in range(5):
        server.record_reachability(d.now, Outcome.CONNECT_FAILED)
        server.record_reachability(d.now, Outcome.OK)
    assert d.balancer.cold.capacity_share(server, d.now) == 1.0


def test_quick_cold_peers_do_not_make_a_usual_endpoint_an_outlier() -> None:
    """Only the minimum capacity of cold endpoints is known: relative to it they look far too fast."""
    d = make_drive(4)
    serve_calls(d, 100)
    d.send_list(*[Endpoint(n, started_at=d.now) for n in range(10, 16)], kind=ListKind.DELTA)
    usual, *peers = sorted(d.balancer.ring, key=lambda s: s.info.id)
    for server in peers:
        server.own_slowness = 1.0 if server.info.id < 10 else 0.4
    for _ in range(10):
        d.balancer.outliers.record(d.now, usual, False, 1.2)
        d.balancer.outliers.eject_outlier(d.now, usual, d.balancer.ring)
    assert usual.ejected_until == -math.inf


def test_when_most_endpoints_are_slow_some_are_ejected_to_recover() -> None:
    """Compared with its peers each is normal then, and none would ever be idle enough to recover."""
    d = make_drive(9)
    serve_calls(d, 600, times={n: 200.0 for n in range(1, 7)})
    assert sum(s.ejected_until > -math.inf for s in d.balancer.ring) >= 1
    assert sum(s.ejected_until > d.now for s in d.balancer.ring) <= 3


def test_no_endpoint_takes_more_than_its_part_of_the_limit() -> None:
    d = make_drive(2)
    for _ in range(20):
        send_burst(d, 20)
        serve_all_pending(d, 30.0)
    d.send_list(*endpoints(2), *(replace(Endpoint(i), started_at=d.now) for i in range(10, 18)))
    admission = d.balancer.admission
    assert admission is not None
    send_burst(d, 300)
    assert all(len(s.in_flight) <= admission.per_endpoint for s in d.balancer.ring)


def test_under_overload_work_of_least_worth_is_shed_first() -> None:
    """An instance of hundreds has a call or two: there is no queue to serve by worth."""
    d = make_drive(4, siblings=40)
    due: list[tuple[float, int]] = []
    requests: dict[int, list[int]] = {SAFE: [], UNSAFE: []}

    def minute(delay_per_attempt: float) -> None:
        """Four requests a second; each attempt takes longer for every other one that is out."""
        nonlocal due
        for n in range(240):
            d.advance(d.now + 250.0)
            for _, request in [x for x in due if x[0] <= d.now]:
                if request in d.unanswered and d.attempts[request]:
                    d.end_attempt(request, len(d.attempts[request]) - 1, Outcome.OK)
            due = [x for x in due if x[0] > d.now]
            cls = UNSAFE if n % 2 else SAFE
            requests[cls].append(d.arrive(cls, patience=2900.0))
            due.append((d.now + 200.0 + delay_per_attempt * attempts_in_flight(d), requests[cls][-1]))

    def served(cls: int) -> float:
        latest = requests[cls][-80:]
        return sum(bool(d.attempts[r]) for r in latest) / len(latest)

    minute(0.0)
    assert served(SAFE) == served(UNSAFE) == 1.0
    minute(300.0)
    assert served(SAFE) < 0.5 * served(UNSAFE), "the unsafe class is worth eight times as much"
    minute(0.0)
    assert served(SAFE) == served(UNSAFE) == 1.0, "all must be served again once latencies are low"


def test_few_answers_are_enough_to_see_late_ones() -> None:
    """At one call per second, a median of the last thirty responses would lag by half a minute."""
    d = make_drive(4, siblings=40)
    admission = d.balancer.admission
    assert admission is not None

    def seconds(n: int, elapsed: float) -> None:
        for _ in range(n):
            request = d.arrive(patience=2900.0)
            d.advance(d.now + elapsed)
            d.end_attempt(request, 0, Outcome.OK)
            d.advance(d.now + 1000.0 - elapsed)

    seconds(60, 100.0)
    assert admission.median_latency < admission.latency_target()
    seconds(5, 900.0)
    assert admission.median_latency > admission.latency_target()


def test_the_first_requests_of_a_day_are_not_refused() -> None:
    """Before anything is learned, the limit allows some calls on each endpoint."""
    d = make_drive(8)
    assert send_burst(d, 30) and attempts_in_flight(d) >= 30


def test_keyed_class_of_scope_all_may_go_anywhere() -> None:
    classes = (RequestClass("k", 3000.0, Repeat.KEYED, 1000.0, scope=Scope.ALL, window=900.0),)
    d = make_drive(3, classes=classes)
    request = d.arrive(0)
    d.end_attempt(request, 0, Outcome.RESET)
    d.advance(d.now + 500)
    assert len(set(d.sent_to(request))) == 2
    assert KEYED == 1


def test_a_repeat_stays_in_the_group_that_its_first_try_was_sent_to() -> None:
    """If the list moves a running endpoint to another cell, only the old one may know the first attempt."""
    for seed in range(20):
        d = Drive(settings(), seed)
        d.send_list(*endpoints(6))
        request = d.arrive(KEYED)
        (first,) = d.sent_to(request)
        group = {e.id for e in endpoints(6) if e.cell == first % 2}
        d.send_list(Endpoint(first, cell=1 - first % 2), kind=ListKind.DELTA)
        d.end_attempt(request, 0, Outcome.RESET)
        d.advance(d.now + 500)
        assert len(d.sent_to(request)) == 2 and d.sent_to(request)[1] in group - {first}


def test_unusual_but_valid_settings_cause_no_exception() -> None:
    classes = tuple(replace(c, aim=0.0, window=0.0) for c in settings().classes)
    odd = {"cold_time": 0.0, "cold_share": 0.0, "fall_window": 0.0, "tick": 0.0, "ask_within": 0.0}
    d = Drive(settings(classes=classes, **odd))
    d.now = 0.0
    d.send_list(replace(Endpoint(1), size=0.0), Endpoint(2, started_at=99.0))
    for cls in (SAFE, KEYED, UNSAFE):
        for outcome in Outcome:
            request = d.arrive(cls)
            if d.attempts[request]:
                d.end_attempt(request, 0, outcome)


def test_a_cold_share_of_zero_causes_no_exception() -> None:
    d = Drive(settings(cold_share=0.0))
    d.send_list(*endpoints(3, started_at=d.now))
    assert d.attempts[d.arrive()]


@skip_if_compiled
def test_held_requests_do_not_each_pass_over_endpoints_that_are_all_busy(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    d = make_drive(2, siblings=1)
    send_burst(d, 200)
    passes = 0
    look = Balancer._ready

    def counted(self: Balancer, *args: Any) -> Any:
        nonlocal passes
        passes += 1
        return look(self, *args)

    monkeypatch.setattr(Balancer, "_ready", counted)
    monkeypatch.setattr(Balancer, "_at_limit", lambda *_: True)
    monkeypatch.setattr(ConcurrencyLimiter, "limit", 1000.0)
    assert len(d.balancer.held) > 50
    sent = next(r for r, tries in d.attempts.items() if tries)
    d.end_attempt(sent, 0, Outcome.OK)
    assert passes == 1


def test_the_only_endpoint_is_used_again_soon_after_it_was_out_of_reach_however_much_it_served() -> None:
    """Calls sent while it was warm must not count against it once it is assumed cold."""
    d = make_drive(1)
    serve_calls(d, 2000)
    (unreachable,) = d.balancer.servers.values()
    for _ in range(2):
        request = d.arrive(UNSAFE)
        d.end_attempt(request, 0, Outcome.CONNECT_FAILED)
        d.abort(request)
    assert unreachable.connect_failures == 2
    tried = 0
    for _ in range(20):
        d.advance(d.now + 500.0)
        request = d.arrive(UNSAFE)
        tried += len(d.attempts[request])
        if d.attempts[request]:
            d.end_attempt(request, 0, Outcome.OK)
    assert tried > 5 and unreachable.connect_failures == 0


def test_an_endpoint_that_is_back_is_found_by_an_instance_with_one_call_at_a_time() -> None:
    """It is assumed cold until it answers, and a cold endpoint would lose every comparison."""
    d = make_drive(4)
    serve_calls(d, 400)
    returned = d.balancer.servers[1]
    for _ in range(200):
        request = d.arrive()
        endpoint = d.attempts[request][0][0]
        d.advance(d.now + 10)
        d.end_attempt(request, 0, Outcome.CONNECT_FAILED if endpoint == 1 else Outcome.OK)
        d.advance(d.now + 500)
        if returned.connect_failures == 2:
            break
    assert returned.connect_failures == 2
    before = d.count(1)
    for _ in range(20):
        request = d.arrive()
        assert d.attempts[request][0][0] != 1, "it is avoided for a while"
        d.advance(d.now + 10)
        d.end_attempt(request, 0, Outcome.OK)
        d.advance(d.now + 80)
    serve_calls(d, 1000)  # 20 ms each
    assert returned.connect_failures == 0 and d.count(1) > before, "it was never tried again"


def serve_or_reject(
    d: Drive, calls: int, rejecting: frozenset[int] = frozenset(), pause: float = 200.0
) -> list[int]:
    """One call after another, served unless its endpoint is in `rejecting`; returns all endpoints used."""
    before = len(d.log)
    for _ in range(calls):
        request = d.arrive(SAFE)
        d.advance(d.now + 20)
        while request in d.unanswered:
            index = len(d.attempts[request]) - 1
            endpoint, _, done = d.attempts[request][index]
            if done is None:
                d.end_attempt(request, index, Outcome.REJECTED if endpoint in rejecting else Outcome.OK)
            d.advance(d.now + 20)
        d.advance(d.now + pause)
    return [a.endpoint for _, a in d.log[before:] if isinstance(a, Send)]


def test_an_endpoint_that_rejects_calls_while_discovery_is_silent_is_avoided_until_a_message_arrives() -> (
    None
):
    """It may be draining, and discovery can't say so: each further attempt there would violate rule 3."""
    d = make_drive(4)
    d.feed(EndpointList(ListKind.FAILED))
    assert serve_or_reject(d, 40, rejecting=frozenset({1}), pause=0.0).count(1) == 1
    d.advance(d.now + 4000.0)
    for _ in range(10):
        request = d.arrive(SAFE)
        assert not d.sent_to(request), "by then nothing proves that the others do not drain"
        d.abort(request)
    d.feed(EndpointList(ListKind.DELTA))
    assert 1 in serve_or_reject(d, 40)


def test_rejections_are_ignored_for_pushed_lists_and_while_a_watch_is_active() -> None:
    for d in (make_drive(4, ask_discovery=False), make_drive(4)):
        d.advance(d.now + 60_000.0)
        assert len(set(serve_or_reject(d, 60, rejecting=frozenset({1})))) == 4


def share_in_flight(d: Drive, endpoint: int, calls: int) -> float:
    """The share of calls at one endpoint when all calls stay in flight."""
    for _ in range(calls):
        d.arrive(patience=2900.0)
    sent = [t[0][0] for t in d.attempts.values() if t and t[0][2] is None]
    return sent.count(endpoint) / len(sent)


def test_a_slow_endpoint_gets_fewer_calls_but_not_none() -> None:
    """Its slots are occupied by waiting calls; this sidecar's own calls there are too few to show it."""
    d = make_drive(2, stage=1)
    d.balancer.servers[1].own_slowness, d.balancer.servers[1].slowness_at = 2.0, d.now
    assert 0.2 < share_in_flight(d, 1, 60) < 0.4
    assert abs(share_in_flight(make_drive(2, stage=1), 1, 60) - 0.5) < 0.05


def test_an_endpoint_of_four_times_the_size_holds_twice_the_calls() -> None:
    d = Drive(settings(stage=1))
    d.send_list(Endpoint(1, size=4.0), Endpoint(2, size=1.0))
    assert abs(share_in_flight(d, 1, 60) - 2 / 3) < 0.05
