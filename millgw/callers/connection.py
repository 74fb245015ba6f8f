"""One caller's connection: the asyncio protocol around `RequestCore`, serving one request at a time.

A request that can't be parsed is answered 4xx and never reaches a driver; every other one becomes a call.
"""

from __future__ import annotations

import asyncio
import math
import select
import time

from millgw.callers.connection_log import (
    CAUSE_DISCONNECTED,
    client_address,
    log_closed,
    log_refused,
    log_unanswered,
)
from millgw.callers.core import RequestCore, encode_answer
from millgw.callers.interface import ListeningServer
from millgw.callers.progress import ReceiveProgress
from millgw.callers.streamed_answer import StreamedAnswer
from millgw.callers.streamed_body import StreamedBody
from millgw.callers.write_stall import WriteStall
from millgw.callers.write_time import WriteTimeBound
from millgw.http.message import Answer, has_unread, make_poll, peer_closed, seconds_since_received, send_fin
from millgw.http.request import BadRequest, Head
from millgw.pool.call import Call
from millgw.streams.flow import Flow
from millgw.streams.upload import Upload

PARSE_SLICE = 1024  # bytes parsed at a time; what follows a request that is ready to be served stays unparsed
LINGER = 0.5  # s that a connection stays open after a final 4xx, so that a client still sending can read it
CLOSE_STALL_TIMEOUT = 3.0  # s in which the client of a closing connection must read some of the last answer
MAX_DISCARD = 256 * 1024  # bytes read and discarded on an ended connection
MAX_BODY_DISCARD = 64 * 1024 * 1024  # bytes of the rest of a body read and discarded after an early answer
DISCARD_STALL_TIMEOUT = 2.0  # s in which more of that rest must arrive
BAD_REQUEST_PAUSE = 0.1  # s before the next bad request of a connection is answered; doubles with each one
MAX_BAD_REQUESTS = 4  # consecutive bad requests after which the connection is closed
MAX_UNREAD_ANSWERS = 4096  # bytes that the kernel did not take, beyond which no further request is served
MAX_TURN = 4 * PARSE_SLICE  # bytes parsed in one turn, of what is parsed in slices
NO_LANE = ""  # the lane of connections before their first request


