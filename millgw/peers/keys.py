"""The keys that peers prove themselves by: files, read at the start and again when they have changed."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

from millgw.log.events import log_event


class Keys:
    """A file for each key; a key is what the file holds, without white space at its ends."""

    def __init__(self, paths: Sequence[str]) -> None:
        self.paths = [Path(path) for path in paths]
        self.marks: list[tuple[int, int]] = []

    def read(self) -> list[bytes]:
        """The keys; an OSError tells that a file can't be read."""
        self.marks = self._now()
        return [path.read_bytes().strip() for path in self.paths]

    def _now(self) -> list[tuple[int, int]]:
        return [(found.st_mtime_ns, found.st_ino) for found in (path.stat() for path in self.paths)]

    def changed(self) -> list[bytes] | None:
        """The keys if a file has changed since; None else, and where one can't be read: those held stay."""
        try:
            if self._now() == self.marks:
                return None
            keys = self.read()
        except OSError as error:
            log_event("peer-keys-unusable", cause=error)
            return None
        log_event("peer-keys-read", keys=len(keys))
        return keys
