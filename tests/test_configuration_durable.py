"""Durable Raft state: torn and lost writes, damage, state of another instance, an older copy."""

from __future__ import annotations

import random
import shutil
from collections.abc import Iterable
from pathlib import Path

import pytest

from millgw.configuration.actions import Action, Persist
from millgw.configuration.document import Change, Document, Version
from millgw.configuration.durable import (
    PIECE_SIZE,
    DurableState,
    DurableStateError,
    StateIncomplete,
    StateMissing,
    StateOfAnotherInstance,
)
from millgw.configuration.log import Entry, Snapshot
from millgw.configuration.state import State
from millgw.store.faulty import Crash, FaultyFiles, FaultyHandle, Inode
from millgw.store.high_water_mark import FILE_NAMES
from tests.kinds import pure_run_only
from tests.replica_cluster import Cluster, Node

pytestmark = pure_run_only
WALL = 1_800_000_000_000.0


def entry(position: int, text: str = "", epoch: int = 1) -> Entry:
    """A log entry with a version; position 1 is a barrier."""
    if position == 1:
        return Entry(position, epoch, None)
    changes = (Change("settings", {"value": position, "text": text}),)
    return Entry(position, epoch, Version(position, epoch, changes, "author", "reason", 1.0))


def persist(*entries: Entry, epoch: int = 1, committed: int = 0, snapshot: Snapshot | None = None) -> Persist:
    return Persist(epoch, "a", committed, entries, snapshot)


def open_state(
    disk: FaultyFiles, create: bool = False, instance: str = "a", wall: float = WALL
) -> DurableState:
    return DurableState([disk], instance, create, lambda: wall, lambda: 0.0)


def copy_disk(disk: FaultyFiles, **other: bytes) -> FaultyFiles:
    """A copy of the files with their current content; `other` overrides the content of some."""
    made = FaultyFiles(random.Random(1))
    for name, inode in disk.inodes.items():
        made.inodes[name] = Inode(bytearray(other.get(name, inode.content)))
        made.inodes[name].sync()
    made.durable_inodes = dict(made.inodes)
    return made


def without_incarnation(state: State) -> State:
    """The state without its incarnation, which differs in each run."""
    return State(state.epoch, state.voted_for, state.committed, 0, state.snapshot, state.entries)


def test_what_was_persisted_is_loaded(tmp_path: Path) -> None:
    state = DurableState.open([tmp_path], "a", create=True)
    first = state.load()
    assert without_incarnation(first) == State(incarnation=0)
    state.persist(persist(epoch=1))
    state.persist(persist(entry(1), entry(2)))
    state.persist(persist(entry(2, "another", epoch=2), epoch=2, committed=2))
    state.close()
    again = DurableState.open([tmp_path], "a")
    loaded = again.load()
    again.close()
    assert without_incarnation(loaded) == State(
        2, "a", 2, 0, entries=(entry(1), entry(2, "another", epoch=2))
    )
    assert loaded.entries[1].version is not None
    assert loaded.incarnation > first.incarnation


def test_a_snapshot_replaces_the_entries_it_covers() -> None:
    disk = FaultyFiles(random.Random(1))
    state = open_state(disk, create=True)
    state.persist(persist(*(entry(position) for position in range(1, 6)), committed=5))
    document = Document(3, 1, {"settings": {"value": 3, "text": ""}})
    state.persist(persist(committed=5, snapshot=Snapshot(3, 1, document)))
    state.persist(persist(entry(6), committed=5))
    expected = state.load()
    loaded = open_state(copy_disk(disk)).load()
    assert without_incarnation(loaded) == without_incarnation(expected)
    assert loaded.snapshot.document == document
    assert [each.position for each in loaded.entries] == [4, 5, 6]


