"""The route table: finds the most specific route that matches a request. Pure, compiled once.

The order of precedence is total and independent of the order of the routes in the file. Of two routes that
match, the first of these rules that tells them apart decides; the winner has
1. the more specific host: exact, then the longer `*.` suffix, then any;
2. the longer path prefix, in segments;
3. a method, where the other has none;
4. a class, where the other has none;
5. more headers; with as many, the first by the sorted names and then values.

A lookup costs at most one dictionary access for each label of the host and segment of the path, and for each
*set of header names* on one host and path (at most MAX_HEADER_SETS). It does not depend on the number of
routes.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from millgw.routing.target import BadTarget, Target, read_host, read_path

MAX_HEADER_SETS = 8  # sets of header names on one host, path, method and class
UNKNOWN_HOST, NO_ROUTE = 421, 404  # RFC 9110 sections 15.5.20 and 15.5.5


class RouteError(ValueError):
    """An invalid or duplicate route; `index` is its position in the list of routes."""

    def __init__(self, index: int, what: str) -> None:
        super().__init__(what)
        self.index = index


@dataclass(slots=True, frozen=True)
class Route:
    """Conditions on a request; an empty field matches anything. `headers`: lower-case names, whole values."""

    service: str
    host: str = ""
    path: str = ""
    method: str = ""
    cls: str = ""
    headers: tuple[tuple[str, str], ...] = ()

    def __str__(self) -> str:
        parts = [f"host {self.host}" if self.host else "any host", f"path {self.path or '/'}"]
        parts += [f"method {self.method}"] if self.method else []
        parts += [f"class {self.cls}"] if self.cls else []
        parts += [f"{name}: {value}" for name, value in self.headers]
        return ", ".join(parts)


@dataclass(slots=True, frozen=True)
class RouteRequest:
    """The parts of a request that routes are matched against."""

    target: Target
    method: str = ""
    cls: str = ""
    headers: Mapping[str, str] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class NoRoute:
    """No route matches: status 421 if no route has the host, else 404."""

    status: int
    reason: str


Leaf = dict[tuple[str, str], list[tuple[tuple[str, ...], dict[tuple[str, ...], Route]]]]
"""By method and class: sets of header names in order of precedence, each with its routes by header values."""


def normalise_route(route: Route, index: int) -> Route:
    """The route with host and path normalised as in requests; raises RouteError if no request could match."""
    host, path = route.host, route.path
    try:
        if host:
            name = read_host(host.removeprefix("*.").encode("ascii"))
            if ":" in host.rpartition("]")[2]:
                raise BadTarget("a route's host has no port")
            host = f"*.{name}" if host.startswith("*.") else name
    except (BadTarget, UnicodeEncodeError) as error:
        raise RouteError(index, f"host: {error}") from None
    try:
        if path:
            path = read_path(path.encode("ascii")).rstrip("/")
    except (BadTarget, UnicodeEncodeError) as error:
        raise RouteError(index, f"path: {error}") from None
    headers = tuple(sorted((name.lower(), value) for name, value in route.headers))
    return Route(route.service, host, path, route.method.upper(), route.cls, headers)


class Table:
    """All routes, indexed for lookups."""

    def __init__(self, routes: Sequence[Route]) -> None:
        self.exact_hosts: dict[str, dict[str, Leaf]] = {}
        self.host_suffixes: dict[str, dict[str, Leaf]] = {}
        self.any_host: dict[str, Leaf] = {}
        self.routes: list[Route] = []
        self.header_names: set[str] = set()  # lower-case names of the headers that routes have conditions on
        seen: dict[Route, int] = {}
        for index, entry in enumerate(routes):
            route = normalise_route(entry, index)
            conditions = Route("", route.host, route.path, route.method, route.cls, route.headers)
            if conditions in seen:
                raise RouteError(index, f"can't be told apart from routes[{seen[conditions]}]: {route}")
            seen[conditions] = index
            self.routes.append(route)
            self.header_names.update(name for name, _ in route.headers)
            self._add(index, route)

    def _add(self, index: int, route: Route) -> None:
        if route.host.startswith("*."):
            paths = self.host_suffixes.setdefault(route.host[2:], {})
        else:
            paths = self.exact_hosts.setdefault(route.host, {}) if route.host else self.any_host
        sets = paths.setdefault(route.path, {}).setdefault((route.method, route.cls), [])
        names = tuple(name for name, _ in route.headers)
        values = tuple(value for _, value in route.headers)
        for existing, by_values in sets:
            if existing == names:
                by_values[values] = route
                return
        if len(sets) == MAX_HEADER_SETS:
            raise RouteError(
                index, f"headers: more than {MAX_HEADER_SETS} sets of names on {route.host}{route.path}"
            )
        sets.append((names, {values: route}))
        sets.sort(key=lambda item: (-len(item[0]), item[0]))

    def find(self, request: RouteRequest) -> Route | NoRoute:
        """The route of a request, or the status to refuse it with."""
        host, host_known = request.target.host, bool(self.any_host)
        prefixes = tuple(_prefixes(request.target.path))
        for paths in self._hosts(host):
            host_known = True
            for prefix in prefixes:
                leaf = paths.get(prefix)
                if leaf is not None and (route := _match(leaf, request)) is not None:
                    return route
        if host_known:
            return NoRoute(NO_ROUTE, f"no route on host {host} takes this path, method, class and headers")
        return NoRoute(UNKNOWN_HOST, f"no service answers for host {host}")

    def _hosts(self, host: str) -> Iterator[dict[str, Leaf]]:
        """The routes of each matching host pattern, the most specific first."""
        if (paths := self.exact_hosts.get(host)) is not None:
            yield paths
        if self.host_suffixes:
            _, dot, rest = host.partition(".")
            while dot:
                if (paths := self.host_suffixes.get(rest)) is not None:
                    yield paths
                _, dot, rest = rest.partition(".")
        if self.any_host:
            yield self.any_host


def _prefixes(path: str) -> Iterator[str]:
    """A path's prefixes at segment boundaries, the longest first; the last is empty."""
    path = path.rstrip("/")
    while path:
        yield path
        path = path[: path.rindex("/")]
    yield ""


def _match(leaf: Leaf, request: RouteRequest) -> Route | None:
    for key in ((request.method, request.cls), (request.method, ""), ("", request.cls), ("", "")):
        for names, by_values in leaf.get(key, ()):
            values = tuple(request.headers.get(name, "") for name in names)
            if (route := by_values.get(values)) is not None:
                return route
    return None
