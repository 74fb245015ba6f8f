"""A client request that must get exactly one answer, and its open attempts."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from millgw.endpoints.attempt import Attempt
from millgw.endpoints.attempt import Intent as Sent
from millgw.http.message import Answer
from millgw.interface import Repeat, SetTimer
from millgw.pool.timer_queue import TimerEntry
from millgw.streams.flow import Flow
from millgw.streams.upload import Upload

ANSWER_MARGIN_MS = 30.0  # ms before the client's deadline at which a call ends here, as a busy loop is late


class OpenAttempt:
    """An open attempt of a call, as the balancer ordered it. `sent_at` is in ms on the driver's clock."""

    __slots__ = ("attempt", "endpoint", "sent_at")

    def __init__(self, endpoint: int, sent_at: float, attempt: Attempt) -> None:
        self.endpoint = endpoint
        self.sent_at = sent_at
        self.attempt = attempt


class Intent(Sent, Protocol):
    """The intent of a whole call: a record that the call may be sent, kept so that it is not sent twice."""

    @property
    def may_have_been_sent(self) -> bool:
        """Whether another process may have sent this call: a refusal would wrongly promise it never ran."""

    def over(self, token: object, never_ran: bool) -> None:
        """An attempt has ended; `never_ran` is set if it certainly had no effect."""

    def end(self) -> None:
        """The call is answered, or its client has gone."""


class Owner(Protocol):
    """Responsible for the answer to a call."""

    def accept(self, call: Call) -> None: ...

    def client_left(self, call: Call) -> None: ...

    def body_complete(self, call: Call, waited: float) -> None:
        """The last byte of a streamed request body was read; it was written up to `waited` ms before."""

    def body_overdue(self, call: Call) -> None:
        """The time of a call is over, although its streamed body was not read to its end."""


class Call:
    """A client request that must get one answer.

    `class_index` and `tenant` are indexes into the settings; `timeout` is in ms. `build_payload` returns the
    request bytes of an attempt, given the remaining time in ms.
    """

    __slots__ = (
        "attempts_sent",
        "build_payload",
        "class_index",
        "client_gone",
        "deadline",
        "id",
        "intent",
        "may_have_run",
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
        class_index: int,
        tenant: int,
        timeout: float,
        build_payload: Callable[[int], bytes],
        on_answer: Callable[[Answer], None],
        trace_id: bytes,
        repeat: Repeat,
        owner: Owner,
    ) -> None:
        self.class_index = class_index
        self.tenant = tenant
        self.timeout = timeout
        self.build_payload = build_payload
        self.on_answer = on_answer
        self.trace_id = trace_id
        self.repeat = repeat
        self.owner = owner
        self.client_gone: Callable[[], bool] | None = None  # whether the client is seen to have disconnected
        self.intent: Intent | None = None  # set for unsafe calls whose sends are recorded
        self.upload: Upload | None = None  # set if the request body is streamed
        self.id = 0
        self.deadline = 0.0
        self.attempts_sent = 0
        self.may_have_run = False  # whether an attempt has ended that may have had an effect
        self.open_attempts: dict[int, OpenAttempt] = {}
        self.timers: list[
            TimerEntry[Call | SetTimer | Flow]
        ] = []  # for its deadline and those set by the module
