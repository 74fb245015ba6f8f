"""Rule 3: a sidecar sends nothing new to an endpoint after being told of its drain or end.

What a delayed rig can distort: the discovery server runs in the rig's event loop and is as late as the loop,
and each step of a call there (accept, read, queue, write) waits for another iteration. A change that was
never written counts as told only while discovery could be reached, so all of the loop's lag meanwhile is
subtracted. The times at which a line was written and at which a request arrived are the kernel's; the longest
lag is subtracted all the same, since a first byte may be recorded as late as its request's last byte.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass

from millgw.rehearsal.audit.day_records import SOCKET_MARGIN_MS, DayRecords
from millgw.rehearsal.audit.findings import Evidence, Finding
from millgw.standins.ledger import Attempt, Call, StatusChange


@dataclass(slots=True, frozen=True)
class Ban:
    """The time (ms) in which a sidecar may not send to an endpoint.

    `inferred`: the endpoint's end was never written to the sidecar, but the sidecar should have asked for it.
    """

    since: float
    until: float
    inferred: bool


def audit_drains(records: DayRecords) -> Finding:
    """Audit that no sidecar sends to an endpoint once its drain grace is over."""
    finding = Finding(3, "drains are kept")
    bans = _bans(records)
    finding.checked = sum(len(spans) for spans in bans.values())
    for trace, attempts in records.attempts.items():
        for attempt in attempts:
            call = _sending_call(records, trace, attempt.first)
            for ban in bans.get((call.sidecar, attempt.endpoint), ()) if call else ():
                if call is not None:
                    _audit_attempt(records, finding, ban, attempt, call.sidecar)
    return finding


def _audit_attempt(records: DayRecords, finding: Finding, ban: Ban, attempt: Attempt, sidecar: str) -> None:
    bound = records.rules.drain_grace + SOCKET_MARGIN_MS
    after = attempt.first - ban.since
    if after <= bound or attempt.first >= ban.until:
        return
    what = "sent to an endpoint after word of its drain or end (ms)"
    late = Evidence(
        what, attempt.first, attempt.trace, attempt.endpoint, sidecar, after, records.rules.drain_grace
    )
    unreachable = 0.0
    if ban.inferred:
        unreachable = records.lateness.total_lag(ban.since - records.rules.ask_within, attempt.first)
    if after - bound <= unreachable:
        finding.excused += 1
    else:
        records.add_timed(finding, late, after - bound, ban.since, sidecar)


def _sending_call(records: DayRecords, trace: str, at: float) -> Call | None:
    """The call whose sidecar made an attempt: the last one sent before it."""
    calls = [c for c in records.calls.get(trace, ()) if _first_byte_at(c) <= at + SOCKET_MARGIN_MS]
    return calls[-1] if calls else None


def _bans(records: DayRecords) -> dict[tuple[str, str], list[Ban]]:
    """For each sidecar and endpoint: the times from a reported drain or end until a reported start."""
    words: dict[tuple[str, str], list[tuple[float, bool, bool]]] = defaultdict(list)
    for word in records.ledger.sent_statuses:
        words[word.sidecar, word.endpoint].append((word.at, word.status != "in_service", False))
    for sidecar, endpoint, at in list(_unwritten_changes(records, words)):
        words[sidecar, endpoint].append((at, True, True))
    bans: dict[tuple[str, str], list[Ban]] = defaultdict(list)
    for key, told in words.items():
        # A new process gets the current list and nothing of what was reported before its start. A process
        # that takes over from a running one is the same sidecar, and bound by what that one was told.
        told += [(life.start, False, False) for life in records.sidecars.get(key[0], ()) if not life.beside]
        since: tuple[float, bool] | None = None
        for at, ends, inferred in sorted(told):
            if ends and since is None:
                since = (at, inferred)
            elif not ends and since is not None:
                bans[key].append(Ban(since[0], at, since[1]))
                since = None
        if since is not None:
            bans[key].append(Ban(since[0], math.inf, since[1]))
    return bans


def _unwritten_changes(
    records: DayRecords, words: Mapping[tuple[str, str], Sequence[tuple[float, bool, bool]]]
) -> Iterator[tuple[str, str, float]]:
    """Changes that count as told to a sidecar although they were not written to it by the time limit.

    `words` are the changes that were written, by sidecar and endpoint, each starting with its time.
    A discovery call that was refused, rejected or never answered in between does not extend the limit.
    """
    asked = {(record.sidecar, record.tier) for record in records.ledger.discovery_queries}
    tiers = {life.endpoint: life.tier for life in records.ledger.lives}
    for change in records.ledger.status_changes:
        if change.status == "in_service":
            continue
        since = _reachable_from(records, change.at)
        due = since + records.rules.ask_within
        if _back_in_service(records, change, due):
            continue
        for name, lives in records.sidecars.items():
            tier = tiers.get(change.endpoint, 0)
            if lives[0].stage + 1 != tier and (name, tier) not in asked:
                continue  # its list never held this endpoint
            alive = any(life.start <= since and (life.ended is None or life.ended >= due) for life in lives)
            if alive and not any(change.at <= at <= due for at, *_ in words.get((name, change.endpoint), ())):
                yield name, change.endpoint, due


def _back_in_service(records: DayRecords, change: StatusChange, by: float) -> bool:
    """Whether the endpoint is in service again at `by`."""
    return any(
        later.endpoint == change.endpoint and later.status == "in_service" and change.at <= later.at <= by
        for later in records.ledger.status_changes
    )


def _reachable_from(records: DayRecords, at: float) -> float:
    """The first time after a change from which discovery stays reachable for `ask_within` ms."""
    for outage in sorted(records.ledger.outages, key=lambda o: o.at):
        if outage.at <= at + records.rules.ask_within and (outage.until is None or outage.until > at):
            at = float("inf") if outage.until is None else outage.until
    return at


def _first_byte_at(call: Call) -> float:
    """When the first byte of a call was written; infinity if none was."""
    began = call.sent if call.began is None else call.began
    return math.inf if began is None else began
