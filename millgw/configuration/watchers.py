"""The open watches of one instance: who is sent what, and who reads too slowly to be kept.

A watch that has not taken all it was sent is sent nothing more; once it has, it gets what it missed in one
piece. So at most one piece waits for each, and a watch that takes nothing for a while is closed.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

from millgw.configuration.history import History, encode_chunk

MAX_WATCHES = 2048
MAX_UNSENT = 64 * 1024 * 1024  # bytes that wait for all slow watches together
STALLED_AFTER = 10.0  # s in which a watch must take what it was sent
HEARTBEAT_INTERVAL = 2.0  # s between two empty lines
HEARTBEAT_GROUPS = 10  # watches get theirs in turn, so that not all are due at once
HEARTBEAT = encode_chunk(b"\n")


class TooManyWatchesError(Exception):
    """As many watches are open as may be."""


class Channel(Protocol):
    """Where a watch is written to."""

    def write(self, data: bytes) -> None: ...

    def unsent(self) -> int:
        """Bytes that the kernel has not taken yet."""

    def close(self) -> None:
        """End it at once, whatever waits to be sent."""


class Watch:
    """One open watch. `position` is the newest version it was sent, or asked for the changes after."""

    __slots__ = ("channel", "group", "name", "position", "slow_since")

    def __init__(self, channel: Channel, name: str, position: int, group: int) -> None:
        self.channel = channel
        self.name = name
        self.position = position
        self.group = group
        self.slow_since: float | None = None


class Watchers:
    """All watches of one instance. `clock` gives seconds that do not go back."""

    def __init__(self, history: History, clock: Callable[[], float], max_watches: int = MAX_WATCHES) -> None:
        self.history = history
        self.clock = clock
        self.max_watches = max_watches
        self.groups: list[dict[Watch, None]] = [{} for _ in range(HEARTBEAT_GROUPS)]
        self.slow: deque[Watch] = deque()  # since when they are, the longest first
        self.count = 0
        self.opened = 0  # since the start
        self.cut = 0  # of these, closed as they read too slowly
        self._turn = 0
        self._largest_piece = 0

    def add(self, channel: Channel, name: str, position: int) -> Watch:
        """Take a watch in; `begin` sends its first line once its answer has begun."""
        if self.count >= self.max_watches:
            raise TooManyWatchesError(f"{self.max_watches} watches are open")
        group = self.opened % HEARTBEAT_GROUPS
        watch = Watch(channel, name, position, group)
        self.groups[group][watch] = None
        self.count += 1
        self.opened += 1
        return watch

    def begin(self, watch: Watch) -> None:
        """Send a new watch its first line at once: what it lacks, or a heartbeat."""
        if not self.bring_up(watch):
            self._write(watch, HEARTBEAT)

    def bring_up(self, watch: Watch) -> bool:
        """Send a watch what it lacks; False if that is nothing."""
        lacks = self.history.after(watch.position)
        if not lacks:
            return False
        watch.position = self.history.index
        self._write(watch, lacks)
        return True

    def close(self, watch: Watch) -> None:
        """The watch's connection has ended. A second call does nothing."""
        if self.groups[watch.group].pop(watch, self) is None:
            self.count -= 1
            if watch.slow_since is not None:
                watch.slow_since = None
                self.slow.remove(watch)

    def publish(self) -> None:
        """Newer versions are committed: send them to all that can take them."""
        for group in self.groups:
            for watch in list(group):
                if watch.slow_since is None:
                    self.bring_up(watch)

    def drained(self, watch: Watch) -> None:
        """A slow watch has taken all it was sent."""
        if watch.slow_since is not None:
            watch.slow_since = None
            self.slow.remove(watch)
            self.bring_up(watch)

    def beat(self) -> None:
        """Send the next group its heartbeat; called HEARTBEAT_GROUPS times in HEARTBEAT_INTERVAL."""
        self._cut_stalled()
        group = self.groups[self._turn]
        self._turn = (self._turn + 1) % HEARTBEAT_GROUPS
        for watch in list(group):
            if watch.slow_since is None:
                self._write(watch, HEARTBEAT)

    def close_all(self) -> None:
        """End all watches, as the instance stops."""
        for group in self.groups:
            for watch in list(group):
                self.close(watch)
                watch.channel.close()

    def _write(self, watch: Watch, data: bytes) -> None:
        self._largest_piece = max(self._largest_piece, len(data))
        watch.channel.write(data)
        if watch.channel.unsent():
            watch.slow_since = self.clock()
            self.slow.append(watch)
            self._bound_unsent()

    def _bound_unsent(self) -> None:
        if len(self.slow) * self._largest_piece <= MAX_UNSENT:
            return
        waiting = sum(watch.channel.unsent() for watch in self.slow)
        while waiting > MAX_UNSENT:
            slowest = self.slow[0]
            waiting -= slowest.channel.unsent()
            self._cut(slowest)

    def _cut_stalled(self) -> None:
        limit = self.clock() - STALLED_AFTER
        while self.slow and self.slow[0].slow_since is not None and self.slow[0].slow_since <= limit:
            self._cut(self.slow[0])

    def _cut(self, watch: Watch) -> None:
        self.cut += 1
        self.close(watch)
        watch.channel.close()
