"""Peers' reports in the balancer: they only ever add caution and are never passed on as observed."""

from __future__ import annotations

import math
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from benchmarks.joining import Run
from millgw.decide import MAX_EJECTED_SHARE, Balancer
from millgw.interface import (
    AttemptEnded,
    Endpoint,
    EndpointEvidence,
    EndpointList,
    ListKind,
    Outcome,
    PeerReports,
    Repeat,
    RequestArrived,
    RequestClass,
    Send,
    Settings,
)
from tests.kinds import skip_if_pure

NOW = 1_000_000.0
COLD_TIME = 10_000.0
USUAL_LATENCY = 1000.0  # ms; assumed latency before any response was seen
READ = RequestClass("read", 5000.0, Repeat.SAFE, USUAL_LATENCY)
SETTINGS = Settings((READ,), 0.2, COLD_TIME, 2.5, 1000.0, max_attempts=3, ask_discovery=False)


def balancer(count: int, seed: int = 1, since: float = 1.0, **changes: object) -> Balancer:
    made = Balancer(replace(SETTINGS, **changes), seed)  # type: ignore[arg-type]
    endpoints = tuple(Endpoint(i, started_at=since) for i in range(count))
    made.handle(NOW, EndpointList(ListKind.FULL, endpoints))
    return made


def sends(made: Balancer, now: float, count: int, first: int = 0, ended: bool = True) -> list[int]:
    """The endpoints of `count` calls, one per ms, each answered at once with the usual latency, or never."""
    sent_to: list[int] = []
    for number in range(first, first + count):
        at = now + number - first
        for action in made.handle(at, RequestArrived(number, 0, at + 5000.0)):
            if isinstance(action, Send):
                sent_to.append(action.endpoint)
                if ended:
                    made.handle(at, AttemptEnded(number, action.endpoint, 0, Outcome.OK, USUAL_LATENCY, True))
    return sent_to


def test_an_endpoint_that_peers_report_as_failing_is_avoided_unless_own_calls_outweigh_it() -> None:
    fresh, busy = balancer(4, stage=1), balancer(4, stage=1)
    sends(busy, NOW, 400)
    report = PeerReports((EndpointEvidence(2, failure_rate=1.0, calls=5.0),))
    for made in (fresh, busy):
        made.handle(NOW + 400, report)
    assert 2 not in sends(fresh, NOW + 400, 50, 1000)
    assert 2 in sends(busy, NOW + 400, 50, 1000), "own calls outweigh peers' reports"


def test_peer_reports_never_eject_more_than_a_third() -> None:
    made = balancer(9)
    made.handle(NOW, PeerReports(tuple(EndpointEvidence(i, failure_rate=1.0, calls=5.0) for i in range(9))))
    assert len(made.out_of_rotation(NOW)) <= math.ceil(9 * MAX_EJECTED_SHARE)
    assert sends(made, NOW, 10)


def test_peer_reports_are_not_passed_on_as_own_evidence() -> None:
    made = balancer(4)
    report = EndpointEvidence(1, failure_rate=1.0, latency_ratio=9.0, calls=5.0)
    made.handle(NOW, PeerReports((report, EndpointEvidence(2, drain_valid_for=5000.0))))
    evidence = {t.id: t for t in made.evidence(NOW)}
    assert len(made.out_of_rotation(NOW)) == 2
    assert all(
        (t.failure_rate, t.latency_ratio, t.calls, t.drain_valid_for) == (0.0, 1.0, 0.0, 0.0)
        for t in evidence.values()
    )


def test_own_ejections_are_reported_to_peers() -> None:
    made = balancer(4, stage=1)
    for number in range(60):
        for action in made.handle(NOW + number, RequestArrived(number, 0, NOW + 9000.0)):
            if isinstance(action, Send):
                outcome = Outcome.ERROR if action.endpoint == 3 else Outcome.OK
                made.handle(
                    NOW + number, AttemptEnded(number, action.endpoint, 0, outcome, USUAL_LATENCY, True)
                )
    evidence = {t.id: t for t in made.evidence(NOW + 60)}
    assert evidence[3].failure_rate == 1.0 and evidence[3].calls >= 5.0
    assert evidence[0].failure_rate == 0.0 and evidence[0].calls > 5.0


