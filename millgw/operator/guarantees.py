"""Converts shares of a total to guaranteed units. Pure."""

from __future__ import annotations

from collections.abc import Mapping


def guaranteed_units(total: int, shares: Mapping[str, float | None]) -> dict[str, int]:
    """Guarantees in units. Of what the given shares leave, the others get half in equal parts.

    The other half is guaranteed to nobody, so that every pool can borrow it.
    """
    given = sum(share for share in shares.values() if share is not None)
    open_ = [name for name, share in shares.items() if share is None]
    rest = max(0.0, 1.0 - given) / 2 / len(open_) if open_ else 0.0
    return {name: int(total * (rest if share is None else share)) for name, share in shares.items()}
