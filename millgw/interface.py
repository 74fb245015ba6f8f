"""The whole interface of the balancer: settings, endpoints, events in, actions out.

All times are milliseconds on the caller's clock; the balancer has no clock of its own.
Classes, tenants and zones are numbered by their position in the settings' lists.

The caller owns the clock, the timers and the sending. It feeds each event to `Balancer.handle` with the time
it came at (times never go back) and carries the returned actions out in order. A request id is used once.
Attempts of a request are numbered 0, 1, 2, ... in the order of their `Send`. Events about ids that are not
known, or no longer, are harmless and return no action for them.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class Repeat(Enum):
    """How far a request of a class may be repeated once an attempt may have run."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """The endpoints that recognise a repeat of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Condition(Enum):
    """What discovery says of an endpoint."""

    GONE = 0
    DRAINING = 1
    READY = 2


class ListKind(Enum):
    """What an endpoint list holds: changes only, all, a cached copy of all, or nothing.

    A call to discovery has failed: it was turned away or ended without an answer, or is silent (neither of
    these), or was refused a connection, or its answer broke off, or this machine could not make it; a watch
    ends in the same ways. Or discovery has moved, and another one was asked already. A part is drains and
    ends that were read out of something that was not whole: no sign that a watch is on. Changes without any
    endpoint are a heartbeat.
    """

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3
    SILENT = 4
    PARTIAL = 5
    MOVED = 6
    UNREACHABLE = 7
    INTERRUPTED = 8
    LOCAL_ERROR = 9

    @property
    def complete(self) -> bool:
        """Whether what it does not name is not there."""
        return self is ListKind.FULL or self is ListKind.CACHED

    @property
    def watch_ended(self) -> bool:
        """Whether it holds no list: it tells that no watch is on any more."""
        return (
            self is ListKind.FAILED
            or self is ListKind.SILENT
            or self is ListKind.MOVED
            or self is ListKind.UNREACHABLE
            or self is ListKind.INTERRUPTED
            or self is ListKind.LOCAL_ERROR
        )


