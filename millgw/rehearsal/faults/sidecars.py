"""Injects faults into sidecars, and runs operators' actions on them: restart, upgrade, drain, reload."""

from __future__ import annotations

import asyncio
import random

from millgw.rehearsal.fault_plan import PlannedFault
from millgw.rehearsal.faults.targets import FaultTargets, Injection, wait_for_end
from millgw.rehearsal.sidecars import NotReady
from millgw.standins.ledger import Sample, SentAway, SidecarPause, Upgrade
from millgw.standins.sidecar_client import answers_ok

MAX_DEADLINE_WAIT_S = 3.0  # the part of a deadline that is waited for between SIGTERM and SIGKILL
KILL_MARGIN_S = 0.7  # added to that wait
CLIENT_DRAIN_LIMIT_S = 4.0  # within which a sidecar must drain its clients
RUN_BETWEEN_STOPS_S = (0.05, 0.4)  # how long a repeatedly stopped process runs between two stops
RECENT_REQUEST_MS = 2000.0  # a request begun so recently should not have been accepted


class SidecarFaults:
    """The faults of sidecars."""

    def __init__(self, targets: FaultTargets) -> None:
        self.targets = targets
        self.loop = asyncio.get_running_loop()

    def injections(self) -> dict[str, Injection]:
        """The injection of each kind of fault."""
        return {
            "sidecar-killed": self._sidecar_killed,
            "sidecar-restart": self._sidecar_restart,
            "sidecar-upgrade": self._sidecar_upgrade,
            "sidecar-drain": self._sidecar_drain,
            "sidecar-stopped": self._sidecar_stopped,
            "connections": self._open_idle_connections,
            "reload": self._reload,
        }

    async def _sidecar_killed(self, fault: PlannedFault) -> None:
        """Kill a sidecar with all that it holds, and start it again."""
        sidecar = self.targets.sidecars[fault.target]
        if sidecar.pid is None:
            return
        starts = sidecar.start_count
        sidecar.kill()
        self.targets.front.sidecar_died(sidecar)
        await wait_for_end(fault)
        if sidecar.start_count == starts:
            await self._start_again(fault.target)

    async def _sidecar_restart(self, fault: PlannedFault) -> None:
        """A planned restart: SIGTERM, SIGKILL if the process has not ended in time, then a new start."""
        sidecar = self.targets.sidecars[fault.target]
        if sidecar.pid is None:
            return
        starts = sidecar.start_count
        sidecar.terminate()
        self.targets.front.sidecar_terminating(sidecar)
        try:
            async with asyncio.timeout(self._term_grace()):
                await sidecar.ended.wait()
        except TimeoutError:
            sidecar.kill()
        if sidecar.start_count == starts:
            await self._start_again(fault.target)

    def _term_grace(self) -> float:
        """The time (s) that a sidecar has after SIGTERM."""
        longest = max(c.deadline_ms for c in self.targets.scenario.classes) / 1000
        return min(longest, MAX_DEADLINE_WAIT_S) + KILL_MARGIN_S

    async def _sidecar_upgrade(self, fault: PlannedFault) -> None:
        """Start a second process beside the running one, which takes over from it."""
        sidecar = self.targets.sidecars[fault.target]
        if sidecar.pid is None or sidecar.replaced is not None:
            return
        upgrade = Upgrade(sidecar.name, self.targets.clock())
        self.targets.ledger.upgrades.append(upgrade)
        await sidecar.upgrade(upgrade, self._term_grace())

    async def _sidecar_drain(self, fault: PlannedFault) -> None:
        """Order a sidecar to drain its clients, and later to accept them again."""
        sidecar = self.targets.sidecars[fault.target]
        if sidecar.pid is None or sidecar.current is None or sidecar.current.control_address is None:
            return
        seen = SentAway(sidecar.name, self.targets.clock())
        if not await answers_ok(sidecar.current.control_address, "PUT", "/-/drain"):
            self.targets.abort(NotReady(f"{sidecar.name} rejects a drain"))
            return
        self.targets.ledger.sent_away.append(seen)
        watching = self.loop.create_task(self.targets.front.watch_ready(sidecar, seen, self.targets.clock))
        try:
            await asyncio.sleep(CLIENT_DRAIN_LIMIT_S)
            seen.judged = self.targets.clock()
            seen.idle, seen.lately = sidecar.desk.count_recent(RECENT_REQUEST_MS)
            await asyncio.sleep(max(0.0, (fault.until - fault.at) / 1000 - CLIENT_DRAIN_LIMIT_S))
            if sidecar.current.control_address is not None:
                await answers_ok(sidecar.current.control_address, "PUT", "/-/resume")
            seen.until = self.targets.clock()
            await watching
        finally:
            watching.cancel()

    async def _sidecar_stopped(self, fault: PlannedFault) -> None:
        """Stop the process with SIGSTOP repeatedly, each time for the fault's size (ms)."""
        sidecar = self.targets.sidecars[fault.target]
        rng = random.Random(f"stops {self.targets.scenario.seed} {fault.number} {fault.target}")
        over = self.targets.clock() + fault.until - fault.at
        while self.targets.clock() < over:
            # In a thread: a stop timed by this event loop would last longer when the loop is late.
            pause = await asyncio.to_thread(sidecar.pause, fault.size / 1000)
            if pause is not None:
                self._record_pause(pause, fault.size)
            await asyncio.sleep(rng.uniform(*RUN_BETWEEN_STOPS_S))

    def _record_pause(self, pause: SidecarPause, wanted: float) -> None:
        """Record a pause; the time beyond the `wanted` ms counts as a wait for a core."""
        ledger = self.targets.ledger
        ledger.pauses.append(pause)
        longer = pause.until - pause.at - wanted
        if longer > 0:
            ledger.samples.append(Sample(pause.at, 0.0, starved={pause.sidecar: longer}))

    async def _start_again(self, name: str) -> None:
        sidecar = self.targets.sidecars[name]
        await sidecar.start()
        if sidecar.pid is not None:
            self.targets.front.return_to_service(sidecar)

    async def _reload(self, fault: PlannedFault) -> None:
        """All front sidecars reload without a service by SIGHUP, and later reload with it."""
        for without in (fault.target, ""):
            for sidecar in self.targets.sidecars.values():
                if sidecar.stage == 0:
                    sidecar.reload(self.targets.operator(sidecar.name, without))
            if without:
                await wait_for_end(fault)

    async def _open_idle_connections(self, fault: PlannedFault) -> None:
        """Open many connections at once that send no request at first, and are used later on."""
        await self.targets.sidecars[fault.target].desk.open_idle(int(fault.size))
