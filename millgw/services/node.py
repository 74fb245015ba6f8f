"""A sidecar with services: builds pools and routes from the operator's file, at the start and on reloads."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable, Mapping, Sequence
from typing import TYPE_CHECKING, Any

from msgspec.structs import replace

from millgw.callers.lifecycle import Lifecycle
from millgw.callers.server import Server
from millgw.endpoints.upstream import ANSWERS_PART
from millgw.log.events import log_event
from millgw.operator.file import KINDS, Limits, Operator, OperatorError, Service, load, table
from millgw.operator.files import Files
from millgw.operator.guarantees import parts
from millgw.platform.config import Config, ConfigError, read_address, read_config, read_settings_table
from millgw.platform.descriptors import Descriptors
from millgw.pool.driver import Clock
from millgw.pool.pool import Pool
from millgw.pool.share import ANSWERS, BODIES, BODIES_PART, CALLS, CONNECTIONS
from millgw.services.front import RoutedFront, Services, Spells
from millgw.services.limits import Allotment
from millgw.services.parts import attach, intents, locality, pool_config, pool_seed, source
from millgw.services.shares import Bounds, LentShare, PoolRoom

if TYPE_CHECKING:
    from millgw.connections.tended import Tended

STATUS_EVERY = 60.0  # s between log lines on each pool
LEND = 2000.0  # ms within which borrowed capacity returns


@dataclasses.dataclass(slots=True, eq=False)
class Served:
    """One running service: its pool, the file entry and settings it was made from, its connection manager."""

    pool: Pool
    service: Service
    raw: Mapping[str, Any]
    tended: Tended | None


@dataclasses.dataclass(slots=True, eq=False)
class Listener:
    """One listening server and the front that routes its requests."""

    server: Server
    front: RoutedFront


class Node:
    """All parts of a sidecar with services that a reload may change."""

    def __init__(self, config: Config, environ: Mapping[str, str], path: str, life: Lifecycle) -> None:
        self.life = life
        self.config = config
        self.environ = environ
        self.path = path
        self.operator = _load(path)
        self.filed = Files(config, read_settings_table(environ), self.operator)  # as they are on disk
        self.entries: Mapping[
            str, Mapping[str, Any]
        ] = {}  # of the distributed document, overlaid on the files
        self.shared = Descriptors(config.sockets)
        self.tended: Tended | None = None  # without services: that of the single pool
        self.intents = intents(self.operator, config.memory)

    def open(self) -> tuple[Callable[[], Sequence[Server]], Callable[[], Sequence[Pool]], Callable[[], None]]:
        """Make the pools and listeners; raises ConfigError for what can't be used."""
        overlaid = self._overlaid(self.filed)
        self.bounds = Bounds(self._allotments(self.operator), Clock())
        self.services = Services(self.life)
        self.served: dict[str, Served] = {}
        self.turns = Spells()
        self.shared.endpoints = lambda: sum(p.upstream.holds() for p in self._all())
        for name in self.operator.services:
            self.served[name] = self._pool(self.filed, overlaid, name)
        self._publish()
        for served in self.served.values():
            served.pool.start(self.config.known)
        self.listeners = {"": self._listen(self.operator, "")}
        for name, service in self.operator.services.items():
            if service.listen is not None:
                self.listeners[name] = self._listen(self.operator, name)
        self.closing: list[Server] = []
        self._share_callers(self.operator)
        self.shared.callers = lambda: sum(s.held() for s in self._listening())
        self.shared.close_caller = lambda: any(s.give_way() for s in self._listening())
        self._status()
        return self._listening, self._all, self.reload

    def _publish(self) -> None:
        """Make the current pools visible to routing and to the limits."""
        self.bounds.pools = {name: served.pool for name, served in self.served.items()}
        self.services.pools = self.bounds.pools

    def _listening(self) -> list[Server]:
        return [*(listener.server for listener in self.listeners.values()), *self.closing]

    def _listen(self, operator: Operator, name: str) -> Listener:
        """Open the listener that routes, or one service's; raises OSError if the address can't be bound."""
        listen = read_address(operator.services[name].listen) if name else self.config.listen
        front = RoutedFront(self.services, table(operator), name)
        return Listener(Server(listen, self.shared, front, self.life, self.turns), front)

    def _share_callers(self, operator: Operator) -> None:
        """Set each service's share of the callers' connections; above it, its idle ones are closed first."""
        shares = {name: s.limits.callers for name, s in operator.services.items()}
        given = sum(share for share in shares.values() if share is not None)
        rest = (1.0 - given) / max(1, sum(share is None for share in shares.values()))
        for server in self._listening():
            server.parts = {
                name: self.shared.most_callers * (rest if share is None else share)
                for name, share in shares.items()
            }

    def _status(self) -> None:
        """Log one line for each pool, every `STATUS_EVERY`."""
        for pool in self._all():
            log_event("pool", **pool.figures())
        asyncio.get_running_loop().call_later(STATUS_EVERY, self._status)

    def _all(self) -> list[Pool]:
        return [*self.bounds.pools.values(), *self.bounds.retired]

    def _pool(self, filed: Files, overlaid: Files, name: str) -> Served:
        """Make a service's pool from the files with the distributed entries overlaid."""
        operator, config = overlaid.operator, overlaid.config
        service = operator.services[name]
        own = pool_config(name, service, config, overlaid.settings)
        share = LentShare(name, self.bounds)
        room = PoolRoom(name, self.shared, self.bounds, share)
        seed = pool_seed(config.seed, name)
        zones = locality(operator, own, seed)
        made = Pool(name, own, seed, room, share, source(name, service, config), self.turns, zones)
        made.intents = self.intents
        tended = attach(made, operator.tends(name), own, seed)
        return Served(made, filed.operator.services[name], filed.settings, tended)

    def _allotments(self, operator: Operator) -> dict[str, Allotment]:
        """The limits of each resource; raises ConfigError for guarantees that can't be met."""
        totals = {
            CALLS: self.shared.most_calls,
            CONNECTIONS: self.shared.most - self.shared.most_callers,
            BODIES: int(BODIES_PART * self.config.memory),
            ANSWERS: int(ANSWERS_PART * self.config.memory),
        }
        made = {}
        for kind in KINDS:
            shares = {name: getattr(s.limits, kind) for name, s in operator.services.items()}
            guaranteed = parts(totals[kind], shares)
            for name, units in guaranteed.items():
                if units < 1:
                    raise ConfigError(
                        f"services.{name}.limits.{kind}: its share of {totals[kind]} is below one unit"
                    )
            made[kind] = Allotment(totals[kind], guaranteed, LEND)
        return made

    def start_with(self, entries: Mapping[str, Mapping[str, Any]]) -> None:
        """Start with entries of the distributed document overlaid on the files; called before `open`."""
        self.entries = entries
        overlaid = self._overlaid(self.filed)
        self.config, self.operator = overlaid.config, overlaid.operator

    def check(self, entries: Mapping[str, Mapping[str, Any]]) -> None:
        """Check that a start could use these entries; raises RefusedVersionError naming what can't be."""
        self._checked(entries)

    def _checked(self, entries: Mapping[str, Mapping[str, Any]]) -> tuple[Files, dict[str, Allotment]]:
        # Imported here: without distributed configuration these modules must not be loaded.
        from millgw.configuration import apply

        after = apply.overlay(self.filed, entries)
        for name in after.operator.services:
            apply.service_config(after, name)
        try:
            return after, self._allotments(after.operator)
        except ConfigError as error:
            raise apply.RefusedVersionError(apply.one_line(error)) from None

    def reconfigure(self, entries: Mapping[str, Mapping[str, Any]]) -> None:
        """Apply entries of the distributed document to the running pools, all at once.

        Raises RefusedVersionError, naming what can't be used or changed; nothing has changed then.
        """
        from millgw.configuration.apply import plan_service

        after, allotments = self._checked(entries)
        plans = [plan_service(after, n, s.pool, s.tended) for n, s in self.served.items()]
        for plan in plans:
            plan.carry_out()
        if _bounds(after.operator) != _bounds(self.operator):
            self._allot(allotments)
        self.config, self.operator, self.entries = after.config, after.operator, entries
        self._share_callers(self.operator)

    def _allot(self, allotments: dict[str, Allotment]) -> None:
        """Replace the limits, keeping the observed needs of the pools."""
        for kind, allotment in allotments.items():
            allotment.succeed(self.bounds.allotments[kind])
        self.bounds.allotments = allotments

    def _overlaid(self, filed: Files) -> Files:
        """The files with the distributed entries overlaid; raises ConfigError if they don't fit together."""
        if not self.entries:
            return filed
        from millgw.configuration.apply import RefusedVersionError, overlay

        try:
            return overlay(filed, self.entries)
        except RefusedVersionError as error:
            raise ConfigError(f"with the distributed configuration over it: {error}") from None

    def reload(self) -> None:
        """Read both files again and apply them, with the distributed entries overlaid.

        If a file can't be used, nothing changes. Pools whose part of the files is unchanged are kept.
        """
        fresh: list[Served] = []
        opened: dict[str, Listener] = {}
        try:
            filed = Files(
                read_config(self.environ, self.config), read_settings_table(self.environ), _load(self.path)
            )
            overlaid = self._overlaid(filed)
            config, operator = overlaid.config, overlaid.operator
            if not operator.services:
                raise ConfigError(f"{self.path}: the last service can't be removed without a restart")
            allotments = self._allotments(operator)
            made: dict[str, Served] = {}
            for name in operator.services:
                known = self.served.get(name)
                if known is not None and self._same(known, filed, name):
                    made[name] = known
                else:
                    made[name] = self._pool(filed, overlaid, name)
                    fresh.append(made[name])
            wanted = {n: s.listen for n, s in operator.services.items() if s.listen is not None}
            now = {n: s.listen for n, s in self.operator.services.items() if n in self.listeners}
            for name, address in wanted.items():
                if now.get(name) != address:
                    opened[name] = self._listen(operator, name)
        except (ConfigError, OSError) as error:
            # Converted to text here: a stored log record would keep the error's frames and pools alive.
            log_event("reload-refused", cause=str(error))
            for served in fresh:
                served.pool.drop()
            for listener in opened.values():
                listener.server.stop()
            return
        for field in ("peers", "store", "configuration", "places"):
            if getattr(operator, field) != getattr(self.operator, field):
                log_event("reload-takes-restart", field=field)
        old = [served.pool for name, served in self.served.items() if made.get(name) is not served]
        self._allot(allotments)
        self.bounds.retired = [pool for pool in self.bounds.retired if pool.driver.calls] + old
        self.served = made
        for name, served in made.items():
            served.service = filed.operator.services[name]
            terms = operator.tends(name)
            if served.tended is not None and terms is not None:
                served.tended.change(terms)
        self._publish()
        for name in [n for n in self.listeners if n and (n in opened or n not in wanted)]:
            self._close(self.listeners.pop(name).server)
        for name, listener in opened.items():
            self.listeners[name] = listener
            listener.server.start()
        for listener in self.listeners.values():
            listener.front.table = table(operator)
        self.config, self.operator, self.filed = config, operator, filed
        self._share_callers(operator)
        for served in fresh:
            served.pool.start(config.known)
        for pool in old:
            pool.retire()
        names = ", ".join(served.pool.name for served in fresh) or "none"
        log_event("reloaded", services=", ".join(made), new=names, removed=len(old))

    def _close(self, server: Server) -> None:
        """Stop accepting at a listener; its connections close after their next answer or once idle."""
        self.closing.append(server)
        server.stop()
        self._closed(server)

    def _closed(self, server: Server) -> None:
        server.close_idle()
        if server.connections or server.accepting:
            asyncio.get_running_loop().call_later(0.1, self._closed, server)
        else:
            self.closing.remove(server)

    def _same(self, served: Served, filed: Files, name: str) -> bool:
        """Whether a pool matches the files, apart from what can change at run time: limits, connections."""
        operator, config, raw = filed.operator, filed.config, filed.settings
        service = operator.services[name]
        plain = {"limits": Limits(), "listen": None, "connections": None}
        alike = replace(served.service, **plain) == replace(service, **plain)
        moved = (
            service.discovery is None
            and not service.endpoints
            and (service.coordinator is None or service.membership is not None)
            and config.discovery != self.config.discovery
        )
        tends = (served.tended is None) == (operator.tends(name) is None)
        return alike and not moved and tends and served.raw == raw


def _load(path: str) -> Operator:
    try:
        return load(path)
    except OperatorError as error:
        raise ConfigError(str(error)) from None


def _bounds(operator: Operator) -> dict[str, Limits]:
    return {name: service.limits for name, service in operator.services.items()}
