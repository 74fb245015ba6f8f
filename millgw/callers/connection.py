"""One caller's connection: the asyncio protocol around `RequestCore`, serving one request at a time.

A request that can't be parsed is answered 4xx and never reaches a driver; every other one becomes a call.
"""

from __future__ import annotations

import asyncio
import math
import select
import time

from millgw.callers.core import RequestCore, word_answer
from millgw.callers.endings import (
    CLIENT_LEFT,
    client_address,
    log_closed,
    log_turned_away,
    log_unanswered,
)
from millgw.callers.interface import Listening
from millgw.callers.progress import Progress
from millgw.callers.stall import Stall
from millgw.callers.streamed_answer import StreamedAnswer
from millgw.http.message import Answer, gone, since_received, stop_sending, unread, watcher
from millgw.http.request import BadRequest, Head
from millgw.pool.call import Call
from millgw.streams.flow import Flow
from millgw.streams.upload import Upload

SLICE = 1024  # bytes parsed at a time; what follows a request that is ready to be served stays unparsed
LINGER = 0.5  # s that a connection stays open after a final 4xx, so that a client still sending can read it
STUCK_TIME = 3.0  # s in which the client of a closing connection must read some of the last answer
MAX_DISCARD = 256 * 1024  # bytes read and discarded on an ended connection
MAX_REST = 64 * 1024 * 1024  # bytes of the rest of a body read and discarded after an early answer
REST_TIME = 2.0  # s in which more of that rest must arrive
BAD_PAUSE = 0.1  # s before the next bad request of a connection is answered; doubles with each one
MAX_BAD = 4  # consecutive bad requests after which the connection is closed
NEW = ""  # the lane of connections before their first request


