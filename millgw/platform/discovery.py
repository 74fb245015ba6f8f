"""Discovery: reads its lists and follows one watch at a time."""

from __future__ import annotations

import asyncio
import json
import re
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, replace
from hashlib import blake2b
from typing import Any, cast

import httptools

from millgw.http.message import waiting
from millgw.interface import Condition, Endpoint, ListKind
from millgw.log.events import log_event
from millgw.platform.config import Address, Config, read_address
from millgw.platform.drain_memory import DrainMemory
from millgw.settings import read_number

SILENCE = 2.6  # s without a line after which a watch has failed: heartbeats come every 2 s
FIRST_LINE = 3.4  # s until its first line: calls are worked through in turn, and turned away after 2 to 3 s
AGENT_FIRST_LINE_TIMEOUT = (
    0.2  # s for the same where lists are pushed: an agent on this machine answers at once
)
ABANDONED_WATCH_TIME = 6.0  # s that a watch is still read after a move: what it tells by then counts as told
MOST_LEFT = 4  # watches that are still read after moves, the latest ones
MAX_LINE_SIZE = 8 * 1024 * 1024  # bytes of one line, far above the list of any fleet
VERSION_PATTERN = re.compile(rb'"index"\s*:\s*(\d{1,18})\s*[,}]')
CONDITIONS = {
    "in_service": Condition.READY,
    "terminating": Condition.DRAINING,
    "terminated": Condition.GONE,
}


@dataclass(slots=True, frozen=True)
class Listed:
    """One entry: what the balancer is told of the endpoint, and where this sidecar reaches it."""

    endpoint: Endpoint
    address: Address | None


@dataclass(slots=True, frozen=True)
class EndpointUpdate:
    """One list or line of changes, without the entries that can't be read."""

    index: int
    complete: bool
    entries: tuple[Listed, ...]


Heard = Callable[[ListKind, tuple[Listed, ...]], None]


def endpoint_id(name: str) -> int:
    """A number for a name: the same in every sidecar and after a restart, as the balancer's ring needs."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")


def read_listing(data: Any, zones: tuple[str, ...]) -> EndpointUpdate:
    """A list from its JSON value; entries that can't be read are skipped and logged."""
    if not isinstance(data, dict) or not isinstance(data.get("endpoints"), list):
        raise ValueError("not a list of endpoints")
    entries: list[Listed] = []
    for raw in data["endpoints"]:
        try:
            entries.append(read_entry(raw, zones))
        except (ValueError, TypeError, LookupError, AttributeError) as error:
            log_event("entry-skipped", cause=f"{type(error).__name__}: {error}")
    return EndpointUpdate(int(read_number(data, "index", "")), data.get("snapshot") is True, tuple(entries))


def read_entry(raw: Any, zones: tuple[str, ...]) -> Listed:
    """One entry of a list; a ValueError, TypeError, LookupError or AttributeError says that it is none."""
    name, condition = raw["name"], CONDITIONS.get(raw.get("status"))
    if not isinstance(name, str) or condition is None:
        raise ValueError(f"{name!r} has no known status")
    if condition is not Condition.READY:
        # Guards against a drain that is missed for the sake of a field that a drain does not need.
        return Listed(Endpoint(endpoint_id(name), condition), None)
    zone = raw.get("zone")
    endpoint = Endpoint(
        id=endpoint_id(name),
        condition=condition,
        size=read_number(raw, "weight", f"{name}: ", 1.0),
        cell=int(read_number(raw, "group", f"{name}: ", 0.0)),
        zone=zones.index(zone) if zone in zones else len(zones),
        started_at=read_number(raw, "since_ms", f"{name}: ", 0.0),
    )
    return Listed(endpoint, read_address(raw.get("address")))


