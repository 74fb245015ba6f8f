"""Settings of connection management, in the units that the decisions use. Pure.

Times are in milliseconds, shares are fractions of 1; 0 means 'no limit of its own' where a field says so.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Order(Enum):
    """Which of several idle connections is used first."""

    LIFO = "lifo"  # the last used one: the others age out, so the number of connections follows the demand
    FIFO = "fifo"  # the one proven alive longest ago: all stay proven, and none ages out


class Proving(Enum):
    """How a long idle connection is proven alive before the last byte of a request is sent."""

    HOLD = "hold"  # the last byte is delayed a moment, in which a reset would arrive
    ACK = "ack"  # it is delayed until the remote kernel has acknowledged the rest (RFC 9293, section 3.4)


@dataclass(slots=True, frozen=True)
class ConnectionSettings:
    """Settings of one pool. Counts are per endpoint unless stated otherwise.

    Pool size: at least `keep_least` connections are kept open, at most `keep_most` idle (0: limited by the
    budget of descriptors); `open_most` limits all of them (0: only by what the endpoint is seen to accept).
    With `ahead`, connections are opened before they are needed: `headroom` more than were recently in use at
    the same time.

    Closing: after `age` and `uses` (0: no such limit), and when idle for `idle_part` of the time that the
    endpoint promises or, with `learn`, of the time that it was observed to wait. Each connection draws its
    own limits, up to `jitter` below these, so that many don't end at once.

    Opening: `at_once` concurrent handshakes per endpoint and `at_once_all` in the pool. A cold endpoint gets
    `cold_rate` handshakes per second from all siblings together once at full capacity, and fewer before, in
    proportion to its capacity. A call waits up to `wait` for a connection that may not be opened yet.

    Reachability: an unreachable endpoint is probed by one connection at a time, after waits from `probe_base`
    to `probe_most`. Calls to it fail at once, unless more than `panic` of the endpoints seem unreachable.

    Proof: a connection silent for `silent_after` is proven alive as `prove` says, for at most `prove_most`.
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
