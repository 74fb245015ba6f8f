"""Settings that change in service: the balancer goes on with all it has learned, by the new rules."""

from __future__ import annotations

import asyncio
import copy
import gc
import json
from contextlib import suppress
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import HealthCheck, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from millgw.configuration.apply import RefusedVersionError, live_settings, one_line, overlay
from millgw.configuration.client import START_TIMEOUT_S
from millgw.configuration.last_good import LastGood
from millgw.connections.tended import Tended
from millgw.decide import Balancer
from millgw.hot_restart.learned import export_learned
from millgw.interface import (
    EndpointList,
    Event,
    ListKind,
    Outcome,
    PeerReports,
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
from millgw.operator.file import Connections, Limits, parse
from millgw.operator.files import Files
from millgw.platform.config import Address, read_address
from millgw.pool.pool import Pool
from millgw.pool.share import CALLS
from millgw.services.parts import pool_config
from millgw.services.shares import LentShare
from millgw.standins.address import free_address
from millgw.standins.http import ok
from millgw.standins.scripted import (
    STREAM,
    ScriptedDiscoveryServer,
    ScriptedEndpoint,
    answering,
    chunk,
    line,
    read_message,
)
from tests import rig
from tests.control_instance import ControlInstance
from tests.outside import loaded, refused
from tests.rig import request, run, until
from tests.support import KEYED, SAFE, SETTINGS, TENANTS, UNSAFE, Drive, drive, endpoints
from tests.test_control import call, figures
from tests.test_properties import overdue, step
from tests.test_services import static, two
from tests.test_sidecar_process import start

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
                drive.show(*(replace(e, started_at=since) for e in endpoints(6) if e.id in ids))
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
    same = replace(
        START,
        classes=tuple(replace(cls) for cls in START.classes),
        tenants=tuple(replace(tenant) for tenant in START.tenants),
    )
    assert changed.balancer.reconfigure(changed.now, same) == []
    for made in (plain, changed):
        carry_out(made, after)
    assert plain.log == changed.log


def fresh_with_learned(held: Balancer, settings: Settings, now: float) -> Balancer:
    """A new balancer of other settings that takes over all that another one holds and has learned."""
    made = Balancer(settings, 99)
    for name in (
        "rng", "budget", "backoff", "advice", "doubts", "servers", "requests", "flights", "coming",
        "admission", "shedding", "answered", "held", "heard_siblings", "timers", "next_timer", "started",
    ):  # fmt: skip
        setattr(made, name, getattr(held, name))
    made.outliers.rng = made.discovery.rng = held.rng
    made.discovery.backoff = held.discovery.backoff
    called = ("began", "called", "heard_at", "words", "lost_at", "failures", "crowded")
    seen = ("unreachable_at", "seems_down_at", "troubled_at")
    flags = ("spoken", "moved", "failed_in_time", "refused", "watch_ended")
    for name in ("wait", "due", *called, *seen, *flags):
        setattr(made.discovery, name, getattr(held.discovery, name))
    made.cold.rates, made.cold.part, made.cold.rng = dict(held.cold.rates), held.cold.part, held.doubts
    made.cold.siblings = max(settings.siblings, held.heard_siblings)
    assert made.shares is not None and held.shares is not None
    made.shares.tokens[: len(held.shares.tokens)] = held.shares.tokens
    made.shares.at = held.shares.at
    for cls, answered in enumerate(held.answered):
        if answered:
            made.quick[cls], made.spent[cls] = held.quick[cls], held.spent[cls]
    known = tuple(server.info for server in made.servers.values())
    fresh_until = made.discovery.fresh_until()
    # A list with nothing new puts its endpoints in order; a cached one is no sign of life.
    made.handle(now, EndpointList(ListKind.CACHED, known))
    assert made.discovery.fresh_until() == fresh_until
    return made


@STEADY
@given(st.lists(step, max_size=50), changed_settings(), st.lists(st.integers(0, 2), min_size=1, max_size=25))
def test_a_changed_balancer_acts_as_a_fresh_one_that_knows_as_much(
    before: list[tuple[object, ...]], after: Settings, arrivals: list[int]
) -> None:
    made, twin = ChangingDrive(START), ChangingDrive(START)
    for driven in (made, twin):  # same events, same state; compiled objects can't be copied
        driven.show(*endpoints(5), kind=ListKind.CACHED)
        driven.feed(PeerReports((), siblings=3))
        carry_out(driven, before)
    fresh = fresh_with_learned(twin.balancer, after, made.now)
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
    before, servers = export_learned(made.balancer), dict(made.balancer.servers)
    made.balancer.reconfigure(made.now, replace(SETTINGS, max_attempts=2, fall_multiple=2.0))
    after = export_learned(made.balancer)
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
    made.show(*endpoints(1, started_at=made.now))
    first, second = made.arrive(), made.arrive()
    waiting = [r for r in (first, second) if not made.tries[r]]
    assert waiting, "a cold endpoint takes one at a time"
    actions = made.balancer.reconfigure(made.now, replace(SETTINGS, cold_time=0.0))
    assert [a.request for a in actions if isinstance(a, Send)] == waiting
    assert not any(isinstance(a, Refuse) for a in actions)


# A version over the files


OPERATOR = """
[services.login]
classes = ["pay"]
endpoints = [{ name = "l", address = "127.0.0.1:9001" }]
[services.login.settings.limits]
tryLimit = 2
[services.login.connections]
keep_least = 1
[services.campaign]
endpoints = [{ name = "c", address = "127.0.0.1:9002" }]
[services.campaign.limits]
calls = 0.5

[[routes]]
to = "login"
host = "login.example.org"
[[routes]]
to = "campaign"
"""


def files(operator: str = OPERATOR) -> Files:
    address = Address("127.0.0.1", 9)
    made = rig.config([], address, known=None)
    return Files(made, rig.SETTINGS, parse(operator, "o.toml"))


def test_entries_go_over_the_files_table_by_table() -> None:
    entries: dict[str, dict[str, Any]] = {
        "settings": {
            "limits": {"tryLimit": 5, "connIdle": 8000},
            "projects": [{"name": "acme", "quotaRps": 7}],
        },
        "services.login": {"limits": {"maxRetryAfter": 100}},
        "services.login.connections": {"keep_least": 3, "open_most": 9},
        "services.campaign.limits": {"calls": 0.25, "bodies": 0.5},
        "services.elsewhere": {"limits": {"tryLimit": 9}},
        "something.else": {"x": []},
    }
    filed = files()
    after = overlay(filed, entries)
    assert after.config.idle == 8000 and after.config.settings.tenants == (Tenant("acme", 7.0),)
    login = pool_config("login", after.operator.services["login"], after.config, after.settings)
    campaign = pool_config("campaign", after.operator.services["campaign"], after.config, after.settings)
    assert (login.settings.max_attempts, campaign.settings.max_attempts) == (2, 5)
    assert (login.settings.retry_after_most, campaign.settings.retry_after_most) == (100.0, 2000.0)
    assert after.operator.services["login"].connections == Connections(keep_least=3, open_most=9)
    assert after.operator.services["campaign"].limits == Limits(calls=0.25, bodies=0.5)
    assert overlay(filed, {}) == filed, "no entries change nothing"


def over(entry: str = "settings", **words: Any) -> dict[str, dict[str, Any]]:
    return {entry: words}


@pytest.mark.parametrize(
    ("entries", "cause"),
    [
        (over(limits={"tryLimit": 0}), "settings: limits.tryLimit must be 1 or more"),
        (over(limits={"tryLimit": "3"}), "limits.tryLimit is missing or not a number"),
        (over(limits={"trylimit": 3}), "settings.limits.trylimit: no such setting"),
        (over(limits=None), "settings.limits: not an object"),
        (over(retry={}), "settings.retry: no such setting"),
        (over(listen="127.0.0.1:80"), "takes a restart: settings.listen"),
        (over(classes={}), "settings.classes: not a list"),
        (over(classes=[]), "classes is missing or empty"),
        (over(classes=[{"name": "read", "deadline": -1, "repeat": "retryable"}]), "classes[0].deadline"),
        (over(classes=[{"name": "read", "deadline": 1, "repeat": []}]), "settings.classes[0].repeat: is unk"),
        (over(classes=[{"name": "read", "deadline": 1}]), "classes[0].repeat is missing or unknown"),
        (over(classes=[{"name": "read", "keyScope": {}}]), "settings.classes[0].keyScope: is unknown"),
        (over(projects=[{"name": "a"}, {"name": "a"}]), "settings.projects[1].name: 'a' is given twice"),
        (over(rules={"coldShare": 2}), "settings: rules.coldShare must be 1 or less"),
        (over("services.login", rules={"cold": -3}), "services.login.settings: settings: rules.cold must"),
        (over("services.login", deadline=5), "services.login.deadline: no such setting"),
        (over("services.login.limits", calls=0.9), "limits.calls: all together are 1.4 of the whole"),
        (over("services.login.limits", calls=2), "services.login.limits.calls: Expected"),
        (over("services.login.limits", cals=0.2), "services.login.limits: Object contains unknown field"),
        (over("services.login.connections", keep_least=-1), "services.login.connections.keep_least: Exp"),
    ],
)
def test_a_version_that_cannot_be_used_is_refused_in_one_line(
    entries: dict[str, dict[str, Any]], cause: str
) -> None:
    with pytest.raises(RefusedVersionError) as caught:
        after = overlay(files(), entries)
        for name, service in after.operator.services.items():
            try:
                pool_config(name, service, after.config, after.settings)
            except ValueError as error:
                raise RefusedVersionError(one_line(error)) from None
    assert cause in str(caught.value) and "\n" not in str(caught.value)


JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-5, 5)
    | st.floats(allow_nan=True)
    | st.sampled_from(["", "a", "cell"]),
    lambda inner: (
        st.lists(inner, max_size=2)
        | st.dictionaries(
            st.sampled_from(
                ["name", "deadline", "repeat", "tryLimit", "cold", "keyScope", "quotaRps", "calls", "x"]
            ),
            inner,
            max_size=3,
        )
    ),
    max_leaves=8,
)
ENTRY = st.dictionaries(
    st.sampled_from(
        [
            "classes",
            "projects",
            "rules",
            "limits",
            "localities",
            "me",
            "siblings",
            "stage",
            "tick",
            "registryMode",
        ]
    ),
    JSON,
    max_size=3,
)


