"""Learning from a peer, the pure parts: the list of peers under failures, beliefs, whose word it is."""

from __future__ import annotations

import random
from statistics import median

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from millgw.peers.beliefs import (
    FAILURE_RATE_THRESHOLD,
    FORGET_AFTER_MS,
    Observation,
    ObservationStore,
    weight,
)
from millgw.peers.sealed import REPLAY_WINDOW, MessageRefused, Signer, Verifier
from millgw.peers.swim import MemberUpdate, Message, MessageKind, Status, Swim, Terms, agree
from millgw.standins.network import Network
from tests.kinds import once

pytestmark = once

PERIOD = Terms().period


class Fleet:
    """So many nodes, each of which knows of the first one only."""

    def __init__(self, count: int, seed: int, loss: float = 0.0) -> None:
        self.network: Network[Message] = Network(seed, loss=loss)
        self.rng = random.Random(seed)
        self.nodes: dict[str, Swim] = {}
        for i in range(count):
            self.start(f"n{i}", 1)

    def start(self, name: str, start: int) -> Swim:
        node = self.nodes[name] = Swim(name, start, self.rng.getrandbits(32))
        node.join(self.network.now, [n for n in ("n0", "n1") if n != name])
        self.network.add(node, self.network.now + self.rng.uniform(0.0, PERIOD))
        return node

    def kill(self, name: str) -> None:
        del self.nodes[name]
        self.network.kill(name)

    def agreed(self, within: float) -> float:
        """The periods until all hold just the running ones to be there; within so many at the most."""
        begun = self.network.now
        while not agree(list(self.nodes.values()), set(self.nodes)):
            assert self.network.now < begun + within * PERIOD, "they do not agree"
            self.network.run(self.network.now + PERIOD)
        return (self.network.now - begun) / PERIOD

    def holding(self, name: str, *status: Status) -> int:
        return sum(n.status(name) in status for n in self.nodes.values())


# The list of peers


def test_all_who_know_one_come_to_know_all_and_a_death_reaches_everyone() -> None:
    fleet = Fleet(60, 1)
    fleet.agreed(25)
    fleet.kill("n7")
    fleet.agreed(40)
    assert fleet.holding("n7", Status.DEAD) == 59


@pytest.mark.parametrize("loss", [0.05, 0.2])
def test_with_datagrams_lost_nobody_who_runs_is_held_to_be_dead(loss: float) -> None:
    fleet = Fleet(40, 2, loss)
    fleet.agreed(80)
    for _ in range(60):
        fleet.network.run(fleet.network.now + PERIOD)
        for name in fleet.nodes:
            assert not fleet.holding(name, Status.DEAD)
    fleet.kill("n3")
    for _ in range(60):
        fleet.network.run(fleet.network.now + PERIOD)
    assert fleet.holding("n3", Status.DEAD) == 39


def test_a_node_that_was_paused_comes_back_and_condemns_nobody() -> None:
    fleet = Fleet(30, 3)
    fleet.agreed(30)
    fleet.network.pause("n5")
    fleet.network.run(fleet.network.now + 30 * PERIOD)
    assert fleet.holding("n5", Status.DEAD) == 29
    fleet.network.go_on("n5")
    mine = fleet.nodes["n5"]
    for _ in range(20):
        fleet.network.run(fleet.network.now + PERIOD / 4)
        assert len(mine.alive()) == 29, "it holds others to be dead whom it did not hear"
    fleet.agreed(30)


def test_two_groups_that_did_not_reach_each_other_find_together_again() -> None:
    fleet = Fleet(24, 4)
    fleet.agreed(30)
    names = sorted(fleet.nodes)
    fleet.network.split(names[:10], names[10:])
    fleet.network.run(fleet.network.now + 40 * PERIOD)
    assert all(set(fleet.nodes[n].alive()) <= set(names[:10]) for n in names[:10])
    fleet.network.split()
    fleet.agreed(80)


def test_a_link_that_flaps_condemns_nobody_for_good() -> None:
    fleet = Fleet(24, 8)
    fleet.agreed(30)
    names = sorted(fleet.nodes)
    for turn in range(20):
        fleet.network.split(*((names[:8], names[8:]) if turn % 2 else ()))
        fleet.network.run(fleet.network.now + 3 * PERIOD)
    fleet.network.split()
    fleet.agreed(40)


