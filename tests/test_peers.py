"""SWIM membership under failures, priors from peer observations, message authentication; no I/O."""

from __future__ import annotations

import random
from statistics import median

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from millgw.peers.message_auth import REPLAY_WINDOW, MessageRefused, Signer, Verifier
from millgw.peers.observations import (
    FAILURE_RATE_THRESHOLD,
    FORGET_AFTER_MS,
    Observation,
    ObservationStore,
    weight,
)
from millgw.peers.swim import MemberUpdate, Message, MessageKind, Status, Swim, SwimSettings, agree
from millgw.standins.network import Network
from tests.kinds import skip_if_pure

pytestmark = skip_if_pure

PERIOD = SwimSettings().period


class Fleet:
    """`count` nodes on a simulated network, each of which initially knows only the first two."""

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

    def wait_for_agreement(self, within: float) -> float:
        """Run until all nodes consider exactly the running ones alive; returns the periods this took.

        Fails if it takes more than `within` periods.
        """
        started = self.network.now
        while not agree(list(self.nodes.values()), set(self.nodes)):
            assert self.network.now < started + within * PERIOD, "the nodes do not agree on the members"
            self.network.run(self.network.now + PERIOD)
        return (self.network.now - started) / PERIOD

    def count_with_status(self, name: str, *status: Status) -> int:
        return sum(n.status(name) in status for n in self.nodes.values())


# Membership


def test_nodes_that_know_one_member_learn_all_members_and_a_death_reaches_every_node() -> None:
    fleet = Fleet(60, 1)
    fleet.wait_for_agreement(25)
    fleet.kill("n7")
    fleet.wait_for_agreement(40)
    assert fleet.count_with_status("n7", Status.DEAD) == 59


@pytest.mark.parametrize("loss", [0.05, 0.2])
def test_no_running_node_is_declared_dead_when_datagrams_are_lost(loss: float) -> None:
    fleet = Fleet(40, 2, loss)
    fleet.wait_for_agreement(80)
    for _ in range(60):
        fleet.network.run(fleet.network.now + PERIOD)
        for name in fleet.nodes:
            assert not fleet.count_with_status(name, Status.DEAD)
    fleet.kill("n3")
    for _ in range(60):
        fleet.network.run(fleet.network.now + PERIOD)
    assert fleet.count_with_status("n3", Status.DEAD) == 39


def test_a_paused_node_rejoins_and_declares_no_other_node_dead() -> None:
    fleet = Fleet(30, 3)
    fleet.wait_for_agreement(30)
    fleet.network.pause("n5")
    fleet.network.run(fleet.network.now + 30 * PERIOD)
    assert fleet.count_with_status("n5", Status.DEAD) == 29
    fleet.network.resume("n5")
    paused = fleet.nodes["n5"]
    for _ in range(20):
        fleet.network.run(fleet.network.now + PERIOD / 4)
        assert len(paused.alive()) == 29, (
            "the paused node considers members dead from which it could not receive acks"
        )
    fleet.wait_for_agreement(30)


def test_membership_recovers_after_a_network_partition() -> None:
    fleet = Fleet(24, 4)
    fleet.wait_for_agreement(30)
    names = sorted(fleet.nodes)
    fleet.network.partition(names[:10], names[10:])
    fleet.network.run(fleet.network.now + 40 * PERIOD)
    assert all(set(fleet.nodes[n].alive()) <= set(names[:10]) for n in names[:10])
    fleet.network.partition()
    fleet.wait_for_agreement(80)


def test_a_flapping_link_leaves_no_running_node_declared_dead() -> None:
    fleet = Fleet(24, 8)
    fleet.wait_for_agreement(30)
    names = sorted(fleet.nodes)
    for cycle in range(20):
        fleet.network.partition(*((names[:8], names[8:]) if cycle % 2 else ()))
        fleet.network.run(fleet.network.now + 3 * PERIOD)
    fleet.network.partition()
    fleet.wait_for_agreement(40)


def test_all_nodes_restart_at_once_and_a_reused_name_belongs_to_the_new_process() -> None:
    fleet = Fleet(20, 5)
    fleet.wait_for_agreement(30)
    for name in list(fleet.nodes):
        fleet.kill(name)
    for name in [f"n{i}" for i in range(20)]:
        fleet.start(name, 2)
    fleet.wait_for_agreement(30)
    fleet.kill("n4")
    fleet.network.run(fleet.network.now + 30 * PERIOD)
    fleet.start("n4", 3)
    fleet.wait_for_agreement(30)