@STEADY
@given(
    st.dictionaries(
        st.sampled_from(
            ["settings", "services.login", "services.login.limits", "services.login.connections"]
        ),
        ENTRY,
        max_size=3,
    )
)
def test_whatever_is_sent_is_refused_with_a_cause_or_usable(entries: dict[str, dict[str, Any]]) -> None:
    with suppress(RefusedVersionError):
        after = overlay(files(), entries)
        live_settings("settings", files().config.settings, after.config.settings)


def test_classes_and_tenants_keep_their_numbers() -> None:
    before = replace(SETTINGS, tenants=TENANTS)
    tenants = (Tenant("c", 1.0), replace(TENANTS[1], rate=3.0))
    turned = replace(before, classes=before.classes[::-1], tenants=tenants)
    taken = live_settings("settings", before, turned)
    assert taken.classes == before.classes
    assert taken.tenants == (Tenant("a", 0.0), Tenant("b", 3.0), Tenant("c", 1.0))


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"classes": SETTINGS.classes[:2]}, "settings.classes"),
        ({"classes": (*SETTINGS.classes, replace(SETTINGS.classes[0], name="more"))}, "settings.classes"),
        ({"classes": (*SETTINGS.classes[:2], replace(SETTINGS.classes[2], name="paid"))}, "settings.classes"),
        ({"stage": 1}, "settings.stage"),
        ({"index": 1}, "settings.me"),
        ({"ask_discovery": False}, "settings.registryMode"),
    ],
)
def test_what_takes_a_restart_is_named(changes: dict[str, Any], field: str) -> None:
    with pytest.raises(RefusedVersionError) as caught:
        live_settings("settings", SETTINGS, replace(SETTINGS, **changes))
    assert str(caught.value) == f"takes a restart: {field}"


