"""State machine by which a sidecar follows the configuration. No I/O or clock, seeded random; times in ms.

There is one watch at a time. `Follower` decides which control instance to connect to and when, classifies
the lines of the watch and decides what to report. `millgw.configuration.client` performs the actions, passes
in the events and asks for `next_action` after each of them.

Versions never go back: a line that is not newer than the latest document is ignored, even if another instance
sent it. The latest document is the newest one received completely; the one in force may be older, as a
version can be refused.
"""

from __future__ import annotations

import json
import math
import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b

from millgw.configuration.document import Document, DocumentError, WatchLine, decode_line

WATCH_SILENCE_MS = 5000.0  # ms without a line after which a watch counts as broken; heartbeats come every 2 s
FIRST_LINE_TIMEOUT_MS = 3000.0  # ms from the start of a connect to its first line
RECONNECT_SPREAD_MS = 1000.0  # ms over which the followers of a lost instance reconnect to other instances
MIN_RETRY_DELAY_MS = 200.0  # ms, the shortest delay after a failed connect and the base of the jitter
MAX_RETRY_DELAY_MS = (
    2400.0  # ms, the longest delay: two, the second for an instance still lost, stay under 5 s
)
STABLE_WATCH_MS = 5000.0  # ms after which the end of a watch does not count as another failure in a row
PREFERRED_RETRY_MS = 300_000.0  # ms at another instance, after which the preferred one is tried again
PREFERRED_RETRY_JITTER = 0.5  # as a fraction of `PREFERRED_RETRY_MS`, in both directions
REPORT_INTERVAL_MS = 1000.0  # ms between two reports
REPORT_JITTER_MS = 200.0  # ms before the first report of a version, as all sidecars receive it at once
MAX_DIGESTS = 64  # of earlier versions, to distinguish a repeated line from a conflicting one
MAX_CAUSE_LENGTH = 300  # characters; longer causes are cut off in a report


class Status(Enum):
    """Result of a version at this sidecar."""

    APPLIED = "applied"
    REFUSED = "refused"


@dataclass(slots=True, frozen=True)
class Report:
    """Report to an instance: the version in force, or the version that was refused and why.

    With a version in force it also has the last one `refused` before it, 0 for none: that one's own report
    may never have been sent, as reports are `REPORT_INTERVAL_MS` apart and only the newest is sent.
    """

    index: int
    digest: str
    status: Status
    cause: str = ""
    refused: int = 0
    refused_cause: str = ""

    def encode(self, name: str) -> bytes:
        """Encode the report as JSON for the sidecar of this name."""
        fields: dict[str, str | int] = {
            "name": name,
            "index": self.index,
            "digest": self.digest,
            "status": self.status.value,
        }
        if self.cause:
            fields["cause"] = self.cause[:MAX_CAUSE_LENGTH]
        if self.refused:
            fields |= {"refused": self.refused, "refused_cause": self.refused_cause[:MAX_CAUSE_LENGTH]}
        return json.dumps(fields, separators=(",", ":")).encode()


@dataclass(slots=True, frozen=True)
class Connect:
    """Open a watch at an instance, starting after version `since`, or with a snapshot if it is None."""

    instance: str
    since: int | None


@dataclass(slots=True, frozen=True)
class Disconnect:
    """Close the watch, or cancel the connect in progress."""

    cause: str


@dataclass(slots=True, frozen=True)
class SendReport:
    """Send a report to the instance of the watch."""

    report: Report


FollowerAction = Connect | Disconnect | SendReport


class LineOutcome(Enum):
    """Classification of a line of the watch."""

    HEARTBEAT = "heartbeat"
    NEWER = "newer"  # a newer version, now the latest document, to be checked and applied
    KNOWN = "known"  # a version already received
    CONTRADICTS = "contradicts"  # conflicts with the versions received; ignored and reported
    GAP = "gap"  # does not follow from the latest document; a snapshot is requested
    UNREADABLE = "unreadable"


class Phase(Enum):
    """State of the connection."""

    WAITING = "waiting"
    CONNECTING = "connecting"
    WATCHING = "watching"


def preferred_order(name: str, near: Sequence[str], others: Sequence[str]) -> tuple[str, ...]:
    """Order the instances by a sidecar's preference: near ones first, each group by rendezvous hashing.

    The hashing spreads many sidecars evenly over the instances, and those of a lost instance evenly over all
    others.
    """

    def rank(instance: str) -> bytes:
        return blake2b(f"{name}\n{instance}".encode(), digest_size=8).digest()

    first = sorted(set(near), key=rank)
    return (*first, *sorted(set(others) - set(first), key=rank))


