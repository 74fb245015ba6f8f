"""JSON encoding of log entries and snapshots, for messages and for the disk, and validated field access.

Invalid values raise an EncodingError that names the field.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

from millgw.configuration.document import (
    Document,
    DocumentError,
    Version,
    canonical_json,
    decode_changes,
    decode_count,
)
from millgw.configuration.log import Entry, Snapshot

MAX_TEXT = 1024  # characters; limit for an author or a reason

Fields = Mapping[str, Any]


class EncodingError(DocumentError):
    """A JSON value has the wrong type or range; the text names the field."""


# Writing


def entry_fields(entry: Entry) -> dict[str, Any]:
    """A log entry as a JSON object."""
    return {
        "position": entry.position,
        "epoch": entry.epoch,
        "version": None if entry.version is None else _version_fields(entry.version),
    }


def encoded_size(entry: Entry) -> int:
    """The size of an entry as JSON, in bytes."""
    return len(canonical_json(entry_fields(entry)))


def _version_fields(version: Version) -> dict[str, Any]:
    return {
        "index": version.index,
        "changes": [{"name": change.name, "value": change.value} for change in version.changes],
        "author": version.author,
        "reason": version.reason,
        "at": version.at,
    }


def snapshot_fields(snapshot: Snapshot) -> dict[str, Any]:
    """A snapshot as a JSON object."""
    document = snapshot.document
    return {
        "position": snapshot.position,
        "epoch": snapshot.epoch,
        "document": {"index": document.index, "epoch": document.epoch, "entries": document.entries},
    }


# Reading


def read_entry(value: Any, path: str) -> Entry:
    """Decode a log entry; a DocumentError names the invalid field."""
    fields = read_object(value, path)
    position = read_count(fields, "position", path)
    epoch = read_count(fields, "epoch", path)
    version = fields.get("version")
    if version is None:
        return Entry(position, epoch, None)
    return Entry(position, epoch, _read_version(version, epoch, f"{path}.version"))


def _read_version(value: Any, epoch: int, path: str) -> Version:
    fields = read_object(value, path)
    return Version(
        read_count(fields, "index", path),
        epoch,
        decode_changes(fields.get("changes"), f"{path}.changes"),
        read_text(fields, "author", path),
        read_text(fields, "reason", path),
        read_number(fields, "at", path),
    )


def read_snapshot(value: Any, path: str) -> Snapshot:
    """Decode a snapshot; a DocumentError names the invalid field."""
    fields = read_object(value, path)
    document = _read_document(fields.get("document"), f"{path}.document")
    return Snapshot(read_count(fields, "position", path), read_count(fields, "epoch", path), document)


def _read_document(value: Any, path: str) -> Document:
    fields = read_object(value, path)
    entries = read_object(fields.get("entries"), f"{path}.entries")
    for name, entry in entries.items():
        read_object(entry, f"{path}.entries.{name}")
    changes = [{"name": name, "value": entry} for name, entry in entries.items()]
    document = Document()
    document.apply(
        read_count(fields, "index", path),
        read_count(fields, "epoch", path),
        decode_changes(changes, f"{path}.entries"),
    )
    return document


def read_count(fields: Fields, name: str, path: str) -> int:
    try:
        return decode_count(fields, name)
    except DocumentError as error:
        raise EncodingError(f"{path}.{error}") from None


def read_object(value: Any, path: str) -> Fields:
    if not isinstance(value, dict):
        raise EncodingError(f"{path}: not an object")
    return value


def read_list(fields: Fields, name: str) -> list[Any]:
    value = fields.get(name)
    if not isinstance(value, list):
        raise EncodingError(f"{name}: not a list")
    return value


def read_flag(fields: Fields, name: str) -> bool:
    value = fields.get(name)
    if not isinstance(value, bool):
        raise EncodingError(f"{name}: not true or false")
    return value


def read_number(fields: Fields, name: str, path: str = "") -> float:
    value = fields.get(name)
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise EncodingError(f"{path}.{name}: not a finite number".lstrip("."))
    return float(value)


def read_text(fields: Fields, name: str, path: str) -> str:
    value = fields.get(name)
    if not isinstance(value, str) or len(value) > MAX_TEXT:
        raise EncodingError(f"{path}.{name}: not a string of at most {MAX_TEXT} characters")
    return value
