"""Sidecar configuration from the environment and the config file, read at startup and at each SIGHUP."""

from __future__ import annotations

import ipaddress
import json
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from millgw import interface as api
from millgw.settings import SettingsError, read_list, read_number, read_table, to_settings

PREFIX = "BALANCER_"


class ConfigError(ValueError):
    """The configuration is invalid; the message names the field."""


@dataclass(slots=True, frozen=True)
class Address:
    """A listen or connect address: IP address and port. Host names are not supported, as there is no DNS."""

    host: str
    port: int

    @property
    def is_wildcard(self) -> bool:
        """Whether it means all addresses of the machine (0.0.0.0 or ::): valid for listening only."""
        return ipaddress.ip_address(self.host).is_unspecified

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


@dataclass(slots=True, frozen=True)
class Config:
    """The whole configuration. Times are milliseconds, as in the settings."""

    name: str
    listen: Address
    control: Address | None
    discovery: Address
    file_discovery: object
    seed: int
    sockets: int
    memory: float  # bytes
    known: Any
    settings: api.Settings
    zones: tuple[str, ...]
    connect_timeout: float
    idle: float


def read_address(value: Any) -> Address:
    """Parse an address of the form 'IP:port'; raises ValueError."""
    host, colon, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not colon or not (port.isascii() and port.isdigit()) or not 0 < int(port) < 65536:
        raise ValueError(f"{value!r} is not IP:port")
    return Address(str(ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))), int(port))


def read_config(environ: Mapping[str, str], before: Config | None = None) -> Config:
    """The configuration of this sidecar; an environment variable overrides the file's field.

    `before` is the configuration that a reload replaces. If the file's discovery address has changed since
    then, the file wins over the variable, which can't change after the process has started.
    """
    path = environ.get(PREFIX + "CONFIG")
    if not path:
        raise ConfigError(f"{PREFIX}CONFIG is not set")
    try:
        data = json.loads(Path(path).read_bytes())
    except (OSError, ValueError) as error:
        raise ConfigError(f"{PREFIX}CONFIG: {error}") from None
    if not isinstance(data, dict):
        raise ConfigError(f"{PREFIX}CONFIG: not a JSON object")
    file_discovery = data.get("discovery")
    if before is not None:
        unchanged = file_discovery == before.file_discovery
        environ = {**environ, PREFIX + "DISCOVERY": str(before.discovery) if unchanged else ""}
    try:
        return Config(
            name=environ.get(PREFIX + "NAME") or str(data.get("name", "")),
            listen=_address(environ, data, "listen"),
            control=_control(environ, data),
            discovery=_address(environ, data, "discovery"),
            file_discovery=file_discovery,
            seed=_seed(data.get("seed")),
            sockets=int(read_number(read_table(data, "limits"), "sockets", "limits.", 1024)),
            memory=read_number(read_table(data, "limits"), "memory_mb", "limits.", 64.0) * 2**20,
            known=data.get("known"),
            **_settings_fields(read_table(data, "settings")),
        )
    except SettingsError as error:
        raise ConfigError(str(error)) from None


def with_settings(config: Config, settings: Mapping[str, Any]) -> Config:
    """A copy with other settings; raises `SettingsError`, which names the invalid field."""
    return replace(config, **_settings_fields(dict(settings)))


def _settings_fields(settings: dict[str, Any]) -> dict[str, Any]:
    """The fields of `Config` that derive from the settings."""
    limits = read_table(settings, "limits")
    return {
        "settings": to_settings(settings),
        "zones": tuple(map(str, read_list(settings, "localities"))),
        "connect_timeout": read_number(limits, "connectTimeout", "limits.", 250.0),
        "idle": read_number(limits, "connIdle", "limits.", 15_000.0),
    }


def read_settings_table(environ: Mapping[str, str]) -> Mapping[str, Any]:
    """The settings object of the config file, unparsed, for callers that merge their own values into it."""
    try:
        found = json.loads(Path(environ[PREFIX + "CONFIG"]).read_bytes())["settings"]
    except (OSError, ValueError, LookupError, TypeError) as error:
        raise ConfigError(f"{PREFIX}CONFIG: {error}") from None
    if not isinstance(found, dict):
        raise ConfigError(f"{PREFIX}CONFIG: settings is not an object")
    return found


def _address(environ: Mapping[str, str], data: dict[str, Any], field: str) -> Address:
    try:
        return read_address(environ.get(PREFIX + field.upper()) or data.get(field))
    except ValueError as error:
        raise ConfigError(f"{field}: {error}") from None


def _control(environ: Mapping[str, str], data: dict[str, Any]) -> Address | None:
    """Address of the control server, if configured."""
    if not environ.get(PREFIX + "CONTROL") and data.get("control") is None:
        return None
    return _address(environ, data, "control")


def _seed(value: Any) -> int:
    try:
        return int(value, 16)
    except (TypeError, ValueError):
        raise ConfigError(f"seed: {value!r} is not a hexadecimal number") from None
