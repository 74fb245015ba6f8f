"""Listening server for callers: accepts connections, bounds their number, closes idle and stalled ones.

A connection without an open request may be closed, but never while an unread request waits in its socket. A
connection whose request was accepted is never closed before the answer, unless its client stops reading.
"""

from __future__ import annotations

import asyncio
import math
import socket
import time
from contextlib import suppress
from typing import cast

from millgw.callers.connection import MAX_TURN, CallerConnection
from millgw.callers.connection_log import (
    CAUSE_DRAINING,
    CAUSE_EVICTED,
    CAUSE_IDLE,
    CAUSE_NO_REQUEST,
    CAUSE_STALLED,
    client_address,
    log_closed,
)
from millgw.callers.interface import Front, TurnScheduler
from millgw.callers.lifecycle import Lifecycle
from millgw.callers.parse_turns import ParseTurns
from millgw.callers.write_time import RECEIVE_BUFFER
from millgw.http.message import REFUSED
from millgw.http.request import BadRequest
from millgw.log.events import log_event
from millgw.platform.config import Address
from millgw.platform.descriptors import Descriptors

FIRST_REQUEST_TIMEOUT = 2.2  # s after connecting in which a first request must begin
IDLE_TIMEOUT = 10.0  # s after which a connection idle between requests is closed
BACKLOG = 2048
ACCEPT_BATCH = 16  # connections accepted per event loop iteration, so that open ones are served in between
ACCEPT_RETRY_DELAY = 0.05  # s before accept is tried again after a failure, unless a connection ends before
MIN_IDLE = 0.5  # s between requests before a connection may be evicted: its client may be about to use it
CONNECT_GRACE = 0.1  # s for which a new connection is not evicted: its client is about to send a request
READ_SIZE = 16 * 1024  # bytes per read
SWEEP_INTERVAL = 0.2  # s between two checks for connections that have timed out


def accept(listener: socket.socket) -> socket.socket:
    connection, _ = listener.accept()
    connection.setblocking(False)
    return connection


def share_address(listener: socket.socket) -> None:
    """Let another process of this user listen at the address too: the successor in a hot restart."""
    with suppress(OSError):  # a system without SO_REUSEPORT has no hot restarts
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)


def limit_receive_buffer(listener: socket.socket) -> None:
    """Limit what the kernel receives ahead on each connection: it is memory, and hides the client's end."""
    with suppress(OSError):  # a system that does not let it be set
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)


