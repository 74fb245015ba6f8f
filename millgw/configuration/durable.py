"""An instance's epoch, vote and log on a disk: what is persisted is durable when `persist` returns.

The state is a *checkpoint* (all of it) and a *journal* of what was persisted since. Each piece is one record
of the store, synced before the next is written, so a torn write leaves a shorter journal and no mixture; what
is torn was never acknowledged. A checkpoint is written into the half of the keys that the one in use does
not occupy, and counts once all its pieces are there. Each opening begins with a new checkpoint, so what an
interrupted write left behind is never taken for a part of a later one.

Refused, as an instance with less than it acknowledged could vote a committed version away:

- no state, unless a new cluster is being created: an instance that lost its state has to come back under
  another name, as a relay or in a new list of voters;
- state of another instance;
- state that the store knows to be incomplete: acknowledged records are missing, or can't be read.

An older copy of the whole directory looks sound here. Its incarnation is the time of its opening, so it is
higher than any before, and peers that heard later state refuse it (`rollback` says what they can't notice).
"""

from __future__ import annotations

import json
import struct
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from millgw.configuration.actions import Persist
from millgw.configuration.document import DocumentError, canonical, decode_count
from millgw.configuration.encoding import (
    EncodingError,
    entry_fields,
    read_entry,
    read_list,
    read_object,
    read_snapshot,
    snapshot_fields,
)
from millgw.configuration.log import LogError
from millgw.configuration.state import State
from millgw.store.files import Files, RealFiles
from millgw.store.store import Item, Options, Store, StoreError

FOREVER = 100 * 365 * 24 * 3_600_000.0  # ms: what the store lost is never to be forgotten
STORE = Options(window=FOREVER)
PIECE = 512 * 1024  # bytes of one record's value
MAX_JOURNAL = 4096  # records after which a new checkpoint is written
KEY = struct.Struct(">BI")  # half, slot
HEAD = struct.Struct(">QBII")  # generation, whether of a checkpoint, piece, pieces


class DurableStateError(OSError):
    """The state can't be used or written; the text says why. The instance must not run with it."""


class StateMissing(DurableStateError):
    """There is no state, and no new cluster is being created."""


class StateIncomplete(DurableStateError):
    """Something that was acknowledged is missing or can't be read."""


class StateOfAnother(DurableStateError):
    """The state is another instance's."""


@dataclass(slots=True, frozen=True)
class Piece:
    """One record of the store: a piece of a checkpoint, or of a journal entry."""

    generation: int
    checkpoint: bool
    number: int
    count: int
    body: bytes

    def encode(self) -> bytes:
        return HEAD.pack(self.generation, self.checkpoint, self.number, self.count) + self.body


def _decode_piece(value: bytes) -> Piece:
    generation, checkpoint, number, count = HEAD.unpack_from(value)
    return Piece(generation, bool(checkpoint), number, count, value[HEAD.size :])


