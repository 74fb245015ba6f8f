"""All points in time that a pool waits for, on one timer of the loop. Pure: no clock, no timers of its own.

A wheel without a rim: moments fall into slots of 1 ms, each a table from which one is taken out as cheaply as
it is put in. Deadlines are mostly taken out long before they fall due, and slots that have become empty by
then are passed over. Times are milliseconds.
"""

from __future__ import annotations

import heapq
import math
from typing import Generic, TypeVar

T = TypeVar("T")


class Due(Generic[T]):
    """One moment that is waited for, and what for; its slot is -1 once it has fallen due or is cancelled."""

    __slots__ = ("item", "slot")

    def __init__(self, slot: int, item: T) -> None:
        self.slot = slot
        self.item = item

    def cancelled(self) -> bool:
        return self.slot < 0


class Deadlines(Generic[T]):
    """What falls due when."""

    def __init__(self) -> None:
        self.slots: dict[int, dict[Due[T], None]] = {}
        self.slot_heap: list[int] = []  # heap of the slots

    def add(self, at: float, item: T) -> Due[T]:
        """Wait for a moment; it falls due at it or within 1 ms after, never before."""
        slot = math.ceil(at)
        entry = Due(slot, item)
        entries = self.slots.get(slot)
        if entries is None:
            self.slots[slot] = entries = {}
            heapq.heappush(self.slot_heap, slot)
        entries[entry] = None
        return entry

    def cancel(self, entry: Due[T]) -> None:
        """Wait for it no longer; harmless for one that has fallen due."""
        if entry.slot >= 0:
            self.slots[entry.slot].pop(entry, None)
            entry.slot = -1

    def next(self) -> float | None:
        """When the first falls due; None where nothing is waited for."""
        while self.slot_heap:
            slot = self.slot_heap[0]
            if self.slots[slot]:
                return float(slot)
            heapq.heappop(self.slot_heap)
            del self.slots[slot]
        return None

    def pop(self, now: float) -> T | None:
        """One that has fallen due, the earliest first; None where there is none (more)."""
        first = self.next()
        if first is None or first > now:
            return None
        entries = self.slots[self.slot_heap[0]]
        entry = next(iter(entries))
        del entries[entry]
        entry.slot = -1
        return entry.item
