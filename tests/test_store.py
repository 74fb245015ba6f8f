"""Crash safety of the store: truncated files, lost writes, failed syncs, damage, kill -9."""

from __future__ import annotations

import asyncio
import errno
import os
import random
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from millgw.store import high_water_mark as marks
from millgw.store import store as store_module
from millgw.store.faulty import Crash, FaultyFiles, Inode, faulty_mirrors
from millgw.store.files import DirectoryContents, RealFiles, RealHandle, StoreLocked
from millgw.store.record import (
    HEADER_SIZE,
    PUT,
    FormatError,
    Record,
    SegmentHeader,
    decode_header,
    encode_header,
    encode_record,
    scan_segment,
)
from millgw.store.recovery import inspect_directory
from millgw.store.store import (
    Item,
    KeyState,
    Store,
    StoreDamaged,
    StoreError,
    StoreFailed,
    StoreFull,
    StoreOptions,
)
from millgw.store.writer import SyncPolicy, Writer
from tests.kinds import pure_run_only

pytestmark = pure_run_only
SENT, UNSENT = KeyState.SENT, KeyState.UNSENT
TIMEOUT = 10.0  # s
START_MS = 1_800_000_000_000.0
WINDOW = 60_000.0
SMALL = StoreOptions(window_ms=WINDOW, segment_bytes=300)


class ManualClocks:
    """A wall clock and a monotonic clock that the test advances."""

    def __init__(self) -> None:
        self.wall_ms = START_MS
        self.monotonic_ms = 0.0

    def advance(self, ms: float) -> None:
        self.wall_ms += ms
        self.monotonic_ms += ms


def raise_disk_full(*_: object) -> None:
    """Fails like a write to a full disk."""
    raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))


def open_store(
    disks: list[FaultyFiles],
    clocks: ManualClocks | None = None,
    options: StoreOptions = SMALL,
    repair: bool = False,
) -> Store:
    clocks = clocks or ManualClocks()
    return Store(
        disks,
        options,
        lambda: clocks.wall_ms,
        lambda: clocks.monotonic_ms,
        repair,
        new_store_id=b"0123456789abcdef",
    )


def copy_disk(disk: FaultyFiles, name: str = "", data: bytes = b"") -> FaultyFiles:
    """A copy of the disk as it reads now, with other contents for one file."""
    disk_copy = FaultyFiles(random.Random(1))
    for known, inode in disk.inodes.items():
        copy = Inode(bytearray(data if known == name else inode.content))
        copy.sync()
        disk_copy.inodes[known] = copy
    disk_copy.durable_inodes = dict(disk_copy.inodes)
    return disk_copy


def make_filled_disks(
    count: int, mirrors: int = 1, compact: bool = True
) -> tuple[list[FaultyFiles], set[bytes]]:
    """Disks that hold a store of several segments, one of them compacted, and the keys of the store."""
    disks = faulty_mirrors(1, mirrors)
    store = open_store(disks)
    for i in range(count):
        store.append([Item(b"key-%03d" % i, b"v%d" % i)])
        if i % 5 == 4:
            store.append([Item(b"key-%03d" % i, None)])
        if compact and i == count // 2:
            while not store.compact(64):
                store.append([Item(b"meanwhile-%d" % store.last_seq)])
    keys = set(store.index)
    store.close()
    return disks, keys


def test_written_entries_are_present_after_reopening() -> None:
    disks, keys = make_filled_disks(20)
    store = open_store(disks)
    assert set(store.index) == keys and not store.notes
    assert store.get(b"key-000") is not None and store.key_state(b"key-004") is KeyState.UNSENT
    assert [e.seq for _, e in store.entries()] == sorted(e.seq for e in store.index.values())


@pytest.mark.parametrize("mirrors", [1, 2])
def test_truncating_any_file_at_any_byte_loses_no_acknowledged_key(mirrors: int) -> None:
    disks, keys = make_filled_disks(14, mirrors)
    cuts = 0
    for number, disk in enumerate(disks):
        for name in disk.names():
            data = bytes(disk.inodes[name].content)
            for size in range(len(data)):
                some = [copy_disk(d, name, data[:size]) if d is disk else copy_disk(d) for d in disks]
                store = open_store(some)
                standings = {store.key_state(key) for key in keys}
                assert KeyState.UNSENT not in standings, (number, name, size, store.notes)
                if mirrors == 2:
                    assert standings == {KeyState.SENT} and store.key_state(b"never") is KeyState.UNSENT
                # The salvaged store accepts writes and opens again.
                store.append([Item(b"more")])
                again = open_store([copy_disk(d) for d in some])
                assert {again.key_state(k) for k in (*keys, b"more")} <= {KeyState.SENT, KeyState.UNPROVEN}
                cuts += 1
    assert cuts > 900 * mirrors


