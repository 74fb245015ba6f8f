"""Streaming of long bodies and answers: limited memory, every kind of framing, slow and vanishing peers."""

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
from millgw.streams.limiter import MAX_WINDOW, MIN_WINDOW, READ_SIZE, StreamLimiter
from tests.rig import RunningSidecar, request, run, sidecar
from tests.test_control import call_control, control_address, read_metrics

LONG = 300_000  # bytes; more than is buffered whole
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def random_bytes(size: int, seed: int = 1) -> bytes:
    return random.Random(seed).randbytes(size)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    return lines[0], {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:] if line)}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
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


async def begin_long_answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer a request with a head that states `STREAM_THRESHOLD` bytes, and the first 100 of them."""
    await read_head(reader)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG + bytes(100))


@asynccontextmanager
async def serving(serve: Serve, **changes: object) -> AsyncIterator[RunningSidecar]:
    """A sidecar with one endpoint, which calls `serve` for each connection."""

    async def guarded(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    # The scripted endpoint provides the address and the discovery entry only; it is not started.
    endpoint = ScriptedEndpoint("e1")
    listener = await asyncio.start_server(
        guarded, endpoint.address.host, endpoint.address.port, limit=1 << 16
    )
    snapshot = {"index": 1, "snapshot": True, "endpoints": [endpoint.entry()]}
    async with sidecar(known=snapshot, control=free_address(), **changes) as rig:
        yield rig
    listener.close()


async def final_figures(rig: RunningSidecar) -> dict[str, object]:
    """The sidecar's figures once no request is open."""
    assert rig.config.control is not None
    while (counts := await read_metrics(rig.config.control))["open_requests"]:
        await asyncio.sleep(0.01)
    return counts


# Memory limits


@given(st.floats(1e6, 1e9), st.integers(1, 3000))
def test_all_streams_together_stay_within_their_memory_share(memory: float, wanted: int) -> None:
    limiter = StreamLimiter(memory)
    windows: list[int] = []
    while len(windows) < wanted and not limiter.full():
        windows.append(limiter.open_stream())
    assert all(MIN_WINDOW <= w <= MAX_WINDOW for w in windows)
    last = windows[-1] if windows else 0
    assert limiter.open == 1 or limiter.open * (last + READ_SIZE) <= limiter.memory_limit
    for _ in windows:
        limiter.close_stream()
    assert limiter.open == 0 and not limiter.full()


def test_a_long_body_over_the_stream_limit_is_refused_at_once_and_counted() -> None:
    async def test() -> None:
        began = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, _: asyncio.StreamWriter) -> None:
            await read_head(reader)
            began.set()
            await reader.read()

        async with serving(serve, memory=4 * (MIN_WINDOW + READ_SIZE)) as rig:  # enough for one stream
            first = await rig.connect()
            first.writer.write(request("pay", bytes(LONG), X_Trace_Id="0" * 16)[:-1])
            await began.wait()
            second = await rig.connect()
            second.writer.write(request("pay", bytes(LONG))[:-1])
            line, _ = await read_head(second.reader)
            assert line.startswith("HTTP/1.1 503")
            counts = await read_metrics(control_address(rig))
            assert counts["throttled"] == {"read": 0, "write": 0, "pay": 1}
            first.writer.close()

    run(test)


# Answers, parsed without sockets


@given(st.sets(st.integers(1, 400)), st.sampled_from(["length", "chunks", "close"]))
def test_an_answer_of_any_framing_may_be_split_anywhere(cuts: set[int], form: str) -> None:
    body = random_bytes(120)
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


def test_the_end_of_a_connection_does_not_complete_an_answer_with_a_length_or_without_its_head() -> None:
    core = AnswerCore(10_000)
    assert core.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc") == INCOMPLETE
    assert not core.connection_ended()
    other = AnswerCore(10_000)
    assert other.feed(b"HTTP/1.1 200 OK\r\nConnection: close\r\n") == INCOMPLETE
    assert not other.connection_ended(), "its head is incomplete"


# Answers, on sockets


