"""Discovery client: reads endpoint lists from a long-lived watch, one at a time."""

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

from millgw.http.message import read_undelivered
from millgw.interface import Condition, Endpoint, ListKind, Settings
from millgw.log.events import log_event
from millgw.platform.config import Address, Config, read_address
from millgw.platform.drain_memory import DrainMemory
from millgw.platform.list_state import ListState
from millgw.platform.watch_text import EntryScanner, WatchText
from millgw.settings import read_number

SILENCE_TIMEOUT = 2.6  # s without a line after which a watch has failed; heartbeats come every 2 s
FIRST_LINE_TIMEOUT = 3.4  # s until the first line: discovery queues calls and rejects them after 2 to 3 s
AGENT_FIRST_LINE_TIMEOUT = 0.2  # s for the same with a local agent, which answers at once
ABANDONED_WATCH_TIME = 6.0  # s that a watch is still read after a move: drains on it count as told until then
MAX_ABANDONED_WATCHES = 4  # watches still read after moves; the oldest is closed first
MAX_LIST_SIZE = 8 * 1024 * 1024  # bytes of one list, far above that of any fleet
DRAIN_MARK = b'"termin'  # how the status of an endpoint that drains or is gone begins
VERSION_PATTERN = re.compile(rb'"index"\s*:\s*(\d{1,18})\s*[,}]')
FIRST_UNLISTED_ZONE = 1 << 32  # zones that the settings do not list are numbered from here: above any list
UNLISTED_ZONE_BYTES = 6  # of the digest of such a zone's name
CONDITIONS = {
    "in_service": Condition.READY,
    "terminating": Condition.DRAINING,
    "terminated": Condition.GONE,
}


@dataclass(slots=True, frozen=True)
class ListedEndpoint:
    """A list entry: the endpoint for the balancer, and its address; None if it drains or is gone.

    `size_told`: whether the source tells the endpoint's size, which otherwise is that of an average one.
    `last_address`: where one that drains or is gone serves or served; None if that is not known.
    """

    endpoint: Endpoint
    address: Address | None
    size_told: bool = True
    last_address: Address | None = None


@dataclass(slots=True, frozen=True)
class EndpointUpdate:
    """A full list or changes, without entries that can't be read."""

    index: int
    complete: bool
    entries: tuple[ListedEndpoint, ...]


UpdateCallback = Callable[[ListKind, tuple[ListedEndpoint, ...]], None]


def endpoint_id(name: str) -> int:
    """A numeric id for a name. Stable across sidecars and restarts, as the balancer's hash ring requires."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")


def zone_number(name: str, zones: tuple[str, ...]) -> int:
    """A zone's number: its position in the settings, or one derived from its name if they do not list it."""
    if name in zones:
        return zones.index(name)
    digest = blake2b(name.encode(), digest_size=UNLISTED_ZONE_BYTES).digest()
    return FIRST_UNLISTED_ZONE + int.from_bytes(digest, "big")


def renumbered_zone(zone: int, before: tuple[str, ...], now: tuple[str, ...]) -> int:
    """The number under the zones listed `now` of a zone that was numbered by those listed `before`."""
    if zone < len(before):
        return zone_number(before[zone], now)
    return next((i for i, name in enumerate(now) if zone_number(name, ()) == zone), zone)


def renumbered(
    entries: tuple[ListedEndpoint, ...], before: tuple[str, ...], now: tuple[str, ...]
) -> tuple[ListedEndpoint, ...]:
    """The entries with their zones numbered by the zones listed `now`, no longer by those listed `before`."""
    if before == now:
        return entries
    return tuple(
        entry
        if entry.endpoint.zone is None
        else replace(
            entry, endpoint=replace(entry.endpoint, zone=renumbered_zone(entry.endpoint.zone, before, now))
        )
        for entry in entries
    )


