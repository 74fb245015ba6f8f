"""Limits on how much each pool may hold of one shared resource (calls, connections, bytes). Pure.

Each pool has a guaranteed share. Above it, a pool may borrow capacity that is guaranteed to nobody or that
others leave idle, but never what another pool has needed lately, nor the last quarter of another's guarantee:
that stays free for its owner. A pool that can't get its whole guarantee stops all further borrowing until it
has what it needs. Borrowed capacity returns within `lend_ms`, because calls admitted on borrowed capacity are
given no longer than that.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

UNLENDABLE_SHARE = 0.25  # share of a guarantee that is never lent
NEED_HEADROOM = 1.5  # multiple of the recent need that is not lent either, as needs may grow
NEED_DECAY = 2.0  # decay time of a remembered need, in multiples of `lend_ms`


class Allotment:
    """Limits for one resource, in its own units; raises ValueError if the guarantees exceed the total."""

    def __init__(self, total: int, guaranteed: Mapping[str, int], lend_ms: float) -> None:
        if sum(guaranteed.values()) > total:
            raise ValueError(f"the guarantees are {sum(guaranteed.values())} of {total}")
        self.total = total
        self.guaranteed = dict(guaranteed)
        self.lend_ms = lend_ms
        self.recent_need: dict[str, float] = dict.fromkeys(guaranteed, 0.0)
        self.observed_at: dict[str, float] = dict.fromkeys(guaranteed, -math.inf)
        self.short_since: dict[str, float] = {}  # pools that could not get their guarantee, and when (ms)

    def inherit(self, previous: Allotment) -> None:
        """Copy the observed needs of the pools that the previous allotment had too."""
        for name in self.guaranteed.keys() & previous.guaranteed.keys():
            self.recent_need[name], self.observed_at[name] = (
                previous.recent_need[name],
                previous.observed_at[name],
            )
            if name in previous.short_since:
                self.short_since[name] = previous.short_since[name]

    def limit(self, pool: str, used: Mapping[str, int], now: float, held_by_retired: int = 0) -> int:
        """How much this pool may hold now, given that the pools hold `used`; called before each allocation.

        `held_by_retired` is what removed pools still hold: unavailable until they release it.
        """
        total = self.total - held_by_retired
        for name in self.guaranteed:
            self._observe(name, used[name], now)
        others = [name for name in self.guaranteed if name != pool]
        held_by_others = sum(max(used[name], self._min_reserved(name)) for name in others)
        available = min(self.guaranteed[pool], total - held_by_others)
        if used[pool] >= available and used[pool] < self.guaranteed[pool]:
            self.short_since[pool] = now
        elif used[pool] < available:
            self.short_since.pop(pool, None)
        if any(name != pool and now < at + self.lend_ms for name, at in self.short_since.items()):
            return max(0, available)
        reserved = sum(max(used[name], self._reserved(name)) for name in others)
        return max(0, available, total - reserved)

    def would_borrow(self, pool: str, used: Mapping[str, int]) -> bool:
        """Whether one more unit would be borrowed."""
        return used[pool] >= self.guaranteed[pool]

    def _observe(self, pool: str, used: int, now: float) -> None:
        if self.recent_need[pool] > used:
            decayed = math.exp((self.observed_at[pool] - now) / (NEED_DECAY * self.lend_ms))
            self.recent_need[pool] = max(float(used), self.recent_need[pool] * decayed)
        else:
            self.recent_need[pool] = float(used)
        self.observed_at[pool] = now

    def _reserved(self, pool: str) -> int:
        """How much is reserved for a pool, whether it uses it or not."""
        needed = math.ceil(NEED_HEADROOM * self.recent_need[pool])
        return min(self.guaranteed[pool], max(self._min_reserved(pool), needed))

    def _min_reserved(self, pool: str) -> int:
        return math.ceil(UNLENDABLE_SHARE * self.guaranteed[pool])