def test_a_lost_tail_is_noticed_and_unknown_keys_count_as_sent_until_their_window_has_passed() -> None:
    disks, _ = make_filled_disks(6, compact=False)
    disk = disks[0]
    name = max(
        n for n in disk.names() if n.startswith("seg-") and len(disk.inodes[n].content) > HEADER_SIZE + 20
    )
    at = ManualClocks()
    at.advance(1000.0)
    some = [copy_disk(disk, name, bytes(disk.inodes[name].content)[:-3])]
    store = open_store(some, at)
    assert store.notes and store.key_state(b"key-005") is KeyState.UNPROVEN
    at.advance(WINDOW / 2)
    store = open_store([copy_disk(some[0])], at)  # the mark keeps this over another restart
    assert store.key_state(b"never") is KeyState.UNPROVEN
    at.advance(WINDOW / 2 + 2)
    assert store.key_state(b"never") is KeyState.UNSENT


def append_and_compact(store: Store, rng: random.Random, acked: set[bytes], steps: int) -> None:
    """Random appends and compaction steps; acknowledged keys are added to `acked`."""
    for _ in range(steps):
        if rng.random() < 0.35:
            store.compact(rng.choice([1, 100, 1000]))
        else:
            keys = [b"%08x" % rng.getrandbits(32) for _ in range(rng.randint(1, 4))]
            store.append([Item(k, bytes(rng.randint(0, 40))) for k in keys])
            acked |= set(keys)


@pytest.mark.parametrize("mirrors", [1, 2])
@pytest.mark.parametrize("block", range(4))
def test_a_power_cut_at_any_step_loses_nothing_that_was_acknowledged(block: int, mirrors: int) -> None:
    """Each seed cuts the power up to four times, also while the store is being opened."""
    for seed in range(block * 150, block * 150 + 150):
        rng = random.Random(f"crash {seed} {mirrors}")
        disks, acked = faulty_mirrors(seed, mirrors), set[bytes]()
        for _ in range(4):
            at = rng.randint(1, 120)
            for disk in disks:
                disk.steps = 0
                disk.fault = lambda _, step, at=at: Crash() if step >= at else None  # type: ignore[misc]
            # All disks lose power at the same moment.
            with suppress(Crash):
                append_and_compact(open_store_in_boot(BOOT, disks, ManualClocks()), rng, acked, 40)
            disks = [disk.crash() for disk in disks]
        store = open_store_in_boot(BOOT, disks, ManualClocks())
        assert all(store.key_state(key) is KeyState.SENT for key in acked), seed
        assert not store.notes, (seed, store.notes)
        files = disks[0].names()
        assert sum(n.startswith("seg-") for n in files) == len(store.segment_numbers), (seed, files)


@pytest.mark.parametrize("code", [errno.EIO, errno.ENOSPC])
@pytest.mark.parametrize("kind", ["write", "sync", "names"])
def test_after_a_fault_nothing_more_is_acknowledged_and_nothing_that_was_is_lost(
    kind: str, code: int
) -> None:
    for seed in range(60):
        rng = random.Random(f"fault {seed} {kind} {code}")
        disks, acked = faulty_mirrors(seed, 1), set[bytes]()
        at, fired = rng.randint(5, 150), [False]

        def once(what: str, step: int, at: int = at, fired: list[bool] = fired) -> OSError | None:
            if what == kind and step >= at and not fired[0]:
                fired[0] = True  # the next sync would succeed, as after a real failed fsync
                return OSError(code, os.strerror(code))
            return None

        store = open_store(disks)
        disks[0].fault = once
        try:
            append_and_compact(store, rng, acked, 60)
        except StoreFailed:
            with pytest.raises(StoreFailed):
                store.append([Item(b"more")])
            with pytest.raises(StoreFailed):
                store.compact()
        disks[0].fault = lambda *_: None
        again = open_store([disks[0].crash()])
        assert all(again.key_state(key) is KeyState.SENT for key in acked), seed


