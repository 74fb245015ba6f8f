"""The list in virtual time: drains, silences, breaks, moves and returns in any order, any `ask_within`.

Held to: what a watch says counts at once. What a watch or call misses that has fallen silent counts as told
6 s after it fell silent, all at once; what a watch that ends does not tell, or what changes while there is
none, 2 s or `ask_within` after that. An endpoint that drains serves on or turns calls away, and answers
health probes as not well.
"""

from __future__ import annotations

import math

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
    SetTimer,
    Subscribe,
)
from millgw.policy.freshness import TOLD_AFTER_END, TOLD_WITHIN
from tests.support import SAFE, Drive, settings

STEADY = hypothesis_settings(
    derandomize=True, deadline=None, max_examples=150, suppress_health_check=[HealthCheck.too_slow]
)
HEARTBEAT, NOTICED, FIRST_LINE, TURNED_AWAY = 2000.0, 2600.0, 3000.0, 2000.0  # ms
GRACE = 500.0  # ms
TICK = 100.0  # ms
IDS = range(1, 5)


class World:
    """One module, the truth of its endpoints, and what discovery does with its calls."""

    def __init__(self, ask_within: float, seed: int, probing: bool = True, turns_away: bool = False) -> None:
        self.drive = Drive(settings(ask_within=ask_within, stage=1, probing=probing), seed)
        self.turns_away = turns_away
        self.drive.usable = set(IDS)  # what may be sent to is judged here, by the time
        self.begun = self.drive.now
        self.draining: dict[int, float] = {}  # since when
        self.told: set[int] = set()
        self.seen = 0  # actions that were looked at for probes
        self.looked_at = 0  # the same for calls to discovery
        self.mode = "answers"
        self.on = False
        self.heartbeat = -math.inf  # when the last line came
        self.later = min(TOLD_AFTER_END, ask_within)
        self.served = self.calls = 0
        self.watched = False  # whether a watch has been on at all
        self.silent: list[tuple[float, float, float]] = []  # the last line, from when on and until when
        self.due: tuple[float, str] | None = None  # what comes of the call that is made
        self.asked: list[float] = []
        self.drive.show(*map(Endpoint, IDS), kind=ListKind.CACHED)

    def list_now(self) -> None:
        self.told = set(self.draining)
        self.silent.clear()
        self.watched = True
        self.feed(ListKind.FULL, *(Endpoint(id) for id in IDS if id not in self.draining))

    def feed(self, kind: ListKind, *entries: Endpoint) -> None:
        if kind not in (ListKind.FAILED, ListKind.SILENT, ListKind.PART):
            self.heartbeat = self.drive.now
        self.drive.feed(EndpointList(kind, entries))

    def step(self, name: str, value: float) -> None:
        now, id = self.drive.now, int(value) % len(IDS) + 1
        if name == "drain" and len(self.draining) < len(IDS) - 1 and id not in self.draining:
            self.draining[id] = now
            if self.on:
                self.told.add(id)
                self.feed(ListKind.DELTA, Endpoint(id, Condition.DRAINING))
        elif name == "return" and id in self.draining:
            del self.draining[id]
            self.told.discard(id)
            if self.on:
                self.feed(ListKind.DELTA, Endpoint(id))
        elif name == "silence" and self.on:
            self.on = False
            self.silent.append((self.heartbeat, now, math.inf))
            self.due = (self.heartbeat + NOTICED, "silent")
        elif name == "break" and self.on:
            self.on = False
            self.feed(ListKind.FAILED)
        elif name == "break in place of a drain" and self.on and len(self.draining) < len(IDS) - 1:
            self.on = False
            self.draining.setdefault(id, now)
            self.feed(ListKind.FAILED)
        elif name == "move" and self.on:
            self.on = False
            self.feed(ListKind.MOVED)
            self.call_discovery()
        elif name == "part" and self.draining:
            id = min(self.draining)
            self.told.add(id)
            self.feed(ListKind.PART, Endpoint(id, Condition.DRAINING))
        elif name in ("answers", "fails", "hangs"):
            self.mode = name
        elif name in ("wait", "rest"):
            self.wait(value, calls=name == "wait")

    def wait(self, ms: float, calls: bool = True) -> None:
        end = self.drive.now + ms
        while self.drive.now < end:
            self.drive.advance(self.drive.now + TICK)
            new, self.looked_at = self.drive.log[self.looked_at :], len(self.drive.log)
            if any(isinstance(action, Subscribe) for _, action in new):
                self.on = False
                self.asked.append(self.drive.now)
                self.call_discovery()
            if self.due is not None and self.drive.now >= self.due[0]:
                _, what = self.due
                self.due = None
                if what == "answers":
                    self.on = True
                    self.list_now()
                else:
                    self.close()
                    self.feed(ListKind.FAILED if what == "fails" else ListKind.SILENT)
            if self.on and self.drive.now >= self.heartbeat + HEARTBEAT:
                self.feed(ListKind.DELTA)
            if calls:
                self.call()

    def call_discovery(self) -> None:
        times = {"answers": 300.0, "fails": TURNED_AWAY, "hangs": FIRST_LINE}
        self.close()
        if self.mode == "hangs":
            self.silent.append((self.drive.now, self.drive.now, math.inf))
        self.due = (self.drive.now + times[self.mode], self.mode)

    def close(self) -> None:
        """The silent watch or call, if there is one, is given up."""
        if self.silent and self.silent[-1][2] == math.inf:
            self.silent[-1] = (*self.silent[-1][:2], self.drive.now)

    def counts(self, drained: float) -> float:
        """From when on a drain counts as told that nothing was heard of."""
        for _, since, until in self.silent:
            if since <= drained < until:
                return max(drained, since + TOLD_WITHIN)
        return drained + self.later

    def call(self) -> None:
        """One request, answered at once by whom it comes to, as are the probes that it causes."""
        drive = self.drive
        request = drive.arrive(SAFE)
        self.calls += 1
        self.answer_probes()
        while drive.tries[request] and drive.tries[request][-1][2] is None:
            number = len(drive.tries[request]) - 1
            endpoint = drive.tries[request][number][0]
            self.judge(endpoint)
            if endpoint in self.draining and self.turns_away:
                drive.outcome(request, number, Outcome.REJECTED)
            else:
                self.served += 1
                drive.outcome(request, number, Outcome.OK)
            self.answer_probes()
        if request in drive.open:
            drive.abort(request)

    def answer_probes(self) -> None:
        for _, action in self.drive.log[self.seen :]:
            if isinstance(action, Probe):
                well = Outcome.ERROR if action.endpoint in self.draining else Outcome.OK
                self.drive.feed(ProbeEnded(action.endpoint, well, 0.0))
        self.seen = len(self.drive.log)

    def judge(self, endpoint: int) -> None:
        assert endpoint not in self.told, "told, and sent to"
        since = self.draining.get(endpoint)
        if since is not None:
            assert self.drive.now <= self.counts(since) + GRACE, f"{endpoint} counts as told"


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["drain", "drain", "return", "silence", "silence", "break", "part", "answers", "fails", "hangs"]
            + ["break in place of a drain", "move"]
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
@STEADY
def test_nothing_is_sent_to_an_endpoint_that_counts_as_told(
    steps: list[tuple[str, float]], ask_within: float, seed: int, turns_away: bool
) -> None:
    world = World(ask_within, seed, turns_away=turns_away)
    world.wait(2000.0)
    for name, value in steps:
        world.step(name, value)
    if not turns_away:  # else a call waits for its next attempt
        assert world.served == world.calls, "one endpoint at least is well, and a probe proves it"
    world.mode = "answers"
    world.wait(15_000.0)
    assert world.on, "it is heard again, whatever came before"


