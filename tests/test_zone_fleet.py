"""Whole fleets in virtual time: the hard cases of zones, with places set and, where it tells, without them.

Bounds are of what a run may cost at the worst; the measured figures stand in docs/design/locality.md.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from millgw.locality.places import Distance
from millgw.locality.router import LocalityOptions
from millgw.simulation.zone_fleet import (
    CallRecord,
    FleetShape,
    ZoneFault,
    ZoneFaultKind,
    ZoneFleet,
)
from tests.kinds import pure_run_only

pytestmark = pure_run_only

REGIONS = (0, 0, 0, 0, 1, 1, 1)
EVEN = (5,) * 7
CALM = FleetShape(EVEN, EVEN, REGIONS, seconds=25.0)
SETTLED = 15.0  # s after which sidecars that start together stay near
LOST, SLOW, GRAY, PARTED = ZoneFaultKind.LOST, ZoneFaultKind.SLOW, ZoneFaultKind.GRAY, ZoneFaultKind.PARTED


def play(shape: FleetShape, seed: int, **changes: object) -> ZoneFleet:
    return ZoneFleet(replace(shape, **changes), seed).play()  # type: ignore[arg-type]


def near(fleet: ZoneFleet, since: float, until: float) -> float:
    return fleet.share_by_distance(since, until)[Distance.NEAR]


@pytest.mark.parametrize("seed", [11, 12])
@pytest.mark.parametrize("load", [0.3, 0.8])
def test_an_even_fleet_stays_near_and_serves_everything(load: float, seed: int) -> None:
    fleet = play(CALM, seed, load=load)
    assert fleet.lost(0.0, 25.0) == 0
    assert near(fleet, SETTLED, 25.0) > 0.93
    assert fleet.share_by_distance(SETTLED, 25.0)[Distance.REMOTE] < 0.01


def test_the_same_seed_plays_the_same() -> None:
    assert play(CALM, 11, seconds=4.0).calls == play(CALM, 11, seconds=4.0).calls


def test_a_start_of_all_at_once_does_not_meet_on_the_near_zone() -> None:
    fleet = play(CALM, 11)
    assert near(fleet, 0.0, 2.0) < 0.3


@pytest.mark.parametrize("seed", [11, 12])
def test_callers_in_one_zone_and_endpoints_in_all(seed: int) -> None:
    fleet = play(CALM, seed, sidecars=(35, 0, 0, 0, 0, 0, 0), seconds=30.0)
    assert fleet.served(0.0, 30.0) > 0.99


@pytest.mark.parametrize("seed", [11, 12])
def test_a_zone_with_few_endpoints_is_not_melted_by_its_many_callers(seed: int) -> None:
    uneven = replace(CALM, endpoints=(8, 2, 5, 5, 5, 5, 5), sidecars=(2, 8, 5, 5, 5, 5, 5), load=0.6)
    fleet = play(uneven, seed, seconds=30.0)
    assert fleet.served(0.0, 30.0) > 0.995
    told = play(uneven, seed, seconds=30.0, options=LocalityOptions(0.6, dict(enumerate(uneven.sidecars))))
    assert told.served(0.0, 30.0) > 0.995
    assert near(told, SETTLED, 30.0) == pytest.approx(1.0 - 8 / 35 * (1.0 - 2 / 4.8), abs=0.08)


@pytest.mark.parametrize("seed", [11, 12])
def test_a_lost_zone_is_left_within_a_second_and_returns_cold(seed: int) -> None:
    shape = replace(CALM, seconds=40.0, faults=(ZoneFault(LOST, 1, 15.0, 25.0),))
    fleet, before = play(shape, seed), play(shape, seed, places=False)
    assert fleet.share_into(1, 16.0, 25.0) < 0.02 and fleet.share_into(1, 16.0, 17.0) < 0.03
    assert fleet.lost(12.0, 25.0) < before.lost(12.0, 25.0)
    assert fleet.quantile(0.99, 15.0, 18.0) < 1000.0 <= before.quantile(0.99, 15.0, 18.0)
    assert fleet.cold_worst() <= 1.0
    assert fleet.share_into(1, 36.0, 40.0) > 0.05, "it is used again"


def test_a_zone_lost_in_the_middle_of_a_release() -> None:
    """Another zone's endpoints have just started: what spills must not push them over."""
    shape = replace(CALM, load=0.4, start_cold=(0, 2), faults=(ZoneFault(LOST, 1, 3.0, 13.0),))
    fleet = play(shape, 11)
    assert fleet.cold_worst() <= 1.0
    assert fleet.served(4.0, 25.0) > 0.99


def test_two_zones_slow_together_are_not_left() -> None:
    """A shared backend: half of a region is slow, which is no zone's fault."""
    faults = (ZoneFault(SLOW, 1, 15.0, 25.0, 2.0), ZoneFault(SLOW, 2, 15.0, 25.0, 2.0))
    fleet = play(CALM, 11, load=0.4, seconds=35.0, faults=faults)
    assert fleet.lost(0.0, 35.0) == 0
    assert near(fleet, 17.0, 25.0) > 0.85


