"""Requests that offer to switch protocols: each is handled as if it made no offer (RFC 9110 section 7.8)."""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from millgw.callers import progress as progress_module
from millgw.callers import server as server_module
from millgw.callers.core import RequestCore
from millgw.configuration.request_reader import BadRequestError, Request, RequestReader
from millgw.control.parser import ControlRequest, ControlRequestParser
from millgw.http.request import Head
from millgw.standins.address import free_address
from millgw.standins.http import Clock, Message, ServerConnection, listener, ok
from millgw.standins.scripted import ScriptedEndpoint, read_message
from millgw.streams.limiter import STREAM_THRESHOLD
from tests.rig import request, run, sidecar
from tests.test_cores import Bodies
from tests.test_streams import chunked

# What common clients that can do HTTP/2 send with a request in clear text (RFC 7540, section 3.2).
OFFER = b"Upgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQBAAAAAAIAAAAA\r\n"
OFFER_OPTIONS = ("Upgrade", "HTTP2-Settings")
HIDDEN_REQUEST = b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n"

Parsed = list[tuple[object, ...]]


@dataclass(frozen=True)
class SentRequest:
    """A request of a client, to be written with or without an offer."""

    offered: bool
    body: bytes | None = None  # None: no framing header at all
    chunk_size: int = 0  # bytes; 0 for a Content-Length
    version: str = "1.1"
    option: str = ""  # of the header `Connection`

    def encode(self, offered: bool) -> bytes:
        options = [*OFFER_OPTIONS, self.option] if offered else [self.option]
        connection = ", ".join(option for option in options if option)
        head = b"POST /api?k=1 HTTP/%b\r\nHost: a\r\n" % self.version.encode()
        if offered:
            head += OFFER
        if connection:
            head += b"Connection: %b\r\n" % connection.encode()
        if self.body is None:
            return head + b"\r\n"
        if self.chunk_size:
            return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(self.body, self.chunk_size)
        return head + b"Content-Length: %d\r\n\r\n" % len(self.body) + self.body


def encode_all(requests: list[SentRequest], offers: bool) -> bytes:
    return b"".join(one.encode(offers and one.offered) for one in requests)


def split(data: bytes, cuts: list[int]) -> list[bytes]:
    bounds = [0, *sorted({cut for cut in cuts if 0 < cut < len(data)}), len(data)]
    return [data[start:end] for start, end in itertools.pairwise(bounds)]


requests_with_and_without_offers = st.lists(
    st.builds(
        SentRequest,
        offered=st.booleans(),
        body=st.none() | st.binary(max_size=40) | st.just(HIDDEN_REQUEST),
        chunk_size=st.sampled_from([0, 1, 7]),
        version=st.sampled_from(["1.1", "1.1", "1.1", "1.0"]),
        option=st.sampled_from(["", "", "keep-alive", "close"]),
    ),
    min_size=1,
    max_size=4,
)
cut_places = st.lists(st.integers(1, 600), max_size=6)


# The callers' side


def parse_as_caller(pieces: list[bytes]) -> Parsed:
    """What a caller's connection makes of `pieces`: the whole requests, and the status of a refusal."""

    def assign_pool(head: Head) -> None:
        head.pool = Bodies()

    core = RequestCore(assign_pool)
    found: Parsed = []
    for piece in pieces:
        refusal = core.feed(piece, 1.0)
        while core.queue:
            item = core.queue.popleft()
            assert isinstance(item, Head)
            found.append(
                (item.method, item.target, item.version, item.body, item.keep_alive, item.forwarded_headers)
            )
        if refusal is not None:
            found.append((refusal.status,))
            break
    return found


@given(requests_with_and_without_offers, cut_places, cut_places)
@example([SentRequest(True, b"hello")], [], [])
@example([SentRequest(True, HIDDEN_REQUEST)], [120], [])
@settings(max_examples=300, deadline=None)
def test_requests_with_an_offer_parse_as_those_without_it(
    requests: list[SentRequest], cuts: list[int], other_cuts: list[int]
) -> None:
    """A request with an offer was taken for complete at the end of its head, without its body."""
    with_offers = parse_as_caller(split(encode_all(requests, True), cuts))
    assert with_offers == parse_as_caller(split(encode_all(requests, False), other_cuts))