class Outcome(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "rejected"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"


NO_EFFECT_OUTCOMES = frozenset({Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})
"""The outcomes that prove that an attempt had no effect."""


def _check(where: object, least: float, *fields: str) -> None:
    """Reject a setting that is not a finite number of at least `least`, by its name."""
    for field in fields:
        value = getattr(where, field)
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            raise ValueError(f"{type(where).__name__}.{field} is not a finite number")
        if value < least:
            raise ValueError(f"{type(where).__name__}.{field} must be {least:g} or more")


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests: what its answers are worth and how it may be repeated.

    `deadline` is the client's whole patience, `aim` the time within which an answer earns its full `worth`.
    A keyed class is recognised by the endpoints of one `scope`, for `window` from its first attempt.
    """

    name: str
    deadline: float
    repeat: Repeat
    aim: float
    worth: float = 1.0
    scope: Scope = Scope.CELL
    window: float = 0.0

    def __post_init__(self) -> None:
        _check(self, 0.0, "deadline", "aim", "worth", "window")


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant and the rate, summed over all instances, that is within its share (0: unlimited)."""

    name: str
    rate: float = 0.0  # requests a second

    def __post_init__(self) -> None:
        _check(self, 0.0, "rate")


@dataclass(slots=True, frozen=True)
class Settings:
    """All that an instance is told when it starts. Defaults are the cautious reading.

    An endpoint starts with `cold_share` of its capacity and is warm after `cold_time`; sent more than
    `fall_multiple` times its present capacity for `fall_window`, by all `siblings` together, it falls over.
    Clients that are told when to come back heed up to `retry_after_most`; 0 is for clients that are not told.
    `index` is this instance's number among its `siblings`, `stage` the tier it sends to (0: clients' first).
    Where `ask_discovery` is set, the list comes only after a `Subscribe`; an instance that has not asked for
    `ask_within` is taken to know the list. `probing` allows health probes. With `calls_fail_only_in_outages`
    a discovery that is up answers each call at once, however many come. Impossible values raise a ValueError
    that names the field.
    """

    classes: tuple[RequestClass, ...]
    cold_share: float
    cold_time: float
    fall_multiple: float
    fall_window: float
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: float = 1.0
    index: int = 0
    siblings: int = 1
    stage: int = 0
    tick: float = 1.0
    max_attempts: int = 1
    concurrent_attempts: bool = False
    retry_after_most: float = 0.0
    ask_discovery: bool = True
    ask_within: float = 10000.0
    probing: bool = False
    calls_fail_only_in_outages: bool = False

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("Settings.classes is empty")
        shares = ("cold_share", "cold_time", "fall_multiple", "fall_window", "over_share_worth")
        _check(self, 0.0, *shares, "index", "stage", "tick")
        _check(self, 0.0, "ask_within", "retry_after_most")
        _check(self, 1, "siblings", "max_attempts")
        if self.cold_share > 1:
            raise ValueError("Settings.cold_share must be 1 or less")


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One entry of the endpoint list."""

    id: int
    condition: Condition = Condition.READY
    size: float = 1.0
    cell: int = 0
    zone: int = 0
    started_at: float = 0.0


# Events


@dataclass(slots=True)
class EndpointList:
    """Discovery's view, or word that a call to it failed."""

    kind: ListKind
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(slots=True, frozen=True)
class EndpointEvidence:
    """What others hold of an endpoint, or what this balancer does (`Balancer.evidence`).

    `failing` is a share of its calls, `slow` times the usual, both of so many recent `calls`; `started` a
    point in time, 0 for unknown; `drain_valid_for` the ms for which a drain heard of counts.
    """

    id: int
    failure_rate: float = 0.0
    latency_ratio: float = 1.0
    calls: float = 0.0
    started_at: float = 0.0
    drain_valid_for: float = 0.0


@dataclass(slots=True)
class PeerReports:
    """What siblings tell of endpoints, weighed already. It can make the balancer more careful, never less.

    `siblings` is how many are known to share the load. A limit on calls in flight for each endpoint (`each`)
    counts until the first own answer.
    """

    endpoints: tuple[EndpointEvidence, ...] = ()
    siblings: int = 1
    max_in_flight: float = math.inf


@dataclass(slots=True)
class RequestArrived:
    """A request; one final answer is owed before `deadline` (a point in time).

    `cls` and `tenant` are positions in the settings; an unknown tenant has no share, an unknown class is an
    IndexError. The body of a `partial` one still comes: it is no work for an endpoint yet, and its deadline
    is told with `RequestBodyComplete`.
    """

    request: int
    cls: int
    deadline: float
    tenant: int = 0
    partial: bool = False


@dataclass(slots=True)
class RequestBodyComplete:
    """The last byte of a request that was partial has come; its deadline from now on."""

    request: int
    deadline: float


@dataclass(slots=True)
class BodyDiscarded:
    """Part of a request's body was passed on and is not held any more: it can't be tried again."""

    request: int


@dataclass(slots=True)
class AttemptEnded:
    """The end of one attempt, `elapsed` after its `Send`; `concluded` tells that no answer is owed any more.

    The first OK is taken to have reached the client, whatever `concluded` says.
    """

    request: int
    endpoint: int
    attempt: int
    outcome: Outcome
    elapsed: float
    request_finished: bool


@dataclass(slots=True)
class ProbeEnded:
    """The end of a health probe, `elapsed` after its `Probe`: OK from an endpoint that is well.

    ERROR is the endpoint's own word that it is not, as one that drains may say; all else tells nothing.
    """

    endpoint: int
    outcome: Outcome
    elapsed: float


@dataclass(slots=True)
class ResponseStarted:
    """A streamed answer has begun; the request belongs to that attempt now."""

    request: int


@dataclass(slots=True)
class RequestAborted:
    """The client has left: no answer is owed any more."""

    request: int


@dataclass(slots=True)
class TimerFired:
    """A timer set earlier has fallen due."""

    timer: int


Event = (
    EndpointList | PeerReports | RequestArrived | RequestBodyComplete | BodyDiscarded | AttemptEnded | ResponseStarted
    | RequestAborted | TimerFired | ProbeEnded
)  # fmt: skip


# Actions


@dataclass(slots=True)
class Send:
    """Start an attempt; it waits for its answer until the client gives up.

    Its last byte may leave up to `until` (ms, as the events' clock), and else it ends as NOT_SENT: between
    this decision and that byte lie a handshake and a proof of the connection.
    """

    request: int
    endpoint: int
    send_by: float = math.inf


class GivenUp(Enum):
    """Why a request is given up, for the log."""

    SHED = "shed on arrival"
    NO_ROOM = "no endpoint has room"
    STALE = "no endpoint is known not to drain"
    NO_TIME = "no time left"
    NO_REPEAT = "it may not be sent again"
    NO_TOKENS = "no retry tokens"


@dataclass(slots=True)
class Refuse:
    """Final answer: not served, and safe to retry, best not before `after` ms (0: no advice)."""

    request: int
    reason: GivenUp
    retry_after: float = 0.0


@dataclass(slots=True)
class Fail:
    """Final answer: not served, with no promise about effects."""

    request: int
    reason: GivenUp


@dataclass(slots=True)
class SetTimer:
    """Ask for a `TimerFired` at or after `at`; one for a request is of no use once that is answered."""

    timer: int
    at: float
    request: int | None = None


@dataclass(slots=True)
class Subscribe:
    """Ask discovery for the list and its changes from now on."""


@dataclass(slots=True)
class Probe:
    """Ask an endpoint for its health; a `ProbeEnded` follows."""

    endpoint: int


@dataclass(slots=True, frozen=True)
class CloseConnections:
    """Close the connections that are kept to these endpoints: the machines behind them may be gone."""

    endpoints: tuple[int, ...]


Action = Send | Refuse | Fail | SetTimer | Subscribe | CloseConnections | Probe


class Locality(Protocol):
    """Which zones calls may go to, in what order, where places are set (`millgw.locality.router`).

    `key` is a request and the number of its attempt, `usual` the ms that an answer of the class takes.
    """

    def update_endpoints(self, sizes: dict[int, float], counts: dict[int, int]) -> None:
        """The list by zone: its endpoints' sizes together, and how many they are."""

    def update_capacity(self, now: float, ready: dict[int, float]) -> None:
        """The capacity that is there by zone: without what is ejected, and of a cold endpoint its share."""

    def attempt_sent(self, now: float, key: tuple[int, int], zone: int, endpoint: int, usual: float) -> None:
        """An attempt goes out."""

    def attempt_ended(
        self,
        now: float,
        key: tuple[int, int],
        zone: int,
        cls: int,
        outcome: Outcome,
        elapsed: float,
        usual: float,
    ) -> bool:
        """An attempt has ended; tells whether its zone had been lost and is back, with cold endpoints."""

    def zone_order(
        self, now: float, cls: int, tried: Sequence[int], left: float, repeatable: bool
    ) -> list[int]:
        """The zones for a call with `left` ms, after attempts in `tried`; none: do not divide the pool."""

    def newly_lost(self) -> Sequence[int]:
        """The zones that were lost since this was last asked."""

    def probed_zone(self) -> int | None:
        """The zone that the last order tries again, where also an ejected endpoint will do."""

    def handicap(self, zone: int, other: int) -> float:
        """How many times as loaded an endpoint of a zone must be for one of another to be sent to instead."""

    def allows(self, cls: int, zone: int) -> bool:
        """Whether calls of a class may go to a zone at all."""

    def figures(self) -> dict[str, object]:
        """What operators should know of it."""
