"""Settings that change in service: the balancer goes on with all it has learned, by the new rules."""

from __future__ import annotations

import copy
from dataclasses import replace

import pytest
from hypothesis import HealthCheck, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from millgw.decide import Balancer
from millgw.interface import (
    EndpointList,
    Event,
    Hearsay,
    ListKind,
    Outcome,
    Refuse,
    Repeat,
    RequestArrived,
    RequestClass,
    Scope,
    Send,
    Settings,
    Tenant,
    TimerFired,
)
from tests.support import KEYED, SAFE, SETTINGS, TENANTS, UNSAFE, Drive, drive, endpoints
from tests.test_properties import overdue, step

STEADY = hypothesis_settings(
    derandomize=True, deadline=None, max_examples=120, suppress_health_check=[HealthCheck.too_slow]
)


def request_class(cls: RequestClass) -> st.SearchStrategy[RequestClass]:
    return st.builds(
        lambda deadline, aim, worth, window, repeat, scope: replace(
            cls, deadline=deadline, aim=aim, worth=worth, window=window, repeat=repeat, scope=scope
        ),
        st.sampled_from([500.0, 3000.0]),
        st.sampled_from([0.0, 200.0, 1000.0]),
        st.sampled_from([0.0, 1.0, 9.0]),
        st.sampled_from([0.0, 300.0, 2000.0]),
        st.sampled_from(list(Repeat)),
        st.just(cls.scope),
    )


def changed_settings(tenants: tuple[Tenant, ...] = TENANTS) -> st.SearchStrategy[Settings]:
    """Settings that differ from those of the tests in what may change in service."""
    return st.builds(
        lambda classes, **fields: replace(SETTINGS, classes=classes, **fields),
        st.tuples(*(request_class(cls) for cls in SETTINGS.classes)),
        tenants=st.tuples(
            *(st.builds(replace, st.just(t), rate=st.sampled_from([0.0, 2.0, 50.0])) for t in tenants)
        ),
        max_attempts=st.integers(1, 5),
        concurrent_attempts=st.booleans(),
        cold_share=st.sampled_from([0.0, 0.2, 1.0]),
        cold_time=st.sampled_from([0.0, 1000.0, 10_000.0]),
        fall_multiple=st.sampled_from([0.0, 3.0]),
        fall_window=st.sampled_from([0.0, 2000.0]),
        siblings=st.integers(1, 6),
        index=st.integers(0, 3),
        ask_within=st.sampled_from([100.0, 1000.0, 60_000.0]),
        over_share_worth=st.sampled_from([0.1, 1.0]),
        retry_after_most=st.sampled_from([0.0, 2000.0]),
        stage=st.just(0),
    )


class ChangingDrive(Drive):
    """A drive whose settings change on the way; each request is checked by the class it came in."""

    def __init__(self, config: Settings, seed: int = 3) -> None:
        super().__init__(config, seed)
        self.classes: dict[int, RequestClass] = {}

    def arrive(self, cls: int = SAFE, patience: float = 1500.0, tenant: int = 0) -> int:
        self.classes[self.next_id + 1] = self.config.classes[cls]
        return super().arrive(cls, patience, tenant)

    def change(self, config: Settings) -> None:
        self.config = config
        for action in self.balancer.reconfigure(self.now, config):
            self.log.append((self.now, action))
            self._check(action)

    def _check_send(self, action: Send) -> None:
        with self._as_taken(action.request):
            super()._check_send(action)

    def _check_refuse(self, request: int) -> None:
        with self._as_taken(request):
            super()._check_refuse(request)

    def _as_taken(self, request: int) -> Taken:
        return Taken(self, request)


class Taken:
    """Has the drive check one request by the class as it was when the request came."""

    def __init__(self, drive: ChangingDrive, request: int) -> None:
        self.drive, self.request, self.config = drive, request, drive.config

    def __enter__(self) -> None:
        event = self.drive.open.get(self.request)
        if event is not None:
            classes = list(self.config.classes)
            classes[event.cls] = self.drive.classes[self.request]
            self.drive.config = replace(self.config, classes=tuple(classes))

    def __exit__(self, *_: object) -> None:
        self.drive.config = self.config


