"""The log: its event table, text and JSON rendering, rate limit of repeats, and non-blocking writer."""

from __future__ import annotations

import ast
import asyncio
import fcntl
import json
import logging
import os
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
import structlog
from hypothesis import given
from hypothesis import strategies as st

import millgw
from millgw.cli.own import page
from millgw.log import events
from millgw.log import start as log_start
from millgw.log.backlog import Backlog
from millgw.log.rendering import MAX_FIELD_LENGTH, keep_known_fields, limit_values, render_json, render_text
from millgw.log.repeat_limiter import RepeatLimiter
from millgw.log.start import LibraryLogHandler, Log
from millgw.log.table import COMMON_FIELDS, DETAIL_LINES_PER_SECOND, EVENTS
from millgw.log.writer import Writer
from millgw.standins.scripted import ScriptedEndpoint, answer_with
from tests.rig import TEST_TIMEOUT, request, run, sidecar

ROOT = Path(millgw.__file__).parent.parent
AT = "at=1970-01-01T00:00:05.000Z"  # the wall clock of `PipeLog`, 5 s, as a text line shows it


@pytest.fixture(autouse=True)
def restored() -> Iterator[None]:
    """Restores the standard library's logging after each test."""
    handlers = logging.getLogger().handlers[:]
    yield
    events.set_handler(None)
    logging.getLogger().handlers[:] = handlers


class PipeLog:
    """A log that writes into a pipe, with clocks that the test sets."""

    def __init__(self, kind: str, max_bytes: int = 65_536) -> None:
        self.out, into = os.pipe()
        self.now = 100.0
        self.wall = 5.0
        self.writer = Writer(
            into, Backlog(max_bytes), lambda lines: self.log.render_own("lines-lost", lines=lines)
        )
        self.log = Log(kind, self.writer, lambda: self.now, lambda: self.wall)

    def read(self) -> list[str]:
        """Close the log and return the lines written."""
        self.log.close()
        os.close(self.writer.fd)
        with os.fdopen(self.out, "rb") as file:
            return file.read().decode().splitlines()


# Rendering

HOSTILE = 'a "b"\nINFO serving \x1b[31m\r\udcff'


def test_text_and_json_have_the_same_fields_and_hostile_text_stays_on_one_line() -> None:
    rendered: list[list[str]] = []
    for kind in ("text", "json"):
        pipe = PipeLog(kind)
        pipe.log("answer-spoilt", {"endpoint": "10.0.0.7:70", "cause": HOSTILE, "call": "t1"})
        rendered.append(pipe.read())
    assert rendered[0] == [
        "WARNING answer-spoilt endpoint=10.0.0.7:70"
        ' cause="a \\"b\\"\\nINFO serving \\u001b[31m\\r\\udcff" call=t1 ' + AT
    ]
    (line,) = rendered[1]
    assert line.isprintable() and json.loads(line) == {
        "at": 5.0, "level": "warning", "event": "answer-spoilt", "endpoint": "10.0.0.7:70",
        "cause": HOSTILE, "call": "t1",
    }  # fmt: skip


@given(st.text(), st.text())
def test_no_field_value_adds_a_line_or_a_terminal_control_sequence(cause: str, trace: str) -> None:
    record = limit_values(
        None, "", keep_known_fields(None, "", {"event": "answer-spoilt", "cause": cause, "call": trace})
    )
    record["at"] = 1.0
    for line in (render_text(None, "", record), render_json(None, "", record)):
        assert line.isprintable()
    assert json.loads(render_json(None, "", record))["cause"] == record["cause"]


def test_an_unlisted_field_is_never_written_and_a_long_one_is_truncated() -> None:
    pipe = PipeLog("text")
    pipe.log("no-descriptor", {"endpoint": "e", "key": "sesame", "authorization": "Basic x"})
    pipe.log("answer-spoilt", {"cause": "x" * 5000})
    first, second = pipe.read()
    assert first == f"WARNING no-descriptor endpoint=e {AT}"
    assert len(second) < MAX_FIELD_LENGTH + 100 and "(5000 characters)" in second


def test_bound_fields_are_added_to_each_event() -> None:
    pipe = PipeLog("text")
    events.set_handler(pipe.log)
    bound = events.BoundLogger(service="login")
    bound.log_event("no-descriptor", endpoint="e1")
    assert pipe.read() == [f"WARNING no-descriptor service=login endpoint=e1 {AT}"]


