"""A sidecar on loopback sockets, with scripted endpoints and a scripted discovery round it."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from typing import Any, cast

import uvloop

from millgw.settings import to_settings
from millgw.sidecar.__main__ import serve
from millgw.sidecar.config import Address, Config

LIMIT = 30.0  # s that a test may wait for anything: far over what it takes on a busy machine
PATIENCE = 20_000  # ms of a request that is not about time
numbers = itertools.count(1)

SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": "read", "deadline": 30_000.0, "slo": 500.0, "repeat": "retryable"},
        {"name": "write", "deadline": 30_000.0, "slo": 500.0, "repeat": "dedup", "repeatWindow": 5000.0},
        {"name": "pay", "deadline": 30_000.0, "slo": 500.0, "repeat": "fragile"},
    ],
    "projects": [{"name": "acme", "quotaRps": 1000.0}],
    "localities": ["a"],
    "limits": {"tryLimit": 3, "connectTimeout": 5000.0, "connIdle": 60_000.0, "maxRetryAfter": 2000.0},
    "rules": {"cold": 5000.0, "coldShare": 0.3, "fall": 1000.0, "fallMultiple": 3.0, "askWithin": 1000.0},
    "registryMode": "on_request",
}


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run one test on the loop that the sidecar runs on, with a limit on its time."""

    async def limited() -> None:
        async with asyncio.timeout(LIMIT):
            await test()

    uvloop.run(limited())


def free_address() -> Address:
    """A port that nobody else uses: on a loopback address of this process's own."""
    host = f"127.{1 + os.getpid() % 250}.{1 + next(numbers) % 250}.{1 + os.getpid() // 250 % 250}"
    with socket.socket() as probe:
        probe.bind((host, 0))
        return Address(host, probe.getsockname()[1])


async def until(holds: Callable[[], bool]) -> None:
    """Wait for something that no event tells of."""
    while not holds():
        await asyncio.sleep(0.005)


