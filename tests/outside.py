"""Helpers that observe the program from outside: loaded modules, and errors of the command `check`."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from millgw.__main__ import main


def loaded(modules: str, *parts: str) -> list[str]:
    """The loaded modules whose names start with one of `parts`, after a new process imports `modules`."""
    code = f"import sys, {modules}\nprint(*(m for m in sys.modules if m.startswith({parts!r})))"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    return done.stdout.split()


def refused(folder: Path, text: str, capsys: pytest.CaptureFixture[str]) -> str:
    """The error text of `check` for an invalid operator's file."""
    path = folder / "o.toml"
    path.write_text(text)
    assert main(["check", str(path)]) == 2
    return capsys.readouterr().err
