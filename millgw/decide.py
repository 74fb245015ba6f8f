"""Load balancing decisions: routing, retries, rejection and load shedding. No I/O and no clock.

The types are in `millgw/interface.py`: settings, endpoints, input events and output actions. One `Balancer`
decides for one sidecar. It shares no state with others: the same events result in the same actions.

Reading order: the constants; `RetryRules`, the only place that decides what may be sent or refused;
`RetryBudget` and `Backoff`, the source design for retries; `Server`, `OutlierDetector` and
`ColdStartLimiter`, the state of endpoints; `ConcurrencyLimiter`, `LoadShedder` and `TenantQuotas`, which
requests wait or are refused; `Freshness` (`millgw.policy`), how long the endpoint list stays valid;
`Balancer`, from `handle` down.
"""

from __future__ import annotations

import math
import random

from millgw.interface import (
    NO_EFFECT_OUTCOMES,
    Action,
    AttemptEnded,
    BodyDiscarded,
    CloseConnections,
    Condition,
    Endpoint,
    EndpointEvidence,
    EndpointList,
    Event,
    Fail,
    GivenUp,
    ListKind,
    Locality,
    Outcome,
    PeerReports,
    Probe,
    ProbeEnded,
    Refuse,
    Repeat,
    RequestAborted,
    RequestArrived,
    RequestBodyComplete,
    RequestClass,
    ResponseStarted,
    Scope,
    Send,
    SetTimer,
    Settings,
    Subscribe,
    TimerFired,
    Zone,
)
from millgw.policy.backoff import Backoff
from millgw.policy.freshness import Freshness

# Retries. "aim" is the latency target of the request's class.
BUDGET_CAPACITY = 100.0  # tokens; from the source design
RETRY_COST = 10.0  # tokens per retry: at most one retry for ten served calls; from the source design
BACKOFF_BASE = 0.02  # share of the aim: short compared with it, long compared with a network hop
BACKOFF_CAP = 0.5  # share of the aim: after a longer wait there is no time left for a response
DEADLINE_MARGIN = 0.02  # share of the aim kept free before the deadline; see also DEADLINE_MARGIN_TICKS
DEADLINE_MARGIN_TICKS = 4  # passing on a response takes a few ticks, whatever the aim

# Cold endpoints
MIN_COLD_CALLS = 2.0  # calls per window that all instances may send any cold endpoint: room for chance
COLD_FILL = 0.8  # used share of `fall_multiple`: the rest covers random variation and uneven requests

# Averages over time
RATE_DECAY_MS = 10_000.0  # for usual values (rates, calls in flight): longer than a burst
SERVED_DECAY_MS = 4000.0  # for an endpoint's rate: when others leave, those that stay soon serve more
REFRESH_INTERVAL_MS = 1000.0  # between two passes over the endpoint list: what they compute changes slowly

# Concurrency limit
LOW_LATENCY_RISE = 0.1  # weight of a rise in a class's low latency: it follows the fastest tenth or so
MAX_BASE_LATENCY = 0.4  # share of the aim: the most that responses without queueing are assumed to take
LATENCY_SLACK = 0.3  # share of the range from base latency to the aim that queueing may use up
MAX_LATENCY_SLACK = 0.5  # share of that range if the median is of few responses; shedding starts there too
NOISE_SLACK = 1.6  # share of that range for each part of the median that a single response decides
NORMAL_HEADROOM = 1.5  # times the usual number in flight that a limit always allows: bursts are usual too
LATENCY_WEIGHT = 0.03  # of one response in the running median: about the last thirty decide
LATENCY_DECAY_AIMS = 1.0  # longest memory of the median, in aims: few calls must still show a slowdown
MAX_LATENCY_WEIGHT = 0.4  # of one response in the median: at least two or three decide, however few arrive
BASE_LATENCY_WEIGHT = 0.01  # of one response in the base latency: a minimum must not be a random one
INITIAL_LIMIT = 5.0  # calls in flight per endpoint, over all instances, before anything is learned
MAX_LIMIT_GROWTH = 0.2  # calls per endpoint and response: one instance of many must not overshoot
MIN_LIMIT_KEPT = 0.5  # share of the limit that one cut leaves at least, however late the responses are
MIN_RATIO = 0.001  # keeps medians above zero, where no step changes them, and avoids division by zero
GROWTH_UTILIZATION = 0.8  # share of the limit in use before it may grow: an unused limit proves nothing

# Endpoint health
FAILURE_WEIGHT = 0.2  # of one outcome in an endpoint's failure rate: the last five decide
EJECTION_EVIDENCE_CALLS = 5.0  # calls reported to peers as the evidence for an ejection
SLOWNESS_WEIGHT = 0.1  # of one latency: the last ten decide, as latencies scatter more than failures
FASTER_PEER_SHARE = 0.25  # slowness is compared with the warm peer that is slower than this share of them
SLOWNESS_DECAY_MS = 5000.0  # after which an endpoint's slowness is mostly forgotten
# Bounds of the slowness that counts as load: own calls in flight decide first.
MIN_LOAD_SLOWNESS, MAX_LOAD_SLOWNESS = 0.5, 3.0
TIE_SLOWNESS_RATIO = 1.05  # a smaller ratio of slowness does not decide a tie: it would starve an endpoint
OUTLIER_FAILURE_RATE = 0.4  # from which an endpoint may be an outlier
OUTLIER_MULTIPLE = 2.0  # times as bad as its peers: less is chance, or a problem of the whole tier
EJECTION_MS = 4000.0  # mean length of an ejection: time to finish the calls in flight and to recover
MIN_EJECTION_FACTOR = 0.5  # jitter: endpoints ejected by many instances return at different times
MAX_EJECTED_SHARE = 1 / 3  # if more endpoints look bad, the problem is not theirs
UNREACHABLE_AFTER = 2  # consecutive connect failures after which a machine is assumed to be gone

# Endpoint selection, load shedding, quotas
BUSY_LOAD = 3.0  # calls in flight times slowness above which the next zone is considered as well
MIN_SUBSET_SIZE = 3  # endpoints an instance always chooses from: two to compare and one for a retry elsewhere
SHED_RISE_RATE = 1.0  # share of all work by which shedding rises per aim of time if half the answers are late
MAX_SHED_LEVEL = 0.95  # highest shed share: without any responses nothing more is learned
HASH_MULTIPLIER = 0x9E3779B1  # odd, so that distinct ids give distinct products
TENANT_BURST_MS = 1000.0  # of a tenant's rate that may arrive at once and still be within its quota

# Health probes and held requests
PROBE_LEAD_MS = 200.0  # probing starts this long before the list may be outdated: a probe takes less
PROBE_INTERVAL_MS = 500.0  # shortest time between two probes of one endpoint
PROBE_VALID_MS = 2000.0  # for which a successful probe counts
MAX_HOLD_TIME = 0.1  # share of the aim that a request is held: a refused client needs the rest for a retry

# Hot restart
PAIR_SHARE = 0.5  # share of tokens and cold allowances for each of two processes of one sidecar


def shuffle_key(id: int, group: int) -> int:
    """A pseudo-random sort key for an id: another order for each group, the same in every process."""
    mixed = id * (2 * group + 1) * HASH_MULTIPLIER % 2**32
    return (mixed ^ mixed >> 15) * HASH_MULTIPLIER % 2**32


