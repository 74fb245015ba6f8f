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
from millgw.operator.file import Connections, Limits, Operator, Service, check
from millgw.operator.files import Files
from millgw.platform.config import Config, with_settings
from millgw.services.parts import merged, pool_config
from millgw.settings import REPEATS, SCOPES, read_list, read_table

if TYPE_CHECKING:
    from millgw.connections.tended import Tended
    from millgw.connections.terms import Terms
    from millgw.pool.pool import Pool

Entries = Mapping[str, Mapping[str, Any]]

SETTINGS, CONNECTIONS, SERVICES = "settings", "connections", "services."
LIMITS_PART, CONNECTIONS_PART = "limits", "connections"

WORDS = frozenset(
    ("classes", "projects", "rules", "limits", "localities", "overShareWorth", "registryMode")
) | frozenset(("me", "siblings", "stage", "tick"))
RULES = frozenset(("coldShare", "cold", "fallMultiple", "fall", "askWithin"))
LIMITS = frozenset(("tryLimit", "parallelTries", "maxRetryAfter", "connectTimeout", "connIdle"))
CLASS = frozenset(("name", "deadline", "repeat", "slo", "worth", "keyScope", "repeatWindow"))
PROJECT = frozenset(("name", "quotaRps"))
FIELD_WORDS = {
    "Settings.max_attempts": "settings: limits.tryLimit",
    "Settings.cold_share": "settings: rules.coldShare",
    "Settings.siblings": "settings: siblings",
}
"""Fields that only the balancer's settings validate, and the setting that an operator writes for each."""

OF_PROCESS = frozenset(("listen", "control", "discovery", "name", "seed", "known"))
"""Keys of the configuration file that a process reads only once, at startup."""


class RefusedVersionError(ValueError):
    """This sidecar can't use a version; nothing has changed. The message is one line naming the field."""


class RestartNeededError(RefusedVersionError):
    """A version can't be applied to a running sidecar, but can be used at its next start."""

    def __init__(self, field: str) -> None:
        super().__init__(f"takes a restart: {field}")


def overlay(files: Files, entries: Entries) -> Files:
    """Return the files overridden by a document's entries.

    Raises RefusedVersionError, naming the field, for entries that can't be used.
    """
    settings = dict(files.settings)
    if SETTINGS in entries:
        check_words(SETTINGS, entries[SETTINGS], files.settings)
        settings = merged(settings, entries[SETTINGS])
    try:
        config = with_settings(files.config, settings)
    except (ValueError, TypeError) as error:
        raise RefusedVersionError(in_words(error)) from None
    return Files(config, settings, _operator(files, settings, entries))


def _operator(files: Files, settings: Mapping[str, Any], entries: Entries) -> Operator:
    operator = files.operator
    connections = _connections(operator.connections, entries, CONNECTIONS)
    services = {
        name: _service(service, settings, entries, f"{SERVICES}{name}")
        for name, service in operator.services.items()
    }
    made = msgspec.structs.replace(operator, connections=connections, services=services)
    try:
        return check(made)
    except ValueError as error:
        raise RefusedVersionError(one_line(error)) from None


def _service(service: Service, settings: Mapping[str, Any], entries: Entries, path: str) -> Service:
    own = service.settings
    if path in entries:
        check_words(path, entries[path], merged(settings, own))
        own = merged(own, entries[path])
    limits = service.limits
    limits_path = f"{path}.{LIMITS_PART}"
    if limits_path in entries:
        limits = _converted(limits_path, limits, entries[limits_path], Limits)
    connections = _connections(service.connections, entries, f"{path}.{CONNECTIONS_PART}")
    return msgspec.structs.replace(service, settings=own, limits=limits, connections=connections)


def _connections(told: Connections | None, entries: Entries, path: str) -> Connections | None:
    if path not in entries:
        return told
    return _converted(path, told or Connections(), entries[path], Connections)


T = TypeVar("T", bound=msgspec.Struct)


def _converted(path: str, before: T, over: Mapping[str, Any], kind: type[T]) -> T:
    """Override keys of a table of the operator's file, with the same validation as for the file."""
    try:
        return msgspec.convert(merged(msgspec.to_builtins(before), over), kind)
    except msgspec.ValidationError as error:
        what, _, where = str(error).partition(" - at `$")
        raise RefusedVersionError(one_line(f"{path}{where.rstrip('`')}: {what}")) from None


