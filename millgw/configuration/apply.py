"""Applies a version of the distributed document to a sidecar: validated as a whole, then applied atomically.

The version's entries override the sidecar's local files. Entries used, all others being ignored:

- `settings`: overrides the settings of the configuration file, table by table.
- `services.NAME`: overrides the settings of one service of the operator's file, after `settings`.
- `services.NAME.limits`, `services.NAME.connections`, `connections`: override the operator's tables of that
  name.

The error for an unusable version is one line that names the field. A field that can't change while the
sidecar is running is reported as `takes a restart: FIELD`.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

from millgw.interface import Settings, Tenant
from millgw.operator.file import Connections, Limits, OperatorFile, Service, check
from millgw.operator.loaded_files import LoadedFiles
from millgw.platform.config import Config, ConfigError, with_settings
from millgw.services.builders import deep_merge, make_locality, pool_config
from millgw.settings import REPEATS, SCOPES, read_list, read_table

if TYPE_CHECKING:
    from millgw.connections.manager import ConnectionManager
    from millgw.connections.settings import ConnectionSettings
    from millgw.pool.pool import Pool

Entries = Mapping[str, Mapping[str, Any]]

SETTINGS, CONNECTIONS, SERVICES = "settings", "connections", "services."
LIMITS_PART, CONNECTIONS_PART = "limits", "connections"

SETTING_KEYS = frozenset(
    ("classes", "projects", "rules", "limits", "localities", "overShareWorth", "registryMode")
) | frozenset(("me", "siblings", "stage", "tick"))
RULE_KEYS = frozenset(("coldShare", "cold", "fallMultiple", "fall", "askWithin"))
LIMIT_KEYS = frozenset(("tryLimit", "parallelTries", "maxRetryAfter", "connectTimeout", "connIdle"))
CLASS_KEYS = frozenset(("name", "deadline", "repeat", "slo", "worth", "keyScope", "repeatWindow"))
PROJECT_KEYS = frozenset(("name", "quotaRps"))
FIELD_LABELS = {
    "Settings.max_attempts": "settings: limits.tryLimit",
    "Settings.cold_share": "settings: rules.coldShare",
    "Settings.siblings": "settings: siblings",
}
"""Fields that only the balancer's settings validate, and the setting that an operator writes for each."""

STARTUP_KEYS = frozenset(("listen", "control", "discovery", "name", "seed", "known"))
"""Keys of the configuration file that a process reads only once, at startup."""


class RefusedVersionError(ValueError):
    """This sidecar can't use a version; nothing has changed. The message is one line naming the field."""


class RestartRequiredError(RefusedVersionError):
    """A version can't be applied to a running sidecar, but can be used at its next start."""

    def __init__(self, field: str) -> None:
        super().__init__(f"takes a restart: {field}")


def override_files(files: LoadedFiles, entries: Entries) -> LoadedFiles:
    """Return the files overridden by a document's entries.

    Raises RefusedVersionError, naming the field, for entries that can't be used.
    """
    settings = dict(files.settings)
    if SETTINGS in entries:
        check_setting_keys(SETTINGS, entries[SETTINGS], files.settings)
        settings = deep_merge(settings, entries[SETTINGS])
    try:
        config = with_settings(files.config, settings)
    except (ValueError, TypeError) as error:
        raise RefusedVersionError(operator_message(error)) from None
    return LoadedFiles(config, settings, _override_operator(files, settings, entries))


def _override_operator(files: LoadedFiles, settings: Mapping[str, Any], entries: Entries) -> OperatorFile:
    operator = files.operator
    connections = _override_connections(operator.connections, entries, CONNECTIONS)
    services = {
        name: _override_service(service, settings, entries, f"{SERVICES}{name}")
        for name, service in operator.services.items()
    }
    overridden = msgspec.structs.replace(operator, connections=connections, services=services)
    try:
        return check(overridden)
    except ValueError as error:
        raise RefusedVersionError(one_line(error)) from None


def _override_service(service: Service, settings: Mapping[str, Any], entries: Entries, path: str) -> Service:
    own_settings = service.settings
    if path in entries:
        check_setting_keys(path, entries[path], deep_merge(settings, own_settings))
        own_settings = deep_merge(own_settings, entries[path])
    limits = service.limits
    limits_path = f"{path}.{LIMITS_PART}"
    if limits_path in entries:
        limits = _override_table(limits_path, limits, entries[limits_path], Limits)
    connections = _override_connections(service.connections, entries, f"{path}.{CONNECTIONS_PART}")
    return msgspec.structs.replace(service, settings=own_settings, limits=limits, connections=connections)


def _override_connections(before: Connections | None, entries: Entries, path: str) -> Connections | None:
    if path not in entries:
        return before
    return _override_table(path, before or Connections(), entries[path], Connections)


T = TypeVar("T", bound=msgspec.Struct)


def _override_table(path: str, before: T, overrides: Mapping[str, Any], kind: type[T]) -> T:
    """Override keys of a table of the operator's file, with the same validation as for the file."""
    try:
        return msgspec.convert(deep_merge(msgspec.to_builtins(before), overrides), kind)
    except msgspec.ValidationError as error:
        problem, _, location = str(error).partition(" - at `$")
        raise RefusedVersionError(one_line(f"{path}{location.rstrip('`')}: {problem}")) from None


