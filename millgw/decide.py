"""Every decision of millgw: where a call goes, whether it is tried again, when it is given up.

The types are in `millgw/interface.py`: settings, endpoints, events in, actions out. One `Balancer` is one
sidecar's view. It has no clock, does no I/O and shares nothing: same events, same actions.

Reading order: the constants; `Rules`, which alone says what may be sent or refused; `RetryBudget` and
`Backoff`, the source design; `Server`, `Outliers` and `ColdStart`, what is known of endpoints; `Admission`,
`Shedding` and `TenantShares`, who waits or is refused; `Freshness` (`millgw.policy`), for how long what is
known holds; `Balancer`, from `handle` down.
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
)
from millgw.policy.backoff import Backoff
from millgw.policy.freshness import Freshness

BUDGET_CAPACITY = 100.0  # tokens; the source's figure
RETRY_COST = 10.0  # tokens for a retry: one for every ten served calls at most; the source's figure
BACKOFF_BASE = 0.02  # of the class's aim: short against it, long against a hop
BACKOFF_CAP = 0.5  # of the class's aim: a longer wait leaves no time to be answered
BUFFER = 0.02  # of the class's aim, kept free before the deadline; see also BUFFER_TICKS
BUFFER_TICKS = 4  # an answer needs a few ticks to be handed over, whatever the aim
LEAST_SENT = 2.0  # calls in a window that all instances may send any cold endpoint: the slack for chance
COLD_HEADROOM = 0.8  # of the told multiple: the rest is for chance and uneven requests
RATE_MEMORY = 10_000.0  # ms over which what is usual is averaged: rates, calls in flight; longer than a burst
SERVED_MEMORY = 4000.0  # ms over which an endpoint's rate is: when others go, those that stay soon serve more
LOOK_AROUND = 1000.0  # ms between two passes over the list: what they tell changes slowly
QUICK_RISE = 0.1  # of a rise taken into a class's quick time: it follows its quickest tenth or so
UNDISTURBED_MOST = 0.4  # of the aim, that undisturbed answers are taken to need at the most
LATENCY_ROOM = 0.3  # of the room between undisturbed answers and the aim: what queueing may use up
LATENCY_ROOM_MOST = 0.5  # of that room, where the median is of few answers; shedding starts there too
NOISE = 1.6  # of that room for each part of the median that one answer decides
NORMAL_ROOM = 1.5  # times the usual number in flight that a limit always leaves: bursts are usual too
LATENCY_WEIGHT = 0.03  # of one answer in the running median: about the last thirty decide
LATENCY_MEMORY = 1.0  # aims in it at the most: with few calls of its own, an instance must not be slow to see
LATENCY_FEW = 0.4  # of one answer in it at the most: two or three decide, however few there are
STEADY_WEIGHT = 0.01  # the same for the undisturbed: a lowest value must not be one of chance
LIMIT_START = 5.0  # calls in flight for each endpoint, over all instances, before anything is learned
LIMIT_GROWTH = 0.2  # of a call an endpoint for an answer, at most: an instance of many must not overshoot
LIMIT_CUT = 0.5  # of the limit kept at the least, however late the answers
LEAST_RATIO = 0.001  # keeps medians off zero, where no step leaves, and zeros in settings out of quotients
LIMIT_USED = 0.8  # of the limit in use before it may grow: an unused one proves nothing
HEALTH_WEIGHT = 0.2  # of one outcome in an endpoint's record: the last five decide
JUDGED_BY = 5.0  # calls that an ejected endpoint was judged by
SLOW_WEIGHT = 0.1  # of one answer's time in it: times scatter more than failures, so the last ten decide
SLOW_PEER = 0.25  # of the warm peers are quicker than the one that slowness is measured against
HEALTH_MEMORY = 5000.0  # ms after which an endpoint's slowness is mostly forgotten
SLOW_LEAST, SLOW_MOST = 0.5, 3.0  # between which slowness counts as load: own calls in flight decide first
TIE_SLOWER = 1.05  # times as slow as the other: less does not decide a tie, or it would starve one
OUTLIER_FAILING = 0.4  # share of calls failing from which an endpoint may be an outlier
OUTLIER_MULTIPLE = 2.0  # times as bad as its peers: less is chance or the whole tier's trouble
EJECT_TIME = 4000.0  # ms of the first ejection, time to empty and to recover
EJECT_JITTER = 0.5  # of its time, at the least: instances that eject together return at different times
EJECT_SHARE = 1 / 3  # of the endpoints at most: when more look ill, the trouble is not theirs
LOST_AFTER = 2  # connections in a row that did not come up, from which a machine is held to be gone
BUSY = 3.0  # calls in flight times slowness, over which the next zone is looked at as well
HOME_LEAST = 3  # endpoints an instance always draws from: two to compare and one to go elsewhere
SHED_RATE = 1.0  # of all work, by which shedding rises in an aim's time when half the answers are late
SHED_MOST = 0.95  # of the work shed at the most: some answers must come, or nothing is learned
ORDER_STEP = 0x9E3779B1  # odd, so that a product scatters ids and no two meet
SHARE_BURST = 1000.0  # ms of a tenant's rate that may come at once and still be within its share
PROBE_AHEAD = 200.0  # ms before the list may be over, from which endpoints are probed: an answer takes less
PROBE_EVERY = 500.0  # ms between two probes of one endpoint, at the least
PROBE_HOLDS = 2000.0  # ms for which one that was answered well tells for its endpoint
HOLD_PART = 0.1  # of the aim that a request waits for room: a refused client needs the rest for another try
PAIR_PART = 0.5  # of tokens and cold endpoints' allowances for each of two processes of one sidecar


def scatter(id: int, group: int) -> int:
    """Order ids as if by chance, each group in its own way, the same in every process."""
    mixed = id * (2 * group + 1) * ORDER_STEP % 2**32
    return (mixed ^ mixed >> 15) * ORDER_STEP % 2**32


class Attempt:
    """One attempt of a request: where it went, and whether it is out or proven not to have run."""

    __slots__ = ("cell", "cls", "never_ran", "out", "sent", "server", "zone")

    def __init__(self, server: Server, cls: int, now: float) -> None:
        self.server = server
        self.cell, self.zone = server.info.cell, server.info.zone  # as they were: who knows of it is of these
        self.cls = cls
        self.sent = now
        self.out = True
        self.never_ran = False


class Request:
    """A request that is owed an answer, and the attempts made for it so far."""

    def __init__(self, event: RequestArrived, cls: RequestClass, now: float, end: float) -> None:
        self.id = event.request
        self.index = event.cls
        self.cls = cls
        self.tenant = event.tenant
        self.arrived = now
        self.end = end
        self.give_up = end
        self.attempts: list[Attempt] = []
        self.timers: list[int] = []
        self.wait = 0.0
        self.within_share = True
        self.partial = event.partial
        self.body_gone = False
        self.lacks = GivenUp.NO_ROOM  # what it waits for while it is held
        self.value = cls.worth  # for each ms of its class's quick answers


class Rules:
    """Rule 2: the only place that says whether a request may be sent or refused."""

    def __init__(self, settings: Settings) -> None:
        self.max_attempts = settings.max_attempts
        self.concurrent = settings.concurrent_attempts
        self.margin = settings.tick

    def may_try(self, request: Request, now: float) -> bool:
        """Whether any endpoint could be sent this request now."""
        if len(request.attempts) >= self.max_attempts or now >= request.end or request.body_gone:
            return False
        if not self.concurrent and any(a.out for a in request.attempts):
            return False
        return now <= self.until(request)

    def until(self, request: Request) -> float:
        """When (ms) the last byte of a further attempt must have left; never, if it may not run again."""
        ran = [a for a in request.attempts if not a.never_ran]
        if not ran or request.cls.repeat is Repeat.SAFE:
            return math.inf
        if request.cls.repeat is not Repeat.KEYED:
            return -math.inf
        return ran[0].sent + request.cls.window - self.margin

    @staticmethod
    def may_go_to(request: Request, endpoint: Endpoint) -> bool:
        """Whether this endpoint is in the group that drops a repeat of the request."""
        if request.cls.repeat is not Repeat.KEYED or request.cls.scope is Scope.ALL:
            return True
        by_zone = request.cls.scope is Scope.ZONE
        return all(
            a.zone == endpoint.zone if by_zone else a.cell == endpoint.cell
            for a in request.attempts
            if not a.never_ran
        )

    @staticmethod
    def may_refuse(request: Request) -> bool:
        """Whether the client may be promised that trying again is safe."""
        if request.cls.repeat is Repeat.SAFE or all(a.never_ran for a in request.attempts):
            return True
        return request.cls.repeat is Repeat.KEYED and request.cls.scope is Scope.ALL


class RetryBudget:
    """Token bucket: served calls earn, retries spend; it runs dry when failures are the rule."""

    def __init__(self) -> None:
        self.tokens = RETRY_COST  # not full: hundreds of copies, or a wave of restarts, would add up

    def earn(self) -> None:
        self.tokens = min(BUDGET_CAPACITY, self.tokens + 1)

    def spend(self) -> bool:
        if self.tokens < RETRY_COST:
            return False
        self.tokens -= RETRY_COST
        return True


class Server:
    """One endpoint as this instance knows it."""

    def __init__(self, info: Endpoint, now: float) -> None:
        self.info = info
        self.out: dict[Attempt, None] = {}
        self.slow = 1.0
        self.judged_at = now
        self.failing = 0.0
        self.ejected_until = -math.inf
        self.served = 0.0
        self.served_at = now
        self.allowance = 1.0
        self.allowed_at = now
        self.ramped = False  # whether its allowance has begun as that of a cold endpoint
        self.missed = 0
        self.back = 0.0
        self.rejoined = 0.0  # when its zone, which was lost, came back
        # The count of discovery's words when it turned a call away or was not well, and that was not heard.
        self.turned_away_after = -1
        self.probed_at = -math.inf  # when it was last asked for its health
        self.well_at = -math.inf  # when the last probe was sent that it answered well
        # What siblings tell stands apart from its own record: else it would be told on as seen.
        self.drains_until = -math.inf
        self.heard_slow = 1.0
        self.heard_at = now
        self.hearsay = False  # whether it is ejected for what siblings told

    def note(self, now: float, outcome: Outcome) -> None:
        """Take what an outcome tells of the machine: one that was out of reach may come back cold."""
        if outcome is Outcome.CONNECT_FAILED:
            self.missed += 1
            return
        if self.missed >= LOST_AFTER:
            self.back = now
        self.missed = 0

    def started(self, now: float) -> float:
        """When it last started, as told or as seen; a machine that is out of reach has yet to."""
        return now if self.missed >= LOST_AFTER else max(self.info.started_at, self.back, self.rejoined)

    def slowness(self, now: float) -> float:
        """The recent time of its calls against the usual; what is old fades to 'usual'."""
        own = self.seen_slowness(now)
        if self.heard_slow <= 1.0:
            return own
        return max(own, 1.0 + (self.heard_slow - 1.0) * math.exp((self.heard_at - now) / HEALTH_MEMORY))

    def seen_slowness(self, now: float) -> float:
        """The same by its own calls alone."""
        return 1.0 + (self.slow - 1.0) * math.exp((self.judged_at - now) / HEALTH_MEMORY)

    def count_served(self, now: float) -> None:
        self.served = self.served_rate(now) * SERVED_MEMORY + 1
        self.served_at = now

    def served_rate(self, now: float) -> float:
        """Calls served per ms, averaged with a fading memory."""
        return self.served * math.exp((self.served_at - now) / SERVED_MEMORY) / SERVED_MEMORY


class Outliers:
    """Ejects endpoints that are far worse than their peers, for a while, and never many of them.

    One that errors at once would win draws by its empty in-flight count, and its failures spend the tokens
    of all; one that was crowded until it became slow needs rest. After its time it is drawn again like any
    other, its record halfway back, so that a few more bad outcomes send it away again.
    """

    def __init__(self, rng: random.Random, cold: ColdStart) -> None:
        self.rng = rng
        self.cold = cold

    @staticmethod
    def record(now: float, server: Server, failed: bool, slowness: float) -> None:
        """Take one outcome; `slowness` is its time against the usual one of its class."""
        server.failing += HEALTH_WEIGHT * (failed - server.failing)
        if not failed or slowness > server.slow:
            server.slow += SLOW_WEIGHT * (slowness - server.slow)
            server.judged_at = now

    @staticmethod
    def _staying(now: float, server: Server, ring: list[Server]) -> list[Server]:
        """The peers that are left if this one is ejected; none where it is already, or may not be."""
        peers = [s for s in ring if s is not server and now >= s.ejected_until]
        few = len(ring) - len(peers) >= EJECT_SHARE * len(ring)
        return [] if few or now < server.ejected_until else peers

    def judge(self, now: float, server: Server, ring: list[Server]) -> None:
        if server.failing <= OUTLIER_FAILING and server.slow <= 1.0:
            return
        peers = self._staying(now, server, ring)
        if not peers:
            return
        failing = sum(s.failing for s in peers) / len(peers)
        # The quicker peers: when most of a tier has slowed down from crowding, their mean would leave none
        # any rest. Warm ones: of a cold one only the least share is known, so it looks quicker than it is.
        warm = [s for s in peers if self.cold.share(s, now) >= 1.0]
        quicker = sum(server.slow > OUTLIER_MULTIPLE * s.slow for s in warm)
        if server.failing > max(OUTLIER_FAILING, OUTLIER_MULTIPLE * failing) or (
            quicker > int(SLOW_PEER * len(warm))
        ):
            server.ejected_until = now + EJECT_TIME * (EJECT_JITTER + self.rng.random())
            server.hearsay = False
            server.failing = OUTLIER_FAILING / 2
            server.slow = OUTLIER_MULTIPLE / 2

    def heed(self, now: float, server: Server, failing: float, ring: list[Server], jitter: float) -> None:
        """Eject on siblings' word: as for own calls, but its own record stays what it is."""
        peers = self._staying(now, server, ring)
        if not peers:
            return
        if failing > max(OUTLIER_FAILING, OUTLIER_MULTIPLE * sum(s.failing for s in peers) / len(peers)):
            server.ejected_until = now + EJECT_TIME * (EJECT_JITTER + jitter)
            server.hearsay = True


