"""The endpoint list in virtual time: drains, silences, lost watches, moves and returns in any order.

Any `ask_within` is used. Required: what a watch reports counts at once; what did not arrive counts after the
time given by `millgw.simulation.told_terms`, or `ask_within` if that is less. A draining endpoint goes on
serving or rejects calls.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from typing import Any

import pytest
from hypothesis import HealthCheck, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from millgw.interface import (
    Condition,
    Endpoint,
    EndpointList,
    ListKind,
    Outcome,
    Probe,
    ProbeEnded,
    Send,
    Subscribe,
)
from millgw.policy.freshness import KNOWN_AFTER_MS, KNOWN_AFTER_WATCH_END_MS, MAX_ASSUMED_DOWN_MS, Freshness
from millgw.simulation.told_terms import Outage, Silence, told_at
from tests.support import SAFE, Drive, settings

FIXED_EXAMPLES = hypothesis_settings(
    derandomize=True, deadline=None, max_examples=150, suppress_health_check=[HealthCheck.too_slow]
)
HEARTBEAT, SILENCE_NOTICED, FIRST_LINE_TIMEOUT, REJECTION_TIME = 2000.0, 2600.0, 3000.0, 2000.0  # ms
CALL_GIVEN_UP = 3400.0  # ms without a first line
GRACE = 500.0  # ms
TICK = 100.0  # ms
IDS = range(1, 5)
DOWN_MODES = ("refuses", "is down")
ANSWER_TIMES = {
    "answers": 300.0,
    "fails": REJECTION_TIME,
    "hangs": FIRST_LINE_TIMEOUT,
    "refuses": 0.0,
    "is down": REJECTION_TIME,
}
FAILURE_KINDS = {
    "fails": ListKind.FAILED,
    "hangs": ListKind.SILENT,
    "silent": ListKind.SILENT,
    "refuses": ListKind.UNREACHABLE,
    "is down": ListKind.FAILED,
}


class DiscoveryModel:
    """One balancer, the real state of its endpoints, and how discovery treats its calls."""

    def __init__(self, ask_within: float, seed: int, vouched: bool = False, turns_away: bool = False) -> None:
        made = settings(ask_within=ask_within, stage=1, calls_fail_only_in_outages=vouched)
        self.drive = Drive(made, seed)
        self.ask_within = ask_within
        self.turns_away = turns_away
        self.drive.usable_ids = set(IDS)  # this model checks by the time which may be used
        self.started_at = self.drive.now
        self.draining: dict[int, float] = {}  # since when
        self.told: set[int] = set()
        self.actions_seen = 0  # actions already searched for calls to discovery
        self.mode = "answers"
        self.watching = False
        self.heartbeat = -math.inf  # when the last line arrived
        self.failed_at: float | None = None  # start of the first failed call since the watch was lost
        self.outage: Outage | None = None  # the last one
        self.served = self.calls = 0
        self.watched = False  # whether a watch was ever active
        self.silent: list[tuple[float, float, float]] = []  # last line, start and end of each silence
        self.pending_result: tuple[float, str] | None = None  # when the pending call ends, and how
        self.asked: list[float] = []
        self.drive.send_list(*map(Endpoint, IDS), kind=ListKind.CACHED)

    def send_full_list(self) -> None:
        self.told = set(self.draining)
        self.silent.clear()
        self.watched = True
        self.feed(ListKind.FULL, *(Endpoint(id) for id in IDS if id not in self.draining))

    def feed(self, kind: ListKind, *entries: Endpoint) -> None:
        if not kind.watch_ended and kind is not ListKind.PARTIAL:
            self.heartbeat = self.drive.now
            self.failed_at = None
        elif kind.watch_ended and self.drive.balancer.discovery.call_answered:
            self.failed_at = None  # a watch, not a call, has ended
        elif kind.watch_ended and self.failed_at is None:
            self.failed_at = self.asked[-1]
        self.drive.feed(EndpointList(kind, entries))

    def step(self, name: str, value: float) -> None:
        now, id = self.drive.now, int(value) % len(IDS) + 1
        if name == "drain" and len(self.draining) < len(IDS) - 1 and id not in self.draining:
            self.draining[id] = now
            if self.watching:
                self.told.add(id)
                self.feed(ListKind.DELTA, Endpoint(id, Condition.DRAINING))
        elif name == "return" and id in self.draining:
            del self.draining[id]
            self.told.discard(id)
            if self.watching:
                self.feed(ListKind.DELTA, Endpoint(id))
        elif name == "silence" and self.watching:
            self.watching = False
            self.silent.append((self.heartbeat, now, math.inf))
            self.pending_result = (self.heartbeat + SILENCE_NOTICED, "silent")
        elif name == "break" and self.watching:
            self.watching = False
            self.feed(ListKind.FAILED)
        elif name == "break in place of a drain" and self.watching and len(self.draining) < len(IDS) - 1:
            self.watching = False
            self.draining.setdefault(id, now)
            self.feed(ListKind.FAILED)
        elif name == "move" and self.watching:
            self.watching = False
            self.feed(ListKind.MOVED)
            self.call_discovery()
        elif name == "part" and self.draining:
            id = min(self.draining)
            self.told.add(id)
            self.feed(ListKind.PARTIAL, Endpoint(id, Condition.DRAINING))
        elif name in ("answers", "fails", "hangs", "refuses", "is down"):
            self.set_mode(name)
        elif name in ("wait", "rest"):
            self.wait(value, calls=name == "wait")

    def set_mode(self, mode: str) -> None:
        """Discovery answers, is overloaded, hangs, or is down and refuses connections or rejects calls."""
        was_down, down = self.mode in DOWN_MODES, mode in DOWN_MODES
        self.mode = mode
        now = self.drive.now
        if down and not was_down:
            self.outage = Outage(now)
            if self.watching:
                self.watching = False
                self.feed(ListKind.FAILED)
        elif was_down and not down:
            assert self.outage is not None
            self.outage = Outage(self.outage.since, now)

    def wait(self, ms: float, calls: bool = True) -> None:
        end = self.drive.now + ms
        while self.drive.now < end:
            self.drive.advance(self.drive.now + TICK)
            new, self.actions_seen = self.drive.log[self.actions_seen :], len(self.drive.log)
            if any(isinstance(action, Subscribe) for _, action in new):
                self.watching = False
                self.asked.append(self.drive.now)
                self.call_discovery()
            if self.pending_result is not None and self.drive.now >= self.pending_result[0]:
                _, what = self.pending_result
                self.pending_result = None
                if what == "answers":
                    self.watching = True
                    self.send_full_list()
                else:
                    self.end_silence()
                    self.feed(FAILURE_KINDS[what])
            if self.watching and self.drive.now >= self.heartbeat + HEARTBEAT:
                self.feed(ListKind.DELTA)
            if calls:
                self.call()

    def call_discovery(self) -> None:
        self.end_silence()
        if self.mode == "hangs":
            self.silent.append((self.drive.now, self.drive.now, math.inf))
        self.pending_result = (self.drive.now + ANSWER_TIMES[self.mode], self.mode)

    def end_silence(self) -> None:
        """The silent watch or call, if there is one, is abandoned."""
        if self.silent and self.silent[-1][2] == math.inf:
            self.silent[-1] = (*self.silent[-1][:2], self.drive.now)

    def counts_as_told_at(self, drained: float) -> float:
        """From when a drain that was not reported counts as told."""
        silences = tuple(Silence(since, until) for _, since, until in self.silent)
        told = told_at(drained, silences, self.failed_at, self.outage)
        outage = self.outage
        if outage is not None and outage.since <= told and outage.until >= drained:
            return told
        if any(silence.since <= drained < silence.until for silence in silences):
            return told
        # Four times `ask_within` after a failed call, else `ask_within` after the last call.
        least = 4 * self.ask_within if self.failed_at is not None else self.ask_within
        return min(told, drained + least)

    def call(self) -> None:
        """One request, answered at once by each endpoint that it is sent to."""
        drive = self.drive
        fresh = drive.now <= drive.balancer.discovery.fresh_until()
        request = drive.arrive(SAFE)
        self.calls += 1
        assert self.turns_away or bool(drive.attempts[request]) == fresh, (
            "refused only if the list may be outdated"
        )
        while drive.attempts[request] and drive.attempts[request][-1][2] is None:
            number = len(drive.attempts[request]) - 1
            endpoint = drive.attempts[request][number][0]
            self.check_not_told(endpoint)
            if endpoint in self.draining and self.turns_away:
                drive.end_attempt(request, number, Outcome.REJECTED)
            else:
                self.served += 1
                drive.end_attempt(request, number, Outcome.OK)
        if request in drive.unanswered:
            drive.abort(request)

    def check_not_told(self, endpoint: int) -> None:
        assert endpoint not in self.told, "sent to an endpoint whose drain was received"
        since = self.draining.get(endpoint)
        if since is not None:
            assert self.drive.now <= self.counts_as_told_at(since) + GRACE, f"{endpoint} counts as told"


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["drain", "drain", "return", "silence", "silence", "break", "part", "answers", "fails", "hangs"]
            + ["break in place of a drain", "move", "refuses", "is down"]
            + ["wait"] * 6
            + ["rest"] * 4
        ),
        st.floats(0, 9000),
    ),
    max_size=40,
)


@given(
    STEPS,
    st.sampled_from([500.0, 1500.0, 10_000.0, 40_000.0, 200_000.0]),
    st.integers(0, 5),
    st.booleans(),
)
@FIXED_EXAMPLES
def test_nothing_is_sent_to_an_endpoint_that_counts_as_told(
    steps: list[tuple[str, float]], ask_within: float, seed: int, turns_away: bool
) -> None:
    world = DiscoveryModel(ask_within, seed, turns_away=turns_away)
    world.wait(2000.0)
    for name, value in steps:
        world.step(name, value)
    world.set_mode("answers")
    world.wait(15_000.0)
    assert world.watching, "a watch is active again, whatever happened before"


@given(STEPS, st.sampled_from([10_000.0, 40_000.0]), st.integers(0, 5))
@FIXED_EXAMPLES
def test_nothing_is_sent_to_told_endpoints_where_calls_fail_only_in_outages(
    steps: list[tuple[str, float]], ask_within: float, seed: int
) -> None:
    world = DiscoveryModel(ask_within, seed, vouched=True)
    world.wait(2000.0)
    for name, value in steps:
        if name != "fails":
            world.step(name, value)
    world.set_mode("answers")
    world.wait(15_000.0)
    assert world.watching


@pytest.mark.parametrize("ask_within", [2000.0, 10_000.0, 30_000.0, 200_000.0])
def test_a_silent_watch_is_asked_for_again_before_what_it_misses_counts_as_told(ask_within: float) -> None:
    for seed in range(30):
        world = DiscoveryModel(ask_within, seed)
        world.wait(3000.0)
        assert world.watching
        fell = world.drive.now
        world.step("silence", 0.0)
        world.asked.clear()
        world.wait(6000.0)
        assert world.asked and world.asked[0] - fell <= 4000.0, (seed, world.asked)


@pytest.mark.parametrize("ask_within", [2000.0, 10_000.0, 30_000.0])
@pytest.mark.parametrize("mode", ["fails", "hangs"])
def test_calls_to_an_unanswering_discovery_are_neither_too_frequent_nor_too_rare(
    ask_within: float, mode: str
) -> None:
    for seed in range(10):
        world = DiscoveryModel(ask_within, seed)
        world.set_mode(mode)
        world.wait(120_000.0)
        gaps = [b - a for a, b in zip(world.asked, world.asked[1:], strict=False)]
        took = REJECTION_TIME if mode == "fails" else FIRST_LINE_TIMEOUT
        assert min(gaps) >= took + 300.0 - TICK, "a call in progress is not abandoned for another"
        assert max(gaps) <= took + 10_000.0 + 2 * TICK


def test_without_a_usable_endpoint_the_request_waits_and_is_refused_in_time() -> None:
    """An endpoint that serves all calls may drain: nothing is sent there once its drain may count as told."""
    drive = Drive(settings(), 1)
    drive.send_list(*map(Endpoint, IDS))
    drive.feed(EndpointList(ListKind.FAILED))
    for _ in range(30):
        drive.advance(drive.now + 50.0)
        request = drive.arrive(SAFE)
        assert drive.sent_to(request)
        drive.end_attempt(request, 0, Outcome.OK)
    drive.advance(drive.now + 1000.0)
    request = drive.arrive(SAFE)
    assert drive.sent_to(request) == []
    drive.advance(drive.now + 150.0)
    assert drive.answers[request] == "refused", "early, so that its client may retry elsewhere"


def test_a_held_request_is_sent_as_soon_as_a_discovery_message_arrives() -> None:
    drive = Drive(settings(), 1)
    drive.send_list(*map(Endpoint, IDS))
    drive.feed(EndpointList(ListKind.FAILED))
    drive.advance(drive.now + KNOWN_AFTER_WATCH_END_MS + 1.0)
    request = drive.arrive(SAFE)
    assert drive.sent_to(request) == []
    drive.feed(EndpointList(ListKind.DELTA, (Endpoint(1, Condition.DRAINING),)))
    assert drive.sent_to(request) and 1 not in drive.sent_to(request)


def test_send_by_ends_when_a_drain_may_count_as_told() -> None:
    drive = Drive(settings(stage=1), 1)
    drive.send_list(*map(Endpoint, IDS))
    drive.feed(EndpointList(ListKind.FAILED))
    lost = drive.now
    drive.advance(lost + 500.0)
    drive.arrive(SAFE)
    sends = [a.send_by for _, a in drive.log if isinstance(a, Send)]
    assert sends == [lost + KNOWN_AFTER_WATCH_END_MS]


def test_an_endpoint_that_rejected_a_call_is_avoided_until_a_discovery_message_arrives() -> None:
    """It may be draining, as no message has arrived since."""
    drive = Drive(settings(stage=0), 1)
    drive.send_list(*map(Endpoint, IDS))
    drive.feed(EndpointList(ListKind.FAILED))
    tried = drive.arrive(SAFE)
    (left,) = drive.sent_to(tried)
    drive.end_attempt(tried, 0, Outcome.REJECTED)
    before = drive.count(left)
    for _ in range(20):
        drive.advance(drive.now + 50.0)
        request = drive.arrive(SAFE)
        drive.end_attempt(request, 0, Outcome.OK)
    assert drive.count(left) == before
    drive.feed(EndpointList(ListKind.DELTA))
    while drive.sent_to(drive.arrive(SAFE)):  # all at once, up to the limit on calls in flight
        pass
    assert drive.count(left) > before


@pytest.mark.parametrize(("mode", "vouched"), [("refuses", False), ("is down", True)])
def test_an_outage_of_discovery_does_not_end_the_service(mode: str, vouched: bool) -> None:
    """A refused connection, or with an operators' guarantee any failed call, proves that none counts yet."""
    for seed in range(10):
        world = DiscoveryModel(10_000.0, seed, vouched=vouched)
        world.wait(3000.0)
        world.set_mode(mode)
        world.wait(60_000.0)
        served, calls = world.served, world.calls
        assert served >= (1.0 if mode == "refuses" else 0.6) * calls
        world.set_mode("answers")
        world.wait(12_000.0)
        assert world.watching


