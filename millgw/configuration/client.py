"""Client of the distributed configuration in a sidecar: performs the I/O that the follower decides on.

It holds one watch, an HTTP response that stays open and is split into lines, and opens one short connection
for each report. If one read brings several versions, only the newest is applied. Calls never wait for this.
"""

from __future__ import annotations

import asyncio
import math
import time
from dataclasses import dataclass
from typing import Protocol, cast

import httptools

from millgw.configuration.apply import Entries, RefusedVersionError, RestartRequiredError
from millgw.configuration.document import Document
from millgw.configuration.follower import (
    Connect,
    Disconnect,
    Follower,
    LineOutcome,
    Report,
    SendReport,
)
from millgw.configuration.last_good import LastGoodFile
from millgw.log.events import log_event
from millgw.platform.config import read_address

MAX_LINE_BYTES = 10 * 1024 * 1024  # bytes; control instances accept documents of up to 8 MB
MAX_RESPONSE_BYTES = 64 * 1024  # bytes of the response to a report
REPORT_TIMEOUT_S = 2.0  # s for sending one report
START_TIMEOUT_S = 1.0  # s that startup waits for the first version before it goes on without one
FILE_DESCRIPTORS = 3  # file descriptors: the watch, a report, the last-good file
MIN_TIMER_S = 0.001  # s; an event loop clock with a resolution of 1 ms can fire too early


class Target(Protocol):
    """What the entries of the distributed document are applied to.

    Both methods raise RefusedVersionError, without changing anything, for entries that can't be used.
    """

    def check(self, entries: Entries) -> None:
        """Check that the sidecar could start with these entries."""

    def reconfigure(self, entries: Entries) -> None:
        """Apply all these entries at once."""


@dataclass(slots=True)
class Traffic:
    """Counters for the operators' endpoint. Bytes are those of HTTP, without TCP overhead."""

    bytes_in: int = 0
    bytes_out: int = 0
    reports: int = 0
    reports_failed: int = 0


