"""Choosing zones: near first, spilled by load, failure domains told apart. Pure, seeded, off by default."""
