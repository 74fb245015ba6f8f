"""An event as a line: for people or as JSON. Pure; each step is a processor as structlog calls them."""

from __future__ import annotations

import json
from collections.abc import Callable, MutableMapping
from datetime import UTC, datetime
from logging import getLevelName
from typing import Any

from millgw.log.table import COMMON, EVENTS

Told = MutableMapping[str, Any]
"""What is told of one event: `event`, its fields, and `at` (Unix s) and `level` once they are known."""
Processor = Callable[[Any, str, Told], Told]
Renderer = Callable[[Any, str, Told], str]

LONGEST = 1000  # characters of one field: a stranger's text must not fill the log
KINDS = ("text", "json")


def known(_: Any, __: str, told: Told) -> Told:
    """Keep the fields that the table names and give the level; others are left out, whoever told them."""
    kind = EVENTS[told["event"]]
    out: Told = {"event": told["event"], "level": told.get("level", kind.level)}
    for name, value in told.items():
        if name in out:
            continue
        if name in kind.fields or name in COMMON or (kind.open and isinstance(value, int | float | str)):
            out[name] = value
    return out


def plain(_: Any, __: str, told: Told) -> Told:
    """Numbers as they are, all else as text of bounded length."""
    for name, value in told.items():
        if isinstance(value, int | float):
            continue
        text = str(value)
        if len(text) > LONGEST and name != "traceback":
            text = f"{text[:LONGEST]}… ({len(text)} characters)"
        told[name] = text
    return told


def text(_: Any, __: str, told: Told) -> str:
    """A line for people; an exception's trace follows on lines of its own."""
    words = [getLevelName(told["level"]), told["event"]]
    words += [f"{k}={_word(v)}" for k, v in told.items() if k not in ("event", "level", "at", "traceback")]
    if "at" in told:
        words.append(f"at={_moment(told['at'])}")
    line = " ".join(words)
    return f"{line}\n{told['traceback']}" if "traceback" in told else line


def as_json(_: Any, __: str, told: Told) -> str:
    """One object a line: `at`, `level`, `event`, the event's fields."""
    out: dict[str, Any] = {"at": round(told["at"], 3), "level": getLevelName(told["level"]).lower()}
    return json.dumps(out | {k: v for k, v in told.items() if k not in ("at", "level")})


def renderer(kind: str) -> Renderer:
    """One of `KINDS`; a ValueError for another."""
    if kind not in KINDS:
        raise ValueError(f"{kind!r} is not one of {', '.join(KINDS)}")
    return as_json if kind == "json" else text


def _moment(unix: float) -> str:
    """A Unix time (s) as RFC 3339 words it, in UTC to the millisecond."""
    return datetime.fromtimestamp(unix, UTC).isoformat(timespec="milliseconds").replace("+00:00", "Z")


def _word(value: object) -> str:
    word = f"{value:g}" if isinstance(value, float) else str(value)
    # JSON's quoting leaves no byte that a terminal obeys, and no second line.
    return word if word and word.isprintable() and " " not in word and '"' not in word else json.dumps(word)
