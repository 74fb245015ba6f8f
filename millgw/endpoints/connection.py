"""A persistent connection to an endpoint, which carries one attempt at a time: transport and parser together.

This module decides whether a failed attempt may have run: it may, once its last byte was written. The only
request that is sent again here is one that has not run, on another connection; all other retries are decided
by the balancer.
"""

from __future__ import annotations

import asyncio
import select
import time
from collections.abc import Callable
from typing import Protocol

from millgw.endpoints.attempt import CONNECTING, LAST_BYTE_HELD, WRITING, WRITTEN, Attempt, Intent
from millgw.endpoints.core import COMPLETE, INVALID, AnswerCore
from millgw.endpoints.hold_policy import LAST_BYTE_HOLD_TIME
from millgw.endpoints.host import Host
from millgw.endpoints.request_body import RequestBody
from millgw.endpoints.reuse_policy import may_carry, stays_in_step
from millgw.endpoints.streamed_answer import StreamedAnswer
from millgw.http.message import (
    EMPTY_CONTENT,
    ended_by_reset,
    has_unacknowledged,
    has_unread,
    make_poll,
)
from millgw.interface import Outcome, Repeat
from millgw.log.events import BoundLogger
from millgw.streams.limiter import LONG_SO_FAR, StreamLimiter

# s without data after which an incomplete answer counts as stalled; the request is then tried elsewhere.
ANSWER_DATA_TIMEOUT = 1.0
# s after which an incomplete answer of unknown length is streamed, as it may become a long one.
OPEN_ENDED_STREAM_DELAY = 0.3
# s since its last data, up to which an answer of unknown length counts as still arriving.
RECENT_DATA_TIME = 0.2


class Lanes(Protocol):
    """Schedules work by lane, where the pools of several services share one CPU core.

    A lane is the queue of one service's pool.
    """

    def wait(self, lane: str, connection: Connection) -> None:
        """Call the connection's `turn` when it is the lane's turn."""


class ConnectionOwner(Protocol):
    """The part of `Upstream` that its connections use."""

    loop: asyncio.AbstractEventLoop
    lanes: Lanes | None
    lane: str
    open: int
    answer_bytes: int
    held_back: int
    written: int
    buffer: bytearray
    streams: StreamLimiter
    log: BoundLogger  # adds the name of the service to each event

    def answer_bytes_limit(self) -> int:
        """The limit in bytes for all incomplete answers together."""

    stray_bytes_until: float  # ms, monotonic; until then more bytes are expected behind answers

    def note_stray_bytes(self) -> None:
        """Note that bytes arrived behind an answer, while no request was outstanding."""

    def keep(self, connection: Connection) -> None: ...

    def lost(self, connection: Connection) -> None: ...

    def connected(self, connection: Connection) -> None: ...

    def resend(self, connection: Connection, attempt: Attempt) -> None:
        """Send the attempt on another connection: this one is dead, and the attempt has not run."""


