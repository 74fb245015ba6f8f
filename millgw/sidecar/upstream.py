"""Connections to endpoints, and the attempts that are made on them.

One connection carries one attempt at a time and is kept for the next one. What this file answers for is the
truth of an outcome: whether an attempt's last byte was written decides whether it may have run. Nothing is
ever sent again here; that is the balancer's to decide.
"""

from __future__ import annotations

import asyncio
import logging
import select
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

import httptools

from millgw.interface import Outcome
from millgw.sidecar.config import Address
from millgw.sidecar.descriptors import Descriptors

MAX_HEAD = 16 * 1024  # bytes of a message's line and headers
MAX_BODY = 64 * 1024  # bytes of a request's body; the protocol's bound
ANSWER_PART = 1 / 32  # of the memory, for one answer's body: endpoints are seen to answer with up to 400 kB
FRAMING_PART = 8  # times its body that an answer's framing may be: a chunk may be small, not endless
ANSWERS_PART = 1 / 8  # of the memory, for all answers that are coming in
HOLD_BACK = 0.002  # s for which a request's last byte is held back: more than there and back takes
ANSWER_TIME = 1.0  # s from an answer's first byte to its last: it is small and comes at once
IDLE_PART = 0.5  # of the endpoint's idle time, after which a kept connection is not used: it may be closing
SWEEP = 1.0  # s between two looks for connections that have been idle too long

BUSY = frozenset({408, 425, 429})  # the 4xx that speak of the endpoint, not of the request
OWN_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"endpoint-load-metrics",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"x-expires-in-ms",
    }
)
"""Headers that speak of one connection, or of one side's own wait: they are not passed on."""
log = logging.getLogger("millgw")


def unread(transport: asyncio.Transport) -> bool:
    """Whether bytes, or an end, wait in a connection's socket that the loop has not handed on yet."""
    if transport.is_closing():
        return True  # guards against its descriptor, which may be another one's by now
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))


@dataclass(slots=True, frozen=True)
class Content:
    """What an endpoint answered: the headers that are passed on, and the body."""

    headers: bytes = b""
    body: bytes = b""


NOTHING = Content()
Ended = Callable[[Outcome, Content], None]


class Attempt:
    """One attempt: connecting, then on its connection, until it has ended or is given up."""

    __slots__ = ("connecting", "connection", "ended", "given_up", "payload")

    def __init__(self, payload: Callable[[], bytes], ended: Ended) -> None:
        self.payload = payload  # called when it is written, as it tells the time that is left by then
        self.ended = ended
        self.connecting: asyncio.Task[None] | None = None
        self.connection: Connection | None = None
        self.given_up = False

    def give_up(self) -> bool:
        """Stop waiting, without a call to `ended`; tells whether the attempt may have run, or may yet."""
        self.given_up = True
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.attempt = None
            connection.abort()
            return connection.written
        if self.connecting is not None:
            self.connecting.cancel()
        return False


class Pool:
    """One life of an endpoint at one address: kept connections, and attempts still connecting to it."""

    __slots__ = ("address", "connecting", "idle", "since", "used")

    def __init__(self, address: Address, since: float) -> None:
        self.address = address
        self.since = since
        self.used = True
        self.idle: list[Connection] = []
        self.connecting: set[Attempt] = set()


