"""Gossip about endpoints: spread, speed and cost, wire format, connection protocol, conversions."""

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
from millgw.peers.endpoint_evidence import combined_limit, observations, peer_reports
from millgw.peers.gossip import Digest, Gossip, GossipMessage, GossipSettings
from millgw.peers.message_auth import MessageRefused, Signer, Verifier
from millgw.peers.observations import FORGET_AFTER_MS, Observation
from millgw.peers.state_transfer import StateTransfer
from millgw.standins.network import Network
from tests.kinds import skip_if_pure

pytestmark = skip_if_pure
COLD_TIME = 10_000.0
OBSERVE_INTERVAL_MS = 500.0


class GossipNode:
    """One sidecar on the simulated network; `observe` returns its own observations at a time."""

    def __init__(
        self, gossip: Gossip, others: list[str], observe: Callable[[float], list[Observation]]
    ) -> None:
        self.name = gossip.name
        self.gossip = gossip
        self.others = others
        self.observe = observe
        self.next_observation = 0.0

    def due(self) -> float:
        return self.gossip.due()

    def tick(self, now: float) -> list[tuple[str, GossipMessage]]:
        if now >= self.next_observation:
            self.next_observation = now + OBSERVE_INTERVAL_MS
            self.gossip.update_own(now, "p", COLD_TIME, self.observe(now))
        return self.gossip.tick(now, self.others)

    def receive(self, now: float, sender: str, said: GossipMessage) -> list[tuple[str, GossipMessage]]:
        if isinstance(said, Digest):
            return self.gossip.answer_digest(now, sender, said)
        self.gossip.receive_rumours(now, said)
        return []


def encoded_size(said: GossipMessage) -> int:
    if isinstance(said, Digest):
        return len(wire.encode(wire.GossipDigest(said.checksum, said.differs)))
    return len(wire.encode(wire.rumours(said)))


class Fleet:
    """`count` nodes that know each other, and ten endpoints, healthy for each node except in `unhealthy`.

    `calls` is each node's number of recent calls to a healthy endpoint; without any it can't contradict
    reports.
    """

    def __init__(self, count: int, seed: int, loss: float = 0.0) -> None:
        self.network: Network[GossipMessage] = Network(seed, loss=loss, size=encoded_size)
        self.rng = random.Random(seed)
        self.names = [f"n{i}" for i in range(count)]
        self.calls = 0
        self.unhealthy: dict[str, set[str]] = {}  # unhealthy endpoints by observing node
        self.nodes = {name: self.start(name) for name in self.names}

    def start(self, name: str, start: int = 1) -> GossipNode:
        others = [n for n in self.names if n != name]
        made = GossipNode(Gossip(name, start, self.rng.getrandbits(32)), others, lambda _: self.observe(name))
        made.gossip.add_pool("p")
        self.network.add(made, self.network.now + self.rng.uniform(0.0, 250.0))
        return made

    def observe(self, name: str) -> list[Observation]:
        unhealthy = self.unhealthy.get(name, set())
        bad = Observation("", "", 0.0, failure_rate=1.0, calls=20)
        good = Observation("", "", 0.0, calls=self.calls)
        return [replace(bad if f"e{i}" in unhealthy else good, endpoint=f"e{i}") for i in range(10)]

    def run(self, ms: float) -> None:
        self.network.run(self.network.now + ms)

    def count_assuming_failure(self, endpoint: str) -> int:
        """The number of nodes that assume an endpoint to be failing because of reports."""
        listed = {f"e{i}": 0.0 for i in range(10)}
        now = self.network.now
        priors = [n.gossip.priors(now, "p", listed, COLD_TIME) for n in self.nodes.values()]
        return sum(endpoint in p and p[endpoint].failure_rate >= 0.4 for p in priors)


# Spread and cost


@pytest.mark.parametrize("loss", [0.0, 0.2])
def test_a_report_of_three_nodes_reaches_all_within_seconds_at_bounded_cost(loss: float) -> None:
    fleet = Fleet(60, 1, loss)
    fleet.run(5000.0)
    idle_bytes = fleet.network.bytes
    fleet.run(10_000.0)
    assert (fleet.network.bytes - idle_bytes) / 60 / 10 < 50, "nothing unusual to announce"
    for name in fleet.names[:3]:
        fleet.unhealthy[name] = {"e4"}
    before = fleet.network.bytes
    fleet.run(3000.0)
    assert fleet.count_assuming_failure("e4") == 60
    fleet.run(17_000.0)
    assert (fleet.network.bytes - before) / 60 / 20 < 8000  # bytes per second and node
    assert fleet.count_assuming_failure("e1") == 0


def test_a_change_that_all_nodes_observe_is_announced_by_a_few() -> None:
    fleet = Fleet(60, 2)
    fleet.run(3000.0)
    for name in fleet.names:
        fleet.unhealthy[name] = {"e4"}
    fleet.run(6000.0)
    numbers = {n.name: n.gossip.sequence for n in fleet.nodes.values()}
    fleet.run(20_000.0)
    told = [n.gossip.sequence - numbers[n.name] for n in fleet.nodes.values()]
    assert sum(told) < 60 * 20 / 2 / 3, "without suppression each node would announce it ten times"
    assert fleet.count_assuming_failure("e4") == 60


