"""Control instances in one process on loopback, a network between them that can be parted, and sidecars."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, cast

import httptools

from millgw.configuration.actions import Persist, Role
from millgw.configuration.document import Change, Document, Line, decode_line
from millgw.configuration.instance import Instance, StateKeeper
from millgw.configuration.replica import Options
from millgw.configuration.state import State
from millgw.platform.config import Address
from millgw.standins.address import free_address
from millgw.top.door import ask
from tests.rig import wait_until

HEARTBEAT, LEASE, ELECTION = 60.0, 400.0, (500.0, 1000.0)  # ms: short, and far over a turn of the loop
ANSWER_TIME = 15.0  # s for a call to be answered, far over what it takes


class MemoryState:
    """Keeps a replica's state through restarts of its instance, as a disk would."""

    def __init__(self) -> None:
        self.state = State()
        self.error: OSError | None = None

    def reopened(self) -> MemoryState:
        """The state as a new run of the instance finds it."""
        made = MemoryState()
        made.state = State(
            self.state.epoch,
            self.state.voted_for,
            self.state.committed,
            self.state.incarnation + 1,
            self.state.snapshot,
            self.state.entries,
        )
        return made

    def load(self) -> State:
        return self.state

    def persist(self, persist: Persist) -> None:
        if self.error is not None:
            raise self.error
        self.state = self.state.after(persist)

    def close(self) -> None:
        pass


class Network:
    """Which instances hear each other: those of the same part."""

    def __init__(self) -> None:
        self.parts: list[frozenset[str]] = []

    def part(self, *parts: Iterable[str]) -> None:
        """Cut the network into parts."""
        self.parts = [frozenset(part) for part in parts]

    def join(self) -> None:
        """Make it whole again."""
        self.parts = []

    def allowed(self, sender: str, receiver: str) -> bool:
        return not self.parts or any(sender in part and receiver in part for part in self.parts)


class Cluster:
    """Some control instances. Those that were stopped can be started again on the state that they had."""

    def __init__(self, count: int, keep: int = 1000) -> None:
        self.voters = {f"c{number}": free_address() for number in range(1, count + 1)}
        self.network = Network()
        self.keep = keep
        self.states: dict[str, StateKeeper] = {name: MemoryState() for name in self.voters}
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
        """End an instance as a kill would: what was not durable is gone."""
        self.running.pop(name).stop()

    async def restart(self, name: str) -> Instance:
        """Start an instance again on what it had made durable."""
        state = self.states[name]
        assert isinstance(state, MemoryState)
        self.states[name] = state.reopened()
        return await self.start(name)

    async def leader(self, among: Iterable[str] = ()) -> Instance:
        """The one instance (of some) that leads and is known to lead by a quorum."""
        names = set(among) or set(self.voters)
        found: list[Instance] = []

        def elected() -> bool:
            found[:] = [
                instance
                for name, instance in self.running.items()
                if name in names and instance.replica.role is Role.LEADER and instance.standing().quorum
            ]
            return len(found) == 1

        await wait_until(elected)
        return found[0]

    async def committed(self, index: int, among: Iterable[str] = ()) -> None:
        """Wait until a version is committed at all instances, or at some."""
        names = set(among) or set(self.running)
        await wait_until(lambda: all(self.running[name].service.history.index >= index for name in names))


def address_of(instance: Instance) -> Address:
    """Where an instance listens."""
    return instance.voters[instance.options.name]


@dataclass(slots=True)
class Answer:
    """Status and JSON of an answer."""

    status: int
    fields: dict[str, Any]


async def call(address: Address, method: str, path: str, body: object = None) -> Answer:
    """One call."""
    data = b"" if body is None else json.dumps(body).encode()
    status, answer = await ask(address, path, ANSWER_TIME, method, data)
    return Answer(status, json.loads(answer) if answer else {})


async def propose(address: Address, name: str, value: object, **more: object) -> Answer:
    """Propose one entry."""
    body = {"changes": [{"name": name, "value": value}], "author": "a", "reason": "r", **more}
    return await call(address, "POST", "/v1/configuration", body)


class Watcher(asyncio.Protocol):
    """A sidecar's watch, as far as tests need it: follows one instance and checks that nothing goes back."""

    def __init__(self, name: str = "", position: int = 0, document: Document | None = None) -> None:
        self.name = name
        self.document = document or Document()
        self.position = position
        self.lines: list[Line] = []
        self.heartbeats = 0
        self.ended = False
        self.received = 0  # bytes
        self.on_line: Callable[[Line], None] | None = None
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


def entry(name: str, value: dict[str, Any] | None) -> Change:
    """One change."""
    return Change(name, value)
