"""Simulated cluster of replicas in virtual time; the protocol's invariants are checked at every action.

A seeded generator loses, delays, duplicates and reorders messages. Instances can be partitioned, stopped
between any two actions and restarted from their persisted state; their clocks drift.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from millgw.configuration.actions import (
    Accepted,
    Action,
    Committed,
    Decided,
    Installed,
    Outcome,
    PeerRefused,
    Persist,
    Role,
    RoleChanged,
    Send,
)
from millgw.configuration.document import Change, Document, Version
from millgw.configuration.messages import Message, decode, encode
from millgw.configuration.replica import Options, Replica
from millgw.configuration.state import State

MakeReplica = Callable[[Options, State, int, float], Replica]


class InvariantBroken(AssertionError):
    """An invariant of the replicated log is violated."""


@dataclass
class Network:
    """Network conditions: probabilities from 0 to 1, delays in ms."""

    loss: float = 0.0
    repeat: float = 0.0
    delay: tuple[float, float] = (1.0, 10.0)


@dataclass
class Node:
    """One instance: its persisted state, and its replica while it runs.

    `rate` and `skew` are the relative rate and the offset (ms) of its clock.
    """

    name: str
    rate: float = 1.0
    skew: float = 0.0
    state: State = field(default_factory=State)
    replica: Replica | None = None
    watched: Document = field(default_factory=Document)  # as seen by a watcher of this run

    def clock(self, now: float) -> float:
        return now * self.rate + self.skew

    def due(self, now: float) -> float:
        """The virtual time of the replica's next deadline."""
        assert self.replica is not None
        return max(now, (self.replica.next_deadline() - self.skew) / self.rate)


