"""Where a sidecar and its endpoints are: zones by number, and the regions that they belong to. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Distance(IntEnum):
    """How far a zone is from the sidecar, nearest first."""

    NEAR = 0  # its own zone
    REGION = 1  # another zone of its region
    REMOTE = 2  # another region, or a zone that no region names


@dataclass(slots=True, frozen=True)
class Places:
    """The zone of a sidecar and the region of each zone, both by their numbers.

    Zones are numbered as in the settings; a number past `regions` is a zone that nobody knows. A zone outside
    all regions is a region of its own: nothing is known of what it shares with others.
    """

    zone: int
    regions: tuple[int, ...]

    def __post_init__(self) -> None:
        if not 0 <= self.zone < len(self.regions):
            raise ValueError("Places.zone is none of the zones")

    def region(self, zone: int) -> int:
        """The region of a zone; a negative number of its own for a zone that nobody knows."""
        return self.regions[zone] if 0 <= zone < len(self.regions) else -1 - abs(zone)

    def distance(self, zone: int) -> Distance:
        """How far a zone is from the sidecar."""
        if zone == self.zone:
            return Distance.NEAR
        return Distance.REGION if self.region(zone) == self.region(self.zone) else Distance.REMOTE
