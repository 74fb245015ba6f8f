"""Descriptor split between the old and new process, and when the new one may report ready. No I/O.

Times are seconds since the new process's start.
"""

from __future__ import annotations

DISCOVERY_WAIT = 2.0  # s for discovery's first answer; then the new process serves by the list handed over


def may_serve(knows_endpoints: bool, heard_from_discovery: bool, since_start: float) -> bool:
    """Whether the new process can take calls: it knows endpoints, and the recent changes of the list.

    Otherwise it would send to endpoints whose drain was announced during its start: the announcement counts
    as told soon after the process reports ready.
    """
    return knows_endpoints and (heard_from_discovery or since_start >= DISCOVERY_WAIT)


def split_descriptors(total: int, held_by_old: int) -> tuple[int, int]:
    """Limits of the old process, which holds `held_by_old`, and the new one while both run.

    Each gets half of `total`; an old process that holds more keeps it, as it can only release it gradually.
    """
    old = min(total, max(total // 2, held_by_old))
    return old, total - old
