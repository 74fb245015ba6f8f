"""A version of the distributed document over the files of one sidecar: checked as a whole, applied as one.

Entries for a sidecar, all others being ignored:

- `settings`: goes over the settings of the configuration file, table by table.
- `services.NAME`: goes over those of one service of the operator's file, after them.
- `services.NAME.limits`, `services.NAME.connections`, `connections`: over the operator's tables of that name.

A refusal is one line that names the field. What can't change in service is worded `takes a restart: FIELD`.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

from millgw.interface import Settings, Tenant
from millgw.operator.file import Connections, Limits, OperatorFile, Service, check
from millgw.operator.loaded_files import LoadedFiles
from millgw.platform.config import Config, with_settings
from millgw.services.builders import deep_merge, pool_config
from millgw.settings import REPEATS, SCOPES, read_list, read_table

if TYPE_CHECKING:
    from millgw.connections.manager import ConnectionManager
    from millgw.connections.settings import ConnectionSettings
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
"""The fields that only the balancer's settings check, as operators word them."""

OF_PROCESS = frozenset(("listen", "control", "discovery", "name", "seed", "known"))
"""Words of the configuration file that a process reads once, at its start."""


class RefusedVersionError(ValueError):
    """A version can't be used here; the text is one line that names the field. Nothing has changed."""


class RestartNeededError(RefusedVersionError):
    """A version can't be used in service: a start may begin with it."""

    def __init__(self, field: str) -> None:
        super().__init__(f"takes a restart: {field}")


def overlay(files: LoadedFiles, entries: Entries) -> LoadedFiles:
    """The files with a document's entries over them; a RefusedVersionError names what can't be used."""
    settings = dict(files.settings)
    if SETTINGS in entries:
        check_words(SETTINGS, entries[SETTINGS], files.settings)
        settings = deep_merge(settings, entries[SETTINGS])
    try:
        config = with_settings(files.config, settings)
    except (ValueError, TypeError) as error:
        raise RefusedVersionError(in_words(error)) from None
    return LoadedFiles(config, settings, _operator(files, settings, entries))


def _operator(files: LoadedFiles, settings: Mapping[str, Any], entries: Entries) -> OperatorFile:
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
        check_words(path, entries[path], deep_merge(settings, own))
        own = deep_merge(own, entries[path])
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
    """A table of the operator's file with words over it, by the file's own checks."""
    try:
        return msgspec.convert(deep_merge(msgspec.to_builtins(before), over), kind)
    except msgspec.ValidationError as error:
        what, _, where = str(error).partition(" - at `$")
        raise RefusedVersionError(one_line(f"{path}{where.rstrip('`')}: {what}")) from None


def check_words(path: str, over: Mapping[str, Any], base: Mapping[str, Any]) -> None:
    """Refuse words that no setting has, and tables or lists that are none: they would silently do nothing.

    What the file has beside the known words may be worded too.
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
    """A cause with the operators' word for a field of the settings."""
    cause = one_line(error)
    for name, word in FIELD_WORDS.items():
        cause = cause.replace(name, word)
    return cause


def one_line(text: object) -> str:
    """A cause as one line, whatever was in the field that it quotes."""
    return " ".join(str(text).split())


# One pool


@dataclass(slots=True, frozen=True)
class PoolChange:
    """What becomes of one pool, checked already."""

    pool: Pool
    tended: ConnectionManager | None
    config: Config
    terms: ConnectionSettings | None

    def carry_out(self) -> None:
        """Have the pool go by it from now on."""
        self.pool.reconfigure(self.config)
        if self.tended is None or self.terms is None:
            return
        from millgw.connections.attach import instance_position

        self.tended.set_position(instance_position(self.config.settings), self.config.idle)
        if self.terms != self.tended.terms:
            self.tended.change(self.terms)


def plan(
    path: str, pool: Pool, tended: ConnectionManager | None, config: Config, terms: ConnectionSettings | None
) -> PoolChange:
    """The change of a pool to a configuration; a RefusedVersionError names what can't change in service."""
    if (tended is None) != (terms is None):
        raise RestartNeededError(f"{path}{CONNECTIONS}")
    settings = in_service(f"{path}{SETTINGS}", pool.config.settings, config.settings)
    if config.zones != pool.config.zones:
        raise RestartNeededError(f"{path}{SETTINGS}.localities")
    return PoolChange(pool, tended, replace(config, settings=settings), terms)


def in_service(path: str, before: Settings, after: Settings) -> Settings:
    """Settings as a running balancer takes them: classes and tenants in the order in which it numbers them.

    A tenant that is left out has no limit, as one that was never named; a new one comes after all others.
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


def service_config(files: LoadedFiles, name: str) -> Config:
    """The configuration of one service's pool; a RefusedVersionError names what can't be used."""
    try:
        return pool_config(name, files.operator.services[name], files.config, files.settings)
    except (ValueError, TypeError) as error:
        raise RefusedVersionError(in_words(error)) from None


def plan_service(files: LoadedFiles, name: str, pool: Pool, tended: ConnectionManager | None) -> PoolChange:
    """The change of one service's pool to what the files say, with entries over them."""
    service, config = files.operator.services[name], service_config(files, name)
    two_sources = service.coordinator is not None and service.membership is not None
    if two_sources and config.settings.ask_within != pool.config.settings.ask_within:
        # The waits between tries at the two sources are worked out once.
        raise RestartNeededError(f"{SERVICES}{name}.settings.rules.askWithin")
    return plan(f"{SERVICES}{name}.", pool, tended, config, files.operator.connection_terms(name))
