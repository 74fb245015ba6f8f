"""A sidecar put together: with one pool for all requests, or with the services of an operator's file."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace
from functools import partial
from typing import TYPE_CHECKING

from millgw.callers.lifecycle import Lifecycle
from millgw.callers.plain import PlainFront
from millgw.callers.server import Server
from millgw.endpoints.upstream import ANSWERS_PART
from millgw.interface import Locality, Settings
from millgw.log.events import log_event
from millgw.platform.config import Config, ConfigError, read_config
from millgw.platform.descriptors import Descriptors
from millgw.platform.discovery import Discovery, of_platform
from millgw.pool.pool import Pool
from millgw.pool.share import ANSWERS, BODIES, BODIES_PART, CALLS, CONNECTIONS, Whole

if TYPE_CHECKING:
    from millgw.configuration.client import Client
    from millgw.hot_restart.state import State
    from millgw.intents.log import Intents
    from millgw.peers.node import Peers
    from millgw.services.node import Node

OPERATOR_VARIABLE = "BALANCER_OPERATOR"  # names the operator's file


@dataclass(slots=True, frozen=True)
class Parts:
    """The callers' sides (one for each listener), the pools whose calls they take, what a SIGHUP does.

    `begin` is called once, before anybody listens; with what another process of this sidecar knew, if any.
    """

    servers: Callable[[], Sequence[Server]]
    pools: Callable[[], Sequence[Pool]]
    reload: Callable[[], None]
    lifecycle: Lifecycle
    descriptors: Descriptors
    begin: Callable[[State | None], None]
    intents: Intents | None = None  # what marks unsafe calls before they are sent, where that is wanted
    peers: Peers | None = None  # what goes between this sidecar and others, where it does
    configuration: Client | None = None  # what follows the distributed configuration, where that is wanted


def assemble_single_pool(
    config: Config,
    environ: Mapping[str, str],
    lifecycle: Lifecycle,
    configure_pool: Callable[[Pool], object] | None = None,
    locality: Locality | None = None,
) -> Parts:
    descriptors = Descriptors(config.sockets)
    process_limits = Whole(
        {
            CALLS: descriptors.most_calls,
            CONNECTIONS: descriptors.most,
            BODIES: int(BODIES_PART * config.memory),
            ANSWERS: int(ANSWERS_PART * config.memory),
        }
    )
    pool = Pool(
        "", config, config.seed, descriptors, process_limits,
        lambda heard, _: of_platform(config, heard), locality=locality,
    )  # fmt: skip
    if configure_pool is not None:
        configure_pool(pool)
    assert isinstance(pool.source, Discovery)
    front = PlainFront(pool, lifecycle)
    server = Server(config.listen, descriptors, front, lifecycle)
    descriptors.callers, descriptors.close_caller = server.held, server.give_way
    begin = partial(_start_pool, config, pool)
    reload = Reload(environ, config, pool.source)
    return Parts(lambda: (server,), lambda: (pool,), reload, lifecycle, descriptors, begin)


def class_names(settings: Settings) -> list[str]:
    """The settings' classes in their order, by which what was learned of them is told."""
    return [c.name for c in settings.classes]


def _start_pool(config: Config, pool: Pool, state: State | None) -> None:
    names = class_names(config.settings)
    if state is not None and state.learned.get("classes", names) != names:
        # Guards against what was learned by other settings, or by another deployment's sidecar of this name.
        log_event("handover-unusable", cause="it is of other classes")
        state = None
    if state is None:
        pool.start(config.known)
        return
    # Only here: a process that takes over from none needs nothing of it.
    from millgw.hot_restart.learned import adopt_learned

    balancer = pool.driver.balancer
    balancer.follow()
    assert isinstance(pool.source, Discovery)
    pool.source.adopt(state.index, state.endpoints)
    try:
        adopt_learned(balancer, state.learned)
    except ValueError as error:
        log_event("handover-unusable", cause=error)


