"""A day's coordinator: a simulated ensemble where endpoints register, with a record of each sidecar's reads.

Each sidecar connects at its own addresses, so that the ledger knows which sidecar received what. When a node
goes because its owner left or died, the endpoint counts as reported terminated to a sidecar once a list
without the node was written to that sidecar. A node whose session a fault expired while its owner serves does
not count: sidecars can't tell the two cases apart, so the auditor doesn't hold them to it.
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


def tier_path(tier: int) -> str:
    return f"/tier-{tier}"


class Coordination:
    """The coordinator of one day, and the endpoints' sessions with it."""

    def __init__(self, settings: Coordinator, ledger: Ledger, clock: Clock, seed: int) -> None:
        self.settings = settings
        self.ledger = ledger
        self.clock = clock
        self.ensemble = Ensemble(faces=settings.faces, seed=seed)
        self.ensemble.on_read = self._record_read
        self.sessions: dict[str, int] = {}
        self.life_numbers: dict[str, int] = {}  # by node
        self.known_members: dict[tuple[str, str], set[str]] = {}  # by sidecar and directory
        self.expired_while_serving: set[str] = set()  # nodes whose sessions a fault has expired
        self.connect_addresses: dict[str, str] = {}
        self.expiry_timers: list[asyncio.TimerHandle] = []

    async def start(self, sidecars: list[str], tiers: int) -> None:
        await self.ensemble.start()
        for tier in range(1, tiers + 1):
            self.ensemble.put(tier_path(tier))
        for sidecar in sidecars:
            self.connect_addresses[sidecar] = await self.ensemble.listen_for(sidecar)

    async def stop(self) -> None:
        for timer in self.expiry_timers:
            timer.cancel()
        await self.ensemble.stop()

    def operator_text(self, sidecar: str, tier: int) -> str:
        """The services part of the operator's file for a sidecar that uses this coordinator."""
        lines = ["[services.all]"]
        if self.settings.membership != "alone":
            lines.append(f'membership = "{self.settings.membership}"')
        lines += [
            "[services.all.coordinator]", f'connect = "{self.connect_addresses[sidecar]}"',
            f'path = "{tier_path(tier)}"', f"session_s = {self.settings.session_s:g}",
            "[[routes]]", 'to = "all"',
        ]  # fmt: skip
        return "\n".join(lines) + "\n"

    # Actions of endpoints, and faults at their sessions

    def register(self, endpoint: Endpoint, entry: Entry) -> None:
        """Register an endpoint; expires an older session of the same name, and its node with it."""
        node = self._node_path(endpoint)
        old = self.sessions.pop(endpoint.options.name, None)
        if old is not None:
            self.ensemble.expire(old)
        self.expired_while_serving.discard(node)
        self.life_numbers[node] = entry.life
        self.sessions[endpoint.options.name] = self.ensemble.create_ephemeral(node, self._node_data(entry))

    def drain(self, endpoint: Endpoint, entry: Entry) -> None:
        node = self._node_path(endpoint)
        if node in self.ensemble.tree.nodes:
            self.ensemble.write(node, self._node_data(entry))

    def close_session(self, endpoint: Endpoint) -> None:
        """Close an endpoint's session: its node is removed at once."""
        session = self.sessions.pop(endpoint.options.name, None)
        if session is not None:
            self.ensemble.expire(session)

    def expire_after_timeout(self, endpoint: Endpoint) -> None:
        """An endpoint's process is gone: its node stays until the session times out."""
        session = self.sessions.get(endpoint.options.name)
        if session is not None:
            loop = asyncio.get_running_loop()
            name = endpoint.options.name
            self.expiry_timers.append(
                loop.call_later(self.settings.session_s, self._expire_session, name, session)
            )

    def _expire_session(self, name: str, session: int) -> None:
        if self.sessions.get(name) == session:
            del self.sessions[name]
            self.ensemble.expire(session)

    def expire(self, endpoint: Endpoint) -> None:
        """A fault: an endpoint's session expires, even while it serves."""
        session = self.sessions.pop(endpoint.options.name, None)
        if session is not None:
            if endpoint.up:
                self.expired_while_serving.add(self._node_path(endpoint))
            self.ensemble.expire(session)

    def restart_empty(self) -> None:
        """A fault: the coordinator restarts empty; serving endpoints have to register again."""
        self.expired_while_serving |= {node for node in self.life_numbers if node in self.ensemble.tree.nodes}
        self.sessions.clear()
        self.ensemble.restart_empty()

    @staticmethod
    def _node_path(endpoint: Endpoint) -> str:
        return f"{tier_path(endpoint.options.tier)}/{endpoint.options.name}"

    @staticmethod
    def _node_data(entry: Entry) -> bytes:
        # Warm endpoints have since_ms 0, which readers replace by the node's creation time and so take them
        # for cold; 1 says that they started long ago.
        fields = {"since_ms": max(1, entry.since_ms), "instance": f"{entry.name} {entry.life}"}
        return json.dumps(entry.json() | fields).encode()

    # Records of what sidecars received

    def _record_read(self, sidecar: str, path: str, names: tuple[str, ...] | None, data: bytes) -> None:
        now, record = self.clock(), self.ledger.sent_statuses.append
        if names is None:
            parent, _, name = path.rpartition("/")
            if path in self.life_numbers:
                status = json.loads(data)["status"]
                record(SentStatus(sidecar, name, self.life_numbers[path], status, now))
                if status == "in_service":
                    self.known_members.setdefault((sidecar, parent), set()).add(name)
            return
        members = self.known_members.setdefault((sidecar, path), set())
        for name in members - set(names):
            members.discard(name)
            node = f"{path}/{name}"
            if node not in self.expired_while_serving:
                record(SentStatus(sidecar, name, self.life_numbers[node], "terminated", now))
