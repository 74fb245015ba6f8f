"""SWIM group membership (Das, Gupta, Motivala, 2002) as a state machine without clock or sockets.

Each period a node probes one other member, in a shuffled order that it completes before shuffling again.
Without an ack it asks a few others to probe the member indirectly; without an ack from these the member is
suspected, and declared dead unless it refutes this within the suspicion time. Membership updates are
piggybacked on the probes, each a number of times that grows with the logarithm of the fleet size. At the
start and at intervals a node compares its whole membership list with another node (these messages are too
long for datagrams). Times are ms on the caller's monotonic clock.
"""

from __future__ import annotations

import itertools
import math
import random
import zlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import IntEnum

MAX_MEMBERS = 4096  # without a limit, a peer that invents names would exhaust memory
MAX_UPDATES_PER_MESSAGE = 6  # keeps a datagram well below 1,200 bytes
PROBE_NUMBER_LIMIT = 1 << 32


class Status(IntEnum):
    """The status of a member. At equal incarnations a higher value overrides a lower one.

    The digest of the membership list is computed over the names of this class and its values: if they were
    renamed, the digests of nodes of different versions would always differ.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@dataclass(slots=True, frozen=True)
class MemberUpdate:
    """The status of a member at an incarnation; only the member itself increments its incarnation."""

    name: str
    incarnation: int
    status: Status

    def overrides(self, known: MemberUpdate) -> bool:
        return (self.incarnation, self.status) > (known.incarnation, known.status)


class MessageKind(IntEnum):
    PING = 0
    ACK = 1
    PING_REQUEST = 2  # probe `about` on behalf of the sender
    SYNC = 3  # `number` is a digest of the sender's membership list, to be compared
    STATE = 4  # the whole membership list; if `about` is SEND_STATE, the receiver answers with its own


@dataclass(slots=True, frozen=True)
class Message:
    """One message. An ack contains the number of the ping that it answers."""

    kind: MessageKind
    number: int
    about: str = ""
    news: tuple[MemberUpdate, ...] = ()  # piggybacked updates; the field has this name on the wire


Outgoing = tuple[str, Message]
SEND_STATE = "tell"


@dataclass(slots=True, frozen=True)
class SwimSettings:
    """Times in ms. `helpers` members are asked to probe a member indirectly.

    An update is sent `retransmit_factor` times log2 of the fleet size; a suspect has `suspicion_factor`
    times log2 of the fleet size periods to refute.
    """

    period: float = 1000.0
    ack_timeout: float = 300.0  # for a direct probe
    helpers: int = 3
    retransmit_factor: float = 3.0
    suspicion_factor: float = 1.0
    dead_probe_periods: int = 8  # periods between two probes of a member that is considered dead
    sync_periods: int = 20  # periods between two list comparisons: updates may miss a node or precede it
    forget_after: float = 600_000.0  # after which dead members are removed


@dataclass(slots=True)
class _Member:
    update: MemberUpdate
    status_since: float


@dataclass(slots=True)
class _Probe:
    """This node's own probe of the current period."""

    target: str
    number: int
    answered: bool = False


class UpdateQueue:
    """Names of members whose updates are still to be sent, with the remaining number of times.

    Those sent least often go first. Grouped by count, as each message takes a few of up to thousands.
    """

    def __init__(self) -> None:
        self.remaining: dict[str, int] = {}
        self.by_count: dict[int, dict[str, None]] = {}

    def put(self, name: str, count: int) -> None:
        self.drop(name)
        if count > 0:
            self.remaining[name] = count
            self.by_count.setdefault(count, {})[name] = None

    def drop(self, name: str) -> None:
        count = self.remaining.pop(name, 0)
        if count:
            names = self.by_count[count]
            del names[name]
            if not names:
                del self.by_count[count]

    def take(self, limit: int, first: Iterable[str]) -> list[str]:
        """Up to `limit` names, first those in `first`; each has one transmission less remaining."""
        taken = dict.fromkeys(name for name in first if name in self.remaining)
        for count in sorted(self.by_count, reverse=True):
            if len(taken) >= limit:
                break
            taken.update(itertools.islice(self.by_count[count].items(), limit))
        names = list(taken)[:limit]
        for name in names:
            self.put(name, self.remaining[name] - 1)
        return names


