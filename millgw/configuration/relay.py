"""An instance that is no voter: it follows the committed versions by a watch and serves them.

It keeps the last good document in a file, so that it serves after a restart while all voters are away.
"""

from __future__ import annotations

import time
from collections.abc import Sequence
from pathlib import Path

from millgw.configuration.apply import Entries
from millgw.configuration.client import Client
from millgw.configuration.document import Change, Document, Version
from millgw.configuration.history import History
from millgw.configuration.last_good import LastGood
from millgw.configuration.server import Response, Server, error_response, json_response
from millgw.configuration.service import ControlService, Proposal, Reply, Standing
from millgw.platform.config import Address

ROLE = "relay"


class Relay:
    """Serves what it follows. `directory` is where the last good document is kept."""

    def __init__(
        self, name: str, address: Address, instances: Sequence[Address], directory: Path, seed: int
    ) -> None:
        self.name = name
        self.address = address
        self.service = ControlService(name, self)
        self.server = Server(self.service, time.monotonic)
        followed = tuple(str(instance) for instance in instances)
        self.client = Client(name, followed, LastGood(directory, name), seed, self)
        self.client.serving = True  # a version is served as soon as it is there

    async def start(self) -> None:
        """Follow, and listen once there is a first version or it is known not to come soon.

        An OSError tells why that can't be.
        """
        await self.client.begin()
        await self.server.start(self.address)
        self.service.start()

    def stop(self) -> None:
        """End all connections."""
        self.client.stop()
        self.service.stop()
        self.server.stop()

    # Target of the client

    def check(self, entries: Entries) -> None:
        """A relay serves whatever is committed."""

    def reconfigure(self, entries: Entries) -> None:
        """Serve the version that the client holds now: `entries` is its document."""
        take(self.service.history, self.client.follower.held)
        self.service.watchers.publish()

    # Backend of the service

    def standing(self) -> Standing:
        """What is followed; `quorum` is whether there is a watch, as no more is known here."""
        follower = self.client.follower
        followed = follower.instance if self.client.up else None
        return Standing(ROLE, follower.held.epoch, followed, follower.held.index, self.client.up)

    def propose(self, proposal: Proposal, reply: Reply) -> None:
        """A relay accepts none: it names the instance that it follows, which knows the leader."""
        reply(json_response(421, {"leader": self.standing().leader}))

    def receive(self, sender: str, body: bytes) -> Response:
        """A relay takes no part in the replication."""
        return error_response(404, "a relay is no voter")


def take(history: History, document: Document) -> None:
    """Add a newer document to a history: as one version's changes where it is the next one, else whole."""
    if document.index != history.index + 1:
        history.replace(document)
        return
    changes = tuple(changes_between(history.document, document))
    history.append(Version(document.index, document.epoch, changes))


def changes_between(before: Document, after: Document) -> list[Change]:
    """The entries that differ, by name."""
    names = sorted(before.entries.keys() | after.entries.keys())
    return [
        Change(name, after.entries.get(name))
        for name in names
        if before.entries.get(name) != after.entries.get(name)
    ]
