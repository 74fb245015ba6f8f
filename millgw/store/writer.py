"""A writer thread that lets many callers share a sync, so that the event loop never waits for the disk.

each      every record is synced by itself
group     records that arrive during a sync share the next one (group commit)
interval  records are acknowledged once the kernel has them, and synced at intervals: a power cut loses those
          since the last sync, a crash of the process none
"""

from __future__ import annotations

import asyncio
import math
import queue
import threading
import time
from collections.abc import Callable
from concurrent.futures import Future
from contextlib import suppress
from enum import Enum

from millgw.store.store import Item, KeyState, Store, StoreFailed

MAX_GROUP_RECORDS = 1000  # records written with one sync
MAX_IDLE_WAIT = 1.0  # s
IDLE_COMPACTION_PAUSE = 0.005  # s between two compaction steps while nothing is written
MIN_RECOVERY_WAIT, MAX_RECOVERY_WAIT = (
    0.1,
    5.0,
)  # s between two attempts to recover a failed store; doubles


class SyncPolicy(Enum):
    EACH = "each"
    GROUP = "group"
    INTERVAL = "interval"


class Writer:
    """Writes to a store in its own thread. All methods but `close` may be called on the event loop's thread.

    While the store does not accept writes nothing is acknowledged, and recovery is retried with exponential
    backoff. After it the recovery callback is called, in the writer's thread, with the length of the outage
    (s) and the number of attempts.
    """

    def __init__(
        self,
        store: Store,
        sync: SyncPolicy = SyncPolicy.GROUP,
        interval_s: float = 0.1,
        on_recovered: Callable[[float, int], None] = lambda _, __: None,
    ) -> None:
        self.store = store
        self.sync = sync
        self.interval_s = interval_s
        self.queue: queue.SimpleQueue[tuple[Item, Future[int]] | None] = queue.SimpleQueue()
        self.pending_keys: set[bytes] = set()  # keys whose write is not acknowledged yet
        self.group_count = 0
        self.next_sync_at = math.inf  # monotonic s; set while records wait for a sync
        self.on_recovered = on_recovered
        self.failed_at = 0.0  # monotonic s, while it is stuck
        self.recovery_attempts = 0  # since then
        self.next_recovery_at = 0.0
        self.thread = threading.Thread(target=self._run, name="store", daemon=True)
        self.thread.start()

    def claim(self, item: Item) -> KeyState | asyncio.Future[int]:
        """Write a key that was not written before: a future that ends once it is durable, else its state.

        Of two concurrent claims of one key, the second gets SENT.
        """
        standing = self.key_state(item.key)
        if standing is not KeyState.UNSENT:
            return standing
        return asyncio.wrap_future(self.put(item))

    def key_state(self, key: bytes) -> KeyState:
        """What the store can prove about a key; a key that is being written counts as sent."""
        return KeyState.SENT if key in self.pending_keys else self.store.key_state(key)

    def put(self, item: Item) -> Future[int]:
        """Queue an item; the future yields the last sequence number of its group."""
        future: Future[int] = Future()
        if self.store.failure is not None:
            future.set_exception(StoreFailed(f"it has failed: {self.store.failure}"))
            return future
        self.pending_keys.add(item.key)
        self.queue.put((item, future))
        return future

    def close(self) -> None:
        """Write all queued items, and close the store; a store that has failed is tried once more."""
        self.queue.put(None)
        self.thread.join()
        with suppress(OSError):
            self.store.recover()
        self.store.close()

    def _run(self) -> None:
        while True:
            group, closing = self._next_group()
            if group:
                self._write(group)
            elif not closing:
                self._maintain()
            if closing:
                return
            if time.monotonic() >= self.next_sync_at:
                self._sync()
            if self.store.failure is not None:
                self._recover()

    def _next_group(self) -> tuple[list[tuple[Item, Future[int]]], bool]:
        """The items to write next, empty after an idle wait, and whether the writer is closing."""
        try:
            first = self.queue.get(timeout=self._idle_time())
        except queue.Empty:
            return [], False
        if first is None:
            return [], True
        group = [first]
        if self.sync is SyncPolicy.EACH:
            return group, False
        while len(group) < MAX_GROUP_RECORDS:
            try:
                following = self.queue.get_nowait()
            except queue.Empty:
                break
            if following is None:
                return group, True
            group.append(following)
        return group, False

    def _idle_time(self) -> float:
        """How long (s) to wait for an item."""
        if self.store.failure is not None:
            return max(0.0, self.next_recovery_at - time.monotonic())
        wait = MAX_IDLE_WAIT
        if self.store.compaction is not None or self.store.wants_compaction():
            wait = IDLE_COMPACTION_PAUSE
        return max(0.0, min(wait, self.next_sync_at - time.monotonic()))

    def _recover(self) -> None:
        """Try to recover a stuck store, if an attempt is due."""
        now = time.monotonic()
        if not self.recovery_attempts:
            self.failed_at = now
        elif now < self.next_recovery_at:
            return
        self.recovery_attempts += 1
        try:
            self.store.recover()
        except OSError:
            wait = min(MAX_RECOVERY_WAIT, MIN_RECOVERY_WAIT * 2.0 ** min(self.recovery_attempts - 1, 30))
            self.next_recovery_at = time.monotonic() + wait
            return
        self.on_recovered(time.monotonic() - self.failed_at, self.recovery_attempts)
        self.recovery_attempts = 0

    def _write(self, group: list[tuple[Item, Future[int]]]) -> None:
        self.group_count += 1
        settle: Callable[[Future[int]], None]
        puts_sync_off = self.sync is SyncPolicy.INTERVAL
        try:
            last_seq = self.store.append([item for item, _ in group], durable=not puts_sync_off)
        except OSError as error:
            failed = error
            settle = lambda future: future.set_exception(failed)  # noqa: E731
        else:
            settle = lambda future: future.set_result(last_seq)  # noqa: E731
            if puts_sync_off and self.next_sync_at == math.inf:
                self.next_sync_at = time.monotonic() + self.interval_s
        for item, future in group:
            self.pending_keys.discard(item.key)
            if not future.cancelled():
                settle(future)

    def _sync(self) -> None:
        self.next_sync_at = math.inf
        with suppress(OSError):  # the store keeps the failure, and is recovered
            self.store.sync()

    def _maintain(self) -> None:
        if self.store.failure is None and (
            self.store.compaction is not None or self.store.wants_compaction()
        ):
            try:
                self.store.compact()
            except OSError:
                return  # the store keeps the failure and raises it on the next write
