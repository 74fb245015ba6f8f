"""Merges two sources of one pool's endpoints, the coordinator and discovery, into one list. Pure.

    union          endpoints that either lists             intersection   endpoints that both list
    coordinator    the coordinator's list while it is healthy, else discovery's
    discovery      discovery's list while it is healthy, else the coordinator's

In every mode a drain that either source reports applies at once. So does a removal: an endpoint that one
source listed before and lists no longer is out, until that source lists it again or the other reports a later
start. A source has no say on endpoints it never listed. Each endpoint appears once: entries with the same
name or the same address are one endpoint, under the coordinator's name. What the chosen one of the two does
not tell, such as the group, is taken from the other.

While a source's list is in doubt (see `discovery_list`), the endpoints on it are left out in every mode, as a
drain that it could not report may count as told. Those that only the other source lists are not affected.
Before its first report it may know of any endpoint.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import Enum

from millgw.interface import Condition
from millgw.platform.config import Address
from millgw.platform.discovery import ListedEndpoint, with_condition


class Mode(Enum):
    """How the two lists are merged."""

    UNION = "union"
    INTERSECTION = "intersection"
    COORDINATOR = "coordinator"
    DISCOVERY = "discovery"


COORDINATOR, DISCOVERY = 0, 1


@dataclass(slots=True)
class SourceList:
    """One source's latest list.

    `reported`: it has reported a list; `healthy`: it is reachable now; `in_doubt`: a drain that it has not
    reported may count as told.
    """

    ready: dict[int, ListedEndpoint] = field(default_factory=dict)
    draining: dict[int, ListedEndpoint] = field(default_factory=dict)
    # Endpoints that are not on this list any more, or drain on it under another name, each with the start
    # time up to which that holds (ms):
    ended: dict[int, float] = field(default_factory=dict)
    # Addresses of those that drain, each with the start of the process that drains there (ms):
    draining_since: dict[Address, float] = field(default_factory=dict)
    reported: bool = False
    healthy: bool = False
    in_doubt: bool = False


class Merger:
    """Holds both sources' lists, by endpoint id."""

    def __init__(self, mode: Mode) -> None:
        self.mode = mode
        self.sources = (SourceList(), SourceList())

    def continue_from(self, other: Merger) -> None:
        """Start with the lists of another merger, which ends."""
        self.sources = other.sources

    def reported(self) -> bool:
        """Whether any source has reported a list."""
        return any(source.reported for source in self.sources)

    def update(
        self, side: int, ready: Mapping[int, ListedEndpoint], drains: Mapping[int, ListedEndpoint]
    ) -> None:
        """Replace a source's list by its current complete one."""
        source, other = self.sources[side], self.sources[1 - side]
        by_address = {entry.address: entry for entry in other.ready.values()}
        for id, entry in source.ready.items():
            if id not in ready:
                # What the other source lists now is the process that has ended, however late its start.
                theirs = other.ready.get(id) or by_address.get(entry.address, entry)
                since = max(entry.endpoint.started_at, theirs.endpoint.started_at)
                source.ended[id] = source.ended[theirs.endpoint.id] = since
        for id in ready:
            source.ended.pop(id, None)
        source.ready, source.draining = dict(ready), dict(drains)
        source.reported = source.healthy = True
        for one, another in ((source, other), (other, source)):
            _end_drained_addresses(one, another)

    def mark_unhealthy(self, side: int) -> None:
        """A source is unreachable: its latest list stays, but a mode may now prefer the other one."""
        self.sources[side].healthy = False

    def result(self) -> dict[int, ListedEndpoint]:
        """The merged list: endpoints that are ready, and those that drain (without address)."""
        first, second = self.sources
        names = _ids_by_shared_address(first, second)
        theirs = {names.get(id, id): entry for id, entry in second.ready.items()}
        drains = dict(first.draining) | {names.get(id, id): e for id, e in second.draining.items()}
        ended = (first.ended, {names.get(id, id): since for id, since in second.ended.items()})
        chosen: dict[int, ListedEndpoint] = {}
        for id in {**first.ready, **theirs}:
            mine, other = first.ready.get(id), theirs.get(id)
            entry = self._choose(mine, other)
            if entry is None or _is_removed(id, mine, other, ended):
                continue
            if _is_doubted(first, mine) or _is_doubted(second, other):
                continue
            entry = _completed(entry, other if entry is mine else mine)
            since = max(e.endpoint.started_at for e in (mine, other) if e is not None)
            chosen[id] = replace(entry, endpoint=replace(entry.endpoint, id=id, started_at=since))
        last: dict[Address | None, int] = {}
        for id, entry in list(chosen.items()):
            other_id = last.setdefault(entry.address, id)
            if other_id != id:
                # Two names at one address: only the one that started later can be running there.
                later = entry.endpoint.started_at > chosen[other_id].endpoint.started_at
                del chosen[other_id if later else id]
                last[entry.address] = id if later else other_id
        for id, entry in drains.items():
            chosen[id] = replace(entry, endpoint=replace(entry.endpoint, id=id), address=None)
        return chosen

    def _choose(self, mine: ListedEndpoint | None, other: ListedEndpoint | None) -> ListedEndpoint | None:
        first, second = self.sources
        either = mine or other
        if not (first.reported and second.reported):
            return either  # a source that has not reported yet removes nothing
        if self.mode is Mode.UNION:
            return either
        if self.mode is Mode.INTERSECTION:
            return mine if mine is not None and other is not None else None
        if self.mode is Mode.COORDINATOR:
            return mine if first.healthy or not second.healthy else other
        return other if second.healthy or not first.healthy else mine


