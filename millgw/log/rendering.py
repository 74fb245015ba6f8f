"""Processors and renderers that turn an event into a line of text or JSON. Pure.

Each has the signature of a structlog processor.
"""

from __future__ import annotations

import json
from collections.abc import Callable, MutableMapping
from datetime import UTC, datetime
from logging import getLevelName
from typing import Any

from millgw.log.table import COMMON_FIELDS, EVENTS

EventFields = MutableMapping[str, Any]
"""One log event: `event` (its name), its fields, and `at` (Unix s) and `level` once they are set."""
Processor = Callable[[Any, str, EventFields], EventFields]
Renderer = Callable[[Any, str, EventFields], str]

MAX_FIELD_LENGTH = 1000  # characters of one field: text from outside must not fill the log
FORMATS = ("text", "json")


def keep_known_fields(_: Any, __: str, record: EventFields) -> EventFields:
    """Keep only the fields that the event's table entry lists, and set the level."""
    kind = EVENTS[record["event"]]
    kept: EventFields = {"event": record["event"], "level": record.get("level", kind.level)}
    for name, value in record.items():
        if name in kept:
            continue
        if (
            name in kind.fields
            or name in COMMON_FIELDS
            or (kind.extra_fields and isinstance(value, int | float | str))
        ):
            kept[name] = value
    return kept


def limit_values(_: Any, __: str, record: EventFields) -> EventFields:
    """Convert all values but numbers to text of bounded length."""
    for name, value in record.items():
        if isinstance(value, int | float):
            continue
        text = str(value)
        if len(text) > MAX_FIELD_LENGTH and name != "traceback":
            text = f"{text[:MAX_FIELD_LENGTH]}… ({len(text)} characters)"
        record[name] = text
    return record


def render_text(_: Any, __: str, record: EventFields) -> str:
    """Render a line of text; an exception's traceback follows on lines of its own."""
    parts = [getLevelName(record["level"]), record["event"]]
    parts += [f"{k}={_quote(v)}" for k, v in record.items() if k not in ("event", "level", "at", "traceback")]
    if "at" in record:
        parts.append(f"at={_format_time(record['at'])}")
    line = " ".join(parts)
    return f"{line}\n{record['traceback']}" if "traceback" in record else line


def render_json(_: Any, __: str, record: EventFields) -> str:
    """Render one JSON object: `at`, `level`, `event`, the event's fields."""
    out: dict[str, Any] = {"at": round(record["at"], 3), "level": getLevelName(record["level"]).lower()}
    return json.dumps(out | {k: v for k, v in record.items() if k not in ("at", "level")})


def find_renderer(kind: str) -> Renderer:
    """The renderer for one of `FORMATS`; raises ValueError for any other kind."""
    if kind not in FORMATS:
        raise ValueError(f"{kind!r} is not one of {', '.join(FORMATS)}")
    return render_json if kind == "json" else render_text


def _format_time(unix: float) -> str:
    """Format a Unix time (s) as RFC 3339, in UTC to the millisecond."""
    return datetime.fromtimestamp(unix, UTC).isoformat(timespec="milliseconds").replace("+00:00", "Z")


def _quote(value: object) -> str:
    shown = f"{value:g}" if isinstance(value, float) else str(value)
    # JSON quoting escapes control characters and line breaks: no terminal commands, no forged lines.
    return (
        shown
        if shown and shown.isprintable() and " " not in shown and '"' not in shown
        else json.dumps(shown)
    )
