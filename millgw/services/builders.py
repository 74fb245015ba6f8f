"""Builds the parts that the operator's file configures: list sources, settings, seeds, optional modules."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping, Sequence
from hashlib import blake2b
from pathlib import Path
from typing import TYPE_CHECKING, Any

from millgw.interface import ListKind, Locality
from millgw.membership.servers import read_connect
from millgw.operator.file import Coordinator, Directory, OperatorFile, Service
from millgw.platform.config import Config, ConfigError, read_address, with_settings
from millgw.platform.discovery import (
    Discovery,
    ListedEndpoint,
    UpdateCallback,
    first_line_timeout,
    platform_discovery,
    read_update,
)
from millgw.platform.unshared_source import UnsharedSource
from millgw.pool.pool import EndpointObserver, EndpointSource, Pool

if TYPE_CHECKING:
    from millgw.configuration.client import Client, Target
    from millgw.connections.manager import ConnectionManager
    from millgw.connections.settings import ConnectionSettings
    from millgw.intents.store_log import Intents
    from millgw.membership.member_tracker import DepartureSettings as JudgeTerms
    from millgw.membership.source import DirectoryLocation
    from millgw.peers.node import Peers


class StaticList(UnsharedSource):
    """A fixed list of endpoints from the operator's file, sent each time the module asks."""

    def __init__(self, entries: tuple[ListedEndpoint, ...], on_list: UpdateCallback) -> None:
        self.entries = entries
        self.on_list = on_list

    def start(self, known: Any) -> None:
        """Ignores the configuration's list: that belongs to its discovery and has other endpoints."""
        self.subscribe()

    def subscribe(self) -> None:
        asyncio.get_running_loop().call_soon(self._send)

    def _send(self) -> None:
        self.on_list(ListKind.FULL, self.entries)

    def stop(self) -> None:
        """Does nothing: there is no watch to end."""

    def figures(self) -> dict[str, object]:
        return {}


def deep_merge(base: Mapping[str, Any], over: Mapping[str, Any]) -> dict[str, Any]:
    """Deep merge of two settings tables; values of `over` win."""
    out = dict(base)
    for key, value in over.items():
        before = out.get(key)
        both = isinstance(before, dict) and isinstance(value, dict)
        out[key] = deep_merge(before, value) if both else value  # type: ignore[arg-type]
    return out


def list_source(
    name: str, service: Service, config: Config
) -> Callable[[UpdateCallback, EndpointObserver], EndpointSource]:
    """A factory for the source of a service's endpoint list."""
    if service.endpoints:
        entries = static_entries(service, config)
        return lambda on_list, _: StaticList(entries, on_list)
    if service.coordinator is not None:
        return _coordinator_source(service, service.coordinator, config, pool_seed(config.seed, name))
    if service.discovery is None:
        return lambda on_list, _: platform_discovery(config, on_list)
    address = read_address(service.discovery)
    first_line = first_line_timeout(config.settings)
    return lambda on_list, _: Discovery(address, config.zones, on_list, first_line, uses_known=False)


def _coordinator_source(
    service: Service, coordinator: Coordinator, config: Config, seed: int
) -> Callable[[UpdateCallback, EndpointObserver], EndpointSource]:
    # Imported here: without a coordinator these modules must not be loaded.
    from millgw.membership.member_tracker import DepartureSettings
    from millgw.membership.merge import Merger, Mode
    from millgw.membership.merged_source import MergedSource
    from millgw.membership.source import CoordinatorSource

    terms = DepartureSettings(
        share=coordinator.mass_share,
        window=coordinator.window_s * 1000,
        hold=coordinator.hold_s * 1000,
        hold_most=coordinator.hold_most_s * 1000,
    )
    where = _coordinator_directory(coordinator, terms, coordinator.endpoint)
    if service.membership is None:
        return lambda on_list, witness: CoordinatorSource(where, config.zones, seed, witness, on_list)
    mode, own = Mode(service.membership), service.discovery is not None
    address = config.discovery if service.discovery is None else read_address(service.discovery)
    return lambda on_list, witness: MergedSource(
        where, Merger(mode), address, own, config.settings, config.zones, seed, witness, on_list
    )


def _coordinator_directory(directory: Directory, terms: JudgeTerms, port: str = "") -> DirectoryLocation:
    """The coordinator and directory that the operator's file names."""
    from millgw.membership.source import DirectoryLocation

    servers, root = read_connect(directory.connect)
    return DirectoryLocation(servers, root + directory.path, directory.session_s * 1000, terms, port)


