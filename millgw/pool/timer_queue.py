"""Timer queue of a pool, driven by a single timer of the event loop. Pure: no clock, no timers of its own.

Entries are grouped into slots of 1 ms. Each slot is a dict, so that adding and cancelling cost the same; a
heap orders the slots. Most deadlines are cancelled long before they are due; slots that are empty by then are
skipped. Times are in milliseconds.
"""

from __future__ import annotations

import heapq
import math
from typing import Generic, TypeVar

T = TypeVar("T")


class TimerEntry(Generic[T]):
    """One queued timer and its item; `slot` is -1 once it has fired or was cancelled."""

    __slots__ = ("item", "slot")

    def __init__(self, slot: int, item: T) -> None:
        self.slot = slot
        self.item = item

    def cancelled(self) -> bool:
        return self.slot < 0


class TimerQueue(Generic[T]):
    """Items ordered by the time at which they are due."""

    def __init__(self) -> None:
        self.slots: dict[int, dict[TimerEntry[T], None]] = {}
        self.slot_heap: list[int] = []  # heap of the slots

    def add(self, at: float, item: T) -> TimerEntry[T]:
        """Add a timer. It is due at the given time or up to 1 ms later, never earlier."""
        slot = math.ceil(at)
        entry = TimerEntry(slot, item)
        entries = self.slots.get(slot)
        if entries is None:
            self.slots[slot] = entries = {}
            heapq.heappush(self.slot_heap, slot)
        entries[entry] = None
        return entry

    def cancel(self, entry: TimerEntry[T]) -> None:
        """Cancel a timer; no effect if it has already fired."""
        if entry.slot >= 0:
            self.slots[entry.slot].pop(entry, None)
            entry.slot = -1

    def next_due(self) -> float | None:
        """When the earliest timer is due; None if there is none."""
        while self.slot_heap:
            slot = self.slot_heap[0]
            if self.slots[slot]:
                return float(slot)
            heapq.heappop(self.slot_heap)
            del self.slots[slot]
        return None

    def pop(self, now: float) -> T | None:
        """Remove and return the earliest item that is due; None if none is."""
        first = self.next_due()
        if first is None or first > now:
            return None
        entries = self.slots[self.slot_heap[0]]
        entry = next(iter(entries))
        del entries[entry]
        entry.slot = -1
        return entry.item
