"""A connection to an endpoint: one attempt at a time, kept for the next. The transport round the core.

What this file answers for is the truth of an outcome: whether an attempt's last byte was written decides
whether it may have run. Nothing is ever sent again here but a request that has not run, on a new connection;
all else is the balancer's to decide.
"""

from __future__ import annotations

import asyncio
import math
import select
import time
from typing import Protocol

from millgw.endpoints.attempt import CONNECTING, HELD, WRITING, WRITTEN, Attempt, Intent
from millgw.endpoints.core import SPOILT, WHOLE, AnswerCore
from millgw.endpoints.proof import HOLD_BACK, Proof
from millgw.http.message import NOTHING, unconfirmed, unread, watcher
from millgw.interface import Outcome
from millgw.log.events import BoundLogger
from millgw.platform.config import Address
from millgw.streams.flow import Flow
from millgw.streams.room import StreamRoom
from millgw.streams.upload import Upload

ANSWER_TIME = 1.0  # s in which more of an answer must come: one that has stopped half-way is tried elsewhere
OPEN_TIME = 0.3  # s after which an answer of unknown length is passed on, as it may become a long one
STILL_COMES = 0.2  # s since its last bytes, up to which it has not stopped half-way
STREAM_STALL = 15.0  # s in which an answer that is passed on must go on, unless its caller takes none of it


class Host:
    """One life of an endpoint at one address: kept connections, and attempts still connecting to it.

    `missed` and `broken` are when (ms, monotonic) a connection last did not come up, or was ended by the
    other side: what membership asks when an endpoint's registration has gone.
    """

    __slots__ = ("address", "broken", "connecting", "idle", "missed", "proof", "since", "used")

    def __init__(self, address: Address, since: float) -> None:
        self.address = address
        self.since = since
        self.used = True
        self.idle: list[Connection] = []  # the last used at the end, which goes first
        self.connecting: dict[Attempt, None] = {}  # attempts that wait for a connection, the oldest first
        self.proof = Proof()
        self.missed = -math.inf
        self.broken = -math.inf


class Lanes(Protocol):
    """Whose turn it is to be worked on, where several pools share the core."""

    def wait(self, lane: str, connection: Connection) -> None:
        """Call the connection's `turn` when its lane's has come."""


class Home(Protocol):
    """What a connection needs of the upstream that it belongs to."""

    loop: asyncio.AbstractEventLoop
    lanes: Lanes | None
    lane: str
    open: int
    held: int
    held_back: int
    written: int
    buffer: bytearray
    streams: StreamRoom
    log: BoundLogger  # logs events with the service that it is of

    def most_held(self) -> int:
        """Bytes of answers that may be coming in at once."""

    strays_until: float  # ms; until then answers are expected to have something behind them

    def strayed(self) -> None:
        """Something came behind an answer, where nothing was asked."""

    def keep(self, connection: Connection) -> None: ...

    def lost(self, connection: Connection) -> None: ...

    def came_up(self, connection: Connection) -> None: ...

    def again(self, connection: Connection, attempt: Attempt) -> None:
        """Its connection is dead, and the attempt has not run: it goes on another one."""


