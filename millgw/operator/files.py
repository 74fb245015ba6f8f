"""The files that a sidecar is told by, read: what a distributed document's entries go over."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from millgw.operator.file import Operator
from millgw.platform.config import Config


@dataclass(slots=True, frozen=True)
class Files:
    """The configuration, the settings in it as they are worded, and the operator's file."""

    config: Config
    settings: Mapping[str, Any]
    operator: Operator