class CallerConnection:
    """Serves one request at a time; pipelined ones wait unparsed.

    It has the methods of an asyncio buffered protocol, but no base class, so that it can be compiled.
    """

    def __init__(self, server: Listening, unread_since: float = math.inf) -> None:
        self.server = server
        self.unread_since = unread_since  # s, since when bytes may have waited unread in the socket
        self.core = RequestCore(server.front.gate)
        self.transport: asyncio.Transport | None = None
        self.poll: select.poll | None = None
        self.since = time.monotonic()
        self.opened = self.since
        self.progress = Progress(self.since)
        self.rest = b""
        self.lane = NEW
        self.waits = False
        self.current: Call | None = None
        self.serves: Head | None = None  # the request that `current` was made from
        self.streamed: StreamedAnswer | None = None  # the answer that is being streamed to the client
        self.left_to_read = 0  # at the last check: bytes unread by the client, or discarded
        self.bad = 0
        self.held: BadRequest | None = None  # refused once the pause after the previous bad request is over
        self.discarded = 0
        self.most_discarded = MAX_DISCARD
        self.upload: Upload | None = None  # the body that is being streamed to an endpoint, until complete
        self.resting: asyncio.TimerHandle | None = None
        self.lingering: asyncio.TimerHandle | None = None
        self.serving = False
        self.unread_answers: Stall | None = None  # while the write buffer is full
        self.paused = False
        self.keep = True
        self.ended = False

    @property
    def busy(self) -> bool:
        open = self.current is not None or self.streamed is not None or self.held is not None
        return open or (self.ended and self.resting is not None) or bool(self.core.queue)

    @property
    def half(self) -> bool:
        """Whether a request has been received in part, and nothing is being served."""
        return self.core.head is not None and not self.busy and not self.ended

    def quiet(self, least: float) -> bool:
        """Whether it has been between requests for `least` s, and no request waits to be read or parsed.

        Closing it with a request unread could lose that request: a client whose request crosses the close
        sends it again, but only once, and under many connections the next one may be closed as well.
        """
        if self.transport is None or self.waits or time.monotonic() < self.since + least:
            return False
        return not unread(self.transport, self.poll)

    def close_if_quiet(self, least: float, cause: str) -> bool:
        """Close it if `quiet(least)`; True if it was closed.

        The FIN is sent at once. The transport would send it in the next iteration of the event loop, which
        may be late, and a request that the client writes before that would be reset.
        """
        transport = self.transport
        if transport is None or not self.quiet(least):
            return False
        stop_sending(transport)
        now = time.monotonic()
        log_closed(client_address(transport), cause, self.core.begun, now - self.opened, now - self.since)
        self.close()
        return True

    def close(self) -> None:
        self.ended = True
        self.rest = b""
        self.held = None
        self._release()
        if self.resting is not None:
            self.resting.cancel()
            self.resting = None
        self.server.left(self)
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        transport.close()
        self.left_to_read = transport.get_write_buffer_size()
        if self.left_to_read:
            self.lingering = self.server.loop.call_later(STUCK_TIME, self._linger)

    def _linger(self) -> None:
        """Abort it if its client does not read the last answer; otherwise it would stay open for ever."""
        self.lingering = None
        transport = self.transport
        if transport is None:
            return
        left = transport.get_write_buffer_size()
        if left >= self.left_to_read:
            transport.abort()
        else:
            self.left_to_read = left
            self.lingering = self.server.loop.call_later(STUCK_TIME, self._linger)

    def abort(self) -> None:
        """Abort it because its client reads nothing."""
        if self.transport is not None:
            self.transport.abort()

    def _release(self) -> None:
        """Release the memory of request bodies that are not being served."""
        if self.core.head is not None:
            self.core.head.release()
        for item in self.core.queue:
            if isinstance(item, Head):
                item.release()

    # asyncio

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.poll = watcher(transport)
        self.server.connections.add(self)
        self.server.fresh[self] = None

    def get_buffer(self, sizehint: int) -> bytearray:
        return self.server.buffer

    def buffer_updated(self, nbytes: int) -> None:
        if self.ended:
            self.discarded += nbytes
            if self.discarded > self.most_discarded and self.transport is not None:
                self.transport.pause_reading()  # what still arrives is not needed
            return
        arrived = time.monotonic()
        if self.unread_since < arrived:
            arrived -= self._waited(arrived)
        self.progress.came = arrived
        self.rest += self.server.buffer[:nbytes]
        if self.server.lanes is None:
            self._read()
        elif self.waits:
            if self.transport is not None:
                self._pause()  # otherwise memory would grow while it waits for its turn
        else:
            self.waits = True
            self.server.lanes.wait(self.lane, self)

    def _waited(self, now: float) -> float:
        """Seconds for which the bytes just read had waited in the socket.

        Deadlines count from when the client sent, also while the connection waited to be accepted, or was not
        read because a previous answer was outstanding.
        """
        longest, self.unread_since = now - self.unread_since, math.inf
        return 0.0 if self.transport is None else min(longest, since_received(self.transport))

    def turn(self) -> None:
        """Called when it is the lane's turn: parse what was read."""
        self.waits = False
        if self.transport is not None and not self.transport.is_closing():
            self._read()

    def _read(self) -> None:
        """Parse until there is a request to serve.

        What follows it stays unparsed, and at most one read of it is held, as it may be a flood of requests.
        """
        core = self.core
        while self.rest and not self.ended:
            upload = self.upload
            if self.busy if upload is None else upload.full:
                break
            size = SLICE if upload is None else len(self.rest)
            part, self.rest = self.rest[:size], self.rest[size:]
            begun = core.begun
            wrong = core.feed(part, self.progress.came)
            if core.begun != begun:
                self._begun()
            if wrong is not None:
                self.refuse(wrong)
                break
            if core.head is not None and core.head.pool is not None:
                self.lane = core.head.pool.name
            if core.expects and not self.busy and self.transport is not None:
                core.expects = False
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                self.progress.came = time.monotonic()  # the client is expected to send from now on
            if self.upload is not None:
                self._goes_on(self.upload)
            elif core.head is not None and core.head.long and not self.busy:
                self._begin_upload(core.head)
            self._serve()
        transport = self.transport
        if transport is None or self.ended or transport.is_closing():
            return
        if self.rest or core.queue or self.unread_answers is not None:
            self._pause()
        else:
            if self.paused:
                self._resume(transport)
            if core.begun and core.head is None and not self.busy:
                self.server.kept[self] = None

    def _pause(self) -> None:
        if not self.paused and self.transport is not None:
            self.paused = True
            self.progress.pause(time.monotonic())
            self.transport.pause_reading()

    def _resume(self, transport: asyncio.Transport) -> None:
        self.paused = False
        if self.progress.paused is not None:
            self.unread_since = self.progress.paused
        self.progress.resume(time.monotonic())
        transport.resume_reading()

    def _begun(self) -> None:
        self.server.busy(self)
        self.since = time.monotonic()
        self.progress.begin(self.since)

    # Request bodies that are streamed to an endpoint

    def _begin_upload(self, head: Head) -> None:
        """Begin the call of a request whose body is too long to be held whole, while the body arrives."""
        self.keep = head.keep
        try:
            made = self.server.front.read(head, self._answer)
        except BadRequest as bad:
            self._count(head, bad.status)
            head.release()
            self._end_early(bad.answer())
            return
        if not isinstance(made, Call) or head.pool is None:
            head.release()
            if isinstance(made, Answer):
                self._count(head, made.status)
                self._end_early(made)
            return
        made.gone = self.gone
        upload = Upload(None if head.told < 0 else head.told, head.pool.enter(), self._room)
        upload.put(head.body)
        head.release()
        head.upload = made.upload = upload
        self.bad = 0
        self.current, self.serves, self.upload = made, head, upload
        made.owner.take(made)

    def _goes_on(self, upload: Upload) -> None:
        call = self.current
        if upload.whole:
            self.upload = None
            if call is not None:
                call.owner.whole(call)
        upload.wake()

    def _room(self) -> None:
        self.server.loop.call_soon(self._read)

    def _drop_call(self) -> None:
        """Drop the call whose request body will not be completed."""
        call, self.current, self.upload = self.current, None, None
        self._served()
        if call is not None:
            call.owner.left(call)

    def _coming_in(self) -> Head | None:
        """The incomplete request whose client is expected to send; None if there is none."""
        if self.ended or self.waits or (self.upload is None and self.busy):
            return None
        return self.core.head

    def end_overdue(self, now: float) -> None:
        """Answer 408 to a request that was not completed in time (see `millgw.callers.progress`).

        Nothing is done while bytes wait in the socket: the client sent them in time, this side is late.
        """
        head, transport = self._coming_in(), self.transport
        if head is None or transport is None or unread(transport, self.poll):
            return
        why = self.progress.overdue(now, self.core.in_body, head.length)
        if why is not None:
            self.refuse(BadRequest(408, why.value))

    def end_slow(self, now: float) -> bool:
        """Answer 408 to a request that arrives slowly, as others need room; False if it does not."""
        head = self._coming_in()
        if head is None or not self.progress.slow(now, head.length):
            return False
        self.refuse(BadRequest(408, "it comes in slowly, and others need its connection"))
        return True

    def _end_early(self, answer: Answer) -> None:
        """Answer a request whose body is still arriving, and discard the rest of it until the client stops.

        Otherwise the answer would be lost: a connection that is closed while its client still sends is reset,
        and the client loses what it has not read by then.
        """
        self.upload = None
        self._served()
        self.ended = True
        self.keep = False
        self.rest = b""
        self.core.queue.clear()
        self._write(answer)
        if self.transport is not None and not self.transport.is_closing():
            self.server.busy(self)
            self.most_discarded = MAX_REST
            if self.paused:
                self._resume(self.transport)
            self.left_to_read = -1
            self._drop_more()

    def _drop_more(self) -> None:
        """Close once no more of the body arrives, or too much of it has."""
        if self.discarded == self.left_to_read or self.discarded > self.most_discarded:
            self.close()
            return
        self.left_to_read = self.discarded
        self.resting = self.server.loop.call_later(REST_TIME, self._drop_more)

    def pause_writing(self) -> None:
        """Stop reading: otherwise a client that never reads its answers could send requests without end."""
        self.unread_answers = Stall(time.monotonic())
        if self.streamed is not None:
            self.streamed.hold()
        self._read()

    def resume_writing(self) -> None:
        self.unread_answers = None
        if self.streamed is not None:
            self.streamed.go_on()
        self._go_on()

    def eof_received(self) -> None:
        self._leave()

    def gone(self) -> bool:
        """Whether the client has disconnected according to the kernel; the event loop may report it later.

        Otherwise attempts would be made for a client that is gone. If a request waited in the socket because
        the connection was not accepted yet or the process was not scheduled, the event loop delivers the
        bytes first and the end in its next iteration.
        """
        return self.transport is not None and gone(self.transport, self.poll)

    def look_for_end(self) -> None:
        """Drop the calls of a client that disconnected while reading was paused."""
        if self.gone():
            self._leave()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.lingering is not None:
            self.lingering.cancel()
            self.lingering = None
        self._leave()
        self.core.close()

    def _log_unanswered(self) -> None:
        waiting = sum(isinstance(item, Head) for item in self.core.queue)
        open_now = self.current is not None or self.streamed is not None
        if waiting or open_now:
            now = time.monotonic()
            age, quiet = now - self.opened, now - self.progress.came
            log_unanswered(client_address(self.transport), CLIENT_LEFT, waiting + open_now, age, quiet)

    def _leave(self) -> None:
        self._log_unanswered()
        self.close()
        self.core.queue.clear()
        self.core.head = None
        call, self.current = self.current, None
        streamed, self.streamed = self.streamed, None
        if call is not None:
            self._served()
            call.owner.left(call)
        if streamed is not None:
            self._served()
            streamed.cancel()

    def _served(self) -> None:
        head, self.serves = self.serves, None
        if head is not None:
            head.release()
            if head.upload is not None and head.pool is not None:
                head.pool.leave()

    # Answers

    def refuse(self, bad: BadRequest) -> None:
        """Queue the refusal of an unreadable request behind those before it; nothing is read after it."""
        self.ended = True
        self.rest = b""
        if self.upload is not None:
            self._drop_call()
        if self.core.head is not None:
            bad.came, bad.trace = self.core.came(), self.core.head.trace
            self.core.head.release()
            self.core.head = None
        self.core.queue.append(bad)
        self._serve()

    def _serve(self) -> None:
        """Serve queued requests one by one. Not reentrant: a call may be answered at once from within."""
        if self.serving:
            return
        self.serving = True
        queue = self.core.queue
        while queue and self.unread_answers is None:
            if self.current is not None or self.streamed is not None or self.held is not None:
                break
            if self.paused and self.gone():
                self._leave()  # the client is gone, so the requests behind are not needed either
                break
            item = queue.popleft()
            if isinstance(item, BadRequest):
                self._end_badly(item)
                break
            self.keep = item.keep
            try:
                made = self.server.front.read(item, self._answer)
            except BadRequest as bad:
                bad.trace = item.trace
                self._count(item, bad.status)
                item.release()
                self._turn_away(bad)
                continue
            self.bad = 0
            self.serves = item
            if isinstance(made, Call):
                self.current = made
                made.gone = self.gone
                if item.pool is not None:
                    self.lane = item.pool.name
                made.owner.take(made)
            else:
                self._answer(made)
        self.serving = False

    @staticmethod
    def _count(head: Head | None, status: int) -> None:
        """Report the final status of a request to its pool."""
        if head is not None and head.pool is not None:
            head.pool.answered(head, status)

    def _answer(self, answer: Answer) -> None:
        self.current = None
        if answer.flow is not None:
            self._pass_on(answer, answer.flow)
            return
        self._count(self.serves, answer.status)
        if self.upload is not None:
            self._end_early(answer)
            return
        self._served()
        self._write(answer)
        self.go_on_after()

    # Streamed answers

    def _pass_on(self, answer: Answer, flow: Flow) -> None:
        transport, head = self.transport, self.serves
        if transport is None or transport.is_closing() or head is None:
            flow.cancel()
            return
        head.release()
        self.streamed = streamed = StreamedAnswer(self, flow, head.version)
        if streamed.until_close or self.upload is not None:
            self.keep = False  # delimited by the close, or the request body is still arriving
        streamed.begin(transport, answer, not self.keep or self.server.stopping)

    def streamed_to_end(self, status: int) -> None:
        """The streamed answer has ended."""
        self.streamed = None
        self._count(self.serves, status)
        self._served()
        if self.transport is not None and not self.transport.is_closing():
            self.transport.set_write_buffer_limits()

    def go_on_after(self) -> None:
        """Called after an answer: serve the next request, or close the connection."""
        self._after()
        if not self.serving:
            self._go_on()

    def stuck(self, now: float) -> bool:
        """Whether the client has read nothing of its answers for too long."""
        if self.streamed is not None:
            return self.streamed.stuck(now)
        stall, transport = self.unread_answers, self.transport
        return (
            stall is not None
            and transport is not None
            and stall.stuck(now, transport.get_write_buffer_size())
        )

    def _rested(self) -> None:
        self.resting = None
        held, self.held = self.held, None
        if held is not None:
            self._turn_away(held)
        self._go_on()

    def _go_on(self) -> None:
        self._serve()
        self._read()

    def _after(self) -> None:
        self.since = time.monotonic()
        if not self.keep or self.server.stopping:
            self.close()
            self.core.queue.clear()

    def _turn_away(self, bad: BadRequest) -> None:
        """Refuse a request that is well-formed but unacceptable.

        The next bad request is answered only after a pause: otherwise the client could repeat it as soon as
        it is answered. An acceptable request does not wait for that: its deadline runs, and the connection
        may carry the requests of many clients behind an earlier tier.
        """
        if self.resting is not None:
            self.held = bad
            return
        self.bad += 1
        if self.bad >= MAX_BAD:
            self._release()
            self.core.queue.clear()
            self._end_badly(bad)
            return
        self._say(bad)
        self._after()
        if not self.ended:
            rest = BAD_PAUSE * 2 ** (self.bad - 1)
            self.resting = self.server.loop.call_later(rest, self._rested)

    def _end_badly(self, bad: BadRequest) -> None:
        """Refuse, and close after `LINGER`.

        If the client is still sending, an immediate close would be a reset, and the answer would be lost.
        """
        self.ended = True
        self.keep = False
        self.rest = b""
        self._say(bad)
        if self.transport is not None and not self.transport.is_closing():
            self.server.busy(self)
            self.transport.write_eof()
            self.resting = self.server.loop.call_later(LINGER, self.close)

    def _say(self, bad: BadRequest) -> None:
        now = time.monotonic()
        client, begun = client_address(self.transport), self.core.begun
        log_turned_away(client, bad, begun, now - self.since, now - self.progress.came)
        self._write(bad.answer())

    def _write(self, answer: Answer) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(word_answer(answer, not self.keep or self.server.stopping))
