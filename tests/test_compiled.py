"""Compiled modules never stand before sources that are not theirs, and decide as the sources do."""

from __future__ import annotations

import ast
import hashlib
import os
import shutil
import subprocess
import sys
import tomllib
import traceback
from pathlib import Path

import pytest

import millgw
from millgw import compiled
from millgw.build import BuildError, build
from millgw.decide import Balancer
from millgw.interface import RequestArrived
from tests.kinds import COMPILED
from tests.support import SETTINGS

PACKAGE = Path(millgw.__file__).parent
TELL = """
import millgw.decide
from millgw import compiled
print(millgw.decide.__file__)
print(compiled.describe())
"""
DECISIONS = """
from tests.test_compiled import decisions
print(decisions(7, 4000))
"""


def test_what_compiles_knows_all_that_compiled_modules_import() -> None:
    """Guards against a deployment whose build tools lack a package: it would serve from the sources."""
    wanted = set()
    for path in compiled.source_files():
        for node in ast.walk(ast.parse(path.read_text())):
            names = [a.name for a in node.names] if isinstance(node, ast.Import) else []
            names += [node.module or ""] if isinstance(node, ast.ImportFrom) else []
            wanted |= {name.partition(".")[0] for name in names}
    wanted -= set(sys.stdlib_module_names) | {"millgw"}
    assert wanted and wanted <= _pinned(PACKAGE.parent / "requirements-build.txt")


def _pinned(path: Path) -> set[str]:
    """The packages that a requirements file names, with those of the files that it names."""
    names = set()
    for line in path.read_text().split("\n"):
        if line.startswith("-r "):
            names |= _pinned(path.with_name(line[3:]))
        else:
            names.add(line.partition("==")[0])
    return names


def decisions(seed: int, requests: int) -> str:
    """A digest of all that the module wants in a seeded run with failures, drains, floods and time-outs."""
    import random

    from millgw.decide import Balancer
    from millgw.interface import (
        AttemptEnded,
        Condition,
        Endpoint,
        EndpointList,
        ListKind,
        Outcome,
        RequestAborted,
        RequestArrived,
        Send,
        SetTimer,
        TimerFired,
    )  # fmt: skip
    from tests.support import settings

    rng, digest = random.Random(seed), hashlib.blake2b(digest_size=16)
    balancer, now = Balancer(settings(siblings=3, index=1), seed), 1e6
    servers = [Endpoint(i * 7919, cell=i % 3) for i in range(1, 13)]
    out: list[tuple[int, int, int, float]] = []
    timers: list[tuple[float, int]] = []
    tries: dict[int, int] = {}

    def feed(event: object) -> None:
        for action in balancer.handle(now, event):  # type: ignore[arg-type]
            fields = [getattr(action, n) for n in type(action).__dataclass_fields__]
            digest.update(f"{type(action).__name__} {fields!r}\n".encode())
            if isinstance(action, Send):
                number = tries[action.request] = tries.get(action.request, -1) + 1
                out.append((action.request, action.endpoint, number, now))
            elif isinstance(action, SetTimer):
                timers.append((max(action.at, now + 1.0), action.timer))

    feed(EndpointList(ListKind.FULL, tuple(servers)))
    for request in range(1, requests + 1):
        now += rng.expovariate(1 / 3.0)
        for due in sorted(t for t in timers if t[0] <= now):
            timers.remove(due)
            feed(TimerFired(due[1]))
        feed(RequestArrived(request, rng.randrange(3), now + rng.uniform(200, 3000)))
        while out and rng.random() < (0.3 if request % 500 < 60 else 0.62):
            sent, endpoint, number, at = out.pop(rng.randrange(len(out)))
            outcome = rng.choices(list(Outcome), [60, 6, 6, 3, 3, 2, 1, 1])[0]
            feed(AttemptEnded(sent, endpoint, number, outcome, now - at, rng.random() < 0.02))
        if rng.random() < 0.01:
            feed(RequestAborted(rng.randint(1, request)))
        if rng.random() < 0.01:
            which = rng.randrange(len(servers))
            condition = rng.choice(list(Condition))
            since = now if rng.random() < 0.5 else 0.0
            servers[which] = Endpoint(servers[which].id, condition, cell=which % 3, started_at=since)
            feed(EndpointList(ListKind.DELTA, (servers[which],)))
    return digest.hexdigest()


