"""Validates a scenario across its tables, beyond what the types of single fields express."""

from __future__ import annotations

from millgw.rehearsal.scenario import (
    CONTROL_FAULTS,
    ENDPOINT_FAULTS,
    FAULT_SIZES,
    OUTAGE_FAULTS,
    Fault,
    Scenario,
)


def validate(scenario: Scenario) -> Scenario:
    """Return the scenario if it is consistent; otherwise raise ValueError as `path: problem`."""
    fleet = scenario.fleet
    tier_count = len(fleet.tiers)
    if len(fleet.work) != tier_count:
        raise ValueError(f"fleet.work: has {len(fleet.work)} shares for {tier_count} tiers")
    if len(fleet.calls) < tier_count - 1:
        raise ValueError(
            f"fleet.calls: has {len(fleet.calls)} numbers for the calls between {tier_count} tiers"
        )
    if fleet.sidecars <= fleet.endpoint_sidecars():
        raise ValueError(
            f"fleet.sidecars: {fleet.sidecars} leaves none for the front:"
            f" {fleet.endpoint_sidecars()} belong to endpoints"
        )
    for path, names in (
        ("classes", [c.name for c in scenario.classes]),
        ("tenants", [t.name for t in scenario.tenants]),
    ):
        for i, name in enumerate(names):
            if name in names[:i]:
                raise ValueError(f"{path}[{i}].name: {name!r} is given twice")
    for i, cls in enumerate(scenario.classes):
        if cls.aim_ms > cls.deadline_ms:
            raise ValueError(f"classes[{i}].aim_ms: exceeds the deadline_ms of {cls.deadline_ms:g}")
        if cls.repeat == "dedup" and cls.window_ms <= 0:
            raise ValueError(
                f"classes[{i}].window_ms: a dedup class needs the time for which repeats are recognized"
            )
    _check_services(scenario)
    _check_configuration(scenario)
    _check_zones(scenario)
    for path, (low, high) in (
        ("traffic.try_share", scenario.traffic.try_share),
        ("traffic.wait_ms", scenario.traffic.wait_ms),
        ("discovery.notice_s", scenario.discovery.notice_s),
        ("discovery.silent_s", scenario.discovery.silent_s),
        ("discovery.add_s", scenario.discovery.add_s),
    ):
        if low > high:
            raise ValueError(f"{path}: {low:g} to {high:g} is not a range: the first is larger")
    for i, fault in enumerate(scenario.faults):
        _check_fault(f"faults[{i}]", fault, scenario)
    return scenario


def _check_services(scenario: Scenario) -> None:
    classes, seen = [c.name for c in scenario.classes], set[str]()
    if scenario.services and scenario.coordinator is not None:
        raise ValueError("coordinator: a day with services has a discovery server for each")
    if scenario.services and len(scenario.fleet.tiers) != 1:
        raise ValueError("fleet.tiers: a day with services has one tier")
    for i, service in enumerate(scenario.services):
        for j, name in enumerate(service.classes):
            if name not in classes:
                raise ValueError(f"services[{i}].classes[{j}]: there is no class {name!r}")
            if name in seen:
                raise ValueError(f"services[{i}].classes[{j}]: {name!r} belongs to another service already")
            seen.add(name)
        if service.name in [s.name for s in scenario.services[:i]]:
            raise ValueError(f"services[{i}].name: {service.name!r} is given twice")
    if scenario.services and len(seen) < len(classes):
        raise ValueError(
            f"services: class {next(c for c in classes if c not in seen)!r} belongs to no service"
        )


def _check_configuration(scenario: Scenario) -> None:
    configuration = scenario.configuration
    if configuration is None or not configuration.refusing:
        return
    if scenario.services:
        raise ValueError("configuration.refusing: not supported on a day with services")
    front = scenario.fleet.sidecars - scenario.fleet.endpoint_sidecars()
    if configuration.refusing >= front:
        raise ValueError(
            f"configuration.refusing: {configuration.refusing} must be less than the {front} front sidecars"
        )


def _check_zones(scenario: Scenario) -> None:
    zones = scenario.zones
    if zones is None:
        return
    for path, names in (
        {f"regions.{r}": z for r, z in zones.regions.items()} | {"front": zones.front}
    ).items():
        for name in names:
            if name not in zones.names:
                raise ValueError(f"zones.{path}: {name!r} is not one of the names")


def _check_fault(path: str, fault: Fault, scenario: Scenario) -> None:
    if fault.start_s >= scenario.seconds:
        raise ValueError(f"{path}.start_s: {fault.start_s:g} is past the day's {scenario.seconds:g} seconds")
    if fault.kind in FAULT_SIZES:
        maximum = FAULT_SIZES[fault.kind][1]
        if fault.size is not None and fault.size > maximum:
            raise ValueError(f"{path}.size: {fault.kind} takes at most {maximum:g}")
        if fault.size is not None and fault.kind in ("slowdown", "crowd") and fault.size < 1:
            raise ValueError(f"{path}.size: {fault.kind} takes at least 1")
    elif fault.size is not None:
        raise ValueError(f"{path}.size: {fault.kind} has no size")
    tiers = len(scenario.services) or len(scenario.fleet.tiers)
    if fault.tier > tiers:
        raise ValueError(f"{path}.tier: there are {tiers}")
    if fault.cls is not None and (
        fault.kind != "crowd" or fault.cls not in [c.name for c in scenario.classes]
    ):
        raise ValueError(
            f"{path}.class: only a crowd takes a class, a known one; not {fault.cls!r} of {fault.kind}"
        )
    is_service = fault.service in [s.name for s in scenario.services]
    if (fault.kind == "reload") != is_service or (fault.service is not None and not is_service):
        raise ValueError(f"{path}.service: a reload names one of the services; other faults name none")
    if fault.kind.startswith("zk-") and scenario.coordinator is None:
        raise ValueError(f"{path}.kind: {fault.kind} hits a coordinator, and the day has none")
    if fault.kind in CONTROL_FAULTS and scenario.configuration is None:
        raise ValueError(f"{path}.kind: {fault.kind} hits control instances, and the day has none")
    if fault.outage is not None and fault.kind not in OUTAGE_FAULTS:
        raise ValueError(f"{path}.outage: {fault.kind} is not an outage of the discovery server")
    if fault.zone is not None:
        if fault.kind not in ENDPOINT_FAULTS:
            raise ValueError(f"{path}.zone: {fault.kind} does not hit endpoints")
        if scenario.zones is None or fault.zone not in scenario.zones.names:
            raise ValueError(f"{path}.zone: the day has no zone {fault.zone!r}")
    if fault.tier and fault.kind not in ENDPOINT_FAULTS:
        raise ValueError(f"{path}.tier: {fault.kind} does not hit endpoints")
