"""Capacity model of an endpoint: processor sharing, concurrency slots, a bounded queue, a cold start. No I/O.

Work is in core-ms of a reference core: a core of speed 2 does 2 core-ms per ms. Times are in ms.
"""

from __future__ import annotations

import heapq
import itertools
import math
from collections import deque
from collections.abc import Iterable

from millgw.standins.ledger import Life

STEP = 20.0  # ms, step in which a changing capacity is approximated as constant
SLACK_DEVIATIONS = 2.0  # standard deviations of the allowed request count that are tolerated as chance
SLACK_REQUESTS = 2.0  # requests of mean work tolerated in addition


class Processor:
    """Processor sharing: all jobs run at once, each with an equal share of the capacity, at most one core.

    A job is any hashable; `advance` returns the finished jobs in the order in which they ended.
    """

    def __init__(self, life: Life, cores: int) -> None:
        self.life = life
        self.cores = cores
        self.slowness = 1.0
        self.now = life.start
        self.work_per_job = 0.0  # core-ms given to each running job so far: the virtual time of the queue
        self.jobs: list[tuple[float, int, object]] = []
        self.numbers = itertools.count()

    def rate(self) -> float:
        """Return the core-ms per ms that each job gets now."""
        n = max(len(self.jobs), self.cores)
        return self.life.capacity(self.now) * self.cores / self.slowness / n

    def add(self, now: float, work: float, job: object) -> list[object]:
        """Add a job; returns the jobs that ended before."""
        ended = self.advance(now)
        heapq.heappush(self.jobs, (self.work_per_job + max(0.0, work), next(self.numbers), job))
        return ended

    def advance(self, now: float) -> list[object]:
        ended: list[object] = []
        while self.now < now:
            if not self.jobs:
                self.now = now
                break
            rate = self.rate()
            step = min(now - self.now, STEP)
            need = (self.jobs[0][0] - self.work_per_job) / rate
            step = min(step, max(0.0, need))
            self.now += step
            self.work_per_job += step * rate
            # A rounding error may leave the first job just short of its end; no further step would end it.
            while self.jobs and self.jobs[0][0] <= self.work_per_job + 1e-9:
                ended.append(heapq.heappop(self.jobs)[2])
            if step == 0.0 and not ended:
                break
        return ended

    def due(self) -> float | None:
        """Return when to call `advance` next: at the first job's estimated end, at most `STEP` ms ahead."""
        if not self.jobs:
            return None
        return self.now + min((self.jobs[0][0] - self.work_per_job) / self.rate(), STEP)

    def clear(self) -> None:
        self.jobs.clear()


class AdmissionQueue:
    """Concurrency slots with a bounded first-in, first-out queue."""

    def __init__(self, slots: int, waiting: int) -> None:
        self.slots = slots
        self.max_waiting = waiting
        self.working = 0
        self.waiting: deque[object] = deque()

    def enter(self, item: object) -> bool | None:
        """Return True if the item got a slot, False if it is queued, None if it is rejected."""
        if self.working < self.slots:
            self.working += 1
            return True
        if len(self.waiting) >= self.max_waiting:
            return None
        self.waiting.append(item)
        return False

    def leave(self) -> object | None:
        """Release a slot; returns the queued item that gets it, if any."""
        if self.waiting:
            return self.waiting.popleft()
        self.working -= 1
        return None

    def remove(self, item: object) -> bool:
        """Remove a queued item; returns whether it was queued."""
        try:
            self.waiting.remove(item)
        except ValueError:
            return False
        return True


def mean_work(classes: Iterable[tuple[float, float]]) -> float:
    """Return the mean work of a request from each class's (share of requests, work per request)."""
    shares = works = 0.0
    for share, work in classes:
        shares += share
        works += share * work
    return works / shares if shares > 0 else 0.0


def cold_bound(life: Life, at: float, multiple: float, window: float, mean: float) -> float:
    """Return the work that a cold endpoint withstands within the `window` ms that end at `at`.

    It is N + 2 sqrt(N) + 2 requests of `mean` work, where N requests use `multiple` times its capacity.
    """
    allowed = multiple * life.capacity(at) * window
    return allowed + SLACK_DEVIATIONS * math.sqrt(allowed * mean) + SLACK_REQUESTS * mean


class ColdBudget:
    """Sliding-window sum of the work sent to a cold endpoint, which crashes above `cold_bound`."""

    def __init__(self, life: Life, multiple: float, window: float, mean: float) -> None:
        self.life = life
        self.multiple = multiple
        self.window = window
        self.mean = mean  # mean work of a request, core-ms
        self.sent: deque[tuple[float, float]] = deque()
        self.total = 0.0

    def send(self, now: float, work: float) -> bool:
        """Add one request's work; returns False when the endpoint crashes of it."""
        if self.life.cold_ms <= 0 or now >= self.life.start + self.life.cold_ms:
            return True
        self.sent.append((now, work))
        self.total += work
        while self.sent[0][0] <= now - self.window:
            self.total -= self.sent.popleft()[1]
        return self.total <= cold_bound(self.life, now, self.multiple, self.window, self.mean)