async def several(config: Config, environ: Mapping[str, str], life: Lifecycle) -> Parts:
    # Only here: an operator's file that is not given must cost nothing.
    try:
        from millgw.services.node import Node
    except ModuleNotFoundError as missing:
        raise ConfigError(f"{OPERATOR_VARIABLE}: needs {missing.name}: requirements-operator.txt") from None

    node = Node(config, environ, environ[OPERATOR_VARIABLE], life)
    if node.operator.configuration is not None:
        return await _assemble_with_configuration(node, config, environ, life)
    if not node.operator.services:
        return _with_peers_and_intents(node, config, _assemble_node_pool(node, config, environ, life))
    return _with_peers_and_intents(node, config, _assemble_services(node, life))


def _assemble_services(node: Node, lifecycle: Lifecycle) -> Parts:
    # Services start as any other process does: what their pools have learned does not go over yet.
    return Parts(*node.open(), lifecycle, node.shared, lambda _: None)


async def _assemble_with_configuration(
    node: Node, config: Config, environ: Mapping[str, str], lifecycle: Lifecycle
) -> Parts:
    """The same where the distributed configuration is followed, which comes before the pools."""
    from millgw.configuration.single import SinglePool
    from millgw.services.parts import configuration

    single = None if node.operator.services else SinglePool(node.filed, environ, node.path)
    client = configuration(node.operator, config, single or node)
    assert client is not None, "the file has the table"
    try:
        entries = await client.begin()
        node.start_with(entries)
        if single is None:
            parts = _assemble_services(node, lifecycle)
        else:
            parts = _assemble_node_pool(node, node.config, environ, lifecycle)
            assert isinstance(parts.reload, Reload)
            single.serve(entries, parts.pools()[0], node.tended, parts.reload.move_discovery)
            parts = replace(parts, reload=single.reload)
    except (ConfigError, OSError):
        client.stop()
        raise
    client.serving = True
    parts.descriptors.reserve(client.descriptors)
    return replace(_with_peers_and_intents(node, config, parts), configuration=client)


def _with_peers_and_intents(node: Node, config: Config, parts: Parts) -> Parts:
    """With what the operator's file has beside the pools."""
    from millgw.services.parts import peers

    parts = replace(parts, peers=peers(node.operator, config, parts.pools), intents=node.intents)
    for more in (parts.peers, parts.intents):
        if more is not None:
            parts.descriptors.reserve(more.descriptors)
    return parts


def _assemble_node_pool(
    node: Node, config: Config, environ: Mapping[str, str], lifecycle: Lifecycle
) -> Parts:
    """One pool for all requests, with what the operator's file has for it."""
    from millgw.services.parts import locality

    chosen_locality = locality(node.operator, config, config.seed)
    return assemble_single_pool(
        config, environ, lifecycle, partial(_apply_operator_options, node, config), chosen_locality
    )


def _apply_operator_options(node: Node, config: Config, pool: Pool) -> None:
    """Give the one pool what the operator's file has for it."""
    from millgw.services.parts import attach

    node.tended = attach(pool, node.operator.tends(), config, config.seed)
    pool.intents = node.intents


class Reload:
    """Reads the configuration again at each SIGHUP and applies what may change in service: `discovery`."""

    def __init__(self, environ: Mapping[str, str], config: Config, discovery: Discovery) -> None:
        self.environ = environ
        self.config = config
        self.discovery = discovery

    def __call__(self) -> None:
        before = self.config
        try:
            self.config = read_config(self.environ, before)
        except ConfigError as error:
            # Guards against a file that is half written or wrong: the sidecar serves on with what it has.
            log_event("reload-refused", cause=error)
            return
        for name in ("name", "listen", "sockets", "settings"):
            if getattr(self.config, name) != getattr(before, name):
                log_event("reload-takes-restart", field=name)
        log_event("reloaded")
        self.move_discovery(self.config)

    def move_discovery(self, config: Config) -> None:
        """Go on at the discovery of another configuration."""
        self.config = config
        self.discovery.move(config.discovery)
