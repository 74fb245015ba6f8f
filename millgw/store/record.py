"""The format of records and segments. Pure.

A segment is a header and records, one behind the other. All numbers are little-endian; a checksum is CRC-32C
(Castagnoli, RFC 3720 appendix B.4) over all that follows it in its header or record.

    header   crc u32, magic 8, version u16, store 16, number u32, covers u32, turn u32, first u64
    record   crc u32, length u32 (of key and value), seq u64, expires i64 (Unix ms, 0: never), kind u8,
             key length u16, key, value

`number` counts segments up; one that compaction made stands for those from `covers` to `number`, as of its
`turn`. Sequence numbers count up by one in a segment that was appended to; in a compacted one they only
rise.
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
MOST = 1 << 20  # bytes of a record's key and value
PUT, DELETE, END = 1, 2, 3
KINDS = (PUT, DELETE, END)


class FormatError(ValueError):
    """Bytes that are no segment that this program can read; the text says why."""


@dataclass(slots=True, frozen=True)
class Record:
    """One entry. `expires` in Unix ms, 0 for never."""

    seq: int
    kind: int
    key: bytes
    value: bytes = b""
    expires: int = 0

    @property
    def size(self) -> int:
        return RECORD_SIZE + len(self.key) + len(self.value)


@dataclass(slots=True, frozen=True)
class Header:
    store: bytes
    number: int
    covers: int
    turn: int
    first: int

    @property
    def compacted(self) -> bool:
        return self.turn > 0


def word_header(header: Header) -> bytes:
    body = HEADER.pack(MAGIC, VERSION, header.store, header.number, header.covers, header.turn, header.first)
    return CRC.pack(crc32c(body)) + body


def word(record: Record) -> bytes:
    size = len(record.key) + len(record.value)
    if size > MOST:
        raise FormatError(f"a record of {size} bytes is over {MOST}")
    head = RECORD.pack(size, record.seq, record.expires, record.kind, len(record.key))
    body = head + record.key + record.value
    return CRC.pack(crc32c(body)) + body


def read_header(data: bytes) -> Header | None:
    """A segment's header; None where it is not whole or right. A FormatError names a format of the future."""
    if len(data) < HEADER_SIZE:
        return None
    body = data[CRC.size : HEADER_SIZE]
    if CRC.unpack_from(data)[0] != crc32c(body):
        return None
    magic, version, store, number, covers, turn, first = HEADER.unpack(body)
    if magic != MAGIC:
        return None
    if version > VERSION:
        raise FormatError(f"its format is {version}; this program knows formats up to {VERSION}")
    return Header(store, number, covers, turn, first)


def read_record(data: bytes, at: int) -> tuple[Record, int] | None:
    """The record at an offset and where the next one begins; None where there is no whole and right one."""
    if at + RECORD_SIZE > len(data):
        return None
    size, seq, expires, kind, key_size = RECORD.unpack_from(data, at + CRC.size)
    end = at + RECORD_SIZE + size
    if size > MOST or key_size > size or kind not in KINDS or end > len(data):
        return None
    if CRC.unpack_from(data, at)[0] != crc32c(data[at + CRC.size : end]):
        return None
    body = at + RECORD_SIZE
    return Record(seq, kind, data[body : body + key_size], data[body + key_size : end], expires), end


@dataclass
class Scan:
    """What a segment's bytes hold. `good` is where the readable part ends, `size` where the bytes do.

    `after` are records found behind the first place that can't be read: with them it is no torn tail, but
    damage.
    """

    header: Header | None
    records: list[Record] = field(default_factory=list)
    good: int = 0
    size: int = 0
    ended: bool = False  # it has the last record that compaction writes
    last: int = 0  # the last sequence number, that of the last record of a compaction among them
    after: list[Record] = field(default_factory=list)

    cut: bool = False  # the bytes end within a record: one that is whole and wrong is no cut

    @property
    def torn(self) -> bool:
        return self.good < self.size


def scan(data: bytes) -> Scan:
    """Read a whole segment, past damage too."""
    made = Scan(read_header(data), size=len(data))
    if made.header is None:
        return made
    at = made.good = HEADER_SIZE
    while (found := read_record(data, at)) is not None:
        record, at = found
        made.good = at
        made.last = max(made.last, record.seq)
        if record.kind == END:
            made.ended = True
        else:
            made.records.append(record)
    left = made.size - made.good
    made.cut = 0 < left < RECORD_SIZE or (
        left >= RECORD_SIZE and RECORD.unpack_from(data, made.good + CRC.size)[0] > left - RECORD_SIZE
    )
    # Whether anything is readable behind: byte by byte, but only where a record's fixed part could be right.
    probe = made.good + 1
    while probe + RECORD_SIZE <= len(data):
        found = read_record(data, probe)
        if found is not None and found[0].seq > made.last:
            if found[0].kind != END:
                made.after.append(found[0])
            probe = found[1]
        else:
            probe += 1
    return made
