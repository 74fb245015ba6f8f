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
from millgw.membership.protocol import Ask, Core, Expired, Fired, Reply, Up
from millgw.membership.servers import Rota, Try
from millgw.platform.config import Address

READ_ONLY_FOR = 10.0  # s to stay on a read-only (partitioned) server before trying the others
LEAST_CONNECT = 0.5  # s: minimum time allowed for a connection and its session to be established


class Listener(Protocol):
    """Callbacks for the events of a session, in order."""

    def up(self, fresh: bool, doubtful: bool) -> None:
        """A session is established. `fresh`: it is new and has no watches. `doubtful`: the coordinator has
        lost changes it had committed, or this server is partitioned from the others.
        """

    def down(self) -> None:
        """The connection is lost, and with it every unanswered request."""

    def reply(self, reply: Reply) -> None: ...

    def fired(self, fired: Fired) -> None: ...


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
        self.core = Core(timeout, read_only=not writes)
        self.rota = Rota(servers, rng, timeout)
        self.listener = listener
        self.wire: Wire | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None
        self.over = False
        self.timeout = timeout  # ms; the session's: as negotiated, or as requested before there is a session
        self.served_until = -math.inf
        self.stopped = False

    @property
    def serves(self) -> bool:
        return self.wire is not None and self.core.up

    def start(self) -> None:
        self._later(self.rota.first())

    def _later(self, next_: Try) -> None:
        if next_.over:
            log_event("coordinator-went-back", seen=self.core.seen)
            self.core.forget()
            self.over = True
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(next_.wait / 1000, self._go, next_.server)

    def _go(self, server: Address) -> None:
        self.task = asyncio.get_running_loop().create_task(self._connect(server))

    async def _connect(self, server: Address) -> None:
        loop = asyncio.get_running_loop()
        wire = Wire(self, server)
        self.wire = wire
        within = max(LEAST_CONNECT, self.core.wanted / 1000 / max(1, len(self.rota.order)))
        wire.expect(within)
        try:
            async with asyncio.timeout(within):
                await loop.create_connection(lambda: wire, server.host, server.port)
        except (OSError, TimeoutError) as error:
            wire.end(str(error) or "connection timed out")

    def ask(self, ask: Ask) -> None:
        """Send a request if a session is established; otherwise drop it, as `down` has already reported."""
        if self.serves and self.wire is not None:
            self.wire.write(self.core.ask(ask))

    def set_watches(self, data: Sequence[str], exists: Sequence[str], children: Sequence[str]) -> None:
        if self.serves and self.wire is not None:
            self.wire.write(self.core.set_watches(data, exists, children))

    def ended(self, wire: Wire, why: str) -> None:
        """Handle the end of a connection; runs once for each."""
        if wire is not self.wire:
            return
        served, self.wire = self.core.up, None
        self.core.up = False
        if self.stopped:
            return
        log_event("coordinator-lost", server=wire.server, cause=why)
        if served:
            self.listener.down()
        if wire.expired:
            self._later(self.rota.expired())
        else:
            if served:
                self.served_until = time.monotonic()
            outlived = time.monotonic() > self.served_until + self.timeout / 1000
            self._later(self.rota.lost(served, wire.reached, wire.reached and not served, outlived))

    def take(self, wire: Wire, data: bytes) -> None:
        try:
            for event in self.core.receive(data):
                if wire is not self.wire:
                    return
                if isinstance(event, Up):
                    self.timeout = event.timeout
                    wire.served(event.timeout)
                    self.rota.up(event.timeout)
                    over, self.over = self.over, False
                    log_event("coordinator-up", server=wire.server, fresh=event.fresh)
                    if event.read_only:
                        wire.look_on(READ_ONLY_FOR)
                    self.listener.up(event.fresh, over or event.read_only)
                elif isinstance(event, Expired):
                    wire.expired = True
                    log_event("session-expired", server=wire.server)
                    wire.end("session expired")
                elif isinstance(event, Fired):
                    self.listener.fired(event)
                else:
                    self.listener.reply(event)
        except BadRecord as error:
            wire.end(str(error))

    async def close(self, within: float = 1.0) -> None:
        """Close the session, so that its nodes are deleted now and not when it times out."""
        wire = self.wire
        serves = self.serves
        self.stop(abort=not serves)
        if serves and wire is not None:
            wire.write(self.core.close())
            try:
                async with asyncio.timeout(within):
                    await wire.gone.wait()
            except TimeoutError:
                wire.abort()

    def stop(self, abort: bool = True) -> None:
        """Stop without closing the session, which then times out; no more events are reported."""
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()
        if abort:
            if self.task is not None:
                self.task.cancel()
            if self.wire is not None:
                self.wire.abort()


class Wire(asyncio.Protocol):
    """One connection to one server."""

    def __init__(self, client: Client, server: Address) -> None:
        self.client = client
        self.server = server
        self.reached = False
        self.expired = False  # the server said that the session is gone
        self.silent = 0.0
        self.transport: asyncio.Transport | None = None
        self.waiting: asyncio.TimerHandle | None = None
        self.pinging: asyncio.TimerHandle | None = None
        self.looking: asyncio.TimerHandle | None = None
        self.gone = asyncio.Event()

    def expect(self, within: float) -> None:
        """Restart the silence timer. A partitioned server can keep its connection open and send nothing."""
        if self.waiting is not None:
            self.waiting.cancel()
        self.waiting = asyncio.get_running_loop().call_later(
            within, self.end, "no data within the silence limit"
        )

    def served(self, timeout: float) -> None:
        self.silent = timeout * 2 / 3000
        self.expect(self.silent)
        self._ping()

    def look_on(self, after: float) -> None:
        """Leave this read-only server for another after a while (s)."""
        loop = asyncio.get_running_loop()
        self.looking = loop.call_later(after, self.end, "leaving a read-only server")

    def _ping(self) -> None:
        self.write(self.client.core.ping())
        self.pinging = asyncio.get_running_loop().call_later(self.silent / 2, self._ping)

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def abort(self) -> None:
        for timer in (self.waiting, self.pinging, self.looking):
            if timer is not None:
                timer.cancel()
        if self.transport is not None:
            self.transport.abort()

    def end(self, why: str) -> None:
        self.abort()
        self.client.ended(self, why)

    # asyncio.Protocol callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.client.wire is not self:
            self.abort()
            return
        self.reached = True
        self.transport.write(self.client.core.connect())

    def data_received(self, data: bytes) -> None:
        if self.silent:
            self.expect(self.silent)
        self.client.take(self, data)

    def connection_lost(self, exc: Exception | None) -> None:
        self.gone.set()
        self.end(str(exc) if exc is not None else "closed by the server")
