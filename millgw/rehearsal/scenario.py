"""Schema of scenario files: fleet, traffic, discovery and faults, as typed tables.

Shares are fractions of 1, `_s` fields are seconds, `_ms` fields milliseconds. An invalid file raises a
`ScenarioError` with the file's name, the line where it is known, the key's path and what is wrong.
"""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, field

from millgw.operator.file import Connections
from millgw.operator.toml_schema import FileError, Table
from millgw.standins.discovery_server import OutageKind

Share = Annotated[float, Meta(ge=0.0, le=1.0)]
PositiveShare = Annotated[float, Meta(gt=0.0, le=1.0)]
Positive = Annotated[float, Meta(gt=0.0, le=1e6)]
NotNegative = Annotated[float, Meta(ge=0.0, le=1e6)]
Count = Annotated[int, Meta(ge=1, le=10_000)]
SizeKb = Annotated[float, Meta(ge=0.0, le=32_768.0)]
Range = tuple[NotNegative, NotNegative]
TrafficShape = Literal["steady", "bursty", "wave", "ramp"]
FaultKind = Literal[
    "silence",
    "restart",
    "fast-failure",
    "slowdown",
    "resets",
    "spoilt",
    "drain",
    "replaced",
    "flapping",
    "discovery-outage",
    "discovery-restart",
    "watches-silent",
    "sidecar-killed",
    "sidecar-restart",
    "sidecar-upgrade",
    "sidecar-drain",
    "sidecar-stopped",
    "crowd",
    "connections",
    "reload",
    "zk-expire",
    "zk-lag",
    "zk-drop",
    "zk-freeze",
    "zk-restart-empty",
    "middlebox",
    "parted",
    "control-instance-lost",
    "control-all-lost",
]
ENDPOINT_FAULTS: frozenset[str] = frozenset(
    {
        "silence", "restart", "fast-failure", "slowdown", "resets", "spoilt", "drain", "replaced", "flapping",
        "zk-expire", "middlebox", "parted",
    }
)  # fmt: skip
OUTAGE_FAULTS: frozenset[str] = frozenset({"discovery-outage", "discovery-restart"})
CONTROL_ADDRESS_FAULTS: frozenset[str] = frozenset({"sidecar-upgrade", "sidecar-drain"})
CONTROL_FAULTS: frozenset[str] = frozenset({"control-instance-lost", "control-all-lost"})
SIDECAR_FAULTS: frozenset[str] = (
    frozenset({"sidecar-killed", "sidecar-restart", "sidecar-stopped", "connections"})
    | CONTROL_ADDRESS_FAULTS
)


class ScenarioError(FileError):
    """The scenario is invalid; the text names file, line and key."""


class EndpointKind(Table, frozen=True, kw_only=True):
    """A kind of endpoint: its share of each tier, and its speed relative to the reference speed of 1."""

    share: PositiveShare
    speed: Positive


class Fleet(Table, frozen=True, kw_only=True):
    """Endpoints in the first tier, the tiers' sizes relative to it, and the sidecars of all stages together.

    Each endpoint of every tier but the last has its own sidecar; the remaining sidecars are at the front.
    `idle_s` is the idle timeout of connections that sidecars are given. Endpoints really keep idle
    connections for `idle_part` of it, or a random part of that, and close a connection without notice after
    `uses` answers (0: no limit).
    """

    endpoints: Count = 6
    tiers: Annotated[tuple[Positive, ...], Meta(min_length=1, max_length=4)] = (1.0, 1.0, 2.0)
    work: Annotated[tuple[Positive, ...], Meta(min_length=1, max_length=4)] = (0.36, 0.27, 0.37)
    calls: tuple[Positive, ...] = (1.25, 1.5)
    sidecars: Count = 16
    kinds: Annotated[tuple[EndpointKind, ...], Meta(min_length=1)] = (
        EndpointKind(share=0.26, speed=1.6),
        EndpointKind(share=0.26, speed=0.98),
        EndpointKind(share=0.48, speed=0.6),
    )
    group: Count = 5
    cores: Count = 1
    slots: Count = 20
    waiting: Annotated[int, Meta(ge=0, le=10_000)] = 20
    connections: Count = 600
    handshake_work_ms: NotNegative = 1.0
    handshake_ms: NotNegative = 0.6
    idle_s: Positive = 30.0
    idle_part: PositiveShare = 1.0
    idle_random: bool = False
    uses: Annotated[int, Meta(ge=0, le=1_000_000)] = 0
    cold_share: PositiveShare = 0.2
    cold_s: NotNegative = 14.0
    drops_waiting: bool = True
    drains_serving: bool = False
    drains_healthy: bool = False

    def tier_sizes(self) -> tuple[int, ...]:
        return tuple(max(1, round(self.endpoints * size)) for size in self.tiers)

    def endpoint_sidecars(self) -> int:
        """The number of sidecars that belong to endpoints."""
        return sum(self.tier_sizes()[:-1])


