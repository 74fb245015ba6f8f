"""Stand-in service discovery: an endpoint list with watches, delayed by seconds, of limited capacity.

Each sidecar has its own address to ask at, so that the ledger records what was sent to which sidecar. Calls
and watch lines share one queue; a call that would wait too long in it is answered with 503.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from urllib.parse import parse_qs, urlsplit

from millgw.platform.config import Address
from millgw.standins.address import free_address
from millgw.standins.endpoint_registry import EndpointRegistry, Entry
from millgw.standins.http import Clock, Listener, Message, ServerConnection, listener, ok, status
from millgw.standins.ledger import DiscoveryQuery, Ledger, Outage, SentStatus, StatusChange

HEARTBEAT = 2.0  # s between the empty lines that keep a watch alive
STATUS_ORDER = {"in_service": 0, "terminating": 1, "terminated": 2}
DELAY_SEED = "cadastro"  # the former name, kept so that a scenario's seed gives the same delays as before
WATCH_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"


class OutageKind(StrEnum):
    """What happens to a call while the discovery server is down."""

    REFUSED = "refused"  # the connection is refused
    RESET = "reset"  # its connection is reset after the request was read
    FULL = "full"  # 503 at once
    LATE_FULL = "late-full"  # 503 after `Capacity.timeout`
    SILENT = "silent"  # never answered, even after the outage


@dataclass(slots=True, frozen=True)
class Delays:
    """Delays after which the discovery server notices events: ranges in ms from which they are drawn."""

    notice: tuple[float, float] = (2000.0, 5000.0)  # a process ends or drains
    silent: tuple[float, float] = (4700.0, 13000.0)  # a machine vanishes without a notice
    add: tuple[float, float] = (460.0, 2400.0)  # a process starts


@dataclass(slots=True, frozen=True)
class Capacity:
    """Service capacity: lines per second, the cost of a call in lines, the longest wait of a call in ms."""

    lines: float = 760.0
    call: float = 40.0
    timeout: float = 3000.0


class SidecarPort:
    """One sidecar's address at the discovery server, with its calls and watches."""

    def __init__(self, discovery_server: DiscoveryServer, sidecar: str, tier: int) -> None:
        self.discovery_server = discovery_server
        self.tier = tier
        self.registry = discovery_server.registry(tier)
        self.clock = discovery_server.clock
        self.sidecar = sidecar
        self.address: Address = free_address()
        self.listener: Listener = listener(self.address, self)
        self.connections: set[ServerConnection] = set()
        self.watches: dict[ServerConnection, Watch] = {}

    def opened(self, connection: ServerConnection) -> None:
        self.connections.add(connection)

    def bytes_came(self, connection: ServerConnection) -> bool:
        return True

    def lost(self, connection: ServerConnection) -> None:
        self.connections.discard(connection)
        watch = self.watches.pop(connection, None)
        if watch is not None:
            watch.end()

    def asked(self, connection: ServerConnection, message: Message) -> None:
        method, target, _ = message.first_line.split(" ", 2)
        url = urlsplit(target)
        if method != "GET" or url.path != "/v1/endpoints":
            connection.write(status(404))
            connection.request_done()
            return
        query = parse_qs(url.query)
        since = query.get("from", [""])[0]
        index = int(since) if since.isdigit() else None
        asked = DiscoveryQuery(self.sidecar, self.clock(), tier=self.tier)
        self.discovery_server.ledger.discovery_queries.append(asked)
        watch = Watch(self, connection, index, asked) if query.get("watch") == ["1"] else None
        if watch is not None:
            self.watches[connection] = watch
        else:
            asked.until = asked.at
        _, entries = self.registry.changes_since(index if watch else None)
        if self.discovery_server.down:
            self._handle_outage(connection)
            return
        cost = self.discovery_server.capacity.call + len(entries)
        if not self.discovery_server.queue(cost, lambda: self._answer(connection, watch), call=True):
            self._answer_full(connection)

    def _handle_outage(self, connection: ServerConnection) -> None:
        """Handle a call during an outage that does not refuse connections."""
        kind = self.discovery_server.outage_kind
        if kind is OutageKind.RESET:
            connection.reset()
        elif kind is OutageKind.FULL:
            self._answer_full(connection)
        elif kind is OutageKind.LATE_FULL:
            wait = self.discovery_server.capacity.timeout / 1000
            asyncio.get_running_loop().call_later(wait, self._answer_full, connection)

    @staticmethod
    def _answer_full(connection: ServerConnection) -> None:
        connection.write(status(503))
        connection.close()

    def _answer(self, connection: ServerConnection, watch: Watch | None) -> None:
        if connection.closed or self.discovery_server.down:
            return
        if watch is not None:
            connection.write(WATCH_HEAD)
            watch.flush(first=True)
            return
        body = json.dumps(
            self.discovery_server.update_for(self, True, tuple(self.registry.entries.values()))
        ).encode()
        connection.write(ok(body, "Content-Type: application/json\r\n"))
        connection.request_done()


