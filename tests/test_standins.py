"""The stand-ins over loopback: what the protocol page says of endpoints, the discovery server and callers."""

from __future__ import annotations

import asyncio
import json
import os
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from typing import Any

import pytest

from millgw.http.message import has_unacknowledged
from millgw.rehearsal.audit.auditor import audit
from millgw.rehearsal.audit.rules import AuditRules, ClassRules, Repeats
from millgw.standins.address import free_address
from millgw.standins.caller import PAST, STILL_LOOKS, Desk, ready
from millgw.standins.deduplication import Group
from millgw.standins.discovery_server import Capacity, Delays, DiscoveryServer
from millgw.standins.endpoint import Endpoint
from millgw.standins.endpoint_options import Build, ColdRule, Task
from millgw.standins.endpoint_registry import Entry
from millgw.standins.http import Clock, Listener, Message, ok
from millgw.standins.ledger import Call, End, Ledger, Told
from millgw.standins.request_check import answer_token
from millgw.standins.scripted import ScriptedEndpoint, answering, read_message, silent
from tests.kinds import skip_if_pure
from tests.rig import run, wait_until

pytestmark = skip_if_pure

TASKS = {
    "codigo": Task(work=2.0, wait=0.0, cv=0.0, deadline=5000.0),
    "campanha": Task(work=2.0, wait=20.0, cv=0.0, deadline=5000.0, keyed=True, window=300.0),
    "slow": Task(work=1.0, wait=2000.0, cv=0.0, deadline=5000.0),
    "report": Task(work=1.0, wait=0.0, cv=0.0, deadline=5000.0, answer=1 << 21, pace=1 << 10),
}


class Bench:
    """One endpoint with its ledger, and a caller that speaks to it as a sidecar would."""

    def __init__(self, group: Group | None = None, ledger: Ledger | None = None, **build: Any) -> None:
        self.ledger = Ledger() if ledger is None else ledger
        self.clock = Clock()
        made = Build("e1", 1, 0, free_address(), handshake_work=0.0)
        self.endpoint = Endpoint(
            replace(made, **build), TASKS, group or Group(), self.ledger, self.clock, ColdRule(), 1
        )
        self.numbers = iter(range(1, 1000))

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        address = self.endpoint.build.address
        return await asyncio.open_connection(address.host, address.port)

    def word(self, cls: str = "codigo", key: str = "", left: int = 4000, trace: str = "") -> bytes:
        trace = trace or f"t{next(self.numbers)}"
        keyed = f"Idempotency-Key: {key}\r\n" if key else ""
        return (
            f"POST /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: {trace}\r\nX-Qos: {cls}\r\n"
            f"X-Expires-In-Ms: {left}\r\n{keyed}Content-Length: 0\r\n\r\n"
        ).encode()

    async def ask(self, word: bytes) -> Message:
        reader, writer = await self.connect()
        writer.write(word)
        try:
            return await read_message(reader)
        finally:
            writer.close()


def test_an_endpoint_answers_and_books_what_it_ran() -> None:
    async def test() -> None:
        bench = Bench()
        bench.endpoint.start(cold=False)
        answer = await bench.ask(bench.word(trace="abc"))
        (attempt,) = bench.ledger.attempts
        assert answer.status == 200 and answer_token(answer.body) == attempt.token
        assert (attempt.trace, attempt.told, attempt.endpoint) == ("abc", Told.OK, "e1")
        assert attempt.began is not None and attempt.ended is not None and attempt.last is not None
        assert attempt.first <= attempt.last <= attempt.began <= attempt.ended
        assert (await bench.ask(b"GET /api HTTP/1.1\r\nHost: x\r\n\r\n")).status == 404
        assert (await bench.ask(b"GET /health HTTP/1.1\r\nHost: x\r\nX-Trace-Id: a\r\n\r\n")).status == 404
        assert len(bench.ledger.attempts) == 1

    run(test)


@pytest.mark.parametrize("why", ["draining", "full", "crowded", "over"])
def test_what_is_turned_away_says_that_it_never_ran(why: str) -> None:
    async def test() -> None:
        bench = Bench(slots=1, waiting=0, connections=1 if why == "crowded" else 10)
        bench.endpoint.start(cold=False)
        busy = []
        if why == "draining":
            bench.endpoint.drain()
        if why in ("full", "crowded"):
            busy.append(await bench.connect())
            busy[0][1].write(bench.word("slow"))
            await wait_until(lambda: any(a.began for a in bench.ledger.attempts))
        answer = await bench.ask(bench.word(left=0 if why == "over" else 4000))
        assert answer.status in (503, 504) and answer.headers["x-never-ran"] == "1"
        assert bench.ledger.attempts[-1].told is Told.NEVER_RAN and bench.ledger.attempts[-1].began is None

    run(test)


