"""The event records of the stand-ins, which are the auditor's only source. No I/O.

All times are in ms on the test rig's one clock, which is 0 at the start of the rehearsal. A time of `None`
means that the event did not happen. Records are appended as events happen and never removed.

The times of arrivals are estimates by the kernel's ticks, which lose up to some 10 ms where the host takes
cores away. `last_read` and `answer_read` are the stand-in's own clock: no arrival is later than its reading.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from millgw.standins.configuration_ledger import ControlLife, ProposedVersion, VersionLook, VersionReport


class AttemptOutcome(Enum):
    """How an endpoint answered an attempt, as the sidecar could see it."""

    NOTHING = "nothing"
    OK = "ok"
    ERROR = "error"
    NEVER_RAN = "never-ran"
    UNUSABLE = "unusable"  # 400: differs from the client's request, or of an unknown class; see `Attempt.why`
    SPOILT = "spoilt"
    RESET = "reset"


class End(Enum):
    """How a call ended for its caller."""

    ANSWERED = "answered"
    BROKEN = "broken"  # the connection ended without a complete answer
    LEFT = "left"  # the caller disconnected before its time-out
    LOST = "lost"  # no answer until the caller's time-out, nor shortly after
    NOT_TAKEN = "not-taken"  # no connection, or it ended before the last byte was written
    CROSSED = "crossed"  # a kept connection was closed while the request was sent; sent again on a new one


@dataclass(slots=True)
class Attempt:
    """One request as an endpoint received it. `first` and `last` are when its first and last byte arrived.

    `work` is the mean work of its class there, in core-ms of a reference core, which counts towards the limit
    of a cold endpoint. `token` is a digest of the answer's body that identifies the answer.
    """

    trace: str
    endpoint: str
    life: int
    cell: int
    cls: str
    key: str
    first: float
    last: float | None = None
    work: float = 0.0
    began: float | None = None
    ended: float | None = None
    told: AttemptOutcome = AttemptOutcome.NOTHING
    told_at: float | None = None
    token: str = ""
    repeat_of: str = ""  # the trace whose run answered this one, if it was deduplicated
    why: str = ""  # the reason, if it was answered with 400
    last_read: float | None = None  # when its last byte was read


@dataclass(slots=True)
class Call:
    """One request as its caller sent it to `sidecar`. `root` is the trace of its first try.

    `due` is when it should be sent, `sent` when its last byte was written, `patience` its X-Expires-In-Ms.
    """

    trace: str
    root: str
    stage: int
    cls: str
    tenant: str
    key: str
    sidecar: str
    due: float
    sent: float | None = None
    patience: float = 0.0
    answered: float | None = None
    status: int = 0
    token: str = ""
    extra: int = 0  # surplus answers, or reads of surplus bytes, after the first answer
    end: End | None = None
    closed: float | None = None  # when its connection ended without an answer
    retry_after: float = 0.0
    method: str = "POST"  # GET for a class that is safe to repeat
    number: int = 0  # 0 for the first try, then counts the caller's own retries
    host: str = "app.svc"
    began: float | None = None  # when its first byte was written, if the body is sent at a limited rate
    body: int = 0  # bytes of its body
    begun: float | None = None  # when the first bytes of its 200 arrived
    pace: float = 0.0  # bytes per s at which its caller writes and reads; 0: no limit
    answer_read: float | None = None  # when its answer's last byte was read

    @property
    def target(self) -> str:
        """Path and query, which sidecars forward unchanged."""
        return f"/api?k={self.root}"


@dataclass(slots=True)
class SentStatus:
    """An endpoint's status as the discovery server sent it to a sidecar."""

    sidecar: str
    endpoint: str
    life: int
    status: str
    at: float


@dataclass(slots=True)
class StatusChange:
    """A change of an endpoint's status, at the time when the discovery server noticed it."""

    endpoint: str
    life: int
    status: str
    at: float


@dataclass(slots=True)
class DiscoveryQuery:
    """A sidecar's list request or watch at the discovery server; `until` is None while a watch is open."""

    sidecar: str
    at: float
    until: float | None = None
    tier: int = 1  # whose endpoints it asks for


@dataclass(slots=True)
class Outage:
    """An outage of the discovery server; `until` is None while it lasts."""

    at: float
    until: float | None = None


@dataclass(slots=True)
class Life:
    """One life of an endpoint, from start to end. `speed` is in core-ms of a reference core per ms."""

    endpoint: str
    number: int
    tier: int
    cell: int
    start: float
    speed: float
    cold_share: float = 1.0
    cold_ms: float = 0.0
    until: float | None = None
    fell: float | None = None

    def capacity(self, at: float) -> float:
        """Return the capacity per core at a time, in core-ms per ms: rises linearly from the cold share."""
        if self.cold_ms <= 0 or at >= self.start + self.cold_ms:
            return self.speed
        part = max(0.0, at - self.start) / self.cold_ms
        return self.speed * (self.cold_share + (1 - self.cold_share) * part)


@dataclass(slots=True)
class Handshake:
    """A connection that an endpoint accepted."""

    endpoint: str
    life: int
    at: float


