"""Clients that stop sending in the middle of a request but stay connected get an error or a close in time.

The cases are the rows of the table in `docs/design/stopped-clients.md`.
"""

from __future__ import annotations

import asyncio
import os
import re
import select
import signal
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass

import pytest

from millgw.callers import write_stall
from millgw.standins.address import free_address
from millgw.standins.http import Message, ok
from millgw.standins.scripted import CHUNKED_HEAD, ScriptedEndpoint, encode_chunk, encode_line
from tests.rig import Client, RunningSidecar, heartbeats, loop_stalls, request, run, sidecar
from tests.test_control import call_control, read_metrics

ANSWER_WITHIN = 3.0  # s after its last byte within which a stopped client gets its error or a close
LOOP_BLOCK = 0.1  # s; longer blocks of the event loop (busy machine) are subtracted
LISTEN_TIME = 9.0  # s that a test waits for either
SLOW_BYTE = 0.5  # s between the bytes of a client that is slow but keeps sending
GAP = 2.0  # s between the pieces of a client that writes in pieces
SLOW_ANSWER = 4.0  # s that the endpoint takes for a call that precedes a stopped request
DELAYED = "/api?k=delayed"
MEGABYTE = 1_000_000


async def delayed(message: Message, _: ScriptedEndpoint) -> bytes:
    if DELAYED in message.first_line:
        await asyncio.sleep(SLOW_ANSWER)
    return ok()


@dataclass
class Outcome:
    """What a client saw: the statuses in order, and the seconds from its last byte to the last status or end.

    Time for which the shared event loop was blocked is subtracted.
    """

    statuses: list[int]
    after: float


ANSWER = re.compile(rb"HTTP/1\.1 (\d+)")
CONTINUE = 100


async def listen(client: Client, stopped: float, answers: int) -> Outcome:
    """Read `answers` good answers, then up to the error or the end of the connection."""
    data, statuses = b"", list[int]()
    with suppress(TimeoutError, ConnectionError):
        async with asyncio.timeout(LISTEN_TIME):
            while len(statuses) <= answers and (part := await client.reader.read(4096)):
                data += part
                statuses = [code for code in map(int, ANSWER.findall(data)) if code != CONTINUE]
    return Outcome(statuses, time.monotonic() - stopped)


def body_part(length: int, part: int, expect: str = "") -> bytes:
    """A request with a Content-Length and only the first bytes of its body."""
    return request("pay", Content_Length=str(length), Expect=expect) + b"b" * part


def chunked(rest: bytes) -> bytes:
    return request("pay", Content_Length="", Transfer_Encoding="chunked") + rest


HALF_HEAD = request("pay")[:-20]
STOP_POINTS: dict[str, tuple[int, bytes]] = {
    "in the line": (0, b"POST /api?k="),
    "in the head": (0, HALF_HEAD),
    "before the head's last line end": (0, request("pay")[:-2]),
    "behind whole requests": (2, request("read") + request("read") + HALF_HEAD),
    "before a body of 10 bytes": (0, body_part(10, 0)),
    "in a body of 10 bytes": (0, body_part(10, 5)),
    "in the second request's body": (1, request("read") + body_part(10, 5)),
    "before the first chunk": (0, chunked(b"")),
    "in a chunk": (0, chunked(b"a\r\n12345")),
    "before the last chunk": (0, chunked(b"5\r\n12345\r\n")),
    "in the trailer": (0, chunked(b"5\r\n12345\r\n0\r\nA: b\r\n")),
    "after it asked whether to go on": (0, body_part(10, 0, "100-continue")),
    "in a body that is held whole": (0, body_part(60_000, 50_000)),
    "in a body of 100,000 bytes": (0, body_part(100_000, 50_000)),
    "in a body of 4,000,000 bytes": (0, body_part(4 * MEGABYTE, MEGABYTE)),
}


async def send_and_stop(rig: RunningSidecar, data: bytes, answers: int) -> Outcome:
    client = await rig.connect()
    client.writer.transport.set_write_buffer_limits(high=0)  # `drain` returns once the last byte is written
    client.writer.write(data)
    await client.writer.drain()
    try:
        async with loop_stalls(threshold=LOOP_BLOCK) as stood_still:
            outcome = await listen(client, time.monotonic(), answers)
        return Outcome(outcome.statuses, outcome.after - sum(stood_still))
    finally:
        client.writer.close()


@asynccontextmanager
async def running_sidecar(*endpoints: ScriptedEndpoint) -> AsyncIterator[RunningSidecar]:
    async with sidecar(*endpoints, control=free_address()) as rig:
        yield rig


async def wait_for_no_open_requests(rig: RunningSidecar) -> None:
    assert rig.config.control is not None
    while (await read_metrics(rig.config.control))["open_requests"]:
        await asyncio.sleep(0.02)


def check_outcomes(outcomes: dict[str, Outcome], answers: dict[str, int]) -> None:
    for row, outcome in outcomes.items():
        assert outcome.after <= ANSWER_WITHIN, f"{row}: {outcome.after:.1f} s"
        assert outcome.statuses[: answers[row]] == [200] * answers[row], f"{row}: {outcome.statuses}"
        assert all(400 <= code < 600 for code in outcome.statuses[answers[row] :]), (
            f"{row}: {outcome.statuses}"
        )


