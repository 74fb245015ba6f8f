"""Drain and shutdown state of a process: readiness, answers that close connections, closing of idle ones.

Pure: no clock, no I/O. Draining and shutting down are in one class, so that every combination is defined:

    called                    while serving       while drained     while shutting down
    `drain`                   drains              unchanged         refused
    `resume`                  unchanged           serves            refused
    `shut_down`               serves for a while  ends at once      unchanged
    `shut_down`, successor    ends at once        ends at once      unchanged

All changes are plain assignments, because the admin server calls from its own thread. Times are seconds on a
monotonic clock that is passed in.
"""

from __future__ import annotations

import math

# Idle connections are closed only some time after a drain or shutdown began, because a request may cross that
# close. Until then connections are closed by their answers, which no request can cross.
DRAIN_IDLE_AFTER = 1.0  # s after a drain began
SUCCESSOR_IDLE_AFTER = 1.2  # s after a successor took over; longer, as clients have no other sidecar


class Lifecycle:
    """`can_serve` is set from outside once calls can be served. `answers_close`: every answer closes its
    connection.
    """

    def __init__(self) -> None:
        self.can_serve = False
        self.drained = False
        self.shutting_down = False
        self.has_successor = False
        self.ending = False
        self.close_idle_from = math.inf
        self.refuses_new = False  # too little time is left to serve new requests: they are refused at once

    @property
    def answers_close(self) -> bool:
        return self.drained or self.ending

    def ready(self) -> bool:
        """Whether this process can serve calls, as the admin server reports it; a drained one still can."""
        return self.can_serve and not self.shutting_down

    def accepts_clients(self) -> bool:
        """Whether clients should connect to this sidecar, as /ready on the callers' address reports it.

        True while it shuts down in favour of a successor process: to clients the two are one sidecar.
        """
        return not self.drained and (not self.shutting_down or self.has_successor)

    def drain(self, now: float) -> bool:
        """Start draining clients; False if the process is already shutting down."""
        if self.shutting_down:
            return False
        if not self.drained:
            self.close_idle_from = now + DRAIN_IDLE_AFTER
            self.drained = True
        return True

    def resume(self) -> bool:
        """End a drain; False if the process is already shutting down."""
        if self.shutting_down:
            return False
        self.drained = False
        self.close_idle_from = math.inf
        return True

    def shut_down(self, now: float, has_successor: bool) -> None:
        """Begin the shutdown. Unless drained or replaced by a successor, it goes on serving for a while."""
        if self.shutting_down:
            return
        self.shutting_down = True
        self.has_successor = has_successor
        if has_successor and not self.drained:
            self.ending = True
            self.close_idle_from = now + SUCCESSOR_IDLE_AFTER
        elif self.drained:
            self.ending = True

    def stop_serving(self, now: float) -> None:
        """End the phase in which a process that shuts down still keeps connections open."""
        if not self.ending:
            self.ending = True
            self.close_idle_from = now

    def closes_idle(self, now: float) -> bool:
        """Whether connections without an open request are closed now."""
        return now >= self.close_idle_from
