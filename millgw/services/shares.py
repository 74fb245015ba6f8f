"""What each service's pool may hold now: its share, and its room for connections to endpoints."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from millgw.platform.descriptors import Descriptors
from millgw.pool.pool import Pool
from millgw.pool.share import CALLS, CONNECTIONS
from millgw.services.limits import Allotment


class Bounds:
    """The allotments of all pools, and what each pool holds now. `clock` in ms."""

    def __init__(self, allotments: Mapping[str, Allotment], clock: Callable[[], float]) -> None:
        self.allotments = dict(allotments)
        self.pools: dict[str, Pool] = {}
        self.retired: list[Pool] = []  # that no route leads to, with calls that are still open
        self.clock = clock

    def used(self, kind: str) -> dict[str, int]:
        """What each pool holds of a kind; a name that is served by nobody yet holds nothing."""
        names = self.allotments[kind].guaranteed
        return {name: self.pools[name].held(kind) if name in self.pools else 0 for name in names}

    def gone(self, kind: str) -> int:
        """What pools that are removed still hold, and nobody may take yet."""
        return sum(pool.held(kind) for pool in self.retired)


class LentShare:
    """One service's part: what it has for sure, and what others leave idle.

    A pool that is removed has no part any more and takes nothing new; what it has taken may come to its end.
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
    """What a pool's upstream asks before it connects: the shared budget, and this pool's part of it."""

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
        """Room by closing what others need least; there is none where this pool's own part is used up."""
        return not self._used_up() and (self._from_others() or self.shared.close_caller())

    def _from_others(self) -> bool:
        """Have the pool that is furthest over its guarantee close an idle connection."""
        parts = self.bounds.allotments[CONNECTIONS].guaranteed
        over = [
            (parts[p.name] - p.held(CONNECTIONS), p)
            for p in self.bounds.pools.values()
            if p.name != self.name and p.held(CONNECTIONS) > parts[p.name]
        ]
        over.sort(key=lambda pair: pair[0])
        return any(pool.upstream.give_way() for _, pool in over)
