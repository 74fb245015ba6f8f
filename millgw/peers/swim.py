"""The list of peers, kept by probes: SWIM (Das, Gupta, Motivala, 2002), as a machine without clock or socket.

Each period a node probes one other, in a shuffled order that it goes through to the end. Without an answer it
asks a few others to probe for it; without theirs the probed one is suspected, and dead when nobody has heard
of it within the time of suspicion. News travel on the probes themselves, each a number of times that grows
with the logarithm of the fleet; at its start and now and then a node compares all that it holds with another
(these messages are long: they are not for datagrams). Times are ms on the caller's monotonic clock.
"""

from __future__ import annotations

import itertools
import math
import random
import zlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import IntEnum

MOST_MEMBERS = 4096  # guards against memory that fills with names that somebody makes up
MOST_NEWS = 6  # carried by one message: a datagram stays well below 1,200 bytes
NUMBERS = 1 << 32


class Status(IntEnum):
    """What is held of a member. The order is that in which they override each other at one incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@dataclass(slots=True, frozen=True)
class News:
    """What somebody holds of a member; only the member itself raises its incarnation."""

    name: str
    incarnation: int
    status: Status

    def overrides(self, known: News) -> bool:
        return (self.incarnation, self.status) > (known.incarnation, known.status)


class Kind(IntEnum):
    PING = 0
    ACK = 1
    ASK = 2  # probe `about` for me
    SYNC = 3  # `number` is a digest of all that I hold: is yours another?
    STATE = 4  # all that I hold, and `about` is what you are to do: tell me yours, or nothing


@dataclass(slots=True, frozen=True)
class Message:
    """One datagram. An ack bears the number of the ping that it answers."""

    kind: Kind
    number: int
    about: str = ""
    news: tuple[News, ...] = ()


Sent = tuple[str, Message]
TELL = "tell"


@dataclass(slots=True, frozen=True)
class Terms:
    """Times in ms. `helpers` are asked to probe for a node; `spread` times log2 of the fleet is how often
    news are passed on, `suspicion` times that many periods how long a suspect may contradict."""

    period: float = 1000.0
    answer: float = 300.0  # for a probe to be answered directly
    helpers: int = 3
    spread: float = 3.0
    suspicion: float = 1.0
    recall: int = 8  # periods between two looks at one that is held to be dead
    sync: int = 20  # periods between two comparisons with another: news may miss a node, or be too old for it
    forget: float = 600_000.0  # after which the dead are forgotten


@dataclass(slots=True)
class _Member:
    news: News
    since: float


@dataclass(slots=True)
class _Probe:
    """A probe of this node's own, until the period ends."""

    target: str
    number: int
    answered: bool = False


class Hot:
    """Names whose news are still to be passed on, and how often: the least passed on go first.

    By count, as each message takes a few of what may be thousands.
    """

    def __init__(self) -> None:
        self.left: dict[str, int] = {}
        self.by_count: dict[int, dict[str, None]] = {}

    def put(self, name: str, count: int) -> None:
        self.drop(name)
        if count > 0:
            self.left[name] = count
            self.by_count.setdefault(count, {})[name] = None

    def drop(self, name: str) -> None:
        count = self.left.pop(name, 0)
        if count:
            names = self.by_count[count]
            del names[name]
            if not names:
                del self.by_count[count]

    def take(self, most: int, first: Iterable[str]) -> list[str]:
        """So many names, those of `first` before all others; each is to be passed on once less."""
        taken = dict.fromkeys(name for name in first if name in self.left)
        for count in sorted(self.by_count, reverse=True):
            if len(taken) >= most:
                break
            taken.update(itertools.islice(self.by_count[count].items(), most))
        names = list(taken)[:most]
        for name in names:
            self.put(name, self.left[name] - 1)
        return names


