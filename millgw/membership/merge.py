"""Two sources of one pool's endpoints, made one list. Pure.

    union          what either lists                       intersection   what both list
    coordinator    the coordinator's list while it is well; discovery's while it is not; `discovery`: the same
                   the other way round

Whatever the way: a drain that either tells counts at once. So does an end: an endpoint that one source had
listed and lists no more is out, until it is listed there again or the other tells of a later start. What one
never listed, it says nothing of. Each endpoint is known once: entries with one name, or one address, are one,
under the coordinator's name.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import Enum

from millgw.interface import Condition
from millgw.platform.config import Address
from millgw.platform.discovery import ListedEndpoint, with_condition


class Mode(Enum):
    """How two lists become one."""

    UNION = "union"
    INTERSECTION = "intersection"
    COORDINATOR = "coordinator"
    DISCOVERY = "discovery"


COORDINATOR, DISCOVERY = 0, 1


@dataclass(slots=True)
class Side:
    """One source's last word. `spoke`: it has said anything; `well`: it could say more if there were any."""

    ready: dict[int, ListedEndpoint] = field(default_factory=dict)
    drains: dict[int, ListedEndpoint] = field(default_factory=dict)
    ended: dict[int, float] = field(default_factory=dict)  # listed once and no more: its start by then
    spoke: bool = False
    well: bool = False


class Merger:
    """Both lists, by endpoint id."""

    def __init__(self, mode: Mode) -> None:
        self.mode = mode
        self.sides = (Side(), Side())

    def tell(
        self, side: int, ready: Mapping[int, ListedEndpoint], drains: Mapping[int, ListedEndpoint]
    ) -> None:
        """A source's whole list as it is now."""
        one, other = self.sides[side], self.sides[1 - side]
        at = {entry.address: entry for entry in other.ready.values()}
        for id, entry in one.ready.items():
            if id not in ready:
                # What the other knows by now is of the process that has ended, however late its start.
                theirs = other.ready.get(id) or at.get(entry.address, entry)
                one.ended[id] = max(entry.endpoint.started_at, theirs.endpoint.started_at)
        for id in ready:
            one.ended.pop(id, None)
        one.ready, one.drains = dict(ready), dict(drains)
        one.spoke = one.well = True

    def ails(self, side: int) -> None:
        """A source can't be reached: its last word stands, and counts less where the other is preferred."""
        self.sides[side].well = False

    def result(self) -> dict[int, ListedEndpoint]:
        """What is told to the module: endpoints that are ready, and those that drain."""
        first, second = self.sides
        names = _same(first, second)
        theirs = {names.get(id, id): entry for id, entry in second.ready.items()}
        drains = dict(first.drains) | {names.get(id, id): e for id, e in second.drains.items()}
        ended = (first.ended, {names.get(id, id): since for id, since in second.ended.items()})
        chosen: dict[int, ListedEndpoint] = {}
        for id in {**first.ready, **theirs}:
            mine, other = first.ready.get(id), theirs.get(id)
            entry = self._choose(mine, other)
            if entry is None or _out(id, mine, other, ended):
                continue
            since = max(e.endpoint.started_at for e in (mine, other) if e is not None)
            chosen[id] = replace(entry, endpoint=replace(entry.endpoint, id=id, started_at=since))
        last: dict[Address | None, int] = {}
        for id, entry in list(chosen.items()):
            other_id = last.setdefault(entry.address, id)
            if other_id != id:
                # Two names at one address: the later start is the one that is there.
                later = entry.endpoint.started_at > chosen[other_id].endpoint.started_at
                del chosen[other_id if later else id]
                last[entry.address] = id if later else other_id
        for id, entry in drains.items():
            chosen[id] = replace(entry, endpoint=replace(entry.endpoint, id=id), address=None)
        return chosen

    def _choose(self, mine: ListedEndpoint | None, other: ListedEndpoint | None) -> ListedEndpoint | None:
        first, second = self.sides
        either = mine or other
        if not (first.spoke and second.spoke):
            return either  # one that has yet to speak takes nothing away
        if self.mode is Mode.UNION:
            return either
        if self.mode is Mode.INTERSECTION:
            return mine if mine is not None and other is not None else None
        if self.mode is Mode.COORDINATOR:
            return mine if first.well or not second.well else other
        return other if second.well or not first.well else mine


def _same(first: Side, second: Side) -> dict[int, int]:
    """The second's ids that go by another id at the first: an address has one endpoint."""
    at: dict[Address, int] = {}
    for id, entry in [*first.drains.items(), *first.ready.items()]:
        if entry.address is not None:
            at[entry.address] = id
    known = first.ready.keys() | first.drains.keys()
    same = {}
    for id, entry in second.ready.items():
        if entry.address is not None and id not in known and entry.address in at:
            same[id] = at[entry.address]
    return same


def _out(
    id: int,
    mine: ListedEndpoint | None,
    other: ListedEndpoint | None,
    ended: tuple[Mapping[int, float], Mapping[int, float]],
) -> bool:
    """Whether one source has told its end, and the other knows of no later start."""
    for told, still in ((ended[0], other), (ended[1], mine)):
        if id in told and (still is None or still.endpoint.started_at <= told[id]):
            return True
    return False


def changes(
    before: Mapping[int, ListedEndpoint], after: Mapping[int, ListedEndpoint]
) -> tuple[ListedEndpoint, ...]:
    """What has to be told to one who knows `before`."""
    told = [entry for id, entry in after.items() if before.get(id) != entry]
    gone = [entry for id, entry in before.items() if id not in after]
    return (*told, *(with_condition(e, Condition.GONE) for e in gone))
