"""What a door tells, checked. Unknown fields are passed over: a newer sidecar may tell more."""

from __future__ import annotations

import msgspec

Counts = dict[str, int]


class ZoneFigures(msgspec.Struct):
    """One zone as a sidecar sees it; `share` and `room` are parts of 1."""

    distance: str
    standing: str
    share: float
    room: float


class LocalityFigures(msgspec.Struct):
    """How one service's zones are chosen: attempts by distance, and why some went away from the near zone."""

    attempts: Counts
    away: Counts
    zones: dict[str, ZoneFigures]


class Figures(msgspec.Struct):
    """`GET /-/metrics`."""

    fulfilled: Counts
    throttled: Counts
    faulted: Counts
    relayed: int
    open_requests: int
    registry_entries: int
    out_of_rotation: int
    locality: dict[str, LocalityFigures] = {}  # by service, where zones are chosen

    def answered(self) -> int:
        """Final answers of all kinds and classes."""
        return sum(sum(kind.values()) for kind in (self.fulfilled, self.throttled, self.faulted))

    def classes(self) -> list[str]:
        """In the order of the sidecar's settings."""
        return list(dict.fromkeys((*self.fulfilled, *self.throttled, *self.faulted)))


class Aside(msgspec.Struct):
    """One endpoint out of rotation."""

    endpoint: str
    why: str
    service: str = ""


class Rotation(msgspec.Struct):
    """`GET /-/endpoints`; `unnamed` more are out of rotation."""

    out_of_rotation: list[Aside]
    unnamed: int = 0


class Look(msgspec.Struct, frozen=True):
    """One look at one door. `ready` is what `/-/ready` said."""

    figures: Figures
    ready: bool
    rotation: Rotation
