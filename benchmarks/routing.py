"""What a look-up costs with 10 to 10,000 routes, as nanoseconds for one request.

python benchmarks/routing.py
"""

from __future__ import annotations

import random
import statistics
import time

from millgw.routing.table import Route, RouteRequest, Table
from millgw.routing.target import Target, read_target

LOOKUPS = 20_000
RUNS = 7


def routes(count: int) -> list[Route]:
    """A mix of exact and suffix hosts, paths of one to three segments, classes and header values."""
    made = [Route("any")]
    for i in range(count - 1):
        kind = i % 4
        if kind == 0:
            made.append(Route("s", f"h{i}.example.org", "/api"))
        elif kind == 1:
            made.append(Route("s", f"*.t{i}.example.org", f"/api/v{i % 7}"))
        elif kind == 2:
            made.append(Route("s", "shared.example.org", f"/api/p{i}/x", cls="codigo-acesso"))
        else:
            made.append(Route("s", "shared.example.org", "/api", headers=(("x-customer", f"c{i}"),)))
    return made


def requests(count: int, rng: random.Random) -> list[RouteRequest]:
    some = []
    for _ in range(LOOKUPS):
        i = rng.randrange(max(1, count - 1))
        host = (f"h{i}.example.org", f"a.t{i}.example.org", "shared.example.org", "shared.example.org")[i % 4]
        path = ("/api", f"/api/v{i % 7}/q", f"/api/p{i}/x", "/api")[i % 4]
        some.append(RouteRequest(Target(host, path), "POST", "codigo-acesso", {"x-customer": f"c{i}"}))
    return some


def cost(table: Table, some: list[RouteRequest]) -> float:
    find = table.find
    begun = time.perf_counter_ns()
    for asked in some:
        find(asked)
    return (time.perf_counter_ns() - begun) / len(some)


def main() -> None:
    print("| routes | look-up, median of runs | compile |")
    print("| --- | --- | --- |")
    for count in (10, 100, 1000, 10_000):
        given = routes(count)
        begun = time.perf_counter()
        table = Table(given)
        built = (time.perf_counter() - begun) * 1000
        some = requests(count, random.Random(1))
        runs = [cost(table, some) for _ in range(RUNS)]
        print(f"| {count:,} | {statistics.median(runs):.0f} ns | {built:.1f} ms |")
    begun = time.perf_counter_ns()
    for _ in range(LOOKUPS):
        read_target(b"/api?k=7f3a9c21e0b4d655", (b"login.example.org",))
    print(f"\nmaking a target plain: {(time.perf_counter_ns() - begun) / LOOKUPS:.0f} ns")


if __name__ == "__main__":
    main()
