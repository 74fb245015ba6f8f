"""The metrics of pools and their JSON for operators; docs/control.md says what each one means.

Reading them passes over the list of endpoints once for `out_of_rotation`: it is asked of the module as it
stands, which costs some 0.1 µs an endpoint and needs no second count that could differ from it.
"""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from typing import Protocol

from millgw.http.message import REFUSED, SERVED

THROTTLED_STATUSES = (429, REFUSED)
MAX_NAMED = 200  # endpoints out of rotation that one answer names: some 16 kB


class AnswerCounts:
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
        elif status in THROTTLED_STATUSES:
            self.throttled[cls] += 1
        else:
            self.faulted[cls] += 1


class MeasuredPool(Protocol):
    """A pool, as far as its metrics need it."""

    answer_counts: AnswerCounts

    def relayed(self) -> int: ...

    def open_requests(self) -> int: ...

    def listed(self) -> int: ...

    name: str

    def aside(self) -> list[tuple[str, str]]: ...


def metrics(pools: Sequence[MeasuredPool]) -> dict[str, object]:
    """The metrics of all pools together; each class of the settings is there, with 0 too."""
    kinds: dict[str, dict[str, int]] = {"fulfilled": {}, "throttled": {}, "faulted": {}}
    for pool in pools:
        counted = pool.answer_counts
        for counts, cells in zip(
            (counted.fulfilled, counted.throttled, counted.faulted), kinds.values(), strict=True
        ):
            for name, count in zip(counted.classes, counts, strict=True):
                cells[name] = cells.get(name, 0) + count
    return {
        **kinds,
        "relayed": sum(pool.relayed() for pool in pools),
        "open_requests": sum(pool.open_requests() for pool in pools),
        "registry_entries": sum(pool.listed() for pool in pools),
        "out_of_rotation": sum(len(pool.aside()) for pool in pools),
    }


def out_of_rotation_json(pools: Sequence[MeasuredPool], most: int = MAX_NAMED) -> bytes:
    """The endpoints out of rotation, with the service and why, as one line of JSON; `most` are named."""
    rows = [
        {"service": pool.name, "endpoint": endpoint, "why": why}
        for pool in pools
        for endpoint, why in pool.aside()
    ]
    return json.dumps({"out_of_rotation": rows[:most], "unnamed": max(0, len(rows) - most)}).encode() + b"\n"


def metrics_json(pools: Sequence[MeasuredPool], more: Mapping[str, object] | None = None) -> bytes:
    """The metrics of all pools together as one line of JSON, with further ones after them."""
    return json.dumps(metrics(pools) | dict(more or {})).encode() + b"\n"
