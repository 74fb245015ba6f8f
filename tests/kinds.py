"""Marks for tests that are skipped when the modules are compiled, or when they are not."""

from __future__ import annotations

import os

import pytest

from millgw import compiled, decide

COMPILED = not str(decide.__file__).endswith(".py")

skip_if_pure = pytest.mark.skipif(
    bool(os.environ.get(compiled.PURE_VARIABLE)),
    reason="uses no compiled module: covered by the compiled run",
)
pure_run_only = pytest.mark.skipif(
    not os.environ.get(compiled.PURE_VARIABLE),
    reason="uses no compiled module: covered by the pure Python run",
)
skip_if_compiled = pytest.mark.skipif(
    COMPILED, reason="replaces a method, which compiled modules don't allow"
)
