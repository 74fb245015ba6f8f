"""Sidecar processes: starts them by the deployment contract, and kills, restarts and upgrades them."""

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
from millgw.rehearsal.cleanup_process import CleanupProcess
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
READY_CHECK_INTERVAL_S = 0.05  # s between two checks whether a sidecar serves
READY_TIMEOUT_S = 60.0  # s for a sidecar to serve after its start
EXTRA_CLASS = "of-its-own"  # name of the class that only sidecars that reject versions have
LOG_TAIL_BYTES = 400  # bytes at the end of a log that are searched for the last line to quote


class NotReady(Exception):
    """A process did not become ready: the command or the machine is at fault, and no rule is judged."""


def class_settings(scenario: Scenario) -> list[dict[str, Any]]:
    """The classes of all sidecars, in the platform's settings format."""
    return [
        {
            "name": c.name, "repeat": c.repeat, "deadline": c.deadline_ms, "slo": c.aim_ms,
            "worth": c.worth, "keyScope": "cell", "repeatWindow": c.window_ms,
        }
        for c in scenario.classes
    ]  # fmt: skip


def settings(scenario: Scenario, stage: int, index: int, siblings: int) -> dict[str, Any]:
    """The settings object of one sidecar, in the platform's format."""
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


def with_extra_class(settings: dict[str, Any]) -> dict[str, Any]:
    """The settings with one more class, so that a version that sets the classes can't be applied here."""
    extra = {**settings["classes"][0], "name": EXTRA_CLASS}
    return settings | {"classes": [*settings["classes"], extra]}


@dataclass(eq=False)
class Process:
    """One process of a sidecar, from start to exit; `control_address` is None without a control server."""

    process: asyncio.subprocess.Process
    life: SidecarLife
    control_address: Address | None
    number: int  # 1 for its sidecar's first process
    ended: asyncio.Event = field(default_factory=asyncio.Event)


