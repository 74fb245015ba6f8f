"""The durable high-water mark, apart from the log: what was acknowledged, and which segments there are. Pure.

Without it a log whose tail is gone would look like a shorter log. Two files take turns, so that a torn one
leaves the other, which is older: the log may then hold more than it says, never less.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

from crc32c import crc32c

NAMES = ("mark-0", "mark-1")
HEAD = struct.Struct("<8sQ16sQQQI")
CRC = struct.Struct("<I")
MAGIC = b"ottermrk"
MOST_SEGMENTS = 4096


@dataclass(slots=True, frozen=True)
class Mark:
    """`acked` is the last sequence number acknowledged, `wall` the time then, and `unproven` the time until
    which a key that is not known can't be proven unsent; both Unix ms.
    """

    generation: int
    store: bytes
    acked: int
    wall: int
    unproven: int = 0
    segments: tuple[int, ...] = ()


def word(mark: Mark) -> bytes:
    body = HEAD.pack(
        MAGIC, mark.generation, mark.store, mark.acked, mark.wall, mark.unproven, len(mark.segments)
    ) + struct.pack(f"<{len(mark.segments)}I", *mark.segments)
    return CRC.pack(crc32c(body)) + body


def read(data: bytes) -> Mark | None:
    """A mark; None where there is no whole and right one."""
    if len(data) < CRC.size + HEAD.size:
        return None
    magic, generation, store, acked, wall, unproven, count = HEAD.unpack_from(data, CRC.size)
    end = CRC.size + HEAD.size + 4 * count
    if magic != MAGIC or count > MOST_SEGMENTS or end > len(data):
        return None
    if CRC.unpack_from(data)[0] != crc32c(data[CRC.size : end]):
        return None
    segments = struct.unpack_from(f"<{count}I", data, CRC.size + HEAD.size)
    return Mark(generation, store, acked, wall, unproven, segments)
