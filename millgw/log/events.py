"""Functions that log an event by name with fields; `millgw.log.table` lists all events.

Until a log is started (`millgw.log.start`), for example where the package is used as a library, events go to
the standard library's logger `millgw`.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from millgw.log.rendering import keep_known_fields, limit_values, render_text
from millgw.log.table import EVENTS

EventHandler = Callable[[str, dict[str, object]], None]


def _log_to_library(event: str, fields: dict[str, object]) -> None:
    log = logging.getLogger("millgw")
    if log.isEnabledFor(EVENTS[event].level):
        record = limit_values(None, "", keep_known_fields(None, "", {"event": event, **fields}))
        log.log(EVENTS[event].level, "%s", render_text(None, "", record).partition(" ")[2])


_handler: list[EventHandler] = [_log_to_library]


def set_handler(handler: EventHandler | None) -> None:
    """Send events to a handler from now on; None restores the standard library's logger."""
    _handler[0] = _log_to_library if handler is None else handler


def log_event(event: str, **fields: object) -> None:
    """Log an event of the table; fields that the table does not list are omitted."""
    _handler[0](event, fields)


class BoundLogger:
    """Logs events with a fixed set of fields added to each (a service, a call, an endpoint)."""

    __slots__ = ("fields",)

    def __init__(self, **fields: object) -> None:
        self.fields = fields

    def log_event(self, event: str, **fields: object) -> None:
        """Log an event as the function `log_event` does, with the bound fields before the others."""
        _handler[0](event, self.fields | fields)
