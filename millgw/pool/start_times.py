"""When endpoints started, for a process whose wall clock may be wrong. No I/O, no clock.

Discovery tells an endpoint's start in Unix time of another machine. Where the two clocks differ by an hour,
one that is cold would look warm, or stay cold for an hour. What this process has seen itself bounds each
start: it was not on the list that discovery told last, and it is now.
"""

from __future__ import annotations

from collections import OrderedDict

MAX_LISTING_DELAY_MS = 15_000.0  # ms after a start for which discovery may still not list it
MAX_REMEMBERED = 8192  # endpoints whose starts are remembered, also of those that left the list


class StartTimes:
    """Dates each start once, when it is first listed. All times in ms of one clock that never steps."""

    def __init__(self) -> None:
        self.heard_at: float | None = None  # when discovery last told a list, changes or a heartbeat
        self.known: OrderedDict[int, tuple[float, float]] = OrderedDict()  # by endpoint: as told, as dated

    def discovery_heard(self, now: float) -> None:
        """Discovery has told something; what it lists from now on that is new has come since."""
        self.heard_at = now

    def local_start(self, now: float, endpoint: int, reported: float) -> float:
        """When an endpoint started that discovery says started at `since` (Unix ms; 0: long ago)."""
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
        """What discovery told of a start, for a process that dates it anew."""
        reported, known_local = self.known.get(endpoint, (local, local))
        return reported if known_local == local else local

    def _bounded_start(self, now: float, reported: float) -> float:
        if reported > now:
            return now
        if self.heard_at is not None and reported < self.heard_at - MAX_LISTING_DELAY_MS:
            return min(now, self.heard_at)  # no start so long ago would be new on the list now
        return reported
