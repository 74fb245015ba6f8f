"""Log events for callers' connections that were closed, and for unanswered and refused requests."""

from __future__ import annotations

import asyncio
from typing import Final

from millgw.http.request import BadRequest
from millgw.log.events import log_event

CAUSE_EVICTED: Final = "evicted to make room"
CAUSE_NO_REQUEST: Final = "no request since it connected"
CAUSE_IDLE: Final = "idle"
CAUSE_DRAINING: Final = "this process is draining or ending"
CAUSE_STALLED: Final = "client stopped reading answers"
CAUSE_DISCONNECTED: Final = "client disconnected"


def client_address(transport: asyncio.Transport | None) -> str:
    """A client's address and port; empty if they are no longer known."""
    peer = None if transport is None else transport.get_extra_info("peername")
    return f"{peer[0]}:{peer[1]}" if peer else ""


def log_closed(client: str, cause: str, requests: int, age: float, quiet: float) -> None:
    """Log a connection that this side closes; `age` and `quiet`: s since it connected and was last used."""
    age_ms, quiet_ms = milliseconds(age), milliseconds(quiet)
    log_event(
        "caller-connection-closed",
        client=client, cause=cause, requests=requests, age_ms=age_ms, quiet_ms=quiet_ms,
    )  # fmt: skip


def log_unanswered(client: str, cause: str, requests: int, age: float, quiet: float) -> None:
    """Log a connection that ended with unanswered requests.

    `age` and `quiet` are seconds since it connected and since its client last sent anything.
    """
    age_ms, quiet_ms = milliseconds(age), milliseconds(quiet)
    log_event(
        "requests-unanswered",
        client=client, cause=cause, requests=requests, age_ms=age_ms, quiet_ms=quiet_ms,
    )  # fmt: skip


def log_refused(client: str, bad: BadRequest, requests: int, age: float, quiet: float) -> None:
    """Log a request that is refused as malformed or unacceptable.

    `age` and `quiet` are seconds since its first byte and since its client last sent anything.
    """
    log_event(
        "request-turned-away",
        status=bad.status, cause=bad, client=client, call=bad.trace_id, came=bad.stage.value,
        requests=requests, age_ms=milliseconds(age), quiet_ms=milliseconds(quiet),
    )  # fmt: skip


def milliseconds(seconds: float) -> float:
    """Seconds converted to the log's unit, rounded to 0.1 ms."""
    return round(seconds * 1000, 1)
