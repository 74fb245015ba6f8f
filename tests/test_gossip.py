"""What peers tell of endpoints: how far and how fast it goes, what it costs, its words, its connections."""

from __future__ import annotations

import random
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from millgw.peers import wire
from millgw.peers.beliefs import FORGET_AFTER_MS, Observation
from millgw.peers.endpoint_evidence import combined_limit, hearsay, observations
from millgw.peers.gossip import Digest, Gossip, GossipMessage, GossipSettings
from millgw.peers.sealed import MessageRefused, Signer, Verifier
from millgw.peers.state_transfer import StateTransfer
from millgw.standins.network import Network
from tests.kinds import once

pytestmark = once
YOUNG = 10_000.0
LOOK = 500.0


class Talker:
    """One sidecar: what it sees of its endpoints is given by `sees`."""

    def __init__(self, gossip: Gossip, others: list[str], sees: Callable[[float], list[Observation]]) -> None:
        self.name = gossip.name
        self.gossip = gossip
        self.others = others
        self.sees = sees
        self.looks = 0.0

    def due(self) -> float:
        return self.gossip.due()

    def tick(self, now: float) -> list[tuple[str, GossipMessage]]:
        if now >= self.looks:
            self.looks = now + LOOK
            self.gossip.update_own(now, "p", YOUNG, self.sees(now))
        return self.gossip.tick(now, self.others)

    def receive(self, now: float, sender: str, said: GossipMessage) -> list[tuple[str, GossipMessage]]:
        if isinstance(said, Digest):
            return self.gossip.answer_digest(now, sender, said)
        self.gossip.hear(now, said)
        return []


def bytes_of(said: GossipMessage) -> int:
    if isinstance(said, Digest):
        return len(wire.encode(wire.GossipDigest(said.checksum, said.differs)))
    return len(wire.encode(wire.rumours(said)))


class Fleet:
    """So many who all know each other, and ten endpoints that serve each of them well but for `ill`.

    `calls` is how many of late: without any, one can't contradict what others see.
    """

    def __init__(self, count: int, seed: int, loss: float = 0.0) -> None:
        self.network: Network[GossipMessage] = Network(seed, loss=loss, size=bytes_of)
        self.rng = random.Random(seed)
        self.names = [f"n{i}" for i in range(count)]
        self.calls = 0
        self.ill: dict[str, set[str]] = {}  # by who sees it, endpoints
        self.nodes = {name: self.start(name) for name in self.names}

    def start(self, name: str, start: int = 1) -> Talker:
        others = [n for n in self.names if n != name]
        made = Talker(Gossip(name, start, self.rng.getrandbits(32)), others, lambda _: self.sees(name))
        made.gossip.serve("p")
        self.network.add(made, self.network.now + self.rng.uniform(0.0, 250.0))
        return made

    def sees(self, name: str) -> list[Observation]:
        ill = self.ill.get(name, set())
        bad = Observation("", "", 0.0, failure_rate=1.0, calls=20)
        good = Observation("", "", 0.0, calls=self.calls)
        return [replace(bad if f"e{i}" in ill else good, endpoint=f"e{i}") for i in range(10)]

    def run(self, ms: float) -> None:
        self.network.run(self.network.now + ms)

    def believing(self, endpoint: str) -> int:
        """How many hold an endpoint to fail by what others say."""
        listed = {f"e{i}": 0.0 for i in range(10)}
        now = self.network.now
        priors = [n.gossip.priors(now, "p", listed, YOUNG) for n in self.nodes.values()]
        return sum(endpoint in p and p[endpoint].failure_rate >= 0.4 for p in priors)


# How far it goes, and what it costs


@pytest.mark.parametrize("loss", [0.0, 0.2])
def test_what_three_see_reaches_all_within_seconds_at_a_bounded_cost(loss: float) -> None:
    fleet = Fleet(60, 1, loss)
    fleet.run(5000.0)
    calm = fleet.network.bytes
    fleet.run(10_000.0)
    assert (fleet.network.bytes - calm) / 60 / 10 < 50, "there is nothing to tell"
    for name in fleet.names[:3]:
        fleet.ill[name] = {"e4"}
    before = fleet.network.bytes
    fleet.run(3000.0)
    assert fleet.believing("e4") == 60
    fleet.run(17_000.0)
    assert (fleet.network.bytes - before) / 60 / 20 < 8000  # bytes a second, of one node
    assert fleet.believing("e1") == 0


def test_when_all_see_it_a_few_tell() -> None:
    fleet = Fleet(60, 2)
    fleet.run(3000.0)
    for name in fleet.names:
        fleet.ill[name] = {"e4"}
    fleet.run(6000.0)
    numbers = {n.name: n.gossip.sequence for n in fleet.nodes.values()}
    fleet.run(20_000.0)
    told = [n.gossip.sequence - numbers[n.name] for n in fleet.nodes.values()]
    assert sum(told) < 60 * 20 / 2 / 3, "each would tell it ten times"
    assert fleet.believing("e4") == 60


