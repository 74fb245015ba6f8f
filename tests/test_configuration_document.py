"""Tests of the configuration document: decoding of lines, digests, atomic versions."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from millgw.configuration.document import (
    Change,
    Document,
    DocumentError,
    WatchLine,
    decode_line,
    encode_line,
)

NAMES = st.sampled_from(["settings", "services.login", "services.mail"])
VALUES = st.none() | st.dictionaries(st.text(max_size=5), st.integers() | st.text(max_size=5), max_size=3)
CHANGES = st.lists(st.builds(Change, NAMES, VALUES), max_size=4).map(tuple)


@given(st.lists(CHANGES, max_size=6))
def test_a_snapshot_and_successive_lines_give_the_same_document(versions: list[tuple[Change, ...]]) -> None:
    leader = Document()
    follower = Document()
    for index, changes in enumerate(versions, 1):
        leader.apply(index, 1, changes)
        line = WatchLine(index, 1, False, leader.digest(), changes)
        follower.load(decode_line(encode_line(line)))
    fresh = Document()
    fresh.load(decode_line(encode_line(leader.snapshot())))
    assert follower == leader
    assert fresh == leader


def test_a_line_that_does_not_follow_changes_nothing() -> None:
    document = Document()
    document.apply(1, 1, [Change("settings", {"tick": 5})])
    before = document.copy()
    with pytest.raises(DocumentError, match="digest"):
        document.load(WatchLine(3, 1, False, Document().digest(), (Change("settings", {"tick": 6}),)))
    assert document == before


@pytest.mark.parametrize(
    ("line", "field"),
    [
        (b"{", "line"),
        (b"[]", "line"),
        (b'{"index":-1,"epoch":1,"snapshot":true,"digest":"","entries":[]}', "index"),
        (b'{"index":true,"epoch":1,"snapshot":true,"digest":"","entries":[]}', "index"),
        (b'{"index":1,"epoch":1,"snapshot":1,"digest":"","entries":[]}', "snapshot"),
        (b'{"index":1,"epoch":1,"snapshot":true,"entries":[]}', "digest"),
        (b'{"index":1,"epoch":1,"snapshot":true,"digest":"","entries":{}}', "entries"),
        (b'{"index":1,"epoch":1,"snapshot":true,"digest":"","entries":[{"name":"","value":{}}]}', "name"),
        (b'{"index":1,"epoch":1,"snapshot":true,"digest":"","entries":[{"name":"a"}]}', "value"),
        (b'{"index":1,"epoch":1,"snapshot":true,"digest":"","entries":[{"name":"a","value":1}]}', "value"),
    ],
)
def test_the_error_for_an_invalid_line_names_the_field(line: bytes, field: str) -> None:
    with pytest.raises(DocumentError, match=field):
        decode_line(line)