def test_all_restart_at_once_and_a_name_that_is_used_again_is_the_new_process() -> None:
    fleet = Fleet(20, 5)
    fleet.agreed(30)
    for name in list(fleet.nodes):
        fleet.kill(name)
    for name in [f"n{i}" for i in range(20)]:
        fleet.start(name, 2)
    fleet.agreed(30)
    fleet.kill("n4")
    fleet.network.run(fleet.network.now + 30 * PERIOD)
    fleet.start("n4", 3)
    fleet.agreed(30)


def test_sixty_who_join_in_one_second_are_known_soon() -> None:
    fleet = Fleet(20, 6)
    fleet.agreed(30)
    for i in range(60):
        fleet.start(f"new{i}", 1)
    fleet.agreed(40)


def test_the_same_seed_gives_the_same_run() -> None:
    def run() -> tuple[int, list[list[str]]]:
        fleet = Fleet(15, 7, loss=0.1)
        fleet.network.run(20 * PERIOD)
        return fleet.network.datagrams, [sorted(n.alive()) for n in fleet.nodes.values()]

    assert run() == run()


@given(st.data())
@settings(max_examples=60, deadline=None)
def test_whatever_others_say_a_node_holds_itself_alive_and_its_memory_bounded(data: st.DataObject) -> None:
    names = st.sampled_from(["me", "a", "b", "c", ""])
    news = st.builds(MemberUpdate, names, st.integers(0, 5), st.sampled_from(Status))
    messages = st.builds(
        Message,
        st.sampled_from(MessageKind),
        st.integers(0, 9),
        names,
        st.lists(news, max_size=12).map(tuple),
    )
    node, now = Swim("me", 1, 1), 0.0
    highest = 1
    for _ in range(data.draw(st.integers(0, 25))):
        now += data.draw(st.floats(0.0, 1500.0))
        if data.draw(st.booleans()):
            node.receive(now, data.draw(names), data.draw(messages))
        elif now >= node.due():
            node.tick(now)
        assert node.own.status is Status.ALIVE and node.own.incarnation >= highest
        highest = node.own.incarnation
        assert "me" not in node.members and len(node.members) <= 4
        assert set(node.update_queue.remaining) <= {"me", *node.members}


# What is believed


def seen(origin: str, endpoint: str = "e", **what: object) -> Observation:
    return Observation(endpoint, origin, **{"age": 0.0, "calls": 20} | what)  # type: ignore[arg-type]


YOUNG = 10_000.0


def listed(*names: str) -> dict[str, float]:
    return dict.fromkeys(names, 0.0)


def believed(*told: Observation, of: int = 6) -> dict[str, object]:
    beliefs = ObservationStore()
    beliefs.merge(0.0, told)
    return dict(beliefs.priors(0.0, listed("e", *(f"x{i}" for i in range(of - 1))), YOUNG))


def test_one_who_lies_among_three_changes_no_verdict() -> None:
    honest = [seen("a", failure_rate=0.9), seen("b", failure_rate=0.9)]
    prior = believed(*honest, seen("liar", failure_rate=0.0, uptime=1e9))["e"]
    assert prior.failure_rate == 0.9  # type: ignore[attr-defined]
    good = [seen("a"), seen("b")]
    prior = believed(*good, seen("liar", failure_rate=1.0, latency_ratio=99.0, calls=10**8))["e"]
    assert (prior.failure_rate, prior.latency_ratio) == (0.0, 1.0)  # type: ignore[attr-defined]
    cold = [seen("a", uptime=200.0), seen("b", uptime=300.0)]
    assert believed(*cold, seen("liar", uptime=1e9))["e"].uptime == 300.0  # type: ignore[attr-defined]


def test_of_one_or_two_the_most_careful_is_believed() -> None:
    prior = believed(seen("a", failure_rate=0.1, uptime=9000.0), seen("b", failure_rate=0.8, uptime=100.0))[
        "e"
    ]
    assert (prior.failure_rate, prior.uptime) == (0.8, 100.0)  # type: ignore[attr-defined]


