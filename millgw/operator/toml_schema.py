"""Validated TOML files: types and ranges by `msgspec`, one-line errors with file, line and key.

A file's tables are `Table` classes. Conditions on several fields are checked by a function that raises
ValueError with the text `path: what`, such as `faults[2].start_s: is past the day's end`.
"""

from __future__ import annotations

import re
import tomllib
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec


class FileError(ValueError):
    """An invalid file; the text names file, line and key."""


class Table(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A table of a file; unknown keys are errors."""


T = TypeVar("T", bound=Table)


def read(text: str, name: str, kind: type[T], check: Callable[[T], T], error: type[FileError]) -> T:
    """Parse and check a file's text; `name` is the file name shown in errors."""
    try:
        data: Any = tomllib.loads(text)
    except tomllib.TOMLDecodeError as wrong:
        raise error(f"{name}: {wrong}") from None
    try:
        return check(msgspec.convert(data, kind))
    except msgspec.ValidationError as wrong:
        what, _, path = str(wrong).partition(" - at `$")
        path = _resolve_keys(path.rstrip("`").lstrip("."), data, kind, str(wrong))
        if match := re.search(r"unknown field `([^`]+)`", what):
            path = f"{path}.{match[1]}".lstrip(".")
            what = "no such key"
        raise error(format_error(text, name, path, what)) from None
    except ValueError as wrong:
        path, _, what = str(wrong).partition(": ")
        raise error(format_error(text, name, path, what)) from None


def _resolve_keys(path: str, data: Any, kind: type[T], message: str) -> str:
    """Replace `[...]`, as msgspec writes a free-form table's key, by the key, found by trying each."""
    while "[...]" in path:
        before = path.partition("[...]")[0]
        *above, last = before.split(".")
        table = data
        for name in above:
            table = table[name]
        for key, value in table[last].items():
            table[last], whole = {key: value}, table[last]
            try:
                msgspec.convert(data, kind)
                found = False
            except msgspec.ValidationError as again:
                found = str(again) == message
            finally:
                table[last] = whole
            if found:
                path = path.replace("[...]", f".{key}", 1)
                break
        else:
            return path
    return path


def format_error(text: str, name: str, path: str, what: str) -> str:
    """Format a one-line error: the location, as far as it is known, and the problem."""
    line = line_of(text, path) if path else None
    where = f"{name}:{line}" if line is not None else name
    return f"{where}: {path}: {what}" if path else f"{where}: {what}"


def line_of(text: str, path: str) -> int | None:
    """The line number of a key like `faults[2].start_s`, or of the nearest table above it."""
    parts = [p for p in re.split(r"[.\[\]]+", path.removeprefix("$")) if p]
    best, at_table = None, None
    counts: dict[str, int] = {}
    here: list[str] = []
    for number, line in enumerate(text.splitlines(), 1):
        stripped = line.strip()
        if match := re.match(r"^(\[\[?)\s*([^\]\s]+)\s*\]", stripped):
            here = match[2].split(".")
            if match[1] == "[[":
                counts[match[2]] = counts.get(match[2], -1) + 1
                here = [*here, str(counts[match[2]])]
            if here == parts[: len(here)]:
                at_table = number
        elif match := re.match(r"""^["']?([A-Za-z0-9_-]+)["']?\s*=""", stripped):
            key = [*here, match[1]]
            if key == parts[: len(key)]:
                best = number
    return best or at_table
