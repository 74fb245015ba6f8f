"""Streams a request's body to an endpoint as it arrives from the caller."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from millgw.endpoints.attempt import LAST_BYTE_HELD, WRITING, Attempt
from millgw.interface import Outcome
from millgw.streams.upload import Upload

if TYPE_CHECKING:
    from millgw.endpoints.connection import Connection

BODY_STALL_TIMEOUT = 15.0  # s without progress after which an endpoint counts as no longer reading a body


class RequestBody:
    """Takes the available part of an upload and writes it to the attempt's connection.

    It is in use from the request's head until the body's last byte is written, or the attempt has ended.
    """

    __slots__ = ("attempt", "connection", "progress", "progress_timer", "upload", "written")

    def __init__(self, connection: Connection, attempt: Attempt, upload: Upload) -> None:
        self.connection = connection
        self.attempt = attempt
        self.upload = upload
        self.written = 0  # bytes of the body written so far, with their framing
        self.progress = (0, 0)  # `written` and the size of the transport's buffer at the last check
        self.progress_timer: asyncio.TimerHandle | None = None

    def begin(self, head: bytes, hold: float) -> None:
        """Write the head, and `hold` ms later the first part of the body, if the connection has not broken.

        On a dead connection that part would be lost, and the request could not be tried again.
        """
        connection, attempt = self.connection, self.attempt
        assert connection.transport is not None
        attempt.state = LAST_BYTE_HELD
        if attempt.intent is not None:
            attempt.intent.begin()
        connection.owner.held_back += 1
        connection.transport.set_write_buffer_limits(high=self.upload.window)
        connection.transport.write(head)
        connection.hold_back(hold, self.write_first)

    def write_first(self) -> None:
        """Write the first part of the body, if the connection is still open and the attempt may be sent."""
        connection, attempt = self.connection, self.attempt
        connection.hold_timer = None
        if connection.body is not self:
            return
        if not connection.usable():
            connection.abandon_broken()
            return
        if attempt.caller_left(time.monotonic() * 1000):
            connection.end_unsent()
            return
        if attempt.intent is not None and not connection.check_intent(attempt, attempt.intent):
            return
        attempt.state = WRITING
        self.progress_timer = connection.owner.loop.call_later(BODY_STALL_TIMEOUT, self._check_progress)
        self.upload.consumer = self
        self.write_more()

    def write_more(self) -> None:
        """Write the available part of the body, unless the endpoint reads too slowly for more."""
        connection, upload = self.connection, self.upload
        transport = connection.transport
        if (
            connection.body is not self
            or transport is None
            or connection.write_paused
            or transport.is_closing()
        ):
            return
        data = upload.take()
        if upload.length is None:
            data = b"%x\r\n%b\r\n" % (len(data), data) if data else b""
            if upload.complete:
                data += b"0\r\n\r\n"
        if upload.complete:
            connection.body = None
            self.stop()
            # From here on the transport reports when the kernel has taken the last byte.
            transport.set_write_buffer_limits(high=0)
        if data:
            self.written += len(data)
            transport.write(data)
        if upload.complete:
            connection.note_written()

    def stop(self) -> None:
        """Stop taking from the upload, so that another attempt can."""
        self.upload.consumer = None
        if self.progress_timer is not None:
            self.progress_timer.cancel()
            self.progress_timer = None

    def _check_progress(self) -> None:
        """End the attempt if the endpoint has stopped reading; otherwise the caller would wait forever."""
        self.progress_timer = None
        connection = self.connection
        left = 0 if connection.transport is None else connection.transport.get_write_buffer_size()
        if connection.write_paused and (self.written, left) == self.progress:
            connection.log_failure(
                "answer-spoilt", "endpoint stopped reading the body", self.attempt.trace_id
            )
            connection.abort()
            connection.finish(Outcome.CONNECT_FAILED)  # its last byte was never written
            return
        self.progress = (self.written, left)
        self.progress_timer = connection.owner.loop.call_later(BODY_STALL_TIMEOUT, self._check_progress)
