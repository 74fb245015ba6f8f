"""Keeps the store's time steady across process restarts, independent of wall clock steps. Does no I/O.

Until the machine reboots, its monotonic clock keeps running, and the store's time is that clock plus an
offset from a file. Only after a reboot is the wall clock used, as nothing else tells how long the machine was
down.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

from crc32c import crc32c

FILE_NAME, TEMPORARY_NAME = "clock", "clock.new"
BODY = struct.Struct("<8s16sd")
CRC = struct.Struct("<I")
MAGIC = b"otterclk"


@dataclass(slots=True, frozen=True)
class ClockOffset:
    """Within the boot `boot_id` (16 bytes), the store's Unix ms are the monotonic clock plus `offset`."""

    boot_id: bytes
    offset: float


def encode(clock: ClockOffset) -> bytes:
    body = BODY.pack(MAGIC, clock.boot_id, clock.offset)
    return CRC.pack(crc32c(body)) + body


def decode(data: bytes) -> ClockOffset | None:
    """Decode a clock file; None if it is incomplete or its checksum is wrong."""
    if len(data) != CRC.size + BODY.size or CRC.unpack_from(data)[0] != crc32c(data[CRC.size :]):
        return None
    magic, boot, offset = BODY.unpack_from(data, CRC.size)
    return ClockOffset(boot, offset) if magic == MAGIC else None
