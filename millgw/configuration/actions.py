"""What a replica asks its caller to do, and how proposals end: typed values, no I/O.

The caller carries out each list of actions in its order, and no list before the one it was given earlier is
done. A `Persist` is durable before anything behind it is done; if it fails the process must stop, as the
replica already counts on it.
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
    """It is committed, as this version."""

    index: int
    epoch: int


@dataclass(slots=True, frozen=True)
class NotLeader:
    """Nothing happened: another instance leads."""

    leader: str


@dataclass(slots=True, frozen=True)
class NoQuorum:
    """Nothing happened: no majority of the voters is known to be reachable."""


@dataclass(slots=True, frozen=True)
class Conflict:
    """Nothing happened: `if_index` was not the newest version, which is `newest`."""

    newest: int


@dataclass(slots=True, frozen=True)
class Busy:
    """Nothing happened: as many proposals are under way as may be."""


@dataclass(slots=True, frozen=True)
class Invalid:
    """Nothing happened: the proposal can't be taken, for a cause that its author can mend."""

    cause: str


@dataclass(slots=True, frozen=True)
class Unknown:
    """Leadership was lost while it was under way: it may still be committed, or may never be."""


Outcome = Accepted | NotLeader | NoQuorum | Conflict | Busy | Invalid | Unknown


# Actions


@dataclass(slots=True, frozen=True)
class Persist:
    """Make durable: epoch and vote; `entries` in the place of all from the first one's position on; then
    `snapshot` in the place of all up to its position, and of what the log holds behind it unless the log
    contains the snapshot's entry. `committed` is the position known to be committed, for the next start.
    """

    epoch: int
    voted_for: str
    committed: int
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None


@dataclass(slots=True, frozen=True)
class Send:
    """Send a message; it may be lost, late, repeated or overtaken."""

    to: str
    message: Message


@dataclass(slots=True, frozen=True)
class Committed:
    """The next version is committed. They come in the order of their indexes, without gaps."""

    version: Version


@dataclass(slots=True, frozen=True)
class Installed:
    """A snapshot took the place of versions that were not replicated one by one: the whole document.

    The document is the caller's own copy.
    """

    document: Document


@dataclass(slots=True, frozen=True)
class Decided:
    """How a proposal ended; exactly one for each proposal."""

    proposal: int
    outcome: Outcome


@dataclass(slots=True, frozen=True)
class RoleChanged:
    """Role, epoch or known leader have changed."""

    role: Role
    epoch: int
    leader: str | None


@dataclass(slots=True, frozen=True)
class PeerRefused:
    """A peer came back with less than it had acknowledged: nothing it says counts. Tell the operator."""

    peer: str
    cause: str


Action = Persist | Send | Committed | Installed | Decided | RoleChanged | PeerRefused


@dataclass(slots=True, frozen=True)
class Proposed:
    """A proposal's number, and what is to be done; an immediate refusal is a `Decided` among the actions."""

    proposal: int
    actions: list[Action]
