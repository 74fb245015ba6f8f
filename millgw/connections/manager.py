"""Manages the connections to one pool's endpoints: carries out the decisions of the endpoint policies.

It works beside the pool's `Upstream`, which holds the sockets and reports all their events. It decides
nothing about calls: an attempt that gets no connection ends with an outcome that proves that it never ran,
and the decision module continues from there.
"""

from __future__ import annotations

import asyncio
import math
import random
import time
from collections.abc import Sequence
from dataclasses import replace
from typing import Protocol

from millgw.connections.cold_filter import ColdEndpointFilter
from millgw.connections.counts import ConnectionCounts
from millgw.connections.endpoint_policy import ConnectionRecord, EndpointPolicy, GiveUp, Opening
from millgw.connections.handshake_turns import InstancePosition
from millgw.connections.reachability import DOWN, panic_mode
from millgw.connections.settings import ConnectionSettings, Proving
from millgw.endpoints.attempt import WRITTEN, Attempt
from millgw.endpoints.connection import Connection
from millgw.endpoints.host import Host
from millgw.endpoints.upstream import Upstream
from millgw.http.message import EMPTY_CONTENT
from millgw.interface import Endpoint, ListKind, Outcome, Repeat

TICK_S = 0.25  # interval of the regular check of all connections
FAST_TICK_S = 0.05  # with cold or unreachable endpoints: shorter than a handshake turn is valid
WAITING_TICK_S = 0.01  # while calls wait for a connection
AHEAD_BUDGET_SHARE = 0.75  # of the budget of descriptors: no connection is opened ahead of need beyond it
MIN_IDLE_PER_ENDPOINT = 2  # idle connections allowed, however many endpoints share the descriptors


class PoolView(Protocol):
    """What the pool knows of its endpoints. Times are on the clock of `Endpoint.started_at`."""

    def now(self) -> float: ...

    def cold_since(self, endpoint: int) -> tuple[float, bool]:
        """Since when an endpoint is cold (0: not cold, or unreachable), and whether that start was listed."""

    def descriptor_budget(self) -> int:
        """How many descriptors the pool may use for connections to endpoints without taking others' ones."""

    def replace_list(self, endpoints: tuple[Endpoint, ...]) -> None:
        """Pass the whole list to the module, including endpoints that were hidden so far."""


class HostState:
    """State of one host: its policy, and attempts that wait for a connection, each until a time (ms)."""

    __slots__ = ("endpoint", "host", "policy", "serve_scheduled", "waiting")

    def __init__(self, endpoint: int, host: Host, policy: EndpointPolicy) -> None:
        self.endpoint = endpoint
        self.host = host
        self.policy = policy
        self.waiting: dict[Attempt, float] = {}  # the longest wait first
        self.serve_scheduled = False  # `_serve_waiting` is scheduled