class Connection(asyncio.Protocol):
    """A connection to an endpoint, and the answer that comes in on it.

    What comes is not believed: the first whole answer counts and nothing behind it, 1xx answers are passed
    over with their headers, and what can't be read, is too large or stops half-way is an attempt that has
    failed and may have run. After any of these the connection is of no further use.
    """

    def __init__(self, upstream: Upstream, pool: Pool, attempt: Attempt) -> None:
        self.upstream = upstream
        self.pool = pool
        self.attempt: Attempt | None = attempt
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpResponseParser | None = None
        self.written = False
        self.reused = False
        self.last_byte = b""
        self.holding: asyncio.TimerHandle | None = None
        self.body = bytearray()
        self.idle_since = 0.0
        self.stalled: asyncio.TimerHandle | None = None
        self._begin()

    def _begin(self) -> None:
        self._begin_message()
        self.framing = 0  # bytes of this answer so far, without its body
        self.whole = False
        self.reusable = True

    def _begin_message(self) -> None:
        self.headers = bytearray()
        self.status = 0
        self.never_ran = False
        self.in_head = True
        self.reading = False

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def usable(self) -> bool:
        """Guards also against bytes that wait unread: they would be taken for the next request's answer."""
        return self.transport is not None and not unread(self.transport)

    # The attempt

    def send(self, attempt: Attempt) -> None:
        """Write all but the last byte, and that only when the connection has stood the rest.

        Guards against connections that look open and are not: the endpoint has closed them, or resets them
        at the next request. A request whose last byte was not written has not run, so it may go again, also
        one that may never run twice.
        """
        assert self.transport is not None
        self._begin()
        self.attempt, attempt.connection = attempt, self
        payload = attempt.payload()
        self.written = False
        self.last_byte = payload[-1:]
        self.transport.write(payload[:-1])
        self.holding = self.upstream.loop.call_later(HOLD_BACK, self._complete)

    def _complete(self) -> None:
        self.holding = None
        assert self.transport is not None
        if unread(self.transport):
            self._broken()
        # With a high-water mark of 0 the transport keeps only what the kernel did not take at once.
        elif self.last_byte and self.transport.get_write_buffer_size() == 0:
            self.transport.write(self.last_byte)
            self.last_byte = b""
            self.written = self.transport.get_write_buffer_size() == 0

    def _broken(self) -> None:
        """The connection is of no use, and the request on it has not run: a kept one is made good for."""
        attempt = self.attempt
        self.abort()
        if attempt is None or not self.reused:
            self._finish(Outcome.CONNECT_FAILED)
            return
        self._stop_timers()
        self.attempt = attempt.connection = None
        self.upstream.connect(self.pool, attempt)

    def _stop_timers(self) -> None:
        for timer in (self.stalled, self.holding):
            if timer is not None:
                timer.cancel()
        self.stalled = self.holding = None

    def _finish(self, outcome: Outcome) -> None:
        self._stop_timers()
        attempt, self.attempt = self.attempt, None
        content = Content(bytes(self.headers), bytes(self.body))
        self.upstream.held -= len(self.body)
        self.body.clear()
        if attempt is not None:
            attempt.connection = None
            attempt.ended(outcome, content)

    # asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        # Only now: a connection that never comes up has no end at which the cycle could be broken.
        self.parser = httptools.HttpResponseParser(self)
        self.upstream.open += 1
        attempt = self.attempt
        if attempt is None or attempt.given_up:
            # Guards against an attempt that was given up, or whose endpoint drains, while it was connecting.
            self.attempt = None
            self.abort()
            return
        self.pool.connecting.discard(attempt)
        self.transport.set_write_buffer_limits(high=0)
        self.send(attempt)

    def resume_writing(self) -> None:
        if not self.last_byte:
            self.written = True
        elif self.holding is None:
            self._complete()

    def data_received(self, data: bytes) -> None:
        if self.attempt is None or self.parser is None:
            # Guards against a late answer that would be taken for the next request's.
            after = (time.monotonic() - self.idle_since) * 1000
            log.warning("endpoint at %s: bytes came %.1f ms after the answer", self.pool.address, after)
            self.abort()
            return
        if self.last_byte:
            self._broken()  # guards against bytes that can't be this request's answer
            return
        before = len(self.body)
        wrong = self._parse(self.parser, data)
        self.framing += len(data) - (len(self.body) - before)
        if self.whole:
            if self.reusable and self.written and not wrong:
                self.upstream.keep(self)
            else:
                self.abort()
            self._finish(self._outcome())
        elif wrong or self.framing > MAX_HEAD + (0 if self.in_head else FRAMING_PART * len(self.body)):
            self._spoilt(wrong or "its head or framing is too large")
        elif self.reading and self.stalled is None:
            self.stalled = self.upstream.loop.call_later(ANSWER_TIME, self._spoilt, "it stopped half-way")

    def _parse(self, parser: httptools.HttpResponseParser, data: bytes) -> str:
        """Read on, and tell what is wrong; where an answer was whole before that, it was right."""
        try:
            parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            return "it changes the protocol"
        except httptools.HttpParserCallbackError as error:
            return str(error.__context__)
        except httptools.HttpParserError as error:
            return str(error)
        return ""

    def _spoilt(self, why: str) -> None:
        log.warning("endpoint at %s: spoilt answer: %s", self.pool.address, why)
        self.abort()
        self._finish(Outcome.ERROR)

    def eof_received(self) -> None:
        self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.parser = None  # guards against a cycle that would keep both until the collector comes
        self.upstream.lost(self)
        if self.last_byte:
            self._broken()
        else:
            self._finish(Outcome.RESET if self.written else Outcome.CONNECT_FAILED)

    # httptools

    def on_message_begin(self) -> None:
        if self.whole:
            self.reusable = False  # guards against a second answer that would be taken for the next request's
        else:
            self._begin_message()  # guards against headers of a 1xx answer in the final one
            self.reading = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.whole:
            return
        lower = name.lower()
        if lower == b"x-never-ran":
            self.never_ran = value == b"1"
        elif lower == b"content-length" and int(value) > self.upstream.most_body:
            raise ValueError(f"its length is {value.decode()}")  # guards against reading what is of no use
        elif lower not in OWN_HEADERS:
            self.headers += b"%b: %b\r\n" % (name, value)

    def on_headers_complete(self) -> None:
        assert self.parser is not None
        self.in_head = self.parser.get_status_code() < 200  # 1xx count with the head behind

    def on_body(self, body: bytes) -> None:
        if not self.whole:
            self.body += body
            self.upstream.held += len(body)
            if len(self.body) > self.upstream.most_body:
                raise ValueError(f"its body is over {self.upstream.most_body} bytes")
            if self.upstream.held > self.upstream.most_held:
                # Guards against memory that fills with the answers of many calls, each within its bound.
                raise ValueError("too much is being answered")

    def on_message_complete(self) -> None:
        assert self.parser is not None
        if self.whole:
            return
        self.status = self.parser.get_status_code()
        self.reading = False
        if self.status >= 200:
            self.whole = True
            self.reusable = self.parser.should_keep_alive()
        else:
            self._stop_timers()

    def _outcome(self) -> Outcome:
        if self.status == 200:
            return Outcome.OK
        if 400 <= self.status < 500 and self.status not in BUSY:
            return Outcome.CANCELLED  # the request is at fault: no other endpoint could use it
        # Guards against a plain 503 or 504, which does not prove that nothing ran.
        return Outcome.REJECTED if self.status in (503, 504) and self.never_ran else Outcome.ERROR


