"""The interface between the store and a disk: a directory of append-only files and small overwritten ones.

Written data survives a power cut only after `sync`; a new file name only after `sync_directory`.
"""

from __future__ import annotations

import fcntl
import os
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Protocol

LOCK_FILE = "lock"
BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")


class StoreLocked(OSError):
    """Another process has locked the store."""


class Handle(Protocol):
    """An open file."""

    def write(self, data: bytes) -> None:
        """Append; on an OSError a part of the data may have been written."""

    def overwrite(self, data: bytes) -> None:
        """Overwrite from the start of the file; data behind it stays."""

    def sync(self) -> None: ...

    def close(self) -> None: ...


class Files(Protocol):
    """One directory of the store."""

    def lock(self) -> None:
        """Lock the directory until `close`; raises `StoreLocked` if another process holds the lock."""

    def names(self) -> list[str]: ...

    def read(self, name: str) -> bytes: ...

    def create(self, name: str) -> Handle:
        """Create an empty file; replaces one of that name."""

    def open(self, name: str) -> Handle:
        """Open a file; creates it if it does not exist."""

    def rename(self, old: str, new: str) -> None: ...

    def remove(self, name: str) -> None: ...

    def sync_directory(self) -> None: ...

    def close(self) -> None: ...


def boot_id() -> bytes:
    """The kernel's id of the current boot (16 bytes); empty if it can't be read."""
    try:
        return bytes.fromhex(BOOT_ID_PATH.read_text().strip().replace("-", ""))
    except (OSError, ValueError):
        return b""


class DirectoryContents(Mapping[str, bytes]):
    """File contents by name, each read on access, so that they are never all in memory."""

    def __init__(self, files: Files) -> None:
        self.files = files
        self.file_names = files.names()

    def __getitem__(self, name: str) -> bytes:
        if name not in self.file_names:
            raise KeyError(name)
        return self.files.read(name)

    def __contains__(self, name: object) -> bool:
        return name in self.file_names

    def __iter__(self) -> Iterator[str]:
        return iter(self.file_names)

    def __len__(self) -> int:
        return len(self.file_names)


class RealHandle:
    def __init__(self, path: Path, flags: int) -> None:
        self.fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | flags, 0o600)

    def write(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[os.write(self.fd, view) :]

    def overwrite(self, data: bytes) -> None:
        done = 0
        while done < len(data):
            done += os.pwrite(self.fd, data[done:], done)

    def sync(self) -> None:
        os.fdatasync(self.fd)

    def close(self) -> None:
        os.close(self.fd)


class RealFiles:
    """A directory on a real disk; created if it does not exist, unless it is opened read-only."""

    def __init__(self, path: Path, read_only: bool = False) -> None:
        self.path = path
        if not read_only:
            path.mkdir(parents=True, exist_ok=True)
        elif not path.is_dir():
            raise FileNotFoundError(2, "is not a directory", str(path))
        self.lock_fd: int | None = None

    def lock(self) -> None:
        fd = os.open(self.path / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(fd)
            raise StoreLocked(11, "another process has locked the store", str(self.path)) from None
        self.lock_fd = fd

    def names(self) -> list[str]:
        return sorted(name for name in os.listdir(self.path) if name != LOCK_FILE)

    def read(self, name: str) -> bytes:
        return (self.path / name).read_bytes()

    def create(self, name: str) -> Handle:
        return RealHandle(self.path / name, os.O_TRUNC | os.O_APPEND)

    def open(self, name: str) -> Handle:
        return RealHandle(self.path / name, 0)

    def rename(self, old: str, new: str) -> None:
        os.rename(self.path / old, self.path / new)

    def remove(self, name: str) -> None:
        os.unlink(self.path / name)

    def sync_directory(self) -> None:
        fd = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def close(self) -> None:
        if self.lock_fd is not None:
            os.close(self.lock_fd)
            self.lock_fd = None
