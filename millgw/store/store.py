"""The store: durable appends, an index in memory, incremental compaction, and recovery after a crash.

It is not thread-safe; `writer` lets many callers share one sync. A record is acknowledged once the kernel
has it, so that a crash of the process loses none; whether a power cut may is up to the caller of `append`.
With two directories (`mirrors`) every file has a copy, so that the loss of any single file loses no data.
With one directory, a lost tail is detected and handled safely: a key that can't be proven unsent is
`UNPROVEN` until the windows of all records that may have been lost have passed.

After a failed write or sync nothing is appended to the same files: their contents are unknown even if they
can be read, since the kernel marks the pages of a failed sync as clean. `recover` writes all acknowledged
records to new files that replace these; until it has succeeded nothing is acknowledged.
"""

from __future__ import annotations

import heapq
import os
from collections.abc import Callable, Iterator, Sequence
from contextlib import suppress
from dataclasses import dataclass
from enum import Enum

from millgw.store import clock as clocks
from millgw.store import high_water_mark as marks
from millgw.store.clock import ClockOffset
from millgw.store.files import DirectoryContents, Files, Handle
from millgw.store.high_water_mark import HighWaterMark
from millgw.store.record import (
    DELETE,
    END,
    PUT,
    FormatError,
    Record,
    SegmentHeader,
    encode_header,
    encode_record,
)
from millgw.store.recovery import DirectoryState, inspect_directory, segment_file_name

COMPACTION_FILE = "compact.new"
MAX_DEAD_SHARE = 0.5  # of the log's records: a larger share of dead ones makes compaction worthwhile
MIN_DEAD_RECORDS = 1000  # records; with fewer dead ones it is not worthwhile
COMPACTION_STEP_BYTES = 64 * 1024  # bytes that one step of a compaction writes
MAX_UNSYNCED_BYTES = 1024 * 1024  # of a compaction: a single sync of all of it would delay an append


class StoreError(OSError):
    """The store can't be used, or no longer; the message says why."""


class StoreDamaged(StoreError):
    """Data is unreadable and has no other copy. `places` name it; `readable` counts the readable records."""

    def __init__(self, places: Sequence[str], good: int) -> None:
        super().__init__(f"{'; '.join(places)}; {good} records can be read (store repair salvages them)")
        self.places = list(places)
        self.readable = good


class StoreFailed(StoreError):
    """A write or sync has failed: nothing is acknowledged until the store has recovered."""


class StoreFull(StoreError):
    """The store holds the maximum number of keys."""


class KeyState(Enum):
    """What the store can prove about a key."""

    SENT = "sent"
    UNSENT = "unsent"
    UNPROVEN = "unproven"  # records that may have held the key were lost


@dataclass(slots=True, frozen=True)
class StoreOptions:
    """`window_ms` is the longest lifetime of an entry; `max_keys` is the maximum number of keys."""

    window_ms: float = 24 * 3_600_000.0
    segment_bytes: int = 16 * 2**20  # size at which a new segment is started
    max_keys: int = 20_000_000


@dataclass(slots=True, frozen=True)
class Entry:
    """The current value of a key. `expires` is in Unix ms, 0 for never."""

    seq: int
    value: bytes
    expires: int


@dataclass(slots=True, frozen=True)
class Item:
    """A write: a value for a key, or the deletion of the key (None). `expires` is in Unix ms, 0 for never."""

    key: bytes
    value: bytes | None = b""
    expires: int = 0


