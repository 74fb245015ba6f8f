"""Endpoint sources of a pool: a coordinator's ephemeral nodes, alone or merged with discovery.

This module does the I/O and reads the clock. `follower` decides what to read and when, `judge` what it means
for the endpoints, and `merge` how two lists are combined.
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
from millgw.membership.follower import Follower
from millgw.membership.judge import Found, Judge, Seen, State, Terms
from millgw.membership.merge import COORDINATOR, DISCOVERY, Merger, changes
from millgw.membership.nodes import Held, read_node
from millgw.membership.protocol import Ask, Code, Fired, Reply
from millgw.membership.servers import Waits
from millgw.platform.config import Address
from millgw.platform.discovery import Discovery, Heard, Listed, endpoint_id, listed_as
from millgw.pool.pool import Witness

LOOK = 0.05  # s between checks while the outcome of a departure is open
IDLE_LOOK = 1.0  # s between checks otherwise
UNWELL_AFTER = 10_000.0  # ms without a session after which a coordinator counts as unhealthy
ASK_FIRST, ASK_MOST = (
    0.05,
    0.25,
)  # parts of `ask_within`: base and cap of the delay between watches of discovery
WORD_LIVES = 30_000.0  # ms for which a coordinator that lost changes is not trusted on which nodes are gone


@dataclass(slots=True, frozen=True)
class Where:
    """Directory of a coordinator; `timeout`: session timeout (ms), `port`: name of a serverset's endpoint."""

    servers: tuple[Address, ...]
    path: str
    timeout: float
    terms: Terms
    port: str = ""


Changed = Callable[[dict[int, Listed], dict[int, Listed]], None]
"""Takes the complete lists of ready and of draining endpoints, by id."""