def check_setting_keys(path: str, overrides: Mapping[str, Any], base: Mapping[str, Any]) -> None:
    """Refuse unknown keys, and values that are no table or list where one is expected.

    They would otherwise be ignored silently. Keys that the file has beside the known ones are accepted too.
    """
    for key in overrides:
        if key in STARTUP_KEYS:
            raise RefusedVersionError(f"takes a restart: {path}.{key}, which only the file can say")
    _check_known_keys(path, overrides, SETTING_KEYS | base.keys())
    for key, known in (("rules", RULE_KEYS), ("limits", LIMIT_KEYS)):
        if key in overrides:
            if not isinstance(overrides[key], dict):
                raise RefusedVersionError(f"{path}.{key}: not an object")
            _check_known_keys(f"{path}.{key}", overrides[key], known | read_table(dict(base), key).keys())
    for key, known in (("classes", CLASS_KEYS), ("projects", PROJECT_KEYS)):
        if key in overrides:
            file_keys = [row.keys() for row in read_list(dict(base), key) if isinstance(row, dict)]
            _check_rows(f"{path}.{key}", overrides[key], known.union(*file_keys))


def _check_known_keys(path: str, keys: Mapping[str, Any], known: Collection[str]) -> None:
    for key in keys:
        if key not in known:
            raise RefusedVersionError(one_line(f"{path}.{key}: no such setting"))


def _check_rows(path: str, rows: Any, known: Collection[str]) -> None:
    if not isinstance(rows, list):
        raise RefusedVersionError(f"{path}: not a list")
    names: list[Any] = []
    for i, row in enumerate(rows):
        if not isinstance(row, dict) or not isinstance(row.get("name"), str):
            raise RefusedVersionError(f"{path}[{i}].name: is missing or not a string")
        if row["name"] in names:
            raise RefusedVersionError(one_line(f"{path}[{i}].name: {row['name']!r} is given twice"))
        names.append(row["name"])
        _check_known_keys(f"{path}[{i}]", row, known)
        for key, choices in (("keyScope", SCOPES), ("repeat", REPEATS)):
            if key in row and row[key] not in list(choices):
                raise RefusedVersionError(f"{path}[{i}].{key}: is unknown")


def operator_message(error: Exception) -> str:
    """The error's message in one line, with internal field names replaced by the operator's setting names."""
    cause = one_line(error)
    for name, label in FIELD_LABELS.items():
        cause = cause.replace(name, label)
    return cause


def one_line(text: object) -> str:
    """Collapse all whitespace, so that a message that quotes a field's value stays one line."""
    return " ".join(str(text).split())


# Changes of one pool


@dataclass(slots=True, frozen=True)
class PoolChange:
    """A validated change of one pool's configuration."""

    pool: Pool
    tended: ConnectionManager | None
    config: Config
    terms: ConnectionSettings | None

    def apply(self) -> None:
        """Apply the change to the pool and its connections."""
        self.pool.reconfigure(self.config)
        if self.tended is None or self.terms is None:
            return
        from millgw.connections.attach import instance_position

        self.tended.set_position(instance_position(self.config.settings), self.config.idle)
        if self.terms != self.tended.terms:
            self.tended.change(self.terms)


def plan_pool_change(
    path: str, pool: Pool, tended: ConnectionManager | None, config: Config, terms: ConnectionSettings | None
) -> PoolChange:
    """Plan the change of a running pool to a configuration.

    Raises RestartRequiredError, naming the field, for a change that takes a restart.
    """
    if (tended is None) != (terms is None):
        raise RestartRequiredError(f"{path}{CONNECTIONS}")
    settings = live_settings(f"{path}{SETTINGS}", pool.config.settings, config.settings)
    if config.zones != pool.config.zones:
        raise RestartRequiredError(f"{path}{SETTINGS}.localities")
    return PoolChange(pool, tended, replace(config, settings=settings), terms)


def live_settings(path: str, before: Settings, after: Settings) -> Settings:
    """Order classes and tenants as the running balancer numbers them.

    A tenant missing from the new settings has no limit, like one that was never configured; a new tenant
    comes after all others.
    """
    classes = {cls.name: cls for cls in after.classes}
    if len(classes) != len(after.classes) or classes.keys() != {cls.name for cls in before.classes}:
        raise RestartRequiredError(f"{path}.classes")
    for key, same in (
        ("registryMode", after.ask_discovery == before.ask_discovery),
        ("stage", after.stage == before.stage),
        ("me", after.index == before.index),
    ):
        if not same:
            raise RestartRequiredError(f"{path}.{key}")
    new_tenants = {tenant.name: tenant for tenant in after.tenants}
    known = [tenant.name for tenant in before.tenants]
    tenants = [new_tenants.get(name, Tenant(name)) for name in known]
    tenants += [tenant for name, tenant in new_tenants.items() if name not in known]
    ordered = tuple(classes[cls.name] for cls in before.classes)
    return replace(after, classes=ordered, tenants=tuple(tenants))


def check_places(files: LoadedFiles, config: Config) -> None:
    """Check that a pool of this configuration can start with the operator's [places].

    Raises RefusedVersionError, naming the zone or class that the configuration does not have.
    """
    try:
        make_locality(files.operator, config, seed=0)
    except ConfigError as error:
        raise RefusedVersionError(one_line(error)) from None


def service_config(files: LoadedFiles, name: str) -> Config:
    """The configuration of one service's pool; raises RefusedVersionError for settings that can't be used."""
    try:
        return pool_config(name, files.operator.services[name], files.config, files.settings)
    except (ValueError, TypeError) as error:
        raise RefusedVersionError(operator_message(error)) from None


def plan_service_change(
    files: LoadedFiles, name: str, pool: Pool, tended: ConnectionManager | None
) -> PoolChange:
    """Plan the change of one service's pool to files that already include the document's entries."""
    config = service_config(files, name)
    return plan_pool_change(f"{SERVICES}{name}.", pool, tended, config, files.operator.connection_terms(name))
