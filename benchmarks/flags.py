"""What the measurements' command lines share."""

from __future__ import annotations


def words(text: str | None) -> str:
    """A module's docstring as help, its lines as they are."""
    return "\n\n".join(f"\b\n{part}" for part in (text or "").split("\n\n"))
