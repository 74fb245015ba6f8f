"""The last good document in a file, so that a sidecar that starts while all control is away begins with it.

The file is one line: a snapshot as a watch would tell it, with its digest, and the name of the sidecar that
wrote it. It is written under another name, synced and renamed, so that it is whole or the one before.
"""

from __future__ import annotations

import asyncio
import json
import os
from contextlib import suppress
from pathlib import Path

from millgw.configuration.document import Document, DocumentError, canonical, decode_line, encode_line
from millgw.events import tell

MAX_FILE = 11 * 1024 * 1024  # bytes: a line of the longest, and what stands round it
NAME_BYTES = 64  # of a sidecar's name in the file's name


class LastGood:
    """One sidecar's file in a directory; writing waits for the disk in a thread, the newest document only."""

    def __init__(self, directory: Path, name: str) -> None:
        self.directory = directory
        self.name = name
        stem = name.encode().hex()[: 2 * NAME_BYTES] or "unnamed"
        self.path = directory / f"configuration-{stem}.json"
        self.waiting: Document | None = None
        self.writing: asyncio.Task[None] | None = None

    def read(self) -> Document | None:
        """The document, if there is one that is whole and this sidecar's; what can't be used is logged."""
        try:
            with self.path.open("rb") as file:
                data = file.read(MAX_FILE + 1)
            return self._decode(data)
        except FileNotFoundError:
            return None
        except (OSError, ValueError) as error:
            tell("last-good-unusable", path=self.path, cause=error)
            return None

    def _decode(self, data: bytes) -> Document:
        if len(data) > MAX_FILE:
            raise DocumentError(f"file: longer than {MAX_FILE} bytes")
        fields = json.loads(data)
        if not isinstance(fields, dict) or fields.get("sidecar") != self.name:
            raise DocumentError("sidecar: the file is another's")
        line = decode_line(canonical(fields.get("line")))
        if not line.snapshot:
            raise DocumentError("snapshot: the file holds no whole document")
        document = Document()
        document.load(line)
        return document

    def keep(self, document: Document) -> None:
        """Write a document, after the one that is being written, if any."""
        self.waiting = document.copy()
        if self.writing is None:
            self.writing = asyncio.get_running_loop().create_task(self._write_waiting())

    async def _write_waiting(self) -> None:
        try:
            while self.waiting is not None:
                document, self.waiting = self.waiting, None
                try:
                    await asyncio.to_thread(self.write, document)
                except OSError as error:
                    # Guards against a full or missing disk: the sidecar serves on, and may start without it.
                    tell("last-good-unwritten", path=self.path, cause=error)
        finally:
            self.writing = None

    def write(self, document: Document) -> None:
        """Replace the file as a whole, and return when that is on the disk."""
        line = json.loads(encode_line(document.snapshot()))
        data = canonical({"sidecar": self.name, "line": line}) + b"\n"
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