def make_random_faults(
    rng: random.Random, kind: str, code: int, cut_at: int
) -> Callable[[str, int], BaseException | None]:
    """Steps of a kind fail with probability 1/6 up to step 150; the power is cut at step `cut_at`."""

    def fault(what: str, step: int) -> BaseException | None:
        if step >= cut_at:
            return Crash()
        if what == kind and step < 150 and rng.random() < 1 / 6:
            return OSError(code, os.strerror(code))
        return None

    return fault


@pytest.mark.parametrize("mirrors", [1, 2])
@pytest.mark.parametrize(
    ("kind", "code"), [("write", errno.ENOSPC), ("sync", errno.EIO), ("names", errno.EIO)]
)
def test_a_store_that_recovers_in_service_loses_nothing_it_acknowledged_whenever_the_power_is_cut(
    kind: str, code: int, mirrors: int
) -> None:
    recoveries = 0
    for seed in range(250):
        rng = random.Random(f"recovers {seed} {kind} {mirrors}")
        disks, acked = faulty_mirrors(seed, mirrors), set[bytes]()
        store = open_store(disks)
        cut_at = rng.randint(10, 400)
        for disk in disks:
            disk.steps = 0
            disk.fault = make_random_faults(rng, kind, code, cut_at)
        with suppress(Crash):
            for _ in range(200):
                try:
                    append_and_compact(store, rng, acked, 5)
                except StoreFailed:
                    with suppress(StoreFailed):
                        store.recover()
                        recoveries += 1
        assert {store.key_state(key) for key in acked} <= {KeyState.SENT}, seed
        again = open_store([disk.crash() for disk in disks])
        assert all(again.key_state(key) is KeyState.SENT for key in acked), (seed, again.notes)
        assert again.key_state(b"never") is KeyState.UNSENT, (seed, again.notes)
    assert recoveries > 250


def test_a_recovery_is_tried_until_the_disk_takes_it_and_leaves_no_file_open(tmp_path: Path) -> None:
    files = RealFiles(tmp_path)
    store = Store([files], SMALL, lambda: START_MS, lambda: 0.0)
    store.append([Item(b"before")])
    with pytest.MonkeyPatch.context() as broken:
        broken.setattr(RealHandle, "sync", raise_disk_full)
        for _ in range(3):
            with pytest.raises(StoreFailed):
                store.append([Item(b"meanwhile")])
            with pytest.raises(StoreFailed):
                store.recover()
        held = len(os.listdir("/proc/self/fd"))
        for _ in range(20):
            with pytest.raises(StoreFailed):
                store.recover()
        assert len(os.listdir("/proc/self/fd")) == held
        assert "compact.new" not in files.names(), "the unfinished file would keep a full disk full"
    store.recover()
    store.append([Item(b"after")])
    assert [store.key_state(k) for k in (b"before", b"meanwhile", b"after")] == [SENT, UNSENT, SENT]
    store.close()


def test_an_unreadable_file_is_restored_from_the_other_copy() -> None:
    disks, keys = make_filled_disks(10, 2)
    some = [copy_disk(d) for d in disks]
    some[0].fault = lambda kind, _: OSError(errno.EIO, "bad sector") if kind == "read" else None
    store = open_store(some)
    assert {store.key_state(k) for k in keys} == {KeyState.SENT} and "can't be read" in store.notes[0]


def test_damage_in_the_middle_is_refused_with_its_offset_and_salvaged_only_by_repair() -> None:
    disks, keys = make_filled_disks(12, compact=False)
    disk = disks[0]
    name = next(n for n in disk.names() if n.startswith("seg-") and len(disk.inodes[n].content) > 250)
    data = bytearray(disk.inodes[name].content)
    data[HEADER_SIZE + 30] ^= 1
    broken = copy_disk(disk, name, bytes(data))
    with pytest.raises(StoreDamaged) as caught:
        open_store([broken])
    assert f"{name}: byte {HEADER_SIZE}" in str(caught.value) and caught.value.readable > 5
    assert {n: bytes(i.content) for n, i in broken.inodes.items()} == {
        n: bytes(data) if n == name else bytes(i.content) for n, i in disk.inodes.items()
    }  # a refused open changes no file
    store = open_store([broken], repair=True)
    assert all(store.key_state(k) is not KeyState.UNSENT for k in keys)
    assert sum(store.key_state(k) is KeyState.SENT for k in keys) >= len(keys) - 3
    assert not open_store([copy_disk(broken)]).notes


