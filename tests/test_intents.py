"""Intents of unsafe calls: durable before the last byte is sent, so that no restart repeats a call."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from collections.abc import Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from millgw.intents import store_log
from millgw.intents.registry import Intent, IntentRegistry, Refusal, WriteCallback
from millgw.standins.address import free_address
from millgw.standins.http import Message
from millgw.standins.scripted import ScriptedEndpoint
from millgw.store.files import RealFiles
from millgw.store.store import Item, KeyState, Store, StoreOptions
from millgw.store.writer import SyncPolicy, Writer
from tests.outside import loaded, refused
from tests.rig import EXPIRES_IN, OperatorSidecar, operator_sidecar, request, run

# The registry


class ManualMarkLog:
    """A mark log whose writes complete when the test says so; `durable` outlives a process."""

    def __init__(self) -> None:
        self.durable: set[bytes] = set()
        self.pending: list[tuple[bool, tuple[bytes, ...], WriteCallback]] = []
        self.unproven = False

    def standing(self, key: bytes) -> KeyState:
        if key in self.durable:
            return KeyState.SENT
        return KeyState.UNPROVEN if self.unproven else KeyState.UNSENT

    def mark(self, keys: Sequence[bytes], done: WriteCallback) -> None:
        self.pending.append((True, tuple(keys), done))

    def clear(self, keys: Sequence[bytes], done: WriteCallback) -> None:
        self.pending.append((False, tuple(keys), done))

    def complete_next(self, succeeds: bool = True) -> None:
        """Complete the oldest pending write, with success or failure."""
        puts, keys, done = self.pending.pop(0)
        if succeeds and puts:
            self.durable.update(keys)
        elif succeeds:
            self.durable.difference_update(keys)
        done(succeeds)


def test_a_key_whose_mark_waits_for_the_next_sync_is_not_sent_again(tmp_path: Path) -> None:
    """With `sync = "interval"` a call may be answered long before its mark is written to the disk."""

    async def test() -> None:
        store = Store([RealFiles(tmp_path)], StoreOptions(), lambda: 0.0, lambda: 0.0)
        writer = Writer(store, SyncPolicy.INTERVAL, interval_s=0.2)
        book = IntentRegistry(store_log.StoreMarkLog(writer, 1000.0, asyncio.get_running_loop()))
        first = book.take((b"a",))
        assert isinstance(first, Intent)
        first.begin()
        while first.durable() is None:
            await asyncio.sleep(0)
        first.leaves(1)
        first.end()
        assert book.find_refusal((b"a",)) is Refusal.SENT
        writer.close()

    run(test)


def test_no_last_byte_leaves_before_the_mark_is_durable() -> None:
    log = ManualMarkLog()
    intent = IntentRegistry(log).take((b"a",))
    assert isinstance(intent, Intent)
    for _ in range(2):
        with pytest.raises(RuntimeError):
            intent.leaves("1")
        intent.begin()
    seen: list[bool | None] = []
    intent.wait(lambda: seen.append(intent.durable()))
    log.complete_next()
    intent.leaves("1")
    assert seen == [True] and not log.pending, "one mark for all attempts"


def test_what_can_t_be_proven_and_what_is_open_is_not_taken() -> None:
    log = ManualMarkLog()
    book = IntentRegistry(log)
    assert isinstance(book.take((b"a", b"k")), Intent)
    assert book.take((b"b", b"k")) is Refusal.OPEN
    log.unproven = True
    assert book.take((b"c",)) is Refusal.UNPROVEN


class CrashingProcesses(RuleBasedStateMachine):
    """Processes that crash at any moment and share one log; the model is the set of keys that were sent."""

    KEYS = st.sampled_from([b"a", b"b", b"c"])

    def __init__(self) -> None:
        super().__init__()
        self.log = ManualMarkLog()
        self.registry = IntentRegistry(self.log)
        self.open: dict[bytes, Intent] = {}
        self.may_have_run: set[bytes] = set()  # keys that were sent and may have run

    @rule(key=KEYS)
    def begin_call(self, key: bytes) -> None:
        taken = self.registry.take((key,))
        if isinstance(taken, Intent):
            assert key not in self.may_have_run and key not in self.open
            self.open[key] = taken
        elif taken is Refusal.SENT:
            assert key in self.log.durable

    @rule(key=KEYS)
    def send(self, key: bytes) -> None:
        intent = self.open.get(key)
        if intent is not None:
            intent.begin()
            if intent.durable():
                intent.leaves(key)
                self.may_have_run.add(key)

    @rule(key=KEYS, proven=st.booleans())
    def end_attempt(self, key: bytes, proven: bool) -> None:
        intent = self.open.get(key)
        if intent is not None:
            intent.over(key, proven)
            if proven:
                self.may_have_run.discard(key)

    @rule(key=KEYS)
    def end_call(self, key: bytes) -> None:
        intent = self.open.pop(key, None)
        if intent is not None:
            intent.end()

    @precondition(lambda self: self.log.pending)
    @rule(succeeds=st.booleans())
    def complete_write(self, succeeds: bool) -> None:
        self.log.complete_next(succeeds)

    @rule()
    def crash(self) -> None:
        """Crash: pending writes are lost."""
        self.log.pending.clear()
        self.registry = IntentRegistry(self.log)
        self.open.clear()

    @invariant()
    def sent_keys_are_durable(self) -> None:
        assert self.may_have_run <= self.log.durable


CrashingProcesses.TestCase.settings = settings(max_examples=150, stateful_step_count=40, deadline=None)
TestCrashingProcesses = CrashingProcesses.TestCase


def test_what_never_ran_may_come_again_at_once() -> None:
    log = ManualMarkLog()
    book = IntentRegistry(log)
    first = book.take((b"a",))
    assert isinstance(first, Intent)
    first.begin()
    log.complete_next()
    first.leaves("1")
    first.over("1", True)
    first.end()
    assert b"a" in log.durable, "the removal of its mark is still pending"
    again = book.take((b"a",))
    assert isinstance(again, Intent)
    again.begin()
    log.complete_next()  # the removal of the first call's mark
    assert again.durable() is None and b"a" not in log.durable
    log.complete_next()
    assert again.durable() and b"a" in log.durable and not book.pending_removals


# In the sidecar


def operator_toml(endpoint: ScriptedEndpoint, folder: Path, more: str = "") -> str:
    return f"""[store]
