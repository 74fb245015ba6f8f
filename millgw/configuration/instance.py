"""A voting control instance: drives the replica with a clock, a disk and sockets, and serves the HTTP API.

The replica's actions are executed in order, and a write is durable before any later action is executed. A
failed write stops the instance, because the replica's state already assumes that it succeeded.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from millgw.configuration.actions import (
    Accepted,
    Action,
    Busy,
    Committed,
    Conflict,
    Decided,
    Installed,
    Invalid,
    NoQuorum,
    NotLeader,
    Outcome,
    PeerRefused,
    Persist,
    RoleChanged,
    Send,
    Unknown,
)
from millgw.configuration.messages import Message, MessageError, decode, encode
from millgw.configuration.replica import Options, Replica
from millgw.configuration.server import Response, Server, error_response, json_response
from millgw.configuration.service import ControlService, InstanceView, Proposal, Reply
from millgw.configuration.state import State
from millgw.configuration.transport import LinkFilter, PeerLink, allow_all
from millgw.log.events import log_event
from millgw.platform.config import Address

PROPOSAL_TIMEOUT = 10.0  # s; after this the outcome of a proposal is reported as unknown


class StateStorage(Protocol):
    """Storage of a replica's state: `durable.DurableState`, or a test double."""

    def load(self) -> State:
        """The state that the replica starts from."""

    def persist(self, persist: Persist) -> None:
        """Write to durable storage; raises OSError if that may have failed."""

    def close(self) -> None: ...


@dataclass(slots=True, frozen=True)
class PendingProposal:
    """A proposal that waits for its outcome."""

    reply: Reply
    timer: asyncio.TimerHandle


