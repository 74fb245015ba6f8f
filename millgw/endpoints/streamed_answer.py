"""An answer on its way from an endpoint, passed on as it comes."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from millgw.endpoints.attempt import Attempt
from millgw.endpoints.core import SPOILT, WHOLE, AnswerCore
from millgw.streams.flow import Flow

if TYPE_CHECKING:
    from millgw.endpoints.connection import Connection

ANSWER_STALL = 15.0  # s in which an answer that is passed on must go on, unless its caller takes none of it


class StreamedAnswer:
    """The endpoint's side of a flow. The attempt is over once it has begun: the rest is its caller's."""

    __slots__ = ("arrived", "connection", "flow", "held", "look_timer", "trace")

    def __init__(self, connection: Connection, core: AnswerCore, trace: bytes) -> None:
        self.connection = connection
        self.trace = trace  # of its call, for the log
        self.arrived = time.monotonic()  # s, when its last bytes came
        self.held = False  # nothing is read: the caller does not take it
        self.look_timer: asyncio.TimerHandle | None = None
        length = None if core.length < 0 else core.length
        flow = Flow(self, core.headers, length, connection.home.streams.enter())
        flow.over_calls.append(self._over)
        core.sink = flow.data
        self.flow: Flow | None = flow  # until it is over: each would keep the other until the collector comes

    def begin(self, attempt: Attempt, first: bytes) -> None:
        """Pass on what has come by now, if anybody waits for it."""
        flow = self.flow
        assert flow is not None
        if not attempt.begin(flow):
            flow.cancel()
            return
        flow.data(first)
        if not flow.over:
            self._look_in(ANSWER_STALL)

    def received(self, core: AnswerCore, data: bytes) -> None:
        """Pass on more of it."""
        self.arrived = time.monotonic()
        flow = self.flow
        read = core.feed(data)
        if flow is None or flow.over:
            return  # its caller left at these bytes
        if read == WHOLE:
            self.connection.give_back(core.reusable)
            flow.end()
        elif read == SPOILT:
            self.break_off(core.why)

    def end(self) -> None:
        """Its connection has ended, and that makes it whole."""
        if self.flow is not None:
            self.flow.end()

    def break_off(self, why: str) -> None:
        """The rest of it will not come."""
        flow = self.flow
        self.connection.log_failure("answer-broken-off", why, self.trace)
        self.connection.abort()
        if flow is not None:
            flow.break_off()

    def _over(self, _: Flow) -> None:
        self.flow = None
        self.connection.streamed = None
        self.go_on()  # else a kept connection would never be read again
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

    # The flow's source

    def hold(self) -> None:
        """The caller takes no more for now."""
        transport = self.connection.transport
        if not self.held and transport is not None and not transport.is_closing():
            self.held = True
            transport.pause_reading()

    def go_on(self) -> None:
        """The caller takes more."""
        transport = self.connection.transport
        if self.held and transport is not None:
            self.held = False
            self.arrived = time.monotonic()
            if not transport.is_closing():
                transport.resume_reading()

    def abandon(self) -> None:
        """Nobody waits for the rest of the answer."""
        self.connection.abort()
