"""Assembles a sidecar: one pool for all requests, or the services of an operator file."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace
from functools import partial
from typing import TYPE_CHECKING

from millgw.callers.lifecycle import Lifecycle
from millgw.callers.server import Server
from millgw.callers.single_pool import SinglePoolFront
from millgw.endpoints.upstream import ALL_ANSWERS_MEMORY_SHARE
from millgw.interface import Locality
from millgw.log.events import log_event
from millgw.platform.config import Config, ConfigError, read_config
from millgw.platform.descriptors import Descriptors
from millgw.platform.discovery import Discovery, platform_discovery
from millgw.pool.pool import Pool
from millgw.pool.pool_start import start_pool
from millgw.pool.sent_ids import SentIds
from millgw.pool.share import ANSWERS, BODIES, BODIES_MEMORY_SHARE, CALLS, CONNECTIONS, WholeShare

if TYPE_CHECKING:
    from millgw.configuration.client import Client
    from millgw.hot_restart.state import State
    from millgw.intents.store_log import Intents
    from millgw.peers.node import Peers
    from millgw.services.sidecar import ServicesSidecar

OPERATOR_VARIABLE = "BALANCER_OPERATOR"  # path of the operator file


@dataclass(slots=True, frozen=True)
class SidecarParts:
    """The assembled components: a server for each listener, the pools, and the SIGHUP handler.

    `begin` is called once before the servers listen, with the state of the predecessor process, if any.
    """

    servers: Callable[[], Sequence[Server]]
    pools: Callable[[], Sequence[Pool]]
    reload: Callable[[], None]
    lifecycle: Lifecycle
    descriptors: Descriptors
    start_pools: Callable[[State | None], None]
    sent_ids: SentIds
    intents: Intents | None = None  # records unsafe calls before they are sent, if enabled
    peers: Peers | None = None  # exchange with other sidecars, if enabled
    configuration: Client | None = None  # distributed configuration, if enabled


def assemble_single_pool(
    config: Config,
    environ: Mapping[str, str],
    lifecycle: Lifecycle,
    configure_pool: Callable[[Pool], object] | None = None,
    locality: Locality | None = None,
) -> SidecarParts:
    descriptors = Descriptors(config.sockets)
    process_limits = WholeShare(
        {
            CALLS: descriptors.max_calls,
            CONNECTIONS: descriptors.limit,
            BODIES: int(BODIES_MEMORY_SHARE * config.memory),
            ANSWERS: int(ALL_ANSWERS_MEMORY_SHARE * config.memory),
        }
    )
    sent_ids = SentIds()
    pool = Pool(
        "", config, config.seed, descriptors, process_limits,
        lambda on_update, _: platform_discovery(config, on_update), locality=locality, sent_ids=sent_ids,
    )  # fmt: skip
    if configure_pool is not None:
        configure_pool(pool)
    assert isinstance(pool.source, Discovery)
    front = SinglePoolFront(pool, lifecycle)
    server = Server(config.listen, descriptors, front, lifecycle)
    descriptors.callers, descriptors.close_idle_caller = server.descriptors_in_use, server.evict_one
    begin = partial(start_pool, pool, config.known)
    reload = Reload(environ, config, pool.source)
    return SidecarParts(lambda: (server,), lambda: (pool,), reload, lifecycle, descriptors, begin, sent_ids)


async def assemble_from_operator_file(
    config: Config, environ: Mapping[str, str], life: Lifecycle
) -> SidecarParts:
    # Imported here so that a sidecar without an operator file does not load it.
    try:
        from millgw.services.sidecar import ServicesSidecar
    except ModuleNotFoundError as missing:
        raise ConfigError(f"{OPERATOR_VARIABLE}: needs {missing.name}: requirements-operator.txt") from None

    node = ServicesSidecar(config, environ, environ[OPERATOR_VARIABLE], life)
    if node.operator.configuration is not None:
        return await _assemble_with_configuration(node, config, environ, life)
    if not node.operator.services:
        return _with_peers_and_intents(node, config, _assemble_node_pool(node, config, environ, life))
    return _with_peers_and_intents(node, config, _assemble_services(node, life))


def _assemble_services(node: ServicesSidecar, lifecycle: Lifecycle) -> SidecarParts:
    return SidecarParts(*node.open(), lifecycle, node.descriptors, node.start_pools, node.sent_ids)


async def _assemble_with_configuration(
    node: ServicesSidecar, config: Config, environ: Mapping[str, str], lifecycle: Lifecycle
) -> SidecarParts:
    """Assemble with the distributed configuration, which has to be read before the pools are built."""
    from millgw.configuration.single import SinglePool
    from millgw.services.builders import make_configuration_client

    single = None if node.operator.services else SinglePool(node.files, environ, node.path)
    client = make_configuration_client(node.operator, config, single or node)
    assert client is not None, "the operator file has a [configuration] table"
    try:
        entries = await client.start()
        node.start_with(entries)
        if single is None:
            parts = _assemble_services(node, lifecycle)
        else:
            parts = _assemble_node_pool(node, node.config, environ, lifecycle)
            assert isinstance(parts.reload, Reload)
            single.attach_pool(entries, parts.pools()[0], node.tended, parts.reload.move_discovery)
            parts = replace(parts, reload=single.reload)
    except (ConfigError, OSError):
        client.stop()
        raise
    client.serving = True
    parts.descriptors.reserve(client.descriptors)
    return replace(_with_peers_and_intents(node, config, parts), configuration=client)


def _with_peers_and_intents(node: ServicesSidecar, config: Config, parts: SidecarParts) -> SidecarParts:
    """Add the peer exchange and the intent log of the operator file, and reserve their descriptors."""
    from millgw.services.builders import make_peers

    parts = replace(parts, peers=make_peers(node.operator, config, parts.pools), intents=node.intents)
    for more in (parts.peers, parts.intents):
        if more is not None:
            parts.descriptors.reserve(more.descriptors)
    return parts


def _assemble_node_pool(
    node: ServicesSidecar, config: Config, environ: Mapping[str, str], lifecycle: Lifecycle
) -> SidecarParts:
    """One pool for all requests, with the options of the operator file."""
    from millgw.services.builders import make_locality

    chosen_locality = make_locality(node.operator, config, config.seed)
    return assemble_single_pool(
        config, environ, lifecycle, partial(_apply_operator_options, node, config), chosen_locality
    )


def _apply_operator_options(node: ServicesSidecar, config: Config, pool: Pool) -> None:
    """Apply the operator file's connection and intent options to the single pool."""
    from millgw.services.builders import attach_connection_manager

    node.tended = attach_connection_manager(pool, node.operator.connection_terms(), config, config.seed)
    pool.intents = node.intents


class Reload:
    """SIGHUP handler: rereads the configuration and applies `discovery`, the only field that can change."""

    def __init__(self, environ: Mapping[str, str], config: Config, discovery: Discovery) -> None:
        self.environ = environ
        self.config = config
        self.discovery = discovery

    def __call__(self) -> None:
        before = self.config
        try:
            self.config = read_config(self.environ, before)
        except ConfigError as error:
            # A file that is half written or invalid must not stop the sidecar, which keeps the old one.
            log_event("reload-refused", cause=error)
            return
        for name in ("name", "listen", "sockets", "settings"):
            if getattr(self.config, name) != getattr(before, name):
                log_event("reload-takes-restart", field=name)
        log_event("reloaded")
        self.move_discovery(self.config)

    def move_discovery(self, config: Config) -> None:
        """Switch to the discovery address of another configuration."""
        self.config = config
        self.discovery.move(config.discovery)
