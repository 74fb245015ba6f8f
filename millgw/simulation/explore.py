"""Exhaustive search over a machine's own code: each state within bounds, the shortest trace to a broken one.

A breadth-first search: states that look alike by `key` are one, so the first trace found to each is as short
as any. Pure, and the same in every process: steps are tried in the order in which the model names them.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field
from typing import Generic, Protocol, TypeVar

S = TypeVar("S")


class Model(Protocol[S]):
    """One machine. A step that is not possible in a state is not named there."""

    name: str
    about: str  # what is held, in one sentence

    def first(self) -> Iterable[S]:
        """The states that it may begin in."""

    def steps(self, state: S) -> Iterable[str]:
        """What may happen next, by name."""

    def after(self, state: S, step: str) -> S:
        """The state after that, a new one: `state` stays as it is."""

    def key(self, state: S) -> Hashable:
        """What tells states apart: two of one key must have the same future."""

    def broken(self, state: S) -> str:
        """Which invariant does not hold, in words; empty where all do."""


@dataclass
class Found(Generic[S]):
    """What a search came to. `whole` tells whether every state that can be reached was looked at."""

    states: int = 0
    steps: int = 0
    depth: int = 0  # of the longest trace
    whole: bool = True
    broken: str = ""
    trace: list[str] = field(default_factory=list)  # to the broken state, the shortest there is
    state: S | None = None  # the broken one


def explore(model: Model[S], most: int = 2_000_000) -> Found[S]:
    """Look at every state, up to `most` of them, and end at the first in which an invariant does not hold."""
    found: Found[S] = Found()
    came: dict[Hashable, tuple[Hashable, str] | None] = {}
    queue: deque[tuple[S, Hashable, int]] = deque()

    def met(state: S, key: Hashable, by: tuple[Hashable, str] | None, depth: int) -> bool:
        """Take a new state in; tells whether all holds there."""
        came[key] = by
        found.states, found.depth = len(came), max(found.depth, depth)
        found.broken = model.broken(state)
        if found.broken:
            found.state, found.trace = state, _trace(came, key)
            return False
        queue.append((state, key, depth))
        return True

    for state in model.first():
        key = model.key(state)
        if key not in came and not met(state, key, None, 0):
            return found
    while queue:
        state, before, depth = queue.popleft()
        for step in model.steps(state):
            found.steps += 1
            following = model.after(state, step)
            key = model.key(following)
            if key in came:
                continue
            if len(came) >= most:
                found.whole = False
                return found
            if not met(following, key, (before, step), depth + 1):
                return found
    return found


def _trace(came: dict[Hashable, tuple[Hashable, str] | None], key: Hashable) -> list[str]:
    steps = []
    by = came[key]
    while by is not None:
        key, step = by
        steps.append(step)
        by = came[key]
    return steps[::-1]
