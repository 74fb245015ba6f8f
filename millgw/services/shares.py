"""Current limits of each service's pool: its share of all resources, and of endpoint connections."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from millgw.platform.descriptors import Descriptors
from millgw.pool.pool import Pool
from millgw.pool.share import CALLS, CONNECTIONS
from millgw.services.limits import Allotment


class PoolLimits:
    """The limits of all pools and their current usage. `clock` is in ms."""

    def __init__(self, allotments: Mapping[str, Allotment], clock: Callable[[], float]) -> None:
        self.allotments = dict(allotments)
        self.pools: dict[str, Pool] = {}
        self.retired: list[Pool] = []  # removed pools that still have open calls
        self.clock = clock

    def used(self, kind: str) -> dict[str, int]:
        """What each pool holds of a kind of resource; a service without a pool yet holds nothing."""
        names = self.allotments[kind].guaranteed
        return {name: self.pools[name].in_use(kind) if name in self.pools else 0 for name in names}

    def held_by_retired(self, kind: str) -> int:
        """What removed pools still hold, so that it is not available yet."""
        return sum(pool.in_use(kind) for pool in self.retired)


class BorrowingShare:
    """One service's share: its guarantee, and what it may borrow from the idle part of others.

    A removed pool has no share and accepts nothing new; its limit is the total, so that its calls can finish.
    """

    def __init__(self, name: str, limits: PoolLimits) -> None:
        self.name = name
        self.limits = limits
        self.retired = False

    def limit(self, kind: str) -> int:
        allotment = self.limits.allotments[kind]
        if self.retired or self.name not in allotment.guaranteed:
            return allotment.total
        return allotment.limit(
            self.name, self.limits.used(kind), self.limits.clock(), self.limits.held_by_retired(kind)
        )

    def end(self) -> None:
        self.retired = True

    def grant_timeout(self, timeout: float) -> float:
        calls = self.limits.allotments[CALLS]
        borrowing = calls.would_borrow(self.name, self.limits.used(CALLS))
        return min(timeout, calls.lend_ms) if borrowing else timeout


class ConnectionBudget:
    """Limits a pool's connections to endpoints: the process's descriptor budget and the pool's share."""

    def __init__(
        self, name: str, descriptors: Descriptors, limits: PoolLimits, share: BorrowingShare
    ) -> None:
        self.name = name
        self.descriptors = descriptors
        self.limits = limits
        self.share = share
        self.endpoints: Callable[[], int] = int

    def full(self) -> bool:
        return self.descriptors.full() or self._share_used_up()

    def _share_used_up(self) -> bool:
        return self.endpoints() >= self.share.limit(CONNECTIONS)

    def make(self) -> bool:
        """Free a descriptor by closing an idle connection elsewhere, unless the pool's share is used up."""
        return not self._share_used_up() and (
            self._close_idle_of_others() or self.descriptors.close_idle_caller()
        )

    def _close_idle_of_others(self) -> bool:
        """Close an idle connection of the pool that is furthest above its guarantee."""
        guaranteed = self.limits.allotments[CONNECTIONS].guaranteed
        over = [
            (guaranteed[p.name] - p.in_use(CONNECTIONS), p)
            for p in self.limits.pools.values()
            if p.name != self.name and p.in_use(CONNECTIONS) > guaranteed[p.name]
        ]
        over.sort(key=lambda pair: pair[0])
        return any(pool.upstream.close_oldest_idle() for _, pool in over)
