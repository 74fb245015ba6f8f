"""State shared by all connections to one endpoint at one address."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from millgw.endpoints.attempt import Attempt
from millgw.endpoints.hold_policy import HoldPolicy
from millgw.platform.config import Address

if TYPE_CHECKING:
    from millgw.endpoints.connection import Connection


class Host:
    """One run of an endpoint process at one address: its kept connections, and attempts still connecting.

    `last_connect_failure` is when (ms, monotonic) a connect failed, `last_broken` when the endpoint last
    closed, reset
    or refused a connection. Membership asks for both when an endpoint's registration disappears.
    `near` tells whether the endpoint is told to be in the sidecar's zone.
    """

    __slots__ = (
        "address",
        "connecting",
        "hold_policy",
        "idle",
        "in_use",
        "last_broken",
        "last_connect_failure",
        "near",
        "started_at",
    )

    def __init__(self, address: Address, started_at: float, near: bool = False) -> None:
        self.address = address
        self.started_at = started_at
        self.near = near
        self.in_use = True
        self.idle: list[Connection] = []  # the most recently used is last, and is reused first
        self.connecting: dict[Attempt, None] = {}  # attempts that wait for a connection, oldest first
        self.hold_policy = HoldPolicy()
        self.last_connect_failure = -math.inf
        self.last_broken = -math.inf
