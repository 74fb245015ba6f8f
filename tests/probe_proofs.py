"""Checks refusals during a discovery outage: a call may be refused only if no health probe was answered.

The stand-in endpoint records when it answered probes; each refusal is compared with these times.
"""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from millgw.standins.http import Message
from millgw.standins.scripted import ScriptedEndpoint

PROVEN_FOR = 1.5  # s after its answer that a probe proves an endpoint at least (2 s from its sending)
READ_WITHIN = 0.5  # s in which a sidecar on a busy machine has read an answer
PROBED_WITHIN = 1.0  # s before or after a refusal in which there was a probe: they are at most 0.5 s apart

Script = Callable[[Message, ScriptedEndpoint], Awaitable[bytes]]


@dataclass(frozen=True)
class TimedAnswer:
    """When (s, monotonic) a caller got its answer, and the status."""

    at: float
    status: int


@dataclass
class ProbeRecord:
    """When (s, monotonic) one endpoint answered health probes."""

    answered: list[float] = field(default_factory=list)

    def noting(self, script: Script) -> Script:
        """Wrap an endpoint's script so that its answers to probes are recorded."""

        async def answer(message: Message, endpoint: ScriptedEndpoint) -> bytes:
            response = await script(message, endpoint)
            if message.first_line.startswith("GET /health"):
                self.answered.append(time.monotonic())
            return response

        return answer

    def unexplained_refusals(self, answers: list[TimedAnswer]) -> list[TimedAnswer]:
        """The refusals although an answered probe proved the endpoint, or without a probe near them."""
        return [answer for answer in answers if answer.status != 200 and not self._explains(answer)]

    def _explains(self, refusal: TimedAnswer) -> bool:
        proven = any(READ_WITHIN <= refusal.at - answered <= PROVEN_FOR for answered in self.answered)
        asked = any(abs(refusal.at - answered) <= PROBED_WITHIN for answered in self.answered)
        return refusal.status == 503 and asked and not proven
