"""Byzantine peers: they hold the shared key and send false reports to the front sidecars."""

from __future__ import annotations

from collections.abc import Iterable

from millgw.interface import Endpoint as Listing
from millgw.peers.node import Peers, PeerSettings
from millgw.platform.discovery import endpoint_id
from millgw.rehearsal.operator_files import OperatorFiles
from millgw.rehearsal.scenario import Scenario
from millgw.rehearsal.sidecars import settings
from millgw.settings import to_settings
from millgw.standins.address import free_address
from millgw.standins.byzantine_peer import byzantine_peer
from millgw.standins.endpoint import Endpoint
from millgw.standins.http import Clock


class ByzantinePeers:
    """The byzantine peers of one day, and the endpoints that they report on."""

    def __init__(
        self, scenario: Scenario, files: OperatorFiles, endpoints: dict[str, Endpoint], clock: Clock
    ) -> None:
        self.scenario = scenario
        self.files = files
        self.endpoints = endpoints
        self.clock = clock
        self.running: list[Peers] = []

    async def start(self) -> None:
        """Start the peers and join them to the front sidecars."""
        peers = self.scenario.peers
        if peers is None:
            return
        siblings = len(self.files.peer_addresses[0])
        for number in range(peers.byzantine):
            sidecar_settings = to_settings(settings(self.scenario, 0, 0, siblings))
            peer_settings = PeerSettings(
                free_address(), self.files.join_addresses(0), (str(self.files.key_file),), 0.0
            )
            self.running.append(
                byzantine_peer(
                    peer_settings, sidecar_settings, self._first_tier_coldness, self.scenario.seed + number
                )
            )
            await self.running[-1].start()

    def stop(self) -> None:
        for peer in self.running:
            peer.stop()

    def _first_tier_coldness(self) -> list[tuple[Listing, bool]]:
        """The running endpoints of the first tier, each with whether it is cold."""
        serving = (
            endpoint for endpoint in self.endpoints.values() if endpoint.options.tier == 1 and endpoint.up
        )
        return list(self._with_coldness(serving))

    def _with_coldness(self, endpoints: Iterable[Endpoint]) -> Iterable[tuple[Listing, bool]]:
        for endpoint in endpoints:
            life = endpoint.latest_life()
            cold = life.cold_ms > 0 and self.clock() < life.start + life.cold_ms
            since = float(endpoint.since_unix_ms())
            yield Listing(endpoint_id(endpoint.options.name), started_at=since), cold
