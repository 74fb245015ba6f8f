"""An event loop that counts what control connections carry, by sidecar and part, and can part regions.

The daemon's own code opens its sockets on this loop and knows nothing of it. Connections to addresses that
are no part of control pass through untouched, so calls cost what they cost without it.

While regions are parted, datagrams to another region are dropped as they are sent, connections to it do not
come up, and those that were up carry nothing either way; they are aborted when the regions rejoin, as bytes
of theirs are missing.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextvars import ContextVar
from dataclasses import dataclass, field
from typing import Any, cast

import uvloop

from millgw.platform.config import Address
from millgw.scale.figures import TCP_HEADERS, UDP_HEADERS, Part, Traffic

CONNECT_SILENCE = 20.0  # s after which a connection to a parted region fails, if nobody gave up before


@dataclass(slots=True)
class Destination:
    """What control finds at an address, and the region it is in (empty: reached from every region)."""

    part: Part
    region: str


def by_connection(destination: Destination) -> Destination:
    """What a connection carries there: peers' connections are counted apart from their datagrams."""
    if destination.part is Part.PEERS:
        return Destination(Part.PEER_CONNECTIONS, destination.region)
    return destination


class Meter:
    """One sidecar's traffic by part; kept through restarts of the sidecar."""

    def __init__(self, region: str) -> None:
        self.region = region
        self.traffic = {part: Traffic() for part in Part}

    def sent(self, part: Part, size: int, headers: int) -> None:
        """Something was written."""
        traffic = self.traffic[part]
        traffic.sent += size
        traffic.packets += 1
        traffic.headers += headers

    def received(self, part: Part, size: int, headers: int) -> None:
        """Something was read."""
        traffic = self.traffic[part]
        traffic.received += size
        traffic.packets += 1
        traffic.headers += headers


METER: ContextVar[Meter | None] = ContextVar("METER", default=None)
"""Whose code runs: set where a sidecar starts, inherited by its tasks, timers and transports."""


@dataclass(slots=True)
class Network:
    """Destinations of control by address; the connections between regions that are open."""

    destinations: dict[Address, Destination] = field(default_factory=dict)
    parted: bool = False
    crossing: set[MeteredTransport] = field(default_factory=set)
    unmetered: int = 0  # control connections that no sidecar could be found for

    def find(self, host: object, port: object) -> Destination | None:
        """What control finds there; None for all that is no part of it."""
        if not isinstance(host, str) or not isinstance(port, int):
            return None
        return self.destinations.get(Address(host, port))

    def crosses(self, meter: Meter, destination: Destination) -> bool:
        """Whether this goes from one region to another."""
        return destination.region not in ("", meter.region)

    def part(self) -> None:
        """Let nothing through between regions."""
        self.parted = True
        for transport in self.crossing:
            transport.silent = True

    def rejoin(self) -> None:
        """Let everything through again."""
        self.parted = False
        for transport in list(self.crossing):
            if transport.silent:
                transport.abort()
        self.crossing.clear()


class MeteredTransport:
    """A transport whose writes are counted; all else is the transport's own."""

    def __init__(self, inner: asyncio.Transport, meter: Meter, part: Part) -> None:
        self.inner = inner
        self.meter = meter
        self.part = part
        self.silent = False

    def write(self, data: bytes) -> None:
        """Count and write, unless the other side is out of reach."""
        self.meter.sent(self.part, len(data), TCP_HEADERS)
        if not self.silent:
            self.inner.write(data)

    def writelines(self, parts: list[bytes]) -> None:
        """All of them as one write."""
        self.write(b"".join(parts))

    def __getattr__(self, name: str) -> Any:
        return getattr(self.inner, name)