@pytest.mark.parametrize("chunk_size", [0, 5])
def test_the_body_behind_an_offer_is_never_taken_for_a_request(chunk_size: int) -> None:
    """A body that came in another read than its head was parsed as the next request of the connection."""
    sent = [SentRequest(True, HIDDEN_REQUEST, chunk_size), SentRequest(False, b"next")]
    data = encode_all(sent, True)
    whole = parse_as_caller([data])
    assert [entry[3] for entry in whole] == [HIDDEN_REQUEST, b"next"]
    for cut in range(1, len(data)):
        assert parse_as_caller([data[:cut], data[cut:]]) == whole, cut
    assert parse_as_caller([data[at : at + 1] for at in range(len(data))]) == whole


@pytest.mark.parametrize(
    "framing", [b"Content-Length: 3\r\nTransfer-Encoding: chunked", b"Content-Length: x"]
)
def test_an_offer_hides_no_bad_framing(framing: bytes) -> None:
    head = b"POST /api HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n%b\r\n\r\n" % framing
    assert parse_as_caller([head + b"abc"]) == [(400,)]


def test_nothing_behind_a_connect_request_is_parsed() -> None:
    head = b"CONNECT other:80 HTTP/1.1\r\nHost: other\r\nContent-Length: 2\r\n\r\n"
    for pieces in ([head + b"hi" + HIDDEN_REQUEST], [head, b"hi", HIDDEN_REQUEST]):
        ((method, _, _, body, keep_alive, _),) = parse_as_caller(pieces)
        assert (method, body, keep_alive) == (b"CONNECT", b"", False)


# Through a sidecar


async def echo(message: Message, _: ScriptedEndpoint) -> bytes:
    return ok(message.body)


def offering(cls: str, body: bytes, **headers: str) -> bytes:
    """A request with an offer, as clients of HTTP/2 send it."""
    options = ", ".join(OFFER_OPTIONS)
    return request(
        cls, body, Connection=options, Upgrade="h2c", HTTP2_Settings="AAMAAABkAAQBAAAAAAIAAAAA", **headers
    )


@pytest.mark.parametrize("cls", ["pay", "write"])
@pytest.mark.parametrize("size", [20, 20_000, 2 * STREAM_THRESHOLD])
def test_a_call_with_an_offer_runs_with_its_body_and_its_connection_is_kept(cls: str, size: int) -> None:
    """Such a call ran with an empty body and was answered 200; its connection was closed."""

    async def test() -> None:
        endpoint = ScriptedEndpoint("e1", echo)
        async with sidecar(endpoint) as rig:
            client = await rig.connect()
            for number in range(3):
                body = bytes([number]) * size
                reply = await client.ask(offering(cls, body))
                assert (reply.status, reply.body) == (200, body)
                assert reply.headers.get("connection") != "close"
                assert not {"upgrade", "http2-settings", "connection"} & set(endpoint.requests[-1].headers)
            assert len(endpoint.requests) == 3
            assert (await client.ask(request("pay", b"plain"))).body == b"plain"

    run(test)


def test_pipelined_calls_before_and_behind_an_offer_are_all_answered() -> None:
    """Calls that came before one with an offer in the same read lost their connection, and their answers."""

    async def test() -> None:
        async with sidecar(ScriptedEndpoint("e1", echo)) as rig:
            client = await rig.connect()
            calls = [request("pay", b"1"), request("pay", b"2"), offering("pay", b"3"), request("pay", b"4")]
            client.writer.write(b"".join(calls))
            for body in (b"1", b"2", b"3", b"4"):
                assert (await client.ask(b"")).body == body

    run(test)


def test_a_client_that_offers_and_waits_for_100_continue_gets_it_and_sends_its_body() -> None:
    """RFC 9110 section 7.8: the 100 comes first. The call began at once instead, without its body."""

    async def test() -> None:
        endpoint = ScriptedEndpoint("e1", echo)
        async with sidecar(endpoint) as rig:
            client = await rig.connect()
            head = offering("pay", b"", Expect="100-continue", Content_Length="5")
            assert (await client.ask(head)).first_line == "HTTP/1.1 100 Continue"
            assert not endpoint.requests
            assert (await client.ask(b"hello")).body == b"hello"

    run(test)


