"""What peers say to each other, as bytes: version 1, checked by `msgspec`, bounded. Pure.

A body is a msgpack map whose `t` tells what it is; a key that is not known is skipped, a `t` that is not is
refused. Datagrams carry `probe`, `rumours` and `sum`; connections `ask`, `snapshot` and `probe`, each frame
a length of four bytes and a sealed message (see `millgw.peers.peer_transport`). Nothing of callers or keys is
told.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Annotated

import msgspec
from msgspec import Meta

from millgw.peers.beliefs import Observation
from millgw.peers.sealed import Refused
from millgw.peers.swim import MOST_MEMBERS, Kind, Message, News, Status

MOST_DATAGRAM = 1400  # bytes, sealed: what goes through a network's usual frame
MOST_FRAME = 4 * 1024 * 1024  # bytes, sealed: some thousands of endpoints of a few pools
MOST_TOLD = 16_384  # observations in one message

Name = Annotated[str, Meta(max_length=256)]
Number = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]
Float = float


class Row(msgspec.Struct, frozen=True, omit_defaults=True):
    """An observation (see `millgw.peers.beliefs`); ages and times in whole ms to keep datagrams small."""

    e: Name
    o: Name
    n: Number
    a: Number
    s: Number = 0
    f: Float = 0.0
    w: Float = 1.0
    c: Number = 0
    u: Number | None = None
    d: bool = False


class Rumour(msgspec.Struct, frozen=True):
    pool: Name
    row: Row


class Probe(msgspec.Struct, frozen=True, tag_field="t", tag="probe", omit_defaults=True):
    """A message of the list's machine; `news` are name, incarnation and status."""

    kind: Annotated[int, Meta(ge=0, le=int(max(Kind)))]
    number: Number
    about: Name = ""
    news: Annotated[
        tuple[tuple[Name, Number, Annotated[int, Meta(ge=0, le=int(max(Status)))]], ...],
        Meta(max_length=MOST_MEMBERS + 1),
    ] = ()


class Rumours(msgspec.Struct, frozen=True, tag_field="t", tag="rumours"):
    rumours: Annotated[tuple[Rumour, ...], Meta(max_length=64)]


class Sum(msgspec.Struct, frozen=True, tag_field="t", tag="sum"):
    """A digest of all that is held, and whether the other one's is known already to differ."""

    digest: Number
    differs: bool = False


class Ask(msgspec.Struct, frozen=True, tag_field="t", tag="ask"):
    """Asks for all that is known of endpoints."""


class Snapshot(msgspec.Struct, frozen=True, tag_field="t", tag="snapshot"):
    """All that is known by pool, and its limits on calls in flight for each endpoint, as learned."""

    pools: Annotated[dict[Name, Annotated[tuple[Row, ...], Meta(max_length=MOST_TOLD)]], Meta(max_length=256)]
    limits: Annotated[dict[Name, Annotated[float, Meta(ge=0)]], Meta(max_length=256)]


Body = Probe | Rumours | Sum | Ask | Snapshot

_reads = msgspec.msgpack.Decoder(Body)
_words = msgspec.msgpack.Encoder()


def encode(body: Body) -> bytes:
    return _words.encode(body)


def decode(data: bytes) -> Body:
    """What a body says; a Refused tells why it can't be read."""
    try:
        return _reads.decode(data)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise Refused(f"can't be read: {error}") from None


def probe(message: Message) -> Probe:
    news = tuple((n.name, n.incarnation, int(n.status)) for n in message.news)
    return Probe(int(message.kind), message.number, message.about, news)


def message(body: Probe) -> Message:
    news = tuple(News(name, incarnation, Status(status)) for name, incarnation, status in body.news)
    return Message(Kind(body.kind), body.number, body.about, news)


def row(o: Observation) -> Row:
    up = None if o.up is None else round(o.up)
    return Row(
        o.endpoint, o.origin, o.number, round(o.age), round(o.since), round(o.failing, 3), round(o.slow, 2),
        o.calls, up, o.draining,
    )  # fmt: skip


def observation(r: Row) -> Observation:
    up = None if r.u is None else float(r.u)
    return Observation(r.e, r.o, float(r.a), r.n, float(r.s), r.f, r.w, r.c, up, r.d)


def rumours(told: Iterable[tuple[str, Observation]]) -> Rumours:
    return Rumours(tuple(Rumour(pool, row(o)) for pool, o in told))


def snapshot(pools: Mapping[str, Iterable[Observation]], limits: Mapping[str, float]) -> Snapshot:
    """At most so many rows for each pool, the youngest."""
    rows = {
        pool: tuple(map(row, sorted(told, key=lambda o: o.age)[:MOST_TOLD])) for pool, told in pools.items()
    }
    return Snapshot(rows, dict(limits))
