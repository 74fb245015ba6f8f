"""Starts a pool: with the state of the process that it takes over from, or with the configuration's list."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from millgw.interface import Settings
from millgw.log.events import log_event
from millgw.pool.pool import Pool

if TYPE_CHECKING:
    from millgw.hot_restart.state import State


def class_names(settings: Settings) -> list[str]:
    """Names of the request classes in the order by which learned state refers to them."""
    return [c.name for c in settings.classes]


def start_pool(pool: Pool, known: Any, state: State | None) -> None:
    """Start with the state of the predecessor process, if it has one for this pool, else with `known`."""
    before = None if state is None else state.pool(pool.name)
    if before is None or not pool.source.continues(before.source):
        pool.start(known)
        return
    names = class_names(pool.settings)
    if before.learned.get("classes", names) != names:
        # Learned under other settings, or by a sidecar of the same name in another deployment: class indexes
        # would refer to other classes.
        log_event("handover-unusable", cause="its request classes differ")
        pool.start(known)
        return
    # Imported here: not needed without a predecessor.
    from millgw.hot_restart.learned import adopt_learned

    balancer = pool.driver.balancer
    balancer.start_as_successor()
    pool.source.adopt_state(before.source, before.endpoints, before.zones)
    if before.age is not None:
        balancer.discovery.take_over(before.age, pool.driver.clock())
    try:
        adopt_learned(balancer, before.learned)
    except ValueError as error:
        log_event("handover-unusable", cause=error)
