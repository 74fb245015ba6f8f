"""A stand-in HTTP/1.1 endpoint that uses CPU, waits, calls the next tier, and fails on demand.

It follows the protocol documentation for endpoints: a request begins when its last byte has arrived, rejected
requests are answered with `X-Never-Ran`, and the endpoints of one group deduplicate a key for its class's
window. A request's class is looked up in its client's record, as sidecars may omit `X-Qos` in an attempt.
"""

from __future__ import annotations

import asyncio
import itertools
import math
import random
from collections.abc import Awaitable, Callable

from millgw.standins.capacity import AdmissionQueue, ColdBudget, mean_work
from millgw.standins.cpu import Cpu
from millgw.standins.deduplication import DeduplicationGroup
from millgw.standins.endpoint_options import ClassCost, ColdRule, EndpointFaults, EndpointOptions
from millgw.standins.http import NEVER_RAN, Clock, Message, ServerConnection, listener, ok, status
from millgw.standins.ledger import Attempt, AttemptOutcome, Handshake, Ledger, Life
from millgw.standins.request_check import answer_digest, describe_difference, make_body

MAX_WORK_FACTOR = 6.0  # upper bound of a request's random work, in multiples of its class's mean
IDLE_CHECK_INTERVAL = 0.1  # s between checks for connections that have been idle too long
STALLED_ANSWER_TIME = 3.0  # s after which the connection of a stalled answer is closed
MALFORMATIONS = ("short", "garbled", "doubled", "stalled")
WRITE_SIZE = 1 << 16  # bytes of a long answer per write
WRITE_RETRY_DELAY = 0.005  # s between checks whether a slow reader has room for the next write


HEALTH = "/health"  # path of health probes

NextTier = Callable[[Message, Attempt, ClassCost, float], Awaitable[bool]]
"""Makes one call to the next tier for an attempt, with the ms left; returns whether it succeeded."""


