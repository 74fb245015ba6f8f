"""A caller's request that is owed one answer, and its attempts that are out."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from millgw.endpoints.attempt import Attempt
from millgw.endpoints.attempt import Intent as Sent
from millgw.http.message import Answer
from millgw.interface import Repeat, SetTimer
from millgw.pool.deadlines import Due
from millgw.streams.flow import Flow
from millgw.streams.upload import Upload


class OpenAttempt:
    """An attempt of a call that is out, by the balancer's words. `sent` in ms on the driver's clock."""

    __slots__ = ("attempt", "endpoint", "sent_at")

    def __init__(self, endpoint: int, sent: float, attempt: Attempt) -> None:
        self.endpoint = endpoint
        self.sent_at = sent
        self.attempt = attempt


class Intent(Sent, Protocol):
    """The same, of the whole call."""

    @property
    def doubtful(self) -> bool:
        """Whether a refusal would promise what is not known: that no process ever sent it."""

    def over(self, token: object, never_ran: bool) -> None:
        """An attempt has ended."""

    def end(self) -> None:
        """The call is answered, or its client has gone."""


class Owner(Protocol):
    """Who answers for a call."""

    def take(self, call: Call) -> None: ...

    def left(self, call: Call) -> None: ...

    def whole(self, call: Call) -> None:
        """The last byte of a body that was passed on as it came has come."""


class Call:
    """A caller's request that is owed one answer. `payload` words an attempt, given the time left in ms."""

    __slots__ = (
        "attempts_sent",
        "build_payload",
        "cls",
        "deadline",
        "gone",
        "id",
        "intent",
        "on_answer",
        "open_attempts",
        "owner",
        "repeat",
        "tenant",
        "timeout",
        "timers",
        "trace_id",
        "upload",
    )  # fmt: skip

    def __init__(
        self,
        cls: int,
        tenant: int,
        timeout: float,
        build_payload: Callable[[int], bytes],
        on_answer: Callable[[Answer], None],
        trace_id: bytes,
        repeat: Repeat,
        owner: Owner,
    ) -> None:
        self.cls = cls
        self.tenant = tenant
        self.timeout = timeout
        self.build_payload = build_payload
        self.on_answer = on_answer
        self.trace_id = trace_id
        self.repeat = repeat
        self.owner = owner
        self.gone: Callable[[], bool] | None = None  # whether its caller has left, as far as can be seen now
        self.intent: Intent | None = None  # where marks are kept of what may not be sent again
        self.upload: Upload | None = None  # its body, where that is passed on as it comes
        self.id = 0
        self.deadline = 0.0
        self.attempts_sent = 0
        self.open_attempts: dict[int, OpenAttempt] = {}
        self.timers: list[Due[Call | SetTimer | Flow]] = []  # its deadline, those of the module
