"""One sidecar in virtual time: the daemon's own decision module, and what a driver does round it. Pure.

Shared by the simulations of whole fleets. Times are ms.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from millgw.decide import Balancer
from millgw.interface import (
    Action,
    AttemptEnded,
    CloseConnections,
    Event,
    Fail,
    Outcome,
    Refuse,
    RequestAborted,
    RequestArrived,
    Send,
    SetTimer,
    TimerFired,
)

BEGIN = 1_000_000.0  # of the virtual clock: endpoints have long been warm
TIMER_LATE = 1.0  # by which a timer fires later than asked for, as the driver's do

Answered = Callable[[bool], None]
"""Told once for each call, whether it was served."""

Ended = Callable[[Outcome], None]
"""Told how an attempt ended; not at all where nothing comes back."""

Serve = Callable[[int, float, Ended], None]
"""An endpoint takes an attempt that is of use until a deadline."""


Distrusted = Callable[[tuple[int, ...]], None]
"""Told whose kept connections are to be closed."""


def _nothing(endpoints: tuple[int, ...]) -> None:
    """Connections are not modelled."""


class VirtualClock:
    """Virtual time."""

    def __init__(self) -> None:
        self.now = BEGIN
        self.due: list[tuple[float, int, Callable[[], None]]] = []
        self.number = 0

    def at(self, when: float, work: Callable[[], None]) -> None:
        """Do this then."""
        self.number += 1
        heapq.heappush(self.due, (max(when, self.now), self.number, work))

    def run(self) -> None:
        """Until nothing is due any more."""
        while self.due:
            self.now, _, work = heapq.heappop(self.due)
            work()


@dataclass(slots=True)
class OpenCall:
    """One call that is owed its answer by its deadline."""

    deadline: float
    answered: Answered
    out: dict[int, tuple[int, float]] = field(default_factory=dict)  # by attempt: endpoint, when sent
    sends: int = 0


class VirtualSidecar:
    """Feeds a balancer and carries its actions out; attempts go to `serve`."""

    def __init__(
        self, clock: VirtualClock, balancer: Balancer, serve: Serve, distrust: Distrusted = _nothing
    ) -> None:
        self.clock = clock
        self.balancer = balancer
        self.serve = serve
        self.distrust = distrust
        self.calls: dict[int, OpenCall] = {}
        self.last = 0
        self.events: deque[Event] = deque()
        self.feeding = False

    def call(self, deadline: float, answered: Answered, cls: int = 0) -> None:
        """Make a call that must be answered by then."""
        self.last += 1
        id = self.last
        self.calls[id] = OpenCall(deadline, answered)
        self.clock.at(deadline, lambda: self._expire(id))
        self.feed(RequestArrived(id, cls, deadline, 0))

    def feed(self, event: Event) -> None:
        """Events in their order: one that an action causes waits until the others are carried out."""
        self.events.append(event)
        if self.feeding:
            return
        self.feeding = True
        while self.events:
            for action in self.balancer.handle(self.clock.now, self.events.popleft()):
                self._carry_out(action)
        self.feeding = False

    def _carry_out(self, action: Action) -> None:
        if isinstance(action, Send):
            self._send(action)
        elif isinstance(action, Refuse | Fail):
            self._answer(action.request, False)
        elif isinstance(action, CloseConnections):
            self.distrust(action.endpoints)
        elif isinstance(action, SetTimer):
            timer = action.timer
            self.clock.at(action.at + TIMER_LATE, lambda: self.feed(TimerFired(timer)))

    def _send(self, action: Send) -> None:
        id = action.request
        call = self.calls[id]
        number = call.sends
        call.sends += 1
        call.out[number] = (action.endpoint, self.clock.now)
        self.serve(action.endpoint, call.deadline, lambda outcome: self._ended(id, number, outcome))

    def _ended(self, id: int, number: int, outcome: Outcome) -> None:
        call = self.calls.get(id)
        if call is None or number not in call.out:
            return  # given up meanwhile
        endpoint, sent = call.out.pop(number)
        served = outcome is Outcome.OK
        if served:
            self._answer(id, True)
        self.feed(AttemptEnded(id, endpoint, number, outcome, self.clock.now - sent, served))

    def _answer(self, id: int, served: bool) -> None:
        call = self.calls.pop(id, None)
        if call is not None:
            call.answered(served)

    def _expire(self, id: int) -> None:
        call = self.calls.get(id)
        if call is None:
            return
        for number, (endpoint, sent) in list(call.out.items()):
            del call.out[number]
            elapsed = self.clock.now - sent
            self.feed(AttemptEnded(id, endpoint, number, Outcome.TIMEOUT, elapsed, False))
        if id in self.calls:
            self.feed(RequestAborted(id))
            self._answer(id, False)
