"""One process's life: whether /ready says yes, which answers end their connection, when idle ones are closed.

Pure: no clock, no I/O. Draining and leaving are here together, so that each mix of them has one answer:

    called            while it serves     while drained       while it leaves
    drain             drained             stays so            no
    resume            stays so            serves              no
    leave             serves on a while   ends at once        stays so
    leave, succeeded  ends at once        ends at once        stays so

Every change is made by plain assignments, as the door calls from a thread of its own. Times are seconds on
the caller's monotonic clock.
"""

from __future__ import annotations

import math

DRAIN_IDLE_AFTER = 1.0  # s after a drain began: until then answers end connections, and cross nothing
LEAVE_IDLE_AFTER = 1.2  # s the same when another process has taken over: clients have nowhere else to be


class Lifecycle:
    """`able` is set by whoever knows that calls can be served. `last`: every answer ends its connection."""

    def __init__(self) -> None:
        self.able = False
        self.drained = False
        self.leaving = False
        self.succeeded = False
        self.ending = False
        self.idle_from = math.inf
        self.over = False  # what comes now could not be answered in time: it is refused at once

    @property
    def last(self) -> bool:
        return self.drained or self.ending

    def ready(self) -> bool:
        """Whether this process can serve: what the door says. One that is drained can."""
        return self.able and not self.leaving

    def welcome(self) -> bool:
        """Whether new connections should come to this sidecar: what /ready says.

        Yes while it leaves to a process that has taken over: the two are one sidecar to those who ask.
        """
        return not self.drained and (not self.leaving or self.succeeded)

    def drain(self, now: float) -> bool:
        """Send clients away; tells whether that is done or under way."""
        if self.leaving:
            return False
        if not self.drained:
            self.idle_from = now + DRAIN_IDLE_AFTER
            self.drained = True
        return True

    def resume(self) -> bool:
        """Serve as before a drain; tells whether it does."""
        if self.leaving:
            return False
        self.drained = False
        self.idle_from = math.inf
        return True

    def leave(self, now: float, succeeded: bool) -> None:
        """The process is to end. It does not serve on where it is drained or has a successor."""
        if self.leaving:
            return
        self.leaving = True
        self.succeeded = succeeded
        if succeeded and not self.drained:
            self.ending = True
            self.idle_from = now + LEAVE_IDLE_AFTER
        elif self.drained:
            self.ending = True

    def end(self, now: float) -> None:
        """The time of serving on is over."""
        if not self.ending:
            self.ending = True
            self.idle_from = now

    def closes_idle(self, now: float) -> bool:
        """Whether connections on which nothing is open are closed now."""
        return now >= self.idle_from
