"""The versions that are proposed during a day: bounds within what the day allows."""

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
CLASSES_EVERY = 3  # each third version names the classes, which some sidecars may refuse
LONGER = 0.01  # of a deadline, by which the versions that name the classes differ
DIFFERENT = 5  # deadlines that are proposed in turn
PROPOSAL_TIME = 5.0  # s for a proposal to be committed, after which the next one follows
AUTHOR = "rehearsal"


def change(scenario: Scenario, number: int) -> Change:
    """The change of a day's proposal: one attempt less or as many as the day has, or longer deadlines."""
    attempts = max(1, scenario.limits.attempts - number % 2)
    value: dict[str, Any] = {"limits": {"tryLimit": attempts}}
    if number % CLASSES_EVERY == CLASSES_EVERY - 1:
        factor = 1 + LONGER * (1 + number % DIFFERENT)
        value["classes"] = [
            fields | {"deadline": fields["deadline"] * factor} for fields in class_settings(scenario)
        ]
    return Change(ENTRY, value)


class Proposer:
    """Proposes versions at the scenario's pace, and books how each ended."""

    def __init__(self, scenario: Scenario, control: ControlInstances, ledger: Ledger, clock: Clock) -> None:
        assert scenario.configuration is not None
        self.scenario = scenario
        self.control = control
        self.ledger = ledger
        self.clock = clock
        self.interval = 60_000 / scenario.configuration.changes_per_minute  # ms

    async def run(self) -> None:
        """Propose until cancelled. One that is not committed in time is booked as that and not repeated."""
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
