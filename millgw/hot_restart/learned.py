"""Exports a balancer's learned state as numbers, and restores it in the successor process."""

from __future__ import annotations

import math

from millgw.decide import BUDGET_CAPACITY, MAX_SHED_LEVEL, PAIR_SHARE, Balancer

SERVER_FIELDS = (
    "failure_rate", "own_slowness", "slowness_at", "ejected_until", "served_calls", "served_at",
    "cold_allowance", "cold_allowance_at", "reachable_again_at",
)  # fmt: skip
"""Exported per endpoint, followed by when discovery was last heard from, and by `missed`, a count."""
SERVER_ROW_LENGTH = len(SERVER_FIELDS) + 2

LIMIT_FIELDS = (
    "per_endpoint", "usual_in_flight", "median_latency", "slow_median", "response_weight", "base_latency",
    "next_cut_at", "last_response_at", "responses",
)  # fmt: skip
"""Exported state of the limit on calls in flight; the last field is a count."""

Learned = dict[str, object]


def export_learned(balancer: Balancer) -> Learned:
    """Export the learned state. Retry tokens and allowances are split: this balancer keeps half of them."""
    balancer.budget.tokens *= PAIR_SHARE
    for server in balancer.ring:
        server.cold_allowance *= PAIR_SHARE
    limit = balancer.admission
    return {
        "servers": {
            str(s.info.id): [
                *(max(-1.0, float(getattr(s, name))) for name in SERVER_FIELDS),
                max(-1.0, balancer.discovery.heard_at),
                s.connect_failures,
            ]
            for s in balancer.ring
        },
        "limit": [] if limit is None else [float(getattr(limit, name)) for name in LIMIT_FIELDS],
        "times": [
            [*row]
            for row in zip(balancer.low_latency, balancer.mean_latency, balancer.responses, strict=True)
        ],
        "tokens": balancer.budget.tokens,
        "cold_rate": balancer.cold.rate,
        "shed": balancer.shedding.level,
    }


def adopt_learned(balancer: Balancer, learned: Learned) -> None:
    """Restore what the predecessor exported, for the endpoints that are listed here.

    Raises ValueError if it can't be read; nothing is restored then.
    """
    try:
        rows, limit, times = learned["servers"], learned["limit"], learned["times"]
        if not (isinstance(rows, dict) and isinstance(limit, list) and isinstance(times, list)):
            raise TypeError("servers, limit or times is of the wrong type")
        servers = {int(id): _read_numbers(row, SERVER_ROW_LENGTH) for id, row in rows.items()}
        limits = _read_numbers(limit, len(LIMIT_FIELDS)) if limit else []
        quick = [_read_numbers(row, 3) for row in times]
        tokens, rate, shed = _read_numbers([learned[k] for k in ("tokens", "cold_rate", "shed")], 3)
        if len(quick) != len(balancer.low_latency):
            raise ValueError("number of request classes differs")
    except (LookupError, TypeError, ValueError) as error:
        raise ValueError(f"learned state can't be read: {error}") from None
    _adopt_servers(balancer, servers)
    if balancer.admission is not None and limits:
        for name, value in zip(LIMIT_FIELDS[:-1], limits, strict=False):
            setattr(balancer.admission, name, value)
        balancer.admission.responses = int(limits[-1])
    for cls, (least, mean, answered) in enumerate(quick):
        balancer.low_latency[cls], balancer.mean_latency[cls], balancer.responses[cls] = (
            least,
            mean,
            int(answered),
        )
    balancer.budget.tokens = min(BUDGET_CAPACITY, max(0.0, tokens))
    balancer.cold.rate = rate
    balancer.shedding.level = min(MAX_SHED_LEVEL, max(0.0, shed))


def _adopt_servers(balancer: Balancer, rows: dict[int, list[float]]) -> None:
    for id, row in rows.items():
        server = balancer.servers.get(id)
        if server is not None:
            for name, value in zip(SERVER_FIELDS, row, strict=False):
                setattr(server, name, value)
            *_, heard_at, missed = row
            server.connect_failures = int(missed)
            balancer.discovery.adopt(heard_at)


def _read_numbers(row: object, count: int) -> list[float]:
    """Exactly `count` finite numbers; raises ValueError or TypeError otherwise."""
    if not isinstance(row, list) or len(row) != count:
        raise ValueError("not a list of the expected length")
    numbers = [float(value) for value in row]
    if not all(math.isfinite(number) for number in numbers):
        raise ValueError("a number is not finite")
    return numbers
