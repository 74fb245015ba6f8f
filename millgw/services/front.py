"""The callers' side with several services: routes requests, and lets no pool's flood queue before another's.

What comes in is only read at once; parsing, routing and taking a request wait for the turn of the lane that
the connection was last routed to, and a turn of the loop spends no longer than `SPELL` on them.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable

from millgw.routing.table import Asked, NoRoute, Route, Table
from millgw.routing.target import BadTarget, read_target
from millgw.services.pool import Bounds, Pool, RoutedCall
from millgw.services.turns import Turns
from millgw.sidecar.caller import CallerConnection
from millgw.sidecar.config import Config
from millgw.sidecar.descriptors import Descriptors
from millgw.sidecar.driver import REFUSED, Answer, Call
from millgw.sidecar.request import BadRequest, Head
from millgw.sidecar.server import Server
from millgw.sidecar.upstream import Content

SPELL = 0.002  # s of one turn of the loop that go to requests before connections are read again
COME_BACK = 500.0  # ms after which a client that is turned away at a bound may find room
NEW = ""  # the lane of connections that no request has come on yet

log = logging.getLogger("millgw")


class RoutedHead(Head):
    """A head that knows whose it is: its pool, or why it is nobody's."""

    __slots__ = ("pool",)

    def __init__(self) -> None:
        super().__init__()
        self.pool: Pool | BadRequest | None = None


class RoutedConnection(CallerConnection):
    """A caller's connection whose requests may be for any service, one after another."""

    server: ServicesServer
    heads = RoutedHead

    def __init__(self, server: ServicesServer) -> None:
        super().__init__(server)
        self.lane = NEW
        self.waits = False
        self.parts: list[tuple[Pool, int]] = []

    def quiet(self, least: float) -> bool:
        # Guards against losing a request that has been read and waits for its turn.
        return not self.waits and super().quiet(least)

    def take_in(self) -> None:
        """Work on what was read when the lane's turn comes."""
        if self.waits:
            if self.transport is not None:
                self.transport.pause_reading()  # guards against memory that fills while it waits
            return
        self.waits = True
        self.server.turns.wait(self.lane, self)

    def turn(self) -> None:
        self.waits = False
        if self.transport is not None and not self.transport.is_closing():
            self._read()

    # httptools

    def on_headers_complete(self) -> None:
        super().on_headers_complete()
        assert isinstance(self.head, RoutedHead)
        self.head.pool = found = self.server.route(self.head)
        if isinstance(found, Pool):
            self.lane = found.name

    def _hold(self, more: int) -> None:
        if more <= 0:
            for pool, size in self.parts:
                pool.bodies -= size
            self.parts.clear()
        elif isinstance(self.head, RoutedHead) and isinstance(self.head.pool, Pool):
            pool = self.head.pool
            if pool.bodies + more > pool.most("bodies"):
                raise BadRequest(REFUSED, f"too much is being sent to {pool.name}")
            pool.bodies += more
            self.parts.append((pool, more))
        super()._hold(more)


class Spells:
    """The connections of all listeners that wait for their lanes' turns."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.turns: Turns[RoutedConnection] = Turns()

    def wait(self, lane: str, connection: RoutedConnection) -> None:
        if not self.turns:
            self.loop.call_soon(self._spell)
        self.turns.add(lane, connection)

    def _spell(self) -> None:
        end = time.monotonic() + SPELL
        while self.turns:
            self.turns.next().turn()
            if time.monotonic() >= end:
                break
        if self.turns:
            self.loop.call_soon(self._spell)


class ServicesServer(Server):
    """The callers' connections of one listener, and the pools that serve them."""

    connection = RoutedConnection

    def __init__(
        self,
        config: Config,
        descriptors: Descriptors,
        bounds: Bounds,
        turns: Spells,
        table: Table,
        only: str = "",
    ) -> None:
        super().__init__(config, descriptors)
        self.bounds = bounds
        self.turns = turns
        self.table = table
        self.only = only  # the service that all requests of this listener are for
        self.lent = 0.0

    # Requests

    def route(self, head: Head) -> Pool | BadRequest | None:
        """The pool of a request, or what it is refused with; None for /ready, which is of no service."""
        values = head.values
        host = values.get(b"host")
        try:
            target = read_target(head.target, () if host is None else (host,))
        except BadTarget as error:
            return BadRequest(error.status, str(error))
        if target.path == "/ready" or target.path.startswith("/ready/"):
            return None
        if not head.target.startswith(b"/"):
            # To the endpoint it goes as a path (RFC 9112 section 3.2.1).
            head.target = b"/" + head.target.partition(b"://")[2].partition(b"/")[2]
        if self.only:
            return self.bounds.pools[self.only]
        headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in values.items()}
        cls = headers.get("x-qos", "")
        found = self.table.find(Asked(target, head.method.decode("latin-1"), cls, headers))
        if isinstance(found, NoRoute):
            return BadRequest(found.status, found.why)
        assert isinstance(found, Route)
        return self.bounds.pools[found.service]

    def read(self, head: Head, answer: Callable[[Answer], None]) -> Call | Answer:
        assert isinstance(head, RoutedHead)
        pool = head.pool
        if isinstance(pool, BadRequest):
            raise pool
        if pool is None:
            return self._ready(head)
        now = pool.driver.clock()
        if pool.retired or len(pool.driver.calls) >= self.bounds.most(pool.name, "calls", now):
            # Guards against a flood: its calls would take the room of other pools.
            return Answer(REFUSED, retry_after=min(COME_BACK, pool.settings.retry_after_most))
        lent = self.bounds.borrowed(pool.name, "calls")
        call = pool.terms.call(head, answer)
        assert isinstance(call, RoutedCall)
        if lent:
            call.patience = min(call.patience, self.lent)
        if call.trace in pool.driver.open:
            raise BadRequest(409, "X-Trace-Id is that of an open request")
        call.owner = pool.driver
        return call

    def _ready(self, head: Head) -> Answer:
        if head.method != b"GET":
            raise BadRequest(405, "only GET asks whether the sidecar is ready")
        name = head.target.partition(b"?")[0].rpartition(b"/ready")[2].strip(b"/").decode("latin-1")
        if name and name not in self.bounds.pools:
            raise BadRequest(404, "no such service")
        pools = [self.bounds.pools[name]] if name else list(self.bounds.pools.values())
        serves = any(pool.driver.ready for pool in pools) and not self.leaving
        text = "".join(f"{pool.status()}\n" for pool in pools)
        return Answer(200 if serves else REFUSED, Content(b"Content-Type: text/plain\r\n", text.encode()))

    def take(self, call: Call) -> None:
        assert isinstance(call, RoutedCall) and call.owner is not None
        call.owner.take(call)

    def give_up(self, call: Call) -> None:
        assert isinstance(call, RoutedCall) and call.owner is not None
        call.owner.left(call)

    def give_way(self) -> bool:
        """Close the connection of this listener that is needed least, if there is one."""
        return self._evict()

    def _evict(self) -> bool:
        """Close an idle connection of a lane with more than its part before any other."""
        counts: dict[str, int] = {}
        for connection in self.connections:
            if isinstance(connection, RoutedConnection):
                counts[connection.lane] = counts.get(connection.lane, 0) + 1
        part = self.descriptors.most_callers / max(1, len(self.bounds.pools))
        for kept in self.kept:
            if isinstance(kept, RoutedConnection) and counts[kept.lane] > part and kept.quiet(0.0):
                kept.close()
                return True
        return super()._evict()
