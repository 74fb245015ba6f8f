"""What `top` shows, for people and for programs."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

import msgspec
from rich.console import Group
from rich.table import Table
from rich.text import Text

from millgw.top.figures import Counts
from millgw.top.standing import KINDS, Standing, by_class, by_distance, by_endpoint, by_zone

MOST_ENDPOINTS = 12  # rows of a screen
WIDE = 90  # characters from which a sidecar is one row: in less, its state would be cut away
COUNTS = ("open", "listed", "out")
RATES = ("served/s", "refused/s", "failed/s")
SERVING = "serving"  # what a zone is held to be where all is well
NAMES = (*COUNTS, *RATES, "attempts")


def tables(standings: Sequence[Standing], width: int = WIDE) -> Group:
    """Sidecars, classes, and endpoints out of rotation, for a screen of so many characters."""
    sidecars = _sidecars(standings) if width >= WIDE else _narrow(standings)
    parts: list[Table | Text] = [sidecars, Text(), _classes(standings)]
    zones = by_zone(standings)
    if zones:
        parts += [Text(), _zones(zones), Text(_distances(standings))]
    rows = by_endpoint(standings)
    unnamed = sum(s.look.rotation.unnamed for s in standings if s.look is not None and not s.trouble)
    if rows or unnamed:
        parts += [Text(), _endpoints(rows[:MOST_ENDPOINTS])]
        more = len(rows[MOST_ENDPOINTS:]) + unnamed
        if more:
            parts.append(Text(f"and {more} more out of rotation"))
    return Group(*parts)


def _sidecars(standings: Sequence[Standing]) -> Table:
    table = Table(box=None, pad_edge=False)
    table.add_column("door", no_wrap=True)
    table.add_column("state")
    for name in NAMES:
        table.add_column(name, justify="right")
    for standing in standings:
        table.add_row(Text(standing.door), _state(standing), *_figures(standing))
    return table


def _narrow(standings: Sequence[Standing]) -> Text:
    lines = Text()
    for standing in standings:
        lines.append(f"{standing.door} ").append_text(_state(standing)).append("\n")
        shown = [f"{name} {value}" for name, value in zip(NAMES, _figures(standing), strict=True)]
        lines.append(f"  {'  '.join(shown[:3])}\n  {'  '.join(shown[3:])}\n")
    lines.rstrip()
    return lines


def _state(standing: Standing) -> Text:
    # Text, not markup: what a door says is not the terminal's to obey.
    return Text(_plain(standing.state), style="" if standing.state == "ready" else "red")


def _figures(standing: Standing) -> list[str]:
    known = standing.look.figures if standing.look is not None and not standing.trouble else None
    counts = [known.open_requests, known.registry_entries, known.out_of_rotation] if known else [None] * 3
    rates = [standing.per_second(kind) for kind in KINDS]
    return [*map(_number, counts), *map(_number, rates), _number(standing.attempts(), 2)]


def _classes(standings: Sequence[Standing]) -> Table:
    table = Table(box=None, pad_edge=False)
    table.add_column("class")
    for name in ("served", "refused", "failed", "served of all"):
        table.add_column(name, justify="right")
    for name, row in by_class(standings).items():
        whole = sum(row.values())
        part = f"{row['fulfilled'] / whole:.2%}" if whole else "-"
        table.add_row(Text(_plain(name)), *(str(row[kind]) for kind in KINDS), part)
    return table


def _zones(zones: Mapping[str, Counts]) -> Table:
    table = Table(box=None, pad_edge=False)
    table.add_column("zone")
    table.add_column("held to be, by so many")
    for name, counts in zones.items():
        held = ", ".join(f"{standing} {count}" for standing, count in sorted(counts.items()))
        table.add_row(
            Text(_plain(name)), Text(_plain(held), style="" if counts.keys() == {SERVING} else "red")
        )
    return table


def _distances(standings: Sequence[Standing]) -> str:
    """One line on how far attempts went, and why."""
    attempts, away = by_distance(standings)
    whole = max(1, sum(attempts.values()))
    far = ", ".join(f"{name} {count / whole:.1%}" for name, count in attempts.items())
    why = ", ".join(f"{name} {count}" for name, count in away.items() if count)
    return _plain(f"attempts: {far}" + (f"; away for {why}" if why else ""))


def _endpoints(rows: Sequence[tuple[Any, int]]) -> Table:
    table = Table(box=None, pad_edge=False)
    for name in ("out of rotation", "why", "service"):
        table.add_column(name)
    table.add_column("sidecars", justify="right")
    for aside, count in rows:
        table.add_row(
            Text(_plain(aside.endpoint)), Text(_plain(aside.why)), Text(_plain(aside.service)), str(count)
        )
    return table


def _plain(text: str) -> str:
    return "".join(c if c.isprintable() else "?" for c in text)


def _number(value: float | None, places: int = 0) -> str:
    return "-" if value is None else f"{value:.{places}f}"


def as_json(standings: Sequence[Standing]) -> dict[str, Any]:
    """The same for programs; `sidecars` by their doors."""
    sidecars = {
        s.door: {
            "state": s.state,
            "figures": msgspec.to_builtins(s.look.figures) if s.look is not None else None,
            "out_of_rotation": msgspec.to_builtins(s.look.rotation.out_of_rotation) if s.look else [],
        }
        for s in standings
    }
    endpoints = [msgspec.to_builtins(aside) | {"sidecars": count} for aside, count in by_endpoint(standings)]
    told = {"sidecars": sidecars, "classes": by_class(standings), "out_of_rotation": endpoints}
    return told | {"zones": by_zone(standings)}
