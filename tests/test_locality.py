"""Choosing by zone in the module, in the daemon on sockets, in the operator's file and at the door."""

from __future__ import annotations

import asyncio
import copy
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from millgw.interface import (
    CloseConnections,
    Condition,
    Endpoint,
    ListKind,
    Outcome,
    Repeat,
    RequestClass,
    Scope,
    Send,
    Settings,
)
from millgw.locality.domains import MIN_STALL_TIME, ZoneState
from millgw.locality.places import Places
from millgw.locality.router import LocalityOptions, ZoneRouter
from millgw.operator.file import OperatorError, parse
from millgw.standins.address import free_address
from millgw.standins.http import ok
from millgw.standins.scripted import ScriptedEndpoint, answering, silent
from millgw.top import door
from millgw.top.show import as_json
from millgw.top.standing import Standing as Sidecar
from tests.kinds import once
from tests.outside import loaded, refused
from tests.rig import SETTINGS as WORDED
from tests.rig import request, run, services
from tests.support import KEYED, SAFE, SETTINGS, UNSAFE, Drive

REGIONS = (0, 0, 1)  # zones 0 and 1 are one region, zone 2 another
BY_ZONE = replace(
    SETTINGS,
    classes=(
        RequestClass("read", 3000.0, Repeat.SAFE, 1000.0),
        RequestClass("write", 3000.0, Repeat.KEYED, 1000.0, 2.0, Scope.ZONE, 800.0),
        RequestClass("pay", 3000.0, Repeat.UNSAFE, 1000.0, 8.0),
    ),
    stage=1,
)


def placed(zone: int, number: int, **more: Any) -> Endpoint:
    return Endpoint(100 * (zone + 1) + number, zone=zone, cell=zone, **more)


def listed(each: int = 4) -> tuple[Endpoint, ...]:
    return tuple(placed(zone, number) for zone in range(3) for number in range(each))


def near(config: Settings = BY_ZONE, each: int = 4, seed: int = 1, **options: Any) -> Drive:
    """A module in zone 0 that has long served near by."""
    # Two zones can do what callers ask for, so that one lost zone sends nobody to another region.
    router = ZoneRouter(Places(0, REGIONS), LocalityOptions(fill=0.5, **options), seed)
    made = Drive(config, seed, router)
    made.show(*listed(each))
    for _ in range(40):
        made.advance(made.now + 1000.0)
        for _ in range(4):
            serve(made)
    return made


def serve(made: Drive, cls: int = SAFE, outcome: Outcome = Outcome.OK, took: float = 10.0) -> int:
    """One call, whose first attempt ends so; the zone that it went to."""
    call = made.arrive(cls)
    zone = made.known[made.sent_to(call)[0]].zone
    made.advance(made.now + took)
    made.outcome(call, 0, outcome)
    return zone


def silence(made: Drive, zone: int) -> list[int]:
    """Calls that go into a zone, none of which is answered; by now it is held to be lost."""
    calls: list[int] = []
    while len({e for c in calls for e in made.sent_to(c)}) < 3 or len(calls) < 3:
        call = made.arrive(patience=60_000.0)
        if made.known[made.sent_to(call)[0]].zone == zone:
            calls.append(call)
        else:
            made.outcome(call, 0, Outcome.OK)
    made.advance(made.now + 2 * MIN_STALL_TIME)
    serve(made)
    return calls


def router_of(made: Drive) -> ZoneRouter:
    assert isinstance(made.balancer.locality, ZoneRouter)
    return made.balancer.locality


# The module


def test_calls_stay_near() -> None:
    made = near()
    zones = [serve(made) for _ in range(400)]
    assert zones.count(0) >= 380 and 2 not in zones


def test_an_order_of_zones_never_costs_a_call_that_some_endpoint_can_serve() -> None:
    """All of the near zones drain: what is left far away is sent to."""
    made = near()
    made.show(
        *(replace(e, condition=Condition.DRAINING) for e in listed() if e.zone < 2), kind=ListKind.DELTA
    )
    assert {serve(made) for _ in range(20)} == {2}


def test_a_lost_zone_is_left_at_once_and_its_connections_are_distrusted() -> None:
    made = near()
    calls = silence(made, 0)
    assert router_of(made).domains.state(0) is ZoneState.LOST
    distrusted = [a for _, a in made.log if isinstance(a, CloseConnections)]
    assert [set(a.endpoints) for a in distrusted] == [{e.id for e in listed() if e.zone == 0}]
    assert {serve(made) for _ in range(50)} == {1}
    ejected = [s for s in made.balancer.ring if made.now < s.ejected_until]
    assert not ejected, "the zone is left as one, with no ejection"
    for call in calls:
        made.outcome(call, 0, Outcome.TIMEOUT)


