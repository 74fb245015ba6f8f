"""When a majority of the control instances ran, and when none did. No I/O."""

from __future__ import annotations

import math
from collections.abc import Sequence

from millgw.standins.configuration_ledger import ControlLife


class ControlHistory:
    """How many control instances ran at each moment; one runs from its first answer until it is killed."""

    def __init__(self, lives: Sequence[ControlLife]) -> None:
        self.majority = len({life.instance for life in lives}) // 2 + 1
        steps: list[tuple[float, int]] = []
        for life in lives:
            if life.ready is not None:
                steps.append((life.ready, 1))
                if life.kill is not None:
                    steps.append((life.kill, -1))
        steps.sort()
        self.spans: list[tuple[float, float, int]] = []  # from (ms), until (ms), how many run
        running = 0
        for position, (at, step) in enumerate(steps):
            running += step
            until = steps[position + 1][0] if position + 1 < len(steps) else math.inf
            self.spans.append((at, until, running))

    def deadline(self, since: float, within: float) -> float | None:
        """The end of the first `within` ms after `since` during which a majority ran throughout, if any."""
        begun: float | None = None
        for start, until, running in self.spans:
            if running < self.majority:
                begun = None
                continue
            begun = max(start, since) if begun is None else begun
            if begun + within <= until:
                return max(begun, since) + within
        return None

    def none_running(self, at: float) -> bool:
        """Whether no instance ran at a time."""
        return not any(start <= at < until and running for start, until, running in self.spans)
