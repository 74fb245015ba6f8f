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

from millgw.configuration.apply import Entries, RefusedVersionError, RestartNeededError
from millgw.configuration.document import Document
from millgw.configuration.follower import (
    Connect,
    Disconnect,
    Follower,
    Heard,
    Report,
    SendReport,
)
from millgw.configuration.last_good import LastGood
from millgw.log.events import log_event
from millgw.platform.config import read_address

MAX_LINE = 10 * 1024 * 1024  # bytes; control instances accept documents of up to 8 MB
MAX_ANSWER = 64 * 1024  # bytes of the response to a report
REPORT_WITHIN = 2.0  # s for sending one report
START_WITHIN = 1.0  # s that startup waits for the first version before it goes on without one
DESCRIPTORS = 3  # file descriptors: the watch, a report, the last-good file
LEAST_TIMER = 0.001  # s; an event loop clock with a resolution of 1 ms can fire too early


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
    entries that `begin` returns. After that, each version is applied to the running pools.
    """

    descriptors = DESCRIPTORS

    def __init__(
        self, name: str, instances: tuple[str, ...], last_good: LastGood | None, seed: int, target: Target
    ) -> None:
        self.name = name
        self.instances = instances
        self.last_good = last_good
        self.seed = seed
        self.target = target
        self.serving = False
        self.follower = Follower(instances, seed)
        self.good: Document | None = None  # the version in force
        self.traffic = Traffic()
        self.watch: Watch | None = None
        self.connecting: asyncio.Task[None] | None = None
        self.reporting: set[asyncio.Task[None]] = set()
        self.timer: asyncio.TimerHandle | None = None
        self.settled = asyncio.Event()  # the first version has arrived or the first connection has failed
        self.up = False  # whether a watch is established; its loss is logged once
        self.applied_in = 0.0  # s from the arrival of the last version until it was in force
        self.stopped = False

    # Start and end

    async def begin(self) -> Entries:
        """Start following; return the entries to start with, none if no version can be used.

        Without a usable version on disk it waits up to `START_WITHIN` seconds for the first one.
        """
        for document in () if self.last_good is None else self.last_good.read():
            self.follower = Follower(self.instances, self.seed, document)
            log_event("last-good-read", index=document.index, epoch=document.epoch)
            self._apply(time.monotonic())
            if self.good is not None:
                break
            self.follower = Follower(self.instances, self.seed)
        self._work()
        if self.good is None:
            try:
                async with asyncio.timeout(START_WITHIN):
                    await self.settled.wait()
            except TimeoutError:
                log_event("control-late", within_ms=round(START_WITHIN * 1000))
        return {} if self.good is None else self.good.entries

    def stop(self) -> None:
        """Stop following. A write of the last-good file that is in progress is completed."""
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()
        self._close_watch()
        for task in self.reporting:
            task.cancel()

    # Actions of the follower

    def _now(self) -> float:
        return time.monotonic() * 1000

    def _work(self) -> None:
        """Perform all actions that are due, and set a timer for the next one."""
        if self.stopped:
            return
        while (step := self.follower.next(self._now())) is not None:
            if isinstance(step, Connect):
                self._connect(step)
            elif isinstance(step, Disconnect):
                self._lost(step.cause)
            else:
                self._report(step)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        due = self.follower.due()
        if due < math.inf:
            wait = max(LEAST_TIMER, (due - self._now()) / 1000 + LEAST_TIMER)
            self.timer = asyncio.get_running_loop().call_later(wait, self._work)

    def _connect(self, step: Connect) -> None:
        watch = self.watch = Watch(self, step)
        self.connecting = asyncio.get_running_loop().create_task(self._dial(watch))

    async def _dial(self, watch: Watch) -> None:
        address = read_address(watch.step.instance)
        try:
            await asyncio.get_running_loop().create_connection(lambda: watch, address.host, address.port)
        except OSError as error:
            self.ended(watch, str(error))

    def _close_watch(self) -> None:
        if self.connecting is not None:
            self.connecting.cancel()
            self.connecting = None
        if self.watch is not None:
            watch, self.watch = self.watch, None
            watch.stop()

    def _lost(self, cause: str) -> None:
        """Close the watch; log the loss once per watch that was established."""
        instance = "" if self.watch is None else self.watch.step.instance
        self._close_watch()
        self.settled.set()
        if self.up:
            self.up = False
            log_event("control-lost", instance=instance, cause=cause)

    # Events of the watch

    def ended(self, watch: Watch, cause: str) -> None:
        """Handle a watch that ended or could not be opened."""
        if watch is self.watch:
            self.follower.ended(self._now())
            self._lost(cause)
            self._work()

    def lines(self, watch: Watch, lines: list[bytes]) -> None:
        """Process the lines of one read, and apply the newest version among them."""
        arrived = time.monotonic()
        newer = False
        for data in lines:
            if watch is not self.watch:
                break
            newer |= self._line(watch, data)
        if newer:
            self._apply(arrived)
        self._work()

    def _line(self, watch: Watch, data: bytes) -> bool:
        """Process one line; return whether it brought a newer document."""
        heard = self.follower.line(self._now(), data)
        if heard in (Heard.UNREADABLE, Heard.GAP):
            self._lost(f"{heard.value}: a line that can't be used")
        elif not self.up:
            self.up = True
            log_event("control-up", instance=watch.step.instance, index=self.follower.held.index)
        if heard is Heard.CONTRADICTS and self.follower.last is not None:
            cause = self.follower.last.cause
            log_event("configuration-contradicts", instance=watch.step.instance, cause=cause)
        if heard is not Heard.HEARTBEAT:
            self.settled.set()
        return heard is Heard.NEWER

    def _apply(self, arrived: float) -> None:
        """Check or apply the newest version, as a whole or not at all."""
        follower = self.follower
        document = follower.held
        use = self.target.reconfigure if self.serving else self.target.check
        try:
            use(document.entries)
        except RefusedVersionError as error:
            follower.rejected(self._now(), str(error))
            log_event("configuration-refused", index=document.index, epoch=document.epoch, cause=str(error))
            if isinstance(error, RestartNeededError):
                self._keep(document)
            return
        self.applied_in = time.monotonic() - arrived
        follower.accepted(self._now())
        took = round(self.applied_in * 1000, 2)
        log_event("configuration-applied", index=document.index, epoch=document.epoch, took_ms=took)
        self.good = document.copy()
        self._keep()

    def _keep(self, *newer: Document) -> None:
        """Save the version in force, preceded by a newer one that takes a restart, if any."""
        if self.last_good is not None:
            self.last_good.keep(*newer, *(() if self.good is None else (self.good,)))

    # Reports

    def _report(self, step: SendReport) -> None:
        instance = self.follower.instance
        task = asyncio.get_running_loop().create_task(self._send_report(instance, step.report))
        self.reporting.add(task)
        task.add_done_callback(self.reporting.discard)

    async def _send_report(self, instance: str, report: Report) -> None:
        address = read_address(instance)
        post = Post(instance, report.encode(self.name), self.traffic)
        try:
            async with asyncio.timeout(REPORT_WITHIN):
                await asyncio.get_running_loop().create_connection(lambda: post, address.host, address.port)
                arrived = await post.done
        except (OSError, TimeoutError):
            arrived = False
        finally:
            post.stop()
        if arrived:
            self.traffic.reports += 1
        else:
            self.traffic.reports_failed += 1
            self.follower.unreported(self._now(), report)
            self._work()

    # For operators

    def figures(self) -> dict[str, object]:
        """State of the configuration client; docs/configuration-sidecar.md describes each field."""
        follower, traffic = self.follower, self.traffic
        refused: dict[str, object] = {}
        if follower.refused is not None:
            refused = {"index": follower.refused, "cause": follower.cause}
        return {
            "index": follower.applied,
            "epoch": follower.applied_epoch,
            "digest": follower.applied_digest,
            "refused": refused,
            "instance": follower.instance if self.up else "",
            "connects": follower.connects,
            "contradictions": follower.contradictions,
            "reports": traffic.reports,
            "reports_failed": traffic.reports_failed,
            "bytes_in": traffic.bytes_in,
            "bytes_out": traffic.bytes_out,
            "applied_in_ms": round(self.applied_in * 1000, 3),
        }


class Watch(asyncio.Protocol):
    """One watch: an HTTP response that stays open, split into lines whatever the boundaries of the reads."""

    def __init__(self, client: Client, step: Connect) -> None:
        self.client = client
        self.step = step
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.stopped = False
        self.rest = bytearray()
        self.ended = ""

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
        since = "" if self.step.since is None else f"&from={self.step.since}"
        target = f"/v1/configuration?watch=1{since}&name={quoted(self.client.name)}"
        head = f"GET {target} HTTP/1.1\r\nHost: {self.step.instance}\r\n\r\n".encode()
        self.client.traffic.bytes_out += len(head)
        self.transport.write(head)

    def data_received(self, data: bytes) -> None:
        self.client.traffic.bytes_in += len(data)
        if self.stopped:
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.ended = self.ended or f"malformed answer: {error}"
        *lines, self.rest = self.rest.split(b"\n")
        if lines:
            self.client.lines(self, [bytes(line) for line in lines])
        if len(self.rest) > MAX_LINE:
            self.ended = "a line is too long"
        if self.ended:
            self.client.ended(self, self.ended)

    def connection_lost(self, exc: Exception | None) -> None:
        self.client.ended(self, "connection lost")

    # httptools

    def on_body(self, body: bytes) -> None:
        if self.parser.get_status_code() == 200:
            self.rest += body

    def on_message_complete(self) -> None:
        self.ended = f"answered {self.parser.get_status_code()} and ended"


class Post(asyncio.Protocol):
    """One report on a connection of its own; `done` resolves to whether the instance accepted it."""

    def __init__(self, instance: str, body: bytes, traffic: Traffic) -> None:
        self.instance = instance
        self.body = body
        self.traffic = traffic
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.received = 0
        self.done: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

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
        except httptools.HttpParserError:
            self._end(False)
        if self.received > MAX_ANSWER:
            self._end(False)

    def connection_lost(self, exc: Exception | None) -> None:
        self._end(False)

    def _end(self, arrived: bool) -> None:
        if not self.done.done():
            self.done.set_result(arrived)

    # httptools

    def on_headers_complete(self) -> None:
        self._end(200 <= self.parser.get_status_code() < 300)


def quoted(name: str) -> str:
    """Percent-encode a name for a query string."""
    kept = b"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~"
    return "".join(chr(byte) if byte in kept else f"%{byte:02X}" for byte in name.encode())
