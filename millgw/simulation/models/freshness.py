"""The list while discovery says nothing: which endpoint may still be sent to (rule 3).

Held: an endpoint whose drain counts as told is not taken for fresh. When that is, the operators' terms say:
what a watch or call that has fallen silent misses counts as told 6 s after it fell silent, all at once; what
a watch that ends does not tell, or what changes while there is none, 2 s after the end or the change, or
`ask_within` after it where that is less. What is told is told, and is not looked at here.

The machine is `millgw.policy.freshness.Freshness` itself and one endpoint's record, in steps of a second. All
times are ms; ages over `OLD` are one, as nothing turns on them any more.
"""

from __future__ import annotations

import copy
import math
import random
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field, replace

from millgw.interface import Repeat, RequestClass, Settings
from millgw.policy.freshness import TOLD_AFTER_END, TOLD_WITHIN, Freshness

STEP = 1000.0
NOTICED = 3000.0  # after its last line, at which a watch that is silent is given up, and a call unanswered
HEARTBEAT = 2000.0
OLD = TOLD_WITHIN + 2 * STEP

BASE = Settings(
    (RequestClass("read", 3000.0, Repeat.SAFE, 1000.0),),
    0.2,
    10_000.0,
    2.5,
    1000.0,
    ask_within=10_000.0,
    probing=True,
)


@dataclass
class Listening:
    """The module's machine, and the truth beside it."""

    machine: Freshness
    now: float = 0.0
    known_at: float = 0.0  # the endpoint's, as the module keeps it
    on: bool = True  # a watch is on, or a call is under way
    spoke: float = 0.0  # when it last said something, or the call was made
    answered: bool = True  # whether it has said anything
    fell: float | None = None  # when it fell silent
    missed: list[tuple[float, float]] = field(default_factory=list)  # silences that are over: from, until
    ended: float = -math.inf  # when a watch last ended
    drains: float | None = None
    asked: float | None = None  # when the probe or call was sent that is out

    def told(self) -> float:
        """From when on the drain counts as told."""
        if self.drains is None:
            return math.inf
        silences = [*self.missed, *([] if self.fell is None else [(self.fell, math.inf)])]
        for since, until in silences:
            if since <= self.drains < until:
                return max(self.drains, since + TOLD_WITHIN)
        return self.drains + min(TOLD_AFTER_END, self.machine.later)


class FreshnessModel:
    """Up to `silences` watches and calls fall silent one after the other.

    `machine` makes the module's part: another one may be put in its place, to see what it does wrong. With
    `served_proves` the endpoint's record is that of a module that takes a served call for a proof.
    """

    name = "freshness"
    about = "an endpoint whose drain counts as told is not taken for fresh while discovery says nothing"

    def __init__(
        self,
        ask_within: float = 10_000.0,
        silences: int = 2,
        machine: type[Freshness] = Freshness,
        served_proves: bool = False,
    ) -> None:
        self.settings = replace(BASE, ask_within=ask_within)
        self.silences = silences
        self.machine = machine
        self.served_proves = served_proves

    def first(self) -> Iterable[Listening]:
        made = Listening(self.machine(self.settings, random.Random(1)))
        made.machine.heard(0.0)
        yield made

    def steps(self, state: Listening) -> Iterable[str]:
        yield "a second passes"
        if state.on and state.fell is None:
            yield "it falls silent"
            if state.answered:
                yield "its watch ends"
                if state.drains is None:
                    yield "its watch ends in place of telling a drain"
                if len(state.missed) < self.silences:
                    yield "discovery moves"
        if not state.on and len(state.missed) < self.silences:
            yield "discovery is asked"
        if state.on and not state.answered and state.fell is None:
            yield "the call is turned away"
            if state.drains is None:
                yield "discovery answers"  # and would tell of a drain
        if state.drains is None and not self._speaks(state):
            yield "the endpoint begins to drain"
        if state.asked is None:
            yield "the endpoint is asked"
        else:
            yield "the endpoint answers"

    def after(self, state: Listening, step: str) -> Listening:
        made = copy.copy(state)
        made.machine = copy.copy(state.machine)
        made.missed = list(state.missed)
        getattr(self, "_" + step.replace(" ", "_"))(made)
        return made

    def key(self, state: Listening) -> Hashable:
        def age(at: float | None) -> float | None:
            return None if at is None else min(OLD, state.now - at)

        machine = state.machine
        return (
            machine.deaf(), machine.spoken, age(machine.lost_at), age(state.known_at),
            state.on, age(state.spoke), state.answered, age(state.fell),
            tuple((age(since), age(until)) for since, until in state.missed),
            age(state.drains), age(state.asked),
        )  # fmt: skip

    def broken(self, state: Listening) -> str:
        if state.now <= state.told() or self._stale(state):
            return ""
        return f"taken for fresh {(state.now - state.told()) / 1000:g} s after its drain counts as told"

    @staticmethod
    def _speaks(state: Listening) -> bool:
        return state.on and state.answered and state.fell is None

    @staticmethod
    def _stale(state: Listening) -> bool:
        """Whether the module sends nothing there."""
        return state.now > state.machine.fresh_until(state.known_at)

    # What may happen

    def _a_second_passes(self, state: Listening) -> None:
        state.now += STEP
        if state.on and state.fell is None and state.answered and state.now >= state.spoke + HEARTBEAT:
            self._hear(state)
        elif state.on and state.now >= state.spoke + NOTICED:
            self._end(state, silent=True)

    @staticmethod
    def _hear(state: Listening) -> None:
        state.spoke = state.known_at = state.now
        state.machine.heard(state.now)

    @staticmethod
    def _end(state: Listening, silent: bool) -> None:
        if state.fell is not None:
            state.missed.append((state.fell, state.now))
        state.on, state.fell = False, None
        state.machine.failed(state.now, silent)

    @staticmethod
    def _it_falls_silent(state: Listening) -> None:
        # A call that is never answered missed all since it was made.
        state.fell = state.now if state.answered else state.spoke

    def _its_watch_ends(self, state: Listening) -> None:
        self._end(state, silent=False)

    def _its_watch_ends_in_place_of_telling_a_drain(self, state: Listening) -> None:
        state.drains = state.now
        self._end(state, silent=False)

    @staticmethod
    def _discovery_moves(state: Listening) -> None:
        state.answered, state.spoke = False, state.now
        state.machine.asked(state.now)

    def _the_call_is_turned_away(self, state: Listening) -> None:
        self._end(state, silent=False)

    @staticmethod
    def _discovery_is_asked(state: Listening) -> None:
        state.on, state.answered, state.spoke = True, False, state.now
        state.machine.asked(state.now)

    def _discovery_answers(self, state: Listening) -> None:
        state.answered = True
        state.missed.clear()
        self._hear(state)

    @staticmethod
    def _the_endpoint_begins_to_drain(state: Listening) -> None:
        state.drains = state.now

    @staticmethod
    def _the_endpoint_is_asked(state: Listening) -> None:
        state.asked = state.now

    def _the_endpoint_answers(self, state: Listening) -> None:
        """A call is served whether or not it drained when that was sent; a probe tells."""
        assert state.asked is not None
        if self.served_proves or state.drains is None or state.asked < state.drains:
            state.known_at = max(state.known_at, state.asked)
        else:
            state.known_at = -math.inf
        state.asked = None
