"""Decides what a vanished, lingering, re-created or flapping node means for its endpoint. Pure.

An ephemeral node shows that a session is alive, not that a server is. Its disappearance has these outcomes:

    told        an explicit drain (status, `draining` list), the end of a draining node, or at most FEW nodes
                vanishing within WINDOW: the endpoint is removed at once, or after SETTLE, and stays out. The
                rule that it gets nothing new (rule 3) applies from here.
    held        more than FEW vanish within WINDOW, or the coordinator itself is suspect (it lost committed
                changes, or its directory is gone): this is evidence about sessions, not about any one server.
                Each endpoint stays until its node is back, it drains, or it is seen dead; for at most HOLD if
                it has not answered lately, and HOLD_MOST in any case. They are then removed FEW per WINDOW.
    aside       the node exists but its server is unreachable: no connection succeeds for ASIDE_AFTER. The
                endpoint is offered again, as a cold one, after a growing delay, and stays if it answers.

FEW is a share of the members present before, at least one. While the coordinator is unreachable this module
is not called, so every endpoint stays. All times are ms of the caller's clock (Unix time).

An endpoint's start time is the one in its node (`since_ms`), else the node's creation time. A node created
again under the same name is a new and cold endpoint, unless its process is proven to be the same: by the
instance token in its data or, while it is held, by a connection that was opened before the node vanished and
never broke.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable, Collection
from dataclasses import dataclass, replace
from enum import Enum

from millgw.membership.nodes import Held
from millgw.platform.discovery import Listed

FLAPS = 3  # returns within FLAP_WINDOW from which on a returning node has to wait
FLAP_WINDOW = 30_000.0  # ms
FLAP_WAIT, FLAP_MOST = 1000.0, 8000.0  # ms: first wait, and its maximum; doubles with each further return
ASIDE_AFTER = 10_000.0  # ms of failed connections
ASIDE_FIRST, ASIDE_MOST = (
    10_000.0,
    60_000.0,
)  # ms until offered again: first and maximum; doubles, with jitter
LOOK_EVERY = 1000.0  # ms between checks for unreachable members
ASIDE_SHARE = 1 / 3  # maximum share of the members: if more are unreachable, the fault is on this side
REMEMBER = 600_000.0  # ms to remember the end of a node, so that an older list does not bring it back
HEARD_WITHIN = 5000.0  # ms since its last answer for which a held endpoint counts as responding


@dataclass(slots=True, frozen=True)
class Terms:
    """The operator's settings. Times in ms."""

    share: float = 0.15
    window: float = 10_000.0
    settle: float = 150.0  # waits to see whether others vanish too; well within the drain grace period
    hold: float = 30_000.0
    hold_most: float = 300_000.0


@dataclass(slots=True, frozen=True)
class Found:
    """A member's node: its creation, its owner and its parsed data."""

    czxid: int
    mzxid: int
    ctime: int  # Unix ms
    owner: int
    held: Held

    @property
    def identity(self) -> tuple[int, int, int]:
        """Identifies one creation of the node; unaffected by changes of its data."""
        return self.czxid, self.ctime, self.owner


@dataclass(slots=True, frozen=True)
class Seen:
    """This sidecar's own evidence on an endpoint; `-inf` for never.

    `answered`: its last answer on a connection that is still open; `opened`: when the oldest of these was
    opened; `broken`: when the endpoint last closed a connection or one failed to connect; `missed`: the last
    failure to connect alone; `misses`: how many attempts in a row have failed to connect so far.
    """

    answered: float = -math.inf
    opened: float = math.inf
    broken: float = -math.inf
    missed: float = -math.inf
    misses: int = 0


class State(Enum):
    """A member's state. Members that are PRESENT, LEAVING or HELD are offered."""

    PRESENT = "present"
    LEAVING = "leaving"  # vanished; not yet known whether others vanish with it
    HELD = "held"
    WAITING = "waiting"  # flapping: its node is back, but it is not offered yet
    ASIDE = "aside"


OFFERED = frozenset({State.PRESENT, State.LEAVING, State.HELD})


@dataclass(slots=True)
class Member:
    """The state of one endpoint."""

    found: Found
    since: float
    node: str
    state: State = State.PRESENT
    at: float = 0.0  # when its state began
    until: float = math.inf  # when it ends by timeout
    misses_from: float = math.inf  # first failed connect since its last answer
    asides: int = 0

    def move(self, state: State, at: float, until: float = math.inf) -> None:
        self.state, self.at, self.until = state, at, until


@dataclass(slots=True, frozen=True)
class Ended:
    """A node that has ended or drains."""

    identity: tuple[int, int, int]
    mzxid: int
    at: float
    marked: bool = False  # by the operator's drain list, which may revoke it


