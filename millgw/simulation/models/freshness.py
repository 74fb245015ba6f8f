"""The list while discovery says nothing: until when it may be sent to (rule 3).

Held: an endpoint whose drain counts as told (`millgw.simulation.told_terms`) is not sent to. What is told is
told, and is not looked at here. The machine is `millgw.policy.freshness.Freshness` itself, in steps of a
second, beside a discovery that goes down by refusing connections or by turning calls away, comes back, and
may be full meanwhile. Ages over `OLD` are one, as nothing turns on them any more.
"""

from __future__ import annotations

import copy
import math
import random
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field, replace

from millgw.interface import ListKind, Repeat, RequestClass, Settings
from millgw.policy.freshness import Freshness
from millgw.simulation.told_terms import REACHED, Outage, Silence, told_at

STEP = 1000.0
NOTICED = 3000.0  # after its last line, at which a watch that is silent is given up, and a call unanswered
HEARTBEAT = 2000.0
OLD = REACHED + 2 * STEP

BASE = Settings(
    (RequestClass("read", 3000.0, Repeat.SAFE, 1000.0),),
    0.2,
    10_000.0,
    2.5,
    1000.0,
    ask_within=10_000.0,
)


@dataclass
class Listening:
    """The module's machine, and the truth beside it."""

    machine: Freshness
    now: float = 0.0
    on: bool = True  # a watch is on, or a call is under way
    spoke: float = 0.0  # when it last said something, or the call was made
    answered: bool = True  # whether it has said anything
    calls: int = 0  # since it last did
    fell: float | None = None  # when it fell silent
    missed: tuple[Silence, ...] = field(default_factory=tuple)
    failed_at: float | None = None  # when the first call was made that failed after the watch ended
    up: bool = True
    outage: Outage | None = None
    drains: float | None = None

    def told(self) -> float:
        """From when on the drain counts as told."""
        if self.drains is None:
            return math.inf
        silences = self.missed if self.fell is None else (*self.missed, Silence(self.fell))
        return told_at(self.drains, silences, self.failed_at, self.outage)


