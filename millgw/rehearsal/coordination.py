"""A day's coordinator: endpoints register at a stand-in, and what it tells each sidecar is booked.

Each sidecar connects at addresses of its own, so that the ledger knows who was told what. A node that ends by
its owner's wish or death is word of an end once a list without it was written to a sidecar. One whose session
a fault expired, while its owner serves, is none: no sidecar can know which, and the auditor holds nobody to
it.
"""

from __future__ import annotations

import asyncio
import json

from millgw.rehearsal.scenario import Coordinator
from millgw.standins.coordinator.ensemble import Ensemble
from millgw.standins.endpoint import Endpoint
from millgw.standins.endpoint_registry import Entry
from millgw.standins.http import Clock
from millgw.standins.ledger import Ledger, SentStatus


def directory(tier: int) -> str:
    return f"/tier-{tier}"


class Coordination:
    """The coordinator of one day, and the sessions of the endpoints at it."""

    def __init__(self, terms: Coordinator, ledger: Ledger, clock: Clock, seed: int) -> None:
        self.terms = terms
        self.ledger = ledger
        self.clock = clock
        self.ensemble = Ensemble(faces=terms.faces, seed=seed)
        self.ensemble.on_read = self._told
        self.sessions: dict[str, int] = {}
        self.lives: dict[str, int] = {}  # by node
        self.known: dict[tuple[str, str], set[str]] = {}  # by sidecar and directory
        self.lapsed: set[str] = set()  # nodes of endpoints that serve, whose sessions a fault has expired
        self.connects: dict[str, str] = {}
        self.handles: list[asyncio.TimerHandle] = []

    async def start(self, sidecars: list[str], tiers: int) -> None:
        await self.ensemble.start()
        for tier in range(1, tiers + 1):
            self.ensemble.put(directory(tier))
        for sidecar in sidecars:
            self.connects[sidecar] = await self.ensemble.listen_for(sidecar)

    async def stop(self) -> None:
        for handle in self.handles:
            handle.cancel()
        await self.ensemble.stop()

    def operator(self, sidecar: str, tier: int) -> str:
        """The operator's file of a sidecar that takes its membership from here."""
        lines = ["[services.all]"]
        if self.terms.membership != "alone":
            lines.append(f'membership = "{self.terms.membership}"')
        lines += [
            "[services.all.coordinator]", f'connect = "{self.connects[sidecar]}"',
            f'path = "{directory(tier)}"', f"session_s = {self.terms.session_s:g}",
            "[[routes]]", 'to = "all"',
        ]  # fmt: skip
        return "\n".join(lines) + "\n"

    # What endpoints do

    def serve(self, endpoint: Endpoint, entry: Entry) -> None:
        """An endpoint registers; an older node of its name goes with its session."""
        node = self._node(endpoint)
        old = self.sessions.pop(endpoint.options.name, None)
        if old is not None:
            self.ensemble.expire(old)
        self.lapsed.discard(node)
        self.lives[node] = entry.life
        self.sessions[endpoint.options.name] = self.ensemble.create_ephemeral(node, self._data(entry))

    def drain(self, endpoint: Endpoint, entry: Entry) -> None:
        node = self._node(endpoint)
        if node in self.ensemble.tree.nodes:
            self.ensemble.write(node, self._data(entry))

    def leave(self, endpoint: Endpoint) -> None:
        """Its session is closed in order."""
        session = self.sessions.pop(endpoint.options.name, None)
        if session is not None:
            self.ensemble.expire(session)

    def die(self, endpoint: Endpoint) -> None:
        """Its process is gone: the node lingers until its session's time is over."""
        session = self.sessions.get(endpoint.options.name)
        if session is not None:
            loop = asyncio.get_running_loop()
            name = endpoint.options.name
            self.handles.append(loop.call_later(self.terms.session_s, self._lapse, name, session))

    def _lapse(self, name: str, session: int) -> None:
        if self.sessions.get(name) == session:
            del self.sessions[name]
            self.ensemble.expire(session)

    def expire(self, endpoint: Endpoint) -> None:
        """A fault: its session expires, whatever it does."""
        session = self.sessions.pop(endpoint.options.name, None)
        if session is not None:
            if endpoint.up:
                self.lapsed.add(self._node(endpoint))
            self.ensemble.expire(session)

    def forget_all(self) -> None:
        """A fault: it restarts with nothing; who serves has to register again."""
        self.lapsed |= {node for node in self.lives if node in self.ensemble.tree.nodes}
        self.sessions.clear()
        self.ensemble.restart_empty()

    @staticmethod
    def _node(endpoint: Endpoint) -> str:
        return f"{directory(endpoint.options.tier)}/{endpoint.options.name}"

    @staticmethod
    def _data(entry: Entry) -> bytes:
        # Warm ones started long ago, which 0 does not say: it leaves the start to the node's creation.
        said = {"since_ms": max(1, entry.since_ms), "instance": f"{entry.name} {entry.life}"}
        return json.dumps(entry.json() | said).encode()

    # What sidecars were told

    def _told(self, sidecar: str, path: str, names: tuple[str, ...] | None, data: bytes) -> None:
        now, book = self.clock(), self.ledger.sent_statuses.append
        if names is None:
            above, _, name = path.rpartition("/")
            if path in self.lives:
                status = json.loads(data)["status"]
                book(SentStatus(sidecar, name, self.lives[path], status, now))
                if status == "in_service":
                    self.known.setdefault((sidecar, above), set()).add(name)
            return
        known = self.known.setdefault((sidecar, path), set())
        for name in known - set(names):
            known.discard(name)
            node = f"{path}/{name}"
            if node not in self.lapsed:
                book(SentStatus(sidecar, name, self.lives[node], "terminated", now))
