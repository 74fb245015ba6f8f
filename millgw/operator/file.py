"""Schema of the operator's file: services, each with its own pool, and the routes to them.

Without the file, or without services in it, the daemon has one pool for all requests. Errors are one line
that names file, line and path, such as `operator.toml:7: services.login.limits.calls: Expected `int` >= 1`.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any, Literal

from msgspec import Meta, field

from millgw.connections.settings import ConnectionSettings, Order, Proving
from millgw.membership.servers import check_path, read_connect
from millgw.operator.toml_schema import FileError, Table, read
from millgw.platform.config import read_address
from millgw.routing.table import Route, RouteError
from millgw.routing.table import Table as RouteTable

ServiceName = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9_-]*$", max_length=64)]


class OperatorError(FileError):
    """An invalid operator's file."""


class Endpoint(Table, frozen=True, kw_only=True):
    """One entry of a static list; its group and zone are not told where they are left out."""

    name: Annotated[str, Meta(min_length=1, max_length=256)]
    address: str
    group: Annotated[int, Meta(ge=0)] | None = None
    weight: Annotated[float, Meta(gt=0, le=1e6)] = 1.0
    zone: str = ""


class Directory(Table, frozen=True, kw_only=True):
    """A directory of ephemeral nodes on a ZooKeeper-like coordinator; `connect` is `IP:port,IP:port/root`."""

    connect: str
    path: str
    session_s: Annotated[float, Meta(ge=0.2, le=600)] = 10.0


class Coordinator(Directory, frozen=True, kw_only=True):
    """A directory whose nodes are a service's endpoints.

    `endpoint` selects one of a serverset's additional endpoints. `mass_share` is the share of endpoints that
    may vanish within `window_s` and still be removed at once; if more vanish, they are kept for `hold_s`
    while nothing is heard of them, and for at most `hold_most_s` in any case.
    """

    endpoint: str = ""
    mass_share: Annotated[float, Meta(gt=0, le=1)] = 0.15
    window_s: Annotated[float, Meta(ge=0.5, le=600)] = 10.0
    hold_s: Annotated[float, Meta(ge=0, le=3600)] = 30.0
    hold_most_s: Annotated[float, Meta(ge=0, le=86_400)] = 300.0


class Connections(Table, frozen=True, kw_only=True):
    """Management of connections to endpoints (docs/connections.md); the table's presence enables it."""

    order: Literal["lifo", "fifo"] = "lifo"
    keep_least: Annotated[int, Meta(ge=0, le=1000)] = 0
    keep_most: Annotated[int, Meta(ge=0, le=100_000)] = 0
    open_most: Annotated[int, Meta(ge=0, le=100_000)] = 0
    ahead: bool = True
    headroom: Annotated[float, Meta(ge=0, le=10)] = 0.25
    age_s: Annotated[float, Meta(ge=0, le=1e6)] = 0.0
    uses: Annotated[int, Meta(ge=0)] = 0
    idle_part: Annotated[float, Meta(gt=0, le=1)] = 0.5
    jitter: Annotated[float, Meta(ge=0, le=0.9)] = 0.2
    learn: bool = True
    at_once: Annotated[int, Meta(ge=1, le=10_000)] = 4
    at_once_all: Annotated[int, Meta(ge=1, le=100_000)] = 64
    cold_per_s: Annotated[float, Meta(ge=1, le=1e6)] = 20.0
    wait_ms: Annotated[float, Meta(ge=0, le=10_000)] = 50.0
    probe_ms: tuple[Annotated[float, Meta(ge=10, le=1e6)], Annotated[float, Meta(ge=10, le=1e6)]] = (
        100.0,
        2000.0,
    )
    panic: Annotated[float, Meta(ge=0, le=1)] = 0.5
    prove: Literal["hold", "ack"] = "hold"
    silent_after_s: Annotated[float, Meta(ge=0, le=1e6)] = 5.0
    prove_ms: Annotated[float, Meta(ge=10, le=10_000)] = 100.0

    def terms(self) -> ConnectionSettings:
        """These settings as the connection policy takes them; raises ValueError naming an invalid field."""
        return ConnectionSettings(
            order=Order(self.order), keep_least=self.keep_least, keep_most=self.keep_most,
            open_most=self.open_most, ahead=self.ahead, headroom=self.headroom, age=self.age_s * 1000,
            uses=self.uses, idle_part=self.idle_part, jitter=self.jitter, learn=self.learn,
            at_once=self.at_once, at_once_all=self.at_once_all, cold_rate=self.cold_per_s,
            wait=self.wait_ms, probe_base=self.probe_ms[0], probe_most=self.probe_ms[1], panic=self.panic,
            prove=Proving(self.prove), silent_after=self.silent_after_s * 1000, prove_most=self.prove_ms,
        )  # fmt: skip