class Store:
    """An open store. `wall_clock` and `monotonic_clock` return Unix and monotonic time in ms. The boot id (16
    bytes, empty if unknown) identifies the machine's boot, within which monotonic times are comparable.
    """

    def __init__(
        self,
        mirrors: Sequence[Files],
        options: StoreOptions,
        wall_clock: Callable[[], float],
        monotonic_clock: Callable[[], float],
        repair: bool = False,
        new_store_id: bytes = b"",
        boot_id: bytes = b"",
    ) -> None:
        """Open the store and load its contents. Raises StoreError or FormatError if that is impossible."""
        self.mirrors = list(mirrors)
        self.options = options
        self.wall_clock = wall_clock
        self.monotonic_clock = monotonic_clock
        self.boot_id = boot_id
        self.index: dict[bytes, Entry] = {}
        self.expiry: list[tuple[int, bytes]] = []
        self.failure: OSError | None = None
        self.segment_handles: list[Handle] = []
        self.mark_handles: list[list[Handle]] = []
        self.segment_size = 0  # bytes of records in the current segment
        self.unsynced = False  # whether the current segment has records that a power cut would lose
        self.record_count = 0  # in the log, including dead ones
        self.durable_generation = 0  # of the last durable mark
        self.notes: list[str] = []  # what recovery found, for operators
        self.compaction: Compaction | None = None
        try:
            for files in self.mirrors:
                files.lock()
            self._load(repair, new_store_id or os.urandom(16))
        except BaseException:
            self._release()
            raise

    # Recovery

    def _load(self, repair: bool, new_store_id: bytes) -> None:
        found = [self._inspect(files) for files in self.mirrors]
        non_empty = [f for f in found if not f.empty]
        if len({f.store_id for f in non_empty if f.store_id is not None}) > 1:
            raise StoreError("its directories belong to different stores")
        read_marks = [f.mark for f in non_empty if f.mark is not None]
        acked = max((m.acked for m in read_marks), default=0)
        intact = [f for f in non_empty if not f.damaged and not f.lost and f.last_seq >= acked]
        lost = bool(non_empty) and not intact
        if lost:
            readable = [f for f in non_empty if not f.damaged]
            places = [place for f in non_empty for place in f.damaged]
            if not readable and not repair:
                raise StoreDamaged(places, sum(len(f.records) + len(f.salvaged) for f in non_empty))
            chosen = non_empty if repair else readable
            self.notes += places + [place for f in chosen for place in f.lost]
        else:
            chosen = intact[:1]
            self.notes += [place for f in non_empty for place in (*f.damaged, *f.lost)]
        self.monotonic_at_open = self.monotonic_clock()
        self.time_at_open = max([self._current_time_at_open(), *(m.time for m in read_marks)])
        self.unproven_until = max((m.unproven_until for m in read_marks), default=0)
        if lost:
            self.unproven_until = max(self.unproven_until, int(self.now() + self.options.window_ms) + 1)
            self.notes.append("unknown keys count as sent until their window has passed")
        by_seq = {r.seq: r for f in chosen for r in (*f.records, *f.salvaged)}
        for seq in sorted(by_seq):
            self._apply(by_seq[seq])
        self.record_count = len(by_seq)
        self.last_seq = max([acked, *(f.last_seq for f in non_empty)], default=0)
        self.store_id = next((f.store_id for f in non_empty if f.store_id is not None), new_store_id)
        self.generation = self.durable_generation = max((m.generation for m in read_marks), default=0)
        self.segment_number = max((f.highest_segment for f in found), default=0)
        self.compaction_number = max((f.highest_compaction for f in found), default=0)
        self.segment_numbers = [h.number for f in chosen[:1] for h in f.headers]
        self.covers = 1
        identical = all(
            (f.store_id, f.last_seq, f.headers, f.mark is not None)
            == (found[0].store_id, found[0].last_seq, found[0].headers, True)
            for f in found
        )
        clean = identical and not any(f.torn or f.unused_files or f.lost or f.damaged for f in found)
        for files in self.mirrors:
            self.mark_handles.append([files.open(name) for name in marks.FILE_NAMES])
        try:
            if non_empty and not clean:
                self._rewrite()
            elif self.last_seq > acked:
                self._sync_tail(chosen[0])
            self._start_segment()
            if self.boot_id:
                self._save_clock()
        except OSError as error:
            raise StoreFailed(f"writing failed while it was opened: {error}") from error

    @staticmethod
    def _inspect(files: Files) -> DirectoryState:
        try:
            return inspect_directory(DirectoryContents(files))
        except FormatError as error:
            raise StoreError(str(error)) from error
        except OSError as error:
            return DirectoryState(damaged=[f"a file can't be read: {error}"])

    def _apply(self, record: Record) -> None:
        # Removed first, so that the index stays in the order of sequence numbers.
        self.index.pop(record.key, None)
        if record.kind == DELETE or (record.expires and record.expires <= self.now()):
            return
        self.index[record.key] = Entry(record.seq, record.value, record.expires)
        if record.expires:
            heapq.heappush(self.expiry, (record.expires, record.key))

    def _rewrite(self) -> None:
        """Write the whole index to one segment that replaces all others."""
        self.compaction = Compaction(self, self.segment_number + 1)
        self.segment_number += 1
        while not self.compaction.step(COMPACTION_STEP_BYTES):
            pass
        self.compaction = None

    def _sync_tail(self, found: DirectoryState) -> None:
        """Sync the last segment: a process that crashed has left records behind the mark, maybe unsynced."""
        name = segment_file_name(found.headers[-1])
        for files in self.mirrors:
            handle = files.open(name)
            try:
                handle.sync()
            finally:
                handle.close()

    # Time

    def now(self) -> float:
        """The store's time: Unix ms at its first opening since the machine's boot, plus the time since then.

        It never goes back, not even across restarts, so no closed window opens again. The wall clock is read
        only once per boot: a step forward would end every window early.
        """
        return self.time_at_open + self.monotonic_clock() - self.monotonic_at_open

    def _current_time_at_open(self) -> float:
        """Unix ms now: by the monotonic clock if it was open before in this boot, else by the wall clock."""
        offsets = []
        for files in self.mirrors:
            with suppress(OSError):
                saved = clocks.decode(files.read(clocks.FILE_NAME))
                if saved is not None and saved.boot_id == self.boot_id:
                    offsets.append(saved.offset)
        return self.monotonic_at_open + min(offsets) if offsets else self.wall_clock()

    def _save_clock(self) -> None:
        """Save the clock offset, so that the next process in this boot continues with the same time."""
        encoded = clocks.encode(ClockOffset(self.boot_id, self.time_at_open - self.monotonic_at_open))
        for files in self.mirrors:
            handle = files.create(clocks.TEMPORARY_NAME)
            try:
                handle.write(encoded)
                handle.sync()
            finally:
                handle.close()
            files.rename(clocks.TEMPORARY_NAME, clocks.FILE_NAME)
            files.sync_directory()

    # Reading

    def get(self, key: bytes) -> Entry | None:
        entry = self.index.get(key)
        return None if entry is None or (entry.expires and entry.expires <= self.now()) else entry

    def key_state(self, key: bytes) -> KeyState:
        """Whether a key was written, as far as can be proven."""
        if self.get(key) is not None:
            return KeyState.SENT
        return KeyState.UNPROVEN if self.now() < self.unproven_until else KeyState.UNSENT

    def entries(self, after: int = 0) -> Iterator[tuple[bytes, Entry]]:
        """A snapshot of the entries with sequence numbers above `after`, in order."""
        # Copied in one step, so that other uses of the store need not wait for a pass over all entries.
        for key, entry in list(self.index.items()):
            if entry.seq > after:
                yield key, entry

    # Writing

    def append(self, items: Sequence[Item], durable: bool = True) -> int:
        """Write items; returns the last sequence number.

        They survive a crash of the process; a power cut only if `durable`, or after the next `sync`.
        """
        if self.failure is not None:
            raise StoreFailed(f"it has failed: {self.failure}")
        self._remove_expired()
        if len(self.index) + sum(x.value is not None for x in items) > self.options.max_keys:
            raise StoreFull(f"it holds {len(self.index)} keys of at most {self.options.max_keys}")
        records = self._to_records(items)
        data = b"".join(encode_record(r) for r in records)
        try:
            self.unsynced = True
            for handle in self.segment_handles:
                handle.write(data)
            if durable:
                self._sync_segment()
            self.last_seq += len(records)
            if durable:
                self._write_mark()
            self.segment_size += len(data)
            for record in records:
                self._apply(record)
            self.record_count += len(records)
            if self.segment_size >= self.options.segment_bytes:
                self._start_segment()
        except OSError as error:
            self.failure = error
            raise StoreFailed(f"a write failed: {error}") from error
        return self.last_seq

    def sync(self) -> None:
        """Make everything that was appended durable; StoreFailed if that fails."""
        if self.failure is not None:
            raise StoreFailed(f"it has failed: {self.failure}")
        if not self.unsynced:
            return
        try:
            self._write_mark()
        except OSError as error:
            self.failure = error
            raise StoreFailed(f"a sync failed: {error}") from error

    def _sync_segment(self) -> None:
        if self.unsynced:
            for handle in self.segment_handles:
                handle.sync()
            self.unsynced = False

    def _to_records(self, items: Sequence[Item]) -> list[Record]:
        """Records of the items, with the next sequence numbers."""
        return [
            Record(self.last_seq + i, DELETE if x.value is None else PUT, x.key, x.value or b"", x.expires)
            for i, x in enumerate(items, 1)
        ]

    def _write_mark(self) -> None:
        """Write and sync a mark with the current last sequence number, up to which all is durable by then."""
        self._sync_segment()
        self.generation += 1
        if self.generation % 2 == self.durable_generation % 2:
            self.generation += 1  # never overwrite the last durable mark
        encoded = marks.encode(
            HighWaterMark(
                self.generation,
                self.store_id,
                self.last_seq,
                int(self.now()),
                int(self.unproven_until),
                tuple(self.segment_numbers),
            )
        )
        for pair in self.mark_handles:
            pair[self.generation % 2].overwrite(encoded)
        for pair in self.mark_handles:
            pair[self.generation % 2].sync()
        self.durable_generation = self.generation

    def _start_segment(self) -> None:
        """Start a new segment for further appends."""
        self._sync_segment()
        self.segment_number += 1
        header = SegmentHeader(self.store_id, self.segment_number, self.segment_number, 0, self.last_seq + 1)
        close_all(self.segment_handles)
        for files in self.mirrors:
            handle = files.create(segment_file_name(header))
            self.segment_handles.append(handle)
            handle.write(encode_header(header))
            handle.sync()
            files.sync_directory()
        self.segment_numbers.append(self.segment_number)
        self.segment_size = 0
        self._write_mark()

    def _remove_expired(self) -> None:
        now = self.now()
        while self.expiry and self.expiry[0][0] <= now:
            at, key = heapq.heappop(self.expiry)
            entry = self.index.get(key)
            if entry is not None and entry.expires == at:
                del self.index[key]

    # Compaction

    def wants_compaction(self) -> bool:
        dead = self.record_count - len(self.index)
        return self.compaction is None and dead > max(MIN_DEAD_RECORDS, MAX_DEAD_SHARE * self.record_count)

    def compact(self, max_bytes: int = COMPACTION_STEP_BYTES) -> bool:
        """Write about `max_bytes` more of a compaction, up to a record over; returns whether it is done."""
        if self.failure is not None:
            raise StoreFailed(f"it has failed: {self.failure}")
        try:
            if self.compaction is None:
                last_segment = self.segment_number
                self._remove_expired()
                compaction = Compaction(self, last_segment)
                self._start_segment()
                self.compaction = compaction
            done = self.compaction.step(max_bytes)
        except OSError as error:
            self.failure = error
            raise StoreFailed(f"a compaction failed: {error}") from error
        if done:
            self.compaction = None
        return done

    # After a failure

    def recover(self) -> None:
        """Write all acknowledged records to new files, and append to those from now on.

        Takes as long as writing the whole index. Raises StoreFailed while the disks still fail.
        """
        if self.failure is None:
            return
        try:
            self._close_segments()
            self._rewrite()
            self._start_segment()
        except OSError as error:
            self.failure = error
            self._remove_unfinished()
            raise StoreFailed(f"a recovery failed: {error}") from error
        self.failure = None

    def _close_segments(self) -> None:
        """Close the current segment and abandon a compaction in progress."""
        close_all(self.segment_handles)
        self.unsynced = False
        if self.compaction is not None:
            close_all(self.compaction.handles)
            self.compaction = None

    def _remove_unfinished(self) -> None:
        """Free the disk space that a failed recovery has used."""
        for files in self.mirrors:
            with suppress(OSError):
                if COMPACTION_FILE in files.names():
                    files.remove(COMPACTION_FILE)

    def close(self) -> None:
        """Make everything durable, where the store has not failed, and close the files."""
        with suppress(StoreFailed):
            self.sync()
        self._release()

    def _release(self) -> None:
        self._close_segments()
        for pair in self.mark_handles:
            close_all(pair)
        self.mark_handles = []
        for files in self.mirrors:
            files.close()


