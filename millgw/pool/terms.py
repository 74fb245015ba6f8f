"""What a request must be like to be taken as a call, by a pool's settings."""

from __future__ import annotations

import time
from collections.abc import Callable
from functools import partial

from millgw.http.message import Answer
from millgw.http.request import BadRequest, Head, word
from millgw.interface import Repeat, Settings
from millgw.log.events import log_event
from millgw.pool.call import Call, Owner

MAX_TIMEOUT_DIGITS = 9  # of X-Expires-In-Ms: enough for any wait, and a number that is cheap to read


def parse_timeout(header: bytes) -> float:
    """The ms of X-Expires-In-Ms; a BadRequest where it is missing or not whole milliseconds.

    None left is no fault of the request: an earlier tier has used its time up. It is a call like any other,
    and the module gives it up at once. Bounded by the caller, as timers live that long.
    """
    if not header.isdigit() or len(header) > MAX_TIMEOUT_DIGITS:
        raise BadRequest(400, "X-Expires-In-Ms is missing or not whole milliseconds")
    return float(header)


class CallFactory:
    """Makes calls of requests; all are `owner`'s."""

    def __init__(self, settings: Settings, owner: Owner) -> None:
        self.owner = owner
        self.reconfigure(settings)

    def reconfigure(self, settings: Settings) -> None:
        """Make calls by other settings; calls that are open keep the terms on which they were taken."""
        self.settings = settings
        self.classes = {c.name.encode(): i for i, c in enumerate(settings.classes)}
        self.tenants = {t.name.encode(): i for i, t in enumerate(settings.tenants)}

    def call(self, head: Head, on_answer: Callable[[Answer], None]) -> Call:
        """The call that a request to /api makes; a BadRequest tells what is wrong with it."""
        values = head.values
        trace_id = values.get(b"x-trace-id", b"")
        if not trace_id:
            raise BadRequest(400, "X-Trace-Id is missing")
        index = self.classes.get(values.get(b"x-qos", b""))
        if index is None:
            raise BadRequest(400, "X-Qos is missing or names no class")
        cls = self.settings.classes[index]
        if head.method != (b"GET" if cls.repeat is Repeat.SAFE else b"POST"):
            raise BadRequest(405, "the method does not fit the class")
        if cls.repeat is Repeat.KEYED and not values.get(b"idempotency-key"):
            # Guards against a repeat that no endpoint could recognise.
            raise BadRequest(400, "Idempotency-Key is missing")
        timeout = min(parse_timeout(values.get(b"x-expires-in-ms", b"")), cls.deadline)
        if not head.long:  # else its time counts from its last byte, which is yet to come
            waited = (time.monotonic() - head.ended) * 1000
            if timeout <= waited:
                shown = trace_id.decode("ascii", "backslashreplace")
                log_event("no-time-left", call=shown, told_ms=timeout, waited_ms=round(waited, 1))
            timeout -= waited
        tenant = self.tenants.get(values.get(b"x-customer", b""), len(self.tenants))
        return Call(index, tenant, timeout, partial(word, head), on_answer, trace_id, cls.repeat, self.owner)