@pytest.mark.parametrize("mode", ["fails", "hangs", "is down"])
def test_without_proof_of_an_outage_nothing_is_sent_however_long_discovery_is_silent(mode: str) -> None:
    """Two calls that hung, or half a minute without a message, were once taken for an outage."""
    world = DiscoveryModel(10_000.0, 1)
    world.wait(3000.0)
    world.set_mode(mode)
    world.step("break", 0.0)
    world.wait(10_000.0)
    served = world.served
    world.wait(60_000.0)
    assert world.served == served


def test_a_discovery_that_rejects_calls_after_refusing_connections_is_back() -> None:
    world = DiscoveryModel(10_000.0, 1, vouched=True)
    world.wait(3000.0)
    world.set_mode("refuses")
    world.wait(20_000.0)
    assert world.served == world.calls
    world.set_mode("fails")
    world.wait(KNOWN_AFTER_MS + 100.0)
    served = world.served
    world.wait(10_000.0)
    assert world.served == served, "a drain may count as told by then"


@pytest.mark.parametrize("kind", [ListKind.SILENT, ListKind.BROKEN_OFF])
def test_a_call_that_discovery_accepted_is_no_proof_of_an_outage(kind: ListKind) -> None:
    drive = Drive(settings(calls_fail_only_in_outages=True), 1)
    drive.send_list(*map(Endpoint, IDS))
    drive.feed(EndpointList(ListKind.FAILED))
    lost = drive.now
    drive.advance(lost + 1000.0)
    drive.feed(EndpointList(kind))
    assert drive.balancer.discovery.fresh_until() == lost + KNOWN_AFTER_MS


