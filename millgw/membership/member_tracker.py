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

FEW is `DepartureSettings.share` of the members present before, at least one; WINDOW, SETTLE, HOLD and
HOLD_MOST are its fields of these names. While the coordinator is unreachable this module
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

from millgw.membership.nodes import NodeData
from millgw.platform.discovery import ListedEndpoint

FLAPS = 3  # returns within FLAP_WINDOW from which on a returning node has to wait
FLAP_WINDOW = 30_000.0  # ms
FLAP_FIRST_DELAY, FLAP_MAX_DELAY = 1000.0, 8000.0  # ms; doubles with each further return
ASIDE_AFTER = 10_000.0  # ms of failed connections
# ms until a member set aside is offered again: first and maximum; doubles, with jitter
ASIDE_FIRST_DELAY, ASIDE_MAX_DELAY = 10_000.0, 60_000.0
LINGERING_CHECK_INTERVAL = 1000.0  # ms between checks for unreachable members
ASIDE_SHARE = 1 / 3  # maximum share of the members: if more are unreachable, the fault is on this side
REMEMBER_ENDED = 600_000.0  # ms to remember the end of a node, so that an older list does not bring it back
RESPONDING_WITHIN = 5000.0  # ms since its last answer for which a held endpoint counts as responding


@dataclass(slots=True, frozen=True)
class DepartureSettings:
    """The operator's settings. Times in ms."""

    share: float = 0.15
    window: float = 10_000.0
    settle: float = 150.0  # waits to see whether others vanish too; well within the drain grace period
    hold: float = 30_000.0
    hold_most: float = 300_000.0


@dataclass(slots=True, frozen=True)
class MemberNode:
    """A member's node: its creation, its owner and its parsed data."""

    czxid: int
    mzxid: int
    ctime: int  # Unix ms
    owner: int
    data: NodeData

    @property
    def identity(self) -> tuple[int, int, int]:
        """Identifies one creation of the node; unaffected by changes of its data."""
        return self.czxid, self.ctime, self.owner


@dataclass(slots=True, frozen=True)
class EndpointEvidence:
    """This sidecar's own evidence on an endpoint; `-inf` for never.

    `last_answer`: on a connection that is still open; `oldest_opened`: when the oldest of these was opened;
    `last_broken`: when the endpoint last closed a connection or one failed to connect; `last_miss`: the
    latter alone; `misses`: how many attempts in a row have failed to connect so far.
    """

    last_answer: float = -math.inf
    oldest_opened: float = math.inf
    last_broken: float = -math.inf
    last_miss: float = -math.inf
    misses: int = 0


class MemberState(Enum):
    """A member's state. Members that are PRESENT, LEAVING or HELD are offered."""

    PRESENT = "present"
    LEAVING = "leaving"  # vanished; not yet known whether others vanish with it
    HELD = "held"
    WAITING = "waiting"  # flapping: its node is back, but it is not offered yet
    ASIDE = "aside"


OFFERED = frozenset({MemberState.PRESENT, MemberState.LEAVING, MemberState.HELD})


@dataclass(slots=True)
class Member:
    """The state of one endpoint."""

    node: MemberNode
    started_at: float
    node_name: str
    state: MemberState = MemberState.PRESENT
    state_since: float = 0.0  # when its state began
    state_until: float = math.inf  # when it ends by timeout
    first_miss: float = math.inf  # first failed connect since its last answer
    times_aside: int = 0

    def set_state(self, state: MemberState, at: float, until: float = math.inf) -> None:
        self.state, self.state_since, self.state_until = state, at, until


@dataclass(slots=True, frozen=True)
class EndedNode:
    """A node that has ended or drains."""

    identity: tuple[int, int, int]
    mzxid: int
    at: float
    listed_draining: bool = False  # by the operator's drain list, which may revoke it


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
    offered_after_flapping: int = 0  # flapping members that are offered again
    stale: int = 0


EvidenceLookup = Callable[[str], EndpointEvidence]


