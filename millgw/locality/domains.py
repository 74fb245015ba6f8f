"""Zones and regions as failure domains: which are lost, and whether it is this sidecar that is cut off. Pure.

A zone is lost when several of its endpoints leave attempts without an answer and nothing at all has come
from the zone since these were sent. An attempt counts before its deadline, once it has waited for several
times the usual; one answer of any kind, also an error, is proof that the zone is there. So a zone that fails
or loses some of its calls is not lost (`millgw.locality.health` leans away from it), and one that has become
slow all at once is back with its next answer.

When nothing has come from any other zone since the first one fell silent, it is this sidecar that is cut off:
the others are not held to have restarted, and all count again with the first answer from each.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from enum import Enum

from millgw.interface import Outcome
from millgw.locality.places import Places

STALL_MULTIPLE = 4.0  # times the usual answer, after which an attempt counts as stalled
STALL_LEAST = 200.0  # ms, the least of that: a busy loop or a resent segment is no loss
LOST_ENDPOINTS = 3  # endpoints that must be silent, or all where a zone has fewer
LOST_ATTEMPTS = 3  # attempts that must be silent, on however many endpoints
KNOWN_FOR = 30_000.0  # ms for which an answer counts as knowledge of a zone
PROBE = 2000.0  # ms between two tries of a zone that is lost, jittered; one at a time
PROBE_MOST = 16_000.0  # ms, the most of that: it doubles with each loss of a zone that flaps
STEADY_AFTER = 60_000.0  # ms of serving after which earlier losses are forgotten
SUSPECT_FOR = 5000.0  # ms for which a zone is avoided after an attempt there was not answered
PROBE_BY_ANY = 3.0  # intervals after which a call that may not be repeated is a probe too

ANSWERED = frozenset({Outcome.OK, Outcome.ERROR, Outcome.REJECTED})
UNREACHED = frozenset({Outcome.TIMEOUT, Outcome.CONNECT_FAILED})

AttemptKey = tuple[int, int]
"""A request and the number of its attempt."""


class Standing(Enum):
    """What a zone is held to be."""

    SERVING = "serving"
    LOST = "lost"  # its endpoints are gone, and count as cold once they answer again
    CUT_OFF = "cut off"  # this sidecar can't reach it, and no other zone either


@dataclass(slots=True, frozen=True)
class Waiting:
    """An attempt without an answer yet."""

    sent: float
    endpoint: int
    stalls_at: float


class Domain:
    """One zone's evidence and standing."""

    __slots__ = (
        "endpoints", "failures", "heard_at", "losses", "probe_at", "since", "standing", "suspect_until",
        "unreached", "waiting",
    )  # fmt: skip

    def __init__(self) -> None:
        self.endpoints = 0  # in the list
        self.waiting: dict[AttemptKey, Waiting] = {}
        self.unreached: set[int] = set()  # endpoints that have left attempts unanswered since `heard_at`
        self.failures = 0  # these attempts
        self.heard_at = -math.inf
        self.suspect_until = -math.inf
        self.standing = Standing.SERVING
        self.since = -math.inf  # of the standing
        self.losses = 0
        self.probe_at = math.inf

    def silent(self, now: float) -> bool:
        """Whether so many endpoints are silent, with nothing from the zone since, that it must be gone.

        Fewer make it suspect.
        """
        stalled = [w for w in self.waiting.values() if w.sent >= self.heard_at and now >= w.stalls_at]
        if stalled:
            self.suspect_until = max(self.suspect_until, stalled[-1].stalls_at + SUSPECT_FOR)
        if self.failures + len(stalled) < LOST_ATTEMPTS:
            return False
        endpoints = self.unreached.union(w.endpoint for w in stalled)
        return len(endpoints) >= min(LOST_ENDPOINTS, max(1, self.endpoints))

    def tried(self) -> bool:
        """Whether an attempt that was sent since its last change of standing waits for its answer."""
        return any(w.sent >= self.since for w in self.waiting.values())

    def known(self, now: float) -> bool:
        """Whether there is evidence of it, for or against."""
        return self.standing is not Standing.SERVING or now < self.heard_at + KNOWN_FOR


