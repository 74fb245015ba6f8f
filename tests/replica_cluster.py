"""Replicas on a simulated network, in virtual time, with the protocol's invariants checked at every action.

Messages are lost, delayed, repeated and overtaken by a seeded generator; instances are cut off from each
other, stopped between any two actions and started again from what was persisted; their clocks drift.
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
    """What a replicated log promises does not hold."""


@dataclass
class Network:
    """How messages travel: chances from 0 to 1, delays in ms."""

    loss: float = 0.0
    repeat: float = 0.0
    delay: tuple[float, float] = (1.0, 10.0)


@dataclass
class Node:
    """One instance: its disk, and its replica while it runs. `rate` is of its clock, `skew` its offset."""

    name: str
    rate: float = 1.0
    skew: float = 0.0
    state: State = field(default_factory=State)
    replica: Replica | None = None
    watched: Document = field(default_factory=Document)  # what a watcher of this run was told

    def clock(self, now: float) -> float:
        return now * self.rate + self.skew

    def due(self, now: float) -> float:
        """The true time of the replica's next deadline."""
        assert self.replica is not None
        return max(now, (self.replica.next_deadline() - self.skew) / self.rate)


class Cluster:
    """Replicas, their network and the observer that checks them."""

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
        self.stopping: dict[str, int] = {}  # instances that stop after so many actions
        for name in self.names:
            self.start(name)

    # Instances

    def options(self, name: str) -> Options:
        return Options(name, self.names, keep=self.keep)

    def start(self, name: str) -> Replica:
        """Start an instance from its disk."""
        node = self.nodes[name]
        replica = self.make(self.options(name), node.state, self.seed, node.clock(self.now))
        node.replica = replica
        node.watched = replica.document.copy()
        return replica

    def start_all(self) -> None:
        """Start all that do not run; none is to stop any more."""
        self.stopping.clear()
        for name in self.names:
            if self.nodes[name].replica is None:
                self.start(name)

    def stop_after(self, name: str, actions: int) -> None:
        """Stop an instance before it has carried out one action more than so many."""
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
        """Who leads with a quorum."""
        return [
            name
            for name in self.running()
            if self.replica(name).role is Role.LEADER
            and self.replica(name).has_quorum(self.nodes[name].clock(self.now))
        ]

    # Network

    def part(self, *groups: Iterable[str]) -> None:
        """Messages pass only within a group."""
        group = {name: number for number, names in enumerate(groups) for name in names}
        self.blocked = {(a, b) for a in self.names for b in self.names if group.get(a) != group.get(b)}

    def cut(self, one: str, other: str) -> None:
        """No messages pass between two instances; all others reach both."""
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
        """Let virtual time pass."""
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
                # A clock that was rounded down would be asked again at the same time, for ever.
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
        """Let time pass until something holds; fails if it does not within that time."""
        limit = self.now + within
        while not holds():
            if self.now >= limit:
                raise AssertionError(f"does not hold within {within} ms")
            self.advance(10.0)

    def settle(self, within: float = 20_000.0) -> str:
        """Wait until all that run agree on one leader and one document; who leads."""

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
        """Propose at an instance; the key under which `outcomes` tells what became of it."""
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
        """Do what a replica asked for; only a part of it if the instance stops in between."""
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
        """Who accepts a proposal leads the newest epoch: its lease kept all others from being elected."""
        epoch = self.replica(name).epoch
        if epoch != max(self.leaders):
            raise InvariantBroken(f"{name} accepts in epoch {epoch}, and {max(self.leaders)} has a leader")

    def _check_complete(self, name: str) -> None:
        """A leader's log holds every version that anybody has committed."""
        log = self.replica(name).log
        held = {entry.version.index: entry.version for entry in log.entries if entry.version is not None}
        for index, version in self.versions.items():
            if index > log.snapshot.document.index and held.get(index) != version:
                raise InvariantBroken(f"{name} leads, and lacks version {index}, which was committed")

    def _check_committed(self, node: Node, version: Version) -> None:
        if version.index != node.watched.index + 1:
            raise InvariantBroken(f"{node.name} tells of {version.index} after {node.watched.index}")
        if self.versions.setdefault(version.index, version) != version:
            raise InvariantBroken(f"{node.name} committed another version {version.index}")
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
            raise InvariantBroken(f"{node.name} installed another document {document.index}")
        node.watched = document

    def _check_decided(self, node: Node, proposal: int, outcome: Outcome) -> None:
        key = (node.name, node.state.incarnation, proposal)
        if key in self.outcomes:
            raise InvariantBroken(f"proposal {key} was decided twice")
        self.outcomes[key] = outcome
        if isinstance(outcome, Accepted):
            version = self.versions.get(outcome.index)
            if version is None or version.epoch != outcome.epoch or version.changes != self.proposals[key]:
                raise InvariantBroken(f"proposal {key} was told another version {outcome.index}")


def change(name: str, value: int) -> Change:
    """An entry set to an object with one number."""
    return Change(name, {"value": value})
