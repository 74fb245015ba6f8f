"""The load generator's reckoning: schedules, traces, histograms, lateness, conditions, comparisons."""

from __future__ import annotations

import json
import math
import random
from collections import Counter
from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from millgw.load import traces
from millgw.load.arrivals import Habits
from millgw.load.behind import reasons, spans
from millgw.load.compare import compare
from millgw.load.conditions import ConditionError
from millgw.load.conditions import parse as read_condition
from millgw.load.page import page
from millgw.load.plan import Class, Content, Plan, PlanError, part, read_class
from millgw.load.report import Report, hlog, of_json, prometheus, to_json
from millgw.load.result import Outcome, Tally, at_quantile
from millgw.load.run import parts
from millgw.load.shapes import ShapeError, merged
from millgw.load.shapes import parse as read_shape
from tests.kinds import pure_run_only

pytestmark = pure_run_only


def plan(*shapes: str, seconds: float = 10.0, **more: object) -> Plan:
    return Plan(tuple(read_shape(s, seconds) for s in shapes), seconds, **more)  # type: ignore[arg-type]


COURSES = (
    ("constant:rate=200", 2000),
    ("ramp:from=0,to=400", 2000),
    ("step:from=100,to=300,at=5", 2000),
    ("jump:from=170,to=620,at=4", 170 * 4 + 395 + 620 * 5),
    ("wave:rate=200,swing=0.5,period=2", 2000),
    ("spike:rate=100,peak=1100,at=5,width=2", 1000 + 1000),
    ("bursts:rate=500,on=1,off=1", 2500),
)


@pytest.mark.parametrize(("shape", "count"), COURSES)
def test_arrivals_are_as_many_as_the_shape_says_by_chance_and_evenly(shape: str, count: int) -> None:
    even = list(merged([read_shape(shape, 10.0)], 10.0, True, 1))
    assert abs(len(even) - count) <= 2
    drawn = [len(list(merged([read_shape(shape, 10.0)], 10.0, False, seed))) for seed in range(20)]
    assert abs(sum(drawn) / 20 - count) < 4 * math.sqrt(count / 20)
    assert len(set(drawn)) > 5


def test_a_jump_is_there_within_its_second() -> None:
    times = list(merged([read_shape("jump:from=170,to=620,at=4", 10.0)], 10.0, True, 1))
    by_second = Counter(int(t / 1000) for t in times)
    assert abs(by_second[3] - 170) <= 1 and abs(by_second[5] - 620) <= 1


def test_poisson_arrivals_scatter_as_they_should() -> None:
    times = list(merged([read_shape("constant:rate=1000", 60.0)], 60.0, False, 3))
    gaps = [b - a for a, b in pairwise(times)]
    mean = sum(gaps) / len(gaps)
    assert mean == pytest.approx(1.0, rel=0.03)
    assert math.sqrt(sum((g - mean) ** 2 for g in gaps) / len(gaps)) == pytest.approx(mean, rel=0.05)


@settings(deadline=None, max_examples=20)
@given(st.integers(0, 2**32), st.integers(1, 7))
def test_the_same_seed_gives_the_same_arrivals_however_many_send_them(seed: int, senders: int) -> None:
    content = Content(keys=50, sizes=(10, 20), hosts=(("a", 1.0), ("b", 3.0)))
    classes = (Class("login", 1.0, 4000.0, "fragile"), Class("batch", 3.0, 6000.0, "dedup"))
    made = plan(
        "constant:rate=60",
        "spike:rate=0,peak=50,at=1",
        seconds=2.0,
        seed=seed,
        classes=classes,
        content=content,
    )
    whole = list(made.arrivals())
    assert whole == list(made.arrivals())
    shared = [part(whole, i, senders) for i in range(senders)]
    assert sorted((a for of in shared for a in of), key=lambda a: a.number) == whole
    assert [a.at for a in whole] == sorted(a.at for a in whole) and len({a.number for a in whole}) == len(
        whole
    )
    assert all(10 <= a.size <= 20 and (a.key != "") is (a.cls == "batch") for a in whole)
    assert [a for _, some in parts(whole) for a in some] == whole


