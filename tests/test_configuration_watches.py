"""History, watches, sidecar reports and request parsing, without sockets."""

from __future__ import annotations

import itertools
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from millgw.configuration import follower
from millgw.configuration.document import Change, Document, DocumentError, Version, decode_line
from millgw.configuration.follower import MAX_CAUSE_LENGTH, Status
from millgw.configuration.history import NO_VERSION, History
from millgw.configuration.reports import (
    FORGET_AFTER_S,
    MAX_REFUSALS,
    Report,
    Reports,
    ReportsFullError,
    Sidecar,
    decode_report,
    decode_sidecar,
    encode_sidecar,
    merge_sidecars,
    summarize,
)
from millgw.configuration.request_reader import BadRequestError, Request, RequestReader
from millgw.configuration.watchers import (
    HEARTBEAT,
    HEARTBEAT_GROUPS,
    STALL_TIMEOUT,
    TooManyWatchesError,
    Watch,
    Watchers,
)
from tests.kinds import pure_run_only

pytestmark = pure_run_only


def version(index: int, value: object = None) -> Version:
    content = index if value is None else value
    return Version(index, 1, (Change(f"services.s{index % 3}", {"n": content}),))


def history_of(count: int, **bounds: int) -> History:
    history = History(**bounds)
    for index in range(1, count + 1):
        history.append(version(index))
    return history


def lines_of(chunks: bytes) -> list[bytes]:
    """The lines of a chunked body."""
    lines = []
    while chunks:
        size, _, rest = chunks.partition(b"\r\n")
        lines.append(rest[: int(size, 16)])
        chunks = rest[int(size, 16) + 2 :]
    return lines


# History


@given(st.integers(0, 12), st.integers(0, 14), st.integers(1, 6))
def test_the_changes_after_any_version_lead_to_the_newest_one(count: int, start: int, kept: int) -> None:
    history = history_of(count, max_lines=kept)
    follower = history_of(min(start, count)).document
    for line in lines_of(history.chunks_after(start)):
        follower.load(decode_line(line))
    assert follower.index == count
    assert follower.digest() == history.document.digest()
    if start >= count:
        assert not history.chunks_after(start), "a watch never receives an older version"


def test_a_line_is_encoded_once_and_a_version_too_old_gets_a_snapshot() -> None:
    history = History(max_lines=2)
    history.append(Version(1, 1, (Change("settings", {"long": "x" * 1000}),)))
    for index in range(2, 6):
        history.append(version(index))
    assert history.chunks_after(4) is history.chunks_after(4)
    assert history.chunks_after(0) is history.snapshot() is history.chunks_after(2)
    assert len(history.digests) == 2
    assert [decode_line(line).index for line in lines_of(history.chunks_after(3))] == [4, 5]


def test_a_snapshot_is_sent_where_it_is_shorter_than_the_changes() -> None:
    history = history_of(30)
    assert history.chunks_after(1) is history.snapshot()


def test_the_lines_kept_are_bounded_in_bytes() -> None:
    history = History(max_bytes=1000)
    for index in range(1, 20):
        history.append(version(index, "x" * 200))
    assert lines_of(history.chunks_after(18))
    assert history.chunks_after(10) is history.snapshot()


def test_a_version_out_of_order_is_refused_and_an_older_document_ignored() -> None:
    history = history_of(3)
    with pytest.raises(ValueError, match="version 5 does not follow version 3"):
        history.append(version(5))
    history.replace(Document(2, 1, {}))
    assert history.index == 3 and history.document.entries
    history.replace(Document(9, 2, {"services.a": {}}))
    assert history.index == 9
    assert history.chunks_after(3) is history.snapshot()


def test_a_watch_without_a_version_always_gets_a_snapshot() -> None:
    for count in (0, 1, 5):
        history = history_of(count)
        assert history.chunks_after(NO_VERSION) is history.snapshot()
        assert decode_line(lines_of(history.snapshot())[0]).snapshot


# Watchers


