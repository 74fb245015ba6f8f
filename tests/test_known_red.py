"""The list of tests that are known to fail."""

from __future__ import annotations

import pytest

from tests.conftest import KnownFailure, known_failures, read_known_failures
from tests.kinds import aside

pytestmark = aside


def test_each_line_names_a_test_its_cause_and_its_issue() -> None:
    assert read_known_failures("# a comment\n\ntests/a.py::b | it waits | docs/x.md\n") == [
        KnownFailure("tests/a.py::b", "it waits", "docs/x.md")
    ]
    for line in ("tests/a.py::b", "tests/a.py::b | why", "a |  | c", "a | b | c | d"):
        with pytest.raises(ValueError, match="line 1"):
            read_known_failures(line)


def test_three_tests_at_the_most() -> None:
    with pytest.raises(ValueError, match="names 4 tests"):
        read_known_failures("a | b | c\n" * 4)
    assert len(known_failures()) <= 3