def test_sixty_nodes_that_join_within_one_second_are_known_soon() -> None:
    fleet = Fleet(20, 6)
    fleet.wait_for_agreement(30)
    for i in range(60):
        fleet.start(f"new{i}", 1)
    fleet.wait_for_agreement(40)


def test_the_same_seed_gives_the_same_run() -> None:
    def run() -> tuple[int, list[list[str]]]:
        fleet = Fleet(15, 7, loss=0.1)
        fleet.network.run(20 * PERIOD)
        return fleet.network.datagrams, [sorted(n.alive()) for n in fleet.nodes.values()]

    assert run() == run()


@given(st.data())
@settings(max_examples=60, deadline=None)
def test_with_any_messages_a_node_considers_itself_alive_and_its_memory_is_bounded(
    data: st.DataObject,
) -> None:
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


# Priors


def observed(origin: str, endpoint: str = "e", **what: object) -> Observation:
    return Observation(endpoint, origin, **{"age": 0.0, "calls": 20} | what)  # type: ignore[arg-type]


COLD_TIME = 10_000.0


def start_times(*names: str) -> dict[str, float]:
    return dict.fromkeys(names, 0.0)


def priors_of(*told: Observation, of: int = 6) -> dict[str, object]:
    store = ObservationStore()
    store.merge(0.0, told)
    return dict(store.priors(0.0, start_times("e", *(f"x{i}" for i in range(of - 1))), COLD_TIME))


def test_one_faulty_origin_of_three_does_not_change_the_prior() -> None:
    honest = [observed("a", failure_rate=0.9), observed("b", failure_rate=0.9)]
    prior = priors_of(*honest, observed("liar", failure_rate=0.0, uptime=1e9))["e"]
    assert prior.failure_rate == 0.9  # type: ignore[attr-defined]
    good = [observed("a"), observed("b")]
    prior = priors_of(*good, observed("liar", failure_rate=1.0, latency_ratio=99.0, calls=10**8))["e"]
    assert (prior.failure_rate, prior.latency_ratio) == (0.0, 1.0)  # type: ignore[attr-defined]
    cold = [observed("a", uptime=200.0), observed("b", uptime=300.0)]
    assert priors_of(*cold, observed("liar", uptime=1e9))["e"].uptime == 300.0  # type: ignore[attr-defined]


def test_of_one_or_two_origins_the_most_cautious_value_is_used() -> None:
    prior = priors_of(
        observed("a", failure_rate=0.1, uptime=9000.0), observed("b", failure_rate=0.8, uptime=100.0)
    )["e"]
    assert (prior.failure_rate, prior.uptime) == (0.8, 100.0)  # type: ignore[attr-defined]


def test_if_all_endpoints_are_reported_unhealthy_none_is_assumed_to_be_but_cold_ones_stay_cold() -> None:
    store = ObservationStore()
    names = [f"e{i}" for i in range(9)]
    store.merge(0.0, [observed("a", name, failure_rate=1.0, uptime=50.0) for name in names])
    assert all(
        p.failure_rate < FAILURE_RATE_THRESHOLD and p.uptime == 50.0
        for p in store.priors(0.0, start_times(*names), COLD_TIME).values()
    )
    three_of_nine = ObservationStore()
    three_of_nine.merge(0.0, [observed("a", name, failure_rate=1.0) for name in names[:3]])
    assert all(
        p.failure_rate == 1.0 for p in three_of_nine.priors(0.0, start_times(*names), COLD_TIME).values()
    )


def test_one_origin_of_three_that_reports_all_endpoints_as_just_started_is_ignored() -> None:
    names = [f"e{i}" for i in range(6)]
    store = ObservationStore()
    store.merge(0.0, [observed(o, name) for o in "ab" for name in names])  # without a known start
    store.merge(0.0, [observed("liar", name, uptime=50.0) for name in names])
    assert all(p.uptime is None for p in store.priors(0.0, start_times(*names), COLD_TIME).values())
    single = ObservationStore()
    single.merge(
        0.0, [observed("a", name, uptime=1e8) for name in names] + [observed("b", "e1", uptime=50.0)]
    )
    assert single.priors(0.0, start_times(*names), COLD_TIME)["e1"].uptime == 50.0, (
        "it is plausible for a single endpoint"
    )


