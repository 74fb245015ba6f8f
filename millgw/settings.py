"""Parses the operators' JSON settings into `interface.Settings`; shared by adapter and sidecar."""

from __future__ import annotations

import json
from typing import Any

from millgw import interface as api

REPEATS = {"retryable": api.Repeat.SAFE, "dedup": api.Repeat.KEYED, "fragile": api.Repeat.UNSAFE}
SCOPES = {"all": api.Scope.ALL, "zone": api.Scope.ZONE, "cell": api.Scope.CELL}


class SettingsError(ValueError):
    """A required setting is missing, or a value is invalid."""


def read_number(where: dict[str, Any], key: str, path: str, default: float | None = None) -> float:
    value = where.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise SettingsError(f"settings: {path}{key} is missing or not a number")
    if not 0 <= value < float("inf"):
        raise SettingsError(f"settings: {path}{key} must not be negative or infinite")
    return float(value)


def read_table(where: dict[str, Any], key: str) -> dict[str, Any]:
    value = where.get(key)
    return value if isinstance(value, dict) else {}


def read_list(where: dict[str, Any], key: str) -> list[Any]:
    value = where.get(key)
    return value if isinstance(value, list) else []


def _request_class(entry: Any, index: int) -> api.RequestClass:
    path = f"classes[{index}]."
    if not isinstance(entry, dict):
        raise SettingsError(f"settings: classes[{index}] is not an object")
    repeat = REPEATS.get(entry.get("repeat", ""))
    if repeat is None:
        raise SettingsError(f"settings: {path}repeat is missing or unknown")
    deadline = read_number(entry, "deadline", path)
    return api.RequestClass(
        name=str(entry.get("name", index)),
        deadline=deadline,
        repeat=repeat,
        aim=read_number(entry, "slo", path, deadline),
        worth=read_number(entry, "worth", path, 1.0),
        scope=SCOPES.get(entry.get("keyScope", "cell"), api.Scope.CELL),
        window=read_number(entry, "repeatWindow", path, 0.0),
    )


def read_settings(raw: bytes) -> api.Settings:
    """Parse the settings of one instance from the JSON text of its first message."""
    try:
        data = json.loads(raw)
    except ValueError as error:
        raise SettingsError(f"settings: not JSON ({error})") from None
    return to_settings(data)


def to_settings(data: Any) -> api.Settings:
    """Convert the decoded JSON value into the settings of one instance."""
    if not isinstance(data, dict) or not read_list(data, "classes"):
        raise SettingsError("settings: classes is missing or empty")
    try:
        return _settings(data)
    except ValueError as error:
        raise SettingsError(str(error)) from None


def _settings(data: dict[str, Any]) -> api.Settings:
    rules, limits = read_table(data, "rules"), read_table(data, "limits")
    tenants = [t if isinstance(t, dict) else {} for t in read_list(data, "projects")]
    pushed = data.get("registryMode", "on_request") == "pushed"
    return api.Settings(
        classes=tuple(_request_class(c, i) for i, c in enumerate(read_list(data, "classes"))),
        cold_share=read_number(rules, "coldShare", "rules."),
        cold_time=read_number(rules, "cold", "rules."),
        fall_multiple=read_number(rules, "fallMultiple", "rules."),
        fall_window=read_number(rules, "fall", "rules."),
        tenants=tuple(
            api.Tenant(str(t.get("name", i)), read_number(t, "quotaRps", f"projects[{i}].", 0.0))
            for i, t in enumerate(tenants)
        ),
        over_share_worth=read_number(data, "overShareWorth", "", 1.0),
        index=int(read_number(data, "me", "", 0)),
        siblings=int(read_number(data, "siblings", "", 1)),
        stage=int(read_number(data, "stage", "", 0)),
        tick=read_number(data, "tick", "", 1.0),
        max_attempts=int(read_number(limits, "tryLimit", "limits.", 1)),
        concurrent_attempts=bool(limits.get("parallelTries", False)),
        retry_after_most=read_number(limits, "maxRetryAfter", "limits.", 0.0),
        ask_discovery=not pushed,
        local_agent=pushed,
        ask_within=read_number(rules, "askWithin", "rules.", 10000.0),
        probing=bool(limits.get("probing", False)),
    )
