"""Processors and renderers that turn an event into a line of text or JSON. Pure.

Each has the signature of a structlog processor.
"""

from __future__ import annotations

import json
from collections.abc import Callable, MutableMapping
from datetime import UTC, datetime
from logging import getLevelName
from typing import Any

from millgw.log.table import COMMON, EVENTS

Told = MutableMapping[str, Any]
"""One log event: `event` (its name), its fields, and `at` (Unix s) and `level` once they are set."""
Processor = Callable[[Any, str, Told], Told]
Renderer = Callable[[Any, str, Told], str]

LONGEST = 1000  # characters of one field: text from outside must not fill the log
KINDS = ("text", "json")


def known(_: Any, __: str, told: Told) -> Told:
    """Keep only the fields that the event's table entry lists, and set the level."""
    kind = EVENTS[told["event"]]
    out: Told = {"event": told["event"], "level": told.get("level", kind.level)}
    for name, value in told.items():
        if name in out:
            continue
        if name in kind.fields or name in COMMON or (kind.open and isinstance(value, int | float | str)):
            out[name] = value
    return out


def plain(_: Any, __: str, told: Told) -> Told:
    """Convert all values but numbers to text of bounded length."""
    for name, value in told.items():
        if isinstance(value, int | float):
            continue
        text = str(value)
        if len(text) > LONGEST and name != "traceback":
            text = f"{text[:LONGEST]}… ({len(text)} characters)"
        told[name] = text
    return told


def text(_: Any, __: str, told: Told) -> str:
    """Render a line of text; an exception's traceback follows on lines of its own."""
    words = [getLevelName(told["level"]), told["event"]]
    words += [f"{k}={_word(v)}" for k, v in told.items() if k not in ("event", "level", "at", "traceback")]
    if "at" in told:
        words.append(f"at={_moment(told['at'])}")
    line = " ".join(words)
    return f"{line}\n{told['traceback']}" if "traceback" in told else line


def as_json(_: Any, __: str, told: Told) -> str:
    """Render one JSON object: `at`, `level`, `event`, the event's fields."""
    out: dict[str, Any] = {"at": round(told["at"], 3), "level": getLevelName(told["level"]).lower()}
    return json.dumps(out | {k: v for k, v in told.items() if k not in ("at", "level")})


def renderer(kind: str) -> Renderer:
    """The renderer for one of `KINDS`; raises ValueError for any other kind."""
    if kind not in KINDS:
        raise ValueError(f"{kind!r} is not one of {', '.join(KINDS)}")
    return as_json if kind == "json" else text


def _moment(unix: float) -> str:
    """Format a Unix time (s) as RFC 3339, in UTC to the millisecond."""
    return datetime.fromtimestamp(unix, UTC).isoformat(timespec="milliseconds").replace("+00:00", "Z")


def _word(value: object) -> str:
    word = f"{value:g}" if isinstance(value, float) else str(value)
    # JSON quoting escapes control characters and line breaks: no terminal commands, no forged lines.
    return word if word and word.isprintable() and " " not in word and '"' not in word else json.dumps(word)
