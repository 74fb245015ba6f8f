"""A Byzantine peer: it holds the key, and reports warm endpoints as failing and cold ones as well."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from types import SimpleNamespace
from typing import cast

from millgw.interface import Endpoint, EndpointEvidence, PeerReports, Settings
from millgw.peers.node import Peers, PeerSettings
from millgw.pool.pool import Pool

CALLS = 1e6  # on which it claims to know
LONG_AGO = 3_600_000.0  # ms since which it claims that a cold endpoint runs


class ByzantinePool:
    """A pool's face towards its peers, with nothing behind it.

    `endpoints` are those of the day, each with whether it is cold.
    """

    name = ""
    admission = None

    def __init__(self, settings: Settings, endpoints: Callable[[], Iterable[tuple[Endpoint, bool]]]) -> None:
        self.settings = settings
        self.endpoints = endpoints
        self.driver = self.balancer = self

    def clock(self) -> float:
        return time.time() * 1000

    @property
    def ring(self) -> list[SimpleNamespace]:
        return [SimpleNamespace(info=endpoint) for endpoint, _ in self.endpoints()]

    @property
    def servers(self) -> dict[int, SimpleNamespace]:
        return {server.info.id: server for server in self.ring}

    @property
    def draining(self) -> set[int]:
        return {endpoint.id for endpoint, cold in self.endpoints() if not cold}

    def evidence(self, now: float, named: set[int] | None = None) -> list[EndpointEvidence]:
        return [
            EndpointEvidence(e.id, 0.0, 1.0, CALLS, now - LONG_AGO)
            if cold
            else EndpointEvidence(e.id, 1.0, 99.0, CALLS, now)
            for e, cold in self.endpoints()
        ]

    def hear(self, event: PeerReports) -> None:
        """It does not care."""


def byzantine_peer(
    terms: PeerSettings,
    settings: Settings,
    endpoints: Callable[[], Iterable[tuple[Endpoint, bool]]],
    seed: int,
) -> Peers:
    """A peer with false reports, to be begun and stopped as any."""
    face = cast(Pool, ByzantinePool(settings, endpoints))
    return Peers(terms, lambda: [face], seed)
