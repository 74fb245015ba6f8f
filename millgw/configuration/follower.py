"""State machine by which a sidecar follows the configuration. No I/O or clock, seeded random; times in ms.

There is one watch at a time. `Follower` decides which control instance to connect to and when, classifies
the lines of the watch and decides what to report. `millgw.configuration.client` performs the actions, passes
in the events and asks for `next` after each of them.

Versions never go back: a line that is not newer than the document held is ignored, even if another instance
sent it. The document held is the newest one received completely; the one in force may be older, as a version
can be refused.
"""

from __future__ import annotations

import json
import math
import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b

from millgw.configuration.document import Document, DocumentError, Line, decode_line

SILENCE = 5000.0  # ms without a line after which a watch counts as broken; heartbeats come every 2 s
FIRST_LINE = 3000.0  # ms from the start of a connect to its first line
SPREAD = 1000.0  # ms over which the followers of a lost instance reconnect to other instances
RETRY = 200.0  # ms, the shortest delay after a failed connect and the base of the jitter
RETRY_MOST = 2400.0  # ms, the longest delay: two, the second for an instance still lost, stay under 5 s
STEADY = 5000.0  # ms after which the end of a watch does not count as another failure in a row
RETURN = 300_000.0  # ms at another instance, after which the preferred one is tried again
RETURN_JITTER = 0.5  # as a fraction of `RETURN`, in both directions
REPORT_EVERY = 1000.0  # ms between two reports
REPORT_JITTER = 200.0  # ms before the first report of a version, as all sidecars receive it at once
DIGESTS_KEPT = 64  # of earlier versions, to distinguish a repeated line from a conflicting one
CAUSE_MOST = 300  # characters; longer causes are cut off in a report


class Status(Enum):
    """Result of a version at this sidecar."""

    APPLIED = "applied"
    REFUSED = "refused"