def test_one_slow_zone_is_leaned_away_from_and_not_lost() -> None:
    fleet = play(CALM, 11, seconds=45.0, faults=(ZoneFault(SLOW, 1, 15.0, 25.0, 3.0),))
    assert fleet.served(0.0, 45.0) > 0.99
    assert 0.001 < fleet.share_into(1, 20.0, 25.0) < 0.09
    assert fleet.share_into(1, 40.0, 45.0) > fleet.share_into(1, 20.0, 25.0)


def test_a_rack_of_a_zone_is_no_zone() -> None:
    """A third of a zone's endpoints vanish: the others of it are sent to all the while."""
    shape = replace(CALM, endpoints=(10,) * 7, sidecars=(10,) * 7)
    fleet = play(shape, 11, faults=(ZoneFault(LOST, 1, 15.0, 25.0, part=0.3),))
    assert fleet.share_into(1, 17.0, 25.0) > 0.08
    assert fleet.served(16.0, 25.0) > 0.99


def test_a_zone_that_flaps_is_not_trusted_again_at_once() -> None:
    faults = tuple(ZoneFault(LOST, 1, at, at + 5.0) for at in (15.0, 25.0, 35.0))
    shape = replace(CALM, seconds=45.0, faults=faults)
    fleet, before = play(shape, 11), play(shape, 11, places=False)
    assert 2 * fleet.lost(12.0, 45.0) < before.lost(12.0, 45.0)
    assert fleet.cold_worst() <= 1.0


@pytest.mark.parametrize("seed", [11, 12])
def test_a_whole_region_back_at_once_and_cold(seed: int) -> None:
    faults = tuple(ZoneFault(LOST, zone, 15.0, 25.0) for zone in (4, 5, 6))
    shape = replace(CALM, load=0.4, seconds=45.0, faults=faults)
    fleet, before = play(shape, seed), play(shape, seed, places=False)
    assert fleet.cold_worst() <= 1.0
    assert fleet.lost(12.0, 45.0) < before.lost(12.0, 45.0)
    assert fleet.served(25.0, 45.0) > 0.99


@pytest.mark.parametrize("seed", [11, 12])
def test_a_zone_into_which_one_call_in_five_is_lost(seed: int) -> None:
    shape = replace(CALM, faults=(ZoneFault(GRAY, 1, 15.0, 25.0, 0.2),))
    fleet, before = play(shape, seed), play(shape, seed, places=False)
    assert 3 * fleet.lost(15.0, 25.0) < before.lost(15.0, 25.0)
    assert fleet.share_into(1, 18.0, 25.0) > 0.05, "its own callers, who lose nothing, stay"


@pytest.mark.parametrize("seed", [11, 12])
def test_a_zone_that_is_cut_off_serves_itself_and_is_whole_again_at_once(seed: int) -> None:
    shape = replace(CALM, seconds=40.0, faults=(ZoneFault(PARTED, 1, 15.0, 25.0),))
    fleet, before = play(shape, seed), play(shape, seed, places=False)
    assert 4 * fleet.lost(12.0, 25.0) < before.lost(12.0, 25.0)

    def inside(call: CallRecord) -> bool:
        return call.zone == 1

    assert fleet.served(17.0, 25.0, inside) > 0.97
    assert fleet.served(25.0, 40.0) > 0.999
    assert near(fleet, 25.0, 40.0) > 0.9


def test_forty_endpoints_for_670_callers() -> None:
    shape = FleetShape((6, 6, 6, 6, 6, 5, 5), (96, 96, 96, 96, 96, 95, 95), REGIONS, load=0.6, seconds=10.0)
    fleet = play(shape, 11)
    assert fleet.served(0.0, 10.0) > 0.999


def test_670_endpoints_and_sidecars_with_one_call_a_second_each_and_a_lost_zone() -> None:
    """Little evidence for each: still no endpoint is pushed over, and little more is lost than without."""
    each = (96, 96, 96, 96, 96, 95, 95)
    faults = (ZoneFault(LOST, 1, 6.0, 11.0),)
    shape = FleetShape(each, each, REGIONS, load=0.02, seconds=16.0, faults=faults)
    fleet, before = play(shape, 11), play(shape, 11, places=False)
    assert fleet.cold_worst() <= 1.0
    assert fleet.lost(0.0, 16.0) < 1.2 * before.lost(0.0, 16.0)


def test_keyed_and_unsafe_calls_through_a_lost_zone() -> None:
    shape = replace(CALM, seconds=30.0, mix=(0.4, 0.3, 0.3), faults=(ZoneFault(LOST, 1, 15.0, 25.0),))
    fleet = play(shape, 11)
    for cls in range(3):
        assert fleet.served(17.0, 25.0, lambda call, cls=cls: call.cls == cls) > 0.98  # type: ignore[misc]
