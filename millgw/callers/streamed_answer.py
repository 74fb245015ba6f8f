"""An answer that is streamed to a caller while it arrives from an endpoint."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from millgw.callers.core import encode_answer_head
from millgw.callers.write_stall import WriteStall
from millgw.http.message import FAILED, SERVED, Answer
from millgw.streams.flow import Flow

if TYPE_CHECKING:
    from millgw.callers.connection import CallerConnection


class StreamedAnswer:
    """The caller's side of a flow. `until_close`: the body is delimited by the end of the connection."""

    __slots__ = ("chunked", "connection", "flow", "stall", "until_close")

    def __init__(self, connection: CallerConnection, flow: Flow, version: str) -> None:
        self.connection = connection
        self.flow: Flow | None = flow  # None at its end, to break the reference cycle
        self.chunked = flow.length is None and version == "1.1"
        self.until_close = flow.length is None and not self.chunked
        self.stall = WriteStall(time.monotonic())

    def begin(self, transport: asyncio.Transport, answer: Answer, close: bool) -> None:
        """Write the head; `close` marks the last answer on the connection."""
        flow = self.flow
        assert flow is not None
        transport.set_write_buffer_limits(high=flow.window)
        transport.write(encode_answer_head(answer, flow.length, self.chunked, close))
        flow.sink = self

    def pause(self) -> None:
        """Pause the flow: the client's write buffer is full."""
        if self.flow is not None:
            self.flow.pause()

    def resume(self) -> None:
        """Resume the flow: the client's write buffer has room again."""
        if self.flow is not None:
            self.flow.resume()

    def cancel(self) -> None:
        """Cancel the flow: the client has disconnected."""
        flow, self.flow = self.flow, None
        if flow is not None:
            flow.cancel()

    def stalled(self, now: float) -> bool:
        """Whether the client has read nothing of the answer for too long."""
        transport = self.connection.transport
        return transport is not None and self.stall.stalled(now, transport.get_write_buffer_size())

    # The flow's sink

    def pass_on(self, data: bytes) -> None:
        """Write the next part of the body."""
        transport = self.connection.transport
        if data and transport is not None:
            transport.write(b"%x\r\n%b\r\n" % (len(data), data) if self.chunked else data)

    def finished(self) -> None:
        """The body is complete."""
        transport = self.connection.transport
        if self.chunked and transport is not None:
            transport.write(b"0\r\n\r\n")
        self.flow = None
        self.connection.stream_ended(SERVED)
        self.connection.answer_ended()

    def broken_off(self) -> None:
        """The rest of the body won't arrive: close the connection, so that the client can tell."""
        connection = self.connection
        self.flow = None
        connection.stream_ended(FAILED)
        if self.until_close:
            connection.abort()
        connection.close()
        connection.core.queue.clear()