class Connection:
    """An asyncio protocol, by its methods: no base class, so that it can be compiled.

    Without an `attempt` it is opened ahead of need, and counts as one that was used before: since its
    handshake it may have died like any other that stood idle.
    """

    def __init__(self, home: Home, host: Host, attempt: Attempt | None, most_body: int) -> None:
        self.home = home
        self.host = host
        self.attempt = attempt
        self.ahead = attempt is None
        self.most_body = most_body
        self.transport: asyncio.Transport | None = None
        self.poll: select.poll | None = None
        self.core: AnswerCore | None = None
        self.reused = False
        self.last_byte = b""
        self.holding: asyncio.TimerHandle | None = None
        self.prove_until = 0.0  # ms; until then the last byte waits for the rest to be confirmed
        self.counted = 0  # bytes of this answer that count as held
        self.idle_since = 0.0  # ms
        self.opened = 0.0  # ms
        self.stalled: asyncio.TimerHandle | None = None
        self.upload: Upload | None = None  # the body of its attempt, while that is passed on
        self.full = False  # the transport has enough for now
        self.poured = 0  # bytes of bodies that were passed on
        self.seen = (0, 0)  # of those, and those left in the transport, when last looked
        self.flow: Flow | None = None  # its answer, while it is passed on
        self.arrived = 0.0  # s, of the last bytes of an answer that was not whole
        self.held = False  # nothing is read: the caller does not take it
        self.waits = False  # its answer is whole and waits for its lane's turn

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def usable(self) -> bool:
        """Guards also against bytes that wait unread: they would be taken for the next request's answer."""
        return self.transport is not None and not unread(self.transport, self.poll)

    # The attempt

    def send(self, attempt: Attempt, now: float, prove: float = 0.0) -> None:
        """Write a request; its last byte only when the connection is proven (see `millgw.endpoints.proof`).

        With `prove` it waits for so long (ms) at the most until the other machine has confirmed all before
        it, and does not go if that does not come.

        Guards against connections that look open and are not: the endpoint has closed them, or resets them
        at the next request. A request whose last byte was not written has not run, so it may go again, also
        one that may never run twice.
        """
        assert self.transport is not None and self.core is not None
        self.core.begin()
        self.attempt, attempt.carrier = attempt, self
        if now > attempt.until or attempt.caller_left(now):
            self._unsent()
            return
        payload = attempt.payload()
        if attempt.upload is not None:
            self._send_head(attempt, attempt.upload, payload)
            return
        hold = self.host.proof.hold(now, attempt.repeat, self.reused, self.idle_since, self.home.strays_until)
        if prove > 0:
            hold, self.prove_until = max(hold, HOLD_BACK), now + prove
        if hold > 0:
            attempt.state = HELD
            self.last_byte = payload[-1:]
            self.home.held_back += 1
            if attempt.intent is not None:
                attempt.intent.begin()
            self.transport.write(payload[:-1])
            self.holding = self.home.loop.call_later(hold / 1000, self._complete)
        else:
            attempt.state = WRITING
            self.transport.write(payload)
            self._written()

    # A body that is passed on as it comes

    def _send_head(self, attempt: Attempt, upload: Upload, head: bytes) -> None:
        """Write the head, and the body's first piece once the connection has stood that.

        Guards against a dead connection: the first piece would be lost there, and the request with it.
        """
        assert self.transport is not None
        attempt.state = HELD
        if attempt.intent is not None:
            attempt.intent.begin()
        self.upload = upload
        self.home.held_back += 1
        self.transport.set_write_buffer_limits(high=upload.window)
        self.transport.write(head)
        self.holding = self.home.loop.call_later(HOLD_BACK / 1000, self._pour_first)

    def _pour_first(self) -> None:
        self.holding = None
        upload, attempt = self.upload, self.attempt
        if upload is None or attempt is None:
            return
        if unread(self.transport, self.poll) if self.transport is not None else True:
            self._broken()
            return
        if attempt.caller_left(time.monotonic() * 1000):
            self._unsent()
            return
        if attempt.intent is not None and not self._may_leave(attempt, attempt.intent):
            return
        attempt.state = WRITING
        self.stalled = self.home.loop.call_later(STREAM_STALL, self._look_at_upload)
        upload.taker = self
        self.more()

    def more(self) -> None:
        """Write on what has come of the body, as far as the endpoint takes it."""
        upload, attempt, transport = self.upload, self.attempt, self.transport
        if upload is None or attempt is None or transport is None or self.full or transport.is_closing():
            return
        data = upload.take()
        if upload.length is None:
            data = b"%x\r\n%b\r\n" % (len(data), data) if data else b""
            if upload.whole:
                data += b"0\r\n\r\n"
        if upload.whole:
            self.upload = upload.taker = None
            self._stop_timers()
            # From here on the transport tells when the kernel has taken the last byte.
            transport.set_write_buffer_limits(high=0)
        if data:
            self.poured += len(data)
            transport.write(data)
        if upload.whole:
            self._written()

    def _look_at_upload(self) -> None:
        """Guards against an endpoint that stops reading, and a caller that would wait for it for ever."""
        self.stalled = None
        left = 0 if self.transport is None else self.transport.get_write_buffer_size()
        if self.full and (self.poured, left) == self.seen:
            self._give_up_upload("it takes no more of a body")
            return
        self.seen = (self.poured, left)
        self.stalled = self.home.loop.call_later(STREAM_STALL, self._look_at_upload)

    def _give_up_upload(self, why: str) -> None:
        self._tell("answer-spoilt", why)
        self.abort()
        self._finish(Outcome.CONNECT_FAILED)  # its last byte was never written

    def _written(self) -> None:
        assert self.transport is not None
        # With a high-water mark of 0 the transport keeps only what the kernel did not take at once.
        if self.attempt is not None and not self.transport.get_write_buffer_size():
            self.attempt.state = WRITTEN
            self.home.written += 1

    def _complete(self) -> None:
        self.holding = None
        assert self.transport is not None
        if unread(self.transport, self.poll):
            self._broken()
        elif self.last_byte and self.prove_until > 0 and unconfirmed(self.transport):
            # Guards against a box on the way that has forgotten the connection: what is written vanishes.
            if time.monotonic() * 1000 < self.prove_until:
                self.holding = self.home.loop.call_later(HOLD_BACK / 1000, self._complete)
            else:
                self._broken()
        elif self.last_byte and self.transport.get_write_buffer_size() == 0:
            attempt = self.attempt
            intent = None if attempt is None else attempt.intent
            now = time.monotonic() * 1000
            if attempt is not None and (now > attempt.until or attempt.caller_left(now)):
                self._unsent()
                return
            if attempt is not None and intent is not None and not self._may_leave(attempt, intent):
                return
            last, self.last_byte = self.last_byte, b""
            self.prove_until = 0.0
            if attempt is not None:
                attempt.state = WRITING
            self.transport.write(last)
            self._written()

    def _unsent(self) -> None:
        """Its last byte may not leave: its window ended, its caller left, or its mark is not durable."""
        self.abort()
        self._finish(Outcome.NOT_SENT)

    def _may_leave(self, attempt: Attempt, intent: Intent) -> bool:
        """Whether what must be durable is; else it goes on, or ends unsent, when that is known."""
        durable = intent.durable()
        if durable is None:
            intent.wait(lambda: self._known(attempt))
        elif durable:
            intent.leaves(attempt)
        else:
            self._unsent()
        return durable is True

    def _known(self, attempt: Attempt) -> None:
        # Guards against one that was given up, went on elsewhere or was let go meanwhile: never twice.
        if self.attempt is not attempt or attempt.state != HELD or self.holding is not None:
            return
        if not self.host.used:
            # Guards against a mark that took longer than the grace of a drain that came meanwhile.
            self.abort()
            self._finish(Outcome.CONNECT_FAILED)
            return
        if self.upload is not None:
            self._pour_first()
        else:
            self._complete()

    def _broken(self) -> None:
        """The connection is of no use, and the request on it has not run: a kept one is made good for."""
        self.host.proof.broke(time.monotonic() * 1000)
        attempt = self.attempt
        self.abort()
        if attempt is None or not self.reused:
            self._finish(Outcome.CONNECT_FAILED)
            return
        self._stop_timers()
        self.last_byte = b""
        self._let_go_of_upload()
        self.attempt = attempt.carrier = None
        attempt.state = CONNECTING
        self.home.again(self, attempt)

    def leave(self) -> None:
        """The attempt is given up."""
        self.attempt = None
        self._let_go_of_upload()
        self._stop_timers()
        self.abort()

    def _let_go_of_upload(self) -> None:
        if self.upload is not None:
            self.upload.taker = None
            self.upload = None

    def _stop_timers(self) -> None:
        if self.stalled is not None:
            self.stalled.cancel()
            self.stalled = None
        if self.holding is not None:
            self.holding.cancel()
            self.holding = None

    def _finish(self, outcome: Outcome) -> None:
        self._stop_timers()
        self._let_go_of_upload()
        self.last_byte = b""
        self.home.held -= self.counted
        self.counted = 0
        attempt, self.attempt = self.attempt, None
        core = self.core
        if core is None:
            content = NOTHING
        else:
            content = core.content() if core.whole else NOTHING
            core.body.clear()
        if attempt is not None:
            attempt.end(outcome, content)

    # asyncio

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.home.open += 1
        attempt = self.attempt
        if not self.host.used if attempt is None else attempt.given_up:
            # Guards against an attempt that was given up, or whose endpoint drains, while it was connecting.
            self.attempt = None
            self.abort()
            return
        if attempt is not None and attempt.state != CONNECTING:
            self.attempt = attempt = None  # it went on another one meanwhile: this one is for the next
            self.ahead = True
        # Only now: a connection that never comes up has no end at which the cycle could be broken.
        self.core = AnswerCore(self.most_body)
        self.poll = watcher(transport)
        transport.set_write_buffer_limits(high=0)
        self.opened = time.monotonic() * 1000
        if attempt is None:
            self.reused, self.idle_since = True, self.opened
        self.home.came_up(self)
        if attempt is not None:
            self.host.connecting.pop(attempt, None)
            self.send(attempt, self.opened)

    def pause_writing(self) -> None:
        """The kernel did not take all: `resume_writing` tells when it has."""
        self.full = True

    def resume_writing(self) -> None:
        self.full = False
        if self.upload is not None:
            if self.upload.taker is self:
                self.more()
            return
        if not self.last_byte:
            if self.attempt is not None and self.attempt.state == WRITING:
                self.attempt.state = WRITTEN
                self.home.written += 1
        elif self.holding is None:
            self._complete()

    def get_buffer(self, sizehint: int) -> bytearray:
        return self.home.buffer

    def buffer_updated(self, nbytes: int) -> None:
        self._received(bytes(memoryview(self.home.buffer)[:nbytes]))

    def _received(self, data: bytes) -> None:
        attempt, core = self.attempt, self.core
        if self.flow is not None and core is not None:
            self._goes_on(core, data)
            return
        if attempt is None or core is None:
            # Guards against a late answer that would be taken for the next request's.
            after = time.monotonic() * 1000 - self.idle_since
            self.home.strayed()
            self.home.log.log_event(
                "bytes-after-answer", endpoint=self.host.address, after_ms=round(after, 1)
            )
            self.abort()
            return
        if self.last_byte or attempt.state == HELD:
            self._broken()  # guards against bytes that can't be this request's answer
            return
        if self.waits:
            self.turn()  # guards against bytes behind an answer that would be read as a part of it
            self._received(data)
            return
        read = core.feed(data)
        grown = len(core.body) - self.counted
        self.counted += grown
        self.home.held += grown
        if read == WHOLE and core.status == 200 and self._early():
            self._spoilt("it came before the request was whole")
        elif read == WHOLE:
            self._stop_timers()
            if self.home.lanes is None:
                self._whole(attempt, core)
            else:
                # What an answer causes is most of its cost: it waits its turn, as requests do.
                self.waits = True
                self.home.lanes.wait(self.home.lane, self)
        elif read == SPOILT:
            self._spoilt(core.why)
        elif self.home.held > self.home.most_held():
            # Guards against memory that fills with the answers of many calls, each within its bound.
            self._spoilt("too much is being answered")
        elif not core.reading:
            self._stop_timers()  # a 1xx answer has ended: the next may take its time
        elif core.long and attempt.state == WRITTEN:
            self._begin_flow()
        else:
            # What comes in one read is whole mostly: only what does not needs a timer.
            self.arrived = time.monotonic()
            if self.stalled is None:
                within = OPEN_TIME if core.open_ended else ANSWER_TIME
                self.stalled = self.home.loop.call_later(within, self._look)

    def _early(self) -> bool:
        """Whether some of the request has yet to leave: no endpoint has begun it by then."""
        return self.upload is not None or bool(self.transport and self.transport.get_write_buffer_size())

    def _look(self) -> None:
        """An answer is not whole yet: it has stopped half-way, or it goes on and may be a long one."""
        self.stalled = None
        if self.attempt is None or self.core is None or not self.core.reading:
            return
        quiet = time.monotonic() - self.arrived
        if self.core.open_ended and quiet <= STILL_COMES and self.attempt.state == WRITTEN:
            self._begin_flow()
        elif quiet < ANSWER_TIME - 0.001:
            within = OPEN_TIME if self.core.open_ended else ANSWER_TIME - quiet
            self.stalled = self.home.loop.call_later(within, self._look)
        else:
            self._spoilt("it stopped half-way")

    # An answer that is passed on as it comes

    def _begin_flow(self) -> None:
        attempt, core, home = self.attempt, self.core, self.home
        assert attempt is not None and core is not None
        if home.streams.full():
            self._spoilt("too many long answers are being passed on")
            return
        self._stop_timers()
        first = bytes(core.body)
        core.body.clear()
        home.held -= self.counted
        self.counted = 0
        flow = Flow(self, core.headers, None if core.length < 0 else core.length, home.streams.enter())
        flow.over_calls.append(self._flow_over)
        core.sink = flow.data
        self.flow = flow
        self.attempt = attempt.carrier = None
        self.arrived = time.monotonic()
        if attempt.begin(flow):
            flow.data(first)
            if not flow.over:
                self.stalled = home.loop.call_later(STREAM_STALL, self._look_at_flow)
        else:
            flow.cancel()

    def _flow_over(self, flow: Flow) -> None:
        self.flow = None
        self.go_on()  # guards against a kept connection that is never read again
        self.home.streams.leave()
        self._stop_timers()

    def _goes_on(self, core: AnswerCore, data: bytes) -> None:
        self.arrived = time.monotonic()
        flow = self.flow
        read = core.feed(data)
        if flow is None or flow.over:
            return  # its caller left at these bytes
        if read == WHOLE:
            self._give_back(core.reusable)
            flow.end()
        elif read == SPOILT:
            self._break_flow(core.why)

    def _break_flow(self, why: str) -> None:
        flow = self.flow
        self._tell("answer-broken-off", why)
        self.abort()
        if flow is not None:
            flow.break_off()

    def _look_at_flow(self) -> None:
        self.stalled = None
        quiet = time.monotonic() - self.arrived
        if self.held:
            self.stalled = self.home.loop.call_later(STREAM_STALL, self._look_at_flow)
        elif quiet < STREAM_STALL - 0.001:
            self.stalled = self.home.loop.call_later(STREAM_STALL - quiet, self._look_at_flow)
        else:
            self._break_flow("it stopped half-way")

    def hold(self) -> None:
        """The caller takes no more for now."""
        if not self.held and self.transport is not None and not self.transport.is_closing():
            self.held = True
            self.transport.pause_reading()

    def go_on(self) -> None:
        if self.held and self.transport is not None:
            self.held = False
            self.arrived = time.monotonic()
            if not self.transport.is_closing():
                self.transport.resume_reading()

    def abandon(self) -> None:
        """Nobody waits for the rest of the answer."""
        self.abort()

    def turn(self) -> None:
        """Its lane's turn has come: what its answer causes happens now."""
        if self.waits:
            self.waits = False
            if self.attempt is not None and self.core is not None:
                self._whole(self.attempt, self.core)

    def _whole(self, attempt: Attempt, core: AnswerCore) -> None:
        outcome = core.outcome()
        self._give_back(core.reusable and attempt.state == WRITTEN)
        self._finish(outcome)

    def _give_back(self, reusable: bool) -> None:
        """Its answer is out. Before what that causes, which may be sent on it at once."""
        if reusable:
            self.idle_since = time.monotonic() * 1000
            self.reused = True
            self.home.keep(self)
        else:
            self.abort()

    def _tell(self, event: str, why: str) -> None:
        attempt = self.attempt
        call = "" if attempt is None else attempt.trace.decode("ascii", "backslashreplace")
        self.home.log.log_event(event, endpoint=self.host.address, call=call, cause=why)

    def _spoilt(self, why: str) -> None:
        self._tell("answer-spoilt", why)
        self.abort()
        self._finish(Outcome.ERROR)

    def eof_received(self) -> None:
        self.host.broken = time.monotonic() * 1000
        core, attempt, flow = self.core, self.attempt, self.flow
        if core is not None and not self.waits and core.reading and core.finish():
            self.abort()
            if flow is not None:
                flow.end()
            elif attempt is not None:
                self._stop_timers()
                self._finish(core.outcome())
            return
        self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.turn()  # guards against a whole answer that would be told as a reset
        if self.flow is not None:
            self._break_flow("its connection broke")
        if self.core is not None:
            self.core.close()
        self.home.lost(self)
        if exc is not None:
            self.host.broken = time.monotonic() * 1000
        if self.last_byte or (self.attempt is not None and self.attempt.state == HELD):
            self._broken()
        elif self.attempt is not None and self.attempt.state == WRITTEN:
            self.host.proof.broke(time.monotonic() * 1000)
            self._finish(Outcome.RESET)
        else:
            self._finish(Outcome.CONNECT_FAILED)
        self.core = None