def test_those_that_wait_are_served_in_turn_and_dropped_when_their_caller_leaves() -> None:
    async def test() -> None:
        bench = Bench(slots=1, waiting=2)
        bench.endpoint.start(cold=False)
        first, left, last = [await bench.connect() for _ in range(3)]
        first[1].write(bench.word("slow", trace="first"))
        await wait_until(lambda: len(bench.ledger.attempts) == 1)
        left[1].write(bench.word(trace="left"))
        await wait_until(lambda: len(bench.ledger.attempts) == 2)
        left[1].close()
        await wait_until(lambda: not bench.endpoint.room.waiting)
        last[1].write(bench.word(trace="last"))
        assert (await read_message(last[0])).status == 200
        began = {a.trace: a.began for a in bench.ledger.attempts}
        assert began["left"] is None and began["last"] is not None

    run(test)


def test_a_group_drops_repeats_of_a_key_for_its_window() -> None:
    async def test() -> None:
        group, ledger = Group(), Ledger()
        one, two = Bench(group, ledger), Bench(group, ledger)
        for bench in (one, two):
            bench.endpoint.start(cold=False)
        first, again = await asyncio.gather(
            one.ask(one.word("campanha", "k", trace="first")),
            two.ask(two.word("campanha", "k", trace="again")),
        )
        ran = [a for a in ledger.attempts if a.began is not None]
        assert first.body == again.body and len(ran) == 1
        assert {a.repeat_of for a in ledger.attempts} == {"", ran[0].trace}
        await asyncio.sleep(0.35)
        assert (await two.ask(two.word("campanha", "k"))).status == 200
        assert len([a for a in ledger.attempts if a.began is not None]) == 2

    run(test)


def test_a_silent_endpoint_holds_its_connections_and_takes_no_new_ones_until_it_is_back() -> None:
    async def test() -> None:
        bench = Bench(cold_ms=1000.0)
        bench.endpoint.start(cold=False)
        reader, writer = await bench.connect()
        writer.write(bench.word())
        assert (await read_message(reader)).status == 200
        bench.endpoint.silence()
        writer.write(bench.word(trace="unheard"))
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await reader.read(1)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await bench.connect()
        unheard = bench.ledger.attempts[-1]
        assert unheard.trace == "unheard" and unheard.last is not None and unheard.told is Told.NOTHING
        life = bench.endpoint.start(cold=True)
        with pytest.raises(ConnectionResetError):
            await reader.read(1)
        assert (await bench.ask(bench.word())).status == 200
        assert life.number == 2 and life.capacity(life.start) < life.speed
        assert bench.ledger.lives[0].until is not None

    run(test)


def test_a_stopped_endpoint_resets_and_refuses() -> None:
    async def test() -> None:
        bench = Bench()
        bench.endpoint.start(cold=False)
        reader, writer = await bench.connect()
        writer.write(bench.word("slow"))
        await wait_until(lambda: any(a.began for a in bench.ledger.attempts))
        bench.endpoint.stop()
        with pytest.raises(ConnectionResetError):
            await reader.read(1)
        with pytest.raises(ConnectionRefusedError):
            await bench.connect()
        assert bench.ledger.attempts[0].told is Told.NOTHING and bench.ledger.attempts[0].ended is None

    run(test)


def test_a_cold_endpoint_that_is_sent_too_much_falls_over_and_stays_down() -> None:
    async def test() -> None:
        bench = Bench(speed=0.05, cold_ms=60_000.0, slots=100)
        fallen: list[Endpoint] = []
        bench.endpoint.fell = fallen.append
        bench.endpoint.start(cold=True)
        with suppress(OSError):  # it is down by then
            for _ in range(30):
                _, writer = await bench.connect()
                writer.write(bench.word())
                await asyncio.sleep(0.001)
        await wait_until(lambda: bool(fallen))
        with pytest.raises(ConnectionRefusedError):
            await bench.connect()
        assert bench.ledger.lives[0].fell is not None

    run(test)


