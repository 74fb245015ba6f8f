"""Real sidecars as processes: started by the deployment contract, killed, restarted, watched."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from millgw.platform.config import Address
from millgw.rehearsal.keeper import Keeper
from millgw.rehearsal.processes import spawn
from millgw.rehearsal.scenario import Scenario
from millgw.standins.address import free_address
from millgw.standins.endpoint_options import ONE_ZONE
from millgw.standins.endpoint_registry import Entry
from millgw.standins.http import Clock
from millgw.standins.ledger import Ledger, SidecarLife, SidecarPause, Upgrade
from millgw.standins.sidecar_client import REQUEST_PORT_READY, SidecarClient, ready

ROOT = Path(__file__).resolve().parents[2]
DEFAULT_RUN = f"exec {sys.executable} -B -m millgw.sidecar"
READY_EVERY = 0.05  # s between two looks whether a sidecar serves
READY_TIME = 60.0  # s for a sidecar to serve after its start
OWN_CLASS = "of-its-own"  # a class that one sidecar alone has
LOG_TAIL = 400  # bytes of a log that a message quotes


class NotReady(Exception):
    """A sidecar that does not come up: the run line or the machine is at fault, no rule is judged."""


def class_settings(scenario: Scenario) -> list[dict[str, Any]]:
    """The classes of all sidecars, as the platform words them."""
    return [
        {
            "name": c.name, "repeat": c.repeat, "deadline": c.deadline_ms, "slo": c.aim_ms,
            "worth": c.worth, "keyScope": "cell", "repeatWindow": c.window_ms,
        }
        for c in scenario.classes
    ]  # fmt: skip


def settings(scenario: Scenario, stage: int, index: int, siblings: int) -> dict[str, Any]:
    """The settings object of one sidecar, as the platform words it."""
    limits, rules, fleet = scenario.limits, scenario.rules, scenario.fleet
    return {
        "me": index,
        "siblings": siblings,
        "stage": stage,
        "tick": 5.0,
        "classes": class_settings(scenario),
        "projects": [
            {"name": t.name, "quotaRps": 1.5 * t.share * scenario.traffic.rate} for t in scenario.tenants
        ],
        "localities": [ONE_ZONE] if scenario.zones is None else list(scenario.zones.names),
        "overShareWorth": 0.05,
        "registryMode": "on_request",
        "limits": {
            "tryLimit": limits.attempts, "parallelTries": limits.parallel,
            "maxRetryAfter": limits.retry_after_ms, "connectTimeout": limits.connect_ms,
            "connIdle": fleet.idle_s * 1000, "probing": limits.probing,
        },
        "rules": {
            "cold": fleet.cold_s * 1000, "coldShare": fleet.cold_share, "fallMultiple": rules.fall_multiple,
            "fall": rules.fall_ms, "drainGrace": rules.drain_grace_ms, "askWithin": rules.ask_within_ms,
        },
    }  # fmt: skip


def with_class_of_its_own(settings: dict[str, Any]) -> dict[str, Any]:
    """The settings with one more class, so that a version that names the others can't be applied here."""
    own = {**settings["classes"][0], "name": OWN_CLASS}
    return settings | {"classes": [*settings["classes"], own]}


@dataclass(eq=False)
class Process:
    """One process of a sidecar, from its start to its end. `door` is where operators find it, if anywhere."""

    process: asyncio.subprocess.Process
    life: SidecarLife
    door: Address | None
    number: int  # 1 for the first one of its sidecar
    ended: asyncio.Event = field(default_factory=asyncio.Event)


