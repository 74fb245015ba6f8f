"""Measurements, by hand: each module here is run by `python -m benchmarks.NAME`."""