def test_one_who_lies_is_contradicted_by_those_who_see_it() -> None:
    fleet = Fleet(30, 3)
    fleet.ill["n0"] = {"e2", "e5"}
    fleet.run(3000.0)
    assert fleet.believing("e2") == 29, "nobody knows better: care is cheap"
    fleet.calls = 20
    fleet.run(6000.0)
    assert fleet.believing("e2") == 0 and fleet.believing("e5") == 0


def test_what_is_over_is_told_too_and_what_nobody_says_again_is_forgotten() -> None:
    fleet = Fleet(20, 4)
    for name in fleet.names[:2]:
        fleet.ill[name] = {"e4"}
    fleet.run(4000.0)
    assert fleet.believing("e4") == 20
    fleet.ill.clear()
    fleet.run(4000.0)
    assert fleet.believing("e4") == 0
    fleet.run(FORGET_AFTER_MS + 5000.0)
    assert not any(n.gossip.pools["p"].all_current(fleet.network.now) for n in fleet.nodes.values())


def test_two_groups_that_did_not_reach_each_other_come_to_hold_the_same() -> None:
    fleet = Fleet(16, 5)
    fleet.run(3000.0)
    fleet.network.split(fleet.names[:8], fleet.names[8:])
    for name in fleet.names[:3]:
        fleet.ill[name] = {"e4"}
    fleet.run(4000.0)
    assert fleet.believing("e4") == 8
    fleet.network.split()
    fleet.run(4000.0)
    assert fleet.believing("e4") == 16


def test_sixty_who_come_in_one_second_know_what_a_peer_knows_from_its_snapshot() -> None:
    fleet = Fleet(10, 6)
    for name in fleet.names[:4]:
        fleet.ill[name] = {"e4"}
    fleet.run(4000.0)
    now = fleet.network.now
    for i in range(60):
        fresh = Gossip(f"new{i}", 2, i)
        fresh.serve("p")
        fresh.learn(0.0, fleet.nodes[f"n{5 + i % 5}"].gossip.snapshot(now))  # a clock of its own
        priors = fresh.priors(0.0, "p", {f"e{k}": 0.0 for k in range(10)}, YOUNG)
        assert priors["e4"].failure_rate >= 0.4 and priors["e1"].failure_rate == 0.0


def test_of_pools_that_are_not_here_nothing_is_kept_and_of_one_that_ends_nothing_stays() -> None:
    gossip = Gossip("me", 1, 1)
    told = Observation("e", "a", 0.0, 1, failure_rate=1.0, calls=9)
    gossip.hear(0.0, [("other", told)])
    assert not gossip.pools
    gossip.serve("p")
    gossip.hear(0.0, [("p", told)])
    gossip.update_own(0.0, "p", YOUNG, [replace(told, origin="")])
    gossip.remove_pool("p")
    assert not gossip.pools and not gossip.own_observations and not gossip.announced
    assert all(isinstance(said, Digest) for _, said in gossip.tick(0.0, ["a"]))


ROWS = st.builds(
    Observation,
    st.sampled_from(["e0", "e1"]), st.sampled_from(["a", "b", "me"]), st.floats(0, FORGET_AFTER_MS / 2),
    st.integers(0, 9), st.just(0.0), st.floats(0, 1), st.floats(0.1, 9), st.integers(0, 99),
)  # fmt: skip


@given(st.lists(st.tuples(st.floats(0, 1000), ROWS), max_size=20))  # nothing is forgotten meanwhile
def test_whatever_way_it_comes_nothing_is_passed_on_fresher_than_it_was(
    told: list[tuple[float, Observation]],
) -> None:
    gossip, now = Gossip("me", 1, 1), 0.0
    gossip.serve("p")
    first: dict[tuple[str, str, int], float] = {}  # when it was seen, by the oldest word of it
    for passed, o in told:
        now += passed
        key = (o.endpoint, o.origin, o.sequence)
        first[key] = min(first.get(key, now), now - o.age)
        gossip.hear(now, [("p", o)])
        for _, said in gossip.tick(now, ["a", "b", "c", "d"]):
            for _, out in said if not isinstance(said, Digest) else ():
                seen_at = first[out.endpoint, out.origin, out.sequence]
                assert out.origin != "me" and now - out.age <= seen_at + 1e-6
    assert len(gossip.transmissions) <= 4


def test_the_bound_on_what_a_node_sends_holds_when_everything_changes() -> None:
    terms = GossipSettings()
    gossip = Gossip("me", 1, 1, terms)
    peers = [f"n{i}" for i in range(400)]
    now, sent = 0.0, 0
    for turn in range(40):
        seen = [Observation(f"e{i}", "", 0.0, failure_rate=float(turn % 2)) for i in range(500)]
        gossip.update_own(now, "p", YOUNG, seen)
        said = gossip.tick(now, peers)
        assert sum(not isinstance(s, Digest) for _, s in said) <= terms.fanout
        assert all(isinstance(s, Digest) or len(s) <= terms.max_rumours for _, s in said)
        sent += sum(bytes_of(s) for _, s in said)
        now += terms.interval
    assert sent / 10 < 16_000  # bytes a second


# Words


