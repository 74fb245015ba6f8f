"""One service's pool: a module instance, an endpoint source, connections and bounds of its own."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from hashlib import blake2b
from typing import Any, cast

from millgw.decide import Balancer
from millgw.interface import Action, Event, ListKind
from millgw.operator.file import Service
from millgw.services.limits import Allotment
from millgw.settings import to_settings
from millgw.sidecar.config import Config, ConfigError, read_address
from millgw.sidecar.descriptors import Descriptors
from millgw.sidecar.discovery import Discovery, Listed, read_listing
from millgw.sidecar.driver import Call, Driver
from millgw.sidecar.request import Terms
from millgw.sidecar.upstream import Upstream

log = logging.getLogger("millgw")


def _nothing() -> None:
    pass


class Silent:
    """In the place of a module whose pool has ended: its last timers come to nothing."""

    def handle(self, now: float, event: Event) -> list[Action]:
        return []


@dataclass(slots=True, eq=False)
class RoutedCall(Call):
    """A call that knows whose it is."""

    owner: Driver | None = None


class RoutedTerms(Terms):
    calls = RoutedCall


class Bounds:
    """The allotments of all pools, and what each pool holds now."""

    def __init__(self, allotments: Mapping[str, Allotment]) -> None:
        self.allotments = dict(allotments)
        self.pools: dict[str, Pool] = {}

    def used(self, kind: str) -> dict[str, int]:
        """What each pool holds of a kind; a name that is served by nobody yet holds nothing."""
        names = self.allotments[kind].guaranteed
        return {name: self.pools[name].held(kind) if name in self.pools else 0 for name in names}

    def most(self, pool: str, kind: str, now: float) -> int:
        return self.allotments[kind].most(pool, self.used(kind), now)

    def borrowed(self, pool: str, kind: str) -> bool:
        return self.allotments[kind].borrowed(pool, self.used(kind))


class PoolDescriptors(Descriptors):
    """What an upstream asks before it connects: the shared budget, and this pool's part of it."""

    def __init__(self, shared: Descriptors, make_room: Callable[[], bool], bound: Callable[[], int]) -> None:
        self.shared = shared
        self.make_room = make_room
        self.bound = bound
        self.endpoints: Callable[[], int] = int
        self.close_caller = self._room

    def full(self) -> bool:
        return self.shared.full() or self.endpoints() >= self.bound()

    def _room(self) -> bool:
        """Room by closing what others need least; there is none where this pool's own part is used up."""
        return self.endpoints() < self.bound() and (self.make_room() or self.shared.close_caller())


class PoolUpstream(Upstream):
    """Connections of one pool; the bytes of answers coming in are bounded by its part."""

    def __init__(self, descriptors: Descriptors, config: Config, most: Callable[[], int]) -> None:
        self.most = most
        super().__init__(descriptors, config.connect_timeout, config.idle, config.memory)

    @property
    def most_held(self) -> int:
        return self.most()

    @most_held.setter
    def most_held(self, _: int) -> None:
        """The base class's own bound is for the whole process: here the pool's part counts."""

    def give_way(self) -> bool:
        """Close the connection that has been idle for longest; tells whether there was one."""
        return self._evict()


def merged(base: Mapping[str, Any], over: Mapping[str, Any]) -> dict[str, Any]:
    """Settings with others over them, table by table."""
    out = dict(base)
    for key, value in over.items():
        before = out.get(key)
        both = isinstance(before, dict) and isinstance(value, dict)
        out[key] = merged(before, value) if both else value  # type: ignore[arg-type]
    return out


