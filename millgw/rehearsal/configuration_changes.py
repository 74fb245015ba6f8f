"""Proposes configuration versions during a day, within the limits that the scenario allows."""

from __future__ import annotations

import asyncio
from typing import Any

from millgw.configuration.control_client import Outcome, propose
from millgw.configuration.document import Change
from millgw.rehearsal.control_instances import ControlInstances
from millgw.rehearsal.scenario import Scenario
from millgw.rehearsal.sidecars import class_settings
from millgw.standins.configuration_ledger import ProposedVersion
from millgw.standins.http import Clock
from millgw.standins.ledger import Ledger

SETTINGS_ENTRY = "settings"
CLASSES_INTERVAL = 3  # each third version sets the classes, which some sidecars reject
DEADLINE_STEP = 0.01  # share of a deadline by which successive versions that set the classes differ
DISTINCT_DEADLINES = 5  # number of distinct deadlines, proposed in rotation
PROPOSAL_TIMEOUT_S = 5.0  # to wait for a commit before the next proposal
AUTHOR = "rehearsal"


def change_to_propose(scenario: Scenario, number: int) -> Change:
    """The change of a proposal: the scenario's attempts or one less, and on each third longer deadlines."""
    attempts = max(1, scenario.limits.attempts - number % 2)
    value: dict[str, Any] = {"limits": {"tryLimit": attempts}}
    if number % CLASSES_INTERVAL == CLASSES_INTERVAL - 1:
        factor = 1 + DEADLINE_STEP * (1 + number % DISTINCT_DEADLINES)
        value["classes"] = [
            fields | {"deadline": fields["deadline"] * factor} for fields in class_settings(scenario)
        ]
    return Change(SETTINGS_ENTRY, value)


class Proposer:
    """Proposes versions at the scenario's rate and records the outcome of each."""

    def __init__(self, scenario: Scenario, control: ControlInstances, ledger: Ledger, clock: Clock) -> None:
        assert scenario.configuration is not None
        self.scenario = scenario
        self.control = control
        self.ledger = ledger
        self.clock = clock
        self.interval_ms = 60_000 / scenario.configuration.changes_per_minute

    async def run(self) -> None:
        """Propose until cancelled. A proposal that is not committed in time is recorded and not repeated."""
        start = self.clock()
        number = 0
        while True:
            due = start + (number + 0.5) * self.interval_ms
            await asyncio.sleep(max(0.0, due - self.clock()) / 1000)
            await self._propose(number)
            number += 1

    async def _propose(self, number: int) -> None:
        proposed_at = self.clock()
        changes = (change_to_propose(self.scenario, number),)
        result = await propose(
            self.control.all_addresses, changes, AUTHOR, f"change {number}", None, PROPOSAL_TIMEOUT_S
        )
        index = result.index if result.outcome is Outcome.COMMITTED else None
        self.ledger.proposed.append(ProposedVersion(proposed_at, self.clock(), result.outcome.value, index))
