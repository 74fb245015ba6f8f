"""The messages between replicas and their JSON encoding. No I/O.

Every message carries its sender's epoch, its incarnation (a number that increases each time its durable state
is opened) and the last position of its log. From these, peers detect an instance that restarted with older
state.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from millgw.configuration.document import DocumentError, canonical_json, decode_count
from millgw.configuration.encoding import (
    Fields,
    entry_fields,
    read_entry,
    read_flag,
    read_list,
    read_number,
    read_snapshot,
    snapshot_fields,
)
from millgw.configuration.log import Entry, Snapshot

MAX_MESSAGE = 16 * 2**20  # bytes; one encoded message
MAX_CHANGES = 256 * 2**10  # bytes; one version's changes as canonical JSON
MAX_DOCUMENT = 8 * 2**20  # bytes; a whole document as canonical JSON
MAX_ENTRIES = 256  # entries in one append request
MAX_BATCH = 512 * 2**10  # bytes; entries of one append request as JSON. One entry is sent at any size


class MessageError(ValueError):
    """Bytes that are not a valid message; the text names the field."""


@dataclass(slots=True, frozen=True)
class Header:
    """The sender's state, included in every message."""

    epoch: int
    incarnation: int
    log_end: int


@dataclass(slots=True, frozen=True)
class PreVoteRequest:
    """Asks for a vote in the epoch after `header.epoch`, without changing state on either side."""

    header: Header
    last_epoch: int


@dataclass(slots=True, frozen=True)
class PreVoteReply:
    """`request_epoch`: the epoch in the header of the request."""

    header: Header
    request_epoch: int
    granted: bool


@dataclass(slots=True, frozen=True)
class VoteRequest:
    """Requests a vote for the sender in `header.epoch`. `last_epoch` is the epoch of its last log entry."""

    header: Header
    last_epoch: int


@dataclass(slots=True, frozen=True)
class VoteReply:
    header: Header
    granted: bool


@dataclass(slots=True, frozen=True)
class AppendRequest:
    """Entries after `previous_position`; a heartbeat if there are none.

    `sent` is the leader's clock in ms. The reply returns it, and the leader extends its lease from it.
    """

    header: Header
    previous_position: int
    previous_epoch: int
    committed: int
    sent: float
    entries: tuple[Entry, ...]


@dataclass(slots=True, frozen=True)
class AppendReply:
    """`position`: with `success`, up to which the logs agree; else the previous position to try next."""

    header: Header
    success: bool
    position: int
    sent: float


@dataclass(slots=True, frozen=True)
class SnapshotRequest:
    """A whole document, for a follower that needs entries the leader has already compacted."""

    header: Header
    sent: float
    snapshot: Snapshot


@dataclass(slots=True, frozen=True)
class SnapshotReply:
    header: Header
    position: int
    sent: float


Message = (
    PreVoteRequest
    | PreVoteReply
    | VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotRequest
    | SnapshotReply
)

# Encoding


def encode(message: Message) -> bytes:
    """Encode a message as JSON; raises MessageError if it is larger than MAX_MESSAGE."""
    data = canonical_json(
        {"kind": KINDS[type(message)], **_header_fields(message.header), **_body_fields(message)}
    )
    if len(data) > MAX_MESSAGE:
        raise MessageError(f"message: {len(data)} bytes are over {MAX_MESSAGE}")
    return data


def _header_fields(header: Header) -> dict[str, Any]:
    return {"epoch": header.epoch, "incarnation": header.incarnation, "log_end": header.log_end}


def _body_fields(message: Message) -> dict[str, Any]:
    match message:
        case PreVoteRequest() | VoteRequest():
            return {"last_epoch": message.last_epoch}
        case PreVoteReply():
            return {"asked": message.request_epoch, "granted": message.granted}
        case VoteReply():
            return {"granted": message.granted}
        case AppendRequest():
            return {
                "previous_position": message.previous_position,
                "previous_epoch": message.previous_epoch,
                "committed": message.committed,
                "sent": message.sent,
                "entries": [entry_fields(entry) for entry in message.entries],
            }
        case AppendReply():
            return {"success": message.success, "position": message.position, "sent": message.sent}
        case SnapshotRequest():
            return {"sent": message.sent, "snapshot": snapshot_fields(message.snapshot)}
        case SnapshotReply():
            return {"position": message.position, "sent": message.sent}


# Decoding


def decode(data: bytes) -> Message:
    """Decode a message from JSON; a MessageError names the invalid field."""
    if len(data) > MAX_MESSAGE:
        raise MessageError(f"message: {len(data)} bytes are over {MAX_MESSAGE}")
    try:
        fields = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise MessageError(f"message: {error}") from None
    if not isinstance(fields, dict):
        raise MessageError("message: not an object")
    kind = fields.get("kind")
    reader = DECODERS.get(kind) if isinstance(kind, str) else None
    if reader is None:
        raise MessageError("kind: not one of " + ", ".join(DECODERS))
    try:
        return reader(_read_header(fields), fields)
    except DocumentError as error:
        raise MessageError(str(error)) from None


def _read_header(fields: Fields) -> Header:
    return Header(
        decode_count(fields, "epoch"), decode_count(fields, "incarnation"), decode_count(fields, "log_end")
    )


def _read_append(header: Header, fields: Fields) -> AppendRequest:
    previous = decode_count(fields, "previous_position")
    items = read_list(fields, "entries")
    if len(items) > MAX_ENTRIES:
        raise MessageError(f"entries: {len(items)} are over {MAX_ENTRIES}")
    entries = tuple(read_entry(item, f"entries[{number}]") for number, item in enumerate(items))
    for number, entry in enumerate(entries):
        if entry.position != previous + 1 + number:
            raise MessageError(f"entries[{number}].position: does not follow the one before")
    return AppendRequest(
        header,
        previous,
        decode_count(fields, "previous_epoch"),
        decode_count(fields, "committed"),
        read_number(fields, "sent"),
        entries,
    )


DECODERS: dict[str, Callable[[Header, Fields], Message]] = {
    "pre-vote": lambda header, fields: PreVoteRequest(header, decode_count(fields, "last_epoch")),
    "pre-vote-reply": lambda header, fields: PreVoteReply(
        header, decode_count(fields, "asked"), read_flag(fields, "granted")
    ),
    "vote": lambda header, fields: VoteRequest(header, decode_count(fields, "last_epoch")),
    "vote-reply": lambda header, fields: VoteReply(header, read_flag(fields, "granted")),
    "append": _read_append,
    "append-reply": lambda header, fields: AppendReply(
        header,
        read_flag(fields, "success"),
        decode_count(fields, "position"),
        read_number(fields, "sent"),
    ),
    "snapshot": lambda header, fields: SnapshotRequest(
        header, read_number(fields, "sent"), read_snapshot(fields.get("snapshot"), "snapshot")
    ),
    "snapshot-reply": lambda header, fields: SnapshotReply(
        header, decode_count(fields, "position"), read_number(fields, "sent")
    ),
}
KINDS: dict[type[Message], str] = {
    PreVoteRequest: "pre-vote",
    PreVoteReply: "pre-vote-reply",
    VoteRequest: "vote",
    VoteReply: "vote-reply",
    AppendRequest: "append",
    AppendReply: "append-reply",
    SnapshotRequest: "snapshot",
    SnapshotReply: "snapshot-reply",
}
