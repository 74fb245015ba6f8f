"""`top`: where sidecars stand by what their doors tell, and doors that tell nothing or anything."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from io import StringIO

import pytest
from hypothesis import given
from hypothesis import strategies as st
from rich.console import Console

from millgw.platform.config import Address
from millgw.standins.http import ok, status
from millgw.standins.scripted import ScriptedEndpoint, answer_with
from millgw.top import door
from millgw.top.command import verdict
from millgw.top.door import Trouble
from millgw.top.figures import Aside, Figures, LocalityFigures, Look, Rotation, ZoneFigures
from millgw.top.show import MOST_ENDPOINTS, as_json, tables
from millgw.top.standing import KINDS, Standing, by_class, by_distance, by_endpoint, by_zone
from tests.kinds import pure_run_only
from tests.rig import SWITCHING_PROTOCOLS, request, run, sidecar

pytestmark = pure_run_only


def seen(served: int, relayed: int = 0, ready: bool = True, out: tuple[Aside, ...] = ()) -> Look:
    figures = Figures({"a": served, "b": 0}, {"a": 0, "b": 0}, {"a": 0, "b": 0}, relayed, 1, 4, len(out))
    return Look(figures, ready, Rotation(list(out)))


def shown(*standings: Standing) -> str:
    console = Console(file=StringIO(), width=200, no_color=True)
    console.print(tables(standings))
    file = console.file
    assert isinstance(file, StringIO)
    return file.getvalue()


def zoned(standing: str, near: int) -> Look:
    look = seen(1)
    zones = {
        "a": ZoneFigures("near", standing, 0.98, 1.0),
        "b": ZoneFigures("region", "serving", 0.02, 1.0),
    }
    away = {"capacity": 1, "exploring": 0}
    look.figures.locality = {"": LocalityFigures({"near": near, "region": 1, "remote": 0}, away, zones)}
    return look


# Standing


def test_rates_are_between_two_looks_and_attempts_too() -> None:
    standing = Standing("d")
    standing.take(10.0, seen(100, 150))
    assert standing.per_second("fulfilled") is None and standing.attempts() == 1.5
    standing.take(12.0, seen(140, 200))
    assert standing.per_second("fulfilled") == 20.0 and standing.attempts() == 50 / 40
    assert standing.processes == 1


def test_a_new_process_counts_from_0_and_is_no_negative_rate() -> None:
    standing = Standing("d")
    standing.take(0.0, seen(1000, 1000))
    standing.take(1.0, seen(30, 40))
    assert standing.per_second("fulfilled") == 30.0 and standing.processes == 2
    assert standing.attempts() == 40 / 30


def test_what_can_t_be_asked_keeps_no_old_figure_as_new() -> None:
    standing = Standing("d")
    standing.take(0.0, seen(10))
    standing.take(1.0, seen(20))
    standing.miss("no answer within 1 s")
    assert standing.state == "no answer within 1 s" and standing.per_second("fulfilled") is None
    assert by_class([standing]) == {} and by_endpoint([standing]) == [] and standing.attempts() is None
    standing.take(4.0, seen(50))
    assert standing.per_second("fulfilled") == 10.0, "over the three seconds since it last told"


@given(st.lists(st.tuples(st.integers(0, 50), st.integers(0, 50), st.booleans()), min_size=1, max_size=20))
def test_what_is_gained_adds_up_to_what_the_processes_counted(steps: list[tuple[int, int, bool]]) -> None:
    standing, served, relayed, whole, before = Standing("d"), 0, 0, 0, 0
    for now, (more, tries, anew) in enumerate(steps):
        if anew:
            # A new process that has counted as much again is not told apart by counts, so it has less.
            before, served, relayed = before + served, 0, 0
        served, relayed = served + more, relayed + tries
        last = standing.look.figures if standing.look else None
        if anew and last and (served >= last.fulfilled["a"] and relayed >= last.relayed):
            return
        standing.take(float(now), seen(served, relayed))
        whole += sum(row["fulfilled"] for row in standing.gained.values())
        assert whole == before + served
        assert all(count >= 0 for row in standing.gained.values() for count in row.values())


def test_classes_and_endpoints_of_many_are_put_together() -> None:
    bad, slow = Aside("10.0.0.7:1", "ejected"), Aside("10.0.0.8:1", "drains", "login")
    many = [Standing(f"d{i}") for i in range(5)]
    for i, standing in enumerate(many):
        standing.take(0.0, seen(10, out=(bad, slow) if i < 2 else (bad,)))
    many[4].miss("refused")
    assert by_class(many)["a"] == dict(zip(KINDS, (40, 0, 0), strict=True))
    assert by_endpoint(many) == [(bad, 4), (slow, 2)]
    assert verdict(many) == 3 and verdict(many[:4]) == 0
    many[0].take(1.0, seen(10, ready=False))
    assert verdict(many[:4]) == 1


def test_zones_of_all_sidecars_are_put_together() -> None:
    standings = [Standing("d1"), Standing("d2"), Standing("d3")]
    for standing, what in zip(standings, ("lost", "serving", "lost"), strict=True):
        standing.take(0.0, zoned(what, 32))
    standings[2].miss("refused")
    assert by_zone(standings) == {"a": {"lost": 1, "serving": 1}, "b": {"serving": 2}}
    assert by_distance(standings) == ({"near": 64, "region": 2, "remote": 0}, {"capacity": 2, "exploring": 0})
    screen = shown(*standings)
    assert "lost 1, serving 1" in screen and "near 97.0%" in screen and "away for capacity 2" in screen
    assert as_json(standings)["zones"]["a"] == {"lost": 1, "serving": 1}
    assert "zone" not in shown(Standing("d")), "nothing of it where no places are set"


def test_a_screen_names_so_many_endpoints_and_counts_the_rest_and_obeys_nothing() -> None:
    standing = Standing("127.0.0.1:1")
    standing.take(0.0, seen(1, out=tuple(Aside(f"10.0.0.{i}:1", "ejected") for i in range(20))))
    said = shown(standing)
    assert f"and {20 - MOST_ENDPOINTS} more out of rotation" in said and "10.0.0.0:1" in said
    hostile = Standing("127.0.0.1:2")
    hostile.take(0.0, seen(1, out=(Aside("[red]\x1b[31m\n", "why"),)))
    assert "[red]?[31m?" in shown(hostile)
    told = as_json([standing, hostile])
    assert json.loads(json.dumps(told))["sidecars"]["127.0.0.1:1"]["figures"]["open_requests"] == 1


# Doors

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def told_by(script: Script, within: float = 0.3) -> str:
    """What a door that behaves so comes to."""
    server = await asyncio.start_server(script, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    begun = time.monotonic()
    try:
        await door.look(Address(host, port), within)
    except Trouble as trouble:
        assert time.monotonic() - begun < within + 5.0
        return str(trouble)
    finally:
        server.close()
    return ""


def saying(data: bytes, every: float = 0.0) -> Script:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        try:
            for i in range(len(data) if every else 1):
                writer.write(data[i : i + 1] if every else data)
                await writer.drain()
                await asyncio.sleep(every)
            writer.close()
        except OSError:
            pass

    return script


def answer(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


@pytest.mark.parametrize(
    ("script", "says"),
    [
        (saying(b"\x00\x01\x02 noise\r\n\r\n"), "does not speak HTTP"),
        (saying(b"SSH-2.0-x\r\n"), "does not speak HTTP"),
        (saying(SWITCHING_PROTOCOLS), "does not speak HTTP"),
        (saying(b""), "broke off"),
        (saying(answer(b"{}")[:-1]), "broke off"),
        (saying(answer(b"[]")), "can't be read"),
        (saying(answer(b'{"fulfilled": {"a": "x"}}')), "can't be read"),
        (saying(answer(b"\xff\xfe")), "can't be read"),
        (saying(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), "/-/metrics answers 500"),
        (saying(b"HTTP/1.1 200 OK\r\nContent-Length: 9999999\r\n\r\n" + b"x" * 2_000_000), "too long"),
        (saying(answer(b"{}"), every=0.2), "no answer within 0.3 s"),
    ],
)
def test_a_door_that_answers_noise_slowly_or_without_end_is_said_to(script: Script, says: str) -> None:
    run(lambda: _says(script, says))


async def _says(script: Script, says: str) -> None:
    assert says in await told_by(script)


def test_a_door_that_is_silent_or_not_there() -> None:
    async def test() -> None:
        async def nothing(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read()

        assert await told_by(nothing) == "no answer within 0.3 s"
        server = await asyncio.start_server(nothing, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        server.close()
        with pytest.raises(Trouble, match="refused"):
            await door.look(Address(host, port))

    run(test)


def test_a_sidecar_before_this_call_has_figures_all_the_same() -> None:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        body = json.dumps(
            {"fulfilled": {}, "throttled": {}, "faulted": {}, "relayed": 1, "open_requests": 0,
             "registry_entries": 9, "out_of_rotation": 3, "newer": [1]}
        ).encode()  # fmt: skip
        none = b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"
        writer.write(none if b"/-/endpoints" in head else answer(body))
        writer.close()

    async def test() -> None:
        server = await asyncio.start_server(script, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        found = await door.look(Address(host, port))
        server.close()
        assert found.figures.registry_entries == 9 and found.rotation.unnamed == 3 and found.ready

    run(test)


def test_a_sidecar_s_door_names_the_endpoints_out_of_rotation_and_why() -> None:
    from millgw.standins.address import free_address

    async def test() -> None:
        bad = ScriptedEndpoint("bad", answer_with(status(500)))
        good = [ScriptedEndpoint(f"good{i}", answer_with(ok())) for i in range(4)]
        async with sidecar(bad, *good, control=free_address()) as rig:
            control = rig.config.control
            assert control is not None
            assert (await door.look(control)).rotation.out_of_rotation == []
            end = time.monotonic() + 20
            while not (found := await door.look(control)).rotation.out_of_rotation:
                assert time.monotonic() < end
                await asyncio.gather(*(rig.ask(request("read")) for _ in range(20)))
            (one,) = found.rotation.out_of_rotation
            assert (one.endpoint, one.why, one.service) == (str(bad.address), "ejected", "")
            assert found.figures.out_of_rotation == 1 and found.ready
            standing = Standing(str(control))
            standing.take(0.0, found)
            assert str(bad.address) in shown(standing) and "read" in shown(standing)

    run(test)


def test_a_hundred_doors_are_asked_at_once_within_the_time_of_some() -> None:
    from millgw.top.command import _look

    async def test() -> None:
        held = 0
        most = 0

        async def nothing(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal held, most
            held += 1
            most = max(most, held)
            await reader.read()
            held -= 1

        server = await asyncio.start_server(nothing, "127.0.0.1", 0, backlog=512)
        host, port = server.sockets[0].getsockname()
        standings = [Standing(str(i)) for i in range(100)]
        await _look([Address(host, port)] * 100, standings, 0.1)
        server.close()
        assert {s.state for s in standings} == {"no answer within 0.1 s"}
        assert most <= 3 * 32

    run(test)
