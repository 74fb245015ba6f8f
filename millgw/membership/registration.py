"""State machine for one process's node: when to create, update and delete it. Pure.

The node has a fixed path, so one process never has two; the action depends on who owns the node:

    nobody              create it
    this session        it is registered (the reply to its creation may have been lost)
    an older session    of this process, by the token in its data: the node would vanish when that session
                        ends, while the server still serves. Deleted by its version and created again
    another process     left alone; created once it has gone

One request is in flight at a time. If the connection ends, its outcome is unknown and the node is read again.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from millgw.membership.protocol import Ask, Code, Fired, Kind, Reply


class Wish(Enum):
    """The state that the process wants its node to be in."""

    SERVE = "serve"
    DRAIN = "drain"
    LEAVE = "leave"


class State(Enum):
    """The node's known state."""

    UNKNOWN = "unknown"
    ABSENT = "absent"
    SERVES = "serves"
    DRAINS = "drains"
    OLD = "old"  # owned by an older session of this process
    TAKEN = "taken"
    LEFT = "left"


class Registration:
    """One node. `words` encodes its data for a wish; `mine` tells whether this process wrote some data."""

    def __init__(self, path: str, words: Callable[[Wish], bytes], mine: Callable[[bytes], bool]) -> None:
        self.path = path
        self.words = words
        self.mine = mine
        self.wish = Wish.SERVE
        self.state = State.UNKNOWN
        self.session = 0
        self.out: Ask | None = None
        self.version = 0
        self.made = 0  # how often the node was created
        self.problem = 0  # error code of the last refusal, until the next tick; 0 for none

    # Events; each returns the requests to send

    def up(self, session: int) -> list[Ask]:
        """A session is established on a connection."""
        self.session = session
        self.out = None
        if self.state is not State.LEFT:
            self.state = State.UNKNOWN
        return self._next()

    def down(self) -> None:
        """The connection is lost: the outcome of the request in flight and the node's state are unknown."""
        self.out = None
        if self.state is not State.LEFT:
            self.state = State.UNKNOWN

    def want(self, wish: Wish) -> list[Ask]:
        """Set the wish, which only moves forward: serve, drain, leave."""
        order = list(Wish)
        if order.index(wish) > order.index(self.wish):
            self.wish = wish
        return self._next() if self.session else []

    def fired(self, fired: Fired) -> list[Ask]:
        """Handle a watch event: the node or its owner changed."""
        if fired.path == self.path and self.state is not State.LEFT:
            self.state = State.UNKNOWN
        return self._next()

    def tick(self) -> list[Ask]:
        """Retry what was refused; to be called from time to time."""
        self.problem = 0
        return self._next() if self.session else []

    def reply(self, reply: Reply) -> list[Ask]:
        if reply.ask is not self.out:
            return []
        self.out = None
        kind, code = reply.ask.kind, reply.code
        if kind is Kind.READ:
            self._read(reply)
        elif kind is Kind.CREATE and reply.ask.path != self.path:
            self.problem = code if code not in (Code.OK, Code.NODE_EXISTS) else 0
        elif kind is Kind.CREATE and code == Code.OK:
            self.made += 1
            self.version = 0
            wrote = reply.ask.data == self.words(Wish.SERVE)
            self.state = State.SERVES if wrote else State.DRAINS
        elif kind is Kind.CREATE and code == Code.NO_NODE:
            return self._above()
        elif kind is Kind.WRITE and code == Code.OK:
            self.version += 1
            self.state = State.DRAINS
        elif kind is Kind.DELETE and code in (Code.OK, Code.NO_NODE):
            self.state = State.LEFT if self.wish is Wish.LEAVE else State.ABSENT
        elif code in (Code.NODE_EXISTS, Code.NO_NODE, Code.BAD_VERSION):
            self.state = State.UNKNOWN
        else:
            self.state = State.UNKNOWN
            self.problem = code
        return self._next()

    def _read(self, reply: Reply) -> None:
        stat = reply.stat
        if reply.code == Code.NO_NODE:
            self.state = State.LEFT if self.wish is Wish.LEAVE else State.ABSENT
        elif reply.code != Code.OK or stat is None:
            self.problem = reply.code
        elif stat.owner == self.session or self.mine(reply.data):
            self.version = stat.version
            if stat.owner != self.session:
                self.state = State.OLD
            else:
                self.state = State.SERVES if reply.data == self.words(Wish.SERVE) else State.DRAINS
        else:
            self.state = State.LEFT if self.wish is Wish.LEAVE else State.TAKEN

    def _above(self) -> list[Ask]:
        """Create the parent directories, top down; creating one that exists is refused, which is harmless."""
        parts = self.path.strip("/").split("/")[:-1]
        above = ["/" + "/".join(parts[: i + 1]) for i in range(len(parts))]
        asks = [Ask(Kind.CREATE, path, lasting=True) for path in above]
        self.state = State.ABSENT
        self.out = asks[-1] if asks else None
        return asks

    def _next(self) -> list[Ask]:
        if self.out is not None or self.problem or not self.session:
            return []
        ask: Ask | None = None
        if self.state is State.UNKNOWN:
            ask = Ask(Kind.READ, self.path)
        elif self.state is State.ABSENT:
            if self.wish is Wish.SERVE:
                ask = Ask(Kind.CREATE, self.path, self.words(Wish.SERVE))
            else:
                # It was never registered, or its node has gone: nothing to drain.
                self.state = State.LEFT if self.wish is Wish.LEAVE else State.DRAINS
        elif self.wish is Wish.DRAIN and self.state is State.SERVES:
            ask = Ask(Kind.WRITE, self.path, self.words(Wish.DRAIN), self.version)
        elif self.wish is Wish.LEAVE and self.state is State.TAKEN:
            self.state = State.LEFT  # the node belongs to another process
        elif self.state is State.OLD or (self.wish is Wish.LEAVE and self.state is not State.LEFT):
            ask = Ask(Kind.DELETE, self.path, version=self.version)
        self.out = ask
        return [] if ask is None else [ask]
