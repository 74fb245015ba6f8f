"""The replication of the configuration among three instances, explored over `millgw.configuration.replica`.

Held: one leader an epoch at the most; no two versions committed at one index; a leader has every committed
version in its log. No invariant of the log rests on time, so there is none here: any instance may begin an
election at any moment, the lease protects nothing and accepts everything. A message may be delivered at any
moment after it was sent, or never; with `repeats` also more than once.

Bounds beside those of the arguments: of the messages of one kind from one instance to another the newest is
on its way, and those before it count as lost. So does a message of an epoch that its receiver has left
behind: all it could do is to tell its sender of the higher epoch. A reply that tells nothing new is left
out. The search begins where `a` leads epoch 1 and all have its barrier.

Whatever an instance persists is on its disk at once; a restart begins from that.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Mapping
from copy import copy
from dataclasses import dataclass, replace
from typing import ClassVar, Self

from millgw.configuration.actions import Action, Committed, Persist, Proposed, Role, RoleChanged, Send
from millgw.configuration.document import Change, Version
from millgw.configuration.log import Entry, Log, LogError
from millgw.configuration.messages import AppendReply, Message, VoteReply
from millgw.configuration.replica import ConsensusError, Options, Replica
from millgw.configuration.state import State

NAMES = ("a", "b", "c")


class UntimedReplica(Replica):
    """A replica that anything may happen to at any time, and that sends one entry a message."""

    def time_out(self) -> list[Action]:
        """Begin an election, as if no leader had been heard for long enough and the pre-vote were won."""
        self._begin(0.0)
        self._start_election()
        return self._finish()

    def has_quorum(self, now: float) -> bool:
        return True

    def _hears_leader(self) -> bool:
        return False

    def _batch(self, first: int) -> tuple[Entry, ...]:
        return super()._batch(first)[:1]

    def heeds(self, sender: str, message: Message) -> bool:
        """Whether a message may change anything here; a higher epoch always does."""
        if message.header.epoch != self.epoch:
            return message.header.epoch > self.epoch
        match message:
            case VoteReply():
                return message.granted and self.role is Role.CANDIDATE
            case AppendReply(success=True):
                return self._leadership is not None and (
                    message.position > self._leadership.followers[sender].matched_position
                )
            case _:
                return True

    def copy(self) -> Self:
        """An independent replica in the same state."""
        made = copy(self)
        made.log = Log(self.log.snapshot)
        made.log.entries = self.log.entries.copy()
        made.document = self.document.copy()
        made._pre_votes, made._votes = None, self._votes.copy()
        made._rollback_detector = self._rollback_detector.copy()
        made._leadership = None if self._leadership is None else self._leadership.copy()
        return made

    def fingerprint(self) -> Hashable:
        """What tells states apart, but for what is known of peers' incarnations."""
        leadership = None
        if self._leadership is not None:
            followers = self._leadership.followers.values()
            leadership = tuple((progress.next_position, progress.matched_position) for progress in followers)
        entries = tuple((entry.epoch, entry.version) for entry in self.log.entries)
        votes = frozenset(self._votes) if self.role is Role.CANDIDATE else None
        return (self.epoch, self.voted_for, self.role, self.committed, entries, votes, leadership)


@dataclass(slots=True, frozen=True)
class Travelling:
    """A message on its way."""

    sender: str
    to: str
    message: Message


@dataclass(slots=True, frozen=True)
class Group:
    """The instances, their disks, what is on its way, and what an observer has seen."""

    replicas: Mapping[str, UntimedReplica]
    disks: Mapping[str, State]
    travelling: Mapping[str, Travelling]  # by link and kind
    leaders: Mapping[int, str]  # by epoch
    committed: Mapping[int, Version]  # by index
    proposals: int = 0
    restarts: int = 0
    broken: str = ""


