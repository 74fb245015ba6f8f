"""Seeded simulation of a datagram network in virtual time: delay, loss, partitions, paused nodes.

Runs thousands of state machines in one process, which map the time and messages to messages to send.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Sequence
from typing import Generic, Protocol, TypeVar

M = TypeVar("M")


class Node(Protocol[M]):
    name: str

    def due(self) -> float: ...

    def tick(self, now: float) -> list[tuple[str, M]]: ...

    def receive(self, now: float, sender: str, message: M) -> list[tuple[str, M]]: ...


class Network(Generic[M]):
    """`delay` is a range in ms, `loss` the share of lost datagrams; `size` gives a message's bytes."""

    def __init__(
        self,
        seed: int,
        delay: tuple[float, float] = (0.2, 5.0),
        loss: float = 0.0,
        size: Callable[[M], int] = lambda _: 0,
    ) -> None:
        self.rng = random.Random(seed)
        self.delay = delay
        self.loss = loss
        self.size = size
        self.now = 0.0
        self.nodes: dict[str, Node[M]] = {}
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()
        self.paused: dict[str, list[tuple[str, M]]] = {}
        self.ticks: dict[str, int] = {}  # number of each node's next tick; older scheduled ticks are void
        self.groups: list[set[str]] = []
        self.datagrams = 0
        self.bytes = 0

    def add(self, node: Node[M], at: float = 0.0) -> None:
        """Add a node, with its first tick at the time `at` (ms)."""
        self.nodes[node.name] = node
        self._schedule_tick(node, at)

    def kill(self, name: str) -> None:
        self.nodes.pop(name, None)
        self.paused.pop(name, None)

    def pause(self, name: str) -> None:
        """Pause a node; datagrams for it are kept until `resume`."""
        self.paused[name] = []

    def resume(self, name: str) -> None:
        node, waiting = self.nodes[name], self.paused.pop(name)
        for sender, message in waiting:
            self._send(name, node.receive(self.now, sender, message))
        self._tick(node)

    def partition(self, *groups: Sequence[str]) -> None:
        """Partition the network: only nodes of the same group reach each other. No groups: all do."""
        self.groups = [set(group) for group in groups]

    def call_at(self, at: float, do: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (max(at, self.now), next(self.numbers), do))

    def run(self, until: float) -> None:
        """Process all events until the time `until` (ms)."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, do = heapq.heappop(self.queue)
            do()
        self.now = until

    def _schedule_tick(self, node: Node[M], at: float) -> None:
        number = self.ticks[node.name] = next(self.numbers)

        def tick() -> None:
            if self.ticks[node.name] == number and self.nodes.get(node.name) is node:
                self._tick(node)

        self.call_at(at, tick)

    def _tick(self, node: Node[M]) -> None:
        if node.name not in self.paused:
            self._send(node.name, node.tick(self.now))
            self._schedule_tick(node, node.due())

    def _send(self, sender: str, messages: list[tuple[str, M]]) -> None:
        for name, message in messages:
            self.datagrams += 1
            self.bytes += self.size(message)
            apart = any((sender in group) != (name in group) for group in self.groups)
            if not apart and self.rng.random() >= self.loss:
                self._deliver(sender, name, message)

    def _deliver(self, sender: str, name: str, message: M) -> None:
        def arrive() -> None:
            node = self.nodes.get(name)
            if node is None:
                return
            if name in self.paused:
                self.paused[name].append((sender, message))
            else:
                self._send(name, node.receive(self.now, sender, message))

        self.call_at(self.now + self.rng.uniform(*self.delay), arrive)
