"""Builds the options of the simulated endpoints of a scenario's tiers."""

from __future__ import annotations

import random

from millgw.rehearsal.scenario import Class, Scenario
from millgw.standins.address import free_address
from millgw.standins.endpoint_options import ONE_ZONE, ClassCost, EndpointOptions


def tier_sizes(scenario: Scenario) -> tuple[int, ...]:
    """Number of endpoints per tier. Services are parallel tiers: no service's endpoints call another's."""
    return tuple(service.endpoints for service in scenario.services) or scenario.fleet.tier_sizes()


def is_last_tier(scenario: Scenario, tier: int) -> bool:
    """Whether the endpoints of a tier (1, 2, ...) call no others."""
    return bool(scenario.services) or tier == len(scenario.fleet.tiers)


def tasks_of_tier(scenario: Scenario, tier: int) -> dict[str, ClassCost]:
    """What a request of each class costs an endpoint of a tier."""
    return {cls.name: _task(scenario, tier, cls) for cls in scenario.classes}


def _task(scenario: Scenario, tier: int, cls: Class) -> ClassCost:
    share = scenario.work_shares()[tier - 1]
    last = is_last_tier(scenario, tier)
    return ClassCost(
        work=cls.work_ms * share,
        wait=cls.wait_ms * share,
        cv=cls.cv,
        deadline=cls.deadline_ms,
        keyed=cls.repeat == "dedup",
        window=cls.window_ms,
        calls=0.0 if last else scenario.fleet.calls[tier - 1],
        answer=int(cls.answer_kb * 1024) if tier == 1 else 0,
        pace=cls.pace_kb_s * 1024,
        share=scenario.request_share(cls, tier),
    )


def builds_of_tier(scenario: Scenario, tier: int, size: int) -> list[EndpointOptions]:
    """The endpoints of a tier, drawn from the scenario's seed."""
    rng = random.Random(f"tier {scenario.seed} {tier}")
    return [_build(scenario, tier, index, rng) for index in range(size)]


def _build(scenario: Scenario, tier: int, index: int, rng: random.Random) -> EndpointOptions:
    fleet = scenario.fleet
    weights = [kind.share for kind in fleet.kinds]
    return EndpointOptions(
        name=f"s-{rng.getrandbits(32):08x}",
        tier=tier,
        cell=index // fleet.group,
        zone=scenario.zones.of_endpoint(index) if scenario.zones is not None else ONE_ZONE,
        address=free_address(),
        speed=rng.choices([kind.speed for kind in fleet.kinds], weights)[0] * rng.uniform(0.9, 1.1),
        cores=fleet.cores,
        slots=fleet.slots,
        waiting=fleet.waiting,
        connections=fleet.connections,
        handshake_work=fleet.handshake_work_ms,
        handshake_ms=fleet.handshake_ms,
        idle=fleet.idle_s * fleet.idle_part * 1000,
        idle_random=fleet.idle_random,
        uses=fleet.uses,
        cold_share=fleet.cold_share,
        cold_ms=fleet.cold_s * 1000,
        drops_waiting=fleet.drops_waiting,
        probing=scenario.limits.probing,
        drains_serving=fleet.drains_serving,
        drains_healthy=fleet.drains_healthy,
    )