def carry_out(drive: Drive, steps: list[tuple[object, ...]]) -> None:
    """The steps of the module's own properties, and changes of settings among them."""
    for name, *args in steps:
        pending = [(r, i) for r, tries in drive.tries.items() for i, t in enumerate(tries) if t[2] is None]
        match name, args:
            case "arrive", [int(cls), float(patience), int(tenant)]:
                drive.arrive(cls, patience, tenant)
            case "end", [int(n), Outcome() as outcome] if pending:
                drive.outcome(*pending[n % len(pending)], outcome)
            case "abort", [int(n)] if drive.open:
                drive.abort(list(drive.open)[n % len(drive.open)])
            case "advance", [float(by)]:
                drive.advance(drive.now + by)
                overdue(drive)
            case "change", [Settings() as config] if isinstance(drive, ChangingDrive):
                drive.change(config)
            case "full", [set() as ids, bool(fresh)]:
                since = drive.now if fresh else 0.0
                drive.show(*(replace(e, since=since) for e in endpoints(6) if e.id in ids))
            case "failed", []:
                drive.show(kind=ListKind.FAILED)


START = replace(SETTINGS, tenants=TENANTS, over_share_worth=0.1)
change = st.tuples(st.just("change"), changed_settings())


@STEADY
@given(st.lists(step | change, max_size=60))
def test_rules_hold_and_no_call_is_lost_however_settings_change(steps: list[tuple[object, ...]]) -> None:
    made = ChangingDrive(START)
    made.show(*endpoints(4), kind=ListKind.CACHED)
    carry_out(made, steps)
    made.advance(made.now + 5000)
    overdue(made)
    assert not made.open, "a request was left without an answer"


@STEADY
@given(st.lists(step, max_size=40), st.lists(step, max_size=20))
def test_identical_settings_change_nothing_at_all(
    before: list[tuple[object, ...]], after: list[tuple[object, ...]]
) -> None:
    plain, changed = ChangingDrive(START), ChangingDrive(START)
    for made in (plain, changed):
        made.show(*endpoints(4), kind=ListKind.CACHED)
        carry_out(made, before)
    assert changed.balancer.reconfigure(changed.now, copy.deepcopy(START)) == []
    for made in (plain, changed):
        carry_out(made, after)
    assert plain.log == changed.log


def fresh_with_learned(old: Balancer, settings: Settings, now: float) -> Balancer:
    """A new balancer of other settings that is given all that another one holds and has learned."""
    held, made = copy.deepcopy(old), Balancer(settings, 99)
    for name in (
        "rng", "budget", "backoff", "advice", "doubts", "servers", "requests", "flights", "coming",
        "admission", "shedding", "answered", "held", "heard_siblings", "timers", "next_timer", "started",
    ):  # fmt: skip
        setattr(made, name, getattr(held, name))
    made.outliers.rng = made.discovery.rng = held.rng
    made.discovery.backoff = held.discovery.backoff
    for name in ("wait", "due", "soonest", "alive", "spoken", "silent"):
        setattr(made.discovery, name, getattr(held.discovery, name))
    made.cold.rate, made.cold.part = held.cold.rate, held.cold.part
    made.cold.siblings = max(settings.siblings, held.heard_siblings)
    assert made.shares is not None and held.shares is not None
    made.shares.tokens[: len(held.shares.tokens)] = held.shares.tokens
    made.shares.at = held.shares.at
    for cls, answered in enumerate(held.answered):
        if answered:
            made.quick[cls], made.spent[cls] = held.quick[cls], held.spent[cls]
    known = tuple(server.info for server in made.servers.values())
    sure = {server.info.id: server.sure_at for server in made.servers.values()}
    # A list with nothing new puts its endpoints in order; a cached one is no sign of life.
    made.handle(now, EndpointList(ListKind.CACHED, known))
    assert sure == {server.info.id: server.sure_at for server in made.servers.values()}
    return made


@STEADY
@given(st.lists(step, max_size=50), changed_settings(), st.lists(st.integers(0, 2), min_size=1, max_size=25))
def test_a_changed_balancer_acts_as_a_fresh_one_that_knows_as_much(
    before: list[tuple[object, ...]], after: Settings, arrivals: list[int]
) -> None:
    made = ChangingDrive(START)
    made.show(*endpoints(5), kind=ListKind.CACHED)
    made.feed(Hearsay((), siblings=3))
    carry_out(made, before)
    fresh = fresh_with_learned(made.balancer, after, made.now)
    made.balancer.reconfigure(made.now, after)
    events: list[tuple[float, Event]] = []
    for number, cls in enumerate(arrivals):
        made.now += 37.0
        events.append((made.now, RequestArrived(10_000 + number, cls, made.now + 900.0, number % 2)))
        events += [(made.now, TimerFired(timer)) for timer in list(made.balancer.timers)[:2]]
    for now, event in events:
        assert made.balancer.handle(now, event) == fresh.handle(now, event)