# A sidecar in service


def pools() -> list[Pool]:
    """Those in service."""
    gc.collect()
    return [o for o in gc.get_objects() if isinstance(o, Pool) and not o.retired]


async def configured(control: ControlInstance, *services: str, more: str = "") -> str:
    """An operator's file that follows a control instance."""
    await control.start()
    return "\n".join((*services, f'[configuration]\ninstances = ["{control.address}"]\n{more}'))


async def connected(node: rig.Services) -> rig.Client:
    """A caller's connection as soon as the sidecar listens: it waits for its first version before."""
    while True:
        with suppress(ConnectionRefusedError):
            return await node.connect()
        await asyncio.sleep(0.01)


CLASSES: list[dict[str, Any]] = rig.SETTINGS["classes"]


def test_versions_are_in_force_in_each_service_with_its_pool_and_what_it_learned(tmp_path: Path) -> None:
    async def test() -> None:
        login, campaign, control = ScriptedEndpoint("l"), ScriptedEndpoint("c"), ControlInstance()
        text = await configured(control, await two(login, campaign))
        async with rig.services(tmp_path, text) as node:
            client = await connected(node)
            for _ in range(20):
                assert (await client.ask(request("pay", Host="login.example.org"))).status == 200
            before = {pool.name: pool for pool in pools()}
            balancer = before["login"].driver.balancer
            assert balancer.answered == [0, 0, 20]
            learned = (balancer.spent[2], balancer.quick[2], balancer.budget.tokens, balancer.servers.copy())
            control.commit({
                "settings": {"limits": {"tryLimit": 1, "connIdle": 30_000}},
                "services.login": {"classes": [dict(c, slo=444.0) for c in CLASSES]},
                "services.campaign.limits": {"calls": 0.75},
            })  # fmt: skip
            await until(lambda: bool(control.reports) and control.reports[-1]["index"] == 1)
            assert control.reports[-1]["status"] == "applied"
            assert {pool.name: pool for pool in pools()} == before, "no pool has begun anew"
            settings = {name: pool.settings for name, pool in before.items()}
            assert settings["login"].max_attempts == settings["campaign"].max_attempts == 1
            assert [c.aim for c in settings["login"].classes] == [444.0] * 3
            assert [c.aim for c in settings["campaign"].classes] == [500.0] * 3
            assert before["login"].upstream.idle_for == 15_000
            kept = (balancer.spent[2], balancer.quick[2], balancer.budget.tokens, balancer.servers)
            assert before["login"].driver.balancer is balancer and kept == learned
            share = before["campaign"].share
            assert isinstance(share, LentShare)
            assert (
                share.bounds.allotments[CALLS].guaranteed["campaign"]
                > 2 * share.bounds.allotments[CALLS].guaranteed["login"]
            )
            assert (await client.ask(request("pay", Host="login.example.org"))).status == 200
            control.commit({"services.campaign.limits": None, "services.login": None, "settings": None})
            await until(lambda: control.reports[-1]["index"] == 2)
            assert (
                before["login"].settings.max_attempts == 3
                and before["login"].settings.classes[0].aim == 500.0
            )

    run(test)


