"""The simulated front load balancer, and the clients behind it with their retry behaviour."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping, Sequence
from functools import partial

from millgw.load.arrivals import Arrival
from millgw.rehearsal.scenario import Class
from millgw.rehearsal.sidecars import Sidecar
from millgw.standins.http import Clock
from millgw.standins.ledger import Call, End, Ledger, SentAway
from millgw.standins.sidecar_client import SidecarClient, ready

DEATH_NOTICE_DELAY_S = (1.2, 3.7)  # s (range) until the front notices that a sidecar has died
TERM_REMOVAL_DELAY_S = (0.2, 0.4)  # s (range) after SIGTERM during which new connections still arrive
READY_CHECK_INTERVAL_S = 0.1  # s between two checks of /ready of a sidecar that is draining its clients
NOT_READY_REMOVAL_DELAY_S = 0.2  # s after /ready says no until new connections stop
MIN_ATTEMPT_TIME_MS = 20.0  # ms that must be left before the deadline for an attempt to be made
SAME_SIDECAR_RETRY_INTERVAL_MS = 150.0  # ms between two attempts of a client that repeats at the same sidecar
NO_CONNECTION_RETRY_DELAY_MS = 50.0  # ms before a client that got no connection tries again


class Front:
    """Distributes requests at random among the sidecars that it considers in service."""

    def __init__(self, sidecars: Sequence[Sidecar], seed: int) -> None:
        self.rng = random.Random(f"front {seed}")
        self.in_service: list[SidecarClient] = [s.desk for s in sidecars]
        self.draining: list[SidecarClient] = []
        self.dead: set[SidecarClient] = set()

    def sidecar_died(self, sidecar: Sidecar) -> None:
        self.dead.add(sidecar.desk)
        self._schedule(DEATH_NOTICE_DELAY_S, lambda: self._remove_if_still_dead(sidecar.desk))

    def _remove_if_still_dead(self, desk: SidecarClient) -> None:
        """Drop a sidecar unless it is back already: nothing would put it into service a second time."""
        if desk in self.dead:
            self._remove(desk)

    def sidecar_terminating(self, sidecar: Sidecar) -> None:
        """A sidecar got SIGTERM: clients keep using the connections that they have."""
        self.draining.append(sidecar.desk)
        self._schedule(TERM_REMOVAL_DELAY_S, lambda: self._remove(sidecar.desk))

    async def watch_ready(self, sidecar: Sidecar, seen: SentAway, clock: Clock) -> None:
        """Poll /ready of a sidecar that sends clients away until it accepts them again.

        Clients keep using the connections that they have.
        """
        while seen.until is None or seen.yes_at is None:
            is_ready = await ready(sidecar.listen)
            if not is_ready and seen.no_at is None:
                seen.no_at = clock()
                self.draining.append(sidecar.desk)
                self._schedule(
                    (NOT_READY_REMOVAL_DELAY_S, NOT_READY_REMOVAL_DELAY_S),
                    partial(self._remove_if_still_draining, sidecar.desk, seen),
                )
            if is_ready and seen.until is not None:
                seen.yes_at = clock()
                self.return_to_service(sidecar)
            await asyncio.sleep(READY_CHECK_INTERVAL_S)

    def _remove_if_still_draining(self, desk: SidecarClient, seen: SentAway) -> None:
        if seen.yes_at is None:
            self._remove(desk)

    def _remove(self, desk: SidecarClient) -> None:
        if desk in self.in_service:
            self.in_service.remove(desk)

    def return_to_service(self, sidecar: Sidecar) -> None:
        self.dead.discard(sidecar.desk)
        if sidecar.desk in self.draining:
            self.draining.remove(sidecar.desk)
        if sidecar.desk not in self.in_service:
            self.in_service.append(sidecar.desk)

    def _schedule(self, delay_s: tuple[float, float], action: Callable[[], None]) -> None:
        asyncio.get_running_loop().call_later(self.rng.uniform(*delay_s), action)

    def pick(self) -> SidecarClient | None:
        """The sidecar for the next request; None if there is none."""
        connected = [d for d in self.draining if d.idle and d not in self.in_service]
        candidates = self.in_service + connected
        return self.rng.choice(candidates) if candidates else None


class Clients:
    """All clients: each arrival is a request with its retries, independent of the others."""

    def __init__(
        self,
        front: Front,
        classes: Sequence[Class],
        ledger: Ledger,
        clock: Clock,
        seed: int,
        hosts: Mapping[str, str],
        same_sidecar_share: float = 0.0,
    ) -> None:
        self.same_sidecar_share = same_sidecar_share
        self.front = front
        self.classes = {c.name: c for c in classes}
        self.hosts = dict(hosts)
        self.ledger = ledger
        self.clock = clock
        self.seed = seed
        self.request_tasks: set[asyncio.Task[None]] = set()

    async def play(self, arrivals: Sequence[Arrival], start: float) -> None:
        """Send each arrival at its time (open-loop load: earlier requests are not waited for)."""
        loop = asyncio.get_running_loop()
        for arrival in arrivals:
            due = start + arrival.at
            while (remaining := due - self.clock()) > 0:
                await asyncio.sleep(remaining / 1000)
            self.ledger.late.append((due, self.clock() - due))
            task = loop.create_task(self._run_request(arrival, due))
            self.request_tasks.add(task)
            task.add_done_callback(self.request_tasks.discard)

    async def _run_request(self, arrival: Arrival, due: float) -> None:
        cls = self.classes[arrival.cls]
        deadline = due + cls.deadline_ms
        root = f"{self.seed & 0xFFFF:04x}{arrival.number:010x}00"
        for number in range(arrival.retries + 1):
            patience = int(min(arrival.patience, deadline - self.clock()))
            if patience < MIN_ATTEMPT_TIME_MS:
                return
            call = Call(
                trace=f"{root[:-2]}{number:02x}",
                root=root,
                stage=0,
                cls=arrival.cls,
                tenant=arrival.tenant,
                key=arrival.key,
                sidecar="",
                due=due if number == 0 else self.clock(),
                patience=patience,
                method="GET" if cls.repeat == "retryable" else "POST",
                number=number,
                host=self.hosts.get(arrival.cls, "app.svc"),
                body=int(cls.body_kb * 1024),
                pace=cls.pace_kb_s * 1024,
            )
            first = call
            call = await self._send(first, arrival.leaves)
            no_answer = first.end in (End.BROKEN, End.CROSSED) and call.end in (End.BROKEN, End.NOT_TAKEN)
            if cls.repeat == "fragile" and no_answer and self._retries_same_sidecar(arrival):
                await self._retry_same_sidecar(call, deadline)
                return
            if call.status == 200 or not may_retry(call, cls):
                return
            wait = NO_CONNECTION_RETRY_DELAY_MS if call.end is End.NOT_TAKEN else arrival.wait
            if arrival.honours:
                wait = max(wait, call.retry_after)
            await asyncio.sleep(wait / 1000)

    def _retries_same_sidecar(self, arrival: Arrival) -> bool:
        return random.Random(f"insists {self.seed} {arrival.number}").random() < self.same_sidecar_share

    async def _retry_same_sidecar(self, call: Call, deadline: float) -> None:
        """Repeat a request at the same sidecar until it answers, as a client may that got no answer."""
        desks = [d for d in (*self.front.in_service, *self.front.draining) if d.name == call.sidecar]
        while (
            desks
            and call.end in (End.BROKEN, End.NOT_TAKEN)
            and deadline - self.clock() > 2 * SAME_SIDECAR_RETRY_INTERVAL_MS
        ):
            await asyncio.sleep(SAME_SIDECAR_RETRY_INTERVAL_MS / 1000)
            call = copy_call(call, self.clock(), deadline - self.clock())
            await send_call(desks[0], call, self.ledger)

    async def _send(self, call: Call, leaves: float | None) -> Call:
        desk = self.front.pick()
        if desk is None:
            call.end = End.NOT_TAKEN
            self.ledger.add_call(call)
            return call
        task = asyncio.get_running_loop().create_task(send_call(desk, call, self.ledger))
        handle = asyncio.get_running_loop().call_later(leaves / 1000, task.cancel) if leaves else None
        try:
            return await task
        except asyncio.CancelledError:
            if not task.cancelled():
                raise
            return call
        finally:
            if handle is not None:
                handle.cancel()


async def send_call(desk: SidecarClient, call: Call, ledger: Ledger) -> Call:
    """Make a call, once more if a close crossed the request; returns the last record of it."""
    call.sidecar = desk.name
    ledger.add_call(call)
    await desk.send_call(call)
    if call.end is not End.CROSSED:
        return call
    repeated = copy_call(call, call.due, call.patience)
    ledger.add_call(repeated)
    await desk.send_call(repeated, fresh=True)
    return repeated


def copy_call(call: Call, due: float, patience: float) -> Call:
    """The same request as a new call."""
    return Call(
        call.trace, call.root, call.stage, call.cls, call.tenant, call.key, call.sidecar, due,
        patience=float(int(patience)), method=call.method, number=call.number, host=call.host,
        body=call.body, pace=call.pace,
    )  # fmt: skip


def may_retry(call: Call, cls: Class) -> bool:
    """Whether a client retries: what may have run is retried only if its class allows repeats."""
    if call.end is End.LEFT:
        return False
    if call.end is End.NOT_TAKEN or call.status in (429, 503):
        return True
    return cls.repeat != "fragile"
