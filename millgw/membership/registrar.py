"""Registers one server: keeps its node while it serves, and deletes it before the server stops.

For programs that register themselves; the command `register` is built on it too:

    registrar = Registrar(servers, "/services/login", Entry("a1", "10.0.0.7:8080"), 10_000.0)
    registrar.start()
    ...
    await registrar.leave(drain=2.0)     # marks it draining, waits 2 s, deletes it, closes the session
"""

from __future__ import annotations

import asyncio
import json
import random
import secrets
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Literal

from millgw.log.events import log_event
from millgw.membership.client import Client
from millgw.membership.protocol import Reply, Request, WatchEvent
from millgw.membership.registration import DesiredState, NodeState, Registration
from millgw.platform.config import Address, read_address

RETRY_INTERVAL = 1.0  # s between retries of requests that the coordinator refused
CONFIRM_TIMEOUT = 3.0  # s to wait for the coordinator to confirm the drain, and again the deletion

Layout = Literal["entry", "serverset", "curator"]
LAYOUTS: tuple[Layout, ...] = ("entry", "serverset", "curator")
LAYOUTS_WITHOUT_GROUP: frozenset[Layout] = frozenset({"curator"})


@dataclass(slots=True, frozen=True)
class Entry:
    """The server's entry; `started_at_ms`: Unix time, `instance`: a token that identifies its process.

    Without a `group` the node tells none, and calls that only their group knows are repeated nowhere else.
    """

    name: str
    address: str
    group: int | None = None
    weight: float = 1.0
    zone: str = ""
    layout: Layout = "entry"
    started_at_ms: int = field(default_factory=lambda: int(time.time() * 1000))
    instance: str = field(default_factory=lambda: secrets.token_hex(8))

    def encode(self, desired: DesiredState) -> bytes:
        """The node's data, as serving or as draining."""
        serves, at = desired is DesiredState.SERVE, read_address(self.address)
        fields: dict[str, object]
        if self.layout == "serverset":
            fields = {
                "serviceEndpoint": {"host": at.host, "port": at.port}, "additionalEndpoints": {},
                "status": "ALIVE" if serves else "STOPPING",
            }  # fmt: skip
            if self.group is not None:
                fields["shard"] = self.group
        elif self.layout == "curator":
            fields = {
                "name": self.name, "id": self.name, "address": at.host, "port": at.port, "sslPort": None,
                "payload": None, "registrationTimeUTC": self.started_at_ms, "serviceType": "DYNAMIC",
                "uriSpec": None, "enabled": serves,
            }  # fmt: skip
        else:
            fields = {
                "name": self.name, "address": self.address,
                "status": "in_service" if serves else "terminating",
                "weight": self.weight, "zone": self.zone, "since_ms": self.started_at_ms,
            }  # fmt: skip
            if self.group is not None:
                fields["group"] = self.group
        return json.dumps(fields | {"instance": self.instance}).encode()

    def is_own(self, data: bytes) -> bool:
        """Whether a node's data was written by this process."""
        try:
            fields = json.loads(data)
        except (ValueError, RecursionError):
            return False
        return isinstance(fields, dict) and fields.get("instance") == self.instance


class Registrar:
    """One registered node. `registered` is set while the node exists under the current session."""

    def __init__(
        self,
        servers: Sequence[Address],
        directory: str,
        entry: Entry,
        timeout: float,
        rng: random.Random | None = None,
    ) -> None:
        self.registration = Registration(f"{directory}/{entry.name}", entry.encode, entry.is_own)
        self.client = Client(servers, timeout, rng or random.Random(), self, writes=True)
        self.registered = asyncio.Event()
        self.drained = asyncio.Event()
        self.removed = asyncio.Event()
        self.retry_timer: asyncio.TimerHandle | None = None
        self.name_taken = False

    def start(self) -> None:
        self.client.start()
        self._retry()

    def _retry(self) -> None:
        self._send(self.registration.tick())
        self.retry_timer = asyncio.get_running_loop().call_later(RETRY_INTERVAL, self._retry)

    async def leave(self, drain: float) -> bool:
        """Mark the node as draining, wait `drain` s, delete it, close the session; whether it is deleted.

        The session's end deletes it too, at once or by its timeout, if the coordinator can't be reached.
        """
        self._send(self.registration.set_desired(DesiredState.DRAIN))
        await _confirmed(self.drained)
        if self.registration.times_created:
            await asyncio.sleep(drain)
        deleted = await self.withdraw()
        return deleted

    async def withdraw(self) -> bool:
        """Delete the node now and close the session; whether the node is deleted."""
        self._send(self.registration.set_desired(DesiredState.LEAVE))
        deleted = await _confirmed(self.removed)
        if self.retry_timer is not None:
            self.retry_timer.cancel()
        await self.client.close()
        return deleted

    def _send(self, requests: list[Request]) -> None:
        for request in requests:
            self.client.send(request)
        state = self.registration.state
        _set_event(self.registered, state is NodeState.SERVES)
        _set_event(self.drained, state in (NodeState.DRAINS, NodeState.LEFT))
        _set_event(self.removed, state is NodeState.LEFT)
        if state is NodeState.TAKEN and not self.name_taken:
            log_event("name-taken", node=self.registration.path)
        self.name_taken = state is NodeState.TAKEN
        if self.registration.refusal:
            log_event("register-refused", node=self.registration.path, code=self.registration.refusal
            )  # fmt: skip

    # Callbacks of the client (`Listener`)

    def on_connected(self, fresh: bool, doubtful: bool) -> None:
        self._send(self.registration.on_connected(self.client.protocol.session))

    def on_disconnected(self) -> None:
        self.registration.on_disconnected()
        self._send([])

    def on_reply(self, reply: Reply) -> None:
        times_created = self.registration.times_created
        self._send(self.registration.on_reply(reply))
        if self.registration.times_created > times_created:
            log_event("registered", node=self.registration.path, times=self.registration.times_created)

    def on_watch_event(self, event: WatchEvent) -> None:
        self._send(self.registration.on_watch_event(event))


def _set_event(event: asyncio.Event, condition: bool) -> None:
    if condition:
        event.set()
    else:
        event.clear()


async def _confirmed(event: asyncio.Event) -> bool:
    try:
        async with asyncio.timeout(CONFIRM_TIMEOUT):
            await event.wait()
    except TimeoutError:
        return False
    return True
