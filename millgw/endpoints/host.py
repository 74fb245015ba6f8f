"""What the connections to one endpoint at one address share."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from millgw.endpoints.attempt import Attempt
from millgw.endpoints.proof import Proof
from millgw.platform.config import Address

if TYPE_CHECKING:
    from millgw.endpoints.connection import Connection


class Host:
    """One life of an endpoint at one address: kept connections, and attempts still connecting to it.

    `missed` and `broken` are when (ms, monotonic) a connection last did not come up, or was ended by the
    other side: what membership asks when an endpoint's registration has gone.
    """

    __slots__ = ("address", "broken", "connecting", "idle", "missed", "proof", "since", "used")

    def __init__(self, address: Address, since: float) -> None:
        self.address = address
        self.since = since
        self.used = True
        self.idle: list[Connection] = []  # the last used at the end, which goes first
        self.connecting: dict[Attempt, None] = {}  # attempts that wait for a connection, the oldest first
        self.proof = Proof()
        self.missed = -math.inf
        self.broken = -math.inf