class MembershipTracker:
    """Members of one directory. `update` takes a complete list; `decide` acts on time and own evidence."""

    def __init__(self, settings: DepartureSettings, rng: random.Random, evidence: EvidenceLookup) -> None:
        self.settings = settings
        self.rng = rng
        self.evidence = evidence
        self.members: dict[str, Member] = {}
        self.ended: dict[str, EndedNode] = {}
        self.draining: dict[str, ListedEndpoint] = {}  # draining, node still there
        # (time, name) within the window, without those that are back
        self.departures: deque[tuple[float, str]] = deque()
        self.returns: dict[str, list[float]] = {}
        self.counts = Counts()
        self.suspect = False
        self.last_lingering_check = -math.inf

    # Lists

    def update(
        self,
        now: float,
        nodes: Collection[tuple[str, MemberNode]],
        drained: Collection[str],
        suspect: bool = False,
    ) -> None:
        """Take in the complete current list: all nodes, and the names of those that an operator drains.

        `suspect`: the coordinator can't be trusted on which nodes are gone.
        """
        self.suspect = suspect
        newest: dict[str, tuple[MemberNode, str]] = {}
        for node_name, node in nodes:
            name = node.data.name
            if name not in newest or node.czxid > newest[name][0].czxid:
                newest[name] = node, node_name
        for name, (node, node_name) in newest.items():
            if node_name in drained or not node.data.ready:
                self._remove_draining(now, name, node, node_name in drained)
            elif not self._is_stale(name, node):
                self._update_present(now, name, node_name, node)
        self.draining = {n: entry for n, entry in self.draining.items() if n in newest}
        for name, member in list(self.members.items()):
            if name in newest:
                continue
            if member.node_name in drained:
                self._remove(now, name, member.node)  # an operator's drain applies to a held member too
                self.counts.drained += 1
            elif member.state in (MemberState.WAITING, MemberState.ASIDE):
                self._remove(now, name, member.node)
                self.counts.gone += 1
            elif member.state is MemberState.PRESENT:
                member.set_state(MemberState.LEAVING, now, now + self.settings.settle)
                self.departures.append((now, name))

    def _is_stale(self, name: str, node: MemberNode) -> bool:
        """Whether this is outdated data on a node that has ended, from a server that lags or lost changes."""
        ended = self.ended.get(name)
        if ended is None or ended.identity != node.identity:
            return False
        if (ended.listed_draining or node.mzxid > ended.mzxid) and not self.suspect:
            return False  # the drain was revoked
        self.counts.stale += 1
        return True

    def _remove_draining(self, now: float, name: str, node: MemberNode, listed_draining: bool) -> None:
        """An explicit drain removes the member at once, in any state."""
        self.draining[name] = node.data.listed
        if name in self.members:
            del self.members[name]
            self.counts.drained += 1
        self.ended[name] = EndedNode(node.identity, node.mzxid, now, listed_draining)

    def _remove(self, now: float, name: str, node: MemberNode) -> None:
        self.members.pop(name, None)
        self.ended[name] = EndedNode(node.identity, node.mzxid, now)

    def _update_present(self, now: float, name: str, node_name: str, node: MemberNode) -> None:
        member = self.members.get(name)
        if member is None:
            member = self.members[name] = Member(node, self._start_time(node), node_name, state_since=now)
            self._forget_departure(name)
            wait = self._flap_delay(now, name) if name in self.ended else 0.0
            if wait:
                member.set_state(MemberState.WAITING, now, now + wait)
            self.ended.pop(name, None)
            return
        vanished = member.state in (MemberState.LEAVING, MemberState.HELD)
        if member.node.identity != node.identity:
            if not self._same_process(member, node, name):
                member.started_at = max(self._start_time(node), member.started_at + 1.0)
                member.first_miss, member.times_aside = math.inf, 0
                if member.state is MemberState.ASIDE:
                    member.set_state(MemberState.PRESENT, now)
        elif node.data.listed.endpoint.started_at > 0:
            member.started_at = node.data.listed.endpoint.started_at
        member.node, member.node_name = node, node_name
        if vanished:
            member.set_state(MemberState.PRESENT, now)
            self.counts.returned += 1
            self._forget_departure(name)

    def _forget_departure(self, name: str) -> None:
        """Forget a departure: the member is back or seen dead, so it no longer implicates the coordinator."""
        if any(name == gone for _, gone in self.departures):
            self.departures = deque(d for d in self.departures if d[1] != name)

    @staticmethod
    def _start_time(node: MemberNode) -> float:
        return node.data.listed.endpoint.started_at or float(node.ctime)

    def _same_process(self, member: Member, node: MemberNode, name: str) -> bool:
        before = member.node.data
        if before.listed.address != node.data.listed.address:
            return False
        if before.instance or node.data.instance:
            return before.instance == node.data.instance
        if before.listed.endpoint.started_at > 0 or node.data.listed.endpoint.started_at > 0:
            return before.listed.endpoint.started_at == node.data.listed.endpoint.started_at
        if member.state is not MemberState.HELD:
            return False
        seen = self.evidence(name)
        return (
            seen.oldest_opened < member.state_since
            and seen.last_answer > member.state_since
            and seen.last_broken < seen.oldest_opened
        )

    def _flap_delay(self, now: float, name: str) -> float:
        """How long (ms) a node that is back has to wait; 0 unless it flaps."""
        times = [t for t in self.returns.get(name, []) if t > now - FLAP_WINDOW] + [now]
        self.returns[name] = times
        excess = len(times) - FLAPS
        return min(FLAP_MAX_DELAY, FLAP_FIRST_DELAY * 2.0**excess) if excess >= 0 else 0.0

    # Time and evidence

    def departure_limit(self) -> int:
        """How many members may vanish within a window and be taken as gone; more are held."""
        there = sum(m.state in OFFERED for m in self.members.values())
        gone = sum(name not in self.members for _, name in self.departures)
        return max(1, math.ceil(self.settings.share * (there + gone)))

    def decide(self, now: float) -> None:
        """Apply the decisions that are due."""
        self._expire_records(now)
        mass_departure = self.suspect or len(self.departures) > self.departure_limit()
        for name, member in list(self.members.items()):
            if member.state is MemberState.LEAVING:
                if mass_departure:
                    member.set_state(
                        MemberState.HELD, member.state_since, member.state_since + self.settings.hold
                    )
                    self.counts.held += 1
                elif now >= member.state_until:
                    self._remove(now, name, member.node)
                    self.counts.gone += 1
            elif member.state is MemberState.WAITING and now >= member.state_until:
                member.set_state(MemberState.PRESENT, now)
                self.counts.offered_after_flapping += 1
        self._decide_held(now)
        if now >= self.last_lingering_check + LINGERING_CHECK_INTERVAL:
            self.last_lingering_check = now
            self._decide_lingering(now)

    def _expire_records(self, now: float) -> None:
        while self.departures and self.departures[0][0] <= now - self.settings.window:
            self.departures.popleft()
        for name in [n for n, e in self.ended.items() if e.at < now - REMEMBER_ENDED]:
            del self.ended[name]
        for name in [n for n, times in self.returns.items() if times[-1] < now - FLAP_WINDOW]:
            del self.returns[name]

    def _decide_held(self, now: float) -> None:
        """Remove held members seen dead, and at most `departure_limit` a window whose time is over."""
        held = [(n, m) for n, m in self.members.items() if m.state is MemberState.HELD]
        removable = self.departure_limit() - sum(name not in self.members for _, name in self.departures)
        for name, member in sorted(held, key=lambda h: (h[1].state_since, h[0])):
            seen = self.evidence(name)
            if seen.misses and seen.last_miss > max(member.state_since, seen.last_answer):
                # Two independent signs: its session is gone, and connecting to it fails.
                self._remove(now, name, member.node)
                self._forget_departure(name)
                self.counts.dead += 1
                continue
            responding = (
                seen.last_answer > now - RESPONDING_WITHIN
                and now < member.state_since + self.settings.hold_most
            )
            if now >= member.state_until and not responding and removable > 0:
                removable -= 1
                self._remove(now, name, member.node)
                self.departures.append((now, name))
                self.counts.released += 1

    def _decide_lingering(self, now: float) -> None:
        """Set aside members that are listed but unreachable; offer again those whose time aside is over."""
        max_aside = int(ASIDE_SHARE * len(self.members))
        aside = sum(m.state is MemberState.ASIDE for m in self.members.values())
        for name, member in self.members.items():
            if member.state is MemberState.ASIDE:
                if now >= member.state_until:
                    aside -= 1
                    member.started_at = max(
                        member.started_at, now
                    )  # it may have restarted meanwhile: treat it as cold
                    member.first_miss = math.inf
                    member.set_state(MemberState.PRESENT, now)
                    self.counts.offered_again += 1
                continue
            if member.state is not MemberState.PRESENT:
                continue
            seen = self.evidence(name)
            if not seen.misses:
                member.first_miss = math.inf
                if seen.last_answer > member.state_since:
                    member.times_aside = 0
            else:
                member.first_miss = min(member.first_miss, seen.last_miss)
            # Offered again and still unreachable:
            still_unreachable = member.times_aside > 0 and member.first_miss < math.inf
            if aside < max_aside and (still_unreachable or seen.last_miss - member.first_miss >= ASIDE_AFTER):
                aside += 1
                wait = min(ASIDE_MAX_DELAY, ASIDE_FIRST_DELAY * 2.0**member.times_aside) * (
                    0.5 + 0.5 * self.rng.random()
                )
                member.times_aside += 1
                member.set_state(MemberState.ASIDE, now, now + wait)
                self.counts.aside += 1

    def next_timeout(self) -> float:
        """When the next state ends by timeout; evidence may end it earlier."""
        return min((m.state_until for m in self.members.values()), default=math.inf)

    def has_open_departures(self) -> bool:
        """Whether own evidence may lead to a decision soon."""
        return any(m.state in (MemberState.LEAVING, MemberState.HELD) for m in self.members.values())

    # Results

    def offered(self) -> dict[str, ListedEndpoint]:
        """The endpoints that may receive requests, by name."""
        return {
            name: replace(
                entry := m.node.data.listed, endpoint=replace(entry.endpoint, started_at=m.started_at)
            )
            for name, m in self.members.items()
            if m.state in OFFERED and m.node.data.listed.address is not None
        }

    def states(self) -> dict[str, int]:
        """How many members are in each state."""
        return {s.value: sum(m.state is s for m in self.members.values()) for s in MemberState} | {
            "draining": len(self.draining)
        }