class Watch:
    """One watch: a stream of lines with changes, and of empty lines as heartbeats."""

    def __init__(
        self, port: SidecarPort, connection: ServerConnection, index: int | None, asked: DiscoveryQuery
    ) -> None:
        self.port = port
        self.connection = connection
        self.index = index
        self.asked = asked
        self.queued = True  # the first line is already queued
        self.heartbeat: asyncio.TimerHandle | None = None
        self.silenced = False

    def silence(self) -> None:
        """Send nothing more but keep the connection open, as in a network partition."""
        self.silenced = True
        self.end()

    def flush(self, first: bool = False) -> None:
        """Write what has changed since the previous line."""
        self.queued = False
        discovery_server = self.port.discovery_server
        if self.connection.closed or discovery_server.down or self.silenced:
            return
        snapshot, entries = self.port.registry.changes_since(self.index)
        if first or snapshot or entries:
            self.index = self.port.registry.index
            line = json.dumps(discovery_server.update_for(self.port, snapshot, entries)).encode() + b"\n"
            self._write(line)
        self._schedule_heartbeat()

    def changed(self) -> None:
        if not self.queued:
            self.queued = True
            self.port.discovery_server.queue(1.0, self.flush)

    def _schedule_heartbeat(self) -> None:
        if self.heartbeat is not None:
            self.heartbeat.cancel()
        self.heartbeat = asyncio.get_running_loop().call_later(HEARTBEAT, self._send_heartbeat)

    def _send_heartbeat(self) -> None:
        self._write(b"\n")
        self._schedule_heartbeat()

    def _write(self, line: bytes) -> None:
        self.connection.write(b"%x\r\n%b\r\n" % (len(line), line))

    def end(self) -> None:
        if self.asked.until is None:
            self.asked.until = self.port.clock()
        if self.heartbeat is not None:
            self.heartbeat.cancel()


