"""Crossings, forced on real sockets: what comes at the one moment at which it used to be lost.

Each names what crosses what; `docs/design/crossings.md` lists them all. Nothing here hopes for a moment: the
stand-ins act at a named point, and a loopback socket delivers at once what is written or closed.
"""

from __future__ import annotations

import asyncio
import os
import select
import signal
import socket
import struct
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

import pytest

from millgw.callers.connection import CallerConnection
from millgw.callers.lifecycle import Lifecycle
from millgw.callers.server import CONNECT_GRACE, MIN_IDLE, Server
from millgw.endpoints.attempt import Attempt
from millgw.endpoints.upstream import Upstream
from millgw.http.message import REFUSED, Answer, Content
from millgw.http.request import Head
from millgw.interface import Condition, ListKind, Outcome, Repeat
from millgw.log import events
from millgw.platform import discovery as discovery_module
from millgw.platform.config import Address
from millgw.platform.descriptors import Descriptors
from millgw.platform.discovery import Discovery, Listed, endpoint_id
from millgw.policy import freshness
from millgw.settings import to_settings
from millgw.sidecar import __main__ as main_module
from millgw.standins.address import free_address
from millgw.standins.http import NEVER_RAN, Message, ServerConnection, ok, status
from millgw.standins.scripted import (
    STREAM,
    ScriptedDiscoveryServer,
    ScriptedEndpoint,
    answering,
    chunk,
    line,
    silent,
)
from tests.rig import SETTINGS, request, run, services, sidecar, until

NO_LINGER = struct.pack("ii", 1, 0)
RETRIED = 0.6  # s in which the module's longest wait between two attempts here (0.25 s) is over


def raw(address: Address) -> socket.socket:
    """A caller's connection whose writes and end take effect when they are called."""
    return socket.create_connection((address.host, address.port), 10.0)