class Limits(Table, frozen=True, kw_only=True):
    """Guarantees of a service's pool, as shares of what the whole daemon may hold.

    `callers` is its share of callers' connections: above it, its idle ones are closed first.
    """

    callers: Annotated[float, Meta(gt=0, le=1)] | None = None
    calls: Annotated[float, Meta(gt=0, le=1)] | None = None
    connections: Annotated[float, Meta(gt=0, le=1)] | None = None
    bodies: Annotated[float, Meta(gt=0, le=1)] | None = None
    answers: Annotated[float, Meta(gt=0, le=1)] | None = None


class Service(Table, frozen=True, kw_only=True):
    """One service: the source of its endpoint list, its classes, and settings that differ for it.

    Without `discovery`, `coordinator` and `endpoints`, the configuration's discovery is used. With a
    coordinator, `membership` selects how its list and a discovery's are merged (`Mode` of
    `millgw.membership.merge`); without `membership` the coordinator alone is used. `settings` is merged,
    table by table, over the configuration's object of that name. `listen` is an address of its own: all
    requests there are for this service, which then needs no route. `connections` replaces the file's
    top-level table of that name.
    """

    listen: str | None = None
    discovery: str | None = None
    coordinator: Coordinator | None = None
    membership: Literal["union", "intersection", "coordinator", "discovery"] | None = None
    endpoints: tuple[Endpoint, ...] = ()
    classes: tuple[str, ...] = ()
    settings: dict[str, Any] = field(default_factory=dict)
    limits: Limits = Limits()
    connections: Connections | None = None


class Store(Table, frozen=True, kw_only=True):
    """The durable store that marks unsafe calls as sent (docs/store.md); the table's presence enables it.

    Two `directories` mirror each other. Marks are kept for `keep_h`; `key` names the header with the client's
    own idempotency key.
    """

    directories: Annotated[tuple[str, ...], Meta(min_length=1, max_length=2)]
    sync: Literal["each", "group", "interval"] = "group"
    keep_h: Annotated[float, Meta(gt=0, le=24 * 366)] = 1.0
    key: Annotated[str, Meta(pattern=r"^[A-Za-z0-9-]*$", max_length=64)] = ""


class Peers(Table, frozen=True, kw_only=True):
    """Exchange of state with other sidecars (docs/peers.md); the table's presence enables it.

    `listen` (UDP and TCP) is the address at which peers reach this sidecar, and its name among them. `join`
    lists some peers. `keys` are the files of one or two shared keys: the first signs messages, all are
    accepted. A start waits for peers for at most `within_ms`.
    """

    listen: str
    join: Annotated[tuple[str, ...], Meta(max_length=1000)] = ()
    keys: Annotated[tuple[str, ...], Meta(min_length=1, max_length=2)]
    within_ms: Annotated[float, Meta(ge=0, le=5000)] = 300.0
    coordinator: Directory | None = None


