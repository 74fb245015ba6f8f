"""Durable storage of an instance's Raft state (epoch, vote and log); `persist` returns once it is on disk.

The state consists of a *checkpoint* (the whole state) and a *journal* of the writes since. Each is split into
pieces; a piece is one record of the store and is synced before the next one is written. A torn write
therefore only shortens the journal and never mixes old and new data, and torn data was never acknowledged.
The keys are divided into two halves: a new checkpoint goes into the half that the current one does not
occupy, and takes effect once all its pieces are written. Opening the state always writes a new checkpoint, so
pieces left by an interrupted write can't be mistaken for pieces of a later one.

These states are refused, because an instance that lost acknowledged data could elect a leader that lacks a
committed version:

- no state, unless a new cluster is being created: an instance that lost its state has to rejoin under
  another name, as a relay or in a new list of voters;
- the state of another instance;
- state that the store reports as incomplete: acknowledged records are missing or unreadable.

An older copy of the whole directory can't be detected here. Its incarnation is the time of its opening, hence
higher than any earlier one, and peers that received later state refuse it (`rollback` lists the limits of
that check).
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
from millgw.configuration.document import DocumentError, canonical_json, decode_count
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
from millgw.store.store import Item, Store, StoreError, StoreOptions

NEVER_FORGET = 100 * 365 * 24 * 3_600_000.0  # ms; the store must never stop reporting records it has lost
STORE_OPTIONS = StoreOptions(window_ms=NEVER_FORGET)
PIECE_SIZE = 512 * 1024  # bytes; largest body stored in one record
MAX_JOURNAL_RECORDS = 4096  # records in a half before a new checkpoint is written
PIECE_KEY = struct.Struct(">BI")  # half, slot
PIECE_HEADER = struct.Struct(">QBII")  # generation, checkpoint flag, piece number, number of pieces


class DurableStateError(OSError):
    """The state can't be read or written. The instance must not run with it."""


class StateMissing(DurableStateError):
    """No state exists, and no new cluster is being created."""


class StateIncomplete(DurableStateError):
    """Acknowledged data is missing or unreadable."""


class StateOfAnotherInstance(DurableStateError):
    """The state belongs to another instance."""


@dataclass(slots=True, frozen=True)
class Piece:
    """One record of the store: a piece of a checkpoint or of a journal entry."""

    generation: int
    checkpoint: bool
    number: int
    count: int
    body: bytes

    def encode(self) -> bytes:
        return PIECE_HEADER.pack(self.generation, self.checkpoint, self.number, self.count) + self.body


def _decode_piece(value: bytes) -> Piece:
    generation, checkpoint, number, count = PIECE_HEADER.unpack_from(value)
    return Piece(generation, bool(checkpoint), number, count, value[PIECE_HEADER.size :])