def test_a_refused_version_changes_no_service_and_the_next_one_does(tmp_path: Path) -> None:
    async def test() -> None:
        login, campaign, control = ScriptedEndpoint("l"), ScriptedEndpoint("c"), ControlInstance()
        text = await configured(control, await two(login, campaign))
        async with rig.services(tmp_path, text):
            before = {pool.name: pool.settings for pool in pools()}
            control.commit(
                {"services.login": {"limits": {"tryLimit": 7}}, "services.campaign": {"classes": []}}
            )
            await until(lambda: bool(control.reports) and control.reports[-1]["index"] == 1)
            assert control.reports[-1]["status"] == "refused"
            assert control.reports[-1]["cause"].startswith("services.campaign.settings: settings: classes")
            assert {pool.name: pool.settings for pool in pools()} == before, "nor the half that was good"
            control.commit({"services.campaign": {"limits": {"tryLimit": 9}}})
            await until(lambda: control.reports[-1]["index"] == 2)
            assert {pool.name: pool.settings.max_attempts for pool in pools()} == {"login": 7, "campaign": 9}

    run(test)


@pytest.mark.parametrize("kept", [True, False])
def test_another_class_takes_a_restart_and_is_there_after_it(kept: bool, tmp_path: Path) -> None:
    async def test() -> None:
        login, campaign, control = ScriptedEndpoint("l"), ScriptedEndpoint("c"), ControlInstance()
        more = f'directory = "{tmp_path}/state"' if kept else ""
        text = await configured(control, await two(login, campaign), more=more)
        async with rig.services(tmp_path, text) as node:
            client = await connected(node)
            bulk = dict(CLASSES[2], name="bulk")
            control.commit({"settings": {"classes": [*CLASSES, bulk]}, "services.login.connections": {}})
            await until(lambda: bool(control.reports) and control.reports[-1]["index"] == 1)
            assert control.reports[-1]["cause"] == "takes a restart: services.login.connections"
            control.commit({"services.login.connections": None})
            await until(lambda: control.reports[-1]["index"] == 2)
            assert control.reports[-1]["cause"] == "takes a restart: services.login.settings.classes"
            assert (await client.ask(request("bulk", Host="login.example.org"))).status == 400
            assert (await client.ask(request("pay", Host="login.example.org"))).status == 200
            if kept:
                stored = LastGood(tmp_path / "state", "n1")
                await until(lambda: [document.index for document in stored.read()] == [2])
        if kept:
            control.stop()
        async with rig.services(tmp_path, text) as node:
            client = await connected(node)
            assert (await client.ask(request("bulk", Host="login.example.org"))).status == 200

    run(test)