class Configuration(Table, frozen=True, kw_only=True):
    """The fleet's distributed configuration (docs/configuration-sidecar.md); the table's presence enables it.

    `instances` are the control instances, any of which can send it. `relays` lists, by zone, those that serve
    one zone only; sidecars whose `zone` it is ask them first. The last good version is stored in `directory`,
    if that is set. `name` is the sidecar's name in its reports, by default that of the configuration.
    """

    instances: Annotated[tuple[str, ...], Meta(min_length=1, max_length=64)]
    relays: dict[str, tuple[str, ...]] = field(default_factory=dict)
    zone: str = ""
    directory: str = ""
    name: Annotated[str, Meta(max_length=128)] = ""


class Places(Table, frozen=True, kw_only=True):
    """Zones and regions (docs/locality.md); the table's presence enables zone-aware choice of endpoints.

    `zone` is the sidecar's own zone. `regions` lists the zones of each region; without it all zones are one
    region. `fill` is the share of all endpoints' capacity that callers use together; `callers` is each zone's
    part of that load in any unit, by default in proportion to its endpoints. Calls of the classes in
    `keep_in_region` never leave their region.
    """

    zone: Annotated[str, Meta(min_length=1, max_length=128)]
    regions: dict[str, tuple[str, ...]] = field(default_factory=dict)
    fill: Annotated[float, Meta(gt=0, le=1)] = 0.8
    callers: dict[str, Annotated[float, Meta(ge=0, le=1e9)]] = field(default_factory=dict)
    keep_in_region: tuple[str, ...] = ()


class RouteEntry(Table, frozen=True, kw_only=True, rename={"cls": "class"}):
    """One route; an omitted field matches anything."""

    to: str
    host: str = ""
    path: Annotated[str, Meta(pattern=r"^(/.*)?$")] = ""
    method: Annotated[str, Meta(pattern=r"^[A-Za-z]*$")] = ""
    cls: str = ""
    headers: dict[str, str] = field(default_factory=dict)


class OperatorFile(Table, frozen=True, kw_only=True):
    """The whole file."""

    services: dict[ServiceName, Service] = field(default_factory=dict)
    routes: tuple[RouteEntry, ...] = ()
    connections: Connections | None = None
    peers: Peers | None = None
    store: Store | None = None
    configuration: Configuration | None = None
    places: Places | None = None

    def connection_terms(self, name: str = "") -> ConnectionSettings | None:
        """The connection settings of a service, or of the single pool; None if they are not managed."""
        own = self.services[name].connections if name else None
        connections = self.connections if own is None else own
        return None if connections is None else connections.terms()


LIMIT_KINDS = ("calls", "connections", "bodies", "answers")


def check(operator: OperatorFile) -> OperatorFile:
    """Check conditions that span several fields; raises ValueError with the text `path: what`."""
    _check_connections("connections", operator.connections)
    if operator.peers is not None:
        _check_peers(operator.peers)
    if operator.configuration is not None:
        _check_configuration(operator.configuration)
    if operator.places is not None:
        _check_places(operator.places)
    for name, service in operator.services.items():
        path = f"services.{name}"
        _check_connections(f"{path}.connections", service.connections)
        if service.listen is not None:
            _check_address(f"{path}.listen", service.listen)
            others = [n for n, s in operator.services.items() if n != name and s.listen == service.listen]
            if others:
                raise ValueError(f"{path}.listen: is also that of services.{others[0]}")
        if service.discovery is not None:
            if service.endpoints:
                raise ValueError(f"{path}.endpoints: can't be combined with a discovery")
            _check_address(f"{path}.discovery", service.discovery)
        _check_coordinator(path, service)
        names = [e.name for e in service.endpoints]
        for i, endpoint in enumerate(service.endpoints):
            _check_address(f"{path}.endpoints[{i}].address", endpoint.address)
            if endpoint.name in names[:i]:
                raise ValueError(f"{path}.endpoints[{i}].name: {endpoint.name!r} is given twice")
    for kind in ("callers", *LIMIT_KINDS):
        parts = [
            (n, getattr(s.limits, kind)) for n, s in operator.services.items() if getattr(s.limits, kind)
        ]
        total = sum(part for _, part in parts)
        if total > 1 + 1e-9:
            raise ValueError(
                f"services.{parts[-1][0]}.limits.{kind}: all together are {total:.3g} of the whole"
            )
    for i, route in enumerate(operator.routes):
        if route.to not in operator.services:
            raise ValueError(f"routes[{i}].to: there is no service {route.to!r}")
    reached = {route.to for route in operator.routes}
    for name in operator.services:
        if name not in reached and operator.services[name].listen is None:
            raise ValueError(f"services.{name}: no route leads to it")
    try:
        compile_routes(operator)
    except RouteError as error:
        raise ValueError(f"routes[{error.index}]: {error}") from None
    return operator