def test_a_missing_segment_and_a_newer_format_are_refused() -> None:
    disks, _ = make_filled_disks(30, compact=False)
    _, middle, _, *_ = sorted(n for n in disks[0].names() if n.startswith("seg-"))
    less = copy_disk(disks[0])
    del less.inodes[middle]
    with pytest.raises(StoreDamaged) as caught:
        open_store([less])
    assert "missing" in str(caught.value)
    header = bytearray(encode_header(SegmentHeader(b"0" * 16, 1, 1, 0, 1)))
    from crc32c import crc32c

    header[12:14] = (2).to_bytes(2, "little")
    header[:4] = crc32c(bytes(header[4:])).to_bytes(4, "little")
    with pytest.raises(FormatError):
        decode_header(bytes(header))
    with pytest.raises(StoreError) as future:
        open_store([copy_disk(disks[0], middle, bytes(header))])
    assert "its format is 2" in str(future.value)


def test_copies_of_different_stores_are_refused_and_an_empty_one_is_filled() -> None:
    disks, keys = make_filled_disks(8, 2)
    store = open_store([copy_disk(disks[0]), FaultyFiles(random.Random(1))])
    assert set(store.index) == keys
    other = faulty_mirrors(5, 1)
    Store(other, SMALL, lambda: START_MS, lambda: 0.0, new_store_id=b"another store id").close()
    with pytest.raises(StoreError):
        open_store([copy_disk(disks[0]), other[0]])


def test_a_wall_clock_set_back_over_a_restart_reopens_no_window() -> None:
    disks, at = faulty_mirrors(1, 1), ManualClocks()
    store = open_store(disks, at)
    store.append([Item(b"a", expires=int(START_MS + 1000))])
    at.advance(5000.0)
    store.append([Item(b"b", expires=int(START_MS + 6000))])
    assert store.key_state(b"a") is KeyState.UNSENT
    at.wall_ms -= 3_600_000.0
    store = open_store(disks, at)
    assert store.key_state(b"b") is KeyState.SENT and store.now() >= START_MS + 5000
    at.advance(1001.0)
    assert store.key_state(b"b") is KeyState.UNSENT  # the store's time still advances


BOOT, ANOTHER_BOOT = b"b" * 16, b"c" * 16
HOUR = 3_600_000.0  # ms


def open_store_in_boot(boot_id: bytes, disks: list[FaultyFiles], clocks: ManualClocks) -> Store:
    return Store(
        disks,
        SMALL,
        lambda: clocks.wall_ms,
        lambda: clocks.monotonic_ms,
        new_store_id=b"0123456789abcdef",
        boot_id=boot_id,
    )


@pytest.mark.parametrize("mirrors", [1, 2])
@pytest.mark.parametrize("step", [-HOUR, -2000.0, 2000.0, HOUR])
def test_a_clock_that_is_stepped_before_a_restart_moves_no_window(step: float, mirrors: int) -> None:
    """Otherwise a step forward would end every window, and sent keys would count as unsent."""
    disks, at = faulty_mirrors(1, mirrors), ManualClocks()
    store = open_store_in_boot(BOOT, disks, at)
    store.append([Item(b"a", b"", int(store.now() + WINDOW))])
    store.close()
    at.wall_ms += step
    for _ in range(2):
        at.advance(WINDOW / 2 - 100.0)
        store = open_store_in_boot(BOOT, disks, at)
        assert store.key_state(b"a") is KeyState.SENT and not store.notes
        store.close()
    at.advance(300.0)
    store = open_store_in_boot(BOOT, disks, at)
    assert store.key_state(b"a") is KeyState.UNSENT