class Swim:
    """One node's membership list. `start` must increase with each process of a name, as Unix time does."""

    def __init__(self, name: str, start: int, seed: int, settings: SwimSettings | None = None) -> None:
        self.name = name
        self.settings = settings or SwimSettings()
        self.rng = random.Random(seed)
        self.own = MemberUpdate(name, start, Status.ALIVE)
        self.members: dict[str, _Member] = {}
        self.update_queue = UpdateQueue()
        self.probe_order: list[str] = []
        self.probe: _Probe | None = None
        # By own probe number: the node that asked for the probe, its number, the expiry time.
        self.relayed_probes: dict[int, tuple[str, int, float]] = {}
        self.last_number = self.rng.randrange(PROBE_NUMBER_LIMIT)
        self.rounds = 0
        self.next_round = -math.inf
        self.ack_deadline = math.inf
        self.last_tick = -math.inf
        self.next_sync_round = 1
        self._queue_update(name)

    # Queries

    def alive(self) -> list[str]:
        """Names of all other members that are not considered dead, including suspects."""
        return [name for name, m in self.members.items() if m.update.status is not Status.DEAD]

    def status(self, name: str) -> Status | None:
        member = self.members.get(name)
        return None if member is None else member.update.status

    # Events

    def leave(self) -> list[Outgoing]:
        """Announce the end of this process to a few members, which spread it, so none has to detect it."""
        departure = MemberUpdate(self.name, self.own.incarnation, Status.DEAD)
        others = self.alive()
        recipients = self.rng.sample(others, min(self.settings.helpers, len(others)))
        return [
            (name, Message(MessageKind.ACK, self._next_number(), "", (departure,))) for name in recipients
        ]

    def join(self, now: float, names: Iterable[str]) -> None:
        """Add peers known only by name, from a list or a coordinator; known members are not changed."""
        for name in names:
            self._apply_update(now, MemberUpdate(name, 0, Status.ALIVE))

    def due(self) -> float:
        """When `tick` has something to do next."""
        return min(self.next_round, self.ack_deadline)

    def tick(self, now: float) -> list[Outgoing]:
        """Do what is due: start a round, or request indirect probes if a probe was not answered."""
        settings = self.settings
        # A paused node received no acks, which is no evidence against the other members.
        paused = now > self.last_tick + 2 * settings.period and self.last_tick > -math.inf
        self.last_tick = now
        if paused:
            self.probe = None
            for member in self.members.values():
                if member.update.status is Status.SUSPECT:
                    member.status_since = now
        sent: list[Outgoing] = []
        if now >= self.ack_deadline:
            self.ack_deadline = math.inf
            sent += self._probe_indirectly()
        if now >= self.next_round:
            sent += self._start_round(now)
        return sent

    def receive(self, now: float, sender: str, message: Message) -> list[Outgoing]:
        """Process a message of an authenticated sender and return the messages to send."""
        if sender == self.name:
            return []
        known = self.members.get(sender)
        if known is None:
            self._apply_update(now, MemberUpdate(sender, 0, Status.ALIVE))
        if message.kind in (MessageKind.SYNC, MessageKind.STATE):
            return self._handle_sync(now, sender, message)
        for update in message.news[:MAX_UPDATES_PER_MESSAGE]:
            self._apply_update(now, update)
        if message.kind is MessageKind.PING:
            if known is not None and known.update.status is not Status.ALIVE:
                self._queue_update(sender)  # so that the sender learns its status here and can refute it
            return [(sender, self._build_message(MessageKind.ACK, message.number, to=sender))]
        if message.kind is MessageKind.PING_REQUEST:
            if message.about == self.name or message.about not in self.members:
                return []
            number = self._next_number()
            self.relayed_probes[number] = (sender, message.number, now + self.settings.period)
            return [(message.about, self._build_message(MessageKind.PING, number, to=message.about))]
        return self._handle_ack(sender, message)

    # Synchronisation of whole lists

    def _sync(self) -> list[Outgoing]:
        others = self.alive()
        return [(self.rng.choice(others), Message(MessageKind.SYNC, self._digest()))] if others else []

    def _handle_sync(self, now: float, sender: str, message: Message) -> list[Outgoing]:
        """If the digests differ, both sides exchange their whole membership lists."""
        if message.kind is MessageKind.SYNC:
            if message.number == self._digest():
                return [(sender, Message(MessageKind.STATE, 0))]
            return [(sender, Message(MessageKind.STATE, 0, SEND_STATE, self._all_updates()))]
        for update in message.news[:MAX_MEMBERS]:
            self._apply_update(now, update)
        return (
            [(sender, Message(MessageKind.STATE, 0, "", self._all_updates()))]
            if message.about == SEND_STATE
            else []
        )

    def _all_updates(self) -> tuple[MemberUpdate, ...]:
        return (self.own, *(m.update for m in self.members.values()))

    def _digest(self) -> int:
        updates = sorted((n.name, n.incarnation, n.status) for n in self._all_updates())
        return zlib.crc32(repr(updates).encode())

    def _handle_ack(self, sender: str, message: Message) -> list[Outgoing]:
        probe = self.probe
        if probe is not None and message.number == probe.number:
            probe.answered = True
        relayed = self.relayed_probes.pop(message.number, None)
        if relayed is None:
            return []
        requester, number, _ = relayed
        return [(requester, self._build_message(MessageKind.ACK, number, to=requester))]

    # Rounds

    def _start_round(self, now: float) -> list[Outgoing]:
        settings = self.settings
        self.next_round = now + settings.period
        self.rounds += 1
        self._expire_probes_and_suspects(now)
        for number in [n for n, (_, _, until) in self.relayed_probes.items() if now >= until]:
            del self.relayed_probes[number]
        sent: list[Outgoing] = []
        if self.rounds >= self.next_sync_round:
            # More often at first: if all nodes start together, the nodes asked know as little.
            self.next_sync_round = self.rounds + min(settings.sync_periods, self.rounds)
            sent += self._sync()
        target = self._next_target()
        if target is not None:
            self.probe = _Probe(target, self._next_number())
            self.ack_deadline = now + settings.ack_timeout
            sent.append((target, self._build_message(MessageKind.PING, self.probe.number, to=target)))
        # Otherwise a member that did refute could be declared dead here, if the refutation was lost.
        sent += self._prompt_refutation(Status.SUSPECT)
        if self.rounds % settings.dead_probe_periods == 0:
            sent += self._prompt_refutation(Status.DEAD)
        return sent

    def _prompt_refutation(self, status: Status) -> list[Outgoing]:
        """Ping one member with this status and include the status, so that the member can refute it."""
        candidates = [name for name, m in self.members.items() if m.update.status is status]
        if not candidates:
            return []
        name = self.rng.choice(candidates)
        self._queue_update(name)
        return [(name, self._build_message(MessageKind.PING, self._next_number(), to=name))]

    def _expire_probes_and_suspects(self, now: float) -> None:
        """Suspect the last probe's target if unanswered, declare old suspects dead, remove old dead ones."""
        probe, self.probe = self.probe, None
        if probe is not None and not probe.answered:
            known = self.members.get(probe.target)
            if known is not None and known.update.status is Status.ALIVE:
                self._apply_update(now, MemberUpdate(probe.target, known.update.incarnation, Status.SUSPECT))
        suspicion_time = self.settings.suspicion_factor * self._fleet_log2() * self.settings.period
        for name, member in list(self.members.items()):
            if member.update.status is Status.SUSPECT and now >= member.status_since + suspicion_time:
                self._apply_update(now, MemberUpdate(name, member.update.incarnation, Status.DEAD))
            elif (
                member.update.status is Status.DEAD
                and now >= member.status_since + self.settings.forget_after
            ):
                del self.members[name]
                self.update_queue.drop(name)

    def _probe_indirectly(self) -> list[Outgoing]:
        probe = self.probe
        if probe is None or probe.answered:
            return []
        others = [n for n in self.alive() if n != probe.target]
        helpers = self.rng.sample(others, min(self.settings.helpers, len(others)))
        return [
            (h, self._build_message(MessageKind.PING_REQUEST, probe.number, probe.target, to=h))
            for h in helpers
        ]

    def _next_target(self) -> str | None:
        while self.probe_order:
            name = self.probe_order.pop()
            if self.status(name) in (Status.ALIVE, Status.SUSPECT):
                return name
        self.probe_order = self.alive()
        self.rng.shuffle(self.probe_order)
        return self.probe_order.pop() if self.probe_order else None

    # Updates

    def _apply_update(self, now: float, update: MemberUpdate) -> None:
        if update.name == self.name:
            if update.status is not Status.ALIVE:
                # Also if the update is older than this process: its sender does not know the process yet.
                if update.incarnation >= self.own.incarnation:
                    self.own = MemberUpdate(self.name, update.incarnation + 1, Status.ALIVE)
                self._queue_update(self.name)
            return
        known = self.members.get(update.name)
        if known is None:
            if len(self.members) >= MAX_MEMBERS:
                return
            self.members[update.name] = _Member(update, now)
            # At a random position, so that nodes do not probe in the same order.
            self.probe_order.insert(self.rng.randrange(len(self.probe_order) + 1), update.name)
        elif update.overrides(known.update):
            if update.status is not known.update.status:
                known.status_since = now
            known.update = update
        else:
            return
        self._queue_update(update.name)

    def _queue_update(self, name: str) -> None:
        self.update_queue.put(name, math.ceil(self.settings.retransmit_factor * self._fleet_log2()))

    def _fleet_log2(self) -> float:
        return math.log2(len(self.members) + 2)

    def _build_message(self, kind: MessageKind, number: int, about: str = "", to: str = "") -> Message:
        """A message with the updates about recipient and sender, then the ones sent least often."""
        names = self.update_queue.take(MAX_UPDATES_PER_MESSAGE, (to, self.name))
        updates = (self.own if name == self.name else self.members[name].update for name in names)
        return Message(kind, number, about, tuple(updates))

    def _next_number(self) -> int:
        self.last_number = (self.last_number + 1) % PROBE_NUMBER_LIMIT
        return self.last_number


def agree(nodes: Sequence[Swim], names: set[str]) -> bool:
    """Whether each node considers exactly these names alive or suspect, apart from itself."""
    return all(set(node.alive()) == names - {node.name} for node in nodes)