class Class(Table, frozen=True, kw_only=True):
    """A class of requests. `repeat` is `retryable`, `dedup` (carries a key) or `fragile` (must not repeat).

    `body_kb` and `answer_kb` are the sizes of its request bodies and of the first tier's answers. Clients
    write bodies and read answers, and endpoints write answers, at `pace_kb_s` (0: unlimited).
    """

    name: Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9_.-]*$", max_length=64)]
    share: PositiveShare
    repeat: Literal["retryable", "dedup", "fragile"]
    work_ms: Positive
    wait_ms: NotNegative = 0.0
    cv: NotNegative = 1.0
    aim_ms: Positive
    deadline_ms: Positive
    worth: Positive = 1.0
    late_worth: Share = 0.3
    window_ms: NotNegative = 0.0
    body_kb: SizeKb = 0.0
    answer_kb: SizeKb = 0.0
    pace_kb_s: NotNegative = 0.0


class Tenant(Table, frozen=True, kw_only=True):
    name: Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9_.-]*$", max_length=64)]
    share: PositiveShare


class Traffic(Table, frozen=True, kw_only=True):
    """Client behaviour. `rate` is in first attempts per second.

    Of the clients whose `fragile` request ended with a lost connection and no answer, the share `insist`
    repeats it at the same sidecar, under the same trace id, until it answers or the deadline passes.
    """

    rate: Positive = 40.0
    shape: TrafficShape = "bursty"
    swing: Share = 0.25
    retries: Annotated[int, Meta(ge=0, le=10)] = 3
    try_share: tuple[PositiveShare, PositiveShare] = (0.5, 0.6)
    wait_ms: Range = (75.0, 600.0)
    at_once: Share = 0.5
    honour: Share = 0.3
    impatient: Share = 0.0
    insist: Share = 0.0


class Discovery(Table, frozen=True, kw_only=True):
    """Delays and capacity of the discovery server."""

    notice_s: Range = (0.5, 2.0)
    silent_s: Range = (3.0, 6.0)
    add_s: Range = (0.3, 1.0)
    lines_per_s: Positive = 760.0
    call_lines: NotNegative = 40.0
    timeout_s: Positive = 3.0


class Coordinator(Table, frozen=True, kw_only=True):
    """A ZooKeeper-style coordinator at which endpoints register, and sidecars' sessions at it.

    `membership` is how sidecars use it: `alone`, or combined with discovery by that value of the operator's
    file.
    """

    faces: Annotated[int, Meta(ge=1, le=3)] = 3
    session_s: Annotated[float, Meta(ge=0.2, le=600)] = 4.0
    membership: Literal["alone", "union", "intersection", "coordinator", "discovery"] = "alone"


class Peers(Table, frozen=True, kw_only=True):
    """Sidecars of one stage learn from each other (docs/peers.md).

    `byzantine` is the number of further peers that hold the key and send false reports. `within_ms` is how
    long a starting sidecar waits for its peers' state.
    """

    within_ms: NotNegative = 300.0
    byzantine: Annotated[int, Meta(ge=0, le=100)] = 0


class Store(Table, frozen=True, kw_only=True):
    """Each sidecar records unsafe calls in its own store before it sends them (docs/store.md)."""

    sync: Literal["each", "group", "interval"] = "group"
    mirrors: Annotated[int, Meta(ge=1, le=2)] = 1


class Configuration(Table, frozen=True, kw_only=True):
    """Control instances whose versions all sidecars follow (docs/configuration.md), and changes to them.

    The first `refusing` front sidecars can't apply a version that sets the classes.
    """

    instances: Annotated[int, Meta(ge=1, le=7)] = 3
    changes_per_minute: Annotated[float, Meta(gt=0.0, le=600.0)] = 30.0
    refusing: Annotated[int, Meta(ge=0, le=100)] = 0


ZoneName = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9_-]*$", max_length=64)]


class Zones(Table, frozen=True, kw_only=True):
    """Endpoints, each with its sidecar, are assigned to `names` in turn; front sidecars to `front`.

    An empty `front` means `names` too. With `places = false`, sidecars get no `[places]` table
    (docs/locality.md).
    """

    names: Annotated[tuple[ZoneName, ...], Meta(min_length=1, max_length=64)] = ("a",)
    regions: dict[ZoneName, tuple[ZoneName, ...]] = field(default_factory=dict)
    front: tuple[ZoneName, ...] = ()
    places: bool = True

    def of_endpoint(self, index: int) -> str:
        """The zone of an endpoint of a tier, and of its sidecar."""
        return self.names[index % len(self.names)]

    def of_front(self, index: int) -> str:
        """The zone of a front sidecar."""
        zones = self.front or self.names
        return zones[index % len(zones)]


class Limits(Table, frozen=True, kw_only=True):
    """Resource and attempt limits of each sidecar."""

    memory_mb: Positive = 64.0
    sockets: Annotated[int, Meta(ge=64, le=65_536)] = 1024
    attempts: Annotated[int, Meta(ge=1, le=10)] = 3
    parallel: bool = True
    retry_after_ms: NotNegative = 0.0
    connect_ms: Positive = 250.0
    probing: bool = False


