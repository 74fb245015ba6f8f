"""The store through crashes: cut files, lost writes, failed syncs, damage, kill -9."""

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

from millgw.store import mark as marks
from millgw.store import store as store_module
from millgw.store.faulty import Crash, FaultyFiles, Inode, faulty_mirrors
from millgw.store.files import DirectoryContents, Locked, RealFiles, RealHandle
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
    Options,
    Standing,
    Store,
    StoreDamaged,
    StoreError,
    StoreFailed,
    StoreFull,
)
from millgw.store.writer import Sync, Writer
from tests.kinds import aside

pytestmark = aside
SENT, UNSENT = Standing.SENT, Standing.UNSENT
LIMIT = 10.0  # s
WALL = 1_800_000_000_000.0
WINDOW = 60_000.0
SMALL = Options(window=WINDOW, segment_bytes=300)


class Time:
    """A wall clock and a monotonic one, moved by hand."""

    def __init__(self) -> None:
        self.wall = WALL
        self.tick = 0.0

    def pass_(self, ms: float) -> None:
        self.wall += ms
        self.tick += ms


def full(*_: object) -> None:
    """A disk that takes nothing more."""
    raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))


def opened(
    disks: list[FaultyFiles], at: Time | None = None, options: Options = SMALL, repair: bool = False
) -> Store:
    at = at or Time()
    return Store(disks, options, lambda: at.wall, lambda: at.tick, repair, new_store_id=b"0123456789abcdef")


def copied(disk: FaultyFiles, name: str = "", data: bytes = b"") -> FaultyFiles:
    """The same files as they read now, one of them with other bytes."""
    out = FaultyFiles(random.Random(1))
    for known, inode in disk.now.items():
        made = Inode(bytearray(data if known == name else inode.now))
        made.sync()
        out.now[known] = made
    out.durable = dict(out.now)
    return out


def filled(count: int, mirrors: int = 1, compact: bool = True) -> tuple[list[FaultyFiles], set[bytes]]:
    """Disks with a store of several segments, one of them compacted; the keys that stand."""
    disks = faulty_mirrors(1, mirrors)
    store = opened(disks)
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


def test_what_was_written_is_there_after_it_is_opened_again() -> None:
    disks, keys = filled(20)
    store = opened(disks)
    assert set(store.index) == keys and not store.notes
    assert store.get(b"key-000") is not None and store.standing(b"key-004") is Standing.UNSENT
    assert [e.seq for _, e in store.entries()] == sorted(e.seq for e in store.index.values())


@pytest.mark.parametrize("mirrors", [1, 2])
def test_any_file_may_be_cut_at_any_byte(mirrors: int) -> None:
    disks, keys = filled(14, mirrors)
    cuts = 0
    for number, disk in enumerate(disks):
        for name in disk.names():
            data = bytes(disk.now[name].now)
            for size in range(len(data)):
                some = [copied(d, name, data[:size]) if d is disk else copied(d) for d in disks]
                store = opened(some)
                standings = {store.standing(key) for key in keys}
                assert Standing.UNSENT not in standings, (number, name, size, store.notes)
                if mirrors == 2:
                    assert standings == {Standing.SENT} and store.standing(b"never") is Standing.UNSENT
                # And what was salvaged is a whole store again, that takes more.
                store.append([Item(b"more")])
                again = opened([copied(d) for d in some])
                assert {again.standing(k) for k in (*keys, b"more")} <= {Standing.SENT, Standing.UNPROVEN}
                cuts += 1
    assert cuts > 900 * mirrors


def test_a_lost_tail_is_noticed_and_unknown_keys_count_as_sent_until_their_window_has_passed() -> None:
    disks, _ = filled(6, compact=False)
    disk = disks[0]
    name = max(n for n in disk.names() if n.startswith("seg-") and len(disk.now[n].now) > HEADER_SIZE + 20)
    at = Time()
    at.pass_(1000.0)
    some = [copied(disk, name, bytes(disk.now[name].now)[:-3])]
    store = opened(some, at)
    assert store.notes and store.standing(b"key-005") is Standing.UNPROVEN
    at.pass_(WINDOW / 2)
    store = opened([copied(some[0])], at)  # that is remembered over another restart
    assert store.standing(b"never") is Standing.UNPROVEN
    at.pass_(WINDOW / 2 + 2)
    assert store.standing(b"never") is Standing.UNSENT