def test_a_served_call_proves_nothing_of_its_endpoint() -> None:
    """It may be draining while it serves: its drain counts as told 2 s after the watch ended."""
    drive = Drive(settings(stage=1), 1)
    drive.send_list(*map(Endpoint, IDS))
    drive.feed(EndpointList(ListKind.FAILED))
    lost = drive.now
    drive.advance(lost + KNOWN_AFTER_WATCH_END_MS - 100.0)
    for _ in range(20):
        drive.end_attempt(drive.arrive(SAFE), 0, Outcome.OK)
    drive.advance(lost + KNOWN_AFTER_WATCH_END_MS + 1.0)
    assert not drive.sent_to(drive.arrive(SAFE))


def test_a_short_ask_within_shortens_the_time_until_a_change_counts_as_told() -> None:
    drive = Drive(settings(stage=1, ask_within=1500.0), 1)
    drive.send_list(*map(Endpoint, IDS))
    drive.feed(EndpointList(ListKind.FAILED))
    assert drive.balancer.discovery.fresh_until() == drive.now + 1500.0


def test_a_silent_watch_is_valid_for_at_most_six_seconds_after_its_last_message() -> None:
    drive = Drive(settings(stage=1, ask_within=30_000.0), 1)
    drive.send_list(*map(Endpoint, IDS))
    fell = drive.now
    drive.advance(fell + 5000.0)
    drive.feed(EndpointList(ListKind.SILENT))
    assert drive.balancer.discovery.fresh_until() == fell + KNOWN_AFTER_MS


