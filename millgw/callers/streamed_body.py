"""A request body that is streamed to an endpoint while it arrives from a caller."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from millgw.pool.call import ANSWER_MARGIN_MS, Call
from millgw.streams.upload import Upload

if TYPE_CHECKING:
    from millgw.callers.connection import CallerConnection

ANSWER_MARGIN = ANSWER_MARGIN_MS / 1000  # s


class StreamedBody:
    """The caller's side of an upload, until the body is complete; then `connection` drops it."""

    __slots__ = ("_timer", "call", "connection", "upload")

    def __init__(self, connection: CallerConnection, call: Call, upload: Upload) -> None:
        self.connection = connection
        self.call = call
        self.upload = upload
        self._timer: asyncio.TimerHandle | None = None
        self._start_timer(call.timeout / 1000 - ANSWER_MARGIN)

    @property
    def full(self) -> bool:
        """Whether no more is to be parsed until the endpoint has taken some."""
        return self.upload.full

    def received(self) -> None:
        """Let the endpoint's side take what was parsed; count the call's time from the body's last byte."""
        connection, upload, now = self.connection, self.upload, time.monotonic()
        head = connection.core.head
        if upload.complete:
            connection.end_streamed_body()
            if connection.current is self.call:
                self.call.owner.body_complete(self.call, (now - connection.written_after) * 1000)
        elif head is not None and upload.length is not None:
            connection.write_time.missing(now, upload.length - head.body_received)
        upload.notify_consumer()

    def end(self) -> None:
        """Stop the timer: the body is complete, or the call is over."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _start_timer(self, seconds: float) -> None:
        self._timer = self.connection.server.loop.call_later(max(0.0, seconds), self._check)

    def _check(self) -> None:
        """End the call if its client may have written its whole body long ago, and waits in vain.

        The body is not read while the endpoint does not take it, so its last byte may never arrive here.
        """
        self._timer = None
        connection = self.connection
        if connection.streamed_body is not self or connection.current is not self.call:
            return
        now = time.monotonic()
        left = connection.write_time.earliest(now) + self.call.timeout / 1000 - ANSWER_MARGIN - now
        if left > 0:
            self._start_timer(left)
        else:
            self.call.owner.body_overdue(self.call)