@pytest.mark.parametrize("kept", ["nothing", "noise", "another boot"])
def test_after_a_boot_or_without_a_clock_that_can_be_read_the_wall_clock_tells_the_time(kept: str) -> None:
    disks, at = faulty_mirrors(1, 1), ManualClocks()
    store = open_store_in_boot(ANOTHER_BOOT if kept == "another boot" else BOOT, disks, at)
    store.append([Item(b"a", b"", int(store.now() + WINDOW))])
    store.close()
    if kept == "noise":
        disks = [copy_disk(disks[0], "clock", b"noise")]
    elif kept == "nothing":
        disks[0].remove("clock")
    at.wall_ms += WINDOW + 1.0
    at.monotonic_ms = 5.0
    assert open_store_in_boot(BOOT, disks, at).key_state(b"a") is KeyState.UNSENT


@pytest.mark.parametrize("step", [3_600_000.0, -3_600_000.0])
def test_a_clock_that_is_stepped_in_service_moves_no_window(step: float) -> None:
    """Otherwise a call that is marked as sent could be sent again within its window."""
    at = ManualClocks()
    store = open_store(faulty_mirrors(1, 1), at)
    store.append([Item(b"a", expires=int(store.now() + WINDOW))])
    at.wall_ms += step
    at.advance(WINDOW - 1)
    assert store.key_state(b"a") is KeyState.SENT
    at.advance(2.0)
    assert store.key_state(b"a") is KeyState.UNSENT


def test_the_number_of_keys_is_bounded_and_expired_entries_free_space() -> None:
    disks, at = faulty_mirrors(1, 1), ManualClocks()
    store = open_store(disks, at, StoreOptions(window_ms=WINDOW, max_keys=3))
    store.append([Item(b"%d" % i, expires=int(START_MS + 10 * (i + 1))) for i in range(3)])
    with pytest.raises(StoreFull):
        store.append([Item(b"more")])
    at.advance(15.0)
    store.append([Item(b"more")])
    assert set(store.index) == {b"1", b"2", b"more"}


@given(
    st.lists(
        st.tuples(st.sampled_from(["put", "delete", "compact", "reopen", "wait"]), st.integers(0, 6)),
        max_size=40,
    )
)
@settings(deadline=None, max_examples=60)
def test_the_store_behaves_like_a_dictionary_with_expiring_entries(steps: list[tuple[str, int]]) -> None:
    disks, at = faulty_mirrors(1, 2), ManualClocks()
    store, model = open_store(disks, at), dict[bytes, int]()
    for what, n in steps:
        key = b"%d" % n
        if what == "put":
            store.append([Item(key, b"x" * n, int(at.wall_ms) + 500 * n)])
            model[key] = int(at.wall_ms) + 500 * n
        elif what == "delete":
            store.append([Item(key, None)])
            model.pop(key, None)
        elif what == "compact":
            store.compact(1 + 40 * n)
        elif what == "reopen":
            store = open_store(disks, at)
        else:
            at.advance(300.0)
        for k in (b"%d" % i for i in range(7)):
            alive = k in model and at.wall_ms < model[k]
            assert (store.key_state(k) is KeyState.SENT) is alive


@pytest.mark.parametrize("mirrors", [1, 2])
def test_records_written_during_a_compaction_count_towards_the_next_one(mirrors: int) -> None:
    """Dead records must be counted too: counting only live ones would let the log grow without bound."""
    disks, at = faulty_mirrors(1, mirrors), ManualClocks()
    store = open_store(disks, at)
    for i in range(20):
        store.append([Item(b"old-%d" % i)])
    while not store.compact(40):
        store.append([Item(b"again", b"%d" % store.last_seq), Item(b"gone"), Item(b"gone", None)])
    counted = store.record_count
    store.close()
    assert counted == open_store(disks, at).record_count > len(store.index)


def test_a_compaction_syncs_as_it_goes(monkeypatch: pytest.MonkeyPatch) -> None:
    """With a single sync at the end, an append was observed to wait for all of the compaction's data."""
    monkeypatch.setattr(store_module, "MAX_UNSYNCED_BYTES", 500)
    disks = faulty_mirrors(1, 1)
    store = open_store(disks)
    for i in range(100):
        store.append([Item(b"key-%d" % i, bytes(100))])
    while not store.compact(100):
        making = disks[0].inodes[store_module.COMPACTION_FILE]
        assert len(making.content) - len(making.durable) < 500 + 250, (
            "at most a step and one record over the limit"
        )


