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
from millgw.log.rendering import (
    EventFields,
    Processor,
    Renderer,
    find_renderer,
    keep_known_fields,
    limit_values,
)
from millgw.log.repeat_limiter import RepeatLimiter
from millgw.log.table import EVENTS
from millgw.log.writer import Writer

STDERR = 2
Clock = Callable[[], float]


class Log:
    """Handles logged events (see `events.set_handler`); may be called from any thread.

    The daemon runs these processors directly; the command line tools run the same ones through structlog
    (`millgw.cli.log`). The design note states what structlog would cost the daemon.
    """

    def __init__(
        self, kind: str, writer: Writer, clock: Clock = time.monotonic, wall_clock: Clock = time.time
    ) -> None:
        self.render: Renderer = find_renderer(kind)
        self.processors: tuple[Processor, ...] = (keep_known_fields, self.add_time, limit_values)
        self.writer = writer
        self.repeat_limiter = RepeatLimiter()
        self.clock = clock
        self.wall_clock = wall_clock

    def __call__(self, event: str, fields: dict[str, Any]) -> None:
        record = self.limit_repeats({"event": event, **fields})
        if record is not None:
            for step in self.processors:
                record = step(None, "", record)
            self.write(self.render(None, "", record))

    def limit_repeats(self, record: EventFields) -> EventFields | None:
        """Apply the rate limit: the event, with `more` if some were suppressed before it, or None."""
        lines = EVENTS[record["event"]].lines_per_second
        suppressed = self.repeat_limiter.admit(
            self.clock(), f"{record['event']} {record.get('service', '')}", lines
        )
        if suppressed is None:
            return None
        return {**record, "more": suppressed} if suppressed else record

    def add_time(self, _: Any, __: str, record: EventFields) -> EventFields:
        """Processor that adds the time, `at` (Unix s)."""
        record["at"] = self.wall_clock()
        return record

    def write(self, line: str) -> None:
        """Queue a rendered line for writing."""
        self.writer.put(line.encode(errors="backslashreplace") + b"\n")

    def render_own(self, event: str, **fields: Any) -> bytes:
        """Render one of the log's own events, bypassing the rate limit."""
        record: EventFields = {"event": event, **fields}
        for step in self.processors:
            record = step(None, "", record)
        return self.render(None, "", record).encode() + b"\n"

    def close(self) -> None:
        """Log the counts of suppressed events, then wait briefly for the writer."""
        for kind, suppressed in self.repeat_limiter.take_suppressed().items():
            self.writer.put(self.render_own("left-out", of=kind.rstrip(), more=suppressed))
        self.writer.close()


class LibraryLogHandler(logging.Handler):
    """Turns records of the standard library's logging into `message` events."""

    def __init__(self, handler: Callable[[str, dict[str, Any]], None]) -> None:
        super().__init__()
        self.handler = handler

    def emit(self, record: logging.LogRecord) -> None:
        fields: dict[str, Any] = {"level": record.levelno, "text": record.getMessage()}
        if record.exc_info:
            fields["traceback"] = "".join(traceback.format_exception(*record.exc_info)).rstrip()
        self.handler("message", fields)


def start(kind: str, fd: int = STDERR) -> Log:
    """Start logging to a descriptor in one of `rendering.FORMATS`; raises ValueError for any other kind."""
    writer = Writer(fd, Backlog(), lambda lines: log.render_own("lines-lost", lines=lines))
    log = Log(kind, writer)
    install(log)
    return log


def install(log: Log, to: Callable[[str, dict[str, Any]], None] | None = None) -> None:
    """Send events and other libraries' records to a log (through `to`), and close it at process exit."""
    events.set_handler(to or log)
    logging.basicConfig(level=logging.INFO, handlers=[LibraryLogHandler(to or log)], force=True)
    atexit.register(log.close)
