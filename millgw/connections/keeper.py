"""One endpoint's connections: which to use, keep, open and give up. Pure.

The keeper is told what happens and asked what to do. It knows connections by their `Life`; who holds the
sockets is somebody else's matter. Times are ms: `now` on any clock that does not go back, the same for all
calls; endpoints' starts on the clock of `Turns`.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from millgw.connections.lifetime import JUST, IdleTime, UseLimit
from millgw.connections.need import Need
from millgw.connections.opening import Place, Turns, tries
from millgw.connections.standing import DOWN, UNPROVEN, UP, Standing
from millgw.connections.terms import Order, Terms

UNSAFE_PART = 0.5  # of the idle bound, past which a call that may not run twice takes a fresher connection
AGAIN, AGAIN_MOST = 250.0, 60_000.0  # ms before another is opened ahead: twice that for each wasted in a row
STILLBORN = 100.0  # ms after its handshake in which one that ends unused never was of use
CAP_RISE = 10_000.0  # ms after which one connection more than the seen cap is tried
PROVEN = 1000.0  # ms for which an answer proves that an endpoint is there: what fails then is its cap's doing


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
class Life:
    """One connection's: when it was opened, when its last answer came, how often it was used, its bounds.

    `idle_share` is of the endpoint's idle bound, `age` and `uses` are bounds of its own (0: none).
    """

    opened: float
    proven: float
    idle_share: float = 1.0
    age: float = 0.0
    use_most: int = 0
    uses: int = 0
    rested: float = 0.0  # for how long it was idle when it was last taken


class Keeper:
    """One endpoint's policy. `told_idle` is how long the endpoint promises to keep an idle connection."""

    def __init__(self, terms: Terms, place: Place, told_idle: float, rng: random.Random) -> None:
        self.terms = terms
        self.place = place
        self.rng = rng
        self.idle_time = IdleTime(told_idle, terms.idle_part)
        self.use_limit = UseLimit()
        self.need = Need()
        self.standing = Standing(rng, terms.probe_base, terms.probe_most)
        self.turns: Turns | None = None  # while it is cold
        self.tries = tries(place, terms.cold_rate, rng)  # while it is out of reach
        self.wasted = 0  # connections in a row that were opened ahead and never used
        self.ahead_after = 0.0
        self.opening = 0  # handshakes under way
        self.open = 0  # connections that are up
        self.busy = 0  # of them, those that carry a request
        self.answered = -math.inf
        self.cap = math.inf  # what the endpoint was seen to take
        self.cap_at = 0.0

    def change(self, terms: Terms, told_idle: float) -> None:
        """Go by other terms; what was learned of the endpoint stays."""
        self.terms = terms
        self.idle_time.bound(terms.idle_part * told_idle)
        self.tries = tries(self.place, terms.cold_rate, self.rng)
        self.standing.base, self.standing.most = terms.probe_base, terms.probe_most

    def settle(self, place: Place) -> None:
        """Go by another place among siblings; whoever knows when it started tells again, if it is cold."""
        self.place = place
        self.turns = None

    # What happens

    def starts(self, since: float, common: bool) -> None:
        """The endpoint is cold from a time on; `common` where its siblings know that start too."""
        if self.turns is None or self.turns.since != since:
            self.turns = Turns(self.place, self.terms.cold_rate, since, common, self.rng)

    def born(self, now: float) -> Life:
        """A connection has come up."""
        self.open += 1
        if self.open > self.cap:
            self.cap = float(self.open)
        jitter = self.terms.jitter
        return Life(
            opened=now,
            proven=now,
            idle_share=1.0 - jitter * self.rng.random(),
            age=self.terms.age * (1.0 - jitter * self.rng.random()),
            use_most=math.ceil(self.terms.uses * (1.0 - jitter * self.rng.random())),
        )

    def proved(self, wall: float) -> None:
        """A handshake has ended well, at a time on the clock of endpoints' starts."""
        if self.standing.state == DOWN:
            self.starts(wall, False)  # it may have started anew, and nobody has said so yet
        self.standing.up()

    def missed(self, now: float) -> None:
        """A handshake has not: refused, or not up in time."""
        if self.open and now - self.answered < PROVEN:
            # It serves on other connections at this moment: it takes no more of them.
            self.cap, self.cap_at = float(self.open), now
        else:
            self.standing.failed(now)

    def sent(self, now: float) -> None:
        """A request goes out on a connection, or a handshake is begun for one."""
        self.need.sent(now, self.busy + 1)

    def answer(self, now: float, life: Life) -> None:
        """An answer has come."""
        if life.uses == 0:
            self.wasted, self.ahead_after = 0, 0.0
        self.idle_time.lived(life.rested)
        life.uses += 1
        life.proven = self.answered = now
        self.use_limit.outlived(now, life.uses)
        self.standing.up()

    def takes(self, now: float, life: Life) -> None:
        """An idle connection is taken for a request."""
        life.rested = now - life.proven

    def ended(self, now: float, life: Life) -> None:
        """The other side ended a connection that was idle."""
        if self.stillborn(now, life):
            self.standing.failed(now)
            return
        self._unused(now, life, self.open)
        self._learn(now, life)

    @staticmethod
    def stillborn(now: float, life: Life) -> bool:
        """Whether one that ends now never was of any use."""
        return life.uses == 0 and now - life.opened < STILLBORN

    def dead(self, now: float, life: Life) -> None:
        """A connection turned out to be dead when a request was to go on it: it had ended by then."""
        if self.stillborn(now, life):
            self.standing.failed(now)
        else:
            self._learn(now, life)

    def _learn(self, now: float, life: Life) -> None:
        idle = now - life.proven
        if not self.terms.learn:
            return
        if idle < JUST and life.uses:
            self.use_limit.ended(now, life.uses)
        else:
            self.idle_time.ended(idle)

    def gives_up(self, now: float, life: Life, why: GiveUp) -> None:
        """This side ends an idle one."""
        if why is GiveUp.IDLE:
            self.idle_time.lived(now - life.proven)
            self._unused(now, life, self.open - 1)

    def _unused(self, now: float, life: Life, left: int) -> None:
        """One ended idle, and so many are left: more than these are not needed.

        Guards against connections that are opened ahead, end unused, and are opened again, over and over.
        """
        self.need.spared(now, left)
        if life.uses == 0:
            self.wasted += 1
            self.ahead_after = now + min(AGAIN_MOST, AGAIN * 2.0 ** min(self.wasted, 30))

    # What to do

    def verdict(self, now: float, life: Life) -> GiveUp | None:
        """Why an idle connection is of no more use; None where it may be used."""
        if now - life.proven >= self.idle_time.limit * life.idle_share:
            return GiveUp.IDLE
        if life.age and now - life.opened >= life.age:
            return GiveUp.AGE
        if life.use_most and life.uses >= life.use_most:
            return GiveUp.USES
        limit = self.use_limit.limit(now)
        return GiveUp.USES if limit and life.uses >= limit else None

    def expires(self, now: float, life: Life) -> float:
        """When an idle connection will be of no more use, as far as that is known now."""
        at = life.proven + self.idle_time.limit * life.idle_share
        return min(at, life.opened + life.age) if life.age else at

    def choose(self, now: float, unsafe: bool, idle: Sequence[Life]) -> int | None:
        """Which of the idle connections, in the order of their last answers, a request takes; None for none.

        One that may not run twice takes the one proven last, whatever the order, and none that is nearer to
        its end than to its last proof: its last byte may cross the close (RFC 9112, section 9.5).
        """
        if unsafe or self.terms.order is Order.LIFO:
            numbers = range(len(idle) - 1, -1, -1)
        else:
            numbers = range(len(idle))
        for number in numbers:
            life = idle[number]
            if self.verdict(now, life) is not None:
                continue
            if unsafe and now - life.proven >= UNSAFE_PART * self.idle_time.limit * life.idle_share:
                return None  # the others are older
            return number
        return None

    def keeps(self, now: float, idle: int, most: int) -> bool:
        """Whether one more may stay idle beside so many; `most` is what the budget of descriptors leaves."""
        bound = self.terms.keep_most or most
        return idle < max(bound, self.terms.keep_least)

    def may_open(self, now: float, wall: float, all_opening: int, panic: bool, full: bool) -> Opening:
        """Whether a call may have a connection opened. `wall` is the time on the clock of endpoints' starts.

        `full` tells that there is no room for one more.
        """
        if self.standing.state == DOWN and not panic:
            return Opening.UNREACHABLE
        if full or self._crowded(now, all_opening):
            return Opening.WAIT
        if self.standing.state != UP and self.opening:
            return Opening.WAIT
        if self.turns is not None and not self.turns.take(wall):
            return Opening.WAIT
        return Opening.NOW

    def _crowded(self, now: float, all_opening: int) -> bool:
        terms = self.terms
        if self.opening >= terms.at_once or all_opening >= terms.at_once_all:
            return True
        if self.cap < math.inf and now - self.cap_at >= CAP_RISE:
            self.cap, self.cap_at = self.cap + 1, now
        most = min(self.cap, float(terms.open_most or math.inf))
        return self.open + self.opening >= most

    def ahead(self, now: float, wall: float, idle: int, all_opening: int, most: int, least: int = 0) -> bool:
        """Whether to open a connection that no call waits for yet; `most` as for `keeps`.

        `least` is how many this endpoint should have in any case.
        """
        if self.standing.state == DOWN:
            return self.opening == 0 and self.standing.probe(now) and self.tries.take(wall)
        if now < self.ahead_after:
            return False
        wanted = max(least, self.terms.keep_least)
        if self.terms.ahead:
            wanted = max(wanted, self.need.wanted(now, self.busy, self.terms.headroom))
        if self.open + self.opening >= wanted or not self.keeps(now, idle + self.opening, most):
            return False
        if self.standing.state == UNPROVEN and self.opening:
            return False
        return not self._crowded(now, all_opening) and self._turn(wall)

    def _turn(self, wall: float) -> bool:
        return self.turns is None or self.turns.take(wall)