def read_update(data: Any, zones: tuple[str, ...]) -> EndpointUpdate:
    """Parse a list from its JSON value; unreadable entries are skipped and logged."""
    if not isinstance(data, dict) or not isinstance(data.get("endpoints"), list):
        raise ValueError("not a list of endpoints")
    entries: list[ListedEndpoint] = []
    for raw in data["endpoints"]:
        try:
            entries.append(read_entry(raw, zones))
        except (ValueError, TypeError, LookupError, AttributeError) as error:
            log_event("entry-skipped", cause=f"{type(error).__name__}: {error}")
    return EndpointUpdate(int(read_number(data, "index", "")), data.get("snapshot") is True, tuple(entries))


def read_entry(raw: Any, zones: tuple[str, ...]) -> ListedEndpoint:
    """Parse a list entry; raises ValueError, TypeError, LookupError or AttributeError if it is invalid."""
    name, condition = raw["name"], CONDITIONS.get(raw.get("status"))
    if not isinstance(name, str) or condition is None:
        raise ValueError(f"{name!r} has no known status")
    if condition is not Condition.READY:
        # No other field is needed: an invalid one must not hide a drain.
        return ListedEndpoint(
            Endpoint(endpoint_id(name), condition), None, last_address=_read_last_address(raw)
        )
    endpoint = Endpoint(
        id=endpoint_id(name),
        condition=condition,
        size=read_number(raw, "weight", f"{name}: ", 1.0),
        cell=_read_group(raw, name),
        zone=_read_zone(raw, zones),
        started_at=read_number(raw, "since_ms", f"{name}: ", 0.0),
    )
    return ListedEndpoint(endpoint, read_address(raw.get("address")), size_told="weight" in raw)


def _read_last_address(raw: dict[str, Any]) -> Address | None:
    """The address of an endpoint that drains or is gone; None if it can't be read."""
    try:
        return read_address(raw.get("address"))
    except ValueError:
        return None


def _read_group(raw: dict[str, Any], name: str) -> int | None:
    """The group of an entry; None if it is not told."""
    return None if raw.get("group") is None else int(read_number(raw, "group", f"{name}: "))


def _read_zone(raw: dict[str, Any], zones: tuple[str, ...]) -> int | None:
    """The number of an entry's zone; None if it is not told."""
    zone = raw.get("zone")
    return zone_number(zone, zones) if isinstance(zone, str) and zone else None


def read_drains(entries: list[object]) -> tuple[ListedEndpoint, ...]:
    """The drains and removals among entries of a list that is not read as a whole.

    Only these are taken, as they err on the safe side; the rest is sent again with its version.
    """
    found: list[ListedEndpoint] = []
    for raw in entries:
        try:
            entry = read_entry(raw, ())
        except (ValueError, TypeError, LookupError, AttributeError):
            break  # what follows unreadable text may be misread too
        if entry.address is None:
            found.append(entry)
    return tuple(found)


def find_version(fragment: bytes) -> int:
    """The version in a line that may be incomplete; 0 if it ends before the version."""
    found = VERSION_PATTERN.search(fragment)
    return 0 if found is None else int(found[1])


def with_condition(listed: ListedEndpoint, condition: Condition) -> ListedEndpoint:
    """A copy of an entry with another condition (drains or is gone), without an address."""
    last_address = listed.address or listed.last_address
    return ListedEndpoint(replace(listed.endpoint, condition=condition), None, listed.size_told, last_address)