@dataclass
class Message:
    """A request or an answer as it was read from a socket."""

    first: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        return int(self.first.split()[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {k.lower(): v for k, v in (line.split(": ", 1) for line in head[1:] if line)}
    return Message(head[0], headers, await reader.readexactly(int(headers.get("content-length", "0"))))


Script = Callable[[Message, "FakeEndpoint"], Awaitable[bytes | None]]


def ok(body: bytes = b"done", more: str = "") -> bytes:
    return b"HTTP/1.1 200 OK\r\n%bContent-Length: %d\r\n\r\n%b" % (more.encode(), len(body), body)


def status(code: int, more: str = "") -> bytes:
    return f"HTTP/1.1 {code} X\r\n{more}Content-Length: 0\r\n\r\n".encode()


async def always_ok(_: Message, __: FakeEndpoint) -> bytes:
    return ok()


async def silent(_: Message, __: FakeEndpoint) -> bytes:
    await asyncio.Event().wait()
    return b""


def answering(answer: bytes | None, after: asyncio.Event | None = None) -> Script:
    async def script(_: Message, __: FakeEndpoint) -> bytes | None:
        if after is not None:
            await after.wait()
        return answer

    return script


@dataclass
class FakeEndpoint:
    """An endpoint: `script` makes each answer, None resets the connection.

    `cut` tells whether a connection on which so many requests came is reset at the next one's first byte.
    """

    name: str
    script: Script = always_ok
    cut: Callable[[int], bool] = lambda _: False
    got: list[Message] = field(default_factory=list)
    connections: int = 0
    lost: int = 0
    served: list[Served] = field(default_factory=list)
    address: Address = field(default_factory=free_address)

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        await loop.create_server(lambda: Served(self), self.address.host, self.address.port)

    def entry(self, status: str = "in_service", **more: Any) -> dict[str, Any]:
        address = f"{self.address.host}:{self.address.port}"
        return {
            "name": self.name, "address": address, "zone": "a", "type": "m", "group": 1,
            "status": status, "weight": 1.0, "since_ms": 0, **more,
        }  # fmt: skip


class Served(asyncio.Protocol):
    """One connection to a fake endpoint."""

    def __init__(self, endpoint: FakeEndpoint) -> None:
        self.endpoint = endpoint
        self.data = asyncio.StreamReader()
        self.requests = 0
        self.task = asyncio.create_task(self._serve())

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.endpoint.connections += 1
        self.endpoint.served.append(self)

    def data_received(self, data: bytes) -> None:
        if self.endpoint.cut(self.requests):
            self.transport.abort()
            return
        self.data.feed_data(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self.task.cancel()
        self.endpoint.lost += 1

    async def _serve(self) -> None:
        while True:
            message = await read_message(self.data)
            self.endpoint.got.append(message)
            self.requests += 1
            answer = await self.endpoint.script(message, self.endpoint)
            if answer is None:
                self.transport.abort()
            else:
                self.transport.write(answer)


class FakeDiscovery:
    """Discovery by hand: a test takes each call as it comes and writes the bytes of its answer."""

    def __init__(self) -> None:
        self.address = free_address()
        self.calls: asyncio.Queue[tuple[Message, asyncio.StreamWriter]] = asyncio.Queue()

    async def start(self) -> None:
        await asyncio.start_server(self._serve, self.address.host, self.address.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            self.calls.put_nowait((await read_message(reader), writer))


STREAM = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def line(index: int, entries: list[dict[str, Any]], snapshot: bool = False) -> bytes:
    return json.dumps({"index": index, "snapshot": snapshot, "endpoints": entries}).encode() + b"\n"


def request(
    cls: str = "read",
    body: bytes = b"",
    patience: object = PATIENCE,
    target: str = "/api?k=7",
    **headers: str,
) -> bytes:
    """A caller's request; a header given as '' is left out."""
    all_headers = {
        "Host": "app.svc",
        "X-Trace-Id": f"{next(numbers):016x}",
        "X-Qos": cls,
        "X-Customer": "acme",
        "X-Expires-In-Ms": str(patience),
        "Idempotency-Key": "key-1" if cls == "write" else "",
        "Content-Length": str(len(body)),
    } | {name.replace("_", "-"): value for name, value in headers.items()}
    lines = "".join(f"{name}: {value}\r\n" for name, value in all_headers.items() if value)
    return f"{'GET' if cls == 'read' else 'POST'} {target} HTTP/1.1\r\n{lines}\r\n".encode() + body


def config(endpoints: list[FakeEndpoint], discovery: Address, **changes: Any) -> Config:
    values: dict[str, Any] = {
        "name": "n1", "listen": free_address(), "discovery": discovery, "filed_discovery": None,
        "seed": 1, "sockets": 1024, "memory": 2.0**26,
        "known": {"index": 1, "snapshot": True, "endpoints": [e.entry() for e in endpoints]},
        "settings": to_settings(SETTINGS), "zones": ("a",), "connect_timeout": 5000.0, "idle": 60_000.0,
    }  # fmt: skip
    return Config(**(values | changes))


@dataclass
class Client:
    """A caller's connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def ask(self, data: bytes) -> Message:
        self.writer.write(data)
        return await read_message(self.reader)


@dataclass
class Rig:
    config: Config
    discovery: FakeDiscovery
    task: asyncio.Task[None]

    async def connect(self) -> Client:
        return Client(*await asyncio.open_connection(self.config.listen.host, self.config.listen.port))

    async def ask(self, data: bytes) -> Message:
        client = await self.connect()
        try:
            return await client.ask(data)
        finally:
            client.writer.close()


@asynccontextmanager
async def sidecar(*endpoints: FakeEndpoint, **changes: Any) -> AsyncIterator[Rig]:
    """A sidecar in service, which knows these endpoints."""
    discovery = FakeDiscovery()
    await discovery.start()
    for endpoint in endpoints:
        await endpoint.start()
    made = config(list(endpoints), discovery.address, **changes)
    task = asyncio.create_task(serve(made))
    await asyncio.sleep(0)  # it listens before its first wait
    try:
        yield Rig(made, discovery, task)
    finally:
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task
