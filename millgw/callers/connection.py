"""One caller's connection: requests in, answers out, one at a time. The transport round the core.

A request that can't be understood is answered 4xx and never reaches a driver; all others are its calls.
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

SLICE = 1024  # bytes that are parsed before a request in them is served: what is behind it stays unparsed
LINGER = 0.5  # s that a connection stays open after a last 4xx, so that a client still sending can read it
STUCK_TIME = 3.0  # s in which the client of a closing connection must read more of the last answer
MAX_DISCARD = 256 * 1024  # bytes read and thrown away in that time
MAX_REST = 64 * 1024 * 1024  # bytes of a body's rest read and thrown away, for as long as it comes
REST_TIME = 2.0  # s in which more of that must come
BAD_PAUSE = 0.1  # s that a connection rests after a bad request, twice as long after each further one
MAX_BAD = 4  # bad requests in a row, after which it ends
NEW = ""  # the lane of connections that no request has come on yet


class CallerConnection:
    """One request at a time; what comes early waits its turn, unparsed.

    An asyncio buffered protocol, by its methods: no base class, so that it can be compiled.
    """

    def __init__(self, server: Listening, unread_since: float = math.inf) -> None:
        self.server = server
        self.unread_since = unread_since  # s, from when on bytes may have waited in the socket
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
        self.serves: Head | None = None  # the request that `current` is of
        self.streamed: StreamedAnswer | None = None  # the answer that is being passed on
        self.left_to_read = 0  # bytes of answers that were not taken when last looked
        self.bad = 0
        self.held: BadRequest | None = None  # its answer waits for the rest after the bad request before it
        self.discarded = 0
        self.most_discarded = MAX_DISCARD
        self.upload: Upload | None = None  # the body that is being passed on, until it is whole
        self.resting: asyncio.TimerHandle | None = None
        self.lingering: asyncio.TimerHandle | None = None
        self.serving = False
        self.unread_answers: Stall | None = None  # while its client takes no more of what was answered
        self.paused = False
        self.keep = True
        self.ended = False

    @property
    def busy(self) -> bool:
        open = self.current is not None or self.streamed is not None or self.held is not None
        return open or (self.ended and self.resting is not None) or bool(self.core.queue)

    @property
    def half(self) -> bool:
        """Whether a request has begun to come in, and nothing is served meanwhile."""
        return self.core.head is not None and not self.busy and not self.ended

    def quiet(self, least: float) -> bool:
        """Whether it has been between requests for so long, and has none waiting to be read.

        Otherwise a request could be lost: a client whose request crosses the close sends it again, but once
        only, and under many connections the next one may be closed as well. One that has been read and waits
        for its turn counts too.
        """
        if self.transport is None or self.waits or time.monotonic() < self.since + least:
            return False
        return not unread(self.transport, self.poll)

    def close_if_quiet(self, least: float, cause: str) -> bool:
        """Close it if it is quiet (see there); tells whether it was.

        Its client is shown the end at once. Otherwise a request that is written before the loop's next turn
        would be reset with it, and that turn may be late.
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
        """End it if its client does not read its last answer: it would be held for ever."""
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
        """End it at once: its client takes nothing."""
        if self.transport is not None:
            self.transport.abort()

    def _release(self) -> None:
        """Give back what bodies take that are not being served."""
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
                self.transport.pause_reading()  # nobody needs what still comes
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
                self._pause()  # otherwise memory would fill while it waits
        else:
            self.waits = True
            self.server.lanes.wait(self.lane, self)

    def _waited(self, now: float) -> float:
        """For how long (s) the bytes that were just read had waited in the socket.

        The client's time counts from when it sent, also while its connection was not accepted, or not read as
        an answer before was due.
        """
        longest, self.unread_since = now - self.unread_since, math.inf
        return 0.0 if self.transport is None else min(longest, since_received(self.transport))

    def turn(self) -> None:
        """Its lane's turn has come: work on what was read."""
        self.waits = False
        if self.transport is not None and not self.transport.is_closing():
            self._read()

    def _read(self) -> None:
        """Read on until a request is there to be served.

        What is behind it costs no work and no memory but its bytes, one read at most, as it may be a flood.
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
                self.progress.came = time.monotonic()  # from now on it is its client's turn
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

    # A body that is passed on as it comes

    def _begin_upload(self, head: Head) -> None:
        """A request's body is longer than what is held whole: its call begins before it has come."""
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
        """The request that is coming in will not come to its end."""
        call, self.current, self.upload = self.current, None, None
        self._served()
        if call is not None:
            call.owner.left(call)

    def _coming_in(self) -> Head | None:
        """The request of which more has to come before anything can be done for its client."""
        if self.ended or self.waits or (self.upload is None and self.busy):
            return None
        return self.core.head

    def end_overdue(self, now: float) -> None:
        """Answer a request that has not come to its end in time (see `millgw.callers.progress`).

        Bytes that wait in the socket were sent in time, though this side has not read them.
        """
        head, transport = self._coming_in(), self.transport
        if head is None or transport is None or unread(transport, self.poll):
            return
        why = self.progress.overdue(now, self.core.in_body, head.length)
        if why is not None:
            self.refuse(BadRequest(408, why.value))

    def end_slow(self, now: float) -> bool:
        """Answer a request that comes in slowly, as others need its connection; tells whether it did."""
        head = self._coming_in()
        if head is None or not self.progress.slow(now, head.length):
            return False
        self.refuse(BadRequest(408, "it comes in slowly, and others need its connection"))
        return True

    def _end_early(self, answer: Answer) -> None:
        """Answer a request whose body still comes. Its rest is read and dropped, for as long as it comes.

        The answer would be lost otherwise: a connection that is closed while its client still sends is reset,
        and what the client has not read by then is gone.
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
        """Close once no more comes of the rest."""
        if self.discarded == self.left_to_read or self.discarded > self.most_discarded:
            self.close()
            return
        self.left_to_read = self.discarded
        self.resting = self.server.loop.call_later(REST_TIME, self._drop_more)

    def pause_writing(self) -> None:
        """Read no further: otherwise a client that never reads its answers could ask without end."""
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
        """Whether the client has left, as far as the kernel knows: the loop may not have told yet.

        Otherwise there would be attempts for nobody: of a request that waited in the socket, until the
        connection was accepted or the process went on, the loop reads the bytes first and the end in its next
        turn.
        """
        return self.transport is not None and gone(self.transport, self.poll)

    def look_for_end(self) -> None:
        """End what is served for a client that has left while nothing was read."""
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
        """Answer what can't be read once all before it is answered; nothing is read after it."""
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
        """Answer what waits, one by one; a call that is answered at once must not start this over."""
        if self.serving:
            return
        self.serving = True
        queue = self.core.queue
        while queue and self.unread_answers is None:
            if self.current is not None or self.streamed is not None or self.held is not None:
                break
            if self.paused and self.gone():
                self._leave()  # nobody waits for what is behind a request that was answered to nobody
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
        """A request has its final answer."""
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

    # An answer that is passed on as it comes

    def _pass_on(self, answer: Answer, flow: Flow) -> None:
        transport, head = self.transport, self.serves
        if transport is None or transport.is_closing() or head is None:
            flow.cancel()
            return
        head.release()
        self.streamed = streamed = StreamedAnswer(self, flow, head.version)
        if streamed.until_close or self.upload is not None:
            self.keep = False  # its end is the connection's, or the request's body still comes
        streamed.begin(transport, answer, not self.keep or self.server.stopping)

    def streamed_to_end(self, status: int) -> None:
        """The answer that was passed on has ended."""
        self.streamed = None
        self._count(self.serves, status)
        self._served()
        if self.transport is not None and not self.transport.is_closing():
            self.transport.set_write_buffer_limits()

    def go_on_after(self) -> None:
        """A request is answered: serve the next one, or end the connection."""
        self._after()
        if not self.serving:
            self._go_on()

    def stuck(self, now: float) -> bool:
        """Whether its client takes nothing of its answers for too long."""
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
        """Answer a request that is read but can't be taken.

        Its client is made to rest: otherwise it could ask the same again as soon as it is answered. Only
        another bad request waits for that. One that can be taken is served at once: its time runs, and its
        connection may be that of many clients behind an earlier tier.
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
        """The last answer: the client may still be sending, and would lose it to a reset."""
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
