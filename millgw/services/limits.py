"""Limits on how much each pool may hold of one shared resource (calls, connections, bytes). Pure.

Each pool has a guaranteed share. Above it, a pool may borrow capacity that is guaranteed to nobody or that
others leave idle, but never what another pool has needed lately, nor the last quarter of another's guarantee:
that stays free for its owner. A pool that can't get its whole guarantee stops all further borrowing until it
has what it needs. Borrowed capacity returns within `lend` ms, because calls admitted on borrowed capacity are
given no longer than that.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

KEPT_FREE = 0.25  # share of a guarantee that is never lent
NEED_ROOM = 1.5  # multiple of the recent need that is not lent either, as needs may grow
MEMORY = 2.0  # decay time of a remembered need, in multiples of `lend`


class Allotment:
    """Limits for one resource, in its own units; raises ValueError if the guarantees exceed the total."""

    def __init__(self, total: int, guaranteed: Mapping[str, int], lend: float) -> None:
        if sum(guaranteed.values()) > total:
            raise ValueError(f"the guarantees are {sum(guaranteed.values())} of {total}")
        self.total = total
        self.guaranteed = dict(guaranteed)
        self.lend = lend
        self.need: dict[str, float] = dict.fromkeys(guaranteed, 0.0)
        self.seen: dict[str, float] = dict.fromkeys(guaranteed, -math.inf)
        self.short: dict[str, float] = {}  # pools that could not get their guarantee, and when (ms)

    def succeed(self, before: Allotment) -> None:
        """Copy the observed needs of the pools that the previous allotment had too."""
        for name in self.guaranteed.keys() & before.guaranteed.keys():
            self.need[name], self.seen[name] = before.need[name], before.seen[name]
            if name in before.short:
                self.short[name] = before.short[name]

    def most(self, pool: str, used: Mapping[str, int], now: float, gone: int = 0) -> int:
        """How much this pool may hold now, given that the pools hold `used`; called before each allocation.

        `gone` is held by removed pools, which have no share any more: unavailable until they release it.
        """
        total = self.total - gone
        for name in self.guaranteed:
            self._note(name, used[name], now)
        others = [name for name in self.guaranteed if name != pool]
        held = sum(max(used[name], self._least(name)) for name in others)
        own = min(self.guaranteed[pool], total - held)
        if used[pool] >= own and used[pool] < self.guaranteed[pool]:
            self.short[pool] = now
        elif used[pool] < own:
            self.short.pop(pool, None)
        if any(name != pool and now < at + self.lend for name, at in self.short.items()):
            return max(0, own)
        kept = sum(max(used[name], self._keep(name)) for name in others)
        return max(0, own, total - kept)

    def borrowed(self, pool: str, used: Mapping[str, int]) -> bool:
        """Whether one more unit would be borrowed."""
        return used[pool] >= self.guaranteed[pool]

    def _note(self, pool: str, used: int, now: float) -> None:
        if self.need[pool] > used:
            faded = math.exp((self.seen[pool] - now) / (MEMORY * self.lend))
            self.need[pool] = max(float(used), self.need[pool] * faded)
        else:
            self.need[pool] = float(used)
        self.seen[pool] = now

    def _keep(self, pool: str) -> int:
        """How much is reserved for a pool, whether it uses it or not."""
        needed = math.ceil(NEED_ROOM * self.need[pool])
        return min(self.guaranteed[pool], max(self._least(pool), needed))

    def _least(self, pool: str) -> int:
        return math.ceil(KEPT_FREE * self.guaranteed[pool])
