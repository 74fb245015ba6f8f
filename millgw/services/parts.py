"""The parts that services' pools are made of: their shares, their room for connections, their sources."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import replace
from hashlib import blake2b
from typing import Any

from millgw.interface import ListKind
from millgw.operator.file import Service
from millgw.pool.pool import Pool, Source
from millgw.pool.share import CONNECTIONS
from millgw.services.limits import Allotment
from millgw.settings import to_settings
from millgw.sidecar.config import Config, ConfigError, read_address
from millgw.sidecar.descriptors import Descriptors
from millgw.sidecar.discovery import Discovery, Heard, Listed, read_listing


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
        calls = self.bounds.allotments["calls"]
        on_loan = calls.borrowed(self.name, self.bounds.used("calls"))
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


class StaticList:
    """A list that the operator wrote, told as often as the module asks."""

    def __init__(self, entries: tuple[Listed, ...], heard: Heard) -> None:
        self.entries = entries
        self.heard = heard

    def start(self, known: Any) -> None:
        """The configuration's list is its discovery's: the endpoints here are not on it."""
        self.subscribe()

    def subscribe(self) -> None:
        asyncio.get_running_loop().call_soon(self._tell)

    def _tell(self) -> None:
        self.heard(ListKind.FULL, self.entries)

    def stop(self) -> None:
        """It says nothing by itself."""


class OwnDiscovery:
    """A discovery of a service's own: the configuration's list, which is another's, is not for it."""

    def __init__(self, discovery: Discovery) -> None:
        self.discovery = discovery
        self.subscribe = discovery.subscribe
        self.stop = discovery.stop

    def start(self, known: Any) -> None:
        self.discovery.start(None)


def merged(base: Mapping[str, Any], over: Mapping[str, Any]) -> dict[str, Any]:
    """Settings with others over them, table by table."""
    out = dict(base)
    for key, value in over.items():
        before = out.get(key)
        both = isinstance(before, dict) and isinstance(value, dict)
        out[key] = merged(before, value) if both else value  # type: ignore[arg-type]
    return out


def source(service: Service, config: Config) -> Callable[[Heard], Source]:
    """How a service's endpoints are known."""
    if service.endpoints:
        entries = static_list(service, config)
        return lambda heard: StaticList(entries, heard)
    if service.discovery is None:
        return lambda heard: Discovery(config.discovery, config.zones, heard)
    address = read_address(service.discovery)
    return lambda heard: OwnDiscovery(Discovery(address, config.zones, heard))


def static_list(service: Service, config: Config) -> tuple[Listed, ...]:
    """The endpoints that an operator's file names for a service."""
    entries = [
        {
            "name": e.name, "address": e.address, "group": e.group, "weight": e.weight, "zone": e.zone,
            "status": "in_service", "since_ms": 0,
        }
        for e in service.endpoints
    ]  # fmt: skip
    return read_listing({"index": 0, "snapshot": True, "endpoints": entries}, config.zones).entries


def pool_config(name: str, service: Service, config: Config, raw: Mapping[str, Any]) -> Config:
    """The configuration as a service's pool has it, with the classes and settings that are its own."""
    settings = merged(raw, service.settings)
    if service.classes:
        named = {c.get("name"): c for c in settings.get("classes", ()) if isinstance(c, dict)}
        for i, cls in enumerate(service.classes):
            if cls not in named:
                raise ConfigError(f"services.{name}.classes[{i}]: the configuration has no class {cls!r}")
        settings["classes"] = [named[cls] for cls in service.classes]
    try:
        return replace(config, settings=to_settings(settings))
    except ValueError as error:
        raise ConfigError(f"services.{name}.settings: {error}") from None


def pool_seed(seed: int, name: str) -> int:
    """A seed for each service's module: the same after a reload, another for each name."""
    return int.from_bytes(blake2b(f"{seed} {name}".encode(), digest_size=8).digest(), "big")
