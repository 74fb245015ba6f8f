"""The codec of the simulator's protocol, and the adapter that uses it."""

from __future__ import annotations

import io
import json
import struct
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from millgw import Balancer
from millgw import settings as reading
from millgw.interface import Repeat, Scope
from millgw.simulator import adapter, wire

SETTINGS: dict[str, Any] = {
    "classes": [{"deadline": 900.0, "repeat": "retryable", "slo": 300.0, "surprise": 1}],
    "rules": {"cold": 5000.0, "coldShare": 0.3, "fall": 1000.0, "fallMultiple": 3.0},
    "limits": {"tryLimit": 3},
    "report": {"how": "inline", "fields": ["cpu_share", "novel_field"]},
    "registryMode": "pushed",
    "unheard_of": {"x": 1},
}


def frame(*records: bytes, now: float = 1000.0) -> bytes:
    body = b"".join(records)
    return wire.HEADER.pack(len(records), len(body), now) + body


def select_instance(instance: int) -> bytes:
    return struct.pack(">BI", 12, instance)


def start_instance(settings: dict[str, Any], seed: int = 7) -> bytes:
    raw = json.dumps(settings).encode()
    return struct.pack(">BQI", 1, seed, len(raw)) + raw


def table(number: int, *ids: int) -> bytes:
    entries = b"".join(struct.pack(">BIfHBBd", 0, i, 1.0, 0, 0, 2, 0.0) for i in ids)
    return struct.pack(">BBI", 11, number, len(ids)) + entries


def list_update(number: int, mode: int = 2) -> bytes:
    return struct.pack(">BIBB", 2, 1, mode, number)


def request_arrived(request: int, cls: int = 0, until: float = 1900.0) -> bytes:
    return struct.pack(">BQHIQddB", 3, request, cls, 0, 0, until, 0.0, 0)


def attempt_ended(request: int, endpoint: int, code: int, no_more: int) -> bytes:
    return struct.pack(">BQIdBBHB2f", 5, request, endpoint, 10.0, 0, no_more, code, 2, 0.5, 1.0)


def serve(data: bytes) -> bytes:
    sink = io.BytesIO()
    adapter.serve(io.BytesIO(data), sink)
    return sink.getvalue()


def replies(data: bytes) -> list[bytes]:
    out, at = [], 0
    while at < len(data):
        _, size = wire.REPLY_HEADER.unpack_from(data, at)
        out.append(data[at + wire.REPLY_HEADER.size : at + wire.REPLY_HEADER.size + size])
        at += wire.REPLY_HEADER.size + size
    return out


def started_instance(*ids: int) -> bytes:
    return frame(select_instance(3), start_instance(SETTINGS), table(0, *ids), list_update(0))


def test_an_empty_batch_gets_an_empty_reply() -> None:
    assert serve(frame()) == bytes(8)


def test_a_request_is_sent_and_its_outcome_taken() -> None:
    got = replies(
        serve(
            started_instance(5)
            + frame(select_instance(3), request_arrived(9))
            + frame(select_instance(3), attempt_ended(9, 5, 200, 1))
        )
    )
    assert got == [b"", wire.select_instance(3) + wire.send(9, 5, 0.0), b""]


def test_reused_list_numbers_resolve_in_event_order() -> None:
    first = frame(
        select_instance(1),
        start_instance(SETTINGS),
        table(0, 5),
        list_update(0),
        select_instance(2),
        start_instance(SETTINGS),
        table(0, 6),
        list_update(0),
    )
    got = replies(
        serve(first + frame(select_instance(1), request_arrived(1), select_instance(2), request_arrived(2)))
    )
    assert got[1] == b"".join(
        [wire.select_instance(1), wire.send(1, 5, 0.0), wire.select_instance(2), wire.send(2, 6, 0.0)]
    )


def test_stop_and_start_in_one_batch_leave_no_state() -> None:
    again = frame(
        select_instance(3), b"\x0a", start_instance(SETTINGS), table(0, 8), list_update(0), request_arrived(2)
    )
    got = replies(serve(started_instance(5) + again))
    assert got[1] == wire.select_instance(3) + wire.send(2, 8, 0.0)


