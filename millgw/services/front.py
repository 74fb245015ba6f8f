"""The callers' side with several services: request routing, and fair scheduling between the services.

Incoming bytes are read at once, but parsing, routing and accepting a request wait for the turn of the lane
that the connection was last routed to; handling an endpoint's complete response waits for the turn of its
pool's lane. One iteration of the event loop spends no longer than `TIME_SLICE` on both, so that a flood for
one pool can't delay the requests of another.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping
from typing import Protocol

from millgw.callers.lifecycle import Lifecycle
from millgw.http.message import REFUSED, Answer, text_answer
from millgw.http.request import BadRequest, Head
from millgw.pool.call import Call
from millgw.pool.pool import Pool, make_call
from millgw.routing.table import NoRoute, Route, RouteRequest, Table
from millgw.routing.target import BadTarget, read_target
from millgw.services.fair_queue import FairQueue

TIME_SLICE = 0.0002  # s per loop iteration for requests and responses, before connections are read again


class WaitingConnection(Protocol):
    """A caller's connection with a request to parse, or an endpoint's with a complete response."""

    def turn(self) -> None: ...


class TurnScheduler:
    """Schedules the connections of both sides that wait for the turn of their lane."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.turns: FairQueue[WaitingConnection] = FairQueue()

    def contended(self) -> bool:
        """Always: what was read waits for the turn of its lane."""
        return True

    def wait_again(self, lane: str, connection: WaitingConnection) -> None:
        """Wait for another turn of the lane."""
        self.wait(lane, connection)

    def wait(self, lane: str, connection: WaitingConnection) -> None:
        """Call the connection's `turn` when it is its lane's turn."""
        if not self.turns:
            self.loop.call_soon(self._run_turns)
        self.turns.add(lane, connection)

    def _run_turns(self) -> None:
        end = time.monotonic() + TIME_SLICE
        while self.turns:
            self.turns.next().turn()
            if time.monotonic() >= end:
                break
        if self.turns:
            self.loop.call_soon(self._run_turns)


class PoolRegistry:
    """The current pools by name, replaced by reloads; shared by the fronts of all listeners."""

    def __init__(self, lifecycle: Lifecycle) -> None:
        self.pools: Mapping[str, Pool] = {}
        self.lifecycle = lifecycle


class RoutedFront:
    """Finds the service of a listener's requests: by the route table, or always `only_service` if set."""

    def __init__(self, registry: PoolRegistry, table: Table, only_service: str = "") -> None:
        self.registry = registry
        self.table = table
        self.only_service = only_service

    def assign_pool(self, head: Head) -> None:
        found = self._find_pool(head)
        if isinstance(found, BadRequest):
            head.bad_request = found
        elif found is not None:
            head.pool = found
            head.refusal = Answer(REFUSED) if self.registry.lifecycle.refuses_new else found.refusal_if_full()

    def _find_pool(self, head: Head) -> Pool | BadRequest | None:
        """The pool of a request, or the error to refuse it with; None for /ready, which is of no service."""
        values = head.headers
        host = values.get(b"host")
        try:
            target = read_target(head.target, () if host is None else (host,))
        except BadTarget as error:
            return BadRequest(error.status, str(error))
        if target.path == "/ready" or target.path.startswith("/ready/"):
            return None
        if not head.target.startswith(b"/"):
            # An origin server is sent the path only, not the absolute form (RFC 9112 section 3.2.1).
            head.target = b"/" + head.target.partition(b"://")[2].partition(b"/")[2]
        if self.only_service:
            return self.registry.pools[self.only_service]
        headers = {
            name: head.header(name.encode("latin-1")).decode("latin-1") for name in self.table.header_names
        }
        cls = values.get(b"x-qos", b"").decode("latin-1")
        found = self.table.find(RouteRequest(target, head.method.decode("latin-1"), cls, headers))
        if isinstance(found, NoRoute):
            return BadRequest(found.status, found.reason)
        assert isinstance(found, Route)
        return self.registry.pools[found.service]

    def make_call(self, head: Head, answer: Callable[[Answer], None]) -> Call | Answer:
        return make_call(head, answer, self._answer_ready)

    def _answer_ready(self, head: Head) -> Answer:
        if head.method != b"GET":
            raise BadRequest(405, "only GET asks whether the sidecar is ready")
        name = head.target.partition(b"?")[0].rpartition(b"/ready")[2].strip(b"/").decode("latin-1")
        pools = self.registry.pools
        if name and name not in pools:
            raise BadRequest(404, "no such service")
        asked = [pools[name]] if name else list(pools.values())
        ready = any(pool.driver.ready for pool in asked) and self.registry.lifecycle.accepts_clients()
        return text_answer(200 if ready else REFUSED, "\n".join(pool.status() for pool in asked))
