"""Long bodies and answers: passed on as they come, in little room, in all forms, with slow peers."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import pytest
from hypothesis import given
from hypothesis import strategies as st

from millgw.callers import progress
from millgw.endpoints import request_body, streamed_answer
from millgw.endpoints.core import COMPLETE, INCOMPLETE, AnswerCore
from millgw.http.message import Content
from millgw.platform.config import Address
from millgw.standins.address import free_address
from millgw.standins.scripted import ScriptedEndpoint
from millgw.streams.room import MAX_WINDOW, MIN_WINDOW, READ_SIZE, StreamLimiter
from tests.rig import Rig, request, run, sidecar
from tests.test_control import call, door_of, figures

LONG = 300_000
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def block(size: int, seed: int = 1) -> bytes:
    return random.Random(seed).randbytes(size)


async def head_of(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    return lines[0], {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:] if line)}


async def body_of(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    if headers.get("transfer-encoding") != "chunked":
        return await reader.read()
    body = b""
    while size := int((await reader.readline()).partition(b";")[0], 16):
        body += await reader.readexactly(size)
        assert await reader.readline() == b"\r\n"
    while (await reader.readline()) != b"\r\n":
        pass
    return body


async def begin_long(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer a request with the first bytes of `LONG`."""
    await head_of(reader)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG + bytes(100))


@asynccontextmanager
async def serving(serve: Serve, **changes: object) -> AsyncIterator[Rig]:
    """A sidecar with one endpoint that does as `serve` says with each connection."""

    async def guarded(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    spot = ScriptedEndpoint("e1")
    listener = await asyncio.start_server(guarded, spot.address.host, spot.address.port, limit=1 << 16)
    entry = {"index": 1, "snapshot": True, "endpoints": [spot.entry()]}
    async with sidecar(known=entry, control=free_address(), **changes) as rig:
        yield rig
    listener.close()


async def settled(rig: Rig) -> dict[str, object]:
    """The figures once nothing is open."""
    assert rig.config.control is not None
    while (told := await figures(rig.config.control))["open_requests"]:
        await asyncio.sleep(0.01)
    return told


# Room


@given(st.floats(1e6, 1e9), st.integers(1, 3000))
def test_all_streams_together_stay_within_their_part(memory: float, wanted: int) -> None:
    room = StreamLimiter(memory)
    windows: list[int] = []
    while len(windows) < wanted and not room.full():
        windows.append(room.enter())
    assert all(MIN_WINDOW <= w <= MAX_WINDOW for w in windows)
    last = windows[-1] if windows else 0
    assert room.open == 1 or room.open * (last + READ_SIZE) <= room.memory_limit
    for _ in windows:
        room.leave()
    assert room.open == 0 and not room.full()


def test_a_long_body_that_there_is_no_room_for_is_refused_at_once_and_counted() -> None:
    async def test() -> None:
        began = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, _: asyncio.StreamWriter) -> None:
            await head_of(reader)
            began.set()
            await reader.read()

        async with serving(serve, memory=4 * (MIN_WINDOW + READ_SIZE)) as rig:  # room for one
            first = await rig.connect()
            first.writer.write(request("pay", bytes(LONG), X_Trace_Id="0" * 16)[:-1])
            await began.wait()
            second = await rig.connect()
            second.writer.write(request("pay", bytes(LONG))[:-1])
            line, _ = await head_of(second.reader)
            assert line.startswith("HTTP/1.1 503")
            told = await figures(door_of(rig))
            assert told["throttled"] == {"read": 0, "write": 0, "pay": 1}
            first.writer.close()

    run(test)


# Answers, the core


@given(st.sets(st.integers(1, 400)), st.sampled_from(["length", "chunks", "close"]))
def test_an_answer_in_any_form_may_be_cut_anywhere(cuts: set[int], form: str) -> None:
    body = block(120)
    if form == "length":
        data = b"HTTP/1.1 200 OK\r\nContent-Length: 120\r\n\r\n" + body
    elif form == "close":
        data = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body
    else:
        pieces = [body[i : i + 7] for i in range(0, 120, 7)]
        parts = b"".join(b"%x;ext=1\r\n%b\r\n" % (len(piece), piece) for piece in pieces)
        data = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + parts + b"0\r\nTrailer: x\r\n\r\n"
    data = b"HTTP/1.1 100 Continue\r\n\r\n" + data
    core, at, read = AnswerCore(10_000), 0, INCOMPLETE
    for end in [*sorted(c for c in cuts if c < len(data)), len(data)]:
        assert read == INCOMPLETE
        read, at = core.feed(data[at:end]), end
    if form == "close":
        assert read == INCOMPLETE and core.connection_ended()
    else:
        assert read == COMPLETE
    assert core.content() == Content(b"", body)
    assert core.reusable == (form != "close")