def tree(folder: Path) -> Path:
    """A copy of the package, with what is compiled of it."""
    shutil.copytree(PACKAGE, folder / "millgw", ignore=shutil.ignore_patterns("__pycache__"))
    return folder / "millgw"


def tell(folder: Path, **environ: str) -> tuple[str, str]:
    """Which file serves as the module in a tree, and what it says of itself."""
    plain = {k: v for k, v in os.environ.items() if k != compiled.PURE_VARIABLE}
    done = subprocess.run(
        [sys.executable, "-B", "-c", TELL],
        cwd=folder,
        env=plain | environ,
        capture_output=True,
        text=True,
        check=True,
    )
    file, said = done.stdout.splitlines()
    return file, said


@pytest.mark.skipif(not COMPILED, reason="wants what is compiled")
def test_a_source_that_is_newer_serves_itself_and_the_old_one_its_compiled_modules(tmp_path: Path) -> None:
    package = tree(tmp_path)
    source = package / "pool" / "deadlines.py"
    text = source.read_text()
    assert "_compiled" in tell(tmp_path)[0] and tell(tmp_path)[1].startswith("compiled ")
    assert tell(tmp_path, MILLGW_PURE="1") == (str(package / "decide.py"), "pure: MILLGW_PURE is set")
    source.write_text(text + "\n# a change\n")
    file, said = tell(tmp_path)
    assert file == str(package / "decide.py") and "not of these sources" in said
    source.write_text(text)
    assert "_compiled" in tell(tmp_path)[0]


@pytest.mark.skipif(not COMPILED, reason="wants what is compiled")
def test_a_build_that_was_cut_off_is_not_used(tmp_path: Path) -> None:
    package = tree(tmp_path)
    libraries = list((package / "_compiled").glob("*/millgw/pool/driver*"))
    for library in libraries:
        library.unlink()
    assert libraries
    assert tell(tmp_path)[0] == str(package / "decide.py")


def test_without_compiled_modules_the_sources_serve(tmp_path: Path) -> None:
    package = tree(tmp_path)
    shutil.rmtree(package / "_compiled", ignore_errors=True)
    file, said = tell(tmp_path)
    assert file == str(package / "decide.py") and "nothing is compiled" in said


def test_a_machine_without_a_compiler_says_so_in_one_line(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("CC", "/no/such/compiler")
    package = tmp_path / "millgw"
    package.mkdir()
    for name in compiled.MODULES:
        path = package.joinpath(*name.split(".")).with_suffix(".py")
        path.parent.mkdir(exist_ok=True)
        path.write_text("")
    with pytest.raises(BuildError) as told:
        build(tmp_path / "out", package)
    assert "\n" not in str(told.value) and not list((tmp_path / "out").glob("*"))


def test_an_exception_inside_the_module_names_its_line_on_either_kind() -> None:
    balancer = Balancer(SETTINGS, 1)
    with pytest.raises(IndexError) as caught:
        balancer.handle(0.0, RequestArrived(1, 99, 10.0))
    lines = [f.lineno for f in traceback.extract_tb(caught.tb) if f.filename.endswith("decide.py")]
    assert lines and all(line and line > 1 for line in lines)


@pytest.mark.skipif(not COMPILED, reason="wants what is compiled")
def test_sources_and_compiled_modules_decide_the_same() -> None:
    done = subprocess.run(
        [sys.executable, "-c", DECISIONS], env=os.environ | {compiled.PURE_VARIABLE: "1"}, cwd=PACKAGE.parent,
        capture_output=True, text=True, check=True,
    )  # fmt: skip
    assert done.stdout.strip() == decisions(7, 4000)


def test_no_decision_has_changed() -> None:
    """A change of decisions is meant to be seen: this figure changes with it, and the commit says why."""
    assert decisions(1, 20_000) == "20d5161b146982b66be154199c5a4bff"


def test_a_wheel_holds_every_package() -> None:
    """Seen: one that had been added was in no wheel."""
    project = tomllib.loads((PACKAGE.parent / "pyproject.toml").read_text())
    listed = set(project["tool"]["setuptools"]["packages"])
    found = {
        ".".join(path.parent.relative_to(PACKAGE.parent).parts)
        for path in PACKAGE.rglob("__init__.py")
        if "_compiled" not in path.parts
    }
    assert listed == found
