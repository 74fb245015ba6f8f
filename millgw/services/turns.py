"""Whose turn it is: deficit round robin over lanes (Shreedhar and Varghese, 1995). Pure.

Each lane with work gets its quantum once a round, so that a lane with one item waits for one round of the
others at the most, however much they have queued.
"""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

T = TypeVar("T")
QUANTUM = 4  # items of a lane in its turn


class Turns(Generic[T]):
    """Items by lane, handed out in turn."""

    def __init__(self, quantum: int = QUANTUM) -> None:
        self.quantum = quantum
        self.lanes: dict[str, deque[T]] = {}  # those with items, the one whose turn it is first
        self.left = quantum

    def __bool__(self) -> bool:
        return bool(self.lanes)

    def add(self, lane: str, item: T) -> None:
        self.lanes.setdefault(lane, deque()).append(item)

    def next(self) -> T:
        """The next item; an IndexError where there is none."""
        if not self.lanes:
            raise IndexError("no lane has an item")
        lane = next(iter(self.lanes))
        queue = self.lanes[lane]
        item = queue.popleft()
        self.left -= 1
        if not queue:
            del self.lanes[lane]
            self.left = self.quantum
        elif self.left == 0:
            self.lanes[lane] = self.lanes.pop(lane)  # to the end of the round
            self.left = self.quantum
        return item
