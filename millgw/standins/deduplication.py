"""Deduplication of keyed requests within a group of stand-in endpoints."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field


class DeduplicationGroup:
    """Endpoints that share idempotency keys: the keys that any of them has started, with the results."""

    def __init__(self) -> None:
        self.runs: dict[str, KeyedRun] = {}

    def begin(self, key: str, now: float, window: float, trace: str) -> tuple[KeyedRun, bool]:
        """Return the run of a key, and whether the request repeats one that is still remembered."""
        known = self.runs.get(key)
        if known is not None and now < known.remembered_until:
            return known, True
        self.runs[key] = run = KeyedRun(trace, now + window)
        return run, False


@dataclass(eq=False)
class KeyedRun:
    """One execution of a keyed request. `body` is None if it produced no answer."""

    trace: str
    remembered_until: float
    ended: asyncio.Event = field(default_factory=asyncio.Event)
    body: bytes | None = None
