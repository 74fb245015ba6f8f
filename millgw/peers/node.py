"""This sidecar among its peers: sockets, timers, and what goes between them and the pools' modules."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine, Iterable, Sequence
from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, cast

from millgw.log.events import log_event
from millgw.peers import endpoint_evidence, gossip, wire
from millgw.peers.gossip import Digest, Gossip
from millgw.peers.keys import Keys
from millgw.peers.peer_transport import MOST_TAKEN, PeerTransport
from millgw.peers.sealed import Opener, Refused, Seal
from millgw.peers.state_transfer import StateTransfer
from millgw.peers.swim import Kind, Message, Swim
from millgw.platform.config import Address, read_address
from millgw.pool.pool import Pool

if TYPE_CHECKING:
    from millgw.membership.source import Where
    from millgw.peers.peer_discovery import CoordinatorDiscovery

MOST_ASKED = 3  # peers that a new sidecar asks for what they know
LOOK = 500.0  # ms between two looks at the modules, both ways
KEYS_EVERY = 5000.0  # ms between two looks at the key files
TELL_EVERY = 60_000.0  # ms between two lines on peers in the log
LISTEN_AGAIN = 0.5  # s until an address that another process of this sidecar has is tried again
DESCRIPTORS = MOST_TAKEN + MOST_ASKED + 6  # that all of it takes at the most


@dataclass(slots=True, frozen=True)
class Terms:
    """`listen` is where peers find it, and its name among them; `within` the ms that its start waits.

    The first peers are `join`, and those that a coordinator's directory names, where one is told.
    """

    listen: Address
    join: tuple[Address, ...]
    keys: tuple[str, ...]
    within: float
    coordinator: Where | None = None


def _clock() -> float:
    return time.monotonic() * 1000


class Peers(asyncio.DatagramProtocol):
    """Membership, gossip and snapshots of one process; an OSError or ValueError tells of keys without use."""

    descriptors = DESCRIPTORS

    def __init__(self, terms: Terms, pools: Callable[[], Sequence[Pool]], seed: int) -> None:
        self.terms = terms
        self.pools = pools
        self.name = str(terms.listen)
        start = int(time.time() * 1000)
        self.keys = Keys(terms.keys)
        held = self.keys.read()
        self.seal, self.opener = Seal(self.name, start, held), Opener(held, wire.MOST_FRAME)
        self.swim = Swim(self.name, start, seed)
        self.gossip = Gossip(self.name, start, seed + 1)
        self.peer_transport = PeerTransport(lambda: StateTransfer(self.seal, self.opener), self._asked)
        self.since: dict[str, tuple[object, dict[str, float]]] = {}  # by pool: of which list, what
        self.limits: dict[str, list[float]] = {}  # learned from peers, until the modules have been told
        self.transport: asyncio.DatagramTransport | None = None
        self.looks = self.rereads = self.tells = self.wholes = 0.0
        self.timer: asyncio.TimerHandle | None = None
        self.tasks: set[asyncio.Task[object]] = set()
        self.stopped = False
        self.refused = 0
        self.snapshots = 0
        self.found(str(address) for address in terms.join)
        self.peer_discovery: CoordinatorDiscovery | None = None
        if terms.coordinator is not None:
            # Only here: a coordinator that is not told must cost nothing.
            from millgw.peers.peer_discovery import CoordinatorDiscovery

            self.peer_discovery = CoordinatorDiscovery(terms.coordinator, self.name, seed, self.found)

    def found(self, names: Iterable[str]) -> None:
        """There may be peers of these names."""
        self.swim.join(_clock(), [name for name in names if name != self.name])

    # Beginning and end

    async def begin(self) -> None:
        """Learn from peers, within `terms.within` ms, tell the modules, and be a peer from now on."""
        for pool in self.pools():
            self.gossip.serve(pool.name)
        until = _clock() + self.terms.within
        if self.peer_discovery is not None:
            self.peer_discovery.start()
            with suppress(TimeoutError):
                await asyncio.wait_for(self.peer_discovery.known.wait(), self.terms.within / 1000)
        names = self.swim.alive()
        some = self.swim.rng.sample(names, min(MOST_ASKED, len(names)))
        asking = [self._task(self._ask(name, wire.Ask())) for name in some]
        if asking:
            await asyncio.wait(asking, timeout=max(0.0, until - _clock()) / 1000)
        log_event("peers-learned", asked=len(asking), snapshots=self.snapshots)
        self._tell_modules()
        self._task(self._listen())

    async def _ask(self, name: str, body: wire.Body) -> None:
        address = self._address(name)
        if address is not None:
            await self.peer_transport.ask(address, body)

    async def _listen(self) -> None:
        """Listen; where a process before this one still has the address, as soon as it has gone."""
        loop, listen = asyncio.get_running_loop(), self.terms.listen
        while not self.stopped:
            try:
                if self.peer_transport.server is None:
                    await self.peer_transport.listen(listen)
                await loop.create_datagram_endpoint(lambda: self, local_addr=(listen.host, listen.port))
            except OSError as error:
                log_event("peers-not-listening", listen=listen, cause=error)
                await asyncio.sleep(LISTEN_AGAIN)
            else:
                if self.peer_discovery is not None:
                    self.peer_discovery.register()
                self._wake()
                return

    def stop(self) -> None:
        """Be gone, and say so."""
        if self.stopped:
            return
        self.stopped = True
        if self.transport is not None:
            for name, message in self.swim.leave():
                self._send(name, wire.probe(message))
            self.transport.close()
        if self.timer is not None:
            self.timer.cancel()
        for task in self.tasks:
            task.cancel()
        self.peer_transport.close()
        if self.peer_discovery is not None:
            self._task(self.peer_discovery.leave())

    def _task(self, work: Coroutine[Any, Any, object]) -> asyncio.Task[object]:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    # Time

    def _wake(self) -> None:
        now = _clock()
        if now >= self.rereads + KEYS_EVERY:
            self.rereads = now
            self._reread()
        if now >= self.tells + TELL_EVERY:
            self.tells = now
            log_event("peers", **self.figures())
        if now >= self.looks + LOOK:
            self.looks = now
            self._look(now)
        if now >= self.swim.due():
            for name, message in self.swim.tick(now):
                self._pass(name, message)
        if now >= self.gossip.due():
            for name, said in self.gossip.tick(now, self.swim.alive()):
                self._say(name, said)
        at = min(self.swim.due(), self.gossip.due(), self.looks + LOOK)
        self.timer = asyncio.get_running_loop().call_later(max(0.0, at - _clock()) / 1000 + 0.001, self._wake)

    def _reread(self) -> None:
        keys = self.keys.changed()
        if keys is not None:
            try:
                self.seal.change(keys)
                self.opener.change(keys)
            except ValueError as error:
                log_event("peer-keys-unusable", cause=error)

    # The modules

    def _look(self, now: float) -> None:
        """Take what the modules have seen, and tell them what peers have."""
        self._see(now, whole=False)
        self._tell_modules()

    def _see(self, now: float, whole: bool) -> None:
        """Take what the modules have seen: of each endpoint, or of those only that are worth a word."""
        pools = {pool.name for pool in self.pools()}
        for gone in self.gossip.pools.keys() - pools:
            self.gossip.drop(gone)
            self.since.pop(gone, None)
        for pool in self.pools():
            driver = pool.driver
            balancer, at = driver.balancer, driver.clock()
            named = None if whole else {int(name, 16) for name in self.gossip.known(pool.name)}
            evidence = balancer.evidence(at, named)
            told = endpoint_evidence.observations(at, evidence, self._starts(pool), driver.draining)
            self.gossip.see(now, pool.name, balancer.settings.cold_time, told)

    def _starts(self, pool: Pool) -> dict[str, float]:
        """By endpoint, starts as discovery tells them; made anew only when the list has changed."""
        ring, draining = pool.driver.balancer.ring, pool.driver.draining
        of, before = self.since.get(pool.name, (None, {}))
        if of is ring:
            return before
        since = endpoint_evidence.listed(s.info for s in ring)
        # The module has forgotten those that drain; their starts tell them from what follows them.
        since |= {key: before[key] for key in map(endpoint_evidence.key, draining) if key in before}
        self.since[pool.name] = ring, since
        return since

    def _tell_modules(self) -> None:
        siblings = len(self.swim.alive()) + 1
        for pool in self.pools():
            driver = pool.driver
            settings = driver.balancer.settings
            servers = driver.balancer.servers
            told_of = (servers.get(int(name, 16)) for name in self.gossip.known(pool.name))
            known = endpoint_evidence.listed(server.info for server in told_of if server is not None)
            priors = self.gossip.priors(_clock(), pool.name, known, settings.cold_time, len(servers))
            limits = self.limits.pop(pool.name, [])
            event = endpoint_evidence.hearsay(driver.clock(), priors, settings.cold_time, siblings, limits)
            if event.endpoints or limits or siblings > settings.siblings:
                driver.hear(event)

    # Connections

    def _asked(self, sender: str, body: wire.Body) -> list[wire.Body]:
        """Take what came on a connection; what to answer."""
        if isinstance(body, wire.Ask):
            now = _clock()
            if now >= self.wholes + LOOK:
                # Not for each of a crowd: what else is held leaves out what is well, which asks for no care.
                self.wholes = now
                self._see(now, whole=True)
            return [wire.snapshot(self.gossip.snapshot(_clock()), self._own_limits())]
        if isinstance(body, wire.Snapshot):
            rows = {pool: map(wire.observation, told) for pool, told in body.pools.items()}
            self.gossip.learn(_clock(), rows)
            for pool, limit in body.limits.items():
                self.limits.setdefault(pool, []).append(limit)
            self.snapshots += 1
            return []
        if isinstance(body, wire.Probe):
            message = wire.message(body)
            if message.kind in (Kind.SYNC, Kind.STATE):
                answers = self.swim.receive(_clock(), sender, message)
                return [wire.probe(answer) for name, answer in answers if name == sender]
        raise Refused("not for a connection")

    def _own_limits(self) -> dict[str, float]:
        limits = {pool.name: pool.driver.balancer.admission for pool in self.pools()}
        return {name: limit.each for name, limit in limits.items() if limit is not None and limit.answers}

    # Datagrams

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        now = _clock()
        try:
            if len(data) > wire.MOST_DATAGRAM:
                raise Refused("too long")
            sender, body = self.opener.open(data)
            self._take(now, sender, wire.decode(body))
        except Refused as error:
            self.refused += 1
            log_event("peer-refused", peer=address, cause=error, refused=self.refused)

    def _take(self, now: float, sender: str, body: wire.Body) -> None:
        if isinstance(body, wire.Rumours):
            self.gossip.hear(now, [(r.pool, wire.observation(r.row)) for r in body.rumours])
        elif isinstance(body, wire.Sum):
            for name, said in self.gossip.compare(now, sender, Digest(body.digest, body.differs)):
                self._say(name, said)
        elif isinstance(body, wire.Probe) and body.kind not in (Kind.SYNC, Kind.STATE):
            for name, message in self.swim.receive(now, sender, wire.message(body)):
                self._pass(name, message)
        else:
            raise Refused("not for a datagram")

    def _pass(self, name: str, message: Message) -> None:
        """Send a message of the list's machine, by a connection if it is long."""
        if message.kind is Kind.SYNC:
            self._task(self._ask(name, wire.probe(message)))
        else:
            self._send(name, wire.probe(message))

    def _say(self, name: str, said: gossip.Said) -> None:
        if isinstance(said, Digest):
            self._send(name, wire.Sum(said.number, said.differs))
        elif not self._send(name, wire.rumours(said)) and len(said) > 1:
            # Pools' names may be long.
            self._say(name, said[: len(said) // 2])
            self._say(name, said[len(said) // 2 :])

    def _send(self, name: str, body: wire.Body) -> bool:
        """Send a datagram; whether it is one."""
        sealed = self.seal.seal(wire.encode(body))
        if len(sealed) > wire.MOST_DATAGRAM:
            return False
        address = self._address(name)
        if address is not None and self.transport is not None:
            self.transport.sendto(sealed, (address.host, address.port))
        return True

    @staticmethod
    def _address(name: str) -> Address | None:
        """Where a peer is found; names that are none come from peers, who may say anything."""
        try:
            return read_address(name)
        except ValueError:
            return None

    # For people

    def figures(self) -> dict[str, object]:
        """For the log: peers alive, rumours held, what was refused."""
        held = sum(len(beliefs.known) for beliefs in self.gossip.pools.values())
        return {
            "alive": len(self.swim.alive()), "known": len(self.swim.members), "told_of": held,
            "snapshots": self.snapshots, "refused": self.refused,
        }  # fmt: skip