class Connection:
    """An asyncio protocol by its methods. It has no base class, so that it can be compiled.

    A connection without an `attempt` is opened ahead of need. It is treated as reused, because it may have
    died since its handshake like any other idle connection.
    """

    def __init__(self, owner: ConnectionOwner, host: Host, attempt: Attempt | None, max_body: int) -> None:
        self.owner = owner
        self.host = host
        self.attempt = attempt
        self.opened_ahead = attempt is None
        self.max_body = max_body
        self.transport: asyncio.Transport | None = None
        self.poll: select.poll | None = None
        self.core: AnswerCore | None = None
        self.reused = False
        self.answered = False  # it has had an answer
        self.in_step = True  # each answer is known to be that of its own request
        self.last_byte = b""
        self.hold_timer: asyncio.TimerHandle | None = None
        self.ack_deadline = 0.0  # ms, monotonic; until then the last byte may wait for TCP to ACK the rest
        self.counted_bytes = 0  # bytes of this answer that are counted in `owner.answer_bytes`
        self.idle_since = 0.0  # ms, monotonic
        self.opened_at = 0.0  # ms, monotonic
        self.stall_timer: asyncio.TimerHandle | None = None
        self.body: RequestBody | None = None  # the attempt's body, while it is streamed
        self.write_paused = False  # writing is paused by the transport
        self.streamed: StreamedAnswer | None = None  # the answer, while it is streamed
        self.last_data_at = 0.0  # s, monotonic: when data of an incomplete answer last arrived
        self.awaits_turn = False  # the answer is complete and waits for its lane's turn

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def usable(self) -> bool:
        """Whether it is open without unread bytes, which would be taken for the next request's answer."""
        return self.transport is not None and not has_unread(self.transport, self.poll)

    def may_carry(self, repeat: Repeat, now: float) -> bool:
        """Whether it may carry a request of this kind (`millgw.endpoints.reuse_policy`)."""
        strays = now < self.owner.stray_bytes_until
        return may_carry(repeat, self.host.near, self.in_step, self.answered, now - self.idle_since, strays)

    # The attempt

    def send(self, attempt: Attempt, now: float, prove: float = 0.0) -> None:
        """Write a request, and its last byte only once the connection is trusted
        (`millgw.endpoints.hold_policy`).

        With `prove` the last byte also waits, at most for so long (ms), until TCP has acknowledged all bytes
        before it. Without that acknowledgement it is not sent.

        A connection that looks open may be dead: the endpoint has closed it, or resets it at the next
        request. A request whose last byte was not written has not run, so it may be sent again, even if it
        must never run twice.
        """
        assert self.transport is not None and self.core is not None
        self.core.begin()
        self.attempt, attempt.connection = attempt, self
        if now > attempt.send_deadline or attempt.caller_left(now):
            self.end_unsent()
            return
        if self.answered and not stays_in_step(attempt.repeat, self.host.near, now - self.idle_since):
            self.in_step = False
        payload = attempt.payload()
        hold = self.host.hold_policy.hold_time(
            now, attempt.repeat, self.reused, self.idle_since, self.owner.stray_bytes_until
        )
        if attempt.upload is not None:
            self.body = RequestBody(self, attempt, attempt.upload)
            self.body.begin(payload, max(hold, LAST_BYTE_HOLD_TIME))
            return
        if prove > 0:
            hold, self.ack_deadline = max(hold, LAST_BYTE_HOLD_TIME), now + prove
        if hold > 0:
            attempt.state = LAST_BYTE_HELD
            self.last_byte = payload[-1:]
            self.owner.held_back += 1
            if attempt.intent is not None:
                attempt.intent.begin()
            self.transport.write(payload[:-1])
            self.hold_back(hold, self._write_last_byte)
        else:
            attempt.state = WRITING
            self.transport.write(payload)
            self.note_written()

    def hold_back(self, milliseconds: float, then: Callable[[], None]) -> None:
        """Continue the request with `then` after the hold time, unless the attempt has ended by then."""
        self.hold_timer = self.owner.loop.call_later(milliseconds / 1000, then)

    def note_written(self) -> None:
        """Note that the last byte is written: the request may have run once the kernel has taken it."""
        assert self.transport is not None
        # With a high-water mark of 0 the transport buffers only what the kernel did not take at once.
        if self.attempt is not None and not self.transport.get_write_buffer_size():
            self.attempt.state = WRITTEN
            self.owner.written += 1

    def _write_last_byte(self) -> None:
        self.hold_timer = None
        assert self.transport is not None
        if has_unread(self.transport, self.poll):
            self.abandon_broken()
        elif self.last_byte and self.ack_deadline > 0 and has_unacknowledged(self.transport):
            # A NAT or firewall on the path may have dropped the connection's state: writes are then lost.
            if time.monotonic() * 1000 < self.ack_deadline:
                self.hold_back(LAST_BYTE_HOLD_TIME, self._write_last_byte)
            else:
                self.abandon_broken()
        elif self.last_byte and self.transport.get_write_buffer_size() == 0:
            attempt = self.attempt
            intent = None if attempt is None else attempt.intent
            now = time.monotonic() * 1000
            if attempt is not None and (now > attempt.send_deadline or attempt.caller_left(now)):
                self.end_unsent()
                return
            if attempt is not None and intent is not None and not self.check_intent(attempt, intent):
                return
            last, self.last_byte = self.last_byte, b""
            self.ack_deadline = 0.0
            if attempt is not None:
                attempt.state = WRITING
            self.transport.write(last)
            self.note_written()

    def end_unsent(self) -> None:
        """End the attempt before its last byte: its send deadline passed, its caller disconnected, or its
        intent record could not be made durable.
        """
        self.abort()
        self.finish(Outcome.NOT_SENT)

    def check_intent(self, attempt: Attempt, intent: Intent) -> bool:
        """Whether the intent record is durable. If that is not known yet, the request continues later; if
        the record can't be made durable, the attempt ends unsent.
        """
        durable = intent.durable()
        if durable is None:
            intent.wait(lambda: self._intent_resolved(attempt))
        elif durable:
            intent.leaves(attempt)
        else:
            self.end_unsent()
        return durable is True

    def _intent_resolved(self, attempt: Attempt) -> None:
        # The attempt may have been given up, moved to another connection or ended meanwhile.
        if self.attempt is not attempt or attempt.state != LAST_BYTE_HELD or self.hold_timer is not None:
            return
        if not self.host.in_use:
            # The endpoint was drained meanwhile, and the record may have taken longer than the drain's grace.
            self.abort()
            self.finish(Outcome.CONNECT_FAILED)
            return
        if self.body is not None:
            self.body.write_first()
        else:
            self._write_last_byte()

    def abandon_broken(self) -> None:
        """Close a dead connection whose request has not run.

        If the connection was reused, the request is sent on another one; otherwise the attempt fails.
        """
        self.host.hold_policy.note_broken(time.monotonic() * 1000)
        attempt = self.attempt
        self.abort()
        if attempt is None or not self.reused:
            self.finish(Outcome.CONNECT_FAILED)
            return
        self._stop_timers()
        self.last_byte = b""
        self._stop_body()
        self.attempt = attempt.connection = None
        attempt.state = CONNECTING
        self.owner.resend(self, attempt)

    def abandon_attempt(self) -> None:
        """Close the connection, as its attempt was given up."""
        self.attempt = None
        self._stop_body()
        self._stop_timers()
        self.abort()

    def _stop_body(self) -> None:
        if self.body is not None:
            self.body.stop()
            self.body = None

    def _stop_timers(self) -> None:
        if self.stall_timer is not None:
            self.stall_timer.cancel()
            self.stall_timer = None
        if self.hold_timer is not None:
            self.hold_timer.cancel()
            self.hold_timer = None

    def finish(self, outcome: Outcome) -> None:
        """End the attempt with its outcome."""
        self._stop_timers()
        self._stop_body()
        self.last_byte = b""
        self.owner.answer_bytes -= self.counted_bytes
        self.counted_bytes = 0
        attempt, self.attempt = self.attempt, None
        core = self.core
        if core is None:
            content = EMPTY_CONTENT
        else:
            content = core.content() if core.complete else EMPTY_CONTENT
            core.body.clear()
        if attempt is not None:
            attempt.end(outcome, content)

    # asyncio

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.owner.open += 1
        attempt = self.attempt
        if not self.host.in_use if attempt is None else attempt.given_up:
            # While it was connecting the attempt was given up, or the endpoint was told to drain.
            self.attempt = None
            self.abort()
            return
        if attempt is not None and attempt.state != CONNECTING:
            self.attempt = attempt = None  # it moved to another connection: this one is for the next attempt
            self.opened_ahead = True
        # Created only here: a failed connect has no `connection_lost` in which the cycle could be broken.
        self.core = AnswerCore(self.max_body)
        self.poll = make_poll(transport)
        transport.set_write_buffer_limits(high=0)
        self.opened_at = time.monotonic() * 1000
        if attempt is None:
            self.reused, self.idle_since = True, self.opened_at
        self.owner.connected(self)
        if attempt is not None:
            self.host.connecting.pop(attempt, None)
            self.send(attempt, self.opened_at)

    def pause_writing(self) -> None:
        """The kernel did not take all data; `resume_writing` is called when it has."""
        self.write_paused = True

    def resume_writing(self) -> None:
        self.write_paused = False
        if self.body is not None:
            if self.body.upload.consumer is self.body:
                self.body.write_more()
            return
        if not self.last_byte:
            if self.attempt is not None and self.attempt.state == WRITING:
                self.attempt.state = WRITTEN
                self.owner.written += 1
        elif self.hold_timer is None:
            self._write_last_byte()

    def get_buffer(self, sizehint: int) -> bytearray:
        return self.owner.buffer

    def buffer_updated(self, nbytes: int) -> None:
        self._received(bytes(memoryview(self.owner.buffer)[:nbytes]))

    def _received(self, data: bytes) -> None:
        attempt, core = self.attempt, self.core
        if self.streamed is not None and core is not None:
            self.streamed.received(core, data)
            return
        if attempt is None or core is None:
            # If the connection were kept, these bytes would be taken for the next request's answer.
            after_ms = time.monotonic() * 1000 - self.idle_since
            self.owner.note_stray_bytes()
            self.owner.log.log_event(
                "bytes-after-answer", endpoint=self.host.address, after_ms=round(after_ms, 1)
            )
            self.abort()
            return
        if self.last_byte or attempt.state == LAST_BYTE_HELD:
            self.abandon_broken()  # the request is not fully sent, so these bytes can't be its answer
            return
        if self.awaits_turn:
            self.turn()  # otherwise these bytes would be parsed as a part of the answer before them
            self._received(data)
            return
        result = core.feed(data)
        grown = len(core.body) - self.counted_bytes
        self.counted_bytes += grown
        self.owner.answer_bytes += grown
        if result == COMPLETE and core.status == 200 and self._request_incomplete():
            self._fail_answer("endpoint answered 200 before the whole request was sent")
        elif result == COMPLETE:
            self._stop_timers()
            if self.owner.lanes is None:
                self._handle_answer(attempt, core)
            else:
                # Handling an answer costs more than parsing it, so it waits for its turn as requests do.
                self.awaits_turn = True
                self.owner.lanes.wait(self.owner.lane, self)
        elif result == INVALID:
            self._fail_answer(core.error)
        elif self.owner.answer_bytes > self.owner.answer_bytes_limit():
            # Many answers, each within its own limit, could otherwise fill the memory.
            self._fail_answer("answers being received exceed their memory limit")
        elif not core.in_message:
            self._stop_timers()  # a 1xx answer is complete: the final answer is not timed until it begins
        elif core.too_long_to_buffer and attempt.state == WRITTEN:
            self._begin_streaming()
        else:
            # Most answers arrive in one read; only the others need a timer.
            self.last_data_at = time.monotonic()
            if self.stall_timer is None:
                delay = OPEN_ENDED_STREAM_DELAY if core.open_ended else ANSWER_DATA_TIMEOUT
                self.stall_timer = self.owner.loop.call_later(delay, self._check_progress)

    def _request_incomplete(self) -> bool:
        """Whether a part of the request is not sent yet, so that no endpoint can have run it."""
        return self.body is not None or bool(self.transport and self.transport.get_write_buffer_size())

    def _check_progress(self) -> None:
        """Stream an incomplete answer of unknown length that still arrives; fail one that has stalled."""
        self.stall_timer = None
        if self.attempt is None or self.core is None or not self.core.in_message:
            return
        quiet = time.monotonic() - self.last_data_at
        if self._streams_open_ended(self.attempt, self.core, quiet):
            self._begin_streaming()
        elif quiet < ANSWER_DATA_TIMEOUT - 0.001:
            delay = OPEN_ENDED_STREAM_DELAY if self.core.open_ended else ANSWER_DATA_TIMEOUT - quiet
            self.stall_timer = self.owner.loop.call_later(delay, self._check_progress)
        else:
            self._fail_answer("it stopped half-way")

    def _streams_open_ended(self, attempt: Attempt, core: AnswerCore, quiet: float) -> bool:
        """Whether an answer, of which nothing came for `quiet` s, is to be streamed as its length is unknown.

        Where the call could be tried again, an answer that has stalled is held, unless it seems to be a long
        one whose endpoint writes slowly: cutting that off would lose the call.
        """
        if not core.open_ended or attempt.state != WRITTEN or self.owner.streams.full():
            return False
        stalled = quiet >= ANSWER_DATA_TIMEOUT - 0.001
        return (
            quiet <= RECENT_DATA_TIME
            or attempt.repeat is Repeat.UNSAFE
            or (stalled and core.body_bytes >= LONG_SO_FAR)
        )

    def _begin_streaming(self) -> None:
        """Stream the answer to its caller from now on; this ends the attempt."""
        attempt, core, home = self.attempt, self.core, self.owner
        assert attempt is not None and core is not None
        if home.streams.full():
            self._fail_answer("too many streams are open")
            return
        self._stop_timers()
        first = bytes(core.body)
        core.body.clear()
        home.answer_bytes -= self.counted_bytes
        self.counted_bytes = 0
        self.streamed = streamed = StreamedAnswer(self, core, attempt.trace_id)
        self.attempt = attempt.connection = None
        streamed.begin(attempt, first)

    def turn(self) -> None:
        """Handle the complete answer, as it is its lane's turn."""
        if self.awaits_turn:
            self.awaits_turn = False
            if self.attempt is not None and self.core is not None:
                self._handle_answer(self.attempt, self.core)

    def _handle_answer(self, attempt: Attempt, core: AnswerCore) -> None:
        outcome = core.outcome()
        self.release(core.reusable and attempt.state == WRITTEN)
        self.finish(outcome)

    def release(self, reusable: bool) -> None:
        """Keep the connection after its answer, or close it.

        Called before the answer is handled, so that a request which that causes can reuse the connection.
        """
        if reusable:
            self.idle_since = time.monotonic() * 1000
            self.reused = self.answered = True
            self.owner.keep(self)
        else:
            self.abort()

    def log_failure(self, event: str, cause: str, trace_id: bytes) -> None:
        """Log why an answer to this call failed."""
        shown = trace_id.decode("ascii", "backslashreplace")
        self.owner.log.log_event(event, endpoint=self.host.address, call=shown, cause=cause)

    def _fail_answer(self, cause: str) -> None:
        self.log_failure("answer-spoilt", cause, b"" if self.attempt is None else self.attempt.trace_id)
        self.abort()
        self.finish(Outcome.ERROR)

    def eof_received(self) -> None:
        self.host.last_broken = time.monotonic() * 1000
        core, attempt, streamed = self.core, self.attempt, self.streamed
        assert self.transport is not None
        cut = ended_by_reset(self.transport, self.poll)
        if core is not None and not (cut or self.awaits_turn) and core.in_message and core.connection_ended():
            self.abort()
            if streamed is not None:
                streamed.end()
            elif attempt is not None:
                self._stop_timers()
                self.finish(core.outcome())
            return
        self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.turn()  # otherwise a complete answer that waits would count as a reset
        if self.streamed is not None:
            self.streamed.break_off("connection to the endpoint broke")
        if self.core is not None:
            self.core.close()
        self.owner.lost(self)
        if exc is not None:
            self.host.last_broken = time.monotonic() * 1000
        if self.last_byte or (self.attempt is not None and self.attempt.state == LAST_BYTE_HELD):
            self.abandon_broken()
        elif self.attempt is not None and self.attempt.state == WRITTEN:
            self.host.hold_policy.note_broken(time.monotonic() * 1000)
            self.finish(Outcome.RESET)
        else:
            self.finish(Outcome.CONNECT_FAILED)
        self.core = None
