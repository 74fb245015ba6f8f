"""Fair queueing: deficit round robin over lanes (Shreedhar and Varghese, 1995). Pure.

Each lane with work gets its quantum once per round, so a lane with one item waits for at most one round of
the others, however much they have queued.
"""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

T = TypeVar("T")
QUANTUM = 4  # items per lane and round


class FairQueue(Generic[T]):
    """Queues of items by lane, served in round robin order."""

    def __init__(self, quantum: int = QUANTUM) -> None:
        self.quantum = quantum
        self.lanes: dict[str, deque[T]] = {}  # only lanes with items; the one being served is first
        self.remaining = quantum  # items that the first lane may still have in this round

    def __bool__(self) -> bool:
        return bool(self.lanes)

    def add(self, lane: str, item: T) -> None:
        self.lanes.setdefault(lane, deque()).append(item)

    def next(self) -> T:
        """Remove and return the next item; raises IndexError if there is none."""
        if not self.lanes:
            raise IndexError("no lane has an item")
        lane = next(iter(self.lanes))
        queue = self.lanes[lane]
        item = queue.popleft()
        self.remaining -= 1
        if not queue:
            del self.lanes[lane]
            self.remaining = self.quantum
        elif self.remaining == 0:
            self.lanes[lane] = self.lanes.pop(lane)  # to the end of the round
            self.remaining = self.quantum
        return item
