"""Draws random fault schedules, and shrinks one to the smallest that still does harm. No I/O."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterator

from msgspec.structs import replace

from millgw.rehearsal.scenario import Discovery, Fault, FaultKind, Fleet, Scenario, Traffic
from millgw.rehearsal.scenario_checks import validate

DRAWN_KINDS: tuple[FaultKind, ...] = (
    "silence", "restart", "fast-failure", "slowdown", "resets", "spoilt", "drain", "replaced", "flapping",
    "discovery-outage", "discovery-restart", "sidecar-killed", "sidecar-restart", "crowd", "connections",
)  # fmt: skip
SIZES: dict[str, tuple[float, float]] = {
    "fast-failure": (0.3, 0.9),
    "resets": (0.05, 0.4),
    "spoilt": (0.05, 0.4),
    "slowdown": (1.5, 2.8),
    "crowd": (1.5, 3.0),
    "connections": (50, 400),
}
MIN_FAULTS, MAX_FAULTS = 3, 5  # faults in a drawn schedule
MIN_LENGTH_S = 0.5  # the shortest fault that shrinking tries
MIN_DAY_S = 2.0  # the shortest day that shrinking tries

BASE_DAY = Scenario(
    about="",
    seconds=8.0,
    fleet=Fleet(
        endpoints=5, tiers=(1.0, 1.0), work=(0.5, 0.5), calls=(1.25,), sidecars=8, group=3, cold_s=5.0
    ),
    traffic=Traffic(rate=32.0),
    discovery=Discovery(notice_s=(0.2, 1.5), silent_s=(1.0, 3.0), add_s=(0.1, 0.6)),
)
"""The day that schedules are drawn into: a small fleet in two tiers, with short delays of discovery."""


def draw_schedule(base: Scenario, seed: int) -> Scenario:
    """The base day with three to five random faults that all overlap at one moment."""
    rng = random.Random(f"search {seed}")
    pivot = base.seconds * rng.uniform(0.3, 0.6)
    faults = []
    for _ in range(rng.randint(MIN_FAULTS, MAX_FAULTS)):
        kind = rng.choice(DRAWN_KINDS)
        before, after = rng.uniform(0.05, 0.28) * base.seconds, rng.uniform(0.05, 0.3) * base.seconds
        start = max(0.2, pivot - before)
        low, high = SIZES.get(kind, (0.0, 0.0))
        faults.append(
            Fault(
                kind=kind,
                start_s=round(start, 2),
                length_s=round(pivot + after - start, 2),
                share=1.0 if kind in ("slowdown", "connections") else round(rng.uniform(0.1, 0.4), 2),
                size=round(rng.uniform(low, high), 2) if kind in SIZES else None,
            )
        )
    faults.sort(key=lambda f: f.start_s)
    about = ", ".join(f.kind for f in faults) + ", overlapping"
    return validate(replace(base, about=about, seed=seed, faults=tuple(faults)))


def one_at_a_time(scenario: Scenario) -> Scenario:
    """The same faults one after another, each in its own copy of the day's length."""
    part, at = scenario.seconds, 0.0
    faults = []
    for fault in scenario.faults:
        faults.append(replace(fault, start_s=round(at + fault.start_s, 2)))
        at += part
    about = f"{scenario.about}; here one at a time"
    return validate(replace(scenario, about=about, seconds=at, faults=tuple(faults)))


def simplifications(scenario: Scenario) -> Iterator[Scenario]:
    """Scenarios that are one step simpler, the largest steps first."""
    faults = scenario.faults
    for i in range(len(faults)):
        yield replace(scenario, faults=faults[:i] + faults[i + 1 :])
    for i, fault in enumerate(faults):
        if fault.length_s > 2 * MIN_LENGTH_S:
            yield _with_fault(scenario, i, replace(fault, length_s=round(fault.length_s / 2, 2)))
        if fault.share > 0.1 and fault.share < 1:
            yield _with_fault(scenario, i, replace(fault, share=round(max(0.1, fault.share / 2), 2)))
    end = max((f.until_s for f in faults), default=0.0) + 1.0
    if MIN_DAY_S <= end < scenario.seconds - 0.5:
        yield replace(scenario, seconds=round(end, 2))


def _with_fault(scenario: Scenario, at: int, fault: Fault) -> Scenario:
    faults = list(scenario.faults)
    faults[at] = fault
    return replace(scenario, faults=tuple(faults))


async def shrink(
    scenario: Scenario, harms: Callable[[Scenario], Awaitable[bool]], most: int = 40, at_once: int = 1
) -> tuple[Scenario, int]:
    """The smallest scenario found that still does harm, and how many candidates were tried.

    At most `most` candidates are tried. A step is kept only if `harms` confirms it, so that the result does
    the same harm as the first scenario. `at_once` steps are tried together, and the largest of those that do
    harm is kept.
    """
    asked, again = 0, True
    while again:
        again = False
        steps = list(simplifications(scenario))
        while steps and not again:
            some, steps = steps[:at_once][: most - asked], steps[at_once:]
            if not some:
                return scenario, asked
            asked += len(some)
            for candidate, harm in zip(some, await asyncio.gather(*map(harms, some)), strict=True):
                if harm and not again:
                    scenario, again = candidate, True
    return scenario, asked
