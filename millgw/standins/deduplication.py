"""Deduplication of keyed requests within a group of stand-in endpoints."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field


class Group:
    """Endpoints that drop each other's repeats: the keys they have begun, and what came of them."""

    def __init__(self) -> None:
        self.runs: dict[str, Run] = {}

    def begin(self, key: str, now: float, window: float, trace: str) -> tuple[Run, bool]:
        """The run of a key; tells also whether it is a repeat of one that is remembered."""
        known = self.runs.get(key)
        if known is not None and now < known.until:
            return known, True
        self.runs[key] = run = Run(trace, now + window)
        return run, False


@dataclass(eq=False)
class Run:
    """One run of a keyed request. `body` is None where it came to no answer."""

    trace: str
    until: float
    ended: asyncio.Event = field(default_factory=asyncio.Event)
    body: bytes | None = None
