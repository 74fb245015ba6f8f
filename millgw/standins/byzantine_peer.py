"""A Byzantine peer: it has the shared key, and reports warm endpoints as failing and cold ones as healthy."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from types import SimpleNamespace
from typing import cast

from millgw.interface import Endpoint, EndpointEvidence, PeerReports, Settings
from millgw.peers.node import Peers, PeerSettings
from millgw.pool.pool import Pool

CLAIMED_CALLS = 1e6  # the number of calls on which it claims that its reports are based
CLAIMED_AGE = 3_600_000.0  # ms for which it claims that a cold endpoint has been running


class ByzantinePool:
    """The part of the `Pool` interface that peers use, with made-up evidence.

    `endpoints` returns all endpoints of the rehearsal, each with whether it is cold.
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
            EndpointEvidence(e.id, 0.0, 1.0, CLAIMED_CALLS, now - CLAIMED_AGE)
            if cold
            else EndpointEvidence(e.id, 1.0, 99.0, CLAIMED_CALLS, now)
            for e, cold in self.endpoints()
        ]

    def handle_peer_reports(self, event: PeerReports) -> None:
        """Ignore the reports of other peers."""


def byzantine_peer(
    peer_settings: PeerSettings,
    settings: Settings,
    endpoints: Callable[[], Iterable[tuple[Endpoint, bool]]],
    seed: int,
) -> Peers:
    """Return a peer that sends false reports; it is started and stopped like any other."""
    pool = cast(Pool, ByzantinePool(settings, endpoints))
    return Peers(peer_settings, lambda: [pool], seed)
