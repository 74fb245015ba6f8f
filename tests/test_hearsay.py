"""What siblings tell, in the module: it only ever adds care, and is never told on as seen."""

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
from tests.kinds import once

NOW = 1_000_000.0
COLD = 10_000.0
USUAL = 1000.0  # ms; what an answer is taken to need before any was seen
READ = RequestClass("read", 5000.0, Repeat.SAFE, USUAL)
SETTINGS = Settings((READ,), 0.2, COLD, 2.5, 1000.0, max_attempts=3, ask_discovery=False)


def balancer(count: int, seed: int = 1, since: float = 1.0, **changes: object) -> Balancer:
    made = Balancer(replace(SETTINGS, **changes), seed)  # type: ignore[arg-type]
    endpoints = tuple(Endpoint(i, started_at=since) for i in range(count))
    made.handle(NOW, EndpointList(ListKind.FULL, endpoints))
    return made


def sends(made: Balancer, now: float, count: int, first: int = 0, ended: bool = True) -> list[int]:
    """The endpoints that so many calls go to, one a ms, each answered at once in the usual time, or never."""
    went: list[int] = []
    for number in range(first, first + count):
        at = now + number - first
        for action in made.handle(at, RequestArrived(number, 0, at + 5000.0)):
            if isinstance(action, Send):
                went.append(action.endpoint)
                if ended:
                    made.handle(at, AttemptEnded(number, action.endpoint, 0, Outcome.OK, USUAL, True))
    return went


def test_one_that_siblings_call_failing_is_left_alone_and_one_of_many_calls_is_not_believed() -> None:
    fresh, busy = balancer(4, stage=1), balancer(4, stage=1)
    sends(busy, NOW, 400)
    word = PeerReports((EndpointEvidence(2, failure_rate=1.0, calls=5.0),))
    for made in (fresh, busy):
        made.handle(NOW + 400, word)
    assert 2 not in sends(fresh, NOW + 400, 50, 1000)
    assert 2 in sends(busy, NOW + 400, 50, 1000), "own calls outvote hearsay"


def test_never_more_than_a_third_is_left_alone_for_hearsay() -> None:
    made = balancer(9)
    made.handle(NOW, PeerReports(tuple(EndpointEvidence(i, failure_rate=1.0, calls=5.0) for i in range(9))))
    assert len(made.aside(NOW)) <= math.ceil(9 * MAX_EJECTED_SHARE)
    assert sends(made, NOW, 10)


def test_what_siblings_told_is_not_told_on_as_seen() -> None:
    made = balancer(4)
    word = EndpointEvidence(1, failure_rate=1.0, latency_ratio=9.0, calls=5.0)
    made.handle(NOW, PeerReports((word, EndpointEvidence(2, drain_valid_for=5000.0))))
    seen = {t.id: t for t in made.evidence(NOW)}
    assert len(made.aside(NOW)) == 2
    assert all(
        (t.failure_rate, t.latency_ratio, t.calls, t.drain_valid_for) == (0.0, 1.0, 0.0, 0.0)
        for t in seen.values()
    )


def test_what_it_ejected_itself_is_told() -> None:
    made = balancer(4, stage=1)
    for number in range(60):
        for action in made.handle(NOW + number, RequestArrived(number, 0, NOW + 9000.0)):
            if isinstance(action, Send):
                outcome = Outcome.ERROR if action.endpoint == 3 else Outcome.OK
                made.handle(NOW + number, AttemptEnded(number, action.endpoint, 0, outcome, USUAL, True))
    seen = {t.id: t for t in made.evidence(NOW + 60)}
    assert seen[3].failure_rate == 1.0 and seen[3].calls >= 5.0
    assert seen[0].failure_rate == 0.0 and seen[0].calls > 5.0