class ChannelStub:
    """Records the bytes written; while `reads` is False they count as unsent."""

    def __init__(self) -> None:
        self.writes: list[bytes] = []
        self.reads = True
        self.unsent_bytes = 0
        self.closed = False

    def write(self, data: bytes) -> None:
        self.writes.append(data)
        if not self.reads:
            self.unsent_bytes += len(data)

    def unsent(self) -> int:
        return self.unsent_bytes

    def close(self) -> None:
        self.closed = True


def open_watch(watchers: Watchers, channel: ChannelStub, name: str, position: int) -> Watch:
    watch = watchers.add(channel, name, position)
    watchers.begin(watch)
    return watch


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def test_all_watches_share_the_same_bytes_object() -> None:
    history = history_of(1)
    watchers = Watchers(history, Clock())
    channels = [ChannelStub() for _ in range(30)]
    for number, channel in enumerate(channels):
        open_watch(watchers, channel, f"n{number}", 1)
    history.append(version(2))
    watchers.publish()
    assert {id(channel.writes[-1]) for channel in channels} == {id(history.chunks_after(1))}


def test_a_watch_ahead_of_the_instance_gets_only_heartbeats_until_it_has_caught_up() -> None:
    history = history_of(2)
    watchers = Watchers(history, Clock())
    channel = ChannelStub()
    open_watch(watchers, channel, "n", 4)
    for index in (3, 4):
        history.append(version(index))
        watchers.publish()
    for _ in range(HEARTBEAT_GROUPS):
        watchers.send_heartbeats()
    assert channel.writes == [HEARTBEAT, HEARTBEAT], "its first line is sent immediately"
    history.append(version(5))
    watchers.publish()
    assert [decode_line(line).index for line in lines_of(channel.writes[2])] == [5]


def test_a_slow_watch_gets_all_missed_changes_in_one_write_once_it_reads() -> None:
    history, clock = history_of(1), Clock()
    watchers = Watchers(history, clock)
    channel = ChannelStub()
    watch = open_watch(watchers, channel, "n", 1)
    channel.writes.clear()
    channel.reads = False
    for index in (2, 3, 4):
        history.append(version(index))
        watchers.publish()
    for _ in range(HEARTBEAT_GROUPS):
        watchers.send_heartbeats()
    assert len(channel.writes) == 1, "nothing is written while bytes are unsent"
    channel.reads, channel.unsent_bytes = True, 0
    watchers.drained(watch)
    assert channel.writes[1] == history.chunks_after(2)


def test_a_watch_that_reads_nothing_is_closed_and_the_others_continue() -> None:
    history, clock = history_of(1), Clock()
    watchers = Watchers(history, clock)
    stuck, other = ChannelStub(), ChannelStub()
    stuck.reads = False
    open_watch(watchers, stuck, "stuck", 0)
    open_watch(watchers, other, "other", 0)
    clock.now += STALL_TIMEOUT - 0.1
    watchers.send_heartbeats()
    assert not stuck.closed
    clock.now += 0.1
    watchers.send_heartbeats()
    assert stuck.closed and not other.closed
    assert (watchers.count, watchers.closed_slow) == (1, 1)


def test_the_unsent_bytes_of_all_slow_watches_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("millgw.configuration.watchers.MAX_UNSENT", 1000)
    history = History()
    history.append(version(1, "x" * 300))
    watchers = Watchers(history, Clock())
    channels = [ChannelStub() for _ in range(5)]
    for channel in channels:
        channel.reads = False
        open_watch(watchers, channel, "n", 0)
    left = [channel for channel in channels if not channel.closed]
    assert left == channels[-2:], "those that were slow longest are closed"
    assert sum(channel.unsent_bytes for channel in left) <= 1000 < 3 * left[0].unsent_bytes


def test_watches_are_bounded_and_closing_twice_counts_once() -> None:
    watchers = Watchers(History(), Clock(), max_watches=1)
    watch = open_watch(watchers, ChannelStub(), "a", 0)
    with pytest.raises(TooManyWatchesError):
        open_watch(watchers, ChannelStub(), "b", 0)
    watchers.close(watch)
    watchers.close(watch)
    assert watchers.count == 0
    open_watch(watchers, ChannelStub(), "b", 0)


# Reports