def test_the_log_of_the_tools_renders_events_like_the_daemon_and_binds_contexts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    from millgw.cli import log as tools

    out, into = os.pipe()
    ends: list[Any] = []
    monkeypatch.setattr("millgw.log.start.atexit.register", ends.append)
    logger = tools.start("text", into, lambda: 5.0, lambda: 5.0)
    pipe = PipeLog("text")
    fields: dict[str, object] = {"endpoint": "e1", "cause": HOSTILE, "key": "sesame"}
    pipe.log("answer-spoilt", fields)
    events.log_event("answer-spoilt", **fields)
    events.log_event("answer-spoilt", endpoint="suppressed")
    with structlog.contextvars.bound_contextvars(service="login"):
        events.log_event("no-descriptor", endpoint="e2")
    logger.bind(call="t9").msg("alone")
    ends[0]()
    os.close(into)
    with os.fdopen(out) as file:
        lines = file.read().splitlines()
    assert lines[:1] == pipe.read()
    assert lines[1:] == [
        f"WARNING no-descriptor endpoint=e2 service=login {AT}", f"INFO alone call=t9 {AT}",
        f"INFO left-out of=answer-spoilt more=1 {AT}",
    ]  # fmt: skip


def test_a_record_of_a_library_becomes_an_event_with_its_traceback() -> None:
    pipe = PipeLog("json")
    logger = logging.Logger("other")
    logger.addHandler(LibraryLogHandler(pipe.log))
    try:
        raise ValueError("so\nit is")
    except ValueError:
        logger.exception("it failed")
    record = json.loads(pipe.read()[0])
    assert (record["event"], record["level"], record["text"]) == ("message", "error", "it failed")
    assert record["traceback"].endswith("ValueError: so\nit is")


# Repeats


def test_ten_thousand_equal_events_in_a_second_give_one_line_and_a_count() -> None:
    pipe = PipeLog("text")
    for i in range(10_000):
        pipe.now = 100.0 + i / 10_000
        pipe.log("no-descriptor", {"endpoint": f"e{i}"})
    pipe.log("accept-failed", {"cause": "other"})
    pipe.now = 101.0
    pipe.log("no-descriptor", {"endpoint": "e"})
    pipe.log("no-descriptor", {"endpoint": "suppressed"})
    assert pipe.read() == [
        f"WARNING no-descriptor endpoint=e0 {AT}", f"WARNING accept-failed cause=other {AT}",
        f"WARNING no-descriptor endpoint=e more=9999 {AT}", f"INFO left-out of=no-descriptor more=1 {AT}",
    ]  # fmt: skip


def test_an_event_on_single_requests_may_have_several_lines_a_second() -> None:
    pipe = PipeLog("text")
    for i in range(DETAIL_LINES_PER_SECOND + 5):
        pipe.log("request-turned-away", {"status": 408, "call": f"t{i}"})
    pipe.now = 101.0
    pipe.log("request-turned-away", {"status": 408, "call": "t"})
    lines = pipe.read()
    assert len(lines) == DETAIL_LINES_PER_SECOND + 1
    assert lines[-1] == f"INFO request-turned-away status=408 call=t more=5 {AT}"


def test_repeats_are_limited_for_each_service_separately() -> None:
    pipe = PipeLog("text")
    for service in ("a", "b", "a"):
        pipe.log("no-descriptor", {"service": service})
    assert [line.split()[2:-1] for line in pipe.read()] == [
        ["service=a"], ["service=b"], ["of=\"no-descriptor", "a\"", "more=1"],
    ]  # fmt: skip


def test_a_step_of_the_wall_clock_suppresses_no_event() -> None:
    pipe = PipeLog("json")
    pipe.log("no-descriptor", {})
    pipe.wall, pipe.now = -3600.0, 101.0
    pipe.log("no-descriptor", {})
    assert [json.loads(line)["at"] for line in pipe.read()] == [5.0, -3600.0]


@given(st.lists(st.tuples(st.sampled_from("abcd"), st.floats(0, 3)), max_size=60), st.integers(1, 4))
def test_every_event_is_logged_or_counted(calls: list[tuple[str, float]], most: int) -> None:
    repeats, now, logged, more = RepeatLimiter(max_kinds=most), 0.0, 0, 0
    for kind, wait in calls:
        now += wait
        taken = repeats.admit(now, kind)
        if taken is not None:
            logged, more = logged + 1, more + taken
        assert len(repeats.window_starts) <= most
    assert (
        logged + more + sum(repeats.take_suppressed().values()) == len(calls)
        and not repeats.take_suppressed()
    )


