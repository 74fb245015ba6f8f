"""Driver of one pool: feeds events to its `Balancer` and carries out the actions that it returns.

It owns the clock, the timers and the table of open calls. It decides nothing, but it ensures that each call
gets exactly one final answer in time, whatever the balancer does.
"""

from __future__ import annotations

import asyncio
import math
import time
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import replace
from functools import partial
from typing import Protocol

from millgw.decide import Balancer
from millgw.endpoints.attempt import Attempt
from millgw.endpoints.host import Host
from millgw.endpoints.upstream import Upstream
from millgw.http.message import FAILED, REFUSED, SERVED, UNUSABLE, Answer, Content
from millgw.interface import (
    NO_EFFECT_OUTCOMES,
    Action,
    AttemptEnded,
    BodyDiscarded,
    CloseConnections,
    Condition,
    Endpoint,
    EndpointList,
    Event,
    Fail,
    GivenUp,
    ListKind,
    Outcome,
    PeerReports,
    Probe,
    ProbeEnded,
    Refuse,
    Repeat,
    RequestAborted,
    RequestArrived,
    RequestBodyComplete,
    Send,
    SetTimer,
    Settings,
    TimerFired,
    Zone,
)
from millgw.platform.discovery import ListedEndpoint
from millgw.pool.call import ANSWER_MARGIN_MS, Call, OpenAttempt
from millgw.pool.health_probe import PROBE_TIMEOUT_MS, HealthProbe
from millgw.pool.sent_ids import SentIds
from millgw.pool.start_times import StartTimes
from millgw.pool.timer_queue import TimerQueue
from millgw.streams.flow import Flow

MAX_UPLOAD_MS = 3_600_000.0  # ms that a request body may take to arrive; far more than needed at 64 kB/s
ATTEMPT_STATES = ("connecting", "held", "writing", "answer", "ended")  # log texts, indexed by `Attempt.state`


class Clock:
    """Monotonic clock in Unix time (ms): the wall clock at process start plus the monotonic time since then.

    It is in Unix time because discovery reports endpoint start times that way and the balancer compares the
    two. On a clock that begins at 0, an endpoint that has just started would seem to start in the future.
    """

    def __init__(self) -> None:
        self.offset = time.time() - time.monotonic()

    def __call__(self) -> float:
        return (self.offset + time.monotonic()) * 1000


class ListFilter(Protocol):
    """Filters endpoint lists before the module gets them (see `millgw.connections.cold_filter`)."""

    def filter_list(self, kind: ListKind, entries: Sequence[Endpoint]) -> tuple[Endpoint, ...]:
        """The entries of a list to pass to the module."""


