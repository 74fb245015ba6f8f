"""Tracks the contents of a directory of nodes: decides what to read and when. Pure: no I/O, no clock.

Watches are one-shot, so each read sets its watch again: a change between a watch event and the read is in
the read's result, and a change after the read fires the new watch. So no change is missed, however long
messages are delayed. A watch event for a change that is known already costs one read and changes nothing. An
event that arrives while a read of the same node is in flight needs no further read: replies and watch events
arrive in the order of the changes, so the read includes the event's change; a delayed event is older still.

    PATH                 the directory; each child is a member, its data as parsed by `nodes`
    PATH/draining        optional; a child NAME of it drains the member whose node is NAME
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field

from millgw.membership.jute import Stat
from millgw.membership.protocol import Ask, Change, Code, Fired, Kind, Reply

DRAINING = "draining"
PACE = 100.0  # ms: minimum interval between two reads of one node, whose data may change 100 times a second
RECHECK = 10_000.0  # ms between re-reads of the lists regardless of watches: a watch event may be lost
SLICE = 64  # nodes re-read at each recheck, in rotation: their watch events may be lost too
READS = 256  # concurrent reads
MOST_NODES = 20_000


@dataclass(slots=True, frozen=True)
class Node:
    """A member's node as last read."""

    data: bytes
    stat: Stat


@dataclass(slots=True)
class Picture:
    """The directory as known now.

    `whole`: everything has been read since the session began. `missing`: the directory does not exist.
    """

    nodes: dict[str, Node] = field(default_factory=dict)
    draining: frozenset[str] = frozenset()
    whole: bool = False
    missing: bool = False


