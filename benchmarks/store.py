"""Measures the store: appends beside SQLite on the same disk, compaction's effect on them, recovery.

    python -m benchmarks.store appends [DIR]    # by way to sync and writers, and SQLite (WAL, FULL)
    python -m benchmarks.store recovery [DIR]   # time and memory at 1e5, 1e6 and 1e7 keys
    python -m benchmarks.store truncation [DIR] # every file cut, beside SQLite (WAL, FULL) and LMDB
    python -m benchmarks.store space [DIR]      # bytes on the disk for each of what stands
    python -m benchmarks.store compaction [DIR] # p99 of appends without and with a compaction going on

Wants an idle machine.
"""

from __future__ import annotations

import os
import resource
import shutil
import sqlite3
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path

from millgw.rehearsal.audit.lateness import quantile
from millgw.store.files import RealFiles
from millgw.store.record import RECORD_SIZE
from millgw.store.store import COMPACTION_STEP_BYTES, Item, KeyState, Store, StoreOptions
from millgw.store.writer import SyncPolicy, Writer

SECONDS = 2.0
VALUE = b"v" * 16


def opened(*folders: Path) -> Store:
    return Store(
        [RealFiles(f) for f in folders],
        StoreOptions(),
        lambda: time.time() * 1000,
        lambda: time.monotonic() * 1000,
    )