def act(store: Store, rng: random.Random, acked: set[bytes], steps: int) -> None:
    """Appends and compaction by chance; what is acknowledged goes into `acked`."""
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
    """Seeded: each schedule cuts the power up to four times, also while the store is opened."""
    for seed in range(block * 150, block * 150 + 150):
        rng = random.Random(f"crash {seed} {mirrors}")
        disks, acked = faulty_mirrors(seed, mirrors), set[bytes]()
        for _ in range(4):
            at = rng.randint(1, 120)
            for disk in disks:
                disk.steps = 0
                disk.fault = lambda _, step, at=at: Crash() if step >= at else None  # type: ignore[misc]
            # All disks lose their power at the same moment.
            with suppress(Crash):
                act(opened_on(BOOT, disks, Time()), rng, acked, 40)
            disks = [disk.crash() for disk in disks]
        store = opened_on(BOOT, disks, Time())
        assert all(store.standing(key) is Standing.SENT for key in acked), seed
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
                fired[0] = True  # the next sync would say that all is well
                return OSError(code, os.strerror(code))
            return None

        store = opened(disks)
        disks[0].fault = once
        try:
            act(store, rng, acked, 60)
        except StoreFailed:
            with pytest.raises(StoreFailed):
                store.append([Item(b"more")])
            with pytest.raises(StoreFailed):
                store.compact()
        disks[0].fault = lambda *_: None
        again = opened([disks[0].crash()])
        assert all(again.standing(key) is Standing.SENT for key in acked), seed


def failing(
    rng: random.Random, kind: str, code: int, cut_at: int
) -> Callable[[str, int], BaseException | None]:
    """Steps of a kind fail one in six until 150 of all have been; the power is cut at one of the steps."""

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
        store = opened(disks)
        cut_at = rng.randint(10, 400)
        for disk in disks:
            disk.steps = 0
            disk.fault = failing(rng, kind, code, cut_at)
        with suppress(Crash):
            for _ in range(200):
                try:
                    act(store, rng, acked, 5)
                except StoreFailed:
                    with suppress(StoreFailed):
                        store.recover()
                        recoveries += 1
        assert {store.standing(key) for key in acked} <= {Standing.SENT}, seed
        again = opened([disk.crash() for disk in disks])
        assert all(again.standing(key) is Standing.SENT for key in acked), (seed, again.notes)
        assert again.standing(b"never") is Standing.UNSENT, (seed, again.notes)
    assert recoveries > 250


def test_a_recovery_is_tried_until_the_disk_takes_it_and_leaves_no_file_open(tmp_path: Path) -> None:
    files = RealFiles(tmp_path)
    store = Store([files], SMALL, lambda: WALL, lambda: 0.0)
    store.append([Item(b"before")])
    with pytest.MonkeyPatch.context() as broken:
        broken.setattr(RealHandle, "sync", full)
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
        assert "compact.new" not in files.names(), "it would keep a full disk full"
    store.recover()
    store.append([Item(b"after")])
    assert [store.standing(k) for k in (b"before", b"meanwhile", b"after")] == [SENT, UNSENT, SENT]
    store.close()


def test_a_file_that_can_not_be_read_is_made_good_from_the_other_copy() -> None:
    disks, keys = filled(10, 2)
    some = [copied(d) for d in disks]
    some[0].fault = lambda kind, _: OSError(errno.EIO, "bad sector") if kind == "read" else None
    store = opened(some)
    assert {store.standing(k) for k in keys} == {Standing.SENT} and "can't be read" in store.notes[0]


def test_damage_in_the_middle_is_refused_with_its_place_and_salvaged_on_order_only() -> None:
    disks, keys = filled(12, compact=False)
    disk = disks[0]
    name = next(n for n in disk.names() if n.startswith("seg-") and len(disk.now[n].now) > 250)
    data = bytearray(disk.now[name].now)
    data[HEADER_SIZE + 30] ^= 1
    broken = copied(disk, name, bytes(data))
    with pytest.raises(StoreDamaged) as caught:
        opened([broken])
    assert f"{name}: byte {HEADER_SIZE}" in str(caught.value) and caught.value.readable > 5
    assert {n: bytes(i.now) for n, i in broken.now.items()} == {
        n: bytes(data) if n == name else bytes(i.now) for n, i in disk.now.items()
    }  # a refusal changes nothing
    store = opened([broken], repair=True)
    assert all(store.standing(k) is not Standing.UNSENT for k in keys)
    assert sum(store.standing(k) is Standing.SENT for k in keys) >= len(keys) - 3
    assert not opened([copied(broken)]).notes


