"""Applies command-line overrides to a scenario."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from millgw.rehearsal.scenario import Fault, Scenario, ScenarioError
from millgw.rehearsal.scenario_checks import validate

OPTIONAL = ("connections", "peers", "places", "store")
"""Tables of the sidecars' operator file that `--without` can leave out, for comparison."""

PLACES = "places"  # leaves the endpoints' zones as they are, and only drops the sidecars' table

SCALES: dict[str, tuple[int, int, float]] = {"today": (17, 67, 170.0), "to-come": (60, 365, 620.0)}
"""Endpoints of the first tier, sidecars, first attempts per second."""


def with_overrides(
    scenario: Scenario,
    *,
    seed: int | None = None,
    seconds: float | None = None,
    sidecars: int | None = None,
    endpoints: int | None = None,
    rate: float | None = None,
    scale: str | None = None,
    without: Sequence[str] = (),
) -> Scenario:
    """The scenario with the given overrides; with another length, the times of faults scale with it.

    `without` names the tables of `OPTIONAL` that are left out of the sidecars' operator files.
    """
    fleet, traffic = scenario.fleet, scenario.traffic
    if scale is not None:
        scaled = SCALES[scale]
        endpoints = scaled[0] if endpoints is None else endpoints
        sidecars = scaled[1] if sidecars is None else sidecars
        rate = scaled[2] if rate is None else rate
    if endpoints is not None:
        front = fleet.sidecars - fleet.endpoint_sidecars()
        fleet = msgspec.structs.replace(fleet, endpoints=endpoints)
        if sidecars is None:
            sidecars = fleet.endpoint_sidecars() + front
    if sidecars is not None:
        fleet = msgspec.structs.replace(fleet, sidecars=sidecars)
    if rate is not None:
        traffic = msgspec.structs.replace(traffic, rate=rate)
    faults: Sequence[Fault] = scenario.faults
    if seconds is not None:
        factor = seconds / scenario.seconds
        faults = [
            msgspec.structs.replace(
                f, start_s=f.start_s * factor, length_s=f.length_s * factor, spacing_s=f.spacing_s * factor
            )
            for f in faults
        ]
    removed: dict[str, object] = dict.fromkeys(name for name in without if name != PLACES)
    if PLACES in without and scenario.zones is not None:
        removed["zones"] = msgspec.structs.replace(scenario.zones, places=False)
    try:
        return validate(
            msgspec.structs.replace(
                scenario,
                fleet=fleet,
                traffic=traffic,
                faults=tuple(faults),
                seed=scenario.seed if seed is None else seed,
                seconds=scenario.seconds if seconds is None else seconds,
                **removed,
            )
        )
    except ValueError as error:
        raise ScenarioError(f"command line: {error}") from None