@dataclass(slots=True, frozen=True)
class Report:
    """Report to an instance: the version in force, or the version that was refused and why.

    With a version in force it also has the last one `refused` before it, 0 for none: that one's own report
    may never have been sent, as reports are `REPORT_EVERY` apart and only the newest is sent.
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
            fields["cause"] = self.cause[:CAUSE_MOST]
        if self.refused:
            fields |= {"refused": self.refused, "refused_cause": self.refused_cause[:CAUSE_MOST]}
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


Step = Connect | Disconnect | SendReport


class Heard(Enum):
    """Classification of a line of the watch."""

    HEARTBEAT = "heartbeat"
    NEWER = "newer"  # a newer version, now the document held, which is to be checked and applied
    KNOWN = "known"  # a version already received
    CONTRADICTS = "contradicts"  # conflicts with the versions held; ignored and reported
    GAP = "gap"  # does not follow from the document held; a snapshot is requested
    UNREADABLE = "unreadable"


class Phase(Enum):
    """State of the connection."""

    WAITING = "waiting"
    CONNECTING = "connecting"
    WATCHING = "watching"


def preference(name: str, near: Sequence[str], others: Sequence[str]) -> tuple[str, ...]:
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
        self.held = Document() if document is None else document.copy()
        self.held_digest = self.held.digest()
        self.applied = 0  # the version in force, with its epoch and digest
        self.applied_epoch = 0
        self.applied_digest = Document().digest()
        self.refused: int | None = None  # the version held, if it was refused
        self.last_refusal = (0, "")  # the last version refused, whatever came since, and why
        self.cause = ""
        self.digests: dict[int, str] = {self.held.index: self.held_digest}
        self.phase = Phase.WAITING
        self.choice = 0  # index of the instance that is connected to, now or next
        self.wait = 0.0
        self.again = 0.0  # when to connect next
        self.begun = 0.0  # when the connect started
        self.broken = math.inf  # deadline for the next line, after which the connection counts as broken
        self.back = math.inf  # when to try the preferred instance again
        self.need_whole = False
        self.gaps = 0  # consecutive lines that did not follow
        self.leaving = False  # close the watch once its conflict has been reported
        self.connects = 0
        self.contradictions = 0
        self.pending: Report | None = None
        self.report_from = 0.0  # earliest time of the next report
        self.last: Report | None = None

    @property
    def instance(self) -> str:
        """The instance that is connected to, now or next."""
        return self.instances[self.choice]

    # Actions

    def next(self, now: float) -> Step | None:
        """The next action that is due, or None; to be called until it returns None."""
        if self.phase is Phase.WAITING:
            return self._connect(now) if now >= self.again else None
        if now >= self.broken:
            return self._give_up(now, "no line received in time")
        if self.phase is Phase.CONNECTING:
            return None
        if now >= self.back:
            self._leave(now, wait=0.0, choice=0)
            return Disconnect("trying the preferred instance again")
        if self.pending is not None and now >= self.report_from:
            report, self.pending = self.pending, None
            self.report_from = now + REPORT_EVERY
            return SendReport(report)
        if self.leaving and self.pending is None:
            return self._give_up(now, "its versions conflict with those of this sidecar")
        return None

    def due(self) -> float:
        """When to call `next` again, if there is no event before."""
        if self.phase is Phase.WAITING:
            return self.again
        if self.phase is Phase.CONNECTING:
            return self.broken
        if self.pending is not None:
            return min(self.broken, self.back, self.report_from)
        return self.begun if self.leaving else min(self.broken, self.back)

    def _connect(self, now: float) -> Connect:
        self.phase = Phase.CONNECTING
        self.begun = now
        self.broken = now + FIRST_LINE
        self.connects += 1
        known = self.held.index if self.held.index > 0 and not self.need_whole else None
        return Connect(self.instance, known)

    def _give_up(self, now: float, cause: str) -> Disconnect:
        self._failed(now)
        return Disconnect(cause)

    def _leave(self, now: float, wait: float, choice: int) -> None:
        self.phase = Phase.WAITING
        self.broken = self.back = math.inf
        self.leaving = False
        self.again = now + wait
        self.choice = choice

    def _failed(self, now: float) -> None:
        """Schedule a connect to the next instance; the delay grows with consecutive failures."""
        steady = self.phase is Phase.WATCHING and now >= self.begun + STEADY
        if steady:
            self.wait = RETRY
            wait = self.rng.uniform(0.0, SPREAD)
        else:
            self.wait = min(RETRY_MOST, self.rng.uniform(RETRY, 3 * max(RETRY, self.wait)))
            wait = self.wait
        self._leave(now, wait, (self.choice + 1) % len(self.instances))

    # Events

    def ended(self, now: float) -> None:
        """Handle a connection that ended, could not be made or sent something unusable."""
        if self.phase is not Phase.WAITING:
            self._failed(now)

    def line(self, now: float, data: bytes) -> Heard:
        """Process one line of the watch."""
        if self.phase is Phase.WAITING:
            return Heard.KNOWN
        if not data.strip():
            self._spoken(now)
            return Heard.HEARTBEAT
        try:
            line = decode_line(data)
        except DocumentError:
            self.ended(now)
            return Heard.UNREADABLE
        self._spoken(now)
        return self._take(now, line)

    def _spoken(self, now: float) -> None:
        if self.phase is Phase.CONNECTING:
            self.phase = Phase.WATCHING
            if self.choice > 0:
                self.back = now + RETURN * self.rng.uniform(1 - RETURN_JITTER, 1 + RETURN_JITTER)
            self.pending = self.last
        self.broken = now + SILENCE

    def _take(self, now: float, line: Line) -> Heard:
        if line.index <= self.held.index:
            known = self.digests.get(line.index)
            if known is None or known == line.digest:
                self.need_whole = self.need_whole and not line.snapshot
                return Heard.KNOWN
            return self._contradicts(now, f"digest: version {line.index} has another content than before")
        if line.epoch < self.held.epoch:
            return self._contradicts(now, f"epoch: version {line.index} is of the older epoch {line.epoch}")
        try:
            self.held.load(line)
        except DocumentError:
            return self._gap(now, line)
        self.need_whole = False
        self.gaps = 0
        self.held_digest = line.digest
        self.digests[line.index] = line.digest
        while len(self.digests) > DIGESTS_KEPT:
            del self.digests[next(iter(self.digests))]
        return Heard.NEWER

    def _contradicts(self, now: float, cause: str) -> Heard:
        """Handle a conflict: keep the document held, report the conflict and move to another instance."""
        self.contradictions += 1
        self.leaving = True
        self._tell(now, Report(self.held.index, self.held_digest, Status.REFUSED, cause))
        return Heard.CONTRADICTS

    def _gap(self, now: float, line: Line) -> Heard:
        """Request a snapshot: at once from this instance, or from the next one if this did not help."""
        self.gaps += 1
        self.need_whole = True
        if line.snapshot or self.gaps > 1:
            self._failed(now)
        else:
            self._leave(now, 0.0, self.choice)
        return Heard.GAP

    # Result of the version held

    def accepted(self, now: float) -> None:
        """Record that the document held is in force."""
        self.applied, self.applied_epoch = self.held.index, self.held.epoch
        self.applied_digest = self.held_digest
        self.refused, self.cause = None, ""
        index, cause = self.last_refusal
        report = Report(self.applied, self.applied_digest, Status.APPLIED, refused=index, refused_cause=cause)
        self._tell(now, report)

    def rejected(self, now: float, cause: str) -> None:
        """Record that the document held can't be used; it is not tried again, only a newer one."""
        self.refused, self.cause = self.held.index, cause
        self.last_refusal = (self.held.index, cause)
        self._tell(now, Report(self.held.index, self.held_digest, Status.REFUSED, cause))

    def _tell(self, now: float, report: Report) -> None:
        fresh = self.pending is None
        self.last = self.pending = report
        if fresh:
            self.report_from = max(self.report_from, now + self.rng.uniform(0.0, REPORT_JITTER))

    def unreported(self, now: float, report: Report) -> None:
        """Schedule a report that failed to be sent again, unless there is a newer one."""
        if self.last == report and self.pending is None:
            self.pending = report
            self.report_from = max(self.report_from, now + REPORT_EVERY)