class Domains:
    """All zones that are listed."""

    def __init__(self, places: Places, seed: int) -> None:
        self.places = places
        self.rng = random.Random(seed)
        self.zones: dict[int, Domain] = {}
        self.untold: list[int] = []  # zones that were lost since this was last asked

    def listed(self, counts: dict[int, int]) -> None:
        """The endpoints of each zone; a zone that is not named is forgotten."""
        for zone in [z for z in self.zones if z not in counts]:
            del self.zones[zone]
        for zone, count in counts.items():
            self.zones.setdefault(zone, Domain()).endpoints = count

    def standing(self, zone: int) -> Standing:
        """What a zone is held to be."""
        domain = self.zones.get(zone)
        return Standing.SERVING if domain is None else domain.standing

    def suspect(self, now: float, zone: int) -> bool:
        """Whether an attempt there was not answered of late, and nothing has come since."""
        domain = self.zones.get(zone)
        return domain is not None and now < domain.suspect_until

    def sent(self, now: float, key: AttemptKey, zone: int, endpoint: int, usual: float) -> None:
        """An attempt has been sent; `usual` is the ms that such a call takes."""
        domain = self.zones.get(zone)
        if domain is not None:
            stalls_at = now + max(STALL_LEAST, STALL_MULTIPLE * usual)
            domain.waiting[key] = Waiting(now, endpoint, stalls_at)

    def ended(self, now: float, key: AttemptKey, zone: int, outcome: Outcome) -> bool:
        """An attempt has ended; tells whether a zone that was lost has come back with it."""
        domain = self.zones.get(zone)
        waiting = None if domain is None else domain.waiting.pop(key, None)
        if domain is None or waiting is None:
            return False
        if outcome in ANSWERED:
            return self._heard(now, domain, waiting.sent)
        # A caller that leaves tells nothing of the endpoint, unless the attempt was overdue by then.
        overdue = outcome is Outcome.CANCELLED and now >= waiting.stalls_at
        if (overdue or outcome in UNREACHED) and waiting.sent >= domain.heard_at:
            domain.unreached.add(waiting.endpoint)
            domain.failures += 1
            domain.suspect_until = now + SUSPECT_FOR
        return False

    def _heard(self, now: float, domain: Domain, sent: float) -> bool:
        domain.heard_at = now
        domain.suspect_until = -math.inf
        domain.unreached.clear()
        domain.failures = 0
        before, since = domain.standing, domain.since
        if before is Standing.SERVING:
            return False
        domain.standing, domain.since, domain.probe_at = Standing.SERVING, now, math.inf
        if before is Standing.CUT_OFF:
            for other in self.zones.values():
                if other.standing is Standing.CUT_OFF:
                    other.probe_at = now
            return False
        # The answer to an attempt from before the loss shows that the zone was slow, and never gone.
        return sent >= since

    def check(self, now: float) -> bool:
        """Pass judgement by what has come or not come by now; tells whether a zone's standing has changed."""
        lost = [d for d in self.zones.values() if d.standing is Standing.SERVING and d.silent(now)]
        if not lost:
            return False
        serving = [z for z, d in self.zones.items() if d.standing is Standing.SERVING]
        for domain in lost:
            self._lose(now, domain)
        self._lose_regions(now)
        self._cut_off(now)
        self.untold += [z for z in serving if self.zones[z].standing is not Standing.SERVING]
        return True

    def newly_lost(self) -> list[int]:
        """The zones that were lost since this was last asked."""
        untold, self.untold = self.untold, []
        return untold

    def _lose(self, now: float, domain: Domain) -> None:
        if now >= domain.since + STEADY_AFTER:
            domain.losses = 0
        domain.losses += 1
        domain.standing, domain.since = Standing.LOST, now
        domain.probe_at = now + self._probe_wait(domain)

    def _lose_regions(self, now: float) -> None:
        """Of a region all of whose known zones are lost, two at the least, the others are lost as well."""
        own = self.places.region(self.places.zone)
        regions: dict[int, list[Domain]] = {}
        for zone, domain in self.zones.items():
            regions.setdefault(self.places.region(zone), []).append(domain)
        for region, domains in regions.items():
            lost = [d for d in domains if d.standing is Standing.LOST]
            unknown = [d for d in domains if not d.known(now)]
            if region != own and len(lost) >= 2 and len(lost) + len(unknown) == len(domains):
                for domain in unknown:
                    self._lose(now, domain)

    def _cut_off(self, now: float) -> None:
        """Tell this sidecar's own isolation from the loss of all others.

        Two zones or more are not reached, none of the others that are known is, and none has answered since
        the first of them fell silent.
        """
        others = [d for zone, d in self.zones.items() if zone != self.places.zone and d.known(now)]
        lost = [d for d in others if d.standing is Standing.LOST]
        if len(lost) < 2 or len(lost) < len(others):
            return
        first = min(d.since for d in lost)
        if any(d.heard_at > first for d in lost):
            return
        for domain in self.zones.values():
            if domain.standing is Standing.LOST:
                domain.standing = Standing.CUT_OFF

    def probes(self, now: float, repeatable: bool) -> int | None:
        """A zone that is not reached and is to be tried again now, by a call that may be repeated at best."""
        for zone, domain in self.zones.items():
            if domain.standing is Standing.SERVING or domain.tried():
                continue
            late = 0.0 if repeatable else PROBE_BY_ANY * PROBE
            if now >= domain.probe_at + late:
                domain.probe_at = now + self._probe_wait(domain)
                return zone
        return None

    def _probe_wait(self, domain: Domain) -> float:
        wait = min(PROBE_MOST, PROBE * 2.0 ** (domain.losses - 1))
        return wait * (0.5 + self.rng.random())
