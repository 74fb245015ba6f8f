"""What each pool may hold of one kind of thing (calls, connections, bytes) that all share. Pure.

Each pool has a guaranteed part. Beyond it, it may borrow what is left over and what others leave idle, but
never what another has lately needed, nor the last quarter of another's guarantee: that stays free for it. A
pool that finds less than its guarantee ends all further borrowing until it has what it needs; what is on loan
is given back within `lend` ms, as calls taken on loan are given no longer.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

KEPT_FREE = 0.25  # of a guarantee that is never lent
NEED_ROOM = 1.5  # times the lately needed that is not lent either: needs grow
MEMORY = 2.0  # lends for which a need is remembered: it halves in about as long


class Allotment:
    """Bounds for one kind, all in its units; a ValueError tells that the guarantees can't be met."""

    def __init__(self, total: int, guaranteed: Mapping[str, int], lend: float) -> None:
        if sum(guaranteed.values()) > total:
            raise ValueError(f"the guarantees are {sum(guaranteed.values())} of {total}")
        self.total = total
        self.guaranteed = dict(guaranteed)
        self.lend = lend
        self.need: dict[str, float] = dict.fromkeys(guaranteed, 0.0)
        self.seen: dict[str, float] = dict.fromkeys(guaranteed, -math.inf)
        self.short: dict[str, float] = {}  # pools that found less than their guarantee, and when

    def succeed(self, before: Allotment) -> None:
        """Go on from what another one has seen of the pools that both have a part for."""
        for name in self.guaranteed.keys() & before.guaranteed.keys():
            self.need[name], self.seen[name] = before.need[name], before.seen[name]
            if name in before.short:
                self.short[name] = before.short[name]

    def most(self, pool: str, used: Mapping[str, int], now: float, gone: int = 0) -> int:
        """How much this pool may hold now, where all hold `used`; to be asked before each taking.

        `gone` is what those hold that have no part any more: it can't be taken until they give it back.
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
        """Whether one more would be on loan."""
        return used[pool] >= self.guaranteed[pool]

    def _note(self, pool: str, used: int, now: float) -> None:
        if self.need[pool] > used:
            faded = math.exp((self.seen[pool] - now) / (MEMORY * self.lend))
            self.need[pool] = max(float(used), self.need[pool] * faded)
        else:
            self.need[pool] = float(used)
        self.seen[pool] = now

    def _keep(self, pool: str) -> int:
        """What is kept for a pool, whether it uses it or not."""
        needed = math.ceil(NEED_ROOM * self.need[pool])
        return min(self.guaranteed[pool], max(self._least(pool), needed))

    def _least(self, pool: str) -> int:
        return math.ceil(KEPT_FREE * self.guaranteed[pool])
