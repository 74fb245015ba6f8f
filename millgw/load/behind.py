"""Whether a run was sent as it was planned, and if not, when and how far. Pure.

A generator that is late itself measures its own lateness and calls it the target's. So every send is held
against the time that it was planned for, and a run with too many late ones is invalid: it is still reported,
with the word.

What makes a send late is this side's doing: a sender that got no core, or a bound on its connections. That
the target takes its time to accept a connection is not: such a request waits, and its latency tells.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

BOUND = 20.0  # ms after its time from which a send is late
SHARE = 0.01  # of the sends that may be
GAP = 2  # seconds without a late send that still belong to one span


@dataclass(slots=True, frozen=True)
class Span:
    """Seconds of the run, from the first to the last, in which sends were late; the worst of them in ms."""

    first: int
    last: int
    sends: int
    worst: float

    def __str__(self) -> str:
        when = f"second {self.first}" if self.first == self.last else f"seconds {self.first} to {self.last}"
        return f"{when}: {self.sends} late, the worst by {self.worst:.0f} ms"


def spans(late: Mapping[int, tuple[int, float]]) -> list[Span]:
    """Late sends by second (how many, the worst in ms), as spans."""
    out: list[Span] = []
    for second in sorted(s for s, (count, _) in late.items() if count):
        count, worst = late[second]
        if out and second - out[-1].last <= GAP:
            before = out.pop()
            count, worst = before.sends + count, max(before.worst, worst)
            out.append(Span(before.first, second, count, worst))
        else:
            out.append(Span(second, second, count, worst))
    return out


def reasons(
    planned: int, sent: int, late: Mapping[int, tuple[int, float]], bound: float, share: float, lost: int
) -> list[str]:
    """Why a run is invalid; none where it is not. `lost` senders ended before they had told what they saw."""
    out = []
    if lost:
        out.append(f"{lost} senders ended before their time, and what they saw is lost")
    if planned - sent > 0:
        out.append(f"{planned - sent} of {planned} requests could not be sent at all")
    count = sum(n for n, _ in late.values())
    if sent and count > share * sent:
        worst = max(spans(late), key=lambda s: (s.sends, s.worst))
        out.append(
            f"{count} of {sent} requests ({count / sent:.1%}) were sent over {bound:g} ms late;"
            f" worst in {worst}"
        )
    return out
