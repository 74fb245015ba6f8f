"""Properties over arbitrary valid event sequences: the four rules hold, and decisions are reproducible."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import HealthCheck, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from millgw.interface import Condition, Endpoint, ListKind, Outcome, Settings
from tests.support import SETTINGS, TENANTS, Drive, endpoints

FIXED_EXAMPLES = hypothesis_settings(
    derandomize=True, deadline=None, max_examples=120, suppress_health_check=[HealthCheck.too_slow]
)
OUTCOMES = [o for o in Outcome if o is not Outcome.OK]

step = st.one_of(
    st.tuples(st.just("arrive"), st.integers(0, 2), st.floats(1, 2500), st.integers(0, 1)),
    st.tuples(st.just("end"), st.integers(0, 50), st.sampled_from([Outcome.OK, Outcome.OK, *OUTCOMES])),
    st.tuples(st.just("abort"), st.integers(0, 50)),
    st.tuples(st.just("advance"), st.floats(0, 700)),
    st.tuples(st.just("condition"), st.integers(1, 6), st.sampled_from(list(Condition)), st.booleans()),
    st.tuples(st.just("full"), st.sets(st.integers(1, 6)), st.booleans()),
    st.tuples(st.just("failed")),
)
config = st.builds(
    lambda stage, together, tenants, attempts: replace(
        SETTINGS,
        stage=stage,
        concurrent_attempts=together,
        tenants=TENANTS if tenants else (),
        max_attempts=attempts,
        over_share_worth=0.1,
    ),
    st.integers(0, 2),
    st.booleans(),
    st.booleans(),
    st.integers(1, 5),
)


def run_steps(config: Settings, steps: list[tuple[object, ...]], seed: int = 3) -> Drive:
    """Turn generated steps into events that could really occur, then let every request end."""
    drive = Drive(config, seed)
    drive.send_list(*endpoints(4), kind=ListKind.CACHED)
    for name, *args in steps:
        pending = [(r, i) for r, tries in drive.attempts.items() for i, t in enumerate(tries) if t[2] is None]
        match name, args:
            case "arrive", [int(cls), float(patience), int(tenant)]:
                drive.arrive(cls, patience, tenant)
            case "end", [int(n), Outcome() as outcome] if pending:
                drive.end_attempt(*pending[n % len(pending)], outcome)
            case "abort", [int(n)] if drive.unanswered:
                drive.abort(list(drive.unanswered)[n % len(drive.unanswered)])
            case "advance", [float(by)]:
                drive.advance(drive.now + by)
                time_out_overdue(drive)
            case "condition", [int(id), Condition() as condition, bool(fresh)]:
                since = drive.now if fresh else 0.0
                drive.send_list(Endpoint(id, condition, cell=id % 2, started_at=since), kind=ListKind.DELTA)
            case "full", [set() as ids, bool(fresh)]:
                since = drive.now if fresh else 0.0
                drive.send_list(*(Endpoint(int(i), cell=int(i) % 2, started_at=since) for i in sorted(ids)))
            case "failed", []:
                drive.send_list(kind=ListKind.FAILED)
    drive.advance(drive.now + 5000)
    time_out_overdue(drive)
    assert not drive.unanswered, "a request was left without an answer"
    return drive


def time_out_overdue(drive: Drive) -> None:
    """End attempts that are still pending at their client's deadline with a timeout."""
    for request, tries in list(drive.attempts.items()):
        for index, attempt in enumerate(tries):
            event = drive.unanswered.get(request)
            if event is not None and attempt[2] is None and drive.now >= event.deadline:
                drive.end_attempt(request, index, Outcome.TIMEOUT)


@FIXED_EXAMPLES
@given(config, st.lists(step, max_size=60))
def test_rules_hold_on_any_legal_sequence(config: Settings, steps: list[tuple[object, ...]]) -> None:
    run_steps(config, steps)


@FIXED_EXAMPLES
@given(config, st.lists(step, max_size=40))
def test_same_events_same_actions_whatever_the_names(
    config: Settings, steps: list[tuple[object, ...]]
) -> None:
    renamed = replace(
        config,
        classes=tuple(replace(c, name=f"other-{i}") for i, c in enumerate(config.classes)),
        tenants=tuple(replace(t, name=f"tenant-{i}") for i, t in enumerate(config.tenants)),
    )
    assert run_steps(config, steps).log == run_steps(renamed, steps).log


@FIXED_EXAMPLES
@given(st.integers(0, 2**32), st.integers(2, 8), st.floats(0.05, 0.9), st.integers(1, 12))
def test_a_cold_endpoint_gets_its_fair_part(seed: int, n: int, share: float, siblings: int) -> None:
    """Rule 4: with a known rate of warm endpoints, a cold one stays well below the allowed multiple."""
    config = replace(SETTINGS, cold_share=share, siblings=siblings)
    drive = Drive(config, seed)
    drive.send_list(*endpoints(n))
    cold = 0

    def serve(count: int) -> None:
        for _ in range(count):
            request = drive.arrive()
            drive.advance(drive.now + 20)
            for index, attempt in enumerate(drive.attempts[request]):
                if attempt[2] is None:
                    drive.end_attempt(request, index, Outcome.OK)

    serve(600)
    warm_rate = len(drive.log) / 12_000 / n
    since = drive.now
    drive.send_list(Endpoint(99, started_at=since), kind=ListKind.DELTA)
    serve(int(config.fall_window / 20))
    cold = drive.count(99)
    end_share = share + (1 - share) * config.fall_window / config.cold_time
    assert cold <= config.fall_multiple * end_share * warm_rate * config.fall_window + 1
