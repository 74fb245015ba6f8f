"""Encoding of the state handed to a new process: versioned, with a checksum and a size limit. No I/O.

    otterslip-handover 2 DIGEST\\n
    {"at": Unix ms, "name": ..., "drained": ..., "held": ..., "pools": [{"name": ..., ...}, ...]}

A state that is truncated, of another sidecar or version, or too old is rejected as a whole: a partial state
is worse than none. Version 1, of earlier releases, is read too: there, numbers outside the valid range stood
for a group or zone that is not told.
"""

from __future__ import annotations

import json
import math
from dataclasses import asdict, dataclass, replace
from hashlib import blake2b
from typing import Any

from millgw.interface import Endpoint
from millgw.platform.config import read_address
from millgw.platform.discovery import ListedEndpoint
from millgw.platform.list_state import EndedEndpoints, ListState, MergedLists
from millgw.policy.freshness import ListAge

VERSION = 2
READABLE_VERSIONS = (1, VERSION)
MAX_STATE_SIZE = 8 * 1024 * 1024  # bytes, far above the state of any fleet
MAX_STATE_AGE = 5000.0  # ms; in an older state, cold starts and ejections may be over
MAGIC = b"otterslip-handover"


class StateError(ValueError):
    """The state can't be used; the message says why."""


@dataclass(frozen=True)
class PoolState:
    """State of one pool. `learned` is the balancer's own (see `millgw.hot_restart.learned`)."""

    name: str  # of its service; '' for the only pool of a sidecar without services
    source: ListState
    endpoints: tuple[ListedEndpoint, ...]
    zones: tuple[str, ...]  # names of the zones, in the order by which `endpoints` number them
    age: ListAge | None  # of the list; None: a release before this version, which does not tell it
    learned: Any

    def after(self, passed: float) -> PoolState:
        """The same when `passed` ms have passed."""
        merged = self.source.merged
        return replace(
            self,
            source=self.source if merged is None else replace(self.source, merged=merged.after(passed)),
            age=None if self.age is None else self.age.after(passed),
        )


@dataclass(frozen=True)
class State:
    """State of one process."""

    at: float
    name: str
    pools: tuple[PoolState, ...]
    drained: bool
    held: int  # open descriptors

    def pool(self, name: str) -> PoolState | None:
        """The state of the pool of this name, if there was one."""
        return next((pool for pool in self.pools if pool.name == name), None)

    def after(self, passed: float) -> State:
        """The same when `passed` ms have passed on the way to the receiver."""
        return replace(self, pools=tuple(pool.after(passed) for pool in self.pools))


def encode(state: State) -> bytes:
    """The bytes that are handed over."""
    body = json.dumps(
        {
            "at": state.at, "name": state.name, "drained": state.drained, "held": state.held,
            "pools": [_pool_fields(pool) for pool in state.pools],
        }
    ).encode()  # fmt: skip
    return b"%b %d %b\n%b" % (MAGIC, VERSION, _digest(body), body)


def _pool_fields(pool: PoolState) -> dict[str, object]:
    source = pool.source
    return {
        "name": pool.name, "platform": source.platform, "index": source.index,
        "merged": None if source.merged is None else _merged_fields(source.merged),
        "endpoints": _entry_rows(pool.endpoints), "zones": pool.zones,
        "age": None if pool.age is None else asdict(pool.age), "learned": pool.learned,
    }  # fmt: skip


def _merged_fields(merged: MergedLists) -> dict[str, object]:
    return {
        "directory": merged.directory, "heard": merged.heard, "age": asdict(merged.age),
        "ready": _rows_with_size_told(merged.ready), "draining": merged.draining,
        "ended": [merged.ended_at_coordinator, merged.ended_at_discovery],
    }  # fmt: skip


def _rows_with_size_told(entries: tuple[ListedEndpoint, ...]) -> list[list[object]]:
    rows = _entry_rows(entries)
    return [[*row, entry.size_told] for row, entry in zip(rows, entries, strict=True)]


def _entry_rows(entries: tuple[ListedEndpoint, ...]) -> list[list[object]]:
    return [
        [
            e.endpoint.id,
            e.endpoint.size,
            e.endpoint.cell,
            e.endpoint.zone,
            e.endpoint.started_at,
            str(e.address),
        ]
        for e in entries
    ]