@dataclass(slots=True)
class SidecarLife:
    """One process of a sidecar: its first 200 for /ready, and when the test rig sent SIGTERM or SIGKILL."""

    name: str
    stage: int
    start: float
    ready: float | None = None
    term: float | None = None
    kill: float | None = None
    ended: float | None = None
    code: int | None = None
    beside: bool = False  # started next to a running process, to replace it


@dataclass(slots=True)
class SidecarPause:
    """A time in which the test rig had stopped a sidecar's process, by SIGSTOP and SIGCONT."""

    sidecar: str
    at: float
    until: float


@dataclass(slots=True)
class SentAway:
    """A sidecar that was told to send clients away, and how load balancer and clients observed it.

    `no_at` is its first failing readiness check after the call, `yes_at` the first successful one after the
    resume. `idle` and `lately` count the connections that were still open 4 s after the call: those without
    an open request, and those with a request of the last 2 s.
    """

    sidecar: str
    at: float
    no_at: float | None = None
    until: float | None = None
    yes_at: float | None = None
    judged: float | None = None
    idle: int = 0
    lately: int = 0


@dataclass(slots=True)
class Upgrade:
    """A hot restart of a sidecar: the new process's start and readiness, the old one's SIGTERM and end."""

    sidecar: str
    at: float
    yes_at: float | None = None
    term: float | None = None
    ended: float | None = None


@dataclass(slots=True)
class Sample:
    """Measurement of the test rig itself: event loop lag, CPU use, CPU starvation of the sidecars; in ms."""

    at: float
    lag: float
    busy: float = 0.0  # fraction of all cores in use
    starved: dict[str, float] = field(default_factory=dict)  # sidecar: ms without a core since last sample


@dataclass(slots=True)
class InjectedFault:
    """A fault as it was injected."""

    kind: str
    at: float
    until: float
    targets: tuple[str, ...]
    size: float


@dataclass(slots=True)
class Ledger:
    """All records of one rehearsal."""

    attempts: list[Attempt] = field(default_factory=list)
    calls: list[Call] = field(default_factory=list)
    sent_statuses: list[SentStatus] = field(default_factory=list)
    status_changes: list[StatusChange] = field(default_factory=list)
    discovery_queries: list[DiscoveryQuery] = field(default_factory=list)
    outages: list[Outage] = field(default_factory=list)
    lives: list[Life] = field(default_factory=list)
    handshakes: list[Handshake] = field(default_factory=list)
    sidecars: list[SidecarLife] = field(default_factory=list)
    pauses: list[SidecarPause] = field(default_factory=list)
    samples: list[Sample] = field(default_factory=list)
    injected: list[InjectedFault] = field(default_factory=list)
    sent_away: list[SentAway] = field(default_factory=list)
    upgrades: list[Upgrade] = field(default_factory=list)
    control: list[ControlLife] = field(default_factory=list)
    proposed: list[ProposedVersion] = field(default_factory=list)
    version_looks: list[VersionLook] = field(default_factory=list)
    version_reports: list[VersionReport] = field(default_factory=list)
    late: list[tuple[float, float]] = field(default_factory=list)  # requests: when due, ms sent late
    calls_by_trace: dict[str, Call] = field(default_factory=dict)  # the last call recorded for each trace

    def add_call(self, call: Call) -> None:
        """Record a call as it is sent; endpoints look it up by its trace."""
        self.calls.append(call)
        self.calls_by_trace[call.trace] = call


TIME_FIELDS: dict[type, tuple[str, ...]] = {
    Attempt: ("first", "last", "began", "ended", "told_at", "last_read"),
    Call: ("due", "began", "sent", "begun", "answered", "closed", "answer_read"),
    SentStatus: ("at",),
    StatusChange: ("at",),
    DiscoveryQuery: ("at", "until"),
    Outage: ("at", "until"),
    Life: ("start", "until", "fell"),
    Handshake: ("at",),
    SidecarLife: ("start", "ready", "term", "kill", "ended"),
    Sample: ("at",),
    InjectedFault: ("at", "until"),
    SentAway: ("at", "no_at", "until", "yes_at", "judged"),
    Upgrade: ("at", "yes_at", "term", "ended"),
    ControlLife: ("start", "ready", "kill"),
    ProposedVersion: ("at", "answered"),
    VersionLook: ("asked", "answered"),
    VersionReport: ("at",),
}
"""The fields of each record type that are times."""


def shift_times(ledger: Ledger, by: float) -> None:
    """Shift all times by `by` ms, as the stand-ins start before the rehearsal's time 0 is known."""
    for records in (
        ledger.attempts, ledger.calls, ledger.sent_statuses, ledger.status_changes, ledger.discovery_queries,
        ledger.outages,
        ledger.lives, ledger.handshakes, ledger.sidecars, ledger.samples, ledger.injected,
        ledger.sent_away, ledger.upgrades, ledger.control, ledger.proposed, ledger.version_looks,
        ledger.version_reports,
    ):  # fmt: skip
        for record in records:
            for name in TIME_FIELDS[type(record)]:
                value = getattr(record, name)
                if value is not None:
                    setattr(record, name, value + by)
    ledger.late = [(at + by, ms) for at, ms in ledger.late]
