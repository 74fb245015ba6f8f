"""Messages between replicas: encoding round trips, size limits, and errors that name the field."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from millgw.configuration import messages
from millgw.configuration.document import MAX_NAME_LENGTH, Change, Document, Version
from millgw.configuration.encoding import MAX_TEXT
from millgw.configuration.log import Entry, Snapshot
from millgw.configuration.messages import (
    MAX_CHANGES,
    MAX_DOCUMENT,
    MAX_ENTRIES,
    MAX_MESSAGE,
    AppendReply,
    AppendRequest,
    Header,
    Message,
    MessageError,
    PreVoteReply,
    PreVoteRequest,
    SnapshotReply,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
    decode,
    encode,
)
from millgw.configuration.proposal import MAX_DEPTH, ProposalError, check_document, check_proposal
from tests.kinds import pure_run_only

pytestmark = pure_run_only

HYPOTHESIS_SETTINGS = settings(
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],  # it would fail on a busy machine
)
HEADER = Header(7, 3, 41)
VERSION = Version(12, 6, (Change("settings", {"retry": {"max": 2}}), Change("old", None)), "ann", "why", 1.5)
APPEND = AppendRequest(HEADER, 40, 6, 39, 125.25, (Entry(41, 6, VERSION), Entry(42, 7, None)))
SNAPSHOT = SnapshotRequest(HEADER, 1.0, Snapshot(40, 6, Document(12, 6, {"settings": {"a": [1, None]}})))
ALL_MESSAGES: list[Message] = [
    PreVoteRequest(HEADER, 6),
    PreVoteReply(HEADER, 7, True),
    VoteRequest(HEADER, 6),
    VoteReply(HEADER, False),
    APPEND,
    AppendReply(HEADER, True, 42, 125.25),
    SNAPSHOT,
    SnapshotReply(HEADER, 40, 2.0),
]


@pytest.mark.parametrize("message", ALL_MESSAGES, ids=lambda message: type(message).__name__)
def test_a_message_survives_a_round_trip(message: Message) -> None:
    assert decode(encode(message)) == message


counts = st.integers(0, 2**53)
headers = st.builds(Header, counts, counts, counts)
names = st.text(st.characters(exclude_categories=["Cs"]), min_size=1, max_size=MAX_NAME_LENGTH)
values = st.dictionaries(
    names,
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False, allow_infinity=False) | names,
        lambda inner: st.lists(inner, max_size=3) | st.dictionaries(names, inner, max_size=3),
        max_leaves=5,
    ),
    max_size=3,
)
changes = st.lists(st.builds(Change, names, st.none() | values), max_size=3).map(tuple)
times = st.floats(0, 1e15)
appends = st.builds(
    lambda header, first, epoch, changes, at: AppendRequest(
        header,
        first,
        epoch,
        first,
        at,
        (
            Entry(first + 1, epoch, Version(first, epoch, changes, "a", "r", at)),
            Entry(first + 2, epoch, None),
        ),
    ),
    headers,
    counts,
    counts,
    changes,
    times,
)


@settings(HYPOTHESIS_SETTINGS, max_examples=150)
@given(appends)
def test_any_entries_survive_a_round_trip(message: AppendRequest) -> None:
    assert decode(encode(message)) == message


@settings(HYPOTHESIS_SETTINGS, max_examples=400)
@given(st.data())
def test_corrupted_or_truncated_bytes_decode_or_raise_a_message_error(data: st.DataObject) -> None:
    encoded = bytearray(encode(data.draw(st.sampled_from(ALL_MESSAGES))))
    position = data.draw(st.integers(0, len(encoded) - 1))
    if data.draw(st.booleans()):
        encoded[position] = data.draw(st.integers(0, 255))
    else:
        del encoded[position:]
    try:
        decode(bytes(encoded))
    except MessageError as error:
        assert ":" in str(error)


def with_value(message: Message, path: str, value: Any) -> bytes:
    """An encoded message with the value at a path of names and numbers replaced."""
    fields = json.loads(encode(message))
    *before, last = [int(part) if part.isdigit() else part for part in path.split(".")]
    inner = fields
    for part in before:
        inner = inner[part]
    inner[last] = value
    return json.dumps(fields).encode()


@pytest.mark.parametrize(
    ("message", "path", "value", "named"),
    [
        (APPEND, "kind", "other", "kind"),
        (APPEND, "kind", ["append"], "kind"),
        (APPEND, "epoch", -1, "epoch"),
        (APPEND, "incarnation", True, "incarnation"),
        (APPEND, "log_end", "1", "log_end"),
        (APPEND, "sent", "now", "sent"),
        (APPEND, "sent", float("nan"), "sent"),
        (APPEND, "committed", 1.5, "committed"),
        (APPEND, "entries", {}, "entries"),
        (APPEND, "entries.0", [], "entries[0]"),
        (APPEND, "entries.1.position", 44, "entries[1].position"),
        (APPEND, "entries.0.epoch", None, "entries[0].epoch"),
        (APPEND, "entries.0.version", [], "entries[0].version"),
        (APPEND, "entries.0.version.index", -1, "entries[0].version.index"),
        (APPEND, "entries.0.version.changes", None, "entries[0].version.changes"),
        (APPEND, "entries.0.version.changes.0.name", "", "entries[0].version.changes[0].name"),
        (APPEND, "entries.0.version.changes.0.value", 1, "entries[0].version.changes[0].value"),
        (APPEND, "entries.0.version.author", "x" * (MAX_TEXT + 1), "entries[0].version.author"),
        (APPEND, "entries.0.version.at", "noon", "entries[0].version.at"),
        (SNAPSHOT, "snapshot", None, "snapshot"),
        (SNAPSHOT, "snapshot.position", -1, "snapshot.position"),
        (SNAPSHOT, "snapshot.document", 3, "snapshot.document"),
        (SNAPSHOT, "snapshot.document.index", None, "snapshot.document.index"),
        (SNAPSHOT, "snapshot.document.entries", [], "snapshot.document.entries"),
        (SNAPSHOT, "snapshot.document.entries.settings", None, "snapshot.document.entries.settings"),
        (ALL_MESSAGES[3], "granted", 1, "granted"),
        (ALL_MESSAGES[5], "success", None, "success"),
        (ALL_MESSAGES[1], "asked", None, "asked"),
    ],
)
def test_an_error_names_the_field(message: Message, path: str, value: Any, named: str) -> None:
    with pytest.raises(MessageError) as raised:
        decode(with_value(message, path, value))
    assert str(raised.value).startswith(f"{named}: ")


@pytest.mark.parametrize("data", [b"", b"[]", b"\xff", b"[" * 100_000, b'{"kind":"append"'])
def test_bytes_that_are_not_a_json_object_raise_a_message_error(data: bytes) -> None:
    with pytest.raises(MessageError, match=r"^message: "):
        decode(data)


def test_sizes_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    with pytest.raises(MessageError, match=f"over {MAX_MESSAGE}"):
        decode(b" " * (MAX_MESSAGE + 1))
    entries = tuple(Entry(41 + number, 7, None) for number in range(MAX_ENTRIES + 1))
    with pytest.raises(MessageError, match=f"entries: .* over {MAX_ENTRIES}"):
        decode(encode(replace(APPEND, entries=entries)))
    monkeypatch.setattr(messages, "MAX_MESSAGE", 100)
    with pytest.raises(MessageError, match="over 100"):
        encode(APPEND)


def nested_object(depth: int) -> dict[str, Any]:
    value: dict[str, Any] = {}
    for _ in range(depth - 1):
        value = {"inner": value}
    return value


@pytest.mark.parametrize(
    ("change", "cause"),
    [
        (Change("", {}), "changes[0].name"),
        (Change("x" * (MAX_NAME_LENGTH + 1), {}), "changes[0].name"),
        (Change("x", {"a": object()}), "changes[0]"),
        (Change("x", {"a": "\ud800"}), "changes[0]"),
        (Change("x", {"a": float("nan")}), "changes[0]"),
        (Change("x", nested_object(MAX_DEPTH + 1)), "changes[0].value"),
        (Change("x", {"a": "b" * MAX_CHANGES}), "changes"),
    ],
)
def test_a_proposal_that_peers_could_not_decode_is_rejected(change: Change, cause: str) -> None:
    with pytest.raises(ProposalError) as raised:
        check_proposal([change], "author", "reason", 1.0)
    assert str(raised.value).startswith(f"{cause}: ")


def test_a_proposal_within_the_limits_is_accepted() -> None:
    assert check_proposal([Change("x", nested_object(MAX_DEPTH)), Change("y", None)], "a", "r", 1.0) > 0
    for author, reason, at in (("x" * (MAX_TEXT + 1), "", 1.0), ("", "\ud800", 1.0), ("", "", float("inf"))):
        with pytest.raises(ProposalError):
            check_proposal([], author, reason, at)
    check_document(Document(), MAX_DOCUMENT - 2)
    with pytest.raises(ProposalError, match="document"):
        check_document(Document(), MAX_DOCUMENT - 1)