def applied(name: str, index: int, digest: str = "d") -> Report:
    return Report(name, index, digest, Status.APPLIED)


def test_a_summary_counts_who_applied_who_refused_and_who_is_behind() -> None:
    reports = Reports()
    for number in range(10):
        reports.record(0.0, applied(f"n{number}", 42))
    for number in range(8):
        reports.record(1.0, applied(f"n{number}", 43))
    reports.record(1.0, Report("n8", 43, "d", Status.REFUSED, "limits.tryLimit: over 9"))
    reports.watch_opened(1.0, "silent")
    summary = summarize(reports.sidecars.values(), 43, {42: "d", 43: "d"})
    assert (summary.applied, summary.refused, summary.behind, summary.diverged) == (8, 1, 2, 0)
    assert summary.oldest_index == 0
    assert summary.refusal_fields() == [{"name": "n8", "index": 43, "cause": "limits.tryLimit: over 9"}]
    before = summarize(reports.sidecars.values(), 42, {})
    assert (before.applied, before.refused, before.behind) == (10, 0, 1)


def test_a_refusal_is_kept_after_the_next_version_is_applied() -> None:
    """The next version may follow at once, and a status read after it must still show the refusal."""
    reports = Reports()
    reports.record(0.0, Report("n", 43, "d", Status.REFUSED, "limits.tryLimit: over 9"))
    reports.record(0.1, applied("n", 44))
    sidecar = reports.sidecars["n"]
    assert (sidecar.applied, sidecar.refused, sidecar.cause) == (44, 43, "limits.tryLimit: over 9")
    summary = summarize(reports.sidecars.values(), 44, {44: "d"})
    assert (summary.applied, summary.refused, summary.refusals) == (1, 0, []), "it applied the newest"
    reports.record(0.2, applied("n", 42))
    assert sidecar.refused == 0, "a process that has not received the version yet has not refused it"


def test_a_different_digest_of_the_same_version_counts_as_diverged() -> None:
    reports = Reports()
    reports.record(0.0, applied("n", 43, "other"))
    assert summarize(reports.sidecars.values(), 43, {43: "d"}).diverged == 1
    assert summarize(reports.sidecars.values(), 43, {44: "d"}).diverged == 0, "the digest is no longer known"


def test_the_newest_report_counts_even_if_its_version_is_older() -> None:
    reports = Reports()
    reports.record(0.0, applied("n", 43))
    reports.record(1.0, applied("n", 42))
    assert summarize(reports.sidecars.values(), 43, {}).behind == 1


def test_a_sidecar_is_forgotten_after_its_watch_was_closed_for_long_enough() -> None:
    reports = Reports()
    reports.watch_opened(0.0, "n")
    reports.record(0.0, applied("n", 1))
    reports.forget_old(10 * FORGET_AFTER_S)
    assert reports.sidecars, "its watch is open"
    reports.watch_opened(10 * FORGET_AFTER_S, "n")  # the new watch opens before the old one is closed
    reports.watch_closed(10 * FORGET_AFTER_S, "n")
    reports.forget_old(30 * FORGET_AFTER_S)
    assert reports.sidecars
    reports.watch_closed(30 * FORGET_AFTER_S, "n")
    reports.forget_old(31 * FORGET_AFTER_S - 1)
    assert reports.sidecars
    reports.forget_old(31 * FORGET_AFTER_S)
    assert not reports.sidecars


def test_reports_are_bounded_in_number_and_length() -> None:
    reports = Reports(max_sidecars=2)
    reports.record(0.0, applied("a", 1))
    reports.record(0.0, Report("b", 1, "", Status.REFUSED, "x" * 5000))
    assert len(reports.sidecars["b"].cause) == MAX_CAUSE_LENGTH
    with pytest.raises(ReportsFullError):
        reports.record(1.0, applied("c", 1))
    reports.watch_opened(1.0, "c")
    assert len(reports.sidecars) == 2
    reports.record(FORGET_AFTER_S + 1, applied("c", 1))
    assert set(reports.sidecars) == {"c"}, "sidecars without a watch for long enough are removed"


