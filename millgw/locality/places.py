"""Topology: the zone of the sidecar, the regions of all zones, and distances. Does no I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Distance(IntEnum):
    """The distance from the sidecar to a zone, nearest first."""

    NEAR = 0  # its own zone
    REGION = 1  # another zone of its region
    REMOTE = 2  # another region, or a zone outside all regions


@dataclass(slots=True, frozen=True)
class Places:
    """The zone of the sidecar and the region of each zone, both as numbers.

    Zones are numbered as in the settings; a number past the end of `regions` is an unknown zone. A zone
    outside all regions is a region of its own, as it is not known which failures it shares with others.
    """

    zone: int
    regions: tuple[int, ...]

    def __post_init__(self) -> None:
        if not 0 <= self.zone < len(self.regions):
            raise ValueError("Places.zone is none of the zones")

    def region(self, zone: int) -> int:
        """The region of a zone; a separate negative number for each unknown zone."""
        return self.regions[zone] if 0 <= zone < len(self.regions) else -1 - abs(zone)

    def distance(self, zone: int) -> Distance:
        """The distance from the sidecar to a zone."""
        if zone == self.zone:
            return Distance.NEAR
        return Distance.REGION if self.region(zone) == self.region(self.zone) else Distance.REMOTE