class Sidecar:
    """One sidecar under its name and address, through all its processes: `current` is the newest of them."""

    def __init__(
        self,
        name: str,
        stage: int,
        discovery: Address,
        settings: dict[str, Any],
        scenario: Scenario,
        known: Callable[[], tuple[int, tuple[Entry, ...]]],
        run: str,
        folder: Path,
        keeper: Keeper,
        ledger: Ledger,
        clock: Clock,
    ) -> None:
        self.name = name
        self.index = int(name.rpartition("-")[2])  # among those of its stage
        self.stage = stage
        self.discovery = discovery
        self.settings = settings
        self.limits = scenario.limits
        self.seed = scenario.seed
        self.known = known
        self.run = run
        self.folder = folder / name
        self.keeper = keeper
        self.ledger = ledger
        self.clock = clock
        self.listen_at(free_address())
        self.current: Process | None = None
        self.before: Process | None = None  # the one that an upgrade is to end
        self.door = False  # whether its processes are told a door
        self.starts = 0
        self.operator = ""  # the text of its operator's file, if it is given one
        self.most_memory = 0  # kB, the most that any of its processes held
        self.waiters: list[asyncio.Task[None]] = []

    def listen_at(self, address: Address) -> None:
        """Where callers find it; before its first start."""
        self.listen = address
        self.desk = SidecarClient(self.name, address, self.clock)

    async def start(self) -> None:
        """Start a process and wait until it serves; a NotReady tells why it does not."""
        started = self.current = await self._spawn()
        await self._until(started, lambda: ready(self.listen))

    async def upgrade(self, upgrade: Upgrade, within: float) -> None:
        """Start a second process beside the running one, and end that once the new one says yes.

        The old one has `within` s from SIGTERM on. A NotReady tells that the new one never said yes.
        """
        old = self.current
        assert old is not None
        new = await self._spawn()
        new.life.beside = True
        self.before, self.current = old, new
        assert new.door is not None
        door = new.door
        await self._until(new, lambda: ready(door, REQUEST_PORT_READY))
        upgrade.yes_at = self.clock()
        old.life.term = upgrade.term = upgrade.yes_at
        self._signal(old, signal.SIGTERM)
        try:
            async with asyncio.timeout(within):
                await old.ended.wait()
        except TimeoutError:
            self._kill(old)
            await old.ended.wait()
        upgrade.ended = self.clock()
        self.before = None

    async def _spawn(self) -> Process:
        self.starts += 1
        number = self.starts
        door = free_address() if self.door else None
        life = SidecarLife(self.name, self.stage, self.clock())
        environ = self._environ(door)
        process = await spawn(self.run, environ, self.folder / "log", self.keeper)
        started = Process(process, life, door, number)
        self.ledger.sidecars.append(life)
        self.waiters.append(asyncio.get_running_loop().create_task(self._wait(started)))
        return started

    async def _until(self, started: Process, serves: Callable[[], Awaitable[bool]]) -> None:
        try:
            async with asyncio.timeout(READY_TIME):
                while not await serves():
                    if started.ended.is_set():
                        if started.life.kill is not None:
                            return
                        raise NotReady(f"{self.name} ended with code {started.life.code}: {self.tail()}")
                    await asyncio.sleep(READY_EVERY)
        except TimeoutError:
            raise NotReady(f"{self.name} is not ready after {READY_TIME:.0f} s: {self.tail()}") from None
        started.life.ready = self.clock()

    def _environ(self, door: Address | None) -> dict[str, str]:
        scratch = self.folder / "tmp"
        scratch.mkdir(parents=True, exist_ok=True)
        index, entries = self.known()
        config = {
            "name": self.name,
            "listen": str(self.listen),
            "discovery": str(self.discovery),
            "seed": f"{random.Random(f'{self.seed} {self.name} {self.starts}').getrandbits(63):016x}",
            "limits": {"cores": 1.0, "memory_mb": self.limits.memory_mb, "sockets": self.limits.sockets},
            "known": {"index": index, "snapshot": True, "endpoints": [e.json() for e in entries]},
            "settings": self.settings,
        }
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        given = {} if door is None else {"BALANCER_CONTROL": str(door)}
        if self.operator:
            (self.folder / "operator.toml").write_text(self.operator)
            given["BALANCER_OPERATOR"] = str(self.folder / "operator.toml")
        paths = [str(ROOT), *filter(None, [os.environ.get("PYTHONPATH")])]
        return os.environ | {
            "BALANCER_NAME": self.name,
            "BALANCER_LISTEN": str(self.listen),
            "BALANCER_DISCOVERY": str(self.discovery),
            "BALANCER_CONFIG": str(path),
            "TMPDIR": str(scratch),
            "PYTHONPATH": os.pathsep.join(paths),
            **given,
        }

    async def _wait(self, started: Process) -> None:
        started.life.code = await started.process.wait()
        started.life.ended = self.clock()
        self.keeper.ended(started.process.pid)
        started.ended.set()

    def tail(self) -> str:
        """The last line of its log."""
        with contextlib.suppress(OSError):
            lines = (self.folder / "log").read_bytes()[-LOG_TAIL:].decode(errors="replace").split("\n")
            return next((line for line in reversed(lines) if line.strip()), "it said nothing")
        return "it said nothing"

    def kill(self) -> None:
        """SIGKILL to it and all it started."""
        self.note_memory()
        for started in (self.before, self.current):
            if started is not None:
                self._kill(started)

    def _kill(self, started: Process) -> None:
        if not started.ended.is_set():
            if started.life.kill is None:
                started.life.kill = self.clock()
            with contextlib.suppress(ProcessLookupError):
                os.killpg(started.process.pid, signal.SIGKILL)

    @staticmethod
    def _signal(started: Process, number: signal.Signals) -> None:
        if not started.ended.is_set():
            with contextlib.suppress(ProcessLookupError):
                os.kill(started.process.pid, number)

    def term(self) -> None:
        """SIGTERM to the program that `run` started."""
        if self.current is not None and self.pid is not None:
            self.note_memory()
            self.current.life.term = self.clock()
            self._signal(self.current, signal.SIGTERM)

    def pause(self, seconds: float) -> SidecarPause | None:
        """SIGSTOP, and SIGCONT after so long: it stands still wherever it is. None where no process runs.

        Blocks its thread meanwhile.
        """
        held = self.current
        if held is None:
            return None
        begun = self.clock()
        self._signal(held, signal.SIGSTOP)
        try:
            time.sleep(seconds)
        finally:
            self._signal(held, signal.SIGCONT)
        return SidecarPause(self.name, begun, self.clock())

    def reload(self, operator: str) -> None:
        """Give it another operator's file, and SIGHUP."""
        self.operator = operator
        if self.current is not None and self.pid is not None:
            (self.folder / "operator.toml").write_text(operator)
            self._signal(self.current, signal.SIGHUP)

    @property
    def ended(self) -> asyncio.Event:
        """The end of its newest process."""
        assert self.current is not None
        return self.current.ended

    @property
    def pid(self) -> int | None:
        if self.current is None or self.current.ended.is_set():
            return None
        return self.current.process.pid

    def waited(self) -> float:
        """ms that its process has waited for a core so far; 0 where that can't be known."""
        try:
            return int(Path(f"/proc/{self.pid}/schedstat").read_text().split()[1]) / 1e6
        except (OSError, ValueError, IndexError):
            return 0.0

    def note_memory(self) -> None:
        with contextlib.suppress(OSError, ValueError, IndexError):
            for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
                if line.startswith("VmHWM:"):
                    self.most_memory = max(self.most_memory, int(line.split()[1]))
