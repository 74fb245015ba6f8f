"""What the old and the new process of one sidecar grant each other, and when the new one may say yes. Pure.

Times are seconds since the new process's start.
"""

from __future__ import annotations

DISCOVERY_WAIT = (
    2.0  # s that the new one waits for discovery's first word before it serves by what it was told
)


def may_serve(knows_endpoints: bool, heard_from_discovery: bool, since_start: float) -> bool:
    """Whether the new process can take calls: it knows where to send them, and what has changed lately.

    Otherwise drains that were told while it started would be broken: they count as told soon after its yes.
    """
    return knows_endpoints and (heard_from_discovery or since_start >= DISCOVERY_WAIT)


def split_descriptors(total: int, held_by_old: int) -> tuple[int, int]:
    """How many of `most` the old one, which holds `held`, and the new one may hold while both run.

    Half for each; an old one that holds more keeps it, as it can only give it back by and by.
    """
    old = min(total, max(total // 2, held_by_old))
    return old, total - old