def test_the_end_of_a_connection_ends_no_answer_that_has_a_length() -> None:
    core = AnswerCore(10_000)
    assert core.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc") == INCOMPLETE
    assert not core.connection_ended()
    other = AnswerCore(10_000)
    assert other.feed(b"HTTP/1.1 200 OK\r\nConnection: close\r\n") == INCOMPLETE
    assert not other.connection_ended(), "its head is not whole"


# Answers, on sockets


@pytest.mark.parametrize("form", ["length", "chunks", "close"])
@pytest.mark.parametrize("client", ["1.1", "1.0"])
def test_a_long_answer_goes_on_as_it_comes_in_every_form(form: str, client: str) -> None:
    body = block(LONG)

    async def test() -> None:
        rest = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                await head_of(reader)
                if form == "length":
                    writer.write(b"HTTP/1.1 200 OK\r\nX-Own: 1\r\nContent-Length: %d\r\n\r\n" % LONG)
                    writer.write(body[:1000])
                elif form == "close":
                    writer.write(b"HTTP/1.1 200 OK\r\nX-Own: 1\r\n\r\n" + body[:100_000])
                else:
                    writer.write(b"HTTP/1.1 200 OK\r\nX-Own: 1\r\nTransfer-Encoding: chunked\r\n\r\n")
                    writer.write(b"%x\r\n%b\r\n" % (100_000, body[:100_000]))
                await writer.drain()
                await rest.wait()
                if form == "length":
                    writer.write(body[1000:])
                elif form == "close":
                    writer.write(body[100_000:])
                    return
                else:
                    for at in range(100_000, LONG, 997):
                        part = body[at : at + 997]
                        writer.write(b"%x\r\n%b\r\n" % (len(part), part))
                    writer.write(b"0\r\n\r\n")

        async with serving(serve) as rig:
            mine = await rig.connect()
            asked = request()
            mine.writer.write(asked.replace(b"HTTP/1.1", b"HTTP/1.0") if client == "1.0" else asked)
            first, headers = await head_of(mine.reader)
            assert first.startswith("HTTP/1.1 200") and headers["x-own"] == "1"
            begun = await mine.reader.readexactly(1)
            assert not rest.is_set(), "held back"
            rest.set()
            if form == "length":
                assert headers["content-length"] == str(LONG)
                got = begun + await mine.reader.readexactly(LONG - 1)
            elif client == "1.0":
                assert "transfer-encoding" not in headers and headers["connection"] == "close"
                got = begun + await mine.reader.read()
            else:
                size = int((begun + await mine.reader.readline()).strip(), 16)
                got = await mine.reader.readexactly(size)
                await mine.reader.readline()
                got += await body_of(mine.reader, headers)
            assert got == body
            if client == "1.1":
                again, headers = await ask(mine.reader, mine.writer)
                assert again == "HTTP/1.1 200 OK" and await body_of(mine.reader, headers) == body
            told = await settled(rig)
            assert told["fulfilled"] == {"read": 1 + (client == "1.1"), "write": 0, "pay": 0}

    run(test)


