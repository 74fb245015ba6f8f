"""The control server: request parsing, its calls, the metrics it reports, and draining."""

from __future__ import annotations

import asyncio
import json
import logging
import socket
import time
from collections import Counter
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from millgw.callers.lifecycle import DRAIN_IDLE_AFTER, Lifecycle
from millgw.control.call_table import CallTable, yes_no_answer
from millgw.control.parser import ControlRequest, ControlRequestParser
from millgw.control.server import MAX_CONNECTIONS, ControlServer
from millgw.http.request import BadRequest
from millgw.platform.config import Address, ConfigError, read_config
from millgw.standins.address import free_address
from millgw.standins.http import Message, ok, status
from millgw.standins.scripted import (
    CHUNKED_HEAD,
    ScriptedEndpoint,
    encode_chunk,
    encode_line,
    never_answer,
    read_message,
)
from tests.rig import SETTINGS, RunningSidecar, request, run, sidecar, wait_until

READY = b"GET /ready HTTP/1.1\r\nHost: n1\r\n\r\n"


async def call_control(control: Address, method: str, path: str) -> tuple[int, bytes]:
    reader, writer = await asyncio.open_connection(control.host, control.port)
    writer.write(f"{method} {path} HTTP/1.1\r\nHost: n1\r\n\r\n".encode())
    answer = await reader.read()
    writer.close()
    head, _, body = answer.partition(b"\r\n\r\n")
    assert b"connection: close" in head.lower()
    return int(head.split()[1]), body


async def read_metrics(control: Address) -> dict[str, Any]:
    code, body = await call_control(control, "GET", "/-/metrics")
    assert code == 200
    found = json.loads(body)
    assert isinstance(found, dict)
    return found


def control_address(rig: RunningSidecar) -> Address:
    assert rig.config.control is not None
    return rig.config.control


# Lifecycle of a process


class LifecycleMachine(RuleBasedStateMachine):
    """Compares `Lifecycle` with an independent model of the last calls made to it."""

    def __init__(self) -> None:
        super().__init__()
        self.life = Lifecycle()
        self.now = 0.0
        self.drained_at: float | None = None
        self.end_requested_at: float | None = None
        self.succeeded = False
        self.over = False

    @rule(by=st.floats(0.0, 2.0))
    def pass_time(self, by: float) -> None:
        self.now += by

    @rule(able=st.booleans())
    def become(self, able: bool) -> None:
        self.life.can_serve = able

    @rule()
    def drain(self) -> None:
        assert self.life.drain(self.now) == (self.end_requested_at is None)
        if self.end_requested_at is None and self.drained_at is None:
            self.drained_at = self.now

    @rule()
    def resume(self) -> None:
        assert self.life.resume() == (self.end_requested_at is None)
        if self.end_requested_at is None:
            self.drained_at = None

    @rule(succeeded=st.booleans())
    def leave(self, succeeded: bool) -> None:
        self.life.shut_down(self.now, succeeded)
        if self.end_requested_at is None:
            self.end_requested_at, self.succeeded = self.now, succeeded
            self.over = succeeded or self.drained_at is not None

    @rule()
    def end(self) -> None:
        if self.end_requested_at is not None:
            self.life.stop_serving(self.now)
            self.over = True

    @invariant()
    def answers_follow_the_lifecycle_rules(self) -> None:
        life, leaving = self.life, self.end_requested_at is not None
        assert life.ready() == (life.can_serve and not leaving)
        assert life.accepts_clients() == (self.drained_at is None and (not leaving or self.succeeded))
        assert life.answers_close == (self.drained_at is not None or self.over)
        if not life.answers_close:
            assert not life.closes_idle(self.now), "connections are closed without an announcement"
        if self.drained_at is not None and self.now > self.drained_at + 1.5:
            assert life.closes_idle(self.now), "a drain has 4 s in all"
        if self.end_requested_at is not None and self.over and self.now > self.end_requested_at + 3.5:
            assert life.closes_idle(max(self.now, self.end_requested_at + 3.5))


TestLives = LifecycleMachine.TestCase


# The request parser and the dispatch table


@given(st.sets(st.integers(1, 60)))
def test_a_request_may_be_split_anywhere(cuts: set[int]) -> None:
    data = b"PUT /-/drain?x=1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi"
    core, at, got = ControlRequestParser(), 0, None
    for end in [*sorted(c for c in cuts if c < len(data)), len(data)]:
        assert got is None
        got, at = core.feed(data[at:end]), end
    assert isinstance(got, ControlRequest)
    assert (got.method, got.path, got.headers["host"]) == ("PUT", "/-/drain", "a")


def test_a_request_keeps_its_method_whatever_follows_it() -> None:
    """The method of a request pipelined behind it was taken for its own: a GET began a drain."""
    data = b"GET /-/drain HTTP/1.1\r\nHost: a\r\n\r\n"
    found = ControlRequestParser().feed(data + b"PUT /-/drain HTTP/1.1\r\nHost: a\r\n\r\n")
    assert isinstance(found, ControlRequest) and found.method == "GET"


