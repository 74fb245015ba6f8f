"""Whether an endpoint is reachable, and how that is probed. Pure.

    state       meaning                                            connections to it
    UP          the last handshake succeeded, or it just answered  as many as are wanted
    UNPROVEN    nothing is known, or an attempt got no answer      one at a time; others wait for its result
    DOWN        a handshake failed, or a connection ended unused   one probe by the pool after each wait;
                                                                   calls fail at once and go elsewhere

Waits have decorrelated jitter, like the module's waits between attempts, so that instances that lost an
endpoint at the same time don't retry it at the same time.
"""

from __future__ import annotations

import random

from millgw.policy.backoff import Backoff

UP, UNPROVEN, DOWN = "up", "unproven", "down"


class Reachability:
    """The state of one endpoint. Times are in ms."""

    __slots__ = ("backoff", "max_wait", "min_wait", "probe_at", "state", "wait")

    def __init__(self, rng: random.Random, min_wait: float, max_wait: float) -> None:
        self.backoff = Backoff(rng)
        self.min_wait = min_wait
        self.max_wait = max_wait
        self.state = UNPROVEN
        self.wait = 0.0
        self.probe_at = 0.0  # when it may be probed next, while it is down

    def mark_up(self) -> None:
        self.state = UP
        self.wait = 0.0

    def mark_unproven(self) -> None:
        """An attempt got no answer, so the endpoint may be gone."""
        if self.state == UP:
            self.state = UNPROVEN

    def mark_down(self, now: float) -> None:
        """A handshake failed, or a connection was closed right after it, unused."""
        self.state = DOWN
        self.wait = self.backoff.next(self.wait, self.min_wait, self.max_wait)
        self.probe_at = now + self.wait

    def probe_due(self, now: float) -> bool:
        """Whether it is time to probe an endpoint that is down."""
        return self.state == DOWN and now >= self.probe_at


def panic_mode(down: int, known: int, share: float) -> bool:
    """Whether so many endpoints seem unreachable that the fault is not theirs; then calls try all of them.

    Otherwise a short network fault would make every call fail (compare Envoy's panic threshold).
    """
    return known > 0 and down > share * known
