"""Relay: a control instance without a vote, which follows the committed versions by a watch and serves them.

It keeps the last good document in a file, so that it can serve after a restart while no voter is reachable.
"""

from __future__ import annotations

import time
from collections.abc import Sequence
from pathlib import Path

from millgw.configuration.apply import Entries
from millgw.configuration.client import Client
from millgw.configuration.document import Change, Document, Version
from millgw.configuration.history import History
from millgw.configuration.last_good import LastGoodFile
from millgw.configuration.server import Response, Server, error_response, json_response
from millgw.configuration.service import ControlService, InstanceView, Proposal, Reply
from millgw.platform.config import Address

ROLE = "relay"


class Relay:
    """Serves the versions that it follows. `directory` holds the file of the last good document."""

    def __init__(
        self, name: str, address: Address, instances: Sequence[Address], directory: Path, seed: int
    ) -> None:
        self.name = name
        self.address = address
        self.service = ControlService(name, self)
        self.server = Server(self.service, time.monotonic)
        followed = tuple(str(instance) for instance in instances)
        self.client = Client(name, followed, LastGoodFile(directory, name), seed, self)
        self.client.serving = True  # a version is served as soon as it arrives

    async def start(self) -> None:
        """Start following, and listen once the first version has arrived or the wait for it is over.

        Raises OSError if it can't listen.
        """
        await self.client.start()
        await self.server.start(self.address)
        self.service.start()

    def stop(self) -> None:
        """Stop following and close all connections."""
        self.client.stop()
        self.service.stop()
        self.server.stop()

    # Target of the client

    def check(self, entries: Entries) -> None:
        """Accept any version, as a relay serves whatever is committed."""

    def reconfigure(self, entries: Entries) -> None:
        """Serve the client's current document, whose entries are `entries`."""
        add_document(self.service.history, self.client.follower.latest)
        self.service.watchers.publish()

    # Backend of the service

    def view(self) -> InstanceView:
        """State of the relay; `quorum` is whether a watch is up, as a relay knows no more."""
        follower = self.client.follower
        followed = follower.instance if self.client.connected else None
        return InstanceView(
            ROLE, follower.latest.epoch, followed, follower.latest.index, self.client.connected
        )

    def propose(self, proposal: Proposal, reply: Reply) -> None:
        """Redirect to the followed instance, which knows the leader; a relay accepts no proposals."""
        reply(json_response(421, {"leader": self.view().leader}))

    def receive(self, sender: str, body: bytes) -> Response:
        """Reject the message, as a relay takes no part in the replication."""
        return error_response(404, "a relay is not a voter")


def add_document(history: History, document: Document) -> None:
    """Add a newer document to a history: as changes if it is the next version, otherwise as a snapshot."""
    if document.index != history.index + 1:
        history.replace(document)
        return
    changes = tuple(changes_between(history.document, document))
    history.append(Version(document.index, document.epoch, changes))


def changes_between(before: Document, after: Document) -> list[Change]:
    """The changes from one document to another, ordered by name."""
    names = sorted(before.entries.keys() | after.entries.keys())
    return [
        Change(name, after.entries.get(name))
        for name in names
        if before.entries.get(name) != after.entries.get(name)
    ]
