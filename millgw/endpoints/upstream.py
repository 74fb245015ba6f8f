"""Connection pool of one service's endpoints: reuses, opens and closes connections."""

from __future__ import annotations

import asyncio
import errno
import math
import time
from collections.abc import Callable
from functools import partial
from typing import Protocol, cast

from millgw.endpoints.attempt import CONNECTING, Attempt
from millgw.endpoints.connection import Connection, Lanes
from millgw.endpoints.hold_policy import DISTRUST_TIME, SETTLE_TIME
from millgw.endpoints.host import Host
from millgw.http.message import EMPTY_CONTENT
from millgw.interface import Outcome, Repeat
from millgw.log.events import BoundLogger
from millgw.platform.config import Address
from millgw.streams.limiter import READ_SIZE, StreamLimiter

ANSWER_MEMORY_SHARE = 1 / 32  # of the memory, for one answer's body: answers of up to 400 kB were observed
ALL_ANSWERS_MEMORY_SHARE = 1 / 8  # of the memory, for all incomplete answers
# Share of an endpoint's idle timeout after which a connection is not reused, as it may be closing.
REUSE_IDLE_SHARE = 0.5
SWEEP_INTERVAL = 1.0  # s between two searches for connections that were idle for too long
# Share of the connect timeout after which a connect is late: a handshake takes far less.
LATE_CONNECT_SHARE = 0.2


LOCAL_FAILURES = frozenset(
    {
        errno.EADDRNOTAVAIL, errno.EMFILE, errno.ENETDOWN, errno.ENETUNREACH, errno.ENFILE, errno.ENOBUFS,
        errno.ENOMEM,
    }
)  # fmt: skip
"""Errors for which this machine can't open connections at all: they say nothing about the endpoint."""


class DescriptorLimiter(Protocol):
    """The limit of file descriptors, shared with the other users of them."""

    endpoints: Callable[[], int]  # how many descriptors the upstream uses; the upstream sets it

    def full(self) -> bool: ...

    def make(self) -> bool:
        """Free a descriptor that is needed less elsewhere; returns whether there was one."""


class ConnectionManager(Protocol):
    """Configurable connection management, which replaces the default: see `millgw.connections.manager`.

    If it is set, it chooses which connections are reused, kept, opened and closed.
    """

    def send(self, endpoint: int, host: Host, attempt: Attempt, now: float) -> None: ...

    def again(self, connection: Connection, attempt: Attempt) -> None: ...

    def up(self, connection: Connection) -> None: ...

    def tried(self, host: Host, missed: bool) -> None: ...

    def keep(self, connection: Connection) -> None: ...

    def lost(self, connection: Connection, idle: bool) -> None: ...

    def doubt(self, host: Host) -> None: ...

    def close(self, host: Host) -> None: ...

    def stop(self) -> None: ...

    def figures(self) -> dict[str, object]:
        """Counts of connection events, for the log."""


def choose_idle(idle: list[Connection], repeat: Repeat, now: float) -> int | None:
    """Index of the idle connection for a request: the most recently used that has been idle for
    `SETTLE_TIME`, and if there is none, the most recently used. None if no connection may carry it.

    Connections that are in step are left to unsafe requests, as far as there are any that are not.
    `idle` is ordered by last use, the most recent at the end.
    """
    preferred: int | None = None  # the latest of those that unsafe requests may not use
    settled: int | None = None
    latest: int | None = None
    for at in range(len(idle) - 1, -1, -1):
        connection = idle[at]
        if repeat is not Repeat.SAFE and not connection.may_carry(repeat, now):
            continue
        has_settled = connection.idle_since <= now - SETTLE_TIME
        is_preferred = repeat is Repeat.UNSAFE or not connection.in_step
        if is_preferred and has_settled:
            return at
        if is_preferred and preferred is None:
            preferred = at
        if has_settled and settled is None:
            settled = at
        if latest is None:
            latest = at
    return next((at for at in (preferred, settled, latest) if at is not None), None)


