"""The intents' log in a `Store`: opened in a thread beside the event loop, and written by a `Writer`."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Sequence
from concurrent.futures import Future
from dataclasses import dataclass
from pathlib import Path

from millgw.http.message import FAILED, Answer, text_answer
from millgw.http.request import Head
from millgw.intents.registry import Intent, IntentRegistry, Refusal, WriteCallback
from millgw.log.events import log_event
from millgw.store.files import RealFiles, StoreLocked, boot_id
from millgw.store.record import FormatError
from millgw.store.store import Item, KeyState, Store, StoreOptions
from millgw.store.writer import SyncPolicy, Writer

REOPEN_DELAY = 0.05  # s between attempts to open a store that another process of this sidecar has locked
MEMORY_SHARE = 1 / 4  # share of the sidecar's memory limit for marks
MARK_BYTES = 450  # bytes of memory for one mark, as measured (docs/design/store.md)
DESCRIPTORS = 16  # open files of a store with two mirrors at most, including those of a compaction
CONFLICT = 409


@dataclass(slots=True, frozen=True)
class IntentSettings:
    """Settings of the store: its directories (two are mirrors), how it syncs, how long a mark is kept (ms),
    the header with a client's own key (lower case, may be empty), and the maximum number of marks."""

    directories: tuple[str, ...]
    sync: SyncPolicy
    keep_ms: float
    key_header: bytes
    max_marks: int


class StoreMarkLog:
    """Marks in a store, written in the writer's thread."""

    def __init__(self, writer: Writer, keep_ms: float, loop: asyncio.AbstractEventLoop) -> None:
        self.writer = writer
        self.keep_ms = keep_ms
        self.loop = loop

    def standing(self, key: bytes) -> KeyState:
        return self.writer.key_state(key)

    def mark(self, keys: Sequence[bytes], done: WriteCallback) -> None:
        expires = int(self.writer.store.now() + self.keep_ms)
        self._call_when_done([self.writer.put(Item(key, b"", expires)) for key in keys], done)

    def clear(self, keys: Sequence[bytes], done: WriteCallback) -> None:
        self._call_when_done([self.writer.put(Item(key, None)) for key in keys], done)

    def _call_when_done(self, futures: list[Future[int]], done: WriteCallback) -> None:
        """Once all futures are done, call `done` in the event loop with whether all succeeded."""
        ended = itertools.count(1)

        def one(future: Future[int]) -> None:
            # Runs in the writer's thread, or at once if the store has failed or no sync is awaited.
            if next(ended) == len(futures):
                failed = next((error for f in futures if (error := f.exception()) is not None), None)
                if failed is not None:
                    log_event("store-failed", cause=failed)
                self.loop.call_soon_threadsafe(done, failed is None)

        for future in futures:
            future.add_done_callback(one)


def _log_recovery(failed_for: float, tries: int) -> None:
    log_event("store-writes-again", after_ms=failed_for * 1000, tries=tries)


class Intents:
    """Intents of one process, backed by its store. Until the store is open, unsafe calls wait."""

    descriptors = DESCRIPTORS

    def __init__(self, settings: IntentSettings) -> None:
        self.settings = settings
        self.registry: IntentRegistry | None = None
        self.writer: Writer | None = None
        self.opening: asyncio.Task[None] | None = None
        self.waiting_for_store: list[Intent] = []  # calls that wait for the store to be opened

    async def begin(self) -> None:
        """Open the store. If it is locked, return and retry in a background task."""
        if not await self._open():
            self.opening = asyncio.create_task(self._retry_open())

    async def _retry_open(self) -> None:
        while not await self._open():
            self.waiting_for_store = [call for call in self.waiting_for_store if not call.ended]
            await asyncio.sleep(REOPEN_DELAY)

    def idle(self) -> bool:
        """Whether the store is open, no unsafe call is in progress, and no mark is being removed."""
        return self.registry is not None and not self.registry.open and not self.registry.pending_removals

    async def _open(self) -> bool:
        """Try to open the store; False if it is locked and has to be tried again."""
        try:
            store = await asyncio.to_thread(self._make_store)
        except StoreLocked as error:
            log_event("store-locked", cause=error)
            return False
        except (OSError, FormatError) as error:
            # Calls that need no marks are still served; an operator has to repair the store.
            log_event("store-unusable", cause=error)
            for call in self.waiting_for_store:
                call.set_durable(False)
            self.waiting_for_store.clear()
            return True
        for note in store.notes:
            log_event("store-recovered", note=note)
        self.writer = Writer(store, self.settings.sync, on_recovered=_log_recovery)
        loop = asyncio.get_running_loop()
        self.registry = IntentRegistry(StoreMarkLog(self.writer, self.settings.keep_ms, loop))
        log_event(
            "store-open",
            keys=len(store.index),
            sync=self.settings.sync.value,
            waited=len(self.waiting_for_store),
        )
        for call in self.waiting_for_store:
            call.log_opened(self.registry)
        self.waiting_for_store.clear()
        return True

    def _make_store(self) -> Store:
        directories = []
        for directory in self.settings.directories:
            Path(directory).mkdir(parents=True, exist_ok=True)
            directories.append(RealFiles(Path(directory)))
        options = StoreOptions(window_ms=self.settings.keep_ms, max_keys=self.settings.max_marks)
        return Store(
            directories,
            options,
            lambda: time.time() * 1000,
            lambda: time.monotonic() * 1000,
            boot_id=boot_id(),
        )

    def stop(self) -> None:
        """Write all pending marks and close the store."""
        if self.opening is not None:
            self.opening.cancel()
        if self.writer is not None:
            self.writer.close()
            self.writer = self.registry = None

    def take(self, pool: str, head: Head) -> Intent | Answer:
        """The intent of an unsafe call, or the answer to one that must not be sent."""
        keys = self._keys(pool.encode(), head)
        if self.registry is not None:
            taken = self.registry.take(keys)
            if isinstance(taken, Intent):
                return taken
            trace = head.headers[b"x-trace-id"].decode("latin-1")
            log_event("not-sent-again", trace=trace, cause=taken.value)
            return text_answer(CONFLICT if taken is Refusal.OPEN else FAILED, taken.value)
        if self.opening is not None and not self.opening.done():
            self.waiting_for_store.append(Intent(None, keys))
            return self.waiting_for_store[-1]
        # Not a 503, which would promise that the call never ran: another process may have sent it.
        return text_answer(FAILED, "what was sent before is not known yet")

    def _keys(self, pool: bytes, head: Head) -> tuple[bytes, ...]:
        values = head.headers
        keys = [b"%b\0trace\0%b" % (pool, values[b"x-trace-id"])]
        own = head.header(self.settings.key_header) if self.settings.key_header else b""
        if own:
            keys.append(b"%b\0key\0%b\0%b" % (pool, values.get(b"x-customer", b""), own))
        return tuple(keys)
