"""Detection of a peer that came back with older state than it had acknowledged. No I/O.

An instance's incarnation rises each time its durable state is opened. Within one incarnation messages may
overtake each other; but whatever a later incarnation sends, its epoch is no lower than any that an earlier
one sent, and its log is no shorter than what an earlier one acknowledged in the same epoch, as both were
durable before they were told. Where that does not hold its state was restored from an older copy, or lost.

What is known of peers is kept in memory, by those who heard it: acknowledgements by the leader of that epoch,
epochs by whoever got a message. So older state goes unnoticed where all who heard of the later state have
restarted since or can't be reached. Then an entry that only they and this instance had may be lost: never
start a voter from an older copy of its directory.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from millgw.configuration.messages import AppendReply, Message, SnapshotReply


@dataclass(slots=True)
class PeerState:
    """The furthest that a peer is known to have been."""

    incarnation: int = 0
    epoch: int = 0
    acknowledged: int = 0  # position, in this epoch
    refused: int = 0  # an incarnation that is refused


class RollbackDetector:
    """What all peers were heard to have."""

    def __init__(self) -> None:
        self._peers: dict[str, PeerState] = {}

    def copy(self) -> RollbackDetector:
        """An independent one in the same state."""
        made = RollbackDetector()
        made._peers = {name: replace(peer) for name, peer in self._peers.items()}
        return made

    def check(self, sender: str, message: Message) -> str | None:
        """Take note of a message; the cause if it comes from older state. "" for one to drop unsaid."""
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
