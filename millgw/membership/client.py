"""ZooKeeper client on asyncio: keeps one session alive across the servers of an ensemble.

Timeouts derive from the negotiated session timeout, as in the ZooKeeper programmer's guide: a connection that
is silent for two thirds of it is closed, and a ping is sent after one third.
"""

from __future__ import annotations

import asyncio
import math
import random
import time
from collections.abc import Sequence
from typing import Protocol, cast

from millgw.log.events import log_event
from millgw.membership.jute import BadRecord
from millgw.membership.protocol import (
    ClientProtocol,
    Reply,
    Request,
    SessionEstablished,
    SessionExpired,
    WatchEvent,
)
from millgw.membership.servers import NextConnect, ServerSelector
from millgw.platform.config import Address

READ_ONLY_STAY = 10.0  # s to stay on a read-only (partitioned) server before trying the others
MIN_CONNECT_TIMEOUT = 0.5  # s: minimum time allowed for a connection and its session to be established


class Listener(Protocol):
    """Callbacks for the events of a session, in order."""

    def on_connected(self, fresh: bool, doubtful: bool) -> None:
        """A session is established. `fresh`: it is new and has no watches. `doubtful`: the coordinator has
        lost changes it had committed, or this server is partitioned from the others.
        """

    def on_disconnected(self) -> None:
        """The connection is lost, and with it every unanswered request."""

    def on_reply(self, reply: Reply) -> None: ...

    def on_watch_event(self, event: WatchEvent) -> None: ...


class Client:
    """One session, whose events go to `listener`. Nothing runs before `start`."""

    def __init__(
        self,
        servers: Sequence[Address],
        timeout: float,
        rng: random.Random,
        listener: Listener,
        writes: bool = False,
    ) -> None:
        self.protocol = ClientProtocol(timeout, read_only=not writes)
        self.selector = ServerSelector(servers, rng, timeout)
        self.listener = listener
        self.connection: Connection | None = None
        self.connect_timer: asyncio.TimerHandle | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self.started_over = False
        self.timeout = timeout  # ms; the session's: as negotiated, or as requested before there is a session
        self.disconnected_at = -math.inf
        self.stopped = False

    @property
    def connected(self) -> bool:
        return self.connection is not None and self.protocol.session_up

    def start(self) -> None:
        self._schedule_connect(self.selector.first())

    def _schedule_connect(self, next_connect: NextConnect) -> None:
        if next_connect.start_over:
            log_event("coordinator-went-back", seen=self.protocol.last_zxid)
            self.protocol.forget()
            self.started_over = True
        loop = asyncio.get_running_loop()
        self.connect_timer = loop.call_later(
            next_connect.delay / 1000, self._start_connect, next_connect.server
        )

    def _start_connect(self, server: Address) -> None:
        self.connect_task = asyncio.get_running_loop().create_task(self._connect(server))

    async def _connect(self, server: Address) -> None:
        loop = asyncio.get_running_loop()
        connection = Connection(self, server)
        self.connection = connection
        within = max(
            MIN_CONNECT_TIMEOUT, self.protocol.requested_timeout / 1000 / max(1, len(self.selector.order))
        )
        connection.restart_silence_timer(within)
        try:
            async with asyncio.timeout(within):
                await loop.create_connection(lambda: connection, server.host, server.port)
        except (OSError, TimeoutError) as error:
            connection.end(str(error) or "connection timed out")

    def send(self, request: Request) -> None:
        """Send a request if a session is established; otherwise drop it, as `on_disconnected` has already
        reported.
        """
        if self.connected and self.connection is not None:
            self.connection.write(self.protocol.request(request))

    def set_watches(self, data: Sequence[str], exists: Sequence[str], children: Sequence[str]) -> None:
        if self.connected and self.connection is not None:
            self.connection.write(self.protocol.set_watches(data, exists, children))

    def connection_ended(self, connection: Connection, reason: str) -> None:
        """Handle the end of a connection; runs once for each."""
        if connection is not self.connection:
            return
        served, self.connection = self.protocol.session_up, None
        self.protocol.session_up = False
        if self.stopped:
            return
        log_event("coordinator-lost", server=connection.server, cause=reason)
        if served:
            self.listener.on_disconnected()
        if connection.expired:
            self._schedule_connect(self.selector.on_session_expired())
        else:
            if served:
                self.disconnected_at = time.monotonic()
            outlived = time.monotonic() > self.disconnected_at + self.timeout / 1000
            self._schedule_connect(
                self.selector.on_connection_lost(
                    served, connection.accepted, connection.accepted and not served, outlived
                )
            )

    def handle_data(self, connection: Connection, data: bytes) -> None:
        try:
            for event in self.protocol.receive(data):
                if connection is not self.connection:
                    return
                if isinstance(event, SessionEstablished):
                    self.timeout = event.timeout
                    connection.session_established(event.timeout)
                    self.selector.on_session_established(event.timeout)
                    started_over, self.started_over = self.started_over, False
                    log_event("coordinator-up", server=connection.server, fresh=event.fresh)
                    if event.read_only:
                        connection.leave_after(READ_ONLY_STAY)
                    self.listener.on_connected(event.fresh, started_over or event.read_only)
                elif isinstance(event, SessionExpired):
                    connection.expired = True
                    log_event("session-expired", server=connection.server)
                    connection.end("session expired")
                elif isinstance(event, WatchEvent):
                    self.listener.on_watch_event(event)
                else:
                    self.listener.on_reply(event)
        except BadRecord as error:
            connection.end(str(error))

    async def close(self, within: float = 1.0) -> None:
        """Close the session, so that its nodes are deleted now and not when it times out."""
        connection = self.connection
        serves = self.connected
        self.stop(abort=not serves)
        if serves and connection is not None:
            connection.write(self.protocol.close())
            try:
                async with asyncio.timeout(within):
                    await connection.closed.wait()
            except TimeoutError:
                connection.abort()

    def stop(self, abort: bool = True) -> None:
        """Stop without closing the session, which then times out; no more events are reported."""
        self.stopped = True
        if self.connect_timer is not None:
            self.connect_timer.cancel()
        if abort:
            if self.connect_task is not None:
                self.connect_task.cancel()
            if self.connection is not None:
                self.connection.abort()