@pytest.mark.parametrize("form", ["length", "chunks", "close"])
@pytest.mark.parametrize("client", ["1.1", "1.0"])
def test_a_long_answer_of_any_framing_is_streamed(form: str, client: str) -> None:
    body = random_bytes(LONG)

    async def test() -> None:
        rest = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                await read_head(reader)
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
            connection = await rig.connect()
            sent = request()
            connection.writer.write(sent.replace(b"HTTP/1.1", b"HTTP/1.0") if client == "1.0" else sent)
            first, headers = await read_head(connection.reader)
            assert first.startswith("HTTP/1.1 200") and headers["x-own"] == "1"
            begun = await connection.reader.readexactly(1)
            assert not rest.is_set(), "not streamed"
            rest.set()
            if form == "length":
                assert headers["content-length"] == str(LONG)
                got = begun + await connection.reader.readexactly(LONG - 1)
            elif client == "1.0":
                assert "transfer-encoding" not in headers and headers["connection"] == "close"
                got = begun + await connection.reader.read()
            else:
                size = int((begun + await connection.reader.readline()).strip(), 16)
                got = await connection.reader.readexactly(size)
                await connection.reader.readline()
                got += await read_body(connection.reader, headers)
            assert got == body
            if client == "1.1":
                again, headers = await ask(connection.reader, connection.writer)
                assert again == "HTTP/1.1 200 OK" and await read_body(connection.reader, headers) == body
            counts = await final_figures(rig)
            assert counts["fulfilled"] == {"read": 1 + (client == "1.1"), "write": 0, "pay": 0}

    run(test)


