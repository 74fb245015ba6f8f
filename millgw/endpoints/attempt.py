"""State of one attempt at a request, from connecting to its outcome.

    state           meaning                                  `give_up` reports  if the connection breaks
    CONNECTING      no connection is established for it yet  never ran          could not connect
    LAST_BYTE_HELD  all but its last byte is written         never ran          could not connect; if it was
                                                                                reused, another one is tried
    WRITING         its last byte waits for the kernel       never ran          could not connect
    WRITTEN         the kernel has taken its last byte       may have run       reset
    ENDED           outcome reported, or given up            -                  -

An endpoint does not run a request before it has its last byte (protocol specification). So a request is
known not to have run only in the three states before WRITTEN.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Final, Protocol

from millgw.http.message import Content
from millgw.interface import Outcome, Repeat
from millgw.streams.flow import Flow
from millgw.streams.upload import Upload

CONNECTING: Final = 0
LAST_BYTE_HELD: Final = 1
WRITING: Final = 2
WRITTEN: Final = 3
ENDED: Final = 4

# ms between two checks whether the caller has disconnected: a fifth of the time in which it must be noticed.
CALLER_CHECK_INTERVAL_MS = 20.0


class Intent(Protocol):
    """The record that must be durable before the last byte of a call that may not run twice is sent."""

    def begin(self) -> None:
        """Start writing the record, unless that was started before."""

    def durable(self) -> bool | None:
        """Whether the record is durable; None while that is not known yet."""

    def wait(self, then: Callable[[], None]) -> None:
        """Call `then` once `durable` has a result."""

    def leaves(self, token: object) -> None:
        """Note that the attempt's last byte is about to be sent."""


OutcomeCallback = Callable[[Outcome, Content], None]
StreamCallback = Callable[[Flow], bool]


class AttemptConnection(Protocol):
    """The connection that carries an attempt."""

    def abandon_attempt(self) -> None:
        """Close the connection, as its attempt was given up."""


class Attempt:
    """One attempt: connecting, then on its connection, until it has ended or is given up.

    `payload` is called when the request is written, because the request states the time that is left.
    `on_outcome` is called once, unless the attempt is given up before. The attempt also ends when a long
    answer starts to be streamed: `on_stream` is then called instead of `on_outcome`, and returns whether the
    caller still waits for the answer.
    """

    __slots__ = (
        "caller_checked_at",
        "caller_disconnected",
        "connect_tasks",
        "connection",
        "intent",
        "on_outcome",
        "on_stream",
        "payload",
        "repeat",
        "send_deadline",
        "state",
        "trace_id",
        "upload",
    )  # fmt: skip

    def __init__(
        self,
        payload: Callable[[], bytes],
        on_outcome: OutcomeCallback,
        repeat: Repeat = Repeat.UNSAFE,
        on_stream: StreamCallback | None = None,
        upload: Upload | None = None,
        intent: Intent | None = None,
        trace_id: bytes = b"",
    ) -> None:
        self.trace_id = trace_id  # trace ID of the call, for the log
        self.send_deadline = math.inf  # ms, monotonic: the last byte must not be sent later than this
        self.caller_disconnected: Callable[[], bool] | None = (
            None  # whether the caller is seen to have disconnected
        )
        self.caller_checked_at = -math.inf  # ms, monotonic: when `caller_disconnected` was last called
        self.intent = intent
        self.payload = payload
        self.on_outcome = on_outcome
        self.on_stream = on_stream
        self.upload = upload  # the body that follows the payload, if the body is streamed
        self.repeat = repeat
        self.state = CONNECTING
        self.connect_tasks: tuple[
            asyncio.Task[Outcome | None], ...
        ] = ()  # connects in progress for this attempt
        self.connection: AttemptConnection | None = None

    @property
    def given_up(self) -> bool:
        return self.state == ENDED

    def caller_left(self, now: float) -> bool:
        """Whether the caller has disconnected; `now` in ms, monotonic.

        Without this check an attempt that waited for its connection or its intent record could be sent
        after its caller is gone.
        """
        if self.caller_disconnected is None or now < self.caller_checked_at + CALLER_CHECK_INTERVAL_MS:
            return False
        self.caller_checked_at = now
        return self.caller_disconnected()

    def end(self, outcome: Outcome, content: Content) -> None:
        """Report the outcome, unless the attempt has ended already."""
        if self.state != ENDED:
            self.state = ENDED
            self.connection = None
            self.on_outcome(outcome, content)

    def begin_stream(self, flow: Flow) -> bool:
        """End the attempt as its answer is streamed from now on; returns whether the caller still waits."""
        if self.state == ENDED or self.on_stream is None:
            return False
        self.state = ENDED
        self.connection = None
        return self.on_stream(flow)

    def give_up(self) -> bool:
        """Stop the attempt without calling `on_outcome`; returns whether it may have run or may yet run."""
        may_run = self.state == WRITTEN
        self.state = ENDED
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.abandon_attempt()
        self.cancel_connects()
        return may_run

    def cancel_connects(self) -> None:
        """Cancel the connects in progress for this attempt."""
        for dial in self.connect_tasks:
            dial.cancel()