def test_a_drain_reported_by_peers_counts_as_told_until_the_report_expires() -> None:
    made = balancer(3, stage=1)
    made.handle(NOW, PeerReports((EndpointEvidence(0, drain_valid_for=2000.0),)))
    assert 0 not in sends(made, NOW, 60)
    assert 0 in sends(made, NOW + 2001, 60, 100)


def test_only_a_reported_start_later_than_the_known_one_makes_an_endpoint_cold() -> None:
    made = balancer(2, since=NOW - 2 * COLD_TIME)
    made.handle(
        NOW,
        PeerReports(
            (EndpointEvidence(0, started_at=NOW - 5 * COLD_TIME), EndpointEvidence(1, started_at=NOW - 100.0))
        ),
    )
    shares = [made.cold.capacity_share(made.servers[i], NOW) for i in (0, 1)]
    assert shares[0] == 1.0 and 0.2 <= shares[1] < 0.25
    made.handle(NOW, PeerReports((EndpointEvidence(1, started_at=NOW + 9e9),)))
    assert made.servers[1].started_at(NOW) <= NOW, "nothing starts in the future"


def calls_to_a_cold_endpoint(reported: bool) -> int:
    """What 60 instances that start within a second send to one cold endpoint of 20 in that second."""
    total = 0
    for i in range(60):
        made = Balancer(replace(SETTINGS, siblings=60, index=i, stage=1), i)
        ready = tuple(Endpoint(e, started_at=NOW - 500.0 if e == 7 else 1.0) for e in range(20))
        made.handle(NOW, EndpointList(ListKind.FULL, ready))
        if reported:
            made.handle(NOW, PeerReports((EndpointEvidence(7, started_at=NOW - 500.0),), 60))
        total += sum(e == 7 for e in sends(made, NOW + i * 10, 40, ended=False))
    return total


def test_many_instances_that_learn_of_a_cold_endpoint_at_once_do_not_overload_it() -> None:
    """From discovery or from peers: one whole call from each instance that chooses it would be 20 calls."""
    assert calls_to_a_cold_endpoint(True) <= 2 and calls_to_a_cold_endpoint(False) <= 2


@skip_if_pure
def test_sidecars_that_join_during_a_cold_start_overload_it_without_peer_reports_only() -> None:
    """Seventy endpoints, sixty sidecars, the same seed; 1.0 is the load at which the cold endpoint fails."""
    alone, _ = Run(70, 60, peers=False, heard=False, seed=1).play()
    learned, _ = Run(70, 60, peers=True, heard=False, seed=1).play()
    assert alone > 1.0 and learned < 0.8


EVIDENCE = st.builds(
    EndpointEvidence,
    st.integers(0, 7),
    st.floats(0, 1),
    st.floats(0.1, 100),
    st.floats(0, 1e6),
    st.floats(0, NOW + 1e6),
    st.floats(0, 5000),
)


@given(st.lists(EVIDENCE, max_size=12), st.integers(1, 500), st.floats(0, 100), st.integers(0, 99))
def test_peer_reports_only_make_the_balancer_more_careful(
    reports: list[EndpointEvidence], siblings: int, max_in_flight: float, seed: int
) -> None:
    made, plain = balancer(6, seed, since=NOW - COLD_TIME / 2), balancer(6, seed, since=NOW - COLD_TIME / 2)
    made.handle(NOW, PeerReports(tuple(reports), siblings, max_in_flight))
    assert made.admission is not None and plain.admission is not None
    assert 1.0 <= made.admission.per_endpoint <= plain.admission.per_endpoint
    for id, server in made.servers.items():
        before = plain.servers[id]
        assert made.cold.capacity_share(server, NOW) <= plain.cold.capacity_share(before, NOW)
        assert server.cold_allowance <= before.cold_allowance
        assert server.slowness(NOW) >= before.slowness(NOW)
        assert server.ejected_until >= before.ejected_until
        assert (server.failure_rate, server.own_slowness) == (before.failure_rate, before.own_slowness), (
            "its own record is unchanged"
        )
    assert (
        len(made.out_of_rotation(NOW)) - sum(s.drain_reported_until > NOW for s in made.servers.values()) <= 3
    )
    ready = [s for s in made.ring if s.drain_reported_until <= NOW]
    assert not ready or sends(made, NOW, 3) or all(s.cold_allowance < 1.0 for s in ready)