def test_a_false_report_is_contradicted_by_nodes_with_own_calls() -> None:
    fleet = Fleet(30, 3)
    fleet.unhealthy["n0"] = {"e2", "e5"}
    fleet.run(3000.0)
    assert fleet.count_assuming_failure("e2") == 29, "no node has evidence against it, and caution is cheap"
    fleet.calls = 20
    fleet.run(6000.0)
    assert fleet.count_assuming_failure("e2") == 0 and fleet.count_assuming_failure("e5") == 0


def test_the_end_of_a_failure_is_announced_and_unrepeated_reports_expire() -> None:
    fleet = Fleet(20, 4)
    for name in fleet.names[:2]:
        fleet.unhealthy[name] = {"e4"}
    fleet.run(4000.0)
    assert fleet.count_assuming_failure("e4") == 20
    fleet.unhealthy.clear()
    fleet.run(4000.0)
    assert fleet.count_assuming_failure("e4") == 0
    fleet.run(FORGET_AFTER_MS + 5000.0)
    assert not any(n.gossip.pools["p"].all_current(fleet.network.now) for n in fleet.nodes.values())


def test_observations_converge_after_a_network_partition() -> None:
    fleet = Fleet(16, 5)
    fleet.run(3000.0)
    fleet.network.partition(fleet.names[:8], fleet.names[8:])
    for name in fleet.names[:3]:
        fleet.unhealthy[name] = {"e4"}
    fleet.run(4000.0)
    assert fleet.count_assuming_failure("e4") == 8
    fleet.network.partition()
    fleet.run(4000.0)
    assert fleet.count_assuming_failure("e4") == 16


def test_sixty_new_nodes_get_the_priors_from_the_snapshot_of_a_peer() -> None:
    fleet = Fleet(10, 6)
    for name in fleet.names[:4]:
        fleet.unhealthy[name] = {"e4"}
    fleet.run(4000.0)
    now = fleet.network.now
    for i in range(60):
        fresh = Gossip(f"new{i}", 2, i)
        fresh.add_pool("p")
        fresh.merge_snapshot(0.0, fleet.nodes[f"n{5 + i % 5}"].gossip.snapshot(now))  # on its own clock
        priors = fresh.priors(0.0, "p", {f"e{k}": 0.0 for k in range(10)}, COLD_TIME)
        assert priors["e4"].failure_rate >= 0.4 and priors["e1"].failure_rate == 0.0


def test_reports_about_unknown_pools_are_ignored_and_a_removed_pool_leaves_nothing() -> None:
    gossip = Gossip("me", 1, 1)
    told = Observation("e", "a", 0.0, 1, failure_rate=1.0, calls=9)
    gossip.receive_rumours(0.0, [("other", told)])
    assert not gossip.pools
    gossip.add_pool("p")
    gossip.receive_rumours(0.0, [("p", told)])
    gossip.update_own(0.0, "p", COLD_TIME, [replace(told, origin="")])
    gossip.remove_pool("p")
    assert not gossip.pools and not gossip.own_observations and not gossip.announced
    assert all(isinstance(said, Digest) for _, said in gossip.tick(0.0, ["a"]))


ROWS = st.builds(
    Observation,
    st.sampled_from(["e0", "e1"]), st.sampled_from(["a", "b", "me"]), st.floats(0, FORGET_AFTER_MS / 2),
    st.integers(0, 9), st.just(0.0), st.floats(0, 1), st.floats(0.1, 9), st.integers(0, 99),
)  # fmt: skip


@given(st.lists(st.tuples(st.floats(0, 1000), ROWS), max_size=20))  # short enough that no observation expires
def test_an_observation_is_never_relayed_younger_than_it_is(
    told: list[tuple[float, Observation]],
) -> None:
    gossip, now = Gossip("me", 1, 1), 0.0
    gossip.add_pool("p")
    first: dict[tuple[str, str, int], float] = {}  # earliest time of observation reported
    for passed, o in told:
        now += passed
        key = (o.endpoint, o.origin, o.sequence)
        first[key] = min(first.get(key, now), now - o.age)
        gossip.receive_rumours(now, [("p", o)])
        for _, said in gossip.tick(now, ["a", "b", "c", "d"]):
            for _, out in said if not isinstance(said, Digest) else ():
                seen_at = first[out.endpoint, out.origin, out.sequence]
                assert out.origin != "me" and now - out.age <= seen_at + 1e-6
    assert len(gossip.transmissions) <= 4


