"""State machine for one process's node: when to create, update and delete it. Pure.

The node has a fixed path, so one process never has two; the action depends on who owns the node:

    nobody              create it
    this session        it is registered (the reply to its creation may have been lost)
    an older session    of this process, by the token in its data: the node would vanish when that session
                        ends, while the server still serves. Deleted by its version and created again
    another process     left alone; created once it has gone

A node is changed or deleted right after a read that shows who owns it: while nothing was heard of it, it may
have ended, and its name and version may be another process's by now. One request is in flight at a time. If
the connection ends, its outcome is unknown and the node is read again.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from millgw.membership.protocol import Code, Operation, Reply, Request, WatchEvent


class DesiredState(Enum):
    """The state that the process wants its node to be in."""

    SERVE = "serve"
    DRAIN = "drain"
    LEAVE = "leave"


class NodeState(Enum):
    """The node's known state."""

    UNKNOWN = "unknown"
    ABSENT = "absent"
    SERVES = "serves"
    DRAINS = "drains"
    OLD = "old"  # owned by an older session of this process
    TAKEN = "taken"
    LEFT = "left"


class Registration:
    """One node. `encode` gives its data for a desired state; `is_own` tells whether this process wrote it."""

    def __init__(
        self, path: str, encode: Callable[[DesiredState], bytes], is_own: Callable[[bytes], bool]
    ) -> None:
        self.path = path
        self.encode = encode
        self.is_own = is_own
        self.desired = DesiredState.SERVE
        self.state = NodeState.UNKNOWN
        self.session = 0
        self.in_flight: Request | None = None
        self.version = 0
        self.times_created = 0  # how often the node was created
        self.refusal = 0  # error code of the last refusal, until the next tick; 0 for none

    # Events; each returns the requests to send

    def on_connected(self, session: int) -> list[Request]:
        """A session is established on a connection."""
        self.session = session
        self.in_flight = None
        if self.state is not NodeState.LEFT:
            self.state = NodeState.UNKNOWN
        return self._next_request()

    def on_disconnected(self) -> None:
        """The connection is lost: the outcome of the request in flight and the node's state are unknown."""
        self.in_flight = None
        if self.state is not NodeState.LEFT:
            self.state = NodeState.UNKNOWN

    def set_desired(self, desired: DesiredState) -> list[Request]:
        """Set the desired state, which only moves forward: serve, drain, leave."""
        order = list(DesiredState)
        if order.index(desired) > order.index(self.desired):
            self.desired = desired
            if self.state in (NodeState.SERVES, NodeState.DRAINS):
                self.state = NodeState.UNKNOWN
        return self._next_request() if self.session else []

    def on_watch_event(self, event: WatchEvent) -> list[Request]:
        """Handle a watch event: the node or its owner changed."""
        if event.path == self.path and self.state is not NodeState.LEFT:
            self.state = NodeState.UNKNOWN
        return self._next_request()

    def tick(self) -> list[Request]:
        """Retry what was refused; to be called from time to time."""
        self.refusal = 0
        return self._next_request() if self.session else []

    def on_reply(self, reply: Reply) -> list[Request]:
        if reply.request is not self.in_flight:
            return []
        self.in_flight = None
        kind, code = reply.request.operation, reply.code
        if kind is Operation.READ:
            self._handle_read(reply)
        elif kind is Operation.CREATE and reply.request.path != self.path:
            self.refusal = code if code not in (Code.OK, Code.NODE_EXISTS) else 0
        elif kind is Operation.CREATE and code == Code.OK:
            self.times_created += 1
            self.version = 0
            as_serving = reply.request.data == self.encode(DesiredState.SERVE)
            self.state = NodeState.SERVES if as_serving else NodeState.DRAINS
        elif kind is Operation.CREATE and code == Code.NO_NODE:
            return self._create_parents()
        elif kind is Operation.WRITE and code == Code.OK:
            self.version += 1
            self.state = NodeState.DRAINS
        elif kind is Operation.DELETE and code in (Code.OK, Code.NO_NODE):
            self.state = NodeState.LEFT if self.desired is DesiredState.LEAVE else NodeState.ABSENT
        elif code in (Code.NODE_EXISTS, Code.NO_NODE, Code.BAD_VERSION):
            self.state = NodeState.UNKNOWN
        else:
            self.state = NodeState.UNKNOWN
            self.refusal = code
        return self._next_request()

    def _handle_read(self, reply: Reply) -> None:
        stat = reply.stat
        if reply.code == Code.NO_NODE:
            self.state = NodeState.LEFT if self.desired is DesiredState.LEAVE else NodeState.ABSENT
        elif reply.code != Code.OK or stat is None:
            self.refusal = reply.code
        elif stat.ephemeral_owner == self.session or self.is_own(reply.data):
            self.version = stat.version
            if stat.ephemeral_owner != self.session:
                self.state = NodeState.OLD
            else:
                self.state = (
                    NodeState.SERVES if reply.data == self.encode(DesiredState.SERVE) else NodeState.DRAINS
                )
        else:
            self.state = NodeState.LEFT if self.desired is DesiredState.LEAVE else NodeState.TAKEN

    def _create_parents(self) -> list[Request]:
        """Create the parent directories, top down; creating one that exists is refused, which is harmless."""
        parts = self.path.strip("/").split("/")[:-1]
        parents = ["/" + "/".join(parts[: i + 1]) for i in range(len(parts))]
        requests = [Request(Operation.CREATE, path, persistent=True) for path in parents]
        self.state = NodeState.ABSENT
        self.in_flight = requests[-1] if requests else None
        return requests

    def _next_request(self) -> list[Request]:
        if self.in_flight is not None or self.refusal or not self.session:
            return []
        request: Request | None = None
        if self.state is NodeState.UNKNOWN:
            request = Request(Operation.READ, self.path)
        elif self.state is NodeState.ABSENT:
            if self.desired is DesiredState.SERVE:
                request = Request(Operation.CREATE, self.path, self.encode(DesiredState.SERVE))
            else:
                # It was never registered, or its node has gone: nothing to drain and nothing to delete.
                self.state = NodeState.LEFT
        elif self.desired is DesiredState.DRAIN and self.state is NodeState.SERVES:
            request = Request(Operation.WRITE, self.path, self.encode(DesiredState.DRAIN), self.version)
        elif self.desired is DesiredState.LEAVE and self.state is NodeState.TAKEN:
            self.state = NodeState.LEFT  # the node belongs to another process
        elif self.state is NodeState.OLD or (
            self.desired is DesiredState.LEAVE and self.state is not NodeState.LEFT
        ):
            request = Request(Operation.DELETE, self.path, version=self.version)
        self.in_flight = request
        return [] if request is None else [request]
