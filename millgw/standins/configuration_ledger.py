"""Records of distributed configuration as observed in a rehearsal. No I/O; times as in `Ledger`."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class ControlLife:
    """One process of a control instance: when it started, first answered, and was ended by SIGKILL."""

    instance: str
    start: float
    ready: float | None = None
    kill: float | None = None


@dataclass(slots=True)
class ProposedVersion:
    """A proposed configuration version. `index` is None unless the answer said that it was committed."""

    at: float
    answered: float
    outcome: str
    index: int | None = None


@dataclass(slots=True)
class VersionLook:
    """The version in force at process 1, 2, ... of a sidecar; `refused` is 0 if it accepted the newest."""

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
    """A sidecar's status as known to the control instances together, recorded when it changes."""

    sidecar: str
    at: float
    applied: int
    refused: int
