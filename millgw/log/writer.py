"""Writes log lines to a descriptor in a separate thread, so that logging never blocks on a slow reader."""

from __future__ import annotations

import os
import select
import threading
from collections.abc import Callable

from millgw.log.backlog import Backlog

CLOSE_TIMEOUT = 0.2  # s that process exit waits for buffered lines to be written


class Writer:
    """A log writer thread; it starts with the first line, so that a process that logs nothing has none."""

    def __init__(self, fd: int, backlog: Backlog, render_dropped: Callable[[int], bytes]) -> None:
        self.fd = fd
        self.backlog = backlog
        self.render_dropped = render_dropped  # renders the line that states how many were dropped
        self.changed = threading.Condition()
        self.thread: threading.Thread | None = None
        self.writing = False
        self.closed = False

    def put(self, line: bytes) -> None:
        """Queue a line and return at once."""
        with self.changed:
            if self.closed:
                return
            self.backlog.add(line)
            if self.thread is None:
                self.thread = threading.Thread(target=self._run, name="log", daemon=True)
                self.thread.start()
            self.changed.notify_all()

    def close(self, timeout: float = CLOSE_TIMEOUT) -> bool:
        """Wait up to `timeout` s for all queued lines to be written; returns whether they were."""
        with self.changed:
            done = self.changed.wait_for(lambda: not self.writing and not self.backlog.lines, timeout)
            self.closed = True
            self.changed.notify_all()
            return done

    def _run(self) -> None:
        while True:
            with self.changed:
                self.writing = False
                self.changed.notify_all()
                self.changed.wait_for(lambda: self.backlog.lines or self.closed)
                if self.closed:
                    return
                self.writing = True
                data, dropped = self.backlog.take()
            try:
                self._write(data + (self.render_dropped(dropped) if dropped else b""))
            except OSError:  # the reader has closed its end: the process goes on without a log
                with self.changed:
                    self.writing, self.closed = False, True
                    self.backlog.take()
                    self.changed.notify_all()
                return

    def _write(self, data: bytes) -> None:
        remaining = memoryview(data)
        while remaining:
            try:
                remaining = remaining[os.write(self.fd, remaining) :]
            except BlockingIOError:  # another holder of the descriptor made it non-blocking
                wait_writable(self.fd)


def wait_writable(fd: int) -> None:
    """Wait until a non-blocking descriptor is writable."""
    select.select([], [fd], [])