directories = ["{folder / "store"}"]
{more}
[services.a]
[[services.a.endpoints]]
name = "{endpoint.name}"
address = "{endpoint.address}"
[[routes]]
to = "a"
"""


def on_disk(folder: Path) -> bytes:
    return b"".join(path.read_bytes() for path in (folder / "store").iterdir())


async def ask_once_listening(
    node: OperatorSidecar, trace: str, cls: str = "pay", **headers: Any
) -> tuple[int, bytes]:
    while True:
        with suppress(ConnectionRefusedError):  # the store is read before it listens
            reply = await node.ask(request(cls, X_Trace_Id=trace, **headers))
            return reply.status, reply.body
        await asyncio.sleep(0.01)


def test_the_mark_is_on_the_disk_when_an_endpoint_has_the_request_and_a_restart_does_not_send_it(
    tmp_path: Path,
) -> None:
    seen: list[bool] = []

    async def script(message: Message, endpoint: ScriptedEndpoint) -> bytes:
        seen.append(message.headers["x-trace-id"].encode() in on_disk(tmp_path))
        return b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"

    async def test() -> None:
        endpoint = ScriptedEndpoint("e", script)
        await endpoint.start()
        for _ in range(2):
            async with operator_sidecar(tmp_path, operator_toml(endpoint, tmp_path)) as node:
                first = await ask_once_listening(node, "aa01")
                second = await ask_once_listening(node, "aa01")
                assert second[0] == 502 and b"sent before" in second[1]
        assert first[0] == 502, "the second process must know of the call"
        assert [m.headers["x-trace-id"] for m in endpoint.requests] == ["aa01"] and seen == [True]
        async with operator_sidecar(tmp_path, operator_toml(endpoint, tmp_path)) as node:
            assert (await ask_once_listening(node, "bb02", "read"))[0] == 200
            assert (await ask_once_listening(node, "bb02", "read"))[0] == 200, "safe calls are not marked"
        assert b"bb02" not in on_disk(tmp_path)

    run(test)


def test_what_was_sent_and_not_answered_is_not_sent_again_and_what_was_turned_away_is(tmp_path: Path) -> None:
    turned_away = b"HTTP/1.1 503 X\r\nContent-Length: 0\r\nX-Never-Ran: 1\r\n\r\n"
    answers: list[bytes | None] = [None, turned_away, turned_away]  # the retry budget allows one retry

    async def script(message: Message, endpoint: ScriptedEndpoint) -> bytes | None:
        return answers.pop(0) if answers else b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

    async def test() -> None:
        endpoint = ScriptedEndpoint("e", script)
        await endpoint.start()
        async with operator_sidecar(tmp_path, operator_toml(endpoint, tmp_path)) as node:
            assert (await ask_once_listening(node, "aa01"))[0] == 502
            assert b"sent before" in (await ask_once_listening(node, "aa01"))[1]
            assert (await ask_once_listening(node, "bb02"))[0] == 503, "turned away"
            assert (await ask_once_listening(node, "bb02"))[0] == 200, "it never ran"
            traces = [m.headers["x-trace-id"] for m in endpoint.requests]
            assert traces.count("aa01") == 1 and traces.count("bb02") == 3

    run(test)


def test_a_client_s_own_key_is_known_under_any_trace(tmp_path: Path) -> None:
    gate = asyncio.Event()

    async def script(message: Message, endpoint: ScriptedEndpoint) -> bytes:
        await gate.wait()
        return b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

    async def test() -> None:
        endpoint = ScriptedEndpoint("e", script)
        await endpoint.start()
        async with operator_sidecar(tmp_path, operator_toml(endpoint, tmp_path, 'key = "X-Order"')) as node:
            first = asyncio.create_task(ask_once_listening(node, "aa01", X_Order="7"))
            while not endpoint.requests:
                await asyncio.sleep(0.005)
            assert (await ask_once_listening(node, "aa02", X_Order="7"))[0] == 409
            gate.set()
            assert (await first)[0] == 200
            assert (await ask_once_listening(node, "aa03", X_Order="7"))[0] == 502
            assert (await ask_once_listening(node, "aa04", X_Order="8"))[0] == 200
            assert (await ask_once_listening(node, "aa05", X_Order="7", X_Customer="other"))[0] == 200

    run(test)


def test_while_another_process_has_the_store_unsafe_calls_wait_and_all_else_is_served(tmp_path: Path) -> None:
    async def test() -> None:
        endpoint = ScriptedEndpoint("e")
        await endpoint.start()
        folder = tmp_path / "store"
        folder.mkdir()
        other = Store([RealFiles(folder)], StoreOptions(), lambda: 1e12, lambda: 0.0)
        async with operator_sidecar(tmp_path, operator_toml(endpoint, tmp_path)) as node:
            assert (await ask_once_listening(node, "aa01", "read"))[0] == 200
            status, _ = await ask_once_listening(node, "aa02", patience=400)
            assert status == 502, "a 503 would promise that no process ever sent it"
            waits = [
                asyncio.create_task(ask_once_listening(node, trace)) for trace in ("aa03", "aa04", "sent")
            ]
            await asyncio.sleep(0.2)
            assert len(endpoint.requests) == 1
            other.append([Item(b"a\0trace\0sent")])
            other.close()
            assert [(await wait)[0] for wait in waits] == [200, 200, 502]
        assert sorted(m.headers["x-trace-id"] for m in endpoint.requests) == ["aa01", "aa03", "aa04"]

    run(test)


def test_a_store_that_fails_or_has_lost_records_stops_unsafe_calls_and_nothing_else(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fails(*_: object) -> int:
        raise OSError("the disk is full")

    async def test() -> None:
        endpoint = ScriptedEndpoint("e")
        await endpoint.start()
        async with operator_sidecar(tmp_path, operator_toml(endpoint, tmp_path)) as node:
            with monkeypatch.context() as patch:
                patch.setattr(Store, "append", fails)
                assert (await ask_once_listening(node, "aa01", patience=EXPIRES_IN))[0] in (502, 503)
            assert (await ask_once_listening(node, "aa02", "read"))[0] == 200
        (segment, *_) = sorted((tmp_path / "store").glob("seg-*"))
        segment.write_bytes(b"no store" + segment.read_bytes())
        async with operator_sidecar(tmp_path, operator_toml(endpoint, tmp_path)) as node:
            status, body = await ask_once_listening(node, "aa03")
            assert status == 502 and b"can't be proven" in body
            assert (await ask_once_listening(node, "aa04", "read"))[0] == 200
        assert [m.headers["x-trace-id"] for m in endpoint.requests] == ["aa02", "aa04"]

    run(test)


def test_a_store_that_is_full_turns_unsafe_calls_away_until_marks_are_over(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        endpoint = ScriptedEndpoint("e")
        await endpoint.start()
        # Three marks fit, and each expires after some seconds.
        monkeypatch.setattr(store_log, "MARK_BYTES", store_log.MEMORY_SHARE * 32 * 2**20 / 3)
        async with operator_sidecar(tmp_path, operator_toml(endpoint, tmp_path, "keep_h = 0.0005")) as node:
            got = [(await ask_once_listening(node, f"aa0{i}"))[0] for i in range(5)]
            assert got == [200, 200, 200, 503, 503], "refused before they ran, so they may be repeated"
            while (await ask_once_listening(node, "aa07"))[0] != 200:
                await asyncio.sleep(0.05)
        assert len(endpoint.requests) == 4

    run(test)


def test_off_costs_nothing() -> None:
    assert loaded("millgw.sidecar.__main__, millgw.pool.pool", "millgw.intents", "millgw.store") == []


@pytest.mark.parametrize(
    ("words", "says"),
    [
        ("directories = []", "store.directories"),
        ('directories = ["a", "b", "c"]', "store.directories"),
        ('directories = ["a"]\nsync = "never"', "store.sync"),
        ('directories = ["a"]\nkey = "X Order"', "store.key"),
        ('directories = ["a"]\nkeep_h = 0', "store.keep_h"),
    ],
)
def test_a_table_that_can_t_be_used_is_named(
    tmp_path: Path, words: str, says: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert says in refused(tmp_path, f"[store]\n{words}\n", capsys)


def test_one_pool_marks_too(tmp_path: Path) -> None:
    """Without services there is one pool, from the configured discovery."""
    node = OperatorSidecar(
        tmp_path, f'[store]\ndirectories = ["{tmp_path / "store"}"]\n', str(free_address())
    )
    done = subprocess.run(
        [sys.executable, "-c", ONE_POOL], env={**node.environ, "PYTHONPATH": "."},
        capture_output=True, text=True, timeout=60, check=False,
    )  # fmt: skip
    assert done.stdout.strip() == "True", done.stderr


ONE_POOL = """
import asyncio, os
from millgw.callers.lifecycle import Lifecycle
from millgw.platform.config import read_config
from millgw.sidecar.assembly import assemble_from_operator_file

async def look():
    parts = await assemble_from_operator_file(read_config(os.environ), os.environ, Lifecycle())
    print(parts.intents is not None and all(pool.intents is parts.intents for pool in parts.pools()))

asyncio.run(look())
"""
