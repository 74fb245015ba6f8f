"""When the client of a request can have written its last byte at the earliest. Pure: no clock, no I/O.

A call's time counts from that byte (protocol specification). While this side does not read, because an
endpoint takes the body slowly or not at all, the byte may long be in the kernels' buffers: the deadline can't
wait until it is read. Times are seconds on a monotonic clock that the connection passes in.
"""

from __future__ import annotations

import math

RECEIVE_BUFFER = 128 * 1024  # bytes that the kernel receives ahead on a caller's connection
PEER_SEND_BUFFER = 4 * 1024 * 1024  # bytes, largest send buffer of a client: Linux' default of tcp_wmem
SETTLE_TIME = 0.05  # s; a client whose writes were blocked fills the receive buffer again within this time
MAX_BYTES_AHEAD = 2 * RECEIVE_BUFFER + PEER_SEND_BUFFER  # Linux doubles a receive buffer that is set


class WriteTimeBound:
    """Lower bound of the time at which the bytes of a request that are still to be read were written."""

    __slots__ = ("_bytes_read", "_drained_since", "_mark_bytes", "_mark_time", "_unread_since")

    def __init__(self) -> None:
        self._unread_since = math.inf  # since when bytes may wait unread; inf while none do
        self._drained_since = math.inf  # since when each read has left the socket empty
        self._bytes_read = 0
        # All but MAX_BYTES_AHEAD of the bytes behind the first `_mark_bytes` were written after `_mark_time`.
        self._mark_time = 0.0
        self._mark_bytes = 0

    def request_begun(self, now: float) -> None:
        """Note that the bytes read last begin another request."""
        if self._drained_since == math.inf:
            self._begin(now)
        else:
            self._unread_since = math.inf

    def paused(self, now: float) -> None:
        """Note that this side stops reading."""
        if self.earliest(now) == now:
            self._begin(now)
        self._drained_since = math.inf

    def read(self, now: float, size: int, drained: bool) -> float:
        """Note a read of `size` bytes; `drained` if it left none in the socket.

        Returns the earliest time at which the last of them can have been written.
        """
        earliest = self.earliest(now)
        self._bytes_read += size
        if drained:
            self._drained_since = min(now, self._drained_since)
            return earliest
        self._drained_since = math.inf
        if earliest == now:
            self._begin(now)
        elif self._bytes_read - self._mark_bytes > MAX_BYTES_AHEAD:
            self._unread_since = self._mark_time
            self._mark_time, self._mark_bytes = now, self._bytes_read
        return earliest

    def missing(self, now: float, size: int) -> None:
        """Note that `size` bytes of the request are still to be read."""
        if size > MAX_BYTES_AHEAD and self._unread_since != math.inf:
            self._begin(now)

    def earliest(self, now: float) -> float:
        """The earliest time at which all bytes still to be read can have been written; `now` if none wait."""
        if now >= self._drained_since + SETTLE_TIME:
            return now
        return min(now, self._unread_since)

    def _begin(self, now: float) -> None:
        self._unread_since = self._mark_time = now
        self._mark_bytes = self._bytes_read
