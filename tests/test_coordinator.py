"""The stand-in coordinator: works with an unmodified client, and its faults work as commanded."""

from __future__ import annotations

import asyncio
import itertools
import json
import subprocess
import sys
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial
from typing import Any, TypeVar

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from kazoo.client import KazooClient, KazooState
from kazoo.exceptions import (
    BadVersionError,
    NodeExistsError,
    NoNodeError,
    NotEmptyError,
    NotReadOnlyCallError,
)
from kazoo.retry import KazooRetry

from millgw.membership import jute
from millgw.membership.jute import BadRecord, FrameSplitter, Reader, Stat, read_stat
from millgw.membership.protocol import Code
from millgw.standins.coordinator.command import execute
from millgw.standins.coordinator.ensemble import Ensemble
from millgw.standins.coordinator.tree import OperationError, Tree
from tests.kinds import skip_if_pure

pytestmark = skip_if_pure

T = TypeVar("T")
TIMEOUT = 15.0  # s: timeout of any single step, far above the usual duration


class ThreadedEnsemble:
    """An ensemble on its own event loop in a thread, because the client uses threads of its own."""

    def __init__(self, faces: int) -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.ensemble: Ensemble = self.run(lambda: Ensemble(faces=faces))
        asyncio.run_coroutine_threadsafe(self.ensemble.start(), self.loop).result(TIMEOUT)
        self.clients: list[Any] = []

    def run(self, work: Callable[[], T]) -> T:
        async def call() -> T:
            return work()

        return asyncio.run_coroutine_threadsafe(call(), self.loop).result(TIMEOUT)

    def client(self, timeout: float = 4.0, face: int | None = None) -> Any:
        hosts = self.ensemble.connect_string if face is None else str(self.ensemble.servers[face].address)
        quick = KazooRetry(max_tries=-1, delay=0.02, max_delay=0.1)
        made = KazooClient(hosts=hosts, timeout=timeout, connection_retry=quick, command_retry=quick)
        made.start(TIMEOUT)
        self.clients.append(made)
        return made

    def stop(self) -> None:
        for client in self.clients:
            client.stop()
            client.close()
        asyncio.run_coroutine_threadsafe(self.ensemble.stop(), self.loop).result(TIMEOUT)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(TIMEOUT)
        self.loop.close()


@contextmanager
def threaded_ensemble(faces: int = 1) -> Iterator[ThreadedEnsemble]:
    made = ThreadedEnsemble(faces)
    try:
        yield made
    finally:
        made.stop()


def wait(event: threading.Event) -> None:
    assert event.wait(TIMEOUT)


def wait_until(holds: Callable[[], bool]) -> None:
    tick = threading.Event()
    for _ in range(int(TIMEOUT / 0.01)):
        if holds():
            return
        tick.wait(0.01)
    raise AssertionError("the condition never held")


def test_an_unmodified_client_creates_reads_watches_and_deletes() -> None:
    with threaded_ensemble() as made:
        client = made.client()
        assert client.ensure_path("/services/login") == "/services/login"
        assert client.create("/services/login/a", b"one", ephemeral=True) == "/services/login/a"
        first = client.create("/services/login/n-", b"", ephemeral=True, sequence=True)
        second = client.create("/services/login/n-", b"", ephemeral=True, sequence=True)
        assert first < second and first.startswith("/services/login/n-")
        data, stat = client.get("/services/login/a")
        assert data == b"one" and stat.ephemeralOwner == client.client_id[0] and stat.version == 0
        listed, changed = threading.Event(), threading.Event()
        seen: list[Any] = []

        def watch(then: threading.Event) -> Callable[[Any], None]:
            def on_event(event: Any) -> None:
                seen.append(event)
                then.set()

            return on_event

        client.get_children("/services/login", watch=watch(listed))
        client.get("/services/login/a", watch=watch(changed))
        client.set("/services/login/a", b"two", version=0)
        wait(changed)
        client.delete("/services/login/a")
        wait(listed)
        assert [(e.type, e.path) for e in seen] == [
            ("CHANGED", "/services/login/a"), ("CHILD", "/services/login"),
        ]  # fmt: skip
        cases: tuple[tuple[type[Exception], Callable[[], Any]], ...] = (
            (NoNodeError, lambda: client.get("/nowhere")),
            (NodeExistsError, lambda: client.create("/services")),
            (NotEmptyError, lambda: client.delete("/services")),
            (BadVersionError, lambda: client.set("/services", b"", version=9)),
        )
        for wrong, work in cases:
            with pytest.raises(wrong):
                work()


