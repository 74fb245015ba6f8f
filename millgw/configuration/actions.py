"""Actions that a consensus replica requests from its caller, and outcomes of proposals. No I/O.

The caller executes the actions of a list in order, and finishes each list before it starts the next one. A
`Persist` must be durable before any later action is executed. If it fails, the process must stop, because the
replica's state already assumes that the write succeeded.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from millgw.configuration.document import Document, Version
from millgw.configuration.log import Entry, Snapshot
from millgw.configuration.messages import Message


class Role(Enum):
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


# Outcomes of a proposal


@dataclass(slots=True, frozen=True)
class Accepted:
    """The proposal was committed as this version."""

    index: int
    epoch: int


@dataclass(slots=True, frozen=True)
class NotLeader:
    """Rejected without effect: another instance is the leader."""

    leader: str


@dataclass(slots=True, frozen=True)
class NoQuorum:
    """Rejected without effect: no majority of the voters is known to be reachable."""


@dataclass(slots=True, frozen=True)
class Conflict:
    """Rejected without effect: `if_index` was not the newest version, which is `newest`."""

    newest: int


@dataclass(slots=True, frozen=True)
class Busy:
    """Rejected without effect: the limit of concurrent proposals is reached."""


@dataclass(slots=True, frozen=True)
class Invalid:
    """Rejected without effect: the proposal is malformed or too large; its author can correct it."""

    cause: str


@dataclass(slots=True, frozen=True)
class Unknown:
    """Leadership was lost before the commit: the proposal may still be committed later, or never."""


Outcome = Accepted | NotLeader | NoQuorum | Conflict | Busy | Invalid | Unknown


# Actions


@dataclass(slots=True, frozen=True)
class Persist:
    """Write to durable storage, in this order.

    The epoch and the vote; `entries`, which replace the log from the position of the first one on;
    `snapshot`, which replaces the log up to its position, and also the entries after it if the log does not
    contain the snapshot's last entry. `committed` is the log position known to be committed, for the next
    start.
    """

    epoch: int
    voted_for: str
    committed: int
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None


@dataclass(slots=True, frozen=True)
class Send:
    """Send a message. It may be lost, delayed, duplicated or reordered."""

    to: str
    message: Message


@dataclass(slots=True, frozen=True)
class Committed:
    """The next version was committed. Versions arrive in index order, without gaps."""

    version: Version


@dataclass(slots=True, frozen=True)
class Installed:
    """A snapshot replaced the document, in place of versions that were not replicated one by one.

    The document is a copy that the caller may modify.
    """

    document: Document


@dataclass(slots=True, frozen=True)
class Decided:
    """The outcome of a proposal. Each proposal gets exactly one."""

    proposal: int
    outcome: Outcome


@dataclass(slots=True, frozen=True)
class RoleChanged:
    """The role, the epoch or the known leader has changed."""

    role: Role
    epoch: int
    leader: str | None


@dataclass(slots=True, frozen=True)
class PeerRefused:
    """A peer restarted without state it had acknowledged, so its votes and acknowledgements are ignored.

    The caller reports this to the operator.
    """

    peer: str
    cause: str


Action = Persist | Send | Committed | Installed | Decided | RoleChanged | PeerRefused


@dataclass(slots=True, frozen=True)
class Proposed:
    """A proposal's number and the actions to execute. An immediate rejection is a `Decided` among them."""

    proposal: int
    actions: list[Action]