def test_a_call_in_flight_keeps_the_class_it_came_in() -> None:
    made = drive(4)
    asked = made.arrive(KEYED)
    classes = list(SETTINGS.classes)
    classes[KEYED] = replace(classes[KEYED], repeat=Repeat.UNSAFE)
    made.balancer.reconfigure(made.now, replace(SETTINGS, classes=tuple(classes)))
    made.outcome(asked, 0, Outcome.RESET)
    made.advance(made.now + 400)
    assert len(made.tries[asked]) == 2, "it was taken as one that may be repeated, with its key"
    later = made.arrive(KEYED)
    made.outcome(later, 0, Outcome.RESET)
    made.advance(made.now + 400)
    assert len(made.tries[later]) == 1 and made.answers[later] == "failed"


def test_a_class_that_becomes_repeatable_leaves_earlier_calls_unsafe() -> None:
    made = drive(4)
    asked = made.arrive(UNSAFE)
    classes = list(SETTINGS.classes)
    classes[UNSAFE] = replace(classes[UNSAFE], repeat=Repeat.KEYED, scope=Scope.ALL, window=5000.0)
    made.balancer.reconfigure(made.now, replace(SETTINGS, classes=tuple(classes)))
    made.outcome(asked, 0, Outcome.RESET)
    assert made.answers[asked] == "failed", "it came without a key: nobody could recognise its repeat"


def test_what_was_learned_stays() -> None:
    made = drive(4)
    for _ in range(50):
        asked = made.arrive()
        made.advance(made.now + 30)
        made.outcome(asked, 0, Outcome.OK)
    before, servers = made.balancer.export(), dict(made.balancer.servers)
    made.balancer.reconfigure(made.now, replace(SETTINGS, max_attempts=2, fall_multiple=2.0))
    after = made.balancer.export()
    assert before["limit"] == after["limit"] and before["times"] == after["times"]
    assert made.balancer.servers == servers


def test_fewer_attempts_hold_for_calls_that_are_open() -> None:
    made = drive(4)
    asked = made.arrive()
    made.balancer.reconfigure(made.now, replace(SETTINGS, max_attempts=1))
    made.outcome(asked, 0, Outcome.ERROR)
    assert made.answers[asked] == "refused" and len(made.tries[asked]) == 1


@pytest.mark.parametrize(
    ("field", "settings"),
    [
        ("classes", replace(SETTINGS, classes=SETTINGS.classes[:2])),
        ("tenants", replace(SETTINGS, tenants=TENANTS[:1])),
        ("stage", replace(SETTINGS, tenants=TENANTS, stage=1)),
        ("ask_discovery", replace(SETTINGS, tenants=TENANTS, ask_discovery=False)),
    ],
)
def test_what_takes_a_new_balancer_is_named_and_nothing_changes(field: str, settings: Settings) -> None:
    made = drive(4, tenants=TENANTS)
    before = made.balancer.settings
    with pytest.raises(ValueError, match=rf"Settings\.{field} can't be changed in service"):
        made.balancer.reconfigure(made.now, settings)
    assert made.balancer.settings is before and made.balancer.rules.max_attempts == 4


def test_a_tenant_that_is_added_has_its_own_share() -> None:
    made = drive(4, tenants=TENANTS)
    made.balancer.reconfigure(made.now, replace(made.config, tenants=(*TENANTS, Tenant("c", 5.0))))
    assert made.balancer.shares is not None
    assert made.balancer.shares.tokens[2] == 5.0
    asked = made.arrive(tenant=2)
    assert made.balancer.requests[asked].within_share and made.balancer.shares.tokens[2] == 4.0


def test_waiting_calls_go_out_when_a_change_makes_room() -> None:
    made = drive(0, cold_time=1e9, cold_share=0.0, ask_within=1e6)
    made.show(*endpoints(1, since=made.now))
    first, second = made.arrive(), made.arrive()
    waiting = [r for r in (first, second) if not made.tries[r]]
    assert waiting, "a cold endpoint takes one at a time"
    actions = made.balancer.reconfigure(made.now, replace(SETTINGS, cold_time=0.0))
    assert [a.request for a in actions if isinstance(a, Send)] == waiting
    assert not any(isinstance(a, Refuse) for a in actions)