class ColdStart:
    """Rule 4: an instance sends a cold endpoint its fair part and no more.

    All instances together serve a warm endpoint no more than it can do, so what this one sees a warm
    endpoint serve is its fair part of a capacity. A cold one is sent that rate times the share it is sure
    to have by now, times most of the multiple at which it would fall over (COLD_HEADROOM).

    One that could not be reached counts as cold as well, until it answers and then by its time: discovery may
    be down, or not know yet that its machine was gone and is back.

    Each instance begins with a random part of a call: a whole one each would add up over all instances to
    more than the endpoint can do, where they learn of its start at once. Before any rate is known, all
    together send LEAST_SENT in a window, which an endpoint of any size stands.
    """

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.siblings = settings.siblings
        self.rates: dict[int | None, float] = {None: 0.0}  # by zone as well, where zones are told apart
        self.part = 1.0  # of this sidecar's allowances that are this process's

    def share(self, server: Server, now: float) -> float:
        """The part of its capacity that an endpoint is sure to have by now."""
        s, since = self.settings, server.started(now)
        if since <= 0 or s.cold_time <= 0 or now >= since + s.cold_time:
            return 1.0
        return s.cold_share + (1 - s.cold_share) * max(0.0, now - since) / s.cold_time

    def learn(self, servers: list[Server], now: float, zone: int | None = None) -> None:
        """Take the rate from warm endpoints in use only; with none left the last one seen holds."""
        warm = [s for s in servers if now >= s.ejected_until and self.share(s, now) >= 1.0]
        size = sum(s.info.size for s in warm)
        if size > 0:
            self.rates[zone] = sum(s.served_rate(now) for s in warm) / size

    def admits(self, server: Server, now: float) -> bool:
        s, share = self.settings, self.share(server, now)
        if share >= 1.0 or s.fall_window <= 0:
            # Otherwise what was sent while it was warm would count against it once it is cold.
            server.allowance, server.allowed_at, server.ramped = 1.0, now, False
            return True
        if not server.ramped and server.missed < LOST_AFTER and self.siblings > LEAST_SENT:
            server.ramped = True
            server.allowance = min(server.allowance, self.rng.random())
        least = LEAST_SENT / (self.siblings * s.fall_window)
        rate = self.rates.get(server.info.zone, self.rates[None]) * server.info.size
        rate = rate * share * s.fall_multiple * COLD_HEADROOM
        rate = max(least, rate) * self.part
        most = max(1.0, rate * s.fall_window * COLD_HEADROOM)
        server.allowance = min(most, server.allowance + rate * (now - server.allowed_at))
        server.allowed_at = now
        return server.allowance >= 1.0


