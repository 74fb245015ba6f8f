"""The discovery server's list: entries, versions, and what has changed since one. Pure."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Any

HISTORY = 4096  # changes that can be told apart from a whole list


@dataclass(slots=True, frozen=True)
class Entry:
    """An endpoint as the discovery server lists it; `life` is the rig's own and not written."""

    name: str
    tier: int
    life: int
    address: str
    cell: int
    status: str = "in_service"
    weight: float = 1.0
    since_ms: int = 0
    zone: str = "sala-caxias"

    def json(self) -> dict[str, Any]:
        return {
            "name": self.name, "address": self.address, "zone": self.zone, "type": "standin",
            "group": self.cell, "status": self.status, "weight": self.weight, "since_ms": self.since_ms,
        }  # fmt: skip


class EndpointRegistry:
    """The list with its version, and the latest changes."""

    def __init__(self, index: int = 1) -> None:
        self.index = index
        self.entries: dict[str, Entry] = {}
        self.history: deque[tuple[int, Entry]] = deque(maxlen=HISTORY)

    def change(self, entry: Entry) -> None:
        """Take a change; one of status `terminated` takes the entry off the list."""
        self.index += 1
        if entry.status == "terminated":
            self.entries.pop(entry.name, None)
        else:
            self.entries[entry.name] = entry
        self.history.append((self.index, entry))

    def forget_history(self) -> None:
        """As after a restart: who asks for changes gets the whole list."""
        self.history.clear()

    def since(self, index: int | None) -> tuple[bool, tuple[Entry, ...]]:
        """Whether what follows is the whole list, and the entries: all, or the last word on each."""
        oldest = self.history[0][0] if self.history else self.index + 1
        if index is None or index > self.index or index < oldest - 1:
            return True, tuple(self.entries.values())
        changed = {entry.name: entry for at, entry in self.history if at > index}
        return False, tuple(changed.values())