def test_an_expired_session_takes_its_nodes_and_a_dropped_connection_does_not() -> None:
    with threaded_ensemble() as made:
        owner, other = made.client(), made.client()
        owner.create("/up", ephemeral=True)
        made.run(lambda: made.ensemble.servers[0].drop_connections())
        # A request made while the connection is being dropped fails; callers of the client are to retry it.
        assert other.retry(other.exists, "/up") is not None, "its session lives on"
        assert owner.retry(owner.exists, "/up") is not None
        lost, gone = threading.Event(), threading.Event()
        owner.add_listener(lambda state: lost.set() if state == KazooState.LOST else None)
        other.exists("/up", watch=lambda _: gone.set())
        session = owner.client_id[0]
        made.run(partial(made.ensemble.expire, session))
        wait(lost)
        wait(gone)
        assert other.exists("/up") is None


def test_a_share_of_the_owners_expires_and_a_silent_client_times_out() -> None:
    with threaded_ensemble() as made:
        watcher = made.client()
        watcher.ensure_path("/s")
        for i in range(6):
            made.client().create(f"/s/{i}", ephemeral=True)
        assert made.run(lambda: made.ensemble.expire_owners("/s", 1 / 3)) == 2
        assert len(watcher.get_children("/s")) == 4
        quiet = made.client(timeout=0.3)
        quiet.create("/quiet", ephemeral=True)
        session = quiet.client_id[0]
        made.run(lambda: setattr(made.ensemble.tree.sessions[session], "last_heard", 0.0))
        wait_until(lambda: session not in made.ensemble.tree.sessions)
        assert watcher.exists("/quiet") is None


def test_sessions_move_between_servers_and_a_lagging_server_refuses_a_newer_client() -> None:
    with threaded_ensemble(faces=2) as made:
        behind, ahead = made.ensemble.servers
        made.run(lambda: made.ensemble.put("/s/a", b"1"))
        client = made.client(face=1)
        made.run(lambda: behind.lag(True))
        made.run(lambda: made.ensemble.put("/s/b", b"1"))
        stale = made.client(face=0)
        assert stale.get_children("/s") == ["a"] and client.get_children("/s") == ["a", "b"]
        client.set_hosts(made.ensemble.connect_string)
        made.run(lambda: setattr(ahead.faults, "refusing", True))
        made.run(lambda: ahead.drop_connections())
        wait_until(lambda: behind.counts.connections > 2)
        assert not client.connected, "a server that is behind the client must not accept it"
        made.run(lambda: behind.lag(False))
        wait_until(lambda: bool(client.connected))
        assert (
            client.retry(client.get_children, "/s") == ["a", "b"]
            and client.client_id[0] in made.ensemble.tree.sessions
        )


def test_faults_on_command_freeze_delay_lose_read_only_and_empty() -> None:
    with threaded_ensemble() as made:
        face = made.ensemble.servers[0]
        client = made.client()
        client.ensure_path("/s")
        events: list[str] = []
        client.get_children("/s", watch=lambda event: events.append(event.type))
        made.run(lambda: execute(made.ensemble, ["lose-watches", "0", "1"]))
        made.run(lambda: made.ensemble.put("/s/a"))
        assert (
            client.get_children("/s", watch=lambda event: events.append(event.type)) == ["a"] and not events
        )
        made.run(lambda: made.ensemble.put("/s/b"))
        wait_until(lambda: set(events) == {"CHILD"})
        made.run(lambda: face.freeze(True))
        waiting = client.get_children_async("/s")
        threading.Event().wait(0.1)
        assert not waiting.ready()
        made.run(lambda: face.freeze(False))
        assert waiting.get(timeout=TIMEOUT) == ["a", "b"]
        made.run(lambda: execute(made.ensemble, ["read-only", "0"]))
        with pytest.raises(NotReadOnlyCallError):
            client.create("/refused")
        made.run(lambda: execute(made.ensemble, ["writable", "0"]))
        made.run(lambda: made.ensemble.restart_empty())
        assert made.client().exists("/s") is None
        assert not client.connected, "its last zxid is ahead of the emptied coordinator"


