"""Hides cold endpoints from the decision module until a connection to them is established. Pure.

The module picks among the endpoints that it knows, and a call to one without a connection needs a handshake
at once. The siblings open connections to a cold endpoint in turns (`handshake_turns`), so an endpoint is
hidden until
this instance's turn has come; calls go to the others until then. Drains and removals are never hidden.

At most a share of the endpoints is hidden, and none after its cold time, as too few would remain otherwise.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from millgw.interface import Condition, Endpoint, ListKind

MAX_HIDDEN_SHARE = 0.5  # of the ready endpoints


class ColdEndpointFilter:
    """The endpoints shown to the module and the hidden ones. Times are those of `Endpoint.started_at`."""

    def __init__(self, cold_time: float) -> None:
        self.cold_time = cold_time
        self.shown: dict[int, Endpoint] = {}
        self.hidden: dict[int, Endpoint] = {}

    def filter_list(
        self, now: float, kind: ListKind, entries: Sequence[Endpoint], connected: Callable[[int], bool]
    ) -> list[Endpoint]:
        """The entries of a list to pass on. `connected` tells whether an endpoint has a connection."""
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
        # An endpoint that restarted under its name is a new one; the module must drop the one it knows.
        ended = [Endpoint(i, Condition.GONE) for i in self.hidden if i in self.shown]
        for gone in ended:
            self.shown.pop(gone.id)
        return changed + ended

    def _cold(self, entry: Endpoint, now: float) -> bool:
        return entry.started_at > 0 and now < entry.started_at + self.cold_time

    def _show_excess(self) -> list[Endpoint]:
        """Show the endpoints over the limit of hidden ones, warmest (earliest started) first."""
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
        """A connection was established; returns whether its endpoint was hidden and is now shown."""
        entry = self.hidden.get(endpoint)
        if entry is None:
            return False
        self._show(entry)
        return True

    def show_warm(self, now: float) -> bool:
        """Show the endpoints whose cold time is over; returns whether there were any."""
        warm = [e for e in self.hidden.values() if not self._cold(e, now)]
        for entry in warm:
            self._show(entry)
        return bool(warm)

    def shown_list(self) -> tuple[Endpoint, ...]:
        """The list that the module should have."""
        return tuple(self.shown.values())
