"""The auditor of the four rules: ledgers in, a verdict for each rule with evidence out. Pure.

It believes only what stand-ins saw. A rule that a day never put to the test is `not exercised`, not held.
Where the rig's own lateness could explain a breach of a time limit, it is counted as excused, not as broken.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict, deque
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import TypeVar

from millgw.rehearsal.lateness import Lateness, Self
from millgw.standins.capacity import cold_bound
from millgw.standins.ledger import Attempt, Call, End, Ledger, SentAway, Told

SOCKET_MARGIN = 50.0  # ms by which every time limit is longer on sockets (protocol page)
CROSSING = 100.0  # ms after a request's writing by which a close that crossed it has come
LEFT_MARGIN = 300.0  # ms after a caller left while its request waited, in which that may still be sent
KILL_SOON = 700.0  # ms after SIGTERM within which a SIGKILL excuses what was open
REFUSALS = frozenset({429, 503})
LEAST_SERVED = 0.02  # of the requests, below which a day puts nothing to the test
T = TypeVar("T")
MOST_EVIDENCE = 50  # pieces kept for each rule; all are counted


class Verdict(Enum):
    HELD = "held"
    BROKEN = "BROKEN"
    NOT_EXERCISED = "not exercised"


class Repeats(Enum):
    """How far a class may be repeated, in the operators' words."""

    RETRYABLE = "retryable"
    DEDUP = "dedup"
    FRAGILE = "fragile"


@dataclass(slots=True, frozen=True)
class ClassTerms:
    """`window` (ms): how long a group knows a key again. `all_drop`: a whole tier is one group."""

    repeat: Repeats
    window: float = 0.0
    all_drop: bool = False


