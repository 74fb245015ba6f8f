"""The replicated log in memory: a snapshot of the compacted entries, and the entries after it.

A log *position* counts every entry. A document *index* counts only entries that carry a version. The barrier
entry that a leader appends at the start of its epoch has a position but no version, so document indexes have
no gaps.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from millgw.configuration.document import Document, Version


class LogError(RuntimeError):
    """An operation that the log can't perform without breaking an invariant of the protocol."""


@dataclass(slots=True, frozen=True)
class Entry:
    """One entry of the log. `version` is None for a barrier, which leaves the document unchanged."""

    position: int
    epoch: int
    version: Version | None


@dataclass(slots=True, frozen=True)
class Snapshot:
    """The document as of a log position, with the epoch of the entry at that position."""

    position: int
    epoch: int
    document: Document


EMPTY_SNAPSHOT = Snapshot(0, 0, Document())


class Log:
    """Entries with positions from `snapshot.position + 1` on, without gaps."""

    def __init__(self, snapshot: Snapshot = EMPTY_SNAPSHOT, entries: Iterable[Entry] = ()) -> None:
        self.snapshot = snapshot
        self.entries: list[Entry] = []
        for entry in entries:
            self.append(entry)

    @property
    def last_position(self) -> int:
        return self.snapshot.position + len(self.entries)

    @property
    def last_epoch(self) -> int:
        return self.entries[-1].epoch if self.entries else self.snapshot.epoch

    @property
    def last_index(self) -> int:
        """The document index of the newest version in the log, committed or not."""
        for entry in reversed(self.entries):
            if entry.version is not None:
                return entry.version.index
        return self.snapshot.document.index

    def epoch_at(self, position: int) -> int | None:
        """The epoch of the entry at a position; None after the end of the log or where it is compacted."""
        if position == self.snapshot.position:
            return self.snapshot.epoch
        if not self.snapshot.position < position <= self.last_position:
            return None
        return self.entry_at(position).epoch

    def entry_at(self, position: int) -> Entry:
        """The entry at a position, which must be in the log."""
        return self.entries[position - self.snapshot.position - 1]

    def slice(self, first: int, max_entries: int) -> Sequence[Entry]:
        """Up to `most` entries from position `first` on."""
        start = first - self.snapshot.position - 1
        return self.entries[start : start + max_entries]

    def append(self, entry: Entry) -> None:
        """Add an entry at the end."""
        if entry.position != self.last_position + 1:
            raise LogError(f"entry {entry.position} does not follow {self.last_position}")
        self.entries.append(entry)

    def replace_from(self, entries: Sequence[Entry]) -> None:
        """Replace the log from the first entry's position on."""
        start = entries[0].position - self.snapshot.position - 1
        if start < 0:
            raise LogError(f"entry {entries[0].position} is already compacted")
        del self.entries[start:]
        for entry in entries:
            self.append(entry)

    def compact(self, snapshot: Snapshot) -> None:
        """Drop the entries up to a snapshot, and those after it if the log lacks the snapshot's last one."""
        covered = snapshot.position - self.snapshot.position
        if self.epoch_at(snapshot.position) == snapshot.epoch and covered >= 0:
            self.entries = self.entries[covered:]
        else:
            self.entries = []
        self.snapshot = snapshot

    def document_at(self, position: int) -> Document:
        """A new document with every version up to a position applied."""
        document = self.snapshot.document.copy()
        for entry in self.entries[: position - self.snapshot.position]:
            if entry.version is not None:
                document.apply(entry.version.index, entry.version.epoch, entry.version.changes)
        return document
