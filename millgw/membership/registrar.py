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
from millgw.membership.protocol import Ask, Fired, Reply
from millgw.membership.registration import Registration, State, Wish
from millgw.platform.config import Address, read_address

RETRY = 1.0  # s between retries of requests that the coordinator refused
LEAVE_WITHIN = 3.0  # s to wait for the coordinator to confirm the drain, and again the deletion

Layout = Literal["entry", "serverset", "curator"]
LAYOUTS: tuple[Layout, ...] = ("entry", "serverset", "curator")


@dataclass(slots=True, frozen=True)
class Entry:
    """The server's entry; `since`: its start in Unix ms, `instance`: a token that identifies its process."""

    name: str
    address: str
    group: int = 0
    weight: float = 1.0
    zone: str = ""
    layout: Layout = "entry"
    since: int = field(default_factory=lambda: int(time.time() * 1000))
    instance: str = field(default_factory=lambda: secrets.token_hex(8))

    def data(self, wish: Wish) -> bytes:
        """The node's data, as serving or as draining."""
        serves, at = wish is Wish.SERVE, read_address(self.address)
        said: dict[str, object]
        if self.layout == "serverset":
            said = {
                "serviceEndpoint": {"host": at.host, "port": at.port}, "additionalEndpoints": {},
                "status": "ALIVE" if serves else "STOPPING", "shard": self.group,
            }  # fmt: skip
        elif self.layout == "curator":
            said = {
                "name": self.name, "id": self.name, "address": at.host, "port": at.port, "sslPort": None,
                "payload": None, "registrationTimeUTC": self.since, "serviceType": "DYNAMIC",
                "uriSpec": None, "enabled": serves,
            }  # fmt: skip
        else:
            said = {
                "name": self.name, "address": self.address,
                "status": "in_service" if serves else "terminating", "group": self.group,
                "weight": self.weight, "zone": self.zone, "since_ms": self.since,
            }  # fmt: skip
        return json.dumps(said | {"instance": self.instance}).encode()

    def mine(self, data: bytes) -> bool:
        """Whether a node's data was written by this process."""
        try:
            said = json.loads(data)
        except (ValueError, RecursionError):
            return False
        return isinstance(said, dict) and said.get("instance") == self.instance


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
        self.registration = Registration(f"{directory}/{entry.name}", entry.data, entry.mine)
        self.client = Client(servers, timeout, rng or random.Random(), self, writes=True)
        self.registered = asyncio.Event()
        self.drained = asyncio.Event()
        self.left = asyncio.Event()
        self.retrying: asyncio.TimerHandle | None = None
        self.taken = False

    def start(self) -> None:
        self.client.start()
        self._retry()

    def _retry(self) -> None:
        self._ask(self.registration.tick())
        self.retrying = asyncio.get_running_loop().call_later(RETRY, self._retry)

    async def leave(self, drain: float) -> bool:
        """Mark the node as draining, wait `drain` s, delete it, close the session; whether it is deleted.

        The session's end deletes it too, at once or by its timeout, if the coordinator can't be reached.
        """
        self._ask(self.registration.want(Wish.DRAIN))
        await _within(self.drained)
        if self.registration.made:
            await asyncio.sleep(drain)
        down = await self.withdraw()
        return down

    async def withdraw(self) -> bool:
        """Delete the node now and close the session; whether the node is deleted."""
        self._ask(self.registration.want(Wish.LEAVE))
        down = await _within(self.left)
        if self.retrying is not None:
            self.retrying.cancel()
        await self.client.close()
        return down

    def _ask(self, asks: list[Ask]) -> None:
        for ask in asks:
            self.client.ask(ask)
        state = self.registration.state
        _mark(self.registered, state is State.SERVES)
        _mark(self.drained, state in (State.DRAINS, State.LEFT))
        _mark(self.left, state is State.LEFT)
        if state is State.TAKEN and not self.taken:
            log_event("name-taken", node=self.registration.path)
        self.taken = state is State.TAKEN
        if self.registration.problem:
            log_event("register-refused", node=self.registration.path, code=self.registration.problem
            )  # fmt: skip

    # Callbacks of the client (`Listener`)

    def up(self, fresh: bool, doubtful: bool) -> None:
        self._ask(self.registration.up(self.client.core.session))

    def down(self) -> None:
        self.registration.down()
        self._ask([])

    def reply(self, reply: Reply) -> None:
        made = self.registration.made
        self._ask(self.registration.reply(reply))
        if self.registration.made > made:
            log_event("registered", node=self.registration.path, times=self.registration.made)

    def fired(self, fired: Fired) -> None:
        self._ask(self.registration.fired(fired))


def _mark(event: asyncio.Event, holds: bool) -> None:
    if holds:
        event.set()
    else:
        event.clear()


async def _within(event: asyncio.Event) -> bool:
    try:
        async with asyncio.timeout(LEAVE_WITHIN):
            await event.wait()
    except TimeoutError:
        return False
    return True