def test_a_missing_segment_is_noticed_and_one_of_the_future_refused() -> None:
    disks, _ = filled(30, compact=False)
    _, middle, _, *_ = sorted(n for n in disks[0].names() if n.startswith("seg-"))
    less = copied(disks[0])
    del less.now[middle]
    with pytest.raises(StoreDamaged) as caught:
        opened([less])
    assert "missing" in str(caught.value)
    header = bytearray(encode_header(SegmentHeader(b"0" * 16, 1, 1, 0, 1)))
    from crc32c import crc32c

    header[12:14] = (2).to_bytes(2, "little")
    header[:4] = crc32c(bytes(header[4:])).to_bytes(4, "little")
    with pytest.raises(FormatError):
        decode_header(bytes(header))
    with pytest.raises(StoreError) as future:
        opened([copied(disks[0], middle, bytes(header))])
    assert "its format is 2" in str(future.value)


def test_copies_of_different_stores_are_refused_and_an_empty_one_is_filled() -> None:
    disks, keys = filled(8, 2)
    store = opened([copied(disks[0]), FaultyFiles(random.Random(1))])
    assert set(store.index) == keys
    other = faulty_mirrors(5, 1)
    Store(other, SMALL, lambda: WALL, lambda: 0.0, new_store_id=b"another store id").close()
    with pytest.raises(StoreError):
        opened([copied(disks[0]), other[0]])


def test_a_clock_that_goes_back_over_a_restart_reopens_no_window() -> None:
    disks, at = faulty_mirrors(1, 1), Time()
    store = opened(disks, at)
    store.append([Item(b"a", expires=int(WALL + 1000))])
    at.pass_(5000.0)
    store.append([Item(b"b", expires=int(WALL + 6000))])
    assert store.standing(b"a") is Standing.UNSENT
    at.wall -= 3_600_000.0
    store = opened(disks, at)
    assert store.standing(b"b") is Standing.SENT and store.now() >= WALL + 5000
    at.pass_(1001.0)
    assert store.standing(b"b") is Standing.UNSENT  # time goes on all the same


BOOT, ANOTHER_BOOT = b"b" * 16, b"c" * 16
HOUR = 3_600_000.0  # ms


def opened_on(boot: bytes, disks: list[FaultyFiles], at: Time) -> Store:
    return Store(disks, SMALL, lambda: at.wall, lambda: at.tick, new_store_id=b"0123456789abcdef", boot=boot)


@pytest.mark.parametrize("mirrors", [1, 2])
@pytest.mark.parametrize("step", [-HOUR, -2000.0, 2000.0, HOUR])
def test_a_clock_that_is_stepped_before_a_restart_moves_no_window(step: float, mirrors: int) -> None:
    """Otherwise a step forward ends every window, and what was sent counts as unsent."""
    disks, at = faulty_mirrors(1, mirrors), Time()
    store = opened_on(BOOT, disks, at)
    store.append([Item(b"a", b"", int(store.now() + WINDOW))])
    store.close()
    at.wall += step
    for _ in range(2):
        at.pass_(WINDOW / 2 - 100.0)
        store = opened_on(BOOT, disks, at)
        assert store.standing(b"a") is Standing.SENT and not store.notes
        store.close()
    at.pass_(300.0)
    store = opened_on(BOOT, disks, at)
    assert store.standing(b"a") is Standing.UNSENT


@pytest.mark.parametrize("kept", ["nothing", "noise", "another boot"])
def test_after_a_boot_or_without_a_clock_that_can_be_read_the_wall_clock_tells_the_time(kept: str) -> None:
    disks, at = faulty_mirrors(1, 1), Time()
    store = opened_on(ANOTHER_BOOT if kept == "another boot" else BOOT, disks, at)
    store.append([Item(b"a", b"", int(store.now() + WINDOW))])
    store.close()
    if kept == "noise":
        disks = [copied(disks[0], "clock", b"noise")]
    elif kept == "nothing":
        disks[0].remove("clock")
    at.wall += WINDOW + 1.0
    at.tick = 5.0
    assert opened_on(BOOT, disks, at).standing(b"a") is Standing.UNSENT


@pytest.mark.parametrize("step", [3_600_000.0, -3_600_000.0])
def test_a_clock_that_is_stepped_in_service_moves_no_window(step: float) -> None:
    """Otherwise a call that was marked as sent could be sent again within its window."""
    at = Time()
    store = opened(faulty_mirrors(1, 1), at)
    store.append([Item(b"a", expires=int(store.now() + WINDOW))])
    at.wall += step
    at.pass_(WINDOW - 1)
    assert store.standing(b"a") is Standing.SENT
    at.pass_(2.0)
    assert store.standing(b"a") is Standing.UNSENT


