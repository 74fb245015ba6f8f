"""Connections to one pool's endpoints, tended: carries out what the keepers decide.

Stands beside the pool's `Upstream`, which holds the sockets, and is told by it of all that happens to them.
It decides nothing of calls: what a call is told when there is no connection for it is an outcome that proves
that it never ran, and the decision module goes on from there.
"""

from __future__ import annotations

import asyncio
import math
import random
import time
from collections import deque
from collections.abc import Sequence
from dataclasses import replace
from typing import Protocol

from millgw.connections.counts import Counts
from millgw.connections.introduction import Introduction
from millgw.connections.keeper import GiveUp, Keeper, Life, Opening
from millgw.connections.opening import Place
from millgw.connections.standing import DOWN, panics
from millgw.connections.terms import Proving, Terms
from millgw.endpoints.attempt import WRITTEN, Attempt
from millgw.endpoints.connection import Connection
from millgw.endpoints.host import Host
from millgw.endpoints.upstream import Upstream
from millgw.http.message import NOTHING
from millgw.interface import Endpoint, ListKind, Outcome, Repeat

TICK = 0.25  # s between two looks at what is open, where nothing is waited for
QUICK_TICK = 0.05  # s where a turn may fall due, or an endpoint is down: shorter than a turn may be used
WAIT_TICK = 0.01  # s where calls wait for a connection
AHEAD_PART = 0.75  # of the budget, that connections may take which are opened ahead of need
KEEP_LEAST = 2  # connections that may stay idle at an endpoint, however many endpoints share the descriptors


class Sight(Protocol):
    """What the pool knows of its endpoints. Times are those of `Endpoint.started_at`."""

    def now(self) -> float: ...

    def cold_since(self, endpoint: int) -> tuple[float, bool]:
        """Since when an endpoint is cold (0: it is not, or is out of reach) and whether its list tells so."""

    def budget(self) -> int:
        """Descriptors that the pool may use for connections to endpoints, and nobody else needs."""

    def show(self, endpoints: tuple[Endpoint, ...]) -> None:
        """Tell the module the whole list, some of which it was not told of before."""


class Kept:
    """What is tended at one host: its keeper, and calls that wait for a connection until a time (ms)."""

    __slots__ = ("endpoint", "host", "keeper", "serving", "waiting")

    def __init__(self, endpoint: int, host: Host, keeper: Keeper) -> None:
        self.endpoint = endpoint
        self.host = host
        self.keeper = keeper
        self.waiting: deque[tuple[Attempt, float]] = deque()
        self.serving = False  # a look at those that wait is due this turn


