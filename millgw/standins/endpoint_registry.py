"""The versioned endpoint list of the discovery server, with a history of changes. No I/O."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Any

MAX_HISTORY = 4096  # changes kept; who asks for changes since an older version gets the whole list


@dataclass(slots=True, frozen=True)
class Entry:
    """An endpoint as the discovery server lists it; `life` is for the test rig and not sent."""

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
    """The list with its version number, and the latest changes."""

    def __init__(self, index: int = 1) -> None:
        self.index = index
        self.entries: dict[str, Entry] = {}
        self.history: deque[tuple[int, Entry]] = deque(maxlen=MAX_HISTORY)

    def apply(self, entry: Entry) -> None:
        """Apply a change; status `terminated` removes the entry from the list."""
        self.index += 1
        if entry.status == "terminated":
            self.entries.pop(entry.name, None)
        else:
            self.entries[entry.name] = entry
        self.history.append((self.index, entry))

    def forget_history(self) -> None:
        """Clear the history, as a restart does: who asks for changes gets the whole list."""
        self.history.clear()

    def changes_since(self, index: int | None) -> tuple[bool, tuple[Entry, ...]]:
        """Return whether this is the whole list, and the entries: all, or the latest of each changed one."""
        oldest = self.history[0][0] if self.history else self.index + 1
        if index is None or index > self.index or index < oldest - 1:
            return True, tuple(self.entries.values())
        changed = {entry.name: entry for at, entry in self.history if at > index}
        return False, tuple(changed.values())