def test_it_is_bounded_and_gives_room_back_as_windows_pass() -> None:
    disks, at = faulty_mirrors(1, 1), Time()
    store = opened(disks, at, Options(window=WINDOW, most=3))
    store.append([Item(b"%d" % i, expires=int(WALL + 10 * (i + 1))) for i in range(3)])
    with pytest.raises(StoreFull):
        store.append([Item(b"more")])
    at.pass_(15.0)
    store.append([Item(b"more")])
    assert set(store.index) == {b"1", b"2", b"more"}


@given(
    st.lists(
        st.tuples(st.sampled_from(["put", "delete", "compact", "reopen", "wait"]), st.integers(0, 6)),
        max_size=40,
    )
)
@settings(deadline=None, max_examples=60)
def test_it_is_a_dictionary_whose_entries_end(steps: list[tuple[str, int]]) -> None:
    disks, at = faulty_mirrors(1, 2), Time()
    store, model = opened(disks, at), dict[bytes, int]()
    for what, n in steps:
        key = b"%d" % n
        if what == "put":
            store.append([Item(key, b"x" * n, int(at.wall) + 500 * n)])
            model[key] = int(at.wall) + 500 * n
        elif what == "delete":
            store.append([Item(key, None)])
            model.pop(key, None)
        elif what == "compact":
            store.compact(1 + 40 * n)
        elif what == "reopen":
            store = opened(disks, at)
        else:
            at.pass_(300.0)
        for k in (b"%d" % i for i in range(7)):
            alive = k in model and at.wall < model[k]
            assert (store.standing(k) is Standing.SENT) is alive


@pytest.mark.parametrize("mirrors", [1, 2])
def test_what_is_written_beside_a_compaction_counts_in_when_the_next_one_is_due(mirrors: int) -> None:
    """Dead records among it too: by what stands alone the log would grow on."""
    disks, at = faulty_mirrors(1, mirrors), Time()
    store = opened(disks, at)
    for i in range(20):
        store.append([Item(b"old-%d" % i)])
    while not store.compact(40):
        store.append([Item(b"again", b"%d" % store.last_seq), Item(b"gone"), Item(b"gone", None)])
    counted = store.record_count
    store.close()
    assert counted == opened(disks, at).record_count > len(store.index)


def test_a_compaction_never_leaves_much_to_its_last_sync(monkeypatch: pytest.MonkeyPatch) -> None:
    """Seen: an append waited for all of it."""
    monkeypatch.setattr(store_module, "MAX_UNSYNCED_BYTES", 500)
    disks = faulty_mirrors(1, 1)
    store = opened(disks)
    for i in range(100):
        store.append([Item(b"key-%d" % i, bytes(100))])
    while not store.compact(100):
        making = disks[0].now[store_module.COMPACTION_FILE]
        assert len(making.now) - len(making.durable) < 500 + 250, "a step, and a record more"


def test_recovery_holds_one_file_at_a_time() -> None:
    disks, keys = filled(20, compact=False)
    read: list[str] = []
    whole = disks[0].read

    def once(name: str) -> bytes:
        read.append(name)
        return whole(name)

    disks[0].read = once  # type: ignore[method-assign]
    directory = DirectoryContents(disks[0])
    assert not read, "nothing is read before it is asked for"
    found = inspect_directory(directory)
    assert {r.key for r in found.records} >= keys and len(read) == len(set(read)) == 5


@given(st.binary(max_size=400), st.integers(0, 400))
def test_no_bytes_make_the_readers_fall_over(noise: bytes, at: int) -> None:
    whole = encode_header(SegmentHeader(b"s" * 16, 1, 1, 0, 1)) + b"".join(
        encode_record(Record(i, PUT, b"k%d" % i)) for i in range(1, 6)
    )
    mixed = whole[:at] + noise + whole[at:]
    read = scan_segment(mixed)
    assert 0 <= read.readable_end <= read.size == len(mixed)
    known = {Record(i, PUT, b"k%d" % i) for i in range(1, 6)}
    assert all(r in known for r in (*read.records, *read.records_after_damage) if len(noise) < 20)
    marks.decode(noise)


# In service


