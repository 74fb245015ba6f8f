"""The commands `check` and `route`: validate an operator's file, and show which route a request takes."""

from __future__ import annotations

import os
from typing import TypedDict

import click

from millgw.cli.exits import HELD, NOT_HELD, BadInput
from millgw.cli.kinds import FILE
from millgw.cli.report import Out, Reporting
from millgw.operator.file import LIMIT_KINDS, OperatorError, OperatorFile, compile_routes, load
from millgw.operator.guarantees import guaranteed_units
from millgw.routing.table import NoRoute, RouteRequest
from millgw.routing.target import BadTarget, read_target

NO_EFFECT = "the daemon behaves as without this file"
MANAGED = "connections to endpoints are managed (table `connections`)"


def _load(path: str) -> OperatorFile:
    try:
        return load(path)
    except OperatorError as error:
        raise BadInput(str(error)) from None


@click.command(cls=Reporting, examples=["check deploy/operator.toml"])
@click.argument("file", type=FILE)
def check(out: Out, file: str) -> int:
    """Check an operator's file and print what it means."""
    operator = _load(file)
    services = {name: _summarise(operator, name) for name in operator.services}
    result = {
        "services": services,
        "peers": None if operator.peers is None else operator.peers.listen,
        "store": None if operator.store is None else list(operator.store.directories),
        "zone": None if operator.places is None else operator.places.zone,
    }
    return out.end(HELD, result, _describe(operator, services))


def _describe(operator: OperatorFile, services: dict[str, ServiceSummary]) -> list[str]:
    lines = []
    if not services:
        tended = operator.connection_terms() is not None
        nothing_else = operator.peers is None and operator.store is None and operator.places is None
        lines.append(
            "no services: "
            + (MANAGED if tended else NO_EFFECT if nothing_else else "one pool for all requests")
        )
    if operator.store is not None:
        lines.append(f"marks unsafe calls in {', '.join(operator.store.directories)} before they are sent")
    if operator.peers is not None:
        lines.append(f"learns from peers, who find it at {operator.peers.listen}")
    if operator.places is not None:
        regions = ", ".join(f"{name}: {' '.join(z)}" for name, z in operator.places.regions.items())
        lines.append(f"chooses endpoints near zone {operator.places.zone} ({regions or 'one region'})")
    for name, summary in services.items():
        lines.append(f"{name}: {summary['source']}; classes {', '.join(summary['classes']) or 'all'}")
        for kind, share in summary["guaranteed"].items():
            lines.append(
                f"    {kind}: {share:.1%} of the daemon's guaranteed, more while other services leave it idle"
            )
        if summary["tended"]:
            lines.append(f"    {MANAGED}")
        lines += [f"    takes {route}" for route in summary["routes"]]
    return lines


class ServiceSummary(TypedDict):
    """One service as the daemon will run it; `guaranteed` are shares by kind of resource."""

    source: str
    classes: list[str]
    guaranteed: dict[str, float]
    routes: list[str]
    tended: bool


def _summarise(operator: OperatorFile, name: str) -> ServiceSummary:
    service = operator.services[name]
    source = "the configuration's discovery"
    if service.endpoints:
        source = f"{len(service.endpoints)} endpoints of a static list"
    elif service.discovery is not None:
        source = f"discovery at {service.discovery}"
    if service.coordinator is not None:
        nodes = f"nodes below {service.coordinator.path} at {service.coordinator.connect}"
        source = nodes if service.membership is None else f"{nodes}, and {source}: {service.membership}"
    whole = 1_000_000
    guaranteed = {}
    for kind in LIMIT_KINDS:
        shares = {n: getattr(s.limits, kind) for n, s in operator.services.items()}
        guaranteed[kind] = guaranteed_units(whole, shares)[name] / whole
    routes = [str(r) for r in compile_routes(operator).routes if r.service == name]
    if service.listen is not None:
        routes.append(f"all that comes to {service.listen}")
    return {
        "source": source, "classes": list(service.classes), "guaranteed": guaranteed, "routes": routes,
        "tended": operator.connection_terms(name) is not None,
    }  # fmt: skip


@click.command(cls=Reporting, examples=["route deploy/operator.toml --host login.example.org"])
@click.argument("file", type=FILE)
@click.option("--host", required=True, help="The Host field's value.")
@click.option("--path", default="/api", show_default=True, help="The request target.")
@click.option("--class", "cls", default="", metavar="CLASS", help="X-Qos.")
@click.option("--method", default="POST", show_default=True)
@click.option("--header", multiple=True, metavar="NAME=VALUE", help="May be repeated.")
def route(out: Out, file: str, host: str, path: str, cls: str, method: str, header: tuple[str, ...]) -> int:
    """Which route of an operator's file a request takes, and why.

    Exit: 0 it has a route, 1 it is refused, 2 bad input.
    """
    operator = _load(file)
    headers = {}
    for given in header:
        name, equals, value = given.partition("=")
        if not equals:
            raise BadInput(f"--header {given}: is not NAME=VALUE")
        headers[name.lower()] = value
    try:
        target = read_target(os.fsencode(path), (os.fsencode(host),))
    except BadTarget as error:
        return _print_result(out, None, error.status, str(error))
    found = compile_routes(operator).find(RouteRequest(target, method.upper(), cls, headers))
    if isinstance(found, NoRoute):
        return _print_result(out, None, found.status, found.reason)
    return _print_result(out, found.service, 0, f"the most specific route that matches: {found}")


def _print_result(out: Out, service: str | None, status: int, why: str) -> int:
    line = f"{service}: {why}" if service else f"refused with {status}: {why}"
    result = {"service": service, "status": status or None, "why": why}
    return out.end(HELD if service else NOT_HELD, result, [line])