@pytest.mark.parametrize(
    ("data", "code"),
    [(b"hello\r\n\r\n", 400), (b"GET / HTTP/1.1\r\nA B: x\r\n\r\n", 400), (b"GET /" + b"x" * 9000, 431)],
)
def test_an_invalid_request_is_refused(data: bytes, code: int) -> None:
    got = ControlRequestParser().feed(data)
    assert isinstance(got, BadRequest) and got.status == code


def test_another_path_is_404_and_another_method_405_with_allow() -> None:
    calls = CallTable()
    calls.add("GET", "/a", lambda _: yes_no_answer(True, "fine"))
    assert calls(ControlRequest("GET", "/a", {})).content.body == b"fine\n"
    assert calls(ControlRequest("GET", "/b", {})).status == 404
    wrong = calls(ControlRequest("PUT", "/a", {}))
    assert wrong.status == 405 and b"Allow: GET\r\n" in wrong.content.headers


# The server


def test_unfinished_requests_and_a_busy_loop_do_not_delay_a_control_call() -> None:
    async def test() -> None:
        endpoint = ScriptedEndpoint("e1")
        async with sidecar(endpoint, control=free_address()) as rig:
            control = control_address(rig)
            stuck = [
                socket.create_connection((control.host, control.port)) for _ in range(3 * MAX_CONNECTIONS)
            ]
            for each in stuck:
                each.sendall(b"GET /-/rea")

            def get_ready() -> bytes:
                with socket.create_connection((control.host, control.port)) as asking:
                    asking.sendall(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                    return asking.recv(1000)

            asked = asyncio.create_task(asyncio.to_thread(get_ready))
            await asyncio.sleep(0)
            time.sleep(1.0)  # blocks the event loop
            begun = time.monotonic()
            assert (await asked).startswith(b"HTTP/1.1 200")
            assert time.monotonic() - begun < 0.5, "the control server waited for the event loop"
            for each in stuck:
                each.close()

    run(test)


def test_a_control_server_whose_handler_fails_answers_the_next_call() -> None:
    address = free_address()
    answers = iter([RuntimeError("broken"), yes_no_answer(True, "fine")])

    def answer(asked: ControlRequest) -> Any:
        made = next(answers)
        if isinstance(made, Exception):
            raise made
        return made

    server = ControlServer(address, answer)
    server.start()
    try:
        for want in (b"", b"HTTP/1.1 200"):
            with socket.create_connection((address.host, address.port)) as asking:
                asking.sendall(b"GET / HTTP/1.1\r\n\r\n")
                assert asking.recv(1000).startswith(want)
    finally:
        server.stop()


def test_an_address_that_cannot_be_used_names_the_field(tmp_path: Path) -> None:
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        with pytest.raises(ConfigError, match="control"):
            ControlServer(Address("127.0.0.1", taken.getsockname()[1]), lambda _: yes_no_answer(True, ""))
    file = tmp_path / "config.json"
    fields = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "1", "settings": SETTINGS}
    file.write_text(json.dumps(fields | {"control": "nowhere"}))
    with pytest.raises(ConfigError, match="control"):
        read_config({"BALANCER_CONFIG": str(file)})
    over = read_config({"BALANCER_CONFIG": str(file), "BALANCER_CONTROL": "127.0.0.1:5"})
    assert over.control == Address("127.0.0.1", 5), "the environment variable overrides the file"
    file.write_text(json.dumps(fields))
    assert read_config({"BALANCER_CONFIG": str(file)}).control is None


# Metrics


def test_metrics_match_what_clients_and_endpoints_counted() -> None:
    """Calls of all classes under faults, some refused: each counter by class and result."""

    async def test() -> None:
        turn = 0

        async def mixed(message: Message, _: ScriptedEndpoint) -> bytes | None:
            nonlocal turn
            turn += 1
            return {2: status(500), 5: status(503), 7: None}.get(turn % 9, ok())

        endpoints = [ScriptedEndpoint(f"e{i}", mixed) for i in range(3)]
        seen: Counter[tuple[str, str]] = Counter()
        async with sidecar(*endpoints, control=free_address()) as rig:
            control = control_address(rig)

            async def client(offset: int) -> None:
                mine = await rig.connect()
                for n in range(100):
                    cls = ("read", "write", "pay")[(n + offset) % 3]
                    patience = "x" if n % 40 == 17 else 20_000
                    code = (await mine.ask(request(cls, expires_in=patience))).status
                    kind = {200: "fulfilled", 503: "throttled", 429: "throttled"}.get(code, "faulted")
                    seen[kind, cls] += 1

            logging.getLogger("millgw").setLevel("ERROR")
            await asyncio.gather(*(client(i) for i in range(12)))
            logging.getLogger("millgw").setLevel("INFO")
            metrics = await read_metrics(control)
        for kind in ("fulfilled", "throttled", "faulted"):
            assert metrics[kind] == {cls: seen[kind, cls] for cls in ("read", "write", "pay")}
        assert seen["faulted", "pay"] and metrics["open_requests"] == 0
        assert metrics["relayed"] == sum(len(endpoint.requests) for endpoint in endpoints)

    run(test)


