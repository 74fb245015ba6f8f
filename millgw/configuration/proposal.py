"""What may be proposed: bounds that keep every entry, snapshot and message readable to the peers. Pure."""

from __future__ import annotations

import json
import math
from collections.abc import Sequence
from typing import Any

from millgw.configuration.document import MAX_NAME, Change, Document, canonical
from millgw.configuration.encoding import MAX_TEXT
from millgw.configuration.messages import MAX_CHANGES, MAX_DOCUMENT

MAX_DEPTH = 64  # of nested objects and lists in one value


class ProposalError(ValueError):
    """A proposal can't be taken; the text names the field."""


def check_proposal(changes: Sequence[Change], author: str, reason: str, at: float) -> int:
    """The size of the changes as canonical JSON; a ProposalError tells why they can't be taken."""
    for name, text in (("author", author), ("reason", reason)):
        if len(text) > MAX_TEXT:
            raise ProposalError(f"{name}: over {MAX_TEXT} characters")
        _encoded(name, text)
    if not math.isfinite(at):
        raise ProposalError("at: not a finite number")
    size = 0
    for number, change in enumerate(changes):
        path = f"changes[{number}]"
        if not 0 < len(change.name) <= MAX_NAME:
            raise ProposalError(f"{path}.name: not a string of 1 to {MAX_NAME} characters")
        if _deeper_than(change.value, MAX_DEPTH):
            raise ProposalError(f"{path}.value: nested deeper than {MAX_DEPTH}")
        size += len(_encoded(path, [change.name, change.value]))
    if size > MAX_CHANGES:
        raise ProposalError(f"changes: {size} bytes are over {MAX_CHANGES}")
    return size


def check_document(document: Document, added: int) -> None:
    """A ProposalError if a document and so many bytes more might be over the bound of a whole document."""
    size = len(canonical(document.entries)) + added
    if size > MAX_DOCUMENT:
        raise ProposalError(f"changes: a document of {size} bytes may be over {MAX_DOCUMENT}")


def _encoded(path: str, value: Any) -> bytes:
    try:
        json.dumps(value, allow_nan=False)  # NaN and the infinities are no JSON
        return canonical(value)
    except (TypeError, ValueError) as error:
        raise ProposalError(f"{path}: {error}") from None


def _deeper_than(value: Any, depth: int) -> bool:
    if isinstance(value, dict):
        return depth == 0 or any(_deeper_than(item, depth - 1) for item in value.values())
    if isinstance(value, list | tuple):
        return depth == 0 or any(_deeper_than(item, depth - 1) for item in value)
    return False