def test_a_field_that_is_not_known_is_skipped_and_a_message_that_is_not_is_refused() -> None:
    words = msgspec.msgpack.decode(wire.encode(wire.GossipDigest(7)))
    assert wire.decode(msgspec.msgpack.encode({**words, "later": [1, 2]})) == wire.GossipDigest(7)
    for bad in ({**words, "t": "verdict"}, {**words, "digest": -1}, {**words, "digest": "x"}, [1], {}):
        with pytest.raises(MessageRefused):
            wire.decode(msgspec.msgpack.encode(bad))


@given(st.binary(max_size=300))
def test_whatever_bytes_come_they_are_read_or_refused(data: bytes) -> None:
    with suppress(MessageRefused):
        wire.decode(data)


@given(ROWS, st.text(max_size=20))
def test_an_observation_comes_over_as_it_was_but_for_parts_of_a_ms(o: Observation, pool: str) -> None:
    body = wire.decode(wire.encode(wire.rumours([(pool, o)])))
    assert isinstance(body, wire.Rumours)
    (told,) = body.rumours
    again = wire.observation(told.row)
    assert (
        told.pool == pool
        and replace(again, age=o.age, failure_rate=o.failure_rate, latency_ratio=o.latency_ratio) == o
    )
    assert abs(again.age - o.age) <= 0.5 and abs(again.failure_rate - o.failure_rate) <= 0.0005


# Connections

KEY = b"k" * 16


def begun(name: str) -> StateTransfer:
    return StateTransfer(Signer(name, 1, [KEY]), Verifier([KEY], wire.MAX_FRAME_BYTES))


def pair() -> tuple[StateTransfer, StateTransfer]:
    one, other = begun("a"), begun("b")
    one.receive(other.hello())
    other.receive(one.hello())
    return one, other


@given(st.lists(st.integers(1, 40), max_size=60))
def test_frames_are_heard_whole_at_any_split(cuts: list[int]) -> None:
    one, other = begun("a"), begun("b")
    one.receive(other.hello())
    data = one.hello() + one.encode_frame(wire.SnapshotRequest()) + one.encode_frame(wire.GossipDigest(3))
    heard = []
    for cut in cuts:
        heard += other.receive(data[:cut])
        data = data[cut:]
    heard += other.receive(data)
    assert heard == [("a", wire.SnapshotRequest()), ("a", wire.GossipDigest(3))]


def test_what_was_said_on_another_connection_or_before_or_by_a_stranger_is_refused() -> None:
    one, other = pair()
    frame = one.encode_frame(wire.SnapshotRequest())
    assert other.receive(frame) == [("a", wire.SnapshotRequest())]
    with pytest.raises(MessageRefused, match="next frame"):
        other.receive(frame)
    _, later = pair()
    with pytest.raises(MessageRefused, match="another connection"):
        later.receive(frame)
    stranger = StateTransfer(Signer("a", 1, [b"x" * 16]), Verifier([b"x" * 16], 9999))
    _, other = pair()
    stranger.receive(other.hello())
    with pytest.raises(MessageRefused, match="key"):
        other.receive(stranger.encode_frame(wire.SnapshotRequest()))
    _, other = pair()
    with pytest.raises(MessageRefused, match="too long"):
        other.receive((wire.MAX_FRAME_BYTES + 1).to_bytes(4, "big"))


# Between the module's words and the peers'


def test_what_is_ordinary_is_not_told_to_the_module_and_limits_are_the_most_careful_of_few() -> None:
    seen = observations(5000.0, [], {}, [7])
    assert seen[0].draining and seen[0].endpoint == f"{7:016x}"
    gossip = Gossip("me", 1, 1)
    gossip.serve("p")
    ordinary = Observation(f"{1:016x}", "a", 0.0, 1, calls=50, uptime=1e9)
    gossip.hear(0.0, [("p", ordinary), ("p", replace(ordinary, endpoint=f"{2:016x}", uptime=400.0))])
    priors = gossip.priors(0.0, "p", {f"{i:016x}": 0.0 for i in range(9)}, YOUNG)
    word = hearsay(5000.0, priors, YOUNG, 4)
    assert [(t.id, t.started_at) for t in word.endpoints] == [(2, 4600.0)] and word.siblings == 4
    assert combined_limit([9.0, 3.0]) == 3.0 and combined_limit([9.0, 3.0, 8.0]) == 8.0
    assert combined_limit([0.0, float("nan")]) == float("inf")


@given(st.data())
@settings(max_examples=50, deadline=None)
def test_any_word_of_anybody_leaves_memory_bounded(data: st.DataObject) -> None:
    gossip = Gossip("me", 1, 1)
    gossip.serve("p")
    origins = [f"o{i}" for i in range(40)]
    for i in range(data.draw(st.integers(0, 100))):
        o = Observation("e", data.draw(st.sampled_from(origins)), 0.0, i)
        gossip.hear(float(i), [(data.draw(st.sampled_from(["p", "q"])), o)])
    assert len(gossip.pools["p"].by_endpoint.get("e", {})) <= 16 and set(gossip.pools) == {"p"}