def test_a_zone_that_returns_is_tried_by_one_call_and_counts_as_cold() -> None:
    made = near()
    silence(made, 0)
    back = made.now + 10_000.0
    while made.now < back:
        made.advance(made.now + 200.0)
        call = made.arrive()
        zone = made.known[made.sent_to(call)[0]].zone
        made.outcome(call, 0, Outcome.CONNECT_FAILED if zone == 0 else Outcome.OK)
        if zone == 0:
            made.advance(made.now + 600.0)
            made.outcome(call, 1, Outcome.OK)
    tries = [t for t, a in made.log if isinstance(a, Send) and t > back - 9000 and a.endpoint < 200]
    assert 1 <= len(tries) <= 8
    while serve(made) != 0:
        made.advance(made.now + 200.0)
    cold = made.balancer.cold
    shares = [cold.share(s, made.now) for s in made.balancer.ring if s.info.zone == 0]
    assert max(shares) <= SETTINGS.cold_share + 0.01
    assert not any(s.back for s in made.balancer.ring if s.missed < 2), "siblings are told of no restart"


def test_a_keyed_call_gets_no_second_group_because_its_zone_was_left() -> None:
    made = near()
    call = made.arrive(KEYED, patience=60_000.0)
    zone = made.known[made.sent_to(call)[0]].zone
    silence(made, zone)
    made.outcome(call, 0, Outcome.TIMEOUT)
    made.advance(made.now + 700.0)
    assert {made.known[e].zone for e in made.sent_to(call)} == {zone}


def test_an_unsafe_call_that_may_have_run_is_not_sent_to_another_zone() -> None:
    made = near()
    call = made.arrive(UNSAFE)
    made.outcome(call, 0, Outcome.TIMEOUT)
    assert len(made.sent_to(call)) == 1 and made.answers[call] == "failed"


def test_a_class_that_is_kept_fails_rather_than_leave_its_region() -> None:
    made = near(classes_kept_in_region=frozenset({SAFE}))
    made.show(*(replace(e, condition=Condition.GONE) for e in listed() if e.zone < 2), kind=ListKind.DELTA)
    call = made.arrive(SAFE, patience=500.0)
    assert made.sent_to(call) == []
    made.advance(made.now + 500.0)
    assert made.answers[call] == "refused"
    assert serve(made, UNSAFE) == 2, "others may"


def test_a_zone_that_fails_spends_its_own_tokens_only() -> None:
    made = near()
    for _ in range(60):
        call = made.arrive()
        for number in range(4):
            if len(made.tries[call]) <= number or call not in made.open:
                break
            zone = made.known[made.tries[call][number][0]].zone
            made.outcome(call, number, Outcome.ERROR if zone == 0 else Outcome.OK)
            made.advance(made.now + 600.0)
    budgets = made.balancer.budgets
    assert budgets[0].tokens < 10.0 <= budgets[1].tokens


def test_lists_that_name_unknown_zones_or_move_endpoints_are_served() -> None:
    made = near()
    call = made.arrive(patience=5000.0)
    moved = replace(made.known[made.sent_to(call)[0]], zone=1)
    made.show(moved, placed(7, 0), placed(7, 1), kind=ListKind.DELTA)
    made.outcome(call, 0, Outcome.OK)
    assert set(made.balancer.zones) == {0, 1, 2, 7}
    assert sum(len(ring) for ring in made.balancer.zones.values()) == 14
    zones = {serve(made) for _ in range(100)}
    assert 7 not in zones and 0 in zones


def test_without_places_decisions_are_those_of_one_pool_for_the_same_seed() -> None:
    """A list with zones and one without make the same decisions where no places are set."""
    logs = []
    for zones in (True, False):
        made = Drive(SETTINGS, 3)
        made.show(*(e if zones else replace(e, zone=0) for e in listed()))
        for i in range(300):
            outcome = Outcome.ERROR if i % 7 == 0 else Outcome.OK
            call = made.arrive()
            made.advance(made.now + 15.0)
            for number in range(4):
                if number < len(made.tries[call]) and call in made.open:
                    made.outcome(call, number, outcome)
                    made.advance(made.now + 600.0)
        logs.append([(t, str(a)) for t, a in made.log])
    assert logs[0] == logs[1]


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 10_000), st.lists(st.sampled_from("abcdefgh"), max_size=60))
def test_rules_hold_whatever_zones_do(seed: int, steps: list[str]) -> None:
    """Losses, returns, moves and drains in any order: `Drive` checks rules 1 to 3 on every action."""
    made = Drive(BY_ZONE, seed, ZoneRouter(Places(0, REGIONS), LocalityOptions(), seed))
    made.show(*listed())
    gone: set[int] = set()
    for i, step in enumerate(steps):
        made.advance(made.now + 150.0)
        if step in "abc":
            gone ^= {"abc".index(step)}
        elif step == "d":
            moved = made.known[100 + i % 4]
            made.show(replace(moved, zone=(moved.zone + 1) % 3), kind=ListKind.DELTA)
        elif step == "e":
            made.show(replace(made.known[200 + i % 4], condition=Condition.DRAINING), kind=ListKind.DELTA)
        else:
            call = made.arrive(i % 3)
            for number in range(4):
                if number >= len(made.tries[call]) or call not in made.open:
                    break
                zone = made.known[made.tries[call][number][0]].zone
                wait = 400.0 if zone in gone else 10.0
                made.advance(made.now + wait)
                if call in made.open:
                    made.outcome(call, number, Outcome.TIMEOUT if zone in gone else Outcome.OK)
                made.advance(made.now + 50.0)
                keyed = [
                    made.known[e].zone for e, _, o in made.tries[call] if o is not Outcome.CONNECT_FAILED
                ]
                assert i % 3 != KEYED or len(set(keyed)) <= 1 or step == "d"
    made.advance(made.now + 5000.0)


