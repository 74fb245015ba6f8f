"""The commands `check` and `route`: what an operator's file means, and which route a request takes."""

from __future__ import annotations

import argparse
import json
import sys
from typing import TypedDict

from millgw.operator.file import KINDS, Operator, OperatorError, load, table
from millgw.operator.guarantees import parts
from millgw.routing.table import Asked, NoRoute
from millgw.routing.target import BadTarget, read_target

HELD, NO_ROUTE, BAD_INPUT = 0, 1, 2
WITHOUT = "the daemon is what it is without this file"
TENDED = "connections to endpoints are tended"


def add_parsers(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add both to the one command line."""
    check = commands.add_parser("check", help="check an operator's file and print what it means")
    check.add_argument("file", metavar="FILE")
    check.add_argument("--json", action="store_true", help="for other programs")
    check.set_defaults(main=_check)
    route = commands.add_parser(
        "route",
        help="which route of an operator's file a request takes, and why",
        description="Exit: 0 it has a route, 1 it is refused, 2 bad input.",
    )
    route.add_argument("file", metavar="FILE")
    route.add_argument("--host", required=True, help="the Host field's value")
    route.add_argument("--path", default="/api", help="the request target (/api)")
    route.add_argument("--class", dest="cls", default="", metavar="CLASS", help="X-Qos")
    route.add_argument("--method", default="POST")
    route.add_argument("--header", action="append", default=[], metavar="NAME=VALUE", help="may be repeated")
    route.add_argument("--json", action="store_true", help="for other programs")
    route.set_defaults(main=_route)


def _load(path: str) -> Operator | None:
    try:
        return load(path)
    except OperatorError as error:
        print(f"millgw: {error}", file=sys.stderr)
        return None


def _check(args: argparse.Namespace) -> int:
    operator = _load(args.file)
    if operator is None:
        return BAD_INPUT
    services = {name: _service(operator, name) for name in operator.services}
    if args.json:
        store = None if operator.store is None else list(operator.store.directories)
        peers = None if operator.peers is None else operator.peers.listen
        print(json.dumps({"services": services, "peers": peers, "store": store}, indent=1))
        return HELD
    if not services:
        tended = operator.tends() is not None
        plain = operator.peers is None and operator.store is None
        print("no services: " + (TENDED if tended else WITHOUT if plain else "one pool for all requests"))
    if operator.store is not None:
        print(f"marks unsafe calls in {', '.join(operator.store.directories)} before they are sent")
    if operator.peers is not None:
        print(f"learns from peers, who find it at {operator.peers.listen}")
    for name, told in services.items():
        print(f"{name}: {told['source']}; classes {', '.join(told['classes']) or 'all'}")
        for kind, share in told["guaranteed"].items():
            print(f"    {kind}: {share:.1%} of the daemon's for sure, more while others leave it idle")
        if told["tended"]:
            print(f"    {TENDED}")
        for route in told["routes"]:
            print(f"    takes {route}")
    return HELD


class Meaning(TypedDict):
    """One service as the daemon will have it; `guaranteed` are shares by kind."""

    source: str
    classes: list[str]
    guaranteed: dict[str, float]
    routes: list[str]
    tended: bool


def _service(operator: Operator, name: str) -> Meaning:
    service = operator.services[name]
    source = "the configuration's discovery"
    if service.endpoints:
        source = f"{len(service.endpoints)} endpoints of a static list"
    elif service.discovery is not None:
        source = f"discovery at {service.discovery}"
    if service.coordinator is not None:
        told = f"nodes below {service.coordinator.path} at {service.coordinator.connect}"
        source = told if service.membership is None else f"{told}, and {source}: {service.membership}"
    whole = 1_000_000
    guaranteed = {}
    for kind in KINDS:
        shares = {n: getattr(s.limits, kind) for n, s in operator.services.items()}
        guaranteed[kind] = parts(whole, shares)[name] / whole
    routes = [str(r) for r in table(operator).routes if r.service == name]
    if service.listen is not None:
        routes.append(f"all that comes to {service.listen}")
    return {
        "source": source, "classes": list(service.classes), "guaranteed": guaranteed, "routes": routes,
        "tended": operator.tends(name) is not None,
    }  # fmt: skip


def _route(args: argparse.Namespace) -> int:
    operator = _load(args.file)
    if operator is None:
        return BAD_INPUT
    headers = {}
    for given in args.header:
        name, equals, value = given.partition("=")
        if not equals:
            print(f"millgw: --header {given}: is not NAME=VALUE", file=sys.stderr)
            return BAD_INPUT
        headers[name.lower()] = value
    try:
        target = read_target(args.path.encode(), (args.host.encode(),))
    except BadTarget as error:
        return _say(args.json, None, error.status, str(error))
    found = table(operator).find(Asked(target, args.method.upper(), args.cls, headers))
    if isinstance(found, NoRoute):
        return _say(args.json, None, found.status, found.why)
    return _say(args.json, found.service, 0, f"the most specific route that matches: {found}")


def _say(as_json: bool, service: str | None, status: int, why: str) -> int:
    if as_json:
        print(json.dumps({"service": service, "status": status or None, "why": why}))
    else:
        print(f"{service}: {why}" if service else f"refused with {status}: {why}")
    return HELD if service else NO_ROUTE
