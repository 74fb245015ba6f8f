"""Fair turns for the callers' connections of a sidecar with one pool.

A read is parsed at once while nothing waits. Whatever is more than one turn's bytes waits behind the
connections that have had no turn yet, so that one client, or hundreds of them, that send more than can be
parsed delay a small request of another one by little.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import Protocol

TIME_SLICE = 0.001  # s per loop iteration for turns, before connections are read again


class WaitingConnection(Protocol):
    """A caller's connection with bytes to parse."""

    def turn(self) -> None: ...


class ParseTurns:
    """Schedules the connections that wait to be parsed: first turns and further ones alternate."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.first: deque[WaitingConnection] = deque()
        self.further: deque[WaitingConnection] = deque()
        self.scheduled = False
        self.first_is_next = True

    def contended(self) -> bool:
        """Whether connections wait, so that another one has to wait as well."""
        return self.scheduled

    def wait(self, lane: str, connection: WaitingConnection) -> None:
        """Call the connection's `turn` soon: it has had none for the bytes it has."""
        self.first.append(connection)
        self._schedule()

    def wait_again(self, lane: str, connection: WaitingConnection) -> None:
        """Call the connection's `turn` later: it has had one, and bytes are left."""
        self.further.append(connection)
        self._schedule()

    def _schedule(self) -> None:
        if not self.scheduled:
            self.scheduled = True
            self.loop.call_soon(self._run)

    def _next(self) -> WaitingConnection:
        self.first_is_next = not self.first_is_next
        if self.first and (self.first_is_next or not self.further):
            return self.first.popleft()
        return self.further.popleft() if self.further else self.first.popleft()

    def _run(self) -> None:
        self.scheduled = False
        end = time.monotonic() + TIME_SLICE
        while self.first or self.further:
            self._next().turn()
            if time.monotonic() >= end:
                break
        if self.first or self.further:
            self._schedule()