class MeteredProtocol(asyncio.Protocol):
    """Stands between a transport and a protocol, and counts what is read."""

    def __init__(
        self, inner: asyncio.Protocol, meter: Meter, network: Network, destination: Destination
    ) -> None:
        self.inner = inner
        self.meter = meter
        self.network = network
        self.destination = destination
        self.transport: MeteredTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        part = self.destination.part
        self.transport = MeteredTransport(cast(asyncio.Transport, transport), self.meter, part)
        if self.network.crosses(self.meter, self.destination):
            self.network.crossing.add(self.transport)
            self.transport.silent = self.network.parted
        self.inner.connection_made(cast(asyncio.Transport, self.transport))

    def data_received(self, data: bytes) -> None:
        if self.transport is not None and self.transport.silent:
            return
        self.meter.received(self.destination.part, len(data), TCP_HEADERS)
        self.inner.data_received(data)

    def eof_received(self) -> bool | None:
        return self.inner.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.transport is not None:
            self.network.crossing.discard(self.transport)
        self.inner.connection_lost(exc)

    def pause_writing(self) -> None:
        self.inner.pause_writing()

    def resume_writing(self) -> None:
        self.inner.resume_writing()


class MeteredDatagrams(asyncio.DatagramProtocol):
    """Counts datagrams both ways, and drops those to a region that is out of reach."""

    def __init__(self, inner: asyncio.DatagramProtocol, meter: Meter, network: Network, part: Part) -> None:
        self.inner = inner
        self.meter = meter
        self.network = network
        self.part = part
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)
        self.inner.connection_made(cast(asyncio.DatagramTransport, self))

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        self.meter.received(self.part, len(data), UDP_HEADERS)
        self.inner.datagram_received(data, address)

    def error_received(self, exc: Exception) -> None:
        self.inner.error_received(exc)

    def connection_lost(self, exc: Exception | None) -> None:
        self.inner.connection_lost(exc)

    # As a transport for the protocol behind it

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Count and send, unless the other side is out of reach."""
        self.meter.sent(self.part, len(data), UDP_HEADERS)
        destination = self.network.find(*address)
        parted = self.network.parted and destination is not None
        if destination is not None and parted and self.network.crosses(self.meter, destination):
            return
        if self.transport is not None:
            self.transport.sendto(data, address)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.transport, name)


class MeteredLoop(uvloop.Loop):
    """The daemon's event loop, whose control connections are counted."""

    def __init__(self) -> None:
        super().__init__()
        self.network = Network()

    def _meter(self) -> Meter | None:
        meter = METER.get()
        if meter is None:
            self.network.unmetered += 1
        return meter

    async def create_connection(
        self, protocol_factory: Callable[[], Any], host: Any = None, port: Any = None, **options: Any
    ) -> tuple[Any, Any]:
        destination = self.network.find(host, port)
        meter = None if destination is None else self._meter()
        if destination is None or meter is None:
            return await super().create_connection(protocol_factory, host, port, **options)
        if self.network.parted and self.network.crosses(meter, destination):
            await asyncio.sleep(CONNECT_SILENCE)
            raise TimeoutError(f"{host}:{port} is in another region")
        outer = MeteredProtocol(protocol_factory(), meter, self.network, by_connection(destination))
        transport, _ = await super().create_connection(lambda: outer, host, port, **options)
        return outer.transport or transport, outer.inner

    async def create_server(
        self, protocol_factory: Callable[[], Any], host: Any = None, port: Any = None, **options: Any
    ) -> Any:
        destination = self.network.find(host, port)
        meter = None if destination is None else self._meter()
        if destination is None or meter is None:
            return await super().create_server(protocol_factory, host, port, **options)
        # Who connects is counted and parted at its own end; this end is in its own region.
        own = Destination(by_connection(destination).part, "")

        def metered() -> MeteredProtocol:
            return MeteredProtocol(protocol_factory(), meter, self.network, own)

        return await super().create_server(metered, host, port, **options)

    async def create_datagram_endpoint(  # type: ignore[override]
        self, protocol_factory: Callable[[], Any], local_addr: Any = None, **options: Any
    ) -> tuple[Any, Any]:
        destination = None if local_addr is None else self.network.find(*local_addr)
        meter = None if destination is None else self._meter()
        if destination is None or meter is None:
            return await super().create_datagram_endpoint(protocol_factory, local_addr, **options)
        outer = MeteredDatagrams(protocol_factory(), meter, self.network, destination.part)
        await super().create_datagram_endpoint(lambda: outer, local_addr, **options)
        return outer, outer.inner
