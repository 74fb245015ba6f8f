"""Log events on why a caller's connection, or a request on it, ended without an answer."""

from __future__ import annotations

import asyncio
from typing import Final

from millgw.http.request import BadRequest
from millgw.log.events import log_event

GIVES_WAY: Final = "gives way"
SILENT: Final = "silent since it connected"
IDLE: Final = "idle"
ENDING: Final = "clients are sent away"
STUCK: Final = "its client reads no answer"
CLIENT_LEFT: Final = "its client left"


def client_address(transport: asyncio.Transport | None) -> str:
    """A client's address and port; empty where they are not known any more."""
    peer = None if transport is None else transport.get_extra_info("peername")
    return f"{peer[0]}:{peer[1]}" if peer else ""


def log_closed(client: str, cause: str, requests: int, age: float, quiet: float) -> None:
    """This side has closed a connection; `age` and `quiet` are s since it connected and was last used."""
    age_ms, quiet_ms = milliseconds(age), milliseconds(quiet)
    log_event(
        "caller-connection-closed",
        client=client, cause=cause, requests=requests, age_ms=age_ms, quiet_ms=quiet_ms,
    )  # fmt: skip


def log_unanswered(client: str, cause: str, requests: int, age: float, quiet: float) -> None:
    """A connection has ended with requests on it that have no answer."""
    age_ms, quiet_ms = milliseconds(age), milliseconds(quiet)
    log_event(
        "requests-unanswered",
        client=client, cause=cause, requests=requests, age_ms=age_ms, quiet_ms=quiet_ms,
    )  # fmt: skip


def log_turned_away(client: str, bad: BadRequest, requests: int, age: float, quiet: float) -> None:
    """A request that can't be read or taken is answered; `age` and `quiet` are s since it began to come in
    and since its client last sent anything."""
    log_event(
        "request-turned-away",
        status=bad.status, cause=bad, client=client, call=bad.trace, came=bad.came.value,
        requests=requests, age_ms=milliseconds(age), quiet_ms=milliseconds(quiet),
    )  # fmt: skip


def milliseconds(seconds: float) -> float:
    """Seconds as the log tells them."""
    return round(seconds * 1000, 1)
