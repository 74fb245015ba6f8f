"""Shared keys for authenticating peers, read from files at the start and again after a change."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

from millgw.log.events import log_event


class KeyFiles:
    """One file per key; the key is the content of the file without surrounding white space."""

    def __init__(self, paths: Sequence[str]) -> None:
        self.paths = [Path(path) for path in paths]
        self.versions: list[tuple[int, int]] = []  # modification time (ns) and inode of each file

    def read(self) -> list[bytes]:
        """The keys; raises OSError if a file can't be read."""
        self.versions = self._current_versions()
        return [path.read_bytes().strip() for path in self.paths]

    def _current_versions(self) -> list[tuple[int, int]]:
        return [(stat.st_mtime_ns, stat.st_ino) for stat in (path.stat() for path in self.paths)]

    def read_if_changed(self) -> list[bytes] | None:
        """The keys if a file has changed since the last read, otherwise None.

        Also None if a file can't be read: the current keys stay in use.
        """
        try:
            if self._current_versions() == self.versions:
                return None
            keys = self.read()
        except OSError as error:
            log_event("peer-keys-unusable", cause=error)
            return None
        log_event("peer-keys-read", keys=len(keys))
        return keys