class Directory:
    """Follows one directory and passes its endpoints to `changed`, from the first complete read on."""

    def __init__(
        self, where: Where, zones: tuple[str, ...], seed: int, witness: Witness, changed: Changed
    ) -> None:
        rng = random.Random(f"membership {seed}")
        self.where = where
        self.zones = zones
        self.witness = witness
        self.changed = changed
        self.offset = (time.time() - time.monotonic()) * 1000
        self.client = Client(where.servers, where.timeout, rng, self)
        self.follower = Follower(where.path)
        self.judge = Judge(where.terms, rng, self._seen)
        self.read: dict[str, tuple[bytes, int, Found | None]] = {}
        self.doubt_until = -math.inf
        self.down_since = -math.inf
        self.known = False
        self.looking: asyncio.TimerHandle | None = None
        self.last: tuple[dict[int, Listed], dict[int, Listed]] = {}, {}

    def now(self) -> float:
        """Unix time in ms from a monotonic clock; Unix time because the nodes' times are."""
        return self.offset + time.monotonic() * 1000

    def start(self) -> None:
        self.down_since = self.now()
        self.client.start()
        self._look_later(IDLE_LOOK)

    def stop(self) -> None:
        """Stop; the session is left to time out, as it owns no nodes."""
        self.client.stop()
        if self.looking is not None:
            self.looking.cancel()

    def well(self) -> bool:
        """Whether the coordinator is healthy: a session is established, or was within `UNWELL_AFTER`."""
        return self.client.serves or self.now() < self.down_since + UNWELL_AFTER

    def _seen(self, name: str) -> Seen:
        id = endpoint_id(name)
        times = self.witness.seen(id)
        if times is None:
            return Seen()
        answered, opened, broken, missed = (t + self.offset for t in times)
        return Seen(answered, opened, broken, missed, self.witness.misses(id))

    # Callbacks of the client (`Listener`)

    def up(self, fresh: bool, doubtful: bool) -> None:
        now = self.now()
        if doubtful:
            self.doubt_until = now + WORD_LIVES
        if not fresh:
            self.client.set_watches(*self.follower.watches())
        self._ask(self.follower.up(now, fresh))

    def down(self) -> None:
        self.down_since = self.now()

    def reply(self, reply: Reply) -> None:
        if reply.code not in (Code.OK, Code.NO_NODE):
            # Keeps what is known; the next recheck reads again.
            log_event("coordinator-refused", path=reply.ask.path, code=reply.code)
        before = self.follower.changes
        self._ask(self.follower.reply(self.now(), reply))
        if self.follower.changes != before or self.follower.too_many:
            self._judge()

    def fired(self, fired: Fired) -> None:
        self._ask(self.follower.fired(self.now(), fired))

    def _ask(self, asks: list[Ask]) -> None:
        for ask in asks:
            self.client.ask(ask)

    # Decisions

    def _judge(self) -> None:
        picture, now = self.follower.picture, self.now()
        if self.follower.too_many:
            log_event("too-many-nodes", path=self.where.path, nodes=self.follower.too_many)
        if not picture.whole:
            return
        self.read = {n: r for n, r in self.read.items() if n in picture.nodes}
        found = [(name, f) for name in picture.nodes if (f := self._found(name)) is not None]
        suspect = now < self.doubt_until or (picture.missing and bool(self.judge.members))
        self.judge.see(now, found, picture.draining, suspect)
        first, self.known = not self.known, True
        self._decide(now, seen=True, first=first)

    def _found(self, name: str) -> Found | None:
        """A node's parsed data, parsed once for each version; None if it is no member."""
        node = self.follower.picture.nodes[name]
        known = self.read.get(name)
        if known is not None and known[1] == node.stat.mzxid and known[0] == node.data:
            return known[2]
        held: Held | None = None
        try:
            held = read_node(node.data, self.zones, self.where.port)
        except ValueError as error:
            log_event("node-skipped", node=f"{self.where.path}/{name}", cause=error)
        stat = node.stat
        found = None if held is None else Found(stat.czxid, stat.mzxid, stat.ctime, stat.owner, held)
        self.read[name] = node.data, stat.mzxid, found
        return found

    def _decide(self, now: float, seen: bool = False, first: bool = False) -> None:
        """Apply the decisions that are due and report the result; `seen`: a new list was just taken in."""
        held, before = self.judge.counts.held, replace(self.judge.counts)
        self.judge.decide(now)
        if seen or self.judge.counts != before:
            self._tell(first)
        if self.judge.counts.held > held:
            log_event("membership-held", path=self.where.path, held=self.judge.counts.held - held,
                few=self.judge.few(),
            )  # fmt: skip
        if self.judge.unsettled() or self.judge.due() < now + IDLE_LOOK * 1000:
            self._look_later(LOOK)

    def _tell(self, first: bool) -> None:
        ready = {e.endpoint.id: e for e in self.judge.offered().values()}
        drains = {e.endpoint.id: listed_as(e, Condition.DRAINING) for e in self.judge.draining.values()}
        if first or (ready, drains) != self.last:
            self.last = ready, drains
            self.changed(ready, drains)

    def _look_later(self, after: float) -> None:
        if self.looking is not None:
            self.looking.cancel()
        self.looking = asyncio.get_running_loop().call_later(after, self._look)

    def _look(self) -> None:
        self._look_later(IDLE_LOOK)
        now = self.now()
        if self.client.serves:
            self._ask(self.follower.tick(now))
        if self.known and (self.client.serves or self.judge.unsettled()):
            self._decide(now)
        if self.follower.due() < now + IDLE_LOOK * 1000:
            self._look_later(LOOK)

    def figures(self) -> dict[str, object]:
        """The coordinator's state and the members' unusual states, for the log."""
        states = self.judge.states()
        return {"coordinator": "up" if self.client.serves else "down"} | {
            name: states[name]
            for name in (State.HELD.value, State.ASIDE.value, State.WAITING.value, "draining")
            if states[name]
        }


class ChangeNotifier:
    """Passes a list to the balancer module: in full after a subscription (`due`), then its changes."""

    def __init__(self, heard: Heard) -> None:
        self.heard = heard
        self.told: dict[int, Listed] = {}
        self.due = False

    def notify(self, wanted: dict[int, Listed]) -> None:
        if self.due:
            self.due = False
            self.heard(ListKind.FULL, tuple(wanted.values()))
        elif told := changes(self.told, wanted):
            self.heard(ListKind.DELTA, told)
        self.told = wanted


class CoordinatorSource:
    """Endpoint source of a pool: a coordinator alone."""

    def __init__(
        self, where: Where, zones: tuple[str, ...], seed: int, witness: Witness, heard: Heard
    ) -> None:
        self.heard = heard
        self.directory = Directory(where, zones, seed, witness, self._changed)
        self.notifier = ChangeNotifier(heard)
        self.begun = False

    def start(self, known: Any) -> None:
        """Ignores the configuration's list, which belongs to its discovery service."""
        self.heard(ListKind.CACHED, ())

    def subscribe(self) -> None:
        self.notifier.due = True
        if not self.begun:
            self.begun = True
            self.directory.start()
        elif self.directory.known:
            asyncio.get_running_loop().call_soon(self._tell)

    def _changed(self, ready: dict[int, Listed], drains: dict[int, Listed]) -> None:
        self._tell()

    def _tell(self) -> None:
        ready, drains = self.directory.last
        self.notifier.notify(ready | drains)

    def stop(self) -> None:
        self.directory.stop()

    def figures(self) -> dict[str, object]:
        return self.directory.figures()


