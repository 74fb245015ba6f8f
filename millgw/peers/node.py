"""The peer of this process: connects membership, gossip and snapshots to sockets, timers and balancers."""

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
from millgw.peers.keys import KeyFiles
from millgw.peers.message_auth import MessageRefused, Signer, Verifier
from millgw.peers.peer_transport import MAX_INBOUND, PeerTransport
from millgw.peers.state_transfer import StateTransfer
from millgw.peers.swim import Message, MessageKind, Swim
from millgw.platform.config import Address, read_address
from millgw.pool.pool import Pool

if TYPE_CHECKING:
    from millgw.membership.source import DirectoryLocation
    from millgw.peers.peer_discovery import CoordinatorDiscovery

MAX_PEERS_ASKED = 3  # peers that a starting sidecar asks for a snapshot
EXCHANGE_INTERVAL_MS = 500.0  # between two exchanges with the balancers, in both directions
KEY_CHECK_INTERVAL_MS = 5000.0  # between two checks of the key files
LOG_INTERVAL_MS = 60_000.0  # between two `peers` events in the log
LISTEN_RETRY_S = 0.5  # delay before retrying an address that another process of this sidecar still uses
MAX_DESCRIPTORS = MAX_INBOUND + MAX_PEERS_ASKED + 6  # most file descriptors used by peers


@dataclass(slots=True, frozen=True)
class PeerSettings:
    """`listen` is the address for peers and the name of this peer; `keys` are paths of key files.

    `start_timeout` is how many ms the start waits for snapshots. The initial peers are `join` and, with a
    `coordinator`, the ones registered in its directory.
    """

    listen: Address
    join: tuple[Address, ...]
    keys: tuple[str, ...]
    start_timeout: float
    coordinator: DirectoryLocation | None = None


def _now_ms() -> float:
    return time.monotonic() * 1000