class CallerConnection:
    """Serves one request at a time; pipelined ones wait unparsed.

    It has the methods of an asyncio buffered protocol, but no base class, so that it can be compiled.
    """

    def __init__(self, server: ListeningServer, unread_since: float = math.inf) -> None:
        self.server = server
        self.unread_since = unread_since  # s, since when bytes may have waited unread in the socket
        self.core = RequestCore(server.front.assign_pool)
        self.transport: asyncio.Transport | None = None
        self.poll: select.poll | None = None
        self.last_used = time.monotonic()
        self.opened = self.last_used
        self.progress = ReceiveProgress(self.last_used)
        self.read_buffer = server.buffer  # the one of the present read, which all connections share
        self.unparsed = b""
        self.lane = NO_LANE
        self.awaits_turn = False
        self.current: Call | None = None
        self.current_head: Head | None = None  # the request that `current` was made from
        self.streamed: StreamedAnswer | None = None  # the answer that is being streamed to the client
        self.bytes_at_last_check = 0  # at the last check: bytes unread by the client, or discarded
        self.bad_requests = 0
        self.delayed_refusal: BadRequest | None = None  # sent once the pause after a bad request is over
        self.discarded = 0
        self.max_discard = MAX_DISCARD
        self.streamed_body: StreamedBody | None = None  # the body that is being streamed, until complete
        self.write_time = WriteTimeBound()
        self.written_after = self.last_used  # s, earliest time at which the last bytes read were written
        self.pause_timer: asyncio.TimerHandle | None = None
        self.linger_timer: asyncio.TimerHandle | None = None
        self.serving = False
        self.write_stall: WriteStall | None = None  # while the write buffer is full
        self.paused = False
        self.keep_alive = True
        self.ended = False

    @property
    def busy(self) -> bool:
        open = self.current is not None or self.streamed is not None or self.delayed_refusal is not None
        return open or (self.ended and self.pause_timer is not None) or bool(self.core.queue)

    @property
    def partly_received(self) -> bool:
        """Whether a request has been received in part, and nothing is being served."""
        return self.core.head is not None and not self.busy and not self.ended

    def idle_for(self, min_idle: float) -> bool:
        """Whether it has been between requests for `min_idle` s, and no request waits to be read or parsed.

        Closing it with a request unread could lose that request: a client whose request crosses the close
        sends it again, but only once, and under many connections the next one may be closed as well.
        """
        if self.transport is None or self.awaits_turn or time.monotonic() < self.last_used + min_idle:
            return False
        return not has_unread(self.transport, self.poll)

    def close_if_idle(self, min_idle: float, cause: str) -> bool:
        """Close it if `idle_for(min_idle)`; True if it was closed.

        The FIN is sent at once. The transport would send it in the next iteration of the event loop, which
        may be late, and a request that the client writes before that would be reset.
        """
        transport = self.transport
        if transport is None or not self.idle_for(min_idle):
            return False
        send_fin(transport)
        now = time.monotonic()
        log_closed(
            client_address(transport),
            cause,
            self.core.requests_begun,
            now - self.opened,
            now - self.last_used,
        )
        self.close()
        return True

    def close(self) -> None:
        self.ended = True
        self.unparsed = b""
        self.delayed_refusal = None
        self._release_bodies()
        if self.pause_timer is not None:
            self.pause_timer.cancel()
            self.pause_timer = None
        self.server.connection_closed(self)
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        transport.close()
        self.bytes_at_last_check = transport.get_write_buffer_size()
        if self.bytes_at_last_check:
            self.linger_timer = self.server.loop.call_later(CLOSE_STALL_TIMEOUT, self._check_linger)

    def _check_linger(self) -> None:
        """Abort it if its client does not read the last answer; otherwise it would stay open for ever."""
        self.linger_timer = None
        transport = self.transport
        if transport is None:
            return
        left = transport.get_write_buffer_size()
        if left >= self.bytes_at_last_check:
            transport.abort()
        else:
            self.bytes_at_last_check = left
            self.linger_timer = self.server.loop.call_later(CLOSE_STALL_TIMEOUT, self._check_linger)

    def abort(self) -> None:
        """Abort it because its client reads nothing."""
        if self.transport is not None:
            self.transport.abort()

    def _release_bodies(self) -> None:
        """Release the memory of request bodies that are not being served."""
        if self.core.head is not None:
            self.core.head.release()
        for item in self.core.queue:
            if isinstance(item, Head):
                item.release()

    # asyncio

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.poll = make_poll(transport)
        transport.set_write_buffer_limits(high=MAX_UNREAD_ANSWERS)
        self.server.connections.add(self)
        self.server.newly_connected[self] = None

    def get_buffer(self, sizehint: int) -> bytearray:
        """The buffer of the next read: while connections wait for turns, one of a turn's size."""
        contended = self.awaits_turn or self.server.turns.contended()
        self.read_buffer = self.server.turn_buffer if contended else self.server.buffer
        return self.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        if self.ended:
            self.discarded += nbytes
            if self.discarded > self.max_discard and self.transport is not None:
                self.transport.pause_reading()  # what still arrives is not needed
            return
        arrived = time.monotonic()
        self.written_after = self.write_time.read(arrived, nbytes, nbytes < len(self.read_buffer))
        if self.unread_since < arrived:
            arrived -= self._socket_delay(arrived)
        self.progress.last_received = arrived
        self.unparsed += self.read_buffer[:nbytes]
        if self.awaits_turn:
            self._pause_reading()  # otherwise memory would grow while it waits for its turn
        elif self.server.turns.contended():
            self.awaits_turn = True
            self.server.turns.wait(self.lane, self)
        else:
            self._parse()

    def _socket_delay(self, now: float) -> float:
        """Seconds for which the bytes just read had waited in the socket.

        Deadlines count from when the client sent, also while the connection waited to be accepted, or was not
        read because a previous answer was outstanding.
        """
        max_delay, self.unread_since = now - self.unread_since, math.inf
        return 0.0 if self.transport is None else min(max_delay, seconds_since_received(self.transport))

    def turn(self) -> None:
        """Called when it is the lane's turn: parse what was read."""
        self.awaits_turn = False
        if self.transport is not None and not self.transport.is_closing():
            self._parse()

    def _parse(self) -> None:
        """Parse until there is a request to serve, or the turn of this connection is over.

        What follows a request stays unparsed, and at most one read of it is held, as it may be a flood of
        requests.
        """
        if self.awaits_turn:
            return
        core = self.core
        left = MAX_TURN  # bytes of this turn
        while self.unparsed and not self.ended:
            streamed_body = self.streamed_body
            if self.busy if streamed_body is None else streamed_body.full:
                break
            if left <= 0:
                self._wait_again()
                break
            size = PARSE_SLICE if streamed_body is None or core.mostly_framing else len(self.unparsed)
            part, self.unparsed = self.unparsed[:size], self.unparsed[size:]
            left -= size
            begun_before = core.requests_begun
            error = core.feed(part, self.progress.last_received)
            if core.requests_begun != begun_before:
                self._request_begun()
            if error is not None:
                self.refuse(error)
                break
            if core.head is not None and core.head.pool is not None:
                self.lane = core.head.pool.name
            if core.expects_continue and not self.busy and self.transport is not None:
                core.expects_continue = False
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                self.progress.last_received = time.monotonic()  # the client is expected to send from now on
            if self.streamed_body is not None:
                self.streamed_body.received()
            elif core.head is not None and core.head.streams_body and not self.busy:
                self._begin_upload(core.head)
            self._serve_queue()
        transport = self.transport
        if transport is None or self.ended or transport.is_closing():
            return
        if self.unparsed or core.queue or self.write_stall is not None:
            self._pause_reading()
        else:
            if self.paused:
                self._resume_reading(transport)
            if core.requests_begun and core.head is None and not self.busy:
                self.server.between_requests[self] = None

    def _wait_again(self) -> None:
        if not self.awaits_turn:
            self.awaits_turn = True
            self.server.turns.wait_again(self.lane, self)

    def _pause_reading(self) -> None:
        if not self.paused and self.transport is not None:
            self.paused = True
            now = time.monotonic()
            self.progress.pause(now)
            self.write_time.paused(now)
            self.transport.pause_reading()

    def _resume_reading(self, transport: asyncio.Transport) -> None:
        self.paused = False
        if self.progress.paused_since is not None:
            self.unread_since = self.progress.paused_since
        self.progress.resume(time.monotonic())
        transport.resume_reading()

    def _request_begun(self) -> None:
        self.server.mark_busy(self)
        self.last_used = time.monotonic()
        self.progress.begin(self.last_used)
        self.write_time.request_begun(self.last_used)

    # Request bodies that are streamed to an endpoint

    def _begin_upload(self, head: Head) -> None:
        """Begin the call of a request whose body is too long to be held whole, while the body arrives."""
        self.keep_alive = head.keep_alive
        try:
            result = self.server.front.make_call(head, self._answer)
        except BadRequest as bad:
            self._report_status(head, bad.status)
            head.release()
            self._answer_early(bad.answer())
            return
        if not isinstance(result, Call) or head.pool is None:
            head.release()
            if isinstance(result, Answer):
                self._report_status(head, result.status)
                self._answer_early(result)
            return
        result.client_gone = self.client_gone
        upload = Upload(
            None if head.declared_length < 0 else head.declared_length,
            head.pool.enter(),
            self._upload_has_room,
        )
        upload.append(bytes(head.body))
        head.release()
        head.upload = result.upload = upload
        self.bad_requests = 0
        self.current, self.current_head = result, head
        self.streamed_body = StreamedBody(self, result, upload)
        result.owner.accept(result)

    def end_streamed_body(self) -> None:
        """Drop the streamed body: it is complete, or its call is over."""
        streamed_body, self.streamed_body = self.streamed_body, None
        if streamed_body is not None:
            streamed_body.end()

    def _upload_has_room(self) -> None:
        self.server.loop.call_soon(self._parse)

    def _cancel_upload(self) -> None:
        """Drop the call whose request body will not be completed."""
        call, self.current = self.current, None
        self.end_streamed_body()
        self._release_current()
        if call is not None:
            call.owner.client_left(call)

    def _incomplete_head(self) -> Head | None:
        """The incomplete request whose client is expected to send; None if there is none."""
        if self.ended or self.awaits_turn or (self.streamed_body is None and self.busy):
            return None
        return self.core.head

    def end_overdue(self, now: float) -> None:
        """Answer 408 to a request that was not completed in time (see `millgw.callers.progress`).

        Nothing is done while bytes wait in the socket: the client sent them in time, this side is late.
        """
        head, transport = self._incomplete_head(), self.transport
        if head is None or transport is None or has_unread(transport, self.poll):
            return
        overdue = self.progress.overdue(now, self.core.in_body, head.body_received)
        if overdue is not None:
            self.refuse(BadRequest(408, overdue.value))

    def end_slow(self, now: float) -> bool:
        """Answer 408 to a request that arrives slowly, as others need room; False if it does not."""
        head = self._incomplete_head()
        if head is None or not self.progress.slow(now, head.body_received):
            return False
        self.refuse(BadRequest(408, "it comes in slowly, and others need its connection"))
        return True

    def _answer_early(self, answer: Answer) -> None:
        """Answer a request whose body is still arriving, and discard the rest of it until the client stops.

        Otherwise the answer would be lost: a connection that is closed while its client still sends is reset,
        and the client loses what it has not read by then.
        """
        self.end_streamed_body()
        self._release_current()
        self.ended = True
        self.keep_alive = False
        self.unparsed = b""
        self.core.queue.clear()
        self._write(answer)
        if self.transport is not None and not self.transport.is_closing():
            self.server.mark_busy(self)
            self.max_discard = MAX_BODY_DISCARD
            if self.paused:
                self._resume_reading(self.transport)
            self.bytes_at_last_check = -1
            self._check_discard()

    def _check_discard(self) -> None:
        """Close once no more of the body arrives, or too much of it has."""
        if self.discarded == self.bytes_at_last_check or self.discarded > self.max_discard:
            self.close()
            return
        self.bytes_at_last_check = self.discarded
        self.pause_timer = self.server.loop.call_later(DISCARD_STALL_TIMEOUT, self._check_discard)

    def pause_writing(self) -> None:
        """Stop reading: otherwise a client that never reads its answers could send requests without end."""
        self.write_stall = WriteStall(time.monotonic())
        if self.streamed is not None:
            self.streamed.pause()
        self._parse()

    def resume_writing(self) -> None:
        self.write_stall = None
        if self.streamed is not None:
            self.streamed.resume()
        self._serve_and_parse()

    def eof_received(self) -> None:
        self._client_left()

    def client_gone(self) -> bool:
        """Whether the client has disconnected according to the kernel; the event loop may report it later.

        Otherwise attempts would be made for a client that is gone. If a request waited in the socket because
        the connection was not accepted yet or the process was not scheduled, the event loop delivers the
        bytes first and the end in its next iteration.
        """
        return self.transport is not None and peer_closed(self.transport, self.poll)

    def check_client_gone(self) -> None:
        """Drop the calls of a client that disconnected while reading was paused."""
        if self.client_gone():
            self._client_left()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.linger_timer is not None:
            self.linger_timer.cancel()
            self.linger_timer = None
        self._client_left()
        self.core.close()

    def _log_unanswered(self) -> None:
        waiting = sum(isinstance(item, Head) for item in self.core.queue)
        open_now = self.current is not None or self.streamed is not None
        if waiting or open_now:
            now = time.monotonic()
            age, quiet = now - self.opened, now - self.progress.last_received
            log_unanswered(client_address(self.transport), CAUSE_DISCONNECTED, waiting + open_now, age, quiet)

    def _client_left(self) -> None:
        self._log_unanswered()
        self.close()
        self.core.queue.clear()
        self.core.head = None
        self.end_streamed_body()
        call, self.current = self.current, None
        streamed, self.streamed = self.streamed, None
        if call is not None:
            self._release_current()
            call.owner.client_left(call)
        if streamed is not None:
            self._release_current()
            streamed.cancel()

    def _release_current(self) -> None:
        head, self.current_head = self.current_head, None
        if head is not None:
            head.release()
            if head.upload is not None and head.pool is not None:
                head.pool.leave()

    # Answers

    def refuse(self, bad: BadRequest) -> None:
        """Queue the refusal of an unreadable request behind those before it; nothing is read after it."""
        self.ended = True
        self.unparsed = b""
        if self.streamed_body is not None:
            self._cancel_upload()
        if self.core.head is not None:
            bad.stage, bad.trace_id = self.core.receive_stage(), self.core.head.trace_id
            self.core.head.release()
            self.core.head = None
        self.core.queue.append(bad)
        self._serve_queue()

    def _serve_queue(self) -> None:
        """Serve queued requests one by one. Not reentrant: a call may be answered at once from within."""
        if self.serving:
            return
        self.serving = True
        queue = self.core.queue
        while queue and self.write_stall is None:
            if self.current is not None or self.streamed is not None or self.delayed_refusal is not None:
                break
            if self.paused and self.client_gone():
                self._client_left()  # the client is gone, so the requests behind are not needed either
                break
            item = queue.popleft()
            if isinstance(item, BadRequest):
                self._refuse_and_close(item)
                break
            self.keep_alive = item.keep_alive
            try:
                result = self.server.front.make_call(item, self._answer)
            except BadRequest as bad:
                bad.trace_id = item.trace_id
                self._report_status(item, bad.status)
                item.release()
                self._refuse_and_pause(bad)
                continue
            self.bad_requests = 0
            self.current_head = item
            if isinstance(result, Call):
                self.current = result
                result.client_gone = self.client_gone
                if item.pool is not None:
                    self.lane = item.pool.name
                result.owner.accept(result)
            else:
                self._answer(result)
        self.serving = False

    @staticmethod
    def _report_status(head: Head | None, status: int) -> None:
        """Report the final status of a request to its pool."""
        if head is not None and head.pool is not None:
            head.pool.answered(head, status)

    def _answer(self, answer: Answer) -> None:
        self.current = None
        if answer.flow is not None:
            self._stream_answer(answer, answer.flow)
            return
        self._report_status(self.current_head, answer.status)
        if self.streamed_body is not None:
            self._answer_early(answer)
            return
        self._release_current()
        self._write(answer)
        self.answer_ended()

    # Streamed answers

    def _stream_answer(self, answer: Answer, flow: Flow) -> None:
        transport, head = self.transport, self.current_head
        if transport is None or transport.is_closing() or head is None:
            flow.cancel()
            return
        head.release()
        self.streamed = streamed = StreamedAnswer(self, flow, head.version)
        if streamed.until_close or self.streamed_body is not None:
            self.keep_alive = False  # delimited by the close, or the request body is still arriving
        streamed.begin(transport, answer, not self.keep_alive or self.server.stopping)

    def stream_ended(self, status: int) -> None:
        """The streamed answer has ended."""
        self.streamed = None
        self._report_status(self.current_head, status)
        self._release_current()
        if self.transport is not None and not self.transport.is_closing():
            self.transport.set_write_buffer_limits(high=MAX_UNREAD_ANSWERS)

    def answer_ended(self) -> None:
        """Called after an answer: serve the next request, or close the connection."""
        self._after_answer()
        if self.serving:
            return
        if self.paused:
            # Bytes are unread, and may hide that the client has closed: it then resets the connection at this
            # answer, which is written at the end of this iteration of the event loop.
            self.server.loop.call_soon(self._serve_and_parse)
        else:
            self._serve_and_parse()

    def write_stalled(self, now: float) -> bool:
        """Whether the client has read nothing of its answers for too long."""
        if self.streamed is not None:
            return self.streamed.stalled(now)
        stall, transport = self.write_stall, self.transport
        return (
            stall is not None
            and transport is not None
            and stall.stalled(now, transport.get_write_buffer_size())
        )

    def _pause_over(self) -> None:
        self.pause_timer = None
        refusal, self.delayed_refusal = self.delayed_refusal, None
        if refusal is not None:
            self._refuse_and_pause(refusal)
        self._serve_and_parse()

    def _serve_and_parse(self) -> None:
        self._serve_queue()
        self._parse()

    def _after_answer(self) -> None:
        self.last_used = time.monotonic()
        if not self.keep_alive or self.server.stopping:
            self.close()
            self.core.queue.clear()

    def _refuse_and_pause(self, bad: BadRequest) -> None:
        """Refuse a request that is well-formed but unacceptable.

        The next bad request is answered only after a pause: otherwise the client could repeat it as soon as
        it is answered. An acceptable request does not wait for that: its deadline runs, and the connection
        may carry the requests of many clients behind an earlier tier.
        """
        if self.pause_timer is not None:
            self.delayed_refusal = bad
            return
        self.bad_requests += 1
        if self.bad_requests >= MAX_BAD_REQUESTS:
            self._release_bodies()
            self.core.queue.clear()
            self._refuse_and_close(bad)
            return
        self._write_refusal(bad)
        self._after_answer()
        if not self.ended:
            pause = BAD_REQUEST_PAUSE * 2 ** (self.bad_requests - 1)
            self.pause_timer = self.server.loop.call_later(pause, self._pause_over)

    def _refuse_and_close(self, bad: BadRequest) -> None:
        """Refuse, and close after `LINGER`.

        If the client is still sending, an immediate close would be a reset, and the answer would be lost.
        """
        self.ended = True
        self.keep_alive = False
        self.unparsed = b""
        self._write_refusal(bad)
        if self.transport is not None and not self.transport.is_closing():
            self.server.mark_busy(self)
            self.transport.write_eof()
            self.pause_timer = self.server.loop.call_later(LINGER, self.close)

    def _write_refusal(self, bad: BadRequest) -> None:
        now = time.monotonic()
        client, begun = client_address(self.transport), self.core.requests_begun
        log_refused(client, bad, begun, now - self.last_used, now - self.progress.last_received)
        self._write(bad.answer())

    def _write(self, answer: Answer) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(encode_answer(answer, not self.keep_alive or self.server.stopping))
