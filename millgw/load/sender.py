"""One process of senders: sends its part of the arrivals at their times, and tells what it saw.

The parent hands arrivals over in parts, ahead of their times. The loop waits for nothing but the clock: an
arrival is sent when it is due, whatever became of those before, and what makes it late here is recorded as
lateness.
"""

from __future__ import annotations

import asyncio
import gc
import os
import resource
import threading
import time
from collections import deque
from dataclasses import dataclass
from multiprocessing.connection import Connection as Pipe
from typing import Any

import uvloop

from millgw.load.arrivals import Arrival
from millgw.load.lines import Line, Lines
from millgw.load.plan import Class
from millgw.load.result import Outcome, Tally
from millgw.platform.config import Address
from millgw.standins import http

LEAST = 20.0  # ms that must be left for a further try to be made
PAUSE = 50.0  # ms before a client that found no connection tries again
TELL = 0.5  # s between two words on how far it is
LOW_MEMORY_BODY = b"." * 65_536  # what bodies are cut from
OUTCOMES = {200: Outcome.SERVED, 429: Outcome.REFUSED, 503: Outcome.REFUSED}


@dataclass(slots=True, frozen=True)
class Orders:
    """What a sender is told first. `most` connections, `ahead` of them opened before the start."""

    targets: tuple[Address, ...]
    classes: tuple[Class, ...]
    most: int
    ahead: int
    late_bound: float
    tag: int  # in the ids of this run's requests, so that two runs have none in common
    plain: bool  # no headers of the protocol: any HTTP/1.1 server will do
    path: str
    core: int | None = None


