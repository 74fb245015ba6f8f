"""Converts a balancer's endpoint evidence to observations for peers, and priors to peer reports. Pure.

Peers identify an endpoint by its id in hexadecimal, which is the same in every sidecar.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from statistics import median

from millgw.interface import Endpoint, EndpointEvidence, PeerReports
from millgw.peers.observations import MIN_ORIGINS_FOR_MEDIAN, Observation, Prior

DRAIN_VALID_FOR_MS = 2000.0  # validity of a reported drain; it is reported again as long as the prior says so
MAX_REPORTED_CALLS = 1_000_000  # upper limit of `calls` in an observation


def endpoint_key(id: int) -> str:
    return f"{id:016x}"


def start_times_by_key(endpoints: Iterable[Endpoint]) -> dict[str, float]:
    """The start time from discovery (Unix ms) by endpoint key."""
    return {endpoint_key(e.id): float(round(e.started_at)) for e in endpoints}


def observations(
    now: float,
    evidence: Iterable[EndpointEvidence],
    start_times: Mapping[str, float],
    draining: Iterable[int],
) -> list[Observation]:
    """A pool's own observations, with `now` on the balancer's clock. `Gossip` sets origin, number and age."""
    observed = [
        Observation(
            endpoint_key(t.id), "", 0.0, 0, start_times.get(endpoint_key(t.id), 0.0),
            failure_rate=min(1.0, max(0.0, t.failure_rate)), latency_ratio=max(0.001, t.latency_ratio),
            calls=min(MAX_REPORTED_CALLS, int(t.calls)),
            uptime=max(0.0, now - t.started_at) if t.started_at > 0 else None,
        )
        for t in evidence
    ]  # fmt: skip
    names = {endpoint_key(id) for id in draining}
    drains = [
        Observation(name, "", 0.0, started_at=start_times.get(name, 0.0), draining=True) for name in names
    ]
    return [o for o in observed if o.endpoint not in names] + drains


def peer_reports(
    now: float, priors: Mapping[str, Prior], cold_time: float, siblings: int, limits: Sequence[float] = ()
) -> PeerReports:
    """The peer reports for the balancer; endpoints without anything unusual are left out."""
    reports = tuple(
        EndpointEvidence(
            int(name, 16), p.failure_rate, p.latency_ratio, p.calls,
            now - p.uptime if p.uptime is not None and p.uptime < cold_time else 0.0,
            DRAIN_VALID_FOR_MS if p.draining else 0.0,
        )
        for name, p in priors.items()
        if p.draining
        or p.failure_rate > 0
        or p.latency_ratio > 1
        or (p.uptime is not None and p.uptime < cold_time)
    )  # fmt: skip
    return PeerReports(reports, siblings, combined_limit(limits))


def combined_limit(limits: Sequence[float]) -> float:
    """The median of three or more peers' limits, the lowest of fewer, infinity without any."""
    usable = [value for value in limits if value >= 1]
    if len(usable) >= MIN_ORIGINS_FOR_MEDIAN:
        return float(median(usable))
    return min(usable, default=float("inf"))