class Cluster:
    """Replicas, their network and the checks of their invariants."""

    def __init__(
        self,
        names: Iterable[str],
        seed: int = 1,
        make: MakeReplica = Replica,
        rates: Mapping[str, float] | None = None,
        keep: int = 1000,
    ) -> None:
        self.names = tuple(names)
        self.random = random.Random(f"network {seed}")
        self.seed = seed
        self.make = make
        self.keep = keep
        self.now = 0.0
        self.network = Network()
        self.blocked: set[tuple[str, str]] = set()
        self.travelling: list[tuple[float, int, str, str, bytes]] = []
        self.sent = 0
        self.nodes = {
            name: Node(name, (rates or {}).get(name, 1.0), 1000.0 * number)
            for number, name in enumerate(self.names)
        }
        self.leaders: dict[int, str] = {}
        self.versions: dict[int, Version] = {}
        self.proposals: dict[tuple[str, int, int], tuple[Change, ...]] = {}
        self.outcomes: dict[tuple[str, int, int], Outcome] = {}
        self.refused: list[PeerRefused] = []
        self.roles: list[tuple[float, str, RoleChanged]] = []
        self.stopping: dict[str, int] = {}  # actions left until an instance stops
        for name in self.names:
            self.start(name)

    # Instances

    def options(self, name: str) -> Options:
        return Options(name, self.names, keep=self.keep)

    def start(self, name: str) -> Replica:
        """Start an instance from its persisted state."""
        node = self.nodes[name]
        replica = self.make(self.options(name), node.state, self.seed, node.clock(self.now))
        node.replica = replica
        node.watched = replica.document.copy()
        return replica

    def start_all(self) -> None:
        """Start all stopped instances, and cancel pending stops."""
        self.stopping.clear()
        for name in self.names:
            if self.nodes[name].replica is None:
                self.start(name)

    def stop_after(self, name: str, actions: int) -> None:
        """Stop an instance after it has executed a number of further actions."""
        self.stopping[name] = actions

    def stop(self, name: str) -> None:
        node = self.nodes[name]
        node.replica = None
        self.stopping.pop(name, None)
        node.state = self.next_incarnation(node.state)

    @staticmethod
    def next_incarnation(state: State) -> State:
        return State(
            state.epoch,
            state.voted_for,
            state.committed,
            state.incarnation + 1,
            state.snapshot,
            state.entries,
        )

    def replica(self, name: str) -> Replica:
        replica = self.nodes[name].replica
        assert replica is not None
        return replica

    def running(self) -> list[str]:
        return [name for name in self.names if self.nodes[name].replica is not None]

    def leading(self) -> list[str]:
        """The leaders that have a quorum."""
        return [
            name
            for name in self.running()
            if self.replica(name).role is Role.LEADER
            and self.replica(name).has_quorum(self.nodes[name].clock(self.now))
        ]

    # Network

    def part(self, *groups: Iterable[str]) -> None:
        """Partition the network: messages pass only within a group."""
        group = {name: number for number, names in enumerate(groups) for name in names}
        self.blocked = {(a, b) for a in self.names for b in self.names if group.get(a) != group.get(b)}

    def cut(self, one: str, other: str) -> None:
        """Block messages between two instances only."""
        self.blocked |= {(one, other), (other, one)}

    def heal(self) -> None:
        self.blocked = set()

    def _post(self, sender: str, to: str, message: Message) -> None:
        copies = 1 if self.random.random() >= self.network.repeat else 2
        for _ in range(copies):
            if self.random.random() < self.network.loss:
                continue
            at = self.now + self.random.uniform(*self.network.delay)
            self.sent += 1
            heapq.heappush(self.travelling, (at, self.sent, sender, to, encode(message)))

    # Time

    def advance(self, duration: float) -> None:
        """Advance virtual time by a duration in ms."""
        until = self.now + duration
        while True:
            due = [(self.nodes[name].due(self.now), name) for name in self.running()]
            tick_at, name = min(due, default=(float("inf"), ""))
            message_at = self.travelling[0][0] if self.travelling else float("inf")
            if min(tick_at, message_at) > until:
                break
            if message_at <= tick_at:
                self._deliver()
            else:
                self.now = tick_at
                # If rounding put the clock before the deadline, this loop would never end.
                clock = max(self.nodes[name].clock(self.now), self.replica(name).next_deadline())
                self.carry_out(name, self.replica(name).tick(clock))
        self.now = until

    def _deliver(self) -> None:
        at, _, sender, to, data = heapq.heappop(self.travelling)
        self.now = max(self.now, at)
        node = self.nodes[to]
        if node.replica is None or (sender, to) in self.blocked:
            return
        actions = node.replica.receive(node.clock(self.now), sender, decode(data))
        self.carry_out(to, actions)

    def until(self, holds: Callable[[], bool], within: float) -> None:
        """Advance time until a condition holds; fails if it does not within `within` ms."""
        limit = self.now + within
        while not holds():
            if self.now >= limit:
                raise AssertionError(f"condition does not hold within {within} ms")
            self.advance(10.0)

    def settle(self, within: float = 20_000.0) -> str:
        """Wait until all running instances agree on one leader and one document; returns the leader."""

        def settled() -> bool:
            leading = self.leading()
            if len(leading) != 1:
                return False
            leader = self.replica(leading[0])
            return leader.committed == leader.log.last_position and all(
                self.replica(name).committed == leader.committed and self.replica(name).leader == leading[0]
                for name in self.running()
            )

        self.until(settled, within)
        return self.leading()[0]

    # Proposals

    def propose(
        self, name: str, changes: Iterable[Change], if_index: int | None = None
    ) -> tuple[str, int, int]:
        """Propose at an instance; returns the proposal's key in `outcomes`."""
        node, replica = self.nodes[name], self.replica(name)
        changes = tuple(changes)
        proposed = replica.propose(node.clock(self.now), changes, "author", "reason", if_index, 1.0)
        key = (name, node.state.incarnation, proposed.proposal)
        self.proposals[key] = changes
        if not any(isinstance(action, Decided) for action in proposed.actions):
            self._check_accepted(name)
        self.carry_out(name, proposed.actions)
        return key

    # Actions

    def carry_out(self, name: str, actions: list[Action]) -> None:
        """Execute a replica's actions, up to the point where the instance is to stop."""
        for action in actions:
            if name in self.stopping:
                self.stopping[name] -= 1
                if self.stopping[name] < 0:
                    self.stop(name)
                    return
            self._do(self.nodes[name], action)

    def _do(self, node: Node, action: Action) -> None:
        match action:
            case Persist():
                node.state = node.state.after(action)
            case Send(to, message):
                self._post(node.name, to, message)
            case Committed(version):
                self._check_committed(node, version)
            case Installed(document):
                self._check_installed(node, document)
            case Decided(proposal, outcome):
                self._check_decided(node, proposal, outcome)
            case RoleChanged():
                self.roles.append((self.now, node.name, action))
                self._check_role(node.name, action)
            case PeerRefused():
                self.refused.append(action)

    # Invariants

    def _check_role(self, name: str, change: RoleChanged) -> None:
        if change.role is not Role.LEADER:
            return
        for other in self.leading():
            if other != name:
                raise InvariantBroken(f"{name} is elected while {other} holds a lease")
        if self.leaders.setdefault(change.epoch, name) != name:
            raise InvariantBroken(f"{name} and {self.leaders[change.epoch]} both lead epoch {change.epoch}")
        self._check_complete(name)

    def _check_accepted(self, name: str) -> None:
        """An instance that accepts proposals leads the newest epoch: its lease prevents other elections."""
        epoch = self.replica(name).epoch
        if epoch != max(self.leaders):
            raise InvariantBroken(f"{name} accepts in epoch {epoch}, and {max(self.leaders)} has a leader")

    def _check_complete(self, name: str) -> None:
        """A leader's log contains every committed version."""
        log = self.replica(name).log
        held = {entry.version.index: entry.version for entry in log.entries if entry.version is not None}
        for index, version in self.versions.items():
            if index > log.snapshot.document.index and held.get(index) != version:
                raise InvariantBroken(f"{name} leads, and lacks committed version {index}")

    def _check_committed(self, node: Node, version: Version) -> None:
        if version.index != node.watched.index + 1:
            raise InvariantBroken(f"{node.name} committed {version.index} after {node.watched.index}")
        if self.versions.setdefault(version.index, version) != version:
            raise InvariantBroken(f"{node.name} committed a different version {version.index}")
        node.watched.apply(version.index, version.epoch, version.changes)

    def _check_installed(self, node: Node, document: Document) -> None:
        if document.index < node.watched.index:
            raise InvariantBroken(f"{node.name} went back from {node.watched.index} to {document.index}")
        expected = Document()
        for index in range(1, document.index + 1):
            if index not in self.versions:
                raise InvariantBroken(f"{node.name} installed version {index}, which nobody committed")
            version = self.versions[index]
            expected.apply(index, version.epoch, version.changes)
        if expected != document:
            raise InvariantBroken(f"{node.name} installed a different document {document.index}")
        node.watched = document

    def _check_decided(self, node: Node, proposal: int, outcome: Outcome) -> None:
        key = (node.name, node.state.incarnation, proposal)
        if key in self.outcomes:
            raise InvariantBroken(f"proposal {key} was decided twice")
        self.outcomes[key] = outcome
        if isinstance(outcome, Accepted):
            version = self.versions.get(outcome.index)
            if version is None or version.epoch != outcome.epoch or version.changes != self.proposals[key]:
                raise InvariantBroken(f"proposal {key} was accepted as a different version {outcome.index}")


def change(name: str, value: int) -> Change:
    """A change that sets an entry to an object with one number."""
    return Change(name, {"value": value})
