"""Rule 1: each accepted request gets exactly one final answer, before its deadline.

False breaches that a delayed rig (the process that runs stand-ins and callers) could report, by kind:

- "answered late", "no answer in the caller's time": none. A request is written without waiting for the event
  loop, the answer's time is the kernel's receive timestamp, and pending input is read before a call counts as
  lost. The last piece of a body that is written at a limited rate is written by the loop, so the rig's lag is
  subtracted there. While the rig holds the sidecar stopped past the deadline it can't answer, so that time is
  subtracted from the answer's lateness.
- "sent on after its caller had left", "sent after its final answer": the first byte of an attempt that is
  read late may be recorded as late as its last byte, so the lag is subtracted. The times at which the caller
  left and at which the answer came are the kernel's.
- "its connection ended with no whole answer", "taken, then its connection closed": none. The kernel is
  asked whether the connection has ended before a request is written and after it; a request whose connection
  had ended is sent once more.
- "more than one answer", "a 200 that no endpoint made", an exit code: none, as they depend on no time.
"""

from __future__ import annotations

import math

from millgw.rehearsal.audit.day_records import SOCKET_MARGIN_MS, DayRecords
from millgw.rehearsal.audit.findings import Evidence, Finding
from millgw.standins.ledger import Attempt, Call, End, SentAway

MAX_CROSSED_CLOSE_MS = 100.0  # within which a close that crossed a request arrives after its writing
CANCEL_MARGIN_MS = 100.0  # after a caller left, in which its queued request may still be sent on
MAX_TERM_TO_KILL_MS = 700.0  # a SIGKILL so soon after SIGTERM excuses the requests in flight


def audit_answers(records: DayRecords) -> Finding:
    """Audit that each accepted request gets one final answer in time, made by an endpoint, and none after."""
    finding = Finding(1, "no request is lost")
    for life in records.ledger.sidecars:
        if life.ended is not None and life.kill is None and (life.term is None or life.code):
            what = f"a sidecar ended by itself with code {life.code}"
            finding.checked += 1
            finding.add(Evidence(what, life.ended, sidecar=life.name))
    for call in records.ledger.calls:
        if call.sent is not None and call.end is not End.NOT_TAKEN:
            finding.checked += 1
            _audit_call(records, finding, call, call.sent)
    for away in records.ledger.sent_away:
        _audit_client_drain(records, finding, away)
    return finding


def _audit_client_drain(records: DayRecords, finding: Finding, away: SentAway) -> None:
    """Audit that a sidecar that was ordered to drain its clients has done so in time."""
    if away.judged is None:
        return  # the day ended before the limit
    finding.checked += 1
    judged_at = away.judged
    if away.no_at is None or away.no_at > judged_at:
        what = "still says yes though it was to send clients away (ms)"
        took = (away.no_at or judged_at) - away.at
        evidence = Evidence(what, judged_at, sidecar=away.sidecar, figure=took, bound=judged_at - away.at)
        records.add_timed(finding, evidence, SOCKET_MARGIN_MS, away.at, away.sidecar)
    for count, what in (
        (away.idle, "still holds idle connections of clients that it was to send away"),
        (away.lately, "still takes requests of clients that it was to send away"),
    ):
        if count:
            evidence = Evidence(what, judged_at, sidecar=away.sidecar, figure=count, bound=0.0)
            records.add_timed(finding, evidence, SOCKET_MARGIN_MS, away.at, away.sidecar)


def _audit_call(records: DayRecords, finding: Finding, call: Call, sent: float) -> None:
    if call.end is End.CROSSED:
        _audit_crossed(records, finding, call, sent)
    elif call.end in (End.BROKEN, End.LOST):
        _audit_unanswered(records, finding, call, sent)
    elif call.end is End.LEFT and call.closed is not None:
        _audit_abandoned(records, finding, call, call.closed)
    else:
        _audit_answered(records, finding, call, sent)


def _evidence(
    call: Call, what: str, at: float, figure: float | None = None, bound: float | None = None
) -> Evidence:
    return Evidence(what, at, call.trace, "", call.sidecar, figure, bound)


def _audit_crossed(records: DayRecords, finding: Finding, call: Call, sent: float) -> None:
    """A close that crossed the request is for the caller to retry, unless the sidecar had read it."""
    if _sidecar_was_killed(records, call, sent):
        return
    resent = _resent_at(records, call)
    before = [attempt for attempt in records.attempts.get(call.trace, ()) if attempt.first <= resent]
    if before:
        what = "taken, then its connection closed with no answer"
        finding.add(_evidence(call, what, before[0].first))
    elif call.closed is not None:
        what = "its connection closed with no answer (ms)"
        late = _evidence(call, what, call.closed, call.closed - sent, 0.0)
        excess = call.closed - sent - MAX_CROSSED_CLOSE_MS
        if excess > 0:
            records.add_timed(finding, late, excess, sent, call.sidecar)