def write_now(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Write past the loop: it is in the other side's kernel when this returns."""
    assert os.write(writer.transport.get_extra_info("socket").fileno(), data) == len(data)


class Watched:
    """A watch on a discovery, and what was heard by it."""

    def __init__(self, discovery_server: ScriptedDiscoveryServer) -> None:
        self.heard: list[tuple[ListKind, tuple[Listed, ...]]] = []
        self.discovery = Discovery(discovery_server.address, ("a",), lambda *heard: self.heard.append(heard))

    def drained(self) -> set[int]:
        return {
            entry.endpoint.id
            for _, entries in self.heard
            for entry in entries
            if entry.endpoint.condition is not Condition.READY
        }


@contextmanager
def watched(discovery_server: ScriptedDiscoveryServer) -> Iterator[Watched]:
    made = Watched(discovery_server)
    made.discovery.subscribe()
    try:
        yield made
    finally:
        made.discovery.stop()


class Lossy:
    """An address at which handshakes are lost until `heal`: the kernel drops them while its queue is full.

    The other side's kernel makes each lost one again after a second.
    """

    def __init__(self) -> None:
        self.socket = socket.create_server(("127.0.0.1", 0))
        self.socket.setblocking(False)
        self.address = Address(*self.socket.getsockname())
        self.accepted: list[socket.socket] = []
        self.lose()

    def lose(self) -> None:
        """There is no room: what comes from now on is lost."""
        self.socket.listen(0)
        self.filling = [socket.socket(socket.AF_INET, socket.SOCK_STREAM) for _ in range(3)]
        for one in self.filling:
            one.setblocking(False)
            one.connect_ex(self.socket.getsockname())

    def heal(self) -> None:
        """There is room: what comes from now on is taken."""
        for one in self.filling:
            one.close()
        with suppress(BlockingIOError):
            while True:
                self.socket.accept()[0].close()
        self.socket.listen(64)

    async def accept(self) -> socket.socket:
        """The next connection that comes up."""
        connection, _ = await asyncio.get_running_loop().sock_accept(self.socket)
        self.accepted.append(connection)
        return connection

    async def read(self, connection: socket.socket, least: int = 1 << 30) -> bytes:
        """What comes on it, so many bytes or to its end."""
        read = b""
        while len(read) < least and (part := await asyncio.get_running_loop().sock_recv(connection, 65536)):
            read += part
        return read

    async def serve(self, connection: socket.socket) -> None:
        """Answer its next request."""
        await self.read(connection, 1)
        await asyncio.get_running_loop().sock_sendall(connection, ok())


@contextmanager
def lossy() -> Iterator[Lossy]:
    made = Lossy()
    try:
        yield made
    finally:
        for one in (*made.filling, *made.accepted, made.socket):
            one.close()


E1, E2 = ScriptedEndpoint("e1"), ScriptedEndpoint("e2")
DRAIN = line(2, [E1.entry("terminating")])


# The list


@pytest.mark.parametrize("written", [chunk(DRAIN), chunk(DRAIN[:-3])], ids=["whole", "torn"])
@pytest.mark.parametrize("then", ["moved", "asked again"])
def test_a_drain_that_waits_in_the_socket_when_its_watch_is_given_up_is_taken(
    written: bytes, then: str
) -> None:
    async def test() -> None:
        discovery_server, other = ScriptedDiscoveryServer(), ScriptedDiscoveryServer()
        await discovery_server.start()
        await other.start()
        with watched(discovery_server) as made:
            _, writer = await discovery_server.calls.get()
            write_now(writer, STREAM + chunk(line(1, [E1.entry()])) if then == "moved" else STREAM)
            if then == "moved":
                await until(lambda: bool(made.heard))
            write_now(writer, written)
            if then == "moved":
                made.discovery.move(other.address)
                made.discovery.left[0].leave()  # as when it is let go of for good
            else:
                await until(lambda: made.discovery.watch is not None and bool(made.discovery.watch.transport))
                made.discovery.subscribe()
            assert made.drained() == {endpoint_id("e1")}
            assert [kind for kind, entries in made.heard if entries][-1] is ListKind.PARTIAL

    run(test)


def test_a_watch_that_is_moved_from_is_read_until_it_ends() -> None:
    async def test() -> None:
        discovery_server, other = ScriptedDiscoveryServer(), ScriptedDiscoveryServer()
        await discovery_server.start()
        await other.start()
        with watched(discovery_server) as made:
            _, writer = await discovery_server.calls.get()
            writer.write(STREAM + chunk(line(1, [E1.entry(), E2.entry()])))
            await until(lambda: bool(made.heard))
            made.discovery.move(other.address)
            call, later = await other.calls.get()
            assert call.first.split()[1].endswith("from=1")
            writer.write(chunk(DRAIN))
            await until(lambda: bool(made.drained()))
            assert made.discovery.index == 1, "what the new one has to tell is still asked for"
            writer.write(chunk(line(3, [E2.entry("terminated")])[:-3]))
            await writer.drain()
            writer.transport.close()
            await until(lambda: len(made.drained()) == 2)
            later.write(STREAM + chunk(line(4, [E1.entry()])))
            await until(lambda: made.discovery.index == 4)
            assert not made.discovery.left
            assert ListKind.FAILED not in [kind for kind, _ in made.heard], "it was moved from, not lost"

    run(test)


@pytest.mark.parametrize("index", [1, 2])
@pytest.mark.parametrize("spoken", [False, True], ids=["not answered yet", "answered"])
def test_an_answer_that_is_under_way_when_discovery_moves_tells_of_drains_by_what_it_leaves_out(
    spoken: bool, index: int
) -> None:
    """It comes in pieces, and counts as told when it is written; the next discovery may answer much later."""

    async def test() -> None:
        discovery_server, other = ScriptedDiscoveryServer(), ScriptedDiscoveryServer()
        await discovery_server.start()
        await other.start()
        with watched(discovery_server) as made:
            known = {"index": 1, "endpoints": [E1.entry(), E2.entry()]}
            made.discovery.start(known)
            _, writer = await discovery_server.calls.get()
            if spoken:
                writer.write(STREAM + chunk(line(1, [])))
                await until(lambda: len(made.heard) > 1)
            whole = chunk(line(index, [E2.entry()], snapshot=True))
            writer.write(whole[:40] if spoken else STREAM + whole[:40])
            await until(lambda: made.discovery.watch is not None and bool(made.discovery.watch.transport))
            made.discovery.move(other.address)
            assert made.heard[-1] == (ListKind.MOVED, ())
            writer.write(whole[40:])
            await until(lambda: made.drained() == {endpoint_id("e1")})
            assert [kind for kind, _ in made.heard][-1] is ListKind.PARTIAL, "no sign that a watch is on"
            assert made.discovery.index == 1

    run(test)


def test_a_list_that_is_older_than_what_is_known_leaves_nobody_out() -> None:
    async def test() -> None:
        discovery_server, other = ScriptedDiscoveryServer(), ScriptedDiscoveryServer()
        await discovery_server.start()
        await other.start()
        with watched(discovery_server) as made:
            _, writer = await discovery_server.calls.get()
            made.discovery.move(other.address)
            _, later = await other.calls.get()
            later.write(STREAM + chunk(line(5, [E1.entry(), E2.entry()], snapshot=True)))
            await until(lambda: made.discovery.index == 5)
            writer.write(STREAM + chunk(line(4, [E2.entry()], snapshot=True)) + chunk(b"\n"))
            writer.write(chunk(line(4, [E2.entry("terminating")])))
            await until(lambda: bool(made.drained()))
            assert made.drained() == {endpoint_id("e2")}, "which says so of itself"

    run(test)


@pytest.mark.parametrize("torn", [False, True])
def test_an_older_list_does_not_bring_back_an_endpoint_whose_drain_was_read_ahead_of_it(torn: bool) -> None:
    """Discovery moved to one that is behind; the drain was read on the watch before, whole or torn."""

    async def test() -> None:
        discovery_server, other = ScriptedDiscoveryServer(), ScriptedDiscoveryServer()
        await discovery_server.start()
        await other.start()
        with watched(discovery_server) as made:
            _, writer = await discovery_server.calls.get()
            writer.write(STREAM + chunk(line(2, [E1.entry(), E2.entry()])))
            await until(lambda: bool(made.heard))
            made.discovery.move(other.address)
            _, later = await other.calls.get()
            drain = line(3, [E1.entry("terminating")])
            writer.write(chunk(drain[:-3] if torn else drain))
            if torn:
                writer.transport.close()
            await until(lambda: made.drained() == {endpoint_id("e1")})
            later.write(STREAM + chunk(line(2, [E1.entry(), E2.entry()], snapshot=True)))
            await until(lambda: made.heard[-1][0] is ListKind.FULL)
            assert [e.endpoint.id for e in made.heard[-1][1]] == [endpoint_id("e2")]
            later.write(chunk(line(4, [E1.entry()])))
            await until(lambda: made.heard[-1][0] is ListKind.DELTA and bool(made.heard[-1][1]))
            assert [e.endpoint.id for e in made.heard[-1][1]] == [endpoint_id("e1")], "it serves again"

    run(test)


def test_many_moves_in_a_row_leave_few_watches_open() -> None:
    async def test() -> None:
        servers = [ScriptedDiscoveryServer() for _ in range(8)]
        for server in servers:
            await server.start()
        with watched(servers[0]) as made:
            for server in [*servers[1:], servers[0]]:
                await until(lambda: made.discovery.watch is not None and bool(made.discovery.watch.transport))
                made.discovery.move(server.address)
            assert len(made.discovery.left) == discovery_module.MOST_LEFT

    run(test)


def test_a_heartbeat_is_told_once_the_list_has_come() -> None:
    """Otherwise a quiet watch would look as if it had been silent since its last change."""

    async def test() -> None:
        discovery_server = ScriptedDiscoveryServer()
        await discovery_server.start()
        with watched(discovery_server) as made:
            _, writer = await discovery_server.calls.get()
            writer.write(STREAM + chunk(b"\n") + chunk(line(1, [E1.entry()])) + chunk(b"\n"))
            await until(lambda: len(made.heard) == 2)
            assert made.heard[1] == (ListKind.DELTA, ())

    run(test)


def test_what_came_while_the_process_stood_still_is_read_before_silence_is_told(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A timer that is due and bytes that have come: the loop reads before it looks at its timers."""
    monkeypatch.setattr(discovery_module, "SILENCE", 0.2)

    async def test() -> None:
        discovery_server = ScriptedDiscoveryServer()
        await discovery_server.start()
        with watched(discovery_server) as made:
            _, writer = await discovery_server.calls.get()
            writer.write(STREAM + chunk(line(1, [E1.entry()])))
            await until(lambda: bool(made.heard))
            write_now(writer, chunk(DRAIN))
            time.sleep(0.3)
            await until(lambda: len(made.heard) > 1)
            assert made.heard[1][0] is ListKind.DELTA and made.drained()
            write_now(writer, chunk(b"half a line"))
            time.sleep(0.3)
            await until(lambda: made.heard[-1][0] is ListKind.SILENT)  # bytes alone are no line

    run(test)


def test_an_agent_that_lists_are_pushed_to_is_asked_again_without_a_wait() -> None:
    """It is silent while discovery is down; what it has, and what it gets then, counts as told at once."""
    pushed = to_settings(SETTINGS | {"registryMode": "pushed"})

    async def test() -> None:
        one = ScriptedEndpoint("e1")
        async with sidecar(one, settings=pushed) as rig:
            async with asyncio.timeout(discovery_module.FIRST_LINE):
                for _ in range(4):  # each of them silent
                    _, writer = await rig.discovery.calls.get()
            writer.write(STREAM + chunk(line(1, [one.entry()])))
            await writer.drain()
            async with asyncio.timeout(5 * freshness.RETRY / 1000):  # shorter than five waits for a service
                for index in range(5):
                    await asyncio.sleep(0)
                    writer.transport.abort()
                    _, writer = await rig.discovery.calls.get()
                    writer.write(STREAM + chunk(line(2 + index, [one.entry()])))
                    await writer.drain()

    run(test)


# Callers that leave


def leave(client: socket.socket, how: str) -> None:
    if how == "half":
        client.shutdown(socket.SHUT_WR)
        return
    if how == "reset":
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    client.close()


@pytest.mark.parametrize("how", ["close", "reset", "half"])
@pytest.mark.parametrize("behind", [b"", request("pay")], ids=["nothing behind", "a request behind"])
def test_nothing_more_is_sent_for_a_caller_that_left_while_its_request_waited(
    how: str, behind: bytes
) -> None:
    """With bytes behind its request the connection is not read, so its end comes to nobody's notice."""

    async def test() -> None:
        client: socket.socket

        async def turn_away(_: Message, __: ScriptedEndpoint) -> bytes:
            leave(client, how)
            return status(503, NEVER_RAN)

        endpoint, other = ScriptedEndpoint("e1", turn_away), ScriptedEndpoint("e2", turn_away)
        async with sidecar(endpoint, other) as rig:
            client = raw(rig.listen)
            client.sendall(request("pay") + behind)
            await until(lambda: bool(endpoint.got or other.got))
            await asyncio.sleep(RETRIED)
            assert len(endpoint.got) + len(other.got) == 1
            client.close()

    run(test)


def test_the_same_where_several_services_take_turns(tmp_path: Path) -> None:
    async def test() -> None:
        client: socket.socket

        async def turn_away(_: Message, __: ScriptedEndpoint) -> bytes:
            client.close()
            return status(503, NEVER_RAN)

        endpoint, other = ScriptedEndpoint("e1", turn_away), ScriptedEndpoint("e2", turn_away)
        for each in (endpoint, other):
            await each.start()
        listed = "".join(
            f'[[services.s.endpoints]]\nname = "{each.name}"\naddress = "{each.address}"\n'
            for each in (endpoint, other)
        )
        async with services(tmp_path, f'[services.s]\n{listed}[[routes]]\nto = "s"\n') as rig:
            client = raw(rig.listen)
            client.sendall(request("pay") + request("pay"))
            await until(lambda: bool(endpoint.got or other.got))
            await asyncio.sleep(RETRIED)
            assert len(endpoint.got) + len(other.got) == 1

    run(test)


@pytest.mark.parametrize("how", ["close", "reset", "half"])
def test_a_request_behind_another_is_not_taken_for_a_caller_that_left(how: str) -> None:
    async def test() -> None:
        go = asyncio.Event()
        endpoint = ScriptedEndpoint("e1", answering(ok(), after=go))
        async with sidecar(endpoint) as rig:
            client = raw(rig.listen)
            client.sendall(request("pay") + request("read"))
            await until(lambda: len(endpoint.got) == 1)
            leave(client, how)
            go.set()
            assert (await rig.ask(request("read"))).status == 200
            assert len(endpoint.got) == 2, "the first and the other caller's"
            client.close()

    run(test)


def test_an_attempt_is_given_up_when_a_caller_leaves_whose_connection_is_not_read() -> None:
    """And the endpoint is not called ill for it: it serves the next call at once."""

    async def test() -> None:
        endpoint = ScriptedEndpoint("e1", silent)
        async with sidecar(endpoint) as rig:
            for number in range(1, 4):
                client = raw(rig.listen)
                client.sendall(request("pay") + request("pay"))
                await until(lambda number=number: len(endpoint.got) == number)  # type: ignore[misc]
                client.close()
                await until(lambda number=number: endpoint.lost_connections == number)  # type: ignore[misc]
            endpoint.script = answering(ok())
            assert (await rig.ask(request("pay", patience=1500))).status == 200

    run(test)


def test_a_body_that_nobody_takes_is_given_up_when_its_caller_leaves() -> None:
    async def test() -> None:
        endpoint = ScriptedEndpoint("e1", silent)
        async with sidecar(endpoint) as rig:
            first = asyncio.Event()

            def stop_reading(connection: ServerConnection) -> bool:
                assert connection.transport is not None
                connection.transport.pause_reading()
                first.set()
                return True

            endpoint.bytes_came = stop_reading  # type: ignore[method-assign]
            client = raw(rig.listen)
            client.setblocking(False)
            client.send(request("pay", Content_Length="30000000", X_Trace_Id="aa"))
            await first.wait()
            idle = 0
            while idle < 20:  # until nobody takes more: the sidecar reads no further then
                try:
                    client.send(bytes(65536))
                    idle = 0
                except BlockingIOError:
                    idle += 1
                await asyncio.sleep(0.01)
            again = request("read", X_Trace_Id="aa", patience=200)
            assert (await rig.ask(again)).status == 409, "its call is open"
            leave(client, "reset")
            while (await rig.ask(again)).status == 409:
                pass
            assert not [m for m in endpoint.got if m.first.startswith("POST")]

    run(test)


class Queue:
    """Lanes whose turn comes when the test says so."""

    def __init__(self) -> None:
        self.waiting: list[CallerConnection] = []

    def wait(self, lane: str, connection: CallerConnection) -> None:
        self.waiting.append(connection)


class Taken:
    """A front that notes what it is asked to take."""

    def __init__(self) -> None:
        self.heads: list[Head] = []

    def gate(self, head: Head) -> None:
        pass

    def read(self, head: Head, answer: Callable[[Answer], None]) -> Answer:
        self.heads.append(head)
        return Answer(REFUSED)


@pytest.mark.parametrize("how", ["end", "reset", "stays"])
def test_a_request_in_its_lane_s_queue_is_not_taken_for_a_caller_that_left(how: str) -> None:
    async def test() -> None:
        front, lanes, address = Taken(), Queue(), free_address()
        server = Server(address, Descriptors(64), front, Lifecycle(), lanes)
        server.start()
        client = raw(address)
        client.sendall(request("pay"))
        await until(lambda: bool(lanes.waiting))
        (connection,) = lanes.waiting
        if how != "stays":
            if how == "reset":
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            client.close()
            await until(lambda: not server.connections)
        connection.turn()
        assert len(front.heads) == (1 if how == "stays" else 0)
        client.close()
        server.stop()

    run(test)


@pytest.mark.parametrize("why", ["idle", "silent", "gives-way"])
def test_a_caller_sees_the_end_of_an_idle_connection_before_the_loop_turns_again(why: str) -> None:
    """Otherwise what it writes before that turn, of a process that is held up, is reset with no answer."""

    async def test() -> None:
        front, address = Taken(), free_address()
        server = Server(address, Descriptors(64), front, Lifecycle())
        server.start()
        client = raw(address)
        if why == "idle":
            client.sendall(request())
            await until(lambda: bool(front.heads))
        await until(lambda: bool(server.kept if why == "idle" else server.fresh))
        await asyncio.sleep(max(CONNECT_GRACE, MIN_IDLE) + 0.01)
        if why == "gives-way":
            assert server.give_way()
        else:
            server.close_idle()
        watcher = select.poll()  # the loop does not turn from here on
        watcher.register(client, select.POLLRDHUP)
        assert watcher.poll(0), "the caller may still write a request that nobody will read"
        client.close()
        server.stop()

    run(test)


# The end of the process


def at_the_end(monkeypatch: pytest.MonkeyPatch, act: Callable[[], None]) -> None:
    """Act when the time is over; nothing is read from then on until all that is owed has been answered."""
    monkeypatch.setattr(main_module, "LONGEST", 0.1)
    log_event = events.log_event

    def and_act(event: str, **fields: object) -> None:
        log_event(event, **fields)
        if event == "ended-unserved":
            act()

    monkeypatch.setattr(main_module, "log_event", and_act)


def test_what_crosses_the_end_is_answered_and_not_sent_on(monkeypatch: pytest.MonkeyPatch) -> None:
    """The last byte of one request, and another whole one: both callers have connected in time."""

    async def test() -> None:
        endpoint = ScriptedEndpoint("e1")
        whole = request("pay", b"body")
        clients: list[socket.socket] = []

        def act() -> None:
            clients[0].sendall(whole[-1:])
            clients[1].sendall(request("pay"))

        at_the_end(monkeypatch, act)
        monkeypatch.setattr(Lifecycle, "closes_idle", lambda *_: False)
        async with sidecar(endpoint) as rig:
            clients.append(raw(rig.listen))
            clients[0].sendall(whole[:-1])
            clients.append(raw(rig.listen))
            await asyncio.sleep(0.05)
            os.kill(os.getpid(), signal.SIGTERM)
            await rig.task
            for client in clients:
                client.settimeout(0.0)
                assert client.recv(4096).startswith(b"HTTP/1.1 503")
            assert not [m for m in endpoint.got if m.first.startswith("POST")]
        for client in clients:
            client.close()

    run(test)


def test_sigterm_before_there_is_a_handler_ends_it_in_order(tmp_path: Path) -> None:
    """While the configuration is read: the process serves, is told to end, and ends with 0."""
    code = (
        "import os, signal, sys\n"
        "from millgw.sidecar import __main__ as main\n"
        "read = main.read_config\n"
        "def crossed(environ):\n"
        "    os.kill(os.getpid(), signal.SIGHUP)\n"
        "    os.kill(os.getpid(), signal.SIGTERM)\n"
        "    return read(environ)\n"
        "main.read_config = crossed\n"
        "sys.exit(main.main())\n"
    )
    from tests.test_sidecar_process import GOOD, write_config  # the file that any process here is given

    environ = write_config(tmp_path, GOOD | {"listen": str(free_address())})
    done = subprocess.run(
        [sys.executable, "-c", code], env=os.environ | environ, capture_output=True, text=True, timeout=60
    )
    assert done.returncode == 0, done.stderr


def test_a_connection_that_waits_at_the_bound_when_it_stops_listening_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(main_module, "LONGEST", 2.0)

    async def test() -> None:
        endpoint = ScriptedEndpoint("e1")
        async with sidecar(endpoint) as rig:
            monkeypatch.setattr(Descriptors, "full_of_callers", lambda _: True)
            client = raw(rig.listen)
            client.setblocking(False)
            client.send(request("pay"))
            os.kill(os.getpid(), signal.SIGTERM)
            await rig.task
            assert client.recv(4096).startswith((b"HTTP/1.1 200", b"HTTP/1.1 503"))
            client.close()

    run(test)


# Connections to endpoints


class NoRoom:
    endpoints: Callable[[], int] = int

    def full(self) -> bool:
        return False

    def make(self) -> bool:
        return False


def pool_of(endpoint: ScriptedEndpoint) -> tuple[Upstream, list[Outcome], Callable[[Outcome, Content], None]]:
    """Connections to one endpoint, the outcomes of attempts there, and what takes them."""
    upstream = Upstream(NoRoom(), 5000.0, 60_000.0, 2.0**26)
    upstream.point(1, endpoint.address)
    ended: list[Outcome] = []
    return upstream, ended, lambda outcome, _: ended.append(outcome)


class Strays(ScriptedEndpoint):
    """Answers once more when a request has come on a kept connection, all but its last byte."""

    strays = 1

    def bytes_came(self, connection: ServerConnection) -> bool:
        asyncio.get_running_loop().call_soon(self._stray, connection)
        return True

    def _stray(self, connection: ServerConnection) -> None:
        if not self.strays or connection.closed or not connection.requests or connection.message is None:
            return
        assert connection.transport is not None
        if not select.select([connection.transport.get_extra_info("socket").fileno()], [], [], 0)[0]:
            self.strays -= 1  # the last byte has not been written
            connection.write(ok(b"stray"))


@pytest.mark.parametrize("cls", ["write", "pay"])
def test_a_second_answer_that_crosses_the_next_request_is_not_taken_for_its_own(cls: str) -> None:
    async def test() -> None:
        endpoint = Strays("e1")
        async with sidecar(endpoint) as rig:
            client = await rig.connect()
            for _ in range(50):
                answer = await client.ask(request(cls, b"body"))
                assert answer.status == 200 and answer.body == b"done", answer
        assert endpoint.strays == 0, "the last byte never went by itself"
        assert endpoint.connections == 2 and len(endpoint.got) == 50

    run(test)


def test_once_an_endpoint_was_seen_to_answer_twice_the_pool_expects_it() -> None:
    async def test() -> None:
        endpoint = ScriptedEndpoint("e1")
        await endpoint.start()
        upstream, ended, end = pool_of(endpoint)
        upstream.send(1, Attempt(lambda: request("read"), end, Repeat.SAFE))
        await until(lambda: bool(ended))
        assert upstream.strays_until == 0.0
        endpoint.served[0].write(ok(b"stray"))
        await until(lambda: endpoint.lost_connections == 1)
        assert upstream.strays_until > time.monotonic() * 1000
        upstream.stop()

    run(test)


def test_a_200_that_comes_before_the_request_is_whole_is_not_its_answer() -> None:
    async def test() -> None:
        endpoint = ScriptedEndpoint("e1", silent)

        def answer_early(connection: ServerConnection) -> bool:
            if connection.message is not None and connection.message.body:
                connection.write(ok(b"early"))
            return True

        endpoint.bytes_came = answer_early  # type: ignore[method-assign]
        async with sidecar(endpoint) as rig:
            client = await rig.connect()
            answer = await client.ask(request("pay", bytes(200_000), Content_Length="1000000"))
            assert answer.status == 502, "no endpoint begins a request before its last byte"

    run(test)


def test_an_answer_that_never_ends_is_over_when_its_callers_time_is() -> None:
    async def test() -> None:
        dripping: list[asyncio.Task[None]] = []

        async def drip(_: Message, endpoint: ScriptedEndpoint) -> bytes:
            async def go_on() -> None:
                while True:
                    endpoint.served[-1].write(chunk(b"more"))
                    await asyncio.sleep(0.02)

            dripping.append(asyncio.create_task(go_on()))
            return STREAM

        endpoint = ScriptedEndpoint("e1", drip)
        async with sidecar(endpoint) as rig:
            client = await rig.connect()
            client.writer.write(request("pay", patience=1500))
            got = await client.reader.read()  # to the end of the connection
            assert got.startswith(b"HTTP/1.1 200") and not got.endswith(b"0\r\n\r\n"), "it shows as not whole"
            await until(lambda: endpoint.lost_connections == 1)
        dripping[0].cancel()

    run(test)


class SlowMark:
    """An intent whose mark is durable when the test says so."""

    def __init__(self) -> None:
        self.known: bool | None = None
        self.then: Callable[[], None] | None = None
        self.left = False

    def begin(self) -> None:
        pass

    def durable(self) -> bool | None:
        return self.known

    def wait(self, then: Callable[[], None]) -> None:
        self.then = then

    def leaves(self, token: object) -> None:
        self.left = True


@pytest.mark.parametrize("what", ["drains", "left"])
def test_what_comes_while_a_mark_is_written_ends_the_attempt_unsent(what: str) -> None:
    """The endpoint drains, or the caller leaves."""

    async def test() -> None:
        endpoint, mark = ScriptedEndpoint("e1"), SlowMark()
        await endpoint.start()
        upstream, ended, end = pool_of(endpoint)
        attempt = Attempt(lambda: request("pay"), end, Repeat.UNSAFE, intent=mark)
        upstream.send(1, attempt)
        await until(lambda: mark.then is not None)
        if what == "left":
            assert not attempt.give_up(), "it has not run"
        else:
            host = upstream.forget(1)
            assert host is not None
            upstream.close(host)
        mark.known = True
        assert mark.then is not None
        mark.then()
        assert ended == ([] if what == "left" else [Outcome.CONNECT_FAILED]) and not mark.left
        await until(lambda: endpoint.lost_connections == 1)
        assert not endpoint.got
        upstream.stop()

    run(test)


# Connections that come up late

# ms for connecting here: a second connection is tried after a fifth of it, a lost handshake after 1 s
ENDS, LASTS = 500.0, 1500.0


def at_lossy(late: Lossy, connecting: float = LASTS) -> tuple[Upstream, list[Outcome], Attempt]:
    """Connections to it, an attempt under way there, and its outcome."""
    upstream = Upstream(NoRoom(), connecting, 60_000.0, 2.0**26)
    upstream.point(1, late.address)
    ended: list[Outcome] = []
    attempt = Attempt(lambda: request("read"), lambda outcome, _: ended.append(outcome), Repeat.SAFE)
    upstream.send(1, attempt)
    return upstream, ended, attempt


def test_an_attempt_goes_on_a_second_connection_where_the_first_is_late() -> None:
    async def test() -> None:
        with lossy() as late:
            upstream, ended, attempt = at_lossy(late)
            (first,) = attempt.dials
            await asyncio.sleep(0.1)  # lost by now
            late.heal()
            connection = await late.accept()
            assert first in attempt.dials and len(attempt.dials) <= 2 and not first.done()
            second = asyncio.create_task(late.accept())  # the first, made again: it is for the next attempt
            await late.read(connection, 1)
            await second
            await until(lambda: bool(upstream.hosts[1].idle) and not attempt.dials)
            assert upstream.open == 2 and not ended
            await asyncio.get_running_loop().sock_sendall(connection, ok())
            await until(lambda: bool(ended))
            assert ended == [Outcome.OK] and len(upstream.hosts[1].idle) == 2
            upstream.stop()

    run(test)


def test_an_attempt_that_waits_for_a_connection_takes_one_that_is_given_back() -> None:
    async def test() -> None:
        with lossy() as late:
            late.heal()
            upstream, ended, _ = at_lossy(late)
            busy = await late.accept()
            await late.read(busy, 1)
            late.lose()
            waiting = Attempt(lambda: request("read"), lambda outcome, _: ended.append(outcome), Repeat.SAFE)
            upstream.send(1, waiting)
            await asyncio.sleep(0.05)
            assert waiting.dials and waiting in upstream.hosts[1].connecting
            await asyncio.get_running_loop().sock_sendall(busy, ok())
            await late.serve(busy)
            await until(lambda: len(ended) == 2)
            assert ended == [Outcome.OK] * 2
            upstream.stop()

    run(test)


@pytest.mark.parametrize("what", ["drains", "given up", "nothing comes up"])
def test_both_connections_of_an_attempt_end_with_it(what: str) -> None:
    async def test() -> None:
        with lossy() as late:
            upstream, ended, attempt = at_lossy(late, ENDS)
            await until(lambda: len(attempt.dials) == 2)
            host, dials = upstream.hosts[1], attempt.dials
            if what == "drains":
                upstream.forget(1)
                upstream.close(host)
            elif what == "given up":
                assert not attempt.give_up(), "it has not run"
            await until(lambda: not upstream.tasks)
            assert ended == ([] if what == "given up" else [Outcome.CONNECT_FAILED])
            assert not attempt.dials and not host.connecting and upstream.open == 0
            assert {dial.cancelled() for dial in dials} == {what != "nothing comes up"}
            late.heal()
            await asyncio.sleep(0.05)
            assert upstream.open == 0
            upstream.stop()

    run(test)


# Repeats


@pytest.mark.parametrize("when", ["connecting", "held back", "its mark is written"])
def test_a_repeat_whose_window_ends_before_its_last_byte_leaves_is_not_sent(when: str) -> None:
    async def test() -> None:
        endpoint, mark = ScriptedEndpoint("e1"), SlowMark()
        await endpoint.start()
        upstream, ended, end = pool_of(endpoint)
        intent = mark if when == "its mark is written" else None

        def payload() -> bytes:
            if when == "held back":
                attempt.until = 0.0
            return request("write")

        attempt = Attempt(payload, end, Repeat.KEYED, intent=intent)
        upstream.send(1, attempt)
        if when == "connecting":
            attempt.until = 0.0
        if intent is not None:
            await until(lambda: mark.then is not None)
            attempt.until = 0.0
            mark.known = True
            assert mark.then is not None
            mark.then()
        await until(lambda: bool(ended))
        assert ended == [Outcome.NOT_SENT] and not mark.left
        await until(lambda: endpoint.lost_connections == 1)
        assert not endpoint.got
        upstream.stop()

    run(test)


def test_a_keyed_call_is_not_repeated_on_a_connection_that_comes_up_after_its_window() -> None:
    """The decision falls into the window, the handshake ends after it: its first try is lost for a second."""
    classes = [c | {"repeatWindow": 900.0} for c in SETTINGS["classes"]]

    async def test() -> None:
        watch: list[asyncio.StreamWriter] = []
        with lossy() as late:
            moved = ScriptedEndpoint("e2", address=late.address)

            async def reset(_: Message, endpoint: ScriptedEndpoint) -> None:
                watch[0].write(STREAM + chunk(line(2, [endpoint.entry("terminating"), moved.entry()])))
                await watch[0].drain()

            first = ScriptedEndpoint("e1", reset)
            async with sidecar(first, settings=to_settings(SETTINGS | {"classes": classes})) as rig:
                watch.append((await rig.discovery.calls.get())[1])
                asked = asyncio.create_task(rig.ask(request("write", b"body")))
                await until(lambda: bool(first.got))
                await asyncio.sleep(RETRIED)  # its handshake is lost by now, and made again after a second
                late.heal()
                read = await late.read(await late.accept())
                assert read == b"", "its window was over"
                assert (await asked).status == 502

    run(test)
