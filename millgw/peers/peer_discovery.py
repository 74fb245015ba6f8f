"""Peer discovery through a coordinator: an ephemeral node for each peer below one path.

Only the first peers have to be found this way: membership is maintained by probes, so an unavailable or wrong
coordinator does no harm once two peers know each other.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable

from millgw.membership.registrar import Entry, Registrar
from millgw.membership.source import DirectoryLocation, WatchedDirectory
from millgw.platform.discovery import ListedEndpoint

OnFound = Callable[[list[str]], None]


class NoWitness:
    """Has no evidence of whether a peer answers; that is determined by probes."""

    def seen(self, endpoint: int) -> tuple[float, float, float, float] | None:
        return None

    def misses(self, endpoint: int) -> int:
        return 0


class CoordinatorDiscovery:
    """Registers this sidecar below the path of `where` and reports the others registered there."""

    def __init__(self, where: DirectoryLocation, name: str, seed: int, on_found: OnFound) -> None:
        self.name = name
        self.on_found = on_found
        self.directory_read = asyncio.Event()
        self.directory = WatchedDirectory(where, (), seed, NoWitness(), self._changed)
        node = Entry(name.replace(":", "-"), name)  # no colons in the path component, as other tools expect
        self.registrar = Registrar(where.servers, where.path, node, where.timeout, random.Random(seed))

    def start(self) -> None:
        self.directory.start()

    def register(self) -> None:
        """Make this sidecar discoverable by others."""
        self.registrar.start()

    async def leave(self) -> None:
        """Remove the node; if that fails, the end of the session removes it."""
        self.directory.stop()
        await self.registrar.withdraw()

    def _changed(self, ready: dict[int, ListedEndpoint], draining: dict[int, ListedEndpoint]) -> None:
        self.directory_read.set()
        names = self._names(ready.values())
        if names:
            self.on_found(names)

    def _names(self, listed: Iterable[ListedEndpoint]) -> list[str]:
        return [name for e in listed if e.address is not None and (name := str(e.address)) != self.name]
