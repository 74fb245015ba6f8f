"""Terms of the standing test that hold before a bench shows them, on real sockets.

`docs/acceptance.md` lists them, with the line that was removed to see each test fail. What
callers do that leave in other moments stands in `test_crossings.py`.
"""

from __future__ import annotations

import asyncio
import os
import resource
import socket
import subprocess
import sys
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest

from millgw.callers import server as server_module
from millgw.endpoints import attempt as attempt_module
from millgw.endpoints.attempt import Attempt
from millgw.interface import Outcome, Repeat
from millgw.platform.config import Address
from millgw.platform.descriptors import Descriptors
from millgw.settings import to_settings
from millgw.standins.address import free_address
from millgw.standins.http import Message, ServerConnection, ok, status
from millgw.standins.scripted import (
    CHUNKED_HEAD,
    ScriptedDiscoveryServer,
    ScriptedEndpoint,
    always_ok,
    answer_with,
    encode_chunk,
    encode_line,
)
from tests.probe_proofs import ProbeRecord, TimedAnswer
from tests.rig import EXPIRES_IN, SETTINGS, RunningSidecar, request, run, sidecar, wait_until
from tests.test_crossings import (
    RETRY_WAIT,
    ManualIntent,
    connect_blocking,
    disconnect,
    lossy_listener,
    upstream_to,
)
from tests.test_sidecar_process import GOOD, start_sidecar, write_config

TOLD_WITHIN = 6.0  # s after which a change counts as told that discovery had and could have been asked for
TOLD_SLACK = 0.2  # s more, from when on nothing may be sent to an endpoint that drained
READY_WITHIN = 10.0  # s in which nine in ten restarted processes are ready
CALLER_GONE = 0.1  # s after a caller has left, from when on no attempt may begin for it
LEAVES = ("close", "reset", "half")
MOST_HELD_WHOLE = 1_000_000  # bytes of a body, far under what is passed on as it comes here


# A change counts as told 6 s after discovery had it, whatever became of the calls

ASK_LATE = SETTINGS | {"rules": SETTINGS["rules"] | {"askWithin": 200_000.0}}


async def end_calls(discovery: ScriptedDiscoveryServer, how: str) -> None:
    """Discovery has a change and tells it to nobody: each call ends this way."""
    while True:
        _, writer = await discovery.calls.get()
        if how in ("turned away", "refused"):
            writer.write(status(503))
        elif how == "reset":
            writer.transport.abort()
        elif how == "ends at once":
            writer.write(CHUNKED_HEAD + b"0\r\n\r\n")
        elif how == "unreadable":
            writer.write(CHUNKED_HEAD + encode_chunk(b"{]\n"))
        # Else it is silent: the sidecar gives the call up.


SEEMS_DOWN = ("turned away", "reset")  # as after an outage has begun
ASKED_AGAIN = 1.0  # s after the end of a watch by which discovery has been asked again
SLOWER = 0.05  # s that the endpoint that will drain takes for an answer: calls made one by one avoid it
AT_ONCE = 6  # calls side by side, which load both endpoints


async def slowly(message: Message, _: ScriptedEndpoint) -> bytes:
    """It serves on while it drains, and says so only where it is asked."""
    if message.first_line.startswith("GET /health"):
        return status(503)
    await asyncio.sleep(SLOWER)
    return ok()


async def ask_at_once(rig: RunningSidecar) -> list[TimedAnswer]:
    async def ask() -> TimedAnswer:
        code = (await rig.ask(request())).status
        return TimedAnswer(time.monotonic(), code)

    return await asyncio.gather(*(ask() for _ in range(AT_ONCE)))


def statuses(answers: list[TimedAnswer]) -> set[int]:
    return {answer.status for answer in answers}


def calls_of(endpoint: ScriptedEndpoint) -> int:
    return sum(" /api" in message.first_line for message in endpoint.requests)


async def last_served_by(rig: RunningSidecar, last: ScriptedEndpoint, before: ScriptedEndpoint) -> None:
    """Both have served, and one of them the last call."""
    while not calls_of(before):
        assert statuses(await ask_at_once(rig)) == {200}
    served = calls_of(last)
    while calls_of(last) == served:
        assert (await rig.ask(request())).status == 200