class Swim:
    """One node's view of all. `start` must grow from one process of a name to the next (a Unix time does)."""

    def __init__(self, name: str, start: int, seed: int, terms: Terms | None = None) -> None:
        self.name = name
        self.terms = terms or Terms()
        self.rng = random.Random(seed)
        self.own = News(name, start, Status.ALIVE)
        self.members: dict[str, _Member] = {}
        self.hot = Hot()
        self.order: list[str] = []
        self.probe: _Probe | None = None
        self.relayed: dict[int, tuple[str, int, float]] = {}  # own number: for whom, its number, until when
        self.numbers = self.rng.randrange(NUMBERS)
        self.rounds = 0
        self.next_round = -math.inf
        self.direct_until = math.inf
        self.ticked = -math.inf
        self.sync_at = 1  # the round in which it compares what it holds with another next
        self._pass_on(name)

    # What is known

    def alive(self) -> list[str]:
        """Names of all others that are held to be there, suspects among them."""
        return [name for name, m in self.members.items() if m.news.status is not Status.DEAD]

    def status(self, name: str) -> Status | None:
        member = self.members.get(name)
        return None if member is None else member.news.status

    # What comes in

    def leave(self) -> list[Sent]:
        """This process ends: tell a few, who tell the others, so that nobody waits for it."""
        gone = News(self.name, self.own.incarnation, Status.DEAD)
        others = self.alive()
        some = self.rng.sample(others, min(self.terms.helpers, len(others)))
        return [(name, Message(Kind.ACK, self._number(), "", (gone,))) for name in some]

    def join(self, now: float, names: Iterable[str]) -> None:
        """Know of peers by name only, from a list or a coordinator; what is known of them already stays."""
        for name in names:
            self._learn(now, News(name, 0, Status.ALIVE))

    def due(self) -> float:
        """When `tick` has something to do next."""
        return min(self.next_round, self.direct_until)

    def tick(self, now: float) -> list[Sent]:
        """Go on in time: begin a round, or ask others about a probe that is not answered."""
        terms = self.terms
        # Guards against a node that was paused: it heard no answers, which tells nothing of the others.
        paused = now > self.ticked + 2 * terms.period and self.ticked > -math.inf
        self.ticked = now
        if paused:
            self.probe = None
            for member in self.members.values():
                if member.news.status is Status.SUSPECT:
                    member.since = now
        sent: list[Sent] = []
        if now >= self.direct_until:
            self.direct_until = math.inf
            sent += self._ask_helpers()
        if now >= self.next_round:
            sent += self._round(now)
        return sent

    def receive(self, now: float, sender: str, message: Message) -> list[Sent]:
        """Take a message whose sender is proven; the answers to it."""
        if sender == self.name:
            return []
        known = self.members.get(sender)
        if known is None:
            self._learn(now, News(sender, 0, Status.ALIVE))
        if message.kind in (Kind.SYNC, Kind.STATE):
            return self._compared(now, sender, message)
        for news in message.news[:MOST_NEWS]:
            self._learn(now, news)
        if message.kind is Kind.PING:
            if known is not None and known.news.status is not Status.ALIVE:
                self._pass_on(sender)  # let it hear what is said of it, and contradict
            return [(sender, self._message(Kind.ACK, message.number, to=sender))]
        if message.kind is Kind.ASK:
            if message.about == self.name or message.about not in self.members:
                return []
            number = self._number()
            self.relayed[number] = (sender, message.number, now + self.terms.period)
            return [(message.about, self._message(Kind.PING, number, to=message.about))]
        return self._acked(sender, message)

    # Comparing

    def _sync(self) -> list[Sent]:
        others = self.alive()
        return [(self.rng.choice(others), Message(Kind.SYNC, self._digest()))] if others else []

    def _compared(self, now: float, sender: str, message: Message) -> list[Sent]:
        """One side tells all where the digests differ, and hears all of the other's."""
        if message.kind is Kind.SYNC:
            if message.number == self._digest():
                return [(sender, Message(Kind.STATE, 0))]
            return [(sender, Message(Kind.STATE, 0, TELL, self._all()))]
        for news in message.news[:MOST_MEMBERS]:
            self._learn(now, news)
        return [(sender, Message(Kind.STATE, 0, "", self._all()))] if message.about == TELL else []

    def _all(self) -> tuple[News, ...]:
        return (self.own, *(m.news for m in self.members.values()))

    def _digest(self) -> int:
        told = sorted((n.name, n.incarnation, n.status) for n in self._all())
        return zlib.crc32(repr(told).encode())

    def _acked(self, sender: str, message: Message) -> list[Sent]:
        probe = self.probe
        if probe is not None and message.number == probe.number:
            probe.answered = True
        relayed = self.relayed.pop(message.number, None)
        if relayed is None:
            return []
        asker, number, _ = relayed
        return [(asker, self._message(Kind.ACK, number, to=asker))]

    # Rounds

    def _round(self, now: float) -> list[Sent]:
        terms = self.terms
        self.next_round = now + terms.period
        self.rounds += 1
        self._judge(now)
        for number in [n for n, (_, _, until) in self.relayed.items() if now >= until]:
            del self.relayed[number]
        sent: list[Sent] = []
        if self.rounds >= self.sync_at:
            # Often at first: when all start at once, those it asks then know as little.
            self.sync_at = self.rounds + min(terms.sync, self.rounds)
            sent += self._sync()
        target = self._next_target()
        if target is not None:
            self.probe = _Probe(target, self._number())
            self.direct_until = now + terms.answer
            sent.append((target, self._message(Kind.PING, self.probe.number, to=target)))
        # Guards against a death by hearsay: its contradiction may have missed just this node.
        sent += self._recall(Status.SUSPECT)
        if self.rounds % terms.recall == 0:
            sent += self._recall(Status.DEAD)
        return sent

    def _recall(self, status: Status) -> list[Sent]:
        """Let one of whom this is held hear of it, so that it can contradict."""
        held = [name for name, m in self.members.items() if m.news.status is status]
        if not held:
            return []
        name = self.rng.choice(held)
        self._pass_on(name)
        return [(name, self._message(Kind.PING, self._number(), to=name))]

    def _judge(self, now: float) -> None:
        """End the last probe, and the time of suspects that nobody has heard of."""
        probe, self.probe = self.probe, None
        if probe is not None and not probe.answered:
            known = self.members.get(probe.target)
            if known is not None and known.news.status is Status.ALIVE:
                self._learn(now, News(probe.target, known.news.incarnation, Status.SUSPECT))
        within = self.terms.suspicion * self._log() * self.terms.period
        for name, member in list(self.members.items()):
            if member.news.status is Status.SUSPECT and now >= member.since + within:
                self._learn(now, News(name, member.news.incarnation, Status.DEAD))
            elif member.news.status is Status.DEAD and now >= member.since + self.terms.forget:
                del self.members[name]
                self.hot.drop(name)

    def _ask_helpers(self) -> list[Sent]:
        probe = self.probe
        if probe is None or probe.answered:
            return []
        others = [n for n in self.alive() if n != probe.target]
        helpers = self.rng.sample(others, min(self.terms.helpers, len(others)))
        return [(h, self._message(Kind.ASK, probe.number, probe.target, to=h)) for h in helpers]

    def _next_target(self) -> str | None:
        while self.order:
            name = self.order.pop()
            if self.status(name) in (Status.ALIVE, Status.SUSPECT):
                return name
        self.order = self.alive()
        self.rng.shuffle(self.order)
        return self.order.pop() if self.order else None

    # News

    def _learn(self, now: float, news: News) -> None:
        if news.name == self.name:
            if news.status is not Status.ALIVE:
                # Also what is older than this process: whoever says so has not heard of it.
                if news.incarnation >= self.own.incarnation:
                    self.own = News(self.name, news.incarnation + 1, Status.ALIVE)
                self._pass_on(self.name)
            return
        known = self.members.get(news.name)
        if known is None:
            if len(self.members) >= MOST_MEMBERS:
                return
            self.members[news.name] = _Member(news, now)
            # At a random place of this round, so that no two nodes go on in step.
            self.order.insert(self.rng.randrange(len(self.order) + 1), news.name)
        elif news.overrides(known.news):
            if news.status is not known.news.status:
                known.since = now
            known.news = news
        else:
            return
        self._pass_on(news.name)

    def _pass_on(self, name: str) -> None:
        self.hot.put(name, math.ceil(self.terms.spread * self._log()))

    def _log(self) -> float:
        return math.log2(len(self.members) + 2)

    def _message(self, kind: Kind, number: int, about: str = "", to: str = "") -> Message:
        """With the news that were passed on least, and first what is said of the two that it goes between."""
        names = self.hot.take(MOST_NEWS, (to, self.name))
        news = (self.own if name == self.name else self.members[name].news for name in names)
        return Message(kind, number, about, tuple(news))

    def _number(self) -> int:
        self.numbers = (self.numbers + 1) % NUMBERS
        return self.numbers


def agree(nodes: Sequence[Swim], names: set[str]) -> bool:
    """Whether all nodes hold just these names to be there, each besides itself; suspects are."""
    return all(set(node.alive()) == names - {node.name} for node in nodes)