@given(STEPS, st.sampled_from([10_000.0, 40_000.0]), st.integers(0, 5))
@STEADY
def test_where_probes_are_not_allowed_nothing_is_sent_either_while_discovery_answers_calls(
    steps: list[tuple[str, float]], ask_within: float, seed: int
) -> None:
    """It may turn them away; calls that hang twice in a row are taken for an outage."""
    world = World(ask_within, seed, probing=False)
    world.wait(2000.0)
    for name, value in steps:
        if name not in ("hangs", "silence"):
            world.step(name, value)
    world.mode = "answers"
    world.wait(15_000.0)
    assert world.on


@pytest.mark.parametrize("ask_within", [2000.0, 10_000.0, 30_000.0, 200_000.0])
def test_a_silent_watch_is_asked_for_again_before_what_it_misses_counts_as_told(ask_within: float) -> None:
    for seed in range(30):
        world = World(ask_within, seed)
        world.wait(3000.0)
        assert world.on
        fell = world.drive.now
        world.step("silence", 0.0)
        world.asked.clear()
        world.wait(6000.0)
        assert world.asked and world.asked[0] - fell <= 4000.0, (seed, world.asked)


@pytest.mark.parametrize("ask_within", [2000.0, 10_000.0, 30_000.0])
@pytest.mark.parametrize("mode", ["fails", "hangs"])
def test_a_discovery_that_does_not_answer_meets_no_storm_and_no_long_silence(
    ask_within: float, mode: str
) -> None:
    for seed in range(10):
        world = World(ask_within, seed)
        world.mode = mode
        world.wait(120_000.0)
        gaps = [b - a for a, b in zip(world.asked, world.asked[1:], strict=False)]
        took = TURNED_AWAY if mode == "fails" else FIRST_LINE
        assert min(gaps) >= took + 300.0 - TICK, "a call that is worked on is not given up for another"
        assert max(gaps) <= took + 10_000.0 + 2 * TICK


