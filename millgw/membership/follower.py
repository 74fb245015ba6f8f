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
from millgw.membership.protocol import Code, EventType, Operation, Reply, Request, WatchEvent

DRAINING = "draining"
MIN_READ_INTERVAL = 100.0  # ms between two reads of one node, whose data may change 100 times a second
RECHECK_INTERVAL = 10_000.0  # ms between re-reads of the lists without an event: events may be lost
RECHECK_BATCH = 64  # nodes re-read at each recheck, in rotation: their watch events may be lost too
MAX_READS_IN_FLIGHT = 256  # concurrent reads
MAX_NODES = 20_000


@dataclass(slots=True, frozen=True)
class Node:
    """A member's node as last read."""

    data: bytes
    stat: Stat


@dataclass(slots=True)
class DirectoryState:
    """The directory as known now.

    `complete`: everything has been read since the session began. `missing`: the directory does not exist.
    """

    nodes: dict[str, Node] = field(default_factory=dict)
    draining: frozenset[str] = frozenset()
    complete: bool = False
    missing: bool = False


class DirectoryFollower:
    """Follows one directory. The caller sends the returned requests in order and passes in what arrives."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.state = DirectoryState()
        self.child_names: frozenset[str] = frozenset()
        self.to_read: dict[str, None] = {}  # names of members to read, in order
        self.reads_in_flight: dict[str, None] = {}  # names of members whose read is in flight
        self.lists_in_flight: dict[str, None] = {}
        self.read_at: dict[str, float] = {}  # by name: when its last read was requested (ms)
        self.delayed_reads: list[tuple[float, str]] = []  # heap of (due time in ms, name)
        self.last_recheck = 0.0
        self.recheck_position = 0
        self.too_many = 0  # length of a list that exceeds `MAX_NODES`, else 0
        self.revision = 0  # incremented with each change of the state

    # Events

    def on_connected(self, now: float, fresh: bool) -> list[Request]:
        """A connection is established: reads everything on a fresh session, else what was in flight."""
        lost = list(self.reads_in_flight)
        lists = [self.path] if fresh else list(self.lists_in_flight)
        self.reads_in_flight.clear()
        self.lists_in_flight.clear()
        if fresh:
            self.state.complete = False
            self.to_read = {}
            self.read_at.clear()
            self.child_names = frozenset()
        else:
            self.to_read = dict.fromkeys([*lost, *self.to_read])
            if self.state.missing:
                lists.append(self.path)
        self.last_recheck = now
        return [self._list_request(path) for path in dict.fromkeys(lists)] + self._next_reads(now)

    def watches(self) -> tuple[list[str], list[str], list[str]]:
        """The watches to set again when a session moves to another server: data, exists, children."""
        if self.state.missing:
            return [], [self.path], []
        lists = [self.path, *([f"{self.path}/{DRAINING}"] if DRAINING in self.child_names else [])]
        return [f"{self.path}/{name}" for name in self.state.nodes], [], lists

    def on_watch_event(self, now: float, event: WatchEvent) -> list[Request]:
        """Handle a watch event."""
        if event.path in (self.path, f"{self.path}/{DRAINING}"):
            return [self._list_request(event.path)] if event.path not in self.lists_in_flight else []
        parent, _, name = event.path.rpartition("/")
        if parent != self.path or event.event_type == EventType.CHILDREN:
            return []
        if name in self.reads_in_flight:
            return []
        due = self.read_at.get(name, 0.0) + MIN_READ_INTERVAL
        if now < due:
            heapq.heappush(self.delayed_reads, (due, name))
            return []
        self.to_read[name] = None
        return self._next_reads(now)

    def on_reply(self, now: float, reply: Reply) -> list[Request]:
        """Handle the reply to one of its requests."""
        path = reply.request.path
        if reply.request.operation is Operation.EXISTS:
            return [self._list_request(self.path)] if reply.code == Code.OK else []
        if reply.request.operation is Operation.READ:
            return self._handle_read(now, path.rpartition("/")[2], reply)
        self.lists_in_flight.pop(path, None)
        if path == self.path:
            return self._handle_list(now, reply)
        self.state.draining = frozenset(reply.names) if reply.code == Code.OK else frozenset()
        self.revision += 1
        self._check_complete()
        return []

    def tick(self, now: float) -> list[Request]:
        """Return the requests that are due; `next_tick` gives the time of the next."""
        while self.delayed_reads and self.delayed_reads[0][0] <= now:
            name = heapq.heappop(self.delayed_reads)[1]
            if name in self.child_names and name not in self.reads_in_flight:
                self.to_read[name] = None
        requests = self._next_reads(now)
        if now >= self.last_recheck + RECHECK_INTERVAL:
            self.last_recheck = now
            requests += [self._list_request(p) for p in self.watches()[2] if p not in self.lists_in_flight]
            names = sorted(self.state.nodes)
            for name in names[self.recheck_position : self.recheck_position + RECHECK_BATCH]:
                self.to_read.setdefault(name)
            self.recheck_position = (
                self.recheck_position + RECHECK_BATCH
                if self.recheck_position + RECHECK_BATCH < len(names)
                else 0
            )
            requests += self._next_reads(now)
        return requests

    def next_tick(self) -> float:
        """When `tick` has to be called next."""
        return min(
            self.delayed_reads[0][0] if self.delayed_reads else self.last_recheck + RECHECK_INTERVAL,
            self.last_recheck + RECHECK_INTERVAL,
        )

    # Reading

    def _list_request(self, path: str) -> Request:
        self.lists_in_flight[path] = None
        return Request(Operation.CHILDREN, path)

    def _handle_list(self, now: float, reply: Reply) -> list[Request]:
        state = self.state
        if reply.code == Code.NO_NODE:
            self.revision += 1
            state.missing, state.complete = True, True
            state.nodes.clear()
            self.child_names = frozenset()
            return [Request(Operation.EXISTS, self.path)]
        if reply.code != Code.OK:
            return []
        self.too_many = len(reply.names) if len(reply.names) > MAX_NODES else 0
        if self.too_many:
            return []  # keeps what is known: no real fleet has a list this long
        before, state.missing = self.child_names, False
        self.child_names = frozenset(reply.names)
        self.revision += self.child_names != before
        members = self.child_names - {DRAINING}
        for name in [n for n in state.nodes if n not in members]:
            del state.nodes[name]
        for name in [n for n in self.to_read if n not in members]:
            del self.to_read[name]
        for name in sorted(members - before):
            self.to_read[name] = None
        requests = []
        if DRAINING in self.child_names and DRAINING not in before:
            requests.append(self._list_request(f"{self.path}/{DRAINING}"))
        elif DRAINING not in self.child_names:
            state.draining = frozenset()
        requests += self._next_reads(now)
        self._check_complete()
        return requests

    def _next_reads(self, now: float) -> list[Request]:
        requests = []
        while self.to_read and len(self.reads_in_flight) < MAX_READS_IN_FLIGHT:
            name = next(iter(self.to_read))
            del self.to_read[name]
            if name in self.reads_in_flight:
                continue
            self.reads_in_flight[name] = None
            self.read_at[name] = now
            requests.append(Request(Operation.READ, f"{self.path}/{name}"))
        return requests

    def _handle_read(self, now: float, name: str, reply: Reply) -> list[Request]:
        self.reads_in_flight.pop(name, None)
        if reply.code == Code.OK and reply.stat is not None:
            node = Node(reply.data, reply.stat)
            if name in self.child_names and self.state.nodes.get(name) != node:
                self.state.nodes[name] = node
                self.revision += 1
        else:
            self.revision += 1
            self.state.nodes.pop(name, None)
            self.read_at.pop(name, None)
            # If the node is created again before the directory is listed, the list must count it as new;
            # otherwise it would not be read.
            self.child_names -= {name}
        requests = self._next_reads(now)
        self._check_complete()
        return requests

    def _check_complete(self) -> None:
        listing = {p for p in self.lists_in_flight if p == self.path or DRAINING in self.child_names}
        if not (self.state.complete or self.to_read or self.reads_in_flight or listing):
            self.state.complete = True
            self.revision += 1
