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

    def local_start(self, now: float, endpoint: int, since: float) -> float:
        """When an endpoint started that discovery says started at `since` (Unix ms; 0: long ago)."""
        if since <= 0:
            return since
        told, dated = self.known.get(endpoint, (0.0, 0.0))
        if told != since:
            dated = self._bounded_start(now, since)
        self.known[endpoint] = (since, dated)
        self.known.move_to_end(endpoint)
        if len(self.known) > MAX_REMEMBERED:
            self.known.popitem(last=False)
        return dated

    def reported_start(self, endpoint: int, dated: float) -> float:
        """What discovery told of a start, for a process that dates it anew."""
        told, as_dated = self.known.get(endpoint, (dated, dated))
        return told if as_dated == dated else dated

    def _bounded_start(self, now: float, since: float) -> float:
        if since > now:
            return now
        if self.heard_at is not None and since < self.heard_at - MAX_LISTING_DELAY_MS:
            return min(now, self.heard_at)  # no start so long ago would be new on the list now
        return since
