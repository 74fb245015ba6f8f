"""Real sidecars as processes: started by the deployment contract, killed, restarted, watched."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from millgw.platform.config import Address
from millgw.rehearsal.keeper import Keeper
from millgw.rehearsal.scenario import Scenario
from millgw.standins.address import free_address
from millgw.standins.caller import Desk, ready
from millgw.standins.http import Clock
from millgw.standins.ledger import Ledger, SidecarLife
from millgw.standins.register import Entry

ROOT = Path(__file__).resolve().parents[2]
DEFAULT_RUN = f"exec {sys.executable} -B -m millgw.sidecar"
HELD_BACK = 'read -r go && exec /bin/sh -c "$1" </dev/null'
"""Guards against a rig that is killed between a start and the keeper's word of it: with no word to go on, the
process ends by itself."""
READY_EVERY = 0.05  # s between two looks whether a sidecar serves
READY_TIME = 60.0  # s for a sidecar to serve after its start
LOG_TAIL = 400  # bytes of a log that a message quotes


class NotReady(Exception):
    """A sidecar that does not come up: the run line or the machine is at fault, no rule is judged."""


def settings(scenario: Scenario, stage: int, index: int, siblings: int) -> dict[str, Any]:
    """The settings object of one sidecar, as the platform words it."""
    limits, rules, fleet = scenario.limits, scenario.rules, scenario.fleet
    return {
        "me": index,
        "siblings": siblings,
        "stage": stage,
        "tick": 5.0,
        "classes": [
            {
                "name": c.name, "repeat": c.repeat, "deadline": c.deadline_ms, "slo": c.aim_ms,
                "worth": c.worth, "keyScope": "cell", "repeatWindow": c.window_ms,
            }
            for c in scenario.classes
        ],
        "projects": [
            {"name": t.name, "quotaRps": 1.5 * t.share * scenario.traffic.rate} for t in scenario.tenants
        ],
        "localities": ["sala-caxias"],
        "overShareWorth": 0.05,
        "registryMode": "on_request",
        "limits": {
            "tryLimit": limits.attempts, "parallelTries": limits.parallel,
            "maxRetryAfter": limits.retry_after_ms, "connectTimeout": limits.connect_ms,
            "connIdle": fleet.idle_s * 1000,
        },
        "rules": {
            "cold": fleet.cold_s * 1000, "coldShare": fleet.cold_share, "fallMultiple": rules.fall_multiple,
            "fall": rules.fall_ms, "drainGrace": rules.drain_grace_ms, "askWithin": rules.ask_within_ms,
        },
    }  # fmt: skip


class Sidecar:
    """One sidecar under its name and address, through all its processes."""

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
        self.process: asyncio.subprocess.Process | None = None
        self.life: SidecarLife | None = None
        self.ended = asyncio.Event()
        self.starts = 0
        self.operator = ""  # the text of its operator's file, if it is given one
        self.most_memory = 0  # kB, the most that any of its processes held
        self.waiter: asyncio.Task[None] | None = None

    def listen_at(self, address: Address) -> None:
        """Where callers find it; before its first start."""
        self.listen = address
        self.desk = Desk(self.name, address, self.clock)

    async def start(self) -> None:
        """Start a process and wait until it serves; a NotReady tells why it does not."""
        self.starts += 1
        life = self.life = SidecarLife(self.name, self.stage, self.clock())
        environ = self._environ()
        with (self.folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", HELD_BACK, "rig", self.run, env=environ, stdin=asyncio.subprocess.PIPE,
                stdout=log, stderr=log, start_new_session=True,
            )  # fmt: skip
        self.keeper.started(self.process.pid)
        assert self.process.stdin is not None
        self.process.stdin.write(b"go\n")
        self.process.stdin.close()
        self.ended = asyncio.Event()
        self.ledger.sidecars.append(life)
        self.waiter = asyncio.get_running_loop().create_task(self._wait(self.process, life, self.ended))
        try:
            async with asyncio.timeout(READY_TIME):
                while not await ready(self.listen):
                    if self.ended.is_set():
                        if life.kill is not None:
                            return
                        raise NotReady(f"{self.name} ended with code {life.code}: {self.tail()}")
                    await asyncio.sleep(READY_EVERY)
        except TimeoutError:
            raise NotReady(f"{self.name} is not ready after {READY_TIME:.0f} s: {self.tail()}") from None
        life.ready = self.clock()

    def _environ(self) -> dict[str, str]:
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
        given = {}
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

    async def _wait(
        self, process: asyncio.subprocess.Process, life: SidecarLife, ended: asyncio.Event
    ) -> None:
        life.code = await process.wait()
        life.ended = self.clock()
        self.keeper.ended(process.pid)
        ended.set()

    def tail(self) -> str:
        """The last line of its log."""
        with contextlib.suppress(OSError):
            lines = (self.folder / "log").read_bytes()[-LOG_TAIL:].decode(errors="replace").split("\n")
            return next((line for line in reversed(lines) if line.strip()), "it said nothing")
        return "it said nothing"

    def kill(self) -> None:
        """SIGKILL to it and all it started."""
        if self.process is not None and self.life is not None and not self.ended.is_set():
            self.note_memory()
            if self.life.kill is None:
                self.life.kill = self.clock()
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self.process.pid, signal.SIGKILL)

    def term(self) -> None:
        """SIGTERM to the program that `run` started."""
        if self.process is not None and self.life is not None and not self.ended.is_set():
            self.note_memory()
            self.life.term = self.clock()
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, signal.SIGTERM)

    def reload(self, operator: str) -> None:
        """Give it another operator's file, and SIGHUP."""
        self.operator = operator
        if self.process is not None and not self.ended.is_set():
            (self.folder / "operator.toml").write_text(operator)
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, signal.SIGHUP)

    @property
    def pid(self) -> int | None:
        return self.process.pid if self.process is not None and not self.ended.is_set() else None

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