def _completed(entry: ListedEndpoint, other: ListedEndpoint | None) -> ListedEndpoint:
    """The entry with the fields that only the other source's entry tells."""
    if other is None:
        return entry
    known, added = entry.endpoint, other.endpoint
    endpoint = replace(
        known,
        size=added.size if other.size_told and not entry.size_told else known.size,
        cell=added.cell if known.cell is None else known.cell,
        zone=added.zone if known.zone is None else known.zone,
    )
    return replace(entry, endpoint=endpoint, size_told=entry.size_told or other.size_told)


def _ids_by_shared_address(first: SourceList, second: SourceList) -> dict[int, int]:
    """Maps the second source's ids to the first's where both list the same address under different names."""
    by_address: dict[Address, int] = {}
    for id, entry in [*first.draining.items(), *first.ready.items()]:
        if entry.address is not None:
            by_address[entry.address] = id
    known = first.ready.keys() | first.draining.keys()
    same = {}
    for id, entry in second.ready.items():
        if entry.address is not None and id not in known and entry.address in by_address:
            same[id] = by_address[entry.address]
    return same


def _is_doubted(source: SourceList, entry: ListedEndpoint | None) -> bool:
    """Whether the source may know of a drain that it could not report; `entry`: its own of that endpoint."""
    return source.in_doubt and (entry is not None or not source.reported)


def _end_drained_addresses(source: SourceList, other: SourceList) -> None:
    """Count what the other source lists at the address of one that drains as ended: it is that process.

    Not if it started later than that process, or if the source itself lists another one there by now.
    """
    in_use = {entry.address for entry in source.ready.values()}
    since_before = source.draining_since
    source.draining_since = {}
    for id, drain in source.draining.items():
        address = drain.last_address
        if address is not None and address not in in_use:
            source.draining_since[address] = source.ended.get(id, since_before.get(address, math.inf))
    if not source.draining_since:
        return
    for id, entry in other.ready.items():
        if entry.address is None or id in source.ready:
            continue
        since, started_at = source.draining_since.get(entry.address), entry.endpoint.started_at
        if since is not None and started_at <= since:
            # The first one that is seen at the address of a drain whose start is unknown is that process.
            since = started_at if since == math.inf else since
            source.draining_since[entry.address] = source.ended[id] = since


def _is_removed(
    id: int,
    mine: ListedEndpoint | None,
    other: ListedEndpoint | None,
    ended: tuple[Mapping[int, float], Mapping[int, float]],
) -> bool:
    """Whether one source has removed it and the other reports no later start."""
    for removed, own, entry in ((ended[0], mine, other), (ended[1], other, mine)):
        if own is None and id in removed and (entry is None or entry.endpoint.started_at <= removed[id]):
            return True
    return False


def changes(
    before: Mapping[int, ListedEndpoint], after: Mapping[int, ListedEndpoint]
) -> tuple[ListedEndpoint, ...]:
    """The entries to send to a receiver that has `before` to bring it to `after`."""
    changed = [entry for id, entry in after.items() if before.get(id) != entry]
    gone = [entry for id, entry in before.items() if id not in after]
    return (*changed, *(with_condition(e, Condition.GONE) for e in gone))
