"""Control server and hot restart of one process. Loaded only where a control address is configured."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Mapping

from millgw.callers.reuseport import select_listener
from millgw.control.call_table import CallTable, yes_no_answer
from millgw.control.server import ControlServer
from millgw.hot_restart import limits, old_process
from millgw.hot_restart.learned import export_learned
from millgw.hot_restart.new_process import NewProcess
from millgw.hot_restart.shared_table import open_shared_table, shared_table_path
from millgw.hot_restart.state import PoolState, State, encode
from millgw.http.message import Answer, Content
from millgw.log.events import log_event
from millgw.platform.config import Address, Config
from millgw.pool.metrics import metrics_json, out_of_rotation_json
from millgw.pool.pool import Pool
from millgw.pool.pool_start import class_names
from millgw.pool.sent_ids import TABLE_SIZE
from millgw.sidecar.assembly import SidecarParts

JSON_HEADER = b"Content-Type: application/json\r\n"
TAKEOVER_POLL_INTERVAL = 0.02  # s between checks whether this process can take over
PROCESS_POLL_INTERVAL = 0.2  # s between checks whether the other process still runs
MAX_MISSED_POLLS = 2  # failed checks in a row: a single one may have met a full backlog of the successor


def _pool_state(pool: Pool) -> PoolState | None:
    """The state that the successor process may use; None where its source starts anew in any case."""
    source, driver = pool.source.list_state(), pool.driver
    if source is None:
        return None
    return PoolState(
        name=pool.name,
        source=source,
        endpoints=driver.ready_entries(),
        zones=pool.config.zones,
        age=driver.balancer.discovery.hand_over(driver.clock()),
        learned=export_learned(driver.balancer) | {"classes": class_names(pool.settings)},
    )


class ControlInterface:
    """The control server of one process, and its links to the predecessor and the successor process."""

    def __init__(
        self, config: Config, control: Address, environ: Mapping[str, str], parts: SidecarParts
    ) -> None:
        self.config = config
        self.control = control
        self.parts = parts
        lifecycle = parts.lifecycle
        self.new_process = NewProcess(self._snapshot, self._on_takeover)
        calls = CallTable()
        calls.add("GET", "/-/ready", lambda _: yes_no_answer(lifecycle.ready(), "able to serve"))
        calls.add("GET", "/-/metrics", lambda _: Answer(200, Content(JSON_HEADER, self._metrics())))
        calls.add(
            "GET",
            "/-/endpoints",
            lambda _: Answer(200, Content(JSON_HEADER, out_of_rotation_json(parts.pools()))),
        )
        calls.add("PUT", "/-/drain", lambda _: yes_no_answer(lifecycle.drain(time.monotonic()), "drained"))
        calls.add("PUT", "/-/resume", lambda _: yes_no_answer(lifecycle.resume(), "serving"))
        self.new_process.register(calls)
        self.handover_path = old_process.handover_path(environ)
        self.old_process = (
            None if self.handover_path is None else old_process.find_old_process(self.handover_path, control)
        )
        self._share_sent_ids(environ)
        self.old_process_task: asyncio.Task[None] | None = None  # while the predecessor runs
        self.successor_task: asyncio.Task[None] | None = None  # while the successor runs
        self.server = ControlServer(control, calls)
        self.server.start()

    def _share_sent_ids(self, environ: Mapping[str, str]) -> None:
        """Share the IDs of sent calls with the other process of an upgrade: a copy may come to either."""
        self.sent_ids_path = shared_table_path(environ, self.config)
        if self.sent_ids_path is None:
            return
        try:
            self.parts.sent_ids.share(open_shared_table(self.sent_ids_path, TABLE_SIZE))
        except (OSError, ValueError) as error:
            log_event("handover-unusable", cause=error)

    def _metrics(self) -> bytes:
        configuration = self.parts.configuration
        extra: dict[str, object] = {} if configuration is None else {"configuration": configuration.figures()}
        pools = self.parts.pools()
        zones = {pool.name: figures for pool in pools if (figures := pool.locality()) is not None}
        if zones:
            extra["locality"] = zones
        return metrics_json(pools, extra)

    @property
    def steered(self) -> bool:
        """Whether the kernel gives all new connections to the successor."""
        return self.new_process.steered

    async def start_pools(self, stop: asyncio.Event) -> None:
        """Start the pools; if a predecessor serves, return only when this process can take over."""
        if self.old_process is None:
            self.parts.start_pools(None)
            return
        started_at = time.monotonic()
        state = await asyncio.to_thread(self.old_process.fetch_state, self.config.name, self.config.zones)
        total = self.parts.descriptors.total
        held_by_old = total // 2 if state is None else state.held
        self._apply_share(limits.split_descriptors(total, held_by_old)[1], paired=True)
        self.parts.start_pools(state)
        if state is not None and state.drained:
            self.parts.lifecycle.drain(time.monotonic())
        while not stop.is_set():
            pools = self.parts.pools()
            knows_endpoints = any(pool.driver.ready for pool in pools)
            heard_from_discovery = all(not pool.driver.balancer.discovery.disconnected() for pool in pools)
            if limits.may_serve(knows_endpoints, heard_from_discovery, time.monotonic() - started_at):
                return
            await asyncio.sleep(TAKEOVER_POLL_INTERVAL)

    async def announce(self) -> None:
        """Steer new connections to this process, publish how to reach it, and notify the predecessor.

        Called once this process listens. Returns when the predecessor has acknowledged or can't be reached:
        it may get SIGTERM as soon as this process reports ready, and has to know its successor by then.
        """
        steered = self.old_process is not None and all(
            select_listener(s.socket) for s in self.parts.servers()
        )
        self._publish_handover()
        if self.old_process is not None:
            await asyncio.to_thread(self.old_process.announce_successor, self.control, steered)
            self.old_process_task = asyncio.create_task(self._watch_old_process(self.old_process))

    def _publish_handover(self) -> None:
        """Write the file by which a successor finds this process."""
        if self.handover_path is not None:
            try:
                self.new_process.token = old_process.publish_handover(self.handover_path, self.control)
            except OSError as error:
                log_event("handover-unusable", cause=error)

    async def _watch_old_process(self, old: old_process.OldProcess) -> None:
        while await asyncio.to_thread(old.is_running):
            await asyncio.sleep(PROCESS_POLL_INTERVAL)
        self.old_process_task = None
        self._reclaim_if_alone()
        log_event("alone", control=old.control)

    def _apply_share(self, descriptor_limit: int, paired: bool) -> None:
        """Set the descriptor limit, and share cold endpoints' allowances with another process if `paired`."""
        self.parts.descriptors.set_limit(descriptor_limit)
        for pool in self.parts.pools():
            pool.driver.balancer.set_paired(paired)

    # The successor

    async def has_successor(self) -> bool:
        return await asyncio.to_thread(self.new_process.is_running)

    def _on_takeover(self) -> None:
        descriptors = self.parts.descriptors
        self._apply_share(limits.split_descriptors(descriptors.total, descriptors.in_use())[0], paired=True)
        if self.successor_task is not None:
            self.successor_task.cancel()
        self.successor_task = asyncio.create_task(self._watch_successor())

    async def _watch_successor(self) -> None:
        """Reclaim the full limits if the successor dies before this process has exited."""
        missed = 0
        while missed < MAX_MISSED_POLLS:
            await asyncio.sleep(PROCESS_POLL_INTERVAL)
            missed = 0 if await self.has_successor() else missed + 1
        log_event("successor-gone", control=self.new_process.control)
        self.new_process.forget()
        self.successor_task = None
        self._reclaim_if_alone()
        self._publish_handover()

    def _reclaim_if_alone(self) -> None:
        """Reclaim the full limits unless another process of this sidecar still runs: upgrades may overlap."""
        if self.old_process_task is None and self.successor_task is None:
            self._apply_share(self.parts.descriptors.total, paired=False)

    def _snapshot(self) -> bytes:
        lifecycle, held = self.parts.lifecycle, self.parts.descriptors.in_use()
        states = [_pool_state(pool) for pool in self.parts.pools() if not pool.retired]
        pools = tuple(state for state in states if state is not None)
        return encode(State(time.time() * 1000, self.config.name, pools, lifecycle.drained, held))

    def stop(self) -> None:
        self.server.stop()
        if self.sent_ids_path is not None and self.new_process.control is None:
            self.sent_ids_path.unlink(missing_ok=True)
        for task in (self.old_process_task, self.successor_task):
            if task is not None:
                task.cancel()
