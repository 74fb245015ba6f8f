"""Has a pool's connections tended: hands its upstream and driver the parts, and shows them the pool."""

from __future__ import annotations

from millgw.connections.opening import Place
from millgw.connections.tended import Tended
from millgw.connections.terms import Terms
from millgw.decide import LOST_AFTER
from millgw.interface import Endpoint, Settings
from millgw.platform.config import Config
from millgw.platform.descriptors import CALLERS_PART
from millgw.pool.pool import Pool
from millgw.pool.share import CONNECTIONS, Whole


class LivePoolView:
    """What a pool knows of its endpoints, for what tends its connections."""

    def __init__(self, pool: Pool) -> None:
        self.pool = pool

    def now(self) -> float:
        return self.pool.driver.clock()

    def cold_since(self, endpoint: int) -> tuple[float, bool]:
        """The start that the module goes by: as listed, or as it saw the endpoint come back."""
        host = self.pool.upstream.hosts.get(endpoint)
        server = self.pool.driver.balancer.servers.get(endpoint)
        if server is None:
            # Not shown to the module yet: what its list says.
            return (0.0, False) if host is None else (host.since, True)
        if server.missed >= LOST_AFTER:
            return 0.0, False  # its standing is what counts: it is tried by one connection
        since = server.started(self.now())
        return since, since == server.info.started_at

    def budget(self) -> int:
        most = self.pool.most(CONNECTIONS)
        # The one pool may have all, callers' part too; what is only kept ready must not take it.
        return most - int(CALLERS_PART * most) if isinstance(self.pool.share, Whole) else most

    def show(self, endpoints: tuple[Endpoint, ...]) -> None:
        self.pool.driver.replace_list(endpoints)


def place_of(settings: Settings) -> Place:
    """Which of its siblings an instance is, and how endpoints warm up, by its settings."""
    return Place(settings.index, max(1, settings.siblings), settings.cold_share, settings.cold_time)


def tend(pool: Pool, terms: Terms, config: Config, seed: int) -> Tended:
    """Tend a pool's connections from now on; called before it is started."""
    place = place_of(pool.settings)
    manager = Tended(pool.upstream, terms, place, config.idle, seed, LivePoolView(pool))
    pool.upstream.tend(manager)
    pool.driver.list_filter = manager
    return manager