# The operator's file

PLACED = """
[places]
zone = "a"
regions = { south = ["a", "b"], north = ["c"] }
fill = 0.4
"""


@once
@pytest.mark.parametrize(
    ("text", "says"),
    [
        ('[places]\nregions = { south = ["a"] }', "places"),
        ('[places]\nzone = "x"\nregions = { south = ["a"] }', "places.zone: 'x' is in none of the regions"),
        (
            '[places]\nzone = "a"\nregions = { south = ["a"], north = ["a"] }',
            "places.regions.north[0]: 'a' is in region 'south' too",
        ),
        ('[places]\nzone = "a"\nfill = 1.5', "places.fill: Expected"),
        ('[places]\nzone = "a"\ncallers = { a = 0 }', "places.callers: there are none"),
        ('[places]\nzone = "a"\nfil = 1.0', "places.fil: no such key"),
    ],
)
def test_bad_places_are_named(
    text: str, says: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    with pytest.raises(OperatorError) as caught:
        parse(text, "o.toml")
    assert says in str(caught.value)
    assert says in refused(tmp_path, text, capsys)


@once
def test_a_zone_that_the_settings_do_not_have_ends_a_start(tmp_path: Path) -> None:
    async def test() -> None:
        with pytest.raises(ValueError, match=r"places\.zone: the settings' localities have no 'z'"):
            async with services(tmp_path, '[places]\nzone = "z"\n'):
                pass

    run(test)


@once
def test_the_daemon_loads_nothing_of_zones_without_places() -> None:
    assert loaded("millgw.sidecar.__main__, millgw.sidecar.parts", "millgw.locality") == []


# The daemon


def static(zone: str, *endpoints: ScriptedEndpoint) -> str:
    rows = [
        f'[[services.app.endpoints]]\nname = "{e.name}"\naddress = "{e.address}"\nzone = "{zone}"\n'
        for e in endpoints
    ]
    return "".join(rows)


async def fleet(prefix: str, count: int) -> list[ScriptedEndpoint]:
    made = [ScriptedEndpoint(f"{prefix}{i}", answering(ok())) for i in range(count)]
    for endpoint in made:
        await endpoint.start()
    return made


ONE_SERVICE = '[services.app]\n[[routes]]\nto = "app"\n'


@pytest.fixture
def three_zones(monkeypatch: pytest.MonkeyPatch) -> None:
    words = copy.deepcopy(WORDED) | {"localities": ["a", "b", "c"]}
    monkeypatch.setattr("tests.rig.SETTINGS", words)


@pytest.mark.usefixtures("three_zones")
def test_a_daemon_stays_near_leaves_a_silent_zone_and_tells_so_at_its_door(tmp_path: Path) -> None:
    async def test() -> None:
        a, b, c = await fleet("a", 3), await fleet("b", 3), await fleet("c", 2)
        text = ONE_SERVICE + static("a", *a) + static("b", *b) + static("c", *c) + PLACED
        control = free_address()
        async with services(tmp_path, text, control=control) as node:
            deadline = asyncio.get_running_loop().time() + 25.0
            near = 0
            while near < 45:
                assert asyncio.get_running_loop().time() < deadline, "near by is not preferred"
                before = sum(len(e.got) for e in a)
                for _ in range(50):
                    await node.ask(request("read"))
                near = sum(len(e.got) for e in a) - before
                await asyncio.sleep(0.1)
            assert not any(e.got for e in c), "another region is not sent to"
            for endpoint in a:
                endpoint.script = silent
            waiting = [asyncio.create_task(node.ask(request("read", patience=8000))) for _ in range(12)]
            await asyncio.sleep(0.6)
            served = [await node.ask(request("read", patience=3000)) for _ in range(40)]
            assert [m.status for m in served] == [200] * 40
            figures = (await door.look(control)).figures.locality["app"]
            assert figures.zones["a"].standing == "lost" and figures.zones["a"].distance == "near"
            assert figures.zones["b"].share > 0.9 and figures.attempts["near"] > 0
            sidecar = Sidecar(str(control))
            sidecar.take(0.0, await door.look(control))
            assert as_json([sidecar])["zones"]["a"] == {"lost": 1}
            for endpoint in a:
                endpoint.script = answering(ok())
            before = sum(len(e.got) for e in a)
            deadline = asyncio.get_running_loop().time() + 20.0
            while (await door.look(control)).figures.locality["app"].zones["a"].standing != "serving":
                assert asyncio.get_running_loop().time() < deadline, "it is never tried again"
                await node.ask(request("read"))
                await asyncio.sleep(0.02)
            assert sum(len(e.got) for e in a) - before <= 8, "its return is tried by single calls"
            for task in waiting:
                task.cancel()

    run(test, waits=40.0)
