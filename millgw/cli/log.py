"""The tools' log on structlog: the daemon's events and wording, with contexts bound for a stretch of work."""

from __future__ import annotations

import time
from typing import Any

import structlog
from structlog.contextvars import merge_contextvars

from millgw.log.backlog import Backlog
from millgw.log.rendering import EventFields
from millgw.log.start import STDERR, Clock, Log, install
from millgw.log.writer import Writer


def start(
    kind: str, fd: int = STDERR, clock: Clock = time.monotonic, wall: Clock = time.time
) -> structlog.typing.FilteringBoundLogger:
    """Have events go to a descriptor; the logger to bind fields to. A ValueError for an unknown kind."""
    writer = Writer(fd, Backlog(), lambda lines: log.render_own("lines-lost", lines=lines))
    log = Log(kind, writer, clock, wall)

    def sparing(_: Any, __: str, told: EventFields) -> EventFields:
        kept = log.limit_repeats(told)
        if kept is None:
            raise structlog.DropEvent
        return kept

    structlog.configure(
        processors=[
            merge_contextvars, sparing, structlog.processors.format_exc_info, *log.processors, log.render,
        ],
        wrapper_class=structlog.BoundLogger,
        logger_factory=lambda *_: Lines(log),
        cache_logger_on_first_use=False,
    )  # fmt: skip
    logger: structlog.typing.FilteringBoundLogger = structlog.get_logger()
    install(log, lambda event, fields: logger.msg(event, **fields))
    return logger


class Lines:
    """What structlog hands its finished lines to."""

    def __init__(self, log: Log) -> None:
        self.msg = log.write
