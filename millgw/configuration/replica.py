"""The Raft state machine of one control instance, without I/O, clock or threads.

It is deterministic: the same inputs give the same actions, which the caller executes as `actions` describes.
Times are ms on the caller's monotonic clock, which need not agree with the clock of any other instance.

Extensions to basic Raft:

- Pre-vote: before it starts an epoch, an instance asks whether it would be elected. An instance that was
  partitioned therefore does not depose a working leader when it reconnects.
- Leader lease: a follower refuses votes for `election[0]` ms after it last heard from a leader, and after its
  own start, because it may have heard from one just before. A leader accepts proposals only for `lease` ms
  after it sent the newest requests that a majority answered. Options are rejected if the two periods could
  overlap with clock rates that are off by `drift`. No invariant of the log depends on the lease.
- Barrier: a leader starts its epoch with a log entry without a version. Once that entry is committed, so are
  all entries before it. It has a log position but no document index, so document indexes have no gaps.
- Compaction: entries more than `keep` positions before the committed one are replaced by a snapshot. The
  snapshot is sent to followers that need those entries.
- Rollback detection: a peer that restarted with older state than it had acknowledged is refused (see
  `rollback`). A leader brings it up to date, but nobody counts its votes and acknowledgements until it has
  restarted with everything it had acknowledged.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

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
    Proposed,
    Role,
    RoleChanged,
    Send,
    Unknown,
)
from millgw.configuration.document import Change, Document, Version
from millgw.configuration.encoding import encoded_size
from millgw.configuration.leadership import Leadership, Progress
from millgw.configuration.log import Entry, Log, Snapshot
from millgw.configuration.messages import (
    MAX_BATCH,
    MAX_ENTRIES,
    AppendReply,
    AppendRequest,
    Header,
    Message,
    PreVoteReply,
    PreVoteRequest,
    SnapshotReply,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)
from millgw.configuration.proposal import ProposalError, check_document, check_proposal
from millgw.configuration.rollback import RollbackDetector
from millgw.configuration.state import State

COMPACTION_SLACK_DIVISOR = 4  # the log is compacted once it exceeds `keep` by a quarter


class ConsensusError(RuntimeError):
    """An invariant of the protocol is violated: the process must stop."""


@dataclass(slots=True, frozen=True)
class Options:
    """Options of one voter. Times are in ms; `drift` is the largest relative error of a clock's rate."""

    name: str
    voters: tuple[str, ...]
    heartbeat: float = 250.0
    election: tuple[float, float] = (1500.0, 3000.0)
    lease: float = 1200.0
    keep: int = 1000
    drift: float = 0.05
    max_proposals: int = 64

    def __post_init__(self) -> None:
        low, high = self.election
        if self.name not in self.voters or len(set(self.voters)) != len(self.voters):
            raise ValueError("voters: must include this instance, without duplicates")
        if not 0 < self.heartbeat < self.lease:
            raise ValueError("heartbeat: must be over 0 and shorter than the lease")
        if not low < high:
            raise ValueError("election: the upper bound must be greater than the lower one")
        if not 0 <= self.drift < 1 or self.lease / (1 - self.drift) > low / (1 + self.drift):
            raise ValueError("lease: must expire before a follower may vote again, at the given clock drift")
        if self.keep < 1 or self.max_proposals < 1:
            raise ValueError("keep, max_proposals: must be 1 or more")

    @property
    def majority(self) -> int:
        return len(self.voters) // 2 + 1

    @property
    def peers(self) -> tuple[str, ...]:
        return tuple(voter for voter in self.voters if voter != self.name)


