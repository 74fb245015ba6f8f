"""Log events by name with fields; `millgw.log.table` has them all.

Until a log is started (`millgw.log.start`), as where the package is used as a library, they go to the
standard library's logger `millgw`.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from millgw.log.table import EVENTS
from millgw.log.wording import known, plain, text

EventHandler = Callable[[str, dict[str, object]], None]


def _log_to_library(event: str, fields: dict[str, object]) -> None:
    log = logging.getLogger("millgw")
    if log.isEnabledFor(EVENTS[event].level):
        shown = plain(None, "", known(None, "", {"event": event, **fields}))
        log.log(EVENTS[event].level, "%s", text(None, "", shown).partition(" ")[2])


_handler: list[EventHandler] = [_log_to_library]


def set_handler(handler: EventHandler | None) -> None:
    """Have events go to a handler from now on; None for the standard library's logger."""
    _handler[0] = _log_to_library if handler is None else handler


def log_event(event: str, **fields: object) -> None:
    """Log an event of the table; fields that the table does not name are left out."""
    _handler[0](event, fields)


class BoundLogger:
    """Logs events with some fields that all of them have (a service, a call, an endpoint)."""

    __slots__ = ("fields",)

    def __init__(self, **fields: object) -> None:
        self.fields = fields

    def log_event(self, event: str, **fields: object) -> None:
        """As the function `log_event`, with the bound fields before the others."""
        _handler[0](event, self.fields | fields)
