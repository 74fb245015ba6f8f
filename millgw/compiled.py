"""Imports modules compiled by mypyc, but only if they were built from exactly the present sources.

`python -m millgw build` puts them into `_compiled/KEY/`, where KEY consists of the interpreter's name and a
digest of the sources. At start-up the key is computed from the present sources: modules compiled from other
sources, or for another interpreter, have another key and are not found, so a stale module never shadows its
source. Without compiled modules the Python sources are imported.

With `MILLGW_PURE=1` the sources are imported even if compiled modules exist.
"""

from __future__ import annotations

import importlib.machinery
import importlib.util
import os
import sys
from collections.abc import Sequence
from hashlib import blake2b
from importlib.machinery import ModuleSpec
from pathlib import Path
from types import ModuleType

PACKAGE = Path(__file__).parent
COMPILED_FOLDER = PACKAGE / "_compiled"
PURE_VARIABLE = "MILLGW_PURE"
EXTENSION_SUFFIX = importlib.machinery.EXTENSION_SUFFIXES[0]  # names the interpreter and its ABI
LIBRARY_NAME = "millgw_compiled"  # mypyc group name: the shared library with all modules is named after it

MODULES = (
    "interface",
    "policy.backoff",
    "policy.freshness",
    "decide",
    "log.events",
    "streams.limiter",
    "streams.flow",
    "streams.upload",
    "http.message",
    "http.request",
    "http.request_parser",
    "endpoints.attempt",
    "endpoints.hold_policy",
    "endpoints.reuse_policy",
    "endpoints.core",
    "endpoints.host",
    "endpoints.request_body",
    "endpoints.streamed_answer",
    "endpoints.connection",
    "endpoints.upstream",
    "pool.call",
    "pool.timer_queue",
    "pool.health_probe",
    "pool.start_times",
    "pool.sent_ids",
    "pool.driver",
    "pool.call_factory",
    "pool.share",
    "pool.pool",
    "callers.core",
    "callers.connection_log",
    "callers.interface",
    "callers.parse_turns",
    "callers.progress",
    "callers.write_stall",
    "callers.write_time",
    "callers.streamed_answer",
    "callers.streamed_body",
    "callers.connection",
    "callers.single_pool",
    "routing.target",
    "routing.table",
    "services.limits",
    "services.fair_queue",
    "services.shares",
    "services.front",
)
"""The modules that process calls, in import order."""


def source_files(package: Path = PACKAGE) -> list[Path]:
    """The source files of the compiled modules."""
    return [package.joinpath(*name.split(".")).with_suffix(".py") for name in MODULES]


def build_key(package: Path = PACKAGE) -> str:
    """Identify the interpreter and the state of the sources; raises OSError if a source is missing."""
    digest = blake2b(digest_size=12)
    for path in source_files(package):
        data = path.read_bytes()
        digest.update(b"%d %b\n" % (len(data), path.name.encode()) + data)
    return f"{EXTENSION_SUFFIX.split('.')[1]}-{digest.hexdigest()}"


class Finder:
    """A meta path finder for the compiled modules; it runs before the finder of their sources."""

    def __init__(self, folder: Path) -> None:
        self.files = {f"millgw.{name}": folder.joinpath("millgw", *name.split(".")) for name in MODULES}
        self.files[f"{LIBRARY_NAME}__mypyc"] = folder / f"{LIBRARY_NAME}__mypyc"
        self.files = {name: path.with_name(path.name + EXTENSION_SUFFIX) for name, path in self.files.items()}

    def is_complete(self) -> bool:
        """Whether all files exist; otherwise none is used, as the build may have been interrupted."""
        return all(path.is_file() for path in self.files.values())

    def find_spec(
        self, name: str, path: Sequence[str] | None = None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        file = self.files.get(name)
        return None if file is None else importlib.util.spec_from_file_location(name, file)


def install() -> bool:
    """Make imports use compiled modules if they exist for these sources; return whether they do."""
    if not COMPILED_FOLDER.is_dir() or os.environ.get(PURE_VARIABLE):
        return False
    if any(isinstance(finder, Finder) for finder in sys.meta_path):
        return True
    try:
        finder = Finder(COMPILED_FOLDER / build_key())
    except OSError:
        return False
    if not finder.is_complete():
        return False
    sys.meta_path.insert(0, finder)
    return True


def describe() -> str:
    """Describe which modules are in use, for `python -m millgw version` and the log."""
    if any(isinstance(finder, Finder) for finder in sys.meta_path):
        return f"compiled {build_key()}"
    if os.environ.get(PURE_VARIABLE):
        return f"pure: {PURE_VARIABLE} is set"
    if not COMPILED_FOLDER.is_dir() or not any(COMPILED_FOLDER.iterdir()):
        return "pure: nothing is compiled (python -m millgw build)"
    return "pure: what is compiled is not of these sources (python -m millgw build)"
