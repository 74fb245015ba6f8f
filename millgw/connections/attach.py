"""Sets up connection management for a pool: attaches it to the pool's upstream and driver."""

from __future__ import annotations

from millgw.connections.handshake_turns import InstancePosition
from millgw.connections.manager import ConnectionManager
from millgw.connections.settings import ConnectionSettings
from millgw.decide import UNREACHABLE_AFTER
from millgw.interface import Endpoint, Settings
from millgw.platform.config import Config
from millgw.platform.descriptors import CALLERS_FRACTION
from millgw.pool.pool import Pool
from millgw.pool.share import CONNECTIONS, WholeShare


class LivePoolView:
    """What connection management needs to know of a running pool and its endpoints."""

    def __init__(self, pool: Pool) -> None:
        self.pool = pool

    def now(self) -> float:
        return self.pool.driver.clock()

    def cold_since(self, endpoint: int) -> tuple[float, bool]:
        """The start time that the module uses: as listed, or when it saw the endpoint come back."""
        host = self.pool.upstream.hosts.get(endpoint)
        server = self.pool.driver.balancer.servers.get(endpoint)
        if server is None:
            # The module does not know the endpoint yet, so use the listed start.
            return (0.0, False) if host is None else (host.started_at, True)
        if server.connect_failures >= UNREACHABLE_AFTER:
            return 0.0, False  # unreachable: it is probed by one connection at a time
        since = server.started_at(self.now())
        return since, since == server.info.started_at

    def descriptor_budget(self) -> int:
        most = self.pool.limit(CONNECTIONS)
        # A single pool may use all descriptors, but those for callers must not go to idle connections.
        return most - int(CALLERS_FRACTION * most) if isinstance(self.pool.share, WholeShare) else most

    def replace_list(self, endpoints: tuple[Endpoint, ...]) -> None:
        self.pool.driver.replace_list(endpoints)


def instance_position(settings: Settings) -> InstancePosition:
    """The instance's index among its siblings and how endpoints warm up, by its settings."""
    return InstancePosition(
        settings.index, max(1, settings.siblings), settings.cold_share, settings.cold_time
    )


def manage_connections(pool: Pool, terms: ConnectionSettings, config: Config, seed: int) -> ConnectionManager:
    """Manage a pool's connections from now on; called before the pool is started."""
    place = instance_position(pool.settings)
    manager = ConnectionManager(pool.upstream, terms, place, config.idle, seed, LivePoolView(pool))
    pool.upstream.use_manager(manager)
    pool.driver.list_filter = manager
    return manager
