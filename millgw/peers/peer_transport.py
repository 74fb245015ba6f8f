"""Connections between peers: one question and its answers each, bounded in time, size and number."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from millgw.log.events import log_event
from millgw.peers.sealed import Refused
from millgw.peers.state_transfer import StateTransfer
from millgw.peers.wire import Body, encode
from millgw.platform.config import Address

LIVES = 2.0  # s after which a connection ends, whatever is still to come: a peer may drip, or never end
MOST_TAKEN = 8  # connections of others at once; the oldest gives way, as it may be a stranger's

Handle = Callable[[str, Body], list[Body]]


class PeerConnection(asyncio.Protocol):
    """One connection. `handle` takes what the other side says and gives what to answer.

    `first` is what this side asks, if it is the one that does; `answered` is set when it was answered, or the
    connection has ended.
    """

    def __init__(
        self,
        state_transfer: StateTransfer,
        handle: Handle,
        first: Body | None,
        ended: Callable[[PeerConnection], None],
    ) -> None:
        self.state_transfer = state_transfer
        self.handle = handle
        self.first = first
        self.ended = ended
        self.answered = asyncio.Event()
        self.transport: asyncio.Transport | None = None
        self.limit: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.limit = asyncio.get_running_loop().call_later(LIVES, self.transport.abort)
        self.transport.write(self.state_transfer.hello())

    def data_received(self, data: bytes) -> None:
        assert self.transport is not None
        fresh = not self.state_transfer.ready
        try:
            said = self.state_transfer.receive(data)
            if fresh and self.state_transfer.ready and self.first is not None:
                self.transport.write(self.state_transfer.say(self.first))
            for sender, body in said:
                for answer in self.handle(sender, body):
                    self.transport.write(self.state_transfer.word(encode(answer)))
        except Refused as error:
            log_event("peer-refused", peer=self.transport.get_extra_info("peername"), cause=error)
            self.transport.abort()
            return
        if said and self.first is not None:
            self.answered.set()
            self.transport.close()  # what was written goes out before

    def connection_lost(self, exc: Exception | None) -> None:
        if self.limit is not None:
            self.limit.cancel()
        self.answered.set()
        self.ended(self)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class PeerTransport:
    """All of them, of one process."""

    def __init__(self, state_transfer: Callable[[], StateTransfer], handle: Handle) -> None:
        self.state_transfer = state_transfer
        self.handle = handle
        self.taken: dict[PeerConnection, None] = {}
        self.made: dict[PeerConnection, None] = {}
        self.server: asyncio.Server | None = None

    async def listen(self, address: Address) -> None:
        """Take connections; an OSError tells that the address can't be had."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self._take, address.host, address.port)

    def _take(self) -> PeerConnection:
        if len(self.taken) >= MOST_TAKEN:
            next(iter(self.taken)).abort()
        connection = PeerConnection(
            self.state_transfer(), self.handle, None, lambda gone: self.taken.pop(gone, None)
        )
        self.taken[connection] = None
        return connection

    async def ask(self, address: Address, first: Body) -> bool:
        """Ask a peer, whose answers go to `handle`; whether it was reached."""
        connection = PeerConnection(
            self.state_transfer(), self.handle, first, lambda gone: self.made.pop(gone, None)
        )
        self.made[connection] = None
        try:
            async with asyncio.timeout(LIVES):
                await asyncio.get_running_loop().create_connection(
                    lambda: connection, address.host, address.port
                )
        except (OSError, TimeoutError):
            self.made.pop(connection, None)
            return False
        await connection.answered.wait()
        return True

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for connection in [*self.taken, *self.made]:
            connection.abort()
