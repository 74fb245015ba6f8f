"""Structured logging: an event table, rate limiting of repeats, two renderers, a non-blocking writer."""