def test_keys_follow_zipf_s_law_and_a_change_of_them_moves_no_arrival() -> None:
    made = list(plan("constant:rate=2000", content=Content(keys=1000, zipf=1.0)).arrivals())
    counts = Counter(a.about for a in made)
    assert counts["0"] / counts["1"] == pytest.approx(2.0, rel=0.25)
    plain = list(plan("constant:rate=2000").arrivals())
    assert [a.at for a in plain] == [a.at for a in made] and len({a.about for a in plain}) == len(plain)


@pytest.mark.parametrize(
    ("text", "says"),
    [
        ("jolt:rate=1", "'jolt' is none of constant, ramp"),
        ("constant", "rate is missing"),
        ("constant:rate=-1", "rate is no number from 0"),
        ("constant:rate=nan", "rate is no number from 0"),
        ("constant:rate=1,rate=2", "rate is given twice"),
        ("jump:from=1,to=2,at=1,rise=0", "rise is 0"),
        ("wave:rate=1,swing=2", "swing is over 1"),
        ("constant:speed=1", "constant has no 'speed'; it takes rate"),
    ],
)
def test_a_shape_that_can_not_be_is_named(text: str, says: str) -> None:
    with pytest.raises(ShapeError) as caught:
        read_shape(text, 10.0)
    assert says in str(caught.value) and text in str(caught.value)


@pytest.mark.parametrize("text", [":share=1", "a:share=0", "a:repeat=often", "a:colour=red", "a:deadline=x"])
def test_a_class_that_can_not_be_is_named(text: str) -> None:
    with pytest.raises(PlanError) as caught:
        read_class(text)
    assert repr(text) in str(caught.value)


# Traces

CSV = (
    "timestamp,class,size\n2026-11-27T10:00:01-03:00,login,10\n2026-11-27T13:00:00+00:00,batch,20\n"
    "never,x,1\n3,x\n"
)
JSONL = '{"at_ms": 1500, "class": "login"}\n\n{"at": 1.0, "tenant": "t"}\n{"class": "x"}\n[1]\n{"at": 1.0}\n'
ACCESS = (
    '127.0.0.1 - ana [27/Nov/2026:10:00:00 -0300] "GET /status/7?x=1 HTTP/1.1" 200 12\n'
    '127.0.0.1 - - [27/Nov/2026:13:00:02 +0000] "POST /login HTTP/1.1" 200 - "-" "curl \\"x\\""\n'
    '127.0.0.1 - - [27/Nov/2026:13:00:02 +0000] "\\x16\\x03" 400 0\nnonsense\n'
)


def test_each_format_is_read_in_the_order_of_its_times_and_bad_lines_are_counted() -> None:
    csv = traces.read(CSV, "t.csv")
    assert [(e.at, e.cls, e.size) for e in csv.entries] == [(0.0, "batch", 20), (1000.0, "login", 10)]
    assert csv.bad == 2 and csv.unordered == 1
    assert csv.named[0].startswith("t.csv:4: ") and csv.named[1] == "t.csv:5: 2 fields, the header has 3"
    jsonl = traces.read(JSONL, "t.jsonl")
    assert [e.at for e in jsonl.entries] == [0.0, 0.0, 500.0] and jsonl.bad == 2 and jsonl.gap == 500.0
    access = traces.read(ACCESS, "access.log")
    assert [(e.at, e.method, e.path, e.tenant) for e in access.entries] == [
        (0.0, "GET", "/status/7?x=1", "ana"), (2000.0, "POST", "/login", ""),
    ]  # fmt: skip
    assert access.bad == 2 and access.named[1] == "access.log:4: not in the common log format"