async def ask(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> tuple[str, dict[str, str]]:
    writer.write(request())
    return await read_head(reader)


@pytest.mark.parametrize("form", ["length", "chunks"])
def test_a_streamed_answer_that_breaks_off_is_seen_as_incomplete_and_not_tried_again(form: str) -> None:
    async def test() -> None:
        attempts = 0

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal attempts
            await read_head(reader)
            attempts += 1
            if form == "length":
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG + random_bytes(LONG // 2)
                )
            else:
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                writer.write(b"%x\r\n%b\r\n" % (LONG, random_bytes(LONG)))
            await writer.drain()

        async with serving(serve) as rig:
            connection = await rig.connect()
            first, headers = await ask(connection.reader, connection.writer)
            assert first == "HTTP/1.1 200 OK"
            with pytest.raises((asyncio.IncompleteReadError, ValueError, OSError)):
                await read_body(connection.reader, headers)
            counts = await final_figures(rig)
            assert attempts == 1 and counts["faulted"] == {"read": 1, "write": 0, "pay": 0}

    run(test)


def test_an_answer_of_unknown_length_that_stalls_at_once_is_tried_again_and_a_slow_one_is_streamed() -> None:
    async def test() -> None:
        attempts = 0

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal attempts
            while True:
                await read_head(reader)
                attempts += 1
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
                if attempts == 1:
                    await asyncio.sleep(30)
                for _ in range(12):
                    await asyncio.sleep(0.1)
                    writer.write(b"3\r\nabc\r\n")
                writer.write(b"0\r\n\r\n")

        async with serving(serve) as rig:
            connection = await rig.connect()
            first, headers = await ask(connection.reader, connection.writer)
            assert first == "HTTP/1.1 200 OK" and headers["transfer-encoding"] == "chunked"
            assert await read_body(connection.reader, headers) == b"abc" * 13
            assert attempts == 2

    run(test)


def test_a_slow_caller_slows_its_endpoint_down_and_others_are_served() -> None:
    size = 32 * 2**20

    async def test() -> None:
        written = 0

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal written
            while True:
                first, _ = await read_head(reader)
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
            await read_head(slow.reader)
            before = -1
            while before != written:  # until all buffers between the two are full
                before = written
                await asyncio.sleep(0.3)
            assert written < size // 2, "no back-pressure on the endpoint"
            quick = await rig.connect()
            for _ in range(30):
                assert (await quick.ask(request())).status == 200
            got = 0
            while got < size:
                got += len(await slow.reader.read(1 << 20))
            assert (await final_figures(rig))["fulfilled"] == {"read": 31, "write": 0, "pay": 0}

    run(test)


def test_a_caller_that_disconnects_while_an_answer_is_streamed_ends_it_at_once() -> None:
    async def test() -> None:
        lost = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await begin_long_answer(reader, writer)
            await reader.read()
            lost.set()

        async with serving(serve) as rig:
            connection = await rig.connect()
            await ask(connection.reader, connection.writer)
            connection.writer.transport.abort()
            await lost.wait()
            assert (await final_figures(rig))["open_requests"] == 0

    run(test)


def test_a_streamed_answer_that_stalls_is_broken_off(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(streamed_answer, "ANSWER_STALL_TIMEOUT", 0.3)

    async def test() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await begin_long_answer(reader, writer)
            await reader.read()

        async with serving(serve) as rig:
            connection = await rig.connect()
            _, headers = await ask(connection.reader, connection.writer)
            with pytest.raises(asyncio.IncompleteReadError):
                await read_body(connection.reader, headers)

    run(test)


def test_an_answer_that_breaks_off_is_logged_with_its_call(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def test() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await begin_long_answer(reader, writer)
            await writer.drain()

        async with serving(serve) as rig:
            connection = await rig.connect()
            connection.writer.write(request("read", X_Trace_Id="5ca1ab1e0ddba115"))
            _, headers = await read_head(connection.reader)
            with pytest.raises(asyncio.IncompleteReadError):
                await read_body(connection.reader, headers)

    run(test)
    (broken_off,) = [r.getMessage() for r in caplog.records if "answer-broken-off" in r.getMessage()]
    assert "call=5ca1ab1e0ddba115" in broken_off


def test_a_drain_lets_a_long_answer_finish_and_then_closes_the_connection() -> None:
    async def test() -> None:
        rest = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await begin_long_answer(reader, writer)
            await rest.wait()
            writer.write(bytes(LONG - 100))
            await reader.read()

        async with serving(serve) as rig:
            assert rig.config.control is not None
            connection = await rig.connect()
            _, headers = await ask(connection.reader, connection.writer)
            assert (await call_control(rig.config.control, "PUT", "/-/drain"))[0] == 200
            await asyncio.sleep(1.5)
            rest.set()
            assert len(await read_body(connection.reader, headers)) == LONG
            assert await connection.reader.read() == b""

    run(test)


# Bodies

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"


def chunked(body: bytes, size: int) -> bytes:
    parts = (body[at : at + size] for at in range(0, len(body), size))
    return b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"


@pytest.mark.parametrize("form", ["length", "chunks"])
@pytest.mark.parametrize("cls", ["pay", "write"])
def test_a_long_body_is_streamed_unchanged_and_its_connection_is_used_again(form: str, cls: str) -> None:
    body = random_bytes(2_000_000)

    async def test() -> None:
        got: list[tuple[dict[str, str], bytes]] = []
        begun = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                _, headers = await read_head(reader)
                begun.set()
                got.append((headers, await read_body(reader, headers)))
                writer.write(ANSWER)

        async with serving(serve) as rig:
            connection = await rig.connect()
            for round in range(2):
                begun.clear()
                if form == "length":
                    head = request(cls, Content_Length=str(len(body)))
                    data = body
                else:
                    head = request(cls, Content_Length="", Transfer_Encoding="chunked")
                    data = chunked(body, 997)
                connection.writer.write(head + data[:100_000])
                await begun.wait()  # it is streamed before it is complete
                counts = await read_metrics(control_of(rig))
                assert counts["open_requests"] == 0, "an incomplete request does not count as open"
                connection.writer.write(data[100_000:])
                first, headers = await read_head(connection.reader)
                assert first == "HTTP/1.1 200 OK" and await read_body(connection.reader, headers) == b"hi"
                assert got[round][1] == body and "x-trace-id" in got[round][0]
            first, headers = await ask(connection.reader, connection.writer)
            assert first == "HTTP/1.1 200 OK" and await read_body(connection.reader, headers) == b"hi"
            counts = await final_figures(rig)
            assert counts["relayed"] == 3 and counts["faulted"] == {"read": 0, "write": 0, "pay": 0}

    run(test)


def control_of(rig: RunningSidecar) -> Address:
    assert rig.config.control is not None
    return rig.config.control


def test_a_request_whose_connection_breaks_while_its_body_is_sent_never_ran_and_is_refused_at_once() -> None:
    async def test() -> None:
        attempts = 0

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal attempts
            await read_head(reader)
            attempts += 1
            await reader.readexactly(100_000)
            writer.transport.abort()

        async with serving(serve) as rig:
            connection = await rig.connect()
            connection.writer.write(request("pay", Content_Length=str(LONG)) + random_bytes(200_000))
            first, headers = await read_head(connection.reader)
            assert first.startswith("HTTP/1.1 503") and headers["connection"] == "close"
            connection.writer.write(random_bytes(100_000))  # the client may still be sending
            await read_body(connection.reader, headers)
            assert attempts == 1, "tried again without the part of the body that was sent"

    run(test)


@pytest.mark.parametrize("interim", [b"", b"HTTP/1.1 100 Continue\r\n\r\n"])
def test_a_body_that_its_endpoint_stops_reading_is_given_up(
    monkeypatch: pytest.MonkeyPatch, interim: bytes
) -> None:
    """A 1xx answer while the body is sent does not end the check of its progress."""
    monkeypatch.setattr(request_body, "BODY_STALL_TIMEOUT", 0.3)

    async def test() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_head(reader)
            await reader.readexactly(1)  # an answer before the body's first bytes would not be accepted
            writer.write(interim)
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            await asyncio.Event().wait()

        async with serving(serve) as rig:
            connection = await rig.connect()
            size = 32 << 20  # far more than the kernel buffers
            connection.writer.write(request("pay", Content_Length=str(size)) + bytes(size))
            line, _ = await read_head(connection.reader)
            assert line.startswith("HTTP/1.1 503")

    run(test)


def test_a_request_of_whose_body_nothing_was_sent_is_tried_again() -> None:
    async def test() -> None:
        tried = 0
        tried_again = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal tried
            tried += 1
            _, headers = await read_head(reader)
            if tried == 1:
                writer.transport.abort()
                return
            tried_again.set()
            assert await read_body(reader, headers) == random_bytes(LONG)
            writer.write(ANSWER)
            await reader.read()

        async with serving(serve) as rig:
            connection = await rig.connect()
            connection.writer.write(request("pay", Content_Length=str(LONG)))
            # If the body were there already, its first part would be sent 2 ms after the head, and the test's
            # event loop may notice the broken connection later than that.
            await tried_again.wait()
            connection.writer.write(random_bytes(LONG))
            first, _ = await read_head(connection.reader)
            assert tried == 2 and first == "HTTP/1.1 200 OK"

    run(test)


def test_an_answer_before_the_whole_body_is_sent_is_passed_on_at_once() -> None:
    async def test() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_head(reader)
            writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            await reader.readexactly(70_000)
            writer.write(b"HTTP/1.1 503 X\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
            await reader.read()

        async with serving(serve) as rig:
            connection = await rig.connect()
            connection.writer.write(request("pay", Content_Length=str(LONG)) + random_bytes(100_000))
            first, _ = await read_head(connection.reader)
            assert first.startswith("HTTP/1.1 503")
            assert (await final_figures(rig))["throttled"] == {"read": 0, "write": 0, "pay": 1}

    run(test)


def test_an_endpoint_that_reads_slowly_slows_its_caller_down() -> None:
    async def test() -> None:
        go = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            _, headers = await read_head(reader)
            await go.wait()
            assert len(await read_body(reader, headers)) == 16 * 2**20
            writer.write(ANSWER)
            await reader.read()

        async with serving(serve) as rig:
            connection = await rig.connect()
            connection.writer.write(request("pay", Content_Length=str(16 * 2**20)))
            sent = 0

            async def send() -> None:
                nonlocal sent
                while sent < 16 * 2**20:
                    connection.writer.write(bytes(1 << 16))
                    sent += 1 << 16
                    await connection.writer.drain()

            sending = asyncio.create_task(send())
            before = -1
            while before != sent:
                before = sent
                await asyncio.sleep(0.3)
            assert sent < 16 * 2**20, "no back-pressure on the caller"
            go.set()
            await sending
            assert (await read_head(connection.reader))[0] == "HTTP/1.1 200 OK"

    run(test)


def test_a_client_that_disconnects_while_it_sends_its_body_ends_the_attempt() -> None:
    async def test() -> None:
        lost = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_head(reader)
            try:
                await reader.read(-1)
            finally:
                lost.set()

        async with serving(serve) as rig:
            connection = await rig.connect()
            connection.writer.write(request("pay", Content_Length=str(LONG)) + random_bytes(100_000))
            while not (await read_metrics(control_of(rig)))["registry_entries"]:
                pass
            await asyncio.sleep(0.1)
            connection.writer.transport.abort()
            await lost.wait()
            counts = await final_figures(rig)
            assert counts["relayed"] == 0

    run(test)


def test_a_body_that_stalls_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(progress, "STALL_TIMEOUT", 0.2)

    async def test() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_head(reader)
            await reader.read(-1)

        async with serving(serve) as rig:
            connection = await rig.connect()
            connection.writer.write(request("pay", Content_Length=str(LONG)) + random_bytes(70_000))
            assert (await read_head(connection.reader))[0].startswith("HTTP/1.1 408")

    run(test)


def test_small_calls_are_served_beside_many_long_bodies_and_answers_in_little_memory() -> None:
    size = 2 * 2**20

    async def test() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers) if "content-length" in headers else b""
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
                connection = await rig.connect()
                connection.writer.write(request(target="/api?k=long"))
                first, _ = await read_head(connection.reader)
                if " 503 " in first:
                    return 503
                got = 0
                while got < size and (data := await connection.reader.read(1 << 14)):
                    got += len(data)
                assert got == size, f"{first}: {got} of {size} bytes came"
                return int(first.split()[1])

            async def up() -> int:
                connection = await rig.connect()
                connection.writer.write(request("pay", Content_Length=str(size)))
                for _ in range(0, size, 1 << 15):
                    connection.writer.write(bytes(1 << 15))
                    await connection.writer.drain()
                return int((await read_head(connection.reader))[0].split()[1])

            async def small() -> int:
                return (await rig.ask(request())).status

            async def served(ask: Callable[[], Awaitable[int]]) -> None:
                """Repeat a call until it is not refused, as calls that arrive all at once may be."""
                while (status := await ask()) != 200:
                    assert status == 503

            await asyncio.gather(*(served(ask) for _ in range(10) for ask in (down, up, small)))

    run(test)
