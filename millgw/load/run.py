"""A run: starts the senders, hands them their arrivals ahead of their times, and gathers what they saw."""

from __future__ import annotations

import multiprocessing
import os
import signal
import time
from collections.abc import Callable, Iterable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field, replace
from multiprocessing import resource_tracker
from multiprocessing.connection import Connection as Pipe
from multiprocessing.connection import wait
from multiprocessing.context import SpawnContext
from multiprocessing.process import BaseProcess
from typing import Any, cast

from millgw.load.arrivals import Arrival
from millgw.load.behind import reasons
from millgw.load.plan import part
from millgw.load.result import Tally
from millgw.load.sender import Orders, work

SETTLE = 0.5  # s between the senders' being ready and the first arrival
PART = 500.0  # ms of arrivals in one part
AHEAD = 3000.0  # ms before its time at which a part is handed over
START_TIME = 30.0  # s for senders to start and to open their connections
PAST = 5.0  # s past the last client's patience for which senders are waited for


class NoTarget(OSError):
    """Nobody can be reached there."""


@dataclass(slots=True)
class Run:
    """What a run came to. `reasons` are why it is invalid, if it is."""

    tally: Tally
    planned: int
    seconds: float
    senders: int
    stopped: bool = False
    reasons: list[str] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class Bounds:
    """When a run is invalid: more than `share` of the sends over `late` ms late."""

    late: float
    share: float


class Fleet:
    """The senders' processes. `pids` for whoever wants to do something to them."""

    def __init__(self, orders: Orders, senders: int, cores: list[int] | None) -> None:
        spawn = multiprocessing.get_context("spawn")
        self.pipes: list[Pipe] = []
        self.processes: list[BaseProcess] = []
        # Ctrl-C at a terminal reaches all of a group; the senders are to end by this process's word alone.
        # The tracker is up before: its start would let the signal through again.
        resource_tracker.ensure_running()
        before = signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGINT})
        try:
            self._start(spawn, orders, senders, cores)
        finally:
            signal.pthread_sigmask(signal.SIG_SETMASK, before)

    def _start(self, spawn: SpawnContext, orders: Orders, senders: int, cores: list[int] | None) -> None:
        for number in range(senders):
            mine, theirs = spawn.Pipe()
            of_one = replace(
                orders,
                most=max(1, orders.most // senders),
                ahead=-(-orders.ahead // senders),
                core=cores[number % len(cores)] if cores else None,
            )
            process = spawn.Process(target=work, args=(theirs, of_one), daemon=True)
            process.start()
            theirs.close()
            self.pipes.append(mine)
            self.processes.append(process)

    @property
    def pids(self) -> list[int]:
        return [p.pid for p in self.processes if p.pid is not None]

    def ready(self, ahead: int) -> None:
        """Wait until all are."""
        up, end = 0, time.monotonic() + START_TIME
        for pipe in self.pipes:
            if not pipe.poll(max(0.0, end - time.monotonic())):
                raise NoTarget("the senders did not start in time")
            try:
                up += pipe.recv()[1]
            except EOFError:
                raise NoTarget("a sender ended as it started") from None
        if ahead and not up:
            raise NoTarget("no connection comes up to the target")

    def say(self, number: int, word: str, value: object = None) -> None:
        # One that has ended: its share is missing from what the others tell, and that is said.
        with suppress(OSError):
            self.pipes[number].send((word, value))

    def close(self) -> None:
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.join()


def play(
    arrivals: Iterable[Arrival],
    seconds: float,
    fleet: Fleet,
    bounds: Bounds,
    longest: float,
    progress: Callable[[float, int], None] = lambda _, __: None,
    planned: Callable[[Arrival], None] = lambda _: None,
) -> Run:
    """Have a fleet that is ready send all arrivals. `longest` is the longest wait of a client (ms).

    `planned` is told each arrival as it is handed over. A KeyboardInterrupt stops the sending; what was seen
    by then is reported.
    """
    zero = time.monotonic() + SETTLE
    for number in range(len(fleet.pipes)):
        fleet.say(number, "go", zero)
    made = Run(Tally(), 0, seconds, len(fleet.pipes))
    far = [0] * len(fleet.pipes)
    saw: dict[int, Tally] = {}
    ended: set[int] = set()

    def listen(until: float) -> None:
        """Hear the senders until a time of the run (ms)."""
        while True:
            left = until / 1000 - (time.monotonic() - zero)
            open_ones = {p: i for i, p in enumerate(fleet.pipes) if i not in saw and i not in ended}
            if not open_ones:
                time.sleep(max(0.0, left))
                return
            for pipe in wait(list(open_ones), max(0.0, min(left, 0.25))):
                number = open_ones[cast(Pipe, pipe)]
                try:
                    heard: tuple[str, Any] = cast(Pipe, pipe).recv()
                except (EOFError, OSError):
                    ended.add(number)
                    continue
                if heard[0] == "saw":
                    saw[number] = Tally.of(heard[1])
                else:
                    far[number] = heard[1]
            progress(max(0.0, time.monotonic() - zero), sum(far))
            if left <= 0:
                return

    try:
        for start, some in parts(arrivals):
            listen(start - AHEAD)
            for arrival in some:
                planned(arrival)
            made.planned += len(some)
            for number in range(len(fleet.pipes)):
                of_one = part(some, number, len(fleet.pipes))
                if of_one:
                    fleet.say(number, "part", of_one)
    except KeyboardInterrupt:
        made.stopped = True
        made.seconds = max(0.001, time.monotonic() - zero)
    for number in range(len(fleet.pipes)):
        fleet.say(number, "stop" if made.stopped else "end")
    end = time.monotonic() + (0 if made.stopped else max(0.0, seconds - (time.monotonic() - zero)))
    end += longest / 1000 + PAST
    while len(saw) + len(ended) < len(fleet.pipes) and time.monotonic() < end:
        listen((time.monotonic() - zero) * 1000 + 100)
    for tally in saw.values():
        made.tally.add(tally)
    sent = sum(s.sent for s in made.tally.seconds.values())
    lost = len(fleet.pipes) - len(saw)
    made.reasons = reasons(
        sent if made.stopped and not lost else made.planned, sent, made.tally.late(), bounds.late,
        bounds.share, lost,
    )  # fmt: skip
    return made


def parts(arrivals: Iterable[Arrival]) -> Iterator[tuple[float, list[Arrival]]]:
    """Arrivals in parts of PART ms, each with its start (ms)."""
    some: list[Arrival] = []
    start = 0.0
    for arrival in arrivals:
        if arrival.at >= start + PART:
            if some:
                yield start, some
            start += PART * int((arrival.at - start) / PART)
            some = []
        some.append(arrival)
    if some:
        yield start, some


def tag() -> int:
    """Of one run's requests."""
    return int.from_bytes(os.urandom(3), "big")
