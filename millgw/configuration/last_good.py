"""The last good document in a file, so that a sidecar that starts while all control is away begins with it.

The file is one line: the name of the sidecar that wrote it and snapshots as a watch would tell them, with
their digests. Before the last good document stands a newer one that takes a restart, if there is one. The
file is written under another name, synced and renamed, so that it is whole or the one before.
"""

from __future__ import annotations

import asyncio
import json
import os
from collections.abc import Sequence
from contextlib import suppress
from pathlib import Path

from millgw.configuration.document import Document, DocumentError, canonical, decode_line, encode_line
from millgw.log.events import log_event

MAX_FILE = 21 * 1024 * 1024  # bytes: two lines of the longest, and what stands round them
NAME_BYTES = 64  # of a sidecar's name in the file's name


class LastGood:
    """One sidecar's file in a directory; writing waits for the disk in a thread, the newest document only."""

    def __init__(self, directory: Path, name: str) -> None:
        self.directory = directory
        self.name = name
        stem = name.encode().hex()[: 2 * NAME_BYTES] or "unnamed"
        self.path = directory / f"configuration-{stem}.json"
        self.waiting: tuple[Document, ...] = ()
        self.writing: asyncio.Task[None] | None = None

    def read(self) -> tuple[Document, ...]:
        """The documents to start with, the newest first; a file that is not whole or another's is logged."""
        try:
            with self.path.open("rb") as file:
                data = file.read(MAX_FILE + 1)
            return self._decode(data)
        except FileNotFoundError:
            return ()
        except (OSError, ValueError) as error:
            log_event("last-good-unusable", path=self.path, cause=error)
            return ()

    def _decode(self, data: bytes) -> tuple[Document, ...]:
        if len(data) > MAX_FILE:
            raise DocumentError(f"file: longer than {MAX_FILE} bytes")
        fields = json.loads(data)
        if not isinstance(fields, dict) or fields.get("sidecar") != self.name:
            raise DocumentError("sidecar: the file is another's")
        lines = fields.get("documents")
        if not isinstance(lines, list):
            raise DocumentError("documents: not a list")
        return tuple(map(_document, lines))

    def keep(self, *documents: Document) -> None:
        """Write these, the newest first, after what is being written, if anything is."""
        self.waiting = tuple(document.copy() for document in documents)
        if self.writing is None:
            self.writing = asyncio.get_running_loop().create_task(self._write_waiting())

    async def _write_waiting(self) -> None:
        try:
            while self.waiting:
                documents, self.waiting = self.waiting, ()
                try:
                    await asyncio.to_thread(self.write, documents)
                except OSError as error:
                    # Guards against a full or missing disk: the sidecar serves on, and may start without it.
                    log_event("last-good-unwritten", path=self.path, cause=error)
        finally:
            self.writing = None

    def write(self, documents: Sequence[Document]) -> None:
        """Replace the file as a whole, and return when that is on the disk."""
        lines = [json.loads(encode_line(document.snapshot())) for document in documents]
        data = canonical({"sidecar": self.name, "documents": lines}) + b"\n"
        self.directory.mkdir(parents=True, exist_ok=True)
        temporary = self.path.with_name(f"{self.path.name}.{os.getpid()}")
        try:
            with temporary.open("wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            temporary.rename(self.path)
        except OSError:
            with suppress(OSError):
                temporary.unlink()
            raise
        folder = os.open(self.directory, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)


def _document(fields: object) -> Document:
    line = decode_line(canonical(fields))
    if not line.snapshot:
        raise DocumentError("snapshot: the file holds no whole document")
    document = Document()
    document.load(line)
    return document
