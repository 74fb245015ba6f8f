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
        self.at = 0

    def _take(self, size: int, what: str) -> bytes:
        if size < 0 or self.at + size > len(self.data):
            raise BadRecord(f"{what}: {size} bytes needed, {len(self.data) - self.at} left")
        part = self.data[self.at : self.at + size]
        self.at += size
        return part

    def number(self) -> int:
        value: int = INT.unpack(self._take(4, "int"))[0]
        return value

    def long(self) -> int:
        value: int = LONG.unpack(self._take(8, "long"))[0]
        return value

    def flag(self) -> bool:
        return self._take(1, "boolean") != b"\0"

    def buffer(self) -> bytes:
        """Bytes; a length of -1 stands for null, returned as empty."""
        size = self.number()
        return b"" if size == -1 else self._take(size, "buffer")

    def string(self) -> str:
        try:
            return self.buffer().decode()
        except UnicodeDecodeError as error:
            raise BadRecord(f"string: {error.reason}") from None

    def vector(self, read: Callable[[Reader], T], least: int) -> list[T]:
        """A counted list of entries of at least `least` bytes each; -1 stands for null, returned as empty."""
        count = self.number()
        if count == -1:
            return []
        if count < 0 or count * least > len(self.data) - self.at:
            raise BadRecord(f"vector: {count} entries don't fit in {len(self.data) - self.at} bytes")
        return [read(self) for _ in range(count)]

    def strings(self) -> list[str]:
        return self.vector(Reader.string, 4)

    @property
    def left(self) -> int:
        return len(self.data) - self.at


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


class Frames:
    """Splits a byte stream into frames, however it is divided into reads."""

    def __init__(self, most: int = MAX_FRAME) -> None:
        self.most = most
        self.rest = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """The frames that are complete now; raises BadRecord for an impossible length."""
        self.rest += data
        found = []
        while len(self.rest) >= 4:
            size = INT.unpack_from(self.rest)[0]
            if not 0 <= size <= self.most:
                raise BadRecord(f"frame of {size} bytes; the maximum is {self.most}")
            if len(self.rest) < 4 + size:
                break
            found.append(bytes(self.rest[4 : 4 + size]))
            del self.rest[: 4 + size]
        return found


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
    owner: int  # the session of an ephemeral node; 0 for others
    length: int
    children: int
    pzxid: int

    def write(self) -> bytes:
        return STAT.pack(
            self.czxid, self.mzxid, self.ctime, self.mtime, self.version, self.cversion, self.aversion,
            self.owner, self.length, self.children, self.pzxid,
        )  # fmt: skip


STAT = struct.Struct(">qqqqiiiqiiq")


def read_stat(reader: Reader) -> Stat:
    return Stat(*STAT.unpack(reader._take(STAT.size, "stat")))
