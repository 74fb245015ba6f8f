"""A coordinator's ephemeral nodes as the endpoint source of a pool.

This module does the I/O and reads the clock. `follower` decides what to read and when, and `member_tracker`
what it means for the endpoints. `merged_source` has the source that also follows a discovery service.
"""

from __future__ import annotations

import asyncio
import math
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from millgw.interface import Condition, ListKind
from millgw.log.events import log_event
from millgw.membership.client import Client
from millgw.membership.follower import DirectoryFollower
from millgw.membership.member_tracker import (
    DepartureSettings,
    EndpointEvidence,
    MemberNode,
    MembershipTracker,
    MemberState,
)
from millgw.membership.merge import changes
from millgw.membership.nodes import NodeData, read_node
from millgw.membership.protocol import Code, Reply, Request, WatchEvent
from millgw.platform.config import Address
from millgw.platform.discovery import ListedEndpoint, UpdateCallback, endpoint_id, with_condition
from millgw.platform.unshared_source import UnsharedSource
from millgw.pool.pool import EndpointObserver

OPEN_CHECK_INTERVAL = 0.05  # s between checks while the outcome of a departure is open
IDLE_CHECK_INTERVAL = 1.0  # s between checks otherwise
UNHEALTHY_AFTER = 10_000.0  # ms without a session after which a coordinator counts as unhealthy
DISTRUST_TIME = 30_000.0  # ms for which a coordinator that lost changes is not trusted on who is gone


@dataclass(slots=True, frozen=True)
class DirectoryLocation:
    """Directory of a coordinator; `timeout`: session timeout (ms), `port`: name of a serverset's endpoint."""

    servers: tuple[Address, ...]
    path: str
    timeout: float
    terms: DepartureSettings
    port: str = ""

    def name(self) -> str:
        """Names what is read there: the servers, the path and the port."""
        return " ".join((*map(str, self.servers), self.path, self.port))


ListsObserver = Callable[[dict[int, ListedEndpoint], dict[int, ListedEndpoint]], None]
"""Takes the complete lists of ready and of draining endpoints, by id."""


