"""A sidecar's side of the distribution on sockets: carries out what the follower decides.

One watch, cut into lines wherever the reads fall, and one short connection for each report. What comes in one
read is applied once, as its newest version. Calls never wait for any of it.
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

MAX_LINE = 10 * 1024 * 1024  # bytes of one line: control takes documents of 8 MB
MAX_ANSWER = 64 * 1024  # bytes of the answer to a report
REPORT_WITHIN = 2.0  # s that a report may take
START_WITHIN = 1.0  # s that a start waits for its first version; it serves without one
DESCRIPTORS = 3  # the watch, a report, the file
LEAST_TIMER = 0.001  # s, guards against a loop's clock that counts whole ms and wakes too early


class Target(Protocol):
    """What the entries of the distributed document go over.

    A RefusedVersionError of either method tells that they can't be used, and nothing has changed.
    """

    def check(self, entries: Entries) -> None:
        """Whether a start could begin with these entries."""

    def reconfigure(self, entries: Entries) -> None:
        """Go by these entries from now on, all of them at once."""


@dataclass(slots=True)
class Traffic:
    """What was counted, as the operators' endpoint tells it. Bytes are those of HTTP, without TCP's own."""

    bytes_in: int = 0
    bytes_out: int = 0
    reports: int = 0
    reports_failed: int = 0


class Client:
    """Follows the distributed configuration for one sidecar.

    Until `serving`, versions are only checked: the sidecar has no pools yet, and begins with what `begin`
    tells. From then on they change what is in service.
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
        self.good: Document | None = None  # in force
        self.traffic = Traffic()
        self.watch: Watch | None = None
        self.connecting: asyncio.Task[None] | None = None
        self.reporting: set[asyncio.Task[None]] = set()
        self.timer: asyncio.TimerHandle | None = None
        self.settled = asyncio.Event()  # the first version has come, or the first try has failed
        self.up = False  # whether the loss of control was not told yet
        self.applied_in = 0.0  # s from the last line's arrival until it was in force
        self.stopped = False

    # Start and end

    async def begin(self) -> Entries:
        """Follow from now on; the entries to start with, none where there is no version that can be used.

        With no version on the disk it waits for a first one, but not for long.
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
        """Follow no longer. What is being written to the disk comes to its end."""
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()
        self._close_watch()
        for task in self.reporting:
            task.cancel()

    # Carrying out

    def _now(self) -> float:
        return time.monotonic() * 1000

    def _work(self) -> None:
        """Carry out all that is to be done now, and wake up when there is more."""
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
        """The watch is over: tell so once for each that was up."""
        instance = "" if self.watch is None else self.watch.step.instance
        self._close_watch()
        self.settled.set()
        if self.up:
            self.up = False
            log_event("control-lost", instance=instance, cause=cause)

    # What the watch tells

    def ended(self, watch: Watch, cause: str) -> None:
        """A watch ended by itself, or never came about."""
        if watch is self.watch:
            self.follower.ended(self._now())
            self._lost(cause)
            self._work()

    def lines(self, watch: Watch, lines: list[bytes]) -> None:
        """Take the lines of one read, and apply the newest version among them."""
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
        """Take one line; tells whether the document held is a newer one now."""
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
        """Check the version held, and have it in force as a whole or not at all."""
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
        """Have the disk hold the version in force, and a newer one that takes a restart before it."""
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
        """Where the configuration stands here; docs/configuration-sidecar.md says what each figure means."""
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
    """One watch: an answer that stays open, cut into lines wherever the reads fall."""

    def __init__(self, client: Client, step: Connect) -> None:
        self.client = client
        self.step = step
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.stopped = False
        self.rest = bytearray()
        self.ended = ""

    def stop(self) -> None:
        """End it; nothing more is taken from it."""
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
    """One report on a connection of its own; `done` tells whether the instance has it."""

    def __init__(self, instance: str, body: bytes, traffic: Traffic) -> None:
        self.instance = instance
        self.body = body
        self.traffic = traffic
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.received = 0
        self.done: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

    def stop(self) -> None:
        """Close the connection, whatever has come of it."""
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
    """A name as it may stand in a query."""
    kept = b"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~"
    return "".join(chr(byte) if byte in kept else f"%{byte:02X}" for byte in name.encode())
