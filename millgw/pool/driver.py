"""The driver: feeds events to the one `Balancer` and carries out its actions.

It owns the clock, the timers and the books on what is owed. It decides nothing, but it answers for the rule
that each call gets exactly one final answer in time, whatever the balancer does.
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
    RequestAborted,
    RequestArrived,
    RequestBodyComplete,
    Send,
    SetTimer,
    Settings,
    TimerFired,
)
from millgw.platform.discovery import Listed
from millgw.pool.call import Call, OpenAttempt
from millgw.pool.deadlines import Deadlines
from millgw.pool.health_probe import PROBE_TIMEOUT_MS, HealthProbe
from millgw.pool.start_times import StartTimes
from millgw.streams.flow import Flow

MAX_UPLOAD_MS = 3_600_000.0  # ms that a body may take to come in: far over what 64 kB/s need
ATTEMPT_STATES = ("connecting", "held", "writing", "answer", "ended")  # by `Attempt.state`, for the log
ANSWER_MARGIN = 30.0  # ms before the client's deadline at which an attempt times out: room for a busy loop


class Clock:
    """Unix time in ms that never goes back: the wall clock at the start plus what has passed since.

    Unix time, because discovery tells an endpoint's start in it and the balancer compares the two: on a
    clock that starts at 0, an endpoint that has just started would look as if it were from the future.
    """

    def __init__(self) -> None:
        self.offset = time.time() - time.monotonic()

    def __call__(self) -> float:
        return (self.offset + time.monotonic()) * 1000


class ListFilter(Protocol):
    """What may stand between the lists and the module (see `millgw.connections.introduction`)."""

    def listed(self, kind: ListKind, entries: Sequence[Endpoint]) -> tuple[Endpoint, ...]:
        """What the module is to be told of a list."""


class Driver:
    """One sidecar's balancer in service."""

    def __init__(self, balancer: Balancer, upstream: Upstream, subscribe: Callable[[], None]) -> None:
        self.loop = asyncio.get_running_loop()
        self.clock = Clock()
        self.balancer = balancer
        self.upstream = upstream
        self.subscribe = subscribe
        self.calls: dict[int, Call] = {}
        self.open: set[bytes] = set()  # their X-Trace-Ids
        self.partial_calls: set[int] = set()  # calls whose bodies still come
        self.flows: set[Flow] = set()  # answers that are being passed on
        self.last_id = 0
        self.start_times = StartTimes()
        self.ready: set[int] = set()
        self.draining: set[int] = set()
        self.events: deque[Event] = deque()
        self.handling_events = False
        self.timers: Deadlines[Call | SetTimer | Flow] = Deadlines()
        self.wake_timer: asyncio.TimerHandle | None = None
        self.wake_at = math.inf
        self.ended = False
        self.list_filter: ListFilter | None = None
        # At discovery's last word: looks for an endpoint while the list may have been over, and probes.
        self.stale_lookups_before = self.probes_before = 0

    # What happens

    def take(self, call: Call) -> None:
        now = self.clock()
        self.last_id += 1
        call.id = self.last_id
        self.calls[call.id] = call
        self.open.add(call.trace_id)
        upload = call.upload
        if upload is None:
            call.deadline = now + call.timeout - ANSWER_MARGIN
            call.timers.append(self.timers.add(call.deadline, call))
            self._handle_event(RequestArrived(call.id, call.cls, call.deadline, call.tenant))
            self._schedule_wake()
            return
        # Its time counts from its last byte; who sends none in time is ended by the callers' side.
        call.deadline = now + MAX_UPLOAD_MS
        upload.gone = partial(self._handle_event, BodyDiscarded(call.id))
        self.partial_calls.add(call.id)
        self._handle_event(RequestArrived(call.id, call.cls, call.deadline, call.tenant, partial=True))

    def whole(self, call: Call) -> None:
        """A body that is passed on as it came is whole: the call is taken, and its time begins."""
        if call.id not in self.calls:
            return
        self.partial_calls.discard(call.id)
        now = self.clock()
        call.deadline = now + call.timeout - ANSWER_MARGIN
        call.timers.append(self.timers.add(call.deadline, call))
        for flight in call.open_attempts.values():
            flight.sent_at = now  # what came before tells nothing of the endpoint
        self._handle_event(RequestBodyComplete(call.id, call.deadline))
        self._schedule_wake()

    def left(self, call: Call) -> None:
        """The client has gone away, or the sidecar has answered in the balancer's place."""
        if self._close_call(call):
            self._handle_event(RequestAborted(call.id))
            self._give_up_attempts(call, concluded=True)

    def listed(self, kind: ListKind, entries: tuple[Listed, ...]) -> None:
        """Take discovery's word: addresses before the balancer can send there, closing after it knows."""
        if not kind.watch_ended:
            self._log_discovery_restored()
        if not entries and not kind.complete:
            if kind is ListKind.DELTA:
                self.start_times.discovery_heard(self.clock())
            self._handle_event(EndpointList(kind))  # a heartbeat, or no word any more
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
                replaced_hosts.append(self.upstream.point(id, entry.address, entry.endpoint.started_at))
                ready.add(id)
        gone |= {e.id for e in changed} - ready
        if kind.complete:
            gone |= self.ready - ready
        drains = {e.id for e in changed if e.condition is Condition.DRAINING}
        ended = {e.id for e in changed if e.condition is Condition.GONE}
        before = set() if kind.complete else self.draining
        self.ready = (self.ready | ready) - gone
        self.draining = (before | drains) - ready - ended
        filtered = tuple(changed) if self.list_filter is None else self.list_filter.listed(kind, changed)
        self._handle_event(EndpointList(kind, filtered))
        replaced_hosts += [self.upstream.forget(id) for id in gone]
        for host in replaced_hosts:
            if host is not None:
                self.upstream.close(host)

    def _with_local_start(self, endpoint: Endpoint) -> Endpoint:
        """The endpoint with its start on this process's clock."""
        started_at = self.start_times.local_start(self.clock(), endpoint.id, endpoint.started_at)
        return endpoint if started_at == endpoint.started_at else replace(endpoint, started_at=started_at)

    def _with_reported_start(self, endpoint: Endpoint) -> Endpoint:
        """The endpoint with its start as discovery told it."""
        started_at = self.start_times.reported_start(endpoint.id, endpoint.started_at)
        return endpoint if started_at == endpoint.started_at else replace(endpoint, started_at=started_at)

    def _log_discovery_restored(self) -> None:
        """Tell what became of calls while no watch was on, now that discovery is heard again."""
        balancer, discovery = self.balancer, self.balancer.discovery
        if not discovery.disconnected() or discovery.lost_at == -math.inf:
            return
        looks, self.stale_lookups_before = (
            balancer.looks_at_stale - self.stale_lookups_before,
            balancer.looks_at_stale,
        )
        probes, self.probes_before = balancer.probes - self.probes_before, balancer.probes
        self.upstream.log.log_event(
            "list-fresh-again",
            unheard_ms=round(self.clock() - discovery.lost_at, 1),
            calls=discovery.failures + 1,
            found_none=looks,
            probes=probes,
        )

    def _log_discovery_wait(self, kind: ListKind) -> None:
        """Tell when discovery is asked again, now that a call or a watch is over."""
        discovery, now = self.balancer.discovery, self.clock()
        heard_at = discovery.heard_at
        self.upstream.log.log_event(
            "discovery-wait",
            after=kind.name.lower(),
            next_ms=round(discovery.due - now, 1),
            unheard_ms=-1 if heard_at == -math.inf else round(now - heard_at, 1),
        )

    def reconfigure(self, settings: Settings) -> None:
        """Have the module go by other settings, between events; a ValueError names what can't change."""
        if not self.ended:
            self._process(self.balancer.reconfigure(self.clock(), settings))

    def hear(self, event: PeerReports) -> None:
        """Tell the module what siblings hold."""
        self._handle_event(event)

    def replace_list(self, endpoints: tuple[Endpoint, ...]) -> None:
        """Tell the module the whole list as it should have it: no word of discovery's, which may be down."""
        self._handle_event(EndpointList(ListKind.CACHED, endpoints))

    def _superseded(self, entries: tuple[Listed, ...]) -> set[int]:
        """The endpoints at whose address another one has started later.

        Guards against a machine that has gone without a word: all its calls would go to the new and cold one
        at its address, past the new one's counts.
        """
        listed_ids = {e.endpoint.id for e in entries}
        newest = {p.address: (p.since, id) for id, p in self.upstream.hosts.items() if id not in listed_ids}
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
        """Endpoints that the list names now, those that drain among them."""
        return len(self.ready) + len(self.draining)

    def out_of_rotation(self) -> dict[int, str]:
        """Those of them that are sent nothing now, and why. Other threads ask too: nothing changes."""
        return dict.fromkeys(self.draining, "drains") | self.balancer.aside(self.clock())

    def address(self, endpoint: int) -> str:
        """Where an endpoint is; empty where no connection was ever wanted there."""
        host = self.upstream.hosts.get(endpoint)
        return "" if host is None else str(host.address)

    def entries(self) -> tuple[Listed, ...]:
        """The list as it stands, for the process that takes over."""
        servers, hosts = self.balancer.servers, self.upstream.hosts
        known = [id for id in self.ready if id in servers and id in hosts]
        return tuple(Listed(self._with_reported_start(servers[id].info), hosts[id].address) for id in known)

    def misses(self, endpoint: int) -> int:
        """How many attempts in a row found no connection to an endpoint."""
        server = self.balancer.servers.get(endpoint)
        return 0 if server is None else server.missed

    def fail_all(self) -> None:
        """Answer all that is owed: the process is about to end."""
        for call in list(self.calls.values()):
            self.left(call)
            call.on_answer(Answer(FAILED))
        for flow in list(self.flows):
            flow.source.abandon()
            flow.break_off()

    def _attempt_ended(self, call: Call, number: int, outcome: Outcome, content: Content) -> None:
        attempt = call.open_attempts.pop(number)
        elapsed = self.clock() - attempt.sent_at
        if call.intent is not None:
            call.intent.over(attempt.attempt, outcome in NO_EFFECT_OUTCOMES)
        if outcome is Outcome.OK and self._close_call(call):
            call.on_answer(Answer(SERVED, content))
        elif outcome is Outcome.CANCELLED and self._close_call(call):
            # The endpoint can't use this request. Guards against one caller's bad requests that are tried
            # again elsewhere and count against the health of every endpoint they come to.
            call.on_answer(Answer(UNUSABLE, content))
        owed = call.id in self.calls
        if owed:
            self._log_attempt(call, attempt, outcome, elapsed)
        self._handle_event(AttemptEnded(call.id, attempt.endpoint, number, outcome, elapsed, not owed))
        if not owed:
            self._give_up_attempts(call, concluded=True)

    def _log_attempt(self, call: Call, attempt: OpenAttempt, outcome: Outcome, elapsed: float) -> None:
        """Log an attempt that leaves its call unanswered: it is tried again, or given up."""
        self.upstream.log.log_event(
            "attempt-failed",
            call=_trace_text(call),
            endpoint=self.address(attempt.endpoint),
            cause=outcome.value,
            took_ms=round(elapsed, 1),
        )

    def _flow_began(self, call: Call, number: int, flow: Flow) -> bool:
        """A long answer begins to be passed on; tells whether it is owed. The module hears that it ended.

        Guards against callers who read for a minute, and would fill the limit on calls in flight: what comes
        now is transport, no work.
        """
        attempt = call.open_attempts.pop(number)
        elapsed = self.clock() - attempt.sent_at
        body_complete = call.id not in self.partial_calls
        if not self._close_call(call):
            return False
        self.flows.add(flow)
        flow.over_calls.append(self.flows.discard)
        if body_complete:  # else its time has not begun
            timer = self.timers.add(call.deadline, flow)
            flow.over_calls.append(lambda _: self.timers.cancel(timer))
            self._schedule_wake()
        call.on_answer(Answer(SERVED, Content(flow.headers), flow=flow))
        self._handle_event(AttemptEnded(call.id, attempt.endpoint, number, Outcome.OK, elapsed, True))
        self._give_up_attempts(call, concluded=True)
        return True

    def _deadline_passed(self, call: Call) -> None:
        """The deadline: what is still out has timed out, and the balancer words the answer."""
        self.upstream.log.log_event(
            "deadline-passed", call=_trace_text(call), where=_wait_state(call), attempts=call.attempts_sent
        )
        self._give_up_attempts(call, concluded=False)
        if call.id in self.calls:
            # Guards the rule itself: the balancer answers by then, and if it does not, the sidecar does.
            self.left(call)
            call.on_answer(Answer(FAILED))

    def _give_up_attempts(self, call: Call, concluded: bool) -> None:
        now = self.clock()
        for number, flight in list(call.open_attempts.items()):
            del call.open_attempts[number]
            written = flight.attempt.give_up()
            if concluded:
                # Guards also against a crowd that leaves while its sends are held back: that tells nothing of
                # the endpoint, which would count as out of reach.
                outcome = Outcome.CANCELLED
            elif not written:
                outcome = Outcome.CONNECT_FAILED  # its last byte was never written
            else:
                outcome = Outcome.TIMEOUT
                self.upstream.doubt(flight.endpoint)
            self._handle_event(
                AttemptEnded(call.id, flight.endpoint, number, outcome, now - flight.sent_at, concluded)
            )

    def _set_timer(self, action: SetTimer) -> None:
        timer = self.timers.add(action.at, action)
        call = self.calls.get(action.request) if action.request is not None else None
        if call is not None:
            call.timers.append(timer)
        self._schedule_wake()

    def _schedule_wake(self) -> None:
        """Have the loop wake this at the first moment that is waited for; one timer serves them all.

        One that is set for too early is left: what it waited for has gone, which is what mostly happens.
        """
        first = self.timers.next()
        if first is None or first >= self.wake_at:
            return
        if self.wake_timer is not None:
            self.wake_timer.cancel()
        self.wake_at = first
        # 1 ms more guards against the loop's clock, which counts whole ms: the balancer drops an early timer.
        self.wake_timer = self.loop.call_later(max(0.0, first - self.clock()) / 1000 + 0.001, self._wake)

    def _wake(self) -> None:
        self.wake_timer = None
        self.wake_at = math.inf
        now = self.clock()
        # What these cause may cancel others that are due, or add some: those past `now` wait for the next
        # turn.
        while (item := self.timers.pop(now)) is not None:
            if isinstance(item, Call):
                self._deadline_passed(item)
            elif isinstance(item, Flow):
                item.expire()
            else:
                self._handle_event(TimerFired(item.timer))
        self._schedule_wake()

    def _handle_event(self, event: Event) -> None:
        """Events in the order they came: one that an action causes waits until the others are carried out."""
        if self.ended:
            return  # guards against what still goes on when its pool has ended, and would keep it in memory
        self.events.append(event)
        if not self.handling_events:
            self._process(())

    def _process(self, actions: Sequence[Action]) -> None:
        """Carry out these actions, then all that events cause."""
        self.handling_events = True
        try:
            for action in actions:
                self._carry_out(action)
            while self.events:
                for action in self.balancer.handle(self.clock(), self.events.popleft()):
                    self._carry_out(action)
        finally:
            self.handling_events = False

    # What the balancer wants

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
                self.upstream.doubt(endpoint)
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
        """Take no more events: its pool has ended."""
        self.ended = True
        if self.wake_timer is not None:
            self.wake_timer.cancel()
            self.wake_timer = None

    def _log_given_up(self, request: int, status: int, reason: GivenUp) -> None:
        call = self.calls[request]
        self.upstream.log.log_event(
            "call-given-up",
            call=_trace_text(call),
            status=status,
            cause=reason.value,
            attempts=call.attempts_sent,
        )

    def _answer(self, request: int, answer: Answer) -> None:
        call = self.calls[request]
        if answer.status == REFUSED and call.intent is not None and call.intent.doubtful:
            answer = Answer(FAILED)  # the module knows of its own attempts only
        self._close_call(call)
        call.on_answer(answer)

    def _send(self, call: Call, endpoint: int, send_by: float) -> None:
        now, number = self.clock(), call.attempts_sent
        call.attempts_sent += 1
        if call.gone is not None and call.gone():
            # Guards against sends for nobody: a caller's end is not seen while its connection is not read.
            self._handle_event(AttemptEnded(call.id, endpoint, number, Outcome.CANCELLED, 0.0, True))
            self.left(call)
            return
        ended, began = partial(self._attempt_ended, call, number), partial(self._flow_began, call, number)
        payload = partial(self._payload, call)
        attempt = Attempt(payload, ended, call.repeat, began, call.upload, call.intent, call.trace_id)
        attempt.gone, attempt.looked = call.gone, time.monotonic() * 1000
        attempt.until = attempt.looked + send_by - now
        call.open_attempts[number] = OpenAttempt(endpoint, now, attempt)
        self.upstream.send(endpoint, attempt)

    def _payload(self, call: Call) -> bytes:
        if call.id in self.partial_calls:
            return call.build_payload(max(1, int(call.timeout)))
        return call.build_payload(max(1, int(call.deadline - self.clock())))

    def _close_call(self, call: Call) -> bool:
        """Take a call off the books; tells whether it was still owed its answer."""
        for timer in call.timers:
            self.timers.cancel(timer)  # guards against timers, and what they hold, that outlive their call
        call.timers.clear()
        self.partial_calls.discard(call.id)
        if call.upload is not None:
            call.upload.drop()
        if call.intent is not None:
            call.intent.end()
        self.open.discard(call.trace_id)
        return self.calls.pop(call.id, None) is not None


def _trace_text(call: Call) -> str:
    """A call's X-Trace-Id, for the log."""
    return call.trace_id.decode("ascii", "backslashreplace")


def _wait_state(call: Call) -> str:
    """Where a call waits, for the log."""
    for flight in call.open_attempts.values():
        return ATTEMPT_STATES[flight.attempt.state]
    return "between attempts" if call.attempts_sent else "for an endpoint"
