"""The decision module's size limits, and its independence of I/O and names."""

from __future__ import annotations

import ast
from dataclasses import replace
from pathlib import Path

import pytest

from millgw import RequestClass, Tenant
from tests.support import SETTINGS

ROOT = Path(__file__).parent.parent
MODULE = ROOT / "millgw" / "decide.py"
PARTS = sorted((ROOT / "millgw" / "policy").glob("[!_]*.py"))


def test_size_and_width() -> None:
    lines = MODULE.read_text().splitlines()
    assert sum(bool(line.strip()) for line in lines) <= 1200
    assert max(map(len, lines)) <= 110


@pytest.mark.parametrize("file", [MODULE, *PARTS], ids=lambda file: file.name)
def test_imports_nothing_but_arithmetic_the_interface_and_its_parts(file: Path) -> None:
    tree = ast.parse(file.read_text())
    modules = {n.module for n in ast.walk(tree) if isinstance(n, ast.ImportFrom)}
    names = {a.name for n in ast.walk(tree) if isinstance(n, ast.Import) for a in n.names}
    parts = {f"millgw.policy.{part.stem}" for part in PARTS}
    assert modules <= {"__future__", "dataclasses", "millgw.interface"} | parts
    assert names <= {"math", "random", "bisect", "heapq"}


@pytest.mark.parametrize("file", [MODULE, *PARTS], ids=lambda file: file.name)
def test_no_decision_reads_a_name(file: Path) -> None:
    tree = ast.parse(file.read_text())
    assert not [n for n in ast.walk(tree) if isinstance(n, ast.Attribute) and n.attr == "name"]


def test_readme_example_runs() -> None:
    text = (ROOT / "README.md").read_text()
    code = text.split("```python\n")[1].split("```")[0]
    exec(compile(code, "README.md", "exec"), {})


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("cold_share", 1.5),
        ("cold_time", -1.0),
        ("fall_multiple", float("nan")),
        ("siblings", 0),
        ("max_attempts", 0),
        ("tick", float("inf")),
        ("classes", ()),
    ],
)
def test_impossible_settings_are_named(field: str, value: object) -> None:
    with pytest.raises(ValueError, match=field):
        replace(SETTINGS, **{field: value})  # type: ignore[arg-type]


def test_impossible_classes_and_tenants_are_named() -> None:
    with pytest.raises(ValueError, match="deadline"):
        replace(SETTINGS.classes[0], deadline=-1.0)
    with pytest.raises(ValueError, match="rate"):
        Tenant("a", float("inf"))
    assert isinstance(SETTINGS.classes[0], RequestClass)
