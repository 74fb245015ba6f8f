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

ENTRY = "settings"
CLASSES_EVERY = 3  # each third version sets the classes, which some sidecars reject
LONGER = 0.01  # share of a deadline by which successive versions that set the classes differ
DIFFERENT = 5  # number of distinct deadlines, proposed in rotation
PROPOSAL_TIME = 5.0  # s to wait for a commit before the next proposal
AUTHOR = "rehearsal"


def change(scenario: Scenario, number: int) -> Change:
    """The change of a proposal: the scenario's attempts or one less, and on each third longer deadlines."""
    attempts = max(1, scenario.limits.attempts - number % 2)
    value: dict[str, Any] = {"limits": {"tryLimit": attempts}}
    if number % CLASSES_EVERY == CLASSES_EVERY - 1:
        factor = 1 + LONGER * (1 + number % DIFFERENT)
        value["classes"] = [
            fields | {"deadline": fields["deadline"] * factor} for fields in class_settings(scenario)
        ]
    return Change(ENTRY, value)


class Proposer:
    """Proposes versions at the scenario's rate and records the outcome of each."""

    def __init__(self, scenario: Scenario, control: ControlInstances, ledger: Ledger, clock: Clock) -> None:
        assert scenario.configuration is not None
        self.scenario = scenario
        self.control = control
        self.ledger = ledger
        self.clock = clock
        self.interval = 60_000 / scenario.configuration.changes_per_minute  # ms

    async def run(self) -> None:
        """Propose until cancelled. A proposal that is not committed in time is recorded and not repeated."""
        begun = self.clock()
        number = 0
        while True:
            due = begun + (number + 0.5) * self.interval
            await asyncio.sleep(max(0.0, due - self.clock()) / 1000)
            await self._propose(number)
            number += 1

    async def _propose(self, number: int) -> None:
        at = self.clock()
        changes = (change(self.scenario, number),)
        result = await propose(self.control.all, changes, AUTHOR, f"change {number}", None, PROPOSAL_TIME)
        index = result.index if result.outcome is Outcome.COMMITTED else None
        self.ledger.proposed.append(ProposedVersion(at, self.clock(), result.outcome.value, index))
