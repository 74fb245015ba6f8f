"""Reports of sidecars: the version in force at each, and the one it refused. No I/O, no clock.

Memory is bounded: there is one entry per sidecar, which is dropped after a time without a watch or report.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from millgw.configuration.document import DocumentError, decode_count
from millgw.configuration.follower import MAX_CAUSE_LENGTH as MAX_CAUSE
from millgw.configuration.follower import Status

MAX_SIDECARS = 4096
MAX_SIDECAR_NAME = 128  # characters
MAX_REFUSALS = 20  # listed in a summary
FORGET_AFTER_S = 300.0  # s without a watch and without a report


class ReportsFullError(Exception):
    """The maximum number of known sidecars is reached."""


@dataclass(slots=True, frozen=True)
class Report:
    """A sidecar's report on the newest version it was sent, and the last version it `refused` before."""

    name: str
    index: int
    digest: str
    status: Status
    cause: str = ""
    refused: int = 0
    refused_cause: str = ""


@dataclass(slots=True)
class Sidecar:
    """Known state of one sidecar. `last_seen` is when it last reported or ended a watch, in s.

    `refused` is the last version that it refused, 0 for none; a newer one may be in force since.
    """

    name: str
    last_seen: float
    watches: int = 0
    applied: int = 0
    digest: str = ""
    refused: int = 0
    cause: str = ""


@dataclass(slots=True, frozen=True)
class Refusal:
    """A version that a sidecar refused, and why."""

    name: str
    index: int
    cause: str


@dataclass(slots=True)
class Summary:
    """Counts of sidecars by their state at a version; `diverged` ones have another digest."""

    index: int
    applied: int = 0
    refused: int = 0
    behind: int = 0
    diverged: int = 0
    oldest_index: int | None = None
    refusals: list[Refusal] = field(default_factory=list)

    @property
    def known(self) -> int:
        """Number of sidecars counted."""
        return self.applied + self.refused + self.behind + self.diverged

    def fields(self) -> dict[str, Any]:
        """The JSON object `in_force` of a status."""
        return {
            "applied": self.applied,
            "refused": self.refused,
            "behind": self.behind,
            "diverged": self.diverged,
            "oldest_index": self.oldest_index,
        }

    def refusal_fields(self) -> list[dict[str, Any]]:
        """The JSON list of refusals of a status."""
        return [{"name": r.name, "index": r.index, "cause": r.cause} for r in self.refusals]


class Reports:
    """The newest report of each sidecar. Times are in s of any monotonic clock."""

    def __init__(self, max_sidecars: int = MAX_SIDECARS, forget_after: float = FORGET_AFTER_S) -> None:
        self.max_sidecars = max_sidecars
        self.forget_after = forget_after
        self.sidecars: dict[str, Sidecar] = {}

    def record(self, now: float, report: Report) -> None:
        """Record a report, replacing the sidecar's previous one."""
        sidecar = self._sidecar(now, report.name)
        sidecar.last_seen = now
        if report.status is Status.APPLIED:
            sidecar.applied = report.index
            sidecar.digest = report.digest
            if report.index < sidecar.refused:
                sidecar.refused = 0  # a restarted sidecar, which has not tried that version yet
                sidecar.cause = ""
            if report.refused > sidecar.refused:
                sidecar.refused = report.refused
                sidecar.cause = report.refused_cause[:MAX_CAUSE]
        else:
            sidecar.refused = report.index
            sidecar.cause = report.cause[:MAX_CAUSE]

    def watch_opened(self, now: float, name: str) -> None:
        """Count a sidecar's new watch; with too many known sidecars, it is served without being counted."""
        try:
            sidecar = self._sidecar(now, name)
        except ReportsFullError:
            return
        sidecar.watches += 1

    def watch_closed(self, now: float, name: str) -> None:
        """Count the end of a sidecar's watch; it may have opened another one already."""
        sidecar = self.sidecars.get(name)
        if sidecar is not None and sidecar.watches:
            sidecar.watches -= 1
            sidecar.last_seen = now

    def forget_old(self, now: float) -> None:
        """Drop sidecars without a watch or report for `forget_after` seconds."""
        for sidecar in list(self.sidecars.values()):
            if not sidecar.watches and now - sidecar.last_seen >= self.forget_after:
                del self.sidecars[sidecar.name]

    def _sidecar(self, now: float, name: str) -> Sidecar:
        sidecar = self.sidecars.get(name)
        if sidecar is None:
            if len(self.sidecars) >= self.max_sidecars:
                self.forget_old(now)
            if len(self.sidecars) >= self.max_sidecars:
                raise ReportsFullError(f"{self.max_sidecars} sidecars are known already")
            sidecar = self.sidecars[name] = Sidecar(name, now)
        return sidecar


