"""How a request comes in, and from when on its client has stopped or is too slow. Pure: no clock, no I/O.

A client that stops is owed its error or a close within 3 s of its last byte (standing test, "Beyond this
bench"). One that goes on may take 2 s for a head and send a body at 64 kB a second (daily running, "Less
room"); being slower than that does not end it by itself, as some write slowly, but makes it the first to
give way.

Times are seconds on the caller's monotonic clock.
"""

from __future__ import annotations

from enum import Enum

HEAD_TIME = 2.4  # s from a request's first byte to the end of its head
QUIET_TIME = 2.5  # s without a byte after which a client has stopped
BODY_TIME = 60.0  # s that a body may take, beside what its length takes at LEAST_RATE
LEAST_RATE = 32 * 1024  # bytes a second of a body, half of what a slow client sends
SLOW_AFTER = 4.8  # s beside that, after which a client is slow


class Overdue(Enum):
    """Why a request that has not come to its end is answered all the same."""

    STOPPED = "its client has stopped in the middle of it"
    HEAD = "its head takes too long"
    BODY = "its body takes too long"


class Progress:
    """One connection's request that is coming in."""

    __slots__ = ("begun", "came", "paused", "stopped")

    def __init__(self, now: float) -> None:
        self.begun = now
        self.came = now  # when its last bytes came, as far as they were read
        self.paused: float | None = None  # since when this side does not read, where it does not
        self.stopped = 0.0  # s for which it did not read the request

    def begin(self, now: float) -> None:
        """A request's first byte was read."""
        self.begun = now
        self.stopped = 0.0

    def pause(self, now: float) -> None:
        """This side reads no further for now."""
        self.paused = now

    def resume(self, now: float) -> None:
        """It reads on."""
        self.stopped += self._paused_for(now)
        self.paused = None

    def quiet(self, now: float) -> bool:
        """Whether nothing was read for so long that its client has stopped, if nothing waits to be read."""
        return now > self.came + QUIET_TIME

    def overdue(self, now: float, in_body: bool, length: int) -> Overdue | None:
        """Why a request whose bytes have all been read is not waited for any longer; None where it is.

        `length` is how many bytes of its body have come.
        """
        if self.quiet(now):
            return Overdue.STOPPED
        if not in_body:
            return Overdue.HEAD if self._takes(now) > HEAD_TIME else None
        return Overdue.BODY if self._takes(now) > BODY_TIME + length / LEAST_RATE else None

    def slow(self, now: float, length: int) -> bool:
        """Whether it comes in at less than `LEAST_RATE`: its connection is the first to give way."""
        return self._takes(now) > SLOW_AFTER + length / LEAST_RATE

    def _takes(self, now: float) -> float:
        """For how long it has been coming in, without the time for which this side did not read."""
        return now - self.begun - self.stopped - self._paused_for(now)

    def _paused_for(self, now: float) -> float:
        return 0.0 if self.paused is None else now - self.paused
