"""Between the module's words and the peers': a pool's evidence as observations, priors as hearsay. Pure.

Endpoints are named among peers by their number in hexadecimal, the same in every sidecar.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from statistics import median

from millgw.interface import Endpoint, EndpointEvidence, PeerReports
from millgw.peers.beliefs import MIDDLE_OF, Observation, Prior

DRAIN_HOLDS = 2000.0  # ms for which a drain that is told counts: it is told again while it is believed
MOST_COUNTED = 1_000_000  # calls that an observation tells of at the most


def key(id: int) -> str:
    return f"{id:016x}"


def listed(endpoints: Iterable[Endpoint]) -> dict[str, float]:
    """By name, the start that discovery tells of each."""
    return {key(e.id): float(round(e.started_at)) for e in endpoints}


def observations(
    now: float, evidence: Iterable[EndpointEvidence], since: Mapping[str, float], draining: Iterable[int]
) -> list[Observation]:
    """What a pool sees, `now` in the module's time. What is left to others: origin, number and age."""
    seen = [
        Observation(
            key(t.id), "", 0.0, 0, since.get(key(t.id), 0.0),
            failing=min(1.0, max(0.0, t.failure_rate)), slow=max(0.001, t.latency_ratio),
            calls=min(MOST_COUNTED, int(t.calls)),
            up=max(0.0, now - t.started_at) if t.started_at > 0 else None,
        )
        for t in evidence
    ]  # fmt: skip
    names = {key(id) for id in draining}
    drains = [Observation(name, "", 0.0, since=since.get(name, 0.0), draining=True) for name in names]
    return [o for o in seen if o.endpoint not in names] + drains


def hearsay(
    now: float, priors: Mapping[str, Prior], young: float, siblings: int, limits: Sequence[float] = ()
) -> PeerReports:
    """What the module is to be told: of what is ordinary, nothing."""
    told = tuple(
        EndpointEvidence(
            int(name, 16), p.failing, p.slow, p.calls,
            now - p.up if p.up is not None and p.up < young else 0.0,
            DRAIN_HOLDS if p.draining else 0.0,
        )
        for name, p in priors.items()
        if p.draining or p.failing > 0 or p.slow > 1 or (p.up is not None and p.up < young)
    )  # fmt: skip
    return PeerReports(told, siblings, limit(limits))


def limit(limits: Sequence[float]) -> float:
    """Of three peers' limits or more the middle one, of fewer the lowest; infinite for none."""
    usable = [value for value in limits if value >= 1]
    if len(usable) >= MIDDLE_OF:
        return float(median(usable))
    return min(usable, default=float("inf"))
