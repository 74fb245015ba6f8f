"""Generates the operator's file that each sidecar of a day is started with."""

from __future__ import annotations

import json
import random
from collections.abc import Sequence
from pathlib import Path

from millgw.platform.config import Address
from millgw.rehearsal.scenario import Scenario
from millgw.rehearsal.scenario_files import connections_toml
from millgw.rehearsal.sidecars import Sidecar
from millgw.standins.address import free_address
from millgw.standins.discovery_server import DiscoveryServer

SERVICE_DOMAIN = "rehearsal.example"  # domain of the services' host names
JOIN_PEERS = 3  # number of peers of the same stage that each sidecar is given to join


class OperatorFiles:
    """Generates the file of each sidecar: connections, services, peers, store, configuration, places.

    `control` holds the addresses of the day's control instances, if it has any.
    """

    def __init__(
        self,
        scenario: Scenario,
        discovery_server: DiscoveryServer,
        folder: Path,
        control: Sequence[Address] = (),
    ) -> None:
        self.scenario = scenario
        self.control_addresses = tuple(control)
        self.discovery_server = discovery_server
        self.peer_addresses: dict[int, dict[str, Address]] = {}  # peer addresses by stage and sidecar
        self.key_file = folder / "peers.key"
        if scenario.peers is not None:
            self.key_file.write_text(random.Random(f"key {scenario.seed}").randbytes(16).hex())

    def add_peer(self, sidecar: Sidecar) -> None:
        """Allocate a sidecar's peer address, on a day with peers."""
        if self.scenario.peers is not None:
            self.peer_addresses.setdefault(sidecar.stage, {})[sidecar.name] = free_address()

    def join_addresses(self, stage: int) -> tuple[Address, ...]:
        """The peer addresses that each sidecar of a stage is given to join."""
        return tuple(list(self.peer_addresses[stage].values())[:JOIN_PEERS])

    def text(self, sidecar: Sidecar, without: str = "") -> str:
        """The file of a sidecar, with all services except `without`."""
        lines = [
            connections_toml(self.scenario),
            self._peers_toml(sidecar),
            self._store_toml(sidecar),
            self._configuration_toml(sidecar),
            self._places_toml(sidecar),
        ]
        for tier, service in enumerate(self.scenario.services, 1):
            if service.name != without:
                address = self.discovery_server.address_for(sidecar.name, tier)
                classes = ", ".join(f'"{name}"' for name in service.classes)
                lines += [f"[services.{service.name}]", f'discovery = "{address}"', f"classes = [{classes}]"]
                lines += ["[[routes]]", f'to = "{service.name}"', f'host = "{service.name}.{SERVICE_DOMAIN}"']
        return "\n".join(lines)

    def _peers_toml(self, sidecar: Sidecar) -> str:
        """The [peers] table: sidecars learn from those of their own stage."""
        peers = self.scenario.peers
        if peers is None:
            return ""
        join = [str(address) for address in self.join_addresses(sidecar.stage)]
        return "\n".join(
            [
                "[peers]",
                f'listen = "{self.peer_addresses[sidecar.stage][sidecar.name]}"',
                f"join = {json.dumps(join)}",
                f"keys = {json.dumps([str(self.key_file)])}",
                f"within_ms = {peers.within_ms:g}",
            ]
        )

    def _store_toml(self, sidecar: Sidecar) -> str:
        """The [store] table: where a sidecar records unsafe calls, across all its processes."""
        store = self.scenario.store
        if store is None:
            return ""
        directories = [str(sidecar.directory / f"store-{number}") for number in range(store.mirrors)]
        return f'[store]\ndirectories = {json.dumps(directories)}\nsync = "{store.sync}"'

    def _places_toml(self, sidecar: Sidecar) -> str:
        """The [places] table: the zone of the sidecar's endpoint, or one of the front's zones."""
        zones = self.scenario.zones
        if zones is None or not zones.places:
            return ""
        zone = zones.of_endpoint(sidecar.index) if sidecar.stage else zones.of_front(sidecar.index)
        regions = [f"{name} = {json.dumps(list(members))}" for name, members in zones.regions.items()]
        return "\n".join(["[places]", f'zone = "{zone}"', "[places.regions]", *regions])

    def _configuration_toml(self, sidecar: Sidecar) -> str:
        """The [configuration] table: the control instances, and where the last good version is kept."""
        if not self.control_addresses:
            return ""
        instances = [str(address) for address in self.control_addresses]
        directory = str(sidecar.directory / "configuration")
        return f"[configuration]\ninstances = {json.dumps(instances)}\ndirectory = {json.dumps(directory)}"
