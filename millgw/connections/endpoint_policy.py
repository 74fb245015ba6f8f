"""Policy for the connections to one endpoint: which to use, keep, open and close. Pure: no I/O, no clock.

The policy is informed of events and asked what to do. It knows connections by their `ConnectionRecord`; the
sockets are held elsewhere. Times are in ms: `now` on any monotonic clock, the same for all methods; `wall`
and endpoints' start times on the clock of `HandshakeTurns`.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from millgw.connections.demand import ConnectionDemand
from millgw.connections.handshake_turns import HandshakeTurns, InstancePosition, retry_turns
from millgw.connections.lifetime import AFTER_ANSWER_MS, IdleLimit, UseLimit
from millgw.connections.reachability import DOWN, UNPROVEN, UP, Reachability
from millgw.connections.settings import ConnectionSettings, Order

UNSAFE_IDLE_SHARE = 0.5  # of the idle limit: an unsafe call needs a connection that was idle for less
# Delay before another connection is opened ahead of need; doubles with each one in a row that ended unused.
AHEAD_BACKOFF_MS, MAX_AHEAD_BACKOFF_MS = 250.0, 60_000.0
UNUSED_CLOSE_MS = 100.0  # an unused connection that ends this soon after its handshake was of no use
LIMIT_RETRY_MS = 10_000.0  # after this time, one connection over the observed limit is tried
# This soon after an answer the endpoint is known to run: a failed handshake then hit its connection limit.
ANSWER_PROOF_MS = 1000.0


class GiveUp(Enum):
    """Why this side closes an idle connection."""

    IDLE = "idle"
    AGE = "age"
    USES = "uses"
    SURPLUS = "surplus"


class Opening(Enum):
    """What happens to a call for which there is no idle connection."""

    NOW = "now"
    WAIT = "wait"
    UNREACHABLE = "unreachable"


@dataclass(slots=True, eq=False)
class ConnectionRecord:
    """History and limits of one connection.

    `proven_at` is the time of its last answer (or of its handshake). `idle_share` is its fraction of the
    endpoint's idle limit; `max_age` and `max_uses` are its own limits (0: none).
    """

    opened_at: float
    proven_at: float
    idle_share: float = 1.0
    max_age: float = 0.0
    max_uses: int = 0
    uses: int = 0
    idle_before_use: float = 0.0  # how long it was idle before its last use


class EndpointPolicy:
    """Policy of one endpoint. `promised_idle` is how long (ms) it promises to keep an idle connection."""

    def __init__(
        self, terms: ConnectionSettings, position: InstancePosition, promised_idle: float, rng: random.Random
    ) -> None:
        self.terms = terms
        self.position = position
        self.rng = rng
        self.idle_limit = IdleLimit(promised_idle, terms.idle_part)
        self.use_limit = UseLimit()
        self.demand = ConnectionDemand()
        self.reachability = Reachability(rng, terms.probe_base, terms.probe_most)
        self.turns: HandshakeTurns | None = None  # used while the endpoint is cold
        self.retry_turns = retry_turns(position, terms.cold_rate, rng)  # used while the endpoint is down
        self.unused_in_a_row = 0  # consecutive connections that ended without a request
        self.open_ahead_after = 0.0
        self.opening = 0  # handshakes under way
        self.open = 0  # established connections
        self.busy = 0  # established connections that carry a request
        self.last_answer_at = -math.inf
        self.observed_limit = math.inf  # connections that the endpoint was seen to accept
        self.observed_limit_at = 0.0

    def change(self, terms: ConnectionSettings, promised_idle: float) -> None:
        """Apply other settings; what was learned about the endpoint is kept."""
        self.terms = terms
        self.idle_limit.set_maximum(terms.idle_part * promised_idle)
        self.retry_turns = retry_turns(self.position, terms.cold_rate, self.rng)
        self.reachability.min_wait, self.reachability.max_wait = terms.probe_base, terms.probe_most

    def set_position(self, position: InstancePosition) -> None:
        """Apply another position among the siblings; a cold start must be reported again."""
        self.position = position
        self.turns = None

    # Events

    def set_cold_start(self, since: float, start_shared: bool) -> None:
        """The endpoint is cold since a time; `start_shared` is set if the siblings know that start too."""
        if self.turns is None or self.turns.since != since:
            self.turns = HandshakeTurns(self.position, self.terms.cold_rate, since, start_shared, self.rng)

    def connected(self, now: float) -> ConnectionRecord:
        """A connection was established; returns its record."""
        self.open += 1
        if self.open > self.observed_limit:
            self.observed_limit = float(self.open)
        jitter = self.terms.jitter
        return ConnectionRecord(
            opened_at=now,
            proven_at=now,
            idle_share=1.0 - jitter * self.rng.random(),
            max_age=self.terms.age * (1.0 - jitter * self.rng.random()),
            max_uses=math.ceil(self.terms.uses * (1.0 - jitter * self.rng.random())),
        )

    def handshake_succeeded(self, wall: float) -> None:
        """A handshake succeeded, at a time on the clock of endpoints' start times."""
        if self.reachability.state == DOWN:
            self.set_cold_start(wall, False)  # it may have restarted, which discovery has not reported yet
        self.reachability.mark_up()

    def handshake_failed(self, now: float) -> None:
        """A handshake was refused or timed out."""
        if self.open and now - self.last_answer_at < ANSWER_PROOF_MS:
            # The endpoint is serving on other connections, so it is at its limit rather than down.
            self.observed_limit, self.observed_limit_at = float(self.open), now
        else:
            self.reachability.mark_down(now)

    def request_sent(self, now: float) -> None:
        """A request is sent on a connection, or a handshake is started for it."""
        self.demand.request_sent(now, self.busy + 1)

    def answered(self, now: float, record: ConnectionRecord) -> None:
        """A connection got an answer."""
        if record.uses == 0:
            self.unused_in_a_row, self.open_ahead_after = 0, 0.0
        self.idle_limit.survived(record.idle_before_use)
        record.uses += 1
        record.proven_at = self.last_answer_at = now
        self.use_limit.outlived(now, record.uses)
        self.reachability.mark_up()

    def taken(self, now: float, record: ConnectionRecord) -> None:
        """An idle connection is taken for a request."""
        record.idle_before_use = now - record.proven_at

    def closed_while_idle(self, now: float, record: ConnectionRecord) -> None:
        """The other side closed an idle connection."""
        if self.closed_unused(now, record):
            self.reachability.mark_down(now)
            return
        self._idle_unneeded(now, record, self.open)
        self._learn_from_end(now, record)

    @staticmethod
    def closed_unused(now: float, record: ConnectionRecord) -> bool:
        """Whether a connection that ends now was closed right after its handshake, without a request."""
        return record.uses == 0 and now - record.opened_at < UNUSED_CLOSE_MS

    def found_dead(self, now: float, record: ConnectionRecord) -> None:
        """A connection was found dead when a request was to be sent on it."""
        if self.closed_unused(now, record):
            self.reachability.mark_down(now)
        else:
            self._learn_from_end(now, record)

    def _learn_from_end(self, now: float, record: ConnectionRecord) -> None:
        idle = now - record.proven_at
        if not self.terms.learn:
            return
        if idle < AFTER_ANSWER_MS and record.uses:
            self.use_limit.ended(now, record.uses)
        else:
            self.idle_limit.ended(idle)

    def given_up(self, now: float, record: ConnectionRecord, reason: GiveUp) -> None:
        """This side closes an idle connection."""
        if reason is GiveUp.IDLE:
            self.idle_limit.survived(now - record.proven_at)
            self._idle_unneeded(now, record, self.open - 1)

    def _idle_unneeded(self, now: float, record: ConnectionRecord, left: int) -> None:
        """An idle connection ended and `left` remain, so no more than these are needed.

        Otherwise connections would be opened ahead, end unused and be opened again, over and over.
        """
        self.demand.unused_given_up(now, left)
        if record.uses == 0:
            self.unused_in_a_row += 1
            self.open_ahead_after = now + min(
                MAX_AHEAD_BACKOFF_MS, AHEAD_BACKOFF_MS * 2.0 ** min(self.unused_in_a_row, 30)
            )

    # What to do

    def give_up_reason(self, now: float, record: ConnectionRecord) -> GiveUp | None:
        """Why an idle connection must be closed; None if it may be used."""
        if now - record.proven_at >= self.idle_limit.limit * record.idle_share:
            return GiveUp.IDLE
        if record.max_age and now - record.opened_at >= record.max_age:
            return GiveUp.AGE
        if record.max_uses and record.uses >= record.max_uses:
            return GiveUp.USES
        limit = self.use_limit.limit(now)
        return GiveUp.USES if limit and record.uses >= limit else None

    def expires_at(self, now: float, record: ConnectionRecord) -> float:
        """When an idle connection must be closed, as far as known now."""
        at = record.proven_at + self.idle_limit.limit * record.idle_share
        return min(at, record.opened_at + record.max_age) if record.max_age else at

    def choose_idle(self, now: float, unsafe: bool, idle: Sequence[ConnectionRecord]) -> int | None:
        """The index of the idle connection for a request; None if there is none. `idle` is by last answer.

        An unsafe request takes the one that answered last, whatever the order, and none past
        `UNSAFE_IDLE_SHARE` of its idle limit: its last byte may cross the close (RFC 9112, section 9.5).
        """
        if unsafe or self.terms.order is Order.LIFO:
            indexes = range(len(idle) - 1, -1, -1)
        else:
            indexes = range(len(idle))
        for index in indexes:
            record = idle[index]
            if self.give_up_reason(now, record) is not None:
                continue
            if (
                unsafe
                and now - record.proven_at >= UNSAFE_IDLE_SHARE * self.idle_limit.limit * record.idle_share
            ):
                return None  # the others were idle for longer
            return index
        return None

    def may_keep_idle(self, now: float, idle: int, budget_limit: int) -> bool:
        """Whether one more connection may stay idle besides `idle` others.

        `budget_limit` is how many idle ones the budget of descriptors allows.
        """
        bound = self.terms.keep_most or budget_limit
        return idle < max(bound, self.terms.keep_least)

    def may_open(self, now: float, wall: float, all_opening: int, panic: bool, full: bool) -> Opening:
        """Whether a connection may be opened for a call.

        `all_opening` is the pool's number of handshakes under way; `full` means that no descriptor is free.
        """
        if self.reachability.state == DOWN and not panic:
            return Opening.UNREACHABLE
        if full or self._at_limit(now, all_opening):
            return Opening.WAIT
        if self.reachability.state != UP and self.opening:
            return Opening.WAIT
        if self.turns is not None and not self.turns.take(wall):
            return Opening.WAIT
        return Opening.NOW

    def _at_limit(self, now: float, all_opening: int) -> bool:
        terms = self.terms
        if self.opening >= terms.at_once or all_opening >= terms.at_once_all:
            return True
        if self.observed_limit < math.inf and now - self.observed_limit_at >= LIMIT_RETRY_MS:
            self.observed_limit, self.observed_limit_at = self.observed_limit + 1, now
        return self.has_all_allowed()

    def has_all_allowed(self) -> bool:
        """Whether as many connections are open, or being opened, as the endpoint may have."""
        most = min(self.observed_limit, float(self.terms.open_most or math.inf))
        return self.open + self.opening >= most

    def should_open_ahead(
        self, now: float, wall: float, idle: int, all_opening: int, budget_limit: int, minimum: int = 0
    ) -> bool:
        """Whether to open a connection that no call waits for yet.

        `budget_limit` is as for `may_keep_idle`; `minimum` is how many this endpoint should have in any case.
        """
        if self.reachability.state == DOWN:
            return self.opening == 0 and self.reachability.probe_due(now) and self.retry_turns.take(wall)
        if now < self.open_ahead_after:
            return False
        wanted = max(minimum, self.terms.keep_least)
        if self.terms.ahead:
            wanted = max(wanted, self.demand.wanted(now, self.busy, self.terms.headroom))
        if self.open + self.opening >= wanted or not self.may_keep_idle(
            now, idle + self.opening, budget_limit
        ):
            return False
        if self.reachability.state == UNPROVEN and self.opening:
            return False
        return not self._at_limit(now, all_opening) and self._take_turn(wall)

    def _take_turn(self, wall: float) -> bool:
        return self.turns is None or self.turns.take(wall)
