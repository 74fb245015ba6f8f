"""Combines the observations of peers into a prior per endpoint, which only makes the balancer more careful.

Pure, without I/O. An observation contains its origin, the origin's sequence number and its age. Each peer
that relays it adds the time for which it was stored there, so an observation that returns is never younger
than it was. Ages are ms measured on each peer's own monotonic clock, so clocks need not agree; network delay
is not counted. Endpoints are identified by their id; `started_at` is the start time that discovery reports to
all sidecars, which distinguishes two processes with the same id.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from statistics import median

HALF_LIFE_MS = 5000.0  # an observation of this age counts half; the same half-life as for own calls
FORGET_AFTER_MS = 60_000.0  # an observation is dropped at this age
MAX_PRIOR_CALLS = 5.0  # most own calls that a prior weighs as much as; the last five decide on an endpoint
FAILURE_RATE_THRESHOLD = 0.4  # failed share of calls from which peer reports mark an endpoint unhealthy
MAX_UNHEALTHY_SHARE = 1 / 3  # of all endpoints; if more are reported unhealthy, they are not the cause
MAX_MINORITY_DRAIN_SHARE = 1 / 2  # of all endpoints that a minority of origins may report as draining
MIN_ORIGINS_FOR_MEDIAN = 3  # with this many origins or more the median is used
MAX_ORIGINS_PER_ENDPOINT = 16  # origins whose observations of one endpoint are kept
MAX_ENDPOINTS = 8192  # without a limit, a peer that invents endpoints would exhaust memory


@dataclass(slots=True, frozen=True)
class Observation:
    """What `origin` observed of an endpoint `age` ms ago.

    `failure_rate` is the failed share of its calls, `latency_ratio` its latency as a multiple of the normal
    one, both over `calls` calls. `started_at` is in Unix ms; `uptime` is ms since the endpoint's start, None
    if unknown. An origin's later observations have higher sequence numbers, also after it restarts.
    """

    endpoint: str
    origin: str
    age: float
    sequence: int = 0
    started_at: float = 0.0
    failure_rate: float = 0.0
    latency_ratio: float = 1.0
    calls: int = 0
    uptime: float | None = None
    draining: bool = False

    @property
    def valid(self) -> bool:
        """Whether all values are in range: a peer may send anything."""
        return (
            0 <= self.age < FORGET_AFTER_MS
            and 0 <= self.sequence < 1 << 63
            and 0 <= self.started_at < 1e15
            and 0 <= self.failure_rate <= 1
            and 0 < self.latency_ratio < 1e6
            and 0 <= self.calls < 1e9
            and (self.uptime is None or 0 <= self.uptime < 1e13)
        )


@dataclass(slots=True, frozen=True)
class Prior:
    """The assumption about an endpoint until own calls provide evidence.

    `calls` is the number of own calls that `failure_rate` weighs as much as. `latency_ratio` is at least 1.
    `uptime` is an upper bound in ms, None if no peer reported a recent start.
    """

    failure_rate: float = 0.0
    latency_ratio: float = 1.0
    calls: float = 0.0
    uptime: float | None = None
    draining: bool = False


def weight(age: float) -> float:
    """The weight of an observation of this age (ms), from 0 to 1."""
    return 0.0 if age >= FORGET_AFTER_MS else 0.5 ** (age / HALF_LIFE_MS)


class ObservationStore:
    """The newest observation for each endpoint and origin."""

    def __init__(self) -> None:
        self.by_endpoint: dict[str, dict[str, tuple[float, Observation]]] = {}

    def merge(self, now: float, observations: Iterable[Observation]) -> list[Observation]:
        """Store observations that a peer reported and return those that were new.

        Ignored are observations for which the same or a higher sequence number of the origin is stored.
        """
        return [
            observation
            for observation in observations
            if observation.valid and self._merge_one(now, observation)
        ]

    def _merge_one(self, now: float, observation: Observation) -> bool:
        seen_at = now - observation.age
        origins = self.by_endpoint.get(observation.endpoint, {})
        stored = origins.get(observation.origin)
        if stored is not None:
            if stored[1].sequence == observation.sequence and seen_at < stored[0]:
                # The stored copy arrived over a slower path and seemed younger than it was.
                origins[observation.origin] = (seen_at, stored[1])
            if stored[1].sequence >= observation.sequence:
                return False
        elif len(origins) >= MAX_ORIGINS_PER_ENDPOINT:
            oldest = min(origins, key=lambda o: origins[o][0])
            if origins[oldest][0] >= seen_at:
                return False
            del origins[oldest]
        elif not origins and len(self.by_endpoint) >= MAX_ENDPOINTS:
            return False
        self.by_endpoint.setdefault(observation.endpoint, {})[observation.origin] = (seen_at, observation)
        return True

    def all_current(self, now: float) -> list[Observation]:
        """All stored observations with their current ages, ready to be relayed."""
        self._expire(now)
        return [self._aged(now, *pair) for origins in self.by_endpoint.values() for pair in origins.values()]

    def latest(self, now: float, endpoint: str, origin: str) -> Observation | None:
        """An origin's latest observation of an endpoint, with its current age."""
        stored = self.by_endpoint.get(endpoint, {}).get(origin)
        if stored is None or now - stored[0] >= FORGET_AFTER_MS:
            return None
        return self._aged(now, *stored)

    def recent(
        self, now: float, endpoint: str, started_at: float, within: float = FORGET_AFTER_MS
    ) -> list[Observation]:
        """Observations from the last `within` ms of the process started at `started_at` or a later one."""
        stored = self.by_endpoint.get(endpoint, {}).values()
        return [
            self._aged(now, seen_at, o)
            for seen_at, o in stored
            if o.started_at >= started_at and now - seen_at < within
        ]

    def priors(
        self,
        now: float,
        start_times: Mapping[str, float],
        cold_time: float,
        excluded_origin: str = "",
        endpoint_count: int = 0,
    ) -> dict[str, Prior]:
        """The priors for the endpoints in `start_times`, a mapping of endpoint to start time from discovery.

        An endpoint with an uptime below `cold_time` ms is cold. Observations of `excluded_origin` are
        ignored. `endpoint_count` is the size of the whole endpoint list, if `start_times` contains only
        endpoints with observations.
        """
        total = max(endpoint_count, len(start_times))
        self._expire(now)
        reported = {
            name: [o for o in self.recent(now, name, started_at) if o.origin != excluded_origin]
            for name, started_at in start_times.items()
            if name in self.by_endpoint
        }
        priors = {
            name: self._combine(observations) for name, observations in reported.items() if observations
        }
        unhealthy = sum(p.failure_rate * min(1.0, p.calls) >= FAILURE_RATE_THRESHOLD for p in priors.values())
        if unhealthy > MAX_UNHEALTHY_SHARE * total:
            priors = {
                name: replace(p, failure_rate=0.0, latency_ratio=1.0, calls=0.0) for name, p in priors.items()
            }
        for name in self._suspect_minority_claims(
            reported, MAX_MINORITY_DRAIN_SHARE * total, lambda o: o.draining
        ):
            priors[name] = replace(priors[name], draining=False)
        for name in self._suspect_minority_claims(
            reported, MAX_UNHEALTHY_SHARE * total, lambda o: o.uptime is not None and o.uptime < cold_time
        ):
            priors[name] = replace(priors[name], uptime=None)
        return priors

    @staticmethod
    def _suspect_minority_claims(
        by_endpoint: Mapping[str, list[Observation]], limit: float, claims: Callable[[Observation], bool]
    ) -> list[str]:
        """Endpoints for which only a minority makes a claim, if there are at least `limit` of these.

        One or a few faulty origins that claim it of most endpoints are ignored; a majority is believed.
        """
        origins = {o.origin for observations in by_endpoint.values() for o in observations}
        counts = {name: sum(map(claims, observations)) for name, observations in by_endpoint.items()}
        minority = [name for name, count in counts.items() if 0 < 2 * count < len(origins)]
        return minority if len(minority) >= limit else []

    @staticmethod
    def _combine(observations: list[Observation]) -> Prior:
        uptimes = [o.uptime for o in observations if o.uptime is not None]
        return Prior(
            failure_rate=_cautious_estimate([o.failure_rate for o in observations]),
            latency_ratio=_cautious_estimate([max(1.0, o.latency_ratio) for o in observations]),
            calls=_cautious_estimate([min(MAX_PRIOR_CALLS, o.calls) * weight(o.age) for o in observations]),
            uptime=None if not uptimes else -_cautious_estimate([-uptime for uptime in uptimes]),
            draining=any(o.draining for o in observations),
        )

    @staticmethod
    def _aged(now: float, seen_at: float, o: Observation) -> Observation:
        age = max(o.age, now - seen_at)
        return replace(o, age=age, uptime=None if o.uptime is None else o.uptime + age - o.age)

    def _expire(self, now: float) -> None:
        for name, origins in list(self.by_endpoint.items()):
            for origin in [o for o, (seen_at, _) in origins.items() if now - seen_at >= FORGET_AFTER_MS]:
                del origins[origin]
            if not origins:
                del self.by_endpoint[name]


def _cautious_estimate(values: list[float]) -> float:
    """The median of enough values, otherwise the largest one."""
    return float(median(values)) if len(values) >= MIN_ORIGINS_FOR_MEDIAN else max(values)
