"""The endpoint source of a pool that follows a coordinator and a discovery service.

This module does the I/O and reads the clock. `merge` decides how the two lists are combined, and
`discovery_list` until when discovery's is valid.
"""

from __future__ import annotations

import asyncio
import math
import random
import time
from collections.abc import Callable
from typing import Any

from millgw.interface import Condition, Endpoint, ListKind, Settings
from millgw.log.events import log_event
from millgw.membership.discovery_list import DiscoveryList
from millgw.membership.merge import COORDINATOR, DISCOVERY, Merger
from millgw.membership.servers import JitterBackoff
from millgw.membership.source import (
    IDLE_CHECK_INTERVAL,
    ChangeNotifier,
    DirectoryLocation,
    WatchedDirectory,
)
from millgw.platform.config import Address
from millgw.platform.discovery import (
    Discovery,
    ListedEndpoint,
    UpdateCallback,
    first_line_timeout,
    renumbered,
)
from millgw.platform.list_state import ListState, MergedLists
from millgw.policy.freshness import MAX_AGENT_RETRY_MS, MIN_AGENT_RETRY_MS
from millgw.pool.pool import EndpointObserver

# Parts of `ask_within`: base and cap of the delay between watches of discovery
SUBSCRIBE_BASE_PART, SUBSCRIBE_CAP_PART = 0.05, 0.25


def _resubscribe_backoff(settings: Settings, rng: random.Random) -> JitterBackoff:
    """The delays (ms) between watches of discovery; a call to an agent on this machine is cheap."""
    if settings.local_agent:
        return JitterBackoff(MIN_AGENT_RETRY_MS, MAX_AGENT_RETRY_MS, rng)
    return JitterBackoff(
        SUBSCRIBE_BASE_PART * settings.ask_within, SUBSCRIBE_CAP_PART * settings.ask_within, rng
    )


def _now() -> float:
    """The monotonic time in ms."""
    return time.monotonic() * 1000


def _draining(endpoint: int) -> ListedEndpoint:
    return ListedEndpoint(Endpoint(endpoint, Condition.DRAINING), None)