class Peers(asyncio.DatagramProtocol):
    """Membership, gossip and snapshots of one process. Raises OSError or ValueError for unusable keys."""

    descriptors = MAX_DESCRIPTORS

    def __init__(self, settings: PeerSettings, pools: Callable[[], Sequence[Pool]], seed: int) -> None:
        self.settings = settings
        self.pools = pools
        self.name = str(settings.listen)
        start = int(time.time() * 1000)
        self.key_files = KeyFiles(settings.keys)
        keys = self.key_files.read()
        self.signer, self.verifier = Signer(self.name, start, keys), Verifier(keys, wire.MAX_FRAME_BYTES)
        self.swim = Swim(self.name, start, seed)
        self.gossip = Gossip(self.name, start, seed + 1)
        self.peer_transport = PeerTransport(
            lambda: StateTransfer(self.signer, self.verifier), self._handle_connection_message
        )
        self.start_times: dict[
            str, tuple[object, dict[str, float]]
        ] = {}  # by pool: its ring, times by endpoint
        self.learned_limits: dict[str, list[float]] = {}  # from peers, until passed to the balancers
        self.transport: asyncio.DatagramTransport | None = None
        self.last_exchange = self.last_key_check = self.last_log = self.last_full_collection = 0.0
        self.timer: asyncio.TimerHandle | None = None
        self.tasks: set[asyncio.Task[object]] = set()
        self.stopped = False
        self.refused = 0
        self.snapshots = 0
        self.add_candidates(str(address) for address in settings.join)
        self.peer_discovery: CoordinatorDiscovery | None = None
        if settings.coordinator is not None:
            # Imported only here, so that it costs nothing if no coordinator is configured.
            from millgw.peers.peer_discovery import CoordinatorDiscovery

            self.peer_discovery = CoordinatorDiscovery(
                settings.coordinator, self.name, seed, self.add_candidates
            )

    def add_candidates(self, names: Iterable[str]) -> None:
        """Add possible peers by name, without knowing whether they run."""
        self.swim.join(_now_ms(), [name for name in names if name != self.name])

    # Start and stop

    async def start(self) -> None:
        """Get snapshots from peers within `start_timeout` ms, report to the balancers and start listening."""
        for pool in self.pools():
            self.gossip.add_pool(pool.name)
        until = _now_ms() + self.settings.start_timeout
        if self.peer_discovery is not None:
            self.peer_discovery.start()
            with suppress(TimeoutError):
                await asyncio.wait_for(
                    self.peer_discovery.directory_read.wait(), self.settings.start_timeout / 1000
                )
        names = self.swim.alive()
        chosen = self.swim.rng.sample(names, min(MAX_PEERS_ASKED, len(names)))
        requests = [self._task(self._ask(name, wire.SnapshotRequest())) for name in chosen]
        if requests:
            await asyncio.wait(requests, timeout=max(0.0, until - _now_ms()) / 1000)
        log_event("peers-learned", asked=len(requests), snapshots=self.snapshots)
        self._report_to_balancers()
        self._task(self._listen())

    async def _ask(self, name: str, body: wire.Body) -> None:
        address = self._address(name)
        if address is not None:
            await self.peer_transport.ask(address, body)

    async def _listen(self) -> None:
        """Listen; retry while a predecessor process still uses the address."""
        loop, listen = asyncio.get_running_loop(), self.settings.listen
        while not self.stopped:
            try:
                if self.peer_transport.server is None:
                    await self.peer_transport.listen(listen)
                await loop.create_datagram_endpoint(lambda: self, local_addr=(listen.host, listen.port))
            except OSError as error:
                log_event("peers-not-listening", listen=listen, cause=error)
                await asyncio.sleep(LISTEN_RETRY_S)
            else:
                if self.peer_discovery is not None:
                    self.peer_discovery.register()
                self._run_due()
                return

    def stop(self) -> None:
        """Stop, and announce the departure to peers."""
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

    # Timer

    def _run_due(self) -> None:
        now = _now_ms()
        if now >= self.last_key_check + KEY_CHECK_INTERVAL_MS:
            self.last_key_check = now
            self._reload_keys()
        if now >= self.last_log + LOG_INTERVAL_MS:
            self.last_log = now
            log_event("peers", **self.figures())
        if now >= self.last_exchange + EXCHANGE_INTERVAL_MS:
            self.last_exchange = now
            self._exchange(now)
        if now >= self.swim.due():
            for name, message in self.swim.tick(now):
                self._send_swim(name, message)
        if now >= self.gossip.due():
            for name, gossip_message in self.gossip.tick(now, self.swim.alive()):
                self._send_gossip(name, gossip_message)
        next_due = min(self.swim.due(), self.gossip.due(), self.last_exchange + EXCHANGE_INTERVAL_MS)
        self.timer = asyncio.get_running_loop().call_later(
            max(0.0, next_due - _now_ms()) / 1000 + 0.001, self._run_due
        )

    def _reload_keys(self) -> None:
        keys = self.key_files.read_if_changed()
        if keys is not None:
            try:
                self.signer.change(keys)
                self.verifier.change(keys)
            except ValueError as error:
                log_event("peer-keys-unusable", cause=error)

    # Exchange with the balancers

    def _exchange(self, now: float) -> None:
        """Collect evidence from the balancers and report the evidence of peers to them."""
        self._collect_evidence(now, all_endpoints=False)
        self._report_to_balancers()

    def _collect_evidence(self, now: float, all_endpoints: bool) -> None:
        """Collect the balancers' evidence, of all endpoints or only of unusual and reported ones."""
        pools = {pool.name for pool in self.pools()}
        for removed in self.gossip.pools.keys() - pools:
            self.gossip.remove_pool(removed)
            self.start_times.pop(removed, None)
        for pool in self.pools():
            driver = pool.driver
            balancer, balancer_now = driver.balancer, driver.clock()
            named = (
                None if all_endpoints else {int(name, 16) for name in self.gossip.known_endpoints(pool.name)}
            )
            evidence = balancer.evidence(balancer_now, named)
            observations = endpoint_evidence.observations(
                balancer_now, evidence, self._pool_start_times(pool), driver.draining
            )
            self.gossip.update_own(now, pool.name, balancer.settings.cold_time, observations)

    def _pool_start_times(self, pool: Pool) -> dict[str, float]:
        """Start times from discovery by endpoint, recomputed only when the endpoint list has changed."""
        ring, draining = pool.driver.balancer.ring, pool.driver.draining
        previous_ring, previous = self.start_times.get(pool.name, (None, {}))
        if previous_ring is ring:
            return previous
        start_times = endpoint_evidence.start_times_by_key(s.info for s in ring)
        # The balancer has removed draining endpoints; their start times distinguish them from successors.
        start_times |= {
            key: previous[key] for key in map(endpoint_evidence.endpoint_key, draining) if key in previous
        }
        self.start_times[pool.name] = ring, start_times
        return start_times

    def _report_to_balancers(self) -> None:
        siblings = len(self.swim.alive()) + 1
        for pool in self.pools():
            driver = pool.driver
            settings = driver.balancer.settings
            servers = driver.balancer.servers
            reported = (servers.get(int(name, 16)) for name in self.gossip.known_endpoints(pool.name))
            known = endpoint_evidence.start_times_by_key(
                server.info for server in reported if server is not None
            )
            priors = self.gossip.priors(_now_ms(), pool.name, known, settings.cold_time, len(servers))
            limits = self.learned_limits.pop(pool.name, [])
            event = endpoint_evidence.peer_reports(
                driver.clock(), priors, settings.cold_time, siblings, limits
            )
            if event.endpoints or limits or siblings > settings.siblings:
                driver.handle_peer_reports(event)

    # Connections

    def _handle_connection_message(self, sender: str, body: wire.Body) -> list[wire.Body]:
        """Process a message received on a connection and return the answers."""
        if isinstance(body, wire.SnapshotRequest):
            now = _now_ms()
            if now >= self.last_full_collection + EXCHANGE_INTERVAL_MS:
                # At most once per interval, as many peers may ask: in between, the snapshot leaves out
                # healthy endpoints, which need no caution.
                self.last_full_collection = now
                self._collect_evidence(now, all_endpoints=True)
            return [wire.snapshot(self.gossip.snapshot(_now_ms()), self._own_limits())]
        if isinstance(body, wire.Snapshot):
            by_pool = {pool: map(wire.observation, rows) for pool, rows in body.pools.items()}
            self.gossip.merge_snapshot(_now_ms(), by_pool)
            for pool, limit in body.limits.items():
                self.learned_limits.setdefault(pool, []).append(limit)
            self.snapshots += 1
            return []
        if isinstance(body, wire.Probe):
            message = wire.message(body)
            if message.kind in (MessageKind.SYNC, MessageKind.STATE):
                answers = self.swim.receive(_now_ms(), sender, message)
                return [wire.probe(answer) for name, answer in answers if name == sender]
        raise MessageRefused("message type is not allowed on a connection")

    def _own_limits(self) -> dict[str, float]:
        limits = {pool.name: pool.driver.balancer.admission for pool in self.pools()}
        return {
            name: limit.per_endpoint
            for name, limit in limits.items()
            if limit is not None and limit.responses
        }

    # Datagrams

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        now = _now_ms()
        try:
            if len(data) > wire.MAX_DATAGRAM_BYTES:
                raise MessageRefused("datagram is too long")
            sender, body = self.verifier.verify_once(data)
            self._handle_datagram(now, sender, wire.decode(body))
        except MessageRefused as error:
            self.refused += 1
            log_event("peer-refused", peer=address, cause=error, refused=self.refused)

    def _handle_datagram(self, now: float, sender: str, body: wire.Body) -> None:
        if isinstance(body, wire.Rumours):
            self.gossip.receive_rumours(now, [(r.pool, wire.observation(r.row)) for r in body.rumours])
        elif isinstance(body, wire.GossipDigest):
            for name, answer in self.gossip.answer_digest(now, sender, Digest(body.digest, body.differs)):
                self._send_gossip(name, answer)
        elif isinstance(body, wire.Probe) and body.kind not in (MessageKind.SYNC, MessageKind.STATE):
            for name, message in self.swim.receive(now, sender, wire.message(body)):
                self._send_swim(name, message)
        else:
            raise MessageRefused("message type is not allowed in a datagram")

    def _send_swim(self, name: str, message: Message) -> None:
        """Send a membership message, over a connection if it may be long."""
        if message.kind is MessageKind.SYNC:
            self._task(self._ask(name, wire.probe(message)))
        else:
            self._send(name, wire.probe(message))

    def _send_gossip(self, name: str, message: gossip.GossipMessage) -> None:
        if isinstance(message, Digest):
            self._send(name, wire.GossipDigest(message.checksum, message.differs))
        elif not self._send(name, wire.rumours(message)) and len(message) > 1:
            # With long pool names the rumours may not fit into one datagram.
            self._send_gossip(name, message[: len(message) // 2])
            self._send_gossip(name, message[len(message) // 2 :])

    def _send(self, name: str, body: wire.Body) -> bool:
        """Send a datagram; returns False if the message is too long for one."""
        signed = self.signer.sign(wire.encode(body))
        if len(signed) > wire.MAX_DATAGRAM_BYTES:
            return False
        address = self._address(name)
        if address is not None and self.transport is not None:
            self.transport.sendto(signed, (address.host, address.port))
        return True

    @staticmethod
    def _address(name: str) -> Address | None:
        """The address in a peer's name, None if invalid: a peer may send any text as a name."""
        try:
            return read_address(name)
        except ValueError:
            return None

    # Status

    def figures(self) -> dict[str, object]:
        """For the log: peers alive and known, endpoints with observations, snapshots, refused messages."""
        reported = sum(len(store.by_endpoint) for store in self.gossip.pools.values())
        return {
            "alive": len(self.swim.alive()), "known": len(self.swim.members), "told_of": reported,
            "snapshots": self.snapshots, "refused": self.refused,
        }  # fmt: skip