class Replica:
    """The state machine of one voter. Each input returns the actions to execute."""

    def __init__(self, options: Options, state: State, seed: int, now: float) -> None:
        self.options = options
        self.log = Log(state.snapshot, state.entries)
        self.epoch = state.epoch
        self.voted_for = state.voted_for
        self.committed = max(state.committed, state.snapshot.position)  # a log position
        self.document: Document = self.log.document_at(self.committed)
        self.role = Role.FOLLOWER
        self.leader: str | None = None
        self._incarnation = state.incarnation
        self._random = random.Random(f"{seed} {options.name}")
        self._rollback_detector = RollbackDetector()
        self._leadership: Leadership | None = None
        self._pre_votes: set[str] | None = None  # granted in the current pre-vote; None if there is none
        self._votes: set[str] = set()
        self._last_proposal = 0
        self._now = now
        self._leader_heard_at = now  # this instance may have heard from a leader just before it started
        self._election_at = self._next_election()
        self._actions: list[Action] = []
        self._persist_due = False
        self._unpersisted_entries: tuple[Entry, ...] = ()
        self._unpersisted_snapshot: Snapshot | None = None
        self._reported_role = self._current_role()

    # Inputs

    def tick(self, now: float) -> list[Action]:
        """Process timers; must be called at `next_deadline` at the latest."""
        self._begin(now)
        if self._leadership is not None:
            self._tick_leader(self._leadership)
        elif self._now >= self._election_at:
            self._start_pre_vote()
        return self._finish()

    def receive(self, now: float, sender: str, message: Message) -> list[Action]:
        """Process a message; messages from instances that are not voters are ignored."""
        self._begin(now)
        if sender in self.options.peers:
            cause = self._rollback_detector.check(sender, message)
            if cause is None:
                self._dispatch(sender, message)
            else:
                self._on_rolled_back_peer(sender, message, cause)
        return self._finish()

    def propose(
        self,
        now: float,
        changes: Sequence[Change],
        author: str,
        reason: str,
        if_index: int | None,
        at: float,
    ) -> Proposed:
        """Propose a version. Its outcome is one `Decided`, returned by this or by a later input.

        With `if_index`, the proposal is rejected unless that is the index of the newest version in the
        leader's log, committed or not.
        """
        self._begin(now)
        self._last_proposal += 1
        rejection = self._rejection(changes, author, reason, if_index, at)
        if rejection is not None:
            self._emit(Decided(self._last_proposal, rejection))
        else:
            self._append_proposal(tuple(changes), author, reason, at)
        return Proposed(self._last_proposal, self._finish())

    def next_deadline(self) -> float:
        """The latest time for the next `tick`."""
        if self._leadership is None:
            return self._election_at
        return min(self._leadership.heartbeat_at, self._step_down_at(self._leadership))

    def has_quorum(self, now: float) -> bool:
        """Whether the lease is valid (leader), or a leader was heard from recently (others)."""
        if self._leadership is not None:
            return now < self._leadership.majority_contact_at(now) + self.options.lease
        return self.leader is not None and now < self._leader_heard_at + self.options.election[1]

    # Actions

    def _begin(self, now: float) -> None:
        self._now = max(self._now, now)
        self._actions = []

    def _emit(self, action: Action) -> None:
        """Add an action, after a `Persist` of all unsaved state that it may depend on."""
        self._emit_persist()
        self._actions.append(action)

    def _emit_persist(self) -> None:
        if not self._persist_due:
            return
        entries, snapshot = self._unpersisted_entries, self._unpersisted_snapshot
        self._persist_due, self._unpersisted_entries, self._unpersisted_snapshot = False, (), None
        self._actions.append(Persist(self.epoch, self.voted_for, self.committed, entries, snapshot))

    def _finish(self) -> list[Action]:
        self._emit_persist()
        if self._reported_role != self._current_role():
            self._reported_role = self._current_role()
            self._actions.append(self._reported_role)
        return self._actions

    def _current_role(self) -> RoleChanged:
        return RoleChanged(self.role, self.epoch, self.leader)

    def _send(self, to: str, message: Message) -> None:
        self._emit(Send(to, message))

    def _header(self) -> Header:
        return Header(self.epoch, self._incarnation, self.log.last_position)

    # Messages

    def _dispatch(self, sender: str, message: Message) -> None:
        match message:
            case PreVoteRequest():
                self._on_pre_vote_request(sender, message)
            case PreVoteReply():
                self._on_pre_vote_reply(sender, message)
            case VoteRequest():
                self._on_vote_request(sender, message)
            case VoteReply():
                self._on_vote_reply(sender, message)
            case AppendRequest():
                self._on_append_request(sender, message)
            case AppendReply():
                self._on_append_reply(sender, message)
            case SnapshotRequest():
                self._on_snapshot_request(sender, message)
            case SnapshotReply():
                self._on_snapshot_reply(sender, message)

    # Epochs and roles

    def _enter_epoch(self, epoch: int) -> None:
        """Enter a higher epoch as a follower, with no known leader and no vote."""
        self._stop_leading()
        self.role, self.leader = Role.FOLLOWER, None
        self._pre_votes = None
        self.epoch = epoch
        self._set_vote("")
        self._election_at = self._next_election()

    def _set_vote(self, candidate: str) -> None:
        self.voted_for = candidate
        self._persist_due = True

    def _follow_leader(self, leader: str, epoch: int) -> None:
        """Follow a leader that was heard from in this or a higher epoch."""
        if epoch > self.epoch:
            self._enter_epoch(epoch)
        if self.role is Role.LEADER:
            raise ConsensusError(f"{leader} and {self.options.name} both lead epoch {epoch}")
        if self.leader not in (None, leader):
            raise ConsensusError(f"{leader} and {self.leader} both lead epoch {epoch}")
        self.role, self.leader = Role.FOLLOWER, leader
        if not self.voted_for:
            self._set_vote(leader)  # the epoch has a leader, so no other candidate may get this vote
        self._pre_votes = None
        self._leader_heard_at = self._now
        self._election_at = self._next_election()

    def _stop_leading(self) -> None:
        if self._leadership is None:
            return
        proposals = self._leadership.proposals
        self._leadership = None
        self.role, self.leader = Role.FOLLOWER, None
        for proposal in proposals.values():
            self._emit(Decided(proposal, Unknown()))

    def _next_election(self) -> float:
        return self._now + self._random.uniform(*self.options.election)

    def _hears_leader(self) -> bool:
        """Whether a leader may hold a valid lease, so that votes must be refused."""
        if self._leadership is not None:
            return self.has_quorum(self._now)
        return self._now < self._leader_heard_at + self.options.election[0]

    # Elections

    def _start_pre_vote(self) -> None:
        self.role, self.leader = Role.CANDIDATE, None
        self._pre_votes = {self.options.name}
        self._election_at = self._next_election()
        for peer in self.options.peers:
            self._send(peer, PreVoteRequest(self._header(), self.log.last_epoch))
        self._count_pre_votes(self._pre_votes)

    def _on_pre_vote_request(self, sender: str, request: PreVoteRequest) -> None:
        granted = (
            request.header.epoch >= self.epoch
            and not self._hears_leader()
            and self._is_up_to_date(request.last_epoch, request.header.log_end)
        )
        self._send(sender, PreVoteReply(self._header(), request.header.epoch, granted))

    def _on_pre_vote_reply(self, sender: str, reply: PreVoteReply) -> None:
        if reply.header.epoch > self.epoch:
            self._enter_epoch(reply.header.epoch)
        elif reply.granted and reply.request_epoch == self.epoch and self._pre_votes is not None:
            self._pre_votes.add(sender)
            self._count_pre_votes(self._pre_votes)

    def _count_pre_votes(self, votes: set[str]) -> None:
        if len(votes) >= self.options.majority:
            self._start_election()

    def _start_election(self) -> None:
        self._enter_epoch(self.epoch + 1)
        self.role = Role.CANDIDATE
        self._set_vote(self.options.name)
        self._votes = {self.options.name}
        for peer in self.options.peers:
            self._send(peer, VoteRequest(self._header(), self.log.last_epoch))
        self._count_votes()

    def _on_vote_request(self, sender: str, request: VoteRequest) -> None:
        if self._hears_leader():
            self._send(sender, VoteReply(self._header(), False))
            return
        if request.header.epoch > self.epoch:
            self._enter_epoch(request.header.epoch)
        granted = self._may_vote_for(sender, request)
        if granted and self.voted_for != sender:
            self._set_vote(sender)
        if granted:
            self._election_at = self._next_election()
        self._send(sender, VoteReply(self._header(), granted))

    def _may_vote_for(self, candidate: str, request: VoteRequest) -> bool:
        return (
            request.header.epoch == self.epoch
            and self.voted_for in ("", candidate)
            and self._is_up_to_date(request.last_epoch, request.header.log_end)
        )

    def _is_up_to_date(self, last_epoch: int, last_position: int) -> bool:
        """Whether a log with this end has every entry that this instance may know to be committed."""
        return (last_epoch, last_position) >= (self.log.last_epoch, self.log.last_position)

    def _on_vote_reply(self, sender: str, reply: VoteReply) -> None:
        if reply.header.epoch > self.epoch:
            self._enter_epoch(reply.header.epoch)
        elif reply.granted and reply.header.epoch == self.epoch and self._is_candidate():
            self._votes.add(sender)
            self._count_votes()

    def _is_candidate(self) -> bool:
        return self.role is Role.CANDIDATE and self._pre_votes is None

    def _count_votes(self) -> None:
        if len(self._votes) >= self.options.majority:
            self._start_leading()

    def _start_leading(self) -> None:
        self.role, self.leader = Role.LEADER, self.options.name
        self._leadership = Leadership(
            self.options.peers, self.options.majority, self.log.last_position + 1, self._now
        )
        self._append_as_leader(None)

    # Leading

    def _tick_leader(self, leadership: Leadership) -> None:
        if self._now >= self._step_down_at(leadership):
            self._stop_leading()
            self._election_at = self._next_election()
        elif self._now >= leadership.heartbeat_at:
            self._send_appends(leadership)

    def _step_down_at(self, leadership: Leadership) -> float:
        """When a leader steps down because no majority has answered."""
        contact = max(leadership.started_at, leadership.majority_contact_at(self._now))
        return contact + self.options.election[1]

    def _append_as_leader(self, version: Version | None) -> None:
        """Append an entry to the log as the leader, and replicate it."""
        assert self._leadership is not None
        entry = Entry(self.log.last_position + 1, self.epoch, version)
        self.log.append(entry)
        self._persist_due, self._unpersisted_entries = True, (*self._unpersisted_entries, entry)
        self._send_appends(self._leadership)
        self._advance_commit(self._leadership)

    def _send_appends(self, leadership: Leadership) -> None:
        leadership.heartbeat_at = self._now + self.options.heartbeat
        for peer, progress in leadership.followers.items():
            self._send_append(peer, progress)

    def _send_append(self, peer: str, progress: Progress) -> None:
        """Send a follower its missing entries; a heartbeat if none are missing or a snapshot is in flight."""
        snapshot = self.log.snapshot
        if progress.next_position <= snapshot.position:
            self._send_snapshot(peer, progress)
            return
        previous = progress.next_position - 1
        previous_epoch = self.log.epoch_at(previous)
        assert previous_epoch is not None
        entries = () if progress.snapshot_sent_at is not None else self._batch(progress.next_position)
        progress.next_position += len(entries)
        self._send(
            peer,
            AppendRequest(self._header(), previous, previous_epoch, self.committed, self._now, entries),
        )

    def _batch(self, first: int) -> tuple[Entry, ...]:
        """Entries from a position on, as many as one message may contain."""
        entries: list[Entry] = []
        size = 0
        for entry in self.log.slice(first, MAX_ENTRIES):
            size += encoded_size(entry)
            if entries and size > MAX_BATCH:
                break
            entries.append(entry)
        return tuple(entries)

    def _send_snapshot(self, peer: str, progress: Progress) -> None:
        snapshot = self.log.snapshot
        progress.snapshot_sent_at = self._now
        progress.next_position = snapshot.position + 1
        self._send(peer, SnapshotRequest(self._header(), self._now, snapshot))

    def _update_progress(self, sender: str, header: Header, sent: float) -> Progress | None:
        """The progress of the follower that replied; None if outdated, or if this is not the leader."""
        if header.epoch > self.epoch:
            self._enter_epoch(header.epoch)
        if self._leadership is None or header.epoch < self.epoch:
            return None
        progress = self._leadership.followers[sender]
        progress.contact_at = max(progress.contact_at, min(sent, self._now))
        return progress

    def _on_append_reply(self, sender: str, reply: AppendReply) -> None:
        progress = self._update_progress(sender, reply.header, reply.sent)
        if progress is None:
            return
        if reply.success:
            self._on_acknowledgement(sender, progress, reply.position)
        elif not self._awaits_snapshot(progress) and progress.reject(reply.position):
            self._send_append(sender, progress)

    def _awaits_snapshot(self, progress: Progress) -> bool:
        """Whether a snapshot was sent recently; until it arrives the follower rejects all other requests."""
        if progress.snapshot_sent_at is None:
            return False
        return self._now < progress.snapshot_sent_at + self.options.election[1]

    def _on_rolled_back_peer(self, sender: str, message: Message, cause: str) -> None:
        """Bring a peer that lost state up to date, without counting its acknowledgements."""
        if cause:
            self._emit(PeerRefused(sender, cause))
        if self._leadership is None or message.header.epoch != self.epoch:
            return
        progress = self._leadership.followers[sender]
        progress.reset()
        match message:
            case AppendReply(success=False):
                if not self._awaits_snapshot(progress):
                    progress.reject(message.position)
                    self._send_append(sender, progress)
            case AppendReply() | SnapshotReply():
                progress.snapshot_sent_at = None
                if progress.next_position <= self.log.last_position:
                    self._send_append(sender, progress)

    def _on_snapshot_reply(self, sender: str, reply: SnapshotReply) -> None:
        progress = self._update_progress(sender, reply.header, reply.sent)
        if progress is not None:
            self._on_acknowledgement(sender, progress, reply.position)

    def _on_acknowledgement(self, sender: str, progress: Progress, position: int) -> None:
        assert self._leadership is not None
        progress.acknowledge(position)
        self._advance_commit(self._leadership)
        if progress.next_position <= self.log.last_position:
            self._send_append(sender, progress)

    def _advance_commit(self, leadership: Leadership) -> None:
        position = leadership.majority_position(self.log.last_position)
        if position > self.committed and self._may_commit(position):
            self._commit_to(position)
            self._send_appends(leadership)  # followers learn the commit before the next heartbeat

    def _may_commit(self, position: int) -> bool:
        """Whether the entry is of this epoch; entries of earlier epochs are committed only through it."""
        return self.log.epoch_at(position) == self.epoch

    # Proposals

    def _rejection(
        self, changes: Sequence[Change], author: str, reason: str, if_index: int | None, at: float
    ) -> Outcome | None:
        leadership = self._leadership
        if leadership is None:
            return NoQuorum() if self.leader is None else NotLeader(self.leader)
        if not self.has_quorum(self._now):
            return NoQuorum()
        if if_index is not None and if_index != self.log.last_index:
            return Conflict(self.log.last_index)
        if len(leadership.proposals) >= self.options.max_proposals:
            return Busy()
        try:
            size = check_proposal(changes, author, reason, at)
            uncommitted_size = sum(
                encoded_size(self.log.entry_at(position)) for position in leadership.proposals
            )
            check_document(self.document, uncommitted_size + size)
        except ProposalError as error:
            return Invalid(str(error))
        return None

    def _append_proposal(self, changes: tuple[Change, ...], author: str, reason: str, at: float) -> None:
        assert self._leadership is not None
        version = Version(self.log.last_index + 1, self.epoch, changes, author, reason, at)
        self._leadership.proposals[self.log.last_position + 1] = self._last_proposal
        self._append_as_leader(version)

    # Following

    def _on_append_request(self, sender: str, request: AppendRequest) -> None:
        if request.header.epoch < self.epoch:
            self._send(sender, AppendReply(self._header(), False, 0, request.sent))
            return
        self._follow_leader(sender, request.header.epoch)
        if not self._log_matches(request.previous_position, request.previous_epoch):
            hint = self._last_possible_match(request.previous_position)
            self._send(sender, AppendReply(self._header(), False, hint, request.sent))
            return
        self._append_missing(request.entries)
        position = request.previous_position + len(request.entries)
        self._send(sender, AppendReply(self._header(), True, position, request.sent))
        self._commit_to(min(request.committed, position))

    def _log_matches(self, position: int, epoch: int) -> bool:
        """Whether this log matches the leader's up to a position; compacted entries always match."""
        return position < self.log.snapshot.position or self.log.epoch_at(position) == epoch

    def _last_possible_match(self, mismatch: int) -> int:
        """The last position where the logs may agree, after a mismatch at `rejected`."""
        if mismatch > self.log.last_position:
            return self.log.last_position
        epoch = self.log.epoch_at(mismatch)
        position = mismatch - 1
        while position > self.committed and self.log.epoch_at(position) == epoch:
            position -= 1
        return position

    def _append_missing(self, entries: Sequence[Entry]) -> None:
        """Append the missing entries. Requests may arrive late, so only a conflict truncates the log."""
        for number, entry in enumerate(entries):
            if entry.position <= self.log.snapshot.position:
                continue
            if self.log.epoch_at(entry.position) != entry.epoch:
                self._replace_from(tuple(entries[number:]))
                return

    def _replace_from(self, entries: tuple[Entry, ...]) -> None:
        if entries[0].position <= self.committed:
            raise ConsensusError(f"entry {entries[0].position} is committed and can't be replaced")
        self.log.replace_from(entries)
        self._persist_due, self._unpersisted_entries = True, entries

    def _on_snapshot_request(self, sender: str, request: SnapshotRequest) -> None:
        if request.header.epoch < self.epoch:
            self._send(sender, AppendReply(self._header(), False, 0, request.sent))
            return
        self._follow_leader(sender, request.header.epoch)
        if request.snapshot.position > self.committed:
            self._install(request.snapshot)
        self._send(sender, SnapshotReply(self._header(), request.snapshot.position, request.sent))

    def _install(self, snapshot: Snapshot) -> None:
        self.log.compact(snapshot)
        self.committed = snapshot.position
        self.document = snapshot.document.copy()
        self._persist_due, self._unpersisted_snapshot = True, snapshot
        self._emit(Installed(self.document.copy()))

    # Committing

    def _commit_to(self, position: int) -> None:
        while self.committed < position:
            self.committed += 1
            self._apply(self.log.entry_at(self.committed))
        self._compact()

    def _apply(self, entry: Entry) -> None:
        version = entry.version
        if version is None:
            return
        if version.index != self.document.index + 1:
            raise ConsensusError(f"version {version.index} does not follow version {self.document.index}")
        self.document.apply(version.index, version.epoch, version.changes)
        self._emit(Committed(version))
        if self._leadership is not None and entry.position in self._leadership.proposals:
            proposal = self._leadership.proposals.pop(entry.position)
            self._emit(Decided(proposal, Accepted(version.index, version.epoch)))

    def _compact(self) -> None:
        keep = self.options.keep
        if self.committed - self.log.snapshot.position <= keep + keep // COMPACTION_SLACK_DIVISOR:
            return
        position = self.committed - keep
        epoch = self.log.epoch_at(position)
        assert epoch is not None
        snapshot = Snapshot(position, epoch, self.log.document_at(position))
        self._emit_persist()
        self.log.compact(snapshot)
        self._persist_due, self._unpersisted_snapshot = True, snapshot
