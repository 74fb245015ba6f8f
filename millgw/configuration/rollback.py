"""Detects a peer that restarted with older state than it had acknowledged. No I/O.

An instance's incarnation is incremented each time its durable state is opened. Within one incarnation
messages may be reordered. But a later incarnation never sends a lower epoch than an earlier one sent, nor has
a shorter log than an earlier one acknowledged in the same epoch, as both were durable before they were sent.
If that does not hold, its state was restored from an older copy or lost.

The state of peers is kept in the memory of those that received their messages: acknowledgements by the leader
of that epoch, epochs by any receiver. So older state is not detected if all receivers of the later state have
restarted since or can't be reached. An entry that only they and this instance had may then be lost: never
start a voter from an older copy of its directory.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from millgw.configuration.messages import AppendReply, Message, SnapshotReply


@dataclass(slots=True)
class PeerState:
    """The most advanced state that a peer is known to have had."""

    incarnation: int = 0
    epoch: int = 0
    acknowledged: int = 0  # log position acknowledged in this epoch
    refused: int = 0  # the incarnation whose messages are refused


class RollbackDetector:
    """Tracks the state of all peers by their messages."""

    def __init__(self) -> None:
        self._peers: dict[str, PeerState] = {}

    def copy(self) -> RollbackDetector:
        """An independent copy."""
        duplicate = RollbackDetector()
        duplicate._peers = {name: replace(peer) for name, peer in self._peers.items()}
        return duplicate

    def check(self, sender: str, message: Message) -> str | None:
        """Record a message; return None if it is valid, else the cause, or "" to drop it silently."""
        peer = self._peers.setdefault(sender, PeerState())
        header = message.header
        if header.incarnation < peer.incarnation or header.incarnation == peer.refused:
            return ""
        if header.incarnation > peer.incarnation:
            cause = _regression(peer, message)
            if cause:
                peer.refused = header.incarnation
                return cause
            peer.incarnation = header.incarnation
        if header.epoch > peer.epoch:
            peer.epoch = header.epoch
            peer.acknowledged = 0
        if header.epoch == peer.epoch:
            peer.acknowledged = max(peer.acknowledged, _acknowledged(message))
        return None


def _acknowledged(message: Message) -> int:
    match message:
        case AppendReply(success=True) | SnapshotReply():
            return message.position
        case _:
            return 0


def _regression(peer: PeerState, message: Message) -> str:
    header = message.header
    if header.epoch < peer.epoch:
        return f"incarnation {header.incarnation} is in epoch {header.epoch}, but was in {peer.epoch} before"
    if header.epoch == peer.epoch and header.log_end < peer.acknowledged:
        return (
            f"incarnation {header.incarnation} has a log up to {header.log_end}, "
            f"but acknowledged {peer.acknowledged} before"
        )
    return ""
