"""Running sidecars as their operators see them: figures from their doors, side by side."""
