"""The simulated front load balancer, and the clients behind it with their retry behaviour."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping, Sequence
from functools import partial

from millgw.load.arrivals import Arrival
from millgw.rehearsal.scenario import Class
from millgw.rehearsal.sidecars import Sidecar
from millgw.standins.caller import Desk, ready
from millgw.standins.http import Clock
from millgw.standins.ledger import Call, End, Ledger, SentAway

NOTICE = (1.2, 3.7)  # s (range) until the front notices that a sidecar has died
LEAVING = (0.2, 0.4)  # s (range) after SIGTERM during which new connections still arrive
LOOK_EVERY = 0.1  # s between two checks of /ready of a sidecar that is draining its clients
HEEDED = 0.2  # s after /ready says no until new connections stop
LEAST = 20.0  # ms that must be left before the deadline for an attempt to be made
INSIST_EVERY = 150.0  # ms between two attempts of a client that repeats at the same sidecar
PAUSE = 50.0  # ms before a client that got no connection tries again


class Front:
    """Distributes requests at random among the sidecars that it considers in service."""

    def __init__(self, sidecars: Sequence[Sidecar], seed: int) -> None:
        self.rng = random.Random(f"front {seed}")
        self.taking: list[Desk] = [s.desk for s in sidecars]
        self.leaving: list[Desk] = []
        self.dead: set[Desk] = set()

    def died(self, sidecar: Sidecar) -> None:
        self.dead.add(sidecar.desk)
        self._later(NOTICE, lambda: self._notice(sidecar.desk))

    def _notice(self, desk: Desk) -> None:
        """Drop a sidecar unless it is back already: nothing would put it into service a second time."""
        if desk in self.dead:
            self._drop(desk)

    def leaves(self, sidecar: Sidecar) -> None:
        """A sidecar got SIGTERM: clients keep using the connections that they have."""
        self.leaving.append(sidecar.desk)
        self._later(LEAVING, lambda: self._drop(sidecar.desk))

    async def watch(self, sidecar: Sidecar, seen: SentAway, clock: Clock) -> None:
        """Poll /ready of a sidecar that sends clients away until it accepts them again.

        Clients keep using the connections that they have.
        """
        while seen.until is None or seen.yes_at is None:
            said = await ready(sidecar.listen)
            if not said and seen.no_at is None:
                seen.no_at = clock()
                self.leaving.append(sidecar.desk)
                self._later((HEEDED, HEEDED), partial(self._heed, sidecar.desk, seen))
            if said and seen.until is not None:
                seen.yes_at = clock()
                self.back(sidecar)
            await asyncio.sleep(LOOK_EVERY)

    def _heed(self, desk: Desk, seen: SentAway) -> None:
        if seen.yes_at is None:
            self._drop(desk)

    def _drop(self, desk: Desk) -> None:
        if desk in self.taking:
            self.taking.remove(desk)

    def back(self, sidecar: Sidecar) -> None:
        self.dead.discard(sidecar.desk)
        if sidecar.desk in self.leaving:
            self.leaving.remove(sidecar.desk)
        if sidecar.desk not in self.taking:
            self.taking.append(sidecar.desk)

    def _later(self, after: tuple[float, float], do: Callable[[], None]) -> None:
        asyncio.get_running_loop().call_later(self.rng.uniform(*after), do)

    def pick(self) -> Desk | None:
        """The sidecar for the next request; None if there is none."""
        held = [d for d in self.leaving if d.idle and d not in self.taking]
        among = self.taking + held
        return self.rng.choice(among) if among else None


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
        insist: float = 0.0,
    ) -> None:
        self.insist = insist
        self.front = front
        self.classes = {c.name: c for c in classes}
        self.hosts = dict(hosts)
        self.ledger = ledger
        self.clock = clock
        self.seed = seed
        self.journeys: set[asyncio.Task[None]] = set()

    async def play(self, arrivals: Sequence[Arrival], zero: float) -> None:
        """Send each arrival at its time (open-loop load: earlier requests are not waited for)."""
        loop = asyncio.get_running_loop()
        for arrival in arrivals:
            due = zero + arrival.at
            while (ahead := due - self.clock()) > 0:
                await asyncio.sleep(ahead / 1000)
            self.ledger.late.append((due, self.clock() - due))
            task = loop.create_task(self._journey(arrival, due))
            self.journeys.add(task)
            task.add_done_callback(self.journeys.discard)

    async def _journey(self, arrival: Arrival, due: float) -> None:
        cls = self.classes[arrival.cls]
        end = due + cls.deadline_ms
        root = f"{self.seed & 0xFFFF:04x}{arrival.number:010x}00"
        for number in range(arrival.retries + 1):
            patience = int(min(arrival.patience, end - self.clock()))
            if patience < LEAST:
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
            call = await self._ask(first, arrival.leaves)
            unheard = first.end in (End.BROKEN, End.CROSSED) and call.end in (End.BROKEN, End.NOT_TAKEN)
            if cls.repeat == "fragile" and unheard and self._insists(arrival):
                await self._again_and_again(call, end)
                return
            if call.status == 200 or not again(call, cls):
                return
            wait = PAUSE if call.end is End.NOT_TAKEN else arrival.wait
            if arrival.honours:
                wait = max(wait, call.retry_after)
            await asyncio.sleep(wait / 1000)

    def _insists(self, arrival: Arrival) -> bool:
        return random.Random(f"insists {self.seed} {arrival.number}").random() < self.insist

    async def _again_and_again(self, call: Call, end: float) -> None:
        """Repeat a request at the same sidecar until it answers, as a client may that got no answer."""
        desks = [d for d in (*self.front.taking, *self.front.leaving) if d.name == call.sidecar]
        while desks and call.end in (End.BROKEN, End.NOT_TAKEN) and end - self.clock() > 2 * INSIST_EVERY:
            await asyncio.sleep(INSIST_EVERY / 1000)
            call = copy(call, self.clock(), end - self.clock())
            await ask(desks[0], call, self.ledger)

    async def _ask(self, call: Call, leaves: float | None) -> Call:
        desk = self.front.pick()
        if desk is None:
            call.end = End.NOT_TAKEN
            self.ledger.book(call)
            return call
        task = asyncio.get_running_loop().create_task(ask(desk, call, self.ledger))
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


async def ask(desk: Desk, call: Call, ledger: Ledger) -> Call:
    """Make a call, once more if a close crossed the request; returns the last record of it."""
    call.sidecar = desk.name
    ledger.book(call)
    await desk.ask(call)
    if call.end is not End.CROSSED:
        return call
    again = copy(call, call.due, call.patience)
    ledger.book(again)
    await desk.ask(again, fresh=True)
    return again


def copy(call: Call, due: float, patience: float) -> Call:
    """The same request as a new call."""
    return Call(
        call.trace, call.root, call.stage, call.cls, call.tenant, call.key, call.sidecar, due,
        patience=float(int(patience)), method=call.method, number=call.number, host=call.host,
        body=call.body, pace=call.pace,
    )  # fmt: skip


def again(call: Call, cls: Class) -> bool:
    """Whether a client retries: what may have run is retried only if its class allows repeats."""
    if call.end is End.LEFT:
        return False
    if call.end is End.NOT_TAKEN or call.status in (429, 503):
        return True
    return cls.repeat != "fragile"
