"""Endpoint start times on this process's clock, corrected for clock skew. No I/O, no clock.

Discovery reports the start of an endpoint in Unix time of another machine. If the two clocks differ by an
hour, a cold endpoint would look warm, or stay cold for an hour. So each start is bounded by what this process
has seen itself: the endpoint was missing from discovery's previous list and is on the current one.
"""

from __future__ import annotations

from collections import OrderedDict

MAX_LISTING_DELAY_MS = 15_000.0  # how long after its start an endpoint may be missing from discovery's list
MAX_REMEMBERED = 8192  # endpoints whose start times are kept, including those no longer listed


class StartTimes:
    """Determines each start once, when it is first listed. All times in ms of one clock that never steps."""

    def __init__(self) -> None:
        self.heard_at: float | None = None  # when discovery last sent a list, changes or a heartbeat
        # By endpoint: the start as reported, and the start on this clock.
        self.known: OrderedDict[int, tuple[float, float]] = OrderedDict()

    def discovery_heard(self, now: float) -> None:
        """Discovery has sent something; an endpoint that it lists for the first time after this is newer."""
        self.heard_at = now

    def local_start(self, now: float, endpoint: int, reported: float) -> float:
        """The start on this clock of an endpoint that discovery dates `reported` (Unix ms; 0: long ago)."""
        if reported <= 0:
            return reported
        known_reported, local = self.known.get(endpoint, (0.0, 0.0))
        if known_reported != reported:
            local = self._bounded_start(now, reported)
        self.known[endpoint] = (reported, local)
        self.known.move_to_end(endpoint)
        if len(self.known) > MAX_REMEMBERED:
            self.known.popitem(last=False)
        return local

    def reported_start(self, endpoint: int, local: float) -> float:
        """The start as discovery reported it, for a process that determines it again on its own clock."""
        reported, known_local = self.known.get(endpoint, (local, local))
        return reported if known_local == local else local

    def _bounded_start(self, now: float, reported: float) -> float:
        if reported > now:
            return now
        if self.heard_at is not None and reported < self.heard_at - MAX_LISTING_DELAY_MS:
            return min(now, self.heard_at)  # had it started so long ago, it would have been listed before
        return reported