def test_commands_answer_a_line_each_and_name_what_is_wrong() -> None:
    process = subprocess.Popen(
        [sys.executable, "-m", "millgw", "coordinator"],
        stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True,
    )  # fmt: skip
    assert process.stdin is not None and process.stdout is not None
    assert ":" in json.loads(process.stdout.readline())["connect"]

    def send_command(line: str) -> Any:
        assert process.stdin is not None and process.stdout is not None
        print(line, file=process.stdin, flush=True)
        return json.loads(process.stdout.readline())

    assert send_command("put /s/a hello") == {"done": "put"} and send_command("nodes /s") == {"a": 0}
    assert (
        "no such command" in send_command("explode")["error"]
        and "NO_NODE" in send_command("remove /x")["error"]
    )
    assert "IndexError" in send_command("freeze 7")["error"] and send_command("sessions") == {"sessions": []}
    process.stdin.close()
    assert process.wait(TIMEOUT) == 0
    done = subprocess.run(
        [sys.executable, "-m", "millgw", "coordinator", "--listen", "here"], capture_output=True, text=True
    )
    assert done.returncode == 2 and done.stderr.count("\n") == 1 and "'here'" in done.stderr


# Record encoding


@given(st.binary(max_size=200), st.lists(st.integers(0, 250), max_size=4))
@settings(max_examples=200, deadline=None)
def test_arbitrary_frames_and_records_are_parsed_or_rejected(data: bytes, cuts: list[int]) -> None:
    frames, found = FrameSplitter(1000), []
    bounds = [0, *sorted(c for c in cuts if c < len(data)), len(data)]
    try:
        for start, end in itertools.pairwise(bounds):
            found += frames.feed(data[start:end])
    except BadRecord:
        pass
    for payload in [*found, data]:
        for read in (Reader.read_strings, Reader.read_string, Reader.read_long, read_stat):
            try:
                read(Reader(payload))
            except BadRecord:
                continue


def test_impossible_lengths_are_rejected() -> None:
    with pytest.raises(BadRecord):
        FrameSplitter().feed(b"\x7f\xff\xff\xff")
    with pytest.raises(BadRecord):
        FrameSplitter().feed(b"\xff\xff\xff\xff")
    with pytest.raises(BadRecord):
        Reader(jute.write_int(100_000_000)).read_strings()
    stat = Stat(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11)
    assert read_stat(Reader(stat.write())) == stat


NAMES = st.sampled_from(["/a", "/b", "/a/x", "/a/y", "/b/x"])
STEPS = st.lists(
    st.tuples(st.sampled_from(["create", "own", "write", "delete", "end"]), NAMES, st.integers(0, 3)),
    max_size=40,
)  # fmt: skip


@given(STEPS)
@settings(max_examples=150, deadline=None)
def test_the_tree_s_invariants_hold(steps: list[tuple[str, str, int]]) -> None:
    tree = Tree()
    sessions = [tree.open(1000.0, 0.0).id for _ in range(4)]
    last = 0
    for what, path, which in steps:
        before = tree.zxid
        try:
            if what in ("create", "own"):
                tree.create(path, b"", int(what == "own"), sessions[which], 1.0)
            elif what == "write":
                tree.write(path, b"x", -1, 1.0)
            elif what == "delete":
                tree.delete(path)
            else:
                tree.end(sessions[which])
                sessions[which] = tree.open(1000.0, 0.0).id
        except OperationError as failed:
            assert failed.code is not Code.OK and tree.zxid == before, "a refused operation changes nothing"
        assert tree.zxid >= last
        last = tree.zxid
        for name, node in tree.nodes.items():
            for child in node.children:
                assert f"{name.rstrip('/')}/{child}" in tree.nodes
            if node.owner:
                assert name in tree.sessions[node.owner].ephemerals and not node.children
        owned = [p for s in tree.sessions.values() for p in s.ephemerals]
        assert sorted(owned) == sorted(p for p, n in tree.nodes.items() if n.owner)
