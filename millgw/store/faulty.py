"""A disk that does what disks do to programs which trust them: for the store's tests, by seed.

Data that was not synced may be lost in any pages and any order, a file may end anywhere between what was
synced and what was written, lost pages in its middle read as zeros. Names are lost from the last one on, as
file systems journal them. After a sync that failed the pages count as clean and are gone: the next sync says
all is well (PostgreSQL's 'fsyncgate').
"""

from __future__ import annotations

import errno
import random
from collections.abc import Callable
from dataclasses import dataclass, field

PAGE = 512


class Crash(Exception):
    """The power is cut."""


@dataclass(eq=False)
class Inode:
    """A file's bytes: as they would read now, as they are on the disk, and what is not there yet."""

    now: bytearray = field(default_factory=bytearray)
    durable: bytes = b""
    dirty: set[int] = field(default_factory=set)  # pages

    def write(self, at: int, data: bytes) -> None:
        if len(self.now) < at + len(data):
            self.now.extend(bytes(at + len(data) - len(self.now)))
        self.now[at : at + len(data)] = data
        self.dirty |= set(range(at // PAGE, (at + max(1, len(data)) - 1) // PAGE + 1))

    def sync(self) -> None:
        self.durable = bytes(self.now)
        self.dirty.clear()

    def lose(self) -> None:
        """A sync has failed: what was dirty counts as clean, and is not on the disk."""
        self.dirty.clear()

    def survivor(self, rng: random.Random) -> Inode:
        """The file as it is found after a power cut."""
        low, high = sorted((len(self.durable), len(self.now)))
        out = bytearray(self.durable)
        size = (
            rng.randint(low, high) if len(self.now) > len(self.durable) and self.dirty else len(self.durable)
        )
        out.extend(bytes(max(0, size - len(out))))
        for page in self.dirty:
            if rng.random() < 0.5:
                part = self.now[page * PAGE : (page + 1) * PAGE]
                end = min(page * PAGE + len(part), len(out))
                out[page * PAGE : end] = part[: max(0, end - page * PAGE)]
        made = Inode(bytearray(out))
        made.sync()
        return made


class FaultyHandle:
    def __init__(self, disk: FaultyFiles, inode: Inode) -> None:
        self.disk = disk
        self.inode = inode

    def write(self, data: bytes) -> None:
        fault = self.disk.step("write")
        if fault is not None:
            part = data[: self.disk.rng.randrange(len(data) + 1)]
            self.inode.write(len(self.inode.now), part)
            raise fault
        self.inode.write(len(self.inode.now), data)

    def put(self, data: bytes) -> None:
        fault = self.disk.step("write")
        if fault is not None:
            self.inode.write(0, data[: self.disk.rng.randrange(len(data) + 1)])
            raise fault
        self.inode.write(0, data)

    def sync(self) -> None:
        fault = self.disk.step("sync")
        if fault is not None:
            if isinstance(fault, OSError):
                self.inode.lose()
            raise fault
        self.inode.sync()

    def close(self) -> None:
        pass


class FaultyFiles:
    """One directory. `fault` is asked before each step, by kind and number, and may give what to raise."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.now: dict[str, Inode] = {}
        self.durable: dict[str, Inode] = {}
        self.pending: list[Callable[[dict[str, Inode]], object]] = []
        self.steps = 0
        self.fault: Callable[[str, int], BaseException | None] = lambda _, __: None
        self.dead = False

    def step(self, kind: str) -> BaseException | None:
        if self.dead:
            raise Crash
        self.steps += 1
        fault = self.fault(kind, self.steps)
        if isinstance(fault, Crash):
            self.dead = True
        return fault

    def _do(self, change: Callable[[dict[str, Inode]], object]) -> None:
        fault = self.step("names")
        if fault is not None:
            raise fault
        change(self.now)
        self.pending.append(change)

    def crash(self) -> FaultyFiles:
        """The disk as it is found when the power is back."""
        out = FaultyFiles(self.rng)
        names = dict(self.durable)
        for change in self.pending[: self.rng.randint(0, len(self.pending))]:
            change(names)
        survivors: dict[int, Inode] = {}
        for name, inode in names.items():
            if id(inode) not in survivors:
                survivors[id(inode)] = inode.survivor(self.rng)
            out.now[name] = survivors[id(inode)]
        out.durable = dict(out.now)
        return out

    # Files

    def lock(self) -> None:
        """There is one process only."""

    def names(self) -> list[str]:
        return sorted(self.now)

    def read(self, name: str) -> bytes:
        fault = self.step("read")
        if fault is not None:
            raise fault
        if name not in self.now:
            raise FileNotFoundError(errno.ENOENT, "no such file", name)
        return bytes(self.now[name].now)

    def create(self, name: str) -> FaultyHandle:
        inode = Inode()
        self._do(lambda names: names.__setitem__(name, inode))
        return FaultyHandle(self, inode)

    def open(self, name: str) -> FaultyHandle:
        if name not in self.now:
            return self.create(name)
        return FaultyHandle(self, self.now[name])

    def rename(self, old: str, new: str) -> None:
        self._do(lambda names: names.__setitem__(new, names.pop(old)) if old in names else None)

    def remove(self, name: str) -> None:
        self._do(lambda names: names.pop(name, None))

    def sync_names(self) -> None:
        fault = self.step("sync")
        if fault is not None:
            raise fault
        self.durable = dict(self.now)
        self.pending.clear()

    def close(self) -> None:
        pass


def mirrored(seed: int, count: int) -> list[FaultyFiles]:
    """Disks that fail by one seed."""
    rng = random.Random(f"disks {seed}")
    return [FaultyFiles(rng) for _ in range(count)]