class Sidecar:
    """One sidecar with its name and address, across all its processes; `current` is the newest of them."""

    def __init__(
        self,
        name: str,
        stage: int,
        discovery: Address,
        settings: dict[str, Any],
        scenario: Scenario,
        known_endpoints: Callable[[], tuple[int, tuple[Entry, ...]]],
        command: str,
        directory: Path,
        cleanup: CleanupProcess,
        ledger: Ledger,
        clock: Clock,
    ) -> None:
        self.name = name
        self.index = int(name.rpartition("-")[2])  # within its stage
        self.stage = stage
        self.discovery = discovery
        self.settings = settings
        self.limits = scenario.limits
        self.seed = scenario.seed
        self.known_endpoints = known_endpoints
        self.command = command
        self.directory = directory / name
        self.cleanup = cleanup
        self.ledger = ledger
        self.clock = clock
        self.set_listen_address(free_address())
        self.current: Process | None = None
        self.replaced: Process | None = None  # the process that a running upgrade replaces
        self.has_control_address = False
        self.start_count = 0
        self.operator_file = ""  # text of its operator's file; empty for none
        self.peak_memory_kb = 0  # of all its processes
        self.waiters: list[asyncio.Task[None]] = []

    def set_listen_address(self, address: Address) -> None:
        """Set the address that callers use; only before the first start."""
        self.listen = address
        self.desk = SidecarClient(self.name, address, self.clock)

    async def start(self) -> None:
        """Start a process and wait until it serves; raises NotReady with the reason if it does not."""
        started = self.current = await self._spawn()
        await self._wait_until_ready(started, lambda: ready(self.listen))

    async def upgrade(self, upgrade: Upgrade, grace_s: float) -> None:
        """Start a second process beside the running one, and end the old one once the new one is ready.

        The old process has `within` s from SIGTERM on before it is killed. Raises NotReady if the new one
        never becomes ready.
        """
        old = self.current
        assert old is not None
        new = await self._spawn()
        new.life.beside = True
        self.replaced, self.current = old, new
        assert new.control_address is not None
        control_address = new.control_address
        await self._wait_until_ready(new, lambda: ready(control_address, REQUEST_PORT_READY))
        upgrade.yes_at = self.clock()
        old.life.term = upgrade.term = upgrade.yes_at
        self._signal(old, signal.SIGTERM)
        try:
            async with asyncio.timeout(grace_s):
                await old.ended.wait()
        except TimeoutError:
            self._kill(old)
            await old.ended.wait()
        upgrade.ended = self.clock()
        self.replaced = None

    async def _spawn(self) -> Process:
        self.start_count += 1
        number = self.start_count
        control_address = free_address() if self.has_control_address else None
        life = SidecarLife(self.name, self.stage, self.clock())
        environ = self._environ(control_address)
        process = await spawn(self.command, environ, self.directory / "log", self.cleanup)
        started = Process(process, life, control_address, number)
        self.ledger.sidecars.append(life)
        self.waiters.append(asyncio.get_running_loop().create_task(self._wait_for_exit(started)))
        return started

    async def _wait_until_ready(self, started: Process, serves: Callable[[], Awaitable[bool]]) -> None:
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while not await serves():
                    if started.ended.is_set():
                        if started.life.kill is not None:
                            return
                        raise NotReady(
                            f"{self.name} ended with code {started.life.code}: {self.last_log_line()}"
                        )
                    await asyncio.sleep(READY_CHECK_INTERVAL_S)
        except TimeoutError:
            raise NotReady(
                f"{self.name} is not ready after {READY_TIMEOUT_S:.0f} s: {self.last_log_line()}"
            ) from None
        started.life.ready = self.clock()

    def _environ(self, control_address: Address | None) -> dict[str, str]:
        temporary = self.directory / "tmp"
        temporary.mkdir(parents=True, exist_ok=True)
        index, entries = self.known_endpoints()
        config = {
            "name": self.name,
            "listen": str(self.listen),
            "discovery": str(self.discovery),
            "seed": f"{random.Random(f'{self.seed} {self.name} {self.start_count}').getrandbits(63):016x}",
            "limits": {"cores": 1.0, "memory_mb": self.limits.memory_mb, "sockets": self.limits.sockets},
            "known": {"index": index, "snapshot": True, "endpoints": [e.json() for e in entries]},
            "settings": self.settings,
        }
        path = self.directory / "config.json"
        path.write_text(json.dumps(config))
        optional = {} if control_address is None else {"BALANCER_CONTROL": str(control_address)}
        if self.operator_file:
            (self.directory / "operator.toml").write_text(self.operator_file)
            optional["BALANCER_OPERATOR"] = str(self.directory / "operator.toml")
        paths = [str(ROOT), *filter(None, [os.environ.get("PYTHONPATH")])]
        return os.environ | {
            "BALANCER_NAME": self.name,
            "BALANCER_LISTEN": str(self.listen),
            "BALANCER_DISCOVERY": str(self.discovery),
            "BALANCER_CONFIG": str(path),
            "TMPDIR": str(temporary),
            "PYTHONPATH": os.pathsep.join(paths),
            **optional,
        }

    async def _wait_for_exit(self, started: Process) -> None:
        started.life.code = await started.process.wait()
        started.life.ended = self.clock()
        self.cleanup.process_ended(started.process.pid)
        started.ended.set()

    def last_log_line(self) -> str:
        """The last line of its log that is not blank."""
        with contextlib.suppress(OSError):
            lines = (
                (self.directory / "log").read_bytes()[-LOG_TAIL_BYTES:].decode(errors="replace").split("\n")
            )
            return next((line for line in reversed(lines) if line.strip()), "the log is empty")
        return "the log is empty"

    def kill(self) -> None:
        """Send SIGKILL to the process groups of all its processes."""
        self.record_peak_memory()
        for started in (self.replaced, self.current):
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

    def terminate(self) -> None:
        """Send SIGTERM to the newest process."""
        if self.current is not None and self.pid is not None:
            self.record_peak_memory()
            self.current.life.term = self.clock()
            self._signal(self.current, signal.SIGTERM)

    def pause(self, seconds: float) -> SidecarPause | None:
        """Stop the newest process by SIGSTOP for `seconds`, at whatever point it is. None if there is none.

        Blocks the calling thread meanwhile.
        """
        stopped = self.current
        if stopped is None:
            return None
        start = self.clock()
        self._signal(stopped, signal.SIGSTOP)
        try:
            time.sleep(seconds)
        finally:
            self._signal(stopped, signal.SIGCONT)
        return SidecarPause(self.name, start, self.clock())

    def reload(self, operator: str) -> None:
        """Replace its operator's file and send SIGHUP."""
        self.operator_file = operator
        if self.current is not None and self.pid is not None:
            (self.directory / "operator.toml").write_text(operator)
            self._signal(self.current, signal.SIGHUP)

    @property
    def ended(self) -> asyncio.Event:
        """Set when its newest process has exited."""
        assert self.current is not None
        return self.current.ended

    @property
    def pid(self) -> int | None:
        if self.current is None or self.current.ended.is_set():
            return None
        return self.current.process.pid

    def core_wait_ms(self) -> float:
        """ms that its newest process has waited for a core so far; 0 if that can't be read."""
        try:
            return int(Path(f"/proc/{self.pid}/schedstat").read_text().split()[1]) / 1e6
        except (OSError, ValueError, IndexError):
            return 0.0

    def record_peak_memory(self) -> None:
        with contextlib.suppress(OSError, ValueError, IndexError):
            for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
                if line.startswith("VmHWM:"):
                    self.peak_memory_kb = max(self.peak_memory_kb, int(line.split()[1]))