# Slow and missing readers


@given(st.lists(st.one_of(st.none(), st.integers(1, 30)), max_size=50))
def test_buffered_lines_are_bounded_and_in_order_with_dropped_ones_in_one_gap(
    steps: list[int | None],
) -> None:
    backlog, number, seen = Backlog(64), 0, 0
    for size in (*steps, None):
        if size is not None:
            number += 1
            backlog.add(b"%0*d\n" % (size, number))
            assert backlog.buffered_bytes <= 64
            continue
        piece, missing = backlog.take()
        for line in piece.splitlines():
            seen += 1
            assert int(line) == seen, "a dropped line precedes a kept one"
        seen += missing
    assert seen == number


def test_a_full_pipe_does_not_block_and_dropped_lines_are_counted() -> None:
    pipe = PipeLog("text", max_bytes=2000)
    os.write(pipe.writer.fd, b"\n" * fcntl.fcntl(pipe.out, fcntl.F_SETPIPE_SZ, 4096))
    for i in range(3000):
        pipe.now += 2.0
        pipe.log("answer-spoilt", {"endpoint": i, "cause": "x" * 60})
    assert pipe.writer.backlog.buffered_bytes <= 2000
    numbers: list[int] = []
    lost = 0

    def read() -> None:
        nonlocal lost
        with os.fdopen(pipe.out) as file:
            for line in filter(str.strip, file):
                if "lines-lost" in line:
                    lost += int(line.split("lines=")[1].split()[0])
                else:
                    numbers.append(int(line.split("endpoint=")[1].split()[0]))
                if len(numbers) + lost == 3000:
                    return

    reader = threading.Thread(target=read)
    reader.start()
    reader.join(TEST_TIMEOUT)
    assert not reader.is_alive() and lost > 2000
    assert numbers == sorted(numbers) and numbers[0] == 0
    pipe.log.close()
    os.close(pipe.writer.fd)


def test_a_closed_reader_ends_the_log_and_nothing_else() -> None:
    pipe = PipeLog("text")
    os.close(pipe.out)
    pipe.log("serving", {"name": "s"})
    end = time.monotonic() + TEST_TIMEOUT
    while not pipe.writer.closed:
        assert time.monotonic() < end
        time.sleep(0.01)
    pipe.log("alone", {})
    pipe.log.close()
    assert not pipe.writer.backlog.lines
    os.close(pipe.writer.fd)


def test_a_process_whose_log_nobody_reads_runs_and_exits(tmp_path: Path) -> None:
    code = (
        "import os, sys, time\nfrom millgw.log.start import start\nfrom millgw.log import events\n"
        "log = start('text')\nbegun = time.monotonic()\n"
        "for i in range(20000):\n    log.repeat_limiter.window_starts.clear()\n"
        "    events.log_event('no-descriptor', endpoint='e' * 90)\n"
        "print('logged', flush=True)\n"
    )
    out, into = os.pipe()
    process = subprocess.Popen([sys.executable, "-c", code], stdout=subprocess.PIPE, stderr=into, text=True)
    os.close(into)
    try:
        assert process.communicate(timeout=TEST_TIMEOUT)[0] == "logged\n" and process.returncode == 0
    finally:
        process.kill()
        os.close(out)


def test_an_unknown_log_format_exits_with_2_and_one_line() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "millgw.sidecar"], env=os.environ | {"BALANCER_LOG": "xml"},
        capture_output=True, text=True, timeout=TEST_TIMEOUT,
    )  # fmt: skip
    assert done.returncode == 2 and done.stderr == "millgw: BALANCER_LOG: 'xml' is not one of text, json\n"


# The table


FAILURE_FIELDS = {"endpoint", "cause", "call"}  # what `Connection.log_failure` writes with each event


