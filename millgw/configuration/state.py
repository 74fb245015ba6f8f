"""The Raft state that survives a restart. No I/O; `durable` stores it on disk."""

from __future__ import annotations

from dataclasses import dataclass, replace

from millgw.configuration.actions import Persist
from millgw.configuration.log import EMPTY_SNAPSHOT, Entry, Log, LogError, Snapshot


@dataclass(slots=True, frozen=True)
class State:
    """The state that an instance starts from; the default is that of an instance that never ran.

    `committed` is a log position known to be committed; later positions may be committed too. `incarnation`
    increases each time the state is opened for a new run.
    """

    epoch: int = 0
    voted_for: str = ""
    committed: int = 0
    incarnation: int = 1
    snapshot: Snapshot = EMPTY_SNAPSHOT
    entries: tuple[Entry, ...] = ()

    def with_persisted(self, persist: Persist) -> State:
        """The state after a `Persist` was applied to it."""
        entries = self.entries
        if persist.entries:
            kept = persist.entries[0].position - self.snapshot.position - 1
            if not 0 <= kept <= len(entries):
                raise LogError(f"entry {persist.entries[0].position} does not follow the log")
            entries = entries[:kept] + persist.entries
        updated = replace(
            self,
            epoch=persist.epoch,
            voted_for=persist.voted_for,
            committed=persist.committed,
            entries=entries,
        )
        return updated if persist.snapshot is None else updated.compacted(persist.snapshot)

    def compacted(self, snapshot: Snapshot) -> State:
        """The state with the covered entries replaced by a snapshot."""
        log = Log(self.snapshot, self.entries)
        log.compact(snapshot)
        return replace(self, snapshot=log.snapshot, entries=tuple(log.entries))
