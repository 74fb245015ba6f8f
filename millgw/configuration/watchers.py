"""The open watches of one instance: which changes each is sent, and closing of watches that read too slowly.

Nothing more is sent to a watch with unsent bytes. Once they are sent, it gets all changes it missed in one
write, so the buffer of a watch holds at most one write. A watch that reads nothing for a while is closed.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

from millgw.configuration.history import History, encode_chunk

MAX_WATCHES = 2048
MAX_UNSENT = 64 * 1024 * 1024  # bytes; buffered for all slow watches together
STALL_TIMEOUT = 10.0  # s; a watch with unsent bytes for this long is closed
HEARTBEAT_INTERVAL = 2.0  # s between heartbeats (empty lines) of a watch
HEARTBEAT_GROUPS = 10  # watches are divided into groups, so that not all heartbeats are due at once
HEARTBEAT = encode_chunk(b"\n")


class TooManyWatchesError(Exception):
    """The limit of open watches is reached."""


class Channel(Protocol):
    """The connection that a watch writes to."""

    def write(self, data: bytes) -> None: ...

    def unsent(self) -> int:
        """The number of bytes that the kernel has not accepted yet."""

    def close(self) -> None:
        """Abort the connection and discard unsent bytes."""


class Watch:
    """One open watch. `position` is the newest version it was sent, or the one it asked to start after."""

    __slots__ = ("channel", "group", "name", "position", "slow_since")

    def __init__(self, channel: Channel, name: str, position: int, group: int) -> None:
        self.channel = channel
        self.name = name
        self.position = position
        self.group = group
        self.slow_since: float | None = None


class Watchers:
    """All watches of one instance. `clock` is monotonic, in seconds."""

    def __init__(self, history: History, clock: Callable[[], float], max_watches: int = MAX_WATCHES) -> None:
        self.history = history
        self.clock = clock
        self.max_watches = max_watches
        self.groups: list[dict[Watch, None]] = [{} for _ in range(HEARTBEAT_GROUPS)]
        self.slow: deque[Watch] = deque()  # the longest slow first
        self.count = 0
        self.opened = 0  # watches opened since the start
        self.closed_slow = 0  # of these, closed for reading too slowly
        self._next_group = 0
        self._largest_write = 0

    def add(self, channel: Channel, name: str, position: int) -> Watch:
        """Register a watch; `begin` sends its first line, after the head of the response."""
        if self.count >= self.max_watches:
            raise TooManyWatchesError(f"{self.max_watches} watches are open")
        group = self.opened % HEARTBEAT_GROUPS
        watch = Watch(channel, name, position, group)
        self.groups[group][watch] = None
        self.count += 1
        self.opened += 1
        return watch

    def begin(self, watch: Watch) -> None:
        """Send a new watch its first line immediately: the changes it lacks, or a heartbeat."""
        if not self.send_missing(watch):
            self._write(watch, HEARTBEAT)

    def send_missing(self, watch: Watch) -> bool:
        """Send a watch the changes it lacks; False if there are none."""
        missing = self.history.chunks_after(watch.position)
        if not missing:
            return False
        watch.position = self.history.index
        self._write(watch, missing)
        return True

    def close(self, watch: Watch) -> None:
        """Remove a watch whose connection was closed. A second call does nothing."""
        if self.groups[watch.group].pop(watch, self) is None:
            self.count -= 1
            if watch.slow_since is not None:
                watch.slow_since = None
                self.slow.remove(watch)

    def publish(self) -> None:
        """Send newly committed versions to all watches without unsent bytes."""
        for group in self.groups:
            for watch in list(group):
                if watch.slow_since is None:
                    self.send_missing(watch)

    def drained(self, watch: Watch) -> None:
        """A slow watch has no more unsent bytes."""
        if watch.slow_since is not None:
            watch.slow_since = None
            self.slow.remove(watch)
            self.send_missing(watch)

    def send_heartbeats(self) -> None:
        """Send the next group its heartbeat; called HEARTBEAT_GROUPS times per HEARTBEAT_INTERVAL."""
        self._close_stalled()
        group = self.groups[self._next_group]
        self._next_group = (self._next_group + 1) % HEARTBEAT_GROUPS
        for watch in list(group):
            if watch.slow_since is None:
                self._write(watch, HEARTBEAT)

    def close_all(self) -> None:
        """Close all watches when the instance stops."""
        for group in self.groups:
            for watch in list(group):
                self.close(watch)
                watch.channel.close()

    def _write(self, watch: Watch, data: bytes) -> None:
        self._largest_write = max(self._largest_write, len(data))
        watch.channel.write(data)
        if watch.channel.unsent():
            watch.slow_since = self.clock()
            self.slow.append(watch)
            self._limit_unsent()

    def _limit_unsent(self) -> None:
        if len(self.slow) * self._largest_write <= MAX_UNSENT:
            return
        unsent = sum(watch.channel.unsent() for watch in self.slow)
        while unsent > MAX_UNSENT:
            slowest = self.slow[0]
            unsent -= slowest.channel.unsent()
            self._close_slow(slowest)

    def _close_stalled(self) -> None:
        limit = self.clock() - STALL_TIMEOUT
        while self.slow and self.slow[0].slow_since is not None and self.slow[0].slow_since <= limit:
            self._close_slow(self.slow[0])

    def _close_slow(self, watch: Watch) -> None:
        self.closed_slow += 1
        self.close(watch)
        watch.channel.close()
