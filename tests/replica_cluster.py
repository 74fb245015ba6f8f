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

ReplicaFactory = Callable[[Options, State, int, float], Replica]


class InvariantViolation(AssertionError):
    """An invariant of the replicated log is violated."""


@dataclass
class Network:
    """Network conditions: probabilities from 0 to 1, delays in ms."""

    loss: float = 0.0
    duplication: float = 0.0
    delay: tuple[float, float] = (1.0, 10.0)


@dataclass
class Node:
    """One instance: its persisted state, and its replica while it runs.

    `clock_rate` and `clock_offset` are the relative rate and the offset (ms) of its clock.
    """

    name: str
    clock_rate: float = 1.0
    clock_offset: float = 0.0
    state: State = field(default_factory=State)
    replica: Replica | None = None
    watcher_document: Document = field(default_factory=Document)  # as seen by a watcher of this run

    def clock(self, now: float) -> float:
        return now * self.clock_rate + self.clock_offset

    def next_deadline(self, now: float) -> float:
        """The virtual time of the replica's next deadline."""
        assert self.replica is not None
        return max(now, (self.replica.next_deadline() - self.clock_offset) / self.clock_rate)


class Cluster:
    """Replicas, their network and the checks of their invariants."""

    def __init__(
        self,
        names: Iterable[str],
        seed: int = 1,
        make_replica: ReplicaFactory = Replica,
        clock_rates: Mapping[str, float] | None = None,
        keep: int = 1000,
    ) -> None:
        self.names = tuple(names)
        self.random = random.Random(f"network {seed}")
        self.seed = seed
        self.make_replica = make_replica
        self.keep = keep
        self.now = 0.0
        self.network = Network()
        self.blocked: set[tuple[str, str]] = set()
        self.in_flight: list[tuple[float, int, str, str, bytes]] = []
        self.messages_sent = 0
        self.nodes = {
            name: Node(name, (clock_rates or {}).get(name, 1.0), 1000.0 * number)
            for number, name in enumerate(self.names)
        }
        self.leader_by_epoch: dict[int, str] = {}
        self.committed_versions: dict[int, Version] = {}
        self.proposals: dict[tuple[str, int, int], tuple[Change, ...]] = {}
        self.outcomes: dict[tuple[str, int, int], Outcome] = {}
        self.refused_peers: list[PeerRefused] = []
        self.role_changes: list[tuple[float, str, RoleChanged]] = []
        self.actions_until_stop: dict[str, int] = {}  # actions left until an instance stops
        for name in self.names:
            self.start(name)

    # Instances

    def options(self, name: str) -> Options:
        return Options(name, self.names, keep=self.keep)

    def start(self, name: str) -> Replica:
        """Start an instance from its persisted state."""
        node = self.nodes[name]
        replica = self.make_replica(self.options(name), node.state, self.seed, node.clock(self.now))
        node.replica = replica
        node.watcher_document = replica.document.copy()
        return replica

    def start_all(self) -> None:
        """Start all stopped instances, and cancel pending stops."""
        self.actions_until_stop.clear()
        for name in self.names:
            if self.nodes[name].replica is None:
                self.start(name)

    def stop_after(self, name: str, actions: int) -> None:
        """Stop an instance after it has executed a number of further actions."""
        self.actions_until_stop[name] = actions

    def stop(self, name: str) -> None:
        node = self.nodes[name]
        node.replica = None
        self.actions_until_stop.pop(name, None)
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

    def leaders_with_quorum(self) -> list[str]:
        """The leaders that have a quorum."""
        return [
            name
            for name in self.running()
            if self.replica(name).role is Role.LEADER
            and self.replica(name).has_quorum(self.nodes[name].clock(self.now))
        ]

    # Network

    def partition(self, *groups: Iterable[str]) -> None:
        """Partition the network: messages pass only within a group."""
        group = {name: number for number, names in enumerate(groups) for name in names}
        self.blocked = {(a, b) for a in self.names for b in self.names if group.get(a) != group.get(b)}

    def block_link(self, one: str, other: str) -> None:
        """Block messages between two instances only."""
        self.blocked |= {(one, other), (other, one)}

    def heal(self) -> None:
        self.blocked = set()

    def _send(self, sender: str, to: str, message: Message) -> None:
        copies = 1 if self.random.random() >= self.network.duplication else 2
        for _ in range(copies):
            if self.random.random() < self.network.loss:
                continue
            at = self.now + self.random.uniform(*self.network.delay)
            self.messages_sent += 1
            heapq.heappush(self.in_flight, (at, self.messages_sent, sender, to, encode(message)))

    # Time

    def advance(self, duration: float) -> None:
        """Advance virtual time by a duration in ms."""
        until = self.now + duration
        while True:
            due = [(self.nodes[name].next_deadline(self.now), name) for name in self.running()]
            tick_at, name = min(due, default=(float("inf"), ""))
            message_at = self.in_flight[0][0] if self.in_flight else float("inf")
            if min(tick_at, message_at) > until:
                break
            if message_at <= tick_at:
                self._deliver()
            else:
                self.now = tick_at
                # If rounding put the clock before the deadline, this loop would never end.
                clock = max(self.nodes[name].clock(self.now), self.replica(name).next_deadline())
                self.execute(name, self.replica(name).tick(clock))
        self.now = until

    def _deliver(self) -> None:
        at, _, sender, to, data = heapq.heappop(self.in_flight)
        self.now = max(self.now, at)
        node = self.nodes[to]
        if node.replica is None or (sender, to) in self.blocked:
            return
        actions = node.replica.receive(node.clock(self.now), sender, decode(data))
        self.execute(to, actions)

    def advance_until(self, holds: Callable[[], bool], within: float) -> None:
        """Advance time until a condition holds; fails if it does not within `within` ms."""
        limit = self.now + within
        while not holds():
            if self.now >= limit:
                raise AssertionError(f"condition does not hold within {within} ms")
            self.advance(10.0)

    def settle(self, within: float = 20_000.0) -> str:
        """Wait until all running instances agree on one leader and one document; returns the leader."""

        def settled() -> bool:
            leading = self.leaders_with_quorum()
            if len(leading) != 1:
                return False
            leader = self.replica(leading[0])
            return leader.committed == leader.log.last_position and all(
                self.replica(name).committed == leader.committed and self.replica(name).leader == leading[0]
                for name in self.running()
            )

        self.advance_until(settled, within)
        return self.leaders_with_quorum()[0]

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
        self.execute(name, proposed.actions)
        return key

    # Actions

    def execute(self, name: str, actions: list[Action]) -> None:
        """Execute a replica's actions, up to the point where the instance is to stop."""
        for action in actions:
            if name in self.actions_until_stop:
                self.actions_until_stop[name] -= 1
                if self.actions_until_stop[name] < 0:
                    self.stop(name)
                    return
            self._execute(self.nodes[name], action)

    def _execute(self, node: Node, action: Action) -> None:
        match action:
            case Persist():
                node.state = node.state.with_persisted(action)
            case Send(to, message):
                self._send(node.name, to, message)
            case Committed(version):
                self._check_committed(node, version)
            case Installed(document):
                self._check_installed(node, document)
            case Decided(proposal, outcome):
                self._check_decided(node, proposal, outcome)
            case RoleChanged():
                self.role_changes.append((self.now, node.name, action))
                self._check_role(node.name, action)
            case PeerRefused():
                self.refused_peers.append(action)

    # Invariants

    def _check_role(self, name: str, change: RoleChanged) -> None:
        if change.role is not Role.LEADER:
            return
        for other in self.leaders_with_quorum():
            if other != name:
                raise InvariantViolation(f"{name} is elected while {other} holds a lease")
        if self.leader_by_epoch.setdefault(change.epoch, name) != name:
            raise InvariantViolation(
                f"{name} and {self.leader_by_epoch[change.epoch]} both lead epoch {change.epoch}"
            )
        self._check_has_committed(name)

    def _check_accepted(self, name: str) -> None:
        """An instance that accepts proposals leads the newest epoch: its lease prevents other elections."""
        epoch = self.replica(name).epoch
        if epoch != max(self.leader_by_epoch):
            raise InvariantViolation(
                f"{name} accepts in epoch {epoch}, and {max(self.leader_by_epoch)} has a leader"
            )

    def _check_has_committed(self, name: str) -> None:
        """A leader's log contains every committed version."""
        log = self.replica(name).log
        held = {entry.version.index: entry.version for entry in log.entries if entry.version is not None}
        for index, version in self.committed_versions.items():
            if index > log.snapshot.document.index and held.get(index) != version:
                raise InvariantViolation(f"{name} leads, and lacks committed version {index}")

    def _check_committed(self, node: Node, version: Version) -> None:
        if version.index != node.watcher_document.index + 1:
            raise InvariantViolation(
                f"{node.name} committed {version.index} after {node.watcher_document.index}"
            )
        if self.committed_versions.setdefault(version.index, version) != version:
            raise InvariantViolation(f"{node.name} committed a different version {version.index}")
        node.watcher_document.apply(version.index, version.epoch, version.changes)

    def _check_installed(self, node: Node, document: Document) -> None:
        if document.index < node.watcher_document.index:
            raise InvariantViolation(
                f"{node.name} went back from {node.watcher_document.index} to {document.index}"
            )
        expected = Document()
        for index in range(1, document.index + 1):
            if index not in self.committed_versions:
                raise InvariantViolation(f"{node.name} installed version {index}, which nobody committed")
            version = self.committed_versions[index]
            expected.apply(index, version.epoch, version.changes)
        if expected != document:
            raise InvariantViolation(f"{node.name} installed a different document {document.index}")
        node.watcher_document = document

    def _check_decided(self, node: Node, proposal: int, outcome: Outcome) -> None:
        key = (node.name, node.state.incarnation, proposal)
        if key in self.outcomes:
            raise InvariantViolation(f"proposal {key} was decided twice")
        self.outcomes[key] = outcome
        if isinstance(outcome, Accepted):
            version = self.committed_versions.get(outcome.index)
            if version is None or version.epoch != outcome.epoch or version.changes != self.proposals[key]:
                raise InvariantViolation(
                    f"proposal {key} was accepted as a different version {outcome.index}"
                )


def change(name: str, value: int) -> Change:
    """A change that sets an entry to an object with one number."""
    return Change(name, {"value": value})
