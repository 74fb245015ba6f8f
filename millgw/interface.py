"""The public interface of the balancer: settings, endpoints, input events and output actions.

All times are milliseconds on the caller's clock; the balancer has no clock of its own.
Classes, tenants and zones are numbered by their position in the settings' lists.

The caller owns the clock, the timers and the network I/O. It passes each event to `Balancer.handle` together
with the time at which it happened (times never decrease) and executes the returned actions in order. A
request id is used only once. Attempts of a request are numbered 0, 1, 2, ... in the order of their `Send`.
Events about unknown or already forgotten ids are harmless and return no action for them.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class Repeat(Enum):
    """Whether a request of a class may be retried after an attempt that may have been executed."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """The set of endpoints that deduplicate retries of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


Zone = int | None
"""A zone's number; None where no source tells the zone of an endpoint."""


class Condition(Enum):
    """The state of an endpoint as reported by discovery."""

    GONE = 0
    DRAINING = 1
    READY = 2


class ListKind(Enum):
    """What an endpoint list contains: changes only, all endpoints, a cached copy of all, or nothing.

    The kinds without a list say why a call to discovery failed or a watch ended: it was rejected or ended
    without an answer (FAILED), nothing arrived, not even an error (SILENT), the connection was refused
    (UNREACHABLE), the answer was cut off (BROKEN_OFF), or this machine could not make the call
    (NOT_MADE). MOVED: the discovery address has changed and the new one has been asked already. PARTIAL
    contains drains and removals that were parsed from an incomplete answer; it does not show that a watch is
    active. A DELTA without any endpoint is a heartbeat.
    """

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3
    SILENT = 4
    PARTIAL = 5
    MOVED = 6
    UNREACHABLE = 7
    BROKEN_OFF = 8
    NOT_MADE = 9

    @property
    def complete(self) -> bool:
        """Whether endpoints missing from the list do not exist."""
        return self is ListKind.FULL or self is ListKind.CACHED

    @property
    def watch_ended(self) -> bool:
        """Whether there is no list and no watch is active any more."""
        return (
            self is ListKind.FAILED
            or self is ListKind.SILENT
            or self is ListKind.MOVED
            or self is ListKind.UNREACHABLE
            or self is ListKind.BROKEN_OFF
            or self is ListKind.NOT_MADE
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
"""The outcomes which prove that the server did not execute the attempt."""


def _check(where: object, least: float, *fields: str) -> None:
    """Raise a ValueError naming the first field that is not a finite number of at least `least`."""
    for field in fields:
        value = getattr(where, field)
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            raise ValueError(f"{type(where).__name__}.{field} is not a finite number")
        if value < least:
            raise ValueError(f"{type(where).__name__}.{field} must be {least:g} or more")


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests: the value of its responses and the rules for retrying it.

    `deadline` is the client's total timeout, `aim` the latency up to which a response has its full `worth`.
    Retries of a keyed class are deduplicated by the endpoints of one `scope`, for `window` after the first
    attempt.
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
    """A tenant and its rate quota, summed over all instances (0: unlimited)."""

    name: str
    rate: float = 0.0  # requests per second

    def __post_init__(self) -> None:
        _check(self, 0.0, "rate")


@dataclass(slots=True, frozen=True)
class Settings:
    """The configuration of one instance. Defaults are the conservative choice.

    An endpoint starts with `cold_share` of its capacity and is warm after `cold_time`. If all `siblings`
    together send it more than `fall_multiple` times its current capacity for `fall_window`, it fails under
    the overload. Clients that receive a retry delay respect it up to `retry_after_most`; 0 means that clients
    receive none. `index` is this instance's number among its `siblings` (the number of instances), `stage`
    the tier it sends to (0: the first tier behind the clients). If `ask_discovery` is set, the endpoint list
    arrives only after a `Subscribe`; an instance that has not asked for `ask_within` is assumed to know the
    list. Otherwise lists are pushed: to this instance itself or, with `local_agent`, to an agent on its
    machine, which answers a `Subscribe` at once, and whose list the instance is assumed to know. `probing`
    allows health probes. With `calls_fail_only_in_outages`, a discovery server that is up answers every call
    at once, whatever the load. Invalid values raise a ValueError that names the field.
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
    local_agent: bool = False
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
        if self.local_agent and self.ask_discovery:
            raise ValueError("Settings.local_agent is for lists that are pushed: ask_discovery must be off")


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One entry of the endpoint list.

    `cell` and `zone` are None where no source tells them. Such an endpoint shares its cell or zone with no
    other that is known, not even with one of which it is not told either.
    """

    id: int
    condition: Condition = Condition.READY
    size: float = 1.0
    cell: int | None = None
    zone: Zone = None
    started_at: float = 0.0


# Events


@dataclass(slots=True)
class EndpointList:
    """An endpoint list from discovery, or the failure of a call to it."""

    kind: ListKind
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(slots=True, frozen=True)
class EndpointEvidence:
    """Health evidence about an endpoint, from peers or from this balancer (`Balancer.evidence`).

    `failure_rate` is the failed share of its calls, `latency_ratio` its latency as a multiple of the normal
    one, both over the number of recent `calls`; `started_at` is a point in time, 0 if unknown;
    `drain_valid_for` is how many ms a reported drain remains valid.
    """

    id: int
    failure_rate: float = 0.0
    latency_ratio: float = 1.0
    calls: float = 0.0
    started_at: float = 0.0
    drain_valid_for: float = 0.0


@dataclass(slots=True)
class PeerReports:
    """Endpoint evidence from peers, already weighted. It can make the balancer more careful, never less.

    `siblings` is how many instances are known to share the load. `max_in_flight` limits the calls in flight
    to each endpoint until this balancer gets its own first answer.
    """

    endpoints: tuple[EndpointEvidence, ...] = ()
    siblings: int = 1
    max_in_flight: float = math.inf


@dataclass(slots=True)
class RequestArrived:
    """A new request; exactly one final answer is required before `deadline` (a point in time).

    `cls` and `tenant` are positions in the settings; an unknown tenant has no quota, an unknown class raises
    an IndexError. The body of a `partial` request is still arriving: it is no load for an endpoint yet, and
    its deadline follows with `RequestBodyComplete`.
    """

    request: int
    cls: int
    deadline: float
    tenant: int = 0
    partial: bool = False


@dataclass(slots=True)
class RequestBodyComplete:
    """The last byte of a partial request has arrived; `deadline` replaces the earlier one."""

    request: int
    deadline: float


@dataclass(slots=True)
class BodyDiscarded:
    """Part of the request body was forwarded and is no longer buffered: no retry is possible."""

    request: int


@dataclass(slots=True)
class AttemptEnded:
    """The end of one attempt, `elapsed` after its `Send`.

    `request_finished`: the request needs no answer any more. The first OK is assumed to have reached the
    client, whatever `request_finished` says.
    """

    request: int
    endpoint: int
    attempt: int
    outcome: Outcome
    elapsed: float
    request_finished: bool


@dataclass(slots=True)
class ProbeEnded:
    """The end of a health probe, `elapsed` after its `Probe`: OK from a healthy endpoint.

    ERROR means that the endpoint itself reports being unhealthy, as a draining one may; any other outcome
    carries no information.
    """

    endpoint: int
    outcome: Outcome
    elapsed: float


@dataclass(slots=True)
class ResponseStarted:
    """A streamed response has begun; the request is bound to that attempt from now on."""

    request: int


@dataclass(slots=True)
class RequestAborted:
    """The client has disconnected: no answer is needed any more."""

    request: int


@dataclass(slots=True)
class TimerFired:
    """A timer requested with `SetTimer` has expired."""

    timer: int


Event = (
    EndpointList | PeerReports | RequestArrived | RequestBodyComplete | BodyDiscarded | AttemptEnded
    | ResponseStarted | RequestAborted | TimerFired | ProbeEnded
)  # fmt: skip


# Actions


@dataclass(slots=True)
class Send:
    """Start an attempt; it waits for its response until the client's deadline.

    The last byte of the request must be sent by `send_by` (ms, on the clock of the events); otherwise the
    attempt ends as NOT_SENT. Between this decision and that byte there may be a handshake and a check that
    the connection is alive.
    """

    request: int
    endpoint: int
    send_by: float = math.inf


class GivenUp(Enum):
    """Why a request is not served, for the log."""

    SHED = "shed on arrival"
    NO_ROOM = "no endpoint has room"
    STALE = "no endpoint is known not to drain"
    NO_TIME = "no time left"
    NO_REPEAT = "it may not be sent again"
    NO_TOKENS = "no retry tokens"


@dataclass(slots=True)
class Refuse:
    """Final answer: not served, safe to retry, preferably after `retry_after` ms (0: no advice)."""

    request: int
    reason: GivenUp
    retry_after: float = 0.0


@dataclass(slots=True)
class Fail:
    """Final answer: not served; an attempt may have been executed."""

    request: int
    reason: GivenUp


@dataclass(slots=True)
class SetTimer:
    """Request a `TimerFired` at or after `at`; with `request`, it is obsolete once that is answered."""

    timer: int
    at: float
    request: int | None = None


@dataclass(slots=True)
class Subscribe:
    """Ask discovery for the endpoint list and watch its changes from now on."""


@dataclass(slots=True)
class Probe:
    """Start a health probe of an endpoint; a `ProbeEnded` follows."""

    endpoint: int


@dataclass(slots=True, frozen=True)
class CloseConnections:
    """Close the pooled connections to these endpoints: their machines may no longer exist."""

    endpoints: tuple[int, ...]


Action = Send | Refuse | Fail | SetTimer | Subscribe | CloseConnections | Probe


class Locality(Protocol):
    """Selects and orders the zones for calls, where zones are configured (`millgw.locality.router`).

    `key` is a request id and its attempt number, `usual` the typical latency of the class in ms. Endpoints
    whose zone is not told are grouped under None, which is never near.
    """

    def update_endpoints(self, sizes: dict[Zone, float], counts: dict[Zone, int]) -> None:
        """Set the total size and the number of the listed endpoints of each zone."""

    def update_capacity(self, now: float, ready: dict[Zone, float]) -> None:
        """Set each zone's available capacity: no ejected endpoints, cold ones at their cold share."""

    def attempt_sent(self, now: float, key: tuple[int, int], zone: Zone, endpoint: int, usual: float) -> None:
        """Record that an attempt is sent."""

    def attempt_ended(
        self,
        now: float,
        key: tuple[int, int],
        zone: Zone,
        cls: int,
        outcome: Outcome,
        elapsed: float,
        usual: float,
    ) -> bool:
        """Record the end of an attempt; return whether its lost zone is back, with cold endpoints."""

    def zone_order(
        self, now: float, cls: int, tried: Sequence[Zone], left: float, repeatable: bool
    ) -> list[Zone]:
        """The zones for a call with `left` ms, after attempts in `tried`; empty: ignore zones."""

    def newly_lost(self) -> Sequence[int]:
        """The zones that were lost since the previous call of this method."""

    def is_probed(self, zone: Zone) -> bool:
        """Whether the last `zone_order` retries this lost zone; there, ejected endpoints may be used too."""

    def is_near(self, zone: Zone) -> bool:
        """Whether a zone is the sidecar's own."""

    def handicap(self, zone: Zone, other: Zone) -> float:
        """The factor by which an endpoint of `zone` must be more loaded for one of `other` to be chosen."""

    def allows(self, cls: int, zone: Zone) -> bool:
        """Whether calls of a class may go to a zone at all."""

    def figures(self) -> dict[str, object]:
        """Statistics for operators."""
