"""The table of routes: of all that match a request, the most specific one. Pure, compiled once.

The order, total and independent of how routes were written down. Of two that match, the one wins that first
has
1. the more specific host: exact, then the longer `*.` suffix, then any;
2. the longer path prefix, in segments;
3. a method, where the other has none;
4. a class, where the other has none;
5. more headers; with as many, the first by the sorted names and then values.

Looking a request up costs a dictionary look-up for each label of its host and segment of its path at the
most, and for each *set of header names* on one host and path (at most MOST_SETS): never one for each route.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from millgw.routing.target import BadTarget, Target, read_host, read_path

MOST_SETS = 8  # sets of header names on one host, path, method and class
UNKNOWN_HOST, NO_ROUTE = 421, 404  # RFC 9110 sections 15.5.20 and 15.5.5


class RouteError(ValueError):
    """A route that can't stand in a table; `index` is its place among those given."""

    def __init__(self, index: int, what: str) -> None:
        super().__init__(what)
        self.index = index


@dataclass(slots=True, frozen=True)
class Route:
    """What a request must be like; empty is anything. `headers` are names in lower case with whole values."""

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
class Asked:
    """A request as far as routes look at it."""

    target: Target
    method: str = ""
    cls: str = ""
    headers: Mapping[str, str] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class NoRoute:
    """No route matches: 421 where none names the host, else 404."""

    status: int
    why: str


Leaf = dict[tuple[str, str], list[tuple[tuple[str, ...], dict[tuple[str, ...], Route]]]]
"""By method and class: sets of header names in their order, each with the routes by values."""


def plain(route: Route, index: int) -> Route:
    """The route with host and path as requests have them; a RouteError tells what no request could meet."""
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
    """All routes, ready for look-ups."""

    def __init__(self, routes: Sequence[Route]) -> None:
        self.exact: dict[str, dict[str, Leaf]] = {}
        self.suffix: dict[str, dict[str, Leaf]] = {}
        self.any: dict[str, Leaf] = {}
        self.routes: list[Route] = []
        seen: dict[Route, int] = {}
        for index, given in enumerate(routes):
            route = plain(given, index)
            same = Route("", route.host, route.path, route.method, route.cls, route.headers)
            if same in seen:
                raise RouteError(index, f"can't be told apart from routes[{seen[same]}]: {route}")
            seen[same] = index
            self.routes.append(route)
            self._add(index, route)

    def _add(self, index: int, route: Route) -> None:
        if route.host.startswith("*."):
            paths = self.suffix.setdefault(route.host[2:], {})
        else:
            paths = self.exact.setdefault(route.host, {}) if route.host else self.any
        sets = paths.setdefault(route.path, {}).setdefault((route.method, route.cls), [])
        names = tuple(name for name, _ in route.headers)
        values = tuple(value for _, value in route.headers)
        for known, by_values in sets:
            if known == names:
                by_values[values] = route
                return
        if len(sets) == MOST_SETS:
            raise RouteError(
                index, f"headers: more than {MOST_SETS} sets of names on {route.host}{route.path}"
            )
        sets.append((names, {values: route}))
        sets.sort(key=lambda item: (-len(item[0]), item[0]))

    def find(self, asked: Asked) -> Route | NoRoute:
        """The one route of a request, or what it is refused with."""
        host, known = asked.target.host, bool(self.any)
        prefixes = tuple(_prefixes(asked.target.path))
        for paths in self._hosts(host):
            known = True
            for prefix in prefixes:
                leaf = paths.get(prefix)
                if leaf is not None and (route := _match(leaf, asked)) is not None:
                    return route
        if known:
            return NoRoute(NO_ROUTE, f"no route on host {host} takes this path, method, class and headers")
        return NoRoute(UNKNOWN_HOST, f"no service answers for host {host}")

    def _hosts(self, host: str) -> Iterator[dict[str, Leaf]]:
        """The routes of each host pattern that matches, the most specific first."""
        if (paths := self.exact.get(host)) is not None:
            yield paths
        if self.suffix:
            _, dot, rest = host.partition(".")
            while dot:
                if (paths := self.suffix.get(rest)) is not None:
                    yield paths
                _, dot, rest = rest.partition(".")
        if self.any:
            yield self.any


def _prefixes(path: str) -> Iterator[str]:
    """A path's prefixes on segment borders, the longest first; the last is the empty one."""
    path = path.rstrip("/")
    while path:
        yield path
        path = path[: path.rindex("/")]
    yield ""


def _match(leaf: Leaf, asked: Asked) -> Route | None:
    for key in ((asked.method, asked.cls), (asked.method, ""), ("", asked.cls), ("", "")):
        for names, by_values in leaf.get(key, ()):
            values = tuple(asked.headers.get(name, "") for name in names)
            if (route := by_values.get(values)) is not None:
                return route
    return None