class Attempt:
    """One attempt of a request: where it was sent, whether it is pending or proven not executed."""

    __slots__ = ("cell", "cls", "not_executed", "pending", "reset", "sent_at", "server", "started_at", "zone")

    def __init__(self, server: Server, cls: int, now: float) -> None:
        self.server = server
        self.cell, self.zone = server.info.cell, server.info.zone  # as at sending: the group that knows it
        self.started_at = server.info.started_at  # the same
        self.cls = cls
        self.sent_at = now
        self.pending = True
        self.not_executed = False
        self.reset = False  # whether its connection was reset after it was sent

    def is_deduplicated_by(self, endpoint: Endpoint, scope: Scope) -> bool:
        """Whether an endpoint drops a repeat of this attempt: both are of one group, and it is told.

        Where a group is not told, only the process that got the attempt is known to be of it. After a reset
        another process, of another group, may be at the endpoint's address: it is not sent to again until
        discovery has told its start.
        """
        same_process = self.server.info.id == endpoint.id and self.started_at == endpoint.started_at
        if same_process and self.reset:
            return False
        own, other = (self.zone, endpoint.zone) if scope is Scope.ZONE else (self.cell, endpoint.cell)
        if own is None or other is None:
            return same_process
        return own == other


class Request:
    """A request that still needs an answer, and the attempts made for it so far."""

    def __init__(self, event: RequestArrived, cls: RequestClass, now: float, deadline: float) -> None:
        self.id = event.request
        self.class_index = event.cls
        self.cls = cls
        self.tenant = event.tenant
        self.arrived = now
        self.deadline = deadline
        self.held_until = deadline
        self.attempts: list[Attempt] = []
        self.timers: list[int] = []
        self.last_backoff = 0.0
        self.within_share = True
        self.partial = event.partial
        self.body_discarded = False
        self.hold_reason = GivenUp.NO_ROOM  # while it is held
        self.worth_per_ms = cls.worth  # per ms of its class's low latency


class RetryRules:
    """Rule 2: the only place that decides whether a request may be sent or refused."""

    def __init__(self, settings: Settings) -> None:
        self.max_attempts = settings.max_attempts
        self.concurrent_attempts = settings.concurrent_attempts
        self.margin = settings.tick

    def may_send(self, request: Request, now: float) -> bool:
        """Whether the request could be sent to any endpoint now."""
        if len(request.attempts) >= self.max_attempts or now >= request.deadline or request.body_discarded:
            return False
        if not self.concurrent_attempts and any(a.pending for a in request.attempts):
            return False
        return now <= self.retry_deadline(request)

    def retry_deadline(self, request: Request) -> float:
        """When (ms) the last byte of a further attempt must be sent; -inf if no repeat is allowed."""
        may_have_run = [a for a in request.attempts if not a.not_executed]
        if not may_have_run or request.cls.repeat is Repeat.SAFE:
            return math.inf
        if request.cls.repeat is not Repeat.KEYED:
            return -math.inf
        return may_have_run[0].sent_at + request.cls.window - self.margin

    @staticmethod
    def may_send_to(request: Request, endpoint: Endpoint) -> bool:
        """Whether this endpoint belongs to the group that deduplicates retries of the request."""
        cls = request.cls
        if cls.repeat is not Repeat.KEYED or cls.scope is Scope.ALL:
            return True
        return all(a.is_deduplicated_by(endpoint, cls.scope) for a in request.attempts if not a.not_executed)

    @staticmethod
    def may_refuse(request: Request) -> bool:
        """Whether the client may be told that a retry is safe."""
        if request.cls.repeat is Repeat.SAFE or all(a.not_executed for a in request.attempts):
            return True
        return request.cls.repeat is Repeat.KEYED and request.cls.scope is Scope.ALL


class RetryBudget:
    """Token bucket: served calls add tokens, retries cost tokens; it is empty when most calls fail."""

    def __init__(self) -> None:
        # Not full: the retries of hundreds of instances, or of a wave of restarts, would add up.
        self.tokens = RETRY_COST

    def earn(self) -> None:
        self.tokens = min(BUDGET_CAPACITY, self.tokens + 1)

    def spend(self) -> bool:
        if self.tokens < RETRY_COST:
            return False
        self.tokens -= RETRY_COST
        return True


class Server:
    """One endpoint and what this instance knows about it."""

    def __init__(self, info: Endpoint, now: float) -> None:
        self.info = info
        self.in_flight: dict[Attempt, None] = {}  # attempts in flight
        self.own_slowness = 1.0  # latency as a multiple of the usual one, as of `slowness_at`
        self.slowness_at = now
        self.failure_rate = 0.0  # average failure rate
        self.ejected_until = -math.inf
        self.served_calls = 0.0  # decaying count of served calls, as of `served_at`
        self.served_at = now
        self.cold_allowance = 1.0  # calls that a cold endpoint may be sent, as of `cold_allowance_at`
        self.cold_allowance_at = now
        self.cold_ramp_started = False  # whether its allowance was initialized as for a cold endpoint
        self.connect_failures = 0  # consecutive connect failures
        self.reachable_again_at = 0.0  # when it was reachable again
        self.zone_restored_at = 0.0  # when its zone, which had been lost, returned
        # `Freshness.message_count` when it rejected a call or was unhealthy while discovery was disconnected.
        self.unhealthy_at_message = -1
        self.probed_at = -math.inf  # when the last probe was sent
        self.healthy_at = -math.inf  # when the last successful probe was sent
        # Peers' reports are kept apart from its own record: otherwise they would be passed on as observed.
        self.drain_reported_until = -math.inf  # a drain reported by peers
        self.reported_slowness = 1.0
        self.reported_at = now
        self.ejected_by_report = False  # whether it is ejected because of peers' reports

    def record_reachability(self, now: float, outcome: Outcome) -> None:
        """Track connect failures: a machine that was unreachable may come back cold."""
        if outcome is Outcome.CONNECT_FAILED:
            self.connect_failures += 1
            return
        if self.connect_failures >= UNREACHABLE_AFTER:
            self.reachable_again_at = now
        self.connect_failures = 0

    def started_at(self, now: float) -> float:
        """When it last started, as reported or observed; an unreachable machine has not started yet."""
        return (
            now
            if self.connect_failures >= UNREACHABLE_AFTER
            else max(self.info.started_at, self.reachable_again_at, self.zone_restored_at)
        )

    def slowness(self, now: float) -> float:
        """Its recent latency as a multiple of the usual one; old measurements decay towards 1."""
        own = self.measured_slowness(now)
        if self.reported_slowness <= 1.0:
            return own
        return max(
            own, 1.0 + (self.reported_slowness - 1.0) * math.exp((self.reported_at - now) / SLOWNESS_DECAY_MS)
        )

    def measured_slowness(self, now: float) -> float:
        """The same from this instance's own calls alone."""
        return 1.0 + (self.own_slowness - 1.0) * math.exp((self.slowness_at - now) / SLOWNESS_DECAY_MS)

    def record_served(self, now: float) -> None:
        self.served_calls = self.served_rate(now) * SERVED_DECAY_MS + 1
        self.served_at = now

    def served_rate(self, now: float) -> float:
        """Calls served per ms, as an exponentially decaying average."""
        return self.served_calls * math.exp((self.served_at - now) / SERVED_DECAY_MS) / SERVED_DECAY_MS


