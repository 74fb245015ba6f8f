"""Files that a command writes at its end: whole or not at all."""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import TextIO

from millgw.cli.exits import BadInput


class Kept:
    """One report's file, `-` for standard output. Made before a long run, so that a bad place costs nothing.

    What stood there stays until `write`; an interrupted command leaves nothing beside it.
    """

    def __init__(self, path: str, option: str) -> None:
        self.path = path
        self.part: Path | None = None
        self.file: TextIO | None = None
        if path == "-":
            return
        # A pipe or a device is written as it is: nothing can be put in its place.
        if Path(path).exists() and not Path(path).is_file():
            if Path(path).is_dir():
                raise BadInput(f"{option}: {path} is a directory")
            return
        part = Path(f"{path}.{os.getpid()}.part")
        try:
            part.touch(exist_ok=False)
        except OSError as error:
            raise BadInput(f"{option}: {path}: {error.strerror}") from None
        self.part = part

    def add(self, text: str) -> None:
        """Write more of it; it has its place after `done`."""
        if self.path == "-":
            sys.stdout.write(text)
            return
        if self.file is None:
            self.file = open(  # noqa: SIM115
                self.part or self.path, "w", encoding="utf-8", errors="backslashreplace"
            )
        self.file.write(text)

    def done(self) -> None:
        """Put what was written in its place."""
        if self.file is not None:
            self.file.close()
            self.file = None
        if self.part is not None:
            self.part.replace(self.path)
            self.part = None

    def write(self, text: str) -> None:
        """All of it at once."""
        self.add(text)
        self.done()

    def drop(self) -> None:
        """What is not done by now never will be."""
        if self.file is not None:
            self.file.close()
        if self.part is not None:
            self.part.unlink(missing_ok=True)