def decode(data: bytes, name: str, now: float, zones: tuple[str, ...]) -> State:
    """Decode the state of sidecar `name`, received at `now` (Unix ms); raises `StateError`.

    `zones` are the receiver's, by which version 1 numbers the zones.
    """
    if len(data) > MAX_STATE_SIZE:
        raise StateError("it is too large")
    head, end, body = data.partition(b"\n")
    words = head.split(b" ")
    if not end or len(words) != 3 or words[0] != MAGIC:
        raise StateError("it does not start with the handover magic")
    if words[1] not in (b"%d" % version for version in READABLE_VERSIONS):
        raise StateError(f"its version is {words[1].decode('latin-1')}, not {VERSION}")
    if words[2] != _digest(body):
        raise StateError("its checksum does not match")
    try:
        raw = json.loads(body)
        if int(words[1]) == VERSION:
            pools = tuple(_read_pool(fields) for fields in raw["pools"])
        else:
            pools = (_read_pool_of_version_1(raw, zones),)
        state = State(
            at=_read_number(raw["at"]),
            name=str(raw["name"]),
            pools=pools,
            drained=raw["drained"] is True,
            held=int(raw["held"]),
        )
    except (ValueError, TypeError, LookupError) as error:
        raise StateError(f"it can't be read: {error}") from None
    if state.name != name:
        raise StateError(f"it is of sidecar {state.name!r}")
    if not -MAX_STATE_AGE <= now - state.at <= MAX_STATE_AGE:
        raise StateError("it is too old")
    return state


def _read_pool(raw: Any) -> PoolState:
    return PoolState(
        name=str(raw["name"]),
        source=ListState(
            platform=raw["platform"] is True,
            index=None if raw["index"] is None else int(raw["index"]),
            # Not told by releases that hand over no merged list.
            merged=None if raw.get("merged") is None else _read_merged(raw["merged"]),
        ),
        endpoints=tuple(_read_entry(row) for row in raw["endpoints"]),
        zones=tuple(map(str, raw["zones"])),
        age=None if raw["age"] is None else _read_age(raw["age"]),
        learned=raw["learned"],
    )


def _read_merged(raw: Any) -> MergedLists:
    ended_at_coordinator, ended_at_discovery = map(_read_ended, raw["ended"])
    return MergedLists(
        directory=str(raw["directory"]),
        ready=tuple(_read_entry(row) for row in raw["ready"]),
        draining=tuple(int(id) for id in raw["draining"]),
        heard=raw["heard"] is True,
        age=_read_age(raw["age"]),
        ended_at_coordinator=ended_at_coordinator,
        ended_at_discovery=ended_at_discovery,
    )


def _read_ended(raw: Any) -> EndedEndpoints:
    return tuple((int(id), _read_number(since)) for id, since in raw)


def _read_age(raw: Any) -> ListAge:
    optional = (raw["valid_for"], raw["moved_ago"])
    valid_for, moved_ago = (None if value is None else _read_number(value) for value in optional)
    return ListAge(_read_number(raw["heard_ago"]), valid_for, moved_ago)


def _read_pool_of_version_1(raw: Any, zones: tuple[str, ...]) -> PoolState:
    """The only pool that a release before this version hands over."""
    rows = [
        [id, size, cell if cell >= 0 else None, zone if zone < len(zones) else None, started_at, address]
        for id, size, cell, zone, started_at, address in raw["endpoints"]
    ]
    return _read_pool(raw | {"name": "", "platform": True, "zones": zones, "age": None, "endpoints": rows})


def _read_entry(row: Any) -> ListedEndpoint:
    id, size, cell, zone, started_at, address, *size_told = row
    endpoint = Endpoint(
        int(id),
        size=_read_number(size),
        cell=None if cell is None else int(cell),
        zone=None if zone is None else int(zone),
        started_at=_read_number(started_at),
    )
    return ListedEndpoint(endpoint, read_address(address), size_told=size_told != [False])


def _read_number(value: Any) -> float:
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f"{value!r} is not a finite number")
    return number


def _digest(body: bytes) -> bytes:
    return blake2b(body, digest_size=16).hexdigest().encode()