def close_all(handles: list[Handle]) -> None:
    """Close and drop the handles: a second close could hit a descriptor that was reused for another file."""
    while handles:
        with suppress(OSError):
            handles.pop().close()


class Compaction:
    """Merges the segments up to `last_segment` into one, in steps; the old ones count until the rename."""

    def __init__(self, store: Store, last_segment: int) -> None:
        self.store = store
        self.replaced = [n for n in store.segment_numbers if n <= last_segment]
        store.compaction_number += 1
        self.last_seq = store.last_seq
        self.remaining = iter([*store.index.items()])  # a snapshot: later records go to later segments
        self.header = SegmentHeader(store.store_id, last_segment, 1, store.compaction_number, 1)
        self.records_before = store.record_count
        self.records_written = 0
        self.unsynced_bytes = 0
        self.handles: list[Handle] = []
        try:
            for files in store.mirrors:
                self.handles.append(files.create(COMPACTION_FILE))
            for handle in self.handles:
                handle.write(encode_header(self.header))
        except OSError:
            close_all(self.handles)
            raise

    def step(self, max_bytes: int) -> bool:
        """Write the next records; returns True once the new segment has replaced the old ones."""
        parts, size = [], 0
        for key, entry in self.remaining:
            parts.append(encode_record(Record(entry.seq, PUT, key, entry.value, entry.expires)))
            size += len(parts[-1])
            if size >= max_bytes:
                break
        self.records_written += len(parts)
        data = b"".join(parts)
        self.unsynced_bytes += len(data)
        for handle in self.handles:
            if data:
                handle.write(data)
        if self.unsynced_bytes >= MAX_UNSYNCED_BYTES:
            for handle in self.handles:
                handle.sync()
            self.unsynced_bytes = 0
        if size >= max_bytes:
            return False
        self._finish()
        return True

    def _finish(self) -> None:
        store = self.store
        for handle in self.handles:
            handle.write(encode_record(Record(self.last_seq, END, b"")))
            handle.sync()
        close_all(self.handles)
        compacted_name = segment_file_name(self.header)
        for files in store.mirrors:
            files.rename(COMPACTION_FILE, compacted_name)
            files.sync_directory()
        newer = [n for n in store.segment_numbers if n > self.header.number]
        store.segment_numbers = [self.header.number, *newer]
        store._write_mark()
        for files in store.mirrors:
            for name in files.names():
                if (
                    name != compacted_name
                    and name.startswith("seg-")
                    and int(name[4:12]) <= self.header.number
                ):
                    files.remove(name)
            files.sync_directory()
        store.record_count += self.records_written - self.records_before
