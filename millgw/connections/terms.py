"""What an operator says of connections to endpoints, as the decisions have it. Pure.

Times are milliseconds, shares are of 1; 0 means 'no bound of its own' where a field says so.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Order(Enum):
    """Which of several idle connections is used first."""

    LIFO = "lifo"  # the last used: the others age out, and what is open follows the need
    FIFO = "fifo"  # the one whose last proof is the oldest: all stay proven, and none ages out


class Proving(Enum):
    """How a connection that has long been silent is proven before a request's last byte goes."""

    HOLD = "hold"  # the last byte waits for a moment, in which a reset would come
    ACK = "ack"  # it waits until the other machine's kernel has confirmed the rest (RFC 9293, section 3.4)


@dataclass(slots=True, frozen=True)
class Terms:
    """One pool's terms. Counts are of each endpoint unless said otherwise.

    Kept: at least `keep_least` are held open and ready, at most `keep_most` idle (0: by the budget of
    descriptors); `open_most` bounds all of them (0: none but what the endpoint is seen to take). With `ahead`
    connections are opened before they are needed, `headroom` over what has lately been in use at once.

    Given up: after `age` and `uses` (0: never for that), and when idle for `idle_part` of what the endpoint
    promises or, with `learn`, of what it is seen to do. Each connection draws its own bounds, up to `jitter`
    under these, so that many don't end at once.

    Opened: `at_once` handshakes to one endpoint and `at_once_all` in the pool; `cold_rate` a second at a cold
    endpoint, over all siblings, when it has its full capacity, and in step with its warmth before. A call
    waits up to `wait` for a connection that may not be opened yet.

    Standing: an endpoint that can't be reached is tried by one connection, after waits from `probe_base` to
    `probe_most`; calls for it are told at once that it can't be reached, unless more than `panic` of the
    endpoints seem out of reach.

    Proven: a connection silent for `silent_after` is proven as `prove` says, for `prove_most` at the most.
    """

    order: Order = Order.LIFO
    keep_least: int = 0
    keep_most: int = 0
    open_most: int = 0
    ahead: bool = True
    headroom: float = 0.25
    age: float = 0.0
    uses: int = 0
    idle_part: float = 0.5
    jitter: float = 0.2
    learn: bool = True
    at_once: int = 4
    at_once_all: int = 64
    cold_rate: float = 20.0
    wait: float = 50.0
    probe_base: float = 100.0
    probe_most: float = 2000.0
    panic: float = 0.5
    prove: Proving = Proving.HOLD
    silent_after: float = 5000.0
    prove_most: float = 100.0

    def __post_init__(self) -> None:
        if self.probe_most < self.probe_base:
            raise ValueError(f"probe_most: is under the probe_base of {self.probe_base:g}")
        if self.keep_most and self.keep_most < self.keep_least:
            raise ValueError(f"keep_most: is under the keep_least of {self.keep_least}")
        if self.open_most and self.open_most < max(self.keep_least, self.keep_most):
            raise ValueError("open_most: is under what is to be kept")
