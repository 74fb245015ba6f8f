"""Failure detection for zones and regions, and for the isolation of this sidecar. Does no I/O.

A zone is lost when several of its endpoints leave attempts unanswered and no answer at all has come from the
zone since those were sent. An attempt counts as unanswered before its deadline, once it has waited for a
multiple of the usual latency. One answer of any kind, even an error, proves that the zone is reachable. So a
zone that fails or drops only some calls is not lost (`millgw.locality.health` sends it fewer calls), and a
zone that suddenly became slow is serving again with its next answer.

When no other zone has answered since the first one fell silent, this sidecar itself is isolated: the other
zones are not assumed to have restarted, and each serves again with its first answer.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from enum import Enum

from millgw.interface import Outcome, Zone
from millgw.locality.places import Places

STALL_MULTIPLE = 4.0  # times the usual latency, after which an attempt counts as stalled
MIN_STALL_TIME = 200.0  # ms, at least: a busy event loop or a TCP retransmission is not a loss
MIN_SILENT_ENDPOINTS = 3  # endpoints that must be silent, or all of a zone that has fewer
MIN_SILENT_ATTEMPTS = 3  # attempts that must be unanswered, on any number of endpoints
EVIDENCE_LIFETIME = 30_000.0  # ms for which an answer counts as evidence on a zone
PROBE_INTERVAL = 2000.0  # ms between two probes of a lost zone, with jitter; one probe at a time
MAX_PROBE_INTERVAL = 16_000.0  # ms, the upper bound: the interval doubles with each loss of a flapping zone
LOSSES_FORGOTTEN_AFTER = 60_000.0  # ms of serving after which earlier losses no longer count
SUSPECT_TIME = 5000.0  # ms for which a zone is avoided after an unanswered attempt
UNREPEATABLE_PROBE_DELAY = 3.0  # probe intervals, after which a call that may not be repeated is a probe too

ANSWERED = frozenset({Outcome.OK, Outcome.ERROR, Outcome.REJECTED})
UNANSWERED = frozenset({Outcome.TIMEOUT, Outcome.CONNECT_FAILED})

AttemptKey = tuple[int, int]
"""The id of a request and the number of its attempt."""


class ZoneState(Enum):
    """The detected state of a zone."""

    SERVING = "serving"
    LOST = "lost"  # its endpoints are gone, and count as cold once they answer again
    CUT_OFF = "cut off"  # this sidecar can reach neither it nor any other zone


@dataclass(slots=True, frozen=True)
class PendingAttempt:
    """An attempt that has no answer yet. Times are in ms."""

    sent_at: float
    endpoint: int
    stalls_at: float


class FailureDomain:
    """The evidence on one zone, and the state that follows from it."""

    __slots__ = (
        "endpoint_count", "last_answer_at", "pending_attempts", "probe_at", "recent_losses",
        "silent_endpoints", "state", "state_since", "suspect_until", "unanswered_attempts",
    )  # fmt: skip

    def __init__(self) -> None:
        self.endpoint_count = 0  # in the current list
        self.pending_attempts: dict[AttemptKey, PendingAttempt] = {}
        self.silent_endpoints: set[int] = set()  # with unanswered attempts since `last_answer_at`
        self.unanswered_attempts = 0  # since `last_answer_at`
        self.last_answer_at = -math.inf
        self.suspect_until = -math.inf
        self.state = ZoneState.SERVING
        self.state_since = -math.inf
        self.recent_losses = 0
        self.probe_at = math.inf

    def is_silent(self, now: float) -> bool:
        """Whether enough endpoints are silent, with no answer from the zone since, to call it lost.

        Fewer silent endpoints make the zone suspect.
        """
        stalled = [
            w
            for w in self.pending_attempts.values()
            if w.sent_at >= self.last_answer_at and now >= w.stalls_at
        ]
        if stalled:
            self.suspect_until = max(self.suspect_until, stalled[-1].stalls_at + SUSPECT_TIME)
        if self.unanswered_attempts + len(stalled) < MIN_SILENT_ATTEMPTS:
            return False
        endpoints = self.silent_endpoints.union(w.endpoint for w in stalled)
        return len(endpoints) >= min(MIN_SILENT_ENDPOINTS, max(1, self.endpoint_count))

    def has_pending_probe(self) -> bool:
        """Whether an attempt that was sent since the last change of state is still unanswered."""
        return any(w.sent_at >= self.state_since for w in self.pending_attempts.values())

    def has_evidence(self, now: float) -> bool:
        """Whether there is evidence on the zone, of any kind."""
        return self.state is not ZoneState.SERVING or now < self.last_answer_at + EVIDENCE_LIFETIME


class FailureDomains:
    """The failure domains of all listed zones."""

    def __init__(self, places: Places, seed: int) -> None:
        self.places = places
        self.rng = random.Random(seed)
        self.zones: dict[int, FailureDomain] = {}
        self.unreported_losses: list[int] = []  # lost since the last call of `newly_lost`

    def update_zones(self, counts: dict[Zone, int]) -> None:
        """Set the number of endpoints of each zone; drop zones that are not in `counts`.

        Endpoints whose zone is not told are no failure domain: nothing shows that they fail together.
        """
        told = {zone: count for zone, count in counts.items() if zone is not None}
        for zone in [z for z in self.zones if z not in told]:
            del self.zones[zone]
        for zone, count in told.items():
            self.zones.setdefault(zone, FailureDomain()).endpoint_count = count

    def _domain(self, zone: Zone) -> FailureDomain | None:
        return None if zone is None else self.zones.get(zone)

    def state(self, zone: Zone) -> ZoneState:
        """The detected state of a zone; `SERVING` for one that is not listed."""
        domain = self._domain(zone)
        return ZoneState.SERVING if domain is None else domain.state

    def is_suspect(self, now: float, zone: Zone) -> bool:
        """Whether an attempt to the zone was recently unanswered, with no answer since."""
        domain = self._domain(zone)
        return domain is not None and now < domain.suspect_until

    def attempt_sent(
        self, now: float, key: AttemptKey, zone: Zone, endpoint: int, usual_latency: float
    ) -> None:
        """Record a sent attempt; `usual_latency` (ms) is that of such a call."""
        domain = self._domain(zone)
        if domain is not None:
            stalls_at = now + max(MIN_STALL_TIME, STALL_MULTIPLE * usual_latency)
            domain.pending_attempts[key] = PendingAttempt(now, endpoint, stalls_at)

    def attempt_ended(self, now: float, key: AttemptKey, zone: Zone, outcome: Outcome) -> bool:
        """Record the end of an attempt; returns whether it brought a lost zone back."""
        domain = self._domain(zone)
        attempt = None if domain is None else domain.pending_attempts.pop(key, None)
        if domain is None or attempt is None:
            return False
        if outcome in ANSWERED:
            return self._answer_received(now, domain, attempt.sent_at)
        # A cancelled call says nothing about the endpoint, unless the attempt was already overdue.
        overdue = outcome is Outcome.CANCELLED and now >= attempt.stalls_at
        if (overdue or outcome in UNANSWERED) and attempt.sent_at >= domain.last_answer_at:
            domain.silent_endpoints.add(attempt.endpoint)
            domain.unanswered_attempts += 1
            domain.suspect_until = now + SUSPECT_TIME
        return False

    def _answer_received(self, now: float, domain: FailureDomain, sent_at: float) -> bool:
        domain.last_answer_at = now
        domain.suspect_until = -math.inf
        domain.silent_endpoints.clear()
        domain.unanswered_attempts = 0
        before, since = domain.state, domain.state_since
        if before is ZoneState.SERVING:
            return False
        domain.state, domain.state_since, domain.probe_at = ZoneState.SERVING, now, math.inf
        if before is ZoneState.CUT_OFF:
            for other in self.zones.values():
                if other.state is ZoneState.CUT_OFF:
                    other.probe_at = now
            return False
        # The answer to an attempt from before the loss shows that the zone was only slow.
        return sent_at >= since

    def detect_losses(self, now: float) -> bool:
        """Detect zones that are lost by now; returns whether the state of any zone has changed."""
        lost = [d for d in self.zones.values() if d.state is ZoneState.SERVING and d.is_silent(now)]
        if not lost:
            return False
        serving = [z for z, d in self.zones.items() if d.state is ZoneState.SERVING]
        for domain in lost:
            self._mark_lost(now, domain)
        self._mark_regions_lost(now)
        self._detect_isolation(now)
        self.unreported_losses += [z for z in serving if self.zones[z].state is not ZoneState.SERVING]
        return True

    def newly_lost(self) -> list[int]:
        """The zones that were lost since the last call."""
        untold, self.unreported_losses = self.unreported_losses, []
        return untold

    def _mark_lost(self, now: float, domain: FailureDomain) -> None:
        if now >= domain.state_since + LOSSES_FORGOTTEN_AFTER:
            domain.recent_losses = 0
        domain.recent_losses += 1
        domain.state, domain.state_since = ZoneState.LOST, now
        domain.probe_at = now + self._probe_wait(domain)

    def _mark_regions_lost(self, now: float) -> None:
        """Mark zones without evidence lost where all others of their region, at least two, are lost."""
        own = self.places.region(self.places.zone)
        regions: dict[int, list[FailureDomain]] = {}
        for zone, domain in self.zones.items():
            regions.setdefault(self.places.region(zone), []).append(domain)
        for region, domains in regions.items():
            lost = [d for d in domains if d.state is ZoneState.LOST]
            unknown = [d for d in domains if not d.has_evidence(now)]
            if region != own and len(lost) >= 2 and len(lost) + len(unknown) == len(domains):
                for domain in unknown:
                    self._mark_lost(now, domain)

    def _detect_isolation(self, now: float) -> None:
        """Distinguish the isolation of this sidecar from the loss of all other zones.

        The sidecar is isolated when all other zones with evidence are lost, at least two, and none of them
        has answered since the first was lost.
        """
        others = [d for zone, d in self.zones.items() if zone != self.places.zone and d.has_evidence(now)]
        lost = [d for d in others if d.state is ZoneState.LOST]
        if len(lost) < 2 or len(lost) < len(others):
            return
        first = min(d.state_since for d in lost)
        if any(d.last_answer_at > first for d in lost):
            return
        for domain in self.zones.values():
            if domain.state is ZoneState.LOST:
                domain.state = ZoneState.CUT_OFF

    def due_probe(self, now: float, repeatable: bool) -> int | None:
        """An unreachable zone whose next probe is due. Repeatable calls are preferred as probes."""
        for zone, domain in self.zones.items():
            if domain.state is ZoneState.SERVING or domain.has_pending_probe():
                continue
            delay = 0.0 if repeatable else UNREPEATABLE_PROBE_DELAY * PROBE_INTERVAL
            if now >= domain.probe_at + delay:
                domain.probe_at = now + self._probe_wait(domain)
                return zone
        return None

    def _probe_wait(self, domain: FailureDomain) -> float:
        wait = min(MAX_PROBE_INTERVAL, PROBE_INTERVAL * 2.0 ** (domain.recent_losses - 1))
        return wait * (0.5 + self.rng.random())