class Server:
    """A listening socket and its connections. `front` assigns their requests to pools.

    `turns` is given where several pools share a CPU core; connections of a lane that holds more than its
    share are then evicted first.
    """

    def __init__(
        self,
        listen: Address,
        descriptors: Descriptors,
        front: Front,
        life: Lifecycle,
        turns: TurnScheduler | None = None,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.descriptors = descriptors
        self.front = front
        self.lifecycle = life
        self.turns = ParseTurns() if turns is None else turns
        self.lane_shares: dict[
            str, float
        ] = {}  # the share of connections of each lane, where there are several
        self.connections: set[CallerConnection] = set()
        self.newly_connected: dict[CallerConnection, None] = {}  # before their first request, oldest first
        self.between_requests: dict[CallerConnection, None] = {}  # between requests, longest idle first
        self.accepting: set[asyncio.Task[object]] = set()
        # Shared: each read is copied out before the next.
        self.buffer = bytearray(READ_SIZE)
        self.turn_buffer = bytearray(MAX_TURN)
        self.accept_retry: asyncio.TimerHandle | None = None
        self.backlog_since = math.inf  # s, since when connections may have waited in the backlog
        self.closed = False
        family = socket.AF_INET6 if ":" in listen.host else socket.AF_INET
        self.socket = socket.socket(family, socket.SOCK_STREAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        share_address(self.socket)
        limit_receive_buffer(self.socket)
        self.socket.setblocking(False)
        self.socket.bind((listen.host, listen.port))

    @property
    def stopping(self) -> bool:
        """Whether every answer closes its connection."""
        return self.closed or self.lifecycle.answers_close

    def start(self) -> None:
        self.socket.listen(BACKLOG)
        self.loop.add_reader(self.socket, self._accept)
        self.loop.call_later(SWEEP_INTERVAL, self._sweep)

    def refuse_incomplete(self) -> None:
        """Refuse requests that are only partly received, because the process is about to end.

        Otherwise the last byte of one could arrive during the shutdown, and the request would be accepted.
        """
        for connection in [c for c in self.connections if c.partly_received]:
            connection.refuse(BadRequest(REFUSED, "the sidecar is about to end"))

    # Accepting

    def _accept(self, most: int = ACCEPT_BATCH, last: bool = False) -> bool:
        """Accept up to `most` connections from the backlog; True once it is empty.

        With `last` the bound on connections is ignored: those left in the backlog would be reset.
        """
        for _ in range(most):
            if not last and self.descriptors.callers_full() and not self.evict_one():
                # Further connections stay in the backlog: the process would run out of descriptors.
                self._end_slow()
                self._pause_accepting()
                return False
            try:
                connection = accept(self.socket)
            except BlockingIOError:
                self.backlog_since = math.inf
                return True
            except ConnectionAbortedError as error:
                log_event("accept-failed", cause=error)  # only that client has disconnected
                continue
            except OSError as error:
                log_event("accept-failed", cause=error)
                self._pause_accepting()
                return False
            task = self.loop.create_task(self._make_connection(connection, self.backlog_since))
            self.accepting.add(task)
            task.add_done_callback(self.accepting.discard)
        self.backlog_since = min(self.backlog_since, time.monotonic())  # more connections may wait
        return False

    async def _make_connection(self, connection: socket.socket, unread_since: float) -> None:
        try:
            protocol = cast(asyncio.Protocol, CallerConnection(self, unread_since))
            await self.loop.connect_accepted_socket(lambda: protocol, connection)
        except OSError as error:
            log_event("caller-lost", cause=error)

    def _pause_accepting(self) -> None:
        self.loop.remove_reader(self.socket)
        self.backlog_since = min(self.backlog_since, time.monotonic())
        if self.accept_retry is None:
            self.accept_retry = self.loop.call_later(ACCEPT_RETRY_DELAY, self._resume_accepting)

    def _resume_accepting(self) -> None:
        if self.accept_retry is not None and not self.closed:
            self.accept_retry.cancel()
            self.accept_retry = None
            self.loop.add_reader(self.socket, self._accept)

    def descriptors_in_use(self) -> int:
        """Number of descriptors that callers' connections use."""
        return len(self.connections) + len(self.accepting)

    def evict_one(self) -> bool:
        """Evict one connection without an open request; False if there is none.

        The order: idle ones of a lane above its share, those before their first request, those between
        requests.
        """
        if self.lane_shares and self._evict_from_large_lane():
            return True
        for connections, min_idle in (
            (self.newly_connected, CONNECT_GRACE),
            (self.between_requests, MIN_IDLE),
        ):
            for connection in connections:
                if connection.close_if_idle(min_idle, CAUSE_EVICTED):
                    return True
        return False

    def _end_slow(self) -> None:
        """End up to `ACCEPT_BATCH` connections whose requests arrive slowly, to make room."""
        now, ended = time.monotonic(), 0
        for connection in list(self.connections):
            ended += connection.end_slow(now)
            if ended == ACCEPT_BATCH:
                return

    def _evict_from_large_lane(self) -> bool:
        counts: dict[str, int] = {}
        for connection in self.connections:
            counts[connection.lane] = counts.get(connection.lane, 0) + 1
        for kept in self.between_requests:
            share = self.lane_shares.get(kept.lane)
            large = share is not None and counts[kept.lane] > share
            if large and kept.close_if_idle(0.0, CAUSE_EVICTED):
                return True
        return False

    def connection_closed(self, connection: CallerConnection) -> None:
        self.connections.discard(connection)
        self.mark_busy(connection)
        self._resume_accepting()

    def mark_busy(self, connection: CallerConnection) -> None:
        self.newly_connected.pop(connection, None)
        self.between_requests.pop(connection, None)

    def _sweep(self) -> None:
        """Close connections that have timed out.

        Otherwise clients that send nothing, or never complete a request, would hold descriptors for ever.
        """
        now = time.monotonic()
        for connection in list(self.connections):
            connection.end_overdue(now)
        for connection in [c for c in self.connections if c.write_stalled(now)]:
            age, quiet = now - connection.opened, now - connection.progress.last_received
            log_closed(
                client_address(connection.transport),
                CAUSE_STALLED,
                connection.core.requests_begun,
                age,
                quiet,
            )
            connection.abort()
        for connection in [c for c in self.connections if c.paused]:
            connection.check_client_gone()
        self._close_those_idle(self.newly_connected, FIRST_REQUEST_TIMEOUT, CAUSE_NO_REQUEST)
        self._close_those_idle(self.between_requests, IDLE_TIMEOUT, CAUSE_IDLE)
        if self.lifecycle.closes_idle(now):
            self.close_idle()
        self.loop.call_later(SWEEP_INTERVAL, self._sweep)

    @staticmethod
    def _close_those_idle(connections: dict[CallerConnection, None], min_idle: float, cause: str) -> None:
        for connection in list(connections):
            connection.close_if_idle(min_idle, cause)

    # Stopping

    def stop(self) -> None:
        """Accept the whole backlog, then close the listener: that resets connections left in the backlog.

        If accept fails because the system lacks resources, the listener stays open and this is retried.
        """
        if self.closed:
            return
        if not self._accept(BACKLOG, last=True):
            self.loop.call_later(ACCEPT_RETRY_DELAY, self.stop)
            return
        self.closed = True
        self.loop.remove_reader(self.socket)
        self.socket.close()

    def close_idle(self) -> None:
        self._close_those_idle(self.newly_connected, CONNECT_GRACE, CAUSE_DRAINING)
        self._close_those_idle(self.between_requests, CONNECT_GRACE, CAUSE_DRAINING)
