"""The wire format of peer messages, version 1: msgpack, validated by `msgspec`, bounded in size. Pure.

A body is a msgpack map whose `t` is the message type; unknown keys are ignored, an unknown `t` is refused.
Datagrams carry `probe`, `rumours` and `sum`; connections carry `ask`, `snapshot` and `probe`, each in a frame
of a four-byte length and a signed message (see `millgw.peers.state_transfer`). Messages contain nothing about
callers or keys.

Tags and field names are on the wire, where peers of other versions read them; class names are not.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Annotated

import msgspec
from msgspec import Meta

from millgw.peers.message_auth import MessageRefused
from millgw.peers.observations import Observation
from millgw.peers.swim import MAX_MEMBERS, MemberUpdate, Message, MessageKind, Status

MAX_DATAGRAM_BYTES = 1400  # with signature; fits into an Ethernet frame
MAX_FRAME_BYTES = 4 * 1024 * 1024  # with signature; some thousands of endpoints in a few pools
MAX_OBSERVATIONS = 16_384  # observations in one message

Name = Annotated[str, Meta(max_length=256)]
Number = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]
Float = float


class ObservationRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """An `Observation` with short keys, and ages and times in whole ms, to keep datagrams small."""

    e: Name  # endpoint
    o: Name  # origin
    n: Number  # sequence
    a: Number  # age
    s: Number = 0  # started_at
    f: Float = 0.0  # failure_rate
    w: Float = 1.0  # latency_ratio
    c: Number = 0  # calls
    u: Number | None = None  # uptime
    d: bool = False  # draining


class Rumour(msgspec.Struct, frozen=True):
    pool: Name
    row: ObservationRow


class Probe(msgspec.Struct, frozen=True, tag_field="t", tag="probe", omit_defaults=True):
    """A membership message (see `millgw.peers.swim`); `news` are tuples of name, incarnation and status."""

    kind: Annotated[int, Meta(ge=0, le=int(max(MessageKind)))]
    number: Number
    about: Name = ""
    news: Annotated[
        tuple[tuple[Name, Number, Annotated[int, Meta(ge=0, le=int(max(Status)))]], ...],
        Meta(max_length=MAX_MEMBERS + 1),
    ] = ()


class Rumours(msgspec.Struct, frozen=True, tag_field="t", tag="rumours"):
    rumours: Annotated[tuple[Rumour, ...], Meta(max_length=64)]


class GossipDigest(msgspec.Struct, frozen=True, tag_field="t", tag="sum"):
    """A digest of all stored observations; `differs` is True if it answers a different digest."""

    digest: Number
    differs: bool = False


class SnapshotRequest(msgspec.Struct, frozen=True, tag_field="t", tag="ask"):
    """Requests a snapshot."""


class Snapshot(msgspec.Struct, frozen=True, tag_field="t", tag="snapshot"):
    """All observations by pool, and by pool the learned limit on calls in flight to each endpoint."""

    pools: Annotated[
        dict[Name, Annotated[tuple[ObservationRow, ...], Meta(max_length=MAX_OBSERVATIONS)]],
        Meta(max_length=256),
    ]
    limits: Annotated[dict[Name, Annotated[float, Meta(ge=0)]], Meta(max_length=256)]


Body = Probe | Rumours | GossipDigest | SnapshotRequest | Snapshot

_decoder = msgspec.msgpack.Decoder(Body)
_encoder = msgspec.msgpack.Encoder()


def encode(body: Body) -> bytes:
    return _encoder.encode(body)


def decode(data: bytes) -> Body:
    """Decode a body; raises MessageRefused if it is invalid."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise MessageRefused(f"can't be decoded: {error}") from None


def probe(message: Message) -> Probe:
    news = tuple((n.name, n.incarnation, int(n.status)) for n in message.news)
    return Probe(int(message.kind), message.number, message.about, news)


def message(body: Probe) -> Message:
    updates = tuple(
        MemberUpdate(name, incarnation, Status(status)) for name, incarnation, status in body.news
    )
    return Message(MessageKind(body.kind), body.number, body.about, updates)


def row(o: Observation) -> ObservationRow:
    uptime = None if o.uptime is None else round(o.uptime)
    return ObservationRow(
        o.endpoint, o.origin, o.sequence, round(o.age), round(o.started_at), round(o.failure_rate, 3),
        round(o.latency_ratio, 2), o.calls, uptime, o.draining,
    )  # fmt: skip


def observation(r: ObservationRow) -> Observation:
    uptime = None if r.u is None else float(r.u)
    return Observation(r.e, r.o, float(r.a), r.n, float(r.s), r.f, r.w, r.c, uptime, r.d)


def rumours(items: Iterable[tuple[str, Observation]]) -> Rumours:
    return Rumours(tuple(Rumour(pool, row(o)) for pool, o in items))


def snapshot(pools: Mapping[str, Iterable[Observation]], limits: Mapping[str, float]) -> Snapshot:
    """The `MAX_OBSERVATIONS` youngest observations of each pool, and the limits."""
    rows = {
        pool: tuple(map(row, sorted(observations, key=lambda o: o.age)[:MAX_OBSERVATIONS]))
        for pool, observations in pools.items()
    }
    return Snapshot(rows, dict(limits))
