"""Test cluster of control instances on loopback in one process, with network partitions and test watchers."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, cast

import httptools

from millgw.configuration.actions import Persist, Role
from millgw.configuration.document import Change, Document, WatchLine, decode_line
from millgw.configuration.instance import Instance, StateStorage
from millgw.configuration.replica import Options
from millgw.configuration.state import State
from millgw.platform.config import Address
from millgw.standins.address import free_address
from millgw.top.door import ask
from tests.rig import wait_until

HEARTBEAT, LEASE, ELECTION = (
    60.0,
    400.0,
    (500.0, 1000.0),
)  # ms: short, but far longer than one iteration of the event loop
RESPONSE_TIMEOUT_S = 15.0  # s for a response, far more than one takes


class MemoryState:
    """In-memory replacement of the disk: keeps a replica's state across restarts of its instance."""

    def __init__(self) -> None:
        self.state = State()
        self.error: OSError | None = None

    def after_restart(self) -> MemoryState:
        """The state that a restarted instance finds."""
        restarted = MemoryState()
        restarted.state = State(
            self.state.epoch,
            self.state.voted_for,
            self.state.committed,
            self.state.incarnation + 1,
            self.state.snapshot,
            self.state.entries,
        )
        return restarted

    def load(self) -> State:
        return self.state

    def persist(self, persist: Persist) -> None:
        if self.error is not None:
            raise self.error
        self.state = self.state.with_persisted(persist)

    def close(self) -> None:
        pass


class Network:
    """Delivers messages only between instances of the same partition."""

    def __init__(self) -> None:
        self.partitions: list[frozenset[str]] = []

    def partition(self, *partitions: Iterable[str]) -> None:
        """Split the network into partitions."""
        self.partitions = [frozenset(part) for part in partitions]

    def heal(self) -> None:
        """Remove all partitions."""
        self.partitions = []

    def allowed(self, sender: str, receiver: str) -> bool:
        return not self.partitions or any(sender in part and receiver in part for part in self.partitions)


class Cluster:
    """A cluster of control instances. Stopped instances can be restarted with the state they had."""

    def __init__(self, count: int, keep: int = 1000) -> None:
        self.voters = {f"c{number}": free_address() for number in range(1, count + 1)}
        self.network = Network()
        self.keep = keep
        self.states: dict[str, StateStorage] = {name: MemoryState() for name in self.voters}
        self.running: dict[str, Instance] = {}

    async def __aenter__(self) -> Cluster:
        for name in self.voters:
            await self.start(name)
        return self

    async def __aexit__(self, *_: object) -> None:
        for name in list(self.running):
            self.stop(name)

    async def start(self, name: str) -> Instance:
        options = Options(
            name, tuple(self.voters), heartbeat=HEARTBEAT, lease=LEASE, election=ELECTION, keep=self.keep
        )
        instance = Instance(options, self.voters, self.states[name], 1, self.network.allowed)
        await instance.start()
        self.running[name] = instance
        return instance

    def stop(self, name: str) -> None:
        """Stop an instance as a kill would: state that was not durable is lost."""
        self.running.pop(name).stop()

    async def restart(self, name: str) -> Instance:
        """Restart an instance with its durable state."""
        state = self.states[name]
        assert isinstance(state, MemoryState)
        self.states[name] = state.after_restart()
        return await self.start(name)

    async def wait_leader(self, among: Iterable[str] = ()) -> Instance:
        """Wait for exactly one instance (of `among`) to lead with a quorum, and return it."""
        names = set(among) or set(self.voters)
        found: list[Instance] = []

        def elected() -> bool:
            found[:] = [
                instance
                for name, instance in self.running.items()
                if name in names and instance.replica.role is Role.LEADER and instance.view().quorum
            ]
            return len(found) == 1

        await wait_until(elected)
        return found[0]

    async def wait_committed(self, index: int, among: Iterable[str] = ()) -> None:
        """Wait until a version is committed at all running instances, or at those in `among`."""
        names = set(among) or set(self.running)
        await wait_until(lambda: all(self.running[name].service.history.index >= index for name in names))


def address_of(instance: Instance) -> Address:
    """The address an instance listens on."""
    return instance.voters[instance.options.name]


@dataclass(slots=True)
class Response:
    """Status and JSON fields of a response."""

    status: int
    fields: dict[str, Any]


async def send_request(address: Address, method: str, path: str, body: object = None) -> Response:
    """Send one HTTP request with a JSON body."""
    data = b"" if body is None else json.dumps(body).encode()
    status, answer = await ask(address, path, RESPONSE_TIMEOUT_S, method, data)
    return Response(status, json.loads(answer) if answer else {})


async def propose(address: Address, name: str, value: object, **more: object) -> Response:
    """Propose a version that sets one entry."""
    body = {"changes": [{"name": name, "value": value}], "author": "a", "reason": "r", **more}
    return await send_request(address, "POST", "/v1/configuration", body)


class Watcher(asyncio.Protocol):
    """Minimal watch of a sidecar: follows one instance and checks that versions only increase."""

    def __init__(self, name: str = "", position: int = 0, document: Document | None = None) -> None:
        self.name = name
        self.document = document or Document()
        self.position = position
        self.lines: list[WatchLine] = []
        self.heartbeats = 0
        self.ended = False
        self.received = 0  # bytes
        self.on_line: Callable[[WatchLine], None] | None = None
        self.transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._rest = b""

    async def open(self, address: Address) -> Watcher:
        loop = asyncio.get_running_loop()
        await loop.create_connection(lambda: self, address.host, address.port)
        return self

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    @property
    def index(self) -> int:
        return self.document.index

    # asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        query = f"watch=1&from={max(self.position, self.index)}&name={self.name}"
        self.transport.write(f"GET /v1/configuration?{query} HTTP/1.1\r\nHost: c\r\n\r\n".encode())

    def data_received(self, data: bytes) -> None:
        self.received += len(data)
        self._parser.feed_data(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended = True

    # httptools

    def on_body(self, body: bytes) -> None:
        *whole, self._rest = (self._rest + body).split(b"\n")
        for data in whole:
            if not data:
                self.heartbeats += 1
                continue
            line = decode_line(data)
            assert line.index > max(self.index, self.position), "a version went back"
            self.document.load(line)
            self.lines.append(line)
            if self.on_line is not None:
                self.on_line(line)


def entry_change(name: str, value: dict[str, Any] | None) -> Change:
    """A change of one entry."""
    return Change(name, value)