def test_action_records_match_the_documented_bytes() -> None:
    sent = wire.send(0x000E944F5D3A91C4, 0x03124A07, 80.0)
    assert sent.hex() == "01000e944f5d3a91c403124a074054000000000000"
    assert wire.set_timer(float.fromhex("0x1.168p+15"), 0x4D).hex() == "0540e1680000000000000000000000004d"
    assert wire.reply([]) == bytes(8)


@pytest.mark.parametrize(
    ("data", "says"),
    [
        (frame()[:7], "inside a frame"),
        (started_instance(5)[:-4], "inside a frame"),
        (frame(b"\xfe"), "unknown record code 254"),
        (wire.HEADER.pack(2, 5, 0.0) + select_instance(1), "ends after 1"),
        (wire.HEADER.pack(0, 5, 0.0) + select_instance(1), "5 bytes left"),
        (frame(select_instance(1)[:3]), "cut short"),
        (frame(request_arrived(1)), "before any instance"),
        (frame(select_instance(4), request_arrived(1)), "instance 4 has not been started"),
        (started_instance(5) + frame(select_instance(3), request_arrived(9, cls=7)), "unknown class 7"),
        (started_instance(5) + frame(select_instance(3), list_update(9)), "list number 9"),
        (frame(select_instance(1), start_instance({})), "classes"),
        (frame(select_instance(1), start_instance({**SETTINGS, "rules": {}})), "coldShare"),
        (
            frame(
                select_instance(1),
                start_instance({**SETTINGS, "classes": [{"deadline": -1, "repeat": "dedup"}]}),
            ),
            "deadline",
        ),
        (frame(select_instance(1), start_instance({**SETTINGS, "classes": [{"deadline": 1.0}]})), "repeat"),
        (frame(select_instance(1), start_instance({**SETTINGS, "siblings": 0})), "Settings.siblings"),
        (frame(select_instance(1), start_instance({**SETTINGS, "tick": float("nan")})), "tick"),
        (
            frame(
                select_instance(1), start_instance(SETTINGS | {"rules": SETTINGS["rules"] | {"coldShare": 2}})
            ),
            "cold_share",
        ),
        (frame(select_instance(1), struct.pack(">BQI", 1, 7, 2) + b"\xff{"), "not JSON"),
    ],
)
def test_malformed_input_ends_with_one_plain_line(data: bytes, says: str) -> None:
    run = subprocess.run(
        [sys.executable, "-m", "millgw.simulator.adapter"],
        input=data,
        capture_output=True,
        cwd=Path(__file__).parent.parent,
    )
    message = run.stderr.decode()
    assert run.returncode == 2 and message.count("\n") == 1 and says in message
    out = run.stdout
    assert sum(len(r) + 8 for r in replies(out)) == len(out), "only whole replies are written"


def test_the_adapter_starts_under_its_former_name_too() -> None:
    data = frame(select_instance(1), start_instance(SETTINGS))
    former, current = (
        subprocess.run(
            [sys.executable, "-m", module], input=data, capture_output=True, cwd=Path(__file__).parent.parent
        )
        for module in ("millgw.adapter", "millgw.simulator.adapter")
    )
    assert (former.returncode, former.stderr) == (0, b"")
    assert former.stdout == current.stdout and current.returncode == 0


def test_settings_defaults_are_cautious() -> None:
    read = reading.read_settings(json.dumps(SETTINGS).encode())
    assert read.classes[0].repeat is Repeat.SAFE and read.classes[0].scope is Scope.CELL
    assert not read.concurrent_attempts and read.siblings == 1
    assert not read.ask_discovery


def test_an_exception_is_reported_as_broken(monkeypatch: pytest.MonkeyPatch) -> None:
    def fail(*_: object) -> list[object]:
        raise RuntimeError("boom")

    monkeypatch.setattr(Balancer, "handle", fail)
    got = replies(serve(started_instance(5)))
    assert got[0] == wire.select_instance(3) + wire.instance_error("RuntimeError: boom")