def drive(writers: int, put: Callable[[bytes], None]) -> tuple[float, list[float]]:
    """Appends a second, and each one's ms, by so many threads that wait for each of theirs."""
    took: list[list[float]] = [[] for _ in range(writers)]
    end = time.monotonic() + SECONDS

    def work(number: int) -> None:
        i = 0
        while time.monotonic() < end:
            begun = time.monotonic()
            put(b"%04x-%08x" % (number, i))
            took[number].append((time.monotonic() - begun) * 1000)
            i += 1

    threads = [threading.Thread(target=work, args=(n,)) for n in range(writers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    all_of_them = [ms for of in took for ms in of]
    return len(all_of_them) / SECONDS, all_of_them


def appends(root: Path) -> None:
    print("| store | writers | appends/s | p50 ms | p99 ms | p99.9 ms |")
    print("| --- | --- | --- | --- | --- | --- |")

    def row(name: str, writers: int, put: Callable[[bytes], None]) -> None:
        rate, took = drive(writers, put)
        cells = " | ".join(f"{quantile(took, q):.2f}" for q in (0.5, 0.99, 0.999))
        print(f"| {name} | {writers} | {rate:.0f} | {cells} |", flush=True)

    for writers in (1, 16, 64):
        for sync in SyncPolicy:
            writer = Writer(opened(root / f"{sync.value}{writers}"), sync)
            row(sync.value, writers, lambda key, w=writer: (w.put(Item(key, VALUE)).result(), None)[1])  # type: ignore[misc]
            writer.close()
        writer = Writer(opened(root / f"a{writers}", root / f"b{writers}"))
        row("group, mirrors", writers, lambda key, w=writer: (w.put(Item(key, VALUE)).result(), None)[1])  # type: ignore[misc]
        writer.close()
        path = root / f"sqlite{writers}.db"
        local = threading.local()

        def insert(key: bytes, path: Path = path, local: threading.local = local) -> None:
            if not hasattr(local, "db"):
                local.db = sqlite3.connect(path, timeout=30, isolation_level=None)
                local.db.execute("PRAGMA journal_mode=WAL")
                local.db.execute("PRAGMA synchronous=FULL")
                local.db.execute("CREATE TABLE IF NOT EXISTS t (k BLOB PRIMARY KEY, v BLOB) WITHOUT ROWID")
            local.db.execute("INSERT OR REPLACE INTO t VALUES (?, ?)", (key, VALUE))

        row("SQLite", writers, insert)


def recovery(root: Path) -> None:
    print("| keys | log MB | written in s | opened in s | MB of memory at the most |")
    print("| --- | --- | --- | --- | --- |")
    for count in (100_000, 1_000_000, 10_000_000):
        folder = root / str(count)
        store = opened(folder)
        begun = time.monotonic()
        for i in range(0, count, 1000):
            store.append([Item(b"%016x" % (i + n), VALUE) for n in range(1000)])
        wrote = time.monotonic() - begun
        store.close()
        size = sum(p.stat().st_size for p in folder.iterdir()) / 2**20
        got = subprocess.run(
            [sys.executable, "-m", "benchmarks.store", "open", str(folder)],
            capture_output=True,
            text=True,
            check=True,
        )
        took, memory = got.stdout.split()
        print(f"| {count} | {size:.0f} | {wrote:.1f} | {took} | {memory} |", flush=True)
        shutil.rmtree(folder)


def open_only(folder: Path) -> None:
    begun = time.monotonic()
    store = opened(folder)
    took = time.monotonic() - begun
    print(f"{took:.2f} {resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024:.0f}")
    store.close()


def compaction(root: Path) -> None:
    print("| compaction | appends | p50 ms | p99 ms | most ms |")
    print("| --- | --- | --- | --- | --- |")
    store = opened(root / "c")
    for i in range(0, 200_000, 1000):
        store.append([Item(b"%016x" % ((i + n) % 120_000), VALUE) for n in range(1000)])
    for going in (False, True):
        took, number = [], 0
        end = time.monotonic() + SECONDS
        while time.monotonic() < end:
            begun = time.monotonic()
            if going:
                store.compact()  # a step before each: the most that a writer's idle moments would do
            store.append([Item(b"n%015x" % number, VALUE)])
            took.append((time.monotonic() - begun) * 1000)
            number += 1
        print(
            f"| {'a step before each' if going else 'none'} | {len(took)} | {quantile(took, 0.5):.2f}"
            f" | {quantile(took, 0.99):.2f} | {max(took):.1f} |",
            flush=True,
        )
    store.close()


def space(root: Path) -> None:
    """Bytes on the disk for each of what stands, while keys come, go and are compacted as they would be."""
    print("| keys standing | records written | most on disk MB | of what stands | after a compaction |")
    print("| --- | --- | --- | --- | --- |")
    folder = root / "space"
    folder.mkdir()
    store = opened(folder)
    standing, wrote, most = 50_000, 0, 0
    for i in range(0, 20 * standing, 1000):
        store.append([Item(b"%016x" % (i + n), VALUE) for n in range(1000)])
        if i >= standing:
            store.append([Item(b"%016x" % (i + n - standing), None) for n in range(1000)])
            wrote += 1000
        wrote += 1000
        if store.compaction is not None or store.wants_compaction():
            store.compact(64 * COMPACTION_STEP_BYTES)
        most = max(most, sum(p.stat().st_size for p in folder.iterdir()))
    live = sum(RECORD_SIZE + len(key) + len(entry.value) for key, entry in store.entries())
    while not store.compact():
        pass
    after = sum(p.stat().st_size for p in folder.iterdir())
    print(
        f"| {len(store.index)} | {wrote} | {most / 2**20:.1f} | {most / live:.1f} | {after / live:.2f} |",
        flush=True,
    )
    store.close()


CUT_KEYS = 60  # acknowledged, one by one, before a file is cut
CUTS = 1500  # of one file at the most, evenly spread
KEYS = [b"key-%04d" % number for number in range(CUT_KEYS)]


def _ours(folder: Path) -> Callable[[], list[bool]]:
    """Whether each key is known, or said not to be proven: what it calls unsent is lost without a word."""
    folder.mkdir()
    store = opened(folder)
    for key in KEYS:
        store.append([Item(key, VALUE)])
    store.close()

    def look() -> list[bool]:
        store = opened(folder)
        return [store.key_state(key) is not KeyState.UNSENT for key in KEYS]

    return look


def _sqlite(folder: Path) -> Callable[[], list[bool]]:
    folder.mkdir()
    made = sqlite3.connect(folder / "db", isolation_level=None)
    made.execute("PRAGMA journal_mode=WAL")
    made.execute("PRAGMA synchronous=FULL")
    made.execute("CREATE TABLE sent (key BLOB PRIMARY KEY, value BLOB)")
    for key in KEYS:
        made.execute("INSERT INTO sent VALUES (?, ?)", (key, VALUE))
    # As a crash leaves them: a close would put the log's pages into the database.
    for name in ("db", "db-wal"):
        shutil.copyfile(folder / name, folder / f"{name}.kept")
    made.close()
    for path in folder.iterdir():
        if not path.name.endswith(".kept"):
            path.unlink()
    for name in ("db", "db-wal"):
        (folder / f"{name}.kept").rename(folder / name)

    def look() -> list[bool]:
        made = sqlite3.connect(folder / "db")
        known = {bytes(row[0]) for row in made.execute("SELECT key FROM sent")}
        return [key in known for key in KEYS]

    return look


def _lmdb(folder: Path) -> Callable[[], list[bool]]:
    import lmdb

    folder.mkdir()
    made = lmdb.open(str(folder), map_size=1 << 24)
    for key in KEYS:
        with made.begin(write=True) as transaction:
            transaction.put(key, VALUE)
    made.close()
    (folder / "lock.mdb").unlink()

    def look() -> list[bool]:
        with lmdb.open(str(folder), map_size=1 << 24).begin() as transaction:
            return [transaction.get(key) is not None for key in KEYS]

    return look


def _outcome(look: Callable[[], list[bool]]) -> str:
    """What an opening comes to, in a process of its own: one may end by a signal."""
    child = os.fork()
    if child == 0:
        code = 3
        try:
            code = 0 if all(look()) else 1
        except Exception:  # every library has errors of its own
            code = 2
        finally:
            os._exit(code)
    status = os.waitpid(child, 0)[1]
    return "crashed" if os.WIFSIGNALED(status) else ("whole", "silent", "refused", "refused")[status >> 8]


def truncation(root: Path) -> None:
    print("| store | file | bytes | cuts | all there or said | refused | lost without a word | crashed |")
    print("| " + "--- | " * 8)
    for name, make in (("otterslip", _ours), ("SQLite", _sqlite), ("LMDB", _lmdb)):
        look = make(root / name)
        kept = root / f"{name}-kept"
        shutil.copytree(root / name, kept)
        for path in sorted(kept.iterdir()):
            size = path.stat().st_size
            step = max(1, size // CUTS)
            counts = dict.fromkeys(("whole", "refused", "silent", "crashed"), 0)
            cuts = range(0, size, step)
            for at in cuts:
                shutil.rmtree(root / name)
                shutil.copytree(kept, root / name)
                os.truncate(root / name / path.name, at)
                counts[_outcome(look)] += 1
            row = (name, path.name, size, len(cuts), *counts.values())
            print("| " + " | ".join(map(str, row)) + " |", flush=True)


if __name__ == "__main__":
    jobs = {
        "appends": appends, "recovery": recovery, "compaction": compaction, "truncation": truncation,
        "space": space, "open": open_only,
    }  # fmt: skip
    if len(sys.argv) not in (2, 3) or sys.argv[1] not in jobs:
        raise SystemExit(__doc__)
    if len(sys.argv) == 3:
        jobs[sys.argv[1]](Path(sys.argv[2]))
    else:
        with tempfile.TemporaryDirectory() as made:
            jobs[sys.argv[1]](Path(made))