def test_the_list_of_refusals_is_bounded() -> None:
    sidecars = [Sidecar(f"n{i}", 0.0, refused=3) for i in range(100)]
    summary = summarize(sidecars, 3, {})
    assert summary.refused == 100 and len(summary.refusals) == MAX_REFUSALS


def test_merging_prefers_the_instance_a_sidecar_watches_else_the_newest_report() -> None:
    moved = [Sidecar("n", 5.0, watches=0, applied=42), Sidecar("m", 5.0, applied=42)]
    now = [Sidecar("n", 1.0, watches=1, applied=43), Sidecar("m", 4.0, applied=41)]
    for order in ((moved, now), (now, moved)):
        merged = {sidecar.name: sidecar.applied for sidecar in merge_sidecars(order)}
        assert merged == {"n": 43, "m": 42}


def test_a_sidecar_s_entry_survives_a_round_trip_through_json() -> None:
    sidecar = Sidecar("n", 90.0, 1, 43, "d", 44, "why")
    fields = json.loads(json.dumps(encode_sidecar(sidecar, 100.0)))
    assert decode_sidecar(fields, 50.0) == Sidecar("n", 40.0, 1, 43, "d", 44, "why")


@pytest.mark.parametrize(
    ("data", "names"),
    [
        (b"", "report"),
        (b"[]", "report"),
        (b"[" * 100_000, "report"),
        (b'{"index":1,"status":"applied"}', "name"),
        (b'{"name":"a\\nb","index":1,"status":"applied"}', "name"),
        (b'{"name":"n","index":-1,"status":"applied"}', "index"),
        (b'{"name":"n","index":true,"status":"applied"}', "index"),
        (b'{"name":"n","index":1,"status":"done"}', "status"),
        (b'{"name":"n","index":1,"status":["applied"]}', "status"),
        (b'{"name":"n","index":1,"status":"refused","cause":1}', "cause"),
        (b'{"name":"n","index":1,"status":"applied","digest":1}', "digest"),
        (b"\xff", "report"),
    ],
)
def test_a_report_that_can_t_be_read_names_its_field(data: bytes, names: str) -> None:
    with pytest.raises(DocumentError, match=names):
        decode_report(data)


@given(st.integers(0, 2**40), st.sampled_from(Status), st.text(max_size=2 * MAX_CAUSE_LENGTH))
def test_a_report_encoded_by_a_sidecar_is_decoded_unchanged(index: int, status: Status, cause: str) -> None:
    worded = follower.Report(index, "d", status, cause).encode("n1")
    assert decode_report(worded) == Report("n1", index, "d", status, cause[:MAX_CAUSE_LENGTH])


# Requests


def parse(data: bytes, limit: int = 100) -> list[Request]:
    return RequestReader(lambda path: limit).feed(data)


WHOLE_REQUEST = b"POST /v1/x?from=3&name=n%201 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"


@given(st.lists(st.integers(0, len(WHOLE_REQUEST)), max_size=6))
def test_a_request_is_parsed_the_same_however_it_is_split(cuts: list[int]) -> None:
    reader, found = RequestReader(lambda path: 100), []
    places = [0, *sorted(cuts), len(WHOLE_REQUEST)]
    for start, end in itertools.pairwise(places):
        found += reader.feed(WHOLE_REQUEST[start:end])
    assert found == [Request("POST", "/v1/x", {"from": "3", "name": "n 1"}, b"abc", True)]


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 400),
        (b"GARBAGE\r\n\r\n", 400),
        (b"GET /" + b"a" * 9000, 431),
        (b"GET / HTTP/1.1\r\n" + b"A: b\r\n" * 2000, 431),
        (b"POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n", 413),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n" + b"b" * 255, 413),
        (b"GET / HTTP/1.1\r\n\r\n" * 17, 400),
    ],
)
def test_an_invalid_request_is_refused_with_its_status(data: bytes, status: int) -> None:
    with pytest.raises(BadRequestError) as raised:
        parse(data)
    assert raised.value.status == status


@given(st.binary(max_size=300))
def test_any_bytes_are_parsed_or_refused(data: bytes) -> None:
    try:
        parse(data)
    except BadRequestError as error:
        assert error.status in (400, 413, 431)