def test_metrics_of_open_requests_listed_endpoints_and_out_of_rotation() -> None:
    async def test() -> None:
        endpoints = [ScriptedEndpoint(f"e{i}", never_answer) for i in range(4)]
        async with sidecar(*endpoints, control=free_address()) as rig:
            control = control_address(rig)
            clients = [await rig.connect() for _ in range(3)]
            for client in clients:
                client.writer.write(request())
            await wait_until(lambda: sum(len(endpoint.requests) for endpoint in endpoints) == 3)
            metrics = await read_metrics(control)
            assert (metrics["open_requests"], metrics["registry_entries"], metrics["out_of_rotation"]) == (
                3,
                4,
                0,
            )
            _, writer = await rig.discovery.calls.get()
            writer.write(CHUNKED_HEAD + encode_chunk(encode_line(2, [endpoints[0].entry("terminating")])))
            while (metrics := await read_metrics(control))["out_of_rotation"] != 1:
                pass
            assert metrics["registry_entries"] == 4, "a draining endpoint stays in the list"
            writer.write(encode_chunk(encode_line(3, [endpoints[0].entry("terminated")])))
            while (metrics := await read_metrics(control))["out_of_rotation"] != 0:
                pass
            assert metrics["registry_entries"] == 3
            for client in clients:
                client.writer.close()
            while (metrics := await read_metrics(control))["open_requests"]:
                pass

    run(test)


# Draining


def test_a_drained_sidecar_sends_its_clients_away_and_comes_back() -> None:
    async def test() -> None:
        endpoint = ScriptedEndpoint("e1")
        async with sidecar(endpoint, control=free_address()) as rig:
            control = control_address(rig)
            while (await call_control(control, "GET", "/-/ready"))[0] != 200:
                pass
            idle, used, silent_one = [await rig.connect() for _ in range(3)]
            for client in (idle, used):
                assert "connection" not in (await client.ask(request())).headers
            assert (await call_control(control, "PUT", "/-/drain"))[0] == 200
            begun = time.monotonic()
            assert (await rig.ask(READY)).status == 503
            assert (await call_control(control, "GET", "/-/ready"))[0] == 200, "draining is not unready"
            answer = await used.ask(request())
            assert answer.status == 200 and answer.headers["connection"] == "close"
            assert await used.reader.read() == b""
            assert (await call_control(control, "PUT", "/-/drain"))[0] == 200, "a second drain call"
            for client in (idle, silent_one):
                assert await client.reader.read() == b"", "closed between requests"
            assert DRAIN_IDLE_AFTER - 0.1 < time.monotonic() - begun < 4.0
            assert (await call_control(control, "PUT", "/-/resume"))[0] == 200
            assert (await rig.ask(READY)).status == 200
            client = await rig.connect()
            assert "connection" not in (await client.ask(request())).headers
            client.writer.close()

    run(test)


def test_a_drain_waits_for_open_requests() -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def slow(message: Message, _: ScriptedEndpoint) -> bytes:
            await release.wait()
            return ok()

        async with sidecar(ScriptedEndpoint("e1", slow), control=free_address()) as rig:
            client = await rig.connect()
            client.writer.write(request())
            while (await read_metrics(control_address(rig)))["open_requests"] != 1:
                pass
            await call_control(control_address(rig), "PUT", "/-/drain")
            await asyncio.sleep(DRAIN_IDLE_AFTER + 0.5)
            release.set()
            assert (await read_message(client.reader)).status == 200
            assert await client.reader.read() == b""

    run(test)


async def answer_discovery_calls(rig: RunningSidecar, endpoints: list[ScriptedEndpoint]) -> None:
    """Answer each discovery call: without an answer, all requests are refused from 6 s after the start."""
    while True:
        _, watch = await rig.discovery.calls.get()
        watch.write(
            CHUNKED_HEAD
            + encode_chunk(encode_line(1, [endpoint.entry() for endpoint in endpoints], snapshot=True))
        )


def test_a_full_sidecar_answers_control_calls_and_can_be_drained() -> None:
    async def test() -> None:
        endpoints = [ScriptedEndpoint(f"e{i}", never_answer) for i in range(4)]
        async with sidecar(*endpoints, sockets=32 + 13, control=free_address()) as rig:  # 8 callers, 6 calls
            control = control_address(rig)
            answering = asyncio.create_task(answer_discovery_calls(rig, endpoints))
            callers = [await rig.connect() for _ in range(30)]
            for client in callers:
                client.writer.write(request("pay"))
            await wait_until(lambda: sum(len(endpoint.requests) for endpoint in endpoints) >= 4)
            assert (await read_metrics(control))["open_requests"] >= 4
            assert (await call_control(control, "PUT", "/-/drain"))[0] == 200
            for client in callers:
                client.writer.close()
            while (await read_metrics(control))["open_requests"]:
                await asyncio.sleep(0.01)
            while (await rig.ask(READY)).status != 503:
                pass
            answering.cancel()

    run(test)
