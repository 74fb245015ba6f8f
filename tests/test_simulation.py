"""Machines of the daemon, explored over their own code; and the search itself, on one that is known."""

from __future__ import annotations

import math
from collections.abc import Iterable

import pytest

from millgw.interface import ListKind
from millgw.policy.freshness import KNOWN_AFTER_MS, Freshness
from millgw.simulation.explore import explore
from millgw.simulation.models.freshness import FreshnessModel
from tests.kinds import pure_run_only

pytestmark = pure_run_only


class Jugs:
    """A jug of 3 and one of 5: broken where one holds just 4, which takes six steps at the least."""

    name, about = "jugs", "no jug holds 4"

    def first(self) -> Iterable[tuple[int, int]]:
        yield (0, 0)

    def steps(self, state: tuple[int, int]) -> Iterable[str]:
        return ("fill 3", "fill 5", "empty 3", "empty 5", "3 into 5", "5 into 3")

    def after(self, state: tuple[int, int], step: str) -> tuple[int, int]:
        a, b = state
        over, under = min(a, 5 - b), min(b, 3 - a)
        return {
            "fill 3": (3, b), "fill 5": (a, 5), "empty 3": (0, b), "empty 5": (a, 0),
            "3 into 5": (a - over, b + over), "5 into 3": (a + under, b - under),
        }[step]  # fmt: skip

    def key(self, state: tuple[int, int]) -> tuple[int, int]:
        return state

    def broken(self, state: tuple[int, int]) -> str:
        return "one holds 4" if 4 in state else ""


class Sound(Jugs):
    def broken(self, state: tuple[int, int]) -> str:
        return ""


def test_the_trace_found_is_as_short_as_any_and_leads_to_the_state() -> None:
    model = Jugs()
    found = explore(model)
    assert found.broken == "one holds 4" and len(found.trace) == 6
    state = (0, 0)
    for step in found.trace:
        assert not model.broken(state)
        state = model.after(state, step)
    assert state == found.state and 4 in state


def test_all_that_can_be_reached_is_looked_at_and_a_bound_is_told() -> None:
    found = explore(Sound())
    assert (found.states, found.whole, found.broken) == (16, True, ""), "of 24 that the jugs could be in"
    cut = explore(Sound(), most=10)
    assert cut.states == 10 and not cut.whole and not cut.broken


@pytest.mark.parametrize("ask_within", [2000.0, 10_000.0])
def test_nothing_is_sent_to_an_endpoint_whose_drain_counts_as_told(ask_within: float) -> None:
    found = explore(FreshnessModel(ask_within, silences=2, calls=4))
    assert not found.broken, (found.broken, found.trace)
    assert found.whole and found.states > 100_000


@pytest.mark.parametrize("vouched", [False, True])
def test_the_same_holds_of_a_discovery_that_goes_down_and_comes_back(vouched: bool) -> None:
    found = explore(FreshnessModel(silences=0, calls=2, moves=False, outage=True, vouched=vouched))
    assert not found.broken, (found.broken, found.trace)
    assert found.whole and found.states > 100_000


class Six(Freshness):
    """As it once was: a proof holds for 6 s, whatever was silent or due by then."""

    def fresh_until(self) -> float:
        return self.heard_at + KNOWN_AFTER_MS if self.disconnected() else math.inf


class NoGaps(Freshness):
    """As it was next: what changes between a watch and the next call, or under that, was not thought of."""

    def _last_message_valid_until(self) -> float:
        return max(self.heard_at, self.watch_lost_at) + KNOWN_AFTER_MS


class ServedProves(Freshness):
    """As it was then: what was done by the list proved it for as long as it was done again and again."""

    def fresh_until(self) -> float:
        return math.inf


class SilenceProves(Freshness):
    """As it was last: a call that nothing came of was taken for an outage."""

    def _shows_outage(self, kind: ListKind) -> bool:
        return kind is ListKind.UNREACHABLE or kind is ListKind.SILENT


class LateFailure(Freshness):
    """A call that failed lengthened what was over by then."""

    def _last_message_valid_until(self) -> float:
        if self.failures and not self.moved:
            return self.heard_at + KNOWN_AFTER_MS
        return super()._last_message_valid_until()


@pytest.mark.parametrize("wrong", [Six, NoGaps, ServedProves, SilenceProves, LateFailure])
def test_what_the_module_once_did_wrong_is_found(wrong: type[Freshness]) -> None:
    last_step = "the call is turned away" if wrong is LateFailure else "a second passes"
    found = explore(FreshnessModel(10_000.0, silences=1, machine=wrong))
    assert "after its drain counts as told" in found.broken
    assert any("drain" in step for step in found.trace) and found.trace[-1] == last_step


def test_a_discovery_that_is_vouched_for_and_turns_calls_away_all_the_same_is_found() -> None:
    """What the operators vouch for is relied on: where it is not so, a drain is missed."""
    found = explore(FreshnessModel(10_000.0, silences=1, outage=True, vouched=True, full=True))
    assert "after its drain counts as told" in found.broken


def test_a_discovery_that_is_assumed_to_be_down_is_while_it_answers_calls_as_soon_as_it_is_back() -> None:
    found = explore(FreshnessModel(silences=0, calls=3, moves=False, outage=True, assumes=True))
    assert not found.broken, (found.broken, found.trace)
    assert found.whole and found.states > 10_000


def test_what_the_assumption_costs_where_discovery_is_full_is_found() -> None:
    found = explore(FreshnessModel(silences=0, calls=3, moves=False, outage=True, full=True, assumes=True))
    assert "after its drain counts as told" in found.broken
    assert found.trace.count("the call is turned away") >= 1


def test_a_search_is_the_same_in_each_process() -> None:
    one, other = (explore(FreshnessModel(2000.0, 1, machine=Six)) for _ in range(2))
    assert (one.trace, one.states, one.steps) == (other.trace, other.states, other.steps)