class DiscoveryServer:
    """The discovery service of all tiers; `down` is true during an outage."""

    def __init__(self, ledger: Ledger, clock: Clock, seed: int, delays: Delays, capacity: Capacity) -> None:
        self.ledger = ledger
        self.clock = clock
        self.rng = random.Random(f"{DELAY_SEED} {seed}")
        self.delays = delays
        self.capacity = capacity
        self.registries: dict[int, EndpointRegistry] = {}
        self.ports: dict[tuple[str, int], SidecarPort] = {}
        self.down = False
        self.outage_kind = OutageKind.REFUSED
        self.busy_until = 0.0
        self.latest_entries: dict[str, Entry] = {}  # the latest entry of every endpoint that was ever listed

    def registry(self, tier: int) -> EndpointRegistry:
        return self.registries.setdefault(tier, EndpointRegistry())

    def address_for(self, sidecar: str, tier: int) -> Address:
        """Return the address at which a sidecar asks for a tier's endpoints; created on first use."""
        if (sidecar, tier) not in self.ports:
            self.ports[sidecar, tier] = port = SidecarPort(self, sidecar, tier)
            if not self.refuses:
                port.listener.open()
        return self.ports[sidecar, tier].address

    @property
    def refuses(self) -> bool:
        """Whether connections are refused at the moment."""
        return self.down and self.outage_kind is OutageKind.REFUSED

    # Endpoint list

    def apply_change(self, entry: Entry) -> None:
        """Apply a change to the list now."""
        self.latest_entries[entry.name] = entry
        self.ledger.status_changes.append(StatusChange(entry.name, entry.life, entry.status, self.clock()))
        registry = self.registry(entry.tier)
        registry.apply(entry)
        if not self.down:
            for port in self.ports.values():
                if port.registry is registry:
                    for watch in port.watches.values():
                        watch.changed()

    def apply_late(self, entry: Entry, late: tuple[float, float]) -> None:
        """Apply a change after a delay (ms) drawn from `late`, unless a newer one was applied meanwhile."""
        delay = self.rng.uniform(*late) / 1000
        asyncio.get_running_loop().call_later(delay, self._apply_if_newer, entry)

    def _apply_if_newer(self, entry: Entry) -> None:
        last = self.latest_entries.get(entry.name)
        # Otherwise a late notice would undo a newer one: that of an older life, or a start after the drain.
        if last is None or (last.life, STATUS_ORDER[last.status]) < (entry.life, STATUS_ORDER[entry.status]):
            self.apply_change(entry)

    def update_for(self, port: SidecarPort, snapshot: bool, entries: tuple[Entry, ...]) -> dict[str, object]:
        """Build the JSON value of a line or list, and record it as sent to the sidecar now."""
        now, record = self.clock(), self.ledger.sent_statuses.append
        for entry in entries:
            record(SentStatus(port.sidecar, entry.name, entry.life, entry.status, now))
        if snapshot:
            names = {entry.name for entry in entries}
            for last in self.latest_entries.values():
                if last.name not in names and self.registry(last.tier) is port.registry:
                    record(SentStatus(port.sidecar, last.name, last.life, "terminated", now))
        return {
            "index": port.registry.index,
            "snapshot": snapshot,
            "endpoints": [entry.json() for entry in entries],
        }

    # Request queue

    def queue(self, lines: float, work: Callable[[], None], call: bool = False) -> bool:
        """Schedule work that costs `lines`; returns False for a call that would wait too long."""
        now = self.clock()
        start = max(now, self.busy_until)
        if call and start - now > self.capacity.timeout:
            return False
        self.busy_until = start + lines / self.capacity.lines * 1000
        asyncio.get_running_loop().call_later((self.busy_until - now) / 1000, work)
        return True

    # Faults

    def start_outage(self, kind: OutageKind = OutageKind.REFUSED) -> None:
        """Start an outage: watches are reset, queued lines are lost, new calls are handled as `kind` says."""
        self.down = True
        self.outage_kind = kind
        self.ledger.outages.append(Outage(self.clock()))
        for port in self.ports.values():
            if self.refuses:
                port.listener.close()
            for connection in list(port.connections):
                connection.reset()

    def end_outage(self, history: bool = True) -> None:
        """End the outage; the list has all changes made meanwhile.

        `history=False` simulates a restart that has lost the history, so that watches get the whole list.
        """
        if not history:
            for registry in self.registries.values():
                registry.forget_history()
        self.down = False
        self.ledger.outages[-1].until = self.clock()
        self.busy_until = self.clock()
        if self.outage_kind is not OutageKind.REFUSED:
            return
        for port in self.ports.values():
            port.listener.open()

    def silence_watches(self) -> None:
        """Stop sending on all open watches; new ones are served normally."""
        for port in self.ports.values():
            for watch in port.watches.values():
                watch.silence()

    def close(self) -> None:
        self.start_outage()