def test_a_drain_that_siblings_heard_counts_as_told_and_is_over_with_their_word() -> None:
    made = balancer(3, stage=1)
    made.handle(NOW, PeerReports((EndpointEvidence(0, drain_valid_for=2000.0),)))
    assert 0 not in sends(made, NOW, 60)
    assert 0 in sends(made, NOW + 2001, 60, 100)


def test_an_older_start_than_is_known_changes_nothing_and_a_later_one_makes_it_cold() -> None:
    made = balancer(2, since=NOW - 2 * COLD)
    made.handle(
        NOW,
        PeerReports(
            (EndpointEvidence(0, started_at=NOW - 5 * COLD), EndpointEvidence(1, started_at=NOW - 100.0))
        ),
    )
    shares = [made.cold.share(made.servers[i], NOW) for i in (0, 1)]
    assert shares[0] == 1.0 and 0.2 <= shares[1] < 0.25
    made.handle(NOW, PeerReports((EndpointEvidence(1, started_at=NOW + 9e9),)))
    assert made.servers[1].started(NOW) <= NOW, "nothing starts in the future"


def at_a_cold_one(told: bool) -> int:
    """What 60 instances that start within a second send to a cold endpoint among 20 in that second."""
    total = 0
    for i in range(60):
        made = Balancer(replace(SETTINGS, siblings=60, index=i, stage=1), i)
        ready = tuple(Endpoint(e, started_at=NOW - 500.0 if e == 7 else 1.0) for e in range(20))
        made.handle(NOW, EndpointList(ListKind.FULL, ready))
        if told:
            made.handle(NOW, PeerReports((EndpointEvidence(7, started_at=NOW - 500.0),), 60))
        total += sum(e == 7 for e in sends(made, NOW + i * 10, 40, ended=False))
    return total


def test_a_crowd_that_has_just_learned_of_a_cold_endpoint_does_not_fall_on_it() -> None:
    """Whether discovery or peers told of it: a whole call from each that draws it would be 20."""
    assert at_a_cold_one(True) <= 2 and at_a_cold_one(False) <= 2


@once
def test_sidecars_that_join_amid_a_cold_start_push_it_over_alone_and_not_where_they_learn() -> None:
    """Seventy endpoints, sixty sidecars, the same seed; of what the cold endpoint stands, 1 is its end."""
    alone, _ = Run(70, 60, peers=False, heard=False, seed=1).play()
    learned, _ = Run(70, 60, peers=True, heard=False, seed=1).play()
    assert alone > 1.0 and learned < 0.8


TOLD = st.builds(
    EndpointEvidence,
    st.integers(0, 7),
    st.floats(0, 1),
    st.floats(0.1, 100),
    st.floats(0, 1e6),
    st.floats(0, NOW + 1e6),
    st.floats(0, 5000),
)


@given(st.lists(TOLD, max_size=12), st.integers(1, 500), st.floats(0, 100), st.integers(0, 99))
def test_whatever_is_told_care_only_grows(
    told: list[EndpointEvidence], siblings: int, each: float, seed: int
) -> None:
    made, plain = balancer(6, seed, since=NOW - COLD / 2), balancer(6, seed, since=NOW - COLD / 2)
    made.handle(NOW, PeerReports(tuple(told), siblings, each))
    assert made.admission is not None and plain.admission is not None
    assert 1.0 <= made.admission.each <= plain.admission.each
    for id, server in made.servers.items():
        before = plain.servers[id]
        assert made.cold.share(server, NOW) <= plain.cold.share(before, NOW)
        assert server.allowance <= before.allowance
        assert server.slowness(NOW) >= before.slowness(NOW)
        assert server.ejected_until >= before.ejected_until
        assert (server.failing, server.slow) == (before.failing, before.slow), "its own record stays its own"
    assert len(made.aside(NOW)) - sum(s.drains_until > NOW for s in made.servers.values()) <= 3
    ready = [s for s in made.ring if s.drains_until <= NOW]
    assert not ready or sends(made, NOW, 3) or all(s.allowance < 1.0 for s in ready)
