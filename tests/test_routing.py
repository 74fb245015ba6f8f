"""Routing: each request gets one route or one error, whatever the order of the routes in the file."""

from __future__ import annotations

import random
from collections.abc import Sequence

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from millgw.routing.table import NoRoute, Route, RouteError, RouteRequest, Table
from millgw.routing.target import BadTarget, Target, read_host, read_path, read_target

HOSTS = ("", "a.example", "b.a.example", "*.a.example", "*.example", "c.example")
PATHS = ("", "/api", "/api/v1", "/apiary", "/api/v1/x")
HEADERS = ((), (("x-a", "1"),), (("x-a", "2"),), (("x-b", "1"),), (("x-a", "1"), ("x-b", "1")))

routes = st.builds(
    Route,
    st.sampled_from(["one", "two", "three"]),
    st.sampled_from(HOSTS),
    st.sampled_from(PATHS),
    st.sampled_from(["", "GET", "POST"]),
    st.sampled_from(["", "login", "campaign"]),
    st.sampled_from(HEADERS),
)
asked = st.builds(
    RouteRequest,
    st.builds(
        Target,
        st.sampled_from(["a.example", "b.a.example", "d.b.a.example", "example", "c.example", "other"]),
        st.sampled_from(["/", "/api", "/api/", "/api/v1/x/y", "/apiary/v1", "/api/v11", "/x"]),
    ),
    st.sampled_from(["GET", "POST"]),
    st.sampled_from(["login", "campaign"]),
    st.dictionaries(st.sampled_from(["x-a", "x-b"]), st.sampled_from(["1", "2"])),
)


def matches(route: Route, request: RouteRequest) -> bool:
    """Whether a route matches, by a direct reading of the documented rules."""
    host, path = request.target.host, request.target.path.rstrip("/")
    if route.host.startswith("*.") and not host.endswith(route.host[1:]):
        return False
    if route.host and not route.host.startswith("*.") and route.host != host:
        return False
    if route.path and path != route.path and not path.startswith(route.path + "/"):
        return False
    if route.method not in ("", request.method) or route.cls not in ("", request.cls):
        return False
    return all(request.headers.get(name, "") == value for name, value in route.headers)


def rank(route: Route) -> tuple[object, ...]:
    """The sort key of a route in the documented order of precedence: the smallest wins."""
    host = 0 if route.host and not route.host.startswith("*.") else 1 if route.host else 2
    names = tuple(name for name, _ in route.headers)
    return (
        host, -route.host.count("."), -route.path.count("/"), not route.method, not route.cls,
        -len(route.headers), names, route.headers,
    )  # fmt: skip


def distinct(given: Sequence[Route]) -> list[Route]:
    seen: dict[object, Route] = {}
    for route in given:
        seen.setdefault((route.host, route.path, route.method, route.cls, route.headers), route)
    return list(seen.values())


@given(st.lists(routes, max_size=25), asked, st.integers(0, 1000))
@settings(max_examples=500, deadline=None)
def test_the_table_finds_the_documented_route_whatever_the_order(
    given: list[Route], request: RouteRequest, seed: int
) -> None:
    some = distinct(given)
    found = Table(some).find(request)
    random.Random(seed).shuffle(some)
    assert Table(some).find(request) == found
    among = sorted((r for r in some if matches(r, request)), key=rank)
    if among:
        assert found == among[0]
    else:
        assert isinstance(found, NoRoute)
        host_known = any(matches(Route("", r.host), request) for r in some)
        assert found.status == (404 if host_known else 421)


@given(st.lists(routes, min_size=1, max_size=10))
@settings(max_examples=100, deadline=None)
def test_routes_with_equal_conditions_are_refused(given: list[Route]) -> None:
    some = distinct(given)
    last = some[-1]
    equivalent = Route(
        "other", last.host.upper(), last.path + "/" if last.path else "", last.method, last.cls, last.headers
    )
    with pytest.raises(RouteError, match="told apart") as caught:
        Table([*some, equivalent])
    assert caught.value.index == len(some)