class Follower:
    """Decides on connections, versions and reports for one sidecar.

    `document` is the last good one, if any: it has to be accepted or rejected like a received one.
    """

    def __init__(self, instances: Sequence[str], seed: int, document: Document | None = None) -> None:
        if not instances:
            raise ValueError("instances: is empty")
        self.instances = tuple(instances)
        self.rng = random.Random(seed)
        self.latest = Document() if document is None else document.copy()
        self.latest_digest = self.latest.digest()
        self.applied = 0  # the version in force, with its epoch and digest
        self.applied_epoch = 0
        self.applied_digest = Document().digest()
        self.refused: int | None = None  # the latest version, if it was refused
        self.last_refusal = (0, "")  # the last version refused, whatever came since, and why
        self.refusal_cause = ""
        self.known_digests: dict[int, str] = {self.latest.index: self.latest_digest}
        self.phase = Phase.WAITING
        self.instance_index = 0  # index of the instance that is connected to, now or next
        self.retry_delay = 0.0
        self.connect_at = 0.0  # when to connect next
        self.connect_started = 0.0  # when the connect started
        self.line_deadline = (
            math.inf
        )  # deadline for the next line, after which the connection counts as broken
        self.preferred_retry_at = math.inf  # when to try the preferred instance again
        self.needs_snapshot = False
        self.consecutive_gaps = 0  # consecutive lines that did not follow
        self.disconnect_after_report = False  # close the watch once its conflict has been reported
        self.connects = 0
        self.contradictions = 0
        self.pending_report: Report | None = None
        self.next_report_at = 0.0  # earliest time of the next report
        self.last_report: Report | None = None

    @property
    def instance(self) -> str:
        """The instance that is connected to, now or next."""
        return self.instances[self.instance_index]

    # Actions

    def next_action(self, now: float) -> FollowerAction | None:
        """The next action that is due, or None; to be called until it returns None."""
        if self.phase is Phase.WAITING:
            return self._connect(now) if now >= self.connect_at else None
        if now >= self.line_deadline:
            return self._abandon(now, "no line received in time")
        if self.phase is Phase.CONNECTING:
            return None
        if now >= self.preferred_retry_at:
            self._schedule_connect(now, wait=0.0, choice=0)
            return Disconnect("trying the preferred instance again")
        if self.pending_report is not None and now >= self.next_report_at:
            report, self.pending_report = self.pending_report, None
            self.next_report_at = now + REPORT_INTERVAL_MS
            return SendReport(report)
        if self.disconnect_after_report and self.pending_report is None:
            return self._abandon(now, "its versions conflict with those of this sidecar")
        return None

    def due(self) -> float:
        """When to call `next_action` again, if there is no event before."""
        if self.phase is Phase.WAITING:
            return self.connect_at
        if self.phase is Phase.CONNECTING:
            return self.line_deadline
        if self.pending_report is not None:
            return min(self.line_deadline, self.preferred_retry_at, self.next_report_at)
        return (
            self.connect_started
            if self.disconnect_after_report
            else min(self.line_deadline, self.preferred_retry_at)
        )

    def _connect(self, now: float) -> Connect:
        self.phase = Phase.CONNECTING
        self.connect_started = now
        self.line_deadline = now + FIRST_LINE_TIMEOUT_MS
        self.connects += 1
        known = self.latest.index if self.latest.index > 0 and not self.needs_snapshot else None
        return Connect(self.instance, known)

    def _abandon(self, now: float, cause: str) -> Disconnect:
        self._connection_failed(now)
        return Disconnect(cause)

    def _schedule_connect(self, now: float, wait: float, choice: int) -> None:
        self.phase = Phase.WAITING
        self.line_deadline = self.preferred_retry_at = math.inf
        self.disconnect_after_report = False
        self.connect_at = now + wait
        self.instance_index = choice

    def _connection_failed(self, now: float) -> None:
        """Schedule a connect to the next instance; the delay grows with consecutive failures."""
        steady = self.phase is Phase.WATCHING and now >= self.connect_started + STABLE_WATCH_MS
        if steady:
            self.retry_delay = MIN_RETRY_DELAY_MS
            wait = self.rng.uniform(0.0, RECONNECT_SPREAD_MS)
        else:
            self.retry_delay = min(
                MAX_RETRY_DELAY_MS,
                self.rng.uniform(MIN_RETRY_DELAY_MS, 3 * max(MIN_RETRY_DELAY_MS, self.retry_delay)),
            )
            wait = self.retry_delay
        self._schedule_connect(now, wait, (self.instance_index + 1) % len(self.instances))

    # Events

    def connection_ended(self, now: float) -> None:
        """Handle a connection that ended, could not be made or sent something unusable."""
        if self.phase is not Phase.WAITING:
            self._connection_failed(now)

    def handle_line(self, now: float, data: bytes) -> LineOutcome:
        """Process one line of the watch."""
        if self.phase is Phase.WAITING:
            return LineOutcome.KNOWN
        if not data.strip():
            self._line_received(now)
            return LineOutcome.HEARTBEAT
        try:
            line = decode_line(data)
        except DocumentError:
            self.connection_ended(now)
            return LineOutcome.UNREADABLE
        self._line_received(now)
        return self._handle_version(now, line)

    def _line_received(self, now: float) -> None:
        if self.phase is Phase.CONNECTING:
            self.phase = Phase.WATCHING
            if self.instance_index > 0:
                self.preferred_retry_at = now + PREFERRED_RETRY_MS * self.rng.uniform(
                    1 - PREFERRED_RETRY_JITTER, 1 + PREFERRED_RETRY_JITTER
                )
            self.pending_report = self.last_report
        self.line_deadline = now + WATCH_SILENCE_MS

    def _handle_version(self, now: float, line: WatchLine) -> LineOutcome:
        if line.index <= self.latest.index:
            known = self.known_digests.get(line.index)
            if known is None or known == line.digest:
                self.needs_snapshot = self.needs_snapshot and not line.snapshot
                return LineOutcome.KNOWN
            return self._handle_conflict(now, f"digest: version {line.index} has another content than before")
        if line.epoch < self.latest.epoch:
            return self._handle_conflict(
                now, f"epoch: version {line.index} is of the older epoch {line.epoch}"
            )
        try:
            self.latest.load(line)
        except DocumentError:
            return self._handle_gap(now, line)
        self.needs_snapshot = False
        self.consecutive_gaps = 0
        self.latest_digest = line.digest
        self.known_digests[line.index] = line.digest
        while len(self.known_digests) > MAX_DIGESTS:
            del self.known_digests[next(iter(self.known_digests))]
        return LineOutcome.NEWER

    def _handle_conflict(self, now: float, cause: str) -> LineOutcome:
        """Handle a conflict: keep the latest document, report the conflict and move to another instance."""
        self.contradictions += 1
        self.disconnect_after_report = True
        self._queue_report(now, Report(self.latest.index, self.latest_digest, Status.REFUSED, cause))
        return LineOutcome.CONTRADICTS

    def _handle_gap(self, now: float, line: WatchLine) -> LineOutcome:
        """Request a snapshot: at once from this instance, or from the next one if this did not help."""
        self.consecutive_gaps += 1
        self.needs_snapshot = True
        if line.snapshot or self.consecutive_gaps > 1:
            self._connection_failed(now)
        else:
            self._schedule_connect(now, 0.0, self.instance_index)
        return LineOutcome.GAP

    # Result of the latest version

    def accepted(self, now: float) -> None:
        """Record that the latest document is in force."""
        self.applied, self.applied_epoch = self.latest.index, self.latest.epoch
        self.applied_digest = self.latest_digest
        self.refused, self.refusal_cause = None, ""
        index, cause = self.last_refusal
        report = Report(self.applied, self.applied_digest, Status.APPLIED, refused=index, refused_cause=cause)
        self._queue_report(now, report)

    def rejected(self, now: float, cause: str) -> None:
        """Record that the latest document can't be used; it is not tried again, only a newer one."""
        self.refused, self.refusal_cause = self.latest.index, cause
        self.last_refusal = (self.latest.index, cause)
        self._queue_report(now, Report(self.latest.index, self.latest_digest, Status.REFUSED, cause))

    def refused_before_start(self, index: int, cause: str) -> None:
        """Record that this process has started without a newer version, which it can't use."""
        self.refused, self.refusal_cause = index, cause
        self.last_refusal = (index, cause)

    def _queue_report(self, now: float, report: Report) -> None:
        fresh = self.pending_report is None
        self.last_report = self.pending_report = report
        if fresh:
            self.next_report_at = max(self.next_report_at, now + self.rng.uniform(0.0, REPORT_JITTER_MS))

    def report_failed(self, now: float, report: Report) -> None:
        """Schedule a report that failed to be sent again, unless there is a newer one."""
        if self.last_report == report and self.pending_report is None:
            self.pending_report = report
            self.next_report_at = max(self.next_report_at, now + REPORT_INTERVAL_MS)
