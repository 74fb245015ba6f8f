"""What a run sends: classes, tenants, keys, sizes and hosts, drawn for each arrival from a seed. Pure.

The same plan and seed give the same arrivals, however many senders share them out: sender `i` of `n` takes
those whose number is `i` modulo `n`.
"""

from __future__ import annotations

import bisect
import itertools
import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field, replace

from millgw.load.arrivals import Arrival, Habits, Kind, arrivals
from millgw.load.shapes import Shape, merged

REPEATS = ("retryable", "dedup", "fragile")  # as operators word them


class PlanError(ValueError):
    """A word on classes, tenants and the like that can't be used."""


@dataclass(slots=True, frozen=True)
class Class:
    """A class of requests: its share of the arrivals, its deadline (ms), how far it may be repeated."""

    name: str
    share: float = 1.0
    deadline: float = 2000.0
    repeat: str = "retryable"

    @property
    def method(self) -> str:
        return "GET" if self.repeat == "retryable" else "POST"


def read_class(text: str) -> Class:
    """A class from `NAME:share=1,deadline=2000,repeat=fragile`."""
    name, _, rest = text.partition(":")
    values: dict[str, float | str] = {}
    if not name:
        raise PlanError(f"{text!r}: it has no name")
    for word in filter(None, rest.split(",")):
        key, _, value = word.partition("=")
        if key == "repeat":
            if value not in REPEATS:
                raise PlanError(f"{text!r}: repeat {value!r} is none of {', '.join(REPEATS)}")
            values[key] = value
        elif key in ("share", "deadline"):
            values[key] = positive(text, key, value)
        else:
            raise PlanError(f"{text!r}: a class has no {key!r}; it takes share, deadline, repeat")
    return Class(name, **values)  # type: ignore[arg-type]


def read_share(text: str) -> tuple[str, float]:
    """A tenant or host from `NAME` or `NAME=SHARE`."""
    name, equals, value = text.partition("=")
    if not name:
        raise PlanError(f"{text!r}: it has no name")
    return name, positive(text, "the share", value) if equals else 1.0


def positive(text: str, key: str, value: str) -> float:
    """A number over 0; a PlanError names the word and the key."""
    try:
        number = float(value)
    except ValueError:
        number = 0.0
    if not 0 < number <= 1e9:
        raise PlanError(f"{text!r}: {key} is no number over 0")
    return number


@dataclass(slots=True, frozen=True)
class Content:
    """What requests are about. Keys are drawn by Zipf's law, sizes (bytes) evenly from a range."""

    keys: int = 0  # how many there are; 0: each request is about something of its own
    zipf: float = 1.0
    sizes: tuple[int, int] = (0, 0)
    hosts: tuple[tuple[str, float], ...] = ()


@dataclass(slots=True, frozen=True)
class Plan:
    """A whole run."""

    shapes: tuple[Shape, ...]
    seconds: float
    seed: int = 1
    even: bool = False
    classes: tuple[Class, ...] = (Class("read"),)
    tenants: tuple[tuple[str, float], ...] = (("", 1.0),)
    habits: Habits = field(default_factory=lambda: Habits(retries=0, try_share=(1.0, 1.0)))
    content: Content = Content()

    def arrivals(self) -> Iterator[Arrival]:
        """All arrivals, in order."""
        kinds = [Kind(c.name, c.share, c.deadline, c.repeat == "dedup") for c in self.classes]
        moments = merged(self.shapes, self.seconds, self.even, self.seed)
        drawn = arrivals(moments, kinds, self.tenants, self.habits, self.seed)
        return about(drawn, self.content, self.seed)

    def describe(self) -> str:
        return " + ".join(shape.text for shape in self.shapes)


def about(drawn: Iterator[Arrival], content: Content, seed: int) -> Iterator[Arrival]:
    """Arrivals with what they are about; drawn apart, so that it moves nothing else."""
    rng = random.Random(f"content {seed}")
    ranks = list(itertools.accumulate((i + 1) ** -content.zipf for i in range(content.keys)))
    hosts = list(itertools.accumulate(share for _, share in content.hosts))
    low, high = content.sizes
    for arrival in drawn:
        a, b, c = rng.random(), rng.random(), rng.random()
        key = bisect.bisect(ranks, a * ranks[-1]) if ranks else arrival.number
        host = content.hosts[bisect.bisect(hosts, b * hosts[-1])][0] if hosts else ""
        yield replace(arrival, about=f"{key:x}", host=host, size=low + int(c * (high - low + 1)))


def part(all_of_them: Sequence[Arrival], sender: int, senders: int) -> list[Arrival]:
    """The arrivals of one of several senders."""
    return [a for a in all_of_them if a.number % senders == sender]
