"""Where sidecars stand by what their doors told, look after look. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from millgw.top.figures import Aside, Counts, Figures, LocalityFigures, Look

KINDS = ("fulfilled", "throttled", "faulted")
Cells = dict[str, dict[str, int]]
"""Counts by class, then by kind."""


def cells(figures: Figures) -> Cells:
    """All counts of one look."""
    return {name: {kind: getattr(figures, kind).get(name, 0) for kind in KINDS} for name in figures.classes()}


@dataclass
class Standing:
    """One sidecar. Figures count from 0 in each process: one that went back is another process's."""

    door: str
    look: Look | None = None
    at: float = 0.0  # s of that look
    trouble: str = ""  # why the last look came to nothing; the one before still stands
    processes: int = 0  # that have been seen
    gained: Cells = field(default_factory=dict)  # between the last two looks
    relayed: int = 0  # attempts between them
    over: float = 0.0  # s between them; 0 until there are two

    def take(self, now: float, look: Look) -> None:
        """A look that came to something."""
        before, figures = self.look, look.figures
        self.trouble = ""
        again = before is None or _went_back(before.figures, figures)
        self.processes += again
        old = {} if again or before is None else cells(before.figures)
        # Of a new process all it has counted is since it began, which is after the look before.
        self.gained = {
            name: {kind: count - old.get(name, {}).get(kind, 0) for kind, count in row.items()}
            for name, row in cells(figures).items()
        }
        self.relayed = figures.relayed - (0 if again or before is None else before.figures.relayed)
        self.over = 0.0 if before is None else now - self.at
        self.look, self.at = look, now

    def miss(self, trouble: str) -> None:
        """A look that came to nothing."""
        self.trouble = trouble
        self.gained, self.relayed, self.over = {}, 0, 0.0

    @property
    def state(self) -> str:
        """In a word: `ready`, `not ready`, or why nothing is known of it now."""
        if self.trouble:
            return self.trouble
        if self.look is None:
            return "not asked yet"
        return "ready" if self.look.ready else "not ready"

    def per_second(self, kind: str) -> float | None:
        """Final answers of a kind a second, between the last two looks."""
        if self.over <= 0:
            return None
        return sum(row[kind] for row in self.gained.values()) / self.over

    def attempts(self) -> float | None:
        """Attempts for each final answer, between the last two looks or since the process began."""
        if self.look is None or self.trouble:
            return None
        answered = sum(sum(row.values()) for row in self.gained.values())
        relayed = self.relayed
        if not self.over:
            answered, relayed = self.look.figures.answered(), self.look.figures.relayed
        return relayed / answered if answered else None


def _went_back(before: Figures, after: Figures) -> bool:
    if after.relayed < before.relayed:
        return True
    now = cells(after)
    return any(
        now.get(name, {}).get(kind, 0) < count
        for name, row in cells(before).items()
        for kind, count in row.items()
    )


def by_class(standings: Iterable[Standing]) -> Cells:
    """Counts of all that told at their last look, together."""
    out: Cells = {}
    for standing in standings:
        if standing.look is not None and not standing.trouble:
            for name, row in cells(standing.look.figures).items():
                whole = out.setdefault(name, dict.fromkeys(KINDS, 0))
                for kind, count in row.items():
                    whole[kind] += count
    return out


def by_distance(standings: Iterable[Standing]) -> tuple[Counts, Counts]:
    """Attempts by how far they went and by why they went away from the near zone, of all sidecars."""
    attempts: Counts = {}
    away: Counts = {}
    for locality in _localities(standings):
        for whole, counts in ((attempts, locality.attempts), (away, locality.away)):
            for name, count in counts.items():
                whole[name] = whole.get(name, 0) + count
    return attempts, away


def by_zone(standings: Iterable[Standing]) -> dict[str, Counts]:
    """How many sidecars' services hold each zone to be what."""
    out: dict[str, Counts] = {}
    for locality in _localities(standings):
        for name, zone in locality.zones.items():
            row = out.setdefault(name, {})
            row[zone.standing] = row.get(zone.standing, 0) + 1
    return dict(sorted(out.items()))


def _localities(standings: Iterable[Standing]) -> Iterable[LocalityFigures]:
    for standing in standings:
        if standing.look is not None and not standing.trouble:
            yield from standing.look.figures.locality.values()


def by_endpoint(standings: Iterable[Standing]) -> list[tuple[Aside, int]]:
    """Endpoints out of rotation, with how many sidecars have them so, the most first."""
    seen: dict[tuple[str, str, str], int] = {}
    for standing in standings:
        if standing.look is not None and not standing.trouble:
            for aside in standing.look.rotation.out_of_rotation:
                key = (aside.service, aside.endpoint, aside.why)
                seen[key] = seen.get(key, 0) + 1
    rows = sorted(seen.items(), key=lambda row: (-row[1], row[0]))
    return [(Aside(endpoint, why, service), count) for (service, endpoint, why), count in rows]
