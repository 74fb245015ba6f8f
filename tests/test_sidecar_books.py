"""A sidecar keeps no state of finished requests, closed connections and removed endpoints."""

from __future__ import annotations

import asyncio
import gc
import time
from typing import TypeVar

import pytest

from millgw.callers.connection import CallerConnection
from millgw.callers.server import Server
from millgw.decide import Attempt as Sent
from millgw.decide import Request
from millgw.endpoints import hold_policy as proof_module
from millgw.endpoints.attempt import Attempt
from millgw.endpoints.connection import Connection
from millgw.endpoints.host import Host
from millgw.http.request import Head
from millgw.pool.call import Call
from millgw.pool.driver import Driver
from millgw.pool.pool import Pool
from millgw.settings import to_settings
from millgw.standins.http import Message, ok
from millgw.standins.scripted import (
    CHUNKED_HEAD,
    ScriptedEndpoint,
    encode_chunk,
    encode_line,
    never_answer,
    read_message,
)
from tests.rig import SETTINGS, request, run, sidecar, wait_until

T = TypeVar("T")
RELEASED_TYPES = (Call, Head, CallerConnection, Attempt, Connection, Request, Sent)


def live_objects(kind: type[T]) -> list[T]:
    return [thing for thing in gc.get_objects() if isinstance(thing, kind)]


def only_instance(kind: type[T]) -> T:
    """The instance of this sidecar. Collects first, as those of earlier tests may not be freed yet."""
    gc.collect()
    (thing,) = live_objects(kind)
    return thing


def test_after_thousands_of_requests_endpoints_and_connections_no_state_is_left() -> None:
    rounds, each = 200, 10

    async def test() -> None:
        answers = 0

        async def mixed(message: Message, _: ScriptedEndpoint) -> bytes | None:
            nonlocal answers
            answers += 1
            bad = b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n"
            return {3: None, 5: ok() + b"noise", 7: bad}.get(answers % 10, ok())

        endpoints = [ScriptedEndpoint(f"endpoint{i}", mixed) for i in range(4)]
        async with sidecar(*endpoints) as rig:
            _, writer = await rig.discovery.calls.get()
            writer.write(CHUNKED_HEAD)
            server, driver = only_instance(Server), only_instance(Driver)
            gc.disable()  # so that objects in reference cycles stay and are found below
            for turn in range(rounds):
                # In each round, new endpoints replace all others at the same addresses.
                for endpoint in endpoints:
                    endpoint.name = f"{endpoint.address.host}-{turn}"
                entries = [endpoint.entry(since_ms=turn) for endpoint in endpoints]
                writer.write(encode_chunk(encode_line(turn, entries, snapshot=turn % 2 == 0)))
                await asyncio.gather(*(rig.ask(request("write" if i % 2 else "pay")) for i in range(each)))
                leaving = await rig.connect()
                leaving.writer.write(request("pay")[:-9] if turn % 2 else request("pay"))
                leaving.writer.close()
            await wait_until(lambda: not server.connections)
            assert (
                not server.newly_connected
                and not server.between_requests
                and not only_instance(Pool).body_bytes
            )
            assert not driver.calls and not driver.open_trace_ids and not driver.upstream.connect_tasks
            assert len(driver.ready) == len(driver.balancer.servers) == len(driver.upstream.hosts) == 4
            balancer = driver.balancer
            assert not balancer.requests and not balancer.in_flight and not balancer.held
            assert not any(s.in_flight for s in balancer.servers.values()) and len(balancer.timers) <= 1
            kept = driver.upstream.open
            assert kept == sum(len(p.idle) for p in driver.upstream.hosts.values())
            await asyncio.sleep(1)
            await wait_until(lambda: len(live_objects(Connection)) == kept)
            assert not [k for k in RELEASED_TYPES if k is not Connection and live_objects(k)]
            assert len(live_objects(Host)) == 4

    try:
        run(test)
    finally:
        gc.enable()