def _audit_unanswered(records: DayRecords, finding: Finding, call: Call, sent: float) -> None:
    """Audit a call whose connection ended, or that got no answer before its deadline."""
    if _sidecar_was_killed(records, call, sent):
        return
    if call.end is End.LOST:
        lost = _evidence(call, "no answer in the caller's time", sent + call.patience)
        records.add_timed(finding, lost, SOCKET_MARGIN_MS, sent, call.sidecar, kernel_timed=not call.pace)
    elif not _endpoint_ended_midway(records, call):
        finding.add(_evidence(call, "its connection ended with no whole answer", sent))


def _audit_abandoned(records: DayRecords, finding: Finding, call: Call, left: float) -> None:
    """Audit that nothing is sent on for a caller that has left."""
    for attempt in records.attempts.get(call.trace, ()):
        evidence = Evidence(
            "sent on after its caller had left (ms)", attempt.first, call.trace, attempt.endpoint,
            call.sidecar, attempt.first - left, CANCEL_MARGIN_MS,
        )  # fmt: skip
        excess = attempt.first - left - CANCEL_MARGIN_MS
        if excess > 0:
            records.add_timed(finding, evidence, excess, left, call.sidecar)


def _audit_answered(records: DayRecords, finding: Finding, call: Call, sent: float) -> None:
    """Audit for one answer, in time and made by an endpoint, with no attempt after it."""
    if call.extra:
        finding.add(_evidence(call, "more than one answer", call.answered or sent, 1 + call.extra, 1))
    if call.answered is None:
        return
    deadline = sent + call.patience
    paused = records.paused_across(deadline, call.answered, call.sidecar)
    excess = call.answered - deadline - paused - SOCKET_MARGIN_MS
    if excess > 0:
        late = _evidence(call, "answered late (ms)", call.answered, call.answered - sent, call.patience)
        records.add_timed(finding, late, excess, sent, call.sidecar, kernel_timed=not call.pace)
    attempts = records.attempts.get(call.trace, ())
    if call.status == 200 and call.token not in {attempt.token for attempt in attempts if attempt.token}:
        finding.add(_evidence(call, "a 200 that no endpoint made for this request", call.answered))
    for attempt in attempts:
        _audit_attempt_after_answer(records, finding, call, attempt, call.answered)


def _audit_attempt_after_answer(
    records: DayRecords, finding: Finding, call: Call, attempt: Attempt, answered: float
) -> None:
    excess = attempt.first - answered - SOCKET_MARGIN_MS
    if excess > 0:
        sent_after = Evidence(
            "sent after its final answer (ms)", attempt.first, call.trace, attempt.endpoint,
            call.sidecar, attempt.first - answered, 0.0,
        )  # fmt: skip
        records.add_timed(finding, sent_after, excess, answered, call.sidecar)


def _endpoint_ended_midway(records: DayRecords, call: Call) -> bool:
    """Whether an answer was truncated because its endpoint ended while sending it.

    Such a request has failed and is not lost (protocol page, Figures), however few bytes of the answer had
    arrived. Only an endpoint that had produced an answer can have begun to send one: an endpoint that ended
    before that truncates nothing.
    """
    closed = call.closed or math.inf
    return call.begun is not None and any(
        attempt.first <= life.until <= closed + SOCKET_MARGIN_MS
        for attempt in records.attempts.get(call.trace, ())
        if attempt.token
        for life in records.lives.get(attempt.endpoint, ())
        if life.number == attempt.life and life.until is not None
    )


def _resent_at(records: DayRecords, call: Call) -> float:
    """When a call that crossed a close was sent again, or its deadline."""
    later = [
        c.sent
        for c in records.calls.get(call.trace, ())
        if c is not call and c.sent and c.sent >= (call.sent or 0)
    ]
    return min(later, default=(call.sent or 0) + call.patience)


def _sidecar_was_killed(records: DayRecords, call: Call, sent: float) -> bool:
    """Whether the rig killed the sidecar while it held the call: the client has to retry then."""
    for life in records.sidecars.get(call.sidecar, ()):
        if life.kill is None or not life.start <= sent <= life.kill + SOCKET_MARGIN_MS:
            continue
        if life.kill > sent + call.patience + SOCKET_MARGIN_MS:
            continue
        if life.term is None or life.kill < life.term + MAX_TERM_TO_KILL_MS:
            return True
    return False