class Discovery:
    """The last known list and the current watch, if any. The balancer decides when to subscribe."""

    def __init__(
        self,
        address: Address,
        zones: tuple[str, ...],
        on_update: UpdateCallback,
        first_line: float = FIRST_LINE_TIMEOUT,
        uses_known: bool = True,
    ) -> None:
        """`uses_known`: whether the list of the configuration is this discovery's, not another one's."""
        self.address = address
        self.first_line = first_line
        self.uses_known = uses_known
        self.zones = zones
        self.on_update = on_update
        self.index: int | None = None
        self.watch: Watch | None = None
        self.abandoned: list[
            Watch
        ] = []  # watches from before moves, oldest first: their drains are still taken
        self.ready_ids: set[int] = set()  # ids that the list has as ready
        self.drain_memory = DrainMemory()
        self.connecting: asyncio.Task[None] | None = None

    def start(self, known: Any) -> None:
        """Start from the configuration's list, if there is one of this discovery that can be read."""
        if not self.uses_known:
            known = None
        try:
            update = EndpointUpdate(0, False, ()) if known is None else read_update(known, self.zones)
        except ValueError as error:
            log_event("known-unusable", cause=error)
            known, update = None, EndpointUpdate(0, False, ())
        if known is None:
            self._notify(ListKind.CACHED, ())  # without any update the balancer would never subscribe
            return
        self.index = update.index
        self._notify(ListKind.CACHED, update.entries)

    def list_state(self) -> ListState:
        """What the next process needs to go on with this list (see `EndpointSource`)."""
        return ListState(self.uses_known, self.index)

    def continues(self, state: ListState) -> bool:
        """Whether that list is of the platform's discovery, or of the pool's own, as this one is."""
        return state.merged is None and state.platform == self.uses_known

    def adopt_state(
        self, state: ListState, entries: tuple[ListedEndpoint, ...], zones: tuple[str, ...]
    ) -> None:
        """Start from the list of the predecessor process; called in place of `start`."""
        self.adopt(state.index, renumbered(entries, zones, self.zones))

    def adopt(self, index: int | None, entries: tuple[ListedEndpoint, ...]) -> None:
        """Report the list of another source, of this version."""
        self.index = index
        self._notify(ListKind.CACHED, entries)

    def continue_from(
        self, predecessor: object, listed: Callable[[], tuple[ListedEndpoint, ...]]
    ) -> bool | None:
        """Start from the list of another source of this process (see `EndpointSource`)."""
        if not isinstance(predecessor, Discovery) or predecessor.uses_known != self.uses_known:
            return None
        predecessor.end_watch()
        self.drain_memory = predecessor.drain_memory
        self.adopt(predecessor.index, renumbered(listed(), predecessor.zones, self.zones))
        return predecessor.address != self.address

    def subscribe(self) -> None:
        """Open a watch from the known version, and close the current one or the pending connect."""
        if self.connecting is not None:
            self.connecting.cancel()
        self.end_watch()
        self.watch = Watch(self)
        log_event("discovery-asked", discovery=self.address, index=self.index)
        self.watch.set_silence_timeout(self.first_line)
        self.connecting = asyncio.get_running_loop().create_task(self._connect(self.watch))

    def end_watch(self) -> None:
        """Close the current watch, if any, and take the drains that came on it and were not read yet."""
        if self.watch is not None:
            before, self.watch = self.watch, None
            before.salvage_and_stop()

    def reconfigure(self, settings: Settings) -> None:
        """Does nothing: the balancer decides when discovery is asked, and whether it is an agent is fixed."""

    def stop(self) -> None:
        """Close all watches."""
        if self.connecting is not None:
            self.connecting.cancel()
        for watch in (self.watch, *self.abandoned):
            if watch is not None:
                watch.stop()
        self.watch = None
        self.abandoned.clear()

    def move(self, address: Address) -> None:
        """Switch to another address, from the known version; the list and the learned state are kept."""
        if address != self.address:
            log_event("discovery-moves", before=self.address, to=address)
            self.address = address
            if self.watch is not None and self.watch.transport is not None:
                self._abandon(self.watch)
            self.subscribe()
            self._notify(ListKind.MOVED, ())

    def _abandon(self, watch: Watch) -> None:
        """Keep reading a replaced watch for its drains, even one without an answer yet.

        Drains that discovery writes there count as told, and the new server may learn of them later.
        """
        self.watch = None
        self.abandoned.append(watch)
        watch.set_silence_timeout(ABANDONED_WATCH_TIME)
        while len(self.abandoned) > MAX_ABANDONED_WATCHES:
            self.abandoned.pop(0).salvage_and_stop()

    def figures(self) -> dict[str, object]:
        """Additional figures for the pool's log line: none."""
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
        """Take the drains from a line that was cut off, can't be read, or came on an abandoned watch.

        Drains that discovery has begun to send count as told however the line ends, so they must not be
        missed. The known version stays, so the whole line is sent again.
        """
        drains = self._unlisted_endpoints(fragment) or read_drains(EntryScanner().scan(fragment))
        for drain in drains:
            self.drain_memory.record(
                drain.endpoint.id, find_version(fragment) or (self.index or 0) + 1, time.monotonic()
            )
        self._take_drains(drains)

    def take_begun(self, entries: list[object]) -> None:
        """Take the drains among entries of a list whose text goes on, and may take long to end.

        They need not be remembered: that list follows, or else `take_fragment`.
        """
        self._take_drains(read_drains(entries))

    def _take_drains(self, drains: tuple[ListedEndpoint, ...]) -> None:
        if drains:
            log_event("drains-in-part", discovery=self.address, drains=len(drains))
            self._notify(ListKind.PARTIAL, drains)

    def _unlisted_endpoints(self, fragment: bytes) -> tuple[ListedEndpoint, ...]:
        """Removals implied by a complete list, not older than the known version, that omits endpoints."""
        try:
            update = read_update(json.loads(fragment), self.zones)
        except ValueError:
            return ()
        if not update.complete or update.index < (self.index or 0):
            return ()
        ready = {e.endpoint.id for e in update.entries if e.address is not None}
        return tuple(ListedEndpoint(Endpoint(id, Condition.GONE), None) for id in self.ready_ids - ready)

    def take_list(self, text: bytes, advance: bool) -> None:
        """Process one object of the watch; raises ValueError if it can't be read."""
        update = read_update(json.loads(text), self.zones)
        if advance:
            self.index = update.index
        log_event(
            "list-heard",
            discovery=self.address,
            index=update.index,
            whole=str(update.complete).lower(),
            entries=len(update.entries),
        )
        now, index = time.monotonic(), update.index
        entries = tuple(
            e
            for e in update.entries
            if e.address is None or not self.drain_memory.contradicts(e.endpoint.id, index, now)
        )
        self._notify(ListKind.FULL if update.complete else ListKind.DELTA, entries)

    def take_heartbeat(self) -> None:
        """The watch is alive and nothing has changed."""
        self._notify(ListKind.DELTA, ())

    def _notify(self, kind: ListKind, entries: tuple[ListedEndpoint, ...]) -> None:
        if kind.complete:
            self.ready_ids.clear()
        for entry in entries:
            if entry.address is not None:
                self.ready_ids.add(entry.endpoint.id)
            elif entry.endpoint.condition is not Condition.READY:
                self.ready_ids.discard(entry.endpoint.id)
        self.on_update(kind, entries)

    def watch_failed(self, watch: Watch, why: str, kind: ListKind = ListKind.FAILED) -> None:
        """Handle the end or silence of a watch; notify the balancer once, and only of the current watch."""
        if watch in self.abandoned:
            self.abandoned.remove(watch)
            watch.salvage_and_stop()
            return
        if watch is not self.watch:
            return
        self.watch = None
        watch.salvage_and_stop()
        watch.log_end(why)
        self._notify(kind, ())