def test_a_move_counts_as_the_end_of_its_watch() -> None:
    drive = Drive(settings(stage=1), 1)
    drive.send_list(*map(Endpoint, IDS))
    drive.advance(drive.now + 1000.0)
    drive.feed(EndpointList(ListKind.MOVED))
    assert drive.balancer.discovery.disconnected()
    assert drive.balancer.discovery.fresh_until() == drive.now + 2000.0


def test_with_pushed_lists_the_agent_is_asked_at_once_and_again_soon() -> None:
    """What the agent knows, or receives after an outage, counts as told while no watch is active."""
    drive = Drive(settings(ask_discovery=False), 1)
    drive.send_list(*map(Endpoint, IDS))
    for nth, kind in enumerate([ListKind.FAILED, ListKind.FAILED, ListKind.SILENT, ListKind.SILENT] * 10):
        before = len(drive.log)
        failed = drive.now
        drive.feed(EndpointList(kind))
        while not any(isinstance(a, Subscribe) for _, a in drive.log[before:]):
            drive.advance(drive.now + 1.0)
        assert drive.now - failed <= (1.0 + drive.config.tick if nth == 0 else 251.0 + drive.config.tick)


def test_a_partial_list_does_not_show_that_a_watch_is_active() -> None:
    drive = Drive(settings(), 1)
    drive.send_list(*map(Endpoint, IDS))
    drive.feed(EndpointList(ListKind.FAILED))
    wait = drive.balancer.discovery.wait
    drive.feed(EndpointList(ListKind.PARTIAL, (Endpoint(1, Condition.DRAINING),)))
    assert drive.balancer.discovery.disconnected() and drive.balancer.discovery.wait == wait
    assert set(drive.balancer.servers) == {2, 3, 4}