def test_a_request_that_has_gone_leaves_no_timer() -> None:
    raw = SETTINGS | {"classes": [c | {"slo": 20_000.0} for c in SETTINGS["classes"]]}

    async def test() -> None:
        async with sidecar(settings=to_settings(raw)) as rig:
            driver = only_instance(Driver)
            loop = asyncio.get_running_loop()
            before = len(driver.balancer.timers)
            client = await rig.connect()
            client.writer.write(request("pay"))  # held, as there is no endpoint
            await wait_until(lambda: len(driver.balancer.timers) == before + 1)
            (call,) = driver.calls.values()
            timers = list(call.timers)
            assert len(timers) == 2 and loop.is_running()
            client.writer.close()
            await wait_until(lambda: not driver.calls)
            assert len(driver.balancer.timers) == before and all(t.cancelled() for t in timers)

    run(test)


def test_an_endpoint_at_the_address_of_a_removed_one_inherits_no_state() -> None:
    async def test() -> None:
        endpoint = ScriptedEndpoint("old")
        async with sidecar(endpoint) as rig:
            driver = only_instance(Driver)
            _, writer = await rig.discovery.calls.get()
            for _ in range(3):
                assert (await rig.ask(request("pay"))).status == 200
            (old,) = driver.balancer.servers.values()
            endpoint.name = "new"
            writer.write(
                CHUNKED_HEAD
                + encode_chunk(encode_line(2, [endpoint.entry(since_ms=int(time.time() * 1000))]))
            )
            await wait_until(lambda: endpoint.lost_connections == 1)  # its idle connection is closed
            (new,) = driver.balancer.servers.values()
            assert new.info.id != old.info.id and not new.served_calls and driver.balancer.ring == [new]
            endpoint.name = "old"  # a late list entry, from before the new endpoint
            writer.write(encode_chunk(encode_line(3, [endpoint.entry(since_ms=1)])))
            writer.write(encode_chunk(encode_line(4, [])))
            assert (await rig.ask(request("pay"))).status == 200
            assert driver.balancer.ring == [new]

    run(test)


def test_a_request_that_an_endpoint_cannot_use_fails_at_once_and_harms_no_endpoint() -> None:
    async def test() -> None:
        async def script(message: Message, _: ScriptedEndpoint) -> bytes:
            return b"HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n"

        endpoints = [ScriptedEndpoint(f"e{i}", script) for i in range(3)]
        async with sidecar(*endpoints) as rig:
            driver = only_instance(Driver)
            assert (await rig.ask(request("write"))).status == 400
            assert sum(len(e.requests) for e in endpoints) == 1, "tried again elsewhere"
            assert not any(s.failure_rate or s.in_flight for s in driver.balancer.servers.values())

    run(test)


def test_counts_in_flight_follow_the_sockets_when_the_whole_list_is_replaced() -> None:
    async def test() -> None:
        old, new = ScriptedEndpoint("old", never_answer), ScriptedEndpoint("new")
        await new.start()
        async with sidecar(old) as rig:
            driver = only_instance(Driver)
            _, writer = await rig.discovery.calls.get()
            waiting = await rig.connect()
            waiting.writer.write(request("pay"))
            await wait_until(lambda: len(old.requests) == 1)
            writer.write(CHUNKED_HEAD + encode_chunk(encode_line(2, [new.entry()], snapshot=True)))
            while (await rig.ask(request("pay"))).status != 200 or not new.requests:
                pass
            assert [len(s.in_flight) for s in driver.balancer.servers.values()] == [0]
            assert len(driver.balancer.in_flight) == 1, "the call that is still in flight at the old endpoint"
            old.server_connections[0].write(ok(b"late"))
            assert (await read_message(waiting.reader)).body == b"late"
            assert not driver.balancer.in_flight and driver.upstream.open == 1

    run(test)


def test_callers_that_leave_while_their_sends_are_held_back_do_not_count_against_the_endpoint(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(proof_module, "LAST_BYTE_HOLD_TIME", 300.0)

    async def test() -> None:
        endpoint = ScriptedEndpoint("e")
        async with sidecar(endpoint) as rig:
            driver = only_instance(Driver)
            for _ in range(3):
                client = await rig.connect()
                client.writer.write(request("pay"))
                await wait_until(lambda: bool(driver.calls))
                client.writer.close()
                await wait_until(lambda: not driver.calls)
            (server,) = driver.balancer.servers.values()
            assert not server.connect_failures and not server.in_flight
            assert (await rig.ask(request("pay"))).status == 200

    run(test)
