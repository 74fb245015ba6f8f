"""The interfaces of fault injection: the targets of faults, and an injection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from millgw.rehearsal.control_instances import ControlInstances
from millgw.rehearsal.coordination import Coordination
from millgw.rehearsal.fault_plan import PlannedFault
from millgw.rehearsal.front import Front
from millgw.rehearsal.scenario import Scenario
from millgw.rehearsal.sidecars import Sidecar
from millgw.standins.discovery_server import Delays, DiscoveryServer
from millgw.standins.endpoint import Endpoint
from millgw.standins.endpoint_options import EndpointOptions
from millgw.standins.endpoint_registry import Entry
from millgw.standins.http import Clock
from millgw.standins.ledger import Ledger

Injection = Callable[[PlannedFault], Coroutine[Any, Any, None]]
"""Injects one planned fault, and ends it after its duration."""


class FaultTargets(Protocol):
    """The parts of a day that faults are injected into, and the operations on them."""

    scenario: Scenario
    clock: Clock
    ledger: Ledger
    discovery_server: DiscoveryServer
    delays: Delays
    front: Front
    endpoints: dict[str, Endpoint]
    sidecars: dict[str, Sidecar]
    coordination: Coordination | None
    control: ControlInstances | None
    say: Callable[[str], None]

    def abort(self, error: BaseException) -> None: ...

    def operator(self, sidecar: str, without: str = "") -> str: ...

    def registry_entry(self, endpoint: Endpoint, status: str) -> Entry: ...

    def publish_status(self, endpoint: Endpoint, status: str, late: tuple[float, float]) -> None: ...

    def silence_endpoint(self, endpoint: Endpoint) -> None: ...

    def stop_endpoint(self, endpoint: Endpoint) -> None: ...

    async def restart_endpoint_cold(self, endpoint: Endpoint) -> None: ...

    def replace(self, old: Endpoint, build: EndpointOptions) -> Endpoint: ...


async def wait_for_end(fault: PlannedFault) -> None:
    """Wait for the duration of a fault."""
    await asyncio.sleep((fault.until - fault.at) / 1000)