# Discovery rejects each call: it may be down or overloaded


# ms: the end of the watch, the next call, and its rejection (503)
WATCH_ENDED_AT, CALLED_AT, REJECTED_AT = 10_000.0, 10_200.0, 12_200.0


def rejected_after(kind: ListKind = ListKind.FAILED, **changed: Any) -> Freshness:
    """A sidecar whose watch ended with `kind` at `WATCH_ENDED_AT`, and whose next call was rejected."""
    made = Freshness(settings(probing=True, **changed), random.Random(1))
    made.start(0.0)
    made.heard(WATCH_ENDED_AT - 100.0)
    made.failed(WATCH_ENDED_AT, kind)
    made.asked(CALLED_AT)
    made.failed(REJECTED_AT, ListKind.FAILED)
    return made


def test_a_discovery_that_rejects_calls_is_assumed_down_for_six_seconds_after_each() -> None:
    made = rejected_after()
    assert made.assumed_down_until() == CALLED_AT + KNOWN_AFTER_MS
    made.asked(15_000.0)
    made.failed(17_000.0, ListKind.FAILED)
    assert made.assumed_down_until() == 15_000.0 + KNOWN_AFTER_MS


@pytest.mark.parametrize(
    "kind", [ListKind.SILENT, ListKind.BROKEN_OFF, ListKind.UNREACHABLE, ListKind.NOT_MADE]
)
def test_calls_that_fail_otherwise_do_not_extend_the_assumed_outage(kind: ListKind) -> None:
    made = rejected_after()
    made.asked(15_000.0)
    made.failed(15_100.0, kind)
    assert made.assumed_down_until() <= CALLED_AT + KNOWN_AFTER_MS
    if kind is ListKind.UNREACHABLE:
        made.asked(15_500.0)
        made.failed(15_600.0, ListKind.FAILED)
        assert made.assumed_down_until() == -math.inf, "it refused connections, so it is back and overloaded"