class Rules(Table, frozen=True, kw_only=True):
    """The bounds that the four rules are judged by."""

    drain_grace_ms: Positive = 500.0
    fall_multiple: Positive = 2.5
    fall_ms: Positive = 1000.0
    ask_within_ms: Positive = 6000.0


class Fault(Table, frozen=True, kw_only=True, rename={"cls": "class"}):
    """One fault. `share` is of the endpoints of `tier` (0: all) in `zone`, or of the front's sidecars.

    The meaning of `size` depends on the kind: the share of requests hit (fast-failure, resets, spoilt), the
    slowdown factor (slowdown), the rate factor (crowd, of the class named by `class` if there is one),
    connections to each sidecar (connections), milliseconds of each stop (sidecar-stopped), or seconds of
    idleness after which a middlebox silently drops a connection's state (middlebox). With `spacing_s`,
    targets are hit one after the other. A reload removes the `service` that it names and adds it back.
    `outage` is how calls to the discovery server fail while it is down.
    """

    kind: FaultKind
    start_s: NotNegative
    length_s: NotNegative = 5.0
    share: PositiveShare = 0.12
    size: Positive | None = None
    tier: Annotated[int, Meta(ge=0, le=4)] = 0
    spacing_s: NotNegative = 0.0
    zone: str | None = None
    cls: str | None = None
    service: str | None = None
    outage: OutageKind | None = None

    @property
    def until_s(self) -> float:
        return self.start_s + self.length_s


class Service(Table, frozen=True, kw_only=True):
    """One of several services of a day: its classes and the number of its endpoints (0: never any)."""

    name: Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9_-]*$", max_length=64)]
    classes: Annotated[tuple[str, ...], Meta(min_length=1)]
    endpoints: Annotated[int, Meta(ge=0, le=10_000)] = 4


FAULT_SIZES: dict[str, tuple[float, float]] = {
    "fast-failure": (0.6, 1.0),
    "resets": (0.1, 1.0),
    "spoilt": (0.1, 1.0),
    "slowdown": (2.0, 100.0),
    "crowd": (3.0, 100.0),
    "sidecar-stopped": (140.0, 10_000.0),
    "connections": (100.0, 10_000.0),
    "middlebox": (1.0, 600.0),
}
"""Fault kinds that have a size: the default and the maximum."""


class Scenario(Table, frozen=True, kw_only=True):
    """A whole scenario: everything that one day is played from."""

    about: str = ""
    seconds: Annotated[float, Meta(ge=1.0, le=86_400.0)] = 20.0
    seed: Annotated[int, Meta(ge=0)] = 1
    fleet: Fleet = Fleet()
    traffic: Traffic = Traffic()
    classes: Annotated[tuple[Class, ...], Meta(min_length=1)] = (
        Class(
            name="envio-campanha", share=0.52, repeat="dedup", work_ms=220, wait_ms=190, cv=1.5,
            aim_ms=2500, deadline_ms=6000, worth=5, late_worth=0.3, window_ms=10_000,
        ),
        Class(
            name="codigo-acesso", share=0.48, repeat="fragile", work_ms=70, wait_ms=55, cv=1.2,
            aim_ms=1500, deadline_ms=4000, worth=8, late_worth=0.5,
        ),
    )  # fmt: skip
    tenants: Annotated[tuple[Tenant, ...], Meta(min_length=1)] = (
        Tenant(name="rede-pampa", share=0.17),
        Tenant(name="coop-serrana", share=0.16),
        Tenant(name="farmacia-guaiba", share=0.16),
        Tenant(name="mercado-colonia", share=0.13),
        Tenant(name="moveis-vinhedo", share=0.12),
        Tenant(name="credito-planalto", share=0.11),
        Tenant(name="transporte-lagoa", share=0.11),
        Tenant(name="padaria-nona", share=0.04),
    )
    discovery: Discovery = Discovery()
    limits: Limits = Limits()
    rules: Rules = Rules()
    services: tuple[Service, ...] = ()
    coordinator: Coordinator | None = None
    connections: Connections | None = None
    peers: Peers | None = None
    store: Store | None = None
    configuration: Configuration | None = None
    zones: Zones | None = None
    faults: tuple[Fault, ...] = ()

    def work_shares(self) -> tuple[float, ...]:
        """The share of a request's work that each tier does; parallel services have the same share each."""
        return self.fleet.work[:1] * len(self.services) or self.fleet.work

    def request_share(self, cls: Class, tier: int) -> float:
        """The relative share of a class in a tier's requests; 0 where another service has the class."""
        elsewhere = self.services and cls.name not in self.services[tier - 1].classes
        return 0.0 if elsewhere else cls.share


def refusing_sidecars(scenario: Scenario) -> frozenset[str]:
    """The front sidecars that can't apply a version that sets the classes."""
    count = 0 if scenario.configuration is None else scenario.configuration.refusing
    return frozenset(f"n0-{number}" for number in range(count))
