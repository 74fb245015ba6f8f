"""The processes that sidecars find on the network: discovery and endpoints."""

from __future__ import annotations

import sys
import time
from collections.abc import Awaitable, Callable

import uvloop

from millgw.scale.messages import (
    Changed,
    ChangeLists,
    End,
    ListedEndpoint,
    Measure,
    Measured,
    Opened,
    OpenEndpoints,
    OpenLists,
)
from millgw.scale.worker import OwnFigures, allow_descriptors, orders, say
from millgw.standins.address import free_address
from millgw.standins.discovery_server import Capacity, Delays, DiscoveryServer
from millgw.standins.endpoint_registry import Entry
from millgw.standins.http import Clock, Message, ServerConnection, listener, ok
from millgw.standins.ledger import Ledger

CAPACITY = Capacity(lines=15_200.0)  # twenty times the stand-in's own, of one service for today's small fleet
WARM_SINCE = 1  # Unix ms of an endpoint's start: all are warm


class Lists:
    """All services' lists, each a tier of the stand-in discovery."""

    def __init__(self, opening: OpenLists) -> None:
        self.server = DiscoveryServer(Ledger(), Clock(), opening.seed, Delays(), CAPACITY)
        services = sorted({endpoint.service for endpoint in opening.endpoints})
        self.tiers = {service: number for number, service in enumerate(services)}
        self.change(opening.endpoints)
        self.addresses = {
            sidecar: str(self.server.address_for(sidecar, self.tiers[service]))
            for sidecar, service in opening.watchers.items()
        }

    def change(self, endpoints: list[ListedEndpoint]) -> dict[str, int]:
        """Know of these changes now; the index of each service's list that has changed."""
        indexes: dict[str, int] = {}
        for endpoint in endpoints:
            tier = self.tiers[endpoint.service]
            self.server.apply_change(
                Entry(
                    endpoint.name,
                    tier,
                    1,
                    endpoint.address,
                    cell=0,
                    status=endpoint.status,
                    weight=endpoint.weight,
                    since_ms=WARM_SINCE,
                    zone=endpoint.zone,
                )
            )
            indexes[endpoint.service] = self.server.registry(tier).index
        return indexes


class PlainEndpoint:
    """Answers every request at once: what is measured with it is the way, not the work."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.address = free_address()
        self.listener = listener(self.address, self)
        self.listener.open()

    def opened(self, connection: ServerConnection) -> None:
        """A connection came up."""

    def bytes_came(self, connection: ServerConnection) -> bool:
        """Bytes are always read."""
        return True

    def lost(self, connection: ServerConnection) -> None:
        """A connection has ended."""

    def asked(self, connection: ServerConnection, message: Message) -> None:
        """Answer one request."""
        connection.write(ok())
        connection.request_done()


async def discovery() -> None:
    """Serve lists until the run ends."""
    figures = OwnFigures.watched()
    lists: Lists | None = None
    async for order in orders():
        if isinstance(order, OpenLists):
            lists = Lists(order)
            say(Opened(lists.addresses))
        elif isinstance(order, ChangeLists) and lists is not None:
            at = time.monotonic()
            say(Changed(order.number, lists.change(order.endpoints), at))
        elif isinstance(order, Measure):
            say(Measured(order.number, figures.take((), 0)))
        elif isinstance(order, End):
            return


async def endpoints() -> None:
    """Answer calls until the run ends."""
    clock = Clock()
    made: list[PlainEndpoint] = []
    async for order in orders():
        if isinstance(order, OpenEndpoints):
            made = [PlainEndpoint(clock) for _ in range(order.count)]
            say(Opened({str(number): str(one.address) for number, one in enumerate(made)}))
        elif isinstance(order, End):
            return


KINDS: dict[str, Callable[[], Awaitable[None]]] = {
    "discovery": discovery,
    "endpoints": endpoints,
}


async def _serve(kind: str) -> None:
    await KINDS[kind]()


if __name__ == "__main__":
    allow_descriptors()
    uvloop.run(_serve(sys.argv[1]))