def test_a_silent_or_moved_watch_is_no_sign_of_an_outage() -> None:
    assert rejected_after(ListKind.SILENT).assumed_down_until() == -math.inf
    moved = rejected_after()
    moved.move(13_000.0)
    moved.failed(14_000.0, ListKind.FAILED)
    assert moved.assumed_down_until() == -math.inf


def test_no_outage_is_assumed_shortly_after_earlier_failed_calls() -> None:
    made = rejected_after()
    made.asked(13_000.0)
    made.heard(13_500.0)
    made.failed(14_000.0, ListKind.FAILED)
    made.asked(14_100.0)
    made.failed(16_100.0, ListKind.FAILED)
    assert made.assumed_down_until() == -math.inf


def test_the_assumed_outage_ends_after_half_a_minute() -> None:
    made, now = rejected_after(), REJECTED_AT
    while now < WATCH_ENDED_AT + MAX_ASSUMED_DOWN_MS:
        made.asked(now + 1000.0)
        now += 3000.0
        made.failed(now, ListKind.FAILED)
    assert made.assumed_down_until() <= WATCH_ENDED_AT + MAX_ASSUMED_DOWN_MS + KNOWN_AFTER_MS
    made.asked(now + 1000.0)
    made.failed(now + 3000.0, ListKind.FAILED)
    assert made.assumed_down_until() == -math.inf


def test_an_agent_that_rejects_calls_is_not_assumed_down() -> None:
    assert rejected_after(ask_discovery=False).assumed_down_until() == -math.inf


class RejectingDiscovery:
    """A balancer whose watch has ended, and whose calls to discovery are each rejected after 2 s."""

    def __init__(self, endpoints: Iterable[int] = IDS, **changed: Any) -> None:
        self.drive = Drive(settings(**changed), 1)
        self.drive.send_list(*map(Endpoint, endpoints))
        self.drive.feed(EndpointList(ListKind.FAILED))
        self.watch_lost_at = self.drive.now
        self.asked = math.inf
        self.actions_seen = 0  # actions already searched for calls to discovery

    def wait(self, ms: float) -> None:
        end = self.drive.now + ms
        while self.drive.now < end:
            self.drive.advance(min(end, self.drive.now + TICK))
            actions, self.actions_seen = self.drive.log[self.actions_seen :], len(self.drive.log)
            self.asked = min([self.asked, *(at for at, act in actions if isinstance(act, Subscribe))])
            if self.drive.now >= self.asked + REJECTION_TIME:
                self.drive.feed(EndpointList(ListKind.FAILED))
                self.asked = math.inf

    def wait_until_the_list_is_outdated(self) -> None:
        self.wait(KNOWN_AFTER_MS + 1.0)
        discovery = self.drive.balancer.discovery
        assert discovery.fresh_until() < self.drive.now < discovery.assumed_down_until()

    def probes(self, since: int = 0) -> list[int]:
        """The endpoints that were probed, from position `since` of the log on."""
        return [act.endpoint for _, act in self.drive.log[since:] if isinstance(act, Probe)]