def test_the_limit_on_sent_bytes_holds_when_every_endpoint_changes() -> None:
    gossip_settings = GossipSettings()
    gossip = Gossip("me", 1, 1, gossip_settings)
    peers = [f"n{i}" for i in range(400)]
    now, sent = 0.0, 0
    for turn in range(40):
        seen = [Observation(f"e{i}", "", 0.0, failure_rate=float(turn % 2)) for i in range(500)]
        gossip.update_own(now, "p", COLD_TIME, seen)
        said = gossip.tick(now, peers)
        assert sum(not isinstance(s, Digest) for _, s in said) <= gossip_settings.fanout
        assert all(isinstance(s, Digest) or len(s) <= gossip_settings.max_rumours for _, s in said)
        sent += sum(encoded_size(s) for _, s in said)
        now += gossip_settings.interval
    assert sent / 10 < 16_000  # bytes per second


# Wire format


def test_unknown_fields_are_ignored_and_unknown_messages_refused() -> None:
    fields = msgspec.msgpack.decode(wire.encode(wire.GossipDigest(7)))
    assert wire.decode(msgspec.msgpack.encode({**fields, "later": [1, 2]})) == wire.GossipDigest(7)
    for bad in ({**fields, "t": "verdict"}, {**fields, "digest": -1}, {**fields, "digest": "x"}, [1], {}):
        with pytest.raises(MessageRefused):
            wire.decode(msgspec.msgpack.encode(bad))


@given(st.binary(max_size=300))
def test_any_bytes_are_decoded_or_refused(data: bytes) -> None:
    with suppress(MessageRefused):
        wire.decode(data)


@given(ROWS, st.text(max_size=20))
def test_an_observation_survives_encoding_except_for_rounding(o: Observation, pool: str) -> None:
    body = wire.decode(wire.encode(wire.rumours([(pool, o)])))
    assert isinstance(body, wire.Rumours)
    (told,) = body.rumours
    again = wire.observation(told.row)
    assert (
        told.pool == pool
        and replace(again, age=o.age, failure_rate=o.failure_rate, latency_ratio=o.latency_ratio) == o
    )
    assert abs(again.age - o.age) <= 0.5 and abs(again.failure_rate - o.failure_rate) <= 0.0005


# Connection protocol

KEY = b"k" * 16


def new_session(name: str) -> StateTransfer:
    return StateTransfer(Signer(name, 1, [KEY]), Verifier([KEY], wire.MAX_FRAME_BYTES))


def pair() -> tuple[StateTransfer, StateTransfer]:
    one, other = new_session("a"), new_session("b")
    one.receive(other.hello())
    other.receive(one.hello())
    return one, other


@given(st.lists(st.integers(1, 40), max_size=60))
def test_frames_are_reassembled_at_any_split(cuts: list[int]) -> None:
    one, other = new_session("a"), new_session("b")
    one.receive(other.hello())
    data = one.hello() + one.encode_frame(wire.SnapshotRequest()) + one.encode_frame(wire.GossipDigest(3))
    heard = []
    for cut in cuts:
        heard += other.receive(data[:cut])
        data = data[cut:]
    heard += other.receive(data)
    assert heard == [("a", wire.SnapshotRequest()), ("a", wire.GossipDigest(3))]


def test_frames_of_another_connection_replayed_or_unauthenticated_are_refused() -> None:
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


# Conversion from and to the balancer's events


def test_healthy_endpoints_are_not_reported_and_few_limits_combine_to_the_lowest() -> None:
    seen = observations(5000.0, [], {}, [7])
    assert seen[0].draining and seen[0].endpoint == f"{7:016x}"
    gossip = Gossip("me", 1, 1)
    gossip.add_pool("p")
    ordinary = Observation(f"{1:016x}", "a", 0.0, 1, calls=50, uptime=1e9)
    gossip.receive_rumours(
        0.0, [("p", ordinary), ("p", replace(ordinary, endpoint=f"{2:016x}", uptime=400.0))]
    )
    priors = gossip.priors(0.0, "p", {f"{i:016x}": 0.0 for i in range(9)}, COLD_TIME)
    reports = peer_reports(5000.0, priors, COLD_TIME, 4)
    assert [(t.id, t.started_at) for t in reports.endpoints] == [(2, 4600.0)] and reports.siblings == 4
    assert combined_limit([9.0, 3.0]) == 3.0 and combined_limit([9.0, 3.0, 8.0]) == 8.0
    assert combined_limit([0.0, float("nan")]) == float("inf")


@given(st.data())
@settings(max_examples=50, deadline=None)
def test_memory_is_bounded_for_any_rumours(data: st.DataObject) -> None:
    gossip = Gossip("me", 1, 1)
    gossip.add_pool("p")
    origins = [f"o{i}" for i in range(40)]
    for i in range(data.draw(st.integers(0, 100))):
        o = Observation("e", data.draw(st.sampled_from(origins)), 0.0, i)
        gossip.receive_rumours(float(i), [(data.draw(st.sampled_from(["p", "q"])), o)])
    assert len(gossip.pools["p"].by_endpoint.get("e", {})) <= 16 and set(gossip.pools) == {"p"}
