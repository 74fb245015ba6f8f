"""The log put together: told events pass the bound on repeats and the processors, and go to the writer."""

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
    """Takes what is told (`events.set_handler`), from any thread.

    The daemon runs these processors by itself; the tools have structlog run the same ones (`millgw.cli.log`):
    the design note has what structlog costs a daemon.
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
        """What is told of a repeating event, or None where this one goes untold."""
        lines = EVENTS[told["event"]].lines
        more = self.repeats.take(self.clock(), f"{told['event']} {told.get('service', '')}", lines)
        if more is None:
            return None
        return {**told, "more": more} if more else told

    def stamp(self, _: Any, __: str, told: Told) -> Told:
        """Say when it was."""
        told["at"] = self.wall()
        return told

    def write(self, line: str) -> None:
        """Hand a line to the writer."""
        self.writer.put(line.encode(errors="backslashreplace") + b"\n")

    def word(self, event: str, **fields: Any) -> bytes:
        """A line of the log's own, past the bound on repeats."""
        told: Told = {"event": event, **fields}
        for step in self.processors:
            told = step(None, "", told)
        return self.render(None, "", told).encode() + b"\n"

    def close(self) -> None:
        """Say what went untold, and wait a little for the reader."""
        for kind, more in self.repeats.left().items():
            self.writer.put(self.word("left-out", of=kind.rstrip(), more=more))
        self.writer.close()


class Foreign(logging.Handler):
    """What libraries tell the standard library's log becomes an event `message`."""

    def __init__(self, to: Callable[[str, dict[str, Any]], None]) -> None:
        super().__init__()
        self.to = to

    def emit(self, record: logging.LogRecord) -> None:
        fields: dict[str, Any] = {"level": record.levelno, "text": record.getMessage()}
        if record.exc_info:
            fields["traceback"] = "".join(traceback.format_exception(*record.exc_info)).rstrip()
        self.to("message", fields)


def start(kind: str, fd: int = STDERR) -> Log:
    """Have all that is told go to a descriptor, in one of `wording.KINDS`; a ValueError for another."""
    writer = Writer(fd, Backlog(), lambda lines: log.word("lines-lost", lines=lines))
    log = Log(kind, writer)
    take(log)
    return log


def take(log: Log, to: Callable[[str, dict[str, Any]], None] | None = None) -> None:
    """Have events and other libraries' messages go to a log (through `to`), and end it with the process."""
    events.set_handler(to or log)
    logging.basicConfig(level=logging.INFO, handlers=[Foreign(to or log)], force=True)
    atexit.register(log.close)