@pytest.mark.parametrize("text", [CSV, JSONL, ACCESS])
def test_a_strict_reader_ends_at_the_first_bad_line(text: str) -> None:
    with pytest.raises(traces.TraceError) as caught:
        traces.read(text, "t", strict=True)
    assert str(caught.value).startswith("t:4: " if text is not ACCESS else "t:3: ")


@pytest.mark.parametrize("text", ["", "a,b\n1,2\n", "nonsense\n", '{"x": 1}\n'])
def test_a_trace_of_which_nothing_can_be_read_is_refused(text: str) -> None:
    with pytest.raises(traces.TraceError):
        traces.read(text, "t")


@given(st.text(max_size=300))
def test_no_text_makes_the_reader_fall_over(text: str) -> None:
    for form in traces.FORMATS:
        try:
            traces.read(text, "t", form)
        except traces.TraceError as error:
            assert str(error).startswith("t")


def test_a_trace_is_scaled_stretched_cut_and_mapped() -> None:
    text = "".join(
        json.dumps({"at": i / 10, "path": "/login/a" if i % 2 else "/x"}) + "\n" for i in range(100)
    )
    trace = traces.read(text, "t")
    changes = traces.Changes(2.5, 2.0, (2.0, 8.0), (("/", "rest"), ("/login", "login")))
    some = traces.entries(trace, changes, 1)
    assert 120 < len(some) < 180 and some == traces.entries(trace, changes, 1)
    assert 0 <= some[0].at <= some[-1].at < 12_000.0
    assert {e.cls for e in some} == {"rest", "login"}
    assert sum(e.cls == "login" for e in some) == pytest.approx(len(some) / 2, rel=0.2)


def test_a_run_exported_as_a_trace_plays_again() -> None:
    classes = (Class("login", 1.0, 4000.0, "fragile"), Class("read", 1.0, 2000.0))
    content = Content(keys=9, sizes=(5, 500), hosts=(("h", 1.0),))
    first = list(plan("constant:rate=100", seconds=2.0, classes=classes, content=content).arrivals())
    trace = traces.read("".join(traces.word(a) + "\n" for a in first), "t")
    again = list(
        traces.arrivals(traces.entries(trace, traces.Changes(), 1), classes, [], Habits(0, (1.0, 1.0)), 1)
    )
    zero = first[0].at
    assert [(a.cls, a.about, a.host, a.size) for a in again] == [
        (a.cls, a.about, a.host, a.size) for a in first
    ]
    assert all(b.at == pytest.approx(a.at - zero, abs=0.002) for a, b in zip(first, again, strict=True))


# Results


def tallied(count: int, seed: int, slower: float = 1.0) -> Tally:
    rng, tally = random.Random(seed), Tally()
    for i in range(count):
        at = i * 20_000.0 / count
        tally.planned(at)
        tally.sent(at, 0.1, 20.0)
        took = rng.lognormvariate(3.0, 0.5) * slower
        tally.first("login" if i % 2 else "read", f"t{i % 3}", at, Outcome.SERVED, took, took / 2)
    return tally


@settings(deadline=None, max_examples=25)
@given(st.lists(st.tuples(st.floats(0.001, 1e6), st.sampled_from(Outcome), st.integers(0, 3)), max_size=40))
def test_what_senders_tell_adds_up_to_what_one_would_have_seen(
    seen: list[tuple[float, Outcome, int]],
) -> None:
    one, several = Tally(), [Tally() for _ in range(4)]
    for i, (took, outcome, sender) in enumerate(seen):
        for tally in (one, several[sender]):
            tally.sent(i * 100.0, took / 7, 20.0)
            tally.first("c", "t", i * 100.0, outcome, took, took / 2)
            tally.retry("c", i * 100.0, outcome, took, None)
            tally.journey("c", outcome, took)
    whole = Tally()
    for tally in several:
        whole.add(Tally.of(json.loads(json.dumps(tally.wire()))))
    # As plain values without the histograms' text, which names no order of what was added.
    for q in (0.0, 0.5, 0.9, 0.999, 1.0):
        for name in ("latency", "service", "served"):
            mine, theirs = (getattr(t.total(), name) for t in (one, whole))
            assert mine.get_total_count() == theirs.get_total_count()
            assert at_quantile(mine, q) == at_quantile(theirs, q)
    assert whole.seconds == one.seconds and whole.late() == one.late()
    assert whole.total().outcomes == one.total().outcomes


