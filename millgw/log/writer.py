"""Writes log lines to a descriptor in a separate thread, so that logging never blocks on a slow reader."""

from __future__ import annotations

import os
import select
import threading
from collections.abc import Callable

from millgw.log.backlog import Backlog

WITHIN = 0.2  # s that process exit waits for buffered lines to be written


class Writer:
    """A log writer thread; it starts with the first line, so that a process that logs nothing has none."""

    def __init__(self, fd: int, backlog: Backlog, lost: Callable[[int], bytes]) -> None:
        self.fd = fd
        self.backlog = backlog
        self.lost = lost  # renders the line that states how many were dropped
        self.changed = threading.Condition()
        self.thread: threading.Thread | None = None
        self.busy = False
        self.ended = False

    def put(self, line: bytes) -> None:
        """Queue a line and return at once."""
        with self.changed:
            if self.ended:
                return
            self.backlog.add(line)
            if self.thread is None:
                self.thread = threading.Thread(target=self._run, name="log", daemon=True)
                self.thread.start()
            self.changed.notify_all()

    def close(self, within: float = WITHIN) -> bool:
        """Wait up to `within` s for all queued lines to be written; returns whether they were."""
        with self.changed:
            done = self.changed.wait_for(lambda: not self.busy and not self.backlog.lines, within)
            self.ended = True
            self.changed.notify_all()
            return done

    def _run(self) -> None:
        while True:
            with self.changed:
                self.busy = False
                self.changed.notify_all()
                self.changed.wait_for(lambda: self.backlog.lines or self.ended)
                if self.ended:
                    return
                self.busy = True
                piece, lost = self.backlog.take()
            try:
                self._write(piece + (self.lost(lost) if lost else b""))
            except OSError:  # the reader has closed its end: the process goes on without a log
                with self.changed:
                    self.busy, self.ended = False, True
                    self.backlog.take()
                    self.changed.notify_all()
                return

    def _write(self, piece: bytes) -> None:
        left = memoryview(piece)
        while left:
            try:
                left = left[os.write(self.fd, left) :]
            except BlockingIOError:  # another holder of the descriptor made it non-blocking
                select_writable(self.fd)


def select_writable(fd: int) -> None:
    """Wait until a non-blocking descriptor is writable."""
    select.select([], [fd], [])