class OutlierDetector:
    """Ejects endpoints that are far worse than their peers for some time, and never many of them.

    An endpoint that fails fast has few calls in flight, so it would be chosen most often, and its failures
    would use up everybody's retry tokens. One that became slow under overload needs time to recover. After an
    ejection the endpoint is used like any other; its record is reset halfway, so that a few more bad outcomes
    eject it again.
    """

    def __init__(self, rng: random.Random, cold: ColdStartLimiter) -> None:
        self.rng = rng
        self.cold = cold

    @staticmethod
    def record(now: float, server: Server, failed: bool, slowness: float) -> None:
        """Add one outcome; `slowness` is its latency as a multiple of the usual one of its class."""
        server.failure_rate += FAILURE_WEIGHT * (failed - server.failure_rate)
        if not failed or slowness > server.own_slowness:
            server.own_slowness += SLOWNESS_WEIGHT * (slowness - server.own_slowness)
            server.slowness_at = now

    @staticmethod
    def _remaining_peers(now: float, server: Server, ring: list[Server]) -> list[Server]:
        """The peers left if this server is ejected; empty if it is ejected already or may not be."""
        peers = [s for s in ring if s is not server and now >= s.ejected_until]
        too_many_ejected = len(ring) - len(peers) >= MAX_EJECTED_SHARE * len(ring)
        return [] if too_many_ejected or now < server.ejected_until else peers

    def eject_outlier(self, now: float, server: Server, ring: list[Server]) -> None:
        if server.failure_rate <= OUTLIER_FAILURE_RATE and server.own_slowness <= 1.0:
            return
        peers = self._remaining_peers(now, server, ring)
        if not peers:
            return
        peer_failure_rate = sum(s.failure_rate for s in peers) / len(peers)
        # Compared with the faster peers: if most of a tier is slow from overload, the mean would eject none,
        # and none could recover. Only warm ones: of a cold endpoint only the minimum capacity is known, so it
        # looks faster than it is.
        warm = [s for s in peers if self.cold.capacity_share(s, now) >= 1.0]
        faster_peers = sum(server.own_slowness > OUTLIER_MULTIPLE * s.own_slowness for s in warm)
        if server.failure_rate > max(OUTLIER_FAILURE_RATE, OUTLIER_MULTIPLE * peer_failure_rate) or (
            faster_peers > int(FASTER_PEER_SHARE * len(warm))
        ):
            server.ejected_until = now + EJECTION_MS * (MIN_EJECTION_FACTOR + self.rng.random())
            server.ejected_by_report = False
            server.failure_rate = OUTLIER_FAILURE_RATE / 2
            server.own_slowness = OUTLIER_MULTIPLE / 2

    def eject_on_report(
        self, now: float, server: Server, failure_rate: float, ring: list[Server], jitter: float
    ) -> None:
        """Eject on peers' reports: the same test as for own calls, but its own record is unchanged."""
        peers = self._remaining_peers(now, server, ring)
        if not peers:
            return
        if failure_rate > max(
            OUTLIER_FAILURE_RATE, OUTLIER_MULTIPLE * sum(s.failure_rate for s in peers) / len(peers)
        ):
            server.ejected_until = now + EJECTION_MS * (MIN_EJECTION_FACTOR + jitter)
            server.ejected_by_report = True


class ColdStartLimiter:
    """Rule 4: an instance sends a cold endpoint its fair share and no more.

    All instances together send a warm endpoint no more than it can serve, so the rate that this instance sees
    served by a warm endpoint is its fair share of the capacity. A cold endpoint is sent that rate, times the
    share of its capacity that it certainly has by now, times most (COLD_FILL) of the multiple that would
    overload it.

    An unreachable endpoint counts as cold too, until it answers and from then on by its time since: discovery
    may be down, or not know yet that the machine was gone and is back.

    Each instance starts with a random fraction of a call: where all instances learn of the start at once, a
    whole call each would add up to more than the endpoint can serve. Before any rate is known, all instances
    together send MIN_COLD_CALLS per window, which an endpoint of any size can take.
    """

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.siblings = settings.siblings
        self.rate = 0.0  # calls per ms to a warm endpoint of size 1
        self.zone_rates: dict[Zone, float] = {}  # the same by zone, if there is a locality
        self.process_share = 1.0  # of this sidecar's cold allowances that belongs to this process

    def capacity_share(self, server: Server, now: float) -> float:
        """The share of its capacity that an endpoint certainly has by now."""
        s, started_at = self.settings, server.started_at(now)
        if started_at <= 0 or s.cold_time <= 0 or now >= started_at + s.cold_time:
            return 1.0
        return s.cold_share + (1 - s.cold_share) * max(0.0, now - started_at) / s.cold_time

    def learn_rate(self, servers: list[Server], now: float) -> None:
        """Measure the rate of warm endpoints in use; if there are none, the last rate is kept."""
        rate = self._warm_rate(servers, now)
        if rate is not None:
            self.rate = rate

    def learn_zone_rate(self, servers: list[Server], now: float, zone: Zone) -> None:
        """Measure the same for the endpoints of one zone."""
        rate = self._warm_rate(servers, now)
        if rate is not None:
            self.zone_rates[zone] = rate

    def _warm_rate(self, servers: list[Server], now: float) -> float | None:
        """The rate of the warm endpoints among these; None if there are none."""
        warm = [s for s in servers if now >= s.ejected_until and self.capacity_share(s, now) >= 1.0]
        size = sum(s.info.size for s in warm)
        return sum(s.served_rate(now) for s in warm) / size if size > 0 else None

    def admits(self, server: Server, now: float) -> bool:
        s, share = self.settings, self.capacity_share(server, now)
        if share >= 1.0 or s.fall_window <= 0:
            # Otherwise calls sent while it was warm would count against it once it is cold.
            server.cold_allowance, server.cold_allowance_at, server.cold_ramp_started = 1.0, now, False
            return True
        if (
            not server.cold_ramp_started
            and server.connect_failures < UNREACHABLE_AFTER
            and self.siblings > MIN_COLD_CALLS
        ):
            server.cold_ramp_started = True
            server.cold_allowance = min(server.cold_allowance, self.rng.random())
        min_rate = MIN_COLD_CALLS / (self.siblings * s.fall_window)
        rate = self.zone_rates.get(server.info.zone, self.rate) * server.info.size
        rate = rate * share * s.fall_multiple * COLD_FILL
        rate = max(min_rate, rate) * self.process_share
        max_allowance = max(1.0, rate * s.fall_window * COLD_FILL)
        server.cold_allowance = min(
            max_allowance, server.cold_allowance + rate * (now - server.cold_allowance_at)
        )
        server.cold_allowance_at = now
        return server.cold_allowance >= 1.0


