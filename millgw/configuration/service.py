"""The HTTP API of a control instance, for both a voter (`instance`) and a relay (`relay`)."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from millgw.configuration.document import (
    Change,
    DocumentError,
    decode_changes,
    decode_count,
    encode_line,
)
from millgw.configuration.history import NO_VERSION, History
from millgw.configuration.messages import MAX_CHANGES, MAX_MESSAGE
from millgw.configuration.reports import (
    Reports,
    ReportsFullError,
    decode_report,
    encode_sidecar,
    is_sidecar_name,
    summarize,
)
from millgw.configuration.request_reader import Request
from millgw.configuration.server import Connection, Response, error_response, json_response
from millgw.configuration.transport import REPLICA_PATH
from millgw.configuration.watchers import (
    HEARTBEAT_GROUPS,
    HEARTBEAT_INTERVAL,
    TooManyWatchesError,
    Watch,
    Watchers,
)

CONFIGURATION_PATH = "/v1/configuration"
REPORTS_PATH = "/v1/configuration/reports"
STATUS_PATH = "/v1/configuration/status"
MAX_PROPOSAL = 2 * MAX_CHANGES  # bytes; body of a proposal, whose JSON may have whitespace and escapes
MAX_REPORT = 4 * 1024  # bytes; body of a report
FORGET_INTERVAL = 10.0  # s between removals of sidecars that are gone

Reply = Callable[[Response], None]


@dataclass(slots=True, frozen=True)
class InstanceView:
    """An instance's view of itself and of the cluster."""

    role: str
    epoch: int
    leader: str | None  # address of the leader
    index: int  # newest known version, committed or not
    quorum: bool


@dataclass(slots=True, frozen=True)
class Proposal:
    """A proposed version; `at` is Unix time in ms."""

    changes: tuple[Change, ...]
    author: str
    reason: str
    if_index: int | None
    at: float


class Backend(Protocol):
    """The operations that a voter and a relay implement differently."""

    def view(self) -> InstanceView: ...

    def propose(self, proposal: Proposal, reply: Reply) -> None:
        """Call `reply` once the outcome is known."""

    def receive(self, sender: str, body: bytes) -> Response:
        """Process a message from another instance."""


class SidecarStream:
    """Forwards the events of a connection to its watch."""

    def __init__(self, service: ControlService, watch: Watch) -> None:
        self.service = service
        self.watch = watch

    def drained(self) -> None:
        self.service.watchers.drained(self.watch)

    def connection_closed(self) -> None:
        self.service.watch_ended(self.watch)