def test_where_all_are_called_ill_none_is_believed_to_be_and_what_is_cold_stays_cold() -> None:
    beliefs = ObservationStore()
    names = [f"e{i}" for i in range(9)]
    beliefs.merge(0.0, [seen("a", name, failure_rate=1.0, uptime=50.0) for name in names])
    assert all(
        p.failure_rate < FAILURE_RATE_THRESHOLD and p.uptime == 50.0
        for p in beliefs.priors(0.0, listed(*names), YOUNG).values()
    )
    few = ObservationStore()
    few.merge(0.0, [seen("a", name, failure_rate=1.0) for name in names[:3]])
    assert all(p.failure_rate == 1.0 for p in few.priors(0.0, listed(*names), YOUNG).values())


def test_one_of_three_who_says_that_all_have_just_started_is_not_believed() -> None:
    names = [f"e{i}" for i in range(6)]
    beliefs = ObservationStore()
    beliefs.merge(0.0, [seen(o, name) for o in "ab" for name in names])  # who know of no start
    beliefs.merge(0.0, [seen("liar", name, uptime=50.0) for name in names])
    assert all(p.uptime is None for p in beliefs.priors(0.0, listed(*names), YOUNG).values())
    alone = ObservationStore()
    alone.merge(0.0, [seen("a", name, uptime=1e8) for name in names] + [seen("b", "e1", uptime=50.0)])
    assert alone.priors(0.0, listed(*names), YOUNG)["e1"].uptime == 50.0, "of one endpoint it may be so"


def test_of_an_earlier_process_of_its_name_nothing_counts_and_of_a_later_one_all() -> None:
    beliefs = ObservationStore()
    beliefs.merge(0.0, [seen("a", failure_rate=1.0, draining=True, started_at=100.0)])
    assert not beliefs.priors(0.0, {"e": 200.0, "x": 0.0, "y": 0.0}, YOUNG), "another one is there by now"
    for since in (100.0, 50.0):
        (prior,) = beliefs.priors(0.0, {"e": since, "x": 0.0, "y": 0.0, "z": 0.0}, YOUNG).values()
        assert prior.failure_rate == 1.0 and prior.draining


def test_a_drain_that_one_heard_counts_but_not_a_few_who_say_that_all_drain() -> None:
    names = [f"e{i}" for i in range(6)]
    beliefs = ObservationStore()
    beliefs.merge(0.0, [seen("a", "e0", draining=True), seen("b", "e0"), seen("c", "e0")])
    assert beliefs.priors(0.0, listed(*names), YOUNG)["e0"].draining
    beliefs.merge(0.0, [seen("liar", name, draining=True) for name in names])
    priors = beliefs.priors(0.0, listed(*names), YOUNG)
    assert [n for n, p in priors.items() if p.draining] == ["e0"], "a heard it too"
    for origin in "abc":
        beliefs.merge(1.0, [seen(origin, name, draining=True, sequence=1) for name in names])
    priors = beliefs.priors(1.0, listed(*names), YOUNG)
    assert all(p.draining for p in priors.values()), "most say so: it is a release"


def test_what_is_passed_on_becomes_no_younger_and_no_echo_comes_back_as_news() -> None:
    first, second, third = ObservationStore(), ObservationStore(), ObservationStore()
    first.merge(0.0, [seen("a", age=1000.0, uptime=5000.0)])
    second.merge(70.0, first.all_current(4000.0))  # clocks of their own
    (told,) = second.all_current(2070.0)
    assert (told.origin, told.age, told.uptime) == ("a", 7000.0, 11_000.0)
    third.merge(0.0, second.all_current(2070.0))
    first.merge(6000.0, third.all_current(0.0))
    (again,) = first.all_current(6000.0)
    assert again.age == 7000.0
    assert not second.all_current(70.0 + FORGET_AFTER_MS)


ROWS = st.tuples(st.sampled_from("abcd"), st.floats(0, 70_000), st.floats(0, 1), st.floats(0.1, 50))


@given(st.lists(ROWS))
def test_a_prior_only_adds_care_and_is_outvoted(rows: list[tuple[str, float, float, float]]) -> None:
    told = [seen(o, age=age, failure_rate=failing, latency_ratio=slow) for o, age, failing, slow in rows]
    for prior in believed(*told).values():
        assert prior.latency_ratio >= 1.0 and 0 <= prior.calls <= 5.0  # type: ignore[attr-defined]
        failing, calls = prior.failure_rate, prior.calls  # type: ignore[attr-defined]
        assert failing * calls / (calls + 50.0) < 0.1, "fifty own calls outvote it"
        ages = [min(o.age for o in told if o.origin == origin) for origin in {o.origin for o in told}]
        assert prior.calls <= 5.0 * max(weight(age) for age in ages)  # type: ignore[attr-defined]