class Tended:
    """One pool's. `told_idle` (ms) is how long endpoints promise to keep an idle connection."""

    def __init__(
        self, upstream: Upstream, terms: Terms, place: Place, told_idle: float, seed: int, sight: Sight
    ) -> None:
        self.upstream = upstream
        self.terms = terms
        self.place = place
        self.told_idle = told_idle
        self.sight = sight
        self.rng = random.Random(f"connections {seed}")
        self.counts = Counts()
        self.kept: dict[Host, Kept] = {}
        self.lives: dict[Connection, Life] = {}
        self.busy: set[Connection] = set()  # those that carry a request
        self.opening = 0
        self.introduction = Introduction(place.cold_time)
        self.loop = asyncio.get_running_loop()
        self.timer: asyncio.TimerHandle | None = None
        self.due = 0.0
        self.stopped = False
        self._arm(TICK)

    # What the upstream tells

    def send(self, endpoint: int, host: Host, attempt: Attempt, now: float) -> None:
        """A call is to go to an endpoint: on a connection that is there, or a new one, or when one is."""
        kept = self._of(endpoint, host)
        kept.keeper.sent(now)
        if not kept.waiting and self._reuse(kept, attempt, now):
            self._ahead(kept, now)
            return
        self._wait(kept, attempt, now)
        self._serve(kept)

    def again(self, connection: Connection, attempt: Attempt) -> None:
        """The connection that an attempt was on is dead, and it has not run: it goes on to another."""
        now, host = time.monotonic() * 1000, connection.host
        self.counts.moved(attempt.repeat)
        life = self._over(connection)
        kept = self.kept.get(host)
        if kept is None or not host.used:
            attempt.end(Outcome.CONNECT_FAILED, NOTHING)
            return
        if life is not None:
            kept.keeper.dead(now, life)
        self._wait(kept, attempt, now)
        self._serve_soon(kept)

    def up(self, connection: Connection) -> None:
        """A connection has come up, for an attempt or ahead of need."""
        kept = self.kept.get(connection.host)
        if kept is None:
            return
        now = time.monotonic() * 1000
        self.lives[connection] = kept.keeper.born(now)
        kept.keeper.proved(self.sight.now())
        self.counts.opened(connection.attempt is None)
        if connection.attempt is not None:
            self._carries(kept, connection)
        elif connection.host.used:
            connection.host.idle.append(connection)
        self._serve_soon(kept)
        if self.introduction.connected(kept.endpoint):
            self.sight.show(self.introduction.whole())

    def tried(self, host: Host, missed: bool) -> None:
        """A handshake is over: well, in vain (`missed`), or nobody wants it any more."""
        self.opening -= 1
        kept = self.kept.get(host)
        if kept is None:
            return
        kept.keeper.opening -= 1
        if missed:
            self.counts.missed()
            kept.keeper.missed(time.monotonic() * 1000)
            self._arm(QUICK_TICK)
        self._serve_soon(kept)

    def keep(self, connection: Connection) -> None:
        """A connection's answer is whole, and it may be used again."""
        host, now = connection.host, time.monotonic() * 1000
        kept, life = self.kept.get(host), self.lives.get(connection)
        if kept is None or life is None or not host.used:
            connection.abort()
            return
        self._rests(kept, connection)
        kept.keeper.answer(now, life)
        why = kept.keeper.verdict(now, life)
        if why is not None:
            self.counts.given_up(why)
            connection.abort()
            return
        host.idle.append(connection)
        self._arm(max(WAIT_TICK, (kept.keeper.expires(now, life) - now) / 1000))
        if kept.waiting:
            self._serve_soon(kept)
        elif not kept.keeper.keeps(now, len(host.idle) - 1, self._most_idle()):
            self._give_up_surplus(kept)

    def lost(self, connection: Connection, idle: bool) -> None:
        """A connection has ended; `idle` tells that the other side ended it while it was kept."""
        kept = self.kept.get(connection.host)
        attempt = connection.attempt
        life = self._over(connection)
        if kept is None or life is None:
            return
        now = time.monotonic() * 1000
        if idle:
            self.counts.ended()
            kept.keeper.ended(now, life)
        elif attempt is not None:
            kept.keeper.standing.doubt()
            if attempt.state == WRITTEN and connection.reused:
                self.counts.failed_on_reuse(attempt.repeat)
            if attempt.state != WRITTEN or connection.reused:
                kept.keeper.dead(now, life)
        if kept.waiting:
            self._serve_soon(kept)

    def doubt(self, host: Host) -> None:
        """An attempt there got no answer."""
        kept = self.kept.get(host)
        if kept is not None:
            kept.keeper.standing.doubt()

    def close(self, host: Host) -> None:
        """A host is no longer in use: its calls that wait have been told."""
        kept = self.kept.pop(host, None)
        if kept is not None:
            kept.waiting.clear()

    def proof(self, connection: Connection, now: float) -> float:
        """For how long (ms) a request's last byte may wait for the other machine's word that the rest came.

        0 where the wait for a reset is enough.
        """
        if self.terms.prove is not Proving.ACK or now - connection.idle_since < self.terms.silent_after:
            return 0.0
        return self.terms.prove_most

    def change(self, terms: Terms) -> None:
        """Go by other terms from now on; what was learned stays."""
        self.terms = terms
        for kept in self.kept.values():
            kept.keeper.change(terms, self.told_idle)
        self._arm(0.0)

    def settle(self, place: Place, told_idle: float) -> None:
        """Go by another place among siblings, and other promises of endpoints, from now on."""
        if (place, told_idle) == (self.place, self.told_idle):
            return
        self.told_idle = told_idle
        self.place = place
        self.introduction.cold_time = place.cold_time
        for kept in self.kept.values():
            kept.keeper.settle(self._place_at(kept.endpoint))
            self._note_cold(kept)
        self.change(self.terms)

    def _place_at(self, endpoint: int) -> Place:
        return replace(self.place, index=(self.place.index + endpoint) % self.place.siblings)

    def stop(self) -> None:
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    # What the pool asks

    def listed(self, kind: ListKind, entries: Sequence[Endpoint]) -> tuple[Endpoint, ...]:
        """What the module is to be told of a list."""
        told = self.introduction.listed(self.sight.now(), kind, entries, self._connected)
        self._arm(QUICK_TICK)
        return tuple(told)

    def _connected(self, endpoint: int) -> bool:
        host = self.upstream.hosts.get(endpoint)
        kept = self.kept.get(host) if host is not None else None
        return kept is not None and kept.keeper.open > 0

    def figures(self) -> dict[str, object]:
        """What happened, and how endpoints stand, for the log."""
        down = sum(k.keeper.standing.state == DOWN for k in self.kept.values())
        figures: dict[str, object] = {"down": down} if down else {}
        if self.introduction.hidden:
            figures["not_yet_shown"] = len(self.introduction.hidden)
        return figures | self.counts.figures()

    # Its own

    def _of(self, endpoint: int, host: Host) -> Kept:
        kept = self.kept.get(host)
        if kept is None:
            # Shifted by the endpoint: siblings are first at different ones, and one's turns are apart.
            keeper = Keeper(self.terms, self._place_at(endpoint), self.told_idle, self.rng)
            kept = self.kept[host] = Kept(endpoint, host, keeper)
            self._note_cold(kept)
        return kept

    def _note_cold(self, kept: Kept) -> None:
        since, common = self.sight.cold_since(kept.endpoint)
        if since > 0:
            kept.keeper.starts(since, common)

    def _over(self, connection: Connection) -> Life | None:
        """Take a connection off the books."""
        kept = self.kept.get(connection.host)
        life = self.lives.pop(connection, None)
        if life is not None and kept is not None:
            kept.keeper.open -= 1
            self._rests(kept, connection)
        self.busy.discard(connection)
        return life

    def _carries(self, kept: Kept, connection: Connection) -> None:
        self.busy.add(connection)
        kept.keeper.busy += 1

    def _rests(self, kept: Kept, connection: Connection) -> None:
        if connection in self.busy:
            self.busy.discard(connection)
            kept.keeper.busy -= 1

    def _reuse(self, kept: Kept, attempt: Attempt, now: float) -> bool:
        """Send an attempt on an idle connection; tells whether there was one for it."""
        idle = kept.host.idle
        unsafe = attempt.repeat is Repeat.UNSAFE
        while idle:
            number = kept.keeper.choose(now, unsafe, [self.lives[c] for c in idle])
            if number is None:
                return False
            connection = idle.pop(number)
            if not connection.usable():
                # It has ended, and the loop has not said so yet.
                kept.keeper.dead(now, self.lives[connection])
                connection.abort()
                continue
            self.counts.reused()
            kept.keeper.takes(now, self.lives[connection])
            self._carries(kept, connection)
            connection.send(attempt, now, self.proof(connection, now))
            return True
        return False

    # Those that wait

    def _wait(self, kept: Kept, attempt: Attempt, now: float) -> None:
        kept.waiting.append((attempt, now + self.terms.wait))
        kept.host.connecting[attempt] = None  # a drain ends it there

    def _serve_soon(self, kept: Kept) -> None:
        """In the next turn: what is going on has not come to its end yet."""
        if kept.waiting and not kept.serving:
            kept.serving = True
            self.loop.call_soon(self._serve, kept)

    def _serve(self, kept: Kept) -> None:
        """Give those that wait what there is: a connection, a new one, or their outcome."""
        kept.serving = False
        waited = False
        while kept.waiting:
            now = time.monotonic() * 1000
            attempt, until = kept.waiting[0]
            if attempt.given_up:
                kept.waiting.popleft()
                kept.host.connecting.pop(attempt, None)
                continue
            if self._reuse(kept, attempt, now):
                self._leaves(kept, attempt)
                continue
            opening = kept.keeper.may_open(now, self.sight.now(), self.opening, self._panic(), self._full())
            if opening is Opening.NOW:
                self._leaves(kept, attempt)
                if self.upstream.connect(kept.host, attempt):
                    self._open(kept)
            elif opening is Opening.UNREACHABLE:
                self._leaves(kept, attempt)
                self.counts.unreachable()
                attempt.end(Outcome.CONNECT_FAILED, NOTHING)
            elif now >= until:
                self._leaves(kept, attempt)
                self.counts.waited_in_vain()
                attempt.end(Outcome.NOT_SENT, NOTHING)
            else:
                waited = True
                break
        if waited:
            self.counts.waited()
            self._arm(WAIT_TICK)

    @staticmethod
    def _leaves(kept: Kept, attempt: Attempt) -> None:
        """Guards against one that is taken twice: what it is told may bring another call here at once."""
        if kept.waiting and kept.waiting[0][0] is attempt:
            kept.waiting.popleft()
        kept.host.connecting.pop(attempt, None)

    def _full(self) -> bool:
        room = self.upstream.room
        return room.full() and not (self.upstream.give_way() or room.make())

    def _panic(self) -> bool:
        down = sum(k.keeper.standing.state == DOWN for k in self.kept.values())
        return panics(down, len(self.upstream.hosts), self.terms.panic)

    # Opening and giving up

    def _open(self, kept: Kept) -> None:
        kept.keeper.opening += 1
        self.opening += 1

    def _ahead(self, kept: Kept, now: float) -> bool:
        """Open a connection before it is needed, if it will be; never at the cost of one that is in use."""
        host = kept.host
        if not host.used or self.upstream.room.full():
            return False
        if self.upstream.holds() >= AHEAD_PART * self.sight.budget():
            return False
        least = 1 if kept.endpoint in self.introduction.hidden else 0
        if not kept.keeper.ahead(
            now, self.sight.now(), len(host.idle), self.opening, self._most_idle(), least
        ):
            return False
        self._open(kept)
        self.upstream.open_ahead(host)
        return True

    def _most_idle(self) -> int:
        return max(KEEP_LEAST, self.sight.budget() // (2 * max(1, len(self.upstream.hosts))))

    def _give_up_surplus(self, kept: Kept) -> None:
        connection = kept.host.idle.pop(0)
        self.counts.given_up(GiveUp.SURPLUS)
        connection.abort()

    def _arm(self, after: float) -> None:
        """Look round after so many seconds, or sooner if that is due."""
        at = self.loop.time() + after
        if self.stopped or (self.timer is not None and self.due <= at):
            return
        if self.timer is not None:
            self.timer.cancel()
        self.due = at
        self.timer = self.loop.call_later(after, self._tick)

    def _tick(self) -> None:
        self.timer = None
        now = time.monotonic() * 1000
        quick = waits = False
        expires = math.inf
        for endpoint, host in list(self.upstream.hosts.items()):
            kept = self._of(endpoint, host)
            self._note_cold(kept)
            for connection in list(host.idle):
                life = self.lives[connection]
                why = kept.keeper.verdict(now, life)
                if why is None:
                    expires = min(expires, kept.keeper.expires(now, life))
                    continue
                host.idle.remove(connection)
                kept.keeper.gives_up(now, life, why)
                self.counts.given_up(why)
                connection.abort()
            while self._ahead(kept, now):
                pass
            if kept.waiting:
                self._serve(kept)
            waits = waits or bool(kept.waiting)
            turns = kept.keeper.turns
            quick = quick or kept.keeper.standing.state == DOWN
            quick = quick or (turns is not None and turns.cold(self.sight.now()))
        if self.introduction.due(self.sight.now()):
            self.sight.show(self.introduction.whole())
        tick = WAIT_TICK if waits else QUICK_TICK if quick else TICK
        # Guards against one that the other side ends first: then nobody knows in time.
        self._arm(min(tick, max(WAIT_TICK, (expires - now) / 1000)))
