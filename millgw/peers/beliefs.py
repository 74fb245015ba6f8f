"""What peers tell of endpoints, weighed: priors that can add care and never take any away. Pure.

An observation carries who made it, its number there and its age; whoever passes it on adds the time that it
lay there, so what comes back is never fresher than it was. Ages are ms by each one's own monotonic clock, so
clocks need not agree; the time on the way is not counted. Endpoints are named by their identity; `since` is
their start as discovery tells it to all, by which two processes of one name are told apart.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from statistics import median

HALF_LIFE = 5000.0  # ms after which an observation counts half: as long as a sidecar remembers its own
GONE = 60_000.0  # ms after which it is forgotten
MOST_CALLS = 5.0  # own calls that a prior weighs at the most: the last five decide of an endpoint
ILL = 0.4  # share of calls failing from which hearsay calls an endpoint ill
ILL_MOST = 1 / 3  # of all endpoints: when more are called ill, the trouble is not theirs
DRAINS_MOST = 1 / 2  # of all endpoints that a minority's word alone may take out
MIDDLE_OF = 3  # origins from which on the middle one counts
MOST_ORIGINS = 16  # of which observations of one endpoint are kept
MOST_ENDPOINTS = 8192  # guards against memory that fills with endpoints that somebody makes up


@dataclass(slots=True, frozen=True)
class Observation:
    """What `origin` saw of an endpoint, `age` ms ago. `up` is ms since the endpoint's start, None: unknown.

    `failing` is a share of calls, `slow` times the usual, of so many `calls`. An origin's later observations
    have higher numbers, over its restarts too.
    """

    endpoint: str
    origin: str
    age: float
    number: int = 0
    since: float = 0.0
    failing: float = 0.0
    slow: float = 1.0
    calls: int = 0
    up: float | None = None
    draining: bool = False

    @property
    def usable(self) -> bool:
        """Whether its figures can be: a peer may tell anything."""
        return (
            0 <= self.age < GONE
            and 0 <= self.number < 1 << 63
            and 0 <= self.since < 1e15
            and 0 <= self.failing <= 1
            and 0 < self.slow < 1e6
            and 0 <= self.calls < 1e9
            and (self.up is None or 0 <= self.up < 1e13)
        )


@dataclass(slots=True, frozen=True)
class Prior:
    """What to hold of an endpoint before own calls tell. `calls` is what the share weighs in own calls.

    `up`: ms since its start at the most, None where nobody saw it start lately. `slow` is 1 or more.
    """

    failing: float = 0.0
    slow: float = 1.0
    calls: float = 0.0
    up: float | None = None
    draining: bool = False


def weight(age: float) -> float:
    """What an observation of this age counts, of 1."""
    return 0.0 if age >= GONE else 0.5 ** (age / HALF_LIFE)


class Beliefs:
    """Observations by endpoint and origin, the newest of each."""

    def __init__(self) -> None:
        self.known: dict[str, dict[str, tuple[float, Observation]]] = {}

    def take(self, now: float, told: Iterable[Observation]) -> list[Observation]:
        """Take what one peer told; what is older than what is known of the same origin is not taken.

        Returns what was new.
        """
        return [observation for observation in told if observation.usable and self._take(now, observation)]

    def _take(self, now: float, observation: Observation) -> bool:
        seen_at = now - observation.age
        origins = self.known.get(observation.endpoint, {})
        known = origins.get(observation.origin)
        if known is not None:
            if known[1].number == observation.number and seen_at < known[0]:
                origins[observation.origin] = (seen_at, known[1])  # it came by a longer way first
            if known[1].number >= observation.number:
                return False
        elif len(origins) >= MOST_ORIGINS:
            oldest = min(origins, key=lambda o: origins[o][0])
            if origins[oldest][0] >= seen_at:
                return False
            del origins[oldest]
        elif not origins and len(self.known) >= MOST_ENDPOINTS:
            return False
        self.known.setdefault(observation.endpoint, {})[observation.origin] = (seen_at, observation)
        return True

    def tell(self, now: float) -> list[Observation]:
        """All that is known, as it is to be passed on: each as old as it is."""
        self._forget(now)
        return [self._aged(now, *pair) for origins in self.known.values() for pair in origins.values()]

    def of(self, now: float, endpoint: str, origin: str) -> Observation | None:
        """An origin's last word on an endpoint, as old as it is."""
        known = self.known.get(endpoint, {}).get(origin)
        if known is None or now - known[0] >= GONE:
            return None
        return self._aged(now, *known)

    def told(self, now: float, name: str, since: float, within: float = GONE) -> list[Observation]:
        """What is known of an endpoint's process, and of a later one, from within so many ms."""
        known = self.known.get(name, {}).values()
        return [
            self._aged(now, seen_at, o) for seen_at, o in known if o.since >= since and now - seen_at < within
        ]

    def priors(
        self, now: float, listed: Mapping[str, float], young: float, without: str = "", of: int = 0
    ) -> dict[str, Prior]:
        """What to hold of the endpoints of a list, by name the start that it tells of each.

        One that has been up for less than `young` ms is cold. `without` names an origin that does not count.
        `of` is how many are on the list, where only those are given that something is known of.
        """
        whole = max(of, len(listed))
        self._forget(now)
        told = {
            name: [o for o in self.told(now, name, since) if o.origin != without]
            for name, since in listed.items()
            if name in self.known
        }
        found = {name: self._prior(observations) for name, observations in told.items() if observations}
        ill = sum(p.failing * min(1.0, p.calls) >= ILL for p in found.values())
        if ill > ILL_MOST * whole:
            found = {name: replace(p, failing=0.0, slow=1.0, calls=0.0) for name, p in found.items()}
        for name in self._few(told, DRAINS_MOST * whole, lambda o: o.draining):
            found[name] = replace(found[name], draining=False)
        for name in self._few(told, ILL_MOST * whole, lambda o: o.up is not None and o.up < young):
            found[name] = replace(found[name], up=None)
        return found

    @staticmethod
    def _few(
        told: Mapping[str, list[Observation]], most: float, says: Callable[[Observation], bool]
    ) -> list[str]:
        """Guards against a few who say it of everything: a majority may, they may not."""
        origins = {o.origin for observations in told.values() for o in observations}
        counts = {name: sum(map(says, observations)) for name, observations in told.items()}
        few = [name for name, count in counts.items() if 0 < 2 * count < len(origins)]
        return few if len(few) >= most else []

    @staticmethod
    def _prior(observations: list[Observation]) -> Prior:
        ups = [o.up for o in observations if o.up is not None]
        return Prior(
            failing=_careful([o.failing for o in observations]),
            slow=_careful([max(1.0, o.slow) for o in observations]),
            calls=_careful([min(MOST_CALLS, o.calls) * weight(o.age) for o in observations]),
            up=None if not ups else -_careful([-up for up in ups]),
            draining=any(o.draining for o in observations),
        )

    @staticmethod
    def _aged(now: float, seen_at: float, o: Observation) -> Observation:
        age = max(o.age, now - seen_at)
        return replace(o, age=age, up=None if o.up is None else o.up + age - o.age)

    def _forget(self, now: float) -> None:
        for name, origins in list(self.known.items()):
            for origin in [o for o, (seen_at, _) in origins.items() if now - seen_at >= GONE]:
                del origins[origin]
            if not origins:
                del self.known[name]


def _careful(values: list[float]) -> float:
    """The middle one of several, the largest of few."""
    return float(median(values)) if len(values) >= MIDDLE_OF else max(values)
