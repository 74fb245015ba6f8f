"""When a change of the list counts as told, in the operators' own terms: nothing here is the product's.

What a watch says is told when it is written. Of what did not arrive, the terms say (standing test and
protocol page; what plays have shown stands in docs/QUESTIONS.md):

- what a silent watch misses: 6 s after it fell silent, whether or not it arrived;
- what is changed while there is no watch: 2 s later (seen on plays), or where a call that was made by then
  has failed, 6 s after discovery had it and could be reached;
- while discovery is down nothing counts; what has not counted by its end counts anew from its return.

Times are ms.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

SILENCE = 6000.0
REACHED = 6000.0
NO_CALL_FAILED = 2000.0


@dataclass(frozen=True)
class Silence:
    """A watch or call that said nothing from `since` on, until it was given up."""

    since: float
    until: float = math.inf


@dataclass(frozen=True)
class Outage:
    """Discovery could not be reached from `since` to `until`."""

    since: float
    until: float = math.inf


def told_at(
    change: float, silences: tuple[Silence, ...], failed_at: float | None, outage: Outage | None
) -> float:
    """When a change that did not arrive counts as told.

    `failed_at` is when the first call was made that failed after the watch ended, None where none did;
    `outage` is one that had begun by now, if any did.
    """
    told = _told_without_outage(change, silences, failed_at)
    if outage is not None and outage.since <= told and outage.until >= change:
        return outage.until + REACHED
    return told


def _told_without_outage(change: float, silences: tuple[Silence, ...], failed_at: float | None) -> float:
    for silence in silences:
        if silence.since <= change < silence.until:
            return max(change, silence.since + SILENCE)
    if failed_at is not None and failed_at <= change + NO_CALL_FAILED:
        return change + REACHED
    return change + NO_CALL_FAILED
