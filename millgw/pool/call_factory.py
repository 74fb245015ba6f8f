"""Validates requests against a pool's settings and makes calls of them."""

from __future__ import annotations

import time
from collections.abc import Callable
from functools import partial

from millgw.http.message import Answer
from millgw.http.request import BadRequest, Head, encode_request
from millgw.interface import Repeat, Settings
from millgw.log.events import log_event
from millgw.pool.call import Call, Owner

MAX_TIMEOUT_DIGITS = 9  # of X-Expires-In-Ms: enough for any timeout, and cheap to parse


def parse_timeout(header: bytes) -> float:
    """Parse X-Expires-In-Ms; raises BadRequest if it is missing or not whole milliseconds.

    A value of 0 is valid: an earlier tier has used up the time, and the module gives the call up at once.
    The code that calls this bounds the value, as timers live that long.
    """
    if not header.isdigit() or len(header) > MAX_TIMEOUT_DIGITS:
        raise BadRequest(400, "X-Expires-In-Ms is missing or not whole milliseconds")
    return float(header)


class CallFactory:
    """Makes calls of requests; `owner` is responsible for all of them."""

    def __init__(self, settings: Settings, owner: Owner) -> None:
        self.owner = owner
        self.reconfigure(settings)

    def reconfigure(self, settings: Settings) -> None:
        """Use other settings for new calls; open calls keep those under which they were accepted."""
        self.settings = settings
        self.classes = {c.name.encode(): i for i, c in enumerate(settings.classes)}
        self.tenants = {t.name.encode(): i for i, t in enumerate(settings.tenants)}

    def make_call(self, head: Head, on_answer: Callable[[Answer], None]) -> Call:
        """Make the call of a request to /api; raises BadRequest if the request is invalid."""
        values = head.headers
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
            # Without the key, no endpoint could recognise a repeat.
            raise BadRequest(400, "Idempotency-Key is missing")
        timeout = min(parse_timeout(values.get(b"x-expires-in-ms", b"")), cls.deadline)
        if not head.streams_body:  # otherwise the timeout counts from the last byte, which is yet to arrive
            waited = (time.monotonic() - head.received_at) * 1000
            if timeout <= waited:
                shown = trace_id.decode("ascii", "backslashreplace")
                log_event("no-time-left", call=shown, told_ms=timeout, waited_ms=round(waited, 1))
            timeout -= waited
        tenant = self.tenants.get(values.get(b"x-customer", b""), len(self.tenants))
        return Call(
            index, tenant, timeout, partial(encode_request, head), on_answer, trace_id, cls.repeat, self.owner
        )
