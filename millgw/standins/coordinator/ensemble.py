"""The stand-in coordinator's servers: one to three over one shared tree, each with its own injected faults.

All servers of the ensemble share the tree. A server that lags serves reads from an older copy of it, a frozen
one answers nothing, a read-only one refuses writes. Sessions may move from server to server.
"""

from __future__ import annotations

import asyncio
import copy
import math
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import cast

from millgw.membership import jute
from millgw.membership.jute import BadRecord, FrameSplitter, Reader
from millgw.membership.protocol import EPHEMERAL, Code, EventType
from millgw.platform.config import Address
from millgw.standins.address import free_address
from millgw.standins.coordinator.tree import ChangeEvent, OperationError, Session, Tree

EXPIRY_CHECK_INTERVAL = 0.05  # s between checks for sessions that have timed out
MIN_TIMEOUT, MAX_TIMEOUT = 100.0, 40_000.0  # ms: bounds of the negotiated session timeout

CREATE, DELETE, EXISTS, GET_DATA, SET_DATA, GET_ACL, SET_ACL, GET_CHILDREN = range(1, 9)
SYNC, PING, GET_CHILDREN2, CHECK, MULTI, CREATE2 = 9, 11, 12, 13, 14, 15
AUTH, SET_WATCHES, CLOSE = 100, 101, -11
WRITE_OPS = frozenset({CREATE, DELETE, SET_DATA, SET_ACL, MULTI, CREATE2})

XID_WATCH, XID_PING, XID_AUTH = -1, -2, -4
CONNECTED = 3  # the connection state in watch events (SyncConnected)
OPEN_ACL = jute.write_int(1) + jute.write_int(31) + jute.write_string("world") + jute.write_string("anyone")


ReadObserver = Callable[[str, str, tuple[str, ...] | None, bytes], None]
"""Called for each read a client is served: its name, the path, and the list of names or (None) the data."""


@dataclass(slots=True)
class Faults:
    """The faults that a server has now. Times in ms."""

    frozen: bool = False  # accepts data and answers nothing
    refusing: bool = False  # closes connections as soon as they are accepted
    read_only: bool = False
    watch_delay: float = 0.0
    answer_delay: float = 0.0  # of all that is sent, in order
    lose_watches: int = 0  # number of next watch events to drop
    lagging_tree: Tree | None = None  # serves reads from this older copy


@dataclass(slots=True)
class ServerCounts:
    """Counters of a server, for tests and measurements."""

    connections: int = 0
    sessions: int = 0
    requests: int = 0
    watches: int = 0


class EnsembleServer:
    """One server of the ensemble."""

    def __init__(self, ensemble: Ensemble, address: Address) -> None:
        self.ensemble = ensemble
        self.address = address
        self.faults = Faults()
        self.counts = ServerCounts()
        self.connections: set[Connection] = set()
        self.listeners: list[asyncio.Server] = []

    async def start(self) -> None:
        await self.listen(self.address, "")

    async def listen(self, address: Address, client: str) -> None:
        """Listen on one more address; whoever connects there is reported as `client`."""
        loop = asyncio.get_running_loop()
        made = await loop.create_server(
            lambda: Connection(self, client), address.host, address.port, backlog=1024
        )
        self.listeners.append(made)

    async def stop(self) -> None:
        """Stop as if the process ended: connections are reset, new ones refused. Sessions live on."""
        for server in self.listeners:
            server.close()
        self.listeners.clear()
        self.drop_connections()

    def drop_connections(self) -> None:
        """Close all connections; their sessions live on."""
        for connection in list(self.connections):
            connection.abort()

    def freeze(self, on: bool) -> None:
        """Stop answering, or resume and answer what is queued."""
        self.faults.frozen = on
        if not on:
            for connection in list(self.connections):
                connection.process_queued()

    def lag(self, on: bool) -> None:
        """Serve reads from a copy of the current tree until switched off; writes go to the shared tree."""
        self.faults.lagging_tree = copy.deepcopy(self.ensemble.tree) if on else None

    @property
    def tree(self) -> Tree:
        """The tree that reads are served from."""
        return self.faults.lagging_tree or self.ensemble.tree

    def fire_watches(self, events: list[ChangeEvent]) -> None:
        """Fire the watches of this server's clients."""
        for connection in list(self.connections):
            for change in events:
                connection.fire(change)


