"""Building complete site files from the project's values, tested with a small site of its own."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest

from benchmarks.sites import BESIDE, main

SITE = """
name = "base"
stock = "s1"
[rules]
drain_grace_ms = 500
[net]
zones = ["one"]
[[tier]]
name = "front"
[tier.conn]
idle_s = 30
[[tier]]
name = "back"
[tier.conn]
idle_s = [20, 40]
[[class]]
name = "call"
deadline_ms = 4000
"""
GOOD = 'name = "own"\n'


def run_on_site(folder: Path, values: str, site: str = SITE, beside: tuple[str, ...] = BESIDE) -> int:
    base = folder / "base"
    base.mkdir(exist_ok=True)
    (base / "base.toml").write_text(site)
    for name in beside:
        (base / name).write_text(f"of {name}")
        (base / name).chmod(0o444)
    (folder / "own.toml").write_text(values)
    return main([str(base / "base.toml"), str(folder / "own.toml")])


def test_values_replace_those_of_the_site_and_its_other_files_are_copied(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    values = GOOD + (
        'adds = ["rules.ask_within_ms"]\n[rules]\ndrain_grace_ms = 250\nask_within_ms = 900\n'
        '[net]\nzones = ["a", "b"]\n[tier.conn]\nidle_s = 8\n[[class]]\nname = "x"\n[[class]]\nname = "y"\n'
    )
    for _ in range(2):  # the second run overwrites the files of the first
        assert run_on_site(tmp_path, values) == 0
    path = Path(capsys.readouterr().out.split()[-1])
    assert path == tmp_path / "laid" / "own" / "own.toml"
    whole = tomllib.loads(path.read_text())
    assert whole["name"] == "own" and whole["stock"] == "s1" and "adds" not in whole
    assert whole["rules"] == {"drain_grace_ms": 250, "ask_within_ms": 900}
    assert whole["net"]["zones"] == ["a", "b"]
    assert [(t["name"], t["conn"]["idle_s"]) for t in whole["tier"]] == [("front", 8), ("back", 8)]
    assert [c["name"] for c in whole["class"]] == ["x", "y"]
    assert [(path.parent / name).read_text() for name in BESIDE] == [f"of {name}" for name in BESIDE]


@pytest.mark.parametrize(
    ("values", "names"),
    [
        ("", "name: None"),
        ('name = "other"', "name: 'other'"),
        ("name = 3", "name: 3"),
        ("name = ", "own.toml: "),
        (GOOD + "adds = 3", "adds: 3"),
        (GOOD + "[rules]\ndrain_grace = 3", "rules.drain_grace: "),
        (GOOD + '[rules]\ndrain_grace_ms = "3"', "rules.drain_grace_ms: '3'"),
        (GOOD + "[rules]\ndrain_grace_ms = [1, true]", "rules.drain_grace_ms: "),
        (GOOD + "[tier.conn]\nidle = 3", "tier.conn.idle: "),
        (GOOD + "[stock]\nx = 3", "stock: "),
        (GOOD + "rules = 3", "rules: "),
        (GOOD + 'class = ["x"]', "class: "),
        (GOOD + "[[net]]\nx = 1", "net: "),
        (GOOD + "[other]\nx = 1", "other: "),
    ],
)
def test_invalid_values_exit_with_2_and_one_line_naming_the_field(
    values: str, names: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run_on_site(tmp_path, values) == 2
    out, err = capsys.readouterr()
    assert not out and err.count("\n") == 1 and names in err


def test_a_missing_file_of_the_site_is_named(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert run_on_site(tmp_path, GOOD, beside=BESIDE[:2]) == 2
    assert "unlock.txt" in capsys.readouterr().err
    assert main([str(tmp_path / "none.toml"), str(tmp_path / "own.toml")]) == 2
    assert "none.toml" in capsys.readouterr().err
    assert main([]) == 2