class Upstream:
    """All connections to endpoints, by endpoint."""

    def __init__(self, descriptors: Descriptors, connect_timeout: float, idle: float, memory: float) -> None:
        self.loop = asyncio.get_running_loop()
        self.descriptors = descriptors
        descriptors.endpoints = lambda: self.open + len(self.tasks)
        self.connect_timeout = connect_timeout / 1000
        self.idle_for = IDLE_PART * idle / 1000
        self.pools: dict[int, Pool] = {}
        self.open = 0
        self.most_body = int(ANSWER_PART * memory)
        self.most_held = int(ANSWERS_PART * memory)
        self.held = 0  # bytes of answers that are coming in
        self.tasks: set[asyncio.Task[None]] = set()
        self.sweeping = self.loop.call_later(SWEEP, self._sweep)

    def point(self, endpoint: int, address: Address, since: float = 0.0) -> Pool | None:
        """Use this address from now on; returns the pool of the one before, if it is another.

        Guards against kept connections to a machine that went silent and is back: they end as resets.
        """
        pool = self.pools.get(endpoint)
        if pool is not None and pool.address == address and pool.since == since:
            return None
        self.pools[endpoint] = Pool(address, since)
        return pool

    def forget(self, endpoint: int) -> Pool | None:
        """Send nothing to this endpoint from now on; returns its pool."""
        return self.pools.pop(endpoint, None)

    @staticmethod
    def close(pool: Pool) -> None:
        """End what a pool no longer in use holds; attempts that are written go on.

        Guards against an attempt that is still connecting when its endpoint drains, and would be written
        after the drain's grace.
        """
        pool.used = False
        Upstream._close_idle(pool)
        for attempt in list(pool.connecting):
            pool.connecting.discard(attempt)
            attempt.give_up()
            attempt.ended(Outcome.CONNECT_FAILED, NOTHING)

    def doubt(self, endpoint: int) -> None:
        """Close an endpoint's kept connections after an attempt there got no answer.

        Guards against a machine that has gone silent: what is written to an open connection only times out,
        and may have run, where a new connection that does not come up proves soon that nothing did.
        """
        if endpoint in self.pools:
            self._close_idle(self.pools[endpoint])

    @staticmethod
    def _close_idle(pool: Pool) -> None:
        for connection in pool.idle:
            connection.abort()
        pool.idle.clear()

    def send(self, endpoint: int, attempt: Attempt) -> None:
        pool = self.pools.get(endpoint)
        if pool is None:
            attempt.ended(Outcome.NOT_SENT, NOTHING)
            return
        oldest = time.monotonic() - self.idle_for
        while pool.idle:
            connection = pool.idle.pop()
            # Guards against the endpoint's own idle time: what is written to a connection that it is about
            # to close ends as a reset, and may have run.
            if connection.idle_since > oldest and connection.usable():
                connection.send(attempt)
                return
            connection.abort()
        self.connect(pool, attempt)

    def connect(self, pool: Pool, attempt: Attempt) -> None:
        """Make the attempt on a new connection."""
        if not pool.used:
            attempt.ended(Outcome.CONNECT_FAILED, NOTHING)
            return
        if self.descriptors.full() and not (self._evict() or self.descriptors.close_caller()):
            log.warning("no descriptor left for a connection to an endpoint")
            attempt.ended(Outcome.NOT_SENT, NOTHING)
            return
        pool.connecting.add(attempt)
        attempt.connecting = self.loop.create_task(self._connect(pool, attempt))
        self.tasks.add(attempt.connecting)
        attempt.connecting.add_done_callback(self.tasks.discard)

    async def _connect(self, pool: Pool, attempt: Attempt) -> None:
        try:
            async with asyncio.timeout(self.connect_timeout):
                await self.loop.create_connection(
                    lambda: Connection(self, pool, attempt), pool.address.host, pool.address.port
                )
        except OSError:  # refused, or not up in time
            if not attempt.given_up:
                attempt.ended(Outcome.CONNECT_FAILED, NOTHING)
        finally:
            pool.connecting.discard(attempt)
            attempt.connecting = None  # guards against a cycle through the task's traceback

    def keep(self, connection: Connection) -> None:
        """Keep a connection for the next attempt, unless its endpoint is no longer in use."""
        if not connection.pool.used:
            connection.abort()
            return
        connection.idle_since, connection.reused = time.monotonic(), True
        connection.pool.idle.append(connection)

    def lost(self, connection: Connection) -> None:
        self.open -= 1
        if connection in connection.pool.idle:
            connection.pool.idle.remove(connection)

    def _evict(self) -> bool:
        """Close the connection that has been idle for longest, if there is one."""
        idle = [pool.idle[0] for pool in self.pools.values() if pool.idle]
        if not idle:
            return False
        oldest = min(idle, key=lambda c: c.idle_since)
        oldest.pool.idle.remove(oldest)
        oldest.abort()
        return True

    def _sweep(self) -> None:
        oldest = time.monotonic() - self.idle_for
        for pool in self.pools.values():
            for connection in [c for c in pool.idle if c.idle_since <= oldest]:
                pool.idle.remove(connection)
                connection.abort()
        self.sweeping = self.loop.call_later(SWEEP, self._sweep)

    def stop(self) -> None:
        """Look after connections no longer; there are none left that matter."""
        self.sweeping.cancel()
