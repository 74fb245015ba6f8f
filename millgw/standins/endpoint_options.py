"""Parameters of a stand-in endpoint: its capacity, the cost of its work, and its injected faults."""

from __future__ import annotations

from dataclasses import dataclass

from millgw.platform.config import Address


@dataclass(slots=True, frozen=True)
class ClassCost:
    """Cost of one class at an endpoint of a tier. `work` is in core-ms of a reference core; times in ms."""

    work: float
    wait: float
    cv: float
    deadline: float
    keyed: bool = False
    window: float = 0.0
    calls: float = 0.0  # calls to the next tier for each request, on average
    answer: int = 0  # bytes of an answer's body; 0: a few hundred
    pace: float = 0.0  # bytes per s at which such an answer is written; 0: as fast as it is read
    share: float = 1.0  # of the requests, relative to the other classes


ONE_ZONE = "sala-caxias"  # the zone of all endpoints in a scenario without zones


@dataclass(slots=True, frozen=True)
class EndpointOptions:
    """The fixed parameters of an endpoint, the same in all its lives. Times are in ms."""

    name: str
    tier: int
    cell: int
    address: Address
    speed: float = 1.0
    cores: int = 1
    slots: int = 20
    waiting: int = 20
    connections: int = 600
    handshake_work: float = 1.0  # core-ms
    handshake_ms: float = 0.6
    idle: float = 30_000.0
    idle_random: bool = False  # each connection gets a random part of that
    uses: int = 0  # answers after which a connection is closed without notice; 0: no limit
    cold_share: float = 0.2
    cold_ms: float = 14_000.0
    probing: bool = False  # whether it answers health probes; otherwise with 404
    drains_serving: bool = False  # whether it keeps serving while it drains; otherwise it rejects calls
    drains_healthy: bool = False  # whether health probes get 200 while it drains; otherwise 503
    drops_waiting: bool = True  # whether queued requests are dropped when their connection ends
    zone: str = ONE_ZONE


@dataclass(slots=True, frozen=True)
class ColdRule:
    """A cold endpoint crashes above `multiple` times its present capacity within `window` ms."""

    multiple: float = 2.5
    window: float = 1000.0


@dataclass(slots=True)
class EndpointFaults:
    """Faults of an endpoint at the moment: shares of its requests; `slowness` divides its speed."""

    failing: float = 0.0
    resetting: float = 0.0
    spoiling: float = 0.0
    slowness: float = 1.0