def attach_connection_manager(
    pool: Pool, terms: ConnectionSettings | None, config: Config, seed: int
) -> ConnectionManager | None:
    """Attach a connection manager to a pool, where the operator's file has settings for one."""
    if terms is None:
        return None
    # Imported here: without managed connections these modules must not be loaded.
    from millgw.connections.attach import manage_connections

    return manage_connections(pool, terms, config, seed)


def make_peers(operator: OperatorFile, config: Config, pools: Callable[[], Sequence[Pool]]) -> Peers | None:
    """The node that exchanges state with peers, where the operator's file has a table for it."""
    table = operator.peers
    if table is None:
        return None
    # Imported here: without peers these modules must not be loaded.
    from millgw.peers.node import Peers, PeerSettings

    meeting = None
    if table.coordinator is not None:
        from millgw.membership import member_tracker

        meeting = _coordinator_directory(table.coordinator, member_tracker.DepartureSettings())
    join = tuple(map(read_address, table.join))
    terms = PeerSettings(read_address(table.listen), join, table.keys, table.within_ms, meeting)
    try:
        return Peers(terms, pools, pool_seed(config.seed, "peers"))
    except (OSError, ValueError) as error:
        raise ConfigError(f"peers.keys: {error}") from None


def make_intents(operator: OperatorFile, memory: float) -> Intents | None:
    """The log of marks for unsafe calls, where the operator's file has a store."""
    table = operator.store
    if table is None:
        return None
    # Imported here: without a store these modules must not be loaded.
    from millgw.intents.store_log import MARK_BYTES, MEMORY_SHARE, Intents, IntentSettings
    from millgw.store.writer import SyncPolicy

    keep, most = table.keep_h * 3_600_000.0, int(MEMORY_SHARE * memory / MARK_BYTES)
    return Intents(
        IntentSettings(table.directories, SyncPolicy(table.sync), keep, table.key.lower().encode(), most)
    )


def make_locality(operator: OperatorFile, config: Config, seed: int) -> Locality | None:
    """The zone selection of a pool, where the operator's file has a `places` table.

    Raises ConfigError, naming a zone or class that the configuration does not have.
    """
    table = operator.places
    if table is None:
        return None
    # Imported here: without places these modules must not be loaded.
    from millgw.locality.names import PlaceError, make_router

    try:
        return make_router(table, config.zones, [c.name for c in config.settings.classes], seed)
    except PlaceError as error:
        raise ConfigError(f"places.{error}") from None


def make_configuration_client(operator: OperatorFile, config: Config, target: Target) -> Client | None:
    """The client of the fleet's distributed configuration, where the operator's file names its instances."""
    table = operator.configuration
    if table is None:
        return None
    # Imported here: without distributed configuration these modules must not be loaded.
    from millgw.configuration.client import Client
    from millgw.configuration.follower import preferred_order
    from millgw.configuration.last_good import LastGoodFile

    name = table.name or config.name
    instances = preferred_order(name, table.relays.get(table.zone, ()), table.instances)
    last_good = LastGoodFile(Path(table.directory), name) if table.directory else None
    return Client(name, instances, last_good, pool_seed(config.seed, f"configuration {name}"), target)


def static_entries(service: Service, config: Config) -> tuple[ListedEndpoint, ...]:
    """The endpoints that the operator's file lists for a service."""
    entries = [
        {
            "name": e.name, "address": e.address, "group": e.group, "weight": e.weight, "zone": e.zone,
            "status": "in_service", "since_ms": 0,
        }
        for e in service.endpoints
    ]  # fmt: skip
    return read_update({"index": 0, "snapshot": True, "endpoints": entries}, config.zones).entries


def pool_config(name: str, service: Service, config: Config, raw: Mapping[str, Any]) -> Config:
    """The configuration of a service's pool: the shared one with the service's own classes and settings."""
    settings = deep_merge(raw, service.settings)
    if service.classes:
        named = {c.get("name"): c for c in settings.get("classes", ()) if isinstance(c, dict)}
        for i, cls in enumerate(service.classes):
            if cls not in named:
                raise ConfigError(f"services.{name}.classes[{i}]: the configuration has no class {cls!r}")
        settings["classes"] = [named[cls] for cls in service.classes]
    try:
        return with_settings(config, settings)
    except ValueError as error:
        raise ConfigError(f"services.{name}.settings: {error}") from None


def pool_seed(seed: int, name: str) -> int:
    """The random seed of a service's module: stable across reloads, different for each name."""
    return int.from_bytes(blake2b(f"{seed} {name}".encode(), digest_size=8).digest(), "big")
