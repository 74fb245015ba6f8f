"""HTTP transport for messages between instances: each is a POST request, and the response carries the reply.

Each peer has one persistent connection with one exchange at a time. Messages may be lost; the replica sends
them again.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import cast
from urllib.parse import quote

import httptools

from millgw.configuration.messages import MAX_MESSAGE, Message, MessageError, decode, encode
from millgw.platform.config import Address

REPLICA_PATH = "/v1/replica"
MAX_QUEUED = 32  # messages queued for one peer; the oldest are dropped first
CONNECT_TIMEOUT = 1.0  # s; timeout for opening a connection
EXCHANGE_TIMEOUT = 3.0  # s; timeout for a message and its response
RECONNECT_DELAY = 0.1  # s; delay after a connection failed or was lost

MessageReceiver = Callable[[str, Message], None]
"""Receives the name of the sender and a message."""

LinkFilter = Callable[[str, str], bool]
"""Whether a message from one instance may reach another; tests simulate network partitions with it."""


def allow_all(sender: str, receiver: str) -> bool:
    """The filter that lets every message pass."""
    return True


class PeerLink:
    """Sends messages from one instance to one peer, and receives the peer's replies."""

    def __init__(
        self,
        name: str,
        peer: str,
        address: Address,
        receive: MessageReceiver,
        allowed: LinkFilter = allow_all,
    ) -> None:
        self.name = name
        self.peer = peer
        self.address = address
        self.receive = receive
        self.allowed = allowed
        self._queue: deque[Message] = deque(maxlen=MAX_QUEUED)
        self._connection: PeerConnection | None = None
        self._connect_task: asyncio.Task[None] | None = None
        self._reconnect_timer: asyncio.TimerHandle | None = None
        self._stopped = False

    def send(self, message: Message) -> None:
        """Queue a message; it is lost if the peer can't be reached."""
        if self._stopped or not self.allowed(self.name, self.peer):
            return
        self._queue.append(message)
        if self._connection is not None:
            self._connection.send_next()
        elif self._connect_task is None and self._reconnect_timer is None:
            self._connect_task = asyncio.get_running_loop().create_task(self._connect())

    def stop(self) -> None:
        """Close the connection and drop queued messages."""
        self._stopped = True
        self._queue.clear()
        if self._reconnect_timer is not None:
            self._reconnect_timer.cancel()
        if self._connect_task is not None:
            self._connect_task.cancel()
        if self._connection is not None:
            self._connection.abort()

    def next_request(self) -> bytes | None:
        """Remove the next message from the queue and return it as a request; None if the queue is empty."""
        while self._queue:
            message = self._queue.popleft()
            try:
                return self._encode_request(encode(message))
            except MessageError:
                continue  # over MAX_MESSAGE
        return None

    def on_response(self, status: int, body: bytes) -> None:
        """Process the peer's response to a message."""
        if status != 200 or not self.allowed(self.peer, self.name):
            return
        try:
            message = decode(body)
        except MessageError:
            return  # treated as a lost reply
        self.receive(self.peer, message)

    def on_connection_lost(self) -> None:
        """The connection failed or was lost. Queued messages are dropped, as they would arrive outdated."""
        self._connection = None
        self._queue.clear()
        if not self._stopped:
            loop = asyncio.get_running_loop()
            self._reconnect_timer = loop.call_later(RECONNECT_DELAY, self._reconnect)

    def _reconnect(self) -> None:
        self._reconnect_timer = None
        if self._queue:
            self._connect_task = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                _, connection = await loop.create_connection(
                    lambda: PeerConnection(self), self.address.host, self.address.port
                )
        except (OSError, TimeoutError):
            self._connect_task = None
            self.on_connection_lost()
            return
        self._connect_task = None
        if connection.transport is not None:  # else it was lost at once, and `on_connection_lost` was called
            self._connection = connection
            connection.send_next()

    def _encode_request(self, body: bytes) -> bytes:
        head = (
            f"POST {REPLICA_PATH}?from={quote(self.name)} HTTP/1.1\r\nHost: {self.address}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body


class PeerConnection(asyncio.Protocol):
    """One connection to a peer."""

    def __init__(self, link: PeerLink) -> None:
        self.link = link
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.exchange_timer: asyncio.TimerHandle | None = None  # set while an exchange is in progress

    def send_next(self) -> None:
        """Start the next exchange, if none is in progress."""
        if self.exchange_timer is not None or self.transport is None or self.transport.is_closing():
            return
        request = self.link.next_request()
        if request is not None:
            self.transport.write(request)
            self.exchange_timer = asyncio.get_running_loop().call_later(EXCHANGE_TIMEOUT, self.abort)

    def abort(self) -> None:
        """Abort the connection."""
        if self.transport is not None:
            self.transport.abort()

    # asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.exchange_timer is not None:
            self.exchange_timer.cancel()
            self.exchange_timer = None
        self.link.on_connection_lost()

    # httptools

    def on_message_begin(self) -> None:
        self.body.clear()

    def on_body(self, body: bytes) -> None:
        self.body += body
        if len(self.body) > MAX_MESSAGE:
            self.abort()

    def on_message_complete(self) -> None:
        if self.exchange_timer is not None:
            self.exchange_timer.cancel()
            self.exchange_timer = None
        self.link.on_response(self.parser.get_status_code(), bytes(self.body))
        self.send_next()