def test_state_larger_than_one_record_is_restored_completely() -> None:
    disk = FaultyFiles(random.Random(1))
    state = open_state(disk, create=True)
    document = Document(4, 1, {f"services.{n}": {"text": "x" * 4000} for n in range(400)})
    state.persist(persist(committed=9, snapshot=Snapshot(9, 1, document)))
    large = [entry(position, "y" * (PIECE_SIZE // 2)) for position in (10, 11, 12)]
    state.persist(persist(*large, committed=9))
    assert open_state(copy_disk(disk)).load().entries == tuple(large)
    assert open_state(copy_disk(disk)).load().snapshot.document == document


def test_the_journal_ends_in_a_checkpoint_and_the_store_does_not_grow(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("millgw.configuration.durable.MAX_JOURNAL_RECORDS", 50)
    disk = FaultyFiles(random.Random(1))
    state = open_state(disk, create=True)
    for epoch in range(1, 3000):
        state.persist(persist(epoch=epoch))
    assert open_state(copy_disk(disk)).load().epoch == 2999
    assert len(list(state._store.entries())) <= 2 * 60
    assert sum(len(inode.content) for inode in disk.inodes.values()) < 500_000


def test_a_write_torn_at_any_byte_leaves_the_state_before_it_or_after_it() -> None:
    disk = FaultyFiles(random.Random(1))
    state = open_state(disk, create=True)
    state.persist(persist(entry(1), entry(2), committed=1))
    before = state.load()
    segment = max(name for name in disk.inodes if name.startswith("seg-"))
    start = len(disk.inodes[segment].content)
    marks = {name: bytes(disk.inodes[name].content) for name in FILE_NAMES}
    state.persist(persist(entry(3, "torn"), entry(4), epoch=2, committed=2))
    whole = bytes(disk.inodes[segment].content)
    assert len(whole) - start > 100
    for end in range(start, len(whole) + 1):
        found = open_state(copy_disk(disk, **{segment: whole[:end]}, **marks)).load()
        expected = state.load() if end == len(whole) else before
        assert without_incarnation(found) == without_incarnation(expected), f"cut at byte {end}"


def test_an_acknowledged_record_truncated_at_any_byte_is_refused_now_and_later() -> None:
    disk = FaultyFiles(random.Random(1))
    state = open_state(disk, create=True)
    segment = max(name for name in disk.inodes if name.startswith("seg-"))
    start = len(disk.inodes[segment].content)
    state.persist(persist(entry(1), entry(2), committed=1))
    whole = bytes(disk.inodes[segment].content)
    for end in range(start, len(whole)):
        cut = copy_disk(disk, **{segment: whole[:end]})
        with pytest.raises(StateIncomplete):
            open_state(cut)
        with pytest.raises(StateIncomplete):
            open_state(cut, wall=WALL + 30 * 24 * 3_600_000.0)
        with pytest.raises(StateIncomplete):
            open_state(cut, create=True)


def test_damage_in_the_middle_is_refused() -> None:
    disk = FaultyFiles(random.Random(1))
    state = open_state(disk, create=True)
    for position in range(1, 6):
        state.persist(persist(entry(position)))
    segment = max(name for name in disk.inodes if name.startswith("seg-"))
    damaged = bytearray(disk.inodes[segment].content)
    damaged[len(damaged) // 2] ^= 1
    with pytest.raises(StateIncomplete, match="can't be read"):
        open_state(copy_disk(disk, **{segment: bytes(damaged)}))


def test_no_state_is_refused_unless_it_is_to_be_created(tmp_path: Path) -> None:
    with pytest.raises(StateMissing):
        DurableState.open([tmp_path], "a")
    DurableState.open([tmp_path], "a", create=True).close()
    with pytest.raises(DurableStateError, match="already"):
        DurableState.open([tmp_path], "a", create=True)
    with pytest.raises(StateOfAnotherInstance, match="of a, not of b"):
        DurableState.open([tmp_path], "b")
    held = DurableState.open([tmp_path], "a")
    with pytest.raises(DurableStateError, match="another process"):
        DurableState.open([tmp_path], "a")
    held.close()
    shutil.rmtree(tmp_path)
    with pytest.raises(StateMissing):
        DurableState.open([tmp_path], "a")


def test_the_loss_of_one_of_two_directories_loses_nothing(tmp_path: Path) -> None:
    directories = [tmp_path / "one", tmp_path / "two"]
    state = DurableState.open(directories, "a", create=True)
    state.persist(persist(entry(1), entry(2), committed=1))
    expected = state.load()
    state.close()
    shutil.rmtree(directories[0])
    again = DurableState.open(directories, "a")
    assert without_incarnation(again.load()) == without_incarnation(expected)
    again.close()


def test_an_older_copy_opens_with_a_newer_incarnation_than_any_before_it() -> None:
    disk = FaultyFiles(random.Random(1))
    state = open_state(disk, create=True, wall=WALL)
    older = copy_disk(disk)
    later = open_state(copy_disk(disk), wall=WALL + 10).load().incarnation
    assert state.load().incarnation < later < open_state(older, wall=WALL + 20).load().incarnation
    clock_set_back = open_state(copy_disk(disk), wall=WALL - 10_000).load().incarnation
    assert clock_set_back == state.load().incarnation + 1


def test_after_a_failed_write_nothing_more_is_persisted() -> None:
    disk = FaultyFiles(random.Random(1))
    state = open_state(disk, create=True)
    disk.fault = lambda kind, _: OSError(28, "no space") if kind == "write" else None
    with pytest.raises(DurableStateError, match="no space"):
        state.persist(persist(entry(1)))
    disk.fault = lambda _, __: None
    with pytest.raises(DurableStateError, match="it has failed"):
        state.persist(persist(entry(1)))


class DurableCluster(Cluster):
    """Replicas whose state is also written through `DurableState`."""

    def __init__(self, names: Iterable[str], keep: int) -> None:
        self.disks = {name: FaultyFiles(random.Random(1)) for name in names}
        self.durable = {
            name: open_state(disk, create=True, instance=name) for name, disk in self.disks.items()
        }
        super().__init__(names, keep=keep)

    def _execute(self, node: Node, action: Action) -> None:
        if isinstance(action, Persist):
            self.durable[node.name].persist(action)
        super()._execute(node, action)


def test_state_persisted_through_elections_and_snapshots_is_restored() -> None:
    cluster = DurableCluster(("a", "b", "c"), keep=4)
    for number in range(12):
        leader = cluster.settle()
        cluster.propose(leader, [Change("settings", {"value": number})])
        cluster.advance(20.0)
        if number % 3 == 0:
            cluster.partition([leader], [name for name in cluster.names if name != leader])
            cluster.advance(10_000.0)
            cluster.propose(cluster.leaders_with_quorum()[0], [Change("services.login", {"value": number})])
            cluster.advance(20.0)
            cluster.heal()
    cluster.settle()
    assert cluster.replica("a").document.index >= 12 and cluster.replica("a").epoch > 4
    for name, disk in cluster.disks.items():
        assert without_incarnation(open_state(copy_disk(disk), instance=name).load()) == without_incarnation(
            cluster.nodes[name].state
        )
        assert cluster.nodes[name].state.snapshot.position > 0


@pytest.mark.parametrize("seed", range(60))
def test_a_power_loss_at_any_step_loses_nothing_that_was_persisted(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    run_with_power_losses(seed, monkeypatch)


def test_power_losses_detect_a_disk_that_is_never_synced(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(FaultyHandle, "sync", lambda handle: None)
    found = 0
    for seed in range(10):
        try:
            run_with_power_losses(seed, monkeypatch)
        except (AssertionError, DurableStateError):
            found += 1
    assert found >= 8


def run_with_power_losses(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Several power losses at random steps, among appends, conflicts, snapshots and checkpoints."""
    monkeypatch.setattr("millgw.configuration.durable.MAX_JOURNAL_RECORDS", 12)
    monkeypatch.setattr("millgw.configuration.durable.PIECE_SIZE", 200)
    rng = random.Random(f"power cuts {seed}")
    disk = FaultyFiles(rng)
    # Valid states after a restart: the last persisted one, or that of the write in progress.
    possible = [without_incarnation(State())]
    for _ in range(7):
        disk, possible = run_until_power_loss(rng, disk, possible)
    disk.fault = lambda _, __: None
    assert without_incarnation(open_state(disk).load()) in possible


def run_until_power_loss(
    rng: random.Random, disk: FaultyFiles, possible: list[State]
) -> tuple[FaultyFiles, list[State]]:
    """One run on a disk; returns the disk after the power loss, and the states that it may contain."""
    last_step = disk.steps + rng.randint(1, 250)
    disk.fault = lambda _, step: Crash() if step >= last_step else None
    try:
        state = open_or_create(disk, may_be_created=without_incarnation(State()) in possible)
        assert without_incarnation(state.load()) in possible
        while True:
            action = random_persist(rng, state.load())
            possible = [
                without_incarnation(state.load()),
                without_incarnation(state.load().with_persisted(action)),
            ]
            state.persist(action)
            possible = possible[1:]
    except Crash:
        return disk.crash(), possible


def open_or_create(disk: FaultyFiles, may_be_created: bool) -> DurableState:
    """Open the state, or create it if a power loss interrupted its creation."""
    try:
        return open_state(disk)
    except StateMissing:
        assert may_be_created
        return open_state(disk, create=True)


def random_persist(rng: random.Random, state: State) -> Persist:
    """A random write that a replica in this state may request."""
    last = state.snapshot.position + len(state.entries)
    if rng.random() < 0.15 and last > state.committed:
        committed = rng.randint(state.committed + 1, last)
        at = state.entries[committed - state.snapshot.position - 1]
        document = Document(committed, at.epoch, {"settings": {"value": committed}})
        return persist(
            epoch=state.epoch, committed=committed, snapshot=Snapshot(committed, at.epoch, document)
        )
    epoch = state.epoch + (rng.random() < 0.3)
    first = rng.randint(max(state.committed, state.snapshot.position) + 1, last + 1)
    entries = [
        entry(position, "x" * rng.randint(0, 300), epoch)
        for position in range(first, first + rng.randint(0, 3))
    ]
    return persist(*entries, epoch=epoch, committed=state.committed)
