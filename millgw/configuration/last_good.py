"""Last-good file: the document a sidecar starts with while no control instance can be reached.

The file is one line of JSON: the name of the sidecar that wrote it and snapshots in the format of a watch,
with their digests. A newer document that takes a restart, if any, precedes the last good one. The file is
written under a temporary name, synced and renamed, so that a reader finds either the old or the new one.
"""

from __future__ import annotations

import asyncio
import json
import os
from collections.abc import Sequence
from contextlib import suppress
from pathlib import Path

from millgw.configuration.document import Document, DocumentError, canonical_json, decode_line, encode_line
from millgw.log.events import log_event

MAX_FILE_BYTES = 21 * 1024 * 1024  # bytes: two lines of maximum length and the object around them
MAX_NAME_BYTES = 64  # of the sidecar's name that appear in the file name


class LastGoodFile:
    """The last-good file of one sidecar; written in a thread, skipping superseded documents."""

    def __init__(self, directory: Path, name: str) -> None:
        self.directory = directory
        self.name = name
        stem = name.encode().hex()[: 2 * MAX_NAME_BYTES] or "unnamed"
        self.path = directory / f"configuration-{stem}.json"
        self.pending: tuple[Document, ...] = ()
        self.write_task: asyncio.Task[None] | None = None

    def read(self) -> tuple[Document, ...]:
        """The documents to start with, newest first; none, with a log line, for a damaged or foreign file."""
        try:
            with self.path.open("rb") as file:
                data = file.read(MAX_FILE_BYTES + 1)
            return self._decode(data)
        except FileNotFoundError:
            return ()
        except (OSError, ValueError) as error:
            log_event("last-good-unusable", path=self.path, cause=error)
            return ()

    def _decode(self, data: bytes) -> tuple[Document, ...]:
        if len(data) > MAX_FILE_BYTES:
            raise DocumentError(f"file: longer than {MAX_FILE_BYTES} bytes")
        fields = json.loads(data)
        if not isinstance(fields, dict) or fields.get("sidecar") != self.name:
            raise DocumentError("sidecar: the file belongs to another sidecar")
        lines = fields.get("documents")
        if not isinstance(lines, list):
            raise DocumentError("documents: not a list")
        return tuple(map(_decode_document, lines))

    def save(self, *documents: Document) -> None:
        """Schedule a write of these documents, newest first, after a write that is in progress."""
        self.pending = tuple(document.copy() for document in documents)
        if self.write_task is None:
            self.write_task = asyncio.get_running_loop().create_task(self._write_pending())

    async def _write_pending(self) -> None:
        try:
            while self.pending:
                documents, self.pending = self.pending, ()
                try:
                    await asyncio.to_thread(self.write, documents)
                except OSError as error:
                    # The disk is full or missing: keep serving; the next start may lack the file.
                    log_event("last-good-unwritten", path=self.path, cause=error)
        finally:
            self.write_task = None

    def write(self, documents: Sequence[Document]) -> None:
        """Replace the file atomically, and return once it is durable."""
        lines = [json.loads(encode_line(document.snapshot())) for document in documents]
        data = canonical_json({"sidecar": self.name, "documents": lines}) + b"\n"
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


def _decode_document(fields: object) -> Document:
    line = decode_line(canonical_json(fields))
    if not line.snapshot:
        raise DocumentError("snapshot: the file has no full snapshot")
    document = Document()
    document.load(line)
    return document
