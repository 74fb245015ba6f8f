"""Deprecated names in scenario files and commands, still accepted for one release."""

from __future__ import annotations

import re

SCENARIOS = {"cadastro-outage": "discovery-outage"}
"""Shipped scenarios by their former names."""

_TABLE = re.compile(r"^(\s*\[?\s*)cadastro(?=\s*[\].=])", re.MULTILINE)
_FALSE_PEERS = re.compile(r"\bliars(?=\s*=)")
_FAULT_KIND = re.compile(r"""(\bkind\s*=\s*["'])cadastro-(?=(?:outage|restart)["'])""")


def with_current_names(text: str) -> str:
    """The text of a scenario file with the former names replaced; each stays on its line."""
    text = _TABLE.sub(r"\1discovery", text)
    text = _FALSE_PEERS.sub("byzantine", text)
    return _FAULT_KIND.sub(r"\1discovery-", text)
