"""Commands that are interrupted: what a signal cancels, and when."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Coroutine, Iterator
from typing import Any

import pytest
from click.testing import CliRunner

from millgw.cli.interrupts import run_interruptible
from millgw.configuration import command as configuration_command
from millgw.top import command as top_command
from tests.kinds import pure_run_only

pytestmark = pure_run_only

LIMIT = 10.0  # s
AT = "127.0.0.1:1"


@pytest.fixture(autouse=True)
def _interruptible() -> Iterator[None]:
    """As from a terminal: a shell that starts tests in the background has SIGINT ignored by all of them."""
    before = signal.signal(signal.SIGINT, signal.default_int_handler)
    yield
    signal.signal(signal.SIGINT, before)


def interrupted_within_a_callback(troubles: list[dict[str, Any]]) -> Callable[..., Coroutine[Any, Any, Any]]:
    """Work whose future is resolved by a callback that a SIGINT comes into, behind its look at the future."""

    async def work(*_: object) -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: troubles.append(context))
        future: asyncio.Future[None] = loop.create_future()

        def resolve() -> None:
            if not future.done():
                signal.raise_signal(signal.SIGINT)
                future.set_result(None)

        loop.call_soon(resolve)
        await future
        await asyncio.sleep(LIMIT)

    return work


def test_a_signal_that_comes_within_a_callback_cancels_no_future_under_it() -> None:
    troubles: list[dict[str, Any]] = []
    with pytest.raises(KeyboardInterrupt):
        run_interruptible(interrupted_within_a_callback(troubles)())
    assert troubles == []


@pytest.mark.parametrize(
    ("command", "words", "module", "name"),
    [
        (top_command.top, [AT], top_command, "look"),
        (configuration_command.configuration, ["get", "--at", AT], configuration_command, "fetch_document"),
        (configuration_command.configuration, ["status", AT], configuration_command, "fetch_status"),
    ],
)
def test_a_command_interrupted_within_a_callback_reports_no_failure_of_its_loop(
    command: Any, words: list[str], module: Any, name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    troubles: list[dict[str, Any]] = []
    monkeypatch.setattr(module, name, interrupted_within_a_callback(troubles))
    CliRunner().invoke(command, words)
    assert troubles == []
