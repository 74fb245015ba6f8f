"""The parsed configuration files of a sidecar, on which distributed configuration is overlaid."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from millgw.operator.file import OperatorFile
from millgw.platform.config import Config


@dataclass(slots=True, frozen=True)
class LoadedFiles:
    """The configuration, its settings as written (not yet checked), and the operator's file."""

    config: Config
    settings: Mapping[str, Any]
    operator: OperatorFile
