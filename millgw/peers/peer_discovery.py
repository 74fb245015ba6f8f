"""Peers found at a coordinator: an ephemeral node for each of them below one path.

Only the first ones need finding: the list is kept by probes, so a coordinator that is away or wrong costs
nothing once two know of each other.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable

from millgw.membership.registrar import Entry, Registrar
from millgw.membership.source import Directory, Where
from millgw.platform.discovery import Listed

Found = Callable[[list[str]], None]


class NoWitness:
    """Nothing is known here of whether a peer answers: that is for probes."""

    def seen(self, endpoint: int) -> tuple[float, float, float, float] | None:
        return None

    def misses(self, endpoint: int) -> int:
        return 0


class CoordinatorDiscovery:
    """Registers this sidecar by its name below the path of `where`, and tells of the others there."""

    def __init__(self, where: Where, name: str, seed: int, found: Found) -> None:
        self.name = name
        self.found = found
        self.known = asyncio.Event()  # the directory was read
        self.directory = Directory(where, (), seed, NoWitness(), self._changed)
        node = Entry(name.replace(":", "-"), name)  # a path's part without colons, as other tools expect
        self.registrar = Registrar(where.servers, where.path, node, where.timeout, random.Random(seed))

    def start(self) -> None:
        self.directory.start()

    def register(self) -> None:
        """Others may find this one from now on."""
        self.registrar.start()

    async def leave(self) -> None:
        """Take the node down, or leave that to the session's end."""
        self.directory.stop()
        await self.registrar.withdraw()

    def _changed(self, ready: dict[int, Listed], draining: dict[int, Listed]) -> None:
        self.known.set()
        names = self._names(ready.values())
        if names:
            self.found(names)

    def _names(self, listed: Iterable[Listed]) -> list[str]:
        return [name for e in listed if e.address is not None and (name := str(e.address)) != self.name]
