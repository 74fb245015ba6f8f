"""Client side of the ZooKeeper protocol: bytes in, events out; requests in, bytes out. No I/O, no clock.

Source: the published records (`zookeeper.jute`) and the programmer's guide (sessions, one-shot watches).
Replies arrive in the order of their requests. The zxid (number of the last change) must never decrease for
one `ClientProtocol`: a server that is behind is rejected (`BadRecord`), until `forget` starts over.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum

from millgw.membership import jute
from millgw.membership.jute import BadRecord, FrameSplitter, Reader, Stat, read_stat

MAX_RESPONSE_FRAME = 8 << 20  # bytes of one frame from a server: a list of 100,000 names takes a few million
MAX_PENDING = 10_000  # requests without a reply

NO_PASSWORD = bytes(16)  # password sent to open a new session
XID_WATCH, XID_PING, XID_SET_WATCHES = -1, -2, -8
CREATE, DELETE, EXISTS, GET_DATA, SET_DATA, GET_CHILDREN2 = 1, 2, 3, 4, 5, 12
PING, SET_WATCHES, CLOSE = 11, 101, -11
EPHEMERAL = 1
ALL_PERMISSIONS = 31  # all permissions


class Code(IntEnum):
    """The protocol's error codes that the client and the stand-in coordinator use."""

    OK = 0
    MARSHALLING = -5
    UNIMPLEMENTED = -6
    BAD_ARGUMENTS = -8
    NO_NODE = -101
    BAD_VERSION = -103
    NO_CHILDREN_FOR_EPHEMERALS = -108
    NODE_EXISTS = -110
    NOT_EMPTY = -111
    SESSION_EXPIRED = -112
    SESSION_MOVED = -118
    NOT_READ_ONLY = -119


class EventType(IntEnum):
    """The event types of a watch."""

    CREATED = 1
    DELETED = 2
    DATA = 3
    CHILDREN = 4


class Operation(IntEnum):
    """The operations that the client requests."""

    CREATE = CREATE
    DELETE = DELETE
    EXISTS = EXISTS
    READ = GET_DATA
    WRITE = SET_DATA
    CHILDREN = GET_CHILDREN2


@dataclass(slots=True, frozen=True)
class Request:
    """One request. Reads also set a watch; a created node is ephemeral unless `persistent`."""

    operation: Operation
    path: str
    data: bytes = b""
    version: int = -1
    persistent: bool = False

    def payload(self) -> bytes:
        path = jute.write_string(self.path)
        if self.operation is Operation.CREATE:
            anyone = jute.write_string("world") + jute.write_string("anyone")
            access = jute.write_int(1) + jute.write_int(ALL_PERMISSIONS) + anyone
            flags = jute.write_int(0 if self.persistent else EPHEMERAL)
            return path + jute.write_buffer(self.data) + access + flags
        if self.operation is Operation.WRITE:
            return path + jute.write_buffer(self.data) + jute.write_int(self.version)
        if self.operation is Operation.DELETE:
            return path + jute.write_int(self.version)
        return path + jute.write_bool(True)


# Events


@dataclass(slots=True, frozen=True)
class SessionEstablished:
    """A session is established on this connection. `fresh`: it is new. `timeout`: ms, as negotiated."""

    session: int
    timeout: float
    fresh: bool
    read_only: bool


@dataclass(slots=True, frozen=True)
class SessionExpired:
    """The session has expired and its nodes are deleted; the next connection opens a new session."""


@dataclass(slots=True, frozen=True)
class WatchEvent:
    """A watch event: something changed at a path. The watch is no longer set."""

    event_type: int
    path: str


@dataclass(slots=True, frozen=True)
class Reply:
    """The reply to a `Request`; fields that do not apply to its kind are empty."""

    request: Request
    code: int
    names: tuple[str, ...] = ()
    data: bytes = b""
    stat: Stat | None = None


Event = SessionEstablished | SessionExpired | WatchEvent | Reply