async def nothing_is_sent_after_a_drain(how: str, probing: bool) -> None:
    """Both endpoints serve; discovery's calls then fail, one drains, and 6 s later nothing is sent.

    A discovery that refuses calls can't be reached: it turns them away from the drain on.
    """
    probes = ProbeRecord()
    drains, stays = ScriptedEndpoint("e1", slowly), ScriptedEndpoint("e2", probes.noting(always_ok))
    settings = to_settings(ASK_LATE | {"limits": ASK_LATE["limits"] | {"probing": probing}})
    async with sidecar(drains, stays, settings=settings) as rig:
        _, watch = await rig.discovery.calls.get()
        watch.write(CHUNKED_HEAD + encode_chunk(encode_line(1, [drains.entry(), stays.entry()])))
        watch.transport.abort()
        if how == "refused":
            rig.discovery.stop()
        failing = asyncio.create_task(end_calls(rig.discovery, how))
        await last_served_by(rig, stays, before=drains)
        if how == "refused":
            await asyncio.sleep(ASKED_AGAIN)
            await rig.discovery.start()
        drained, before = time.monotonic(), calls_of(drains)
        await asyncio.sleep(drained + TOLD_WITHIN + TOLD_SLACK - time.monotonic())
        answers = await ask_at_once(rig) + await ask_at_once(rig)
        if probing and how in SEEMS_DOWN:
            while statuses(last := await ask_at_once(rig)) != {200}:
                answers += last  # a busy machine may need longer for a probe than a call waits for it
            assert not probes.unexplained_refusals(answers), (
                f"{how}: refused though a probe proved an endpoint"
            )
        else:
            assert statuses(answers) == {503}, f"{how}: nothing shows that either does not drain"
        failing.cancel()
        assert calls_of(drains) == before, f"{how}: sent to an endpoint whose drain counts as told"


@pytest.mark.parametrize("probing", [True, False], ids=["probes allowed", "no probes"])
def test_a_drain_counts_as_told_after_six_seconds_whatever_became_of_the_calls(probing: bool) -> None:
    """Each way in which calls may end, side by side. The settings would allow a list 200 s old."""

    async def test() -> None:
        ways = ("turned away", "reset", "ends at once", "unreadable", "silent", "refused")
        await asyncio.gather(*(nothing_is_sent_after_a_drain(how, probing) for how in ways))

    run(test, extra_time=TOLD_WITHIN + TOLD_SLACK)


# A caller that closes its connection or cancels its request has gone


LEFT = "/api?k=left"  # what those callers ask for that have left


def asks(cls: str) -> bytes:
    return request(cls, target=LEFT)


async def all_read(rig: RunningSidecar) -> None:
    """What has come to the sidecar by now has been read: a later caller is answered."""
    assert (await rig.ask(request("read"))).status == 200


async def nothing_begins(rig: RunningSidecar, endpoint: ScriptedEndpoint) -> None:
    """No first byte comes to an endpoint that has a kept connection, but those of a later caller."""
    await all_read(rig)
    await asyncio.sleep(CALLER_GONE)
    assert not [message for message in endpoint.requests if LEFT in message.first_line]
    assert endpoint.connections == 1, "an attempt that began was broken off"


