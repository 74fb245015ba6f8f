"""The endpoint side of an answer that is streamed to its caller as it arrives."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from millgw.endpoints.attempt import Attempt
from millgw.endpoints.core import COMPLETE, INVALID, AnswerCore
from millgw.streams.flow import Flow

if TYPE_CHECKING:
    from millgw.endpoints.connection import Connection

# s without data after which a streamed answer is broken off, unless its caller has stopped reading.
ANSWER_STALL_TIMEOUT = 15.0


class StreamedAnswer:
    """The source of a flow. The attempt ends when streaming begins: the rest is not tried again."""

    __slots__ = ("connection", "flow", "last_data_at", "paused", "progress_timer", "trace_id")

    def __init__(self, connection: Connection, core: AnswerCore, trace_id: bytes) -> None:
        self.connection = connection
        self.trace_id = trace_id  # trace ID of the call, for the log
        self.last_data_at = time.monotonic()  # s, when data last arrived
        self.paused = False  # reading is paused, as the caller does not read
        self.progress_timer: asyncio.TimerHandle | None = None
        length = None if core.length < 0 else core.length
        flow = Flow(self, core.headers, length, connection.owner.streams.open_stream())
        flow.on_end.append(self._flow_ended)
        core.sink = flow.data
        self.flow: Flow | None = flow  # reset at the end: the cycle would otherwise wait for the collector

    def begin(self, attempt: Attempt, first: bytes) -> None:
        """Pass on what has arrived so far, if the caller still waits for it."""
        flow = self.flow
        assert flow is not None
        if not attempt.begin_stream(flow):
            flow.cancel()
            return
        flow.data(first)
        if not flow.ended:
            self._start_progress_timer(ANSWER_STALL_TIMEOUT)

    def received(self, core: AnswerCore, data: bytes) -> None:
        """Parse and pass on more of the answer."""
        self.last_data_at = time.monotonic()
        flow = self.flow
        result = core.feed(data)
        if flow is None or flow.ended:
            return  # the caller disconnected while these bytes were passed on
        if result == COMPLETE:
            self.connection.release(core.reusable)
            flow.end()
        elif result == INVALID:
            self.break_off(core.error)

    def end(self) -> None:
        """End the flow: the answer is delimited by the end of its connection, which has come."""
        if self.flow is not None:
            self.flow.end()

    def break_off(self, cause: str) -> None:
        """Log that the rest will not arrive, close the connection and break the flow off."""
        flow = self.flow
        self.connection.log_failure("answer-broken-off", cause, self.trace_id)
        self.connection.abort()
        if flow is not None:
            flow.break_off()

    def _flow_ended(self, _: Flow) -> None:
        self.flow = None
        self.connection.streamed = None
        self.resume()  # otherwise a kept connection would stay paused and never be read again
        self.connection.owner.streams.close_stream()
        if self.progress_timer is not None:
            self.progress_timer.cancel()
            self.progress_timer = None

    def _start_progress_timer(self, seconds: float) -> None:
        self.progress_timer = self.connection.owner.loop.call_later(seconds, self._check_progress)

    def _check_progress(self) -> None:
        self.progress_timer = None
        quiet = time.monotonic() - self.last_data_at
        if self.paused:
            self._start_progress_timer(ANSWER_STALL_TIMEOUT)
        elif quiet < ANSWER_STALL_TIMEOUT - 0.001:
            self._start_progress_timer(ANSWER_STALL_TIMEOUT - quiet)
        else:
            self.break_off("it stopped half-way")

    # millgw.streams.flow.Source

    def pause(self) -> None:
        """Pause reading, as the caller takes no more for now."""
        transport = self.connection.transport
        if not self.paused and transport is not None and not transport.is_closing():
            self.paused = True
            transport.pause_reading()

    def resume(self) -> None:
        """Resume reading."""
        transport = self.connection.transport
        if self.paused and transport is not None:
            self.paused = False
            self.last_data_at = time.monotonic()
            if not transport.is_closing():
                transport.resume_reading()

    def abandon(self) -> None:
        """Close the connection, as nobody waits for the rest of the answer."""
        self.connection.abort()
