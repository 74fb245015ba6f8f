"""A pool's endpoints from a coordinator's ephemeral nodes, alone or beside discovery.

I/O and clock are here; what is read when is `follower`'s, what it means `judge`'s, how two lists become one
`merge`'s to decide.
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
from millgw.platform.discovery import Discovery, ListedEndpoint, UpdateCallback, endpoint_id, with_condition
from millgw.pool.pool import EndpointObserver

LOOK = 0.05  # s between two looks while a departure is weighed
IDLE_LOOK = 1.0  # s between two looks while all is quiet
UNWELL_AFTER = 10_000.0  # ms without a session after which a coordinator is not well
ASK_FIRST, ASK_MOST = 0.05, 0.25  # of `ask_within`: between two tries at a discovery beside a coordinator
WORD_LIVES = 30_000.0  # ms of a coordinator that went back, for which its word on who is gone is doubted


@dataclass(slots=True, frozen=True)
class Where:
    """Which directory of which coordinator; `timeout` is the session's (ms), `port` a serverset's."""

    servers: tuple[Address, ...]
    path: str
    timeout: float
    terms: Terms
    port: str = ""


Changed = Callable[[dict[int, ListedEndpoint], dict[int, ListedEndpoint]], None]
"""Takes the whole of what is ready and of what drains, by id."""


class Directory:
    """Follows one directory and judges it; `changed` is told what comes of it, once it is known at all."""

    def __init__(
        self, where: Where, zones: tuple[str, ...], seed: int, witness: EndpointObserver, changed: Changed
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
        self.last: tuple[dict[int, ListedEndpoint], dict[int, ListedEndpoint]] = {}, {}

    def now(self) -> float:
        """Unix ms that never go back: nodes' times are Unix time."""
        return self.offset + time.monotonic() * 1000

    def start(self) -> None:
        self.down_since = self.now()
        self.client.start()
        self._look_later(IDLE_LOOK)

    def stop(self) -> None:
        """Leave: the session ends by itself, as it owns nothing."""
        self.client.stop()
        if self.looking is not None:
            self.looking.cancel()

    def well(self) -> bool:
        """Whether its word is fresh: a session serves, or did a moment ago."""
        return self.client.serves or self.now() < self.down_since + UNWELL_AFTER

    def _seen(self, name: str) -> Seen:
        id = endpoint_id(name)
        times = self.witness.seen(id)
        if times is None:
            return Seen()
        answered, opened, broken, missed = (t + self.offset for t in times)
        return Seen(answered, opened, broken, missed, self.witness.misses(id))

    # The client's listener

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
            # What is known stays, and the recheck asks again.
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

    # Judging

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
        """What a node holds, read once for each of its states."""
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
        """Let time and evidence decide, and tell what came of it; `seen`: a list has been taken in."""
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
        drains = {e.endpoint.id: with_condition(e, Condition.DRAINING) for e in self.judge.draining.values()}
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
        """Where the members stand, for the log."""
        states = self.judge.states()
        return {"coordinator": "up" if self.client.serves else "down"} | {
            name: states[name]
            for name in (State.HELD.value, State.ASIDE.value, State.WAITING.value, "draining")
            if states[name]
        }


class ChangeNotifier:
    """Tells the module a list as it comes to be: whole once it has asked (`due`), then what changes."""

    def __init__(self, heard: UpdateCallback) -> None:
        self.heard = heard
        self.told: dict[int, ListedEndpoint] = {}
        self.due = False

    def notify(self, wanted: dict[int, ListedEndpoint]) -> None:
        if self.due:
            self.due = False
            self.heard(ListKind.FULL, tuple(wanted.values()))
        elif told := changes(self.told, wanted):
            self.heard(ListKind.DELTA, told)
        self.told = wanted


class CoordinatorSource:
    """A pool's source: a coordinator alone."""

    def __init__(
        self,
        where: Where,
        zones: tuple[str, ...],
        seed: int,
        witness: EndpointObserver,
        heard: UpdateCallback,
    ) -> None:
        self.heard = heard
        self.directory = Directory(where, zones, seed, witness, self._changed)
        self.notifier = ChangeNotifier(heard)
        self.begun = False

    def start(self, known: Any) -> None:
        """The configuration's list is its discovery's, not this one's."""
        self.heard(ListKind.CACHED, ())

    def subscribe(self) -> None:
        self.notifier.due = True
        if not self.begun:
            self.begun = True
            self.directory.start()
        elif self.directory.known:
            asyncio.get_running_loop().call_soon(self._tell)

    def _changed(self, ready: dict[int, ListedEndpoint], drains: dict[int, ListedEndpoint]) -> None:
        self._tell()

    def _tell(self) -> None:
        ready, drains = self.directory.last
        self.notifier.notify(ready | drains)

    def stop(self) -> None:
        self.directory.stop()

    def figures(self) -> dict[str, object]:
        return self.directory.figures()


class BothSources:
    """A pool's source: a coordinator and a discovery, merged."""

    def __init__(
        self,
        where: Where,
        merger: Merger,
        discovery: Address,
        own: bool,
        ask_within: float,
        zones: tuple[str, ...],
        seed: int,
        witness: EndpointObserver,
        heard: UpdateCallback,
    ) -> None:
        self.heard = heard
        self.own = own
        self.merger = merger
        self.directory = Directory(where, zones, seed, witness, self._coordinator)
        self.discovery = Discovery(discovery, zones, self._discovery)
        rng = random.Random(f"both {seed}")
        self.waits = Waits(ASK_FIRST * ask_within, ASK_MOST * ask_within, rng)
        self.asking: asyncio.TimerHandle | None = None
        self.ready: dict[int, ListedEndpoint] = {}
        self.drains: dict[int, ListedEndpoint] = {}
        self.notifier = ChangeNotifier(heard)
        self.begun = False
        self.watching: asyncio.TimerHandle | None = None

    def start(self, known: Any) -> None:
        """The configuration's list is that of its own discovery."""
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
        """Look whether the coordinator is still well: nobody tells when it is not."""
        well = self.directory.well()
        side = self.merger.sides[COORDINATOR]
        if side.spoke and side.well != well:
            side.well = well
            log_event("coordinator-well", well=str(well).lower())
            self._tell()
        self.watching = asyncio.get_running_loop().call_later(IDLE_LOOK, self._watch)

    def _coordinator(self, ready: dict[int, ListedEndpoint], drains: dict[int, ListedEndpoint]) -> None:
        self.merger.tell(COORDINATOR, ready, drains)
        self._tell()

    def _discovery(self, kind: ListKind, entries: tuple[ListedEndpoint, ...]) -> None:
        if kind is ListKind.MOVED or (kind is ListKind.DELTA and not entries):
            return  # another watch is asked for already, or a heartbeat: nothing that the merger weighs
        if kind.watch_ended:
            self.merger.ails(DISCOVERY)
            self._tell()
            # Not left to the module, which hears of changes all the same: it would take them for word of a
            # discovery that serves, and never ask this one again.
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
            self.heard(kind, entries)  # an old list: sent to, and no word on who is gone
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