class ConcurrencyLimiter:
    """Adaptive limit on calls in flight per usable endpoint, at the first tier only.

    Beyond some number of calls in flight, servers only respond later, then too late, then slow down for long.
    The limit grows while latencies stay well below their aim and is cut when they don't.
    """

    def __init__(self) -> None:
        self.per_endpoint = INITIAL_LIMIT  # calls in flight per endpoint, over all instances
        self.endpoint_share = 1.0  # usable endpoints divided by the number of instances
        self.usual_in_flight = 0.0  # usual calls in flight, in the same unit as `per_endpoint`
        self.median_latency = 0.0  # running median of the latency, as a share of the aim
        self.slow_median = 0.0  # the same with a much longer memory
        self.response_weight = LATENCY_WEIGHT  # average weight of one response in `median_latency`
        self.base_latency = MAX_BASE_LATENCY  # base latency without queueing, as a share of the aim
        self.responses = 0
        self.next_cut_at = 0.0  # from when the limit may be cut again: the effect of a cut shows only later
        self.last_response_at = 0.0  # when the last response arrived

    @property
    def limit(self) -> float:
        """Calls that this instance may have in flight: its share of whole calls for each endpoint."""
        # The square root adds room for random variation: of many instances, some have more calls than others
        # at any moment, and would refuse without need.
        own_limit = self.endpoint_limit(1.0) * self.endpoint_share
        return max(1.0, own_limit + math.sqrt(own_limit))

    def endpoint_limit(self, share: float) -> int:
        """Most calls in flight to one endpoint: whole calls, as an endpoint with a single slot needs."""
        return max(1, int(self.per_endpoint * share))

    def latency_target(self) -> float:
        """The highest allowed median: the fewer responses it is based on, the more it varies by chance."""
        slack = min(MAX_LATENCY_SLACK, max(LATENCY_SLACK, NOISE_SLACK * self.response_weight))
        return self.base_latency + slack * (1.0 - self.base_latency)

    def _step_median(self, median: float, ratio: float, weight: float) -> float:
        """One step of a running median."""
        step = 1 + max(weight, 1.0 / self.responses)
        if self.responses == 1:
            return ratio
        return min(median * step, 1.0) if ratio > median else median / step

    def learn(self, now: float, elapsed: float, aim: float, inflight: int) -> None:
        """Add one latency, relative to its aim, to the median, and adapt the limit.

        A running median is not moved by a few slow endpoints.
        """
        self.responses += 1
        ratio = max(elapsed / aim, MIN_RATIO)
        latest_weight = min(
            MAX_LATENCY_WEIGHT, 1.0 - math.exp((self.last_response_at - now) / (LATENCY_DECAY_AIMS * aim))
        )
        self.median_latency = self._step_median(
            self.median_latency, ratio, max(LATENCY_WEIGHT, latest_weight)
        )
        self.response_weight += max(BASE_LATENCY_WEIGHT, 1.0 / self.responses) * (
            latest_weight - self.response_weight
        )
        self.slow_median = self._step_median(self.slow_median, ratio, BASE_LATENCY_WEIGHT)
        if self.responses * LATENCY_WEIGHT >= 1.0:
            self.base_latency = min(self.slow_median, self.base_latency)
        target = self.latency_target()
        weight = max(1.0 / self.responses, 1.0 - math.exp((self.last_response_at - now) / RATE_DECAY_MS))
        self.last_response_at = now
        if self.median_latency > target:
            self.usual_in_flight -= (
                weight * self.usual_in_flight
            )  # lasting congestion, unlike a burst, gets no headroom
            if now >= self.next_cut_at:
                used = min(self.per_endpoint, inflight / self.endpoint_share)
                self.per_endpoint = max(
                    1.0,
                    NORMAL_HEADROOM * self.usual_in_flight,
                    used * max(MIN_LIMIT_KEPT, target / self.median_latency),
                )
                self.next_cut_at = now + self.median_latency * aim
            return
        if inflight < self.limit:
            self.usual_in_flight += weight * (inflight / self.endpoint_share - self.usual_in_flight)
        if inflight >= GROWTH_UTILIZATION * self.per_endpoint * self.endpoint_share:
            self.per_endpoint += min(MAX_LIMIT_GROWTH, 1.0 / self.endpoint_share) * (
                1.0 - self.median_latency / target
            )