class FreshnessModel:
    """Up to `silences` watches and calls fall silent, `calls` are made, with `moves` also to another one.
    With `outage` discovery goes down once.

    `machine` makes the module's part: another one may be put in its place, to see what it does wrong. With
    `vouched` the operators vouch that a discovery that is up answers each call at once, and so it does,
    unless it is `full`. With `assumes` the endpoint is also sent to while discovery is taken to be down, and
    answers health probes well all the time.
    """

    name = "freshness"
    about = "an endpoint whose drain counts as told is not sent to while discovery says nothing"

    def __init__(
        self,
        ask_within: float = 10_000.0,
        silences: int = 2,
        calls: int = 3,
        moves: bool = True,
        outage: bool = False,
        machine: type[Freshness] = Freshness,
        vouched: bool = False,
        full: bool | None = None,
        assumes: bool = False,
    ) -> None:
        self.settings = replace(BASE, ask_within=ask_within, calls_fail_only_in_outages=vouched)
        self.silences = silences
        self.calls = calls
        self.moves = moves
        self.outage = outage
        self.machine = machine
        self.assumes = assumes
        # Whether discovery turns calls away though it is up.
        self.full = not (vouched or assumes) if full is None else full
        self.prompt = not self.full  # whether it answers at once while it is up

    def first(self) -> Iterable[Listening]:
        made = Listening(self.machine(self.settings, random.Random(1)))
        made.machine.start(0.0)
        made.machine.heard(0.0)
        yield made

    def steps(self, state: Listening) -> Iterable[str]:
        waits = state.on and not state.answered and state.fell is None
        if not (self.prompt and waits and state.up):
            yield "a second passes"
        if state.on and state.fell is None and state.up:
            yield from self._of_a_watch(state)
        if not state.on and state.calls < self.calls:
            yield "discovery is asked"
        if state.on and not state.answered and state.fell is None:
            yield from self._of_a_call(state)
        if self.outage and state.outage is None:
            yield "discovery goes down"
        if not state.up:
            yield "discovery is back"
        if state.drains is None and not self._speaks(state):
            yield "the endpoint begins to drain"

    def _of_a_watch(self, state: Listening) -> Iterable[str]:
        if len(state.missed) < self.silences:
            yield "it falls silent"
        if state.answered:
            yield "its watch ends"
            if state.drains is None:
                yield "its watch ends in place of telling a drain"
            if self.moves and state.calls < self.calls:
                yield "discovery moves"

    def _of_a_call(self, state: Listening) -> Iterable[str]:
        was_down = state.outage is not None and state.outage.since <= state.spoke <= state.outage.until
        if was_down or self.full:
            yield "the call is turned away"
        if was_down:
            yield "the call is refused"
        if state.up and state.drains is None:
            yield "discovery answers"  # and would tell of a drain

    def after(self, state: Listening, step: str) -> Listening:
        made = copy.copy(state)
        made.machine = copy.copy(state.machine)
        getattr(self, "_" + step.replace(" ", "_"))(made)
        return made

    def key(self, state: Listening) -> Hashable:
        def age(at: float | None) -> float | None:
            return None if at is None else min(OLD, state.now - at)

        machine = state.machine
        down = (None, None) if state.outage is None else (state.outage.since, state.outage.until)
        return (
            machine.disconnected(), machine.call_answered, machine.moved, machine.refused,
            machine.failed_in_time,
            age(machine.watch_lost_at), age(machine.heard_at), age(machine.called_at),
            age(machine.outage_shown_at),
            age(machine.seems_down_at), age(machine.recovered_at), machine.watch_ended,
            state.on, age(state.spoke), state.answered, state.calls, age(state.fell), age(state.failed_at),
            tuple((age(silence.since), age(silence.until)) for silence in state.missed),
            state.up, age(down[0]), age(down[1]), age(state.drains),
        )  # fmt: skip

    def broken(self, state: Listening) -> str:
        if state.now <= state.told() or self._stale(state):
            return ""
        return f"sent to {(state.now - state.told()) / 1000:g} s after its drain counts as told"

    @staticmethod
    def _speaks(state: Listening) -> bool:
        return state.on and state.answered and state.fell is None

    def _stale(self, state: Listening) -> bool:
        """Whether the module sends nothing there."""
        until = state.machine.fresh_until()
        return state.now > (max(until, state.machine.assumed_down_until()) if self.assumes else until)

    # What may happen

    def _a_second_passes(self, state: Listening) -> None:
        state.now += STEP
        if self._speaks(state) and state.now >= state.spoke + HEARTBEAT:
            self._hear(state)
        elif state.on and state.now >= state.spoke + NOTICED:
            self._end(state, ListKind.SILENT)

    @staticmethod
    def _hear(state: Listening) -> None:
        state.spoke = state.now
        state.failed_at = None
        state.machine.heard(state.now)

    @staticmethod
    def _end(state: Listening, kind: ListKind) -> None:
        if state.fell is not None:
            state.missed = (*state.missed, Silence(state.fell, state.now))
        if state.answered:
            state.failed_at = None
        elif state.failed_at is None:
            state.failed_at = state.spoke
        state.on, state.fell = False, None
        state.machine.failed(state.now, kind)

    @staticmethod
    def _it_falls_silent(state: Listening) -> None:
        # A call that is never answered missed all since it was made.
        state.fell = state.now if state.answered else state.spoke

    def _its_watch_ends(self, state: Listening) -> None:
        self._end(state, ListKind.FAILED)

    def _its_watch_ends_in_place_of_telling_a_drain(self, state: Listening) -> None:
        state.drains = state.now
        self._end(state, ListKind.FAILED)

    @staticmethod
    def _discovery_moves(state: Listening) -> None:
        state.answered, state.spoke, state.failed_at = False, state.now, None
        state.calls += 1
        state.machine.move(state.now)

    def _the_call_is_turned_away(self, state: Listening) -> None:
        self._end(state, ListKind.FAILED)

    def _the_call_is_refused(self, state: Listening) -> None:
        self._end(state, ListKind.UNREACHABLE)

    @staticmethod
    def _discovery_is_asked(state: Listening) -> None:
        state.on, state.answered, state.spoke = True, False, state.now
        state.calls += 1
        state.machine.asked(state.now)

    def _discovery_answers(self, state: Listening) -> None:
        state.answered = True
        state.missed, state.calls = (), 0
        self._hear(state)

    def _discovery_goes_down(self, state: Listening) -> None:
        """All watches end; what it had told until then was told."""
        state.up, state.outage = False, Outage(state.now)
        if self._speaks(state):
            self._end(state, ListKind.FAILED)

    @staticmethod
    def _discovery_is_back(state: Listening) -> None:
        assert state.outage is not None
        state.up, state.outage = True, replace(state.outage, until=state.now)

    @staticmethod
    def _the_endpoint_begins_to_drain(state: Listening) -> None:
        state.drains = state.now