def test_many_callers_share_a_sync_and_one_key_is_claimed_once(tmp_path: Path) -> None:
    async def test() -> None:
        store = Store(
            [RealFiles(tmp_path / "a")], SMALL, lambda: time.time() * 1000, lambda: time.monotonic() * 1000
        )
        writer = Writer(store)
        claims = [writer.claim(Item(b"%d" % (i // 2))) for i in range(400)]
        futures = [c for c in claims if isinstance(c, asyncio.Future)]
        assert len(futures) == 200 and claims.count(Standing.SENT) == 200
        await asyncio.gather(*futures)
        assert writer.group_count < 200 and writer.claim(Item(b"7")) is Standing.SENT
        writer.close()
        again = Store(
            [RealFiles(tmp_path / "a")], SMALL, lambda: time.time() * 1000, lambda: time.monotonic() * 1000
        )
        assert len(again.index) == 200
        again.close()

    asyncio.run(test())


@pytest.mark.parametrize("sync", list(Sync))
def test_a_writer_whose_disk_was_full_for_a_while_writes_again_by_itself(tmp_path: Path, sync: Sync) -> None:
    told: list[tuple[float, int]] = []
    store = Store([RealFiles(tmp_path)], SMALL, lambda: time.time() * 1000, lambda: time.monotonic() * 1000)
    writer = Writer(store, sync, interval=0.01, recovered=lambda *seen: told.append(seen))
    writer.put(Item(b"before")).result(10)
    with pytest.MonkeyPatch.context() as broken:
        broken.setattr(RealHandle, "write", full)
        writer.put(Item(b"meanwhile"))
        end = time.monotonic() + LIMIT
        while store.failure is None:
            assert time.monotonic() < end
            time.sleep(0.005)
        with pytest.raises(StoreFailed):
            writer.put(Item(b"refused at once")).result(0)
        time.sleep(0.3)  # a try or two
    while store.failure is not None:
        assert time.monotonic() < end
        time.sleep(0.005)
    writer.put(Item(b"after")).result(10)
    writer.close()
    ((_, tries),) = told
    assert tries > 1
    again = Store([RealFiles(tmp_path)], SMALL, lambda: time.time() * 1000, lambda: 0.0)
    assert {b"before", b"after"} <= set(again.index) and b"refused at once" not in again.index
    # What is acknowledged before it is written stays so.
    assert (b"meanwhile" in again.index) == (sync is Sync.INTERVAL)
    again.close()


def test_a_full_store_with_an_interval_forgets_nothing_it_acknowledged_and_takes_more_once_marks_are_over(
    tmp_path: Path,
) -> None:
    at = Time()
    options = Options(window=WINDOW, most=3)
    store = Store([RealFiles(tmp_path)], options, lambda: at.wall, lambda: at.tick)
    writer = Writer(store, Sync.INTERVAL, interval=0.01)
    acked: list[bytes] = []
    end = time.monotonic() + LIMIT
    while not writer.stuck:
        assert time.monotonic() < end
        key = b"%d" % len(acked)
        future = writer.put(Item(key, b"", int(store.now() + WINDOW)))
        if future.exception() is None:
            acked.append(key)
        time.sleep(0.005)
    assert {writer.standing(key) for key in acked} == {SENT}
    at.pass_(WINDOW + 1.0)
    while writer.stuck:
        assert time.monotonic() < end
        time.sleep(0.005)
    writer.put(Item(b"after")).result(10)
    writer.close()


@pytest.mark.parametrize("sync", list(Sync))
def test_each_way_to_sync_writes_all_in_the_end(tmp_path: Path, sync: Sync) -> None:
    store = Store([RealFiles(tmp_path)], SMALL, lambda: time.time() * 1000, lambda: time.monotonic() * 1000)
    writer = Writer(store, sync, interval=0.01)
    futures = [writer.put(Item(b"%d" % i)) for i in range(50)]
    for future in futures:
        future.result(10)
    writer.close()
    assert len(store.index) == 50


def test_a_second_process_is_kept_out(tmp_path: Path) -> None:
    def make() -> Store:
        return Store([RealFiles(tmp_path)], SMALL, lambda: WALL, lambda: 0.0)

    store = make()
    with pytest.raises(Locked):
        make()
    store.close()
    make().close()


CHILD = """
import sys, time
from pathlib import Path
from millgw.store.files import RealFiles
from millgw.store.store import Item, Options, Store
options = Options(60_000.0, 4000)
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
            [sys.executable, "-c", CHILD, str(tmp_path), str(round_ * 1_000_000)],
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
    assert len(acked) > 200 and all(store.standing(b"%d" % n) is Standing.SENT for n in acked)
    store.close()


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