class DurableState:
    """The open state of one instance. It is locked against another process. One thread at a time uses it."""

    def __init__(
        self,
        mirrors: Sequence[Files],
        instance: str,
        create: bool = False,
        wall: Callable[[], float] = lambda: time.time() * 1000,
        monotonic: Callable[[], float] = lambda: time.monotonic() * 1000,
    ) -> None:
        """Open it for a new run; a DurableStateError tells why that can't be.

        `create` makes the state of an instance that never ran, and is refused where there is one.
        """
        self._instance = instance
        try:
            self._store = Store(mirrors, STORE, wall, monotonic)
        except StoreError as error:
            raise StateIncomplete(f"the state can't be read: {error}") from error
        except OSError as error:
            raise DurableStateError(f"the state can't be opened: {error}") from error
        try:
            self._check_complete()
            self._generation = self._newest_generation()
            loaded = self._load()
            if loaded is None and not create:
                raise StateMissing(f"there is no state of {instance}: create it only for a new cluster")
            if loaded is not None and create:
                raise DurableStateError(f"there is a state of {instance} already: it can't be created")
            self._state, self._half = loaded or (State(incarnation=0), 0)
            incarnation = max(self._state.incarnation + 1, int(wall()))
            self._checkpoint(replace(self._state, incarnation=incarnation))
        except BaseException:
            self._store.close()
            raise

    @classmethod
    def open(cls, directories: Sequence[Path], instance: str, create: bool = False) -> DurableState:
        """The state in one directory, or in two that mirror each other."""
        return cls([RealFiles(path) for path in directories], instance, create)

    @property
    def notes(self) -> Sequence[str]:
        """What the store's recovery found, in words."""
        return self._store.notes

    def load(self) -> State:
        """What the replica starts from."""
        return self._state

    def persist(self, persist: Persist) -> None:
        """Make it durable. After a DurableStateError the instance must stop: the disk may hold anything."""
        state = self._state.after(persist)
        if persist.snapshot is not None or self._slot >= MAX_JOURNAL:
            self._checkpoint(state)
        else:
            self._write(False, canonical(_persist_fields(persist)))
            self._state = state
        self._compact_store()

    def close(self) -> None:
        self._store.close()

    # Writing

    def _checkpoint(self, state: State) -> None:
        """Write the whole state into the other half; it takes the place of all that was written before."""
        self._generation += 1
        self._half = 1 - self._half
        self._slot = 0
        self._write(True, canonical(_state_fields(self._instance, state)))
        self._state = state

    def _write(self, checkpoint: bool, data: bytes) -> None:
        bodies = [data[start : start + PIECE] for start in range(0, len(data), PIECE)]
        for number, body in enumerate(bodies):
            piece = Piece(self._generation, checkpoint, number, len(bodies), body)
            self._append(Item(KEY.pack(self._half, self._slot), piece.encode()))
            self._slot += 1

    def _append(self, item: Item) -> None:
        try:
            self._store.append([item])
        except StoreError as error:
            raise DurableStateError(f"the state can't be written: {error}") from error

    def _compact_store(self) -> None:
        if self._store.compacting is None and not self._store.wants_compaction():
            return
        try:
            self._store.compact()
        except StoreError as error:
            raise DurableStateError(f"the state can't be compacted: {error}") from error

    # Reading

    def _check_complete(self) -> None:
        if self._store.unproven:
            notes = "; ".join(self._store.notes) or "acknowledged records were missing before"
            raise StateIncomplete(f"the state of {self._instance} is incomplete: {notes}")

    def _newest_generation(self) -> int:
        generations = (_decode_piece(entry.value).generation for _, entry in self._store.entries())
        return max(generations, default=0)

    def _load(self) -> tuple[State, int] | None:
        """The newest whole state, and the half that it is in."""
        halves = [self._pieces(half) for half in (0, 1)]
        whole = [half for half in (0, 1) if _is_whole(halves[half])]
        if not whole:
            return None
        half = max(whole, key=lambda number: halves[number][0].generation)
        return self._replay(halves[half]), half

    def _pieces(self, half: int) -> list[Piece]:
        """The pieces of one generation that stand in a half, from slot 0 on without gaps."""
        pieces: list[Piece] = []
        while (entry := self._store.get(KEY.pack(half, len(pieces)))) is not None:
            piece = _decode_piece(entry.value)
            if pieces and piece.generation != pieces[0].generation:
                break
            pieces.append(piece)
        return pieces

    def _replay(self, pieces: list[Piece]) -> State:
        bodies = _joined(pieces)
        try:
            state = _read_state(self._instance, _object(bodies[0]))
            for body in bodies[1:]:
                state = state.after(_read_persist(_object(body)))
        except (DocumentError, LogError, ValueError) as error:
            raise StateIncomplete(f"the state of {self._instance} can't be read: {error}") from error
        return state


def _is_whole(pieces: list[Piece]) -> bool:
    """Whether a half begins with a whole checkpoint."""
    if not pieces or len(pieces) < pieces[0].count:
        return False
    return all(
        piece.checkpoint and piece.number == number for number, piece in enumerate(pieces[: pieces[0].count])
    )


def _joined(pieces: list[Piece]) -> list[bytes]:
    """The bodies of a checkpoint and of its journal; one whose last pieces are missing is left out."""
    bodies: list[bytes] = []
    start = 0
    while start < len(pieces) and start + pieces[start].count <= len(pieces):
        group = pieces[start : start + pieces[start].count]
        bodies.append(b"".join(piece.body for piece in group))
        start += len(group)
    return bodies


# JSON


def _object(body: bytes) -> Mapping[str, Any]:
    return read_object(json.loads(body), "record")


def _state_fields(instance: str, state: State) -> dict[str, Any]:
    return {
        "instance": instance,
        "epoch": state.epoch,
        "voted_for": state.voted_for,
        "committed": state.committed,
        "incarnation": state.incarnation,
        "snapshot": snapshot_fields(state.snapshot),
        "entries": [entry_fields(entry) for entry in state.entries],
    }


def _read_state(instance: str, fields: Mapping[str, Any]) -> State:
    if fields.get("instance") != instance:
        raise StateOfAnother(f"the state is of {fields.get('instance')}, not of {instance}")
    entries = read_list(fields, "entries")
    return State(
        decode_count(fields, "epoch"),
        _read_name(fields, "voted_for"),
        decode_count(fields, "committed"),
        decode_count(fields, "incarnation"),
        read_snapshot(fields.get("snapshot"), "snapshot"),
        tuple(read_entry(item, f"entries[{number}]") for number, item in enumerate(entries)),
    )


def _persist_fields(persist: Persist) -> dict[str, Any]:
    return {
        "epoch": persist.epoch,
        "voted_for": persist.voted_for,
        "committed": persist.committed,
        "entries": [entry_fields(entry) for entry in persist.entries],
    }


def _read_persist(fields: Mapping[str, Any]) -> Persist:
    entries = read_list(fields, "entries")
    return Persist(
        decode_count(fields, "epoch"),
        _read_name(fields, "voted_for"),
        decode_count(fields, "committed"),
        tuple(read_entry(item, f"entries[{number}]") for number, item in enumerate(entries)),
    )


def _read_name(fields: Mapping[str, Any], name: str) -> str:
    value = fields.get(name)
    if not isinstance(value, str):
        raise EncodingError(f"{name}: not a string")
    return value
