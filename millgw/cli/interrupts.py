"""Commands that a signal ends: their work is cancelled between two callbacks of the loop.

`asyncio.run` by itself cancels from the signal's handler, and so in the middle of whichever callback runs:
one that has found its future pending then sets the result of a cancelled one, which is logged as a failure.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Coroutine, Iterable
from typing import Any, TypeVar

T = TypeVar("T")


async def cancel_on_signals(
    work: Awaitable[T], signals: Iterable[signal.Signals] = (signal.SIGINT, signal.SIGTERM)
) -> T:
    """Await the work, which a signal cancels (CancelledError), so that its own ends end what it started.

    Also where SIGINT is ignored, as a shell has it for what it starts in the background.
    """
    task = asyncio.current_task()
    assert task is not None
    for number in signals:
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await work


def run_interruptible(work: Coroutine[Any, Any, T]) -> T:
    """Carry out the work in a loop of its own; SIGINT cancels it, and is a KeyboardInterrupt then."""
    try:
        return asyncio.run(cancel_on_signals(work, (signal.SIGINT,)))
    except asyncio.CancelledError:
        raise KeyboardInterrupt from None
