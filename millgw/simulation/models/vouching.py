"""The list while discovery says nothing: which endpoint may still be sent to (rule 3).

Held: an endpoint whose drain counts as told is not vouched for. When that is, the operators' page says: what
a watch or call that has fallen silent misses counts as told 6 s after it fell silent, all at once; what
changes while there is none counts `ask_within` after it was made, and 6 s at the most. What is told is told,
and is not looked at here.

The machine is `millgw.decide.Discovery` itself and one endpoint's record, in steps of a second. All times are
ms; ages over `OLD` are one, as nothing turns on them any more.
"""

from __future__ import annotations

import copy
import math
import random
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field, replace

from millgw.decide import TOLD_WITHIN, Discovery, Server
from millgw.interface import Endpoint, Repeat, RequestClass, Settings

STEP = 1000.0
NOTICED = 3000.0  # after its last line, at which a watch that is silent is given up, and a call unanswered
HEARTBEAT = 2000.0
OLD = TOLD_WITHIN + 2 * STEP

BASE = Settings(
    (RequestClass("read", 3000.0, Repeat.SAFE, 1000.0),), 0.2, 10_000.0, 2.5, 1000.0, ask_within=10_000.0
)


@dataclass
class Listening:
    """The module's machine, and the truth beside it."""

    discovery: Discovery
    server: Server
    now: float = 0.0
    on: bool = True  # a watch is on, or a call is under way
    spoke: float = 0.0  # when it last said something, or the call was made
    answered: bool = True  # whether it has said anything
    fell: float | None = None  # when it fell silent
    missed: list[tuple[float, float]] = field(default_factory=list)  # silences that are over: from, until
    drains: float | None = None
    sent: float | None = None  # a call that is out

    def told(self) -> float:
        """From when on the drain counts as told."""
        if self.drains is None:
            return math.inf
        silences = [*self.missed, *([] if self.fell is None else [(self.fell, math.inf)])]
        for since, until in silences:
            if since <= self.drains < until:
                return max(self.drains, since + TOLD_WITHIN)
        return self.drains + self.discovery.later


class Vouching:
    """Up to `silences` watches and calls fall silent one after the other.

    `discovery` makes the machine: another one may be put in its place, to see what it does wrong.
    """

    name = "vouching"
    about = "an endpoint whose drain counts as told is not vouched for while discovery says nothing"

    def __init__(
        self, ask_within: float = 10_000.0, silences: int = 2, discovery: type[Discovery] = Discovery
    ) -> None:
        self.settings = replace(BASE, ask_within=ask_within)
        self.silences = silences
        self.discovery = discovery

    def first(self) -> Iterable[Listening]:
        made = Listening(self.discovery(self.settings, random.Random(1)), Server(Endpoint(1), 0.0))
        made.discovery.heard(0.0)
        yield made

    def steps(self, state: Listening) -> Iterable[str]:
        yield "a second passes"
        if state.on and state.fell is None:
            yield "it falls silent"
            if state.answered:
                yield "its watch is cut off"
        if not state.on and len(state.missed) < self.silences:
            yield "discovery is asked"
        if state.on and not state.answered and state.fell is None:
            yield "the call is turned away"
            if state.drains is None:
                yield "discovery answers"  # and would tell of a drain
        if state.drains is None and not self._speaks(state):
            yield "the endpoint begins to drain"
        if state.sent is None and not self._held(state):
            yield "a call is sent"
        if state.sent is not None:
            yield "the call is answered"

    def after(self, state: Listening, step: str) -> Listening:
        made = copy.copy(state)
        made.discovery, made.server = copy.copy(state.discovery), copy.copy(state.server)
        made.discovery.silent, made.missed = list(state.discovery.silent), list(state.missed)
        getattr(self, "_" + step.replace(" ", "_"))(made)
        return made

    def key(self, state: Listening) -> Hashable:
        def age(at: float | None) -> float | None:
            return None if at is None else min(OLD, state.now - at)

        machine = state.discovery
        return (
            machine.deaf(), age(machine.alive), machine.spoken, age(state.server.sure_at),
            tuple((age(since), age(until), spoken) for since, until, spoken in machine.silent),
            state.on, age(state.spoke), state.answered, age(state.fell),
            tuple((age(since), age(until)) for since, until in state.missed),
            age(state.drains), age(state.sent),
        )  # fmt: skip

    def broken(self, state: Listening) -> str:
        if state.now <= state.told() or self._held(state):
            return ""
        return f"vouched for {(state.now - state.told()) / 1000:g} s after its drain counts as told"

    @staticmethod
    def _speaks(state: Listening) -> bool:
        return state.on and state.answered and state.fell is None

    @staticmethod
    def _held(state: Listening) -> bool:
        """Whether the module sends nothing there."""
        return state.discovery.unsure(state.now, state.server)

    # What may happen

    def _a_second_passes(self, state: Listening) -> None:
        state.now += STEP
        if state.on and state.fell is None and state.answered and state.now >= state.spoke + HEARTBEAT:
            self._hear(state)
        elif state.on and state.now >= state.spoke + NOTICED:
            self._end(state, silent=True)

    @staticmethod
    def _hear(state: Listening) -> None:
        state.spoke = state.server.sure_at = state.now
        state.discovery.heard(state.now)

    @staticmethod
    def _end(state: Listening, silent: bool) -> None:
        if state.fell is not None:
            state.missed.append((state.fell, state.now))
        state.on, state.fell = False, None
        state.discovery.failed(state.now, silent)

    @staticmethod
    def _it_falls_silent(state: Listening) -> None:
        # A call that is never answered missed all since it was made.
        state.fell = state.now if state.answered else state.spoke

    def _its_watch_is_cut_off(self, state: Listening) -> None:
        self._end(state, silent=False)

    def _the_call_is_turned_away(self, state: Listening) -> None:
        self._end(state, silent=False)

    @staticmethod
    def _discovery_is_asked(state: Listening) -> None:
        state.on, state.answered, state.spoke = True, False, state.now
        state.discovery.asked(state.now)

    def _discovery_answers(self, state: Listening) -> None:
        state.answered = True
        state.missed.clear()
        self._hear(state)

    @staticmethod
    def _the_endpoint_begins_to_drain(state: Listening) -> None:
        state.drains = state.now

    @staticmethod
    def _a_call_is_sent(state: Listening) -> None:
        state.sent = state.now

    @staticmethod
    def _the_call_is_answered(state: Listening) -> None:
        """Served, unless the endpoint drained when it was sent: such a one turns it away (protocol page)."""
        assert state.sent is not None
        if state.drains is None or state.sent < state.drains:
            state.server.sure_at = max(state.server.sure_at, state.sent)
        else:
            state.server.sure_at = -math.inf
        state.sent = None