@pytest.mark.parametrize(
    ("route", "says"),
    [
        (Route("s", "a.example:80"), "host: a route's host has no port"),
        (Route("s", "*"), "host: "),
        (Route("s", "a..b"), "host: "),
        (Route("s", "ä.example"), "host: "),
        (Route("s", "", "/a/../b"), "path: the path has dot segments"),
        (Route("s", "", "/a//b"), "path: the path has empty segments"),
        (Route("s", "", "/ä"), "path: "),
    ],
)
def test_routes_that_no_request_could_match_are_refused(route: Route, says: str) -> None:
    with pytest.raises(RouteError) as caught:
        Table([route])
    assert says in str(caught.value)


def test_sets_of_header_names_are_bounded_and_values_are_not() -> None:
    many = [Route("s", headers=(("x-tenant", str(i)),)) for i in range(1000)]
    table = Table(many)
    assert table.find(RouteRequest(Target("h", "/"), headers={"x-tenant": "77"})) == many[77]
    with pytest.raises(RouteError, match="sets of names"):
        Table([Route("s", headers=((f"x-{i}", "1"),)) for i in range(9)])


# Targets


@pytest.mark.parametrize(
    ("target", "host", "path"),
    [
        (b"/api?k=1", b"Login.Example.ORG:8080", "/api"),
        (b"/%61pi/%7e%2a?x", b"login.example.org.", "/api/~%2A"),
        (b"http://login.example.org/api", b"login.example.org:80", "/api"),
        (b"HTTP://LOGIN.example.org:080", b"login.example.org", "/"),
        (b"/", b" login.example.org ", "/"),
        (b"/api/", b"login.example.org", "/api/"),
    ],
)
def test_equivalent_targets_are_normalised_alike(target: bytes, host: bytes, path: str) -> None:
    assert read_target(target, (host,)) == Target("login.example.org", path)


@pytest.mark.parametrize(
    ("target", "hosts"),
    [
        (b"/api", ()),
        (b"/api", (b"a", b"a")),
        (b"/api", (b"",)),
        (b"/api", (b"a b",)),
        (b"/api", (b"user@a",)),
        (b"/api", (b"a:99999",)),
        (b"/api", (b"a:",  b"b")),
        (b"/api", (b"a%2eb",)),
        (b"/api", (b"\xc3\xa4.example",)),
        (b"/api", (b"[::1",)),
        (b"/api", (b"[nonsense]",)),
        (b"/api", (b"[::1]x",)),
        (b"*", (b"a",)),
        (b"a:443", (b"a",)),
        (b"https://a/api", (b"a",)),
        (b"http://b/api", (b"a",)),
        (b"http://a:81/api", (b"a",)),
        (b"http://a?x", (b"a",)),
        (b"http://u@a/api", (b"a",)),
        (b"//a/api", (b"a",)),
        (b"/api//v1", (b"a",)),
        (b"/api/../admin", (b"a",)),
        (b"/api/%2e%2e/admin", (b"a",)),
        (b"/api/.", (b"a",)),
        (b"/api%2fadmin", (b"a",)),
        (b"/api%5cadmin", (b"a",)),
        (b"/api\\admin", (b"a",)),
        (b"/api%00", (b"a",)),
        (b"/api%", (b"a",)),
        (b"/api%4", (b"a",)),
        (b"/api%zz", (b"a",)),
        (b"/api#x", (b"a",)),
        (b"/api?x#y", (b"a",)),
        (b"/\xc3\xa4", (b"a",)),
        (b"/api x", (b"a",)),
        (b"/api;\x7f", (b"a",)),
    ],
)  # fmt: skip
def test_invalid_and_ambiguous_targets_are_refused(target: bytes, hosts: tuple[bytes, ...]) -> None:
    with pytest.raises(BadTarget) as caught:
        read_target(target, hosts)
    assert caught.value.status == 400


@given(st.binary(max_size=30))
@settings(max_examples=500, deadline=None)
def test_normalising_a_path_is_idempotent_and_leaves_unambiguous_segments(path: bytes) -> None:
    try:
        normal = read_path(b"/" + path)
    except BadTarget:
        return
    assert read_path(normal.encode()) == normal and normal.isascii()
    segments = normal.split("/")[1:]
    assert "" not in segments[:-1] and not {".", ".."} & set(segments)


@given(st.binary(max_size=30))
@settings(max_examples=300, deadline=None)
def test_normalising_a_host_is_idempotent(host: bytes) -> None:
    try:
        normal = read_host(host)
    except BadTarget:
        return
    assert read_host(normal.encode()) == normal == normal.lower() and "%" not in normal
