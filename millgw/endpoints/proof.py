"""When a request's last byte may go with the rest, and when the connection must be proven first. Pure.

A connection that looks open may not be: its endpoint closed it, or resets it at the next request. What is
written in whole to such a one may have run, as far as can be told, and an unsafe call then fails. Holding the
last byte back until the connection has stood the rest proves that nothing ran, and costs the hold's time.

A call that may not simply be made again is always held: that an answer came on the connection a moment ago
proves nothing of the next request. For safe ones a wrong guess costs another attempt, so a recent answer is
proof enough, until the endpoint is seen to break connections under requests.

The last byte also waits until the answer before is so old that nothing more comes behind it: some endpoints
answer a second time some milliseconds later, and that would be taken for the next request's answer. Safe
calls wait for that only where a pool's endpoints were seen to do so, as it would cost most of their speed.

Times are milliseconds.
"""

from __future__ import annotations

from typing import Final

from millgw.interface import Repeat

HOLD_BACK = 2.0  # for which the last byte is held back: more than there and back takes
DOUBT_TIME: Final = 30_000.0  # for which an endpoint that broke a connection under a request is not trusted
PROVEN_SAFE: Final = 1000.0  # since the last answer on it, up to which a connection is proven for safe calls
REST: Final = 5.0  # since an answer, in which something may still come behind it: up to 4 ms were seen


class Proof:
    """What is known of one endpoint's connections: whether it breaks them under requests."""

    __slots__ = ("doubted_until",)

    def __init__(self) -> None:
        self.doubted_until = 0.0

    def broke(self, now: float) -> None:
        """A connection broke, or held bytes that nobody asked for, while a request was on its way to it."""
        self.doubted_until = now + DOUBT_TIME

    def hold(
        self, now: float, repeat: Repeat, reused: bool, answered: float, strays_until: float = 0.0
    ) -> float:
        """How long (ms) to hold back the last byte of a request of this kind; 0 for not at all.

        `answered` is when the last answer came on the connection, where it is `reused`; `strays_until` until
        when answers of the pool's endpoints are expected to have something behind them.
        """
        safe = repeat is Repeat.SAFE
        # A new one was proven by its handshake, but endpoints are seen that reset it at its first request.
        proven = safe and now >= self.doubted_until and (not reused or now - answered <= PROVEN_SAFE)
        hold = 0.0 if proven else HOLD_BACK
        if reused and (not safe or now < strays_until):
            hold = max(hold, answered + REST - now)
        return hold