class Client:
    """Follows the distributed configuration for one sidecar.

    Until `serving` is set, versions are only checked: the sidecar has no pools yet, and starts with the
    entries that `start` returns. After that, each version is applied to the running pools.
    """

    descriptors = FILE_DESCRIPTORS

    def __init__(
        self, name: str, instances: tuple[str, ...], last_good: LastGoodFile | None, seed: int, target: Target
    ) -> None:
        self.name = name
        self.instances = instances
        self.last_good = last_good
        self.seed = seed
        self.target = target
        self.serving = False
        self.follower = Follower(instances, seed)
        self.applied_document: Document | None = None  # the version in force
        self.traffic = Traffic()
        self.watch: Watch | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self.report_tasks: set[asyncio.Task[None]] = set()
        self.timer: asyncio.TimerHandle | None = None
        self.first_attempt_done = asyncio.Event()  # a first version arrived or the first connection failed
        self.connected = False  # whether a watch is established; its loss is logged once
        self.apply_duration_s = 0.0  # s from the arrival of the last version until it was in force
        self.stopped = False

    # Start and end

    async def start(self) -> Entries:
        """Start following; return the entries to start with, none if no version can be used.

        Without a usable version on disk it waits up to `START_TIMEOUT_S` seconds for the first one.
        """
        refused: list[tuple[int, str]] = []  # versions on disk that a start can't use, the newest first
        for document in () if self.last_good is None else self.last_good.read():
            self.follower = Follower(self.instances, self.seed, document)
            log_event("last-good-read", index=document.index, epoch=document.epoch)
            self._apply(time.monotonic())
            if self.applied_document is not None:
                break
            refused.append((document.index, self.follower.refusal_cause))
            self.follower = Follower(self.instances, self.seed)
        if refused:
            self.follower.refused_before_start(*refused[0])
        self._run_actions()
        if self.applied_document is None:
            try:
                async with asyncio.timeout(START_TIMEOUT_S):
                    await self.first_attempt_done.wait()
            except TimeoutError:
                log_event("control-late", within_ms=round(START_TIMEOUT_S * 1000))
        return {} if self.applied_document is None else self.applied_document.entries

    def stop(self) -> None:
        """Stop following. A write of the last-good file that is in progress is completed."""
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()
        self._close_watch()
        for task in self.report_tasks:
            task.cancel()

    # Actions of the follower

    def _now(self) -> float:
        return time.monotonic() * 1000

    def _run_actions(self) -> None:
        """Perform all actions that are due, and set a timer for the next one."""
        if self.stopped:
            return
        while (action := self.follower.next_action(self._now())) is not None:
            if isinstance(action, Connect):
                self._connect(action)
            elif isinstance(action, Disconnect):
                self._watch_lost(action.cause)
            else:
                self._report(action)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        due = self.follower.due()
        if due < math.inf:
            wait = max(MIN_TIMER_S, (due - self._now()) / 1000 + MIN_TIMER_S)
            self.timer = asyncio.get_running_loop().call_later(wait, self._run_actions)

    def _connect(self, action: Connect) -> None:
        watch = self.watch = Watch(self, action)
        self.connect_task = asyncio.get_running_loop().create_task(self._open_connection(watch))

    async def _open_connection(self, watch: Watch) -> None:
        address = read_address(watch.connect.instance)
        try:
            await asyncio.get_running_loop().create_connection(lambda: watch, address.host, address.port)
        except OSError as error:
            self.watch_ended(watch, str(error))

    def _close_watch(self) -> None:
        if self.connect_task is not None:
            self.connect_task.cancel()
            self.connect_task = None
        if self.watch is not None:
            watch, self.watch = self.watch, None
            watch.stop()

    def _watch_lost(self, cause: str) -> None:
        """Close the watch; log the loss once per watch that was established."""
        instance = "" if self.watch is None else self.watch.connect.instance
        self._close_watch()
        self.first_attempt_done.set()
        if self.connected:
            self.connected = False
            log_event("control-lost", instance=instance, cause=cause)

    # Events of the watch

    def watch_ended(self, watch: Watch, cause: str) -> None:
        """Handle a watch that ended or could not be opened."""
        if watch is self.watch:
            self.follower.connection_ended(self._now())
            self._watch_lost(cause)
            self._run_actions()

    def handle_lines(self, watch: Watch, lines: list[bytes]) -> None:
        """Process the lines of one read, and apply the newest version among them."""
        arrived = time.monotonic()
        newer = False
        for data in lines:
            if watch is not self.watch:
                break
            newer |= self._handle_line(watch, data)
        if newer:
            self._apply(arrived)
        self._run_actions()

    def _handle_line(self, watch: Watch, data: bytes) -> bool:
        """Process one line; return whether it brought a newer document."""
        outcome = self.follower.handle_line(self._now(), data)
        if outcome in (LineOutcome.UNREADABLE, LineOutcome.GAP):
            self._watch_lost(f"{outcome.value}: a line that can't be used")
        elif not self.connected:
            self.connected = True
            log_event("control-up", instance=watch.connect.instance, index=self.follower.latest.index)
        if outcome is LineOutcome.CONTRADICTS and self.follower.last_report is not None:
            cause = self.follower.last_report.cause
            log_event("configuration-contradicts", instance=watch.connect.instance, cause=cause)
        if outcome is not LineOutcome.HEARTBEAT:
            self.first_attempt_done.set()
        return outcome is LineOutcome.NEWER

    def _apply(self, arrived: float) -> None:
        """Check or apply the newest version, as a whole or not at all."""
        follower = self.follower
        document = follower.latest
        use = self.target.reconfigure if self.serving else self.target.check
        try:
            use(document.entries)
        except RestartRequiredError as error:
            self._refuse(document, self._start_refusal(document) or error)
            return
        except RefusedVersionError as error:
            self._refuse(document, error)
            return
        self.apply_duration_s = time.monotonic() - arrived
        follower.accepted(self._now())
        took = round(self.apply_duration_s * 1000, 2)
        log_event("configuration-applied", index=document.index, epoch=document.epoch, took_ms=took)
        self.applied_document = document.copy()
        self._save_last_good()

    def _start_refusal(self, document: Document) -> RefusedVersionError | None:
        """Why a start could not use a version either, None if it can."""
        try:
            self.target.check(document.entries)
        except RefusedVersionError as error:
            return error
        return None

    def _refuse(self, document: Document, error: RefusedVersionError) -> None:
        """Go on with the version in force; a version that takes a restart is kept for the next start."""
        cause = str(error)
        self.follower.rejected(self._now(), cause)
        log_event("configuration-refused", index=document.index, epoch=document.epoch, cause=cause)
        if isinstance(error, RestartRequiredError):
            self._save_last_good(document)

    def _save_last_good(self, *newer: Document) -> None:
        """Save the version in force, preceded by a newer one that takes a restart, if any."""
        if self.last_good is not None:
            self.last_good.save(*newer, *(() if self.applied_document is None else (self.applied_document,)))

    # Reports

    def _report(self, action: SendReport) -> None:
        instance = self.follower.instance
        task = asyncio.get_running_loop().create_task(self._send_report(instance, action.report))
        self.report_tasks.add(task)
        task.add_done_callback(self.report_tasks.discard)

    async def _send_report(self, instance: str, report: Report) -> None:
        address = read_address(instance)
        post = ReportRequest(instance, report.encode(self.name), self.traffic)
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                await asyncio.get_running_loop().create_connection(lambda: post, address.host, address.port)
                arrived = await post.accepted
        except (OSError, TimeoutError):
            arrived = False
        finally:
            post.stop()
        if arrived:
            self.traffic.reports += 1
        else:
            self.traffic.reports_failed += 1
            self.follower.report_failed(self._now(), report)
            self._run_actions()

    # For operators

    def figures(self) -> dict[str, object]:
        """State of the configuration client; docs/configuration-sidecar.md describes each field."""
        follower, traffic = self.follower, self.traffic
        refused: dict[str, object] = {}
        if follower.refused is not None:
            refused = {"index": follower.refused, "cause": follower.refusal_cause}
        return {
            "index": follower.applied,
            "epoch": follower.applied_epoch,
            "digest": follower.applied_digest,
            "refused": refused,
            "instance": follower.instance if self.connected else "",
            "connects": follower.connects,
            "contradictions": follower.contradictions,
            "reports": traffic.reports,
            "reports_failed": traffic.reports_failed,
            "bytes_in": traffic.bytes_in,
            "bytes_out": traffic.bytes_out,
            "applied_in_ms": round(self.apply_duration_s * 1000, 3),
        }