class Connection(asyncio.Protocol):
    """One connection to one server."""

    def __init__(self, client: Client, server: Address) -> None:
        self.client = client
        self.server = server
        self.accepted = False
        self.expired = False  # the server said that the session is gone
        self.silence_limit = 0.0
        self.transport: asyncio.Transport | None = None
        self.silence_timer: asyncio.TimerHandle | None = None
        self.ping_timer: asyncio.TimerHandle | None = None
        self.leave_timer: asyncio.TimerHandle | None = None
        self.closed = asyncio.Event()

    def restart_silence_timer(self, within: float) -> None:
        """Restart the silence timer. A partitioned server can keep its connection open and send nothing."""
        if self.silence_timer is not None:
            self.silence_timer.cancel()
        self.silence_timer = asyncio.get_running_loop().call_later(
            within, self.end, "no data within the silence limit"
        )

    def session_established(self, timeout: float) -> None:
        self.silence_limit = timeout * 2 / 3000
        self.restart_silence_timer(self.silence_limit)
        self._ping()

    def leave_after(self, after: float) -> None:
        """Leave this read-only server for another after a while (s)."""
        loop = asyncio.get_running_loop()
        self.leave_timer = loop.call_later(after, self.end, "leaving a read-only server")

    def _ping(self) -> None:
        self.write(self.client.protocol.ping())
        self.ping_timer = asyncio.get_running_loop().call_later(self.silence_limit / 2, self._ping)

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def abort(self) -> None:
        for timer in (self.silence_timer, self.ping_timer, self.leave_timer):
            if timer is not None:
                timer.cancel()
        if self.transport is not None:
            self.transport.abort()

    def end(self, reason: str) -> None:
        self.abort()
        self.client.connection_ended(self, reason)

    # asyncio.Protocol callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.client.connection is not self:
            self.abort()
            return
        self.accepted = True
        self.transport.write(self.client.protocol.connect())

    def data_received(self, data: bytes) -> None:
        if self.silence_limit:
            self.restart_silence_timer(self.silence_limit)
        self.client.handle_data(self, data)

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed.set()
        self.end(str(exc) if exc is not None else "closed by the server")
