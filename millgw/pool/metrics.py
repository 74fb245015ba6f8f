"""Metrics of the pools and their JSON for operators; docs/control.md describes each one.

Reading them iterates over the endpoints once for `out_of_rotation`. This is computed from the current state
of the module, at about 0.1 µs per endpoint, as a separate counter could differ from that state.
"""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from typing import Protocol

from millgw.http.message import REFUSED, SERVED

THROTTLED_STATUSES = (429, REFUSED)
MAX_NAMED = 200  # endpoints out of rotation listed in one answer: about 16 kB


class AnswerCounts:
    """Counts of one pool's final answers, by class."""

    __slots__ = ("classes", "faulted", "fulfilled", "throttled")

    def __init__(self, classes: Sequence[str]) -> None:
        self.classes = tuple(classes)
        self.fulfilled = [0] * len(self.classes)
        self.throttled = [0] * len(self.classes)
        self.faulted = [0] * len(self.classes)

    def answered(self, cls: int, status: int) -> None:
        """A client got its final answer."""
        if status == SERVED:
            self.fulfilled[cls] += 1
        elif status in THROTTLED_STATUSES:
            self.throttled[cls] += 1
        else:
            self.faulted[cls] += 1


class MeasuredPool(Protocol):
    """What the metrics need of a pool."""

    answer_counts: AnswerCounts

    def relayed(self) -> int: ...

    def open_requests(self) -> int: ...

    def listed_count(self) -> int: ...

    name: str

    def out_of_rotation(self) -> list[tuple[str, str]]: ...


def metrics(pools: Sequence[MeasuredPool]) -> dict[str, object]:
    """The metrics summed over all pools; each configured class is included, also with count 0."""
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
        "registry_entries": sum(pool.listed_count() for pool in pools),
        "out_of_rotation": sum(len(pool.out_of_rotation()) for pool in pools),
    }


def out_of_rotation_json(pools: Sequence[MeasuredPool], most: int = MAX_NAMED) -> bytes:
    """One line of JSON: the endpoints out of rotation with service and reason, at most `most` of them."""
    rows = [
        {"service": pool.name, "endpoint": endpoint, "why": why}
        for pool in pools
        for endpoint, why in pool.out_of_rotation()
    ]
    return json.dumps({"out_of_rotation": rows[:most], "unnamed": max(0, len(rows) - most)}).encode() + b"\n"


def metrics_json(pools: Sequence[MeasuredPool], more: Mapping[str, object] | None = None) -> bytes:
    """The metrics summed over all pools as one line of JSON, followed by those of `more`."""
    return json.dumps(metrics(pools) | dict(more or {})).encode() + b"\n"
