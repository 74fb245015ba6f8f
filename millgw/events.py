"""What the daemon tells its log: events by name with fields; docs/logging.md has them all.

Text for people (`WARNING answer-spoilt endpoint=10.0.0.7:7070 cause="it stopped half-way"`) or, by
`BALANCER_LOG=json` or `serve --log json`, one JSON object a line. An event that repeats is told once a
second, and then with how many of it went untold.
"""

from __future__ import annotations

import json
import logging

EVERY = 1.0  # s between two lines of one event: what repeats for every request must not fill the log
KINDS = ("text", "json")

log = logging.getLogger("millgw")


class Event:
    """One event; a record's `msg`, so that it is worded only if it is told."""

    __slots__ = ("fields", "more", "name")

    def __init__(self, name: str, fields: dict[str, object]) -> None:
        self.name = name
        self.fields = fields
        self.more = 0  # of its kind that went untold before it

    def told(self) -> dict[str, object]:
        """Its fields as they are told: numbers and strings."""
        plain: dict[str, object] = {
            k: v if isinstance(v, int | float | str) else str(v) for k, v in self.fields.items()
        }
        if self.more:
            plain["more"] = self.more
        return plain

    def __str__(self) -> str:
        return " ".join([self.name, *(f"{k}={_word(v)}" for k, v in self.told().items())])


def _word(value: object) -> str:
    text = f"{value:g}" if isinstance(value, float) else str(value)
    return text if text and text.isprintable() and " " not in text and '"' not in text else json.dumps(text)


def tell(level: int, event: str, **fields: object) -> None:
    """Log an event; `level` is the standard library's."""
    log.log(level, Event(event, fields))


class Sparing(logging.Filter):
    """Lets each event through once in `EVERY` s."""

    def __init__(self) -> None:
        super().__init__()
        self.last: dict[str, float] = {}
        self.untold: dict[str, int] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        event: object = record.msg
        name = event.name if isinstance(event, Event) else str(event)
        if record.created < self.last.get(name, 0.0) + EVERY:
            self.untold[name] = self.untold.get(name, 0) + 1
            return False
        self.last[name] = record.created
        if isinstance(event, Event):
            event.more = self.untold.pop(name, 0)
        return True


class Text(logging.Formatter):
    """A line for people."""

    def format(self, record: logging.LogRecord) -> str:
        line = f"{record.levelname} {record.getMessage()}"
        return f"{line}\n{self.formatException(record.exc_info)}" if record.exc_info else line


class Json(logging.Formatter):
    """One object a line: `at` (Unix s), `level`, `event`, the event's fields, `trace` of an exception."""

    def format(self, record: logging.LogRecord) -> str:
        event: object = record.msg
        told: dict[str, object] = {"at": round(record.created, 3), "level": record.levelname.lower()}
        if isinstance(event, Event):
            told["event"] = event.name
            told.update(event.told())
        else:
            told |= {"event": "message", "text": record.getMessage()}
        if record.exc_info:
            told["traceback"] = self.formatException(record.exc_info)
        return json.dumps(told)


def start(kind: str) -> None:
    """Have all that is logged go to standard error, in one of `KINDS`; a ValueError for another."""
    if kind not in KINDS:
        raise ValueError(f"{kind!r} is not one of {', '.join(KINDS)}")
    handler = logging.StreamHandler()
    handler.setFormatter(Json() if kind == "json" else Text())
    logging.basicConfig(level=logging.INFO, handlers=[handler])
    log.addFilter(Sparing())