class Watch(asyncio.Protocol):
    """One watch: an HTTP response that stays open, split into lines whatever the boundaries of the reads."""

    def __init__(self, client: Client, connect: Connect) -> None:
        self.client = client
        self.connect = connect
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.stopped = False
        self.partial_line = bytearray()
        self.end_cause = ""

    def stop(self) -> None:
        """Close the connection and ignore whatever still arrives."""
        self.stopped = True
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.stopped:
            self.transport.abort()
            return
        since = "" if self.connect.since is None else f"&from={self.connect.since}"
        target = f"/v1/configuration?watch=1{since}&name={percent_encoded(self.client.name)}"
        head = f"GET {target} HTTP/1.1\r\nHost: {self.connect.instance}\r\n\r\n".encode()
        self.client.traffic.bytes_out += len(head)
        self.transport.write(head)

    def data_received(self, data: bytes) -> None:
        self.client.traffic.bytes_in += len(data)
        if self.stopped:
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.end_cause = self.end_cause or f"malformed answer: {error}"
        *lines, self.partial_line = self.partial_line.split(b"\n")
        if lines:
            self.client.handle_lines(self, [bytes(line) for line in lines])
        if len(self.partial_line) > MAX_LINE_BYTES:
            self.end_cause = "a line is too long"
        if self.end_cause:
            self.client.watch_ended(self, self.end_cause)

    def connection_lost(self, exc: Exception | None) -> None:
        self.client.watch_ended(self, "connection lost")

    # httptools

    def on_body(self, body: bytes) -> None:
        if self.parser.get_status_code() == 200:
            self.partial_line += body

    def on_message_complete(self) -> None:
        self.end_cause = f"answered {self.parser.get_status_code()} and ended"


class ReportRequest(asyncio.Protocol):
    """One report on a connection of its own; `accepted` resolves to whether the instance accepted it."""

    def __init__(self, instance: str, body: bytes, traffic: Traffic) -> None:
        self.instance = instance
        self.body = body
        self.traffic = traffic
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.received = 0
        self.accepted: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

    def stop(self) -> None:
        """Close the connection, whether or not the report was accepted."""
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        head = (
            "POST /v1/configuration/reports HTTP/1.1\r\n"
            f"Host: {self.instance}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(self.body)}\r\n"
            "Connection: close\r\n\r\n"
        )
        data = head.encode() + self.body
        self.traffic.bytes_out += len(data)
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        self.traffic.bytes_in += len(data)
        self.received += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._finish(False)
        if self.received > MAX_RESPONSE_BYTES:
            self._finish(False)

    def connection_lost(self, exc: Exception | None) -> None:
        self._finish(False)

    def _finish(self, arrived: bool) -> None:
        if not self.accepted.done():
            self.accepted.set_result(arrived)

    # httptools

    def on_headers_complete(self) -> None:
        self._finish(200 <= self.parser.get_status_code() < 300)


def percent_encoded(name: str) -> str:
    """Percent-encode a name for a query string."""
    kept = b"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~"
    return "".join(chr(byte) if byte in kept else f"%{byte:02X}" for byte in name.encode())