class Ensemble:
    """All servers, their shared tree, and the commands that inject faults."""

    def __init__(
        self,
        addresses: Sequence[Address] = (),
        faces: int = 1,
        seed: int = 1,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self.tree = Tree(seed)
        self.clock: Callable[[], float] = lambda: clock() * 1000  # ms
        self.servers = [EnsembleServer(self, a) for a in addresses or [free_address() for _ in range(faces)]]
        self.expiry_timer: asyncio.TimerHandle | None = None
        self.on_read: ReadObserver | None = None

    @property
    def connect_string(self) -> str:
        """The servers' addresses, as clients accept them."""
        return ",".join(str(server.address) for server in self.servers)

    async def start(self) -> None:
        for server in self.servers:
            await server.start()
        self._expire_overdue()

    async def listen_for(self, client: str) -> str:
        """Listen on separate addresses for one client, as a connect string; `on_read` then reports its
        name.
        """
        addresses = [free_address() for _ in self.servers]
        for server, address in zip(self.servers, addresses, strict=True):
            await server.listen(address, client)
        return ",".join(map(str, addresses))

    async def stop(self) -> None:
        if self.expiry_timer is not None:
            self.expiry_timer.cancel()
        for server in self.servers:
            await server.stop()

    def _expire_overdue(self) -> None:
        for id in self.tree.overdue(self.clock()):
            self.expire(id)
        self.expiry_timer = asyncio.get_running_loop().call_later(EXPIRY_CHECK_INTERVAL, self._expire_overdue)

    def publish(self, events: list[ChangeEvent]) -> None:
        """Fire watches for changes on all servers except those that lag."""
        for server in self.servers:
            if server.faults.lagging_tree is None:
                server.fire_watches(events)

    # Commands

    def expire(self, session: int) -> None:
        """Expire a session now: its ephemeral nodes are deleted and its connection is closed."""
        events = self.tree.end(session)
        self.publish(events)
        for server in self.servers:
            for connection in list(server.connections):
                if connection.session is not None and connection.session.id == session:
                    connection.abort()

    def expire_owners(self, path: str, share: float = 1.0) -> int:
        """Expire the sessions that own a share of the ephemeral nodes below a path; returns how many."""
        below = [self.tree.nodes[f"{path}/{name}"].owner for name in sorted(self.tree.nodes[path].children)]
        owners = list(dict.fromkeys(owner for owner in below if owner))
        chosen = self.tree.rng.sample(owners, round(share * len(owners)))
        for session in chosen:
            self.expire(session)
        return len(chosen)

    def restart_empty(self) -> None:
        """Lose all nodes and sessions; zxids start over."""
        self.tree.clear()
        for server in self.servers:
            server.faults.lagging_tree = None
            server.drop_connections()

    def put(self, path: str, data: bytes = b"") -> None:
        """Create a persistent node and its parents, or replace its data."""
        now, made = self.clock(), ""
        for name in path.strip("/").split("/"):
            made = f"{made}/{name}"
            if made not in self.tree.nodes:
                self.publish(self.tree.create(made, data if made == path else b"", 0, 0, now)[1])
        if self.tree.nodes[path].data != data:
            self.publish(self.tree.write(path, data, -1, now)[1])

    def create_ephemeral(self, path: str, data: bytes) -> int:
        """Create an ephemeral node with its own session, which only a command ends; returns its id."""
        parent = path.rpartition("/")[0]
        if parent and parent not in self.tree.nodes:
            self.put(parent)
        now = self.clock()
        session = self.tree.open(math.inf, now).id
        self.publish(self.tree.create(path, data, EPHEMERAL, session, now)[1])
        return session

    def write(self, path: str, data: bytes) -> None:
        """Replace a node's data, whoever owns it."""
        self.publish(self.tree.write(path, data, -1, self.clock())[1])

    def remove(self, path: str) -> None:
        """Delete a node, whoever owns it."""
        self.publish(self.tree.delete(path))


@dataclass(slots=True)
class Watches:
    """The one-shot watches of one connection, by the kind of read that set them."""

    data: set[str] = field(default_factory=set)
    exists: set[str] = field(default_factory=set)
    children: set[str] = field(default_factory=set)

    def trigger(self, change: EventType, path: str) -> bool:
        """Remove the watches that a change fires; whether there were any."""
        if change is EventType.CREATED:
            sets = [self.exists]
        elif change is EventType.DELETED:
            sets = [self.data, self.exists, self.children]
        elif change is EventType.DATA:
            sets = [self.data, self.exists]
        else:
            sets = [self.children]
        found = any(path in watched for watched in sets)
        for watched in sets:
            watched.discard(path)
        return found


class Connection(asyncio.Protocol):
    """One client's connection to a server."""

    def __init__(self, server: EnsembleServer, client: str) -> None:
        self.server = server
        self.client = client
        self.ensemble = server.ensemble
        self.frames = FrameSplitter()
        self.session: Session | None = None
        self.watches = Watches()
        self.queued: list[bytes] = []
        self.transport: asyncio.Transport | None = None

    # asyncio.Protocol callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.server.counts.connections += 1
        self.server.connections.add(self)
        if self.server.faults.refusing:
            self.abort()

    def data_received(self, data: bytes) -> None:
        try:
            self.queued += self.frames.feed(data)
        except BadRecord:
            self.abort()
            return
        self.process_queued()

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.connections.discard(self)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def process_queued(self) -> None:
        """Answer the queued requests, unless the server is frozen."""
        while self.queued and not self.server.faults.frozen:
            payload = self.queued.pop(0)
            try:
                if self.session is None:
                    self._connect(Reader(payload))
                else:
                    self._request(self.session, Reader(payload))
            except BadRecord:
                self.abort()
                return

    def _send(self, payload: bytes) -> None:
        delay = self.server.faults.answer_delay
        if delay > 0:
            asyncio.get_running_loop().call_later(delay / 1000, self._send_now, payload)
        else:
            self._send_now(payload)

    def _send_now(self, payload: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(jute.frame(payload))

    # The session

    def _connect(self, reader: Reader) -> None:
        reader.read_int()
        seen, timeout, id, password = (
            reader.read_long(),
            reader.read_int(),
            reader.read_long(),
            reader.read_buffer(),
        )
        takes_read_only = reader.read_bool() if reader.remaining else False
        if self.server.faults.read_only and not takes_read_only:
            self.abort()
            return
        now, tree = self.ensemble.clock(), self.ensemble.tree
        if seen > self.server.tree.zxid:
            self.abort()  # a client that has seen a later zxid must not read older data
            return
        wanted = float(min(max(timeout, MIN_TIMEOUT), MAX_TIMEOUT))
        session = tree.attach(id, password, now) if id else tree.open(wanted, now)
        if session is None:
            self._send(jute.write_int(0) * 2 + jute.write_long(0) + jute.write_buffer(bytes(16)) + b"\0")
            if self.transport is not None:
                self.transport.close()
            return
        if id:
            self._close_other_connections(session)
        else:
            self.server.counts.sessions += 1
        self.session = session
        self._send(
            jute.write_int(0) + jute.write_int(int(session.timeout)) + jute.write_long(session.id)
            + jute.write_buffer(session.password) + jute.write_bool(self.server.faults.read_only)
        )  # fmt: skip

    def _close_other_connections(self, session: Session) -> None:
        """Close the session's older connection: a session has only one."""
        for server in self.ensemble.servers:
            for other in list(server.connections):
                if other is not self and other.session is session:
                    other.abort()

    def fire(self, change: ChangeEvent) -> None:
        """Send a watch event if the change is watched, subject to the server's faults."""
        if not self.watches.trigger(change.event_type, change.path):
            return
        faults = self.server.faults
        if faults.lose_watches > 0:
            faults.lose_watches -= 1
            return
        self.server.counts.watches += 1
        event = jute.write_int(change.event_type) + jute.write_int(CONNECTED) + jute.write_string(change.path)
        payload = jute.write_int(XID_WATCH) + jute.write_long(-1) + jute.write_int(0) + event
        if faults.watch_delay > 0:
            asyncio.get_running_loop().call_later(faults.watch_delay / 1000, self._send, payload)
        else:
            self._send(payload)

    # Requests

    def _request(self, session: Session, reader: Reader) -> None:
        xid, kind = reader.read_int(), reader.read_int()
        tree = self.ensemble.tree
        session.last_heard = self.ensemble.clock()
        self.server.counts.requests += 1
        code, body, events = Code.OK, b"", list[ChangeEvent]()
        if session.id not in tree.sessions:
            code = Code.SESSION_EXPIRED
        elif kind in WRITE_OPS and self.server.faults.read_only:
            code = Code.NOT_READ_ONLY
        elif kind == CLOSE:
            events = tree.end(session.id)
        else:
            try:
                body, events = self._carry_out(kind, reader, session)
            except OperationError as error:
                code = error.code
        zxid = self.server.tree.zxid if kind not in WRITE_OPS else tree.zxid
        # Watch events of a change are sent before the change's own reply (programmer's guide, watches).
        self.ensemble.publish(events)
        self._send(jute.write_int(xid) + jute.write_long(zxid) + jute.write_int(code) + body)
        if kind == CLOSE and self.transport is not None:
            self.transport.close()

    def _carry_out(self, kind: int, reader: Reader, session: Session) -> tuple[bytes, list[ChangeEvent]]:
        tree, now = self.ensemble.tree, self.ensemble.clock()
        read_tree = self.server.tree
        if kind in (PING, AUTH):
            return b"", []
        if kind == SET_WATCHES:
            self._set_watches(reader)
            return b"", []
        path = reader.read_string()
        if kind in (CREATE, CREATE2):
            data = reader.read_buffer()
            reader.read_vector(_skip_acl, 12)
            made, events = tree.create(path, data, reader.read_int(), session.id, now)
            stat = tree.nodes[made].stat().write() if kind == CREATE2 else b""
            return jute.write_string(made) + stat, events
        if kind == DELETE:
            return b"", tree.delete(path, reader.read_int())
        if kind == SET_DATA:
            data = reader.read_buffer()
            stat_, events = tree.write(path, data, reader.read_int(), now)
            return stat_.write(), events
        if kind == SYNC:
            return jute.write_string(path), []
        if kind == GET_ACL:
            return OPEN_ACL + read_tree.exists(path).write(), []
        watch = reader.read_bool()
        if kind == EXISTS:
            if watch:
                (self.watches.data if path in read_tree.nodes else self.watches.exists).add(path)
            return read_tree.exists(path).write(), []
        if kind == GET_DATA:
            data, stat_ = read_tree.read(path)
            if watch:
                self.watches.data.add(path)
            self._report_read(path, None, data)
            return jute.write_buffer(data) + stat_.write(), []
        if kind in (GET_CHILDREN, GET_CHILDREN2):
            names, stat_ = read_tree.children(path)
            if watch:
                self.watches.children.add(path)
            self._report_read(path, tuple(names), b"")
            return jute.write_strings(names) + (stat_.write() if kind == GET_CHILDREN2 else b""), []
        raise OperationError(Code.UNIMPLEMENTED)

    def _report_read(self, path: str, names: tuple[str, ...] | None, data: bytes) -> None:
        if self.client and self.ensemble.on_read is not None:
            self.ensemble.on_read(self.client, path, names, data)

    def _set_watches(self, reader: Reader) -> None:
        """Restore a reconnected client's watches; changes since its last zxid fire them at once."""
        since = reader.read_long()
        data, exists, children = reader.read_strings(), reader.read_strings(), reader.read_strings()
        nodes, zxid = self.server.tree.nodes, self.server.tree.zxid
        self.watches.data |= set(data)
        self.watches.exists |= set(exists)
        self.watches.children |= set(children)
        for path in data:
            if path not in nodes:
                self.fire(ChangeEvent(EventType.DELETED, path, zxid))
            elif nodes[path].mzxid > since:
                self.fire(ChangeEvent(EventType.DATA, path, zxid))
        for path in exists:
            if path in nodes:
                self.fire(ChangeEvent(EventType.CREATED, path, zxid))
        for path in children:
            if path not in nodes:
                self.fire(ChangeEvent(EventType.DELETED, path, zxid))
            elif nodes[path].pzxid > since:
                self.fire(ChangeEvent(EventType.CHILDREN, path, zxid))


def _skip_acl(reader: Reader) -> None:
    """Skip an access list's entry: the stand-in permits everything to everyone."""
    reader.read_int()
    reader.read_string()
    reader.read_string()
