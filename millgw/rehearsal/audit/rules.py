"""The limits of the four rules that a day is audited by."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from millgw.rehearsal.scenario import Scenario, refusing_sidecars
from millgw.standins.capacity import mean_work

MAX_NOTIFICATION_DELAY_MS = 6000.0  # a change counts as told by then, whatever the settings


class RepeatPolicy(Enum):
    """How far requests of a class may be repeated, by the operators' names."""

    RETRYABLE = "retryable"
    DEDUP = "dedup"
    FRAGILE = "fragile"


@dataclass(slots=True, frozen=True)
class ClassRules:
    """How a class may be repeated. `window` (ms): how long a group recognizes a repeated key.

    `tier_is_one_group`: all endpoints of a tier drop each other's repeats.
    """

    repeat: RepeatPolicy
    window: float = 0.0
    tier_is_one_group: bool = False


@dataclass(slots=True, frozen=True)
class AuditRules:
    """The rules' limits. Times are in ms; `mean_work` is the mean core-ms of a request by tier."""

    classes: Mapping[str, ClassRules]
    drain_grace: float = 500.0
    fall_multiple: float = 2.5
    fall_window: float = 1000.0
    ask_within: float = MAX_NOTIFICATION_DELAY_MS
    max_attempts: int = 3
    mean_work: Mapping[int, float] = field(default_factory=dict)
    distributed: bool = False  # whether sidecars follow a distributed configuration
    refusing_sidecars: frozenset[str] = frozenset()  # sidecars that can't apply some of its versions


def audit_rules(scenario: Scenario) -> AuditRules:
    """The limits that a scenario sets."""
    return AuditRules(
        classes={c.name: ClassRules(RepeatPolicy(c.repeat), c.window_ms) for c in scenario.classes},
        drain_grace=scenario.rules.drain_grace_ms,
        fall_multiple=scenario.rules.fall_multiple,
        fall_window=scenario.rules.fall_ms,
        ask_within=min(scenario.rules.ask_within_ms, MAX_NOTIFICATION_DELAY_MS),
        max_attempts=scenario.limits.attempts,
        mean_work={
            tier: mean_work(
                (scenario.request_share(cls, tier), cls.work_ms * part) for cls in scenario.classes
            )
            for tier, part in enumerate(scenario.work_shares(), 1)
        },
        distributed=scenario.configuration is not None,
        refusing_sidecars=refusing_sidecars(scenario),
    )