def check_words(path: str, over: Mapping[str, Any], base: Mapping[str, Any]) -> None:
    """Refuse unknown keys, and values that are no table or list where one is expected.

    They would otherwise be ignored silently. Keys that the file has beside the known ones are accepted too.
    """
    for word in over:
        if word in OF_PROCESS:
            raise RefusedVersionError(f"takes a restart: {path}.{word}, which only the file can say")
    _check_known(path, over, WORDS | base.keys())
    for word, known in (("rules", RULES), ("limits", LIMITS)):
        if word in over:
            if not isinstance(over[word], dict):
                raise RefusedVersionError(f"{path}.{word}: not an object")
            _check_known(f"{path}.{word}", over[word], known | read_table(dict(base), word).keys())
    for word, known in (("classes", CLASS), ("projects", PROJECT)):
        if word in over:
            filed = [row.keys() for row in read_list(dict(base), word) if isinstance(row, dict)]
            _check_rows(f"{path}.{word}", over[word], known.union(*filed))


def _check_known(path: str, words: Mapping[str, Any], known: Collection[str]) -> None:
    for word in words:
        if word not in known:
            raise RefusedVersionError(one_line(f"{path}.{word}: no such setting"))


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
        _check_known(f"{path}[{i}]", row, known)
        for word, choices in (("keyScope", SCOPES), ("repeat", REPEATS)):
            if word in row and row[word] not in list(choices):
                raise RefusedVersionError(f"{path}[{i}].{word}: is unknown")


def in_words(error: Exception) -> str:
    """The error's message in one line, with internal field names replaced by the operator's setting names."""
    cause = one_line(error)
    for name, word in FIELD_WORDS.items():
        cause = cause.replace(name, word)
    return cause


def one_line(text: object) -> str:
    """Collapse all whitespace, so that a message that quotes a field's value stays one line."""
    return " ".join(str(text).split())


# Changes of one pool


@dataclass(slots=True, frozen=True)
class PoolChange:
    """A validated change of one pool's configuration."""

    pool: Pool
    tended: Tended | None
    config: Config
    terms: Terms | None

    def carry_out(self) -> None:
        """Apply the change to the pool and its connections."""
        self.pool.reconfigure(self.config)
        if self.tended is None or self.terms is None:
            return
        from millgw.connections.attach import place_of

        self.tended.settle(place_of(self.config.settings), self.config.idle)
        if self.terms != self.tended.terms:
            self.tended.change(self.terms)


def plan(path: str, pool: Pool, tended: Tended | None, config: Config, terms: Terms | None) -> PoolChange:
    """Plan the change of a running pool to a configuration.

    Raises RestartNeededError, naming the field, for a change that takes a restart.
    """
    if (tended is None) != (terms is None):
        raise RestartNeededError(f"{path}{CONNECTIONS}")
    settings = in_service(f"{path}{SETTINGS}", pool.config.settings, config.settings)
    if config.zones != pool.config.zones:
        raise RestartNeededError(f"{path}{SETTINGS}.localities")
    return PoolChange(pool, tended, replace(config, settings=settings), terms)


def in_service(path: str, before: Settings, after: Settings) -> Settings:
    """Order classes and tenants as the running balancer numbers them.

    A tenant missing from the new settings has no limit, like one that was never configured; a new tenant
    comes after all others.
    """
    classes = {cls.name: cls for cls in after.classes}
    if len(classes) != len(after.classes) or classes.keys() != {cls.name for cls in before.classes}:
        raise RestartNeededError(f"{path}.classes")
    for word, same in (
        ("registryMode", after.ask_discovery == before.ask_discovery),
        ("stage", after.stage == before.stage),
        ("me", after.index == before.index),
    ):
        if not same:
            raise RestartNeededError(f"{path}.{word}")
    told = {tenant.name: tenant for tenant in after.tenants}
    known = [tenant.name for tenant in before.tenants]
    tenants = [told.get(name, Tenant(name)) for name in known]
    tenants += [tenant for name, tenant in told.items() if name not in known]
    ordered = tuple(classes[cls.name] for cls in before.classes)
    return replace(after, classes=ordered, tenants=tuple(tenants))


def service_config(files: Files, name: str) -> Config:
    """The configuration of one service's pool; raises RefusedVersionError for settings that can't be used."""
    try:
        return pool_config(name, files.operator.services[name], files.config, files.settings)
    except (ValueError, TypeError) as error:
        raise RefusedVersionError(in_words(error)) from None


def plan_service(files: Files, name: str, pool: Pool, tended: Tended | None) -> PoolChange:
    """Plan the change of one service's pool to files that already include the document's entries."""
    service, config = files.operator.services[name], service_config(files, name)
    two_sources = service.coordinator is not None and service.membership is not None
    if two_sources and config.settings.ask_within != pool.config.settings.ask_within:
        # The retry intervals of the two sources are computed only once.
        raise RestartNeededError(f"{SERVICES}{name}.settings.rules.askWithin")
    return plan(f"{SERVICES}{name}.", pool, tended, config, files.operator.tends(name))