@pytest.mark.parametrize("ill", ["failing", "resetting", "spoiling"])
def test_ills_are_booked_as_what_the_caller_saw(ill: str) -> None:
    async def test() -> None:
        bench = Bench()
        setattr(bench.endpoint.ills, ill, 1.0)
        bench.endpoint.start(cold=False)
        for _ in range(6):
            with suppress(TimeoutError, asyncio.IncompleteReadError, ConnectionError, ValueError):
                async with asyncio.timeout(0.2):
                    await bench.ask(bench.word())
        await wait_until(lambda: all(a.told is not Told.NOTHING for a in bench.ledger.attempts))
        told = {a.told for a in bench.ledger.attempts}
        expected = {"failing": {Told.ERROR}, "resetting": {Told.RESET}, "spoiling": {Told.SPOILT, Told.OK}}[
            ill
        ]
        # An answer with a second one behind it is spoilt too, but its first is whole and counts.
        assert told <= expected and told - {Told.OK}

    run(test)


def test_idle_connections_are_closed() -> None:
    async def test() -> None:
        bench = Bench(idle=50.0)
        bench.endpoint.start(cold=False)
        reader, writer = await bench.connect()
        writer.write(bench.word())
        assert (await read_message(reader)).status == 200
        assert await reader.read() == b""

    run(test)


def test_idle_times_may_be_random_and_connections_bounded_in_their_answers() -> None:
    async def test() -> None:
        bench = Bench(idle=400.0, idle_random=True, uses=2)
        bench.endpoint.start(cold=False)
        opened = [await bench.connect() for _ in range(20)]
        await asyncio.sleep(0.2)
        left = len(bench.endpoint.connections)
        assert 0 < left < 20
        for _, writer in opened:
            writer.close()
        reader, writer = await bench.connect()
        for _ in range(2):
            writer.write(bench.word())
            assert (await read_message(reader)).status == 200
        assert await reader.read() == b""
        assert len(bench.ledger.handshakes) == 21

    run(test)


def test_a_forgotten_connection_takes_nothing_and_confirms_nothing() -> None:
    async def test() -> None:
        bench = Bench()
        bench.endpoint.start(cold=False)
        bench.endpoint.forgets_after = 50.0
        reader, writer = await bench.connect()
        writer.write(bench.word())
        assert (await read_message(reader)).status == 200
        assert not has_unacknowledged(writer.transport)  # type: ignore[arg-type]
        await wait_until(lambda: all(c.forgotten for c in bench.endpoint.connections))
        writer.write(bench.word(trace="vanishes"))
        await asyncio.sleep(0.1)
        assert has_unacknowledged(writer.transport)  # type: ignore[arg-type]
        assert [a.trace for a in bench.ledger.attempts] == ["t1"]
        assert (await bench.ask(bench.word())).status == 200  # new ones are not harmed

    run(test)


def test_a_request_that_ends_within_its_head_is_booked_and_held_against_nothing() -> None:
    async def test() -> None:
        bench = Bench()
        bench.endpoint.start(cold=False)
        word = bench.word(trace="cut")
        bench.ledger.book(Call("cut", "r", 0, "codigo", "", "", "n", 0.0))
        _, writer = await bench.connect()
        writer.write(word[:-1])
        await asyncio.sleep(0.05)
        writer.close()
        await wait_until(lambda: bool(bench.ledger.attempts))
        (attempt,) = bench.ledger.attempts
        assert attempt.trace == "cut" and attempt.last is None and not attempt.why

    run(test)


def test_a_listener_can_be_silenced_and_closed_over_and_over() -> None:
    async def test() -> None:
        listener = Listener(free_address(), asyncio.Protocol)
        address = listener.address
        for _ in range(3):
            listener.open()
            _, writer = await asyncio.open_connection(address.host, address.port)
            listener.silence()
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.1):
                    await asyncio.open_connection(address.host, address.port)
            listener.close()
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection(address.host, address.port)
            writer.close()

    run(test)


def test_silence_works_past_the_descriptors_that_select_can_take() -> None:
    async def test() -> None:
        held = [os.dup(0) for _ in range(1100)]
        try:
            listener = Listener(free_address(), asyncio.Protocol)
            listener.open()
            listener.silence()
            assert listener.fillers[-1].fileno() > 1023
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.1):
                    await asyncio.open_connection(listener.address.host, listener.address.port)
            listener.close()
        finally:
            for fd in held:
                os.close(fd)

    run(test)


# The discovery server


def entry(name: str, status: str = "in_service", life: int = 1) -> Entry:
    return Entry(name, 1, life, "127.0.0.1:1", 0, status)


