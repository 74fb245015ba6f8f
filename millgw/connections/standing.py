"""Whether an endpoint can be reached, and who finds out. Pure.

    state       what holds                                      connections to it
    UP          the last one came up, or was just answered      as many as are wanted
    UNPROVEN    nothing is known, or an attempt had no answer   one at a time; others wait for its fate
    DOWN        one did not come up, or ended unused            one after a wait, by the pool itself;
                                                                calls are told at once, and go elsewhere

Waits are decorrelated jitter, as the module's own between attempts: instances that lost an endpoint together
come back to it apart.
"""

from __future__ import annotations

import random

from millgw.policy.backoff import Backoff

UP, UNPROVEN, DOWN = "up", "unproven", "down"


class Reachability:
    """One endpoint's. Times are ms."""

    __slots__ = ("backoff", "max_wait", "min_wait", "probe_at", "state", "wait")

    def __init__(self, rng: random.Random, min_wait: float, max_wait: float) -> None:
        self.backoff = Backoff(rng)
        self.min_wait = min_wait
        self.max_wait = max_wait
        self.state = UNPROVEN
        self.wait = 0.0
        self.probe_at = 0.0  # when it may be tried next, while it is down

    def mark_up(self) -> None:
        self.state = UP
        self.wait = 0.0

    def mark_unproven(self) -> None:
        """An attempt there got no answer: it may have gone."""
        if self.state == UP:
            self.state = UNPROVEN

    def mark_down(self, now: float) -> None:
        """A connection did not come up, or was ended before it was of any use."""
        self.state = DOWN
        self.wait = self.backoff.next(self.wait, self.min_wait, self.max_wait)
        self.probe_at = now + self.wait

    def probe_due(self, now: float) -> bool:
        """Whether it is time to find out if an endpoint that is down is back."""
        return self.state == DOWN and now >= self.probe_at


def panic_mode(down: int, known: int, share: float) -> bool:
    """Whether so many endpoints seem out of reach that the trouble is not theirs: then calls try them all.

    Guards against a network's bad moment that would have every call refused (Envoy's panic threshold).
    """
    return known > 0 and down > share * known
