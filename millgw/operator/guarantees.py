"""What shares of the whole come to in units. Pure."""

from __future__ import annotations

from collections.abc import Mapping


def parts(total: int, shares: Mapping[str, float | None]) -> dict[str, int]:
    """Guarantees in units: the shares given; of what they leave, half in equal parts and half to borrow."""
    given = sum(share for share in shares.values() if share is not None)
    open_ = [name for name, share in shares.items() if share is None]
    rest = max(0.0, 1.0 - given) / 2 / len(open_) if open_ else 0.0
    return {name: int(total * (rest if share is None else share)) for name, share in shares.items()}
