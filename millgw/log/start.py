"""The log pipeline: events pass the rate limit and the processors, are rendered and go to the writer."""

from __future__ import annotations

import atexit
import logging
import time
import traceback
from collections.abc import Callable
from typing import Any

from millgw.log import events
from millgw.log.backlog import Backlog
from millgw.log.repeats import Repeats
from millgw.log.table import EVENTS
from millgw.log.wording import Processor, Renderer, Told, known, plain, renderer
from millgw.log.writer import Writer

STDERR = 2
Clock = Callable[[], float]


class Log:
    """Handles logged events (see `events.set_handler`); may be called from any thread.

    The daemon runs these processors directly; the command line tools run the same ones through structlog
    (`millgw.cli.log`). The design note states what structlog would cost the daemon.
    """

    def __init__(
        self, kind: str, writer: Writer, clock: Clock = time.monotonic, wall: Clock = time.time
    ) -> None:
        self.render: Renderer = renderer(kind)
        self.processors: tuple[Processor, ...] = (known, self.stamp, plain)
        self.writer = writer
        self.repeats = Repeats()
        self.clock = clock
        self.wall = wall

    def __call__(self, event: str, fields: dict[str, Any]) -> None:
        told = self.sparing({"event": event, **fields})
        if told is not None:
            for step in self.processors:
                told = step(None, "", told)
            self.write(self.render(None, "", told))

    def sparing(self, told: Told) -> Told | None:
        """Apply the rate limit: the event, with `more` if some were suppressed before it, or None."""
        lines = EVENTS[told["event"]].lines
        more = self.repeats.take(self.clock(), f"{told['event']} {told.get('service', '')}", lines)
        if more is None:
            return None
        return {**told, "more": more} if more else told

    def stamp(self, _: Any, __: str, told: Told) -> Told:
        """Processor that adds the time, `at` (Unix s)."""
        told["at"] = self.wall()
        return told

    def write(self, line: str) -> None:
        """Queue a rendered line for writing."""
        self.writer.put(line.encode(errors="backslashreplace") + b"\n")

    def word(self, event: str, **fields: Any) -> bytes:
        """Render one of the log's own events, bypassing the rate limit."""
        told: Told = {"event": event, **fields}
        for step in self.processors:
            told = step(None, "", told)
        return self.render(None, "", told).encode() + b"\n"

    def close(self) -> None:
        """Log the counts of suppressed events, then wait briefly for the writer."""
        for kind, more in self.repeats.left().items():
            self.writer.put(self.word("left-out", of=kind.rstrip(), more=more))
        self.writer.close()


class Foreign(logging.Handler):
    """Turns records of the standard library's logging into `message` events."""

    def __init__(self, to: Callable[[str, dict[str, Any]], None]) -> None:
        super().__init__()
        self.to = to

    def emit(self, record: logging.LogRecord) -> None:
        fields: dict[str, Any] = {"level": record.levelno, "text": record.getMessage()}
        if record.exc_info:
            fields["traceback"] = "".join(traceback.format_exception(*record.exc_info)).rstrip()
        self.to("message", fields)


def start(kind: str, fd: int = STDERR) -> Log:
    """Start logging to a descriptor in one of `wording.KINDS`; raises ValueError for any other kind."""
    writer = Writer(fd, Backlog(), lambda lines: log.word("lines-lost", lines=lines))
    log = Log(kind, writer)
    take(log)
    return log


def take(log: Log, to: Callable[[str, dict[str, Any]], None] | None = None) -> None:
    """Send events and other libraries' records to a log (through `to`), and close it at process exit."""
    events.set_handler(to or log)
    logging.basicConfig(level=logging.INFO, handlers=[Foreign(to or log)], force=True)
    atexit.register(log.close)