def test_late_sends_are_told_by_when_and_how_far() -> None:
    late = {3: (5, 40.0), 4: (2, 90.0), 9: (1, 21.0), 10: (0, 0.0)}
    assert [str(s) for s in spans(late)] == [
        "seconds 3 to 4: 7 late, the worst by 90 ms", "second 9: 1 late, the worst by 21 ms",
    ]  # fmt: skip
    assert reasons(1000, 1000, late, 20.0, 0.01, 0) == []
    (one,) = reasons(700, 700, late, 20.0, 0.01, 0)
    assert "8 of 700" in one and "seconds 3 to 4" in one
    assert len(reasons(1000, 990, late, 20.0, 0.01, 1)) == 2


@pytest.mark.parametrize(
    ("text", "holds"),
    [
        ("login.p99>1ms", True),
        ("login.p99 > 10s", False),
        ("p99.9<=10s", True),
        ("all.max>=1us", True),
        ("read.service.p50>1ms", True),
        ("unserved>0%", False),
        ("login.served<100%", False),
        ("login.served>=100%", True),
        ("rate<1000", True),
        ("mean>0ms", True),
    ],
)
def test_conditions_are_read_and_judged(text: str, holds: bool) -> None:
    condition = read_condition(text)
    found = condition.figure_of(tallied(2000, 1), 20.0)
    assert found is not None and condition.holds(found) is holds


UNREADABLE = (
    "", "p99", "login.p99>", "p99>5", "p99>5%", "served>5ms", "rate>5ms", "p999>1ms", "x>1ms", "p99=1ms",
    "service.served>1%", "p99>1.2.3ms",
)  # fmt: skip


@pytest.mark.parametrize("text", UNREADABLE)
def test_a_condition_that_can_not_be_read_is_named(text: str) -> None:
    with pytest.raises(ConditionError) as caught:
        read_condition(text)
    assert repr(text) in str(caught.value)


def test_a_condition_on_a_class_that_was_not_sent_has_no_figure() -> None:
    assert read_condition("batch.p99>1ms").figure_of(tallied(10, 1), 1.0) is None


def test_a_change_is_told_from_noise() -> None:
    base = tallied(8000, 1)
    same = compare(base, tallied(8000, 2))
    slower = compare(base, tallied(8000, 3, slower=1.3))
    assert sum(c.beyond for c in same) <= 1
    assert all(c.beyond for c in slower if c.figure in ("p50 ms", "p90 ms"))
    few = compare(tallied(30, 1), tallied(30, 2))
    assert all(c.noise is None for c in few if c.figure == "p99.9 ms")


def test_a_report_goes_to_each_form_and_back() -> None:
    tally = tallied(500, 1)
    tally.sent(5500.0, 80.0, 20.0)
    report = Report("127.0.0.1:1", "constant:rate=25", 1, 20.0, 2, 501, tally, ["why <b>"], failed=["x>1"])
    value = json.loads(json.dumps(to_json(report)))
    again = of_json(value, "r.json")
    assert to_json(again) == value and value["verdict"] == "INVALID" and again.exit_code == 3
    text = page(report)
    assert (
        "why &lt;b&gt;" in text and text.count("<svg") == 3 and "http" not in text.replace("http-equiv", "")
    )
    lines = [x for x in hlog(report).splitlines() if x.startswith("Tag=login,")]
    assert len(lines) == 20
    assert 'millgw_load_tries{class="login",outcome="served"} 250' in prometheus(report)
    assert "millgw_load_valid 0" in prometheus(report)