class DurableState:
    """The open state of one instance, locked against other processes. Not thread-safe."""

    def __init__(
        self,
        mirrors: Sequence[Files],
        instance: str,
        create: bool = False,
        wall: Callable[[], float] = lambda: time.time() * 1000,
        monotonic: Callable[[], float] = lambda: time.monotonic() * 1000,
    ) -> None:
        """Open the state for a new run; raises DurableStateError if it can't be used.

        `create` initializes the state of an instance that never ran, and fails if a state exists already.
        """
        self._instance = instance
        try:
            self._store = Store(mirrors, STORE_OPTIONS, wall, monotonic)
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
                raise DurableStateError(f"there is already a state of {instance}: it can't be created")
            self._state, self._half = loaded or (State(incarnation=0), 0)
            incarnation = max(self._state.incarnation + 1, int(wall()))
            self._checkpoint(replace(self._state, incarnation=incarnation))
        except BaseException:
            self._store.close()
            raise

    @classmethod
    def open(cls, directories: Sequence[Path], instance: str, create: bool = False) -> DurableState:
        """Open the state in one directory, or in two mirrored ones."""
        return cls([RealFiles(path) for path in directories], instance, create)

    @property
    def notes(self) -> Sequence[str]:
        """Messages from the store's recovery, for people to read."""
        return self._store.notes

    def load(self) -> State:
        """The state that the replica starts from."""
        return self._state

    def persist(self, persist: Persist) -> None:
        """Write to disk. After a DurableStateError the instance must stop: the content on disk is unknown."""
        state = self._state.with_persisted(persist)
        if persist.snapshot is not None or self._slot >= MAX_JOURNAL_RECORDS:
            self._checkpoint(state)
        else:
            self._write(False, canonical_json(_persist_fields(persist)))
            self._state = state
        self._compact_store()

    def close(self) -> None:
        self._store.close()

    # Writing

    def _checkpoint(self, state: State) -> None:
        """Write the whole state into the other half; it replaces the previous checkpoint and journal."""
        self._generation += 1
        self._half = 1 - self._half
        self._slot = 0
        self._write(True, canonical_json(_state_fields(self._instance, state)))
        self._state = state

    def _write(self, checkpoint: bool, data: bytes) -> None:
        bodies = [data[start : start + PIECE_SIZE] for start in range(0, len(data), PIECE_SIZE)]
        for number, body in enumerate(bodies):
            piece = Piece(self._generation, checkpoint, number, len(bodies), body)
            self._append(Item(PIECE_KEY.pack(self._half, self._slot), piece.encode()))
            self._slot += 1

    def _append(self, item: Item) -> None:
        try:
            self._store.append([item])
        except StoreError as error:
            raise DurableStateError(f"the state can't be written: {error}") from error

    def _compact_store(self) -> None:
        if self._store.compaction is None and not self._store.wants_compaction():
            return
        try:
            self._store.compact()
        except StoreError as error:
            raise DurableStateError(f"the state can't be compacted: {error}") from error

    # Reading

    def _check_complete(self) -> None:
        if self._store.unproven_until:
            notes = "; ".join(self._store.notes) or "acknowledged records were missing at an earlier start"
            raise StateIncomplete(f"the state of {self._instance} is incomplete: {notes}")

    def _newest_generation(self) -> int:
        generations = (_decode_piece(entry.value).generation for _, entry in self._store.entries())
        return max(generations, default=0)

    def _load(self) -> tuple[State, int] | None:
        """The newest complete state and the half it is stored in."""
        halves = [self._pieces(half) for half in (0, 1)]
        complete = [half for half in (0, 1) if _is_complete(halves[half])]
        if not complete:
            return None
        half = max(complete, key=lambda number: halves[number][0].generation)
        return self._replay(halves[half]), half

    def _pieces(self, half: int) -> list[Piece]:
        """The pieces of one generation in a half, from slot 0 up to the first gap."""
        pieces: list[Piece] = []
        while (entry := self._store.get(PIECE_KEY.pack(half, len(pieces)))) is not None:
            piece = _decode_piece(entry.value)
            if pieces and piece.generation != pieces[0].generation:
                break
            pieces.append(piece)
        return pieces

    def _replay(self, pieces: list[Piece]) -> State:
        bodies = _join_pieces(pieces)
        try:
            state = _read_state(self._instance, _decode_object(bodies[0]))
            for body in bodies[1:]:
                state = state.with_persisted(_read_persist(_decode_object(body)))
        except (DocumentError, LogError, ValueError) as error:
            raise StateIncomplete(f"the state of {self._instance} can't be read: {error}") from error
        return state


def _is_complete(pieces: list[Piece]) -> bool:
    """Whether a half begins with a complete checkpoint."""
    if not pieces or len(pieces) < pieces[0].count:
        return False
    return all(
        piece.checkpoint and piece.number == number for number, piece in enumerate(pieces[: pieces[0].count])
    )


def _join_pieces(pieces: list[Piece]) -> list[bytes]:
    """The bodies of a checkpoint and its journal entries; an entry that lacks its last pieces is omitted."""
    bodies: list[bytes] = []
    start = 0
    while start < len(pieces) and start + pieces[start].count <= len(pieces):
        group = pieces[start : start + pieces[start].count]
        bodies.append(b"".join(piece.body for piece in group))
        start += len(group)
    return bodies


# JSON


def _decode_object(body: bytes) -> Mapping[str, Any]:
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
        raise StateOfAnotherInstance(f"the state is of {fields.get('instance')}, not of {instance}")
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