@dataclass(slots=True)
class Counts:
    """How often each decision was taken, for the log and for tests."""

    gone: int = 0
    drained: int = 0
    held: int = 0
    returned: int = 0
    dead: int = 0
    released: int = 0
    aside: int = 0
    offered_again: int = 0
    believed: int = 0  # flapping members that are offered again
    stale: int = 0


Witness = Callable[[str], Seen]


class Judge:
    """The members of one directory. `see` takes a complete list; `decide` acts on time and own evidence."""

    def __init__(self, terms: Terms, rng: random.Random, witness: Witness) -> None:
        self.terms = terms
        self.rng = rng
        self.witness = witness
        self.members: dict[str, Member] = {}
        self.ended: dict[str, Ended] = {}
        self.draining: dict[str, Listed] = {}  # draining, node still there
        self.departures: deque[tuple[float, str]] = (
            deque()
        )  # (time, name) within the window, without those that are back
        self.returns: dict[str, list[float]] = {}
        self.counts = Counts()
        self.suspect = False
        self.looked = -math.inf

    # Lists

    def see(
        self,
        now: float,
        nodes: Collection[tuple[str, Found]],
        drained: Collection[str],
        suspect: bool = False,
    ) -> None:
        """Take in the complete current list: all nodes, and the names of those that an operator drains.

        `suspect`: the coordinator can't be trusted on which nodes are gone.
        """
        self.suspect = suspect
        newest: dict[str, tuple[Found, str]] = {}
        for node, found in nodes:
            name = found.held.name
            if name not in newest or found.czxid > newest[name][0].czxid:
                newest[name] = found, node
        for name, (found, node) in newest.items():
            if node in drained or not found.held.ready:
                self._drain(now, name, found, node in drained)
            elif not self._stale(name, found):
                self._present(now, name, node, found)
        self.draining = {n: entry for n, entry in self.draining.items() if n in newest}
        for name, member in list(self.members.items()):
            if name in newest:
                continue
            if member.node in drained:
                self._end(now, name, member.found)  # an operator's drain applies to a held member too
                self.counts.drained += 1
            elif member.state in (State.WAITING, State.ASIDE):
                self._end(now, name, member.found)
                self.counts.gone += 1
            elif member.state is State.PRESENT:
                member.move(State.LEAVING, now, now + self.terms.settle)
                self.departures.append((now, name))

    def _stale(self, name: str, found: Found) -> bool:
        """Whether this is outdated data on a node that has ended, from a server that lags or lost changes."""
        ended = self.ended.get(name)
        if ended is None or ended.identity != found.identity:
            return False
        if (ended.marked or found.mzxid > ended.mzxid) and not self.suspect:
            return False  # the drain was revoked
        self.counts.stale += 1
        return True

    def _drain(self, now: float, name: str, found: Found, marked: bool) -> None:
        """An explicit drain removes the member at once, in any state."""
        self.draining[name] = found.held.listed
        if name in self.members:
            del self.members[name]
            self.counts.drained += 1
        self.ended[name] = Ended(found.identity, found.mzxid, now, marked)

    def _end(self, now: float, name: str, found: Found) -> None:
        self.members.pop(name, None)
        self.ended[name] = Ended(found.identity, found.mzxid, now)

    def _present(self, now: float, name: str, node: str, found: Found) -> None:
        member = self.members.get(name)
        if member is None:
            member = self.members[name] = Member(found, self._start(found), node, at=now)
            self._explained(name)
            wait = self._flap(now, name) if name in self.ended else 0.0
            if wait:
                member.move(State.WAITING, now, now + wait)
            self.ended.pop(name, None)
            return
        vanished = member.state in (State.LEAVING, State.HELD)
        if member.found.identity != found.identity:
            if not self._same_process(member, found, name):
                member.since = max(self._start(found), member.since + 1.0)
                member.misses_from, member.asides = math.inf, 0
                if member.state is State.ASIDE:
                    member.move(State.PRESENT, now)
        elif found.held.listed.endpoint.started_at > 0:
            member.since = found.held.listed.endpoint.started_at
        member.found, member.node = found, node
        if vanished:
            member.move(State.PRESENT, now)
            self.counts.returned += 1
            self._explained(name)

    def _explained(self, name: str) -> None:
        """Forget a departure: the member is back or seen dead, so it no longer implicates the coordinator."""
        if any(name == gone for _, gone in self.departures):
            self.departures = deque(d for d in self.departures if d[1] != name)

    @staticmethod
    def _start(found: Found) -> float:
        return found.held.listed.endpoint.started_at or float(found.ctime)

    def _same_process(self, member: Member, found: Found, name: str) -> bool:
        before = member.found.held
        if before.listed.address != found.held.listed.address:
            return False
        if before.instance or found.held.instance:
            return before.instance == found.held.instance
        if before.listed.endpoint.started_at > 0 or found.held.listed.endpoint.started_at > 0:
            return before.listed.endpoint.started_at == found.held.listed.endpoint.started_at
        if member.state is not State.HELD:
            return False
        seen = self.witness(name)
        return seen.opened < member.at and seen.answered > member.at and seen.broken < seen.opened

    def _flap(self, now: float, name: str) -> float:
        """How long (ms) a node that is back has to wait; 0 unless it flaps."""
        times = [t for t in self.returns.get(name, []) if t > now - FLAP_WINDOW] + [now]
        self.returns[name] = times
        more = len(times) - FLAPS
        return min(FLAP_MOST, FLAP_WAIT * 2.0**more) if more >= 0 else 0.0

    # Time and evidence

    def few(self) -> int:
        """How many members may vanish within a window and be taken as gone; more are held."""
        there = sum(m.state in OFFERED for m in self.members.values())
        gone = sum(name not in self.members for _, name in self.departures)
        return max(1, math.ceil(self.terms.share * (there + gone)))

    def decide(self, now: float) -> None:
        """Apply the decisions that are due."""
        self._forget(now)
        mass = self.suspect or len(self.departures) > self.few()
        for name, member in list(self.members.items()):
            if member.state is State.LEAVING:
                if mass:
                    member.move(State.HELD, member.at, member.at + self.terms.hold)
                    self.counts.held += 1
                elif now >= member.until:
                    self._end(now, name, member.found)
                    self.counts.gone += 1
            elif member.state is State.WAITING and now >= member.until:
                member.move(State.PRESENT, now)
                self.counts.believed += 1
        self._holds(now)
        if now >= self.looked + LOOK_EVERY:
            self.looked = now
            self._lingering(now)

    def _forget(self, now: float) -> None:
        while self.departures and self.departures[0][0] <= now - self.terms.window:
            self.departures.popleft()
        for name in [n for n, e in self.ended.items() if e.at < now - REMEMBER]:
            del self.ended[name]
        for name in [n for n, times in self.returns.items() if times[-1] < now - FLAP_WINDOW]:
            del self.returns[name]

    def _holds(self, now: float) -> None:
        """Remove held members that are seen dead, and those whose time is over, at most `few` a window."""
        held = [(n, m) for n, m in self.members.items() if m.state is State.HELD]
        room = self.few() - sum(name not in self.members for _, name in self.departures)
        for name, member in sorted(held, key=lambda h: (h[1].at, h[0])):
            seen = self.witness(name)
            if seen.misses and seen.missed > max(member.at, seen.answered):
                # Two independent signs: its session is gone, and connecting to it fails.
                self._end(now, name, member.found)
                self._explained(name)
                self.counts.dead += 1
                continue
            heard = seen.answered > now - HEARD_WITHIN and now < member.at + self.terms.hold_most
            if now >= member.until and not heard and room > 0:
                room -= 1
                self._end(now, name, member.found)
                self.departures.append((now, name))
                self.counts.released += 1

    def _lingering(self, now: float) -> None:
        """Set aside members that are listed but unreachable; offer again those whose time aside is over."""
        most = int(ASIDE_SHARE * len(self.members))
        aside = sum(m.state is State.ASIDE for m in self.members.values())
        for name, member in self.members.items():
            if member.state is State.ASIDE:
                if now >= member.until:
                    aside -= 1
                    member.since = max(member.since, now)  # it may have restarted meanwhile: treat it as cold
                    member.misses_from = math.inf
                    member.move(State.PRESENT, now)
                    self.counts.offered_again += 1
                continue
            if member.state is not State.PRESENT:
                continue
            seen = self.witness(name)
            if not seen.misses:
                member.misses_from = math.inf
                if seen.answered > member.at:
                    member.asides = 0
            else:
                member.misses_from = min(member.misses_from, seen.missed)
            tried = member.asides > 0 and member.misses_from < math.inf  # offered again and still unreachable
            if aside < most and (tried or seen.missed - member.misses_from >= ASIDE_AFTER):
                aside += 1
                wait = min(ASIDE_MOST, ASIDE_FIRST * 2.0**member.asides) * (0.5 + 0.5 * self.rng.random())
                member.asides += 1
                member.move(State.ASIDE, now, now + wait)
                self.counts.aside += 1

    def due(self) -> float:
        """When the next state ends by timeout; evidence may end it earlier."""
        return min((m.until for m in self.members.values()), default=math.inf)

    def unsettled(self) -> bool:
        """Whether own evidence may lead to a decision soon."""
        return any(m.state in (State.LEAVING, State.HELD) for m in self.members.values())

    # Results

    def offered(self) -> dict[str, Listed]:
        """The endpoints that may receive requests, by name."""
        return {
            name: replace(entry := m.found.held.listed, endpoint=replace(entry.endpoint, started_at=m.since))
            for name, m in self.members.items()
            if m.state in OFFERED and m.found.held.listed.address is not None
        }

    def states(self) -> dict[str, int]:
        """How many members are in each state."""
        return {s.value: sum(m.state is s for m in self.members.values()) for s in State} | {
            "draining": len(self.draining)
        }
