"""Protocols of the objects that a caller's connection works with."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from millgw.http.message import Answer
from millgw.http.request import Head
from millgw.pool.call import Call

if TYPE_CHECKING:
    from millgw.callers.connection import CallerConnection


class Front(Protocol):
    """Assigns requests to pools and turns them into calls."""

    def assign_pool(self, head: Head) -> None:
        """Once the headers are read, set the request's pool, or why it has none (`bad_request`) or is
        refused.
        """

    def make_call(self, head: Head, answer: Callable[[Answer], None]) -> Call | Answer:
        """The call made from a request, or the answer to one that needs no endpoint.

        Raises BadRequest for a request that is unacceptable.
        """


class TurnScheduler(Protocol):
    """Schedules the parsing of callers' connections, by lanes where several pools share one CPU core."""

    def contended(self) -> bool:
        """Whether what was read has to wait for a turn."""

    def wait(self, lane: str, connection: CallerConnection) -> None:
        """Call the connection's `turn` when it is its lane's turn."""

    def wait_again(self, lane: str, connection: CallerConnection) -> None:
        """The same, for a connection that has just had a turn and did not come to an end."""


class ListeningServer(Protocol):
    """The server that accepted a connection, as far as the connection uses it."""

    loop: asyncio.AbstractEventLoop
    front: Front
    turns: TurnScheduler
    buffer: bytearray
    turn_buffer: bytearray
    connections: set[CallerConnection]
    newly_connected: dict[CallerConnection, None]
    between_requests: dict[CallerConnection, None]

    @property
    def stopping(self) -> bool: ...

    def mark_busy(self, connection: CallerConnection) -> None: ...

    def connection_closed(self, connection: CallerConnection) -> None: ...