def first_line_timeout(settings: Settings) -> float:
    """The time (s) within which the first line of a watch must come."""
    return AGENT_FIRST_LINE_TIMEOUT if settings.local_agent else FIRST_LINE_TIMEOUT


def platform_discovery(config: Config, on_update: UpdateCallback) -> Discovery:
    """The platform's discovery: a service shared by all sidecars, or a local agent where lists are pushed."""
    return Discovery(config.discovery, config.zones, on_update, first_line_timeout(config.settings))


class Watch(asyncio.Protocol):
    """A watch: a response that stays open, split into lines independently of how reads fall."""

    def __init__(self, discovery: Discovery) -> None:
        self.discovery = discovery
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.requested_at = self.last_read_at = time.monotonic()
        self.connected = False
        self.answered = False  # a 200 answer has begun
        self.stopped = False
        self.end_cause = ""
        self.has_list = False  # a list or changes were read; heartbeats before that carry no information
        self.has_gap = False  # a line could not be read
        self.silence_timer: asyncio.TimerHandle | None = None
        self.buffer = bytearray()  # a line that has begun
        self.text = WatchText()
        self.scanner = EntryScanner()  # of the object that has begun

    def stop(self) -> None:
        self.stopped = True
        if self.silence_timer is not None:
            self.silence_timer.cancel()
        if self.transport is not None:
            self.transport.abort()

    def salvage_and_stop(self) -> None:
        """Close the watch, and take the drains of a partial list and of unread data in the socket.

        All of that was written to this sidecar, so it counts as told.
        """
        if self.transport is not None:
            with suppress(httptools.HttpParserError, httptools.HttpParserUpgrade):
                self.parser.feed_data(read_undelivered(self.transport, MAX_LIST_SIZE))
        *lines, self.buffer = self.buffer.split(b"\n")
        texts = [text for line in lines for text in self.text.take(bytes(line))]
        for text in (*texts, self._incomplete()):
            self.discovery.take_fragment(text)
        self.buffer.clear()
        self.text = WatchText()
        self.stop()

    def _incomplete(self) -> bytes:
        """The text of the object that has begun."""
        return bytes(self.text.pending + self.buffer)

    def log_end(self, cause: str) -> None:
        """Log why the watch ended, with its timing."""
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
        """Fail the watch if no line comes in time: a partitioned discovery leaves the connection open."""
        if self.silence_timer is not None:
            self.silence_timer.cancel()
        self.silence_timer = asyncio.get_running_loop().call_later(
            timeout, self.discovery.watch_failed, self, "no data within the timeout", ListKind.SILENT
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
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.end_cause = self.end_cause or f"malformed HTTP response: {error}"
        *lines, self.buffer = self.buffer.split(b"\n")
        for line in lines:
            for text in self.text.take(bytes(line)):
                self._take_text(text)
        if len(self.text.pending) + len(self.buffer) > MAX_LIST_SIZE:
            self.end_cause = "list too long"
        if self.end_cause:
            # Only now: lines before the end in the same read were told, and their drains count.
            self.discovery.watch_failed(self, self.end_cause, self._end_kind())
        elif not self.stopped:
            self._take_begun()

    def _take_begun(self) -> None:
        """Take the drains of a list that has begun: they are told, however long the rest takes."""
        incomplete = self._incomplete()
        if DRAIN_MARK not in incomplete:
            return
        if self in self.discovery.abandoned:
            self.discovery.take_fragment(incomplete)
        else:
            self.discovery.take_begun(self.scanner.scan(incomplete))

    def _take_text(self, text: bytes) -> None:
        """Process an object of the watch, or a heartbeat."""
        self.scanner = EntryScanner()
        if self.stopped:
            return
        if self in self.discovery.abandoned:
            self.discovery.take_fragment(text)
            return
        self.set_silence_timeout(SILENCE_TIMEOUT)
        if not text:
            if self.has_list and not self.has_gap:
                self.discovery.take_heartbeat()
            return
        try:
            self.discovery.take_list(text, advance=not self.has_gap)
            self.has_list = True
        except ValueError as error:
            # The known version stops here, so that this list's changes are sent again and not missed. The
            # lists after it are applied without advancing the version.
            self.has_gap = True
            self.end_cause = f"unreadable list: {error}"
            self.discovery.take_fragment(text)

    def connection_lost(self, exc: Exception | None) -> None:
        self.discovery.watch_failed(self, "connection lost", self._end_kind())

    def _end_kind(self) -> ListKind:
        return ListKind.BROKEN_OFF if self.answered else ListKind.FAILED

    # Callbacks of httptools

    def on_headers_complete(self) -> None:
        self.answered = self.parser.get_status_code() == 200

    def on_body(self, body: bytes) -> None:
        if self.parser.get_status_code() == 200:
            self.buffer += body

    def on_message_complete(self) -> None:
        if self.buffer.strip():
            self.buffer += b"\n"
        self.end_cause = f"response with status {self.parser.get_status_code()} ended"
