"""What was seen of distributed configuration, as plain records. No I/O; times are the ledger's."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class ControlLife:
    """One process of a control instance: its start, its first answer, and its end by SIGKILL."""

    instance: str
    start: float
    ready: float | None = None
    kill: float | None = None


@dataclass(slots=True)
class ProposedVersion:
    """A version as it was proposed. `index` is None unless it was answered as committed."""

    at: float
    answered: float
    outcome: str
    index: int | None = None


@dataclass(slots=True)
class VersionLook:
    """What one process (1, 2, ...) of a sidecar had in force; `refused` is 0 where the newest was not."""

    sidecar: str
    process: int
    asked: float
    answered: float
    index: int
    digest: str
    refused: int = 0
    cause: str = ""


@dataclass(slots=True)
class VersionReport:
    """What the control instances together know of a sidecar, booked when it changes."""

    sidecar: str
    at: float
    applied: int
    refused: int