class MergedSource:
    """Endpoint source of a pool: a coordinator and a discovery service, merged."""

    def __init__(
        self,
        location: DirectoryLocation,
        merger: Merger,
        discovery: Address,
        own_discovery: bool,
        settings: Settings,
        zones: tuple[str, ...],
        seed: int,
        connections: EndpointObserver,
        on_list: UpdateCallback,
    ) -> None:
        self.on_list = on_list
        self.merger = merger
        self.directory = WatchedDirectory(location, zones, seed, connections, self._on_coordinator_lists)
        first_line = first_line_timeout(settings)
        self.discovery = Discovery(
            discovery, zones, self._on_discovery_list, first_line, uses_known=not own_discovery
        )
        self.backoff = _resubscribe_backoff(settings, random.Random(f"both {seed}"))
        self.listed = DiscoveryList(settings, random.Random(f"freshness {seed}"))
        # What an agent has counts as told from the start, so nothing is used until it has spoken once.
        self.needs_discovery = settings.local_agent
        self.subscribe_timer: asyncio.TimerHandle | None = None
        self.doubt_timer: asyncio.TimerHandle | None = None
        self.notifier = ChangeNotifier(on_list)
        self.started = False
        self.health_timer: asyncio.TimerHandle | None = None

    def start(self, known: Any) -> None:
        """Uses the configuration's list unless the pool has a discovery service of its own."""
        self.listed.start(_now())
        self.discovery.start(known)

    def continue_from(
        self, predecessor: object, listed: Callable[[], tuple[ListedEndpoint, ...]]
    ) -> bool | None:
        """Start from both lists of another source of this process (see `EndpointSource`)."""
        if not isinstance(predecessor, MergedSource) or not self._follows_the_same(predecessor):
            return None
        moved = self.discovery.continue_from(predecessor.discovery, listed)
        if moved is not None:
            self.listed.continue_from(predecessor.listed, _now(), moved)
            self.merger.continue_from(predecessor.merger)
            self._update_doubt()
        return moved

    def list_state(self) -> ListState:
        """What the next process needs to go on with discovery's list (see `EndpointSource`)."""
        ended = [tuple(side.ended.items()) for side in self.merger.sources]
        merged = MergedLists(
            directory=self.directory.location.name(),
            ready=tuple(self.listed.ready.values()),
            draining=tuple(self.listed.draining),
            heard=self.listed.heard,
            age=self.listed.age(_now()),
            ended_at_coordinator=ended[COORDINATOR],
            ended_at_discovery=ended[DISCOVERY],
        )
        return ListState(self.discovery.uses_known, self.discovery.index, merged)

    def continues(self, state: ListState) -> bool:
        """Whether that source follows the same directory, and the same kind of discovery."""
        return (
            state.merged is not None
            and state.merged.directory == self.directory.location.name()
            and state.platform == self.discovery.uses_known
        )

    def adopt_state(
        self, state: ListState, entries: tuple[ListedEndpoint, ...], zones: tuple[str, ...]
    ) -> None:
        """Start from the lists of the predecessor process; called in place of `start`."""
        merged = state.merged
        assert merged is not None, "`continues` holds"
        self.listed.take_over(_now(), merged.age)
        self.discovery.adopt(state.index, renumbered(entries, zones, self.directory.zones))
        self.listed.ready = {e.endpoint.id: e for e in renumbered(merged.ready, zones, self.directory.zones)}
        self.listed.draining = {id: _draining(id) for id in merged.draining}
        self.listed.heard = merged.heard
        if merged.heard:
            self.merger.update(DISCOVERY, self.listed.ready, self.listed.draining)
        self.merger.sources[COORDINATOR].ended = dict(merged.ended_at_coordinator)
        self.merger.sources[DISCOVERY].ended = dict(merged.ended_at_discovery)
        self._update_doubt()

    def _follows_the_same(self, other: MergedSource) -> bool:
        """Whether its lists mean the same here: one directory, and zones of the same numbers."""
        own, theirs = self.directory, other.directory
        return own.location.name() == theirs.location.name() and own.zones == theirs.zones

    def subscribe(self) -> None:
        self.notifier.full_list_due = True
        if not self.started:
            self.started = True
            self.directory.start()
            self._check_health()
        if self.discovery.watch is None:
            self._ask_discovery()
        elif self.merger.sources[DISCOVERY].healthy or self.merger.sources[COORDINATOR].healthy:
            asyncio.get_running_loop().call_soon(self._notify)

    def _ask_discovery(self) -> None:
        if self.discovery.watch is None:
            self.listed.asked(_now())
            self.discovery.subscribe()
            self._update_doubt()

    def _check_health(self) -> None:
        """Poll whether the coordinator is still healthy: no event reports when it no longer is."""
        well = self.directory.healthy()
        side = self.merger.sources[COORDINATOR]
        if side.reported and side.healthy != well:
            side.healthy = well
            log_event("coordinator-well", well=str(well).lower())
            self._notify()
        self.health_timer = asyncio.get_running_loop().call_later(IDLE_CHECK_INTERVAL, self._check_health)

    def _on_coordinator_lists(
        self, ready: dict[int, ListedEndpoint], drains: dict[int, ListedEndpoint]
    ) -> None:
        self.merger.update(COORDINATOR, ready, drains)
        self._notify()

    def _on_discovery_list(self, kind: ListKind, entries: tuple[ListedEndpoint, ...]) -> None:
        changed = self.listed.take(_now(), kind, entries)
        if kind is ListKind.CACHED:
            # An old list: its endpoints are used, but it says nothing on who is gone.
            self.on_list(kind, entries)
            self.notifier.last_sent = {e.endpoint.id: e for e in entries}
            return
        if kind.watch_ended:
            self._discovery_lost(kind)
        elif changed or not self.merger.sources[DISCOVERY].healthy:
            self.merger.update(DISCOVERY, self.listed.ready, self.listed.draining)
            self.backoff.reset()
            changed = True
        if self._update_doubt() or changed:
            self._notify()

    def _discovery_lost(self, kind: ListKind) -> None:
        if kind is ListKind.MOVED:
            return  # the next watch is requested already
        self.merger.mark_unhealthy(DISCOVERY)
        if self.merger.reported():
            self._notify()
        else:
            self.on_list(kind, ())  # the module still has the list of the start, and judges its validity
        # Subscribes again here and not in the module: that still receives the coordinator's changes, would
        # take them for lists of a working discovery service, and never subscribe again.
        wait = self.backoff.next() / 1000
        self.subscribe_timer = asyncio.get_running_loop().call_later(wait, self._ask_discovery)

    def _update_doubt(self) -> bool:
        """Look whether discovery's list is in doubt by now, and again when it will be; whether it changed."""
        now, valid_until = _now(), self.listed.valid_until()
        if self.doubt_timer is not None:
            self.doubt_timer.cancel()
            self.doubt_timer = None
        if now < valid_until < math.inf:
            wait = (valid_until - now) / 1000
            self.doubt_timer = asyncio.get_running_loop().call_later(wait, self._on_doubt_timer)
        side, in_doubt = self.merger.sources[DISCOVERY], self.listed.in_doubt(now)
        if side.in_doubt == in_doubt:
            return False
        side.in_doubt = in_doubt
        log_event(
            "discovery-in-doubt",
            discovery=self.discovery.address,
            doubt=str(in_doubt).lower(),
            listed=len(self.listed.ready),
        )
        return True

    def _on_doubt_timer(self) -> None:
        if self._update_doubt():
            self._notify()

    def _notify(self) -> None:
        if self.merger.reported() and (self.listed.heard or not self.needs_discovery):
            self.notifier.notify(self.merger.result())

    def reconfigure(self, settings: Settings) -> None:
        """Ask discovery, and doubt its list, by the changed settings from now on."""
        self.backoff = _resubscribe_backoff(settings, self.backoff.rng)
        self.listed.freshness.reconfigure(settings)
        if self._update_doubt():
            self._notify()

    def stop(self) -> None:
        self.directory.stop()
        self.discovery.stop()
        for timer in (self.health_timer, self.subscribe_timer, self.doubt_timer):
            if timer is not None:
                timer.cancel()

    def figures(self) -> dict[str, object]:
        sides = zip(("coordinator", "discovery"), self.merger.sources, strict=True)
        lists = {f"{name}_lists": len(side.ready) for name, side in sides}
        doubt = {"discovery": "in-doubt"} if self.merger.sources[DISCOVERY].in_doubt else {}
        return self.directory.figures() | lists | doubt
