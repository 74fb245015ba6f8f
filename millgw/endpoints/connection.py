"""A connection to an endpoint: one attempt at a time, kept for the next. The transport round the core.

What this file answers for is the truth of an outcome: whether an attempt's last byte was written decides
whether it may have run. Nothing is ever sent again here but a request that has not run, on a new connection;
all else is the balancer's to decide.
"""

from __future__ import annotations

import asyncio
import select
import time
from collections.abc import Callable
from typing import Protocol

from millgw.endpoints.attempt import CONNECTING, HELD, WRITING, WRITTEN, Attempt, Intent
from millgw.endpoints.core import SPOILT, WHOLE, AnswerCore
from millgw.endpoints.host import Host
from millgw.endpoints.proof import HOLD_BACK
from millgw.endpoints.request_body import RequestBody
from millgw.endpoints.streamed_answer import StreamedAnswer
from millgw.http.message import NOTHING, unconfirmed, unread, watcher
from millgw.interface import Outcome
from millgw.log.events import BoundLogger
from millgw.streams.room import StreamRoom

ANSWER_TIME = 1.0  # s in which more of an answer must come: one that has stopped half-way is tried elsewhere
OPEN_TIME = 0.3  # s after which an answer of unknown length is passed on, as it may become a long one
STILL_COMES = 0.2  # s since its last bytes, up to which it has not stopped half-way


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
        self.body: RequestBody | None = None  # of its attempt, while that is passed on as it comes
        self.full = False  # the transport has enough for now
        self.streamed: StreamedAnswer | None = None  # its answer, while that is passed on as it comes
        self.arrived = 0.0  # s, of the last bytes of an answer that was not whole
        self.waits = False  # its answer is whole and waits for its lane's turn

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def usable(self) -> bool:
        """Whether it is open and holds no bytes unread: they would be taken for the next request's answer."""
        return self.transport is not None and not unread(self.transport, self.poll)

    # The attempt

    def send(self, attempt: Attempt, now: float, prove: float = 0.0) -> None:
        """Write a request; its last byte only when the connection is proven (see `millgw.endpoints.proof`).

        With `prove` it waits for so long (ms) at the most until the other machine has confirmed all before
        it, and does not go if that does not come.

        A connection that looks open may not be: the endpoint has closed it, or resets it at the next request.
        A request whose last byte was not written has not run, so it may go again, also one that may never run
        twice.
        """
        assert self.transport is not None and self.core is not None
        self.core.begin()
        self.attempt, attempt.carrier = attempt, self
        if now > attempt.until or attempt.caller_left(now):
            self.end_unsent()
            return
        payload = attempt.payload()
        if attempt.upload is not None:
            self.body = RequestBody(self, attempt, attempt.upload)
            self.body.begin(payload)
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
            self.hold_back(hold, self._complete)
        else:
            attempt.state = WRITING
            self.transport.write(payload)
            self.note_written()

    def hold_back(self, milliseconds: float, then: Callable[[], None]) -> None:
        """Go on with the request after so long, unless the attempt is over by then."""
        self.holding = self.home.loop.call_later(milliseconds / 1000, then)

    def note_written(self) -> None:
        """Its last byte is written: it may have run once the kernel has taken that."""
        assert self.transport is not None
        # With a high-water mark of 0 the transport keeps only what the kernel did not take at once.
        if self.attempt is not None and not self.transport.get_write_buffer_size():
            self.attempt.state = WRITTEN
            self.home.written += 1

    def _complete(self) -> None:
        self.holding = None
        assert self.transport is not None
        if unread(self.transport, self.poll):
            self.leave_broken()
        elif self.last_byte and self.prove_until > 0 and unconfirmed(self.transport):
            # A box on the way may have forgotten the connection: what is written then vanishes.
            if time.monotonic() * 1000 < self.prove_until:
                self.hold_back(HOLD_BACK, self._complete)
            else:
                self.leave_broken()
        elif self.last_byte and self.transport.get_write_buffer_size() == 0:
            attempt = self.attempt
            intent = None if attempt is None else attempt.intent
            now = time.monotonic() * 1000
            if attempt is not None and (now > attempt.until or attempt.caller_left(now)):
                self.end_unsent()
                return
            if attempt is not None and intent is not None and not self.may_leave(attempt, intent):
                return
            last, self.last_byte = self.last_byte, b""
            self.prove_until = 0.0
            if attempt is not None:
                attempt.state = WRITING
            self.transport.write(last)
            self.note_written()

    def end_unsent(self) -> None:
        """Its last byte may not leave: its window ended, its caller left, or its mark is not durable."""
        self.abort()
        self.finish(Outcome.NOT_SENT)

    def may_leave(self, attempt: Attempt, intent: Intent) -> bool:
        """Whether what must be durable is; else it goes on, or ends unsent, when that is known."""
        durable = intent.durable()
        if durable is None:
            intent.wait(lambda: self._known(attempt))
        elif durable:
            intent.leaves(attempt)
        else:
            self.end_unsent()
        return durable is True

    def _known(self, attempt: Attempt) -> None:
        # One that was given up, went on elsewhere or was let go meanwhile must not be written here.
        if self.attempt is not attempt or attempt.state != HELD or self.holding is not None:
            return
        if not self.host.used:
            # The mark may have taken longer than the grace of a drain that came meanwhile.
            self.abort()
            self.finish(Outcome.CONNECT_FAILED)
            return
        if self.body is not None:
            self.body.write_first()
        else:
            self._complete()

    def leave_broken(self) -> None:
        """The connection is of no use, and the request on it has not run: a kept one is made good for."""
        self.host.proof.broke(time.monotonic() * 1000)
        attempt = self.attempt
        self.abort()
        if attempt is None or not self.reused:
            self.finish(Outcome.CONNECT_FAILED)
            return
        self._stop_timers()
        self.last_byte = b""
        self._let_go_of_body()
        self.attempt = attempt.carrier = None
        attempt.state = CONNECTING
        self.home.again(self, attempt)

    def leave(self) -> None:
        """The attempt is given up."""
        self.attempt = None
        self._let_go_of_body()
        self._stop_timers()
        self.abort()

    def _let_go_of_body(self) -> None:
        if self.body is not None:
            self.body.stop()
            self.body = None

    def _stop_timers(self) -> None:
        if self.stalled is not None:
            self.stalled.cancel()
            self.stalled = None
        if self.holding is not None:
            self.holding.cancel()
            self.holding = None

    def finish(self, outcome: Outcome) -> None:
        """Tell what came of the attempt."""
        self._stop_timers()
        self._let_go_of_body()
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
            # The attempt was given up, or its endpoint told to drain, while it was connecting.
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
        if self.body is not None:
            if self.body.upload.taker is self.body:
                self.body.more()
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
        if self.streamed is not None and core is not None:
            self.streamed.received(core, data)
            return
        if attempt is None or core is None:
            # A late answer would be taken for the next request's.
            after = time.monotonic() * 1000 - self.idle_since
            self.home.strayed()
            self.home.log.log_event(
                "bytes-after-answer", endpoint=self.host.address, after_ms=round(after, 1)
            )
            self.abort()
            return
        if self.last_byte or attempt.state == HELD:
            self.leave_broken()  # these bytes can't be this request's answer
            return
        if self.waits:
            self.turn()  # bytes behind an answer would be read as a part of it
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
            # The answers of many calls, each within its bound, would fill the memory.
            self._spoilt("too much is being answered")
        elif not core.reading:
            self._stop_timers()  # a 1xx answer has ended: the next may take its time
        elif core.long and attempt.state == WRITTEN:
            self._begin_streaming()
        else:
            # What comes in one read is whole mostly: only what does not needs a timer.
            self.arrived = time.monotonic()
            if self.stalled is None:
                within = OPEN_TIME if core.open_ended else ANSWER_TIME
                self.stalled = self.home.loop.call_later(within, self._look)

    def _early(self) -> bool:
        """Whether some of the request has yet to leave: no endpoint has begun it by then."""
        return self.body is not None or bool(self.transport and self.transport.get_write_buffer_size())

    def _look(self) -> None:
        """An answer is not whole yet: it has stopped half-way, or it goes on and may be a long one."""
        self.stalled = None
        if self.attempt is None or self.core is None or not self.core.reading:
            return
        quiet = time.monotonic() - self.arrived
        if self.core.open_ended and quiet <= STILL_COMES and self.attempt.state == WRITTEN:
            self._begin_streaming()
        elif quiet < ANSWER_TIME - 0.001:
            within = OPEN_TIME if self.core.open_ended else ANSWER_TIME - quiet
            self.stalled = self.home.loop.call_later(within, self._look)
        else:
            self._spoilt("it stopped half-way")

    def _begin_streaming(self) -> None:
        """Pass the answer on as it comes: from now on it is its caller's, and the attempt is over."""
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
        self.streamed = streamed = StreamedAnswer(self, core, attempt.trace)
        self.attempt = attempt.carrier = None
        streamed.begin(attempt, first)

    def turn(self) -> None:
        """Its lane's turn has come: what its answer causes happens now."""
        if self.waits:
            self.waits = False
            if self.attempt is not None and self.core is not None:
                self._whole(self.attempt, self.core)

    def _whole(self, attempt: Attempt, core: AnswerCore) -> None:
        outcome = core.outcome()
        self.give_back(core.reusable and attempt.state == WRITTEN)
        self.finish(outcome)

    def give_back(self, reusable: bool) -> None:
        """Its answer is out. Before what that causes, which may be sent on it at once."""
        if reusable:
            self.idle_since = time.monotonic() * 1000
            self.reused = True
            self.home.keep(self)
        else:
            self.abort()

    def log_failure(self, event: str, why: str, call: bytes) -> None:
        """Log what went wrong with an answer to this call."""
        shown = call.decode("ascii", "backslashreplace")
        self.home.log.log_event(event, endpoint=self.host.address, call=shown, cause=why)

    def _spoilt(self, why: str) -> None:
        self.log_failure("answer-spoilt", why, b"" if self.attempt is None else self.attempt.trace)
        self.abort()
        self.finish(Outcome.ERROR)

    def eof_received(self) -> None:
        self.host.broken = time.monotonic() * 1000
        core, attempt, streamed = self.core, self.attempt, self.streamed
        if core is not None and not self.waits and core.reading and core.finish():
            self.abort()
            if streamed is not None:
                streamed.end()
            elif attempt is not None:
                self._stop_timers()
                self.finish(core.outcome())
            return
        self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.turn()  # otherwise a whole answer would count as a reset
        if self.streamed is not None:
            self.streamed.break_off("its connection broke")
        if self.core is not None:
            self.core.close()
        self.home.lost(self)
        if exc is not None:
            self.host.broken = time.monotonic() * 1000
        if self.last_byte or (self.attempt is not None and self.attempt.state == HELD):
            self.leave_broken()
        elif self.attempt is not None and self.attempt.state == WRITTEN:
            self.host.proof.broke(time.monotonic() * 1000)
            self.finish(Outcome.RESET)
        else:
            self.finish(Outcome.CONNECT_FAILED)
        self.core = None
