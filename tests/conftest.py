"""Tests that are known to fail for a fault which is not mended yet: `KNOWN-RED.txt` lists them.

One line each: the test's id, what causes the failure, and the issue, parted by ` | `. They run all the same,
are printed with their cause, and do not fail the run.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST_KNOWN_RED = 3


@dataclass(frozen=True)
class KnownFailure:
    """One line of the list."""

    test: str
    cause: str
    issue: str


def read_known_failures(text: str) -> list[KnownFailure]:
    """The list from its text; a ValueError names the line that can't be read, or says that it is too long."""
    known = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3 or not all(parts):
            raise ValueError(f"KNOWN-RED.txt line {number}: not `test | cause | issue`")
        known.append(KnownFailure(*parts))
    if len(known) > MOST_KNOWN_RED:
        raise ValueError(f"KNOWN-RED.txt names {len(known)} tests, {MOST_KNOWN_RED} at the most")
    return known


def known_failures() -> list[KnownFailure]:
    """What the list holds; nothing where there is none."""
    return read_known_failures(KNOWN_RED.read_text()) if KNOWN_RED.exists() else []


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    for known in known_failures():
        listed = [i for i in items if i.nodeid == known.test or i.nodeid.startswith(known.test + "[")]
        for item in listed:
            item.add_marker(pytest.mark.xfail(reason=f"{known.cause} ({known.issue})", strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for known in known_failures():
        terminalreporter.write_line(f"known red: {known.test}: {known.cause} ({known.issue})")