class ClientProtocol:
    """Protocol state of one client across connections: session, last zxid, requests without a reply."""

    def __init__(self, timeout: float, read_only: bool = True) -> None:
        self.requested_timeout = timeout  # ms
        self.read_only = read_only  # whether a read-only (partitioned) server is acceptable
        self.session = 0
        self.password = NO_PASSWORD
        self.last_zxid = 0
        self.session_up = False
        self.xid = 0
        self.pending: deque[tuple[int, Request | None]] = deque()
        self.frames = FrameSplitter(MAX_RESPONSE_FRAME)

    def connect(self) -> bytes:
        """The connect request for a new connection; requests pending on the last connection are lost."""
        self.session_up = False
        self.pending.clear()
        self.frames = FrameSplitter(MAX_RESPONSE_FRAME)
        return jute.frame(
            jute.write_int(0) + jute.write_long(self.last_zxid) + jute.write_int(int(self.requested_timeout))
            + jute.write_long(self.session) + jute.write_buffer(self.password)
            + jute.write_bool(self.read_only)
        )  # fmt: skip

    def forget(self) -> None:
        """Start over without a session or a last zxid, after the coordinator has lost committed changes."""
        self.session, self.password, self.last_zxid = 0, NO_PASSWORD, 0

    def request(self, request: Request) -> bytes:
        """The bytes of a request; raises BadRecord if too many requests are unanswered."""
        if len(self.pending) >= MAX_PENDING:
            raise BadRecord(f"{len(self.pending)} requests without a reply")
        self.xid = self.xid % 0x7FFFFFFF + 1
        self.pending.append((self.xid, request))
        return jute.frame(jute.write_int(self.xid) + jute.write_int(request.operation) + request.payload())

    def ping(self) -> bytes:
        return jute.frame(jute.write_int(XID_PING) + jute.write_int(PING))

    def set_watches(self, data: Sequence[str], exists: Sequence[str], children: Sequence[str]) -> bytes:
        """Set watches again after the session moved; changes missed meanwhile fire them at once."""
        self.pending.append((XID_SET_WATCHES, None))
        return jute.frame(
            jute.write_int(XID_SET_WATCHES) + jute.write_int(SET_WATCHES) + jute.write_long(self.last_zxid)
            + jute.write_strings(data) + jute.write_strings(exists) + jute.write_strings(children)
        )  # fmt: skip

    def close(self) -> bytes:
        """The request that closes the session, which deletes its nodes."""
        self.xid = self.xid % 0x7FFFFFFF + 1
        self.pending.append((self.xid, None))
        return jute.frame(jute.write_int(self.xid) + jute.write_int(CLOSE))

    def receive(self, data: bytes) -> list[Event]:
        """The events in received bytes, however they are split; a BadRecord ends the connection."""
        events: list[Event] = []
        for payload in self.frames.feed(data):
            reader = Reader(payload)
            if self.session_up:
                self._handle_message(reader, events)
            else:
                events.append(self._handshake(reader))
        return events

    def _handshake(self, reader: Reader) -> Event:
        reader.read_int()
        timeout, session, password = reader.read_int(), reader.read_long(), reader.read_buffer()
        read_only = reader.read_bool() if reader.remaining else False
        if timeout <= 0 or session == 0:
            self.session, self.password = 0, NO_PASSWORD
            return SessionExpired()
        fresh = session != self.session
        self.session, self.password, self.session_up = session, password, True
        return SessionEstablished(session, float(timeout), fresh, read_only)

    def _handle_message(self, reader: Reader, events: list[Event]) -> None:
        xid, zxid, code = reader.read_int(), reader.read_long(), reader.read_int()
        if xid == XID_WATCH:
            change = reader.read_int()
            reader.read_int()
            events.append(WatchEvent(change, reader.read_string()))
            return
        if xid != XID_PING and (not self.pending or self.pending[0][0] != xid):
            # Checked first: an invalid reply must not raise the zxid, or every server would reject us.
            raise BadRecord(f"reply to request {xid}, which is not the next one pending")
        if zxid > 0:
            if zxid < self.last_zxid:
                raise BadRecord(f"zxid {zxid} after {self.last_zxid}: the server is behind")
            self.last_zxid = zxid
        if xid == XID_PING:
            return
        request = self.pending.popleft()[1]
        if code == Code.SESSION_MOVED:
            raise BadRecord("the session has moved to another server")
        if code == Code.SESSION_EXPIRED:
            self.session, self.password = 0, NO_PASSWORD
            events.append(SessionExpired())
        elif request is not None:
            events.append(_reply(request, code, reader))


def _reply(request: Request, code: int, reader: Reader) -> Reply:
    if code != Code.OK:
        return Reply(request, code)
    if request.operation is Operation.CHILDREN:
        names = tuple(reader.read_strings())
        return Reply(request, code, names, stat=read_stat(reader))
    if request.operation is Operation.READ:
        data = reader.read_buffer()
        return Reply(request, code, data=data, stat=read_stat(reader))
    if request.operation in (Operation.EXISTS, Operation.WRITE):
        return Reply(request, code, stat=read_stat(reader))
    return Reply(request, code)