class BothSources:
    """Endpoint source of a pool: a coordinator and a discovery service, merged."""

    def __init__(
        self,
        where: Where,
        merger: Merger,
        discovery: Address,
        own: bool,
        ask_within: float,
        zones: tuple[str, ...],
        seed: int,
        witness: Witness,
        heard: Heard,
    ) -> None:
        self.heard = heard
        self.own = own
        self.merger = merger
        self.directory = Directory(where, zones, seed, witness, self._coordinator)
        self.discovery = Discovery(discovery, zones, self._discovery)
        rng = random.Random(f"both {seed}")
        self.waits = Waits(ASK_FIRST * ask_within, ASK_MOST * ask_within, rng)
        self.asking: asyncio.TimerHandle | None = None
        self.ready: dict[int, Listed] = {}
        self.drains: dict[int, Listed] = {}
        self.notifier = ChangeNotifier(heard)
        self.begun = False
        self.watching: asyncio.TimerHandle | None = None

    def start(self, known: Any) -> None:
        """Uses the configuration's list unless the pool has a discovery service of its own."""
        self.discovery.start(None if self.own else known)

    def subscribe(self) -> None:
        self.notifier.due = True
        if not self.begun:
            self.begun = True
            self.directory.start()
            self._watch()
        if self.discovery.watch is None:
            self.discovery.subscribe()
        elif self.merger.sides[DISCOVERY].well or self.merger.sides[COORDINATOR].well:
            asyncio.get_running_loop().call_soon(self._tell)

    def _watch(self) -> None:
        """Poll whether the coordinator is still healthy: no event reports when it no longer is."""
        well = self.directory.well()
        side = self.merger.sides[COORDINATOR]
        if side.spoke and side.well != well:
            side.well = well
            log_event("coordinator-well", well=str(well).lower())
            self._tell()
        self.watching = asyncio.get_running_loop().call_later(IDLE_LOOK, self._watch)

    def _coordinator(self, ready: dict[int, Listed], drains: dict[int, Listed]) -> None:
        self.merger.tell(COORDINATOR, ready, drains)
        self._tell()

    def _discovery(self, kind: ListKind, entries: tuple[Listed, ...]) -> None:
        if kind is ListKind.MOVED or (kind is ListKind.DELTA and not entries):
            return  # the next watch is requested already, or a heartbeat: nothing to merge
        if kind.watch_ended:
            self.merger.ails(DISCOVERY)
            self._tell()
            # Subscribes again here and not in the module: that still receives the coordinator's changes,
            # would take them for lists of a working discovery service, and never subscribe again.
            wait = self.waits.next() / 1000
            self.asking = asyncio.get_running_loop().call_later(wait, self._again)
            return
        if kind.complete:
            self.ready.clear()
            self.drains.clear()
        for entry in entries:
            id, condition = entry.endpoint.id, entry.endpoint.condition
            self.ready.pop(id, None)
            self.drains.pop(id, None)
            if condition is Condition.READY:
                self.ready[id] = entry
            elif condition is Condition.DRAINING:
                self.drains[id] = entry
        if kind is ListKind.CACHED:
            self.heard(
                kind, entries
            )  # an old list: its endpoints are used, but it says nothing on who is gone
            self.notifier.told = {e.endpoint.id: e for e in entries}
            return
        self.waits.reset()
        self.merger.tell(DISCOVERY, self.ready, self.drains)
        self._tell()

    def _again(self) -> None:
        if self.discovery.watch is None:
            self.discovery.subscribe()

    def _tell(self) -> None:
        self.notifier.notify(self.merger.result())

    def stop(self) -> None:
        self.directory.stop()
        self.discovery.stop()
        for timer in (self.watching, self.asking):
            if timer is not None:
                timer.cancel()

    def figures(self) -> dict[str, object]:
        sides = zip(("coordinator", "discovery"), self.merger.sides, strict=True)
        return self.directory.figures() | {f"{name}_lists": len(side.ready) for name, side in sides}