def salvage_drains(fragment: bytes) -> tuple[Listed, ...]:
    """The drains and ends that can be read in a line that broke off or can't be read as a whole.

    Only these: they make a sidecar more careful, and what else the line held is told again with its version.
    """
    text = fragment.decode("utf-8", "replace")
    decoder = json.JSONDecoder()
    found: list[Listed] = []
    position = text.find("[") + 1
    while position > 0 and (position := text.find("{", position)) >= 0:
        try:
            raw, position = decoder.raw_decode(text, position)
            entry = read_entry(raw, ())
        except (ValueError, TypeError, LookupError, AttributeError):
            break  # what follows something that can't be read may be read wrongly too
        if entry.address is None:
            found.append(entry)
    return tuple(found)


def find_version(fragment: bytes) -> int:
    """The version that a line tells which may not be whole; 0 where it does not come that far."""
    found = VERSION_PATTERN.search(fragment)
    return 0 if found is None else int(found[1])


def listed_as(listed: Listed, condition: Condition) -> Listed:
    """An entry that says of its endpoint that it drains or is gone."""
    return Listed(replace(listed.endpoint, condition=condition), None)


class Discovery:
    """The list as last heard, and the watch that is on, if any. When to ask is the balancer's decision."""

    def __init__(
        self, address: Address, zones: tuple[str, ...], on_update: Heard, first_line: float = FIRST_LINE
    ) -> None:
        self.address = address
        self.first_line = first_line
        self.zones = zones
        self.on_update = on_update
        self.index: int | None = None
        self.watch: Watch | None = None
        self.left: list[Watch] = []  # those before moves, of which drains are still taken, the oldest first
        self.ready_ids: set[int] = set()  # the endpoints that the list holds as ready
        self.drain_memory = DrainMemory()
        self.connecting: asyncio.Task[None] | None = None

    def start(self, known: Any) -> None:
        """Take the list that this sidecar had before its start, if there is one and it can be read."""
        try:
            listing = EndpointUpdate(0, False, ()) if known is None else read_listing(known, self.zones)
        except ValueError as error:
            log_event("known-unusable", cause=error)
            known, listing = None, EndpointUpdate(0, False, ())
        if known is None:
            self._notify(ListKind.CACHED, ())  # otherwise the balancer hears nothing and never asks
            return
        self.index = listing.index
        self._notify(ListKind.CACHED, listing.entries)

    def adopt(self, index: int | None, entries: tuple[Listed, ...]) -> None:
        """Take the list as another process of this sidecar had it a moment ago, in place of `start`."""
        self.index = index
        self._notify(ListKind.CACHED, entries)

    def subscribe(self) -> None:
        """Watch from the version that is known; a watch that is on or asked for ends."""
        if self.connecting is not None:
            self.connecting.cancel()
        if self.watch is not None:
            before, self.watch = self.watch, None
            before.leave()
        self.watch = Watch(self)
        log_event("discovery-asked", discovery=self.address, index=self.index)
        self.watch.set_silence_timeout(self.first_line)
        self.connecting = asyncio.get_running_loop().create_task(self._connect(self.watch))

    def stop(self) -> None:
        """Watch no longer."""
        if self.connecting is not None:
            self.connecting.cancel()
        for watch in (self.watch, *self.left):
            if watch is not None:
                watch.stop()
        self.watch = None
        self.left.clear()

    def move(self, address: Address) -> None:
        """Go on at another address from the version that is known; the list and all learned of it stay."""
        if address != self.address:
            log_event("discovery-moves", before=self.address, to=address)
            self.address = address
            if self.watch is not None and self.watch.transport is not None:
                self._abandon(self.watch)
            self.subscribe()
            self._notify(ListKind.MOVED, ())

    def _abandon(self, watch: Watch) -> None:
        """Read a watch on for its drains, also one that has yet to be answered.

        What discovery writes there counts as told, and the next one may know it later.
        """
        self.watch = None
        self.left.append(watch)
        watch.set_silence_timeout(ABANDONED_WATCH_TIME)
        while len(self.left) > MOST_LEFT:
            self.left.pop(0).leave()

    def figures(self) -> dict[str, object]:
        """Nothing more than the pool's own, for the log."""
        return {}

    async def _connect(self, watch: Watch) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: watch, self.address.host, self.address.port)
        except ConnectionRefusedError as error:
            self.watch_failed(watch, str(error), ListKind.UNREACHABLE)
        except OSError as error:
            self.watch_failed(watch, str(error), ListKind.NOT_MADE)

    def take_fragment(self, fragment: bytes) -> None:
        """Take what tells of drains in a line that broke off, can't be read, or came on a watch left behind.

        The version known stays, so all of it is told again. Otherwise drains that discovery has begun to tell
        would be missed: they count as told, however the line ends.
        """
        drains = self._unlisted_endpoints(fragment) or salvage_drains(fragment)
        for drain in drains:
            self.drain_memory.record(
                drain.endpoint.id, find_version(fragment) or (self.index or 0) + 1, time.monotonic()
            )
        if drains:
            log_event("drains-in-part", discovery=self.address, drains=len(drains))
            self._notify(ListKind.PARTIAL, drains)

    def _unlisted_endpoints(self, fragment: bytes) -> tuple[Listed, ...]:
        """The drains that a whole list of this version or a later one tells by not naming an endpoint."""
        try:
            listing = read_listing(json.loads(fragment), self.zones)
        except ValueError:
            return ()
        if not listing.complete or listing.index < (self.index or 0):
            return ()
        ready = {e.endpoint.id for e in listing.entries if e.address is not None}
        return tuple(Listed(Endpoint(id, Condition.GONE), None) for id in self.ready_ids - ready)

    def take_line(self, line: bytes, advance: bool) -> None:
        """Take one line of the watch; a ValueError tells that it can't be read."""
        listing = read_listing(json.loads(line), self.zones)
        if advance:
            self.index = listing.index
        log_event(
            "list-heard",
            discovery=self.address,
            index=listing.index,
            whole=str(listing.complete).lower(),
            entries=len(listing.entries),
        )
        now, index = time.monotonic(), listing.index
        entries = tuple(
            e
            for e in listing.entries
            if e.address is None or not self.drain_memory.contradicts(e.endpoint.id, index, now)
        )
        self._notify(ListKind.FULL if listing.complete else ListKind.DELTA, entries)

    def take_heartbeat(self) -> None:
        """The watch is on, and nothing has changed."""
        self._notify(ListKind.DELTA, ())

    def _notify(self, kind: ListKind, entries: tuple[Listed, ...]) -> None:
        if kind.complete:
            self.ready_ids.clear()
        for entry in entries:
            if entry.address is not None:
                self.ready_ids.add(entry.endpoint.id)
            elif entry.endpoint.condition is not Condition.READY:
                self.ready_ids.discard(entry.endpoint.id)
        self.on_update(kind, entries)

    def watch_failed(self, watch: Watch, why: str, kind: ListKind = ListKind.FAILED) -> None:
        """Tell the balancer once for each watch that ends by itself, or falls silent."""
        if watch in self.left:
            self.left.remove(watch)
            watch.leave()
            return
        if watch is not self.watch:
            return
        self.watch = None
        watch.leave()
        watch.log_end(why)
        self._notify(kind, ())


