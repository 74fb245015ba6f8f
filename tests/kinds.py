"""Which kind of modules the tests run on: the sources, or what is compiled of them."""

from __future__ import annotations

import os

import pytest

from millgw import compiled, decide

COMPILED = not str(decide.__file__).endswith(".py")

once = pytest.mark.skipif(
    bool(os.environ.get(compiled.PURE_VARIABLE)),
    reason="touches nothing that is compiled: the other run has it",
)
aside = pytest.mark.skipif(
    not os.environ.get(compiled.PURE_VARIABLE),
    reason="touches nothing that is compiled: the sources' run has it",
)
patched = pytest.mark.skipif(COMPILED, reason="puts another method in place")
