"""What the program tells its log: events by name with fields; `millgw.log.table` has them all.

Until a log is started (`millgw.log.start`), as where the package is used as a library, they go to the
standard library's logger `millgw`.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from millgw.log.table import EVENTS
from millgw.log.wording import known, plain, text

Teller = Callable[[str, dict[str, object]], None]


def _library(event: str, fields: dict[str, object]) -> None:
    log = logging.getLogger("millgw")
    if log.isEnabledFor(EVENTS[event].level):
        told = plain(None, "", known(None, "", {"event": event, **fields}))
        log.log(EVENTS[event].level, "%s", text(None, "", told).partition(" ")[2])


_to: list[Teller] = [_library]


def to(teller: Teller | None) -> None:
    """Have events go there from now on; None for the standard library's logger."""
    _to[0] = _library if teller is None else teller


def tell(event: str, **fields: object) -> None:
    """Tell an event of the table; fields that the table does not name are left out."""
    _to[0](event, fields)


class Bound:
    """Tells events with some fields that all of them have (a service, a call, an endpoint)."""

    __slots__ = ("fields",)

    def __init__(self, **fields: object) -> None:
        self.fields = fields

    def tell(self, event: str, **fields: object) -> None:
        """As `tell`, with the bound fields before the others."""
        _to[0](event, self.fields | fields)
