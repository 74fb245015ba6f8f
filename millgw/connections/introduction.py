"""Which endpoints the decision module is told of: a cold one only once a connection to it is there. Pure.

The module picks among the endpoints that it is told of, and a call that is sent to one with no connection
needs a handshake at once. A cold endpoint is asked for handshakes in turns (`opening`), so one whose turn
here is still to come is kept from the module until then: it has others to go to. Drains and ends are never
kept from it.

Guards against a list of which too little would be left: at most a share is kept back, and none past its cold
time.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from millgw.interface import Condition, Endpoint, ListKind

MAX_HIDDEN_SHARE = 0.5  # of the endpoints that are ready


class ColdEndpointFilter:
    """The list as the module has it, and who is kept back. Times are those of `Endpoint.started_at`."""

    def __init__(self, cold_time: float) -> None:
        self.cold_time = cold_time
        self.shown: dict[int, Endpoint] = {}
        self.hidden: dict[int, Endpoint] = {}

    def listed(
        self, now: float, kind: ListKind, entries: Sequence[Endpoint], connected: Callable[[int], bool]
    ) -> list[Endpoint]:
        """What to tell the module of a list. `connected` tells whether a connection to one is there."""
        if kind.watch_ended:
            return list(entries)
        before = dict(self.shown)
        if kind.complete:
            self.shown.clear()
            self.hidden.clear()
        changed = []
        for entry in entries:
            self.hidden.pop(entry.id, None)
            if entry.condition is not Condition.READY:
                self.shown.pop(entry.id, None)
                changed.append(entry)
                continue
            known = before.get(entry.id)
            same = known is not None and known.started_at == entry.started_at
            if same or not self._cold(entry, now) or connected(entry.id):
                self.shown[entry.id] = entry
                changed.append(entry)
            else:
                self.hidden[entry.id] = entry
        changed += self._show_excess()
        # One that came back under its name is another to the module: the life that it knows is over.
        ended = [Endpoint(i, Condition.GONE) for i in self.hidden if i in self.shown]
        for gone in ended:
            self.shown.pop(gone.id)
        return changed + ended

    def _cold(self, entry: Endpoint, now: float) -> bool:
        return entry.started_at > 0 and now < entry.started_at + self.cold_time

    def _show_excess(self) -> list[Endpoint]:
        """Those that can't be kept back: the ones that have started first are the warmest."""
        known = len(self.shown.keys() | self.hidden.keys())
        released = []
        for entry in sorted(self.hidden.values(), key=lambda e: (e.started_at, e.id)):
            if len(self.hidden) <= MAX_HIDDEN_SHARE * known:
                break
            released.append(self._show(entry))
        return released

    def _show(self, entry: Endpoint) -> Endpoint:
        del self.hidden[entry.id]
        self.shown[entry.id] = entry
        return entry

    def connected(self, endpoint: int) -> bool:
        """A connection has come up; tells whether the module is to be told of its endpoint."""
        entry = self.hidden.get(endpoint)
        if entry is None:
            return False
        self._show(entry)
        return True

    def show_warm(self, now: float) -> bool:
        """Show those whose cold time is over; tells whether there are any."""
        warm = [e for e in self.hidden.values() if not self._cold(e, now)]
        for entry in warm:
            self._show(entry)
        return bool(warm)

    def shown_list(self) -> tuple[Endpoint, ...]:
        """The list as the module should have it."""
        return tuple(self.shown.values())
