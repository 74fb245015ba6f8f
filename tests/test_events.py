"""What the daemon logs: events with fields, sparing, in both wordings, and each of them documented."""

from __future__ import annotations

import json
import logging
import os
import re
import subprocess
import sys
from pathlib import Path

import millgw
from millgw.events import Event, Json, Sparing, Text

ROOT = Path(millgw.__file__).parent.parent


def record(event: object, at: float = 5.0) -> logging.LogRecord:
    made = logging.LogRecord("millgw", logging.WARNING, "", 0, event, None, None)
    made.created = at
    return made


def test_both_wordings_tell_the_same_and_hostile_text_stays_one_line() -> None:
    event = Event("answer-spoilt", {"endpoint": "10.0.0.7:70", "cause": 'a "b"\nINFO x', "after_ms": 2.5})
    assert Text().format(record(event)) == (
        'WARNING answer-spoilt endpoint=10.0.0.7:70 cause="a \\"b\\"\\nINFO x" after_ms=2.5'
    )
    told = json.loads(Json().format(record(event)))
    assert told == {
        "at": 5.0, "level": "warning", "event": "answer-spoilt", "endpoint": "10.0.0.7:70",
        "cause": 'a "b"\nINFO x', "after_ms": 2.5,
    }  # fmt: skip
    assert json.loads(Json().format(record("plain")))["text"] == "plain"


def test_an_event_is_told_once_a_second_with_how_many_went_untold_and_others_go_by() -> None:
    sparing = Sparing()
    told = [sparing.filter(record(Event("a", {"n": i}), 10.0 + i / 100)) for i in range(50)]
    assert told == [True] + [False] * 49
    assert sparing.filter(record(Event("b", {}), 10.1))
    last = Event("a", {})
    assert sparing.filter(record(last, 11.0)) and last.told() == {"more": 49}


def test_every_event_stands_in_the_documentation_and_no_other() -> None:
    sources = "".join(path.read_text() for path in (ROOT / "millgw").rglob("*.py"))
    told = set(re.findall(r'\btell\(\s*[A-Z]+,\s*"([a-z-]+)"', sources))
    rows = [
        line.split("|")[1]
        for line in (ROOT / "docs" / "logging.md").read_text().splitlines()
        if "| `" in line
    ]
    documented = {name for row in rows for name in re.findall(r"`([a-z-]+)`", row)}
    assert told == documented and len(told) > 10


def test_a_kind_of_log_that_there_is_not_ends_the_daemon_with_2_and_one_line() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "millgw.sidecar"], env=os.environ | {"BALANCER_LOG": "xml"},
        capture_output=True, text=True, timeout=30,
    )  # fmt: skip
    assert done.returncode == 2 and done.stderr == "millgw: BALANCER_LOG: 'xml' is not one of text, json\n"