def test_observations_of_an_earlier_process_are_ignored_and_those_of_a_later_one_count() -> None:
    store = ObservationStore()
    store.merge(0.0, [observed("a", failure_rate=1.0, draining=True, started_at=100.0)])
    assert not store.priors(0.0, {"e": 200.0, "x": 0.0, "y": 0.0}, COLD_TIME), (
        "the endpoint has been replaced by a later process"
    )
    for since in (100.0, 50.0):
        (prior,) = store.priors(0.0, {"e": since, "x": 0.0, "y": 0.0, "z": 0.0}, COLD_TIME).values()
        assert prior.failure_rate == 1.0 and prior.draining


def test_a_drain_reported_by_one_origin_counts_unless_it_reports_most_endpoints_draining() -> None:
    names = [f"e{i}" for i in range(6)]
    store = ObservationStore()
    store.merge(0.0, [observed("a", "e0", draining=True), observed("b", "e0"), observed("c", "e0")])
    assert store.priors(0.0, start_times(*names), COLD_TIME)["e0"].draining
    store.merge(0.0, [observed("liar", name, draining=True) for name in names])
    priors = store.priors(0.0, start_times(*names), COLD_TIME)
    assert [n for n, p in priors.items() if p.draining] == ["e0"], "origin a reported this drain too"
    for origin in "abc":
        store.merge(1.0, [observed(origin, name, draining=True, sequence=1) for name in names])
    priors = store.priors(1.0, start_times(*names), COLD_TIME)
    assert all(p.draining for p in priors.values()), "a majority reports it, as during a release"


def test_a_relayed_observation_gets_no_younger_and_is_not_new_to_its_first_receiver() -> None:
    first, second, third = ObservationStore(), ObservationStore(), ObservationStore()
    first.merge(0.0, [observed("a", age=1000.0, uptime=5000.0)])
    second.merge(70.0, first.all_current(4000.0))  # each store has its own clock
    (told,) = second.all_current(2070.0)
    assert (told.origin, told.age, told.uptime) == ("a", 7000.0, 11_000.0)
    third.merge(0.0, second.all_current(2070.0))
    first.merge(6000.0, third.all_current(0.0))
    (again,) = first.all_current(6000.0)
    assert again.age == 7000.0
    assert not second.all_current(70.0 + FORGET_AFTER_MS)


ROWS = st.tuples(st.sampled_from("abcd"), st.floats(0, 70_000), st.floats(0, 1), st.floats(0.1, 50))


@given(st.lists(ROWS))
def test_a_prior_only_adds_caution_and_is_outweighed_by_own_calls(
    rows: list[tuple[str, float, float, float]],
) -> None:
    told = [observed(o, age=age, failure_rate=failing, latency_ratio=slow) for o, age, failing, slow in rows]
    for prior in priors_of(*told).values():
        assert prior.latency_ratio >= 1.0 and 0 <= prior.calls <= 5.0  # type: ignore[attr-defined]
        failing, calls = prior.failure_rate, prior.calls  # type: ignore[attr-defined]
        assert failing * calls / (calls + 50.0) < 0.1, "fifty own calls outweigh it"
        ages = [min(o.age for o in told if o.origin == origin) for origin in {o.origin for o in told}]
        assert prior.calls <= 5.0 * max(weight(age) for age in ages)  # type: ignore[attr-defined]


@given(st.floats(allow_nan=True), st.floats(allow_nan=True), st.integers(), st.floats(allow_nan=True))
def test_observations_with_values_out_of_range_are_ignored(
    age: float, failing: float, calls: int, up: float
) -> None:
    store = ObservationStore()
    store.merge(0.0, [Observation("e", "a", age, 0, 0.0, failing, 1.0, calls, up)])
    for prior in store.priors(0.0, start_times("e"), COLD_TIME).values():
        assert 0 <= prior.failure_rate <= 1 and prior.uptime is not None and prior.uptime >= 0


def test_the_median_is_taken_over_origins_and_not_over_repeated_reports_of_one() -> None:
    store = ObservationStore()
    for at in range(50):
        store.merge(float(at), [observed("liar", failure_rate=1.0, sequence=int(at))])
    store.merge(50.0, [observed("a", failure_rate=0.1), observed("b", failure_rate=0.2)])
    assert store.priors(50.0, start_times(*"efghij"), COLD_TIME)["e"].failure_rate == median([1.0, 0.1, 0.2])


# Authentication

OLD, NEW, OTHER = b"o" * 16, b"n" * 16, b"x" * 16


def test_keys_are_rotated_in_service_one_node_after_another() -> None:
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
def test_modified_truncated_and_unauthenticated_messages_are_refused(data: st.DataObject) -> None:
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
def test_each_message_is_accepted_once_in_any_order_within_the_replay_window(order: list[int]) -> None:
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
