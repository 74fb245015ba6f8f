"""A day's control instances: real processes on loopback, each with its store in the day's directory."""

from __future__ import annotations

import asyncio
import contextlib
import os
import shlex
import signal
import sys
from dataclasses import dataclass
from pathlib import Path

from millgw.configuration.control_client import FleetStatus, fetch_status
from millgw.platform.config import Address
from millgw.rehearsal.cleanup_process import CleanupProcess
from millgw.rehearsal.processes import spawn
from millgw.rehearsal.sidecars import READY_CHECK_INTERVAL_S, READY_TIMEOUT_S, ROOT, NotReady
from millgw.standins.address import free_address
from millgw.standins.configuration_ledger import ControlLife
from millgw.standins.http import Clock
from millgw.standins.ledger import Ledger

STATUS_TIMEOUT_S = 1.0  # s to wait for an instance's status
LEADER = "leader"


@dataclass(slots=True, eq=False)
class ControlProcess:
    """One process of a control instance."""

    process: asyncio.subprocess.Process
    life: ControlLife
    waiter: asyncio.Task[None]


class ControlInstances:
    """The voters of one day. They are only ever ended by SIGKILL, and restart on their existing stores."""

    def __init__(
        self, count: int, directory: Path, cleanup: CleanupProcess, ledger: Ledger, clock: Clock
    ) -> None:
        self.addresses = {f"control-{number}": free_address() for number in range(1, count + 1)}
        self.directory = directory
        self.cleanup = cleanup
        self.ledger = ledger
        self.clock = clock
        self.running: dict[str, ControlProcess] = {}
        self.started_before: set[str] = set()  # their stores exist: --create is not passed again

    @property
    def all_addresses(self) -> tuple[Address, ...]:
        """The addresses of all instances, including those that are not running."""
        return tuple(self.addresses.values())

    async def start_all(self) -> None:
        """Start those that are not running and wait for a leader; raises NotReady if none emerges."""
        await asyncio.gather(*(self.start(name) for name in self.addresses))
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while await self.leader() is None:
                    await asyncio.sleep(READY_CHECK_INTERVAL_S)
        except TimeoutError:
            raise NotReady(f"no control instance became leader within {READY_TIMEOUT_S:.0f} s") from None

    async def start(self, name: str) -> None:
        """Start an instance, unless it is running, and wait until it answers or is killed."""
        if name in self.running:
            return
        directory = self.directory / name
        directory.mkdir(parents=True, exist_ok=True)
        life = ControlLife(name, self.clock())
        process = await spawn(self._command(name), self._environ(), directory / "log", self.cleanup)
        self.started_before.add(name)
        self.ledger.control.append(life)
        waiter = asyncio.get_running_loop().create_task(self._wait_for_exit(name, process))
        self.running[name] = ControlProcess(process, life, waiter)
        await self._wait_until_ready(name, life)

    def _command(self, name: str) -> str:
        voters = ",".join(f"{voter}={address}" for voter, address in self.addresses.items())
        arguments = [
            sys.executable, "-B", "-m", "millgw", "configuration", "serve", "--name", name,
            "--voters", voters, "--store", str(self.directory / name / "store"), "--log", "json",
        ]  # fmt: skip
        if name not in self.started_before:
            arguments.append("--create")
        return f"exec {shlex.join(arguments)}"

    @staticmethod
    def _environ() -> dict[str, str]:
        paths = [str(ROOT), *filter(None, [os.environ.get("PYTHONPATH")])]
        return os.environ | {"PYTHONPATH": os.pathsep.join(paths)}

    async def _wait_until_ready(self, name: str, life: ControlLife) -> None:
        deadline = self.clock() + READY_TIMEOUT_S * 1000
        while life.kill is None:
            status = await fetch_status([self.addresses[name]], STATUS_TIMEOUT_S)
            if status.instances and life.kill is None:
                life.ready = self.clock()
                return
            if name not in self.running or self.clock() > deadline:
                raise NotReady(f"control instance {name} does not answer")
            await asyncio.sleep(READY_CHECK_INTERVAL_S)

    async def _wait_for_exit(self, name: str, process: asyncio.subprocess.Process) -> None:
        await process.wait()
        self.cleanup.process_ended(process.pid)
        self.running.pop(name, None)

    async def leader(self) -> str | None:
        """The name of the instance that reports that it leads with a quorum, if there is one."""
        status = await self.status()
        leading = [each.name for each in status.instances if each.role == LEADER and each.quorum]
        return leading[0] if leading else None

    async def status(self) -> FleetStatus:
        """The merged status of the running instances."""
        running = [self.addresses[name] for name in self.running]
        return await fetch_status(running, STATUS_TIMEOUT_S)

    async def kill(self, name: str) -> None:
        """Send SIGKILL and wait for the exit."""
        instance = self.running.get(name)
        if instance is None:
            return
        if instance.life.kill is None:
            instance.life.kill = self.clock()
        with contextlib.suppress(ProcessLookupError):
            os.killpg(instance.process.pid, signal.SIGKILL)
        await asyncio.wait([instance.waiter])

    async def kill_all(self) -> list[str]:
        """Send SIGKILL to all running instances; returns their names."""
        names = list(self.running)
        await asyncio.gather(*(self.kill(name) for name in names))
        return names
