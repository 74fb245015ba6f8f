"""Plays days drawn from consecutive seeds; saves the scenario and sidecar logs of those that broke a rule."""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from millgw.rehearsal.day_process import DayPlayer, PlayResult
from millgw.rehearsal.scenario import Scenario
from millgw.rehearsal.scenario_files import to_toml
from millgw.rehearsal.soak_schedules import draw_soak

VERDICTS = {0: "held", 1: "BROKEN", 3: "inconclusive", 4: "not played"}


@dataclass(slots=True, frozen=True)
class SoakedDay:
    """The day of one seed and its result; `kept` is the folder of a day that broke a rule."""

    seed: int
    about: str
    verdict: str
    service: float
    rules: tuple[int, ...]
    first: str
    kept: str = ""


@dataclass(slots=True)
class SoakOutcome:
    """The result of a whole soak, by seed."""

    days: list[SoakedDay] = field(default_factory=list)
    unplayed: list[str] = field(default_factory=list)  # the reasons

    def count(self, verdict: str) -> int:
        return sum(day.verdict == verdict for day in self.days)


class Soak:
    """Plays `jobs` days at once with outages of at most `longest_s`; saves those that break a rule."""

    def __init__(
        self, run: str | None, jobs: int, longest_s: float, out: Path, say: Callable[[str], None]
    ) -> None:
        self.player = DayPlayer(run, jobs, say)
        self.longest_s = longest_s
        self.out = out
        self.say = say
        self.outcome = SoakOutcome()

    async def run(self, first: int, count: int) -> SoakOutcome:
        """Play `count` seeds from `first` on."""
        async with asyncio.TaskGroup() as group:
            for seed in range(first, first + count):
                group.create_task(self._play_seed(seed))
        self.outcome.days.sort(key=lambda day: day.seed)
        self.outcome.unplayed = self.player.failures
        return self.outcome

    async def _play_seed(self, seed: int) -> None:
        scenario = draw_soak(seed, self.longest_s)
        with tempfile.TemporaryDirectory(prefix="millgw-soak-") as folder:
            logs = Path(folder) / "logs"
            played = await self.player.play(scenario, logs)
            kept = self._save(seed, scenario, played, logs) if played.broken else ""
        verdict = VERDICTS[played.exit_code]
        day = SoakedDay(
            seed,
            scenario.about,
            verdict,
            played.service,
            tuple(sorted(played.broken)),
            played.first_breach,
            kept,
        )
        self.outcome.days.append(day)
        why = f", {day.first}" if day.first else ""
        self.say(f"{seed}: {verdict}, service {day.service:.3f}: {day.about}{why}")

    def _save(self, seed: int, scenario: Scenario, played: PlayResult, logs: Path) -> str:
        folder = self.out / f"soak-{seed}"
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "day.toml").write_text(to_toml(scenario, f"Seed {seed} of a soak: {played.first_breach}"))
        for log in sorted(logs.rglob("*")):
            if log.is_file():
                (folder / log.name).write_bytes(log.read_bytes())
        return str(folder)