class Pool:
    """One service in service. `retired` once no route leads to it: it ends when its last call has."""

    def __init__(
        self,
        name: str,
        service: Service,
        config: Config,
        raw: Mapping[str, Any],
        bounds: Bounds,
        shared: Descriptors,
    ) -> None:
        self.name = name
        self.service = service
        self.raw = raw
        self.bounds = bounds
        self.bodies = 0
        self.retired = False
        try:
            self.settings = to_settings(self._settings(raw, service))
        except ValueError as error:
            raise ConfigError(f"services.{name}.settings: {error}") from None
        self.config = replace(config, settings=self.settings)
        descriptors = PoolDescriptors(shared, self._make_room, lambda: self.most("connections"))
        self.upstream = PoolUpstream(descriptors, self.config, lambda: self.most("answers"))
        self.discovery: Discovery | None = None
        self.static: tuple[Listed, ...] = ()
        seed = int.from_bytes(blake2b(f"{config.seed} {name}".encode(), digest_size=8).digest(), "big")
        if service.endpoints:
            self.static = self._static(service, config)
            self.driver = Driver(Balancer(self.settings, seed), self.upstream, self._tell)
        else:
            address = config.discovery if service.discovery is None else read_address(service.discovery)
            heard = lambda kind, entries: self.driver.listed(kind, entries)  # noqa: E731
            self.discovery = Discovery(address, config.zones, heard)
            self.driver = Driver(Balancer(self.settings, seed), self.upstream, self.discovery.subscribe)
        self.terms = RoutedTerms(self.settings)

    def _settings(self, raw: Mapping[str, Any], service: Service) -> dict[str, Any]:
        settings = merged(raw, service.settings)
        if service.classes:
            named = {c.get("name"): c for c in settings.get("classes", ()) if isinstance(c, dict)}
            for i, cls in enumerate(service.classes):
                if cls not in named:
                    raise ConfigError(
                        f"services.{self.name}.classes[{i}]: the configuration has no class {cls!r}"
                    )
            settings["classes"] = [named[cls] for cls in service.classes]
        return settings

    def _static(self, service: Service, config: Config) -> tuple[Listed, ...]:
        entries = [
            {
                "name": e.name, "address": e.address, "group": e.group, "weight": e.weight, "zone": e.zone,
                "status": "in_service", "since_ms": 0,
            }
            for e in service.endpoints
        ]  # fmt: skip
        return read_listing({"index": 0, "snapshot": True, "endpoints": entries}, config.zones).entries

    def start(self, known: Any) -> None:
        """Take the list that is known, and have the module ask for more when it wants to."""
        if self.discovery is None:
            self._tell()
            return
        # The configuration's list is that of its own discovery; another one's endpoints are not on it.
        self.discovery.start(known if self.service.discovery is None else None)
        if not self.settings.ask_discovery:
            self.discovery.subscribe()

    def _tell(self) -> None:
        """The list that the operator wrote, as often as the module asks."""
        self.upstream.loop.call_soon(self._listed)

    def _listed(self) -> None:
        if not self.retired:
            self.driver.listed(ListKind.FULL, self.static)

    # Bounds

    def held(self, kind: str) -> int:
        if kind == "calls":
            return len(self.driver.calls)
        if kind == "connections":
            return self.upstream.descriptors.endpoints()
        return self.bodies if kind == "bodies" else self.upstream.held

    def most(self, kind: str) -> int:
        if self.retired:
            # It has no part any more and takes nothing new; what it has taken may come to its end.
            return self.bounds.allotments[kind].total
        return self.bounds.most(self.name, kind, self.driver.clock())

    def _make_room(self) -> bool:
        """Have the pool that is furthest over its guarantee close an idle connection."""
        parts = self.bounds.allotments["connections"].guaranteed
        over = [
            p for p in self.bounds.pools.values() if p is not self and p.held("connections") > parts[p.name]
        ]
        over.sort(key=lambda p: parts[p.name] - p.held("connections"))
        return any(pool.upstream.give_way() for pool in over)

    # Its end

    def retire(self) -> None:
        """No new calls; those that are open end as they would. Its endpoints are left when the last has."""
        self.retired = True
        self.driver.subscribe = _nothing  # guards against a module that asks again, as it does now and then
        if self.discovery is not None:
            self.discovery.stop()
        self._ended()

    def drop(self) -> None:
        """Leave nothing that goes on by itself, and would keep all of this in memory."""
        self.upstream.stop()
        self.driver.balancer = cast(Balancer, Silent())

    def _ended(self) -> None:
        if self.driver.calls:
            self.upstream.loop.call_later(0.1, self._ended)
            return
        for endpoint in list(self.upstream.pools):
            pool = self.upstream.forget(endpoint)
            if pool is not None:
                self.upstream.close(pool)
        self.drop()
        log.info("service %s: removed; its last call has ended", self.name)

    def status(self) -> str:
        """One line for people and scripts."""
        bounds = ", ".join(f"{kind} {self.held(kind)}/{self.most(kind)}" for kind in self.bounds.allotments)
        state = "ready" if self.driver.ready else "no endpoint"
        return f"{self.name}: {state}, {len(self.driver.ready)} endpoints, {bounds}"