def _check_connections(path: str, table: Connections | None) -> None:
    try:
        if table is not None:
            table.terms()
    except ValueError as error:
        field, _, what = str(error).partition(": ")
        field = "probe_ms" if field.startswith("probe") else field
        raise ValueError(f"{path}.{field}: {what}") from None


def _check_peers(table: Peers) -> None:
    _check_address("peers.listen", table.listen)
    if read_address(table.listen).is_wildcard:
        raise ValueError("peers.listen: is no address at which others find this sidecar")
    for i, peer in enumerate(table.join):
        _check_address(f"peers.join[{i}]", peer)
    if table.coordinator is not None:
        _check_directory("peers.coordinator", table.coordinator)


def _check_configuration(table: Configuration) -> None:
    lists = {"instances": table.instances} | {f"relays.{zone}": table.relays[zone] for zone in table.relays}
    for key, instances in lists.items():
        for i, instance in enumerate(instances):
            _check_address(f"configuration.{key}[{i}]", instance)
            if read_address(instance).is_wildcard:
                raise ValueError(f"configuration.{key}[{i}]: is no address to connect to")


def _check_places(table: Places) -> None:
    seen: dict[str, str] = {}
    for region, zones in table.regions.items():
        for i, zone in enumerate(zones):
            if zone in seen:
                raise ValueError(f"places.regions.{region}[{i}]: {zone!r} is in region {seen[zone]!r} too")
            seen[zone] = region
    if seen and table.zone not in seen:
        raise ValueError(f"places.zone: {table.zone!r} is in none of the regions")
    if table.callers and not sum(table.callers.values()):
        raise ValueError("places.callers: there are none")


def _check_directory(path: str, table: Directory) -> None:
    for key, reads, value in (("connect", read_connect, table.connect), ("path", check_path, table.path)):
        try:
            reads(value)
        except ValueError as error:
            raise ValueError(f"{path}.{key}: {error}") from None


def _check_coordinator(path: str, service: Service) -> None:
    coordinator = service.coordinator
    if coordinator is None:
        if service.membership is not None:
            raise ValueError(f"{path}.membership: says how two sources are one; there is no coordinator")
        return
    if service.endpoints:
        raise ValueError(f"{path}.endpoints: can't be combined with a coordinator")
    if service.discovery is not None and service.membership is None:
        raise ValueError(f"{path}.membership: is needed beside a discovery and a coordinator")
    _check_directory(f"{path}.coordinator", coordinator)
    if coordinator.hold_most_s < coordinator.hold_s:
        raise ValueError(f"{path}.coordinator.hold_most_s: is under the hold_s of {coordinator.hold_s:g}")


def _check_address(path: str, value: str) -> None:
    try:
        read_address(value)
    except ValueError as error:
        raise ValueError(f"{path}: {error}") from None


def compile_routes(operator: OperatorFile) -> RouteTable:
    """Compile the file's routes."""
    return RouteTable(
        [
            Route(r.to, r.host, r.path, r.method, r.cls, tuple(sorted(r.headers.items())))
            for r in operator.routes
        ]
    )


def parse(text: str, name: str) -> OperatorFile:
    """Parse an operator's file from its text."""
    return read(text, name, OperatorFile, check, OperatorError)


def load(path: str) -> OperatorFile:
    """Read and parse the operator's file at a path."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise OperatorError(f"{path}: {error}") from None
    return parse(text, path)
