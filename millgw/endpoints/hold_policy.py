"""Policy for holding back a request's last byte until the connection is known to work. No I/O, no clock.

A connection that looks open may be dead: its endpoint closed it, or resets it at the next request. A request
that was written completely to such a connection may have run, as far as the sender can tell, and an unsafe
call then fails. If the last byte is held back until the connection has carried the rest without breaking, a
break before that proves that nothing ran. This delays the request by the hold time.

Calls that can't simply be repeated are always held: a recent answer on the connection says nothing about the
next request. For safe calls a wrong guess only costs another attempt, so a recent answer is enough, until the
endpoint is seen to break connections under requests.

The last byte also waits until nothing more is expected behind the previous answer: some endpoints send a
second answer some milliseconds later, which would be taken for the answer to the next request. Safe calls
wait for that only in pools whose endpoints were seen to do so, because it would cost most of their speed.

Times are in milliseconds.
"""

from __future__ import annotations

from typing import Final

from millgw.interface import Repeat

LAST_BYTE_HOLD_TIME = 2.0  # ms that the last byte is held back: more than a network round trip
DISTRUST_TIME: Final = 30_000.0  # ms without trust in an endpoint after it broke a connection under a request
SAFE_REUSE_TIME: Final = 1000.0  # ms after an answer during which its connection is trusted for safe calls
SETTLE_TIME: Final = 5.0  # ms after an answer in which more bytes may follow it: up to 4 ms were observed


class HoldPolicy:
    """Decides how long to hold back last bytes for one endpoint, by whether it broke connections recently."""

    __slots__ = ("distrusted_until",)

    def __init__(self) -> None:
        self.distrusted_until = 0.0

    def note_broken(self, now: float) -> None:
        """Note that a connection broke, or held unexpected bytes, while a request was being sent on it."""
        self.distrusted_until = now + DISTRUST_TIME

    def hold_time(
        self, now: float, repeat: Repeat, reused: bool, answered_at: float, strays_until: float = 0.0
    ) -> float:
        """How long (ms) to hold back the last byte of a request of this kind; 0 for not at all.

        `answered_at` is when the last answer came on the connection, if it is `reused`. Until
        `strays_until`, more bytes are expected behind the answers of the pool's endpoints.
        """
        safe = repeat is Repeat.SAFE
        # The handshake shows that a new connection works, but some endpoints reset it at its first request.
        trusted = (
            safe and now >= self.distrusted_until and (not reused or now - answered_at <= SAFE_REUSE_TIME)
        )
        hold = 0.0 if trusted else LAST_BYTE_HOLD_TIME
        if reused and (not safe or now < strays_until):
            hold = max(hold, answered_at + SETTLE_TIME - now)
        return hold
