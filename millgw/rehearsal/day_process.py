"""Plays days in child processes, several at once."""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from millgw.rehearsal.scenario import Scenario
from millgw.rehearsal.scenario_files import to_toml


@dataclass(slots=True, frozen=True)
class PlayResult:
    """The result of one play: exit code, service, broken rules and the first kind of breach."""

    exit_code: int
    service: float
    broken: frozenset[int]
    first_breach: str


FAILED_PLAY = PlayResult(4, 1.0, frozenset(), "")
"""The result of a play that could not be carried out."""


class DayPlayer:
    """Plays at most `jobs` days at once; `run` is the command of a sidecar, None for the daemon."""

    def __init__(self, run: str | None, jobs: int, say: Callable[[str], None]) -> None:
        self.run = run
        self.semaphore = asyncio.Semaphore(jobs)
        self.say = say
        self.plays = 0
        self.failures: list[str] = []  # the reason of each

    async def play(self, scenario: Scenario, logs: Path | None = None) -> PlayResult:
        """Play a day; its sidecars' logs are kept in `logs`."""
        async with self.semaphore:
            self.plays += 1
            with tempfile.TemporaryDirectory(prefix="millgw-day-") as directory:
                day, report = Path(directory) / "day.toml", Path(directory) / "report.json"
                day.write_text(to_toml(scenario))
                command = ["-m", "millgw", "rehearse", "run", str(day), "--json", str(report)]
                if self.run is not None:
                    command += ["--run", self.run]
                if logs is not None:
                    command += ["--logs", str(logs)]
                exit_code, errors = await self._run_command(command)
                if exit_code not in (0, 1, 3):
                    # A day that can't be played proves nothing, and must not end a long search.
                    self.failures.append(errors.strip().split("\n")[-1])
                    self.say(f"could not be played: {self.failures[-1]}")
                    return FAILED_PLAY
                return _play_result(exit_code, json.loads(report.read_text())["days"][0])

    async def _run_command(self, command: list[str]) -> tuple[int, str]:
        """Run a command to its end; returns its exit code and standard error."""
        process = await asyncio.create_subprocess_exec(
            sys.executable, *command, stdout=asyncio.subprocess.DEVNULL, stderr=asyncio.subprocess.PIPE
        )
        try:
            _, errors = await process.communicate()
        except asyncio.CancelledError:
            process.terminate()
            await process.wait()
            raise
        assert process.returncode is not None
        return process.returncode, errors.decode(errors="replace")


def _play_result(exit_code: int, day: dict[str, Any]) -> PlayResult:
    broken = {r["rule"]: r for r in day["rules"] if r["verdict"] == "BROKEN"}
    first = next(iter(broken[min(broken)]["kinds"])) if broken else ""
    return PlayResult(exit_code, day["service"], frozenset(broken), first)
