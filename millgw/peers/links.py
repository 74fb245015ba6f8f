"""Connections between peers: one question and its answers each, bounded in time, size and number."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from millgw.log.events import log_event
from millgw.peers.dialog import Dialog
from millgw.peers.sealed import Refused
from millgw.peers.wire import Body, encode
from millgw.platform.config import Address

LIVES = 2.0  # s after which a connection ends, whatever is still to come: a peer may drip, or never end
MOST_TAKEN = 8  # connections of others at once; the oldest gives way, as it may be a stranger's

Handle = Callable[[str, Body], list[Body]]


class Link(asyncio.Protocol):
    """One connection. `handle` takes what the other side says and gives what to answer.

    `first` is what this side asks, if it is the one that does; `answered` is set when it was answered, or the
    connection has ended.
    """

    def __init__(
        self, dialog: Dialog, handle: Handle, first: Body | None, ended: Callable[[Link], None]
    ) -> None:
        self.dialog = dialog
        self.handle = handle
        self.first = first
        self.ended = ended
        self.answered = asyncio.Event()
        self.transport: asyncio.Transport | None = None
        self.limit: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.limit = asyncio.get_running_loop().call_later(LIVES, self.transport.abort)
        self.transport.write(self.dialog.hello())

    def data_received(self, data: bytes) -> None:
        assert self.transport is not None
        fresh = not self.dialog.ready
        try:
            said = self.dialog.receive(data)
            if fresh and self.dialog.ready and self.first is not None:
                self.transport.write(self.dialog.say(self.first))
            for sender, body in said:
                for answer in self.handle(sender, body):
                    self.transport.write(self.dialog.word(encode(answer)))
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


class Links:
    """All of them, of one process."""

    def __init__(self, dialog: Callable[[], Dialog], handle: Handle) -> None:
        self.dialog = dialog
        self.handle = handle
        self.taken: dict[Link, None] = {}
        self.made: dict[Link, None] = {}
        self.server: asyncio.Server | None = None

    async def listen(self, address: Address) -> None:
        """Take connections; an OSError tells that the address can't be had."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self._take, address.host, address.port)

    def _take(self) -> Link:
        if len(self.taken) >= MOST_TAKEN:
            next(iter(self.taken)).abort()
        link = Link(self.dialog(), self.handle, None, lambda gone: self.taken.pop(gone, None))
        self.taken[link] = None
        return link

    async def ask(self, address: Address, first: Body) -> bool:
        """Ask a peer, whose answers go to `handle`; whether it was reached."""
        link = Link(self.dialog(), self.handle, first, lambda gone: self.made.pop(gone, None))
        self.made[link] = None
        try:
            async with asyncio.timeout(LIVES):
                await asyncio.get_running_loop().create_connection(lambda: link, address.host, address.port)
        except (OSError, TimeoutError):
            self.made.pop(link, None)
            return False
        await link.answered.wait()
        return True

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for link in [*self.taken, *self.made]:
            link.abort()