@given(st.floats(allow_nan=True), st.floats(allow_nan=True), st.integers(), st.floats(allow_nan=True))
def test_figures_that_can_t_be_are_not_taken(age: float, failing: float, calls: int, up: float) -> None:
    beliefs = ObservationStore()
    beliefs.merge(0.0, [Observation("e", "a", age, 0, 0.0, failing, 1.0, calls, up)])
    for prior in beliefs.priors(0.0, listed("e"), YOUNG).values():
        assert 0 <= prior.failure_rate <= 1 and prior.uptime is not None and prior.uptime >= 0


def test_the_middle_is_that_of_origins_and_not_of_how_often_one_says_it() -> None:
    beliefs = ObservationStore()
    for at in range(50):
        beliefs.merge(float(at), [seen("liar", failure_rate=1.0, sequence=int(at))])
    beliefs.merge(50.0, [seen("a", failure_rate=0.1), seen("b", failure_rate=0.2)])
    assert beliefs.priors(50.0, listed(*"efghij"), YOUNG)["e"].failure_rate == median([1.0, 0.1, 0.2])


# Whose word it is

OLD, NEW, OTHER = b"o" * 16, b"n" * 16, b"x" * 16


def test_a_key_is_changed_in_service_one_after_another() -> None:
    seal, opener = Signer("a", 1, [OLD]), Verifier([OLD], 1200)
    assert opener.verify_once(seal.sign(b"1")) == ("a", b"1")
    opener.change([OLD, NEW])
    assert opener.verify_once(seal.sign(b"2")) == ("a", b"2")
    seal.change([NEW, OLD])
    assert opener.verify_once(seal.sign(b"3")) == ("a", b"3")
    opener.change([NEW])
    assert opener.verify_once(seal.sign(b"4")) == ("a", b"4")
    with pytest.raises(MessageRefused, match="key"):
        opener.verify_once(Signer("a", 1, [OLD]).sign(b"5"))
    for keys in ([], [b"short"], [OLD, NEW, OTHER]):
        with pytest.raises(ValueError):
            opener.change(keys)


@given(st.data())
def test_what_was_changed_cut_or_made_by_a_stranger_is_refused(data: st.DataObject) -> None:
    whole = Signer("a", 1, [OLD]).sign(b"body")
    if data.draw(st.booleans()):
        bad = whole[: data.draw(st.integers(0, len(whole) - 1))]
    else:
        at = data.draw(st.integers(0, len(whole) - 1))
        bad = whole[:at] + bytes([whole[at] ^ data.draw(st.integers(1, 255))]) + whole[at + 1 :]
    opener = Verifier([OLD, NEW], 1200)
    for refused in (
        bad,
        Signer("a", 1, [OTHER]).sign(b"body"),
        data.draw(st.binary(max_size=200)),
        whole * 20,
    ):
        with pytest.raises(MessageRefused):
            opener.verify_once(refused)
    assert not opener.replay_windows


@given(st.lists(st.integers(0, 400), min_size=1, max_size=60))
def test_each_message_is_taken_once_in_any_order_within_the_window(order: list[int]) -> None:
    seal, opener = Signer("a", 1, [OLD]), Verifier([OLD], 1200)
    sealed = [seal.sign(b"%d" % n) for n in range(401)]
    taken: list[int] = []
    for n in order:
        try:
            opener.verify_once(sealed[n])
        except MessageRefused:
            assert n in taken or n <= max(taken) - REPLAY_WINDOW
        else:
            assert n not in taken
            taken.append(n)
    with pytest.raises(MessageRefused, match="before"):
        opener.verify_once(sealed[taken[-1]])
    later = Signer("a", 2, [OLD]).sign(b"again")
    assert opener.verify_once(later) == ("a", b"again")
    with pytest.raises(MessageRefused, match="before"):
        opener.verify_once(sealed[400])
