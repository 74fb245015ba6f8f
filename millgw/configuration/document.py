"""Document of named entries that holds the fleet's configuration, and the versions that change it.

A version is applied atomically. Indexes are 1, 2, 3, ... without gaps; index 0 is the empty document.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

DIGEST_BYTES = 16
MAX_NAME_LENGTH = 256  # characters of an entry's name


class DocumentError(ValueError):
    """A line, version or change is invalid; the message names the field."""


@dataclass(slots=True, frozen=True)
class Change:
    """One entry set to a JSON object, or removed where `value` is None."""

    name: str
    value: Mapping[str, Any] | None


@dataclass(slots=True, frozen=True)
class Version:
    """One committed or proposed version: its changes, author and reason; `at` is Unix time in ms."""

    index: int
    epoch: int
    changes: tuple[Change, ...]
    author: str = ""
    reason: str = ""
    at: float = 0.0


@dataclass(slots=True, frozen=True)
class WatchLine:
    """One line of a watch: the whole document (`snapshot`) or the changes since the previous line."""

    index: int
    epoch: int
    snapshot: bool
    digest: str
    changes: tuple[Change, ...]


@dataclass(slots=True)
class Document:
    """All entries as of one version. Only `apply` and `load` modify a document."""

    index: int = 0
    epoch: int = 0
    entries: dict[str, Mapping[str, Any]] = field(default_factory=dict)

    def copy(self) -> Document:
        """An independent copy; entry values are shared, as they are never modified in place."""
        return Document(self.index, self.epoch, dict(self.entries))

    def digest(self) -> str:
        """BLAKE2b over the canonical JSON of all entries, in hexadecimal."""
        return blake2b(canonical_json(self.entries), digest_size=DIGEST_BYTES).hexdigest()

    def apply(self, index: int, epoch: int, changes: Iterable[Change]) -> None:
        """Apply the changes of one version, or of several at once."""
        for change in changes:
            if change.value is None:
                self.entries.pop(change.name, None)
            else:
                self.entries[change.name] = change.value
        self.index = index
        self.epoch = epoch

    def load(self, line: WatchLine) -> None:
        """Apply a line of a watch; raises DocumentError, changing nothing, if its digest does not match."""
        after = Document() if line.snapshot else self.copy()
        after.apply(line.index, line.epoch, line.changes)
        if after.digest() != line.digest:
            raise DocumentError(f"digest: version {line.index} does not follow from version {self.index}")
        self.entries = after.entries
        self.index = after.index
        self.epoch = after.epoch

    def snapshot(self) -> WatchLine:
        """The whole document as a line."""
        changes = tuple(Change(name, self.entries[name]) for name in sorted(self.entries))
        return WatchLine(self.index, self.epoch, True, self.digest(), changes)


def canonical_json(value: Any) -> bytes:
    """Canonical JSON: equal values are encoded as the same bytes."""
    return json.dumps(value, sort_keys=True, separators=(",", ":"), ensure_ascii=False).encode()


def encode_line(line: WatchLine) -> bytes:
    """Encode a line of a watch, including its line feed."""
    entries = [{"name": change.name, "value": change.value} for change in line.changes]
    fields = {
        "index": line.index,
        "epoch": line.epoch,
        "snapshot": line.snapshot,
        "digest": line.digest,
        "entries": entries,
    }
    return canonical_json(fields) + b"\n"


def decode_line(data: bytes) -> WatchLine:
    """Decode a line of a watch; raises DocumentError naming an invalid field."""
    try:
        fields = json.loads(data)
    except ValueError as error:
        raise DocumentError(f"line: {error}") from None
    if not isinstance(fields, dict):
        raise DocumentError("line: not an object")
    snapshot = fields.get("snapshot")
    if not isinstance(snapshot, bool):
        raise DocumentError("snapshot: not true or false")
    digest = fields.get("digest")
    if not isinstance(digest, str):
        raise DocumentError("digest: not a string")
    changes = decode_changes(fields.get("entries"), "entries")
    return WatchLine(decode_count(fields, "index"), decode_count(fields, "epoch"), snapshot, digest, changes)


def decode_changes(value: Any, path: str) -> tuple[Change, ...]:
    """Decode changes from a JSON value; raises DocumentError naming an invalid field."""
    if not isinstance(value, list):
        raise DocumentError(f"{path}: not a list")
    return tuple(_decode_change(item, f"{path}[{i}]") for i, item in enumerate(value))


def _decode_change(item: Any, path: str) -> Change:
    if not isinstance(item, dict):
        raise DocumentError(f"{path}: not an object")
    name = item.get("name")
    if not isinstance(name, str) or not 0 < len(name) <= MAX_NAME_LENGTH:
        raise DocumentError(f"{path}.name: not a string of 1 to {MAX_NAME_LENGTH} characters")
    value = item.get("value")
    if "value" not in item or not (value is None or isinstance(value, dict)):
        raise DocumentError(f"{path}.value: neither an object nor null")
    return Change(name, value)


def decode_count(fields: Mapping[str, Any], name: str) -> int:
    """Decode a field that must be a whole number of 0 or more."""
    value = fields.get(name)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise DocumentError(f"{name}: not a whole number of 0 or more")
    return value