class Replication:
    """Up to `epochs` epochs, `proposals` proposals and `restarts` restarts of three instances.

    `replica` makes the instances: another class may be put in its place, to see what it does wrong. `script`
    names steps that have happened before the search begins.
    """

    name = "replication"
    about = "at most one leader an epoch, and no committed version is lost or differs"
    options: ClassVar[dict[str, Options]] = {name: Options(name, NAMES) for name in NAMES}

    def __init__(
        self,
        epochs: int = 2,
        proposals: int = 1,
        restarts: int = 0,
        repeats: bool = False,
        replica: type[UntimedReplica] = UntimedReplica,
        script: Iterable[str] = (),
    ) -> None:
        self.epochs = epochs
        self.proposals = proposals
        self.restarts = restarts
        self.repeats = repeats
        self.replica = replica
        self.script = tuple(script)

    def first(self) -> Iterable[Group]:
        disks = {name: State() for name in NAMES}
        replicas = {name: self._start(name, disks[name]) for name in NAMES}
        once = Replication(replica=self.replica)
        group = once._delivered(once.after(Group(replicas, disks, {}, {}, {}), "a times out"))
        for step in self.script:
            group = self.after(group, step)
        yield group

    def _delivered(self, group: Group) -> Group:
        """The group once all that is on its way, and all that this leads to, has come."""
        while group.travelling:
            label, item = next(iter(group.travelling.items()))
            group = self.after(group, f"{item.to} receives {label}")
        return group

    def _start(self, name: str, state: State) -> UntimedReplica:
        return self.replica(self.options[name], state, 1, 0.0)

    def steps(self, state: Group) -> Iterable[str]:
        for name, replica in state.replicas.items():
            if replica.epoch < self.epochs and replica.role is not Role.LEADER:
                yield f"{name} times out"
            if replica.role is Role.LEADER and state.proposals < self.proposals:
                yield f"{name} proposes"
            if state.restarts < self.restarts:
                yield f"{name} restarts"
        for label, item in state.travelling.items():
            yield f"{item.to} receives {label}"

    def after(self, state: Group, step: str) -> Group:
        name, verb, *_ = step.split(" ", 2)
        if verb == "restarts":
            return self._restarted(state, name)
        replica = state.replicas[name].copy()
        travelling = state.travelling
        try:
            if verb == "times":
                actions = replica.time_out()
            elif verb == "proposes":
                actions = self._propose(replica, state.proposals).actions
                state = replace(state, proposals=state.proposals + 1)
            else:
                label = step.partition(" receives ")[2]
                item = travelling[label]
                if not self.repeats:
                    travelling = {other: travelling[other] for other in travelling if other != label}
                actions = replica.receive(0.0, item.sender, item.message)
        except (ConsensusError, LogError) as error:
            return replace(state, broken=f"{name}: {error}")
        changed = replace(state, replicas={**state.replicas, name: replica}, travelling=travelling)
        return self._without_stale(self._carried_out(changed, name, actions))

    @staticmethod
    def _propose(replica: UntimedReplica, number: int) -> Proposed:
        changes = (Change(f"proposal {number}", None),)  # None, as a state has to be hashable
        return replica.propose(0.0, changes, replica.options.name, "", None, 0.0)

    def _restarted(self, state: Group, name: str) -> Group:
        disk = replace(state.disks[name], incarnation=state.disks[name].incarnation + 1)
        return replace(
            state,
            replicas={**state.replicas, name: self._start(name, disk)},
            disks={**state.disks, name: disk},
            restarts=state.restarts + 1,
        )

    @staticmethod
    def _carried_out(state: Group, name: str, actions: list[Action]) -> Group:
        disk = state.disks[name]
        travelling, leaders, committed = dict(state.travelling), dict(state.leaders), dict(state.committed)
        broken = ""
        for action in actions:
            match action:
                case Persist():
                    disk = disk.with_persisted(action)
                case Send(to, message):
                    travelling[f"{name} to {to}: {type(message).__name__}"] = Travelling(name, to, message)
                case RoleChanged(Role.LEADER, epoch, _):
                    if leaders.setdefault(epoch, name) != name:
                        broken = f"{leaders[epoch]} and {name} both lead epoch {epoch}"
                    broken = broken or _lacks(name, state.replicas[name], committed)
                case Committed(version):
                    if committed.setdefault(version.index, version) != version:
                        broken = f"{name} commits another version {version.index}"
        return replace(
            state,
            disks={**state.disks, name: disk},
            travelling=travelling,
            leaders=leaders,
            committed=committed,
            broken=broken,
        )

    @staticmethod
    def _without_stale(state: Group) -> Group:
        kept = {
            label: item
            for label, item in state.travelling.items()
            if state.replicas[item.to].heeds(item.sender, item.message)
        }
        return state if len(kept) == len(state.travelling) else replace(state, travelling=kept)

    def key(self, state: Group) -> Hashable:
        return (
            tuple(state.replicas[name].fingerprint() for name in NAMES),
            tuple(_disk_fingerprint(state.disks[name]) for name in NAMES) if self.restarts else None,
            frozenset(state.travelling.values()),
            tuple(sorted(state.leaders.items())),
            tuple(sorted((index, version.epoch) for index, version in state.committed.items())),
            state.proposals,
            state.restarts,
            state.broken,
        )

    def broken(self, state: Group) -> str:
        return state.broken


def _disk_fingerprint(state: State) -> Hashable:
    entries = tuple((entry.epoch, entry.version) for entry in state.entries)
    return (state.epoch, state.voted_for, state.committed, state.incarnation, entries)


def _lacks(name: str, replica: Replica, committed: Mapping[int, Version]) -> str:
    held = {entry.version.index: entry.version for entry in replica.log.entries if entry.version is not None}
    for index, version in committed.items():
        if held.get(index) != version:
            return f"{name} leads epoch {replica.epoch} without version {index}, which was committed"
    return ""
