"""Write-ahead intents for unsafe calls: whether one may be sent, and what must be durable first.

Pure: the log is passed in. A call has keys: its trace id and, where the operator names a header, the client's
own key. All of them are written to the log before the last byte of the first attempt is sent. When the call
ends and no attempt can have run, they are removed again. So a key in the log means: its call may have run.

    key in the log, call open     answer to a call with that key
    no, no                        it is accepted
    no, yes                       409: a call of this key is in progress
    yes                           502: it was sent before and may have run; it is not sent again
    can't be proven               502: the log has lost records, which may have held the key
    the log is not open yet       it waits until its deadline; then 502: it may have been sent before
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import Enum
from typing import Protocol

from millgw.store.store import KeyState

WriteCallback = Callable[[bool], None]


class MarkLog(Protocol):
    """Durable storage of marks."""

    def standing(self, key: bytes) -> KeyState: ...

    def mark(self, keys: Sequence[bytes], done: WriteCallback) -> None:
        """Write marks for these keys; later calls `done` with whether they are durable."""

    def clear(self, keys: Sequence[bytes], done: WriteCallback) -> None:
        """Remove the marks, after all writes requested before."""


class Refusal(Enum):
    """Why a call is not accepted; the value is the text of the answer."""

    OPEN = "a call of this key is under way"
    SENT = "it was sent before and may have run: it is not sent again"
    UNPROVEN = "it can't be proven that it was not sent before: it is not sent"


class State(Enum):
    """State of one call's mark."""

    NONE = "none"
    WANTED = "wanted"  # an attempt has its connection, but the log is not open yet
    WRITING = "writing"
    DURABLE = "durable"
    FAILED = "failed"


class Intent:
    """The intent of one call, from its acceptance to its end. Tokens identify attempts; any object will do.

    Without a `registry` the call came before the log was open, and waits for that until its deadline.
    """

    __slots__ = ("ended", "keys", "may_have_run", "registry", "state", "waiters")

    def __init__(self, registry: IntentRegistry | None, keys: tuple[bytes, ...]) -> None:
        self.registry = registry
        self.keys = keys
        self.state = State.NONE
        self.may_have_run: set[object] = set()  # attempts whose last byte was sent and that may have run
        self.waiters: list[Callable[[], None]] = []
        self.ended = False

    @property
    def may_have_been_sent(self) -> bool:
        """Whether another process may have sent the call, so that no refusal may promise it never ran."""
        return self.registry is None

    def begin(self) -> None:
        """An attempt has its connection: write the mark, unless that was begun before."""
        if self.state not in (State.NONE, State.WANTED):
            return
        if self.registry is None:
            self.state = State.WANTED
        else:
            self.state = State.WRITING
            self.registry.log.mark(self.keys, self.set_durable)

    def log_opened(self, registry: IntentRegistry) -> None:
        """The log is open: check the keys there, and write the mark if an attempt waits for it."""
        if self.ended:
            return
        if registry.find_refusal(self.keys) is not None:
            self.set_durable(False)
            return
        self.registry = registry
        registry.open.update(self.keys)
        if self.state is State.WANTED:
            self.begin()

    def durable(self) -> bool | None:
        """Whether the mark is durable; None while that is unknown."""
        known = self.state in (State.DURABLE, State.FAILED)
        return self.state is State.DURABLE if known else None

    def wait(self, then: Callable[[], None]) -> None:
        """Call `then` once it is known whether the mark is durable."""
        self.waiters.append(then)

    def set_durable(self, durable: bool) -> None:
        """Record whether the mark is durable. If not, it never will be, and nothing may be sent."""
        self.state = State.DURABLE if durable else State.FAILED
        waiting, self.waiters = self.waiters, []
        for then in waiting:
            then()

    def leaves(self, token: object) -> None:
        """Record that an attempt's last byte is sent; RuntimeError if the mark is not durable."""
        if self.state is not State.DURABLE:
            raise RuntimeError("last byte of an unsafe attempt sent before its mark is durable")
        self.may_have_run.add(token)

    def over(self, token: object, never_ran: bool) -> None:
        """Record the end of an attempt, and whether it is proven not to have run."""
        if never_ran:
            self.may_have_run.discard(token)

    def end(self) -> None:
        """The call is answered, or its client has disconnected."""
        if self.ended:
            return
        self.ended = True
        self.waiters.clear()
        if self.registry is not None:
            self.registry.intent_ended(self)


class IntentRegistry:
    """The intents of all open unsafe calls of one process."""

    def __init__(self, log: MarkLog) -> None:
        self.log = log
        self.open: set[bytes] = set()
        self.pending_removals: dict[bytes, int] = {}  # number of pending removals from the log, for each key

    def take(self, keys: tuple[bytes, ...]) -> Intent | Refusal:
        """The intent of a call with these keys, or why it may not be sent."""
        refusal = self.find_refusal(keys)
        if refusal is not None:
            return refusal
        self.open.update(keys)
        return Intent(self, keys)

    def find_refusal(self, keys: tuple[bytes, ...]) -> Refusal | None:
        """Why a call with these keys may not be sent; None if it may."""
        for key in keys:
            if key in self.open:
                return Refusal.OPEN
            if key in self.pending_removals:
                continue  # no attempt ran; the mark in the log is being removed
            standing = self.log.standing(key)
            if standing is not KeyState.UNSENT:
                return Refusal.SENT if standing is KeyState.SENT else Refusal.UNPROVEN
        return None

    def intent_ended(self, intent: Intent) -> None:
        self.open.difference_update(intent.keys)
        if intent.may_have_run or intent.state is State.NONE:
            return
        for key in intent.keys:
            self.pending_removals[key] = self.pending_removals.get(key, 0) + 1

        def cleared(durable: bool) -> None:
            for key in intent.keys:
                self.pending_removals[key] -= 1
                if not self.pending_removals[key]:
                    del self.pending_removals[key]

        self.log.clear(intent.keys, cleared)
