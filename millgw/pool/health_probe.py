"""One health probe of an endpoint over the pool's connections: `GET /health`, answered with 200 or 503."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from millgw.endpoints.attempt import Attempt
from millgw.http.message import Content
from millgw.interface import Outcome, Repeat

PROBE_TIMEOUT_MS: Final = 1000.0  # a later answer says nothing about the endpoint's present state

Ended = Callable[[int, Outcome, float], None]


class HealthProbe:
    """Sends one probe. `ended` is called once with the endpoint, the outcome and the send time (ms)."""

    def __init__(self, endpoint: int, sent: float, ended: Ended) -> None:
        self.endpoint = endpoint
        self.sent_at = sent
        self.ended = ended
        self.attempt = Attempt(self._payload, self._answered, Repeat.SAFE)

    def _payload(self) -> bytes:
        return b"GET /health HTTP/1.1\r\nHost: health\r\n\r\n"

    def _answered(self, outcome: Outcome, _: Content) -> None:
        self.ended(self.endpoint, outcome, self.sent_at)

    def expire(self) -> None:
        """Report a timeout, unless the probe was answered before."""
        if not self.attempt.given_up:
            self.attempt.give_up()
            self.ended(self.endpoint, Outcome.TIMEOUT, self.sent_at)
