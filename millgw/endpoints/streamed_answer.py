"""The endpoint side of an answer that is streamed to its caller as it arrives."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from millgw.endpoints.attempt import Attempt
from millgw.endpoints.core import SPOILT, WHOLE, AnswerCore
from millgw.streams.flow import Flow

if TYPE_CHECKING:
    from millgw.endpoints.connection import Connection

# s without data after which a streamed answer is broken off, unless its caller has stopped reading.
ANSWER_STALL = 15.0


class StreamedAnswer:
    """The source of a flow. The attempt ends when streaming begins: the rest is not tried again."""

    __slots__ = ("arrived", "connection", "flow", "held", "look_timer", "trace")

    def __init__(self, connection: Connection, core: AnswerCore, trace: bytes) -> None:
        self.connection = connection
        self.trace = trace  # trace ID of the call, for the log
        self.arrived = time.monotonic()  # s, when data last arrived
        self.held = False  # reading is paused, as the caller does not read
        self.look_timer: asyncio.TimerHandle | None = None
        length = None if core.length < 0 else core.length
        flow = Flow(self, core.headers, length, connection.home.streams.enter())
        flow.over_calls.append(self._over)
        core.sink = flow.data
        self.flow: Flow | None = flow  # reset at the end: the cycle would otherwise wait for the collector

    def begin(self, attempt: Attempt, first: bytes) -> None:
        """Pass on what has arrived so far, if the caller still waits for it."""
        flow = self.flow
        assert flow is not None
        if not attempt.begin(flow):
            flow.cancel()
            return
        flow.data(first)
        if not flow.over:
            self._look_in(ANSWER_STALL)

    def received(self, core: AnswerCore, data: bytes) -> None:
        """Parse and pass on more of the answer."""
        self.arrived = time.monotonic()
        flow = self.flow
        read = core.feed(data)
        if flow is None or flow.over:
            return  # the caller disconnected while these bytes were passed on
        if read == WHOLE:
            self.connection.give_back(core.reusable)
            flow.end()
        elif read == SPOILT:
            self.break_off(core.why)

    def end(self) -> None:
        """End the flow: the answer is delimited by the end of its connection, which has come."""
        if self.flow is not None:
            self.flow.end()

    def break_off(self, why: str) -> None:
        """Log that the rest will not arrive, close the connection and break the flow off."""
        flow = self.flow
        self.connection.log_failure("answer-broken-off", why, self.trace)
        self.connection.abort()
        if flow is not None:
            flow.break_off()

    def _over(self, _: Flow) -> None:
        self.flow = None
        self.connection.streamed = None
        self.go_on()  # otherwise a kept connection would stay paused and never be read again
        self.connection.home.streams.leave()
        if self.look_timer is not None:
            self.look_timer.cancel()
            self.look_timer = None

    def _look_in(self, seconds: float) -> None:
        self.look_timer = self.connection.home.loop.call_later(seconds, self._look)

    def _look(self) -> None:
        self.look_timer = None
        quiet = time.monotonic() - self.arrived
        if self.held:
            self._look_in(ANSWER_STALL)
        elif quiet < ANSWER_STALL - 0.001:
            self._look_in(ANSWER_STALL - quiet)
        else:
            self.break_off("it stopped half-way")

    # millgw.streams.flow.Source

    def hold(self) -> None:
        """Pause reading, as the caller takes no more for now."""
        transport = self.connection.transport
        if not self.held and transport is not None and not transport.is_closing():
            self.held = True
            transport.pause_reading()

    def go_on(self) -> None:
        """Resume reading."""
        transport = self.connection.transport
        if self.held and transport is not None:
            self.held = False
            self.arrived = time.monotonic()
            if not transport.is_closing():
                transport.resume_reading()

    def abandon(self) -> None:
        """Close the connection, as nobody waits for the rest of the answer."""
        self.connection.abort()