def test_a_sighup_reads_the_files_and_the_version_goes_over_them_again(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level("INFO", "millgw")

    async def test() -> None:
        login, campaign, control = ScriptedEndpoint("l"), ScriptedEndpoint("c"), ControlInstance()
        text = await configured(control, await two(login, campaign))
        async with rig.services(tmp_path, text) as node:
            control.commit({"services.login": {"limits": {"tryLimit": 7}}})
            await until(lambda: bool(control.reports))
            before = {pool.name: pool for pool in pools()}
            await node.reload(text)
            assert {pool.name: pool for pool in pools()} == before
            assert before["login"].settings.max_attempts == 7
            await node.reload(text + "\n[services.campaign.settings.limits]\ntryLimit = 4\n")
            after = {pool.name: pool for pool in pools()}
            assert after["login"] is before["login"] and after["campaign"] is not before["campaign"]
            assert (after["login"].settings.max_attempts, after["campaign"].settings.max_attempts) == (7, 4)
            control.commit({"services.login.limits": {"calls": 0.4}})
            await until(lambda: control.reports[-1]["index"] == 2)
            caplog.clear()
            await node.reload(text + "\n[services.campaign.limits]\ncalls = 0.8\n")
            assert (
                "reload-refused" in caplog.text
                and "with the distributed configuration over it" in caplog.text
            )
            assert {pool.name: pool for pool in pools()} == after

    run(test)


def test_one_pool_without_services_follows_and_reloads_in_place(tmp_path: Path) -> None:
    async def test() -> None:
        endpoint, control, discovery = ScriptedEndpoint("e"), ControlInstance(), ScriptedDiscoveryServer()
        await endpoint.start()
        await discovery.start()
        text = await configured(control, more="[connections]\nkeep_least = 1\n")
        async with rig.services(tmp_path, text, str(discovery.address)) as node:
            _, writer = await discovery.calls.get()
            writer.write(STREAM + chunk(line(1, [endpoint.entry()], snapshot=True)))
            (pool,) = pools()
            await until(lambda: bool(pool.driver.ready))
            assert (await node.ask(request())).status == 200
            control.commit({"settings": {"rules": {"cold": 9000.0}}, "connections": {"keep_least": 2}})
            await until(lambda: bool(control.reports))
            assert control.reports[-1]["status"] == "applied"
            assert pool.settings.cold_time == 9000.0
            tended = pool.upstream.tending
            assert isinstance(tended, Tended)
            assert tended.terms.keep_least == 2 and tended.place.cold_time == 9000.0
            changed = copy.deepcopy(rig.SETTINGS)
            changed["rules"] |= {"cold": 1.0, "fall": 77.0}
            data = json.loads(node.config.read_text())
            node.config.write_text(json.dumps(data | {"settings": changed}))
            await node.reload(text)
            assert (pool.settings.fall_window, pool.settings.cold_time) == (77.0, 9000.0)
            assert pools() == [pool] and (await node.ask(request())).status == 200
            control.commit({"settings": None})
            await until(lambda: control.reports[-1]["index"] == 2)
            assert pool.settings.cold_time == 1.0, "as the file says since the reload"

    run(test)


@pytest.mark.parametrize("answers", [b"", STREAM, None])
def test_a_start_is_ready_soon_whatever_control_does(answers: bytes | None, tmp_path: Path) -> None:
    """It accepts and says nothing, begins an answer and says nothing, or is not there."""

    async def test() -> None:
        login, campaign, control = ScriptedEndpoint("l"), ScriptedEndpoint("c"), ControlInstance(by_hand=True)
        text = await configured(control, await two(login, campaign))
        if answers is None:
            control.stop()
        begun = asyncio.get_running_loop().time()
        async with rig.services(tmp_path, text) as node:
            if answers is not None:
                _, writer = await control.watches.get()
                writer.write(answers)
            client = await connected(node)
            assert (await client.ask(b"GET /ready HTTP/1.1\r\nHost: n1\r\n\r\n")).status == 200
            assert asyncio.get_running_loop().time() - begun < START_TIMEOUT_S + 1.0, (
                "and the test's own part"
            )
            assert (await client.ask(request("pay", Host="login.example.org"))).status == 200

    run(test)


def test_without_the_table_nothing_of_it_is_loaded() -> None:
    assert loaded("millgw.sidecar.__main__, millgw.services.node", "millgw.configuration") == []


@pytest.mark.parametrize(
    ("text", "says"),
    [
        ("[configuration]\n", "configuration: Object missing required field `instances`"),
        ("[configuration]\ninstances = []\n", "configuration.instances: Expected"),
        ('[configuration]\ninstances = ["control:1"]\n', "configuration.instances[0]"),
        ('[configuration]\ninstances = ["0.0.0.0:1"]\n', "is no address to connect to"),
        (
            '[configuration]\ninstances = ["127.0.0.1:1"]\nrelays = { a = ["x"] }\n',
            "configuration.relays.a[0]",
        ),
        ('[configuration]\ninstances = ["127.0.0.1:1"]\nzones = "a"\n', "configuration.zones: no such key"),
    ],
)
def test_a_table_that_cannot_be_used_is_named(
    text: str, says: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert says in refused(tmp_path, text, capsys)


# A process


def test_a_process_under_calls_goes_by_each_version_without_losing_one(tmp_path: Path) -> None:
    """Deadline, attempts and a tenant's rate change under calls; control goes away; a bad version comes."""

    async def test() -> None:
        control = ControlInstance()
        await control.start()
        slow = asyncio.Event()
        endpoints = [ScriptedEndpoint("e0"), ScriptedEndpoint("e1")]
        stuck = ScriptedEndpoint("e2", script=answering(ok(), slow))
        data = {
            "name": "n3", "listen": str(free_address()), "control": str(free_address()),
            "discovery": "127.0.0.1:9", "seed": "1", "limits": {"sockets": 256, "memory_mb": 32},
            "settings": rig.SETTINGS,
        }  # fmt: skip
        (tmp_path / "config.json").write_text(json.dumps(data))
        for endpoint in (*endpoints, stuck):
            await endpoint.start()
        text = static("main", *endpoints) + static("stuck", stuck) + '[[routes]]\nto = "main"\n'
        text += '[[routes]]\nto = "stuck"\nhost = "stuck.example.org"\n'
        text += f'[configuration]\ninstances = ["{control.address}"]\ndirectory = "{tmp_path}"\n'
        (tmp_path / "operator.toml").write_text(text)
        environ = {
            "BALANCER_CONFIG": str(tmp_path / "config.json"),
            "BALANCER_OPERATOR": str(tmp_path / "operator.toml"),
        }
        process = start(environ)
        stderr = process.stderr
        assert stderr is not None
        seen: list[str] = []

        def until_serving() -> None:
            for text in stderr:
                seen.append(text)
                if "serving name=" in text:
                    return

        try:
            await asyncio.to_thread(until_serving)
            listen, door = read_address(data["listen"]), read_address(data["control"])
            statuses: list[int] = []
            stop = asyncio.Event()

            async def calls() -> None:
                reader, writer = await asyncio.open_connection(listen.host, listen.port)
                while not stop.is_set():
                    writer.write(request())
                    statuses.append((await read_message(reader)).status)
                writer.close()

            async def standing() -> dict[str, Any]:
                found = (await figures(door))["configuration"]
                assert isinstance(found, dict)
                return found

            async def in_force(index: int) -> None:
                while (await standing())["index"] != index:
                    await asyncio.sleep(0.01)

            callers = [asyncio.create_task(calls()) for _ in range(4)]
            reader, writer = await asyncio.open_connection(listen.host, listen.port)
            writer.write(request(Host="stuck.example.org"))
            await until(lambda: len(stuck.got) == 1)
            classes = [dict(c, deadline=25_000.0) for c in CLASSES]
            for change in (
                {"classes": classes},
                {"limits": {"tryLimit": 2}},
                {"projects": [{"name": "acme", "quotaRps": 50.0}]},
                {"classes": [dict(c, deadline=300.0) for c in CLASSES]},
            ):
                await in_force(control.commit({"settings": change}))
            # A call of before keeps its time; a new one has the new deadline.
            late = await asyncio.open_connection(listen.host, listen.port)
            late[1].write(request(Host="stuck.example.org"))
            assert (await read_message(late[0])).status in (503, 504)
            slow.set()
            assert (await read_message(reader)).status == 200
            await in_force(control.commit({"settings": {"limits": {"tryLimit": 1}}}))
            bad = control.commit({"settings": {"limits": {"tryLimit": 0}}})
            await until(lambda: control.reports[-1]["index"] == bad)
            assert control.reports[-1]["cause"] == "settings: limits.tryLimit must be 1 or more"
            found = await standing()
            assert found["index"] == bad - 1 and found["refused"]["index"] == bad
            assert found["bytes_in"] > 0 and found["bytes_out"] > 0
            control.stop()
            before = len(statuses)
            while (await standing())["instance"]:
                await asyncio.sleep(0.01)
            await until(lambda: len(statuses) > before + 50)
            code, _ = await call(door, "GET", "/-/ready")
            assert code == 200, "it serves on without control"
            stop.set()
            await asyncio.gather(*callers)
            assert set(statuses) == {200}, "no call was lost"
            assert [document.index for document in LastGood(tmp_path, "n3").read()] == [bad - 1]
        finally:
            process.terminate()
            await asyncio.to_thread(process.wait)
            stderr.close()

    run(test)
