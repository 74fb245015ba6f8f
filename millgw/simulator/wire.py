"""Codec of the simulator's binary protocol: bytes to records and back. Pure; no decisions.

A batch is a header (number of records, body size, time) and records; a reply has no time. All numbers are
big-endian. Malformed input raises a WireError that names what is wrong and where.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass

HEADER = struct.Struct(">IId")
REPLY_HEADER = struct.Struct(">II")

_START_INSTANCE = struct.Struct(">QI")
_LIST_UPDATE = struct.Struct(">IBB")
_REQUEST_ARRIVED = struct.Struct(">QHIQddB")
_RESPONSE_STARTED = struct.Struct(">QdBI")
_ATTEMPT_ENDED = struct.Struct(">QIdBBHB")
_U64 = struct.Struct(">Q")
_U32 = struct.Struct(">I")
_PROBE_ENDED = struct.Struct(">IHdB")
_PEER_MESSAGE = struct.Struct(">HH")
_TABLE = struct.Struct(">BI")
_TABLE_ENTRY = struct.Struct(">BIfHBBd")

_SELECT_INSTANCE = struct.Struct(">BI")
_SEND = struct.Struct(">BQId")
_REFUSE = struct.Struct(">BQd")
_FAIL = struct.Struct(">BQ")
_SET_TIMER = struct.Struct(">BdQ")
_PROBE = struct.Struct(">BI")
_WATCH = struct.Struct(">BB")
_TEXT = struct.Struct(">BH")

MAX_TEXT = 65535


class WireError(ValueError):
    """The input does not conform to the protocol."""


@dataclass(slots=True)
class SelectInstance:
    instance: int


@dataclass(slots=True)
class StartInstance:
    seed: int
    settings: bytes


@dataclass(slots=True)
class TableEntry:
    kind: int
    endpoint: int
    size: float
    cell: int
    zone: int
    condition: int
    started_at: float


@dataclass(slots=True)
class Table:
    number: int
    entries: tuple[TableEntry, ...]


@dataclass(slots=True)
class ListUpdate:
    version: int
    kind: int
    table: int


@dataclass(slots=True)
class RequestArrived:
    request: int
    cls: int
    tenant: int
    key: int
    deadline: float
    cost: float
    flags: int


@dataclass(slots=True)
class ResponseStarted:
    request: int
    elapsed: float
    attempt: int
    endpoint: int


@dataclass(slots=True)
class AttemptEnded:
    request: int
    endpoint: int
    elapsed: float
    attempt: int
    request_finished: bool
    code: int
    report: tuple[float, ...]


@dataclass(slots=True)
class RequestAborted:
    request: int


@dataclass(slots=True)
class TimerFired:
    timer: int


@dataclass(slots=True)
class ProbeEnded:
    endpoint: int
    code: int
    elapsed: float
    report: tuple[float, ...]


@dataclass(slots=True)
class PeerMessage:
    sender: int
    contents: bytes


@dataclass(slots=True)
class StopInstance:
    pass


Record = (
    SelectInstance
    | StartInstance
    | Table
    | ListUpdate
    | RequestArrived
    | ResponseStarted
    | AttemptEnded
    | RequestAborted
    | TimerFired
    | ProbeEnded
    | PeerMessage
    | StopInstance
)


def _floats(body: bytes, at: int, n: int) -> tuple[tuple[float, ...], int]:
    return struct.unpack_from(f">{n}f", body, at), at + 4 * n


def _bytes(body: bytes, at: int, n: int) -> tuple[bytes, int]:
    if at + n > len(body):
        raise struct.error("too short")
    return body[at : at + n], at + n


def _record(body: bytes, at: int) -> tuple[Record, int]:
    code, p = body[at], at + 1
    if code == 5:
        f = _ATTEMPT_ENDED.unpack_from(body, p)
        values, end = _floats(body, p + _ATTEMPT_ENDED.size, f[6])
        return AttemptEnded(f[0], f[1], f[2], f[3], f[4] != 0, f[5], values), end
    if code == 7:
        return TimerFired(*_U64.unpack_from(body, p)), p + _U64.size
    if code == 12:
        return SelectInstance(*_U32.unpack_from(body, p)), p + _U32.size
    if code == 3:
        return RequestArrived(*_REQUEST_ARRIVED.unpack_from(body, p)), p + _REQUEST_ARRIVED.size
    if code == 6:
        return RequestAborted(*_U64.unpack_from(body, p)), p + _U64.size
    if code == 2:
        return ListUpdate(*_LIST_UPDATE.unpack_from(body, p)), p + _LIST_UPDATE.size
    if code == 11:
        number, n = _TABLE.unpack_from(body, p)
        raw, end = _bytes(body, p + _TABLE.size, n * _TABLE_ENTRY.size)
        return Table(number, tuple(TableEntry(*e) for e in _TABLE_ENTRY.iter_unpack(raw))), end
    if code == 1:
        seed, n = _START_INSTANCE.unpack_from(body, p)
        raw, end = _bytes(body, p + _START_INSTANCE.size, n)
        return StartInstance(seed, raw), end
    if code == 4:
        return ResponseStarted(*_RESPONSE_STARTED.unpack_from(body, p)), p + _RESPONSE_STARTED.size
    if code == 8:
        endpoint, result, elapsed, n = _PROBE_ENDED.unpack_from(body, p)
        values, end = _floats(body, p + _PROBE_ENDED.size, n)
        return ProbeEnded(endpoint, result, elapsed, values), end
    if code == 9:
        sender, n = _PEER_MESSAGE.unpack_from(body, p)
        raw, end = _bytes(body, p + _PEER_MESSAGE.size, n)
        return PeerMessage(sender, raw), end
    if code == 10:
        return StopInstance(), p
    raise WireError(f"unknown record code {code} at byte {at} of a batch")


def decode(count: int, body: bytes) -> Iterator[Record]:
    """The records of a batch, in order; `count` of them must use up the whole body."""
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


def select_instance(instance: int) -> bytes:
    return _SELECT_INSTANCE.pack(13, instance)


def send(request: int, endpoint: int, timeout: float) -> bytes:
    return _SEND.pack(1, request, endpoint, timeout)


def refuse(request: int, wait: float) -> bytes:
    return _REFUSE.pack(2, request, wait)


def fail(request: int) -> bytes:
    return _FAIL.pack(3, request)


def set_timer(at: float, name: int) -> bytes:
    return _SET_TIMER.pack(5, at, name)


def probe(endpoint: int) -> bytes:
    return _PROBE.pack(6, endpoint)


def subscribe(want: bool) -> bytes:
    return _WATCH.pack(11, int(want))


def instance_error(text: str) -> bytes:
    raw = text.encode("utf-8", "replace")[:MAX_TEXT]
    return _TEXT.pack(10, len(raw)) + raw


def reply(records: list[bytes]) -> bytes:
    body = b"".join(records)
    return REPLY_HEADER.pack(len(records), len(body)) + body
