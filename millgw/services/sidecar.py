"""A sidecar with services: builds pools and routes from the operator's file, at the start and on reloads."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable, Mapping, Sequence
from typing import TYPE_CHECKING, Any

from msgspec.structs import replace

from millgw.callers.lifecycle import Lifecycle
from millgw.callers.server import Server
from millgw.endpoints.upstream import ALL_ANSWERS_MEMORY_SHARE
from millgw.log.events import log_event
from millgw.operator.file import (
    LIMIT_KINDS,
    Limits,
    OperatorError,
    OperatorFile,
    Service,
    compile_routes,
    load,
)
from millgw.operator.guarantees import guaranteed_units
from millgw.operator.loaded_files import LoadedFiles
from millgw.platform.config import Config, ConfigError, read_address, read_config, read_settings_table
from millgw.platform.descriptors import Descriptors
from millgw.pool.driver import Clock
from millgw.pool.pool import Pool
from millgw.pool.pool_start import start_pool
from millgw.pool.sent_ids import SentIds
from millgw.pool.share import ANSWERS, BODIES, BODIES_MEMORY_SHARE, CALLS, CONNECTIONS
from millgw.services.builders import (
    attach_connection_manager,
    list_source,
    make_intents,
    make_locality,
    pool_config,
    pool_seed,
)
from millgw.services.front import PoolRegistry, RoutedFront, TurnScheduler
from millgw.services.limits import Allotment
from millgw.services.shares import BorrowingShare, ConnectionBudget, PoolLimits

if TYPE_CHECKING:
    from millgw.connections.manager import ConnectionManager
    from millgw.hot_restart.state import State

STATUS_INTERVAL = 60.0  # s between log lines on each pool
LEND_MS = 2000.0  # ms within which borrowed capacity returns


@dataclasses.dataclass(slots=True, eq=False)
class RunningService:
    """One running service: its pool, the file entry and settings it was made from, its connection manager."""

    pool: Pool
    entry: Service
    raw_settings: Mapping[str, Any]
    tended: ConnectionManager | None


@dataclasses.dataclass(slots=True, eq=False)
class Listener:
    """One listening server and the front that routes its requests."""

    server: Server
    front: RoutedFront


class ServicesSidecar:
    """All parts of a sidecar with services that a reload may change."""

    def __init__(self, config: Config, environ: Mapping[str, str], path: str, lifecycle: Lifecycle) -> None:
        self.lifecycle = lifecycle
        self.config = config
        self.environ = environ
        self.path = path
        self.operator = _load(path)
        self.files = LoadedFiles(config, read_settings_table(environ), self.operator)  # as they are on disk
        # Entries of the distributed document, overlaid on the files.
        self.entries: Mapping[str, Mapping[str, Any]] = {}
        self.descriptors = Descriptors(config.sockets)
        self.tended: ConnectionManager | None = None  # without services: that of the single pool
        self.intents = make_intents(self.operator, config.memory)

    def open(self) -> tuple[Callable[[], Sequence[Server]], Callable[[], Sequence[Pool]], Callable[[], None]]:
        """Make the pools and listeners; raises ConfigError for what can't be used."""
        overlaid = self._overlay(self.files)
        self.limits = PoolLimits(self._make_allotments(self.operator), Clock())
        self.registry = PoolRegistry(self.lifecycle)
        self.running: dict[str, RunningService] = {}
        self.scheduler = TurnScheduler()
        self.sent_ids = SentIds()
        self.descriptors.endpoints = lambda: sum(p.upstream.descriptors_in_use() for p in self._all_pools())
        for name in self.operator.services:
            self.running[name] = self._make_pool(self.files, overlaid, name)
        self._publish()
        self.listeners = {"": self._open_listener(self.operator, "")}
        for name, service in self.operator.services.items():
            if service.listen is not None:
                self.listeners[name] = self._open_listener(self.operator, name)
        self.closing: list[Server] = []
        self._share_callers(self.operator)
        self.descriptors.callers = lambda: sum(s.descriptors_in_use() for s in self._servers())
        self.descriptors.close_idle_caller = lambda: any(s.evict_one() for s in self._servers())
        self._log_pools()
        return self._servers, self._all_pools, self.reload

    def start_pools(self, state: State | None) -> None:
        """Start the pools that `open` has made, with the state of the predecessor process, if any."""
        for served in self.running.values():
            start_pool(served.pool, self.config.known, state)

    def _publish(self) -> None:
        """Make the current pools visible to routing and to the limits."""
        self.limits.pools = {name: served.pool for name, served in self.running.items()}
        self.registry.pools = self.limits.pools

    def _servers(self) -> list[Server]:
        return [*(listener.server for listener in self.listeners.values()), *self.closing]

    def _open_listener(self, operator: OperatorFile, name: str) -> Listener:
        """Open the listener that routes, or one service's; raises OSError if the address can't be bound."""
        listen = read_address(operator.services[name].listen) if name else self.config.listen
        front = RoutedFront(self.registry, compile_routes(operator), name)
        return Listener(Server(listen, self.descriptors, front, self.lifecycle, self.scheduler), front)

    def _share_callers(self, operator: OperatorFile) -> None:
        """Set each service's share of the callers' connections; above it, its idle ones are closed first."""
        shares = {name: s.limits.callers for name, s in operator.services.items()}
        given = sum(share for share in shares.values() if share is not None)
        rest = (1.0 - given) / max(1, sum(share is None for share in shares.values()))
        for server in self._servers():
            server.lane_shares = {
                name: self.descriptors.max_callers * (rest if share is None else share)
                for name, share in shares.items()
            }

    def _log_pools(self) -> None:
        """Log one line for each pool, every `STATUS_INTERVAL`."""
        for pool in self._all_pools():
            log_event("pool", **pool.figures())
        asyncio.get_running_loop().call_later(STATUS_INTERVAL, self._log_pools)

    def _all_pools(self) -> list[Pool]:
        return [*self.limits.pools.values(), *self.limits.retired]

    def _make_pool(self, files: LoadedFiles, overlaid: LoadedFiles, name: str) -> RunningService:
        """Make a service's pool from the files with the distributed entries overlaid."""
        operator, config = overlaid.operator, overlaid.config
        service = operator.services[name]
        own = pool_config(name, service, config, overlaid.settings)
        share = BorrowingShare(name, self.limits)
        room = ConnectionBudget(name, self.descriptors, self.limits, share)
        seed = pool_seed(config.seed, name)
        zones = make_locality(operator, own, seed)
        pool = Pool(
            name, own, seed, room, share, list_source(name, service, own), self.scheduler, zones,
            self.sent_ids,
        )  # fmt: skip
        pool.intents = self.intents
        tended = attach_connection_manager(pool, operator.connection_terms(name), own, seed)
        return RunningService(pool, files.operator.services[name], files.settings, tended)

    def _make_allotments(self, operator: OperatorFile) -> dict[str, Allotment]:
        """The limits of each resource; raises ConfigError for guarantees that can't be met."""
        totals = {
            CALLS: self.descriptors.max_calls,
            CONNECTIONS: self.descriptors.limit - self.descriptors.max_callers,
            BODIES: int(BODIES_MEMORY_SHARE * self.config.memory),
            ANSWERS: int(ALL_ANSWERS_MEMORY_SHARE * self.config.memory),
        }
        allotments = {}
        for kind in LIMIT_KINDS:
            shares = {name: getattr(s.limits, kind) for name, s in operator.services.items()}
            guaranteed = guaranteed_units(totals[kind], shares)
            for name, units in guaranteed.items():
                if units < 1:
                    raise ConfigError(
                        f"services.{name}.limits.{kind}: its share of {totals[kind]} is below one unit"
                    )
            allotments[kind] = Allotment(totals[kind], guaranteed, LEND_MS)
        return allotments

    def start_with(self, entries: Mapping[str, Mapping[str, Any]]) -> None:
        """Start with entries of the distributed document overlaid on the files; called before `open`."""
        self.entries = entries
        overlaid = self._overlay(self.files)
        self.config, self.operator = overlaid.config, overlaid.operator

    def check(self, entries: Mapping[str, Mapping[str, Any]]) -> None:
        """Check that a start could use these entries; raises RefusedVersionError naming what can't be."""
        from millgw.configuration.apply import check_places, service_config

        overlaid, _ = self._prepare(entries)
        for name in overlaid.operator.services:
            check_places(overlaid, service_config(overlaid, name))

    def _prepare(self, entries: Mapping[str, Mapping[str, Any]]) -> tuple[LoadedFiles, dict[str, Allotment]]:
        # Imported here: without distributed configuration these modules must not be loaded.
        from millgw.configuration import apply

        overlaid = apply.override_files(self.files, entries)
        for name in overlaid.operator.services:
            apply.service_config(overlaid, name)
        try:
            return overlaid, self._make_allotments(overlaid.operator)
        except ConfigError as error:
            raise apply.RefusedVersionError(apply.one_line(error)) from None

    def reconfigure(self, entries: Mapping[str, Mapping[str, Any]]) -> None:
        """Apply entries of the distributed document to the running pools, all at once.

        Raises RefusedVersionError, naming what can't be used or changed; nothing has changed then.
        """
        from millgw.configuration.apply import plan_service_change

        overlaid, allotments = self._prepare(entries)
        plans = [plan_service_change(overlaid, n, s.pool, s.tended) for n, s in self.running.items()]
        for plan in plans:
            plan.apply()
        if _limits_by_service(overlaid.operator) != _limits_by_service(self.operator):
            self._replace_allotments(allotments)
        self.config, self.operator, self.entries = overlaid.config, overlaid.operator, entries
        self._share_callers(self.operator)

    def _replace_allotments(self, allotments: dict[str, Allotment]) -> None:
        """Replace the limits, keeping the observed needs of the pools."""
        for kind, allotment in allotments.items():
            allotment.inherit(self.limits.allotments[kind])
        self.limits.allotments = allotments

    def _overlay(self, files: LoadedFiles) -> LoadedFiles:
        """The files with the distributed entries overlaid; raises ConfigError if they don't fit together."""
        if not self.entries:
            return files
        from millgw.configuration.apply import RefusedVersionError, override_files

        try:
            return override_files(files, self.entries)
        except RefusedVersionError as error:
            raise ConfigError(f"with the distributed configuration over it: {error}") from None

    def reload(self) -> None:
        """Read both files again and apply them, with the distributed entries overlaid.

        If a file can't be used, nothing changes. Pools whose part of the files is unchanged are kept.
        """
        new_services: list[RunningService] = []
        new_listeners: dict[str, Listener] = {}
        try:
            files = LoadedFiles(
                read_config(self.environ, self.config), read_settings_table(self.environ), _load(self.path)
            )
            overlaid = self._overlay(files)
            config, operator = overlaid.config, overlaid.operator
            if not operator.services:
                raise ConfigError(f"{self.path}: the last service can't be removed without a restart")
            allotments = self._make_allotments(operator)
            services: dict[str, RunningService] = {}
            for name in operator.services:
                current = self.running.get(name)
                if current is not None and self._is_unchanged(current, files, name):
                    services[name] = current
                else:
                    services[name] = self._make_pool(files, overlaid, name)
                    new_services.append(services[name])
            wanted_addresses = {n: s.listen for n, s in operator.services.items() if s.listen is not None}
            open_addresses = {n: s.listen for n, s in self.operator.services.items() if n in self.listeners}
            for name, address in wanted_addresses.items():
                if open_addresses.get(name) != address:
                    new_listeners[name] = self._open_listener(operator, name)
        except (ConfigError, OSError) as error:
            # Converted to text here: a stored log record would keep the error's frames and pools alive.
            log_event("reload-refused", cause=str(error))
            for served in new_services:
                served.pool.shut_down()
            for listener in new_listeners.values():
                listener.server.stop()
            return
        for field in ("peers", "store", "configuration", "places"):
            if getattr(operator, field) != getattr(self.operator, field):
                log_event("reload-takes-restart", field=field)
        old_pools = [served.pool for name, served in self.running.items() if services.get(name) is not served]
        self._replace_allotments(allotments)
        self.limits.retired = [pool for pool in self.limits.retired if pool.driver.calls] + old_pools
        self.running = services
        for name, served in services.items():
            served.entry = files.operator.services[name]
            terms = operator.connection_terms(name)
            if served.tended is not None and terms is not None:
                served.tended.change(terms)
        self._publish()
        for name in [n for n in self.listeners if n and (n in new_listeners or n not in wanted_addresses)]:
            self._close_listener(self.listeners.pop(name).server)
        for name, listener in new_listeners.items():
            self.listeners[name] = listener
            listener.server.start()
        for listener in self.listeners.values():
            listener.front.table = compile_routes(operator)
        self.config, self.operator, self.files = config, operator, files
        self._share_callers(operator)
        for served in new_services:
            _start_in_service(served.pool, old_pools, config.known)
        for pool in old_pools:
            pool.retire()
        names = ", ".join(served.pool.name for served in new_services) or "none"
        log_event("reloaded", services=", ".join(services), new=names, removed=len(old_pools))

    def _close_listener(self, server: Server) -> None:
        """Stop accepting at a listener; its connections close after their next answer or once idle."""
        self.closing.append(server)
        server.stop()
        self._finish_closing(server)

    def _finish_closing(self, server: Server) -> None:
        server.close_idle()
        if server.connections or server.accepting:
            asyncio.get_running_loop().call_later(0.1, self._finish_closing, server)
        else:
            self.closing.remove(server)

    def _is_unchanged(self, served: RunningService, files: LoadedFiles, name: str) -> bool:
        """Whether a pool matches the files, apart from what can change at run time: limits, connections."""
        operator, config, raw_settings = files.operator, files.config, files.settings
        service = operator.services[name]
        ignored = {"limits": Limits(), "listen": None, "connections": None}
        same_entry = replace(served.entry, **ignored) == replace(service, **ignored)
        discovery_moved = (
            service.discovery is None
            and not service.endpoints
            and (service.coordinator is None or service.membership is not None)
            and config.discovery != self.config.discovery
        )
        same_management = (served.tended is None) == (operator.connection_terms(name) is None)
        return same_entry and not discovery_moved and same_management and served.raw_settings == raw_settings


def _start_in_service(pool: Pool, old_pools: Sequence[Pool], known: object) -> None:
    """Start a pool after a reload, with what the pool that it replaces was told."""
    replaced = next((old for old in old_pools if old.name == pool.name), None)
    if replaced is None:
        pool.start(known)
    else:
        pool.start_after(replaced, known)


def _load(path: str) -> OperatorFile:
    try:
        return load(path)
    except OperatorError as error:
        raise ConfigError(str(error)) from None


def _limits_by_service(operator: OperatorFile) -> dict[str, Limits]:
    return {name: service.limits for name, service in operator.services.items()}