class WatchedDirectory:
    """Follows one directory and passes its endpoints to `on_change`, from the first complete read on."""

    def __init__(
        self,
        location: DirectoryLocation,
        zones: tuple[str, ...],
        seed: int,
        connections: EndpointObserver,
        on_change: ListsObserver,
    ) -> None:
        rng = random.Random(f"membership {seed}")
        self.location = location
        self.zones = zones
        self.connections = connections
        self.on_change = on_change
        self.offset = (time.time() - time.monotonic()) * 1000
        self.client = Client(location.servers, location.timeout, rng, self)
        self.follower = DirectoryFollower(location.path)
        self.tracker = MembershipTracker(location.terms, rng, self._evidence)
        self.parsed: dict[str, tuple[bytes, int, MemberNode | None]] = {}
        self.distrust_until = -math.inf
        self.down_since = -math.inf
        self.read_once = False
        self.check_timer: asyncio.TimerHandle | None = None
        self.last_lists: tuple[dict[int, ListedEndpoint], dict[int, ListedEndpoint]] = {}, {}

    def now(self) -> float:
        """Unix time in ms from a monotonic clock; Unix time because the nodes' times are."""
        return self.offset + time.monotonic() * 1000

    def start(self) -> None:
        self.down_since = self.now()
        self.client.start()
        self._check_within(IDLE_CHECK_INTERVAL)

    def stop(self) -> None:
        """Stop; the session is left to time out, as it owns no nodes."""
        self.client.stop()
        if self.check_timer is not None:
            self.check_timer.cancel()

    def healthy(self) -> bool:
        """Whether the coordinator is healthy: a session is established, or was within `UNHEALTHY_AFTER`."""
        return self.client.connected or self.now() < self.down_since + UNHEALTHY_AFTER

    def _evidence(self, name: str) -> EndpointEvidence:
        id = endpoint_id(name)
        times = self.connections.seen(id)
        if times is None:
            return EndpointEvidence()
        answered, opened, broken, missed = (t + self.offset for t in times)
        return EndpointEvidence(answered, opened, broken, missed, self.connections.misses(id))

    # Callbacks of the client (`Listener`)

    def on_connected(self, fresh: bool, doubtful: bool) -> None:
        now = self.now()
        if doubtful:
            self.distrust_until = now + DISTRUST_TIME
        if not fresh:
            self.client.set_watches(*self.follower.watches())
        self._send(self.follower.on_connected(now, fresh))
        self._check_when_due()

    def on_disconnected(self) -> None:
        self.down_since = self.now()

    def on_reply(self, reply: Reply) -> None:
        if reply.code not in (Code.OK, Code.NO_NODE):
            # Keeps what is known; the next recheck reads again.
            log_event("coordinator-refused", path=reply.request.path, code=reply.code)
        before = self.follower.revision
        self._send(self.follower.on_reply(self.now(), reply))
        if self.follower.revision != before or self.follower.too_many:
            self._update()

    def on_watch_event(self, event: WatchEvent) -> None:
        self._send(self.follower.on_watch_event(self.now(), event))
        self._check_when_due()

    def _send(self, requests: list[Request]) -> None:
        for request in requests:
            self.client.send(request)

    # Decisions

    def _update(self) -> None:
        state, now = self.follower.state, self.now()
        if self.follower.too_many:
            log_event("too-many-nodes", path=self.location.path, nodes=self.follower.too_many)
        if not state.complete:
            return
        self.parsed = {n: r for n, r in self.parsed.items() if n in state.nodes}
        member_nodes = [(name, f) for name in state.nodes if (f := self._member_node(name)) is not None]
        suspect = now < self.distrust_until or (state.missing and bool(self.tracker.members))
        self.tracker.update(now, member_nodes, state.draining, suspect)
        first, self.read_once = not self.read_once, True
        self._decide(now, seen=True, first=first)

    def _member_node(self, name: str) -> MemberNode | None:
        """A node's parsed data, parsed once for each version; None if it is no member."""
        node = self.follower.state.nodes[name]
        known = self.parsed.get(name)
        if known is not None and known[1] == node.stat.mzxid and known[0] == node.data:
            return known[2]
        held: NodeData | None = None
        try:
            held = read_node(node.data, self.zones, self.location.port)
        except ValueError as error:
            log_event("node-skipped", node=f"{self.location.path}/{name}", cause=error)
        stat = node.stat
        member_node = (
            None
            if held is None
            else MemberNode(stat.czxid, stat.mzxid, stat.ctime, stat.ephemeral_owner, held)
        )
        self.parsed[name] = node.data, stat.mzxid, member_node
        return member_node

    def _decide(self, now: float, seen: bool = False, first: bool = False) -> None:
        """Apply the decisions that are due and report the result; `seen`: a new list was just taken in."""
        held, before = self.tracker.counts.held, replace(self.tracker.counts)
        self.tracker.decide(now)
        if seen or self.tracker.counts != before:
            self._notify(first)
        if self.tracker.counts.held > held:
            log_event("membership-held", path=self.location.path, held=self.tracker.counts.held - held,
                few=self.tracker.departure_limit(),
            )  # fmt: skip
        if (
            self.tracker.has_open_departures()
            or self.tracker.next_timeout() < now + IDLE_CHECK_INTERVAL * 1000
        ):
            self._check_within(OPEN_CHECK_INTERVAL)

    def _notify(self, first: bool) -> None:
        ready = {e.endpoint.id: e for e in self.tracker.offered().values()}
        drains = {
            e.endpoint.id: with_condition(e, Condition.DRAINING) for e in self.tracker.draining.values()
        }
        if first or (ready, drains) != self.last_lists:
            self.last_lists = ready, drains
            self.on_change(ready, drains)

    def _check_within(self, wait: float) -> None:
        """Check in `wait` s, unless an earlier check is set."""
        loop = asyncio.get_running_loop()
        if self.check_timer is not None:
            if self.check_timer.when() <= loop.time() + wait:
                return
            self.check_timer.cancel()
        self.check_timer = loop.call_later(wait, self._check)

    def _check_when_due(self) -> None:
        """Check as soon as a read is due that the follower has put off, and before that if set so."""
        if self.client.connected:
            self._check_within(max(0.0, self.follower.next_tick() - self.now()) / 1000)

    def _check(self) -> None:
        self.check_timer = None
        now = self.now()
        if self.client.connected:
            self._send(self.follower.tick(now))
        if self.read_once and (self.client.connected or self.tracker.has_open_departures()):
            self._decide(now)
        self._check_when_due()
        self._check_within(IDLE_CHECK_INTERVAL)

    def figures(self) -> dict[str, object]:
        """The coordinator's state and the members' unusual states, for the log."""
        states = self.tracker.states()
        return {"coordinator": "up" if self.client.connected else "down"} | {
            name: states[name]
            for name in (
                MemberState.HELD.value,
                MemberState.ASIDE.value,
                MemberState.WAITING.value,
                "draining",
            )
            if states[name]
        }


class ChangeNotifier:
    """Passes a list to the balancer module: in full after a subscription (`full_list_due`), then changes."""

    def __init__(self, on_list: UpdateCallback) -> None:
        self.on_list = on_list
        self.last_sent: dict[int, ListedEndpoint] = {}
        self.full_list_due = False

    def notify(self, current: dict[int, ListedEndpoint]) -> None:
        if self.full_list_due:
            self.full_list_due = False
            self.on_list(ListKind.FULL, tuple(current.values()))
        elif changed := changes(self.last_sent, current):
            self.on_list(ListKind.DELTA, changed)
        self.last_sent = current


class CoordinatorSource(UnsharedSource):
    """Endpoint source of a pool: a coordinator alone."""

    def __init__(
        self,
        location: DirectoryLocation,
        zones: tuple[str, ...],
        seed: int,
        connections: EndpointObserver,
        on_list: UpdateCallback,
    ) -> None:
        self.on_list = on_list
        self.directory = WatchedDirectory(location, zones, seed, connections, self._changed)
        self.notifier = ChangeNotifier(on_list)
        self.started = False

    def start(self, known: Any) -> None:
        """Ignores the configuration's list, which belongs to its discovery service."""
        self.on_list(ListKind.CACHED, ())

    def subscribe(self) -> None:
        self.notifier.full_list_due = True
        if not self.started:
            self.started = True
            self.directory.start()
        elif self.directory.read_once:
            asyncio.get_running_loop().call_soon(self._notify)

    def _changed(self, ready: dict[int, ListedEndpoint], drains: dict[int, ListedEndpoint]) -> None:
        self._notify()

    def _notify(self) -> None:
        ready, drains = self.directory.last_lists
        self.notifier.notify(ready | drains)

    def stop(self) -> None:
        self.directory.stop()

    def figures(self) -> dict[str, object]:
        return self.directory.figures()