class Sender:
    """All of one process's requests."""

    def __init__(self, orders: Orders) -> None:
        self.orders = orders
        self.loop = asyncio.get_running_loop()
        self.classes = {c.name: c for c in orders.classes}
        share = max(1, orders.most // len(orders.targets))
        self.lines = [Lines(target, share) for target in orders.targets]
        self.tally = Tally()
        self.arrivals: deque[Arrival] = deque()
        self.open = 0  # journeys under way
        self.zero = 0.0  # s, monotonic, at which the run begins
        self.timer: asyncio.TimerHandle | None = None
        self.told_all = False
        self.done = asyncio.Event()

    def now(self) -> float:
        """ms of the run."""
        return (time.monotonic() - self.zero) * 1000

    async def ready(self) -> None:
        """Open connections ahead."""
        for lines in self.lines:
            for _ in range(min(lines.most, -(-self.orders.ahead // len(self.lines)))):
                lines.open()
        while any(lines.opening for lines in self.lines):
            await asyncio.sleep(0.01)

    def take(self, some: list[Arrival]) -> None:
        """More arrivals, later than all before."""
        for arrival in some:
            self.tally.planned(arrival.at)
        self.arrivals.extend(some)
        self._arm()

    def end(self) -> None:
        """There are no more arrivals."""
        self.told_all = True
        self._ended()

    def stop(self) -> None:
        """Send nothing more, now."""
        self.arrivals.clear()
        self.end()

    def _arm(self) -> None:
        if self.timer is None and self.arrivals:
            wait = max(0.0, self.arrivals[0].at - self.now()) / 1000
            self.timer = self.loop.call_later(wait, self._due)

    def _due(self) -> None:
        self.timer = None
        while self.arrivals and self.arrivals[0].at <= self.now():
            self.open += 1
            Journey(self, self.arrivals.popleft()).begin()
        self._arm()

    def journey_over(self) -> None:
        self.open -= 1
        self._ended()

    def _ended(self) -> None:
        if self.told_all and not self.arrivals and not self.open:
            self.done.set()

    def finish(self) -> dict[str, Any]:
        for lines in self.lines:
            self.tally.handshakes += lines.handshakes
            self.tally.waited += lines.full
            lines.close()
        return self.tally.wire()


class Journey:
    """One client's request, with its further tries. A `Job` for `Lines`."""

    __slots__ = (
        "arrival", "bound", "cls", "crossed", "due", "first_due", "leaving", "line", "number",
        "sender", "sent", "timer",
    )  # fmt: skip

    def __init__(self, sender: Sender, arrival: Arrival) -> None:
        self.sender = sender
        self.arrival = arrival
        self.cls = sender.classes[arrival.cls]
        self.number = 0
        self.first_due = self.due = arrival.at
        self.sent: float | None = None
        self.bound = False
        self.crossed = False
        self.line: Line | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.leaving: asyncio.TimerHandle | None = None

    def begin(self) -> None:
        """Make a try."""
        sender, now = self.sender, self.sender.now()
        left = self._until() - now
        if left <= 0:
            self._over(Outcome.TIMEOUT)
            return
        self.timer = sender.loop.call_later(left / 1000, self._over, Outcome.TIMEOUT)
        self._take()

    def _take(self) -> None:
        sender = self.sender
        picked = sender.now()
        self.bound = self._lines().take(self)
        if self.number == 0 and not self.bound and not self.crossed:
            # Whatever a handshake takes is the target's; what came before it was this side's doing.
            sender.tally.sent(self.due, picked - self.due, sender.orders.late_bound)

    def _lines(self) -> Lines:
        return self.sender.lines[self.arrival.number % len(self.sender.lines)]

    def _until(self) -> float:
        """When this try is given up: by its own patience, and never past the class's deadline."""
        patience = self.due + self.arrival.patience
        return min(patience, self.first_due + max(self.cls.deadline, self.arrival.patience))

    # Job

    def go(self, line: Line) -> None:
        sender, arrival, now = self.sender, self.arrival, self.sender.now()
        if self.bound and self.number == 0:
            sender.tally.sent(self.due, now - self.due, sender.orders.late_bound)
        self.bound = False
        self.line, self.sent = line, now
        left = max(1, int(self._until() - now))
        line.ask(self, self._word(left))
        if arrival.leaves is not None and self.leaving is None:
            self.leaving = sender.loop.call_later(arrival.leaves / 1000, self._over, Outcome.LEFT)

    def _word(self, left: int) -> bytes:
        orders, arrival = self.sender.orders, self.arrival
        host = arrival.host or "app.svc"
        path = arrival.path or orders.path
        body = LOW_MEMORY_BODY[: arrival.size] if self.cls.method != "GET" else b""
        if orders.plain:
            length = f"Content-Length: {len(body)}\r\n" if body else ""
            return f"{self.cls.method} {path} HTTP/1.1\r\nHost: {host}\r\n{length}\r\n".encode() + body
        trace = f"{orders.tag:06x}{arrival.number:08x}{self.number:02x}"
        target = path if "?" in path else f"{path}?k={arrival.about}"
        return http.encode_request(
            self.cls.method, target, host, trace, arrival.cls, arrival.tenant, arrival.key, left, body
        )

    def answered(self, status: int, headers: dict[bytes, bytes]) -> None:
        wait = 0.0
        if b"retry-after" in headers:
            try:
                wait = float(headers[b"retry-after"]) * 1000
            except ValueError:
                wait = 0.0  # a date: none of ours words it so
        self.line = None
        self._over(OUTCOMES.get(status, Outcome.FAILED), wait)

    def broken(self, crossed: bool) -> None:
        self.line = None
        if crossed and not self.crossed:
            # A close that crossed the request, which nobody read: sent once more (RFC 9112, section 9.3.1).
            self.crossed = True
            self.sender.tally.crossed += 1
            self._take()
        else:
            self._over(Outcome.FAILED)

    def not_taken(self) -> None:
        self._over(Outcome.NOT_TAKEN)

    # Its end

    def _over(self, outcome: Outcome, retry_after: float = 0.0) -> None:
        """A try has come to its end."""
        for handle in (self.timer, self.leaving):
            if handle is not None:
                handle.cancel()
        self.timer = self.leaving = None
        if self.line is not None:
            self.line.leave()
            self.line = None
        self._lines().drop(self)
        now, tally, arrival = self.sender.now(), self.sender.tally, self.arrival
        latency = now - self.due
        service = now - self.sent if self.sent is not None else None
        if self.number == 0:
            tally.first(arrival.cls, arrival.tenant, self.due, outcome, latency, service)
        else:
            tally.retry(arrival.cls, self.due, outcome, latency, service)
        wait = self._again(outcome, retry_after, now)
        if wait is None:
            tally.journey(arrival.cls, outcome, now - self.first_due)
            self.sender.journey_over()
        else:
            self.sender.loop.call_later(wait / 1000, self._next)

    def _again(self, outcome: Outcome, retry_after: float, now: float) -> float | None:
        """ms until the client tries again; None where it does not."""
        if outcome in (Outcome.SERVED, Outcome.LEFT) or self.number >= self.arrival.retries:
            return None
        may_have_run = outcome in (Outcome.FAILED, Outcome.TIMEOUT)
        if may_have_run and self.cls.repeat == "fragile":
            return None
        wait = PAUSE if outcome is Outcome.NOT_TAKEN else self.arrival.wait
        if self.arrival.honours:
            wait = max(wait, retry_after)
        return wait if now + wait + LEAST < self.first_due + self.cls.deadline else None

    def _next(self) -> None:
        self.number += 1
        self.crossed = self.bound = False
        self.sent = None
        self.due = self.sender.now()
        self.begin()


def work(pipe: Pipe, orders: Orders) -> None:
    """The whole of a sender's process."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    if orders.core is not None:
        os.sched_setaffinity(0, {orders.core})
    uvloop.run(_work(pipe, orders))


async def _work(pipe: Pipe, orders: Orders) -> None:
    sender = Sender(orders)
    await sender.ready()
    up = sum(len(lines.lines) for lines in sender.lines)
    pipe.send(("ready", up))
    listening = threading.Thread(target=_listen, args=(pipe, sender, sender.loop), daemon=True)
    listening.start()
    # Guards against the pauses of the collector, which would be taken for the target's.
    gc.collect()
    gc.freeze()
    gc.disable()
    while not sender.done.is_set():
        try:
            async with asyncio.timeout(TELL):
                await sender.done.wait()
        except TimeoutError:
            pipe.send(("far", sum(s.sent for s in sender.tally.seconds.values())))
    pipe.send(("saw", sender.finish()))


def _listen(pipe: Pipe, sender: Sender, loop: asyncio.AbstractEventLoop) -> None:
    """Hand on what the parent says; a parent that is gone ends all."""
    try:
        while True:
            word, value = pipe.recv()
            if word == "go":
                sender.zero = value
            elif word == "part":
                loop.call_soon_threadsafe(sender.take, value)
            else:
                loop.call_soon_threadsafe(sender.end if word == "end" else sender.stop)
    except (EOFError, OSError):
        os._exit(1)