class Watching:
    """A sidecar's watch, read line by line."""

    def __init__(self, discovery_server: DiscoveryServer, since: int | None = None, name: str = "n0") -> None:
        self.address = discovery_server.window(name, 1)
        self.since = since

    async def start(self) -> Message:
        self.reader, self.writer = await asyncio.open_connection(self.address.host, self.address.port)
        since = "" if self.since is None else f"&from={self.since}"
        self.writer.write(f"GET /v1/endpoints?watch=1{since} HTTP/1.1\r\nHost: c\r\n\r\n".encode())
        return await read_message(self.reader)

    async def line(self) -> dict[str, Any]:
        while True:
            size = int(await self.reader.readline(), 16)
            data = (await self.reader.readexactly(size + 2)).strip()
            if data:
                found: dict[str, Any] = json.loads(data)
                return found


def discovery_server(**capacity: float) -> DiscoveryServer:
    delays = Delays((10.0, 20.0), (10.0, 20.0), (10.0, 20.0))
    return DiscoveryServer(Ledger(), Clock(), 1, delays, replace(Capacity(lines=10_000.0), **capacity))


def test_the_discovery_server_lists_watches_and_books_what_it_wrote() -> None:
    async def test() -> None:
        made = discovery_server()
        made.list(entry("a"))
        watching = Watching(made)
        assert (await watching.start()).status == 200
        first = await watching.line()
        assert first["snapshot"] and [e["name"] for e in first["endpoints"]] == ["a"]
        made.notice(entry("a", "terminating"), (10.0, 20.0))
        second = await watching.line()
        assert not second["snapshot"] and second["endpoints"][0]["status"] == "terminating"
        later = Watching(made, since=first["index"])
        await later.start()
        assert (await later.line())["endpoints"] == second["endpoints"]
        reader, writer = await asyncio.open_connection(watching.address.host, watching.address.port)
        writer.write(b"GET /v1/endpoints HTTP/1.1\r\nHost: c\r\n\r\n")
        whole = json.loads((await read_message(reader)).body)
        assert whole["snapshot"] and whole["index"] == second["index"]
        told = [(w.endpoint, w.status) for w in made.ledger.words]
        assert told == [("a", "in_service"), ("a", "terminating"), ("a", "terminating"), ("a", "terminating")]
        assert [(c.endpoint, c.status) for c in made.ledger.changes] == [
            ("a", "in_service"),
            ("a", "terminating"),
        ]

    run(test)


def test_an_outage_ends_watches_and_a_restart_tells_the_whole_list() -> None:
    async def test() -> None:
        made = discovery_server()
        made.list(entry("a"))
        made.list(entry("b"))
        watching = Watching(made)
        await watching.start()
        index = (await watching.line())["index"]
        made.go_down()
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError, ValueError)):
            await watching.line()
        with pytest.raises(ConnectionRefusedError):
            await watching.start()
        made.list(entry("a", "terminated"))
        made.come_back(history=False)
        again = Watching(made, since=index)
        await again.start()
        line = await again.line()
        assert line["snapshot"] and [e["name"] for e in line["endpoints"]] == ["b"]
        gone = [w for w in made.ledger.words if w.status == "terminated"]
        assert [w.endpoint for w in gone] == ["a"], "what a whole list leaves out is told gone"
        assert made.ledger.outages[0].until is not None

    run(test)


def test_late_word_of_an_older_life_or_of_a_start_is_not_believed_over_a_newer_one() -> None:
    async def test() -> None:
        made = discovery_server()
        made.list(entry("a", life=2))
        for stale in (entry("a", "terminated", life=1), entry("a", life=2)):
            made.notice(stale, (0.0, 0.0))
        made.notice(entry("a", "terminating", life=2), (5.0, 5.0))
        await wait_until(lambda: len(made.ledger.changes) == 2)
        assert [c.status for c in made.ledger.changes] == ["in_service", "terminating"]

    run(test)


def test_calls_wait_their_turn_and_are_turned_away_when_that_takes_too_long() -> None:
    async def test() -> None:
        made = discovery_server(lines=100.0, call=20.0, timeout=300.0)
        watches = [Watching(made, name=f"n{i}") for i in range(4)]
        answers = await asyncio.gather(*(w.start() for w in watches))
        # Each takes 200 ms of its time: the third and fourth would wait for longer than they may.
        assert [a.status for a in answers].count(503) == 2

    run(test)


# Callers


def call(patience: float = 400.0) -> Call:
    return Call("t", "t", 0, "codigo", "acme", "", "n0", 0.0, patience=patience)


@pytest.mark.parametrize(
    ("answer", "end", "status"),
    [
        (ok(b"x"), End.ANSWERED, 200),
        (None, End.BROKEN, 0),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", End.LOST, 0),
        (b"nonsense\r\n\r\n", End.BROKEN, 0),
    ],
)
def test_a_caller_books_how_its_call_ended(answer: bytes | None, end: End, status: int) -> None:
    async def test() -> None:
        endpoint = ScriptedEndpoint("e", answering(answer))
        await endpoint.start()
        desk, made = Desk("n0", endpoint.address, Clock()), call()
        await desk.ask(made)
        assert (made.end, made.status) == (end, status) and made.sent is not None

    run(test)


