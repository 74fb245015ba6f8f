"""Policy for the connections to one endpoint: which to use, keep, open and close. Pure: no I/O, no clock.

The keeper is told what happens and asked what to do. It knows connections by their `ConnectionRecord`; who holds the
sockets is somebody else's matter. Times are ms: `now` on any clock that does not go back, the same for all
calls; endpoints' starts on the clock of `Turns`.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from millgw.connections.lifetime import AFTER_ANSWER_MS, IdleLimit, UseLimit
from millgw.connections.need import ConnectionDemand
from millgw.connections.opening import Place, Turns, retry_turns
from millgw.connections.standing import DOWN, UNPROVEN, UP, Reachability
from millgw.connections.terms import Order, Terms

UNSAFE_IDLE_SHARE = (
    0.5  # of the idle bound, past which a call that may not run twice takes a fresher connection
)
AHEAD_BACKOFF_MS, MAX_AHEAD_BACKOFF_MS = (
    250.0,
    60_000.0,
)  # ms before another is opened ahead: twice that for each wasted in a row
UNUSED_CLOSE_MS = 100.0  # ms after its handshake in which one that ends unused never was of use
LIMIT_RETRY_MS = 10_000.0  # ms after which one connection more than the seen cap is tried
ANSWER_PROOF_MS = (
    1000.0  # ms for which an answer proves that an endpoint is there: what fails then is its cap's doing
)


class GiveUp(Enum):
    """Why a connection is ended by this side."""

    IDLE = "idle"
    AGE = "age"
    USES = "uses"
    SURPLUS = "surplus"


class Opening(Enum):
    """What becomes of a call that finds no connection."""

    NOW = "now"
    WAIT = "wait"
    UNREACHABLE = "unreachable"


@dataclass(slots=True, eq=False)
class ConnectionRecord:
    """One connection's: when it was opened, when its last answer came, how often it was used, its bounds.

    `idle_share` is of the endpoint's idle bound, `age` and `uses` are bounds of its own (0: none).
    """

    opened_at: float
    proven_at: float
    idle_share: float = 1.0
    max_age: float = 0.0
    max_uses: int = 0
    uses: int = 0
    idle_before_use: float = 0.0  # for how long it was idle when it was last taken


class EndpointPolicy:
    """One endpoint's policy. `promised_idle` is how long the endpoint promises to keep an idle connection."""

    def __init__(self, terms: Terms, position: Place, promised_idle: float, rng: random.Random) -> None:
        self.terms = terms
        self.position = position
        self.rng = rng
        self.idle_limit = IdleLimit(promised_idle, terms.idle_part)
        self.use_limit = UseLimit()
        self.demand = ConnectionDemand()
        self.reachability = Reachability(rng, terms.probe_base, terms.probe_most)
        self.turns: Turns | None = None  # while it is cold
        self.retry_turns = retry_turns(position, terms.cold_rate, rng)  # while it is out of reach
        self.unused_in_a_row = 0  # connections in a row that were opened ahead and never used
        self.open_ahead_after = 0.0
        self.opening = 0  # handshakes under way
        self.open = 0  # connections that are up
        self.busy = 0  # of them, those that carry a request
        self.last_answer_at = -math.inf
        self.observed_limit = math.inf  # what the endpoint was seen to take
        self.observed_limit_at = 0.0

    def change(self, terms: Terms, promised_idle: float) -> None:
        """Go by other terms; what was learned of the endpoint stays."""
        self.terms = terms
        self.idle_limit.set_maximum(terms.idle_part * promised_idle)
        self.retry_turns = retry_turns(self.position, terms.cold_rate, self.rng)
        self.reachability.min_wait, self.reachability.max_wait = terms.probe_base, terms.probe_most

    def set_position(self, position: Place) -> None:
        """Go by another place among siblings; whoever knows when it started tells again, if it is cold."""
        self.position = position
        self.turns = None

    # What happens

    def cold_since(self, since: float, start_shared: bool) -> None:
        """The endpoint is cold from a time on; `common` where its siblings know that start too."""
        if self.turns is None or self.turns.since != since:
            self.turns = Turns(self.position, self.terms.cold_rate, since, start_shared, self.rng)

    def connected(self, now: float) -> ConnectionRecord:
        """A connection has come up."""
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
        """A handshake has ended well, at a time on the clock of endpoints' starts."""
        if self.reachability.state == DOWN:
            self.cold_since(wall, False)  # it may have started anew, and nobody has said so yet
        self.reachability.mark_up()

    def handshake_failed(self, now: float) -> None:
        """A handshake has not: refused, or not up in time."""
        if self.open and now - self.last_answer_at < ANSWER_PROOF_MS:
            # It serves on other connections at this moment: it takes no more of them.
            self.observed_limit, self.observed_limit_at = float(self.open), now
        else:
            self.reachability.mark_down(now)

    def request_sent(self, now: float) -> None:
        """A request goes out on a connection, or a handshake is begun for one."""
        self.demand.request_sent(now, self.busy + 1)

    def answered(self, now: float, record: ConnectionRecord) -> None:
        """An answer has come."""
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
        """The other side ended a connection that was idle."""
        if self.closed_unused(now, record):
            self.reachability.mark_down(now)
            return
        self._unused(now, record, self.open)
        self._learn(now, record)

    @staticmethod
    def closed_unused(now: float, record: ConnectionRecord) -> bool:
        """Whether one that ends now never was of any use."""
        return record.uses == 0 and now - record.opened_at < UNUSED_CLOSE_MS

    def found_dead(self, now: float, record: ConnectionRecord) -> None:
        """A connection turned out to be dead when a request was to go on it: it had ended by then."""
        if self.closed_unused(now, record):
            self.reachability.mark_down(now)
        else:
            self._learn(now, record)

    def _learn(self, now: float, record: ConnectionRecord) -> None:
        idle = now - record.proven_at
        if not self.terms.learn:
            return
        if idle < AFTER_ANSWER_MS and record.uses:
            self.use_limit.ended(now, record.uses)
        else:
            self.idle_limit.ended(idle)

    def given_up(self, now: float, record: ConnectionRecord, reason: GiveUp) -> None:
        """This side ends an idle one."""
        if reason is GiveUp.IDLE:
            self.idle_limit.survived(now - record.proven_at)
            self._unused(now, record, self.open - 1)

    def _unused(self, now: float, record: ConnectionRecord, left: int) -> None:
        """One ended idle, and so many are left: more than these are not needed.

        Guards against connections that are opened ahead, end unused, and are opened again, over and over.
        """
        self.demand.unused_given_up(now, left)
        if record.uses == 0:
            self.unused_in_a_row += 1
            self.open_ahead_after = now + min(
                MAX_AHEAD_BACKOFF_MS, AHEAD_BACKOFF_MS * 2.0 ** min(self.unused_in_a_row, 30)
            )

    # What to do

    def give_up_reason(self, now: float, record: ConnectionRecord) -> GiveUp | None:
        """Why an idle connection is of no more use; None where it may be used."""
        if now - record.proven_at >= self.idle_limit.limit * record.idle_share:
            return GiveUp.IDLE
        if record.max_age and now - record.opened_at >= record.max_age:
            return GiveUp.AGE
        if record.max_uses and record.uses >= record.max_uses:
            return GiveUp.USES
        limit = self.use_limit.limit(now)
        return GiveUp.USES if limit and record.uses >= limit else None

    def expires_at(self, now: float, record: ConnectionRecord) -> float:
        """When an idle connection will be of no more use, as far as that is known now."""
        at = record.proven_at + self.idle_limit.limit * record.idle_share
        return min(at, record.opened_at + record.max_age) if record.max_age else at

    def choose_idle(self, now: float, unsafe: bool, idle: Sequence[ConnectionRecord]) -> int | None:
        """Which of the idle connections, in the order of their last answers, a request takes; None for none.

        One that may not run twice takes the one proven last, whatever the order, and none that is nearer to
        its end than to its last proof: its last byte may cross the close (RFC 9112, section 9.5).
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
                return None  # the others are older
            return index
        return None

    def may_keep_idle(self, now: float, idle: int, budget_limit: int) -> bool:
        """Whether one more may stay idle beside so many; `most` is what the budget of descriptors leaves."""
        bound = self.terms.keep_most or budget_limit
        return idle < max(bound, self.terms.keep_least)

    def may_open(self, now: float, wall: float, all_opening: int, panic: bool, full: bool) -> Opening:
        """Whether a call may have a connection opened. `wall` is the time on the clock of endpoints' starts.

        `full` tells that there is no room for one more.
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
        most = min(self.observed_limit, float(terms.open_most or math.inf))
        return self.open + self.opening >= most

    def should_open_ahead(
        self, now: float, wall: float, idle: int, all_opening: int, budget_limit: int, minimum: int = 0
    ) -> bool:
        """Whether to open a connection that no call waits for yet; `most` as for `keeps`.

        `least` is how many this endpoint should have in any case.
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
