"""Exponential backoff with decorrelated jitter. Pure."""

from __future__ import annotations

import random


class Backoff:
    """Decorrelated jitter: each wait is drawn from a range that depends on the previous wait."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    def next(self, previous: float, base: float, cap: float) -> float:
        """The next wait, between `base` and `cap`, in the unit of the arguments."""
        previous = max(previous, base)
        return min(cap, base + self.rng.random() * (previous * 3 - base))