class Driver:
    """Runs the balancer of one pool."""

    def __init__(
        self,
        balancer: Balancer,
        upstream: Upstream,
        subscribe: Callable[[], None],
        is_near: Callable[[Zone], bool],
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.clock = Clock()
        self.balancer = balancer
        self.upstream = upstream
        self.subscribe = subscribe
        self.is_near = is_near  # whether a zone is told to be the sidecar's own
        self.calls: dict[int, Call] = {}
        self.open_trace_ids: set[bytes] = set()  # X-Trace-Ids of the open calls
        self.partial_calls: set[int] = set()  # calls whose request bodies are still arriving
        self.flows: set[Flow] = set()  # answers that are being streamed
        self.last_id = 0
        self.start_times = StartTimes()
        self.ready: set[int] = set()
        self.draining: set[int] = set()
        self.events: deque[Event] = deque()
        self.handling_events = False
        self.timers: TimerQueue[Call | SetTimer | Flow] = TimerQueue()
        self.wake_timer: asyncio.TimerHandle | None = None
        self.wake_at = math.inf
        self.ended = False
        self.list_filter: ListFilter | None = None
        self.sent_ids: SentIds | None = None  # of calls that are not safe to repeat
        self.pool_name = ""
        # The balancer's counts of lookups in a stale list and of probes, when discovery was last heard.
        self.stale_lookups_before = self.probes_before = 0

    # Events

    def accept(self, call: Call) -> None:
        now = self.clock()
        self.last_id += 1
        call.id = self.last_id
        self.calls[call.id] = call
        self.open_trace_ids.add(call.trace_id)
        upload = call.upload
        if upload is None:
            call.deadline = now + call.timeout - ANSWER_MARGIN_MS
            call.timers.append(self.timers.add(call.deadline, call))
            self._handle_event(RequestArrived(call.id, call.class_index, call.deadline, call.tenant))
            self._schedule_wake()
            return
        # The timeout counts from the last byte of the body; the caller side ends clients that stop sending.
        call.deadline = now + MAX_UPLOAD_MS
        upload.on_first_taken = partial(self._handle_event, BodyDiscarded(call.id))
        self.partial_calls.add(call.id)
        self._handle_event(
            RequestArrived(call.id, call.class_index, call.deadline, call.tenant, partial=True)
        )

    def body_complete(self, call: Call, waited: float) -> None:
        """A streamed request body is complete; the timeout of the call began `waited` ms ago."""
        if call.id not in self.calls:
            return
        self.partial_calls.discard(call.id)
        now = self.clock()
        call.deadline = now + call.timeout - waited - ANSWER_MARGIN_MS
        call.timers.append(self.timers.add(call.deadline, call))
        for open_attempt in call.open_attempts.values():
            open_attempt.sent_at = now  # the time of the upload says nothing about the endpoint
        self._handle_event(RequestBodyComplete(call.id, call.deadline))
        if call.deadline <= now and call.id in self.calls:
            self._deadline_passed(call)  # before its last byte is written
        else:
            self._schedule_wake()

    def body_overdue(self, call: Call) -> None:
        """The client may have written the whole body so long ago that the time of the call is over."""
        if call.id in self.calls:
            self.partial_calls.discard(call.id)
            call.deadline = self.clock()
            self._handle_event(RequestBodyComplete(call.id, call.deadline))
            self._deadline_passed(call)

    def client_left(self, call: Call) -> None:
        """The client has disconnected, or the sidecar has answered instead of the balancer."""
        if self._close_call(call):
            self._handle_event(RequestAborted(call.id))
            self._give_up_attempts(call, concluded=True)
            self._forget_if_never_ran(call)

    def handle_list(self, kind: ListKind, entries: tuple[ListedEndpoint, ...]) -> None:
        """Apply an endpoint list of discovery.

        Addresses are set before the balancer can send to them; connections are closed after it was informed.
        """
        if not kind.watch_ended:
            self._log_discovery_restored()
        if not entries and not kind.complete:
            if kind is ListKind.DELTA:
                self.start_times.discovery_heard(self.clock())
            self._handle_event(EndpointList(kind))  # a heartbeat, or discovery was lost
            if kind.watch_ended and kind is not ListKind.MOVED:
                self._log_discovery_wait(kind)
            return
        replaced_hosts: list[Host | None] = []
        ready = set()
        gone = self._superseded(entries)
        changed = [self._with_local_start(e.endpoint) for e in entries if e.endpoint.id not in gone]
        if kind is ListKind.DELTA or kind is ListKind.FULL:
            self.start_times.discovery_heard(self.clock())
        changed += [Endpoint(id, Condition.GONE) for id in gone]
        for entry in entries:
            id = entry.endpoint.id
            if entry.address is not None and id not in gone:
                near = self.is_near(entry.endpoint.zone)
                replaced_hosts.append(
                    self.upstream.set_address(id, entry.address, entry.endpoint.started_at, near)
                )
                ready.add(id)
        gone |= {e.id for e in changed} - ready
        if kind.complete:
            gone |= self.ready - ready
        drains = {e.id for e in changed if e.condition is Condition.DRAINING}
        ended = {e.id for e in changed if e.condition is Condition.GONE}
        before = set() if kind.complete else self.draining
        self.ready = (self.ready | ready) - gone
        self.draining = (before | drains) - ready - ended
        filtered = tuple(changed) if self.list_filter is None else self.list_filter.filter_list(kind, changed)
        self._handle_event(EndpointList(kind, filtered))
        replaced_hosts += [self.upstream.remove(id) for id in gone]
        for host in replaced_hosts:
            if host is not None:
                self.upstream.close(host)

    def _with_local_start(self, endpoint: Endpoint) -> Endpoint:
        """The endpoint with its start time converted to this process's clock."""
        started_at = self.start_times.local_start(self.clock(), endpoint.id, endpoint.started_at)
        return endpoint if started_at == endpoint.started_at else replace(endpoint, started_at=started_at)

    def _with_reported_start(self, endpoint: Endpoint) -> Endpoint:
        """The endpoint with its start time as discovery reported it."""
        started_at = self.start_times.reported_start(endpoint.id, endpoint.started_at)
        return endpoint if started_at == endpoint.started_at else replace(endpoint, started_at=started_at)

    def _log_discovery_restored(self) -> None:
        """Log the effects of a discovery outage that has just ended."""
        balancer, discovery = self.balancer, self.balancer.discovery
        if not discovery.disconnected() or discovery.watch_lost_at == -math.inf:
            return
        stale_lookups, self.stale_lookups_before = (
            balancer.stale_picks - self.stale_lookups_before,
            balancer.stale_picks,
        )
        probes, self.probes_before = balancer.probes_sent - self.probes_before, balancer.probes_sent
        self.upstream.log.log_event(
            "list-fresh-again",
            unheard_ms=round(self.clock() - discovery.watch_lost_at, 1),
            calls=discovery.failures + 1,
            found_none=stale_lookups,
            probes=probes,
        )

    def _log_discovery_wait(self, kind: ListKind) -> None:
        """Log when discovery is next queried, after a query or a watch has ended."""
        discovery, now = self.balancer.discovery, self.clock()
        heard_at = discovery.heard_at
        self.upstream.log.log_event(
            "discovery-wait",
            after=kind.name.lower(),
            next_ms=round(discovery.next_call_at - now, 1),
            unheard_ms=-1 if heard_at == -math.inf else round(now - heard_at, 1),
        )

    def reconfigure(self, settings: Settings) -> None:
        """Change the settings of the module between events; a ValueError names one that can't be changed."""
        if not self.ended:
            self._process(self.balancer.reconfigure(self.clock(), settings))

    def handle_peer_reports(self, event: PeerReports) -> None:
        """Pass the siblings' reports to the module."""
        self._handle_event(event)

    def replace_list(self, endpoints: tuple[Endpoint, ...]) -> None:
        """Replace the module's whole list. Does not count as news from discovery, which may be down."""
        self._handle_event(EndpointList(ListKind.CACHED, endpoints))

    def _superseded(self, entries: tuple[ListedEndpoint, ...]) -> set[int]:
        """The endpoints whose address is now used by another endpoint that started later.

        A machine may vanish without being removed from the list. All its calls would then go to the new, cold
        endpoint at its address and would not be counted for that endpoint.
        """
        listed_ids = {e.endpoint.id for e in entries}
        newest = {
            p.address: (p.started_at, id) for id, p in self.upstream.hosts.items() if id not in listed_ids
        }
        superseded = set()
        for entry in entries:
            if entry.address is not None:
                mine = (entry.endpoint.started_at, entry.endpoint.id)
                other = newest.get(entry.address, mine)
                newest[entry.address], (_, older_id) = (mine, other) if mine[0] >= other[0] else (other, mine)
                if other[1] != mine[1]:
                    superseded.add(older_id)
        return superseded

    def listed_count(self) -> int:
        """The number of listed endpoints, including draining ones."""
        return len(self.ready) + len(self.draining)

    def out_of_rotation(self) -> dict[int, str]:
        """The listed endpoints that get no requests now, and why. Read-only, as other threads call it too."""
        return dict.fromkeys(self.draining, "drains") | self.balancer.out_of_rotation(self.clock())

    def address(self, endpoint: int) -> str:
        """The address of an endpoint; empty if it has none here."""
        host = self.upstream.hosts.get(endpoint)
        return "" if host is None else str(host.address)

    def ready_entries(self) -> tuple[ListedEndpoint, ...]:
        """The ready endpoints, for the process that takes over."""
        servers, hosts = self.balancer.servers, self.upstream.hosts
        known = [id for id in self.ready if id in servers and id in hosts]
        return tuple(
            ListedEndpoint(self._with_reported_start(servers[id].info), hosts[id].address) for id in known
        )

    def misses(self, endpoint: int) -> int:
        """The number of consecutive attempts that got no connection to an endpoint."""
        server = self.balancer.servers.get(endpoint)
        return 0 if server is None else server.connect_failures

    def fail_all(self) -> None:
        """Answer all open calls with a failure, as the process is about to exit."""
        for call in list(self.calls.values()):
            self.client_left(call)
            call.on_answer(Answer(FAILED))
        for flow in list(self.flows):
            flow.source.abandon()
            flow.break_off()

    def _attempt_ended(self, call: Call, number: int, outcome: Outcome, content: Content) -> None:
        open_attempt = call.open_attempts.pop(number)
        elapsed = self.clock() - open_attempt.sent_at
        no_effect = outcome in NO_EFFECT_OUTCOMES
        call.may_have_run = call.may_have_run or not no_effect
        if call.intent is not None:
            call.intent.over(open_attempt.attempt, no_effect)
        if outcome is Outcome.OK and self._close_call(call):
            call.on_answer(Answer(SERVED, content))
        elif outcome is Outcome.CANCELLED and self._close_call(call):
            # The endpoint can't process this request. If it were retried elsewhere, one client's bad requests
            # would count against the health of every endpoint that gets them.
            call.on_answer(Answer(UNUSABLE, content))
        owed = call.id in self.calls
        if owed:
            self._log_attempt(call, open_attempt, outcome, elapsed)
        self._handle_event(AttemptEnded(call.id, open_attempt.endpoint, number, outcome, elapsed, not owed))
        if not owed:
            self._give_up_attempts(call, concluded=True)

    def _log_attempt(self, call: Call, open_attempt: OpenAttempt, outcome: Outcome, elapsed: float) -> None:
        """Log an attempt that left its call unanswered; the call is then retried or given up."""
        self.upstream.log.log_event(
            "attempt-failed",
            call=_trace_text(call),
            endpoint=self.address(open_attempt.endpoint),
            cause=outcome.value,
            took_ms=round(elapsed, 1),
        )

    def _answer_began(self, call: Call, number: int, flow: Flow) -> bool:
        """Begin to stream a long answer; returns False if the call is no longer open.

        The module is informed that the attempt has ended, as what remains is transport and no work for the
        endpoint. Otherwise clients that read for a minute would fill the limit on calls in flight.
        """
        open_attempt = call.open_attempts.pop(number)
        call.may_have_run = True
        elapsed = self.clock() - open_attempt.sent_at
        body_complete = call.id not in self.partial_calls
        if not self._close_call(call):
            return False
        self.flows.add(flow)
        flow.on_end.append(self.flows.discard)
        if body_complete:  # otherwise the timeout has not begun
            timer = self.timers.add(call.deadline, flow)
            flow.on_end.append(lambda _: self.timers.cancel(timer))
            self._schedule_wake()
        call.on_answer(Answer(SERVED, Content(flow.headers), flow=flow))
        self._handle_event(AttemptEnded(call.id, open_attempt.endpoint, number, Outcome.OK, elapsed, True))
        self._give_up_attempts(call, concluded=True)
        return True

    def _deadline_passed(self, call: Call) -> None:
        """The deadline of a call: its open attempts time out, and the balancer decides the answer."""
        self.upstream.log.log_event(
            "deadline-passed", call=_trace_text(call), where=_wait_state(call), attempts=call.attempts_sent
        )
        self._give_up_attempts(call, concluded=False)
        if call.id in self.calls:
            # The balancer should have answered by now; if not, the call still gets its one answer in time.
            self.client_left(call)
            call.on_answer(Answer(FAILED))

    def _give_up_attempts(self, call: Call, concluded: bool) -> None:
        now = self.clock()
        for number, open_attempt in list(call.open_attempts.items()):
            del call.open_attempts[number]
            written = open_attempt.attempt.give_up()
            call.may_have_run = call.may_have_run or written
            if concluded:
                # Many clients may disconnect while their sends are held back. That says nothing about the
                # endpoint, which would otherwise count as unreachable.
                outcome = Outcome.CANCELLED
            elif not written:
                outcome = Outcome.CONNECT_FAILED  # its last byte was never written
            else:
                outcome = Outcome.TIMEOUT
                self.upstream.close_kept(open_attempt.endpoint)
            self._handle_event(
                AttemptEnded(
                    call.id, open_attempt.endpoint, number, outcome, now - open_attempt.sent_at, concluded
                )
            )

    def _set_timer(self, action: SetTimer) -> None:
        timer = self.timers.add(action.at, action)
        call = self.calls.get(action.request) if action.request is not None else None
        if call is not None:
            call.timers.append(timer)
        self._schedule_wake()

    def _schedule_wake(self) -> None:
        """Schedule the one timer of the event loop for the earliest entry of the queue.

        A timer that is set too early stays: its entry was cancelled, as most are, and waking up is harmless.
        """
        first = self.timers.next_due()
        if first is None or first >= self.wake_at:
            return
        if self.wake_timer is not None:
            self.wake_timer.cancel()
        self.wake_at = first
        # 1 ms is added as the loop's clock has a resolution of 1 ms, and the balancer ignores early timers.
        self.wake_timer = self.loop.call_later(max(0.0, first - self.clock()) / 1000 + 0.001, self._wake)

    def _wake(self) -> None:
        self.wake_timer = None
        self.wake_at = math.inf
        now = self.clock()
        # Handling an entry may cancel others that are due, or add some; those after `now` wait for the next
        # wake-up.
        while (item := self.timers.pop(now)) is not None:
            if isinstance(item, Call):
                self._deadline_passed(item)
            elif isinstance(item, Flow):
                item.expire()
            else:
                self._handle_event(TimerFired(item.timer))
        self._schedule_wake()

    def _handle_event(self, event: Event) -> None:
        """Handle events in order; one caused by an action is queued until all current actions are done."""
        if self.ended:
            return  # late callbacks would otherwise restart timers and keep the ended pool in memory
        self.events.append(event)
        if not self.handling_events:
            self._process(())

    def _process(self, actions: Sequence[Action]) -> None:
        """Carry out these actions, then handle all queued events."""
        self.handling_events = True
        try:
            for action in actions:
                self._carry_out(action)
            while self.events:
                for action in self.balancer.handle(self.clock(), self.events.popleft()):
                    self._carry_out(action)
        finally:
            self.handling_events = False

    # Actions of the balancer

    def _carry_out(self, action: Action) -> None:
        if isinstance(action, Send):
            self._send(self.calls[action.request], action.endpoint, action.send_by)
        elif isinstance(action, Refuse):
            self._log_given_up(action.request, REFUSED, action.reason)
            self._answer(action.request, Answer(REFUSED, retry_after=action.retry_after))
        elif isinstance(action, Fail):
            self._log_given_up(action.request, FAILED, action.reason)
            self._answer(action.request, Answer(FAILED))
        elif isinstance(action, SetTimer):
            self._set_timer(action)
        elif isinstance(action, Probe):
            self._probe(action.endpoint)
        elif isinstance(action, CloseConnections):
            for endpoint in action.endpoints:
                self.upstream.close_kept(endpoint)
        else:
            self.subscribe()

    def _probe(self, endpoint: int) -> None:
        probe = HealthProbe(endpoint, self.clock(), self._probe_ended)
        self.loop.call_later(PROBE_TIMEOUT_MS / 1000, probe.expire)
        self.upstream.send(endpoint, probe.attempt)

    def _probe_ended(self, endpoint: int, outcome: Outcome, sent: float) -> None:
        if outcome is Outcome.ERROR:
            self.upstream.log.log_event("endpoint-not-well", endpoint=self.address(endpoint))
        self._handle_event(ProbeEnded(endpoint, outcome, self.clock() - sent))

    def end(self) -> None:
        """Ignore all further events, as the pool has ended."""
        self.ended = True
        if self.wake_timer is not None:
            self.wake_timer.cancel()
            self.wake_timer = None

    def _log_given_up(self, request: int, status: int, cause: GivenUp) -> None:
        call = self.calls[request]
        self.upstream.log.log_event(
            "call-given-up",
            call=_trace_text(call),
            status=status,
            cause=cause.value,
            attempts=call.attempts_sent,
        )

    def _answer(self, request: int, answer: Answer) -> None:
        call = self.calls[request]
        if answer.status == REFUSED and call.intent is not None and call.intent.may_have_been_sent:
            answer = Answer(FAILED)  # another process may have sent it, unknown to the module
        self._close_call(call)
        self._forget_if_never_ran(call)
        call.on_answer(answer)

    def _record_send(self, call: Call) -> None:
        """Record the ID of a call that may not run twice before it is first sent."""
        if self.sent_ids is not None and call.repeat is not Repeat.SAFE and not call.open_attempts:
            self.sent_ids.add(self.pool_name, call.trace_id, time.monotonic())

    def _forget_if_never_ran(self, call: Call) -> None:
        """Forget the ID of a call that is over and has had no effect."""
        if self.sent_ids is None or call.repeat is Repeat.SAFE or not call.attempts_sent:
            return
        if not call.may_have_run:
            self.sent_ids.remove(self.pool_name, call.trace_id)

    def _send(self, call: Call, endpoint: int, send_by: float) -> None:
        now, number = self.clock(), call.attempts_sent
        call.attempts_sent += 1
        if call.client_gone is not None and call.client_gone():
            # A disconnect is not noticed while the connection is not read: check before sending in vain.
            self._handle_event(AttemptEnded(call.id, endpoint, number, Outcome.CANCELLED, 0.0, True))
            self.client_left(call)
            return
        self._record_send(call)
        ended, began = partial(self._attempt_ended, call, number), partial(self._answer_began, call, number)
        payload = partial(self._payload, call)
        attempt = Attempt(payload, ended, call.repeat, began, call.upload, call.intent, call.trace_id)
        attempt.caller_disconnected, attempt.caller_checked_at = call.client_gone, time.monotonic() * 1000
        attempt.send_deadline = attempt.caller_checked_at + send_by - now
        call.open_attempts[number] = OpenAttempt(endpoint, now, attempt)
        self.upstream.send(endpoint, attempt)

    def _payload(self, call: Call) -> bytes:
        if call.id in self.partial_calls:
            return call.build_payload(max(1, int(call.timeout)))
        return call.build_payload(max(1, int(call.deadline - self.clock())))

    def _close_call(self, call: Call) -> bool:
        """Remove a call from the table; returns whether it was still unanswered."""
        for timer in call.timers:
            self.timers.cancel(timer)  # else the timer and all it references outlive the call
        call.timers.clear()
        self.partial_calls.discard(call.id)
        if call.upload is not None:
            call.upload.discard()
        if call.intent is not None:
            call.intent.end()
        self.open_trace_ids.discard(call.trace_id)
        return self.calls.pop(call.id, None) is not None


def _trace_text(call: Call) -> str:
    """The X-Trace-Id of a call, for the log."""
    return call.trace_id.decode("ascii", "backslashreplace")


def _wait_state(call: Call) -> str:
    """What a call is waiting for, for the log."""
    for open_attempt in call.open_attempts.values():
        return ATTEMPT_STATES[open_attempt.attempt.state]
    return "between attempts" if call.attempts_sent else "for an endpoint"