class ControlService:
    """Serves the committed document, watches, reports and the status; the backend handles the rest."""

    def __init__(self, name: str, backend: Backend, clock: Callable[[], float] = time.monotonic) -> None:
        self.name = name
        self.backend = backend
        self.clock = clock
        self.history = History()
        self.watchers = Watchers(self.history, clock)
        self.reports = Reports()
        self._heartbeat_timer: asyncio.TimerHandle | None = None
        self._forget_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start the timers for heartbeats and for the removal of sidecars that are gone."""
        self._send_heartbeats()
        self._forget_sidecars()

    def stop(self) -> None:
        """Stop the timers and close all watches."""
        for timer in (self._heartbeat_timer, self._forget_timer):
            if timer is not None:
                timer.cancel()
        self.watchers.close_all()

    def watch_ended(self, watch: Watch) -> None:
        """A watch's connection was closed or lost."""
        self.watchers.close(watch)
        if watch.name:
            self.reports.watch_closed(self.clock(), watch.name)

    # Service

    def max_body(self, path: str) -> int:
        """The largest request body for this path, in bytes."""
        return {REPLICA_PATH: MAX_MESSAGE, CONFIGURATION_PATH: MAX_PROPOSAL}.get(path, MAX_REPORT)

    def handle(self, request: Request, connection: Connection) -> None:
        """Handle one request."""
        handlers = self._handlers().get(request.path)
        if handlers is None:
            connection.reply(error_response(404, "no such call"))
            return
        handler = handlers.get(request.method)
        if handler is None:
            connection.reply(Response(405, allow=", ".join(sorted(handlers))))
            return
        try:
            handler(request, connection)
        except DocumentError as error:
            connection.reply(error_response(400, str(error)))

    def _handlers(self) -> dict[str, dict[str, Callable[[Request, Connection], None]]]:
        return {
            CONFIGURATION_PATH: {"GET": self._get, "POST": self._propose},
            REPORTS_PATH: {"POST": self._report},
            STATUS_PATH: {"GET": self._status},
            REPLICA_PATH: {"POST": self._receive},
        }

    # Request handlers

    def _get(self, request: Request, connection: Connection) -> None:
        if request.query.get("watch", "0") in ("", "0"):
            connection.reply(Response(200, encode_line(self.history.document.snapshot())))
            return
        position = _query_int(request, "from", NO_VERSION)
        name = request.query.get("name", "")
        if name and not is_sidecar_name(name):
            raise DocumentError("name: not a sidecar's name")
        try:
            watch = self.watchers.add(connection, name, position)
        except TooManyWatchesError as error:
            connection.reply(error_response(503, str(error)))
            return
        connection.begin_stream(SidecarStream(self, watch))
        self.watchers.begin(watch)
        if name:
            self.reports.watch_opened(self.clock(), name)

    def _propose(self, request: Request, connection: Connection) -> None:
        proposal = decode_proposal(request.body, time.time() * 1000)
        self.backend.propose(proposal, connection.reply)

    def _report(self, request: Request, connection: Connection) -> None:
        report = decode_report(request.body)
        try:
            self.reports.record(self.clock(), report)
        except ReportsFullError as error:
            connection.reply(error_response(503, str(error)))
            return
        connection.reply(Response(204))

    def _receive(self, request: Request, connection: Connection) -> None:
        connection.reply(self.backend.receive(request.query.get("from", ""), request.body))

    def _status(self, request: Request, connection: Connection) -> None:
        index = _query_int(request, "index", self.history.index)
        with_sidecars = request.query.get("sidecars", "0") not in ("", "0")
        connection.reply(json_response(200, self.status(index, with_sidecars)))

    def status(self, index: int, with_sidecars: bool = False) -> dict[str, Any]:
        """The instance's view of the cluster, and which sidecars have applied version `index`."""
        view = self.backend.view()
        summary = summarize(self.reports.sidecars.values(), index, self.history.digests)
        fields: dict[str, Any] = {
            "name": self.name,
            "role": view.role,
            "epoch": view.epoch,
            "leader": view.leader,
            "index": view.index,
            "committed": self.history.index,
            "digest": self.history.digests.get(self.history.index, ""),
            "quorum": view.quorum,
            "watchers": self.watchers.count,
            "watchers_cut": self.watchers.closed_slow,
            "in_force": summary.fields(),
            "refusals": summary.refusal_fields(),
        }
        if with_sidecars:
            now = self.clock()
            fields["sidecars"] = [encode_sidecar(s, now) for s in self.reports.sidecars.values()]
        return fields

    # Timers

    def _send_heartbeats(self) -> None:
        self.watchers.send_heartbeats()
        after = HEARTBEAT_INTERVAL / HEARTBEAT_GROUPS
        self._heartbeat_timer = asyncio.get_running_loop().call_later(after, self._send_heartbeats)

    def _forget_sidecars(self) -> None:
        self.reports.forget_old(self.clock())
        self._forget_timer = asyncio.get_running_loop().call_later(FORGET_INTERVAL, self._forget_sidecars)


def decode_proposal(body: bytes, at: float) -> Proposal:
    """Decode a proposal from JSON; a DocumentError names the invalid field."""
    try:
        fields = json.loads(body, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as error:
        raise DocumentError(f"proposal: {error}") from None
    if not isinstance(fields, dict):
        raise DocumentError("proposal: not an object")
    changes = decode_changes(fields.get("changes"), "changes")
    if not changes:
        raise DocumentError("changes: there are none")
    for name in ("author", "reason"):
        if not isinstance(fields.get(name, ""), str):
            raise DocumentError(f"{name}: not a string")
    if_index = decode_count(fields, "if_index") if fields.get("if_index") is not None else None
    return Proposal(changes, fields.get("author", ""), fields.get("reason", ""), if_index, at)


def _refuse_constant(name: str) -> float:
    raise ValueError(f"{name} is no JSON")


def _query_int(request: Request, name: str, default: int) -> int:
    """A non-negative integer from the query string."""
    text = request.query.get(name)
    if text is None:
        return default
    if not (text.isascii() and text.isdigit() and len(text) <= 18):
        raise DocumentError(f"{name}: not a whole number of 0 or more")
    return int(text)
