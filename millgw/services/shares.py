"""Current limits of each service's pool: its share of all resources, and of endpoint connections."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from millgw.platform.descriptors import Descriptors
from millgw.pool.pool import Pool
from millgw.pool.share import CALLS, CONNECTIONS
from millgw.services.limits import Allotment


class Bounds:
    """The limits of all pools and their current usage. `clock` is in ms."""

    def __init__(self, allotments: Mapping[str, Allotment], clock: Callable[[], float]) -> None:
        self.allotments = dict(allotments)
        self.pools: dict[str, Pool] = {}
        self.retired: list[Pool] = []  # removed pools that still have open calls
        self.clock = clock

    def used(self, kind: str) -> dict[str, int]:
        """What each pool holds of a kind of resource; a service without a pool yet holds nothing."""
        names = self.allotments[kind].guaranteed
        return {name: self.pools[name].held(kind) if name in self.pools else 0 for name in names}

    def gone(self, kind: str) -> int:
        """What removed pools still hold, so that it is not available yet."""
        return sum(pool.held(kind) for pool in self.retired)


class LentShare:
    """One service's share: its guarantee, and what it may borrow from the idle part of others.

    A removed pool has no share and accepts nothing new; its limit is the total, so that its calls can finish.
    """

    def __init__(self, name: str, bounds: Bounds) -> None:
        self.name = name
        self.bounds = bounds
        self.retired = False

    def most(self, kind: str) -> int:
        allotment = self.bounds.allotments[kind]
        if self.retired or self.name not in allotment.guaranteed:
            return allotment.total
        return allotment.most(self.name, self.bounds.used(kind), self.bounds.clock(), self.bounds.gone(kind))

    def end(self) -> None:
        self.retired = True

    def patience(self, patience: float) -> float:
        calls = self.bounds.allotments[CALLS]
        on_loan = calls.borrowed(self.name, self.bounds.used(CALLS))
        return min(patience, calls.lend) if on_loan else patience


class PoolRoom:
    """Limits a pool's connections to endpoints: the process's descriptor budget and the pool's share."""

    def __init__(self, name: str, shared: Descriptors, bounds: Bounds, share: LentShare) -> None:
        self.name = name
        self.shared = shared
        self.bounds = bounds
        self.share = share
        self.endpoints: Callable[[], int] = int

    def full(self) -> bool:
        return self.shared.full() or self._used_up()

    def _used_up(self) -> bool:
        return self.endpoints() >= self.share.most(CONNECTIONS)

    def make(self) -> bool:
        """Free a descriptor by closing an idle connection elsewhere, unless the pool's share is used up."""
        return not self._used_up() and (self._from_others() or self.shared.close_caller())

    def _from_others(self) -> bool:
        """Close an idle connection of the pool that is furthest above its guarantee."""
        parts = self.bounds.allotments[CONNECTIONS].guaranteed
        over = [
            (parts[p.name] - p.held(CONNECTIONS), p)
            for p in self.bounds.pools.values()
            if p.name != self.name and p.held(CONNECTIONS) > parts[p.name]
        ]
        over.sort(key=lambda pair: pair[0])
        return any(pool.upstream.give_way() for _, pool in over)
