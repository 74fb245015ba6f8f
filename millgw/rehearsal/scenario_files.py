"""Reads scenarios from TOML files, shipped or given by path, and writes them."""

from __future__ import annotations

from importlib import resources
from pathlib import Path
from typing import Any

import msgspec

from millgw.operator.toml_schema import Table, read
from millgw.rehearsal import former_names
from millgw.rehearsal.scenario import Scenario, ScenarioError
from millgw.rehearsal.scenario_checks import validate


def parse(text: str, name: str) -> Scenario:
    """Parse a scenario; `name` is the file name for error messages."""
    current = former_names.with_current_names(text)
    return read(current, name, Scenario, validate, ScenarioError)


def shipped() -> dict[str, str]:
    """The scenarios that come with the program: text by name."""
    folder = resources.files("millgw.rehearsal") / "scenarios"
    return {
        entry.name.removesuffix(".toml"): entry.read_text(encoding="utf-8")
        for entry in sorted(folder.iterdir(), key=lambda e: e.name)
        if entry.name.endswith(".toml")
    }


def load(name: str) -> tuple[str, Scenario]:
    """Load a scenario by its shipped name or its path; returns the display name with it."""
    known = shipped()
    name = former_names.SCENARIOS.get(name, name)
    if name in known:
        return name, parse(known[name], f"{name}.toml")
    path = Path(name)
    if not path.exists() and "/" not in name and not name.endswith(".toml"):
        raise ScenarioError(f"{name}: neither a file nor a shipped scenario ({', '.join(known)})")
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{name}: {error}") from None
    return path.stem, parse(text, name)


def connections_toml(scenario: Scenario) -> str:
    """The [connections] table of the operator's file; empty if the scenario has none."""
    connections = scenario.connections
    if connections is None:
        return ""
    return "\n".join(
        [
            "[connections]",
            *(f"{k} = {_toml_value(getattr(connections, k))}" for k in connections.__struct_fields__),
        ]
    )


def to_toml(scenario: Scenario, comment: str = "") -> str:
    """The file that `parse` reads back as this scenario; default values are left out."""
    lines = [f"# {line}".rstrip() for line in comment.splitlines()]
    tables: list[str] = []
    defaults = Scenario()
    for field in Scenario.__struct_fields__:
        value = getattr(scenario, field)
        if value == getattr(defaults, field):
            continue
        if isinstance(value, Table):
            default = getattr(defaults, field) or type(value)()
            rows = [
                f"{key} = {_toml_value(getattr(value, key))}"
                for key in value.__struct_fields__
                if getattr(value, key) != getattr(default, key)
            ]
            tables += ["", f"[{field}]", *rows]
        elif isinstance(value, tuple):
            for entry in value:
                names = zip(entry.__struct_fields__, entry.__struct_encode_fields__, strict=True)
                values = [(key, getattr(entry, name)) for name, key in names]
                rows = [f"{key} = {_toml_value(v)}" for key, v in values if v is not None]
                tables += ["", f"[[{field}]]", *rows]
        else:
            lines.append(f"{field} = {_toml_value(value)}")
    return "\n".join([*lines, *tables]) + "\n"


def _toml_value(value: Any) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        return msgspec.json.encode(value).decode()
    if isinstance(value, tuple):
        return "[" + ", ".join(map(_toml_value, value)) + "]"
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{_toml_value(k)} = {_toml_value(v)}" for k, v in value.items()) + " }"
    if isinstance(value, Table):
        return (
            "{ "
            + ", ".join(f"{k} = {_toml_value(getattr(value, k))}" for k in value.__struct_fields__)
            + " }"
        )
    return repr(value)