def test_recovery_holds_one_file_at_a_time() -> None:
    disks, keys = make_filled_disks(20, compact=False)
    read: list[str] = []
    whole = disks[0].read

    def once(name: str) -> bytes:
        read.append(name)
        return whole(name)

    disks[0].read = once  # type: ignore[method-assign]
    directory = DirectoryContents(disks[0])
    assert not read, "files are read only on access"
    found = inspect_directory(directory)
    assert {r.key for r in found.records} >= keys and len(read) == len(set(read)) == 5


@given(st.binary(max_size=400), st.integers(0, 400))
def test_decoders_accept_arbitrary_bytes_without_an_exception(noise: bytes, at: int) -> None:
    whole = encode_header(SegmentHeader(b"s" * 16, 1, 1, 0, 1)) + b"".join(
        encode_record(Record(i, PUT, b"k%d" % i)) for i in range(1, 6)
    )
    mixed = whole[:at] + noise + whole[at:]
    read = scan_segment(mixed)
    assert 0 <= read.readable_end <= read.size == len(mixed)
    known = {Record(i, PUT, b"k%d" % i) for i in range(1, 6)}
    assert all(r in known for r in (*read.records, *read.records_after_damage) if len(noise) < 20)
    marks.decode(noise)


# Writer and command


def test_many_callers_share_a_sync_and_one_key_is_claimed_once(tmp_path: Path) -> None:
    async def test() -> None:
        store = Store(
            [RealFiles(tmp_path / "a")], SMALL, lambda: time.time() * 1000, lambda: time.monotonic() * 1000
        )
        writer = Writer(store)
        claims = [writer.claim(Item(b"%d" % (i // 2))) for i in range(400)]
        futures = [c for c in claims if isinstance(c, asyncio.Future)]
        assert len(futures) == 200 and claims.count(KeyState.SENT) == 200
        await asyncio.gather(*futures)
        assert writer.group_count < 200 and writer.claim(Item(b"7")) is KeyState.SENT
        writer.close()
        again = Store(
            [RealFiles(tmp_path / "a")], SMALL, lambda: time.time() * 1000, lambda: time.monotonic() * 1000
        )
        assert len(again.index) == 200
        again.close()

    asyncio.run(test())


@pytest.mark.parametrize("sync", list(SyncPolicy))
def test_a_writer_whose_disk_was_full_for_a_while_writes_again_by_itself(
    tmp_path: Path, sync: SyncPolicy
) -> None:
    told: list[tuple[float, int]] = []
    store = Store([RealFiles(tmp_path)], SMALL, lambda: time.time() * 1000, lambda: time.monotonic() * 1000)
    writer = Writer(store, sync, interval_s=0.01, on_recovered=lambda *seen: told.append(seen))
    writer.put(Item(b"before")).result(10)
    with pytest.MonkeyPatch.context() as broken:
        broken.setattr(RealHandle, "write", raise_disk_full)
        meanwhile = writer.put(Item(b"meanwhile"))
        end = time.monotonic() + TIMEOUT
        while store.failure is None:
            assert time.monotonic() < end
            time.sleep(0.005)
        with pytest.raises(StoreFailed):
            writer.put(Item(b"refused at once")).result(0)
        time.sleep(0.3)  # long enough for some recovery attempts
    while store.failure is not None:
        assert time.monotonic() < end
        time.sleep(0.005)
    writer.put(Item(b"after")).result(10)
    writer.close()
    ((_, tries),) = told
    assert tries > 1
    again = Store([RealFiles(tmp_path)], SMALL, lambda: time.time() * 1000, lambda: 0.0)
    assert {b"before", b"after"} <= set(again.index) and b"refused at once" not in again.index
    assert meanwhile.exception(0) is not None and b"meanwhile" not in again.index
    again.close()


def test_a_full_store_with_an_interval_forgets_nothing_it_acknowledged_and_takes_more_once_marks_are_over(
    tmp_path: Path,
) -> None:
    at = ManualClocks()
    options = StoreOptions(window_ms=WINDOW, max_keys=3)
    store = Store([RealFiles(tmp_path)], options, lambda: at.wall_ms, lambda: at.monotonic_ms)
    writer = Writer(store, SyncPolicy.INTERVAL, interval_s=0.01)

    def put(key: bytes) -> BaseException | None:
        return writer.put(Item(key, b"", int(store.now() + WINDOW))).exception(TIMEOUT)

    keys = [b"%d" % number for number in range(6)]
    refused = [key for key in keys if put(key) is not None]
    assert refused == keys[3:], "what is not acknowledged may come again, and the store holds no more than 3"
    assert {writer.key_state(key) for key in keys[:3]} == {SENT}
    assert {writer.key_state(key) for key in refused} == {UNSENT}
    at.advance(WINDOW + 1.0)
    assert put(b"after") is None
    writer.close()
    again = Store([RealFiles(tmp_path)], options, lambda: at.wall_ms, lambda: at.monotonic_ms)
    assert again.key_state(b"after") is SENT
    again.close()


@pytest.mark.parametrize("sync", list(SyncPolicy))
def test_every_sync_policy_writes_all_items(tmp_path: Path, sync: SyncPolicy) -> None:
    store = Store([RealFiles(tmp_path)], SMALL, lambda: time.time() * 1000, lambda: time.monotonic() * 1000)
    writer = Writer(store, sync, interval_s=0.01)
    futures = [writer.put(Item(b"%d" % i)) for i in range(50)]
    for future in futures:
        future.result(10)
    writer.close()
    assert len(store.index) == 50


def test_a_second_opener_is_locked_out(tmp_path: Path) -> None:
    def make() -> Store:
        return Store([RealFiles(tmp_path)], SMALL, lambda: START_MS, lambda: 0.0)

    store = make()
    with pytest.raises(StoreLocked):
        make()
    store.close()
    make().close()


WRITER_PROCESS = """
import sys, time
from pathlib import Path
from millgw.store.files import RealFiles
from millgw.store.store import Item, Store, StoreOptions
options = StoreOptions(60_000.0, 4000)
clocks = (lambda: time.time() * 1000, lambda: time.monotonic() * 1000)
store = Store([RealFiles(Path(sys.argv[1]))], options, *clocks)
number = int(sys.argv[2])
while True:
    store.append([Item(b"%d" % number)])
    print(number, flush=True)
    number += 1
    if number % 7 == 0:
        store.compact(500)
"""


def test_kill_9_over_and_over_loses_nothing_that_was_acknowledged(tmp_path: Path) -> None:
    rng, acked = random.Random(1), set[int]()
    for round_ in range(6):
        child = subprocess.Popen(
            [sys.executable, "-c", WRITER_PROCESS, str(tmp_path), str(round_ * 1_000_000)],
            stdout=subprocess.PIPE,
            text=True,
        )
        assert child.stdout is not None
        for _ in range(rng.randint(20, 120)):
            acked.add(int(child.stdout.readline()))
        os.kill(child.pid, signal.SIGKILL)
        acked |= {int(line) for line in child.stdout.read().split("\n")[:-1]}
        child.wait()
    store = Store([RealFiles(tmp_path)], SMALL, lambda: time.time() * 1000, lambda: time.monotonic() * 1000)
    assert len(acked) > 200 and all(store.key_state(b"%d" % n) is KeyState.SENT for n in acked)
    store.close()


INTERVAL_PROCESS = """
import sys, time
from pathlib import Path
from millgw.store.files import RealFiles
from millgw.store.store import Item, Store, StoreOptions
from millgw.store.writer import SyncPolicy, Writer
options = StoreOptions(60_000.0, 4000)
clocks = (lambda: time.time() * 1000, lambda: time.monotonic() * 1000)
store = Store([RealFiles(Path(directory)) for directory in sys.argv[2:]], options, *clocks)
writer = Writer(store, SyncPolicy.INTERVAL, interval_s=3600.0)  # s; no sync comes before the kill
number = int(sys.argv[1])
while True:
    writer.put(Item(b"%d" % number)).result()
    print(number, flush=True)
    number += 1
"""


@pytest.mark.parametrize("mirrors", [1, 2])
def test_kill_9_before_the_sync_of_an_interval_loses_nothing_that_was_acknowledged(
    tmp_path: Path, mirrors: int
) -> None:
    """Marks were acknowledged before they were written, so that unsafe calls ran twice after a kill."""
    directories = [tmp_path / str(number) for number in range(mirrors)]
    acked = set[int]()
    for round_ in range(3):
        child = subprocess.Popen(
            [sys.executable, "-c", INTERVAL_PROCESS, str(round_ * 1_000_000), *map(str, directories)],
            stdout=subprocess.PIPE,
            text=True,
        )
        assert child.stdout is not None
        for _ in range(100):
            acked.add(int(child.stdout.readline()))
        os.kill(child.pid, signal.SIGKILL)
        acked |= {int(line) for line in child.stdout.read().split("\n")[:-1]}
        child.wait()
    store = Store(
        [RealFiles(d) for d in directories],
        SMALL,
        lambda: time.time() * 1000,
        lambda: time.monotonic() * 1000,
    )
    assert len(acked) >= 300 and not store.notes
    assert all(store.key_state(b"%d" % number) is SENT for number in acked)
    store.close()


@pytest.mark.parametrize("mirrors", [1, 2])
def test_records_whose_sync_is_put_off_outlive_a_crash_and_a_power_cut_loses_only_them(mirrors: int) -> None:
    """Appends, syncs and compactions, with a crash of the process or a power cut after any of them."""
    losses = 0
    for seed in range(200):
        rng = random.Random(f"put off {seed} {mirrors}")
        disks, durable, put_off = faulty_mirrors(seed, mirrors), set[bytes](), set[bytes]()
        for _ in range(4):
            store = open_store(disks)
            durable |= put_off
            put_off.clear()  # what a crashed process left behind is durable once the store is open
            for _ in range(rng.randint(0, 12)):
                if rng.random() < 0.2:
                    store.compact(rng.choice([1, 100, 1000]))
                    continue
                if rng.random() < 0.2:
                    store.sync()
                    durable |= put_off
                    put_off.clear()
                    continue
                key, at_once = b"%08x" % rng.getrandbits(32), rng.random() < 0.3
                store.append([Item(key, bytes(rng.randint(0, 40)))], durable=at_once)
                put_off.add(key)
                if at_once:
                    durable |= put_off
                    put_off.clear()
            assert all(store.key_state(key) is SENT for key in durable | put_off), seed
            if rng.random() < 0.5:
                disks = [disk.crash() for disk in disks]
                lost = {
                    key for key in put_off if open_store([copy_disk(disk) for disk in disks]).get(key) is None
                }
                losses += len(lost)
                put_off -= lost
        store = open_store(disks)
        assert all(store.key_state(key) is SENT for key in durable), seed
        assert store.key_state(b"never") is UNSENT and not store.notes, (seed, store.notes)
    assert losses > 0, "no power cut came before a sync: the test proves nothing"


def test_a_writer_with_an_interval_syncs_in_time_without_further_writes(tmp_path: Path) -> None:
    store = Store([RealFiles(tmp_path)], SMALL, lambda: time.time() * 1000, lambda: time.monotonic() * 1000)
    writer = Writer(store, SyncPolicy.INTERVAL, interval_s=0.05)
    writer.put(Item(b"a")).result(TIMEOUT)
    end = time.monotonic() + TIMEOUT
    while store.unsynced:
        assert time.monotonic() < end
        time.sleep(0.005)
    writer.close()


def test_the_command_checks_dumps_compacts_and_repairs(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    from millgw.__main__ import main

    store = Store([RealFiles(tmp_path)], SMALL, lambda: time.time() * 1000, lambda: time.monotonic() * 1000)
    for i in range(30):
        store.append([Item(b"%d" % i)])
    store.close()
    assert main(["store", "check", str(tmp_path)]) == 0 and "30 records" in capsys.readouterr().out
    assert main(["store", "dump", str(tmp_path)]) == 0 and capsys.readouterr().out.count("\n") == 30
    assert main(["store", "compact", str(tmp_path)]) == 0 and "30 keys" in capsys.readouterr().out
    (name,) = [p for p in tmp_path.iterdir() if p.stat().st_size > 900]
    data = bytearray(name.read_bytes())
    data[500] ^= 1
    name.write_bytes(data)
    assert main(["store", "check", str(tmp_path)]) == 1 and "damaged" in capsys.readouterr().out
    assert main(["store", "compact", str(tmp_path)]) == 1 and "byte" in capsys.readouterr().err
    assert main(["store", "repair", str(tmp_path)]) == 1 and "29 keys" in capsys.readouterr().out
    assert main(["store", "check", str(tmp_path)]) == 0
    assert main(["store", "check", str(tmp_path / "none")]) == 2 and capsys.readouterr().err.count("\n") == 1
