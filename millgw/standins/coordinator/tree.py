"""The stand-in coordinator's state: nodes and sessions. Pure: time is an argument, changes are returned.

Source: the ZooKeeper programmer's guide (znodes, ephemeral and sequential nodes, one-shot watches, sessions)
and the error codes of its published protocol. Times are Unix ms.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from millgw.membership.jute import Stat
from millgw.membership.protocol import EPHEMERAL, Code, EventType

SEQUENTIAL = 2  # flag of a create request, like EPHEMERAL
MAX_DATA = 1 << 20  # bytes of one node


class OperationError(Exception):
    """The coordinator refuses an operation with an error code."""

    def __init__(self, code: Code) -> None:
        super().__init__(code.name)
        self.code = code


@dataclass(slots=True)
class Node:
    """One node. `owner`: the session of an ephemeral node, else 0."""

    data: bytes
    czxid: int
    mzxid: int
    ctime: int
    mtime: int
    owner: int = 0
    version: int = 0
    cversion: int = 0
    pzxid: int = 0
    sequence: int = 0  # number of the next sequential child
    children: set[str] = field(default_factory=set)

    def stat(self) -> Stat:
        return Stat(
            self.czxid, self.mzxid, self.ctime, self.mtime, self.version, self.cversion, 0, self.owner,
            len(self.data), len(self.children), self.pzxid,
        )  # fmt: skip


@dataclass(slots=True)
class Session:
    """One client's session, which survives `timeout` ms without a message."""

    id: int
    password: bytes
    timeout: float
    last_heard: float
    ephemerals: set[str] = field(default_factory=set)


@dataclass(slots=True, frozen=True)
class ChangeEvent:
    """One change, as reported to watches; `zxid` numbers the changes in order."""

    event_type: EventType
    path: str
    zxid: int


def parent(path: str) -> str:
    return path.rpartition("/")[0] or "/"


def check_path(path: str) -> None:
    """Raise OperationError for an invalid path: empty or dot segments, a trailing slash, control
    characters.
    """
    parts = path.split("/")
    invalid = (
        not path.startswith("/") or any(p in ("", ".", "..") for p in parts[1:]) or not path.isprintable()
    )
    if path != "/" and invalid:
        raise OperationError(Code.BAD_ARGUMENTS)


class Tree:
    """All nodes and sessions. Operations return their changes, for the watches."""

    def __init__(self, seed: int = 1) -> None:
        self.rng = random.Random(f"coordinator {seed}")
        self.zxid = 0
        self.nodes: dict[str, Node] = {"/": Node(b"", 0, 0, 0, 0)}
        self.sessions: dict[int, Session] = {}

    def _node(self, path: str) -> Node:
        check_path(path)
        node = self.nodes.get(path)
        if node is None:
            raise OperationError(Code.NO_NODE)
        return node

    # Reading

    def exists(self, path: str) -> Stat:
        return self._node(path).stat()

    def read(self, path: str) -> tuple[bytes, Stat]:
        node = self._node(path)
        return node.data, node.stat()

    def children(self, path: str) -> tuple[list[str], Stat]:
        node = self._node(path)
        return sorted(node.children), node.stat()

    # Writing

    def create(
        self, path: str, data: bytes, flags: int, session: int, now: float
    ) -> tuple[str, list[ChangeEvent]]:
        """Create a node; returns its path (with the number of a sequential one) and the changes."""
        if flags & SEQUENTIAL:
            parent_node = self._node(parent(path + "0"))
            path = f"{path}{parent_node.sequence:010d}"
        check_path(path)
        parent_node = self._node(parent(path))
        if path in self.nodes:
            raise OperationError(Code.NODE_EXISTS)
        if parent_node.owner:
            raise OperationError(Code.NO_CHILDREN_FOR_EPHEMERALS)
        if len(data) > MAX_DATA:
            raise OperationError(Code.BAD_ARGUMENTS)
        owner = session if flags & EPHEMERAL else 0
        if owner:
            self._session(owner).ephemerals.add(path)
        self.zxid += 1
        node = Node(data, self.zxid, self.zxid, int(now), int(now), owner, pzxid=self.zxid)
        self.nodes[path] = node
        parent_node.sequence += 1
        self._update_parent(parent_node, path, add=True)
        return path, [
            ChangeEvent(EventType.CREATED, path, self.zxid),
            ChangeEvent(EventType.CHILDREN, parent(path), self.zxid),
        ]

    def write(self, path: str, data: bytes, version: int, now: float) -> tuple[Stat, list[ChangeEvent]]:
        node = self._node(path)
        if version not in (-1, node.version):
            raise OperationError(Code.BAD_VERSION)
        if len(data) > MAX_DATA:
            raise OperationError(Code.BAD_ARGUMENTS)
        self.zxid += 1
        node.data, node.version = data, node.version + 1
        node.mzxid, node.mtime = self.zxid, int(now)
        return node.stat(), [ChangeEvent(EventType.DATA, path, self.zxid)]

    def delete(self, path: str, version: int = -1) -> list[ChangeEvent]:
        node = self._node(path)
        if path == "/":
            raise OperationError(Code.BAD_ARGUMENTS)
        if version not in (-1, node.version):
            raise OperationError(Code.BAD_VERSION)
        if node.children:
            raise OperationError(Code.NOT_EMPTY)
        self.zxid += 1
        del self.nodes[path]
        if node.owner in self.sessions:
            self.sessions[node.owner].ephemerals.discard(path)
        self._update_parent(self.nodes[parent(path)], path, add=False)
        return [
            ChangeEvent(EventType.DELETED, path, self.zxid),
            ChangeEvent(EventType.CHILDREN, parent(path), self.zxid),
        ]

    def _update_parent(self, parent_node: Node, path: str, add: bool) -> None:
        name = path.rpartition("/")[2]
        (parent_node.children.add if add else parent_node.children.discard)(name)
        parent_node.cversion += 1
        parent_node.pzxid = self.zxid

    # Sessions

    def _session(self, id: int) -> Session:
        session = self.sessions.get(id)
        if session is None:
            raise OperationError(Code.SESSION_EXPIRED)
        return session

    def open(self, timeout: float, now: float) -> Session:
        """Open a new session; `timeout` in ms."""
        id = self.rng.getrandbits(62) | 1
        session = Session(id, self.rng.randbytes(16), timeout, now)
        self.sessions[id] = session
        return session

    def attach(self, id: int, password: bytes, now: float) -> Session | None:
        """The session that a client resumes; None if it has ended or the password is wrong."""
        session = self.sessions.get(id)
        if session is None or session.password != password:
            return None
        session.last_heard = now
        return session

    def end(self, id: int) -> list[ChangeEvent]:
        """Close or expire a session and delete its ephemeral nodes."""
        session = self.sessions.pop(id, None)
        events: list[ChangeEvent] = []
        for path in sorted(session.ephemerals) if session is not None else ():
            if path in self.nodes:
                events += self.delete(path)
        return events

    def overdue(self, now: float) -> Iterator[int]:
        """The ids of sessions that were silent for longer than their timeout."""
        return iter([s.id for s in self.sessions.values() if now - s.last_heard > s.timeout])

    def clear(self) -> None:
        """Lose everything, as a coordinator whose disk was lost; zxids start over too."""
        self.zxid = 0
        self.nodes = {"/": Node(b"", 0, 0, 0, 0)}
        self.sessions.clear()