def summarize(sidecars: Iterable[Sidecar], index: int, digests: Mapping[int, str]) -> Summary:
    """Count the sidecars by their state at a version; `digests` holds the known digests by index."""
    summary = Summary(index)
    for sidecar in sidecars:
        oldest = summary.oldest_index
        summary.oldest_index = sidecar.applied if oldest is None else min(oldest, sidecar.applied)
        if sidecar.applied and digests.get(sidecar.applied, sidecar.digest) != sidecar.digest:
            summary.diverged += 1
        elif sidecar.applied >= index:
            summary.applied += 1
        elif sidecar.refused >= index:
            summary.refused += 1
        else:
            summary.behind += 1
        if sidecar.refused > sidecar.applied and len(summary.refusals) < MAX_REFUSALS:
            summary.refusals.append(Refusal(sidecar.name, sidecar.refused, sidecar.cause))
    return summary


def merge_sidecars(instances: Iterable[Iterable[Sidecar]]) -> list[Sidecar]:
    """Merge the sidecars known to several instances, one entry each: where it watches, else was last seen.

    All `last_seen` must be times of the same clock.
    """
    merged: dict[str, Sidecar] = {}
    for sidecars in instances:
        for sidecar in sidecars:
            current = merged.get(sidecar.name)
            if current is None or _recency(current) < _recency(sidecar):
                merged[sidecar.name] = sidecar
    return [merged[name] for name in sorted(merged)]


def _recency(sidecar: Sidecar) -> tuple[bool, float]:
    return bool(sidecar.watches), sidecar.last_seen


def decode_report(data: bytes) -> Report:
    """Decode a report; raises DocumentError naming an invalid field."""
    try:
        fields = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise DocumentError(f"report: {error}") from None
    if not isinstance(fields, dict):
        raise DocumentError("report: not an object")
    name = fields.get("name")
    if not isinstance(name, str) or not is_sidecar_name(name):
        raise DocumentError(f"name: not a string of 1 to {MAX_SIDECAR_NAME} printable characters")
    digest = fields.get("digest", "")
    if not isinstance(digest, str) or len(digest) > MAX_SIDECAR_NAME:
        raise DocumentError("digest: not a short string")
    try:
        status = Status(str(fields.get("status")))
    except ValueError:
        raise DocumentError("status: neither applied nor refused") from None
    cause = fields.get("cause", "")
    if not isinstance(cause, str):
        raise DocumentError("cause: not a string")
    refused_cause = fields.get("refused_cause", "")
    if not isinstance(refused_cause, str):
        raise DocumentError("refused_cause: not a string")
    refused = decode_count(fields, "refused") if "refused" in fields else 0  # not sent by older sidecars
    index = decode_count(fields, "index")
    return Report(name, index, digest, status, cause[:MAX_CAUSE], refused, refused_cause[:MAX_CAUSE])


def is_sidecar_name(name: str) -> bool:
    """Whether the name is valid for a sidecar."""
    return 0 < len(name) <= MAX_SIDECAR_NAME and name.isprintable()


def encode_sidecar(sidecar: Sidecar, now: float) -> dict[str, Any]:
    """The JSON object for a sidecar in a status; it has an age, as other processes don't share this clock."""
    return {
        "name": sidecar.name,
        "watches": sidecar.watches,
        "age_s": round(max(0.0, now - sidecar.last_seen), 3),
        "applied": sidecar.applied,
        "digest": sidecar.digest,
        "refused": sidecar.refused,
        "cause": sidecar.cause,
    }


def decode_sidecar(fields: Any, now: float) -> Sidecar:
    """Decode a sidecar from a status, with `last_seen` on the caller's clock; raises DocumentError."""
    if not isinstance(fields, dict):
        raise DocumentError("sidecar: not an object")
    age = fields.get("age_s")
    if isinstance(age, bool) or not isinstance(age, int | float):
        raise DocumentError("age_s: not a number")
    for name in ("name", "digest", "cause"):
        if not isinstance(fields.get(name), str):
            raise DocumentError(f"{name}: not a string")
    return Sidecar(
        name=fields["name"],
        last_seen=now - age,
        watches=decode_count(fields, "watches"),
        applied=decode_count(fields, "applied"),
        digest=fields["digest"],
        refused=decode_count(fields, "refused"),
        cause=fields["cause"],
    )
