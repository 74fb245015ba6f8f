"""Receive timeouts of a request: detects clients that stop sending or are too slow. Pure: no clock, no I/O.

A client that stops sending must get its error or a close within 3 s of its last byte (standing test, "Beyond
this bench"). One that goes on may take 2 s for a head and send a body at 64 kB a second (daily running, "Less
room"). A slower client is not ended for that alone, as some write slowly, but its connection is the first to
be evicted when others need room.

Times are seconds on a monotonic clock that the connection passes in.
"""

from __future__ import annotations

from enum import Enum

HEAD_TIMEOUT = 2.4  # s from the first byte of a request to the end of its head
STALL_TIMEOUT = 2.5  # s without a byte after which a client counts as stopped
BODY_TIMEOUT = 60.0  # s that a body may take, in addition to its length divided by `MIN_BODY_RATE`
MIN_BODY_RATE = 32 * 1024  # bytes/s of a body; half the rate of the slowest client that must be served
SLOW_AFTER = 4.8  # s in addition to the length divided by `MIN_BODY_RATE`, after which a client is slow


class Overdue(Enum):
    """Why an incomplete request is answered with a timeout; the value is the text of the answer."""

    STOPPED = "its client has stopped in the middle of it"
    HEAD = "its head takes too long"
    BODY = "its body takes too long"


class ReceiveProgress:
    """Timing of the request that one connection is receiving."""

    __slots__ = ("last_received", "paused_since", "paused_total", "started")

    def __init__(self, now: float) -> None:
        self.started = now
        self.last_received = now  # s, when the last bytes that were read had arrived
        self.paused_since: float | None = None  # s, since when reading is paused; None while reading
        self.paused_total = 0.0  # s of finished pauses within the current request

    def begin(self, now: float) -> None:
        """Record that the first byte of a request was read."""
        self.started = now
        self.paused_total = 0.0

    def pause(self, now: float) -> None:
        """Record that this side stops reading."""
        self.paused_since = now

    def resume(self, now: float) -> None:
        """Record that this side reads again."""
        self.paused_total += self._current_pause(now)
        self.paused_since = None

    def stalled(self, now: float) -> bool:
        """Whether the client counts as stopped, provided that no bytes wait in the socket."""
        return now > self.last_received + STALL_TIMEOUT

    def overdue(self, now: float, in_body: bool, length: int) -> Overdue | None:
        """Why the request has timed out, or None; only meaningful while no bytes wait in the socket.

        `length` is the number of body bytes received so far.
        """
        if self.stalled(now):
            return Overdue.STOPPED
        if not in_body:
            return Overdue.HEAD if self._elapsed(now) > HEAD_TIMEOUT else None
        return Overdue.BODY if self._elapsed(now) > BODY_TIMEOUT + length / MIN_BODY_RATE else None

    def slow(self, now: float, length: int) -> bool:
        """Whether it arrives at less than `MIN_BODY_RATE`, so that its connection is evicted first."""
        return self._elapsed(now) > SLOW_AFTER + length / MIN_BODY_RATE

    def _elapsed(self, now: float) -> float:
        """Seconds since the first byte of the request, without those for which reading was paused."""
        return now - self.started - self.paused_total - self._current_pause(now)

    def _current_pause(self, now: float) -> float:
        return 0.0 if self.paused_since is None else now - self.paused_since
