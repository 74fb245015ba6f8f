"""Compiles the modules that process calls, with mypyc and a C compiler.

Requires the packages of requirements-build.txt and a C compiler; without them the Python sources are used.
"""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

from millgw.compiled import LIBRARY_NAME, MODULES, PACKAGE, Finder, build_key

SCRIPT = """
import sys
from mypyc.build import mypycify
from setuptools import setup
setup(
    name={group!r}, packages=[], py_modules=[],
    ext_modules=mypycify({paths!r}, opt_level="2", group_name={group!r}),
    script_args=["-q", "build_ext", "--build-lib", {out!r}, "--build-temp", {temp!r}],
)
"""


class BuildError(Exception):
    """The modules can't be compiled on this machine; the message says why."""


def build(into: Path, package: Path = PACKAGE, force: bool = False) -> Path:
    """Return the folder of the compiled modules, building it if needed; remove outdated folders."""
    folder = into / build_key(package)
    if not force and Finder(folder).is_complete():
        return folder
    with tempfile.TemporaryDirectory(prefix="millgw-build-") as work:
        tree = Path(work) / "src"
        shutil.copytree(package, tree / "millgw", ignore=shutil.ignore_patterns("_compiled", "__pycache__"))
        paths = [str(Path("millgw", *name.split(".")).with_suffix(".py")) for name in MODULES]
        out = Path(work) / "out"
        before = os.environ.get("PYTHONPATH", "")
        script = SCRIPT.format(group=LIBRARY_NAME, paths=paths, out=str(out), temp=str(Path(work) / "temp"))
        done = subprocess.run(
            [sys.executable, "-c", script],
            cwd=tree,
            # Prepended to the present value: an isolated build environment provides its tools through it.
            env=os.environ | {"PYTHONPATH": os.pathsep.join(filter(None, (str(tree), before)))},
            capture_output=True,
            text=True,
        )
        if done.returncode:
            lines = (done.stderr or done.stdout).strip().splitlines()
            raise BuildError(lines[-1] if lines else f"the compiler ended with {done.returncode}")
        if not Finder(out).is_complete():
            raise BuildError("the compiler left modules out")
        into.mkdir(exist_ok=True)
        # Renamed into place atomically: an interrupted build or two concurrent ones leave no partial result.
        fresh = Path(tempfile.mkdtemp(prefix="new-", dir=into))
        shutil.copytree(out, fresh, dirs_exist_ok=True)
        if folder.exists():
            shutil.rmtree(folder)
        fresh.rename(folder)
    for other in into.iterdir():
        if other != folder and not other.name.startswith("new-"):
            shutil.rmtree(other, ignore_errors=True)
    return folder
