"""Keeping one process's node: when it is made, written, taken down. Pure.

The node has one path, so there are never two for one process; what can go wrong is whose it is:

    nobody's            make it
    this session's      it is the one (a reply to its making may have been lost)
    an older session's  of this very process, by the token in its data: it would vanish when that session
                        ends, under a server that serves. Taken down by its version, and made anew
    another's           left alone; made when it has gone

One request is out at a time. What was out when a connection ended is not known: the node is read again.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from millgw.membership.protocol import Ask, Code, Fired, Kind, Reply


class Wish(Enum):
    """What the process wants of its node."""

    SERVE = "serve"
    DRAIN = "drain"
    LEAVE = "leave"


class State(Enum):
    """What is known of the node."""

    UNKNOWN = "unknown"
    ABSENT = "absent"
    SERVES = "serves"
    DRAINS = "drains"
    OLD = "old"  # of an older session of this process
    TAKEN = "taken"
    LEFT = "left"


class Registration:
    """One node. `words` gives its data for a wish; `mine` tells whether data was written by this process."""

    def __init__(self, path: str, words: Callable[[Wish], bytes], mine: Callable[[bytes], bool]) -> None:
        self.path = path
        self.words = words
        self.mine = mine
        self.wish = Wish.SERVE
        self.state = State.UNKNOWN
        self.session = 0
        self.out: Ask | None = None
        self.version = 0
        self.made = 0  # how often the node was made
        self.problem = 0  # the coordinator's last refusal that waits for a tick

    # What happens; each returns what to ask

    def up(self, session: int) -> list[Ask]:
        """A session serves on a connection."""
        self.session = session
        self.out = None
        if self.state is not State.LEFT:
            self.state = State.UNKNOWN
        return self._next()

    def down(self) -> None:
        """No connection: what is out is lost, and nothing can be known."""
        self.out = None
        if self.state is not State.LEFT:
            self.state = State.UNKNOWN

    def want(self, wish: Wish) -> list[Ask]:
        """Drain, then leave: a wish never goes back."""
        order = list(Wish)
        if order.index(wish) > order.index(self.wish):
            self.wish = wish
        return self._next() if self.session else []

    def fired(self, fired: Fired) -> list[Ask]:
        """A watch told: the node changed, or whose it is."""
        if fired.path == self.path and self.state is not State.LEFT:
            self.state = State.UNKNOWN
        return self._next()

    def tick(self) -> list[Ask]:
        """Some time has passed: what was refused is tried again."""
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
        """Make the directory, from its top; what is there already is refused, which does no harm."""
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
                # Nobody was told that it serves, or its node has gone: nothing to drain.
                self.state = State.LEFT if self.wish is Wish.LEAVE else State.DRAINS
        elif self.wish is Wish.DRAIN and self.state is State.SERVES:
            ask = Ask(Kind.WRITE, self.path, self.words(Wish.DRAIN), self.version)
        elif self.wish is Wish.LEAVE and self.state is State.TAKEN:
            self.state = State.LEFT  # it was never this process's
        elif self.state is State.OLD or (self.wish is Wish.LEAVE and self.state is not State.LEFT):
            ask = Ask(Kind.DELETE, self.path, version=self.version)
        self.out = ask
        return [] if ask is None else [ask]