@pytest.mark.parametrize("cls", ["read", "pay"])
@pytest.mark.parametrize("how", LEAVES)
def test_a_caller_that_left_while_its_connection_waited_to_be_accepted_is_sent_nothing(
    how: str, cls: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The sidecar is at its bound: request and end are both there when the connection is accepted."""
    full = False
    monkeypatch.setattr(Descriptors, "callers_full", lambda _: full)

    async def test() -> None:
        nonlocal full
        endpoint = ScriptedEndpoint("e1")
        async with sidecar(endpoint) as rig:
            await all_read(rig)
            full = True
            client = connect_blocking(rig.listen)
            client.sendall(asks(cls))
            await asyncio.sleep(0.05)
            disconnect(client, how)
            await asyncio.sleep(CALLER_GONE)
            full = False
            await nothing_begins(rig, endpoint)
            client.close()

    run(test)


@pytest.mark.parametrize("cls", ["read", "pay"])
@pytest.mark.parametrize("how", LEAVES)
def test_a_caller_that_left_while_the_process_stood_still_is_sent_nothing(how: str, cls: str) -> None:
    async def test() -> None:
        endpoint = ScriptedEndpoint("e1")
        async with sidecar(endpoint) as rig:
            client = connect_blocking(rig.listen)
            await all_read(rig)  # it has been accepted by now
            client.sendall(asks(cls))
            disconnect(client, how)
            time.sleep(CALLER_GONE)
            await nothing_begins(rig, endpoint)
            client.close()

    run(test)


@pytest.mark.parametrize("how", LEAVES)
@pytest.mark.parametrize("behind", [b"", request("pay")], ids=["nothing behind", "a request behind"])
def test_a_connection_that_comes_up_after_its_caller_left_carries_nothing(
    how: str, behind: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its first packet was lost. With a request behind, the caller's connection is not read."""
    monkeypatch.setattr(server_module, "SWEEP_INTERVAL", 60.0)  # no look for its end comes to help

    async def test() -> None:
        with lossy_listener() as late:
            endpoint = ScriptedEndpoint("e1", address=late.address)
            known = {"index": 1, "snapshot": True, "endpoints": [endpoint.entry()]}
            async with sidecar(known=known) as rig:
                client = connect_blocking(rig.listen)
                client.sendall(request("pay") + behind)
                await asyncio.sleep(0.1)  # its handshake is lost by now
                late.accept_handshakes()
                disconnect(client, how)
                began: list[bytes] = []
                with suppress(TimeoutError):  # where the attempt was given up none may come up
                    async with asyncio.timeout(2.5):
                        began.append(await late.read(await late.accept(), 1))
                assert began in ([], [b""]), "an attempt began for nobody"
                client.close()

    run(test)


@pytest.mark.parametrize("how", LEAVES)
def test_a_mark_that_is_durable_after_its_caller_left_lets_nothing_go(how: str) -> None:
    """Its last byte waits for the mark; the connection of its caller is not read, and nobody looks."""

    async def test() -> None:
        endpoint, mark = ScriptedEndpoint("e1"), ManualIntent()
        await endpoint.start()
        upstream, ended, end = upstream_to(endpoint)
        left = False
        attempt = Attempt(lambda: request("pay"), end, Repeat.UNSAFE, intent=mark)
        attempt.caller_disconnected = lambda: left
        upstream.send(1, attempt)
        await wait_until(lambda: mark.then is not None)
        left = True
        await asyncio.sleep(attempt_module.CALLER_CHECK_INTERVAL_MS / 1000)
        mark.known = True
        assert mark.then is not None
        mark.then()
        assert ended == [Outcome.NOT_SENT] and not mark.left
        await wait_until(lambda: endpoint.lost_connections == 1)
        assert not endpoint.requests
        upstream.stop()

    run(test)


@pytest.mark.parametrize("how", LEAVES)
def test_a_caller_that_leaves_during_the_hold_back_has_no_further_attempt(how: str) -> None:
    """The attempt has begun by its first bytes, and its connection breaks there: it may not go elsewhere."""

    async def test() -> None:
        client: socket.socket

        def leave_and_break(connection: ServerConnection) -> bool:
            disconnect(client, how)
            time.sleep(CALLER_GONE)  # nothing in this process runs on: its end is seen no sooner
            connection.reset()
            return False

        endpoint, other = ScriptedEndpoint("e1"), ScriptedEndpoint("e2")
        async with sidecar(endpoint, other) as rig:
            for each in (endpoint, other):
                each.bytes_came = leave_and_break  # type: ignore[method-assign]
            client = connect_blocking(rig.listen)
            client.sendall(request("pay") + request("pay"))
            await wait_until(lambda: endpoint.connections + other.connections == 1)
            await asyncio.sleep(RETRY_WAIT)
            assert (
                endpoint.connections + other.connections == 1 and not endpoint.requests and not other.requests
            )
            client.close()

    run(test)


@pytest.mark.parametrize("how", LEAVES)
@pytest.mark.parametrize("length", [1000, 30_000_000], ids=["held whole", "passed on"])
def test_a_caller_that_leaves_while_its_body_comes_in_has_no_further_attempt(how: str, length: int) -> None:
    async def test() -> None:
        endpoint = ScriptedEndpoint("e1")
        async with sidecar(endpoint) as rig:
            client = connect_blocking(rig.listen)
            client.sendall(
                request("pay", target=LEFT, Content_Length=str(length))
                + bytes(length // 2 if length < 9999 else 70_000)
            )
            await all_read(rig)
            begun = endpoint.connections
            disconnect(client, how)
            if length > MOST_HELD_WHOLE:
                await wait_until(
                    lambda: endpoint.lost_connections == 1
                )  # the attempt that has begun is given up
            await asyncio.sleep(RETRY_WAIT)
            assert (
                not [m for m in endpoint.requests if LEFT in m.first_line] and endpoint.connections == begun
            )
            client.close()

    run(test)


# The time that an attempt tells is at most what is left to the client

TOLD_MORE = 150  # ms more than is left that an attempt may tell
WAITED = 0.6  # s for which a request waits unread here, far over that


def told(message: Message) -> int:
    return int(message.headers["x-expires-in-ms"])


def test_a_request_that_waited_to_be_accepted_tells_what_is_left(monkeypatch: pytest.MonkeyPatch) -> None:
    full = False
    monkeypatch.setattr(Descriptors, "callers_full", lambda _: full)

    async def test() -> None:
        nonlocal full
        endpoint = ScriptedEndpoint("e1")
        async with sidecar(endpoint) as rig:
            await all_read(rig)
            full = True
            client = connect_blocking(rig.listen)
            client.sendall(request("read", expires_in=5000, target=LEFT))
            await asyncio.sleep(WAITED)
            full = False
            await wait_until(lambda: len(endpoint.requests) == 2)
            assert told(endpoint.requests[1]) <= 5000 - 1000 * WAITED + TOLD_MORE
            client.close()
            await all_read(rig)
            assert told(endpoint.requests[2]) > EXPIRES_IN - 1000 * WAITED, "it did not wait itself"

    run(test)


def test_a_request_whose_time_was_over_before_it_was_accepted_is_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    full = False
    monkeypatch.setattr(Descriptors, "callers_full", lambda _: full)

    async def test() -> None:
        nonlocal full
        endpoint = ScriptedEndpoint("e1")
        async with sidecar(endpoint) as rig:
            await all_read(rig)
            full = True
            asked = asyncio.create_task(rig.ask(request("read", expires_in=300, target=LEFT)))
            await asyncio.sleep(WAITED)
            full = False
            assert (await asked).status == 503
            await nothing_begins(rig, endpoint)

    run(test)


def test_a_request_that_waited_unread_behind_another_tells_what_is_left() -> None:
    async def test() -> None:
        go = asyncio.Event()
        endpoint = ScriptedEndpoint("e1", answer_with(ok(), after=go))
        async with sidecar(endpoint) as rig:
            client = await rig.connect()
            client.writer.write(request("read") + request("read"))
            await wait_until(lambda: len(endpoint.requests) == 1)
            client.writer.write(request("read", expires_in=5000, target=LEFT))
            await asyncio.sleep(WAITED)
            go.set()
            await wait_until(lambda: len(endpoint.requests) == 3)
            assert told(endpoint.requests[2]) <= 5000 - 1000 * WAITED + TOLD_MORE

    run(test)


# Idle clients fill the descriptors while discovery is down

CROWDED_SOCKETS = 64  # descriptors that the process may hold, and is told that it may
CROWD = 100  # idle clients at once, more than it takes


class Crowd:
    """Clients that connect, say nothing or rest after a request, and come again whenever they are shut."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.shut = 0
        self.tasks = [asyncio.create_task(self._stay(asks=n % 2 == 1)) for n in range(CROWD)]

    async def _stay(self, asks: bool) -> None:
        while True:
            with suppress(OSError):
                reader, writer = await asyncio.open_connection(self.address.host, self.address.port)
                if asks:
                    writer.write(b"GET /ready HTTP/1.1\r\nHost: n1\r\n\r\n")
                while await reader.read(4096):
                    pass
                writer.close()
            self.shut += 1
            await asyncio.sleep(0.05)

    def leave(self) -> None:
        for task in self.tasks:
            task.cancel()


def start_bounded(environ: dict[str, str]) -> subprocess.Popen[str]:
    """A sidecar's process that the kernel gives no more descriptors than it was told of."""
    bound = (CROWDED_SOCKETS, CROWDED_SOCKETS)
    return subprocess.Popen(
        [sys.executable, "-B", "-m", "millgw.sidecar"],
        env=os.environ | environ,
        stderr=subprocess.DEVNULL,
        text=True,
        cwd=Path(__file__).parent.parent,
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, bound),
    )


async def served_within(address: Address, limit: float) -> None:
    """A new client is served in so many s; a connection that is shut unread is made anew meanwhile."""
    async with asyncio.timeout(limit):
        while True:
            with suppress(OSError):
                reader, writer = await asyncio.open_connection(address.host, address.port)
                writer.write(request("read"))
                answer = await reader.readline()
                writer.close()
                if answer.startswith(b"HTTP/1.1 200"):
                    return
            await asyncio.sleep(0.02)


def test_a_crowd_of_idle_clients_keeps_it_from_neither_discovery_nor_endpoints_nor_new_clients(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        old, new, discovery = ScriptedEndpoint("e1"), ScriptedEndpoint("e2"), ScriptedDiscoveryServer()
        await old.start()
        await new.start()
        listen = free_address()
        known = {"index": 1, "snapshot": True, "endpoints": [old.entry()]}
        data: dict[str, Any] = GOOD | {
            "listen": str(listen), "known": known, "discovery": str(discovery.address),
            "limits": {"sockets": CROWDED_SOCKETS},
        }  # fmt: skip
        process = start_bounded(write_config(tmp_path, data))
        try:
            await served_within(listen, READY_WITHIN)
            crowd = Crowd(listen)
            await wait_until(lambda: crowd.shut > CROWD // 4)  # it holds what it can, and shuts others
            await served_within(listen, 5.0)
            await discovery.start()
            async with asyncio.timeout(10.0):
                _, watch = await discovery.calls.get()
            watch.write(CHUNKED_HEAD + encode_chunk(encode_line(2, [old.entry("terminating"), new.entry()])))
            await asyncio.sleep(0.6)
            before = len(old.requests)
            await served_within(listen, 5.0)
            assert new.requests and len(old.requests) == before
            crowd.leave()
        finally:
            process.kill()
            process.wait()

    run(test)


# Nine in ten restarted processes are ready in time

RESTARTS = 10
AT_ONCE = 2  # processes that start side by side


async def ready_within(address: Address, limit: float) -> bool:
    with suppress(TimeoutError):
        async with asyncio.timeout(limit):
            while True:
                with suppress(OSError):
                    reader, writer = await asyncio.open_connection(address.host, address.port)
                    writer.write(b"GET /ready HTTP/1.1\r\nHost: n1\r\nConnection: close\r\n\r\n")
                    said = await reader.readline()
                    writer.close()
                    if said.startswith(b"HTTP/1.1 200"):
                        return True
                await asyncio.sleep(0.02)
    return False


@pytest.mark.parametrize("discovery", ["down", "silent"])
def test_nine_in_ten_restarted_processes_are_ready_in_time_without_discovery(
    discovery: str, tmp_path: Path
) -> None:
    """They have the list that was known before; each wave is killed once it was waited for."""
    known = {"index": 1, "snapshot": True, "endpoints": [ScriptedEndpoint("e1").entry()]}
    in_time = 0

    async def wave() -> None:
        nonlocal in_time
        server, started = ScriptedDiscoveryServer(), []
        if discovery == "silent":
            await server.start()
        for _ in range(AT_ONCE):
            listen = free_address()
            data = GOOD | {"known": known, "discovery": str(server.address), "listen": str(listen)}
            folder = tmp_path / str(listen.port)
            folder.mkdir()
            started.append((listen, start_sidecar(write_config(folder, data))))
        in_time += sum(await asyncio.gather(*(ready_within(at, READY_WITHIN) for at, _ in started)))
        for _, process in started:
            process.kill()
            process.communicate()

    for _ in range(RESTARTS // AT_ONCE):
        run(wave)
    assert in_time >= 0.9 * RESTARTS