class Upstream:
    """All connections to endpoints, by endpoint. `answer_bytes_limit` limits the bytes of incomplete answers.

    `lanes` is set where several pools share one CPU core: the handling of answers then waits for the turn
    of `lane`.
    """

    def __init__(
        self,
        descriptors: DescriptorLimiter,
        connect_timeout: float,
        idle_timeout: float,
        memory: float,
        answer_bytes_limit: Callable[[], int] | None = None,
        lanes: Lanes | None = None,
        lane: str = "",
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.lanes = lanes
        self.lane = lane
        self.log = BoundLogger(service=lane) if lane else BoundLogger()
        self.descriptors = descriptors
        self.descriptors.endpoints = self.descriptors_in_use
        self.reconfigure(connect_timeout, idle_timeout)
        self.hosts: dict[int, Host] = {}
        # Shared by all connections: each read is copied out before the next.
        self.buffer = bytearray(READ_SIZE)
        self.streams = StreamLimiter(memory)
        self.open = 0
        self.max_answer_body = int(ANSWER_MEMORY_SHARE * memory)
        self.default_answer_bytes_limit = int(ALL_ANSWERS_MEMORY_SHARE * memory)
        self.get_answer_bytes_limit = answer_bytes_limit
        self.answer_bytes = 0  # bytes of incomplete answers
        self.stray_bytes_until = 0.0  # ms, monotonic; until then more bytes are expected behind answers here
        self.sends = 0
        self.written = 0  # attempts whose last byte the kernel has taken
        self.held_back = 0  # sends whose last byte was held back
        self.connect_tasks: set[asyncio.Task[Outcome | None]] = set()
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL, self._sweep)
        self.manager: ConnectionManager | None = None

    def reconfigure(self, connect_timeout: float, idle_timeout: float) -> None:
        """Set the timeout (ms) of connects and the time (ms) after which endpoints close idle connections."""
        self.connect_timeout = connect_timeout / 1000
        self.max_idle_ms = REUSE_IDLE_SHARE * idle_timeout  # ms

    def use_manager(self, manager: ConnectionManager) -> None:
        """Let `manager` choose which connections are reused, kept and opened."""
        self.sweep_timer.cancel()
        self.manager = manager

    def descriptors_in_use(self) -> int:
        """How many file descriptors are in use."""
        return self.open + len(self.connect_tasks)

    def answer_bytes_limit(self) -> int:
        return (
            self.default_answer_bytes_limit
            if self.get_answer_bytes_limit is None
            else self.get_answer_bytes_limit()
        )

    def set_address(
        self, endpoint: int, address: Address, started_at: float = 0.0, near: bool = False
    ) -> Host | None:
        """Use this address for the endpoint from now on; returns the previous host if it is a different one.

        An endpoint with another start time gets a new host even at the same address: if a machine failed
        silently and is back, requests on connections kept from before would end as resets. `near` tells
        whether the endpoint is in the sidecar's zone.
        """
        host = self.hosts.get(endpoint)
        if host is not None and host.address == address and host.started_at == started_at:
            host.near = near
            return None
        self.hosts[endpoint] = Host(address, started_at, near)
        return host

    def remove(self, endpoint: int) -> Host | None:
        """Send nothing more to this endpoint; returns its host."""
        return self.hosts.pop(endpoint, None)

    def close(self, host: Host) -> None:
        """Close a removed host's idle connections, and fail the attempts that are still connecting to it.

        An attempt that is still connecting when its endpoint drains could otherwise be written after the
        drain's grace. Attempts that are written go on.
        """
        host.in_use = False
        self._close_idle(host)
        for attempt in list(host.connecting):
            del host.connecting[attempt]
            attempt.cancel_connects()
            attempt.end(Outcome.CONNECT_FAILED, EMPTY_CONTENT)
        if self.manager is not None:
            self.manager.close(host)

    def connection_times(self, endpoint: int) -> tuple[float, float, float, float] | None:
        """Times (ms, monotonic) of an endpoint's connections, None if the endpoint is not in use.

        These are: when a kept connection last had an answer, when the oldest of them was opened, when the
        endpoint last closed or reset a connection, and when a connect last failed.
        """
        host = self.hosts.get(endpoint)
        if host is None:
            return None
        answered = max([c.idle_since for c in host.idle], default=-math.inf)
        opened = min([c.opened_at for c in host.idle], default=math.inf)
        return answered, opened, host.last_broken, host.last_connect_failure

    def close_kept(self, endpoint: int) -> None:
        """Close an endpoint's kept connections after an attempt there got no answer.

        If its machine has failed silently, a request on an open connection only times out and may have run,
        whereas a failed connect soon proves that nothing ran.
        """
        host = self.hosts.get(endpoint)
        if host is not None:
            self._close_idle(host)
            if self.manager is not None:
                self.manager.doubt(host)

    def _close_idle(self, host: Host) -> None:
        for connection in host.idle:
            connection.abort()
        host.idle.clear()

    def send(self, endpoint: int, attempt: Attempt) -> None:
        host = self.hosts.get(endpoint)
        if host is None:
            attempt.end(Outcome.NOT_SENT, EMPTY_CONTENT)
            return
        self.sends += 1
        now = time.monotonic() * 1000
        if self.manager is not None:
            self.manager.send(endpoint, host, attempt, now)
            return
        connection = self._take_idle(host, attempt.repeat, now)
        if connection is not None:
            connection.send(attempt, now)
        else:
            self.connect(host, attempt)

    def _take_idle(self, host: Host, repeat: Repeat, now: float) -> Connection | None:
        """Take a usable connection for a request out of the kept ones; None if there is none."""
        while (at := choose_idle(host.idle, repeat, now)) is not None:
            connection = host.idle.pop(at)
            # A request on a connection that the endpoint is about to close, as its own idle timeout ends,
            # fails as a reset and may have run.
            if connection.idle_since > now - self.max_idle_ms and connection.usable():
                return connection
            connection.abort()
        return None

    def note_stray_bytes(self) -> None:
        """Note that bytes came behind an answer, while no request was outstanding: more are expected."""
        self.stray_bytes_until = time.monotonic() * 1000 + DISTRUST_TIME

    def resend(self, connection: Connection, attempt: Attempt) -> None:
        """Send an attempt that has not run on another connection, as its own is dead."""
        if self.manager is not None:
            self.manager.again(connection, attempt)
        else:
            self.connect(connection.host, attempt)

    def connect(self, host: Host, attempt: Attempt) -> bool:
        """Send the attempt on a new connection; returns whether one is being opened."""
        if not host.in_use:
            attempt.end(Outcome.CONNECT_FAILED, EMPTY_CONTENT)
            return False
        if self.descriptors.full() and not (self.close_oldest_idle() or self.descriptors.make()):
            self.log.log_event("no-descriptor", endpoint=host.address)
            attempt.end(Outcome.NOT_SENT, EMPTY_CONTENT)
            return False
        host.connecting[attempt] = None
        attempt.connect_tasks += (self._start_connect(host, attempt),)
        if self.manager is None:
            self.loop.call_later(
                LATE_CONNECT_SHARE * self.connect_timeout, self._connect_again, host, attempt
            )
        return True

    def _connect_again(self, host: Host, attempt: Attempt) -> None:
        """Open a second connection if the first is late; the first one established carries the attempt.

        If a packet of the handshake is lost, it is sent again only after a second, which is too late for the
        attempt. There is at most one second connect per endpoint at a time, because twice the handshakes
        would make an overloaded endpoint worse.
        """
        is_waiting = (
            attempt in host.connecting and attempt.state == CONNECTING and bool(attempt.connect_tasks)
        )
        if (
            is_waiting
            and host.in_use
            and not self.descriptors.full()
            and all(len(a.connect_tasks) < 2 for a in host.connecting)
        ):
            attempt.connect_tasks += (self._start_connect(host, attempt),)

    def open_ahead(self, host: Host) -> None:
        """Open a connection that no attempt waits for."""
        self._start_connect(host, None)

    def _start_connect(self, host: Host, attempt: Attempt | None) -> asyncio.Task[Outcome | None]:
        task = self.loop.create_task(self._connect(host, attempt))
        self.connect_tasks.add(task)
        task.add_done_callback(partial(self._connect_ended, host, attempt))
        return task

    def _connect_ended(self, host: Host, attempt: Attempt | None, task: asyncio.Task[Outcome | None]) -> None:
        """Handle the end of a connect. A callback, as a task cancelled before it starts runs no `finally`."""
        self.connect_tasks.discard(task)
        failure = None if task.cancelled() or task.exception() is not None else task.result()
        if attempt is not None:
            # This also breaks a reference cycle through the task's traceback.
            attempt.connect_tasks = tuple(running for running in attempt.connect_tasks if running is not task)
            if not attempt.connect_tasks:
                host.connecting.pop(attempt, None)
                if failure is not None and attempt.state == CONNECTING:
                    attempt.end(failure, EMPTY_CONTENT)
        if self.manager is not None:
            self.manager.tried(host, failure is Outcome.CONNECT_FAILED)

    async def _connect(self, host: Host, attempt: Attempt | None) -> Outcome | None:
        """Open a connection. Returns None on success, `CONNECT_FAILED` if the endpoint could not be reached,
        and `NOT_SENT` if this machine could not open a connection.
        """
        connection = cast(asyncio.Protocol, Connection(self, host, attempt, self.max_answer_body))
        try:
            async with asyncio.timeout(self.connect_timeout):
                await self.loop.create_connection(lambda: connection, host.address.host, host.address.port)
        except OSError as error:
            if error.errno in LOCAL_FAILURES:
                self.log.log_event("connect-not-made", endpoint=host.address, cause=error)
                return Outcome.NOT_SENT
            host.last_connect_failure = host.last_broken = time.monotonic() * 1000  # refused or timed out
            return Outcome.CONNECT_FAILED
        return None

    def connected(self, connection: Connection) -> None:
        if self.manager is not None:
            self.manager.up(connection)
        elif connection.attempt is None:
            connection.host.idle.append(connection)

    def keep(self, connection: Connection) -> None:
        """Keep a connection for the next attempt, unless its endpoint is no longer in use."""
        if self.manager is not None:
            self.manager.keep(connection)
        elif connection.host.in_use:
            connection.host.idle.append(connection)
            if connection.host.connecting:
                # Later, because a request caused by the answer comes first and may reuse this connection.
                self.loop.call_soon(self._serve_waiting, connection.host)
        else:
            connection.abort()

    def _serve_waiting(self, host: Host) -> None:
        """Send attempts that wait for a connect on connections that were returned meanwhile."""
        for attempt in [a for a in host.connecting if a.state == CONNECTING]:
            connection = self._take_idle(host, attempt.repeat, time.monotonic() * 1000)
            if connection is None:
                continue
            del host.connecting[attempt]
            connection.send(attempt, time.monotonic() * 1000)

    def lost(self, connection: Connection) -> None:
        self.open -= 1
        idle = connection in connection.host.idle
        if idle:
            connection.host.idle.remove(connection)
        if self.manager is not None:
            self.manager.lost(connection, idle)

    def close_oldest_idle(self) -> bool:
        """Close the connection that was idle for longest; returns whether there was one."""
        oldest: Connection | None = None
        for host in self.hosts.values():
            if host.idle and (oldest is None or host.idle[0].idle_since < oldest.idle_since):
                oldest = host.idle[0]
        if oldest is None:
            return False
        oldest.host.idle.remove(oldest)
        oldest.abort()
        return True

    def _sweep(self) -> None:
        oldest = time.monotonic() * 1000 - self.max_idle_ms
        for host in self.hosts.values():
            for connection in [c for c in host.idle if c.idle_since <= oldest]:
                host.idle.remove(connection)
                connection.abort()
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL, self._sweep)

    def stop(self) -> None:
        """Stop the timers; called when no connection is needed any more."""
        self.sweep_timer.cancel()
        if self.manager is not None:
            self.manager.stop()