def test_a_call_that_finds_no_endpoint_sure_has_a_silent_discovery_asked_at_once() -> None:
    drive = Drive(settings(), 1)
    drive.show(*map(Endpoint, IDS))
    drive.advance(drive.now + 1000.0)
    drive.feed(EndpointList(ListKind.SILENT))
    drive.balancer.discovery.due = drive.now + 60_000.0
    drive.advance(drive.now + 8000.0)
    before = len(drive.log)
    drive.arrive(SAFE)
    drive.arrive(SAFE)
    asks = [a for _, a in drive.log[before:] if isinstance(a, Subscribe)]
    assert len(asks) == 1, "and once, not for each call"
    assert any(isinstance(a, SetTimer) and a.request is None for _, a in drive.log[before:])


@pytest.mark.parametrize("probing", [True, False])
def test_where_no_endpoint_is_fresh_the_request_waits_and_is_refused_in_time(probing: bool) -> None:
    """One that serves all it is sent may drain: nothing goes there once its drain may count as told."""
    drive = Drive(settings(probing=probing), 1)
    drive.show(*map(Endpoint, IDS))
    drive.feed(EndpointList(ListKind.FAILED))
    for _ in range(30):
        drive.advance(drive.now + 50.0)
        request = drive.arrive(SAFE)
        assert drive.sent_to(request)
        drive.outcome(request, 0, Outcome.OK)
    drive.advance(drive.now + 1000.0)
    request = drive.arrive(SAFE)
    assert drive.sent_to(request) == []
    drive.advance(drive.now + 150.0)
    assert drive.answers[request] == "refused", "soon, so that its client may try elsewhere"


def test_a_request_that_waits_goes_to_the_endpoint_that_a_probe_proves_fresh() -> None:
    drive = Drive(settings(probing=True), 1)
    drive.show(*map(Endpoint, IDS))
    drive.feed(EndpointList(ListKind.FAILED))
    drive.advance(drive.now + TOLD_AFTER_END + 1.0)
    request = drive.arrive(SAFE)
    assert drive.sent_to(request) == []
    probed = [a.endpoint for _, a in drive.log if isinstance(a, Probe)]
    assert len(probed) == len(set(probed)) >= 3
    drive.feed(ProbeEnded(probed[0], Outcome.ERROR, 2.0))
    drive.feed(ProbeEnded(probed[1], Outcome.TIMEOUT, 2.0))
    assert drive.sent_to(request) == []
    drive.feed(ProbeEnded(probed[2], Outcome.OK, 2.0))
    assert drive.sent_to(request) == [probed[2]]
    balancer = drive.balancer
    assert balancer.discovery.fresh_until(balancer.servers[probed[2]].known_at) == drive.now - 2.0 + 2000.0


def test_what_is_sent_while_discovery_is_not_heard_leaves_while_its_endpoint_is_proven_or_not_at_all() -> (
    None
):
    drive = Drive(settings(stage=1), 1)
    drive.show(*map(Endpoint, IDS))
    drive.feed(EndpointList(ListKind.FAILED))
    lost = drive.now
    drive.advance(lost + 500.0)
    drive.arrive(SAFE)
    sends = [a.until for _, a in drive.log if isinstance(a, Send)]
    assert sends == [lost + TOLD_AFTER_END]


def test_a_full_or_tried_endpoint_is_no_reason_to_send_to_one_that_is_not_fresh() -> None:
    """The fallback once looked at what was usable now, not at what was known."""
    drive = Drive(settings(probing=True, stage=0), 1)
    drive.show(*map(Endpoint, IDS))
    drive.feed(EndpointList(ListKind.FAILED))
    drive.advance(drive.now + TOLD_AFTER_END + 1.0)
    drive.abort(drive.arrive(SAFE))
    drive.feed(ProbeEnded(1, Outcome.OK, 0.0))
    for _ in range(30):
        drive.arrive(SAFE)
    assert {a.endpoint for _, a in drive.log if isinstance(a, Send)} == {1}
    tried = next(request for request, tries in drive.tries.items() if tries)
    drive.outcome(tried, 0, Outcome.REJECTED)
    drive.advance(drive.now + 400.0)
    assert {a.endpoint for _, a in drive.log if isinstance(a, Send)} == {1}


def test_probes_are_few_and_only_while_discovery_is_not_heard() -> None:
    drive = Drive(settings(probing=True, stage=1), 1)
    drive.show(*map(Endpoint, range(1, 201)))
    for heard in (True, False):
        if not heard:
            drive.feed(EndpointList(ListKind.FAILED))
            drive.balancer.discovery.due = drive.now + 60_000.0
        before = len(drive.log)
        for _ in range(200):
            drive.advance(drive.now + 50.0)
            request = drive.arrive(SAFE)
            for _, action in drive.log[before:]:
                if isinstance(action, Probe):
                    drive.feed(ProbeEnded(action.endpoint, Outcome.OK, 0.0))
            probes = [a for _, a in drive.log[before:] if isinstance(a, Probe)]
            if request in drive.open:
                drive.outcome(request, 0, Outcome.OK)
        most = 10 * (drive.balancer._home() + 1)
        assert len(probes) == 0 if heard else len(probes) <= most, "those to draw from, once a second"