def test_an_answer_broken_off_by_its_endpoint_at_its_first_bytes_is_not_held_against_the_sidecar() -> None:
    """The endpoint ends after the first piece, of which the head is a part: under 64 KiB of the body come."""

    async def test() -> None:
        bench = Bench()
        bench.endpoint.start(cold=False)
        desk = Desk("n0", bench.endpoint.build.address, bench.clock)
        made = call(patience=5000.0)
        made.cls = "report"
        bench.ledger.book(made)
        asking = asyncio.create_task(desk.ask(made))
        await wait_until(lambda: any(line.any_bytes for line in desk.lines))
        bench.endpoint.stop()
        await asking
        assert made.end is End.BROKEN and made.begun is not None
        (answers, *_) = audit(bench.ledger, AuditRules({"report": ClassRules(Repeats.RETRYABLE)})).findings
        assert answers.checked == 1 and not answers.broken, answers.evidence

    run(test)


class LongAnswer:
    """A caller whose patience is over, with the first bytes of a long answer and minutes of it to come."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.bench, self.waits_on = Bench(), asyncio.Event()
        self.bench.endpoint.start(cold=False)
        self.desk = Desk("n0", self.bench.endpoint.build.address, self.bench.clock)
        self.call = call()
        self.call.cls = "report"
        self.bench.ledger.book(self.call)
        monkeypatch.setattr(self.desk, "_patiently", self._out_of_patience)
        self.asking = asyncio.create_task(self.desk.ask(self.call))

    async def _out_of_patience(self, made: Call, _: asyncio.Future[None]) -> None:
        await wait_until(lambda: made.begun is not None)
        self.waits_on.set()
        raise TimeoutError


def test_a_caller_that_leaves_in_the_rest_of_a_long_answer_is_booked_as_having_left(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """As at the end of a day, when the rig ends what is still out."""

    async def test() -> None:
        long = LongAnswer(monkeypatch)
        await long.waits_on.wait()
        long.asking.cancel()
        long.desk.close()
        with pytest.raises(asyncio.CancelledError):
            await long.asking
        await wait_until(lambda: not long.desk.lines)
        assert long.call.end is End.LEFT

    run(test)


def test_a_pause_of_the_rig_is_no_stall_of_an_answer_and_a_stall_is(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        long = LongAnswer(monkeypatch)
        await long.waits_on.wait()
        time.sleep(STILL_LOOKS * PAST + 0.5)  # the rig gets no core
        await asyncio.sleep(PAST / 2)
        assert long.call.end is None
        await long.asking
        assert long.call.end is End.BROKEN

    run(test)


def test_a_caller_tells_late_from_lost_and_a_second_answer_from_none() -> None:
    async def test() -> None:
        async def late(_: Message, __: ScriptedEndpoint) -> bytes:
            await asyncio.sleep(0.25)
            return ok(b"late")

        endpoint = ScriptedEndpoint("e", late)
        await endpoint.start()
        desk, made = Desk("n0", endpoint.address, Clock()), call(100.0)
        await desk.ask(made)
        assert made.end is End.ANSWERED and made.sent is not None and made.answered is not None
        assert made.answered > made.sent + made.patience
        endpoint.script = answering(ok(b"x") + ok(b"x"))
        twice = call()
        await desk.ask(twice)
        await wait_until(lambda: twice.extra > 0)
        endpoint.script = silent
        lost = call(50.0)
        await desk.ask(lost)
        assert lost.end is End.LOST

    run(test)


def test_a_close_that_crosses_a_request_is_told_from_a_lost_one() -> None:
    async def test() -> None:
        cut: Callable[[int], bool] = lambda requests: requests > 0  # noqa: E731
        endpoint = ScriptedEndpoint("e", cut=cut)
        await endpoint.start()
        desk = Desk("n0", endpoint.address, Clock())
        first, second, third = call(), call(), call()
        await desk.ask(first)
        await desk.ask(second)
        await desk.ask(third, fresh=True)
        assert [c.end for c in (first, second, third)] == [End.ANSWERED, End.CROSSED, End.ANSWERED]
        nobody = call()
        await Desk("n0", free_address(), Clock()).ask(nobody)
        assert nobody.end is End.NOT_TAKEN and not await ready(free_address())

    run(test)
