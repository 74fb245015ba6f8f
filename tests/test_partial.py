"""How the balancer handles requests that arrive before their body is complete."""

from __future__ import annotations

from millgw.interface import BodyDiscarded, Fail, Outcome, Refuse, RequestArrived, RequestBodyComplete, Send
from tests.support import SAFE, UNSAFE, Drive, make_drive


def partial(d: Drive, cls: int = UNSAFE) -> int:
    """Feed a request whose body is still being received; returns its number."""
    d.next_id += 1
    event = RequestArrived(d.next_id, cls, d.now + 1e6, 0, partial=True)
    d.unanswered[event.request] = event
    d.attempts[event.request] = []
    d.feed(event)
    return event.request


def test_incomplete_bodies_count_against_no_limit_and_no_endpoint() -> None:
    d = make_drive(4)
    for _ in range(500):
        assert d.attempts[partial(d)], "held back by a limit that it does not count against yet"
    for _ in range(4):
        request = d.arrive()
        assert d.attempts[request], "held back by incomplete bodies"


def test_a_complete_body_counts_against_the_limits_and_has_a_deadline() -> None:
    d = make_drive(4)
    request = partial(d, SAFE)
    assert len(d.balancer.in_flight) == 0
    d.feed(RequestBodyComplete(request, d.now + 500))
    assert len(d.balancer.in_flight) == 1
    assert sum(len(s.in_flight) for s in d.balancer.servers.values()) == 1
    d.now += 490
    actions = d.end_attempt(request, 0, Outcome.CONNECT_FAILED)
    assert any(isinstance(a, Refuse | Fail) for a in actions), "there is no time for another attempt"
    assert not d.balancer.in_flight and not d.balancer.uploading


def test_a_request_whose_body_was_partly_sent_is_not_tried_again_and_is_refused_as_it_never_ran() -> None:
    d = make_drive(4)
    request = partial(d)
    d.feed(BodyDiscarded(request))
    actions = d.end_attempt(request, 0, Outcome.CONNECT_FAILED)
    assert any(isinstance(a, Refuse) for a in actions)
    assert not any(isinstance(a, Send) for a in d.advance(d.now + 3000))
    assert not d.balancer.uploading


def test_an_attempt_that_failed_before_any_of_the_body_was_sent_is_made_again() -> None:
    d = make_drive(4)
    for _ in range(30):  # answers fill the retry budget
        d.end_attempt(d.arrive(), 0, Outcome.OK)
    request = partial(d)
    d.end_attempt(request, 0, Outcome.CONNECT_FAILED)
    d.advance(d.now + 1000)
    first, second = d.sent_to(request)
    assert first != second


def test_events_about_requests_that_ended_are_harmless() -> None:
    d = make_drive(4)
    request = partial(d)
    d.feed(BodyDiscarded(request))
    d.abort(request)
    d.feed(RequestBodyComplete(request, d.now + 100))
    d.feed(BodyDiscarded(request))
    d.end_attempt(request, 0, Outcome.CANCELLED)
    assert not d.balancer.uploading and not d.balancer.in_flight