def of_platform(config: Config, on_update: Heard) -> Discovery:
    """The platform's own: a service for all sidecars, or where lists are pushed an agent on this machine."""
    first_line = FIRST_LINE if config.settings.ask_discovery else AGENT_FIRST_LINE_TIMEOUT
    return Discovery(config.discovery, config.zones, on_update, first_line)


class Watch(asyncio.Protocol):
    """One watch: an answer that stays open, cut into lines wherever the reads fall."""

    def __init__(self, discovery: Discovery) -> None:
        self.discovery = discovery
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.requested_at = self.last_read_at = (
            time.monotonic()
        )  # s, when it was asked for and last brought anything
        self.connected = False
        self.answered = False  # whether an answer has begun that is none that turns it away
        self.stopped = False
        self.end_cause = ""
        self.has_list = False  # whether a list or changes have come: heartbeats before those tell nothing
        self.has_gap = False
        self.silence_timer: asyncio.TimerHandle | None = None
        self.buffer = bytearray()

    def stop(self) -> None:
        self.stopped = True
        if self.silence_timer is not None:
            self.silence_timer.cancel()
        if self.transport is not None:
            self.transport.abort()

    def leave(self) -> None:
        """End it, and take the drains of what has come: also half a line, and what waits in the socket.

        All of that was written to this sidecar, so it counts as told.
        """
        if self.transport is not None:
            with suppress(httptools.HttpParserError):
                self.parser.feed_data(waiting(self.transport, MAX_LINE_SIZE))
        for line in bytes(self.buffer).split(b"\n"):
            self.discovery.take_fragment(line)
        self.buffer.clear()
        self.stop()

    def log_end(self, cause: str) -> None:
        """Log why it has ended, and how it had gone until then."""
        now = time.monotonic()
        log_event(
            "watch-ended",
            discovery=self.discovery.address,
            cause=cause,
            asked_ms=round((now - self.requested_at) * 1000, 1),
            connected=str(self.connected).lower(),
            quiet_ms=round((now - self.last_read_at) * 1000, 1),
        )

    def set_silence_timeout(self, timeout: float) -> None:
        """Guards against a discovery that is cut off: its connection stays open and says nothing."""
        if self.silence_timer is not None:
            self.silence_timer.cancel()
        self.silence_timer = asyncio.get_running_loop().call_later(
            timeout, self.discovery.watch_failed, self, "silent past its time", ListKind.SILENT
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.connected = True
        if self.stopped:
            self.transport.abort()
            return
        discovery = self.discovery
        since = "" if discovery.index is None else f"&from={discovery.index}"
        host = discovery.address
        self.transport.write(f"GET /v1/endpoints?watch=1{since} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())

    def data_received(self, data: bytes) -> None:
        self.last_read_at = time.monotonic()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.end_cause = self.end_cause or f"malformed answer: {error}"
        *lines, self.buffer = self.buffer.split(b"\n")
        for line in lines:
            self._take_line(bytes(line))
        if len(self.buffer) > MAX_LINE_SIZE:
            self.end_cause = "a line is too long"
        if self.end_cause:
            # Only now: what came before the end, in the same read, has been told and counts for drains.
            self.discovery.watch_failed(self, self.end_cause, self._end_kind())

    def _take_line(self, line: bytes) -> None:
        if self.stopped:
            return
        if self in self.discovery.left:
            self.discovery.take_fragment(line)
            return
        self.set_silence_timeout(SILENCE)
        if not line.strip():
            if self.has_list and not self.has_gap:
                self.discovery.take_heartbeat()
            return
        try:
            self.discovery.take_line(line, advance=not self.has_gap)
            self.has_list = True
        except ValueError as error:
            # Guards against a change that is missed: what this line held is asked for again. The lines
            # after it are taken, but don't count as heard.
            self.has_gap = True
            self.end_cause = f"a line can't be read: {error}"
            self.discovery.take_fragment(line)

    def connection_lost(self, exc: Exception | None) -> None:
        self.discovery.watch_failed(self, "connection lost", self._end_kind())

    def _end_kind(self) -> ListKind:
        return ListKind.BROKEN_OFF if self.answered else ListKind.FAILED

    # httptools

    def on_headers_complete(self) -> None:
        self.answered = self.parser.get_status_code() == 200

    def on_body(self, body: bytes) -> None:
        if self.parser.get_status_code() == 200:
            self.buffer += body

    def on_message_complete(self) -> None:
        if self.buffer.strip():
            self.buffer += b"\n"
        self.end_cause = f"answered {self.parser.get_status_code()} and ended"