class Endpoint:
    """One stand-in server through all its lives, which are the times between a start and a stop."""

    def __init__(
        self,
        options: EndpointOptions,
        class_costs: dict[str, ClassCost],
        group: DeduplicationGroup,
        ledger: Ledger,
        clock: Clock,
        cold_rule: ColdRule,
        seed: int,
        next_tier: NextTier | None = None,
        on_crash: Callable[[Endpoint], None] = lambda _: None,
    ) -> None:
        self.options = options
        self.class_costs = class_costs
        self.group = group
        self.ledger = ledger
        self.clock = clock
        self.cold_rule = cold_rule
        self.seed = seed
        self.next_tier = next_tier
        self.on_crash = on_crash
        self.faults = EndpointFaults()
        self.lives = 0
        self.life: Life | None = None
        self.draining = False
        self.unreachable = False
        self.middlebox_timeout = math.inf  # ms idle after which a simulated middlebox drops a connection
        self.idle_times: dict[ServerConnection, float] = {}
        self.rng = random.Random(f"idle {seed} {options.name}")
        self.listener = listener(options.address, self)
        self.connections: set[ServerConnection] = set()
        self.attempts: dict[ServerConnection, Attempt] = {}
        self.work_tasks: set[asyncio.Task[None]] = set()
        self.queued_turns: dict[ServerConnection, asyncio.Future[None]] = {}
        self.answer_numbers = itertools.count(1)
        self.idle_timer: asyncio.TimerHandle | None = None
        self.mean_work = mean_work((t.share, t.work) for t in class_costs.values())

    # Lifecycle

    @property
    def up(self) -> bool:
        return self.life is not None and not self.unreachable

    def latest_life(self) -> Life:
        """Return the current life, or else the last one."""
        return self.life or self.last_life

    def since_unix_ms(self) -> int:
        """Return the start of its life as discovery lists it: 0 if it started warm."""
        life = self.latest_life()
        return self.clock.unix(life.start) if life.cold_ms > 0 else 0

    def start(self, cold: bool) -> Life:
        """Begin a new life; connections left from the previous one are reset."""
        self.stop()
        b, now = self.options, self.clock()
        self.lives += 1
        share, ms = (b.cold_share, b.cold_ms) if cold else (1.0, 0.0)
        self.life = self.last_life = Life(b.name, self.lives, b.tier, b.cell, now, b.speed, share, ms)
        self.ledger.lives.append(self.life)
        self.cpu = Cpu(self.life, b.cores, self.faults.slowness, self.clock)
        self.admission = AdmissionQueue(b.slots, b.waiting)
        self.budget = ColdBudget(self.life, self.cold_rule.multiple, self.cold_rule.window, self.mean_work)
        self.draining = self.unreachable = False
        self.listener.open()
        self.idle_timer = asyncio.get_running_loop().call_later(IDLE_CHECK_INTERVAL, self._close_idle)
        return self.life

    def stop(self) -> None:
        """End the process: connections are reset, new ones refused, running work is lost."""
        self._discard_work()
        self.listener.close()
        for connection in list(self.connections):
            connection.reset()
        if self.idle_timer is not None:
            self.idle_timer.cancel()
        if self.life is not None and self.life.until is None:
            self.life.until = self.clock()
        self.life = None
        self.unreachable = False

    def silence(self) -> None:
        """Let the machine vanish: nothing is answered, new connections time out, running work is lost."""
        if self.life is not None:
            self.unreachable = True
            self._discard_work()
            self.listener.silence()
            self.life.until = self.clock()

    def partition(self) -> None:
        """Partition the network: it looks like a vanished machine, but the process keeps running."""
        if self.life is not None:
            self.unreachable = True
            self._discard_work()
            self.listener.silence()

    def end_partition(self) -> None:
        """End the partition: old connections are reset, and it is as warm as it was."""
        if self.life is None or not self.unreachable:
            return
        self.listener.close()
        for connection in list(self.connections):
            connection.reset()
        self.cpu = Cpu(self.life, self.options.cores, self.faults.slowness, self.clock)
        self.admission = AdmissionQueue(self.options.slots, self.options.waiting)
        self.unreachable = False
        self.listener.open()

    def drain(self) -> None:
        self.draining = True

    def slow(self, times: float) -> None:
        self.faults.slowness = times
        if self.life is not None:
            self.cpu.slow(times)

    def _discard_work(self) -> None:
        for work in self.work_tasks:
            work.cancel()
        self.work_tasks.clear()
        self.queued_turns.clear()
        if self.life is not None:
            self.cpu.stop()

    # Connections

    def opened(self, connection: ServerConnection) -> None:
        self.connections.add(connection)
        self.ledger.handshakes.append(Handshake(self.options.name, self.lives, self.clock()))
        self.idle_times[connection] = self.options.idle * (
            self.rng.random() if self.options.idle_random else 1.0
        )
        if self.up and self.options.handshake_work > 0:
            self.cpu.add(self.options.handshake_work)

    def bytes_came(self, connection: ServerConnection) -> bool:
        return True

    def lost(self, connection: ServerConnection) -> None:
        self.connections.discard(connection)
        self.idle_times.pop(connection, None)
        attempt = self.attempts.pop(connection, None)
        if attempt is None and connection.message is not None:
            # A request whose last byte never arrived: only its headers are known.
            self._record(connection.message, complete=False)
        waiting = self.queued_turns.pop(connection, None)
        if waiting is not None and self.options.drops_waiting and self.admission.remove(waiting):
            waiting.cancel()

    def _close_idle(self) -> None:
        now = self.clock()
        for connection in list(self.connections):
            if connection.busy or connection.message is not None or connection.blackholed:
                continue
            idle = now - connection.idle_since
            if idle > self.middlebox_timeout:
                connection.blackhole()
            elif idle > self.idle_times[connection]:
                connection.close()
        self.idle_timer = asyncio.get_running_loop().call_later(IDLE_CHECK_INTERVAL, self._close_idle)

    # Requests

    def _record(self, message: Message, complete: bool = True) -> Attempt:
        """Record an attempt. An incomplete one is not checked, as its request line may be missing."""
        headers = message.headers
        trace = headers.get("x-trace-id", "")
        call = self.ledger.calls_by_trace.get(trace)
        attempt = Attempt(
            trace=trace,
            endpoint=self.options.name,
            life=self.lives,
            cell=self.options.cell,
            # A request that no simulated client sent may come from a person trying a demo.
            cls=call.cls if call is not None else headers.get("x-qos", ""),
            key=headers.get("idempotency-key", ""),
            first=message.first_byte,
        )
        if not complete:
            attempt.why = ""
        elif call is not None:
            attempt.why = describe_difference(message, call)
        elif attempt.cls not in self.class_costs:
            attempt.why = "X-Trace-Id is that of no client's request, and X-Qos names no class"
        self.ledger.attempts.append(attempt)
        return attempt

    def asked(self, connection: ServerConnection, message: Message) -> None:
        path, trace = message.first_line.split()[1], message.headers.get("x-trace-id", "")
        if path == HEALTH and self.options.probing:
            if self.up:
                unhealthy = self.draining and not self.options.drains_healthy
                connection.write(status(503) if unhealthy else ok())
                connection.request_done()
            return
        if not trace or not path.startswith("/api"):
            connection.write(status(404))
            connection.request_done()
            return
        attempt = self._record(message)
        attempt.last, attempt.last_read = message.last_byte, message.last_byte_read
        task = self.class_costs.get(attempt.cls)
        attempt.work = task.work if task is not None else 0.0
        self.attempts[connection] = attempt
        if not self.up:
            return  # silent: requests on open connections are never answered
        if not self.budget.send(message.last_byte, attempt.work):
            assert self.life is not None
            self.life.fell = self.clock()
            self.stop()
            self.on_crash(self)
            return
        if task is None or attempt.why:
            attempt.why = attempt.why or f"{attempt.cls!r} is no class of this tier"
            self._send_answer(connection, attempt, AttemptOutcome.UNUSABLE, status(400))
        elif self._rejects() or len(self.connections) > self.options.connections:
            self._send_answer(connection, attempt, AttemptOutcome.NEVER_RAN, status(503, NEVER_RAN))
        else:
            self._admit(connection, message, attempt, task)

    def _rejects(self) -> bool:
        return self.draining and not self.options.drains_serving

    def _admit(
        self, connection: ServerConnection, message: Message, attempt: Attempt, task: ClassCost
    ) -> None:
        rng = random.Random(f"{self.seed} {attempt.trace} {self.options.name}")
        if self._time_left(message, attempt, task) <= 0:
            self._send_answer(connection, attempt, AttemptOutcome.NEVER_RAN, status(504, NEVER_RAN))
        elif rng.random() < self.faults.resetting:
            self._send_answer(connection, attempt, AttemptOutcome.RESET, b"")
        elif rng.random() < self.faults.failing:
            self._send_answer(connection, attempt, AttemptOutcome.ERROR, status(500))
        else:
            turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            entered = self.admission.enter(turn)
            if entered is None:
                self._send_answer(connection, attempt, AttemptOutcome.NEVER_RAN, status(503, NEVER_RAN))
                return
            if entered:
                turn.set_result(None)
            else:
                self.queued_turns[connection] = turn
            work = asyncio.get_running_loop().create_task(
                self._work(connection, message, attempt, task, turn, rng)
            )
            self.work_tasks.add(work)
            work.add_done_callback(self.work_tasks.discard)

    async def _work(
        self,
        connection: ServerConnection,
        message: Message,
        attempt: Attempt,
        task: ClassCost,
        turn: asyncio.Future[None],
        rng: random.Random,
    ) -> None:
        if not message.reused:
            await asyncio.sleep(self.options.handshake_ms / 1000)
        await turn
        self.queued_turns.pop(connection, None)
        admission = self.admission
        try:
            body = await self._answer_body(message, attempt, task, rng)
        finally:
            following = admission.leave()
            if isinstance(following, asyncio.Future) and not following.done():
                following.set_result(None)
        if body is None:
            self._send_answer(connection, attempt, AttemptOutcome.ERROR, status(500))
        elif rng.random() < self.faults.spoiling:
            await self._send_malformed(connection, attempt, body, rng.choice(MALFORMATIONS))
        elif task.answer:
            await self._send_paced(
                connection, attempt, body + make_body(attempt.trace, task.answer), task.pace
            )
        else:
            attempt.token = answer_digest(body)
            self._send_answer(connection, attempt, AttemptOutcome.OK, ok(body))

    async def _answer_body(
        self, message: Message, attempt: Attempt, task: ClassCost, rng: random.Random
    ) -> bytes | None:
        """Return the body of a 200, from its own run or that of the request it repeats; None on failure."""
        if not task.keyed:
            return await self._run(message, attempt, task, rng)
        run, repeat = self.group.begin(attempt.key, self.clock(), task.window, attempt.trace)
        if repeat:
            attempt.repeat_of = run.trace
            await run.ended.wait()
            return run.body
        try:
            run.body = await self._run(message, attempt, task, rng)
        finally:
            run.ended.set()
        return run.body

    async def _run(
        self, message: Message, attempt: Attempt, task: ClassCost, rng: random.Random
    ) -> bytes | None:
        attempt.began = self.clock()
        sigma = math.sqrt(math.log(1 + task.cv**2))
        work = task.work * min(MAX_WORK_FACTOR, rng.lognormvariate(-sigma * sigma / 2, sigma))
        await self.cpu.run(work / 2)
        await asyncio.sleep(task.wait * rng.uniform(0.5, 1.5) * self.faults.slowness / 1000)
        served = True
        if self.next_tier is not None:
            whole, part = divmod(task.calls, 1.0)
            for _ in range(int(whole) + (rng.random() < part)):
                left = self._time_left(message, attempt, task)
                if left <= 0 or not await self.next_tier(message, attempt, task, left):
                    served = False
                    break
        if served:
            await self.cpu.run(work / 2)
        attempt.ended = self.clock()
        if not served:
            return None
        body = f"{attempt.trace} {self.options.name} {next(self.answer_numbers)}\n".encode()
        return body + b"." * rng.randrange(16, 400)

    def _time_left(self, message: Message, attempt: Attempt, task: ClassCost) -> float:
        """Return the ms left by `X-Expires-In-Ms`, or by the client's record if that is unusable."""
        header = message.headers.get("x-expires-in-ms", "")
        if header.isascii() and header.isdigit():
            return float(header) - (self.clock() - message.last_byte)
        call = self.ledger.calls_by_trace.get(attempt.trace)
        if call is not None and call.sent is not None:
            return call.sent + call.patience - self.clock()
        return task.deadline - (self.clock() - message.last_byte)

    # Answers

    def _send_answer(
        self, connection: ServerConnection, attempt: Attempt, outcome: AttemptOutcome, data: bytes
    ) -> None:
        if self.attempts.pop(connection, None) is None:
            return  # the sidecar has closed the connection
        attempt.told, attempt.told_at = outcome, self.clock()
        if outcome is AttemptOutcome.RESET:
            connection.reset()
            return
        connection.write(data)
        connection.request_done()
        if self.options.uses and connection.requests >= self.options.uses:
            connection.close()

    async def _send_paced(
        self, connection: ServerConnection, attempt: Attempt, body: bytes, pace: float
    ) -> None:
        """Write an answer in pieces, as fast as the reader accepts them but at most `pace` bytes per s."""
        attempt.token = answer_digest(body)
        data = ok(body)
        for at in range(0, len(data), WRITE_SIZE):
            while connection.unsent > WRITE_SIZE:
                await asyncio.sleep(WRITE_RETRY_DELAY)
            if self.attempts.get(connection) is not attempt:
                return  # the sidecar has closed the connection
            connection.write(data[at : at + WRITE_SIZE])
            if pace:
                await asyncio.sleep(WRITE_SIZE / pace)
        self._send_answer(connection, attempt, AttemptOutcome.OK, b"")

    async def _send_malformed(
        self, connection: ServerConnection, attempt: Attempt, body: bytes, how: str
    ) -> None:
        whole = ok(body)
        if how == "doubled":
            # The first answer is valid and counts; the second one belongs to no request.
            attempt.token = answer_digest(body)
            self._send_answer(connection, attempt, AttemptOutcome.OK, whole + ok(b"nobody's"))
            return
        data = {"short": whole[:-5], "garbled": b"HTTP/1.1 2x0 ?\r\n" + whole, "stalled": whole[:-9]}[how]
        if self.attempts.get(connection) is not attempt:
            return
        attempt.told, attempt.told_at = AttemptOutcome.SPOILT, self.clock()
        connection.write(data)
        if how == "stalled":
            await asyncio.sleep(STALLED_ANSWER_TIME)
        connection.close()
