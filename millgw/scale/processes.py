"""The run's side of its processes: started, spoken to, listened to, and ended whatever happens."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import TypeVar

from millgw.rehearsal.cleanup_process import CleanupProcess
from millgw.scale.messages import Failed, Order, Seen, Word, decode_word, encode
from millgw.scale.worker import LONGEST_ORDER

ROOT = Path(__file__).resolve().parents[2]
ANSWER_TIME = 60.0  # s that a process has for an answer, on a machine that is busy
END_TIME = 2.0  # s that a process has to end by itself
LOG_TAIL = 600  # bytes of a process's log that a message quotes

W = TypeVar("W", bound=Word)


class ProcessLost(OSError):
    """A process of the run has ended, or can't do its work: the run tells nothing."""


class Process:
    """One of them. Sightings go to `seen`, other words to who waits for them."""

    def __init__(self, name: str, folder: Path, keeper: CleanupProcess, seen: Callable[[Seen], None]) -> None:
        self.name = name
        self.log = folder / f"{name}.log"
        self.keeper = keeper
        self.seen = seen
        self.words: asyncio.Queue[Word | None] = asyncio.Queue()
        self.process: asyncio.subprocess.Process | None = None
        self.reading: asyncio.Task[None] | None = None

    async def start(self, module: str, *words: str) -> None:
        """Start `python -m module words`, in a process group of its own."""
        paths = [str(ROOT), *filter(None, [os.environ.get("PYTHONPATH")])]
        environ = {k: v for k, v in os.environ.items() if not k.startswith("BALANCER_")}
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                *words,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                env=environ | {"PYTHONPATH": os.pathsep.join(paths)},
                start_new_session=True,
                limit=LONGEST_ORDER,
            )
        self.keeper.process_started(self.process.pid)
        self.reading = asyncio.create_task(self._read())

    async def _read(self) -> None:
        assert self.process is not None and self.process.stdout is not None
        while line := await self.process.stdout.readline():
            word = decode_word(line)
            if isinstance(word, Seen):
                self.seen(word)
            else:
                self.words.put_nowait(word)
        self.words.put_nowait(None)

    def say(self, order: Order) -> None:
        """Give an order."""
        assert self.process is not None and self.process.stdin is not None
        self.process.stdin.write(encode(order))

    async def expect(self, kind: type[W]) -> W:
        """The next word of a kind; a ProcessLost tells that none will come."""
        try:
            async with asyncio.timeout(ANSWER_TIME):
                while True:
                    word = await self.words.get()
                    if word is None or isinstance(word, Failed):
                        cause = self.tail() if word is None else word.cause
                        raise ProcessLost(f"{self.name} has ended: {cause}")
                    if isinstance(word, kind):
                        return word
        except TimeoutError:
            raise ProcessLost(f"{self.name} does not answer") from None

    def kill(self) -> None:
        """Have it gone without a word."""
        if self.process is not None:
            with suppress(ProcessLookupError):
                os.killpg(self.process.pid, signal.SIGKILL)

    @property
    def lost(self) -> bool:
        """Whether it has ended."""
        return self.process is None or self.process.returncode is not None

    def tail(self) -> str:
        """The last line of its log."""
        with suppress(OSError):
            lines = self.log.read_bytes()[-LOG_TAIL:].decode(errors="replace").split("\n")
            return next((line for line in reversed(lines) if line.strip()), "it said nothing")
        return "it said nothing"

    async def end(self) -> None:
        """Have it end: by the end of its input, and by SIGKILL to its group if that takes too long."""
        if self.process is None:
            return
        if self.process.stdin is not None:
            self.process.stdin.close()
        try:
            async with asyncio.timeout(END_TIME):
                await self.process.wait()
        except TimeoutError:
            with suppress(ProcessLookupError):
                os.killpg(self.process.pid, signal.SIGKILL)
            await self.process.wait()
        self.keeper.process_ended(self.process.pid)
        if self.reading is not None:
            self.reading.cancel()