def test_probes_are_not_sent_where_they_are_not_allowed() -> None:
    drive = Drive(settings(probing=False), 1)
    drive.show(*map(Endpoint, IDS))
    drive.feed(EndpointList(ListKind.FAILED))
    drive.advance(drive.now + 10_000.0)
    drive.arrive(SAFE)
    assert not [a for _, a in drive.log if isinstance(a, Probe)]


@pytest.mark.parametrize(("mode", "after"), [("hangs", 10_000.0), ("fails", 45_000.0)])
def test_without_probes_an_outage_of_discovery_does_not_end_the_service(mode: str, after: float) -> None:
    """Calls that hang tell of it; one that turns all calls away for half a minute is down as well."""
    world = World(10_000.0, 1, probing=False)
    world.wait(3000.0)
    world.mode = mode
    world.step("break", 0.0)
    world.wait(after)
    served, calls = world.served, world.calls
    world.wait(20_000.0)
    assert world.served - served >= (0.6 if mode == "hangs" else 1.0) * (world.calls - calls)


def test_a_served_call_proves_nothing_of_its_endpoint() -> None:
    """It may have begun to drain, and serve on: its drain counts as told 2 s after the watch ended."""
    drive = Drive(settings(stage=1), 1)
    drive.show(*map(Endpoint, IDS))
    drive.feed(EndpointList(ListKind.FAILED))
    lost = drive.now
    drive.advance(lost + TOLD_AFTER_END - 100.0)
    for _ in range(20):
        drive.outcome(drive.arrive(SAFE), 0, Outcome.OK)
    drive.advance(lost + TOLD_AFTER_END + 1.0)
    assert not drive.sent_to(drive.arrive(SAFE))


def test_what_counts_as_told_sooner_where_discovery_has_to_be_asked_sooner() -> None:
    drive = Drive(settings(stage=1, ask_within=1500.0), 1)
    drive.show(*map(Endpoint, IDS))
    drive.feed(EndpointList(ListKind.FAILED))
    known = drive.balancer.servers[3].known_at
    assert drive.balancer.discovery.fresh_until(known) == drive.now + 1500.0


def test_a_silent_watch_holds_for_six_seconds_after_its_last_word_at_the_most() -> None:
    drive = Drive(settings(stage=1, ask_within=30_000.0), 1)
    drive.show(*map(Endpoint, IDS))
    fell = drive.now
    drive.advance(fell + 5000.0)
    drive.feed(EndpointList(ListKind.SILENT))
    assert drive.balancer.discovery.fresh_until(fell) == fell + TOLD_WITHIN


def test_a_move_counts_as_the_end_of_its_watch() -> None:
    drive = Drive(settings(stage=1), 1)
    drive.show(*map(Endpoint, IDS))
    drive.advance(drive.now + 1000.0)
    drive.feed(EndpointList(ListKind.MOVED))
    assert drive.balancer.discovery.deaf()
    assert drive.balancer.discovery.fresh_until(drive.balancer.servers[1].known_at) == drive.now + 2000.0


def test_where_lists_are_pushed_the_agent_is_asked_at_once_and_soon_again() -> None:
    """What it has counts as told while no watch is on, and what it gets when discovery is back."""
    drive = Drive(settings(ask_discovery=False), 1)
    drive.show(*map(Endpoint, IDS))
    for nth, kind in enumerate([ListKind.FAILED, ListKind.FAILED, ListKind.SILENT, ListKind.SILENT] * 10):
        before = len(drive.log)
        failed = drive.now
        drive.feed(EndpointList(kind))
        while not any(isinstance(a, Subscribe) for _, a in drive.log[before:]):
            drive.advance(drive.now + 1.0)
        assert drive.now - failed <= (1.0 + drive.config.tick if nth == 0 else 251.0 + drive.config.tick)


def test_a_part_is_no_sign_that_discovery_is_heard() -> None:
    drive = Drive(settings(), 1)
    drive.show(*map(Endpoint, IDS))
    drive.feed(EndpointList(ListKind.FAILED))
    wait = drive.balancer.discovery.wait
    drive.feed(EndpointList(ListKind.PART, (Endpoint(1, Condition.DRAINING),)))
    assert drive.balancer.discovery.deaf() and drive.balancer.discovery.wait == wait
    assert set(drive.balancer.servers) == {2, 3, 4}
