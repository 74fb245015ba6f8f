"""When a request's last byte may go with the rest, and when the connection must be proven first. Pure.

A connection that looks open may not be: its endpoint closed it, or resets it at the next request. What is
written in whole to such a one may have run, as far as can be told, and an unsafe call then fails. Holding the
last byte back until the connection has stood the rest proves that nothing ran, and costs the hold's time.

An unsafe call is always held: that an answer came on the connection a moment ago proves nothing of the next
request, and a wrong guess costs the call. For others a wrong guess costs another attempt, so a recent answer
is proof enough, until the endpoint is seen to break connections under requests.

Times are milliseconds.
"""

from __future__ import annotations

from typing import Final

from millgw.interface import Repeat

HOLD_BACK = 2.0  # for which the last byte is held back: more than there and back takes
DOUBT_TIME: Final = 30_000.0  # for which an endpoint that broke a connection under a request is not trusted
PROVEN_KEYED: Final = 5.0  # since the last answer on it, up to which a connection is proven for keyed calls
PROVEN_SAFE: Final = 1000.0  # and for safe ones, which any endpoint may be sent again


class Proof:
    """What is known of one endpoint's connections: whether it breaks them under requests."""

    __slots__ = ("doubted_until",)

    def __init__(self) -> None:
        self.doubted_until = 0.0

    def broke(self, now: float) -> None:
        """A connection broke, or held bytes that nobody asked for, while a request was on its way to it."""
        self.doubted_until = now + DOUBT_TIME

    def hold(self, now: float, repeat: Repeat, reused: bool, answered: float) -> float:
        """How long (ms) to hold back the last byte of a request of this kind; 0 for not at all.

        `answered` is when the last answer came on the connection, where it is `reused`.
        """
        if repeat is Repeat.UNSAFE or now < self.doubted_until:
            return HOLD_BACK
        if not reused:
            # A new one was proven by its handshake, but endpoints are seen that reset it at its first
            # request.
            return 0.0 if repeat is Repeat.SAFE else HOLD_BACK
        proven = PROVEN_KEYED if repeat is Repeat.KEYED else PROVEN_SAFE
        return 0.0 if now - answered <= proven else HOLD_BACK