class Admission:
    """Learned limit on calls in flight for each endpoint this instance may count on, at the first tier only.

    Beyond some number in flight servers only answer later, then too late, then slow down for long. The limit
    grows while answers come well within their aim and is cut when they don't.
    """

    def __init__(self) -> None:
        self.each = LIMIT_START
        self.units = 1.0
        self.normal = 0.0
        self.late = 0.0
        self.steady = 0.0
        self.noise = LATENCY_WEIGHT
        self.undisturbed = UNDISTURBED_MOST
        self.answers = 0
        self.settled = 0.0
        self.at = 0.0

    @property
    def limit(self) -> float:
        """Calls that this instance may have in flight: its part of whole ones for each endpoint."""
        # The root guards against refusing by chance: of many instances, one's ups are another's downs.
        part = self.cap(1.0) * self.units
        return max(1.0, part + math.sqrt(part))

    def cap(self, share: float) -> int:
        """The most calls in flight for one endpoint: whole ones, as an endpoint with one slot needs."""
        return max(1, int(self.each * share))

    def target(self) -> float:
        """What the median may be: the fewer answers it rests on, the more of its rises are chance."""
        room = min(LATENCY_ROOM_MOST, max(LATENCY_ROOM, NOISE * self.noise))
        return self.undisturbed + room * (1.0 - self.undisturbed)

    def _toward(self, median: float, ratio: float, weight: float) -> float:
        """One step of a running median."""
        step = 1 + max(weight, 1.0 / self.answers)
        if self.answers == 1:
            return ratio
        return min(median * step, 1.0) if ratio > median else median / step

    def learn(self, now: float, elapsed: float, aim: float, inflight: int) -> None:
        """Take one answer's time against its aim: a running median, which a few slow endpoints can't move."""
        self.answers += 1
        ratio = max(elapsed / aim, LEAST_RATIO)
        recent = min(LATENCY_FEW, 1.0 - math.exp((self.at - now) / (LATENCY_MEMORY * aim)))
        self.late = self._toward(self.late, ratio, max(LATENCY_WEIGHT, recent))
        self.noise += max(STEADY_WEIGHT, 1.0 / self.answers) * (recent - self.noise)
        self.steady = self._toward(self.steady, ratio, STEADY_WEIGHT)
        if self.answers * LATENCY_WEIGHT >= 1.0:
            self.undisturbed = min(self.steady, self.undisturbed)
        target = self.target()
        weight = max(1.0 / self.answers, 1.0 - math.exp((self.at - now) / RATE_MEMORY))
        self.at = now
        if self.late > target:
            self.normal -= weight * self.normal  # a burst may use its room, a jam that lasts may not keep it
            if now >= self.settled:
                used = min(self.each, inflight / self.units)
                self.each = max(1.0, NORMAL_ROOM * self.normal, used * max(LIMIT_CUT, target / self.late))
                self.settled = now + self.late * aim
            return
        if inflight < self.limit:
            self.normal += weight * (inflight / self.units - self.normal)
        if inflight >= LIMIT_USED * self.each * self.units:
            self.each += min(LIMIT_GROWTH, 1.0 / self.units) * (1.0 - self.late / target)


