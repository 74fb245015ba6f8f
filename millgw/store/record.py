"""The format of records and segments. Does no I/O.

A segment is a header followed by records. All numbers are little-endian; a checksum is CRC-32C (Castagnoli,
RFC 3720 appendix B.4) over everything that follows it in its header or record.

    header   crc u32, magic 8, version u16, store id 16, number u32, covers from u32,
             compaction number u32, first seq u64
    record   crc u32, length u32 (of key and value), seq u64, expires i64 (Unix ms, 0: never), kind u8,
             key length u16, key, value

`number` increases with each segment. A compacted segment replaces those from `covers_from` to `number`; its
`compaction_number` is 1 or more, and 0 in other segments. Sequence numbers are consecutive in a segment that
was appended to, and merely increasing in a compacted one.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

from crc32c import crc32c

VERSION = 1
MAGIC = b"otterlog"
HEADER = struct.Struct("<8sH16sIIIQ")
RECORD = struct.Struct("<IQqBH")
CRC = struct.Struct("<I")
HEADER_SIZE = CRC.size + HEADER.size
RECORD_SIZE = CRC.size + RECORD.size
MAX_PAYLOAD_BYTES = 1 << 20  # of a record's key and value together
PUT, DELETE, END = 1, 2, 3
KINDS = (PUT, DELETE, END)


class FormatError(ValueError):
    """Data that is not in a format this program can read; the message says why."""


@dataclass(slots=True, frozen=True)
class Record:
    """One record of the log. `expires` is in Unix ms, 0 for never."""

    seq: int
    kind: int
    key: bytes
    value: bytes = b""
    expires: int = 0

    @property
    def size(self) -> int:
        return RECORD_SIZE + len(self.key) + len(self.value)


@dataclass(slots=True, frozen=True)
class SegmentHeader:
    store_id: bytes
    number: int
    covers_from: int
    compaction_number: int
    first_seq: int

    @property
    def compacted(self) -> bool:
        return self.compaction_number > 0


def encode_header(header: SegmentHeader) -> bytes:
    body = HEADER.pack(
        MAGIC,
        VERSION,
        header.store_id,
        header.number,
        header.covers_from,
        header.compaction_number,
        header.first_seq,
    )
    return CRC.pack(crc32c(body)) + body


def encode_record(record: Record) -> bytes:
    size = len(record.key) + len(record.value)
    if size > MAX_PAYLOAD_BYTES:
        raise FormatError(f"a record of {size} bytes exceeds the limit of {MAX_PAYLOAD_BYTES}")
    head = RECORD.pack(size, record.seq, record.expires, record.kind, len(record.key))
    body = head + record.key + record.value
    return CRC.pack(crc32c(body)) + body


def decode_header(data: bytes) -> SegmentHeader | None:
    """Decode a segment's header; None if it is incomplete or wrong. Raises FormatError for a newer format."""
    if len(data) < HEADER_SIZE:
        return None
    body = data[CRC.size : HEADER_SIZE]
    if CRC.unpack_from(data)[0] != crc32c(body):
        return None
    magic, version, store_id, number, covers_from, compaction_number, first_seq = HEADER.unpack(body)
    if magic != MAGIC:
        return None
    if version > VERSION:
        raise FormatError(f"its format is {version}; this program supports formats up to {VERSION}")
    return SegmentHeader(store_id, number, covers_from, compaction_number, first_seq)


def decode_record(data: bytes, at: int) -> tuple[Record, int] | None:
    """The record at an offset and the offset after it; None if it is incomplete or its checksum is wrong."""
    if at + RECORD_SIZE > len(data):
        return None
    size, seq, expires, kind, key_size = RECORD.unpack_from(data, at + CRC.size)
    end = at + RECORD_SIZE + size
    if size > MAX_PAYLOAD_BYTES or key_size > size or kind not in KINDS or end > len(data):
        return None
    if CRC.unpack_from(data, at)[0] != crc32c(data[at + CRC.size : end]):
        return None
    body = at + RECORD_SIZE
    return Record(seq, kind, data[body : body + key_size], data[body + key_size : end], expires), end


@dataclass
class SegmentScan:
    """The contents of a segment. `readable_end` is the end of the readable part, `size` that of the data.

    `records_after_damage` were found behind the first unreadable place. Where there are any, that place is
    damage and not a torn tail.
    """

    header: SegmentHeader | None
    records: list[Record] = field(default_factory=list)
    readable_end: int = 0
    size: int = 0
    has_end_record: bool = False  # it holds the END record, which compaction writes last
    last_seq: int = 0  # the last sequence number, including that of the END record
    records_after_damage: list[Record] = field(default_factory=list)

    truncated: bool = False  # the data ends within a record (a complete one with a wrong checksum: no)

    @property
    def torn(self) -> bool:
        return self.readable_end < self.size


def scan_segment(data: bytes) -> SegmentScan:
    """Read a whole segment, also what follows damage."""
    result = SegmentScan(decode_header(data), size=len(data))
    if result.header is None:
        return result
    at = result.readable_end = HEADER_SIZE
    while (found := decode_record(data, at)) is not None:
        record, at = found
        result.readable_end = at
        result.last_seq = max(result.last_seq, record.seq)
        if record.kind == END:
            result.has_end_record = True
        else:
            result.records.append(record)
    unread = result.size - result.readable_end
    result.truncated = 0 < unread < RECORD_SIZE or (
        unread >= RECORD_SIZE
        and RECORD.unpack_from(data, result.readable_end + CRC.size)[0] > unread - RECORD_SIZE
    )
    # Look for readable records behind it, at every offset; `decode_record` rejects implausible ones early.
    probe = result.readable_end + 1
    while probe + RECORD_SIZE <= len(data):
        found = decode_record(data, probe)
        if found is not None and found[0].seq > result.last_seq:
            if found[0].kind != END:
                result.records_after_damage.append(found[0])
            probe = found[1]
        else:
            probe += 1
    return result
