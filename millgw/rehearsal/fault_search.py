"""Plays drawn fault schedules in separate processes, several at once, and shrinks the harmful ones."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from msgspec.structs import replace

from millgw.rehearsal.day_process import FAILED_PLAY, DayPlayer, PlayResult
from millgw.rehearsal.fault_schedules import draw_schedule, one_at_a_time, shrink
from millgw.rehearsal.scenario import Scenario
from millgw.rehearsal.scenario_files import to_toml

LOW_SERVICE = 0.75  # below it a day is compared with the same faults one at a time
MIN_OVERLAP_COST = 0.2  # loss of service by overlap alone from which a schedule is written
CONFIRMING_PLAYS = 2  # plays that must all do harm: harm by chance does not count


@dataclass(slots=True, frozen=True)
class HarmfulSchedule:
    """A schedule that does harm: its seed, the harm, its file, its size once shrunk and the steps tried."""

    seed: int
    why: str
    path: str
    faults: int
    plays: int


@dataclass(slots=True)
class SearchOutcome:
    """The result of a whole search."""

    played: int = 0
    plays: int = 0
    inconclusive: int = 0
    unplayed: list[str] = field(default_factory=list)  # the reasons
    services: list[float] = field(default_factory=list)
    kinds: Counter[str] = field(default_factory=Counter)
    found: list[HarmfulSchedule] = field(default_factory=list)


class FaultSearch:
    """A search that plays `jobs` days at once and writes harmful schedules to `out`."""

    def __init__(
        self, base: Scenario, run: str | None, jobs: int, out: Path, steps: int, say: Callable[[str], None]
    ) -> None:
        self.base = base
        self.jobs = jobs
        self.days = DayPlayer(run, jobs, say)
        self.out = out
        self.steps = steps
        self.say = say
        self.outcome = SearchOutcome()

    async def search(self, seed: int, count: int) -> SearchOutcome:
        """Play `count` schedules, drawn from `seed` and the seeds that follow it."""
        async with asyncio.TaskGroup() as group:
            for number in range(count):
                group.create_task(self._search_seed(seed + number))
        self.outcome.found.sort(key=lambda f: f.seed)
        self.outcome.plays, self.outcome.unplayed = self.days.plays, self.days.failures
        return self.outcome

    async def _search_seed(self, seed: int) -> None:
        scenario = draw_schedule(self.base, seed)
        played = await self.days.play(scenario)
        if played is FAILED_PLAY:
            return
        self.outcome.played += 1
        self.outcome.services.append(played.service)
        self.outcome.kinds.update(f.kind for f in scenario.faults)
        self.outcome.inconclusive += played.exit_code == 3
        self.say(f"{seed}: {scenario.about}: service {played.service:.3f}")
        harms: Callable[[Scenario], Any]
        if played.broken:
            rule = min(played.broken)
            why = f"rule {rule} broke: {played.first_breach}"

            async def harms(candidate: Scenario) -> bool:
                return await self._every_play(candidate, lambda p: rule in p.broken)
        elif played.exit_code == 0 and played.service < LOW_SERVICE:
            alone = (await self.days.play(one_at_a_time(scenario))).service
            if alone - played.service < MIN_OVERLAP_COST:
                return
            why = f"service {played.service:.3f}, where the same faults one at a time leave {alone:.3f}"

            async def harms(candidate: Scenario) -> bool:
                if not candidate.faults:
                    return False
                together, single = (
                    await self.days.play(candidate),
                    await self.days.play(one_at_a_time(candidate)),
                )
                return together.exit_code == 0 and single.service - together.service >= MIN_OVERLAP_COST
        else:
            return
        if not await harms(scenario):
            self.say(f"{seed}: {why}; not reproduced, so it is dropped")
            return
        least, plays = await shrink(scenario, harms, self.steps, self.jobs)
        self._write(seed, why, scenario, least, plays)

    async def _every_play(self, scenario: Scenario, holds: Callable[[PlayResult], bool]) -> bool:
        return all(
            map(holds, await asyncio.gather(*(self.days.play(scenario) for _ in range(CONFIRMING_PLAYS))))
        )

    def _write(self, seed: int, why: str, drawn: Scenario, least: Scenario, plays: int) -> None:
        self.out.mkdir(parents=True, exist_ok=True)
        path = self.out / f"found-{seed}.toml"
        about = ", ".join(f.kind for f in least.faults)
        comment = (
            f"Found by a search, seed {seed}, shrunk from {len(drawn.faults)} faults in {plays} steps.\n{why}"
        )
        path.write_text(to_toml(replace(least, about=f"found by a search: {about}"), comment))
        self.outcome.found.append(HarmfulSchedule(seed, why, str(path), len(least.faults), plays))
        self.say(f"{seed}: {why}; the smallest schedule that does it is in {path}")
