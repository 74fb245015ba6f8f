"""Parses the data of a member's node, in the layouts that common libraries write. Pure.

    entry       discovery's own format: {"name", "address": "IP:port", "status", "group", "weight", "zone",
                "since_ms"}, and "instance", a token that identifies the process
    serverset   Finagle's: {"serviceEndpoint": {"host", "port"}, "additionalEndpoints", "status", "shard"}
    curator     Curator's service discovery: {"id", "address", "port", "registrationTimeUTC", "enabled", ...}

A serverset's `shard` is the group; Curator's layout has none. The layout is recognised by its fields. Hosts
must be IP addresses: no names are resolved.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from millgw.interface import Condition
from millgw.platform.discovery import ListedEndpoint, read_entry

SERVERSET_STATUS = {
    "ALIVE": "in_service", "WARNING": "in_service", "STOPPING": "terminating", "STOPPED": "terminating",
    "DEAD": "terminating",
}  # fmt: skip
"""Maps a serverset's status to discovery's. STARTING is not a member yet; any other status is an error."""
MAX_DATA = 65_536  # bytes of one node


@dataclass(slots=True, frozen=True)
class NodeData:
    """A node's parsed data: its name, its entry and the token of the process that wrote it ('': none)."""

    name: str
    listed: ListedEndpoint
    instance: str = ""

    @property
    def ready(self) -> bool:
        return self.listed.endpoint.condition is Condition.READY


def read_node(data: bytes, zones: tuple[str, ...], port: str = "") -> NodeData | None:
    """Parse a node's data; None for a server that is still starting. Raises ValueError for malformed data.

    `port` names one of a serverset's additional endpoints; '' is its service endpoint.
    """
    if len(data) > MAX_DATA:
        raise ValueError(f"{len(data)} bytes; the maximum is {MAX_DATA}")
    try:
        raw = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise ValueError(f"not valid JSON: {error}") from None
    if not isinstance(raw, dict):
        raise ValueError("not a JSON object")
    try:
        if "serviceEndpoint" in raw:
            entry, instance = _serverset(raw, port), str(raw.get("instance", ""))
        elif "id" in raw and "port" in raw:
            entry = _curator(raw)
            instance = f"{raw['id']} {entry['since_ms']}" if entry["since_ms"] else ""
        else:
            entry, instance = raw, str(raw.get("instance", ""))
        if entry is None:
            return None
        return NodeData(entry["name"], read_entry(entry, zones), instance)
    except (ValueError, TypeError, LookupError, AttributeError) as error:
        raise ValueError(f"{type(error).__name__}: {error}") from None


def _address(host: Any, port: Any) -> str:
    if not isinstance(host, str) or isinstance(port, bool) or not isinstance(port, int):
        raise ValueError(f"{host!r} and {port!r} are not a valid host and port")
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def _serverset(raw: Mapping[str, Any], port: str) -> dict[str, Any] | None:
    """Its nodes are sequential and get a new name at each registration, so the address names the endpoint."""
    endpoint = raw["additionalEndpoints"][port] if port else raw["serviceEndpoint"]
    status = raw.get("status", "ALIVE")
    if status == "STARTING":
        return None
    if status not in SERVERSET_STATUS:
        raise ValueError(f"unknown serverset status {status!r}")
    address = _address(endpoint["host"], endpoint["port"])
    entry: dict[str, Any] = {"name": address, "address": address, "status": SERVERSET_STATUS[status]}
    shard = raw.get("shard")
    if isinstance(shard, int) and not isinstance(shard, bool) and shard >= 0:
        entry["group"] = shard
    return entry


def _curator(raw: Mapping[str, Any]) -> dict[str, Any]:
    if not isinstance(raw["id"], str) or not raw["id"]:
        raise ValueError(f"id {raw['id']!r} is not a valid name")
    since = raw.get("registrationTimeUTC", 0)
    return {
        "name": raw["id"], "address": _address(raw["address"], raw["port"]),
        "status": "in_service" if raw.get("enabled", True) else "terminating",
        "since_ms": since if isinstance(since, int) and not isinstance(since, bool) else 0,
    }  # fmt: skip
