"""Locality-aware routing: nearest zones first, spill-over by load, failure domains. Off by default."""