def test_a_body_behind_an_offer_that_never_comes_is_answered_408(monkeypatch: pytest.MonkeyPatch) -> None:
    """The call ran without it."""
    monkeypatch.setattr(progress_module, "STALL_TIMEOUT", 0.01)
    monkeypatch.setattr(server_module, "SWEEP_INTERVAL", 0.05)

    async def test() -> None:
        endpoint = ScriptedEndpoint("e1", echo)
        async with sidecar(endpoint) as rig:
            client = await rig.connect()
            reply = await client.ask(offering("pay", b"hello")[:-2])
            assert reply.status == 408 and not endpoint.requests

    run(test)


def test_a_body_behind_an_offer_may_come_in_pieces() -> None:
    async def test() -> None:
        endpoint = ScriptedEndpoint("e1", echo)
        async with sidecar(endpoint) as rig:
            client = await rig.connect()
            plain = offering("pay", b"", Content_Length="", Transfer_Encoding="chunked")
            data = plain + chunked(HIDDEN_REQUEST, 9)
            for at in range(0, len(data), 50):
                client.writer.write(data[at : at + 50])
                await asyncio.sleep(0.001)
            assert (await client.ask(b"")).body == HIDDEN_REQUEST
            assert len(endpoint.requests) == 1

    run(test)


# The admin server


def offer_lines(offered: bool) -> bytes:
    return b"Connection: Upgrade, HTTP2-Settings\r\n" + OFFER if offered else b""


@pytest.mark.parametrize("offered", [True, False])
def test_an_admin_call_is_complete_with_its_body_whether_or_not_it_makes_an_offer(offered: bool) -> None:
    """One with an offer was answered before its body had come, which a close would then have reset."""
    head = b"PUT /-/drain HTTP/1.1\r\nHost: a\r\n" + offer_lines(offered)
    for data in (
        head + b"Content-Length: %d\r\n\r\n" % len(HIDDEN_REQUEST) + HIDDEN_REQUEST,
        head + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(HIDDEN_REQUEST, 9),
    ):
        for cut in range(1, len(data)):
            parser = ControlRequestParser()
            assert parser.feed(data[:cut]) is None, cut
            found = parser.feed(data[cut:])
            assert isinstance(found, ControlRequest) and (found.method, found.path) == ("PUT", "/-/drain")


# Control instances


def parse_as_instance(pieces: list[bytes]) -> list[Request]:
    reader = RequestReader(lambda path: 1000)
    return [one for piece in pieces for one in reader.feed(piece)]


@given(requests_with_and_without_offers, cut_places, cut_places)
@example([SentRequest(False), SentRequest(True, HIDDEN_REQUEST)], [], [])
@settings(max_examples=150, deadline=None)
def test_a_control_instance_reads_requests_with_an_offer_as_those_without_it(
    requests: list[SentRequest], cuts: list[int], other_cuts: list[int]
) -> None:
    """It refused them with 400, and dropped those that were pipelined before them."""
    found: list[object] = []
    for offers, places in ((True, cuts), (False, other_cuts)):
        try:
            found.append(parse_as_instance(split(encode_all(requests, offers), places)))
        except BadRequestError as error:
            found.append(error.status)
    assert found[0] == found[1]


# Stand-ins


def test_a_stand_in_reads_a_request_with_an_offer_and_its_body() -> None:
    """Its connection ended with an exception."""

    class EchoSite:
        clock = Clock()

        def opened(self, connection: ServerConnection) -> None: ...

        def asked(self, connection: ServerConnection, message: Message) -> None:
            connection.write(ok(message.body))
            connection.request_done()

        def lost(self, connection: ServerConnection) -> None: ...

        def bytes_came(self, connection: ServerConnection) -> bool:
            return True

    async def test() -> None:
        listening = listener(free_address(), EchoSite())
        listening.open()
        reader, writer = await asyncio.open_connection(listening.address.host, listening.address.port)
        sent = [SentRequest(True, b"one"), SentRequest(True, HIDDEN_REQUEST, 9), SentRequest(False, b"two")]
        data = encode_all(sent, True)
        for at in range(0, len(data), 100):
            writer.write(data[at : at + 100])
            await asyncio.sleep(0.001)
        for one in sent:
            assert (await read_message(reader)).body == one.body
        writer.close()
        listening.close()

    run(test)
