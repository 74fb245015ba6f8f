"""Frame codec of the simulator's wire: bytes to records and back. Pure; no decisions.

A batch is a header (record count, body size, clock) and records; a reply has no clock.
All numbers are big-endian. Malformed input raises WireError, naming what and where.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass

HEADER = struct.Struct(">IId")
REPLY_HEADER = struct.Struct(">II")

_BOOT = struct.Struct(">QI")
_SYNC = struct.Struct(">IBB")
_KNOCK = struct.Struct(">QHIQddB")
_FLOWING = struct.Struct(">QdBI")
_OUTCOME = struct.Struct(">QIdBBHB")
_U64 = struct.Struct(">Q")
_U32 = struct.Struct(">I")
_ECHO = struct.Struct(">IHdB")
_PEER = struct.Struct(">HH")
_TABLE = struct.Struct(">BI")
_ENTRY = struct.Struct(">BIfHBBd")

_AS = struct.Struct(">BI")
_DISPATCH = struct.Struct(">BQId")
_SAY_NO = struct.Struct(">BQd")
_ERROR = struct.Struct(">BQ")
_AFTER = struct.Struct(">BdQ")
_PROBE = struct.Struct(">BI")
_WATCH = struct.Struct(">BB")
_TEXT = struct.Struct(">BH")

MAX_TEXT = 65535


class WireError(ValueError):
    """The input is not what the wire's page describes."""


@dataclass(slots=True)
class SwitchTo:
    instance: int


@dataclass(slots=True)
class Boot:
    seed: int
    settings: bytes


@dataclass(slots=True)
class Entry:
    kind: int
    endpoint: int
    size: float
    cell: int
    zone: int
    condition: int
    since: float


@dataclass(slots=True)
class Table:
    number: int
    entries: tuple[Entry, ...]


@dataclass(slots=True)
class Sync:
    version: int
    mode: int
    table: int


@dataclass(slots=True)
class Knock:
    request: int
    cls: int
    tenant: int
    key: int
    not_after: float
    cost: float
    bits: int


@dataclass(slots=True)
class Flowing:
    request: int
    elapsed: float
    attempt: int
    endpoint: int


@dataclass(slots=True)
class Ended:
    request: int
    endpoint: int
    elapsed: float
    attempt: int
    no_more: bool
    code: int
    report: tuple[float, ...]


@dataclass(slots=True)
class Aborted:
    request: int


@dataclass(slots=True)
class Fired:
    name: int


@dataclass(slots=True)
class Echo:
    endpoint: int
    code: int
    elapsed: float
    report: tuple[float, ...]


@dataclass(slots=True)
class NoteFrom:
    sender: int
    contents: bytes


@dataclass(slots=True)
class Stop:
    pass


Record = SwitchTo | Boot | Table | Sync | Knock | Flowing | Ended | Aborted | Fired | Echo | NoteFrom | Stop


def _floats(body: bytes, at: int, n: int) -> tuple[tuple[float, ...], int]:
    return struct.unpack_from(f">{n}f", body, at), at + 4 * n


def _bytes(body: bytes, at: int, n: int) -> tuple[bytes, int]:
    if at + n > len(body):
        raise struct.error("too short")
    return body[at : at + n], at + n


def _record(body: bytes, at: int) -> tuple[Record, int]:
    code, p = body[at], at + 1
    if code == 5:
        f = _OUTCOME.unpack_from(body, p)
        values, end = _floats(body, p + _OUTCOME.size, f[6])
        return Ended(f[0], f[1], f[2], f[3], f[4] != 0, f[5], values), end
    if code == 7:
        return Fired(*_U64.unpack_from(body, p)), p + _U64.size
    if code == 12:
        return SwitchTo(*_U32.unpack_from(body, p)), p + _U32.size
    if code == 3:
        return Knock(*_KNOCK.unpack_from(body, p)), p + _KNOCK.size
    if code == 6:
        return Aborted(*_U64.unpack_from(body, p)), p + _U64.size
    if code == 2:
        return Sync(*_SYNC.unpack_from(body, p)), p + _SYNC.size
    if code == 11:
        number, n = _TABLE.unpack_from(body, p)
        raw, end = _bytes(body, p + _TABLE.size, n * _ENTRY.size)
        return Table(number, tuple(Entry(*e) for e in _ENTRY.iter_unpack(raw))), end
    if code == 1:
        seed, n = _BOOT.unpack_from(body, p)
        raw, end = _bytes(body, p + _BOOT.size, n)
        return Boot(seed, raw), end
    if code == 4:
        return Flowing(*_FLOWING.unpack_from(body, p)), p + _FLOWING.size
    if code == 8:
        endpoint, result, elapsed, n = _ECHO.unpack_from(body, p)
        values, end = _floats(body, p + _ECHO.size, n)
        return Echo(endpoint, result, elapsed, values), end
    if code == 9:
        sender, n = _PEER.unpack_from(body, p)
        raw, end = _bytes(body, p + _PEER.size, n)
        return NoteFrom(sender, raw), end
    if code == 10:
        return Stop(), p
    raise WireError(f"unknown record code {code} at byte {at} of a batch")


def decode(count: int, body: bytes) -> Iterator[Record]:
    """The records of a batch, in order; the whole body must be used up by `count` of them."""
    at = 0
    for index in range(count):
        if at >= len(body):
            raise WireError(f"batch of {count} records ends after {index}")
        try:
            record, at = _record(body, at)
        except struct.error:
            raise WireError(f"record {index} at byte {at} of a batch is cut short") from None
        if at > len(body):
            raise WireError(f"record {index} runs past the end of its batch")
        yield record
    if at != len(body):
        raise WireError(f"{len(body) - at} bytes left after the {count} records of a batch")


def act_as(instance: int) -> bytes:
    return _AS.pack(13, instance)


def dispatch(request: int, endpoint: int, timeout: float) -> bytes:
    return _DISPATCH.pack(1, request, endpoint, timeout)


def say_no(request: int, wait: float) -> bytes:
    return _SAY_NO.pack(2, request, wait)


def respond_error(request: int) -> bytes:
    return _ERROR.pack(3, request)


def after(at: float, name: int) -> bytes:
    return _AFTER.pack(5, at, name)


def health_check(endpoint: int) -> bytes:
    return _PROBE.pack(6, endpoint)


def stream_changes(want: bool) -> bytes:
    return _WATCH.pack(11, int(want))


def broken(text: str) -> bytes:
    raw = text.encode("utf-8", "replace")[:MAX_TEXT]
    return _TEXT.pack(10, len(raw)) + raw


def reply(records: list[bytes]) -> bytes:
    body = b"".join(records)
    return REPLY_HEADER.pack(len(records), len(body)) + body