def test_a_client_that_stops_anywhere_in_a_request_gets_its_error_or_a_close_in_time() -> None:
    """The timeout used to grow with the announced length and with the part of the request received."""

    async def test() -> None:
        endpoint = ScriptedEndpoint("e1", delayed)
        async with running_sidecar(endpoint) as rig:
            outcomes = await asyncio.gather(
                *(send_and_stop(rig, data, n) for n, data in STOP_POINTS.values())
            )
            check_outcomes(
                dict(zip(STOP_POINTS, outcomes, strict=True)), {row: n for row, (n, _) in STOP_POINTS.items()}
            )
            await wait_for_no_open_requests(rig)
            assert not [message for message in endpoint.requests if message.first_line.startswith("POST")]

    run(test, extra_time=LISTEN_TIME)


@pytest.mark.parametrize("how", ["drained", "told to end"])
def test_a_client_that_stopped_is_ended_in_time_also_where_its_sidecar_leaves(how: str) -> None:
    """Clients that had stopped before the shutdown used to be answered only when the process ended."""

    async def test() -> None:
        async with running_sidecar(ScriptedEndpoint("e1", delayed)) as rig:
            assert rig.config.control is not None
            stopping = [asyncio.create_task(send_and_stop(rig, data, n)) for n, data in STOP_POINTS.values()]
            await asyncio.sleep(0.3)
            if how == "drained":
                await call_control(rig.config.control, "PUT", "/-/drain")
            else:
                os.kill(os.getpid(), signal.SIGTERM)
            outcomes = await asyncio.gather(*stopping)
            for row, outcome in zip(STOP_POINTS, outcomes, strict=True):
                assert outcome.after <= ANSWER_WITHIN, f"{row}: {outcome.after:.1f} s"
            if how == "told to end":
                await rig.task

    run(test, extra_time=LISTEN_TIME)


def test_a_client_that_stopped_behind_a_call_in_flight_gets_that_answer_and_then_its_error() -> None:
    async def test() -> None:
        endpoint = ScriptedEndpoint("e1", delayed)
        async with running_sidecar(endpoint) as rig:
            for rest in (HALF_HEAD, body_part(10, 5)):
                outcome = await send_and_stop(rig, request("read", target=DELAYED) + rest, 1)
                assert outcome.statuses == [200, 408], outcome
                assert outcome.after <= SLOW_ANSWER + 0.5, "the error must follow the answer before it"

    run(test, extra_time=3 * LISTEN_TIME)


async def read_nothing(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(LISTEN_TIME)
    writer.close()


def test_a_client_that_stopped_while_its_endpoint_takes_nothing_of_the_body_is_ended_in_time() -> None:
    """The sidecar pauses reading then, which used to suspend the client's timeout."""

    async def test() -> None:
        spot = ScriptedEndpoint("e1")
        server = await asyncio.start_server(read_nothing, spot.address.host, spot.address.port, limit=1024)
        known = {"index": 1, "snapshot": True, "endpoints": [spot.entry()]}
        async with sidecar(known=known, control=free_address()) as rig:
            outcome = await send_and_stop(rig, body_part(40 * MEGABYTE, 150_000), 0)
            assert outcome.after <= ANSWER_WITHIN and outcome.statuses in ([], [408])
        server.close()

    run(test, extra_time=LISTEN_TIME)


def test_a_slow_client_that_goes_on_is_served() -> None:
    """A minimum rate used to apply: a client sending a byte each half second was answered 408 after 4.8 s."""

    async def one_by_one(rig: RunningSidecar, head: bytes, pieces: list[bytes], pause: float) -> int:
        client = await rig.connect()
        client.writer.write(head)
        for piece in pieces:
            await asyncio.sleep(pause)
            client.writer.write(piece)
        outcome = await listen(client, time.monotonic(), 0)
        client.writer.close()
        return outcome.statuses[0]

    async def test() -> None:
        endpoint = ScriptedEndpoint("e1")
        async with running_sidecar(endpoint) as rig:
            _, watch = await rig.discovery.calls.get()
            watch.write(CHUNKED_HEAD + encode_chunk(encode_line(1, [endpoint.entry()])))
            beating = asyncio.create_task(heartbeats(watch, 2 * LISTEN_TIME))
            slow = [
                one_by_one(rig, body_part(12, 0), [b"b"] * 12, SLOW_BYTE),
                one_by_one(rig, chunked(b""), [b"1\r\nb\r\n"] * 3 + [b"0\r\n\r\n"], GAP),
                one_by_one(rig, body_part(100_000, 50_000), [b"b" * 10_000] * 5, GAP),
            ]
            assert await asyncio.gather(*slow) == [200, 200, 200]
            beating.cancel()

    run(test, extra_time=2 * LISTEN_TIME)


def test_a_client_that_reads_none_of_its_answers_and_stays_is_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    """A connection with complete but unread answers used to be kept open for ever."""
    monkeypatch.setattr(write_stall, "ANSWER_STALL", 0.5)

    async def test() -> None:
        async def large(_: Message, __: ScriptedEndpoint) -> bytes:
            return ok(bytes(60_000))

        async with running_sidecar(ScriptedEndpoint("e1", large)) as rig:
            client = socket.socket()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.connect((rig.listen.host, rig.listen.port))
            client.setblocking(False)
            client.sendall(request("read") * 400 + HALF_HEAD)
            poll = select.poll()
            poll.register(client, 0)
            while not poll.poll(0):  # a reset
                await asyncio.sleep(0.05)
            client.close()
            await wait_for_no_open_requests(rig)

    run(test)
