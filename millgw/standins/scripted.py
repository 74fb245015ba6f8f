"""Stand-ins controlled by a test: an endpoint whose script makes each answer, a raw discovery server."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

from millgw.platform.config import Address
from millgw.standins.address import free_address
from millgw.standins.http import Clock, Message, ServerConnection, listener, ok

Script = Callable[[Message, "ScriptedEndpoint"], Awaitable[bytes | None]]


async def always_ok(_: Message, __: ScriptedEndpoint) -> bytes:
    return ok()


async def never_answer(_: Message, __: ScriptedEndpoint) -> bytes:
    await asyncio.Event().wait()
    return b""


def answer_with(answer: bytes | None, after: asyncio.Event | None = None) -> Script:
    async def script(_: Message, __: ScriptedEndpoint) -> bytes | None:
        if after is not None:
            await after.wait()
        return answer

    return script


@dataclass
class ScriptedEndpoint:
    """An endpoint whose `script` makes each answer; None resets the connection.

    `resets_after` is called with the number of requests a connection had, and decides whether it is reset at
    the first byte of the next one.
    """

    name: str
    script: Script = always_ok
    resets_after: Callable[[int], bool] = lambda _: False
    requests: list[Message] = field(default_factory=list)
    connections: int = 0
    lost_connections: int = 0
    server_connections: list[ServerConnection] = field(default_factory=list)
    address: Address = field(default_factory=free_address)
    clock: Clock = field(default_factory=Clock)
    scripts: dict[ServerConnection, asyncio.Task[None]] = field(default_factory=dict)

    async def start(self) -> None:
        self.listener = listener(self.address, self)
        self.listener.open()

    def entry(self, status: str = "in_service", **fields: Any) -> dict[str, Any]:
        """This endpoint as a discovery server lists it."""
        return {
            "name": self.name, "address": str(self.address), "zone": "a", "type": "m", "group": 1,
            "status": status, "weight": 1.0, "since_ms": 0, **fields,
        }  # fmt: skip

    def opened(self, connection: ServerConnection) -> None:
        self.connections += 1
        self.server_connections.append(connection)

    def bytes_came(self, connection: ServerConnection) -> bool:
        if self.resets_after(connection.requests):
            connection.reset()
            return False
        return True

    def asked(self, connection: ServerConnection, message: Message) -> None:
        self.requests.append(message)
        self.scripts[connection] = asyncio.create_task(self._answer(connection, message))

    async def _answer(self, connection: ServerConnection, message: Message) -> None:
        answer = await self.script(message, self)
        if answer is None:
            connection.reset()
        else:
            connection.write(answer)
            connection.request_done()

    def lost(self, connection: ServerConnection) -> None:
        self.lost_connections += 1
        if connection in self.scripts:
            self.scripts.pop(connection).cancel()


CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def encode_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def encode_line(index: int, entries: list[dict[str, Any]], snapshot: bool = False) -> bytes:
    """Encode one line of a list or watch."""
    return json.dumps({"index": index, "snapshot": snapshot, "endpoints": entries}).encode() + b"\n"


class ScriptedDiscoveryServer:
    """A discovery server whose test takes each call from a queue and writes the bytes of the answer."""

    def __init__(self) -> None:
        self.address = free_address()
        self.calls: asyncio.Queue[tuple[Message, asyncio.StreamWriter]] = asyncio.Queue()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, self.address.host, self.address.port)

    def stop(self) -> None:
        """Stop listening, so that calls are refused."""
        self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            self.calls.put_nowait((await read_message(reader), writer))


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read the next request or answer, with a body according to its Content-Length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {k.lower(): v for k, v in (line.split(": ", 1) for line in head[1:] if line)}
    return Message(head[0], headers, await reader.readexactly(int(headers.get("content-length", "0"))))