@pytest.mark.parametrize("probing", [True, False])
def test_in_an_assumed_outage_only_endpoints_that_pass_probes_are_used(probing: bool) -> None:
    turning = RejectingDiscovery(stage=1, probing=probing)
    drive = turning.drive
    sent: set[int] = set()
    while drive.now < turning.watch_lost_at + KNOWN_AFTER_MS + 4 * REJECTION_TIME:
        turning.wait(TICK)
        before = len(drive.log)
        request = drive.arrive(SAFE)
        for endpoint in turning.probes(before):
            drive.feed(ProbeEnded(endpoint, Outcome.ERROR if endpoint == 1 else Outcome.OK, 0.0))
        if drive.now > turning.watch_lost_at + KNOWN_AFTER_MS:
            sent.update(drive.sent_to(request))
    assert sent == ({2, 3, 4} if probing else set())


def test_a_held_request_is_sent_to_the_endpoint_that_passes_a_probe() -> None:
    turning = RejectingDiscovery(probing=True)
    turning.wait_until_the_list_is_outdated()
    drive, balancer = turning.drive, turning.drive.balancer
    request = drive.arrive(SAFE)
    assert drive.sent_to(request) == []
    probed = turning.probes()
    assert len(probed) == len(set(probed)) >= 3
    drive.feed(ProbeEnded(probed[0], Outcome.ERROR, 2.0))
    drive.feed(ProbeEnded(probed[1], Outcome.TIMEOUT, 2.0))
    assert drive.sent_to(request) == []
    drive.feed(ProbeEnded(probed[2], Outcome.OK, 2.0))
    assert drive.sent_to(request) == [probed[2]]
    (until,) = (action.send_by for _, action in drive.log if isinstance(action, Send))
    assert until == min(drive.now - 2.0 + 2000.0, balancer.discovery.assumed_down_until())


def test_if_probed_endpoints_are_full_or_tried_unprobed_ones_are_still_not_used() -> None:
    """The fallback once considered which endpoints could be used now, not which were proven healthy."""
    turning = RejectingDiscovery(probing=True, stage=0)
    turning.wait_until_the_list_is_outdated()
    drive = turning.drive
    drive.abort(drive.arrive(SAFE))
    drive.feed(ProbeEnded(1, Outcome.OK, 0.0))
    for _ in range(30):
        drive.arrive(SAFE)
    assert {a.endpoint for _, a in drive.log if isinstance(a, Send)} == {1}
    tried = next(request for request, tries in drive.attempts.items() if tries)
    drive.end_attempt(tried, 0, Outcome.REJECTED)
    turning.wait(400.0)
    assert {a.endpoint for _, a in drive.log if isinstance(a, Send)} == {1}


def test_probes_are_few_and_only_while_discovery_seems_to_be_down() -> None:
    for heard in (True, False):
        turning = RejectingDiscovery(range(1, 201), probing=True, stage=1)
        drive = turning.drive
        if heard:
            drive.feed(EndpointList(ListKind.DELTA))
        for _ in range(200):
            turning.wait(50.0)
            before = len(drive.log)
            request = drive.arrive(SAFE)
            for endpoint in turning.probes(before):
                drive.feed(ProbeEnded(endpoint, Outcome.OK, 0.0))
            if request in drive.unanswered and drive.attempts[request]:
                drive.end_attempt(request, 0, Outcome.OK)
        probes = turning.probes()
        most = 10 * (drive.balancer._subset_size() + 1)
        assert not probes if heard else 0 < len(probes) <= most, "the subset, once a second"


def test_probes_are_not_sent_where_they_are_not_allowed() -> None:
    turning = RejectingDiscovery(probing=False)
    turning.wait_until_the_list_is_outdated()
    turning.drive.arrive(SAFE)
    assert not turning.probes()


@pytest.mark.parametrize("seed", range(50))
def test_a_start_whose_first_call_stays_silent_asks_again_before_its_list_is_over(seed: int) -> None:
    made = Freshness(settings(siblings=4), random.Random(seed))
    due = made.start(0.0)
    assert due is not None
    made.asked(due)
    assert made.failed(due + CALL_GIVEN_UP, ListKind.SILENT) < made.fresh_until()


@pytest.mark.parametrize("seed", range(50))
def test_an_answer_that_broke_off_is_asked_for_again_before_the_list_is_over(seed: int) -> None:
    made = Freshness(settings(siblings=34), random.Random(seed))
    made.start(0.0)
    made.asked(0.0)
    made.heard(HEARTBEAT)
    asked = made.failed(HEARTBEAT + SILENCE_NOTICED, ListKind.SILENT)
    made.asked(asked)
    assert made.failed(asked + 100.0, ListKind.BROKEN_OFF) < made.fresh_until()