def logged_events() -> Iterator[tuple[str, str, set[str]]]:
    """File, event and field names of every call in the sources that logs an event."""
    for path in sorted((ROOT / "millgw").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            name = node.func.attr if isinstance(node.func, ast.Attribute) else getattr(node.func, "id", "")
            first = node.args[0]
            if name == "log_event" and isinstance(first, ast.Name) and path.match("endpoints/connection.py"):
                assert {k.arg for k in node.keywords} == FAILURE_FIELDS
            if not isinstance(first, ast.Constant):
                continue
            if name in ("log_event", "render_own", "_tell"):
                yield str(path), str(first.value), {k.arg for k in node.keywords if k.arg}
            elif name == "log_failure":
                yield str(path), str(first.value), FAILURE_FIELDS


def test_the_table_lists_exactly_the_events_and_fields_that_the_sources_log() -> None:
    logged = set()
    for path, event, fields in logged_events():
        assert event in EVENTS, f"{path} logs {event}"
        assert fields <= {*EVENTS[event].fields, *COMMON_FIELDS}, f"{path}: {event} has {fields}"
        logged.add(event)
    assert logged | {"message"} == set(EVENTS)


def test_the_page_holds_the_table_as_the_command_prints_it() -> None:
    held = (ROOT / "docs" / "logging.md").read_text().splitlines()
    assert held[-len(page()) :] == page()


def test_no_header_body_or_key_of_a_caller_reaches_the_log() -> None:
    """Sends invalid, refused and failing requests with a secret in every part that a caller controls."""
    mark = "s3same"
    pipe = PipeLog("json")
    secrets = f"Idempotency-Key: {mark}\r\nAuthorization: Bearer {mark}\r\nCookie: a={mark}\r\n"
    whole = request("pay", f"body {mark}".encode()).decode("latin-1")
    first, rest = whole.split("\r\n", 1)
    bad = [
        whole.replace("\r\n", f"\r\n{secrets}", 1),
        f"{first}\r\n{secrets}X-Qos: {mark}\r\n{rest}".replace("X-Qos: pay\r\n", ""),
        f"GET /{mark}?token={mark} HTTP/1.1\r\n{secrets}Content-Length: {mark}\r\n\r\n",
        f"{first}\r\n{secrets}{mark} : {mark}\r\n{rest}",
        f"{first}\r\n{secrets}Transfer-Encoding: {mark}\r\n{rest}",
        f"{first}\r\n{secrets}Host: {mark}\r\nHost: {mark}\r\n{rest}",
        f"{mark}\r\n\r\n",
    ]

    async def test() -> None:
        invalid = ScriptedEndpoint(
            "e1", answer_with(f"HTTP/1.1 200 {mark}\r\nContent-Length: {mark}\r\n\r\n".encode())
        )
        async with sidecar(invalid) as rig:
            events.set_handler(pipe.log)
            await rig.ask(whole.encode("latin-1"))
            for data in bad:
                pipe.now += 2.0
                reader, writer = await asyncio.open_connection(rig.listen.host, rig.listen.port)
                writer.write(data.encode("latin-1"))
                writer.write_eof()
                await reader.read()
                writer.close()
            events.set_handler(None)

    run(test)
    lines = pipe.read()
    assert {json.loads(line)["event"] for line in lines} >= {"request-turned-away", "answer-spoilt"}
    assert not [line for line in lines if mark in line]


def test_only_the_pool_event_may_have_fields_beyond_the_table(monkeypatch: pytest.MonkeyPatch) -> None:
    assert EVENTS["pool"].extra_fields and not any(k.extra_fields for n, k in EVENTS.items() if n != "pool")
    out = keep_known_fields(None, "", {"event": "pool", "pool": "a", "lives": 3, "object": object()})
    assert "lives" in out and "object" not in out


def test_without_a_started_log_events_go_to_standard_logging(caplog: pytest.LogCaptureFixture) -> None:
    events.log_event("known-unusable", cause="x y", key="sesame")
    (record,) = caplog.records
    assert (record.name, record.levelno) == ("millgw", logging.WARNING)
    assert record.getMessage() == 'known-unusable cause="x y"'


def test_a_started_log_also_receives_records_of_other_libraries(monkeypatch: pytest.MonkeyPatch) -> None:
    out, into = os.pipe()
    ends: list[Any] = []
    monkeypatch.setattr("millgw.log.start.atexit.register", ends.append)
    log_start.start("text", into)
    logging.getLogger("asyncio").error("a task's error")
    ends[0]()
    os.close(into)
    with os.fdopen(out) as file:
        assert file.read().startswith('ERROR message text="a task\'s error" at=')
