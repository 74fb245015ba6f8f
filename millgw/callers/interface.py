"""What a caller's connection needs of what stands round it."""

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
    """Whose a request is, and what becomes of it."""

    def gate(self, head: Head) -> None:
        """Say, once the headers have ended, whose a request is, or that it is nobody's or refused."""

    def read(self, head: Head, answer: Callable[[Answer], None]) -> Call | Answer:
        """The call that a whole request makes, or the answer to one that needs no endpoint."""


class Lanes(Protocol):
    """Whose turn it is to be worked on, where several pools share the core."""

    def wait(self, lane: str, connection: CallerConnection) -> None:
        """Call the connection's `turn` when its lane's has come."""


class Listening(Protocol):
    """What a connection needs of the server that accepted it."""

    loop: asyncio.AbstractEventLoop
    front: Front
    lanes: Lanes | None
    buffer: bytearray
    connections: set[CallerConnection]
    fresh: dict[CallerConnection, None]
    kept: dict[CallerConnection, None]

    @property
    def stopping(self) -> bool: ...

    def busy(self, connection: CallerConnection) -> None: ...

    def left(self, connection: CallerConnection) -> None: ...
