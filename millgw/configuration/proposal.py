"""Validation of proposals: bounds that keep every entry, snapshot and message decodable by peers. No I/O."""

from __future__ import annotations

import json
import math
from collections.abc import Sequence
from typing import Any

from millgw.configuration.document import MAX_NAME_LENGTH, Change, Document, canonical_json
from millgw.configuration.encoding import MAX_TEXT
from millgw.configuration.messages import MAX_CHANGES, MAX_DOCUMENT

MAX_DEPTH = 64  # of nested objects and lists in one value


class ProposalError(ValueError):
    """A proposal is invalid; the message names the field."""


def check_proposal(changes: Sequence[Change], author: str, reason: str, at: float) -> int:
    """Return the size of the changes as canonical JSON; raises ProposalError for an invalid proposal."""
    for name, text in (("author", author), ("reason", reason)):
        if len(text) > MAX_TEXT:
            raise ProposalError(f"{name}: over {MAX_TEXT} characters")
        _canonical_json(name, text)
    if not math.isfinite(at):
        raise ProposalError("at: not a finite number")
    size = 0
    for number, change in enumerate(changes):
        path = f"changes[{number}]"
        if not 0 < len(change.name) <= MAX_NAME_LENGTH:
            raise ProposalError(f"{path}.name: not a string of 1 to {MAX_NAME_LENGTH} characters")
        if _deeper_than(change.value, MAX_DEPTH):
            raise ProposalError(f"{path}.value: nested deeper than {MAX_DEPTH}")
        size += len(_canonical_json(path, [change.name, change.value]))
    if size > MAX_CHANGES:
        raise ProposalError(f"changes: {size} bytes are over {MAX_CHANGES}")
    return size


def check_document(document: Document, added: int) -> None:
    """Raise ProposalError if the document plus `added` bytes may exceed the limit for a whole document."""
    size = len(canonical_json(document.entries)) + added
    if size > MAX_DOCUMENT:
        raise ProposalError(f"changes: a document of {size} bytes may be over {MAX_DOCUMENT}")


def _canonical_json(path: str, value: Any) -> bytes:
    try:
        json.dumps(value, allow_nan=False)  # NaN and the infinities are not JSON
        return canonical_json(value)
    except (TypeError, ValueError) as error:
        raise ProposalError(f"{path}: {error}") from None


def _deeper_than(value: Any, depth: int) -> bool:
    if isinstance(value, dict):
        return depth == 0 or any(_deeper_than(item, depth - 1) for item in value.values())
    if isinstance(value, list | tuple):
        return depth == 0 or any(_deeper_than(item, depth - 1) for item in value)
    return False