class Instance:
    """One voter. `voters` maps the names of all voters, including this one, to their addresses."""

    def __init__(
        self,
        options: Options,
        voters: Mapping[str, Address],
        storage: StateStorage,
        seed: int,
        allowed: LinkFilter = allow_all,
    ) -> None:
        self.options = options
        self.voters = dict(voters)
        self.storage = storage
        self.allowed = allowed
        self.replica = Replica(options, storage.load(), seed, now_ms())
        self.service = ControlService(options.name, self)
        self.service.history.replace(self.replica.document)
        self.server = Server(self.service, time.monotonic)
        self.failed: asyncio.Future[Exception] = asyncio.get_running_loop().create_future()
        self.links = {
            peer: PeerLink(options.name, peer, self.voters[peer], self._receive, allowed)
            for peer in options.peers
        }
        self._pending: dict[int, PendingProposal] = {}
        self._tick_timer: asyncio.TimerHandle | None = None
        self._stopped = False

    async def start(self) -> None:
        """Start to listen and to participate in the cluster; raises OSError if the address can't be bound."""
        await self.server.start(self.voters[self.options.name])
        self.service.start()
        self._schedule()

    def stop(self) -> None:
        """Close all connections and the storage; pending proposals get no response."""
        if self._stopped:
            return
        self._stopped = True
        if self._tick_timer is not None:
            self._tick_timer.cancel()
        for pending in self._pending.values():
            pending.timer.cancel()
        for link in self.links.values():
            link.stop()
        self.service.stop()
        self.server.stop()
        self.storage.close()

    # The service's Backend protocol

    def view(self) -> InstanceView:
        """This instance's view of itself and of the cluster."""
        leader = self.replica.leader
        return InstanceView(
            role=self.replica.role.value,
            epoch=self.replica.epoch,
            leader=None if leader is None else str(self.voters[leader]),
            index=self.replica.log.last_index,
            quorum=self.replica.has_quorum(now_ms()),
        )

    def propose(self, proposal: Proposal, reply: Reply) -> None:
        """Propose a version; `reply` is called once, with its outcome."""
        self._run_step(lambda: self._propose(proposal, reply))

    def _propose(self, proposal: Proposal, reply: Reply) -> Sequence[Action]:
        proposed = self.replica.propose(
            now_ms(), proposal.changes, proposal.author, proposal.reason, proposal.if_index, proposal.at
        )
        timer = asyncio.get_running_loop().call_later(PROPOSAL_TIMEOUT, self._expire, proposed.proposal)
        self._pending[proposed.proposal] = PendingProposal(reply, timer)
        return proposed.actions

    def receive(self, sender: str, body: bytes) -> Response:
        """Process a peer's message; the response carries the reply, if there is one."""
        if sender not in self.links:
            return error_response(404, "not from a voter")
        if not self.allowed(sender, self.options.name):
            return Response(204)
        try:
            message = decode(body)
        except MessageError as error:
            return error_response(400, str(error))
        replies = self._run_step(lambda: self.replica.receive(now_ms(), sender, message), reply_to=sender)
        if not replies or not self.allowed(self.options.name, sender):
            return Response(204)
        for reply in replies[1:]:
            self.links[sender].send(reply)
        return Response(200, encode(replies[0]))

    # The replica

    def _receive(self, sender: str, message: Message) -> None:
        self._run_step(lambda: self.replica.receive(now_ms(), sender, message))

    def _tick(self) -> None:
        self._run_step(lambda: self.replica.tick(now_ms()))

    def _run_step(self, step: Callable[[], Sequence[Action]], reply_to: str = "") -> list[Message]:
        """Run one input and execute its actions; messages to `reply_to` are returned for the response."""
        if self._stopped:
            return []
        try:
            return self._execute(step(), reply_to)
        except Exception as error:  # any error: actions that the replica assumes were executed were not
            self._fail(error)
            return []

    def _schedule(self) -> None:
        if self._tick_timer is not None:
            self._tick_timer.cancel()
        if not self._stopped:
            after = max(0.0, self.replica.next_deadline() - now_ms()) / 1000
            self._tick_timer = asyncio.get_running_loop().call_later(after, self._tick)

    def _execute(self, actions: Sequence[Action], reply_to: str) -> list[Message]:
        replies: list[Message] = []
        before = self.service.history.index
        for action in actions:
            match action:
                case Persist():
                    self.storage.persist(action)
                case Send(to, message) if to == reply_to:
                    replies.append(message)
                case Send(to, message):
                    self.links[to].send(message)
                case Committed(version):
                    self.service.history.append(version)
                case Installed(document):
                    self.service.history.replace(document)
                case Decided(proposal, outcome):
                    self._on_decided(proposal, outcome)
                case RoleChanged(role, epoch, leader):
                    log_event("replica-role", role=role.value, epoch=epoch, leader=leader)
                case PeerRefused(peer, cause):
                    log_event("replica-refused", peer=peer, cause=cause)
        if self.service.history.index != before:
            self.service.watchers.publish()
        self._schedule()
        return replies

    def _fail(self, error: Exception) -> None:
        """Stop the instance: continuing could violate what it has acknowledged to its peers."""
        log_event("instance-failed", cause=error)
        self.stop()
        if not self.failed.done():
            self.failed.set_result(error)

    # Proposals

    def _on_decided(self, proposal: int, outcome: Outcome) -> None:
        pending = self._pending.pop(proposal, None)
        if pending is not None:
            pending.timer.cancel()
            pending.reply(self._response(outcome))

    def _expire(self, proposal: int) -> None:
        self._on_decided(proposal, Unknown())

    def _response(self, outcome: Outcome) -> Response:
        match outcome:
            case Accepted(index, epoch):
                return json_response(200, {"index": index, "epoch": epoch})
            case Conflict(newest):
                return json_response(409, {"cause": "if_index is not the newest version", "index": newest})
            case NotLeader(leader):
                return json_response(421, {"leader": str(self.voters[leader])})
            case NoQuorum():
                return error_response(503, "no quorum")
            case Busy():
                return error_response(503, "too many proposals")
            case Invalid(cause):
                return error_response(400, cause)
            case Unknown():
                return error_response(504, "the outcome is not known")


def now_ms() -> float:
    """The replica's monotonic clock, in ms."""
    return time.monotonic() * 1000