class LoadShedder:
    """Refuses an adaptive share of the work on arrival, least worth per ms first; first tier only.

    In a large overloaded fleet each instance has only a call or two: there is no queue from which the more
    valuable requests could be served first, and what is admitted must still be answered in time.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.level = 0.0  # share of the work that is shed
        self.level_at = math.inf
        # Work that arrived (decaying, in ms of low latency) by class and whether it was within the quota.
        self.demand: dict[tuple[int, bool], float] = {}
        self.worth_per_ms: dict[tuple[int, bool], float] = {}
        self.demand_at = 0.0

    def learn(self, now: float, limiter: ConcurrencyLimiter, aim: float) -> None:
        """Follow the median latency: shedding rises while it is closer to the aim than to the base."""
        aims_passed = min(1.0, max(0.0, now - self.level_at) / aim)
        self.level_at = now
        slack = MAX_LATENCY_SLACK * (1.0 - limiter.base_latency)
        rise = SHED_RISE_RATE * aims_passed * (limiter.median_latency - limiter.base_latency - slack) / slack
        self.level = min(MAX_SHED_LEVEL, max(0.0, self.level + rise))

    def should_shed(self, now: float, request: Request, work: float) -> bool:
        """Whether a request of this worth per ms belongs to the share that is shed now."""
        decay = math.exp((self.demand_at - now) / RATE_DECAY_MS)
        self.demand_at = now
        for other in self.demand:
            self.demand[other] *= decay
        kind = (request.class_index, request.within_share)
        self.demand[kind] = self.demand.get(kind, 0.0) + work
        self.worth_per_ms[kind] = request.worth_per_ms
        less_worthy = sum(w for k, w in self.demand.items() if self.worth_per_ms[k] < request.worth_per_ms)
        excess = self.level * sum(self.demand.values()) - less_worthy
        return self.rng.random() * self.demand[kind] < min(excess, MAX_SHED_LEVEL * self.demand[kind])


class TenantQuotas:
    """Decides which requests are within their tenant's quota: one token bucket per tenant.

    Requests beyond a flooding tenant's quota have little worth and are refused first. A request that is not
    served returns its token, so that clients' retries don't use up the quota.
    """

    def __init__(self, settings: Settings) -> None:
        self.tokens: list[float] = []
        self.refilled_at = 0.0
        self.reconfigure(settings)

    def reconfigure(self, settings: Settings) -> None:
        """Apply new rates; the tokens of existing tenants are kept."""
        self.rates = [t.rate / 1000 / settings.siblings for t in settings.tenants]
        self.capacities = [max(1.0, rate * TENANT_BURST_MS) for rate in self.rates]
        self.tokens += self.capacities[len(self.tokens) :]

    def refund(self, tenant: int) -> None:
        if tenant < len(self.rates):
            self.tokens[tenant] += 1.0

    def take(self, now: float, tenant: int) -> bool:
        if tenant >= len(self.rates) or self.rates[tenant] <= 0:
            return True
        for i, rate in enumerate(self.rates):
            self.tokens[i] = min(self.capacities[i], self.tokens[i] + rate * (now - self.refilled_at))
        self.refilled_at = now
        within = self.tokens[tenant] >= 1.0
        if within:
            self.tokens[tenant] -= 1.0
        return within


class Balancer:
    """One sidecar's decisions: `handle` takes an event and returns the actions, in order."""

    def __init__(self, settings: Settings, seed: int, locality: Locality | None = None) -> None:
        self.settings = settings
        self.locality = locality
        self.zones: dict[Zone, list[Server]] = {}  # the ring by zone, if there is a locality
        self.rng = random.Random(seed)
        self.rules = RetryRules(settings)
        self.budget = RetryBudget()
        self.budgets: dict[Zone, RetryBudget] = {}  # by zone: a failing one must not use up the others'
        self.backoff = Backoff(self.rng)
        # For Retry-After. Its own generator: it must not change which endpoints are chosen.
        self.retry_after_backoff = Backoff(random.Random(seed + 1))
        self.caution_rng = random.Random(seed + 2)  # for cold starts and peers' reports
        self.cold = ColdStartLimiter(settings, self.caution_rng)
        self.outliers = OutlierDetector(self.rng, self.cold)
        self.discovery = Freshness(settings, self.rng)
        self.servers: dict[int, Server] = {}
        self.ring: list[Server] = []  # all servers, in this instance's order of preference
        self.requests: dict[int, Request] = {}
        self.in_flight: dict[tuple[int, int], Attempt] = {}  # in flight, by request id and attempt number
        self.uploading: dict[tuple[int, int], Attempt] = {}  # the same, for partial requests
        self.admission = ConcurrencyLimiter() if settings.stage == 0 else None
        self.shedding = LoadShedder(self.rng)
        self.quotas = TenantQuotas(settings) if settings.stage == 0 else None
        # By class: mean latency, low latency (ms), number of responses.
        self.mean_latency = [c.aim for c in settings.classes]
        self.low_latency, self.responses = list(self.mean_latency), [0] * len(settings.classes)
        self.held: dict[int, Request] = {}  # waiting for an endpoint
        self.reported_siblings = 1
        self.refreshed_at = 0.0
        self.timers: dict[int, int | None] = {}  # the request of each timer; None: for discovery
        self.next_timer = 0
        self.started = False
        self.probes_sent = 0
        self.stale_picks = 0  # searches that found only endpoints whose state may be outdated
        self.last_pick_stale = False  # whether the last search was one of these
        self.actions: list[Action] = []

    def handle(self, now: float, event: Event) -> list[Action]:
        self.actions = []
        if not self.started:
            self.started = True
            ask_at = self.discovery.start(now)
            if ask_at is not None:
                self._set_timer(ask_at, None)
        if isinstance(event, RequestArrived):
            self._arrived(now, event)
        elif isinstance(event, AttemptEnded):
            self._attempt_ended(now, event)
        elif isinstance(event, RequestBodyComplete):
            self._body_complete(event)
        elif isinstance(event, BodyDiscarded):
            if event.request in self.requests:
                self.requests[event.request].body_discarded = True
        elif isinstance(event, TimerFired):
            self._timer_fired(now, event.timer)
        elif isinstance(event, EndpointList):
            self._endpoint_list(now, event)
        elif isinstance(event, PeerReports):
            self._peer_reports(now, event)
        elif isinstance(event, ProbeEnded):
            self._probe_ended(now, event)
        elif isinstance(event, RequestAborted | ResponseStarted):
            self._forget(event.request)
        return self.actions

    # Reconfiguration

    def reconfigure(self, now: float, settings: Settings) -> list[Action]:
        """Apply new settings; learned state is kept, and open requests keep their class.

        Classes are numbered by position, so their number can't change, and tenants may only be appended. A
        ValueError names a field that requires a new balancer; nothing has changed then.
        """
        self.actions, old = [], self.settings
        for field, compatible in (
            ("classes", len(settings.classes) == len(old.classes)),
            ("tenants", len(settings.tenants) >= len(old.tenants)),
            ("stage", settings.stage == old.stage),
            ("ask_discovery", settings.ask_discovery == old.ask_discovery),
        ):
            if not compatible:
                raise ValueError(f"Settings.{field} can't be changed in service")
        if settings == old:
            return self.actions
        self.settings = self.cold.settings = settings
        self.cold.siblings = max(settings.siblings, self.reported_siblings)
        self.rules = RetryRules(settings)
        self.discovery.reconfigure(settings)
        if self.quotas is not None:
            self.quotas.reconfigure(settings)
        for cls, responses in enumerate(self.responses):
            if not responses:
                self.low_latency[cls] = self.mean_latency[cls] = settings.classes[cls].aim
        self._order_endpoints()
        self._refresh(now)
        self._send_held(now)
        return self.actions

    # Hot restart: two processes of one sidecar

    def start_as_successor(self) -> None:
        """Another process of this sidecar is still serving. To be called before the first event."""
        self.ask_at_once()
        self.set_paired(True)

    def ask_at_once(self) -> None:
        """Ask discovery at the first event: what replaces a running instance starts alone."""
        self.discovery.start_spread = 0.0

    def set_paired(self, paired: bool) -> None:
        """Whether cold endpoints' allowances are shared with another process of this sidecar."""
        self.cold.process_share = PAIR_SHARE if paired else 1.0

    # Requests

    def _arrived(self, now: float, event: RequestArrived) -> None:
        if event.request in self.requests:
            return
        cls = self.settings.classes[event.cls]
        request = Request(event, cls, now, event.deadline - self._deadline_margin(cls))
        self.requests[event.request] = request
        if self.quotas is not None:
            request.within_share = self.quotas.take(now, event.tenant)
            work = max(self.low_latency[event.cls], 1.0)
            worth = cls.worth * (1.0 if request.within_share else self.settings.over_share_worth)
            request.worth_per_ms = worth / work
            if self.shedding.should_shed(now, request, work):
                self._give_up(request, GivenUp.SHED)
                return
        self._start(now, request)

    def _deadline_margin(self, cls: RequestClass) -> float:
        return max(DEADLINE_MARGIN * cls.aim, DEADLINE_MARGIN_TICKS * self.settings.tick)

    def _body_complete(self, event: RequestBodyComplete) -> None:
        """A partial request counts as load and has a deadline from now on."""
        request = self.requests.get(event.request)
        if request is None:
            return
        request.partial = False
        request.deadline = event.deadline - self._deadline_margin(request.cls)
        for number, attempt in enumerate(request.attempts):
            if self.uploading.pop((request.id, number), None) is not None:
                self.in_flight[(request.id, number)] = attempt
                attempt.server.in_flight[attempt] = None

    def _attempt_ended(self, now: float, event: AttemptEnded) -> None:
        attempt_key = (event.request, event.attempt)
        attempt = self.in_flight.pop(attempt_key, None) or self.uploading.pop(attempt_key, None)
        if attempt is None:
            return
        attempt.pending = False
        attempt.not_executed = event.outcome in NO_EFFECT_OUTCOMES
        attempt.reset = event.outcome is Outcome.RESET
        attempt.server.in_flight.pop(attempt, None)
        self._learn(now, attempt, event)
        if self.locality is not None and self.locality.attempt_ended(
            now,
            attempt_key,
            attempt.zone,
            attempt.cls,
            event.outcome,
            event.elapsed,
            self.mean_latency[attempt.cls],
        ):
            # All endpoints of the zone may have restarted while it was lost.
            for server in self.zones.get(attempt.zone, ()):
                server.zone_restored_at = now
        request = self.requests.get(event.request)
        if request is not None:
            if event.request_finished or event.outcome is Outcome.OK:
                self._forget(event.request)
            elif not any(a.pending for a in request.attempts):
                self._retry_or_end(now, request)
        self._send_held(now)

    def _learn(self, now: float, attempt: Attempt, event: AttemptEnded) -> None:
        aim = max(self.settings.classes[attempt.cls].aim, self.settings.tick, MIN_RATIO)
        elapsed = event.elapsed
        if event.outcome is Outcome.OK:
            self._retry_budget(attempt).earn()
            attempt.server.record_served(now)
            self._learn_latency(attempt.cls, elapsed)
        else:
            elapsed = max(elapsed, aim)
        if event.outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT):
            attempt.server.record_reachability(now, event.outcome)
            if event.outcome is Outcome.REJECTED and self.discovery.disconnected():
                attempt.server.unhealthy_at_message = self.discovery.message_count
            if attempt.server.connect_failures >= UNREACHABLE_AFTER:
                # Tried once after each ejection, not more often: each try delays a call by a connect timeout.
                attempt.server.ejected_until = now + EJECTION_MS * (MIN_EJECTION_FACTOR + self.rng.random())
                attempt.server.ejected_by_report = False
            failed = event.outcome is not Outcome.OK
            slowness = event.elapsed / max(self.mean_latency[attempt.cls], 1.0)
            slowness *= self.cold.capacity_share(attempt.server, now)
            self.outliers.record(now, attempt.server, failed, slowness)
            self.outliers.eject_outlier(now, attempt.server, self._peers(attempt.server))
        if self.admission is not None and event.outcome is not Outcome.CANCELLED:
            self.admission.learn(now, elapsed, aim, len(self.in_flight) + 1)
            self.shedding.learn(now, self.admission, aim)

    def _peers(self, server: Server) -> list[Server]:
        """The endpoints to compare with: those of its zone, whose problems are not the other zones'."""
        peers = self.zones.get(server.info.zone, self.ring)
        return peers if len(peers) >= MIN_SUBSET_SIZE else self.ring

    def _retry_budget(self, attempt: Attempt) -> RetryBudget:
        """The budget that an attempt's success adds to and a retry after it draws from."""
        if self.locality is None:
            return self.budget
        return self.budgets.setdefault(attempt.zone, RetryBudget())

    def _learn_latency(self, cls: int, elapsed: float) -> None:
        self.responses[cls] += 1
        step = max(LATENCY_WEIGHT, 1.0 / self.responses[cls])
        self.mean_latency[cls] += step * (elapsed - self.mean_latency[cls])
        rising = elapsed > self.low_latency[cls] and self.responses[cls] > 1
        self.low_latency[cls] += (
            step * (LOW_LATENCY_RISE if rising else 1.0) * (elapsed - self.low_latency[cls])
        )

    def _refresh(self, now: float) -> None:
        """Periodic passes over the list: served rates and this instance's share of the endpoints."""
        self.refreshed_at = now
        self.cold.learn_rate(self.ring[: self._subset_size()], now)
        if self.locality is not None:
            self._refresh_zones(now, self.locality)
        if self.admission is not None:
            shares = [self.cold.capacity_share(s, now) for s in self.ring if now >= s.ejected_until]
            self.admission.endpoint_share = max(1.0, sum(shares)) / self.settings.siblings

    def _refresh_zones(self, now: float, locality: Locality) -> None:
        ready: dict[Zone, float] = {}
        for zone, ring in self.zones.items():
            self.cold.learn_zone_rate(ring[: self._subset_size()], now, zone)
            available = [s for s in ring if now >= s.ejected_until]
            ready[zone] = sum(s.info.size * self.cold.capacity_share(s, now) for s in available)
        locality.update_capacity(now, ready)

    def _retry_or_end(self, now: float, request: Request) -> None:
        """The source design's retry loop: attempt limit, retry token, jittered backoff and deadline."""
        aim = request.cls.aim
        wait = self.backoff.next(request.last_backoff, BACKOFF_BASE * aim, BACKOFF_CAP * aim)
        wait = min(wait, request.deadline - now)
        budget = self._retry_budget(request.attempts[-1])
        if wait <= 0:
            self._give_up(request, GivenUp.NO_TIME)
        elif not self.rules.may_send(request, now + wait):
            self._give_up(request, GivenUp.NO_REPEAT)
        elif not budget.spend():
            self._give_up(request, GivenUp.NO_TOKENS)
        else:
            self._schedule_retry(now, request, wait)

    def _schedule_retry(self, now: float, request: Request, wait: float) -> None:
        request.last_backoff = wait
        self._set_timer(now + wait, request.id)

    def _start(self, now: float, request: Request) -> None:
        """Send a new request or one whose backoff is over; hold it if it can't be sent now."""
        if not self.rules.may_send(request, now):
            self._give_up(request, self._reason_not_sent(request, now))
        elif not self._try_send(now, request):
            self._hold(now, request)

    @staticmethod
    def _reason_not_sent(request: Request, now: float) -> GivenUp:
        return GivenUp.NO_TIME if now >= request.deadline else GivenUp.NO_REPEAT

    def _try_send(self, now: float, request: Request) -> bool:
        # A partial request is no load yet: the limit applies when its body is complete.
        self.last_pick_stale = False
        server = self._pick(now, request) if request.partial or self._has_room() else None
        if server is not None:
            self._send(now, request, server)
        request.hold_reason = GivenUp.STALE if self.last_pick_stale else GivenUp.NO_ROOM
        return server is not None

    def _hold(self, now: float, request: Request) -> None:
        # After a late refusal, the client's retry is served too late and takes the place of another request
        # that could have been served in time.
        max_hold = MAX_HOLD_TIME * request.cls.aim if self.admission is not None else math.inf
        request.held_until = min(request.arrived + max_hold, request.deadline)
        self.held[request.id] = request
        self._set_timer(request.held_until, request.id)

    def _has_room(self) -> bool:
        return self.admission is None or len(self.in_flight) < self.admission.limit

    def _send(self, now: float, request: Request, server: Server) -> None:
        self.held.pop(request.id, None)
        attempt = Attempt(server, request.class_index, now)
        attempt_key = (request.id, len(request.attempts))
        if request.partial:
            # Otherwise uploads that take a minute would use up the limit on calls in flight.
            self.uploading[attempt_key] = attempt
        else:
            self.in_flight[attempt_key] = attempt
            server.in_flight[attempt] = None
            if self.locality is not None:
                self.locality.attempt_sent(
                    now, attempt_key, attempt.zone, server.info.id, self.mean_latency[request.class_index]
                )
        # A handshake may delay it until there is no longer proof that the endpoint is not draining.
        send_by = min(self.rules.retry_deadline(request), self._usable_until(server))
        request.attempts.append(attempt)
        server.cold_allowance -= 1
        self.actions.append(Send(request.id, server.info.id, send_by))

    def _send_held(self, now: float) -> None:
        """Send held requests while there is room, the highest worth first.

        Among equals the newest comes first: under overload the oldest would be answered just too late, one by
        one.
        """
        if not self.held or not self._has_room():
            return
        none_ready = False
        for request in sorted(reversed(self.held.values()), key=lambda r: r.worth_per_ms, reverse=True):
            if not self.rules.may_send(request, now):
                self._give_up(request, self._reason_not_sent(request, now))
            elif (
                self._has_room() and (request.attempts or not none_ready) and not self._try_send(now, request)
            ):
                # If a request without attempts, which may go anywhere, finds no endpoint, others like it find
                # none either. Without this, each held request would cost a pass over all endpoints.
                none_ready = none_ready or not request.attempts

    def _give_up(self, request: Request, reason: GivenUp) -> None:
        if self.quotas is not None and request.within_share:
            self.quotas.refund(request.tenant)
        if self.rules.may_refuse(request):
            self.actions.append(Refuse(request.id, reason, self._retry_after(request.cls)))
        else:
            self.actions.append(Fail(request.id, reason))
        self._forget(request.id)

    def _retry_after(self, cls: RequestClass) -> float:
        """Delay before a refused client may retry: jittered like backoff, and longer the more is shed.

        Without it all refused clients would return at once. The answer itself is never delayed.
        """
        cap = BACKOFF_CAP * cls.aim
        wait = self.retry_after_backoff.next(self.shedding.level * cap, BACKOFF_BASE * cls.aim, cap)
        return min(wait, self.settings.retry_after_most)

    def _forget(self, id: int) -> None:
        request = self.requests.pop(id, None)
        self.held.pop(id, None)
        for timer in request.timers if request is not None else ():
            self.timers.pop(timer, None)

    # Endpoint selection

    def _pick(self, now: float, request: Request) -> Server | None:
        """The less loaded of two random ready endpoints; a retry goes to another endpoint if possible."""
        if now >= self.refreshed_at + REFRESH_INTERVAL_MS:
            self._refresh(now)
        tried = {a.server.info.id for a in request.attempts}
        ring = self.ring
        if self.locality is not None:
            server = self._pick_by_zone(now, request, tried, self.locality)
            if server is not None:
                return server
            ring = [s for s in ring if self.locality.allows(request.class_index, s.info.zone)]
        ready = self._ready(now, request, ring, tried)
        if not ready and tried:
            ready = self._ready(now, request, ring, set())
        return self._less_loaded(now, ready)

    def _less_loaded(self, now: float, ready: list[Server]) -> Server | None:
        """The less loaded of two random endpoints."""
        if len(ready) < 2:
            return ready[0] if ready else None
        a, b = self.rng.sample(ready, 2)
        if a.connect_failures >= UNREACHABLE_AFTER or b.connect_failures >= UNREACHABLE_AFTER:
            # Otherwise a returned endpoint might never be noticed: with few calls in flight, a cold endpoint
            # loses every comparison. The ejection time and the cold allowance limit such attempts.
            return a if a.connect_failures >= UNREACHABLE_AFTER else b
        load_a, load_b = self._load(a, now), self._load(b, now)
        if load_a == load_b:
            # With few calls in flight most counts are zero and tell nothing.
            return b if a.slowness(now) > TIE_SLOWNESS_RATIO * b.slowness(now) else a
        return a if load_a < load_b else b

    def _pick_by_zone(
        self, now: float, request: Request, tried: set[int], locality: Locality
    ) -> Server | None:
        """An endpoint of the first zone with ready ones, or of the next if the first is far more loaded."""
        tried_zones, repeatable = [a.zone for a in request.attempts], request.cls.repeat is Repeat.SAFE
        order = locality.zone_order(now, request.class_index, tried_zones, request.deadline - now, repeatable)
        for lost in locality.newly_lost():
            self.actions.append(CloseConnections(tuple(s.info.id for s in self.zones.get(lost, ()))))
        first: Server | None = None
        for zone in order:
            healthy_only = not locality.is_probed(zone)
            server = self._less_loaded(
                now, self._ready(now, request, self.zones.get(zone, []), tried, healthy_only)
            )
            if server is None:
                continue
            if first is not None:
                handicap = locality.handicap(first.info.zone, zone)
                return server if self._load(first, now) > handicap * self._load(server, now) else first
            first = server
            if not healthy_only or (len(server.in_flight) + 1) * server.slowness(now) <= BUSY_LOAD:
                return server
        return first

    def _subset_size(self) -> int:
        """How many endpoints to choose from: with few calls of its own, an instance keeps to its subset.

        Otherwise many instances with a call or two each would see zero calls in flight everywhere, which
        tells nothing, and collide on the same endpoint. On its own subset an instance's counts are nearly
        complete, and it soon notices an endpoint that stalls. With a call in flight per endpoint, it chooses
        from all.
        """
        fair_share = -(-len(self.ring) // self.settings.siblings)
        return max(MIN_SUBSET_SIZE, fair_share, len(self.in_flight) + 1)

    def _ready(
        self, now: float, request: Request, ring: list[Server], excluded: set[int], healthy_only: bool = False
    ) -> list[Server]:
        """The first healthy endpoints of a ring, up to the subset size; else ejected ones, if allowed.

        Never one whose drain may count as told by now: the request then waits for discovery or is given up.
        """
        healthy: list[Server] = []
        ejected: list[Server] = []
        usable, subset_size, stale = 0, self._subset_size(), 0
        fresh_until = self.discovery.fresh_until()
        probing = (
            self.settings.probing
            and fresh_until - PROBE_LEAD_MS <= now <= self.discovery.assumed_down_until()
        )
        probed = 0  # endpoints probed now or recently: at most the subset size
        for server in ring:
            if server.info.id in excluded or not self.rules.may_send_to(request, server.info):
                continue
            if now < server.drain_reported_until or self._may_drain(server):
                continue
            if not self.cold.admits(server, now):
                continue
            if probing and probed < subset_size:
                probed += 1
                self._probe(now, server)
            if now > fresh_until and now > self._usable_until(server):
                stale += 1
                continue
            if now < server.ejected_until:
                ejected.append(server)
                continue
            usable += 1
            if not self._at_limit(server, now):
                healthy.append(server)
            if usable >= subset_size and healthy:
                break
        if healthy or healthy_only:
            return healthy
        if not ejected and stale:
            self.last_pick_stale = True
            self.stale_picks += 1
        return ejected

    def _usable_until(self, server: Server) -> float:
        """Until when an endpoint may be used: its drain can't count as told, or discovery seems down."""
        fresh_until = self.discovery.fresh_until()
        if not self.settings.probing:
            return fresh_until
        return max(fresh_until, min(self.discovery.assumed_down_until(), server.healthy_at + PROBE_VALID_MS))

    def _probe(self, now: float, server: Server) -> None:
        """Start a health probe of an endpoint before its result is needed."""
        if (
            now >= server.probed_at + PROBE_INTERVAL_MS
            and now + PROBE_LEAD_MS >= server.healthy_at + PROBE_VALID_MS
        ):
            server.probed_at = now
            self.probes_sent += 1
            self.actions.append(Probe(server.info.id))

    def _probe_ended(self, now: float, event: ProbeEnded) -> None:
        server = self.servers.get(event.endpoint)
        if server is None or not self.discovery.disconnected():
            return
        if event.outcome is Outcome.OK:
            server.healthy_at = max(server.healthy_at, now - event.elapsed)
            self._send_held(now)
        elif event.outcome is Outcome.ERROR:
            server.unhealthy_at_message = self.discovery.message_count

    def _may_drain(self, server: Server) -> bool:
        """Whether it rejected a call or reported being unhealthy since discovery's last message."""
        return server.unhealthy_at_message == self.discovery.message_count

    def out_of_rotation(self, now: float) -> dict[int, str]:
        """The endpoints not used while there are others, with the reason; changes nothing."""
        reasons = {}
        for server in self.ring:
            if now < server.drain_reported_until:
                reasons[server.info.id] = "drains"
            elif now < server.ejected_until:
                reasons[server.info.id] = (
                    "out of reach" if server.connect_failures >= UNREACHABLE_AFTER else "ejected"
                )
            elif now > self._usable_until(server) or self._may_drain(server):
                reasons[server.info.id] = "stale"
        return reasons

    def _at_limit(self, server: Server, now: float) -> bool:
        """Whether an endpoint has reached its share of the limit.

        Without this, all calls that the limit allows would go to the few endpoints that are ready.
        """
        if self.admission is None:
            return False
        return len(server.in_flight) >= self.admission.endpoint_limit(self.cold.capacity_share(server, now))

    def _load(self, server: Server, now: float) -> float:
        """Own calls in flight times slowness, relative to the endpoint's capacity.

        The square root of its size: half of a call's time is waiting for other services, in slots that don't
        grow with the size.
        """
        slowness = min(MAX_LOAD_SLOWNESS, max(MIN_LOAD_SLOWNESS, server.slowness(now)))
        weight = math.sqrt(server.info.size) * self.cold.capacity_share(server, now)
        return (len(server.in_flight) + 1) * slowness / max(weight, MIN_RATIO)

    # Endpoint list

    def _endpoint_list(self, now: float, event: EndpointList) -> None:
        if event.kind is ListKind.MOVED:
            self._set_timer(self.discovery.move(now), None)
            return
        if event.kind.watch_ended:
            self._set_timer(self.discovery.failed(now, event.kind), None)
            return
        if event.kind not in (ListKind.CACHED, ListKind.PARTIAL):
            self.discovery.heard(now)
        if event.kind is ListKind.DELTA and not event.endpoints:
            return
        if event.kind.complete:
            named = {e.id for e in event.endpoints}
            for id in [i for i in self.servers if i not in named]:
                del self.servers[id]
        for info in event.endpoints:
            self._update_endpoint(now, info)
        self._order_endpoints()
        self._refresh(now)
        self._send_held(now)

    def _order_endpoints(self) -> None:
        # With one order for all, the instances that share an overloaded endpoint would all move on to the
        # next one in the list and overload it too, and so on. Each group of instances covers the list once,
        # in its own order.
        index, siblings = self.settings.index, self.settings.siblings
        groups = 1 << max(0, siblings * MIN_SUBSET_SIZE // max(1, len(self.servers))).bit_length() >> 1
        ids = sorted(self.servers, key=lambda id: (shuffle_key(id, index % max(1, groups)), id))
        offset = index * len(ids) // siblings
        self.ring = [self.servers[id] for id in ids[offset:] + ids[:offset]]
        if self.locality is not None:
            self.zones = {}
            for server in self.ring:
                self.zones.setdefault(server.info.zone, []).append(server)
            sizes = {zone: sum(s.info.size for s in ring) for zone, ring in self.zones.items()}
            self.locality.update_endpoints(sizes, {zone: len(ring) for zone, ring in self.zones.items()})

    def _update_endpoint(self, now: float, info: Endpoint) -> None:
        """Rule 3: forget an endpoint that drains or is gone at once, without using its grace period."""
        if info.condition is not Condition.READY:
            self.servers.pop(info.id, None)
            return
        known = self.servers.get(info.id)
        if known is None or known.info.started_at != info.started_at:
            self.servers[info.id] = Server(info, now)
        else:
            known.info = info

    # Peers

    def evidence(self, now: float, named: set[int] | None = None) -> list[EndpointEvidence]:
        """What this instance's own calls show about each endpoint, for its peers; changes nothing.

        With `named`, only those endpoints and others with an unusual state. An endpoint that it ejected
        counts as failing: the outcomes that led to the ejection are past, and its record was reset halfway.
        """
        reports: list[EndpointEvidence] = []
        for server in self.ring:
            if named is not None and server.info.id not in named and self._unremarkable(now, server):
                continue
            unhealthy = server.connect_failures >= UNREACHABLE_AFTER or (
                now < server.ejected_until and not server.ejected_by_report
            )
            calls = max(
                server.served_rate(now) * SERVED_DECAY_MS, EJECTION_EVIDENCE_CALLS if unhealthy else 0.0
            )
            failure_rate, started_at = (
                1.0 if unhealthy else server.failure_rate,
                max(server.info.started_at, server.reachable_again_at),
            )
            reports.append(
                EndpointEvidence(
                    server.info.id, failure_rate, server.measured_slowness(now), calls, started_at
                )
            )
        return reports

    def _unremarkable(self, now: float, server: Server) -> bool:
        """Whether peers need no report of it: `millgw.peers.gossip.classify` would call it healthy."""
        return (
            server.failure_rate < OUTLIER_FAILURE_RATE
            and server.own_slowness < OUTLIER_MULTIPLE
            and server.connect_failures < UNREACHABLE_AFTER
            and now >= server.ejected_until
            and self.cold.capacity_share(server, now) >= 1.0
        )

    def _peer_reports(self, now: float, event: PeerReports) -> None:
        """Apply peers' reports, as far as they require more care than is taken already."""
        self.reported_siblings = event.siblings
        self.cold.siblings = max(self.settings.siblings, event.siblings)
        if self.admission is not None and self.admission.responses == 0:
            self.admission.per_endpoint = max(1.0, min(self.admission.per_endpoint, event.max_in_flight))
        for report in event.endpoints:
            server = self.servers.get(report.id)
            if server is not None:
                self._apply_report(now, server, report)

    def _apply_report(self, now: float, server: Server, report: EndpointEvidence) -> None:
        server.drain_reported_until = max(server.drain_reported_until, now + report.drain_valid_for)
        server.reachable_again_at = max(server.reachable_again_at, min(now, report.started_at))
        # Own calls outweigh a report; without any, an older report weighs less, as its `calls` decay.
        weight = report.calls / (report.calls + 1.0 + server.served_rate(now) * SERVED_DECAY_MS)
        slowness = 1.0 + (report.latency_ratio - 1.0) * weight
        if slowness > server.slowness(now):
            server.reported_slowness, server.reported_at = slowness, now
        if report.failure_rate * weight > OUTLIER_FAILURE_RATE:
            self.outliers.eject_on_report(
                now, server, report.failure_rate * weight, self.ring, self.caution_rng.random()
            )

    # Timers

    def _set_timer(self, at: float, request: int | None) -> None:
        self.next_timer += 1
        self.timers[self.next_timer] = request
        if request is not None:
            self.requests[request].timers.append(self.next_timer)
        self.actions.append(SetTimer(self.next_timer, at, request))

    def _subscribe(self, now: float) -> None:
        self.actions.append(Subscribe())
        self._set_timer(self.discovery.asked(now), None)

    def _timer_fired(self, now: float, timer: int) -> None:
        if timer not in self.timers:
            return
        id = self.timers.pop(timer)
        if id is None:
            if now + self.settings.tick >= self.discovery.next_call_at:
                self._subscribe(now)
            return
        request = self.requests.get(id)
        if request is None or any(a.pending for a in request.attempts):
            return
        if id not in self.held:
            self._start(now, request)
        elif now + self.settings.tick >= request.held_until:
            self._give_up(request, request.hold_reason)
