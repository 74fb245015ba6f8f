"""The program as it is seen from outside: what it loads, what `check` says of an operator's file."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from millgw.__main__ import main


def loaded(modules: str, *parts: str) -> list[str]:
    """Of the modules whose names begin so, those that are there once others have been imported."""
    code = f"import sys, {modules}\nprint(*(m for m in sys.modules if m.startswith({parts!r})))"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    return done.stdout.split()


def refused(folder: Path, text: str, capsys: pytest.CaptureFixture[str]) -> str:
    """What `check` says of an operator's file that it refuses."""
    path = folder / "o.toml"
    path.write_text(text)
    assert main(["check", str(path)]) == 2
    return capsys.readouterr().err
