"""Selects the next server of the ensemble and the delay before connecting; decides when to start over. Pure.

Delays are drawn at random (seeded): hundreds of clients lose the same server at the same moment and would
otherwise all connect to the next one together. Each delay is limited to a part of the session timeout, so
that a session survives a coordinator that comes back in time.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

from millgw.platform.config import Address, read_address

RECONNECT_SPREAD = 1000.0  # ms: clients that lost a server reconnect spread over at most this time
# ms between full rounds without success: decorrelated jitter from base to cap
ROUND_DELAY_BASE, ROUND_DELAY_CAP = 400.0, 5000.0
MAX_DELAY_PART = 1 / 4  # maximum of any delay, as a part of the session timeout
REFUSED_ROUNDS = 2  # full rounds in which every reachable server refused the session


def read_connect(text: str) -> tuple[tuple[Address, ...], str]:
    """Servers and root path of a connect string `IP:port,IP:port/root`; raises ValueError."""
    hosts, slash, root = text.partition("/")
    servers = tuple(read_address(host.strip()) for host in hosts.split(","))
    if len(set(servers)) < len(servers):
        raise ValueError(f"{text!r} names a server twice")
    return servers, check_path(slash + root.rstrip("/")) if root else ""


def check_path(path: str) -> str:
    """Return a valid path unchanged; raises ValueError for an invalid one."""
    parts = path.split("/")
    if parts[0] or len(parts) < 2 or any(p in ("", ".", "..") for p in parts[1:]) or not path.isprintable():
        raise ValueError(f"{path!r} is no path")
    return path


@dataclass(slots=True, frozen=True)
class NextConnect:
    """Connect to `server` after `delay` ms; with `start_over`, as a new client without session or zxid."""

    server: Address
    delay: float
    start_over: bool = False


class JitterBackoff:
    """Decorrelated jitter: each delay (ms) is drawn from a range that depends on the one before."""

    def __init__(self, base: float, cap: float, rng: random.Random) -> None:
        self.base, self.cap, self.rng = base, cap, rng
        self.last = 0.0

    def next(self) -> float:
        self.last = min(self.cap, self.base + self.rng.random() * (max(self.last, self.base) * 3 - self.base))
        return self.last

    def reset(self) -> None:
        self.last = 0.0


class ServerSelector:
    """One client's shuffled order of servers, each once a round. `timeout`: session timeout in ms."""

    def __init__(self, servers: Sequence[Address], rng: random.Random, timeout: float) -> None:
        self.rng = rng
        self.order = list(servers)
        rng.shuffle(self.order)
        self.position = -1
        self.backoff = JitterBackoff(ROUND_DELAY_BASE, ROUND_DELAY_CAP, rng)
        self.limit_delays(timeout)
        self.tried = 0  # connections tried since the last session was established
        self.refused = 0  # of them, those accepted and then closed without a session
        self.accepted = 0  # of them, those accepted

    def first(self) -> NextConnect:
        self.position += 1
        return NextConnect(self.order[0], 0.0)

    def limit_delays(self, timeout: float) -> None:
        """Limit all delays to their part of a session timeout (ms)."""
        max_delay = MAX_DELAY_PART * timeout
        self.spread = min(RECONNECT_SPREAD, max_delay)
        self.backoff.base, self.backoff.cap = (
            min(ROUND_DELAY_BASE, max_delay),
            min(ROUND_DELAY_CAP, max_delay),
        )

    def on_session_established(self, timeout: float) -> None:
        """A session is established with this timeout (ms): resets the counts and the delay."""
        self.limit_delays(timeout)
        self.tried = self.refused = self.accepted = 0
        self.backoff.reset()

    def on_session_expired(self) -> NextConnect:
        """The next connection after a server reported the session as expired: the same server again.

        It is reachable and can open a new session. If the next server were asked instead, a server that hands
        out sessions unknown to the others would keep the client from ever getting a valid one: each of the
        others would only report the last session as expired.
        """
        return NextConnect(self.order[self.position], self.rng.random() * self.backoff.base)

    def on_connection_lost(
        self, served: bool, reached: bool, refused: bool, outlived: bool = False
    ) -> NextConnect:
        """The next connection after one that ended or was never established.

        `served`: a session was established on it. `reached`: the server accepted the connection. `refused`:
        it then closed it before a session was established, as a server does to reject a client that has seen
        a later zxid than its own. `outlived`: the session has timed out by now. Only then is nothing lost by
        starting over, since an overloaded coordinator closes connections as well.
        """
        self.position = (self.position + 1) % len(self.order)
        server = self.order[self.position]
        if served:
            return NextConnect(server, self.rng.random() * self.spread)
        self.tried += 1
        self.refused += refused
        self.accepted += reached
        start_over = False
        if self.tried % len(self.order) == 0:
            rounds = self.tried // len(self.order)
            # A single server that lags refuses as well: the ensemble has lost changes only if every reachable
            # server refuses, in several rounds.
            if outlived and rounds >= REFUSED_ROUNDS and self.accepted and self.refused == self.accepted:
                start_over = True
                self.tried = self.refused = self.accepted = 0
            return NextConnect(server, self.backoff.next(), start_over)
        return NextConnect(server, self.rng.random() * self.backoff.base)