class Follower:
    """Follows one directory. The caller sends the returned requests in order and passes in what arrives."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.picture = Picture()
        self.names: frozenset[str] = frozenset()
        self.wanted: dict[str, None] = {}  # names of members to read, in order
        self.reading: dict[str, None] = {}  # names of members whose read is in flight
        self.listing: dict[str, None] = {}
        self.read_at: dict[str, float] = {}
        self.later: list[tuple[float, str]] = []
        self.rechecked = 0.0
        self.turn = 0
        self.too_many = 0
        self.changes = 0  # how often the picture has changed

    # Events

    def up(self, now: float, fresh: bool) -> list[Ask]:
        """A connection is established: reads everything on a fresh session, else what was in flight."""
        lost = list(self.reading)
        lists = [self.path] if fresh else list(self.listing)
        self.reading.clear()
        self.listing.clear()
        if fresh:
            self.picture.whole = False
            self.wanted = {}
            self.read_at.clear()
            self.names = frozenset()
        else:
            self.wanted = dict.fromkeys([*lost, *self.wanted])
            if self.picture.missing:
                lists.append(self.path)
        self.rechecked = now
        return [self._list(path) for path in dict.fromkeys(lists)] + self._reads(now)

    def watches(self) -> tuple[list[str], list[str], list[str]]:
        """The watches to set again when a session moves to another server: data, exists, children."""
        if self.picture.missing:
            return [], [self.path], []
        lists = [self.path, *([f"{self.path}/{DRAINING}"] if DRAINING in self.names else [])]
        return [f"{self.path}/{name}" for name in self.picture.nodes], [], lists

    def fired(self, now: float, fired: Fired) -> list[Ask]:
        """Handle a watch event."""
        if fired.path in (self.path, f"{self.path}/{DRAINING}"):
            return [self._list(fired.path)] if fired.path not in self.listing else []
        above, _, name = fired.path.rpartition("/")
        if above != self.path or fired.change == Change.CHILDREN:
            return []
        if name in self.reading:
            return []
        due = self.read_at.get(name, 0.0) + PACE
        if now < due:
            heapq.heappush(self.later, (due, name))
            return []
        self.wanted[name] = None
        return self._reads(now)

    def reply(self, now: float, reply: Reply) -> list[Ask]:
        """Handle the reply to one of its requests."""
        path = reply.ask.path
        if reply.ask.kind is Kind.EXISTS:
            return [self._list(self.path)] if reply.code == Code.OK else []
        if reply.ask.kind is Kind.READ:
            return self._read(now, path.rpartition("/")[2], reply)
        self.listing.pop(path, None)
        if path == self.path:
            return self._listed(now, reply)
        self.picture.draining = frozenset(reply.names) if reply.code == Code.OK else frozenset()
        self.changes += 1
        self._settle()
        return []

    def tick(self, now: float) -> list[Ask]:
        """Return the requests that are due; `due` gives the time of the next."""
        while self.later and self.later[0][0] <= now:
            name = heapq.heappop(self.later)[1]
            if name in self.names and name not in self.reading:
                self.wanted[name] = None
        asks = self._reads(now)
        if now >= self.rechecked + RECHECK:
            self.rechecked = now
            asks += [self._list(p) for p in self.watches()[2] if p not in self.listing]
            names = sorted(self.picture.nodes)
            for name in names[self.turn : self.turn + SLICE]:
                self.wanted.setdefault(name)
            self.turn = self.turn + SLICE if self.turn + SLICE < len(names) else 0
            asks += self._reads(now)
        return asks

    def due(self) -> float:
        """When `tick` has to be called next."""
        return min(self.later[0][0] if self.later else self.rechecked + RECHECK, self.rechecked + RECHECK)

    # Reading

    def _list(self, path: str) -> Ask:
        self.listing[path] = None
        return Ask(Kind.CHILDREN, path)

    def _listed(self, now: float, reply: Reply) -> list[Ask]:
        picture = self.picture
        if reply.code == Code.NO_NODE:
            self.changes += 1
            picture.missing, picture.whole = True, True
            picture.nodes.clear()
            self.names = frozenset()
            return [Ask(Kind.EXISTS, self.path)]
        if reply.code != Code.OK:
            return []
        self.too_many = len(reply.names) if len(reply.names) > MOST_NODES else 0
        if self.too_many:
            return []  # keeps what is known: no real fleet has a list this long
        before, picture.missing = self.names, False
        self.names = frozenset(reply.names)
        self.changes += self.names != before
        members = self.names - {DRAINING}
        for name in [n for n in picture.nodes if n not in members]:
            del picture.nodes[name]
        for name in [n for n in self.wanted if n not in members]:
            del self.wanted[name]
        for name in sorted(members - before):
            self.wanted[name] = None
        asks = []
        if DRAINING in self.names and DRAINING not in before:
            asks.append(self._list(f"{self.path}/{DRAINING}"))
        elif DRAINING not in self.names:
            picture.draining = frozenset()
        asks += self._reads(now)
        self._settle()
        return asks

    def _reads(self, now: float) -> list[Ask]:
        asks = []
        while self.wanted and len(self.reading) < READS:
            name = next(iter(self.wanted))
            del self.wanted[name]
            if name in self.reading:
                continue
            self.reading[name] = None
            self.read_at[name] = now
            asks.append(Ask(Kind.READ, f"{self.path}/{name}"))
        return asks

    def _read(self, now: float, name: str, reply: Reply) -> list[Ask]:
        self.reading.pop(name, None)
        if reply.code == Code.OK and reply.stat is not None:
            node = Node(reply.data, reply.stat)
            if name in self.names and self.picture.nodes.get(name) != node:
                self.picture.nodes[name] = node
                self.changes += 1
        else:
            self.changes += 1
            self.picture.nodes.pop(name, None)
            self.read_at.pop(name, None)
            # If the node is created again before the directory is listed, the list must count it as new;
            # otherwise it would not be read.
            self.names -= {name}
        asks = self._reads(now)
        self._settle()
        return asks

    def _settle(self) -> None:
        listing = {p for p in self.listing if p == self.path or DRAINING in self.names}
        if not (self.picture.whole or self.wanted or self.reading or listing):
            self.picture.whole = True
            self.changes += 1