async def ask(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> tuple[str, dict[str, str]]:
    writer.write(request())
    return await head_of(reader)


@pytest.mark.parametrize("form", ["length", "chunks"])
def test_an_answer_that_breaks_off_shows_and_is_not_tried_again(form: str) -> None:
    async def test() -> None:
        asked = 0

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal asked
            await head_of(reader)
            asked += 1
            if form == "length":
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG + block(LONG // 2))
            else:
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                writer.write(b"%x\r\n%b\r\n" % (LONG, block(LONG)))
            await writer.drain()

        async with serving(serve) as rig:
            mine = await rig.connect()
            first, headers = await ask(mine.reader, mine.writer)
            assert first == "HTTP/1.1 200 OK"
            with pytest.raises((asyncio.IncompleteReadError, ValueError, OSError)):
                await body_of(mine.reader, headers)
            told = await settled(rig)
            assert asked == 1 and told["faulted"] == {"read": 1, "write": 0, "pay": 0}

    run(test)


def test_an_answer_of_unknown_length_that_stops_at_once_is_tried_again_and_a_slow_one_goes_on() -> None:
    async def test() -> None:
        asked = 0

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal asked
            while True:
                await head_of(reader)
                asked += 1
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
                if asked == 1:
                    await asyncio.sleep(30)
                for _ in range(12):
                    await asyncio.sleep(0.1)
                    writer.write(b"3\r\nabc\r\n")
                writer.write(b"0\r\n\r\n")

        async with serving(serve) as rig:
            mine = await rig.connect()
            first, headers = await ask(mine.reader, mine.writer)
            assert first == "HTTP/1.1 200 OK" and headers["transfer-encoding"] == "chunked"
            assert await body_of(mine.reader, headers) == b"abc" * 13
            assert asked == 2

    run(test)


def test_a_slow_reader_holds_the_endpoint_back_and_others_are_served() -> None:
    size = 32 * 2**20

    async def test() -> None:
        written = 0

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal written
            while True:
                first, _ = await head_of(reader)
                if "k=long" not in first:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
                    continue
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
                for at in range(0, size, 1 << 16):
                    writer.write(bytes(1 << 16))
                    written = at
                    await writer.drain()

        async with serving(serve, memory=2.0**24) as rig:
            slow = await rig.connect()
            slow.writer.write(request(target="/api?k=long"))
            await head_of(slow.reader)
            before = -1
            while before != written:  # until everything between the two is full
                before = written
                await asyncio.sleep(0.3)
            assert written < size // 2, "nobody was held back"
            quick = await rig.connect()
            for _ in range(30):
                assert (await quick.ask(request())).status == 200
            got = 0
            while got < size:
                got += len(await slow.reader.read(1 << 20))
            assert (await settled(rig))["fulfilled"] == {"read": 31, "write": 0, "pay": 0}

    run(test)


def test_a_caller_that_leaves_in_mid_stream_ends_the_attempt_at_once() -> None:
    async def test() -> None:
        lost = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await begin_long(reader, writer)
            await reader.read()
            lost.set()

        async with serving(serve) as rig:
            mine = await rig.connect()
            await ask(mine.reader, mine.writer)
            mine.writer.transport.abort()
            await lost.wait()
            assert (await settled(rig))["open_requests"] == 0

    run(test)


def test_a_stream_that_stops_for_good_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(streamed_answer, "ANSWER_STALL_TIMEOUT", 0.3)

    async def test() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await begin_long(reader, writer)
            await reader.read()

        async with serving(serve) as rig:
            mine = await rig.connect()
            _, headers = await ask(mine.reader, mine.writer)
            with pytest.raises(asyncio.IncompleteReadError):
                await body_of(mine.reader, headers)

    run(test)


def test_an_answer_that_breaks_off_is_logged_with_its_call(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def test() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await begin_long(reader, writer)
            await writer.drain()

        async with serving(serve) as rig:
            mine = await rig.connect()
            mine.writer.write(request("read", X_Trace_Id="5ca1ab1e0ddba115"))
            _, headers = await head_of(mine.reader)
            with pytest.raises(asyncio.IncompleteReadError):
                await body_of(mine.reader, headers)

    run(test)
    (broken_off,) = [r.getMessage() for r in caplog.records if "answer-broken-off" in r.getMessage()]
    assert "call=5ca1ab1e0ddba115" in broken_off


def test_a_drain_lets_a_long_answer_end_and_then_closes() -> None:
    async def test() -> None:
        rest = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await begin_long(reader, writer)
            await rest.wait()
            writer.write(bytes(LONG - 100))
            await reader.read()

        async with serving(serve) as rig:
            assert rig.config.control is not None
            mine = await rig.connect()
            _, headers = await ask(mine.reader, mine.writer)
            assert (await call(rig.config.control, "PUT", "/-/drain"))[0] == 200
            await asyncio.sleep(1.5)
            rest.set()
            assert len(await body_of(mine.reader, headers)) == LONG
            assert await mine.reader.read() == b""

    run(test)


# Bodies

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"


def chunks(body: bytes, size: int) -> bytes:
    parts = (body[at : at + size] for at in range(0, len(body), size))
    return b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"


@pytest.mark.parametrize("form", ["length", "chunks"])
@pytest.mark.parametrize("cls", ["pay", "write"])
def test_a_long_body_goes_on_as_it_comes_unchanged_and_the_connection_serves_on(form: str, cls: str) -> None:
    body = block(2_000_000)

    async def test() -> None:
        got: list[tuple[dict[str, str], bytes]] = []
        begun = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                _, headers = await head_of(reader)
                begun.set()
                got.append((headers, await body_of(reader, headers)))
                writer.write(ANSWER)

        async with serving(serve) as rig:
            mine = await rig.connect()
            for round in range(2):
                begun.clear()
                if form == "length":
                    asked = request(cls, Content_Length=str(len(body)))
                    data = body
                else:
                    asked = request(cls, Content_Length="", Transfer_Encoding="chunked")
                    data = chunks(body, 997)
                mine.writer.write(asked + data[:100_000])
                await begun.wait()  # it goes on before it is whole
                told = await figures(control(rig))
                assert told["open_requests"] == 0, "what is not whole is not taken"
                mine.writer.write(data[100_000:])
                first, headers = await head_of(mine.reader)
                assert first == "HTTP/1.1 200 OK" and await body_of(mine.reader, headers) == b"hi"
                assert got[round][1] == body and "x-trace-id" in got[round][0]
            first, headers = await ask(mine.reader, mine.writer)
            assert first == "HTTP/1.1 200 OK" and await body_of(mine.reader, headers) == b"hi"
            told = await settled(rig)
            assert told["relayed"] == 3 and told["faulted"] == {"read": 0, "write": 0, "pay": 0}

    run(test)


def control(rig: Rig) -> Address:
    assert rig.config.control is not None
    return rig.config.control


def test_an_attempt_that_breaks_under_a_body_never_ran_and_is_refused_at_once() -> None:
    async def test() -> None:
        asked = 0

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal asked
            await head_of(reader)
            asked += 1
            await reader.readexactly(100_000)
            writer.transport.abort()

        async with serving(serve) as rig:
            mine = await rig.connect()
            mine.writer.write(request("pay", Content_Length=str(LONG)) + block(200_000))
            first, headers = await head_of(mine.reader)
            assert first.startswith("HTTP/1.1 503") and headers["connection"] == "close"
            mine.writer.write(block(100_000))  # it may still be sending
            await body_of(mine.reader, headers)
            assert asked == 1, "what was passed on is gone"

    run(test)


@pytest.mark.parametrize("interim", [b"", b"HTTP/1.1 100 Continue\r\n\r\n"])
def test_a_body_that_its_endpoint_takes_no_more_of_is_given_up(
    monkeypatch: pytest.MonkeyPatch, interim: bytes
) -> None:
    """An interim answer while the body goes out does not end the watch over it."""
    monkeypatch.setattr(request_body, "BODY_STALL_TIMEOUT", 0.3)

    async def test() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await head_of(reader)
            await reader.readexactly(1)  # before a body's first bytes no answer is taken
            writer.write(interim)
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            await asyncio.Event().wait()

        async with serving(serve) as rig:
            mine = await rig.connect()
            size = 32 << 20  # far more than the kernel holds
            mine.writer.write(request("pay", Content_Length=str(size)) + bytes(size))
            line, _ = await head_of(mine.reader)
            assert line.startswith("HTTP/1.1 503")

    run(test)


def test_a_body_that_nothing_was_passed_on_of_is_tried_elsewhere() -> None:
    async def test() -> None:
        tried = 0
        tried_again = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal tried
            tried += 1
            _, headers = await head_of(reader)
            if tried == 1:
                writer.transport.abort()
                return
            tried_again.set()
            assert await body_of(reader, headers) == block(LONG)
            writer.write(ANSWER)
            await reader.read()

        async with serving(serve) as rig:
            mine = await rig.connect()
            mine.writer.write(request("pay", Content_Length=str(LONG)))
            # A body that is there goes out 2 ms after its head, and a test's loop may be later than that.
            await tried_again.wait()
            mine.writer.write(block(LONG))
            first, _ = await head_of(mine.reader)
            assert tried == 2 and first == "HTTP/1.1 200 OK"

    run(test)


def test_an_answer_before_the_body_has_gone_is_passed_on_at_once() -> None:
    async def test() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await head_of(reader)
            writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            await reader.readexactly(70_000)
            writer.write(b"HTTP/1.1 503 X\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
            await reader.read()

        async with serving(serve) as rig:
            mine = await rig.connect()
            mine.writer.write(request("pay", Content_Length=str(LONG)) + block(100_000))
            first, _ = await head_of(mine.reader)
            assert first.startswith("HTTP/1.1 503")
            assert (await settled(rig))["throttled"] == {"read": 0, "write": 0, "pay": 1}

    run(test)


def test_an_endpoint_that_takes_its_time_holds_the_caller_back() -> None:
    async def test() -> None:
        go = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            _, headers = await head_of(reader)
            await go.wait()
            assert len(await body_of(reader, headers)) == 16 * 2**20
            writer.write(ANSWER)
            await reader.read()

        async with serving(serve) as rig:
            mine = await rig.connect()
            mine.writer.write(request("pay", Content_Length=str(16 * 2**20)))
            sent = 0

            async def send() -> None:
                nonlocal sent
                while sent < 16 * 2**20:
                    mine.writer.write(bytes(1 << 16))
                    sent += 1 << 16
                    await mine.writer.drain()

            sending = asyncio.create_task(send())
            before = -1
            while before != sent:
                before = sent
                await asyncio.sleep(0.3)
            assert sent < 16 * 2**20, "nobody was held back"
            go.set()
            await sending
            assert (await head_of(mine.reader))[0] == "HTTP/1.1 200 OK"

    run(test)


def test_a_client_that_leaves_under_its_body_ends_the_attempt() -> None:
    async def test() -> None:
        lost = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await head_of(reader)
            try:
                await reader.read(-1)
            finally:
                lost.set()

        async with serving(serve) as rig:
            mine = await rig.connect()
            mine.writer.write(request("pay", Content_Length=str(LONG)) + block(100_000))
            while not (await figures(control(rig)))["registry_entries"]:
                pass
            await asyncio.sleep(0.1)
            mine.writer.transport.abort()
            await lost.wait()
            told = await settled(rig)
            assert told["relayed"] == 0

    run(test)


def test_a_body_that_stops_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(progress, "QUIET_TIME", 0.2)

    async def test() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await head_of(reader)
            await reader.read(-1)

        async with serving(serve) as rig:
            mine = await rig.connect()
            mine.writer.write(request("pay", Content_Length=str(LONG)) + block(70_000))
            assert (await head_of(mine.reader))[0].startswith("HTTP/1.1 408")

    run(test)


def test_small_calls_are_served_beside_many_long_bodies_and_answers_in_little_memory() -> None:
    size = 2 * 2**20

    async def test() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                first, headers = await head_of(reader)
                body = await body_of(reader, headers) if "content-length" in headers else b""
                if "k=long" in first:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
                    for at in range(0, size, 1 << 16):
                        writer.write(bytes(1 << 16))
                        await writer.drain()
                        assert at >= 0
                else:
                    assert len(body) in (0, size)
                    writer.write(ANSWER)
                await writer.drain()

        async with serving(serve, memory=2.0**25) as rig:

            async def down() -> int:
                mine = await rig.connect()
                mine.writer.write(request(target="/api?k=long"))
                first, _ = await head_of(mine.reader)
                if " 503 " in first:
                    return 503
                got = 0
                while got < size and (data := await mine.reader.read(1 << 14)):
                    got += len(data)
                assert got == size, f"{first}: {got} of {size} bytes came"
                return int(first.split()[1])

            async def up() -> int:
                mine = await rig.connect()
                mine.writer.write(request("pay", Content_Length=str(size)))
                for _ in range(0, size, 1 << 15):
                    mine.writer.write(bytes(1 << 15))
                    await mine.writer.drain()
                return int((await head_of(mine.reader))[0].split()[1])

            async def small() -> int:
                return (await rig.ask(request())).status

            async def served(ask: Callable[[], Awaitable[int]]) -> None:
                """Calls that come at once may be refused, and come again."""
                while (status := await ask()) != 200:
                    assert status == 503

            await asyncio.gather(*(served(ask) for _ in range(10) for ask in (down, up, small)))

    run(test)
