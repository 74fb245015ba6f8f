"""How much of the sidecars' parts of the list moves when one endpoint is replaced.

    python -m benchmarks.parts

A sidecar with few calls draws from the first endpoints of its ring. Each new one there costs it a handshake
and what it had learned of the one it leaves. Needed is what held the endpoint that went.
"""

from __future__ import annotations

import random

from millgw.decide import MIN_SUBSET_SIZE, Balancer
from millgw.interface import Condition, Endpoint, EndpointList, ListKind, Repeat, RequestClass, Settings

FLEETS = ((7, 10), (12, 20), (20, 20), (40, 60), (60, 20), (400, 60))  # sidecars, endpoints
TRIALS = 20
CLASSES = (RequestClass("call", deadline=3000.0, repeat=Repeat.SAFE, aim=1000.0),)


def moved(sidecars: int, endpoints: int, seed: int) -> float:
    """The share of all parts that is new after one endpoint was replaced."""
    rng = random.Random(seed)
    ids = [rng.getrandbits(63) for _ in range(endpoints + 1)]
    size = max(MIN_SUBSET_SIZE, -(-endpoints // sidecars))
    new = 0
    for me in range(sidecars):
        balancer = Balancer(Settings(CLASSES, 0.2, 10_000.0, 2.5, 1000.0, index=me, siblings=sidecars), 1)
        balancer.handle(0.0, EndpointList(ListKind.FULL, tuple(Endpoint(id) for id in ids[:-1])))
        before = {s.info.id for s in balancer.ring[:size]}
        change = (Endpoint(ids[0], Condition.GONE), Endpoint(ids[-1]))
        balancer.handle(1.0, EndpointList(ListKind.DELTA, change))
        new += len({s.info.id for s in balancer.ring[:size]} - before)
    return new / (sidecars * size)


def main() -> None:
    print("sidecars  endpoints  moved (mean, most)  needed")
    for sidecars, endpoints in FLEETS:
        shares = [moved(sidecars, endpoints, seed) for seed in range(TRIALS)]
        mean = sum(shares) / TRIALS
        print(f"{sidecars:8} {endpoints:10} {mean:11.3f} {max(shares):6.3f} {1 / endpoints:7.3f}")


if __name__ == "__main__":
    main()
