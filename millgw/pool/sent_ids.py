"""Trace IDs of calls that may have had an effect, so that a copy of one is not sent a second time. No I/O.

A table of fixed size, which both processes of a hot restart may share. It is set-associative: an ID has a few
places, and displaces the oldest entry there. Times are seconds on the machine's monotonic clock, which is the
same in both processes.
"""

from __future__ import annotations

import struct
from hashlib import blake2b
from mmap import mmap
from typing import Final

RETENTION: Final = 60.0  # s; by then the client of a call and its retries have long given up
ENTRY: Final = struct.Struct("=Qd")  # digest of the ID, time of its send; a digest of 0 is a free place
PLACES: Final = 8  # entries of one set
SETS: Final = 1024
SET_SIZE: Final = PLACES * ENTRY.size  # bytes
TABLE_SIZE: Final = SETS * SET_SIZE  # bytes


class SentIds:
    """The table. `now` is in seconds."""

    def __init__(self) -> None:
        self._table: bytearray | mmap = bytearray(TABLE_SIZE)

    def share(self, table: mmap) -> None:
        """Use a table that another process uses as well; what was recorded before is carried over."""
        for at in range(0, TABLE_SIZE, ENTRY.size):
            digest, sent_at = ENTRY.unpack_from(self._table, at)
            if digest:
                self._put(table, digest, sent_at, sent_at)
        self._table = table

    def add(self, pool: str, trace_id: bytes, now: float) -> None:
        """Record that a call is about to be sent."""
        self._put(self._table, _digest(pool, trace_id), now, now)

    def remove(self, pool: str, trace_id: bytes) -> None:
        """Forget a call that had no effect: it may be sent again."""
        digest = _digest(pool, trace_id)
        for at in _places(digest):
            if ENTRY.unpack_from(self._table, at)[0] == digest:
                ENTRY.pack_into(self._table, at, 0, 0.0)

    def contains(self, pool: str, trace_id: bytes, now: float) -> bool:
        """Whether a call of this ID was sent and may have had an effect."""
        digest = _digest(pool, trace_id)
        for at in _places(digest):
            found, sent_at = ENTRY.unpack_from(self._table, at)
            if found == digest and 0 <= now - sent_at <= RETENTION:
                return True
        return False

    @staticmethod
    def _put(table: bytearray | mmap, digest: int, sent_at: float, now: float) -> None:
        oldest_at, oldest = 0, float("inf")
        for at in _places(digest):
            found, found_sent_at = ENTRY.unpack_from(table, at)
            if found == digest:
                oldest_at = at
                break
            # Of before a restart of the machine, when its clock began anew: as good as free.
            age_rank = found_sent_at if found and found_sent_at <= now else -1.0
            if age_rank < oldest:
                oldest_at, oldest = at, age_rank
        ENTRY.pack_into(table, oldest_at, digest, sent_at)


def _digest(pool: str, trace_id: bytes) -> int:
    value = blake2b(pool.encode() + b"\0" + trace_id, digest_size=8).digest()
    return int.from_bytes(value, "big") or 1


def _places(digest: int) -> range:
    """Offsets of the entries that an ID may be in."""
    start = digest % SETS * SET_SIZE
    return range(start, start + SET_SIZE, ENTRY.size)
