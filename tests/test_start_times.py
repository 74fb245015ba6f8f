"""Start times of endpoints with clock skew between this machine and the one that reports them."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from millgw.interface import Endpoint, ListKind
from millgw.platform.config import Address
from millgw.platform.discovery import ListedEndpoint
from millgw.pool.driver import Driver
from millgw.pool.start_times import MAX_LISTING_DELAY_MS, MAX_REMEMBERED, StartTimes
from millgw.standins.scripted import ScriptedEndpoint
from tests.kinds import skip_if_compiled
from tests.rig import run, sidecar, wait_until

HOUR = 3_600_000.0
NOW = 1_800_000_000_000.0


@pytest.mark.parametrize("ahead", [HOUR, 0.0, -HOUR])
def test_an_endpoint_that_starts_in_service_is_cold_from_when_it_was_listed(ahead: float) -> None:
    """This machine's clock is right, an hour ahead or an hour behind. Without the correction, a cold endpoint
    looks warm, or stays cold for an hour."""
    times, started = StartTimes(), NOW + 10_000.0
    times.discovery_heard(NOW + 9_000.0)
    dated = times.local_start(NOW + 12_000.0, 1, started - ahead)
    assert NOW + 9_000.0 <= dated <= NOW + 12_000.0
    times.discovery_heard(NOW + 60_000.0)
    assert times.local_start(NOW + 60_000.0, 1, started - ahead) == dated, "determined once"
    assert times.reported_start(1, dated) == started - ahead


def test_the_starts_of_the_first_list_are_kept_unless_in_the_future() -> None:
    times = StartTimes()
    assert times.local_start(NOW, 1, NOW - HOUR) == NOW - HOUR
    assert times.local_start(NOW, 2, NOW + HOUR) == NOW
    assert times.local_start(NOW, 3, 0.0) == 0.0


def test_a_start_reported_after_a_discovery_outage_is_kept() -> None:
    times = StartTimes()
    times.discovery_heard(NOW)
    assert times.local_start(NOW + HOUR, 1, NOW + HOUR / 2) == NOW + HOUR / 2


def test_an_endpoint_that_leaves_the_list_and_returns_keeps_its_start() -> None:
    times = StartTimes()
    assert times.local_start(NOW, 1, NOW - HOUR) == NOW - HOUR
    times.discovery_heard(NOW + 5000.0)
    assert times.local_start(NOW + 5000.0, 1, NOW - HOUR) == NOW - HOUR


@given(
    st.lists(
        st.tuples(st.integers(0, 3), st.floats(0.0, 60_000.0), st.floats(-2 * HOUR, 2 * HOUR), st.booleans()),
        max_size=60,
    )
)
@hypothesis_settings(derandomize=True, deadline=None, max_examples=200)
def test_no_start_is_in_the_future_and_none_comes_before_the_list_that_lacked_it(
    steps: list[tuple[int, float, float, bool]],
) -> None:
    times, now = StartTimes(), NOW
    for endpoint, passes, since, hears in steps:
        now += passes
        heard = times.heard_at
        new = times.known.get(endpoint, (0.0, 0.0))[0] != now + since
        dated = times.local_start(now, endpoint, now + since)
        assert dated <= now
        if new and heard is not None:
            assert dated >= heard - MAX_LISTING_DELAY_MS
        if hears:
            times.discovery_heard(now)


def test_what_is_remembered_is_bounded() -> None:
    times = StartTimes()
    for endpoint in range(MAX_REMEMBERED + 10):
        times.local_start(NOW, endpoint, NOW - 1.0)
    assert len(times.known) == MAX_REMEMBERED and 0 not in times.known


@skip_if_compiled
@pytest.mark.parametrize("ahead", [HOUR, -HOUR])
def test_a_sidecar_whose_clock_is_wrong_takes_a_new_endpoint_for_cold(
    ahead: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Through the driver: the module gets the start on this process's clock."""
    drivers: list[Driver] = []
    original_init = Driver.__init__

    def noted(self: Driver, *parts: object) -> None:
        original_init(self, *parts)  # type: ignore[arg-type]
        drivers.append(self)

    monkeypatch.setattr(Driver, "__init__", noted)

    async def test() -> None:
        async with sidecar(ScriptedEndpoint("e1")):
            await wait_until(lambda: bool(drivers) and bool(drivers[0].ready))
            (driver,) = drivers
            now = driver.clock()
            driver.handle_list(ListKind.DELTA, ())
            entry = ListedEndpoint(Endpoint(77, started_at=now - ahead), Address("127.0.0.1", 9))
            driver.handle_list(ListKind.DELTA, (entry,))
            assert now <= driver.balancer.servers[77].info.started_at <= driver.clock()
            (passed_on,) = (e.endpoint for e in driver.ready_entries() if e.endpoint.id == 77)
            assert passed_on.started_at == now - ahead, (
                "the next process gets the start as discovery reported it"
            )

    run(test)
