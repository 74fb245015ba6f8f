"""The durable high-water mark: the last acknowledged record and the list of segments. Does no I/O.

It is stored apart from the log, since a log that lost its tail would otherwise look like a shorter log.
Writes alternate between two files, so that a torn write leaves the other, older mark intact: the log may then
hold more than the mark says, never less.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

from crc32c import crc32c

FILE_NAMES = ("mark-0", "mark-1")
FIXED_PART = struct.Struct("<8sQ16sQQQI")
CRC = struct.Struct("<I")
MAGIC = b"ottermrk"
MAX_SEGMENTS = 4096


@dataclass(slots=True, frozen=True)
class HighWaterMark:
    """`acked` is the last acknowledged sequence number, `time` the time of writing, and `unproven_until` the
    time until which an unknown key can't be proven unsent; both in Unix ms.
    """

    generation: int
    store_id: bytes
    acked: int
    time: int
    unproven_until: int = 0
    segments: tuple[int, ...] = ()


def encode(mark: HighWaterMark) -> bytes:
    body = FIXED_PART.pack(
        MAGIC, mark.generation, mark.store_id, mark.acked, mark.time, mark.unproven_until, len(mark.segments)
    ) + struct.pack(f"<{len(mark.segments)}I", *mark.segments)
    return CRC.pack(crc32c(body)) + body


def decode(data: bytes) -> HighWaterMark | None:
    """Decode a mark file; None if it is incomplete or its checksum is wrong."""
    if len(data) < CRC.size + FIXED_PART.size:
        return None
    magic, generation, store_id, acked, time, unproven_until, count = FIXED_PART.unpack_from(data, CRC.size)
    end = CRC.size + FIXED_PART.size + 4 * count
    if magic != MAGIC or count > MAX_SEGMENTS or end > len(data):
        return None
    if CRC.unpack_from(data)[0] != crc32c(data[CRC.size : end]):
        return None
    segments = struct.unpack_from(f"<{count}I", data, CRC.size + FIXED_PART.size)
    return HighWaterMark(generation, store_id, acked, time, unproven_until, segments)
