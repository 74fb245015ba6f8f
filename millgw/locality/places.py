"""Topology: the zone of the sidecar, the regions of all zones, and distances. Does no I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from millgw.interface import Zone

UNTOLD_REGION = -1  # of endpoints whose zone is not told; unlisted zones have lower numbers


class Distance(IntEnum):
    """The distance from the sidecar to a zone, nearest first."""

    NEAR = 0  # its own zone
    REGION = 1  # another zone of its region
    REMOTE = 2  # another region, or a zone outside all regions


@dataclass(slots=True, frozen=True)
class Places:
    """The zone of the sidecar and the region of each zone, both as numbers.

    Zones are numbered as in the settings; a number past the end of `regions` is a zone that they do not
    list. A zone outside all regions is a region of its own, as it is not known which failures it shares with
    others; so are all endpoints whose zone is not told.
    """

    zone: int
    regions: tuple[int, ...]

    def __post_init__(self) -> None:
        if not 0 <= self.zone < len(self.regions):
            raise ValueError("Places.zone is none of the zones")

    def region(self, zone: Zone) -> int:
        """The region of a zone; a separate negative number for each unlisted zone and for no zone."""
        if zone is None:
            return UNTOLD_REGION
        return self.regions[zone] if 0 <= zone < len(self.regions) else -1 - abs(zone)

    def distance(self, zone: Zone) -> Distance:
        """The distance from the sidecar to a zone."""
        if zone == self.zone:
            return Distance.NEAR
        return Distance.REGION if self.region(zone) == self.region(self.zone) else Distance.REMOTE