class ConnectionManager:
    """Connections of one pool. `promised_idle` (ms) is how long endpoints promise to keep an idle one."""

    def __init__(
        self,
        upstream: Upstream,
        terms: ConnectionSettings,
        position: InstancePosition,
        promised_idle: float,
        seed: int,
        pool_view: PoolView,
    ) -> None:
        self.upstream = upstream
        self.terms = terms
        self.position = position
        self.promised_idle = promised_idle
        self.pool_view = pool_view
        self.rng = random.Random(f"connections {seed}")
        self.counts = ConnectionCounts()
        self.states: dict[Host, HostState] = {}
        self.records: dict[Connection, ConnectionRecord] = {}
        self.busy: set[Connection] = set()  # connections that carry a request
        self.opening = 0
        self.cold_filter = ColdEndpointFilter(position.cold_time)
        self.loop = asyncio.get_running_loop()
        self.timer: asyncio.TimerHandle | None = None
        self.tick_at = 0.0
        self.stopped = False
        self._schedule_tick(TICK_S)

    # Events reported by the upstream

    def send(self, endpoint: int, host: Host, attempt: Attempt, now: float) -> None:
        """Send an attempt to an endpoint: on an idle connection, on a new one, or after waiting for one."""
        state = self._state_of(endpoint, host)
        state.policy.request_sent(now)
        if not state.waiting and self._send_on_idle(state, attempt, now):
            self._open_ahead(state, now)
            return
        self._enqueue(state, attempt, now)
        self._serve_waiting(state)

    def again(self, connection: Connection, attempt: Attempt) -> None:
        """The connection of an attempt is dead, and the attempt has not run: move it to another one."""
        now, host = time.monotonic() * 1000, connection.host
        self.counts.moved(attempt.repeat)
        record = self._forget(connection)
        state = self.states.get(host)
        if state is None or not host.in_use:
            attempt.end(Outcome.CONNECT_FAILED, EMPTY_CONTENT)
            return
        if record is not None:
            state.policy.found_dead(now, record)
        self._enqueue(state, attempt, now)
        self._schedule_serve(state)

    def up(self, connection: Connection) -> None:
        """A connection was established, for an attempt or ahead of need."""
        state = self.states.get(connection.host)
        if state is None:
            return
        now = time.monotonic() * 1000
        self.records[connection] = state.policy.connected(now)
        state.policy.handshake_succeeded(self.pool_view.now())
        self.counts.opened(connection.attempt is None)
        if connection.attempt is not None:
            self._mark_busy(state, connection)
        elif connection.host.in_use:
            connection.host.idle.append(connection)
        self._schedule_serve(state)
        if self.cold_filter.connected(state.endpoint):
            self.pool_view.replace_list(self.cold_filter.shown_list())

    def tried(self, host: Host, missed: bool) -> None:
        """A handshake has ended: it succeeded, failed (`missed`), or was no longer wanted."""
        self.opening -= 1
        state = self.states.get(host)
        if state is None:
            return
        state.policy.opening -= 1
        if missed:
            self.counts.handshake_failed()
            state.policy.handshake_failed(time.monotonic() * 1000)
            self._schedule_tick(FAST_TICK_S)
        self._schedule_serve(state)

    def keep(self, connection: Connection) -> None:
        """The answer on a connection is complete, and the connection may be reused."""
        host, now = connection.host, time.monotonic() * 1000
        state, record = self.states.get(host), self.records.get(connection)
        if state is None or record is None or not host.in_use:
            connection.abort()
            return
        self._mark_idle(state, connection)
        state.policy.answered(now, record)
        reason = state.policy.give_up_reason(now, record)
        if reason is not None:
            self.counts.given_up(reason)
            connection.abort()
            return
        host.idle.append(connection)
        self._schedule_tick(max(WAITING_TICK_S, (state.policy.expires_at(now, record) - now) / 1000))
        if state.waiting:
            self._schedule_serve(state)
        elif not state.policy.may_keep_idle(now, len(host.idle) - 1, self._max_idle()):
            self._give_up_surplus(state)

    def lost(self, connection: Connection, idle: bool) -> None:
        """A connection has ended; `idle` is set if the other side closed it while idle."""
        state = self.states.get(connection.host)
        attempt = connection.attempt
        record = self._forget(connection)
        if state is None or record is None:
            return
        now = time.monotonic() * 1000
        if idle:
            self.counts.closed_while_idle()
            state.policy.closed_while_idle(now, record)
        elif attempt is not None:
            state.policy.reachability.mark_unproven()
            if attempt.state == WRITTEN and connection.reused:
                self.counts.failed_on_reuse(attempt.repeat)
            if attempt.state != WRITTEN or connection.reused:
                state.policy.found_dead(now, record)
        if state.waiting:
            self._schedule_serve(state)

    def doubt(self, host: Host) -> None:
        """An attempt to the host got no answer."""
        state = self.states.get(host)
        if state is not None:
            state.policy.reachability.mark_unproven()

    def close(self, host: Host) -> None:
        """A host is no longer in use; its waiting attempts have already been ended."""
        state = self.states.pop(host, None)
        if state is not None:
            state.waiting.clear()

    def proof(self, connection: Connection, now: float) -> float:
        """How long (ms) the last byte of a request may wait for an acknowledgement of the rest.

        0 if the short wait for a reset is enough.
        """
        if self.terms.prove is not Proving.ACK or now - connection.idle_since < self.terms.silent_after:
            return 0.0
        return self.terms.prove_most

    def change(self, terms: ConnectionSettings) -> None:
        """Apply other settings; what was learned is kept."""
        self.terms = terms
        for state in self.states.values():
            state.policy.change(terms, self.promised_idle)
        self._schedule_tick(0.0)

    def set_position(self, position: InstancePosition, promised_idle: float) -> None:
        """Apply another position among the siblings and another idle timeout promised by the endpoints."""
        if (position, promised_idle) == (self.position, self.promised_idle):
            return
        self.promised_idle = promised_idle
        self.position = position
        self.cold_filter.cold_time = position.cold_time
        for state in self.states.values():
            state.policy.set_position(self._position_for(state.endpoint))
            self._note_cold(state)
        self.change(self.terms)

    def _position_for(self, endpoint: int) -> InstancePosition:
        return replace(self.position, index=(self.position.index + endpoint) % self.position.siblings)

    def stop(self) -> None:
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    # Used by the pool

    def filter_list(self, kind: ListKind, entries: Sequence[Endpoint]) -> tuple[Endpoint, ...]:
        """The entries of a list to pass to the module."""
        filtered = self.cold_filter.filter_list(self.pool_view.now(), kind, entries, self._connected)
        self._schedule_tick(FAST_TICK_S)
        return tuple(filtered)

    def _connected(self, endpoint: int) -> bool:
        host = self.upstream.hosts.get(endpoint)
        state = self.states.get(host) if host is not None else None
        return state is not None and state.policy.open > 0

    def figures(self) -> dict[str, object]:
        """Counts of events, of unreachable and of hidden endpoints, for the log."""
        down = sum(state.policy.reachability.state == DOWN for state in self.states.values())
        figures: dict[str, object] = {"down": down} if down else {}
        if self.cold_filter.hidden:
            figures["not_yet_shown"] = len(self.cold_filter.hidden)
        return figures | self.counts.figures()

    # Internal state

    def _state_of(self, endpoint: int, host: Host) -> HostState:
        state = self.states.get(host)
        if state is None:
            # The index is shifted by the endpoint's id, so that each sibling is first at other endpoints and
            # its turns at different endpoints are spread over time.
            policy = EndpointPolicy(self.terms, self._position_for(endpoint), self.promised_idle, self.rng)
            state = self.states[host] = HostState(endpoint, host, policy)
            self._note_cold(state)
        return state

    def _note_cold(self, state: HostState) -> None:
        since, start_shared = self.pool_view.cold_since(state.endpoint)
        if since > 0:
            state.policy.set_cold_start(since, start_shared)

    def _forget(self, connection: Connection) -> ConnectionRecord | None:
        """Remove a connection; returns its record."""
        state = self.states.get(connection.host)
        record = self.records.pop(connection, None)
        if record is not None and state is not None:
            state.policy.open -= 1
            self._mark_idle(state, connection)
        self.busy.discard(connection)
        return record

    def _mark_busy(self, state: HostState, connection: Connection) -> None:
        self.busy.add(connection)
        state.policy.busy += 1

    def _mark_idle(self, state: HostState, connection: Connection) -> None:
        if connection in self.busy:
            self.busy.discard(connection)
            state.policy.busy -= 1

    def _send_on_idle(self, state: HostState, attempt: Attempt, now: float) -> bool:
        """Send an attempt on an idle connection; returns whether a suitable one was found."""
        idle = state.host.idle
        unsafe = attempt.repeat is Repeat.UNSAFE
        while fit := [c for c in idle if c.may_carry(attempt.repeat, now)]:
            index = state.policy.choose_idle(now, unsafe, [self.records[c] for c in fit])
            if index is None:
                return False
            connection = fit[index]
            idle.remove(connection)
            if not connection.usable():
                # It has ended, but the event loop has not reported that yet.
                state.policy.found_dead(now, self.records[connection])
                connection.abort()
                continue
            self.counts.reused()
            state.policy.taken(now, self.records[connection])
            self._mark_busy(state, connection)
            connection.send(attempt, now, self.proof(connection, now))
            return True
        return False

    # Waiting attempts

    def _enqueue(self, state: HostState, attempt: Attempt, now: float) -> None:
        state.waiting[attempt] = now + self.terms.wait
        state.host.connecting[attempt] = None  # a drain ends the attempts in this table

    def _schedule_serve(self, state: HostState) -> None:
        """Serve waiting attempts in the next loop iteration, after the current event is fully handled."""
        if state.waiting and not state.serve_scheduled:
            state.serve_scheduled = True
            self.loop.call_soon(self._serve_waiting, state)

    def _serve_waiting(self, state: HostState) -> None:
        """Give each waiting attempt an idle connection, a new one, or a final outcome, as far as possible.

        An attempt may find no idle connection that it may use where one behind it does; once none is idle,
        those behind one that waits do so too.
        """
        state.serve_scheduled = False
        waited = False
        for attempt, wait_until in list(state.waiting.items()):
            if waited and not state.host.idle:
                break
            if attempt not in state.waiting:
                continue  # ended by what was done for one before it
            now = time.monotonic() * 1000
            if attempt.given_up or self._send_on_idle(state, attempt, now):
                self._dequeue(state, attempt)
            elif not waited:
                waited = self._open_or_end(state, attempt, wait_until, now)
            elif now >= wait_until:
                self._end_wait(state, attempt)
        if waited:
            self.counts.waited()
            self._schedule_tick(WAITING_TICK_S)

    def _open_or_end(self, state: HostState, attempt: Attempt, wait_until: float, now: float) -> bool:
        """Open a connection for a waiting attempt or end it; returns whether it goes on waiting."""
        opening = state.policy.may_open(
            now, self.pool_view.now(), self.opening, self._panic_mode(), self._no_descriptors()
        )
        if opening is Opening.NOW:
            self._dequeue(state, attempt)
            if self.upstream.connect(state.host, attempt):
                self._count_opening(state)
        elif opening is Opening.UNREACHABLE:
            self._dequeue(state, attempt)
            self.counts.unreachable()
            attempt.end(Outcome.CONNECT_FAILED, EMPTY_CONTENT)
        elif now >= wait_until:
            self._end_wait(state, attempt)
        else:
            if state.host.idle and state.policy.has_all_allowed():
                self._give_up_surplus(state)  # none of them may carry this attempt: its end makes room
            return True
        return False

    def _end_wait(self, state: HostState, attempt: Attempt) -> None:
        """End an attempt that has waited for too long."""
        self._dequeue(state, attempt)
        self.counts.wait_timed_out()
        attempt.end(Outcome.NOT_SENT, EMPTY_CONTENT)

    @staticmethod
    def _dequeue(state: HostState, attempt: Attempt) -> None:
        """Remove an attempt from the queue before it is ended: its end may re-enter this class at once.

        Otherwise it could be taken from the queue twice.
        """
        state.waiting.pop(attempt, None)
        state.host.connecting.pop(attempt, None)

    def _no_descriptors(self) -> bool:
        room = self.upstream.descriptors
        return room.full() and not (self.upstream.close_oldest_idle() or room.make())

    def _panic_mode(self) -> bool:
        down = sum(state.policy.reachability.state == DOWN for state in self.states.values())
        return panic_mode(down, len(self.upstream.hosts), self.terms.panic)

    # Opening and closing

    def _count_opening(self, state: HostState) -> None:
        state.policy.opening += 1
        self.opening += 1

    def _open_ahead(self, state: HostState, now: float) -> bool:
        """Open a connection if one will be needed soon, but never at the cost of one in use."""
        host = state.host
        if not host.in_use or self.upstream.descriptors.full():
            return False
        if self.upstream.descriptors_in_use() >= AHEAD_BUDGET_SHARE * self.pool_view.descriptor_budget():
            return False
        minimum = 1 if state.endpoint in self.cold_filter.hidden else 0
        if not state.policy.should_open_ahead(
            now, self.pool_view.now(), len(host.idle), self.opening, self._max_idle(), minimum
        ):
            return False
        self._count_opening(state)
        self.upstream.open_ahead(host)
        return True

    def _max_idle(self) -> int:
        return max(
            MIN_IDLE_PER_ENDPOINT,
            self.pool_view.descriptor_budget() // (2 * max(1, len(self.upstream.hosts))),
        )

    def _give_up_surplus(self, state: HostState) -> None:
        connection = state.host.idle.pop(0)
        self.counts.given_up(GiveUp.SURPLUS)
        connection.abort()

    def _schedule_tick(self, after: float) -> None:
        """Schedule the next check after so many seconds, unless an earlier one is due."""
        at = self.loop.time() + after
        if self.stopped or (self.timer is not None and self.tick_at <= at):
            return
        if self.timer is not None:
            self.timer.cancel()
        self.tick_at = at
        self.timer = self.loop.call_later(after, self._tick)

    def _tick(self) -> None:
        self.timer = None
        now = time.monotonic() * 1000
        fast = has_waiting = False
        expires = math.inf
        for endpoint, host in list(self.upstream.hosts.items()):
            state = self._state_of(endpoint, host)
            self._note_cold(state)
            for connection in list(host.idle):
                record = self.records[connection]
                reason = state.policy.give_up_reason(now, record)
                if reason is None:
                    expires = min(expires, state.policy.expires_at(now, record))
                    continue
                host.idle.remove(connection)
                state.policy.given_up(now, record, reason)
                self.counts.given_up(reason)
                connection.abort()
            while self._open_ahead(state, now):
                pass
            if state.waiting:
                self._serve_waiting(state)
            has_waiting = has_waiting or bool(state.waiting)
            turns = state.policy.turns
            fast = fast or state.policy.reachability.state == DOWN
            fast = fast or (turns is not None and turns.cold(self.pool_view.now()))
        if self.cold_filter.show_warm(self.pool_view.now()):
            self.pool_view.replace_list(self.cold_filter.shown_list())
        tick = WAITING_TICK_S if has_waiting else FAST_TICK_S if fast else TICK_S
        # Close expiring connections in time: if the other side closes first, a request may cross the close.
        self._schedule_tick(min(tick, max(WAITING_TICK_S, (expires - now) / 1000)))
