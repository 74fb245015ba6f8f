"""Days of real processes, one test run at a time: two of them at once only wait for each other's cores."""

from __future__ import annotations

import fcntl
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path


@contextmanager
def alone() -> Iterator[None]:
    """Keep other test runs on this machine from playing days meanwhile."""
    with (Path(tempfile.gettempdir()) / "millgw-tests.lock").open("w") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield
