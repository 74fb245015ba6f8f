"""Whether an unsafe call may be sent, and what of it must be durable first. Pure: the log is handed in.

A call has keys: its trace and, where an operator names a header, the client's own. Before the last byte of
its first attempt may leave, all of them are in the log; when it ends and nothing of it can have run, they are
taken out again. So a key that stands in the log means: it may have run.

    key in the log, or open   what a call of it is told
    no, no                    it is taken
    no, yes                   that it is under way (409)
    yes                       that it was sent before, and may have run (502); it is not sent
    can't be proven           the same: the log has lost records that may have held it (502)
    the log is not there yet  it waits, as long as it may; then, that it may have been sent before (502)
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import Enum
from typing import Protocol

from millgw.store.store import Standing

Done = Callable[[bool], None]


class Log(Protocol):
    """Where marks are durable."""

    def standing(self, key: bytes) -> Standing: ...

    def mark(self, keys: Sequence[bytes], done: Done) -> None:
        """Write them; `done` is told, later, whether they are durable."""

    def clear(self, keys: Sequence[bytes], done: Done) -> None:
        """Take them out again, behind all that was asked for before."""


class Refusal(Enum):
    """Why a call is not taken."""

    OPEN = "a call of this key is under way"
    SENT = "it was sent before and may have run: it is not sent again"
    UNPROVEN = "it can't be proven that it was not sent before: it is not sent"


class State(Enum):
    """Of one call's mark."""

    NONE = "none"
    WANTED = "wanted"  # an attempt is on its connection, and the log can't be read yet
    WRITING = "writing"
    DURABLE = "durable"
    FAILED = "failed"


class Intent:
    """One call's, from its taking to its end. Tokens stand for attempts; any object does.

    Without a `book` it came before the log could be read, and is held until then, or its deadline.
    """

    __slots__ = ("book", "ended", "keys", "left", "state", "waiting")

    def __init__(self, book: Book | None, keys: tuple[bytes, ...]) -> None:
        self.book = book
        self.keys = keys
        self.state = State.NONE
        self.left: set[object] = set()  # attempts whose last byte left, and are not known not to have run
        self.waiting: list[Callable[[], None]] = []
        self.ended = False

    @property
    def doubtful(self) -> bool:
        """Whether a refusal would promise what is not known: that no process ever sent it."""
        return self.book is None

    def begin(self) -> None:
        """An attempt is on its connection: have the mark written, if it is not yet."""
        if self.state not in (State.NONE, State.WANTED):
            return
        if self.book is None:
            self.state = State.WANTED
        else:
            self.state = State.WRITING
            self.book.log.mark(self.keys, self.marked)

    def opened(self, book: Book) -> None:
        """The log can be read."""
        if self.ended:
            return
        if book.refuses(self.keys) is not None:
            self.marked(False)
            return
        self.book = book
        book.open.update(self.keys)
        if self.state is State.WANTED:
            self.begin()

    def durable(self) -> bool | None:
        """Whether the mark is durable; None while that is not known yet."""
        known = self.state in (State.DURABLE, State.FAILED)
        return self.state is State.DURABLE if known else None

    def wait(self, then: Callable[[], None]) -> None:
        """Call this once it is known whether the mark is durable."""
        self.waiting.append(then)

    def marked(self, durable: bool) -> None:
        """It is known now; where it is not, and never will be, nothing may be sent."""
        self.state = State.DURABLE if durable else State.FAILED
        waiting, self.waiting = self.waiting, []
        for then in waiting:
            then()

    def leaves(self, token: object) -> None:
        """An attempt's last byte leaves; a RuntimeError where it may not."""
        if self.state is not State.DURABLE:
            raise RuntimeError("the last byte of an unsafe attempt, and its mark is not durable")
        self.left.add(token)

    def over(self, token: object, never_ran: bool) -> None:
        """An attempt has ended."""
        if never_ran:
            self.left.discard(token)

    def end(self) -> None:
        """The call is answered, or its client has gone."""
        if self.ended:
            return
        self.ended = True
        self.waiting.clear()
        if self.book is not None:
            self.book.ended(self)


class Book:
    """All open calls' intents of one process."""

    def __init__(self, log: Log) -> None:
        self.log = log
        self.open: set[bytes] = set()
        self.clearing: dict[bytes, int] = {}  # keys that are being taken out: how many times over

    def take(self, keys: tuple[bytes, ...]) -> Intent | Refusal:
        """The intent of a call that may be sent, or why it may not."""
        refusal = self.refuses(keys)
        if refusal is not None:
            return refusal
        self.open.update(keys)
        return Intent(self, keys)

    def refuses(self, keys: tuple[bytes, ...]) -> Refusal | None:
        """Why a call of these keys may not be sent."""
        for key in keys:
            if key in self.open:
                return Refusal.OPEN
            if key in self.clearing:
                continue  # nothing of it ran; what the log holds is on its way out
            standing = self.log.standing(key)
            if standing is not Standing.UNSENT:
                return Refusal.SENT if standing is Standing.SENT else Refusal.UNPROVEN
        return None

    def ended(self, intent: Intent) -> None:
        self.open.difference_update(intent.keys)
        if intent.left or intent.state is State.NONE:
            return
        for key in intent.keys:
            self.clearing[key] = self.clearing.get(key, 0) + 1

        def cleared(durable: bool) -> None:
            for key in intent.keys:
                self.clearing[key] -= 1
                if not self.clearing[key]:
                    del self.clearing[key]

        self.log.clear(intent.keys, cleared)
