"""A simulated disk with seeded faults and power cuts, for the store's tests.

After a power cut, unsynced data may be lost in any pages and any order, a file may end anywhere between its
synced and its written length, and lost pages within it read as zeros. Changes of names are lost from the
latest backwards, as file systems journal them. After a failed sync the dirty pages count as clean and are
lost, and the next sync succeeds (PostgreSQL's 'fsyncgate').
"""

from __future__ import annotations

import errno
import random
from collections.abc import Callable
from dataclasses import dataclass, field

PAGE_BYTES = 512


class Crash(Exception):
    """A simulated power cut."""


@dataclass(eq=False)
class Inode:
    """The bytes of a file: as reads see them, as they are on the disk, and the pages not yet on the disk."""

    content: bytearray = field(default_factory=bytearray)
    durable: bytes = b""
    dirty_pages: set[int] = field(default_factory=set)  # page numbers

    def write(self, at: int, data: bytes) -> None:
        if len(self.content) < at + len(data):
            self.content.extend(bytes(at + len(data) - len(self.content)))
        self.content[at : at + len(data)] = data
        self.dirty_pages |= set(range(at // PAGE_BYTES, (at + max(1, len(data)) - 1) // PAGE_BYTES + 1))

    def sync(self) -> None:
        self.durable = bytes(self.content)
        self.dirty_pages.clear()

    def drop_dirty_pages(self) -> None:
        """A sync has failed: the dirty pages count as clean, but are not on the disk."""
        self.dirty_pages.clear()

    def after_power_cut(self, rng: random.Random) -> Inode:
        """The file as it is found after a power cut."""
        low, high = sorted((len(self.durable), len(self.content)))
        out = bytearray(self.durable)
        size = (
            rng.randint(low, high)
            if len(self.content) > len(self.durable) and self.dirty_pages
            else len(self.durable)
        )
        out.extend(bytes(max(0, size - len(out))))
        for page in self.dirty_pages:
            if rng.random() < 0.5:
                part = self.content[page * PAGE_BYTES : (page + 1) * PAGE_BYTES]
                end = min(page * PAGE_BYTES + len(part), len(out))
                out[page * PAGE_BYTES : end] = part[: max(0, end - page * PAGE_BYTES)]
        found = Inode(bytearray(out))
        found.sync()
        return found


class FaultyHandle:
    def __init__(self, disk: FaultyFiles, inode: Inode) -> None:
        self.disk = disk
        self.inode = inode

    def write(self, data: bytes) -> None:
        fault = self.disk.step("write")
        if fault is not None:
            part = data[: self.disk.rng.randrange(len(data) + 1)]
            self.inode.write(len(self.inode.content), part)
            raise fault
        self.inode.write(len(self.inode.content), data)

    def overwrite(self, data: bytes) -> None:
        fault = self.disk.step("write")
        if fault is not None:
            self.inode.write(0, data[: self.disk.rng.randrange(len(data) + 1)])
            raise fault
        self.inode.write(0, data)

    def sync(self) -> None:
        fault = self.disk.step("sync")
        if fault is not None:
            if isinstance(fault, OSError):
                self.inode.drop_dirty_pages()
            raise fault
        self.inode.sync()

    def close(self) -> None:
        pass


class FaultyFiles:
    """One directory. `fault` gets the kind and number of each step before it, and may return an exception."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.inodes: dict[str, Inode] = {}
        self.durable_inodes: dict[str, Inode] = {}
        self.pending_changes: list[Callable[[dict[str, Inode]], object]] = []
        self.steps = 0
        self.fault: Callable[[str, int], BaseException | None] = lambda _, __: None
        self.powered_off = False

    def step(self, kind: str) -> BaseException | None:
        if self.powered_off:
            raise Crash
        self.steps += 1
        fault = self.fault(kind, self.steps)
        if isinstance(fault, Crash):
            self.powered_off = True
        return fault

    def _change_names(self, change: Callable[[dict[str, Inode]], object]) -> None:
        fault = self.step("names")
        if fault is not None:
            raise fault
        change(self.inodes)
        self.pending_changes.append(change)

    def crash(self) -> FaultyFiles:
        """The disk as it is found once the power is back."""
        out = FaultyFiles(self.rng)
        names = dict(self.durable_inodes)
        for change in self.pending_changes[: self.rng.randint(0, len(self.pending_changes))]:
            change(names)
        survivors: dict[int, Inode] = {}
        for name, inode in names.items():
            if id(inode) not in survivors:
                survivors[id(inode)] = inode.after_power_cut(self.rng)
            out.inodes[name] = survivors[id(inode)]
        out.durable_inodes = dict(out.inodes)
        return out

    # The interface `Files`

    def lock(self) -> None:
        """Does nothing: the simulation has one process only."""

    def names(self) -> list[str]:
        return sorted(self.inodes)

    def read(self, name: str) -> bytes:
        fault = self.step("read")
        if fault is not None:
            raise fault
        if name not in self.inodes:
            raise FileNotFoundError(errno.ENOENT, "no such file", name)
        return bytes(self.inodes[name].content)

    def create(self, name: str) -> FaultyHandle:
        inode = Inode()
        self._change_names(lambda names: names.__setitem__(name, inode))
        return FaultyHandle(self, inode)

    def open(self, name: str) -> FaultyHandle:
        if name not in self.inodes:
            return self.create(name)
        return FaultyHandle(self, self.inodes[name])

    def rename(self, old: str, new: str) -> None:
        self._change_names(lambda names: names.__setitem__(new, names.pop(old)) if old in names else None)

    def remove(self, name: str) -> None:
        self._change_names(lambda names: names.pop(name, None))

    def sync_directory(self) -> None:
        fault = self.step("sync")
        if fault is not None:
            raise fault
        self.durable_inodes = dict(self.inodes)
        self.pending_changes.clear()

    def close(self) -> None:
        pass


def faulty_mirrors(seed: int, count: int) -> list[FaultyFiles]:
    """Disks that share one seeded random generator for their faults."""
    rng = random.Random(f"disks {seed}")
    return [FaultyFiles(rng) for _ in range(count)]
