"""Jute, the record encoding of the ZooKeeper protocol: big-endian, length-prefixed. Pure.

Source: the published record definitions (`zookeeper.jute`). Malformed input raises `BadRecord`; a length is
checked against the data at hand before anything is allocated for it.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TypeVar

T = TypeVar("T")
MAX_FRAME = 1 << 20  # bytes of one frame: the protocol's usual bound (jute.maxbuffer)

INT, LONG = struct.Struct(">i"), struct.Struct(">q")


class BadRecord(ValueError):
    """The data is not a valid record of the protocol."""


class Reader:
    """Decodes the fields of one frame in order."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.position = 0

    def _read_bytes(self, size: int, field: str) -> bytes:
        if size < 0 or self.position + size > len(self.data):
            raise BadRecord(f"{field}: {size} bytes needed, {len(self.data) - self.position} left")
        part = self.data[self.position : self.position + size]
        self.position += size
        return part

    def read_int(self) -> int:
        value: int = INT.unpack(self._read_bytes(4, "int"))[0]
        return value

    def read_long(self) -> int:
        value: int = LONG.unpack(self._read_bytes(8, "long"))[0]
        return value

    def read_bool(self) -> bool:
        return self._read_bytes(1, "boolean") != b"\0"

    def read_buffer(self) -> bytes:
        """Bytes; a length of -1 stands for null, returned as empty."""
        size = self.read_int()
        return b"" if size == -1 else self._read_bytes(size, "buffer")

    def read_string(self) -> str:
        try:
            return self.read_buffer().decode()
        except UnicodeDecodeError as error:
            raise BadRecord(f"string: {error.reason}") from None

    def read_vector(self, read: Callable[[Reader], T], min_size: int) -> list[T]:
        """A counted list of entries of at least `min_size` bytes each; -1 stands for null, returned as
        empty.
        """
        count = self.read_int()
        if count == -1:
            return []
        if count < 0 or count * min_size > len(self.data) - self.position:
            raise BadRecord(f"vector: {count} entries don't fit in {len(self.data) - self.position} bytes")
        return [read(self) for _ in range(count)]

    def read_strings(self) -> list[str]:
        return self.read_vector(Reader.read_string, 4)

    @property
    def remaining(self) -> int:
        return len(self.data) - self.position


def write_int(value: int) -> bytes:
    return INT.pack(value)


def write_long(value: int) -> bytes:
    return LONG.pack(value)


def write_bool(value: bool) -> bytes:
    return b"\1" if value else b"\0"


def write_buffer(value: bytes) -> bytes:
    return INT.pack(len(value)) + value


def write_string(value: str) -> bytes:
    return write_buffer(value.encode())


def write_strings(values: Sequence[str]) -> bytes:
    return INT.pack(len(values)) + b"".join(map(write_string, values))


def frame(payload: bytes) -> bytes:
    """A payload with its length prefix, as sent on the wire."""
    return INT.pack(len(payload)) + payload


class FrameSplitter:
    """Splits a byte stream into frames, however it is divided into reads."""

    def __init__(self, most: int = MAX_FRAME) -> None:
        self.max_size = most
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """The frames that are complete now; raises BadRecord for an impossible length."""
        self.buffer += data
        frames = []
        while len(self.buffer) >= 4:
            size = INT.unpack_from(self.buffer)[0]
            if not 0 <= size <= self.max_size:
                raise BadRecord(f"frame of {size} bytes; the maximum is {self.max_size}")
            if len(self.buffer) < 4 + size:
                break
            frames.append(bytes(self.buffer[4 : 4 + size]))
            del self.buffer[: 4 + size]
        return frames


@dataclass(slots=True, frozen=True)
class Stat:
    """A node's metadata. Times are Unix ms; zxids number the coordinator's changes in order."""

    czxid: int
    mzxid: int
    ctime: int
    mtime: int
    version: int
    cversion: int
    aversion: int
    ephemeral_owner: int  # the session of an ephemeral node; 0 for others
    data_length: int
    num_children: int
    pzxid: int

    def write(self) -> bytes:
        return STAT.pack(
            self.czxid, self.mzxid, self.ctime, self.mtime, self.version, self.cversion, self.aversion,
            self.ephemeral_owner, self.data_length, self.num_children, self.pzxid,
        )  # fmt: skip


STAT = struct.Struct(">qqqqiiiqiiq")


def read_stat(reader: Reader) -> Stat:
    return Stat(*STAT.unpack(reader._read_bytes(STAT.size, "stat")))
