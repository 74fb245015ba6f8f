"""What the sidecar counts for its operators, and how it is told; docs/control.md says what each figure means.

Reading them passes over the list of endpoints once for `out_of_rotation`: it is asked of the module as it
stands, which costs some 0.1 µs an endpoint and needs no second book that could differ from it.
"""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from typing import Protocol

from millgw.message import REFUSED, SERVED

TURNED_AWAY = (429, REFUSED)
MOST_NAMED = 200  # endpoints out of rotation that one answer names: some 16 kB


class Book:
    """Final answers by class of one pool."""

    __slots__ = ("classes", "faulted", "fulfilled", "throttled")

    def __init__(self, classes: Sequence[str]) -> None:
        self.classes = tuple(classes)
        self.fulfilled = [0] * len(self.classes)
        self.throttled = [0] * len(self.classes)
        self.faulted = [0] * len(self.classes)

    def answered(self, cls: int, status: int) -> None:
        """A caller was given its final answer."""
        if status == SERVED:
            self.fulfilled[cls] += 1
        elif status in TURNED_AWAY:
            self.throttled[cls] += 1
        else:
            self.faulted[cls] += 1


class Counted(Protocol):
    """A pool, as far as it is counted."""

    book: Book

    def relayed(self) -> int: ...

    def open_requests(self) -> int: ...

    def listed(self) -> int: ...

    name: str

    def aside(self) -> list[tuple[str, str]]: ...


def told(pools: Sequence[Counted]) -> dict[str, object]:
    """The figures of all pools together; each class of the settings is there, with 0 too."""
    kinds: dict[str, dict[str, int]] = {"fulfilled": {}, "throttled": {}, "faulted": {}}
    for pool in pools:
        book = pool.book
        for counts, cells in zip((book.fulfilled, book.throttled, book.faulted), kinds.values(), strict=True):
            for name, count in zip(book.classes, counts, strict=True):
                cells[name] = cells.get(name, 0) + count
    return {
        **kinds,
        "relayed": sum(pool.relayed() for pool in pools),
        "open_requests": sum(pool.open_requests() for pool in pools),
        "registry_entries": sum(pool.listed() for pool in pools),
        "out_of_rotation": sum(len(pool.aside()) for pool in pools),
    }


def rotation(pools: Sequence[Counted], most: int = MOST_NAMED) -> bytes:
    """The endpoints out of rotation, with the service and why, as one line of JSON; `most` are named."""
    rows = [
        {"service": pool.name, "endpoint": endpoint, "why": why}
        for pool in pools
        for endpoint, why in pool.aside()
    ]
    return json.dumps({"out_of_rotation": rows[:most], "unnamed": max(0, len(rows) - most)}).encode() + b"\n"


def worded(pools: Sequence[Counted], more: Mapping[str, object] | None = None) -> bytes:
    """The same as one line of JSON, with further figures after them."""
    return json.dumps(told(pools) | dict(more or {})).encode() + b"\n"