class Shedding:
    """Refuses a learned part of the work on arrival, the least worthy for its work first; first tier only.

    Under overload at full size, with a call or two for each instance, there is no queue from which the
    worthier could go first, and what is admitted must still be answered in time.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.level = 0.0
        self.at = math.inf
        self.demand: dict[tuple[int, bool], float] = {}
        self.value: dict[tuple[int, bool], float] = {}
        self.seen = 0.0

    def learn(self, now: float, admission: Admission, aim: float) -> None:
        """Follow the median answer: the level rises when it is nearer to the aim than to the undisturbed."""
        passed = min(1.0, max(0.0, now - self.at) / aim)
        self.at = now
        room = LATENCY_ROOM_MOST * (1.0 - admission.undisturbed)
        rise = SHED_RATE * passed * (admission.late - admission.undisturbed - room) / room
        self.level = min(SHED_MOST, max(0.0, self.level + rise))

    def refuses(self, now: float, request: Request, work: float) -> bool:
        """Whether a request of this worth for its work is in the part that is shed now."""
        fade = math.exp((self.seen - now) / RATE_MEMORY)
        self.seen = now
        for other in self.demand:
            self.demand[other] *= fade
        kind = (request.index, request.within_share)
        self.demand[kind] = self.demand.get(kind, 0.0) + work
        self.value[kind] = request.value
        below = sum(w for k, w in self.demand.items() if self.value[k] < request.value)
        over = self.level * sum(self.demand.values()) - below
        return self.rng.random() * self.demand[kind] < min(over, SHED_MOST * self.demand[kind])


class TenantShares:
    """Tells which requests are within their tenant's share: a token bucket for each tenant.

    What a tenant that floods sends beyond its share is worth little and yields first. A request that ends
    unserved gives its token back, so that clients' retries don't use up the share.
    """

    def __init__(self, settings: Settings) -> None:
        self.tokens: list[float] = []
        self.at = 0.0
        self.reconfigure(settings)

    def reconfigure(self, settings: Settings) -> None:
        """Go by other rates; the tokens of tenants that were there before stay."""
        self.rates = [t.rate / 1000 / settings.siblings for t in settings.tenants]
        self.most = [max(1.0, rate * SHARE_BURST) for rate in self.rates]
        self.tokens += self.most[len(self.tokens) :]

    def give_back(self, tenant: int) -> None:
        if tenant < len(self.rates):
            self.tokens[tenant] += 1.0

    def take(self, now: float, tenant: int) -> bool:
        if tenant >= len(self.rates) or self.rates[tenant] <= 0:
            return True
        for i, rate in enumerate(self.rates):
            self.tokens[i] = min(self.most[i], self.tokens[i] + rate * (now - self.at))
        self.at = now
        within = self.tokens[tenant] >= 1.0
        if within:
            self.tokens[tenant] -= 1.0
        return within


class Balancer:
    """One sidecar's decisions: `handle` takes an event and returns the actions, in order."""

    def __init__(self, settings: Settings, seed: int, locality: Locality | None = None) -> None:
        self.settings = settings
        self.locality = locality
        self.zones: dict[int, list[Server]] = {}  # the ring by zone, where there is a locality
        self.rng = random.Random(seed)
        self.rules = Rules(settings)
        self.budget = RetryBudget()
        self.budgets: dict[int, RetryBudget] = {}  # by zone: one that fails does not spend the others'
        self.backoff = Backoff(self.rng)
        self.advice = Backoff(random.Random(seed + 1))  # its own: advice must not change what is picked
        self.doubts = random.Random(seed + 2)
        self.cold = ColdStart(settings, self.doubts)
        self.outliers = Outliers(self.rng, self.cold)
        self.discovery = Freshness(settings, self.rng)
        self.servers: dict[int, Server] = {}
        self.ring: list[Server] = []
        self.requests: dict[int, Request] = {}
        self.flights: dict[tuple[int, int], Attempt] = {}
        self.coming: dict[tuple[int, int], Attempt] = {}  # the same, of requests that are partial
        self.admission = Admission() if settings.stage == 0 else None
        self.shedding = Shedding(self.rng)
        self.shares = TenantShares(settings) if settings.stage == 0 else None
        self.spent = [c.aim for c in settings.classes]
        self.quick, self.answered = list(self.spent), [0] * len(settings.classes)
        self.held: dict[int, Request] = {}
        self.heard_siblings = 1
        self.looked = 0.0
        self.timers: dict[int, int | None] = {}
        self.next_timer = 0
        self.started = False
        self.probes = 0
        self.looks_at_stale = 0  # for an endpoint, while the list may be over
        self.found_stale = False  # whether the last look was such a one
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
            self._whole(event)
        elif isinstance(event, BodyDiscarded):
            if event.request in self.requests:
                self.requests[event.request].body_gone = True
        elif isinstance(event, TimerFired):
            self._timer(now, event.timer)
        elif isinstance(event, EndpointList):
            self._list(now, event)
        elif isinstance(event, PeerReports):
            self._hear(now, event)
        elif isinstance(event, ProbeEnded):
            self._probe_ended(now, event)
        elif isinstance(event, RequestAborted | ResponseStarted):
            self._drop(event.request)
        return self.actions

    # Other settings

    def reconfigure(self, now: float, settings: Settings) -> list[Action]:
        """Go by other settings from now on; what was learned stays, and requests keep the class they came in.

        Classes are numbered by position, so they stay as many, and tenants may only be added at the end. A
        ValueError names what takes a new balancer; nothing has changed then.
        """
        self.actions, before = [], self.settings
        for field, fits in (
            ("classes", len(settings.classes) == len(before.classes)),
            ("tenants", len(settings.tenants) >= len(before.tenants)),
            ("stage", settings.stage == before.stage),
            ("ask_discovery", settings.ask_discovery == before.ask_discovery),
        ):
            if not fits:
                raise ValueError(f"Settings.{field} can't be changed in service")
        if settings == before:
            return self.actions
        self.settings = self.cold.settings = settings
        self.cold.siblings = max(settings.siblings, self.heard_siblings)
        self.rules = Rules(settings)
        self.discovery.reconfigure(settings)
        if self.shares is not None:
            self.shares.reconfigure(settings)
        for cls, answered in enumerate(self.answered):
            if not answered:
                self.quick[cls] = self.spent[cls] = settings.classes[cls].aim
        self._arrange()
        self._look_around(now)
        self._serve_held(now)
        return self.actions

    # Two processes of one sidecar

    def follow(self) -> None:
        """Another process of this sidecar serves still. To be called before the first event.

        Discovery is asked at once: a process that is replaced starts alone, in no crowd.
        """
        self.discovery.crowd = 0.0
        self.pair(True)

    def pair(self, both: bool) -> None:
        """Whether cold endpoints' allowances are shared with another process of this sidecar."""
        self.cold.part = PAIR_PART if both else 1.0

    # Requests

    def _arrived(self, now: float, event: RequestArrived) -> None:
        if event.request in self.requests:
            return
        cls = self.settings.classes[event.cls]
        request = Request(event, cls, now, event.deadline - self._buffer(cls))
        self.requests[event.request] = request
        if self.shares is not None:
            request.within_share = self.shares.take(now, event.tenant)
            work = max(self.quick[event.cls], 1.0)
            worth = cls.worth * (1.0 if request.within_share else self.settings.over_share_worth)
            request.value = worth / work
            if self.shedding.refuses(now, request, work):
                self._end(request, GivenUp.SHED)
                return
        self._start(now, request)

    def _buffer(self, cls: RequestClass) -> float:
        return max(BUFFER * cls.aim, BUFFER_TICKS * self.settings.tick)

    def _whole(self, event: RequestBodyComplete) -> None:
        """What was partial becomes work, and has a deadline from now on."""
        request = self.requests.get(event.request)
        if request is None:
            return
        request.partial = False
        request.end = event.deadline - self._buffer(request.cls)
        for number, attempt in enumerate(request.attempts):
            if self.coming.pop((request.id, number), None) is not None:
                self.flights[(request.id, number)] = attempt
                attempt.server.out[attempt] = None

    def _attempt_ended(self, now: float, event: AttemptEnded) -> None:
        key = (event.request, event.attempt)
        attempt = self.flights.pop(key, None) or self.coming.pop(key, None)
        if attempt is None:
            return
        attempt.out = False
        attempt.never_ran = event.outcome in NO_EFFECT_OUTCOMES
        attempt.server.out.pop(attempt, None)
        self._learn(now, attempt, event)
        if self.locality is not None and self.locality.attempt_ended(
            now, key, attempt.zone, attempt.cls, event.outcome, event.elapsed, self.spent[attempt.cls]
        ):
            # All endpoints of the zone may have restarted while it was away.
            for server in self.zones.get(attempt.zone, ()):
                server.rejoined = now
        request = self.requests.get(event.request)
        if request is not None:
            if event.request_finished or event.outcome is Outcome.OK:
                self._drop(event.request)
            elif not any(a.out for a in request.attempts):
                self._retry_or_end(now, request)
        self._serve_held(now)

    def _learn(self, now: float, attempt: Attempt, event: AttemptEnded) -> None:
        aim = max(self.settings.classes[attempt.cls].aim, self.settings.tick, LEAST_RATIO)
        elapsed = event.elapsed
        if event.outcome is Outcome.OK:
            self._budget(attempt).earn()
            attempt.server.count_served(now)
            self._learn_times(attempt.cls, elapsed)
        else:
            elapsed = max(elapsed, aim)
        if event.outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT):
            attempt.server.note(now, event.outcome)
            if event.outcome is Outcome.REJECTED and self.discovery.disconnected():
                attempt.server.turned_away_after = self.discovery.words
            if attempt.server.missed >= LOST_AFTER:
                # Tried once after each such time, and not at every chance: each try costs a call its wait.
                attempt.server.ejected_until = now + EJECT_TIME * (EJECT_JITTER + self.rng.random())
                attempt.server.hearsay = False
            failed = event.outcome is not Outcome.OK
            slowness = event.elapsed / max(self.spent[attempt.cls], 1.0)
            slowness *= self.cold.share(attempt.server, now)
            self.outliers.record(now, attempt.server, failed, slowness)
            self.outliers.judge(now, attempt.server, self._peers(attempt.server))
        if self.admission is not None and event.outcome is not Outcome.CANCELLED:
            self.admission.learn(now, elapsed, aim, len(self.flights) + 1)
            self.shedding.learn(now, self.admission, aim)

    def _peers(self, server: Server) -> list[Server]:
        """Whom an endpoint is held against: those of its zone, as a zone's own trouble is none of theirs."""
        peers = self.zones.get(server.info.zone, self.ring)
        return peers if len(peers) >= HOME_LEAST else self.ring

    def _budget(self, attempt: Attempt) -> RetryBudget:
        """The tokens that an attempt earns, or a retry after it spends."""
        if self.locality is None:
            return self.budget
        return self.budgets.setdefault(attempt.zone, RetryBudget())

    def _learn_times(self, cls: int, elapsed: float) -> None:
        self.answered[cls] += 1
        step = max(LATENCY_WEIGHT, 1.0 / self.answered[cls])
        self.spent[cls] += step * (elapsed - self.spent[cls])
        rising = elapsed > self.quick[cls] and self.answered[cls] > 1
        self.quick[cls] += step * (QUICK_RISE if rising else 1.0) * (elapsed - self.quick[cls])

    def _look_around(self, now: float) -> None:
        """The passes over the list, now and then only: what serves, and this instance's part of it."""
        self.looked = now
        self.cold.learn(self.ring[: self._home()], now)
        if self.locality is not None:
            self._look_at_zones(now, self.locality)
        if self.admission is not None:
            shares = [self.cold.share(s, now) for s in self.ring if now >= s.ejected_until]
            self.admission.units = max(1.0, sum(shares)) / self.settings.siblings

    def _look_at_zones(self, now: float, locality: Locality) -> None:
        ready: dict[int, float] = {}
        for zone, ring in self.zones.items():
            self.cold.learn(ring[: self._home()], now, zone)
            there = [s for s in ring if now >= s.ejected_until]
            ready[zone] = sum(s.info.size * self.cold.share(s, now) for s in there)
        locality.update_capacity(now, ready)

    def _retry_or_end(self, now: float, request: Request) -> None:
        """The source's loop: an attempt limit, a token, a jittered wait, and the deadline."""
        aim = request.cls.aim
        wait = self.backoff.next(request.wait, BACKOFF_BASE * aim, BACKOFF_CAP * aim)
        wait = min(wait, request.end - now)
        budget = self._budget(request.attempts[-1])
        if wait <= 0:
            self._end(request, GivenUp.NO_TIME)
        elif not self.rules.may_try(request, now + wait):
            self._end(request, GivenUp.NO_REPEAT)
        elif not budget.spend():
            self._end(request, GivenUp.NO_TOKENS)
        else:
            self._wait(now, request, wait)

    def _wait(self, now: float, request: Request, wait: float) -> None:
        request.wait = wait
        self._set_timer(now + wait, request.id)

    def _start(self, now: float, request: Request) -> None:
        """Send the request, a new one or one whose wait is over; hold it if it can't go now."""
        if not self.rules.may_try(request, now):
            self._end(request, self._barred(request, now))
        elif not self._try_send(now, request):
            self._hold(now, request)

    @staticmethod
    def _barred(request: Request, now: float) -> GivenUp:
        return GivenUp.NO_TIME if now >= request.end else GivenUp.NO_REPEAT

    def _try_send(self, now: float, request: Request) -> bool:
        # What is partial is no work yet: whether there is room for it shows when it is whole.
        self.found_stale = False
        server = self._pick(now, request) if request.partial or self._admits() else None
        if server is not None:
            self._send(now, request, server)
        request.lacks = GivenUp.STALE if self.found_stale else GivenUp.NO_ROOM
        return server is not None

    def _hold(self, now: float, request: Request) -> None:
        # After a late refusal the client tries again, is served too late, and takes the place of one that
        # could have been served in time.
        spare = HOLD_PART * request.cls.aim if self.admission is not None else math.inf
        request.give_up = min(request.arrived + spare, request.end)
        self.held[request.id] = request
        self._set_timer(request.give_up, request.id)

    def _admits(self) -> bool:
        return self.admission is None or len(self.flights) < self.admission.limit

    def _send(self, now: float, request: Request, server: Server) -> None:
        self.held.pop(request.id, None)
        attempt = Attempt(server, request.index, now)
        key = (request.id, len(request.attempts))
        if request.partial:
            # Otherwise bodies that take a minute would fill the limit on calls in flight.
            self.coming[key] = attempt
        else:
            self.flights[key] = attempt
            server.out[attempt] = None
            if self.locality is not None:
                self.locality.attempt_sent(now, key, attempt.zone, server.info.id, self.spent[request.index])
        # Its handshake may be late: by then nothing may prove any more that the endpoint does not drain.
        until = min(self.rules.until(request), self._usable_until(server))
        request.attempts.append(attempt)
        server.allowance -= 1
        self.actions.append(Send(request.id, server.info.id, until))

    def _serve_held(self, now: float) -> None:
        """Send what is held while there is room: the worthiest first.

        Of equals the newest, as under overload the oldest would be answered just too late, one by one.
        """
        if not self.held or not self._admits():
            return
        stuck = False
        for request in sorted(reversed(self.held.values()), key=lambda r: r.value, reverse=True):
            if not self.rules.may_try(request, now):
                self._end(request, self._barred(request, now))
            elif self._admits() and (request.attempts or not stuck) and not self._try_send(now, request):
                # Otherwise each one held would cost a pass over all endpoints: where one that may go anywhere
                # found none ready, the others find none either.
                stuck = stuck or not request.attempts

    def _end(self, request: Request, why: GivenUp) -> None:
        if self.shares is not None and request.within_share:
            self.shares.give_back(request.tenant)
        if self.rules.may_refuse(request):
            self.actions.append(Refuse(request.id, why, self._advice(request.cls)))
        else:
            self.actions.append(Fail(request.id, why))
        self._drop(request.id)

    def _advice(self, cls: RequestClass) -> float:
        """When a refused client may come back: jittered as our own waits, and longer the more is shed.

        Otherwise all that are refused would come back at once. An answer is never held back for it.
        """
        cap = BACKOFF_CAP * cls.aim
        wait = self.advice.next(self.shedding.level * cap, BACKOFF_BASE * cls.aim, cap)
        return min(wait, self.settings.retry_after_most)

    def _drop(self, id: int) -> None:
        request = self.requests.pop(id, None)
        self.held.pop(id, None)
        for timer in request.timers if request is not None else ():
            self.timers.pop(timer, None)

    # Picking

    def _pick(self, now: float, request: Request) -> Server | None:
        """The less loaded of two random ready endpoints; a retry goes elsewhere if it can."""
        if now >= self.looked + LOOK_AROUND:
            self._look_around(now)
        tried = {a.server.info.id for a in request.attempts}
        ring = self.ring
        if self.locality is not None:
            server = self._pick_by_zone(now, request, tried, self.locality)
            if server is not None:
                return server
            ring = [s for s in ring if self.locality.allows(request.index, s.info.zone)]
        ready = self._ready(now, request, ring, tried)
        if not ready and tried:
            ready = self._ready(now, request, ring, set())
        return self._less_loaded(now, ready)

    def _less_loaded(self, now: float, ready: list[Server]) -> Server | None:
        """The less loaded of two random ones."""
        if len(ready) < 2:
            return ready[0] if ready else None
        a, b = self.rng.sample(ready, 2)
        if a.missed >= LOST_AFTER or b.missed >= LOST_AFTER:
            # Otherwise an endpoint that is back might never be seen to be: where few calls are in flight, it
            # would lose every draw as a cold one. Its time away and cold allowance bound such tries.
            return a if a.missed >= LOST_AFTER else b
        load_a, load_b = self._load(a, now), self._load(b, now)
        if load_a == load_b:
            # An instance with few calls sees mostly zeros, which tell nothing.
            return b if a.slowness(now) > TIE_SLOWER * b.slowness(now) else a
        return a if load_a < load_b else b

    def _pick_by_zone(
        self, now: float, request: Request, tried: set[int], locality: Locality
    ) -> Server | None:
        """One of the first zone that has some ready, or of the next if that one is far more loaded."""
        zones, safe = [a.zone for a in request.attempts], request.cls.repeat is Repeat.SAFE
        order = locality.zone_order(now, request.index, zones, request.end - now, safe)
        for lost in locality.newly_lost():
            self.actions.append(CloseConnections(tuple(s.info.id for s in self.zones.get(lost, ()))))
        first: Server | None = None
        for zone in order:
            well = zone != locality.probed_zone()
            server = self._less_loaded(now, self._ready(now, request, self.zones.get(zone, []), tried, well))
            if server is None:
                continue
            if first is not None:
                handicap = locality.handicap(first.info.zone, zone)
                return server if self._load(first, now) > handicap * self._load(server, now) else first
            first = server
            if not well or (len(server.out) + 1) * server.slowness(now) <= BUSY:
                return server
        return first

    def _home(self) -> int:
        """How many endpoints to draw from: with few calls of its own, an instance keeps to its part of them.

        Otherwise many instances with a call or two each would all see zeros, which tell nothing, and meet on
        the same endpoint. On its own part an instance's counts are nearly the whole truth, and
        it soon notices one that stalls. With a call in flight for each endpoint, it draws from all.
        """
        part = -(-len(self.ring) // self.settings.siblings)
        return max(HOME_LEAST, part, len(self.flights) + 1)

    def _ready(
        self, now: float, request: Request, ring: list[Server], without: set[int], well: bool = False
    ) -> list[Server]:
        """The first healthy endpoints of a ring, as many as to draw from; else ill ones, if those will do.

        None that may count as drained by now: the request waits for word of discovery, or is given up.
        """
        healthy: list[Server] = []
        ill: list[Server] = []
        seen, most, stale = 0, self._home(), 0
        fresh = self.discovery.fresh_until()
        probing = self.settings.probing and fresh - PROBE_AHEAD <= now <= self.discovery.assumed_down_until()
        asked = 0  # endpoints that are probed, or were and are well: as many as to draw from
        for server in ring:
            if server.info.id in without or not self.rules.may_go_to(request, server.info):
                continue
            if now < server.drains_until or self._may_drain(server):
                continue
            if not self.cold.admits(server, now):
                continue
            if probing and asked < most:
                asked += 1
                self._probe(now, server)
            if now > fresh and now > self._usable_until(server):
                stale += 1
                continue
            if now < server.ejected_until:
                ill.append(server)
                continue
            seen += 1
            if not self._full(server, now):
                healthy.append(server)
            if seen >= most and healthy:
                break
        if healthy or well:
            return healthy
        if not ill and stale:
            self.found_stale = True
            self.looks_at_stale += 1
        return ill

    def _usable_until(self, server: Server) -> float:
        """Until when an endpoint may be sent to: can't count as drained by then, or discovery seems down."""
        fresh = self.discovery.fresh_until()
        if not self.settings.probing:
            return fresh
        return max(fresh, min(self.discovery.assumed_down_until(), server.well_at + PROBE_HOLDS))

    def _probe(self, now: float, server: Server) -> None:
        """Ask an endpoint for its health ahead of need."""
        if now >= server.probed_at + PROBE_EVERY and now + PROBE_AHEAD >= server.well_at + PROBE_HOLDS:
            server.probed_at = now
            self.probes += 1
            self.actions.append(Probe(server.info.id))

    def _probe_ended(self, now: float, event: ProbeEnded) -> None:
        server = self.servers.get(event.endpoint)
        if server is None or not self.discovery.disconnected():
            return
        if event.outcome is Outcome.OK:
            server.well_at = max(server.well_at, now - event.elapsed)
            self._serve_held(now)
        elif event.outcome is Outcome.ERROR:
            server.turned_away_after = self.discovery.words

    def _may_drain(self, server: Server) -> bool:
        """Whether it turned a call away or was not well, and discovery has said nothing since."""
        return server.turned_away_after == self.discovery.words

    def aside(self, now: float) -> dict[int, str]:
        """The endpoints that it sends nothing while it has others, and why; changes nothing."""
        out = {}
        for server in self.ring:
            if now < server.drains_until:
                out[server.info.id] = "drains"
            elif now < server.ejected_until:
                out[server.info.id] = "out of reach" if server.missed >= LOST_AFTER else "ejected"
            elif now > self._usable_until(server) or self._may_drain(server):
                out[server.info.id] = "stale"
        return out

    def _full(self, server: Server, now: float) -> bool:
        """Whether it has its part of the limit: else all of that would meet on the few that are ready."""
        if self.admission is None:
            return False
        return len(server.out) >= self.admission.cap(self.cold.share(server, now))

    def _load(self, server: Server, now: float) -> float:
        """Own calls in flight and how slowly they are answered, against what the endpoint can do.

        The root of its size: half of a call's time is waiting for others, in slots that don't grow with size.
        """
        slowness = min(SLOW_MOST, max(SLOW_LEAST, server.slowness(now)))
        weight = math.sqrt(server.info.size) * self.cold.share(server, now)
        return (len(server.out) + 1) * slowness / max(weight, LEAST_RATIO)

    # The list

    def _list(self, now: float, event: EndpointList) -> None:
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
            self._entry(now, info)
        self._arrange()
        self._look_around(now)
        self._serve_held(now)

    def _arrange(self) -> None:
        # In one order for all, instances that share an endpoint would turn to its neighbours together, on and
        # on along the list. Each group of instances covers the list once, in its own order.
        me, siblings = self.settings.index, self.settings.siblings
        groups = 1 << max(0, siblings * HOME_LEAST // max(1, len(self.servers))).bit_length() >> 1
        ids = sorted(self.servers, key=lambda id: (scatter(id, me % max(1, groups)), id))
        at = me * len(ids) // siblings
        self.ring = [self.servers[id] for id in ids[at:] + ids[:at]]
        if self.locality is not None:
            self.zones = {}
            for server in self.ring:
                self.zones.setdefault(server.info.zone, []).append(server)
            sizes = {zone: sum(s.info.size for s in ring) for zone, ring in self.zones.items()}
            self.locality.update_endpoints(sizes, {zone: len(ring) for zone, ring in self.zones.items()})

    def _entry(self, now: float, info: Endpoint) -> None:
        """Rule 3: an endpoint that drains or is gone is forgotten at once, its grace unused."""
        if info.condition is not Condition.READY:
            self.servers.pop(info.id, None)
            return
        known = self.servers.get(info.id)
        if known is None or known.info.started_at != info.started_at:
            self.servers[info.id] = Server(info, now)
        else:
            known.info = info

    # Siblings

    def evidence(self, now: float, named: set[int] | None = None) -> list[EndpointEvidence]:
        """What it holds of each endpoint by its own calls, for siblings; changes nothing.

        With `named`, of those, and of others only where something is out of the ordinary. One that it ejected
        counts as failing: what it was judged by is over, and its record halfway back.
        """
        told: list[EndpointEvidence] = []
        for server in self.ring:
            if named is not None and server.info.id not in named and self._ordinary(now, server):
                continue
            ill = server.missed >= LOST_AFTER or (now < server.ejected_until and not server.hearsay)
            calls = max(server.served_rate(now) * SERVED_MEMORY, JUDGED_BY if ill else 0.0)
            failing, started = 1.0 if ill else server.failing, max(server.info.started_at, server.back)
            told.append(EndpointEvidence(server.info.id, failing, server.seen_slowness(now), calls, started))
        return told

    def _ordinary(self, now: float, server: Server) -> bool:
        """Whether siblings need not hear of it: `millgw.peers.gossip.mark` would call it well."""
        return (
            server.failing < OUTLIER_FAILING
            and server.slow < OUTLIER_MULTIPLE
            and server.missed < LOST_AFTER
            and now >= server.ejected_until
            and self.cold.share(server, now) >= 1.0
        )

    def _hear(self, now: float, event: PeerReports) -> None:
        """Take siblings' word, as far as it asks for more care than is taken already."""
        self.heard_siblings = event.siblings
        self.cold.siblings = max(self.settings.siblings, event.siblings)
        if self.admission is not None and self.admission.answers == 0:
            self.admission.each = max(1.0, min(self.admission.each, event.max_in_flight))
        for told in event.endpoints:
            server = self.servers.get(told.id)
            if server is not None:
                self._doubt(now, server, told)

    def _doubt(self, now: float, server: Server, told: EndpointEvidence) -> None:
        server.drains_until = max(server.drains_until, now + told.drain_valid_for)
        server.back = max(server.back, min(now, told.started_at))
        # Own calls outvote it; without any it weighs less the older it is, as its `calls` fade.
        heed = told.calls / (told.calls + 1.0 + server.served_rate(now) * SERVED_MEMORY)
        slow = 1.0 + (told.latency_ratio - 1.0) * heed
        if slow > server.slowness(now):
            server.heard_slow, server.heard_at = slow, now
        if told.failure_rate * heed > OUTLIER_FAILING:
            self.outliers.heed(now, server, told.failure_rate * heed, self.ring, self.doubts.random())

    # Timers

    def _set_timer(self, at: float, request: int | None) -> None:
        self.next_timer += 1
        self.timers[self.next_timer] = request
        if request is not None:
            self.requests[request].timers.append(self.next_timer)
        self.actions.append(SetTimer(self.next_timer, at, request))

    def _ask(self, now: float) -> None:
        self.actions.append(Subscribe())
        self._set_timer(self.discovery.asked(now), None)

    def _timer(self, now: float, timer: int) -> None:
        if timer not in self.timers:
            return
        id = self.timers.pop(timer)
        if id is None:
            if now + self.settings.tick >= self.discovery.due:
                self._ask(now)
            return
        request = self.requests.get(id)
        if request is None or any(a.out for a in request.attempts):
            return
        if id not in self.held:
            self._start(now, request)
        elif now + self.settings.tick >= request.give_up:
            self._end(request, request.lacks)
