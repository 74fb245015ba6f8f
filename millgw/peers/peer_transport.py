"""Connections between peers: one request and its answers each, bounded in time, size and number."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from millgw.log.events import log_event
from millgw.peers.message_auth import MessageRefused
from millgw.peers.state_transfer import StateTransfer
from millgw.peers.wire import Body, encode
from millgw.platform.config import Address

CONNECTION_LIMIT_S = 2.0  # longest lifetime of a connection: a peer may send byte by byte, or without end
MAX_INBOUND = 8  # accepted connections at once; the oldest is closed first, as it may be unauthenticated

MessageHandler = Callable[[str, Body], list[Body]]


class PeerConnection(asyncio.Protocol):
    """One connection. `handle` processes a message of the other side and returns the answers.

    `request` is the request of this side, None on an accepted connection; `answered` is set when it was
    answered or the connection has ended.
    """

    def __init__(
        self,
        state_transfer: StateTransfer,
        handle: MessageHandler,
        request: Body | None,
        on_closed: Callable[[PeerConnection], None],
    ) -> None:
        self.state_transfer = state_transfer
        self.handle = handle
        self.request = request
        self.on_closed = on_closed
        self.answered = asyncio.Event()
        self.transport: asyncio.Transport | None = None
        self.limit_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.limit_timer = asyncio.get_running_loop().call_later(CONNECTION_LIMIT_S, self.transport.abort)
        self.transport.write(self.state_transfer.hello())

    def data_received(self, data: bytes) -> None:
        assert self.transport is not None
        awaiting_hello = not self.state_transfer.ready
        try:
            messages = self.state_transfer.receive(data)
            if awaiting_hello and self.state_transfer.ready and self.request is not None:
                self.transport.write(self.state_transfer.encode_frame(self.request))
            for sender, body in messages:
                for answer in self.handle(sender, body):
                    self.transport.write(self.state_transfer.frame(encode(answer)))
        except MessageRefused as error:
            log_event("peer-refused", peer=self.transport.get_extra_info("peername"), cause=error)
            self.transport.abort()
            return
        if messages and self.request is not None:
            self.answered.set()
            self.transport.close()  # after flushing what was written

    def connection_lost(self, exc: Exception | None) -> None:
        if self.limit_timer is not None:
            self.limit_timer.cancel()
        self.answered.set()
        self.on_closed(self)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class PeerTransport:
    """All peer connections of one process."""

    def __init__(self, new_state_transfer: Callable[[], StateTransfer], handle: MessageHandler) -> None:
        self.new_state_transfer = new_state_transfer
        self.handle = handle
        self.inbound: dict[PeerConnection, None] = {}
        self.outbound: dict[PeerConnection, None] = {}
        self.server: asyncio.Server | None = None

    async def listen(self, address: Address) -> None:
        """Accept connections; raises OSError if the address is not available."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self._accept, address.host, address.port)

    def _accept(self) -> PeerConnection:
        if len(self.inbound) >= MAX_INBOUND:
            next(iter(self.inbound)).abort()
        connection = PeerConnection(
            self.new_state_transfer(), self.handle, None, lambda closed: self.inbound.pop(closed, None)
        )
        self.inbound[connection] = None
        return connection

    async def ask(self, address: Address, request: Body) -> bool:
        """Send a request, whose answers are passed to `handle`; returns whether the peer was reached."""
        connection = PeerConnection(
            self.new_state_transfer(), self.handle, request, lambda closed: self.outbound.pop(closed, None)
        )
        self.outbound[connection] = None
        try:
            async with asyncio.timeout(CONNECTION_LIMIT_S):
                await asyncio.get_running_loop().create_connection(
                    lambda: connection, address.host, address.port
                )
        except (OSError, TimeoutError):
            self.outbound.pop(connection, None)
            return False
        await connection.answered.wait()
        return True

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for connection in [*self.inbound, *self.outbound]:
            connection.abort()