@dataclass(slots=True, frozen=True)
class Terms:
    """The rules' figures. Times are ms; `heaviest` is the most core-ms of a class by tier."""

    classes: Mapping[str, ClassTerms]
    drain_grace: float = 500.0
    fall_multiple: float = 2.5
    fall_window: float = 1000.0
    ask_within: float = 6000.0
    most_attempts: int = 3
    heaviest: Mapping[int, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Evidence:
    """One breach: what, whose, when (ms of the day), the figure and its bound."""

    what: str
    at: float
    request: str = ""
    endpoint: str = ""
    sidecar: str = ""
    figure: float | None = None
    bound: float | None = None

    def __str__(self) -> str:
        parts = [f"{self.at / 1000:.3f} s: {self.what}"]
        parts += [f"{k} {v}" for k in ("request", "endpoint", "sidecar") if (v := getattr(self, k))]
        if self.figure is not None and self.bound is not None:
            parts.append(f"{self.figure:.1f} against {self.bound:.1f}")
        return ", ".join(parts)


@dataclass(slots=True)
class Finding:
    """The verdict on one rule. `checked` counts what it was judged by; `excused` what lateness explains.

    `nearest` is how much of a rule's bound was used up at the most, of 1, where it has one.
    """

    rule: int
    title: str
    checked: int = 0
    broken: int = 0
    excused: int = 0
    evidence: list[Evidence] = field(default_factory=list)
    kinds: Counter[str] = field(default_factory=Counter)
    note: str = ""
    nearest: float = 0.0

    @property
    def verdict(self) -> Verdict:
        if self.broken:
            return Verdict.BROKEN
        return Verdict.HELD if self.checked else Verdict.NOT_EXERCISED

    def add(self, evidence: Evidence) -> None:
        self.broken += 1
        self.kinds[evidence.what] += 1
        if len(self.evidence) < MOST_EVIDENCE:
            self.evidence.append(evidence)


@dataclass(slots=True, frozen=True)
class Audit:
    """All findings, and what the rig says of itself.

    `unserved` tells why next to nothing was served, where that is so: such a day put no rule to the test.
    """

    findings: tuple[Finding, ...]
    rig: Self
    unserved: str = ""

    @property
    def broken(self) -> bool:
        return any(f.verdict is Verdict.BROKEN for f in self.findings)

    @property
    def inconclusive(self) -> bool:
        """No rule is seen broken, but the rig was too late, or too little served, to say that they held."""
        return not self.broken and (bool(self.reasons) or any(f.excused for f in self.findings))

    @property
    def reasons(self) -> tuple[str, ...]:
        """Why the day can't be judged; empty where it can."""
        return (*self.rig.reasons, self.unserved) if self.unserved else self.rig.reasons

    @property
    def exit_code(self) -> int:
        return 1 if self.broken else 3 if self.inconclusive else 0


class Auditor:
    """One day's books, indexed by request, sidecar and endpoint."""

    def __init__(self, ledger: Ledger, terms: Terms) -> None:
        self.ledger = ledger
        self.terms = terms
        self.lateness = Lateness(ledger.samples, ledger.late)
        self.attempts = _by(ledger.attempts, lambda a: a.trace)
        self.calls = _by(ledger.calls, lambda c: c.trace)
        self.lives = _by(ledger.lives, lambda x: x.endpoint)
        self.sidecars = _by(ledger.sidecars, lambda s: s.name)

    def audit(self) -> Audit:
        findings = (self.answers(), self.effects(), self.drains(), self.cold())
        return Audit(findings, self.lateness.measure(), self.unserved())

    def unserved(self) -> str:
        """Why next to nothing was served; empty where enough was, or nothing was asked.

        Guards against a day that reads as held because nothing ever came to an endpoint.
        """
        firsts = {c.root for c in self.ledger.calls if c.stage == 0}
        served = {c.root for c in self.ledger.calls if c.stage == 0 and c.status == 200}
        if not firsts or len(served) >= LEAST_SERVED * len(firsts):
            return ""
        told = f"{len(served)} of {len(firsts)} requests were served"
        whys = Counter(a.why for a in self.ledger.attempts if a.told is Told.UNUSABLE)
        if whys:
            why, count = whys.most_common(1)[0]
            return f"{told}: endpoints answered {whys.total()} attempts with 400, {count} as {why}"
        ends = Counter(
            f"{c.status}" if c.end is End.ANSWERED else c.end.value if c.end is not None else "no end"
            for c in self.ledger.calls
            if c.stage == 0 and c.status != 200
        )
        came = len(self.ledger.attempts)
        most = ", ".join(f"{n} x {what}" for what, n in ends.most_common(3))
        return f"{told}: callers got {most}; {came} attempts came to endpoints"

    def _timed(self, finding: Finding, evidence: Evidence, excess: float, start: float, sidecar: str) -> None:
        """Book a breach of a time limit by `excess` ms, unless lateness since `start` explains it."""
        if excess <= self.lateness.around(start, evidence.at, sidecar):
            finding.excused += 1
        else:
            finding.add(evidence)

    # Rule 1

    def answers(self) -> Finding:
        """Each request taken gets exactly one final answer, in time, an endpoint's own; nothing follows."""
        finding = Finding(1, "no request is lost")
        for life in self.ledger.sidecars:
            if life.ended is not None and life.kill is None and (life.term is None or life.code):
                what = f"a sidecar ended by itself with code {life.code}"
                finding.checked += 1
                finding.add(Evidence(what, life.ended, sidecar=life.name))
        for call in self.ledger.calls:
            if call.sent is not None and call.end is not End.NOT_TAKEN:
                finding.checked += 1
                self._answer(finding, call, call.sent)
        for away in self.ledger.sent_away:
            self._sent_away(finding, away)
        return finding

    def _sent_away(self, finding: Finding, away: SentAway) -> None:
        """A sidecar that was told to send its clients away has done so in time."""
        if away.judged is None:
            return  # the day ended before
        finding.checked += 1
        over = away.judged
        if away.no_at is None or away.no_at > over:
            what = "still says yes though it was to send clients away (ms)"
            said = (away.no_at or over) - away.at
            late = Evidence(what, over, sidecar=away.sidecar, figure=said, bound=over - away.at)
            self._timed(finding, late, SOCKET_MARGIN, away.at, away.sidecar)
        for count, what in (
            (away.idle, "still holds idle connections of clients that it was to send away"),
            (away.lately, "still takes requests of clients that it was to send away"),
        ):
            if count:
                late = Evidence(what, over, sidecar=away.sidecar, figure=count, bound=0.0)
                self._timed(finding, late, SOCKET_MARGIN, away.at, away.sidecar)

    def _answer(self, finding: Finding, call: Call, sent: float) -> None:
        def evidence(
            what: str, at: float, figure: float | None = None, bound: float | None = None
        ) -> Evidence:
            return Evidence(what, at, call.trace, "", call.sidecar, figure, bound)

        limit = sent + call.patience
        if call.end is End.CROSSED:
            # A close that crossed the request is the caller's to mend, unless the sidecar had read it.
            before = [a for a in self.attempts.get(call.trace, ()) if a.first <= self._resent(call)]
            if before and not self._killed(call, sent):
                finding.add(evidence("taken, then its connection closed with no answer", before[0].first))
            elif call.closed is not None and not self._killed(call, sent):
                late = evidence(
                    "its connection closed with no answer (ms)", call.closed, call.closed - sent, 0.0
                )
                excess = call.closed - sent - CROSSING
                if excess > 0:
                    self._timed(finding, late, excess, sent, call.sidecar)
            return
        if call.end in (End.BROKEN, End.LOST):
            if not self._killed(call, sent):
                if call.end is End.BROKEN and self._broken_off(call):
                    return
                if call.end is End.BROKEN:
                    finding.add(evidence("its connection ended with no whole answer", sent))
                else:
                    lost = evidence("no answer in the caller's time", limit, None, None)
                    self._timed(finding, lost, SOCKET_MARGIN, sent, call.sidecar)
            return
        if call.end is End.LEFT and call.closed is not None:
            for attempt in self.attempts.get(call.trace, ()):
                for_nobody = Evidence(
                    "sent on after its caller had left (ms)", attempt.first, call.trace, attempt.endpoint,
                    call.sidecar, attempt.first - call.closed, LEFT_MARGIN,
                )  # fmt: skip
                over = attempt.first - call.closed - LEFT_MARGIN
                if over > 0:
                    self._timed(finding, for_nobody, over, call.closed, call.sidecar)
            return
        if call.extra:
            finding.add(evidence("more than one answer", call.answered or sent, 1 + call.extra, 1))
        if call.answered is None:
            return
        excess = call.answered - limit - SOCKET_MARGIN
        if excess > 0:
            late = evidence("answered late (ms)", call.answered, call.answered - sent, call.patience)
            self._timed(finding, late, excess, sent, call.sidecar)
        if call.status == 200:
            made = {a.token for a in self.attempts.get(call.trace, ()) if a.token}
            if call.token not in made:
                finding.add(evidence("a 200 that no endpoint made for this request", call.answered))
        for attempt in self.attempts.get(call.trace, ()):
            after = attempt.first - call.answered - SOCKET_MARGIN
            if after > 0:
                sent_after = Evidence(
                    "sent after its final answer (ms)", attempt.first, call.trace, attempt.endpoint,
                    call.sidecar, attempt.first - call.answered, 0.0,
                )  # fmt: skip
                self._timed(finding, sent_after, after, call.answered, call.sidecar)

    def _broken_off(self, call: Call) -> bool:
        """Whether a long answer ended before its end because the endpoint that made it did."""
        closed = call.closed or math.inf
        return call.begun is not None and any(
            attempt.first <= life.until <= closed + SOCKET_MARGIN
            for attempt in self.attempts.get(call.trace, ())
            for life in self.lives.get(attempt.endpoint, ())
            if life.number == attempt.life and life.until is not None
        )

    def _resent(self, call: Call) -> float:
        """When a call that was crossed was written again, or the end of its patience."""
        later = [
            c.sent
            for c in self.calls.get(call.trace, ())
            if c is not call and c.sent and c.sent >= (call.sent or 0)
        ]
        return min(later, default=(call.sent or 0) + call.patience)

    def _killed(self, call: Call, sent: float) -> bool:
        """Whether the rig killed the sidecar while it held the call: it is the client's to retry then."""
        for life in self.sidecars.get(call.sidecar, ()):
            if life.kill is None or not life.start <= sent <= life.kill + SOCKET_MARGIN:
                continue
            if life.kill > sent + call.patience + SOCKET_MARGIN:
                continue
            if life.term is None or life.kill < life.term + KILL_SOON:
                return True
        return False

    # Rule 2

    def effects(self) -> Finding:
        """No effect happens twice: by class, group and window, and refusals promise only what is so."""
        finding = Finding(2, "no effect happens twice")
        for trace, attempts in self.attempts.items():
            cls = self.terms.classes.get(attempts[0].cls)
            whole = sorted((a for a in attempts if a.last is not None), key=lambda a: a.last or 0.0)
            if cls is None or not trace:
                continue
            # One that ended well at its first attempt never tempted anybody.
            if any(a.told is not Told.OK for a in attempts) or len(whole) > 1:
                finding.checked += 1
            if len(whole) > self.terms.most_attempts:
                finding.add(
                    Evidence(
                        "more attempts than allowed", whole[-1].first, trace, whole[-1].endpoint, "",
                        len(whole), self.terms.most_attempts,
                    )
                )  # fmt: skip
            self._repeats(finding, cls, trace, whole)
            self._refusals(finding, cls, trace, whole)
        return finding

    def _repeats(self, finding: Finding, cls: ClassTerms, trace: str, whole: list[Attempt]) -> None:
        for i, attempt in enumerate(whole):
            last = attempt.last or 0.0
            ran = [a for a in whole[:i] if not _never_ran(a, last)]
            if not ran or cls.repeat is Repeats.RETRYABLE:
                continue
            sidecar = self.calls[trace][-1].sidecar if trace in self.calls else ""
            if cls.repeat is Repeats.FRAGILE:
                what = "a fragile request sent again that may have run"
                finding.add(Evidence(what, last, trace, attempt.endpoint, sidecar))
                continue
            since = ran[0].first
            if not cls.all_drop and any(a.cell != attempt.cell for a in ran):
                what = "a keyed request sent again outside its group"
                finding.add(Evidence(what, last, trace, attempt.endpoint, sidecar, attempt.cell, ran[0].cell))
            elif last > since + cls.window + SOCKET_MARGIN:
                late = Evidence(
                    "a keyed request sent again past its window (ms)", last, trace, attempt.endpoint,
                    sidecar, last - since, cls.window,
                )  # fmt: skip
                self._timed(finding, late, last - since - cls.window - SOCKET_MARGIN, since, sidecar)

    def _refusals(self, finding: Finding, cls: ClassTerms, trace: str, whole: list[Attempt]) -> None:
        if cls.repeat is Repeats.RETRYABLE or (cls.repeat is Repeats.DEDUP and cls.all_drop):
            return
        for call in self.calls.get(trace, ()):
            if call.status in REFUSALS and call.answered is not None:
                for attempt in whole:
                    if attempt.first <= call.answered and not _never_ran(attempt, call.answered):
                        what = "refused though an attempt may have run"
                        finding.add(Evidence(what, call.answered, trace, attempt.endpoint, call.sidecar))
                        break

    # Rule 3

    def drains(self) -> Finding:
        """Nothing new goes to an endpoint past the grace after its sidecar was told of its end."""
        finding = Finding(3, "drains are kept")
        bans = self._bans()
        finding.checked = sum(len(spans) for spans in bans.values())
        for trace, attempts in self.attempts.items():
            for attempt in attempts:
                call = self._sender(trace, attempt.first)
                for told, until in bans.get((call.sidecar, attempt.endpoint), ()) if call else ():
                    bound = self.terms.drain_grace + SOCKET_MARGIN
                    if call is not None and told + bound < attempt.first < until:
                        late = Evidence(
                            "sent to an endpoint after word of its drain or end (ms)", attempt.first,
                            trace, attempt.endpoint, call.sidecar, attempt.first - told,
                            self.terms.drain_grace,
                        )  # fmt: skip
                        self._timed(finding, late, attempt.first - told - bound, told, call.sidecar)
        return finding

    def _sender(self, trace: str, at: float) -> Call | None:
        """The call whose sidecar made an attempt: the last one written before it."""
        calls = [c for c in self.calls.get(trace, ()) if _began(c) <= at + SOCKET_MARGIN]
        return calls[-1] if calls else None

    def _bans(self) -> dict[tuple[str, str], list[tuple[float, float]]]:
        """For each sidecar and endpoint: when it was told of an end, until when it was told of a start."""
        words: dict[tuple[str, str], list[tuple[float, bool]]] = defaultdict(list)
        for word in self.ledger.words:
            words[word.sidecar, word.endpoint].append((word.at, word.status != "in_service"))
        for sidecar, endpoint, at in self._unheard():
            words[sidecar, endpoint].append((at, True))
        bans: dict[tuple[str, str], list[tuple[float, float]]] = defaultdict(list)
        for key, told in words.items():
            # A process that has just started was told the list as it is, and nothing of what was before it;
            # one beside another is one sidecar with it, and bound by what that was told.
            told += [(life.start, False) for life in self.sidecars.get(key[0], ()) if not life.beside]
            since: float | None = None
            for at, ends in sorted(told):
                if ends and since is None:
                    since = at
                elif not ends and since is not None:
                    bans[key].append((since, at))
                    since = None
            if since is not None:
                bans[key].append((since, float("inf")))
        return bans

    def _unheard(self) -> Iterator[tuple[str, str, float]]:
        """Changes that count as told to a sidecar that neither watched nor asked for as long as allowed."""
        asked: dict[tuple[str, int], list[tuple[float, float]]] = defaultdict(list)
        for record in self.ledger.asked:
            until = float("inf") if record.until is None else record.until
            asked[record.sidecar, record.tier].append((record.at, until))
        ends = [c for c in self.ledger.changes if c.status != "in_service"]
        tiers = {life.endpoint: life.tier for life in self.ledger.lives}
        for change in ends:
            since = self._told_from(change.at)
            due = since + self.terms.ask_within
            for name, lives in self.sidecars.items():
                tier = tiers.get(change.endpoint, 0)
                if lives[0].stage + 1 != tier and (name, tier) not in asked:
                    continue  # its list never named it
                alive = any(
                    life.start <= since and (life.ended is None or life.ended >= due) for life in lives
                )
                if alive and not any(a <= due and b >= since for a, b in asked[name, tier]):
                    yield name, change.endpoint, due

    def _told_from(self, at: float) -> float:
        """From when discovery could tell of a change and be asked, for as long as a sidecar may wait."""
        for outage in sorted(self.ledger.outages, key=lambda o: o.at):
            if outage.at <= at + self.terms.ask_within and (outage.until is None or outage.until > at):
                at = float("inf") if outage.until is None else outage.until
        return at

    # Rule 4

    def cold(self) -> Finding:
        """All sidecars together stay within what a cold endpoint stands, in every window."""
        finding = Finding(4, "a cold endpoint is not pushed over")
        sent: dict[tuple[str, int], list[Attempt]] = defaultdict(list)
        for attempt in self.ledger.attempts:
            if attempt.last is not None:
                sent[attempt.endpoint, attempt.life].append(attempt)
        for life in self.ledger.lives:
            window: deque[tuple[float, float]] = deque()
            total, cold = 0.0, 0
            until = (
                life.start + life.cold_ms
                if life.until is None
                else min(life.start + life.cold_ms, life.until)
            )
            for attempt in sorted(sent[life.endpoint, life.number], key=lambda a: a.last or 0.0):
                at = attempt.last or 0.0
                if at >= until and life.fell is None:
                    break
                cold += 1
                window.append((at, attempt.work))
                total += attempt.work
                while window[0][0] <= at - self.terms.fall_window:
                    total -= window.popleft()[1]
                bound = cold_bound(
                    life, at, self.terms.fall_multiple, self.terms.fall_window,
                    self.terms.heaviest.get(life.tier, 0.0),
                )  # fmt: skip
                finding.nearest = max(finding.nearest, total / bound)
                if total > bound:
                    what = "work sent to a cold endpoint within a window (core-ms)"
                    finding.add(Evidence(what, at, attempt.trace, life.endpoint, "", total, bound))
                    break
            finding.checked += cold > 0
        return finding


def _by(records: Iterable[T], key: Callable[[T], str]) -> dict[str, list[T]]:
    """The records by a key, each list in the order in which they were booked."""
    found: dict[str, list[T]] = {}
    for record in records:
        found.setdefault(key(record), []).append(record)
    return found


def _began(call: Call) -> float:
    """When its first byte was written, if it ever was."""
    began = call.sent if call.began is None else call.began
    return math.inf if began is None else began


def _never_ran(attempt: Attempt, by: float) -> bool:
    """Whether a sidecar could know by then that an attempt, whose last byte had come, did not run."""
    return attempt.told is Told.NEVER_RAN and attempt.told_at is not None and attempt.told_at <= by


def audit(ledger: Ledger, terms: Terms) -> Audit:
    """The verdict on one day."""
    return Auditor(ledger, terms).audit()
